/**
 * DOC: A process's own end: what its callers and peers get for what it still
 * holds when it stops.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

#define CHECK_US (50 * MH_US_PER_MS) /* run.c looks this often */
#define SLOW_US (40 * MH_US_PER_S) /* a call that outlasts the drain */

struct drain_world {
	struct net *n;
	struct net_node *side;
	struct net_node *e[2];
};

/* Every class and stage may take a minute: longer than a drain. */
static char *
patient_doc(void)
{
	GString *s = g_string_new(net_doc);
	char *doc;

	g_string_replace(s, "deadline_ms: 2000", "deadline_ms: 60000", 0);
	g_string_replace(s, "deadline_ms: 4000", "deadline_ms: 60000", 0);
	g_string_replace(s, "pool: enc, repeat: safe",
	    "pool: enc, repeat: safe, timeout_ms: 60000", 0);
	doc = s->str;
	g_string_free(s, FALSE);
	return doc;
}

static void
make(struct drain_world *w, uint32_t seed, const char *pool)
{
	char *doc = patient_doc();

	w->n = net_create(seed);
	net_apply(w->n, 1, doc);
	w->side = net_side(w->n, "side1", pool, "a", 1);
	w->side->service_us = SLOW_US;
	w->e[0] = net_entry(w->n, "entry1", "a");
	w->e[1] = net_entry(w->n, "entry2", "b");
	net_run(w->n, 4 * MH_US_PER_S);
	g_free(doc);
}

/* Drains @x as its daemon does, and ends it. */
static void
drain_to_the_end(struct net_node *x)
{
	int64_t start = net_now(x->net);

	mh_side_drain(x->k);
	do {
		net_run(x->net, CHECK_US);
	} while (
	    !mh_side_idle(x->k) && net_now(x->net) - start < MH_SIDE_DRAIN_US);
	net_kill(x);
}

static uint64_t
confirm(struct drain_world *w, int entry, const char *key)
{
	struct net_ask a = { .path = "/v1/pipelines/confirm", .once = key };
	uint64_t id = net_request(w->e[entry], &a);

	net_run(w->n, 100 * MH_US_PER_MS);
	return id;
}

/*
 * While the KV service is out a side process can't hand its partitions over
 * and ends after 30 s, with one booking at the service and one in its queue.
 * The callers waited for their whole minute and were told "unknown", both,
 * though the second had never left the queue: its parent may not book again.
 * The end was bounded, and the calls that it held were not.
 */
static void
test_side_ends_with_bookings(void)
{
	struct drain_world w;
	uint64_t runs, same, queued;
	int64_t end;

	make(&w, 1, "book");
	w.n->kv_down = true;
	runs = confirm(&w, 0, "k1");
	same = confirm(&w, 1, "k1");
	queued = confirm(&w, 0, "k2");
	drain_to_the_end(w.side);
	end = net_now(w.n);
	net_run(w.n, SLOW_US);
	CU_ASSERT_STRING_EQUAL(
	    net_answer_text(w.n, runs, "outcome"), "unknown");
	CU_ASSERT_STRING_EQUAL(
	    net_answer_text(w.n, same, "outcome"), "unknown");
	CU_ASSERT_STRING_EQUAL(
	    net_answer_text(w.n, queued, "outcome"), "not-run");
	CU_ASSERT(net_answer(w.n, runs)->at_us < end);
	CU_ASSERT(net_answer(w.n, same)->at_us < end);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 1);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k2"), 0);
	net_destroy(w.n);
}

/*
 * The same with work that may be repeated: the request in the queue never
 * ran and was told "failed", as if an endpoint had spent time on it.
 */
static void
test_side_ends_with_work(void)
{
	struct net_ask a = { .path = "/v1/pipelines/embed" };
	struct drain_world w;
	uint64_t runs, queued;
	int64_t end;

	make(&w, 2, "enc");
	runs = net_request(w.e[0], &a);
	net_run(w.n, 100 * MH_US_PER_MS);
	queued = net_request(w.e[0], &a);
	net_run(w.n, 100 * MH_US_PER_MS);
	drain_to_the_end(w.side);
	end = net_now(w.n);
	net_run(w.n, SLOW_US);
	CU_ASSERT_STRING_EQUAL(net_answer_text(w.n, runs, "outcome"), "failed");
	CU_ASSERT_STRING_EQUAL(
	    net_answer_text(w.n, queued, "outcome"), "not-run");
	CU_ASSERT(net_answer(w.n, runs)->at_us < end);
	CU_ASSERT(net_answer(w.n, queued)->at_us < end);
	CU_ASSERT_EQUAL(w.side->runs, 1);
	net_destroy(w.n);
}

/*
 * A page asks what became of its booking, and the owner of the key is slow to
 * say.  The entry had no other request, so it counted as idle and left: the
 * page's connection closed without a word.  Questions about outcomes were
 * kept in a table that the drain did not look at.
 */
static void
test_entry_waits_for_a_lookup(void)
{
	struct net_ask a = { .method = "GET",
		.path = "/v1/outcomes/confirm/k1" };
	struct drain_world w;
	uint64_t id;

	make(&w, 3, "book");
	net_silence(w.side, false, true);
	id = net_request(w.e[0], &a);
	net_run(w.n, 10 * MH_US_PER_MS);
	mh_entry_drain(w.e[0]->k);
	CU_ASSERT_FALSE(net_answer(w.n, id)->ended);
	CU_ASSERT_EQUAL(mh_entry_open(w.e[0]->k), 1);
	net_run(w.n, 2 * MH_US_PER_S);
	CU_ASSERT_TRUE(net_answer(w.n, id)->ended);
	CU_ASSERT_EQUAL(mh_entry_open(w.e[0]->k), 0);
	net_destroy(w.n);
}

static void
give_order(struct net_node *x)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_FRAME);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Order o = MH__ORDER__INIT;

	o.fence = 1;
	o.verb = (char *)"load-model";
	o.subject = (char *)"party-8b";
	f.body_case = MH__FRAME__BODY_ORDER;
	f.order = &o;
	m->u.link.conn = 1;
	m->u.link.frame = mh_frame_pack(&f);
	mh_post(x->k, "hub", m);
	net_run(x->net, 100 * MH_US_PER_MS);
}

/*
 * An operator has an engine load a model, and its side process gets SIGTERM
 * meanwhile.  It left after half a second, marlctl saw a closed link, and
 * whether the model was loaded nobody knew.  Orders are not calls, and only
 * calls kept the process.
 */
static void
test_side_waits_for_an_order(void)
{
	struct drain_world w;

	make(&w, 4, "enc");
	w.side->service_us = 2 * MH_US_PER_S;
	give_order(w.side);
	mh_side_drain(w.side->k);
	net_run(w.n, 1 * MH_US_PER_S);
	CU_ASSERT_FALSE(mh_side_idle(w.side->k));
	net_run(w.n, 2 * MH_US_PER_S);
	CU_ASSERT_TRUE(mh_side_idle(w.side->k));
	net_destroy(w.n);
}

const struct test tests_drain[] = {
	{ "side_ends_with_bookings", test_side_ends_with_bookings },
	{ "side_ends_with_work", test_side_ends_with_work },
	{ "entry_waits_for_a_lookup", test_entry_waits_for_a_lookup },
	{ "side_waits_for_an_order", test_side_waits_for_an_order },
	{ NULL, NULL },
};
