/**
 * DOC: Rate limits of organisations and keys in weighted tokens.
 *
 * An organisation's limit holds over all entries together; each entry applies
 * a key's limit by itself.
 *
 * Units are reserved on admission and settled by usage (as in "Rate Limiting
 * for LLM Endpoints", section "Admission at the gateway").  One entry, the
 * organisation's coordinator, grants parts of the organisation's rate for a
 * short time, sized by demand.  Without a valid grant, as when the coordinator
 * is unreachable, an entry uses an equal share of the rate.  Equal shares do
 * not exceed the declared limit in total; the paper, which weighs failing open
 * against failing closed, calls this "conservative local caps".
 */

#include "marlhoist.h"

#include <math.h>
#include <string.h>

#define TICK_US (250 * MH_US_PER_MS)
#define GRANT_TTL_US (1 * MH_US_PER_S)
#define MAX_GRANT_REQUESTS 4 /* per tick, to limit control traffic */
#define DEMAND_GAIN 0.3 /* of the moving average, per tick */

/** struct bucket - a token bucket in units, and the active streams. */
struct bucket {
	double level;
	double rate;
	double cap;
	int64_t refilled_us;
	uint32_t streams;
};

/** struct grant - the rate granted to this entry, in units a second. */
struct grant {
	double rate;
	int64_t expires_us;
};

/** struct requester - an entry's demand, as known to the coordinator. */
struct requester {
	double demand;
	int64_t expires_us;
};

struct org {
	char *name;
	struct bucket b;
	struct grant grant;
	double requested; /* units requested since the last tick */
	double demand; /* units a second, smoothed */
	GHashTable *requesters; /* on the coordinator: VM -> struct requester */
};

struct limit {
	struct mh_kern *k;
	char *vm;
	GHashTable *orgs; /* name -> struct org */
	GHashTable *keys; /* key hash -> struct bucket */
	GQueue grant_queue; /* organisations in round-robin order */
	struct mh_timer *tick;
};

static void
free_org(void *arg)
{
	struct org *o = arg;

	g_hash_table_destroy(o->requesters);
	g_free(o->name);
	g_free(o);
}

static struct org *
org_of(struct limit *l, const char *name)
{
	struct org *o = g_hash_table_lookup(l->orgs, name);

	if (o != NULL)
		return o;
	o = g_new0(struct org, 1);
	o->name = g_strdup(name);
	o->requesters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->b.refilled_us = -1;
	g_hash_table_insert(l->orgs, o->name, o);
	g_queue_push_tail(&l->grant_queue, o);
	return o;
}

static double
entry_rate(struct limit *l, struct org *o, double rate)
{
	if (o->grant.expires_us > mh_now(l->k))
		return o->grant.rate;
	return rate / (double)mh_member_entry_count(l->k);
}

static void
refill(struct limit *l, struct bucket *b, double rate, double cap)
{
	int64_t now = mh_now(l->k);

	if (b->refilled_us < 0)
		b->level = cap;
	else
		b->level += rate * (double)(now - b->refilled_us) / MH_US_PER_S;
	b->refilled_us = now;
	b->rate = rate;
	b->cap = cap;
	b->level = MIN(b->level, cap);
}

static int64_t
wait_us(const struct bucket *b, double units)
{
	double short_of = units - b->level;

	if (short_of <= 0)
		return 0;
	if (b->rate <= 0)
		return MH_US_PER_S;
	return (int64_t)(short_of / b->rate * MH_US_PER_S) + 1;
}

static struct bucket *
key_bucket(struct limit *l, const struct mh_key *key)
{
	struct bucket *b = g_hash_table_lookup(l->keys, key->hash_hex);

	if (b == NULL) {
		b = g_new0(struct bucket, 1);
		b->refilled_us = -1;
		g_hash_table_insert(l->keys, g_strdup(key->hash_hex), b);
	}
	refill(l, b, key->units_per_s, key->units_per_s * 2);
	return b;
}

static uint32_t
stream_cap(struct limit *l, const struct mh_org *org)
{
	uint32_t n = mh_member_entry_count(l->k);

	return (org->streams + n - 1) / n;
}

