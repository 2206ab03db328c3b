/**
 * DOC: Nodes in virtual time, connected by simulated links.
 */

#include "netfake.h"

#include <stdio.h>
#include <string.h>

#define DIAL_REFUSED_US 200
#define DELAY_FACTOR 40

struct link_end {
	struct net_node *node;
	uint64_t incarnation;
	uint64_t conn;
	bool rx_dropped; /* frames to this end are dropped */
};

/** struct net_link - a link between two nodes. */
struct net_link {
	struct link_end a;
	struct link_end b;
	bool open;
};

/** struct delivery - a message on its way to a node. */
struct delivery {
	struct net *net;
	struct net_node *to;
	uint64_t incarnation;
	struct net_link *link; /* that it passes; NULL: none */
	bool to_a;
	const char *service;
	struct mh_msg *msg;
};

const char net_doc[] =
    "policy: {retention_ms: 60000, vm_gone_ms: 5000, clock_skew_ms: 500}\n"
    "classes:\n"
    "  - {name: urgent, priority: 0, deadline_ms: 2000}\n"
    "  - {name: interactive, priority: 1, deadline_ms: 4000, share: 0.1}\n"
    "  - {name: batch, priority: 2, deadline_ms: 10000}\n"
    "pools:\n"
    "  - {name: enc, kind: encode}\n"
    "  - {name: ret, kind: retrieve}\n"
    "  - {name: rer, kind: rerank}\n"
    "  - {name: llm, kind: generate}\n"
    "  - {name: book, kind: service}\n"
    "pipelines:\n"
    "  - name: plan\n"
    "    stages:\n"
    "      - {name: encode, kind: encode, pool: enc, repeat: safe}\n"
    "      - {name: retrieve, kind: retrieve, pool: ret, repeat: safe}\n"
    "      - {name: rerank, kind: rerank, pool: rer, repeat: safe}\n"
    "      - {name: generate, kind: generate, pool: llm, repeat: safe}\n"
    "  - name: embed\n"
    "    stages:\n"
    "      - {name: encode, kind: encode, pool: enc, repeat: safe}\n"
    "  - name: confirm\n"
    "    stages:\n"
    "      - {name: confirm, kind: service, pool: book, path: /c,"
    " repeat: never}\n"
    "rules:\n"
    "  - {name: closed, when: {class: [batch], pipeline: confirm},"
    " then: {refuse: \"confirmations are never batch\"}}\n"
    "  - {name: first, when: {pipeline: [confirm]}, then: {class: urgent}}\n"
    "  - {name: waits, when: {class: [batch]}, then: {class: batch}}\n"
    "  - {name: rest, then: {class: interactive}}\n"
    "organisations:\n"
    "  - {name: acme, weight: 1, keys: [{hash: "
    "bfcc949ea2794bc933d0265e2f9fde77b1b5235f7ce8a3ba8980471fdbe32d4c}]}\n"
    "  - {name: volt, weight: 2, keys: [{hash: "
    "8d609b752e134ab9185e84509f9fb48797c74dc0d23dc256c63fe09411081e55}]}\n";

char *
net_doc_with(const char *policy)
{
	const char *rest = strchr(net_doc, '\n') + 1;

	return g_strdup_printf("policy: {%s}\n%s", policy, rest);
}

int64_t
net_now(const struct net *n)
{
	return mh_now(n->k);
}

static void free_delivery(void *arg);

struct net *
net_create(uint32_t seed)
{
	struct net *n = g_new0(struct net, 1);

	n->k = mh_kern_create(seed);
	mh_kern_advance(n->k, 1, NET_START_WALL_US);
	n->nodes = g_ptr_array_new_with_free_func(g_free);
	n->links = g_ptr_array_new_with_free_func(g_free);
	n->kv_waits = g_ptr_array_new_with_free_func(net_free_wait);
	n->responses = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, net_free_response);
	n->runs_by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	n->kv = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, net_free_value);
	n->latency_us = 300;
	n->kv_latency_us = KV_LATENCY_US;
	n->next_incarnation = 100;
	n->in_flight = g_hash_table_new_full(NULL, NULL, free_delivery, NULL);
	n->log = g_string_new(NULL);
	return n;
}

