#ifndef SCHEDINT_H
#define SCHEDINT_H

/*
 * The state of a stage scheduler, private to the files sched*.c; others use
 * gate.h.
 */

#include "gate.h"

/*
 * An endpoint without result memory gets no call for this long, and for twice
 * as long after each further call that it refused as a whole, up to eight
 * times.
 */
#define MEMORY_PAUSE_US (120 * MH_US_PER_MS)
#define MEMORY_PAUSE_DOUBLINGS 3
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
	uint32_t in_flight; /* calls in flight */
	double slowdown; /* actual over expected call time */
	double answered_slowdown; /* the same, by answered calls alone */
	uint32_t overdue; /* calls in flight that are overdue... */
	int64_t overdue_us; /* ...and since when there is one */
	int64_t pause_end_us; /* no calls before this time */
	uint32_t memory_refusals; /* whole calls in a row */
	int64_t shared_end_us; /* others seem to call it until this time */
	uint64_t result_bytes; /* bytes of our results that it stores */
	int64_t last_call_us; /* when the last call was sent */
	bool polling; /* a poll for its report is in flight */
	int64_t last_poll_us; /* when the last poll was sent */
};

/** struct sched_pool - one stage pool. */
struct sched_pool {
	char *name;
	const struct mh_gwork *work; /* of the current configuration */
	GHashTable *workers; /* endpoint id -> struct worker */
	GPtrArray *nodes; /* see mh_sched_nodes() */
	uint64_t nodes_version; /* fleet version of @nodes */
	/*
	 * Until this time another coordinator's calls may run before ours.
	 * After it one call is tried with its inputs freed early; when that
	 * call finds its inputs, this is cleared.  0: the pool is not shared.
	 */
	int64_t shared_end_us;
	uint64_t trial_batch; /* batch id of that call, 0: none */
	double arrivals; /* decaying count of admitted pieces that can meet
			  * their latency objective */
	int64_t arrivals_us; /* when it was last decayed */
};

/** enum resend - why a piece is sent again. */
enum resend {
	RESEND_NONE, /* it was not sent before */
	RESEND_MOVED, /* its coordinator was lost */
	RESEND_FULL, /* the endpoint refused the call */
	RESEND_LOST, /* no answer */
	RESEND_OVERDUE, /* no answer yet */
	RESEND_NOT_RUN, /* answered, without a result for it */
	RESEND_RECOMPUTED, /* its result was lost or freed */
	RESENDS
};

/** struct piece_state - one piece, and the endpoint with its result. */
struct piece_state {
	enum resend resend; /* of its next call */
	uint32_t fulls; /* refused calls in a row */
	int64_t pause_end_us; /* no calls before this time */
	bool needed; /* its result is to be computed */
	bool in_flight; /* in a call that is not overdue */
	bool inputs_read; /* its call has read its inputs */
	uint32_t tries;
	struct worker *worker;
	const char *node; /* interned id */
};

/** struct stage_state - one stage of a job. */
struct stage_state {
	uint32_t remaining; /* pieces to be computed */
	uint32_t in_flight; /* pieces in a call */
	int64_t ready_us; /* when it was first ready to run; 0: never */
	struct sched_pool *pool;
	double *cost_factor; /* cost of its pieces over the pool's mean */
	int64_t path_us; /* longest path to the end of the job */
	struct piece_state *pieces;
};

/** struct mh_job_state - what the scheduler keeps of a job. */
struct mh_job_state {
	bool misses_slo; /* it can't meet its latency objective */
	bool started; /* a piece was sent to an endpoint */
	bool draining; /* handed off once no piece is in a call */
	bool paths_stale; /* the paths are out of date */
	int64_t unpaid_us; /* since when no retry is allowed it; 0: one is */
	uint32_t lost_stages; /* bit mask: stages that were reported as done and
			       * have to be recomputed */
	int64_t longest_path_us; /* longest path of all its stages */
	struct stage_state stages[MH_GSTAGES];
	uint8_t order[MH_GSTAGES]; /* each stage after those that it reads */
};

