/**
 * DOC: The stage scheduler: batches the stage work of many requests.
 *
 * A call to a stage endpoint has a large fixed cost, so one scheduler collects
 * the pieces of all entries and fills its calls.  An endpoint gets its next
 * call when the one before has ended; the batch is chosen only then, from the
 * most urgent pieces.  Pieces are ordered by least slack: the time until the
 * latency objective less the remaining work of the job.  A job that can no
 * longer meet its latency objective is scheduled after all that can; one that
 * cannot meet its deadline ends at once.
 */

#include "schedint.h"

#include <string.h>

/* Interval of the checks for missed deadlines and overdue calls. */
#define TICK_US (25 * MH_US_PER_MS)
/*
 * A call is overdue after this multiple of its expected time and a grace
 * period for the network; its pieces may then run at another endpoint as well.
 */
#define OVERDUE_FACTOR 1.6
#define OVERDUE_GRACE_US (80 * MH_US_PER_MS)
/*
 * An endpoint is polled about a call that takes this much longer than expected.
 * Nine calls of ten end within 40 ms of their expected time.
 */
#define POLL_AFTER_US (100 * MH_US_PER_MS)
/*
 * A call counts as lost after this multiple of its expected time and the same
 * grace period, once its pieces are in other calls.
 */
#define LOST_FACTOR 8.0
/* An endpoint that refused a call gets no other for this long. */
#define FULL_PAUSE_US (150 * MH_US_PER_MS)
/*
 * The excess of a slowdown estimate over 1 shrinks by this factor per tick, so
 * that an endpoint that has recovered is used again.
 */
#define SLOWDOWN_DECAY 0.995
/* Tries of one piece before its job fails. */
#define PIECE_TRIES 4

static void on_tick(void *arg);

static void
free_state(struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++)
		g_free(j->state->stages[s].pieces);
	g_free(j->state);
	j->state = NULL;
}

/* Removes the job from all calls and from the list of jobs. */
static void
detach(struct mh_sched *sc, struct mh_job *j)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, sc->batches);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_batch *b = value;

		for (guint i = 0; i < b->items->len; i++) {
			struct mh_batch_item *m =
			    &g_array_index(b->items, struct mh_batch_item, i);

			if (m->job == j)
				m->job = NULL;
		}
	}
	g_ptr_array_remove(sc->jobs, j);
}

static void
end_job(struct mh_sched *sc, struct mh_job *j, enum mh_job_end end,
    int64_t retry_us)
{
	detach(sc, j);
	switch (end) {
	case MH_JOB_DONE:
		g_ptr_array_add(sc->done_jobs, j);
		break;
	case MH_JOB_HANDED_OFF:
		mh_sched_hand_off(sc, j);
		free_state(j);
		break;
	case MH_JOB_REFUSED:
	case MH_JOB_FAILED:
	case MH_JOB_QUARANTINED:
		mh_sched_release(sc, j);
		break;
	}
	sc->ops.end(sc->ops.arg, j, end, retry_us);
}

void
mh_sched_quarantine(struct mh_sched *sc, uint64_t fingerprint)
{
	for (guint i = 0; i < sc->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		if (j->fingerprint == fingerprint)
			end_job(sc, j, MH_JOB_QUARANTINED,
			    mh_poison_quarantine_us(sc->k, fingerprint));
		else
			i++;
	}
}

void
mh_sched_release(struct mh_sched *sc, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_sched_drop_results(sc, j, s);
	g_ptr_array_remove(sc->done_jobs, j);
	free_state(j);
}

void
mh_sched_cancel(struct mh_sched *sc, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	detach(sc, j);
	mh_sched_release(sc, j);
	mh_sched_dispatch_all(sc);
}

/*
 * A job that was handed off to us may have stages done: results that only
 * these would read are not needed.
 */
static void
skip_unneeded(struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct stage_state *ss = &j->state->stages[s];

		j->state->started =
		    j->state->started || ss->remaining < j->stages[s].pieces;
		if (mh_job_needs_stage(j, s))
			continue;
		ss->remaining = 0;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++)
			ss->pieces[i].needed = false;
	}
}

