/**
 * DOC: Contract tests of the adapters over loopback sockets: HTTP server and
 * client, KV service, VM list, endpoint and link.  The peer is a stand-in in
 * the same process.  Ports are ephemeral, and no test asserts durations.
 */

#include "net.h"
#include "regress.h"
#include "tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (10 * MH_US_PER_S)
#define MAX_TEXT_BYTES (4U << 20) /* as for other responses */
#define ENDLESS_BYTES (6U << 20)
#define PIECE_BYTES 1000U
#define LARGE_FRAME_BYTES (1U << 20)
#define LARGE_FRAMES 40

/** struct reply - the stand-in's response to the next calls. */
struct reply {
	const char *name;
	uint32_t status; /* 0: close the connection, 1: never respond */
	const char *body;
	bool stream; /* send the body as a stream */
	bool cut_stream;
};

struct rig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_client *client;
	struct mh_httpd *httpd;
	const struct reply *reply;
	bool leave_open; /* leave streams open */
	char url[64];
	uint32_t requests;
	uint32_t disconnects;
	char last_path[128];
	char last_key[64];
	/* results received from the adapter */
	uint32_t done;
	struct mh_msg *msg;
	uint32_t chunks;
	uint32_t status;
	bool whole;
	bool sent;
	GString *body;
	struct mh_timer *timeout;
	bool timed_out;
	const char *retry_after; /* of its replies; NULL: none */
	int64_t rest_us; /* of the last run */
};

static GBytes *
bytes(const char *text)
{
	return g_bytes_new(text, strlen(text));
}

static void
on_request(void *arg, struct mh_http_req *r)
{
	struct rig *g = arg;
	const struct reply *p = g->reply;
	const char *key = mh_req_header(r, "Idempotency-Key");
	GBytes *b;

	g->requests++;
	g_strlcpy(g->last_path, mh_req_path(r), sizeof(g->last_path));
	g_strlcpy(g->last_key, key == NULL ? "" : key, sizeof(g->last_key));
	if (p->status == 0) {
		mh_req_abort(r);
		return;
	}
	if (p->status == 1)
		return;
	b = bytes(p->body);
	if (p->stream) {
		mh_req_stream(r, p->status, "text/event-stream");
		mh_req_stream_add(r, b);
		if (p->cut_stream)
			mh_req_abort(r);
		else if (!g->leave_open)
			mh_req_stream_end(r);
	} else {
		mh_req_header_set(r, "X-Consul-Index", "7");
		if (g->retry_after != NULL)
			mh_req_header_set(r, "Retry-After", g->retry_after);
		mh_req_reply(r, p->status, "application/json", b);
	}
	g_bytes_unref(b);
}

static void
on_disconnect(void *arg, struct mh_http_req *r)
{
	struct rig *g = arg;

	(void)r;
	g->disconnects++;
}

/* Stands in for the service that an adapter reports to. */
static void
on_message(void *self, struct mh_msg *m)
{
	struct rig *g = self;

	if (m->kind == MH_MSG_RUN_CHUNK) {
		gsize len;
		const char *text = g_bytes_get_data(m->u.run.body, &len);

		g->chunks++;
		g_string_append_len(g->body, text, (gssize)len);
		return;
	}
	g->done++;
	if (m->kind == MH_MSG_RUN_DONE) {
		g->status = m->u.run.status;
		g->whole = m->u.run.complete;
		g->sent = m->u.run.sent;
		g->rest_us = m->u.run.rest_us;
	} else if (m->kind == MH_MSG_KV_DONE) {
		g->whole = m->u.kv.ok;
		g->sent = m->u.kv.found;
		g->status = (uint32_t)m->u.kv.cas;
	} else if (m->kind == MH_MSG_VMLIST) {
		g->whole = m->u.vmlist.ok;
	}
	mh_loop_stop(g->loop);
}

static void
on_timeout(void *arg)
{
	struct rig *g = arg;

	g->timed_out = true;
	mh_loop_stop(g->loop);
}

