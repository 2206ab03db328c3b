/**
 * DOC: The shutdown of a process: what its callers and peers get for the calls,
 * requests and partitions that it still has.
 */

#include "child.h"
#include "net.h"
#include "regress.h"
#include "tcp.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CHECK_US (50 * MH_US_PER_MS) /* the interval in run.c */
#define SIDE_LINGER_US (500 * MH_US_PER_MS) /* as in marlsided.c */
#define GRACE_US (30 * MH_US_PER_S) /* the default */
#define SLOW_US (40 * MH_US_PER_S) /* a call that outlasts the drain */

struct drain_world {
	struct net *n;
	struct net_node *side;
	struct net_node *e[2];
};

/* A document in which every class and stage may take longer than a drain. */
static char *
long_deadline_doc(void)
{
	GString *s = g_string_new(net_doc);
	char *doc;

	g_string_replace(s, "deadline_ms: 2000", "deadline_ms: 60000", 0);
	g_string_replace(s, "deadline_ms: 4000", "deadline_ms: 60000", 0);
	g_string_replace(s, "pool: enc, repeat: safe",
	    "pool: enc, repeat: safe, timeout_ms: 60000", 0);
	doc = s->str;
	g_string_free(s, FALSE);
	return doc;
}

static void
make(struct drain_world *w, uint32_t seed, const char *pool)
{
	char *doc = long_deadline_doc();

	w->n = net_create(seed);
	net_apply(w->n, 1, doc);
	w->side = net_side(w->n, "side1", pool, "a", 1);
	w->side->service_us = SLOW_US;
	w->e[0] = net_entry(w->n, "entry1", "a");
	w->e[1] = net_entry(w->n, "entry2", "b");
	net_run(w->n, 4 * MH_US_PER_S);
	g_free(doc);
}

/* Drains @x as its daemon does, and kills it. */
static void
drain_and_kill(struct net_node *x)
{
	int64_t waited = 0;

	mh_side_drain(x->k, GRACE_US);
	while (waited < SIDE_LINGER_US ||
	    (!mh_side_idle(x->k) && waited < GRACE_US)) {
		net_run(x->net, CHECK_US);
		waited += CHECK_US;
	}
	net_kill(x);
}

static uint64_t
confirm(struct drain_world *w, int entry, const char *key)
{
	struct net_request_args a = { .path = "/v1/pipelines/confirm",
		.idempotency_key = key };
	uint64_t id = net_request(w->e[entry], &a);

	net_run(w->n, 100 * MH_US_PER_MS);
	return id;
}

/*
 * While the KV service is down a side process can't hand over its partitions
 * and exits after 30 s with one at-most-once call running and one queued.
 * Guards against callers that wait beyond the exit, and against the outcome
 * "unknown" for the queued call, which did not run and may be retried.
 */
static void
test_side_ends_with_bookings(void)
{
	struct drain_world w;
	uint64_t runs, same, queued;
	int64_t end;

	make(&w, 1, "book");
	w.n->kv_down = true;
	runs = confirm(&w, 0, "k1");
	same = confirm(&w, 1, "k1");
	queued = confirm(&w, 0, "k2");
	drain_and_kill(w.side);
	end = net_now(w.n);
	net_run(w.n, SLOW_US);
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, runs, "outcome"), "unknown");
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, same, "outcome"), "unknown");
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, queued, "outcome"), "not-run");
	CU_ASSERT(net_response(w.n, runs)->at_us < end);
	CU_ASSERT(net_response(w.n, same)->at_us < end);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 1);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k2"), 0);
	net_destroy(w.n);
}

/*
 * The same with repeatable calls: guards against the outcome "failed" for the
 * queued call, which did not run.
 */
static void
test_side_ends_with_work(void)
{
	struct net_request_args a = { .path = "/v1/pipelines/embed" };
	struct drain_world w;
	uint64_t runs, queued;
	int64_t end;

	make(&w, 2, "enc");
	runs = net_request(w.e[0], &a);
	net_run(w.n, 100 * MH_US_PER_MS);
	queued = net_request(w.e[0], &a);
	net_run(w.n, 100 * MH_US_PER_MS);
	drain_and_kill(w.side);
	end = net_now(w.n);
	net_run(w.n, SLOW_US);
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, runs, "outcome"), "failed");
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, queued, "outcome"), "not-run");
	CU_ASSERT(net_response(w.n, runs)->at_us < end);
	CU_ASSERT(net_response(w.n, queued)->at_us < end);
	CU_ASSERT_EQUAL(w.side->runs, 1);
	net_destroy(w.n);
}

/*
 * Guards against an entry that exits with a lookup of an outcome open, because
 * the drain counts requests only: the caller's connection would close without
 * an answer.  The owner of the key is slow here.
 */
