/**
 * DOC: One request from its arrival to its end.
 *
 * The gate decides; an adapter decodes requests and answers and moves their
 * bytes.  Every request ends in exactly one way: a whole answer, an answer
 * that visibly breaks off, or a refusal that says truly whether it may have
 * run.  A request that must not repeat is sent again only where the endpoint
 * said that it did not run it, or no byte of it had left.
 */

#include "gate.h"

#include <string.h>

/* Sendings of one request at most, those that did not run included. */
#define TRIES_MAX 4
/*
 * Part of the aim after which a repeatable request that got no answer goes
 * to another endpoint: late enough to be rare, early enough to be on time.
 */
#define PATIENCE_SHARE 0.55
/* For streams: engines may be slow for all, so at least this long. */
#define STREAM_PATIENCE_US (1200 * MH_US_PER_MS)
/* A stream that pauses this many times the longest pause allowed hangs. */
#define GAP_FACTOR 2
#define GAP_DEFAULT_US (1600 * MH_US_PER_MS)
/*
 * Callers of a stream give up on its first event after the longest of these;
 * what would come later is work for nobody.
 */
#define PATIENCE_AIMS 4
#define PATIENCE_GAPS 8
#define PATIENCE_LEAST_US (2 * MH_US_PER_S)
#define PATIENCE_PERCENT 90
/* Callers that were told to come back after; spread so that they do not
 * return together. */
#define RETRY_MIN_US (150 * MH_US_PER_MS)
#define RETRY_SPREAD 0.5
/* A generated token costs an engine about ten times one that is read. */
#define OUT_WEIGHT 10
/* Part of a request's worth that is the same whatever its size. */
#define FIXED_WORTH 0.3
#define SIZE_WEIGHT 0.05
/* A leaving process takes streams for this part of the time it has left:
 * most end in a few seconds, and callers have heard to go elsewhere. */
#define STREAMS_SHARE 0.3
/*
 * An engine reads the inputs of a request when it takes it on.  One that has
 * places does so at once; after this time the inputs are freed, since room
 * for them is what a burst runs out of.
 */
#define FED_US (80 * MH_US_PER_MS)
/* Less time left than this is no use to an endpoint. */
#define LEAST_LEFT_US (20 * MH_US_PER_MS)
/*
 * Callers give between 0.85 and 1 times their route's longest time; less than
 * that is what was left to one that was refused before and has come back.
 */
#define RETURNED_BELOW 0.84
#define GIVEN_MEAN 0.925
/* Time from the stages' end to the first event: prefill and a step. */
#define ENGINE_US (150 * MH_US_PER_MS)
#define ENGINE_US_PER_TOKEN 40

struct mh_gate {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_place *place;
	struct mh_budget *budget;
	struct mh_gate_ops ops;
	struct mh_gconf *conf;
	char *domain;
	GHashTable *asks; /* set of struct mh_gask */
	int64_t leave_us; /* 0: not leaving; else when it will be gone */
	int64_t streams_until_us; /* streams that come later are refused */
	GHashTable *deadlines; /* route -> longest time given */
	GHashTable *sizes; /* route -> mean size of a request, double */
};

static void try_next(struct mh_gate *g, struct mh_gask *q);

struct mh_gask *
mh_gask_create(const char *id)
{
	struct mh_gask *q = g_new0(struct mh_gask, 1);

	q->id = g_strdup(id);
	return q;
}

void
mh_gask_destroy(struct mh_gask *q)
{
	if (q == NULL)
		return;
	for (uint32_t i = 0; i < q->n_tried; i++)
		g_free(q->tried[i]);
	mh_sse_destroy(q->events);
	mh_job_destroy(q->job);
	mh_gconf_unref(q->conf);
	g_free(q->inputs);
	g_free(q->id);
	g_free(q->host);
	g_free(q->key);
	g_free(q->piece_key);
	g_free(q);
}

/* tries */