void
net_destroy(struct net *n)
{
	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *x = n->nodes->pdata[i];

		mh_kern_destroy(x->k);
		if (x->active_runs != NULL)
			g_array_free(x->active_runs, TRUE);
	}
	mh_kern_destroy(n->k);
	g_hash_table_destroy(n->in_flight);
	g_ptr_array_unref(n->nodes);
	g_ptr_array_unref(n->links);
	g_ptr_array_unref(n->kv_waits);
	g_hash_table_destroy(n->responses);
	g_hash_table_destroy(n->runs_by_key);
	g_hash_table_destroy(n->kv);
	g_string_free(n->log, TRUE);
	g_free(n);
}

static void
free_delivery(void *arg)
{
	struct delivery *d = arg;

	mh_msg_free(d->msg);
	g_free(d);
}

static void
arrive(void *arg)
{
	struct delivery *d = arg;
	bool lost = d->to->k == NULL || d->to->incarnation != d->incarnation;

	if (d->link != NULL && !lost)
		lost = !d->link->open ||
		    (d->to_a ? d->link->a.rx_dropped : d->link->b.rx_dropped);
	if (!lost) {
		mh_post(d->to->k, d->service, d->msg);
		g_hash_table_steal(d->net->in_flight, d);
		g_free(d);
	} else {
		g_hash_table_remove(d->net->in_flight, d);
	}
}

void
net_deliver(struct net_node *to, const char *service, struct mh_msg *m,
    int64_t after_us, struct net_link *link, bool to_a)
{
	struct delivery *d = g_new0(struct delivery, 1);

	d->net = to->net;
	d->to = to;
	d->incarnation = to->incarnation;
	d->service = service;
	d->msg = m;
	d->link = link;
	d->to_a = to_a;
	g_hash_table_add(to->net->in_flight, d);
	mh_timer_start(to->net->k, after_us, arrive, d);
}

/* ---- link ---- */

static struct net_node *
node_at(struct net *n, const char *addr)
{
	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *x = n->nodes->pdata[i];

		if (strcmp(x->addr, addr) == 0 && x->k != NULL)
			return x;
	}
	return NULL;
}

static struct net_link *
link_of(struct net_node *x, uint64_t conn, bool *is_a)
{
	for (guint i = 0; i < x->net->links->len; i++) {
		struct net_link *nl = x->net->links->pdata[i];

		if (!nl->open)
			continue;
		if (nl->a.node == x && nl->a.conn == conn &&
		    nl->a.incarnation == x->incarnation) {
			*is_a = true;
			return nl;
		}
		if (nl->b.node == x && nl->b.conn == conn &&
		    nl->b.incarnation == x->incarnation) {
			*is_a = false;
			return nl;
		}
	}
	return NULL;
}

static struct mh_msg *
up_msg(uint64_t conn, const struct net_node *peer, bool inbound)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_UP);

	m->u.link.conn = conn;
	m->u.link.inbound = inbound;
	m->u.link.vm = g_strdup(peer->vm);
	m->u.link.addr = g_strdup(peer->addr);
	m->u.link.domain = g_strdup(peer->domain);
	m->u.link.role = g_strdup(peer->role);
	m->u.link.pool = g_strdup(peer->pool);
	m->u.link.incarnation = peer->incarnation;
	return m;
}

static struct mh_msg *
down_msg(uint64_t conn)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_DOWN);

	m->u.link.conn = conn;
	return m;
}

static void
dial(struct net_node *x, uint64_t conn, const char *addr)
{
	struct net *n = x->net;
	struct net_node *y = node_at(n, addr);
	struct net_link *nl;

	if (y == NULL) {
		net_deliver(
		    x, "hub", down_msg(conn), DIAL_REFUSED_US, NULL, false);
		return;
	}
	/* A paused process accepts nothing: the dialer gets no event. */
	if (y->paused)
		return;
	nl = g_new0(struct net_link, 1);
	nl->open = true;
	nl->a = (struct link_end) { x, x->incarnation, conn, false };
	nl->b =
	    (struct link_end) { y, y->incarnation, mh_next_id(y->k), false };
	g_ptr_array_add(n->links, nl);
	net_deliver(
	    x, "hub", up_msg(conn, y, false), n->latency_us * 2, nl, true);
	net_deliver(
	    y, "hub", up_msg(nl->b.conn, x, true), n->latency_us, nl, false);
}

