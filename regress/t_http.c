/**
 * DOC: The HTTP server and client that pass requests on, over real sockets
 * on loopback, byte for byte.  The other side is raw bytes; port 0; no
 * assertion on time.
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

#define LONGEST_US (10 * MH_US_PER_S)
/* More than the kernel takes for a caller that does not read. */
#define LONG_ANSWER ((size_t)6 << 20)

/** struct hrig - a server, a client and what they saw. */
struct hrig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hserve *s;
	struct mh_hcalls *c;
	char addr[32];
	/* the server's side */
	uint32_t requests;
	uint32_t gone;
	char target[64];
	char body[64];
	bool hold; /* answer nothing */
	bool cut; /* break in the middle of the answer */
	size_t big; /* bytes of the answer; 0: two */
	struct mh_hreq *held;
	/* raw peer of the client */
	int listen_fd;
	int peer_fd;
	const char *script; /* what it answers to each request */
	bool reset;
	uint32_t accepted;
	/* raw caller of the server */
	GString *feed; /* what it has still to send */
	const char *until; /* enough once this has come */
	int raw_errno; /* 0: the connection ended in order */
	uint32_t turns; /* of the loop */
	/* the client's side */
	uint32_t ended;
	uint32_t want; /* calls that are to end */
	enum mh_hcall_end end;
	uint32_t status;
	GString *got;
};

static void
run(struct hrig *r)
{
	CU_ASSERT_TRUE(run_most(r->k, r->loop, LONGEST_US));
}

static void
answer(struct hrig *r, struct mh_hreq *q)
{
	char *body = g_strnfill(r->big > 0 ? r->big : 2, 'x');

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
	r->held = q;
	if (r->hold)
		return;
	if (!r->cut) {
		answer(r, q);
		return;
	}
	mh_hreq_head(q, 200, NULL, -1);
	mh_hreq_write(q, "ok", 2);
	mh_hreq_break(q);
}

static void
on_gone(void *arg, struct mh_hreq *q)
{
	struct hrig *r = arg;

	(void)q;
	r->gone++;
	mh_loop_stop(r->loop);
}

static struct hrig *
hrig_create(void)
{
	struct hrig *r = g_new0(struct hrig, 1);
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 512, 64, 3 * MH_US_PER_S, 2 * LONGEST_US },
		.on_request = on_request,
		.on_gone = on_gone,
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
		if (r->until != NULL && strstr(r->got->str, r->until) != NULL)
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

/* A caller with a small window that reads nothing before @us have passed. */
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

/* A caller that sends @more bytes behind @text, as fast as they are taken. */
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

	r->hold = false;
	answer(r, r->held);
}

/** struct wire - bytes of a caller, and what becomes of them. */
struct wire {
	const char *name;
	const char *text;
	uint32_t requests; /* that the gate sees */
	const char *status; /* start of the answer */
};

#define END "Connection: close\r\n\r\n"

static const struct wire wires[] = {
	{ "plain", "GET /a%20b?x=%2F&y=a+b HTTP/1.1\r\nHost: h\r\n" END, 1,
	    "HTTP/1.1 200" },
	{ "with a length",
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" END "abc", 1,
	    "HTTP/1.1 200" },
	{ "in chunks",
	    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" END
	    "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
	    1, "HTTP/1.1 200" },
	{ "length and chunks: two readers would part them differently",
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
	{ "no request", "hello\r\n\r\n", 0, "HTTP/1.1 400" },
	{ "bad chunk",
	    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" END
	    "zz\r\n",
	    0, "HTTP/1.1 400" },
	{ "body over the limit",
	    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n" END, 0,
	    "HTTP/1.1 413" },
};

static void
test_wires(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(wires); i++) {
		const struct wire *w = &wires[i];
		struct hrig *r = hrig_create();

		raw(r, w->text);
		run(r);
		if (r->requests != w->requests ||
		    !g_str_has_prefix(r->got->str, w->status))
			fprintf(stderr, "wire: %s: %s\n", w->name, r->got->str);
		CU_ASSERT_EQUAL(r->requests, w->requests);
		CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, w->status));
		hrig_destroy(r);
	}
}

