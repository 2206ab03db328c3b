/**
 * DOC: The cells of a process.
 *
 * One entry can do the stage work of some dozen endpoints of each pool.  With
 * more, every pool is divided into equal slices by its endpoints' names, and
 * each slice has a cell and a home of its own.  All entries see the same
 * endpoints and so the same slices; while they don't, an endpoint is called by
 * two homes for a moment.
 */

#include "gate.h"

#include <string.h>

/*
 * Endpoints of the smallest pool in a slice at least.  The more meet at one
 * home, the fuller its calls: with 36, one home against two of 18 raised the
 * mean worth of eight loaded days from 0.758 to 0.786.  At 390 requests a
 * second the home of 36 takes 0.09 of a core; twice that number is parted.
 */
#define SLICE_ENDPOINTS 20

struct mh_cells {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_cell_ops ops;
	struct mh_gconf *conf;
	GHashTable *cells; /* count and index -> struct mh_cell */
	uint64_t version; /* of the fleet, for what follows */
	uint32_t count;
	double share[MH_SLICES];
};

static void
free_cell(void *arg)
{
	mh_cell_destroy(arg);
}

struct mh_cells *
mh_cells_create(struct mh_kern *k, struct mh_fleet *f, struct mh_budget *budget,
    const struct mh_cell_ops *ops)
{
	struct mh_cells *cs = g_new0(struct mh_cells, 1);

	cs->k = k;
	cs->f = f;
	cs->budget = budget;
	cs->ops = *ops;
	cs->count = 1;
	cs->share[0] = 1;
	cs->version = UINT64_MAX;
	cs->cells = g_hash_table_new_full(NULL, NULL, NULL, free_cell);
	return cs;
}

void
mh_cells_destroy(struct mh_cells *cs)
{
	if (cs == NULL)
		return;
	g_hash_table_destroy(cs->cells);
	mh_gconf_unref(cs->conf);
	g_free(cs);
}

struct mh_cell *
mh_cells_get(struct mh_cells *cs, uint32_t index, uint32_t count)
{
	gpointer key = GUINT_TO_POINTER(count * MH_SLICES + index);
	struct mh_cell *c = g_hash_table_lookup(cs->cells, key);

	if (c != NULL)
		return c;
	c = mh_cell_create(cs->k, cs->f, cs->budget, &cs->ops);
	mh_cell_slice(c, index, count);
	if (cs->conf != NULL)
		mh_cell_conf(c, cs->conf);
	g_hash_table_insert(cs->cells, key, c);
	return c;
}

void
mh_cells_conf(struct mh_cells *cs, struct mh_gconf *conf)
{
	GHashTableIter it;
	gpointer key, value;

	mh_gconf_unref(cs->conf);
	cs->conf = mh_gconf_ref(conf);
	cs->version = UINT64_MAX;
	g_hash_table_iter_init(&it, cs->cells);
	while (g_hash_table_iter_next(&it, &key, &value))
		mh_cell_conf(value, conf);
}

void
mh_cells_each(struct mh_cells *cs,
    void (*fn)(void *arg, struct mh_cell *c, uint32_t index, uint32_t count),
    void *arg)
{
	GList *keys = g_hash_table_get_keys(cs->cells);

	for (GList *l = keys; l != NULL; l = l->next) {
		uint32_t key = GPOINTER_TO_UINT(l->data);

		fn(arg, g_hash_table_lookup(cs->cells, l->data),
		    key % MH_SLICES, key / MH_SLICES);
	}
	g_list_free(keys);
}

static void
leave_one(void *arg, struct mh_cell *c, uint32_t index, uint32_t count)
{
	(void)arg;
	(void)index;
	(void)count;
	mh_cell_leave(c);
}

void
mh_cells_leave(struct mh_cells *cs)
{
	mh_cells_each(cs, leave_one, NULL);
}

void
mh_cells_discard(struct mh_cells *cs, const char *result)
{
	cs->ops.discard(cs->ops.arg, result);
}

void
mh_cells_restarted(struct mh_cells *cs, const char *node)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, cs->cells);
	while (g_hash_table_iter_next(&it, &key, &value))
		mh_cell_restarted(value, node);
}

void
mh_cells_held(struct mh_cells *cs, uint64_t print)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, cs->cells);
	while (g_hash_table_iter_next(&it, &key, &value))
		mh_cell_held(value, print);
}

static uint32_t
smallest_pool(const struct mh_cells *cs)
{
	uint32_t least = UINT32_MAX;
	GHashTableIter it;
	gpointer key, value;

	if (cs->conf == NULL)
		return 0;
	g_hash_table_iter_init(&it, cs->conf->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct mh_gpool *p = value;
		GPtrArray *nodes = mh_fleet_pool(cs->f, p->name);

		if (p->is_work && nodes != NULL && nodes->len > 0)
			least = MIN(least, nodes->len);
	}
	return least == UINT32_MAX ? 0 : least;
}

/* A slice's part of one pool limits what it can do. */
static void
lessen_shares(struct mh_cells *cs, const struct mh_gpool *p)
{
	GPtrArray *nodes = mh_fleet_pool(cs->f, p->name);
	uint32_t n[MH_SLICES] = { 0 };

	if (nodes == NULL || nodes->len == 0)
		return;
	for (guint i = 0; i < nodes->len; i++) {
		uint32_t slice = mh_fleet_slice(
		    cs->f, g_ptr_array_index(nodes, i), cs->count);

		if (slice < cs->count)
			n[slice]++;
	}
	for (uint32_t i = 0; i < cs->count; i++)
		cs->share[i] =
		    MIN(cs->share[i], (double)n[i] / (double)nodes->len);
}

/* Powers of two, so that few changes of the fleet change the slices. */
static void
refresh(struct mh_cells *cs)
{
	uint32_t least = smallest_pool(cs);
	GHashTableIter it;
	gpointer key, value;

	cs->version = mh_fleet_version(cs->f);
	cs->count = 1;
	while (cs->count * 2 * SLICE_ENDPOINTS <= least &&
	    cs->count * 2 <= MH_SLICES)
		cs->count *= 2;
	for (uint32_t i = 0; i < cs->count; i++)
		cs->share[i] = 1;
	if (cs->conf == NULL)
		return;
	g_hash_table_iter_init(&it, cs->conf->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct mh_gpool *p = value;

		if (p->is_work)
			lessen_shares(cs, p);
	}
}

uint32_t
mh_cells_count(struct mh_cells *cs)
{
	if (cs->version != mh_fleet_version(cs->f))
		refresh(cs);
	return cs->count;
}

double
mh_cells_share(struct mh_cells *cs, uint32_t index)
{
	return index < mh_cells_count(cs) ? cs->share[index] : 0;
}

uint32_t
mh_cells_pick(
    struct mh_cells *cs, const uint32_t *some, uint32_t n, double unit)
{
	double all = 0, at;

	for (uint32_t i = 0; i < n; i++)
		all += mh_cells_share(cs, some[i]);
	at = unit * all;
	for (uint32_t i = 0; i < n; i++) {
		at -= mh_cells_share(cs, some[i]);
		if (at < 0)
			return some[i];
	}
	return some[0]; /* no slice has a share: no endpoints yet */
}
