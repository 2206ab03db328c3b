/**
 * DOC: The client and the server with a relay between them that splits and
 * delays bytes at drawn places, and cuts: what comes out is what went in, or
 * visibly broken.
 */

#include "gate.h"
#include "regress.h"
#include "tcp.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LONGEST_US (30 * MH_US_PER_S)
#define SEEDS 8
#define CALLS 60
#define AT_ONCE 4
#define MOST_BODY 20000
#define MOST_PART 3000
/* Bytes that a relay holds for one side before it stops reading the other. */
#define MOST_HELD (32U << 10)

struct relay;

/** struct side - one end of a relay's pair, and what is to leave by it. */
struct side {
	struct relay *r;
	int fd;
	GString *out;
	bool ended; /* the other side sends no more */
	struct mh_timer *later;
};

struct relay {
	struct play *p;
	struct side caller;
	struct side server;
	int64_t cut_after; /* bytes to the caller; below 0: never */
};

/** struct plan - what a request's number says of it. */
struct plan {
	uint32_t n;
	bool old; /* HTTP/1.0 */
	bool sends_chunks;
	size_t asked; /* bytes of the request's body */
	bool told; /* the answer has a length */
	size_t answered;
	bool breaks; /* behind half of the answer */
};

struct answer {
	struct play *p;
	struct plan plan;
	struct mh_hreq *q;
	size_t off;
	struct mh_timer *later;
};

struct ask {
	struct play *p;
	struct plan plan;
	GString *got;
};

/** struct play - one seed. */
struct play {
	uint32_t seed;
	GRand *rand;
	bool cuts;
	bool hard; /* a cut is a reset */
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hserve *s;
	struct mh_hcalls *calls;
	char addr[32];
	int listen_fd;
	GHashTable *relays; /* set of struct relay */
	GHashTable *answers; /* set of struct answer */
	uint32_t begun;
	uint32_t ended;
	uint32_t whole;
	uint32_t wrong;
};

/*
 * An answer to HTTP/1.0 may end with the connection; cut by a close in order
 * it is whole by the protocol.
 */
static void
draw(const struct play *play, struct plan *p, uint32_t n)
{
	GRand *g = g_rand_new_with_seed(n);

	p->n = n;
	p->old = g_rand_int_range(g, 0, 4) == 0 && (play->hard || !play->cuts);
	p->sends_chunks = !p->old && g_rand_boolean(g);
	p->asked = (size_t)g_rand_int_range(g, 0, MOST_PART);
	p->told = g_rand_boolean(g);
	p->answered = (size_t)g_rand_int_range(g, 0, MOST_BODY);
	if (g_rand_int_range(g, 0, 6) == 0)
		p->answered = 0;
	/* One without a body has its end in its head. */
	p->breaks =
	    g_rand_int_range(g, 0, 5) == 0 && (p->answered > 0 || !p->told);
	g_rand_free(g);
}

/* The bytes of a body; some of them look like lines, sizes and heads. */
static char *
bytes_of(uint32_t n, size_t len)
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
wrong(struct play *p, const struct plan *plan, const char *what)
{
	fprintf(
	    stderr, "relay: seed %u, request %u: %s\n", p->seed, plan->n, what);
	p->wrong++;
}

/* the relay */

static void on_side(void *arg, bool readable, bool writable);

static void
close_side(struct side *s, bool hard)
{
	struct linger l = { 1, 0 };

	mh_timer_stop(s->r->p->k, &s->later);
	if (hard)
		setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	mh_loop_fd_close(s->r->p->loop, s->fd);
	close(s->fd);
	g_string_free(s->out, TRUE);
}

static void
close_relay(struct relay *r, bool hard)
{
	close_side(&r->caller, hard);
	close_side(&r->server, hard);
	g_hash_table_remove(r->p->relays, r);
	g_free(r);
}

static struct side *
other_side(struct side *s)
{
	return s == &s->r->caller ? &s->r->server : &s->r->caller;
}

static void
want(struct side *s)
{
	struct side *o = other_side(s);

	mh_loop_fd(s->r->p->loop, s->fd, !o->ended && o->out->len < MOST_HELD,
	    false, on_side, s);
}

static void on_later(void *arg);

static void
go_on(struct side *s)
{
	struct play *p = s->r->p;

	if (s->later == NULL && (s->out->len > 0 || s->ended))
		s->later = mh_timer_start(
		    p->k, g_rand_int_range(p->rand, 0, 300), on_later, s);
}

