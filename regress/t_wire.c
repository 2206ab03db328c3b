/**
 * DOC: Framing of HTTP messages, complete, truncated and malformed: the client
 * against a scripted peer, and the server against callers that send raw bytes.
 *
 * Unless it says otherwise the comment before a test names the fault that the
 * test guards against.
 */

#include "gate.h"
#include "regress.h"
#include "tcp.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TIMEOUT_US (10 * MH_US_PER_S)
/* A call that has not ended by then is waiting for more bytes. */
#define WAIT_US (150 * MH_US_PER_MS)
/* Bytes after which the peer gives up an endless response. */
#define MAX_ENDLESS ((size_t)24 << 20)

enum peer_end { STAY, CLOSE, RESET };

/** struct wrig - a loop, a server or a client, and its raw peer. */
struct wrig {
	struct mh_kern *k;
	struct mh_loop *loop;
	/* the client and its peer */
	struct mh_hcalls *calls;
	char addr[32];
	int listen_fd;
	int peer_fd;
	uint32_t accepted;
	GString *script; /* response of the peer */
	size_t sent;
	size_t step; /* bytes per send, 0: all at once */
	enum peer_end peer_end;
	bool read_once; /* the peer reads only the request's first bytes */
	const char *unit; /* repeated after the script without an end */
	struct mh_timer *send_timer;
	/* the call */
	struct mh_hcall *call;
	uint32_t heads;
	uint32_t ended;
	enum mh_hcall_outcome end;
	uint32_t status;
	char *stamp;
	char *reused;
	GString *body;
	bool abort_in_head;
	bool abort_in_data;
	bool start_again; /* after an abort, in the same callback */
	/* the server and its raw caller */
	struct mh_hserve *s;
	void (*serve)(struct wrig *r, struct mh_hreq *q);
	struct mh_hreq *req;
	uint32_t requests;
	uint32_t disconnects;
	GString *got;
	int raw_errno; /* 0: orderly close */
};

static void
run(struct wrig *r)
{
	CU_ASSERT_TRUE(run_with_timeout(r->k, r->loop, TIMEOUT_US));
}

static struct wrig *
wrig_create(void)
{
	struct wrig *r = g_new0(struct wrig, 1);

	r->k = mh_kern_create(1);
	r->loop = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->loop);
	r->listen_fd = r->peer_fd = -1;
	r->script = g_string_new(NULL);
	r->body = g_string_new(NULL);
	r->got = g_string_new(NULL);
	return r;
}

