/**
 * DOC: Begun stage work that goes from home to home, at other moments and
 * loads than those at which faults of it were seen.
 */

#include "entwork.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define STAGES_MOST 5
#define PIECES_MOST 8
#define CALLS_MOST 4
/* An endpoint has not read what a call needs yet, or has for certain. */
#define UNREAD_US (20 * MS)
#define READ_US (100 * MS)

static const char *const names[] = { "a", "b" };

/** struct handon - one job of an entry, begun at the home. */
struct handon {
	GRand *rand;
	struct mrig *r;
	struct ent all[ENTRIES];
	struct ent *asker;
	struct ent *home;
	struct mh_sched *cell; /* the home's */
	struct mh_job *asked; /* the asker's */
	struct mh_job *begun; /* the home's; NULL: it has ended */
};

/* A number below @most. */
static uint32_t
pick(struct handon *h, uint32_t most)
{
	return (uint32_t)g_rand_int_range(h->rand, 0, (gint32)most);
}

/* A chain whose stages read the one before and maybe others. */
static struct mh_job *
random_job(struct handon *h)
{
	const char *pools[STAGES_MOST + 1] = { NULL };
	uint32_t pieces[STAGES_MOST] = { 0 }, n = 2 + pick(h, STAGES_MOST - 1);
	struct mh_job *j;

	for (uint32_t s = 0; s < n; s++) {
		pools[s] = names[pick(h, 2)];
		pieces[s] = 1 + pick(h, PIECES_MOST);
	}
	j = world_job(h->asker->w, pools, pieces, 5 * S, 9 * S);
	j->slo_us = mh_now(h->asker->m->k) + 5 * S;
	j->deadline_us = mh_now(h->asker->m->k) + 9 * S;
	for (uint32_t s = 1; s < n; s++)
		j->stages[s].after = 1U << (s - 1) | pick(h, 1U << s);
	return j;
}

/* The next calls of one pool, after some, stay open. */
static void
stall(struct handon *h)
{
	h->home->stalled = names[pick(h, 2)];
	h->home->passes = pick(h, CALLS_MOST);
}

static struct handon *
handon_create(uint32_t seed)
{
	struct handon *h = g_new0(struct handon, 1);
	struct ment *home;

	h->rand = g_rand_new_with_seed(seed);
	h->r = mrig_create();
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&h->all[i], &h->r->e[i]);
	mrig_run(h->r, 2 * S);
	home = mrig_agreed(h->r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	h->home = &h->all[home->index];
	h->asker = &h->all[home->index == 0];
	h->asked = random_job(h);
	stall(h);
	mh_broker_submit(h->asker->b, h->asked);
	mrig_run(h->r, UNREAD_US);
	h->cell = mh_scheds_get(h->home->cs, 0, 1);
	if (h->cell->jobs->len > 0)
		h->begun = g_ptr_array_index(h->cell->jobs, 0);
	return h;
}

static void
handon_destroy(struct handon *h)
{
	mh_broker_drop(h->asker->b, h->asked);
	mh_job_destroy(h->asked);
	mrig_run(h->r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&h->all[i]);
	mrig_destroy(h->r);
	g_rand_free(h->rand);
	g_free(h);
}

/* The open calls end with all that they were to make. */
static void
make_results(struct handon *h)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, h->cell->batches);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_batch *b = value;

		for (guint i = 0; i < b->items->len; i++)
			g_array_index(b->items, struct mh_batch_item, i)
			    .result = g_strdup("10.9.9.9:1/late");
	}
}

static void
end_calls(struct mh_sched *c, enum mh_batch_end end)
{
	GList *all = g_hash_table_get_values(c->batches);

	for (GList *l = all; l != NULL; l = l->next)
		mh_sched_batch_end(c, l->data, end);
	g_list_free(all);
}

/* The calls that are open find that some of what they read is gone. */
static void
lose_inputs(struct handon *h)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, h->cell->batches);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_batch *b = value;

		for (guint i = 0; i < b->items->len; i++) {
			struct mh_batch_item *m =
			    &g_array_index(b->items, struct mh_batch_item, i);

			m->inputs_lost = m->stage > 0 && pick(h, 2) == 0;
		}
	}
	stall(h);
	end_calls(h->cell, MH_BATCH_DONE);
	mrig_run(h->r, UNREAD_US);
	if (h->cell->jobs->len == 0)
		h->begun = NULL;
}

/* Pieces that are not made; those in a call count as made, or not. */
static uint32_t
not_made(const struct mh_job *j, bool in_calls)
{
	uint32_t n = 0;

	for (uint32_t s = 0; s < j->n_stages; s++)
		n += j->state->stages[s].remaining -
		    (in_calls ? 0 : j->state->stages[s].in_flight);
	return n;
}

