/**
 * DOC: One request from its arrival to its end.
 *
 * The gateway decides; an adapter decodes requests and answers and moves their
 * bytes.  Every request ends in exactly one way: a complete answer, an answer
 * that visibly breaks off, or a refusal that states correctly whether it may
 * have run.  A request that may run only once is retried only if the endpoint
 * states that it did not run it, or if no byte of it was sent.
 */

#include "gateint.h"

#include <string.h>

/* Endpoints that one request is sent to, also those that did not run it. */
#define MAX_TRIES 4
/* Times that its stage work may be submitted, besides once for each run. */
#define EXTRA_JOBS 2
/*
 * A repeatable request without an answer goes to another endpoint after this
 * part of the latency objective: late enough to be rare, early enough for the
 * other endpoint to meet the objective.
 */
#define SILENCE_SLO_RATIO 0.55
/* At least this long for streams: all engines may be slow to begin one. */
#define STREAM_SILENCE_MIN_US (1200 * MH_US_PER_MS)
/* A stream hangs if it pauses for this many times the longest pause that its
 * route allows, and for at least GAP_MIN_US. */
#define GAP_FACTOR 2
#define GAP_MIN_US (1600 * MH_US_PER_MS)
/* Least time until a refused caller is to return; the spread keeps callers
 * from returning together. */
#define RETRY_MIN_US (150 * MH_US_PER_MS)
#define RETRY_SPREAD 0.5
/* With less time remaining, an endpoint can't produce an answer. */
#define REMAINING_MIN_US (20 * MH_US_PER_MS)

struct mh_greq *
mh_greq_create(const char *id)
{
	struct mh_greq *q = g_new0(struct mh_greq, 1);

	q->id = g_strdup(id);
	return q;
}

void
mh_greq_destroy(struct mh_greq *q)
{
	if (q == NULL)
		return;
	for (uint32_t i = 0; i < q->n_tried; i++)
		g_free(q->tried[i]);
	mh_cursor_destroy(q->cursor);
	mh_job_destroy(q->job);
	mh_gconf_unref(q->conf);
	g_free(q->inputs);
	g_free(q->id);
	g_free(q->host);
	g_free(q->key);
	g_free(q->piece_key);
	g_free(q->resume_after);
	g_free(q->resumes);
	g_free(q->confirm_node);
	mh_gate_forget_mute(q);
	g_free(q->slot_node);
	g_free(q);
}

/* tries */

static void
free_try(struct mh_try *t)
{
	if (t == NULL)
		return;
	mh_sse_destroy(t->events);
	g_free(t->node);
	g_free(t->name);
	g_free(t->addr);
	g_free(t->resume_after);
	g_free(t);
}

void
mh_gate_end_try(struct mh_gate *g, struct mh_try *t, bool abort)
{
	struct mh_node *n = mh_fleet_find(g->f, t->node);

	if (n != NULL && n->inflight > 0)
		n->inflight--;
	if (t->question != NULL)
		g->ops.unconfirm(g->ops.jobs, t->question);
	if (abort)
		g->ops.abort(g->ops.arg, t);
	free_try(t);
}

static void
close_try(struct mh_gate *g, struct mh_greq *q, bool abort)
{
	struct mh_try *t = q->cur;

	if (t == NULL)
		return;
	q->cur = NULL;
	mh_gate_end_try(g, t, abort);
}

void
mh_gate_stop_search(struct mh_gate *g, struct mh_greq *q)
{
	mh_gate_release_job(g, q);
	mh_gate_wait_stop(g, q);
}

void
mh_gate_close(struct mh_gate *g, struct mh_greq *q, bool abort)
{
	close_try(g, q, abort);
	mh_gate_end_all_silent(g, q);
	mh_gate_stop_search(g, q);
	q->state = MH_GREQ_ENDED;
	mh_timer_stop(g->k, &q->expiry_timer);
	mh_timer_stop(g->k, &q->silence_timer);
	g_hash_table_remove(g->requests, q);
}

