/**
 * DOC: What endpoints say of themselves in their answers, and that all entries
 * together keep to it.
 */

#include "gaterig.h"
#include "platform.h"
#include "regress.h"
#include "world.h"

#include <math.h>
#include <string.h>

#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5
#define LIMIT_WINDOW_US (4 * S)
#define TOLD_US (500 * MS)
/* Time for a word to reach the other entries. */
#define PASSING_US (250 * MS)

/** struct sentry - an entry that sends to the endpoints. */
struct sentry {
	struct sworld *w;
	uint32_t rank;
	uint32_t entries;
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_place *p;
	GArray *due; /* int64_t, reserved slots */
};

/** struct sworld - entries before one endpoint in need and one that is not. */
struct sworld {
	struct sentry *e;
	uint32_t n;
	double limit; /* 0: none is named */
	int64_t now_us;
	/* int64_t, at the endpoint in need, TOLD_US after the first word */
	GArray *arrivals;
	int64_t told_us; /* first word; 0: none yet */
	GArray *words; /* struct passing */
	uint32_t sent;
	uint32_t refused;
};

/** struct passing - a word on its way to all entries. */
struct passing {
	struct mh_word word;
	int64_t at_us;
};

static void
on_word(void *arg, const struct mh_word *word)
{
	struct sworld *w = ((struct sentry *)arg)->w;
	struct passing p = { *word, w->now_us + PASSING_US };

	p.word.endpoint = "need@77";
	p.word.from = "entry";
	if (word->from == NULL)
		g_array_append_val(w->words, p);
}

static void
deliver_words(struct sworld *w)
{
	while (w->words->len > 0) {
		struct passing p = g_array_index(w->words, struct passing, 0);

		if (p.at_us > w->now_us)
			return;
		g_array_remove_index(w->words, 0);
		for (uint32_t i = 0; i < w->n; i++)
			mh_fleet_hear(w->e[i].f, &p.word);
	}
}

static uint32_t
rank_of(void *arg, const char *endpoint, uint32_t *entries)
{
	struct sentry *e = arg;

	(void)endpoint;
	*entries = e->entries;
	return e->rank;
}

static void
list_pool(struct mh_fleet *f, uint32_t n)
{
	static const char *const ids[] = { "need", "well" };

	mh_fleet_begin(f);
	for (uint32_t i = 0; i < n; i++) {
		struct mh_listing l = { ids[i], 77, "pool", "10.0.0.1:1", "d",
			8, false, 0, NULL };

		mh_fleet_list(f, &l);
	}
	mh_fleet_end(f);
}

static void
start_entry(struct sworld *w, uint32_t i, uint32_t endpoints)
{
	struct sentry *e = &w->e[i];

	e->w = w;
	e->rank = i;
	e->entries = w->n;
	e->k = mh_kern_create(i + 1);
	mh_kern_advance(e->k, w->now_us, w->now_us);
	e->f = mh_fleet_create(e->k);
	e->p = mh_place_create(e->k, e->f);
	e->due = g_array_new(FALSE, FALSE, sizeof(int64_t));
	mh_fleet_set_sharing(e->f, rank_of, NULL, e);
	mh_fleet_on_word(e->f, on_word, e);
	list_pool(e->f, endpoints);
}

static void
stop_entry(struct sentry *e)
{
	g_array_free(e->due, TRUE);
	mh_place_destroy(e->p);
	mh_fleet_destroy(e->f);
	mh_kern_destroy(e->k);
}

static struct sworld *
sworld_create(uint32_t n, double limit, uint32_t endpoints)
{
	struct sworld *w = g_new0(struct sworld, 1);

	w->e = g_new0(struct sentry, n);
	w->n = n;
	w->limit = limit;
	w->now_us = S;
	w->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	w->words = g_array_new(FALSE, FALSE, sizeof(struct passing));
	for (uint32_t i = 0; i < n; i++)
		start_entry(w, i, endpoints);
	return w;
}