/* Pieces of stages that are not made whole: halves of them are not told of. */
static uint32_t
not_told(const struct mh_job *j)
{
	uint32_t n = 0;

	for (uint32_t s = 0; s < j->n_stages; s++)
		n +=
		    j->state->stages[s].remaining > 0 ? j->stages[s].pieces : 0;
	return n;
}

/*
 * The home leaves; its calls are refused, or end when they have been read.
 * Returns the pieces that are due elsewhere.
 */
static uint32_t
leave(struct handon *h)
{
	bool read = pick(h, 2) == 0;
	uint32_t due = h->begun == NULL ? 0 : not_made(h->begun, !read);

	mh_mesh_leave(h->home->m->m);
	mh_scheds_drain(h->home->cs);
	if (read) {
		mrig_run(h->r, READ_US);
		make_results(h);
	}
	end_calls(h->cell, read ? MH_BATCH_DONE : MH_BATCH_FULL);
	return due;
}

/* The same where it dies. */
static uint32_t
die(struct handon *h)
{
	h->home->m->cut = true;
	return h->begun == NULL ? 0 : not_told(h->begun);
}

static uint32_t
made_elsewhere(const struct handon *h)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&h->all[i] != h->home)
			n += h->all[i].pieces;
	}
	return n;
}

/* Whether the next home makes just what the first one has not. */
static bool
goes_on(uint32_t seed, bool dies)
{
	struct handon *h = handon_create(seed);
	uint32_t due, made;
	bool good;

	for (uint32_t i = pick(h, 4); i > 0 && h->begun != NULL; i--)
		lose_inputs(h);
	due = dies ? die(h) : leave(h);
	mrig_run(h->r, 2 * S);
	made = made_elsewhere(h);
	good = made == due && h->asker->done == 1 && h->r->holes == 0;
	if (!good)
		fprintf(stderr, "seed %u: %u pieces made elsewhere, %u due\n",
		    seed, made, due);
	handon_destroy(h);
	return good;
}

/*
 * A home leaves with any part of a job made, and some of it made again since
 * its results were gone.  Whatever the moment, nothing that is made is made
 * once more, and nothing is left out.
 */
static void
test_leaves_at_any_moment(void)
{
	for (uint32_t seed = regress_first(1); seed <= regress_last(60); seed++)
		CU_ASSERT_TRUE(goes_on(seed, false));
}

/*
 * A home dies in the same states.  What it had made in whole stages is known to
 * the entry that asked; what it had found gone was taken for made there, since
 * only stages that are made were told of: told of the inputs of such a stage,
 * the entry forgot them, and gave the next home results that did not exist
 * ("asker told of stage 0: made 1 1 0 kept 0 1 0", stage 1 being gone).
 */
static void
test_dies_at_any_moment(void)
{
	for (uint32_t seed = regress_first(1); seed <= regress_last(60); seed++)
		CU_ASSERT_TRUE(goes_on(seed, true));
}

/* any number of times */

#define ROUNDS 4

/* The first two of the order of stage work. */
static void
first_two(struct mrig *r, struct ment *order[2])
{
	order[0] = order[1] = NULL;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct ment *e = &r->e[i];
		uint64_t rank = mh_rendezvous(MH_STAGE_WORK, e->node);

		if (order[0] == NULL ||
		    rank > mh_rendezvous(MH_STAGE_WORK, order[0]->node)) {
			order[1] = order[0];
			order[0] = e;
		} else if (order[1] == NULL ||
		    rank > mh_rendezvous(MH_STAGE_WORK, order[1]->node)) {
			order[1] = e;
		}
	}
}

/* Jobs that wait behind one in a call, where another entry is the home. */
static uint32_t
kept_of(struct mrig *r, struct ent *e, uint32_t jobs)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 8 };
	struct mh_sched *c = mh_scheds_get(e->cs, 0, 1);
	struct mh_job *j[PIECES_MOST];
	uint32_t kept;

	e->stalled = "a";
	e->passes = 0;
	for (uint32_t i = 0; i < jobs; i++) {
		j[i] = world_job(e->w, pools, pieces, 5 * S, 9 * S);
		j[i]->slo_us = mh_now(e->m->k) + 5 * S;
		j[i]->deadline_us = mh_now(e->m->k) + 9 * S;
		mh_sched_submit(c, j[i]);
	}
	mrig_run(r, 360 * MS); /* three looks; the call is not overdue yet */
	kept = c->jobs->len - 1;
	for (uint32_t i = 0; i < jobs; i++) {
		mh_broker_drop(e->b, j[i]);
		mh_job_destroy(j[i]);
	}
	end_calls(c, MH_BATCH_DONE);
	return kept;
}

/*
 * An entry is the home and is not, by turns, with work at some of these times
 * and without at others.  Each time that it is no more it hands on what waits.
 */
