/**
 * DOC: Deadlines of requests: the caller's own, and the end of a drain.
 */

#include "entry.h"

/*
 * Time between the last response and the kill, to send the response and to
 * exit.  Sending takes 600 ms if a packet is lost twice in a row: Linux
 * retransmits after 200 ms, then after 400 ms.
 */
#define RESPONSE_FLUSH_US (1 * MH_US_PER_S)

/* Another entry still has time for the request. */
const struct problem entry_draining_problem = { .status = 503,
	.kind = "leaving",
	.detail = "This entry leaves before the request could end.",
	.remedy = "Ask again after Retry-After, over a new connection.",
	.retry_us = MH_US_PER_S };

int64_t
entry_cap_us(const struct entry *e, int64_t us)
{
	return e->draining ? MIN(us, MAX(e->drain_end_us - mh_now(e->k), 0))
			   : us;
}

bool
entry_cut_by_drain(const struct request *r)
{
	return r->e->draining && r->deadline_us >= r->e->drain_end_us;
}

/*
 * An answer after the deadline is of no use.  A non-repeatable call still in
 * flight may have run or may yet run: its outcome is "unknown", never
 * "not run".
 */
static void
on_deadline(void *arg)
{
	static const struct problem expired = { .status = 504,
		.kind = "deadline",
		.detail = "The deadline passed.",
		.remedy = "Ask again, or ask for more time." };
	struct request *r = arg;
	struct problem p =
	    entry_cut_by_drain(r) ? entry_draining_problem : expired;
	const struct mh_stage *s = r->d.pipeline->stages->pdata[r->stage];

	p.outcome = r->key_given	      ? entry_key_outcome(r)
	    : r->maybe_ran || r->attempts > 0 ? "failed"
					      : "not-run";
	if (r->key_given)
		p.remedy = "Ask again with the same key, or look the outcome "
			   "up; do not repeat it under another key.";
	if (entry_cut_by_drain(r))
		mh_count(r->e->k, "entry_cuts", 1);
	if (s->at_most_once && r->tries[0].call != NULL) {
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

	mh_timer_set(
	    k, &r->deadline_timer, r->deadline_us - mh_now(k), on_deadline, r);
}

/*
 * A request's own deadline may be an hour away.  If the process were killed
 * before it, the caller's connection would close without a response, and the
 * caller could not tell whether the request ran.  A deadline at the end of the
 * drain leaves time for a response.  Lookups need no such limit, since they
 * time out within a second.
 */
static void
limit_deadlines(struct entry *e)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->requests);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct request *r = v;

		if (r->deadline_us <= e->drain_end_us)
			continue;
		r->deadline_us = e->drain_end_us;
		entry_set_deadline(r);
	}
}

void
mh_entry_drain(struct mh_kern *k, int64_t grace_us)
{
	struct entry *e = mh_kern_get(k, "entry");

	e->draining = true;
	e->drain_end_us = mh_now(k) + grace_us - RESPONSE_FLUSH_US;
	limit_deadlines(e);
	mh_member_drain(k);
}