static void
sworld_destroy(struct sworld *w)
{
	for (uint32_t i = 0; i < w->n; i++)
		stop_entry(&w->e[i]);
	g_array_free(w->words, TRUE);
	g_array_free(w->arrivals, TRUE);
	g_free(w->e);
	g_free(w);
}

/* The endpoint gets a request and answers at once. */
static void
arrive(struct sentry *e, struct mh_node *n)
{
	struct sworld *w = e->w;
	struct mh_said s = { .sent_us = w->now_us,
		.is_work = true,
		.has_limit = w->limit > 0,
		.limit_per_s = w->limit };

	w->sent++;
	if (strcmp(n->name, "need") != 0)
		return;
	if (w->told_us != 0 && w->now_us >= w->told_us + TOLD_US)
		g_array_append_val(w->arrivals, w->now_us);
	if (w->told_us == 0 && s.has_limit)
		w->told_us = w->now_us;
	mh_node_said(e->f, n, &s);
}

static void
send_one(struct sentry *e, const char *slot_node, int64_t wait_us)
{
	struct mh_place_request a = { .pool = "pool",
		.slot_node = slot_node,
		.wait_deadline_us = e->w->now_us + wait_us };
	struct mh_node *n = mh_place_pick(e->p, &a);

	if (n != NULL) {
		mh_place_sent(e->p, &a, n);
		arrive(e, n);
	} else if (a.wait_node != NULL) {
		int64_t at = e->w->now_us + a.wait_us;

		g_array_append_val(e->due, at);
	} else {
		e->w->refused++;
	}
}

/* Requests, @per_s at random entries, each waiting for a slot for @wait_us. */
static void
sworld_run(struct sworld *w, uint32_t per_s, int64_t wait_us, int64_t us)
{
	GRand *rand = g_rand_new_with_seed(w->n);
	int64_t end_us = w->now_us + us, step_us = S / per_s;

	for (; w->now_us < end_us; w->now_us += step_us) {
		deliver_words(w);
		for (uint32_t i = 0; i < w->n; i++) {
			struct sentry *e = &w->e[i];

			mh_kern_advance(e->k, w->now_us, w->now_us);
			while (e->due->len > 0 &&
			    g_array_index(e->due, int64_t, 0) <= w->now_us) {
				g_array_remove_index(e->due, 0);
				send_one(
				    e, mh_fleet_find(e->f, "need@77")->id, 0);
			}
		}
		send_one(&w->e[g_rand_int_range(rand, 0, (gint32)w->n)], NULL,
		    wait_us);
	}
	g_rand_free(rand);
}

/* The most arrivals in any window, of those from @from_us on. */
static uint32_t
most_in_window(const GArray *times, int64_t from_us)
{
	uint32_t most = 0, first = 0;

	for (uint32_t i = 0; i < times->len; i++) {
		int64_t at = g_array_index(times, int64_t, i);

		while (g_array_index(times, int64_t, first) <
		    MAX(at - LIMIT_WINDOW_US, from_us))
			first++;
		if (at >= from_us)
			most = MAX(most, i - first + 1);
	}
	return most;
}

static uint32_t
allowed(double limit)
{
	return (uint32_t)(LIMIT_FACTOR * limit * LIMIT_WINDOW_US / S) +
	    LIMIT_SLACK;
}

/* Guards against entries that together exceed the limit of an endpoint. */
static void
test_limit_over_entries(void)
{
	static const uint32_t entries[] = { 1, 4, 6, 60, 358 };
	static const double limits[] = { 0.5, 1, 2.5, 10 };

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(limits); j++) {
			struct sworld *w =
			    sworld_create(entries[i], limits[j], 2);
			int64_t from_us;

			sworld_run(w, 100, 0, 2 * S);
			from_us = w->now_us;
			sworld_run(w, 100, 0, 20 * S);
			CU_ASSERT(most_in_window(w->arrivals, from_us) <=
			    allowed(limits[j]));
			/* The others go elsewhere. */
			CU_ASSERT_EQUAL(w->refused, 0);
			sworld_destroy(w);
		}
	}
}

