#ifndef GATEINT_H
#define GATEINT_H

/* Shared by the files of the gate, gate*.c, alone. */

#include "gate.h"

#define MH_GRUNS 16

/** struct mh_gruns - times from sending to the whole answer, the last ones. */
struct mh_gruns {
	int64_t us[MH_GRUNS];
	uint32_t n;
	uint32_t next;
};

/** struct mh_gate - the gate's own state. */
struct mh_gate {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_place *place;
	struct mh_budget *budget;
	struct mh_gate_ops ops;
	struct mh_gconf *conf;
	/* how long a later one has been on its way, 0: none is; NULL: never */
	int64_t (*behind_us)(void *arg);
	void *behind_arg;
	int64_t behind_most_us; /* then requests are refused; 0: never */
	bool overdue; /* it has been told */
	char *domain;
	uint32_t entries; /* processes like this one */
	GHashTable *asks; /* set of struct mh_gask */
	int64_t leave_us; /* 0: not leaving; else when it will be gone */
	int64_t streams_until_us; /* streams that come later are refused */
	GHashTable *deadlines; /* route -> longest time given */
	GHashTable *sizes; /* route -> mean size of a request, double */
	GHashTable *runs; /* route -> struct mh_gruns */
};

/** mh_gate_try_next() - sends it to the next endpoint, or ends it. */
void mh_gate_try_next(struct mh_gate *g, struct mh_gask *q);
/** mh_gate_refuse() - ends it with an answer of our own. */
void mh_gate_refuse(struct mh_gate *g, struct mh_gask *q,
    enum mh_gate_refusal why, int64_t retry_us);
/** mh_gate_refuse_held() - true where endpoints end under it: it is refused. */
bool mh_gate_refuse_held(struct mh_gate *g, struct mh_gask *q);
/** mh_gate_close() - forgets it; its try and its job are ended. */
void mh_gate_close(struct mh_gate *g, struct mh_gask *q, bool abort);
/** mh_gate_fill_place() - what placement is to know of it. */
void mh_gate_fill_place(
    struct mh_gate *g, const struct mh_gask *q, struct mh_place_ask *a);
/** mh_gate_log_end() - the line of its end. */
void mh_gate_log_end(struct mh_gate *g, const struct mh_gask *q,
    const char *outcome, int64_t retry_us);
/**
 * mh_gate_limit_us() - when it is given up on: absolute.
 *
 * Its caller's or the route's limit; where this process leaves, no later than
 * it can still be answered here.
 */
int64_t mh_gate_limit_us(const struct mh_gate *g, const struct mh_gask *q);
/** mh_gate_log_cut() - the line of one that the end of this process cuts. */
void mh_gate_log_cut(struct mh_gate *g, const struct mh_gask *q);
/** mh_gate_stream_after() - the last event passed on, for log lines. */
const char *mh_gate_stream_after(const struct mh_gask *q);
/** mh_gate_stream_held() - bytes of an event that is not whole, likewise. */
size_t mh_gate_stream_held(const struct mh_gask *q);
/** mh_gate_can_go_on() - another run may follow on what was passed on. */
bool mh_gate_can_go_on(const struct mh_gask *q);
/** mh_gate_read_events() - the try's answer is a stream from here on. */
void mh_gate_read_events(struct mh_gate *g, struct mh_try *t);
/** mh_gate_note_ids() - how @n, or NULL, numbers the events of streams. */
void mh_gate_note_ids(struct mh_node *n, const struct mh_try *t);
/** mh_gate_set_limit() - starts the timer of its limit, as it is now. */
void mh_gate_set_limit(struct mh_gate *g, struct mh_gask *q);
/** mh_gate_out_of_time() - gives up on it, and says truly if it may have run.
 */
void mh_gate_out_of_time(struct mh_gate *g, struct mh_gask *q);
/** mh_gate_ends_in_time() - whether a new request will have ended before us. */
bool mh_gate_ends_in_time(const struct mh_gate *g, const struct mh_gask *q);
/** mh_gate_note_run() - its answer is whole: how long did that take? */
void mh_gate_note_run(struct mh_gate *g, const struct mh_gask *q);
/** mh_gate_patience_us() - how long callers of a stream wait for an event. */
int64_t mh_gate_patience_us(const struct mh_groute *r);
/** mh_gate_start_job() - asks for the stage work of a request. */
void mh_gate_start_job(struct mh_gate *g, struct mh_gask *q);

#endif
