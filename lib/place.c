/**
 * DOC: Which endpoint takes a request.
 *
 * Plain pools: the shortest expected wait.  Engines: the earliest first
 * token, where reading again what another engine keeps counts as time.  All
 * processes agree on a home for each shared part by rendezvous hashing, so
 * that a part is kept in one place although nobody tells the others what he
 * sent; a home that is loaded loses to the next.
 */

#include "gate.h"

#include <string.h>

/* Reading a prompt, from engine tests of this class: 36 tokens a ms alone,
 * less beside the decoding of others. */
#define PREFILL_US_PER_TOKEN 40.0
/*
 * What one more running request costs the next one's first token: its share
 * of each step of a chunked prefill.
 */
#define RUNNING_US 3000.0
#define WAITING_US 60000.0
#define FULL_US 2000000.0
/* An endpoint's own word is used this long, then our own count alone. */
#define TOLD_US (600 * MH_US_PER_MS)
/* A part that was sent is taken as kept for this long after its last use. */
#define KEPT_US (30 * MH_US_PER_S)
#define KEPT_MAX 20000
/* Where nothing else decides: stay in the own failure domain. */
#define OTHER_DOMAIN_US 1500.0
/* The time that a failing endpoint is expected to cost. */
#define FAIL_US 400000.0
/* Unknown endpoints answer about so fast. */
#define TOOK_DEFAULT_US 30000.0

struct mh_place {
	struct mh_kern *k;
	struct mh_fleet *f;
	GHashTable *kept; /* hash of node and part -> last use */
	uint32_t (*rank)(void *arg, const char *endpoint, uint32_t *entries);
	void *rank_arg;
};

struct mh_place *
mh_place_create(struct mh_kern *k, struct mh_fleet *f)
{
	struct mh_place *p = g_new0(struct mh_place, 1);

	p->k = k;
	p->f = f;
	p->kept =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return p;
}

void
mh_place_destroy(struct mh_place *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->kept);
	g_free(p);
}

/* The finaliser of SplitMix64: every bit of both depends on every bit. */
static uint64_t
mix(uint64_t part, uint64_t node)
{
	uint64_t x = part * 0x9e3779b97f4a7c15ULL ^ node;

	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
	return x ^ x >> 31;
}

static int64_t
kept_key(const struct mh_node *n, uint64_t part)
{
	return (int64_t)mix(part, n->kept_hash);
}

static bool
is_kept(const struct mh_place *p, const struct mh_node *n, uint64_t part)
{
	int64_t key = kept_key(n, part);
	const int64_t *at = g_hash_table_lookup(p->kept, &key);

	return at != NULL && mh_now(p->k) - *at < KEPT_US;
}

static gboolean
expired(gpointer key, gpointer value, gpointer arg)
{
	struct mh_place *p = arg;

	(void)key;
	return mh_now(p->k) - *(int64_t *)value >= KEPT_US;
}

void
mh_place_sent(
    struct mh_place *p, const struct mh_place_ask *a, struct mh_node *n)
{
	n->sent_us = mh_now(p->k);
	if (g_hash_table_size(p->kept) > KEPT_MAX)
		g_hash_table_foreach_remove(p->kept, expired, p);
	for (uint32_t i = 0; i + 1 < a->n_parts; i++) {
		int64_t key = kept_key(n, a->parts[i].id);
		int64_t now = mh_now(p->k);

		g_hash_table_insert(p->kept, g_memdup2(&key, sizeof(key)),
		    g_memdup2(&now, sizeof(now)));
	}
}

static bool
was_tried(const struct mh_place_ask *a, const struct mh_node *n)
{
	for (uint32_t i = 0; i < a->n_tried; i++) {
		if (strcmp(a->tried[i], n->id) == 0)
			return true;
	}
	return false;
}