/* Guards against requests that wait too long, or for a slot of another. */
static void
test_limit_of_whole_pool(void)
{
	static const uint32_t entries[] = { 1, 4, 60 };

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		struct sworld *w = sworld_create(entries[i], 5, 1);
		int64_t from_us;
		uint32_t before;

		sworld_run(w, 100, 300 * MS, 12 * S);
		from_us = w->now_us;
		before = w->arrivals->len;
		sworld_run(w, 100, 300 * MS, 20 * S);
		CU_ASSERT(most_in_window(w->arrivals, from_us) <= allowed(5));
		/* Most of what the endpoint takes is used. */
		CU_ASSERT(w->arrivals->len - before >= 20 * 5 / 2);
		sworld_destroy(w);
	}
}

/* Guards against entries that keep to a limit that is over. */
static void
test_limit_ends(void)
{
	struct sworld *w = sworld_create(4, 1, 1);
	uint32_t before = 0;

	sworld_run(w, 50, 0, 10 * S);
	w->limit = 0;
	sworld_run(w, 50, 0, 5 * S);
	before = w->arrivals->len;
	sworld_run(w, 50, 0, 10 * S);
	CU_ASSERT_EQUAL(w->arrivals->len - before, 500);
	sworld_destroy(w);
}

/*
 * Guards against a share of all for entries that join, leave, start anew, or
 * don't know the others.
 */
static void
test_limit_as_entries_change(void)
{
	struct sworld *w = sworld_create(12, 2, 2);
	uint32_t before = 0;

	for (uint32_t i = 0; i < w->n; i++)
		w->e[i].entries = 6; /* six of them are listed */
	for (uint32_t i = 6; i < w->n; i++)
		w->e[i].rank = UINT32_MAX;
	sworld_run(w, 100, 0, 10 * S);
	for (uint32_t i = 0; i < w->n; i++) {
		w->e[i].entries = 12;
		w->e[i].rank = (i * 5) % 12; /* the order changes */
		sworld_run(w, 100, 0, S);
	}
	CU_ASSERT(most_in_window(w->arrivals, 11 * S) <= allowed(2));
	before = w->arrivals->len;
	for (uint32_t i = 0; i < w->n; i++)
		w->e[i].rank = UINT32_MAX;
	sworld_run(w, 100, 0, 5 * S);
	CU_ASSERT_EQUAL(w->arrivals->len, before);
	sworld_destroy(w);
}

/* Guards against slots reserved under a higher limit. */
static void
test_limit_falls(void)
{
	struct sworld *w = sworld_create(2, 20, 1);
	int64_t from_us;

	sworld_run(w, 100, 900 * MS, 6 * S);
	w->limit = 1;
	from_us = w->now_us + S / 2;
	sworld_run(w, 100, 900 * MS, 12 * S);
	CU_ASSERT(most_in_window(w->arrivals, from_us) <= allowed(1));
	sworld_destroy(w);
}

/* Guards against rows of the registry that undo what an endpoint has said. */
static void
test_limit_and_rows(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct mh_fleet *f = mh_fleet_create(k);
	struct mh_said s = {
		.is_work = true, .has_limit = true, .limit_per_s = 2
	};
	struct mh_listing l = { "need", 78, "pool", "10.0.0.1:1", "d", 8, false,
		0, NULL };
	struct mh_node *n;

	mh_kern_advance(k, S, S);
	list_pool(f, 1);
	mh_node_said(f, mh_fleet_find(f, "need@77"), &s);
	mh_node_sent(f, mh_fleet_find(f, "need@77"));
	list_pool(f, 1);
	n = mh_fleet_find(f, "need@77");
	CU_ASSERT_EQUAL(mh_node_next_us(f, n, MH_SENDER_ANY), S + S / 2);
	list_pool(f, 0); /* removed, and listed again */
	CU_ASSERT_PTR_NULL(mh_fleet_find(f, "need@77"));
	mh_kern_advance(k, 60 * S, 60 * S);
	list_pool(f, 1);
	n = mh_fleet_find(f, "need@77");
	CU_ASSERT_EQUAL(n->said.limit_per_s, 2);
	CU_ASSERT_EQUAL(mh_node_next_us(f, n, MH_SENDER_ANY), S + S / 2);
	/* Another incarnation has said nothing yet. */
	mh_fleet_begin(f);
	mh_fleet_list(f, &l);
	mh_fleet_end(f);
	n = mh_fleet_find(f, "need@78");
	CU_ASSERT_EQUAL(mh_node_next_us(f, n, MH_SENDER_ANY), 0);
	mh_fleet_destroy(f);
	mh_kern_destroy(k);
}

