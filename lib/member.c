/**
 * DOC: Membership: the peers of this process and the links to them.
 *
 * What is recorded of a peer has three sources: the VM list (see roster.c),
 * the peer's own reports, and whether its link makes progress.  An entry
 * links to a subset of each pool, chosen by rendezvous hashing (subset.c); a
 * side process dials only peers that mh_member_dial() was called for.
 */

#include "marlhoist.h"

#include <string.h>

#define TICK_US (50 * MH_US_PER_MS)
#define ABSENT_GRACE_US (2 * MH_US_PER_S) /* off the list: no new calls */
#define PEER_KEEP_US (120 * MH_US_PER_S) /* off the list: freed */
#define BUSY_PING_US (100 * MH_US_PER_MS) /* calls open, nothing comes in */
#define FLOW_PING_US (1 * MH_US_PER_S) /* while frames come in */
#define IDLE_PING_US (1 * MH_US_PER_S)
#define IDLE_PING_PER_LINK_US (50 * MH_US_PER_MS)
#define PING_TIMEOUT_US (200 * MH_US_PER_MS)
#define PROOF_TIMEOUT_US (300 * MH_US_PER_MS) /* first pong of a new link */
#define DIAL_TIMEOUT_US (300 * MH_US_PER_MS) /* the handshake included */
#define REDIAL_MIN_US (100 * MH_US_PER_MS)
#define REDIAL_MAX_US (2 * MH_US_PER_S)

struct listener {
	mh_link_fn fn;
	void *arg;
};

struct member {
	struct mh_kern *k;
	char *vm;
	char *domain;
	bool entry; /* an entry, not a side process */
	GHashTable *peers; /* vm -> struct mh_peer */
	GHashTable *conns; /* conn -> struct mh_peer */
	GHashTable *pools; /* name -> GPtrArray of struct mh_peer */
	GArray *listeners;
	bool draining;
	uint32_t links; /* that are up */
	struct mh_timer *tick;
};

static struct member *
get(struct mh_kern *k)
{
	return mh_kern_get(k, "member");
}

static bool
is_side(const struct mh_peer *p)
{
	return strcmp(p->role, "side") == 0;
}

static void
set_str(char **s, const char *v)
{
	if (*s != NULL && strcmp(*s, v) == 0)
		return;
	g_free(*s);
	*s = g_strdup(v);
}

static GPtrArray *
pool_of(struct member *mb, const char *pool)
{
	GPtrArray *a = g_hash_table_lookup(mb->pools, pool);

	if (a == NULL) {
		a = g_ptr_array_new();
		g_hash_table_insert(mb->pools, g_strdup(pool), a);
	}
	return a;
}

static struct mh_peer *
peer_for(struct member *mb, const char *vm, const char *role, const char *pool)
{
	struct mh_peer *p = g_hash_table_lookup(mb->peers, vm);

	if (p != NULL)
		return p;
	p = g_new0(struct mh_peer, 1);
	p->vm = g_strdup(vm);
	p->role = g_strdup(role);
	p->pool = g_strdup(pool);
	p->addr = g_strdup("");
	p->domain = g_strdup("");
	g_hash_table_insert(mb->peers, p->vm, p);
	if (is_side(p))
		g_ptr_array_add(pool_of(mb, pool), p);
	return p;
}

static void
free_peer(void *arg)
{
	struct mh_peer *p = arg;

	g_free(p->vm);
	g_free(p->addr);
	g_free(p->role);
	g_free(p->pool);
	g_free(p->domain);
	g_free(p);
}

GPtrArray *
mh_member_pool(struct mh_kern *k, const char *pool)
{
	return pool_of(get(k), pool);
}

struct mh_peer *
mh_member_find(struct mh_kern *k, const char *vm)
{
	return g_hash_table_lookup(get(k)->peers, vm);
}

struct mh_peer *
mh_member_conn(struct mh_kern *k, uint64_t conn)
{
	return g_hash_table_lookup(get(k)->conns, &conn);
}

void
mh_member_foreach(struct mh_kern *k, mh_peer_fn fn, void *arg)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, get(k)->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		fn(arg, p);
}

static bool
is_draining(const struct mh_peer *p)
{
	return p->draining || p->list_draining;
}

static bool
is_absent(struct member *mb, const struct mh_peer *p)
{
	return p->absent_since_us > 0 &&
	    mh_now(mb->k) - p->absent_since_us > ABSENT_GRACE_US;
}