static void
free_try(struct mh_try *t)
{
	if (t == NULL)
		return;
	g_free(t->node);
	g_free(t->addr);
	g_free(t);
}

/* The try is over for us; its endpoint is relieved of our count. */
static void
leave_try(struct mh_gate *g, struct mh_gask *q, bool abort)
{
	struct mh_try *t = q->cur;
	struct mh_node *n;

	if (t == NULL)
		return;
	q->cur = NULL;
	n = mh_fleet_find(g->f, t->node);
	if (n != NULL && n->inflight > 0)
		n->inflight--;
	if (abort)
		g->ops.abort(g->ops.arg, t);
	free_try(t);
}

static void
release_job(struct mh_gate *g, struct mh_gask *q)
{
	if (q->job == NULL)
		return;
	if (q->state == MH_ASK_STAGES)
		g->ops.cancel(g->ops.jobs, q->job);
	else
		g->ops.release(g->ops.jobs, q->job);
	mh_job_destroy(q->job);
	q->job = NULL;
}

static void
close_ask(struct mh_gate *g, struct mh_gask *q, bool abort)
{
	leave_try(g, q, abort);
	release_job(g, q);
	q->state = MH_ASK_ENDED;
	mh_timer_stop(g->k, &q->until);
	mh_timer_stop(g->k, &q->patience);
	mh_timer_stop(g->k, &q->fed);
	g_hash_table_remove(g->asks, q);
}

static const char *
refusal_name(enum mh_gate_refusal why)
{
	static const char *const names[] = { [MH_NOT_READY] = "not_ready",
		[MH_NO_ROUTE] = "no_route",
		[MH_BAD_KEY] = "bad_key",
		[MH_BAD_REQUEST] = "bad_request",
		[MH_TOO_BUSY] = "too_busy",
		[MH_NO_ENDPOINT] = "no_endpoint",
		[MH_NOT_IN_TIME] = "not_in_time",
		[MH_RUN_FAILED] = "run_failed",
		[MH_RUN_TIMEOUT] = "run_timeout" };

	return names[why];
}

static void
log_end(struct mh_gate *g, const struct mh_gask *q, const char *outcome,
    int64_t retry_us)
{
	int64_t now = mh_now(g->k);

	mh_event(g->k, "end",
	    "id=%s route=%s outcome=%s org=%s config=%" PRIu64
	    " took_ms=%" PRId64 " aim_ms=%" PRId64 " left_ms=%" PRId64
	    " tries=%u runs=%u returned=%d node=%s retry_ms=%" PRId64,
	    q->id, q->route != NULL ? q->route->name : "-", outcome,
	    q->org != NULL ? q->org->name : "-",
	    q->conf != NULL ? q->conf->version : 0, mh_ms(now - q->arrived_us),
	    mh_ms(q->aim_us - now), mh_ms(q->until_us - now), q->n_tried,
	    q->runs, q->returned,
	    q->n_tried > 0 ? q->tried[q->n_tried - 1] : "-", mh_ms(retry_us));
}

static void
refuse(struct mh_gate *g, struct mh_gask *q, enum mh_gate_refusal why,
    int64_t retry_us)
{
	bool later = why == MH_NOT_READY || why == MH_TOO_BUSY ||
	    why == MH_NO_ENDPOINT || why == MH_NOT_IN_TIME;

	if (later) {
		retry_us = MAX(retry_us, RETRY_MIN_US);
		retry_us += (int64_t)((double)retry_us * RETRY_SPREAD *
		    mh_random_unit(g->k));
	}
	log_end(g, q, refusal_name(why), retry_us);
	mh_count(g->k, refusal_name(why), 1);
	close_ask(g, q, true);
	if (q->passed_head)
		g->ops.break_off(g->ops.arg, q);
	else
		g->ops.refuse(g->ops.arg, q, why, later ? retry_us : 0);
}