/* Guards against an answer from before the limit that ends it. */
static void
test_limit_and_late_answers(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct mh_fleet *f = mh_fleet_create(k);
	struct mh_said named = { .sent_us = S,
		.is_work = true,
		.has_limit = true,
		.limit_per_s = 2 };
	struct mh_said s = { .sent_us = 2 * S - 1, .is_work = true };
	struct mh_node *n;

	mh_kern_advance(k, 2 * S, 2 * S);
	list_pool(f, 1);
	n = mh_fleet_find(f, "need@77");
	mh_node_said(f, n, &named);
	mh_kern_advance(k, 3 * S, 3 * S);
	mh_node_said(f, n, &s);
	CU_ASSERT_EQUAL(n->said.limit_per_s, 2);
	s.sent_us = 0; /* not known */
	mh_node_said(f, n, &s);
	CU_ASSERT_EQUAL(n->said.limit_per_s, 2);
	s.sent_us = 2 * S + 1;
	s.is_work = false;
	mh_node_said(f, n, &s);
	CU_ASSERT_EQUAL(n->said.limit_per_s, 2);
	s.is_work = true;
	mh_node_said(f, n, &s);
	CU_ASSERT_EQUAL(n->said.limit_per_s, 0);
	mh_fleet_destroy(f);
	mh_kern_destroy(k);
}

/* Guards against requests that wait until their deadline at a full pool. */
static void
test_gate_refuses_at_once(void)
{
	struct mh_said s = {
		.is_work = true, .has_limit = true, .limit_per_s = 0.1
	};
	struct grig *r = grig_create(1);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	mh_node_said(r->f, n, &s);
	(void)grig_request(r, "/safe/x", 5 * S);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_answer(r, 200, false, true);
	(void)grig_request(r, "/safe/x", 5 * S);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_NO_ENDPOINT);
	/* Another entry has a turn within 4 s, half as much for spread. */
	CU_ASSERT(r->retry_us >= 4 * S && r->retry_us <= 6 * S);
	grig_destroy(r);
}

/* Guards against stage work for a request that no engine will take in time. */
static void
test_gate_refuses_before_stages(void)
{
	struct mh_said s = {
		.is_work = true, .has_limit = true, .limit_per_s = 0.1
	};
	struct grig *r = grig_create(1);
	struct mh_groute *t = g_ptr_array_index(r->conf->routes, 0);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	t->n_stages = 1;
	t->stages[0].pool = g_strdup("work");
	(void)grig_request(r, "/safe/x", 5 * S);
	CU_ASSERT_EQUAL(r->jobs, 1);
	mh_node_said(r->f, n, &s);
	mh_node_sent(r->f, n);
	(void)grig_request(r, "/safe/x", 5 * S);
	CU_ASSERT_EQUAL(r->jobs, 1);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT(r->retry_us >= 4 * S);
	grig_destroy(r);
}

