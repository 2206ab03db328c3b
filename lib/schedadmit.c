/**
 * DOC: Admission of new jobs: whether they can be done in time.
 */

#include "schedint.h"

#include <string.h>

/*
 * A job that misses its latency objective is accepted only if the estimate lies
 * within this share of the time to its deadline, since jobs that arrive later
 * may run before it.
 */
#define MISS_TIME_SHARE 0.9
/* The estimate gives these jobs at least this share of a pool's capacity. */
#define MISS_RATE_MIN 0.1
/*
 * Margin between the estimate and the latency objective.  Without it, once a
 * pool is full, all jobs that are accepted at the limit miss their latency
 * objective by a little.
 */
#define ADMIT_MARGIN_US (200 * MH_US_PER_MS)
/* Bounds of a job's margin as a multiple of ADMIT_MARGIN_US. */
#define MARGIN_RATIO_MIN 0.25
#define MARGIN_RATIO_MAX 3.0
/* Weight of one job in its route's mean work. */
#define MEAN_WORK_WEIGHT 0.05
/*
 * Each priority class needs this much more margin than the one before it, so
 * that a full pool refuses less urgent jobs first.  Mean value served, as a
 * share, in thirty simulated runs at high load: 0.667 with this rule and 0.661
 * without.
 */
#define CLASS_MARGIN 0.5
/*
 * A pool whose endpoints are all silent is expected to go on after this, or
 * after half of it if that is later.
 */
#define SILENCE_US (1 * MH_US_PER_S)
#define CLASSES 4 /* higher numbers count as the last class */

/* admission */

/* Pieces of unfinished jobs that run before @key at a pool. */
static double
pieces_before(struct mh_sched *sc, const struct sched_pool *pool, int64_t key)
{
	double n = 0;

	for (guint i = 0; i < sc->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		for (uint32_t s = 0; s < j->n_stages; s++) {
			if (mh_sched_remaining(j, s) > 0 &&
			    j->state->stages[s].pool == pool &&
			    mh_sched_slack_key(j, s) <= key)
				n += mh_sched_remaining(j, s);
		}
	}
	return n;
}

/* How long a pool is expected to be silent yet; 0: it isn't. */
static int64_t
silence_left_us(struct mh_sched *sc, struct sched_pool *pool)
{
	int64_t us = mh_sched_silent_us(sc, pool);

	return us == 0 ? 0 : MAX(SILENCE_US - us, SILENCE_US / 2);
}

/*
 * Estimates when the job would be done if no other arrived: each stage waits
 * for the pieces that run before it at its pool, less those that the pool
 * processes before the stage is ready.  INT64_MAX: a pool has no usable
 * endpoint.
 */
static int64_t
predict_us(struct mh_sched *sc, struct mh_job *j)
{
	int64_t now = mh_now(sc->k), done[MH_GSTAGES] = { 0 }, last = now;

	for (uint32_t n = 0; n < j->n_stages; n++) {
		uint32_t s = j->state->order[n];
		int64_t start = now, wait = 0;
		double rate;

		for (uint32_t a = 0; a < j->n_stages; a++) {
			if ((j->stages[s].after >> a & 1) != 0)
				start = MAX(start, done[a]);
		}
		done[s] = start;
		if (mh_sched_remaining(j, s) == 0)
			continue;
		rate = mh_sched_pool_rate(sc, j->state->stages[s].pool);
		if (rate <= 0)
			return INT64_MAX;
		/* New jobs that meet their objective run before this one. */
		if (j->state->misses_slo)
			rate = MAX(rate -
				mh_sched_arrival_rate(
				    sc, j->state->stages[s].pool),
			    rate * MISS_RATE_MIN);
		wait = (int64_t)(pieces_before(sc, j->state->stages[s].pool,
				     mh_sched_slack_key(j, s)) /
		    rate * (double)MH_US_PER_S);
		wait += silence_left_us(sc, j->state->stages[s].pool);
		wait = MAX(wait - (start - now), 0);
		done[s] = start + wait + mh_sched_stage_us(j, s);
		last = MAX(last, done[s]);
	}
	return last;
}

