/**
 * DOC: Runs at silent endpoints, which are kept until another run has begun.
 *
 * Silence does not tell a failed endpoint from one that will go on.  So a
 * silent run stays open while another endpoint is looked for, its stage work is
 * done again and the request is sent there.  It ends when the other run begins
 * to answer.  If it answers first itself, or no other run can begin, it is the
 * current run again.
 */

#include "gateint.h"

#include <string.h>

/* Interval at which another endpoint is looked for while none is found. */
#define LOOK_AGAIN_US (300 * MH_US_PER_MS)

bool
mh_gate_is_silent(const struct mh_try *t)
{
	const struct mh_greq *q = t->req;

	for (uint32_t i = 0; i < q->n_silent; i++) {
		if (q->silent[i] == t)
			return true;
	}
	return false;
}

/* Removes it from the silent runs of its request, without ending it. */
static void
take_out(struct mh_try *t)
{
	struct mh_greq *q = t->req;
	uint32_t n = 0;

	for (uint32_t i = 0; i < q->n_silent; i++) {
		if (q->silent[i] != t)
			q->silent[n++] = q->silent[i];
	}
	q->n_silent = n;
}

void
mh_gate_end_silent(struct mh_gate *g, struct mh_try *t, bool abort)
{
	struct mh_greq *q = t->req;

	take_out(t);
	mh_gate_end_try(g, t, abort);
	/* It may not have counted as a run: another one may follow. */
	if (q->cur != NULL && q->silence_timer == NULL)
		mh_gate_watch(g, q);
	/* The limit of a draining process may depend on silent runs. */
	if (q->n_silent == 0 && q->state == MH_GREQ_STAGES)
		mh_gate_set_limit(g, q);
}

void
mh_gate_end_all_silent(struct mh_gate *g, struct mh_greq *q)
{
	while (q->n_silent > 0) {
		struct mh_try *t = q->silent[--q->n_silent];

		mh_event(g->k, "silent-ended",
		    "id=%s node=%s after_ms=%" PRId64 " by=%s", q->id, t->node,
		    mh_ms(mh_now(g->k) - t->sent_us),
		    q->cur == NULL ? "-" : q->cur->node);
		mh_gate_end_try(g, t, true);
	}
}

/* Makes the silent run @t the current one; what was begun beside it ends. */
static void
make_current(struct mh_gate *g, struct mh_try *t)
{
	struct mh_greq *q = t->req;

	take_out(t);
	if (q->cur != NULL) {
		struct mh_try *other = q->cur;

		q->cur = NULL;
		mh_gate_count_run(q, other);
		mh_gate_end_try(g, other, true);
	}
	if (mh_gate_keeps_job(g, q, t))
		mh_gate_wait_stop(g, q);
	else
		mh_gate_stop_search(g, q);
	q->owes_retry = false;
	q->cur = t;
	q->state = q->head_forwarded ? MH_GREQ_ANSWERING : MH_GREQ_TRYING;
	mh_gate_feed_again(g, q);
	mh_gate_set_limit(g, q);
}

void
mh_gate_heard(struct mh_gate *g, struct mh_try *t)
{
	struct mh_greq *q = t->req;

	if (!mh_gate_is_silent(t))
		return;
	mh_event(g->k, "silent-goes-on",
	    "id=%s node=%s after_ms=%" PRId64 " beside=%s", q->id, t->node,
	    mh_ms(mh_now(g->k) - t->sent_us),
	    q->cur == NULL ? "-" : q->cur->node);
	mh_count(g->k, "silent_went_on", 1);
	make_current(g, t);
	mh_gate_end_all_silent(g, q);
	mh_gate_watch(g, q);
}

bool
mh_gate_fall_back(struct mh_gate *g, struct mh_greq *q,
    enum mh_gate_refusal why, int64_t retry_us)
{
	if (q->n_silent == 0 || why == MH_QUARANTINED ||
	    why == MH_RUN_QUARANTINED || mh_now(g->k) >= mh_gate_limit_us(g, q))
		return false;
	make_current(g, q->silent[q->n_silent - 1]);
	mh_event(g->k, "silent-kept", "id=%s node=%s why=%s left_ms=%" PRId64,
	    q->id, q->cur->node, mh_gate_refusal_name(why),
	    mh_ms(mh_gate_limit_us(g, q) - mh_now(g->k)));
	mh_count(g->k, "silent_kept", 1);
	mh_gate_set_silence_timer(g, q, MAX(LOOK_AGAIN_US, retry_us));
	return true;
}

void
mh_gate_on_silence(void *arg)
{
	struct mh_greq *q = arg;
	struct mh_gate *g = q->gate;
	struct mh_try *t = q->cur;
	struct mh_node *n;

	/* While it is asked for its start, the version is not known. */
	if (t == NULL || !mh_gate_may_retry(q))
		return;
	if (t->question != NULL || !mh_gate_has_other(g, q)) {
		mh_gate_set_silence_timer(g, q, LOOK_AGAIN_US);
		return;
	}
	n = mh_fleet_find(g->f, t->node);
	if (n != NULL && !t->was_silent)
		mh_node_silent(g->f, n);
	mh_event(g->k, "silent",
	    "id=%s node=%s waited_ms=%" PRId64 " after=%s held=%zu beside=%u",
	    q->id, t->node, mh_ms(mh_now(g->k) - t->sent_us),
	    mh_gate_stream_after(q), mh_gate_stream_buffered(q), q->n_silent);
	mh_count(g->k, "repeats_silent", 1);
	t->was_silent = true;
	mh_gate_count_run(q, t);
	q->silent[q->n_silent++] = t;
	q->cur = NULL;
	q->owes_retry = true;
	mh_gate_try_next(g, q);
}