struct mh_sched {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_gconf *conf;
	struct mh_sched_ops ops;
	uint32_t slice; /* its slice of every pool, of @slices */
	uint32_t slices;
	GPtrArray *jobs; /* struct mh_job, admitted and not ended */
	GPtrArray *done_jobs; /* struct mh_job, done, results not released */
	GHashTable *pools; /* name -> struct sched_pool */
	GHashTable *batches; /* id -> struct mh_batch */
	GHashTable *factors; /* "ROUTE/STAGE" -> double */
	GHashTable *mean_work; /* route -> double, us of work per job */
	struct mh_timer *tick;
	int64_t last_handoff_us; /* last job handed off to us; 0: never */
	int64_t last_grant_us; /* last job that came with retries; 0: never */
	uint64_t next_id;
	bool dispatching;
};

/* schedwork.c */

/** mh_sched_readers() - number of stages that read the results of @stage. */
uint32_t mh_sched_readers(const struct mh_job *j, uint32_t stage);
/** mh_sched_pool_of() - the pool @name, created on first use. */
struct sched_pool *mh_sched_pool_of(struct mh_sched *sc, const char *name);
/** mh_sched_nodes() - the endpoints of a pool in the scheduler's slice. */
GPtrArray *mh_sched_nodes(struct mh_sched *sc, struct sched_pool *p);
/**
 * mh_sched_silent_us() - for how long all usable endpoints of a pool have had
 * an overdue call, if they seem to be silent and may go on; 0: they don't.
 */
int64_t mh_sched_silent_us(struct mh_sched *sc, struct sched_pool *p);
/**
 * mh_sched_pool_rate() - capacity of the usable endpoints with full calls, in
 * pieces per second.
 */
double mh_sched_pool_rate(struct mh_sched *sc, struct sched_pool *p);
/** mh_sched_remaining() - number of pieces of a stage still to be computed. */
uint32_t mh_sched_remaining(const struct mh_job *j, uint32_t stage);
/**
 * mh_sched_arrival_rate() - recent rate of admitted work that can meet its
 * latency objective, in pieces per second.
 */
double mh_sched_arrival_rate(struct mh_sched *sc, struct sched_pool *p);
/** mh_sched_stage_us() - time of a stage in a call at least half full. */
int64_t mh_sched_stage_us(const struct mh_job *j, uint32_t stage);
/** mh_sched_slack_key() - the scheduling order; the lowest key runs first. */
int64_t mh_sched_slack_key(struct mh_job *j, uint32_t stage);
/** mh_sched_worker_of() - the state of one endpoint, created on first use. */
struct worker *mh_sched_worker_of(struct sched_pool *p, const char *node);
/**
 * mh_sched_item_factor() - cost of a stage's piece over its pool's mean; the
 * caller may update the value.
 */
double *mh_sched_item_factor(
    struct mh_sched *sc, const char *route, uint32_t stage);
/**
 * mh_sched_mean_work() - a route's mean work per job in microseconds; starts at
 * @first, the caller may update the value.
 */
double *mh_sched_mean_work(
    struct mh_sched *sc, const char *route, double first);
/** mh_sched_item_us() - time that one piece of a stage adds to a call. */
int64_t mh_sched_item_us(const struct mh_job *j, uint32_t stage);
/** mh_sched_is_ready() - whether all inputs of a stage are computed. */
bool mh_sched_is_ready(const struct mh_job *j, uint32_t stage);
/** mh_sched_path_us() - the longest path from @stage to the end of the job. */
int64_t mh_sched_path_us(struct mh_job *j, uint32_t stage);
/** mh_sched_work_conf() - the configured batching of a pool; never NULL. */
const struct mh_gwork *mh_sched_work_conf(
    const struct mh_sched *sc, const char *pool);
/**
 * mh_sched_note_arrival() - counts an admitted job for mh_sched_arrival_rate().
 */
