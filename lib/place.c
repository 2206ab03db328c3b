/**
 * DOC: Chooses the endpoint for a request.
 *
 * Pools without prompts: the endpoint with the shortest expected wait.
 * Engines: the one with the earliest expected first token, including the time
 * to prefill what its prompt cache lacks.  All processes map each shared part
 * of a prompt to the same endpoint by rendezvous hashing, so that the part is
 * cached in one place although processes do not exchange what they sent.
 * Affinity is only a term of the score: under load another endpoint wins.
 */

#include "gate.h"

#include <string.h>

/*
 * This is 25 tokens per ms: an idle engine prefills 36, but fewer while it
 * decodes.
 */
#define PREFILL_US_PER_TOKEN 40.0
/*
 * Delay of the first token by each request that is running already, which
 * takes a share of each step of a chunked prefill.
 */
#define RUNNING_COST_US 3000.0
#define WAITING_COST_US 60000.0
#define FULL_COST_US 2000000.0
/* A reported load is used this long, afterwards only our own call count. */
#define LOAD_EXPIRY_US (600 * MH_US_PER_MS)
/* A part that was sent is assumed cached this long after its last use. */
#define CACHE_EXPIRY_US (30 * MH_US_PER_S)
#define CACHE_ENTRIES_MAX 20000
/* Cost of another failure domain: decides between otherwise equal nodes. */
#define OTHER_DOMAIN_COST_US 1500.0
/* Cost of a failed try, multiplied by the recent share of failures. */
#define FAIL_COST_US 400000.0
/* Assumed time to an answer before one was measured. */
#define TOOK_DEFAULT_US 30000.0

struct mh_place {
	struct mh_kern *k;
	struct mh_fleet *f;
	GHashTable *cached; /* hash of node and part -> last use */
};

struct mh_place *
mh_place_create(struct mh_kern *k, struct mh_fleet *f)
{
	struct mh_place *p = g_new0(struct mh_place, 1);

	p->k = k;
	p->f = f;
	p->cached =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return p;
}

void
mh_place_destroy(struct mh_place *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->cached);
	g_free(p);
}

/* The finaliser of SplitMix64: every output bit depends on all input bits. */
static uint64_t
mix(uint64_t part, uint64_t node)
{
	uint64_t x = part * 0x9e3779b97f4a7c15ULL ^ node;

	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ x >> 27) * 0x94d049bb133111ebULL;
	return x ^ x >> 31;
}

static int64_t
cache_key(const struct mh_node *n, uint64_t part)
{
	return (int64_t)mix(part, n->cache_hash);
}

static bool
is_cached(const struct mh_place *p, const struct mh_node *n, uint64_t part)
{
	int64_t key = cache_key(n, part);
	const int64_t *at = g_hash_table_lookup(p->cached, &key);

	return at != NULL && mh_now(p->k) - *at < CACHE_EXPIRY_US;
}

static gboolean
expired(gpointer key, gpointer value, gpointer arg)
{
	struct mh_place *p = arg;

	(void)key;
	return mh_now(p->k) - *(int64_t *)value >= CACHE_EXPIRY_US;
}

void
mh_place_sent(
    struct mh_place *p, const struct mh_place_request *a, struct mh_node *n)
{
	mh_node_sent(p->f, n);
	if (g_hash_table_size(p->cached) > CACHE_ENTRIES_MAX)
		g_hash_table_foreach_remove(p->cached, expired, p);
	for (uint32_t i = 0; i + 1 < a->n_parts; i++) {
		int64_t key = cache_key(n, a->parts[i].id);
		int64_t now = mh_now(p->k);

		g_hash_table_insert(p->cached, g_memdup2(&key, sizeof(key)),
		    g_memdup2(&now, sizeof(now)));
	}
}

static bool
was_tried(const struct mh_place_request *a, const struct mh_node *n)
{
	for (uint32_t i = 0; i < a->n_tried; i++) {
		if (strcmp(a->tried[i], n->id) == 0)
			return true;
	}
	return false;
}

static bool
has_version(const struct mh_place_request *a, const struct mh_node *n)
{
	return a->version == 0 ||
	    (n->version_key == a->version && a->version != MH_VERSION_UNSURE);
}

/*
 * Whether the entry has as many calls there as its share of the connections
 * allows.  Where most callers are at one entry, the others use little of
 * theirs: an endpoint that reports free slots takes more.
 */