static void
rig_open(struct rig *g)
{
	struct mh_httpd_args a = { .listen = "127.0.0.1:0",
		.on_request = on_request,
		.on_caller_left = on_disconnect,
		.arg = g };

	memset(g, 0, sizeof(*g));
	g->k = mh_kern_create(1);
	g->loop = mh_loop_create(g->k, NULL);
	g->client = mh_client_create(g->loop);
	g->httpd = mh_httpd_create(g->loop, &a, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(g->httpd);
	snprintf(g->url, sizeof(g->url), "http://127.0.0.1:%u",
	    mh_httpd_port(g->httpd));
	g->body = g_string_new(NULL);
	mh_timer_set(g->k, &g->timeout, TIMEOUT_US, on_timeout, g);
}

static void
rig_close(struct rig *g)
{
	CU_ASSERT_FALSE(g->timed_out);
	mh_httpd_destroy(g->httpd);
	mh_kern_destroy(g->k);
	mh_loop_destroy(g->loop);
	g_string_free(g->body, TRUE);
}

struct run_case {
	struct reply reply;
	bool stream;
	bool whole;
	uint32_t status;
	uint32_t chunks;
};

#define TOKEN "data: {\"choices\":[{\"text\":\" a\"}]}\n\n"
#define DONE "data: [DONE]\n\n"

static const struct run_case run_cases[] = {
	{ { "good", 200, "{\"a\":1}", false, false }, false, true, 200, 0 },
	{ { "error", 500, "{}", false, false }, false, true, 500, 0 },
	{ { "cut", 0, "", false, false }, false, false, 0, 0 },
	{ { "silent", 1, "", false, false }, false, false, 0, 0 },
	{ { "good stream", 200, TOKEN TOKEN DONE, true, false }, true, true,
	    200, 2 },
	{ { "no end mark", 200, TOKEN TOKEN, true, false }, true, false, 200,
	    2 },
	{ { "cut stream", 200, TOKEN, true, true }, true, false, 200, 1 },
	{ { "garbage", 200, TOKEN "data: }{\n\n" DONE, true, false }, true,
	    false, 200, 1 },
	{ { "refused stream", 429, "{}", false, false }, true, true, 429, 0 },
};

static void
test_endpoint_contract(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(run_cases); i++) {
		const struct run_case *c = &run_cases[i];
		struct mh_msg *m = mh_msg_new(MH_MSG_RUN);
		struct rig g;

		rig_open(&g);
		g.reply = &c->reply;
		mh_kern_add(g.k, "side", &g, on_message, NULL);
		mh_endpoint_create(g.k, g.client, g.url);
		m->u.run.run = 1;
		m->u.run.path = g_strdup("/v1/x");
		m->u.run.key = g_strdup("org/k");
		m->u.run.org = g_strdup("org");
		m->u.run.stream = c->stream;
		m->u.run.timeout_us = 300 * MH_US_PER_MS;
		m->u.run.body = bytes("{}");
		mh_post(g.k, "endpoint", m);
		mh_loop_run(g.loop);
		if (g.whole != c->whole || g.chunks != c->chunks)
			printf("\n  case %s\n", c->reply.name);
		CU_ASSERT_EQUAL(g.whole, c->whole);
		CU_ASSERT_EQUAL(g.chunks, c->chunks);
		CU_ASSERT_EQUAL(g.status, c->status);
		CU_ASSERT_TRUE(g.sent);
		CU_ASSERT_STRING_EQUAL(g.last_path, "/v1/x");
		CU_ASSERT_STRING_EQUAL(g.last_key, "org/k");
		rig_close(&g);
	}
}

/* Guards against a rest that an endpoint asks for and that is not seen. */
static void
test_endpoint_rest(void)
{
	static const struct {
		uint32_t status;
		const char *retry_after;
		int64_t rest_us;
	} t[] = { { 503, "1.5", 1500 * MH_US_PER_MS },
		{ 429, "2", 2 * MH_US_PER_S }, { 503, NULL, 0 },
		{ 500, "2", 0 }, { 200, "2", 0 }, { 503, "-2", 0 },
		{ 503, "soon", 0 }, { 503, "", 0 } };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(t); i++) {
		struct reply reply = { "rest", t[i / 2].status, "{}", false,
			false };
		struct mh_msg *m = mh_msg_new(MH_MSG_RUN);
		struct rig g;

		rig_open(&g);
		g.reply = &reply;
		g.retry_after = t[i / 2].retry_after;
		mh_kern_add(g.k, "side", &g, on_message, NULL);
		mh_endpoint_create(g.k, g.client, g.url);
		m->u.run.run = 1;
		m->u.run.path = g_strdup("/v1/x");
		m->u.run.stream = i % 2 == 1;
		m->u.run.timeout_us = 300 * MH_US_PER_MS;
		m->u.run.body = bytes("{}");
		mh_post(g.k, "endpoint", m);
		mh_loop_run(g.loop);
		CU_ASSERT_EQUAL(g.status, t[i / 2].status);
		CU_ASSERT_EQUAL(g.rest_us, t[i / 2].rest_us);
		rig_close(&g);
	}
}

enum stream_end { END_NORMAL, END_CUT, END_NEVER };

/** struct stream_case - an engine's stream and the text expected from it. */
struct stream_case {
	const char *name;
	uint32_t status;
	const char *body;
	enum stream_end end;
	bool whole;
	const char *text;
};

