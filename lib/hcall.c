/**
 * DOC: HTTP/1.1 client that sends a request once, whatever happens.
 *
 * libcurl sends again by itself when a kept connection closed before an
 * answer, and takes a late second answer for the next one.  Here a call says
 * exactly what is known of it: complete, never sent, or sent and broken.
 */

#include "gate.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 32768
/*
 * Connecting takes one round trip; where the opening packet is lost or the
 * queue of a listener is full the next try comes after a second.
 */
#define CONNECT_US (300 * MH_US_PER_MS)
/* A silent peer is noticed within this time while bytes are unacknowledged. */
#define USER_TIMEOUT_MS 2000
/*
 * A kept connection is not used in the last part of the idle time that its
 * peer announced: our request would cross the peer's close, and a request
 * that must not run twice could not be sent again.
 */
#define IDLE_MARGIN_US (500 * MH_US_PER_MS)
/* Idle time of a peer that announces none; below any usual default. */
#define IDLE_UNTOLD_US (900 * MH_US_PER_MS)
/* Longer times that a peer tells are cut to this. */
#define IDLE_MOST_S 3600

/* Interim answers, and answers of others, that a call reads before its own. */
#define MAX_BEFORE 64

struct conn;

struct mh_hcall {
	struct conn *c;
	GBytes *text;
	size_t sent;
	uint32_t before; /* answers that came and are not its own */
	char *echo_name;
	char *echo;
	bool is_head;
	bool aborted; /* before its first byte; done() is not called */
	struct mh_hcall_fns fns;
	void *arg;
};

struct conn {
	struct mh_hcalls *all;
	char *addr;
	char *peer;
	int fd;
	bool connected;
	bool stranger; /* the answer being read is not our call's */
	bool echoes; /* an answer on it has borne its request's id */
	bool spent; /* not to be kept */
	bool headed; /* the answer's head has come; fields now are trailers */
	bool whole; /* the answer has come to its end */
	bool lost; /* freed as soon as the parser returns */
	bool parsing;
	int64_t idle_at_us;
	int64_t idle_us; /* how long the peer keeps it */
	http_parser parser;
	struct mh_line_ends lines;
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
};

static void on_io(void *arg, bool readable, bool writable);

static void
free_call(struct mh_hcall *h)
{
	g_bytes_unref(h->text);
	g_free(h->echo_name);
	g_free(h->echo);
	g_free(h);
}

