/**
 * DOC: What callers get from an entry that was told to stop.
 */

#include "gaterig.h"
#include "regress.h"
#include "tcp.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* What its callers give a chat reply; an entry that leaves has less. */
#define LONG_DEADLINE_US (20 * S)
#define LEFT_US (7 * S)

/* A chat reply: three stages of work, then a stream that can't be resumed. */
static struct mh_gask *
chat(struct grig *r)
{
	struct mh_groute *t = mh_gconf_named(r->conf, "stream");

	t->n_stages = 1;
	if (t->stages[0].pool == NULL)
		t->stages[0].pool = g_strdup("work");
	t->timeout_us = LONG_DEADLINE_US;
	return grig_ask(r, "/stream/x", LONG_DEADLINE_US);
}

/* The stage work is done, the endpoint answers and its stream takes @us. */
static void
stream(struct grig *r, int64_t us)
{
	struct mh_gans a = { .status = 200, .genuine = true, .events = true };

	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_PASS);
	mh_gate_progress(r->g, r->cur);
	grig_pass(r, us);
	mh_gate_end(r->g, r->cur, MH_CALL_WHOLE);
}

/*
 * Parents' chats ended in a closed connection, with neither an answer nor a
 * refusal, each time an entry was restarted under load.  The entry had taken
 * the chat just before it was told to stop, or just after; its stage work was
 * promised in one second and still waited when the entry ended 7.6 seconds
 * later, since a request was bound by its own deadline of 20 seconds alone.
 *
 *     ev=drained after_ms=7603 open=4
 *     ev=cut state=stages stages_made=1/3 waited_ms=6238 left_ms=11576 tries=0
 *     ev=callers-cut unanswered=4 unsent=0 half_read=0
 */
static void
test_waiting_answered(void)
{
	struct grig *r = grig_create(2);

	chat(r);
	mh_gate_leaving(r->g, LEFT_US);
	grig_pass(r, 500 * MS);
	chat(r);
	CU_ASSERT_EQUAL(r->jobs, 2);
	grig_pass(r, LEFT_US - 500 * MS);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	CU_ASSERT_EQUAL(r->refused, 2);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT(r->retry_us > 0);
	CU_ASSERT_EQUAL(r->dropped, 2); /* the home works for nobody */
	CU_ASSERT_EQUAL(r->sends, 0);
	grig_destroy(r);
}

/*
 * A booking confirmation was at an endpoint that stayed silent when its entry
 * ended: its caller could not know whether it had run.  It is told so, and
 * not that it had not run.
 */
static void
test_sent_answered(void)
{
	struct grig *r = grig_create(2);

	grig_ask(r, "/once/x", 6 * S);
	mh_gate_leaving(r->g, 3 * S);
	grig_pass(r, 3 * S);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_RUN_TIMEOUT);
	CU_ASSERT_EQUAL(r->retry_us, 0);
	grig_destroy(r);
}

/*
 * A stream that is still running when its entry ends breaks off visibly, by
 * the gate's decision while its bytes can still leave, and not by the end of
 * the process.
 */
static void
test_stream_broken_off(void)
{
	struct grig *r = grig_create(2);
	struct mh_gans a = { .status = 200, .genuine = true, .events = true };

	chat(r);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_PASS);
	mh_gate_progress(r->g, r->cur);
	mh_gate_leaving(r->g, LEFT_US);
	grig_pass(r, LEFT_US - 1 * MS);
	CU_ASSERT_EQUAL(r->broken, 0);
	grig_pass(r, 1 * MS);
	CU_ASSERT_EQUAL(r->broken, 1);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	grig_destroy(r);
}

/*
 * Chats lately took three seconds to stream.  One that still waits for its
 * stage work four seconds before its entry ends can be answered; three
 * seconds before, it would be cut in the middle, so it is refused there and
 * then, while its caller has time to ask another entry.
 */
static void
test_refused_while_it_helps(void)
{
	struct grig *r = grig_create(2);

	chat(r);
	stream(r, 3 * S);
	CU_ASSERT_EQUAL(r->finished, 1);
	chat(r);
	chat(r);
	mh_gate_leaving(r->g, LEFT_US);
	grig_pass(r, LEFT_US - 3500 * MS);
	CU_ASSERT_EQUAL(r->refused, 0);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_pass(r, 600 * MS);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 1);
	grig_destroy(r);
}

/*
 * One stream of twelve seconds, among many of one, and an entry that was told
 * to stop refused all that waited, though seven seconds were left to it: what
 * an answer takes went by the longest one.
 */
static void
test_one_slow_stream(void)
{
	struct grig *r = grig_create(2);

	chat(r);
	stream(r, 12 * S);
	for (int i = 0; i < 8; i++) {
		chat(r);
		stream(r, 1 * S);
	}
	chat(r);
	mh_gate_leaving(r->g, LEFT_US);
	grig_pass(r, 3 * S);
	CU_ASSERT_EQUAL(r->refused, 0);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 1);
	grig_destroy(r);
}

/*
 * Its own end is all that kept an entry from serving a request, and its caller
 * was told to wait until the home's queue will have been worked off: another
 * entry could have taken it at once.
 */
static void
test_elsewhere_at_once(void)
{
	struct grig *r = grig_create(2);

	mh_gate_leaving(r->g, 3 * S);
	chat(r);
	mh_gate_job_end(r->g, r->job, MH_JOB_REFUSED, 5 * S);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT(r->retry_us > 0 && r->retry_us < 1 * S);
	grig_destroy(r);
}

/*
 * The home of stage work plans by the deadline that comes with the work.  For
 * what a leaving entry asks, that is what the entry has left, so that the home
 * refuses at once what can't be done by then.
 */
