/**
 * DOC: Calls to stage endpoints over loopback: a stand-in endpoint sends
 * scripted answers, and the tests check which results a job gets from them.
 */

#include "platform.h"
#include "regress.h"
#include "tcp.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LONGEST_US (5 * MH_US_PER_S)
#define PIECES 2U

static const char conf[] =
    "{\"version\":3,\"routes\":[],\"services\":["
    "{\"name\":\"roster\",\"pieces\":{\"capacity\":1,\"batch\":8,"
    "\"callMs\":1.0,\"itemMs\":1.0,\"headroomMb\":1.0}}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

enum framing { LENGTH, CHUNKS, CLOSES, RESETS };

/** struct sanswer - a scripted answer to a call. */
struct sanswer {
	const char *early; /* an extra answer before it; NULL: none */
	const char *body; /* NULL: no answer */
	enum framing framing;
	uint32_t status; /* 0: 200 */
	size_t sent_bytes; /* bytes of it that are sent; 0: all */
	bool reset; /* reset the connection after sending */
};

/** struct srig - a scheduler and its endpoint. */
struct srig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hcalls *calls;
	struct mh_fleet *fleet;
	struct mh_budget *budget;
	struct plat_stages *stages;
	struct mh_sched *sched;
	int listen_fd;
	char addr[32];
	GPtrArray *conns; /* struct sconn */
	const struct sanswer *script;
	uint32_t answers;
	uint32_t n_sent;
	bool same_job; /* all jobs have the same id */
	uint32_t jobs;
	char *results; /* results of the last job; NULL: it failed */
};

struct sconn {
	struct srig *r;
	int fd;
	bool extra_sent; /* an extra answer was sent on it */
	GString *in;
};

static void
free_conn(void *arg)
{
	struct sconn *c = arg;

	mh_loop_fd_close(c->r->loop, c->fd);
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_free(c);
}

static bool
is_whole(const GString *in)
{
	const char *end = strstr(in->str, "\r\n\r\n");
	const char *len = strstr(in->str, "Content-Length: ");

	if (end == NULL)
		return false;
	return len == NULL || len > end ||
	    strlen(end + 4) >= strtoul(len + 16, NULL, 10);
}

static void
add_answer(GString *out, uint32_t status, const char *body, enum framing f)
{
	g_string_append_printf(out,
	    "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n",
	    status == 0 ? 200 : status);
	if (f == LENGTH)
		g_string_append_printf(
		    out, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
	else if (f == CHUNKS)
		g_string_append_printf(out,
		    "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
		    strlen(body), body);
	else
		g_string_append_printf(out, "\r\n%s", body);
}

static void
send_answer(struct sconn *c, const struct sanswer *a)
{
	bool reset = a->framing == RESETS || a->reset;
	struct linger now = { 1, 0 };
	GString *out = g_string_new(NULL);

	if (a->early != NULL)
		add_answer(out, 200, a->early, LENGTH);
	c->extra_sent = a->early != NULL;
	if (a->body != NULL)
		add_answer(out, a->status, a->body, a->framing);
	if (a->sent_bytes > 0)
		g_string_truncate(out, a->sent_bytes);
	CU_ASSERT_EQUAL(
	    send(c->fd, out->str, out->len, MSG_NOSIGNAL), (ssize_t)out->len);
	g_string_free(out, TRUE);
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	if (a->framing == CLOSES || reset || a->sent_bytes > 0)
		g_ptr_array_remove(c->r->conns, c);
}

static void
handle_request(struct sconn *c)
{
	static const struct sanswer report = {
		.body = "{\"busy\":0,\"waiting\":0}"
	};
	static const struct sanswer none = { .body = "{}", .status = 500 };
	struct srig *r = c->r;
	bool run = g_str_has_prefix(c->in->str, "POST /stage-run ");

	CU_ASSERT_FALSE(c->extra_sent);
	g_string_truncate(c->in, 0);
	if (!run)
		send_answer(c, &report);
	else if (r->n_sent < r->answers)
		send_answer(c, &r->script[r->n_sent++]);
	else
		send_answer(c, &none);
}

static void
on_conn(void *arg, bool readable, bool writable)
{
	struct sconn *c = arg;
	char buf[4096];
	ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);

	(void)readable;
	(void)writable;
	if (n <= 0) {
		g_ptr_array_remove(c->r->conns, c);
		return;
	}
	g_string_append_len(c->in, buf, n);
	if (is_whole(c->in))
		handle_request(c);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct srig *r = arg;
	struct sconn *c = g_new0(struct sconn, 1);

	(void)readable;
	(void)writable;
	c->r = r;
	c->fd = accept(r->listen_fd, NULL, NULL);
	c->in = g_string_new(NULL);
	g_ptr_array_add(r->conns, c);
	mh_loop_fd(r->loop, c->fd, true, false, on_conn, c);
}

