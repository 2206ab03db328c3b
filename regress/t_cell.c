/**
 * DOC: Stage work in virtual time: batches, order, admission, loss.
 */

#include "regress.h"
#include "world.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

static const char *const one_pool[] = { "a", NULL };
static const char *const chain[] = { "a", "b", NULL };

static uint32_t
calls_of(const struct world *w)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->n_nodes; i++)
		n += w->nodes[i].calls;
	return n;
}

/*
 * An evening peak: 24 requests a second of two pieces each reach a pool that
 * carries 65 pieces a second with full calls and 14 with one piece a call.
 * When each request made its own calls most were late; meeting, their pieces
 * fill calls and all are on time.
 */
static void
test_pieces_meet(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 2 };

	world_pool(w, "a", 3, 8, 200 * MS, 21 * MS, 0);
	for (int i = 0; i < 96; i++) {
		mh_cell_submit(
		    w->c, world_job(w, one_pool, pieces, 1500 * MS, 6 * S));
		world_run(w, 42 * MS);
	}
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 96);
	CU_ASSERT(w->on_time >= 94);
	CU_ASSERT(world_fill(w, "a", 8) > 0.5);
	world_destroy(w);
}

/*
 * A burst past any capacity: what is taken is on time, what can't be is
 * refused at its arrival, and calls are nearly full.  Taking all until the
 * last moment made all of them a little late.
 */
static void
test_burst_taken_on_time(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3 };

	world_pool(w, "a", 3, 8, 200 * MS, 21 * MS, 0);
	for (int i = 0; i < 240; i++) {
		mh_cell_submit(
		    w->c, world_job(w, one_pool, pieces, 1500 * MS, 6 * S));
		world_run(w, 21 * MS);
	}
	world_run(w, 8 * S);
	CU_ASSERT_EQUAL(w->done + w->refused, 240);
	/* Full calls carry 65 pieces a second: 109 jobs in the burst. */
	CU_ASSERT(w->on_time >= 100);
	CU_ASSERT(w->done - w->on_time < w->on_time / 2);
	CU_ASSERT(world_fill(w, "a", 8) > 0.8);
	world_destroy(w);
}

/*
 * Its entry ends long before the caller's aim: work that would be on time for
 * the caller and too late for its entry is refused at once, while another
 * entry can still help, and costs no call.
 */
static void
test_deadline_before_the_aim(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 16 };

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 0);
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 5 * S, 8 * S));
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 5 * S, 600 * MS));
	CU_ASSERT_EQUAL(w->refused, 1);
	world_run(w, 5 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->nodes[0].pieces, 16);
	world_destroy(w);
}

/* The same where its time has passed when it comes. */
static void
test_deadline_passed(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 4 };

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 0);
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 5 * S, -1 * MS));
	CU_ASSERT_EQUAL(w->refused, 1);
	CU_ASSERT_EQUAL(w->nodes[0].calls, 0);
	world_run(w, 1 * S);
	world_destroy(w);
}

/*
 * A full pool took whoever came first, whatever work he asked for.  Taking
 * what brings more for its work serves more callers of the same burst, and
 * the large ones are not shut out.
 */
static void
test_burst_small_work_first(void)
{
	struct world *w = world_create();
	uint32_t small = 0, large = 0;

	world_pool(w, "a", 3, 8, 200 * MS, 21 * MS, 0);
	w->keep = true;
	for (int i = 0; i < 240; i++) {
		const uint32_t pieces[] = { i % 2 == 0 ? 1 : 7 };
		struct mh_job *j =
		    world_job(w, one_pool, pieces, 1500 * MS, 6 * S);

		j->weight = 1;
		mh_cell_submit(w->c, j);
		world_run(w, 21 * MS);
	}
	world_run(w, 8 * S);
	for (guint i = 0; i < w->kept->len; i++) {
		const struct mh_job *j = g_ptr_array_index(w->kept, i);

		small += j->stages[0].pieces == 1;
		large += j->stages[0].pieces == 7;
	}
	CU_ASSERT(small >= 115);
	CU_ASSERT(large >= 15);
	CU_ASSERT(w->on_time >= 130);
	world_destroy(w);
}

