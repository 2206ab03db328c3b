/**
 * DOC: Streams go on only at the software version that began them.
 */

#include "entries.h"
#include "gaterig.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

/* Streams of each test that takes one up: the choice of an endpoint varies. */
#define STREAMS 40

static const char *const two_versions[] = { "v1", "v2", "v1", "v2" };

static const char *
version_of(const struct grig *r)
{
	return mh_fleet_find(r->f, r->last)->version;
}

/* The last try sends the head and one event. */
static void
begin(struct grig *r)
{
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };
	GString *out = g_string_new(NULL);

	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_sse_feed(r->cur->events, "id: 3\ndata: x\n\n", 15, out);
	mh_gate_progress(r->g, r->cur);
	g_string_free(out, TRUE);
}

/* Guards against a second run of a stream at another version. */
static void
test_own_tries(void)
{
	struct grig *r = grig_create(4);

	grig_list(r, two_versions, 4);
	for (int i = 0; i < STREAMS; i++) {
		char first[16], version[8];

		(void)grig_stream(r, "a", NULL);
		g_strlcpy(first, r->last, sizeof(first));
		g_strlcpy(version, version_of(r), sizeof(version));
		begin(r);
		mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
		CU_ASSERT_STRING_NOT_EQUAL(r->last, first);
		CU_ASSERT_STRING_EQUAL(version_of(r), version);
		mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
		grig_advance(r, 10 * S);
	}
	CU_ASSERT_EQUAL(r->sends, 2 * STREAMS);
	grig_destroy(r);
}

/* Guards against a stream that goes on where no replica of its version is. */
static void
test_own_try_without_replica(void)
{
	static const char *const versions[] = { "v1", "v2", "v3", "v4" };
	struct grig *r = grig_create(4);

	grig_list(r, versions, 4);
	(void)grig_stream(r, "a", NULL);
	begin(r);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->broken, 1);
	grig_destroy(r);
}

/* Guards against a stream that a caller takes up at another version. */
static void
test_taken_up(void)
{
	struct grig *r = grig_create(4);

	grig_list(r, two_versions, 4);
	for (int i = 0; i < STREAMS; i++) {
		char id[8], version[8];
		struct mh_greq *q;

		g_snprintf(id, sizeof(id), "a%d", i);
		q = grig_stream(r, id, NULL);
		g_strlcpy(version, version_of(r), sizeof(version));
		begin(r);
		mh_gate_caller_left(r->g, q);
		grig_forget(r, q);
		(void)grig_stream(r, "b", id);
		CU_ASSERT_EQUAL(r->refused, 0);
		CU_ASSERT_STRING_EQUAL(version_of(r), version);
		grig_answer(r, 200, false, true);
		grig_advance(r, 100 * MS);
	}
	CU_ASSERT_EQUAL(r->sends, 2 * STREAMS);
	grig_destroy(r);
}

/* Guards against a guess at the version of a stream that began elsewhere. */
static void
test_unknown(void)
{
	struct grig *r = grig_create(4);

	grig_list(r, two_versions, 4);
	(void)grig_stream(r, "b", "elsewhere");
	grig_advance(r, S);
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->refused, 1);
	(void)grig_stream(r, "b", NULL);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

/* Guards against refusals where there has been one version for long. */
static void
test_sole(void)
{
	static const char *const one[] = { "v1", "v1", "v1", "v1" };
	struct grig *r = grig_create(4);

	grig_list(r, one, 4);
	(void)grig_stream(r, "b", "elsewhere");
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_VERSION_UNKNOWN);
	grig_advance(r, 20 * S);
	(void)grig_stream(r, "b", "elsewhere");
	CU_ASSERT_EQUAL(r->sends, 1);
	begin(r);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_destroy(r);
}

/* Guards against losing what began before a second version was listed. */
static void
test_begun_before_release(void)
{
	static const char *const one[] = { "v1", "v1", "v1", "v1" };
	static const char *const more[] = { "v1", "v2", "v1.1", "v1.2" };
	struct grig *r = grig_create(4);
	struct mh_greq *q;

	grig_list(r, one, 4);
	q = grig_stream(r, "a", NULL);
	begin(r);
	grig_list(r, two_versions, 4);
	grig_advance(r, 100 * MS);
	grig_list(r, more, 4);
	mh_gate_caller_left(r->g, q);
	grig_forget(r, q);
	(void)grig_stream(r, "b", "a");
	CU_ASSERT_EQUAL(r->refused, 0);
	CU_ASSERT_STRING_EQUAL(version_of(r), "v1");
	grig_destroy(r);
}

