/**
 * DOC: How long a request may stay open: until the caller's or the route's
 * limit, and while the process drains, until its exit.
 */

#include "gateint.h"

#include <stdlib.h>
#include <string.h>

/*
 * A stream is expected to last as long as this quantile of the latest streams
 * of its route.  By the longest of them, a single slow stream would have all
 * waiting requests refused.  The default, for a route without a finished
 * stream, is about the time of 300 tokens on a busy engine.
 */
#define RUN_QUANTILE 0.75
#define RUN_DEFAULT_US (2 * MH_US_PER_S)
/* A sound endpoint may be silent for so long. */
#define SILENCE_US (1 * MH_US_PER_S)
/* A draining process accepts streams during this part of its remaining time:
 * most end in a few seconds, and each response of a draining process closes its
 * connection, so that callers connect to another entry. */
#define STREAMS_RATIO 0.3
/* And no longer, however long the grace: a stream that begins late may be cut
 * by the exit. */
#define STREAMS_MAX_US (2800 * MH_US_PER_MS)

void
mh_gate_out_of_time(struct mh_gate *g, struct mh_greq *q)
{
	if (q->runs > 0 || q->cur != NULL)
		mh_gate_refuse(g, q, MH_RUN_TIMEOUT, 0);
	else if (mh_gate_limit_us(g, q) < q->expires_us)
		mh_gate_refuse(g, q, MH_NOT_READY, 0); /* draining */
	else
		mh_gate_refuse(g, q, MH_NOT_IN_TIME, 0);
}

static void
on_expiry(void *arg)
{
	struct mh_greq *q = arg;
	struct mh_gate *g = q->gate;

	mh_gate_out_of_time(g, q);
}

static int
by_time(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* Expected time from sending a request to the end of its answer. */
static int64_t
expected_run_us(const struct mh_gate *g, const struct mh_groute *r)
{
	const struct mh_grun_times *all = g_hash_table_lookup(g->runs, r->name);
	int64_t us[MH_GRUNS];

	if (!r->stream)
		return 0;
	if (all == NULL)
		return RUN_DEFAULT_US;
	memcpy(us, all->us, sizeof(us));
	qsort(us, all->n, sizeof(us[0]), by_time);
	return us[(uint32_t)(all->n * RUN_QUANTILE)];
}

void
mh_gate_note_run(struct mh_gate *g, const struct mh_greq *q)
{
	struct mh_grun_times *all =
	    g_hash_table_lookup(g->runs, q->route->name);

	if (all == NULL) {
		all = g_new0(struct mh_grun_times, 1);
		g_hash_table_insert(g->runs, g_strdup(q->route->name), all);
	}
	all->us[all->next] = mh_now(g->k) - q->cur->sent_us;
	all->next = (all->next + 1) % MH_GRUNS;
	all->n = MIN(all->n + 1, MH_GRUNS);
}

/*
 * The exit of this process bounds every open request: the caller of one that is
 * still open sees its connection closed without an answer.  A request that
 * waits for stage work is given up on as soon as its answer could not be
 * completed before the exit by an engine that falls silent once, while another
 * entry can still serve its caller.
 */
int64_t
mh_gate_limit_us(const struct mh_gate *g, const struct mh_greq *q)
{
	int64_t us = g->exit_us;

	if (us == 0)
		return q->expires_us;
	if (q->state == MH_GREQ_STAGES && q->n_silent == 0)
		us -= expected_run_us(g, q->route) + SILENCE_US;
	return MIN(us, q->expires_us);
}

void
mh_gate_set_limit(struct mh_gate *g, struct mh_greq *q)
{
	int64_t limit_us = mh_gate_limit_us(g, q);

	/* The coordinator, and the next one after a handoff, plans by this. */
	if (q->state == MH_GREQ_STAGES && q->job != NULL)
		q->job->deadline_us = MIN(q->job->deadline_us, limit_us);
	mh_timer_set(g->k, &q->expiry_timer, MAX(limit_us - mh_now(g->k), 0),
	    on_expiry, q);
}

/*
 * A draining process keeps the requests that it has accepted.  One that arrives
 * later, over a connection that is still open, is accepted only if it should
 * end before the process is killed.  A caller loses a stream that is cut half
 * way, but takes a refused one to another entry at once.
 */
bool
mh_gate_ends_in_time(const struct mh_gate *g, const struct mh_greq *q)
{
	if (g->exit_us == 0)
		return true;
	if (q->route->stream)
		return mh_now(g->k) < g->streams_by_us;
	return q->expires_us < g->exit_us;
}

void
mh_gate_drain(struct mh_gate *g, int64_t remaining_us)
{
	int64_t streams_us = (int64_t)((double)remaining_us * STREAMS_RATIO);
	GHashTableIter it;
	gpointer key;

	g->exit_us = mh_now(g->k) + remaining_us;
	g->streams_by_us = mh_now(g->k) + MIN(streams_us, STREAMS_MAX_US);
	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		mh_gate_set_limit(g, key);
}
