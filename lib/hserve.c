/**
 * DOC: HTTP/1.1 server that keeps requests byte for byte.
 *
 * libmicrohttpd decodes paths and answers bad requests by itself; here a
 * request is either passed on unchanged or refused.  This file manages the
 * connections and their I/O; hreq.c parses requests and frames responses.  A
 * request is delivered once its body is complete; each connection has one
 * request at a time.
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
/*
 * Buffers of the kernel for a connection, and for one with a large body or a
 * large response.  They count towards the memory of the machine.
 */
#define KERNEL_BYTES 16384
#define KERNEL_LARGE_BYTES (128 << 10)
/* What a connection without a request takes, with both buffers of the kernel */
#define CONN_BYTES (8192 + 2 * KERNEL_BYTES)
/* An empty buffer that has grown over this is freed. */
#define KEEP_BYTES 4096
/* A connection makes progress with each so many bytes. */
#define PROGRESS_BYTES 4096
/* Without progress for so long, it makes room for a request that comes in. */
#define STALL_US (1 * MH_US_PER_S)
/* A caller may come back so long after it was refused for memory. */
#define MEMORY_RETRY_S "1"
#define LOG_US (1 * MH_US_PER_S)
/* Delay before the next accept when no file descriptor is free. */
#define ACCEPT_RETRY_US (100 * MH_US_PER_MS)
/*
 * A peer that has vanished is detected within this time while a response of
 * unknown length is produced for it.  The kernel counts a zero window as
 * silence too, so for a complete response, which costs no more work,
 * SEND_TIMEOUT_US applies instead.
 */
#define USER_TIMEOUT_MS 4000

enum conn_state {
	CONN_READING, /* idle, or a request is partly received */
	CONN_ANSWERING, /* the request was delivered */
	CONN_SENDING, /* the response is complete, its bytes are being sent */
	CONN_RESETTING, /* the response was aborted; to be reset */
	CONN_LINGER /* shut down for writing; discards input until closed */
};

struct conn {
	struct mh_hserve *s;
	int fd;
	enum conn_state state;
	bool close_after;
	bool peer_eof; /* the caller sent FIN, seen while sending */
	int64_t send_deadline_us;
	struct mh_hlimits limits; /* of the request to be read */
	int64_t wait_start_us; /* for its first byte, then for its last */
	struct mh_hreq *req;
	GByteArray *in;
	GByteArray *out;
	struct mh_timer *timer;
	/* what it holds; without an account the share is NULL */
	struct mh_share *share;
	uint64_t held_bytes;
	uint32_t in_most_bytes; /* since the buffer was empty */
	uint32_t out_most_bytes;
	bool reads_much; /* the kernel's buffers are large ones */
	bool sends_much;
	int64_t progress_us; /* when it made some last */
	uint32_t moved_bytes; /* since then */
	uint64_t discarded_bytes;
};

/** struct limited - what the limits did since the last log line. */
struct limited {
	uint32_t refused; /* requests, for memory */
	uint32_t closed_idle;
	uint32_t closed_stalled; /* with a response that isn't read */
	uint32_t turned_away; /* new connections */
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
	struct mh_timer *log_timer;
	struct limited limited;
	GHashTable *conns; /* set of struct conn */
};

static void on_io(void *arg, bool readable, bool writable);
static void make_room(struct conn *c, uint64_t more);
static void process_input(struct conn *c);
static void close_if_idle(struct conn *c);

