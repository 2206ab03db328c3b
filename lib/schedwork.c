/**
 * DOC: Estimates of pool capacity and of the remaining work of jobs.
 */

#include "schedint.h"

#include <math.h>
#include <string.h>

/* A priority class runs before the next unless its slack is this much more. */
#define CLASS_LEAD_US (100 * MH_US_PER_MS)
/* Time constant of the average of admitted work. */
#define ARRIVAL_WINDOW_US (2 * MH_US_PER_S)
/*
 * A job counts as missing its latency objective only if the estimate exceeds
 * the objective by more than this, since estimates have errors.
 */
#define SLO_SLACK_US (100 * MH_US_PER_MS)
/* Endpoints that are silent for longer are taken to be as slow as they seem. */
#define SILENCE_MAX_US (2 * MH_US_PER_S)

uint32_t
mh_sched_readers(const struct mh_job *j, uint32_t stage)
{
	uint32_t n = 0;

	for (uint32_t s = 0; s < j->n_stages; s++)
		n += (j->stages[s].after >> stage & 1) != 0 &&
		    j->stages[s].pieces > 0;
	return n;
}

/* pool capacity */

const struct mh_gwork *
mh_sched_work_conf(const struct mh_sched *sc, const char *pool)
{
	static const struct mh_gwork none = { .batch = 1, .max_calls = 1 };
	const struct mh_gpool *p =
	    sc->conf == NULL ? NULL : mh_gconf_pool(sc->conf, pool);

	return p == NULL || !p->is_work ? &none : &p->work;
}

struct sched_pool *
mh_sched_pool_of(struct mh_sched *sc, const char *name)
{
	struct sched_pool *p = g_hash_table_lookup(sc->pools, name);

	if (p == NULL) {
		p = g_new0(struct sched_pool, 1);
		p->name = g_strdup(name);
		p->work = mh_sched_work_conf(sc, name);
		p->workers = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(sc->pools, p->name, p);
	}
	return p;
}

struct worker *
mh_sched_worker_of(struct sched_pool *p, const char *node)
{
	struct worker *w = g_hash_table_lookup(p->workers, node);

	if (w == NULL) {
		w = g_new0(struct worker, 1);
		w->slowdown = w->answered_slowdown = 1;
		g_hash_table_insert(p->workers, g_strdup(node), w);
	}
	return w;
}

double *
mh_sched_item_factor(struct mh_sched *sc, const char *route, uint32_t stage)
{
	char *key = g_strdup_printf("%s/%u", route, stage);
	double *f = g_hash_table_lookup(sc->factors, key);

	if (f != NULL) {
		g_free(key);
		return f;
	}
	f = g_new(double, 1);
	*f = 1;
	g_hash_table_insert(sc->factors, key, f);
	return f;
}

double *
mh_sched_mean_work(struct mh_sched *sc, const char *route, double first)
{
	double *mean = g_hash_table_lookup(sc->mean_work, route);

	if (mean == NULL) {
		mean = g_new(double, 1);
		*mean = first;
		g_hash_table_insert(sc->mean_work, g_strdup(route), mean);
	}
	return mean;
}

int64_t
mh_sched_item_us(const struct mh_job *j, uint32_t stage)
{
	const struct stage_state *ss = &j->state->stages[stage];

	return (int64_t)((double)ss->pool->work->item_us * *ss->cost_factor);
}

GPtrArray *
mh_sched_nodes(struct mh_sched *sc, struct sched_pool *p)
{
	uint64_t version = mh_fleet_version(sc->f);
	GPtrArray *all;

	if (p->nodes != NULL && p->nodes_version == version)
		return p->nodes;
	if (p->nodes == NULL)
		p->nodes = g_ptr_array_new();
	g_ptr_array_set_size(p->nodes, 0);
	all = mh_fleet_pool(sc->f, p->name);
	for (guint i = 0; all != NULL && i < all->len; i++) {
		struct mh_node *n = g_ptr_array_index(all, i);

		if (mh_fleet_slice(sc->f, n, sc->slices) == sc->slice)
			g_ptr_array_add(p->nodes, n);
	}
	p->nodes_version = version;
	return p->nodes;
}

int64_t
mh_sched_silent_us(struct mh_sched *sc, struct sched_pool *p)
{
	GPtrArray *nodes = mh_sched_nodes(sc, p);
	int64_t least = INT64_MAX, now = mh_now(sc->k);

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);
		const struct worker *w = mh_sched_worker_of(p, n->id);

		if (!mh_node_usable(sc->f, n))
			continue;
		if (w->overdue == 0 || now - w->overdue_us > SILENCE_MAX_US)
			return 0;
		least = MIN(least, MAX(now - w->overdue_us, 1));
	}
	return least == INT64_MAX ? 0 : least;
}

