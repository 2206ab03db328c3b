/**
 * DOC: The side process: the only way into its endpoint.
 *
 * Holds the bounded queue, the at-most-once ledger and every unacknowledged
 * result.  A call is known by its id; the same call arriving again, on any
 * link, is resumed and never run a second time.
 */

#include "marlhoist.h"

#include <string.h>

#define TICK_US (100 * MH_US_PER_MS)
#define KEEP_US (5 * MH_US_PER_S) /* results, past their deadline */
#define ORPHAN_US (1 * MH_US_PER_S) /* no link to the asking entry */
#define LEDGER_LIMIT 65536
#define URGENT_SLOTS_PART 8 /* one slot in eight waits for priority 0 */
#define URGENT_WAIT_US (250 * MH_US_PER_MS)
#define FACTOR_GAIN 0.05
#define RUN_MIN_US (20 * MH_US_PER_MS)

static const char *const reason_names[] = { "none", "full", "late", "leaving",
	"not_owner", "tombstone", "mismatch", "future", "no_claim" };

enum reason {
	WHY_NONE,
	WHY_FULL,
	WHY_LATE,
	WHY_LEAVING,
	WHY_NOT_OWNER,
	WHY_TOMBSTONE,
	WHY_MISMATCH,
	WHY_FUTURE,
	WHY_NO_CLAIM
};

enum state { ST_CLAIMING, ST_QUEUED, ST_RUNNING, ST_ATTACHED, ST_ENDED };

struct call_key {
	uint8_t request[MH_ID_LEN];
	uint64_t entry;
	uint32_t stage;
	uint32_t attempt;
};

struct call {
	struct mh_item item;
	struct call_key key;
	struct side *s;
	uint64_t conn;
	enum state state;
	uint32_t kind;
	bool never;
	bool stream;
	char *once; /* at-most-once key */
	uint32_t partition;
	uint64_t epoch;
	char *path;
	char *org;
	GBytes *body;
	uint64_t run; /* token of the run or of the claim */
	int64_t run_at_us;
	int64_t first_us; /* endpoint's time to the first chunk */
	int64_t orphan_us; /* since when no link leads to its entry */
	GPtrArray *chunks;
	/* the end */
	Mh__Outcome outcome;
	uint32_t status;
	enum reason reason;
	int64_t retry_us;
	GBytes *result;
	struct mh_run_msg used;
	int64_t endpoint_us;
};

struct order {
	uint64_t conn;
	uint64_t token;
};

struct side {
	struct mh_kern *k;
	struct mh_side_args a;
	char *pool;
	GHashTable *calls; /* by id */
	GHashTable *runs; /* run token -> struct call */
	GHashTable *orders; /* run token -> struct order */
	struct mh_queue *queue;
	struct mh_ledger *ledger;
	uint32_t running;
	double run_us; /* smoothed time of a call at the endpoint */
	double factor; /* real over predicted time at this endpoint */
	bool draining;
	uint64_t fence; /* highest order number seen */
	struct mh_timer *tick;
};

static void pump(struct side *s);

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

static bool
read_id(const Mh__CallId *id, struct call_key *k)
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
free_call(void *arg)
{
	struct call *c = arg;

	mh_queue_remove(c->s->queue, &c->item);
	g_ptr_array_unref(c->chunks);
	g_free(c->once);
	g_free(c->path);
	g_free(c->org);
	g_bytes_unref(c->body);
	if (c->result != NULL)
		g_bytes_unref(c->result);
	g_free(c);
}

static void
drop_call(struct call *c)
{
	g_hash_table_remove(c->s->calls, &c->key);
}

/*
 * Where slots come free rarely, one in eight is kept for the most urgent
 * class.  Elsewhere urgent work, first in the queue, gets the next free slot
 * soon enough, and a kept slot would only idle.
 */
static uint32_t
urgent_slots(const struct side *s)
{
	struct mh_decl *d = mh_conf_get(s->k);

	if (d == NULL || d->policy.queueing == MH_QUEUE_FIFO ||
	    s->a.slots < URGENT_SLOTS_PART ||
	    s->run_us / s->a.slots < URGENT_WAIT_US)
		return 0;
	return s->a.slots / URGENT_SLOTS_PART;
}