int64_t
mh_limit_reserve(struct mh_kern *k, const struct mh_key_match *who,
    double units, struct mh_limit_ticket *t)
{
	struct limit *l = mh_kern_get(k, "limit");
	const struct mh_org *org = who->org;
	const struct mh_key *key = who->key;
	struct org *o = org_of(l, org->name);
	struct bucket *kb = NULL;
	int64_t wait = 0;

	if (org->units_per_s > 0) {
		if (units > org->burst_units)
			return -1;
		o->requested += units;
		refill(l, &o->b, entry_rate(l, o, org->units_per_s),
		    org->burst_units / (double)mh_member_entry_count(k) +
			units);
		wait = wait_us(&o->b, units);
	}
	if (org->streams > 0 && o->b.streams >= stream_cap(l, org))
		wait = MAX(wait, MH_US_PER_S);
	if (key->units_per_s > 0) {
		kb = key_bucket(l, key);
		if (units > kb->cap)
			return -1;
		wait = MAX(wait, wait_us(kb, units));
	}
	if (wait > 0)
		return wait;
	o->b.level -= org->units_per_s > 0 ? units : 0;
	o->b.streams++;
	t->org = g_strdup(org->name);
	t->units = units;
	if (kb != NULL) {
		kb->level -= units;
		t->has_key = true;
		memcpy(t->key_hash, key->hash, MH_HASH_LEN);
		t->key = key->hash_hex;
	}
	return 0;
}

void
mh_limit_settle(struct mh_kern *k, struct mh_limit_ticket *t, double used)
{
	struct limit *l = mh_kern_get(k, "limit");
	struct bucket *kb;
	struct org *o;

	if (t->org == NULL)
		return;
	o = org_of(l, t->org);
	o->b.level = MIN(o->b.cap, o->b.level + t->units - used);
	/* Units that were reserved but not used are no demand. */
	o->requested = MAX(0, o->requested - MAX(0, t->units - used));
	if (o->b.streams > 0)
		o->b.streams--;
	if (t->has_key) {
		kb = g_hash_table_lookup(l->keys, t->key);
		if (kb != NULL)
			kb->level = MIN(kb->cap, kb->level + t->units - used);
	}
	g_free(t->org);
	memset(t, 0, sizeof(*t));
}

/*
 * The rate that the coordinator grants to @vm.  While the total demand fits
 * into the rate, each entry gets its demand and an equal part of the rest;
 * otherwise all demands are scaled down by the same factor.
 */
static double
allot(
    struct limit *l, struct org *o, const char *vm, double demand, double rate)
{
	struct requester *a = g_hash_table_lookup(o->requesters, vm);
	double total = 0;
	GHashTableIter it;
	gpointer v;
	guint n;

	if (a == NULL) {
		a = g_new0(struct requester, 1);
		g_hash_table_insert(o->requesters, g_strdup(vm), a);
	}
	a->demand = demand;
	a->expires_us = mh_now(l->k) + GRANT_TTL_US;
	g_hash_table_iter_init(&it, o->requesters);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (((struct requester *)v)->expires_us < mh_now(l->k))
			g_hash_table_iter_remove(&it);
		else
			total += ((struct requester *)v)->demand;
	}
	n = MAX(g_hash_table_size(o->requesters), 1U);
	if (total > rate)
		return rate * demand / total;
	return demand + (rate - total) / (double)n;
}

static void
request_grant(struct limit *l, struct org *o, const struct mh_org *decl)
{
	const char *coord = mh_member_pick_entry(l->k, o->name);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__GrantAsk req = MH__GRANT_ASK__INIT;
	struct mh_peer *p;

	if (coord == NULL)
		return;
	if (strcmp(coord, l->vm) == 0) {
		o->grant.rate =
		    allot(l, o, l->vm, o->demand, decl->units_per_s);
		o->grant.expires_us = mh_now(l->k) + GRANT_TTL_US;
		return;
	}
	p = mh_member_find(l->k, coord);
	if (p == NULL)
		return;
	mh_member_dial(l->k, p);
	if (!p->up)
		return;
	req.org = o->name;
	req.demand = (uint64_t)o->demand;
	f.body_case = MH__FRAME__BODY_GRANT_ASK;
	f.grant_ask = &req;
	mh_frame_send(l->k, p->conn, &f);
	mh_count(l->k, "limit_grants_asked", 1);
}

