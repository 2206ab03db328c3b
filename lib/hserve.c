/**
 * DOC: HTTP/1.1 server that keeps requests byte for byte.
 *
 * libmicrohttpd decodes paths and answers bad requests in its own way; here
 * a request is passed on unchanged or refused.  This file has the connections
 * and moves the bytes; hreq.c reads requests and frames answers.  A request
 * is handed over when its body is whole; one connection has one request at a
 * time.
 */

#include "hreqint.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 32768
/* Bytes of further requests kept while one is answered. */
#define MAX_AHEAD (256U << 10)
/* A caller that does not read its answer is dropped at this many bytes. */
#define MAX_OUT (8U << 20)
/*
 * After the last byte of an answer that closes the connection the caller's
 * bytes are still read for this long, and again while the kernel has bytes
 * of the answer: closing with unread bytes would reset the connection and
 * lose them.
 */
#define LINGER_US (1 * MH_US_PER_S)
/*
 * A caller has this long to take an answer that is whole.  Twice the time of
 * MAX_OUT over the narrowest link we serve, 10 Mbit/s.
 */
#define DELIVER_US (14 * MH_US_PER_S)
/* Reads at a connection's end, so that one which goes on sending can't hold
 * us: MAX_AHEAD in all. */
#define LAST_READS (MAX_AHEAD / READ_SIZE)
/* Without a free file descriptor the next accept is tried after this. */
#define ACCEPT_AGAIN_US (100 * MH_US_PER_MS)
/*
 * A silent peer is noticed within this time while a stream is made for it.
 * The kernel counts a shut window as silence, so an answer that is whole,
 * and for which nobody works any more, has DELIVER_US instead.
 */
#define USER_TIMEOUT_MS 4000

enum conn_state {
	CONN_READING, /* between requests, or in the middle of one */
	CONN_ANSWERING, /* the request is with the gate */
	CONN_SENDING, /* the answer is whole; its bytes are leaving */
	CONN_BROKEN, /* the answer broke; to be reset */
	CONN_LINGER /* answered and not to be used again; reading to the end */
};

struct conn {
	struct mh_hserve *s;
	int fd;
	enum conn_state state;
	bool close_after;
	bool unframed; /* the answer ends where the connection does */
	bool shut; /* the caller sends no more; found while sending */
	int64_t deliver_by_us;
	struct mh_hreq *req;
	GByteArray *ahead;
	GByteArray *out;
	struct mh_timer *timer;
};

struct mh_hserve {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hserve_args args;
	int fd;
	uint16_t port;
	bool draining;
	bool finishing;
	struct mh_timer *accept_timer;
	GHashTable *conns; /* set of struct conn */
};

static void on_io(void *arg, bool readable, bool writable);
static void process(struct conn *c);
static void end_idle(struct conn *c);

static void
free_conn(struct conn *c)
{
	mh_timer_stop(c->s->k, &c->timer);
	mh_loop_fd_close(c->s->loop, c->fd);
	close(c->fd);
	mh_hreq_destroy(c->req);
	g_byte_array_unref(c->ahead);
	g_byte_array_unref(c->out);
	g_hash_table_remove(c->s->conns, c);
	g_free(c);
}

/*
 * Half of an answer without a frame would look whole to the caller if the
 * connection were closed in order.  A reset tells them apart.
 */
