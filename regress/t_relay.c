/**
 * DOC: The client and the server, connected through a relay that splits and
 * delays bytes at random places and cuts connections.  Each response must
 * arrive unchanged or be reported as broken.
 */

#include "gate.h"
#include "regress.h"
#include "tcp.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (30 * MH_US_PER_S)
#define SEEDS 8
#define CALLS 60
#define CONCURRENT 4
#define MAX_BODY 20000
#define MAX_PART 3000
/* Bytes that a relay buffers for one side before it stops reading the other. */
#define MAX_BUFFERED (32U << 10)

struct relay;

/** struct side - one connection of a relay, and the bytes to be sent on it. */
struct side {
	struct relay *r;
	int fd;
	GString *out;
	bool ended; /* end of file on the other side */
	struct mh_timer *timer;
};

struct relay {
	struct session *p;
	struct side caller;
	struct side server;
	int64_t cut_after; /* bytes sent to the caller; < 0: never */
};

/** struct plan - properties of a request, derived from its number. */
struct plan {
	uint32_t n;
	bool http10;
	bool request_chunked;
	size_t request_bytes; /* of the body */
	bool has_length; /* the response declares its length */
	size_t response_bytes; /* of the body */
	bool aborts; /* after half of the response */
};

struct answer {
	struct session *p;
	struct plan plan;
	struct mh_hreq *q;
	size_t off;
	struct mh_timer *timer;
};

struct call {
	struct session *p;
	struct plan plan;
	GString *got;
};

/** struct session - the calls of one seed. */
struct session {
	uint32_t seed;
	GRand *rand;
	bool cuts;
	bool with_reset; /* a cut is a reset */
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hserve *s;
	struct mh_hcalls *calls;
	char addr[32];
	int listen_fd;
	GHashTable *relays; /* set of struct relay */
	GHashTable *answers; /* set of struct answer */
	uint32_t started;
	uint32_t ended;
	uint32_t complete;
	uint32_t faults;
};

/*
 * A response to HTTP/1.0 may end with the connection, so one that is cut by an
 * orderly close is complete by the protocol.  Sessions that cut in this way
 * send no HTTP/1.0 requests.
 */
static void
draw_plan(const struct session *s, struct plan *p, uint32_t n)
{
	GRand *g = g_rand_new_with_seed(n);

	p->n = n;
	p->http10 =
	    g_rand_int_range(g, 0, 4) == 0 && (s->with_reset || !s->cuts);
	p->request_chunked = !p->http10 && g_rand_boolean(g);
	p->request_bytes = (size_t)g_rand_int_range(g, 0, MAX_PART);
	p->has_length = g_rand_boolean(g);
	p->response_bytes = (size_t)g_rand_int_range(g, 0, MAX_BODY);
	if (g_rand_int_range(g, 0, 6) == 0)
		p->response_bytes = 0;
	/* Without a body the head is the whole response. */
	p->aborts = g_rand_int_range(g, 0, 5) == 0 &&
	    (p->response_bytes > 0 || !p->has_length);
	g_rand_free(g);
}

/* The bytes of a body; some look like line ends, chunk sizes and heads. */
static char *
body_of(uint32_t n, size_t len)
{
	static const char *const parts[] = { "\r\n", "0\r\n\r\n", "\r", "x",
		"HTTP/1.1 200 OK\r\n", "\n\n", "5;y\r\n", "data: z\n\n" };
	GRand *g = g_rand_new_with_seed(n);
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "%u", n);
	while (s->len < len)
		g_string_append(
		    s, parts[g_rand_int_range(g, 0, G_N_ELEMENTS(parts))]);
	g_string_truncate(s, len);
	g_rand_free(g);
	return g_string_free(s, FALSE);
}

static void
report_fault(struct session *p, const struct plan *plan, const char *what)
{
	fprintf(
	    stderr, "relay: seed %u, request %u: %s\n", p->seed, plan->n, what);
	p->faults++;
}

/* the relay */

static void on_side(void *arg, bool readable, bool writable);

static void
close_side(struct side *s, bool with_reset)
{
	struct linger l = { 1, 0 };

	mh_timer_stop(s->r->p->k, &s->timer);
	if (with_reset)
		setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	mh_loop_fd_close(s->r->p->loop, s->fd);
	close(s->fd);
	g_string_free(s->out, TRUE);
}

