/**
 * DOC: The subset of a pool's endpoints that an entry links to.
 *
 * Endpoints are ranked by rendezvous hashing of names, so that a VM that joins
 * or leaves changes few links other than its own.
 */

#include "marlhoist.h"

#include <string.h>

#define MIN_LINKS 20 /* of an entry to one pool */
#define LINKS_PER_ENDPOINT 6 /* from all entries, on average */
#define LOCAL_SHARE 0.7 /* of the links, in the entry's failure domain */

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
 * With few entries and a large pool MIN_LINKS each would leave endpoints
 * without any link, so the subset grows until every endpoint can expect
 * several.
 */
static uint32_t
subset_size(uint32_t entries, uint32_t pool)
{
	return MAX(
	    MIN_LINKS, (pool * LINKS_PER_ENDPOINT + entries - 1) / entries);
}

void
mh_subset_choose(
    const struct mh_subset_args *a, GPtrArray *pool, mh_subset_fn fn, void *arg)
{
	GPtrArray *sorted = g_ptr_array_new();
	uint32_t size = subset_size(MAX(a->entries, 1), pool->len);
	uint32_t local_size = (uint32_t)(LOCAL_SHARE * size);
	uint32_t n_local = 0, n_chosen = 0;

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
		bool local = strcmp(p->domain, a->domain) == 0;
		bool has_room = local ? n_local < local_size
				      : n_chosen - n_local < size - local_size;
		bool choose = sorted->len <= size || has_room;

		n_chosen += choose;
		n_local += choose && local;
		fn(arg, p, choose);
	}
	g_ptr_array_free(sorted, TRUE);
}
