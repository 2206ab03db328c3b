#ifndef OPAQUE_H
#define OPAQUE_H

/*
 * HTTP requests and responses, passed on byte for byte: header fields, a
 * server, and a client that sends a request at most once.  Routing and retry
 * decisions are made elsewhere.
 */

#include "marlhoist.h"

/* headers.c */

struct mh_headers;
typedef void (*mh_header_fn)(void *arg, const char *name, const char *value);

struct mh_headers *mh_headers_create(void);
void mh_headers_destroy(struct mh_headers *h);
/** mh_headers_add() - appends a field; trims white space after the value. */
void mh_headers_add(struct mh_headers *h, const char *name, const char *value);
/**
 * mh_headers_get() - value of the first such field, any case, or NULL; valid
 * until a field is added.
 */
const char *mh_headers_get(const struct mh_headers *h, const char *name);
uint32_t mh_headers_count(const struct mh_headers *h, const char *name);
void mh_headers_each(const struct mh_headers *h, mh_header_fn fn, void *arg);
/** mh_headers_bytes() - memory that the list takes. */
size_t mh_headers_bytes(const struct mh_headers *h);
/**
 * mh_header_is_hop() - whether a field is hop-by-hop, so not passed on.
 *
 * Includes the names in the Connection fields of @h, and Content-Length and
 * Expect, which each hop handles itself.
 */
bool mh_header_is_hop(const struct mh_headers *h, const char *name);
/** mh_headers_coding_ok() - no transfer coding, or "chunked" alone. */
bool mh_headers_coding_ok(const struct mh_headers *h);
/** mh_header_name_ok() - whether it is an RFC 9110 token. */
bool mh_header_name_ok(const char *name);
bool mh_header_value_ok(const char *value);

/* lineends.c */

/** struct mh_line_ends - state of the line end checks of one message. */
struct mh_line_ends {
	const char *next; /* first unchecked byte of the data fed */
	bool after_cr; /* the last checked byte was CR */
	bool after_lf;
	bool bare_lf; /* a line ended with LF alone */
	bool after_chunk; /* chunk data ended; CR LF must follow */
};

/** mh_line_ends_feed() - sets the next bytes of the message. */
void mh_line_ends_feed(struct mh_line_ends *l, const char *data);
/**
 * mh_line_ends_check() - checks the bytes before @at, outside of the body.
 * @chunked: the body has chunked coding; then all lines must end with CR LF
 *
 * Returns false if a line is malformed.
 */
bool mh_line_ends_check(struct mh_line_ends *l, const char *at, bool chunked);
/** mh_line_ends_body() - skips body bytes up to @end without a check. */
void mh_line_ends_body(struct mh_line_ends *l, const char *end, bool chunked);

/* statusline.c */

/** struct mh_status_line - state of the check of a response's status. */
struct mh_status_line {
	enum {
		MH_STATUS_VERSION, /* initial */
		MH_STATUS_CODE,
		MH_STATUS_FIELDS,
		MH_STATUS_DONE /* in the body */
	} at;
	uint32_t digits; /* so far */
	uint32_t status;
	size_t line_bytes; /* of the line being read */
};

/**
 * mh_status_line_feed() - checks the next bytes of a response, up to its body.
 *
 * Returns false if the status is not a code of three digits, 100 to 599.
 */
bool mh_status_line_feed(
    struct mh_status_line *s, const char *data, size_t len);

/* addr.c */

/**
 * mh_listen() - opens a listening socket; the caller closes it.
 * @port: set to the port that is bound; port 0 in @addr picks a free one
 *
 * Returns -1 and sets @err on failure.
 */
int mh_listen(const char *addr, uint16_t *port, GError **err);

/* hserve.c, hreq.c: HTTP/1.1 server that keeps requests byte for byte */

struct mh_hserve;
struct mh_hreq;

/** struct mh_hlimits - limits on the size and duration of a request. */
struct mh_hlimits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	int64_t header_us; /* from a request's first byte to its last */
	int64_t idle_us; /* without a request, since accept or a response */
};

struct mh_hserve_args {
	const char *listen; /* ip:port, port 0 picks a free one */
	struct mh_hlimits limits;
	void (*on_request)(void *arg, struct mh_hreq *r);
	/* the caller disconnected first; @r is freed on return */
	void (*on_disconnect)(void *arg, struct mh_hreq *r);
	/*
	 * The head of a request with a large body is complete: returns whether
	 * to read the body, or sets @why.  NULL: always.
	 */
	bool (*on_body)(void *arg, struct mh_hreq *r, int *why);
	/* answers such a request, or MH_REFUSE_MEMORY; NULL: a plain 503 */
	void (*on_refuse)(void *arg, struct mh_hreq *r, int why);
	void *arg;
	struct mh_account *account; /* that connections draw from; NULL: none */
	uint32_t max_conns; /* 0: no bound */
};

/* No memory for what a request would take. */
#define MH_REFUSE_MEMORY (-1)

struct mh_hserve *mh_hserve_create(
    struct mh_loop *l, const struct mh_hserve_args *a, GError **err);
void mh_hserve_destroy(struct mh_hserve *s);
uint16_t mh_hserve_port(const struct mh_hserve *s);
/**
 * mh_hserve_set_limits() - limits for the requests to come.
 *
 * A request that is being read or waited for gets the wider of each old and new
 * limit: its caller may know either.
 */
void mh_hserve_set_limits(struct mh_hserve *s, const struct mh_hlimits *l);
/** mh_hserve_set_max_conns() - most connections; 0: no bound. */
void mh_hserve_set_max_conns(struct mh_hserve *s, uint32_t max_conns);
/**
 * mh_hserve_relieve() - closes connections of the share that is over its part,
 * those without progress for the longest time first.
 */