static void
close_relay(struct relay *r, bool with_reset)
{
	close_side(&r->caller, with_reset);
	close_side(&r->server, with_reset);
	g_hash_table_remove(r->p->relays, r);
	g_free(r);
}

static struct side *
other_side(struct side *s)
{
	return s == &s->r->caller ? &s->r->server : &s->r->caller;
}

static void
update_read(struct side *s)
{
	struct side *o = other_side(s);

	mh_loop_fd(s->r->p->loop, s->fd,
	    !o->ended && o->out->len < MAX_BUFFERED, false, on_side, s);
}

static void on_timer(void *arg);

static void
schedule_send(struct side *s)
{
	struct session *p = s->r->p;

	if (s->timer == NULL && (s->out->len > 0 || s->ended))
		mh_timer_set(p->k, &s->timer, g_rand_int_range(p->rand, 0, 300),
		    on_timer, s);
}

/* Sends some of the buffered bytes; returns false if the relay was closed. */
static bool
send_some(struct side *s)
{
	struct relay *r = s->r;
	size_t most = (size_t)g_rand_int_range(r->p->rand, 1, MAX_PART);
	size_t n = MIN(s->out->len, most);
	ssize_t sent;

	if (s == &r->caller && r->cut_after >= 0)
		n = MIN(n, (size_t)r->cut_after);
	sent = send(s->fd, s->out->str, n, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent < 0 && errno != EAGAIN) {
		close_relay(r, true);
		return false;
	}
	if (sent > 0)
		g_string_erase(s->out, 0, sent);
	if (s == &r->caller && r->cut_after >= 0) {
		r->cut_after -= MAX(sent, 0);
		if (r->cut_after == 0) {
			close_relay(r, r->p->with_reset);
			return false;
		}
	}
	return true;
}

static void
on_timer(void *arg)
{
	struct side *s = arg;

	if (s->out->len > 0 && !send_some(s))
		return;
	if (s->out->len == 0 && s->ended) {
		shutdown(s->fd, SHUT_WR);
		if (other_side(s)->ended && other_side(s)->out->len == 0)
			close_relay(s->r, false);
		return;
	}
	update_read(other_side(s));
	schedule_send(s);
}

static void
on_side(void *arg, bool readable, bool writable)
{
	struct side *s = arg;
	struct side *o = other_side(s);
	char buf[MAX_PART];
	ssize_t n = recv(s->fd, buf,
	    (size_t)g_rand_int_range(s->r->p->rand, 1, sizeof(buf)),
	    MSG_DONTWAIT);

	(void)readable;
	(void)writable;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		close_relay(s->r, true);
		return;
	}
	if (n == 0)
		o->ended = true;
	g_string_append_len(o->out, buf, n);
	update_read(s);
	schedule_send(o);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct session *p = arg;
	struct relay *r = g_new0(struct relay, 1);

	(void)readable;
	(void)writable;
	r->p = p;
	r->caller.r = r->server.r = r;
	r->caller.fd = accept(p->listen_fd, NULL, NULL);
	r->server.fd = tcp_dial(mh_hserve_port(p->s));
	r->caller.out = g_string_new(NULL);
	r->server.out = g_string_new(NULL);
	r->cut_after = p->cuts && g_rand_boolean(p->rand)
	    ? g_rand_int_range(p->rand, 1, 3 * MAX_BODY)
	    : -1;
	g_hash_table_add(p->relays, r);
	update_read(&r->caller);
	update_read(&r->server);
}

/* the server */

static void
write_part(void *arg)
{
	struct answer *a = arg;
	struct session *p = a->p;
	size_t half = a->plan.aborts ? a->plan.response_bytes / 2
				     : a->plan.response_bytes;
	size_t part = (size_t)g_rand_int_range(p->rand, 1, MAX_PART);
	size_t n = MIN(half - a->off, part);
	char *bytes = body_of(a->plan.n, a->plan.response_bytes);

	mh_hreq_write(a->q, bytes + a->off, n);
	g_free(bytes);
	a->off += n;
	if (a->off < half) {
		mh_timer_set(p->k, &a->timer, g_rand_int_range(p->rand, 0, 300),
		    write_part, a);
		return;
	}
	if (a->plan.aborts)
		mh_hreq_abort(a->q);
	else
		mh_hreq_end(a->q);
	g_hash_table_remove(p->answers, a);
	g_free(a);
}

