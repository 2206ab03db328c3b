/**
 * DOC: Calls at a side process: admission, queueing, execution, and delivery of
 * the result until the entry acknowledges it.
 */

#include "side.h"

#include "poison.h"

#include <string.h>

#define URGENT_SLOTS_DIVISOR 8 /* one slot in eight is for priority 0 */
#define URGENT_WAIT_US (250 * MH_US_PER_MS)
#define FACTOR_GAIN 0.05
#define RUN_TIMEOUT_MIN_US (20 * MH_US_PER_MS)
#define MAX_RESULT_BYTES (MH_MAX_FRAME - 4096) /* rest: other fields */

static const char *const refusal_names[] = { "none", "full", "late", "leaving",
	"not_owner", "marked", "revoked", "mismatch", "future", "held" };

void
call_free(void *arg)
{
	struct call *c = arg;

	mh_queue_remove(c->s->queue, &c->item);
	g_ptr_array_unref(c->chunks);
	g_free(c->once_key);
	g_free(c->path);
	g_free(c->org);
	g_bytes_unref(c->body);
	if (c->result != NULL)
		g_bytes_unref(c->result);
	g_free(c);
}

void
call_drop(struct call *c)
{
	g_hash_table_remove(c->s->calls, &c->key);
}

/*
 * Number of slots reserved for priority 0.  If slots become free rarely, one in
 * eight is reserved.  Otherwise urgent calls, which are first in the queue, get
 * a free slot soon enough, and a reserved slot would only be idle.
 */
static uint32_t
urgent_slots(const struct side *s)
{
	struct mh_decl *d = mh_conf_get(s->k);

	if (d == NULL || d->policy.queueing == MH_QUEUE_FIFO ||
	    s->a.slots < URGENT_SLOTS_DIVISOR ||
	    s->run_us / s->a.slots < URGENT_WAIT_US)
		return 0;
	return s->a.slots / URGENT_SLOTS_DIVISOR;
}

/* Remaining time for which the endpoint wants no run. */
static int64_t
rest_us(const struct side *s)
{
	return MAX(s->rest_end_us - mh_now(s->k), 0);
}

/* Expected queueing time of a call of @priority that arrives now. */
static int64_t
expected_wait(const struct side *s, uint32_t priority)
{
	int64_t work, rest = rest_us(s);

	if (rest > 0)
		return rest;
	if (s->running < s->a.slots - urgent_slots(s) &&
	    mh_queue_len(s->queue) == 0)
		return 0;
	if (priority == 0 && s->running < s->a.slots &&
	    mh_queue_work_us(s->queue, 0) == 0)
		return 0;
	work = mh_queue_work_us(s->queue, priority);
	return (int64_t)(s->factor * (double)work / (double)s->a.slots);
}

bool
mh_side_load(struct mh_kern *k, Mh__Load *l, uint64_t wait_us[MH_PRIORITIES])
{
	struct side *s = mh_kern_get(k, "side");

	if (s == NULL)
		return false;
	l->running = s->running;
	l->queued = mh_queue_len(s->queue);
	l->slots = s->a.slots;
	for (uint32_t p = 0; p < MH_PRIORITIES; p++)
		wait_us[p] = (uint64_t)expected_wait(s, p);
	l->n_wait_us = MH_PRIORITIES;
	l->wait_us = wait_us;
	l->rest_us = (uint64_t)rest_us(s);
	return true;
}

static void
fill_id(struct call *c, Mh__CallId *id)
{
	mh__call_id__init(id);
	id->request.data = c->key.request;
	id->request.len = MH_ID_LEN;
	id->entry = c->key.entry;
	id->stage = c->key.stage;
	id->attempt = c->key.attempt;
}