/* The deepest shared part says where a prompt is at home. */
static const struct mh_node *
home_of(const struct mh_place *p, const struct mh_place_ask *a,
    const GPtrArray *pool)
{
	const struct mh_node *home = NULL;
	uint64_t best = 0, part;

	if (a->n_parts < 2)
		return NULL;
	part = a->parts[a->n_parts - 2].id;
	for (guint i = 0; i < pool->len; i++) {
		const struct mh_node *n = g_ptr_array_index(pool, i);
		uint64_t w = mix(part, n->hash);

		if (mh_node_usable(p->f, n) && (home == NULL || w > best)) {
			home = n;
			best = w;
		}
	}
	return home;
}

/* Parts are kept only as far as all before them are. */
static double
prefill_us(const struct mh_place *p, const struct mh_place_ask *a,
    const struct mh_node *n, bool home)
{
	double tokens = 0;
	bool kept = true;

	for (uint32_t i = 0; i < a->n_parts; i++) {
		bool last = i + 1 == a->n_parts;

		kept = kept && !last && (home || is_kept(p, n, a->parts[i].id));
		if (!kept)
			tokens += a->parts[i].tokens;
	}
	return tokens * PREFILL_US_PER_TOKEN;
}

static double
load_us(const struct mh_place *p, const struct mh_node *n, bool engine)
{
	bool fresh = n->told_us > 0 && mh_now(p->k) - n->told_us < TOLD_US;
	double running = n->inflight;
	double slots = n->capacity > 0 ? n->capacity : 1;
	double each = n->took_us > 0 ? n->took_us : TOOK_DEFAULT_US;
	double pace = mh_node_pace(p->f, n);

	if (fresh)
		running = MAX(running, (double)n->running + n->waiting);
	each *= pace;
	if (!engine)
		return each * (1 + running / slots) +
		    (running >= slots ? each : 0);
	return RUNNING_US * pace * running +
	    (fresh ? WAITING_US * n->waiting : 0) +
	    (running >= slots ? FULL_US : 0);
}

static double
score(const struct mh_place *p, const struct mh_place_ask *a,
    const struct mh_node *n, const struct mh_node *home)
{
	double us = load_us(p, n, a->n_parts > 0);

	us += prefill_us(p, a, n, n == home) * mh_node_pace(p->f, n);
	us += n->fail * FAIL_US;
	if (mh_node_cold(p->f, n))
		us *= 2;
	if (a->domain != NULL && strcmp(a->domain, n->domain) != 0)
		us += OTHER_DOMAIN_US;
	return us + mh_random_unit(p->k) * OTHER_DOMAIN_US / 2;
}

/* cold endpoints */

void
mh_place_on_rank(struct mh_place *p,
    uint32_t (*fn)(void *arg, const char *endpoint, uint32_t *entries),
    void *arg)
{
	p->rank = fn;
	p->rank_arg = arg;
}

/* Time between two of our sendings to an endpoint while it is cold. */
static int64_t
turn_us(const struct mh_place *p, const struct mh_place_ask *a,
    const struct mh_node *n)
{
	struct mh_turn t = { a->cold_per_s, 1, 0 };

	if (p->rank != NULL)
		t.before = p->rank(p->rank_arg, n->name, &t.entries);
	return mh_turn_us(&t);
}

static bool
is_bound(const struct mh_place *p, const struct mh_place_ask *a,
    const struct mh_node *n)
{
	return a->cold_per_s > 0 && mh_node_cold(p->f, n);
}

/* When our next turn there is; what went there before it was cold counts. */
static int64_t
next_turn_us(const struct mh_node *n, int64_t each_us)
{
	int64_t us = n->sent_us == 0 ? 0 : n->sent_us + each_us;

	return MAX(us, n->turn_from_us);
}

/* Whether a cold endpoint bears one more of ours now. */
static bool
has_turn(const struct mh_place *p, const struct mh_place_ask *a,
    const struct mh_node *n)
{
	int64_t each_us;

	if (!is_bound(p, a, n))
		return true;
	if (a->turn != NULL && strcmp(a->turn, n->id) == 0)
		return true;
	each_us = turn_us(p, a, n);
	return each_us > 0 && next_turn_us(n, each_us) <= mh_now(p->k);
}

