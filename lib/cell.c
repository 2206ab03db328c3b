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

#include "cell.h"

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
/* A call counts as lost after this multiple of its expected time. */
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
		g_free(j->state->stages[s].made);
	g_free(j->state);
	j->state = NULL;
}

/* Removes the job from all calls and from the list of jobs. */
static void
detach(struct mh_cell *sc, struct mh_job *j)
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
end_job(
    struct mh_cell *sc, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	detach(sc, j);
	switch (end) {
	case MH_JOB_DONE:
		g_ptr_array_add(sc->ended, j);
		break;
	case MH_JOB_MOVED:
		mh_cell_hand_on(sc, j);
		free_state(j);
		break;
	case MH_JOB_REFUSED:
	case MH_JOB_FAILED:
	case MH_JOB_HELD:
		mh_cell_release(sc, j);
		break;
	}
	sc->ops.end(sc->ops.arg, j, end, retry_us);
}

void
mh_cell_held(struct mh_cell *sc, uint64_t fingerprint)
{
	for (guint i = 0; i < sc->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		if (j->print == fingerprint)
			end_job(sc, j, MH_JOB_HELD,
			    mh_poison_held_us(sc->k, fingerprint));
		else
			i++;
	}
}

void
mh_cell_release(struct mh_cell *sc, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_cell_drop_results(sc, j, s);
	g_ptr_array_remove(sc->ended, j);
	free_state(j);
}

void
mh_cell_cancel(struct mh_cell *sc, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	detach(sc, j);
	mh_cell_release(sc, j);
	mh_cell_dispatch_all(sc);
}

/*
 * A job that was handed off to us may have stages done: results that only
 * these would read are not needed.
 */
static void
skip_unneeded(struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct sstate *ss = &j->state->stages[s];

		j->state->started =
		    j->state->started || ss->left < j->stages[s].pieces;
		if (mh_job_wants(j, s))
			continue;
		ss->left = 0;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++)
			ss->made[i].need = false;
	}
}

static void
start_state(struct mh_cell *sc, struct mh_job *j)
{
	j->state = g_new0(struct mh_jstate, 1);
	j->state->stale = true;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_jstage *st = &j->stages[s];
		struct sstate *ss = &j->state->stages[s];

		ss->pool = mh_cell_pool_of(sc, st->pool);
		ss->factor = mh_cell_item_factor(sc, j->route, s);
		ss->made = g_new0(struct piece_state, MAX(st->pieces, 1));
		if (st->results == NULL) {
			st->results = g_ptr_array_new_with_free_func(g_free);
			g_ptr_array_set_size(st->results, (gint)st->pieces);
		}
		for (uint32_t i = 0; i < st->pieces; i++) {
			ss->made[i].need =
			    g_ptr_array_index(st->results, i) == NULL;
			ss->left += ss->made[i].need;
		}
	}
	skip_unneeded(j);
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_cell_know_makers(sc, j, s);
}

void
mh_cell_submit(struct mh_cell *sc, struct mh_job *j)
{
	j->cell = sc;
	start_state(sc, j);
	if (mh_cell_left_us(j) == 0) {
		g_ptr_array_add(sc->ended, j);
		sc->ops.end(sc->ops.arg, j, MH_JOB_DONE, 0);
		return;
	}
	if (mh_poison_held_us(sc->k, j->print) > 0) {
		mh_cell_release(sc, j);
		sc->ops.end(sc->ops.arg, j, MH_JOB_HELD,
		    mh_poison_held_us(sc->k, j->print));
		return;
	}
	if (!mh_cell_admit(sc, j)) {
		int64_t retry = mh_cell_room_in_us(sc, j);

		mh_count(sc->k, "jobs_refused", 1);
		mh_cell_release(sc, j);
		sc->ops.end(sc->ops.arg, j, MH_JOB_REFUSED, retry);
		return;
	}
	mh_count(sc->k, "jobs_taken", 1);
	if (!j->state->late)
		mh_cell_note_fresh(sc, j);
	if (j->moved)
		sc->moved_us = mh_now(sc->k);
	g_ptr_array_add(sc->jobs, j);
	if (sc->tick == NULL)
		sc->tick = mh_timer_start(sc->k, TICK_US, on_tick, sc);
	mh_cell_dispatch_all(sc);
}

