/**
 * DOC: What a cell believes of its pools, and what a job still needs.
 */

#include "cell.h"

#include <math.h>
#include <string.h>

/* What a more urgent class may go ahead of the next one. */
#define CLASS_LEAD_US (100 * MH_US_PER_MS)
/* How long work that came on time counts as recent. */
#define FRESH_US (2 * MH_US_PER_S)
/* Estimates err; a job that seems to miss its aim by less may still meet it. */
#define AIM_SLACK_US (100 * MH_US_PER_MS)

uint32_t
mh_cell_followers(const struct mh_job *j, uint32_t stage)
{
	uint32_t n = 0;

	for (uint32_t s = 0; s < j->n_stages; s++)
		n += (j->stages[s].after >> stage & 1) != 0 &&
		    j->stages[s].pieces > 0;
	return n;
}

/* what a pool can do */

const struct mh_gwork *
mh_cell_work_of(const struct mh_cell *c, const char *pool)
{
	static const struct mh_gwork none = { .batch = 1, .running = 1 };
	const struct mh_gpool *p =
	    c->conf == NULL ? NULL : mh_gconf_pool(c->conf, pool);

	return p == NULL || !p->is_work ? &none : &p->work;
}

struct cpool *
mh_cell_pool_of(struct mh_cell *c, const char *name)
{
	struct cpool *p = g_hash_table_lookup(c->pools, name);

	if (p == NULL) {
		p = g_new0(struct cpool, 1);
		p->name = g_strdup(name);
		p->work = mh_cell_work_of(c, name);
		p->workers = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(c->pools, p->name, p);
	}
	return p;
}

struct worker *
mh_cell_worker_of(struct cpool *p, const char *node)
{
	struct worker *w = g_hash_table_lookup(p->workers, node);

	if (w == NULL) {
		w = g_new0(struct worker, 1);
		w->slow = 1;
		g_hash_table_insert(p->workers, g_strdup(node), w);
	}
	return w;
}

/* Pieces of a stage cost more or less than the pool's mean: learnt. */
double *
mh_cell_item_factor(struct mh_cell *c, const char *route, uint32_t stage)
{
	char *key = g_strdup_printf("%s/%u", route, stage);
	double *f = g_hash_table_lookup(c->factors, key);

	if (f != NULL) {
		g_free(key);
		return f;
	}
	f = g_new(double, 1);
	*f = 1;
	g_hash_table_insert(c->factors, key, f);
	return f;
}

double *
mh_cell_mean_work(struct mh_cell *c, const char *route, double first)
{
	double *mean = g_hash_table_lookup(c->mean_work, route);

	if (mean == NULL) {
		mean = g_new(double, 1);
		*mean = first;
		g_hash_table_insert(c->mean_work, g_strdup(route), mean);
	}
	return mean;
}

int64_t
mh_cell_item_us(const struct mh_job *j, uint32_t stage)
{
	const struct sstate *ss = &j->state->stages[stage];

	return (int64_t)((double)ss->pool->work->item_us * *ss->factor);
}

GPtrArray *
mh_cell_nodes(struct mh_cell *c, struct cpool *p)
{
	uint64_t version = mh_fleet_version(c->f);
	GPtrArray *all;

	if (p->nodes != NULL && p->nodes_version == version)
		return p->nodes;
	if (p->nodes == NULL)
		p->nodes = g_ptr_array_new();
	g_ptr_array_set_size(p->nodes, 0);
	all = mh_fleet_pool(c->f, p->name);
	for (guint i = 0; all != NULL && i < all->len; i++) {
		struct mh_node *n = g_ptr_array_index(all, i);

		if (mh_fleet_slice(c->f, n, c->slices) == c->slice)
			g_ptr_array_add(p->nodes, n);
	}
	p->nodes_version = version;
	return p->nodes;
}

/* Pieces a second with full calls, over the endpoints in use. */
double
mh_cell_pool_rate(struct mh_cell *c, struct cpool *p)
{
	GPtrArray *nodes = mh_cell_nodes(c, p);
	const struct mh_gwork *w = p->work;
	double full_us = (double)w->call_us + (double)w->item_us * w->batch;
	double rate = 0;

	for (guint i = 0; i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(c->f, n))
			rate += w->batch * w->running /
			    (full_us * mh_cell_worker_of(p, n->id)->slow);
	}
	return rate * (double)MH_US_PER_S;
}

uint32_t
mh_cell_todo(const struct mh_job *j, uint32_t stage)
{
	return j->state->stages[stage].left;
}

/* Pieces a second of work on time that came lately. */
double
mh_cell_fresh_rate(struct mh_cell *c, struct cpool *p)
{
	double age = (double)(mh_now(c->k) - p->fresh_us) / (double)FRESH_US;

	p->fresh *= exp(-age);
	p->fresh_us = mh_now(c->k);
	return p->fresh * (double)MH_US_PER_S / (double)FRESH_US;
}

void
mh_cell_note_fresh(struct mh_cell *c, const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct cpool *p = j->state->stages[s].pool;

		(void)mh_cell_fresh_rate(c, p);
		p->fresh += mh_cell_todo(j, s);
	}
}

bool
mh_cell_is_ready(const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((j->stages[stage].after >> s & 1) != 0 &&
		    mh_cell_todo(j, s) > 0)
			return false;
	}
	return true;
}

/* A call with half of its places taken: what a stage takes when not rushed. */
int64_t
mh_cell_stage_us(const struct mh_job *j, uint32_t stage)
{
	const struct mh_gwork *w = j->state->stages[stage].pool->work;
	uint32_t n = MAX(mh_cell_todo(j, stage), w->batch / 2);

	return w->call_us +
	    (int64_t)MIN(n, w->batch) * mh_cell_item_us(j, stage);
}

/*
 * Works out, for each stage, the longest chain of work from it to the end,
 * itself included.  Every choice asks for these, so they are kept until the
 * work that is left changes.
 */
static void
refresh(struct mh_job *j)
{
	j->state->stale = false;
	j->state->left_us = 0;
	for (uint32_t s = j->n_stages; s-- > 0;) {
		struct sstate *ss = &j->state->stages[s];
		int64_t longest = 0;

		for (uint32_t t = s + 1; t < j->n_stages; t++) {
			if ((j->stages[t].after >> s & 1) != 0)
				longest =
				    MAX(longest, j->state->stages[t].path_us);
		}
		ss->path_us = longest;
		if (ss->left == 0)
			continue;
		ss->path_us += mh_cell_stage_us(j, s);
		j->state->left_us = MAX(j->state->left_us, ss->path_us);
	}
}

int64_t
mh_cell_path_us(struct mh_job *j, uint32_t stage)
{
	if (j->state->stale)
		refresh(j);
	return j->state->stages[stage].path_us;
}

int64_t
mh_cell_left_us(struct mh_job *j)
{
	if (j->state->stale)
		refresh(j);
	return j->state->left_us;
}

bool
mh_cell_is_late(struct mh_cell *c, struct mh_job *j)
{
	return mh_now(c->k) + mh_cell_left_us(j) > j->aim_us + AIM_SLACK_US;
}

/* Lower goes first. */
int64_t
mh_cell_slack_key(struct mh_job *j, uint32_t stage)
{
	int64_t key = j->aim_us - mh_cell_path_us(j, stage) +
	    (int64_t)j->priority * CLASS_LEAD_US;

	/* Once begun it goes before others that are late. */
	if (j->state->late)
		key += j->state->started ? LATE_BEHIND_US / 2 : LATE_BEHIND_US;
	return key;
}
