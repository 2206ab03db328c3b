/**
 * DOC: HTTP server: libmicrohttpd driven by the event loop, single-threaded.
 *
 * A request that waits for its response is suspended and occupies no thread.
 */

#include "marlhoist.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DISCONNECT_CHECK_US (200 * MH_US_PER_MS)
#define MAX_CONNECTIONS 4096U
#define IDLE_TIMEOUT_S 60U
#define BLOCK_BYTES 65536
/* Buffers of the kernel for a connection; they count as memory of the VM. */
#define KERNEL_BYTES 16384
/* What a connection takes: the library's pool, and the kernel's buffers. */
#define CONN_BYTES (32768 + 2 * KERNEL_BYTES)
/* Without progress for so long, a request makes room for another. */
#define STALL_US (1 * MH_US_PER_S)
#define LOG_US (1 * MH_US_PER_S)
#define MAX_RUNS 4 /* of MHD_run() in a row: a handler may wake requests */

enum phase { READING, WAITING, READY, STREAMING, QUEUED, ABORTED };

struct header {
	char *name;
	char *value;
};

/** struct hconn - a caller's connection. */
struct hconn {
	struct mh_httpd *h;
	int fd;
	struct mh_http_req *req; /* NULL: idle */
	int64_t progress_us; /* when it made some last */
	bool closing; /* the library has yet to notice */
};

struct mh_http_req {
	struct mh_httpd *h;
	struct MHD_Connection *conn;
	struct hconn *hconn;
	struct mh_share *share; /* NULL: no bounds */
	uint64_t held_bytes;
	bool no_memory; /* the body was dropped */
	uint64_t id;
	enum phase phase;
	bool suspended;
	bool too_big;
	bool reported; /* on_request() was called */
	bool abort_after_out; /* abort the connection once out is sent */
	bool ended; /* the last part of the response was given */
	char *method;
	char *path;
	GByteArray *in;
	GBytes *body;
	GArray *headers; /* of the response */
	uint32_t status;
	char *type;
	GBytes *response_body;
	GByteArray *out; /* unsent data of a stream */
	bool stream_waiting; /* suspended until the stream has data */
};

struct mh_httpd {
	struct mh_loop *loop;
	struct mh_kern *k;
	struct MHD_Daemon *daemon;
	struct mh_httpd_args a;
	GHashTable *reqs; /* id -> struct mh_http_req */
	GHashTable *conns; /* set of struct hconn */
	uint32_t n_closing; /* connections */
	struct mh_account *account; /* NULL: no bounds */
	struct mh_share *conns_share; /* what connections take by themselves */
	struct mh_timer *log_timer;
	uint32_t refused; /* these two since the last log line */
	uint32_t closed;
	struct mh_timer *disconnect_timer;
	char *cert;
	char *key;
	int epoll_fd;
	uint16_t port;
	bool run_pending; /* MHD_run() has work to do */
	bool stopping;
	bool closing; /* new requests are refused */
};

const char *
mh_req_method(const struct mh_http_req *r)
{
	return r->method;
}

const char *
mh_req_path(const struct mh_http_req *r)
{
	return r->path;
}

const char *
mh_req_header(const struct mh_http_req *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

const char *
mh_req_query(const struct mh_http_req *r, const char *name)
{
	return MHD_lookup_connection_value(
	    r->conn, MHD_GET_ARGUMENT_KIND, name);
}

struct each {
	void (*fn)(void *arg, const char *name, const char *value);
	void *arg;
};

static enum MHD_Result
each_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct each *e = cls;

	(void)kind;
	e->fn(e->arg, name, value == NULL ? "" : value);
	return MHD_YES;
}

void
mh_req_each_header(const struct mh_http_req *r,
    void (*fn)(void *arg, const char *name, const char *value), void *arg)
{
	struct each e = { fn, arg };

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, each_header, &e);
}

GBytes *
mh_req_body(const struct mh_http_req *r)
{
	return r->body;
}

