/**
 * DOC: The stage schedulers of a process.
 *
 * One entry can schedule the stage work of a few dozen endpoints of each pool.
 * With more, every pool is divided into equal slices by the names of its
 * endpoints, and each slice has its own scheduler and its own coordinator.
 * Entries that see the same endpoints compute the same slices; while their
 * views differ, two coordinators may call the same endpoint.
 */

#include "gate.h"

#include <string.h>

/*
 * Minimum number of endpoints of the smallest pool in a slice.  A coordinator
 * with more endpoints fills its calls better.  Mean value served, as a share,
 * in eight simulated runs at high load: 0.786 with one coordinator for 36
 * endpoints and 0.758 with two for 18 each.  At 390 requests per second, the
 * coordinator of 36 endpoints uses 0.09 of a core; a pool twice as large is
 * divided.
 */
#define SLICE_ENDPOINTS 20

struct mh_scheds {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_sched_ops ops;
	struct mh_gconf *conf;
	GHashTable *scheds; /* count and index -> struct mh_sched */
	uint64_t fleet_version; /* fleet version of @count and @share */
	uint32_t count;
	double share[MH_SLICES]; /* see mh_scheds_share() */
};

static void
free_sched(void *arg)
{
	mh_sched_destroy(arg);
}

struct mh_scheds *
mh_scheds_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_budget *budget, const struct mh_sched_ops *ops)
{
	struct mh_scheds *scs = g_new0(struct mh_scheds, 1);

	scs->k = k;
	scs->f = f;
	scs->budget = budget;
	scs->ops = *ops;
	scs->count = 1;
	scs->share[0] = 1;
	scs->fleet_version = UINT64_MAX;
	scs->scheds = g_hash_table_new_full(NULL, NULL, NULL, free_sched);
	return scs;
}

void
mh_scheds_destroy(struct mh_scheds *scs)
{
	if (scs == NULL)
		return;
	g_hash_table_destroy(scs->scheds);
	mh_gconf_unref(scs->conf);
	g_free(scs);
}

struct mh_sched *
mh_scheds_get(struct mh_scheds *scs, uint32_t index, uint32_t count)
{
	gpointer key = GUINT_TO_POINTER(count * MH_SLICES + index);
	struct mh_sched *sc = g_hash_table_lookup(scs->scheds, key);

	if (sc != NULL)
		return sc;
	sc = mh_sched_create(scs->k, scs->f, scs->budget, &scs->ops);
	mh_sched_set_slice(sc, index, count);
	if (scs->conf != NULL)
		mh_sched_set_conf(sc, scs->conf);
	g_hash_table_insert(scs->scheds, key, sc);
	return sc;
}

void
mh_scheds_set_conf(struct mh_scheds *scs, struct mh_gconf *conf)
{
	GHashTableIter it;
	gpointer key, value;

	mh_gconf_unref(scs->conf);
	scs->conf = mh_gconf_ref(conf);
	scs->fleet_version = UINT64_MAX;
	g_hash_table_iter_init(&it, scs->scheds);
	while (g_hash_table_iter_next(&it, &key, &value))
		mh_sched_set_conf(value, conf);
}

void
mh_scheds_foreach(struct mh_scheds *scs,
    void (*fn)(void *arg, struct mh_sched *sc, uint32_t index, uint32_t count),
    void *arg)
{
	GList *keys = g_hash_table_get_keys(scs->scheds);

	for (GList *l = keys; l != NULL; l = l->next) {
		uint32_t key = GPOINTER_TO_UINT(l->data);

		fn(arg, g_hash_table_lookup(scs->scheds, l->data),
		    key % MH_SLICES, key / MH_SLICES);
	}
	g_list_free(keys);
}

static void
drain_one(void *arg, struct mh_sched *sc, uint32_t index, uint32_t count)
{
	(void)arg;
	(void)index;
	(void)count;
	mh_sched_drain(sc);
}