static bool
is_full(const struct mh_place *p, const struct mh_place_request *a,
    const struct mh_node *n)
{
	bool has_room = n->load_at_us > 0 &&
	    mh_now(p->k) - n->load_at_us < LOAD_EXPIRY_US && n->waiting == 0 &&
	    n->running < n->capacity / 2 && n->inflight < n->capacity / 2;

	return a->inflight_max > 0 && n->inflight >= a->inflight_max &&
	    !has_room;
}

/* Whether the request may go there at all, whenever that is. */
static bool
is_candidate(const struct mh_place *p, const struct mh_place_request *a,
    const struct mh_node *n)
{
	return has_version(a, n) && !was_tried(a, n) &&
	    !(a->sure && mh_node_in_doubt(p->f, n));
}

/*
 * The endpoint expected to have the prompt cached: the usable one with the
 * highest rendezvous weight for the last shared part.  The last part of all
 * belongs to this request alone.
 */
static const struct mh_node *
affinity_node(const struct mh_place *p, const struct mh_place_request *a,
    const GPtrArray *pool)
{
	const struct mh_node *affine = NULL;
	uint64_t best = 0, part;

	if (a->n_parts < 2)
		return NULL;
	part = a->parts[a->n_parts - 2].id;
	for (guint i = 0; i < pool->len; i++) {
		const struct mh_node *n = g_ptr_array_index(pool, i);
		uint64_t w = mix(part, n->hash);

		/* One with a limit could take few of its prompts. */
		if (has_version(a, n) && mh_node_usable(p->f, n) &&
		    n->said.limit_per_s == 0 && (affine == NULL || w > best)) {
			affine = n;
			best = w;
		}
	}
	return affine;
}

/* A cached part is of use only if all parts before it are cached as well. */
static double
prefill_us(const struct mh_place *p, const struct mh_place_request *a,
    const struct mh_node *n, bool affine)
{
	double tokens = 0;
	bool cached = true;

	for (uint32_t i = 0; i < a->n_parts; i++) {
		bool last = i + 1 == a->n_parts;

		cached = cached && !last &&
		    (affine || is_cached(p, n, a->parts[i].id));
		if (!cached)
			tokens += a->parts[i].tokens;
	}
	return tokens * PREFILL_US_PER_TOKEN;
}

static double
load_us(const struct mh_place *p, const struct mh_node *n, bool engine)
{
	bool fresh =
	    n->load_at_us > 0 && mh_now(p->k) - n->load_at_us < LOAD_EXPIRY_US;
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
	return RUNNING_COST_US * pace * running +
	    (fresh ? WAITING_COST_US * n->waiting : 0) +
	    (running >= slots ? FULL_COST_US : 0);
}

static double
score(const struct mh_place *p, const struct mh_place_request *a,
    const struct mh_node *n, const struct mh_node *affine)
{
	double us = load_us(p, n, a->n_parts > 0);

	us += prefill_us(p, a, n, n == affine) * mh_node_pace(p->f, n);
	us += n->fail_share * FAIL_COST_US;
	if (mh_node_cold(p->f, n))
		us *= 2;
	if (a->domain != NULL && strcmp(a->domain, n->domain) != 0)
		us += OTHER_DOMAIN_COST_US;
	return us + mh_random_unit(p->k) * OTHER_DOMAIN_COST_US / 2;
}

/* endpoints that take few requests: cold ones, and those that say so */

static bool
is_cold(const struct mh_place *p, const struct mh_place_request *a,
    const struct mh_node *n)
{
	return a->cold_per_s > 0 && mh_node_cold(p->f, n);
}

/* Interval of our time slots at a cold endpoint; 0: we have none there. */
static int64_t
cold_interval_us(const struct mh_place *p, const struct mh_place_request *a,
    const struct mh_node *n)
{
	struct mh_cold_slot t = { a->cold_per_s, 1, 0 };

	t.rank = mh_fleet_rank(p->f, n, &t.entries);
	return mh_cold_slot_us(&t);
}

/** struct slot - a time slot of ours at an endpoint. */
struct slot {
	struct mh_node *node;
	int64_t at_us; /* its start, or the end of the warm-up if sooner */
	int64_t interval_us; /* 0: no slots of ours, or none are needed */
};

/*
 * Our next time slot there.  A request that was sent before the endpoint became
 * cold, or named its limit, counts as well.
 */
