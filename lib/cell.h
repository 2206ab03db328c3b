#ifndef CELL_H
#define CELL_H

/* The state of a cell, shared by the files cell*.c alone; others use gate.h. */

#include "gate.h"

/* An endpoint without room for results is asked again after this. */
#define ROOM_PAUSE_US (120 * MH_US_PER_MS)
/*
 * Where another process calls the endpoint too, as while entries disagree on
 * whose turn it is, ours waits behind it: its inputs are kept to the end for
 * this long after the last sign of that.
 */
#define SHARED_US (3 * MH_US_PER_S)
/* Added to the key of work that is late: behind all that is on time. */
#define LATE_BEHIND_US (3600 * MH_US_PER_S)

/** struct worker - one endpoint of a stage pool. */
struct worker {
	uint32_t flying; /* calls */
	double slow; /* its time over the expected, 1: as told */
	int64_t pause_us; /* not asked before */
	int64_t shared_us; /* others seem to call it as well, until then */
	uint64_t held; /* bytes of results that we know it keeps */
	int64_t called_us; /* when it was given a call last */
	bool asked; /* its report is awaited */
	int64_t asked_us; /* when that was */
};

/** struct cpool - one stage pool. */
struct cpool {
	char *name;
	const struct mh_gwork *work; /* of the configuration in force */
	GHashTable *workers; /* endpoint id -> struct worker */
	GPtrArray *nodes; /* the cell's endpoints, see mh_cell_nodes() */
	uint64_t nodes_version; /* of the fleet */
	/* calls of another home may go before ours there, until then and until
	 * the one call that is tried after it finds its inputs; 0: none do */
	int64_t shared_us;
	uint64_t trying; /* that call, 0: none */
	double fresh; /* pieces of work on time that came lately, fading */
	int64_t fresh_us; /* when that was worked out */
};

/** struct made - one piece: where it is made, or was. */
struct made {
	bool need; /* wanted and not there */
	bool flying; /* in a call */
	bool fed; /* that call has read its inputs */
	uint32_t tries;
	struct worker *worker;
	const char *node; /* interned id */
};

/** struct sstate - one stage of a job. */
struct sstate {
	uint32_t left; /* pieces not made */
	uint32_t flying; /* of these, in a call */
	int64_t ready_us; /* since when its inputs are there */
	struct cpool *pool;
	double *factor; /* its pieces' cost over the pool's mean */
	int64_t path_us; /* work from here to the end, see refresh() */
	struct made *made;
};

/** struct mh_jstate - the cell's side of a job. */
struct mh_jstate {
	bool late; /* its aim is missed; only the deadline counts */
	bool started; /* a piece was given to an endpoint */
	bool leaving; /* it moves once none of its pieces is in a call */
	bool stale; /* paths are to be worked out anew */
	uint32_t unmade; /* stages that were told as made and are not, a bit
			  * each */
	int64_t left_us; /* the longest path */
	struct sstate stages[MH_GSTAGES];
};

struct mh_cell {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_gconf *conf;
	struct mh_cell_ops ops;
	uint32_t slice; /* which of @slices shares of every pool it has */
	uint32_t slices;
	GPtrArray *jobs; /* struct mh_job, being worked on */
	GPtrArray *ended; /* done, their results not yet released */
	GHashTable *pools; /* name -> struct cpool */
	GHashTable *batches; /* id -> struct mh_batch */
	GHashTable *factors; /* route and stage -> double */
	GHashTable *mean_work; /* route -> double, microseconds a job */
	struct mh_timer *tick;
	int64_t moved_us; /* when work of another home came; 0: never */
	uint64_t next_id;
	bool dispatching;
};

/* cellwork.c */

/** mh_cell_followers() - stages that read the results of @stage. */
uint32_t mh_cell_followers(const struct mh_job *j, uint32_t stage);
/** mh_cell_pool_of() - the pool of that name, made when first asked for. */
struct cpool *mh_cell_pool_of(struct mh_cell *c, const char *name);
/** mh_cell_nodes() - the endpoints of a pool that the cell may call. */
GPtrArray *mh_cell_nodes(struct mh_cell *c, struct cpool *p);
/** mh_cell_pool_rate() - pieces a second with full calls, of usable endpoints.
 */