void
mh_gate_refuse(struct mh_gate *g, struct mh_greq *q, enum mh_gate_refusal why,
    int64_t retry_us)
{
	bool later = why == MH_NOT_READY || why == MH_TOO_BUSY ||
	    why == MH_NO_ENDPOINT || why == MH_NOT_IN_TIME ||
	    why == MH_QUARANTINED;

	if (mh_gate_fall_back(g, q, why, retry_us))
		return;
	if (later) {
		retry_us = MAX(retry_us, RETRY_MIN_US);
		retry_us += (int64_t)((double)retry_us * RETRY_SPREAD *
		    mh_random_unit(g->k));
	} else {
		retry_us = 0;
	}
	mh_gate_log_end(g, q, mh_gate_refusal_name(why), retry_us);
	mh_count(g->k, mh_gate_refusal_name(why), 1);
	mh_gate_close(g, q, true);
	if (q->head_forwarded)
		g->ops.break_off(g->ops.arg, q);
	else
		g->ops.refuse(g->ops.arg, q, why, retry_us);
}

/* The endpoint may have begun to work on it. */
void
mh_gate_count_run(struct mh_greq *q, struct mh_try *t)
{
	if (!t->counted)
		q->runs++;
	t->counted = true;
}

/* It has not run the request, though it was silent for long. */
static void
uncount_run(struct mh_greq *q, struct mh_try *t)
{
	if (t->counted)
		q->runs--;
	t->counted = false;
}

bool
mh_gate_may_retry(const struct mh_greq *q)
{
	uint32_t runs = q->runs;

	if (q->cur != NULL && !q->cur->counted)
		runs++;
	return q->route->repeat != MH_REPEAT_NEVER && runs < q->route->attempts;
}

static bool
may_go_elsewhere(const struct mh_greq *q)
{
	return mh_gate_may_retry(q) && q->n_tried < MAX_TRIES &&
	    mh_gate_can_resume(q);
}

/* Whether it may go to another endpoint now; counts against the budget. */
static bool
take_retry(struct mh_gate *g, const struct mh_greq *q)
{
	return may_go_elsewhere(q) && mh_budget_take(g->budget, q->pool);
}

/* Retries at another endpoint if that is allowed; else refuses. */
static void
retry_or_refuse(struct mh_gate *g, struct mh_greq *q, enum mh_gate_refusal why)
{
	if (!take_retry(g, q)) {
		mh_gate_refuse(g, q, why, 0);
		return;
	}
	mh_count(g->k, "repeats", 1);
	mh_gate_try_next(g, q);
}

void
mh_gate_set_silence_timer(struct mh_gate *g, struct mh_greq *q, int64_t us)
{
	mh_timer_set(g->k, &q->silence_timer, us, mh_gate_on_silence, q);
}

static int64_t
silence_us(const struct mh_greq *q)
{
	int64_t us = (int64_t)((double)q->route->slo_us * SILENCE_SLO_RATIO);

	return q->route->stream ? MAX(us, STREAM_SILENCE_MIN_US) : us;
}

void
mh_gate_watch(struct mh_gate *g, struct mh_greq *q)
{
	int64_t us = silence_us(q);

	if (q->route->stream && q->state == MH_GREQ_ANSWERING)
		us = MAX(GAP_FACTOR * q->route->gap_slo_us, GAP_MIN_US);
	if (mh_gate_may_retry(q))
		mh_gate_set_silence_timer(g, q, us);
}

void
mh_gate_fill_place(
    struct mh_gate *g, const struct mh_greq *q, struct mh_place_request *a)
{
	const struct mh_gpool *p = mh_gconf_pool(q->conf, q->pool);

