/**
 * DOC: Fakes at the interfaces of a simulated node: KV service, VM list,
 * endpoint, callers.
 */

#include "netfake.h"

#include <stdio.h>
#include <string.h>

struct value {
	GBytes *data;
	uint64_t index;
};

struct kv_wait {
	struct net_node *node;
	uint64_t incarnation;
	struct mh_kv_msg q;
	int64_t expires_us;
};

void
net_free_value(void *arg)
{
	struct value *v = arg;

	g_bytes_unref(v->data);
	g_free(v);
}

void
net_free_response(void *arg)
{
	struct net_response *a = arg;

	g_free(a->idempotency_key);

	g_string_free(a->body, TRUE);
	g_free(a);
}

void
net_free_wait(void *arg)
{
	struct kv_wait *w = arg;

	g_free(w->q.reply_to);
	g_free(w->q.name);
	g_free(w);
}

/* ---- kv ---- */

static struct mh_msg *
kv_reply(struct net *n, const struct mh_kv_msg *q)
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
		if (n->kv_truncate_doc &&
		    g_str_has_prefix(q->name, MH_CONF_DOC)) {
			n->kv_truncate_doc = false;
			g_bytes_unref(m->u.kv.value);
			m->u.kv.value = g_bytes_new_from_bytes(
			    v->data, 0, g_bytes_get_size(v->data) / 2);
		}
	}
	return m;
}

/* The service name as a constant; @from is freed with its message. */
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
	net_deliver(x, service_name(q->reply_to), m, x->net->kv_latency_us,
	    NULL, false);
}

void
net_kv_wake(struct net *n, const char *name)
{
	for (guint i = 0; i < n->kv_waits->len;) {
		struct kv_wait *w = n->kv_waits->pdata[i];

		if (name != NULL && strcmp(w->q.name, name) != 0 &&
		    w->expires_us > mh_now(n->k)) {
			i++;
			continue;
		}
		if (w->node->k != NULL &&
		    w->node->incarnation == w->incarnation) {
			if (n->kv_down)
				kv_fail(w->node, &w->q);
			else
				net_deliver(w->node,
				    service_name(w->q.reply_to),
				    kv_reply(n, &w->q), n->kv_latency_us, NULL,
				    false);
		}
		g_ptr_array_remove_index(n->kv_waits, i);
	}
}

void
net_silence_watches(struct net *n)
{
	for (guint i = 0; i < n->kv_waits->len; i++) {
		struct kv_wait *w = n->kv_waits->pdata[i];
		struct mh_msg *m = mh_msg_new(MH_MSG_KV_DONE);

		m->u.kv.op = w->q.op;
		m->u.kv.token = w->q.token;
		/* As late as if they had begun now. */
		net_deliver(w->node, service_name(w->q.reply_to), m,
		    w->q.wait_us + KV_SLACK_US, NULL, false);
	}
	g_ptr_array_set_size(n->kv_waits, 0);
}

static void
kv_store(struct net *n, const char *name, GBytes *data)
{
	struct value *v = g_new0(struct value, 1);

	v->data = g_bytes_ref(data);
	v->index = ++n->kv_index;
	g_hash_table_replace(n->kv, g_strdup(name), v);
	net_kv_wake(n, name);
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
	if (n->kv_lose_reply) {
		n->kv_lose_reply = false;
		kv_fail(x, q);
		return;
	}
	m = mh_msg_new(MH_MSG_KV_DONE);
	m->u.kv.op = q->op;
	m->u.kv.token = q->token;
	m->u.kv.ok = true;
	m->u.kv.found = ok;
	net_deliver(x, service_name(q->reply_to), m, x->net->kv_latency_us,
	    NULL, false);
}

/* A watch without a change is answered at its end. */
static void
on_wait_end(void *arg)
{
	net_kv_wake(arg, "");
}