static struct slot
next_slot(const struct mh_place *p, const struct mh_place_request *a,
    struct mh_node *n)
{
	struct slot t = { n, mh_node_next_us(p->f, n, MH_SENDER_ANY),
		mh_node_interval_us(p->f, n, MH_SENDER_ANY) };
	int64_t cold_us, interval_us;

	if (t.at_us == INT64_MAX)
		return t;
	if (t.interval_us > 0)
		t.at_us = MAX(t.at_us, n->slot_from_us);
	if (!is_cold(p, a, n))
		return t;
	cold_us = n->warm_at_us;
	interval_us = cold_interval_us(p, a, n);
	if (interval_us > 0) {
		int64_t us = n->sent_us == 0 ? 0 : n->sent_us + interval_us;

		cold_us = MIN(cold_us, MAX(us, n->slot_from_us));
	}
	t.at_us = MAX(t.at_us, cold_us);
	t.interval_us = MAX(t.interval_us, interval_us);
	return t;
}

/*
 * Whether the slot that was reserved for the request is still one: the endpoint
 * may have named a limit, or a lower one, since.  Timers are not exact.
 */
static bool
keeps_reserved(const struct mh_place *p, const struct mh_node *n)
{
	int64_t us = mh_node_interval_us(p->f, n, MH_SENDER_ANY);

	return us == 0 || n->sent_us == 0 ||
	    (us != INT64_MAX && n->sent_us + us / 4 * 3 <= mh_now(p->k));
}

/* Whether we may send a request to the endpoint now. */
static bool
has_slot(const struct mh_place *p, const struct mh_place_request *a,
    struct mh_node *n)
{
	struct slot t = next_slot(p, a, n);

	if (t.at_us == INT64_MAX)
		return false;
	if (a->slot_node != NULL && strcmp(a->slot_node, n->id) == 0 &&
	    keeps_reserved(p, n))
		return true;
	return t.at_us <= mh_now(p->k);
}

static struct slot
first_slot(
    const struct mh_place *p, struct mh_place_request *a, const GPtrArray *pool)
{
	struct slot first = { NULL, INT64_MAX, 0 };

	for (guint i = 0; i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);
		struct slot t = next_slot(p, a, n);
		int64_t us = mh_node_retry_us(p->f, n, t.at_us);

		if (t.at_us == INT64_MAX || !is_candidate(p, a, n))
			continue;
		if (a->retry_us == 0 || us < a->retry_us)
			a->retry_us = us;
		/*
		 * One that may get a request now was left out for another
		 * reason.  None waits for a rest: all would come at its end.
		 */
		if (mh_node_usable(p->f, n) && t.at_us > mh_now(p->k) &&
		    t.at_us < first.at_us)
			first = t;
	}
	return first;
}

/*
 * No endpoint can take the request now.  Sets the time until one may, and
 * reserves our next time slot at an endpoint with few of them if the request
 * can wait for it.
 */
static void
wait_for_slot(
    struct mh_place *p, struct mh_place_request *a, const GPtrArray *pool)
{
	struct slot t = first_slot(p, a, pool);
	bool is_warm;

	if (t.node == NULL)
		return;
	a->wait_us = t.at_us - mh_now(p->k);
	is_warm = t.at_us >= t.node->warm_at_us;
	if (t.at_us > a->wait_deadline_us ||
	    (is_warm && t.node->said.limit_per_s == 0))
		return;
	t.node->slot_from_us = t.at_us + t.interval_us;
	a->wait_node = t.node->id;
}

int64_t
mh_place_next_us(struct mh_place *p, struct mh_place_request *a)
{
	GPtrArray *pool = mh_fleet_pool(p->f, a->pool);
	int64_t us = INT64_MAX;

	for (guint i = 0; pool != NULL && i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);

		if (!has_version(a, n))
			continue;
		us = MIN(us,
		    a->version != 0 && mh_node_takes_last(p->f, n)
			? mh_now(p->k)
			: next_slot(p, a, n).at_us);
		if (us <= mh_now(p->k))
			return us;
	}
	if (pool != NULL)
		(void)first_slot(p, a, pool);
	return us;
}

/* Notes an endpoint that is left out because of what it has said. */
static void
note_held_back(const struct mh_place *p, struct mh_place_request *a,
    const struct mh_node *n)
{
	if (n->said.leaving)
		a->held_back[MH_NEED_LEAVES]++;
	else if (n->said.rest_end_us > mh_now(p->k))
		a->held_back[MH_NEED_RESTS]++;
	else if (n->said.limit_per_s > 0)
		a->held_back[MH_NEED_LIMITS]++;
}