static bool
domain_evacuated(struct mh_kern *k, const struct mh_peer *p)
{
	const struct mh_decl *d = mh_conf_get(k);

	return d != NULL && mh_decl_evacuated(d, p->domain);
}

bool
mh_member_usable(struct mh_kern *k, const struct mh_peer *p)
{
	bool answers = p->up && !(p->unproven && p->dial_failures > 0);

	return answers && p->in_subset && !is_draining(p) &&
	    !is_absent(get(k), p) && !domain_evacuated(k, p);
}

void
mh_member_on_link(struct mh_kern *k, mh_link_fn fn, void *arg)
{
	struct listener l = { fn, arg };

	g_array_append_val(get(k)->listeners, l);
}

static void
notify(
    struct member *mb, struct mh_peer *p, enum mh_link_event ev, uint64_t conn)
{
	for (guint i = 0; i < mb->listeners->len; i++) {
		struct listener *l =
		    &g_array_index(mb->listeners, struct listener, i);

		l->fn(l->arg, p, ev, conn);
	}
}

static void
map_conn(struct member *mb, uint64_t conn, struct mh_peer *p)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = conn;
	g_hash_table_insert(mb->conns, key, p);
}

static void
drop_conn(struct member *mb, uint64_t conn)
{
	if (conn == 0)
		return;
	g_hash_table_remove(mb->conns, &conn);
	mh_link_close(mb->k, conn);
}

static void
dial(struct member *mb, struct mh_peer *p)
{
	p->dial_conn = mh_next_id(mb->k);
	p->dialed_us = mh_now(mb->k);
	map_conn(mb, p->dial_conn, p);
	mh_link_dial(mb->k, p->dial_conn, p->addr);
}

void
mh_member_dial(struct mh_kern *k, struct mh_peer *p)
{
	p->keep_link = true;
	if (!p->up && p->dial_conn == 0 && p->addr[0] != '\0')
		dial(get(k), p);
}

/* Closes a link that answers no ping and could not be replaced. */
static void
close_silent(struct member *mb, struct mh_peer *p)
{
	drop_conn(mb, p->conn);
	p->conn = 0;
	p->up = false;
}

static void
dial_failed(struct member *mb, struct mh_peer *p)
{
	drop_conn(mb, p->dial_conn);
	p->dial_conn = 0;
	if (p->dial_failures < 16)
		p->dial_failures++;
	if (p->up && p->ping_at_us > 0)
		close_silent(mb, p);
	if (!p->up)
		notify(mb, p, MH_LINK_FAILED, 0);
}

static void
send_ping(struct member *mb, struct mh_peer *p)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Ping ping = MH__PING__INIT;

	ping.token = 1;
	f.body_case = MH__FRAME__BODY_PING;
	f.ping = &ping;
	p->ping_at_us = mh_now(mb->k);
	mh_frame_send(mb->k, p->conn, &f);
}

static void
link_up_outbound(
    struct member *mb, struct mh_peer *p, const struct mh_link_msg *l)
{
	uint64_t old = p->conn, old_inc = p->incarnation;

	/*
	 * The address of a removed VM may have been given to another VM.
	 * The hello names the VM, so no call is sent to the wrong one.
	 */
	if (strcmp(l->vm, p->vm) != 0) {
		mh_count(mb->k, "member_wrong_vm", 1);
		dial_failed(mb, p);
		return;
	}
	p->conn = l->conn;
	p->dial_conn = 0;
	p->up = true;
	p->unproven = p->ping_at_us > 0 || p->dial_failures > 0;
	p->incarnation = l->incarnation;
	p->last_rx_us = p->pong_at_us = mh_now(mb->k);
	p->ping_at_us = 0;
	if (p->unproven)
		send_ping(mb, p);
	if (old_inc != l->incarnation) {
		p->up_since_us = mh_now(mb->k);
		p->draining = false;
		p->rest_end_us = 0;
		p->fail_streak = 0;
	}
	/*
	 * Close the old link only if this process dialed it.  A link that
	 * the peer dialed is closed by the peer; otherwise two processes that
	 * dial each other would close each other's links for ever.
	 */
	if (old != 0 && old != l->conn && p->conn_outbound)
		drop_conn(mb, old);
	p->conn_outbound = true;
	notify(mb, p,
	    old_inc == 0 || old_inc == l->incarnation ? MH_LINK_UP
						      : MH_LINK_UP_RESTARTED,
	    l->conn);
}

