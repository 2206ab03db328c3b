/**
 * DOC: HTTP/1.1 server that keeps requests byte for byte.
 *
 * libmicrohttpd decodes paths and answers bad requests by itself; here a
 * request is either passed on unchanged or refused.  This file manages the
 * connections and their I/O; hreq.c parses requests and frames responses.  A
 * request is delivered once its body is complete; each connection has one
 * request at a time.
 */

#include "hserveint.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 32768
/* Reading pauses while this many bytes, of requests sent ahead, wait. */
#define MAX_IN_BYTES (64U << 10)
/*
 * A caller that reads too slowly is disconnected when an unfinished response
 * has this many unsent bytes.
 */
#define MAX_OUT_BYTES (8U << 20)
/*
 * After the last response on a connection, input is still read and discarded
 * for this long, and longer while the kernel has unacknowledged bytes of the
 * response: a close with unread input would reset the connection, and the
 * kernel would drop those bytes.
 */
#define LINGER_US (1 * MH_US_PER_S)
/*
 * Time to send a complete response to its caller: twice what MAX_OUT_BYTES
 * take over the slowest supported link, 10 Mbit/s.
 */
#define SEND_TIMEOUT_US (14 * MH_US_PER_S)
/* Bounds the final discarding of input, so that a caller that keeps sending
 * cannot block the server. */
#define MAX_DISCARD_READS 8
/*
 * A caller that is answered while it sends a body may read the answer only
 * after it has sent all.  Its input is discarded up to so many times the
 * largest body; chunks take several bytes for one of the body.
 */
#define DISCARD_BODIES 4
/* A caller may come back so long after it was refused for memory. */
#define MEMORY_RETRY_S "1"
/* Delay before the next accept when no file descriptor is free. */
#define ACCEPT_RETRY_US (100 * MH_US_PER_MS)
/*
 * A peer that has vanished is detected within this time while a response of
 * unknown length is produced for it.  The kernel counts a zero window as
 * silence too, so for a complete response, which costs no more work,
 * SEND_TIMEOUT_US applies instead.
 */
#define USER_TIMEOUT_MS 4000

static void on_io(void *arg, bool readable, bool writable);
static void process_input(struct conn *c);
static void close_if_idle(struct conn *c);

void
mh_hconn_free(struct conn *c)
{
	if (c->share != NULL)
		mh_share_charge(c->share, c->held_bytes, 0);
	mh_share_unref(c->share);
	mh_timer_stop(c->s->k, &c->timer);
	mh_loop_fd_close(c->s->loop, c->fd);
	close(c->fd);
	mh_hreq_destroy(c->req);
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	g_hash_table_remove(c->s->conns, c);
	g_free(c);
}

