/**
 * DOC: Runs a request through its stages: time budgets from one deadline,
 * calls, retries, hedges and the failover of slow streams.
 */

#include "entry.h"

#include "poison.h"

#include <string.h>

#define MAX_PICKS 4 /* calls made for one stage */
#define HEDGE_DEVS 4 /* mean deviations above the predicted time */
#define HEDGE_MIN_US (15 * MH_US_PER_MS)
#define PACE_CHECK_US (150 * MH_US_PER_MS) /* checks of a stream's pace */
#define FIRST_CHUNK_FACTOR 4
#define FIRST_CHUNK_MIN_US (300 * MH_US_PER_MS)
#define FAILOVER_SHARE 0.8 /* of the remaining time that failover may need */
#define MAX_RETRY_BUDGET 20.0
#define BYTES_PER_TOKEN 4
#define HANDOVER_WAIT_US (50 * MH_US_PER_MS) /* until the next retry */
/*
 * A restarted side process has its partitions back within this time.  One that
 * is silent for longer while its VM is listed may stay silent for hours.
 */
#define OWNER_RESTART_US (2 * MH_US_PER_S)
#define REFUSAL_MARGIN_US (30 * MH_US_PER_MS)

static void next_try(struct request *r, bool hedge);
static void start_stage(struct request *r);

static const struct mh_stage *
stage_at(const struct request *r, guint i)
{
	return r->d.pipeline->stages->pdata[i];
}

const struct mh_stage *
pipe_last_stage(const struct mh_pipeline *p)
{
	return p->stages->pdata[p->stages->len - 1];
}

static const struct mh_stage *
stage_of(const struct request *r)
{
	return stage_at(r, r->stage);
}

static const struct mh_policy *
policy_of(const struct request *r)
{
	return &r->decl->policy;
}

static uint32_t
tokens_of(const struct request *r, const struct mh_stage *s)
{
	return s->kind == MH_GENERATE ? r->max_tokens - r->done_tokens : 0;
}

static int64_t
remaining_us(const struct request *r)
{
	return r->deadline_us - mh_now(r->e->k);
}

int64_t
pipe_predict_us(const struct request *r, guint from, bool waits)
{
	struct mh_kern *k = r->e->k;
	int64_t sum = 0;

	for (guint i = from; i < r->d.pipeline->stages->len; i++) {
		const struct mh_stage *s = stage_at(r, i);

		sum += mh_predict_us(k, s->pool, tokens_of(r, s), NULL);
		if (waits)
			sum += MAX(
			    mh_route_wait(k, s->pool, r->d.class->priority), 0);
	}
	return sum;
}

int64_t
pipe_rest_us(const struct request *r)
{
	int64_t us = 0;

	for (guint i = 0; i < r->d.pipeline->stages->len; i++)
		us = MAX(us, mh_route_rest(r->e->k, stage_at(r, i)->pool));
	return us;
}

double
pipe_units(const struct request *r)
{
	const struct mh_policy *p = policy_of(r);
	const char *in =
	    json_string_value(json_object_get(r->flow.input, "input"));
	const char *context =
	    json_string_value(json_object_get(r->flow.input, "context"));
	double tokens = 1;
	bool generates = false;

	for (guint i = 0; i < r->d.pipeline->stages->len; i++)
		generates |= stage_at(r, i)->kind == MH_GENERATE;
	tokens += (double)(in == NULL ? 0 : strlen(in)) / BYTES_PER_TOKEN;
	tokens +=
	    (double)(context == NULL ? 0 : strlen(context)) / BYTES_PER_TOKEN;
	return p->weight_in * tokens +
	    (generates ? p->weight_out * (double)r->max_tokens : 0);
}

static void
stop_timers(struct request *r)
{
	mh_timer_stop(r->e->k, &r->check_timer);
	mh_timer_stop(r->e->k, &r->hedge_timer);
}

static void
cancel_tries(struct request *r)
{
	for (int i = 0; i < MAX_TRIES; i++) {
		if (r->tries[i].call != NULL)
			mh_relay_cancel(r->e->k, r->tries[i].call);
		r->tries[i].call = NULL;
	}
}

void
pipe_stop(struct request *r)
{
	stop_timers(r);
	cancel_tries(r);
}

