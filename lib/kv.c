/**
 * DOC: Service "kv": client of the platform's key-value service, which has the
 * HTTP interface of the Consul KV store.  A watch is a blocking query, a write
 * is a compare-and-swap (?cas=).
 */

#include "marlhoist.h"

#include <string.h>

#define CALL_US (2 * MH_US_PER_S)
/* Beyond the wait, to which the service adds up to a sixteenth. */
#define WATCH_SLACK_US (2 * MH_US_PER_S)

struct kv {
	struct mh_kern *k;
	struct mh_client *client;
	char *url;
};

struct request {
	struct kv *kv;
	struct mh_kv_msg q; /* owns its strings */
};

/* The JSON text is [{"ModifyIndex": N, "Value": base64}]. */
GBytes *
mh_kv_value(const void *data, size_t len, uint64_t *cas)
{
	json_t *a = json_loadb(data, len, 0, NULL);
	json_t *o = json_array_get(a, 0);
	json_t *index = json_object_get(o, "ModifyIndex");
	const char *value = json_string_value(json_object_get(o, "Value"));
	GBytes *out = NULL;
	gsize n;

	if (value != NULL && json_is_integer(index)) {
		guchar *raw = g_base64_decode(value, &n);

		out = g_bytes_new_take(raw, n);
		*cas = (uint64_t)json_integer_value(index);
	}
	json_decref(a);
	return out;
}

static void
fill(struct mh_kv_msg *out, const struct request *r,
    const struct mh_http_done *d)
{
	gsize len;
	const char *data = g_bytes_get_data(d->body, &len);

	out->index = d->index;
	out->cas = 0;
	if (!d->complete)
		return;
	if (r->q.op == MH_KV_PUT || r->q.op == MH_KV_DELETE) {
		out->ok = d->status == 200;
		out->found =
		    out->ok && len >= 4 && memcmp(data, "true", 4) == 0;
	} else if (d->status == 404) {
		out->ok = true;
	} else if (d->status == 200) {
		out->value = mh_kv_value(data, len, &out->cas);
		out->found = out->ok = out->value != NULL;
	}
}

static void
on_done(void *arg, const struct mh_http_done *d)
{
	struct request *r = arg;
	struct mh_msg *m = mh_msg_new(MH_MSG_KV_DONE);

	m->u.kv.op = r->q.op;
	m->u.kv.token = r->q.token;
	m->u.kv.name = g_strdup(r->q.name);
	fill(&m->u.kv, r, d);
	mh_post(r->kv->k, r->q.reply_to, m);
	g_free(r->q.reply_to);
	g_free(r->q.name);
	g_free(r);
}

static char *
make_url(const struct kv *kv, const struct mh_kv_msg *q)
{
	char *name = g_uri_escape_string(q->name, "/", FALSE), *url;

	switch (q->op) {
	case MH_KV_PUT:
	case MH_KV_DELETE:
		url = g_strdup_printf(
		    "%s/v1/kv/%s?cas=%" PRIu64, kv->url, name, q->cas);
		break;
	case MH_KV_WATCH:
		if (q->index > 0) {
			url = g_strdup_printf("%s/v1/kv/%s?index=%" PRIu64
					      "&wait=%" PRId64 "ms",
			    kv->url, name, q->index,
			    (int64_t)(q->wait_us / MH_US_PER_MS));
			break;
		}
		/* FALLTHROUGH */
	default:
		url = g_strdup_printf("%s/v1/kv/%s", kv->url, name);
		break;
	}
	g_free(name);
	return url;
}

static void
handle(void *self, struct mh_msg *m)
{
	struct kv *kv = self;
	const struct mh_kv_msg *q = &m->u.kv;
	struct mh_http_call call = { .method = "GET", .timeout_us = CALL_US };
	struct request *r;
	char *url;

	if (m->kind != MH_MSG_KV)
		return;
	r = g_new0(struct request, 1);
	r->kv = kv;
	r->q.op = q->op;
	r->q.token = q->token;
	r->q.reply_to = g_strdup(q->reply_to);
	r->q.name = g_strdup(q->name);
	if (q->op == MH_KV_PUT) {
		call.method = "PUT";
		call.body = q->value;
		/* A resent write could undo another client's write. */
		call.once = true;
	} else if (q->op == MH_KV_DELETE) {
		call.method = "DELETE";
	} else if (q->op == MH_KV_WATCH && q->index > 0) {
		call.timeout_us = q->wait_us + WATCH_SLACK_US;
	}
	url = make_url(kv, q);
	call.url = url;
	mh_count(kv->k, "kv_calls", 1);
	mh_client_start(kv->client, &call, NULL, on_done, r);
	g_free(url);
}

static void
destroy(void *self)
{
	struct kv *kv = self;

	g_free(kv->url);
	g_free(kv);
}

void
mh_kv_create(struct mh_kern *k, struct mh_client *c, const char *url)
{
	struct kv *kv = g_new0(struct kv, 1);

	kv->k = k;
	kv->client = c;
	kv->url = g_strdup(url);
	mh_kern_add(k, "kv", kv, handle, destroy);
}