static void
stage_done(struct mh_cell *sc, struct mh_job *j, uint32_t stage)
{
	mh_cell_drop_inputs(sc, j, stage);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (mh_cell_todo(j, s) == 0)
			continue;
		if (sc->ops.step != NULL)
			sc->ops.step(sc->ops.arg, j, stage);
		return;
	}
	end_job(sc, j, MH_JOB_DONE, 0);
}

static void
finish_item(struct mh_cell *sc, struct mh_batch *b, struct worker *w,
    struct mh_batch_item *m, enum mh_batch_end end)
{
	struct mh_job *j = m->job;
	struct sstate *ss = &j->state->stages[m->stage];
	struct piece_state *ps = &ss->made[m->piece];
	char **slot =
	    (char **)&g_ptr_array_index(j->stages[m->stage].results, m->piece);

	if (!b->doubled) {
		ps->flying = false;
		ss->flying--;
	}
	if (m->result != NULL && ps->need) {
		*slot = m->result;
		m->result = NULL;
		ps->worker = w;
		ps->node = b->node_name;
		ss->left--;
		j->state->stale = true;
		ps->need = false;
		if (ss->left == 0)
			stage_done(sc, j, m->stage);
		return;
	}
	mh_cell_give_room(w, m->bytes);
	if (m->result != NULL) { /* another call has computed the piece, and
				  * its result may be used up already */
		sc->ops.discard(sc->ops.arg, m->result);
		return;
	}
	if (m->inputs_gone) {
		w->shared_us = mh_now(sc->k) + SHARED_HOLD_US;
		if (b->freed && !mh_cell_doubts_inputs(sc, j, m->stage))
			/* they were freed before the call read them */
			ss->pool->shared_us = w->shared_us;
		mh_cell_remake_inputs(sc, j, m->stage);
	}
	if (m->no_room)
		w->pause_us = mh_now(sc->k) + MEMORY_PAUSE_US;
	if (b->doubled || !ps->need)
		return;
	if (end == MH_BATCH_FULL || m->no_room) /* the piece did not run */
		ps->tries--;
	ps->fed = false;
	if (ps->tries >= PIECE_TRIES ||
	    (end != MH_BATCH_DONE && !mh_budget_take(sc->budget, b->pool))) {
		mh_event(sc->k, "job-failed",
		    "id=%s stage=%u piece=%u tries=%u", j->id, m->stage,
		    m->piece, ps->tries);
		end_job(sc, j, MH_JOB_FAILED, 0);
		return;
	}
	mh_cell_need_inputs(sc, j, m->stage);
}

static bool
has_calls(const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->state->stages[s].flying > 0)
			return true;
	}
	return false;
}

/*
 * Hands off each draining job once none of its pieces is in a call.  If started
 * jobs stayed here until they are done, the calls of this process and those of
 * the next coordinator would queue behind each other for seconds, and inputs
 * would be freed before they are read.
 */
static void
hand_off_draining(struct mh_cell *sc)
{
	/* end() may submit the job to us again, which may end other jobs. */
	for (guint i = 0; i < sc->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		if (j->state->leaving && !has_calls(j))
			end_job(sc, j, MH_JOB_MOVED, 0);
		else
			i++;
	}
}

/* Reports the end of a call to the detection of poison requests. */
static void
report_requests(
    struct mh_cell *sc, const struct mh_batch *b, enum mh_batch_end end)
{
	const struct mh_node *n = mh_fleet_find(sc->f, b->node);

	if (end != MH_BATCH_LOST)
		mh_poison_answered(
		    sc->k, b->node, b->sent_us, n != NULL && n->born_ms == 0);
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_job *j =
		    g_array_index(b->items, struct mh_batch_item, i).job;
		struct mh_poison_end e = { b->node, b->pool,
			j == NULL ? 0 : j->print, b->sent_us, false };

		if (end == MH_BATCH_DONE && j != NULL)
			mh_poison_ran(sc->k, j->print, b->pool);
		else if (end == MH_BATCH_LOST && b->broke && n != NULL &&
		    !n->leaving)
			mh_poison_broke(sc->k, &e);
	}
}