static void
test_header_over_the_limit(void)
{
	struct hrig *r = hrig_create();
	char *big = g_strnfill(600, 'x');
	char *text =
	    g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\nX: %s\r\n" END, big);

	raw(r, text);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 0);
	CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, "HTTP/1.1 431"));
	g_free(big);
	g_free(text);
	hrig_destroy(r);
}

/* Path and query reach the gate as they were sent. */
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

/* Two requests on one connection, sent at once: answered in order. */
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
leave(void *arg)
{
	struct hrig *r = arg;

	mh_loop_fd_close(r->loop, r->peer_fd);
	close(r->peer_fd);
	r->peer_fd = -1;
}

/* A caller that closes while it waits is noticed at once. */
static void
test_caller_closes(void)
{
	struct hrig *r = hrig_create();

	r->hold = true;
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, leave, r);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_EQUAL(r->gone, 1);
	hrig_destroy(r);
}

/* An answer that breaks has no last chunk: it does not look complete. */
static void
test_broken_answer(void)
{
	struct hrig *r = hrig_create();

	r->cut = true;
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run(r);
	CU_ASSERT_PTR_NULL(strstr(r->got->str, "0\r\n\r\n"));
	hrig_destroy(r);
}

/* answers that have been made and are to arrive */

static size_t
heads_end(const GString *got)
{
	const char *p = strstr(got->str, "\r\n\r\n");

	return p == NULL ? got->len : (size_t)(p + 4 - got->str);
}

/*
 * A caller asks for a long answer on a connection that is to close, and
 * pauses before it reads.  The answer was made whole, yet it arrived cut in
 * the middle: the time given to a caller to close began with the answer's
 * end and not when its bytes had left.
 */
static void
test_slow_caller_that_closes(void)
{
	struct hrig *r = hrig_create();

	r->big = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 1500 * MH_US_PER_MS);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), LONG_ANSWER);
	hrig_destroy(r);
}

/*
 * A caller on a connection that stays open takes longer over a long answer
 * than the server keeps idle connections.  The connection counted as idle
 * while the answer's bytes were leaving, so the answer was cut.
 */
static void
test_slow_caller_is_not_idle(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 64, 3 * MH_US_PER_S, 100 * MH_US_PER_MS };

	mh_hserve_set_limits(r->s, &l);
	r->big = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", 400 * MH_US_PER_MS);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), LONG_ANSWER);
	hrig_destroy(r);
}

/*
 * A caller sends two requests at once and reads both long answers, if late.
 * Each is within the bound for bytes that wait for a caller; the second was
 * made while the first still waited, and both were thrown away for passing
 * the bound together.
 */
static void
test_two_long_answers(void)
{
	struct hrig *r = hrig_create();

	r->big = LONG_ANSWER;
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
 * A caller goes on sending behind a request whose answer closes the
 * connection.  While the answer was awaited reading stopped at the bound for
 * early bytes, and it never began again; so the close met unread bytes, was a
 * reset, and took the end of the answer with it.
 */
static void
test_bytes_behind_the_last_request(void)
{
	struct hrig *r = hrig_create();
	int window = 32 << 10;

	r->hold = true;
	r->big = (size_t)1 << 20;
	raw_feed(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 8 << 20);
	setsockopt(r->peer_fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_answer, r);
	mh_timer_start(r->k, 1500 * MH_US_PER_MS, on_wake, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), (size_t)1 << 20);
	CU_ASSERT_EQUAL(r->feed->len, 0);
	hrig_destroy(r);
}

/*
 * A request with a body of some size comes right behind another one.  The
 * body's first part filled the bound for early bytes, which stopped reading,
 * and taking that part up did not start it again: the whole request was
 * answered as one that came too slowly.
 */
static void
test_body_behind_a_request(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 1 << 20, MH_US_PER_S, MH_US_PER_S };

	mh_hserve_set_limits(r->s, &l);
	r->hold = true;
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
 * A caller sends a request and, right behind it, the head of a second one
 * whose body it holds back until it is told to go on.  The word to go on was
 * written down and not sent, and the caller waited for it.
 */
