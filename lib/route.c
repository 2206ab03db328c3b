/**
 * DOC: Chooses the endpoint of a pool for a call.
 *
 * Takes the better of two random endpoints by expected delay: calls in flight
 * (the reported load and what this process sent since) times the moving
 * average of the endpoint's time.  Prefix affinity has precedence as long as
 * its endpoint is not much busier than the others.  Endpoints that fail, or
 * are far slower than their pool, are ejected for a while, never more than a
 * third of the pool.
 */

#include "marlhoist.h"

#include <math.h>
#include <string.h>

/* A longer rest that a side process reports counts as this. */
#define REST_MAX_US ((uint64_t)3600 * MH_US_PER_S)
#define EWMA_GAIN 0.1
#define EJECT_FAILS 3
#define EJECT_MIN_US (500 * MH_US_PER_MS)
#define EJECT_MAX_US (8 * MH_US_PER_S)
#define SLOW_FACTOR 4.0 /* times the pool's median */
#define SLOW_FLOOR_US 2000.0
#define NEW_US (3 * MH_US_PER_S) /* slow start of a new endpoint */
#define NEW_FACTOR 2.0
#define LOAD_FRESH_US (500 * MH_US_PER_MS)
#define AFFINITY_BOUND 1.25
#define AFFINITY_SLACK 2.0
#define OTHER_DOMAIN_FACTOR 1.05 /* for the longer network path */

/*
 * An endpoint that came up within this time after the start of this entry is
 * not taken as cold: the entry may only have discovered it then.
 */
#define DISCOVERY_US (5 * MH_US_PER_S)

struct route {
	struct mh_kern *k;
	int64_t started_us;
	char *domain;
	GHashTable *next; /* pool -> next position of round robin */
};

/* Estimate of the calls at the endpoint. */
static double
active_calls(struct mh_kern *k, const struct mh_peer *p)
{
	double reported = (double)p->load_running + (double)p->load_queued;
	double since = (double)p->own_calls - (double)p->load_own_calls;

	/* An old report is worse than the exact count of our own calls. */
	if (p->load_at_us == 0 || mh_now(k) - p->load_at_us > LOAD_FRESH_US)
		return (double)p->own_calls;
	return MAX(reported + since, (double)p->own_calls);
}

static double
fill(struct mh_kern *k, const struct mh_peer *p)
{
	return active_calls(k, p) / (double)MAX(p->load_slots, 1U);
}

static double
score(struct route *r, const struct mh_peer *p)
{
	double s = (fill(r->k, p) + 0.1) * MAX(p->ewma_us, 1.0);

	if (strcmp(p->domain, r->domain) != 0)
		s *= OTHER_DOMAIN_FACTOR;
	if (mh_now(r->k) - p->up_since_us < NEW_US)
		s *= NEW_FACTOR;
	return s;
}

static bool
is_avoided(const struct mh_peer *p, const struct mh_pick *q)
{
	return q->avoid_vm != NULL && strcmp(p->vm, q->avoid_vm) == 0;
}

static bool
is_cold(
    const struct route *r, const struct mh_pool *pool, const struct mh_peer *p)
{
	return pool != NULL && pool->cold_per_s > 0 &&
	    p->up_since_us - r->started_us > DISCOVERY_US &&
	    mh_now(r->k) - p->up_since_us < pool->warmup_us;
}

/* Whether we may send a call to the endpoint now, cold or not. */
static bool
has_slot(
    const struct route *r, const struct mh_pool *pool, const struct mh_peer *p)
{
	struct mh_cold_slot t = { 0 };
	int64_t interval_us;

	if (!is_cold(r, pool, p))
		return true;
	t.per_s = pool->cold_per_s;
	t.rank = mh_roster_rank(r->k, p->vm, &t.entries);
	interval_us = mh_cold_slot_us(&t);
	return interval_us > 0 &&
	    (p->last_call_us == 0 ||
		mh_now(r->k) - p->last_call_us >= interval_us);
}

static void
collect(
    struct route *r, const struct mh_pick *q, GPtrArray *out, bool with_ejected)
{
	GPtrArray *pool = mh_member_pool(r->k, q->pool);
	int64_t now = mh_now(r->k);
	const struct mh_pool *decl = mh_decl_pool(mh_conf_get(r->k), q->pool);

	for (guint i = 0; i < pool->len; i++) {
		struct mh_peer *p = pool->pdata[i];

		if (!mh_member_usable(r->k, p) || is_avoided(p, q) ||
		    p->rest_end_us > now || !has_slot(r, decl, p))
			continue;
		if (with_ejected || p->eject_until_us <= now)
			g_ptr_array_add(out, p);
	}
}

