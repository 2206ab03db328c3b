/**
 * DOC: The side process: the only process that calls its endpoint.
 *
 * Keeps the bounded queue, the at-most-once ledger and every result that its
 * entry has not acknowledged.  Calls are identified by their id: a call that
 * arrives again, on any link, is resumed and not run a second time.
 */

#include "side.h"

#include <stdlib.h>
#include <string.h>

#define TICK_US (100 * MH_US_PER_MS)
#define RESULT_KEEP_US (5 * MH_US_PER_S) /* after the call's deadline */
#define ORPHAN_TIMEOUT_US (1 * MH_US_PER_S) /* no link to its entry */
#define LEDGER_LIMIT 65536
#define ORDER_TIMEOUT_US (10 * MH_US_PER_S)
/*
 * Time reserved before the kill to deliver the last results.  A link that has
 * just broken is detected (200 ms) and dialled again (300 ms), and its entry
 * then requests the results.
 */
#define RESULT_DELIVERY_US (1 * MH_US_PER_S)

static struct side *
get(struct mh_kern *k)
{
	return mh_kern_get(k, "side");
}

static guint
key_hash(gconstpointer p)
{
	return (guint)mh_hash(p, sizeof(struct call_key));
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct call_key)) == 0;
}

bool
side_read_id(const Mh__CallId *id, struct call_key *k)
{
	memset(k, 0, sizeof(*k));
	if (id == NULL || id->request.len != MH_ID_LEN)
		return false;
	memcpy(k->request, id->request.data, MH_ID_LEN);
	k->entry = id->entry;
	k->stage = id->stage;
	k->attempt = id->attempt;
	return true;
}

static void
on_call(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct side *s = arg;
	struct call_key key;
	struct call *c;

	if (!side_read_id(f->call->id, &key) || f->call->kind > MH_SERVICE) {
		mh_count(s->k, "side_bad_calls", 1);
		return;
	}
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL) {
		mh_count(s->k, "side_call_repeats", 1);
		call_resend(c, conn, 0);
		return;
	}
	c = call_new(s, conn, f->call);
	if (s->draining)
		call_refuse(c, MH_REFUSAL_DRAINING, 0);
	else if (c->at_most_once)
		call_admit_once(s, c);
	else
		call_enqueue(s, c);
}

static void
on_resume(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct side *s = arg;
	struct call_key key;
	struct call *c;
	Mh__Frame out = MH__FRAME__INIT;
	Mh__Result r = MH__RESULT__INIT;

	if (!side_read_id(f->resume->id, &key))
		return;
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL) {
		call_resend(c, conn, f->resume->next_seq);
		return;
	}
	r.id = f->resume->id;
	r.outcome = MH__OUTCOME__NOT_SEEN;
	out.body_case = MH__FRAME__BODY_RESULT;
	out.result = &r;
	mh_frame_send(s->k, conn, &out);
}

static void
on_ack(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct side *s = arg;
	struct call_key key;
	struct call *c;

	(void)conn;
	if (!side_read_id(f->ack->id, &key))
		return;
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL && c->state == ST_ENDED)
		call_drop(c);
}

static void
on_cancel(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct side *s = arg;
	struct call_key key;
	struct call *c;

	(void)conn;
	if (!side_read_id(f->cancel->id, &key))
		return;
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL)
		call_cancel(c);
}

static void
on_lookup(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct side *s = arg;
	const Mh__Lookup *q = in->lookup;
	const struct mh_ledger_row *r;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Outcomes o = MH__OUTCOMES__INIT;
	gsize len = 0;

	if (q->partition >= MH_PARTITIONS)
		return;
	o.token = q->token;
	r = mh_ledger_find(s->ledger, q->key);
	if (!mh_claim_open(s->k, q->partition)) {
		o.outcome = MH__OUTCOME__UNKNOWN;
	} else if (r == NULL && !mh_claim_exclusive(s->k, q->partition)) {
		/* The next owner doesn't get the row, nor do we get its. */
		o.outcome = MH__OUTCOME__UNKNOWN;
	} else if (q->revoke) {
		r = mh_ledger_revoke(s->ledger, q->partition, q->key,
		    mh_wall(s->k) / MH_US_PER_MS);
		o.outcome = r == NULL ? MH__OUTCOME__UNKNOWN : r->outcome;
	} else if (r != NULL) {
		o.outcome = r->outcome;
	} else {
		o.outcome =
		    mh_ledger_may_have_run(s->ledger, q->partition, q->key)
		    ? MH__OUTCOME__UNKNOWN
		    : MH__OUTCOME__NOT_SEEN;
	}
	if (r != NULL && r->body != NULL) {
		o.body.data =
		    (uint8_t *)(uintptr_t)g_bytes_get_data(r->body, &len);
		o.status = r->status;
	}
	o.body.len = len;
	f.body_case = MH__FRAME__BODY_OUTCOMES;
	f.outcomes = &o;
	mh_frame_send(s->k, conn, &f);
}

