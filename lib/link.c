/**
 * DOC: Framed TCP links between marlhoist processes: service "link".
 *
 * Each side sends a hello with a nonce, then proves that it has the shared
 * secret by a MAC over both nonces, its direction and its VM name.  No other
 * frame is accepted before that.  Everything that a peer controls is bounded:
 * frame size, duration of the handshake, bytes queued for sending.
 */

#include "marlhoist.h"

#include <apr_network_io.h>
#include <apr_portable.h>
#include <errno.h>
#include <sodium.h>
#include <string.h>

#define VERSION 1
#define NONCE_LEN 16
#define LEN_BYTES 4
#define MAX_OUT_BYTES (16U << 20)
#define READ_SIZE 65536
/* Smaller frames arrive whole within milliseconds on any link in use. */
#define LARGE_FRAME_BYTES 8192
#define HANDSHAKE_TIMEOUT_US (2 * MH_US_PER_S)
/* A hello holds a few names. */
#define HANDSHAKE_MAX_FRAME 4096
/* The largest frame takes a third of this over a link of 10 Mbit/s. */
#define FRAME_TIMEOUT_US (10 * MH_US_PER_S)
#define BACKLOG 1024
/* What the kernel holds for a peer that doesn't read. */
#define SEND_BUFFER_BYTES 65536
/* Delay before the next accept when no file descriptor is free. */
#define ACCEPT_RETRY_US (100 * MH_US_PER_MS)

struct conn {
	struct link *l;
	uint64_t id;
	apr_pool_t *pool;
	apr_socket_t *sock;
	int fd;
	bool dialer;
	bool connected;
	bool up; /* the handshake is done */
	bool flush_pending; /* in flush_queue */
	bool overflowed; /* output queue over MAX_OUT_BYTES; to be closed */
	uint8_t nonce[NONCE_LEN];
	Mh__Frame *hello; /* the peer's */
	GByteArray *in;
	GByteArray *out;
	struct mh_timer *timer; /* limits the handshake, then a frame */
};

struct link {
	struct mh_kern *k;
	struct mh_loop *loop;
	char *advertise;
	char *vm;
	char *domain;
	char *role;
	char *pool_name;
	uint64_t incarnation;
	uint8_t key[crypto_auth_KEYBYTES];
	apr_pool_t *pool;
	apr_socket_t *listener;
	int listen_fd;
	uint16_t port;
	uint32_t max_conns; /* that others open; 0: no bound */
	uint64_t max_out_bytes; /* of all output queues; 0: no bound */
	uint64_t out_bytes;
	struct mh_timer *accept_timer;
	GHashTable *conns; /* id -> struct conn */
	GPtrArray *flush_queue; /* struct conn with output to flush */
};

static void on_io(void *arg, bool readable, bool writable);

static void
free_conn(struct conn *c)
{
	struct link *l = c->l;

	l->out_bytes -= c->out->len;
	mh_timer_stop(l->k, &c->timer);
	mh_loop_fd_close(l->loop, c->fd);
	g_ptr_array_remove(l->flush_queue, c);
	g_hash_table_remove(l->conns, &c->id);
	mh_frame_free(c->hello);
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	apr_pool_destroy(c->pool);
	g_free(c);
}

static void
post_link_down(struct link *l, uint64_t id)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_DOWN);

	m->u.link.conn = id;
	mh_post(l->k, "hub", m);
}

static void
drop(struct conn *c)
{
	struct link *l = c->l;
	uint64_t id = c->id;
	bool report = c->up || c->dialer;

	free_conn(c);
	if (report)
		post_link_down(l, id);
}

static void
want_io(struct conn *c)
{
	mh_loop_fd(c->l->loop, c->fd, true, !c->connected || c->out->len > 0,
	    on_io, c);
}

