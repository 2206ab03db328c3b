/**
 * DOC: Retries of stage work: each call with a piece that was sent before.
 *
 * A job of another entry comes with what that entry's budget allows; what is
 * left of it goes back with the end of the job.  So the budget of an entry is
 * the same whoever schedules its work.
 */

#include "schedint.h"

/* How long a piece waits for a retry that a job of another entry may bring. */
#define WAIT_US (500 * MH_US_PER_MS)
/*
 * A piece that an endpoint refused waits for a random time up to twice this,
 * and for twice as long after each further refusal: those who find an endpoint
 * full are many.
 */
#define FULL_WAIT_US (50 * MH_US_PER_MS)
#define FULL_WAIT_DOUBLINGS 3
/* Sums of grants differ from whole numbers by less than this. */
#define ROUNDING 1e-6

/* Retries that came with jobs; counts up to @take of them as spent. */
static double
sum_grants(struct mh_sched *sc, const struct sched_pool *p, double take)
{
	double sum = 0;

	for (guint i = 0; i < sc->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		for (uint32_t s = 0; s < j->n_stages; s++) {
			double n = j->stages[s].granted;

			if (n <= 0 || j->state->stages[s].pool != p)
				continue;
			sum += n;
			n = MIN(n, take);
			j->stages[s].granted -= n;
			take -= n;
		}
	}
	return sum;
}

bool
mh_sched_may_resend(struct mh_sched *sc, const struct sched_pool *p)
{
	return mh_budget_allows(sc->budget, p->name) ||
	    sum_grants(sc, p, 0) >= 1 - ROUNDING;
}

bool
mh_sched_take_resend(struct mh_sched *sc, const struct sched_pool *p)
{
	if (sum_grants(sc, p, 0) >= 1 - ROUNDING) {
		(void)sum_grants(sc, p, 1);
		return true;
	}
	return mh_budget_allows(sc->budget, p->name) &&
	    mh_budget_take(sc->budget, p->name);
}

/* A piece of an overdue call may still get its result from that call. */
static bool
has_unpaid_piece(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	const struct stage_state *ss = &j->state->stages[stage];

	if (ss->remaining <= ss->in_flight || !mh_sched_is_ready(j, stage))
		return false;
	for (uint32_t i = 0; i < j->stages[stage].pieces; i++) {
		const struct piece_state *ps = &ss->pieces[i];

		if (ps->needed && !ps->in_flight && ps->resend != RESEND_NONE &&
		    ps->resend != RESEND_OVERDUE)
			return !mh_sched_may_resend(sc, ss->pool);
	}
	return false;
}

bool
mh_sched_is_unpaid(struct mh_sched *sc, struct mh_job *j)
{
	int64_t now = mh_now(sc->k);
	uint32_t s = 0;

	while (s < j->n_stages && !has_unpaid_piece(sc, j, s))
		s++;
	if (s == j->n_stages) {
		j->state->unpaid_us = 0;
		return false;
	}
	if (j->state->unpaid_us == 0) {
		j->state->unpaid_us = now;
		mh_budget_refuse(sc->budget, j->stages[s].pool);
	}
	if (sc->last_grant_us != 0 && now - sc->last_grant_us < WAIT_US &&
	    now - j->state->unpaid_us < WAIT_US)
		return false;
	return mh_budget_wait_us(sc->budget, j->stages[s].pool) >
	    j->deadline_us - now - mh_sched_remaining_us(j);
}

static enum resend
resend_after(enum mh_batch_end end)
{
	switch (end) {
	case MH_BATCH_DONE:
		return RESEND_NOT_RUN;
	case MH_BATCH_FULL:
		return RESEND_FULL;
	case MH_BATCH_LOST:
		break;
	}
	return RESEND_LOST;
}

static int64_t
full_wait_us(struct mh_sched *sc, struct piece_state *ps)
{
	int64_t us = FULL_WAIT_US << MIN(ps->fulls, FULL_WAIT_DOUBLINGS);

	ps->fulls++;
	return us + (int64_t)((double)us * mh_random_unit(sc->k));
}

void
mh_sched_note_resend(
    struct mh_sched *sc, struct piece_state *ps, enum mh_batch_end end)
{
	ps->resend = resend_after(end);
	if (end == MH_BATCH_FULL)
		ps->pause_end_us = mh_now(sc->k) + full_wait_us(sc, ps);
	else
		ps->fulls = 0;
}
