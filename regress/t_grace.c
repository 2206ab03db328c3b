/**
 * DOC: The end of a process whose supervisor kills it some seconds after the
 * first signal: what callers get for what it has taken, in virtual time.
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

#define CHECK_US (50 * MH_US_PER_MS) /* run.c looks this often */
#define LINGER_US (1 * MH_US_PER_S) /* as in marlhoistd.c */
#define EXIT_US (200 * MH_US_PER_MS) /* as in run.c */
#define GRACE_US (8 * MH_US_PER_S)
#define SHORT_US (2 * MH_US_PER_S) /* the shortest that may be set */
#define SLOW_US (40 * MH_US_PER_S) /* a call that outlasts all */

struct grace_world {
	struct net *n;
	struct net_node *side;
	struct net_node *e[2];
};

/* Every class and stage may take a minute; "tell" streams by itself. */
static char *
patient_doc(const char *policy)
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
make_with(
    struct grace_world *w, uint32_t seed, const char *pool, const char *policy)
{
	char *doc = patient_doc(policy);

	w->n = net_create(seed);
	net_apply(w->n, 1, doc);
	w->side = net_side(w->n, "side1", pool, "a", 1);
	w->side->service_us = SLOW_US;
	w->e[0] = net_entry(w->n, "entry1", "a");
	w->e[1] = net_entry(w->n, "entry2", "b");
	net_run(w->n, 4 * MH_US_PER_S);
	g_free(doc);
}

static void
make(struct grace_world *w, uint32_t seed, const char *pool)
{
	make_with(w, seed, pool, "");
}

/*
 * Runs entry @x, which drains for @waited already, to the end that its daemon
 * gives it, and returns when that was.
 */
static int64_t
leave(struct net_node *x, int64_t waited, int64_t grace_us)
{
	while (waited < LINGER_US ||
	    (mh_entry_open(x->k) > 0 && waited < grace_us - EXIT_US)) {
		net_run(x->net, CHECK_US);
		waited += CHECK_US;
	}
	net_kill(x);
	return net_now(x->net);
}

static uint64_t
ask(struct net_node *x, const char *path, const char *once)
{
	struct net_ask a = { .path = path, .once = once };
	uint64_t id = net_request(x, &a);

	net_run(x->net, 10 * MH_US_PER_MS);
	return id;
}

static const char *
lookup(struct net_node *x, const char *path)
{
	struct net_ask a = { .method = "GET", .path = path };
	uint64_t id = net_request(x, &a);

	net_run(x->net, 100 * MH_US_PER_MS);
	return net_answer_text(x->net, id, "outcome");
}

static void
check_told(struct net *n, uint64_t id, const char *outcome, int64_t until_us)
{
	const struct net_answer *a = net_answer(n, id);

	CU_ASSERT_TRUE(a->ended);
	CU_ASSERT(a->at_us <= until_us);
	CU_ASSERT_STRING_EQUAL(net_answer_text(n, id, "outcome"), outcome);
}

/*
 * An entry holds one request at an endpoint and one behind it in the queue,
 * each with a minute of its caller's time.  Its supervisor gives it eight
 * seconds, then the kill closed both connections without a word.
 */
static void
test_entry_ends_with_work(void)
{
	static const char path[] = "/v1/pipelines/embed";
	struct grace_world w;
	uint64_t id[2];
	int64_t end;

	make(&w, 1, "enc");
	id[0] = ask(w.e[0], path, NULL);
	id[1] = ask(w.e[0], path, NULL);
	mh_entry_drain(w.e[0]->k, GRACE_US);
	end = leave(w.e[0], 0, GRACE_US);
	for (size_t i = 0; i < G_N_ELEMENTS(id); i++) {
		check_told(w.n, id[i], "failed", end);
		CU_ASSERT_EQUAL(net_answer(w.n, id[i])->status, 503);
		CU_ASSERT(net_answer(w.n, id[i])->retry_after_s > 0);
	}
	net_run(w.n, SLOW_US);
	CU_ASSERT_EQUAL(w.side->runs, 1);
	net_destroy(w.n);
}

/*
 * The same with two bookings.  Their parents, who saw a closed connection,
 * could not know whether to book again: the first was booked, the second was
 * not.  They are told where to look, and another entry then says which is
 * which.
 */
static void
test_entry_ends_with_bookings(void)
{
	static const char path[] = "/v1/pipelines/confirm";
	struct grace_world w;
	uint64_t id[2];
	int64_t end;

	make(&w, 2, "book");
	id[0] = ask(w.e[0], path, "k1");
	id[1] = ask(w.e[0], path, "k2");
	mh_entry_drain(w.e[0]->k, GRACE_US);
	end = leave(w.e[0], 0, GRACE_US);
	for (size_t i = 0; i < G_N_ELEMENTS(id); i++) {
		char at[64];

		check_told(w.n, id[i], "unknown", end);
		CU_ASSERT_EQUAL(net_answer(w.n, id[i])->status, 504);
		snprintf(at, sizeof(at), "/v1/outcomes/confirm/k%zu", i + 1);
		CU_ASSERT_STRING_EQUAL(
		    net_answer_text(w.n, id[i], "lookup"), at);
	}
	net_run(w.n, SLOW_US);
	CU_ASSERT_STRING_EQUAL(
	    lookup(w.e[1], "/v1/outcomes/confirm/k1"), "done");
	CU_ASSERT_STRING_EQUAL(
	    lookup(w.e[1], "/v1/outcomes/confirm/k2"), "not-seen");
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 1);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k2"), 0);
	net_destroy(w.n);
}

