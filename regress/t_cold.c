/**
 * DOC: Endpoints of evacuated failure domains, which receive nothing, and cold
 * endpoints, which receive few requests.
 */

#include "gaterig.h"
#include "mesh.h"
#include "regress.h"
#include "world.h"

#include <stdio.h>
#include <string.h>

static const char *const none[] = { NULL };
static const char *const first[] = { "d0", NULL };
static const char *const both[] = { "d0", "d1", NULL };

static void
list_two(struct mh_fleet *f, int64_t warm_us)
{
	struct mh_listing a = { "a", 0, "pool", "10.0.0.1:1", "d0", 64, false,
		warm_us, NULL };
	struct mh_listing b = { "b", 0, "pool", "10.0.0.2:1", "d1", 64, false,
		0, NULL };

	mh_fleet_begin(f);
	mh_fleet_list(f, &a);
	mh_fleet_list(f, &b);
	mh_fleet_end(f);
}

/* Guards against requests to endpoints of an evacuated failure domain. */
static void
test_place_evacuated(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct mh_fleet *f = mh_fleet_create(k);
	struct mh_place *p = mh_place_create(k, f);
	struct mh_node *n;

	mh_kern_advance(k, S, S);
	list_two(f, 0);
	mh_fleet_evacuate(f, first);
	for (int i = 0; i < 100; i++) {
		struct mh_place_request a = { .pool = "pool",
			.parts = { { (uint64_t)i, 900 }, { 7, 10 } },
			.n_parts = i % 2 == 0 ? 0 : 2,
			.isolation_hash = i % 3 == 0 ? (uint64_t)i : 0 };

		n = mh_place_pick(p, &a);
		CU_ASSERT_PTR_NOT_NULL(n);
		if (n == NULL)
			break;
		CU_ASSERT_STRING_EQUAL(n->id, "b");
		CU_ASSERT_STRING_EQUAL(n->domain, "d1");
	}
	/* Even if all are evacuated, and for endpoints listed afterwards. */
	mh_fleet_evacuate(f, both);
	list_two(f, 0);
	for (int i = 0; i < 2; i++) {
		struct mh_place_request a = { .pool = "pool" };

		CU_ASSERT_PTR_NULL(mh_place_pick(p, &a));
		mh_fleet_begin(f);
		mh_fleet_end(f);
		list_two(f, 0);
	}
	mh_fleet_evacuate(f, none);
	for (int i = 0; i < 2; i++) {
		struct mh_place_request a = { .pool = "pool" };

		CU_ASSERT_PTR_NOT_NULL(mh_place_pick(p, &a));
	}
	mh_place_destroy(p);
	mh_fleet_destroy(f);
	mh_kern_destroy(k);
}

/* Guards against retries in an evacuated domain and against aborts there. */
static void
test_gate_evacuated(void)
{
	static const char *const d[] = { "d", NULL };
	static const char *const targets[] = { "/safe/x", "/once/x",
		"/resume/x", "/stream/x" };

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct grig *r = grig_create(3);

		(void)grig_request(r, targets[i], 5 * S);
		CU_ASSERT_EQUAL(r->sends, 1);
		mh_fleet_evacuate(r->f, d);
		/* Running requests continue. */
		CU_ASSERT_EQUAL(r->aborts, 0);
		grig_answer(r, 503, true, false);
		CU_ASSERT_EQUAL(r->sends, 1);
		CU_ASSERT_EQUAL(r->refused, 1);
		CU_ASSERT_EQUAL(r->why, MH_NO_ENDPOINT);
		(void)grig_request(r, targets[i], 5 * S);
		CU_ASSERT_EQUAL(r->sends, 1);
		CU_ASSERT_EQUAL(r->refused, 2);
		grig_destroy(r);
	}
}

static uint32_t
calls_in(const struct world *w, const char *domain)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n_nodes; i++) {
		if (strcmp(w->nodes[i].domain, domain) == 0)
			n += w->nodes[i].calls;
	}
	return n;
}