static void
start_state(struct mh_sched *sc, struct mh_job *j)
{
	j->state = g_new0(struct mh_job_state, 1);
	j->state->paths_stale = true;
	(void)mh_job_sort(j, j->state->order);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_job_stage *st = &j->stages[s];
		struct stage_state *ss = &j->state->stages[s];

		ss->pool = mh_sched_pool_of(sc, st->pool);
		ss->cost_factor = mh_sched_item_factor(sc, j->route, s);
		ss->pieces = g_new0(struct piece_state, MAX(st->pieces, 1));
		if (st->results == NULL) {
			st->results = g_ptr_array_new_with_free_func(g_free);
			g_ptr_array_set_size(st->results, (gint)st->pieces);
		}
		for (uint32_t i = 0; i < st->pieces; i++) {
			ss->pieces[i].needed =
			    g_ptr_array_index(st->results, i) == NULL;
			ss->remaining += ss->pieces[i].needed;
			if (j->resent)
				ss->pieces[i].resend = j->handed_off
				    ? RESEND_MOVED
				    : RESEND_RECOMPUTED;
		}
	}
	skip_unneeded(j);
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_sched_locate_results(sc, j, s);
}

void
mh_sched_submit(struct mh_sched *sc, struct mh_job *j)
{
	j->sched = sc;
	start_state(sc, j);
	if (mh_sched_remaining_us(j) == 0) {
		g_ptr_array_add(sc->done_jobs, j);
		sc->ops.end(sc->ops.arg, j, MH_JOB_DONE, 0);
		return;
	}
	if (mh_poison_quarantine_us(sc->k, j->fingerprint) > 0) {
		mh_sched_release(sc, j);
		sc->ops.end(sc->ops.arg, j, MH_JOB_QUARANTINED,
		    mh_poison_quarantine_us(sc->k, j->fingerprint));
		return;
	}
	if (!mh_sched_admit(sc, j)) {
		int64_t retry = mh_sched_max_backlog_us(sc, j);

		mh_count(sc->k, "jobs_refused", 1);
		mh_sched_release(sc, j);
		sc->ops.end(sc->ops.arg, j, MH_JOB_REFUSED, retry);
		return;
	}
	mh_count(sc->k, "jobs_taken", 1);
	if (!j->state->misses_slo)
		mh_sched_note_arrival(sc, j);
	if (j->handed_off)
		sc->last_handoff_us = mh_now(sc->k);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->stages[s].granted > 0)
			sc->last_grant_us = mh_now(sc->k);
	}
	g_ptr_array_add(sc->jobs, j);
	if (sc->tick == NULL)
		mh_timer_set(sc->k, &sc->tick, TICK_US, on_tick, sc);
	mh_sched_dispatch_all(sc);
}

static void
stage_done(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	mh_sched_drop_inputs(sc, j, stage);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (mh_sched_remaining(j, s) == 0)
			continue;
		if (sc->ops.stage_changed != NULL)
			sc->ops.stage_changed(sc->ops.arg, j, stage);
		return;
	}
	end_job(sc, j, MH_JOB_DONE, 0);
}

static int64_t
memory_pause_us(const struct worker *w)
{
	uint32_t more = MAX(w->memory_refusals, 1) - 1;

	return MEMORY_PAUSE_US << MIN(more, MEMORY_PAUSE_DOUBLINGS);
}

static void
finish_item(struct mh_sched *sc, struct mh_batch *b, struct worker *w,
    struct mh_batch_item *m, enum mh_batch_end end)
{
	struct mh_job *j = m->job;
	struct stage_state *ss = &j->state->stages[m->stage];
	struct piece_state *ps = &ss->pieces[m->piece];
	char **slot =
	    (char **)&g_ptr_array_index(j->stages[m->stage].results, m->piece);

	if (!b->requeued) {
		ps->in_flight = false;
		ss->in_flight--;
	}
	if (m->result != NULL && ps->needed) {
		*slot = m->result;
		m->result = NULL;
		ps->worker = w;
		ps->node = b->node_name;
		ss->remaining--;
		j->state->paths_stale = true;
		ps->needed = false;
		if (ss->remaining == 0)
			stage_done(sc, j, m->stage);
		return;
	}
	mh_sched_memory_freed(w, m->result_bytes);
	if (m->result != NULL) { /* another call has computed the piece, and
				  * its result may be used up already */
		sc->ops.discard(sc->ops.arg, m->result);
		return;
	}
	if (m->inputs_lost) {
		w->shared_end_us = mh_now(sc->k) + SHARED_HOLD_US;
		if (b->inputs_freed &&
		    !mh_sched_inputs_suspect(sc, j, m->stage))
			/* they were freed before the call read them */
			ss->pool->shared_end_us = w->shared_end_us;
		/* Those of a call that was queued again are made again. */
		if (!b->requeued)
			mh_sched_recompute_lost(sc, j, m->stage);
	}
	if (m->no_memory)
		w->pause_end_us = mh_now(sc->k) + memory_pause_us(w);
	if (b->requeued || !ps->needed)
		return;
	if (end == MH_BATCH_FULL || m->no_memory) /* the piece did not run */
		ps->tries--;
	ps->inputs_read = false;
	mh_sched_note_resend(sc, ps, end);
	if (ps->tries >= PIECE_TRIES) {
		mh_event(sc->k, "job-failed",
		    "id=%s stage=%u piece=%u tries=%u why=tries", j->id,
		    m->stage, m->piece, ps->tries);
		end_job(sc, j, MH_JOB_FAILED, 0);
		return;
	}
	mh_sched_recompute_freed(sc, j, m->stage);
}