/*
 * A burst fills a pool for seconds.  Quotes, which are urgent, and chats, which
 * can wait, were turned away alike; the urgent get more of what there is, and
 * the others are not shut out.
 */
static void
test_burst_urgent_taken(void)
{
	struct world *w = world_create();
	uint32_t urgent = 0, other = 0;
	const uint32_t pieces[] = { 3 };

	world_pool(w, "a", 3, 8, 200 * MS, 21 * MS, 0);
	w->keep = true;
	for (int i = 0; i < 240; i++) {
		struct mh_job *j =
		    world_job(w, one_pool, pieces, 1500 * MS, 6 * S);

		j->priority = i % 2 == 0 ? 0 : 2;
		mh_cell_submit(w->c, j);
		world_run(w, 21 * MS);
	}
	world_run(w, 8 * S);
	for (guint i = 0; i < w->kept->len; i++) {
		const struct mh_job *j = g_ptr_array_index(w->kept, i);

		urgent += j->priority == 0 && !j->state->late;
		other += j->priority != 0 && !j->state->late;
	}
	CU_ASSERT(urgent >= 90);
	CU_ASSERT(other >= 15);
	CU_ASSERT(w->on_time >= 100);
	world_destroy(w);
}

/*
 * A caller leaves while its pieces are in a call.  The room that their
 * results would have taken stayed counted for ever, and calls to that
 * endpoint shrank to one piece for the rest of the process's life.
 */
static void
test_room_of_leavers_given_back(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 4 };

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 10000);
	for (int i = 0; i < 10; i++) {
		struct mh_job *j =
		    world_job(w, one_pool, pieces, 1500 * MS, 6 * S);

		mh_cell_submit(w->c, j);
		world_run(w, 50 * MS);
		mh_cell_cancel(w->c, j);
		mh_job_destroy(j);
		world_run(w, 600 * MS);
	}
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	w->nodes[0].calls = w->nodes[0].pieces = 0;
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 1500 * MS, 6 * S));
	world_run(w, 600 * MS);
	CU_ASSERT_EQUAL(w->nodes[0].calls, 1);
	CU_ASSERT_EQUAL(w->nodes[0].pieces, 4);
	world_destroy(w);
}

/*
 * An endpoint is slow, its pieces are made again elsewhere, used by the next
 * stage and freed.  Then the slow answer comes.  Taken as if it were wanted,
 * it counted a stage as made whose results were gone, and the next stage ran
 * without its inputs.
 */
static void
test_late_double_of_a_used_piece(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 2, 1 };

	world_pool(w, "a", 2, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 600 * MS, 0, 0);
	w->nodes[0].slow = w->nodes[1].slow = 4;
	mh_cell_submit(w->c, world_job(w, chain, pieces, 5 * S, 8 * S));
	world_run(w, 200 * MS);
	/* The second call to the pool is a fast one and overtakes the first. */
	w->nodes[0].slow = w->nodes[1].slow = 1;
	world_run(w, 260 * MS);
	CU_ASSERT_EQUAL(world_node(w, "b-0")->calls, 1);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->without_inputs, 0);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	world_destroy(w);
}

/*
 * Results of a stage took up room until the stage after it had ended.  An
 * endpoint reads its inputs when a call begins, so they are free soon after,
 * and a burst does not run out of room.
 */
static void
test_inputs_freed_once_read(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 4, 1 };

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 400 * MS, 10 * MS, 0);
	mh_cell_submit(w->c, world_job(w, chain, pieces, 2 * S, 6 * S));
	world_run(w, 150 * MS);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 4);
	world_run(w, 80 * MS);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	CU_ASSERT_EQUAL(w->done, 0);
	world_run(w, 500 * MS);
	CU_ASSERT_EQUAL(w->done, 1);
	world_destroy(w);
}

/*
 * The home of stage work freezes for seconds just after a call began and
 * wakes with every timer due.  The call counted as overdue, its pieces waited
 * for a free endpoint, and then the old call's timer said that their inputs
 * had been read: they were freed, and the pieces ran without them.
 */