bool
mh_req_too_big(const struct mh_http_req *r)
{
	return r->too_big;
}

bool
mh_req_no_memory(const struct mh_http_req *r)
{
	return r->no_memory;
}

uint64_t
mh_req_id(const struct mh_http_req *r)
{
	return r->id;
}

struct mh_http_req *
mh_httpd_find(struct mh_httpd *h, uint64_t id)
{
	return g_hash_table_lookup(h->reqs, &id);
}

static void
wake(struct mh_http_req *r)
{
	if (!r->suspended)
		return;
	r->suspended = false;
	r->h->run_pending = true;
	MHD_resume_connection(r->conn);
}

void
mh_req_header_set(struct mh_http_req *r, const char *name, const char *value)
{
	struct header hd = { g_strdup(name), g_strdup(value) };

	for (guint i = 0; i < r->headers->len; i++) {
		struct header *old =
		    &g_array_index(r->headers, struct header, i);

		if (g_ascii_strcasecmp(old->name, name) != 0)
			continue;
		g_free(old->name);
		g_free(old->value);
		*old = hd;
		return;
	}
	g_array_append_val(r->headers, hd);
}

/* limits */

static void
log_limited(void *arg)
{
	struct mh_httpd *h = arg;

	mh_log(h->k, "http",
	    "Callers limited: refused=%u closed=%u conns=%u max_conns=%u "
	    "held_bytes=%" PRIu64 " max_bytes=%" PRIu64 ".",
	    h->refused, h->closed, g_hash_table_size(h->conns),
	    h->a.holdings.caller_conns, mh_account_bytes(h->account),
	    mh_account_limit(h->account));
	h->refused = 0;
	h->closed = 0;
}

static void
note_limited(struct mh_httpd *h, uint32_t *n, const char *counter)
{
	(*n)++;
	mh_count(h->k, counter, 1);
	if (h->log_timer == NULL)
		mh_timer_set(h->k, &h->log_timer, LOG_US, log_limited, h);
}

/* Charges what the request holds now; the library copies a response. */
static void
charge(struct mh_http_req *r)
{
	uint64_t bytes = 0;

	if (r->share == NULL)
		return;
	if (r->in != NULL)
		bytes += r->in->len;
	if (r->body != NULL)
		bytes += g_bytes_get_size(r->body);
	if (r->out != NULL)
		bytes += r->out->len;
	if (r->response_body != NULL)
		bytes += 2 * g_bytes_get_size(r->response_body);
	mh_share_charge(r->share, r->held_bytes, bytes);
	r->held_bytes = bytes;
}

static void
note_progress(struct mh_http_req *r)
{
	if (r->hconn != NULL)
		r->hconn->progress_us = mh_now(r->h->k);
}

/* The library sees the end of the connection and frees what it has. */
static void
close_hconn(struct hconn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	c->h->n_closing++;
	if (c->h->account != NULL)
		mh_share_charge(c->h->conns_share, CONN_BYTES, 0);
	c->h->run_pending = true;
	shutdown(c->fd, SHUT_RDWR);
	note_limited(c->h, &c->h->closed, "http_closed");
}

/* The body is read on and dropped; the request is answered when it ends. */
static void
drop_body(struct mh_http_req *r)
{
	g_byte_array_unref(r->in);
	r->in = g_byte_array_new();
	r->no_memory = true;
	charge(r);
	note_limited(r->h, &r->h->refused, "http_refused_memory");
}

static bool
is_reading(const struct mh_http_req *r)
{
	return r->phase == READING && r->in != NULL && r->in->len > 0;
}

static bool
is_unread(const struct mh_http_req *r)
{
	return r->phase == QUEUED ||
	    (r->phase == STREAMING && r->out->len > 0 && !r->abort_after_out);
}

