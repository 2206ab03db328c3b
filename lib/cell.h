#ifndef CELL_H
#define CELL_H

/* cell.c's own state, seen by its tests only through gate.h. */

/* Added to the key of work that is late: behind all that is on time. */
#define LATE_BEHIND_US (3600 * MH_US_PER_S)

/** struct worker - one endpoint of a stage pool. */
struct worker {
	uint32_t flying; /* calls */
	double slow; /* its time over the expected, 1: as told */
	int64_t pause_us; /* not asked before */
	int64_t shared_us; /* others seem to call it as well, until then */
	uint64_t held; /* bytes of results that we know it keeps */
};

/** struct cpool - one stage pool. */
struct cpool {
	char *name;
	const struct mh_gwork *work; /* of the configuration in force */
	GHashTable *workers; /* endpoint id -> struct worker */
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
	bool stale; /* paths are to be worked out anew */
	int64_t left_us; /* the longest path */
	struct sstate stages[MH_GSTAGES];
};

struct mh_cell {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_gconf *conf;
	struct mh_cell_ops ops;
	GPtrArray *jobs; /* struct mh_job, being worked on */
	GPtrArray *ended; /* done, their results not yet released */
	GHashTable *pools; /* name -> struct cpool */
	GHashTable *batches; /* id -> struct mh_batch */
	GHashTable *factors; /* route and stage -> double */
	struct mh_timer *tick;
	uint64_t next_id;
	bool dispatching;
};

#endif