static bool
flush_out(struct conn *c)
{
	c->flush_pending = false;
	if (c->overflowed)
		return false;
	while (c->out->len > 0) {
		apr_size_t n = c->out->len;
		apr_status_t rv =
		    apr_socket_send(c->sock, (const char *)c->out->data, &n);

		if (n > 0) {
			g_byte_array_remove_range(c->out, 0, (guint)n);
			c->l->out_bytes -= n;
		}
		if (APR_STATUS_IS_EAGAIN(rv))
			break;
		if (rv != APR_SUCCESS)
			return false;
	}
	want_io(c);
	return true;
}

static void
queue_flush(struct conn *c)
{
	if (c->flush_pending || !c->connected)
		return;
	c->flush_pending = true;
	g_ptr_array_add(c->l->flush_queue, c);
}

/* Runs before each wait, to write all frames of one iteration at once. */
static int64_t
flush_all(void *arg)
{
	struct link *l = arg;

	while (l->flush_queue->len > 0) {
		struct conn *c =
		    g_ptr_array_steal_index_fast(l->flush_queue, 0);

		if (!flush_out(c))
			drop(c);
	}
	return -1;
}

/*
 * Bounds the memory that a slow reader can use.  The peer may never become
 * readable or writable again, so the connection is queued for a flush, which
 * closes it.
 */
static void
overflow(struct conn *c)
{
	mh_count(c->l->k, "link_overflows", 1);
	mh_log(c->l->k, "link",
	    "Closed a link: its peer does not read, %u bytes wait, %" PRIu64
	    " on all links.",
	    c->out->len, c->l->out_bytes);
	c->overflowed = true;
	queue_flush(c);
}

static struct conn *
longest_queue(const struct link *l)
{
	struct conn *longest = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->conns);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct conn *c = v;

		if (!c->overflowed &&
		    (longest == NULL || c->out->len > longest->out->len))
			longest = c;
	}
	return longest;
}

static void
queue_packed(struct conn *c, GBytes *b)
{
	struct link *l = c->l;
	gsize len;
	const uint8_t *data = g_bytes_get_data(b, &len);
	uint8_t head[LEN_BYTES] = { (uint8_t)(len >> 24), (uint8_t)(len >> 16),
		(uint8_t)(len >> 8), (uint8_t)len };

	if (c->overflowed)
		return;
	if (c->out->len + len > MAX_OUT_BYTES) {
		overflow(c);
		return;
	}
	g_byte_array_append(c->out, head, sizeof(head));
	g_byte_array_append(c->out, data, (guint)len);
	l->out_bytes += sizeof(head) + len;
	queue_flush(c);
	if (l->max_out_bytes > 0 && l->out_bytes > l->max_out_bytes)
		overflow(longest_queue(l));
}

static void
queue_frame(struct conn *c, const Mh__Frame *f)
{
	GBytes *b = mh_frame_pack(f);

	queue_packed(c, b);
	g_bytes_unref(b);
}

static void
send_hello(struct conn *c)
{
	struct link *l = c->l;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Hello h = MH__HELLO__INIT;

	randombytes_buf(c->nonce, sizeof(c->nonce));
	h.version = VERSION;
	h.incarnation = l->incarnation;
	h.vm = l->vm;
	h.domain = l->domain;
	h.role = l->role;
	h.pool = l->pool_name;
	h.addr = l->advertise;
	h.nonce.data = c->nonce;
	h.nonce.len = sizeof(c->nonce);
	f.body_case = MH__FRAME__BODY_HELLO;
	f.hello = &h;
	queue_frame(c, &f);
}

/*
 * The MAC covers the direction and the sender's VM name, so that it can
 * neither be reflected to its sender nor be used under another name.
 */
static void
compute_mac(struct link *l, bool by_dialer, const char *vm,
    const uint8_t *first, const uint8_t *second, uint8_t mac[crypto_auth_BYTES])
{
	GByteArray *a = g_byte_array_new();
	uint8_t dir = by_dialer;

	g_byte_array_append(a, &dir, 1);
	g_byte_array_append(a, first, NONCE_LEN);
	g_byte_array_append(a, second, NONCE_LEN);
	g_byte_array_append(a, (const uint8_t *)vm, (guint)strlen(vm));
	crypto_auth(mac, a->data, a->len, l->key);
	g_byte_array_unref(a);
}