static void
end_peer(struct wrig *r, enum peer_end peer_end)
{
	struct linger hard = { 1, 0 };

	mh_timer_stop(r->k, &r->send_timer);
	if (r->peer_fd < 0)
		return;
	if (peer_end == RESET)
		setsockopt(
		    r->peer_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	mh_loop_fd_close(r->loop, r->peer_fd);
	close(r->peer_fd);
	r->peer_fd = -1;
}

static void
wrig_destroy(struct wrig *r)
{
	mh_hserve_destroy(r->s);
	mh_hcalls_destroy(r->calls);
	end_peer(r, CLOSE);
	if (r->listen_fd >= 0) {
		mh_loop_fd_close(r->loop, r->listen_fd);
		close(r->listen_fd);
	}
	mh_loop_destroy(r->loop);
	mh_kern_destroy(r->k);
	g_string_free(r->script, TRUE);
	g_string_free(r->body, TRUE);
	g_string_free(r->got, TRUE);
	g_free(r->stamp);
	g_free(r->reused);
	g_free(r);
}

/* the client against a scripted peer */

static void
send_more(void *arg)
{
	struct wrig *r = arg;
	size_t remaining = r->script->len - r->sent;
	size_t n = r->step == 0 ? remaining : MIN(remaining, r->step);

	if (n > 0 &&
	    send(r->peer_fd, r->script->str + r->sent, n, MSG_NOSIGNAL) < 0)
		return;
	r->sent += n;
	if (r->sent < r->script->len)
		mh_timer_set(r->k, &r->send_timer, 0, send_more, r);
	else if (r->peer_end != STAY)
		end_peer(r, r->peer_end);
}

/* Repeats the unit for as long as the client reads it. */
static void
send_endless(struct wrig *r)
{
	GString *g = g_string_new(NULL);
	ssize_t n;

	while (g->len < 65536)
		g_string_append(g, r->unit);
	n = send(r->peer_fd, g->str, g->len, MSG_NOSIGNAL | MSG_DONTWAIT);
	g_string_free(g, TRUE);
	if (n > 0)
		r->sent += (size_t)n;
	if ((n < 0 && errno != EAGAIN) || r->sent > MAX_ENDLESS)
		mh_loop_stop(r->loop);
}

static void
on_peer(void *arg, bool readable, bool writable)
{
	struct wrig *r = arg;
	char buf[4096];

	if (readable) {
		if (recv(r->peer_fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0) {
			end_peer(r, CLOSE);
			return;
		}
		r->sent = 0;
		send_more(r);
		if (r->read_once)
			mh_loop_fd(
			    r->loop, r->peer_fd, false, false, on_peer, r);
		if (r->unit != NULL)
			mh_loop_fd(
			    r->loop, r->peer_fd, false, true, on_peer, r);
	} else if (writable) {
		send_endless(r);
	}
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct wrig *r = arg;

	(void)readable;
	(void)writable;
	end_peer(r, CLOSE);
	r->accepted++;
	r->peer_fd = accept(r->listen_fd, NULL, NULL);
	mh_loop_fd(r->loop, r->peer_fd, true, false, on_peer, r);
}

static void start_call(
    struct wrig *r, const char *id, bool is_head, bool fresh);

static void
abort_call(struct wrig *r)
{
	mh_hcall_abort(r->call);
	r->call = NULL;
	if (!r->start_again) {
		mh_loop_stop(r->loop);
		return;
	}
	r->abort_in_head = r->abort_in_data = false;
	start_call(r, "a", false, false);
}

static void
c_head(void *arg, uint32_t status, const struct mh_headers *h, int64_t len)
{
	struct wrig *r = arg;

	(void)len;
	r->heads++;
	r->status = status;
	g_free(r->stamp);
	r->stamp = g_strdup(mh_headers_get(h, "X-Stamp"));
	if (r->abort_in_head)
		abort_call(r);
}

static void
c_data(void *arg, const char *data, size_t len)
{
	struct wrig *r = arg;

	g_string_append_len(r->body, data, (gssize)len);
	if (r->abort_in_data)
		abort_call(r);
}

static void
c_done(void *arg, enum mh_hcall_outcome end)
{
	struct wrig *r = arg;

	r->call = NULL;
	r->ended++;
	r->end = end;
	mh_loop_stop(r->loop);
}

static void
start_call(struct wrig *r, const char *id, bool is_head, bool fresh)
{
	char *text =
	    g_strdup_printf("%s /x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n\r\n",
		is_head ? "HEAD" : "GET", id);
	struct mh_hcall_args a = { .addr = r->addr,
		.peer = "peer",
		.text = g_bytes_new(text, strlen(text)),
		.echo_name = "X-Id",
		.echo = id,
		.is_head = is_head,
		.fresh = fresh,
		.fns = { c_head, c_data, c_done },
		.arg = r };

	r->ended = r->heads = 0;
	r->status = 0;
	g_string_truncate(r->body, 0);
	r->call = mh_hcalls_start(r->calls, &a);
	g_bytes_unref(a.text);
	g_free(text);
}

static struct wrig *
peer_create(void)
{
	struct wrig *r = wrig_create();

	r->listen_fd = tcp_listen(r->addr);
	mh_loop_fd(r->loop, r->listen_fd, true, false, on_accept, r);
	return r;
}

/* Whether a call completes within @us; else it is aborted. */
static bool
call_completes(struct wrig *r, bool is_head, bool fresh, int64_t us)
{
	start_call(r, "a", is_head, fresh);
	(void)run_with_timeout(r->k, r->loop, us);
	if (r->call != NULL) {
		mh_hcall_abort(r->call);
		r->call = NULL;
	}
	return r->ended == 1 && r->end == MH_CALL_COMPLETE;
}

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

/** struct frame - a response and how its end is marked. */
struct frame {
	const char *text;
	const char *body;
	bool by_close;
};

static const struct frame framings[] = {
	{ OK "X-Id: a\r\nContent-Length: 11\r\n\r\nhello there", "hello there",
	    false },
	{ OK "X-Id: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
	    "hello", false },
	{ OK "X-Id: a\r\n" CHUNKED
	     "\r\n5;x=y\r\nhello\r\n06\r\n there\r\n0\r\nX-T: t\r\n\r\n",
	    "hello there", false },
	{ OK CHUNKED "Connection: close\r\n\r\nB\r\nhello there\r\n0\r\n\r\n",
	    "hello there", false },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\n" OK
	  "Content-Length: 2\r\n\r\nhi",
	    "hi", false },
	{ OK "X-Id: a\r\n\r\nhello there", "hello there", true },
	{ "HTTP/1.0 200 OK\r\n\r\nhello there", "hello there", true },
};

/* A truncated response is complete if a close marks its end, after the head. */
static bool
is_complete(const struct frame *f, size_t len, enum peer_end peer_end)
{
	const char *head = strstr(f->text, "\r\n\r\n");

	if (!f->by_close)
		return len == strlen(f->text);
	return peer_end == CLOSE && len >= (size_t)(head + 4 - f->text);
}

static void
check_truncated(
    struct wrig *r, const struct frame *f, size_t len, enum peer_end peer_end)
{
	bool complete;

	g_string_truncate(r->script, 0);
	g_string_append_len(r->script, f->text, (gssize)len);
	r->peer_end = peer_end;
	complete = call_completes(r, false, true, TIMEOUT_US);
	if (complete != is_complete(f, len, peer_end) || r->ended != 1 ||
	    !g_str_has_prefix(f->body, r->body->str))
		fprintf(stderr,
		    "truncated: %zu of %s, end %d: ended=%u end=%d\n", len,
		    f->text, peer_end, r->ended, r->end);
	CU_ASSERT_EQUAL(complete, is_complete(f, len, peer_end));
	CU_ASSERT_EQUAL(r->ended, 1);
	CU_ASSERT_TRUE(g_str_has_prefix(f->body, r->body->str));
}

/* A response truncated at some byte, by a close or a reset, looks complete. */
static void
test_truncated(void)
{
	struct wrig *r = peer_create();

	for (size_t i = 0; i < G_N_ELEMENTS(framings); i++) {
		for (size_t n = 0; n <= strlen(framings[i].text); n++) {
			check_truncated(r, &framings[i], n, CLOSE);
			check_truncated(r, &framings[i], n, RESET);
		}
	}
	wrig_destroy(r);
}

/* The result depends on where TCP splits the response. */
static void
test_split(void)
{
	struct wrig *r = peer_create();

	for (size_t i = 0; i < G_N_ELEMENTS(framings); i++) {
		const struct frame *f = &framings[i];

		g_string_assign(r->script, f->text);
		r->peer_end = f->by_close ? CLOSE : STAY;
		for (r->step = 1; r->step <= strlen(f->text); r->step++) {
			CU_ASSERT_TRUE(
			    call_completes(r, false, true, TIMEOUT_US));
			CU_ASSERT_STRING_EQUAL(r->body->str, f->body);
		}
	}
	wrig_destroy(r);
}

/** struct response_case - an unusual response and whether it is accepted. */
struct response_case {
	const char *name;
	const char *text;
	const char *body; /* NULL: must not be accepted as complete */
	bool is_head;
	enum peer_end peer_end;
};

static void
check_response(const struct response_case *o, size_t step)
{
	struct wrig *r = peer_create();
	bool complete;

	g_string_assign(r->script, o->text);
	r->step = step;
	r->peer_end = o->peer_end;
	complete = call_completes(r, o->is_head, true, WAIT_US);
	if (complete != (o->body != NULL) ||
	    (complete && strcmp(o->body, r->body->str) != 0))
		fprintf(stderr,
		    "response: %s, step %zu: ended=%u end=%d body=%s\n",
		    o->name, step, r->ended, r->end, r->body->str);
	CU_ASSERT_EQUAL(complete, o->body != NULL);
	if (complete && o->body != NULL)
		CU_ASSERT_STRING_EQUAL(r->body->str, o->body);
	wrig_destroy(r);
}

static void
check_responses(const struct response_case *all, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		check_response(&all[i], 0);
		check_response(&all[i], 1);
	}
}