static void
run_stream_case(const struct stream_case *c)
{
	const struct reply reply = { c->name, c->status, c->body, true,
		c->end == END_CUT };
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN);
	struct rig g;

	rig_open(&g);
	g.reply = &reply;
	g.leave_open = c->end == END_NEVER;
	mh_kern_add(g.k, "side", &g, on_message, NULL);
	mh_endpoint_create(g.k, g.client, g.url);
	m->u.run.run = 1;
	m->u.run.path = g_strdup("/v1/x");
	m->u.run.stream = true;
	m->u.run.timeout_us = 300 * MH_US_PER_MS;
	m->u.run.body = bytes("{}");
	mh_post(g.k, "endpoint", m);
	mh_loop_run(g.loop);
	if (g.whole != c->whole || strcmp(g.body->str, c->text) != 0)
		printf("\n  case %s: whole=%d \"%s\"\n", c->name, g.whole,
		    g.body->str);
	CU_ASSERT_EQUAL(g.whole, c->whole);
	CU_ASSERT_STRING_EQUAL(g.body->str, c->text);
	rig_close(&g);
}

#define PIECE(t) "data: {\"choices\":[{\"text\":\"" t "\"}]}\n\n"

/* Guards against taking text from the body of an error response. */
static void
test_stream_with_error_status(void)
{
	static const struct stream_case c = { "error", 500, PIECE("a") DONE,
		END_NORMAL, true, "" };

	run_stream_case(&c);
}

/* Guards against reporting an empty text as complete for status 201. */
static void
test_stream_with_status_201(void)
{
	static const struct stream_case c = { "created", 201, PIECE("a") DONE,
		END_NORMAL, false, "" };

	run_stream_case(&c);
}

/* Guards against a text with a missing piece in the middle. */
static void
test_stream_with_a_bad_event(void)
{
	static const struct stream_case c = { "bad event", 200,
		PIECE("a") "data: }{\n\n" PIECE("c") DONE, END_NORMAL, false,
		"a" };

	run_stream_case(&c);
}

static const struct stream_case error_event_cases[] = {
	{ "error alone", 200,
	    PIECE("a") "data: {\"error\":{\"message\":\"x\"}}\n\n" DONE,
	    END_NORMAL, false, "a" },
	{ "error beside choices", 200,
	    PIECE("a") "data: {\"error\":{},\"choices\":[]}\n\n" DONE,
	    END_NORMAL, false, "a" },
	{ "no choices", 200, PIECE("a") "data: {}\n\n" DONE, END_NORMAL, false,
	    "a" },
	{ "no error", 200,
	    "data: {\"error\":null,\"choices\":[{\"text\":\"a\"}]}\n\n"
	    "data: {\"choices\":[],\"usage\":{}}\n\n" DONE,
	    END_NORMAL, true, "a" },
};

/* Guards against reporting a text as complete that its engine aborted. */
static void
test_stream_with_an_error_event(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(error_event_cases); i++)
		run_stream_case(&error_event_cases[i]);
}

static const struct stream_case after_end_cases[] = {
	{ "text after the end", 200, PIECE("a") DONE PIECE("b"), END_NORMAL,
	    true, "a" },
	{ "cut after the end", 200, PIECE("a") DONE, END_CUT, true, "a" },
	{ "open after the end", 200, PIECE("a") DONE, END_NEVER, true, "a" },
};

/* Guards against taking text after the end mark. */
static void
test_stream_with_data_after_end(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(after_end_cases); i++)
		run_stream_case(&after_end_cases[i]);
}

/* Guards against half a piece, or a truncated text reported as complete. */
static void
test_stream_truncated_at_any_byte(void)
{
	static const char body[] = PIECE("a") PIECE("b") DONE;
	const char *two = strstr(body, "\n\n") + 2;

	for (size_t n = 0; n <= strlen(body); n++) {
		char *part = g_strndup(body, n);
		struct stream_case c = { "truncated", 200, part, END_NORMAL,
			false, "" };

		if (strstr(part, "a\"}]}\n") != NULL)
			c.text = "a";
		if (n > (size_t)(two - body) &&
		    strstr(part + (two - body), "\n") != NULL)
			c.text = "ab";
		c.whole = strstr(part, "[DONE]\n") != NULL;
		run_stream_case(&c);
		c.end = END_CUT;
		run_stream_case(&c);
		g_free(part);
	}
}

/* Guards against an endless stream that exhausts memory. */
static void
test_endless_stream(void)
{
	struct reply endless = { "endless", 200, NULL, true, false };
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN);
	char *text = g_strnfill(PIECE_BYTES, 'x');
	GString *body = g_string_new(NULL);
	struct rig g;

	while (body->len < ENDLESS_BYTES)
		g_string_append_printf(
		    body, "data: {\"choices\":[{\"text\":\"%s\"}]}\n\n", text);
	g_string_append(body, DONE);
	endless.body = body->str;
	rig_open(&g);
	g.reply = &endless;
	mh_kern_add(g.k, "side", &g, on_message, NULL);
	mh_endpoint_create(g.k, g.client, g.url);
	m->u.run.run = 1;
	m->u.run.path = g_strdup("/v1/x");
	m->u.run.stream = true;
	m->u.run.timeout_us = 5 * MH_US_PER_S;
	m->u.run.body = bytes("{}");
	mh_post(g.k, "endpoint", m);
	mh_loop_run(g.loop);
	CU_ASSERT_FALSE(g.whole);
	CU_ASSERT(g.body->len <= MAX_TEXT_BYTES);
	rig_close(&g);
	g_string_free(body, TRUE);
	g_free(text);
}