static void
send_chunk(struct call *c, guint seq)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Chunk ch = MH__CHUNK__INIT;
	Mh__CallId id;
	GBytes *b = c->chunks->pdata[seq];
	gsize len;

	fill_id(c, &id);
	ch.id = &id;
	ch.seq = seq;
	ch.data.data = (uint8_t *)(uintptr_t)g_bytes_get_data(b, &len);
	ch.data.len = len;
	f.body_case = MH__FRAME__BODY_CHUNK;
	f.chunk = &ch;
	mh_frame_send(c->s->k, c->conn, &f);
}

static void
send_result(struct call *c)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Result r = MH__RESULT__INIT;
	Mh__Load load = MH__LOAD__INIT;
	uint64_t wait_us[MH_PRIORITIES];
	Mh__CallId id;
	gsize len = 0;

	fill_id(c, &id);
	r.id = &id;
	r.outcome = c->outcome;
	r.status = c->status;
	if (c->result != NULL)
		r.body.data =
		    (uint8_t *)(uintptr_t)g_bytes_get_data(c->result, &len);
	r.body.len = len;
	r.chunks = c->chunks->len;
	r.endpoint_us = (uint64_t)c->endpoint_us;
	r.tokens_in = c->usage.tokens_in;
	r.tokens_cached = c->usage.tokens_cached;
	r.tokens_out = c->usage.tokens_out;
	r.first_us = (uint64_t)c->first_us;
	r.reason = c->reason;
	r.key_outcome = c->key_outcome;
	r.retry_us = (uint64_t)c->retry_us;
	mh_side_load(c->s->k, &load, wait_us);
	f.load = &load;
	f.body_case = MH__FRAME__BODY_RESULT;
	f.result = &r;
	mh_frame_send(c->s->k, c->conn, &f);
}

/*
 * A caller that gets "not run" retries under another key or at another service.
 * So no earlier request with the key may have run, either.  Only the owner of
 * the partition can tell, and only for a key that its ledger covers.
 */
static Mh__Outcome
key_outcome(const struct call *c)
{
	if (!mh_claim_exclusive(c->s->k, c->partition))
		return MH__OUTCOME__UNKNOWN;
	return mh_ledger_outcome(c->s->ledger, c->partition, c->once_key);
}

/* The result is kept until acknowledged, so a new link can request it. */
static void
end_call(struct call *c, Mh__Outcome outcome, enum mh_refusal why)
{
	c->state = ST_ENDED;
	c->outcome = outcome;
	c->reason = why;
	if (c->at_most_once && outcome == MH__OUTCOME__NOT_RUN)
		c->key_outcome = key_outcome(c);
	send_result(c);
}

static void
record_refusal(struct call *c)
{
	struct side *s = c->s;

	/* Only the call that added the ledger row may remove it. */
	if (c->state == ST_QUEUED || c->state == ST_RUNNING)
		mh_ledger_undo(s->ledger, c->once_key);
	mh_ledger_refuse(s->ledger, c->once_key, c->key.request,
	    mh_wall(s->k) / MH_US_PER_MS);
}

/*
 * The call has not started here.  For an at-most-once call the refusal is
 * recorded, so that a copy of the same request that is still in transit does
 * not run here either, even if this process owns the partition by then.
 */
void
call_refuse(struct call *c, enum mh_refusal why, int64_t retry_us)
{
	struct side *s = c->s;
	char name[48];

	if (c->at_most_once)
		record_refusal(c);
	c->retry_us = retry_us;
	snprintf(name, sizeof(name), "side_refused_%s", refusal_names[why]);
	mh_count(s->k, name, 1);
	end_call(c, MH__OUTCOME__NOT_RUN, why);
}