static void
test_go_on_behind_a_request(void)
{
	struct hrig *r = hrig_create();

	r->until = "100 Continue";
	raw(r,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
	    "Expect: 100-continue\r\n\r\n");
	run(r);
	CU_ASSERT_PTR_NOT_NULL(strstr(r->got->str, r->until));
	CU_ASSERT_PTR_NULL(strstr(r->got->str, " 408 "));
	hrig_destroy(r);
}

/* HTTP/1.0 knows no interim answers: one would be taken for the answer. */
static void
test_no_go_on_for_old_callers(void)
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
 * An answer whose end only the connection's end tells breaks in the middle.
 * The connection was first ended in order and reset afterwards, so that the
 * caller saw an answer that looked whole.
 */
static void
test_broken_answer_without_a_frame(void)
{
	struct hrig *r = hrig_create();

	r->cut = true;
	raw(r, "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, ECONNRESET);
	hrig_destroy(r);
}

static void
on_first_half(void *arg)
{
	struct hrig *r = arg;

	mh_hreq_head(r->held, 200, NULL, -1);
	mh_hreq_write(r->held, "ok", 2);
}

static void
end_server(struct hrig *r)
{
	mh_hserve_destroy(r->s);
	r->s = NULL;
}

/*
 * The server ends while such an answer is under way.  The connections were
 * closed in order, and half an answer looked whole.
 */
static void
test_end_within_an_answer_without_a_frame(void)
{
	struct hrig *r = hrig_create();

	r->hold = true;
	r->until = "ok";
	raw(r, "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_first_half, r);
	run(r);
	end_server(r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, ECONNRESET);
	hrig_destroy(r);
}

static void
on_enough(void *arg)
{
	mh_loop_stop(((struct hrig *)arg)->loop);
}

/*
 * A process refuses what it still holds after its loop has stopped, and
 * ends.  The refusals were made and lay with the server; nobody sent them,
 * and the callers saw their connections closed without a word.
 */
static void
test_answer_at_the_end(void)
{
	struct hrig *r = hrig_create();

	r->hold = true;
	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_enough, r);
	run(r);
	answer(r, r->held);
	end_server(r);
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
 * A process is busy for a moment, and in this moment a connection's idle
 * time runs out and a request comes on it.  The timer was looked at first,
 * and the connection was reset although its next request lay there.
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

static int64_t
on_turn(void *arg)
{
	((struct hrig *)arg)->turns++;
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
 * The process has as many files open as it may, and a caller connects.  The
 * listening socket stayed readable, and the loop turned without a pause
 * until some file was closed.
 */
static void
test_no_file_left(void)
{
	struct hrig *r = hrig_create();
	struct rlimit l, low;
	int lowest;

	mh_loop_before(r->loop, on_turn, r);
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
	CU_ASSERT_TRUE(r->turns < 100);
	hrig_destroy(r);
}

/*
 * A long answer is under way to a caller that reads nothing of it for some
 * seconds.  Its machine confirms all the time that it is there, yet the
 * kernel's limit for silent peers counts a shut window too and cut the
 * connection, with the answer whole and the process idle.
 */
static void
test_caller_that_pauses(void)
{
	struct hrig *r = hrig_create();

	r->big = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 5500 * MH_US_PER_MS);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), LONG_ANSWER);
	hrig_destroy(r);
}

/*
 * A server ends while the kernel still has an answer for a slow caller, and
 * the caller has sent something behind its last request.  Left unread it
 * would make the close a reset, and the kernel would throw the answer away.
 */
static void
test_end_with_unread_bytes(void)
{
	struct hrig *r = hrig_create();
	char *more = g_strnfill(10000, 'x');

	r->hold = true;
	r->big = 256 << 10;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 200 * MH_US_PER_MS);
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_enough, r);
	run(r);
	CU_ASSERT(send(r->peer_fd, more, 10000, MSG_NOSIGNAL) > 0);
	answer(r, r->held);
	end_server(r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), 256 << 10);
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
 * The kernel has the whole of the last answer and a slow caller has not yet
 * taken it, when some more bytes come from the caller.  With the connection
 * closed by then they would be answered with a reset, which throws away what
 * the kernel still has.
 */