/* Guards against waiting for a version that no endpoint has. */
static void
test_gone(void)
{
	static const char *const next[] = { "v2", "v2", "v2", "v2" };
	struct grig *r = grig_create(4);
	struct mh_greq *q;

	grig_list(r, two_versions, 4);
	do {
		q = grig_stream(r, "a", NULL);
		if (strcmp(version_of(r), "v1") == 0)
			break;
		mh_gate_caller_left(r->g, q);
		grig_forget(r, q);
	} while (true);
	begin(r);
	mh_gate_caller_left(r->g, q);
	grig_forget(r, q);
	grig_list(r, next, 4);
	(void)grig_stream(r, "b", "a");
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_VERSION_GONE);
	grig_destroy(r);
}

/* Guards against refusals while a draining endpoint still serves a version. */
static void
test_draining(void)
{
	struct mh_listing l = { "n0", 0, "pool", "10.0.0.1:1", "d", 8, true, 0,
		"v1" };
	static const char *const versions[] = { "v1", "v2" };
	struct grig *r = grig_create(2);
	struct mh_greq *q;

	mh_fleet_set_drain(r->f, 800 * MS);
	grig_list(r, versions, 2);
	do {
		q = grig_stream(r, "a", NULL);
		begin(r);
		mh_gate_caller_left(r->g, q);
		grig_forget(r, q);
	} while (strcmp(version_of(r), "v1") != 0);
	mh_fleet_list(r->f, &l);
	grig_advance(r, 700 * MS);
	q = grig_stream(r, "b", "a");
	CU_ASSERT_EQUAL(r->refused, 0);
	CU_ASSERT_STRING_EQUAL(r->last, "n0");
	mh_gate_caller_left(r->g, q);
	grig_forget(r, q);
	grig_advance(r, 200 * MS);
	(void)grig_stream(r, "c", "a");
	grig_advance(r, 2 * S);
	CU_ASSERT_EQUAL(r->refused, 1);
	grig_destroy(r);
}

/* Guards against a drain that begins anew as a row is removed and comes back.
 */
static void
test_draining_row_comes_back(void)
{
	struct mh_listing all[] = { { "n0", 0, "pool", "10.0.0.1:1", "d", 8,
					true, 0, "v1" },
		{ "n1", 0, "pool", "10.0.0.1:1", "d", 8, false, 0, "v1" } };
	struct grig *r = grig_create(0);

	mh_fleet_set_drain(r->f, 800 * MS);
	for (int step = 0; step < 4; step++) {
		/* Its row is there, gone, there, and says that it is ready. */
		all[0].draining = step < 3;
		mh_fleet_begin(r->f);
		if (step != 1)
			mh_fleet_list(r->f, &all[0]);
		mh_fleet_list(r->f, &all[1]);
		mh_fleet_end(r->f);
		CU_ASSERT_EQUAL(mh_fleet_find(r->f, "n0") != NULL, step != 1);
		if (step == 0)
			CU_ASSERT_TRUE(mh_node_takes_last(
			    r->f, mh_fleet_find(r->f, "n0")));
		if (step == 2)
			CU_ASSERT_FALSE(mh_node_takes_last(
			    r->f, mh_fleet_find(r->f, "n0")));
		grig_advance(r, 2 * S);
	}
	mh_fleet_begin(r->f);
	all[0].draining = true;
	mh_fleet_list(r->f, &all[0]);
	mh_fleet_end(r->f);
	CU_ASSERT_FALSE(mh_node_takes_last(r->f, mh_fleet_find(r->f, "n0")));
	grig_destroy(r);
}

/* Two endpoints that report when they started, 77. */
static struct grig *
restartable(void)
{
	static const char *const names[] = { "n0", "n1" };
	struct grig *r = grig_create(0);

	mh_fleet_begin(r->f);
	for (int i = 0; i < 2; i++) {
		struct mh_listing l = { names[i], 77, "pool", "10.0.0.1:1", "d",
			8, false, 0, "v1" };

		mh_fleet_list(r->f, &l);
	}
	mh_fleet_end(r->f);
	r->start_ms = 77;
	return r;
}

