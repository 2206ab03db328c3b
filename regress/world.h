#ifndef WORLD_H
#define WORLD_H

/*
 * Cells against modelled stage endpoints, in virtual time.  An endpoint
 * works on one call at a time; a call takes call_us and item_us a piece.
 */

#include "cell.h"
#include "mesh.h"

#define WORLD_NODES 1024

/** struct wnode - one modelled endpoint. */
struct wnode {
	char id[16];
	char pool[16];
	char domain[16];
	double slow; /* times as long */
	bool lost; /* calls get no answer */
	bool full; /* calls are refused */
	bool ended; /* it fell under the request named by @fatal: no answers */
	uint32_t most_calls; /* at it at once, others refused; 0: no limit */
	uint32_t at_it; /* calls that run or wait there */
	bool gone_inputs; /* calls find their inputs gone, once */
	int64_t busy_until_us;
	uint32_t calls;
	uint32_t pieces;
};

/** struct world - the rig; counts what came of the jobs. */
struct world {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_budget *budget;
	struct mh_cell *c;
	GPtrArray *more; /* struct mh_cell, see world_cell() */
	struct mh_cells *cells; /* see world_cells() */
	struct mh_gconf *conf;
	struct wnode nodes[WORLD_NODES];
	uint32_t n_nodes;
	int64_t now_us;
	uint64_t results;
	GHashTable *live; /* result -> owner job id, those not freed */
	GPtrArray *calls; /* struct wcall, not ended */
	uint32_t done;
	uint32_t on_time;
	uint32_t refused;
	uint32_t failed;
	uint32_t moved;
	uint32_t without_inputs; /* pieces asked for with inputs missing */
	uint32_t
	    gone; /* pieces whose inputs were freed before they were read */
	uint32_t crossed; /* inputs read from another failure domain */
	uint32_t read; /* inputs read */
	uint32_t most_live; /* results kept at once */
	bool keep; /* jobs that are done keep their results */
	GPtrArray *kept;
	uint64_t fatal; /* endpoints end under jobs of this print; 0: none */
	uint32_t falls;
	void (*ended)(void *arg, const struct mh_job *j, enum mh_job_end end);
	void *arg; /* of ended() */
};

struct world *world_create(void);
/** world_cell() - one more cell that calls the same endpoints. */
struct mh_cell *world_cell(struct world *w);
/** world_cells() - cells that divide the endpoints; declare pools first. */
struct mh_cells *world_cells(struct world *w);
void world_destroy(struct world *w);
/** world_pool() - declares a pool of @n endpoints in domains d0, d1, ... */
void world_pool(struct world *w, const char *name, uint32_t n, uint32_t batch,
    int64_t call_us, int64_t item_us, uint64_t room);
/** world_job() - a chain of stages, one a pool; pools ended by NULL. */
struct mh_job *world_job(struct world *w, const char *const *pools,
    const uint32_t *pieces, int64_t aim_us, int64_t deadline_us);
/** world_run() - lets @us pass in steps of a millisecond. */
void world_run(struct world *w, int64_t us);
struct wnode *world_node(struct world *w, const char *id);
/** world_fill() - mean share of the places of a pool's calls in use. */
double world_fill(const struct world *w, const char *pool, uint32_t batch);

#endif
