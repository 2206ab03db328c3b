/**
 * DOC: The endpoints, and what this process records of each.
 *
 * The registry lists the endpoints; nodefail.c records how their calls end.
 */

#include "fleetint.h"

#include <stdlib.h>
#include <string.h>

/*
 * The pace of a shared machine changes many times a second around a mean that
 * changes slowly.  A reported pace decays to the mean within PACE_DECAY_US;
 * the mean is used until the report is PACE_EXPIRY_US old.
 */
#define PACE_DECAY_US (250 * MH_US_PER_MS)
#define PACE_WEIGHT 0.2
#define PACE_EXPIRY_US (10 * MH_US_PER_S)
/* Warm-up ends read from one unchanged row differ by less than this. */
#define WARM_ROUNDING_US (20 * MH_US_PER_MS)
/* Time for an endpoint to restart and for its row to be written. */
#define DOUBT_US (2 * MH_US_PER_S)

static void
free_node(void *arg)
{
	struct mh_node *n = arg;

	g_free(n->id);
	g_free(n->name);
	g_free(n->pool);
	g_free(n->addr);
	g_free(n->domain);
	g_free(n->version);
	g_free(n);
}

static void
free_array(void *arg)
{
	g_ptr_array_free(arg, TRUE);
}

struct mh_fleet *
mh_fleet_create(struct mh_kern *k)
{
	struct mh_fleet *f = g_new0(struct mh_fleet, 1);

	f->k = k;
	f->nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_node);
	f->unlisted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->names = g_hash_table_new(g_str_hash, g_str_equal);
	f->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
	f->soles =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return f;
}

void
mh_fleet_destroy(struct mh_fleet *f)
{
	if (f == NULL)
		return;
	g_hash_table_destroy(f->pools);
	g_hash_table_destroy(f->soles);
	g_hash_table_destroy(f->names);
	g_hash_table_destroy(f->nodes);
	g_hash_table_destroy(f->unlisted);
	mh_gconf_unref(f->conf);
	g_strfreev(f->evacuated);
	g_free(f);
}

void
mh_fleet_set_conf(struct mh_fleet *f, struct mh_gconf *conf)
{
	mh_gconf_ref(conf);
	mh_gconf_unref(f->conf);
	f->conf = conf;
}

static int64_t
warmup_us(const struct mh_fleet *f, const char *pool)
{
	const struct mh_gpool *p =
	    f->conf == NULL ? NULL : mh_gconf_pool(f->conf, pool);

	return p == NULL ? 0 : p->warmup_us;
}

/*
 * An endpoint that received nothing during an evacuation may be cold, and its
 * registry row shows this late.  It is treated as cold for the warm-up time of
 * its pool, whatever its row or its answers say.
 */
static void
readmit(struct mh_fleet *f, struct mh_node *n)
{
	int64_t warm_us = mh_now(f->k) + warmup_us(f, n->pool);

	n->cold_until_us = warm_us;
	n->warm_at_us = MAX(n->warm_at_us, warm_us);
}

void
mh_fleet_evacuate(struct mh_fleet *f, const char *const *domains)
{
	GHashTableIter it;
	gpointer v;
	uint32_t evacuated = 0, readmitted = 0;

	g_strfreev(f->evacuated);
	f->evacuated = g_strdupv((char **)(uintptr_t)domains);
	g_hash_table_iter_init(&it, f->nodes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct mh_node *n = v;
		bool was = n->evacuated;

		n->evacuated = g_strv_contains(domains, n->domain);
		evacuated += n->evacuated;
		if (was && !n->evacuated) {
			readmit(f, n);
			readmitted++;
		}
	}
	mh_event(f->k, "evacuated", "domains=%u endpoints=%u taken_back=%u",
	    g_strv_length(f->evacuated), evacuated, readmitted);
}

void
mh_fleet_begin(struct mh_fleet *f)
{
	f->mark++;
}

/* software versions */

