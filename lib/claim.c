/**
 * DOC: The at-most-once partitions that this side process owns.
 *
 * The owner table is in the KV service, is changed only by compare-and-swap and
 * only when the membership changes.  Ownership does not expire, so during an
 * outage of the KV service owners keep their partitions and serve them.  A
 * partition changes its owner in three ways: handover by the owner (drain,
 * balancing), reclaim by the same VM after a restart, and takeover from a VM
 * that was removed from the VM list.  A paused or unreachable owner that is
 * still listed keeps its partitions: it may have checked its ownership and be
 * about to start the call.
 */

#include "marlhoist.h"

#include <string.h>

#define TICK_US (100 * MH_US_PER_MS)
#define WATCH_WAIT_US (20 * MH_US_PER_S)
#define BACKOFF_US (400 * MH_US_PER_MS)
/* A change of the table that we expect: the watch shows it within this time. */
#define EXPECTED_US (500 * MH_US_PER_MS)
#define START_DELAY_US (1 * MH_US_PER_S) /* before balancing after a start */
#define HANDOVER_TIMEOUT_US (2 * MH_US_PER_S)
#define HANDOVER_RETRY_US (5 * MH_US_PER_S)
/*
 * Time from our acknowledgement of a handover until we read the new table:
 * three attempts of the old owner's write, 2 s each (kv.c), their backoffs, and
 * a read.
 */
#define INCOMING_TIMEOUT_US (10 * MH_US_PER_S)
#define MAX_ROWS_BYTES (1U << 20) /* of a handover, without bodies */
#define MAX_BODIES_BYTES (2U << 20)
#define ROW_OVERHEAD 64
#define MAX_HANDOVERS 4 /* at once; any number while draining */

enum handover {
	HANDOVER_NONE,
	HANDOVER_PREPARING,
	HANDOVER_SENT,
	HANDOVER_ACKED
};

struct part_state {
	bool open; /* the ledger is open: confirmed as owner */
	int busy; /* calls in flight */
	enum handover handover;
	char *target;
	uint64_t target_inc;
	int64_t handover_started_us;
	int64_t balance_after_us; /* no handover for balancing before */
	uint64_t serial; /* of the handover sent */
	int64_t sent_bound_ms; /* bound of the partition at its new owner */
	uint64_t recv_epoch; /* of the handover received */
	uint64_t recv_serial;
	int64_t received_us;
};

struct claim {
	struct mh_kern *k;
	char *vm;
	char *pool;
	char *name; /* key of the table in the KV service */
	uint64_t inc;
	struct mh_ledger *ledger;
	struct mh_owners *owners;
	struct part_state part[MH_PARTITIONS];
	bool loaded; /* the table was read at least once */
	bool fresh; /* read since the last write */
	bool reachable; /* the last KV call succeeded */
	bool draining;
	uint64_t index; /* the watch waits for a later one */
	uint64_t cas; /* the table's modify index */
	uint64_t watch; /* token of the call in flight, 0: none */
	uint64_t put;
	int64_t kv_next_us;
	int64_t watch_started_us;
	int64_t expected_us; /* since when we expect a change; 0: we don't */
	int64_t started_us;
	struct mh_timer *tick;
};

static struct claim *
get(struct mh_kern *k)
{
	return mh_kern_get(k, "claim");
}

static bool
is_own(const struct claim *c, const struct mh_partition *t)
{
	return t->incarnation == c->inc && strcmp(t->vm, c->vm) == 0;
}

bool
mh_claim_exclusive(struct mh_kern *k, uint32_t p)
{
	struct claim *c = get(k);

	if (p >= MH_PARTITIONS)
		return false;
	/*
	 * The partitions of a VM that was removed from the VM list may be
	 * taken over.  If its process still runs, it must start no calls.
	 */
	return c->part[p].open && c->part[p].handover == HANDOVER_NONE &&
	    is_own(c, mh_owners_part(c->owners, p)) &&
	    !mh_member_self_removed(k);
}

bool
mh_claim_owns(struct mh_kern *k, uint32_t p, uint64_t epoch)
{
	return mh_claim_exclusive(k, p) &&
	    mh_owners_part(get(k)->owners, p)->epoch == epoch;
}

bool
mh_claim_open(struct mh_kern *k, uint32_t p)
{
	return get(k)->part[p].open;
}

void
mh_claim_busy(struct mh_kern *k, uint32_t p, int delta)
{
	get(k)->part[p].busy += delta;
}