static void
test_freeze_in_a_call(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3, 2 };

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	world_node(w, "b-0")->lost = true;
	mh_cell_submit(w->c, world_job(w, chain, pieces, 20 * S, 30 * S));
	world_run(w, 145 * MS);
	CU_ASSERT_EQUAL(world_node(w, "b-0")->calls, 1);
	w->now_us += 4 * S;
	mh_kern_advance(w->k, w->now_us, w->now_us);
	world_node(w, "b-0")->lost = false;
	world_run(w, 10 * S);
	CU_ASSERT_EQUAL(w->without_inputs, 0);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	world_destroy(w);
}

/* The inputs were freed and the call was lost: both are made again. */
static void
test_lost_call_after_inputs_were_freed(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3, 2 };

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 2, 8, 100 * MS, 10 * MS, 0);
	world_node(w, "b-0")->lost = true;
	world_node(w, "b-1")->lost = true;
	mh_cell_submit(w->c, world_job(w, chain, pieces, 4 * S, 8 * S));
	world_run(w, 400 * MS);
	world_node(w, "b-1")->lost = false;
	world_node(w, "b-0")->lost = false;
	world_run(w, 6 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->without_inputs, 0);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	world_destroy(w);
}

/* A replica answers that the inputs are gone: they are made again. */
static void
test_inputs_gone(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3, 2 };

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	world_node(w, "b-0")->gone_inputs = true;
	mh_cell_submit(w->c, world_job(w, chain, pieces, 4 * S, 8 * S));
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(world_node(w, "a-0")->pieces, 6);
	CU_ASSERT_EQUAL(w->without_inputs, 0);
	world_destroy(w);
}

/*
 * One of three replicas turns five times slower.  Its first call is overdue;
 * the pieces go to another and it is left out while the others are faster.
 */
static void
test_slow_endpoint_left_out(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3 };
	struct wnode *slow;

	world_pool(w, "a", 3, 8, 200 * MS, 21 * MS, 0);
	slow = world_node(w, "a-0");
	slow->slow = 5;
	for (int i = 0; i < 60; i++) {
		mh_cell_submit(
		    w->c, world_job(w, one_pool, pieces, 1500 * MS, 6 * S));
		world_run(w, 100 * MS);
	}
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 60);
	CU_ASSERT(w->on_time >= 57);
	CU_ASSERT(slow->calls * 5 < calls_of(w));
	world_destroy(w);
}

/*
 * A third of a pool turns slow for some seconds and mends before a burst.
 * What was believed of it faded over ten seconds, and the burst met two
 * thirds of the pool.
 */
static void
test_mended_endpoint_back(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 4 };
	struct wnode *slow;
	uint32_t before;

	world_pool(w, "a", 3, 8, 200 * MS, 21 * MS, 0);
	slow = world_node(w, "a-0");
	slow->slow = 6;
	for (int i = 0; i < 60; i++) {
		mh_cell_submit(
		    w->c, world_job(w, one_pool, pieces, 1500 * MS, 6 * S));
		world_run(w, 100 * MS);
	}
	slow->slow = 1;
	world_run(w, 1 * S);
	before = slow->pieces;
	for (int i = 0; i < 60; i++) {
		mh_cell_submit(
		    w->c, world_job(w, one_pool, pieces, 1500 * MS, 6 * S));
		world_run(w, 50 * MS);
	}
	/* A full third of what 3 s carry would be 65 pieces. */
	CU_ASSERT(slow->pieces - before >= 40);
	world_destroy(w);
}

/*
 * The answer of a call is lost on its way.  The endpoint has long ended it,
 * but was kept waiting for eight times the call's time; its own report says
 * that it is idle.
 */
static void
test_lost_answer_found(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3 };
	struct wnode *n;

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 0);
	n = world_node(w, "a-0");
	n->lost = true;
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 3 * S, 6 * S));
	world_run(w, 100 * MS);
	n->lost = false;
	world_run(w, 1800 * MS);
	CU_ASSERT_EQUAL(n->calls, 2);
	CU_ASSERT_EQUAL(w->done, 1);
	world_destroy(w);
}

/* A call that takes long is not taken for lost: the endpoint is at it. */
static void
test_slow_call_not_lost(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3 };

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 0);
	w->nodes[0].slow = 5;
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 3 * S, 6 * S));
	world_run(w, 2 * S);
	CU_ASSERT_EQUAL(w->nodes[0].calls, 1);
	CU_ASSERT_EQUAL(w->done, 1);
	world_destroy(w);
}

