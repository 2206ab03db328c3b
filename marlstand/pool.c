/**
 * DOC: Stand-in pools and plain services: a few workers, a FIFO in front,
 * a seeded service time, faults on command.
 */

#include "marlstand.h"

#include <math.h>
#include <string.h>

#define EMBEDDING_LEN 8
/* A call with STAND_FATAL ends its endpoint so long after it began... */
#define FALL_US (10 * MH_US_PER_MS)
/* ...which is back after this. */
#define BACK_US (1 * MH_US_PER_S)
#define SPREAD 0.25 /* sigma of the log-normal service time */

struct job {
	struct endpoint *e;
	uint64_t req; /* the waiting request, may be gone */
	char ref[REF_LEN + 1];
	GBytes *body;
	char *key;
	int64_t us;
	bool started;
	bool fatal;
};

static void start_next(struct endpoint *e);

static double
log_normal(struct mh_kern *k)
{
	double u = mh_random_unit(k) + 1e-12, v = mh_random_unit(k);

	return exp(SPREAD * sqrt(-2 * log(u)) * cos(2 * M_PI * v));
}

static void
free_job(struct job *j)
{
	g_bytes_unref(j->body);
	g_free(j->key);
	g_free(j);
}

static json_t *
answer_encode(const struct job *j)
{
	json_t *v = json_array();

	for (int i = 0; i < EMBEDDING_LEN; i++)
		json_array_append_new(v,
		    json_integer(
			(json_int_t)(mh_hash(j->ref, REF_LEN) >> i & 0xffff)));
	return json_pack("{s:[{s:o}], s:{s:i}}", "data", "embedding", v,
	    "usage", "prompt_tokens", 8);
}

static json_t *
answer_retrieve(const struct job *j, json_t *in)
{
	json_t *a = json_array();
	json_int_t n = json_integer_value(json_object_get(in, "top_k"));

	for (json_int_t i = 0; i < n * 2; i++) {
		char text[64];

		snprintf(
		    text, sizeof(text), "ref:%s document %d", j->ref, (int)i);
		json_array_append_new(
		    a, json_pack("{s:I, s:s}", "id", i, "text", text));
	}
	return json_pack("{s:o}", "documents", a);
}

static json_t *
answer_rerank(json_t *in)
{
	size_t n = json_array_size(json_object_get(in, "documents"));
	json_t *a = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(a,
		    json_pack("{s:I, s:f}", "index", (json_int_t)(n - 1 - i),
			"relevance_score", 1.0 / (double)(i + 1)));
	return json_pack("{s:o}", "results", a);
}

static json_t *
answer_for(const struct job *j)
{
	gsize len;
	const char *data = g_bytes_get_data(j->body, &len);
	json_t *in = json_loadb(data, len, 0, NULL), *out;
	const char *kind = j->e->spec.kind;

	if (strcmp(kind, "encode") == 0)
		out = answer_encode(j);
	else if (strcmp(kind, "retrieve") == 0)
		out = answer_retrieve(j, in);
	else if (strcmp(kind, "rerank") == 0)
		out = answer_rerank(in);
	else
		out = json_pack("{s:s, s:b}", "ref", j->ref, "confirmed", 1);
	json_decref(in);
	return out;
}

static void
answer(struct job *j)
{
	struct endpoint *e = j->e;
	struct mh_http_req *r = mh_httpd_find(e->httpd, j->req);
	GBytes *b;

	if (r == NULL)
		return;
	switch (e->fault) {
	case FAULT_ERROR:
		reply_json(r, 500, json_pack("{s:s}", "error", "stand-in"));
		break;
	case FAULT_CUT:
	case FAULT_DEAD:
		mh_req_cut(r);
		break;
	case FAULT_GARBAGE:
		b = g_bytes_new_static("}{", 2);
		mh_req_reply(r, 200, "application/json", b);
		g_bytes_unref(b);
		break;
	case FAULT_SILENT:
		break;
	default:
		reply_json(r, 200, answer_for(j));
		break;
	}
}

static void
job_done(void *arg)
{
	struct job *j = arg;
	struct endpoint *e = j->e;
	struct mh_http_req *r;

	e->running--;
	g_queue_remove(&e->open, j);
	e->busy_us += (uint64_t)j->us;
	if (!j->fatal)
		answer(j);
	else if ((r = mh_httpd_find(e->httpd, j->req)) != NULL)
		mh_req_cut(r); /* the endpoint ends under it */
	free_job(j);
	start_next(e);
}

static void
on_back(void *arg)
{
	struct endpoint *e = arg;

	e->fall = NULL;
	endpoint_fault(e, FAULT_NONE, 1);
}