static void
smooth_demand(gpointer name, gpointer value, gpointer arg)
{
	struct org *o = value;
	double rate = o->requested * MH_US_PER_S / TICK_US;

	(void)name;
	(void)arg;
	o->demand += DEMAND_GAIN * (rate - o->demand);
	o->requested = 0;
}

/*
 * Requests grants for the organisations in round-robin order.  If there are
 * more of them than requests in the lifetime of a grant, a grant expires
 * before its renewal and the equal share applies in between: with uneven load
 * less is served than could be, and equal shares never exceed the rate.
 */
static void
on_tick(void *arg)
{
	struct limit *l = arg;
	struct mh_decl *d = mh_conf_get(l->k);
	guint sent = 0;

	mh_timer_set(l->k, &l->tick, TICK_US, on_tick, l);
	if (d == NULL)
		return;
	g_hash_table_foreach(l->orgs, smooth_demand, NULL);
	for (guint n = g_queue_get_length(&l->grant_queue);
	     n > 0 && sent < MAX_GRANT_REQUESTS; n--) {
		struct org *o = g_queue_pop_head(&l->grant_queue);
		const struct mh_org *decl = mh_decl_org(d, o->name);

		g_queue_push_tail(&l->grant_queue, o);
		if (decl == NULL || decl->units_per_s <= 0 || o->demand <= 1)
			continue;
		request_grant(l, o, decl);
		sent++;
	}
}

static void
on_grant_request(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct limit *l = arg;
	struct mh_peer *from = mh_member_conn(l->k, conn);
	struct mh_decl *d = mh_conf_get(l->k);
	const struct mh_org *decl;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Grant g = MH__GRANT__INIT;

	decl = d == NULL ? NULL : mh_decl_org(d, in->grant_ask->org);
	if (from == NULL || decl == NULL)
		return;
	g.org = in->grant_ask->org;
	g.units_per_s = (uint64_t)allot(l, org_of(l, decl->name), from->vm,
	    (double)in->grant_ask->demand, decl->units_per_s);
	g.for_us = GRANT_TTL_US;
	f.body_case = MH__FRAME__BODY_GRANT;
	f.grant = &g;
	mh_frame_send(l->k, conn, &f);
}

static void
on_grant(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct limit *l = arg;
	struct org *o = g_hash_table_lookup(l->orgs, f->grant->org);

	(void)conn;
	if (o == NULL)
		return;
	o->grant.rate = (double)f->grant->units_per_s;
	o->grant.expires_us =
	    mh_now(l->k) + (int64_t)MIN(f->grant->for_us, GRANT_TTL_US);
}

json_t *
mh_limit_state(struct mh_kern *k)
{
	struct limit *l = mh_kern_get(k, "limit");
	json_t *a = json_array();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct org *o = v;

		json_array_append_new(a,
		    json_pack("{s:s, s:f, s:f, s:f, s:i}", "organisation",
			o->name, "level", o->b.level, "rate", o->b.rate,
			"demand", o->demand, "streams", (int)o->b.streams));
	}
	return a;
}

static void
destroy(void *self)
{
	struct limit *l = self;

	mh_timer_stop(l->k, &l->tick);
	g_queue_clear(&l->grant_queue);
	g_hash_table_destroy(l->orgs);
	g_hash_table_destroy(l->keys);
	g_free(l->vm);
	g_free(l);
}

void
mh_limit_create(struct mh_kern *k, const char *vm)
{
	struct limit *l = g_new0(struct limit, 1);

	l->k = k;
	l->vm = g_strdup(vm);
	l->orgs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_org);
	g_queue_init(&l->grant_queue);
	l->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mh_kern_add(k, "limit", l, NULL, destroy);
	mh_hub_set_handler(k, MH__FRAME__BODY_GRANT_ASK, on_grant_request, l);
	mh_hub_set_handler(k, MH__FRAME__BODY_GRANT, on_grant, l);
	mh_timer_set(k, &l->tick, TICK_US, on_tick, l);
}