/* Of those in a share, the request without progress for longest, or NULL. */
static struct mh_http_req *
find_stalled(struct mh_httpd *h, const struct mh_share *share,
    bool (*may_go)(const struct mh_http_req *r), int64_t stalled_us)
{
	struct mh_http_req *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, h->reqs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct mh_http_req *r = v;

		if (r->hconn == NULL || r->hconn->closing ||
		    r->share != share || !may_go(r) ||
		    mh_now(h->k) - r->hconn->progress_us < stalled_us)
			continue;
		if (oldest == NULL ||
		    r->hconn->progress_us < oldest->hconn->progress_us)
			oldest = r;
	}
	return oldest;
}

/*
 * A body takes the place of one of its organisation that has stalled, or of
 * what another holds beyond its part.  Else it is dropped.
 */
static bool
make_room(struct mh_http_req *r, size_t more)
{
	struct mh_httpd *h = r->h;

	while (r->share != NULL && !mh_share_fits(r->share, more)) {
		struct mh_share *over = mh_account_over(h->account);
		bool own = over == NULL || over == r->share;
		struct mh_http_req *stalled = find_stalled(
		    h, own ? r->share : over, is_reading, own ? STALL_US : 0);

		if (stalled == NULL || stalled == r)
			return false;
		drop_body(stalled);
	}
	return true;
}

static void
abort_unread(struct mh_http_req *r)
{
	if (r->phase == STREAMING) {
		g_byte_array_unref(r->out);
		r->out = g_byte_array_new();
		mh_req_abort(r);
	} else if (r->response_body != NULL) {
		g_bytes_unref(r->response_body); /* the library has a copy */
		r->response_body = NULL;
	}
	charge(r);
	close_hconn(r->hconn);
}

/*
 * Of the connections without a request, or whose request or response has
 * stalled, the one without progress for longest; or NULL.
 */
static struct hconn *
find_idle(struct mh_httpd *h)
{
	struct hconn *oldest = NULL;
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, h->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct hconn *c = key;
		bool goes = c->req == NULL ||
		    ((c->req->phase == READING || is_unread(c->req)) &&
			mh_now(h->k) - c->progress_us >= STALL_US);

		if (goes && !c->closing &&
		    (oldest == NULL || c->progress_us < oldest->progress_us))
			oldest = c;
	}
	return oldest;
}

/* Has a share give something back; returns false if nothing can. */
static bool
relieve(struct mh_httpd *h, const struct mh_share *over)
{
	struct mh_http_req *r;
	struct hconn *c;

	if (over == h->conns_share) {
		c = find_idle(h);
		if (c != NULL)
			close_hconn(c);
		return c != NULL;
	}
	r = find_stalled(h, over, is_unread, 0);
	if (r != NULL) {
		abort_unread(r);
		return true;
	}
	r = find_stalled(h, over, is_reading, 0);
	if (r != NULL)
		drop_body(r);
	return r != NULL;
}

static void
on_over(void *arg)
{
	struct mh_httpd *h = arg;
	struct mh_share *over;

	while ((over = mh_account_over(h->account)) != NULL && relieve(h, over))
		continue;
}

/* Closes idle connections while there are too many. */
static void
make_place(struct mh_httpd *h)
{
	uint32_t most = h->a.holdings.caller_conns;
	struct hconn *c;

	/* The library accepts no more at the limit itself. */
	most -= MIN(most / 8, most - 1);
	while (g_hash_table_size(h->conns) - h->n_closing > most &&
	    (c = find_idle(h)) != NULL)
		close_hconn(c);
}

static void
set_response(struct mh_http_req *r, uint32_t status, const char *type)
{
	r->status = status;
	g_free(r->type);
	r->type = g_strdup(type);
}

void
mh_req_reply(
    struct mh_http_req *r, uint32_t status, const char *type, GBytes *body)
{
	if (r->phase != WAITING)
		return;
	set_response(r, status, type);
	r->response_body =
	    body == NULL ? g_bytes_new(NULL, 0) : g_bytes_ref(body);
	r->phase = READY;
	r->ended = true;
	charge(r);
	note_progress(r);
	wake(r);
}