static void
free_conn(struct conn *c)
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
static void
handle_disconnect(struct conn *c)
{
	if (c->state == CONN_ANSWERING && c->req != NULL) {
		struct mh_hreq *r = c->req;

		c->state = CONN_LINGER;
		c->s->args.on_disconnect(c->s->args.arg, r);
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
		mh_timer_set(c->s->k, &c->timer, us, on_timer, c);
}

/* An array keeps what it has grown to, also when it is empty. */
static void
free_empty(GByteArray **a, uint32_t *most)
{
	*most = MAX(*most, (*a)->len);
	if ((*a)->len > 0 || *most <= KEEP_BYTES)
		return;
	g_byte_array_unref(*a);
	*a = g_byte_array_new();
	*most = 0;
}

/* Charges what the connection holds now. */
static void
charge(struct conn *c)
{
	uint64_t bytes = CONN_BYTES;

	if (c->share == NULL)
		return;
	free_empty(&c->in, &c->in_most_bytes);
	if (c->out->len == 0 && c->out_most_bytes > KEEP_BYTES) {
		free_empty(&c->out, &c->out_most_bytes);
		if (c->req != NULL)
			c->req->out = c->out;
	}
	c->out_most_bytes = MAX(c->out_most_bytes, c->out->len);
	bytes += c->in_most_bytes + c->out_most_bytes;
	if (c->reads_much)
		bytes += KERNEL_LARGE_BYTES;
	if (c->sends_much)
		bytes += KERNEL_LARGE_BYTES;
	if (c->req != NULL)
		bytes += mh_hreq_bytes(c->req);
	if (bytes == c->held_bytes)
		return;
	mh_share_charge(c->share, c->held_bytes, bytes);
	c->held_bytes = bytes;
}

static void
set_share(struct conn *c, const char *name)
{
	struct mh_account *a = c->s->args.account;
	struct mh_share *share;

	if (a == NULL ||
	    (c->share != NULL && strcmp(mh_share_name(c->share), name) == 0))
		return;
	share = mh_share_get(a, name);
	if (c->share != NULL)
		mh_share_charge(c->share, c->held_bytes, 0);
	mh_share_unref(c->share);
	c->share = share;
	mh_share_charge(share, 0, c->held_bytes);
}

static void
note_progress(struct conn *c, size_t bytes)
{
	c->moved_bytes += (uint32_t)bytes;
	if (c->moved_bytes < PROGRESS_BYTES)
		return;
	c->moved_bytes = 0;
	c->progress_us = mh_now(c->s->k);
}

static void
want_io(struct conn *c)
{
	bool full = c->in->len >= MAX_IN_BYTES;
	/* A socket at end of file stays readable: the loop would spin. */
	bool ended = c->peer_eof && c->state == CONN_SENDING;

	mh_loop_fd(
	    c->s->loop, c->fd, !full && !ended, c->out->len > 0, on_io, c);
	charge(c);
}

static void
set_kernel_buffer(int fd, int option, int bytes)
{
	setsockopt(fd, SOL_SOCKET, option, &bytes, sizeof(bytes));
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
	note_progress(c, off);
	if (c->share != NULL && !c->sends_much && c->out->len > KERNEL_BYTES) {
		c->sends_much = true;
		set_kernel_buffer(c->fd, SO_SNDBUF, KERNEL_LARGE_BYTES);
	}
	return true;
}

/* Returns false when the connection was lost and freed. */
static bool
flush_out(struct conn *c)
{
	if (!send_out(c)) {
		handle_disconnect(c);
		return false;
	}
	/* The size of a complete response is bounded by its producer, and its
	 * duration by SEND_TIMEOUT_US. */
	if (c->state == CONN_ANSWERING && c->out->len > MAX_OUT_BYTES) {
		mh_count(c->s->k, "serve_slow_callers", 1);
		handle_disconnect(c);
		return false;
	}
	want_io(c);
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
	c->limits = c->s->args.limits;
	c->req = mh_hreq_create(&c->limits, c->out);
	c->req->c = c;
	set_share(c, "");
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
	want_io(c);
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
	want_io(c);
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
	free_conn(c);
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

static void
log_limited(void *arg)
{
	struct mh_hserve *s = arg;
	const struct limited *l = &s->limited;
	const struct mh_account *a = s->args.account;

	mh_event(s->k, "callers-limited",
	    "port=%u refused=%u closed_idle=%u closed_stalled=%u "
	    "turned_away=%u "
	    "conns=%u max_conns=%u held_bytes=%" PRIu64 " max_bytes=%" PRIu64,
	    s->port, l->refused, l->closed_idle, l->closed_stalled,
	    l->turned_away, g_hash_table_size(s->conns), s->args.max_conns,
	    a == NULL ? 0 : mh_account_bytes(a),
	    a == NULL ? 0 : mh_account_limit(a));
	memset(&s->limited, 0, sizeof(s->limited));
}

/* Counts what a limit did; callers can cause many, so they share a line. */
static void
note_limited(struct mh_hserve *s, uint32_t *n, const char *counter)
{
	(*n)++;
	mh_count(s->k, counter, 1);
	if (s->log_timer == NULL)
		mh_timer_set(s->k, &s->log_timer, LOG_US, log_limited, s);
}

/* Answers a request that isn't complete, and will never be delivered. */
static void
refuse(struct conn *c, int why)
{
	struct mh_hserve *s = c->s;
	struct mh_headers *h;

	if (why == MH_REFUSE_MEMORY)
		note_limited(s, &s->limited.refused, "serve_refused_memory");
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
		refuse(c, why);
		return;
	}
	c->reads_much = true;
	set_kernel_buffer(c->fd, SO_RCVBUF, KERNEL_LARGE_BYTES);
	charge(c);
	if (announced == UINT64_MAX || (c->req->parser.flags & F_CHUNKED))
		announced = 0;
	make_room(c, announced);
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
		handle_disconnect(c);
		return false;
	}
	note_progress(c, (size_t)n);
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
	want_io(c);
	if (c->state == CONN_READING && !c->req->started)
		handle_disconnect(c);
}

/* Answers 408 unless the rest of the request is in the socket buffer. */
static void
time_out_request(struct conn *c)
{
	if (!read_in(c))
		return;
	process_input(c);
	want_io(c);
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
		handle_disconnect(c);
		return;
	case CONN_LINGER:
		if ((has_unacked(c) || is_sending(c)) &&
		    mh_now(c->s->k) < c->send_deadline_us) {
			set_timer(c, LINGER_US);
			return;
		}
		discard_input(c);
		free_conn(c);
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
		charge(c);
		make_room(c, 0);
	}
	if (!flush_out(c))
		return;
	if (c->state == CONN_SENDING && c->out->len == 0)
		on_response_sent(c);
}