/*
 * A booking waits for its owner, which leaves too and can't hand over while
 * the KV service is out.  It was refused each time and ran nowhere, but the
 * entry went on asking until the kill, and the parent heard nothing.
 */
static void
test_entry_ends_with_a_refused_booking(void)
{
	struct grace_world w;
	uint64_t id;
	int64_t end;

	make(&w, 3, "book");
	w.n->kv_down = true;
	mh_side_drain(w.side->k, SLOW_US);
	id = ask(w.e[0], "/v1/pipelines/confirm", "k1");
	mh_entry_drain(w.e[0]->k, GRACE_US);
	end = leave(w.e[0], 0, GRACE_US);
	check_told(w.n, id, "not-run", end);
	CU_ASSERT_EQUAL(net_answer(w.n, id)->status, 503);
	CU_ASSERT(net_answer(w.n, id)->retry_after_s > 0);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 0);
	net_destroy(w.n);
}

/*
 * A long story is half told when its entry has to end.  The caller saw the
 * connection close after some word, which is how a whole story ends for many
 * HTTP clients; it has to end in a problem.
 */
static void
test_entry_ends_with_a_stream(void)
{
	struct net_ask a = { .path = "/v1/pipelines/tell",
		.body = "{\"input\":\"x\",\"stream\":true,"
			"\"max_tokens\":100}" };
	const struct net_answer *told;
	struct grace_world w;
	uint64_t id;
	int64_t end;

	/* Nothing moves a slow stream elsewhere, which would end it sooner. */
	make_with(&w, 4, "llm", "retries: plain, fixed_timeout_ms: 60000, ");
	id = net_request(w.e[0], &a);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT(net_answer(w.n, id)->parts > 0);
	mh_entry_drain(w.e[0]->k, GRACE_US);
	end = leave(w.e[0], 0, GRACE_US);
	told = net_answer(w.n, id);
	CU_ASSERT_TRUE(told->ended);
	CU_ASSERT(told->at_us <= end);
	CU_ASSERT_TRUE(g_str_has_prefix(told->body->str, "event: token\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(told->body->str, "event: problem\n"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(told->body->str, "\"outcome\":\"failed\""));
	net_destroy(w.n);
}

/*
 * A balancer's connections stay open while the entry leaves, and requests
 * still come on them.  What fits before the kill is served; one that takes
 * three seconds and comes two before the end was taken as well, and closed by
 * the kill instead of being sent elsewhere while its caller had time.
 */
static void
test_requests_of_a_leaving_entry(void)
{
	static const char path[] = "/v1/pipelines/embed";
	uint64_t fits, late[2];
	struct grace_world w;
	int64_t end;

	make(&w, 5, "enc");
	w.side->service_us = 3 * MH_US_PER_S;
	for (int i = 0; i < 10; i++) {
		ask(w.e[0], path, NULL);
		net_run(w.n, 4 * MH_US_PER_S);
	}
	mh_entry_drain(w.e[0]->k, GRACE_US);
	fits = ask(w.e[0], path, NULL);
	net_run(w.n, 5 * MH_US_PER_S);
	late[0] = ask(w.e[0], path, NULL);
	CU_ASSERT_TRUE(net_answer(w.n, late[0])->ended);
	net_run(w.n, 2200 * MH_US_PER_MS);
	late[1] = ask(w.e[0], path, NULL);
	CU_ASSERT_TRUE(net_answer(w.n, late[1])->ended);
	end = leave(w.e[0], 7220 * MH_US_PER_MS, GRACE_US);
	check_told(w.n, fits, "done", end);
	for (size_t i = 0; i < G_N_ELEMENTS(late); i++) {
		check_told(w.n, late[i], "not-run", end);
		CU_ASSERT_EQUAL(net_answer(w.n, late[i])->status, 503);
		CU_ASSERT(net_answer(w.n, late[i])->retry_after_s > 0);
	}
	net_destroy(w.n);
}

/*
 * A page asks what became of its booking in the last second of an entry, and
 * the owner of the key says nothing.  The entry gave the owner its usual
 * second, which was longer than its own life.
 */
static void
test_lookup_at_the_end(void)
{
	struct net_ask a = { .method = "GET",
		.path = "/v1/outcomes/confirm/k1" };
	struct grace_world w;
	uint64_t id;
	int64_t end;

	make(&w, 6, "book");
	mh_entry_drain(w.e[0]->k, SHORT_US);
	net_run(w.n, 900 * MH_US_PER_MS);
	net_silence(w.side, false, true);
	id = net_request(w.e[0], &a);
	end = leave(w.e[0], 900 * MH_US_PER_MS, SHORT_US);
	check_told(w.n, id, "unknown", end);
	CU_ASSERT_EQUAL(net_answer(w.n, id)->status, 503);
	net_destroy(w.n);
}