	a->pool = q->pool;
	a->version = q->version;
	a->sure = q->version != 0 && g->ops.confirm == NULL;
	a->confirmed = q->confirm_node;
	if (p != NULL)
		a->inflight_max = MAX(p->max_conns / MAX(g->entries, 1), 1);
	a->cold_per_s = p == NULL ? 0 : p->cold_per_s;
	a->slot_node = q->slot_node;
	a->wait_deadline_us =
	    MIN(q->slo_by_us, mh_gate_limit_us(g, q) - REMAINING_MIN_US);
	a->domain = g->domain;
	a->n_parts = q->n_parts;
	memcpy(a->parts, q->parts, sizeof(a->parts));
	a->isolation_hash =
	    mh_poison_isolation_hash(g->k, q->fingerprint, q->pool);
	a->n_tried = q->n_tried;
	for (uint32_t i = 0; i < q->n_tried; i++)
		a->tried[i] = q->tried[i];
	for (uint32_t i = 0; i < q->n_mute && a->n_tried < MH_TRIED_MAX; i++)
		a->tried[a->n_tried++] = q->mute[i];
}

/*
 * Time until an endpoint of its pool takes a request again; 0: one does now, or
 * the pool has none.
 */
static int64_t
closed_us(struct mh_gate *g, const struct mh_greq *q)
{
	struct mh_place_request a = { 0 };

	mh_gate_fill_place(g, q, &a);
	a.n_tried = 0;
	if (mh_place_next_us(g->place, &a) <= mh_now(g->k))
		return 0;
	return a.retry_us;
}

static bool
is_open_at(const struct mh_try *t, const char *endpoint, int64_t us)
{
	return t->sent_us < us && strcmp(t->node, endpoint) == 0;
}

bool
mh_gate_open_at(const struct mh_gate *g, const char *endpoint, int64_t us)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct mh_greq *q = key;

		if (q->cur != NULL && is_open_at(q->cur, endpoint, us))
			return true;
		for (uint32_t i = 0; i < q->n_silent; i++) {
			if (is_open_at(q->silent[i], endpoint, us))
				return true;
		}
	}
	return false;
}

static bool
may_start_job(const struct mh_greq *q)
{
	return q->n_jobs < q->runs + EXTRA_JOBS;
}

/* Whether the results of its stages were freed after an engine read them. */
static bool
inputs_freed(const struct mh_greq *q)
{
	return q->inputs != NULL && *q->inputs != '\0' && q->job == NULL;
}

bool
mh_gate_has_other(struct mh_gate *g, const struct mh_greq *q)
{
	struct mh_place_request a = { 0 };

	if (!may_go_elsewhere(q) || (inputs_freed(q) && !may_start_job(q)) ||
	    !mh_budget_allows(g->budget, q->pool))
		return false;
	mh_gate_fill_place(g, q, &a);
	return mh_place_look(g->place, &a) != NULL;
}

/* No endpoint can take it now; waits if a cold one can soon enough. */
static void
wait_or_refuse(
    struct mh_gate *g, struct mh_greq *q, const struct mh_place_request *a)
{
	bool waits =
	    a->wait_us > 0 && mh_now(g->k) + a->wait_us <= a->wait_deadline_us;
	const uint32_t *n = a->held_back;

	if (n[MH_NEED_LEAVES] + n[MH_NEED_RESTS] + n[MH_NEED_LIMITS] > 0)
		mh_event(g->k, "held-back",
		    "id=%s pool=%s leaving=%u rest=%u limit=%u waits=%d "
		    "retry_ms=%" PRId64,
		    q->id, q->pool, n[MH_NEED_LEAVES], n[MH_NEED_RESTS],
		    n[MH_NEED_LIMITS], waits, mh_ms(a->retry_us));

	if (!waits) {
		mh_gate_refuse(g, q,
		    q->runs > 0 ? MH_RUN_FAILED : MH_NO_ENDPOINT, a->retry_us);
		return;
	}
	mh_count(g->k, "waits_for_slot", 1);
	mh_event(g->k, "slot-wait", "id=%s pool=%s node=%s wait_ms=%" PRId64,
	    q->id, q->pool, a->wait_node == NULL ? "" : a->wait_node,
	    mh_ms(a->wait_us));
	g_free(q->slot_node);
	q->slot_node = g_strdup(a->wait_node);
	mh_gate_wait_for_us(g, q, MH_WAIT_SLOT, a->wait_us);
}