static void
begin_and_leave(struct grig *r, const char *id)
{
	struct mh_greq *q = grig_stream(r, id, NULL);

	begin(r);
	mh_gate_caller_left(r->g, q);
	grig_forget(r, q);
	r->sends = 0;
}

/* Guards against a version that is taken for sure at an endpoint in doubt. */
static void
test_begun_in_doubt(void)
{
	struct grig *r = restartable();

	mh_node_doubt(r->f, mh_fleet_find(r->f, "n0@77"));
	mh_node_doubt(r->f, mh_fleet_find(r->f, "n1@77"));
	begin_and_leave(r, "a");
	(void)grig_stream(r, "b", "a");
	CU_ASSERT_EQUAL(r->why, MH_VERSION_UNKNOWN);
	CU_ASSERT_EQUAL(r->sends, 0);
	grig_advance(r, 3 * S);
	begin_and_leave(r, "c");
	(void)grig_stream(r, "d", "c");
	grig_advance(r, 10 * MS);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

/* Guards against a restart as another version that no row tells yet. */
static void
test_restarted(void)
{
	struct grig *r = restartable();

	begin_and_leave(r, "a");
	(void)grig_stream(r, "b", "a");
	CU_ASSERT_EQUAL(r->sends, 0);
	grig_advance(r, 10 * MS);
	CU_ASSERT_EQUAL(r->starts_asked, 1);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_answer(r, 200, false, true);
	begin_and_leave(r, "c");
	r->start_ms = 88;
	(void)grig_stream(r, "d", "c");
	for (int i = 0; i < 30; i++)
		grig_advance(r, 100 * MS);
	CU_ASSERT_EQUAL(r->starts_asked, 3);
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_PTR_NULL(mh_fleet_find(r->f, "n0@77"));
	grig_destroy(r);
}

/* Guards against a stream refused because its engines are silent for a while.
 */
static void
test_silent_when_asked(void)
{
	for (int64_t silent_us = 200 * MS; silent_us < 2200 * MS;
	     silent_us += 400 * MS) {
		struct grig *r = restartable();
		int64_t end_us;

		begin_and_leave(r, "a");
		r->start_ms = 0;
		end_us = r->now_us + silent_us;
		(void)grig_stream(r, "b", "a");
		while (r->now_us < end_us)
			grig_advance(r, 10 * MS);
		r->start_ms = 77;
		for (int i = 0; i < 41; i++)
			grig_advance(r, 10 * MS);
		CU_ASSERT_EQUAL(r->refused, 0);
		CU_ASSERT_EQUAL(r->sends, 1);
		if (r->sends > 0)
			grig_answer(r, 200, false, true);
		CU_ASSERT_EQUAL(r->finished, 1);
		grig_destroy(r);
	}
}

/* Guards against endless questions to engines that are dark for good. */
static void
test_never_answers(void)
{
	struct grig *r = restartable();

	begin_and_leave(r, "a");
	r->start_ms = 0;
	(void)grig_stream(r, "b", "a");
	for (int i = 0; i < 350; i++)
		grig_advance(r, 10 * MS);
	CU_ASSERT_EQUAL(r->starts_asked, 8);
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_NO_ENDPOINT);
	grig_destroy(r);
}

static int64_t
two_seconds(void *arg)
{
	(void)arg;
	return 2 * S;
}