static void
test_entry_waits_for_a_lookup(void)
{
	struct net_request_args a = { .method = "GET",
		.path = "/v1/outcomes/confirm/k1" };
	struct drain_world w;
	uint64_t id;

	make(&w, 3, "book");
	net_drop_frames(w.side, false, true);
	id = net_request(w.e[0], &a);
	net_run(w.n, 10 * MH_US_PER_MS);
	mh_entry_drain(w.e[0]->k, GRACE_US);
	CU_ASSERT_FALSE(net_response(w.n, id)->ended);
	CU_ASSERT_EQUAL(mh_entry_active_count(w.e[0]->k), 1);
	net_run(w.n, 2 * MH_US_PER_S);
	CU_ASSERT_TRUE(net_response(w.n, id)->ended);
	CU_ASSERT_EQUAL(mh_entry_active_count(w.e[0]->k), 0);
	net_destroy(w.n);
}

static void
give_order(struct net_node *x)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_FRAME);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Order o = MH__ORDER__INIT;

	o.fence = 1;
	o.verb = (char *)"load-model";
	o.subject = (char *)"party-8b";
	f.body_case = MH__FRAME__BODY_ORDER;
	f.order = &o;
	m->u.link.conn = 1;
	m->u.link.frame = mh_frame_pack(&f);
	mh_post(x->k, "hub", m);
	net_run(x->net, 100 * MH_US_PER_MS);
}

/*
 * Guards against a side process that exits while its engine executes an
 * operator's order, because the drain counts calls only: marlctl would not
 * learn the result.
 */
static void
test_side_waits_for_an_order(void)
{
	struct drain_world w;

	make(&w, 4, "enc");
	w.side->service_us = 2 * MH_US_PER_S;
	give_order(w.side);
	mh_side_drain(w.side->k, GRACE_US);
	net_run(w.n, 1 * MH_US_PER_S);
	CU_ASSERT_FALSE(mh_side_idle(w.side->k));
	net_run(w.n, 2 * MH_US_PER_S);
	CU_ASSERT_TRUE(mh_side_idle(w.side->k));
	net_destroy(w.n);
}

/*
 * A draining side process hands over a partition to a new one, which gets
 * SIGTERM before the slow KV service has confirmed its ownership.  Guards
 * against the new process exiting with the ledger it received because it owns
 * nothing yet: a retry of a confirmed call would get "unknown".
 */