void
net_kv_handle(void *self, struct mh_msg *m)
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
	if (q->op != MH_KV_WATCH || q->index == 0 || n->kv_no_wait ||
	    (v != NULL && v->index > q->index)) {
		net_deliver(x, service_name(q->reply_to), kv_reply(n, q),
		    KV_LATENCY_US, NULL, false);
		return;
	}
	w = g_new0(struct kv_wait, 1);
	w->node = x;
	w->incarnation = x->incarnation;
	w->q = *q;
	w->q.reply_to = g_strdup(q->reply_to);
	w->q.name = g_strdup(q->name);
	w->q.value = NULL;
	w->expires_us = mh_now(n->k) + q->wait_us;
	g_ptr_array_add(n->kv_waits, w);
	mh_timer_start(n->k, q->wait_us, on_wait_end, n);
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

void
net_vmlist_handle(void *self, struct mh_msg *in)
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
				y->domain, y->draining));
	}
	net_deliver(x, "roster", m, LIST_LATENCY_US, NULL, false);
}

/* ---- endpoint ---- */

static GBytes *
padded_body(size_t bytes)
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

	if (q->kind == MH_SERVICE && x->response_bytes > 0)
		return padded_body(x->response_bytes);
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
max_tokens(const struct mh_run_msg *q)
{
	gsize len;
	const char *data = g_bytes_get_data(q->body, &len);
	json_t *j = json_loadb(data, len, 0, NULL);
	uint32_t n =
	    (uint32_t)json_integer_value(json_object_get(j, "max_tokens"));

	json_decref(j);
	return n;
}

static GBytes *
token(const struct net_node *x, uint32_t i)
{
	char text[24] = " t";

	if (x->numbers_tokens)
		snprintf(
		    text, sizeof(text), " %" PRIu64 ".%u", x->net->runs, i + 1);
	return g_bytes_new(text, strlen(text));
}

static void
run_stream(struct net_node *x, const struct mh_run_msg *q, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		struct mh_msg *m = mh_msg_new(MH_MSG_RUN_CHUNK);

		m->u.run.run = q->run;
		m->u.run.body = token(x, i);
		net_deliver(x, "side", m, x->service_us * (i + 1) / (n + 1),
		    NULL, false);
	}
}

/*
 * Breaks the connection of every run there.  If a run gets two ends, the side
 * process ignores the second.
 */
static void
crash(struct net_node *x)
{
	x->crash_us = net_now(x->net) + NET_CRASH_DELAY_US;
	x->crash_count++;
	for (guint i = 0; i < x->active_runs->len; i++) {
		struct mh_msg *m = mh_msg_new(MH_MSG_RUN_DONE);

		m->u.run.run = g_array_index(x->active_runs, uint64_t, i);
		m->u.run.sent = m->u.run.broke = true;
		m->u.run.body = g_bytes_new("", 0);
		net_deliver(x, "side", m, NET_CRASH_DELAY_US, NULL, false);
	}
	g_array_set_size(x->active_runs, 0);
}

/*
 * Applies the crash simulation to a run that starts.  Returns true if the
 * endpoint crashes under it, so that its end is already scheduled.
 */
static bool
handle_crash(struct net_node *x, const struct mh_run_msg *q)
{
	int64_t now = net_now(x->net);
	gsize len;
	const char *data = g_bytes_get_data(q->body, &len);

	if (!x->crashes)
		return false;
	if (x->active_runs == NULL)
		x->active_runs = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	x->refuses_conn =
	    x->crash_us != 0 && now < x->crash_us + NET_RESTART_US;
	if (x->refuses_conn)
		return false;
	g_array_append_val(x->active_runs, q->run);
	if (g_strstr_len(data, (gssize)len, NET_POISON_TEXT) == NULL)
		return false;
	crash(x);
	return true;
}