/* Guards against a version taken from a row that may be out of date. */
static void
test_begun_with_old_rows(void)
{
	struct grig *r = restartable();
	struct mh_greq *q;

	mh_fleet_on_rows_age(r->f, two_seconds, NULL);
	for (int i = 0; i < 2; i++) {
		r->start_ms = i == 0 ? 77 : 88;
		q = grig_stream(r, i == 0 ? "a" : "b", NULL);
		begin(r);
		grig_advance(r, 10 * MS);
		CU_ASSERT_EQUAL(r->starts_asked, i + 1);
		mh_gate_caller_left(r->g, q);
		grig_forget(r, q);
	}
	r->sends = 0;
	r->start_ms = 77;
	(void)grig_stream(r, "c", "b");
	grig_advance(r, 10 * MS);
	CU_ASSERT_EQUAL(r->why, MH_VERSION_UNKNOWN);
	CU_ASSERT_EQUAL(r->sends, 0);
	(void)grig_stream(r, "d", "a");
	grig_advance(r, 10 * MS);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

/* Guards against a wait that goes on after its request has ended. */
static void
test_question_of_a_broken_run(void)
{
	for (int i = 0; i < 2; i++) {
		struct grig *r = restartable();
		struct mh_greq *q;
		uint64_t waits;

		mh_fleet_on_rows_age(r->f, two_seconds, NULL);
		q = grig_stream(r, "a", NULL);
		begin(r);
		CU_ASSERT_EQUAL(r->starts_asked, 1);
		/* The other one has restarted, and its row is not read yet. */
		mh_fleet_set_start(r->f,
		    strcmp(r->last, "n0@77") == 0 ? "n1@77" : "n0@77", 88);
		r->start_ms = 0;
		mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
		grig_advance(r, i * 350 * MS);
		if (r->open->len > 0)
			mh_gate_caller_left(r->g, q);
		waits = mh_counter(r->k, "waits_for_version");
		for (int j = 0; j < 20; j++)
			grig_advance(r, 100 * MS);
		CU_ASSERT_EQUAL(mh_counter(r->k, "waits_for_version"), waits);
		CU_ASSERT_EQUAL(r->sends, 1);
		CU_ASSERT(r->broken + r->open->len == 1);
		grig_destroy(r);
	}
}

/* Guards against a wait for a version that no endpoint can be known to have. */
static void
test_begun_nowhere_known(void)
{
	struct grig *r = restartable();

	mh_fleet_on_rows_age(r->f, two_seconds, NULL);
	(void)grig_stream(r, "a", NULL);
	begin(r);
	mh_fleet_set_start(
	    r->f, strcmp(r->last, "n0@77") == 0 ? "n1@77" : "n0@77", 88);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->broken, 1);
	CU_ASSERT_EQUAL(mh_counter(r->k, "waits_for_version"), 0);
	grig_destroy(r);
}

/* Guards against a begin at what proves to have been another incarnation. */
static void
test_begun_after_restart(void)
{
	struct grig *r = restartable();
	char node[16];

	begin_and_leave(r, "a");
	g_strlcpy(node, r->last, sizeof(node));
	mh_fleet_set_start(r->f, node, 88);
	mh_gate_restarted(r->g, node);
	(void)grig_stream(r, "b", "a");
	grig_advance(r, S);
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->why, MH_VERSION_UNKNOWN);
	grig_destroy(r);
}

/* Lists one endpoint in each of two pools. */
static void
list_two_pools(struct grig *r)
{
	mh_fleet_begin(r->f);
	for (int i = 0; i < 2; i++) {
		struct mh_listing l = { i == 0 ? "n0" : "n1", 0,
			i == 0 ? "pool" : "other", "10.0.0.1:1", "d", 8, false,
			0, i == 0 ? "v1" : "v2" };

		mh_fleet_list(r->f, &l);
	}
	mh_fleet_end(r->f);
}

/* A configuration whose route for streams leads to @one and, if set, @two. */
static void
lead_streams(struct grig *r, const char *one, const char *two)
{
	struct mh_gconf *c = mh_gconf_create();
	const char *const names[] = { one, two };

	for (guint i = 0; i < r->conf->routes->len; i++) {
		struct mh_groute *was = g_ptr_array_index(r->conf->routes, i);
		struct mh_groute *now = mh_groute_create();

		now->name = g_strdup(was->name);
		now->host = g_strdup(was->host);
		now->prefix = g_strdup(was->prefix);
		now->stream = was->stream;
		now->repeat = was->repeat;
		now->attempts = was->attempts;
		now->timeout_us = was->timeout_us;
		now->slo_us = was->slo_us;
		for (int t = 0; t < 2 && names[t] != NULL; t++) {
			struct mh_gtarget to = { g_strdup(names[t]), 1 };

			g_array_append_val(now->targets, to);
		}
		g_ptr_array_add(c->routes, now);
	}
	mh_gate_conf(r->g, c);
	mh_gconf_unref(r->conf);
	r->conf = c;
}

/* Guards against a stream that goes on at another pool of its route. */
static void
test_split_route(void)
{
	struct grig *r = grig_create(0);

	list_two_pools(r);
	lead_streams(r, "pool", "other");
	grig_advance(r, 60 * S);
	for (int i = 0; i < STREAMS; i++)
		(void)grig_stream(r, "b", "elsewhere");
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->why, MH_VERSION_UNKNOWN);
	grig_destroy(r);
}

