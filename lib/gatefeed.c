/**
 * DOC: Inputs of runs, which are freed once their engines have read them.
 *
 * An engine reads the inputs of a request when it begins to work on it, and
 * with free slots it begins at once.  Result memory is what runs out during a
 * burst, so the inputs are freed before the answer.  A silent engine may have
 * read nothing: only what is heard of it shows that it has.
 */

#include "gateint.h"

#include <string.h>

/* An engine with free slots that is heard has read the inputs after this. */
#define INPUTS_READ_US (80 * MH_US_PER_MS)
/*
 * An engine that is heard after a longer pause counts as working from then on:
 * the request may have been held up with the bytes that are heard.
 */
#define PAUSE_MAX_US (200 * MH_US_PER_MS)

static void
stop_watch(struct mh_gate *g, struct mh_greq *q)
{
	mh_timer_stop(g->k, &q->inputs_timer);
	g_ptr_array_remove_fast(g->feeding, q);
}

void
mh_gate_release_job(struct mh_gate *g, struct mh_greq *q)
{
	/* Else the next job of this request would be released. */
	stop_watch(g, q);
	if (q->job == NULL)
		return;
	if (q->state == MH_GREQ_STAGES)
		g->ops.cancel(g->ops.jobs, q->job);
	else
		g->ops.release(g->ops.jobs, q->job);
	mh_job_destroy(q->job);
	q->job = NULL;
}

/* Whether an engine begins the next request at once. */
static bool
has_free_slots(const struct mh_node *n)
{
	return n->waiting == 0 && n->running < n->capacity * 3 / 4;
}

static bool
has_read(const struct mh_try *t)
{
	return t->head_us != 0 ||
	    (t->begins_at_once &&
		t->heard_us - t->alive_from_us >= INPUTS_READ_US);
}

/* Whether a run of @q may still read the inputs that its job made. */
static bool
is_job_read(const struct mh_greq *q)
{
	if (q->cur == NULL || !has_read(q->cur))
		return false;
	for (uint32_t i = 0; i < q->n_silent; i++) {
		if (q->silent[i]->n_jobs == q->n_jobs &&
		    !has_read(q->silent[i]))
			return false;
	}
	return true;
}

static void
look(struct mh_gate *g, struct mh_greq *q)
{
	if (is_job_read(q))
		mh_gate_release_job(g, q);
}

static void
on_fed(void *arg)
{
	struct mh_greq *q = arg;

	q->inputs_timer = NULL;
	look(q->gate, q);
}

void
mh_gate_feed(struct mh_gate *g, struct mh_try *t, const struct mh_node *n)
{
	struct mh_greq *q = t->req;

	stop_watch(g, q);
	t->n_jobs = q->n_jobs;
	t->begins_at_once = has_free_slots(n);
	t->heard_us = t->alive_from_us = t->sent_us;
	if (q->job == NULL || !t->begins_at_once)
		return;
	g_ptr_array_add(g->feeding, q);
	q->inputs_timer = mh_timer_start(g->k, INPUTS_READ_US, on_fed, q);
}

void
mh_gate_feed_again(struct mh_gate *g, struct mh_greq *q)
{
	stop_watch(g, q);
	if (q->job != NULL && q->cur->begins_at_once)
		g_ptr_array_add(g->feeding, q);
}

void
mh_gate_feed_begun(struct mh_gate *g, struct mh_greq *q)
{
	if (q->job != NULL && q->cur->begins_at_once &&
	    mh_now(g->k) - q->cur->sent_us >= INPUTS_READ_US)
		look(g, q);
}

static void
note_heard(struct mh_try *t, const char *node, int64_t now)
{
	if (t == NULL || strcmp(t->node, node) != 0)
		return;
	if (now - t->heard_us > PAUSE_MAX_US)
		t->alive_from_us = now;
	t->heard_us = now;
}

void
mh_gate_feed_heard(struct mh_gate *g, const struct mh_try *t)
{
	int64_t now = mh_now(g->k);

	/* Removal moves the last one, which was looked at, to its place. */
	for (guint i = g->feeding->len; i-- > 0;) {
		struct mh_greq *q = g_ptr_array_index(g->feeding, i);

		if (q == t->req)
			continue; /* its answer may be that it did not run it */
		note_heard(q->cur, t->node, now);
		for (uint32_t s = 0; s < q->n_silent; s++)
			note_heard(q->silent[s], t->node, now);
		look(g, q);
	}
}

bool
mh_gate_keeps_job(const struct mh_greq *q, const struct mh_try *t)
{
	return q->job != NULL && q->state != MH_GREQ_STAGES &&
	    t->n_jobs == q->n_jobs && !has_read(t);
}
