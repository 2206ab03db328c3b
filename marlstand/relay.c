/**
 * DOC: TCP relay between two processes of marlhoist, with fault injection.  On
 * command it discards all further data of the open connections, in one or both
 * directions, while new connections work, like a stateful firewall that lost
 * its connection table.  It can also duplicate or delay single frames.
 */

#include "marlstand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LEN_BYTES 4 /* length before each frame, big-endian */
#define HANDSHAKE_FRAMES 3 /* passed without a fault */
#define FRAME_DELAY_US (30 * MH_US_PER_MS)

struct relay;

/** struct pipe - one direction of one connection. */
struct pipe {
	struct relay_conn *conn;
	int from;
	int to;
	bool to_dialer;
	bool discard; /* drop received data */
	uint32_t frames;
	GByteArray *in; /* received, not yet a complete frame */
	GByteArray *out; /* to be sent */
};

/** struct relay_conn - one relayed connection. */
struct relay_conn {
	struct relay *relay;
	struct pipe forward; /* dialer to target */
	struct pipe backward; /* target to dialer */
	uint32_t refs; /* delayed frames that refer to it */
	bool closed;
};

/** struct delayed_frame - a frame that will be forwarded later. */
struct delayed_frame {
	struct pipe *pipe;
	GBytes *frame;
};

struct relay {
	struct world *w;
	char *name;
	int listen_fd;
	struct sockaddr_in to;
	GPtrArray *conns; /* struct relay_conn, open */
	double disturbed_share; /* share of frames duplicated or delayed */
};

static GHashTable *
relays(struct world *w)
{
	return mh_kern_get(w->k, "relays");
}

static void
free_conn(struct relay_conn *h)
{
	g_byte_array_unref(h->forward.in);
	g_byte_array_unref(h->forward.out);
	g_byte_array_unref(h->backward.in);
	g_byte_array_unref(h->backward.out);
	g_free(h);
}

static void
close_conn(struct relay_conn *h)
{
	if (h->closed)
		return;
	h->closed = true;
	mh_loop_fd_close(h->relay->w->loop, h->forward.from);
	mh_loop_fd_close(h->relay->w->loop, h->forward.to);
	close(h->forward.from);
	close(h->forward.to);
	g_ptr_array_remove(h->relay->conns, h);
	if (h->refs == 0)
		free_conn(h);
}

static void on_fd(void *arg, bool readable, bool writable);

static void
want_io(struct relay_conn *h)
{
	struct mh_loop *l = h->relay->w->loop;

	mh_loop_fd(l, h->forward.from, true, h->backward.out->len > 0, on_fd,
	    &h->forward);
	mh_loop_fd(l, h->backward.from, true, h->forward.out->len > 0, on_fd,
	    &h->backward);
}

static bool
push(struct pipe *p)
{
	while (p->out->len > 0) {
		ssize_t n =
		    send(p->to, p->out->data, p->out->len, MSG_NOSIGNAL);

		if (n < 0)
			return errno == EAGAIN || errno == ENOTCONN;
		g_byte_array_remove_range(p->out, 0, (guint)n);
	}
	return true;
}

static void
deliver_delayed(void *arg)
{
	struct delayed_frame *l = arg;
	struct relay_conn *h = l->pipe->conn;
	gsize len;
	const uint8_t *data = g_bytes_get_data(l->frame, &len);

	h->refs--;
	if (h->closed) {
		if (h->refs == 0)
			free_conn(h);
	} else {
		g_byte_array_append(l->pipe->out, data, (guint)len);
		if (push(l->pipe))
			want_io(h);
		else
			close_conn(h);
	}
	g_bytes_unref(l->frame);
	g_free(l);
}

static void
delay_frame(struct pipe *p, const uint8_t *data, size_t len)
{
	struct delayed_frame *l = g_new0(struct delayed_frame, 1);

	l->pipe = p;
	l->frame = g_bytes_new(data, len);
	p->conn->refs++;
	mh_timer_start(
	    p->conn->relay->w->k, FRAME_DELAY_US, deliver_delayed, l);
}

static void
pass_frame(struct pipe *p, const uint8_t *data, size_t len)
{
	struct relay *r = p->conn->relay;
	double u = mh_random_unit(r->w->k);

	p->frames++;
	if (p->frames > HANDSHAKE_FRAMES && u < r->disturbed_share / 2) {
		delay_frame(p, data, len);
		return;
	}
	g_byte_array_append(p->out, data, (guint)len);
	if (p->frames > HANDSHAKE_FRAMES && u < r->disturbed_share)
		g_byte_array_append(p->out, data, (guint)len);
}