void
mh_req_stream(struct mh_http_req *r, uint32_t status, const char *type)
{
	if (r->phase != WAITING)
		return;
	set_response(r, status, type);
	r->out = g_byte_array_new();
	r->phase = STREAMING;
	wake(r);
}

static void
wake_stream(struct mh_http_req *r)
{
	if (r->stream_waiting) {
		r->stream_waiting = false;
		wake(r);
	}
}

void
mh_req_stream_add(struct mh_http_req *r, GBytes *part)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(part, &len);

	if (r->out == NULL)
		return;
	g_byte_array_append(r->out, data, (guint)len);
	charge(r);
	wake_stream(r);
}

void
mh_req_stream_end(struct mh_http_req *r)
{
	r->ended = true;
	wake_stream(r);
}

void
mh_req_abort(struct mh_http_req *r)
{
	/* Buffered data of a stream is sent before the connection is closed. */
	if (r->phase == STREAMING)
		r->abort_after_out = true;
	else
		r->phase = ABORTED;
	r->ended = true;
	r->stream_waiting = false;
	wake(r);
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct mh_http_req *r = cls;
	size_t n;

	(void)pos;
	if (r->out->len > 0) {
		n = MIN(max, r->out->len);
		memcpy(buf, r->out->data, n);
		g_byte_array_remove_range(r->out, 0, (guint)n);
		charge(r);
		note_progress(r);
		return (ssize_t)n;
	}
	if (r->abort_after_out)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (r->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	r->stream_waiting = true;
	r->suspended = true;
	MHD_suspend_connection(r->conn);
	return 0;
}

static enum MHD_Result
queue_response(struct mh_http_req *r)
{
	struct MHD_Response *res;
	enum MHD_Result rv;
	gsize len = 0;
	const void *data = "";

	if (r->phase == STREAMING) {
		res = MHD_create_response_from_callback(
		    MHD_SIZE_UNKNOWN, BLOCK_BYTES, read_stream, r, NULL);
	} else {
		data = g_bytes_get_data(r->response_body, &len);
		res = MHD_create_response_from_buffer(len,
		    (void *)(uintptr_t)(data == NULL ? "" : data),
		    MHD_RESPMEM_MUST_COPY);
	}
	if (res == NULL)
		return MHD_NO;
	if (r->type != NULL)
		MHD_add_response_header(res, "Content-Type", r->type);
	for (guint i = 0; i < r->headers->len; i++) {
		struct header *hd =
		    &g_array_index(r->headers, struct header, i);

		MHD_add_response_header(res, hd->name, hd->value);
	}
	rv = MHD_queue_response(r->conn, r->status, res);
	MHD_destroy_response(res);
	r->phase = r->phase == STREAMING ? STREAMING : QUEUED;
	return rv;
}

static struct mh_http_req *
new_req(struct mh_httpd *h, struct MHD_Connection *conn, const char *url,
    const char *method)
{
	struct mh_http_req *r = g_new0(struct mh_http_req, 1);
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	const char *org;

	r->h = h;
	r->conn = conn;
	r->id = mh_next_id(h->k);
	r->method = g_strdup(method);
	r->path = g_strdup(url);
	r->in = g_byte_array_new();
	r->headers = g_array_new(FALSE, FALSE, sizeof(struct header));
	g_hash_table_insert(h->reqs, &r->id, r);
	if (info != NULL && info->socket_context != NULL) {
		r->hconn = info->socket_context;
		r->hconn->req = r;
		note_progress(r);
	}
	if (h->account != NULL) {
		org = h->a.org == NULL ? NULL : h->a.org(h->a.arg, r);
		r->share = mh_share_get(h->account, org == NULL ? "" : org);
	}
	return r;
}

/*
 * While the server closes, no service is left to respond to a new request.  If
 * it were passed to on_request(), its caller would get no status, and if it
 * were suspended, MHD_stop_daemon() would abort the process.
 */
static enum MHD_Result
refuse(struct MHD_Connection *conn)
{
	static const char text[] = "leaving; ask another\n";
	struct MHD_Response *res = MHD_create_response_from_buffer(
	    strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result rv;

	if (res == NULL)
		return MHD_NO;
	MHD_add_response_header(res, "Connection", "close");
	rv = MHD_queue_response(conn, MHD_HTTP_SERVICE_UNAVAILABLE, res);
	MHD_destroy_response(res);
	return rv;
}

static void
take_body(struct mh_http_req *r, const char *data, size_t len)
{
	note_progress(r);
	if (r->no_memory || r->too_big)
		return;
	if (r->in->len + len > MH_MAX_BODY) {
		g_byte_array_unref(r->in);
		r->in = g_byte_array_new();
		r->too_big = true;
	} else if (!make_room(r, len)) {
		drop_body(r);
	} else {
		g_byte_array_append(r->in, (const uint8_t *)data, (guint)len);
	}
	charge(r);
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **ctx)
{
	struct mh_httpd *h = cls;
	struct mh_http_req *r = *ctx;

	(void)version;
	if (r == NULL && h->closing)
		return refuse(conn);
	if (r == NULL) {
		*ctx = new_req(h, conn, url, method);
		return MHD_YES;
	}
	if (*size > 0) {
		take_body(r, data, *size);
		*size = 0;
		return MHD_YES;
	}
	if (r->phase == READING) {
		r->phase = WAITING;
		r->body = g_byte_array_free_to_bytes(r->in);
		r->in = NULL;
		r->reported = true;
		h->a.on_request(h->a.arg, r);
		if (r->phase == WAITING) {
			r->suspended = true;
			MHD_suspend_connection(conn);
			return MHD_YES;
		}
	}
	if (r->phase == READY || r->phase == STREAMING)
		return queue_response(r);
	return r->phase == ABORTED ? MHD_NO : MHD_YES;
}

static void
free_req(struct mh_http_req *r)
{
	g_hash_table_remove(r->h->reqs, &r->id);
	if (r->hconn != NULL) {
		r->hconn->req = NULL;
		r->hconn->progress_us = mh_now(r->h->k);
	}
	if (r->share != NULL)
		mh_share_charge(r->share, r->held_bytes, 0);
	mh_share_unref(r->share);
	for (guint i = 0; i < r->headers->len; i++) {
		struct header *hd =
		    &g_array_index(r->headers, struct header, i);

		g_free(hd->name);
		g_free(hd->value);
	}
	g_array_free(r->headers, TRUE);
	if (r->in != NULL)
		g_byte_array_unref(r->in);
	if (r->out != NULL)
		g_byte_array_unref(r->out);
	if (r->body != NULL)
		g_bytes_unref(r->body);
	if (r->response_body != NULL)
		g_bytes_unref(r->response_body);
	g_free(r->method);
	g_free(r->path);
	g_free(r->type);
	g_free(r);
}

static void
on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct mh_httpd *h = cls;
	struct mh_http_req *r = *ctx;

	(void)conn;
	(void)code;
	if (r == NULL)
		return;
	if (r->reported && !r->ended && h->a.on_caller_left != NULL)
		h->a.on_caller_left(h->a.arg, r);
	*ctx = NULL;
	free_req(r);
}

static void
add_hconn(struct mh_httpd *h, struct MHD_Connection *conn, void **ctx)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct hconn *c = g_new0(struct hconn, 1);

	c->h = h;
	c->fd = info->connect_fd;
	c->progress_us = mh_now(h->k);
	g_hash_table_add(h->conns, c);
	*ctx = c;
	if (h->account == NULL)
		return;
	mh_share_charge(h->conns_share, 0, CONN_BYTES);
	make_place(h);
}

