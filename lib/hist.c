/**
 * DOC: Log-linear histogram: 32 buckets for each power of two, so a value
 * is known within 1/32.
 */

#include "marlhoist.h"

#define SUB_BITS 5
#define SUB (1 << SUB_BITS)
#define POWERS 40

struct mh_hist {
	uint64_t count;
	uint64_t bucket[POWERS * SUB];
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
bucket_of(uint64_t v)
{
	int shift;

	if (v < SUB)
		return (int)v;
	shift = 63 - __builtin_clzll(v) - SUB_BITS;
	if (shift >= POWERS - 1)
		return POWERS * SUB - 1;
	return (shift + 1) * SUB + (int)((v >> shift) - SUB);
}

static int64_t
value_of(int bucket)
{
	int shift = bucket / SUB - 1;

	if (shift < 0)
		return bucket;
	return (int64_t)((uint64_t)(bucket % SUB + SUB) << shift);
}

void
mh_hist_add(struct mh_hist *h, int64_t value_us)
{
	h->count++;
	h->bucket[bucket_of((uint64_t)MAX(value_us, 0))]++;
}

int64_t
mh_hist_at(const struct mh_hist *h, double q)
{
	uint64_t want = (uint64_t)(q * (double)h->count), seen = 0;

	if (h->count == 0)
		return 0;
	if (want >= h->count)
		want = h->count - 1;
	for (int i = 0; i < POWERS * SUB; i++) {
		seen += h->bucket[i];
		if (seen > want)
			return value_of(i);
	}
	return value_of(POWERS * SUB - 1);
}

uint64_t
mh_hist_count(const struct mh_hist *h)
{
	return h->count;
}