/* Guards against a stream that goes on at the pool that its route has now. */
static void
test_moved_route(void)
{
	struct grig *r = grig_create(0);

	list_two_pools(r);
	grig_advance(r, 60 * S);
	lead_streams(r, "other", NULL);
	grig_advance(r, 5 * S);
	(void)grig_stream(r, "b", "elsewhere");
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->why, MH_VERSION_UNKNOWN);
	/* The same again, which changes nothing. */
	lead_streams(r, "other", NULL);
	grig_advance(r, 8 * S);
	(void)grig_stream(r, "b", "elsewhere");
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

/* Guards against a guess at what is known to be in doubt. */
static void
test_in_doubt_beside_one_version(void)
{
	struct grig *r = restartable();

	grig_advance(r, 60 * S);
	mh_node_doubt(r->f, mh_fleet_find(r->f, "n0@77"));
	mh_node_doubt(r->f, mh_fleet_find(r->f, "n1@77"));
	begin_and_leave(r, "a");
	(void)grig_stream(r, "b", "a");
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->why, MH_VERSION_UNKNOWN);
	grig_destroy(r);
}

/* entries that tell and ask each other */

/** struct vrig - the entries of a mesh, each with versions of streams. */
struct vrig {
	struct mrig *m;
	struct mh_fleet *f[ENTRIES];
	struct mh_origins *o[ENTRIES];
	struct mh_origin_mesh *om[ENTRIES];
	int64_t rows_age_us;
	uint32_t answers;
	uint64_t version; /* of the last answer */
	enum mh_origin_how how;
};

static const char *const pools[] = { "pool" };

static int64_t
rows_age_us(void *arg)
{
	return ((struct vrig *)arg)->rows_age_us;
}

static void
vrig_list(struct vrig *r, uint32_t entry, const char *one, const char *two)
{
	const char *const versions[] = { one, two };

	mh_fleet_begin(r->f[entry]);
	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
		struct mh_listing l = { i == 0 ? "n0" : "n1", 0, "pool", "a:1",
			"d", 1, false, 0, versions[i] };

		mh_fleet_list(r->f[entry], &l);
	}
	mh_fleet_end(r->f[entry]);
}

static void
vrig_start(struct vrig *r, uint32_t i)
{
	r->f[i] = mh_fleet_create(r->m->e[i].k);
	r->o[i] = mh_origins_create(r->m->e[i].k, r->f[i]);
	mh_fleet_on_rows_age(r->f[i], rows_age_us, r);
	r->om[i] = mh_origin_mesh_create(r->m->e[i].k, r->m->e[i].m, r->o[i]);
}

static void
vrig_stop(struct vrig *r, uint32_t i)
{
	mh_origin_mesh_destroy(r->om[i]);
	mh_origins_destroy(r->o[i]);
	mh_fleet_destroy(r->f[i]);
}

static struct vrig *
vrig_create(const char *one, const char *two)
{
	struct vrig *r = g_new0(struct vrig, 1);

	r->m = mrig_create();
	for (uint32_t i = 0; i < ENTRIES; i++) {
		vrig_start(r, i);
		vrig_list(r, i, one, two);
	}
	mrig_run(r->m, 3 * S);
	return r;
}

static void
vrig_destroy(struct vrig *r)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		vrig_stop(r, i);
	mrig_destroy(r->m);
	g_free(r);
}

static uint64_t
key_of(struct vrig *r, uint32_t entry, const char *node)
{
	return mh_fleet_find(r->f[entry], node)->version_key;
}

static void
vrig_begin_at(struct vrig *r, uint32_t entry, const char *id, uint64_t version,
    bool split)
{
	struct mh_begun b = { mh_origin_stream(id), version, "pool", "n0",
		10 * S, split };

	mh_origins_began(r->o[entry], &b);
}

static void
vrig_begin(struct vrig *r, uint32_t entry, const char *id, const char *node)
{
	vrig_begin_at(r, entry, id, key_of(r, entry, node), false);
}

static void
on_origin(void *arg, uint64_t version, enum mh_origin_how how)
{
	struct vrig *r = arg;

	r->answers++;
	r->version = version;
	r->how = how;
}

