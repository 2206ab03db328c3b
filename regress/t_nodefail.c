/**
 * DOC: The record of an endpoint's failures, and what its silence adds to it.
 */

#include "gaterig.h"
#include "regress.h"

/* Guards against a sound endpoint that stays out after its silence. */
static void
test_heard_again(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	for (int i = 0; i < 4; i++) {
		mh_node_silent(r->f, n);
		CU_ASSERT_TRUE(mh_node_usable(r->f, n));
		mh_node_silent(r->f, n);
		CU_ASSERT_FALSE(mh_node_usable(r->f, n));
		CU_ASSERT(n->fail_share > 0.3);
		mh_node_heard(r->f, n);
		CU_ASSERT_TRUE(mh_node_usable(r->f, n));
		CU_ASSERT_EQUAL(n->streak, 0);
		CU_ASSERT_EQUAL(n->ejections, 0);
		CU_ASSERT(n->fail_share == 0);
		grig_advance(r, S);
	}
	grig_destroy(r);
}

/* Guards against a wait for an endpoint that is dark for good. */
static void
test_dark(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	mh_node_silent(r->f, n);
	mh_node_silent(r->f, n);
	grig_advance(r, 600 * MS);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	grig_advance(r, 200 * MS);
	mh_node_silent(r->f, n);
	grig_advance(r, 1300 * MS);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->ejections, 2);
	mh_node_heard(r->f, n);
	CU_ASSERT_EQUAL(n->ejections, 0);
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	grig_destroy(r);
}

/* Guards against real failures forgotten with the silence. */
static void
test_failures_stay(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");
	double share;

	mh_node_failed(r->f, n, "test");
	share = n->fail_share;
	mh_node_silent(r->f, n);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	mh_node_heard(r->f, n);
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->streak, 1);
	CU_ASSERT(n->fail_share == share);
	grig_advance(r, S);
	mh_node_silent(r->f, n);
	mh_node_failed(r->f, n, "test");
	mh_node_heard(r->f, n);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->ejections, 1);
	grig_advance(r, S);
	mh_node_succeeded(r->f, n, MS);
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->ejections, 0);
	grig_destroy(r);
}

static void
heard_for(struct grig *r, struct mh_node *n, int64_t us)
{
	for (int64_t i = 0; i <= us; i += 100 * MS) {
		grig_advance(r, 100 * MS);
		mh_node_heard(r->f, n);
	}
}

/* Guards against calls that hang for ever at an endpoint that answers others.
 */
static void
test_hangs(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	heard_for(r, n, 2 * S);
	mh_node_silent(r->f, n);
	heard_for(r, n, 2 * S);
	mh_node_silent(r->f, n);
	mh_node_heard(r->f, n);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->streak, 2);
	grig_destroy(r);
}

/* Guards against calls that are late after a silence taken for hanging ones. */
static void
test_makes_up(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	heard_for(r, n, 2 * S);
	grig_advance(r, 165 * MS);
	mh_node_silent(r->f, n);
	mh_node_silent(r->f, n);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	grig_advance(r, 1000 * MS);
	heard_for(r, n, 500 * MS);
	mh_node_silent(r->f, n);
	mh_node_silent(r->f, n);
	mh_node_heard(r->f, n);
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->streak, 0);
	grig_destroy(r);
}

static void
on_unreachable(void *arg, const char *id)
{
	(void)id;
	++*(uint32_t *)arg;
}

/*
 * Guards against a sound endpoint that stays out since it was silent when it
 * was dialled, and against a dead one that is reported later.
 */
static void
test_unanswered(void)
{
	for (int refused = 0; refused < 2; refused++) {
		struct grig *r = grig_create(1);
		struct mh_node *n = mh_fleet_find(r->f, "n0");
		uint32_t reports = 0;

		mh_fleet_on_unreachable(r->f, on_unreachable, &reports);
		for (int i = 0; i < 2; i++) {
			(void)grig_request(r, "/once/x", 0);
			mh_gate_try_end(r->g, r->cur,
			    refused ? MH_CALL_UNSENT : MH_CALL_UNANSWERED);
		}
		CU_ASSERT_EQUAL(r->refused, 2);
		CU_ASSERT_EQUAL(r->why, MH_NO_ENDPOINT);
		CU_ASSERT_FALSE(mh_node_usable(r->f, n));
		CU_ASSERT_EQUAL(reports, 2);
		mh_node_heard(r->f, n);
		CU_ASSERT_EQUAL(mh_node_usable(r->f, n), !refused);
		CU_ASSERT_EQUAL(n->streak, refused ? 2 : 0);
		grig_destroy(r);
	}
}

/* Guards against the same at entries that were told. */
static void
test_others_agree(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	mh_node_suspect(r->f, n, "test");
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	mh_node_heard(r->f, n);
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->ejections, 0);
	grig_destroy(r);
}

/* Guards against a pool that has nothing left since all of it is silent. */
static void
test_half_is_silent(void)
{
	struct grig *r = grig_create(4);
	uint32_t ejected = 0;

	for (int i = 0; i < 20; i++) {
		char id[3] = { 'n', (char)('0' + i % 4), 0 };

		mh_node_silent(r->f, mh_fleet_find(r->f, id));
	}
	for (int i = 0; i < 4; i++) {
		char id[3] = { 'n', (char)('0' + i), 0 };
		struct mh_node *n = mh_fleet_find(r->f, id);

		ejected += !mh_node_usable(r->f, n);
		mh_node_heard(r->f, n);
		CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	}
	CU_ASSERT_EQUAL(ejected, 2);
	grig_destroy(r);
}

/* Guards against an ejection for another reason that ends with a silence. */
static void
test_other_ejection(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	mh_node_silent(r->f, n);
	mh_node_eject(r->f, n, "test");
	mh_node_heard(r->f, n);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	grig_advance(r, S);
	mh_node_silent(r->f, n);
	mh_node_silent(r->f, n);
	n->eject_until_us = r->now_us + S;
	mh_node_heard(r->f, n);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	CU_ASSERT_EQUAL(n->ejections, 1);
	grig_destroy(r);
}

const struct test tests_nodefail[] = {
	{ "nodefail: heard again", test_heard_again },
	{ "nodefail: dark for good", test_dark },
	{ "nodefail: failures stay", test_failures_stay },
	{ "nodefail: calls that hang", test_hangs },
	{ "nodefail: late after a silence", test_makes_up },
	{ "nodefail: unanswered dials", test_unanswered },
	{ "nodefail: others agree", test_others_agree },
	{ "nodefail: half of a pool", test_half_is_silent },
	{ "nodefail: another ejection", test_other_ejection },
	{ NULL, NULL },
};