static const struct response_case lengths[] = {
	{ "a length and chunks",
	    OK "Content-Length: 2\r\n" CHUNKED "\r\n2\r\nhi\r\n0\r\n\r\n", NULL,
	    false, CLOSE },
	{ "two lengths", OK "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
	    NULL, false, CLOSE },
	{ "a list of lengths", OK "Content-Length: 2, 2\r\n\r\nhi", NULL, false,
	    CLOSE },
	{ "no digits", OK "Content-Length: \r\n\r\nhi", NULL, false, CLOSE },
	{ "a sign", OK "Content-Length: +2\r\n\r\nhi", NULL, false, CLOSE },
	{ "below zero", OK "Content-Length: -2\r\n\r\nhi", NULL, false, CLOSE },
	{ "over 64 bits", OK "Content-Length: 18446744073709551618\r\n\r\nhi",
	    NULL, false, CLOSE },
	{ "over 63 bits", OK "Content-Length: 9223372036854775808\r\n\r\n",
	    NULL, true, CLOSE },
	{ "a length folded", OK "Content-Length: 2\r\n 0\r\n\r\nhi", NULL,
	    false, CLOSE },
	{ "a field folded",
	    OK "X: a\r\n Content-Length: 1\r\nContent-Length: 2\r\n\r\nhi",
	    NULL, false, CLOSE },
	{ "bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi", "hi",
	    false, STAY },
	{ "bytes before it", "x" OK "Content-Length: 2\r\n\r\nhi", NULL, false,
	    CLOSE },
	{ "bytes after it",
	    OK "Content-Length: 2\r\n\r\nhi" OK "Content-Length: 3\r\n\r\nyou",
	    "hi", false, STAY },
	{ "no response after an interim one", "HTTP/1.1 100 Continue\r\n\r\n",
	    NULL, false, CLOSE },
	{ "a chunk over 64 bits",
	    OK CHUNKED "\r\n10000000000000002\r\nhi\r\n0\r\n\r\n", NULL, false,
	    CLOSE },
	{ "a chunk below zero", OK CHUNKED "\r\n-2\r\nhi\r\n0\r\n\r\n", NULL,
	    false, CLOSE },
	{ "a chunk without a size", OK CHUNKED "\r\n\r\nhi\r\n0\r\n\r\n", NULL,
	    false, CLOSE },
	{ "a chunk of many zeros",
	    OK CHUNKED "\r\n00000000000000000000002\r\nhi\r\n0\r\n\r\n", "hi",
	    false, STAY },
};

/* A length that parsers read differently is accepted. */
static void
test_lengths(void)
{
	check_responses(lengths, G_N_ELEMENTS(lengths));
}

/* A NUL in a head is accepted, though it ends a C string and other parsers
 * read on. */
static void
test_nul(void)
{
	static const char text[] =
	    OK "X-Stamp: a\0b\r\nContent-Length: 0\r\n\r\n";
	struct wrig *r = peer_create();

	g_string_append_len(r->script, text, sizeof(text) - 1);
	CU_ASSERT_FALSE(call_completes(r, false, true, WAIT_US));
	wrig_destroy(r);
}