void
mh_gate_try_next(struct mh_gate *g, struct mh_greq *q)
{
	struct mh_place_request a = { 0 };
	struct mh_node *n;
	struct mh_try *t;

	mh_gate_wait_stop(g, q);
	if (mh_gate_refuse_quarantined(g, q))
		return;
	if (mh_gate_limit_us(g, q) - mh_now(g->k) < REMAINING_MIN_US) {
		mh_gate_out_of_time(g, q);
		return;
	}
	/* Where its stream began is not known, so it can go on nowhere. */
	if (q->version == MH_VERSION_UNSURE) {
		mh_gate_refuse(
		    g, q, q->runs > 0 ? MH_RUN_FAILED : MH_NO_ENDPOINT, 0);
		return;
	}
	/* No endpoint can run it without its inputs: compute them again. */
	if (inputs_freed(q) && may_start_job(q)) {
		mh_gate_start_job(g, q);
		return;
	}
	if (inputs_freed(q)) {
		mh_gate_refuse(
		    g, q, q->runs > 0 ? MH_RUN_FAILED : MH_NO_ENDPOINT, 0);
		return;
	}
	mh_gate_fill_place(g, q, &a);
	n = q->n_tried < MAX_TRIES ? mh_place_pick(g->place, &a) : NULL;
	if (n == NULL) {
		if (!mh_gate_wait_for_version(g, q))
			wait_or_refuse(g, q, &a);
		return;
	}
	if (mh_gate_must_confirm(g, q, n))
		return;
	if (q->owes_retry && !mh_budget_take(g->budget, q->pool)) {
		mh_gate_refuse(
		    g, q, q->runs > 0 ? MH_RUN_FAILED : MH_TOO_BUSY, 0);
		return;
	}
	q->owes_retry = false;
	g_clear_pointer(&q->slot_node, g_free);
	t = g_new0(struct mh_try, 1);
	t->req = q;
	t->node = g_strdup(n->id);
	t->name = g_strdup(n->name);
	t->addr = g_strdup(n->addr);
	t->sent_us = mh_now(g->k);
	t->remaining_us = q->expires_us - mh_now(g->k);
	t->version = n->version_key;
	t->in_doubt = mh_node_in_doubt(g->f, n);
	t->new_conn = q->n_tried > 0;
	if (q->cursor != NULL)
		t->resume_after = g_strdup(mh_cursor_last_id(q->cursor));
	if (q->n_tried == 0 && q->job == NULL)
		mh_observe(
		    g->k, "plain_before_send", t->sent_us - q->arrived_us);
	q->tried[q->n_tried++] = g_strdup(n->id);
	q->cur = t;
	if (q->state != MH_GREQ_ANSWERING)
		q->state = MH_GREQ_TRYING;
	mh_gate_set_limit(g, q);
	n->inflight++;
	mh_place_sent(g->place, &a, n);
	mh_event(g->k, "send",
	    "id=%s route=%s node=%s pool=%s try=%u inflight=%u running=%u "
	    "waiting=%u "
	    "told_ms=%" PRId64 " fail=%.2f home=%d cold=%d left_ms=%" PRId64
	    " after=%s version=%s",
	    q->id, q->route->name, n->id, q->pool, q->n_tried, n->inflight,
	    n->running, n->waiting,
	    n->load_at_us > 0 ? mh_ms(mh_now(g->k) - n->load_at_us) : -1,
	    n->fail_share, a.has_cached_prompt, mh_node_cold(g->f, n),
	    mh_ms(t->remaining_us), mh_gate_stream_after(q), n->version);
	mh_timer_stop(g->k, &q->silence_timer);
	mh_gate_watch(g, q);
	mh_gate_feed(g, t, n);
	g->ops.send(g->ops.arg, t);
}

/* answers */