void mh_sched_note_arrival(struct mh_sched *sc, const struct mh_job *j);
/** mh_sched_remaining_us() - the longest path of remaining work of a job. */
int64_t mh_sched_remaining_us(struct mh_job *j);
/** mh_sched_misses_slo() - whether a job will miss its latency objective. */
bool mh_sched_misses_slo(struct mh_sched *sc, struct mh_job *j);

/* schedresult.c */

/** mh_sched_drop_inputs() - frees inputs of @stage that no call will read. */
void mh_sched_drop_inputs(
    struct mh_sched *sc, struct mh_job *j, uint32_t stage);
/** mh_sched_memory_freed() - counts @bytes of result memory as freed. */
void mh_sched_memory_freed(struct worker *w, uint64_t bytes);
/** mh_sched_drop_results() - frees every result of a stage. */
void mh_sched_drop_results(
    struct mh_sched *sc, struct mh_job *j, uint32_t stage);
/**
 * mh_sched_locate_results() - finds the endpoints of results of @stage that
 * another scheduler had computed, and counts their result memory.
 */
void mh_sched_locate_results(
    struct mh_sched *sc, struct mh_job *j, uint32_t stage);
/**
 * mh_sched_hand_off() - frees results that are not needed after the handoff of
 * the job, and stops counting the others.
 */
void mh_sched_hand_off(struct mh_sched *sc, struct mh_job *j);
/** mh_sched_recompute_freed() - recomputes inputs of @stage that were freed. */
void mh_sched_recompute_freed(
    struct mh_sched *sc, struct mh_job *j, uint32_t stage);
/**
 * mh_sched_inputs_suspect() - whether an endpoint with inputs of @stage is
 * ejected or no longer listed.
 */
bool mh_sched_inputs_suspect(
    struct mh_sched *sc, const struct mh_job *j, uint32_t stage);
/** mh_sched_recompute_lost() - recomputes inputs of @stage that were lost. */
void mh_sched_recompute_lost(
    struct mh_sched *sc, struct mh_job *j, uint32_t stage);

/** mh_sched_recompute_from() - recomputes the results that a crash has lost. */
void mh_sched_recompute_from(
    struct mh_sched *sc, struct mh_job *j, const char *node);

/* schedreport.c */

/** mh_sched_poll() - polls an endpoint for its report, at a limited rate. */
void mh_sched_poll(struct mh_sched *sc, struct worker *w, const char *node);

/* schedretry.c */

/** mh_sched_note_resend() - a call that ended so has no result for a piece. */
void mh_sched_note_resend(
    struct mh_sched *sc, struct piece_state *ps, enum mh_batch_end end);
/** mh_sched_may_resend() - whether a call that repeats pieces may be sent. */
bool mh_sched_may_resend(struct mh_sched *sc, const struct sched_pool *p);
/** mh_sched_take_resend() - the same; counts it if so. */
bool mh_sched_take_resend(struct mh_sched *sc, const struct sched_pool *p);
/**
 * mh_sched_is_unpaid() - whether a job has to end as pieces of it may not be
 * sent again.
 */
bool mh_sched_is_unpaid(struct mh_sched *sc, struct mh_job *j);

/* schedadmit.c */

/** mh_sched_max_backlog_us() - longest backlog of the pools that a job uses. */
int64_t mh_sched_max_backlog_us(struct mh_sched *sc, const struct mh_job *j);
/**
 * mh_sched_admit() - whether a new job is accepted; marks it if it will miss
 * its latency objective.
 */
bool mh_sched_admit(struct mh_sched *sc, struct mh_job *j);

/* schedrun.c */

/** mh_sched_free_batch() - removes and frees a batch. */
void mh_sched_free_batch(struct mh_sched *sc, struct mh_batch *b);
/** mh_sched_dispatch_all() - sends calls to all free endpoints. */
void mh_sched_dispatch_all(struct mh_sched *sc);
/**
 * mh_sched_learn() - updates the estimates of the endpoint's speed and of the
 * cost of pieces by the time that a call took.
 */
void mh_sched_learn(struct mh_sched *sc, struct mh_batch *b, struct worker *w);

#endif