static void
count_held_back(struct mh_place *p, const struct mh_place_request *a)
{
	static const char *const names[MH_NEEDS] = { "held_back_leaving",
		"held_back_rest", "held_back_limit" };

	for (int i = 0; i < MH_NEEDS; i++) {
		if (a->held_back[i] > 0)
			mh_count(p->k, names[i], a->held_back[i]);
	}
}

static struct mh_node *
best_of(struct mh_place *p, struct mh_place_request *a, const GPtrArray *pool,
    bool with_ejected)
{
	const struct mh_node *affine = affinity_node(p, a, pool);
	struct mh_node *best = NULL;
	double least = 0;

	memset(a->held_back, 0, sizeof(a->held_back));
	for (guint i = 0; i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);
		double s;

		/* An endpoint resets connections beyond its limit. */
		if (is_full(p, a, n))
			continue;
		if (!is_candidate(p, a, n) ||
		    (!with_ejected && n->eject_until_us > mh_now(p->k)))
			continue;
		if (!has_slot(p, a, n)) {
			note_held_back(p, a, n);
			continue;
		}
		s = score(p, a, n, affine);
		if (best == NULL || s < least) {
			best = n;
			least = s;
		}
	}
	a->has_cached_prompt = best != NULL && best == affine;
	if (best != NULL || with_ejected)
		count_held_back(p, a);
	return best;
}

/*
 * The endpoint for a possible poison request.  All entries choose the same
 * endpoint for the same request, and requests are spread by hash, so that a
 * crash points to one of them.
 */
static struct mh_node *
isolation_node(
    struct mh_place *p, const struct mh_place_request *a, const GPtrArray *pool)
{
	struct mh_node *best = NULL;
	uint64_t most = 0;

	for (guint i = 0; i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);
		uint64_t w = mix(a->isolation_hash, n->hash);

		if (!mh_node_usable(p->f, n) || !is_candidate(p, a, n) ||
		    !has_slot(p, a, n) || is_full(p, a, n) ||
		    (best != NULL && w <= most))
			continue;
		best = n;
		most = w;
	}
	return best;
}

/*
 * A draining endpoint for a stream that goes on: others of its version may not
 * exist any more.
 */
static struct mh_node *
draining_node(
    struct mh_place *p, const struct mh_place_request *a, const GPtrArray *pool)
{
	struct mh_node *best = NULL;

	for (guint i = 0; a->version != 0 && i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);

		if (mh_node_takes_last(p->f, n) && is_candidate(p, a, n) &&
		    !is_full(p, a, n) &&
		    (best == NULL || n->inflight < best->inflight))
			best = n;
	}
	return best;
}

/* The endpoint that has just confirmed its start, if it still has room. */
static struct mh_node *
confirmed_node(struct mh_place *p, const struct mh_place_request *a)
{
	struct mh_node *n =
	    a->confirmed == NULL ? NULL : mh_fleet_find(p->f, a->confirmed);

	if (n == NULL || !is_candidate(p, a, n) || is_full(p, a, n) ||
	    (!has_slot(p, a, n) && !mh_node_takes_last(p->f, n)))
		return NULL;
	return n;
}

const struct mh_node *
mh_place_affinity(struct mh_place *p, const struct mh_place_request *a)
{
	GPtrArray *pool = mh_fleet_pool(p->f, a->pool);

	return pool == NULL ? NULL : affinity_node(p, a, pool);
}

struct mh_node *
mh_place_look(struct mh_place *p, struct mh_place_request *a)
{
	GPtrArray *pool = mh_fleet_pool(p->f, a->pool);
	struct mh_node *n;

	if (pool == NULL)
		return NULL;
	n = confirmed_node(p, a);
	if (n != NULL)
		return n;
	n = a->isolation_hash != 0 ? isolation_node(p, a, pool) : NULL;
	if (n == NULL)
		n = best_of(p, a, pool, false);
	if (n == NULL)
		n = best_of(p, a, pool, true);
	return n != NULL ? n : draining_node(p, a, pool);
}

struct mh_node *
mh_place_pick(struct mh_place *p, struct mh_place_request *a)
{
	GPtrArray *pool = mh_fleet_pool(p->f, a->pool);
	struct mh_node *n = mh_place_look(p, a);

	if (n == NULL && pool != NULL)
		wait_for_slot(p, a, pool);
	return n;
}
