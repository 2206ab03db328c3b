/**
 * DOC: The HTTP server and client that pass requests on byte for byte, over
 * loopback sockets.  The tests send and check raw bytes on the other side;
 * ports are picked by the kernel, and nothing asserts on elapsed time.
 */

#include "gate.h"
#include "regress.h"
#include "tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (10 * MH_US_PER_S)
/* Bytes; more than the kernel buffers for a caller that does not read. */
#define LONG_ANSWER ((size_t)6 << 20)

/** struct hrig - a server, a client and what they observed. */
struct hrig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hserve *s;
	struct mh_hcalls *c;
	char addr[32];
	/* the server's side */
	uint32_t requests;
	uint32_t disconnects;
	char target[64];
	char body[64];
	bool defer; /* do not answer yet */
	bool abort_answer; /* in the middle of the response */
	size_t answer_bytes; /* response body; 0: two bytes */
	struct mh_hreq *req;
	/* raw peer of the client */
	int listen_fd;
	int peer_fd;
	const char *script; /* its response to each request */
	bool reset;
	int64_t half_us; /* until it closes the other */
	bool half_closes; /* it ends its sending side first */
	size_t body_bytes; /* of the request, of which it reads the first */
	bool peer_ended; /* the client closed the connection... */
	int peer_errno; /* ...in order: 0, or with a reset */
	uint32_t accepted;
	/* raw caller of the server */
	GString *feed; /* still to be sent */
	const char *stop_text; /* stops the loop when received */
	int raw_errno; /* 0: orderly close */
	uint32_t loop_count; /* iterations of the loop */
	/* the client's side */
	uint32_t ended;
	uint32_t expected; /* calls to wait for */
	struct mh_hcall *call; /* the last one */
	bool abandons; /* it is given up */
	enum mh_hcall_outcome end;
	uint32_t status;
	GString *got;
	bool is_control; /* its next calls are */
	uint32_t heads; /* reported, of all calls */
	uint32_t work_heads; /* of these, of calls that run work */
};

static void
run(struct hrig *r)
{
	CU_ASSERT_TRUE(run_with_timeout(r->k, r->loop, TIMEOUT_US));
}

static void
answer(struct hrig *r, struct mh_hreq *q)
{
	char *body = g_strnfill(r->answer_bytes > 0 ? r->answer_bytes : 2, 'x');

	mh_hreq_head(q, 200, NULL, (int64_t)strlen(body));
	mh_hreq_write(q, body, strlen(body));
	mh_hreq_end(q);
	g_free(body);
}

static void
on_request(void *arg, struct mh_hreq *q)
{
	struct hrig *r = arg;
	const GByteArray *b = mh_hreq_body(q);

	r->requests++;
	g_strlcpy(r->target, mh_hreq_target(q), sizeof(r->target));
	g_snprintf(r->body, sizeof(r->body), "%.*s", (int)b->len,
	    (const char *)b->data);
	r->req = q;
	if (r->defer)
		return;
	if (!r->abort_answer) {
		answer(r, q);
		return;
	}
	mh_hreq_head(q, 200, NULL, -1);
	mh_hreq_write(q, "ok", 2);
	mh_hreq_abort(q);
}

static void
on_disconnect(void *arg, struct mh_hreq *q)
{
	struct hrig *r = arg;

	(void)q;
	r->disconnects++;
	mh_loop_stop(r->loop);
}

static struct hrig *
hrig_create(void)
{
	struct hrig *r = g_new0(struct hrig, 1);
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 512, 64, 3 * MH_US_PER_S, 2 * TIMEOUT_US },
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.arg = r };

	r->k = mh_kern_create(1);
	r->loop = mh_loop_create(r->k, NULL);
	r->s = mh_hserve_create(r->loop, &a, NULL);
	r->c = mh_hcalls_create(r->loop);
	g_snprintf(
	    r->addr, sizeof(r->addr), "127.0.0.1:%u", mh_hserve_port(r->s));
	r->got = g_string_new(NULL);
	r->listen_fd = r->peer_fd = -1;
	return r;
}

static void
hrig_destroy(struct hrig *r)
{
	mh_hserve_destroy(r->s);
	mh_hcalls_destroy(r->c);
	if (r->peer_fd >= 0) {
		mh_loop_fd_close(r->loop, r->peer_fd);
		close(r->peer_fd);
	}
	if (r->listen_fd >= 0) {
		mh_loop_fd_close(r->loop, r->listen_fd);
		close(r->listen_fd);
	}
	mh_loop_destroy(r->loop);
	mh_kern_destroy(r->k);
	g_string_free(r->got, TRUE);
	if (r->feed != NULL)
		g_string_free(r->feed, TRUE);
	g_free(r);
}

/* a raw caller of the server */

static void
on_raw(void *arg, bool readable, bool writable)
{
	struct hrig *r = arg;
	char buf[4096];
	ssize_t n;

	(void)readable;
	(void)writable;
	n = recv(r->peer_fd, buf, sizeof(buf), MSG_DONTWAIT);
	if (n > 0) {
		g_string_append_len(r->got, buf, n);
		if (r->stop_text != NULL &&
		    strstr(r->got->str, r->stop_text) != NULL)
			mh_loop_stop(r->loop);
		return;
	}
	r->raw_errno = n < 0 ? errno : 0;
	mh_loop_stop(r->loop);
}