static int
running_tries(const struct request *r)
{
	int n = 0;

	for (int i = 0; i < MAX_TRIES; i++)
		n += r->tries[i].call != NULL;
	return n;
}

/*
 * Retries and hedges share one budget, which is a share of recent traffic:
 * when a whole pool fails, more calls would only add to its load.
 */
static bool
has_budget(const struct request *r)
{
	return policy_of(r)->retrying == MH_RETRY_PLAIN
	    ? r->picks < 2
	    : r->e->retry_budget >= 1;
}

static bool
spend_budget(struct request *r)
{
	if (!has_budget(r)) {
		mh_count(r->e->k, "pipe_budget_empty", 1);
		return false;
	}
	if (policy_of(r)->retrying == MH_RETRY_BUDGET)
		r->e->retry_budget -= 1;
	return true;
}

static void
refill_budget(struct request *r)
{
	r->e->retry_budget = MIN(
	    r->e->retry_budget + policy_of(r)->retry_share, MAX_RETRY_BUDGET);
}

static int64_t
retry_after(struct request *r, int64_t at_least_us)
{
	int64_t us = MAX(at_least_us, MH_US_PER_S);

	return us + (int64_t)(mh_random_unit(r->e->k) * (double)us / 2);
}

/* No further call is possible: fail now, not at the deadline. */
static void
fail_now(struct request *r, const char *detail, int64_t retry_us)
{
	struct problem p = { .status = 503,
		.kind = "overloaded",
		.detail = detail,
		.remedy = "Ask again after Retry-After.",
		.outcome = entry_key_outcome(r) };

	p.retry_us = retry_after(r, retry_us);
	if (r->outcome_unknown) {
		p.status = 504;
		p.kind = "outcome-unknown";
		p.outcome = "unknown";
		p.remedy = "Look the outcome up by key; do not repeat it "
			   "under another key.";
		p.retry_us = 0;
	} else if (r->key_given) {
		p.remedy = "Ask again with the same key after Retry-After; "
			   "do not repeat it under another key.";
	} else if (r->maybe_ran) {
		p.kind = "failed";
		p.outcome = "failed";
		p.remedy = "The request changes nothing; ask again.";
	}
	entry_fail(r, &p);
}

/*
 * A non-repeatable call in flight is not cancelled: only its result tells
 * whether it ran.
 */
void
pipe_quarantine(struct request *r)
{
	struct problem p = { .status = 503,
		.kind = "request-held",
		.detail = "Endpoints end under this request.",
		.remedy = "Change the request, or ask again after "
			  "Retry-After.",
		.outcome = entry_key_outcome(r) };

	if (stage_of(r)->at_most_once && running_tries(r) > 0)
		return;
	if (r->outcome_unknown) {
		fail_now(r, p.detail, 0);
		return;
	}
	p.retry_us = mh_poison_quarantine_us(r->e->k, r->fingerprint);
	if (!r->key_given && (r->maybe_ran || r->attempts > 0)) {
		p.status = 502;
		p.outcome = "failed";
		p.remedy = "Change the request.";
	}
	mh_count(r->e->k, "entry_held", 1);
	pipe_stop(r);
	entry_fail(r, &p);
}

static void
add_stage_row(struct request *r, const struct mh_stage *s,
    const struct mh_peer *p, const Mh__Result *res)
{
	const struct mh_policy *pol = policy_of(r);
	double units = pol->weight_in *
		(double)(res->tokens_in -
		    MIN(res->tokens_cached, res->tokens_in)) +
	    pol->weight_cached * (double)res->tokens_cached +
	    pol->weight_out * (double)res->tokens_out;
	char name[64];

	r->used_units += units;
	json_array_append_new(r->stages,
	    json_pack("{s:s, s:s, s:I, s:I, s:f, s:i}", "stage", s->name, "vm",
		p->vm, "us", (json_int_t)(mh_now(r->e->k) - r->stage_us),
		"endpoint_us", (json_int_t)res->endpoint_us, "units", units,
		"attempts", (int)r->picks));
	snprintf(name, sizeof(name), "cost_%s_us", mh_stage_kind(s->kind));
	mh_count(r->e->k, name, res->endpoint_us);
	snprintf(name, sizeof(name), "cost_%s_units", mh_stage_kind(s->kind));
	mh_count(r->e->k, name, (uint64_t)units);
}

