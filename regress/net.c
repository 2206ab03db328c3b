/**
 * DOC: Nodes in virtual time over small fakes.
 */

#include "net.h"

#include <stdio.h>
#include <string.h>

#define DIAL_REFUSED_US 200
#define LATE_FACTOR 40
#define LIST_ANSWER_US 1000
#define KV_ANSWER_US 2000 /* "it answers in milliseconds" */

struct end {
	struct net_node *node;
	uint64_t incarnation;
	uint64_t conn;
	bool deaf; /* frames to this end are lost */
};

struct wire {
	struct end a;
	struct end b;
	bool open;
};

struct value {
	GBytes *data;
	uint64_t index;
};

/** struct delivery - a message on its way to a node. */
struct delivery {
	struct net *net;
	struct net_node *to;
	uint64_t incarnation;
	struct wire *wire; /* frames: lost when the wire closed or fell deaf */
	bool to_a;
	const char *service;
	struct mh_msg *msg;
};

struct kv_wait {
	struct net_node *node;
	uint64_t incarnation;
	struct mh_kv_msg q;
	int64_t until_us;
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

static void
free_value(void *arg)
{
	struct value *v = arg;

	g_bytes_unref(v->data);
	g_free(v);
}

static void
free_answer(void *arg)
{
	struct net_answer *a = arg;

	g_string_free(a->body, TRUE);
	g_free(a);
}

static void
free_wait(void *arg)
{
	struct kv_wait *w = arg;

	g_free(w->q.from);
	g_free(w->q.name);
	g_free(w);
}

static void free_delivery(void *arg);

struct net *
net_create(uint32_t seed)
{
	struct net *n = g_new0(struct net, 1);

	n->k = mh_kern_create(seed);
	mh_kern_advance(n->k, 1, NET_START_WALL_US);
	n->nodes = g_ptr_array_new_with_free_func(g_free);
	n->wires = g_ptr_array_new_with_free_func(g_free);
	n->kv_waits = g_ptr_array_new_with_free_func(free_wait);
	n->answers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_answer);
	n->audit = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	n->kv =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
	n->latency_us = 300;
	n->kv_us = KV_ANSWER_US;
	n->next_incarnation = 100;
	n->under_way = g_hash_table_new_full(NULL, NULL, free_delivery, NULL);
	n->log = g_string_new(NULL);
	return n;
}

void
net_destroy(struct net *n)
{
	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *x = n->nodes->pdata[i];

		mh_kern_destroy(x->k);
	}
	mh_kern_destroy(n->k);
	g_hash_table_destroy(n->under_way);
	g_ptr_array_unref(n->nodes);
	g_ptr_array_unref(n->wires);
	g_ptr_array_unref(n->kv_waits);
	g_hash_table_destroy(n->answers);
	g_hash_table_destroy(n->audit);
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

	if (d->wire != NULL && !lost)
		lost = !d->wire->open ||
		    (d->to_a ? d->wire->a.deaf : d->wire->b.deaf);
	if (!lost) {
		mh_post(d->to->k, d->service, d->msg);
		g_hash_table_steal(d->net->under_way, d);
		g_free(d);
	} else {
		g_hash_table_remove(d->net->under_way, d);
	}
}

