/**
 * DOC: HTTP/1.1 client that sends each request at most once.
 *
 * libcurl resends by itself when a kept connection closes before a response,
 * and takes a late duplicate response for the next one.  Here a call is never
 * resent, and its outcome says whether the request may have been executed.
 */

#include "gate.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define READ_SIZE 32768
/* What the kernel holds of a request that its peer doesn't read. */
#define SEND_BUFFER_BYTES (128 << 10)
/*
 * Connecting takes one round trip.  If the SYN is lost or the listen queue is
 * full the kernel sends the next SYN after a second; a call does not wait for
 * it.
 */
#define CONNECT_US (300 * MH_US_PER_MS)
/* A silent peer is detected within this time while bytes are unacknowledged. */
#define USER_TIMEOUT_MS 2000
/* For calls that their caller ends: longer than a sound peer is silent. */
#define PATIENT_TIMEOUT_MS 60000
/*
 * A kept connection is not used in the last part of the idle time that its
 * peer announced: the request could cross the peer's close, and a request that
 * must not run twice could not be retried.
 */
#define IDLE_MARGIN_US (500 * MH_US_PER_MS)
/* Idle time for a peer that announces none; below any usual default. */
#define IDLE_DEFAULT_US (900 * MH_US_PER_MS)
/* Longer times that a peer announces are cut to this. */
#define IDLE_MAX_S 3600

/* Interim responses and those of other calls that a call skips at most. */
#define MAX_SKIPPED 64
/* Bytes of the body of another call's response, before that of its own. */
#define FOREIGN_MAX_BYTES (8U << 20)

struct conn;

struct mh_hcall {
	struct mh_hcalls *calls;
	struct conn *c; /* NULL: no socket could be opened */
	GBytes *text;
	GBytes *body; /* NULL: none */
	size_t sent; /* of both */
	int64_t start_us;
	uint32_t skipped; /* interim responses and those of other calls */
	uint64_t max_bytes; /* of the body; 0: its owner bounds it */
	char *echo_name;
	char *echo;
	bool is_head;
	bool is_control;
	struct mh_timer *unsent_timer; /* without a connection */
	struct mh_hcall_fns fns;
	void *arg;
};

struct conn {
	struct mh_hcalls *calls;
	char *addr;
	char *peer;
	int fd;
	int user_timeout_ms; /* 0: not set yet */
	bool connected;
	bool is_foreign; /* the response being read is of another call */
	bool is_unclear; /* whose it is cannot be told */
	bool is_too_long; /* its body */
	uint64_t body_bytes; /* received */
	bool has_echoed; /* a response on it had the echo field */
	bool no_reuse; /* close it after the call */
	bool head_done; /* the head is parsed; further fields are trailers */
	bool is_complete; /* the response is complete */
	bool free_pending; /* free it as soon as the parser returns */
	bool parsing;
	int64_t idle_since_us;
	int64_t idle_limit_us; /* how long it may stay idle */
	http_parser parser;
	struct mh_line_ends lines;
	struct mh_status_line status_line;
	bool has_bad_status;
	struct mh_headers *headers;
	GString *name;
	GString *value;
	bool in_value;
	struct mh_hcall *call; /* NULL: idle */
	struct mh_timer *timer;
};

struct mh_hcalls {
	struct mh_kern *k;
	struct mh_loop *loop;
	GHashTable *conns; /* set of struct conn */
	GHashTable *peers; /* peer -> GPtrArray of struct conn */
	void (*on_head)(void *arg, const struct mh_hcall_head *h);
	void *on_head_arg;
};

static void on_io(void *arg, bool readable, bool writable);

static void
free_call(struct mh_hcall *h)
{
	g_bytes_unref(h->text);
	if (h->body != NULL)
		g_bytes_unref(h->body);
	g_free(h->echo_name);
	g_free(h->echo);
	g_free(h);
}

