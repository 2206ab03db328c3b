/**
 * DOC: Handoff of begun stage work between coordinators, at random moments and
 * under varied loads.
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
/*
 * By then an endpoint has not yet read the inputs of a call, or has for
 * certain.
 */
#define UNREAD_US (20 * MS)
#define READ_US (100 * MS)

static const char *const names[] = { "a", "b" };

/** struct handoff - one job of an entry, begun at the coordinator. */
struct handoff {
	GRand *rand;
	struct mrig *r;
	struct ent all[ENTRIES];
	struct ent *requester;
	struct ent *coordinator;
	struct mh_sched *cell; /* of the coordinator */
	bool has_links; /* the coordinator knows which stages read which */
	bool any_order; /* stages may be listed before those that they read */
	struct mh_job *sent; /* at the requester */
	struct mh_job *remote; /* at the coordinator; NULL: it has ended */
};

/* A random number below @most. */
static uint32_t
pick(struct handoff *h, uint32_t most)
{
	return (uint32_t)g_rand_int_range(h->rand, 0, (gint32)most);
}

/* Numbers the stages of a job anew, in any order. */
static void
shuffle(struct handoff *h, struct mh_job *j)
{
	struct mh_job_stage was[STAGES_MOST];
	uint32_t number[STAGES_MOST];

	memcpy(was, j->stages, sizeof(was));
	for (uint32_t s = 0; s < j->n_stages; s++) {
		uint32_t o = pick(h, s + 1);

		number[s] = number[o];
		number[o] = s;
	}
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_job_stage *st = &j->stages[number[s]];

		*st = was[s];
		st->after = 0;
		for (uint32_t a = 0; a < j->n_stages; a++)
			st->after |= (was[s].after >> a & 1) << number[a];
	}
}

/* A chain whose stages read the previous one and maybe earlier ones. */
static struct mh_job *
random_job(struct handoff *h)
{
	const char *pools[STAGES_MOST + 1] = { NULL };
	uint32_t pieces[STAGES_MOST] = { 0 }, n = 2 + pick(h, STAGES_MOST - 1);
	struct mh_job *j;

	for (uint32_t s = 0; s < n; s++) {
		pools[s] = names[pick(h, 2)];
		pieces[s] = 1 + pick(h, PIECES_MOST);
	}
	j = world_job(h->requester->w, pools, pieces, 5 * S, 9 * S);
	j->slo_us = mh_now(h->requester->m->k) + 5 * S;
	j->deadline_us = mh_now(h->requester->m->k) + 9 * S;
	for (uint32_t s = 1; s < n; s++)
		j->stages[s].after = 1U << (s - 1) | pick(h, 1U << s);
	if (h->any_order)
		shuffle(h, j);
	return j;
}

/* The next calls of one pool don't end, after some that do. */
static void
stall(struct handoff *h)
{
	h->coordinator->stalled = names[pick(h, 2)];
	h->coordinator->calls_to_end = pick(h, CALLS_MOST);
}

static struct handoff *
handoff_create(uint32_t seed, bool any_order)
{
	struct handoff *h = g_new0(struct handoff, 1);
	struct ment *coordinator;

	h->any_order = any_order;
	h->rand = g_rand_new_with_seed(seed);
	h->r = mrig_create();
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&h->all[i], &h->r->e[i]);
	mrig_run(h->r, 2 * S);
	coordinator = mrig_agreed(h->r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	h->coordinator = &h->all[coordinator->index];
	h->requester = &h->all[coordinator->index == 0];
	h->sent = random_job(h);
	stall(h);
	mh_broker_submit(h->requester->b, h->sent);
	mrig_run(h->r, UNREAD_US);
	h->cell = mh_scheds_get(h->coordinator->cs, 0, 1);
	if (h->cell->jobs->len > 0)
		h->remote = g_ptr_array_index(h->cell->jobs, 0);
	h->has_links = true;
	for (uint32_t s = 0; h->remote != NULL && s < h->sent->n_stages; s++)
		h->has_links = h->has_links &&
		    h->remote->stages[s].after == h->sent->stages[s].after;
	return h;
}

static void
handoff_destroy(struct handoff *h)
{
	mh_broker_drop(h->requester->b, h->sent);
	mh_job_destroy(h->sent);
	mrig_run(h->r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&h->all[i]);
	mrig_destroy(h->r);
	g_rand_free(h->rand);
	g_free(h);
}

/* Sets results for all pieces of the open calls. */
static void
set_results(struct handoff *h)
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