double mh_cell_pool_rate(struct mh_cell *c, struct cpool *p);
/** mh_cell_todo() - pieces of a stage that are not made. */
uint32_t mh_cell_todo(const struct mh_job *j, uint32_t stage);
/** mh_cell_fresh_rate() - pieces a second of work on time that came lately. */
double mh_cell_fresh_rate(struct mh_cell *c, struct cpool *p);
/** mh_cell_stage_us() - what a stage takes in a call that is not rushed. */
int64_t mh_cell_stage_us(const struct mh_job *j, uint32_t stage);
/** mh_cell_slack_key() - the order of waiting; lower goes first. */
int64_t mh_cell_slack_key(struct mh_job *j, uint32_t stage);
/** mh_cell_worker_of() - what is believed of one endpoint. */
struct worker *mh_cell_worker_of(struct cpool *p, const char *node);
/** mh_cell_item_factor() - a stage's cost a piece over its pool's mean. */
double *mh_cell_item_factor(
    struct mh_cell *c, const char *route, uint32_t stage);
/** mh_cell_mean_work() - a route's mean work a job; starts at @first. */
double *mh_cell_mean_work(struct mh_cell *c, const char *route, double first);
/** mh_cell_item_us() - time that one piece adds to a call. */
int64_t mh_cell_item_us(const struct mh_job *j, uint32_t stage);
/** mh_cell_is_ready() - whether all inputs of a stage are made. */
bool mh_cell_is_ready(const struct mh_job *j, uint32_t stage);
/** mh_cell_path_us() - the longest chain of work from @stage to the end. */
int64_t mh_cell_path_us(struct mh_job *j, uint32_t stage);
/** mh_cell_work_of() - how a pool takes work, as configured. */
const struct mh_gwork *mh_cell_work_of(
    const struct mh_cell *c, const char *pool);
/** mh_cell_note_fresh() - counts work on time that was taken. */
void mh_cell_note_fresh(struct mh_cell *c, const struct mh_job *j);
/** mh_cell_left_us() - the longest chain of work of a whole job. */
int64_t mh_cell_left_us(struct mh_job *j);
/** mh_cell_is_late() - whether a job will miss its aim. */
bool mh_cell_is_late(struct mh_cell *c, struct mh_job *j);

/* cellmade.c */

/** mh_cell_drop_inputs() - frees the inputs of @stage that none will read. */
void mh_cell_drop_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage);
/** mh_cell_give_room() - an endpoint has so many bytes of room again. */
void mh_cell_give_room(struct worker *w, uint64_t bytes);
/** mh_cell_drop_results() - frees every result of a stage. */
void mh_cell_drop_results(struct mh_cell *c, struct mh_job *j, uint32_t stage);
/** mh_cell_know_makers() - where what another cell made of @stage lies. */
void mh_cell_know_makers(struct mh_cell *c, struct mh_job *j, uint32_t stage);
/** mh_cell_hand_on() - frees what no later cell of the job will read. */
void mh_cell_hand_on(struct mh_cell *c, struct mh_job *j);
/** mh_cell_need_inputs() - inputs of @stage that were freed are made again. */
void mh_cell_need_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage);
/** mh_cell_doubts_inputs() - a maker of @stage's inputs may have ended. */
bool mh_cell_doubts_inputs(
    struct mh_cell *c, const struct mh_job *j, uint32_t stage);
/** mh_cell_remake_inputs() - inputs of @stage are gone and are made again. */
void mh_cell_remake_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage);

/** mh_cell_remake_from() - what lay at an endpoint that ended. */
void mh_cell_remake_from(struct mh_cell *c, struct mh_job *j, const char *node);

/* celltold.c */

/** mh_cell_ask() - has an endpoint report its calls, not too often. */
void mh_cell_ask(struct mh_cell *c, struct worker *w, const char *node);

/* celladmit.c */

/** mh_cell_room_in_us() - when the work that is queued is worked off. */
int64_t mh_cell_room_in_us(struct mh_cell *c, const struct mh_job *j);
/** mh_cell_admit() - whether a new job is taken; notes if it is late. */
bool mh_cell_admit(struct mh_cell *c, struct mh_job *j);

/* cellrun.c */

/** mh_cell_free_batch() - forgets a call. */
void mh_cell_free_batch(struct mh_cell *c, struct mh_batch *b);
/** mh_cell_dispatch_all() - gives work to every endpoint that is free. */
void mh_cell_dispatch_all(struct mh_cell *c);
/** mh_cell_learn() - what the time of a call says of endpoint and pieces. */
void mh_cell_learn(struct mh_cell *c, struct mh_batch *b, struct worker *w);

#endif
