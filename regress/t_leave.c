/**
 * DOC: What callers get from an entry that drains.
 */

#include "gaterig.h"
#include "regress.h"
#include "tcp.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Deadline of a chat reply; a draining entry has less time remaining. */
#define LONG_DEADLINE_US (20 * S)
#define REMAINING_US (7 * S)

/* A chat reply: stage work, then a stream that can't be resumed. */
static struct mh_greq *
chat(struct grig *r)
{
	struct mh_groute *t = mh_gconf_route_by_name(r->conf, "stream");

	t->n_stages = 1;
	if (t->stages[0].pool == NULL)
		t->stages[0].pool = g_strdup("work");
	t->timeout_us = LONG_DEADLINE_US;
	return grig_request(r, "/stream/x", LONG_DEADLINE_US);
}

/* Completes the last request: stage work, then a stream of @us. */
static void
stream_for(struct grig *r, int64_t us)
{
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };

	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_gate_progress(r->g, r->cur);
	grig_advance(r, us);
	mh_gate_try_end(r->g, r->cur, MH_CALL_COMPLETE);
}

/*
 * A request whose stage work is still queued when a draining entry exits must
 * be refused.  It was bounded by its own deadline alone, which was later than
 * the exit, so the caller saw a closed connection without an answer.
 */
static void
test_waiting_answered(void)
{
	struct grig *r = grig_create(2);

	chat(r);
	mh_gate_drain(r->g, REMAINING_US);
	grig_advance(r, 500 * MS);
	chat(r);
	CU_ASSERT_EQUAL(r->jobs, 2);
	grig_advance(r, REMAINING_US - 500 * MS);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	CU_ASSERT_EQUAL(r->refused, 2);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT(r->retry_us > 0);
	CU_ASSERT_EQUAL(r->dropped, 2); /* stage work was cancelled */
	CU_ASSERT_EQUAL(r->sends, 0);
	grig_destroy(r);
}

/*
 * The entry exits while a request that may run once is at an endpoint that has
 * not answered.  The caller is told that it may have run, not that it did not.
 */
static void
test_sent_answered(void)
{
	struct grig *r = grig_create(2);

	grig_request(r, "/once/x", 6 * S);
	mh_gate_drain(r->g, 3 * S);
	grig_advance(r, 3 * S);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_RUN_TIMEOUT);
	CU_ASSERT_EQUAL(r->retry_us, 0);
	grig_destroy(r);
}

/*
 * A stream that is still running when its entry exits is broken off visibly by
 * the gateway, while bytes can still be sent, and not by the exit itself.
 */
static void
test_stream_broken_off(void)
{
	struct grig *r = grig_create(2);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };

	chat(r);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_gate_progress(r->g, r->cur);
	mh_gate_drain(r->g, REMAINING_US);
	grig_advance(r, REMAINING_US - 1 * MS);
	CU_ASSERT_EQUAL(r->broken, 0);
	grig_advance(r, 1 * MS);
	CU_ASSERT_EQUAL(r->broken, 1);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	grig_destroy(r);
}

/*
 * Recent streams of the route took three seconds.  A request that waits for its
 * stage work can still be answered 4.5 seconds before the entry exits.  Once
 * less than four seconds remain, its stream would be cut if its engine fell
 * silent for one, so it is refused while its caller has time to go to another
 * entry.
 */
static void
test_refused_in_time(void)
{
	struct grig *r = grig_create(2);

	chat(r);
	stream_for(r, 3 * S);
	CU_ASSERT_EQUAL(r->finished, 1);
	chat(r);
	chat(r);
	mh_gate_drain(r->g, REMAINING_US);
	grig_advance(r, REMAINING_US - 4500 * MS);
	CU_ASSERT_EQUAL(r->refused, 0);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_advance(r, 600 * MS);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 1);
	grig_destroy(r);
}

/*
 * One stream of 12 seconds among many of one second must not have a draining
 * entry with 7 seconds remaining refuse all waiting requests, as it did when
 * the expected time was that of the longest stream.
 */
static void
test_one_slow_stream(void)
{
	struct grig *r = grig_create(2);

	chat(r);
	stream_for(r, 12 * S);
	for (int i = 0; i < 8; i++) {
		chat(r);
		stream_for(r, 1 * S);
	}
	chat(r);
	mh_gate_drain(r->g, REMAINING_US);
	grig_advance(r, 3 * S);
	CU_ASSERT_EQUAL(r->refused, 0);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 1);
	grig_destroy(r);
}

/*
 * Only its own exit keeps an entry from serving a request.  The caller must be
 * told to go to another entry at once, not to wait until the coordinator's
 * queue is shorter.
 */
