/**
 * DOC: The stage work of many requests, batched.
 *
 * A call to a stage endpoint costs the same whatever it holds, so pieces of
 * all entries meet here and full calls carry the load.  An endpoint gets its
 * next call when the one before has ended: the batch is chosen as late as
 * possible, from what is most pressing then.  Pieces wait by least slack: the
 * time until the aim less the work that is still to come.  A job that can no
 * longer meet its aim goes behind all that can; one that cannot meet its
 * deadline ends at once.
 */

#include "cell.h"

#include <string.h>

/* Jobs are looked at this often for deadlines, calls for being overdue. */
#define TICK_US (25 * MH_US_PER_MS)
/*
 * A call is overdue at this multiple of its expected time and a grace for
 * the way there and back; its pieces are then given to another endpoint.
 */
#define OVERDUE_FACTOR 1.6
#define OVERDUE_GRACE_US (80 * MH_US_PER_MS)
/*
 * An endpoint is asked whether it is still at a call that takes this much
 * longer than expected: nine calls of ten end within 40 ms of it.
 */
#define ASK_AFTER_US (100 * MH_US_PER_MS)
/* Calls that never end are given up at this multiple. */
#define LOST_FACTOR 8.0
/* A full endpoint is asked again after this. */
#define FULL_PAUSE_US (150 * MH_US_PER_MS)
/* Beliefs fade so that a mended endpoint is tried again, a factor a tick. */
#define SLOW_FADE 0.995
/* Times that one piece may be made before its job is given up. */
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

/* Takes the job out of every call and list. */
static void
detach(struct mh_cell *c, struct mh_job *j)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, c->batches);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_batch *b = value;

		for (guint i = 0; i < b->items->len; i++) {
			struct mh_batch_item *m =
			    &g_array_index(b->items, struct mh_batch_item, i);

			if (m->job == j)
				m->job = NULL;
		}
	}
	g_ptr_array_remove(c->jobs, j);
}

static void
end_job(
    struct mh_cell *c, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	detach(c, j);
	switch (end) {
	case MH_JOB_DONE:
		g_ptr_array_add(c->ended, j);
		break;
	case MH_JOB_MOVED:
		mh_cell_hand_on(c, j);
		free_state(j);
		break;
	case MH_JOB_REFUSED:
	case MH_JOB_FAILED:
	case MH_JOB_HELD:
		mh_cell_release(c, j);
		break;
	}
	c->ops.end(c->ops.arg, j, end, retry_us);
}

void
mh_cell_held(struct mh_cell *c, uint64_t print)
{
	for (guint i = 0; i < c->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		if (j->print == print)
			end_job(
			    c, j, MH_JOB_HELD, mh_poison_held_us(c->k, print));
		else
			i++;
	}
}

void
mh_cell_release(struct mh_cell *c, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_cell_drop_results(c, j, s);
	g_ptr_array_remove(c->ended, j);
	free_state(j);
}

void
mh_cell_cancel(struct mh_cell *c, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	detach(c, j);
	mh_cell_release(c, j);
	mh_cell_dispatch_all(c);
}

/* A job that another cell began: what its made stages read is not wanted. */
static void
skip_read(struct mh_job *j)
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
start_state(struct mh_cell *c, struct mh_job *j)
{
	j->state = g_new0(struct mh_jstate, 1);
	j->state->stale = true;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_jstage *st = &j->stages[s];
		struct sstate *ss = &j->state->stages[s];

		ss->pool = mh_cell_pool_of(c, st->pool);
		ss->factor = mh_cell_item_factor(c, j->route, s);
		ss->made = g_new0(struct made, MAX(st->pieces, 1));
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
	skip_read(j);
	for (uint32_t s = 0; s < j->n_stages; s++)
		mh_cell_know_makers(c, j, s);
}