static void
raw(struct hrig *r, const char *text)
{
	r->peer_fd = tcp_dial(mh_hserve_port(r->s));
	CU_ASSERT(send(r->peer_fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	mh_loop_fd(r->loop, r->peer_fd, true, false, on_raw, r);
}

static void
on_wake(void *arg)
{
	struct hrig *r = arg;

	mh_loop_fd(r->loop, r->peer_fd, true, false, on_raw, r);
}

/* A caller with a small receive window that starts to read after @us. */
static void
raw_slow(struct hrig *r, const char *text, int64_t us)
{
	int window = 32 << 10;

	r->peer_fd = tcp_dial(mh_hserve_port(r->s));
	setsockopt(r->peer_fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	CU_ASSERT(send(r->peer_fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	mh_timer_start(r->k, us, on_wake, r);
}

static void
on_feed(void *arg, bool readable, bool writable)
{
	struct hrig *r = arg;
	ssize_t n = send(r->peer_fd, r->feed->str, r->feed->len,
	    MSG_NOSIGNAL | MSG_DONTWAIT);

	if (n > 0)
		g_string_erase(r->feed, 0, n);
	if (readable)
		on_raw(arg, readable, writable);
	else if (r->feed->len == 0)
		mh_loop_fd(r->loop, r->peer_fd, true, false, on_raw, r);
}

/* A caller that sends @more bytes after @text as fast as possible. */
static void
raw_feed(struct hrig *r, const char *text, size_t more)
{
	char *rest = g_strnfill(more, 'x');

	r->feed = g_string_new(text);
	g_string_append(r->feed, rest);
	r->peer_fd = tcp_dial(mh_hserve_port(r->s));
	mh_loop_fd(r->loop, r->peer_fd, false, true, on_feed, r);
	g_free(rest);
}

static void
on_answer(void *arg)
{
	struct hrig *r = arg;

	r->defer = false;
	answer(r, r->req);
}

/** struct request_case - bytes of a caller, and the expected result. */
struct request_case {
	const char *name;
	const char *text;
	uint32_t requests; /* delivered */
	const char *status; /* prefix of the response */
};

#define END "Connection: close\r\n\r\n"

static const struct request_case request_cases[] = {
	{ "plain", "GET /a%20b?x=%2F&y=a+b HTTP/1.1\r\nHost: h\r\n" END, 1,
	    "HTTP/1.1 200" },
	{ "with a length",
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" END "abc", 1,
	    "HTTP/1.1 200" },
	{ "in chunks",
	    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" END
	    "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
	    1, "HTTP/1.1 200" },
	{ "length and chunks: parsers disagree on the body",
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "Transfer-Encoding: chunked\r\n" END "0\r\n\r\n",
	    0, "HTTP/1.1 400" },
	{ "two lengths",
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "Content-Length: 4\r\n" END "abcd",
	    0, "HTTP/1.1 400" },
	{ "space in a name",
	    "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id : 1\r\n" END, 0,
	    "HTTP/1.1 400" },
	{ "no host", "GET /a HTTP/1.1\r\n" END, 0, "HTTP/1.1 400" },
	{ "two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: g\r\n" END, 0,
	    "HTTP/1.1 400" },
	{ "not HTTP", "hello\r\n\r\n", 0, "HTTP/1.1 400" },
	{ "bad chunk",
	    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" END
	    "zz\r\n",
	    0, "HTTP/1.1 400" },
	{ "body over the limit",
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n" END, 0,
	    "HTTP/1.1 413" },
};

static void
test_requests(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		const struct request_case *w = &request_cases[i];
		struct hrig *r = hrig_create();

		raw(r, w->text);
		run(r);
		if (r->requests != w->requests ||
		    !g_str_has_prefix(r->got->str, w->status))
			fprintf(
			    stderr, "request: %s: %s\n", w->name, r->got->str);
		CU_ASSERT_EQUAL(r->requests, w->requests);
		CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, w->status));
		hrig_destroy(r);
	}
}

static void
test_header_over_the_limit(void)
{
	struct hrig *r = hrig_create();
	char *value = g_strnfill(600, 'x');
	char *text = g_strdup_printf(
	    "GET /a HTTP/1.1\r\nHost: h\r\nX: %s\r\n" END, value);

	raw(r, text);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 0);
	CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, "HTTP/1.1 431"));
	g_free(value);
	g_free(text);
	hrig_destroy(r);
}

/* Path and query are delivered as sent, not decoded or normalised. */
static void
test_target_unchanged(void)
{
	struct hrig *r = hrig_create();

	raw(r,
	    "POST /a%2fb/../c?x=%20&&y HTTP/1.1\r\nHost: h\r\n"
	    "Content-Length: 2\r\n" END "hi");
	run(r);
	CU_ASSERT_STRING_EQUAL(r->target, "/a%2fb/../c?x=%20&&y");
	CU_ASSERT_STRING_EQUAL(r->body, "hi");
	hrig_destroy(r);
}

/* Two pipelined requests on one connection are answered in order. */
static void
test_two_on_one_connection(void)
{
	struct hrig *r = hrig_create();

	raw(r,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "GET /2 HTTP/1.1\r\nHost: h\r\n" END);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 2);
	CU_ASSERT_STRING_EQUAL(r->target, "/2");
	hrig_destroy(r);
}

static void
on_drain_answer(void *arg)
{
	struct hrig *r = arg;

	mh_hserve_drain(r->s);
	on_answer(r);
}

/*
 * A server drains while a connection has a request open and the next one read.
 * Both must be answered: only the last response may announce the close.
 */
static void
test_drain_answers_what_is_read(void)
{
	struct hrig *r = hrig_create();

	r->defer = true;
	raw(r,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_drain_answer, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 2);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(r->got->str, "\r\n\r\nxxHTTP/1.1 200"));
	CU_ASSERT_TRUE(
	    g_str_has_suffix(r->got->str, "Connection: close\r\n\r\nxx"));
	hrig_destroy(r);
}

static void
close_peer(void *arg)
{
	struct hrig *r = arg;

	mh_loop_fd_close(r->loop, r->peer_fd);
	close(r->peer_fd);
	r->peer_fd = -1;
}

/* A caller that closes while it waits for a response is detected. */
static void
test_caller_closes(void)
{
	struct hrig *r = hrig_create();

	r->defer = true;
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, close_peer, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_EQUAL(r->disconnects, 1);
	hrig_destroy(r);
}

/* An aborted response has no last chunk, so it does not look complete. */
static void
test_aborted_response(void)
{
	struct hrig *r = hrig_create();

	r->abort_answer = true;
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run(r);
	CU_ASSERT_PTR_NULL(strstr(r->got->str, "0\r\n\r\n"));
	hrig_destroy(r);
}

/* delivery of complete responses */

static size_t
head_len(const GString *got)
{
	const char *p = strstr(got->str, "\r\n\r\n");

	return p == NULL ? got->len : (size_t)(p + 4 - got->str);
}

