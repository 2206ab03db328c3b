#ifndef SCHEDINT_H
#define SCHEDINT_H

/*
 * The state of a stage scheduler, private to the files sched*.c; others use
 * gate.h.
 */

#include "gate.h"

/* An endpoint without result memory gets no call for this long. */
#define MEMORY_PAUSE_US (120 * MH_US_PER_MS)
/*
 * While entries disagree on which of them is the coordinator, two processes
 * call the same endpoint, and our call waits there behind the other's.  For
 * this long after the last sign of that, the inputs of our calls are kept until
 * the call ends.
 */
#define SHARED_HOLD_US (3 * MH_US_PER_S)
/*
 * Added to the key of work that misses its latency objective: it is scheduled
 * after all work that can still meet it.
 */
#define SLO_MISS_PENALTY_US (3600 * MH_US_PER_S)

/** struct worker - one endpoint of a stage pool. */
struct worker {
	uint32_t flying; /* calls in flight */
	double slow; /* actual over expected call time */
	int64_t pause_us; /* no calls before this time */
	int64_t shared_us; /* others seem to call it until this time */
	uint64_t held; /* bytes of our results that it stores */
	int64_t called_us; /* when the last call was sent */
	bool asked; /* a poll for its report is in flight */
	int64_t asked_us; /* when the last poll was sent */
};

/** struct cpool - one stage pool. */
struct cpool {
	char *name;
	const struct mh_gwork *work; /* of the current configuration */
	GHashTable *workers; /* endpoint id -> struct worker */
	GPtrArray *nodes; /* see mh_cell_nodes() */
	uint64_t nodes_version; /* fleet version of @nodes */
	/*
	 * Until this time another coordinator's calls may run before ours.
	 * After it one call is tried with its inputs freed early; when that
	 * call finds its inputs, this is cleared.  0: the pool is not shared.
	 */
	int64_t shared_us;
	uint64_t trying; /* batch id of that call, 0: none */
	double fresh; /* decaying count of admitted pieces that can meet
		       * their latency objective */
	int64_t fresh_us; /* when it was last decayed */
};

/** struct piece_state - one piece, and the endpoint with its result. */
struct piece_state {
	bool need; /* its result is to be computed */
	bool flying; /* in a call that is not overdue */
	bool fed; /* its call has read its inputs */
	uint32_t tries;
	struct worker *worker;
	const char *node; /* interned id */
};

/** struct sstate - one stage of a job. */
struct sstate {
	uint32_t left; /* pieces to be computed */
	uint32_t flying; /* pieces in a call */
	int64_t ready_us; /* when it was first ready to run; 0: never */
	struct cpool *pool;
	double *factor; /* cost of its pieces over the pool's mean */
	int64_t path_us; /* longest path to the end of the job */
	struct piece_state *made;
};

/** struct mh_jstate - what the scheduler keeps of a job. */
struct mh_jstate {
	bool late; /* it can't meet its latency objective */
	bool started; /* a piece was sent to an endpoint */
	bool leaving; /* handed off once no piece is in a call */
	bool stale; /* the paths are out of date */
	uint32_t unmade; /* bit mask: stages that were reported as done and
			  * have to be recomputed */
	int64_t left_us; /* longest path of all its stages */
	struct sstate stages[MH_GSTAGES];
};

struct mh_cell {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_gconf *conf;
	struct mh_cell_ops ops;
	uint32_t slice; /* its slice of every pool, of @slices */
	uint32_t slices;
	GPtrArray *jobs; /* struct mh_job, admitted and not ended */
	GPtrArray *ended; /* struct mh_job, done, results not released */
	GHashTable *pools; /* name -> struct cpool */
	GHashTable *batches; /* id -> struct mh_batch */
	GHashTable *factors; /* "ROUTE/STAGE" -> double */
	GHashTable *mean_work; /* route -> double, us of work per job */
	struct mh_timer *tick;
	int64_t moved_us; /* last job handed off to us; 0: never */
	uint64_t next_id;
	bool dispatching;
};

/* schedwork.c */

/** mh_cell_followers() - number of stages that read the results of @stage. */
uint32_t mh_cell_followers(const struct mh_job *j, uint32_t stage);
/** mh_cell_pool_of() - the pool @name, created on first use. */
struct cpool *mh_cell_pool_of(struct mh_cell *sc, const char *name);
/** mh_cell_nodes() - the endpoints of a pool in the scheduler's slice. */
GPtrArray *mh_cell_nodes(struct mh_cell *sc, struct cpool *p);
/**
 * mh_cell_pool_rate() - capacity of the usable endpoints with full calls, in
 * pieces per second.
 */
double mh_cell_pool_rate(struct mh_cell *sc, struct cpool *p);
/** mh_cell_todo() - number of pieces of a stage still to be computed. */
uint32_t mh_cell_todo(const struct mh_job *j, uint32_t stage);
/**
 * mh_cell_fresh_rate() - recent rate of admitted work that can meet its latency
 * objective, in pieces per second.
 */
