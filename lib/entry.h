#ifndef ENTRY_H
#define ENTRY_H

#include "marlhoist.h"

#define MAX_TRIES 2 /* concurrent calls of a stage: the first and a hedge */

struct request;

/** struct stage_try - one call of a request's current stage. */
struct stage_try {
	struct request *r;
	struct mh_call *call; /* NULL: no call in flight */
	int64_t started_us;
	int64_t first_chunk_us; /* time of the first chunk, 0: none yet */
	uint32_t tokens; /* chunks received, one token each */
	bool hedge;
};

/** struct request - the state of one caller's pipeline request. */
struct request {
	struct entry *e;
	uint8_t id[MH_ID_LEN];
	char *id_text;
	uint64_t fingerprint; /* equal for identical requests, see poison.h */
	uint64_t caller; /* the http service's id of the request */
	struct mh_decl *decl;
	struct mh_decision d;
	const struct mh_org *org;
	char *key; /* at-most-once key, ORGANISATION/KEY */
	uint8_t call_id[MH_ID_LEN]; /* of the last non-repeatable call */
	bool key_given; /* the caller sent the key; false: assigned here */
	int64_t arrived_us;
	int64_t deadline_us;
	bool stream;
	bool streaming; /* the SSE response has begun */
	uint32_t max_tokens;
	uint32_t done_tokens;
	uint64_t affinity; /* hash of the context, 0: none */
	struct mh_flow flow;
	struct mh_limit_ticket ticket;
	double used_units; /* by the stages that have ended */
	guint stage;
	uint32_t attempts; /* calls made, over all stages */
	uint32_t picks; /* calls made for this stage */
	int64_t stage_us; /* start of the current stage */
	bool maybe_ran; /* some call may have run */
	bool outcome_unknown; /* a non-repeatable call may have run */
	/* of a given key, as reported with the owner's last refusal */
	Mh__Outcome key_outcome;
	char *last_vm;
	char *last_domain;
	struct stage_try tries[MAX_TRIES];
	json_t *stages; /* a row for each stage that has ended */
	struct mh_timer *deadline_timer;
	struct mh_timer *check_timer; /* timeout, pace check or handover wait */
	struct mh_timer *hedge_timer;
	struct request *next;
};

/** struct lookup - a lookup or revocation that awaits the owner's reply. */
struct lookup {
	struct entry *e;
	uint64_t token; /* identifies the owner's reply */
	uint64_t caller;
	struct mh_timer *timer;
};

/** struct deferred - a request that waits until the entry has started. */
struct deferred {
	struct entry *e;
	struct mh_msg *msg;
	struct mh_timer *timer;
};

struct entry {
	struct mh_kern *k;
	char *vm;
	char *domain;
	bool draining;
	int64_t drain_end_us; /* if draining: latest deadline of a request */
	double retry_budget; /* retries and hedges that may start now */
	int64_t started_us;
	GPtrArray *deferred; /* struct deferred */
	GHashTable *requests; /* caller -> struct request */
	GHashTable *owners; /* service -> struct mh_owners */
	GHashTable *lookups; /* token -> struct lookup */
};

/** struct problem - an RFC 9457 problem document. */
struct problem {
	uint32_t status;
	const char *kind;
	const char *detail;
	const char *remedy;
	const char *outcome;
	char *lookup; /* path of the key's outcome; NULL: no key */
	int64_t retry_us; /* 0: no Retry-After */
};

/** struct given_key - whether a caller sent a key, and its lookup path. */
struct given_key {
	bool given; /* an earlier request may have used it */
	char *lookup; /* NULL: no such pipeline is declared */
};

/* entry.c */
void entry_reply(struct entry *e, uint64_t caller, uint32_t status,
    GBytes *body, uint32_t retry_after_s);
void entry_problem(struct entry *e, uint64_t caller, const struct problem *p);
/**
 * entry_refuse() - refuses a request of which no call was made.
 *
 * The response has no Retry-After.  Its outcome is "not-run", or "unknown" if
 * the caller sent a key that an earlier request may have used.
 */
void entry_refuse(struct entry *e, const struct mh_request_msg *m,
    uint32_t status, const char *kind, const char *detail, const char *remedy);
/**
 * entry_key_outcome() - the outcome to report for a request that did not run.
 *
 * "unknown" if an earlier request with the caller's key may have run.
 */
const char *entry_key_outcome(const struct request *r);
/** entry_outcome_text() - the name of an outcome in responses. */
const char *entry_outcome_text(Mh__Outcome o);
/** entry_dump() - @o as JSON text; releases the reference to @o. */
GBytes *entry_dump(json_t *o);
bool entry_key_is_valid(const char *key);
/** entry_done() - sends the answer of the last stage and frees @r. */
void entry_done(struct request *r);
/** entry_fail() - sends @p and frees @r. */
void entry_fail(struct request *r, const struct problem *p);
/** entry_token() - sends one token of a streamed answer. */
void entry_token(struct request *r, GBytes *text);
struct mh_owners *entry_owners(struct entry *e, const char *service);

/* deadline.c */
/** entry_draining_problem - for requests that the drain cuts short. */
extern const struct problem entry_draining_problem;
/** entry_cap_us() - @us, limited to the time before the end of a drain. */
int64_t entry_cap_us(const struct entry *e, int64_t us);
/** entry_cut_by_drain() - whether a drain sets the deadline of @r. */
bool entry_cut_by_drain(const struct request *r);
/** entry_set_deadline() - starts the timer that fails @r at its deadline_us. */
void entry_set_deadline(struct request *r);

/* outcome.c */
#define PREFIX_OUTCOMES "/v1/outcomes/"
/** outcome_request() - handles a GET (lookup) or DELETE (@revoke) request. */
void outcome_request(struct entry *e, const struct mh_request_msg *m,
    const struct mh_key_match *who, bool revoke);
/** outcome_receive() - handles the owner's reply to a lookup. */
void outcome_receive(void *arg, uint64_t conn, const Mh__Frame *f);
void outcome_free(void *lookup);

/* pick.c */
/** pick_endpoint() - the endpoint for a call; NULL: none is usable now. */
struct mh_peer *pick_endpoint(struct request *r, const struct mh_stage *s);

/* pipe.c */
const struct mh_stage *pipe_last_stage(const struct mh_pipeline *p);
void pipe_start(struct request *r);
void pipe_stop(struct request *r);
/** pipe_quarantine() - fails @r because it is quarantined. */
void pipe_quarantine(struct request *r);
/**
 * pipe_predict_us() - predicted time of the stages from @from on.
 * @waits: add the expected wait in each pool's queues
 */
int64_t pipe_predict_us(const struct request *r, guint from, bool waits);
/** pipe_rest_us() - time until all its pools have an endpoint not at rest. */
int64_t pipe_rest_us(const struct request *r);
/** pipe_units() - estimate of the weighted tokens that @r uses at most. */
double pipe_units(const struct request *r);

#endif
