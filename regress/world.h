#ifndef WORLD_H
#define WORLD_H

/*
 * Stage schedulers with simulated stage endpoints, in virtual time.  An
 * endpoint runs one call at a time; a call takes call_us plus item_us per
 * piece.
 */

#include "schedint.h"
#include "mesh.h"

#define WORLD_NODES 1024

/** struct wnode - one simulated endpoint. */
struct wnode {
	char id[16];
	char pool[16];
	char domain[16];
	double slowdown; /* factor of the duration of calls */
	bool loses_answers; /* answers are lost */
	bool refuses; /* calls are refused */
	bool no_memory; /* it has none for results */
	bool crashed; /* crashed by the poison request: no answers */
	uint32_t max_calls; /* more at a time are refused; 0: no limit */
	uint32_t active_calls; /* calls running or waiting */
	bool loses_inputs; /* the next call does not find its inputs */
	int64_t busy_until_us;
	int64_t silent_until_us; /* what is sent and answered waits for it */
	uint32_t calls; /* accepted */
	uint32_t pieces; /* in these calls */
};

/** struct world - the rig; counts the outcomes of jobs. */
struct world {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_sched *sched;
	GPtrArray *extra_scheds; /* struct mh_sched, see world_sched() */
	struct mh_scheds *scheds; /* see world_scheds() */
	struct mh_gconf *conf;
	struct wnode nodes[WORLD_NODES];
	uint32_t n_nodes;
	int64_t now_us;
	uint64_t results;
	GHashTable *live; /* set of results that are not freed */
	GPtrArray *calls; /* struct wcall, in flight */
	GPtrArray *polls; /* of endpoints that have not reported yet */
	uint32_t done;
	uint32_t on_time;
	uint32_t refused;
	uint32_t failed;
	uint32_t handed_off;
	uint32_t without_inputs; /* pieces sent with inputs missing */
	uint32_t lost_inputs; /* pieces that did not find their inputs */
	uint32_t cross_domain_reads; /* inputs from other domains */
	uint32_t reads; /* inputs read */
	uint32_t aborted; /* calls */
	uint32_t max_live; /* maximum size of @live */
	bool keep; /* add done jobs to @kept, with their results */
	GPtrArray *kept; /* struct mh_job */
	uint64_t poison; /* fingerprint of the poison request; 0: none */
	uint32_t crashes; /* endpoints crashed by the poison request */
	void (*on_end)(void *arg, const struct mh_job *j, enum mh_job_end end);
	void *arg; /* of on_end() */
};

struct world *world_create(void);
/** world_sched() - adds a scheduler that calls the same endpoints. */
struct mh_sched *world_sched(struct world *w);
/**
 * world_scheds() - creates schedulers for slices of the endpoints; to be called
 * after world_pool().
 */
struct mh_scheds *world_scheds(struct world *w);
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
/** world_silence() - an endpoint is silent for @us, and goes on. */
void world_silence(struct world *w, const char *id, int64_t us);
struct wnode *world_node(struct world *w, const char *id);
/** world_fill() - mean pieces per call of a pool over @batch. */
double world_fill(const struct world *w, const char *pool, uint32_t batch);

#endif