static void
free_conn(struct conn *c)
{
	struct mh_hcalls *a = c->calls;
	GPtrArray *list = g_hash_table_lookup(a->peers, c->peer);

	if (c->parsing) { /* take_input() frees it */
		c->free_pending = true;
		return;
	}
	g_ptr_array_remove_fast(list, c);
	if (list->len == 0)
		g_hash_table_remove(a->peers, c->peer);
	g_hash_table_remove(a->conns, c);
	mh_timer_stop(a->k, &c->timer);
	mh_loop_fd_close(a->loop, c->fd);
	close(c->fd);
	mh_headers_destroy(c->headers);
	g_string_free(c->name, TRUE);
	g_string_free(c->value, TRUE);
	g_free(c->addr);
	g_free(c->peer);
	g_free(c);
}

/*
 * What a partition holds up of a call is sent again when the partition ends,
 * also after close().  A reset drops it, so that a call that was given up
 * doesn't run seconds later.
 */
static void
reset_on_close(struct conn *c)
{
	const struct linger l = { 1, 0 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* The outcome of a call of which nothing was sent. */
static enum mh_hcall_outcome
unsent(enum mh_hcall_outcome outcome)
{
	return outcome == MH_CALL_UNACKED || outcome == MH_CALL_UNANSWERED
	    ? MH_CALL_UNANSWERED
	    : MH_CALL_UNSENT;
}

/* Closes the connection and ends its call, if any. */
static void
end_call_and_conn(struct conn *c, enum mh_hcall_outcome outcome)
{
	struct mh_hcall *h = c->call;

	if (h != NULL && outcome != MH_CALL_COMPLETE)
		reset_on_close(c);
	c->call = NULL;
	free_conn(c);
	if (h == NULL)
		return;
	h->fns.done(h->arg, h->sent == 0 ? unsent(outcome) : outcome);
	free_call(h);
}

static void
fail(struct conn *c)
{
	end_call_and_conn(c, MH_CALL_BROKEN);
}

/* As fail(), by the error of the socket, which may not be the peer's doing. */
static void
fail_error(struct conn *c, int error)
{
	bool is_silent =
	    error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH;

	end_call_and_conn(c, is_silent ? MH_CALL_UNACKED : MH_CALL_BROKEN);
}

/* The connect timeout or the idle limit has expired. */
static void
on_late(void *arg)
{
	struct conn *c = arg;

	if (c->call != NULL && !c->connected)
		mh_count(c->calls->k, "call_connect_timeouts", 1);
	end_call_and_conn(c, MH_CALL_UNANSWERED);
}

static void
set_timer(struct conn *c, int64_t us)
{
	mh_timer_stop(c->calls->k, &c->timer);
	if (us > 0)
		mh_timer_set(c->calls->k, &c->timer, us, on_late, c);
}

/* parsing */

static int
on_begin(http_parser *p)
{
	struct conn *c = p->data;

	mh_headers_destroy(c->headers);
	c->headers = mh_headers_create();
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
	c->in_value = false;
	c->head_done = false;
	c->is_foreign = false;
	c->is_unclear = false;
	c->is_too_long = false;
	c->body_bytes = 0;
	c->is_complete = false;
	return 0;
}

static void
end_field(struct conn *c)
{
	/* In responses the parser accepts spaces between name and colon. */
	g_strchomp(c->name->str);
	if (c->name->len > 0)
		mh_headers_add(c->headers, c->name->str, c->value->str);
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (c->head_done)
		return 0;
	if (c->in_value)
		end_field(c);
	c->in_value = false;
	g_string_append_len(c->name, at, (gssize)n);
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (c->head_done)
		return 0;
	c->in_value = true;
	g_string_append_len(c->value, at, (gssize)n);
	return 0;
}

static void
read_keep_alive(struct conn *c, bool keep)
{
	const char *v = mh_headers_get(c->headers, "Keep-Alive");
	const char *t = v == NULL ? NULL : strstr(v, "timeout=");
	int64_t us;

	if (!keep)
		c->no_reuse = true;
	c->idle_limit_us = IDLE_DEFAULT_US;
	if (t == NULL)
		return;
	us =
	    MIN(g_ascii_strtoll(t + strlen("timeout="), NULL, 10), IDLE_MAX_S) *
	    MH_US_PER_S;
	c->idle_limit_us = MAX(us - IDLE_MARGIN_US, us / 4);
	if (c->idle_limit_us <= 0)
		c->no_reuse = true;
}

enum attribution { OWN, FOREIGN, UNCLEAR };

/*
 * A peer may send a second response to an earlier request of the connection.
 * The echoed id tells it from the response to @h, so that no caller gets the
 * response of another.  Once the peer has echoed an id, a response without one
 * cannot be attributed.
 */
static enum attribution
attribution(struct conn *c, const struct mh_hcall *h)
{
	const char *echo;

	if (h->echo_name == NULL)
		return OWN;
	echo = mh_headers_get(c->headers, h->echo_name);
	if (echo == NULL)
		return c->has_echoed ? UNCLEAR : OWN;
	c->has_echoed = true;
	return strcmp(echo, h->echo) == 0 ? OWN : FOREIGN;
}

static void
report_head(const struct conn *c, enum attribution whose)
{
	struct mh_hcall_head h = { c->peer,
		whose == OWN && !c->call->is_control ? c->call->start_us : 0,
		c->parser.status_code, c->headers };

	if (c->calls->on_head != NULL)
		c->calls->on_head(c->calls->on_head_arg, &h);
}

static bool
has_no_body(uint32_t status)
{
	return status < 200 || status == 204 || status == 304;
}

/* The parser accepts more than HTTP/1 responses that can be passed on. */
static bool
is_http1(const http_parser *p)
{
	return p->http_major == 1 && !p->upgrade && p->status_code >= 100 &&
	    (!(p->flags & F_CONTENTLENGTH) || p->content_length <= INT64_MAX);
}

/* Whether the body, with @more bytes, is longer than the call takes. */
static bool
is_too_long(struct conn *c, uint64_t more)
{
	uint64_t max = c->is_foreign ? FOREIGN_MAX_BYTES : c->call->max_bytes;

	c->is_too_long = max != 0 && more > max - MIN(c->body_bytes, max);
	return c->is_too_long;
}

static int
on_headers(http_parser *p)
{
	/* A return of 1 tells the parser that no body follows. */
	int bodyless = has_no_body(p->status_code) ? 1 : 0;
	struct conn *c = p->data;
	struct mh_hcall *h = c->call;
	enum attribution whose;

	end_field(c);
	c->head_done = true;
	if (!is_http1(p) || c->has_bad_status)
		return -1;
	/* Other codings are not decoded here: coded bytes would be passed on
	 * as the body. */
	if (!mh_headers_coding_ok(c->headers))
		return -1;
	/* In a 304 the length is that of a 200 response.  With any other
	 * status the peer may wrongly send the body. */
	if (bodyless && p->status_code != 304 &&
	    (p->flags & (F_CHUNKED | F_CONTENTLENGTH)))
		c->no_reuse = true;
	if (h == NULL)
		return -1;
	if (p->status_code < 200)
		return ++h->skipped > MAX_SKIPPED ? -1 : bodyless;
	read_keep_alive(c, http_should_keep_alive(p));
	whose = attribution(c, h);
	report_head(c, whose);
	switch (whose) {
	case OWN:
		break;
	case FOREIGN:
		mh_count(c->calls->k, "call_stray_answers", 1);
		c->is_foreign = true;
		c->no_reuse = true;
		/* It ends with the connection: none of its own can follow. */
		if (!http_should_keep_alive(p))
			return -1;
		return ++h->skipped > MAX_SKIPPED ? -1 : bodyless;
	case UNCLEAR:
		c->is_unclear = true;
		return -1;
	}
	if ((p->flags & F_CONTENTLENGTH) && !h->is_head && !bodyless &&
	    is_too_long(c, p->content_length))
		return -1;
	h->fns.head(h->arg, p->status_code, c->headers,
	    (p->flags & F_CONTENTLENGTH) ? (int64_t)p->content_length : -1);
	/* The callback may have aborted the call. */
	if (c->free_pending)
		return -1;
	return h->is_head ? 1 : bodyless;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	bool chunked = (p->flags & F_CHUNKED) != 0;
	struct conn *c = p->data;
	struct mh_hcall *h = c->call;

	if (!mh_line_ends_check(&c->lines, at, chunked))
		return -1;
	mh_line_ends_body(&c->lines, at + n, chunked);
	if (h == NULL)
		return 0;
	if (is_too_long(c, n))
		return -1;
	c->body_bytes += n;
	if (c->is_foreign)
		return 0;
	h->fns.data(h->arg, at, n);
	return c->free_pending ? -1 : 0;
}

static int
on_complete(http_parser *p)
{
	struct conn *c = p->data;

	if (p->status_code < 200 || c->is_foreign)
		return 0;
	c->is_complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = { .on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete };

static void
start_parser(struct conn *c)
{
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	memset(&c->lines, 0, sizeof(c->lines));
	memset(&c->status_line, 0, sizeof(c->status_line));
	c->has_bad_status = false;
}

static void
go_idle(struct conn *c)
{
	c->call = NULL;
	c->is_complete = false;
	c->idle_since_us = mh_now(c->calls->k);
	start_parser(c);
	set_timer(c, c->idle_limit_us);
	mh_loop_fd(c->calls->loop, c->fd, true, false, on_io, c);
}

static void
finish(struct conn *c, bool keep)
{
	struct mh_hcall *h = c->call;

	/* The response came before the whole request was sent: the peer
	 * would take the rest for the next request. */
	if (!mh_hcall_is_sent(h))
		keep = false;
	c->call = NULL;
	if (keep && !c->no_reuse)
		go_idle(c);
	else
		free_conn(c);
	h->fns.done(h->arg, MH_CALL_COMPLETE);
	free_call(h);
}

/*
 * Whether the peer has all of the request and has not reset the connection.  A
 * response that ends with its connection is whole only then: a peer that gives
 * up shuts down its side, and the reset that follows is reported by no recv().
 */
static bool
has_taken_request(const struct conn *c)
{
	int error = 0, unacked = 0;
	socklen_t n = sizeof(error);

	if (c->call == NULL || !mh_hcall_is_sent(c->call))
		return false;
	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 &&
	    error != 0)
		return false;
	return ioctl(c->fd, SIOCOUTQ, &unacked) < 0 || unacked <= 0;
}

/* Parses bytes of the response; @len 0 is the end of the connection. */
static void
take_input(struct conn *c, const char *data, size_t len)
{
	bool is_valid;
	size_t n;

	c->parsing = true;
	c->has_bad_status = c->has_bad_status ||
	    !mh_status_line_feed(&c->status_line, data, len);
	mh_line_ends_feed(&c->lines, data);
	n = http_parser_execute(&c->parser, &callbacks, data, len);
	c->parsing = false;
	if (c->free_pending) {
		struct mh_hcall *h = c->call;

		c->call = NULL;
		free_conn(c);
		if (h != NULL)
			free_call(h);
		return;
	}
	is_valid =
	    (HTTP_PARSER_ERRNO(&c->parser) == HPE_OK || c->is_complete) &&
	    mh_line_ends_check(
		&c->lines, data + n, (c->parser.flags & F_CHUNKED) != 0);
	if (len == 0 && !has_taken_request(c))
		c->is_complete = false;
	if (c->is_complete && is_valid) {
		/* Surplus bytes belong to no request: do not reuse it. */
		finish(c, len > 0 && n == len);
		return;
	}
	if (len == 0) {
		fail(c);
	} else if (!is_valid) {
		mh_count(c->calls->k, "call_malformed_answers", 1);
		mh_event(c->calls->k, "call-malformed",
		    "peer=%s status=%u unclear=%d foreign=%d too_long=%d "
		    "bytes=%" PRIu64 " parser=%s",
		    c->peer, c->parser.status_code, c->is_unclear,
		    c->is_foreign, c->is_too_long, c->body_bytes,
		    http_errno_name(HTTP_PARSER_ERRNO(&c->parser)));
		end_call_and_conn(c, MH_CALL_UNREADABLE);
	}
}

static void
read_in(struct conn *c)
{
	char buf[READ_SIZE];
	ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (c->call == NULL || n < 0) {
		/* On an idle connection only its end is expected. */
		if (n > 0)
			mh_count(c->calls->k, "call_stray_bytes", 1);
		fail_error(c, n < 0 ? errno : 0);
		return;
	}
	take_input(c, buf, (size_t)n);
}

bool
mh_hcall_is_sent(const struct mh_hcall *h)
{
	size_t len = g_bytes_get_size(h->text);

	if (h->body != NULL)
		len += g_bytes_get_size(h->body);
	return h->sent == len;
}

/* Sends the rest of the text, and of the body. */
static ssize_t
send_rest(const struct conn *c)
{
	const struct mh_hcall *h = c->call;
	GBytes *const parts[] = { h->text, h->body };
	struct iovec v[G_N_ELEMENTS(parts)];
	struct msghdr m = { .msg_iov = v };
	size_t skip = h->sent;

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		gsize len = 0;
		const char *data =
		    parts[i] == NULL ? NULL : g_bytes_get_data(parts[i], &len);

		if (len > skip) {
			v[m.msg_iovlen].iov_base =
			    (void *)(uintptr_t)(data + skip);
			v[m.msg_iovlen++].iov_len = len - skip;
		}
		skip -= MIN(skip, len);
	}
	return sendmsg(c->fd, &m, MSG_NOSIGNAL | MSG_DONTWAIT);
}

/* Returns false if the connection failed and was freed. */
static bool
write_out(struct conn *c)
{
	struct mh_hcall *h = c->call;

	while (!mh_hcall_is_sent(h)) {
		ssize_t n = send_rest(c);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n <= 0) {
			fail_error(c, n < 0 ? errno : 0);
			return false;
		}
		h->sent += (size_t)n;
	}
	mh_loop_fd(c->calls->loop, c->fd, true, !mh_hcall_is_sent(h), on_io, c);
	return true;
}

