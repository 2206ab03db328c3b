/**
 * DOC: What callers of open requests get when a process drains and its
 * supervisor kills it after a grace period, in virtual time.
 */

#include "child.h"
#include "net.h"
#include "regress.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define CHECK_US (50 * MH_US_PER_MS) /* how often run.c checks for an end */
#define LINGER_US (1 * MH_US_PER_S) /* as in marlhoistd.c */
#define EXIT_US (200 * MH_US_PER_MS) /* as in run.c */
#define GRACE_US (8 * MH_US_PER_S)
#define MIN_GRACE_US (2 * MH_US_PER_S) /* least grace that may be set */
#define CALL_US (40 * MH_US_PER_S) /* a call that outlasts the grace */

struct grace_world {
	struct net *n;
	struct net_node *side;
	struct net_node *e[2];
};

/* The configuration with timeouts of a minute and a streaming pipeline. */
static char *
long_timeout_doc(const char *policy)
{
	GString *s = g_string_new(net_doc);
	char *doc = g_strconcat("policy: {", policy, NULL);

	g_string_replace(s, "policy: {", doc, 1);
	g_free(doc);
	g_string_replace(s, "deadline_ms: 2000", "deadline_ms: 60000", 0);
	g_string_replace(s, "deadline_ms: 4000", "deadline_ms: 60000", 0);
	g_string_replace(s, "pool: enc, repeat: safe",
	    "pool: enc, repeat: safe, timeout_ms: 60000", 0);
	g_string_replace(s, "  - name: embed\n",
	    "  - name: tell\n"
	    "    stages:\n"
	    "      - {name: tell, kind: generate, pool: llm, repeat: safe}\n"
	    "  - name: embed\n",
	    1);
	doc = s->str;
	g_string_free(s, FALSE);
	return doc;
}

static void
setup_with(
    struct grace_world *w, uint32_t seed, const char *pool, const char *policy)
{
	char *doc = long_timeout_doc(policy);

	w->n = net_create(seed);
	net_apply(w->n, 1, doc);
	w->side = net_side(w->n, "side1", pool, "a", 1);
	w->side->service_us = CALL_US;
	w->e[0] = net_entry(w->n, "entry1", "a");
	w->e[1] = net_entry(w->n, "entry2", "b");
	net_run(w->n, 4 * MH_US_PER_S);
	g_free(doc);
}

static void
setup(struct grace_world *w, uint32_t seed, const char *pool)
{
	setup_with(w, seed, pool, "");
}

/*
 * Runs entry @x, which has drained for @waited us, until its daemon would exit.
 * Returns the time of the exit.
 */
static int64_t
drain_to_exit(struct net_node *x, int64_t waited, int64_t grace_us)
{
	while (waited < LINGER_US ||
	    (mh_entry_active_count(x->k) > 0 && waited < grace_us - EXIT_US)) {
		net_run(x->net, CHECK_US);
		waited += CHECK_US;
	}
	net_kill(x);
	return net_now(x->net);
}

static uint64_t
send_request(struct net_node *x, const char *path, const char *once)
{
	struct net_request_args a = { .path = path, .idempotency_key = once };
	uint64_t id = net_request(x, &a);

	net_run(x->net, 10 * MH_US_PER_MS);
	return id;
}

static const char *
lookup(struct net_node *x, const char *path)
{
	struct net_request_args a = { .method = "GET", .path = path };
	uint64_t id = net_request(x, &a);

	net_run(x->net, 100 * MH_US_PER_MS);
	return net_response_text(x->net, id, "outcome");
}

static void
check_answer(struct net *n, uint64_t id, const char *outcome, int64_t until_us)
{
	const struct net_response *a = net_response(n, id);

	CU_ASSERT_TRUE(a->ended);
	CU_ASSERT(a->at_us <= until_us);
	CU_ASSERT_STRING_EQUAL(net_response_text(n, id, "outcome"), outcome);
}

/*
 * One request is at an endpoint and another one queued, each with a deadline of
 * a minute.  The grace period is 8 seconds: both must be answered by then, and
 * not end with a connection closed by the kill.
 */
static void
test_entry_ends_with_work(void)
{
	static const char path[] = "/v1/pipelines/embed";
	struct grace_world w;
	uint64_t id[2];
	int64_t exit_us;

	setup(&w, 1, "enc");
	id[0] = send_request(w.e[0], path, NULL);
	id[1] = send_request(w.e[0], path, NULL);
	mh_entry_drain(w.e[0]->k, GRACE_US);
	exit_us = drain_to_exit(w.e[0], 0, GRACE_US);
	for (size_t i = 0; i < G_N_ELEMENTS(id); i++) {
		check_answer(w.n, id[i], "failed", exit_us);
		CU_ASSERT_EQUAL(net_response(w.n, id[i])->status, 503);
		CU_ASSERT(net_response(w.n, id[i])->retry_after_s > 0);
	}
	net_run(w.n, CALL_US);
	CU_ASSERT_EQUAL(w.side->runs, 1);
	net_destroy(w.n);
}