static void
op_run(void *arg, struct mh_batch *b)
{
	plat_stages_run(((struct srig *)arg)->stages, b);
}

static void
op_abort(void *arg, struct mh_batch *b)
{
	plat_stages_abort(((struct srig *)arg)->stages, b);
}

static void
op_discard(void *arg, const char *result)
{
	plat_stages_discard(((struct srig *)arg)->stages, result);
}

static void
op_poll(void *arg, struct mh_sched *c, const char *node)
{
	plat_stages_poll(((struct srig *)arg)->stages, c, node);
}

static void
op_end(void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct srig *r = arg;

	(void)retry_us;
	if (end == MH_JOB_DONE)
		r->results = mh_job_final_results(j);
	mh_sched_release(r->sched, j);
	mh_job_destroy(j);
	mh_loop_stop(r->loop);
}

static void
srig_open(struct srig *r, const struct sanswer *script, uint32_t answers)
{
	struct mh_budget_args b = { 0.2, 50, 10 * MH_US_PER_S };
	struct mh_gconf *c = plat_conf_decode(conf, strlen(conf), NULL, NULL);
	struct mh_sched_ops ops = { .run = op_run,
		.abort = op_abort,
		.end = op_end,
		.discard = op_discard,
		.poll = op_poll,
		.arg = r };
	struct mh_listing l = { "i-1", 0, "roster", r->addr, "d", 1, false, 0,
		NULL };

	memset(r, 0, sizeof(*r));
	r->script = script;
	r->answers = answers;
	r->k = mh_kern_create(1);
	r->loop = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->loop);
	r->fleet = mh_fleet_create(r->k);
	r->budget = mh_budget_create(r->k, &b);
	r->stages = plat_stages_create(r->k, r->fleet, r->calls);
	r->sched = mh_sched_create(r->k, r->fleet, r->budget, &ops);
	r->conns = g_ptr_array_new_with_free_func(free_conn);
	r->listen_fd = tcp_listen(r->addr);
	mh_loop_fd(r->loop, r->listen_fd, true, false, on_accept, r);
	mh_fleet_begin(r->fleet);
	mh_fleet_list(r->fleet, &l);
	mh_fleet_end(r->fleet);
	mh_sched_set_conf(r->sched, c);
	mh_gconf_unref(c);
}

/* Runs a job; returns the results of its pieces, NULL: it failed. */
static const char *
srig_job(struct srig *r)
{
	char *id = g_strdup_printf("j%u", r->same_job ? 0 : r->jobs++);
	struct mh_job *j = mh_job_create(id);

	g_free(id);
	j->route = g_strdup("route");
	j->key = g_strdup("key");
	j->arrived_us = mh_now(r->k);
	j->slo_us = j->arrived_us + 3 * MH_US_PER_S;
	j->deadline_us = j->arrived_us + 4 * MH_US_PER_S;
	j->stages[0].pool = g_strdup("roster");
	j->stages[0].pieces = PIECES;
	j->stages[0].result_bytes = 10;
	j->n_stages = 1;
	g_free(r->results);
	r->results = NULL;
	mh_sched_submit(r->sched, j);
	CU_ASSERT_TRUE(run_with_timeout(r->k, r->loop, LONGEST_US));
	return r->results;
}

static void
srig_close(struct srig *r)
{
	mh_sched_destroy(r->sched);
	plat_stages_destroy(r->stages);
	g_ptr_array_free(r->conns, TRUE);
	mh_loop_fd_close(r->loop, r->listen_fd);
	close(r->listen_fd);
	mh_budget_destroy(r->budget);
	mh_fleet_destroy(r->fleet);
	mh_hcalls_destroy(r->calls);
	mh_loop_destroy(r->loop);
	mh_kern_destroy(r->k);
	g_free(r->results);
}

#define ITEMS(a, b) \
	"{\"items\":[{\"handle\":\"" a "\"},{\"handle\":\"" b "\"}]}"
#define GOOD ITEMS("m:1/8", "m:1/9")

/** struct bad_answer - an answer that does not match the call. */
struct bad_answer {
	const char *name;
	struct sanswer a;
};

