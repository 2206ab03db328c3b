/**
 * DOC: Stand-in for the platform: a KV service with the HTTP interface of
 * Consul (?cas=, blocking queries) and a VM list that is updated with a delay.
 * Tests can inject outages, delays and lost responses to writes that took
 * effect.
 */

#include "marlstand.h"

#include <string.h>

#define KV_PREFIX "/v1/kv/"
#define DEFAULT_DELAY_US 2000 /* the platform responds in milliseconds */
#define MAX_WAIT_US (60 * MH_US_PER_S)
#define MAX_VALUE_BYTES (1U << 20)

struct value {
	GBytes *data;
	uint64_t index;
};

/** struct delayed_get - a blocking query or a GET with delayed response. */
struct delayed_get {
	struct platform *p;
	uint64_t req;
	char *name;
	uint64_t index; /* that the client has seen */
	bool watch; /* blocking query: respond when the value is written */
	struct mh_timer *timer;
};

struct platform {
	struct world *w;
	GHashTable *values; /* name -> struct value */
	GHashTable *delayed; /* req -> struct delayed_get */
	uint64_t index; /* of the last write */
	bool down;
	int64_t delay_us; /* of responses to GET */
	double lost_share; /* share of writes without response */
	uint64_t reads;
	uint64_t writes;
	char *vms; /* JSON list that is served */
	char *vms_next; /* served after the lag */
	int64_t lag_us;
	bool vms_down;
	struct mh_timer *lag_timer;
};

static struct platform *
get(struct world *w)
{
	return mh_kern_get(w->k, "platform");
}

static void
free_value(void *arg)
{
	struct value *v = arg;

	g_bytes_unref(v->data);
	g_free(v);
}

static void
free_delayed(void *arg)
{
	struct delayed_get *h = arg;

	mh_timer_stop(h->p->w->k, &h->timer);
	g_free(h->name);
	g_free(h);
}

static void
set_index(struct platform *p, struct mh_http_req *r)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, MAX(p->index, 1));
	mh_req_header_set(r, "X-Consul-Index", text);
}

static void
reply_get(struct platform *p, struct mh_http_req *r, const char *name)
{
	struct value *v = g_hash_table_lookup(p->values, name);
	gsize len;
	const guchar *data;
	char *b64;

	set_index(p, r);
	if (v == NULL) {
		mh_req_reply(r, 404, "text/plain", NULL);
		return;
	}
	data = g_bytes_get_data(v->data, &len);
	b64 = g_base64_encode(data, len);
	reply_json(r, 200,
	    json_pack("[{s:s, s:I, s:s}]", "Key", name, "ModifyIndex",
		(json_int_t)v->index, "Value", b64));
	g_free(b64);
}

static void
reply_delayed(void *arg)
{
	struct delayed_get *h = arg;
	struct platform *p = h->p;
	struct mh_http_req *r = mh_httpd_find(p->w->ctl, h->req);

	if (r != NULL)
		reply_get(p, r, h->name);
	g_hash_table_remove(p->delayed, &h->req);
}

static void
delay_get(struct platform *p, struct mh_http_req *r, const char *name,
    uint64_t index, int64_t us, bool watch)
{
	struct delayed_get *h = g_new0(struct delayed_get, 1);

	h->p = p;
	h->req = mh_req_id(r);
	h->name = g_strdup(name);
	h->index = index;
	h->watch = watch;
	mh_timer_set(p->w->k, &h->timer, us, reply_delayed, h);
	g_hash_table_insert(p->delayed, &h->req, h);
}

static void
reply_watches(struct platform *p, const char *name)
{
	GPtrArray *due = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->delayed);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct delayed_get *h = v;

		if (h->watch && strcmp(h->name, name) == 0)
			g_ptr_array_add(due, h);
	}
	for (guint i = 0; i < due->len; i++) {
		struct delayed_get *h = due->pdata[i];

		mh_timer_stop(p->w->k, &h->timer);
		reply_delayed(h);
	}
	g_ptr_array_free(due, TRUE);
}

static int64_t
parse_ms(const char *text)
{
	if (text == NULL)
		return MAX_WAIT_US;
	return MIN((int64_t)g_ascii_strtoull(text, NULL, 10) * MH_US_PER_MS,
	    MAX_WAIT_US);
}

static void
serve_get(struct platform *p, struct mh_http_req *r, const char *name)
{
	const char *index = mh_req_query(r, "index");
	struct value *v = g_hash_table_lookup(p->values, name);
	uint64_t seen = index == NULL ? 0 : g_ascii_strtoull(index, NULL, 10);
	uint64_t now = v == NULL ? 0 : v->index;

	p->reads++;
	if (seen > 0 && now <= seen)
		delay_get(
		    p, r, name, seen, parse_ms(mh_req_query(r, "wait")), true);
	else
		delay_get(p, r, name, 0, p->delay_us, false);
}

static bool
write_value(struct platform *p, const char *name, const char *cas, GBytes *data)
{
	struct value *v = g_hash_table_lookup(p->values, name);
	uint64_t now = v == NULL ? 0 : v->index;

	if (cas != NULL && g_ascii_strtoull(cas, NULL, 10) != now)
		return false;
	if (data == NULL) {
		g_hash_table_remove(p->values, name);
		p->index++;
		return true;
	}
	v = g_new0(struct value, 1);
	v->data = g_bytes_ref(data);
	v->index = ++p->index;
	g_hash_table_replace(p->values, g_strdup(name), v);
	return true;
}

