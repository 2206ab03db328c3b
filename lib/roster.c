/**
 * DOC: This process's copy of the platform's VM list: service "roster".
 *
 * A few watchers per failure domain read the list from the platform; every
 * other process polls a watcher or an entry for changes.  A version of the
 * list is identified by the exclusive-or of its rows' hashes.  The order of
 * the rows does not matter, so equal lists have equal hashes everywhere and
 * a poll for an unchanged list costs a few bytes.
 */

#include "marlhoist.h"

#include <string.h>

#define TICK_US (500 * MH_US_PER_MS)
#define READ_INTERVAL_US (1 * MH_US_PER_S) /* between two readings or polls */
#define STALE_US (4 * MH_US_PER_S) /* then read the platform directly */
#define UNLISTED_KEEP_US (3600 * MH_US_PER_S) /* rows of former VMs */
#define MAX_CHANGES 512 /* kept for answering polls with deltas */
#define WATCHERS 2 /* per failure domain */
/* Links that fail in a row until another entry reads instead. */
#define SILENT_DIALS 3

/** struct row - a VM that is on the list or was on it. */
struct row {
	struct mh_vm *vm;
	uint64_t hash; /* 0: no longer listed */
	int64_t unlisted_us; /* first reading without it, 0: listed */
};

/** struct change - a change of one row, for deltas. */
struct change {
	char *id;
	char *pool;
	uint64_t old_hash;
	uint64_t new_hash;
};

struct roster {
	struct mh_kern *k;
	char *vm;
	char *domain;
	char *pool; /* the only pool to keep, "" for all (on an entry) */
	bool entry; /* an entry, not a side process */
	GHashTable *rows; /* id -> struct row */
	GQueue changes; /* newest first */
	uint64_t hash; /* of the whole list */
	int64_t read_us; /* time of the newest reading, -1: none */
	int64_t last_poll_us; /* 0: never */
	bool was_listed; /* some reading listed this VM */
	struct mh_timer *tick;
};

static struct roster *
get(struct mh_kern *k)
{
	return mh_kern_get(k, "roster");
}

static void
free_row(void *arg)
{
	struct row *r = arg;

	mh_vm_free(r->vm);
	g_free(r);
}

static void
free_change(void *arg)
{
	struct change *c = arg;

	g_free(c->id);
	g_free(c->pool);
	g_free(c);
}

static uint64_t
hash_vm(const struct mh_vm *vm)
{
	char *text = g_strdup_printf("%s|%s|%s|%s|%s|%d", vm->id, vm->addr,
	    vm->role, vm->pool, vm->domain, vm->draining);
	uint64_t h = mh_hash(text, strlen(text)) | 1;

	g_free(text);
	return h;
}

static void
record_change(struct roster *r, const struct mh_vm *vm, uint64_t old_hash,
    uint64_t new_hash)
{
	struct change *c = g_new0(struct change, 1);

	c->id = g_strdup(vm->id);
	c->pool = g_strdup(vm->pool);
	c->old_hash = old_hash;
	c->new_hash = new_hash;
	r->hash ^= old_hash ^ new_hash;
	g_queue_push_head(&r->changes, c);
	if (g_queue_get_length(&r->changes) > MAX_CHANGES)
		free_change(g_queue_pop_tail(&r->changes));
}

static void
list_vm(struct roster *r, const struct mh_vm *vm)
{
	struct row *old = g_hash_table_lookup(r->rows, vm->id);
	uint64_t hash = hash_vm(vm), was = old == NULL ? 0 : old->hash;
	struct row *row;

	if (strcmp(vm->id, r->vm) == 0)
		r->was_listed = true;
	if (was == hash)
		return;
	row = g_new0(struct row, 1);
	row->vm = mh_vm_new(
	    vm->id, vm->addr, vm->role, vm->pool, vm->domain, vm->draining);
	row->hash = hash;
	record_change(r, vm, was, hash);
	g_hash_table_replace(r->rows, row->vm->id, row);
	if (strcmp(vm->id, r->vm) != 0)
		mh_member_vm_listed(r->k, vm);
}

