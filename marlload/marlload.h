#ifndef MARLLOAD_H
#define MARLLOAD_H

#include "marlhoist.h"

#define REF_LEN 16
#define MAX_ENTRIES 16
#define MAX_SECONDS 600
#define REQUEST_KINDS 5

/** struct request_kind - one kind of request in the generated mix. */
struct request_kind {
	const char *pipeline;
	const char *org;
	const char *api_key; /* sent as bearer token */
	const char *class;
	double share; /* of all requests */
	double burst_share; /* of the requests during a burst */
	int64_t deadline_us;
	uint32_t tokens; /* to generate; 0: plain service without tokens */
	bool at_most_once;
	bool stream;
};

/** struct load_request - one request of the trace and its result. */
struct load_request {
	const struct request_kind *kind;
	int64_t intended_us; /* intended send time, since the start */
	char ref[REF_LEN + 1]; /* random tag, repeated in the response */
	char *idem_key; /* sent, or assigned by the entry */
	bool idem_key_given;
	uint32_t context; /* which shared prompt prefix */
	uint32_t entry;
	uint32_t tokens;
	/* result; times are since the start */
	int64_t sent_us;
	int64_t done_us;
	int64_t first_token_us;
	int64_t last_chunk_us;
	uint32_t status;
	uint32_t tries;
	bool ended;
	bool correct; /* complete response with its own tag */
	bool incorrect; /* outcome done, but not correct */
	char *outcome;
	GString *response;
	struct load *load;
};

struct load_args {
	const char *scenario;
	const char *policy;
	const char *entries[MAX_ENTRIES];
	uint32_t nentries;
	const char *audit;
	const char *series_file;
	const char *only; /* one pipeline; NULL: the whole mix */
	uint32_t tokens; /* tokens per request; 0: as in struct request_kind */
	double rate; /* requests per second */
	double burst; /* factor of the rate during the burst; 1: none */
	double burst_from; /* begin and end, as shares of the duration */
	double burst_to;
	uint32_t seconds;
	uint32_t seed;
};

struct load {
	struct load_args a;
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_client *client;
	GPtrArray *requests;
	guint next;
	guint in_flight;
	int64_t start_us;
	struct mh_hist *first_token[MH_PRIORITIES]; /* only index 0 is filled */
	struct mh_hist *between_tokens;
	struct mh_hist *stage_added; /* stage latency minus endpoint time */
	json_t *audit;
};

extern const struct request_kind request_kinds[REQUEST_KINDS];

/* trace.c */

/** trace_create() - returns all struct load_request, ordered by send time. */
GPtrArray *trace_create(const struct load_args *a);
GBytes *request_body(const struct load_request *s);
void request_free(void *arg);

/* verify.c */

/** request_verify() - sets the outcome and correctness from the response. */
void request_verify(struct load_request *s);

/* report.c */

/** report() - prints the results of the run and writes the series files. */
void report(struct load *l);

#endif
