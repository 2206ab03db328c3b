/**
 * DOC: Routing: prefix affinity with bounded loads, two choices, limited
 * ejection, round robin.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

#define PEERS 6

struct route_world {
	struct net *n;
	struct net_node *e;
	struct net_node *s[PEERS];
};

static void
make(struct route_world *w, const char *doc)
{
	char vm[24];

	w->n = net_create(21);
	net_apply(w->n, 1, doc);
	for (int i = 0; i < PEERS; i++) {
		snprintf(vm, sizeof(vm), "llm%d", i);
		w->s[i] = net_side(w->n, vm, "llm", "a", 8);
	}
	w->e = net_entry(w->n, "entry1", "a");
	net_run(w->n, 10 * MH_US_PER_S);
	net_tick(w->e);
}

static struct mh_peer *
pick(struct route_world *w, uint64_t affinity)
{
	struct mh_pick q = { .pool = "llm", .affinity = affinity };

	return mh_route_pick(w->e->k, &q);
}

/*
 * Requests with one long prefix go to one engine, else each engine prefills it
 * again; beyond the load bound they go to the next one, else the first engine
 * is full while the others are idle.
 */
static void
test_prefix_keeps_its_order(void)
{
	struct route_world w;
	struct mh_peer *first, *second;

	make(&w, net_doc);
	first = pick(&w, 77);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_PTR_EQUAL(pick(&w, 77), first);
	first->own_calls = 10;
	second = pick(&w, 77);
	CU_ASSERT_PTR_NOT_EQUAL(second, first);
	for (int i = 0; i < 20; i++)
		CU_ASSERT_PTR_EQUAL(pick(&w, 77), second);
	first->own_calls = 0;
	CU_ASSERT_PTR_EQUAL(pick(&w, 77), first);
	net_destroy(w.n);
}

static void
test_prefixes_spread(void)
{
	struct route_world w;
	GHashTable *seen = g_hash_table_new(NULL, NULL);

	make(&w, net_doc);
	for (uint64_t i = 1; i < 100; i++)
		g_hash_table_add(seen, pick(&w, i * 7919));
	CU_ASSERT_EQUAL(g_hash_table_size(seen), PEERS);
	g_hash_table_destroy(seen);
	net_destroy(w.n);
}

/*
 * Guards against ejection of most of a pool when all of its engines fail now
 * and then, as with a bad model version: the few remaining ones are overloaded.
 */
static void
test_ejection_is_limited(void)
{
	struct route_world w;
	int ejected = 0;

	make(&w, net_doc);
	for (int i = 0; i < PEERS; i++) {
		struct mh_peer *p = mh_member_find(w.e->k, w.s[i]->vm);

		for (int j = 0; j < 5; j++)
			mh_route_result(w.e->k, p, false, 0);
		ejected += p->eject_until_us > mh_now(w.e->k);
	}
	CU_ASSERT_EQUAL(ejected, PEERS / 3);
	net_destroy(w.n);
}

static void
test_ejected_is_not_picked(void)
{
	struct route_world w;
	struct mh_peer *bad;

	make(&w, net_doc);
	bad = mh_member_find(w.e->k, "llm3");
	for (int j = 0; j < 3; j++)
		mh_route_result(w.e->k, bad, false, 0);
	for (int i = 0; i < 200; i++)
		CU_ASSERT_PTR_NOT_EQUAL(pick(&w, 0), bad);
	net_run(w.n, MH_US_PER_S);
	net_tick(w.e);
	CU_ASSERT(bad->eject_until_us <= mh_now(w.e->k));
	net_destroy(w.n);
}

/* The reported load counts, with the calls of other entries. */
static void
test_two_choices_follow_the_load(void)
{
	struct route_world w;
	Mh__Load l = MH__LOAD__INIT;
	struct mh_peer *full;
	int times = 0;

	make(&w, net_doc);
	full = mh_member_find(w.e->k, "llm1");
	l.running = 8;
	l.queued = 20;
	l.slots = 8;
	mh_route_load(w.e->k, full, &l);
	for (int i = 0; i < 300; i++)
		times += pick(&w, 0) == full;
	CU_ASSERT(times < 20);
	net_destroy(w.n);
}

static void
test_round_robin_is_even(void)
{
	struct route_world w;
	char *doc = net_doc_with("routing: round-robin");
	int times[PEERS] = { 0 };

	make(&w, doc);
	for (int i = 0; i < PEERS * 10; i++) {
		struct mh_peer *p = pick(&w, 5);

		for (int j = 0; j < PEERS; j++)
			times[j] += strcmp(p->vm, w.s[j]->vm) == 0;
	}
	for (int j = 0; j < PEERS; j++)
		CU_ASSERT_EQUAL(times[j], 10);
	g_free(doc);
	net_destroy(w.n);
}

const struct test tests_route[] = {
	{ "prefix_keeps_its_order", test_prefix_keeps_its_order },
	{ "prefixes_spread", test_prefixes_spread },
	{ "ejection_is_limited", test_ejection_is_limited },
	{ "ejected_is_not_picked", test_ejected_is_not_picked },
	{ "two_choices_follow_the_load", test_two_choices_follow_the_load },
	{ "round_robin_is_even", test_round_robin_is_even },
	{ NULL, NULL },
};
