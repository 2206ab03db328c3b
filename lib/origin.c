/**
 * DOC: The software version at which each stream began.
 *
 * A stream goes on only at the version that began it, at whichever entry its
 * caller takes it up.  An entry keeps the version of the streams that it began
 * or carried on, and of those that other entries tell it of, each for as long
 * as their callers may come.  While one version alone has served a pool for
 * that long, nothing needs to be told: originmesh.c does the rest.
 */

#include "gate.h"

#include <string.h>

/* Rows older than this may lack a version that other entries know. */
#define ROWS_OLD_US (1500 * MH_US_PER_MS)
/* Streams of this entry that are kept. */
#define OWN_MAX 8192
/* Streams of other entries: a generation's size and how long it is filled. */
#define TOLD_MAX 32768
#define TOLD_US (45 * MH_US_PER_S)

/** struct told - a stream that another entry began. */
struct told {
	uint64_t stream;
	uint64_t version;
};

/** struct own - a stream that this entry began or carried on. */
struct own {
	struct mh_begun b;
	int64_t at_us;
	uint64_t told_version; /* to other entries; 0: none */
};

struct mh_origins {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_origin_ops ops;
	GHashTable *own; /* stream -> struct own */
	GHashTable *told[2]; /* stream -> struct told; the newer one first */
	int64_t told_from_us; /* when the newer one was begun */
	int64_t routes_us; /* since when streams lead to the same pools */
};

static GHashTable *
new_table(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

struct mh_origins *
mh_origins_create(struct mh_kern *k, struct mh_fleet *f)
{
	struct mh_origins *o = g_new0(struct mh_origins, 1);

	o->k = k;
	o->f = f;
	o->own = new_table();
	o->told[0] = new_table();
	o->told[1] = new_table();
	o->routes_us = mh_now(k);
	return o;
}

void
mh_origins_destroy(struct mh_origins *o)
{
	if (o == NULL)
		return;
	g_hash_table_destroy(o->own);
	g_hash_table_destroy(o->told[0]);
	g_hash_table_destroy(o->told[1]);
	g_free(o);
}

void
mh_origins_set_ops(struct mh_origins *o, const struct mh_origin_ops *ops)
{
	o->ops = *ops;
}

uint64_t
mh_origin_stream(const char *id)
{
	return mh_hash(id, strlen(id));
}

static bool
rows_are_old(const struct mh_origins *o)
{
	return mh_fleet_rows_age_us(o->f) > ROWS_OLD_US;
}

/* Whether another entry can't conclude the version from its rows. */
static bool
must_tell(const struct mh_origins *o, const struct own *w)
{
	struct mh_sole s = mh_fleet_sole(o->f, w->b.pool);

	return !s.is_sole || w->b.is_split ||
	    w->b.version == MH_VERSION_UNSURE || rows_are_old(o) ||
	    mh_now(o->k) - MAX(s.since_us, o->routes_us) < w->b.last_us;
}

static void
tell_if_needed(struct mh_origins *o, struct own *w)
{
	if (w->told_version == w->b.version || o->ops.tell == NULL ||
	    (w->told_version == 0 && !must_tell(o, w)))
		return;
	w->told_version = w->b.version;
	mh_count(o->k, "streams_told", 1);
	o->ops.tell(o->ops.arg, w->b.stream, w->b.version);
}

void
mh_origins_began(struct mh_origins *o, const struct mh_begun *b)
{
	struct own *w = g_hash_table_lookup(o->own, &b->stream);

	if (w == NULL && g_hash_table_size(o->own) >= OWN_MAX) {
		mh_count(o->k, "streams_left_out", 1);
		return;
	}
	if (w == NULL) {
		w = g_new0(struct own, 1);
		w->b.stream = b->stream;
		g_hash_table_insert(o->own, &w->b.stream, w);
	}
	w->b = *b;
	w->b.pool = g_intern_string(b->pool);
	w->b.node = g_intern_string(b->node);
	w->at_us = mh_now(o->k);
	tell_if_needed(o, w);
}

void
mh_origins_restarted(struct mh_origins *o, const char *node)
{
	int64_t from_us = mh_fleet_restart_from_us(o->f);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, o->own);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct own *w = value;

		if (w->at_us < from_us || strcmp(w->b.node, node) != 0)
			continue;
		w->b.version = MH_VERSION_UNSURE;
		mh_count(o->k, "streams_version_withdrawn", 1);
		tell_if_needed(o, w);
	}
}

void
mh_origins_complete(struct mh_origins *o, uint64_t stream)
{
	g_hash_table_remove(o->own, &stream);
}

void
mh_origins_tick(struct mh_origins *o)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, o->own);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct own *w = value;

		if (mh_now(o->k) - w->at_us > w->b.last_us)
			g_hash_table_iter_remove(&it);
		else
			tell_if_needed(o, w);
	}
}

void
mh_origins_tell_again(struct mh_origins *o)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, o->own);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct own *)value)->told_version = 0;
}

void
mh_origins_routes_changed(struct mh_origins *o)
{
	o->routes_us = mh_now(o->k);
}

void
mh_origins_learn(struct mh_origins *o, uint64_t stream, uint64_t version)
{
	struct told *t;

	if (g_hash_table_size(o->told[0]) >= TOLD_MAX ||
	    mh_now(o->k) - o->told_from_us > TOLD_US) {
		g_hash_table_destroy(o->told[1]);
		o->told[1] = o->told[0];
		o->told[0] = new_table();
		o->told_from_us = mh_now(o->k);
	}
	t = g_new(struct told, 1);
	t->stream = stream;
	t->version = version;
	g_hash_table_replace(o->told[0], &t->stream, t);
}

enum mh_origin_how
mh_origins_find(const struct mh_origins *o, uint64_t stream, uint64_t *version)
{
	const struct own *w = g_hash_table_lookup(o->own, &stream);
	const struct told *t = NULL;

	for (int i = 0; i < 2 && t == NULL; i++)
		t = g_hash_table_lookup(o->told[i], &stream);
	*version = 0;
	if (w != NULL)
		*version = w->b.version;
	else if (t != NULL)
		*version = t->version;
	if (*version == MH_VERSION_UNSURE) {
		*version = 0;
		return MH_ORIGIN_UNSURE;
	}
	if (*version == 0)
		return MH_ORIGIN_UNKNOWN;
	return w != NULL ? MH_ORIGIN_OWN : MH_ORIGIN_TOLD;
}

int64_t
mh_origins_sole_us(const struct mh_origins *o, const char *const *pools,
    size_t n, uint64_t *version)
{
	int64_t us = INT64_MAX;
	bool reported = false;

	*version = 0;
	for (size_t i = 0; i < n; i++) {
		struct mh_sole s = mh_fleet_sole(o->f, pools[i]);

		if (!s.is_sole)
			return 0;
		reported = reported || s.version != 0;
		if (s.version != 0)
			us = MIN(us, mh_now(o->k) - s.since_us);
		*version = n == 1 ? s.version : 0;
	}
	if (!reported)
		return us;
	return n > 1 || rows_are_old(o) ? 0
					: MIN(us, mh_now(o->k) - o->routes_us);
}

void *
mh_origins_ask(struct mh_origins *o, const struct mh_origin_query *q)
{
	return o->ops.ask == NULL ? NULL : o->ops.ask(o->ops.arg, q);
}

void
mh_origins_cancel(struct mh_origins *o, void *ask)
{
	o->ops.cancel(o->ops.arg, ask);
}