/*
 * An entry starts while the KV service is out and holds the first request
 * until it has its configuration.  It is told to leave right then, and was
 * killed before it gave the waiting up.
 */
static void
test_held_request_at_the_end(void)
{
	struct grace_world w;
	struct net_node *late;
	uint64_t id;
	int64_t end;

	make(&w, 7, "enc");
	w.n->kv_down = true;
	net_kill(w.e[0]);
	net_kill(w.e[1]);
	net_kill(w.side);
	late = net_entry(w.n, "entry3", "a");
	net_run(w.n, 20 * MH_US_PER_MS);
	id = ask(late, "/v1/pipelines/embed", NULL);
	mh_entry_drain(late->k, SHORT_US);
	end = leave(late, 0, SHORT_US);
	check_told(w.n, id, "not-run", end);
	CU_ASSERT_EQUAL(net_answer(w.n, id)->status, 503);
	CU_ASSERT(net_answer(w.n, id)->retry_after_s > 0);
	net_destroy(w.n);
}

/*
 * A supervisor that kills after eight seconds is of no use to a side process
 * that answers its calls in the 29th: its entries saw a closed link, and both
 * parents were told "unknown" of which one had not booked.
 */
static void
test_side_ends_by_its_grace(void)
{
	static const char path[] = "/v1/pipelines/confirm";
	struct grace_world w;
	uint64_t runs, queued;
	int64_t end;

	make(&w, 8, "book");
	w.n->kv_down = true;
	runs = ask(w.e[0], path, "k1");
	queued = ask(w.e[0], path, "k2");
	mh_side_drain(w.side->k, GRACE_US);
	end = net_now(w.n) + GRACE_US - EXIT_US;
	net_run(w.n, GRACE_US - EXIT_US);
	CU_ASSERT_EQUAL(mh_relay_open(w.e[0]->k), 0);
	net_kill(w.side);
	net_run(w.n, SLOW_US);
	check_told(w.n, runs, "unknown", end);
	/* Its entry looks for another owner until then. */
	check_told(w.n, queued, "not-run", net_now(w.n));
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 1);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k2"), 0);
	net_destroy(w.n);
}

/* marlhoistd itself */

int marlhoistd_main(int argc, char **argv);

/*
 * An entry that has just started holds a balancer's request, and is told to
 * leave.  The answer left the connection open, the balancer sent its next
 * request on it while the process ended, and that one got a reset.  Every
 * answer of a leaving entry takes its connection away.
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
	CU_ASSERT_TRUE(g_str_has_prefix(c.got->str, "HTTP/1.1 503 "));
	CU_ASSERT_PTR_NOT_NULL(strstr(c.got->str, "\r\nRetry-After: "));
	CU_ASSERT_PTR_NOT_NULL(strstr(c.got->str, "\r\nConnection: close\r"));
	CU_ASSERT_PTR_NOT_NULL(strstr(c.got->str, "\"outcome\":\"not-run\""));
	CU_ASSERT_TRUE(child_leaves(&c, 2000));
}

/* the setting */

/* Reads settings as @kind does, all good but for @grace; its exit status. */
static int
read_grace(enum mh_daemon_kind kind, const char *grace, char *said, size_t max)
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
	/* A line on stderr comes in several pieces. */
	while ((n = read(out[0], said + len, max - 1 - len)) > 0)
		len += (size_t)n;
	said[len] = '\0';
	close(out[0]);
	waitpid(pid, &status, 0);
	return status;
}

/*
 * The seconds that a supervisor waits are written by hand, in another file
 * than the supervisor's.  A wrong number is refused when the process starts,
 * with what to write instead, and not found out at its end.
 */
static void
test_grace_is_checked(void)
{
	static const char *const bad[] = { "", "0", "1", "3601", "2.5", "30s",
		"-5", "x" };
	static const char *const good[] = { "2", "90", "3600" };
	char said[256];

	for (int kind = MH_DAEMON_ENTRY; kind <= MH_DAEMON_SIDE; kind++) {
		CU_ASSERT_EQUAL(read_grace((enum mh_daemon_kind)kind, NULL,
				    said, sizeof(said)),
		    0);
		CU_ASSERT_STRING_EQUAL(said, "30");
		for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
			CU_ASSERT_EQUAL(read_grace((enum mh_daemon_kind)kind,
					    good[i], said, sizeof(said)),
			    0);
			CU_ASSERT_STRING_EQUAL(said, good[i]);
		}
		for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
			int status = read_grace((enum mh_daemon_kind)kind,
			    bad[i], said, sizeof(said));

			CU_ASSERT_TRUE(WIFEXITED(status));
			CU_ASSERT_EQUAL(WEXITSTATUS(status), 2);
			CU_ASSERT_PTR_NOT_NULL(strstr(said, "--grace"));
			CU_ASSERT_PTR_NOT_NULL(strstr(said, "2 to 3600"));
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
