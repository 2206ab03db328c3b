/**
 * DOC: Stage endpoints that fall silent and go on: no call is given up before
 * its pieces are in another one, and no result is made twice without need.
 */

#include "regress.h"
#include "world.h"

#define MS MH_US_PER_MS
#define S MH_US_PER_S

static const char *const one_pool[] = { "a", NULL };
static const char *const chain[] = { "a", "b", NULL };
static const uint32_t three[] = { 3 };
static const uint32_t three_two[] = { 3, 2 };

/* Guards against a sound call given up with no other endpoint for its work. */
static void
test_only_endpoint(void)
{
	struct world *w = world_create();

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_silence(w, "a-0", 2 * S);
	mh_sched_submit(w->sched, world_job(w, one_pool, three, 4 * S, 6 * S));
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->aborted, 0);
	CU_ASSERT_EQUAL(w->nodes[0].calls, 1);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	world_destroy(w);
}

/* Guards against calls given up because no retry is allowed. */
static void
test_no_budget(void)
{
	struct world *w = world_create();

	world_pool(w, "a", 2, 8, 100 * MS, 10 * MS, 0);
	while (mh_budget_allows(w->budget, "a"))
		CU_ASSERT_TRUE_FATAL(mh_budget_take(w->budget, "a"));
	world_silence(w, "a-0", 1500 * MS);
	world_silence(w, "a-1", 1500 * MS);
	mh_sched_submit(w->sched, world_job(w, one_pool, three, 4 * S, 6 * S));
	world_run(w, 2 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->aborted, 0);
	world_destroy(w);
}

/* Guards against a dark endpoint that keeps work from a sound one. */
static void
test_dark_for_good(void)
{
	struct world *w = world_create();
	uint32_t dark;

	world_pool(w, "a", 2, 8, 100 * MS, 10 * MS, 0);
	world_silence(w, "a-0", 60 * S);
	world_node(w, "a-0")->slowdown = 0.9;
	for (int i = 0; i < 20; i++) {
		mh_sched_submit(
		    w->sched, world_job(w, one_pool, three, 1500 * MS, 6 * S));
		world_run(w, 150 * MS);
	}
	dark = world_node(w, "a-0")->calls;
	world_run(w, 2 * S);
	CU_ASSERT_EQUAL(w->done, 20);
	CU_ASSERT(w->on_time >= 19);
	CU_ASSERT(dark > 0 && dark <= 4);
	world_destroy(w);
}

/* Guards against an endpoint kept busy by work that nobody waits for. */
static void
test_hopeless(void)
{
	struct world *w = world_create();

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_silence(w, "a-0", 60 * S);
	mh_sched_submit(w->sched, world_job(w, one_pool, three, S, 2 * S));
	world_run(w, 1800 * MS);
	CU_ASSERT_EQUAL(w->aborted, 0);
	world_run(w, 400 * MS);
	CU_ASSERT_EQUAL(w->refused, 1);
	CU_ASSERT_EQUAL(w->aborted, 1);
	world_destroy(w);
}

/*
 * An endpoint goes on when its work has been begun elsewhere, and does not find
 * the inputs, which were freed.  Guards against freeing those that were made
 * again for the other call.
 */
static void
test_inputs_made_again(void)
{
	for (int64_t us = 300 * MS; us <= 900 * MS; us += 20 * MS) {
		struct world *w = world_create();

		world_pool(w, "a", 2, 8, 100 * MS, 10 * MS, 0);
		world_pool(w, "b", 2, 8, 100 * MS, 10 * MS, 0);
		mh_sched_submit(
		    w->sched, world_job(w, chain, three_two, 4 * S, 8 * S));
		world_run(w, 100 * MS);
		world_silence(w, "b-0", us);
		world_run(w, 4 * S);
		CU_ASSERT_EQUAL(w->done, 1);
		CU_ASSERT_EQUAL(w->without_inputs, 0);
		CU_ASSERT_EQUAL(
		    world_node(w, "a-0")->pieces + world_node(w, "a-1")->pieces,
		    6);
		CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
		world_destroy(w);
	}
}

/*
 * An answer and a report were held up together, and the report is read first.
 * Guards against taking the call as lost.
 */
