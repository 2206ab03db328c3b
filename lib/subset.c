/**
 * DOC: Which endpoints of a pool an entry links to.
 *
 * The subset follows from names alone, so a change of one VM moves only
 * that VM's links.
 */

#include "marlhoist.h"

#include <string.h>

#define SUBSET 20 /* an entry's links to one pool, at least */
#define LINKED 6 /* links from entries that each endpoint has on average */
#define NEAR_PART 0.7 /* of the links stay in the own failure domain */

static int
by_weight(gconstpointer a, gconstpointer b, gpointer self)
{
	const struct mh_peer *x = *(struct mh_peer *const *)a;
	const struct mh_peer *y = *(struct mh_peer *const *)b;
	uint64_t wx = mh_rendezvous(self, x->vm);
	uint64_t wy = mh_rendezvous(self, y->vm);

	return wx > wy ? -1 : wx < wy;
}

/*
 * With few entries before a large pool twenty links each would leave
 * endpoints that nobody asks, so the subset grows until every endpoint can
 * expect several.
 */
static uint32_t
subset_size(uint32_t entries, uint32_t pool)
{
	return MAX(SUBSET, (pool * LINKED + entries - 1) / entries);
}

void
mh_subset_choose(
    const struct mh_subset_args *a, GPtrArray *pool, mh_subset_fn fn, void *arg)
{
	GPtrArray *sorted = g_ptr_array_new();
	uint32_t size = subset_size(MAX(a->entries, 1), pool->len);
	uint32_t near_size = (uint32_t)(NEAR_PART * size);
	uint32_t near = 0, taken = 0;

	for (guint i = 0; i < pool->len; i++) {
		struct mh_peer *p = pool->pdata[i];

		if (p->listed)
			g_ptr_array_add(sorted, p);
		else if (p->absent_since_us == 0)
			fn(arg, p, false);
	}
	g_ptr_array_sort_with_data(
	    sorted, by_weight, (gpointer)(uintptr_t)a->vm);
	for (guint i = 0; i < sorted->len; i++) {
		struct mh_peer *p = sorted->pdata[i];
		bool mine = strcmp(p->domain, a->domain) == 0;
		bool room =
		    mine ? near < near_size : taken - near < size - near_size;
		bool take = sorted->len <= size || room;

		taken += take;
		near += take && mine;
		fn(arg, p, take);
	}
	g_ptr_array_free(sorted, TRUE);
}
