/**
 * DOC: Stand-in for a model engine with continuous batching.
 *
 * A step takes a base time, a time for each running sequence and the prefill
 * time of the sequences that were added.  At its end each running sequence
 * gets one token.  The leading blocks of prompts are kept in a prefix cache of
 * limited size with LRU replacement.
 */

#include "marlstand.h"

#include <string.h>

#define BLOCK_BYTES 64
#define BYTES_PER_TOKEN 4
#define ANSWER_MARK "\nAnswer:"

/** struct seq - one request that generates tokens. */
struct seq {
	uint64_t req;
	char ref[REF_LEN + 1];
	uint32_t priority;
	uint64_t order; /* of arrival */
	uint32_t next; /* number of the next token */
	uint32_t end; /* number after the last token */
	uint32_t generated; /* tokens sent */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	GString *prompt;
	bool streaming;
};

struct engine {
	struct endpoint *e;
	GPtrArray *running; /* struct seq */
	GPtrArray *waiting;
	GHashTable *cache; /* block hash -> list node */
	GQueue lru; /* block hashes, newest first */
	uint64_t order;
	struct mh_timer *step_timer;
	int64_t step_us;
};

static void on_step(void *arg);

static void
free_seq(void *arg)
{
	struct seq *s = arg;

	g_string_free(s->prompt, TRUE);
	g_free(s);
}

static void
touch_block(struct engine *g, uint64_t hash)
{
	GList *n = g_hash_table_lookup(g->cache, &hash);
	uint64_t *key;

	if (n != NULL) {
		g_queue_unlink(&g->lru, n);
		g_queue_push_head_link(&g->lru, n);
		return;
	}
	key = g_new(uint64_t, 1);
	*key = hash;
	g_queue_push_head(&g->lru, key);
	g_hash_table_insert(g->cache, key, g->lru.head);
	while (g_queue_get_length(&g->lru) > g->e->spec.cache_blocks) {
		uint64_t *old = g_queue_pop_tail(&g->lru);

		g_hash_table_remove(g->cache, old);
		g_free(old);
	}
}

/* Returns the length of the cached prompt prefix, then caches all blocks. */
static uint32_t
cached_bytes(struct engine *g, const char *prompt, size_t len)
{
	uint64_t hash = 0;
	uint32_t hit = 0;
	bool miss = false;

	for (size_t at = 0; at + BLOCK_BYTES <= len; at += BLOCK_BYTES) {
		uint64_t pair[2] = { hash, mh_hash(prompt + at, BLOCK_BYTES) };

		hash = mh_hash(pair, sizeof(pair));
		if (!miss && g_hash_table_contains(g->cache, &hash))
			hit += BLOCK_BYTES;
		else
			miss = true;
		touch_block(g, hash);
	}
	return hit;
}

/*
 * After a stream failover the prompt contains the tokens that were already
 * generated.  Counts them, so that numbering continues.
 */
static uint32_t
count_answer_tokens(const char *prompt)
{
	const char *mark = strstr(prompt, ANSWER_MARK);
	uint32_t n = 0;

	if (mark == NULL)
		return 0;
	for (const char *p = mark + strlen(ANSWER_MARK); *p != '\0'; p++)
		n += *p == ' ';
	return n;
}

static void
arm(struct engine *g)
{
	if (g->step_timer != NULL ||
	    (g->running->len == 0 && g->waiting->len == 0))
		return;
	mh_timer_set(g->e->w->k, &g->step_timer, g->step_us, on_step, g);
}

static struct seq *
next_waiting(struct engine *g)
{
	guint best = 0;

	for (guint i = 1; i < g->waiting->len; i++) {
		const struct seq *a = g->waiting->pdata[i];
		const struct seq *b = g->waiting->pdata[best];

		if (g->e->spec.honours_priority ? a->priority < b->priority
						: a->order < b->order)
			best = i;
	}
	return g_ptr_array_steal_index(g->waiting, best);
}

/* Starts waiting sequences; returns their total prefill time. */
static int64_t
start_waiting(struct engine *g)
{
	struct endpoint *e = g->e;
	double us = 0;

	while (g->waiting->len > 0 && g->running->len < e->spec.workers) {
		struct seq *s = next_waiting(g);
		uint32_t cached =
		    cached_bytes(g, s->prompt->str, s->prompt->len);

		s->prompt_tokens =
		    (uint32_t)(s->prompt->len / BYTES_PER_TOKEN) + 1;
		s->cached_tokens = cached / BYTES_PER_TOKEN;
		e->tokens_in += s->prompt_tokens;
		e->tokens_cached += s->cached_tokens;
		us += (double)(s->prompt_tokens - s->cached_tokens) /
		    e->spec.prefill_per_s * MH_US_PER_S;
		e->w->runs++;
		(void)endpoint_check_fatal(e, s->prompt->str, s->prompt->len);
		g_ptr_array_add(g->running, s);
	}
	return (int64_t)us;
}

static void
send_event(struct mh_http_req *r, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT);
	char *line = g_strdup_printf("data: %s\n\n", text);
	GBytes *b = g_bytes_new_take(line, strlen(line));

	json_decref(o);
	free(text);
	mh_req_stream_add(r, b);
	g_bytes_unref(b);
}