static void
on_until(void *arg)
{
	struct mh_gask *q = arg;
	struct mh_gate *g = q->gate;

	q->until = NULL;
	if (q->runs > 0 || q->cur != NULL)
		refuse(g, q, MH_RUN_TIMEOUT, 0);
	else
		refuse(g, q, MH_NOT_IN_TIME, 0);
}

static void
set_until(struct mh_gate *g, struct mh_gask *q)
{
	q->until = mh_timer_start(
	    g->k, MAX(q->until_us - mh_now(g->k), 0), on_until, q);
}

/* The endpoint may have begun to work on it. */
static void
count_run(struct mh_gask *q, struct mh_try *t)
{
	if (!t->counted)
		q->runs++;
	t->counted = true;
}

static bool
may_repeat(const struct mh_gask *q)
{
	uint32_t runs = q->runs;

	if (q->cur != NULL && !q->cur->counted)
		runs++;
	return q->route->repeat != MH_REPEAT_NEVER && runs < q->route->attempts;
}

/* Goes to another endpoint if that is allowed; else ends. */
static void
repeat_or(struct mh_gate *g, struct mh_gask *q, enum mh_gate_refusal why)
{
	if (!may_repeat(q) || q->n_tried >= TRIES_MAX ||
	    (q->passed_head && q->route->repeat != MH_REPEAT_RESUME) ||
	    !mh_budget_take(g->budget, q->pool)) {
		refuse(g, q, why, 0);
		return;
	}
	mh_count(g->k, "repeats", 1);
	try_next(g, q);
}

static void
on_patience(void *arg)
{
	struct mh_gask *q = arg;
	struct mh_gate *g = q->gate;
	struct mh_node *n;

	q->patience = NULL;
	if (q->cur == NULL || !may_repeat(q) || q->n_tried >= TRIES_MAX ||
	    !mh_budget_take(g->budget, q->pool))
		return;
	n = mh_fleet_find(g->f, q->cur->node);
	if (n != NULL)
		mh_node_bad(g->f, n, "silent");
	mh_event(g->k, "silent", "id=%s node=%s waited_ms=%" PRId64, q->id,
	    q->cur->node, mh_ms(mh_now(g->k) - q->cur->sent_us));
	mh_count(g->k, "repeats_silent", 1);
	count_run(q, q->cur);
	leave_try(g, q, true);
	try_next(g, q);
}

static void
set_patience(struct mh_gate *g, struct mh_gask *q, int64_t us)
{
	mh_timer_stop(g->k, &q->patience);
	q->patience = mh_timer_start(g->k, us, on_patience, q);
}

static int64_t
patience_us(const struct mh_gask *q)
{
	int64_t us = (int64_t)((double)q->route->aim_us * PATIENCE_SHARE);

	return q->route->stream ? MAX(us, STREAM_PATIENCE_US) : us;
}

static void
fill_place(struct mh_gate *g, const struct mh_gask *q, struct mh_place_ask *a)
{
	a->pool = q->pool;
	a->domain = g->domain;
	a->n_parts = q->n_parts;
	memcpy(a->parts, q->parts, sizeof(a->parts));
	a->n_tried = q->n_tried;
	for (uint32_t i = 0; i < q->n_tried; i++)
		a->tried[i] = q->tried[i];
}

static void
on_fed(void *arg)
{
	struct mh_gask *q = arg;

	q->fed = NULL;
	release_job(q->gate, q);
}

/* Whether an engine takes the next request on at once. */
static bool
has_places(const struct mh_node *n)
{
	return n->waiting == 0 && n->running < n->capacity * 3 / 4;
}

