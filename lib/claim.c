/**
 * DOC: Which at-most-once partitions this side process owns.
 *
 * The table stands in the KV service and changes only by compare-and-swap,
 * only on a change of membership.  Ownership does not lapse, so an outage
 * of the KV service moves nothing and stops nothing.  It moves in three
 * ways: hand-over by the owner (drain, balance), reclaim by the same VM
 * after a restart, and takeover from a VM that is gone from the VM list.
 * A paused or unreachable owner that is still listed keeps its partitions:
 * it may be between the check and the call.
 */

#include "marlhoist.h"

#include <string.h>

#define TICK_US (100 * MH_US_PER_MS)
#define WATCH_US (20 * MH_US_PER_S)
#define BACKOFF_US (400 * MH_US_PER_MS)
#define SETTLE_US (1 * MH_US_PER_S) /* before balancing after a start */
#define MOVE_US (2 * MH_US_PER_S) /* a hand-over that takes longer stops */
#define MOVE_AGAIN_US (5 * MH_US_PER_S)
/*
 * Between our word on a hand-over and the KV service's news of it: three tries
 * of the old owner's write, 2 s each (kv.c), their backoffs, and a reading.
 */
#define COMING_US (10 * MH_US_PER_S)
#define MAX_ROWS_BYTES (1U << 20) /* of a hand-over, without answers */
#define MAX_BODIES_BYTES (2U << 20)
#define ROW_OVERHEAD 64
#define MAX_MOVES 4 /* partitions on their way out at once */

enum move { MOVE_NONE, MOVE_EMPTYING, MOVE_SENT, MOVE_ACKED };

struct part_state {
	bool open; /* the ledger is open: confirmed as owner */
	int busy; /* calls under way */
	enum move move;
	char *target;
	uint64_t target_inc;
	int64_t move_at_us;
	int64_t again_at_us; /* no balancing move before this */
	uint64_t serial; /* of the hand-over sent */
	int64_t move_bound_ms; /* the bound that goes with it */
	uint64_t got_epoch; /* of the hand-over received */
	uint64_t got_serial;
	int64_t got_at_us;
};

struct claim {
	struct mh_kern *k;
	char *vm;
	char *pool;
	char *name; /* in the KV */
	uint64_t inc;
	struct mh_ledger *ledger;
	struct mh_owners *owners;
	struct part_state part[MH_PARTITIONS];
	bool loaded; /* the KV was read */
	bool fresh; /* read since the last write */
	bool reachable; /* the KV's last call was answered */
	bool draining;
	uint64_t index; /* watched up to here */
	uint64_t cas; /* the table's modify index */
	uint64_t watch; /* token, 0: none under way */
	uint64_t put;
	int64_t kv_at_us;
	int64_t watched_us; /* when the watch was last asked for */
	int64_t started_us;
	struct mh_timer *tick;
};

static struct claim *
get(struct mh_kern *k)
{
	return mh_kern_get(k, "claim");
}

static bool
mine(const struct claim *c, const struct mh_part *t)
{
	return t->incarnation == c->inc && strcmp(t->vm, c->vm) == 0;
}

bool
mh_claim_knows(struct mh_kern *k, uint32_t p)
{
	struct claim *c = get(k);

	if (p >= MH_PARTITIONS)
		return false;
	/*
	 * A VM that the platform dropped from its list may be taken over:
	 * its process, if it still runs, starts nothing more.
	 */
	return c->part[p].open && c->part[p].move == MOVE_NONE &&
	    mine(c, mh_owners_part(c->owners, p)) && !mh_member_self_removed(k);
}

bool
mh_claim_owns(struct mh_kern *k, uint32_t p, uint64_t epoch)
{
	return mh_claim_knows(k, p) &&
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
 * The old owner has our word and is about to write our name into the table.  A
 * process that ended before it read so would take the rows with it.  One whose
 * word was lost is not told: the old owner takes the move back and stays.
 */
static bool
coming(const struct claim *c, uint32_t p)
{
	return c->part[p].got_epoch > mh_owners_part(c->owners, p)->epoch &&
	    mh_now(c->k) - c->part[p].got_at_us < COMING_US;
}

uint32_t
mh_claim_count(struct mh_kern *k)
{
	struct claim *c = get(k);
	uint32_t n = 0;

	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		n += mine(c, mh_owners_part(c->owners, p)) || coming(c, p);
	return n;
}

static bool
active(struct claim *c)
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
fresh_bound(struct claim *c)
{
	return now_ms(c) + mh_conf_get(c->k)->policy.skew_us / MH_US_PER_MS;
}

static const char *
winner(struct claim *c, uint32_t p)
{
	char what[64];

	snprintf(what, sizeof(what), "%s/%u", c->pool, p);
	return mh_member_pick_side(c->k, c->pool, what);
}

static void
kv(struct claim *c, enum mh_kv_op op, GBytes *value, uint64_t *token)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_KV);

	*token = mh_next_id(c->k);
	if (op == MH_KV_WATCH)
		c->watched_us = mh_now(c->k);
	m->u.kv.op = op;
	m->u.kv.token = *token;
	m->u.kv.from = g_strdup("claim");
	m->u.kv.name = g_strdup(c->name);
	m->u.kv.index = c->index;
	m->u.kv.cas = c->cas;
	m->u.kv.wait_us = WATCH_US;
	m->u.kv.value = value;
	mh_count(c->k, "claim_kv_calls", 1);
	mh_post(c->k, "kv", m);
}