static void
on_connection(void *cls, struct MHD_Connection *conn, void **ctx,
    enum MHD_ConnectionNotificationCode code)
{
	struct mh_httpd *h = cls;
	struct hconn *c = *ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		add_hconn(h, conn, ctx);
		return;
	}
	if (c == NULL)
		return;
	if (c->req != NULL)
		c->req->hconn = NULL;
	h->n_closing -= c->closing;
	g_hash_table_remove(h->conns, c);
	if (h->account != NULL && !c->closing)
		mh_share_charge(h->conns_share, CONN_BYTES, 0);
	g_free(c);
	*ctx = NULL;
}

/*
 * A suspended connection is not polled.  Without this check the work of a
 * caller that disconnected would go on.
 */
static bool
caller_left(const struct mh_http_req *r)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	char c;

	return info != NULL &&
	    recv(info->connect_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
check_disconnects(void *arg)
{
	struct mh_httpd *h = arg;
	GPtrArray *disconnected = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	mh_timer_set(h->k, &h->disconnect_timer, DISCONNECT_CHECK_US,
	    check_disconnects, h);
	g_hash_table_iter_init(&it, h->reqs);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct mh_http_req *r = v;

		if (r->suspended && caller_left(r))
			g_ptr_array_add(disconnected, r);
	}
	for (guint i = 0; i < disconnected->len; i++) {
		struct mh_http_req *r = disconnected->pdata[i];

		if (r->reported && !r->ended && h->a.on_caller_left != NULL)
			h->a.on_caller_left(h->a.arg, r);
		mh_req_abort(r);
	}
	g_ptr_array_free(disconnected, TRUE);
}