/* Guards against calls beyond the limit of a stage endpoint. */
static void
test_limit_of_stage_endpoint(void)
{
	static const char *const pools[] = { "a", NULL };
	static const uint32_t pieces[] = { 8 };
	struct mh_said s = {
		.is_work = true, .has_limit = true, .limit_per_s = 2
	};
	struct world *w = world_create();
	uint32_t before = 0;

	world_pool(w, "a", 2, 8, 100 * MS, 5 * MS, 0);
	for (int i = 0; i < 400; i++) {
		mh_sched_submit(
		    w->sched, world_job(w, pools, pieces, S, 2 * S));
		world_run(w, 50 * MS);
		if (i == 40)
			mh_node_said(
			    w->f, mh_fleet_find(w->f, w->nodes[0].id), &s);
		if (i == 40)
			before = w->nodes[0].calls;
	}
	CU_ASSERT(w->nodes[0].calls - before >= 18);
	CU_ASSERT(w->nodes[0].calls - before <= 2 * 18);
	CU_ASSERT(w->nodes[1].calls > 100);
	CU_ASSERT_EQUAL(w->failed, 0);
	world_destroy(w);
}

/* Guards against a rejection that ends a limit because it names none. */
static void
test_limit_and_rejections(void)
{
	static const struct {
		uint32_t status;
		const char *name;
		bool is_work;
	} t[] = { { 200, "X-Response-Stamp", true },
		{ 200, "X-Instance-Load", true }, { 200, "Server", false },
		{ 503, "X-Instance-Load", false },
		{ 429, "X-Instance-Load", false },
		{ 500, "X-Response-Stamp", false },
		{ 421, "X-Instance-Load", false } };

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct mh_headers *h = mh_headers_create();
		struct mh_said s;

		mh_headers_add(h, t[i].name, "1,0,8");
		plat_said_decode(t[i].status, h, &s);
		CU_ASSERT_EQUAL(s.is_work, t[i].is_work);
		mh_headers_destroy(h);
	}
}

/* Guards against values that make no sense. */
static void
test_limit_values(void)
{
	static const struct {
		const char *text;
		bool ok;
		double per_s;
	} t[] = { { "1", true, 1 }, { "0.5", true, 0.5 },
		{ " 2.50 ", true, 2.5 }, { "0", true, 0 }, { "1e9", true, 1e9 },
		{ "", false, 0 }, { "-1", false, 0 }, { "soon", false, 0 },
		{ "nan", false, 0 }, { "inf", false, 0 }, { "1e999", false, 0 },
		{ "0x10", false, 0 }, { "1,2", false, 0 }, { "1 2", false, 0 },
		{ "1s", false, 0 }, { ".", false, 0 }, { "+1", false, 0 } };

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct mh_headers *h = mh_headers_create();
		struct mh_said s;

		mh_headers_add(h, "X-Response-Stamp", "s");
		mh_headers_add(h, "server-limit", t[i].text);
		plat_said_decode(200, h, &s);
		CU_ASSERT_EQUAL(s.has_limit, t[i].ok);
		CU_ASSERT_EQUAL(s.malformed, !t[i].ok);
		CU_ASSERT(!t[i].ok || fabs(s.limit_per_s - t[i].per_s) < 1e-9);
		/* What can't be read does not end a limit. */
		CU_ASSERT_EQUAL(s.is_work, t[i].ok);
		plat_said_decode(421, h, &s);
		CU_ASSERT_FALSE(s.has_limit);
		mh_headers_destroy(h);
	}
}

/* Guards against a row that still says ready and undoes that one leaves. */
static void
test_leaving_and_rows(void)
{
	struct mh_said s = { .leaving = true };
	struct mh_kern *k = mh_kern_create(1);
	struct mh_fleet *f = mh_fleet_create(k);
	struct mh_listing l = { "need", 78, "pool", "10.0.0.1:1", "d", 8, false,
		0, NULL };
	struct mh_node *n;
	uint64_t version;

	list_pool(f, 2);
	n = mh_fleet_find(f, "need@77");
	version = mh_fleet_version(f);
	mh_node_said(f, n, &s);
	CU_ASSERT(mh_fleet_version(f) > version);
	for (int i = 0; i < 3; i++) {
		n = mh_fleet_find(f, "need@77");
		CU_ASSERT_FALSE(mh_node_usable(f, n));
		CU_ASSERT_EQUAL(
		    mh_node_next_us(f, n, MH_SENDER_ONE), INT64_MAX);
		CU_ASSERT_EQUAL(mh_fleet_slice(f, n, 4), 4);
		if (i == 1)
			list_pool(f, 0); /* removed, and listed again */
		list_pool(f, 2);
	}
	/* Another incarnation has not said so. */
	mh_fleet_begin(f);
	mh_fleet_list(f, &l);
	mh_fleet_end(f);
	CU_ASSERT_TRUE(mh_node_usable(f, mh_fleet_find(f, "need@78")));
	mh_fleet_destroy(f);
	mh_kern_destroy(k);
}