static void
test_retry_elsewhere_at_once(void)
{
	struct grig *r = grig_create(2);

	mh_gate_drain(r->g, 3 * S);
	chat(r);
	mh_gate_job_end(r->g, r->job, MH_JOB_REFUSED, 5 * S);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT(r->retry_us > 0 && r->retry_us < 1 * S);
	grig_destroy(r);
}

/*
 * The coordinator plans stage work by the deadline that comes with the job.  A
 * draining entry sends its own remaining time, so that the coordinator refuses
 * at once what can't be done by then.
 */
static void
test_coordinator_deadline(void)
{
	struct grig *r = grig_create(2);

	mh_gate_drain(r->g, 3 * S);
	chat(r);
	CU_ASSERT(r->job->deadline_us <= r->now_us + 3 * S);
	grig_destroy(r);
}

/* the loop iteration in which the process stops */

struct exit_iteration {
	struct mh_loop *l;
	int pipe[2];
	uint32_t read_after; /* callbacks after mh_loop_stop() */
	bool ended;
};

static void
on_end(void *arg)
{
	struct exit_iteration *t = arg;

	t->ended = true;
	mh_loop_stop(t->l);
}

static void
on_readable(void *arg, bool readable, bool writable)
{
	struct exit_iteration *t = arg;

	(void)writable;
	t->read_after += readable && t->ended;
}

/* Delays an iteration until the stop is due and the pipe is readable. */
static int64_t
delay_iteration(void *arg)
{
	struct exit_iteration *t = arg;

	g_usleep(20 * MS);
	CU_ASSERT_EQUAL(write(t->pipe[1], "x", 1), 1);
	return -1;
}

/*
 * Guards against events after the loop was stopped.  An entry without open
 * requests decided to exit, but in the rest of that loop iteration read a
 * request from a kept connection and sent it to an endpoint: it ran, and its
 * caller got a closed connection.
 */
static void
test_no_event_after_stop(void)
{
	struct exit_iteration t = { 0 };
	struct mh_kern *k = mh_kern_create(1);

	t.l = mh_loop_create(k, NULL);
	CU_ASSERT_EQUAL(pipe(t.pipe), 0);
	mh_loop_fd(t.l, t.pipe[0], true, false, on_readable, &t);
	mh_loop_before_wait(t.l, delay_iteration, &t);
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

/* the same for the HTTP server of marlhoistd */

struct exit_request {
	struct mh_loop *l;
	int pipe[2];
	int caller;
	uint32_t iterations;
	uint32_t read_after;
	bool ended;
};

static void
on_exit_due(void *arg)
{
	struct exit_request *t = arg;

	t->ended = true;
	mh_loop_stop(t->l);
}

/* Makes the stop due in the iteration after the one with the request. */
static void
on_pipe(void *arg, bool readable, bool writable)
{
	struct exit_request *t = arg;
	char c;

	(void)readable;
	(void)writable;
	CU_ASSERT_EQUAL(read(t->pipe[0], &c, 1), 1);
	mh_timer_start(mh_loop_kern(t->l), 0, on_exit_due, t);
}

static void
on_http(void *arg, struct mh_http_req *q)
{
	struct exit_request *t = arg;

	(void)q;
	t->read_after += t->ended;
	if (!t->ended)
		mh_loop_stop(t->l);
}

/* Sends after the accept, so that pipe and request are ready together. */
static int64_t
send_last(void *arg)
{
	static const char text[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	struct exit_request *t = arg;

	if (++t->iterations == 4) {
		CU_ASSERT_EQUAL(send(t->caller, text, strlen(text), 0),
		    (ssize_t)strlen(text));
		CU_ASSERT_EQUAL(write(t->pipe[1], "x", 1), 1);
		g_usleep(20 * MS);
	}
	return t->iterations < 4 ? 5 * MS : -1;
}

/*
 * A loop hook ran once more after the stop: in it the server of marlhoistd read
 * a request of a kept connection, which was never answered.
 */
static void
test_no_request_after_stop(void)
{
	struct exit_request t = { 0 };
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
	mh_loop_fd(t.l, t.pipe[0], true, false, on_pipe, &t);
	mh_loop_before_wait(t.l, send_last, &t);
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
	{ "leave: a waiting request is answered", test_waiting_answered },
	{ "leave: a sent request is answered", test_sent_answered },
	{ "leave: a stream is broken off", test_stream_broken_off },
	{ "leave: refused in time", test_refused_in_time },
	{ "leave: one slow stream", test_one_slow_stream },
	{ "leave: retry elsewhere at once", test_retry_elsewhere_at_once },
	{ "leave: the coordinator's deadline", test_coordinator_deadline },
	{ "leave: no event after the stop", test_no_event_after_stop },
	{ "leave: no request after the stop", test_no_request_after_stop },
	{ NULL, NULL },
};
