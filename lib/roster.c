/**
 * DOC: The VM list as this process knows it: service "roster".
 *
 * A few watchers per failure domain read the platform's list; the rest ask
 * a watcher for what changed.  Both name the list by the exclusive-or of
 * its VMs' hashes, so the same list has the same name everywhere whatever
 * the order, and an unchanged list costs a few bytes.
 */

#include "marlhoist.h"

#include <string.h>

#define TICK_US (500 * MH_US_PER_MS)
#define READ_US (1 * MH_US_PER_S) /* between two readings */
#define STALE_US (4 * MH_US_PER_S) /* then read the platform oneself */
#define REMEMBER_US (3600 * MH_US_PER_S) /* VMs that left */
#define CHANGES 512 /* kept to answer with deltas */
#define WATCHERS 2

/** struct row - one VM of the list, or one that left it. */
struct row {
	struct mh_vm *vm;
	uint64_t hash; /* 0: not listed any more */
	int64_t left_us; /* when it was first missing, 0: listed */
};

/** struct change - one step back in the list's history. */
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
	char *pool; /* a side process keeps only its pool; "": every VM */
	bool entry;
	GHashTable *rows; /* id -> struct row */
	GQueue changes; /* newest first */
	uint64_t hash; /* of the whole list */
	int64_t at_us; /* when the newest reading was made, -1: never */
	int64_t asked_us;
	bool self_seen; /* some reading held this VM */
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
	    vm->role, vm->pool, vm->domain, vm->leaving);
	uint64_t h = mh_hash(text, strlen(text)) | 1;

	g_free(text);
	return h;
}

static void
note_change(struct roster *r, const struct mh_vm *vm, uint64_t old_hash,
    uint64_t new_hash)
{
	struct change *c = g_new0(struct change, 1);

	c->id = g_strdup(vm->id);
	c->pool = g_strdup(vm->pool);
	c->old_hash = old_hash;
	c->new_hash = new_hash;
	r->hash ^= old_hash ^ new_hash;
	g_queue_push_head(&r->changes, c);
	if (g_queue_get_length(&r->changes) > CHANGES)
		free_change(g_queue_pop_tail(&r->changes));
}

static void
list_vm(struct roster *r, const struct mh_vm *vm)
{
	struct row *old = g_hash_table_lookup(r->rows, vm->id);
	uint64_t hash = hash_vm(vm), was = old == NULL ? 0 : old->hash;
	struct row *row;

	if (strcmp(vm->id, r->vm) == 0)
		r->self_seen = true;
	if (was == hash)
		return;
	row = g_new0(struct row, 1);
	row->vm = mh_vm_new(
	    vm->id, vm->addr, vm->role, vm->pool, vm->domain, vm->leaving);
	row->hash = hash;
	note_change(r, vm, was, hash);
	g_hash_table_replace(r->rows, row->vm->id, row);
	if (strcmp(vm->id, r->vm) != 0)
		mh_member_list(r->k, vm);
}

static void
unlist_vm(struct roster *r, struct row *row, int64_t at_us)
{
	if (row->hash == 0)
		return;
	note_change(r, row->vm, row->hash, 0);
	row->hash = 0;
	row->left_us = MAX(at_us, 1);
	if (strcmp(row->vm->id, r->vm) != 0)
		mh_member_unlist(r->k, row->vm->id);
}

static gboolean
long_gone(gpointer key, gpointer value, gpointer arg)
{
	const struct row *row = value;
	struct roster *r = arg;

	(void)key;
	return row->hash == 0 && mh_now(r->k) - row->left_us > REMEMBER_US;
}

/* A whole list: whoever is not on it has left. */
static void
take_whole(struct roster *r, GPtrArray *vms, int64_t at_us)
{
	GHashTable *on = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer value;

	r->at_us = at_us;
	for (guint i = 0; i < vms->len; i++) {
		struct mh_vm *vm = vms->pdata[i];

		if (r->pool[0] != '\0' && strcmp(vm->pool, r->pool) != 0)
			continue;
		g_hash_table_add(on, vm->id);
		list_vm(r, vm);
	}
	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct row *row = value;

		if (!g_hash_table_contains(on, row->vm->id))
			unlist_vm(r, row, at_us);
	}
	g_hash_table_destroy(on);
	g_hash_table_foreach_remove(r->rows, long_gone, r);
	mh_member_refresh(r->k);
}

