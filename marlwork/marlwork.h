#ifndef MARLWORK_H
#define MARLWORK_H

#include "world.h"

#define MAX_ENTRIES 64

/** struct wpool - one pool of stage endpoints. */
struct wpool {
	char *name;
	uint32_t endpoints;
	uint32_t batch; /* pieces a call */
	uint32_t calls; /* that run or wait at one endpoint; 0: no limit */
	int64_t call_us;
	int64_t item_us;
};

/** struct wstage - one stage of a kind; each needs all of the one before. */
struct wstage {
	char *pool;
	uint32_t pieces;
};

/** struct wkind - one kind of request. */
struct wkind {
	char *name;
	double per_second;
	int64_t aim_us;
	int64_t deadline_us;
	GPtrArray *stages; /* struct wstage */
};

/** struct wburst - arrivals of every kind come @times as often. */
struct wburst {
	double from_s;
	double to_s;
	double times;
};

/** struct wloss - some endpoints of a pool give no answer. */
struct wloss {
	char *pool;
	uint32_t endpoints;
	double from_s;
	double to_s;
};

/** struct wload - a file of load. */
struct wload {
	uint32_t entries; /* that the rates and pools are written for */
	double seconds;
	GPtrArray *pools; /* struct wpool */
	GPtrArray *kinds; /* struct wkind */
	GPtrArray *bursts; /* struct wburst */
	GPtrArray *losses; /* struct wloss */
};

/** load_read() - NULL with @err: line, field, reason and remedy. */
struct wload *load_read(const char *file, GError **err);
void load_destroy(struct wload *l);
const struct wpool *load_pool(const struct wload *l, const char *name);

/** struct run_args - what is run. */
struct run_args {
	const char *file;
	const char *policy;
	const char *series; /* NULL: none */
	uint32_t entries; /* 0: as the file says */
	uint32_t seed;
};

/** struct second - what came of the jobs that arrived in one second. */
struct second {
	uint32_t arrived;
	uint32_t on_time;
	uint32_t done;
	uint32_t refused;
};

/** struct tally - what came of one kind. */
struct tally {
	uint32_t arrived;
	uint32_t on_time;
	uint32_t done;
	uint32_t refused;
	struct mh_hist *waits; /* of those done */
};

/** struct run - one run of one policy. */
struct run {
	const struct run_args *a;
	const struct wload *l;
	struct world *w;
	GRand *rand; /* arrivals */
	GRand *spread; /* which entry: apart, so that arrivals are the same */
	struct mh_scheds *cells; /* NULL: each entry alone */
	struct mh_sched *alone[MAX_ENTRIES];
	uint32_t entries;
	double scale; /* of rates and pools */
	int64_t start_us;
	struct tally *kinds;
	struct second *seconds;
	uint32_t n_seconds;
};

/** run_load() - plays the load; @l and @a outlive the run. */
struct run *run_load(const struct wload *l, const struct run_args *a);
/** run_busy_ms() - what all endpoints worked, by the pools' declared times. */
double run_busy_ms(const struct run *r);
void run_destroy(struct run *r);

/** account() - tables, by second, of what a file of log lines tells; the exit
 * status. */
int account(const char *file);

#endif