static const struct bad_answer bad_answers[] = {
	{ "fewer", { .body = "{\"items\":[{\"handle\":\"m:1/1\"}]}" } },
	{ "more",
	    { .body = "{\"items\":[{\"handle\":\"m:1/1\"},"
		      "{\"handle\":\"m:1/2\"},{\"handle\":\"m:1/3\"}]}" } },
	{ "nothing", { .body = "" } },
	{ "no items", { .body = "{}" } },
	{ "data after it", { .body = ITEMS("m:1/1", "m:1/2") "x" } },
	{ "another status",
	    { .body = ITEMS("m:1/1", "m:1/2"), .status = 202 } },
	{ "an error", { .body = ITEMS("m:1/1", "m:1/2"), .status = 500 } },
	{ "reset", { .body = ITEMS("m:1/1", "m:1/2"), .framing = RESETS } },
	{ "same name twice", { .body = ITEMS("m:1/1", "m:1/1") } },
	{ "no names", { .body = ITEMS("", "") } },
	{ "a list of names", { .body = ITEMS("m:1/1,m:1/2", "m:1/3") } },
	{ "more than a name", { .body = ITEMS("m:1/1\\r\\nA: b", "m:1/3") } },
	{ "a space in a name", { .body = ITEMS("m:1/1 m:1/2", "m:1/3") } },
};

/*
 * Guards against results from an answer that does not match the call; the call
 * must be retried.
 */
static void
test_bad_answers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bad_answers); i++) {
		const struct sanswer script[] = { bad_answers[i].a,
			{ .body = GOOD } };
		struct srig r;
		const char *results;

		srig_open(&r, script, G_N_ELEMENTS(script));
		results = srig_job(&r);
		if (g_strcmp0(results, "m:1/8,m:1/9") != 0)
			printf("\n  case %s: %s\n", bad_answers[i].name,
			    results == NULL ? "none" : results);
		CU_ASSERT_EQUAL(g_strcmp0(results, "m:1/8,m:1/9"), 0);
		srig_close(&r);
	}
}

/* Guards against results from a truncated answer. */
static void
test_truncated_answers(void)
{
	static const enum framing framings[] = { LENGTH, CHUNKS, CLOSES };
	static const char body[] = ITEMS("m:1/1", "m:1/2");

	for (size_t f = 0; f < 2 * G_N_ELEMENTS(framings); f++) {
		struct sanswer script[] = { { .body = body,
						.framing = framings[f / 2],
						.reset = f % 2 == 1 },
			{ .body = GOOD } };
		GString *whole = g_string_new(NULL);

		add_answer(whole, 200, body, script[0].framing);
		for (size_t n = 1; n < whole->len; n++) {
			const char *results;
			struct srig r;

			script[0].sent_bytes = n;
			srig_open(&r, script, G_N_ELEMENTS(script));
			results = srig_job(&r);
			if (g_strcmp0(results, "m:1/8,m:1/9") != 0)
				printf("\n  framing %zu truncated at %zu: %s\n",
				    f, n, results == NULL ? "none" : results);
			CU_ASSERT_EQUAL(g_strcmp0(results, "m:1/8,m:1/9"), 0);
			srig_close(&r);
		}
		g_string_free(whole, TRUE);
	}
}

#define FIRST ITEMS("m:1/1", "m:1/2")

/*
 * The answer of a call is sent again, as if for the next one.  Guards against
 * taking its results for those of the next call.
 */
static void
test_answer_sent_twice(void)
{
	static const struct sanswer variants[] = { { .early = FIRST },
		{ .early = FIRST, .body = ITEMS("m:1/3", "m:1/4") } };

	for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
		const struct sanswer script[] = { { .body = FIRST },
			variants[i], { .body = GOOD } };
		struct srig r;

		srig_open(&r, script, G_N_ELEMENTS(script));
		CU_ASSERT_EQUAL(g_strcmp0(srig_job(&r), "m:1/1,m:1/2"), 0);
		CU_ASSERT_EQUAL(g_strcmp0(srig_job(&r), "m:1/8,m:1/9"), 0);
		srig_close(&r);
	}
}

/* Guards against refusing the same results if a piece is computed again. */
static void
test_piece_computed_twice(void)
{
	static const struct sanswer script[] = { { .body = FIRST },
		{ .body = FIRST } };
	struct srig r;

	srig_open(&r, script, G_N_ELEMENTS(script));
	r.same_job = true;
	CU_ASSERT_EQUAL(g_strcmp0(srig_job(&r), "m:1/1,m:1/2"), 0);
	CU_ASSERT_EQUAL(g_strcmp0(srig_job(&r), "m:1/1,m:1/2"), 0);
	srig_close(&r);
}

const struct test tests_stage[] = {
	{ "stage calls: answers that do not match", test_bad_answers },
	{ "stage calls: truncated answers", test_truncated_answers },
	{ "stage calls: answer sent twice", test_answer_sent_twice },
	{ "stage calls: piece computed twice", test_piece_computed_twice },
	{ NULL, NULL },
};