void
mh_cell_batch_end(struct mh_cell *sc, struct mh_batch *b, enum mh_batch_end end)
{
	struct cpool *p = mh_cell_pool_of(sc, b->pool);
	struct worker *w = mh_cell_worker_of(p, b->node);
	struct mh_node *n = mh_fleet_find(sc->f, b->node);

	b->call = NULL;
	w->flying -= MIN(w->flying, 1);
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
		mh_cell_learn(sc, b, w);
	if (end == MH_BATCH_DONE && n != NULL)
		mh_node_good(sc->f, n, mh_now(sc->k) - b->sent_us);
	if (end == MH_BATCH_LOST && n != NULL)
		mh_node_bad(sc->f, n, "stage-call-lost");
	if (end == MH_BATCH_LOST) /* the endpoint may still run it */
		w->shared_us = mh_now(sc->k) + SHARED_HOLD_US;
	if (end == MH_BATCH_FULL) {
		w->pause_us = mh_now(sc->k) + FULL_PAUSE_US;
		w->shared_us = mh_now(sc->k) + SHARED_HOLD_US;
	}
	if (p->trying == b->id) {
		p->trying = 0;
		/* finish_item() sets it again if an input is lost */
		p->shared_us = 0;
	}
	report_requests(sc, b, end);
	sc->dispatching = true; /* no dispatch until all items are processed */
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (m->job != NULL) {
			finish_item(sc, b, w, m, end);
			continue;
		}
		mh_cell_give_room(w, m->bytes);
		if (m->result != NULL)
			sc->ops.discard(sc->ops.arg, m->result);
	}
	sc->dispatching = false;
	mh_cell_free_batch(sc, b);
	hand_off_draining(sc);
	mh_cell_dispatch_all(sc);
}

/* Queues the pieces of an overdue call again, for another endpoint. */
static void
requeue_pieces(struct mh_cell *sc, struct mh_batch *b)
{
	struct worker *w =
	    mh_cell_worker_of(mh_cell_pool_of(sc, b->pool), b->node);
	struct mh_node *n = mh_fleet_find(sc->f, b->node);
	double ratio =
	    (double)(mh_now(sc->k) - b->sent_us) / (double)MAX(b->expect_us, 1);

	w->slow = MAX(w->slow, ratio);
	if (n != NULL)
		mh_node_bad(sc->f, n, "stage-call-overdue");
	b->doubled = true;
	/* The next calls of these pieces have not read their inputs yet. */
	mh_timer_stop(sc->k, &b->fed);
	mh_count(sc->k, "batches_overdue", 1);
	mh_event(sc->k, "batch-overdue",
	    "batch=%" PRIu64 " node=%s "
	    "expect_ms=%" PRId64,
	    b->id, b->node, mh_ms(b->expect_us));
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);
		struct sstate *ss;

		if (m->job == NULL)
			continue;
		ss = &m->job->state->stages[m->stage];
		ss->made[m->piece].flying = false;
		ss->made[m->piece].fed = false;
		ss->flying--;
		mh_cell_need_inputs(sc, m->job, m->stage);
		mh_budget_take(sc->budget, b->pool);
	}
}

static void
check_batches(struct mh_cell *sc)
{
	GList *all = g_hash_table_get_values(sc->batches);
	int64_t now = mh_now(sc->k);

	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_batch *b = l->data;
		struct worker *w =
		    mh_cell_worker_of(mh_cell_pool_of(sc, b->pool), b->node);
		double took = (double)(now - b->sent_us - OVERDUE_GRACE_US);

		if (w->shared_us > now)
			took /= 2; /* another process's call may run first */
		if (now - b->sent_us > b->expect_us + POLL_AFTER_US)
			mh_cell_ask(sc, w, b->node); /* it may be lost */
		if (!b->doubled && took > OVERDUE_FACTOR * (double)b->expect_us)
			requeue_pieces(sc, b);
		else if (took > LOST_FACTOR * (double)b->expect_us) {
			sc->ops.abort(sc->ops.arg, b);
			mh_cell_batch_end(sc, b, MH_BATCH_LOST);
		}
	}
	g_list_free(all);
}

