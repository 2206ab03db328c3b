/**
 * DOC: The coordinator of stage work while entries have different views: some
 * are no longer listed, some have just restarted, one dies with work begun.
 */

#include "entwork.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/*
 * Sets @order to the entries in the order of stage work, the coordinator first;
 * all have the same weight.
 */
static void
order_of(struct mrig *r, struct ment *order[ENTRIES])
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		uint32_t at = i;

		for (; at > 0 &&
		     mh_rendezvous(MH_STAGE_WORK, order[at - 1]->node) <
			 mh_rendezvous(MH_STAGE_WORK, r->e[i].node);
		     at--)
			order[at] = order[at - 1];
		order[at] = &r->e[i];
	}
}

/*
 * The list of entries without @e; the caller frees the array, not the members.
 */
static GPtrArray *
list_without(const struct mrig *r, const struct ment *e)
{
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < r->members->len; i++) {
		struct mh_member *m = g_ptr_array_index(r->members, i);

		if (strcmp(m->node, e->node) != 0)
			g_ptr_array_add(list, m);
	}
	return list;
}

static void
restart(struct ment *e)
{
	mh_kern_destroy(e->k);
	mrig_start(e);
}

static struct mh_job *
new_job(struct ent *e, const char *const *pools, const uint32_t *pieces)
{
	struct mh_job *j = world_job(e->w, pools, pieces, 5 * S, 9 * S);

	j->slo_us = mh_now(e->m->k) + 5 * S;
	j->deadline_us = mh_now(e->m->k) + 9 * S;
	return j;
}

/*
 * The store refuses a third of the entries for 12 s, and their rows in the list
 * expire, the coordinator's among them. Entries that restart read the list
 * without it and took another one for the coordinator: two coordinators called
 * the same endpoints, and each freed inputs that the other's calls kept
 * waiting.
 */
static void
test_unlisted_coordinator(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 1 };
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };
	struct ent all[ENTRIES] = { 0 };
	struct ment *last;
	struct mh_job *j;

	mrig_run(r, 10 * S);
	order_of(r, order);
	last = order[ENTRIES - 1];
	last->list = list_without(r, order[0]);
	restart(last);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	CU_ASSERT_STRING_EQUAL(mrig_coordinator(last), order[1]->node);
	j = new_job(&all[last->index], pools, pieces);
	mh_broker_submit(all[last->index].b, j);
	mrig_run(r, 1 * S);
	CU_ASSERT_STRING_EQUAL(mrig_coordinator(last), order[0]->node);
	CU_ASSERT_EQUAL(all[last->index].done, 1);
	/*
	 * After one announcement later work goes there, and the entry stays
	 * known.
	 */
	mrig_run(r, 15 * S);
	CU_ASSERT_STRING_EQUAL(mrig_coordinator(last), order[0]->node);
	mh_broker_drop(all[last->index].b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	g_ptr_array_free(last->list, TRUE);
	mrig_destroy(r);
}

/*
 * A small entry that is no longer listed links to one that has just restarted.
 * That one had no weight for it and took it for a large one: a VM with a tenth
 * of a core coordinated all its work.
 */
static void
test_small_unlisted_entry(void)
{
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };
	struct ment *small, *restarted;

	mrig_run(r, 10 * S);
	order_of(r, order);
	small = order[0];
	for (guint i = 0; i < r->members->len; i++) {
		struct mh_member *m = g_ptr_array_index(r->members, i);

		if (strcmp(m->node, small->node) == 0)
			m->weight = 0.01;
	}
	small->weight = 0.01;
	for (uint32_t i = 0; i < ENTRIES; i++)
		restart(&r->e[i]);
	mrig_run(r, 10 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[1]);
	restarted = order[2]; /* the small one keeps a link to it */
	restarted->list = list_without(r, small);
	restart(restarted);
	mrig_run(r, 2 * S);
	CU_ASSERT_STRING_EQUAL(mrig_coordinator(restarted), order[1]->node);
	g_ptr_array_free(restarted->list, TRUE);
	mrig_destroy(r);
}

/*
 * The coordinator dies while its remote jobs are half done. The next one did
 * all of it again, from the first stage, in pools that the results of the dead
 * one still filled. It must continue from the computed stages.
 */