static void
try_next(struct mh_gate *g, struct mh_gask *q)
{
	struct mh_place_ask a = { 0 };
	struct mh_node *n;
	struct mh_try *t;
	int64_t left = q->until_us - mh_now(g->k);

	if (left < LEAST_LEFT_US) {
		refuse(g, q, q->runs > 0 ? MH_RUN_TIMEOUT : MH_NOT_IN_TIME, 0);
		return;
	}
	fill_place(g, q, &a);
	n = q->n_tried < TRIES_MAX ? mh_place_pick(g->place, &a) : NULL;
	if (n == NULL) {
		refuse(g, q, q->runs > 0 ? MH_RUN_FAILED : MH_NO_ENDPOINT, 0);
		return;
	}
	t = g_new0(struct mh_try, 1);
	t->ask = q;
	t->node = g_strdup(n->id);
	t->addr = g_strdup(n->addr);
	t->sent_us = mh_now(g->k);
	t->left_us = left;
	t->fresh = q->n_tried > 0;
	if (q->events != NULL)
		t->resume_after = mh_sse_last_id(q->events);
	if (q->n_tried == 0 && q->job == NULL)
		mh_observe(
		    g->k, "plain_before_send", t->sent_us - q->arrived_us);
	q->tried[q->n_tried++] = g_strdup(n->id);
	q->cur = t;
	if (q->state != MH_ASK_ANSWERING)
		q->state = MH_ASK_TRYING;
	n->inflight++;
	mh_place_sent(g->place, &a, n);
	mh_event(g->k, "send",
	    "id=%s route=%s node=%s pool=%s try=%u inflight=%u running=%u "
	    "waiting=%u "
	    "told_ms=%" PRId64 " fail=%.2f home=%d left_ms=%" PRId64,
	    q->id, q->route->name, n->id, q->pool, q->n_tried, n->inflight,
	    n->running, n->waiting,
	    n->told_us > 0 ? mh_ms(mh_now(g->k) - n->told_us) : -1, n->fail,
	    a.at_home, mh_ms(left));
	mh_timer_stop(g->k, &q->patience);
	if (may_repeat(q))
		set_patience(g, q, patience_us(q));
	mh_timer_stop(g->k, &q->fed);
	if (q->job != NULL && has_places(n))
		q->fed = mh_timer_start(g->k, FED_US, on_fed, q);
	g->ops.send(g->ops.arg, t);
}

/* stage work */

/*
 * What a request is worth over the mean of its route: part of it is the same
 * for all, the rest goes by its weighted tokens.
 */
static double
weight_of(struct mh_gate *g, const struct mh_gask *q)
{
	double size = q->tokens_in + OUT_WEIGHT * (double)q->tokens_out;
	double *mean = g_hash_table_lookup(g->sizes, q->route->name);

	if (size <= 0)
		return 1;
	if (mean == NULL) {
		mean = g_new(double, 1);
		*mean = size;
		g_hash_table_insert(g->sizes, g_strdup(q->route->name), mean);
	}
	*mean += SIZE_WEIGHT * (size - *mean);
	return FIXED_WORTH + (1 - FIXED_WORTH) * size / *mean;
}

static void
start_job(struct mh_gate *g, struct mh_gask *q)
{
	struct mh_job *j = mh_job_create(q->id);
	const struct mh_groute *r = q->route;
	struct mh_place_ask a = { 0 };
	const struct mh_node *home;
	int64_t engine_us =
	    ENGINE_US + (int64_t)q->tokens_in * ENGINE_US_PER_TOKEN;

	fill_place(g, q, &a);
	home = mh_place_home(g->place, &a);
	if (home != NULL)
		j->domain = g_strdup(home->domain);
	j->key = g_strdup(q->piece_key);
	j->route = g_strdup(r->name);
	j->priority = q->priority;
	j->returned = q->returned;
	j->weight = weight_of(g, q);
	j->arrived_us = q->arrived_us;
	j->aim_us = q->aim_us - engine_us;
	j->deadline_us = q->first_by_us - engine_us;
	j->n_stages = r->n_stages;
	for (uint32_t s = 0; s < r->n_stages; s++) {
		j->stages[s].pool = g_strdup(r->stages[s].pool);
		j->stages[s].after = r->stages[s].after;
		j->stages[s].result_bytes = r->stages[s].result_bytes;
		j->stages[s].pieces = s < q->n_pieces ? q->pieces[s] : 0;
	}
	j->owner = q;
	q->job = j;
	q->jobs++;
	q->state = MH_ASK_STAGES;
	g->ops.submit(g->ops.jobs, j);
}