static bool
has_calls(const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->state->stages[s].in_flight > 0)
			return true;
	}
	return false;
}

/*
 * Hands off each draining job once none of its pieces is in a call.  If started
 * jobs stayed here until they are done, the calls of this process and those of
 * the next coordinator would delay each other at the endpoints for seconds, and
 * inputs would be freed before they are read.
 */
static void
hand_off_draining(struct mh_sched *sc)
{
	/* end() may submit the job to us again, which may end other jobs. */
	for (guint i = 0; i < sc->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		if (j->state->draining && !has_calls(j))
			end_job(sc, j, MH_JOB_HANDED_OFF, 0);
		else
			i++;
	}
}

/* Reports the end of a call to the detection of poison requests. */
static void
report_requests(
    struct mh_sched *sc, const struct mh_batch *b, enum mh_batch_end end)
{
	const struct mh_node *n = mh_fleet_find(sc->f, b->node);

	if (b->unsent)
		mh_poison_unreachable(sc->k, b->node, b->sent_us);
	if (end != MH_BATCH_LOST)
		mh_poison_answered(
		    sc->k, b->node, b->sent_us, n != NULL && n->start_ms == 0);
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_job *j =
		    g_array_index(b->items, struct mh_batch_item, i).job;
		struct mh_poison_break e = { b->node, b->pool,
			j == NULL ? 0 : j->fingerprint, b->sent_us, false, NULL,
			0 };

		if (end == MH_BATCH_DONE && j != NULL)
			mh_poison_completed(sc->k, j->fingerprint, b->pool);
		else if (end == MH_BATCH_LOST && b->conn_lost && n != NULL &&
		    !n->draining)
			mh_poison_call_broke(sc->k, &e);
	}
}

/* Counts calls in a row of which the endpoint had memory for no piece. */
static void
note_memory(const struct mh_batch *b, struct worker *w)
{
	uint32_t refused = 0, done = 0;

	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		refused += m->no_memory;
		done += m->result != NULL;
	}
	if (done > 0)
		w->memory_refusals = 0;
	else if (refused > 0 && refused == b->items->len)
		w->memory_refusals++;
}

void
mh_sched_batch_end(
    struct mh_sched *sc, struct mh_batch *b, enum mh_batch_end end)
{
	struct sched_pool *p = mh_sched_pool_of(sc, b->pool);
	struct worker *w = mh_sched_worker_of(p, b->node);
	struct mh_node *n = mh_fleet_find(sc->f, b->node);

	b->call = NULL;
	w->in_flight -= MIN(w->in_flight, 1);
	w->overdue -= b->overdue;
	b->node_name = g_intern_string(b->node);
	mh_event(sc->k, "batch-end",
	    "batch=%" PRIu64 " node=%s end=%s "
	    "took_ms=%" PRId64 " expect_ms=%" PRId64,
	    b->id, b->node,
	    end == MH_BATCH_DONE       ? "done"
		: end == MH_BATCH_FULL ? "full"
				       : "lost",
	    mh_ms(mh_now(sc->k) - b->sent_us), mh_ms(b->expect_us));
	mh_observe(sc->k, "stage_call", mh_now(sc->k) - b->sent_us);
	if (end == MH_BATCH_DONE)
		mh_sched_learn(sc, b, w);
	if (end == MH_BATCH_DONE && n != NULL)
		mh_node_succeeded(sc->f, n, mh_now(sc->k) - b->sent_us);
	if (end == MH_BATCH_LOST && n != NULL && !b->too_long)
		mh_node_failed(sc->f, n, "stage-call-lost");
	if (end == MH_BATCH_LOST) /* the endpoint may still run it */
		w->shared_end_us = mh_now(sc->k) + SHARED_HOLD_US;
	if (end == MH_BATCH_FULL) {
		w->pause_end_us = mh_now(sc->k) + FULL_PAUSE_US;
		w->shared_end_us = mh_now(sc->k) + SHARED_HOLD_US;
	}
	if (p->trial_batch == b->id) {
		p->trial_batch = 0;
		/* finish_item() sets it again if an input is lost */
		p->shared_end_us = 0;
	}
	report_requests(sc, b, end);
	note_memory(b, w);
	sc->dispatching = true; /* no dispatch until all items are processed */
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (m->job != NULL) {
			finish_item(sc, b, w, m, end);
			continue;
		}
		mh_sched_memory_freed(w, m->result_bytes);
		if (m->result != NULL)
			sc->ops.discard(sc->ops.arg, m->result);
	}
	sc->dispatching = false;
	mh_sched_free_batch(sc, b);
	hand_off_draining(sc);
	mh_sched_dispatch_all(sc);
}