static void
stage_done(struct request *r, struct stage_try *t, struct mh_peer *p,
    const Mh__Result *res)
{
	const struct mh_stage *s = stage_of(r);
	uint32_t tokens = s->kind == MH_GENERATE ? t->tokens : 0;

	/* The times exclude queueing, which load reports cover. */
	if (tokens > 0 && res->first_us > 0)
		mh_predict_first(r->e->k, s->pool, (int64_t)res->first_us);
	if (res->endpoint_us > 0)
		mh_predict_add(
		    r->e->k, s->pool, (int64_t)res->endpoint_us, tokens);
	add_stage_row(r, s, p, res);
	if (t->hedge)
		mh_count(r->e->k, "pipe_hedges_won", 1);
	stop_timers(r);
	cancel_tries(r);
	r->stage++;
	if (r->stage == r->d.pipeline->stages->len)
		entry_done(r);
	else
		start_stage(r);
}

static void
on_owner_wait(void *arg)
{
	struct request *r = arg;

	next_try(r, false);
}

/*
 * A key that the caller sent can run only at the owner of its partition, and
 * calls are refused during a handover.  A retry is safe: the refused call
 * never runs, and the next one carries the new owner's epoch.
 */
static void
wait_for_owner(struct request *r)
{
	mh_count(r->e->k, "pipe_owner_waits", 1);
	mh_timer_set(
	    r->e->k, &r->check_timer, HANDOVER_WAIT_US, on_owner_wait, r);
}

/*
 * Whether an owner of a given key may soon accept calls: the present one after
 * a restart, or another after the VM was removed from the list.  An owner that
 * is silent for longer while its VM is listed keeps its partitions, since it
 * may only be paused; requests for it fail at once, not at their deadlines.
 */
static bool
owner_may_return(struct request *r)
{
	const struct mh_partition *part = mh_owners_part(
	    entry_owners(r->e, stage_of(r)->pool), mh_partition_of(r->key));
	const struct mh_peer *p = mh_member_find(r->e->k, part->vm);

	return p == NULL || !p->listed ||
	    mh_now(r->e->k) - p->last_rx_us < OWNER_RESTART_US;
}

/* Fails the request if a retry cannot change the refusal, else false. */
static bool
refused_permanently(struct request *r, const Mh__Result *res)
{
	struct problem p = { .status = 409,
		.outcome = r->key_given ? entry_outcome_text(r->key_outcome)
					: "not-run" };

	switch (res->reason) {
	case MH_REFUSAL_MISMATCH:
		p.kind = "key-reused";
		p.detail = "The key came with another body before.";
		p.remedy = "Use a new key for a new request.";
		break;
	case MH_REFUSAL_REVOKED:
		p.kind = "key-revoked";
		p.detail = "The key was revoked and never runs.";
		p.remedy = "Use a new key if the request is still wanted.";
		break;
	case MH_REFUSAL_FUTURE:
		p.status = 400;
		p.kind = "key-in-future";
		p.detail = "The key is stamped later than now.";
		p.remedy = "Set the clock that makes the keys.";
		break;
	default:
		return false;
	}
	entry_fail(r, &p);
	return true;
}

static void on_result(struct request *r, struct stage_try *t, struct mh_peer *p,
    const Mh__Result *res);

/*
 * If every token has arrived and only the end mark was lost, the text is
 * complete; a retry would request zero tokens of another engine and fail.
 */
static bool
complete_text(struct request *r, struct mh_peer *p)
{
	Mh__Result whole = MH__RESULT__INIT;

	if (stage_of(r)->kind != MH_GENERATE || r->done_tokens < r->max_tokens)
		return false;
	whole.outcome = MH__OUTCOME__DONE;
	on_result(r, &r->tries[0], p, &whole);
	return true;
}