/* A replica that refuses is not asked again at once, and counts no try. */
static void
test_full_endpoint(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 3 };

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	w->nodes[0].full = true;
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 3 * S, 6 * S));
	world_run(w, 1500 * MS);
	CU_ASSERT(w->nodes[0].calls < 15);
	w->nodes[0].full = false;
	world_run(w, 1 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	world_destroy(w);
}

/*
 * A leaving process hands on what it has not begun, and ends what is in a
 * call: a job begun anew elsewhere would make its pieces twice.
 */
static void
test_leave_hands_on_unbegun(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 8 };

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 0);
	for (int i = 0; i < 3; i++)
		mh_cell_submit(
		    w->c, world_job(w, one_pool, pieces, 5 * S, 6 * S));
	world_run(w, 50 * MS);
	mh_cell_leave(w->c);
	CU_ASSERT_EQUAL(w->moved, 2);
	world_run(w, 1 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	world_destroy(w);
}

static void
keep_results(void *arg, const struct mh_job *j, enum mh_job_end end)
{
	GPtrArray *kept = arg;

	CU_ASSERT_EQUAL(end, MH_JOB_MOVED);
	for (guint i = 0; i < j->stages[0].results->len; i++)
		g_ptr_array_add(
		    kept, g_strdup(g_ptr_array_index(j->stages[0].results, i)));
}

/*
 * A process leaves while one call holds eight of a job's twelve pieces.  The
 * job moves when that call ends, with the eight results, which are not freed;
 * the next process makes the other four.
 */
static void
test_leave_hands_on_results(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 12 };
	GPtrArray *kept = g_ptr_array_new_with_free_func(g_free);
	struct mh_cell *next;
	struct mh_job *j;
	uint32_t there = 0;

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 0);
	next = world_cell(w);
	w->ended = keep_results;
	w->arg = kept;
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 5 * S, 6 * S));
	world_run(w, 50 * MS);
	mh_cell_leave(w->c);
	CU_ASSERT_EQUAL(w->moved, 0);
	world_run(w, 400 * MS);
	CU_ASSERT_EQUAL_FATAL(w->moved, 1);
	CU_ASSERT_EQUAL(w->nodes[0].pieces, 8);
	CU_ASSERT_EQUAL_FATAL(kept->len, 12);
	for (guint i = 0; i < kept->len; i++) {
		const char *result = g_ptr_array_index(kept, i);

		there += result != NULL;
		CU_ASSERT(
		    result == NULL || g_hash_table_contains(w->live, result));
	}
	CU_ASSERT_EQUAL(there, 8);
	w->ended = NULL;
	j = world_job(w, one_pool, pieces, 5 * S, 6 * S);
	mh_job_made(j, 0, (char *const *)kept->pdata, kept->len);
	mh_cell_submit(next, j);
	world_run(w, 1 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->nodes[0].pieces, 12);
	g_ptr_array_free(kept, TRUE);
	world_destroy(w);
}

/*
 * A job is handed on with eight results that lie at an endpoint with room for
 * twelve, and waits for the next stage.  Its new home did not count them and
 * asked for eight more, of which the endpoint refused most for want of room.
 */
static void
test_room_of_what_was_handed_on(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 8, 1 };
	GPtrArray *kept = g_ptr_array_new_with_free_func(g_free);
	struct mh_cell *next;
	struct mh_job *j;

	world_pool(w, "a", 1, 8, 200 * MS, 21 * MS, 12 * 1000);
	world_pool(w, "b", 1, 8, 200 * MS, 21 * MS, 0);
	world_node(w, "b-0")->full = true;
	next = world_cell(w);
	w->ended = keep_results;
	w->arg = kept;
	mh_cell_submit(w->c, world_job(w, chain, pieces, 5 * S, 6 * S));
	world_run(w, 600 * MS);
	mh_cell_leave(w->c);
	world_run(w, 100 * MS);
	CU_ASSERT_EQUAL_FATAL(w->moved, 1);
	CU_ASSERT_EQUAL_FATAL(kept->len, 8);
	w->ended = NULL;
	j = world_job(w, chain, pieces, 5 * S, 6 * S);
	mh_job_made(j, 0, (char *const *)kept->pdata, kept->len);
	mh_cell_submit(next, j);
	mh_cell_submit(next, world_job(w, chain, pieces, 5 * S, 6 * S));
	world_run(w, 600 * MS);
	CU_ASSERT(w->most_live > 8);
	CU_ASSERT(w->most_live <= 12);
	world_node(w, "b-0")->full = false;
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 2);
	CU_ASSERT_EQUAL(g_hash_table_size(w->live), 0);
	g_ptr_array_free(kept, TRUE);
	world_destroy(w);
}