/* The endpoint states that it did not run the request: another one may. */
static void
retry_not_run(struct mh_gate *g, struct mh_greq *q, const struct mh_gresp *a)
{
	close_try(g, q, false);
	if (q->n_tried >= MAX_TRIES || !mh_budget_take(g->budget, q->pool)) {
		mh_gate_refuse(g, q, q->runs > 0 ? MH_RUN_FAILED : MH_TOO_BUSY,
		    closed_us(g, q));
		return;
	}
	if (a->inputs_lost && may_start_job(q)) {
		mh_count(g->k, "inputs_gone", 1);
		mh_gate_release_job(g, q);
		mh_gate_start_job(g, q);
		return;
	}
	mh_gate_try_next(g, q);
}

/*
 * An endpoint may answer with events although the route is no stream.  The
 * adapter needs a reader for them, so one is created here.
 */
static enum mh_verdict
forward_head(struct mh_gate *g, struct mh_greq *q, const struct mh_gresp *a)
{
	if (a->events && q->cursor == NULL)
		q->cursor = mh_cursor_create(NULL, false);
	q->head_forwarded = a->events;
	if (a->events) {
		mh_gate_note_began(g, q, q->cur);
		mh_gate_read_events(g, q->cur);
	}
	return MH_FORWARD;
}

static enum mh_verdict
failed_answer(struct mh_gate *g, struct mh_greq *q, const struct mh_gresp *a)
{
	bool retry = take_retry(g, q);

	/* Without a retry, the caller gets the endpoint's own error. */
	if (!retry && a->genuine && !q->head_forwarded && q->n_silent == 0)
		return forward_head(g, q, a);
	close_try(g, q, false);
	if (retry)
		mh_gate_try_next(g, q);
	else
		mh_gate_refuse(g, q, MH_RUN_FAILED, 0);
	return MH_DROP;
}

/* The endpoint has sent something, so it has not crashed. */
static void
note_alive(struct mh_gate *g, const struct mh_try *t, struct mh_node *n)
{
	if (n != NULL)
		mh_node_heard(g->f, n);
	mh_gate_feed_heard(g, t);
	if (n != NULL && t->sent_us < n->doubt_us)
		n->doubt_us = 0;
	/* An endpoint without a start time has a new id after each restart. */
	mh_poison_answered(
	    g->k, t->node, t->sent_us, n != NULL && n->start_ms == 0);
}

enum mh_verdict
mh_gate_head(struct mh_gate *g, struct mh_try *t, const struct mh_gresp *a)
{
	struct mh_greq *q = t->req;
	struct mh_node *n = mh_fleet_find(g->f, t->node);
	int64_t took = mh_now(g->k) - t->sent_us;
	bool continues;

	if (n != NULL && a->has_load)
		mh_node_set_load(g->f, n, a->running, a->waiting, a->slots);
	if (n != NULL && a->pace_percent > 0)
		mh_node_set_pace(g->f, n, a->pace_percent);
	if (n != NULL && a->has_warm)
		mh_node_set_warmup(g->f, n, a->warm_us);
	if (!a->addr_reused)
		note_alive(g, t, n);
	mh_event(g->k, "head",
	    "id=%s node=%s status=%u not_run=%d genuine=%d took_ms=%" PRId64,
	    q->id, t->node, a->status, a->not_run, a->genuine, mh_ms(took));
	if (a->not_run) {
		if (n != NULL && a->addr_reused)
			n->eject_until_us = mh_now(g->k) + MH_US_PER_S;
		uncount_run(q, t);
		if (mh_gate_is_silent(t))
			mh_gate_end_silent(g, t, false);
		else
			retry_not_run(g, q, a);
		return MH_DROP;
	}
	mh_gate_count_run(q, t);
	t->head_us = mh_now(g->k);
	t->status = a->status;
	/* Only events can continue a stream; anything else would end it. */
	continues = !q->head_forwarded || a->events;
	if (n != NULL && a->genuine && a->status < 500 && continues)
		mh_node_succeeded(g->f, n, took);
	else if (n != NULL)
		mh_node_failed(g->f, n, a->genuine ? "status" : "not-genuine");
	if (a->genuine && a->status >= 500) /* failed, but did not crash */
		mh_poison_completed(g->k, q->fingerprint, q->pool);
	if (!a->genuine || a->status >= 500 || !continues) {
		if (!mh_gate_is_silent(t))
			return failed_answer(g, q, a);
		mh_gate_end_silent(g, t, false);
		return MH_DROP;
	}
	mh_gate_heard(g, t);
	mh_gate_end_all_silent(g, q);
	mh_gate_feed_begun(g, q);
	q->last_data_us = mh_now(g->k);
	if (!q->head_forwarded)
		return forward_head(g, q, a);
	mh_gate_read_events(g, t);
	return MH_FORWARD_BODY;
}

