/**
 * DOC: Many callers of marlhoistd that stop short or read nothing.
 */

#include "crowdrig.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define MB (1U << 20)
#define UNIT_BYTES 65536
#define BODY_BYTES (1 * MB)
#define MEMORY_MB 64
#define MAX_FDS 600
#define GIVE_UP_US (20 * MH_US_PER_S)

/** struct hoist - a marlhoistd that has no configuration. */
struct hoist {
	pid_t pid;
	char ip[32];
	uint16_t port;
	struct watch *watch;
};

static G_GNUC_NORETURN void
run_daemon(const char *secret, const char *ip, int out)
{
	char *program = crowd_program("marlhoistd.bin");
	char *addr = g_strdup_printf("%s:0", ip);
	char *argv[] = { (char *)"marlhoistd", (char *)"--vm", (char *)"e",
		(char *)"--domain", (char *)"a", (char *)"--listen", addr,
		(char *)"--http", addr, (char *)"--kv",
		(char *)"http://127.0.0.1:1", (char *)"--vmlist",
		(char *)"http://127.0.0.1:1", (char *)"--secret-file",
		(char *)(uintptr_t)secret, NULL };
	struct rlimit fds = { MAX_FDS, MAX_FDS };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	g_setenv("MARLHOIST_MEMORY_MB", G_STRINGIFY(MEMORY_MB), TRUE);
	g_setenv("MARLHOIST_MAX_FDS", G_STRINGIFY(MAX_FDS), TRUE);
	dup2(out, STDOUT_FILENO);
	for (int i = 3; i < 256; i++)
		close(i);
	setrlimit(RLIMIT_NOFILE, &fds);
	execv(program, argv);
	_exit(127);
}

static struct hoist *
hoist_start(void)
{
	static uint32_t count;
	struct hoist *h = g_new0(struct hoist, 1);
	char line[128] = "", *secret = NULL;
	int fd = g_file_open_tmp("secret-XXXXXX", &secret, NULL), out[2];
	const char *at;

	g_snprintf(h->ip, sizeof(h->ip), "127.%u.%u.%u",
	    16 + (unsigned)getpid() % 200, 1 + (unsigned)getpid() / 200 % 250,
	    241 + count++ % 10);
	CU_ASSERT_EQUAL(write(fd, "0123456789abcdef\n", 17), 17);
	close(fd);
	CU_ASSERT_EQUAL(pipe(out), 0);
	fflush(NULL);
	h->pid = fork();
	if (h->pid == 0)
		run_daemon(secret, h->ip, out[1]);
	close(out[1]);
	CU_ASSERT(read(out[0], line, sizeof(line) - 1) > 0);
	close(out[0]);
	at = strstr(line, "http=");
	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	h->port = (uint16_t)(at == NULL ? 0 : strtoul(at + 5, NULL, 10));
	h->watch = usage_start(h->pid, h->ip, "127.0.0.1");
	unlink(secret);
	g_free(secret);
	return h;
}

static void
hoist_stop(struct hoist *h, const char *what)
{
	struct usage u = usage_stop(h->watch);
	bool ok = crowd_is_alive(h->pid) &&
	    u.bytes <= (uint64_t)MEMORY_MB << 20 && u.fds <= MAX_FDS;

	CU_ASSERT_TRUE(crowd_is_alive(h->pid));
	CU_ASSERT(u.bytes <= (uint64_t)MEMORY_MB << 20);
	CU_ASSERT(u.fds <= MAX_FDS);
	printf("\n    marlhoistd, %s: %" PRIu64 " of %u MB, %u of %u "
	       "descriptors%s\n",
	    what, u.bytes >> 20, MEMORY_MB, u.fds, MAX_FDS,
	    ok ? "" : " FAILED");
	kill(h->pid, SIGKILL);
	waitpid(h->pid, NULL, 0);
	g_free(h);
}

/* Whether a caller gets the answer of a process without configuration. */
static bool
is_answered(const struct hoist *h)
{
	static const char text[] =
	    "POST /v1/pipelines/a HTTP/1.1\r\nHost: h\r\n"
	    "Authorization: Bearer k\r\nMarl-Deadline-Ms: 100\r\n"
	    "Connection: close\r\nContent-Length: 2\r\n\r\n";
	int64_t until = g_get_monotonic_time() + GIVE_UP_US;
	bool ok = false;

	while (!ok && g_get_monotonic_time() < until) {
		char *answer = crowd_ask(h->ip, h->port, text, "{}", 2);

		ok = strstr(answer, "\"title\":\"no-configuration\"") != NULL;
		g_free(answer);
		if (!ok)
			g_usleep(100000);
	}
	return ok;
}

static void
play(const char *what, uint32_t n, const char *head, size_t send_max,
    const char *unit, int rcvbuf)
{
	struct hoist *h = hoist_start();
	struct crowd c = { .unit = unit,
		.unit_len = strlen(unit),
		.send_max = send_max,
		.rcvbuf = rcvbuf };

	CU_ASSERT_TRUE(is_answered(h));
	crowd_open(&c, h->ip, h->port, n, head);
	crowd_play(&c);
	CU_ASSERT_TRUE(is_answered(h));
	crowd_close(&c);
	CU_ASSERT_TRUE(is_answered(h));
	hoist_stop(h, what);
}

/* Guards against bodies that stop short of their end using up the memory. */
static void
test_short_bodies(void)
{
	char *x = g_strnfill(UNIT_BYTES, 'x');

	play("bodies stopped short", 150,
	    "POST /v1/pipelines/a HTTP/1.1\r\nHost: h\r\n"
	    "Content-Length: 1048576\r\n\r\n",
	    BODY_BYTES - 1, x, 0);
	g_free(x);
}

/* Guards against bodies over the limit that nobody has announced. */
static void
test_endless_bodies(void)
{
	char *x = g_strnfill(UNIT_BYTES, 'x');
	char *unit = g_strdup_printf("%x\r\n%s\r\n", UNIT_BYTES, x);

	play("bodies over the limit", 150,
	    "POST /v1/pipelines/a HTTP/1.1\r\nHost: h\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    4 * BODY_BYTES, unit, 0);
	g_free(unit);
	g_free(x);
}

/* Guards against idle connections that use up the descriptors. */
static void
test_idle(void)
{
	play("idle connections", 800, "", 0, "x", 0);
}

/* Guards against heads that stop short using up the memory. */
static void
test_heads(void)
{
	play("heads of short fields", 500, "GET /v1/pipelines/a HTTP/1.1\r\n",
	    8 * 4000, "a: bcd\r\n", 0);
}

/* Guards against answers that nobody reads using it up. */
static void
test_unread(void)
{
	play("metrics unread", 300, "", 2 * MB,
	    "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 4096);
}

const struct test tests_crowd_hoist[] = {
	{ "crowd: marlhoistd, bodies stopped short", test_short_bodies },
	{ "crowd: marlhoistd, bodies over the limit", test_endless_bodies },
	{ "crowd: marlhoistd, idle connections", test_idle },
	{ "crowd: marlhoistd, heads of short fields", test_heads },
	{ "crowd: marlhoistd, unread answers", test_unread },
	{ NULL, NULL },
};
