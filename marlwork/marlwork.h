#ifndef MARLWORK_H
#define MARLWORK_H

#include "world.h"

#define MAX_ENTRIES 64

/** struct wpool - a pool of stage endpoints. */
struct wpool {
	char *name;
	uint32_t endpoints;
	uint32_t batch; /* most pieces per call */
	/* most calls at an endpoint, running or waiting; 0: no limit */
	uint32_t calls;
	int64_t call_us; /* duration of a call without its pieces */
	int64_t item_us; /* added for each piece */
};

/**
 * struct wstage - a stage of a kind of request; it starts when all pieces of
 * the stage before are done.
 */
struct wstage {
	char *pool;
	uint32_t pieces;
};

/** struct wkind - a kind of request. */
struct wkind {
	char *name;
	double per_second;
	int64_t slo_us; /* latency objective */
	int64_t deadline_us;
	GPtrArray *stages; /* struct wstage */
};

/** struct wburst - an interval in which all arrival rates are multiplied. */
struct wburst {
	double from_s;
	double to_s;
	double times; /* factor */
};

/** struct wloss - an interval in which some endpoints don't respond. */
struct wloss {
	char *pool;
	uint32_t endpoints;
	double from_s;
	double to_s;
};

/** struct wload - contents of a load file. */
struct wload {
	uint32_t entries; /* for which rates and pools are given */
	double seconds;
	GPtrArray *pools; /* struct wpool */
	GPtrArray *kinds; /* struct wkind */
	GPtrArray *bursts; /* struct wburst */
	GPtrArray *losses; /* struct wloss */
};

/**
 * load_read() - reads a load file; load_destroy() frees it.  Returns NULL with
 * @err set to the line, field, reason and remedy if the file is wrong.
 */
struct wload *load_read(const char *file, GError **err);
void load_destroy(struct wload *l);
const struct wpool *load_pool(const struct wload *l, const char *name);

/** struct run_args - parameters of a run. */
struct run_args {
	const char *file;
	const char *policy; /* "home": coordinators, "alone": each entry */
	const char *series; /* output file; NULL: none */
	uint32_t entries; /* 0: as in the load file */
	uint32_t seed;
};

/** struct second - outcomes of the jobs that arrived in one second. */
struct second {
	uint32_t arrived;
	uint32_t on_time;
	uint32_t done;
	uint32_t refused;
};

/** struct tally - outcomes of the jobs of one kind. */
struct tally {
	uint32_t arrived;
	uint32_t on_time;
	uint32_t done;
	uint32_t refused;
	struct mh_hist *waits; /* latencies of the jobs done */
};

/** struct run - state and results of a run. */
struct run {
	const struct run_args *a;
	const struct wload *l;
	struct world *w;
	GRand *arrival_rand; /* for arrivals */
	/* separate, so that each policy gets the same arrivals */
	GRand *choice_rand; /* for the choice of the entry or slice */
	struct mh_scheds *scheds; /* NULL with policy alone */
	struct mh_sched *entry_scheds[MAX_ENTRIES]; /* NULL with policy home */
	uint32_t entries;
	double scale; /* factor of rates and pool sizes */
	int64_t start_us;
	struct tally *tallies; /* in the order of the load file */
	struct second *seconds;
	uint32_t n_seconds;
};

/**
 * run_load() - simulates the load; run_destroy() frees the result.  @l and @a
 * must outlive it.
 */
struct run *run_load(const struct wload *l, const struct run_args *a);
/** run_busy_ms() - total busy time of all endpoints, by declared durations. */
double run_busy_ms(const struct run *r);
void run_destroy(struct run *r);

/**
 * account() - prints tables of events per second from a file of log lines.
 * Returns the exit status.
 */
int account(const char *file);

#endif