/*
 * A caller requests a long response with "Connection: close" and pauses before
 * it reads.  The linger time must start when the response has been sent, not
 * when it is complete; otherwise the caller gets a truncated response.
 */
static void
test_slow_caller_that_closes(void)
{
	struct hrig *r = hrig_create();

	r->answer_bytes = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 1500 * MH_US_PER_MS);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - head_len(r->got), LONG_ANSWER);
	hrig_destroy(r);
}

/*
 * A caller on a kept connection reads a long response for longer than the idle
 * limit.  The connection must not count as idle while the response is being
 * sent; otherwise the response is truncated.
 */
static void
test_slow_caller_is_not_idle(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 64, 3 * MH_US_PER_S, 100 * MH_US_PER_MS };

	mh_hserve_set_limits(r->s, &l);
	r->answer_bytes = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", 400 * MH_US_PER_MS);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - head_len(r->got), LONG_ANSWER);
	hrig_destroy(r);
}

/*
 * A caller pipelines two requests and reads both long responses after a pause.
 * Each response is within the limit of unsent bytes, both together are not.
 * The connection must not be dropped because the second response is produced
 * while the first still waits to be sent.
 */
static void
test_two_long_responses(void)
{
	struct hrig *r = hrig_create();

	r->answer_bytes = LONG_ANSWER;
	raw_slow(r,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "GET /2 HTTP/1.1\r\nHost: h\r\n" END,
	    200 * MH_US_PER_MS);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 2);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_TRUE(r->got->len > 2 * LONG_ANSWER);
	hrig_destroy(r);
}

/*
 * A caller keeps sending after a request whose response closes the connection.
 * Reading pauses at the input limit while the request is processed and must
 * resume with the response; otherwise the close finds unread input, resets the
 * connection, and the end of the response is lost.
 */
static void
test_bytes_after_the_last_request(void)
{
	struct hrig *r = hrig_create();
	int window = 32 << 10;

	r->defer = true;
	r->answer_bytes = (size_t)1 << 20;
	raw_feed(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 8 << 20);
	setsockopt(r->peer_fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_answer, r);
	mh_timer_start(r->k, 1500 * MH_US_PER_MS, on_wake, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - head_len(r->got), (size_t)1 << 20);
	CU_ASSERT_EQUAL(r->feed->len, 0);
	hrig_destroy(r);
}

/*
 * A request with a large body follows another request at once.  Its first part
 * fills the input buffer, which pauses reading.  Reading must resume when the
 * buffer is parsed; otherwise the request is answered 408.
 */
static void
test_body_after_a_request(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 1 << 20, MH_US_PER_S, MH_US_PER_S };

	mh_hserve_set_limits(r->s, &l);
	r->defer = true;
	raw_feed(r,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n" END,
	    1000000);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_answer, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 2);
	CU_ASSERT_PTR_NULL(strstr(r->got->str, " 408 "));
	hrig_destroy(r);
}

/*
 * A caller sends a request and at once the head of a second one with
 * "Expect: 100-continue".  The interim response must be sent, not just queued;
 * otherwise the caller waits for it with the body.
 */
static void
test_continue_after_a_request(void)
{
	struct hrig *r = hrig_create();

	r->stop_text = "100 Continue";
	raw(r,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "Expect: 100-continue\r\n\r\n");
	run(r);
	CU_ASSERT_PTR_NOT_NULL(strstr(r->got->str, r->stop_text));
	CU_ASSERT_PTR_NULL(strstr(r->got->str, " 408 "));
	hrig_destroy(r);
}

/* An HTTP/1.0 caller would take an interim response as the final one. */
static void
test_no_continue_for_http10(void)
{
	struct hrig *r = hrig_create();

	raw(r,
	    "POST /1 HTTP/1.0\r\nHost: h\r\nContent-Length: 1\r\n"
	    "Expect: 100-continue\r\n\r\nx");
	run(r);
	CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, "HTTP/1.1 200"));
	hrig_destroy(r);
}

/*
 * A response that ends with the connection is aborted.  The connection must be
 * reset without an orderly close first; otherwise the caller takes the
 * truncated response as complete.
 */
static void
test_aborted_unframed_response(void)
{
	struct hrig *r = hrig_create();

	r->abort_answer = true;
	raw(r, "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, ECONNRESET);
	hrig_destroy(r);
}

static void
on_first_half(void *arg)
{
	struct hrig *r = arg;

	mh_hreq_head(r->req, 200, NULL, -1);
	mh_hreq_write(r->req, "ok", 2);
}

static void
destroy_server(struct hrig *r)
{
	mh_hserve_destroy(r->s);
	r->s = NULL;
}

/*
 * The server stops in the middle of such a response.  It must reset the
 * connection; otherwise the truncated response looks complete.
 */
static void
test_stop_within_unframed_response(void)
{
	struct hrig *r = hrig_create();

	r->defer = true;
	r->stop_text = "ok";
	raw(r, "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_first_half, r);
	run(r);
	destroy_server(r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, ECONNRESET);
	hrig_destroy(r);
}

static void
on_stop(void *arg)
{
	mh_loop_stop(((struct hrig *)arg)->loop);
}

/*
 * A process refuses its pending requests after its loop has stopped, and exits.
 * mh_hserve_destroy() must send these responses; otherwise the callers see
 * their connections closed without a response.
 */
static void
test_response_after_loop_stop(void)
{
	struct hrig *r = hrig_create();

	r->defer = true;
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_stop, r);
	run(r);
	answer(r, r->req);
	destroy_server(r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "\r\n\r\nxx"));
	hrig_destroy(r);
}

static void
on_busy(void *arg)
{
	static const char text[] = "GET /1 HTTP/1.1\r\nHost: h\r\n" END;
	struct hrig *r = arg;

	CU_ASSERT(send(r->peer_fd, text, sizeof(text) - 1, MSG_NOSIGNAL) > 0);
	g_usleep(100 * MH_US_PER_MS);
}

/*
 * While the process is busy, a connection's idle time expires and a request
 * arrives on it.  The server must read the socket before it acts on the timer;
 * otherwise it resets the connection instead of answering.
 */