/* Expected wait of a call of @priority that came now. */
static int64_t
expected_wait(const struct side *s, uint32_t priority)
{
	int64_t work;

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
	struct side *s = get(k);

	if (s == NULL)
		return false;
	l->running = s->running;
	l->queued = mh_queue_len(s->queue);
	l->slots = s->a.slots;
	for (uint32_t p = 0; p < MH_PRIORITIES; p++)
		wait_us[p] = (uint64_t)expected_wait(s, p);
	l->n_wait_us = MH_PRIORITIES;
	l->wait_us = wait_us;
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
	r.tokens_in = c->used.tokens_in;
	r.tokens_cached = c->used.tokens_cached;
	r.tokens_out = c->used.tokens_out;
	r.first_us = (uint64_t)c->first_us;
	r.reason = c->reason;
	r.retry_us = (uint64_t)c->retry_us;
	mh_side_load(c->s->k, &load, wait_us);
	f.load = &load;
	f.body_case = MH__FRAME__BODY_RESULT;
	f.result = &r;
	mh_frame_send(c->s->k, c->conn, &f);
}

/* The result stays until acknowledged, so a new link can ask for it. */
static void
end_call(struct call *c, Mh__Outcome outcome, enum reason why)
{
	c->state = ST_ENDED;
	c->outcome = outcome;
	c->reason = why;
	send_result(c);
}

static void
undo_once(struct call *c)
{
	struct side *s = c->s;

	/* Only a call that entered its row may take it out again. */
	if (c->state == ST_QUEUED || c->state == ST_RUNNING)
		mh_ledger_undo(s->ledger, c->once);
	mh_ledger_refuse(
	    s->ledger, c->once, c->key.request, mh_wall(s->k) / MH_US_PER_MS);
}

/*
 * It never started here and, under this request, never will: a copy that is
 * still on its way must find the mark, whoever owns the partition by then.
 */
static void
refuse(struct call *c, enum reason why, int64_t retry_us)
{
	struct side *s = c->s;
	char name[48];

	if (c->never)
		undo_once(c);
	c->retry_us = retry_us;
	snprintf(name, sizeof(name), "side_refused_%s", reason_names[why]);
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
	if (c->never)
		mh_claim_busy(s->k, c->partition, 1);
	g_hash_table_insert(s->runs, &c->run, c);
	m->u.run.run = c->run;
	m->u.run.kind = c->kind;
	m->u.run.path = g_strdup(c->path);
	m->u.run.key = g_strdup(c->once);
	m->u.run.org = g_strdup(c->org);
	m->u.run.priority = c->item.priority;
	m->u.run.stream = c->stream;
	m->u.run.once = c->never;
	m->u.run.timeout_us =
	    MAX(c->item.deadline_us - mh_now(s->k), RUN_MIN_US);
	m->u.run.body = g_bytes_ref(c->body);
	mh_count(s->k, "side_runs", 1);
	mh_post(s->k, "endpoint", m);
}

/*
 * In an overload the earliest deadlines are those that can no longer be
 * met.  Started all the same, each takes a slot from one that could still
 * be on time, which then is late in its turn.  Refused as soon as it is
 * clear, the caller also hears it sooner.
 */
static double
late_factor(const struct side *s)
{
	struct mh_decl *d = mh_conf_get(s->k);

	if (d == NULL || d->policy.admission == MH_ADMIT_ALL)
		return 0;
	return MIN(s->factor, 1.0);
}

static void
pump(struct side *s)
{
	struct mh_item *it;

	while ((it = mh_queue_pop_late(
		    s->queue, mh_now(s->k), late_factor(s))) != NULL)
		refuse(it->call, WHY_LATE, 0);
	while (s->running < s->a.slots) {
		bool urgent_only = s->running >= s->a.slots - urgent_slots(s);
		struct call *c;

		it = mh_queue_pop(s->queue, urgent_only);
		if (it == NULL)
			return;
		c = it->call;
		/*
		 * Ownership may have moved while the call waited: a stale
		 * start here would be a second run elsewhere.
		 */
		if (c->never && !mh_claim_owns(s->k, c->partition, c->epoch)) {
			refuse(c, WHY_NOT_OWNER, 0);
			continue;
		}
		start(c);
	}
}