static void
free_conn(struct conn *c)
{
	struct mh_hcalls *a = c->all;
	GPtrArray *list = g_hash_table_lookup(a->peers, c->peer);

	if (c->parsing) { /* the parser still uses it */
		c->lost = true;
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

/* Ends the connection's call, if any, and the connection. */
static void
end_both(struct conn *c, enum mh_hcall_end end)
{
	struct mh_hcall *h = c->call;

	c->call = NULL;
	free_conn(c);
	if (h == NULL)
		return;
	h->fns.done(h->arg, h->sent == 0 ? MH_CALL_UNSENT : end);
	free_call(h);
}

static void
fail(struct conn *c)
{
	end_both(c, MH_CALL_BROKEN);
}

static void
on_late(void *arg)
{
	struct conn *c = arg;

	c->timer = NULL;
	if (c->call != NULL && !c->connected)
		mh_count(c->all->k, "call_connect_timeouts", 1);
	fail(c);
}

static void
set_timer(struct conn *c, int64_t us)
{
	mh_timer_stop(c->all->k, &c->timer);
	if (us > 0)
		c->timer = mh_timer_start(c->all->k, us, on_late, c);
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
	c->headed = false;
	c->stranger = false;
	c->whole = false;
	return 0;
}

static void
end_field(struct conn *c)
{
	if (c->name->len > 0)
		mh_headers_add(c->headers, c->name->str, c->value->str);
	g_string_truncate(c->name, 0);
	g_string_truncate(c->value, 0);
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (c->headed)
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

	if (c->headed)
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
		c->spent = true;
	c->idle_us = IDLE_UNTOLD_US;
	if (t == NULL)
		return;
	us = MIN(g_ascii_strtoll(t + strlen("timeout="), NULL, 10),
		 IDLE_MOST_S) *
	    MH_US_PER_S;
	c->idle_us = MAX(us - IDLE_MARGIN_US, us / 4);
	if (c->idle_us <= 0)
		c->spent = true;
}

enum whose { OURS, STRANGERS, UNKNOWN };

/*
 * A second answer to an earlier request may come where our call's is due;
 * handing it on would give a caller the answer of another.  The echoed id
 * tells them apart; where the peer echoes ids one without can't be told.
 */
static enum whose
whose(struct conn *c, const struct mh_hcall *h)
{
	const char *echo;

	if (h->echo_name == NULL)
		return OURS;
	echo = mh_headers_get(c->headers, h->echo_name);
	if (echo == NULL)
		return c->echoes ? UNKNOWN : OURS;
	c->echoes = true;
	return strcmp(echo, h->echo) == 0 ? OURS : STRANGERS;
}

static bool
has_no_body(uint32_t status)
{
	return status < 200 || status == 204 || status == 304;
}

static int
on_headers(http_parser *p)
{
	/* To the parser 1 says that no body follows, whatever the fields do. */
	int bodyless = has_no_body(p->status_code) ? 1 : 0;
	struct conn *c = p->data;
	struct mh_hcall *h = c->call;

	end_field(c);
	c->headed = true;
	if (p->http_major != 1 || p->upgrade || p->status_code < 100)
		return -1;
	/* Nobody undoes another coding, whose bytes would pass as the body. */
	if (!mh_headers_coding_ok(c->headers))
		return -1;
	/* Only of 304 a length tells of another answer; else one may follow. */
	if (bodyless && p->status_code != 304 &&
	    (p->flags & (F_CHUNKED | F_CONTENTLENGTH)))
		c->spent = true;
	if (h == NULL)
		return -1;
	if (p->status_code < 200)
		return ++h->before > MAX_BEFORE ? -1 : bodyless;
	read_keep_alive(c, http_should_keep_alive(p));
	switch (whose(c, h)) {
	case OURS:
		break;
	case STRANGERS:
		mh_count(c->all->k, "call_stray_answers", 1);
		c->stranger = true;
		c->spent = true;
		return ++h->before > MAX_BEFORE ? -1 : bodyless;
	case UNKNOWN:
		return -1;
	}
	h->fns.head(h->arg, p->status_code, c->headers,
	    (p->flags & F_CONTENTLENGTH) ? (int64_t)p->content_length : -1);
	/* The callback may have aborted the call. */
	if (c->lost)
		return -1;
	return h->is_head ? 1 : bodyless;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;
	struct mh_hcall *h = c->call;

	if (!mh_line_ends_upto(&c->lines, at))
		return -1;
	mh_line_ends_body(&c->lines, at + n, (p->flags & F_CHUNKED) != 0);
	if (c->stranger || h == NULL)
		return 0;
	h->fns.data(h->arg, at, n);
	return c->lost ? -1 : 0;
}

static int
on_complete(http_parser *p)
{
	struct conn *c = p->data;

	if (p->status_code < 200 || c->stranger)
		return 0;
	c->whole = true;
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
}

static void
go_idle(struct conn *c)
{
	c->call = NULL;
	c->whole = false;
	c->idle_at_us = mh_now(c->all->k);
	start_parser(c);
	set_timer(c, c->idle_us);
	mh_loop_fd(c->all->loop, c->fd, true, false, on_io, c);
}

static void
finish(struct conn *c, bool keep)
{
	struct mh_hcall *h = c->call;

	/* An answer before the whole request was sent: the rest would be
	 * read as the next request. */
	if (h->sent < g_bytes_get_size(h->text))
		keep = false;
	c->call = NULL;
	if (keep && !c->spent)
		go_idle(c);
	else
		free_conn(c);
	h->fns.done(h->arg, MH_CALL_WHOLE);
	free_call(h);
}

/* Takes bytes of the answer; len 0 is the end of the connection. */
static void
take(struct conn *c, const char *data, size_t len)
{
	bool sound;
	size_t n;

	c->parsing = true;
	mh_line_ends_feed(&c->lines, data);
	n = http_parser_execute(&c->parser, &callbacks, data, len);
	c->parsing = false;
	if (c->lost) {
		struct mh_hcall *h = c->call;

		c->call = NULL;
		free_conn(c);
		if (h != NULL)
			free_call(h);
		return;
	}
	sound = (HTTP_PARSER_ERRNO(&c->parser) == HPE_OK || c->whole) &&
	    mh_line_ends_upto(&c->lines, data + n);
	if (c->whole && sound) {
		/* Bytes behind a complete answer belong to no request. */
		finish(c, len > 0 && n == len);
		return;
	}
	if (len == 0) {
		fail(c);
	} else if (!sound) {
		mh_count(c->all->k, "call_malformed_answers", 1);
		end_both(c, MH_CALL_UNREADABLE);
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
		/* Idle connections say nothing but their end. */
		if (n > 0)
			mh_count(c->all->k, "call_stray_bytes", 1);
		fail(c);
		return;
	}
	take(c, buf, (size_t)n);
}

/* Returns false when the connection failed and was freed. */
static bool
write_out(struct conn *c)
{
	struct mh_hcall *h = c->call;
	gsize len;
	const char *text = g_bytes_get_data(h->text, &len);

	while (h->sent < len) {
		ssize_t n = send(c->fd, text + h->sent, len - h->sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n <= 0) {
			fail(c);
			return false;
		}
		h->sent += (size_t)n;
	}
	mh_loop_fd(c->all->loop, c->fd, true, h->sent < len, on_io, c);
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
			fail(c);
			return;
		}
		if (!writable)
			return;
		c->connected = true;
		set_timer(c, 0);
	}
	if (c->call != NULL &&
	    c->call->sent < g_bytes_get_size(c->call->text) && !write_out(c))
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

		if (c->call == NULL && c->connected && !c->lost &&
		    strcmp(c->addr, addr) == 0 &&
		    (best == NULL || c->idle_at_us > best->idle_at_us))
			best = c;
	}
	return best;
}

