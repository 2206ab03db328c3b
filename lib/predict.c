/**
 * DOC: Predicts how long the calls of a pool take: moving averages of the time
 * and its deviation, and for generation of the time to the first chunk and of
 * the time per token.
 */

#include "marlhoist.h"

#include <math.h>

#define GAIN 0.05
#define DEV_GAIN 0.1
/* estimates before the first sample */
#define START_US 20000.0
#define START_FIRST_US 200000.0
#define START_TOKEN_US 15000.0

struct estimate {
	double mean_us;
	double dev_us;
	double first_us;
	double token_us;
	bool generates;
	uint64_t n_samples;
};

struct predict {
	GHashTable *pools;
};

static struct estimate *
get_estimate(struct mh_kern *k, const char *pool)
{
	struct predict *p = mh_kern_get(k, "predict");
	struct estimate *e = g_hash_table_lookup(p->pools, pool);

	if (e == NULL) {
		e = g_new0(struct estimate, 1);
		e->mean_us = START_US;
		e->first_us = START_FIRST_US;
		e->token_us = START_TOKEN_US;
		g_hash_table_insert(p->pools, g_strdup(pool), e);
	}
	return e;
}

/* The first samples have more weight: the start values are soon replaced. */
static double
gain(const struct estimate *e)
{
	return MAX(GAIN, 1.0 / (double)(e->n_samples + 1));
}

void
mh_predict_first(struct mh_kern *k, const char *pool, int64_t us)
{
	struct estimate *e = get_estimate(k, pool);

	e->generates = true;
	e->first_us += gain(e) * ((double)us - e->first_us);
}

void
mh_predict_add(struct mh_kern *k, const char *pool, int64_t us, uint32_t tokens)
{
	struct estimate *e = get_estimate(k, pool);
	double err, g = gain(e);

	if (tokens > 0) {
		double token_us = ((double)us - e->first_us) / (double)tokens;

		e->generates = true;
		e->token_us += g * (MAX(token_us, 0.0) - e->token_us);
	}
	err = (double)us - e->mean_us;
	e->mean_us += g * err;
	e->dev_us += DEV_GAIN * (fabs(err) - e->dev_us);
	e->n_samples++;
}

int64_t
mh_predict_us(
    struct mh_kern *k, const char *pool, uint32_t tokens, int64_t *dev_us)
{
	struct estimate *e = get_estimate(k, pool);

	if (dev_us != NULL)
		*dev_us = (int64_t)e->dev_us;
	if (tokens > 0)
		return (int64_t)(e->first_us + e->token_us * (double)tokens);
	return (int64_t)e->mean_us;
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