/* Sends some of what is held; returns false if the relay has ended. */
static bool
send_some(struct side *s)
{
	struct relay *r = s->r;
	size_t most = (size_t)g_rand_int_range(r->p->rand, 1, MOST_PART);
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
			close_relay(r, r->p->hard);
			return false;
		}
	}
	return true;
}

static void
on_later(void *arg)
{
	struct side *s = arg;

	s->later = NULL;
	if (s->out->len > 0 && !send_some(s))
		return;
	if (s->out->len == 0 && s->ended) {
		shutdown(s->fd, SHUT_WR);
		if (other_side(s)->ended && other_side(s)->out->len == 0)
			close_relay(s->r, false);
		return;
	}
	want(other_side(s));
	go_on(s);
}

static void
on_side(void *arg, bool readable, bool writable)
{
	struct side *s = arg;
	struct side *o = other_side(s);
	char buf[MOST_PART];
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
	want(s);
	go_on(o);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct play *p = arg;
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
	    ? g_rand_int_range(p->rand, 1, 3 * MOST_BODY)
	    : -1;
	g_hash_table_add(p->relays, r);
	want(&r->caller);
	want(&r->server);
}

/* the server */

static void
write_part(void *arg)
{
	struct answer *a = arg;
	struct play *p = a->p;
	size_t half = a->plan.breaks ? a->plan.answered / 2 : a->plan.answered;
	size_t part = (size_t)g_rand_int_range(p->rand, 1, MOST_PART);
	size_t n = MIN(half - a->off, part);
	char *bytes = bytes_of(a->plan.n, a->plan.answered);

	a->later = NULL;
	mh_hreq_write(a->q, bytes + a->off, n);
	g_free(bytes);
	a->off += n;
	if (a->off < half) {
		a->later = mh_timer_start(
		    p->k, g_rand_int_range(p->rand, 0, 300), write_part, a);
		return;
	}
	if (a->plan.breaks)
		mh_hreq_break(a->q);
	else
		mh_hreq_end(a->q);
	g_hash_table_remove(p->answers, a);
	g_free(a);
}

static void
on_request(void *arg, struct mh_hreq *q)
{
	struct play *p = arg;
	struct answer *a = g_new0(struct answer, 1);
	const GByteArray *body = mh_hreq_body(q);
	struct mh_headers *h = mh_headers_create();
	const char *id = mh_hreq_target(q) + 1;
	char *asked;

	draw(p, &a->plan, (uint32_t)g_ascii_strtoull(id, NULL, 10));
	asked = bytes_of(a->plan.n + 1, a->plan.asked);
	if (body->len != a->plan.asked ||
	    (body->len > 0 && memcmp(body->data, asked, body->len) != 0))
		wrong(p, &a->plan, "the server got another body");
	g_free(asked);
	a->p = p;
	a->q = q;
	g_hash_table_add(p->answers, a);
	mh_hreq_set_data(q, a);
	mh_headers_add(h, "X-Id", id);
	mh_hreq_head(q, 200, h, a->plan.told ? (int64_t)a->plan.answered : -1);
	mh_headers_destroy(h);
	write_part(a);
}

static void
on_gone(void *arg, struct mh_hreq *q)
{
	struct play *p = arg;
	struct answer *a = mh_hreq_data(q);

	mh_timer_stop(p->k, &a->later);
	g_hash_table_remove(p->answers, a);
	g_free(a);
}

/* the client */

static void ask(struct play *p);

static void
on_head(void *arg, uint32_t status, const struct mh_headers *h, int64_t length)
{
	struct ask *a = arg;
	char id[16];

	g_snprintf(id, sizeof(id), "%u", a->plan.n);
	if (status != 200 || g_strcmp0(mh_headers_get(h, "X-Id"), id) != 0)
		wrong(a->p, &a->plan, "another answer");
	if (length != (a->plan.told ? (int64_t)a->plan.answered : -1))
		wrong(a->p, &a->plan, "another length");
}

static void
on_data(void *arg, const char *data, size_t len)
{
	struct ask *a = arg;

	g_string_append_len(a->got, data, (gssize)len);
}