uint32_t
mh_route_usable(struct mh_kern *k, const char *pool)
{
	GPtrArray *a = mh_member_pool(k, pool);
	uint32_t n = 0;

	for (guint i = 0; i < a->len; i++)
		n += mh_member_usable(k, a->pdata[i]);
	return n;
}

static struct mh_peer *
round_robin(struct route *r, const struct mh_pick *q, GPtrArray *c)
{
	guint next = GPOINTER_TO_UINT(g_hash_table_lookup(r->next, q->pool));

	g_hash_table_replace(
	    r->next, g_strdup(q->pool), GUINT_TO_POINTER(next + 1));
	return c->pdata[next % c->len];
}

/* The first endpoint in the rendezvous order of @key with few enough calls. */
static struct mh_peer *
by_rendezvous(
    const struct route *r, uint64_t key, const GPtrArray *c, double busy_max)
{
	struct mh_peer *best = NULL;
	char text[24];
	uint64_t weight = 0;

	snprintf(text, sizeof(text), "%" PRIx64, key);
	for (guint i = 0; i < c->len; i++) {
		struct mh_peer *p = c->pdata[i];
		uint64_t w = mh_rendezvous(text, p->vm);

		if (active_calls(r->k, p) > busy_max ||
		    (best != NULL && w <= weight))
			continue;
		best = p;
		weight = w;
	}
	return best;
}

/*
 * Rendezvous hashing with bounded loads: the first endpoint in the order of
 * the prefix that is not much busier than the average.  Calls beyond that
 * bound always overflow to the same second endpoint, whose cache then has the
 * prefix as well.
 */
static struct mh_peer *
by_affinity(struct route *r, const struct mh_pick *q, GPtrArray *c)
{
	double sum = 0;

	for (guint i = 0; i < c->len; i++)
		sum += active_calls(r->k, c->pdata[i]);
	return by_rendezvous(r, q->affinity, c,
	    AFFINITY_BOUND * sum / (double)c->len + AFFINITY_SLACK);
}

static struct mh_peer *
two_choices(struct route *r, const struct mh_pick *q, GPtrArray *c)
{
	guint i = (guint)(mh_random(r->k) % c->len);
	guint j = (guint)(mh_random(r->k) % c->len);
	struct mh_peer *a = c->pdata[i], *b = c->pdata[j];
	bool a_avoided, b_avoided;

	if (i == j && c->len > 1)
		b = c->pdata[(j + 1) % c->len];
	if (q->avoid_domain != NULL) {
		a_avoided = strcmp(a->domain, q->avoid_domain) == 0;
		b_avoided = strcmp(b->domain, q->avoid_domain) == 0;
		if (a_avoided != b_avoided)
			return a_avoided ? b : a;
	}
	return score(r, a) <= score(r, b) ? a : b;
}

struct mh_peer *
mh_route_pick(struct mh_kern *k, const struct mh_pick *q)
{
	struct route *r = mh_kern_get(k, "route");
	const struct mh_policy *pol = &mh_conf_get(k)->policy;
	GPtrArray *c = g_ptr_array_new();
	struct mh_peer *p = NULL;

	collect(r, q, c, pol->routing == MH_ROUTE_ROUND_ROBIN);
	if (c->len == 0)
		collect(r, q, c, true);
	/* All entries choose the same endpoint for an isolated request. */
	if (c->len > 0 && q->isolation_hash != 0)
		p = by_rendezvous(r, q->isolation_hash, c, INFINITY);
	else if (c->len > 0 && pol->routing == MH_ROUTE_ROUND_ROBIN)
		p = round_robin(r, q, c);
	if (c->len > 0 && p == NULL && q->affinity != 0 && pol->affinity)
		p = by_affinity(r, q, c);
	if (c->len > 0 && p == NULL)
		p = two_choices(r, q, c);
	g_ptr_array_free(c, TRUE);
	return p;
}

void
mh_route_load(struct mh_kern *k, struct mh_peer *p, const Mh__Load *l)
{
	p->load_running = l->running;
	p->load_queued = l->queued;
	p->load_slots = l->slots;
	p->load_own_calls = p->own_calls;
	p->load_at_us = mh_now(k);
	for (size_t i = 0; i < MH_PRIORITIES; i++)
		p->load_wait_us[i] = i < l->n_wait_us ? l->wait_us[i] : 0;
	p->rest_end_us = mh_now(k) + (int64_t)MIN(l->rest_us, REST_MAX_US);
}

void
mh_route_sent(struct mh_kern *k, struct mh_peer *p)
{
	p->own_calls++;
	p->last_call_us = mh_now(k);
}