static void
set_reset_on_close(struct conn *c, bool on)
{
	struct linger l = { on, 0 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Reports the disconnect to the owner of a delivered request; frees @c. */
void
mh_hconn_disconnect(struct conn *c)
{
	if (c->state == CONN_ANSWERING && c->req != NULL) {
		struct mh_hreq *r = c->req;

		c->state = CONN_LINGER;
		c->s->args.on_disconnect(c->s->args.arg, r);
	}
	mh_hconn_free(c);
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
		mh_timer_set(c->s->k, &c->timer, us, on_timer, c);
}

void
mh_hconn_want_io(struct conn *c)
{
	bool full = c->in->len >= MAX_IN_BYTES;
	/* A socket at end of file stays readable: the loop would spin. */
	bool ended = c->peer_eof && c->state == CONN_SENDING;

	mh_loop_fd(
	    c->s->loop, c->fd, !full && !ended, c->out->len > 0, on_io, c);
	mh_hconn_charge(c);
}

/* Returns false if the connection failed. */
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
	mh_hconn_progress(c, off);
	if (c->share != NULL && !c->sends_much && c->out->len > KERNEL_BYTES) {
		c->sends_much = true;
		mh_hconn_kernel_buffer(c->fd, SO_SNDBUF, KERNEL_LARGE_BYTES);
	}
	return true;
}

/* Returns false when the connection was lost and freed. */
static bool
flush_out(struct conn *c)
{
	if (!send_out(c)) {
		mh_hconn_disconnect(c);
		return false;
	}
	/* The size of a complete response is bounded by its producer, and its
	 * duration by SEND_TIMEOUT_US. */
	if (c->state == CONN_ANSWERING && c->out->len > MAX_OUT_BYTES) {
		mh_count(c->s->k, "serve_slow_callers", 1);
		mh_hconn_disconnect(c);
		return false;
	}
	mh_hconn_want_io(c);
	return true;
}

/* responses */

void
mh_hreq_head(struct mh_hreq *r, uint32_t status,
    const struct mh_headers *headers, int64_t length)
{
	struct conn *c = r->c;
	bool unframed = !mh_hreq_framed(r, status, length);

	/*
	 * The end of such a response is marked by an orderly close alone, and
	 * the kernel does an orderly close too when the process dies.  With
	 * a zero linger time it resets the connection instead, so that the
	 * caller does not take a truncated response as complete.
	 */
	if (unframed)
		set_reset_on_close(c, true);
	if (length < 0)
		set_user_timeout(c->fd, USER_TIMEOUT_MS);
	/* A request that was read already must not end in the close. */
	if (unframed || !r->keep_alive || (c->s->draining && c->in->len == 0))
		c->close_after = true;
	mh_hreq_put_head(r, status, headers, length, c->close_after);
	mh_hconn_want_io(c);
}

void
mh_hreq_write(struct mh_hreq *r, const void *data, size_t len)
{
	if (len == 0)
		return;
	mh_hreq_put(r, data, len);
	mh_hconn_want_io(r->c);
}

static void
start_reading(struct conn *c)
{
	c->state = CONN_READING;
	c->limits = c->s->args.limits;
	c->req = mh_hreq_create(&c->limits, c->out);
	c->req->c = c;
	mh_hconn_set_share(c, "");
	c->moved_bytes = 0;
	c->progress_us = mh_now(c->s->k);
	c->wait_start_us = c->progress_us;
	set_timer(c, c->limits.idle_us);
}

static void
start_linger(struct conn *c)
{
	c->state = CONN_LINGER;
	c->moved_bytes = 0;
	c->progress_us = mh_now(c->s->k);
	set_reset_on_close(c, false);
	set_timer(c, LINGER_US);
	shutdown(c->fd, SHUT_WR);
	mh_hconn_want_io(c);
}

/* The kernel has accepted the last byte of the response. */
static void
on_response_sent(struct conn *c)
{
	if (c->close_after) {
		start_linger(c);
		return;
	}
	start_reading(c);
	process_input(c);
	/* Resumes reading if it was paused at MAX_IN_BYTES. */
	mh_hconn_want_io(c);
	if (c->s->finishing)
		close_if_idle(c);
}

/*
 * Called from the loop and not from mh_hreq_end(), whose caller may still be
 * working on the request.
 */
static void
start_sending(void *arg)
{
	struct conn *c = arg;

	if (!flush_out(c))
		return;
	if (c->out->len == 0)
		on_response_sent(c);
	else
		set_timer(c, SEND_TIMEOUT_US);
}

void
mh_hreq_end(struct mh_hreq *r)
{
	struct conn *c = r->c;

	/* With a wrong length the caller would misparse the next response. */
	if (!mh_hreq_put_end(r)) {
		mh_count(c->s->k, "serve_length_faults", 1);
		mh_hreq_abort(r);
		return;
	}
	c->req = NULL;
	c->state = CONN_SENDING;
	c->send_deadline_us = mh_now(c->s->k) + SEND_TIMEOUT_US;
	set_user_timeout(c->fd, SEND_TIMEOUT_US / MH_US_PER_MS);
	/* Input after the last request is not answered.  It must not pause
	 * reading either: a close with unread input resets the connection. */
	if (c->close_after)
		g_byte_array_set_size(c->in, 0);
	mh_hreq_destroy(r);
	mh_timer_set(c->s->k, &c->timer, 0, start_sending, c);
}

static void
reset_conn(void *arg)
{
	struct conn *c = arg;

	/* The reset drops unsent bytes, and a resumed stream continues after
	 * what was received, so send as much as the kernel accepts. */
	(void)send_out(c);
	mh_hconn_free(c);
}

void
mh_hreq_abort(struct mh_hreq *r)
{
	struct conn *c = r->c;

	c->req = NULL;
	c->state = CONN_RESETTING;
	set_reset_on_close(c, true);
	mh_hreq_destroy(r);
	mh_timer_set(c->s->k, &c->timer, 0, reset_conn, c);
}

/* The answer closes the connection; what is left of the request is dropped. */
static void
start_refusal(struct conn *c)
{
	c->state = CONN_ANSWERING;
	c->req->keep_alive = false;
	c->close_after = true;
	c->moved_bytes = 0;
	c->progress_us = mh_now(c->s->k);
	g_byte_array_set_size(c->in, 0);
}

/* Answers a request that isn't complete, and will never be delivered. */
void
mh_hconn_refuse(struct conn *c, int why)
{
	struct mh_hserve *s = c->s;
	struct mh_headers *h;

	if (why == MH_REFUSE_MEMORY)
		mh_hserve_note_limited(
		    s, &s->limited.refused, "serve_refused_memory");
	set_timer(c, 0);
	start_refusal(c);
	if (s->args.on_refuse != NULL) {
		s->args.on_refuse(s->args.arg, c->req, why);
		return;
	}
	h = mh_headers_create();
	mh_headers_add(h, "Retry-After", MEMORY_RETRY_S);
	mh_hreq_head(c->req, 503, h, 0);
	mh_hreq_end(c->req);
	mh_headers_destroy(h);
}

static void
refuse_bad(struct conn *c)
{
	struct mh_hreq *r = c->req;
	uint32_t status = r->refuse_status != 0 ? r->refuse_status : 400;

	mh_event(c->s->k, "bad-request", "status=%u parser=%s", status,
	    http_errno_name(HTTP_PARSER_ERRNO(&r->parser)));
	start_refusal(c);
	mh_hreq_head(r, status, NULL, 0);
	mh_hreq_end(r);
}

static void
deliver_request(struct conn *c)
{
	set_timer(c, 0);
	c->state = CONN_ANSWERING;
	c->s->args.on_request(c->s->args.arg, c->req);
}

/* Before more of a large body is read; it may be refused. */
static void
check_large(struct conn *c)
{
	const struct mh_hserve *s = c->s;
	uint64_t announced = c->req->parser.content_length;
	int why = 0;

	if (s->args.account == NULL || !mh_hreq_turned_large(c->req))
		return;
	if (s->args.on_body != NULL &&
	    !s->args.on_body(s->args.arg, c->req, &why)) {
		mh_hconn_refuse(c, why);
		return;
	}
	c->reads_much = true;
	mh_hconn_kernel_buffer(c->fd, SO_RCVBUF, KERNEL_LARGE_BYTES);
	mh_hconn_charge(c);
	if (announced == UINT64_MAX || (c->req->parser.flags & F_CHUNKED))
		announced = 0;
	mh_hconn_make_room(c, announced);
}

/* Parses buffered input up to the end of one request. */
static void
process_input(struct conn *c)
{
	bool started;

	if (c->state != CONN_READING || c->in->len == 0)
		return;
	started = c->req->started;
	switch (mh_hreq_read(c->req, c->in)) {
	case MH_HREAD_MORE:
		if (!started && c->req->started) {
			c->wait_start_us = mh_now(c->s->k);
			c->progress_us = c->wait_start_us;
			set_timer(c, c->limits.header_us);
		}
		check_large(c);
		return;
	case MH_HREAD_COMPLETE:
		deliver_request(c);
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
	 * A caller may shut down its sending side after its last request and
	 * still read the response.  A caller that closed the whole connection
	 * resets it when further bytes arrive.
	 */
	if (n == 0 && c->state == CONN_SENDING) {
		c->peer_eof = true;
		return true;
	}
	if (n <= 0) {
		mh_hconn_disconnect(c);
		return false;
	}
	mh_hconn_progress(c, (size_t)n);
	switch (c->state) {
	case CONN_READING:
	case CONN_ANSWERING:
		g_byte_array_append(c->in, buf, (guint)n);
		break;
	case CONN_SENDING:
		if (!c->close_after)
			g_byte_array_append(c->in, buf, (guint)n);
		break;
	case CONN_LINGER:
		c->discarded_bytes += (uint64_t)n;
		break;
	case CONN_RESETTING:
		break;
	}
	return true;
}

/* Discards received bytes: a close with unread input is a reset. */
static void
discard_input(struct conn *c)
{
	uint8_t buf[READ_SIZE];

	for (uint32_t i = 0; i < MAX_DISCARD_READS; i++)
		if (recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0)
			return;
}

/*
 * Closes a connection that waits for a request, unless one is in the socket
 * buffer: it may have arrived in time while the process was busy, and the close
 * would reset the connection instead of answering it.
 */
static void
close_if_idle(struct conn *c)
{
	if (c->state != CONN_READING || c->req->started || !read_in(c))
		return;
	process_input(c);
	mh_hconn_want_io(c);
	if (c->state == CONN_READING && !c->req->started)
		mh_hconn_disconnect(c);
}

/* Answers 408 unless the rest of the request is in the socket buffer. */
static void
time_out_request(struct conn *c)
{
	if (!read_in(c))
		return;
	process_input(c);
	mh_hconn_want_io(c);
	if (c->state != CONN_READING)
		return;
	mh_count(c->s->k, "serve_header_timeouts", 1);
	start_refusal(c);
	mh_hreq_head(c->req, 408, NULL, 0);
	mh_hreq_end(c->req);
}

/* Whether the peer has yet to acknowledge bytes of the response. */
static bool
has_unacked(const struct conn *c)
{
	int n = 0;

	return ioctl(c->fd, SIOCOUTQ, &n) == 0 && n > 0;
}

/* The limits may have grown since the timer was started. */
static void
on_read_limit(struct conn *c)
{
	int64_t us = c->req->started ? c->limits.header_us : c->limits.idle_us;

	us += c->wait_start_us - mh_now(c->s->k);
	if (us > 0)
		set_timer(c, us);
	else if (c->req->started)
		time_out_request(c);
	else
		close_if_idle(c);
}

/* Whether the caller may still be sending what came with its request. */
static bool
is_sending(const struct conn *c)
{
	return mh_now(c->s->k) - c->progress_us < LINGER_US &&
	    c->discarded_bytes <
	    (uint64_t)DISCARD_BODIES * c->limits.body_bytes;
}

static void
on_timer(void *arg)
{
	struct conn *c = arg;

	switch (c->state) {
	case CONN_READING:
		on_read_limit(c);
		return;
	case CONN_SENDING:
		mh_count(c->s->k, "serve_slow_callers", 1);
		mh_hconn_disconnect(c);
		return;
	case CONN_LINGER:
		if ((has_unacked(c) || is_sending(c)) &&
		    mh_now(c->s->k) < c->send_deadline_us) {
			set_timer(c, LINGER_US);
			return;
		}
		discard_input(c);
		mh_hconn_free(c);
		return;
	case CONN_ANSWERING:
	case CONN_RESETTING:
		return;
	}
}

static void
on_io(void *arg, bool readable, bool writable)
{
	struct conn *c = arg;

	(void)writable;
	if (c->state == CONN_RESETTING)
		return;
	if (readable) {
		if (!read_in(c))
			return;
		process_input(c);
		mh_hconn_charge(c);
		mh_hconn_make_room(c, 0);
	}
	if (!flush_out(c))
		return;
	if (c->state == CONN_SENDING && c->out->len == 0)
		on_response_sent(c);
}

static void on_accept(void *arg, bool readable, bool writable);

static void
resume_accept(void *arg)
{
	struct mh_hserve *s = arg;

	mh_loop_fd(s->loop, s->fd, true, false, on_accept, s);
}

/*
 * Pending connections keep the listening socket readable; without a pause the
 * loop would spin until a file descriptor is closed.
 */
static void
pause_accept(struct mh_hserve *s)
{
	mh_count(s->k, "serve_accept_pauses", 1);
	mh_loop_fd(s->loop, s->fd, false, false, on_accept, s);
	mh_timer_set(s->k, &s->accept_timer, ACCEPT_RETRY_US, resume_accept, s);
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
		if (!mh_hserve_make_place(s)) {
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		set_user_timeout(fd, SEND_TIMEOUT_US / MH_US_PER_MS);
		c = g_new0(struct conn, 1);
		c->s = s;
		c->fd = fd;
		c->in = g_byte_array_new();
		c->out = g_byte_array_new();
		g_hash_table_add(s->conns, c);
		start_reading(c);
		mh_hconn_want_io(c);
		mh_hconn_make_room(c, 0);
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
	/* Accepted sockets inherit them. */
	if (a->account != NULL) {
		mh_hconn_kernel_buffer(s->fd, SO_RCVBUF, KERNEL_BYTES);
		mh_hconn_kernel_buffer(s->fd, SO_SNDBUF, KERNEL_BYTES);
	}
	mh_loop_fd(l, s->fd, true, false, on_accept, s);
	return s;
}

/* Logs how many callers get no complete response as the server stops. */
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
		half_read += c->state == CONN_READING && c->req->started;
	}
	if (unanswered + unsent + half_read > 0)
		mh_event(s->k, "callers-cut",
		    "unanswered=%u unsent=%u half_read=%u", unanswered, unsent,
		    half_read);
}

/* Sends a complete response, as far as the kernel accepts it without delay. */
static void
send_last_bytes(struct conn *c)
{
	if (c->state != CONN_SENDING || !send_out(c) || c->out->len > 0)
		return;
	c->state = CONN_LINGER;
	set_reset_on_close(c, false);
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
	mh_timer_stop(s->k, &s->log_timer);
	all = g_hash_table_get_keys(s->conns);
	for (GList *n = all; n != NULL; n = n->next)
		send_last_bytes(n->data);
	log_cut(s);
	for (GList *n = all; n != NULL; n = n->next) {
		struct conn *c = n->data;

		if (c->state == CONN_LINGER)
			discard_input(c);
		mh_hconn_free(c);
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

static void
widen(struct mh_hlimits *to, const struct mh_hlimits *l)
{
	to->header_bytes = MAX(to->header_bytes, l->header_bytes);
	to->body_bytes = MAX(to->body_bytes, l->body_bytes);
	to->header_us = MAX(to->header_us, l->header_us);
	to->idle_us = MAX(to->idle_us, l->idle_us);
}

void
mh_hserve_set_limits(struct mh_hserve *s, const struct mh_hlimits *l)
{
	GHashTableIter it;
	gpointer key;

	s->args.limits = *l;
	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct conn *c = key;

		if (c->state == CONN_READING)
			widen(&c->limits, l);
	}
}

void
mh_hserve_set_max_conns(struct mh_hserve *s, uint32_t max_conns)
{
	s->args.max_conns = max_conns;
}

uint32_t
mh_hserve_conns(const struct mh_hserve *s)
{
	return g_hash_table_size(s->conns);
}

void
mh_hreq_set_share(struct mh_hreq *r, const char *name)
{
	mh_hconn_set_share(r->c, name);
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
	for (GList *n = all; n != NULL; n = n->next) {
		/* One that is read may have had another make room. */
		if (g_hash_table_contains(s->conns, n->data))
			close_if_idle(n->data);
	}
	g_list_free(all);
}

uint32_t
mh_hserve_active_count(const struct mh_hserve *s)
{
	GHashTableIter it;
	gpointer key;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct conn *c = key;

		switch (c->state) {
		case CONN_READING:
			n += c->req->started;
			break;
		case CONN_ANSWERING:
		case CONN_SENDING:
			n++;
			break;
		case CONN_RESETTING:
		case CONN_LINGER:
			break;
		}
	}
	return n;
}
