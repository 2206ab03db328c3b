/**
 * DOC: Whether new work can be done in time.
 */

#include "cell.h"

#include <string.h>

/*
 * A job that would be late is taken only if the estimate lies within this
 * share of its time left: work that comes later may pass it.
 */
#define LATE_SHARE 0.9
/* Late work gets at least this part of a pool, in the estimate. */
#define LATE_RATE_LEAST 0.1
/*
 * Work taken on time must end on time: what is taken to the last moment ends
 * a little late, all of it, once a pool is full.
 */
#define ADMIT_MARGIN_US (200 * MH_US_PER_MS)
/* Bounds of a job's work over its worth, each against the mean. */
#define RATIO_LEAST 0.25
#define RATIO_MOST 3.0
#define WORK_WEIGHT 0.05
/*
 * Each class needs so much more margin than the one before it, so that a full
 * pool turns away what can wait before what is urgent (mean worth of thirty
 * loaded days 0.661 before, 0.667 after).
 */
#define CLASS_MARGIN 0.5
#define CLASSES 4 /* beyond these all are alike */

/* admission */

/* Pieces of live jobs that go before @key at a pool. */
static double
pieces_before(struct mh_cell *c, const struct cpool *pool, int64_t key)
{
	double n = 0;

	for (guint i = 0; i < c->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		for (uint32_t s = 0; s < j->n_stages; s++) {
			if (mh_cell_todo(j, s) > 0 &&
			    j->state->stages[s].pool == pool &&
			    mh_cell_slack_key(j, s) <= key)
				n += mh_cell_todo(j, s);
		}
	}
	return n;
}

/*
 * When the job would be done if nothing more came: each stage waits for what
 * goes before it at its pool, less what is worked off until it is ready.
 */
static int64_t
predict_us(struct mh_cell *c, struct mh_job *j)
{
	int64_t now = mh_now(c->k), done[MH_GSTAGES], last = now;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		int64_t start = now, wait = 0;
		double rate;

		for (uint32_t a = 0; a < s; a++) {
			if ((j->stages[s].after >> a & 1) != 0)
				start = MAX(start, done[a]);
		}
		done[s] = start;
		if (mh_cell_todo(j, s) == 0)
			continue;
		rate = mh_cell_pool_rate(c, j->state->stages[s].pool);
		if (rate <= 0)
			return INT64_MAX;
		/* What comes on time meanwhile passes work that is late. */
		if (j->state->late)
			rate = MAX(rate -
				mh_cell_fresh_rate(c, j->state->stages[s].pool),
			    rate * LATE_RATE_LEAST);
		wait = (int64_t)(pieces_before(c, j->state->stages[s].pool,
				     mh_cell_slack_key(j, s)) /
		    rate * (double)MH_US_PER_S);
		wait = MAX(wait - (start - now), 0);
		done[s] = start + wait + mh_cell_stage_us(j, s);
		last = MAX(last, done[s]);
	}
	return last;
}

int64_t
mh_cell_backlog_us(struct mh_cell *c, const char *name)
{
	struct cpool *pool = mh_cell_pool_of(c, name);
	double rate = mh_cell_pool_rate(c, pool);

	if (rate <= 0)
		return MH_US_PER_S;
	return (int64_t)(pieces_before(c, pool, INT64_MAX) / rate *
	    (double)MH_US_PER_S);
}

/* When the work that is queued will have been worked off. */
int64_t
mh_cell_room_in_us(struct mh_cell *c, const struct mh_job *j)
{
	int64_t us = 0;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->stages[s].pieces > 0)
			us = MAX(us, mh_cell_backlog_us(c, j->stages[s].pool));
	}
	return us;
}

/* Time that the job takes of its pools, with full calls. */
static double
work_of_job(const struct mh_job *j)
{
	double us = 0;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct mh_gwork *w = j->state->stages[s].pool->work;

		us += mh_cell_todo(j, s) *
		    ((double)w->call_us / w->batch +
			(double)mh_cell_item_us(j, s));
	}
	return us;
}

/*
 * The margin before the aim that a job needs.  When a pool is full, work is
 * taken up to this margin, so what is more urgent, or brings more for its
 * work, gets in where the rest is refused: fewer pieces, or a larger answer,
 * than its route's mean.
 */
static int64_t
margin_us(struct mh_cell *c, const struct mh_job *j)
{
	double work = work_of_job(j);
	double *mean = mh_cell_mean_work(c, j->route, work);
	double ratio = *mean <= 0 ? 1 : work / *mean;

	*mean += WORK_WEIGHT * (work - *mean);
	if (j->weight > 0)
		ratio /= j->weight;
	ratio *= 1 + CLASS_MARGIN * MIN(j->priority, CLASSES - 1);
	return (
	    int64_t)(ADMIT_MARGIN_US * CLAMP(ratio, RATIO_LEAST, RATIO_MOST));
}

bool
mh_cell_admit(struct mh_cell *c, struct mh_job *j)
{
	int64_t now = mh_now(c->k), at, left = j->deadline_us - now;
	bool ok;

	at = predict_us(c, j);
	/* Whoever asks may end before its caller's aim. */
	if (at <= MIN(j->aim_us - margin_us(c, j), j->deadline_us))
		ok = true;
	else if (j->moved) {
		/*
		 * Another home, or this one before it left, has taken it and
		 * begun: judged as if it were new, it was refused behind the
		 * others that moved with it, and what was made thrown away.
		 */
		j->state->late = at > j->aim_us;
		ok = at <= j->deadline_us;
	} else {
		j->state->late = true;
		at = predict_us(c, j);
		ok = at != INT64_MAX &&
		    at - now <= (int64_t)((double)left * LATE_SHARE);
	}
	mh_event(c->k, "job",
	    "id=%s route=%s outcome=%s late=%d returned=%d "
	    "predict_ms=%" PRId64 " aim_ms=%" PRId64 " left_ms=%" PRId64
	    " jobs=%u",
	    j->id, j->route, ok ? "taken" : "refused", j->state->late,
	    j->returned, at == INT64_MAX ? -1 : mh_ms(at - now),
	    mh_ms(j->aim_us - now), mh_ms(left), c->jobs->len);
	return ok;
}
