/**
 * DOC: Log-linear histogram: 32 buckets for each power of two, so that values
 * are accurate to 1/32.
 */

#include "marlhoist.h"

#define SUB_BITS 5
#define SUB_BUCKETS (1 << SUB_BITS)
#define POWERS 40

struct mh_hist {
	uint64_t count;
	uint64_t bucket[POWERS * SUB_BUCKETS];
};

struct mh_hist *
mh_hist_create(void)
{
	return g_new0(struct mh_hist, 1);
}

void
mh_hist_destroy(struct mh_hist *h)
{
	g_free(h);
}

static int
bucket_index(uint64_t v)
{
	int shift;

	if (v < SUB_BUCKETS)
		return (int)v;
	shift = 63 - __builtin_clzll(v) - SUB_BITS;
	if (shift >= POWERS - 1)
		return POWERS * SUB_BUCKETS - 1;
	return (shift + 1) * SUB_BUCKETS + (int)((v >> shift) - SUB_BUCKETS);
}

static int64_t
bucket_value(int bucket)
{
	int shift = bucket / SUB_BUCKETS - 1;

	if (shift < 0)
		return bucket;
	return (
	    int64_t)((uint64_t)(bucket % SUB_BUCKETS + SUB_BUCKETS) << shift);
}

void
mh_hist_add(struct mh_hist *h, int64_t value_us)
{
	h->count++;
	h->bucket[bucket_index((uint64_t)MAX(value_us, 0))]++;
}

int64_t
mh_hist_quantile(const struct mh_hist *h, double q)
{
	uint64_t rank = (uint64_t)(q * (double)h->count), cumulative = 0;

	if (h->count == 0)
		return 0;
	if (rank >= h->count)
		rank = h->count - 1;
	for (int i = 0; i < POWERS * SUB_BUCKETS; i++) {
		cumulative += h->bucket[i];
		if (cumulative > rank)
			return bucket_value(i);
	}
	return bucket_value(POWERS * SUB_BUCKETS - 1);
}

uint64_t
mh_hist_count(const struct mh_hist *h)
{
	return h->count;
}