/* Takes the version that a row states; NULL: none. */
static void
set_version(struct mh_node *n, const char *version)
{
	uint64_t of[] = { mh_hash(n->pool, strlen(n->pool)), 0 };

	g_free(n->version);
	n->version = g_strdup(version == NULL ? "" : version);
	of[1] = mh_hash(n->version, strlen(n->version));
	n->version_key = version == NULL ? 0 : mh_hash(of, sizeof(of)) | 1;
}

/* The endpoints of a pool, or their versions, have changed. */
static void
update_sole(struct mh_fleet *f, const char *pool)
{
	const GPtrArray *nodes = mh_fleet_pool(f, pool);
	struct mh_sole *s = g_hash_table_lookup(f->soles, pool);
	const struct mh_node *first;
	bool is_sole = true;

	if (nodes == NULL || nodes->len == 0)
		return;
	first = g_ptr_array_index(nodes, 0);
	for (guint i = 1; i < nodes->len && is_sole; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		is_sole = n->version_key == first->version_key;
	}
	if (s == NULL) {
		s = g_new0(struct mh_sole, 1);
		s->since_us = mh_now(f->k);
		s->version = first->version_key;
		s->is_sole = is_sole;
		g_hash_table_insert(f->soles, g_strdup(pool), s);
	}
	if (s->is_sole == is_sole &&
	    (!is_sole || s->version == first->version_key))
		return;
	s->is_sole = is_sole;
	s->version = first->version_key;
	s->since_us = mh_now(f->k);
	mh_event(f->k, "versions", "pool=%s endpoints=%u sole=%s", pool,
	    nodes->len, is_sole ? first->version : "-");
}

struct mh_sole
mh_fleet_sole(const struct mh_fleet *f, const char *pool)
{
	const struct mh_sole *s = g_hash_table_lookup(f->soles, pool);

	return s == NULL ? (struct mh_sole) { false, 0, mh_now(f->k) } : *s;
}

bool
mh_fleet_has_version(struct mh_fleet *f, const char *pool, uint64_t version)
{
	const GPtrArray *nodes = mh_fleet_pool(f, pool);

	for (guint i = 0; nodes != NULL && i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (n->version_key == version)
			return true;
	}
	return false;
}

void
mh_fleet_on_rows_age(struct mh_fleet *f, int64_t (*fn)(void *arg), void *arg)
{
	f->rows_age_us = fn;
	f->rows_age_arg = arg;
}

int64_t
mh_fleet_rows_age_us(const struct mh_fleet *f)
{
	return f->rows_age_us == NULL ? 0 : f->rows_age_us(f->rows_age_arg);
}

void
mh_fleet_set_drain(struct mh_fleet *f, int64_t us)
{
	f->drain_us = us;
}

bool
mh_node_takes_last(const struct mh_fleet *f, const struct mh_node *n)
{
	return n->draining && !n->said.leaving && !n->evacuated &&
	    mh_now(f->k) - n->draining_us < f->drain_us;
}

int64_t
mh_fleet_restart_from_us(const struct mh_fleet *f)
{
	return mh_now(f->k) - mh_fleet_rows_age_us(f) - DOUBT_US;
}

/*
 * Only an endpoint that reports its start time may start again under the same
 * name; any other one rejects what is meant for its predecessor.
 */
void
mh_node_doubt(struct mh_fleet *f, struct mh_node *n)
{
	if (n->start_ms != 0)
		n->doubt_us = mh_now(f->k);
}

bool
mh_node_in_doubt(const struct mh_fleet *f, const struct mh_node *n)
{
	return n->doubt_us != 0 &&
	    mh_now(f->k) - mh_fleet_rows_age_us(f) - n->doubt_us < DOUBT_US;
}

/* The id of one incarnation; names do not contain "@". */
static char *
incarnation_id(const char *name, int64_t start_ms)
{
	if (start_ms == 0)
		return g_strdup(name);
	return g_strdup_printf("%s@%" PRId64, name, start_ms);
}

