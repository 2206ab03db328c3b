#ifndef STAND_H
#define STAND_H

/*
 * Stand-ins for the review's scripts: a metadata store, HTTP servers and
 * callers on loopback, and entry processes.  One thread for each connection.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define PLATFORM_IP "127.0.0.1"

/* time and record */

int64_t now_ms(void);
void sleep_ms(int64_t ms);
/* Sleeps until @at_ms of now_ms(). */
void sleep_until(int64_t at_ms);
void record_open(const char *file);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* HTTP messages */

struct conn {
	int fd;
	char *buf;
	size_t len;
	void *data; /* free for the server */
};

struct msg {
	char *head; /* start line and fields, each ended by CR LF */
	char method[16]; /* of a request */
	char target[256];
	int status; /* of a response */
	char *body;
	size_t body_len;
	bool whole; /* the body is complete */
};

/* Reads one message; false if the connection ended before its head. */
bool msg_read(struct conn *c, struct msg *m, bool response);
void msg_free(struct msg *m);
/* Copies the value of a field to @value; false if there is none. */
bool msg_field(const struct msg *m, const char *name, char *value, size_t size);
bool conn_send(struct conn *c, const char *data, size_t len);
bool conn_sendf(struct conn *c, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Sends a response with @fields (each ended by CR LF) and a length. */
bool conn_respond(
    struct conn *c, int status, const char *fields, const char *body);

/* servers */

typedef bool (*serve_fn)(struct conn *c, struct msg *m, void *arg);
/* Listens on a free port of PLATFORM_IP and returns it. */
int serve(serve_fn fn, void *arg);
/* Listens on @port of PLATFORM_IP. */
void serve_at(int port, serve_fn fn, void *arg);
/* A port that is free now. */
int free_port(const char *ip);

/* the store */

/* Starts it and returns its port. */
int store_start(void);
void store_put(const char *key, const char *text);
/* Writes the row of a ready replica. */
void store_register(
    const char *id, const char *service, int port, int capacity);

/* The same, of a replica that says when it started, Unix ms. */
void store_register_born(const char *id, const char *service, int port,
    int capacity, int64_t born_ms);
/* While it is away it answers 503. */
void store_set_away(bool away);
bool store_is_away(void);

/* callers */

/* Connects; -1 if that fails. */
int dial(const char *ip, int port);

struct answer {
	int status; /* 0: none */
	bool whole;
	char *head;
	char *body;
};

/*
 * Sends @request to an entry over a new connection and waits for the answer.
 * @leave_ms: closes the connection after this time; 0: waits for 20 s
 */
struct answer ask(
    const char *ip, int port, const char *request, int64_t leave_ms);
void answer_free(struct answer *a);

/* entry processes */

struct entry {
	char name[32];
	char ip[32];
	int front_port;
	int ready_port;
	int store_port;
	char dir[256];
	pid_t pid;
};

/* Starts target/marlgated with settings of a small deployment. */
void entry_start(struct entry *e, int number, const char *dir, int store_port);
/* Waits until it says that it is ready; false after 10 s. */
bool entry_wait_ready(const struct entry *e);
/* Ends it; returns false if it had ended before. */
bool entry_stop(struct entry *e);

#endif
