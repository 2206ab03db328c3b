#ifndef HSERVEINT_H
#define HSERVEINT_H

/* Private to hserve.c and hroom.c. */

#include "hreqint.h"

/*
 * Buffers of the kernel for a connection, and for one with a large body or a
 * large response.  They count towards the memory of the machine.
 */
#define KERNEL_BYTES 16384
#define KERNEL_LARGE_BYTES (128 << 10)

enum conn_state {
	CONN_READING, /* idle, or a request is partly received */
	CONN_ANSWERING, /* the request was delivered */
	CONN_SENDING, /* the response is complete, its bytes are being sent */
	CONN_RESETTING, /* the response was aborted; to be reset */
	CONN_LINGER /* shut down for writing; discards input until closed */
};

struct conn {
	struct mh_hserve *s;
	int fd;
	enum conn_state state;
	bool close_after;
	bool peer_eof; /* the caller sent FIN, seen while sending */
	int64_t send_deadline_us;
	struct mh_hlimits limits; /* of the request to be read */
	int64_t wait_start_us; /* for its first byte, then for its last */
	struct mh_hreq *req;
	GByteArray *in;
	GByteArray *out;
	struct mh_timer *timer;
	/* what it holds; without an account the share is NULL */
	struct mh_share *share;
	uint64_t held_bytes;
	uint32_t in_most_bytes; /* since the buffer was empty */
	uint32_t out_most_bytes;
	bool reads_much; /* the kernel's buffers are large ones */
	bool sends_much;
	int64_t progress_us; /* when it made some last */
	uint32_t moved_bytes; /* since then */
	uint64_t discarded_bytes;
};

/** struct limited - what the limits did since the last log line. */
struct limited {
	uint32_t refused; /* requests, for memory */
	uint32_t closed_idle;
	uint32_t closed_stalled; /* with a response that isn't read */
	uint32_t turned_away; /* new connections */
};

struct mh_hserve {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hserve_args args;
	int fd;
	uint16_t port;
	bool draining;
	bool finishing;
	struct mh_timer *accept_timer;
	struct mh_timer *log_timer;
	struct limited limited;
	GHashTable *conns; /* set of struct conn */
};

/* hserve.c */

void mh_hconn_free(struct conn *c);
/**
 * mh_hconn_disconnect() - reports the disconnect to the owner of a delivered
 * request; frees @c.
 */
void mh_hconn_disconnect(struct conn *c);
/** mh_hconn_refuse() - answers a request that isn't complete; see on_refuse. */
void mh_hconn_refuse(struct conn *c, int why);
/** mh_hconn_want_io() - waits for what the connection can do next. */
void mh_hconn_want_io(struct conn *c);

/* hroom.c */

/** mh_hconn_kernel_buffer() - @option: SO_RCVBUF or SO_SNDBUF. */
void mh_hconn_kernel_buffer(int fd, int option, int bytes);
/** mh_hconn_charge() - charges what the connection holds now. */
void mh_hconn_charge(struct conn *c);
/** mh_hconn_set_share() - what it holds moves to the share of @name. */
void mh_hconn_set_share(struct conn *c, const char *name);
/** mh_hconn_progress() - @bytes were received or sent. */
void mh_hconn_progress(struct conn *c, size_t bytes);
/**
 * mh_hconn_make_room() - has its share keep its part, with @more bytes; refuses
 * the request of @c if it can't.
 */
void mh_hconn_make_room(struct conn *c, uint64_t more);
/** mh_hserve_make_place() - whether a caller that connects may be accepted. */
bool mh_hserve_make_place(struct mh_hserve *s);
/** mh_hserve_note_limited() - counts what a limit did; logged together. */
void mh_hserve_note_limited(
    struct mh_hserve *s, uint32_t *n, const char *counter);

#endif