/*
 * Refused at once when it could not end in time: the entry still has time
 * to ask another endpoint, and the slots serve what can be on time.
 */
static bool
too_late(struct side *s, struct call *c, int64_t *wait)
{
	struct mh_decl *d = mh_conf_get(s->k);
	int64_t left = c->item.deadline_us - mh_now(s->k);

	*wait = expected_wait(s, c->item.priority);
	if (d == NULL || d->policy.admission == MH_ADMIT_ALL)
		return false;
	return *wait > 0 && *wait + c->item.predicted_us > left;
}

static void
enqueue(struct side *s, struct call *c)
{
	struct mh_item *out;
	int64_t wait;

	c->state = ST_QUEUED;
	if (too_late(s, c, &wait)) {
		refuse(c, WHY_LATE, wait);
		return;
	}
	out = mh_queue_put(s->queue, &c->item);
	if (out != NULL)
		refuse(out->call, WHY_FULL, wait);
	pump(s);
}

static void
stored_answer(struct call *c)
{
	const struct mh_ledger_row *r = mh_ledger_find(c->s->ledger, c->once);

	c->status = r->status;
	c->result = r->body == NULL ? NULL : g_bytes_ref(r->body);
	mh_count(c->s->k, "side_repeats_answered", 1);
	end_call(c, MH__OUTCOME__DONE, WHY_NONE);
}

static void
claim_in_kv(struct side *s, struct call *c)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_KV);
	char *text = mh_uuid_text(c->key.request);

	c->state = ST_CLAIMING;
	c->run = mh_next_id(s->k);
	g_hash_table_insert(s->runs, &c->run, c);
	m->u.kv.op = MH_KV_PUT;
	m->u.kv.token = c->run;
	m->u.kv.from = g_strdup("side");
	m->u.kv.name = g_strdup_printf("claims/%s/%s", s->pool, c->once);
	m->u.kv.value = g_bytes_new_take(text, strlen(text));
	mh_post(s->k, "kv", m);
}

static void
decide_once(struct side *s, struct call *c, bool claimed)
{
	struct mh_decl *d = mh_conf_get(s->k);
	struct mh_ledger_ask a = { .partition = c->partition,
		.key = c->once,
		.request = c->key.request,
		.now_ms = mh_wall(s->k) / MH_US_PER_MS,
		.claimed = claimed };
	gsize len;
	const void *data = g_bytes_get_data(c->body, &len);

	if (d == NULL || !mh_claim_owns(s->k, c->partition, c->epoch)) {
		refuse(c, WHY_NOT_OWNER, 0);
		return;
	}
	a.body_hash = mh_hash(data, len) | 1;
	a.skew_ms = d->policy.skew_us / MH_US_PER_MS;
	a.retention_ms = d->policy.retention_us / MH_US_PER_MS;
	switch (mh_ledger_ask(s->ledger, &a)) {
	case MH_LEDGER_RUN:
		enqueue(s, c);
		break;
	case MH_LEDGER_ATTACH:
		c->state = ST_ATTACHED;
		break;
	case MH_LEDGER_DONE:
		stored_answer(c);
		break;
	case MH_LEDGER_TOMBSTONE:
		refuse(c, WHY_TOMBSTONE, 0);
		break;
	case MH_LEDGER_MISMATCH:
		c->status = 409;
		refuse(c, WHY_MISMATCH, 0);
		break;
	case MH_LEDGER_FUTURE:
		refuse(c, WHY_FUTURE, 0);
		break;
	case MH_LEDGER_CLAIM:
		claim_in_kv(s, c);
		break;
	case MH_LEDGER_UNKNOWN:
		mh_count(s->k, "side_unknown", 1);
		end_call(c, MH__OUTCOME__UNKNOWN, WHY_NONE);
		break;
	}
}