static void
on_request(void *arg, struct mh_hreq *q)
{
	struct session *p = arg;
	struct answer *a = g_new0(struct answer, 1);
	const GByteArray *body = mh_hreq_body(q);
	struct mh_headers *h = mh_headers_create();
	const char *id = mh_hreq_target(q) + 1;
	char *expected;

	draw_plan(p, &a->plan, (uint32_t)g_ascii_strtoull(id, NULL, 10));
	expected = body_of(a->plan.n + 1, a->plan.request_bytes);
	if (body->len != a->plan.request_bytes ||
	    (body->len > 0 && memcmp(body->data, expected, body->len) != 0))
		report_fault(p, &a->plan, "the server received another body");
	g_free(expected);
	a->p = p;
	a->q = q;
	g_hash_table_add(p->answers, a);
	mh_hreq_set_data(q, a);
	mh_headers_add(h, "X-Id", id);
	mh_hreq_head(q, 200, h,
	    a->plan.has_length ? (int64_t)a->plan.response_bytes : -1);
	mh_headers_destroy(h);
	write_part(a);
}

static void
on_disconnect(void *arg, struct mh_hreq *q)
{
	struct session *p = arg;
	struct answer *a = mh_hreq_data(q);

	mh_timer_stop(p->k, &a->timer);
	g_hash_table_remove(p->answers, a);
	g_free(a);
}

/* the client */

static void start_call(struct session *p);

static void
on_head(void *arg, uint32_t status, const struct mh_headers *h, int64_t length)
{
	struct call *a = arg;
	char id[16];

	g_snprintf(id, sizeof(id), "%u", a->plan.n);
	if (status != 200 || g_strcmp0(mh_headers_get(h, "X-Id"), id) != 0)
		report_fault(a->p, &a->plan, "response of another call");
	if (length !=
	    (a->plan.has_length ? (int64_t)a->plan.response_bytes : -1))
		report_fault(a->p, &a->plan, "another length");
}

static void
on_data(void *arg, const char *data, size_t len)
{
	struct call *a = arg;

	g_string_append_len(a->got, data, (gssize)len);
}

static void
on_done(void *arg, enum mh_hcall_outcome end)
{
	struct call *a = arg;
	struct session *p = a->p;
	char *bytes = body_of(a->plan.n, a->plan.response_bytes);
	bool all = a->got->len == a->plan.response_bytes;
	bool complete = end == MH_CALL_COMPLETE;

	if (a->got->len > a->plan.response_bytes ||
	    memcmp(a->got->str, bytes, a->got->len) != 0)
		report_fault(p, &a->plan, "other bytes");
	if (complete && (!all || a->plan.aborts))
		report_fault(
		    p, &a->plan, "truncated or aborted, but reported complete");
	if (!complete && !a->plan.aborts && !p->cuts)
		report_fault(
		    p, &a->plan, "reported broken, but nothing was cut");
	p->complete += complete;
	p->ended++;
	g_free(bytes);
	g_string_free(a->got, TRUE);
	g_free(a);
	if (p->started < CALLS)
		start_call(p);
	else if (p->ended == CALLS)
		mh_loop_stop(p->loop);
}

static GBytes *
request_of(const struct plan *p)
{
	GString *g = g_string_new(NULL);
	char *body = body_of(p->n + 1, p->request_bytes);

	g_string_printf(
	    g, "POST /%u HTTP/1.%d\r\nHost: h\r\n", p->n, !p->http10);
	if (p->request_chunked && p->request_bytes > 0)
		g_string_append_printf(
		    g, "Transfer-Encoding: chunked\r\n\r\n1\r\n%.1s\r\n", body);
	else
		g_string_append_printf(
		    g, "Content-Length: %zu\r\n\r\n", p->request_bytes);
	if (p->request_chunked && p->request_bytes > 1)
		g_string_append_printf(g, "%zx;x\r\n", p->request_bytes - 1);
	if (p->request_chunked && p->request_bytes > 0)
		g_string_append_len(g, body + 1, (gssize)p->request_bytes - 1);
	else
		g_string_append_len(g, body, (gssize)p->request_bytes);
	if (p->request_chunked && p->request_bytes > 1)
		g_string_append(g, "\r\n");
	if (p->request_chunked && p->request_bytes > 0)
		g_string_append(g, "0\r\n\r\n");
	g_free(body);
	return g_string_free_to_bytes(g);
}