static void
on_fall(void *arg)
{
	struct endpoint *e = arg;

	endpoint_fault(e, FAULT_DEAD, 1);
	e->fall = mh_timer_start(e->w->k, BACK_US, on_back, e);
}

bool
endpoint_try_fall(struct endpoint *e, const char *body, size_t len)
{
	if (g_strstr_len(body, (gssize)len, STAND_FATAL) == NULL)
		return false;
	if (e->fall == NULL) {
		e->falls++;
		e->fall = mh_timer_start(e->w->k, FALL_US, on_fall, e);
	}
	return true;
}

/* From here on the call has run: the audit counts it. */
static void
run(struct job *j)
{
	struct endpoint *e = j->e;
	struct world *w = e->w;
	gpointer n;
	gsize len;
	const char *body = g_bytes_get_data(j->body, &len);

	j->fatal = endpoint_try_fall(e, body, len);
	e->running++;
	g_queue_push_tail(&e->open, j);
	w->runs++;
	if (j->key != NULL) {
		n = g_hash_table_lookup(w->audit, j->key);
		g_hash_table_replace(w->audit, g_strdup(j->key),
		    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
	}
	j->us = (int64_t)((double)e->spec.service_us * log_normal(w->k));
	if (e->fault == FAULT_SLOW)
		j->us = (int64_t)((double)j->us * e->factor);
	mh_timer_start(w->k, j->us + 2 * e->spec.delay_us, job_done, j);
}

static void
start_next(struct endpoint *e)
{
	while (e->running < e->spec.workers && !g_queue_is_empty(&e->waiting))
		run(g_queue_pop_head(&e->waiting));
}

static void
on_request(void *arg, struct mh_http_req *r)
{
	struct endpoint *e = arg;
	const char *key = mh_req_header(r, "Idempotency-Key");
	struct job *j;

	e->calls++;
	if (e->fault == FAULT_DEAD) {
		mh_req_cut(r);
		return;
	}
	if (e->engine != NULL) {
		engine_request(e->engine, r);
		return;
	}
	j = g_new0(struct job, 1);
	j->e = e;
	j->req = mh_req_id(r);
	j->body = g_bytes_ref(mh_req_body(r));
	j->key = g_strdup(key);
	find_ref(e->w, j->body, j->ref);
	g_queue_push_tail(&e->waiting, j);
	start_next(e);
}

static void
on_gone(void *arg, struct mh_http_req *r)
{
	struct endpoint *e = arg;

	if (e->engine != NULL) {
		engine_gone(e->engine, r);
		return;
	}
	e->cancelled++;
	/* What waits is dropped; what runs runs on, as services do. */
	for (GList *n = e->waiting.head; n != NULL; n = n->next) {
		struct job *j = n->data;

		if (j->req != mh_req_id(r))
			continue;
		g_queue_delete_link(&e->waiting, n);
		free_job(j);
		return;
	}
}

void
endpoint_fault(struct endpoint *e, enum fault f, double factor)
{
	struct job *j;

	e->fault = f;
	e->factor = factor;
	if (f != FAULT_DEAD)
		return;
	for (GList *n = e->open.head; n != NULL; n = n->next) {
		struct job *o = n->data;
		struct mh_http_req *r = mh_httpd_find(e->httpd, o->req);

		if (r != NULL)
			mh_req_cut(r);
	}
	while ((j = g_queue_pop_head(&e->waiting)) != NULL) {
		struct mh_http_req *r = mh_httpd_find(e->httpd, j->req);

		if (r != NULL)
			mh_req_cut(r);
		free_job(j);
	}
	if (e->engine != NULL)
		engine_drop_all(e->engine);
}

struct endpoint *
endpoint_create(struct world *w, const struct spec *s, GError **err)
{
	struct endpoint *e = g_new0(struct endpoint, 1);
	struct mh_httpd_args a = { .listen = "127.0.0.1:0",
		.on_request = on_request,
		.on_gone = on_gone,
		.arg = e };

	e->w = w;
	e->spec = *s;
	e->factor = 1;
	g_queue_init(&e->waiting);
	g_queue_init(&e->open);
	e->httpd = mh_httpd_create(w->loop, &a, err);
	if (e->httpd == NULL) {
		g_free(e);
		return NULL;
	}
	if (strcmp(s->kind, "generate") == 0)
		e->engine = engine_create(e);
	return e;
}

void
endpoint_destroy(struct endpoint *e)
{
	struct job *j;

	mh_timer_stop(e->w->k, &e->fall);
	while ((j = g_queue_pop_head(&e->waiting)) != NULL)
		free_job(j);
	mh_httpd_destroy(e->httpd);
	if (e->engine != NULL)
		engine_destroy(e->engine);
	g_free(e->spec.name);
	g_free(e->spec.kind);
	g_free(e->spec.domain);
	g_free(e);
}