static const struct response_case codings[] = {
	{ "gzip, space after the name", OK "Transfer-Encoding : gzip\r\n\r\nhi",
	    NULL, false, CLOSE },
	{ "chunks, space after the name",
	    OK "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi",
	    false, STAY },
	{ "id of another call, space after the name",
	    OK "X-Id : z\r\nContent-Length: 3\r\n\r\nyou", NULL, false, CLOSE },
	{ "gzip, chunked",
	    OK "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	    NULL, false, CLOSE },
	{ "chunked, gzip",
	    OK "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	    NULL, false, CLOSE },
	{ "gzip", OK "Transfer-Encoding: gzip\r\n\r\nhi", NULL, false, CLOSE },
	{ "xchunked",
	    OK "Transfer-Encoding: xchunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", NULL,
	    false, CLOSE },
	{ "identity", OK "Transfer-Encoding: identity\r\n\r\nhi", NULL, false,
	    CLOSE },
	{ "nothing", OK "Transfer-Encoding: \r\n\r\nhi", NULL, false, CLOSE },
	{ "chunked twice", OK CHUNKED CHUNKED "\r\n2\r\nhi\r\n0\r\n\r\n", NULL,
	    false, CLOSE },
	{ "coded response of another call first",
	    OK "X-Id: z\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
	       "2\r\nhi\r\n0\r\n\r\n" OK
	       "X-Id: a\r\nContent-Length: 2\r\n\r\nhi",
	    NULL, false, CLOSE },
	{ "any case",
	    OK "Transfer-Encoding: Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi",
	    false, STAY },
};

/* A body with a coding that is not decoded here is passed on as plain. */
static void
test_codings(void)
{
	check_responses(codings, G_N_ELEMENTS(codings));
}

static const struct response_case lines[] = {
	{ "a chunk longer than its size", OK CHUNKED "\r\n2\r\nhi!!0\r\n\r\n",
	    NULL, false, CLOSE },
	{ "a chunk that ends in half a line",
	    OK CHUNKED "\r\n2\r\nhi\r!0\r\n\r\n", NULL, false, CLOSE },
	{ "a size that ends in half a line",
	    OK CHUNKED "\r\n2\r!hi\r\n0\r\n\r\n", NULL, false, CLOSE },
	{ "a line feed in an extension",
	    OK CHUNKED "\r\n2;\nx\r\nhi\r\n0\r\n\r\n", NULL, false, CLOSE },
	{ "chunks after bare line feeds",
	    "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"
	    "2\r\nhi\r\n0\r\n\r\n",
	    NULL, false, CLOSE },
	{ "a trailer with a bare line feed",
	    OK CHUNKED "\r\n2\r\nhi\r\n0\r\nX: y\n\r\n", NULL, false, CLOSE },
	{ "the last chunk ends in half a line",
	    OK CHUNKED "\r\n2\r\nhi\r\n0\r!\r\n", NULL, false, CLOSE },
	{ "trailers that end in half a line",
	    OK CHUNKED "\r\n2\r\nhi\r\n0\r\n\r!", NULL, false, CLOSE },
	{ "a head that ends in half a line", OK "Content-Length: 2\r\n\r!hi",
	    NULL, false, CLOSE },
	{ "a status line that ends in half a line",
	    "HTTP/1.1 200 OK\r!Content-Length: 2\r\n\r\nhi", NULL, false,
	    CLOSE },
	{ "bytes like lines within a chunk",
	    OK CHUNKED "\r\n4\r\n\r!\r\r\r\n0\r\n\r\n", "\r!\r\r", false,
	    STAY },
	{ "bytes like lines within a body",
	    OK "Content-Length: 4\r\n\r\n\r!\r\r", "\r!\r\r", false, STAY },
};

/* Malformed line ends, or surplus bytes after a chunk, are skipped. */
static void
test_lines(void)
{
	check_responses(lines, G_N_ELEMENTS(lines));
}

static const struct response_case bodyless[] = {
	{ "304 with a length",
	    "HTTP/1.1 304 Not Modified\r\n"
	    "Content-Length: 5\r\n\r\n",
	    "", false, STAY },
	{ "204 with a length",
	    "HTTP/1.1 204 No Content\r\n"
	    "Content-Length: 5\r\n\r\n",
	    "", false, STAY },
	{ "204 with chunks", "HTTP/1.1 204 No Content\r\n" CHUNKED "\r\n", "",
	    false, STAY },
	{ "an interim response with a length",
	    "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\n" OK
	    "Content-Length: 2\r\n\r\nhi",
	    "hi", false, STAY },
	{ "304 of another call first",
	    "HTTP/1.1 304 Not Modified\r\nX-Id: z\r\nContent-Length: 5\r\n"
	    "\r\n" OK "X-Id: a\r\nContent-Length: 2\r\n\r\nhi",
	    "hi", false, STAY },
	{ "HEAD with a length", OK "Content-Length: 5\r\n\r\n", "", true,
	    STAY },
	{ "HEAD with chunks", OK CHUNKED "\r\n", "", true, STAY },
};

/* The client waits for a body where none is sent, and consumes the next
 * response as that body. */
static void
test_bodyless(void)
{
	check_responses(bodyless, G_N_ELEMENTS(bodyless));
}

/*
 * A response that has no body by its status declares one, and the peer sends
 * it: the client takes these bytes for the next response.
 */
static void
test_body_after_bodyless(void)
{
	static const struct {
		const char *text;
		uint32_t accepted;
	} rows[] = {
		{ "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n", 2 },
		{ "HTTP/1.1 204 None\r\n" CHUNKED "\r\n", 2 },
		{ "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\n" OK
		  "Content-Length: 0\r\n\r\n",
		    2 },
		{ "HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n", 1 },
		{ "HTTP/1.1 204 None\r\n\r\n", 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct wrig *r = peer_create();

		g_string_assign(r->script, rows[i].text);
		CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
		CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
		CU_ASSERT_EQUAL(r->accepted, rows[i].accepted);
		wrig_destroy(r);
	}
}

static const struct response_case bad_starts[] = {
	{ "another protocol",
	    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
	    "Upgrade: x\r\n\r\n" OK "Content-Length: 2\r\n\r\nhi",
	    NULL, false, CLOSE },
	{ "HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", NULL,
	    false, CLOSE },
	{ "a status of two digits",
	    "HTTP/1.1 20 OK\r\n\r\n" OK "Content-Length: 2\r\n\r\nhi", NULL,
	    false, CLOSE },
};

/* A response of another protocol, or after a protocol switch, is accepted. */
static void
test_starts(void)
{
	check_responses(bad_starts, G_N_ELEMENTS(bad_starts));
}

/* A trailer of one response becomes a field of the next. */
static void
test_trailer(void)
{
	struct wrig *r = peer_create();

	g_string_assign(r->script,
	    OK "X-Id: a\r\n" CHUNKED
	       "\r\n2\r\nhi\r\n0\r\nX-T: t\r\nX-Stamp: s\r\n\r\n");
	CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
	CU_ASSERT_PTR_NULL(r->stamp);
	g_string_assign(r->script, OK "X-Id: a\r\nContent-Length: 2\r\n\r\nhi");
	CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
	CU_ASSERT_EQUAL(r->accepted, 1);
	CU_ASSERT_PTR_NULL(r->stamp);
	wrig_destroy(r);
}

static void
stop(void *arg)
{
	mh_loop_stop(((struct wrig *)arg)->loop);
}

/* Bytes received before a call started are taken for its response. */
static void
test_early(void)
{
	static const char early_bytes[] = OK "Content-Length: 5\r\n\r\nother";
	struct wrig *r = peer_create();

	g_string_assign(r->script, OK "Content-Length: 2\r\n\r\nhi");
	CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
	CU_ASSERT(send(r->peer_fd, early_bytes, sizeof(early_bytes) - 1,
		      MSG_NOSIGNAL) > 0);
	CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
	CU_ASSERT_STRING_EQUAL(r->body->str, "hi");
	CU_ASSERT_EQUAL(r->accepted, 2);
	wrig_destroy(r);
}

/* A duplicate response without an id is taken for that of the next call. */
static void
test_duplicate_response(void)
{
	struct wrig *r = peer_create();

	g_string_assign(r->script, OK "X-Id: a\r\nContent-Length: 2\r\n\r\nhi");
	CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
	g_string_assign(r->script,
	    OK "Content-Length: 5\r\n\r\nother" OK
	       "X-Id: a\r\nContent-Length: 2\r\n\r\nhi");
	CU_ASSERT_FALSE(call_completes(r, false, false, WAIT_US) &&
	    strcmp(r->body->str, "hi") != 0);
	CU_ASSERT_EQUAL(r->accepted, 1);
	wrig_destroy(r);
}

/* An announced idle time of zero, less, or a huge number is misread. */
static void
test_keep_alive(void)
{
	static const char *const times[] = { "0", "-5", "99999999999999999999",
		"9223372036854" };

	for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
		struct wrig *r = peer_create();

		g_string_printf(r->script,
		    OK "Content-Length: 2\r\nKeep-Alive: timeout=%s\r\n\r\nhi",
		    times[i]);
		CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
		CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
		CU_ASSERT_EQUAL(r->accepted, i < 2 ? 2 : 1);
		wrig_destroy(r);
	}
}

/** struct endless - a response without an end. */
struct endless {
	const char *name;
	const char *text;
	const char *unit;
};

static const struct endless endless[] = {
	{ "a status line", "HTTP/1.1 200 ", "x" },
	{ "a field", OK "X: ", "x" },
	{ "a name", OK, "x" },
	{ "fields", OK, "X: y\r\n" },
	{ "a folded field", OK "X: y\r\n", " z\r\n" },
	{ "a chunk's extension", OK CHUNKED "\r\n1;", "x" },
	{ "a chunk's size", OK CHUNKED "\r\n", "0" },
	{ "trailers", OK CHUNKED "\r\n1\r\nx\r\n0\r\n", "X: y\r\n" },
	{ "a trailer", OK CHUNKED "\r\n1\r\nx\r\n0\r\nX: ", "x" },
	{ "interim responses", "", "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" },
	{ "empty lines", "", "\r\n" },
	{ "responses of other calls", "",
	    OK "X-Id: z\r\nContent-Length: 0\r\n\r\n" },
};

/* Anything endless other than a body is read for ever. */
static void
test_endless(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endless); i++) {
		struct wrig *r = peer_create();

		g_string_assign(r->script, endless[i].text);
		r->unit = endless[i].unit;
		start_call(r, "a", false, true);
		run(r);
		if (r->ended != 1 || r->end != MH_CALL_UNREADABLE)
			fprintf(stderr, "endless: %s: %zu bytes, ended=%u\n",
			    endless[i].name, r->sent, r->ended);
		CU_ASSERT_EQUAL(r->ended, 1);
		CU_ASSERT_EQUAL(r->end, MH_CALL_UNREADABLE);
		wrig_destroy(r);
	}
}

