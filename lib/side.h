#ifndef SIDE_H
#define SIDE_H

#include "marlhoist.h"

/** enum state - where a call stands at this side process. */
enum state { ST_NEW, ST_QUEUED, ST_RUNNING, ST_ATTACHED, ST_ENDED };

/** struct call_key - names one call of one entry. */
struct call_key {
	uint8_t request[MH_ID_LEN];
	uint64_t entry;
	uint32_t stage;
	uint32_t attempt;
};

/** struct call - one call, from its frame to its acknowledgement. */
struct call {
	struct mh_item item;
	struct call_key key;
	struct side *s;
	uint64_t conn;
	enum state state;
	uint32_t kind;
	bool never;
	bool stream;
	char *once; /* at-most-once key */
	uint32_t partition;
	uint64_t epoch;
	char *path;
	char *org;
	GBytes *body;
	uint64_t print; /* of the caller's request */
	uint64_t run; /* token of the run */
	int64_t run_at_us;
	int64_t first_us; /* endpoint's time to the first chunk */
	int64_t orphan_us; /* since when no link leads to its entry */
	GPtrArray *chunks;
	/* the end */
	Mh__Outcome outcome;
	uint32_t status;
	enum mh_refusal reason;
	Mh__Outcome key_outcome; /* of a refused non-repeatable call */
	int64_t retry_us;
	GBytes *result;
	struct mh_run_msg used;
	int64_t endpoint_us;
};

/** struct order - an order whose end the endpoint will tell. */
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
	double run_us; /* smoothed time of a call at the endpoint */
	double factor; /* real over predicted time at this endpoint */
	/* its endpoint as others know it, another after each end */
	char *endpoint;
	uint32_t ends;
	int64_t broke_us; /* a call there broke and none ended well since; 0 */
	bool draining;
	int64_t end_us; /* with draining: every call is answered by then */
	uint64_t fence; /* highest order number seen */
	struct mh_timer *tick;
};

/* side.c */
bool side_read_id(const Mh__CallId *id, struct call_key *k);

/* sidecall.c */
struct call *call_new(struct side *s, uint64_t conn, const Mh__Call *m);
void call_free(void *arg);
void call_drop(struct call *c);
/** call_resend() - a link asks again: chunks from @from on, and the end. */
void call_resend(struct call *c, uint64_t conn, guint from);
void call_refuse(struct call *c, enum mh_refusal why, int64_t retry_us);
void call_enqueue(struct side *s, struct call *c);
/** call_decide_once() - a non-repeatable call: may it run here, now? */
void call_decide_once(struct side *s, struct call *c);
void call_cancel(struct call *c);
/** side_pump() - starts what waits while slots are free. */
void side_pump(struct side *s);
/** side_name_endpoint() - the incarnation that runs now, by its ends so far. */
void side_name_endpoint(struct side *s);
void side_run_ended(struct side *s, const struct mh_run_msg *m);
/** side_cut() - ends every call at the endpoint: it may have run. */
void side_cut(struct side *s);
void side_run_chunk(struct side *s, const struct mh_run_msg *m);

#endif