void
mh_cell_submit(struct mh_cell *c, struct mh_job *j)
{
	j->cell = c;
	start_state(c, j);
	if (mh_cell_left_us(j) == 0) {
		g_ptr_array_add(c->ended, j);
		c->ops.end(c->ops.arg, j, MH_JOB_DONE, 0);
		return;
	}
	if (mh_poison_held_us(c->k, j->print) > 0) {
		mh_cell_release(c, j);
		c->ops.end(c->ops.arg, j, MH_JOB_HELD,
		    mh_poison_held_us(c->k, j->print));
		return;
	}
	if (!mh_cell_admit(c, j)) {
		int64_t retry = mh_cell_room_in_us(c, j);

		mh_count(c->k, "jobs_refused", 1);
		mh_cell_release(c, j);
		c->ops.end(c->ops.arg, j, MH_JOB_REFUSED, retry);
		return;
	}
	mh_count(c->k, "jobs_taken", 1);
	if (!j->state->late)
		mh_cell_note_fresh(c, j);
	if (j->moved)
		c->moved_us = mh_now(c->k);
	g_ptr_array_add(c->jobs, j);
	if (c->tick == NULL)
		c->tick = mh_timer_start(c->k, TICK_US, on_tick, c);
	mh_cell_dispatch_all(c);
}

static void
stage_done(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	mh_cell_drop_inputs(c, j, stage);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (mh_cell_todo(j, s) == 0)
			continue;
		if (c->ops.step != NULL)
			c->ops.step(c->ops.arg, j, stage);
		return;
	}
	end_job(c, j, MH_JOB_DONE, 0);
}

static void
take_item(struct mh_cell *c, struct mh_batch *b, struct worker *w,
    struct mh_batch_item *m, enum mh_batch_end end)
{
	struct mh_job *j = m->job;
	struct sstate *ss = &j->state->stages[m->stage];
	struct made *md = &ss->made[m->piece];
	char **slot =
	    (char **)&g_ptr_array_index(j->stages[m->stage].results, m->piece);

	if (!b->doubled) {
		md->flying = false;
		ss->flying--;
	}
	if (m->result != NULL && md->need) {
		*slot = m->result;
		m->result = NULL;
		md->worker = w;
		md->node = b->node_name;
		ss->left--;
		j->state->stale = true;
		md->need = false;
		if (ss->left == 0)
			stage_done(c, j, m->stage);
		return;
	}
	mh_cell_give_room(w, m->bytes);
	if (m->result != NULL) { /* the other one of a pair was faster, or
				  * it has been used already */
		c->ops.discard(c->ops.arg, m->result);
		return;
	}
	if (m->inputs_gone) {
		w->shared_us = mh_now(c->k) + SHARED_US;
		if (b->freed && !mh_cell_doubts_inputs(c, j, m->stage))
			ss->pool->shared_us = w->shared_us; /* freed too soon */
		mh_cell_remake_inputs(c, j, m->stage);
	}
	if (m->no_room)
		w->pause_us = mh_now(c->k) + ROOM_PAUSE_US;
	if (b->doubled || !md->need)
		return;
	if (end == MH_BATCH_FULL || m->no_room) /* nothing was made */
		md->tries--;
	md->fed = false;
	if (md->tries >= PIECE_TRIES ||
	    (end != MH_BATCH_DONE && !mh_budget_take(c->budget, b->pool))) {
		mh_event(c->k, "job-failed", "id=%s stage=%u piece=%u tries=%u",
		    j->id, m->stage, m->piece, md->tries);
		end_job(c, j, MH_JOB_FAILED, 0);
		return;
	}
	mh_cell_need_inputs(c, j, m->stage);
}

static bool
in_a_call(const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->state->stages[s].flying > 0)
			return true;
	}
	return false;
}

/*
 * Begun work stayed with a leaving process to its end.  Its calls and those of
 * the next home queued behind each other for seconds, and inputs were freed
 * before they were read.  Only what is in a call is still waited for.
 */
static void
move_leaving(struct mh_cell *c)
{
	/* One with nowhere else to go comes back here, and may end others. */
	for (guint i = 0; i < c->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		if (j->state->leaving && !in_a_call(j))
			end_job(c, j, MH_JOB_MOVED, 0);
		else
			i++;
	}
}

/* What the end of a call says of the requests that were in it. */
static void
note_requests(
    struct mh_cell *c, const struct mh_batch *b, enum mh_batch_end end)
{
	const struct mh_node *n = mh_fleet_find(c->f, b->node);