void
mh_scheds_drain(struct mh_scheds *scs)
{
	mh_scheds_foreach(scs, drain_one, NULL);
}

void
mh_scheds_discard(struct mh_scheds *scs, const char *result)
{
	scs->ops.discard(scs->ops.arg, result);
}

void
mh_scheds_node_restarted(struct mh_scheds *scs, const char *node)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, scs->scheds);
	while (g_hash_table_iter_next(&it, &key, &value))
		mh_sched_node_restarted(value, node);
}

void
mh_scheds_quarantine(struct mh_scheds *scs, uint64_t fingerprint)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, scs->scheds);
	while (g_hash_table_iter_next(&it, &key, &value))
		mh_sched_quarantine(value, fingerprint);
}

static uint32_t
smallest_pool(const struct mh_scheds *scs)
{
	uint32_t least = UINT32_MAX;
	GHashTableIter it;
	gpointer key, value;

	if (scs->conf == NULL)
		return 0;
	g_hash_table_iter_init(&it, scs->conf->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct mh_gpool *p = value;
		GPtrArray *nodes = mh_fleet_pool(scs->f, p->name);

		if (p->is_work && nodes != NULL && nodes->len > 0)
			least = MIN(least, nodes->len);
	}
	return least == UINT32_MAX ? 0 : least;
}

/* Limits each share by the slice's part of one pool's endpoints. */
static void
limit_shares(struct mh_scheds *scs, const struct mh_gpool *p)
{
	GPtrArray *nodes = mh_fleet_pool(scs->f, p->name);
	uint32_t n[MH_SLICES] = { 0 };

	if (nodes == NULL || nodes->len == 0)
		return;
	for (guint i = 0; i < nodes->len; i++) {
		uint32_t slice = mh_fleet_slice(
		    scs->f, g_ptr_array_index(nodes, i), scs->count);

		if (slice < scs->count)
			n[slice]++;
	}
	for (uint32_t i = 0; i < scs->count; i++)
		scs->share[i] =
		    MIN(scs->share[i], (double)n[i] / (double)nodes->len);
}

/*
 * Recomputes the slices and their shares.  The number of slices is a power of
 * two, so that few changes of the fleet change it.
 */
static void
refresh(struct mh_scheds *scs)
{
	uint32_t least = smallest_pool(scs);
	GHashTableIter it;
	gpointer key, value;

	scs->fleet_version = mh_fleet_version(scs->f);
	scs->count = 1;
	while (scs->count * 2 * SLICE_ENDPOINTS <= least &&
	    scs->count * 2 <= MH_SLICES)
		scs->count *= 2;
	for (uint32_t i = 0; i < scs->count; i++)
		scs->share[i] = 1;
	if (scs->conf == NULL)
		return;
	g_hash_table_iter_init(&it, scs->conf->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct mh_gpool *p = value;

		if (p->is_work)
			limit_shares(scs, p);
	}
}

struct mh_budget *
mh_scheds_budget(struct mh_scheds *scs)
{
	return scs->budget;
}

uint32_t
mh_scheds_count(struct mh_scheds *scs)
{
	if (scs->fleet_version != mh_fleet_version(scs->f))
		refresh(scs);
	return scs->count;
}

double
mh_scheds_share(struct mh_scheds *scs, uint32_t index)
{
	return index < mh_scheds_count(scs) ? scs->share[index] : 0;
}

uint32_t
mh_scheds_pick(
    struct mh_scheds *scs, const uint32_t *some, uint32_t n, double unit)
{
	double all = 0, at;

	for (uint32_t i = 0; i < n; i++)
		all += mh_scheds_share(scs, some[i]);
	at = unit * all;
	for (uint32_t i = 0; i < n; i++) {
		at -= mh_scheds_share(scs, some[i]);
		if (at < 0)
			return some[i];
	}
	return some[0]; /* no slice has endpoints yet */
}