/*
 * The same with requests that run at most once.  With a closed connection their
 * callers could not know which one ran.  They are told where to look up the
 * outcome, and another entry then reports it.
 */
static void
test_entry_ends_with_bookings(void)
{
	static const char path[] = "/v1/pipelines/confirm";
	struct grace_world w;
	uint64_t id[2];
	int64_t exit_us;

	setup(&w, 2, "book");
	id[0] = send_request(w.e[0], path, "k1");
	id[1] = send_request(w.e[0], path, "k2");
	mh_entry_drain(w.e[0]->k, GRACE_US);
	exit_us = drain_to_exit(w.e[0], 0, GRACE_US);
	for (size_t i = 0; i < G_N_ELEMENTS(id); i++) {
		char at[64];

		check_answer(w.n, id[i], "unknown", exit_us);
		CU_ASSERT_EQUAL(net_response(w.n, id[i])->status, 504);
		snprintf(at, sizeof(at), "/v1/outcomes/confirm/k%zu", i + 1);
		CU_ASSERT_STRING_EQUAL(
		    net_response_text(w.n, id[i], "lookup"), at);
	}
	net_run(w.n, CALL_US);
	CU_ASSERT_STRING_EQUAL(
	    lookup(w.e[1], "/v1/outcomes/confirm/k1"), "done");
	CU_ASSERT_STRING_EQUAL(
	    lookup(w.e[1], "/v1/outcomes/confirm/k2"), "not-seen");
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 1);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k2"), 0);
	net_destroy(w.n);
}

/*
 * A request waits for its owner, which drains too and can't hand over its
 * partitions while the KV service is down.  It ran nowhere, but the entry
 * retried until the kill and its caller got no answer.
 */
static void
test_entry_ends_with_a_refused_booking(void)
{
	struct grace_world w;
	uint64_t id;
	int64_t exit_us;

	setup(&w, 3, "book");
	w.n->kv_down = true;
	mh_side_drain(w.side->k, CALL_US);
	id = send_request(w.e[0], "/v1/pipelines/confirm", "k1");
	mh_entry_drain(w.e[0]->k, GRACE_US);
	exit_us = drain_to_exit(w.e[0], 0, GRACE_US);
	check_answer(w.n, id, "not-run", exit_us);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 503);
	CU_ASSERT(net_response(w.n, id)->retry_after_s > 0);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 0);
	net_destroy(w.n);
}

/*
 * A stream is incomplete when its entry exits.  To many HTTP clients a closed
 * connection looks like a complete answer, so it must end in a problem event.
 */
static void
test_entry_ends_with_a_stream(void)
{
	struct net_request_args a = { .path = "/v1/pipelines/tell",
		.body = "{\"input\":\"x\",\"stream\":true,"
			"\"max_tokens\":100}" };
	const struct net_response *answer;
	struct grace_world w;
	uint64_t id;
	int64_t exit_us;

	/* Retries must not move the slow stream, which would end it sooner. */
	setup_with(&w, 4, "llm", "retries: plain, fixed_timeout_ms: 60000, ");
	id = net_request(w.e[0], &a);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT(net_response(w.n, id)->parts > 0);
	mh_entry_drain(w.e[0]->k, GRACE_US);
	exit_us = drain_to_exit(w.e[0], 0, GRACE_US);
	answer = net_response(w.n, id);
	CU_ASSERT_TRUE(answer->ended);
	CU_ASSERT(answer->at_us <= exit_us);
	CU_ASSERT_TRUE(g_str_has_prefix(answer->body->str, "event: token\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(answer->body->str, "event: problem\n"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(answer->body->str, "\"outcome\":\"failed\""));
	net_destroy(w.n);
}

/*
 * A load balancer keeps its connections open and sends requests to a draining
 * entry.  Those that fit before the kill are served.  A request of 3 seconds
 * that arrives 2 seconds before the exit must be refused, so that its caller
 * can go elsewhere in time.
 */