static void
test_side_waits_for_a_handover(void)
{
	struct net_request_args a = { .path = "/v1/pipelines/confirm",
		.idempotency_key = "k1" };
	uint32_t p = mh_partition_of("acme/k1");
	struct net *n = net_create(5);
	struct net_node *first, *next[2], *to, *e;
	char what[16];
	uint64_t id;

	net_apply(n, 1, net_doc);
	first = net_side(n, "book0", "book", "a", 4);
	e = net_entry(n, "entry1", "a");
	net_run(n, 4 * MH_US_PER_S);
	id = net_request(e, &a);
	net_run(n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(n, id)->status, 200);
	n->kv_latency_us = 1500 * MH_US_PER_MS;
	next[0] = net_side(n, "book1", "book", "a", 4);
	next[1] = net_side(n, "book2", "book", "a", 4);
	for (int i = 0; i < 100 && mh_member_find(first->k, "book2") == NULL;
	     i++)
		net_run(n, CHECK_US);
	mh_side_drain(first->k, GRACE_US);
	net_run(n, 300 * MH_US_PER_MS);
	snprintf(what, sizeof(what), "book/%u", p);
	CU_ASSERT_PTR_NOT_NULL_FATAL(
	    mh_member_pick_side(first->k, "book", what));
	to = strcmp(mh_member_pick_side(first->k, "book", what), "book1") == 0
	    ? next[0]
	    : next[1];
	CU_ASSERT_FALSE(mh_claim_open(to->k, p));
	CU_ASSERT(mh_counter(to->k, "claim_received") > 0);
	drain_and_kill(to);
	net_run(n, 10 * MH_US_PER_S);
	id = net_request(e, &a);
	net_run(n, 3 * MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(net_response_text(n, id, "outcome"), "done");
	CU_ASSERT_EQUAL(net_runs(n, "acme/k1"), 1);
	net_destroy(n);
}

/* a daemon in a child process, over real sockets */

#define ANSWER_BYTES (16U << 20) /* more than socket buffers hold */
#define LINGER_US (100 * MH_US_PER_MS)
#define DRAINED_MS 1000 /* an idle daemon has exited by then */

static void
on_http(void *arg, struct mh_http_req *r)
{
	char *text = g_strnfill(ANSWER_BYTES, 'x');
	GBytes *b = g_bytes_new_take(text, ANSWER_BYTES);

	(void)arg;
	mh_req_reply(r, 200, "text/plain", b);
	g_bytes_unref(b);
}

static bool
d_create(struct mh_daemon *d, GError **err)
{
	struct mh_httpd_args a = { .listen = d->settings.http,
		.on_request = on_http };

	mh_hub_create(d->k);
	d->httpd = mh_httpd_create(d->loop, &a, err);
	return d->httpd != NULL;
}

static void
d_drain(struct mh_daemon *d)
{
	mh_httpd_stop(d->httpd);
}

/* Idle at any time: each request is answered at once. */
static bool
d_idle(struct mh_daemon *d)
{
	(void)d;
	return true;
}

/* Never idle: a request is never answered. */
static bool
d_busy(struct mh_daemon *d)
{
	(void)d;
	return false;
}

static int
run(bool (*idle)(struct mh_daemon *), int argc, char **argv)
{
	const struct mh_daemon_ops ops = { .name = "drained",
		.role = "entry",
		.kind = MH_DAEMON_ENTRY,
		.min_drain_us = LINGER_US,
		.create = d_create,
		.drain = d_drain,
		.idle = idle };

	return mh_daemon_main(&ops, argc, argv);
}

static int
answers(int argc, char **argv)
{
	return run(d_idle, argc, argv);
}

static int
answers_never(int argc, char **argv)
{
	return run(d_busy, argc, argv);
}

/* Sends SIGTERM and waits as long as an idle daemon needs to exit. */
static void
child_drain(struct child *c)
{
	kill(c->pid, SIGTERM);
	poll(NULL, 0, DRAINED_MS);
}

/* Checks that the whole answer comes and that the daemon exits by itself. */
static void
child_check(struct child *c)
{
	const char *body;
	int status = -1;

	while (child_read(c, SIZE_MAX))
		continue;
	body = strstr(c->received->str, "\r\n\r\nx");
	CU_ASSERT_PTR_NOT_NULL(body);
	if (body != NULL)
		CU_ASSERT_EQUAL(strlen(body + 4), ANSWER_BYTES);
	for (int ms = 0;
	     ms < CHILD_TIMEOUT_MS && waitpid(c->pid, &status, WNOHANG) == 0;
	     ms += 10)
		poll(NULL, 0, 10);
	CU_ASSERT_EQUAL(status, 0);
	if (status == -1) {
		kill(c->pid, SIGKILL);
		waitpid(c->pid, &status, 0);
	}
	close(c->fd);
	g_string_free(c->received, TRUE);
}

#define END "Host: h\r\nConnection: close\r\n\r\n"

/*
 * Guards against a daemon that exits in the middle of a long answer on a slow
 * connection, because an answered request no longer counts as open.
 */
static void
test_answer_on_a_slow_line(void)
{
	struct child c;

	child_start(&c, answers);
	child_send(&c, "GET /a HTTP/1.1\r\n" END);
	child_read(&c, 1);
	child_drain(&c);
	child_check(&c);
}

/*
 * Guards against a daemon that exits between the header and the body of a
 * request, because the request is not reported to its handler yet: the
 * connection would close without a status.
 */
static void
test_request_half_sent(void)
{
	struct child c;

	child_start(&c, answers);
	child_send(&c,
	    "POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
	    "Content-Length: 4\r\n" END);
	child_read(&c, 25);
	CU_ASSERT_PTR_NOT_NULL(strstr(c.received->str, " 100 "));
	child_send(&c, "ab");
	child_drain(&c);
	child_send(&c, "cd");
	child_check(&c);
}

#define KILL_S "2" /* seconds, as the supervisor sets it */
#define KILL_MS 2000

/*
 * Guards against a daemon that is still running when its supervisor sends
 * SIGKILL, two seconds after SIGTERM, because a request does not end or a
 * caller does not read its answer.
 */
static void
test_daemon_ends_before_its_kill(void)
{
	struct child busy, unread;

	g_setenv("MARLHOIST_GRACE", KILL_S, TRUE);
	child_start(&busy, answers_never);
	child_start(&unread, answers);
	g_unsetenv("MARLHOIST_GRACE");
	CU_ASSERT_TRUE(child_terminate(&busy, KILL_MS));
	child_send(&unread, "GET /a HTTP/1.1\r\n" END);
	child_read(&unread, 1);
	CU_ASSERT_TRUE(child_terminate(&unread, KILL_MS));
}

#define WAITING 40 /* connections not yet accepted */

/** struct port - an HTTP server in this process and its clients. */
struct port {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_httpd *h;
	struct mh_timer *timeout;
	int fd[WAITING];
	uint32_t answered;
	uint32_t closed;
	uint32_t taken; /* requests given to the handler */
};

static void
on_small(void *arg, struct mh_http_req *r)
{
	GBytes *b = g_bytes_new_static("ok", 2);

	(void)arg;
	mh_req_reply(r, 200, "text/plain", b);
	g_bytes_unref(b);
}

static void
on_answer(void *arg, bool readable, bool writable)
{
	struct port *p = arg;
	char buf[1024];

	(void)readable;
	(void)writable;
	for (int i = 0; i < WAITING; i++) {
		ssize_t n;

		if (p->fd[i] < 0)
			continue;
		n = recv(p->fd[i], buf, sizeof(buf), MSG_DONTWAIT);
		p->answered += n > 0;
		if (n > 0 || (n < 0 && errno == EAGAIN))
			continue;
		mh_loop_fd_close(p->loop, p->fd[i]);
		close(p->fd[i]);
		p->fd[i] = -1;
		p->closed++;
	}
	if (p->closed == WAITING)
		mh_loop_stop(p->loop);
}

static void
on_timeout(void *arg)
{
	struct port *p = arg;

	mh_loop_stop(p->loop);
}

/*
 * Connections in the backlog of the listening socket, with requests sent, when
 * the server stops.  Guards against closing that socket before they are
 * accepted: the kernel resets them, and a load balancer can't tell whether the
 * requests ran.
 */
static void
test_connections_not_yet_accepted(void)
{
	static const char request[] = "GET /a HTTP/1.1\r\n" END;
	struct mh_httpd_args a = { .listen = "127.0.0.1:0",
		.on_request = on_small };
	struct port p = { 0 };

	p.k = mh_kern_create(1);
	p.loop = mh_loop_create(p.k, NULL);
	p.h = mh_httpd_create(p.loop, &a, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(p.h);
	for (int i = 0; i < WAITING; i++) {
		p.fd[i] = tcp_dial(mh_httpd_port(p.h));
		CU_ASSERT(
		    send(p.fd[i], request, strlen(request), MSG_NOSIGNAL) > 0);
		mh_loop_fd(p.loop, p.fd[i], true, false, on_answer, &p);
	}
	mh_httpd_stop(p.h);
	mh_timer_set(
	    p.k, &p.timeout, CHILD_TIMEOUT_MS * MH_US_PER_MS, on_timeout, &p);
	mh_loop_run(p.loop);
	CU_ASSERT_EQUAL(p.closed, WAITING);
	CU_ASSERT_EQUAL(p.answered, WAITING);
	mh_timer_stop(p.k, &p.timeout);
	mh_httpd_destroy(p.h);
	mh_kern_destroy(p.k);
	mh_loop_destroy(p.loop);
}

/* Takes a request and never answers it. */
static void
on_taken(void *arg, struct mh_http_req *r)
{
	struct port *p = arg;

	(void)r;
	p->taken++;
}

/*
 * A load balancer sends a request on a kept connection just when the server is
 * destroyed.  Guards against passing it to the handler, which is destroyed by
 * then: the HTTP library aborts the process if a request stays suspended.
 */
static void
test_request_at_the_close(void)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	struct port p = { 0 };
	struct mh_httpd_args a = {
		.listen = "127.0.0.1:0", .on_request = on_taken, .arg = &p
	};
	char buf[1024] = "";

	p.k = mh_kern_create(1);
	p.loop = mh_loop_create(p.k, NULL);
	p.h = mh_httpd_create(p.loop, &a, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(p.h);
	p.fd[0] = tcp_dial(mh_httpd_port(p.h));
	mh_httpd_stop(p.h);
	CU_ASSERT(send(p.fd[0], request, strlen(request), MSG_NOSIGNAL) > 0);
	mh_httpd_destroy(p.h);
	CU_ASSERT(recv(p.fd[0], buf, sizeof(buf) - 1, 0) > 0);
	CU_ASSERT_TRUE(g_str_has_prefix(buf, "HTTP/1.1 503"));
	CU_ASSERT_EQUAL(p.taken, 0);
	close(p.fd[0]);
	mh_kern_destroy(p.k);
	mh_loop_destroy(p.loop);
}

const struct test tests_drain[] = {
	{ "side_ends_with_bookings", test_side_ends_with_bookings },
	{ "side_ends_with_work", test_side_ends_with_work },
	{ "entry_waits_for_a_lookup", test_entry_waits_for_a_lookup },
	{ "side_waits_for_an_order", test_side_waits_for_an_order },
	{ "side_waits_for_a_handover", test_side_waits_for_a_handover },
	{ "answer_on_a_slow_line", test_answer_on_a_slow_line },
	{ "request_half_sent", test_request_half_sent },
	{ "daemon_ends_before_its_kill", test_daemon_ends_before_its_kill },
	{ "connections_not_yet_accepted", test_connections_not_yet_accepted },
	{ "request_at_the_close", test_request_at_the_close },
	{ NULL, NULL },
};