static void
test_late_bytes(void)
{
	struct hrig *r = hrig_create();

	r->big = 256 << 10;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n" END, 1800 * MH_US_PER_MS);
	mh_timer_start(r->k, 1500 * MH_US_PER_MS, on_late_bytes, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), 256 << 10);
	hrig_destroy(r);
}

static void
on_shut(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 1);
	CU_ASSERT_EQUAL(shutdown(r->peer_fd, SHUT_WR), 0);
	r->turns = 0;
}

static void
on_count(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 1);
	CU_ASSERT_TRUE(r->turns < 100);
}

/*
 * A caller has sent its last request and shuts its sending side while a long
 * answer is under way, which it reads to the end, if late.  By HTTP it may;
 * the shut side was taken for a caller that had left, and the answer was
 * cut.  The server waits for the caller without turning its loop.
 */
static void
test_caller_that_shuts_its_side(void)
{
	static const char *const texts[] = {
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\n" END,
		"GET /1 HTTP/1.0\r\nHost: h\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct hrig *r = hrig_create();

		mh_loop_before(r->loop, on_turn, r);
		r->big = LONG_ANSWER;
		raw_slow(r, texts[i], 300 * MH_US_PER_MS);
		mh_timer_start(r->k, 100 * MH_US_PER_MS, on_shut, r);
		mh_timer_start(r->k, 200 * MH_US_PER_MS, on_count, r);
		run(r);
		CU_ASSERT_EQUAL(r->raw_errno, 0);
		CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), LONG_ANSWER);
		CU_ASSERT_EQUAL(mh_hserve_open(r->s), 0);
		hrig_destroy(r);
	}
}

/* One that closes in the middle of it is let go of at the next bytes. */
static void
test_caller_closes_in_an_answer(void)
{
	struct hrig *r = hrig_create();

	r->big = LONG_ANSWER;
	raw_slow(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", 2 * LONGEST_US);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, leave, r);
	mh_timer_start(r->k, 200 * MH_US_PER_MS, on_enough, r);
	run(r);
	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 0);
	hrig_destroy(r);
}

/* the end of a server */

static void
on_finish(void *arg)
{
	mh_hserve_finish(((struct hrig *)arg)->s);
}

static const char one_request[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

/*
 * A server ends while callers hold connections that they may use again at
 * any moment.  Left open to the last they would be closed with whatever has
 * come on them; so they are closed in order while nothing has come.
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
	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 0);
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
 * A request comes on such a connection just before it would be closed, and
 * lies unread in the socket.  A close would reset the connection; the request
 * is read and answered, and the answer tells that the connection ends.
 */
static void
test_finish_reads_what_came(void)
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
 * The same for a caller whose connection the kernel has taken and the server
 * has not.  The next caller finds nobody listening.
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
	CU_ASSERT_EQUAL(mh_hserve_open(((struct hrig *)arg)->s), 0);
}

static void
on_one_open(void *arg)
{
	CU_ASSERT_EQUAL(mh_hserve_open(((struct hrig *)arg)->s), 1);
}

/*
 * A caller sends an empty line behind its request, as some do behind a body.
 * The line counted as a request half read: a server that was to end waited
 * for the rest of it, and the caller was answered 408 for nothing.
 */
static void
test_empty_line_behind_a_request(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 64, 100 * MH_US_PER_MS, LONGEST_US };

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

/* With a request's first letter behind it the request does count, and has
 * the time for a header and no more. */
static void
test_letters_behind_an_empty_line(void)
{
	struct hrig *r = hrig_create();
	struct mh_hlimits l = { 512, 64, 200 * MH_US_PER_MS, 2 * LONGEST_US };

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
	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 1);
}

/*
 * A long answer is under way to a slow caller when the server begins to end.
 * The process may stop once nothing counts as open, so the connection counts
 * until the answer's last byte is with the kernel.
 */