/*
 * True if we acknowledged a handover and do not own the partition yet: the old
 * owner is about to enter us in the table.  If we exited before reading that,
 * the rows would be lost.  The wait is limited because, if our acknowledgement
 * was lost, the old owner cancels the handover without notifying us.
 */
static bool
is_incoming(const struct claim *c, uint32_t p)
{
	return c->part[p].recv_epoch > mh_owners_part(c->owners, p)->epoch &&
	    mh_now(c->k) - c->part[p].received_us < INCOMING_TIMEOUT_US;
}

uint32_t
mh_claim_count(struct mh_kern *k)
{
	struct claim *c = get(k);
	uint32_t n = 0;

	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		n += is_own(c, mh_owners_part(c->owners, p)) ||
		    is_incoming(c, p);
	return n;
}

static bool
pool_is_service(struct claim *c)
{
	struct mh_decl *d = mh_conf_get(c->k);
	struct mh_pool *p = d == NULL ? NULL : mh_decl_pool(d, c->pool);

	return p != NULL && p->kind == MH_SERVICE;
}

static int64_t
now_ms(struct claim *c)
{
	return mh_wall(c->k) / MH_US_PER_MS;
}

static int64_t
new_bound(struct claim *c)
{
	return now_ms(c) + mh_conf_get(c->k)->policy.skew_us / MH_US_PER_MS;
}

static const char *
preferred_side(struct claim *c, uint32_t p)
{
	char what[64];

	snprintf(what, sizeof(what), "%s/%u", c->pool, p);
	return mh_member_pick_side(c->k, c->pool, what);
}

static void
kv_call(struct claim *c, enum mh_kv_op op, GBytes *value, uint64_t *token)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_KV);

	*token = mh_next_id(c->k);
	if (op == MH_KV_WATCH)
		c->watch_started_us = mh_now(c->k);
	m->u.kv.op = op;
	m->u.kv.token = *token;
	m->u.kv.reply_to = g_strdup("claim");
	m->u.kv.name = g_strdup(c->name);
	m->u.kv.index = c->index;
	m->u.kv.cas = c->cas;
	m->u.kv.wait_us = WATCH_WAIT_US;
	m->u.kv.value = value;
	mh_count(c->k, "claim_kv_calls", 1);
	mh_post(c->k, "kv", m);
}

static void
end_handover(struct claim *c, uint32_t p)
{
	c->part[p].handover = HANDOVER_NONE;
	c->part[p].balance_after_us = mh_now(c->k) + HANDOVER_RETRY_US;
	g_free(c->part[p].target);
	c->part[p].target = NULL;
}

static void
send_table(void *arg, struct mh_peer *p)
{
	struct claim *c = arg;

	if (p->up && strcmp(p->role, "entry") == 0)
		mh_owners_send(c->k, c->owners, p->conn);
}

/* Opens and closes ledger partitions by the table just read. */
static void
apply_table(struct claim *c)
{
	for (uint32_t p = 0; p < MH_PARTITIONS; p++) {
		const struct mh_partition *t = mh_owners_part(c->owners, p);
		struct part_state *s = &c->part[p];
		bool owned = is_own(c, t);

		if (owned && !s->open) {
			/*
			 * The rows of a cancelled handover are stale: the
			 * old owner continued, and a key that they show
			 * as refused may have run since.
			 */
			if (s->recv_epoch != t->epoch)
				mh_ledger_close(c->ledger, p);
			mh_ledger_open(c->ledger, p, t->bound_ms);
			s->open = true;
			mh_count(c->k, "claim_gained", 1);
		} else if (!owned && s->open) {
			mh_ledger_close(c->ledger, p);
			s->open = false;
			end_handover(c, p);
			mh_count(c->k, "claim_given", 1);
		}
	}
	mh_member_foreach(c->k, send_table, c);
}

/*
 * Sets in @next the change that this process may make to one partition.
 * Return: true if @next differs from the table.
 */