static void
note_overdue(struct mh_sched *sc, struct mh_batch *b, struct worker *w)
{
	struct mh_node *n = mh_fleet_find(sc->f, b->node);
	double ratio =
	    (double)(mh_now(sc->k) - b->sent_us) / (double)MAX(b->expect_us, 1);

	b->overdue = true;
	if (w->overdue++ == 0)
		w->overdue_us = mh_now(sc->k);
	w->slowdown = MAX(w->slowdown, ratio);
	if (n != NULL)
		mh_node_silent(sc->f, n);
	mh_count(sc->k, "batches_overdue", 1);
	mh_event(sc->k, "batch-overdue",
	    "batch=%" PRIu64 " node=%s "
	    "expect_ms=%" PRId64,
	    b->id, b->node, mh_ms(b->expect_us));
}

/* Queues the pieces of an overdue call again, for another endpoint. */
static void
requeue_pieces(struct mh_sched *sc, struct mh_batch *b)
{
	b->requeued = true;
	/* The next calls of these pieces have not read their inputs yet. */
	mh_timer_stop(sc->k, &b->read_timer);
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);
		struct stage_state *ss;

		if (m->job == NULL)
			continue;
		ss = &m->job->state->stages[m->stage];
		ss->pieces[m->piece].in_flight = false;
		ss->pieces[m->piece].inputs_read = false;
		ss->pieces[m->piece].resend = RESEND_OVERDUE;
		ss->in_flight--;
		mh_sched_recompute_freed(sc, m->job, m->stage);
	}
}

/*
 * Whether a piece of a call is in no other one.  A silent endpoint may go on,
 * so the call is not given up before, except for a job that is to be handed
 * off.
 */
static bool
is_wanted(const struct mh_batch *b)
{
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);
		const struct piece_state *ps;

		if (m->job == NULL || m->job->state->draining)
			continue;
		ps = &m->job->state->stages[m->stage].pieces[m->piece];
		if (ps->needed && (!b->requeued || !ps->in_flight))
			return true;
	}
	return false;
}

/* A call has taken so long that its answer seems lost. */
static void
note_too_long(struct mh_sched *sc, struct mh_batch *b, struct worker *w)
{
	struct mh_node *n = mh_fleet_find(sc->f, b->node);

	if (!b->too_long && n != NULL)
		mh_node_silent(sc->f, n);
	b->too_long = true;
	w->shared_end_us = mh_now(sc->k) + SHARED_HOLD_US;
	if (is_wanted(b))
		return;
	sc->ops.abort(sc->ops.arg, b);
	mh_sched_batch_end(sc, b, MH_BATCH_LOST);
}

static void
check_batches(struct mh_sched *sc)
{
	GList *all = g_hash_table_get_values(sc->batches);
	int64_t now = mh_now(sc->k);

	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_batch *b = l->data;
		struct sched_pool *p = mh_sched_pool_of(sc, b->pool);
		struct worker *w = mh_sched_worker_of(p, b->node);
		double took = (double)(now - b->sent_us - OVERDUE_GRACE_US);

		if (w->shared_end_us > now)
			took /= 2; /* another process's call may run first */
		if (now - b->sent_us > b->expect_us + POLL_AFTER_US)
			mh_sched_poll(sc, w, b->node); /* it may be lost */
		if (!b->overdue && took > OVERDUE_FACTOR * (double)b->expect_us)
			note_overdue(sc, b, w);
		if (b->overdue && !b->requeued && mh_sched_may_resend(sc, p))
			requeue_pieces(sc, b);
		else if (b->too_long ||
		    took > LOST_FACTOR * (double)b->expect_us)
			note_too_long(sc, b, w);
	}
	g_list_free(all);
}