/** struct turn_at - a turn of ours at a cold endpoint. */
struct turn_at {
	struct mh_node *node;
	int64_t at_us; /* or when it is warm, if that is sooner */
	int64_t each_us;
};

static struct turn_at
first_turn(const struct mh_place *p, const struct mh_place_ask *a,
    const GPtrArray *pool)
{
	struct turn_at first = { NULL, INT64_MAX, 0 };

	for (guint i = 0; i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);
		struct turn_at t = { n, n->warm_at_us, 0 };

		if (!mh_node_usable(p->f, n) || was_tried(a, n) ||
		    !is_bound(p, a, n))
			continue;
		t.each_us = turn_us(p, a, n);
		if (t.each_us > 0)
			t.at_us = MIN(t.at_us, next_turn_us(n, t.each_us));
		if (t.at_us < first.at_us)
			first = t;
	}
	return first;
}

/* Where nothing else is left it waits for a cold endpoint, if not too long. */
static void
wait_for_turn(struct mh_place *p, struct mh_place_ask *a, const GPtrArray *pool)
{
	struct turn_at t = first_turn(p, a, pool);

	if (t.node == NULL)
		return;
	a->wait_us = MAX(t.at_us - mh_now(p->k), 1);
	if (t.at_us > a->wait_by_us || t.at_us >= t.node->warm_at_us)
		return; /* or it is warm by then */
	t.node->turn_from_us = t.at_us + t.each_us;
	a->turn_at = t.node->id;
}

static struct mh_node *
best_of(
    struct mh_place *p, struct mh_place_ask *a, const GPtrArray *pool, bool any)
{
	const struct mh_node *home = home_of(p, a, pool);
	struct mh_node *best = NULL;
	double least = 0;

	for (guint i = 0; i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);
		double s;

		/* An endpoint resets connections beyond its bound. */
		if (a->most > 0 && n->inflight >= a->most)
			continue;
		if (n->leaving || n->evacuated || was_tried(a, n) ||
		    (!any && !mh_node_usable(p->f, n)) || !has_turn(p, a, n))
			continue;
		s = score(p, a, n, home);
		if (best == NULL || s < least) {
			best = n;
			least = s;
		}
	}
	a->at_home = best != NULL && best == home;
	return best;
}

/*
 * A request that may end endpoints: all entries choose the same one for it,
 * and others for others, so that an end tells which of them it was.
 */
static struct mh_node *
apart_of(
    struct mh_place *p, const struct mh_place_ask *a, const GPtrArray *pool)
{
	struct mh_node *best = NULL;
	uint64_t most = 0;

	for (guint i = 0; i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);
		uint64_t w = mix(a->apart, n->hash);

		if (!mh_node_usable(p->f, n) || was_tried(a, n) ||
		    !has_turn(p, a, n) ||
		    (a->most > 0 && n->inflight >= a->most) ||
		    (best != NULL && w <= most))
			continue;
		best = n;
		most = w;
	}
	return best;
}

const struct mh_node *
mh_place_home(struct mh_place *p, const struct mh_place_ask *a)
{
	GPtrArray *pool = mh_fleet_pool(p->f, a->pool);

	return pool == NULL ? NULL : home_of(p, a, pool);
}

struct mh_node *
mh_place_pick(struct mh_place *p, struct mh_place_ask *a)
{
	GPtrArray *pool = mh_fleet_pool(p->f, a->pool);
	struct mh_node *n;

	if (pool == NULL)
		return NULL;
	n = a->apart != 0 ? apart_of(p, a, pool) : NULL;
	if (n == NULL)
		n = best_of(p, a, pool, false);
	if (n == NULL)
		n = best_of(p, a, pool, true);
	if (n == NULL)
		wait_for_turn(p, a, pool);
	return n;
}
