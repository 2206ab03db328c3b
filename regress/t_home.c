/**
 * DOC: Homes of stage work while many entries are wrong about each other:
 * some are listed no more, some have just come back, one dies with work begun.
 */

#include "entwork.h"
#include "regress.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/* Entries in the order of stage work, the home first; all weigh the same. */
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

/* The list of entries without one. */
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
 * The store turns a third of the entries away for 12 s, and their places in
 * the list lapse, the home's among them.  Entries that restart read the list
 * without it and took another one for the home: two homes called the same
 * endpoints, and each freed inputs that the other's calls kept waiting.
 */
static void
test_unlisted_home(void)
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
	CU_ASSERT_STRING_EQUAL(mrig_home(last), order[1]->node);
	j = new_job(&all[last->index], pools, pieces);
	mh_broker_submit(all[last->index].b, j);
	mrig_run(r, 1 * S);
	CU_ASSERT_STRING_EQUAL(mrig_home(last), order[0]->node);
	CU_ASSERT_EQUAL(all[last->index].done, 1);
	/* Told of it once: later work goes there, and it stays known. */
	mrig_run(r, 15 * S);
	CU_ASSERT_STRING_EQUAL(mrig_home(last), order[0]->node);
	mh_broker_drop(all[last->index].b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	g_ptr_array_free(last->list, TRUE);
	mrig_destroy(r);
}

/*
 * A small entry that is listed no more links itself to one that has just
 * restarted, which knew no weight of it and took it for a large one: the home
 * of all its work was a VM with a tenth of a core.
 */
static void
test_small_unlisted_entry(void)
{
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };
	struct ment *small, *back;

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
	back = order[2]; /* to which the small one keeps a link */
	back->list = list_without(r, small);
	restart(back);
	mrig_run(r, 2 * S);
	CU_ASSERT_STRING_EQUAL(mrig_home(back), order[1]->node);
	g_ptr_array_free(back->list, TRUE);
	mrig_destroy(r);
}

/*
 * The home dies while its callers' work is half done.  The next home did all of
 * it again, from the first stage, before pools that the results of the dead
 * one still filled.  It goes on from the stages that are made.
 */