static void
close_end(struct net_link *nl, const struct link_end *e)
{
	(void)nl;
	if (e->node->k != NULL && e->node->incarnation == e->incarnation)
		net_deliver(e->node, "hub", down_msg(e->conn),
		    e->node->net->latency_us, NULL, false);
}

static void
close_conn(struct net_node *x, uint64_t conn)
{
	bool is_a = false;
	struct net_link *nl = link_of(x, conn, &is_a);

	if (nl == NULL)
		return;
	nl->open = false;
	if (!nl->a.rx_dropped && !nl->b.rx_dropped && !nl->a.node->dials_only &&
	    !nl->b.node->dials_only)
		close_end(nl, is_a ? &nl->b : &nl->a);
}

static void
send_frame(struct net_node *x, const struct mh_link_msg *l)
{
	struct net *n = x->net;
	bool is_a = false;
	struct net_link *nl = link_of(x, l->conn, &is_a);
	struct link_end *to;
	int times = 1;

	if (nl == NULL)
		return;
	/* As in link.c: a frame over the bound closes the connection. */
	if (g_bytes_get_size(l->frame) > MH_MAX_FRAME) {
		close_conn(x, l->conn);
		return;
	}
	to = is_a ? &nl->b : &nl->a;
	if (x->dials_only || to->node->dials_only)
		return;
	n->frames++;
	n->bytes += g_bytes_get_size(l->frame) + 4;
	if (n->duplicate_share > 0 && mh_random_unit(n->k) < n->duplicate_share)
		times = 2;
	for (int i = 0; i < times; i++) {
		struct mh_msg *m = mh_msg_new(MH_MSG_FRAME);
		int64_t after = n->latency_us;

		if (n->delay_share > 0 && mh_random_unit(n->k) < n->delay_share)
			after *= DELAY_FACTOR;
		m->u.link.conn = to->conn;
		m->u.link.frame = g_bytes_ref(l->frame);
		net_deliver(to->node, "hub", m, after, nl, !is_a);
	}
}

static void
link_handle(void *self, struct mh_msg *m)
{
	struct net_node *x = self;

	switch (m->kind) {
	case MH_MSG_LINK_DIAL:
		dial(x, m->u.link.conn, m->u.link.addr);
		break;
	case MH_MSG_LINK_SEND:
		send_frame(x, &m->u.link);
		break;
	default:
		close_conn(x, m->u.link.conn);
		break;
	}
}

/* ---- nodes ---- */

static struct net_node *
new_node(struct net *n, const char *vm, const char *role, const char *pool,
    const char *domain)
{
	struct net_node *x = g_new0(struct net_node, 1);

	x->net = n;
	g_strlcpy(x->vm, vm, sizeof(x->vm));
	g_strlcpy(x->role, role, sizeof(x->role));
	g_strlcpy(x->pool, pool, sizeof(x->pool));
	g_strlcpy(x->domain, domain, sizeof(x->domain));
	snprintf(x->addr, sizeof(x->addr), "10.0.%u.%u:1", n->nodes->len / 250,
	    n->nodes->len % 250 + 1);
	x->listed = true;
	x->service_us = 10000;
	g_ptr_array_add(n->nodes, x);
	return x;
}

struct net_node *
net_side(struct net *n, const char *vm, const char *pool, const char *domain,
    uint32_t slots)
{
	struct net_node *x = new_node(n, vm, "side", pool, domain);

	x->slots = slots;
	net_start(x);
	return x;
}

struct net_node *
net_entry(struct net *n, const char *vm, const char *domain)
{
	struct net_node *x = new_node(n, vm, "entry", "", domain);

	net_start(x);
	return x;
}

static void
log_line(void *arg, const char *part, const char *line)
{
	struct net_node *x = arg;

	if (x->net->log_on)
		g_string_append_printf(x->net->log, "%8.3f %s %s: %s\n",
		    (double)mh_now(x->net->k) / MH_US_PER_S, x->vm, part, line);
}

void
net_tick(struct net_node *x)
{
	mh_kern_advance(x->k, mh_now(x->net->k),
	    NET_START_WALL_US + mh_now(x->net->k) + x->skew_us);
}

