/**
 * DOC: Retry budget: bounds retries to a share of recent requests.
 *
 * When endpoints fail, retries multiply the load on the remaining ones.  The
 * entries share one allowance per pool: each may spend a ratio of the requests
 * that it received and its share of a fixed slack, over a sliding window.  What
 * another process retries for it is granted to that process in advance, so the
 * sum is bounded however the links between entries fail.
 */

#include "gate.h"

#include <string.h>

/* Buckets of a window. */
#define BUCKETS 20
/*
 * Retries count until a whole window has passed, so for one bucket more than
 * requests, as the newest bucket is not full.
 */
#define HELD (BUCKETS + 1)
/* The rest is a margin for entries that count over shifted windows. */
#define SLACK_USED 0.8
/* Sums of parts of a retry differ from whole numbers by less than this. */
#define ROUNDING 1e-6
/* Others know of a process that has started after this time at most. */
#define JOIN_US (5 * MH_US_PER_S)

/** struct forfeit - part of a grant of which nothing more will be heard. */
struct forfeit {
	int64_t until_us; /* it may be spent until then */
	double retries;
};

struct window {
	uint32_t requests[HELD];
	double retries[HELD];
	double granted; /* to other processes, not settled yet */
	GArray *forfeits; /* struct forfeit, part of @granted */
	int64_t newest; /* number of the newest bucket */
	int64_t logged_us; /* when a refused retry was last logged; 0: never */
	uint32_t refused; /* retries since then */
};

struct mh_budget {
	struct mh_kern *k;
	struct mh_budget_args args;
	uint32_t entries; /* as last told; 0: not known yet */
	uint32_t most[HELD]; /* maximum of @entries in each bucket */
	int64_t newest; /* number of the newest bucket of @most */
	bool shared; /* with other processes */
	double rounding; /* see mh_budget_round() */
	int64_t start_us; /* of this process */
	int64_t known_us; /* retries before are not known, if it is shared */
	GHashTable *pools; /* name -> struct window */
	uint32_t (*entries_fn)(void *arg); /* see mh_budget_follow() */
	void *arg;
	struct mh_timer *timer;
	int64_t asked_us; /* when it last fired */
};

static void
free_window(void *arg)
{
	struct window *w = arg;

	g_array_free(w->forfeits, TRUE);
	g_free(w);
}

struct mh_budget *
mh_budget_create(struct mh_kern *k, const struct mh_budget_args *a)
{
	struct mh_budget *b = g_new0(struct mh_budget, 1);

	b->k = k;
	b->args = *a;
	b->entries = 1;
	b->start_us = mh_now(k);
	b->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_window);
	return b;
}

void
mh_budget_share(struct mh_budget *b)
{
	b->entries = 0;
	b->shared = true;
	b->known_us = mh_now(b->k) + JOIN_US;
}

void
mh_budget_destroy(struct mh_budget *b)
{
	if (b == NULL)
		return;
	mh_timer_stop(b->k, &b->timer);
	g_hash_table_destroy(b->pools);
	g_free(b);
}

static int64_t
bucket_us(const struct mh_budget *b)
{
	return MAX((b->args.window_us + BUCKETS - 1) / BUCKETS, 1);
}

static int64_t
bucket_now(const struct mh_budget *b)
{
	return mh_now(b->k) / bucket_us(b);
}

/* The maximum of entries that were known at any time in the last window. */
static uint32_t
most_entries(const struct mh_budget *b)
{
	int64_t oldest = MAX(bucket_now(b) - HELD + 1, 0);
	uint32_t n = b->entries;

	for (int64_t i = b->newest; i > b->newest - HELD && i >= oldest; i--)
		n = MAX(n, b->most[i % HELD]);
	return n;
}

/*
 * Sorts the counts into buckets of another length.  A retry counts as the
 * latest and a request as the earliest of its bucket, so that neither extends
 * the allowance.
 */