/* What an entry finds out about a stream, by itself or from the others. */
static enum mh_origin_how
vrig_find(struct vrig *r, uint32_t entry, const char *id)
{
	struct mh_origin_query q = { mh_origin_stream(id), pools, 1, 10 * S,
		on_origin, r };
	uint32_t answers = r->answers;

	r->how = mh_origins_find(r->o[entry], q.stream, &r->version);
	if (r->how != MH_ORIGIN_UNKNOWN)
		return r->how;
	if (mh_origins_sole_us(r->o[entry], pools, 1, &r->version) >= 10 * S)
		return MH_ORIGIN_SOLE;
	if (mh_origins_ask(r->o[entry], &q) == NULL)
		return MH_ORIGIN_UNKNOWN;
	mrig_run(r->m, S);
	CU_ASSERT_EQUAL(r->answers, answers + 1);
	return r->how;
}

/* Guards against losing a version with the entry that began the stream. */
static void
test_first_entry_dead(void)
{
	struct vrig *r = vrig_create("v1", "v2");

	for (uint32_t i = 0; i < ENTRIES; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "a%u", i);
		vrig_begin(r, i, id, i % 2 == 0 ? "n0" : "n1");
		mrig_run(r->m, 20 * MS);
		r->m->e[i].powered_off = true;
		mrig_run(r->m, 20 * MS);
		for (uint32_t j = 0; j < ENTRIES; j++) {
			if (j == i)
				continue;
			CU_ASSERT_EQUAL(vrig_find(r, j, id), MH_ORIGIN_TOLD);
			CU_ASSERT_EQUAL(
			    r->version, key_of(r, j, i % 2 == 0 ? "n0" : "n1"));
		}
		r->m->e[i].powered_off = false;
		mrig_run(r->m, 3 * S);
	}
	CU_ASSERT_EQUAL(vrig_find(r, 3, "never"), MH_ORIGIN_UNKNOWN);
	vrig_destroy(r);
}

/* Guards against losing what entries knew that restart one after another. */
static void
test_entries_restart(void)
{
	struct vrig *r = vrig_create("v1", "v2");

	vrig_begin(r, 0, "a", "n0");
	mrig_run(r->m, 300 * MS);
	for (uint32_t i = 1; i < ENTRIES; i++) {
		vrig_stop(r, i);
		mrig_start(&r->m->e[i]);
		vrig_start(r, i);
		vrig_list(r, i, "v1", "v2");
		mrig_run(r->m, 2 * S);
	}
	r->m->e[0].powered_off = true;
	mrig_run(r->m, 20 * MS);
	for (uint32_t i = 1; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(vrig_find(r, i, "a"), MH_ORIGIN_TOLD);
	vrig_destroy(r);
}

/* Guards against losing what began before a second version was listed. */
static void
test_told_at_release(void)
{
	struct vrig *r = vrig_create("v1", "v1");

	mrig_run(r->m, 12 * S);
	vrig_begin(r, 0, "a", "n0");
	mrig_run(r->m, 500 * MS);
	CU_ASSERT_EQUAL(mh_counter(r->m->e[0].k, "streams_told"), 0);
	for (uint32_t i = 0; i < ENTRIES; i++)
		vrig_list(r, i, "v1", "v2");
	mrig_run(r->m, 500 * MS);
	CU_ASSERT_EQUAL(mh_counter(r->m->e[0].k, "streams_told"), 1);
	r->m->e[0].powered_off = true;
	CU_ASSERT_EQUAL(vrig_find(r, 7, "a"), MH_ORIGIN_TOLD);
	CU_ASSERT_EQUAL(r->version, key_of(r, 7, "n0"));
	vrig_destroy(r);
}

/* Guards against refusals at an entry that has just started. */
static void
test_new_entry(void)
{
	struct vrig *r = vrig_create("v1", "v1");

	mrig_run(r->m, 12 * S);
	vrig_stop(r, 4);
	mrig_start(&r->m->e[4]);
	vrig_start(r, 4);
	vrig_list(r, 4, "v1", "v1");
	mrig_run(r->m, S);
	CU_ASSERT_EQUAL(vrig_find(r, 4, "a"), MH_ORIGIN_SOLE);
	CU_ASSERT_EQUAL(r->version, key_of(r, 4, "n0"));
	vrig_destroy(r);
}

/* Guards against a guess where others may know of another version. */
static void
test_alone_with_old_rows(void)
{
	struct vrig *r = vrig_create("v1", "v1");

	mrig_run(r->m, 12 * S);
	r->rows_age_us = 4 * S;
	vrig_begin(r, 0, "a", "n0");
	mrig_run(r->m, 300 * MS);
	CU_ASSERT_EQUAL(vrig_find(r, 7, "a"), MH_ORIGIN_TOLD);
	CU_ASSERT_EQUAL(vrig_find(r, 7, "b"), MH_ORIGIN_UNKNOWN);
	r->m->e[7].cut = true;
	mrig_run(r->m, 3 * S);
	CU_ASSERT_EQUAL(vrig_find(r, 7, "c"), MH_ORIGIN_UNKNOWN);
	vrig_destroy(r);
}

/* Guards against what one concludes, where another knows. */
static void
test_known_before_concluded(void)
{
	struct vrig *r = vrig_create("v1", "v1");
	uint32_t told = 0;

	mrig_run(r->m, 12 * S);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "a%u", i);
		vrig_begin_at(r, i, id, 77, false);
		vrig_stop(r, (i + 1) % ENTRIES);
		vrig_start(r, (i + 1) % ENTRIES);
		if (vrig_find(r, (i + 1) % ENTRIES, id) == MH_ORIGIN_TOLD) {
			told++;
			CU_ASSERT_EQUAL(r->version, 77);
		}
		vrig_list(r, (i + 1) % ENTRIES, "v1", "v1");
		mrig_run(r->m, 11 * S);
	}
	/* Of ten entries six are asked. */
	CU_ASSERT(told >= 5);
	vrig_destroy(r);
}