static void
test_request_at_the_idle_limit(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 64, 3 * MH_US_PER_S, 100 * MH_US_PER_MS };

	mh_hserve_set_limits(r->s, &l);
	r->peer_fd = tcp_dial(mh_hserve_port(r->s));
	mh_loop_fd(r->loop, r->peer_fd, true, false, on_raw, r);
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_busy, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, "HTTP/1.1 200"));
	hrig_destroy(r);
}

static const char one_request[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

static void
on_rest(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT(
	    send(r->peer_fd, r->feed->str, r->feed->len, MSG_NOSIGNAL) > 0);
}

/* changed limits: those who send or wait may know the former ones */

static const struct mh_hlimits wide = { 512, 64, 3 * MH_US_PER_S,
	2 * TIMEOUT_US };
static const struct mh_hlimits narrow = { 20, 2, 50 * MH_US_PER_MS,
	50 * MH_US_PER_MS };

static void
on_narrow(void *arg)
{
	struct hrig *r = arg;

	mh_hserve_set_limits(r->s, &narrow);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_rest, r);
}

static void
on_wide(void *arg)
{
	struct hrig *r = arg;

	mh_hserve_set_limits(r->s, &wide);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_rest, r);
}

/* One request under way or waited for as the limits change; @rest follows. */
static void
check_change(const struct mh_hlimits *before, mh_timer_fn change,
    const char *text, const char *rest)
{
	struct hrig *r = hrig_create();

	mh_hserve_set_limits(r->s, before);
	r->feed = g_string_new(rest);
	r->peer_fd = tcp_dial(mh_hserve_port(r->s));
	CU_ASSERT(send(r->peer_fd, text, strlen(text), MSG_NOSIGNAL) >= 0);
	mh_loop_fd(r->loop, r->peer_fd, true, false, on_raw, r);
	mh_timer_start(r->k, 20 * MH_US_PER_MS, change, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, "HTTP/1.1 200"));
	hrig_destroy(r);
}

static void
test_limits_change(void)
{
	static const char half[] = "GET /1 HTTP/1.1\r\nHost: h\r\n";
	static const char body[] =
	    "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n" END;
	static const char small[] = "GET / HTTP/1.1\r\nHost: h\r\n";

	check_change(&wide, on_narrow, half, "X-Long: 1234567890\r\n" END);
	check_change(&wide, on_narrow, body, "abcdef");
	check_change(
	    &wide, on_narrow, "", "GET /1 HTTP/1.1\r\nHost: h\r\n" END);
	check_change(&narrow, on_wide, small, END);
	check_change(
	    &narrow, on_wide, "", "GET /1 HTTP/1.1\r\nHost: h\r\n" END);
}

/* The next request of a connection has the new limits. */
static void
test_limits_of_the_next(void)
{
	struct hrig *r = hrig_create();

	r->stop_text = "xx";
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	mh_hserve_set_limits(r->s, &wide);
	run(r);
	mh_hserve_set_limits(r->s, &narrow);
	r->stop_text = NULL;
	g_string_truncate(r->got, 0);
	/* It waits under both; the one after it has the narrow limits. */
	CU_ASSERT(send(r->peer_fd, one_request, strlen(one_request),
		      MSG_NOSIGNAL) > 0);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 2);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "\r\n\r\nxx"));
	hrig_destroy(r);
}

static int64_t
count_loop(void *arg)
{
	((struct hrig *)arg)->loop_count++;
	return -1;
}

static void
on_more_files(void *arg)
{
	struct rlimit l;

	(void)arg;
	getrlimit(RLIMIT_NOFILE, &l);
	l.rlim_cur = l.rlim_max;
	setrlimit(RLIMIT_NOFILE, &l);
}

/*
 * A caller connects while the process has no free file descriptor.  The
 * listening socket stays readable, so accepting must pause; otherwise the loop
 * spins until a descriptor is closed.
 */
static void
test_no_free_descriptor(void)
{
	struct hrig *r = hrig_create();
	struct rlimit l, low;
	int lowest;

	mh_loop_before_wait(r->loop, count_loop, r);
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END);
	getrlimit(RLIMIT_NOFILE, &l);
	low = l;
	lowest = dup(r->peer_fd);
	close(lowest);
	low.rlim_cur = (rlim_t)lowest;
	setrlimit(RLIMIT_NOFILE, &low);
	mh_timer_start(r->k, 300 * MH_US_PER_MS, on_more_files, r);
	run(r);
	setrlimit(RLIMIT_NOFILE, &l);
	CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, "HTTP/1.1 200"));
	CU_ASSERT_TRUE(r->loop_count < 100);
	hrig_destroy(r);
}

/*
 * A caller reads nothing of a long, complete response for some seconds.  Its
 * kernel answers window probes, but TCP_USER_TIMEOUT also counts the time of a
 * zero window.  The timeout must be long enough here; otherwise the connection
 * is cut.
 */
static void
test_caller_that_pauses(void)
{
	struct hrig *r = hrig_create();

	r->answer_bytes = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 5500 * MH_US_PER_MS);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - head_len(r->got), LONG_ANSWER);
	hrig_destroy(r);
}

/*
 * A server stops while the kernel still sends a response to a slow caller that
 * has sent more bytes after its last request.  The server must read these
 * bytes; otherwise the close resets the connection and the rest of the
 * response is lost.
 */
static void
test_stop_with_unread_input(void)
{
	struct hrig *r = hrig_create();
	char *more = g_strnfill(10000, 'x');

	r->defer = true;
	r->answer_bytes = 256 << 10;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 200 * MH_US_PER_MS);
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_stop, r);
	run(r);
	CU_ASSERT(send(r->peer_fd, more, 10000, MSG_NOSIGNAL) > 0);
	answer(r, r->req);
	destroy_server(r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - head_len(r->got), 256 << 10);
	g_free(more);
	hrig_destroy(r);
}

static void
on_late_bytes(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT(send(r->peer_fd, "more", 4, MSG_NOSIGNAL) > 0);
}

/*
 * The kernel still sends the last response to a slow caller when more bytes
 * arrive from it.  The connection must still be open; otherwise the kernel
 * answers them with a reset and drops the rest of the response.
 */
