#ifndef WORLD_H
#define WORLD_H

/*
 * Stage schedulers with simulated stage endpoints, in virtual time.  An
 * endpoint runs one call at a time; a call takes call_us plus item_us per
 * piece.
 */

#include "cell.h"
#include "mesh.h"

#define WORLD_NODES 1024

/** struct wnode - one simulated endpoint. */
struct wnode {
	char id[16];
	char pool[16];
	char domain[16];
	double slow; /* factor of the duration of calls */
	bool lost; /* answers are lost */
	bool full; /* calls are refused */
	bool ended; /* crashed by the poison request: no answers */
	uint32_t most_calls; /* more at a time are refused; 0: no limit */
	uint32_t at_it; /* calls running or waiting */
	bool gone_inputs; /* the next call does not find its inputs */
	int64_t busy_until_us;
	uint32_t calls; /* accepted */
	uint32_t pieces; /* in these calls */
};

/** struct world - the rig; counts the outcomes of jobs. */
struct world {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_cell *c;
	GPtrArray *more; /* struct mh_sched, see world_cell() */
	struct mh_cells *cells; /* see world_cells() */
	struct mh_gconf *conf;
	struct wnode nodes[WORLD_NODES];
	uint32_t n_nodes;
	int64_t now_us;
	uint64_t results;
	GHashTable *live; /* set of results that are not freed */
	GPtrArray *calls; /* struct wcall, in flight */
	uint32_t done;
	uint32_t on_time;
	uint32_t refused;
	uint32_t failed;
	uint32_t moved;
	uint32_t without_inputs; /* pieces sent with inputs missing */
	uint32_t gone; /* pieces that did not find their inputs */
	uint32_t crossed; /* inputs from other domains */
	uint32_t read; /* inputs read */
	uint32_t most_live; /* maximum size of @live */
	bool keep; /* add done jobs to @kept, with their results */
	GPtrArray *kept; /* struct mh_job */
	uint64_t fatal; /* fingerprint of the poison request; 0: none */
	uint32_t falls; /* endpoints crashed by the poison request */
	void (*ended)(void *arg, const struct mh_job *j, enum mh_job_end end);
	void *arg; /* of on_end() */
};

struct world *world_create(void);
/** world_cell() - adds a scheduler that calls the same endpoints. */
struct mh_cell *world_cell(struct world *w);
/**
 * world_cells() - creates schedulers for slices of the endpoints; to be called
 * after world_pool().
 */
struct mh_cells *world_cells(struct world *w);
void world_destroy(struct world *w);
/**
 * world_pool() - declares a pool of @n endpoints in domains d0, d1, ...
 * @memory: configured result memory of an endpoint in bytes; 0: no limit
 */
void world_pool(struct world *w, const char *name, uint32_t n, uint32_t batch,
    int64_t call_us, int64_t item_us, uint64_t memory);
/**
 * world_job() - creates a job with a chain of stages, one for each pool.
 * @pools: ended by NULL
 * @pieces: of each stage
 * @slo_us: latency objective, from now
 * @deadline_us: from now
 */
struct mh_job *world_job(struct world *w, const char *const *pools,
    const uint32_t *pieces, int64_t slo_us, int64_t deadline_us);
/** world_run() - advances the time by @us in steps of a millisecond. */
void world_run(struct world *w, int64_t us);
struct wnode *world_node(struct world *w, const char *id);
/** world_fill() - mean pieces per call of a pool over @batch. */
double world_fill(const struct world *w, const char *pool, uint32_t batch);

#endif