static void
deliver(struct net_node *to, const char *service, struct mh_msg *m,
    int64_t after_us, struct wire *wire, bool to_a)
{
	struct delivery *d = g_new0(struct delivery, 1);

	d->net = to->net;
	d->to = to;
	d->incarnation = to->incarnation;
	d->service = service;
	d->msg = m;
	d->wire = wire;
	d->to_a = to_a;
	g_hash_table_add(to->net->under_way, d);
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

static struct wire *
wire_of(struct net_node *x, uint64_t conn, bool *is_a)
{
	for (guint i = 0; i < x->net->wires->len; i++) {
		struct wire *w = x->net->wires->pdata[i];

		if (!w->open)
			continue;
		if (w->a.node == x && w->a.conn == conn &&
		    w->a.incarnation == x->incarnation) {
			*is_a = true;
			return w;
		}
		if (w->b.node == x && w->b.conn == conn &&
		    w->b.incarnation == x->incarnation) {
			*is_a = false;
			return w;
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
	struct wire *w;

	if (y == NULL) {
		deliver(x, "hub", down_msg(conn), DIAL_REFUSED_US, NULL, false);
		return;
	}
	/* A paused process accepts nothing: the dialer hears nothing. */
	if (y->paused)
		return;
	w = g_new0(struct wire, 1);
	w->open = true;
	w->a = (struct end) { x, x->incarnation, conn, false };
	w->b = (struct end) { y, y->incarnation, mh_next_id(y->k), false };
	g_ptr_array_add(n->wires, w);
	deliver(x, "hub", up_msg(conn, y, false), n->latency_us * 2, w, true);
	deliver(y, "hub", up_msg(w->b.conn, x, true), n->latency_us, w, false);
}

static void
close_end(struct wire *w, const struct end *e)
{
	(void)w;
	if (e->node->k != NULL && e->node->incarnation == e->incarnation)
		deliver(e->node, "hub", down_msg(e->conn),
		    e->node->net->latency_us, NULL, false);
}

static void
close_conn(struct net_node *x, uint64_t conn)
{
	bool is_a = false;
	struct wire *w = wire_of(x, conn, &is_a);

	if (w == NULL)
		return;
	w->open = false;
	if (!w->a.deaf && !w->b.deaf)
		close_end(w, is_a ? &w->b : &w->a);
}

static void
send_frame(struct net_node *x, const struct mh_link_msg *l)
{
	struct net *n = x->net;
	bool is_a = false;
	struct wire *w = wire_of(x, l->conn, &is_a);
	struct end *to;
	int times = 1;

	if (w == NULL)
		return;
	/* As link.c does: what is over the bound ends the connection. */
	if (g_bytes_get_size(l->frame) > MH_MAX_FRAME) {
		close_conn(x, l->conn);
		return;
	}
	to = is_a ? &w->b : &w->a;
	n->frames++;
	n->bytes += g_bytes_get_size(l->frame) + 4;
	if (n->duplicate > 0 && mh_random_unit(n->k) < n->duplicate)
		times = 2;
	for (int i = 0; i < times; i++) {
		struct mh_msg *m = mh_msg_new(MH_MSG_FRAME);
		int64_t after = n->latency_us;

		if (n->delay > 0 && mh_random_unit(n->k) < n->delay)
			after *= LATE_FACTOR;
		m->u.link.conn = to->conn;
		m->u.link.frame = g_bytes_ref(l->frame);
		deliver(to->node, "hub", m, after, w, !is_a);
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

/* ---- kv ---- */

static struct mh_msg *
kv_answer(struct net *n, const struct mh_kv_msg *q)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_KV_DONE);
	struct value *v = g_hash_table_lookup(n->kv, q->name);

	m->u.kv.op = q->op;
	m->u.kv.token = q->token;
	m->u.kv.name = g_strdup(q->name);
	m->u.kv.ok = true;
	m->u.kv.index = MAX(n->kv_index, 1);
	if (v != NULL) {
		m->u.kv.found = true;
		m->u.kv.cas = v->index;
		m->u.kv.index = v->index;
		m->u.kv.value = g_bytes_ref(v->data);
	}
	return m;
}

/* Names of services live as long as the program. */
static const char *
service_name(const char *from)
{
	static const char *const names[] = { "conf", "claim", "side" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], from) == 0)
			return names[i];
	}
	return "nobody";
}

static void
kv_fail(struct net_node *x, const struct mh_kv_msg *q)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_KV_DONE);

	m->u.kv.op = q->op;
	m->u.kv.token = q->token;
	deliver(x, service_name(q->from), m, x->net->kv_us, NULL, false);
}

static void
kv_wake(struct net *n, const char *name)
{
	for (guint i = 0; i < n->kv_waits->len;) {
		struct kv_wait *w = n->kv_waits->pdata[i];

		if (name != NULL && strcmp(w->q.name, name) != 0 &&
		    w->until_us > mh_now(n->k)) {
			i++;
			continue;
		}
		if (w->node->k != NULL &&
		    w->node->incarnation == w->incarnation) {
			if (n->kv_down)
				kv_fail(w->node, &w->q);
			else
				deliver(w->node, service_name(w->q.from),
				    kv_answer(n, &w->q), n->kv_us, NULL, false);
		}
		g_ptr_array_remove_index(n->kv_waits, i);
	}
}