static void
test_bytes_after_the_response(void)
{
	struct hrig *r = hrig_create();

	r->answer_bytes = 256 << 10;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 1800 * MH_US_PER_MS);
	mh_timer_start(r->k, 1500 * MH_US_PER_MS, on_late_bytes, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - head_len(r->got), 256 << 10);
	hrig_destroy(r);
}

static void
on_shutdown(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 1);
	CU_ASSERT_EQUAL(shutdown(r->peer_fd, SHUT_WR), 0);
	r->loop_count = 0;
}

static void
on_count(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 1);
	CU_ASSERT_TRUE(r->loop_count < 100);
}

/*
 * A caller shuts down its sending side after its last request and reads a long
 * response slowly, as HTTP permits.  The server must not take the end of file
 * for a disconnect, which would truncate the response, and must not spin on the
 * readable socket.
 */
static void
test_caller_shuts_down_its_side(void)
{
	static const char *const texts[] = {
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\n" END,
		"GET /1 HTTP/1.0\r\nHost: h\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct hrig *r = hrig_create();

		mh_loop_before_wait(r->loop, count_loop, r);
		r->answer_bytes = LONG_ANSWER;
		raw_slow(r, texts[i], 300 * MH_US_PER_MS);
		mh_timer_start(r->k, 100 * MH_US_PER_MS, on_shutdown, r);
		mh_timer_start(r->k, 200 * MH_US_PER_MS, on_count, r);
		run(r);
		CU_ASSERT_EQUAL(r->raw_errno, 0);
		CU_ASSERT_EQUAL(r->got->len - head_len(r->got), LONG_ANSWER);
		CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 0);
		hrig_destroy(r);
	}
}

/* One that closes the connection is dropped when the next bytes are sent. */
static void
test_caller_closes_in_a_response(void)
{
	struct hrig *r = hrig_create();

	r->answer_bytes = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", 2 * TIMEOUT_US);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, close_peer, r);
	mh_timer_start(r->k, 200 * MH_US_PER_MS, on_stop, r);
	run(r);
	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 0);
	hrig_destroy(r);
}

/* orderly shutdown of a server */

static void
on_finish(void *arg)
{
	mh_hserve_finish(((struct hrig *)arg)->s);
}

/*
 * A server shuts down while callers keep idle connections that they may reuse
 * at any time.  These must be closed before a request arrives; otherwise the
 * final close would reset them with the request.
 */
static void
test_finish_closes_idle(void)
{
	struct hrig *r = hrig_create();

	raw(r, one_request);
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_finish, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "\r\n\r\nxx"));
	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 0);
	hrig_destroy(r);
}

static void
on_send_and_finish(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT(send(r->peer_fd, one_request, sizeof(one_request) - 1,
		      MSG_NOSIGNAL) > 0);
	mh_hserve_finish(r->s);
}

/*
 * A request arrives on such a connection just before it would be closed and is
 * unread in the socket buffer.  It must be read and answered, with
 * "Connection: close"; a close would reset the connection.
 */
static void
test_finish_reads_pending(void)
{
	struct hrig *r = hrig_create();

	r->peer_fd = tcp_dial(mh_hserve_port(r->s));
	mh_loop_fd(r->loop, r->peer_fd, true, false, on_raw, r);
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_send_and_finish, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(r->got->str, "Connection: close"));
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "\r\n\r\nxx"));
	hrig_destroy(r);
}

/*
 * The same for a caller whose connection is still in the listen queue.  The
 * next caller is refused.
 */
static void
test_finish_accepts_once_more(void)
{
	struct hrig *r = hrig_create();
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(mh_hserve_port(r->s)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	raw(r, one_request);
	mh_hserve_finish(r->s);
	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), -1);
	CU_ASSERT_EQUAL(errno, ECONNREFUSED);
	close(fd);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "\r\n\r\nxx"));
	hrig_destroy(r);
}

static void
on_none_open(void *arg)
{
	CU_ASSERT_EQUAL(mh_hserve_active_count(((struct hrig *)arg)->s), 0);
}

static void
on_one_open(void *arg)
{
	CU_ASSERT_EQUAL(mh_hserve_active_count(((struct hrig *)arg)->s), 1);
}

/*
 * A caller sends an empty line after its request, as some do after a body.  It
 * must not count as a partly read request; otherwise a shutdown waits for the
 * rest, and the caller gets a needless 408.
 */
static void
test_empty_line_after_a_request(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 64, 100 * MH_US_PER_MS, TIMEOUT_US };

	mh_hserve_set_limits(r->s, &l);
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_none_open, r);
	mh_timer_start(r->k, 200 * MH_US_PER_MS, on_finish, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "\r\n\r\nxx"));
	hrig_destroy(r);
}

static void
on_first_letters(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT(send(r->peer_fd, "\r\nGE", 4, MSG_NOSIGNAL) > 0);
}

/* Once the first letter of a request follows the empty line, the request
 * counts, and the header timeout applies to it. */
static void
test_letters_after_an_empty_line(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 64, 200 * MH_US_PER_MS, 2 * TIMEOUT_US };

	mh_hserve_set_limits(r->s, &l);
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_first_letters, r);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_one_open, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(r->got->str, "xxHTTP/1.1 408"));
	hrig_destroy(r);
}

static void
on_finish_and_count(void *arg)
{
	struct hrig *r = arg;

	mh_hserve_finish(r->s);
	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 1);
}

/*
 * A long response is being sent to a slow caller when the server begins to shut
 * down.  The process may exit once no connection is active, so the connection
 * must count until the kernel has accepted the last byte of the response.
 */
static void
test_finish_waits_for_bytes(void)
{
	struct hrig *r = hrig_create();

	r->answer_bytes = LONG_ANSWER;
	raw_slow(r, one_request, 300 * MH_US_PER_MS);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_finish_and_count, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - head_len(r->got), LONG_ANSWER);
	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 0);
	hrig_destroy(r);
}

static void
on_second_half(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 1);
	mh_hreq_end(r->req);
}

/*
 * A stream started before the shutdown, so its head has no "Connection: close".
 * It must run to its end, and then the connection must be closed in order.
 */
