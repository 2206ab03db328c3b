/**
 * DOC: Which of the listed entries have been dead for long.
 *
 * An entry stays listed until another one removes it. An entry that has been
 * dead for long counts as departed, unless this entry itself has lost contact
 * with most others.
 */

#include "mesh.h"

/* Longer than a restart, and than network outages that a VM recovers from. */
#define DEPARTED_US (60 * MH_US_PER_S)

struct seen {
	int64_t alive_us; /* last time alive, or first time listed */
	uint32_t round;
};

struct mh_liveness {
	GHashTable *seen; /* node -> struct seen */
	uint32_t round;
	uint32_t alive; /* in this round */
};

struct mh_liveness *
mh_liveness_create(void)
{
	struct mh_liveness *l = g_new0(struct mh_liveness, 1);

	l->seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

void
mh_liveness_destroy(struct mh_liveness *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->seen);
	g_free(l);
}

void
mh_liveness_begin(struct mh_liveness *l)
{
	l->round++;
	l->alive = 0;
}

void
mh_liveness_note(
    struct mh_liveness *l, const char *node, bool alive, int64_t now_us)
{
	struct seen *s = g_hash_table_lookup(l->seen, node);

	if (s == NULL) {
		s = g_new0(struct seen, 1);
		s->alive_us = now_us;
		g_hash_table_insert(l->seen, g_strdup(node), s);
	}
	if (alive)
		s->alive_us = now_us;
	s->round = l->round;
	l->alive += alive;
}

GPtrArray *
mh_liveness_departed(struct mh_liveness *l, int64_t now_us)
{
	GPtrArray *departed = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer node, value;

	g_hash_table_iter_init(&it, l->seen);
	while (g_hash_table_iter_next(&it, &node, &value)) {
		const struct seen *s = value;

		if (s->round != l->round)
			g_hash_table_iter_remove(&it);
		else if (now_us - s->alive_us > DEPARTED_US)
			g_ptr_array_add(departed, g_strdup(node));
	}
	if (l->alive * 2 < g_hash_table_size(l->seen))
		g_ptr_array_set_size(departed, 0);
	return departed;
}