/* A call is aborted in its own callback and used after it is freed. */
static void
test_abort_inside(void)
{
	for (int i = 0; i < 4; i++) {
		struct wrig *r = peer_create();

		r->abort_in_head = i < 2;
		r->abort_in_data = i >= 2;
		r->step = i % 2 == 0 ? 0 : 1;
		g_string_assign(r->script,
		    OK "X-Id: a\r\n" CHUNKED
		       "\r\n2\r\nhi\r\n1\r\nx\r\n0\r\n\r\n" OK "\r\n");
		start_call(r, "a", false, false);
		run(r);
		mh_timer_start(r->k, 2 * MH_US_PER_MS, stop, r);
		run(r);
		CU_ASSERT_EQUAL(r->heads, 1);
		CU_ASSERT_EQUAL(r->ended, 0);
		wrig_destroy(r);
	}
}

/* A call started in the callback that aborts another one gets its bytes. */
static void
test_start_inside(void)
{
	for (int i = 0; i < 2; i++) {
		struct wrig *r = peer_create();

		r->abort_in_head = i == 0;
		r->abort_in_data = i == 1;
		r->start_again = true;
		g_string_assign(
		    r->script, OK "X-Id: a\r\nContent-Length: 2\r\n\r\nhi");
		CU_ASSERT_TRUE(call_completes(r, false, false, TIMEOUT_US));
		CU_ASSERT_STRING_EQUAL(r->body->str, "hi");
		CU_ASSERT_EQUAL(r->accepted, 2);
		wrig_destroy(r);
	}
}

/* the server against raw callers */

static void
on_request(void *arg, struct mh_hreq *q)
{
	struct wrig *r = arg;

	r->requests++;
	r->req = q;
	r->serve(r, q);
}

static void
on_disconnect(void *arg, struct mh_hreq *q)
{
	struct wrig *r = arg;

	(void)q;
	r->req = NULL;
	r->disconnects++;
}

static struct wrig *
server_create(void (*serve)(struct wrig *r, struct mh_hreq *q))
{
	struct wrig *r = wrig_create();
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 512, 64, 3 * MH_US_PER_S, 2 * TIMEOUT_US },
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.arg = r };

	r->serve = serve;
	r->s = mh_hserve_create(r->loop, &a, NULL);
	return r;
}

static void
on_raw(void *arg, bool readable, bool writable)
{
	struct wrig *r = arg;
	char buf[4096];
	ssize_t n = recv(r->peer_fd, buf, sizeof(buf), MSG_DONTWAIT);

	(void)readable;
	(void)writable;
	if (n > 0) {
		g_string_append_len(r->got, buf, n);
		return;
	}
	r->raw_errno = n < 0 ? errno : 0;
	mh_loop_stop(r->loop);
}

static void
on_wake(void *arg)
{
	struct wrig *r = arg;

	mh_loop_fd(r->loop, r->peer_fd, true, false, on_raw, r);
}

/* A caller with a small receive window that starts to read after @us. */
static void
raw(struct wrig *r, const char *text, int64_t us)
{
	int window = 16 << 10;

	r->peer_fd = tcp_dial(mh_hserve_port(r->s));
	setsockopt(r->peer_fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	CU_ASSERT(send(r->peer_fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	mh_timer_start(r->k, us, on_wake, r);
}

static const char *
path_of(struct mh_hreq *q)
{
	return mh_hreq_target(q);
}

/** struct bodyless_case - a response without a body. */
struct bodyless_case {
	const char *method;
	uint32_t status;
	int64_t length;
	bool write; /* the handler writes a body, which must not be sent */
	const char *head; /* its header fields */
};

static const struct bodyless_case bodyless_cases[] = {
	{ "HEAD", 200, -1, false, "" },
	{ "HEAD", 200, -1, true, "" },
	{ "HEAD", 200, 5, false, "Content-Length: 5\r\n" },
	{ "HEAD", 200, 2, true, "Content-Length: 2\r\n" },
	{ "GET", 204, -1, false, "" },
	{ "GET", 204, 0, false, "" },
	{ "GET", 204, 2, true, "" },
	{ "GET", 304, -1, true, "" },
	{ "GET", 304, 0, false, "" },
};

static const struct bodyless_case *current_case;

static void
serve_bodyless(struct wrig *r, struct mh_hreq *q)
{
	bool last = strcmp(path_of(q), "/last") == 0;

	(void)r;
	mh_hreq_head(q, last ? 200 : current_case->status, NULL,
	    last ? 2 : current_case->length);
	if (last || current_case->write)
		mh_hreq_write(q, "ok", 2);
	mh_hreq_end(q);
}

#define LAST "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define LAST_ANSWER \
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

/* Framing or body bytes are sent where the caller expects the next response. */
static void
test_no_body_due(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bodyless_cases); i++) {
		struct wrig *r = server_create(serve_bodyless);
		char *text, *head;

		current_case = &bodyless_cases[i];
		text = g_strdup_printf("%s / HTTP/1.1\r\nHost: h\r\n\r\n" LAST,
		    current_case->method);
		head = g_strdup_printf(
		    "\r\n%s\r\n" LAST_ANSWER, current_case->head);
		raw(r, text, 0);
		run(r);
		if (!g_str_has_suffix(r->got->str, head) ||
		    r->got->len > strlen(head) + 30)
			fprintf(stderr, "no body: %s %u: %s\n",
			    current_case->method, current_case->status,
			    r->got->str);
		CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, head));
		CU_ASSERT(r->got->len <= strlen(head) + 30);
		g_free(text);
		g_free(head);
		wrig_destroy(r);
	}
}