static void
start(struct call *c)
{
	struct side *s = c->s;
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN);

	c->state = ST_RUNNING;
	c->run = mh_next_id(s->k);
	c->run_at_us = mh_now(s->k);
	s->running++;
	if (c->at_most_once)
		mh_claim_busy(s->k, c->partition, 1);
	g_hash_table_insert(s->runs, &c->run, c);
	m->u.run.run = c->run;
	m->u.run.kind = c->kind;
	m->u.run.path = g_strdup(c->path);
	m->u.run.key = g_strdup(c->once_key);
	m->u.run.org = g_strdup(c->org);
	m->u.run.priority = c->item.priority;
	m->u.run.stream = c->stream;
	m->u.run.timeout_us =
	    MAX(c->item.deadline_us - mh_now(s->k), RUN_TIMEOUT_MIN_US);
	m->u.run.body = g_bytes_ref(c->body);
	mh_count(s->k, "side_runs", 1);
	mh_post(s->k, "endpoint", m);
}

/*
 * Under overload, the calls with the earliest deadlines are those that can no
 * longer meet them.  Starting them would take slots from calls that still can,
 * which would then miss their deadlines as well.  So they are refused as soon
 * as the predicted time exceeds the remaining time, which also gives their
 * callers an earlier response.
 */
static double
infeasible_factor(const struct side *s)
{
	struct mh_decl *d = mh_conf_get(s->k);

	if (d == NULL || d->policy.admission == MH_ADMIT_ALL)
		return 0;
	return MIN(s->factor, 1.0);
}

/* Refuses a call whose request is quarantined; false if it is not. */
static bool
refuse_if_quarantined(struct side *s, struct call *c)
{
	int64_t us = mh_poison_quarantine_us(s->k, c->fingerprint);

	if (us > 0)
		call_refuse(c, MH_REFUSAL_QUARANTINED, us);
	return us > 0;
}

/*
 * Refuses a call that may run at another endpoint while this one is at rest.
 * One that only the owner of its key may run waits, if it has the time.
 */
static bool
refuse_if_at_rest(struct side *s, struct call *c)
{
	int64_t us = rest_us(s);

	if (us == 0 || c->at_most_once)
		return false;
	call_refuse(c, MH_REFUSAL_QUEUE_FULL, us);
	return true;
}

/* Of two times of rest the one that ends later holds. */
static void
take_rest(struct side *s, int64_t us)
{
	int64_t end_us = mh_now(s->k) + us;
	GList *all;

	if (us <= 0 || end_us <= s->rest_end_us)
		return;
	mh_count(s->k, "side_rests", 1);
	mh_log(s->k, "side", "Endpoint asks for rest: ms=%" PRId64 ".",
	    us / (int64_t)MH_US_PER_MS);
	s->rest_end_us = end_us;
	all = g_hash_table_get_values(s->calls);
	for (GList *l = all; l != NULL; l = l->next) {
		struct call *c = l->data;

		if (c->state != ST_QUEUED || c->at_most_once)
			continue;
		mh_queue_remove(s->queue, &c->item);
		(void)refuse_if_at_rest(s, c);
	}
	g_list_free(all);
}

void
mh_side_quarantine(struct mh_kern *k, uint64_t fingerprint)
{
	struct side *s = mh_kern_get(k, "side");
	GList *all = g_hash_table_get_values(s->calls);

	for (GList *l = all; l != NULL; l = l->next) {
		struct call *c = l->data;

		if (c->state != ST_QUEUED || c->fingerprint != fingerprint)
			continue;
		mh_queue_remove(s->queue, &c->item);
		(void)refuse_if_quarantined(s, c);
	}
	g_list_free(all);
	side_pump(s);
}

void
side_pump(struct side *s)
{
	struct mh_item *it;

	while ((it = mh_queue_pop_infeasible(
		    s->queue, mh_now(s->k), infeasible_factor(s))) != NULL)
		call_refuse(it->call, MH_REFUSAL_DEADLINE, 0);
	while (s->running < s->a.slots && rest_us(s) == 0) {
		bool urgent_only = s->running >= s->a.slots - urgent_slots(s);
		struct call *c;

		it = mh_queue_pop(s->queue, urgent_only);
		if (it == NULL)
			return;
		c = it->call;
		/*
		 * The partition may have changed its owner while the call
		 * was queued: the new owner may run the same key.
		 */
		if (c->at_most_once &&
		    !mh_claim_owns(s->k, c->partition, c->epoch)) {
			call_refuse(c, MH_REFUSAL_NOT_OWNER, 0);
			continue;
		}
		if (refuse_if_quarantined(s, c))
			continue;
		start(c);
	}
}