void
net_start(struct net_node *x)
{
	struct net *n = x->net;
	struct mh_side_args a = { .vm = x->vm,
		.domain = x->domain,
		.pool = x->pool,
		.slots = x->slots,
		.queue_limit = 64 };

	x->incarnation = ++n->next_incarnation;
	x->k = mh_kern_create((uint32_t)(mh_random(n->k)));
	mh_kern_set_log(x->k, log_line, x);
	net_tick(x);
	mh_kern_add(x->k, "link", x, link_handle, NULL);
	mh_kern_add(x->k, "kv", x, net_kv_handle, NULL);
	mh_kern_add(x->k, "vmlist", x, net_vmlist_handle, NULL);
	if (strcmp(x->role, "entry") == 0) {
		mh_kern_add(x->k, "http", x, net_http_handle, NULL);
		mh_entry_create(x->k, x->vm, x->domain);
		return;
	}
	mh_kern_add(x->k, "endpoint", x, net_endpoint_handle, NULL);
	a.incarnation = x->incarnation;
	mh_side_create(x->k, &a);
}

/* Without @report the links stay open and drop every frame. */
static void
drop_links(struct net_node *x, bool report)
{
	for (guint i = 0; i < x->net->links->len; i++) {
		struct net_link *nl = x->net->links->pdata[i];
		bool a = nl->a.node == x, b = nl->b.node == x;

		if (!nl->open || (!a && !b))
			continue;
		if (report) {
			nl->open = false;
			close_end(nl, a ? &nl->b : &nl->a);
		} else {
			nl->a.rx_dropped = nl->b.rx_dropped = true;
		}
	}
}

void
net_kill(struct net_node *x)
{
	mh_kern_destroy(x->k);
	x->k = NULL;
	drop_links(x, true);
}

void
net_crash_vm(struct net_node *x)
{
	drop_links(x, false);
	mh_kern_destroy(x->k);
	x->k = NULL;
}

void
net_drop_frames(struct net_node *x, bool in, bool out)
{
	for (guint i = 0; i < x->net->links->len; i++) {
		struct net_link *nl = x->net->links->pdata[i];
		struct link_end *self = nl->a.node == x ? &nl->a : &nl->b;
		struct link_end *peer = nl->a.node == x ? &nl->b : &nl->a;

		if (self->node != x)
			continue;
		self->rx_dropped |= in;
		peer->rx_dropped |= out;
	}
}

void
net_break_links(struct net_node *x)
{
	for (guint i = 0; i < x->net->links->len; i++) {
		struct net_link *nl = x->net->links->pdata[i];

		if (!nl->open || (nl->a.node != x && nl->b.node != x))
			continue;
		nl->open = false;
		close_end(nl, &nl->a);
		close_end(nl, &nl->b);
	}
}

static bool
is_running(const struct net_node *x)
{
	return x->k != NULL && !x->paused;
}

static int64_t
next_event(struct net *n)
{
	int64_t next = mh_kern_next_us(n->k);

	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *x = n->nodes->pdata[i];
		int64_t t = is_running(x) ? mh_kern_next_us(x->k) : -1;

		if (t >= 0 && (next < 0 || t < next))
			next = t;
	}
	return next;
}

void
net_run(struct net *n, int64_t us)
{
	int64_t end_us = mh_now(n->k) + us;

	for (;;) {
		int64_t next = next_event(n);

		if (next < 0 || next > end_us)
			next = end_us;
		next = MAX(next, mh_now(n->k));
		mh_kern_advance(n->k, next, NET_START_WALL_US + next);
		if (n->kv_waits->len > 0 && n->kv_down)
			net_kv_wake(n, NULL);
		for (guint i = 0; i < n->nodes->len; i++) {
			struct net_node *x = n->nodes->pdata[i];

			if (is_running(x) &&
			    (mh_kern_next_us(x->k) <= next &&
				mh_kern_next_us(x->k) >= 0))
				net_tick(x);
		}
		if (mh_now(n->k) >= end_us && next_event(n) > end_us)
			return;
		if (next_event(n) < 0 && mh_now(n->k) >= end_us)
			return;
	}
}