static void
on_ready(void *arg, bool readable, bool writable)
{
	struct mh_httpd *h = arg;

	(void)readable;
	(void)writable;
	h->run_pending = true;
}

static int64_t
before_wait(void *arg)
{
	struct mh_httpd *h = arg;
	MHD_UNSIGNED_LONG_LONG ms = 0;

	if (h->daemon == NULL)
		return -1;
	for (int i = 0; h->run_pending && i < MAX_RUNS; i++) {
		h->run_pending = false;
		MHD_run(h->daemon);
	}
	if (h->run_pending)
		return 0;
	if (mh_kern_next_us(h->k) == mh_now(h->k))
		return 0;
	if (MHD_get_timeout(h->daemon, &ms) != MHD_YES)
		return -1;
	h->run_pending = true;
	return (int64_t)ms * MH_US_PER_MS;
}

static bool
parse_listen(const char *listen, struct sockaddr_in *sa, GError **err)
{
	char host[MH_HOST_LEN];
	uint16_t port = 0;
	bool ok = mh_addr_parse(listen, host, &port);

	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	ok = ok && inet_pton(AF_INET, host, &sa->sin_addr) == 1;
	if (!ok)
		g_set_error(err, MH_ERROR, MH_ERR_SETTING,
		    "\"%s\" is not IP:PORT: give for example 127.0.0.1:8080",
		    listen);
	return ok;
}

static bool
read_tls(struct mh_httpd *h, GError **err)
{
	if (h->a.cert_file == NULL)
		return true;
	return g_file_get_contents(h->a.cert_file, &h->cert, NULL, err) &&
	    g_file_get_contents(h->a.key_file, &h->key, NULL, err);
}

static bool
start(struct mh_httpd *h, struct sockaddr_in *sa, GError **err)
{
	unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	struct MHD_OptionItem tls[] = { { MHD_OPTION_HTTPS_MEM_CERT, 0,
					    h->cert },
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, h->key },
		{ MHD_OPTION_END, 0, NULL } };
	const union MHD_DaemonInfo *info;
	unsigned most = MAX_CONNECTIONS;
	int size = KERNEL_BYTES;

	if (h->a.holdings.caller_conns > 0)
		most = MIN(most, h->a.holdings.caller_conns);
	if (h->cert != NULL)
		flags |= MHD_USE_TLS;
	else
		tls[0].option = MHD_OPTION_END;
	h->daemon = MHD_start_daemon(flags, 0, NULL, NULL, on_access, h,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)sa,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
	    MHD_OPTION_CONNECTION_LIMIT, most, MHD_OPTION_CONNECTION_TIMEOUT,
	    IDLE_TIMEOUT_S, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
	    MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
	if (h->daemon == NULL) {
		g_set_error(err, MH_ERROR, MH_ERR_IO,
		    "cannot serve HTTP on %s: give a free IP:PORT of this VM "
		    "and a matching certificate and key",
		    h->a.listen);
		return false;
	}
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_BIND_PORT);
	h->port = info->port;
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	h->epoll_fd = info->epoll_fd;
	if (h->account == NULL)
		return true;
	/* Accepted sockets inherit them. */
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(info->listen_fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	return true;
}