static void
unlist_vm(struct roster *r, struct row *row, int64_t at_us)
{
	if (row->hash == 0)
		return;
	record_change(r, row->vm, row->hash, 0);
	row->hash = 0;
	row->unlisted_us = MAX(at_us, 1);
	if (strcmp(row->vm->id, r->vm) != 0)
		mh_member_vm_unlisted(r->k, row->vm->id);
}

static gboolean
row_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct row *row = value;
	struct roster *r = arg;

	(void)key;
	return row->hash == 0 &&
	    mh_now(r->k) - row->unlisted_us > UNLISTED_KEEP_US;
}

/* Applies a whole list: a VM that is not on it has left. */
static void
apply_list(struct roster *r, GPtrArray *vms, int64_t at_us)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer value;

	r->read_us = at_us;
	for (guint i = 0; i < vms->len; i++) {
		struct mh_vm *vm = vms->pdata[i];

		if (r->pool[0] != '\0' && strcmp(vm->pool, r->pool) != 0)
			continue;
		g_hash_table_add(listed, vm->id);
		list_vm(r, vm);
	}
	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct row *row = value;

		if (!g_hash_table_contains(listed, row->vm->id))
			unlist_vm(r, row, at_us);
	}
	g_hash_table_destroy(listed);
	g_hash_table_foreach_remove(r->rows, row_expired, r);
	mh_member_refresh(r->k);
}

/*
 * A VM counts as removed if it was listed and then was missing from every
 * reading for longer than the list may lag.  The newest reading must be
 * recent: during an outage of the list, absence proves nothing.
 */
bool
mh_member_is_removed(struct mh_kern *k, const char *vm, int64_t after_us)
{
	struct roster *r = get(k);
	const struct row *row = g_hash_table_lookup(r->rows, vm);

	if (row == NULL || row->hash != 0)
		return false;
	if (mh_now(k) - r->read_us > STALE_US + READ_INTERVAL_US)
		return false;
	return r->read_us - row->unlisted_us > after_us;
}

/* Whether the VM is listed and not draining. */
static bool
is_serving(struct roster *r, const struct row *row)
{
	const struct mh_peer *p;

	if (row->hash == 0 || row->vm->draining)
		return false;
	if (strcmp(row->vm->id, r->vm) == 0)
		return !mh_member_draining(r->k);
	p = mh_member_find(r->k, row->vm->id);
	return p == NULL || !p->draining;
}

bool
mh_member_has_list(struct mh_kern *k)
{
	return get(k)->read_us >= 0;
}

bool
mh_member_self_removed(struct mh_kern *k)
{
	struct roster *r = get(k);
	const struct row *row = g_hash_table_lookup(r->rows, r->vm);

	return r->was_listed && (row == NULL || row->hash == 0);
}

/** struct ranking - ranks VMs of the list by rendezvous hashing. */
struct ranking {
	const char *key; /* that the VMs are ranked for */
	const char *role;
	const char *pool; /* NULL: any */
	const char *domain; /* NULL: any */
	bool heard; /* only VMs whose links don't all fail */
	const char *best;
	const char *second;
	uint64_t weight;
	uint64_t second_weight;
	uint32_t count;
	uint64_t own_weight; /* weight to compare with */
	uint32_t n_before; /* VMs with a higher weight than that */
};

static void
rank_vm(struct ranking *c, const char *vm)
{
	uint64_t w = mh_rendezvous(c->key, vm);

	c->count++;
	c->n_before += w > c->own_weight;
	if (c->best == NULL || w > c->weight) {
		c->second = c->best;
		c->second_weight = c->weight;
		c->best = vm;
		c->weight = w;
	} else if (c->second == NULL || w > c->second_weight) {
		c->second = vm;
		c->second_weight = w;
	}
}

/*
 * A VM that is lost stays listed for a while, and one that is cut off for as
 * long as it runs: what it reads reaches nobody.
 */