static void
check_jobs(struct mh_cell *sc)
{
	int64_t now = mh_now(sc->k);

	for (guint i = 0; i < sc->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		if (now + mh_cell_left_us(j) / 2 > j->deadline_us) {
			mh_event(sc->k, "job-hopeless",
			    "id=%s left_ms=%" PRId64 " need_ms=%" PRId64, j->id,
			    mh_ms(j->deadline_us - now),
			    mh_ms(mh_cell_left_us(j)));
			end_job(
			    sc, j, MH_JOB_REFUSED, mh_cell_room_in_us(sc, j));
			continue;
		}
		if (!j->state->late && mh_cell_is_late(sc, j))
			j->state->late = true;
		i++;
	}
}

bool
mh_cell_idle(const struct mh_cell *sc)
{
	return sc->jobs->len == 0;
}

void
mh_cell_leave(struct mh_cell *sc)
{
	for (guint i = 0; i < sc->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		j->state->leaving = true;
	}
	hand_off_draining(sc);
}

static void
decay_slowdowns(struct mh_cell *sc)
{
	GHashTableIter it, wi;
	gpointer key, value;

	g_hash_table_iter_init(&it, sc->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cpool *p = value;

		g_hash_table_iter_init(&wi, p->workers);
		while (g_hash_table_iter_next(&wi, &key, &value)) {
			struct worker *w = value;

			w->slow = 1 + (w->slow - 1) * SLOWDOWN_DECAY;
		}
	}
}

static void
on_tick(void *arg)
{
	struct mh_cell *sc = arg;

	sc->tick = NULL;
	check_batches(sc);
	check_jobs(sc);
	hand_off_draining(sc);
	decay_slowdowns(sc);
	mh_cell_dispatch_all(sc);
	if (sc->jobs->len > 0 || g_hash_table_size(sc->batches) > 0)
		sc->tick = mh_timer_start(sc->k, TICK_US, on_tick, sc);
}

static void
free_pool(void *arg)
{
	struct cpool *p = arg;

	g_hash_table_destroy(p->workers);
	if (p->nodes != NULL)
		g_ptr_array_free(p->nodes, TRUE);
	g_free(p->name);
	g_free(p);
}

struct mh_cell *
mh_cell_create(struct mh_kern *k, struct mh_fleet *f, struct mh_budget *budget,
    const struct mh_cell_ops *ops)
{
	struct mh_cell *sc = g_new0(struct mh_cell, 1);

	sc->k = k;
	sc->f = f;
	sc->budget = budget;
	sc->slices = 1;
	sc->ops = *ops;
	sc->jobs = g_ptr_array_new();
	sc->ended = g_ptr_array_new();
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
mh_cell_destroy(struct mh_cell *sc)
{
	GList *all;

	if (sc == NULL)
		return;
	mh_timer_stop(sc->k, &sc->tick);
	for (guint i = 0; i < sc->jobs->len; i++)
		free_state(g_ptr_array_index(sc->jobs, i));
	for (guint i = 0; i < sc->ended->len; i++)
		free_state(g_ptr_array_index(sc->ended, i));
	all = g_hash_table_get_values(sc->batches);
	for (GList *l = all; l != NULL; l = l->next)
		mh_cell_free_batch(sc, l->data);
	g_list_free(all);
	g_ptr_array_free(sc->jobs, TRUE);
	g_ptr_array_free(sc->ended, TRUE);
	g_hash_table_destroy(sc->batches);
	g_hash_table_destroy(sc->pools);
	g_hash_table_destroy(sc->factors);
	g_hash_table_destroy(sc->mean_work);
	mh_gconf_unref(sc->conf);
	g_free(sc);
}

void
mh_cell_slice(struct mh_cell *sc, uint32_t index, uint32_t count)
{
	sc->slice = index;
	sc->slices = MAX(count, 1);
}

void
mh_cell_conf(struct mh_cell *sc, struct mh_gconf *conf)
{
	GHashTableIter it;
	gpointer key, value;

	mh_gconf_unref(sc->conf);
	sc->conf = mh_gconf_ref(conf);
	g_hash_table_iter_init(&it, sc->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cpool *p = value;

		p->work = mh_cell_work_of(sc, p->name);
	}
}
