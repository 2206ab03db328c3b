/**
 * DOC: What stage endpoints report of themselves.
 *
 * A call whose answer was lost looks like one that takes long: its endpoint
 * would stay idle until the call is given up.  Its own report tells the two
 * apart.
 */

#include "cell.h"

#include <string.h>

/*
 * A report tells how it was some tenths of a second ago; a call that was sent
 * longer ago than this must show in it.
 */
#define REPORT_LAG_US (400 * MH_US_PER_MS)
/*
 * A call that takes too long is asked for this often.  Without, an endpoint
 * stood idle for eight times a call's time after each lost answer: four of
 * fifteen at once, and the queue before them lasted for ten seconds.
 */
#define ASK_US (150 * MH_US_PER_MS)

void
mh_cell_ask(struct mh_cell *c, struct worker *w, const char *node)
{
	const struct mh_node *n = mh_fleet_find(c->f, node);
	int64_t now = mh_now(c->k);

	if (w->asked || now - w->asked_us < ASK_US || c->ops.ask == NULL ||
	    n == NULL || n->evacuated)
		return;
	w->asked = true;
	w->asked_us = now;
	mh_count(c->k, "stage_reports", 1);
	c->ops.ask(c->ops.arg, c, node);
}

/* Gives up the calls to an endpoint that were sent so long ago; their number.
 */
static uint32_t
end_calls(struct mh_cell *c, const char *node, int64_t age_us)
{
	GList *all = g_hash_table_get_values(c->batches);
	int64_t now = mh_now(c->k);
	uint32_t n = 0;

	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_batch *b = l->data;

		if (now - b->sent_us < age_us || strcmp(b->node, node) != 0)
			continue;
		c->ops.abort(c->ops.arg, b);
		mh_cell_batch_end(c, b, MH_BATCH_LOST);
		n++;
	}
	g_list_free(all);
	return n;
}

void
mh_cell_told(
    struct mh_cell *c, const char *node, const struct mh_work_report *r)
{
	struct mh_node *n = mh_fleet_find(c->f, node);

	if (n == NULL)
		return; /* it is gone */
	mh_cell_worker_of(mh_cell_pool_of(c, n->pool), node)->asked = false;
	mh_event(c->k, "stage-report", "node=%s told=%d running=%u waiting=%u",
	    node, r != NULL, r == NULL ? 0 : r->running,
	    r == NULL ? 0 : r->waiting);
	/* What it neither works on nor keeps waiting is lost. */
	if (r != NULL && r->running == 0 && r->waiting == 0)
		mh_count(c->k, "stage_calls_found_lost",
		    end_calls(c, node, REPORT_LAG_US));
}

/*
 * Calls in work there get no answer, and results that lay there are gone.
 * Waiting for each to be found so costs a call that is refused, and a stage's
 * time for each stage on the way back.
 */
void
mh_cell_restarted(struct mh_cell *c, const char *node)
{
	const char *name = g_intern_string(node);

	end_calls(c, node, 0);
	for (guint i = 0; i < c->jobs->len; i++)
		mh_cell_remake_from(c, g_ptr_array_index(c->jobs, i), name);
	mh_cell_dispatch_all(c);
}