static void
finish_seq(struct engine *g, struct seq *s, struct mh_http_req *r)
{
	GBytes *b = g_bytes_new_static("data: [DONE]\n\n", 14);

	send_event(r,
	    json_pack("{s:[], s:{s:i, s:i, s:i}}", "choices", "usage",
		"prompt_tokens", (int)s->prompt_tokens, "completion_tokens",
		(int)s->generated, "cached_tokens", (int)s->cached_tokens));
	mh_req_stream_add(r, b);
	mh_req_stream_end(r);
	g_bytes_unref(b);
	g->e->tokens_out += s->generated;
}

/* Sends one token; returns false when the sequence is finished. */
static bool
emit_token(struct engine *g, struct seq *s)
{
	struct mh_http_req *r = mh_httpd_find(g->e->httpd, s->req);
	char text[64];

	if (r == NULL)
		return false;
	if (g->e->fault == FAULT_SILENT)
		return true;
	if (g->e->fault == FAULT_ERROR && !s->streaming) {
		reply_json(r, 500, json_pack("{s:s}", "error", "stand-in"));
		return false;
	}
	if (g->e->fault == FAULT_ERROR ||
	    (g->e->fault == FAULT_CUT && s->generated > 2)) {
		mh_req_abort(r);
		return false;
	}
	if (!s->streaming)
		mh_req_stream(r, 200, "text/event-stream");
	s->streaming = true;
	snprintf(text, sizeof(text), " w%u.%s", s->next, s->ref);
	send_event(r, json_pack("{s:[{s:s}]}", "choices", "text", text));
	s->next++;
	s->generated++;
	if (s->next < s->end)
		return true;
	finish_seq(g, s, r);
	return false;
}

static void
on_step(void *arg)
{
	struct engine *g = arg;
	const struct spec *sp = &g->e->spec;
	int64_t prefill;

	for (guint i = 0; i < g->running->len;) {
		if (emit_token(g, g->running->pdata[i]))
			i++;
		else
			g_ptr_array_remove_index(g->running, i);
	}
	prefill = start_waiting(g);
	g->step_us =
	    sp->step_us + sp->per_seq_us * (int64_t)g->running->len + prefill;
	if (g->e->fault == FAULT_SLOW)
		g->step_us = (int64_t)((double)g->step_us * g->e->factor);
	if (g->running->len > 0)
		g->e->busy_us += (uint64_t)g->step_us;
	arm(g);
}

void
engine_request(struct engine *g, struct mh_http_req *r)
{
	gsize len;
	const char *data = g_bytes_get_data(mh_req_body(r), &len);
	json_t *in = json_loadb(data, len, 0, NULL);
	const char *prompt = json_string_value(json_object_get(in, "prompt"));
	struct seq *s;

	if (prompt == NULL) {
		reply_json(r, 400, json_pack("{s:s}", "error", "no prompt"));
		json_decref(in);
		return;
	}
	s = g_new0(struct seq, 1);
	s->req = mh_req_id(r);
	s->order = ++g->order;
	s->prompt = g_string_new(prompt);
	s->priority =
	    (uint32_t)json_integer_value(json_object_get(in, "priority"));
	s->next = count_answer_tokens(prompt);
	s->end = s->next +
	    (uint32_t)json_integer_value(json_object_get(in, "max_tokens"));
	find_ref(g->e->w, mh_req_body(r), s->ref);
	json_decref(in);
	g_ptr_array_add(g->waiting, s);
	if (g->step_timer == NULL)
		g->step_us = 2 * g->e->spec.delay_us;
	arm(g);
}

static void
remove_req(GPtrArray *a, uint64_t req)
{
	for (guint i = 0; i < a->len; i++) {
		if (((struct seq *)a->pdata[i])->req == req) {
			g_ptr_array_remove_index(a, i);
			return;
		}
	}
}

void
engine_cancel(struct engine *g, struct mh_http_req *r)
{
	g->e->cancelled++;
	remove_req(g->running, mh_req_id(r));
	remove_req(g->waiting, mh_req_id(r));
}

static void
cut_all(struct engine *g, GPtrArray *a)
{
	for (guint i = 0; i < a->len; i++) {
		struct seq *s = a->pdata[i];
		struct mh_http_req *r = mh_httpd_find(g->e->httpd, s->req);

		if (r != NULL)
			mh_req_abort(r);
	}
	g_ptr_array_set_size(a, 0);
}

void
engine_cut_all(struct engine *g)
{
	cut_all(g, g->running);
	cut_all(g, g->waiting);
}

struct engine *
engine_create(struct endpoint *e)
{
	struct engine *g = g_new0(struct engine, 1);

	g->e = e;
	g->running = g_ptr_array_new_with_free_func(free_seq);
	g->waiting = g_ptr_array_new_with_free_func(free_seq);
	g->cache = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&g->lru);
	return g;
}

void
engine_destroy(struct engine *g)
{
	uint64_t *key;

	mh_timer_stop(g->e->w->k, &g->step_timer);
	g_ptr_array_free(g->running, TRUE);
	g_ptr_array_free(g->waiting, TRUE);
	while ((key = g_queue_pop_head(&g->lru)) != NULL)
		g_free(key);
	g_hash_table_destroy(g->cache);
	g_free(g);
}
