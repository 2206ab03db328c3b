#ifndef HREQINT_H
#define HREQINT_H

/* Shared by hreq.c and hserve.c alone. */

#include "gate.h"

#include <http_parser.h>

struct conn;

/** struct mh_hreq - one request, from its first byte to its answer's last. */
struct mh_hreq {
	struct conn *c; /* of hserve.c */
	const struct mh_hlimits *limits;
	GByteArray *out; /* the connection's */
	http_parser parser;
	struct mh_line_ends lines;
	bool began; /* its first byte has come; empty lines before are none */
	char *method;
	GString *target;
	struct mh_headers *headers;
	GString *name; /* the field being read */
	GString *value;
	bool in_value;
	bool keep_alive;
	bool chunked; /* the answer's framing */
	bool bodyless; /* the answer ends with its head */
	int64_t left; /* bytes of a told length to come; below 0: none told */
	bool over; /* more were written than told */
	bool http10;
	uint32_t header_bytes;
	GByteArray *body;
	uint32_t refuse; /* status of an error found while reading */
	void *data;
};

enum mh_hread {
	MH_HREAD_MORE, /* all bytes taken, the request is not whole */
	MH_HREAD_WHOLE,
	MH_HREAD_BAD /* to be refused with @refuse, or 400 */
};

/**
 * mh_hreq_create() - a request of which no byte has come.
 * @l: as they are when a byte is read; kept by the caller
 * @out: where answers are written; kept by the caller
 */
struct mh_hreq *mh_hreq_create(const struct mh_hlimits *l, GByteArray *out);
void mh_hreq_destroy(struct mh_hreq *r);
/** mh_hreq_read() - takes bytes from the front of @in, of one request. */
enum mh_hread mh_hreq_read(struct mh_hreq *r, GByteArray *in);
/** mh_hreq_framed() - whether an answer's end shows before the connection's. */
bool mh_hreq_framed(const struct mh_hreq *r, uint32_t status, int64_t length);
/** mh_hreq_put_head() - writes the head of an answer into @out. */
void mh_hreq_put_head(struct mh_hreq *r, uint32_t status,
    const struct mh_headers *headers, int64_t length, bool close);
/**
 * mh_hreq_put() - writes bytes of the body, framed as the head says.
 *
 * Where they pass the length told they are dropped, so that it isn't reached.
 */
void mh_hreq_put(struct mh_hreq *r, const void *data, size_t len);
/** mh_hreq_put_end() - false if the body hasn't the length told. */
bool mh_hreq_put_end(struct mh_hreq *r);

#endif
