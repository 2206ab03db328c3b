/**
 * DOC: Service "http": converts HTTP requests of callers to messages for the
 * service "entry", and its replies to HTTP responses.
 */

#include "marlhoistd.h"

#include <string.h>

#define LABEL_PREFIX "marl-label-"
#define MAX_DEADLINE_MS 3600000U
/* A caller may come back so long after it was refused for memory. */
#define MEMORY_RETRY_S "1"

struct http {
	struct mh_kern *k;
	struct mh_httpd *httpd;
};

static void
add_label(void *arg, const char *name, const char *value)
{
	GHashTable *labels = arg;

	if (g_ascii_strncasecmp(name, LABEL_PREFIX, strlen(LABEL_PREFIX)) == 0)
		g_hash_table_replace(labels,
		    g_ascii_strdown(name + strlen(LABEL_PREFIX), -1),
		    g_strdup(value));
}

static void
reply_problem(struct mh_http_req *r, uint32_t status, const char *kind,
    const char *remedy)
{
	char *text = g_strdup_printf("{\"outcome\":\"not-run\",\"remedy\":"
				     "\"%s\",\"status\":%u,\"title\":\"%s\"}",
	    remedy, status, kind);
	GBytes *b = g_bytes_new_take(text, strlen(text));

	mh_req_reply(r, status, "application/problem+json", b);
	g_bytes_unref(b);
}

static bool
read_deadline(const char *text, int64_t *us)
{
	guint64 ms;

	*us = 0;
	if (text == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(
		text, 10, 1, MAX_DEADLINE_MS, &ms, NULL))
		return false;
	*us = (int64_t)ms * MH_US_PER_MS;
	return true;
}

/*
 * Asks the client to close a persistent connection while the process drains.
 * Otherwise the process closes it at exit, possibly while the next request is
 * arriving, and the caller sees a connection reset.
 */
static void
close_if_draining(struct http *h, struct mh_http_req *r)
{
	if (mh_entry_draining(h->k))
		mh_req_header_set(r, "Connection", "close");
}

/* The key of a request, or NULL. */
static const char *
key_of(const struct mh_http_req *r)
{
	static const char bearer[] = "Bearer ";
	const char *auth = mh_req_header(r, "Authorization");

	return auth != NULL && g_str_has_prefix(auth, bearer)
	    ? auth + strlen(bearer)
	    : NULL;
}

static const char *
org_of(void *arg, const struct mh_http_req *r)
{
	struct http *h = arg;
	const struct mh_decl *d = mh_conf_get(h->k);
	const char *key = key_of(r);
	const struct mh_key_match *who =
	    d == NULL || key == NULL ? NULL : mh_decl_find_key(d, key);

	return who == NULL ? NULL : who->org->name;
}

static void
on_request(void *arg, struct mh_http_req *r)
{
	struct http *h = arg;
	struct mh_msg *m;
	int64_t deadline_us;

	if (mh_admin_serve(h->k, r))
		return;
	close_if_draining(h, r);
	if (mh_req_no_memory(r)) {
		mh_req_header_set(r, "Retry-After", MEMORY_RETRY_S);
		reply_problem(
		    r, 503, "no-memory", "Send it again after Retry-After.");
		return;
	}
	if (mh_req_too_big(r)) {
		reply_problem(
		    r, 413, "body-too-large", "Send a body of at most 1 MiB.");
		return;
	}
	if (!read_deadline(
		mh_req_header(r, "Marl-Deadline-Ms"), &deadline_us)) {
		reply_problem(r, 400, "bad-deadline",
		    "Send Marl-Deadline-Ms as whole milliseconds.");
		return;
	}
	m = mh_msg_new(MH_MSG_REQUEST);
	m->u.request.id = mh_req_id(r);
	m->u.request.method = g_strdup(mh_req_method(r));
	m->u.request.path = g_strdup(mh_req_path(r));
	m->u.request.key = g_strdup(key_of(r));
	m->u.request.idempotency_key =
	    g_strdup(mh_req_header(r, "Idempotency-Key"));
	m->u.request.class_name = g_strdup(mh_req_header(r, "Marl-Class"));
	m->u.request.deadline_us = deadline_us;
	m->u.request.labels =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mh_req_each_header(r, add_label, m->u.request.labels);
	m->u.request.body = g_bytes_ref(mh_req_body(r));
	mh_post(h->k, "entry", m);
}

static void
on_disconnect(void *arg, struct mh_http_req *r)
{
	struct http *h = arg;
	struct mh_msg *m = mh_msg_new(MH_MSG_CALLER_LEFT);

	m->u.request.id = mh_req_id(r);
	mh_post(h->k, "entry", m);
}

static void
reply_body(struct mh_http_req *r, const struct mh_reply_msg *m)
{
	char seconds[16];

	if (m->retry_after_s > 0) {
		g_snprintf(seconds, sizeof(seconds), "%u", m->retry_after_s);
		mh_req_header_set(r, "Retry-After", seconds);
	}
	mh_req_reply(r, m->status,
	    m->status < 400 ? "application/json" : "application/problem+json",
	    m->body);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct http *h = self;
	const struct mh_reply_msg *p = &m->u.reply;
	struct mh_http_req *r;

	if (m->kind != MH_MSG_REPLY)
		return;
	r = mh_httpd_find(h->httpd, p->id);
	if (r == NULL) {
		mh_count(h->k, "http_reply_to_nobody", 1);
		return;
	}
	close_if_draining(h, r);
	if (!p->stream) {
		reply_body(r, p);
		return;
	}
	/* Has no effect if an earlier message started the stream. */
	mh_req_stream(r, p->status, "text/event-stream");
	mh_req_stream_add(r, p->body);
	if (p->last)
		mh_req_stream_end(r);
}

struct mh_httpd *
http_create(struct mh_loop *l, const struct mh_settings *s, GError **err)
{
	struct http *h = g_new0(struct http, 1);
	struct mh_httpd_args a = { .listen = s->http,
		.cert_file = s->cert_file,
		.key_file = s->key_file,
		.on_request = on_request,
		.on_caller_left = on_disconnect,
		.org = org_of,
		.arg = h };

	h->k = mh_loop_kern(l);
	mh_settings_holdings(s, &a.holdings);
	h->httpd = mh_httpd_create(l, &a, err);
	if (h->httpd == NULL) {
		g_free(h);
		return NULL;
	}
	mh_kern_add(h->k, "http", h, handle, g_free);
	return h->httpd;
}