static void
test_work_continues_after_crash(void)
{
	static const char *const pools[] = { "a", "a", "b", NULL };
	const uint32_t pieces[] = { 2, 0, 3 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator;
	struct ent *e;
	struct mh_job *j;
	uint32_t first = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	e = &all[coordinator->index == 0];
	all[coordinator->index].stalled = "b";
	j = new_job(e, pools, pieces);
	j->stages[2].after = 1;
	mh_broker_submit(e->b, j);
	mrig_run(r, 200 * MS);
	CU_ASSERT_EQUAL(all[coordinator->index].calls, 2);
	CU_ASSERT_EQUAL(all[coordinator->index].calls_b, 1);
	CU_ASSERT_TRUE(mh_job_stage_done(&j->stages[0]));
	coordinator->cut = true;
	mrig_run(r, 2 * S);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&r->e[i] != coordinator)
			first += all[i].calls - all[i].calls_b;
	}
	CU_ASSERT_EQUAL(first, 0);
	mh_broker_drop(e->b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * The coordinator of a request's stage work has died by the time that its
 * results have been read. No other entry freed them, and they filled their
 * endpoints' result memory for seconds: the entry that received them must free
 * them.
 */
static void
test_results_outlive_coordinator(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 3 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator;
	struct ent *e;
	struct mh_job *j;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	e = &all[coordinator->index == 0];
	j = new_job(e, pools, pieces);
	j->stages[1].after = 1;
	mh_broker_submit(e->b, j);
	mrig_run(r, 200 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	coordinator->cut = true;
	mrig_run(r, 2 * S);
	CU_ASSERT_EQUAL(e->freed, 0);
	mh_broker_drop(e->b, j);
	CU_ASSERT_EQUAL(e->freed, 3);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * The coordinator drains while one request's call runs and another's pieces
 * wait behind it. The second was kept until its pieces were called there,
 * seconds for some, while the next coordinator called the same endpoints. It
 * must be handed off with its results, which are not computed again.
 */
static void
test_drain_hands_off(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 3 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *j[2];
	struct ment *coordinator;
	struct ent *e;
	uint32_t first = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	e = &all[coordinator->index == 0];
	all[coordinator->index].stalled = "b";
	for (int i = 0; i < 2; i++) {
		j[i] = new_job(e, pools, pieces);
		j[i]->stages[1].after = 1;
		mh_broker_submit(e->b, j[i]);
		mrig_run(r, 50 * MS);
	}
	CU_ASSERT_EQUAL(all[coordinator->index].calls_b, 1);
	mh_mesh_drain(coordinator->m);
	mh_scheds_drain(all[coordinator->index].cs);
	mrig_run(r, 100 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&r->e[i] != coordinator)
			first += all[i].calls - all[i].calls_b;
	}
	CU_ASSERT_EQUAL(first, 0);
	CU_ASSERT_EQUAL(all[coordinator->index].freed,
	    2); /* its inputs were read by the call */
	for (int i = 0; i < 2; i++) {
		mh_broker_drop(e->b, j[i]);
		mh_job_destroy(j[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * A coordinator drains with eight of twelve pieces of a stage computed. These
 * are handed off as well, in a field apart from the results of complete stages,
 * which a process of an earlier version takes for complete.
 */
static void
test_partial_stage_handed_off(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 12, 1 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator;
	struct ent *e, *drained;
	struct mh_job *j;
	uint32_t elsewhere = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	e = &all[coordinator->index == 0];
	drained = &all[coordinator->index];
	drained->stalled = "a";
	drained->calls_to_end = 1;
	j = new_job(e, pools, pieces);
	j->stages[1].after = 1;
	mh_broker_submit(e->b, j);
	mrig_run(r, 50 * MS);
	CU_ASSERT_EQUAL(drained->calls, 2);
	mh_mesh_drain(coordinator->m);
	mh_scheds_drain(drained->cs);
	mrig_run(r, 600 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&all[i] != drained)
			elsewhere += all[i].pieces;
	}
	CU_ASSERT_EQUAL(elsewhere, 4 + 1);
	CU_ASSERT_EQUAL(r->empty_results, 0);
	mh_broker_drop(e->b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * The first of the order has restarted and has run for long enough to be the
 * coordinator again. The entry that replaced it kept its jobs for seconds,
 * while both called the same endpoints. It must hand off what waits there.
 */
static void
test_role_loss_hands_off(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 3 };
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *j[2];
	struct ent *e, *first, *second;

	mrig_run(r, 10 * S);
	order_of(r, order);
	restart(order[0]);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	first = &all[order[0]->index];
	second = &all[order[1]->index];
	e = &all[order[2]->index];
	mrig_run(r, 7800 * MS);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[1]);
	second->stalled = "b";
	for (int i = 0; i < 2; i++) {
		j[i] = new_job(e, pools, pieces);
		j[i]->stages[1].after = 1;
		mh_broker_submit(e->b, j[i]);
		mrig_run(r, 50 * MS);
	}
	CU_ASSERT_EQUAL(second->calls_b, 1);
	mrig_run(r, 600 * MS);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
	CU_ASSERT(e->done >= 1);
	CU_ASSERT(first->calls_b >= 1);
	CU_ASSERT_EQUAL(first->calls, first->calls_b);
	for (int i = 0; i < 2; i++) {
		mh_broker_drop(e->b, j[i]);
		mh_job_destroy(j[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/* Which stages a job still needs after another coordinator began it. */
static void
test_needed_stages(void)
{
	static const char *const pools[] = { "a", "b", "c", NULL };
	static char *const results[] = { (char *)"x/1", (char *)"x/2" };
	const uint32_t pieces[] = { 2, 2, 1 };
	struct world *w = world_create();
	struct mh_job *j = world_job(w, pools, pieces, 5 * S, 9 * S);

	CU_ASSERT_TRUE(mh_job_needs_stage(j, 0));
	mh_job_set_results(j, 0, results, 2);
	mh_job_drop_unneeded(j);
	CU_ASSERT_TRUE(mh_job_stage_done(&j->stages[0]));
	mh_job_set_results(j, 1, results, 2);
	CU_ASSERT_FALSE(mh_job_needs_stage(j, 0));
	CU_ASSERT_TRUE(mh_job_needs_stage(j, 1));
	CU_ASSERT_TRUE(mh_job_needs_stage(j, 2));
	mh_job_drop_unneeded(j);
	CU_ASSERT_FALSE(mh_job_stage_done(&j->stages[0]));
	CU_ASSERT_TRUE(mh_job_stage_done(&j->stages[1]));
	mh_job_destroy(j);
	world_destroy(w);
}

/*
 * For seconds two entries both act as the coordinator of the same
 * endpoints. A call of one waits behind the other's. Its inputs must not be
 * freed as if it ran at once; they were computed again with all that had led to
 * them.
 */
static void
test_two_coordinators(void)
{
	static const char *const chain[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 4 };
	struct world *w = world_create();
	struct mh_sched *other;

	world_pool(w, "a", 4, 8, 200 * MS, 20 * MS, 0);
	world_pool(w, "b", 4, 8, 200 * MS, 20 * MS, 0);
	other = world_sched(w);
	for (int i = 0; i < 160; i++) {
		mh_sched_submit(i % 2 == 0 ? w->sched : other,
		    world_job(w, chain, pieces, 3 * S, 8 * S));
		world_run(w, 50 * MS);
	}
	world_run(w, 8 * S);
	CU_ASSERT_EQUAL(w->done + w->refused + w->failed, 160);
	CU_ASSERT(w->lost_inputs <= 50);
	CU_ASSERT(w->on_time >= 130);
	world_destroy(w);
}

/*
 * Three entries other than the coordinator freeze for four seconds and resume
 * with the requests that their clients sent meanwhile. Their links were closed
 * as silent, so each did its stage work alone: of 1,800 calls that twenty such
 * entries made in a second, 1,300 found their endpoint full.
 */
static void
test_resumed_entries(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 1 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *j[ENTRIES] = { NULL };
	struct ment *coordinator;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	for (uint32_t i = 0, n = 0; i < ENTRIES && n < 3; i++) {
		r->e[i].frozen = &r->e[i] != coordinator;
		n += r->e[i].frozen;
	}
	mrig_run(r, 4 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].connect_us = 30 * MS;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (!r->e[i].frozen)
			continue;
		r->e[i].frozen = false;
		mh_kern_advance(r->e[i].k, r->now_us, r->now_us);
		j[i] = new_job(&all[i], pools, pieces);
		mh_broker_submit(all[i].b, j[i]);
	}
	mrig_run(r, 1 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), coordinator);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (j[i] == NULL)
			continue;
		CU_ASSERT_EQUAL(all[i].calls, 0);
		CU_ASSERT_EQUAL(all[i].done, 1);
		mh_broker_drop(all[i].b, j[i]);
		mh_job_destroy(j[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * The first four of the order have just restarted, the rest have run for long
 * and skip them. When each of the rest was linked to those four alone, it knew
 * no entry that could coordinate, and did its own stage work: six entries
 * called the same endpoints for eight seconds.
 */
static void
test_first_of_the_order_restarted(void)
{
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };

	mrig_run(r, 10 * S);
	order_of(r, order);
	for (uint32_t i = 0; i < 4; i++)
		restart(order[i]);
	mrig_run(r, 2 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[4]);
	mrig_run(r, 7 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
	mrig_destroy(r);
}

#define CHECK_US (50 * MS)
#define CHECKS_PER_HEARTBEAT 5

/* Number of checks within @us at which entries name different coordinators. */
static uint32_t
count_disagreed(struct mrig *r, int64_t us)
{
	uint32_t n = 0;

	for (int64_t t = 0; t < us; t += CHECK_US) {
		mrig_run(r, CHECK_US);
		n += mrig_agreed(r) == NULL;
	}
	return n;
}

/*
 * All entries restart one after another, beginning with each of them in turn.
 * The longest running entry decides which ones may coordinate, and not every
 * entry is linked to it: for five seconds some chose another coordinator than
 * the rest. All must agree except for one heartbeat interval at each change.
 */
static void
test_rolling_restart(void)
{
	for (uint32_t first = 0; first < ENTRIES; first++) {
		struct mrig *r = mrig_create();
		uint32_t n = 0;

		mrig_run(r, 10 * S);
		for (uint32_t i = 0; i < ENTRIES; i++) {
			struct ment *e = &r->e[(first + i * 3) % ENTRIES];

			mh_mesh_drain(e->m);
			n += count_disagreed(r, 500 * MS);
			restart(e);
			n += count_disagreed(r, 300 * MS);
		}
		n += count_disagreed(r, 9 * S);
		CU_ASSERT(n <= ENTRIES * CHECKS_PER_HEARTBEAT);
		mrig_destroy(r);
	}
}

/*
 * The last entry to restart drains; all others have just restarted. As the
 * longest running entry it skipped all of them and did its clients' stage work
 * itself, while the others had theirs done elsewhere.
 */
static void
test_last_to_restart(void)
{
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };

	mrig_run(r, 10 * S);
	order_of(r, order);
	for (uint32_t i = 0; i < ENTRIES - 1; i++)
		restart(order[i]);
	mrig_run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[ENTRIES - 1]);
	mh_mesh_drain(order[ENTRIES - 1]->m);
	mrig_run(r, 100 * MS);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
	mrig_destroy(r);
}

/*
 * The first four of the order have just restarted, and so has one that is
 * linked to those alone. It knew of no entry that had run for longer and took
 * the first for the coordinator, and two coordinators called the same endpoints
 * for seconds.
 */
static void
test_restarted_among_restarted(void)
{
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };

	mrig_run(r, 10 * S);
	order_of(r, order);
	for (uint32_t i = 0; i < 4; i++)
		restart(order[i]);
	mrig_run(r, 1 * S);
	restart(order[ENTRIES - 1]);
	mrig_run(r, 1 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[4]);
	mrig_destroy(r);
}

/* The one call that a stage scheduler has in flight. */
static struct mh_batch *
only_call(struct mh_sched *c)
{
	GHashTableIter it;
	gpointer key, value;

	CU_ASSERT_EQUAL_FATAL(g_hash_table_size(c->batches), 1);
	g_hash_table_iter_init(&it, c->batches);
	CU_ASSERT_TRUE(g_hash_table_iter_next(&it, &key, &value));
	return value;
}

/*
 * The results of a computed stage are found lost when the next stage is to read
 * them, so the coordinator computes the stage again, with its inputs. It drains
 * when the inputs are computed and the stage is not. The requester still took
 * the stage for computed when it received the results of the inputs, and
 * discarded them, so that they were computed a third time. As the reports of
 * stages 0, 1 and 2 arrived, the requester had stages "1 1 0" and then "0 0 0"
 * as computed, and kept the results of stages "0 1 0", "0 1 0" and "0 1 1";
 * then six pieces were computed elsewhere instead of four.
 */
static void
test_recomputed_stage_handed_off(void)
{
	static const char *const pools[] = { "a", "b", "a", NULL };
	const uint32_t pieces[] = { 2, 3, 1 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator;
	struct ent *e, *drained;
	struct mh_batch *b;
	struct mh_sched *c;
	struct mh_job *j;
	uint32_t elsewhere = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	e = &all[coordinator->index == 0];
	drained = &all[coordinator->index];
	drained->stalled = "a";
	drained->calls_to_end = 1;
	j = new_job(e, pools, pieces);
	j->stages[1].after = 1;
	j->stages[2].after = 2;
	mh_broker_submit(e->b, j);
	mrig_run(r, 100 * MS);
	CU_ASSERT_EQUAL(drained->calls, 3);
	CU_ASSERT_TRUE(mh_job_stage_done(&j->stages[1]));
	c = mh_scheds_get(drained->cs, 0, 1);
	b = only_call(c);
	g_array_index(b->items, struct mh_batch_item, 0).inputs_lost = true;
	drained->stalled = "b";
	mh_sched_batch_end(c, b, MH_BATCH_DONE);
	mrig_run(r, 20 * MS);
	CU_ASSERT_EQUAL(
	    drained->calls, 5); /* inputs computed, stage in a call */
	mh_mesh_drain(coordinator->m);
	mh_scheds_drain(drained->cs);
	mh_sched_batch_end(c, only_call(c), MH_BATCH_FULL);
	mrig_run(r, 300 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&all[i] != drained)
			elsewhere += all[i].pieces;
	}
	CU_ASSERT_EQUAL(elsewhere, 3 + 1);
	mh_broker_drop(e->b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * Stage work of a poison request is at its coordinator, or on its way to the
 * next one. Every coordinator must have the fingerprint of the request, and the
 * requester must get the reason why the job ends.
 */
static void
test_quarantined_at_coordinator(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 8 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator, *next;
	struct ent *e;
	struct mh_sched *c;
	struct mh_job *j[2];

	for (uint32_t i = 0; i < ENTRIES; i++) {
		ent_create(&all[i], &r->e[i]);
		all[i].stalled = "a";
	}
	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	e = &all[coordinator->index == 0];
	for (int i = 0; i < 2; i++) { /* one in a call, one waiting */
		j[i] = new_job(e, pools, pieces);
		j[i]->fingerprint = 77;
		mh_broker_submit(e->b, j[i]);
	}
	mrig_run(r, 100 * MS);
	c = mh_scheds_get(all[coordinator->index].cs, 0, 1);
	CU_ASSERT_EQUAL_FATAL(c->jobs->len, 2);
	mh_mesh_drain(coordinator->m);
	mh_scheds_drain(all[coordinator->index].cs);
	mrig_run(r, 200 * MS); /* the call isn't overdue yet */
	next = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_EQUAL(next, coordinator);
	c = mh_scheds_get(all[next->index].cs, 0, 1);
	CU_ASSERT_EQUAL_FATAL(c->jobs->len, 1);
	CU_ASSERT_EQUAL(
	    ((struct mh_job *)g_ptr_array_index(c->jobs, 0))->fingerprint, 77);
	mh_scheds_quarantine(all[next->index].cs, 77);
	mrig_run(r, 40 * MS);
	CU_ASSERT_EQUAL(e->quarantined, 1);
	CU_ASSERT_EQUAL(c->jobs->len, 0);
	for (int i = 0; i < 2; i++) {
		mh_broker_drop(e->b, j[i]);
		mh_job_destroy(j[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * Submits two jobs to an entry that is no longer the coordinator: one enters a
 * call, one waits. Returns the number of jobs that it keeps.
 */
static uint32_t
kept_of_two(struct mrig *r, struct ent *e)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 8 };
	struct mh_sched *c = mh_scheds_get(e->cs, 0, 1);
	struct mh_job *j[2];
	uint32_t kept;

	e->stalled = "a";
	for (int i = 0; i < 2; i++) {
		j[i] = new_job(e, pools, pieces);
		mh_sched_submit(c, j[i]);
	}
	mrig_run(r, 360 * MS); /* three checks; the call isn't overdue yet */
	kept = c->jobs->len;
	for (int i = 0; i < 2; i++) {
		mh_broker_drop(e->b, j[i]);
		mh_job_destroy(j[i]);
	}
	mh_sched_batch_end(c, only_call(c), MH_BATCH_DONE);
	return kept;
}

/*
 * An entry loses the coordinator role, regains it while it has no work, and
 * loses it once more. The second time it kept its jobs: the checks at which
 * another entry is the coordinator were not reset, since an entry without work
 * didn't check. They counted 0, 1, 2 the first time, when it handed off, and
 * stayed at 3 the second.
 */
static void
test_role_lost_twice(void)
{
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };
	struct ent all[ENTRIES] = { 0 };
	struct ent *first, *second;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 10 * S);
	order_of(r, order);
	first = &all[order[0]->index];
	second = &all[order[1]->index];
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
	CU_ASSERT_EQUAL(kept_of_two(r, second), 1);
	ent_destroy(first);
	restart(order[0]);
	ent_create(first, order[0]);
	mrig_run(r, 4 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[1]);
	mrig_run(r, 5 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
	CU_ASSERT_EQUAL(kept_of_two(r, second), 1);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * Guards against stage work that waits for its deadline: its job, or the
 * report of its end, was sent over the one of the two connections to the
 * coordinator that carries nothing.  The other one works, so neither side
 * loses its peer, which is what the work is sent again for.
 */
static void
test_work_over_a_silent_connection(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	static const uint32_t pieces[] = { 1, 1 };
	enum { JOBS = 30 };

	for (int side = 0; side < 2; side++) {
		struct mrig *r = mrig_create();
		struct ment *order[ENTRIES] = { NULL };
		struct ent all[ENTRIES] = { 0 };
		struct mh_job *jobs[JOBS];
		struct ent *e;
		uint32_t late = 0;

		for (uint32_t i = 0; i < ENTRIES; i++)
			ent_create(&all[i], &r->e[i]);
		mrig_run(r, 10 * S);
		order_of(r, order);
		CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
		e = &all[order[1]->index];
		if (side == 0)
			mrig_lose(order[1], order[0], LOSES_BOTH);
		else
			mrig_lose(order[0], order[1], LOSES_BOTH);
		for (int i = 0; i < JOBS; i++) {
			jobs[i] = new_job(e, pools, pieces);
			mh_broker_submit(e->b, jobs[i]);
			mrig_run(r, 100 * MS);
		}
		mrig_run(r, 1 * S);
		late = JOBS - e->ended;
		mrig_run(r, 10 * S);
		printf("side %d: %u of %d jobs not ended 1 s after the last, "
		       "%u done in the end\n",
		    side, late, JOBS, e->done);
		CU_ASSERT_EQUAL(mh_counter(e->m->k, "peer_losses"), 0);
		CU_ASSERT_EQUAL(late, 0);
		CU_ASSERT_EQUAL(e->ended, JOBS);
		CU_ASSERT_EQUAL(e->done, JOBS);
		for (int i = 0; i < JOBS; i++) {
			mh_broker_drop(e->b, jobs[i]);
			mh_job_destroy(jobs[i]);
		}
		mrig_run(r, 100 * MS);
		for (uint32_t i = 0; i < ENTRIES; i++)
			ent_destroy(&all[i]);
		mrig_destroy(r);
	}
}

const struct test tests_coordinator[] = {
	{ "coordinator: work over a silent connection",
	    test_work_over_a_silent_connection },
	{ "coordinator: role lost twice", test_role_lost_twice },
	{ "coordinator: quarantined job", test_quarantined_at_coordinator },
	{ "coordinator: a recomputed stage is handed off",
	    test_recomputed_stage_handed_off },
	{ "coordinator: no longer listed", test_unlisted_coordinator },
	{ "coordinator: a small entry that is no longer listed",
	    test_small_unlisted_entry },
	{ "coordinator: begun work continues",
	    test_work_continues_after_crash },
	{ "coordinator: results outlive it", test_results_outlive_coordinator },
	{ "coordinator: one that drains hands off", test_drain_hands_off },
	{ "coordinator: a partial stage is handed off",
	    test_partial_stage_handed_off },
	{ "coordinator: one that loses the role hands off",
	    test_role_loss_hands_off },
	{ "coordinator: needed stages", test_needed_stages },
	{ "coordinator: two at once", test_two_coordinators },
	{ "coordinator: entries that resume", test_resumed_entries },
	{ "coordinator: the first of the order restarted",
	    test_first_of_the_order_restarted },
	{ "coordinator: rolling restart", test_rolling_restart },
	{ "coordinator: the last to restart", test_last_to_restart },
	{ "coordinator: restarted among restarted",
	    test_restarted_among_restarted },
	{ NULL, NULL },
};