static void
serve_fewer(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	mh_hreq_head(q, 200, NULL, 5);
	mh_hreq_write(q, "abc", 3);
	mh_hreq_end(q);
}

static void
serve_more(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	mh_hreq_head(q, 200, NULL, 5);
	mh_hreq_write(q, "abc", 3);
	mh_hreq_write(q, "def", 3);
	mh_hreq_end(q);
}

/* A response that differs from its declared length corrupts the next one. */
static void
test_other_length(void)
{
	for (int i = 0; i < 2; i++) {
		struct wrig *r =
		    server_create(i == 0 ? serve_fewer : serve_more);

		raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" LAST, 0);
		run(r);
		CU_ASSERT_EQUAL(r->requests, 1);
		CU_ASSERT_EQUAL(r->raw_errno, ECONNRESET);
		CU_ASSERT_PTR_NULL(strstr(r->got->str, "def"));
		wrig_destroy(r);
	}
}

static void
on_second_half(void *arg)
{
	struct wrig *r = arg;

	mh_hreq_write(r->req, "there", 5);
	mh_hreq_end(r->req);
}

static void
serve_parts(struct wrig *r, struct mh_hreq *q)
{
	if (strcmp(path_of(q), "/last") == 0) {
		mh_hreq_head(q, 200, NULL, 2);
		mh_hreq_write(q, "ok", 2);
		mh_hreq_end(q);
		return;
	}
	mh_hreq_head(q, 200, NULL, -1);
	mh_hreq_write(q, "hello ", 6);
	mh_timer_start(r->k, 10 * MH_US_PER_MS, on_second_half, r);
}

/* Requests received during a streamed response are lost or mixed with it. */
static void
test_requests_after_a_stream(void)
{
	struct wrig *r = server_create(serve_parts);

	raw(r,
	    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n" LAST,
	    0);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 3);
	CU_ASSERT_EQUAL(r->raw_errno, 0);
#define STREAM OK CHUNKED "\r\n6\r\nhello \r\n5\r\nthere\r\n0\r\n\r\n"
	CU_ASSERT_STRING_EQUAL(r->got->str, STREAM STREAM LAST_ANSWER);
	wrig_destroy(r);
}

static void
on_abort(void *arg)
{
	struct wrig *r = arg;

	mh_hreq_abort(r->req);
}

static void
serve_aborted(struct wrig *r, struct mh_hreq *q)
{
	mh_hreq_head(q, 200, NULL, -1);
	mh_hreq_write(q, "hello ", 6);
	mh_timer_start(r->k, 10 * MH_US_PER_MS, on_abort, r);
}

/* A stream is aborted, and the next request is answered in its place. */
static void
test_request_after_an_abort(void)
{
	struct wrig *r = server_create(serve_aborted);

	raw(r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" LAST, 0);
	run(r);
	CU_ASSERT_EQUAL(r->requests, 1);
	CU_ASSERT_EQUAL(r->raw_errno, ECONNRESET);
	CU_ASSERT_STRING_EQUAL(r->got->str, OK CHUNKED "\r\n6\r\nhello \r\n");
	wrig_destroy(r);
}

/* Bytes; more than the kernel buffers for a caller that does not read. */
#define MUCH ((size_t)7 << 20)
/* Bytes; more than the server buffers for a caller. */
#define TOO_MUCH ((size_t)20 << 20)

static void
write_much(struct mh_hreq *q, size_t len)
{
	char *text = g_strnfill(len, 'x');

	mh_hreq_head(q, 200, NULL, -1);
	mh_hreq_write(q, text, len);
	g_free(text);
}

static void
serve_much(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	write_much(q, MUCH);
}

static void
serve_much_and_end(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	write_much(q, MUCH);
	mh_hreq_end(q);
}

static void
serve_too_much(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	write_much(q, TOO_MUCH);
}

static void
on_shutdown(void *arg)
{
	struct wrig *r = arg;

	CU_ASSERT_EQUAL(shutdown(r->peer_fd, SHUT_WR), 0);
}

static void
on_destroy_server(void *arg)
{
	struct wrig *r = arg;

	mh_hserve_destroy(r->s);
	r->s = NULL;
}

/** struct truncation - a long response of which the caller gets only a part. */
struct truncation {
	const char *name;
	void (*serve)(struct wrig *r, struct mh_hreq *q);
	void (*event)(void *arg); /* while its bytes wait to be sent */
};

static const struct truncation truncations[] = {
	{ "it is aborted", serve_much, on_abort },
	{ "the caller shuts down its side", serve_much, on_shutdown },
	{ "the server stops", serve_much, on_destroy_server },
	{ "the server stops after the response's end", serve_much_and_end,
	    on_destroy_server },
	{ "the caller doesn't read", serve_too_much, NULL },
};

static void
check_truncation(
    const struct truncation *h, const char *version, int64_t wake_us)
{
	struct wrig *r = server_create(h->serve);
	char *text = g_strdup_printf("GET / %s\r\nHost: h\r\n\r\n", version);
	bool framed = strcmp(version, "HTTP/1.1") == 0;

	raw(r, text, wake_us);
	if (h->event != NULL)
		mh_timer_start(r->k, 50 * MH_US_PER_MS, h->event, r);
	run(r);
	if (!framed && r->raw_errno != ECONNRESET)
		fprintf(stderr, "partial: %s: %zu bytes, errno %d\n", h->name,
		    r->got->len, r->raw_errno);
	CU_ASSERT(framed || r->raw_errno == ECONNRESET);
	CU_ASSERT_FALSE(g_str_has_suffix(r->got->str, "\r\n0\r\n\r\n"));
	g_free(text);
	wrig_destroy(r);
}

/* A response that is cut off while a slow caller reads it looks complete. */
static void
test_truncations(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(truncations); i++) {
		/* A caller that reads at once may have it all by then. */
		if (truncations[i].serve != serve_much_and_end)
			check_truncation(&truncations[i], "HTTP/1.0", 0);
		check_truncation(
		    &truncations[i], "HTTP/1.0", 200 * MH_US_PER_MS);
		check_truncation(
		    &truncations[i], "HTTP/1.1", 200 * MH_US_PER_MS);
	}
}