static void
test_finish_lets_streams_end(void)
{
	struct hrig *r = hrig_create();

	r->defer = true;
	raw(r, one_request);
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_first_half, r);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_finish_and_count, r);
	mh_timer_start(r->k, 150 * MH_US_PER_MS, on_second_half, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "ok\r\n0\r\n\r\n"));
	CU_ASSERT_EQUAL(mh_hserve_active_count(r->s), 0);
	hrig_destroy(r);
}

/* the client against a raw peer */

static void
on_half_closed(void *arg)
{
	struct hrig *r = arg;

	if (r->peer_fd >= 0)
		close(r->peer_fd);
	r->peer_fd = -1;
}

static void
on_peer(void *arg, bool readable, bool writable)
{
	struct hrig *r = arg;
	struct linger hard = { 1, 0 };
	char buf[4096];
	ssize_t n;

	(void)readable;
	(void)writable;
	n = recv(r->peer_fd, buf, sizeof(buf), MSG_DONTWAIT);
	r->peer_ended = n <= 0;
	r->peer_errno = n < 0 ? errno : 0;
	if (r->peer_ended && r->abandons)
		mh_loop_stop(r->loop);
	if (n > 0 && r->script != NULL)
		CU_ASSERT(send(r->peer_fd, r->script, strlen(r->script),
			      MSG_NOSIGNAL) >= 0);
	if (n > 0 && !r->reset && r->script != NULL &&
	    strstr(r->script, "length: ") != NULL)
		return;
	if (r->reset)
		setsockopt(
		    r->peer_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	mh_loop_fd_close(r->loop, r->peer_fd);
	if (r->half_closes) {
		shutdown(r->peer_fd, SHUT_WR);
		mh_timer_start(r->k, r->half_us, on_half_closed, r);
		return;
	}
	close(r->peer_fd);
	r->peer_fd = -1;
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct hrig *r = arg;

	(void)readable;
	(void)writable;
	r->accepted++;
	r->peer_fd = accept(r->listen_fd, NULL, NULL);
	mh_loop_fd(r->loop, r->peer_fd, true, false, on_peer, r);
}

static void
listen_raw(struct hrig *r)
{
	r->listen_fd = tcp_listen(r->addr);
	mh_loop_fd(r->loop, r->listen_fd, true, false, on_accept, r);
}

static void
c_head(void *arg, uint32_t status, const struct mh_headers *h, int64_t len)
{
	(void)h;
	(void)len;
	((struct hrig *)arg)->status = status;
}

static void
c_data(void *arg, const char *data, size_t len)
{
	g_string_append_len(((struct hrig *)arg)->got, data, (gssize)len);
}

static void
c_done(void *arg, enum mh_hcall_outcome end)
{
	struct hrig *r = arg;

	r->end = end;
	if (++r->ended >= r->expected)
		mh_loop_stop(r->loop);
}

static void
call(struct hrig *r, const char *id)
{
	char *text = g_strdup_printf(
	    "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n\r\n", id);
	struct mh_hcall_args a = { .addr = r->addr,
		.peer = "peer",
		.text = g_bytes_new(text, strlen(text)),
		.echo_name = "X-Id",
		.echo = id,
		.is_control = r->is_control,
		.fns = { c_head, c_data, c_done },
		.arg = r };

	if (r->body_bytes > 0)
		a.body =
		    g_bytes_new_take(g_malloc0(r->body_bytes), r->body_bytes);
	r->call = mh_hcalls_start(r->c, &a);
	if (a.body != NULL)
		g_bytes_unref(a.body);
	g_bytes_unref(a.text);
	g_free(text);
}

static void
on_abort(void *arg)
{
	mh_hcall_abort(((struct hrig *)arg)->call);
}

/*
 * Guards against a call that arrives seconds after it was given up: what a
 * partition holds up is sent again unless its connection is reset.
 */
static void
test_abandoned_call_resets(void)
{
	struct hrig *r = hrig_create();

	listen_raw(r);
	r->script = "HTTP/1.1 200 OK\r\nContent-length: 9\r\n\r\nhi";
	r->abandons = true;
	call(r, "a");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_abort, r);
	run(r);
	CU_ASSERT_TRUE(r->peer_ended);
	CU_ASSERT_EQUAL(r->peer_errno, ECONNRESET);
	hrig_destroy(r);
}

/** struct response_case - what a peer sends, and the outcome of the call. */
struct response_case {
	const char *name;
	const char *script; /* NULL: closes without a response */
	bool reset;
	enum mh_hcall_outcome end;
	const char *body;
};

#define OK "HTTP/1.1 200 OK\r\n"

static const struct response_case response_cases[] = {
	{ "complete", OK "X-Id: a\r\nContent-length: 2\r\n\r\nhi", false,
	    MH_CALL_COMPLETE, "hi" },
	{ "chunks",
	    OK "X-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	       "2\r\nhi\r\n0\r\n\r\n",
	    false, MH_CALL_COMPLETE, "hi" },
	{ "chunks without the last",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "2\r\nhi\r\n",
	    false, MH_CALL_BROKEN, "hi" },
	{ "truncated", OK "Content-Length: 5\r\n\r\nhi", false, MH_CALL_BROKEN,
	    "hi" },
	{ "no length, ends with the connection", OK "\r\nhi", false,
	    MH_CALL_COMPLETE, "hi" },
	{ "no length, reset", OK "\r\nhi", true, MH_CALL_BROKEN, NULL },
	{ "closed without a response", NULL, false, MH_CALL_BROKEN, "" },
	{ "not HTTP", "what\r\n\r\n", false, MH_CALL_UNREADABLE, "" },
	{ "response of another call first",
	    OK "X-Id: z\r\nContent-length: 3\r\n\r\nnot" OK
	       "X-Id: a\r\nContent-length: 2\r\n\r\nhi",
	    false, MH_CALL_COMPLETE, "hi" },
	{ "bytes after the response",
	    OK "X-Id: a\r\nContent-length: 2\r\n\r\nhiHTTP/1.1 200 O", false,
	    MH_CALL_COMPLETE, "hi" },
	{ "an interim response first",
	    "HTTP/1.1 103 Early Hints\r\n\r\n" OK "Content-length: 2\r\n\r\nhi",
	    false, MH_CALL_COMPLETE, "hi" },
};