static bool
plan_part(struct claim *c, uint32_t p, struct mh_owners *next)
{
	const struct mh_partition *t = mh_owners_part(c->owners, p);
	const struct part_state *s = &c->part[p];
	const struct mh_policy *pol = &mh_conf_get(c->k)->policy;
	const char *preferred;
	int64_t bound;

	if (s->handover == HANDOVER_ACKED) {
		mh_owners_set(next, p, s->target, s->target_inc, t->epoch + 1,
		    s->sent_bound_ms);
		return true;
	}
	if (is_own(c, t) || c->draining)
		return false;
	if (strcmp(t->vm, c->vm) == 0) {
		/* An earlier process on this VM; its ledger is lost. */
		mh_owners_set(
		    next, p, c->vm, c->inc, t->epoch + 1, new_bound(c));
		return true;
	}
	if (t->vm[0] != '\0' &&
	    !mh_member_is_removed(c->k, t->vm, pol->vm_removed_us))
		return false;
	preferred = preferred_side(c, p);
	if (preferred == NULL || strcmp(preferred, c->vm) != 0)
		return false;
	/* Never owned before: no key can have run, so the bound is 0. */
	bound = t->epoch == 0 ? 0 : new_bound(c);
	mh_owners_set(next, p, c->vm, c->inc, t->epoch + 1, bound);
	if (t->epoch > 0)
		mh_count(c->k, "claim_takeovers", 1);
	return true;
}

static void
plan(struct claim *c)
{
	struct mh_owners *next = mh_owners_create(c->pool);
	GBytes *value = mh_owners_serialize(c->owners);
	bool changed = mh_owners_kv_stale(c->owners);

	mh_owners_parse(next, value);
	g_bytes_unref(value);
	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		changed |= plan_part(c, p, next);
	if (changed) {
		c->fresh = false;
		kv_call(c, MH_KV_PUT, mh_owners_serialize(next), &c->put);
	}
	mh_owners_destroy(next);
}

static void
fill_row(struct mh_ledger_row *r, Mh__LedgerEntry *e, bool with_body)
{
	gsize len = 0;

	mh__ledger_entry__init(e);
	e->key = r->key;
	e->outcome = r->outcome;
	e->status = r->status;
	e->body_hash = r->body_hash;
	e->stamp_ms = (uint64_t)r->stamp_ms;
	if (r->body != NULL && with_body)
		e->body.data =
		    (uint8_t *)(uintptr_t)g_bytes_get_data(r->body, &len);
	e->body.len = len;
}

static size_t
row_size(const struct mh_ledger_row *r)
{
	return strlen(r->key) + ROW_OVERHEAD;
}

/*
 * A handover is one frame of limited size: the peer refuses a larger one, so it
 * would be resent for ever and the drain would not finish.  The newest rows are
 * sent with their bodies, older ones without.  Rows that do not fit raise the
 * bound, so that their keys are "unknown" at the new owner.
 */
static guint
first_to_send(GPtrArray *rows, int64_t *bound_ms, guint *first_with_body)
{
	size_t size = 0, bodies = 0;
	guint first = rows->len;

	*first_with_body = rows->len;
	while (first > 0) {
		struct mh_ledger_row *r = rows->pdata[first - 1];

		size += row_size(r);
		if (size > MAX_ROWS_BYTES)
			break;
		bodies += r->body == NULL ? 0 : g_bytes_get_size(r->body);
		if (bodies <= MAX_BODIES_BYTES)
			*first_with_body = first - 1;
		first--;
	}
	for (guint i = 0; i < first; i++)
		*bound_ms = MAX(*bound_ms,
		    ((struct mh_ledger_row *)rows->pdata[i])->stamp_ms);
	return first;
}

static void
send_rows(struct claim *c, uint32_t p, struct mh_peer *to)
{
	GPtrArray *rows = mh_ledger_rows(c->ledger, p);
	Mh__LedgerEntry *entries = g_new(Mh__LedgerEntry, rows->len + 1);
	Mh__LedgerEntry **ptrs = g_new(Mh__LedgerEntry *, rows->len + 1);
	int64_t bound_ms = mh_ledger_bound(c->ledger, p);
	guint with_body, first = first_to_send(rows, &bound_ms, &with_body);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Handover h = MH__HANDOVER__INIT;

	for (guint i = first; i < rows->len; i++) {
		fill_row(rows->pdata[i], &entries[i], i >= with_body);
		ptrs[i - first] = &entries[i];
	}
	c->part[p].sent_bound_ms = bound_ms;
	h.service = c->pool;
	h.partition = p;
	h.epoch = mh_owners_part(c->owners, p)->epoch + 1;
	h.serial = c->part[p].serial = mh_next_id(c->k);
	h.n_entries = rows->len - first;
	h.entries = ptrs;
	f.body_case = MH__FRAME__BODY_HANDOVER;
	f.handover = &h;
	mh_frame_send(c->k, to->conn, &f);
	g_free(entries);
	g_free(ptrs);
	g_ptr_array_free(rows, TRUE);
}