static void
on_io(void *arg, bool readable, bool writable)
{
	struct conn *c = arg;

	if (!c->connected) {
		int err = 0;
		socklen_t n = sizeof(err);

		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &n);
		if (err != 0) {
			fail_error(c, err);
			return;
		}
		if (!writable)
			return;
		c->connected = true;
		set_timer(c, 0);
	}
	if (c->call != NULL && !mh_hcall_is_sent(c->call) && !write_out(c))
		return;
	if (readable)
		read_in(c);
}

/* connections */

static struct conn *
idle_conn(struct mh_hcalls *a, const char *addr, const char *peer)
{
	GPtrArray *list = g_hash_table_lookup(a->peers, peer);
	struct conn *best = NULL;

	for (guint i = 0; list != NULL && i < list->len; i++) {
		struct conn *c = g_ptr_array_index(list, i);

		if (c->call == NULL && c->connected && !c->free_pending &&
		    strcmp(c->addr, addr) == 0 &&
		    (best == NULL || c->idle_since_us > best->idle_since_us))
			best = c;
	}
	return best;
}

/*
 * Whether an idle connection is open and has no unexpected input, which would
 * be taken for the next response.  Checks the socket, as the loop may not have
 * reported either yet.
 */
static bool
is_usable(struct conn *c)
{
	char byte;
	ssize_t n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n > 0)
		mh_count(c->calls->k, "call_stray_bytes", 1);
	return n < 0 && (errno == EAGAIN || errno == EINTR);
}