static void
serve_write(struct platform *p, struct mh_http_req *r, const char *name)
{
	bool del = strcmp(mh_req_method(r), "DELETE") == 0;
	GBytes *data = del ? NULL : mh_req_body(r);
	bool ok;
	GBytes *b;

	p->writes++;
	if (mh_req_too_big(r) ||
	    (data != NULL && g_bytes_get_size(data) > MAX_VALUE_BYTES)) {
		mh_req_reply(r, 413, "text/plain", NULL);
		return;
	}
	ok = write_value(p, name, mh_req_query(r, "cas"), data);
	if (ok)
		reply_watches(p, name);
	if (mh_random_unit(p->w->k) < p->lost_share) {
		mh_req_abort(r);
		return;
	}
	b = g_bytes_new_static(ok ? "true" : "false", ok ? 4 : 5);
	mh_req_reply(r, 200, "application/json", b);
	g_bytes_unref(b);
}

static void
publish_vms(void *arg)
{
	struct platform *p = arg;

	g_free(p->vms);
	p->vms = p->vms_next;
	p->vms_next = NULL;
}

static void
set_vms(struct platform *p, GBytes *body)
{
	gsize len;
	const char *data = g_bytes_get_data(body, &len);

	g_free(p->vms_next);
	p->vms_next = g_strndup(data, len);
	if (p->lag_timer == NULL)
		mh_timer_set(p->w->k, &p->lag_timer, p->lag_us, publish_vms, p);
}

static void
set_platform(struct platform *p, json_t *o)
{
	json_t *v;

	if ((v = json_object_get(o, "down")) != NULL)
		p->down = json_is_true(v);
	if ((v = json_object_get(o, "delay_ms")) != NULL)
		p->delay_us = json_integer_value(v) * MH_US_PER_MS;
	if ((v = json_object_get(o, "lose_answers")) != NULL)
		p->lost_share = json_number_value(v);
	if ((v = json_object_get(o, "vms_down")) != NULL)
		p->vms_down = json_is_true(v);
	if ((v = json_object_get(o, "lag_ms")) != NULL)
		p->lag_us = json_integer_value(v) * MH_US_PER_MS;
	if (p->down) {
		GHashTableIter it;
		gpointer h;

		g_hash_table_iter_init(&it, p->delayed);
		while (g_hash_table_iter_next(&it, NULL, &h)) {
			struct mh_http_req *r = mh_httpd_find(
			    p->w->ctl, ((struct delayed_get *)h)->req);

			if (r != NULL)
				mh_req_abort(r);
		}
		g_hash_table_remove_all(p->delayed);
	}
}

static bool
serve_control(struct platform *p, struct mh_http_req *r)
{
	const char *path = mh_req_path(r);
	gsize len;
	const char *data;
	json_t *o;

	if (strcmp(path, "/ctl/vms") == 0) {
		set_vms(p, mh_req_body(r));
		reply_json(r, 200, json_true());
		return true;
	}
	if (strcmp(path, "/ctl/platform") != 0)
		return false;
	data = g_bytes_get_data(mh_req_body(r), &len);
	o = json_loadb(data, len, 0, NULL);
	set_platform(p, o);
	json_decref(o);
	reply_json(r, 200,
	    json_pack("{s:I, s:I}", "reads", (json_int_t)p->reads, "writes",
		(json_int_t)p->writes));
	return true;
}

bool
platform_serve(struct world *w, struct mh_http_req *r)
{
	struct platform *p = get(w);
	const char *path = mh_req_path(r);
	GBytes *b;

	if (strcmp(path, "/v1/vms") == 0) {
		if (p->vms_down) {
			mh_req_abort(r);
			return true;
		}
		b = g_bytes_new(p->vms, strlen(p->vms));
		mh_req_reply(r, 200, "application/json", b);
		g_bytes_unref(b);
		return true;
	}
	if (!g_str_has_prefix(path, KV_PREFIX))
		return serve_control(p, r);
	if (p->down) {
		mh_req_abort(r);
		return true;
	}
	path += strlen(KV_PREFIX);
	if (strcmp(mh_req_method(r), "GET") == 0)
		serve_get(p, r, path);
	else
		serve_write(p, r, path);
	return true;
}

void
platform_disconnect(struct world *w, struct mh_http_req *r)
{
	uint64_t id = mh_req_id(r);

	g_hash_table_remove(get(w)->delayed, &id);
}

static void
destroy(void *self)
{
	struct platform *p = self;

	mh_timer_stop(p->w->k, &p->lag_timer);
	g_hash_table_destroy(p->delayed);
	g_hash_table_destroy(p->values);
	g_free(p->vms);
	g_free(p->vms_next);
	g_free(p);
}

void
platform_create(struct world *w)
{
	struct platform *p = g_new0(struct platform, 1);

	p->w = w;
	p->delay_us = DEFAULT_DELAY_US;
	p->vms = g_strdup("[]");
	p->values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
	p->delayed = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_delayed);
	mh_kern_add(w->k, "platform", p, NULL, destroy);
}