double
mh_sched_pool_rate(struct mh_sched *sc, struct sched_pool *p)
{
	GPtrArray *nodes = mh_sched_nodes(sc, p);
	const struct mh_gwork *w = p->work;
	bool silent = mh_sched_silent_us(sc, p) > 0;
	double full_us = (double)w->call_us + (double)w->item_us * w->batch;
	double rate = 0;

	for (guint i = 0; i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);
		const struct worker *o = mh_sched_worker_of(p, n->id);
		int64_t us = mh_node_interval_us(sc->f, n, MH_SENDER_ONE);
		double each;

		if (!mh_node_usable(sc->f, n))
			continue;
		each = w->batch * w->max_calls /
		    (full_us * (silent ? o->answered_slowdown : o->slowdown));
		if (us > 0)
			each = MIN(each, w->batch / (double)us);
		rate += each;
	}
	return rate * (double)MH_US_PER_S;
}

uint32_t
mh_sched_remaining(const struct mh_job *j, uint32_t stage)
{
	return j->state->stages[stage].remaining;
}

double
mh_sched_arrival_rate(struct mh_sched *sc, struct sched_pool *p)
{
	double age = (double)(mh_now(sc->k) - p->arrivals_us) /
	    (double)ARRIVAL_WINDOW_US;

	p->arrivals *= exp(-age);
	p->arrivals_us = mh_now(sc->k);
	return p->arrivals * (double)MH_US_PER_S / (double)ARRIVAL_WINDOW_US;
}

void
mh_sched_note_arrival(struct mh_sched *sc, const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct sched_pool *p = j->state->stages[s].pool;

		(void)mh_sched_arrival_rate(sc, p);
		p->arrivals += mh_sched_remaining(j, s);
	}
}

bool
mh_sched_is_ready(const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((j->stages[stage].after >> s & 1) != 0 &&
		    mh_sched_remaining(j, s) > 0)
			return false;
	}
	return true;
}

/* Assumes that other jobs' pieces fill the call at least by half. */
int64_t
mh_sched_stage_us(const struct mh_job *j, uint32_t stage)
{
	const struct mh_gwork *w = j->state->stages[stage].pool->work;
	uint32_t n = MAX(mh_sched_remaining(j, stage), w->batch / 2);

	return w->call_us +
	    (int64_t)MIN(n, w->batch) * mh_sched_item_us(j, stage);
}

/*
 * Computes for each stage the longest path of remaining work from it to the end
 * of the job, itself included.  Every scheduling decision uses these, so they
 * are cached until the remaining work changes.
 */
static void
refresh(struct mh_job *j)
{
	j->state->paths_stale = false;
	j->state->longest_path_us = 0;
	for (uint32_t n = j->n_stages; n-- > 0;) {
		uint32_t s = j->state->order[n];
		struct stage_state *ss = &j->state->stages[s];
		int64_t longest = 0;

		for (uint32_t t = 0; t < j->n_stages; t++) {
			if ((j->stages[t].after >> s & 1) != 0)
				longest =
				    MAX(longest, j->state->stages[t].path_us);
		}
		ss->path_us = longest;
		if (ss->remaining == 0)
			continue;
		ss->path_us += mh_sched_stage_us(j, s);
		j->state->longest_path_us =
		    MAX(j->state->longest_path_us, ss->path_us);
	}
}

int64_t
mh_sched_path_us(struct mh_job *j, uint32_t stage)
{
	if (j->state->paths_stale)
		refresh(j);
	return j->state->stages[stage].path_us;
}

int64_t
mh_sched_remaining_us(struct mh_job *j)
{
	if (j->state->paths_stale)
		refresh(j);
	return j->state->longest_path_us;
}

bool
mh_sched_misses_slo(struct mh_sched *sc, struct mh_job *j)
{
	return mh_now(sc->k) + mh_sched_remaining_us(j) >
	    j->slo_us + SLO_SLACK_US;
}

int64_t
mh_sched_slack_key(struct mh_job *j, uint32_t stage)
{
	int64_t key = j->slo_us - mh_sched_path_us(j, stage) +
	    (int64_t)j->priority * CLASS_LEAD_US;

	/* Of the jobs that miss their objective, started ones run first. */
	if (j->state->misses_slo)
		key += j->state->started ? SLO_MISS_PENALTY_US / 2
					 : SLO_MISS_PENALTY_US;
	return key;
}