/* Handles a call that ended without a result: retry, wait or give up. */
static void
handle_failed_try(struct request *r, struct mh_peer *p, const Mh__Result *res)
{
	const struct mh_stage *s = stage_of(r);
	bool not_run = res->outcome == MH__OUTCOME__NOT_RUN;
	bool fits;

	g_free(r->last_vm);
	g_free(r->last_domain);
	r->last_vm = g_strdup(p->vm);
	r->last_domain = g_strdup(p->domain);
	r->key_outcome = not_run ? res->key_outcome : MH__OUTCOME__UNKNOWN;
	if (res->outcome == MH__OUTCOME__UNKNOWN)
		r->outcome_unknown = true;
	else if (!not_run)
		r->maybe_ran = true;
	if (running_tries(r) > 0)
		return;
	stop_timers(r);
	if ((not_run && refused_permanently(r, res)) || complete_text(r, p))
		return;
	if (res->reason == MH_REFUSAL_QUARANTINED ||
	    mh_poison_quarantine_us(r->e->k, r->fingerprint) > 0) {
		pipe_quarantine(r);
		return;
	}
	if (s->at_most_once && r->key_given && not_run && !r->outcome_unknown &&
	    remaining_us(r) > 4 * HANDOVER_WAIT_US) {
		wait_for_owner(r);
		return;
	}
	fits = remaining_us(r) >
	    mh_predict_us(r->e->k, s->pool, tokens_of(r, s), NULL) / 2;
	/* A refused call did no work: only real retries use the budget. */
	if (!r->outcome_unknown && fits && r->picks < MAX_PICKS &&
	    (not_run || (!s->at_most_once && spend_budget(r)))) {
		mh_count(r->e->k, not_run ? "pipe_repicks" : "pipe_retries", 1);
		next_try(r, false);
		return;
	}
	fail_now(r,
	    not_run ? "Every endpoint asked is full."
		    : "The stage failed at every endpoint asked.",
	    (int64_t)res->retry_us);
}

/* The response of a non-repeatable service is final at any status. */
static bool
service_refused(struct request *r, const Mh__Result *res)
{
	struct problem p = { .status = 502,
		.kind = "service-refused",
		.detail = "The service refused the request.",
		.remedy = "Mend the request; the status is the service's.",
		.outcome = "done" };

	if (res->status >= 200 && res->status < 300)
		return false;
	if (res->status >= 400 && res->status < 500)
		p.status = res->status;
	pipe_stop(r);
	entry_fail(r, &p);
	return true;
}

static void
on_result(struct request *r, struct stage_try *t, struct mh_peer *p,
    const Mh__Result *res)
{
	GBytes *body;
	bool ok;

	t->call = NULL;
	if (res->outcome != MH__OUTCOME__DONE) {
		handle_failed_try(r, p, res);
		return;
	}
	r->maybe_ran = true;
	if (stage_of(r)->kind == MH_SERVICE && service_refused(r, res))
		return;
	body = g_bytes_new(res->body.data, res->body.len);
	ok = mh_stage_read_result(stage_of(r), &r->flow, body);
	g_bytes_unref(body);
	if (ok) {
		stage_done(r, t, p, res);
	} else {
		Mh__Result bad = MH__RESULT__INIT;

		mh_count(r->e->k, "pipe_garbage", 1);
		bad.outcome = stage_of(r)->at_most_once ? MH__OUTCOME__UNKNOWN
							: MH__OUTCOME__FAILED;
		handle_failed_try(r, p, &bad);
	}
}

static void
fail_try(struct request *r, struct stage_try *t)
{
	struct mh_peer *p = mh_call_peer(t->call);
	Mh__Result res = MH__RESULT__INIT;

	res.outcome = MH__OUTCOME__FAILED;
	mh_relay_cancel(r->e->k, t->call);
	t->call = NULL;
	/* An abandoned call counts against its endpoint like a failed one. */
	mh_route_observe(r->e->k, p, false, mh_now(r->e->k) - t->started_us);
	handle_failed_try(r, p, &res);
}

static void
on_event(void *arg, struct mh_call *c, const struct mh_call_event *ev)
{
	struct stage_try *t = arg;
	struct request *r = t->r;
	gsize len;
	const char *data;

	(void)c;
	if (ev->result != NULL) {
		on_result(r, t, ev->peer, ev->result);
		return;
	}
	r->maybe_ran = true;
	if (r->done_tokens >= r->max_tokens) {
		/* More tokens than requested: the text is complete. */
		mh_count(r->e->k, "pipe_surplus", 1);
		fail_try(r, t);
		return;
	}
	if (t->first_chunk_us == 0)
		t->first_chunk_us = mh_now(r->e->k);
	t->tokens++;
	r->done_tokens++;
	data = g_bytes_get_data(ev->chunk, &len);
	if (r->flow.text == NULL)
		r->flow.text = g_string_new(NULL);
	g_string_append_len(r->flow.text, data, (gssize)len);
	if (r->stream && r->stage + 1 == r->d.pipeline->stages->len)
		entry_token(r, ev->chunk);
}

