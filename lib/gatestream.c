/**
 * DOC: The events of a stream across the runs that produce it.
 */

#include "gateint.h"

/*
 * Once the caller has a part of a stream, another run can continue it only on a
 * resumable route and if the last event has an id to resume after.  Otherwise
 * the run would start over and duplicate events.
 */
bool
mh_gate_can_resume(const struct mh_greq *q)
{
	return !q->head_forwarded ||
	    (q->route->repeat == MH_REPEAT_RESUME &&
		!mh_cursor_has_unnumbered(q->cursor));
}

/*
 * The reader belongs to the try and is destroyed with it, however the try ends.
 * If it stayed with the request, half an event would be joined to the first
 * bytes of the next run.
 */
void
mh_gate_read_events(struct mh_gate *g, struct mh_try *t)
{
	const struct mh_node *n = mh_fleet_find(g->f, t->node);

	t->events =
	    mh_sse_create(t->req->cursor, n == NULL ? MH_IDS_UNKNOWN : n->ids);
}

/* Learns from streams that begin at an endpoint how it numbers events. */
void
mh_gate_note_ids(struct mh_node *n, const struct mh_try *t)
{
	enum mh_ids ids =
	    t->events == NULL ? MH_IDS_UNKNOWN : mh_sse_ids(t->events);

	/* Event ids of other routes follow no rule. */
	if (!t->req->route->stream)
		return;
	if (n != NULL && ids != MH_IDS_UNKNOWN && n->ids != MH_IDS_CONSECUTIVE)
		n->ids = ids;
}