static struct mh_node *
add(struct mh_fleet *f, const struct mh_listing *l)
{
	struct mh_node *n = g_new0(struct mh_node, 1);
	GPtrArray *pool = g_hash_table_lookup(f->pools, l->pool);

	n->id = incarnation_id(l->name, l->start_ms);
	n->name = g_strdup(l->name);
	n->start_ms = l->start_ms;
	n->pool = g_strdup(l->pool);
	n->addr = g_strdup(l->addr);
	n->domain = g_strdup(l->domain);
	set_version(n, l->version);
	n->evacuated = f->evacuated != NULL &&
	    g_strv_contains((const char *const *)f->evacuated, n->domain);
	n->hash = mh_hash(n->name, strlen(n->name));
	n->cache_hash = mh_hash(n->id, strlen(n->id));
	mh_words_restore(f, n);
	f->version++;
	g_hash_table_insert(f->nodes, n->id, n);
	g_hash_table_replace(f->names, n->name, n);
	if (pool == NULL) {
		pool = g_ptr_array_new();
		g_hash_table_insert(f->pools, g_strdup(l->pool), pool);
	}
	g_ptr_array_add(pool, n);
	update_sole(f, n->pool);
	mh_event(f->k, "endpoint-listed",
	    "id=%s pool=%s addr=%s domain=%s version=%s", n->id, n->pool,
	    n->addr, n->domain, n->version);
	return n;
}

/* Drops the state of the endpoint, here and, by on_removed, in other parts. */
static void
remove_node(struct mh_fleet *f, struct mh_node *n)
{
	mh_event(f->k, "endpoint-gone", "id=%s pool=%s", n->id, n->pool);
	mh_words_keep(f, n);
	g_ptr_array_remove(g_hash_table_lookup(f->pools, n->pool), n);
	update_sole(f, n->pool);
	if (f->on_removed != NULL)
		f->on_removed(f->on_removed_arg, n->id);
	if (g_hash_table_lookup(f->names, n->name) == n)
		g_hash_table_remove(f->names, n->name);
	g_hash_table_remove(f->nodes, n->id);
	f->version++;
}

/*
 * A restarted endpoint has lost its results, cached prompts and running calls,
 * and the failures and the draining state of the previous incarnation do not
 * apply to it.  It is therefore recorded as a new node.
 */
static struct mh_node *
replace_node(struct mh_fleet *f, struct mh_node *n, const struct mh_listing *l)
{
	int64_t starts[MH_ENDED_STARTS];
	uint32_t mark = n->mark;
	char *ended;

	mh_count(f->k, "endpoints_restarted", 1);
	mh_event(f->k, "endpoint-restarted",
	    "name=%s pool=%s born_ms=%" PRId64 " former_ms=%" PRId64, l->name,
	    l->pool, l->start_ms, n->start_ms);
	starts[0] = n->start_ms;
	memcpy(&starts[1], n->ended_ms, sizeof(starts) - sizeof(starts[0]));
	ended = g_strdup(n->id);
	remove_node(f, n);
	n = add(f, l);
	if (f->on_restart != NULL)
		f->on_restart(f->on_restart_arg, ended);
	g_free(ended);
	memcpy(n->ended_ms, starts, sizeof(starts));
	n->mark = mark;
	return n;
}

/*
 * Applies the warm-up time of a row only if the row was rewritten.  A row that
 * is read again gives the same end of the warm-up, but for rounding, and the
 * endpoint may have reported something newer since.
 */
static void
take_warmup(struct mh_fleet *f, struct mh_node *n, int64_t warm_us)
{
	int64_t now = mh_now(f->k), at_us = now + warm_us;

	if (warm_us == 0 ? n->row_warm_at_us <= now
			 : llabs(at_us - n->row_warm_at_us) <= WARM_ROUNDING_US)
		return;
	n->row_warm_at_us = at_us;
	mh_node_set_warmup(f, n, warm_us);
}

void
mh_node_set_draining(struct mh_fleet *f, struct mh_node *n, bool draining)
{
	if (draining == n->draining)
		return;
	n->draining = draining;
	if (draining && n->draining_us == 0)
		n->draining_us = mh_now(f->k);
	f->version++;
}