static void
test_finish_waits_for_bytes(void)
{
	struct hrig *r = hrig_create();

	r->big = LONG_ANSWER;
	raw_slow(r, one_request, 300 * MH_US_PER_MS);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_finish_and_count, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_EQUAL(r->got->len - heads_end(r->got), LONG_ANSWER);
	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 0);
	hrig_destroy(r);
}

static void
on_second_half(void *arg)
{
	struct hrig *r = arg;

	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 1);
	mh_hreq_end(r->held);
}

/*
 * A stream began before the server was told to leave, so its head does not
 * say that the connection ends.  It runs to its end, and only then is the
 * connection closed, in order.
 */
static void
test_finish_lets_streams_end(void)
{
	struct hrig *r = hrig_create();

	r->hold = true;
	raw(r, one_request);
	mh_timer_start(r->k, 50 * MH_US_PER_MS, on_first_half, r);
	mh_timer_start(r->k, 100 * MH_US_PER_MS, on_finish_and_count, r);
	mh_timer_start(r->k, 150 * MH_US_PER_MS, on_second_half, r);
	run(r);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "ok\r\n0\r\n\r\n"));
	CU_ASSERT_EQUAL(mh_hserve_open(r->s), 0);
	hrig_destroy(r);
}

/* the client against a raw peer */

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
c_done(void *arg, enum mh_hcall_end end)
{
	struct hrig *r = arg;

	r->end = end;
	if (++r->ended >= r->want)
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
		.fns = { c_head, c_data, c_done },
		.arg = r };

	mh_hcalls_start(r->c, &a);
	g_bytes_unref(a.text);
	g_free(text);
}

/** struct back - what a replica sends, and what the call says of it. */
struct back {
	const char *name;
	const char *script; /* NULL: closes without an answer */
	bool reset;
	enum mh_hcall_end end;
	const char *body;
};

#define OK "HTTP/1.1 200 OK\r\n"

static const struct back backs[] = {
	{ "whole", OK "X-Id: a\r\nContent-length: 2\r\n\r\nhi", false,
	    MH_CALL_WHOLE, "hi" },
	{ "chunks",
	    OK "X-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	       "2\r\nhi\r\n0\r\n\r\n",
	    false, MH_CALL_WHOLE, "hi" },
	{ "chunks without the last",
	    OK "Transfer-Encoding: chunked\r\n\r\n"
	       "2\r\nhi\r\n",
	    false, MH_CALL_BROKEN, "hi" },
	{ "cut short", OK "Content-Length: 5\r\n\r\nhi", false, MH_CALL_BROKEN,
	    "hi" },
	{ "no length, ends with the connection", OK "\r\nhi", false,
	    MH_CALL_WHOLE, "hi" },
	{ "no length, reset", OK "\r\nhi", true, MH_CALL_BROKEN, NULL },
	{ "closed without an answer", NULL, false, MH_CALL_BROKEN, "" },
	{ "no answer at all", "what\r\n\r\n", false, MH_CALL_UNREADABLE, "" },
	{ "another's answer first",
	    OK "X-Id: z\r\nContent-length: 3\r\n\r\nnot" OK
	       "X-Id: a\r\nContent-length: 2\r\n\r\nhi",
	    false, MH_CALL_WHOLE, "hi" },
	{ "bytes behind the answer",
	    OK "X-Id: a\r\nContent-length: 2\r\n\r\nhiHTTP/1.1 200 O", false,
	    MH_CALL_WHOLE, "hi" },
	{ "a hint before it",
	    "HTTP/1.1 103 Early Hints\r\n\r\n" OK "Content-length: 2\r\n\r\nhi",
	    false, MH_CALL_WHOLE, "hi" },
};

static void
test_backs(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(backs); i++) {
		const struct back *b = &backs[i];
		struct hrig *r = hrig_create();

		listen_raw(r);
		r->script = b->script;
		r->reset = b->reset;
		r->want = 1;
		call(r, "a");
		run(r);
		if (r->end != b->end)
			fprintf(stderr, "back: %s\n", b->name);
		CU_ASSERT_EQUAL(r->end, b->end);
		if (b->body != NULL)
			CU_ASSERT_STRING_EQUAL(r->got->str, b->body);
		hrig_destroy(r);
	}
}