/* Returns an idle connection or NULL; closes the unusable ones it finds. */
static struct conn *
reusable_conn(struct mh_hcalls *a, const char *addr, const char *peer)
{
	struct conn *c;

	while ((c = idle_conn(a, addr, peer)) != NULL && !is_usable(c))
		free_conn(c);
	return c;
}

static int
dial(const char *addr)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char host[MH_HOST_LEN];
	uint16_t port;
	int fd, on = 1, sndbuf = SEND_BUFFER_BYTES;

	if (!mh_addr_parse(addr, host, &port) ||
	    inet_pton(AF_INET, host, &sin.sin_addr) != 1)
		return -1;
	sin.sin_port = htons(port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &sndbuf, sizeof(sndbuf));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct conn *
new_conn(struct mh_hcalls *a, const char *addr, const char *peer)
{
	struct conn *c;
	GPtrArray *list;
	int fd = dial(addr);

	if (fd < 0)
		return NULL;
	c = g_new0(struct conn, 1);
	c->calls = a;
	c->fd = fd;
	c->addr = g_strdup(addr);
	c->peer = g_strdup(peer);
	c->headers = mh_headers_create();
	c->name = g_string_new(NULL);
	c->value = g_string_new(NULL);
	g_hash_table_add(a->conns, c);
	list = g_hash_table_lookup(a->peers, peer);
	if (list == NULL) {
		list = g_ptr_array_new();
		g_hash_table_insert(a->peers, g_strdup(peer), list);
	}
	g_ptr_array_add(list, c);
	mh_count(a->k, "call_connections", 1);
	return c;
}

