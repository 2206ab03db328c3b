/**
 * DOC: How long a pool's calls take: smoothed mean and mean deviation, and
 * for generation the time of the first chunk and of each token.
 */

#include "marlhoist.h"

#include <math.h>

#define GAIN 0.05
#define DEV_GAIN 0.1
#define START_US 20000.0 /* before anything was measured */
#define START_FIRST_US 200000.0
#define START_TOKEN_US 15000.0

struct est {
	double mean;
	double dev;
	double first;
	double token;
	bool generates;
	uint64_t n;
};

struct predict {
	GHashTable *pools;
};

static struct est *
est_of(struct mh_kern *k, const char *pool)
{
	struct predict *p = mh_kern_get(k, "predict");
	struct est *e = g_hash_table_lookup(p->pools, pool);

	if (e == NULL) {
		e = g_new0(struct est, 1);
		e->mean = START_US;
		e->first = START_FIRST_US;
		e->token = START_TOKEN_US;
		g_hash_table_insert(p->pools, g_strdup(pool), e);
	}
	return e;
}

/* The first few samples count more, so that a cold start is short. */
static double
gain(const struct est *e)
{
	return MAX(GAIN, 1.0 / (double)(e->n + 1));
}

void
mh_predict_first(struct mh_kern *k, const char *pool, int64_t us)
{
	struct est *e = est_of(k, pool);

	e->generates = true;
	e->first += gain(e) * ((double)us - e->first);
}

void
mh_predict_add(struct mh_kern *k, const char *pool, int64_t us, uint32_t tokens)
{
	struct est *e = est_of(k, pool);
	double err, g = gain(e);

	if (tokens > 0) {
		double per = ((double)us - e->first) / (double)tokens;

		e->generates = true;
		e->token += g * (MAX(per, 0.0) - e->token);
	}
	err = (double)us - e->mean;
	e->mean += g * err;
	e->dev += DEV_GAIN * (fabs(err) - e->dev);
	e->n++;
}

int64_t
mh_predict_us(
    struct mh_kern *k, const char *pool, uint32_t tokens, int64_t *dev)
{
	struct est *e = est_of(k, pool);

	if (dev != NULL)
		*dev = (int64_t)e->dev;
	if (tokens > 0)
		return (int64_t)(e->first + e->token * (double)tokens);
	return (int64_t)e->mean;
}

static void
destroy(void *self)
{
	struct predict *p = self;

	g_hash_table_destroy(p->pools);
	g_free(p);
}

void
mh_predict_create(struct mh_kern *k)
{
	struct predict *p = g_new0(struct predict, 1);

	p->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mh_kern_add(k, "predict", p, NULL, destroy);
}