/* Time until an endpoint of a pool without usable ones may be usable. */
static int64_t
closed_us(struct mh_sched *sc, struct sched_pool *pool)
{
	GPtrArray *nodes = mh_sched_nodes(sc, pool);
	int64_t us = INT64_MAX, now = mh_now(sc->k);

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);
		int64_t at_us = mh_node_next_us(sc->f, n, MH_SENDER_ONE);

		us = MIN(us, MAX(at_us, n->eject_until_us));
	}
	return us == INT64_MAX ? MH_US_PER_S : MAX(us - now, 1);
}

int64_t
mh_sched_backlog_us(struct mh_sched *sc, const char *name)
{
	struct sched_pool *pool = mh_sched_pool_of(sc, name);
	double rate = mh_sched_pool_rate(sc, pool);

	if (rate <= 0)
		return closed_us(sc, pool);
	return (int64_t)(pieces_before(sc, pool, INT64_MAX) / rate *
	    (double)MH_US_PER_S);
}

int64_t
mh_sched_max_backlog_us(struct mh_sched *sc, const struct mh_job *j)
{
	int64_t us = 0;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->stages[s].pieces > 0)
			us =
			    MAX(us, mh_sched_backlog_us(sc, j->stages[s].pool));
	}
	return us;
}

/* Endpoint time that the job uses if its calls are full. */
static double
job_work_us(const struct mh_job *j)
{
	double us = 0;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct mh_gwork *w = j->state->stages[s].pool->work;

		us += mh_sched_remaining(j, s) *
		    ((double)w->call_us / w->batch +
			(double)mh_sched_item_us(j, s));
	}
	return us;
}

/*
 * The margin that a job needs before its latency objective.  A full pool
 * accepts jobs up to this margin.  It is smaller for jobs that are more urgent
 * or have more value for their work than the mean of their route (fewer pieces
 * or a larger answer), so these are accepted where others are refused.
 */
static int64_t
margin_us(struct mh_sched *sc, const struct mh_job *j)
{
	double work = job_work_us(j);
	double *mean = mh_sched_mean_work(sc, j->route, work);
	double ratio = *mean <= 0 ? 1 : work / *mean;

	*mean += MEAN_WORK_WEIGHT * (work - *mean);
	if (j->weight > 0)
		ratio /= j->weight;
	ratio *= 1 + CLASS_MARGIN * MIN(j->priority, CLASSES - 1);
	return (int64_t)(ADMIT_MARGIN_US *
	    CLAMP(ratio, MARGIN_RATIO_MIN, MARGIN_RATIO_MAX));
}

bool
mh_sched_admit(struct mh_sched *sc, struct mh_job *j)
{
	int64_t now = mh_now(sc->k), est_us, rem_us = j->deadline_us - now;
	bool ok;

	est_us = predict_us(sc, j);
	/* The deadline may come before the latency objective. */
	if (est_us <= MIN(j->slo_us - margin_us(sc, j), j->deadline_us))
		ok = true;
	else if (j->handed_off) {
		/*
		 * Another coordinator, or this process before it drained, has
		 * accepted and started it.  Judged as a new job, it would be
		 * refused because of the other jobs that were handed off with
		 * it, and its results would be lost.
		 */
		j->state->misses_slo = est_us > j->slo_us;
		ok = est_us <= j->deadline_us;
	} else {
		j->state->misses_slo = true;
		est_us = predict_us(sc, j);
		ok = est_us != INT64_MAX &&
		    est_us - now <= (int64_t)((double)rem_us * MISS_TIME_SHARE);
	}
	mh_event(sc->k, "job",
	    "id=%s route=%s outcome=%s late=%d returned=%d "
	    "predict_ms=%" PRId64 " aim_ms=%" PRId64 " left_ms=%" PRId64
	    " jobs=%u",
	    j->id, j->route, ok ? "taken" : "refused", j->state->misses_slo,
	    j->refused_before, est_us == INT64_MAX ? -1 : mh_ms(est_us - now),
	    mh_ms(j->slo_us - now), mh_ms(rem_us), sc->jobs->len);
	return ok;
}