#define STREAM(t)                                                \
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" \
	"Content-Length: 48\r\n\r\n" PIECE(t) DONE

/** struct engine - repeats its response before the next one on a connection. */
struct engine {
	struct rig *g;
	int listen_fd;
	int fd; /* -1: none */
	uint32_t n_requests;
	uint32_t n_conn_requests; /* requests on this connection */
};

static void
close_engine(struct engine *e)
{
	if (e->fd < 0)
		return;
	mh_loop_fd_close(e->g->loop, e->fd);
	close(e->fd);
	e->fd = -1;
}

static void
on_engine(void *arg, bool readable, bool writable)
{
	struct engine *e = arg;
	const char *own;
	GString *out;
	char buf[4096];

	(void)readable;
	(void)writable;
	if (recv(e->fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0) {
		close_engine(e);
		return;
	}
	own = e->n_requests++ == 0 ? STREAM("a") : STREAM("b");
	out = g_string_new(e->n_conn_requests++ == 0 ? "" : STREAM("a"));
	g_string_append(out, own);
	CU_ASSERT_EQUAL(
	    send(e->fd, out->str, out->len, MSG_NOSIGNAL), (ssize_t)out->len);
	g_string_free(out, TRUE);
}

static void
on_engine_accept(void *arg, bool readable, bool writable)
{
	struct engine *e = arg;

	(void)readable;
	(void)writable;
	close_engine(e);
	e->fd = accept(e->listen_fd, NULL, NULL);
	e->n_conn_requests = 0;
	mh_loop_fd(e->g->loop, e->fd, true, false, on_engine, e);
}

static void
run_stream_once(struct rig *g, uint64_t run)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN);

	g_string_truncate(g->body, 0);
	m->u.run.run = run;
	m->u.run.path = g_strdup("/v1/x");
	m->u.run.stream = true;
	m->u.run.timeout_us = MH_US_PER_S;
	m->u.run.body = bytes("{}");
	mh_post(g->k, "endpoint", m);
	mh_loop_run(g->loop);
}

/* Guards against taking a repeated stream for the response to the next call. */
static void
test_stream_sent_twice(void)
{
	struct engine e = { .fd = -1 };
	char addr[32], url[64];
	struct rig g;

	CU_ASSERT_EQUAL(strlen(PIECE("a") DONE), 48);
	rig_open(&g);
	e.g = &g;
	e.listen_fd = tcp_listen(addr);
	mh_loop_fd(g.loop, e.listen_fd, true, false, on_engine_accept, &e);
	snprintf(url, sizeof(url), "http://%s", addr);
	mh_kern_add(g.k, "side", &g, on_message, NULL);
	mh_endpoint_create(g.k, g.client, url);
	run_stream_once(&g, 1);
	CU_ASSERT_STRING_EQUAL(g.body->str, "a");
	run_stream_once(&g, 2);
	CU_ASSERT_STRING_EQUAL(g.body->str, "b");
	close_engine(&e);
	mh_loop_fd_close(g.loop, e.listen_fd);
	close(e.listen_fd);
	rig_close(&g);
}

static void
test_endpoint_unreachable(void)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_RUN);
	struct rig g;

	rig_open(&g);
	mh_kern_add(g.k, "side", &g, on_message, NULL);
	mh_endpoint_create(g.k, g.client, "http://127.0.0.1:1");
	m->u.run.run = 1;
	m->u.run.path = g_strdup("/x");
	m->u.run.timeout_us = 300 * MH_US_PER_MS;
	m->u.run.body = bytes("{}");
	mh_post(g.k, "endpoint", m);
	mh_loop_run(g.loop);
	CU_ASSERT_FALSE(g.sent);
	rig_close(&g);
}

static void
on_done(void *arg, const struct mh_http_done *d)
{
	struct rig *g = arg;

	g->done++;
	g->status = d->status;
	mh_loop_stop(g->loop);
}

/*
 * Guards against executing a call twice.  A service responds to one call and
 * keeps the connection; it executes the next call and closes the connection
 * without a response.  libcurl then retries by itself on a new connection.  A
 * call with "once" set never uses a connection that was used before.
 */
