/**
 * DOC: A TCP hop between our processes that loses track of connections:
 * what is open goes silent for good, one way or both, while new
 * connections work.  It can also double and delay single frames.
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

#define LEN_BYTES 4
#define SETTLED 3 /* frames that pass first: the handshake */
#define LATE_US (30 * MH_US_PER_MS)

struct relay;

/** struct pipe - one direction of one connection. */
struct pipe {
	struct hop *hop;
	int from;
	int to;
	bool back; /* towards the dialer */
	bool swallow;
	uint32_t frames;
	GByteArray *in;
	GByteArray *out;
};

struct hop {
	struct relay *r;
	struct pipe a; /* dialer to target */
	struct pipe b;
	uint32_t refs; /* delayed frames under way */
	bool closed;
};

struct late {
	struct pipe *p;
	GBytes *frame;
};

struct relay {
	struct world *w;
	char *name;
	int listen_fd;
	struct sockaddr_in to;
	GPtrArray *hops;
	double crossed; /* share of frames doubled or delayed */
};

static GHashTable *
relays(struct world *w)
{
	return mh_kern_get(w->k, "relays");
}

static void
free_hop(struct hop *h)
{
	g_byte_array_unref(h->a.in);
	g_byte_array_unref(h->a.out);
	g_byte_array_unref(h->b.in);
	g_byte_array_unref(h->b.out);
	g_free(h);
}

static void
close_hop(struct hop *h)
{
	if (h->closed)
		return;
	h->closed = true;
	mh_loop_fd_close(h->r->w->loop, h->a.from);
	mh_loop_fd_close(h->r->w->loop, h->a.to);
	close(h->a.from);
	close(h->a.to);
	g_ptr_array_remove(h->r->hops, h);
	if (h->refs == 0)
		free_hop(h);
}

static void on_fd(void *arg, bool readable, bool writable);

static void
want_io(struct hop *h)
{
	struct mh_loop *l = h->r->w->loop;

	mh_loop_fd(l, h->a.from, true, h->b.out->len > 0, on_fd, &h->a);
	mh_loop_fd(l, h->b.from, true, h->a.out->len > 0, on_fd, &h->b);
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
deliver_late(void *arg)
{
	struct late *l = arg;
	struct hop *h = l->p->hop;
	gsize len;
	const uint8_t *data = g_bytes_get_data(l->frame, &len);

	h->refs--;
	if (h->closed) {
		if (h->refs == 0)
			free_hop(h);
	} else {
		g_byte_array_append(l->p->out, data, (guint)len);
		if (push(l->p))
			want_io(h);
		else
			close_hop(h);
	}
	g_bytes_unref(l->frame);
	g_free(l);
}

static void
delay_frame(struct pipe *p, const uint8_t *data, size_t len)
{
	struct late *l = g_new0(struct late, 1);

	l->p = p;
	l->frame = g_bytes_new(data, len);
	p->hop->refs++;
	mh_timer_start(p->hop->r->w->k, LATE_US, deliver_late, l);
}

static void
pass_frame(struct pipe *p, const uint8_t *data, size_t len)
{
	struct relay *r = p->hop->r;
	double u = mh_random_unit(r->w->k);

	p->frames++;
	if (p->frames > SETTLED && u < r->crossed / 2) {
		delay_frame(p, data, len);
		return;
	}
	g_byte_array_append(p->out, data, (guint)len);
	if (p->frames > SETTLED && u < r->crossed)
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
	struct hop *h = p->hop;
	uint8_t buf[65536];
	ssize_t n;

	if (readable) {
		n = recv(p->from, buf, sizeof(buf), 0);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			close_hop(h);
			return;
		}
		if (n > 0 && !p->swallow) {
			g_byte_array_append(p->in, buf, (guint)n);
			pass_frames(p);
		}
	}
	(void)writable;
	if (!push(&h->a) || !push(&h->b))
		close_hop(h);
	else
		want_io(h);
}

static void
init_pipe(struct pipe *p, struct hop *h, int from, int to, bool back)
{
	p->hop = h;
	p->from = from;
	p->to = to;
	p->back = back;
	p->in = g_byte_array_new();
	p->out = g_byte_array_new();
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct relay *r = arg;
	int from = accept4(r->listen_fd, NULL, NULL, SOCK_NONBLOCK);
	int to, on = 1;
	struct hop *h;

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
	h = g_new0(struct hop, 1);
	h->r = r;
	init_pipe(&h->a, h, from, to, false);
	init_pipe(&h->b, h, to, from, true);
	g_ptr_array_add(r->hops, h);
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
	r->hops = g_ptr_array_new();
	r->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (r->listen_fd < 0 ||
	    bind(r->listen_fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(r->listen_fd, 128) < 0 ||
	    getsockname(r->listen_fd, (struct sockaddr *)&sa, &len) < 0) {
		g_ptr_array_free(r->hops, TRUE);
		g_free(r->name);
		g_free(r);
		return 0;
	}
	mh_loop_fd(w->loop, r->listen_fd, true, false, on_accept, r);
	g_hash_table_insert(relays(w), r->name, r);
	return ntohs(sa.sin_port);
}

static void
swallow(struct relay *r, const char *way)
{
	for (guint i = 0; i < r->hops->len; i++) {
		struct hop *h = r->hops->pdata[i];

		if (strcmp(way, "back") != 0)
			h->a.swallow = true;
		if (strcmp(way, "forth") != 0)
			h->b.swallow = true;
	}
}

/*
 * POST /ctl/relay {"name", "port"} opens one; {"name", "swallow": "both",
 * "forth" or "back"} silences what is open; {"name", "crossed": share}.
 */
bool
relays_serve(struct world *w, struct mh_http_req *r)
{
	gsize len;
	const char *data, *name, *way;
	json_t *o, *v;
	struct relay *re;
	uint16_t port = 0;

	if (strcmp(mh_req_path(r), "/ctl/relay") != 0)
		return false;
	data = g_bytes_get_data(mh_req_body(r), &len);
	o = json_loadb(data, len, 0, NULL);
	name = json_string_value(json_object_get(o, "name"));
	re = name == NULL ? NULL : g_hash_table_lookup(relays(w), name);
	way = json_string_value(json_object_get(o, "swallow"));
	if (name != NULL && (v = json_object_get(o, "port")) != NULL)
		port = open_relay(w, name, (uint16_t)json_integer_value(v));
	if (re != NULL && way != NULL)
		swallow(re, way);
	if (re != NULL && (v = json_object_get(o, "crossed")) != NULL)
		re->crossed = json_number_value(v);
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