static void
resize(struct window *w, int64_t old_us, int64_t new_us, int64_t newest)
{
	struct window to = { .newest = newest,
		.granted = w->granted,
		.forfeits = w->forfeits,
		.logged_us = w->logged_us,
		.refused = w->refused };

	for (int64_t i = MAX(w->newest - HELD + 1, 0); i <= w->newest; i++) {
		int64_t first = i * old_us / new_us;
		int64_t last = ((i + 1) * old_us - 1) / new_us;

		if (first > newest - HELD)
			to.requests[first % HELD] += w->requests[i % HELD];
		last = MIN(last, newest);
		if (last > newest - HELD)
			to.retries[last % HELD] += w->retries[i % HELD];
	}
	*w = to;
}

void
mh_budget_set(struct mh_budget *b, const struct mh_budget_args *a)
{
	int64_t old_us = bucket_us(b), now = mh_now(b->k);
	uint32_t entries = most_entries(b);
	GHashTableIter it;
	gpointer w;

	if (a->window_us > b->args.window_us)
		b->known_us = MAX(b->known_us, now - b->args.window_us);
	b->args = *a;
	if (bucket_us(b) == old_us)
		return;
	b->newest = bucket_now(b);
	memset(b->most, 0, sizeof(b->most));
	b->most[b->newest % HELD] = entries;
	g_hash_table_iter_init(&it, b->pools);
	while (g_hash_table_iter_next(&it, NULL, &w))
		resize(w, old_us, bucket_us(b), b->newest);
}

/*
 * What entries that have left had spent is in the window for a while, so the
 * shares of the others grow only after that.
 */
void
mh_budget_entries(struct mh_budget *b, uint32_t n)
{
	int64_t bucket = bucket_now(b);

	for (int i = 0; b->newest < bucket && i < HELD; i++) {
		b->newest++;
		b->most[b->newest % HELD] = b->entries;
	}
	b->newest = bucket;
	b->entries = MAX(n, 1);
	b->most[bucket % HELD] = MAX(b->most[bucket % HELD], b->entries);
}

static void
on_timer(void *arg)
{
	struct mh_budget *b = arg;
	uint32_t n = b->entries_fn(b->arg);
	int64_t now = mh_now(b->k);

	/* The process did not run, and others have shared without it. */
	if (now - b->asked_us > b->args.window_us)
		b->known_us = MAX(b->known_us, now + JOIN_US);
	b->asked_us = now;
	if (n > 0)
		mh_budget_entries(b, n);
	mh_timer_set(b->k, &b->timer, bucket_us(b), on_timer, b);
}

void
mh_budget_follow(struct mh_budget *b, uint32_t (*fn)(void *arg), void *arg)
{
	mh_timer_stop(b->k, &b->timer);
	b->entries_fn = fn;
	b->arg = arg;
	b->asked_us = mh_now(b->k);
	on_timer(b);
}

uint32_t
mh_budget_shared_by(const struct mh_budget *b)
{
	return most_entries(b);
}

/* Counts forfeits as spent at the latest time at which they can have been. */
static void
count_forfeits(struct mh_budget *b, struct window *w)
{
	for (guint i = w->forfeits->len; i-- > 0;) {
		struct forfeit *f =
		    &g_array_index(w->forfeits, struct forfeit, i);

		if (f->until_us > mh_now(b->k))
			continue;
		w->granted -= f->retries;
		w->retries[w->newest % HELD] += f->retries;
		g_array_remove_index_fast(w->forfeits, i);
	}
}

static struct window *
window_of(struct mh_budget *b, const char *pool)
{
	struct window *w = g_hash_table_lookup(b->pools, pool);
	int64_t bucket = bucket_now(b);

	if (w == NULL) {
		w = g_new0(struct window, 1);
		w->newest = bucket;
		w->forfeits = g_array_new(FALSE, FALSE, sizeof(struct forfeit));
		g_hash_table_insert(b->pools, g_strdup(pool), w);
	}
	for (int n = 0; w->newest < bucket && n < HELD; n++) {
		w->newest++;
		w->requests[w->newest % HELD] = 0;
		w->retries[w->newest % HELD] = 0;
	}
	w->newest = bucket;
	count_forfeits(b, w);
	return w;
}