static void
test_http_library_never_resends(void)
{
	static const struct reply good = { "good", 200, "{}", false, false };
	static const struct reply cut = { "cut", 0, "", false, false };
	struct mh_http_call call = { .method = "POST",
		.timeout_us = 2 * MH_US_PER_S };
	struct rig g;

	for (int once = 0; once < 2; once++) {
		rig_open(&g);
		call.url = g.url;
		call.once = once == 1;
		g.reply = &good;
		mh_client_start(g.client, &call, NULL, on_done, &g);
		mh_loop_run(g.loop);
		CU_ASSERT_EQUAL(g.status, 200);
		g.reply = &cut;
		mh_client_start(g.client, &call, NULL, on_done, &g);
		mh_loop_run(g.loop);
		CU_ASSERT_EQUAL(g.status, 0);
		/* Without "once" libcurl itself retries. */
		CU_ASSERT_EQUAL(g.requests, once == 1 ? 2 : 3);
		rig_close(&g);
	}
}

struct kv_case {
	enum mh_kv_op op;
	struct reply reply;
	bool ok;
	bool found;
	uint32_t cas;
};

static const struct kv_case kv_cases[] = {
	{ MH_KV_GET,
	    { "value", 200, "[{\"ModifyIndex\":5,\"Value\":\"aGk=\"}]", false,
		false },
	    true, true, 5 },
	{ MH_KV_GET, { "none", 404, "", false, false }, true, false, 0 },
	{ MH_KV_GET, { "garbage", 200, "}{", false, false }, false, false, 0 },
	{ MH_KV_GET, { "no value", 200, "[{}]", false, false }, false, false,
	    0 },
	{ MH_KV_GET, { "error", 500, "", false, false }, false, false, 0 },
	{ MH_KV_GET, { "cut", 0, "", false, false }, false, false, 0 },
	{ MH_KV_PUT, { "written", 200, "true", false, false }, true, true, 0 },
	{ MH_KV_PUT, { "lost race", 200, "false", false, false }, true, false,
	    0 },
	{ MH_KV_PUT, { "no answer", 0, "", false, false }, false, false, 0 },
	{ MH_KV_PUT, { "error", 503, "true", false, false }, false, false, 0 },
	{ MH_KV_WATCH,
	    { "value", 200, "[{\"ModifyIndex\":9,\"Value\":\"aGk=\"}]", false,
		false },
	    true, true, 9 },
};

static void
test_kv_contract(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kv_cases); i++) {
		const struct kv_case *c = &kv_cases[i];
		struct mh_msg *m = mh_msg_new(MH_MSG_KV);
		struct rig g;

		rig_open(&g);
		g.reply = &c->reply;
		mh_kern_add(g.k, "conf", &g, on_message, NULL);
		mh_kv_create(g.k, g.client, g.url);
		m->u.kv.op = c->op;
		m->u.kv.reply_to = g_strdup("conf");
		m->u.kv.name = g_strdup("config/head");
		m->u.kv.index = 3;
		m->u.kv.wait_us = MH_US_PER_S;
		m->u.kv.value = bytes("x");
		mh_post(g.k, "kv", m);
		mh_loop_run(g.loop);
		if (g.whole != c->ok || g.sent != c->found)
			printf("\n  case %s\n", c->reply.name);
		CU_ASSERT_EQUAL(g.whole, c->ok);
		CU_ASSERT_EQUAL(g.sent, c->found);
		CU_ASSERT_EQUAL(g.status, c->cas);
		CU_ASSERT_STRING_EQUAL(g.last_path, "/v1/kv/config/head");
		/* A write whose response was lost is never retried. */
		CU_ASSERT(c->op != MH_KV_PUT || g.requests == 1);
		rig_close(&g);
	}
}

static const struct {
	struct reply reply;
	bool ok;
} vmlist_cases[] = {
	{ { "empty", 200, "[]", false, false }, true },
	{ { "one", 200,
	      "[{\"id\":\"a\",\"addr\":\"127.0.0.1:1\",\"role\":\"side\","
	      "\"state\":\"leaving\"}]",
	      false, false },
	    true },
	{ { "missing id", 200, "[{\"addr\":\"127.0.0.1:1\"}]", false, false },
	    false },
	{ { "garbage", 200, "}{", false, false }, false },
	{ { "error", 500, "[]", false, false }, false },
	{ { "cut", 0, "", false, false }, false },
};

static void
test_vmlist_contract(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(vmlist_cases); i++) {
		struct rig g;

		rig_open(&g);
		g.reply = &vmlist_cases[i].reply;
		mh_kern_add(g.k, "roster", &g, on_message, NULL);
		mh_vmlist_create(g.k, g.client, g.url);
		mh_post(g.k, "vmlist", mh_msg_new(MH_MSG_VMLIST_READ));
		mh_loop_run(g.loop);
		CU_ASSERT_EQUAL(g.whole, vmlist_cases[i].ok);
		rig_close(&g);
	}
}