/* Ends the open calls with some of their inputs lost. */
static void
lose_inputs(struct handoff *h)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, h->cell->batches);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_batch *b = value;

		for (guint i = 0; i < b->items->len; i++) {
			struct mh_batch_item *m =
			    &g_array_index(b->items, struct mh_batch_item, i);

			m->inputs_lost = m->job->stages[m->stage].after != 0 &&
			    pick(h, 2) == 0;
		}
	}
	stall(h);
	end_calls(h->cell, MH_BATCH_DONE);
	mrig_run(h->r, UNREAD_US);
	if (h->cell->jobs->len == 0)
		h->remote = NULL;
}

/*
 * Pieces that are not computed. Those in a call count only if @in_calls is set.
 */
static uint32_t
missing_pieces(const struct mh_job *j, bool in_calls)
{
	uint32_t n = 0;

	for (uint32_t s = 0; s < j->n_stages; s++)
		n += j->state->stages[s].remaining -
		    (in_calls ? 0 : j->state->stages[s].in_flight);
	return n;
}

/* Pieces of incomplete stages, whose results are not reported. */
static uint32_t
unreported_pieces(const struct mh_job *j)
{
	uint32_t n = 0;

	for (uint32_t s = 0; s < j->n_stages; s++)
		n +=
		    j->state->stages[s].remaining > 0 ? j->stages[s].pieces : 0;
	return n;
}

/*
 * Drains the coordinator; its calls are refused, or end after their inputs have
 * been read. Returns the number of pieces to compute elsewhere.
 */
static uint32_t
drain(struct handoff *h)
{
	bool read = pick(h, 2) == 0;
	uint32_t due = h->remote == NULL ? 0 : missing_pieces(h->remote, !read);

	mh_mesh_drain(h->coordinator->m->m);
	mh_scheds_drain(h->coordinator->cs);
	if (read) {
		mrig_run(h->r, READ_US);
		set_results(h);
	}
	end_calls(h->cell, read ? MH_BATCH_DONE : MH_BATCH_FULL);
	return due;
}

/* The same if the coordinator dies. */
static uint32_t
die(struct handoff *h)
{
	h->coordinator->m->cut = true;
	return h->remote == NULL ? 0 : unreported_pieces(h->remote);
}

static uint32_t
computed_elsewhere(const struct handoff *h)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&h->all[i] != h->coordinator)
			n += h->all[i].pieces;
	}
	return n;
}

/* Whether the next coordinator computes just what the first one has not. */
static bool
continues(uint32_t seed, bool dies, bool any_order)
{
	struct handoff *h = handoff_create(seed, any_order);
	uint32_t due, computed;
	bool good;

	for (uint32_t i = pick(h, 4); i > 0 && h->remote != NULL; i--)
		lose_inputs(h);
	due = dies ? die(h) : drain(h);
	mrig_run(h->r, 2 * S);
	computed = computed_elsewhere(h);
	good = computed == due && h->requester->done == 1 &&
	    h->r->empty_results == 0 && h->has_links;
	for (uint32_t i = 0; i < ENTRIES; i++)
		good = good && h->all[i].w->without_inputs == 0;
	if (!good)
		fprintf(stderr,
		    "seed %u: %u pieces computed elsewhere, %u expected\n",
		    seed, computed, due);
	handoff_destroy(h);
	return good;
}

/*
 * A coordinator drains with any part of a job computed, and some of it again
 * since its results were lost. At every moment no computed piece may be
 * computed once more, and none may be left out.
 */
static void
test_drain_at_any_moment(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(60); seed++)
		CU_ASSERT_TRUE(continues(seed, false, false));
}

/*
 * A coordinator dies in the same states. The requester has the results of its
 * complete stages. A stage whose results were found lost stayed computed at the
 * requester, since only complete stages were reported: on the results of that
 * stage's inputs it discarded these, and sent the next coordinator results that
 * didn't exist. After the report of stage 0 it had stages "1 1 0" as computed
 * and kept the results of stages "0 1 0", with those of stage 1 lost.
 */
static void
test_crash_at_any_moment(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(60); seed++)
		CU_ASSERT_TRUE(continues(seed, true, false));
}

/* Guards against stages that run before those that they read. */
static void
test_stages_in_any_order(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(60); seed++) {
		CU_ASSERT_TRUE(continues(seed, false, true));
		CU_ASSERT_TRUE(continues(seed, true, true));
	}
}

/* repeated loss of the role */

#define ROUNDS 4

/* Sets @order to the first two of the order of stage work. */
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

/*
 * Submits jobs to an entry that is not the coordinator. Returns how many it
 * keeps besides the one in a call.
 */