/* making room */

/* Whether it waits for a request, of which nothing has come. */
static bool
is_idle(const struct conn *c)
{
	int n = 0;

	return c->state == CONN_READING && !c->req->started &&
	    ioctl(c->fd, FIONREAD, &n) == 0 && n == 0;
}

/** struct victims - which connections may make room. */
struct victims {
	const struct mh_share *share; /* NULL: any */
	const struct conn *except;
	int64_t stalled_us; /* least time without progress, unless it is idle */
	bool streams; /* also those whose response isn't complete */
};

static bool
may_go(const struct conn *c, const struct victims *v)
{
	int64_t still_us = mh_now(c->s->k) - c->progress_us;

	if (c == v->except || (v->share != NULL && c->share != v->share))
		return false;
	switch (c->state) {
	case CONN_READING:
		return !c->req->started || still_us >= v->stalled_us;
	case CONN_SENDING:
	case CONN_LINGER:
		return still_us >= v->stalled_us;
	case CONN_ANSWERING:
		return v->streams && c->out->len > 0 &&
		    still_us >= v->stalled_us;
	case CONN_RESETTING:
		return false;
	}
	return false;
}

/* Of those that may go, the one that made no progress for longest; or NULL. */
static struct conn *
find_victim(const struct mh_hserve *s, const struct victims *v)
{
	struct conn *oldest = NULL;
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct conn *c = key;

		if (may_go(c, v) &&
		    (oldest == NULL || c->progress_us < oldest->progress_us))
			oldest = c;
	}
	return oldest;
}

/* Closes the connection; one on which a request has come stays. */
static void
close_victim(struct conn *c)
{
	struct mh_hserve *s = c->s;

	if (c->state == CONN_LINGER || is_idle(c)) {
		note_limited(s, &s->limited.closed_idle, "serve_closed_idle");
		free_conn(c);
	} else if (c->state == CONN_READING && !c->req->started) {
		c->progress_us = mh_now(s->k);
	} else {
		note_limited(
		    s, &s->limited.closed_stalled, "serve_closed_stalled");
		handle_disconnect(c);
	}
}

/* As above, but a request that has come in part is refused. */
static void
evict(struct conn *c)
{
	if (c->state == CONN_READING && c->req->started) {
		refuse(c, MH_REFUSE_MEMORY);
		want_io(c);
	} else {
		close_victim(c);
	}
}

/*
 * A request that comes in takes the place of one of its organisation that has
 * stalled, or of what another holds beyond its part.  Else it is refused.
 */
static void
make_room(struct conn *c, uint64_t more)
{
	uint32_t tries = g_hash_table_size(c->s->conns);

	while (c->share != NULL && c->state == CONN_READING &&
	    !mh_share_fits(c->share, more)) {
		struct mh_share *over = mh_account_over(c->s->args.account);
		struct victims v = {
			.share = c->share, .except = c, .stalled_us = STALL_US
		};
		struct conn *victim;

		if (over != NULL && over != c->share) {
			v.share = over;
			v.stalled_us = 0;
		}
		victim = tries-- > 0 ? find_victim(c->s, &v) : NULL;
		if (victim != NULL) {
			evict(victim);
			continue;
		}
		if (c->req->started)
			refuse(c, MH_REFUSE_MEMORY);
		return;
	}
}

void
mh_hserve_relieve(struct mh_hserve *s)
{
	uint32_t tries = g_hash_table_size(s->conns);
	struct mh_share *over;

	while (
	    tries-- > 0 && (over = mh_account_over(s->args.account)) != NULL) {
		const struct victims v = { .share = over, .streams = true };
		struct conn *victim = find_victim(s, &v);

		if (victim == NULL)
			return;
		evict(victim);
	}
}

/* Whether there is a connection left for a caller that connects. */
static bool
make_place(struct mh_hserve *s)
{
	const struct victims v = { .stalled_us = STALL_US, .streams = true };
	uint32_t tries = g_hash_table_size(s->conns);
	struct conn *victim;

	while (s->args.max_conns > 0 &&
	    g_hash_table_size(s->conns) >= s->args.max_conns) {
		victim = tries-- > 0 ? find_victim(s, &v) : NULL;
		if (victim == NULL) {
			note_limited(
			    s, &s->limited.turned_away, "serve_turned_away");
			return false;
		}
		close_victim(victim);
	}
	return true;
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
		if (!make_place(s)) {
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
		want_io(c);
		make_room(c, 0);
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
		set_kernel_buffer(s->fd, SO_RCVBUF, KERNEL_BYTES);
		set_kernel_buffer(s->fd, SO_SNDBUF, KERNEL_BYTES);
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
	set_share(r->c, name);
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
		close_if_idle(n->data);
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