static void
start_call(struct session *p)
{
	struct call *a = g_new0(struct call, 1);
	struct mh_hcall_args args = { .addr = p->addr,
		.peer = "peer",
		.echo_name = "X-Id",
		.fns = { on_head, on_data, on_done },
		.arg = a };
	char id[16];

	a->p = p;
	a->got = g_string_new(NULL);
	draw_plan(p, &a->plan, p->seed * 1000 + p->started++);
	g_snprintf(id, sizeof(id), "%u", a->plan.n);
	args.echo = id;
	args.text = request_of(&a->plan);
	mh_hcalls_start(p->calls, &args);
	g_bytes_unref(args.text);
}

static struct session *
session_create(uint32_t seed, bool cuts)
{
	struct session *p = g_new0(struct session, 1);
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 1024, MAX_PART, TIMEOUT_US, TIMEOUT_US },
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.arg = p };

	p->seed = seed;
	p->cuts = cuts;
	p->with_reset = seed % 2 == 1;
	p->rand = g_rand_new_with_seed(seed);
	p->k = mh_kern_create(seed);
	p->loop = mh_loop_create(p->k, NULL);
	p->s = mh_hserve_create(p->loop, &a, NULL);
	p->calls = mh_hcalls_create(p->loop);
	p->relays = g_hash_table_new(NULL, NULL);
	p->answers = g_hash_table_new(NULL, NULL);
	p->listen_fd = tcp_listen(p->addr);
	mh_loop_fd(p->loop, p->listen_fd, true, false, on_accept, p);
	return p;
}

static void
session_destroy(struct session *p)
{
	GList *all = g_hash_table_get_keys(p->answers);

	for (GList *l = all; l != NULL; l = l->next)
		on_disconnect(p, ((struct answer *)l->data)->q);
	g_list_free(all);
	all = g_hash_table_get_keys(p->relays);
	for (GList *l = all; l != NULL; l = l->next)
		close_relay(l->data, true);
	g_list_free(all);
	mh_hcalls_destroy(p->calls);
	mh_hserve_destroy(p->s);
	mh_loop_fd_close(p->loop, p->listen_fd);
	close(p->listen_fd);
	mh_loop_destroy(p->loop);
	mh_kern_destroy(p->k);
	g_hash_table_destroy(p->relays);
	g_hash_table_destroy(p->answers);
	g_rand_free(p->rand);
	g_free(p);
}

static void
run_session(uint32_t seed, bool cuts)
{
	struct session *p = session_create(seed, cuts);
	bool in_time;

	for (int i = 0; i < CONCURRENT; i++)
		start_call(p);
	in_time = run_with_timeout(p->k, p->loop, TIMEOUT_US);
	if (!in_time)
		fprintf(stderr, "relay: seed %u: %u of %u ended\n", seed,
		    p->ended, CALLS);
	CU_ASSERT_TRUE(in_time);
	CU_ASSERT_EQUAL(p->faults, 0);
	/* Otherwise the seed tests nothing. */
	CU_ASSERT(p->complete > CALLS / 4);
	session_destroy(p);
}

/* Guards against bytes lost, repeated or mixed up where TCP splits them. */
static void
test_split(void)
{
	for (uint32_t s = regress_first_seed(1); s <= regress_last_seed(SEEDS);
	     s++)
		run_session(s, false);
}

/* Guards against a response that is cut in transit and looks complete. */
static void
test_cut(void)
{
	for (uint32_t s = regress_first_seed(1); s <= regress_last_seed(SEEDS);
	     s++)
		run_session(s, true);
}

const struct test tests_relay[] = {
	{ "relay: split and delayed", test_split },
	{ "relay: split, delayed and cut", test_cut },
	{ NULL, NULL },
};
