#ifndef OPAQUE_H
#define OPAQUE_H

/*
 * HTTP requests and answers byte for byte: header fields, a server, and a
 * client that sends a request once.  Nothing here decides anything.
 */

#include "marlhoist.h"

/* headers.c */

struct mh_headers;
typedef void (*mh_header_fn)(void *arg, const char *name, const char *value);

struct mh_headers *mh_headers_create(void);
void mh_headers_destroy(struct mh_headers *h);
void mh_headers_add(struct mh_headers *h, const char *name, const char *value);
/** mh_headers_get() - the first field of that name, any case, or NULL. */
const char *mh_headers_get(const struct mh_headers *h, const char *name);
uint32_t mh_headers_count(const struct mh_headers *h, const char *name);
void mh_headers_each(const struct mh_headers *h, mh_header_fn fn, void *arg);
/** mh_header_is_hop() - a field that concerns one connection only. */
bool mh_header_is_hop(const struct mh_headers *h, const char *name);
/** mh_headers_coding_ok() - no transfer coding, or chunks alone. */
bool mh_headers_coding_ok(const struct mh_headers *h);
/** mh_header_name_ok() - an RFC 9110 token. */
bool mh_header_name_ok(const char *name);
bool mh_header_value_ok(const char *value);

/* lineends.c */

/** struct mh_line_ends - where the check of a message's lines stands. */
struct mh_line_ends {
	const char *next; /* first byte not looked at, in the bytes fed */
	bool after_cr;
	bool after_chunk; /* of the last chunk its data have come, in part */
};

/** mh_line_ends_feed() - @data are the next bytes of the message. */
void mh_line_ends_feed(struct mh_line_ends *l, const char *data);
/** mh_line_ends_upto() - whether the lines in the bytes before @at are sound.
 */
bool mh_line_ends_upto(struct mh_line_ends *l, const char *at);
/** mh_line_ends_body() - the bytes before @end are of the body. */
void mh_line_ends_body(struct mh_line_ends *l, const char *end, bool chunked);

/* addr.c */

/** mh_listen() - a listening socket; port 0 picks one, told in @port. */
int mh_listen(const char *addr, uint16_t *port, GError **err);

/* hserve.c, hreq.c: HTTP/1.1 server that keeps requests byte for byte */

struct mh_hserve;
struct mh_hreq;

/** struct mh_hlimits - bounds on what a caller may send, and how slowly. */
struct mh_hlimits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	int64_t header_us;
	int64_t idle_us;
};

struct mh_hserve_args {
	const char *listen; /* ip:port, port 0 picks one */
	struct mh_hlimits limits;
	void (*on_request)(void *arg, struct mh_hreq *r);
	/* the caller closed; @r is freed on return */
	void (*on_gone)(void *arg, struct mh_hreq *r);
	void *arg;
};

struct mh_hserve *mh_hserve_create(
    struct mh_loop *l, const struct mh_hserve_args *a, GError **err);
void mh_hserve_destroy(struct mh_hserve *s);
uint16_t mh_hserve_port(const struct mh_hserve *s);
void mh_hserve_set_limits(struct mh_hserve *s, const struct mh_hlimits *l);
/** mh_hserve_drain() - each answer from now on closes its connection. */
void mh_hserve_drain(struct mh_hserve *s);
/**
 * mh_hserve_finish() - the last part of an orderly end.
 *
 * Connections that wait for a request are closed, now and as they come to
 * wait; those that wait to be accepted are accepted first, then the listening
 * socket is closed.  A request whose bytes have come by then is still read
 * and handed over: who takes it answers or refuses at once.  One that comes
 * later meets a closed socket, so that its caller sees a reset and not one
 * byte of an answer; it has not been read.  Answers go on until their bytes
 * are with the kernel.  Call it late: a connection that carries an answer
 * before is told to close and needs no guess when the caller uses it next.
 */
void mh_hserve_finish(struct mh_hserve *s);
/**
 * mh_hserve_open() - connections that a server's end would cut.
 *
 * A request half read or not answered, or an answer with bytes that are not
 * with the kernel yet.
 */
uint32_t mh_hserve_open(const struct mh_hserve *s);

const char *mh_hreq_method(const struct mh_hreq *r);
/** mh_hreq_target() - path and query exactly as received. */
const char *mh_hreq_target(const struct mh_hreq *r);
const struct mh_headers *mh_hreq_headers(const struct mh_hreq *r);
/** mh_hreq_body() - valid while the request is. */
const GByteArray *mh_hreq_body(const struct mh_hreq *r);
void *mh_hreq_data(const struct mh_hreq *r);
void mh_hreq_set_data(struct mh_hreq *r, void *data);
/**
 * mh_hreq_head() - starts an answer.
 * @length: bytes of the body, -1 when not known beforehand
 */
void mh_hreq_head(struct mh_hreq *r, uint32_t status,
    const struct mh_headers *headers, int64_t length);
void mh_hreq_write(struct mh_hreq *r, const void *data, size_t len);
/**
 * mh_hreq_end() - the answer is complete; frees @r.
 *
 * One whose bytes aren't as many as told is broken instead.
 */
void mh_hreq_end(struct mh_hreq *r);
/** mh_hreq_break() - resets the connection; frees @r. */
void mh_hreq_break(struct mh_hreq *r);

/* hcall.c: HTTP/1.1 client that sends a request once, whatever happens */

struct mh_hcalls;
struct mh_hcall;

enum mh_hcall_end {
	MH_CALL_WHOLE, /* the answer came complete */
	MH_CALL_UNSENT, /* no byte of the request has left */
	MH_CALL_BROKEN, /* sent at least in part; it may have run */
	MH_CALL_UNREADABLE /* sent; what its peer answers can't be read */
};

struct mh_hcall_fns {
	void (*head)(void *arg, uint32_t status, const struct mh_headers *h,
	    int64_t length);
	void (*data)(void *arg, const char *data, size_t len);
	/* the call is freed on return */
	void (*done)(void *arg, enum mh_hcall_end end);
};

struct mh_hcall_args {
	const char *addr; /* ip:port */
	const char *peer; /* which process there; connections are its own */
	GBytes *text; /* the whole request */
	/* an answer whose field @echo_name is not @echo belongs to others */
	const char *echo_name;
	const char *echo;
	bool is_head; /* a HEAD request: the answer has no body */
	bool fresh; /* never on a kept connection */
	struct mh_hcall_fns fns;
	void *arg;
};

struct mh_hcalls *mh_hcalls_create(struct mh_loop *l);
void mh_hcalls_destroy(struct mh_hcalls *c);
struct mh_hcall *mh_hcalls_start(
    struct mh_hcalls *c, const struct mh_hcall_args *a);
/** mh_hcall_abort() - closes its connection; done() is not called. */
void mh_hcall_abort(struct mh_hcall *call);
/** mh_hcalls_forget() - closes the idle connections to a peer. */
void mh_hcalls_forget(struct mh_hcalls *c, const char *peer);

#endif