/*
 * The claim's answer.  "Not written" means somebody claimed it before, and
 * may have run it.  No answer leaves it unrun here, and a later repeat
 * finds the claim, so "not run" stays true.
 */
static void
claim_done(struct side *s, const struct mh_kv_msg *v)
{
	struct call *c = g_hash_table_lookup(s->runs, &v->token);

	if (c == NULL)
		return;
	g_hash_table_remove(s->runs, &v->token);
	if (!v->ok)
		refuse(c, WHY_NO_CLAIM, MH_US_PER_S);
	else if (!v->found)
		end_call(c, MH__OUTCOME__UNKNOWN, WHY_NONE);
	else
		decide_once(s, c, true);
}

static struct call *
new_call(struct side *s, uint64_t conn, const Mh__Call *m)
{
	struct call *c = g_new0(struct call, 1);

	read_id(m->id, &c->key);
	c->s = s;
	c->conn = conn;
	c->kind = m->kind;
	c->never = m->never;
	c->stream = m->stream;
	c->once = g_strdup(m->key);
	c->partition = m->partition;
	c->epoch = m->epoch;
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

static void
resend(struct call *c, uint64_t conn, guint from)
{
	c->conn = conn;
	c->orphan_us = 0;
	for (guint i = from; i < c->chunks->len; i++)
		send_chunk(c, i);
	if (c->state == ST_ENDED)
		send_result(c);
}

static void
on_call(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct side *s = arg;
	struct call_key key;
	struct call *c;

	if (!read_id(f->call->id, &key) || f->call->kind > MH_SERVICE) {
		mh_count(s->k, "side_bad_calls", 1);
		return;
	}
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL) {
		mh_count(s->k, "side_call_repeats", 1);
		resend(c, conn, 0);
		return;
	}
	c = new_call(s, conn, f->call);
	if (s->draining)
		refuse(c, WHY_LEAVING, 0);
	else if (c->never)
		decide_once(s, c, false);
	else
		enqueue(s, c);
}

static void
on_resume(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct side *s = arg;
	struct call_key key;
	struct call *c;
	Mh__Frame out = MH__FRAME__INIT;
	Mh__Result r = MH__RESULT__INIT;

	if (!read_id(f->resume->id, &key))
		return;
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL) {
		resend(c, conn, f->resume->next_seq);
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
	if (!read_id(f->ack->id, &key))
		return;
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL && c->state == ST_ENDED)
		drop_call(c);
}

static void
abort_run(struct call *c)
{
	struct side *s = c->s;
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN_ABORT);

	m->u.run.run = c->run;
	mh_post(s->k, "endpoint", m);
	g_hash_table_remove(s->runs, &c->run);
	s->running--;
}

/*
 * What nobody waits for any more.  A non-repeatable call that runs is never
 * aborted: its end must reach the ledger.
 */
static void
cancel(struct call *c)
{
	struct side *s = c->s;

	mh_count(s->k, "side_cancels", 1);
	switch (c->state) {
	case ST_QUEUED:
		mh_queue_remove(s->queue, &c->item);
		if (c->never)
			undo_once(c);
		drop_call(c);
		break;
	case ST_RUNNING:
		if (c->never)
			return;
		abort_run(c);
		drop_call(c);
		pump(s);
		break;
	case ST_CLAIMING:
		/* Its answer finds no call; the key stays claimed, unrun. */
		g_hash_table_remove(s->runs, &c->run);
		drop_call(c);
		break;
	case ST_ATTACHED:
	case ST_ENDED:
		drop_call(c);
		break;
	}
}

static void
on_cancel(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct side *s = arg;
	struct call_key key;
	struct call *c;

	(void)conn;
	if (!read_id(f->cancel->id, &key))
		return;
	c = g_hash_table_lookup(s->calls, &key);
	if (c != NULL)
		cancel(c);
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
		    strcmp(c->once, first->once) != 0)
			continue;
		c->status = first->status;
		c->result =
		    first->result == NULL ? NULL : g_bytes_ref(first->result);
		end_call(c, first->outcome, WHY_NONE);
	}
}

