#ifndef HREQINT_H
#define HREQINT_H

/* Private to hreq.c and hserve.c. */

#include "gate.h"

#include <http_parser.h>

struct conn;

/** struct mh_hreq - one request and the framing of its response. */
struct mh_hreq {
	struct conn *c; /* its connection, see hserve.c */
	const struct mh_hlimits *limits;
	GByteArray *out; /* output buffer of the connection */
	http_parser parser;
	struct mh_line_ends lines;
	bool started; /* a byte was received, leading empty lines aside */
	char *method;
	GString *target;
	struct mh_headers *headers;
	GString *name; /* of the header field being parsed */
	GString *value;
	bool in_value;
	bool keep_alive;
	bool chunked; /* the response uses chunked coding */
	bool bodyless; /* the response has no body */
	/* of the declared response length, not written yet; < 0: undeclared */
	int64_t remaining_bytes;
	bool overrun; /* more was written than the declared length */
	bool http10;
	uint32_t header_bytes;
	GByteArray *body;
	bool is_large; /* the body is over MH_SMALL_BODY_BYTES */
	uint32_t refuse_status; /* HTTP status of a parse error, 0: none */
	void *data;
};

/* A body up to this size counts as a part of the head. */
#define MH_SMALL_BODY_BYTES 16384

enum mh_hread {
	MH_HREAD_MORE, /* all input consumed, the request is incomplete */
	MH_HREAD_COMPLETE,
	MH_HREAD_BAD /* refuse it with @refuse_status, or 400 if that is 0 */
};

/**
 * mh_hreq_create() - a request of which nothing has been received.
 * @l: consulted on each read, so it may be widened; must outlive the request
 * @out: responses are appended here; must outlive the request
 */
struct mh_hreq *mh_hreq_create(const struct mh_hlimits *l, GByteArray *out);
void mh_hreq_destroy(struct mh_hreq *r);
/** mh_hreq_bytes() - memory that the request takes. */
size_t mh_hreq_bytes(const struct mh_hreq *r);
/** mh_hreq_turned_large() - whether its body has just proved to be large. */
bool mh_hreq_turned_large(struct mh_hreq *r);
/** mh_hreq_read() - parses at most one request, removing its bytes from @in. */
enum mh_hread mh_hreq_read(struct mh_hreq *r, GByteArray *in);
/**
 * mh_hreq_framed() - whether the response's end is marked in the message.
 *
 * If not, the response ends when the connection is closed.
 */
bool mh_hreq_framed(const struct mh_hreq *r, uint32_t status, int64_t length);
/** mh_hreq_put_head() - appends status line and header fields to @out. */
void mh_hreq_put_head(struct mh_hreq *r, uint32_t status,
    const struct mh_headers *headers, int64_t length, bool close);
/**
 * mh_hreq_put() - appends body bytes to @out, framed as the head declares.
 *
 * A write that exceeds the declared length is dropped whole, as is all that
 * follows, and mh_hreq_put_end() returns false.
 */
void mh_hreq_put(struct mh_hreq *r, const void *data, size_t len);
/** mh_hreq_put_end() - false if the body differs from the declared length. */
bool mh_hreq_put_end(struct mh_hreq *r);

#endif