static void
reset_if_half(struct conn *c)
{
	struct linger hard = { 1, 0 };

	switch (c->state) {
	case CONN_READING:
	case CONN_LINGER:
		return;
	case CONN_ANSWERING:
	case CONN_SENDING:
		if (!c->unframed)
			return;
		break;
	case CONN_BROKEN:
		break;
	}
	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

/* The caller is gone: the gate is told first, as it holds the request. */
static void
lose(struct conn *c)
{
	reset_if_half(c);
	if (c->state == CONN_ANSWERING && c->req != NULL) {
		struct mh_hreq *r = c->req;

		c->state = CONN_LINGER;
		c->s->args.on_gone(c->s->args.arg, r);
	}
	free_conn(c);
}

static void
set_user_timeout(int fd, int ms)
{
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static void on_timer(void *arg);

static void
set_timer(struct conn *c, int64_t us)
{
	mh_timer_stop(c->s->k, &c->timer);
	if (us > 0)
		c->timer = mh_timer_start(c->s->k, us, on_timer, c);
}

static void
want_io(struct conn *c)
{
	bool full = c->ahead->len >= MAX_AHEAD;
	/* A shut side stays readable, and the loop would turn for nothing. */
	bool ended = c->shut && c->state == CONN_SENDING;

	mh_loop_fd(
	    c->s->loop, c->fd, !full && !ended, c->out->len > 0, on_io, c);
}

/* Returns false when the connection has failed. */
static bool
send_out(struct conn *c)
{
	uint32_t off = 0;

	while (off < c->out->len) {
		ssize_t n = send(c->fd, c->out->data + off, c->out->len - off,
		    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n <= 0)
			return false;
		off += (uint32_t)n;
	}
	if (off > 0)
		g_byte_array_remove_range(c->out, 0, off);
	return true;
}

/* Returns false when the connection was lost and freed. */
static bool
flush_out(struct conn *c)
{
	if (!send_out(c)) {
		lose(c);
		return false;
	}
	/* A whole answer is bounded by its maker, and by DELIVER_US. */
	if (c->state == CONN_ANSWERING && c->out->len > MAX_OUT) {
		mh_count(c->s->k, "serve_slow_callers", 1);
		lose(c);
		return false;
	}
	want_io(c);
	return true;
}

/* answers */

void
mh_hreq_head(struct mh_hreq *r, uint32_t status,
    const struct mh_headers *headers, int64_t length)
{
	struct conn *c = r->c;

	c->unframed = !mh_hreq_framed(r, status, length);
	if (length < 0)
		set_user_timeout(c->fd, USER_TIMEOUT_MS);
	if (c->unframed || !r->keep_alive || c->s->draining)
		c->close_after = true;
	mh_hreq_put_head(r, status, headers, length, c->close_after);
	want_io(c);
}

void
mh_hreq_write(struct mh_hreq *r, const void *data, size_t len)
{
	if (len == 0)
		return;
	mh_hreq_put(r, data, len);
	want_io(r->c);
}

static void
start_reading(struct conn *c)
{
	c->state = CONN_READING;
	c->req = mh_hreq_create(&c->s->args.limits, c->out);
	c->req->c = c;
	set_timer(c, c->s->args.limits.idle_us);
}

static void
start_linger(struct conn *c)
{
	c->state = CONN_LINGER;
	set_timer(c, LINGER_US);
	shutdown(c->fd, SHUT_WR);
	want_io(c);
}

/* The answer's last byte is with the kernel. */
static void
on_sent(struct conn *c)
{
	if (c->close_after) {
		start_linger(c);
		return;
	}
	start_reading(c);
	process(c);
	/* Reading had stopped if the bytes that came early were many. */
	want_io(c);
	if (c->s->finishing)
		end_idle(c);
}

/*
 * Runs from the loop, not from the gate's call: the gate may still be in the
 * middle of its own work on this request.
 */
static void
after_answer(void *arg)
{
	struct conn *c = arg;

	c->timer = NULL;
	if (!flush_out(c))
		return;
	if (c->out->len == 0)
		on_sent(c);
	else
		set_timer(c, DELIVER_US);
}

void
mh_hreq_end(struct mh_hreq *r)
{
	struct conn *c = r->c;

	/* Ended in order it would take bytes of the next answer, or give some.
	 */
	if (!mh_hreq_put_end(r)) {
		mh_count(c->s->k, "serve_length_faults", 1);
		mh_hreq_break(r);
		return;
	}
	c->req = NULL;
	c->state = CONN_SENDING;
	c->deliver_by_us = mh_now(c->s->k) + DELIVER_US;
	set_user_timeout(c->fd, DELIVER_US / MH_US_PER_MS);
	/* What lies behind the last request is not answered, and must not
	 * stop reading: unread bytes would make the close a reset. */
	if (c->close_after)
		g_byte_array_set_size(c->ahead, 0);
	mh_hreq_destroy(r);
	mh_timer_stop(c->s->k, &c->timer);
	c->timer = mh_timer_start(c->s->k, 0, after_answer, c);
}

static void
reset(void *arg)
{
	struct conn *c = arg;

	c->timer = NULL;
	/* A reset drops what has not left; its caller goes on behind that. */
	(void)send_out(c);
	reset_if_half(c);
	free_conn(c);
}

void
mh_hreq_break(struct mh_hreq *r)
{
	struct conn *c = r->c;

	c->req = NULL;
	c->state = CONN_BROKEN;
	mh_hreq_destroy(r);
	mh_timer_stop(c->s->k, &c->timer);
	c->timer = mh_timer_start(c->s->k, 0, reset, c);
}

static void
refuse_bad(struct conn *c)
{
	struct mh_hreq *r = c->req;
	uint32_t status = r->refuse != 0 ? r->refuse : 400;

	mh_event(c->s->k, "bad-request", "status=%u parser=%s", status,
	    http_errno_name(HTTP_PARSER_ERRNO(&r->parser)));
	c->state = CONN_ANSWERING;
	c->close_after = true;
	g_byte_array_set_size(c->ahead, 0);
	mh_hreq_head(r, status, NULL, 0);
	mh_hreq_end(r);
}

static void
hand_over(struct conn *c)
{
	set_timer(c, 0);
	c->state = CONN_ANSWERING;
	c->s->args.on_request(c->s->args.arg, c->req);
}

/* Parses what has come until one request is whole. */
static void
process(struct conn *c)
{
	bool began;

	if (c->state != CONN_READING || c->ahead->len == 0)
		return;
	began = c->req->began;
	switch (mh_hreq_read(c->req, c->ahead)) {
	case MH_HREAD_MORE:
		if (!began && c->req->began)
			set_timer(c, c->s->args.limits.header_us);
		return;
	case MH_HREAD_WHOLE:
		hand_over(c);
		return;
	case MH_HREAD_BAD:
		refuse_bad(c);
		return;
	}
}

/* Returns false when the connection was lost and freed. */
static bool
read_in(struct conn *c)
{
	uint8_t buf[READ_SIZE];
	ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	/*
	 * A caller may shut its side behind its last request and still read;
	 * taken for one that left, its answer would be cut.  One that did
	 * leave resets the connection when the next bytes reach it.
	 */
	if (n == 0 && c->state == CONN_SENDING) {
		c->shut = true;
		return true;
	}
	if (n <= 0) {
		lose(c);
		return false;
	}
	switch (c->state) {
	case CONN_READING:
	case CONN_ANSWERING:
		g_byte_array_append(c->ahead, buf, (guint)n);
		break;
	case CONN_SENDING:
		if (!c->close_after)
			g_byte_array_append(c->ahead, buf, (guint)n);
		break;
	case CONN_BROKEN:
	case CONN_LINGER:
		break;
	}
	return true;
}

/* Reads what lies in the socket, so that closing it does not reset it. */
static void
drop_unread(struct conn *c)
{
	uint8_t buf[READ_SIZE];

	for (uint32_t i = 0; i < LAST_READS; i++)
		if (recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0)
			return;
}

/*
 * Ends a connection that waits for a request, unless one lies in the socket:
 * the caller may have sent it in good time while we were busy, and a close
 * would reset the connection instead of answering.
 */
static void
end_idle(struct conn *c)
{
	if (c->state != CONN_READING || c->req->began || !read_in(c))
		return;
	process(c);
	want_io(c);
	if (c->state == CONN_READING && !c->req->began)
		lose(c);
}

/* As end_idle(): what has come is looked at before the time is up. */
static void
end_header(struct conn *c)
{
	if (!read_in(c))
		return;
	process(c);
	want_io(c);
	if (c->state != CONN_READING)
		return;
	mh_count(c->s->k, "serve_header_timeouts", 1);
	c->state = CONN_ANSWERING;
	c->req->keep_alive = false;
	c->close_after = true;
	mh_hreq_head(c->req, 408, NULL, 0);
	mh_hreq_end(c->req);
}

/* Bytes of the answer that the caller has not confirmed yet. */
static bool
unconfirmed(const struct conn *c)
{
	int n = 0;

	return ioctl(c->fd, SIOCOUTQ, &n) == 0 && n > 0;
}

static void
on_timer(void *arg)
{
	struct conn *c = arg;

	c->timer = NULL;
	switch (c->state) {
	case CONN_READING:
		if (c->req->began)
			end_header(c);
		else
			end_idle(c);
		return;
	case CONN_SENDING:
		mh_count(c->s->k, "serve_slow_callers", 1);
		lose(c);
		return;
	case CONN_LINGER:
		if (unconfirmed(c) && mh_now(c->s->k) < c->deliver_by_us) {
			set_timer(c, LINGER_US);
			return;
		}
		drop_unread(c);
		free_conn(c);
		return;
	case CONN_ANSWERING:
	case CONN_BROKEN:
		return;
	}
}

static void
on_io(void *arg, bool readable, bool writable)
{
	struct conn *c = arg;

	(void)writable;
	if (c->state == CONN_BROKEN)
		return;
	if (readable) {
		if (!read_in(c))
			return;
		process(c);
	}
	if (!flush_out(c))
		return;
	if (c->state == CONN_SENDING && c->out->len == 0)
		on_sent(c);
}

static void on_accept(void *arg, bool readable, bool writable);

static void
on_accept_again(void *arg)
{
	struct mh_hserve *s = arg;

	s->accept_timer = NULL;
	mh_loop_fd(s->loop, s->fd, true, false, on_accept, s);
}

/*
 * Connections that wait keep the socket readable, and without a pause the
 * loop would turn at full speed until some file is closed.
 */
static void
pause_accept(struct mh_hserve *s)
{
	mh_count(s->k, "serve_accept_pauses", 1);
	mh_loop_fd(s->loop, s->fd, false, false, on_accept, s);
	mh_timer_stop(s->k, &s->accept_timer);
	s->accept_timer =
	    mh_timer_start(s->k, ACCEPT_AGAIN_US, on_accept_again, s);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct mh_hserve *s = arg;

	(void)readable;
	(void)writable;
	for (;;) {
		int on = 1;
		int fd =
		    accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		struct conn *c;

		if (fd < 0) {
			if (errno == EMFILE || errno == ENFILE ||
			    errno == ENOBUFS || errno == ENOMEM)
				pause_accept(s);
			return;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		set_user_timeout(fd, DELIVER_US / MH_US_PER_MS);
		c = g_new0(struct conn, 1);
		c->s = s;
		c->fd = fd;
		c->ahead = g_byte_array_new();
		c->out = g_byte_array_new();
		g_hash_table_add(s->conns, c);
		start_reading(c);
		want_io(c);
	}
}

struct mh_hserve *
mh_hserve_create(
    struct mh_loop *l, const struct mh_hserve_args *a, GError **err)
{
	struct mh_hserve *s = g_new0(struct mh_hserve, 1);

	s->k = mh_loop_kern(l);
	s->loop = l;
	s->args = *a;
	s->conns = g_hash_table_new(NULL, NULL);
	s->fd = mh_listen(a->listen, &s->port, err);
	if (s->fd < 0) {
		g_hash_table_destroy(s->conns);
		g_free(s);
		return NULL;
	}
	mh_loop_fd(l, s->fd, true, false, on_accept, s);
	return s;
}

/* Callers that get no whole answer since the server ends now. */
static void
log_cut(struct mh_hserve *s)
{
	GHashTableIter it;
	gpointer key;
	uint32_t unanswered = 0, unsent = 0, half_read = 0;

	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct conn *c = key;

		unanswered += c->state == CONN_ANSWERING;
		unsent += c->out->len > 0;
		half_read += c->state == CONN_READING && c->req->began;
	}
	if (unanswered + unsent + half_read > 0)
		mh_event(s->k, "callers-cut",
		    "unanswered=%u unsent=%u half_read=%u", unanswered, unsent,
		    half_read);
}

/* An answer that is whole is sent as far as the kernel takes it at once. */
static void
last_bytes(struct conn *c)
{
	if (c->state != CONN_SENDING || !send_out(c) || c->out->len > 0)
		return;
	c->state = CONN_LINGER;
}

static void
stop_accepting(struct mh_hserve *s)
{
	mh_timer_stop(s->k, &s->accept_timer);
	if (s->fd < 0)
		return;
	mh_loop_fd_close(s->loop, s->fd);
	close(s->fd);
	s->fd = -1;
}

void
mh_hserve_destroy(struct mh_hserve *s)
{
	GList *all;

	if (s == NULL)
		return;
	all = g_hash_table_get_keys(s->conns);
	for (GList *n = all; n != NULL; n = n->next)
		last_bytes(n->data);
	log_cut(s);
	for (GList *n = all; n != NULL; n = n->next) {
		struct conn *c = n->data;

		reset_if_half(c);
		if (c->state == CONN_LINGER)
			drop_unread(c);
		free_conn(c);
	}
	g_list_free(all);
	g_hash_table_destroy(s->conns);
	stop_accepting(s);
	g_free(s);
}

uint16_t
mh_hserve_port(const struct mh_hserve *s)
{
	return s->port;
}

void
mh_hserve_set_limits(struct mh_hserve *s, const struct mh_hlimits *l)
{
	s->args.limits = *l;
}

void
mh_hserve_drain(struct mh_hserve *s)
{
	s->draining = true;
}

void
mh_hserve_finish(struct mh_hserve *s)
{
	GList *all;

	s->draining = true;
	s->finishing = true;
	if (s->fd >= 0)
		on_accept(s, true, false);
	stop_accepting(s);
	all = g_hash_table_get_keys(s->conns);
	for (GList *n = all; n != NULL; n = n->next)
		end_idle(n->data);
	g_list_free(all);
}

uint32_t
mh_hserve_open(const struct mh_hserve *s)
{
	GHashTableIter it;
	gpointer key;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct conn *c = key;

		switch (c->state) {
		case CONN_READING:
			n += c->req->began;
			break;
		case CONN_ANSWERING:
		case CONN_SENDING:
			n++;
			break;
		case CONN_BROKEN:
		case CONN_LINGER:
			break;
		}
	}
	return n;
}