void
mh_gate_job_end(
    struct mh_gate *g, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct mh_gask *q = j->owner;

	switch (end) {
	case MH_JOB_DONE:
		mh_observe(g->k, "stage_work", mh_now(g->k) - q->arrived_us);
		q->state = MH_ASK_TRYING;
		g_free(q->inputs);
		q->inputs = mh_job_finals(j);
		try_next(g, q);
		return;
	case MH_JOB_REFUSED:
		q->job = NULL;
		mh_job_destroy(j);
		refuse(g, q, MH_TOO_BUSY, retry_us);
		return;
	case MH_JOB_FAILED:
	case MH_JOB_MOVED:
		q->job = NULL;
		mh_job_destroy(j);
		refuse(g, q, MH_NO_ENDPOINT, retry_us);
		return;
	}
}

/* arrival */

static bool
find_org(struct mh_gate *g, struct mh_gask *q)
{
	if (g_hash_table_size(g->conf->keys) == 0)
		return true;
	if (q->key != NULL)
		q->org = g_hash_table_lookup(g->conf->keys, q->key);
	return q->org != NULL || (q->route->open_to_all && q->key == NULL);
}

/*
 * A caller that comes back gives the time that is left to it; its aim still
 * counts from its first asking, which is worked out from the time that is
 * missing.
 */
static void
set_times(struct mh_gate *g, struct mh_gask *q)
{
	int64_t *longest = g_hash_table_lookup(g->deadlines, q->route->name);
	int64_t now = mh_now(g->k), given = q->deadline_us;

	if (given <= 0)
		given = q->route->timeout_us;
	if (longest == NULL) {
		longest = g_new0(int64_t, 1);
		g_hash_table_insert(
		    g->deadlines, g_strdup(q->route->name), longest);
	}
	*longest = MAX(*longest, given);
	q->returned = (double)given < RETURNED_BELOW * (double)*longest;
	q->first_us = now;
	if (q->returned)
		q->first_us -= (int64_t)(GIVEN_MEAN * (double)*longest) - given;
	q->aim_us = q->first_us + q->route->aim_us;
	q->until_us = now + MIN(given, q->route->timeout_us);
	q->first_by_us = q->until_us;
	if (q->route->stream) {
		/* Later than this nobody reads its first event. */
		int64_t patience = MAX(PATIENCE_AIMS * q->route->aim_us,
		    PATIENCE_GAPS * q->route->gap_aim_us);

		patience = MAX(patience, PATIENCE_LEAST_US);
		q->first_by_us =
		    MIN(q->until_us, now + patience * PATIENCE_PERCENT / 100);
	}
}

/*
 * A process that leaves keeps what it has taken; what comes later, over a
 * connection that is still open, is taken only if it will surely have ended
 * before the process is killed.  A stream cut half way is lost to its caller,
 * one that is refused goes to another entry at once.
 */
static bool
ends_in_time(const struct mh_gate *g, const struct mh_gask *q)
{
	if (g->leave_us == 0)
		return true;
	if (q->route->stream)
		return mh_now(g->k) < g->streams_until_us;
	return q->until_us < g->leave_us;
}