/*
 * After a burst many jobs have missed their aim.  One that has begun holds
 * results at its endpoints: it is ended before late ones that have not.
 */
static void
test_begun_late_work_first(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 8, 8 };
	struct mh_job *begun, *fresh;

	world_pool(w, "a", 1, 8, 300 * MS, 0, 0);
	world_pool(w, "b", 1, 8, 300 * MS, 0, 0);
	begun = world_job(w, chain, pieces, 900 * MS, 9 * S);
	fresh = world_job(w, chain, pieces, 800 * MS, 9 * S);
	w->keep = true;
	mh_cell_submit(w->c, begun);
	world_run(w, 10 * MS);
	begun->state->late = true;
	mh_cell_submit(w->c, fresh);
	fresh->state->late = true;
	fresh->state->started = false;
	CU_ASSERT(mh_cell_slack_key(begun, 1) < mh_cell_slack_key(fresh, 0));
	world_run(w, 3 * S);
	CU_ASSERT_EQUAL(w->done, 2);
	world_destroy(w);
}

/*
 * Results of a megabyte and more cost dear between failure domains.  With
 * time to spare their stage waits for the endpoint near the engine.
 */
static void
test_waits_for_its_domain(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 4 };
	struct mh_job *j;

	world_pool(w, "a", 2, 8, 100 * MS, 0, 0);
	for (int i = 0; i < 2; i++) {
		j = world_job(w, one_pool, pieces, 2 * S, 6 * S);
		j->domain = g_strdup("d1");
		j->stages[0].result_bytes = 1500000;
		mh_cell_submit(w->c, j);
		world_run(w, 5 * MS);
	}
	world_run(w, 500 * MS);
	CU_ASSERT_EQUAL(w->done, 2);
	CU_ASSERT_EQUAL(world_node(w, "a-0")->calls, 0);
	CU_ASSERT_EQUAL(world_node(w, "a-1")->calls, 2);
	world_destroy(w);
}

/*
 * A burst: work waits at the second stage, and nothing can wait longer for
 * the endpoint near its data.  Taken in the strict order of urgency, half of
 * all inputs crossed to the other failure domain.
 */
static void
test_burst_near_its_data(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 2, 4 };

	world_pool(w, "a", 2, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 2, 8, 200 * MS, 20 * MS, 0);
	for (int i = 0; i < 120; i++) {
		struct mh_job *j = world_job(w, chain, pieces, 3 * S, 6 * S);

		j->stages[0].result_bytes = 400000;
		mh_cell_submit(w->c, j);
		world_run(w, 50 * MS);
	}
	world_run(w, 6 * S);
	CU_ASSERT(w->on_time >= 60);
	CU_ASSERT(w->crossed * 4 < w->read);
	world_destroy(w);
}

/*
 * Large pools are divided into slices with a home each.  Two homes must not
 * call the same endpoint, nor leave one out.
 */
static void
test_slices(void)
{
	struct world *w = world_create();
	struct mh_cell_ops none = { 0 };
	struct mh_cells *cs;
	uint32_t seen = 0;
	double share = 0;

	world_pool(w, "a", 12, 8, 100 * MS, 10 * MS, 0);
	cs = mh_cells_create(w->k, w->f, w->budget, &none);
	mh_cells_conf(cs, w->conf);
	CU_ASSERT_EQUAL(mh_cells_count(cs), 1);
	for (uint32_t i = 0; i < 4; i++) {
		struct mh_cell *c = mh_cells_get(cs, i, 4);
		struct cpool *p = mh_cell_pool_of(c, "a");
		GPtrArray *nodes = mh_cell_nodes(c, p);

		seen += nodes->len;
		for (guint n = 0; n < nodes->len; n++) {
			const struct mh_node *nd = g_ptr_array_index(nodes, n);

			CU_ASSERT_EQUAL(mh_fleet_slice(w->f, nd, 4), i);
		}
		CU_ASSERT_EQUAL(nodes->len, 3);
		share += mh_cells_share(cs, i);
	}
	CU_ASSERT_EQUAL(seen, 12);
	CU_ASSERT_DOUBLE_EQUAL(share, 1, 1e-9);
	CU_ASSERT_PTR_EQUAL(mh_cells_get(cs, 1, 4), mh_cells_get(cs, 1, 4));
	mh_cells_destroy(cs);
	world_destroy(w);
}