/* Guards against pieces, new or queued ones, for an evacuated domain. */
static void
test_cell_evacuated(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	static const uint32_t pieces[] = { 3, 6 };
	struct world *w = world_create();
	uint32_t before, jobs = 0;

	world_pool(w, "a", 6, 8, 200 * MS, 20 * MS, 0);
	world_pool(w, "b", 6, 8, 200 * MS, 20 * MS, 0);
	for (int i = 0; i < 60; i++, jobs++) {
		mh_sched_submit(
		    w->sched, world_job(w, pools, pieces, 4 * S, 6 * S));
		world_run(w, 30 * MS);
	}
	CU_ASSERT(calls_in(w, "d0") > 0);
	mh_fleet_evacuate(w->f, first);
	before = calls_in(w, "d0");
	for (int i = 0; i < 60; i++, jobs++) {
		mh_sched_submit(
		    w->sched, world_job(w, pools, pieces, 4 * S, 6 * S));
		world_run(w, 30 * MS);
	}
	world_run(w, 5 * S);
	CU_ASSERT_EQUAL(calls_in(w, "d0"), before);
	CU_ASSERT_EQUAL(w->done + w->refused, jobs);
	CU_ASSERT_EQUAL(w->failed, 0);
	mh_fleet_evacuate(w->f, none);
	for (int i = 0; i < 20; i++) {
		mh_sched_submit(
		    w->sched, world_job(w, pools, pieces, 4 * S, 6 * S));
		world_run(w, 10 * MS);
	}
	CU_ASSERT(calls_in(w, "d0") > before);
	world_destroy(w);
}

/* cold endpoints */

#define PER_S 8.0
/* Requests that a cold endpoint may get in any second, with those in flight. */
#define BOUND 17

/** struct cold_entry - an entry that places requests. */
struct cold_entry {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_place *p;
	struct mh_mesh *m;
};

/** struct cold_world - entries that use the same endpoints. */
struct cold_world {
	struct cold_entry *e;
	uint32_t n;
	struct mh_gconf *conf;
	GArray *sent; /* int64_t, times of requests to the cold endpoint */
	uint32_t others; /* requests elsewhere */
	uint32_t waited;
	uint32_t refused;
};

static uint32_t
rank_of(void *arg, const char *endpoint, uint32_t *entries)
{
	return mh_mesh_rank(((struct cold_entry *)arg)->m, endpoint, entries);
}

/* Entry @i has the list of the others, without each third if @partly. */
static void
list_entries(struct cold_world *m, uint32_t i, bool partly)
{
	GPtrArray *list = g_ptr_array_new();
	struct mh_member *all = g_new0(struct mh_member, m->n);

	for (uint32_t j = 0; j < m->n; j++) {
		all[j].node = g_strdup_printf("e%u", j);
		all[j].addr = g_strdup("10.0.0.9:1");
		all[j].weight = 1;
		if (j == i || !partly || (i + j) % 3 != 0)
			g_ptr_array_add(list, &all[j]);
	}
	mh_mesh_set_members(m->e[i].m, list);
	for (uint32_t j = 0; j < m->n; j++) {
		g_free(all[j].node);
		g_free(all[j].addr);
	}
	g_free(all);
	g_ptr_array_free(list, TRUE);
}

static struct cold_world *
cold_world_create(uint32_t n, int64_t warm_us, bool partly)
{
	struct cold_world *m = g_new0(struct cold_world, 1);
	struct mh_gpool *p = g_new0(struct mh_gpool, 1);

	m->n = n;
	m->e = g_new0(struct cold_entry, n);
	m->sent = g_array_new(FALSE, FALSE, sizeof(int64_t));
	m->conf = mh_gconf_create();
	p->name = g_strdup("pool");
	p->warmup_us = 3 * S;
	p->cold_per_s = PER_S;
	g_hash_table_insert(m->conf->pools, p->name, p);
	for (uint32_t i = 0; i < n; i++) {
		struct cold_entry *e = &m->e[i];
		char node[16];

		g_snprintf(node, sizeof(node), "e%u", i);
		e->k = mh_kern_create(i + 1);
		mh_kern_advance(e->k, S, S);
		e->f = mh_fleet_create(e->k);
		e->p = mh_place_create(e->k, e->f);
		e->m = mh_mesh_create(e->k, node, 1);
		mh_fleet_set_conf(e->f, m->conf);
		mh_fleet_set_sharing(e->f, rank_of, NULL, e);
		list_entries(m, i, partly);
		list_two(e->f, warm_us);
	}
	return m;
}