void
mh_gate_take(struct mh_gate *g, struct mh_gask *q)
{
	q->gate = g;
	q->arrived_us = mh_now(g->k);
	q->until_us = q->arrived_us;
	q->aim_us = q->arrived_us;
	g_hash_table_add(g->asks, q);
	if (g->conf == NULL) {
		refuse(g, q, MH_NOT_READY, 0);
		return;
	}
	q->conf = mh_gconf_ref(g->conf);
	q->route = mh_gconf_route(g->conf, q->host, q->target);
	if (q->route == NULL) {
		refuse(g, q, MH_NO_ROUTE, 0);
		return;
	}
	if (!find_org(g, q)) {
		refuse(g, q, MH_BAD_KEY, 0);
		return;
	}
	q->priority = q->org != NULL && q->org->priority >= 0
	    ? (uint32_t)q->org->priority
	    : q->route->priority;
	q->pool = mh_groute_pool(q->route, mh_random_unit(g->k));
	set_times(g, q);
	if (q->pool == NULL || q->n_pieces > q->route->n_stages) {
		refuse(
		    g, q, q->pool == NULL ? MH_NO_ENDPOINT : MH_BAD_REQUEST, 0);
		return;
	}
	if (!ends_in_time(g, q)) {
		refuse(g, q, MH_NOT_READY, 0);
		return;
	}
	mh_event(g->k, "ask",
	    "id=%s route=%s org=%s config=%" PRIu64 " pool=%s given_ms=%" PRId64
	    " returned=%d aim_ms=%" PRId64 " open=%u",
	    q->id, q->route->name, q->org != NULL ? q->org->name : "-",
	    q->conf->version, q->pool, mh_ms(q->deadline_us), q->returned,
	    mh_ms(q->aim_us - q->arrived_us), mh_gate_open(g));
	mh_budget_first(g->budget, q->pool);
	if (q->route->stream)
		q->events = mh_sse_create();
	set_until(g, q);
	if (q->route->n_stages > 0)
		start_job(g, q);
	else
		try_next(g, q);
}

void
mh_gate_gone(struct mh_gate *g, struct mh_gask *q)
{
	if (q->state == MH_ASK_ENDED)
		return;
	log_end(g, q, "caller_left", 0);
	mh_count(g->k, "callers_left", 1);
	close_ask(g, q, true);
}

/* answers */

/* Not run by that endpoint, by its own word: another may. */
static void
not_run(struct mh_gate *g, struct mh_gask *q, const struct mh_gans *a)
{
	leave_try(g, q, false);
	if (a->inputs_gone && q->jobs < 2) {
		mh_count(g->k, "inputs_gone", 1);
		mh_timer_stop(g->k, &q->fed);
		release_job(g, q);
		start_job(g, q);
		return;
	}
	if (q->n_tried >= TRIES_MAX || !mh_budget_take(g->budget, q->pool)) {
		refuse(g, q, q->runs > 0 ? MH_RUN_FAILED : MH_TOO_BUSY, 0);
		return;
	}
	try_next(g, q);
}

static enum mh_verdict
failed_answer(struct mh_gate *g, struct mh_gask *q, const struct mh_gans *a)
{
	bool again = may_repeat(q) && q->n_tried < TRIES_MAX &&
	    (!q->passed_head || q->route->repeat == MH_REPEAT_RESUME) &&
	    mh_budget_take(g->budget, q->pool);

	if (!again && a->genuine && !q->passed_head) {
		q->passed_head = a->events;
		return MH_PASS; /* the endpoint's own failure */
	}
	leave_try(g, q, false);
	if (again)
		try_next(g, q);
	else
		refuse(g, q, MH_RUN_FAILED, 0);
	return MH_DROP;
}

enum mh_verdict
mh_gate_head(struct mh_gate *g, struct mh_try *t, const struct mh_gans *a)
{
	struct mh_gask *q = t->ask;
	struct mh_node *n = mh_fleet_find(g->f, t->node);
	int64_t took = mh_now(g->k) - t->sent_us;

	if (n != NULL && a->told)
		mh_node_told(g->f, n, a->running, a->waiting, a->slots);
	mh_event(g->k, "head",
	    "id=%s node=%s status=%u not_run=%d genuine=%d took_ms=%" PRId64,
	    q->id, t->node, a->status, a->not_run, a->genuine, mh_ms(took));
	if (a->not_run) {
		if (n != NULL && a->moved)
			n->out_until_us = mh_now(g->k) + MH_US_PER_S;
		not_run(g, q, a);
		return MH_DROP;
	}
	count_run(q, t);
	if (n != NULL && a->genuine && a->status < 500)
		mh_node_good(g->f, n, took);
	else if (n != NULL)
		mh_node_bad(g->f, n, a->genuine ? "status" : "not-genuine");
	if (!a->genuine || a->status >= 500)
		return failed_answer(g, q, a);
	q->last_data_us = mh_now(g->k);
	if (q->passed_head)
		return MH_PASS_ON;
	q->passed_head = a->events;
	return MH_PASS;
}