/* Bytes of the n-th part of a long stream; the text tells its offset. */
static char *
part_of(uint32_t n)
{
	GString *g = g_string_new(NULL);

	while (g->len < 1 + n * 7919 % 3000)
		g_string_append_printf(g, "%u.%zu\r\n", n, g->len);
	return g_string_free(g, FALSE);
}

#define PARTS 4000

static void
serve_long(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	mh_hreq_head(q, 200, NULL, -1);
	for (uint32_t n = 0; n < PARTS; n++) {
		char *part = part_of(n);

		mh_hreq_write(q, part, strlen(part));
		g_free(part);
	}
	mh_hreq_end(q);
}

static GString *
long_answer(bool chunked)
{
	GString *g =
	    g_string_new(chunked ? OK CHUNKED "Connection: close\r\n\r\n"
				 : OK "Connection: close\r\n\r\n");

	for (uint32_t n = 0; n < PARTS; n++) {
		char *part = part_of(n);

		if (chunked)
			g_string_append_printf(
			    g, "%zx\r\n%s\r\n", strlen(part), part);
		else
			g_string_append(g, part);
		g_free(part);
	}
	if (chunked)
		g_string_append(g, "0\r\n\r\n");
	return g;
}

/* Bytes are lost or repeated after a short write. */
static void
test_short_writes(void)
{
	for (int i = 0; i < 2; i++) {
		struct wrig *r = server_create(serve_long);
		GString *expected = long_answer(i == 1);

		/* Otherwise the kernel accepts it all at once. */
		CU_ASSERT(expected->len > (5U << 20));
		raw(r,
		    i == 1 ? "GET / HTTP/1.1\r\nHost: h\r\n"
			     "Connection: close\r\n\r\n"
			   : "GET / HTTP/1.0\r\nHost: h\r\n\r\n",
		    100 * MH_US_PER_MS);
		run(r);
		CU_ASSERT_EQUAL(r->raw_errno, 0);
		CU_ASSERT_TRUE(g_string_equal(r->got, expected));
		g_string_free(expected, TRUE);
		wrig_destroy(r);
	}
}

static void
serve_and_abort(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	if (strcmp(path_of(q), "/head") == 0)
		mh_hreq_head(q, 200, NULL, -1);
	mh_hreq_abort(q);
}

/* Aborting a response within on_request() is mishandled. */
static void
test_abort_in_on_request(void)
{
	static const char *const paths[] = { "/head", "/" };

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		struct wrig *r = server_create(serve_and_abort);
		char *text = g_strdup_printf(
		    "GET %s HTTP/1.1\r\nHost: h\r\n\r\n" LAST, paths[i]);

		raw(r, text, 0);
		run(r);
		CU_ASSERT_EQUAL(r->requests, 1);
		CU_ASSERT_EQUAL(r->disconnects, 0);
		CU_ASSERT_EQUAL(r->raw_errno, ECONNRESET);
		g_free(text);
		wrig_destroy(r);
	}
}

static void
serve_part(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	mh_hreq_head(q, 200, NULL, -1);
	mh_hreq_write(q, "half", 4);
}

static G_GNUC_NORETURN void
run_server(int out)
{
	struct wrig *r = server_create(serve_part);
	uint16_t port = mh_hserve_port(r->s);

	if (write(out, &port, sizeof(port)) == sizeof(port))
		mh_loop_run(r->loop);
	_exit(1);
}

/* Reads up to @end; returns -1, or 0 at end of file, or an errno. */
static int
read_until(int fd, GString *got, const char *end)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	char buf[4096];
	ssize_t n;

	while (!g_str_has_suffix(got->str, end)) {
		if (poll(&p, 1, TIMEOUT_US / MH_US_PER_MS) != 1)
			return ETIMEDOUT;
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n <= 0)
			return n < 0 ? errno : 0;
		g_string_append_len(got, buf, n);
	}
	return -1;
}

/* The process is killed, and a truncated unframed response looks complete. */
static void
test_killed(void)
{
	static const char text[] = "GET / HTTP/1.0\r\nHost: h\r\n\r\n";
	GString *got = g_string_new(NULL);
	uint16_t port = 0;
	int out[2], fd;
	pid_t pid;

	CU_ASSERT_EQUAL(pipe(out), 0);
	fflush(NULL);
	pid = fork();
	if (pid == 0)
		run_server(out[1]);
	close(out[1]);
	CU_ASSERT_EQUAL(read(out[0], &port, sizeof(port)), sizeof(port));
	close(out[0]);
	fd = tcp_dial(port);
	CU_ASSERT(send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL) > 0);
	CU_ASSERT_EQUAL(read_until(fd, got, "half"), -1);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	CU_ASSERT_EQUAL(read_until(fd, got, "no such end"), ECONNRESET);
	close(fd);
	g_string_free(got, TRUE);
}

/** struct bad_request - a request that must be refused. */
struct bad_request {
	const char *name;
	const char *text;
};

#define POST "POST / HTTP/1.1\r\nHost: h\r\n"

static const struct bad_request ambiguous[] = {
	{ "gzip, chunked",
	    POST
	    "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "gzip", POST "Transfer-Encoding: gzip\r\n\r\nhi" },
	{ "chunks in HTTP/1.0",
	    "POST / HTTP/1.0\r\nHost: h\r\n" CHUNKED
	    "\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "a chunk longer than its size",
	    POST CHUNKED "\r\n2\r\nhi!!0\r\n\r\n" },
	{ "a size that ends in half a line",
	    POST CHUNKED "\r\n2\r!hi\r\n0\r\n\r\n" },
	{ "chunks that end in half a line",
	    POST CHUNKED "\r\n2\r\nhi\r\n0\r\n\r!" },
	{ "a head that ends in half a line",
	    POST "Content-Length: 2\r\n\r!hi" },
	{ "a folded field", POST "X: a\r\n b\r\nContent-Length: 2\r\n\r\nhi" },
	{ "a line feed in an extension",
	    POST CHUNKED "\r\n2;\nx\r\nhi\r\n0\r\n\r\n" },
	{ "a folded length", POST "Content-Length:\r\n 2\r\n\r\nhi" },
	{ "a head without a body that ends in half a line", POST "\r!" },
};

static void
serve_ok(struct wrig *r, struct mh_hreq *q)
{
	(void)r;
	mh_hreq_head(q, 200, NULL, 2);
	mh_hreq_write(q, "ok", 2);
	mh_hreq_end(q);
}

/* A request that parsers delimit differently is passed on. */
static void
test_ambiguous(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ambiguous); i++) {
		struct wrig *r = server_create(serve_ok);

		raw(r, ambiguous[i].text, 0);
		run(r);
		if (r->requests != 0)
			fprintf(stderr, "ambiguous: %s\n", ambiguous[i].name);
		CU_ASSERT_EQUAL(r->requests, 0);
		CU_ASSERT_TRUE(g_str_has_prefix(r->got->str, "HTTP/1.1 400"));
		wrig_destroy(r);
	}
}

