#ifndef CHILD_H
#define CHILD_H

#include "marlhoist.h"

#include <sys/types.h>

#define CHILD_MS 10000 /* no answer takes longer */

/** struct child - a daemon and one caller's connection to it. */
struct child {
	pid_t pid;
	int fd;
	GString *got;
};

/** child_main - a daemon's main(). */
typedef int (*child_main)(int argc, char **argv);

/** child_start() - an entry daemon, ready, and a connection to it. */
void child_start(struct child *c, child_main run);
/** child_read() - at most @max bytes; false when no more will come. */
bool child_read(struct child *c, size_t max);
void child_send(struct child *c, const char *text);
/**
 * child_leaves() - SIGTERM, and after @kill_ms SIGKILL.
 *
 * True if the daemon ended well before.
 */
bool child_leaves(struct child *c, int kill_ms);

#endif