static void
on_timeout(void *arg)
{
	struct request *r = arg;
	struct stage_try *last = NULL;

	mh_count(r->e->k, "pipe_timeouts", 1);
	/* If the first call has failed, only the hedge is in flight. */
	for (int i = MAX_TRIES - 1; i >= 0; i--) {
		struct stage_try *t = &r->tries[i];

		if (t->call == NULL)
			continue;
		if (last != NULL) {
			mh_relay_cancel(r->e->k, last->call);
			last->call = NULL;
		}
		last = t;
	}
	if (last != NULL)
		fail_try(r, last);
}

/*
 * Whether to move a stream: it would miss the deadline or is far slower than
 * predicted, and another endpoint could still finish in time.
 */
static bool
too_slow(struct request *r, const struct stage_try *t)
{
	const struct mh_stage *s = stage_of(r);
	struct mh_peer *p = mh_call_peer(t->call);
	int64_t now = mh_now(r->e->k), waited = now - t->started_us;
	int64_t elsewhere, need, wait;

	elsewhere = mh_predict_us(r->e->k, s->pool, tokens_of(r, s), NULL);
	wait = MAX(mh_route_wait(r->e->k, s->pool, r->d.class->priority), 0);
	if ((double)(elsewhere + wait) >
	    FAILOVER_SHARE * (double)remaining_us(r))
		return false;
	if (t->first_chunk_us == 0) {
		int64_t first = mh_predict_us(r->e->k, s->pool, 1, NULL);

		/* A call that waits in the endpoint's queue is not slow. */
		return p->load_queued == 0 &&
		    waited >
		    MAX(FIRST_CHUNK_FACTOR * first, FIRST_CHUNK_MIN_US);
	}
	need = (now - t->first_chunk_us) * (int64_t)tokens_of(r, s) /
	    (int64_t)MAX(t->tokens, 1);
	return need > remaining_us(r) || need > 4 * (elsewhere + wait);
}

static void
check_pace(void *arg)
{
	struct request *r = arg;
	struct stage_try *t = &r->tries[0];

	if (t->call == NULL)
		return;
	if (has_budget(r) && too_slow(r, t)) {
		mh_count(r->e->k, "pipe_rescues", 1);
		fail_try(r, t);
		return;
	}
	mh_timer_set(r->e->k, &r->check_timer, PACE_CHECK_US, check_pace, r);
}

static void
on_hedge(void *arg)
{
	struct request *r = arg;

	/* A suspected poison request runs at one endpoint at a time. */
	if (mh_poison_isolation_hash(
		r->e->k, r->fingerprint, stage_of(r)->pool) != 0)
		return;
	if (running_tries(r) != 1 || r->picks >= MAX_PICKS ||
	    mh_route_usable(r->e->k, stage_of(r)->pool) < 2 || !spend_budget(r))
		return;
	mh_count(r->e->k, "pipe_hedges", 1);
	g_free(r->last_vm);
	g_free(r->last_domain);
	r->last_vm = g_strdup(mh_call_peer(r->tries[0].call)->vm);
	r->last_domain = g_strdup(mh_call_peer(r->tries[0].call)->domain);
	next_try(r, true);
}

/* Time for this stage that leaves enough for the later ones. */
static int64_t
stage_budget_us(const struct request *r)
{
	int64_t later = pipe_predict_us(r, r->stage + 1, false);
	int64_t rest = remaining_us(r) - later;

	return MAX(rest, remaining_us(r) / 4);
}