static void
test_responses(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(response_cases); i++) {
		const struct response_case *b = &response_cases[i];
		struct hrig *r = hrig_create();

		listen_raw(r);
		r->script = b->script;
		r->reset = b->reset;
		r->expected = 1;
		call(r, "a");
		run(r);
		if (r->end != b->end)
			fprintf(stderr, "response: %s\n", b->name);
		CU_ASSERT_EQUAL(r->end, b->end);
		if (b->body != NULL)
			CU_ASSERT_STRING_EQUAL(r->got->str, b->body);
		hrig_destroy(r);
	}
}

/** struct early_case - an answer without a length, before the request is in. */
struct early_case {
	size_t body_bytes; /* of the request */
	bool half_closes;
	bool reset;
	int64_t half_us;
	enum mh_hcall_outcome end;
};

/* Guards against the part of a broken answer that is taken for all of it. */
static void
test_early_end(void)
{
	static const struct early_case all[] = {
		{ 3U << 20, true, true, 0, MH_CALL_BROKEN },
		{ 3U << 20, true, false, 0, MH_CALL_BROKEN },
		{ 3U << 20, true, true, 50 * MH_US_PER_MS, MH_CALL_BROKEN },
		{ 3U << 20, true, false, 50 * MH_US_PER_MS, MH_CALL_BROKEN },
		{ 3U << 20, false, true, 0, MH_CALL_BROKEN },
		{ 3U << 20, false, false, 0, MH_CALL_BROKEN },
		{ 16, true, false, 50 * MH_US_PER_MS, MH_CALL_COMPLETE },
		{ 16, false, false, 0, MH_CALL_COMPLETE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		const struct early_case *e = &all[i];
		struct hrig *r = hrig_create();

		listen_raw(r);
		r->script = OK "\r\nhi";
		r->body_bytes = e->body_bytes;
		r->half_closes = e->half_closes;
		r->half_us = e->half_us;
		r->reset = e->reset;
		r->expected = 1;
		call(r, "a");
		run(r);
		if (r->end != e->end)
			fprintf(stderr, "early end %zu\n", i);
		CU_ASSERT_EQUAL(r->end, e->end);
		if (r->peer_fd >= 0 && e->half_closes)
			on_half_closed(r);
		hrig_destroy(r);
	}
}

/* Guards against what is no status that is passed on as one. */
static void
test_statuses(void)
{
	static const char *const bad[] = { "000", "00", "0", "99", "099",
		"0200", "00200", "600", "999", "1000", "-1", "2 00", "2x0" };
	static const char *const good[] = { "200", "204", "304", "404", "599" };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(bad) + G_N_ELEMENTS(good);
	     i++) {
		bool is_good = i >= 2 * G_N_ELEMENTS(bad);
		const char *status =
		    is_good ? good[i - 2 * G_N_ELEMENTS(bad)] : bad[i / 2];
		struct hrig *r = hrig_create();
		char *script = g_strdup_printf(
		    "%sHTTP/1.1 %s%s\r\nX-Id: a\r\nContent-length: 0\r\n\r\n",
		    i % 2 == 0 ? "" : "HTTP/1.1 103 Early\r\n\r\n", status,
		    i % 3 == 0 ? "" : " Any");

		listen_raw(r);
		r->script = script;
		r->expected = 1;
		call(r, "a");
		run(r);
		if ((r->end == MH_CALL_COMPLETE) != is_good)
			fprintf(stderr, "status %s\n", status);
		CU_ASSERT_EQUAL(
		    r->end, is_good ? MH_CALL_COMPLETE : MH_CALL_UNREADABLE);
		CU_ASSERT_EQUAL(r->status != 0, is_good);
		hrig_destroy(r);
		g_free(script);
	}
}

static void
on_any_head(void *arg, const struct mh_hcall_head *h)
{
	struct hrig *r = arg;

	r->heads++;
	r->work_heads += h->sent_us != 0;
	CU_ASSERT_STRING_EQUAL(h->peer, "peer");
	CU_ASSERT_EQUAL(h->status, 200);
}

/* Guards against heads that go unseen: of another call, or of a control call.
 */
static void
test_every_head(void)
{
	struct hrig *r = hrig_create();

	mh_hcalls_on_head(r->c, on_any_head, r);
	listen_raw(r);
	r->script = "HTTP/1.1 103 Early Hints\r\n\r\n" OK
		    "X-Id: z\r\nContent-length: 3\r\n\r\nnot" OK
		    "X-Id: a\r\nContent-length: 2\r\n\r\nhi";
	r->expected = 1;
	call(r, "a");
	run(r);
	CU_ASSERT_EQUAL(r->heads, 2);
	CU_ASSERT_EQUAL(r->work_heads, 1);
	r->is_control = true;
	r->expected = 2;
	call(r, "a");
	run(r);
	CU_ASSERT_EQUAL(r->heads, 4);
	CU_ASSERT_EQUAL(r->work_heads, 1);
	hrig_destroy(r);
}

/* A connection is reused for the next call, but not after a response of
 * another call. */
static void
test_reuse(void)
{
	struct hrig *r = hrig_create();

	listen_raw(r);
	r->script = OK "X-Id: a\r\nContent-length: 2\r\n\r\nhi";
	for (r->expected = 1; r->expected <= 3; r->expected++) {
		call(r, "a");
		run(r);
	}
	CU_ASSERT_EQUAL(r->accepted, 1);
	hrig_destroy(r);
	r = hrig_create();
	listen_raw(r);
	r->script = OK "X-Id: z\r\nContent-length: 3\r\n\r\nnot" OK
		       "X-Id: a\r\nContent-length: 2\r\n\r\nhi";
	for (r->expected = 1; r->expected <= 2; r->expected++) {
		call(r, "a");
		run(r);
	}
	CU_ASSERT_EQUAL(r->accepted, 2);
	hrig_destroy(r);
}

static void
call_and_stall(void *arg)
{
	call(arg, "a");
	g_usleep(500 * MH_US_PER_MS);
}