void mh_hserve_relieve(struct mh_hserve *s);
uint32_t mh_hserve_conns(const struct mh_hserve *s);
/** mh_hserve_drain() - closes each connection after its next response. */
void mh_hserve_drain(struct mh_hserve *s);
/**
 * mh_hserve_finish() - last step of an orderly shutdown.
 *
 * Accepts the connections in the listen queue, closes the listening socket,
 * and closes each connection once it waits for a request.  A request received
 * by then is still read and delivered, and must be answered at once.  A later
 * request is never read: its caller sees a reset and no byte of a response.
 * Responses go on until the kernel has accepted their last byte.  Call it as
 * long after mh_hserve_drain() as possible: a connection whose response
 * announced the close is not used again, so no request on it meets a reset.
 */
void mh_hserve_finish(struct mh_hserve *s);
/**
 * mh_hserve_active_count() - connections in the middle of an exchange.
 *
 * Those with a request that is partly read or not answered, and those with a
 * response whose bytes the kernel has not accepted yet.
 */
uint32_t mh_hserve_active_count(const struct mh_hserve *s);

const char *mh_hreq_method(const struct mh_hreq *r);
/** mh_hreq_target() - path and query as received, not decoded. */
const char *mh_hreq_target(const struct mh_hreq *r);
const struct mh_headers *mh_hreq_headers(const struct mh_hreq *r);
/** mh_hreq_body() - owned by the request. */
const GByteArray *mh_hreq_body(const struct mh_hreq *r);
/** mh_hreq_body_bytes() - the same memory, which outlives the request. */
GBytes *mh_hreq_body_bytes(const struct mh_hreq *r);
/** mh_hreq_set_share() - the share that its connection draws from. */
void mh_hreq_set_share(struct mh_hreq *r, const char *name);
void *mh_hreq_data(const struct mh_hreq *r);
void mh_hreq_set_data(struct mh_hreq *r, void *data);
/**
 * mh_hreq_head() - starts the response.
 * @length: bytes of the body, -1 if not known yet
 */
void mh_hreq_head(struct mh_hreq *r, uint32_t status,
    const struct mh_headers *headers, int64_t length);
void mh_hreq_write(struct mh_hreq *r, const void *data, size_t len);
/**
 * mh_hreq_end() - completes the response; frees @r.
 *
 * Resets the connection instead if the body does not have the declared length.
 */
void mh_hreq_end(struct mh_hreq *r);
/** mh_hreq_abort() - resets the connection; frees @r. */
void mh_hreq_abort(struct mh_hreq *r);

/* hcall.c: HTTP/1.1 client that sends each request at most once */

struct mh_hcalls;
struct mh_hcall;

enum mh_hcall_outcome {
	MH_CALL_COMPLETE, /* the response is complete */
	MH_CALL_UNSENT, /* no byte of the request was sent */
	MH_CALL_BROKEN, /* sent at least in part; it may have been executed */
	MH_CALL_UNREADABLE, /* sent; the response is malformed */
	/* nothing was sent: the peer did not answer the dial in time */
	MH_CALL_UNANSWERED,
	/* sent at least in part: the peer acknowledged nothing for too long */
	MH_CALL_UNACKED
};

/**
 * struct mh_hcall_fns - callbacks of a call.
 * @head: @length is the declared body length, -1 if there is none
 * @done: last callback of a call, which is freed on return
 */
struct mh_hcall_fns {
	void (*head)(void *arg, uint32_t status, const struct mh_headers *h,
	    int64_t length);
	void (*data)(void *arg, const char *data, size_t len);
	void (*done)(void *arg, enum mh_hcall_outcome outcome);
};

struct mh_hcall_args {
	const char *addr; /* ip:port */
	const char *peer; /* process at @addr; has its own connections */
	GBytes *text; /* the request, or its head */
	GBytes *body; /* sent after the text; NULL: none */
	/* a response whose field @echo_name is not @echo is of another call */
	const char *echo_name;
	const char *echo;
	bool is_head; /* a HEAD request: the response has no body */
	bool fresh; /* use a new connection */
	bool is_control; /* it runs no work at the peer */
	bool is_patient; /* the caller ends it, however silent the peer is */
	/* a longer body makes the response unreadable; 0: data() bounds it */
	uint64_t max_bytes;
	struct mh_hcall_fns fns;
	void *arg;
};

/** struct mh_hcall_head - the head of a response, of whichever call. */
struct mh_hcall_head {
	const char *peer;
	/* when its call started; 0: a control call, or a response to another */
	int64_t sent_us;
	uint32_t status; /* 200 or higher */
	const struct mh_headers *headers;
};

struct mh_hcalls *mh_hcalls_create(struct mh_loop *l);
/**
 * mh_hcalls_on_head() - @fn gets the head of every response, also of one that
 * belongs to none of the calls; it must not start or abort calls.
 */
void mh_hcalls_on_head(struct mh_hcalls *c,
    void (*fn)(void *arg, const struct mh_hcall_head *h), void *arg);
void mh_hcalls_destroy(struct mh_hcalls *c);
struct mh_hcall *mh_hcalls_start(
    struct mh_hcalls *c, const struct mh_hcall_args *a);
/** mh_hcall_is_sent() - whether the kernel has the whole request. */
bool mh_hcall_is_sent(const struct mh_hcall *call);
/** mh_hcall_abort() - closes its connection without calling done(). */
void mh_hcall_abort(struct mh_hcall *call);
/**
 * mh_hcalls_close_peer() - closes the connections to a peer.
 *
 * Idle ones are closed at once, the others when their calls end.
 */
void mh_hcalls_close_peer(struct mh_hcalls *c, const char *peer);

#endif
