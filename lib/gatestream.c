/**
 * DOC: The events of a stream, as the gate hands them from run to run.
 */

#include "gateint.h"

/*
 * What has reached the caller can be gone on with by a route that resumes
 * alone, and only where another run can be told the last event: it would begin
 * anew and double what was passed on.
 */
bool
mh_gate_can_go_on(const struct mh_gask *q)
{
	return !q->passed_head ||
	    (q->route->repeat == MH_REPEAT_RESUME &&
		!mh_cursor_lost(q->cursor));
}

/*
 * The reader ends with its try, however that ends: half of an event left with
 * the request would be joined to the first bytes of the next run.
 */
void
mh_gate_read_events(struct mh_gate *g, struct mh_try *t)
{
	const struct mh_node *n = mh_fleet_find(g->f, t->node);

	t->events =
	    mh_sse_create(t->ask->cursor, n == NULL ? MH_IDS_UNKNOWN : n->ids);
}

/* How the endpoint numbers events, from the streams that begin there. */
void
mh_gate_note_ids(struct mh_node *n, const struct mh_try *t)
{
	enum mh_ids ids =
	    t->events == NULL ? MH_IDS_UNKNOWN : mh_sse_ids(t->events);

	/* Elsewhere nothing is said of ids. */
	if (!t->ask->route->stream)
		return;
	if (n != NULL && ids != MH_IDS_UNKNOWN && n->ids != MH_IDS_COUNT)
		n->ids = ids;
}