static bool
is_silent(struct roster *r, const struct row *row)
{
	const struct mh_peer *p = mh_member_find(r->k, row->vm->id);

	return p != NULL && p->dial_failures >= SILENT_DIALS &&
	    (!p->up || p->unproven);
}

/* Ranks the listed VMs that match the role, pool and domain of @c. */
static void
rank_vms(struct roster *r, struct ranking *c)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct row *row = value;

		if (strcmp(row->vm->role, c->role) != 0 ||
		    (c->pool != NULL && strcmp(row->vm->pool, c->pool) != 0) ||
		    (c->domain != NULL &&
			strcmp(row->vm->domain, c->domain) != 0) ||
		    !is_serving(r, row) || (c->heard && is_silent(r, row)))
			continue;
		rank_vm(c, row->vm->id);
	}
}

uint32_t
mh_member_entry_count(struct mh_kern *k)
{
	struct ranking c = { .key = "", .role = "entry" };

	rank_vms(get(k), &c);
	return MAX(c.count, 1);
}

uint32_t
mh_roster_rank(struct mh_kern *k, const char *key, uint32_t *entries)
{
	struct roster *r = get(k);
	struct ranking c = { .key = key,
		.role = "entry",
		.own_weight = mh_rendezvous(key, r->vm) };

	rank_vms(r, &c);
	*entries = MAX(c.count, 1);
	return r->read_us < 0 ? UINT32_MAX : c.n_before; /* no list yet */
}

const char *
mh_member_pick_entry(struct mh_kern *k, const char *key)
{
	struct ranking c = { .key = key, .role = "entry" };

	rank_vms(get(k), &c);
	return c.best;
}

const char *
mh_member_pick_side(struct mh_kern *k, const char *pool, const char *key)
{
	struct ranking c = { .key = key, .role = "side", .pool = pool };

	rank_vms(get(k), &c);
	return c.best;
}

static bool
same_id(const char *a, const char *b)
{
	return a != NULL && strcmp(a, b) == 0;
}

/* Ranks the entries that may read @key for this failure domain. */
static struct ranking
rank_watchers(struct roster *r, const char *key)
{
	struct ranking c = {
		.key = key, .role = "entry", .domain = r->domain, .heard = true
	};

	rank_vms(r, &c);
	return c;
}

/*
 * Watchers are chosen without agreement: each entry ranks the listed entries
 * of its failure domain that it can reach, and keeps links to the first, which
 * show whether it can.  Where copies of the list differ there may be a
 * watcher too many or too few for a moment, which costs reads, not safety.
 * A side process watches only while it has no link.
 */
bool
mh_member_is_watcher(struct mh_kern *k, const char *key)
{
	struct roster *r = get(k);
	struct ranking c;

	if (r->read_us < 0)
		return true;
	if (!r->entry)
		return mh_member_link_count(k) == 0;
	c = rank_watchers(r, key);
	return same_id(c.best, r->vm) || same_id(c.second, r->vm) ||
	    c.count < WATCHERS;
}

static void
find_linked_entry(void *arg, struct mh_peer *p)
{
	struct mh_peer **out = arg;

	if (p->up && strcmp(p->role, "entry") == 0 && *out == NULL)
		*out = p;
}

/* Keeps links to the watchers of @key; returns one that is linked, or NULL. */
static struct mh_peer *
dial_watchers(struct roster *r, const char *key)
{
	struct ranking c = rank_watchers(r, key);
	const char *names[WATCHERS] = { c.best, c.second };
	struct mh_peer *found = NULL;

	for (int i = 0; i < WATCHERS; i++) {
		struct mh_peer *p =
		    names[i] == NULL ? NULL : mh_member_find(r->k, names[i]);

		if (p == NULL)
			continue;
		mh_member_dial(r->k, p);
		if (p->up)
			found = p;
	}
	return found;
}

/*
 * The peer to poll: for an entry a watcher of its failure domain, for a side
 * process any linked entry.  NULL if there is no such link.
 */
