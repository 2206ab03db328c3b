#ifndef GATERIG_H
#define GATERIG_H

/* Test fixture: a gateway whose adapter and stage scheduler only count. */

#include "gate.h"

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/** struct grig - a gateway, and the calls that its adapter received. */
struct grig {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_place *p;
	struct mh_budget *b;
	struct mh_gate *g;
	struct mh_gconf *conf;
	int64_t now_us;
	struct mh_try *cur; /* last sent, NULL once aborted */
	char last[16]; /* endpoint id of the last try */
	char resume[16]; /* event id that the last try resumes after, or "" */
	uint32_t sends;
	uint32_t aborts;
	uint32_t finished;
	uint32_t broken;
	uint32_t refused;
	uint32_t jobs;
	uint32_t dropped; /* jobs cancelled or released */
	enum mh_gate_refusal why; /* of the last refusal */
	int64_t retry_us; /* likewise */
	struct mh_job *job; /* last submitted */
	/* what endpoints answer that are asked for their start; 0: nothing */
	int64_t start_ms;
	uint32_t starts_asked;
	struct mh_greq *asking;
	struct mh_timer *start_timer;
	GPtrArray *open; /* requests that have not ended */
};

struct grig *grig_create(uint32_t nodes);
void grig_destroy(struct grig *r);
/** grig_advance() - advances the virtual time by @us. */
void grig_advance(struct grig *r, int64_t us);
/** grig_request() - submits a request; @deadline_us 0: none given. */
struct mh_greq *grig_request(
    struct grig *r, const char *target, int64_t deadline_us);
/** grig_list() - replaces the endpoints by n0, n1, ... of these versions. */
void grig_list(struct grig *r, const char *const *versions, uint32_t n);
/**
 * grig_stream() - submits a request for a stream that may be resumed.
 * @resumes: request that began it, of which event 3 has come; NULL: none
 */
struct mh_greq *grig_stream(
    struct grig *r, const char *id, const char *resumes);
/** grig_answer() - answers the last try completely. */
void grig_answer(struct grig *r, uint32_t status, bool not_run, bool genuine);
/** grig_finish_job() - the last stage work ends with one result. */
void grig_finish_job(struct grig *r);
/** grig_forget() - destroys a request that has ended. */
void grig_forget(struct grig *r, struct mh_greq *q);

#endif