/* A caller that disconnects while its request waits is noticed. */
static void
test_caller_disconnect_is_noticed(void)
{
	static const struct reply never = { "silent", 1, "", false, false };
	struct mh_http_call call = { .method = "POST",
		.timeout_us = 200 * MH_US_PER_MS };
	struct rig g;

	rig_open(&g);
	g.reply = &never;
	call.url = g.url;
	mh_client_start(g.client, &call, NULL, on_done, &g);
	mh_loop_run(g.loop);
	CU_ASSERT_EQUAL(g.requests, 1);
	while (g.disconnects == 0 && !g.timed_out) {
		struct mh_http_call ping = { .method = "GET",
			.url = g.url,
			.timeout_us = 300 * MH_US_PER_MS };

		mh_client_start(g.client, &ping, NULL, on_done, &g);
		mh_loop_run(g.loop);
	}
	CU_ASSERT(g.disconnects >= 1);
	rig_close(&g);
}

/** struct link_events - link events of both ends of a link. */
struct link_events {
	struct mh_kern *k;
	struct mh_loop *loop;
	uint32_t up;
	uint32_t down;
};

static void
count_event(void *self, struct mh_msg *m)
{
	struct link_events *e = self;

	e->up += m->kind == MH_MSG_LINK_UP;
	e->down += m->kind == MH_MSG_LINK_DOWN;
	if (e->up == 2)
		mh_loop_stop(e->loop);
}

static void
stop_loop(void *arg)
{
	struct link_events *e = arg;

	mh_loop_stop(e->loop);
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
		.sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(
	    connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

static void
send_frame(int fd, const Mh__Frame *f)
{
	GBytes *b = mh_frame_pack(f);
	gsize len;
	const void *data = g_bytes_get_data(b, &len);
	uint8_t head[4] = { 0, 0, (uint8_t)(len >> 8), (uint8_t)len };

	CU_ASSERT_EQUAL(write(fd, head, sizeof(head)), 4);
	CU_ASSERT_EQUAL(write(fd, data, len), (ssize_t)len);
	g_bytes_unref(b);
}

/* A valid Hello, then an Auth with a wrong MAC. */
static void
send_bad_peer(int fd)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Hello h = MH__HELLO__INIT;
	Mh__Auth a = MH__AUTH__INIT;
	Mh__Call c = MH__CALL__INIT;
	uint8_t zero[32] = { 0 };

	h.version = 1;
	h.vm = (char *)"stranger";
	h.nonce.data = zero;
	h.nonce.len = 16;
	f.body_case = MH__FRAME__BODY_HELLO;
	f.hello = &h;
	send_frame(fd, &f);
	a.mac.data = zero;
	a.mac.len = sizeof(zero);
	f.body_case = MH__FRAME__BODY_AUTH;
	f.auth = &a;
	send_frame(fd, &f);
	f.body_case = MH__FRAME__BODY_CALL;
	f.call = &c;
	send_frame(fd, &f);
}

struct bad_peer {
	const char *name;
	const char *bytes; /* NULL: a Hello and a wrong MAC */
	size_t len;
};

static const struct bad_peer bad_peers[] = {
	{ "wrong MAC", NULL, 0 },
	{ "another protocol", "GET / HTTP/1.1\r\n\r\n", 18 },
	{ "garbage frame", "\0\0\0\4\377\377\377\377", 8 },
	{ "oversize frame", "\177\377\377\377", 4 },
};

/*
 * A peer without the secret is never announced, none of its frames is
 * delivered and its connection is closed.  A peer with the secret is linked.
 */
static void
test_link(void)
{
	struct link_events e = { .k = mh_kern_create(1) };
	struct mh_link_args a = { .listen = "127.0.0.1:0",
		.vm = "one",
		.domain = "a",
		.role = "side",
		.secret = "0123456789abcdef" };
	char addr[32], c;

	e.loop = mh_loop_create(e.k, NULL);
	mh_kern_add(e.k, "hub", &e, count_event, NULL);
	CU_ASSERT_TRUE(mh_link_create(e.loop, &a, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(bad_peers); i++) {
		const struct bad_peer *s = &bad_peers[i];
		int fd = connect_to(mh_link_port(e.loop));
		ssize_t n;

		if (s->bytes == NULL)
			send_bad_peer(fd);
		else
			CU_ASSERT_EQUAL(
			    write(fd, s->bytes, s->len), (ssize_t)s->len);
		mh_timer_start(e.k, 100 * MH_US_PER_MS, stop_loop, &e);
		mh_loop_run(e.loop);
		/* Skips the Hello of the link service up to the close. */
		do {
			n = recv(fd, &c, 1, MSG_DONTWAIT);
		} while (n > 0);
		CU_ASSERT(n == 0 || errno == ECONNRESET);
		CU_ASSERT_EQUAL(e.up, 0);
		close(fd);
	}
	CU_ASSERT_EQUAL(mh_counter(e.k, "link_refused"), 1);
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", mh_link_port(e.loop));
	mh_link_dial(e.k, 1000, addr);
	mh_loop_run(e.loop);
	CU_ASSERT_EQUAL(e.up, 2);
	mh_kern_destroy(e.k);
	mh_loop_destroy(e.loop);
}

/** struct link_end - one end of a link with its own event loop. */
struct link_end {
	struct mh_kern *k;
	struct mh_loop *loop;
	uint64_t conn; /* 0: not up */
	bool down;
	uint32_t ups;
	uint32_t progress; /* reports of a partly received frame */
	uint32_t frames;
};

static void
on_end_message(void *self, struct mh_msg *m)
{
	struct link_end *s = self;

	if (m->kind == MH_MSG_LINK_UP)
		s->conn = m->u.link.conn;
	s->ups += m->kind == MH_MSG_LINK_UP;
	s->down |= m->kind == MH_MSG_LINK_DOWN;
	s->progress += m->kind == MH_MSG_LINK_RX_PROGRESS;
	s->frames += m->kind == MH_MSG_FRAME;
}

static void
stop_end(void *arg)
{
	mh_loop_stop(((struct link_end *)arg)->loop);
}

static void
run_end(struct link_end *s)
{
	/* The clock was not advanced while the other end ran. */
	mh_kern_advance(s->k, g_get_monotonic_time(), g_get_real_time());
	mh_timer_start(s->k, 20 * MH_US_PER_MS, stop_end, s);
	mh_loop_run(s->loop);
}

static void
open_end(struct link_end *s, const char *vm)
{
	struct mh_link_args a = { .listen = "127.0.0.1:0",
		.vm = vm,
		.domain = "a",
		.role = "side",
		.secret = "0123456789abcdef" };

	memset(s, 0, sizeof(*s));
	s->k = mh_kern_create(1);
	s->loop = mh_loop_create(s->k, NULL);
	mh_kern_add(s->k, "hub", s, on_end_message, NULL);
	CU_ASSERT_TRUE(mh_link_create(s->loop, &a, NULL));
}

static void
send_bytes(struct link_end *s, size_t len)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_SEND);

	m->u.link.conn = s->conn;
	m->u.link.frame = g_bytes_new_take(g_malloc0(len), len);
	mh_post(s->k, "link", m);
}

