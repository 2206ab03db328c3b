/**
 * DOC: Runs a daemon in a child process and connects one caller to it.
 */

#include "child.h"
#include "regress.h"
#include "tcp.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static G_GNUC_NORETURN void
run_daemon(const char *secret, int out, child_main run)
{
	char *argv[] = { (char *)"drained", (char *)"--vm", (char *)"e",
		(char *)"--domain", (char *)"a", (char *)"--listen",
		(char *)"127.0.0.1:0", (char *)"--http", (char *)"127.0.0.1:0",
		(char *)"--kv", (char *)"http://127.0.0.1:1",
		(char *)"--vmlist", (char *)"http://127.0.0.1:1",
		(char *)"--secret-file", (char *)(uintptr_t)secret, NULL };
	int null = open("/dev/null", O_WRONLY | O_CLOEXEC);

	dup2(out, STDOUT_FILENO);
	dup2(null, STDERR_FILENO);
	_exit(run(G_N_ELEMENTS(argv) - 1, argv));
}

void
child_start(struct child *c, child_main run)
{
	char line[128] = "", *secret = NULL;
	int fd = g_file_open_tmp("secret-XXXXXX", &secret, NULL), out[2];
	const char *at;
	int size = 65536;

	CU_ASSERT_EQUAL(write(fd, "0123456789abcdef\n", 17), 17);
	close(fd);
	CU_ASSERT_EQUAL(pipe(out), 0);
	fflush(NULL);
	c->pid = fork();
	if (c->pid == 0)
		run_daemon(secret, out[1], run);
	close(out[1]);
	CU_ASSERT(read(out[0], line, sizeof(line) - 1) > 0);
	close(out[0]);
	at = strstr(line, "http=");
	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	c->fd =
	    tcp_dial((uint16_t)(at == NULL ? 0 : strtoul(at + 5, NULL, 10)));
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	c->received = g_string_new(NULL);
	unlink(secret);
	g_free(secret);
}

bool
child_read(struct child *c, size_t max)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };
	static char buf[65536];
	ssize_t n;

	if (poll(&p, 1, CHILD_TIMEOUT_MS) != 1)
		return false;
	n = recv(c->fd, buf, MIN(max, sizeof(buf)), 0);
	if (n > 0)
		g_string_append_len(c->received, buf, n);
	return n > 0;
}

void
child_send(struct child *c, const char *text)
{
	size_t len = strlen(text);

	CU_ASSERT_EQUAL(send(c->fd, text, len, MSG_NOSIGNAL), (ssize_t)len);
}

bool
child_terminate(struct child *c, int kill_ms)
{
	int64_t deadline_us = g_get_monotonic_time() + kill_ms * MH_US_PER_MS;
	int status = -1;
	pid_t pid;

	kill(c->pid, SIGTERM);
	while ((pid = waitpid(c->pid, &status, WNOHANG)) == 0 &&
	    g_get_monotonic_time() < deadline_us)
		poll(NULL, 0, 10);
	if (pid == 0) {
		kill(c->pid, SIGKILL);
		waitpid(c->pid, &status, 0);
	}
	close(c->fd);
	g_string_free(c->received, TRUE);
	return pid == c->pid && status == 0;
}