static void
test_ceases_any_number_of_times(void)
{
	for (uint32_t seed = regress_first(1); seed <= regress_last(3);
	     seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct mrig *r = mrig_create();
		struct ent all[ENTRIES] = { 0 };
		struct ment *order[2];
		struct ent *first, *second;

		for (uint32_t i = 0; i < ENTRIES; i++)
			ent_create(&all[i], &r->e[i]);
		mrig_run(r, 10 * S);
		first_two(r, order);
		first = &all[order[0]->index];
		second = &all[order[1]->index];
		for (int round = 0; round < ROUNDS; round++) {
			CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[0]);
			CU_ASSERT_EQUAL(
			    kept_of(r, second,
				2 + (uint32_t)g_rand_int_range(rand, 0, 5)),
			    0);
			ent_destroy(first);
			mh_kern_destroy(order[0]->k);
			mrig_start(order[0]);
			ent_create(first, order[0]);
			mrig_run(r, 4 * S);
			CU_ASSERT_PTR_EQUAL(mrig_agreed(r), order[1]);
			if (g_rand_int_range(rand, 0, 2) == 0)
				CU_ASSERT_EQUAL(kept_of(r, second, 3), 2);
			mrig_run(r, 6 * S);
		}
		for (uint32_t i = 0; i < ENTRIES; i++)
			ent_destroy(&all[i]);
		mrig_destroy(r);
		g_rand_free(rand);
	}
}

/* any load */

#define AIM_US (5 * S)
#define DEADLINE_US (9 * S)
#define BETWEEN_US (10 * MS)
#define PLAYED_US (DEADLINE_US + 3 * S)

/** struct load - jobs that one cell takes, and its leaving. */
struct load {
	int jobs;
	double slow; /* times as long as the endpoint says */
	int64_t leaves_us; /* after the first job; -1: it stays */
	bool elsewhere; /* what it hands on goes to another cell */
};

struct next {
	struct world *w;
	struct mh_sched *to;
};

static void
go_on(void *arg, const struct mh_job *j, enum mh_job_end end)
{
	const struct next *n = arg;
	const char *pools[STAGES_MOST + 1] = { NULL };
	uint32_t pieces[STAGES_MOST] = { 0 };
	int64_t now = mh_now(n->w->k);
	struct mh_job *again;

	if (end != MH_JOB_HANDED_OFF)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		pools[s] = j->stages[s].pool;
		pieces[s] = j->stages[s].pieces;
	}
	again = world_job(
	    n->w, pools, pieces, j->slo_us - now, j->deadline_us - now);
	again->handed_off = true;
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_job_set_results(again, s,
		    (char *const *)j->stages[s].results->pdata,
		    j->stages[s].results->len);
	mh_job_drop_unneeded(again);
	mh_sched_submit(n->to, again);
}

static uint32_t
done_of_load(const struct load *l)
{
	static const char *const chain[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 1, 8 };
	struct world *w = world_create();
	struct next n = { w, w->sched };
	uint32_t done;

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	world_node(w, "b-0")->slowdown = l->slow;
	if (l->elsewhere)
		n.to = world_sched(w);
	w->on_end = go_on;
	w->arg = &n;
	for (int64_t t = 0; t <= PLAYED_US; t += BETWEEN_US) {
		if (l->leaves_us == t)
			mh_sched_drain(w->sched);
		if (t < l->jobs * BETWEEN_US)
			mh_sched_submit(w->sched,
			    world_job(w, chain, pieces, AIM_US, DEADLINE_US));
		world_run(w, BETWEEN_US);
	}
	done = w->done;
	world_destroy(w);
	return done;
}

/*
 * Loads of which all or some is taken, a pool that is as fast as it says or
 * slower, and a cell that leaves early or late: as many jobs are done as where
 * it stays.
 */
static void
test_taken_under_any_load(void)
{
	for (int jobs = 8; jobs <= 32; jobs += 6) {
		for (int tenths = 10; tenths <= 16; tenths += 3) {
			struct load l = { jobs, tenths / 10.0, -1, false };
			uint32_t stays = done_of_load(&l);

			for (int64_t t = 300 * MS; t < 5 * S; t += 700 * MS) {
				l.leaves_us = t;
				l.elsewhere = !l.elsewhere;
				CU_ASSERT(done_of_load(&l) >= stays);
			}
		}
	}
}

const struct test tests_handon[] = {
	{ "handon: a home leaves at any moment", test_leaves_at_any_moment },
	{ "handon: a home dies at any moment", test_dies_at_any_moment },
	{ "handon: ceases to be the home, any number of times",
	    test_ceases_any_number_of_times },
	{ "handon: taken under any load", test_taken_under_any_load },
	{ NULL, NULL },
};