static void
arm(struct request *r)
{
	const struct mh_policy *p = policy_of(r);
	const struct mh_stage *s = stage_of(r);
	int64_t dev, mean;

	if (s->at_most_once)
		return;
	if (p->retrying == MH_RETRY_PLAIN) {
		mh_timer_set(r->e->k, &r->check_timer, p->fixed_timeout_us,
		    on_timeout, r);
		return;
	}
	if (s->kind == MH_GENERATE) {
		mh_timer_set(
		    r->e->k, &r->check_timer, PACE_CHECK_US, check_pace, r);
		return;
	}
	mh_timer_set(r->e->k, &r->check_timer,
	    MIN(s->timeout_us, stage_budget_us(r)), on_timeout, r);
	mean = mh_predict_us(r->e->k, s->pool, 0, &dev);
	if (p->hedge)
		mh_timer_set(r->e->k, &r->hedge_timer,
		    MAX(mean + HEDGE_DEVS * dev, HEDGE_MIN_US), on_hedge, r);
}

/* With queueing in arrival order the engines get no priorities either. */
static uint32_t
engine_priority(const struct request *r, const struct mh_stage *s)
{
	if (policy_of(r)->queueing == MH_QUEUE_FIFO ||
	    !mh_decl_pool(r->decl, s->pool)->honours_priority)
		return 0;
	return r->d.class->priority;
}

static void
send_try(struct request *r, struct stage_try *t, struct mh_peer *p)
{
	const struct mh_stage *s = stage_of(r);
	const char *model = s->model != NULL ? s->model : r->d.model;
	struct mh_call_args a = { .request = r->id,
		.stage = r->stage,
		.attempt = ++r->attempts,
		.kind = s->kind,
		.priority = r->d.class->priority,
		.org = r->org->name,
		.org_weight = r->org->weight,
		.path = mh_stage_path(s),
		.stream = s->kind == MH_GENERATE,
		.at_most_once = s->at_most_once,
		.fingerprint = r->fingerprint };

	if (s->kind == MH_GENERATE && r->d.model != NULL)
		model = r->d.model;
	r->flow.priority = engine_priority(r, s);
	/*
	 * The side process refuses a queued non-repeatable call shortly
	 * before the deadline, so that its "not run" arrives in time; without
	 * the margin the caller would get "unknown".
	 */
	a.remaining_us = s->at_most_once ? remaining_us(r) - REFUSAL_MARGIN_US
					 : stage_budget_us(r);
	a.out_tokens = tokens_of(r, s);
	a.units = s->kind == MH_GENERATE ? (uint64_t)pipe_units(r) : 1;
	a.predicted_us =
	    (uint64_t)mh_predict_us(r->e->k, s->pool, a.out_tokens, NULL);
	if (s->at_most_once) {
		struct mh_owners *o = entry_owners(r->e, s->pool);

		/* A refused call id never runs, so each try gets a new one. */
		mh_uuid7(r->e->k, r->call_id);
		a.request = r->call_id;
		a.key = r->key;
		a.partition = mh_partition_of(r->key);
		a.epoch = mh_owners_part(o, a.partition)->epoch;
	}
	a.body =
	    mh_stage_body(s, &r->flow, model, r->max_tokens, r->done_tokens);
	t->r = r;
	t->started_us = mh_now(r->e->k);
	t->first_chunk_us = 0;
	t->tokens = 0;
	t->call = mh_relay_start(r->e->k, p, &a, on_event, t);
	g_bytes_unref(a.body);
}

static void
next_try(struct request *r, bool hedge)
{
	const struct mh_stage *s = stage_of(r);
	struct mh_peer *p = pick_endpoint(r, s);
	struct stage_try *t = &r->tries[hedge ? 1 : 0];

	if (p == NULL && s->at_most_once && r->key_given &&
	    owner_may_return(r) && remaining_us(r) > 4 * HANDOVER_WAIT_US) {
		wait_for_owner(r);
		return;
	}
	if (p == NULL) {
		if (!hedge)
			fail_now(r, "No endpoint of the pool takes calls.",
			    mh_route_rest(r->e->k, s->pool));
		return;
	}
	r->picks++;
	t->hedge = hedge;
	send_try(r, t, p);
	if (!hedge)
		arm(r);
}

static void
start_stage(struct request *r)
{
	r->picks = 0;
	r->stage_us = mh_now(r->e->k);
	refill_budget(r);
	next_try(r, false);
}

void
pipe_start(struct request *r)
{
	r->stage = 0;
	start_stage(r);
}