/*
 * True if the call cannot finish before its deadline.  An early refusal leaves
 * the entry time to try another endpoint and the slots to calls that can meet
 * their deadlines.
 */
static bool
misses_deadline(struct side *s, struct call *c, int64_t *wait)
{
	struct mh_decl *d = mh_conf_get(s->k);
	int64_t remaining_us = c->item.deadline_us - mh_now(s->k);

	*wait = expected_wait(s, c->item.priority);
	if (d == NULL || d->policy.admission == MH_ADMIT_ALL)
		return false;
	return *wait > 0 && *wait + c->item.predicted_us > remaining_us;
}

void
call_enqueue(struct side *s, struct call *c)
{
	struct mh_item *out;
	int64_t wait;

	c->state = ST_QUEUED;
	if (refuse_if_quarantined(s, c) || refuse_if_at_rest(s, c))
		return;
	if (misses_deadline(s, c, &wait)) {
		call_refuse(c, MH_REFUSAL_DEADLINE, wait);
		return;
	}
	out = mh_queue_put(s->queue, &c->item);
	if (out != NULL)
		call_refuse(out->call, MH_REFUSAL_QUEUE_FULL, wait);
	side_pump(s);
}

static void
send_stored_result(struct call *c)
{
	const struct mh_ledger_row *r =
	    mh_ledger_find(c->s->ledger, c->once_key);

	c->status = r->status;
	c->result = r->body == NULL ? NULL : g_bytes_ref(r->body);
	mh_count(c->s->k, "side_repeats_answered", 1);
	end_call(c, MH__OUTCOME__DONE, MH_REFUSAL_NONE);
}

void
call_admit_once(struct side *s, struct call *c)
{
	struct mh_decl *d = mh_conf_get(s->k);
	struct mh_ledger_request a = { .partition = c->partition,
		.key = c->once_key,
		.request = c->key.request,
		.now_ms = mh_wall(s->k) / MH_US_PER_MS };
	gsize len;
	const void *data = g_bytes_get_data(c->body, &len);

	if (d == NULL || !mh_claim_owns(s->k, c->partition, c->epoch)) {
		call_refuse(c, MH_REFUSAL_NOT_OWNER, 0);
		return;
	}
	a.body_hash = mh_hash(data, len) | 1;
	a.skew_ms = d->policy.skew_us / MH_US_PER_MS;
	a.retention_ms = d->policy.retention_us / MH_US_PER_MS;
	switch (mh_ledger_request(s->ledger, &a)) {
	case MH_LEDGER_RUN:
		call_enqueue(s, c);
		break;
	case MH_LEDGER_ATTACH:
		c->state = ST_ATTACHED;
		break;
	case MH_LEDGER_DONE:
		send_stored_result(c);
		break;
	case MH_LEDGER_REFUSED:
		call_refuse(c, MH_REFUSAL_DUPLICATE, 0);
		break;
	case MH_LEDGER_REVOKED:
		call_refuse(c, MH_REFUSAL_REVOKED, 0);
		break;
	case MH_LEDGER_MISMATCH:
		call_refuse(c, MH_REFUSAL_MISMATCH, 0);
		break;
	case MH_LEDGER_FUTURE:
		call_refuse(c, MH_REFUSAL_FUTURE, 0);
		break;
	case MH_LEDGER_UNKNOWN:
		mh_count(s->k, "side_unknown", 1);
		end_call(c, MH__OUTCOME__UNKNOWN, MH_REFUSAL_NONE);
		break;
	}
}

