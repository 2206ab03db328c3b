/**
 * DOC: How long a request may be here: its caller's time, and this entry's.
 */

#include "entry.h"

/*
 * Between the last answer and the kill: the answers' bytes leave, which with
 * two losses in a row takes 600 ms (Linux repeats after 200 ms, then 400 ms),
 * and the process ends.
 */
#define LAST_US (1 * MH_US_PER_S)

/* What this entry's end keeps from an answer; another entry has the time. */
const struct problem entry_leaving = { .status = 503,
	.kind = "leaving",
	.detail = "This entry leaves before the request could end.",
	.remedy = "Ask again after Retry-After, over a new connection.",
	.retry_us = MH_US_PER_S };

int64_t
entry_time_us(const struct entry *e, int64_t us)
{
	return e->draining ? MIN(us, MAX(e->end_us - mh_now(e->k), 0)) : us;
}

bool
entry_ends(const struct request *r)
{
	return r->e->draining && r->deadline_us >= r->e->end_us;
}

/*
 * At the deadline an answer is of no use any more.  A non-repeatable call
 * that is still out may run or have run: that is "unknown", never
 * "not run".
 */
static void
on_deadline(void *arg)
{
	static const struct problem passed = { .status = 504,
		.kind = "deadline",
		.detail = "The deadline passed.",
		.remedy = "Ask again, or ask for more time." };
	struct request *r = arg;
	struct problem p = entry_ends(r) ? entry_leaving : passed;
	const struct mh_stage *s = r->d.pipeline->stages->pdata[r->stage];

	p.outcome = r->key_given	      ? entry_key_outcome(r)
	    : r->maybe_ran || r->attempts > 0 ? "failed"
					      : "not-run";
	if (r->key_given)
		p.remedy = "Ask again with the same key, or look the outcome "
			   "up; do not repeat it under another key.";
	r->deadline = NULL;
	if (entry_ends(r))
		mh_count(r->e->k, "entry_cuts", 1);
	if (s->never && r->tries[0].call != NULL) {
		p.status = 504;
		p.retry_us = 0;
		p.kind = "outcome-unknown";
		p.outcome = "unknown";
		p.remedy = "Look the outcome up by key; do not repeat it "
			   "under another key.";
	}
	entry_fail(r, &p);
}

void
entry_set_deadline(struct request *r)
{
	struct mh_kern *k = r->e->k;

	mh_timer_stop(k, &r->deadline);
	r->deadline =
	    mh_timer_start(k, r->deadline_us - mh_now(k), on_deadline, r);
}

/*
 * A request's own deadline may lie an hour ahead, beyond the kill, which
 * closes its caller's connection without a word: whether it ran, the caller
 * can't tell.  With the end as its deadline it is told while the answer can
 * still leave.  Lookups need no such bound: a second later all are answered.
 */
static void
bound_requests(struct entry *e)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct request *r = v;

		if (r->deadline_us <= e->end_us)
			continue;
		r->deadline_us = e->end_us;
		entry_set_deadline(r);
	}
}

void
mh_entry_drain(struct mh_kern *k, int64_t grace_us)
{
	struct entry *e = mh_kern_get(k, "entry");

	e->draining = true;
	e->end_us = mh_now(k) + grace_us - LAST_US;
	bound_requests(e);
	mh_member_drain(k);
}