static void
test_home_told(void)
{
	struct grig *r = grig_create(2);

	mh_gate_leaving(r->g, 3 * S);
	chat(r);
	CU_ASSERT(r->job->deadline_us <= r->now_us + 3 * S);
	grig_destroy(r);
}

/* a turn of the loop in which the process ends */

struct last_turn {
	struct mh_loop *l;
	int pipe[2];
	uint32_t read_after; /* callbacks that came after the end */
	bool ended;
};

static void
on_end(void *arg)
{
	struct last_turn *t = arg;

	t->ended = true;
	mh_loop_stop(t->l);
}

static void
on_readable(void *arg, bool readable, bool writable)
{
	struct last_turn *t = arg;

	(void)writable;
	t->read_after += readable && t->ended;
}

/* Holds a turn up until both the end is due and a request has come. */
static int64_t
held_up(void *arg)
{
	struct last_turn *t = arg;

	g_usleep(20 * MS);
	CU_ASSERT_EQUAL(write(t->pipe[1], "x", 1), 1);
	return -1;
}

/*
 * Confirmations were sent to the booking desk and their callers' connections
 * closed in the same millisecond: an entry that had nothing open decided to
 * end, and in the rest of that turn of its loop read what had just come on the
 * connections that callers keep.  The performer was booked, nobody was told.
 *
 *     ev=drained after_ms=4001 open=0
 *     ev=cut state=sent stages_made=0/0 waited_ms=0 left_ms=800 tries=1 runs=0
 */
static void
test_nothing_after_the_end(void)
{
	struct last_turn t = { 0 };
	struct mh_kern *k = mh_kern_create(1);

	t.l = mh_loop_create(k, NULL);
	CU_ASSERT_EQUAL(pipe(t.pipe), 0);
	mh_loop_fd(t.l, t.pipe[0], true, false, on_readable, &t);
	mh_loop_before(t.l, held_up, &t);
	mh_timer_start(k, 10 * MS, on_end, &t);
	mh_loop_run(t.l);
	CU_ASSERT_TRUE(t.ended);
	CU_ASSERT_EQUAL(t.read_after, 0);
	mh_loop_fd_close(t.l, t.pipe[0]);
	close(t.pipe[0]);
	close(t.pipe[1]);
	mh_kern_destroy(k);
	mh_loop_destroy(t.l);
}

/* the same, for the server of the product's own daemons */

struct last_read {
	struct mh_loop *l;
	int pipe[2];
	int caller;
	uint32_t turns;
	uint32_t read_after;
	bool ended;
};

static void
on_last(void *arg)
{
	struct last_read *t = arg;

	t->ended = true;
	mh_loop_stop(t->l);
}

/* In the turn in which the request comes, the end is due in the next one. */
static void
on_due(void *arg, bool readable, bool writable)
{
	struct last_read *t = arg;
	char c;

	(void)readable;
	(void)writable;
	CU_ASSERT_EQUAL(read(t->pipe[0], &c, 1), 1);
	mh_timer_start(mh_loop_kern(t->l), 0, on_last, t);
}

static void
on_http(void *arg, struct mh_http_req *q)
{
	struct last_read *t = arg;

	(void)q;
	t->read_after += t->ended;
	if (!t->ended)
		mh_loop_stop(t->l);
}

/* Sends once the connection was accepted; both are ready in one turn then. */
static int64_t
send_last(void *arg)
{
	static const char text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	struct last_read *t = arg;

	if (++t->turns == 4) {
		CU_ASSERT_EQUAL(send(t->caller, text, strlen(text), 0),
		    (ssize_t)strlen(text));
		CU_ASSERT_EQUAL(write(t->pipe[1], "x", 1), 1);
		g_usleep(20 * MS);
	}
	return t->turns < 4 ? 5 * MS : -1;
}

/*
 * A hook of the loop runs once more after the end: the server of marlhoistd
 * reads a request of a kept connection in it, which nobody answers.
 */
static void
test_no_request_after_the_end(void)
{
	struct last_read t = { 0 };
	struct mh_kern *k = mh_kern_create(1);
	struct mh_httpd_args a = {
		.listen = "127.0.0.1:0", .on_request = on_http, .arg = &t
	};
	struct mh_httpd *h;

	t.l = mh_loop_create(k, NULL);
	CU_ASSERT_EQUAL(pipe(t.pipe), 0);
	h = mh_httpd_create(t.l, &a, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(h);
	t.caller = tcp_dial(mh_httpd_port(h));
	mh_loop_fd(t.l, t.pipe[0], true, false, on_due, &t);
	mh_loop_before(t.l, send_last, &t);
	mh_loop_run(t.l);
	CU_ASSERT_TRUE(t.ended);
	CU_ASSERT_EQUAL(t.read_after, 0);
	mh_httpd_destroy(h);
	mh_loop_fd_close(t.l, t.pipe[0]);
	close(t.pipe[0]);
	close(t.pipe[1]);
	close(t.caller);
	mh_kern_destroy(k);
	mh_loop_destroy(t.l);
}

const struct test tests_leave[] = {
	{ "leave: what waits is answered", test_waiting_answered },
	{ "leave: what was sent is answered", test_sent_answered },
	{ "leave: a stream is broken off", test_stream_broken_off },
	{ "leave: refused while it helps", test_refused_while_it_helps },
	{ "leave: one slow stream", test_one_slow_stream },
	{ "leave: elsewhere at once", test_elsewhere_at_once },
	{ "leave: the home is told", test_home_told },
	{ "leave: nothing after the end", test_nothing_after_the_end },
	{ "leave: no request after the end", test_no_request_after_the_end },
	{ NULL, NULL },
};
