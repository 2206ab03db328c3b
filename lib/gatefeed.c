/**
 * DOC: Inputs of runs, which are freed once their engines have read them.
 *
 * An engine reads the inputs of a request when it begins to work on it, and
 * with free slots it begins at once.  Result memory is what runs out during a
 * burst, so the inputs are freed before the answer, unless the engine's answers
 * to other requests have stopped: a silent engine may have read nothing.
 */

#include "gateint.h"

#include <string.h>

/* An engine with free slots that works has read the inputs after this. */
#define INPUTS_READ_US (80 * MH_US_PER_MS)

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
	if (q->wait.kind == MH_WAIT_STAGES)
		mh_gate_wait_stop(g, q);
	if (q->job == NULL)
		return;
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

/* Whether the endpoint has begun to answer a request that is still open. */
static bool
is_answering(const struct mh_gate *g, const struct mh_node *n)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct mh_try *t = ((struct mh_greq *)key)->cur;

		if (t != NULL && t->head_us != 0 && strcmp(t->node, n->id) == 0)
			return true;
	}
	return false;
}

static bool
has_read(const struct mh_gate *g, const struct mh_try *t)
{
	const struct mh_node *n = mh_fleet_find(g->f, t->node);
	int64_t now = mh_now(g->k), from_us = t->sent_us;

	if (t->head_us != 0 || n == NULL)
		return true;
	/* After silence it reads what had been sent meanwhile. */
	if (n->steady_us > t->sent_us)
		from_us = n->steady_us;
	else if (t->was_silent)
		return false;
	return t->begins_at_once && now - from_us >= INPUTS_READ_US &&
	    (n->heard_us - t->sent_us >= INPUTS_READ_US / 2 ||
		!is_answering(g, n));
}

/* Whether a run of @q may still read the inputs that its job made. */
static bool
is_job_read(const struct mh_gate *g, const struct mh_greq *q)
{
	if (q->cur == NULL || !has_read(g, q->cur))
		return false;
	for (uint32_t i = 0; i < q->n_silent; i++) {
		if (q->silent[i]->n_jobs == q->n_jobs &&
		    !has_read(g, q->silent[i]))
			return false;
	}
	return true;
}

static void
look(struct mh_gate *g, struct mh_greq *q)
{
	if (is_job_read(g, q))
		mh_gate_release_job(g, q);
}

static void
on_fed(void *arg)
{
	struct mh_greq *q = arg;

	look(q->gate, q);
}

void
mh_gate_feed(struct mh_gate *g, struct mh_try *t, const struct mh_node *n)
{
	struct mh_greq *q = t->req;

	stop_watch(g, q);
	t->n_jobs = q->n_jobs;
	t->begins_at_once = has_free_slots(n);
	if (q->job == NULL || !t->begins_at_once)
		return;
	g_ptr_array_add(g->feeding, q);
	mh_timer_set(g->k, &q->inputs_timer, INPUTS_READ_US, on_fed, q);
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

void
mh_gate_feed_heard(struct mh_gate *g, const struct mh_try *t)
{
	/* Removal moves the last one, which was looked at, to its place. */
	for (guint i = g->feeding->len; i-- > 0;) {
		struct mh_greq *q = g_ptr_array_index(g->feeding, i);

		/* Its own answer may be that it did not run it. */
		if (q != t->req && q->inputs_timer == NULL)
			look(g, q);
	}
}

bool
mh_gate_keeps_job(
    const struct mh_gate *g, const struct mh_greq *q, const struct mh_try *t)
{
	return q->job != NULL && q->state != MH_GREQ_STAGES &&
	    t->n_jobs == q->n_jobs && !has_read(g, t);
}