/*
 * A peer dials again once its link is lost or silent, and the end of a silent
 * link may never arrive.  Frames of the link before may still be under way.
 */
static void
close_left(struct member *mb, struct mh_peer *p, uint64_t conn)
{
	uint64_t left = p->old_inbound;

	p->old_inbound = p->inbound;
	p->inbound = conn;
	if (left == 0 || left == p->conn)
		return;
	drop_conn(mb, left);
	if (mb->links > 0)
		mb->links--;
}

static void
link_up_inbound(struct member *mb, const struct mh_link_msg *l)
{
	struct mh_peer *p;

	if (strcmp(l->role, "ctl") == 0)
		return;
	p = peer_for(mb, l->vm, l->role, l->pool);
	set_str(&p->domain, l->domain);
	if (p->addr[0] == '\0')
		set_str(&p->addr, l->addr);
	map_conn(mb, l->conn, p);
	mb->links++;
	close_left(mb, p, l->conn);
	if (!p->up || !p->keep_link) {
		p->conn = l->conn;
		p->conn_outbound = false;
		p->up = true;
		p->unproven = false;
		p->incarnation = l->incarnation;
	}
	p->last_rx_us = mh_now(mb->k);
	notify(mb, p, MH_LINK_UP, l->conn);
}

static void
link_down(struct member *mb, uint64_t conn)
{
	struct mh_peer *p = mh_member_conn(mb->k, conn);

	if (p == NULL)
		return;
	g_hash_table_remove(mb->conns, &conn);
	if (mb->links > 0 && conn != p->dial_conn)
		mb->links--;
	if (conn == p->inbound)
		p->inbound = 0;
	if (conn == p->old_inbound)
		p->old_inbound = 0;
	if (conn == p->dial_conn) {
		dial_failed(mb, p);
		return;
	}
	if (conn != p->conn)
		return;
	p->conn = 0;
	p->up = false;
	/* Dial at once: if the peer runs, calls resume in a round trip. */
	if ((p->in_subset || p->keep_link) && p->dial_conn == 0 &&
	    mh_now(mb->k) - p->dialed_us > REDIAL_MIN_US)
		dial(mb, p);
}

void
mh_member_link_changed(struct mh_kern *k, struct mh_msg *m)
{
	struct member *mb = get(k);
	const struct mh_link_msg *l = &m->u.link;
	struct mh_peer *p;

	if (m->kind == MH_MSG_LINK_DOWN) {
		link_down(mb, l->conn);
		return;
	}
	if (l->inbound) {
		link_up_inbound(mb, l);
		return;
	}
	p = mh_member_conn(k, l->conn);
	if (p == NULL || p->dial_conn != l->conn)
		mh_link_close(k, l->conn);
	else
		link_up_outbound(mb, p, l);
}

void
mh_member_rx(struct mh_kern *k, uint64_t conn, const Mh__Frame *f)
{
	struct mh_peer *p = mh_member_conn(k, conn);

	if (p == NULL)
		return;
	p->last_rx_us = mh_now(k);
	if (f->body_case == MH__FRAME__BODY_PONG) {
		p->pong_at_us = mh_now(k);
		p->ping_at_us = 0;
		p->dial_failures = 0;
		p->unproven = false;
	}
	if (f->load != NULL)
		mh_route_load(k, p, f->load);
}

static bool
ping_due(struct member *mb, const struct mh_peer *p)
{
	int64_t now = mh_now(mb->k);

	if (p->own_calls > 0)
		return now - p->last_rx_us > BUSY_PING_US ||
		    now - p->pong_at_us > FLOW_PING_US;
	return now - p->pong_at_us >
	    MAX(IDLE_PING_US, mb->links * IDLE_PING_PER_LINK_US);
}

/*
 * A handshake proves a link for no longer than itself: where every link opens
 * and then goes silent, a peer that counted as linked again after each kept its
 * calls until their deadlines.
 */
static void
unproven_failed(struct member *mb, struct mh_peer *p)
{
	mh_count(mb->k, "member_unproven_links", 1);
	if (p->dial_failures < 16)
		p->dial_failures++;
	close_silent(mb, p);
	notify(mb, p, MH_LINK_FAILED, 0);
}

/*
 * A TCP connection can stop passing data without an error, also in one
 * direction only, if a device on the path drops its state.  Incoming frames
 * do not prove that outgoing ones arrive, so only the pong to a ping counts.
 * Without one for PING_TIMEOUT_US a second link is opened.  Open calls resume
 * there by id, so that none is lost or run twice.
 */