void
net_endpoint_handle(void *self, struct mh_msg *in)
{
	struct net_node *x = self;
	const struct mh_run_msg *q = &in->u.run;
	struct mh_msg *m;
	gpointer runs;

	if (in->kind == MH_MSG_RUN_ABORT) {
		x->aborts++;
		return;
	}
	if (handle_crash(x, q))
		return;
	m = mh_msg_new(MH_MSG_RUN_DONE);
	m->u.run.run = q->run;
	m->u.run.sent = !x->refuses_conn;
	if (!x->refuses_conn) {
		x->runs++;
		x->net->runs++;
		if (q->key != NULL && *q->key != '\0') {
			runs = g_hash_table_lookup(x->net->runs_by_key, q->key);
			g_hash_table_replace(x->net->runs_by_key,
			    g_strdup(q->key),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(runs) + 1));
		}
		m->u.run.status = x->status == 0 ? 200 : x->status;
		m->u.run.rest_us = x->rest_us;
		m->u.run.complete = !x->truncates;
		m->u.run.body = run_body(x, q);
		if (q->kind == MH_GENERATE && x->status == 0)
			run_stream(x, q, max_tokens(q) + x->surplus_tokens);
	}
	net_deliver(
	    x, "side", m, x->refuses_conn ? 100 : x->service_us, NULL, false);
}

/* ---- http ---- */

void
net_http_handle(void *self, struct mh_msg *m)
{
	struct net_node *x = self;
	const struct mh_reply_msg *r = &m->u.reply;
	struct net_response *a = g_hash_table_lookup(x->net->responses, &r->id);
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
	if (a->idempotency_key != NULL)
		a->runs = net_runs(x->net, a->idempotency_key);
}

uint64_t
net_request(struct net_node *entry, const struct net_request_args *a)
{
	struct net *n = entry->net;
	struct mh_msg *m = mh_msg_new(MH_MSG_REQUEST);
	struct net_response *resp = g_new0(struct net_response, 1);
	const char *body = a->body == NULL ? "{\"input\":\"x\"}" : a->body;

	resp->caller = ++n->next_caller;
	resp->body = g_string_new(NULL);
	if (a->idempotency_key != NULL)
		resp->idempotency_key =
		    g_strconcat("acme/", a->idempotency_key, NULL);
	g_hash_table_insert(n->responses, &resp->caller, resp);
	m->u.request.id = resp->caller;
	m->u.request.method = g_strdup(a->method == NULL ? "POST" : a->method);
	m->u.request.path = g_strdup(a->path);
	m->u.request.key =
	    g_strdup(a->api_key == NULL ? "party-key" : a->api_key);
	m->u.request.idempotency_key = g_strdup(a->idempotency_key);
	m->u.request.class_name = g_strdup(a->class_name);
	m->u.request.deadline_us = a->deadline_us;
	m->u.request.body = g_bytes_new(body, strlen(body));
	mh_post(entry->k, "entry", m);
	return resp->caller;
}

void
net_disconnect_caller(struct net_node *entry, uint64_t caller)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_CALLER_LEFT);

	m->u.request.id = caller;
	mh_post(entry->k, "entry", m);
}

struct net_response *
net_response(struct net *n, uint64_t caller)
{
	return g_hash_table_lookup(n->responses, &caller);
}

const char *
net_response_text(struct net *n, uint64_t caller, const char *f)
{
	static char buf[512];
	struct net_response *a = net_response(n, caller);
	json_t *j = json_loads(a->body->str, 0, NULL);
	const char *t = json_string_value(json_object_get(j, f));

	g_strlcpy(buf, t == NULL ? "" : t, sizeof(buf));
	json_decref(j);
	return buf;
}

uint32_t
net_runs(struct net *n, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(n->runs_by_key, key));
}

uint32_t
net_max_runs(struct net *n)
{
	GHashTableIter it;
	gpointer v;
	uint32_t max = 0;

	g_hash_table_iter_init(&it, n->runs_by_key);
	while (g_hash_table_iter_next(&it, NULL, &v))
		max = MAX(max, GPOINTER_TO_UINT(v));
	return max;
}
