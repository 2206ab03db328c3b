/**
 * DOC: Simulates one load with one policy in virtual time.
 */

#include "marlwork.h"

#include <math.h>
#include <string.h>

#define STEP_US (1 * MH_US_PER_MS) /* of the simulation */
#define SETTLE_US (30 * MH_US_PER_S) /* lets the last jobs end */

static struct second *
second_of(const struct run *r, const struct mh_job *j)
{
	int64_t s = (j->arrived_us - r->start_us) / MH_US_PER_S;

	return &r->seconds[MIN((uint32_t)s, r->n_seconds - 1)];
}

static void
on_end(void *arg, const struct mh_job *j, enum mh_job_end end)
{
	struct run *r = arg;
	struct tally *t = j->submitter;
	struct second *s = second_of(r, j);
	int64_t now = mh_now(r->w->k);

	switch (end) {
	case MH_JOB_DONE:
		t->done++;
		s->done++;
		t->on_time += now <= j->slo_us;
		s->on_time += now <= j->slo_us;
		mh_hist_add(t->waits, now - j->arrived_us);
		break;
	case MH_JOB_REFUSED:
		t->refused++;
		s->refused++;
		break;
	case MH_JOB_FAILED:
	case MH_JOB_QUARANTINED:
	case MH_JOB_HANDED_OFF:
		break;
	}
}

/*
 * Returns the scheduler for a new job: that of a random entry, or that of a
 * slice, chosen with its weight.
 */
static struct mh_sched *
choose_sched(struct run *r)
{
	uint32_t all[MH_SLICES], n;

	if (r->scheds == NULL)
		return r->entry_scheds[g_rand_int(r->choice_rand) % r->entries];
	n = mh_scheds_count(r->scheds);
	for (uint32_t i = 0; i < n; i++)
		all[i] = i;
	return mh_scheds_get(r->scheds,
	    mh_scheds_pick(r->scheds, all, n, g_rand_double(r->choice_rand)),
	    n);
}

static void
arrive(struct run *r, guint kind)
{
	const struct wkind *k = g_ptr_array_index(r->l->kinds, kind);
	const char *pools[MH_GSTAGES + 1] = { NULL };
	uint32_t pieces[MH_GSTAGES];
	struct mh_job *j;

	for (guint i = 0; i < k->stages->len; i++) {
		const struct wstage *s = g_ptr_array_index(k->stages, i);

		pools[i] = s->pool;
		pieces[i] = s->pieces;
	}
	j = world_job(r->w, pools, pieces, k->slo_us, k->deadline_us);
	g_free(j->route);
	j->route = g_strdup(k->name);
	j->submitter = &r->tallies[kind];
	r->tallies[kind].arrived++;
	second_of(r, j)->arrived++;
	mh_sched_submit(choose_sched(r), j);
}

static double
burst_factor(const struct wload *l, double t)
{
	double times = 1;

	for (guint i = 0; l->bursts != NULL && i < l->bursts->len; i++) {
		const struct wburst *b = g_ptr_array_index(l->bursts, i);

		if (t >= b->from_s && t < b->to_s)
			times *= b->times;
	}
	return times;
}

static void
set_answer_loss(struct run *r, double t)
{
	for (guint i = 0; r->l->losses != NULL && i < r->l->losses->len; i++) {
		const struct wloss *s = g_ptr_array_index(r->l->losses, i);
		bool lost = t >= s->from_s && t < s->to_s;
		char id[16];

		for (uint32_t e = 0; e < s->endpoints; e++) {
			struct wnode *n;

			g_snprintf(id, sizeof(id), "%s-%u", s->pool, e);
			n = world_node(r->w, id);
			if (n != NULL)
				n->loses_answers = lost;
		}
	}
}

/* Draws the number of Poisson arrivals in a step, with mean @mean. */
static uint32_t
draw(GRand *g, double mean)
{
	double p = exp(-mean), u = g_rand_double(g), sum = p;
	uint32_t n = 0;

	while (u > sum && n < 1000) {
		n++;
		p *= mean / n;
		sum += p;
	}
	return n;
}

static void
prepare(struct run *r)
{
	r->entries = r->a->entries > 0 ? r->a->entries : r->l->entries;
	r->scale = (double)r->entries / r->l->entries;
	r->arrival_rand = g_rand_new_with_seed(r->a->seed);
	r->choice_rand = g_rand_new_with_seed(r->a->seed + 1);
	r->n_seconds = (uint32_t)ceil(r->l->seconds);
	r->seconds = g_new0(struct second, r->n_seconds);
	r->tallies = g_new0(struct tally, r->l->kinds->len);
	for (guint i = 0; i < r->l->kinds->len; i++)
		r->tallies[i].waits = mh_hist_create();
	r->w = world_create();
	r->w->on_end = on_end;
	r->w->arg = r;
	for (guint i = 0; i < r->l->pools->len; i++) {
		const struct wpool *p = g_ptr_array_index(r->l->pools, i);
		double n = MIN(round((double)p->endpoints * r->scale),
		    (double)WORLD_NODES / r->l->pools->len);

		world_pool(r->w, p->name, MAX((uint32_t)n, 1), p->batch,
		    p->call_us, p->item_us, UINT64_MAX);
	}
	for (uint32_t i = 0; i < r->w->n_nodes; i++)
		r->w->nodes[i].max_calls =
		    load_pool(r->l, r->w->nodes[i].pool)->calls;
	if (strcmp(r->a->policy, "home") == 0)
		r->scheds = world_scheds(r->w);
	for (uint32_t i = 0; r->scheds == NULL && i < r->entries; i++)
		r->entry_scheds[i] = world_sched(r->w);
	r->start_us = mh_now(r->w->k);
}

struct run *
run_load(const struct wload *l, const struct run_args *a)
{
	struct run *r = g_new0(struct run, 1);

	r->a = a;
	r->l = l;
	prepare(r);
	for (int64_t at = 0; at < (int64_t)(r->l->seconds * MH_US_PER_S);
	     at += STEP_US) {
		double t = (double)at / MH_US_PER_S;
		double times = burst_factor(r->l, t) * r->scale;

		set_answer_loss(r, t);
		for (guint i = 0; i < r->l->kinds->len; i++) {
			const struct wkind *k =
			    g_ptr_array_index(r->l->kinds, i);
			uint32_t n = draw(r->arrival_rand,
			    k->per_second * times * STEP_US / MH_US_PER_S);

			while (n-- > 0)
				arrive(r, i);
		}
		world_run(r->w, STEP_US);
	}
	world_run(r->w, SETTLE_US);
	return r;
}

double
run_busy_ms(const struct run *r)
{
	double busy_us = 0;

	for (uint32_t i = 0; i < r->w->n_nodes; i++) {
		const struct wnode *n = &r->w->nodes[i];
		const struct wpool *p = load_pool(r->l, n->pool);

		busy_us += (double)p->call_us * n->calls +
		    (double)p->item_us * n->pieces;
	}
	return busy_us / MH_US_PER_MS;
}

void
run_destroy(struct run *r)
{
	world_destroy(r->w);
	for (guint i = 0; i < r->l->kinds->len; i++)
		mh_hist_destroy(r->tallies[i].waits);
	g_free(r->tallies);
	g_free(r->seconds);
	g_rand_free(r->arrival_rand);
	g_rand_free(r->choice_rand);
	g_free(r);
}