static void
pass_frames(struct pipe *p)
{
	size_t at = 0;

	while (p->in->len - at >= LEN_BYTES) {
		const uint8_t *d = p->in->data + at;
		size_t len = ((size_t)d[0] << 24 | (size_t)d[1] << 16 |
				 (size_t)d[2] << 8 | d[3]) +
		    LEN_BYTES;

		if (p->in->len - at < len)
			break;
		pass_frame(p, d, len);
		at += len;
	}
	g_byte_array_remove_range(p->in, 0, (guint)at);
}

static void
on_fd(void *arg, bool readable, bool writable)
{
	struct pipe *p = arg;
	struct relay_conn *h = p->conn;
	uint8_t buf[65536];
	ssize_t n;

	if (readable) {
		n = recv(p->from, buf, sizeof(buf), 0);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			close_conn(h);
			return;
		}
		if (n > 0 && !p->discard) {
			g_byte_array_append(p->in, buf, (guint)n);
			pass_frames(p);
		}
	}
	(void)writable;
	if (!push(&h->forward) || !push(&h->backward))
		close_conn(h);
	else
		want_io(h);
}

static void
init_pipe(
    struct pipe *p, struct relay_conn *h, int from, int to, bool to_dialer)
{
	p->conn = h;
	p->from = from;
	p->to = to;
	p->to_dialer = to_dialer;
	p->in = g_byte_array_new();
	p->out = g_byte_array_new();
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct relay *r = arg;
	int from = accept4(r->listen_fd, NULL, NULL, SOCK_NONBLOCK);
	int to, on = 1;
	struct relay_conn *h;

	(void)readable;
	(void)writable;
	if (from < 0)
		return;
	to = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (to < 0 ||
	    (connect(to, (struct sockaddr *)&r->to, sizeof(r->to)) < 0 &&
		errno != EINPROGRESS)) {
		close(from);
		if (to >= 0)
			close(to);
		return;
	}
	setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	h = g_new0(struct relay_conn, 1);
	h->relay = r;
	init_pipe(&h->forward, h, from, to, false);
	init_pipe(&h->backward, h, to, from, true);
	g_ptr_array_add(r->conns, h);
	want_io(h);
}

static uint16_t
open_relay(struct world *w, const char *name, uint16_t port)
{
	struct relay *r = g_new0(struct relay, 1);
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	r->w = w;
	r->name = g_strdup(name);
	r->to = sa;
	r->to.sin_port = htons(port);
	r->conns = g_ptr_array_new();
	r->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (r->listen_fd < 0 ||
	    bind(r->listen_fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(r->listen_fd, 128) < 0 ||
	    getsockname(r->listen_fd, (struct sockaddr *)&sa, &len) < 0) {
		g_ptr_array_free(r->conns, TRUE);
		g_free(r->name);
		g_free(r);
		return 0;
	}
	mh_loop_fd(w->loop, r->listen_fd, true, false, on_accept, r);
	g_hash_table_insert(relays(w), r->name, r);
	return ntohs(sa.sin_port);
}

static void
discard_open(struct relay *r, const char *direction)
{
	for (guint i = 0; i < r->conns->len; i++) {
		struct relay_conn *h = r->conns->pdata[i];

		if (strcmp(direction, "back") != 0)
			h->forward.discard = true;
		if (strcmp(direction, "forth") != 0)
			h->backward.discard = true;
	}
}

/*
 * POST /ctl/relay with one of these JSON objects:
 *  {"name", "port"}: creates a relay to a port on loopback; the response has
 *   the port it listens on
 *  {"name", "swallow": "both", "forth" or "back"}: discards further data of the
 *   open connections; "forth" is from the dialer to the target
 *  {"name", "crossed": SHARE}: duplicates or delays this share of the frames
 */
bool
relays_serve(struct world *w, struct mh_http_req *r)
{
	gsize len;
	const char *data, *name, *direction;
	json_t *o, *v;
	struct relay *re;
	uint16_t port = 0;

	if (strcmp(mh_req_path(r), "/ctl/relay") != 0)
		return false;
	data = g_bytes_get_data(mh_req_body(r), &len);
	o = json_loadb(data, len, 0, NULL);
	name = json_string_value(json_object_get(o, "name"));
	re = name == NULL ? NULL : g_hash_table_lookup(relays(w), name);
	direction = json_string_value(json_object_get(o, "swallow"));
	if (name != NULL && (v = json_object_get(o, "port")) != NULL)
		port = open_relay(w, name, (uint16_t)json_integer_value(v));
	if (re != NULL && direction != NULL)
		discard_open(re, direction);
	if (re != NULL && (v = json_object_get(o, "crossed")) != NULL)
		re->disturbed_share = json_number_value(v);
	json_decref(o);
	reply_json(r, 200, json_pack("{s:i}", "port", (int)port));
	return true;
}

static void
destroy(void *self)
{
	g_hash_table_destroy(self);
}

void
relays_create(struct world *w)
{
	mh_kern_add(w->k, "relays", g_hash_table_new(g_str_hash, g_str_equal),
	    NULL, destroy);
}