struct mh_httpd *
mh_httpd_create(
    struct mh_loop *loop, const struct mh_httpd_args *a, GError **err)
{
	struct mh_httpd *h = g_new0(struct mh_httpd, 1);
	struct sockaddr_in sa;

	h->loop = loop;
	h->k = mh_loop_kern(loop);
	h->a = *a;
	h->reqs = g_hash_table_new(g_int64_hash, g_int64_equal);
	h->conns = g_hash_table_new(NULL, NULL);
	if (a->holdings.caller_bytes > 0) {
		h->account = mh_account_create(h->k, a->holdings.caller_bytes);
		h->conns_share = mh_share_get(h->account, "connections");
		mh_account_on_over(h->account, on_over, h);
	}
	if (!parse_listen(a->listen, &sa, err) || !read_tls(h, err) ||
	    !start(h, &sa, err)) {
		mh_httpd_destroy(h);
		return NULL;
	}
	mh_loop_fd(loop, h->epoll_fd, true, false, on_ready, h);
	mh_loop_before_wait(loop, before_wait, h);
	mh_timer_set(h->k, &h->disconnect_timer, DISCONNECT_CHECK_US,
	    check_disconnects, h);
	return h;
}

/*
 * Closing the listening socket resets the connections in its backlog, and a
 * caller that has already sent a request can't tell whether it was executed.
 * So the backlog is accepted first.  It is short, and each MHD_run() accepts at
 * least one connection; connections beyond the limit are still reset.
 */
static void
accept_waiting(struct mh_httpd *h)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	struct pollfd p = { .fd = info->listen_fd, .events = POLLIN };

	for (uint32_t i = 0; i < MAX_CONNECTIONS && poll(&p, 1, 0) == 1; i++)
		MHD_run(h->daemon);
	h->run_pending = true;
}

void
mh_httpd_stop(struct mh_httpd *h)
{
	MHD_socket fd;

	if (h->stopping)
		return;
	h->stopping = true;
	accept_waiting(h);
	fd = MHD_quiesce_daemon(h->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

uint32_t
mh_httpd_active_count(const struct mh_httpd *h)
{
	return g_hash_table_size(h->reqs);
}

void
mh_httpd_close(struct mh_httpd *h)
{
	h->closing = true;
}

/* The loop keeps before_wait(), which does nothing once daemon is NULL. */
void
mh_httpd_destroy(struct mh_httpd *h)
{
	GList *all;

	if (h == NULL)
		return;
	mh_timer_stop(h->k, &h->disconnect_timer);
	mh_httpd_close(h);
	all = g_hash_table_get_values(h->reqs);
	for (GList *n = all; n != NULL; n = n->next) {
		struct mh_http_req *r = n->data;

		r->reported = false;
		mh_req_abort(r);
	}
	g_list_free(all);
	if (h->daemon != NULL) {
		mh_loop_fd_close(h->loop, h->epoll_fd);
		for (int i = 0; i < MAX_RUNS; i++)
			MHD_run(h->daemon);
		MHD_stop_daemon(h->daemon);
		h->daemon = NULL;
	}
	mh_timer_stop(h->k, &h->log_timer);
	mh_share_unref(h->conns_share);
	mh_account_destroy(h->account);
	g_hash_table_destroy(h->conns);
	g_hash_table_destroy(h->reqs);
	g_free(h->cert);
	g_free(h->key);
	g_free(h);
}

uint16_t
mh_httpd_port(const struct mh_httpd *h)
{
	return h->port;
}
