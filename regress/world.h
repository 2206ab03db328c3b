#ifndef WORLD_H
#define WORLD_H

/*
 * A cell against modelled stage endpoints, in virtual time.  An endpoint
 * works on one call at a time; a call takes call_us and item_us a piece.
 */

#include "cell.h"
#include "mesh.h"

#define WORLD_NODES 16

/** struct wnode - one modelled endpoint. */
struct wnode {
	char id[16];
	char pool[16];
	char domain[16];
	double slow; /* times as long */
	bool lost; /* calls get no answer */
	bool full; /* calls are refused */
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
	uint32_t most_live; /* results kept at once */
	bool keep; /* jobs that are done keep their results */
	GPtrArray *kept;
};

struct world *world_create(void);
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