static void
cold_world_destroy(struct cold_world *m)
{
	for (uint32_t i = 0; i < m->n; i++) {
		mh_place_destroy(m->e[i].p);
		mh_fleet_destroy(m->e[i].f);
		mh_kern_destroy(m->e[i].k);
	}
	g_array_free(m->sent, TRUE);
	mh_gconf_unref(m->conf);
	g_free(m->e);
	g_free(m);
}

static void
place_one(
    struct cold_world *m, struct cold_entry *e, int64_t now, uint64_t part)
{
	struct mh_place_request a = { .pool = "pool",
		.parts = { { part, 6000 }, { 3, 100 } },
		.n_parts = 2,
		.cold_per_s = PER_S,
		.wait_deadline_us = now + 500 * MS };
	struct mh_node *n = mh_place_pick(e->p, &a);

	if (n == NULL) {
		m->waited +=
		    a.wait_us > 0 && now + a.wait_us <= a.wait_deadline_us;
		m->refused++;
		/* A waiting request is sent in its time slot. */
		if (a.wait_node != NULL) {
			int64_t at = now + a.wait_us;

			g_array_append_val(m->sent, at);
		}
		return;
	}
	mh_place_sent(e->p, &a, n);
	if (strcmp(n->id, "a") == 0)
		g_array_append_val(m->sent, now);
	else
		m->others++;
}

