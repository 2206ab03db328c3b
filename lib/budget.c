/**
 * DOC: Repeats as a share of recent requests.
 *
 * When endpoints fail, repeats multiply the load on those that are left.
 * Each process keeps to its part of one allowance: a ratio of the requests
 * that it saw and its share of a fixed slack, over a sliding window.
 */

#include "gate.h"

#include <string.h>

#define BUCKETS 10
/* The rest covers processes that count at another moment than we do. */
#define SLACK_USED 0.8

struct window {
	uint32_t first[BUCKETS];
	uint32_t again[BUCKETS];
	int64_t at; /* number of the newest bucket */
};

struct mh_budget {
	struct mh_kern *k;
	struct mh_budget_args args;
	uint32_t entries;
	GHashTable *pools; /* name -> struct window */
};

struct mh_budget *
mh_budget_create(struct mh_kern *k, const struct mh_budget_args *a)
{
	struct mh_budget *b = g_new0(struct mh_budget, 1);

	b->k = k;
	b->args = *a;
	b->entries = 1;
	b->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void
mh_budget_destroy(struct mh_budget *b)
{
	if (b == NULL)
		return;
	g_hash_table_destroy(b->pools);
	g_free(b);
}

static int64_t
bucket_now(const struct mh_budget *b)
{
	return mh_now(b->k) / MAX(b->args.window_us / BUCKETS, 1);
}

/* All that it holds counts as of now. */
static void
gather(struct window *w, int64_t at)
{
	uint32_t first = 0, again = 0;

	for (int i = 0; i < BUCKETS; i++) {
		first += w->first[i];
		again += w->again[i];
	}
	memset(w, 0, sizeof(*w));
	w->at = at;
	w->first[at % BUCKETS] = first;
	w->again[at % BUCKETS] = again;
}

/*
 * Buckets are numbered by their length: with another length all would look old,
 * and endpoints would get a whole allowance more than they were promised.
 */
void
mh_budget_set(struct mh_budget *b, const struct mh_budget_args *a)
{
	bool other = b->args.window_us != a->window_us;
	GHashTableIter it;
	gpointer w;

	b->args = *a;
	if (!other)
		return;
	g_hash_table_iter_init(&it, b->pools);
	while (g_hash_table_iter_next(&it, NULL, &w))
		gather(w, bucket_now(b));
}

void
mh_budget_entries(struct mh_budget *b, uint32_t n)
{
	b->entries = MAX(n, 1);
}

static struct window *
window_of(struct mh_budget *b, const char *pool)
{
	struct window *w = g_hash_table_lookup(b->pools, pool);
	int64_t at = bucket_now(b);

	if (w == NULL) {
		w = g_new0(struct window, 1);
		w->at = at;
		g_hash_table_insert(b->pools, g_strdup(pool), w);
	}
	for (int n = 0; w->at < at && n < BUCKETS; n++) {
		w->at++;
		w->first[w->at % BUCKETS] = 0;
		w->again[w->at % BUCKETS] = 0;
	}
	w->at = at;
	return w;
}

void
mh_budget_first(struct mh_budget *b, const char *pool)
{
	struct window *w = window_of(b, pool);

	w->first[w->at % BUCKETS]++;
}

static double
allowance(struct mh_budget *b, const struct window *w)
{
	double n = 0;

	for (int i = 0; i < BUCKETS; i++)
		n += w->first[i];
	return b->args.ratio * n + b->args.slack * SLACK_USED / b->entries;
}

static double
used(const struct window *w)
{
	double n = 0;

	for (int i = 0; i < BUCKETS; i++)
		n += w->again[i];
	return n;
}

bool
mh_budget_take(struct mh_budget *b, const char *pool)
{
	struct window *w = window_of(b, pool);

	if (used(w) + 1 > allowance(b, w)) {
		mh_count(b->k, "repeats_over_budget", 1);
		return false;
	}
	w->again[w->at % BUCKETS]++;
	return true;
}