/*
 * "Gone" needs a VM that was listed and then missed from every reading for
 * longer than the list lags; no reading (an outage) proves nothing, so the
 * newest reading must itself be recent.
 */
bool
mh_member_gone(struct mh_kern *k, const char *vm, int64_t after_us)
{
	struct roster *r = get(k);
	const struct row *row = g_hash_table_lookup(r->rows, vm);

	if (row == NULL || row->hash != 0)
		return false;
	if (mh_now(k) - r->at_us > STALE_US + READ_US)
		return false;
	return r->at_us - row->left_us > after_us;
}

static bool
stays(struct roster *r, const struct row *row)
{
	const struct mh_peer *p;

	if (row->hash == 0 || row->vm->leaving)
		return false;
	if (strcmp(row->vm->id, r->vm) == 0)
		return !mh_member_draining(r->k);
	p = mh_member_find(r->k, row->vm->id);
	return p == NULL || !p->draining;
}

bool
mh_member_has_list(struct mh_kern *k)
{
	return get(k)->at_us >= 0;
}

bool
mh_member_dropped(struct mh_kern *k)
{
	struct roster *r = get(k);
	const struct row *row = g_hash_table_lookup(r->rows, r->vm);

	return r->self_seen && (row == NULL || row->hash == 0);
}

/** struct contest - the best of the listed VMs by rendezvous hashing. */
struct contest {
	const char *what;
	const char *role;
	const char *pool; /* NULL: any */
	const char *domain;
	const char *best;
	const char *second;
	uint64_t weight;
	uint64_t second_weight;
	uint32_t count;
	uint64_t mine; /* a weight of our own, and... */
	uint32_t before; /* ...how many have more */
};

static void
contend(struct contest *c, const char *vm)
{
	uint64_t w = mh_rendezvous(c->what, vm);

	c->count++;
	c->before += w > c->mine;
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

static void
hold(struct roster *r, struct contest *c)
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
		    !stays(r, row))
			continue;
		contend(c, row->vm->id);
	}
}

uint32_t
mh_member_entries(struct mh_kern *k)
{
	struct contest c = { .what = "", .role = "entry" };

	hold(get(k), &c);
	return MAX(c.count, 1);
}

uint32_t
mh_roster_rank(struct mh_kern *k, const char *what, uint32_t *entries)
{
	struct roster *r = get(k);
	struct contest c = { .what = what,
		.role = "entry",
		.mine = mh_rendezvous(what, r->vm) };

	hold(r, &c);
	*entries = MAX(c.count, 1);
	return r->at_us < 0 ? UINT32_MAX : c.before; /* no list was read */
}

const char *
mh_member_home(struct mh_kern *k, const char *what)
{
	struct contest c = { .what = what, .role = "entry" };

	hold(get(k), &c);
	return c.best;
}

const char *
mh_member_winner(struct mh_kern *k, const char *pool, const char *what)
{
	struct contest c = { .what = what, .role = "side", .pool = pool };

	hold(get(k), &c);
	return c.best;
}

static bool
is(const char *a, const char *b)
{
	return a != NULL && strcmp(a, b) == 0;
}

/*
 * Chosen without agreement: each process ranks the entries that it knows in
 * its domain.  Two views may give one watcher too many or too few for a
 * moment, which costs a read, not safety.  A side process watches only
 * while no entry is linked to it.
 */
bool
mh_member_watcher(struct mh_kern *k, const char *what)
{
	struct roster *r = get(k);
	struct contest c = {
		.what = what, .role = "entry", .domain = r->domain
	};

	if (r->at_us < 0)
		return true;
	if (!r->entry)
		return mh_member_links(k) == 0;
	hold(r, &c);
	return is(c.best, r->vm) || is(c.second, r->vm) || c.count < WATCHERS;
}

static void
first_entry(void *arg, struct mh_peer *p)
{
	struct mh_peer **out = arg;

	if (p->up && strcmp(p->role, "entry") == 0 && *out == NULL)
		*out = p;
}

