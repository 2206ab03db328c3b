/**
 * DOC: How long a request may be here: its caller's time, and ours.
 */

#include "gateint.h"

#include <stdlib.h>
#include <string.h>

/*
 * What a stream is taken to last: three of four of the last ones of its route
 * were shorter.  By the longest, one slow stream would have all refused that
 * wait.  Where none has ended yet: about what 300 tokens take of a busy engine.
 */
#define RUN_SHARE 0.75
#define RUN_DEFAULT_US (2 * MH_US_PER_S)
/* A leaving process takes streams for this part of the time it has left:
 * most end in a few seconds, and callers have heard to go elsewhere. */
#define STREAMS_SHARE 0.3

void
mh_gate_out_of_time(struct mh_gate *g, struct mh_gask *q)
{
	if (q->runs > 0 || q->cur != NULL)
		mh_gate_refuse(g, q, MH_RUN_TIMEOUT, 0);
	else if (mh_gate_limit_us(g, q) < q->until_us)
		mh_gate_refuse(g, q, MH_NOT_READY, 0); /* we leave */
	else
		mh_gate_refuse(g, q, MH_NOT_IN_TIME, 0);
}

static void
on_until(void *arg)
{
	struct mh_gask *q = arg;
	struct mh_gate *g = q->gate;

	q->until = NULL;
	mh_gate_out_of_time(g, q);
}

static int
by_time(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/* What the answer of a request takes that has its stage work done. */
static int64_t
run_us(const struct mh_gate *g, const struct mh_groute *r)
{
	const struct mh_gruns *all = g_hash_table_lookup(g->runs, r->name);
	int64_t us[MH_GRUNS];

	if (!r->stream)
		return 0;
	if (all == NULL)
		return RUN_DEFAULT_US;
	memcpy(us, all->us, sizeof(us));
	qsort(us, all->n, sizeof(us[0]), by_time);
	return us[(uint32_t)(all->n * RUN_SHARE)];
}

void
mh_gate_note_run(struct mh_gate *g, const struct mh_gask *q)
{
	struct mh_gruns *all = g_hash_table_lookup(g->runs, q->route->name);

	if (all == NULL) {
		all = g_new0(struct mh_gruns, 1);
		g_hash_table_insert(g->runs, g_strdup(q->route->name), all);
	}
	all->us[all->next] = mh_now(g->k) - q->cur->sent_us;
	all->next = (all->next + 1) % MH_GRUNS;
	all->n = MIN(all->n + 1, MH_GRUNS);
}

/*
 * The end of this process bounds all that it has taken.  What outlives the
 * process is dropped, which its caller sees as a closed connection with no
 * answer.  One that waits for
 * stage work is given up on while another entry can still help its caller: as
 * soon as its answer would be cut in the middle here.
 */
int64_t
mh_gate_limit_us(const struct mh_gate *g, const struct mh_gask *q)
{
	int64_t us = g->leave_us;

	if (us == 0)
		return q->until_us;
	if (q->state == MH_ASK_STAGES)
		us -= run_us(g, q->route);
	return MIN(us, q->until_us);
}

void
mh_gate_set_limit(struct mh_gate *g, struct mh_gask *q)
{
	int64_t limit_us = mh_gate_limit_us(g, q);

	/* The home plans by this, the next one too if this one is lost. */
	if (q->state == MH_ASK_STAGES && q->job != NULL)
		q->job->deadline_us = MIN(q->job->deadline_us, limit_us);
	mh_timer_stop(g->k, &q->until);
	q->until =
	    mh_timer_start(g->k, MAX(limit_us - mh_now(g->k), 0), on_until, q);
}

/*
 * A process that leaves keeps what it has taken; what comes later, over a
 * connection that is still open, is taken only if it will surely have ended
 * before the process is killed.  A stream cut half way is lost to its caller,
 * one that is refused goes to another entry at once.
 */
bool
mh_gate_ends_in_time(const struct mh_gate *g, const struct mh_gask *q)
{
	if (g->leave_us == 0)
		return true;
	if (q->route->stream)
		return mh_now(g->k) < g->streams_until_us;
	return q->until_us < g->leave_us;
}

void
mh_gate_leaving(struct mh_gate *g, int64_t left_us)
{
	GHashTableIter it;
	gpointer key;

	g->leave_us = mh_now(g->k) + left_us;
	g->streams_until_us =
	    mh_now(g->k) + (int64_t)((double)left_us * STREAMS_SHARE);
	g_hash_table_iter_init(&it, g->asks);
	while (g_hash_table_iter_next(&it, &key, NULL))
		mh_gate_set_limit(g, key);
}
