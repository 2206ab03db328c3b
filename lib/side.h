#ifndef SIDE_H
#define SIDE_H

#include "marlhoist.h"

/** enum state - state of a call at this side process. */
enum state { ST_NEW, ST_QUEUED, ST_RUNNING, ST_ATTACHED, ST_ENDED };

/** struct call_key - identifies one call of one entry. */
struct call_key {
	uint8_t request[MH_ID_LEN];
	uint64_t entry;
	uint32_t stage;
	uint32_t attempt;
};

/** struct call - a call, from its arrival to the acknowledged result. */
struct call {
	struct mh_item item;
	struct call_key key;
	struct side *s;
	uint64_t conn;
	enum state state;
	uint32_t kind;
	bool at_most_once;
	bool stream;
	char *once_key; /* at-most-once key */
	uint32_t partition;
	uint64_t epoch;
	char *path;
	char *org;
	GBytes *body;
	uint64_t fingerprint; /* of the caller's request */
	uint64_t run; /* token of the run */
	int64_t run_at_us;
	int64_t first_us; /* endpoint's time to the first chunk */
	int64_t orphan_since_us; /* no link to its entry since; 0: linked */
	GPtrArray *chunks;
	/* result */
	Mh__Outcome outcome;
	uint32_t status;
	enum mh_refusal reason;
	Mh__Outcome key_outcome; /* of a refused at-most-once call */
	int64_t retry_us;
	GBytes *result;
	struct mh_run_msg usage; /* only the token counts are set */
	int64_t endpoint_us;
};

/** struct order - an order that runs at the endpoint. */
struct order {
	uint64_t conn;
	uint64_t token;
};

/** struct side - the service "side". */
struct side {
	struct mh_kern *k;
	struct mh_side_args a;
	char *pool;
	GHashTable *calls; /* by id */
	GHashTable *runs; /* run token -> struct call */
	GHashTable *orders; /* run token -> struct order */
	struct mh_queue *queue;
	struct mh_ledger *ledger;
	uint32_t running;
	int64_t rest_end_us; /* the endpoint wants no run before */
	double run_us; /* moving average of a call's time at the endpoint */
	double factor; /* moving average of actual over predicted time */
	/* identifies the endpoint to other processes, new after each crash */
	char *endpoint_id;
	uint32_t crashes;
	int64_t broken_since_us; /* a call broke; 0: a later one completed */
	bool draining;
	int64_t drain_deadline_us; /* if draining: every call ends by then */
	uint64_t fence; /* highest fencing number seen */
	struct mh_timer *tick;
};

/* side.c */
bool side_read_id(const Mh__CallId *id, struct call_key *k);

/* sidecall.c */
struct call *call_new(struct side *s, uint64_t conn, const Mh__Call *m);
void call_free(void *arg);
void call_drop(struct call *c);
/** call_resend() - sends the chunks from @from on and the result, if any. */
void call_resend(struct call *c, uint64_t conn, guint from);
void call_refuse(struct call *c, enum mh_refusal why, int64_t retry_us);
void call_enqueue(struct side *s, struct call *c);
/** call_admit_once() - queues, attaches or answers an at-most-once call. */
void call_admit_once(struct side *s, struct call *c);
void call_cancel(struct call *c);
/** side_pump() - starts queued calls while slots are free. */
void side_pump(struct side *s);
/** side_set_endpoint_id() - sets the id from the number of crashes. */
void side_set_endpoint_id(struct side *s);
void side_run_ended(struct side *s, const struct mh_run_msg *m);
/** side_abort_runs() - aborts every running call; each may have run. */
void side_abort_runs(struct side *s);
void side_run_chunk(struct side *s, const struct mh_run_msg *m);

#endif