/* Streams: to the first event; others: to the whole answer. */
static void
meter_answer(struct mh_gate *g, struct mh_greq *q)
{
	if (!q->metered)
		mh_observe(g->k,
		    q->route->stream ? "stream_first_event" : "plain_answer",
		    mh_now(g->k) - q->arrived_us);
	q->metered = true;
}

void
mh_gate_progress(struct mh_gate *g, struct mh_try *t)
{
	struct mh_greq *q = t->req;
	struct mh_node *n = mh_fleet_find(g->f, t->node);

	mh_gate_heard(g, t);
	q->last_data_us = mh_now(g->k);
	note_alive(g, t, n);
	mh_gate_note_ids(n, t);
	mh_gate_note_answering(g, t);
	meter_answer(g, q);
	q->state = MH_GREQ_ANSWERING;
	if (q->job != NULL) /* an engine that answers has read its inputs */
		mh_gate_release_job(g, q);
	if (q->route->stream)
		mh_gate_watch(g, q);
}

/*
 * The endpoint did not end the call, and may be silent and sound.  If it could
 * not be reached, that is reported as for any other.
 */
static void
note_dark(struct mh_gate *g, const struct mh_try *t, struct mh_node *n,
    enum mh_hcall_outcome end)
{
	if (n != NULL && !t->was_silent)
		mh_node_silent(g->f, n);
	if (n != NULL && end == MH_CALL_UNANSWERED)
		mh_node_report_unreachable(g->f, n);
}

void
mh_gate_try_end(struct mh_gate *g, struct mh_try *t, enum mh_hcall_outcome end)
{
	bool sent = end != MH_CALL_UNSENT && end != MH_CALL_UNANSWERED;
	bool dark = end == MH_CALL_UNACKED || end == MH_CALL_UNANSWERED;
	struct mh_greq *q = t->req;
	struct mh_node *n = mh_fleet_find(g->f, t->node);
	char parts[MH_PARTS_LEN];

	if (end == MH_CALL_COMPLETE) {
		mh_gate_heard(g, t);
		meter_answer(g, q);
		mh_poison_completed(g->k, q->fingerprint, q->pool);
		if (t->status < 300 &&
		    (t->events == NULL || t->first_event_us != 0))
			mh_gate_note_parts(g, q);
		mh_gate_note_run(g, q);
		mh_origins_complete(g->origins, q->stream);
		mh_gate_log_end(g, q, "answered", 0);
		mh_count(g->k, "answered", 1);
		close_try(g, q, false);
		mh_gate_close(g, q, false);
		g->ops.finish(g->ops.arg, q);
		return;
	}
	mh_event(g->k, "broken",
	    "id=%s node=%s sent=%d readable=%d dark=%d took_ms=%" PRId64
	    " head_ms=%" PRId64 " print=%016" PRIx64
	    " after=%s held=%zu parts=%s",
	    q->id, t->node, sent, end != MH_CALL_UNREADABLE, dark,
	    mh_ms(mh_now(g->k) - t->sent_us),
	    t->head_us == 0 ? -1 : mh_ms(mh_now(g->k) - t->head_us),
	    q->fingerprint, mh_gate_stream_after(q), mh_gate_stream_buffered(q),
	    mh_gate_parts_text(q, parts));
	/*
	 * Only an endpoint that can't be reached is reported to other entries.
	 * Sound endpoints lose answers on the way too; reporting those would
	 * eject half of a pool.
	 */
	if (!sent)
		mh_poison_unreachable(g->k, t->node, t->sent_us);
	if (n != NULL && end != MH_CALL_UNREADABLE)
		mh_node_doubt(g->f, n);
	if (dark)
		note_dark(g, t, n, end);
	else if (n != NULL && !sent)
		mh_node_set_unreachable(g->f, n, "unreachable");
	else if (n != NULL && !t->was_silent) /* else it is recorded */
		mh_node_failed(g->f, n, t->counted ? "broken" : "no-answer");
	if (sent)
		mh_gate_count_run(q, t);
	else
		uncount_run(q, t);
	/* An endpoint that sends a malformed answer has not crashed. */
	if (end == MH_CALL_BROKEN)
		mh_gate_note_break(g, t, n);
	if (mh_gate_is_silent(t)) {
		mh_gate_end_silent(g, t, false);
		return;
	}
	close_try(g, q, false);
	if (!sent) {
		mh_gate_try_next(g, q);
		return;
	}
	retry_or_refuse(g, q, MH_RUN_FAILED);
}