static struct mh_peer *
upstream(struct roster *r)
{
	struct mh_peer *found = NULL;

	if (r->entry)
		return dial_watchers(r, "vmlist");
	mh_member_foreach(r->k, find_linked_entry, &found);
	return found;
}

/* Reads the list from the platform or polls a peer, at most once a second. */
static void
refresh_list(struct roster *r)
{
	int64_t now = mh_now(r->k);
	bool stale = r->read_us < 0 || now - r->read_us > STALE_US;
	struct mh_peer *p = upstream(r);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__MembersAsk m = MH__MEMBERS_ASK__INIT;

	if (now - r->last_poll_us < READ_INTERVAL_US && r->last_poll_us != 0)
		return;
	r->last_poll_us = MAX(now, 1);
	if (stale || mh_member_is_watcher(r->k, "vmlist")) {
		mh_post(r->k, "vmlist", mh_msg_new(MH_MSG_VMLIST_READ));
		mh_count(r->k, "member_list_reads", 1);
		return;
	}
	if (p == NULL)
		return;
	m.hash = r->hash;
	m.pool = r->pool;
	f.body_case = MH__FRAME__BODY_MEMBERS_ASK;
	f.members_ask = &m;
	mh_frame_send(r->k, p->conn, &f);
}

static void
on_tick(void *arg)
{
	struct roster *r = arg;

	mh_timer_set(r->k, &r->tick, TICK_US, on_tick, r);
	if (r->entry)
		(void)dial_watchers(r, "config");
	refresh_list(r);
}

static bool
in_pool(const char *filter, const char *pool)
{
	return filter[0] == '\0' || strcmp(filter, pool) == 0;
}

static uint64_t
pool_hash(struct roster *r, const char *pool)
{
	GHashTableIter it;
	gpointer value;
	uint64_t h = 0;

	if (pool[0] == '\0')
		return r->hash;
	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct row *row = value;

		if (in_pool(pool, row->vm->pool))
			h ^= row->hash;
	}
	return h;
}

/*
 * Ids that changed since the list had the hash @from, @to being the hash now.
 * NULL if the recorded changes do not go back that far.
 */
static GHashTable *
changed_since(struct roster *r, const char *pool, uint64_t from, uint64_t to)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);

	for (GList *n = r->changes.head; n != NULL && to != from; n = n->next) {
		struct change *c = n->data;

		if (!in_pool(pool, c->pool))
			continue;
		to ^= c->old_hash ^ c->new_hash;
		g_hash_table_add(ids, c->id);
	}
	if (to == from)
		return ids;
	g_hash_table_destroy(ids);
	return NULL;
}

static Mh__Vm *
wire_vm(const struct row *row)
{
	Mh__Vm *vm = g_new(Mh__Vm, 1);

	mh__vm__init(vm);
	vm->id = row->vm->id;
	vm->addr = row->vm->addr;
	vm->role = row->vm->role;
	vm->pool = row->vm->pool;
	vm->domain = row->vm->domain;
	vm->leaving = row->vm->draining;
	vm->removed = row->hash == 0;
	return vm;
}

static GPtrArray *
collect(struct roster *r, const char *pool, GHashTable *ids)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct row *row = value;

		if (!in_pool(pool, row->vm->pool))
			continue;
		if (ids != NULL ? g_hash_table_contains(ids, row->vm->id)
				: row->hash != 0)
			g_ptr_array_add(list, wire_vm(row));
	}
	return list;
}

static void
on_members_ask(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct roster *r = arg;
	const char *pool = in->members_ask->pool;
	uint64_t hash = pool_hash(r, pool);
	GHashTable *ids = changed_since(r, pool, in->members_ask->hash, hash);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Members m = MH__MEMBERS__INIT;
	GPtrArray *list;

	if (r->read_us < 0) {
		if (ids != NULL)
			g_hash_table_destroy(ids);
		return;
	}
	list = collect(r, pool, ids);
	m.seen_us_ago = (uint64_t)(mh_now(r->k) - r->read_us);
	m.hash = hash;
	m.whole = ids == NULL;
	m.n_vms = list->len;
	m.vms = (Mh__Vm **)list->pdata;
	f.body_case = MH__FRAME__BODY_MEMBERS;
	f.members = &m;
	mh_frame_send(r->k, conn, &f);
	g_ptr_array_free(list, TRUE);
	if (ids != NULL)
		g_hash_table_destroy(ids);
}