/* A stall of this process is no silence of a peer that is connected to. */
static void
test_connect_in_a_stall(void)
{
	struct hrig *r = hrig_create();

	listen_raw(r);
	r->script = OK "X-Id: a\r\nContent-length: 2\r\n\r\nhi";
	r->expected = 1;
	mh_timer_start(r->k, MH_US_PER_MS, call_and_stall, r);
	run(r);
	CU_ASSERT_EQUAL(r->end, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(mh_counter(r->k, "call_connect_timeouts"), 0);
	hrig_destroy(r);
}

/* If nothing listens at the address the request is reported as not sent. */
static void
test_unsent(void)
{
	struct hrig *r = hrig_create();

	listen_raw(r);
	mh_loop_fd_close(r->loop, r->listen_fd);
	close(r->listen_fd);
	r->listen_fd = -1;
	r->expected = 1;
	call(r, "a");
	run(r);
	CU_ASSERT_EQUAL(r->end, MH_CALL_UNSENT);
	g_strlcpy(r->addr, "no address", sizeof(r->addr));
	r->expected = 2;
	call(r, "a");
	run(r);
	CU_ASSERT_EQUAL(r->end, MH_CALL_UNSENT);
	hrig_destroy(r);
}

/* Guards against a peer that answers no dial taken for one that refuses it. */
static void
test_unanswered(void)
{
	struct hrig *r = hrig_create();
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	int fds[4];

	r->listen_fd = tcp_listen(r->addr);
	CU_ASSERT_EQUAL(listen(r->listen_fd, 0), 0);
	CU_ASSERT_EQUAL(
	    getsockname(r->listen_fd, (struct sockaddr *)&sin, &len), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) { /* fill its queue */
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fds[i], (struct sockaddr *)&sin, len);
	}
	r->expected = 1;
	call(r, "a");
	run(r);
	CU_ASSERT_EQUAL(r->end, MH_CALL_UNANSWERED);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	hrig_destroy(r);
}

static void
on_goes_on(void *arg)
{
	struct hrig *r = arg;

	mh_loop_fd(r->loop, r->listen_fd, true, false, on_accept, r);
}

/* Guards against a long request to a silent peer that the kernel ends. */
static void
test_silent_peer(void)
{
	struct hrig *r = hrig_create();
	char *body = g_strnfill(LONG_ANSWER, 'x');
	char *text = g_strdup_printf("POST /x HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
	    LONG_ANSWER, body);
	struct mh_hcall_args a = { .addr = r->addr,
		.peer = "peer",
		.is_patient = true,
		.fns = { c_head, c_data, c_done },
		.arg = r };

	r->listen_fd = tcp_listen(r->addr);
	r->script = OK "Content-length: 2\r\n\r\nhi";
	r->expected = 1;
	a.text = g_bytes_new(text, strlen(text));
	r->call = mh_hcalls_start(r->c, &a);
	mh_timer_start(r->k, 3500 * MH_US_PER_MS, on_goes_on, r);
	run(r);
	CU_ASSERT_EQUAL(r->end, MH_CALL_COMPLETE);
	CU_ASSERT_STRING_EQUAL(r->got->str, "hi");
	g_bytes_unref(a.text);
	g_free(text);
	g_free(body);
	hrig_destroy(r);
}

const struct test tests_http[] = {
	{ "serve: requests passed on and refused", test_requests },
	{ "serve: a header over the limit", test_header_over_the_limit },
	{ "serve: the target unchanged", test_target_unchanged },
	{ "serve: two on one connection", test_two_on_one_connection },
	{ "serve: a drain answers what is read",
	    test_drain_answers_what_is_read },
	{ "serve: the caller closes", test_caller_closes },
	{ "serve: aborted response", test_aborted_response },
	{ "call: an abandoned one resets its connection",
	    test_abandoned_call_resets },
	{ "serve: a slow caller and Connection: close",
	    test_slow_caller_that_closes },
	{ "serve: a caller that pauses", test_caller_that_pauses },
	{ "serve: a slow caller is not idle", test_slow_caller_is_not_idle },
	{ "serve: two long responses", test_two_long_responses },
	{ "serve: bytes after the last request",
	    test_bytes_after_the_last_request },
	{ "serve: a body after a request", test_body_after_a_request },
	{ "serve: 100 Continue after a request",
	    test_continue_after_a_request },
	{ "serve: no 100 Continue for HTTP/1.0", test_no_continue_for_http10 },
	{ "serve: aborted unframed response", test_aborted_unframed_response },
	{ "serve: stop within an unframed response",
	    test_stop_within_unframed_response },
	{ "serve: a response after the loop stopped",
	    test_response_after_loop_stop },
	{ "serve: stop with unread input", test_stop_with_unread_input },
	{ "serve: bytes after the response", test_bytes_after_the_response },
	{ "serve: a request at the idle limit",
	    test_request_at_the_idle_limit },
	{ "serve: limits change within a request", test_limits_change },
	{ "serve: limits of the next request", test_limits_of_the_next },
	{ "serve: no free file descriptor", test_no_free_descriptor },
	{ "serve: a caller that shuts down its side",
	    test_caller_shuts_down_its_side },
	{ "serve: the caller closes in a response",
	    test_caller_closes_in_a_response },
	{ "serve: shutdown closes idle connections", test_finish_closes_idle },
	{ "serve: shutdown reads pending requests", test_finish_reads_pending },
	{ "serve: shutdown accepts once more", test_finish_accepts_once_more },
	{ "serve: an empty line after a request",
	    test_empty_line_after_a_request },
	{ "serve: letters after an empty line",
	    test_letters_after_an_empty_line },
	{ "serve: shutdown waits for unsent bytes",
	    test_finish_waits_for_bytes },
	{ "serve: shutdown lets streams end", test_finish_lets_streams_end },
	{ "call: responses of a peer", test_responses },
	{ "client: answers that end early", test_early_end },
	{ "client: statuses", test_statuses },
	{ "call: every head is reported", test_every_head },
	{ "call: reuse of connections", test_reuse },
	{ "call: a connect in a stall", test_connect_in_a_stall },
	{ "call: not sent", test_unsent },
	{ "call: a dial is not answered", test_unanswered },
	{ "call: a long request to a silent peer", test_silent_peer },
	{ NULL, NULL },
};