static bool
has_ended(const struct mh_node *n, int64_t start_ms)
{
	for (size_t i = 0; start_ms != 0 && i < MH_ENDED_STARTS; i++) {
		if (n->ended_ms[i] == start_ms)
			return true;
	}
	return false;
}

void
mh_fleet_list(struct mh_fleet *f, const struct mh_listing *l)
{
	struct mh_node *n = g_hash_table_lookup(f->names, l->name);
	bool draining;

	/* The row describes a previous incarnation, perhaps again. */
	if (n != NULL && has_ended(n, l->start_ms)) {
		n->mark = f->mark;
		return;
	}
	if (n == NULL)
		n = add(f, l);
	else if (n->start_ms != l->start_ms || strcmp(n->pool, l->pool) != 0)
		n = replace_node(f, n, l);
	if (strcmp(n->addr, l->addr) != 0) {
		g_free(n->addr);
		n->addr = g_strdup(l->addr);
	}
	if (l->version != NULL && strcmp(n->version, l->version) != 0) {
		set_version(n, l->version);
		update_sole(f, n->pool);
	}
	draining = l->draining || n->said.leaving;
	if (draining && !n->draining)
		mh_event(
		    f->k, "endpoint-leaving", "id=%s pool=%s", n->id, n->pool);
	n->capacity = l->capacity;
	mh_node_set_draining(f, n, draining);
	take_warmup(f, n, l->warm_us);
	n->mark = f->mark;
}

void
mh_fleet_set_start(struct mh_fleet *f, const char *id, int64_t start_ms)
{
	struct mh_node *n = mh_fleet_find(f, id), *next;
	struct mh_listing l;
	bool has_version;

	if (n == NULL || start_ms == 0 || n->start_ms == 0 ||
	    n->start_ms == start_ms)
		return;
	l = (struct mh_listing) { g_strdup(n->name), start_ms,
		g_strdup(n->pool), g_strdup(n->addr), g_strdup(n->domain),
		n->capacity, false, warmup_us(f, n->pool), NULL };
	has_version = n->version_key != 0;
	next = replace_node(f, n, &l);
	if (has_version) {
		next->version_key = MH_VERSION_UNSURE;
		update_sole(f, next->pool);
	}
	next->capacity = l.capacity;
	next->row_warm_at_us = next->warm_at_us = mh_now(f->k) + l.warm_us;
	g_free((char *)(uintptr_t)l.name);
	g_free((char *)(uintptr_t)l.pool);
	g_free((char *)(uintptr_t)l.addr);
	g_free((char *)(uintptr_t)l.domain);
}

void
mh_fleet_end(struct mh_fleet *f)
{
	GHashTableIter it;
	gpointer key, value;
	GPtrArray *removed = g_ptr_array_new();

	g_hash_table_iter_init(&it, f->nodes);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_node *n = value;

		if (n->mark != f->mark)
			g_ptr_array_add(removed, n);
	}
	for (guint i = 0; i < removed->len; i++)
		remove_node(f, g_ptr_array_index(removed, i));
	g_ptr_array_free(removed, TRUE);
}

void
mh_fleet_on_removed(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg)
{
	f->on_removed = fn;
	f->on_removed_arg = arg;
}

void
mh_fleet_on_restart(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg)
{
	f->on_restart = fn;
	f->on_restart_arg = arg;
}

struct mh_node *
mh_fleet_find(struct mh_fleet *f, const char *id)
{
	return g_hash_table_lookup(f->nodes, id);
}

struct mh_node *
mh_fleet_find_addr(struct mh_fleet *f, const char *addr)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, f->nodes);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_node *n = value;

		if (strcmp(n->addr, addr) == 0)
			return n;
	}
	return NULL;
}

GPtrArray *
mh_fleet_pool(struct mh_fleet *f, const char *pool)
{
	return g_hash_table_lookup(f->pools, pool);
}