static bool
handle_hello(struct conn *c, Mh__Frame *f)
{
	struct link *l = c->l;
	Mh__Frame out = MH__FRAME__INIT;
	Mh__Auth auth = MH__AUTH__INIT;
	uint8_t mac[crypto_auth_BYTES];

	if (c->hello != NULL || f->hello->nonce.len != NONCE_LEN ||
	    f->hello->version != VERSION) {
		mh_frame_free(f);
		return false;
	}
	c->hello = f;
	compute_mac(l, c->dialer, l->vm, f->hello->nonce.data, c->nonce, mac);
	auth.mac.data = mac;
	auth.mac.len = sizeof(mac);
	out.body_case = MH__FRAME__BODY_AUTH;
	out.auth = &auth;
	queue_frame(c, &out);
	return true;
}

static void
post_link_up(struct conn *c)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_UP);
	const Mh__Hello *h = c->hello->hello;

	c->up = true;
	mh_timer_stop(c->l->k, &c->timer);
	m->u.link.conn = c->id;
	m->u.link.inbound = !c->dialer;
	m->u.link.vm = g_strdup(h->vm);
	m->u.link.addr = g_strdup(h->addr);
	m->u.link.domain = g_strdup(h->domain);
	m->u.link.role = g_strdup(h->role);
	m->u.link.pool = g_strdup(h->pool);
	m->u.link.incarnation = h->incarnation;
	mh_post(c->l->k, "hub", m);
}

static bool
handle_auth(struct conn *c, const Mh__Frame *f)
{
	uint8_t mac[crypto_auth_BYTES];

	if (c->hello == NULL || f->auth->mac.len != sizeof(mac))
		return false;
	compute_mac(c->l, !c->dialer, c->hello->hello->vm, c->nonce,
	    c->hello->hello->nonce.data, mac);
	if (sodium_memcmp(mac, f->auth->mac.data, sizeof(mac)) != 0) {
		mh_count(c->l->k, "link_refused", 1);
		mh_log(c->l->k, "link",
		    "Refused a peer whose MAC does not verify: vm=%s.",
		    c->hello->hello->vm);
		return false;
	}
	post_link_up(c);
	return true;
}

static bool
handle_handshake(struct conn *c, GBytes *b)
{
	Mh__Frame *f = mh_frame_unpack(b);
	bool ok = false;

	if (f == NULL)
		return false;
	if (f->body_case == MH__FRAME__BODY_HELLO)
		return handle_hello(c, f);
	if (f->body_case == MH__FRAME__BODY_AUTH)
		ok = handle_auth(c, f);
	mh_frame_free(f);
	return ok;
}

static bool
take_frame(struct conn *c, const uint8_t *data, size_t len)
{
	GBytes *b = g_bytes_new(data, len);
	struct mh_msg *m;
	bool ok;

	if (!c->up) {
		ok = handle_handshake(c, b);
		g_bytes_unref(b);
		return ok;
	}
	m = mh_msg_new(MH_MSG_FRAME);
	m->u.link.conn = c->id;
	m->u.link.frame = b;
	mh_post(c->l->k, "hub", m);
	return true;
}

static void
post_rx_progress(struct conn *c)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_RX_PROGRESS);

	m->u.link.conn = c->id;
	mh_post(c->l->k, "hub", m);
}

/* Length of the frame that starts at @at; 0 if the header is incomplete. */
static uint32_t
frame_len(const GByteArray *in, size_t at)
{
	const uint8_t *p = in->data + at;

	if (in->len - at < LEN_BYTES)
		return 0;
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	    (uint32_t)p[2] << 8 | p[3];
}