/* Whom to ask: an entry asks its domain's watchers, a side process an entry. */
static struct mh_peer *
upstream(struct roster *r)
{
	struct contest c = {
		.what = "vmlist", .role = "entry", .domain = r->domain
	};
	struct mh_peer *found = NULL;
	const char *names[WATCHERS];

	if (!r->entry) {
		mh_member_each(r->k, first_entry, &found);
		return found;
	}
	hold(r, &c);
	names[0] = c.best;
	names[1] = c.second;
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

static void
ask(struct roster *r)
{
	int64_t now = mh_now(r->k);
	bool stale = r->at_us < 0 || now - r->at_us > STALE_US;
	struct mh_peer *p = upstream(r);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__MembersAsk m = MH__MEMBERS_ASK__INIT;

	if (now - r->asked_us < READ_US && r->asked_us != 0)
		return;
	r->asked_us = MAX(now, 1);
	if (stale || mh_member_watcher(r->k, "vmlist")) {
		mh_post(r->k, "vmlist", mh_msg_new(MH_MSG_VMLIST_ASK));
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

	r->tick = mh_timer_start(r->k, TICK_US, on_tick, r);
	ask(r);
}

static bool
in_view(const char *view, const char *pool)
{
	return view[0] == '\0' || strcmp(view, pool) == 0;
}

static uint64_t
view_hash(struct roster *r, const char *view)
{
	GHashTableIter it;
	gpointer value;
	uint64_t h = 0;

	if (view[0] == '\0')
		return r->hash;
	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct row *row = value;

		if (in_view(view, row->vm->pool))
			h ^= row->hash;
	}
	return h;
}

/* The ids that changed since the list was named @from; NULL: too long ago. */
static GHashTable *
changed_since(struct roster *r, const char *view, uint64_t from, uint64_t to)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);

	for (GList *n = r->changes.head; n != NULL && to != from; n = n->next) {
		struct change *c = n->data;

		if (!in_view(view, c->pool))
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
	vm->leaving = row->vm->leaving;
	vm->removed = row->hash == 0;
	return vm;
}

static GPtrArray *
collect(struct roster *r, const char *view, GHashTable *ids)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct row *row = value;

		if (!in_view(view, row->vm->pool))
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
	const char *view = in->members_ask->pool;
	uint64_t hash = view_hash(r, view);
	GHashTable *ids = changed_since(r, view, in->members_ask->hash, hash);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Members m = MH__MEMBERS__INIT;
	GPtrArray *list;

	if (r->at_us < 0) {
		if (ids != NULL)
			g_hash_table_destroy(ids);
		return;
	}
	list = collect(r, view, ids);
	m.seen_us_ago = (uint64_t)(mh_now(r->k) - r->at_us);
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
take_delta(struct roster *r, const Mh__Members *m, int64_t at_us)
{
	r->at_us = at_us;
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
	/* A reading older than ours tells nothing new. */
	if (at_us <= r->at_us)
		return;
	if (!m->whole) {
		take_delta(r, m, at_us);
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
	take_whole(r, vms, at_us);
	g_ptr_array_unref(vms);
}

json_t *
mh_roster_state(struct mh_kern *k)
{
	struct roster *r = get(k);

	return json_pack("{s:I, s:i, s:b}", "age_us",
	    r->at_us < 0 ? (json_int_t)-1 : (json_int_t)(mh_now(k) - r->at_us),
	    "rows", (int)g_hash_table_size(r->rows), "watching",
	    mh_member_watcher(k, "vmlist"));
}

static void
handle(void *self, struct mh_msg *m)
{
	struct roster *r = self;

	if (m->kind != MH_MSG_VMLIST)
		return;
	/* No reading changes nothing: an outage of the list stops nobody. */
	if (!m->u.vmlist.ok) {
		mh_count(r->k, "member_list_failed", 1);
		return;
	}
	take_whole(r, m->u.vmlist.vms, mh_now(r->k));
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
	r->at_us = -1;
	r->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	g_queue_init(&r->changes);
	mh_kern_add(k, "roster", r, handle, destroy);
	mh_hub_on(k, MH__FRAME__BODY_MEMBERS_ASK, on_members_ask, r);
	mh_hub_on(k, MH__FRAME__BODY_MEMBERS, on_members, r);
	r->tick = mh_timer_start(k, 0, on_tick, r);
}