	if (end != MH_BATCH_LOST)
		mh_poison_answered(
		    c->k, b->node, b->sent_us, n != NULL && n->born_ms == 0);
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_job *j =
		    g_array_index(b->items, struct mh_batch_item, i).job;
		struct mh_poison_end e = { b->node, b->pool,
			j == NULL ? 0 : j->print, b->sent_us, false };

		if (end == MH_BATCH_DONE && j != NULL)
			mh_poison_ran(c->k, j->print, b->pool);
		else if (end == MH_BATCH_LOST && b->broke && n != NULL &&
		    !n->leaving)
			mh_poison_broke(c->k, &e);
	}
}

void
mh_cell_batch_end(struct mh_cell *c, struct mh_batch *b, enum mh_batch_end end)
{
	struct cpool *p = mh_cell_pool_of(c, b->pool);
	struct worker *w = mh_cell_worker_of(p, b->node);
	struct mh_node *n = mh_fleet_find(c->f, b->node);

	b->call = NULL;
	w->flying -= MIN(w->flying, 1);
	b->node_name = g_intern_string(b->node);
	mh_event(c->k, "batch-end",
	    "batch=%" PRIu64 " node=%s end=%s "
	    "took_ms=%" PRId64 " expect_ms=%" PRId64,
	    b->id, b->node,
	    end == MH_BATCH_DONE       ? "done"
		: end == MH_BATCH_FULL ? "full"
				       : "lost",
	    mh_ms(mh_now(c->k) - b->sent_us), mh_ms(b->expect_us));
	mh_observe(c->k, "stage_call", mh_now(c->k) - b->sent_us);
	if (end == MH_BATCH_DONE)
		mh_cell_learn(c, b, w);
	if (end == MH_BATCH_DONE && n != NULL)
		mh_node_good(c->f, n, mh_now(c->k) - b->sent_us);
	if (end == MH_BATCH_LOST && n != NULL)
		mh_node_bad(c->f, n, "stage-call-lost");
	if (end == MH_BATCH_LOST) /* it may still be worked on */
		w->shared_us = mh_now(c->k) + SHARED_US;
	if (end == MH_BATCH_FULL) {
		w->pause_us = mh_now(c->k) + FULL_PAUSE_US;
		w->shared_us = mh_now(c->k) + SHARED_US;
	}
	if (p->trying == b->id) {
		p->trying = 0;
		p->shared_us = 0; /* unless an input is gone, see take_item() */
	}
	note_requests(c, b, end);
	c->dispatching = true; /* not before every item is back */
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (m->job != NULL) {
			take_item(c, b, w, m, end);
			continue;
		}
		mh_cell_give_room(w, m->bytes);
		if (m->result != NULL)
			c->ops.discard(c->ops.arg, m->result);
	}
	c->dispatching = false;
	mh_cell_free_batch(c, b);
	move_leaving(c);
	mh_cell_dispatch_all(c);
}

/* Gives the pieces of an overdue call to another endpoint as well. */
static void
double_up(struct mh_cell *c, struct mh_batch *b)
{
	struct worker *w =
	    mh_cell_worker_of(mh_cell_pool_of(c, b->pool), b->node);
	struct mh_node *n = mh_fleet_find(c->f, b->node);
	double ratio =
	    (double)(mh_now(c->k) - b->sent_us) / (double)MAX(b->expect_us, 1);

	w->slow = MAX(w->slow, ratio);
	if (n != NULL)
		mh_node_bad(c->f, n, "stage-call-overdue");
	b->doubled = true;
	/* What it has read says nothing of the calls that follow. */
	mh_timer_stop(c->k, &b->fed);
	mh_count(c->k, "batches_overdue", 1);
	mh_event(c->k, "batch-overdue",
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
		mh_cell_need_inputs(c, m->job, m->stage);
		mh_budget_take(c->budget, b->pool);
	}
}

