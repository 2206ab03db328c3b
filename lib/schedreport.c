/**
 * DOC: Reports of stage endpoints.
 *
 * A call whose answer was lost looks like a slow call, and its endpoint would
 * stay idle until the call counts as lost.  The endpoint's report shows which
 * of the two it is.
 */

#include "schedint.h"

#include <string.h>

/*
 * A report may be some tenths of a second old; a call that was sent longer ago
 * than this must be included in it.
 */
#define REPORT_LAG_US (400 * MH_US_PER_MS)
/*
 * A report that took longer was held up, and answers to calls may have been
 * held up with it.
 */
#define REPORT_WAIT_US (200 * MH_US_PER_MS)
/*
 * Interval of the polls while a call takes too long.  Without polls, an
 * endpoint stays idle for eight times the duration of a call after each lost
 * answer.  Four of fifteen endpoints were then idle at once, and the queue took
 * ten seconds to clear.
 */
#define POLL_INTERVAL_US (150 * MH_US_PER_MS)

void
mh_sched_poll(struct mh_sched *sc, struct worker *w, const char *node)
{
	struct mh_node *n = mh_fleet_find(sc->f, node);
	int64_t now = mh_now(sc->k);

	if (w->polling || now - w->last_poll_us < POLL_INTERVAL_US ||
	    sc->ops.poll == NULL || n == NULL ||
	    mh_node_next_us(sc->f, n, MH_SENDER_ONE) > now)
		return;
	mh_node_sent(sc->f, n);
	w->polling = true;
	w->last_poll_us = now;
	mh_count(sc->k, "stage_reports", 1);
	sc->ops.poll(sc->ops.arg, sc, node);
}

/*
 * Ends the calls to an endpoint that were sent at least @age_us ago as lost.
 * Returns their number.
 */
static uint32_t
end_calls(struct mh_sched *sc, const char *node, int64_t age_us)
{
	GList *all = g_hash_table_get_values(sc->batches);
	int64_t now = mh_now(sc->k);
	uint32_t n = 0;

	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_batch *b = l->data;

		if (now - b->sent_us < age_us || strcmp(b->node, node) != 0)
			continue;
		sc->ops.abort(sc->ops.arg, b);
		mh_sched_batch_end(sc, b, MH_BATCH_LOST);
		n++;
	}
	g_list_free(all);
	return n;
}

void
mh_sched_report(
    struct mh_sched *sc, const char *node, const struct mh_work_report *r)
{
	struct mh_node *n = mh_fleet_find(sc->f, node);
	struct worker *w;
	bool held_up;

	if (n == NULL)
		return; /* it was removed */
	w = mh_sched_worker_of(mh_sched_pool_of(sc, n->pool), node);
	w->polling = false;
	if (r != NULL)
		mh_node_heard(sc->f, n);
	held_up = mh_now(sc->k) - w->last_poll_us > REPORT_WAIT_US;
	mh_event(sc->k, "stage-report", "node=%s told=%d running=%u waiting=%u",
	    node, r != NULL, r == NULL ? 0 : r->running,
	    r == NULL ? 0 : r->waiting);
	/* A call that neither runs nor waits there is lost. */
	if (r != NULL && !held_up && r->running == 0 && r->waiting == 0)
		mh_count(sc->k, "stage_calls_found_lost",
		    end_calls(sc, node, REPORT_LAG_US));
}

/*
 * A restart loses the calls and the results at the endpoint.  If the results
 * were recomputed only once a call fails to find them, each would cost a failed
 * call, and going back through the stages the duration of a stage each.
 */
void
mh_sched_node_restarted(struct mh_sched *sc, const char *node)
{
	const char *name = g_intern_string(node);

	end_calls(sc, node, 0);
	for (guint i = 0; i < sc->jobs->len; i++)
		mh_sched_recompute_from(
		    sc, g_ptr_array_index(sc->jobs, i), name);
	mh_sched_dispatch_all(sc);
}