static bool
endpoint_fences(const struct side *s)
{
	struct mh_decl *d = mh_conf_get(s->k);
	const struct mh_pool *p = d == NULL ? NULL : mh_decl_pool(d, s->pool);

	return p != NULL && p->checks_fencing;
}

/* While draining, orders must complete before the drain deadline, too. */
static int64_t
order_timeout(const struct side *s)
{
	if (!s->draining)
		return ORDER_TIMEOUT_US;
	return CLAMP(s->drain_deadline_us - mh_now(s->k), 0, ORDER_TIMEOUT_US);
}

/*
 * An order with an old fencing number comes from a lease holder whose lease
 * expired while it was paused.  An endpoint that does not check fencing numbers
 * would execute the order, so the side process refuses it.
 */
static void
on_order(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct side *s = arg;
	const Mh__Order *m = in->order;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__OrderResult r = MH__ORDER_RESULT__INIT;
	struct mh_msg *run;
	struct order *o;
	json_t *body;
	char *text;

	if (m->fence < s->fence && !endpoint_fences(s)) {
		mh_count(s->k, "side_orders_fenced", 1);
		r.token = m->token;
		r.status = 409;
		r.text = (char *)"old fencing number; take the lease again";
		f.body_case = MH__FRAME__BODY_ORDER_RESULT;
		f.order_result = &r;
		mh_frame_send(s->k, conn, &f);
		return;
	}
	s->fence = MAX(s->fence, m->fence);
	o = g_new0(struct order, 1);
	o->conn = conn;
	o->token = m->token;
	run = mh_msg_new(MH_MSG_RUN);
	run->u.run.run = mh_next_id(s->k);
	run->u.run.kind = MH_SERVICE;
	run->u.run.path = g_strdup("/v1/orders");
	run->u.run.timeout_us = order_timeout(s);
	body = json_pack("{s:I, s:s, s:s}", "fence", (json_int_t)m->fence,
	    "verb", m->verb, "subject", m->subject);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	run->u.run.body =
	    g_bytes_new_with_free_func(text, strlen(text), free, text);
	g_hash_table_insert(
	    s->orders, g_memdup2(&run->u.run.run, sizeof(run->u.run.run)), o);
	mh_post(s->k, "endpoint", run);
}

/* The calls of a crashed entry are dropped: nobody will request them. */
static bool
is_orphaned(struct side *s, struct call *c)
{
	if (mh_member_conn(s->k, c->conn) != NULL) {
		c->orphan_since_us = 0;
		return false;
	}
	if (c->orphan_since_us == 0)
		c->orphan_since_us = mh_now(s->k);
	return mh_now(s->k) - c->orphan_since_us > ORPHAN_TIMEOUT_US;
}

static void
drop_expired_calls(struct side *s)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct call *c = v;
		bool keep = mh_now(s->k) < c->item.deadline_us + RESULT_KEEP_US;

		if (c->state == ST_ENDED ? !keep : is_orphaned(s, c))
			g_ptr_array_add(expired, c);
	}
	for (guint i = 0; i < expired->len; i++)
		call_cancel(expired->pdata[i]);
	g_ptr_array_free(expired, TRUE);
}

static void
on_tick(void *arg)
{
	struct side *s = arg;
	struct mh_decl *d = mh_conf_get(s->k);

	mh_timer_set(s->k, &s->tick, TICK_US, on_tick, s);
	drop_expired_calls(s);
	if (s->draining && mh_now(s->k) >= s->drain_deadline_us)
		side_abort_runs(s);
	side_pump(s);
	if (d != NULL)
		mh_ledger_expire(s->ledger, mh_wall(s->k) / MH_US_PER_MS,
		    d->policy.retention_us / MH_US_PER_MS);
}

static void
on_config(void *arg, struct mh_decl *d)
{
	struct side *s = arg;

	mh_queue_policy(s->queue, d->policy.queueing);
	for (guint i = 0; i < d->classes->len; i++) {
		const struct mh_class *c = d->classes->pdata[i];

		mh_queue_share(s->queue, c->priority, c->share);
	}
}

/*
 * A call's own deadline may be an hour ahead, long after this process is
 * killed.  Without this limit its caller gets no response, and a call that
 * never left the queue stays "unknown" for good, as only this process could
 * report that it did not run.  With the drain deadline as the call's deadline,
 * the call is refused while the refusal can still be sent, and a call that
 * could not finish in time is not started.
 */