static void
on_late_frame(void *arg)
{
	struct conn *c = arg;

	mh_count(c->l->k, "link_frames_late", 1);
	mh_log(c->l->k, "link",
	    "Closed a link: a frame of %u bytes was not whole in time, %u "
	    "bytes had come.",
	    frame_len(c->in, 0), c->in->len);
	drop(c);
}

/* Limits the time of a frame that has come in part; @is_next: just now. */
static void
limit_frame(struct conn *c, bool is_next)
{
	if (is_next || c->in->len == 0)
		mh_timer_stop(c->l->k, &c->timer);
	if (c->in->len > 0 && c->timer == NULL)
		mh_timer_set(
		    c->l->k, &c->timer, FRAME_TIMEOUT_US, on_late_frame, c);
}

static bool
process_input(struct conn *c)
{
	size_t at = 0;
	bool ok = true;

	while (ok && c->in->len - at >= LEN_BYTES) {
		const uint8_t *p = c->in->data + at;
		uint32_t len = frame_len(c->in, at);

		if (len > (c->up ? MH_MAX_FRAME : HANDSHAKE_MAX_FRAME)) {
			mh_count(c->l->k, "link_frames_too_long", 1);
			return false;
		}
		if (c->in->len - at - LEN_BYTES < len)
			break;
		ok = take_frame(c, p + LEN_BYTES, len);
		at += LEN_BYTES + len;
	}
	if (at > 0)
		g_byte_array_remove_range(c->in, 0, (guint)at);
	if (ok && c->up)
		limit_frame(c, at > 0);
	if (ok && c->up && frame_len(c->in, 0) >= LARGE_FRAME_BYTES)
		post_rx_progress(c);
	return ok;
}

static bool
read_input(struct conn *c)
{
	char buf[READ_SIZE];
	apr_size_t n = sizeof(buf);
	apr_status_t rv = apr_socket_recv(c->sock, buf, &n);

	if (n > 0) {
		g_byte_array_append(c->in, (uint8_t *)buf, (guint)n);
		return process_input(c);
	}
	return APR_STATUS_IS_EAGAIN(rv);
}

static void
on_io(void *arg, bool readable, bool writable)
{
	struct conn *c = arg;

	if (!c->connected && writable) {
		c->connected = true;
		writable = true;
	}
	if ((readable && c->connected && !read_input(c)) ||
	    (readable && !c->connected) || c->overflowed) {
		drop(c);
		return;
	}
	if (writable && !flush_out(c))
		drop(c);
}

static void
on_handshake_timeout(void *arg)
{
	struct conn *c = arg;

	drop(c);
}

