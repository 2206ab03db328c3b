#ifndef CHILD_H
#define CHILD_H

#include "marlhoist.h"

#include <sys/types.h>

#define CHILD_TIMEOUT_MS 10000 /* longest wait for data */

/** struct child - a daemon process and a caller's connection to it. */
struct child {
	pid_t pid;
	int fd;
	GString *received; /* all data received */
};

/** child_main - main() of a daemon. */
typedef int (*child_main)(int argc, char **argv);

/** child_start() - starts a daemon, waits until it is ready and connects. */
void child_start(struct child *c, child_main run);
/** child_read() - reads up to @max bytes; false at the end or a timeout. */
bool child_read(struct child *c, size_t max);
void child_send(struct child *c, const char *text);
/**
 * child_terminate() - sends SIGTERM, and SIGKILL after @kill_ms; frees the
 * rest.
 *
 * Return: whether the daemon exited with status 0 before SIGKILL.
 */
bool child_terminate(struct child *c, int kill_ms);

#endif