static void
apply_delta(struct roster *r, const Mh__Members *m, int64_t at_us)
{
	r->read_us = at_us;
	for (size_t i = 0; i < m->n_vms; i++) {
		const Mh__Vm *v = m->vms[i];
		struct row *row = g_hash_table_lookup(r->rows, v->id);
		struct mh_vm vm = { v->id, v->addr, v->role, v->pool, v->domain,
			v->leaving };

		if (!v->removed)
			list_vm(r, &vm);
		else if (row != NULL)
			unlist_vm(r, row, at_us);
	}
	if (m->n_vms > 0)
		mh_member_refresh(r->k);
}

static void
on_members(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct roster *r = arg;
	const Mh__Members *m = f->members;
	int64_t at_us = mh_now(r->k) - (int64_t)m->seen_us_ago;
	GPtrArray *vms;

	(void)conn;
	/* Ignore a reading that is not newer than ours. */
	if (at_us <= r->read_us)
		return;
	if (!m->whole) {
		apply_delta(r, m, at_us);
		return;
	}
	mh_count(r->k, "member_whole_lists", 1);
	vms = g_ptr_array_new_with_free_func((GDestroyNotify)mh_vm_free);
	for (size_t i = 0; i < m->n_vms; i++) {
		const Mh__Vm *v = m->vms[i];

		g_ptr_array_add(vms,
		    mh_vm_new(v->id, v->addr, v->role, v->pool, v->domain,
			v->leaving));
	}
	apply_list(r, vms, at_us);
	g_ptr_array_unref(vms);
}

json_t *
mh_roster_state(struct mh_kern *k)
{
	struct roster *r = get(k);

	return json_pack("{s:I, s:i, s:b}", "age_us",
	    r->read_us < 0 ? (json_int_t)-1
			   : (json_int_t)(mh_now(k) - r->read_us),
	    "rows", (int)g_hash_table_size(r->rows), "watching",
	    mh_member_is_watcher(k, "vmlist"));
}

static void
handle(void *self, struct mh_msg *m)
{
	struct roster *r = self;

	if (m->kind != MH_MSG_VMLIST)
		return;
	/* Keep the list as it is: an outage of it must not stop the service. */
	if (!m->u.vmlist.ok) {
		mh_count(r->k, "member_list_failed", 1);
		return;
	}
	apply_list(r, m->u.vmlist.vms, mh_now(r->k));
}

static void
destroy(void *self)
{
	struct roster *r = self;

	mh_timer_stop(r->k, &r->tick);
	g_queue_clear_full(&r->changes, free_change);
	g_hash_table_destroy(r->rows);
	g_free(r->vm);
	g_free(r->domain);
	g_free(r->pool);
	g_free(r);
}

void
mh_roster_create(
    struct mh_kern *k, const char *vm, const char *domain, const char *pool)
{
	struct roster *r = g_new0(struct roster, 1);

	r->k = k;
	r->vm = g_strdup(vm);
	r->domain = g_strdup(domain);
	r->pool = g_strdup(pool == NULL ? "" : pool);
	r->entry = pool == NULL;
	r->read_us = -1;
	r->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	g_queue_init(&r->changes);
	mh_kern_add(k, "roster", r, handle, destroy);
	mh_hub_set_handler(k, MH__FRAME__BODY_MEMBERS_ASK, on_members_ask, r);
	mh_hub_set_handler(k, MH__FRAME__BODY_MEMBERS, on_members, r);
	mh_timer_set(k, &r->tick, 0, on_tick, r);
}