static void
check_link(struct member *mb, struct mh_peer *p)
{
	if (p->ping_at_us == 0) {
		if (ping_due(mb, p))
			send_ping(mb, p);
		return;
	}
	if (mh_now(mb->k) - p->ping_at_us <=
		(p->unproven ? PROOF_TIMEOUT_US : PING_TIMEOUT_US) ||
	    p->dial_conn != 0)
		return;
	if (p->unproven) {
		unproven_failed(mb, p);
		return;
	}
	mh_count(mb->k, "member_silent_links", 1);
	mh_log(mb->k, "member", "No pong on the link, dialing again: vm=%s.",
	    p->vm);
	dial(mb, p);
}

static int64_t
redial_delay_us(struct member *mb, const struct mh_peer *p)
{
	int64_t max_us =
	    MIN(REDIAL_MIN_US << MIN(p->dial_failures, 5U), REDIAL_MAX_US);
	int64_t half_us = max_us / 2;

	return half_us + (int64_t)(mh_random_unit(mb->k) * (double)half_us);
}

static void
maintain_peer(void *arg, struct mh_peer *p)
{
	struct member *mb = arg;
	int64_t now = mh_now(mb->k);

	if (p->dial_conn != 0 && now - p->dialed_us > DIAL_TIMEOUT_US) {
		dial_failed(mb, p);
		return;
	}
	if (!p->in_subset && !p->keep_link)
		return;
	if (p->up)
		check_link(mb, p);
	else if (p->dial_conn == 0 && p->listed &&
	    now - p->dialed_us > redial_delay_us(mb, p))
		dial(mb, p);
}

/* Applies the choice of the subset: opens or closes the link to @p. */
static void
set_wanted(void *arg, struct mh_peer *p, bool wanted)
{
	struct member *mb = arg;

	p->in_subset = wanted;
	if (wanted && !p->up && p->dial_conn == 0 && p->listed)
		dial(mb, p);
	/* Never close a link that still carries calls. */
	if (!wanted && !p->keep_link && p->up && p->own_calls == 0) {
		drop_conn(mb, p->conn);
		p->conn = 0;
		p->up = false;
	}
}

static void
count_links(void *arg, struct mh_peer *p)
{
	struct member *mb = arg;

	mb->links += p->up;
}

void
mh_member_vm_listed(struct mh_kern *k, const struct mh_vm *vm)
{
	struct member *mb = get(k);
	struct mh_peer *p = peer_for(mb, vm->id, vm->role, vm->pool);

	if (strcmp(p->addr, vm->addr) != 0) {
		set_str(&p->addr, vm->addr);
		p->dial_failures = 0;
	}
	set_str(&p->domain, vm->domain);
	p->listed = true;
	p->list_draining = vm->draining;
	p->absent_since_us = 0;
}

void
mh_member_vm_unlisted(struct mh_kern *k, const char *vm)
{
	struct mh_peer *p = mh_member_find(k, vm);

	if (p == NULL)
		return;
	p->listed = false;
	p->absent_since_us = MAX(mh_now(k), 1);
	mh_log(k, "member", "VM is no longer on the VM list: vm=%s.", vm);
}

static gboolean
is_conn_of(gpointer key, gpointer value, gpointer peer)
{
	(void)key;
	return value == peer;
}

static gboolean
peer_expired(gpointer key, gpointer value, gpointer arg)
{
	struct mh_peer *p = value;
	struct member *mb = arg;

	(void)key;
	if (p->up || p->dial_conn != 0 || p->calls != NULL ||
	    p->own_calls > 0 || p->absent_since_us == 0 ||
	    mh_now(mb->k) - p->absent_since_us < PEER_KEEP_US)
		return FALSE;
	g_ptr_array_remove(pool_of(mb, p->pool), p);
	g_hash_table_foreach_remove(mb->conns, is_conn_of, p);
	return TRUE;
}

void
mh_member_refresh(struct mh_kern *k)
{
	struct member *mb = get(k);
	struct mh_subset_args args = { .vm = mb->vm,
		.domain = mb->domain,
		.entries = mh_member_entry_count(k) };
	GHashTableIter it;
	gpointer pool;

	g_hash_table_foreach_remove(mb->peers, peer_expired, mb);
	if (!mb->entry)
		return;
	g_hash_table_iter_init(&it, mb->pools);
	while (g_hash_table_iter_next(&it, NULL, &pool))
		mh_subset_choose(&args, pool, set_wanted, mb);
}

