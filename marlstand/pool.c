/**
 * DOC: Stand-ins for stage endpoints and plain services: a FIFO queue, a number
 * of workers, log-normal service times from a seed, and injected faults.
 */

#include "marlstand.h"

#include <math.h>
#include <string.h>

#define EMBEDDING_LEN 8
/* From the start of a call with STAND_FATAL to the crash of its endpoint. */
#define CRASH_DELAY_US (10 * MH_US_PER_MS)
/* From the crash to the restart. */
#define RESTART_DELAY_US (1 * MH_US_PER_S)
#define SERVICE_TIME_SIGMA 0.25 /* sigma of the log-normal distribution */

struct job {
	struct endpoint *e;
	uint64_t req; /* HTTP request; its client may have disconnected */
	char ref[REF_LEN + 1];
	GBytes *body;
	char *key;
	int64_t us; /* service time */
	bool started;
	bool fatal; /* the body has STAND_FATAL */
};

static void start_next(struct endpoint *e);

static double
log_normal(struct mh_kern *k)
{
	double u = mh_random_unit(k) + 1e-12, v = mh_random_unit(k);

	return exp(SERVICE_TIME_SIGMA * sqrt(-2 * log(u)) * cos(2 * M_PI * v));
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
make_answer(const struct job *j)
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
send_answer(struct job *j)
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
		mh_req_abort(r);
		break;
	case FAULT_GARBAGE:
		b = g_bytes_new_static("}{", 2);
		mh_req_reply(r, 200, "application/json", b);
		g_bytes_unref(b);
		break;
	case FAULT_SILENT:
		break;
	default:
		reply_json(r, 200, make_answer(j));
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
	g_queue_remove(&e->active, j);
	e->busy_us += (uint64_t)j->us;
	if (!j->fatal)
		send_answer(j);
	else if ((r = mh_httpd_find(e->httpd, j->req)) != NULL)
		mh_req_abort(r); /* the endpoint crashes */
	free_job(j);
	start_next(e);
}

static void
on_restart(void *arg)
{
	struct endpoint *e = arg;

	endpoint_fault(e, FAULT_NONE, 1);
}

static void
on_crash(void *arg)
{
	struct endpoint *e = arg;

	endpoint_fault(e, FAULT_DEAD, 1);
	mh_timer_set(e->w->k, &e->crash_timer, RESTART_DELAY_US, on_restart, e);
}

bool
endpoint_check_fatal(struct endpoint *e, const char *body, size_t len)
{
	if (g_strstr_len(body, (gssize)len, STAND_FATAL) == NULL)
		return false;
	if (e->crash_timer == NULL) {
		e->crashes++;
		mh_timer_set(
		    e->w->k, &e->crash_timer, CRASH_DELAY_US, on_crash, e);
	}
	return true;
}

/* Starts a call and counts it in the audit. */
static void
start_job(struct job *j)
{
	struct endpoint *e = j->e;
	struct world *w = e->w;
	gpointer n;
	gsize len;
	const char *body = g_bytes_get_data(j->body, &len);

	j->fatal = endpoint_check_fatal(e, body, len);
	e->running++;
	g_queue_push_tail(&e->active, j);
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
		start_job(g_queue_pop_head(&e->waiting));
}

static void
on_request(void *arg, struct mh_http_req *r)
{
	struct endpoint *e = arg;
	const char *key = mh_req_header(r, "Idempotency-Key");
	struct job *j;

	e->calls++;
	if (e->fault == FAULT_DEAD) {
		mh_req_abort(r);
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
on_disconnect(void *arg, struct mh_http_req *r)
{
	struct endpoint *e = arg;

	if (e->engine != NULL) {
		engine_cancel(e->engine, r);
		return;
	}
	e->cancelled++;
	/* Drops a waiting call; a running one continues, as in services. */
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
	for (GList *n = e->active.head; n != NULL; n = n->next) {
		struct job *o = n->data;
		struct mh_http_req *r = mh_httpd_find(e->httpd, o->req);

		if (r != NULL)
			mh_req_abort(r);
	}
	while ((j = g_queue_pop_head(&e->waiting)) != NULL) {
		struct mh_http_req *r = mh_httpd_find(e->httpd, j->req);

		if (r != NULL)
			mh_req_abort(r);
		free_job(j);
	}
	if (e->engine != NULL)
		engine_cut_all(e->engine);
}

struct endpoint *
endpoint_create(struct world *w, const struct spec *s, GError **err)
{
	struct endpoint *e = g_new0(struct endpoint, 1);
	struct mh_httpd_args a = { .listen = "127.0.0.1:0",
		.on_request = on_request,
		.on_caller_left = on_disconnect,
		.arg = e };

	e->w = w;
	e->spec = *s;
	e->factor = 1;
	g_queue_init(&e->waiting);
	g_queue_init(&e->active);
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

	mh_timer_stop(e->w->k, &e->crash_timer);
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