/*
 * The connection times out while the peer does not read the request, and a
 * truncated response that ends with the connection looks complete.
 */
static void
test_timed_out(void)
{
	struct wrig *r = peer_create();
	char *more = g_strnfill((size_t)16 << 20, 'x');
	char *text = g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: %d\r\n\r\n%s",
	    16 << 20, more);
	struct mh_hcall_args a = { .addr = r->addr,
		.peer = "peer",
		.text = g_bytes_new_take(text, strlen(text)),
		.fns = { c_head, c_data, c_done },
		.arg = r };

	g_string_assign(r->script, OK "\r\nhalf");
	r->read_once = true;
	r->call = mh_hcalls_start(r->calls, &a);
	run(r);
	CU_ASSERT_EQUAL(r->ended, 1);
	CU_ASSERT_EQUAL(r->end, MH_CALL_UNACKED);
	CU_ASSERT_STRING_EQUAL(r->body->str, "half");
	g_bytes_unref(a.text);
	g_free(more);
	wrig_destroy(r);
}

/* White space after a value is taken as part of it. */
static void
test_space_after_value(void)
{
	struct wrig *r = peer_create();

	g_string_assign(r->script,
	    OK "X-Id: \t a \t\r\nX-Stamp: b c \r\nContent-Length: 2 \r\n"
	       "\r\nhi");
	CU_ASSERT_TRUE(call_completes(r, false, true, WAIT_US));
	CU_ASSERT_EQUAL(g_strcmp0(r->stamp, "b c"), 0);
	wrig_destroy(r);
}

static void
serve_value(struct wrig *r, struct mh_hreq *q)
{
	const char *v = mh_headers_get(mh_hreq_headers(q), "X-Id");

	(void)r;
	mh_hreq_head(q, 200, NULL, (int64_t)strlen(v));
	mh_hreq_write(q, v, strlen(v));
	mh_hreq_end(q);
}

/* The same in a request. */
static void
test_space_after_request_value(void)
{
	struct wrig *r = server_create(serve_value);

	raw(r,
	    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	    "X-Id: \ta b \t\r\n\r\n",
	    0);
	run(r);
	CU_ASSERT_TRUE(g_str_has_suffix(r->got->str, "\r\n\r\na b"));
	wrig_destroy(r);
}

static const struct response_case folded_fields[] = {
	{ "a field", OK "X-Stamp: a\r\n b\r\nContent-Length: 2\r\n\r\nhi", NULL,
	    false, CLOSE },
	{ "by a tab", OK "X-Stamp: a\r\n\tb\r\nContent-Length: 2\r\n\r\nhi",
	    NULL, false, CLOSE },
	{ "an empty one", OK "Content-Length:\r\n 2\r\n\r\nhi", NULL, false,
	    CLOSE },
	{ "a trailer", OK CHUNKED "\r\n2\r\nhi\r\n0\r\nX: a\r\n b\r\n\r\n",
	    NULL, false, CLOSE },
	{ "a body is none", OK "Content-Length: 4\r\n\r\n a\n ", " a\n ", false,
	    STAY },
	{ "a chunk is none", OK CHUNKED "\r\n4\r\n a\n \r\n0\r\n\r\n", " a\n ",
	    false, STAY },
};

/* A folded field is accepted and joined to one value. */
static void
test_folded_fields(void)
{
	check_responses(folded_fields, G_N_ELEMENTS(folded_fields));
}

/* A field that only the second Connection field names is passed on. */
static void
test_hop_fields(void)
{
	struct mh_headers *h = mh_headers_create();

	mh_headers_add(h, "Connection", "close, X-One;q=1");
	mh_headers_add(h, "Host", "h");
	mh_headers_add(h, "connection", "\t,x-TWO ,");
	CU_ASSERT_TRUE(mh_header_is_hop(h, "x-one"));
	CU_ASSERT_TRUE(mh_header_is_hop(h, "X-Two"));
	CU_ASSERT_TRUE(mh_header_is_hop(h, "keep-alive"));
	CU_ASSERT_FALSE(mh_header_is_hop(h, "X-On"));
	CU_ASSERT_FALSE(mh_header_is_hop(h, "q=1"));
	CU_ASSERT_FALSE(mh_header_is_hop(h, "Host"));
	mh_headers_destroy(h);
}

const struct test tests_wire[] = {
	{ "wire: space after a value", test_space_after_value },
	{ "wire: space after a value in a request",
	    test_space_after_request_value },
	{ "wire: folded fields", test_folded_fields },
	{ "wire: hop-by-hop fields", test_hop_fields },
	{ "wire: a response truncated at each byte", test_truncated },
	{ "wire: a response split at each byte", test_split },
	{ "wire: lengths", test_lengths },
	{ "wire: a NUL in a head", test_nul },
	{ "wire: codings", test_codings },
	{ "wire: malformed line ends", test_lines },
	{ "wire: responses without a body", test_bodyless },
	{ "wire: a body after a bodyless response", test_body_after_bodyless },
	{ "wire: responses of other protocols", test_starts },
	{ "wire: a trailer and the next response", test_trailer },
	{ "wire: bytes before a call", test_early },
	{ "wire: a duplicate response without an id", test_duplicate_response },
	{ "wire: how long a connection is kept", test_keep_alive },
	{ "wire: responses without an end", test_endless },
	{ "wire: a call aborted in its callback", test_abort_inside },
	{ "wire: a call started in a callback", test_start_inside },
	{ "wire: a connection that times out", test_timed_out },
	{ "wire: no body where none is expected", test_no_body_due },
	{ "wire: another length than declared", test_other_length },
	{ "wire: requests after a stream", test_requests_after_a_stream },
	{ "wire: a request after an abort", test_request_after_an_abort },
	{ "wire: part of a long response", test_truncations },
	{ "wire: short writes of a long stream", test_short_writes },
	{ "wire: killed in a response", test_killed },
	{ "wire: an abort at once", test_abort_in_on_request },
	{ "wire: ambiguous requests", test_ambiguous },
	{ NULL, NULL },
};