static void
start_handover(struct claim *c, uint32_t p, const char *to)
{
	struct part_state *s = &c->part[p];

	g_free(s->target);
	s->target = g_strdup(to);
	s->handover = HANDOVER_PREPARING;
	s->handover_started_us = mh_now(c->k);
}

/*
 * A handover that cannot finish is cancelled, but not once the new owner has
 * acknowledged it: from then on our write of the table may have taken effect,
 * and only the table shows who owns the partition.
 */
static void
step_handover(struct claim *c, uint32_t p)
{
	struct part_state *s = &c->part[p];
	struct mh_peer *to = mh_member_find(c->k, s->target);

	if (s->handover == HANDOVER_ACKED)
		return;
	if (to == NULL ||
	    mh_now(c->k) - s->handover_started_us > HANDOVER_TIMEOUT_US) {
		end_handover(c, p);
		return;
	}
	mh_member_dial(c->k, to);
	if (s->handover == HANDOVER_PREPARING && s->busy == 0 && to->up) {
		s->handover = HANDOVER_SENT;
		send_rows(c, p, to);
	}
}

static void
balance(struct claim *c)
{
	uint32_t handovers = 0;

	for (uint32_t p = 0; p < MH_PARTITIONS; p++) {
		struct part_state *s = &c->part[p];
		const char *preferred;

		if (s->handover != HANDOVER_NONE) {
			handovers++;
			step_handover(c, p);
			continue;
		}
		/* No handover can finish without the KV service. */
		if (!c->reachable)
			continue;
		if (!s->open || (!c->draining && handovers >= MAX_HANDOVERS) ||
		    (!c->draining && mh_now(c->k) < s->balance_after_us))
			continue;
		preferred = preferred_side(c, p);
		if (preferred == NULL || strcmp(preferred, c->vm) == 0)
			continue;
		handovers++;
		start_handover(c, p, preferred);
		step_handover(c, p);
	}
}

/*
 * The connection of a watch may go silent.  We wrote the table, or are about to
 * be entered in it, and learn nothing of that until the watch times out, so
 * that nobody serves the partition.
 */
static void
check_watch(struct claim *c)
{
	if (c->expected_us == 0 || c->watch == 0 || c->put != 0 ||
	    mh_now(c->k) - MAX(c->expected_us, c->watch_started_us) <
		EXPECTED_US)
		return;
	mh_count(c->k, "claim_silent_watches", 1);
	c->expected_us = 0;
	c->watch = 0; /* its answer is ignored */
	c->index = 0;
}

static void
on_tick(void *arg)
{
	struct claim *c = arg;

	mh_timer_set(c->k, &c->tick, TICK_US, on_tick, c);
	if (!pool_is_service(c))
		return;
	check_watch(c);
	if (c->watch == 0 && c->put == 0 && mh_now(c->k) >= c->kv_next_us)
		kv_call(c, MH_KV_WATCH, NULL, &c->watch);
	if (!c->loaded || !mh_member_has_list(c->k) ||
	    mh_now(c->k) - c->started_us < START_DELAY_US)
		return;
	balance(c);
	if (c->put == 0 && c->fresh && mh_now(c->k) >= c->kv_next_us)
		plan(c);
}

static void
kv_failed(struct claim *c)
{
	c->reachable = false;
	mh_count(c->k, "claim_kv_failed", 1);
	c->kv_next_us = mh_now(c->k) + BACKOFF_US +
	    (int64_t)(mh_random_unit(c->k) * (double)BACKOFF_US);
	/* A write without a response may have taken effect: read the table. */
	c->index = 0;
}

static void
apply_value(struct claim *c, const struct mh_kv_msg *v)
{
	c->reachable = true;
	c->expected_us = 0;
	/* Limits the rate of watches that return at once without a change. */
	if (v->index == c->index)
		c->kv_next_us = c->watch_started_us + BACKOFF_US;
	c->index = v->index;
	c->cas = v->cas;
	c->loaded = true;
	c->fresh = true;
	if (!v->found)
		return;
	if (!mh_owners_parse(c->owners, v->value)) {
		mh_count(c->k, "claim_bad_table", 1);
		return;
	}
	mh_owners_set_version(c->owners, v->index);
	apply_table(c);
}

static void
kv_done(struct claim *c, const struct mh_kv_msg *v)
{
	if (v->token == c->watch) {
		c->watch = 0;
		if (v->ok)
			apply_value(c, v);
		else
			kv_failed(c);
	} else if (v->token == c->put) {
		c->put = 0;
		c->expected_us = mh_now(c->k);
		if (!v->ok)
			kv_failed(c);
		else
			/* Written or lost a race: read the table either way. */
			c->index = 0;
	} else {
		return;
	}
	if (c->watch == 0 && mh_now(c->k) >= c->kv_next_us)
		kv_call(c, MH_KV_WATCH, NULL, &c->watch);
}