/* Entries, other than the first, that were told of a stream. */
static uint32_t
count_told(struct vrig *r, const char *id, enum mh_origin_how how, uint64_t is)
{
	uint32_t n = 0;

	for (uint32_t i = 1; i < ENTRIES; i++) {
		uint64_t version;

		n += mh_origins_find(r->o[i], mh_origin_stream(id), &version) ==
			how &&
		    version == is;
	}
	return n;
}

/* Guards against losing what others can't conclude. */
static void
test_told_what_none_concludes(void)
{
	struct vrig *r = vrig_create("v1", "v1");

	mrig_run(r->m, 12 * S);
	vrig_begin_at(r, 0, "sure", 77, false);
	vrig_begin_at(r, 0, "split", 78, true);
	vrig_begin_at(r, 0, "unsure", MH_VERSION_UNSURE, false);
	vrig_begin_at(r, 0, "confirmed", MH_VERSION_UNSURE, false);
	mrig_run(r->m, 100 * MS);
	vrig_begin_at(r, 0, "confirmed", 79, false);
	mrig_run(r->m, 500 * MS);
	CU_ASSERT_EQUAL(count_told(r, "sure", MH_ORIGIN_TOLD, 77), 0);
	CU_ASSERT_EQUAL(count_told(r, "split", MH_ORIGIN_TOLD, 78), 4);
	CU_ASSERT_EQUAL(count_told(r, "unsure", MH_ORIGIN_UNSURE, 0), 4);
	CU_ASSERT_EQUAL(count_told(r, "confirmed", MH_ORIGIN_TOLD, 79), 4);
	/* Others can't conclude it any more. */
	for (uint32_t i = 0; i < ENTRIES; i++)
		mh_origins_routes_changed(r->o[i]);
	CU_ASSERT_EQUAL(vrig_find(r, 7, "never"), MH_ORIGIN_UNKNOWN);
	CU_ASSERT_EQUAL(count_told(r, "sure", MH_ORIGIN_TOLD, 77), 4);
	vrig_destroy(r);
}

/** struct restart - what is listed when all entries have started again. */
struct restart {
	const char *one;
	const char *two;
	const char *later_one;
	const char *later_two;
};

/*
 * Guards against a guess where all entries start at once beside a release: the
 * version that began a stream is gone, or goes, or isn't listed yet.
 */