static void
stop_move(struct claim *c, uint32_t p)
{
	c->part[p].move = MOVE_NONE;
	c->part[p].again_at_us = mh_now(c->k) + MOVE_AGAIN_US;
	g_free(c->part[p].target);
	c->part[p].target = NULL;
}

static void
tell_entry(void *arg, struct mh_peer *p)
{
	struct claim *c = arg;

	if (p->up && strcmp(p->role, "entry") == 0)
		mh_owners_send(c->k, c->owners, p->conn);
}

/* The KV's table was read or written: open and close ledgers by it. */
static void
apply_table(struct claim *c)
{
	for (uint32_t p = 0; p < MH_PARTITIONS; p++) {
		const struct mh_part *t = mh_owners_part(c->owners, p);
		struct part_state *s = &c->part[p];
		bool own = mine(c, t);

		if (own && !s->open) {
			/*
			 * Rows of a hand-over that was taken back are stale:
			 * the old owner went on, and a key refused in them
			 * may have run since.
			 */
			if (s->got_epoch != t->epoch)
				mh_ledger_close(c->ledger, p);
			mh_ledger_open(c->ledger, p, t->bound_ms);
			s->open = true;
			mh_count(c->k, "claim_gained", 1);
		} else if (!own && s->open) {
			mh_ledger_close(c->ledger, p);
			s->open = false;
			stop_move(c, p);
			mh_count(c->k, "claim_given", 1);
		}
	}
	mh_member_foreach(c->k, tell_entry, c);
}

/*
 * What this process may change in the table, partition by partition.
 * Return: true when @next differs from the table.
 */
static bool
plan_part(struct claim *c, uint32_t p, struct mh_owners *next)
{
	const struct mh_part *t = mh_owners_part(c->owners, p);
	const struct part_state *s = &c->part[p];
	const struct mh_policy *pol = &mh_conf_get(c->k)->policy;
	const char *win;
	int64_t bound;

	if (s->move == MOVE_ACKED) {
		mh_owners_set(next, p, s->target, s->target_inc, t->epoch + 1,
		    s->move_bound_ms);
		return true;
	}
	if (mine(c, t) || c->draining)
		return false;
	if (strcmp(t->vm, c->vm) == 0) {
		/* This VM's earlier process: its memory is gone. */
		mh_owners_set(
		    next, p, c->vm, c->inc, t->epoch + 1, fresh_bound(c));
		return true;
	}
	if (t->vm[0] != '\0' &&
	    !mh_member_is_removed(c->k, t->vm, pol->vm_gone_us))
		return false;
	win = winner(c, p);
	if (win == NULL || strcmp(win, c->vm) != 0)
		return false;
	/* Never owned before: no key can have run, the bound is zero. */
	bound = t->epoch == 0 ? 0 : fresh_bound(c);
	mh_owners_set(next, p, c->vm, c->inc, t->epoch + 1, bound);
	if (t->epoch > 0)
		mh_count(c->k, "claim_takeovers", 1);
	return true;
}