static void
on_unsent(void *arg)
{
	struct mh_hcall *h = arg;

	h->fns.done(h->arg, MH_CALL_UNSENT);
	free_call(h);
}

static void
set_user_timeout(struct conn *c, bool is_patient)
{
	int ms = is_patient ? PATIENT_TIMEOUT_MS : USER_TIMEOUT_MS;

	if (c->user_timeout_ms == ms)
		return;
	setsockopt(c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	c->user_timeout_ms = ms;
}

struct mh_hcall *
mh_hcalls_start(struct mh_hcalls *a, const struct mh_hcall_args *args)
{
	struct mh_hcall *h = g_new0(struct mh_hcall, 1);
	struct conn *c = NULL;

	h->calls = a;
	h->text = g_bytes_ref(args->text);
	if (args->body != NULL)
		h->body = g_bytes_ref(args->body);
	h->start_us = mh_now(a->k);
	h->echo_name = g_strdup(args->echo_name);
	h->echo = g_strdup(args->echo);
	h->is_head = args->is_head;
	h->is_control = args->is_control;
	h->max_bytes = args->max_bytes;
	h->fns = args->fns;
	h->arg = args->arg;
	if (!args->fresh)
		c = reusable_conn(a, args->addr, args->peer);
	if (c == NULL)
		c = new_conn(a, args->addr, args->peer);
	if (c == NULL) {
		/* No file descriptor, or a bad address.  Reported from the
		 * loop, so that the caller has @h before done() is called. */
		mh_count(a->k, "call_no_socket", 1);
		mh_timer_set(a->k, &h->unsent_timer, 0, on_unsent, h);
		return h;
	}
	h->c = c;
	c->call = h;
	set_user_timeout(c, args->is_patient);
	start_parser(c);
	set_timer(c, c->connected ? 0 : CONNECT_US);
	mh_loop_fd(a->loop, c->fd, c->connected, true, on_io, c);
	return h;
}

void
mh_hcall_abort(struct mh_hcall *h)
{
	struct conn *c = h->c;

	if (c == NULL) {
		mh_timer_stop(h->calls->k, &h->unsent_timer);
		free_call(h);
		return;
	}
	reset_on_close(c);
	if (c->parsing) { /* take_input() frees both */
		c->free_pending = true;
		return;
	}
	c->call = NULL;
	free_conn(c);
	free_call(h);
}

static void
free_list(void *list)
{
	g_ptr_array_free(list, TRUE);
}

struct mh_hcalls *
mh_hcalls_create(struct mh_loop *l)
{
	struct mh_hcalls *a = g_new0(struct mh_hcalls, 1);

	a->k = mh_loop_kern(l);
	a->loop = l;
	a->conns = g_hash_table_new(NULL, NULL);
	a->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
	return a;
}

void
mh_hcalls_on_head(struct mh_hcalls *a,
    void (*fn)(void *arg, const struct mh_hcall_head *h), void *arg)
{
	a->on_head = fn;
	a->on_head_arg = arg;
}

void
mh_hcalls_destroy(struct mh_hcalls *a)
{
	GList *all;

	if (a == NULL)
		return;
	all = g_hash_table_get_keys(a->conns);
	for (GList *n = all; n != NULL; n = n->next) {
		struct conn *c = n->data;

		if (c->call != NULL)
			free_call(c->call);
		c->call = NULL;
		free_conn(c);
	}
	g_list_free(all);
	g_hash_table_destroy(a->conns);
	g_hash_table_destroy(a->peers);
	g_free(a);
}

void
mh_hcalls_close_peer(struct mh_hcalls *a, const char *peer)
{
	GPtrArray *list = g_hash_table_lookup(a->peers, peer);
	GPtrArray *idle = g_ptr_array_new();

	for (guint i = 0; list != NULL && i < list->len; i++) {
		struct conn *c = g_ptr_array_index(list, i);

		if (c->call == NULL)
			g_ptr_array_add(idle, c);
		else
			c->no_reuse = true;
	}
	for (guint i = 0; i < idle->len; i++)
		free_conn(g_ptr_array_index(idle, i));
	g_ptr_array_free(idle, TRUE);
}