static uint32_t
kept_of(struct mrig *r, struct ent *e, uint32_t jobs)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 8 };
	struct mh_sched *c = mh_scheds_get(e->cs, 0, 1);
	struct mh_job *j[PIECES_MOST];
	uint32_t kept;

	e->stalled = "a";
	e->calls_to_end = 0;
	for (uint32_t i = 0; i < jobs; i++) {
		j[i] = world_job(e->w, pools, pieces, 5 * S, 9 * S);
		j[i]->slo_us = mh_now(e->m->k) + 5 * S;
		j[i]->deadline_us = mh_now(e->m->k) + 9 * S;
		mh_sched_submit(c, j[i]);
	}
	mrig_run(r, 360 * MS); /* three checks; the call isn't overdue yet */
	kept = c->jobs->len - 1;
	for (uint32_t i = 0; i < jobs; i++) {
		mh_broker_drop(e->b, j[i]);
		mh_job_destroy(j[i]);
	}
	end_calls(c, MH_BATCH_DONE);
	return kept;
}

/*
 * An entry gains and loses the coordinator role repeatedly, with work at some
 * of these times and without at others. Each time that it loses the role it
 * must hand off what waits.
 */
static void
test_role_lost_repeatedly(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(3); seed++) {
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

/* load */

#define SLO_US (5 * S)
#define DEADLINE_US (9 * S)
#define SUBMIT_INTERVAL_US (10 * MS)
#define RUN_US (DEADLINE_US + 3 * S)

/** struct load - jobs that one stage scheduler is given, and when it drains. */
struct load {
	int jobs;
	double slow; /* factor of the run time over the endpoint's estimate */
	int64_t drain_us; /* after the first job; -1: never */
	bool elsewhere; /* handed off jobs go to another stage scheduler */
};

struct handoff_target {
	struct world *w;
	struct mh_sched *to;
};

static void
resubmit(void *arg, const struct mh_job *j, enum mh_job_end end)
{
	const struct handoff_target *n = arg;
	const char *pools[STAGES_MOST + 1] = { NULL };
	uint32_t pieces[STAGES_MOST] = { 0 };
	int64_t now = mh_now(n->w->k);
	struct mh_job *resubmitted;

	if (end != MH_JOB_HANDED_OFF)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		pools[s] = j->stages[s].pool;
		pieces[s] = j->stages[s].pieces;
	}
	resubmitted = world_job(
	    n->w, pools, pieces, j->slo_us - now, j->deadline_us - now);
	resubmitted->handed_off = true;
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_job_set_results(resubmitted, s,
		    (char *const *)j->stages[s].results->pdata,
		    j->stages[s].results->len);
	mh_job_drop_unneeded(resubmitted);
	mh_sched_submit(n->to, resubmitted);
}

static uint32_t
done_of_load(const struct load *l)
{
	static const char *const chain[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 1, 8 };
	struct world *w = world_create();
	struct handoff_target n = { w, w->sched };
	uint32_t done;

	world_pool(w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	world_node(w, "b-0")->slowdown = l->slow;
	if (l->elsewhere)
		n.to = world_sched(w);
	w->on_end = resubmit;
	w->arg = &n;
	for (int64_t t = 0; t <= RUN_US; t += SUBMIT_INTERVAL_US) {
		if (l->drain_us == t)
			mh_sched_drain(w->sched);
		if (t < l->jobs * SUBMIT_INTERVAL_US)
			mh_sched_submit(w->sched,
			    world_job(w, chain, pieces, SLO_US, DEADLINE_US));
		world_run(w, SUBMIT_INTERVAL_US);
	}
	done = w->done;
	world_destroy(w);
	return done;
}

/*
 * A load of which all or part is admitted, a pool as fast as estimated or
 * slower, and a stage scheduler that drains early or late: at least as many
 * jobs must be done as without the drain.
 */
static void
test_drain_under_load(void)
{
	for (int jobs = 8; jobs <= 32; jobs += 6) {
		for (int tenths = 10; tenths <= 16; tenths += 3) {
			struct load l = { jobs, tenths / 10.0, -1, false };
			uint32_t stays = done_of_load(&l);

			for (int64_t t = 300 * MS; t < 5 * S; t += 700 * MS) {
				l.drain_us = t;
				l.elsewhere = !l.elsewhere;
				CU_ASSERT(done_of_load(&l) >= stays);
			}
		}
	}
}

const struct test tests_handoff[] = {
	{ "handoff: a coordinator drains at any moment",
	    test_drain_at_any_moment },
	{ "handoff: a coordinator dies at any moment",
	    test_crash_at_any_moment },
	{ "handoff: stages in any order", test_stages_in_any_order },
	{ "handoff: role lost repeatedly", test_role_lost_repeatedly },
	{ "handoff: drain under load", test_drain_under_load },
	{ NULL, NULL },
};