static void
test_requests_of_a_leaving_entry(void)
{
	static const char path[] = "/v1/pipelines/embed";
	uint64_t accepted, late[2];
	struct grace_world w;
	int64_t exit_us;

	setup(&w, 5, "enc");
	w.side->service_us = 3 * MH_US_PER_S;
	for (int i = 0; i < 10; i++) {
		send_request(w.e[0], path, NULL);
		net_run(w.n, 4 * MH_US_PER_S);
	}
	mh_entry_drain(w.e[0]->k, GRACE_US);
	accepted = send_request(w.e[0], path, NULL);
	net_run(w.n, 5 * MH_US_PER_S);
	late[0] = send_request(w.e[0], path, NULL);
	CU_ASSERT_TRUE(net_response(w.n, late[0])->ended);
	net_run(w.n, 2200 * MH_US_PER_MS);
	late[1] = send_request(w.e[0], path, NULL);
	CU_ASSERT_TRUE(net_response(w.n, late[1])->ended);
	exit_us = drain_to_exit(w.e[0], 7220 * MH_US_PER_MS, GRACE_US);
	check_answer(w.n, accepted, "done", exit_us);
	for (size_t i = 0; i < G_N_ELEMENTS(late); i++) {
		check_answer(w.n, late[i], "not-run", exit_us);
		CU_ASSERT_EQUAL(net_response(w.n, late[i])->status, 503);
		CU_ASSERT(net_response(w.n, late[i])->retry_after_s > 0);
	}
	net_destroy(w.n);
}

/*
 * A caller looks up an outcome in the last second of an entry, and the owner of
 * the key is silent.  The entry waited for the owner for its usual timeout of
 * one second, which was later than its own exit.
 */
static void
test_lookup_at_the_end(void)
{
	struct net_request_args a = { .method = "GET",
		.path = "/v1/outcomes/confirm/k1" };
	struct grace_world w;
	uint64_t id;
	int64_t exit_us;

	setup(&w, 6, "book");
	mh_entry_drain(w.e[0]->k, MIN_GRACE_US);
	net_run(w.n, 900 * MH_US_PER_MS);
	net_drop_frames(w.side, false, true);
	id = net_request(w.e[0], &a);
	exit_us = drain_to_exit(w.e[0], 900 * MH_US_PER_MS, MIN_GRACE_US);
	check_answer(w.n, id, "unknown", exit_us);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 503);
	net_destroy(w.n);
}

/*
 * An entry starts while the KV service is down and delays the first request
 * until it has a configuration.  It is drained at that moment, and was killed
 * before it refused the request.
 */
static void
test_held_request_at_the_end(void)
{
	struct grace_world w;
	struct net_node *late;
	uint64_t id;
	int64_t exit_us;

	setup(&w, 7, "enc");
	w.n->kv_down = true;
	net_kill(w.e[0]);
	net_kill(w.e[1]);
	net_kill(w.side);
	late = net_entry(w.n, "entry3", "a");
	net_run(w.n, 20 * MH_US_PER_MS);
	id = send_request(late, "/v1/pipelines/embed", NULL);
	mh_entry_drain(late->k, MIN_GRACE_US);
	exit_us = drain_to_exit(late, 0, MIN_GRACE_US);
	check_answer(w.n, id, "not-run", exit_us);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 503);
	CU_ASSERT(net_response(w.n, id)->retry_after_s > 0);
	net_destroy(w.n);
}

/*
 * A side process must answer its calls within its grace period of 8 seconds.
 * With a fixed 29 seconds it was killed before: the entries saw a closed link,
 * and answered "unknown" for a queued request too, which had not run.
 */
static void
test_side_ends_by_its_grace(void)
{
	static const char path[] = "/v1/pipelines/confirm";
	struct grace_world w;
	uint64_t runs, queued;
	int64_t exit_us;

	setup(&w, 8, "book");
	w.n->kv_down = true;
	runs = send_request(w.e[0], path, "k1");
	queued = send_request(w.e[0], path, "k2");
	mh_side_drain(w.side->k, GRACE_US);
	exit_us = net_now(w.n) + GRACE_US - EXIT_US;
	net_run(w.n, GRACE_US - EXIT_US);
	CU_ASSERT_EQUAL(mh_relay_active_count(w.e[0]->k), 0);
	net_kill(w.side);
	net_run(w.n, CALL_US);
	check_answer(w.n, runs, "unknown", exit_us);
	/* The entry looks for another owner of the queued one until then. */
	check_answer(w.n, queued, "not-run", net_now(w.n));
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 1);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k2"), 0);
	net_destroy(w.n);
}

/* marlhoistd itself */

int marlhoistd_main(int argc, char **argv);

/*
 * An entry that has just started delays a load balancer's request and is told
 * to drain.  If the answer leaves the connection open, the next request on it
 * is reset when the process exits.  So every answer of a draining entry closes
 * its connection.
 */