static Mh__Outcome
outcome_of(const struct call *c, const struct mh_run_msg *m)
{
	if (!m->sent)
		return c->never ? MH__OUTCOME__NOT_RUN : MH__OUTCOME__FAILED;
	if (m->whole && m->status >= 200 && m->status < 300)
		return MH__OUTCOME__DONE;
	if (m->whole && c->kind == MH_SERVICE && m->status >= 400 &&
	    m->status < 500)
		return MH__OUTCOME__DONE;
	/* Cut or failed after it was sent: it may have run. */
	return c->never ? MH__OUTCOME__UNKNOWN : MH__OUTCOME__FAILED;
}

static void
learn_factor(struct side *s, const struct call *c)
{
	double f;

	if (c->item.predicted_us <= 0 || c->outcome != MH__OUTCOME__DONE)
		return;
	s->run_us += FACTOR_GAIN * ((double)c->endpoint_us - s->run_us);
	f = (double)c->endpoint_us / (double)c->item.predicted_us;
	s->factor += FACTOR_GAIN * (CLAMP(f, 0.1, 20.0) - s->factor);
}

static void
run_ended(struct side *s, const struct mh_run_msg *m)
{
	struct call *c = g_hash_table_lookup(s->runs, &m->run);
	struct order *o = g_hash_table_lookup(s->orders, &m->run);

	if (o != NULL) {
		Mh__Frame f = MH__FRAME__INIT;
		Mh__OrderResult r = MH__ORDER_RESULT__INIT;

		r.token = o->token;
		r.status = m->status;
		r.text = (char *)"endpoint answered";
		f.body_case = MH__FRAME__BODY_ORDER_RESULT;
		f.order_result = &r;
		mh_frame_send(s->k, o->conn, &f);
		g_hash_table_remove(s->orders, &m->run);
		return;
	}
	if (c == NULL) {
		mh_count(s->k, "side_unmatched_ends", 1);
		return;
	}
	g_hash_table_remove(s->runs, &m->run);
	s->running--;
	c->endpoint_us = mh_now(s->k) - c->run_at_us;
	c->outcome = outcome_of(c, m);
	c->status = m->status;
	c->used.tokens_in = m->tokens_in;
	c->used.tokens_cached = m->tokens_cached;
	c->used.tokens_out = m->tokens_out;
	c->result = m->body == NULL ? NULL : g_bytes_ref(m->body);
	learn_factor(s, c);
	mh_count(s->k, "side_endpoint_us", (uint64_t)c->endpoint_us);
	if (c->never) {
		mh_claim_busy(s->k, c->partition, -1);
		if (c->outcome == MH__OUTCOME__NOT_RUN)
			undo_once(c);
		else
			mh_ledger_end(s->ledger, c->once, c->outcome, c->status,
			    c->result);
		end_attached(s, c);
	}
	end_call(c, c->outcome, WHY_NONE);
	pump(s);
}