static void
link_ends(struct link_end *us, struct link_end *peer)
{
	int64_t start = g_get_monotonic_time();
	char addr[32];

	open_end(us, "us");
	open_end(peer, "peer");
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", mh_link_port(peer->loop));
	mh_link_dial(us->k, 1000, addr);
	while (us->conn == 0 && g_get_monotonic_time() - start < TIMEOUT_US) {
		run_end(us);
		run_end(peer);
	}
	CU_ASSERT(us->conn != 0);
}

static void
close_end(struct link_end *s)
{
	mh_kern_destroy(s->k);
	mh_loop_destroy(s->loop);
}

/* Guards against taking a link as silent while it receives a large frame. */
static void
test_link_part_of_a_frame(void)
{
	static const struct {
		size_t len;
		bool progress;
	} t[] = { { 100, false }, { 4096, false },
		{ LARGE_FRAME_BYTES, true } };
	struct link_end us, peer;

	link_ends(&us, &peer);
	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		int64_t start = g_get_monotonic_time();

		peer.progress = peer.frames = 0;
		send_bytes(&us, t[i].len);
		while (peer.frames == 0 &&
		    g_get_monotonic_time() - start < TIMEOUT_US) {
			run_end(&us);
			run_end(&peer);
		}
		CU_ASSERT_EQUAL(peer.frames, 1);
		CU_ASSERT_EQUAL(peer.progress > 0, t[i].progress);
	}
	close_end(&us);
	close_end(&peer);
}

/* Guards against memory and time for a peer that proves nothing. */
static void
test_link_endless_hello(void)
{
	/* at full speed, and a byte at a time */
	for (int slow = 0; slow < 2; slow++) {
		const uint8_t head[] = { 0, slow ? 0 : 0x3f, 0x0f, 0xff };
		int64_t start = g_get_monotonic_time();
		uint8_t bytes[4096] = { 0 };
		struct link_end us;
		size_t sent = 0;
		ssize_t n;
		int fd;

		open_end(&us, "us");
		fd = tcp_dial(mh_link_port(us.loop));
		CU_ASSERT(send(fd, head, 4, MSG_NOSIGNAL) > 0);
		do {
			n = send(fd, bytes, slow ? 1 : sizeof(bytes),
			    MSG_NOSIGNAL | MSG_DONTWAIT);
			sent += n > 0 ? (size_t)n : 0;
			run_end(&us);
		} while ((n > 0 || errno == EAGAIN) &&
		    g_get_monotonic_time() - start < TIMEOUT_US);
		CU_ASSERT(n < 0 && errno != EAGAIN);
		CU_ASSERT(sent < 16 * sizeof(bytes));
		CU_ASSERT_EQUAL(
		    mh_counter(us.k, "link_frames_too_long"), !slow);
		close(fd);
		close_end(&us);
	}
}