void
mh_gate_invalid_answer(struct mh_gate *g, struct mh_try *t, const char *why)
{
	struct mh_greq *q = t->req;
	struct mh_node *n = mh_fleet_find(g->f, t->node);

	mh_event(g->k, "spoiled", "id=%s node=%s why=%s after=%s held=%zu",
	    q->id, t->node, why, mh_gate_stream_after(q),
	    mh_gate_stream_buffered(q));
	mh_count(g->k, "answers_spoiled", 1);
	if (n != NULL)
		mh_node_failed(g->f, n, why);
	if (mh_gate_is_silent(t)) {
		mh_gate_end_silent(g, t, true);
		return;
	}
	close_try(g, q, true);
	retry_or_refuse(g, q, MH_RUN_FAILED);
}

struct mh_gate *
mh_gate_create(struct mh_kern *k, struct mh_fleet *f, struct mh_place *p,
    struct mh_budget *b, const struct mh_gate_ops *ops, const char *domain)
{
	struct mh_gate *g = g_new0(struct mh_gate, 1);

	g->k = k;
	g->f = f;
	g->place = p;
	g->budget = b;
	g->origins = mh_origins_create(k, f);
	g->ops = *ops;
	g->domain = g_strdup(domain);
	g->requests = g_hash_table_new(NULL, NULL);
	g->feeding = g_ptr_array_new();
	g->max_deadlines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->sizes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return g;
}

void
mh_gate_on_stale_conf(
    struct mh_gate *g, int64_t (*stale_us)(void *arg), void *arg)
{
	g->stale_us = stale_us;
	g->stale_arg = arg;
}

void
mh_gate_max_stale_conf(struct mh_gate *g, int64_t max_us)
{
	g->max_stale_us = max_us;
}

void
mh_gate_destroy(struct mh_gate *g)
{
	GList *all;

	if (g == NULL)
		return;
	all = g_hash_table_get_keys(g->requests);
	for (GList *l = all; l != NULL; l = l->next) {
		mh_gate_log_cut(g, l->data);
		mh_gate_close(g, l->data, true);
	}
	g_list_free(all);
	g_hash_table_destroy(g->requests);
	g_ptr_array_free(g->feeding, TRUE);
	g_hash_table_destroy(g->max_deadlines);
	g_hash_table_destroy(g->sizes);
	g_hash_table_destroy(g->runs);
	mh_origins_destroy(g->origins);
	mh_gconf_unref(g->conf);
	g_free(g->domain);
	g_free(g);
}

void
mh_gate_conf(struct mh_gate *g, struct mh_gconf *conf)
{
	mh_gconf_unref(g->conf);
	g->conf = mh_gconf_ref(conf);
	mh_gate_note_routes(g);
}

struct mh_origins *
mh_gate_origins(const struct mh_gate *g)
{
	return g->origins;
}

uint32_t
mh_gate_open(const struct mh_gate *g)
{
	return g_hash_table_size(g->requests);
}

void
mh_gate_entries(struct mh_gate *g, uint32_t n)
{
	g->entries = n;
}