/* Streams: to the first event; others: to the whole answer. */
static void
meter_answer(struct mh_gate *g, struct mh_gask *q)
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
	struct mh_gask *q = t->ask;

	q->last_data_us = mh_now(g->k);
	meter_answer(g, q);
	if (q->state != MH_ASK_ANSWERING) {
		q->state = MH_ASK_ANSWERING;
		/* The engine has read its inputs. */
		release_job(g, q);
	}
	if (q->route->stream && may_repeat(q))
		set_patience(g, q,
		    MAX(GAP_FACTOR * q->route->gap_aim_us, GAP_DEFAULT_US));
}

void
mh_gate_end(struct mh_gate *g, struct mh_try *t, enum mh_hcall_end end)
{
	struct mh_gask *q = t->ask;
	struct mh_node *n = mh_fleet_find(g->f, t->node);

	if (end == MH_CALL_WHOLE) {
		meter_answer(g, q);
		log_end(g, q, "answered", 0);
		mh_count(g->k, "answered", 1);
		leave_try(g, q, false);
		close_ask(g, q, false);
		g->ops.finish(g->ops.arg, q);
		return;
	}
	mh_event(g->k, "broken", "id=%s node=%s sent=%d took_ms=%" PRId64,
	    q->id, t->node, end == MH_CALL_BROKEN,
	    mh_ms(mh_now(g->k) - t->sent_us));
	/*
	 * Only what could not be reached is told to others.  Answers that are
	 * lost on the way come from sound endpoints as well, and half of a
	 * pool would be left out for them.
	 */
	if (n != NULL && end == MH_CALL_UNSENT)
		mh_node_dead(g->f, n, "unreachable");
	else if (n != NULL)
		mh_node_bad(g->f, n, t->counted ? "broken" : "no-answer");
	if (end == MH_CALL_BROKEN)
		count_run(q, t);
	leave_try(g, q, false);
	if (q->events != NULL)
		mh_sse_restart(q->events);
	if (end == MH_CALL_UNSENT) {
		try_next(g, q);
		return;
	}
	repeat_or(g, q, MH_RUN_FAILED);
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
	g->ops = *ops;
	g->domain = g_strdup(domain);
	g->asks = g_hash_table_new(NULL, NULL);
	g->deadlines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->sizes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return g;
}

void
mh_gate_destroy(struct mh_gate *g)
{
	GList *all;

	if (g == NULL)
		return;
	all = g_hash_table_get_keys(g->asks);
	for (GList *l = all; l != NULL; l = l->next)
		close_ask(g, l->data, true);
	g_list_free(all);
	g_hash_table_destroy(g->asks);
	g_hash_table_destroy(g->deadlines);
	g_hash_table_destroy(g->sizes);
	mh_gconf_unref(g->conf);
	g_free(g->domain);
	g_free(g);
}

void
mh_gate_conf(struct mh_gate *g, struct mh_gconf *conf)
{
	mh_gconf_unref(g->conf);
	g->conf = mh_gconf_ref(conf);
}

struct mh_gconf *
mh_gate_conf_now(struct mh_gate *g)
{
	return g->conf;
}

uint32_t
mh_gate_open(const struct mh_gate *g)
{
	return g_hash_table_size(g->asks);
}

void
mh_gate_leaving(struct mh_gate *g, int64_t left_us)
{
	g->leave_us = mh_now(g->k) + left_us;
	g->streams_until_us =
	    mh_now(g->k) + (int64_t)((double)left_us * STREAMS_SHARE);
}