/* The slices of every endpoint of a pool, by its place in the list. */
static void
slices_of(struct world *w, const char *pool, uint32_t count, uint32_t *slices)
{
	GPtrArray *all = mh_fleet_pool(w->f, pool);

	for (guint i = 0; i < all->len; i++)
		slices[i] =
		    mh_fleet_slice(w->f, g_ptr_array_index(all, i), count);
}

/*
 * Three pools of 36, 37 and 43 endpoints were parted by chance: one home had
 * 15, 13 and 31 of them, the other 21, 24 and 12.  Each was held up by the pool
 * of which it had least; a third of the endpoints' time was lost.  Shares are
 * equal, and an endpoint that leaves moves one across each border at most.
 */
static void
test_slices_are_equal(void)
{
	static const uint32_t sizes[] = { 36, 37, 43, 5, 1 };
	static const char *const names[] = { "a", "b", "c", "d", "e" };
	struct world *w = world_create();

	for (size_t p = 0; p < G_N_ELEMENTS(sizes); p++)
		world_pool(w, names[p], sizes[p], 8, 100 * MS, 10 * MS, 0);
	for (size_t p = 0; p < G_N_ELEMENTS(sizes); p++) {
		for (uint32_t count = 1; count <= 8; count *= 2) {
			uint32_t at[64], after[64], n[8] = { 0 }, moved = 0;
			struct mh_node *leaver =
			    g_ptr_array_index(mh_fleet_pool(w->f, names[p]), 0);
			struct mh_listing l = { leaver->name, 0, names[p],
				leaver->addr, leaver->domain, 1, true, 0 };

			slices_of(w, names[p], count, at);
			for (uint32_t i = 0; i < sizes[p]; i++)
				n[at[i]]++;
			for (uint32_t i = 0; i < count; i++) {
				CU_ASSERT(n[i] >= sizes[p] / count);
				CU_ASSERT(n[i] <= sizes[p] / count + 1);
			}
			mh_fleet_list(w->f, &l);
			slices_of(w, names[p], count, after);
			CU_ASSERT_EQUAL(after[0], count);
			for (uint32_t i = 1; i < sizes[p]; i++)
				moved += at[i] != after[i];
			CU_ASSERT(moved < count);
			l.leaving = false;
			mh_fleet_list(w->f, &l);
		}
	}
	world_destroy(w);
}

/* A pool without a usable endpoint refuses at once. */
static void
test_no_endpoint_refused_at_once(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 1 };

	world_pool(w, "a", 0, 8, 100 * MS, 10 * MS, 0);
	mh_cell_submit(w->c, world_job(w, one_pool, pieces, 2 * S, 6 * S));
	CU_ASSERT_EQUAL(w->refused, 1);
	world_destroy(w);
}

/* A request may leave out every stage: it is done at once. */
static void
test_no_pieces(void)
{
	struct world *w = world_create();
	const uint32_t pieces[] = { 0, 0 };

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	mh_cell_submit(w->c, world_job(w, chain, pieces, 2 * S, 6 * S));
	CU_ASSERT_EQUAL(w->done, 1);
	world_destroy(w);
}

#define WAITING 24
#define SLOWER 1.5 /* times as long as the endpoints say */

/** struct goes_on - where jobs that are handed on come back to. */
struct goes_on {
	struct world *w;
	struct mh_cell *to;
};

