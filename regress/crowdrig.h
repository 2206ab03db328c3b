#ifndef CROWDRIG_H
#define CROWDRIG_H

/*
 * Test fixture: an entry process with a store and one endpoint, a crowd of
 * connections to it, and a watch over its memory and descriptors.
 */

#include "platform.h"
#include "regress.h"

#include <sys/types.h>

#define ORDINARY_KEY "key-b" /* of an organisation that is not in the crowd */
#define CROWD_KEY "key-a"

/** struct crowd_settings - limits of the entry, and what it is run with. */
struct crowd_settings {
	uint32_t memory_mb;
	uint32_t max_fds;
	uint32_t body_bytes; /* largest body by the configuration */
	bool any_fds; /* the kernel lets the process open more than @max_fds */
};

/** struct crowd_rig - the process under test, and what it talks to. */
struct crowd_rig {
	struct crowd_settings set;
	char ip[32]; /* of the entry */
	char *dir;
	char *settings; /* its file */
	pid_t pid;
	struct peer *peer; /* store and endpoints, on a thread */
	struct watch *watch; /* measures, on a thread */
};

/** struct crowd_endpoint - one of the services "mad", "madpool", "madwork". */
struct crowd_endpoint {
	const char *service;
	const char *addr;
};

struct crowd_rig *crowd_rig_start(const struct crowd_settings *s);
/** crowd_rig_start_with() - the same with @n more endpoints. */
struct crowd_rig *crowd_rig_start_with(const struct crowd_settings *s,
    const struct crowd_endpoint *more, uint32_t n);
/** crowd_rig_write() - writes the settings file again, with other limits. */
void crowd_rig_write(struct crowd_rig *r, const struct crowd_settings *s);
/** crowd_rig_wait_log() - waits until the entry has logged @text. */
void crowd_rig_wait_log(struct crowd_rig *r, const char *text);
/** crowd_rig_restart_watch() - forgets the highest figures so far. */
void crowd_rig_restart_watch(struct crowd_rig *r);
/**
 * crowd_rig_check() - the entry lives and has kept its limits since the watch
 * began.
 */
void crowd_rig_check(struct crowd_rig *r, const char *what);
void crowd_rig_stop(struct crowd_rig *r);
/**
 * crowd_rig_ordinary() - whether a caller that comes back after a refusal is
 * answered 200.
 */
bool crowd_rig_ordinary(struct crowd_rig *r, const char *key);
/** crowd_rig_runs() - requests under /once/ that have begun to run. */
uint32_t crowd_rig_runs(const struct crowd_rig *r);
/** crowd_rig_metric() - a counter of the entry; 0: it has none. */
uint64_t crowd_rig_metric(struct crowd_rig *r, const char *name);

#define CROWD_FRONT_PORT 18080
#define CROWD_READY_PORT 18081
#define CROWD_FRAME_PORT 18740
#define CROWD_METRICS_PORT 9464

/** struct member - one connection of a crowd. */
struct crowd_member {
	int fd; /* -1: closed by the peer */
	GString *text; /* sent first */
	size_t sent; /* of the text and the units */
	GString *answer; /* its first bytes */
	size_t got; /* bytes of answers */
};

/** struct crowd - connections that all do the same. */
struct crowd {
	uint32_t n;
	struct crowd_member *members;
	const char *unit; /* sent over and over after the text */
	size_t unit_len;
	size_t send_max; /* bytes of units; 0: none */
	const char *tail; /* sent after them */
	bool reads; /* the answers */
	int rcvbuf; /* 0: the default */
};

/** crowd_open() - connects; @head is a format with the number of the member. */
void crowd_open(struct crowd *c, const char *ip, uint16_t port, uint32_t n,
    const char *head);
/**
 * crowd_play() - sends, and reads if it reads, until all is sent or nothing
 * moves any more.
 */
void crowd_play(struct crowd *c);
/** crowd_send() - sends once what each member's socket takes. */
void crowd_send(struct crowd *c);
/** crowd_count() - members whose answer begins with @text. */
uint32_t crowd_count(const struct crowd *c, const char *text);
void crowd_close(struct crowd *c);

/** crowd_ask() - sends a request and reads its answer; free it. */
char *crowd_ask(const char *ip, uint16_t port, const char *head,
    const char *body, size_t body_len);

/** struct usage - what a process has used at most. */
struct usage {
	uint64_t
	    bytes; /* resident, and in the kernel's queues of its sockets */
	uint32_t fds;
};

/**
 * usage_start() - watches a process that listens on @ip, from a thread.
 * @peer_ip: that it calls
 */
struct watch *usage_start(pid_t pid, const char *ip, const char *peer_ip);
/** usage_stop() - the highest figures; frees the watch. */
struct usage usage_stop(struct watch *w);

/** crowd_program() - path of an ordinary build of a program; free it. */
char *crowd_program(const char *name);
/** crowd_is_alive() - whether a child process has not ended. */
bool crowd_is_alive(pid_t pid);

#endif