static int
by_value(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double
median_us(struct mh_kern *k, const char *pool, guint *usable, guint *ejected)
{
	GPtrArray *a = mh_member_pool(k, pool);
	GArray *v = g_array_new(FALSE, FALSE, sizeof(double));
	double m = 0;

	*usable = *ejected = 0;
	for (guint i = 0; i < a->len; i++) {
		struct mh_peer *p = a->pdata[i];

		if (!mh_member_usable(k, p))
			continue;
		(*usable)++;
		*ejected += p->eject_until_us > mh_now(k);
		if (p->ewma_us > 0)
			g_array_append_val(v, p->ewma_us);
	}
	g_array_sort(v, by_value);
	if (v->len > 0)
		m = g_array_index(v, double, v->len / 2);
	g_array_free(v, TRUE);
	return m;
}

/*
 * Never ejects more than a third of the pool: more ejections would leave the
 * work to too few endpoints, which would then look slow as well.
 */
static void
eject(struct mh_kern *k, struct mh_peer *p, guint usable, guint ejected)
{
	if ((ejected + 1) * 3 > usable || p->eject_until_us > mh_now(k))
		return;
	p->eject_for_us =
	    CLAMP(p->eject_for_us * 2, EJECT_MIN_US, EJECT_MAX_US);
	p->eject_until_us = mh_now(k) + p->eject_for_us;
	p->fail_streak = 0;
	mh_count(k, "route_ejections", 1);
	mh_log(k, "route", "Endpoint ejected: vm=%s for_us=%" PRId64 ".", p->vm,
	    p->eject_for_us);
}

void
mh_route_observe(
    struct mh_kern *k, struct mh_peer *p, bool good, int64_t endpoint_us)
{
	guint usable, ejected;
	double median;

	if (endpoint_us > 0) {
		if (p->ewma_us <= 0)
			p->ewma_us = (double)endpoint_us;
		p->ewma_us += EWMA_GAIN * ((double)endpoint_us - p->ewma_us);
	}
	p->fail_streak = good ? 0 : p->fail_streak + 1;
	if (good && endpoint_us <= 0)
		return;
	median = median_us(k, p->pool, &usable, &ejected);
	if (p->fail_streak >= EJECT_FAILS ||
	    (endpoint_us > 0 &&
		p->ewma_us > SLOW_FACTOR * median + SLOW_FLOOR_US)) {
		eject(k, p, usable, ejected);
		/* Otherwise its old average would eject it again at once. */
		if (p->eject_until_us > mh_now(k))
			p->ewma_us = MIN(p->ewma_us, SLOW_FACTOR * median);
	} else if (good) {
		p->eject_for_us /= 2;
	}
}

void
mh_route_result(
    struct mh_kern *k, struct mh_peer *p, bool good, int64_t endpoint_us)
{
	if (p->own_calls > 0)
		p->own_calls--;
	if (p->load_own_calls > p->own_calls)
		p->load_own_calls = p->own_calls;
	mh_route_observe(k, p, good, endpoint_us);
}

int64_t
mh_route_wait(struct mh_kern *k, const char *pool, uint32_t priority)
{
	GPtrArray *a = mh_member_pool(k, pool);
	int64_t best = -1;

	for (guint i = 0; i < a->len; i++) {
		struct mh_peer *p = a->pdata[i];
		int64_t wait = (int64_t)p->load_wait_us[priority];

		if (!mh_member_usable(k, p))
			continue;
		if (mh_now(k) - p->load_at_us > LOAD_FRESH_US)
			wait = 0;
		wait = MAX(wait, p->rest_end_us - mh_now(k));
		if (best < 0 || wait < best)
			best = wait;
	}
	return best;
}

int64_t
mh_route_rest(struct mh_kern *k, const char *pool)
{
	GPtrArray *a = mh_member_pool(k, pool);
	int64_t least = -1;

	for (guint i = 0; i < a->len; i++) {
		const struct mh_peer *p = a->pdata[i];
		int64_t us = MAX(p->rest_end_us - mh_now(k), 0);

		if (mh_member_usable(k, p) && (least < 0 || us < least))
			least = us;
	}
	return MAX(least, 0);
}

static void
destroy(void *self)
{
	struct route *r = self;

	g_hash_table_destroy(r->next);
	g_free(r->domain);
	g_free(r);
}

void
mh_route_create(struct mh_kern *k, const char *domain)
{
	struct route *r = g_new0(struct route, 1);

	r->k = k;
	r->started_us = mh_now(k);
	r->domain = g_strdup(domain);
	r->next = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mh_kern_add(k, "route", r, NULL, destroy);
}