/* Guards against requests for an endpoint that has said that it leaves. */
static void
test_gate_leaving(void)
{
	static const char *const targets[] = { "/safe/x", "/once/x",
		"/resume/x", "/stream/x" };
	struct mh_said s = { .leaving = true };

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct grig *r = grig_create(2);
		char first[16];

		(void)grig_request(r, targets[i], 5 * S);
		g_strlcpy(first, r->last, sizeof(first));
		mh_node_said(r->f, mh_fleet_find(r->f, first), &s);
		CU_ASSERT_EQUAL(r->aborts, 0);
		grig_answer(r, 200, false, true);
		CU_ASSERT_EQUAL(r->finished, 1);
		for (int n = 0; n < 5; n++) {
			(void)grig_request(r, targets[i], 5 * S);
			CU_ASSERT_STRING_NOT_EQUAL(r->last, first);
			grig_answer(r, 200, false, true);
		}
		mh_node_said(r->f, mh_fleet_find(r->f, r->last), &s);
		(void)grig_request(r, targets[i], 5 * S);
		CU_ASSERT_EQUAL(r->sends, 6);
		CU_ASSERT_EQUAL(r->refused, 1);
		CU_ASSERT_EQUAL(r->why, MH_NO_ENDPOINT);
		grig_destroy(r);
	}
}

/* Guards against calls to a stage endpoint that has said that it leaves. */
static void
test_leaving_stage_endpoint(void)
{
	static const char *const pools[] = { "a", NULL };
	static const uint32_t pieces[] = { 8 };
	struct mh_said s = { .leaving = true };
	struct world *w = world_create();
	uint32_t before = 0;

	world_pool(w, "a", 2, 8, 100 * MS, 5 * MS, 0);
	for (int i = 0; i < 200; i++) {
		mh_sched_submit(
		    w->sched, world_job(w, pools, pieces, S, 2 * S));
		world_run(w, 80 * MS);
		if (i != 40)
			continue;
		mh_node_said(w->f, mh_fleet_find(w->f, w->nodes[0].id), &s);
		before = w->nodes[0].calls;
	}
	CU_ASSERT(before > 0);
	CU_ASSERT_EQUAL(w->nodes[0].calls, before);
	CU_ASSERT(w->nodes[1].calls > 50);
	CU_ASSERT_EQUAL(w->failed, 0);
	world_destroy(w);
}

/* Guards against values that make no sense. */
static void
test_leaving_values(void)
{
	static const struct {
		const char *text;
		bool leaving;
		bool malformed;
	} t[] = { { "1", true, false }, { "0", false, false },
		{ "", false, true }, { "2", false, true },
		{ "-1", false, true }, { "yes", false, true },
		{ "11", false, true } };

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct mh_headers *h = mh_headers_create();
		struct mh_said s;

		mh_headers_add(h, "server-leaving", t[i].text);
		plat_said_decode(503, h, &s);
		CU_ASSERT_EQUAL(s.leaving, t[i].leaving);
		CU_ASSERT_EQUAL(s.malformed, t[i].malformed);
		plat_said_decode(421, h, &s);
		CU_ASSERT_FALSE(s.leaving);
		mh_headers_destroy(h);
	}
}