static void
check_jobs(struct mh_sched *sc)
{
	int64_t now = mh_now(sc->k);

	for (guint i = 0; i < sc->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		if (now + mh_sched_remaining_us(j) / 2 > j->deadline_us) {
			mh_event(sc->k, "job-hopeless",
			    "id=%s left_ms=%" PRId64 " need_ms=%" PRId64, j->id,
			    mh_ms(j->deadline_us - now),
			    mh_ms(mh_sched_remaining_us(j)));
			end_job(sc, j, MH_JOB_REFUSED,
			    mh_sched_max_backlog_us(sc, j));
			continue;
		}
		if (mh_sched_is_unpaid(sc, j)) {
			mh_event(
			    sc->k, "job-failed", "id=%s why=budget", j->id);
			end_job(sc, j, MH_JOB_FAILED, 0);
			continue;
		}
		if (!j->state->misses_slo && mh_sched_misses_slo(sc, j))
			j->state->misses_slo = true;
		i++;
	}
}

bool
mh_sched_is_idle(const struct mh_sched *sc)
{
	return sc->jobs->len == 0;
}

void
mh_sched_drain(struct mh_sched *sc)
{
	for (guint i = 0; i < sc->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		j->state->draining = true;
	}
	hand_off_draining(sc);
}

static void
decay_slowdowns(struct mh_sched *sc)
{
	GHashTableIter it, wi;
	gpointer key, value;

	g_hash_table_iter_init(&it, sc->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct sched_pool *p = value;

		g_hash_table_iter_init(&wi, p->workers);
		while (g_hash_table_iter_next(&wi, &key, &value)) {
			struct worker *w = value;

			w->slowdown = 1 + (w->slowdown - 1) * SLOWDOWN_DECAY;
			w->answered_slowdown =
			    1 + (w->answered_slowdown - 1) * SLOWDOWN_DECAY;
		}
	}
}

static void
on_tick(void *arg)
{
	struct mh_sched *sc = arg;

	check_batches(sc);
	check_jobs(sc);
	hand_off_draining(sc);
	decay_slowdowns(sc);
	mh_sched_dispatch_all(sc);
	if (sc->jobs->len > 0 || g_hash_table_size(sc->batches) > 0)
		mh_timer_set(sc->k, &sc->tick, TICK_US, on_tick, sc);
}

static void
free_pool(void *arg)
{
	struct sched_pool *p = arg;

	g_hash_table_destroy(p->workers);
	if (p->nodes != NULL)
		g_ptr_array_free(p->nodes, TRUE);
	g_free(p->name);
	g_free(p);
}

struct mh_sched *
mh_sched_create(struct mh_kern *k, struct mh_fleet *f, struct mh_budget *budget,
    const struct mh_sched_ops *ops)
{
	struct mh_sched *sc = g_new0(struct mh_sched, 1);

	sc->k = k;
	sc->f = f;
	sc->budget = budget;
	sc->slices = 1;
	sc->ops = *ops;
	sc->jobs = g_ptr_array_new();
	sc->done_jobs = g_ptr_array_new();
	sc->batches = g_hash_table_new(g_int64_hash, g_int64_equal);
	sc->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	sc->factors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sc->mean_work =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return sc;
}

void
mh_sched_destroy(struct mh_sched *sc)
{
	GList *all;

	if (sc == NULL)
		return;
	mh_timer_stop(sc->k, &sc->tick);
	for (guint i = 0; i < sc->jobs->len; i++)
		free_state(g_ptr_array_index(sc->jobs, i));
	for (guint i = 0; i < sc->done_jobs->len; i++)
		free_state(g_ptr_array_index(sc->done_jobs, i));
	all = g_hash_table_get_values(sc->batches);
	for (GList *l = all; l != NULL; l = l->next)
		mh_sched_free_batch(sc, l->data);
	g_list_free(all);
	g_ptr_array_free(sc->jobs, TRUE);
	g_ptr_array_free(sc->done_jobs, TRUE);
	g_hash_table_destroy(sc->batches);
	g_hash_table_destroy(sc->pools);
	g_hash_table_destroy(sc->factors);
	g_hash_table_destroy(sc->mean_work);
	mh_gconf_unref(sc->conf);
	g_free(sc);
}

void
mh_sched_set_slice(struct mh_sched *sc, uint32_t index, uint32_t count)
{
	sc->slice = index;
	sc->slices = MAX(count, 1);
}

void
mh_sched_set_conf(struct mh_sched *sc, struct mh_gconf *conf)
{
	GHashTableIter it;
	gpointer key, value;

	mh_gconf_unref(sc->conf);
	sc->conf = mh_gconf_ref(conf);
	g_hash_table_iter_init(&it, sc->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct sched_pool *p = value;

		p->work = mh_sched_work_conf(sc, p->name);
	}
}