static void
plan(struct claim *c)
{
	struct mh_owners *next = mh_owners_create(c->pool);
	GBytes *value = mh_owners_print(c->owners);
	bool changed = mh_owners_ahead(c->owners);

	mh_owners_parse(next, value);
	g_bytes_unref(value);
	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		changed |= plan_part(c, p, next);
	if (changed) {
		c->fresh = false;
		kv(c, MH_KV_PUT, mh_owners_print(next), &c->put);
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
 * A hand-over is one frame, and a frame has a bound: one that a peer must
 * refuse would be sent again for ever and the drain never end.  The newest
 * rows go with their answers, older ones without; what does not fit at all
 * raises the bound, so that its keys are "unknown" at the new owner.
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
	c->part[p].move_bound_ms = bound_ms;
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
start_move(struct claim *c, uint32_t p, const char *to)
{
	struct part_state *s = &c->part[p];

	g_free(s->target);
	s->target = g_strdup(to);
	s->move = MOVE_EMPTYING;
	s->move_at_us = mh_now(c->k);
}

/*
 * A move that cannot finish is taken back, except once the new owner has
 * acknowledged: then a write that may have taken effect is in play, and
 * only the KV's table tells who owns the partition.
 */
static void
step_move(struct claim *c, uint32_t p)
{
	struct part_state *s = &c->part[p];
	struct mh_peer *to = mh_member_find(c->k, s->target);

	if (s->move == MOVE_ACKED)
		return;
	if (to == NULL || mh_now(c->k) - s->move_at_us > MOVE_US) {
		stop_move(c, p);
		return;
	}
	mh_member_dial(c->k, to);
	if (s->move == MOVE_EMPTYING && s->busy == 0 && to->up) {
		s->move = MOVE_SENT;
		send_rows(c, p, to);
	}
}

static void
balance(struct claim *c)
{
	uint32_t moves = 0;

	for (uint32_t p = 0; p < MH_PARTITIONS; p++) {
		struct part_state *s = &c->part[p];
		const char *win;

		if (s->move != MOVE_NONE) {
			moves++;
			step_move(c, p);
			continue;
		}
		/* Without the KV no move can end: do not even begin one. */
		if (!c->reachable)
			continue;
		if (!s->open || (!c->draining && moves >= MAX_MOVES) ||
		    (!c->draining && mh_now(c->k) < s->again_at_us))
			continue;
		win = winner(c, p);
		if (win == NULL || strcmp(win, c->vm) == 0)
			continue;
		moves++;
		start_move(c, p, win);
		step_move(c, p);
	}
}

static void
on_tick(void *arg)
{
	struct claim *c = arg;

	c->tick = mh_timer_start(c->k, TICK_US, on_tick, c);
	if (!active(c))
		return;
	if (c->watch == 0 && c->put == 0 && mh_now(c->k) >= c->kv_at_us)
		kv(c, MH_KV_WATCH, NULL, &c->watch);
	if (!c->loaded || !mh_member_has_list(c->k) ||
	    mh_now(c->k) - c->started_us < SETTLE_US)
		return;
	balance(c);
	if (c->put == 0 && c->fresh && mh_now(c->k) >= c->kv_at_us)
		plan(c);
}

static void
kv_failed(struct claim *c)
{
	c->reachable = false;
	mh_count(c->k, "claim_kv_failed", 1);
	c->kv_at_us = mh_now(c->k) + BACKOFF_US +
	    (int64_t)(mh_random_unit(c->k) * (double)BACKOFF_US);
	/* A write without an answer may have taken effect: read it again. */
	c->index = 0;
}

static void
take_value(struct claim *c, const struct mh_kv_msg *v)
{
	c->reachable = true;
	/* A watch that returns at once with nothing new would do so again. */
	if (v->index == c->index)
		c->kv_at_us = c->watched_us + BACKOFF_US;
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
			take_value(c, v);
		else
			kv_failed(c);
	} else if (v->token == c->put) {
		c->put = 0;
		if (!v->ok)
			kv_failed(c);
		else
			/* Written, or a lost race: either way read it back. */
			c->index = 0;
	} else {
		return;
	}
	if (c->watch == 0 && mh_now(c->k) >= c->kv_at_us)
		kv(c, MH_KV_WATCH, NULL, &c->watch);
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
	/* An earlier attempt, delayed in a dead link, must not replace rows. */
	if (h->epoch < c->part[p].got_epoch ||
	    (h->epoch == c->part[p].got_epoch &&
		h->serial <= c->part[p].got_serial))
		return;
	c->part[p].got_epoch = h->epoch;
	c->part[p].got_serial = h->serial;
	c->part[p].got_at_us = mh_now(c->k);
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
	if (s->move != MOVE_SENT || a->serial != s->serial ||
	    a->epoch != mh_owners_part(c->owners, a->partition)->epoch + 1)
		return;
	s->move = MOVE_ACKED;
	s->target_inc = a->incarnation;
	if (c->put == 0 && c->fresh && mh_now(c->k) >= c->kv_at_us)
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
		moving += c->part[p].move != MOVE_NONE;
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
	c->tick = mh_timer_start(k, 0, on_tick, c);
}