/* Guards against a link that is kept for a frame that never ends. */
static void
test_link_endless_frame(void)
{
	struct link_end us, peer;

	link_ends(&us, &peer);
	while (peer.conn == 0)
		run_end(&peer);
	/* Its loop stops then: only a part of the frame is sent. */
	send_bytes(&peer, MH_MAX_FRAME);
	run_end(&peer);
	run_end(&us);
	run_end(&us);
	CU_ASSERT_EQUAL(us.frames, 0);
	CU_ASSERT_FALSE(us.down);
	mh_kern_advance(
	    us.k, g_get_monotonic_time() + 11 * MH_US_PER_S, g_get_real_time());
	run_end(&us);
	CU_ASSERT_TRUE(us.down);
	CU_ASSERT_EQUAL(mh_counter(us.k, "link_frames_late"), 1);
	close_end(&us);
	close_end(&peer);
}

/* Guards against unbounded buffers for a peer that does not read. */
static void
test_link_to_peer_that_does_not_read(void)
{
	struct link_end us, peer;
	int64_t start = g_get_monotonic_time();

	link_ends(&us, &peer);
	/* The peer's loop does not run. */
	for (int i = 0; i < LARGE_FRAMES; i++) {
		send_bytes(&us, LARGE_FRAME_BYTES);
		run_end(&us);
	}
	while (!us.down && g_get_monotonic_time() - start < TIMEOUT_US)
		run_end(&us);
	CU_ASSERT_TRUE(us.down);
	CU_ASSERT_EQUAL(mh_counter(us.k, "link_overflows"), 1);
	close_end(&us);
	close_end(&peer);
}

#define PEERS 4
#define QUEUES_MAX_BYTES ((uint64_t)8 << 20)
#define QUEUED_FRAME_BYTES ((size_t)1 << 20)
#define FRAMES_A_PEER 4

/* Guards against many peers that each leave a little unread. */
static void
test_links_to_peers_that_do_not_read(void)
{
	struct link_end us, peers[PEERS];
	int64_t start = g_get_monotonic_time();
	char addr[32];

	open_end(&us, "us");
	mh_link_set_limits(us.loop, 0, QUEUES_MAX_BYTES);
	for (uint64_t i = 0; i < PEERS; i++) {
		open_end(&peers[i], "peer");
		snprintf(addr, sizeof(addr), "127.0.0.1:%u",
		    mh_link_port(peers[i].loop));
		mh_link_dial(us.k, 1000 + i, addr);
	}
	while (us.ups < PEERS && g_get_monotonic_time() - start < TIMEOUT_US) {
		run_end(&us);
		for (int i = 0; i < PEERS; i++)
			run_end(&peers[i]);
	}
	CU_ASSERT_EQUAL(us.ups, PEERS);
	/* The peers' loops do not run. */
	for (uint64_t i = 0; i < (uint64_t)PEERS * FRAMES_A_PEER; i++) {
		us.conn = 1000 + i % PEERS;
		send_bytes(&us, QUEUED_FRAME_BYTES);
		run_end(&us);
		CU_ASSERT(mh_link_out_bytes(us.loop) <= QUEUES_MAX_BYTES);
	}
	CU_ASSERT(mh_counter(us.k, "link_overflows") > 0);
	CU_ASSERT(mh_counter(us.k, "link_overflows") < PEERS);
	close_end(&us);
	for (int i = 0; i < PEERS; i++)
		close_end(&peers[i]);
}

const struct test tests_adapter[] = {
	{ "endpoint_rest", test_endpoint_rest },
	{ "endpoint_contract", test_endpoint_contract },
	{ "stream_with_error_status", test_stream_with_error_status },
	{ "stream_with_status_201", test_stream_with_status_201 },
	{ "stream_with_a_bad_event", test_stream_with_a_bad_event },
	{ "stream_with_an_error_event", test_stream_with_an_error_event },
	{ "stream_with_data_after_end", test_stream_with_data_after_end },
	{ "stream_truncated_at_any_byte", test_stream_truncated_at_any_byte },
	{ "endless_stream", test_endless_stream },
	{ "stream_sent_twice", test_stream_sent_twice },
	{ "endpoint_unreachable", test_endpoint_unreachable },
	{ "http_library_never_resends", test_http_library_never_resends },
	{ "kv_contract", test_kv_contract },
	{ "vmlist_contract", test_vmlist_contract },
	{ "caller_disconnect_is_noticed", test_caller_disconnect_is_noticed },
	{ "link", test_link },
	{ "link: part of a large frame", test_link_part_of_a_frame },
	{ "link: a hello without end", test_link_endless_hello },
	{ "link: a frame without end", test_link_endless_frame },
	{ "link_to_peer_that_does_not_read",
	    test_link_to_peer_that_does_not_read },
	{ "links to peers that do not read",
	    test_links_to_peers_that_do_not_read },
	{ NULL, NULL },
};