static void
limit_deadlines(struct side *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct call *c = v;

		c->item.deadline_us =
		    MIN(c->item.deadline_us, s->drain_deadline_us);
	}
}

void
mh_side_drain(struct mh_kern *k, int64_t grace_us)
{
	struct side *s = get(k);

	s->draining = true;
	s->drain_deadline_us = mh_now(k) + grace_us - RESULT_DELIVERY_US;
	limit_deadlines(s);
	mh_member_drain(k);
	mh_claim_drain(k);
}

bool
mh_side_idle(struct mh_kern *k)
{
	struct side *s = get(k);

	return s->draining && s->running == 0 &&
	    g_hash_table_size(s->calls) == 0 &&
	    g_hash_table_size(s->orders) == 0 && mh_claim_count(k) == 0;
}

json_t *
mh_side_state(struct mh_kern *k)
{
	struct side *s = get(k);

	return json_pack("{s:s, s:i, s:i, s:i, s:i, s:b, s:I, s:f, s:o}",
	    "pool", s->pool, "running", (int)s->running, "queued",
	    (int)mh_queue_len(s->queue), "slots", (int)s->a.slots, "calls",
	    (int)g_hash_table_size(s->calls), "draining", s->draining, "fence",
	    (json_int_t)s->fence, "factor", s->factor, "claim",
	    mh_claim_state(k));
}

/* Sends the result of an order; false if the run was not an order. */
static bool
order_ended(struct side *s, const struct mh_run_msg *m)
{
	struct order *o = g_hash_table_lookup(s->orders, &m->run);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__OrderResult r = MH__ORDER_RESULT__INIT;

	if (o == NULL)
		return false;
	r.token = o->token;
	r.status = m->status;
	r.text = (char *)"endpoint answered";
	f.body_case = MH__FRAME__BODY_ORDER_RESULT;
	f.order_result = &r;
	mh_frame_send(s->k, o->conn, &f);
	g_hash_table_remove(s->orders, &m->run);
	return true;
}

static void
handle(void *self, struct mh_msg *m)
{
	switch (m->kind) {
	case MH_MSG_RUN_DONE:
		if (!order_ended(self, &m->u.run))
			side_run_ended(self, &m->u.run);
		break;
	case MH_MSG_RUN_CHUNK:
		side_run_chunk(self, &m->u.run);
		break;
	default:
		mh_count(((struct side *)self)->k, "side_unexpected", 1);
		break;
	}
}

static void
destroy(void *self)
{
	struct side *s = self;

	mh_timer_stop(s->k, &s->tick);
	g_hash_table_destroy(s->runs);
	g_hash_table_destroy(s->orders);
	g_hash_table_destroy(s->calls);
	mh_queue_destroy(s->queue);
	mh_ledger_destroy(s->ledger);
	g_free(s->endpoint_id);
	g_free(s->pool);
	g_free(s);
}

void
mh_side_create(struct mh_kern *k, const struct mh_side_args *a)
{
	struct side *s = g_new0(struct side, 1);

	s->k = k;
	s->a = *a;
	s->a.slots = MAX(a->slots, 1);
	s->pool = g_strdup(a->pool);
	side_set_endpoint_id(s);
	s->factor = 1.0;
	s->queue = mh_queue_create(a->queue_limit);
	s->ledger = mh_ledger_create(LEDGER_LIMIT);
	s->calls = g_hash_table_new_full(key_hash, key_equal, NULL, call_free);
	s->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	mh_hub_create(k);
	mh_member_create(k, a->vm, a->domain, "side");
	mh_roster_create(k, a->vm, a->domain, a->pool);
	mh_conf_create(k);
	mh_claim_create(k, a->vm, a->pool, a->incarnation, s->ledger);
	mh_poison_member_create(k);
	mh_kern_add(k, "side", s, handle, destroy);
	mh_conf_on_change(k, on_config, s);
	mh_hub_set_handler(k, MH__FRAME__BODY_CALL, on_call, s);
	mh_hub_set_handler(k, MH__FRAME__BODY_RESUME, on_resume, s);
	mh_hub_set_handler(k, MH__FRAME__BODY_ACK, on_ack, s);
	mh_hub_set_handler(k, MH__FRAME__BODY_CANCEL, on_cancel, s);
	mh_hub_set_handler(k, MH__FRAME__BODY_LOOKUP, on_lookup, s);
	mh_hub_set_handler(k, MH__FRAME__BODY_ORDER, on_order, s);
	mh_timer_set(k, &s->tick, TICK_US, on_tick, s);
}
