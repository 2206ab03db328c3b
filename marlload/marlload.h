#ifndef MARLLOAD_H
#define MARLLOAD_H

#include "marlhoist.h"

#define REF_LEN 16
#define MAX_ENTRIES 16
#define MAX_SECONDS 600
#define PLANS 5

/** struct plan - one kind of request in the mix. */
struct plan {
	const char *pipeline;
	const char *org;
	const char *key; /* the caller's bearer key */
	const char *class;
	double share;
	double burst_share; /* share while a burst lasts */
	int64_t deadline_us;
	uint32_t tokens; /* 0: a plain service */
	bool never;
	bool stream;
};

/** struct shot - one request of the trace. */
struct shot {
	const struct plan *plan;
	int64_t at_us; /* intended, since the start */
	char ref[REF_LEN + 1];
	char *once; /* idempotency key, given or learned */
	bool once_given;
	uint32_t context;
	uint32_t entry;
	uint32_t tokens;
	/* what became of it */
	int64_t sent_us;
	int64_t done_us;
	int64_t first_us;
	int64_t last_chunk_us;
	uint32_t status;
	uint32_t tries;
	bool ended;
	bool right; /* whole and its own */
	bool wrong; /* 200, but not whole or not its own */
	char *outcome;
	GString *text;
	struct load *load;
};

struct load_args {
	const char *scenario;
	const char *policy;
	const char *entries[MAX_ENTRIES];
	uint32_t nentries;
	const char *audit;
	const char *json_file;
	const char *only; /* one pipeline, NULL: the whole mix */
	uint32_t tokens; /* to ask for, 0: as the plan says */
	double rate;
	double burst; /* times the rate */
	double burst_from; /* share of the run */
	double burst_to;
	uint32_t seconds;
	uint32_t seed;
};

struct load {
	struct load_args a;
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_client *client;
	GPtrArray *shots;
	guint next;
	guint open;
	int64_t start_us;
	struct mh_hist *first[MH_PRIORITIES];
	struct mh_hist *between;
	struct mh_hist *added; /* of a stage over its endpoint's time */
	json_t *audit;
};

extern const struct plan plans[PLANS];

/* trace.c */
GPtrArray *trace_make(const struct load_args *a);
GBytes *shot_body(const struct shot *s);
void shot_free(void *arg);

/* verify.c */
void shot_verify(struct shot *s);

/* report.c */
void report(struct load *l);

#endif