static struct conn *
new_conn(struct link *l, uint64_t id, apr_socket_t *sock, apr_pool_t *pool)
{
	struct conn *c = g_new0(struct conn, 1);
	apr_os_sock_t fd;

	c->l = l;
	c->id = id;
	c->pool = pool;
	c->sock = sock;
	apr_os_sock_get(&fd, sock);
	c->fd = fd;
	c->in = g_byte_array_new();
	c->out = g_byte_array_new();
	apr_socket_opt_set(sock, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(sock, 0);
	apr_socket_opt_set(sock, APR_TCP_NODELAY, 1);
	apr_socket_opt_set(sock, APR_SO_SNDBUF, SEND_BUFFER_BYTES);
	mh_timer_set(
	    l->k, &c->timer, HANDSHAKE_TIMEOUT_US, on_handshake_timeout, c);
	g_hash_table_insert(l->conns, &c->id, c);
	return c;
}

static apr_status_t
parse_addr(const char *addr, apr_sockaddr_t **sa, apr_pool_t *pool)
{
	char host[MH_HOST_LEN];
	uint16_t port;

	if (!mh_addr_parse(addr, host, &port))
		return APR_EINVAL;
	return apr_sockaddr_info_get(sa, host, APR_INET, port, 0, pool);
}

static void
dial(struct link *l, uint64_t id, const char *addr)
{
	apr_pool_t *pool;
	apr_sockaddr_t *sa = NULL;
	apr_socket_t *sock = NULL;
	struct conn *c;
	apr_status_t rv;

	apr_pool_create(&pool, l->pool);
	if (parse_addr(addr, &sa, pool) != APR_SUCCESS ||
	    apr_socket_create(&sock, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
		pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		post_link_down(l, id);
		return;
	}
	c = new_conn(l, id, sock, pool);
	c->dialer = true;
	send_hello(c);
	rv = apr_socket_connect(sock, sa);
	if (rv != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(rv)) {
		drop(c);
		return;
	}
	want_io(c);
}

/*
 * Frees a place for a peer that connects: the oldest link that others have
 * opened and on which nobody has proved yet who it is makes room.
 */
static bool
make_place(struct link *l)
{
	struct conn *oldest = NULL;
	GHashTableIter it;
	uint32_t n = 0;
	gpointer v;

	g_hash_table_iter_init(&it, l->conns);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct conn *c = v;

		n += !c->dialer;
		if (!c->dialer && !c->up &&
		    (oldest == NULL || c->id < oldest->id))
			oldest = c;
	}
	if (l->max_conns == 0 || n < l->max_conns)
		return true;
	mh_count(l->k, "link_turned_away", 1);
	if (oldest != NULL)
		drop(oldest);
	return oldest != NULL;
}

static void on_accept(void *arg, bool readable, bool writable);

static void
resume_accept(void *arg)
{
	struct link *l = arg;

	mh_loop_fd(l->loop, l->listen_fd, true, false, on_accept, l);
}

/* As without a descriptor the listening socket stays readable. */
static void
pause_accept(struct link *l)
{
	mh_count(l->k, "link_accept_pauses", 1);
	mh_loop_fd(l->loop, l->listen_fd, false, false, on_accept, l);
	mh_timer_set(l->k, &l->accept_timer, ACCEPT_RETRY_US, resume_accept, l);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct link *l = arg;
	apr_pool_t *pool;
	apr_socket_t *sock = NULL;
	struct conn *c;
	apr_status_t rv;

	(void)readable;
	(void)writable;
	apr_pool_create(&pool, l->pool);
	rv = apr_socket_accept(&sock, l->listener, pool);
	if (rv != APR_SUCCESS || !make_place(l)) {
		apr_pool_destroy(pool);
		if (rv == EMFILE || rv == ENFILE || rv == ENOBUFS ||
		    rv == ENOMEM)
			pause_accept(l);
		return;
	}
	c = new_conn(l, mh_next_id(l->k), sock, pool);
	c->connected = true;
	send_hello(c);
	want_io(c);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct link *l = self;
	struct conn *c = g_hash_table_lookup(l->conns, &m->u.link.conn);

	switch (m->kind) {
	case MH_MSG_LINK_DIAL:
		dial(l, m->u.link.conn, m->u.link.addr);
		break;
	case MH_MSG_LINK_SEND:
		if (c != NULL && c->up)
			queue_packed(c, m->u.link.frame);
		else
			mh_count(l->k, "link_unsent", 1);
		break;
	case MH_MSG_LINK_CLOSE:
		if (c == NULL)
			break;
		flush_out(c);
		free_conn(c);
		break;
	default:
		break;
	}
}

static void
destroy(void *self)
{
	struct link *l = self;
	GList *all = g_hash_table_get_values(l->conns);

	mh_timer_stop(l->k, &l->accept_timer);
	for (GList *n = all; n != NULL; n = n->next) {
		flush_out(n->data);
		free_conn(n->data);
	}
	g_list_free(all);
	g_hash_table_destroy(l->conns);
	g_ptr_array_free(l->flush_queue, TRUE);
	if (l->listener != NULL)
		mh_loop_fd_close(l->loop, l->listen_fd);
	apr_pool_destroy(l->pool);
	sodium_memzero(l->key, sizeof(l->key));
	g_free(l->advertise);
	g_free(l->vm);
	g_free(l->domain);
	g_free(l->role);
	g_free(l->pool_name);
	g_free(l);
}

static bool
start_listen(struct link *l, const char *addr, GError **err)
{
	apr_sockaddr_t *sa = NULL;
	apr_os_sock_t fd;

	if (parse_addr(addr, &sa, l->pool) != APR_SUCCESS ||
	    apr_socket_create(&l->listener, APR_INET, SOCK_STREAM,
		APR_PROTO_TCP, l->pool) != APR_SUCCESS ||
	    apr_socket_opt_set(l->listener, APR_SO_REUSEADDR, 1) !=
		APR_SUCCESS ||
	    apr_socket_bind(l->listener, sa) != APR_SUCCESS ||
	    apr_socket_listen(l->listener, BACKLOG) != APR_SUCCESS) {
		g_set_error(err, MH_ERROR, MH_ERR_IO,
		    "cannot listen on %s: give a free IP:PORT of this VM",
		    addr);
		return false;
	}
	apr_socket_opt_set(l->listener, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(l->listener, 0);
	apr_socket_addr_get(&sa, APR_LOCAL, l->listener);
	l->port = sa->port;
	apr_os_sock_get(&fd, l->listener);
	l->listen_fd = fd;
	mh_loop_fd(l->loop, fd, true, false, on_accept, l);
	return true;
}

static void
set_key(struct link *l, const char *secret)
{
	crypto_generichash(l->key, sizeof(l->key),
	    (const unsigned char *)secret, strlen(secret), NULL, 0);
}

void
mh_link_set_limits(
    struct mh_loop *loop, uint32_t max_conns, uint64_t max_out_bytes)
{
	struct link *l = mh_kern_get(mh_loop_kern(loop), "link");

	if (l == NULL)
		return;
	l->max_conns = max_conns;
	l->max_out_bytes = max_out_bytes;
}

uint64_t
mh_link_out_bytes(struct mh_loop *loop)
{
	const struct link *l = mh_kern_get(mh_loop_kern(loop), "link");

	return l == NULL ? 0 : l->out_bytes;
}

void
mh_link_set_secret(struct mh_loop *loop, const char *secret)
{
	struct link *l = mh_kern_get(mh_loop_kern(loop), "link");

	if (l != NULL)
		set_key(l, secret);
}

uint16_t
mh_link_port(struct mh_loop *loop)
{
	struct link *l = mh_kern_get(mh_loop_kern(loop), "link");

	return l->port;
}

bool
mh_link_create(struct mh_loop *loop, const struct mh_link_args *a, GError **err)
{
	struct link *l = g_new0(struct link, 1);

	l->k = mh_loop_kern(loop);
	l->loop = loop;
	l->vm = g_strdup(a->vm);
	l->domain = g_strdup(a->domain);
	l->role = g_strdup(a->role);
	l->pool_name = g_strdup(a->pool != NULL ? a->pool : "");
	l->incarnation = a->incarnation;
	l->max_conns = a->max_conns;
	l->max_out_bytes = a->max_out_bytes;
	l->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->flush_queue = g_ptr_array_new();
	apr_pool_create(&l->pool, NULL);
	set_key(l, a->secret);
	mh_kern_add(l->k, "link", l, handle, destroy);
	mh_loop_before_wait(loop, flush_all, l);
	if (a->listen != NULL && !start_listen(l, a->listen, err))
		return false;
	if (a->advertise != NULL)
		l->advertise = g_strdup(a->advertise);
	else if (a->listen != NULL)
		l->advertise = g_strdup_printf("%.*s:%u",
		    (int)(strrchr(a->listen, ':') - a->listen), a->listen,
		    l->port);
	else
		l->advertise = g_strdup("");
	return true;
}