/* Places @per_s requests a second for @us; prompts rotate over @parts. */
static void
cold_world_run(struct cold_world *m, uint32_t per_s, uint64_t parts, int64_t us)
{
	GRand *rand = g_rand_new_with_seed(5);
	int64_t each = S / per_s;

	for (int64_t t = 0; t < us; t += each) {
		uint32_t i = (uint32_t)g_rand_int_range(rand, 0, (gint32)m->n);

		mh_kern_advance(m->e[i].k, S + t, S + t);
		place_one(m, &m->e[i], S + t,
		    (uint64_t)t / (uint64_t)each % parts + 10);
	}
	g_rand_free(rand);
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* The largest number of requests to the cold endpoint within a second. */
static uint32_t
most_in_a_second(const struct cold_world *m)
{
	uint32_t most = 0;

	g_array_sort(m->sent, by_time);
	for (guint i = 0, from = 0; i < m->sent->len; i++) {
		while (g_array_index(m->sent, int64_t, i) -
			g_array_index(m->sent, int64_t, from) >=
		    S)
			from++;
		most = MAX(most, i - from + 1);
	}
	return most;
}

/*
 * Guards against overload of a cold endpoint, which takes only a few requests a
 * second from all entries together.  It looks idle to each of hundreds of
 * entries, may have the affinity of a hot prompt, may be the only endpoint, and
 * entries may have incomplete lists of each other.
 */
static void
test_cold_bound(void)
{
	static const struct {
		uint32_t entries;
		uint64_t prompts; /* 1: a single hot prompt */
		bool alone; /* the other endpoint is evacuated */
		bool partly; /* each entry lists two thirds of the others */
	} t[] = {
		{ 1, 40, false, false },
		{ 4, 1, true, false },
		{ 21, 40, false, false },
		{ 21, 1, false, false },
		{ 21, 40, true, false },
		{ 21, 1, true, true },
		{ 300, 40, false, false },
		{ 300, 1, true, false },
		{ 300, 1, true, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct cold_world *m =
		    cold_world_create(t[i].entries, 3 * S, t[i].partly);
		uint32_t most;

		for (uint32_t j = 0; t[i].alone && j < m->n; j++) {
			static const char *const d1[] = { "d1", NULL };

			mh_fleet_evacuate(m->e[j].f, d1);
		}
		cold_world_run(m, 200, t[i].prompts, 2900 * MS);
		most = most_in_a_second(m);
		if (most > BOUND)
			fprintf(stderr, "row %zu: %u in a second\n", i, most);
		CU_ASSERT(most <= BOUND);
		CU_ASSERT(m->sent->len >= 3);
		cold_world_destroy(m);
	}
}

/* Guards against an entry without a list that takes all slots for its own. */
static void
test_cold_before_the_list(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct mh_mesh *m = mh_mesh_create(k, "e0", 1);
	uint32_t n;

	CU_ASSERT_EQUAL(mh_mesh_rank(m, "a", &n), UINT32_MAX);
	mh_kern_destroy(k);
}

static void
test_slots(void)
{
	static const struct {
		struct mh_cold_slot t;
		int64_t us;
	} t[] = {
		{ { 8, 1, 0 }, S / 8 },
		{ { 8, 4, 3 }, S / 2 },
		{ { 8, 21, 7 }, S },
		{ { 8, 21, 8 }, 0 },
		{ { 8, 300, UINT32_MAX }, 0 },
		{ { 0.5, 10, 0 }, 2 * S },
		{ { 0.5, 10, 1 }, 0 },
		{ { 2.5, 10, 1 }, 800 * MS },
		{ { 0, 10, 0 }, 0 },
		{ { -3, 10, 0 }, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++)
		CU_ASSERT_EQUAL(mh_cold_slot_us(&t[i].t), t[i].us);
}

/* Guards against overload of an endpoint right after its evacuation ends. */
static void
test_cold_after_evacuation(void)
{
	struct cold_world *m = cold_world_create(1, 0, false);
	struct mh_fleet *f = m->e[0].f;
	struct mh_node *n = mh_fleet_find(f, "a");

	CU_ASSERT_FALSE(mh_node_cold(f, n));
	mh_fleet_evacuate(f, first);
	mh_fleet_evacuate(f, none);
	CU_ASSERT(mh_node_cold(f, n));
	/* Its row and its answers may date from before the evacuation. */
	list_two(f, 0);
	mh_node_set_warmup(f, n, 0);
	CU_ASSERT(mh_node_cold(f, n));
	mh_kern_advance(m->e[0].k, 4 * S + 1, 4 * S + 1);
	CU_ASSERT_FALSE(mh_node_cold(f, n));
	cold_world_destroy(m);
}

/* The newest report counts: a registry row or an answer of the endpoint. */
static void
test_newest_report(void)
{
	struct cold_world *m = cold_world_create(1, 2 * S, false);
	struct mh_kern *k = m->e[0].k;
	struct mh_fleet *f = m->e[0].f;
	struct mh_node *n = mh_fleet_find(f, "a");

	CU_ASSERT(mh_node_cold(f, n));
	mh_node_set_warmup(f, n, 0); /* reported in an answer */
	CU_ASSERT_FALSE(mh_node_cold(f, n));
	mh_kern_advance(k, S + 500 * MS, S + 500 * MS);
	list_two(f, 1500 * MS); /* the same row again */
	CU_ASSERT_FALSE(mh_node_cold(f, n));
	list_two(f, 3 * S); /* a new row: cold again */
	CU_ASSERT(mh_node_cold(f, n));
	mh_kern_advance(k, 3 * S, 3 * S);
	mh_node_set_warmup(f, n, 5 * S);
	list_two(f, 1500 * MS);
	mh_kern_advance(k, 7 * S, 7 * S);
	CU_ASSERT(mh_node_cold(f, n));
	cold_world_destroy(m);
}

/* With only a cold endpoint, requests wait for a slot within their SLO. */
static void
test_waits_for_slot(void)
{
	struct grig *r = grig_create(1);
	struct mh_gpool *p = g_new0(struct mh_gpool, 1);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	p->name = g_strdup("pool");
	p->max_conns = 8;
	p->cold_per_s = 2;
	g_hash_table_insert(r->conf->pools, p->name, p);
	mh_node_set_warmup(r->f, n, 10 * S);
	(void)grig_request(r, "/once/x", 5 * S);
	(void)grig_request(r, "/once/x", 5 * S);
	(void)grig_request(r, "/once/x", 5 * S);
	(void)grig_request(r, "/once/x", 5 * S);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->refused, 1); /* its slot would miss its SLO */
	CU_ASSERT(r->retry_us >= S);
	grig_advance(r, 400 * MS);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_advance(r, 200 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	/* The slot of a caller that left is not used. */
	mh_gate_caller_left(r->g, g_ptr_array_index(r->open, 2));
	grig_advance(r, 600 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_destroy(r);
}

const struct test tests_cold[] = {
	{ "evacuated: requests", test_place_evacuated },
	{ "evacuated: retries", test_gate_evacuated },
	{ "evacuated: pieces", test_cell_evacuated },
	{ "cold: the limit over all entries", test_cold_bound },
	{ "cold: before the list of entries", test_cold_before_the_list },
	{ "cold: time slots", test_slots },
	{ "cold: after an evacuation", test_cold_after_evacuation },
	{ "cold: the newest report", test_newest_report },
	{ "cold: a request waits for its slot", test_waits_for_slot },
	{ NULL, NULL },
};