struct call *
call_new(struct side *s, uint64_t conn, const Mh__Call *m)
{
	struct call *c = g_new0(struct call, 1);

	side_read_id(m->id, &c->key);
	c->s = s;
	c->conn = conn;
	c->kind = m->kind;
	c->at_most_once = m->never;
	c->stream = m->stream;
	c->once_key = g_strdup(m->key);
	c->partition = m->partition;
	c->epoch = m->epoch;
	c->fingerprint = m->print;
	c->path = g_strdup(m->path);
	c->org = g_strdup(m->org);
	c->body = g_bytes_new(m->body.data, m->body.len);
	c->chunks =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	c->item.priority = m->priority;
	c->item.deadline_us = mh_now(s->k) +
	    (int64_t)MIN(m->left_us, (uint64_t)G_MAXINT32 * 1000);
	c->item.units = m->units;
	c->item.predicted_us = (int64_t)m->predicted_us;
	c->item.org_weight = m->org_weight;
	c->item.org = c->org;
	c->item.call = c;
	g_hash_table_insert(s->calls, &c->key, c);
	return c;
}

void
call_resend(struct call *c, uint64_t conn, guint from)
{
	c->conn = conn;
	c->orphan_since_us = 0;
	for (guint i = from; i < c->chunks->len; i++)
		send_chunk(c, i);
	if (c->state == ST_ENDED)
		send_result(c);
}

static void
post_abort(struct call *c)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN_ABORT);

	m->u.run.run = c->run;
	mh_post(c->s->k, "endpoint", m);
}

static void
abort_run(struct call *c)
{
	struct side *s = c->s;

	post_abort(c);
	g_hash_table_remove(s->runs, &c->run);
	s->running--;
}

/*
 * Drops a call whose result is no longer wanted.  A running at-most-once call
 * is not aborted: its outcome must reach the ledger.
 */
void
call_cancel(struct call *c)
{
	struct side *s = c->s;

	mh_count(s->k, "side_cancels", 1);
	switch (c->state) {
	case ST_QUEUED:
		mh_queue_remove(s->queue, &c->item);
		if (c->at_most_once)
			record_refusal(c);
		call_drop(c);
		break;
	case ST_RUNNING:
		if (c->at_most_once)
			return;
		abort_run(c);
		call_drop(c);
		side_pump(s);
		break;
	case ST_NEW:
	case ST_ATTACHED:
	case ST_ENDED:
		call_drop(c);
		break;
	}
}

static void
end_attached(struct side *s, struct call *first)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct call *c = v;

		if (c->state != ST_ATTACHED ||
		    strcmp(c->once_key, first->once_key) != 0)
			continue;
		c->status = first->status;
		c->result =
		    first->result == NULL ? NULL : g_bytes_ref(first->result);
		end_call(c, first->outcome, MH_REFUSAL_NONE);
	}
}

/* A peer closes the link whenever it receives a longer frame. */
static bool
fits_in_frame(const struct mh_run_msg *m)
{
	return m->body == NULL || g_bytes_get_size(m->body) <= MAX_RESULT_BYTES;
}

static Mh__Outcome
outcome_of(const struct call *c, const struct mh_run_msg *m)
{
	bool whole = m->complete && fits_in_frame(m);

	if (!m->sent)
		return c->at_most_once ? MH__OUTCOME__NOT_RUN
				       : MH__OUTCOME__FAILED;
	if (whole && m->status >= 200 && m->status < 300)
		return MH__OUTCOME__DONE;
	if (whole && c->kind == MH_SERVICE && m->status >= 400 &&
	    m->status < 500)
		return MH__OUTCOME__DONE;
	/* Aborted or failed after it was sent: it may have run. */
	return c->at_most_once ? MH__OUTCOME__UNKNOWN : MH__OUTCOME__FAILED;
}