/* Guards against requests for an endpoint that has asked for rest. */
static void
test_gate_rest(void)
{
	static const char *const targets[] = { "/safe/x", "/once/x",
		"/resume/x", "/stream/x" };
	struct mh_said s = { .rest_us = 3 * S };

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct grig *r = grig_create(2);
		char first[16];

		(void)grig_request(r, targets[i], 10 * S);
		g_strlcpy(first, r->last, sizeof(first));
		mh_node_said(r->f, mh_fleet_find(r->f, first), &s);
		grig_answer(r, 503, true, false);
		CU_ASSERT_EQUAL(r->sends, 2);
		grig_answer(r, 200, false, true);
		for (int n = 0; n < 5; n++) {
			grig_advance(r, 100 * MS);
			(void)grig_request(r, targets[i], 10 * S);
			CU_ASSERT_STRING_NOT_EQUAL(r->last, first);
			grig_answer(r, 200, false, true);
		}
		/* Both are at rest: the caller returns when one of them ends.
		 */
		(void)grig_request(r, targets[i], 10 * S);
		mh_node_said(r->f, mh_fleet_find(r->f, r->last), &s);
		grig_answer(r, 503, true, false);
		CU_ASSERT_EQUAL(r->refused, 1);
		CU_ASSERT(r->retry_us >= 2500 * MS && r->retry_us <= 3750 * MS);
		(void)grig_request(r, targets[i], 10 * S);
		CU_ASSERT_EQUAL(r->sends, 8);
		CU_ASSERT_EQUAL(r->refused, 2);
		CU_ASSERT_EQUAL(r->why, MH_NO_ENDPOINT);
		CU_ASSERT(r->retry_us >= 2500 * MS && r->retry_us <= 3750 * MS);
		grig_advance(r, 2500 * MS);
		(void)grig_request(r, targets[i], 10 * S);
		CU_ASSERT_EQUAL(r->sends, 9);
		CU_ASSERT_STRING_EQUAL(r->last, first);
		grig_destroy(r);
	}
}

/* Guards against a shorter rest, a row or a removal that ends a rest. */
static void
test_rest_holds(void)
{
	struct mh_said longer = { .rest_us = 5 * S }, s = { .rest_us = S };
	struct mh_kern *k = mh_kern_create(1);
	struct mh_fleet *f = mh_fleet_create(k);
	struct mh_listing l = { "need", 78, "pool", "10.0.0.1:1", "d", 8, false,
		0, NULL };
	struct mh_node *n;

	mh_kern_advance(k, S, S);
	list_pool(f, 2);
	mh_node_said(f, mh_fleet_find(f, "need@77"), &longer);
	mh_node_said(f, mh_fleet_find(f, "need@77"), &s);
	for (int i = 0; i < 3; i++) {
		n = mh_fleet_find(f, "need@77");
		CU_ASSERT_FALSE(mh_node_usable(f, n));
		CU_ASSERT_EQUAL(mh_node_next_us(f, n, MH_SENDER_ANY), 6 * S);
		if (i == 1)
			list_pool(f, 0);
		list_pool(f, 2);
	}
	mh_kern_advance(k, 6 * S, 6 * S);
	CU_ASSERT_TRUE(mh_node_usable(f, mh_fleet_find(f, "need@77")));
	mh_node_said(f, mh_fleet_find(f, "need@77"), &longer);
	mh_fleet_begin(f);
	mh_fleet_list(f, &l);
	mh_fleet_end(f);
	CU_ASSERT_TRUE(mh_node_usable(f, mh_fleet_find(f, "need@78")));
	mh_fleet_destroy(f);
	mh_kern_destroy(k);
}