static void
kv_store(struct net *n, const char *name, GBytes *data)
{
	struct value *v = g_new0(struct value, 1);

	v->data = g_bytes_ref(data);
	v->index = ++n->kv_index;
	g_hash_table_replace(n->kv, g_strdup(name), v);
	kv_wake(n, name);
}

static void
kv_put(struct net_node *x, const struct mh_kv_msg *q)
{
	struct net *n = x->net;
	struct value *v = g_hash_table_lookup(n->kv, q->name);
	struct mh_msg *m;
	bool ok = q->cas == (v == NULL ? 0 : v->index);

	if (ok)
		kv_store(n, q->name, q->value);
	if (n->kv_lose_answer) {
		n->kv_lose_answer = false;
		kv_fail(x, q);
		return;
	}
	m = mh_msg_new(MH_MSG_KV_DONE);
	m->u.kv.op = q->op;
	m->u.kv.token = q->token;
	m->u.kv.ok = true;
	m->u.kv.found = ok;
	deliver(x, service_name(q->from), m, x->net->kv_us, NULL, false);
}

static void
kv_handle(void *self, struct mh_msg *m)
{
	struct net_node *x = self;
	struct net *n = x->net;
	const struct mh_kv_msg *q = &m->u.kv;
	struct value *v;
	struct kv_wait *w;

	n->kv_calls++;
	if (n->kv_down) {
		kv_fail(x, q);
		return;
	}
	if (q->op == MH_KV_PUT) {
		kv_put(x, q);
		return;
	}
	v = g_hash_table_lookup(n->kv, q->name);
	if (q->op != MH_KV_WATCH || q->index == 0 ||
	    (v != NULL && v->index > q->index)) {
		deliver(x, service_name(q->from), kv_answer(n, q), KV_ANSWER_US,
		    NULL, false);
		return;
	}
	w = g_new0(struct kv_wait, 1);
	w->node = x;
	w->incarnation = x->incarnation;
	w->q = *q;
	w->q.from = g_strdup(q->from);
	w->q.name = g_strdup(q->name);
	w->q.value = NULL;
	w->until_us = mh_now(n->k) + q->wait_us;
	g_ptr_array_add(n->kv_waits, w);
}

void
net_apply_delta(
    struct net *n, uint64_t generation, const char *doc, const char *old)
{
	GBytes *b = g_bytes_new(doc, strlen(doc)), *head;
	GBytes *base = old == NULL ? NULL : g_bytes_new(old, strlen(old));
	char id[24], name[64];

	snprintf(id, sizeof(id), "w%" PRIu64, generation);
	snprintf(name, sizeof(name), "%s%s", MH_CONF_DOC, id);
	kv_store(n, name, b);
	head = mh_conf_head_make(generation, id, b, generation - 1, base, NULL);
	kv_store(n, MH_CONF_HEAD, head);
	g_bytes_unref(head);
	g_bytes_unref(b);
	if (base != NULL)
		g_bytes_unref(base);
}

void
net_apply(struct net *n, uint64_t generation, const char *doc)
{
	net_apply_delta(n, generation, doc, NULL);
}

/* ---- VM list ---- */

static void
vmlist_handle(void *self, struct mh_msg *in)
{
	struct net_node *x = self;
	struct net *n = x->net;
	struct mh_msg *m = mh_msg_new(MH_MSG_VMLIST);

	(void)in;
	m->u.vmlist.ok = !n->vmlist_down;
	m->u.vmlist.vms =
	    g_ptr_array_new_with_free_func((GDestroyNotify)mh_vm_free);
	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *y = n->nodes->pdata[i];

		if (y->listed)
			g_ptr_array_add(m->u.vmlist.vms,
			    mh_vm_new(y->vm, y->addr, y->role, y->pool,
				y->domain, y->leaving));
	}
	deliver(x, "roster", m, LIST_ANSWER_US, NULL, false);
}

/* ---- endpoint ---- */

static GBytes *
padded_answer(size_t bytes)
{
	GString *s = g_string_new("{\"confirmed\":true,\"pad\":\"");

	while (s->len < bytes)
		g_string_append(s, "................................");
	g_string_append(s, "\"}");
	return g_string_free_to_bytes(s);
}