/* A sound connection is kept for the next call; one with a stray is not. */
static void
test_kept_or_not(void)
{
	struct hrig *r = hrig_create();

	listen_raw(r);
	r->script = OK "X-Id: a\r\nContent-length: 2\r\n\r\nhi";
	for (r->want = 1; r->want <= 3; r->want++) {
		call(r, "a");
		run(r);
	}
	CU_ASSERT_EQUAL(r->accepted, 1);
	hrig_destroy(r);
	r = hrig_create();
	listen_raw(r);
	r->script = OK "X-Id: z\r\nContent-length: 3\r\n\r\nnot" OK
		       "X-Id: a\r\nContent-length: 2\r\n\r\nhi";
	for (r->want = 1; r->want <= 2; r->want++) {
		call(r, "a");
		run(r);
	}
	CU_ASSERT_EQUAL(r->accepted, 2);
	hrig_destroy(r);
}

/* Nobody listens: certainly not sent. */
static void
test_unsent(void)
{
	struct hrig *r = hrig_create();

	listen_raw(r);
	mh_loop_fd_close(r->loop, r->listen_fd);
	close(r->listen_fd);
	r->listen_fd = -1;
	r->want = 1;
	call(r, "a");
	run(r);
	CU_ASSERT_EQUAL(r->end, MH_CALL_UNSENT);
	g_strlcpy(r->addr, "no address", sizeof(r->addr));
	r->want = 2;
	call(r, "a");
	run(r);
	CU_ASSERT_EQUAL(r->end, MH_CALL_UNSENT);
	hrig_destroy(r);
}

const struct test tests_http[] = {
	{ "serve: what is passed on, what is refused", test_wires },
	{ "serve: a header over the limit", test_header_over_the_limit },
	{ "serve: the target unchanged", test_target_unchanged },
	{ "serve: two on one connection", test_two_on_one_connection },
	{ "serve: the caller closes", test_caller_closes },
	{ "serve: a broken answer", test_broken_answer },
	{ "serve: a slow caller, to be closed", test_slow_caller_that_closes },
	{ "serve: a caller that pauses", test_caller_that_pauses },
	{ "serve: a slow caller is not idle", test_slow_caller_is_not_idle },
	{ "serve: two long answers", test_two_long_answers },
	{ "serve: bytes behind the last request",
	    test_bytes_behind_the_last_request },
	{ "serve: a body behind a request", test_body_behind_a_request },
	{ "serve: go on, behind a request", test_go_on_behind_a_request },
	{ "serve: no going on for old callers", test_no_go_on_for_old_callers },
	{ "serve: a broken answer without a frame",
	    test_broken_answer_without_a_frame },
	{ "serve: the end within an answer without a frame",
	    test_end_within_an_answer_without_a_frame },
	{ "serve: an answer at the end", test_answer_at_the_end },
	{ "serve: the end with unread bytes", test_end_with_unread_bytes },
	{ "serve: late bytes", test_late_bytes },
	{ "serve: a request at the idle limit",
	    test_request_at_the_idle_limit },
	{ "serve: no file left", test_no_file_left },
	{ "serve: a caller that shuts its side",
	    test_caller_that_shuts_its_side },
	{ "serve: the caller closes in an answer",
	    test_caller_closes_in_an_answer },
	{ "serve: the end closes idle connections", test_finish_closes_idle },
	{ "serve: the end reads what came", test_finish_reads_what_came },
	{ "serve: the end accepts once more", test_finish_accepts_once_more },
	{ "serve: an empty line behind a request",
	    test_empty_line_behind_a_request },
	{ "serve: letters behind an empty line",
	    test_letters_behind_an_empty_line },
	{ "serve: the end waits for bytes", test_finish_waits_for_bytes },
	{ "serve: the end lets streams end", test_finish_lets_streams_end },
	{ "call: what a replica sends", test_backs },
	{ "call: kept or not", test_kept_or_not },
	{ "call: not sent", test_unsent },
	{ NULL, NULL },
};