static void
hand_back(void *arg, const struct mh_job *j, enum mh_job_end end)
{
	const struct goes_on *g = arg;
	struct mh_job *n;
	const char *pools[MH_GSTAGES + 1] = { NULL };
	uint32_t pieces[MH_GSTAGES] = { 0 };
	int64_t now = mh_now(g->w->k);

	if (end != MH_JOB_MOVED)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		pools[s] = j->stages[s].pool;
		pieces[s] = j->stages[s].pieces;
	}
	n = world_job(
	    g->w, pools, pieces, j->aim_us - now, j->deadline_us - now);
	n->moved = true;
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_job_made(n, s, (char *const *)j->stages[s].results->pdata,
		    j->stages[s].results->len);
	mh_job_forget_read(n);
	mh_cell_submit(g->to, n);
}

/* Jobs done of those that a pool was given for four seconds of its time. */
static uint32_t
done_of_taken(bool leaves, bool elsewhere)
{
	struct world *w = world_create();
	struct goes_on g = { w, w->c };
	const uint32_t pieces[] = { 1, 8 };
	uint32_t done;

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	world_node(w, "b-0")->slow = SLOWER;
	if (elsewhere)
		g.to = world_cell(w);
	w->ended = hand_back;
	w->arg = &g;
	for (int i = 0; i < WAITING; i++) {
		mh_cell_submit(w->c, world_job(w, chain, pieces, 5 * S, 9 * S));
		world_run(w, 10 * MS);
	}
	CU_ASSERT_EQUAL(w->refused, 0);
	world_run(w, 2500 * MS);
	if (leaves)
		mh_cell_leave(w->c);
	world_run(w, 10 * S);
	done = w->done;
	world_destroy(w);
	return done;
}

/*
 * What was taken and begun is handed on: to the next home, or back to the same
 * cell where no other entry serves.  It is judged there as if it were new, and
 * work that would have ended in time is refused: "predict 21780 ms, aim 2480,
 * left 6480" for work that ends where the cell stays, since what moved with it
 * counted as going before.  22 and 19 of 24 were done.
 */
static void
test_handed_on_is_taken(void)
{
	CU_ASSERT_EQUAL(done_of_taken(false, false), WAITING);
	CU_ASSERT_EQUAL(done_of_taken(true, true), WAITING);
	CU_ASSERT_EQUAL(done_of_taken(true, false), WAITING);
}

const struct test tests_cell[] = {
	{ "cell: what is handed on is taken", test_handed_on_is_taken },
	{ "cell: pieces of all entries meet", test_pieces_meet },
	{ "cell: a burst, taken on time or refused", test_burst_taken_on_time },
	{ "cell: deadline before the aim", test_deadline_before_the_aim },
	{ "cell: deadline passed", test_deadline_passed },
	{ "cell: a burst, small work first", test_burst_small_work_first },
	{ "cell: a burst, the urgent taken", test_burst_urgent_taken },
	{ "cell: room of leavers given back", test_room_of_leavers_given_back },
	{ "cell: a late double of a used piece",
	    test_late_double_of_a_used_piece },
	{ "cell: inputs freed once read", test_inputs_freed_once_read },
	{ "cell: a freeze in a call", test_freeze_in_a_call },
	{ "cell: a lost call after inputs were freed",
	    test_lost_call_after_inputs_were_freed },
	{ "cell: inputs gone", test_inputs_gone },
	{ "cell: a slow endpoint left out", test_slow_endpoint_left_out },
	{ "cell: a mended endpoint is back", test_mended_endpoint_back },
	{ "cell: a lost answer found", test_lost_answer_found },
	{ "cell: a slow call is not lost", test_slow_call_not_lost },
	{ "cell: a full endpoint", test_full_endpoint },
	{ "cell: leaving hands on unbegun work", test_leave_hands_on_unbegun },
	{ "cell: leaving hands on results", test_leave_hands_on_results },
	{ "cell: room of what was handed on", test_room_of_what_was_handed_on },
	{ "cell: begun late work first", test_begun_late_work_first },
	{ "cell: waits for its domain", test_waits_for_its_domain },
	{ "cell: a burst, near its data", test_burst_near_its_data },
	{ "cell: slices part a pool", test_slices },
	{ "cell: slices are equal", test_slices_are_equal },
	{ "cell: no endpoint, refused at once",
	    test_no_endpoint_refused_at_once },
	{ "cell: no pieces", test_no_pieces },
	{ NULL, NULL },
};
