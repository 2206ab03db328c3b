#ifndef GATERIG_H
#define GATERIG_H

/* A gate whose other sides are counters. */

#include "gate.h"

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/** struct grig - a gate whose other sides are counters. */
struct grig {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_place *p;
	struct mh_budget *b;
	struct mh_gate *g;
	struct mh_gconf *conf;
	int64_t now_us;
	struct mh_try *cur; /* last sent, NULL once aborted */
	char last[16]; /* endpoint of the last try */
	char resume[16]; /* where it goes on */
	uint32_t sends;
	uint32_t aborts;
	uint32_t finished;
	uint32_t broken;
	uint32_t refused;
	uint32_t jobs;
	uint32_t dropped;
	enum mh_gate_refusal why;
	int64_t retry_us;
	struct mh_job *job;
	GPtrArray *open; /* requests that have not ended */
};

struct grig *grig_create(uint32_t nodes);
void grig_destroy(struct grig *r);
/** grig_pass() - lets @us of time go by. */
void grig_pass(struct grig *r, int64_t us);
/** grig_ask() - a request of a caller; @deadline_us 0: none given. */
struct mh_gask *grig_ask(
    struct grig *r, const char *target, int64_t deadline_us);
/** grig_answer() - a whole answer to the last try. */
void grig_answer(struct grig *r, uint32_t status, bool not_run, bool genuine);
/** grig_end() - forgets a request that has ended. */
void grig_end(struct grig *r, struct mh_gask *q);

#endif