uint32_t
mh_member_link_count(struct mh_kern *k)
{
	return get(k)->links;
}

bool
mh_member_draining(struct mh_kern *k)
{
	return get(k)->draining;
}

static void
on_tick(void *arg)
{
	struct member *mb = arg;

	mh_timer_set(mb->k, &mb->tick, TICK_US, on_tick, mb);
	if (mb->entry) {
		mb->links = 0;
		mh_member_foreach(mb->k, count_links, mb);
	}
	mh_member_foreach(mb->k, maintain_peer, mb);
}

static void
on_ping(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct member *mb = arg;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Pong pong = MH__PONG__INIT;
	Mh__Load load = MH__LOAD__INIT;
	uint64_t wait_us[MH_PRIORITIES];

	/* Token 0: the frame carries a generation only and needs no pong. */
	if (in->ping->token == 0)
		return;
	pong.token = in->ping->token;
	f.body_case = MH__FRAME__BODY_PONG;
	f.pong = &pong;
	if (mh_side_load(mb->k, &load, wait_us))
		f.load = &load;
	mh_frame_send(mb->k, conn, &f);
}

static void
on_drain(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct member *mb = arg;
	struct mh_peer *p = mh_member_conn(mb->k, conn);

	if (p == NULL || p->draining == (bool)f->drain->leaving)
		return;
	p->draining = f->drain->leaving;
	mh_log(mb->k, "member", "Peer is draining: vm=%s.", p->vm);
}

static void
send_drain(void *arg, struct mh_peer *p)
{
	struct member *mb = arg;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Drain d = MH__DRAIN__INIT;

	if (!p->up)
		return;
	d.leaving = true;
	f.body_case = MH__FRAME__BODY_DRAIN;
	f.drain = &d;
	mh_frame_send(mb->k, p->conn, &f);
}

void
mh_member_drain(struct mh_kern *k)
{
	get(k)->draining = true;
	mh_member_foreach(k, send_drain, get(k));
}

static void
on_link(void *arg, struct mh_peer *p, enum mh_link_event ev, uint64_t conn)
{
	struct member *mb = arg;

	(void)conn;
	if (mb->draining && ev != MH_LINK_FAILED)
		send_drain(mb, p);
}

static void
add_state(void *arg, struct mh_peer *p)
{
	json_t *o = json_pack(
	    "{s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:i, s:i, s:i, s:I}", "vm",
	    p->vm, "role", p->role, "pool", p->pool, "up", p->up, "listed",
	    p->listed, "leaving", is_draining(p), "wanted", p->in_subset, "own",
	    (int)p->own_calls, "running", (int)p->load_running, "queued",
	    (int)p->load_queued, "ewma_us", (json_int_t)p->ewma_us);

	json_array_append_new(arg, o);
}

json_t *
mh_member_state(struct mh_kern *k)
{
	struct member *mb = get(k);
	json_t *peers = json_array();

	mh_member_foreach(k, add_state, peers);
	return json_pack("{s:b, s:i, s:o}", "draining", mb->draining, "links",
	    (int)mb->links, "peers", peers);
}

static void
destroy(void *self)
{
	struct member *mb = self;

	mh_timer_stop(mb->k, &mb->tick);
	g_hash_table_destroy(mb->conns);
	g_hash_table_destroy(mb->pools);
	g_hash_table_destroy(mb->peers);
	g_array_free(mb->listeners, TRUE);
	g_free(mb->vm);
	g_free(mb->domain);
	g_free(mb);
}

void
mh_member_create(
    struct mh_kern *k, const char *vm, const char *domain, const char *role)
{
	struct member *mb = g_new0(struct member, 1);

	mb->k = k;
	mb->vm = g_strdup(vm);
	mb->domain = g_strdup(domain);
	mb->entry = strcmp(role, "entry") == 0;
	mb->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	mb->conns =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	mb->pools = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	mb->listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
	mh_kern_add(k, "member", mb, NULL, destroy);
	mh_hub_set_handler(k, MH__FRAME__BODY_DRAIN, on_drain, mb);
	mh_hub_set_handler(k, MH__FRAME__BODY_PING, on_ping, mb);
	mh_member_on_link(k, on_link, mb);
	mh_timer_set(k, &mb->tick, 0, on_tick, mb);
}
