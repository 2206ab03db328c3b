/*
 * Stand-ins of the platform for the cases of this review: the metadata store,
 * replicas, clients and a proxy, all in one process on loopback, and the entry
 * daemons as processes of their own.
 */

#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HEADERS 64

/** struct rig_msg - an HTTP message that was read. */
struct rig_msg {
	char *start[3]; /* the three words of the first line */
	char *name[RIG_HEADERS];
	char *value[RIG_HEADERS];
	int n_headers;
	char *body;
	size_t body_len;
	char *head; /* owns the words and the fields */
	bool whole; /* the body came to its end */
};

/** struct rig_conn - a connection and what was read ahead on it. */
struct rig_conn {
	int fd;
	char *buf;
	size_t len;
	size_t cap;
	int number; /* of its server, from 1 */
	void *data; /* of the handler */
};

/** Returns false if the connection is to be closed. */
typedef bool (*rig_fn)(void *arg, struct rig_conn *c, struct rig_msg *m);

struct rig_server {
	char addr[32];
	int fd;
	rig_fn fn;
	void *arg;
	int n_conns;
};

/** struct rig_entry - an entry daemon. */
struct rig_entry {
	struct rig_server *store; /* its own address of the one store */
	char ip[24];
	char front[32];
	char ready[32];
	char node[32];
	char zone[16];
	char file[256]; /* settings */
	char log[256];
	pid_t pid;
	int ports_from;
};

/** rig_start() - opens the record and starts the store; exits with 2 if not. */
void rig_start(const char *rule);
/** rig_trouble() - whether the disruption is wanted (TROUBLE is not 0). */
bool rig_trouble(void);
/** rig_record() - adds a line with the time to record.txt. */
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** rig_now() - seconds since rig_start(). */
double rig_now(void);
void rig_sleep(double s);
/** rig_end() - stops all processes and exits with @status. */
_Noreturn void rig_end(int status, const char *why);

/* store */

#define RIG_RESET 1

/** Returns 200 to serve the call, another status, or RIG_RESET. */
typedef int (*rig_hook)(struct rig_entry *e, const struct rig_msg *m);
/** rig_store_hook - asked for each call of an entry to the store. */
extern rig_hook rig_store_hook;

/** rig_put() - writes an item as the operator or a replica does. */
uint64_t rig_put(const char *key, const char *text);
void rig_remove(const char *key);
/** rig_row() - writes the row of a replica. */
void rig_row(const char *id, const char *service, const char *addr,
    const char *zone, int capacity, const char *state);

/* servers */

struct rig_server *rig_serve(const char *ip, rig_fn fn, void *arg);
/** rig_read() - reads a message; false at the end of the connection. */
bool rig_read(struct rig_conn *c, struct rig_msg *m, bool is_answer);
/** rig_read_head() - reads a head alone, which rig_read_body() goes on with. */
bool rig_read_head(struct rig_conn *c, struct rig_msg *m);
bool rig_read_body(struct rig_conn *c, struct rig_msg *m, bool is_answer);
void rig_free(struct rig_msg *m);
const char *rig_header(const struct rig_msg *m, const char *name);
bool rig_send(struct rig_conn *c, const char *text, size_t len);
bool rig_sendf(struct rig_conn *c, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/** rig_answer() - a whole answer with a length; @extra: further fields. */
bool rig_answer(struct rig_conn *c, int status, const char *extra,
    const char *body);

/* clients */

bool rig_dial(struct rig_conn *c, const char *addr, double timeout_s);
void rig_close(struct rig_conn *c);
/** rig_reset() - closes with a reset. */
void rig_reset(struct rig_conn *c);
/** rig_thread() - runs @fn in a thread of its own. */
void rig_thread(void *(*fn)(void *), void *arg);

/* entries */

/** rig_entry() - starts an entry; its settings are those of a small site. */
struct rig_entry *rig_entry(int number, const char *zone);
void rig_restart(struct rig_entry *e);
void rig_signal(struct rig_entry *e, int sig);
/** rig_wait_ready() - waits until it answers 200; ends the case if not. */
void rig_wait_ready(struct rig_entry *e);
/** rig_is_ready() - one question at its readiness address. */
bool rig_is_ready(struct rig_entry *e);
/** rig_exited() - whether the process has ended by itself. */
bool rig_exited(struct rig_entry *e);
/** rig_ip() - a loopback address that only this run uses. */
const char *rig_ip(int number);

#endif
