/**
 * DOC: What endpoints say of themselves in their answers.
 *
 * It is recorded with the incarnation of the endpoint, whichever call got the
 * answer.
 */

#include "fleetint.h"

/*
 * A limit of 0 is taken as this: an endpoint that gets nothing could never say
 * that it is well again.
 */
#define LIMIT_MIN_PER_S 0.1

static void
take_limit(struct mh_fleet *f, struct mh_node *n, const struct mh_said *s)
{
	int64_t now = mh_now(f->k);
	double was = n->said.limit_per_s;

	/* An answer from before the limit was named does not end it. */
	if (!s->has_limit &&
	    (was == 0 || !s->is_work || s->sent_us <= n->said.limit_at_us))
		return;
	n->said.limit_per_s =
	    s->has_limit ? MAX(s->limit_per_s, LIMIT_MIN_PER_S) : 0;
	n->said.limit_at_us = now;
	if (n->said.limit_per_s == was)
		return;
	mh_count(f->k, "endpoint_limits_said", 1);
	mh_event(f->k, "endpoint-limit",
	    "id=%s pool=%s per_s=%.2f was=%.2f by=answer age_ms=0", n->id,
	    n->pool, n->said.limit_per_s, was);
}

void
mh_node_said(struct mh_fleet *f, struct mh_node *n, const struct mh_said *s)
{
	if (s->malformed)
		mh_count(f->k, "endpoint_words_malformed", 1);
	take_limit(f, n, s);
}