static gint
by_hash(gconstpointer a, gconstpointer b)
{
	const struct mh_node *x = *(const struct mh_node *const *)a;
	const struct mh_node *y = *(const struct mh_node *const *)b;

	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static void
rank_pool(const GPtrArray *pool)
{
	GPtrArray *order = g_ptr_array_new();

	for (guint i = 0; i < pool->len; i++) {
		struct mh_node *n = g_ptr_array_index(pool, i);

		if (!n->draining)
			g_ptr_array_add(order, n);
	}
	g_ptr_array_sort(order, by_hash);
	for (guint i = 0; i < order->len; i++) {
		struct mh_node *n = g_ptr_array_index(order, i);

		n->rank = i;
		n->n_ranked = order->len;
	}
	g_ptr_array_free(order, TRUE);
}

/*
 * Slices are cut from the rank in hash order, since slices by hash modulo their
 * number differ widely where endpoints are few.  Of pools with 37, 36 and 43
 * endpoints one of two such slices had 13, 15 and 31 and the other 24, 21 and
 * 12: each was limited by its smallest pool, and both together reached 0.63 of
 * the throughput of the pools.
 */
uint32_t
mh_fleet_slice(struct mh_fleet *f, const struct mh_node *n, uint32_t count)
{
	GHashTableIter it;
	gpointer key, value;

	if (f->ranks_version != f->version) {
		g_hash_table_iter_init(&it, f->pools);
		while (g_hash_table_iter_next(&it, &key, &value))
			rank_pool(value);
		f->ranks_version = f->version;
	}
	if (n->draining)
		return count;
	return (uint32_t)((uint64_t)n->rank * count / n->n_ranked);
}

uint64_t
mh_fleet_version(const struct mh_fleet *f)
{
	return f->version;
}

uint32_t
mh_fleet_size(const struct mh_fleet *f)
{
	return g_hash_table_size(f->nodes);
}

void
mh_node_set_load(struct mh_fleet *f, struct mh_node *n, uint32_t running,
    uint32_t waiting, uint32_t slots)
{
	n->running = running;
	n->waiting = waiting;
	n->slots = slots;
	n->load_at_us = mh_now(f->k);
}

void
mh_node_set_pace(struct mh_fleet *f, struct mh_node *n, uint32_t percent)
{
	n->pace = percent / 100.0;
	if (n->pace_at_us == 0)
		n->pace_mean = n->pace;
	n->pace_mean += PACE_WEIGHT * (n->pace - n->pace_mean);
	n->pace_at_us = mh_now(f->k);
}

double
mh_node_pace(const struct mh_fleet *f, const struct mh_node *n)
{
	int64_t age_us = mh_now(f->k) - n->pace_at_us;

	if (n->pace_at_us == 0 || age_us >= PACE_EXPIRY_US)
		return 1;
	if (age_us >= PACE_DECAY_US)
		return n->pace_mean;
	return n->pace_mean +
	    (n->pace - n->pace_mean) * (1 - (double)age_us / PACE_DECAY_US);
}

void
mh_fleet_on_unreachable(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg)
{
	f->on_unreachable = fn;
	f->on_unreachable_arg = arg;
}

void
mh_node_report_unreachable(struct mh_fleet *f, const struct mh_node *n)
{
	if (f->on_unreachable != NULL)
		f->on_unreachable(f->on_unreachable_arg, n->id);
}

void
mh_node_set_unreachable(struct mh_fleet *f, struct mh_node *n, const char *why)
{
	mh_node_failed(f, n, why);
	mh_node_report_unreachable(f, n);
}

bool
mh_node_usable(const struct mh_fleet *f, const struct mh_node *n)
{
	return !n->draining && !n->evacuated &&
	    MAX(n->eject_until_us, n->said.rest_end_us) <= mh_now(f->k);
}

void
mh_node_set_warmup(struct mh_fleet *f, struct mh_node *n, int64_t warm_us)
{
	int64_t at_us = mh_now(f->k) + warm_us;

	if (mh_now(f->k) < n->cold_until_us)
		at_us = MAX(at_us, n->cold_until_us);
	n->warm_at_us = at_us;
}

bool
mh_node_cold(const struct mh_fleet *f, const struct mh_node *n)
{
	return n->warm_at_us > mh_now(f->k);
}