static void
test_answer_takes_its_connection_away(void)
{
	struct child c;

	g_setenv("MARLHOIST_GRACE", "2", TRUE);
	child_start(&c, marlhoistd_main);
	g_unsetenv("MARLHOIST_GRACE");
	child_send(&c,
	    "POST /v1/pipelines/embed HTTP/1.1\r\nHost: h\r\n"
	    "Authorization: Bearer party-key\r\nContent-Length: 2\r\n\r\n"
	    "{}");
	poll(NULL, 0, 200);
	kill(c.pid, SIGTERM);
	while (child_read(&c, SIZE_MAX))
		continue;
	CU_ASSERT_TRUE(g_str_has_prefix(c.received->str, "HTTP/1.1 503 "));
	CU_ASSERT_PTR_NOT_NULL(strstr(c.received->str, "\r\nRetry-After: "));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(c.received->str, "\r\nConnection: close\r"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(c.received->str, "\"outcome\":\"not-run\""));
	CU_ASSERT_TRUE(child_terminate(&c, 2000));
}

/* the setting */

/* Exit status of reading good settings for @kind with @grace added. */
static int
run_settings(
    enum mh_daemon_kind kind, const char *grace, char *text, size_t max)
{
	char *argv[] = { (char *)"d", (char *)"--vm", (char *)"e",
		(char *)"--domain", (char *)"a", (char *)"--listen",
		(char *)"127.0.0.1:0", (char *)"--http", (char *)"127.0.0.1:0",
		(char *)"--kv", (char *)"http://h", (char *)"--vmlist",
		(char *)"http://h", (char *)"--secret-file", (char *)"s", NULL,
		NULL, NULL, NULL, NULL };
	struct mh_settings s;
	int out[2], argc = 15, status = -1;
	size_t len = 0;
	ssize_t n;
	pid_t pid;

	if (kind == MH_DAEMON_SIDE) {
		argv[argc++] = (char *)"--pool";
		argv[argc++] = (char *)"p";
		argv[argc++] = (char *)"--endpoint";
		argv[argc++] = (char *)"http://h";
	}
	CU_ASSERT_EQUAL(pipe(out), 0);
	fflush(NULL);
	pid = fork();
	if (pid == 0) {
		dup2(out[1], STDERR_FILENO);
		if (grace != NULL)
			g_setenv("MARLHOIST_GRACE", grace, TRUE);
		mh_settings_read(&s, kind, argc, argv);
		fprintf(stderr, "%d", s.grace);
		_exit(0);
	}
	close(out[1]);
	/* A line on stderr arrives in several writes. */
	while ((n = read(out[0], text + len, max - 1 - len)) > 0)
		len += (size_t)n;
	text[len] = '\0';
	close(out[0]);
	waitpid(pid, &status, 0);
	return status;
}

/*
 * The grace period is configured by hand, apart from the supervisor's own
 * setting.  A wrong value must be refused at startup, with the valid range.
 */
static void
test_grace_is_checked(void)
{
	static const char *const bad[] = { "", "0", "1", "3601", "2.5", "30s",
		"-5", "x" };
	static const char *const good[] = { "2", "90", "3600" };
	char text[256];

	for (int kind = MH_DAEMON_ENTRY; kind <= MH_DAEMON_SIDE; kind++) {
		CU_ASSERT_EQUAL(run_settings((enum mh_daemon_kind)kind, NULL,
				    text, sizeof(text)),
		    0);
		CU_ASSERT_STRING_EQUAL(text, "30");
		for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
			CU_ASSERT_EQUAL(run_settings((enum mh_daemon_kind)kind,
					    good[i], text, sizeof(text)),
			    0);
			CU_ASSERT_STRING_EQUAL(text, good[i]);
		}
		for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
			int status = run_settings((enum mh_daemon_kind)kind,
			    bad[i], text, sizeof(text));

			CU_ASSERT_TRUE(WIFEXITED(status));
			CU_ASSERT_EQUAL(WEXITSTATUS(status), 2);
			CU_ASSERT_PTR_NOT_NULL(strstr(text, "--grace"));
			CU_ASSERT_PTR_NOT_NULL(strstr(text, "2 to 3600"));
		}
	}
}

const struct test tests_grace[] = {
	{ "entry_ends_with_work", test_entry_ends_with_work },
	{ "entry_ends_with_bookings", test_entry_ends_with_bookings },
	{ "entry_ends_with_a_refused_booking",
	    test_entry_ends_with_a_refused_booking },
	{ "entry_ends_with_a_stream", test_entry_ends_with_a_stream },
	{ "requests_of_a_leaving_entry", test_requests_of_a_leaving_entry },
	{ "lookup_at_the_end", test_lookup_at_the_end },
	{ "held_request_at_the_end", test_held_request_at_the_end },
	{ "side_ends_by_its_grace", test_side_ends_by_its_grace },
	{ "answer_takes_its_connection_away",
	    test_answer_takes_its_connection_away },
	{ "grace_is_checked", test_grace_is_checked },
	{ NULL, NULL },
};