double mh_cell_fresh_rate(struct mh_cell *sc, struct cpool *p);
/** mh_cell_stage_us() - time of a stage in a call at least half full. */
int64_t mh_cell_stage_us(const struct mh_job *j, uint32_t stage);
/** mh_cell_slack_key() - the scheduling order; the lowest key runs first. */
int64_t mh_cell_slack_key(struct mh_job *j, uint32_t stage);
/** mh_cell_worker_of() - the state of one endpoint, created on first use. */
struct worker *mh_cell_worker_of(struct cpool *p, const char *node);
/**
 * mh_cell_item_factor() - cost of a stage's piece over its pool's mean; the
 * caller may update the value.
 */
double *mh_cell_item_factor(
    struct mh_cell *sc, const char *route, uint32_t stage);
/**
 * mh_cell_mean_work() - a route's mean work per job in microseconds; starts at
 * @first, the caller may update the value.
 */
double *mh_cell_mean_work(struct mh_cell *sc, const char *route, double first);
/** mh_cell_item_us() - time that one piece of a stage adds to a call. */
int64_t mh_cell_item_us(const struct mh_job *j, uint32_t stage);
/** mh_cell_is_ready() - whether all inputs of a stage are computed. */
bool mh_cell_is_ready(const struct mh_job *j, uint32_t stage);
/** mh_cell_path_us() - the longest path from @stage to the end of the job. */
int64_t mh_cell_path_us(struct mh_job *j, uint32_t stage);
/** mh_cell_work_of() - the configured batching of a pool; never NULL. */
const struct mh_gwork *mh_cell_work_of(
    const struct mh_cell *sc, const char *pool);
/**
 * mh_cell_note_fresh() - counts an admitted job for mh_cell_fresh_rate().
 */
void mh_cell_note_fresh(struct mh_cell *sc, const struct mh_job *j);
/** mh_cell_left_us() - the longest path of remaining work of a job. */
int64_t mh_cell_left_us(struct mh_job *j);
/** mh_cell_is_late() - whether a job will miss its latency objective. */
bool mh_cell_is_late(struct mh_cell *sc, struct mh_job *j);

/* schedresult.c */

/** mh_cell_drop_inputs() - frees inputs of @stage that no call will read. */
void mh_cell_drop_inputs(struct mh_cell *sc, struct mh_job *j, uint32_t stage);
/** mh_cell_give_room() - counts @bytes of result memory as freed. */
void mh_cell_give_room(struct worker *w, uint64_t bytes);
/** mh_cell_drop_results() - frees every result of a stage. */
void mh_cell_drop_results(struct mh_cell *sc, struct mh_job *j, uint32_t stage);
/**
 * mh_cell_know_makers() - finds the endpoints of results of @stage that another
 * scheduler had computed, and counts their result memory.
 */
void mh_cell_know_makers(struct mh_cell *sc, struct mh_job *j, uint32_t stage);
/**
 * mh_cell_hand_on() - frees results that are not needed after the handoff of
 * the job, and stops counting the others.
 */
void mh_cell_hand_on(struct mh_cell *sc, struct mh_job *j);
/** mh_cell_need_inputs() - recomputes inputs of @stage that were freed. */
void mh_cell_need_inputs(struct mh_cell *sc, struct mh_job *j, uint32_t stage);
/**
 * mh_cell_doubts_inputs() - whether an endpoint with inputs of @stage is
 * ejected or no longer listed.
 */
bool mh_cell_doubts_inputs(
    struct mh_cell *sc, const struct mh_job *j, uint32_t stage);
/** mh_cell_remake_inputs() - recomputes inputs of @stage that were lost. */
void mh_cell_remake_inputs(
    struct mh_cell *sc, struct mh_job *j, uint32_t stage);

/** mh_cell_remake_from() - recomputes the results that a crash has lost. */
void mh_cell_remake_from(
    struct mh_cell *sc, struct mh_job *j, const char *node);

/* schedreport.c */

/** mh_cell_ask() - polls an endpoint for its report, at a limited rate. */
void mh_cell_ask(struct mh_cell *sc, struct worker *w, const char *node);

/* schedadmit.c */

/** mh_cell_room_in_us() - longest backlog of the pools that a job uses. */
int64_t mh_cell_room_in_us(struct mh_cell *sc, const struct mh_job *j);
/**
 * mh_cell_admit() - whether a new job is accepted; marks it if it will miss its
 * latency objective.
 */
bool mh_cell_admit(struct mh_cell *sc, struct mh_job *j);

/* schedrun.c */

/** mh_cell_free_batch() - removes and frees a batch. */
void mh_cell_free_batch(struct mh_cell *sc, struct mh_batch *b);
/** mh_cell_dispatch_all() - sends calls to all free endpoints. */
void mh_cell_dispatch_all(struct mh_cell *sc);
/**
 * mh_cell_learn() - updates the estimates of the endpoint's speed and of the
 * cost of pieces by the time that a call took.
 */
void mh_cell_learn(struct mh_cell *sc, struct mh_batch *b, struct worker *w);

#endif