void
mh_budget_request(struct mh_budget *b, const char *pool)
{
	struct window *w = window_of(b, pool);

	w->requests[w->newest % HELD]++;
}

/*
 * A process that was restarted doesn't know what its predecessor has spent.
 * One that is new has no share of what others, which did not know of it, have
 * spent.  After a change to a longer window, retries that the shorter one had
 * dropped count again.
 */
static bool
holds_slack(const struct mh_budget *b)
{
	return b->shared && mh_now(b->k) < b->known_us + b->args.window_us;
}

static double
slack_share(const struct mh_budget *b)
{
	if (b->entries == 0 || holds_slack(b))
		return 0;
	return b->args.slack * SLACK_USED / most_entries(b);
}

static double
allowance(const struct mh_budget *b, const struct window *w)
{
	double n = 0;

	for (int64_t i = 0; i < BUCKETS; i++)
		n += w->requests[(w->newest - i + HELD) % HELD];
	return b->args.ratio * n + slack_share(b);
}

static double
used(const struct window *w)
{
	double n = w->granted;

	for (int i = 0; i < HELD; i++)
		n += w->retries[i];
	return n;
}

void
mh_budget_refuse(struct mh_budget *b, const char *pool)
{
	struct window *w = window_of(b, pool);
	int64_t now = mh_now(b->k);

	mh_count(b->k, "repeats_over_budget", 1);
	w->refused++;
	if (w->logged_us != 0 && now - w->logged_us < b->args.window_us)
		return;
	mh_event(b->k, "retries-used-up",
	    "pool=%s used=%.0f allowed=%.1f slack=%.1f entries=%u refused=%u "
	    "up_s=%" PRId64 " granted=%.1f",
	    pool, used(w) - w->granted, allowance(b, w), slack_share(b),
	    most_entries(b), w->refused, mh_ms(now - b->start_us) / 1000,
	    w->granted);
	w->logged_us = now;
	w->refused = 0;
}

void
mh_budget_round(struct mh_budget *b)
{
	b->rounding = mh_random_unit(b->k);
}

bool
mh_budget_allows(struct mh_budget *b, const char *pool)
{
	const struct window *w = window_of(b, pool);

	return used(w) + 1 <= allowance(b, w) + b->rounding + ROUNDING;
}

int64_t
mh_budget_wait_us(struct mh_budget *b, const char *pool)
{
	const struct window *w = window_of(b, pool);
	double allowed = allowance(b, w) + b->rounding, spent = used(w);
	int64_t bucket = bucket_us(b), next = bucket - mh_now(b->k) % bucket;

	/* Buckets leave the window one after the other, the oldest first. */
	for (int64_t i = 0; i <= HELD; i++) {
		if (spent + 1 <= allowed + ROUNDING)
			return i == 0 ? 0 : next + (i - 1) * bucket;
		spent -= w->retries[(w->newest + 1 + i) % HELD];
		if (i + 1 < HELD)
			allowed -= b->args.ratio *
			    w->requests[(w->newest + 2 + i) % HELD];
	}
	return INT64_MAX;
}

bool
mh_budget_take(struct mh_budget *b, const char *pool)
{
	struct window *w = window_of(b, pool);

	if (!mh_budget_allows(b, pool)) {
		mh_budget_refuse(b, pool);
		return false;
	}
	w->retries[w->newest % HELD]++;
	return true;
}

double
mh_budget_grant(
    struct mh_budget *b, const char *pool, double share, double most)
{
	struct window *w = window_of(b, pool);
	double n = CLAMP(share * (allowance(b, w) - used(w)), 0, most);

	w->granted += n;
	return n;
}

void
mh_budget_settle(
    struct mh_budget *b, const char *pool, double granted, double left)
{
	struct window *w = window_of(b, pool);

	w->granted -= granted;
	w->retries[w->newest % HELD] += granted - CLAMP(left, 0, granted);
}

void
mh_budget_forfeit(
    struct mh_budget *b, const char *pool, double granted, int64_t until_us)
{
	struct forfeit f = { until_us, granted };

	if (granted > 0)
		g_array_append_val(window_of(b, pool)->forfeits, f);
}