/*
 * Bytes that came before our request belong to none of ours, and a call on a
 * connection that has ended would break.  The loop may not have told of either.
 */
static bool
is_quiet(struct conn *c)
{
	char byte;
	ssize_t n = recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n > 0)
		mh_count(c->all->k, "call_stray_bytes", 1);
	return n < 0 && (errno == EAGAIN || errno == EINTR);
}

/* A connection that can be used again; those that can't are closed. */
static struct conn *
kept_conn(struct mh_hcalls *a, const char *addr, const char *peer)
{
	struct conn *c;

	while ((c = idle_conn(a, addr, peer)) != NULL && !is_quiet(c))
		free_conn(c);
	return c;
}

static int
dial(const char *addr)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	char host[MH_HOST_LEN];
	uint16_t port;
	int fd, on = 1, ms = USER_TIMEOUT_MS;

	if (!mh_addr_parse(addr, host, &port) ||
	    inet_pton(AF_INET, host, &sin.sin_addr) != 1)
		return -1;
	sin.sin_port = htons(port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
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
	c->all = a;
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

	if (!h->aborted)
		h->fns.done(h->arg, MH_CALL_UNSENT);
	free_call(h);
}

struct mh_hcall *
mh_hcalls_start(struct mh_hcalls *a, const struct mh_hcall_args *args)
{
	struct mh_hcall *h = g_new0(struct mh_hcall, 1);
	struct conn *c = NULL;

	h->text = g_bytes_ref(args->text);
	h->echo_name = g_strdup(args->echo_name);
	h->echo = g_strdup(args->echo);
	h->is_head = args->is_head;
	h->fns = args->fns;
	h->arg = args->arg;
	if (!args->fresh)
		c = kept_conn(a, args->addr, args->peer);
	if (c == NULL)
		c = new_conn(a, args->addr, args->peer);
	if (c == NULL) {
		/* Out of descriptors, or a bad address; told from the loop so
		 * that the caller holds the call before it ends. */
		mh_count(a->k, "call_no_socket", 1);
		mh_timer_start(a->k, 0, on_unsent, h);
		return h;
	}
	h->c = c;
	c->call = h;
	start_parser(c);
	set_timer(c, c->connected ? 0 : CONNECT_US);
	mh_loop_fd(a->loop, c->fd, c->connected, true, on_io, c);
	return h;
}

void
mh_hcall_abort(struct mh_hcall *h)
{
	struct conn *c = h->c;

	if (c == NULL) { /* on_unsent() frees it */
		h->aborted = true;
		return;
	}
	if (c->parsing) { /* take() frees both */
		c->lost = true;
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
mh_hcalls_forget(struct mh_hcalls *a, const char *peer)
{
	GPtrArray *list = g_hash_table_lookup(a->peers, peer);
	GPtrArray *idle = g_ptr_array_new();

	for (guint i = 0; list != NULL && i < list->len; i++) {
		struct conn *c = g_ptr_array_index(list, i);

		if (c->call == NULL)
			g_ptr_array_add(idle, c);
		else
			c->spent = true;
	}
	for (guint i = 0; i < idle->len; i++)
		free_conn(g_ptr_array_index(idle, i));
	g_ptr_array_free(idle, TRUE);
}