static void
on_done(void *arg, enum mh_hcall_end end)
{
	struct ask *a = arg;
	struct play *p = a->p;
	char *bytes = bytes_of(a->plan.n, a->plan.answered);
	bool all = a->got->len == a->plan.answered;
	bool whole = end == MH_CALL_WHOLE;

	if (a->got->len > a->plan.answered ||
	    memcmp(a->got->str, bytes, a->got->len) != 0)
		wrong(p, &a->plan, "other bytes");
	if (whole && (!all || a->plan.breaks))
		wrong(p, &a->plan, "half of it, or broken, and whole");
	if (!whole && !a->plan.breaks && !p->cuts)
		wrong(p, &a->plan, "not whole, and nothing broke");
	p->whole += whole;
	p->ended++;
	g_free(bytes);
	g_string_free(a->got, TRUE);
	g_free(a);
	if (p->begun < CALLS)
		ask(p);
	else if (p->ended == CALLS)
		mh_loop_stop(p->loop);
}

static GBytes *
text_of(const struct plan *p)
{
	GString *g = g_string_new(NULL);
	char *body = bytes_of(p->n + 1, p->asked);

	g_string_printf(g, "POST /%u HTTP/1.%d\r\nHost: h\r\n", p->n, !p->old);
	if (p->sends_chunks && p->asked > 0)
		g_string_append_printf(
		    g, "Transfer-Encoding: chunked\r\n\r\n1\r\n%.1s\r\n", body);
	else
		g_string_append_printf(
		    g, "Content-Length: %zu\r\n\r\n", p->asked);
	if (p->sends_chunks && p->asked > 1)
		g_string_append_printf(g, "%zx;x\r\n", p->asked - 1);
	if (p->sends_chunks && p->asked > 0)
		g_string_append_len(g, body + 1, (gssize)p->asked - 1);
	else
		g_string_append_len(g, body, (gssize)p->asked);
	if (p->sends_chunks && p->asked > 1)
		g_string_append(g, "\r\n");
	if (p->sends_chunks && p->asked > 0)
		g_string_append(g, "0\r\n\r\n");
	g_free(body);
	return g_string_free_to_bytes(g);
}

static void
ask(struct play *p)
{
	struct ask *a = g_new0(struct ask, 1);
	struct mh_hcall_args args = { .addr = p->addr,
		.peer = "peer",
		.echo_name = "X-Id",
		.fns = { on_head, on_data, on_done },
		.arg = a };
	char id[16];

	a->p = p;
	a->got = g_string_new(NULL);
	draw(p, &a->plan, p->seed * 1000 + p->begun++);
	g_snprintf(id, sizeof(id), "%u", a->plan.n);
	args.echo = id;
	args.text = text_of(&a->plan);
	mh_hcalls_start(p->calls, &args);
	g_bytes_unref(args.text);
}

static struct play *
play_create(uint32_t seed, bool cuts)
{
	struct play *p = g_new0(struct play, 1);
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 1024, MOST_PART, LONGEST_US, LONGEST_US },
		.on_request = on_request,
		.on_gone = on_gone,
		.arg = p };

	p->seed = seed;
	p->cuts = cuts;
	p->hard = seed % 2 == 1;
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
play_destroy(struct play *p)
{
	GList *all = g_hash_table_get_keys(p->answers);

	for (GList *l = all; l != NULL; l = l->next)
		on_gone(p, ((struct answer *)l->data)->q);
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
play(uint32_t seed, bool cuts)
{
	struct play *p = play_create(seed, cuts);
	bool in_time;

	for (int i = 0; i < AT_ONCE; i++)
		ask(p);
	in_time = run_most(p->k, p->loop, LONGEST_US);
	if (!in_time)
		fprintf(stderr, "relay: seed %u: %u of %u ended\n", seed,
		    p->ended, CALLS);
	CU_ASSERT_TRUE(in_time);
	CU_ASSERT_EQUAL(p->wrong, 0);
	/* Else the seed shows nothing. */
	CU_ASSERT(p->whole > CALLS / 4);
	play_destroy(p);
}

/* Bytes are lost, doubled or mixed where TCP splits them. */
static void
test_split(void)
{
	for (uint32_t s = regress_first(1); s <= regress_last(SEEDS); s++)
		play(s, false);
}

/* An answer that was cut on the way looks whole. */
static void
test_cut(void)
{
	for (uint32_t s = regress_first(1); s <= regress_last(SEEDS); s++)
		play(s, true);
}

const struct test tests_relay[] = {
	{ "relay: split and delayed", test_split },
	{ "relay: split, delayed and cut", test_cut },
	{ NULL, NULL },
};