static GBytes *
run_body(const struct net_node *x, const struct mh_run_msg *q)
{
	const char *text = "{\"confirmed\":true}";

	if (q->kind == MH_SERVICE && x->answer_bytes > 0)
		return padded_answer(x->answer_bytes);
	if (q->kind == MH_ENCODE)
		text = "{\"data\":[{\"embedding\":[1,2]}]}";
	else if (q->kind == MH_RETRIEVE)
		text = "{\"documents\":[{\"id\":1,\"text\":\"one\"},"
		       "{\"id\":2,\"text\":\"two\"}]}";
	else if (q->kind == MH_RERANK)
		text = "{\"results\":[{\"index\":1},{\"index\":0}]}";
	else if (q->kind == MH_GENERATE)
		text = "";
	return g_bytes_new(text, strlen(text));
}

static uint32_t
wanted_tokens(const struct mh_run_msg *q)
{
	gsize len;
	const char *data = g_bytes_get_data(q->body, &len);
	json_t *j = json_loadb(data, len, 0, NULL);
	uint32_t n =
	    (uint32_t)json_integer_value(json_object_get(j, "max_tokens"));

	json_decref(j);
	return n;
}

static void
run_stream(struct net_node *x, const struct mh_run_msg *q, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		struct mh_msg *m = mh_msg_new(MH_MSG_RUN_CHUNK);

		m->u.run.run = q->run;
		m->u.run.body = g_bytes_new(" t", 2);
		deliver(x, "side", m, x->service_us * (i + 1) / (n + 1), NULL,
		    false);
	}
}

static void
endpoint_handle(void *self, struct mh_msg *in)
{
	struct net_node *x = self;
	const struct mh_run_msg *q = &in->u.run;
	struct mh_msg *m;
	gpointer runs;

	if (in->kind == MH_MSG_RUN_ABORT) {
		x->aborts++;
		return;
	}
	m = mh_msg_new(MH_MSG_RAN);
	m->u.run.run = q->run;
	m->u.run.sent = !x->unsent;
	if (!x->unsent) {
		x->runs++;
		if (q->key != NULL && *q->key != '\0') {
			runs = g_hash_table_lookup(x->net->audit, q->key);
			g_hash_table_replace(x->net->audit, g_strdup(q->key),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
		}
		m->u.run.status = x->status == 0 ? 200 : x->status;
		m->u.run.whole = !x->cut;
		m->u.run.body = run_body(x, q);
		if (q->kind == MH_GENERATE && x->status == 0)
			run_stream(x, q, wanted_tokens(q));
	}
	deliver(x, "side", m, x->unsent ? 100 : x->service_us, NULL, false);
}

/* ---- http ---- */

static void
http_handle(void *self, struct mh_msg *m)
{
	struct net_node *x = self;
	const struct mh_reply_msg *r = &m->u.reply;
	struct net_answer *a = g_hash_table_lookup(x->net->answers, &r->id);
	gsize len;
	const char *data;

	if (a == NULL || a->ended)
		return;
	data = g_bytes_get_data(r->body, &len);
	g_string_append_len(a->body, data, (gssize)len);
	a->status = r->status;
	a->retry_after_s = r->retry_after_s;
	a->parts++;
	a->ended = r->last;
	a->at_us = mh_now(x->k);
}

uint64_t
net_request(struct net_node *entry, const struct net_ask *a)
{
	struct net *n = entry->net;
	struct mh_msg *m = mh_msg_new(MH_MSG_REQUEST);
	struct net_answer *ans = g_new0(struct net_answer, 1);
	const char *body = a->body == NULL ? "{\"input\":\"x\"}" : a->body;

	ans->caller = ++n->next_caller;
	ans->body = g_string_new(NULL);
	g_hash_table_insert(n->answers, &ans->caller, ans);
	m->u.request.id = ans->caller;
	m->u.request.method = g_strdup(a->method == NULL ? "POST" : a->method);
	m->u.request.path = g_strdup(a->path);
	m->u.request.key = g_strdup(a->key == NULL ? "party-key" : a->key);
	m->u.request.idempotency_key = g_strdup(a->once);
	m->u.request.class_asked = g_strdup(a->class_asked);
	m->u.request.deadline_us = a->deadline_us;
	m->u.request.body = g_bytes_new(body, strlen(body));
	mh_post(entry->k, "entry", m);
	return ans->caller;
}

void
net_caller_leaves(struct net_node *entry, uint64_t caller)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_GONE);

	m->u.request.id = caller;
	mh_post(entry->k, "entry", m);
}