/* Guards against calls to a stage endpoint at rest, and a wrong retry time. */
static void
test_rest_of_stage_endpoint(void)
{
	static const char *const pools[] = { "a", NULL };
	static const uint32_t pieces[] = { 8 };
	struct mh_said s = { .rest_us = 4 * S };
	struct world *w = world_create();
	uint32_t before[2];

	world_pool(w, "a", 2, 8, 100 * MS, 5 * MS, 0);
	for (int i = 0; i < 30; i++) {
		mh_sched_submit(
		    w->sched, world_job(w, pools, pieces, S, 2 * S));
		world_run(w, 100 * MS);
	}
	for (int n = 0; n < 2; n++)
		mh_node_said(w->f, mh_fleet_find(w->f, w->nodes[n].id), &s);
	world_run(w, S);
	before[0] = w->nodes[0].calls;
	before[1] = w->nodes[1].calls;
	CU_ASSERT_EQUAL(mh_sched_backlog_us(w->sched, "a"), 3 * S);
	for (int i = 0; i < 20; i++) {
		mh_sched_submit(
		    w->sched, world_job(w, pools, pieces, S, 2 * S));
		world_run(w, 100 * MS);
	}
	CU_ASSERT_EQUAL(w->nodes[0].calls, before[0]);
	CU_ASSERT_EQUAL(w->nodes[1].calls, before[1]);
	CU_ASSERT_EQUAL(w->refused, 20);
	world_run(w, 2 * S);
	mh_sched_submit(w->sched, world_job(w, pools, pieces, S, 2 * S));
	world_run(w, S);
	CU_ASSERT_EQUAL(
	    w->nodes[0].calls + w->nodes[1].calls, before[0] + before[1] + 1);
	world_destroy(w);
}

/* Guards against times of rest that make no sense. */
static void
test_rest_values(void)
{
	static const char date[] = "Thu, 03 Dec 2026 20:00:00 GMT";
	static const struct {
		const char *text;
		const char *date;
		int64_t us; /* -1: malformed */
	} t[] = { { "3", NULL, 3 * S }, { "0.25", NULL, S / 4 },
		{ "0", NULL, 0 }, { "1e12", NULL, 1000000 * S },
		{ "-3", NULL, -1 }, { "", NULL, -1 }, { "later", NULL, -1 },
		{ "nan", NULL, -1 }, { "3 s", NULL, -1 },
		{ "Thu, 03 Dec 2026 20:00:07 GMT", date, 7 * S },
		{ "Thu, 03 Dec 2026 19:59:00 GMT", date, 0 },
		{ "Thu, 03 Dec 2026 20:00:07 GMT", NULL, -1 },
		{ "Thu, 03 Dec 2026 20:00:07 GMT", "soon", -1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct mh_headers *h = mh_headers_create();
		struct mh_said s;

		mh_headers_add(h, "retry-after", t[i].text);
		if (t[i].date != NULL)
			mh_headers_add(h, "Date", t[i].date);
		plat_said_decode(503, h, &s);
		CU_ASSERT_EQUAL(s.rest_us, MAX(t[i].us, 0));
		CU_ASSERT_EQUAL(s.malformed, t[i].us < 0);
		plat_said_decode(200, h, &s);
		CU_ASSERT_EQUAL(s.rest_us, 0);
		plat_said_decode(421, h, &s);
		CU_ASSERT_EQUAL(s.rest_us, 0);
		mh_headers_destroy(h);
	}
}

const struct test tests_said[] = {
	{ "said: a limit holds over all entries", test_limit_over_entries },
	{ "said: a limit of a whole pool", test_limit_of_whole_pool },
	{ "said: a limit ends", test_limit_ends },
	{ "said: a limit as entries change", test_limit_as_entries_change },
	{ "said: a limit falls", test_limit_falls },
	{ "said: a limit and the registry", test_limit_and_rows },
	{ "said: a limit and late answers", test_limit_and_late_answers },
	{ "said: refused at once", test_gate_refuses_at_once },
	{ "said: refused before stage work", test_gate_refuses_before_stages },
	{ "said: a limit of a stage endpoint", test_limit_of_stage_endpoint },
	{ "said: a limit and rejections", test_limit_and_rejections },
	{ "said: values of a limit", test_limit_values },
	{ "said: one leaves, by its word and its row", test_leaving_and_rows },
	{ "said: no request for one that leaves", test_gate_leaving },
	{ "said: a stage endpoint leaves", test_leaving_stage_endpoint },
	{ "said: values of leaving", test_leaving_values },
	{ "said: no request for one at rest", test_gate_rest },
	{ "said: a rest holds", test_rest_holds },
	{ "said: a stage endpoint at rest", test_rest_of_stage_endpoint },
	{ "said: values of a rest", test_rest_values },
	{ NULL, NULL },
};