static void
check_batches(struct mh_cell *c)
{
	GList *all = g_hash_table_get_values(c->batches);
	int64_t now = mh_now(c->k);

	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_batch *b = l->data;
		struct worker *w =
		    mh_cell_worker_of(mh_cell_pool_of(c, b->pool), b->node);
		double took = (double)(now - b->sent_us - OVERDUE_GRACE_US);

		if (w->shared_us > now)
			took /= 2; /* another's call goes before ours */
		if (now - b->sent_us > b->expect_us + ASK_AFTER_US)
			mh_cell_ask(c, w, b->node); /* is it lost? */
		if (!b->doubled && took > OVERDUE_FACTOR * (double)b->expect_us)
			double_up(c, b);
		else if (took > LOST_FACTOR * (double)b->expect_us) {
			c->ops.abort(c->ops.arg, b);
			mh_cell_batch_end(c, b, MH_BATCH_LOST);
		}
	}
	g_list_free(all);
}

static void
check_jobs(struct mh_cell *c)
{
	int64_t now = mh_now(c->k);

	for (guint i = 0; i < c->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		if (now + mh_cell_left_us(j) / 2 > j->deadline_us) {
			mh_event(c->k, "job-hopeless",
			    "id=%s left_ms=%" PRId64 " need_ms=%" PRId64, j->id,
			    mh_ms(j->deadline_us - now),
			    mh_ms(mh_cell_left_us(j)));
			end_job(c, j, MH_JOB_REFUSED, mh_cell_room_in_us(c, j));
			continue;
		}
		if (!j->state->late && mh_cell_is_late(c, j))
			j->state->late = true;
		i++;
	}
}

bool
mh_cell_idle(const struct mh_cell *c)
{
	return c->jobs->len == 0;
}

void
mh_cell_leave(struct mh_cell *c)
{
	for (guint i = 0; i < c->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		j->state->leaving = true;
	}
	move_leaving(c);
}

static void
fade(struct mh_cell *c)
{
	GHashTableIter it, wi;
	gpointer key, value;

	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cpool *p = value;

		g_hash_table_iter_init(&wi, p->workers);
		while (g_hash_table_iter_next(&wi, &key, &value)) {
			struct worker *w = value;

			w->slow = 1 + (w->slow - 1) * SLOW_FADE;
		}
	}
}

static void
on_tick(void *arg)
{
	struct mh_cell *c = arg;

	c->tick = NULL;
	check_batches(c);
	check_jobs(c);
	move_leaving(c);
	fade(c);
	mh_cell_dispatch_all(c);
	if (c->jobs->len > 0 || g_hash_table_size(c->batches) > 0)
		c->tick = mh_timer_start(c->k, TICK_US, on_tick, c);
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
	struct mh_cell *c = g_new0(struct mh_cell, 1);

	c->k = k;
	c->f = f;
	c->budget = budget;
	c->slices = 1;
	c->ops = *ops;
	c->jobs = g_ptr_array_new();
	c->ended = g_ptr_array_new();
	c->batches = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	c->factors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->mean_work =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void
mh_cell_destroy(struct mh_cell *c)
{
	GList *all;

	if (c == NULL)
		return;
	mh_timer_stop(c->k, &c->tick);
	for (guint i = 0; i < c->jobs->len; i++)
		free_state(g_ptr_array_index(c->jobs, i));
	for (guint i = 0; i < c->ended->len; i++)
		free_state(g_ptr_array_index(c->ended, i));
	all = g_hash_table_get_values(c->batches);
	for (GList *l = all; l != NULL; l = l->next)
		mh_cell_free_batch(c, l->data);
	g_list_free(all);
	g_ptr_array_free(c->jobs, TRUE);
	g_ptr_array_free(c->ended, TRUE);
	g_hash_table_destroy(c->batches);
	g_hash_table_destroy(c->pools);
	g_hash_table_destroy(c->factors);
	g_hash_table_destroy(c->mean_work);
	mh_gconf_unref(c->conf);
	g_free(c);
}

void
mh_cell_slice(struct mh_cell *c, uint32_t index, uint32_t count)
{
	c->slice = index;
	c->slices = MAX(count, 1);
}

void
mh_cell_conf(struct mh_cell *c, struct mh_gconf *conf)
{
	GHashTableIter it;
	gpointer key, value;

	mh_gconf_unref(c->conf);
	c->conf = mh_gconf_ref(conf);
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cpool *p = value;

		p->work = mh_cell_work_of(c, p->name);
	}
}