struct net_answer *
net_answer(struct net *n, uint64_t caller)
{
	return g_hash_table_lookup(n->answers, &caller);
}

const char *
net_answer_text(struct net *n, uint64_t caller, const char *f)
{
	static char buf[512];
	struct net_answer *a = net_answer(n, caller);
	json_t *j = json_loads(a->body->str, 0, NULL);
	const char *t = json_string_value(json_object_get(j, f));

	g_strlcpy(buf, t == NULL ? "" : t, sizeof(buf));
	json_decref(j);
	return buf;
}

uint32_t
net_runs(struct net *n, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(n->audit, key));
}

uint32_t
net_most_runs(struct net *n)
{
	GHashTableIter it;
	gpointer v;
	uint32_t most = 0;

	g_hash_table_iter_init(&it, n->audit);
	while (g_hash_table_iter_next(&it, NULL, &v))
		most = MAX(most, GPOINTER_TO_UINT(v));
	return most;
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
	mh_kern_add(x->k, "kv", x, kv_handle, NULL);
	mh_kern_add(x->k, "vmlist", x, vmlist_handle, NULL);
	if (strcmp(x->role, "entry") == 0) {
		mh_kern_add(x->k, "http", x, http_handle, NULL);
		mh_entry_create(x->k, x->vm, x->domain);
		return;
	}
	mh_kern_add(x->k, "endpoint", x, endpoint_handle, NULL);
	a.incarnation = x->incarnation;
	mh_side_create(x->k, &a);
}

static void
end_wires(struct net_node *x, bool tell)
{
	for (guint i = 0; i < x->net->wires->len; i++) {
		struct wire *w = x->net->wires->pdata[i];
		bool a = w->a.node == x, b = w->b.node == x;

		if (!w->open || (!a && !b))
			continue;
		if (tell) {
			w->open = false;
			close_end(w, a ? &w->b : &w->a);
		} else {
			w->a.deaf = w->b.deaf = true;
		}
	}
}

void
net_kill(struct net_node *x)
{
	mh_kern_destroy(x->k);
	x->k = NULL;
	end_wires(x, true);
}

void
net_vanish(struct net_node *x)
{
	end_wires(x, false);
	mh_kern_destroy(x->k);
	x->k = NULL;
}

void
net_silence(struct net_node *x, bool in, bool out)
{
	for (guint i = 0; i < x->net->wires->len; i++) {
		struct wire *w = x->net->wires->pdata[i];
		struct end *self = w->a.node == x ? &w->a : &w->b;
		struct end *peer = w->a.node == x ? &w->b : &w->a;

		if (self->node != x)
			continue;
		self->deaf |= in;
		peer->deaf |= out;
	}
}

static bool
runs(const struct net_node *x)
{
	return x->k != NULL && !x->paused;
}

static int64_t
next_event(struct net *n)
{
	int64_t next = mh_kern_next(n->k);

	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *x = n->nodes->pdata[i];
		int64_t t = runs(x) ? mh_kern_next(x->k) : -1;

		if (t >= 0 && (next < 0 || t < next))
			next = t;
	}
	return next;
}

void
net_run(struct net *n, int64_t us)
{
	int64_t end = mh_now(n->k) + us;

	for (;;) {
		int64_t next = next_event(n);

		if (next < 0 || next > end)
			next = end;
		next = MAX(next, mh_now(n->k));
		mh_kern_advance(n->k, next, NET_START_WALL_US + next);
		if (n->kv_waits->len > 0 && n->kv_down)
			kv_wake(n, NULL);
		for (guint i = 0; i < n->nodes->len; i++) {
			struct net_node *x = n->nodes->pdata[i];

			if (runs(x) &&
			    (mh_kern_next(x->k) <= next &&
				mh_kern_next(x->k) >= 0))
				net_tick(x);
		}
		if (mh_now(n->k) >= end && next_event(n) > end)
			return;
		if (next_event(n) < 0 && mh_now(n->k) >= end)
			return;
	}
}