static void
on_handover(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct claim *c = arg;
	const Mh__Handover *h = in->handover;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__HandoverAck a = MH__HANDOVER_ACK__INIT;
	uint32_t p = h->partition;

	if (strcmp(h->service, c->pool) != 0 || p >= MH_PARTITIONS ||
	    c->part[p].open || c->draining ||
	    h->epoch <= mh_owners_part(c->owners, p)->epoch)
		return;
	/* An earlier attempt, delayed on a broken link, is ignored. */
	if (h->epoch < c->part[p].recv_epoch ||
	    (h->epoch == c->part[p].recv_epoch &&
		h->serial <= c->part[p].recv_serial))
		return;
	c->part[p].recv_epoch = h->epoch;
	c->part[p].recv_serial = h->serial;
	c->part[p].received_us = c->expected_us = mh_now(c->k);
	mh_ledger_close(c->ledger, p);
	for (size_t i = 0; i < h->n_entries; i++)
		mh_ledger_add(c->ledger, p, h->entries[i]);
	a.service = c->pool;
	a.partition = p;
	a.epoch = h->epoch;
	a.incarnation = c->inc;
	a.serial = h->serial;
	f.body_case = MH__FRAME__BODY_HANDOVER_ACK;
	f.handover_ack = &a;
	mh_frame_send(c->k, conn, &f);
	mh_count(c->k, "claim_received", 1);
}

static void
on_handover_ack(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct claim *c = arg;
	const Mh__HandoverAck *a = f->handover_ack;
	struct part_state *s;

	(void)conn;
	if (strcmp(a->service, c->pool) != 0 || a->partition >= MH_PARTITIONS)
		return;
	s = &c->part[a->partition];
	if (s->handover != HANDOVER_SENT || a->serial != s->serial ||
	    a->epoch != mh_owners_part(c->owners, a->partition)->epoch + 1)
		return;
	s->handover = HANDOVER_ACKED;
	s->target_inc = a->incarnation;
	if (c->put == 0 && c->fresh && mh_now(c->k) >= c->kv_next_us)
		plan(c);
}

static void
on_link(void *arg, struct mh_peer *p, enum mh_link_event ev, uint64_t conn)
{
	struct claim *c = arg;

	if (ev != MH_LINK_FAILED && c->loaded && strcmp(p->role, "entry") == 0)
		mh_owners_send(c->k, c->owners, conn);
}

void
mh_claim_drain(struct mh_kern *k)
{
	get(k)->draining = true;
}

json_t *
mh_claim_state(struct mh_kern *k)
{
	struct claim *c = get(k);
	uint32_t moving = 0;

	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		moving += c->part[p].handover != HANDOVER_NONE;
	return json_pack("{s:i, s:i, s:i, s:b}", "partitions",
	    (int)mh_claim_count(k), "moving", (int)moving, "rows",
	    (int)mh_ledger_len(c->ledger), "loaded", c->loaded);
}

static void
handle(void *self, struct mh_msg *m)
{
	if (m->kind == MH_MSG_KV_DONE)
		kv_done(self, &m->u.kv);
}

static void
destroy(void *self)
{
	struct claim *c = self;

	mh_timer_stop(c->k, &c->tick);
	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		g_free(c->part[p].target);
	mh_owners_destroy(c->owners);
	g_free(c->vm);
	g_free(c->pool);
	g_free(c->name);
	g_free(c);
}

void
mh_claim_create(struct mh_kern *k, const char *vm, const char *pool,
    uint64_t incarnation, struct mh_ledger *l)
{
	struct claim *c = g_new0(struct claim, 1);

	c->k = k;
	c->vm = g_strdup(vm);
	c->pool = g_strdup(pool);
	c->name = g_strconcat("owners/", pool, NULL);
	c->inc = incarnation;
	c->ledger = l;
	c->owners = mh_owners_create(pool);
	c->started_us = mh_now(k);
	mh_kern_add(k, "claim", c, handle, destroy);
	mh_hub_set_handler(k, MH__FRAME__BODY_HANDOVER, on_handover, c);
	mh_hub_set_handler(k, MH__FRAME__BODY_HANDOVER_ACK, on_handover_ack, c);
	mh_member_on_link(k, on_link, c);
	mh_timer_set(k, &c->tick, 0, on_tick, c);
}