static void
test_report_held_up(void)
{
	struct world *w = world_create();

	world_pool(w, "a", 1, 8, 200 * MS, 20 * MS, 0);
	mh_sched_submit(w->sched, world_job(w, one_pool, three, 4 * S, 6 * S));
	world_run(w, 100 * MS);
	world_silence(w, "a-0", 1200 * MS);
	world_run(w, 1500 * MS);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->aborted, 0);
	CU_ASSERT_EQUAL(w->nodes[0].calls, 1);
	world_destroy(w);
}

/* Guards against a sound endpoint that is ejected after it has gone on. */
static void
test_back_at_once(void)
{
	struct world *w = world_create();
	struct mh_node *n;

	world_pool(w, "a", 2, 8, 100 * MS, 10 * MS, 0);
	world_silence(w, "a-0", 1500 * MS);
	world_node(w, "a-0")->slowdown = 0.9;
	mh_sched_submit(w->sched, world_job(w, one_pool, three, 4 * S, 6 * S));
	mh_sched_submit(w->sched, world_job(w, one_pool, three, 4 * S, 6 * S));
	world_run(w, 1400 * MS);
	n = mh_fleet_find(w->f, "a-0");
	CU_ASSERT(n->eject_until_us > mh_now(w->k));
	world_run(w, 300 * MS);
	CU_ASSERT(n->eject_until_us <= mh_now(w->k));
	CU_ASSERT_EQUAL(n->ejections, 0);
	CU_ASSERT_EQUAL(w->done, 2);
	world_destroy(w);
}

/*
 * All endpoints of a pool are silent for 1.5 s, beside a load of a quarter.
 * Guards against refusals by an estimate that takes them as slow.
 */
static void
test_whole_pool(void)
{
	struct world *w = world_create();

	world_pool(w, "a", 3, 8, 100 * MS, 10 * MS, 0);
	for (int i = 0; i < 100; i++) {
		if (i == 20) {
			world_silence(w, "a-0", 1500 * MS);
			world_silence(w, "a-1", 1500 * MS);
			world_silence(w, "a-2", 1500 * MS);
		}
		mh_sched_submit(
		    w->sched, world_job(w, one_pool, three, S, 3500 * MS));
		world_run(w, 90 * MS);
	}
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 100);
	CU_ASSERT(w->on_time >= 75);
	CU_ASSERT_EQUAL(w->refused + w->failed, 0);
	world_destroy(w);
}

/* Guards against work accepted that a silent pool can't do in its time. */
static void
test_whole_pool_no_time(void)
{
	struct world *w = world_create();
	const uint32_t eight[] = { 8 };

	world_pool(w, "a", 2, 8, 100 * MS, 10 * MS, 0);
	world_silence(w, "a-0", 1500 * MS);
	world_silence(w, "a-1", 1500 * MS);
	for (int i = 0; i < 2; i++)
		mh_sched_submit(
		    w->sched, world_job(w, one_pool, eight, 4 * S, 6 * S));
	world_run(w, 600 * MS);
	mh_sched_submit(
	    w->sched, world_job(w, one_pool, three, 500 * MS, 900 * MS));
	CU_ASSERT_EQUAL(w->refused, 1);
	mh_sched_submit(w->sched, world_job(w, one_pool, three, S, 3 * S));
	CU_ASSERT_EQUAL(w->refused, 1);
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 3);
	CU_ASSERT_EQUAL(w->aborted, 0);
	world_destroy(w);
}

const struct test tests_schedsilent[] = {
	{ "sched silent: the only endpoint", test_only_endpoint },
	{ "sched silent: no budget", test_no_budget },
	{ "sched silent: dark for good", test_dark_for_good },
	{ "sched silent: work that nobody waits for", test_hopeless },
	{ "sched silent: inputs made again", test_inputs_made_again },
	{ "sched silent: a report held up", test_report_held_up },
	{ "sched silent: back at once", test_back_at_once },
	{ "sched silent: a whole pool", test_whole_pool },
	{ "sched silent: a whole pool, no time", test_whole_pool_no_time },
	{ NULL, NULL },
};
