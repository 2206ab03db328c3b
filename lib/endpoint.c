/**
 * DOC: Service "endpoint": sends each call as one HTTP request with an
 * OpenAI-style body.  Generated text arrives as server-sent events.
 */

#include "marlhoist.h"

#include <string.h>

#define MAX_LINE_BYTES (1U << 20)
#define MAX_TEXT_BYTES (4U << 20) /* of a stream; kept by the side service */

struct endpoint {
	struct mh_kern *k;
	struct mh_client *client;
	char *url;
	GHashTable *runs; /* run -> struct run */
};

struct run {
	struct endpoint *e;
	uint64_t id;
	uint64_t http;
	bool stream;
	bool reported; /* its end, to the side service */
	bool malformed; /* the rest of the stream is discarded */
	GString *line;
	size_t text_len;
	json_t *usage;
};

static void
free_run(void *arg)
{
	struct run *r = arg;

	g_string_free(r->line, TRUE);
	json_decref(r->usage);
	g_free(r);
}

static void
send_chunk(struct run *r, const char *text)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN_CHUNK);

	m->u.run.run = r->id;
	m->u.run.body = g_bytes_new(text, strlen(text));
	mh_post(r->e->k, "side", m);
}

static void
add_text(struct run *r, const char *text)
{
	r->text_len += strlen(text);
	if (r->text_len > MAX_TEXT_BYTES)
		r->malformed = true;
	else if (*text != '\0')
		send_chunk(r, text);
}

static uint64_t
usage_of(json_t *usage, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(usage, name));
}

static void
report_end(struct run *r, const struct mh_run_msg *end)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN_DONE);

	m->u.run = *end;
	m->u.run.run = r->id;
	m->u.run.tokens_in = usage_of(r->usage, "prompt_tokens");
	m->u.run.tokens_out = usage_of(r->usage, "completion_tokens");
	m->u.run.tokens_cached = usage_of(r->usage, "cached_tokens");
	r->reported = true;
	mh_post(r->e->k, "side", m);
}

/* After its end mark a text is complete, even if its connection breaks. */
static void
report_complete(struct run *r)
{
	struct mh_run_msg end = {
		.status = 200, .sent = true, .complete = true
	};

	report_end(r, &end);
}

/* An engine reports a failure in an event, and some send the end mark too. */
static bool
is_completion(const json_t *j)
{
	const json_t *err = json_object_get(j, "error");

	return json_is_array(json_object_get(j, "choices")) &&
	    (err == NULL || json_is_null(err));
}

static void
take_event(struct run *r, const char *data)
{
	json_t *j, *usage;
	const char *text;

	if (strcmp(data, "[DONE]") == 0) {
		report_complete(r);
		return;
	}
	j = json_loads(data, 0, NULL);
	if (!is_completion(j)) {
		json_decref(j);
		r->malformed = true;
		return;
	}
	text = json_string_value(json_object_get(
	    json_array_get(json_object_get(j, "choices"), 0), "text"));
	if (text != NULL)
		add_text(r, text);
	usage = json_object_get(j, "usage");
	if (json_is_object(usage)) {
		json_decref(r->usage);
		r->usage = json_incref(usage);
	}
	json_decref(j);
}

static bool
on_data(void *arg, uint32_t status, const char *data, size_t len)
{
	struct run *r = arg;

	/* The body of an error response is not generated text. */
	if (status != 200)
		return true;
	/* After a malformed event the text would have a gap. */
	for (size_t i = 0; i < len && !r->malformed; i++) {
		if (r->reported && !g_ascii_isspace(data[i]))
			return false;
		if (data[i] != '\n') {
			g_string_append_c(r->line, data[i]);
			r->malformed = r->line->len > MAX_LINE_BYTES;
			continue;
		}
		if (g_str_has_prefix(r->line->str, "data: "))
			take_event(r, g_strchomp(r->line->str) + 6);
		g_string_truncate(r->line, 0);
	}
	return !r->malformed;
}

/* A stream without its end mark is incomplete, however it was closed. */
static void
on_done(void *arg, const struct mh_http_done *d)
{
	struct run *r = arg;
	struct mh_run_msg end = { .status = d->status,
		.sent = d->sent,
		.broke = d->broke,
		.rest_us = d->rest_us,
		.complete = d->complete && (!r->stream || d->status >= 300) };
	json_t *j;
	gsize len;
	const char *data = g_bytes_get_data(d->body, &len);

	if (!r->stream) {
		end.body = g_bytes_ref(d->body);
		j = json_loadb(data, len, 0, NULL);
		r->usage = json_incref(json_object_get(j, "usage"));
		json_decref(j);
	}
	if (!r->reported)
		report_end(r, &end);
	g_hash_table_remove(r->e->runs, &r->id);
}

static void
start(struct endpoint *e, const struct mh_run_msg *q)
{
	struct run *r = g_new0(struct run, 1);
	char *url = g_strconcat(e->url, q->path, NULL);
	char *key = g_strconcat("Idempotency-Key: ", q->key, NULL);
	char *org = g_strconcat("X-Organisation: ", q->org, NULL);
	const char *headers[4] = { "Content-Type: application/json" };
	/*
	 * The connection must not be reused: if an engine sends its response
	 * twice, the copy would be taken for the response to the next request
	 * on the connection.
	 */
	struct mh_http_call call = { .method = "POST",
		.url = url,
		.body = q->body,
		.headers = headers,
		.timeout_us = q->timeout_us,
		.once = true };
	int n = 1;

	if (q->key != NULL && *q->key != '\0')
		headers[n++] = key;
	if (q->org != NULL && *q->org != '\0')
		headers[n++] = org;
	r->e = e;
	r->id = q->run;
	r->stream = q->stream;
	r->line = g_string_new(NULL);
	g_hash_table_insert(e->runs, &r->id, r);
	r->http = mh_client_start(
	    e->client, &call, r->stream ? on_data : NULL, on_done, r);
	g_free(url);
	g_free(key);
	g_free(org);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct endpoint *e = self;
	struct run *r;

	if (m->kind == MH_MSG_RUN) {
		start(e, &m->u.run);
		return;
	}
	r = g_hash_table_lookup(e->runs, &m->u.run.run);
	if (m->kind != MH_MSG_RUN_ABORT || r == NULL)
		return;
	/* The engine stops generating when the connection is closed. */
	mh_client_abort(e->client, r->http);
	g_hash_table_remove(e->runs, &r->id);
}

static void
destroy(void *self)
{
	struct endpoint *e = self;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, e->runs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		mh_client_abort(e->client, ((struct run *)v)->http);
	g_hash_table_destroy(e->runs);
	g_free(e->url);
	g_free(e);
}

void
mh_endpoint_create(struct mh_kern *k, struct mh_client *c, const char *url)
{
	struct endpoint *e = g_new0(struct endpoint, 1);

	e->k = k;
	e->client = c;
	e->url = g_strdup(url);
	e->runs =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_run);
	mh_kern_add(k, "endpoint", e, handle, destroy);
}