static void
test_begun_work_goes_on(void)
{
	static const char *const pools[] = { "a", "a", "b", NULL };
	const uint32_t pieces[] = { 2, 0, 3 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *home;
	struct ent *e;
	struct mh_job *j;
	uint32_t first = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	e = &all[home->index == 0];
	all[home->index].stalled = "b";
	j = new_job(e, pools, pieces);
	j->stages[2].after = 1;
	mh_broker_submit(e->b, j);
	mrig_run(r, 200 * MS);
	CU_ASSERT_EQUAL(all[home->index].calls, 2);
	CU_ASSERT_EQUAL(all[home->index].calls_b, 1);
	CU_ASSERT_TRUE(mh_job_stage_done(&j->stages[0]));
	home->cut = true;
	mrig_run(r, 2 * S);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&r->e[i] != home)
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
 * The home of a request's stage work is gone by the time that its results have
 * been read.  Nobody else knew them, or so it was taken, and they filled their
 * endpoints' room for seconds: the entry that was given them frees them.
 */
static void
test_results_outlive_the_home(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 3 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *home;
	struct ent *e;
	struct mh_job *j;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	e = &all[home->index == 0];
	j = new_job(e, pools, pieces);
	j->stages[1].after = 1;
	mh_broker_submit(e->b, j);
	mrig_run(r, 200 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	home->cut = true;
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
 * The home leaves in order while one request's call runs and another's pieces
 * wait behind it.  The second was kept until its turn came there, seconds for
 * some, while the next home called the same endpoints.  It is handed on with
 * what is made of it, which is not made again.
 */
static void
test_leaving_home_hands_on(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 3 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *j[2];
	struct ment *home;
	struct ent *e;
	uint32_t first = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	e = &all[home->index == 0];
	all[home->index].stalled = "b";
	for (int i = 0; i < 2; i++) {
		j[i] = new_job(e, pools, pieces);
		j[i]->stages[1].after = 1;
		mh_broker_submit(e->b, j[i]);
		mrig_run(r, 50 * MS);
	}
	CU_ASSERT_EQUAL(all[home->index].calls_b, 1);
	mh_mesh_leave(home->m);
	mh_scheds_drain(all[home->index].cs);
	mrig_run(r, 100 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&r->e[i] != home)
			first += all[i].calls - all[i].calls_b;
	}
	CU_ASSERT_EQUAL(first, 0);
	CU_ASSERT_EQUAL(all[home->index].freed, 2); /* read by the call */
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
 * A home leaves with a stage half made: eight of twelve pieces.  These are
 * handed on as well, apart from results of whole stages, which a process of an
 * earlier version takes for whole.
 */
static void
test_half_a_stage_is_handed_on(void)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 12, 1 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *home;
	struct ent *e, *left;
	struct mh_job *j;
	uint32_t elsewhere = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	e = &all[home->index == 0];
	left = &all[home->index];
	left->stalled = "a";
	left->passes = 1;
	j = new_job(e, pools, pieces);
	j->stages[1].after = 1;
	mh_broker_submit(e->b, j);
	mrig_run(r, 50 * MS);
	CU_ASSERT_EQUAL(left->calls, 2);
	mh_mesh_leave(home->m);
	mh_scheds_drain(left->cs);
	mrig_run(r, 600 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&all[i] != left)
			elsewhere += all[i].pieces;
	}
	CU_ASSERT_EQUAL(elsewhere, 4 + 1);
	CU_ASSERT_EQUAL(r->holes, 0);
	mh_broker_drop(e->b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * The first of the order is back and has run for long enough to be the home
 * again.  The entry that stood in kept what it had been given, for seconds,
 * while both called the same endpoints.  It hands on what waits there.
 */
static void
test_home_no_more_hands_on(void)
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

/* What a job that another home began still needs, stage by stage. */
static void
test_what_is_still_wanted(void)
{
	static const char *const pools[] = { "a", "b", "c", NULL };
	static char *const made[] = { (char *)"x/1", (char *)"x/2" };
	const uint32_t pieces[] = { 2, 2, 1 };
	struct world *w = world_create();
	struct mh_job *j = world_job(w, pools, pieces, 5 * S, 9 * S);

	CU_ASSERT_TRUE(mh_job_needs_stage(j, 0));
	mh_job_set_results(j, 0, made, 2);
	mh_job_drop_unneeded(j);
	CU_ASSERT_TRUE(mh_job_stage_done(&j->stages[0]));
	mh_job_set_results(j, 1, made, 2);
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
 * Two entries take themselves for the home of the same endpoints, for seconds.
 * A call of one waits behind the other's; its inputs were freed as if it had
 * its turn at once, and were made again with all that had led to them.
 */
static void
test_two_homes(void)
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
 * Three of eight entries freeze for four seconds, not the home, and wake with
 * what their callers sent meanwhile.  Their links were closed as silent, so
 * each did its stage work alone: twenty such entries at once made 1,800 calls
 * in a second, of which 1,300 found their endpoint full.
 */
static void
test_woken_entries(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 1 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *j[ENTRIES] = { NULL };
	struct ment *home;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 10 * S);
	home = mrig_agreed(r);
	for (uint32_t i = 0, n = 0; i < ENTRIES && n < 3; i++) {
		r->e[i].frozen = &r->e[i] != home;
		n += r->e[i].frozen;
	}
	mrig_run(r, 4 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].opens_us = 30 * MS;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (!r->e[i].frozen)
			continue;
		r->e[i].frozen = false;
		mh_kern_advance(r->e[i].k, r->now_us, r->now_us);
		j[i] = new_job(&all[i], pools, pieces);
		mh_broker_submit(all[i].b, j[i]);
	}
	mrig_run(r, 1 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), home);
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
 * The first four of the order have just come back, the rest have run for long
 * and pass over them.  Each of the rest was linked to those four alone, knew
 * none that it could take for the home, and did its own stage work: six homes
 * called the same endpoints for eight seconds.
 */
static void
test_first_of_the_order_young(void)
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

#define LOOK_US (50 * MS)
#define LOOKS_A_BEAT 5

/* How often, of looks at all entries, they name different homes. */
static uint32_t
disagreed(struct mrig *r, int64_t us)
{
	uint32_t n = 0;

	for (int64_t t = 0; t < us; t += LOOK_US) {
		mrig_run(r, LOOK_US);
		n += mrig_agreed(r) == NULL;
	}
	return n;
}

/*
 * All entries restart in turn, begun with any of them.  Who ran longest decides
 * who is old enough to be the home, and not everybody is linked to that one:
 * for five seconds some took another home than the rest.  All agree, but for
 * a beat at each change.
 */
static void
test_restarted_in_turn(void)
{
	for (uint32_t first = 0; first < ENTRIES; first++) {
		struct mrig *r = mrig_create();
		uint32_t n = 0;

		mrig_run(r, 10 * S);
		for (uint32_t i = 0; i < ENTRIES; i++) {
			struct ment *e = &r->e[(first + i * 3) % ENTRIES];

			mh_mesh_leave(e->m);
			n += disagreed(r, 500 * MS);
			restart(e);
			n += disagreed(r, 300 * MS);
		}
		n += disagreed(r, 9 * S);
		CU_ASSERT(n <= ENTRIES * LOOKS_A_BEAT);
		mrig_destroy(r);
	}
}

/*
 * The last of the entries to restart leaves; all others have just come back.
 * Having run longest itself, it passed over all of them and did its callers'
 * stage work itself, while the others had theirs done elsewhere.
 */
static void
test_last_to_leave(void)
{
	struct mrig *r = mrig_create();
	struct ment *order[ENTRIES] = { NULL };

	mrig_run(r, 10 * S);
	order_of(r, order);
	for (uint32_t i = 0; i < ENTRIES - 1; i++)
		restart(order[i]);
	mrig_run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[ENTRIES - 1]);
	mh_mesh_leave(order[ENTRIES - 1]->m);
	mrig_run(r, 100 * MS);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
	mrig_destroy(r);
}

/*
 * The first four of the order have just come back, and so has one that is
 * linked to those alone.  It did not know of any that had run longer, took the
 * first for the home, and the two homes called the same endpoints for seconds.
 */
static void
test_young_among_young(void)
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

/* The one call that a cell has under way. */
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
 * A stage was made and found gone when the next one was to read it, so the home
 * makes it again, with its inputs.  It leaves when the inputs are made and the
 * stage is not.  The entry that asked took the stage for made still when it
 * was told of the inputs, and forgot them: they are made a third time.  What it
 * took for made, and kept, as the home told it of stages 0, 1 and 2 in turn:
 * "made 1 1 0 kept 0 1 0", "made 0 0 0 kept 0 1 0", "kept 0 1 1"; then six
 * pieces were made elsewhere, where four were due.
 */
static void
test_made_again_is_handed_on(void)
{
	static const char *const pools[] = { "a", "b", "a", NULL };
	const uint32_t pieces[] = { 2, 3, 1 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *home;
	struct ent *e, *left;
	struct mh_batch *b;
	struct mh_sched *c;
	struct mh_job *j;
	uint32_t elsewhere = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	e = &all[home->index == 0];
	left = &all[home->index];
	left->stalled = "a";
	left->passes = 1;
	j = new_job(e, pools, pieces);
	j->stages[1].after = 1;
	j->stages[2].after = 2;
	mh_broker_submit(e->b, j);
	mrig_run(r, 100 * MS);
	CU_ASSERT_EQUAL(left->calls, 3);
	CU_ASSERT_TRUE(mh_job_stage_done(&j->stages[1]));
	c = mh_scheds_get(left->cs, 0, 1);
	b = only_call(c);
	g_array_index(b->items, struct mh_batch_item, 0).inputs_lost = true;
	left->stalled = "b";
	mh_sched_batch_end(c, b, MH_BATCH_DONE);
	mrig_run(r, 20 * MS);
	CU_ASSERT_EQUAL(left->calls, 5); /* inputs made, the stage in a call */
	mh_mesh_leave(home->m);
	mh_scheds_drain(left->cs);
	mh_sched_batch_end(c, only_call(c), MH_BATCH_FULL);
	mrig_run(r, 300 * MS);
	CU_ASSERT_EQUAL(e->done, 1);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&all[i] != left)
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
 * Stage work of a request under which endpoints end is at the home of another
 * entry, or on its way to the next home.  Every home knows whose it is, and the
 * entry that asked is told why it ends.
 */
static void
test_held_at_the_home(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 8 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *home, *next;
	struct ent *e;
	struct mh_sched *c;
	struct mh_job *j[2];

	for (uint32_t i = 0; i < ENTRIES; i++) {
		ent_create(&all[i], &r->e[i]);
		all[i].stalled = "a";
	}
	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	e = &all[home->index == 0];
	for (int i = 0; i < 2; i++) { /* one in a call, one that waits */
		j[i] = new_job(e, pools, pieces);
		j[i]->fingerprint = 77;
		mh_broker_submit(e->b, j[i]);
	}
	mrig_run(r, 100 * MS);
	c = mh_scheds_get(all[home->index].cs, 0, 1);
	CU_ASSERT_EQUAL_FATAL(c->jobs->len, 2);
	mh_mesh_leave(home->m);
	mh_scheds_drain(all[home->index].cs);
	mrig_run(r, 200 * MS); /* the call is not overdue yet */
	next = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_EQUAL(next, home);
	c = mh_scheds_get(all[next->index].cs, 0, 1);
	CU_ASSERT_EQUAL_FATAL(c->jobs->len, 1);
	CU_ASSERT_EQUAL(
	    ((struct mh_job *)g_ptr_array_index(c->jobs, 0))->fingerprint, 77);
	mh_scheds_quarantine(all[next->index].cs, 77);
	mrig_run(r, 40 * MS);
	CU_ASSERT_EQUAL(e->held, 1);
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

/* Two jobs come to an entry that is the home no more: one call, one waits. */
static uint32_t
left_of_two(struct mrig *r, struct ent *e)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 8 };
	struct mh_sched *c = mh_scheds_get(e->cs, 0, 1);
	struct mh_job *j[2];
	uint32_t left;

	e->stalled = "a";
	for (int i = 0; i < 2; i++) {
		j[i] = new_job(e, pools, pieces);
		mh_sched_submit(c, j[i]);
	}
	mrig_run(r, 360 * MS); /* three looks; the call is not overdue yet */
	left = c->jobs->len;
	for (int i = 0; i < 2; i++) {
		mh_broker_drop(e->b, j[i]);
		mh_job_destroy(j[i]);
	}
	mh_sched_batch_end(c, only_call(c), MH_BATCH_DONE);
	return left;
}

/*
 * An entry ceases to be the home, is it again while it has no work, and ceases
 * once more.  The second time it kept what it was given: the looks at which
 * another is the home were not counted anew, since an entry without work did
 * not look.  They counted "0, 1, 2" the first time, when it handed on, and "3,
 * 3, 3, 3" the second.
 */
static void
test_home_no_more_twice(void)
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
	CU_ASSERT_EQUAL(left_of_two(r, second), 1);
	ent_destroy(first);
	restart(order[0]);
	ent_create(first, order[0]);
	mrig_run(r, 4 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[1]);
	mrig_run(r, 5 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
	CU_ASSERT_EQUAL(left_of_two(r, second), 1);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

const struct test tests_home[] = {
	{ "home: no more, twice", test_home_no_more_twice },
	{ "home: held at the home", test_held_at_the_home },
	{ "home: what is made again is handed on",
	    test_made_again_is_handed_on },
	{ "home: listed no more", test_unlisted_home },
	{ "home: a small entry that is listed no more",
	    test_small_unlisted_entry },
	{ "home: begun work goes on", test_begun_work_goes_on },
	{ "home: results outlive it", test_results_outlive_the_home },
	{ "home: one that leaves hands on", test_leaving_home_hands_on },
	{ "home: half a stage is handed on", test_half_a_stage_is_handed_on },
	{ "home: one that is no more the home hands on",
	    test_home_no_more_hands_on },
	{ "home: what is still wanted", test_what_is_still_wanted },
	{ "home: two at once", test_two_homes },
	{ "home: entries that wake", test_woken_entries },
	{ "home: the first of the order are young",
	    test_first_of_the_order_young },
	{ "home: restarted in turn", test_restarted_in_turn },
	{ "home: the last to leave", test_last_to_leave },
	{ "home: young among young", test_young_among_young },
	{ NULL, NULL },
};