static void
test_all_started_beside_a_release(void)
{
	static const struct restart all[] = { { "v2", "v2", "v2", "v2" },
		{ "v1", "v2", "v2", "v2" }, { "v2", "v2", "v1", "v2" },
		{ "v2", "v1", "v1", "v1" }, { "v1", "v1", "v2", "v2" } };

	for (size_t n = 0; n < 2 * G_N_ELEMENTS(all); n++) {
		const struct restart *t = &all[n / 2];
		bool remembers = n % 2 == 1; /* one entry wasn't killed */
		struct vrig *r = vrig_create("v1", "v2");
		uint64_t version = key_of(r, 0, "n0");

		vrig_begin(r, 0, "a", "n0");
		mrig_run(r->m, 500 * MS);
		for (uint32_t i = remembers; i < ENTRIES; i++) {
			vrig_stop(r, i);
			mrig_start(&r->m->e[i]);
			vrig_start(r, i);
			vrig_list(r, i, t->one, t->two);
		}
		for (int round = 0; round < 8; round++) {
			enum mh_origin_how how = vrig_find(r, 7, "a");

			if (remembers && round > 1)
				CU_ASSERT_EQUAL(how, MH_ORIGIN_TOLD);
			CU_ASSERT(how == MH_ORIGIN_UNKNOWN ||
			    (how == MH_ORIGIN_TOLD && r->version == version));
			if (round == 2) {
				for (uint32_t i = 0; i < ENTRIES; i++)
					vrig_list(
					    r, i, t->later_one, t->later_two);
			}
			mrig_run(r->m, 200 * MS);
		}
		vrig_destroy(r);
	}
}

/* Guards against a frame for each stream, however many begin. */
static void
test_frames_are_bounded(void)
{
	struct vrig *r = vrig_create("v1", "v2");
	uint64_t before, idle, sent, streams = 0;

	before = mh_counter(r->m->e[0].k, "link_frames_out");
	mrig_run(r->m, S);
	idle = mh_counter(r->m->e[0].k, "link_frames_out") - before;
	for (int i = 0; i < 100; i++) {
		for (int j = 0; j < 20; j++) {
			char id[16];

			g_snprintf(id, sizeof(id), "%d-%d", i, j);
			vrig_begin(r, 0, id, "n0");
			streams++;
		}
		mrig_run(r->m, 10 * MS);
	}
	sent = mh_counter(r->m->e[0].k, "link_frames_out") - before - idle;
	CU_ASSERT_EQUAL(mh_counter(r->m->e[0].k, "streams_told"), streams);
	/* One each 10 ms, to four entries. */
	CU_ASSERT(sent < idle + 100 * 4 + 20);
	CU_ASSERT_EQUAL(vrig_find(r, 5, "99-19"), MH_ORIGIN_TOLD);
	vrig_destroy(r);
}

const struct test tests_version[] = {
	{ "version: the entry's own tries", test_own_tries },
	{ "version: no replica of it is left", test_own_try_without_replica },
	{ "version: taken up by its caller", test_taken_up },
	{ "version: not known", test_unknown },
	{ "version: one alone for long", test_sole },
	{ "version: begun before a release", test_begun_before_release },
	{ "version: no endpoint has it", test_gone },
	{ "version: a draining endpoint has it", test_draining },
	{ "version: a draining row comes back", test_draining_row_comes_back },
	{ "version: begun at an endpoint in doubt", test_begun_in_doubt },
	{ "version: an endpoint has restarted", test_restarted },
	{ "version: silent when asked", test_silent_when_asked },
	{ "version: never answers", test_never_answers },
	{ "version: begun with old rows", test_begun_with_old_rows },
	{ "version: begun after a restart", test_begun_after_restart },
	{ "version: begun nowhere known", test_begun_nowhere_known },
	{ "version: the question of a broken run",
	    test_question_of_a_broken_run },
	{ "version: the first entry is dead", test_first_entry_dead },
	{ "version: entries restart one by one", test_entries_restart },
	{ "version: told at a release", test_told_at_release },
	{ "version: an entry that has just started", test_new_entry },
	{ "version: alone with old rows", test_alone_with_old_rows },
	{ "version: frames are bounded", test_frames_are_bounded },
	{ "version: a route with two pools", test_split_route },
	{ "version: a route that was moved", test_moved_route },
	{ "version: in doubt beside one version",
	    test_in_doubt_beside_one_version },
	{ "version: known before concluded", test_known_before_concluded },
	{ "version: told what none concludes", test_told_what_none_concludes },
	{ "version: all entries started beside a release",
	    test_all_started_beside_a_release },
	{ NULL, NULL },
};