static void
update_factor(struct side *s, const struct call *c)
{
	double f;

	if (c->item.predicted_us <= 0 || c->outcome != MH__OUTCOME__DONE)
		return;
	s->run_us += FACTOR_GAIN * ((double)c->endpoint_us - s->run_us);
	f = (double)c->endpoint_us / (double)c->item.predicted_us;
	s->factor += FACTOR_GAIN * (CLAMP(f, 0.1, 20.0) - s->factor);
}

void
side_set_endpoint_id(struct side *s)
{
	g_free(s->endpoint_id);
	s->endpoint_id = g_strdup_printf(
	    "%s@%" PRIx64 "/%u", s->a.vm, s->a.incarnation, s->crashes);
}

/* Reports the end of a run to the poison request detection. */
static void
report_to_poison(
    struct side *s, const struct call *c, const struct mh_run_msg *m)
{
	struct mh_poison_break e = { s->endpoint_id, s->pool, c->fingerprint,
		c->run_at_us,
		c->first_us > 0 &&
		    c->endpoint_us - c->first_us > MH_POISON_EARLY_US,
		NULL, 0 };

	if (m->broke) {
		if (s->broken_since_us == 0)
			s->broken_since_us = mh_now(s->k);
		mh_poison_call_broke(s->k, &e);
		return;
	}
	if (!m->complete)
		return;
	mh_poison_completed(s->k, c->fingerprint, s->pool);
	if (s->broken_since_us == 0)
		return;
	mh_poison_answered(s->k, s->endpoint_id, c->run_at_us, false);
	if (c->run_at_us < s->broken_since_us)
		return;
	/* The endpoint is up: the next broken call means another crash. */
	s->broken_since_us = 0;
	s->crashes++;
	side_set_endpoint_id(s);
}

void
side_run_ended(struct side *s, const struct mh_run_msg *m)
{
	struct call *c = g_hash_table_lookup(s->runs, &m->run);

	if (c == NULL) {
		mh_count(s->k, "side_unmatched_ends", 1);
		return;
	}
	g_hash_table_remove(s->runs, &m->run);
	s->running--;
	c->endpoint_us = mh_now(s->k) - c->run_at_us;
	c->outcome = outcome_of(c, m);
	c->status = m->status;
	c->usage.tokens_in = m->tokens_in;
	c->usage.tokens_cached = m->tokens_cached;
	c->usage.tokens_out = m->tokens_out;
	c->result =
	    m->body == NULL || !fits_in_frame(m) ? NULL : g_bytes_ref(m->body);
	update_factor(s, c);
	report_to_poison(s, c, m);
	take_rest(s, m->rest_us);
	mh_count(s->k, "side_endpoint_us", (uint64_t)c->endpoint_us);
	if (c->at_most_once) {
		mh_claim_busy(s->k, c->partition, -1);
		if (c->outcome == MH__OUTCOME__NOT_RUN)
			record_refusal(c);
		else
			mh_ledger_end(s->ledger, c->once_key, c->outcome,
			    c->status, c->result);
		end_attached(s, c);
	}
	end_call(c, c->outcome, MH_REFUSAL_NONE);
	side_pump(s);
}

void
side_abort_runs(struct side *s)
{
	GList *all = g_hash_table_get_values(s->runs);

	for (GList *n = all; n != NULL; n = n->next) {
		struct call *c = n->data;
		struct mh_run_msg cut = { .run = c->run, .sent = true };

		mh_count(s->k, "side_cuts", 1);
		post_abort(c);
		side_run_ended(s, &cut);
	}
	g_list_free(all);
}

void
side_run_chunk(struct side *s, const struct mh_run_msg *m)
{
	struct call *c = g_hash_table_lookup(s->runs, &m->run);

	if (c == NULL || c->state != ST_RUNNING)
		return;
	if (c->first_us == 0)
		c->first_us = mh_now(s->k) - c->run_at_us;
	g_ptr_array_add(c->chunks, g_bytes_ref(m->body));
	send_chunk(c, c->chunks->len - 1);
}
