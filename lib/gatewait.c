/**
 * DOC: What a request without a run waits for before its next try.
 *
 * It waits for one thing at a time, as the end of each wait leads to the next
 * try: with two, one request would go on in two ways.  So a wait that begins
 * stops the one before it.
 */

#include "gateint.h"

static const char *
kind_name(enum mh_gwait_kind kind)
{
	static const char *const names[] = { [MH_WAIT_NONE] = "none",
		[MH_WAIT_ORIGIN] = "origin",
		[MH_WAIT_STAGES] = "stages",
		[MH_WAIT_START] = "start",
		[MH_WAIT_SLOT] = "slot",
		[MH_WAIT_VERSION] = "version" };

	return names[kind];
}

void
mh_gate_wait_stop(struct mh_gate *g, struct mh_greq *q)
{
	enum mh_gwait_kind kind = q->wait.kind;

	q->wait.kind = MH_WAIT_NONE;
	switch (kind) {
	case MH_WAIT_NONE:
		return;
	case MH_WAIT_ORIGIN:
		mh_origins_cancel(g->origins, q->wait.u.ask);
		return;
	case MH_WAIT_STAGES:
		g->ops.cancel(g->ops.jobs, q->job);
		mh_job_destroy(q->job);
		q->job = NULL;
		return;
	case MH_WAIT_START:
		g->ops.unconfirm(g->ops.jobs, q->wait.u.question);
		g_clear_pointer(&q->confirm_node, g_free);
		return;
	case MH_WAIT_SLOT:
	case MH_WAIT_VERSION:
		mh_timer_stop(g->k, &q->wait.u.timer);
		return;
	}
}

void
mh_gate_wait_over(struct mh_greq *q)
{
	q->wait.kind = MH_WAIT_NONE;
}

struct mh_gwait *
mh_gate_wait_begin(
    struct mh_gate *g, struct mh_greq *q, enum mh_gwait_kind kind)
{
	if (kind != MH_WAIT_STAGES || q->wait.kind != MH_WAIT_NONE)
		mh_event(g->k, "wait",
		    "id=%s for=%s instead_of=%s sent=%d silent=%u runs=%u "
		    "version=%016" PRIx64,
		    q->id, kind_name(kind), kind_name(q->wait.kind),
		    q->cur != NULL, q->n_silent, q->runs, q->version);
	mh_gate_wait_stop(g, q);
	q->wait = (struct mh_gwait) { .kind = kind };
	return &q->wait;
}

static void
on_wait_over(void *arg)
{
	struct mh_greq *q = arg;

	mh_gate_wait_over(q);
	mh_gate_try_next(q->gate, q);
}

void
mh_gate_wait_for_us(
    struct mh_gate *g, struct mh_greq *q, enum mh_gwait_kind kind, int64_t us)
{
	mh_timer_set(g->k, &mh_gate_wait_begin(g, q, kind)->u.timer, us,
	    on_wait_over, q);
}
