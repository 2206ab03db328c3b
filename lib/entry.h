#ifndef ENTRY_H
#define ENTRY_H

#include "marlhoist.h"

#define MAX_TRIES 2 /* calls of one stage at once: the first and a hedge */

struct request;

/** struct try - one call made for the stage under way. */
struct
try {
	struct request *r;
	struct mh_call *call; /* NULL: free */
	int64_t started_us;
	int64_t first_us; /* first chunk, 0: none yet */
	uint32_t tokens; /* chunks of this try */
	bool hedge;
};

/** struct request - one caller's request on its way through the stages. */
struct request {
	struct entry *e;
	uint8_t id[MH_ID_LEN];
	char *id_text;
	uint64_t print; /* equal when the same is asked again */
	uint64_t caller; /* names the waiting caller to http */
	struct mh_decl *decl;
	struct mh_decision d;
	const struct mh_org *org;
	char *key; /* at-most-once key, org/key */
	uint8_t call_id[MH_ID_LEN]; /* of a non-repeatable try */
	bool key_given;
	int64_t arrived_us;
	int64_t deadline_us;
	bool stream;
	bool streaming; /* the SSE answer was opened */
	uint32_t max_tokens;
	uint32_t done_tokens;
	uint64_t affinity;
	struct mh_flow flow;
	struct mh_limit_ticket ticket;
	double used_units;
	guint stage;
	uint32_t attempts; /* calls made, over all stages */
	uint32_t picks; /* endpoints asked for this stage */
	int64_t stage_us; /* when this stage began */
	bool maybe_ran; /* some call was accepted somewhere */
	bool unknown; /* a non-repeatable call may have run */
	/* what the owner said of a given key when it last refused a call */
	Mh__Outcome key_outcome;
	char *last_vm;
	char *last_domain;
	struct try tries[MAX_TRIES];
	json_t *stages;
	struct mh_timer *deadline;
	struct mh_timer *check; /* attempt timeout or pace check */
	struct mh_timer *hedge;
	struct request *next;
};

/** struct lookup - one question about an outcome. */
struct lookup {
	struct entry *e;
	uint64_t token;
	uint64_t caller;
	struct mh_timer *timer;
};

/** struct early - a request that came before the entry had settled. */
struct early {
	struct entry *e;
	struct mh_msg *msg;
	struct mh_timer *timer;
};

struct entry {
	struct mh_kern *k;
	char *vm;
	char *domain;
	bool draining;
	int64_t end_us; /* with draining: every request is answered by then */
	double budget; /* calls that may still be retried or hedged */
	int64_t started_us;
	GPtrArray *early; /* struct early */
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
	char *lookup; /* where a key's outcome is told; NULL: no key */
	int64_t retry_us; /* 0: no Retry-After */
};

/** struct asked_key - the key that a caller gave, and where to look it up. */
struct asked_key {
	bool given; /* it may have been asked before */
	char *lookup; /* NULL: the pipeline is not known */
};

/* entry.c */
void entry_reply(struct entry *e, uint64_t caller, uint32_t status,
    GBytes *body, uint32_t retry_after_s);
void entry_problem(struct entry *e, uint64_t caller, const struct problem *p);
/**
 * entry_refuse() - a problem without Retry-After: the request never left here.
 *
 * What is said of the outcome is true of a key that the caller gave too.
 */
void entry_refuse(struct entry *e, const struct mh_request_msg *m,
    uint32_t status, const char *kind, const char *detail, const char *remedy);
/** entry_key_outcome() - of a request that did not run, by its key. */
const char *entry_key_outcome(const struct request *r);
/** entry_outcome_text() - the word for an outcome in answers. */
const char *entry_outcome_text(Mh__Outcome o);
/** entry_dump() - takes @o and gives its text. */
GBytes *entry_dump(json_t *o);
bool entry_good_key(const char *key);
void entry_done(struct request *r);
void entry_fail(struct request *r, const struct problem *p);
void entry_token(struct request *r, GBytes *text);
struct mh_owners *entry_owners(struct entry *e, const char *service);

/* until.c */
/** entry_leaving - why this entry's end keeps a request from its answer. */
extern const struct problem entry_leaving;
/** entry_time_us() - the part of @us that is left before this entry's end. */
int64_t entry_time_us(const struct entry *e, int64_t us);
/** entry_ends() - bounds this entry's end @r, and not its caller's time? */
bool entry_ends(const struct request *r);
/** entry_set_deadline() - @r is answered at its deadline_us at the latest. */
void entry_set_deadline(struct request *r);

/* outcome.c */
#define PREFIX_OUTCOMES "/v1/outcomes/"
/** outcome_ask() - GET looks up, DELETE (@revoke) revokes. */
void outcome_ask(struct entry *e, const struct mh_request_msg *m,
    const struct mh_key_owner *who, bool revoke);
/** outcome_take() - the owner's answer. */
void outcome_take(void *arg, uint64_t conn, const Mh__Frame *f);
void outcome_free(void *lookup);

/* pick.c */
/** pick_endpoint() - the endpoint for a call; NULL: none is usable now. */
struct mh_peer *pick_endpoint(struct request *r, const struct mh_stage *s);

/* pipe.c */
const struct mh_stage *pipe_last(const struct mh_pipeline *p);
void pipe_start(struct request *r);
void pipe_stop(struct request *r);
/** pipe_held() - ends a request under which endpoints end. */
void pipe_held(struct request *r);
int64_t pipe_predict_us(const struct request *r, guint from, bool waits);
double pipe_units(const struct request *r);

#endif