static void
run_chunk(struct side *s, const struct mh_run_msg *m)
{
	struct call *c = g_hash_table_lookup(s->runs, &m->run);

	if (c == NULL || c->state != ST_RUNNING)
		return;
	if (c->first_us == 0)
		c->first_us = mh_now(s->k) - c->run_at_us;
	g_ptr_array_add(c->chunks, g_bytes_ref(m->body));
	send_chunk(c, c->chunks->len - 1);
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

/*
 * An order with an old fencing number comes from a holder whose lease
 * lapsed while it was paused.  Engines that do not check would obey it, so
 * it is refused here on their behalf.
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
	char *text;

	if (m->fence < s->fence) {
		mh_count(s->k, "side_orders_fenced", 1);
		r.token = m->token;
		r.status = 409;
		r.text = (char *)"old fencing number; take the lease again";
		f.body_case = MH__FRAME__BODY_ORDER_RESULT;
		f.order_result = &r;
		mh_frame_send(s->k, conn, &f);
		return;
	}
	s->fence = m->fence;
	o = g_new0(struct order, 1);
	o->conn = conn;
	o->token = m->token;
	run = mh_msg_new(MH_MSG_RUN);
	run->u.run.run = mh_next_id(s->k);
	run->u.run.kind = MH_SERVICE;
	run->u.run.path = g_strdup("/v1/orders");
	run->u.run.timeout_us = 10 * MH_US_PER_S;
	text = g_strdup_printf("{\"fence\":%" PRIu64
			       ",\"verb\":\"%s\",\"subject\":\"%s\"}",
	    m->fence, m->verb, m->subject);
	run->u.run.body = g_bytes_new_take(text, strlen(text));
	g_hash_table_insert(
	    s->orders, g_memdup2(&run->u.run.run, sizeof(run->u.run.run)), o);
	mh_post(s->k, "endpoint", run);
}

/* An entry that died leaves calls that nobody will ever ask for. */
static bool
orphaned(struct side *s, struct call *c)
{
	if (mh_member_conn(s->k, c->conn) != NULL) {
		c->orphan_us = 0;
		return false;
	}
	if (c->orphan_us == 0)
		c->orphan_us = mh_now(s->k);
	return mh_now(s->k) - c->orphan_us > ORPHAN_US;
}

static void
sweep(struct side *s)
{
	GPtrArray *old = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->calls);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct call *c = v;
		bool kept = mh_now(s->k) < c->item.deadline_us + KEEP_US;

		if (c->state == ST_ENDED ? !kept : orphaned(s, c))
			g_ptr_array_add(old, c);
	}
	for (guint i = 0; i < old->len; i++)
		cancel(old->pdata[i]);
	g_ptr_array_free(old, TRUE);
}

static void
on_tick(void *arg)
{
	struct side *s = arg;
	struct mh_decl *d = mh_conf_get(s->k);

	s->tick = mh_timer_start(s->k, TICK_US, on_tick, s);
	sweep(s);
	pump(s);
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

void
mh_side_drain(struct mh_kern *k)
{
	struct side *s = get(k);

	s->draining = true;
	mh_member_drain(k);
	mh_claim_drain(k);
}

bool
mh_side_idle(struct mh_kern *k)
{
	struct side *s = get(k);

	return s->draining && s->running == 0 &&
	    g_hash_table_size(s->calls) == 0 && mh_claim_count(k) == 0;
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

static void
handle(void *self, struct mh_msg *m)
{
	switch (m->kind) {
	case MH_MSG_RAN:
		run_ended(self, &m->u.run);
		break;
	case MH_MSG_RUN_CHUNK:
		run_chunk(self, &m->u.run);
		break;
	case MH_MSG_KV_DONE:
		claim_done(self, &m->u.kv);
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
	s->factor = 1.0;
	s->queue = mh_queue_create(a->queue_limit);
	s->ledger = mh_ledger_create(LEDGER_LIMIT);
	s->calls = g_hash_table_new_full(key_hash, key_equal, NULL, free_call);
	s->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->orders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	mh_hub_create(k);
	mh_member_create(k, a->vm, a->domain, "side");
	mh_roster_create(k, a->vm, a->domain, a->pool);
	mh_conf_create(k, a->vm);
	mh_claim_create(k, a->vm, a->pool, a->incarnation, s->ledger);
	mh_kern_add(k, "side", s, handle, destroy);
	mh_conf_on_change(k, on_config, s);
	mh_hub_on(k, MH__FRAME__BODY_CALL, on_call, s);
	mh_hub_on(k, MH__FRAME__BODY_RESUME, on_resume, s);
	mh_hub_on(k, MH__FRAME__BODY_ACK, on_ack, s);
	mh_hub_on(k, MH__FRAME__BODY_CANCEL, on_cancel, s);
	mh_hub_on(k, MH__FRAME__BODY_LOOKUP, on_lookup, s);
	mh_hub_on(k, MH__FRAME__BODY_ORDER, on_order, s);
	s->tick = mh_timer_start(k, TICK_US, on_tick, s);
}
