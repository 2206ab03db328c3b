#ifndef FALLRIG_H
#define FALLRIG_H

/*
 * Linked entries with a gate each, callers and engines, in virtual time.  Some
 * requests end every engine that begins to run them.
 */

#include "entries.h"

#define ENGINES_MOST 24

/** struct engine - one engine; its id ends with the incarnation. */
struct engine {
	char id[16];
	uint32_t born; /* number of its start */
	int64_t down_us; /* it ended then; 0: it runs */
	bool leaving;
	uint32_t falls; /* under a request that ends engines */
};

/** struct fent - one entry with its gate. */
struct fent {
	struct fallrig *r;
	struct ment *m;
	struct mh_fleet *f;
	struct mh_place *p;
	struct mh_budget *b;
	struct mh_gate *g;
	struct mh_poison_mesh *poison;
};

/** struct fallrig - what all share. */
struct fallrig {
	struct mrig *m;
	struct fent e[ENTRIES];
	struct engine engines[ENGINES_MOST];
	uint32_t n_engines;
	struct mh_gconf *conf;
	GRand *rand;
	GPtrArray *runs; /* struct frun */
	GPtrArray *open; /* struct mh_greq */
	GPtrArray *again; /* struct fagain */
	int64_t listed_us;
	uint64_t asked; /* prints given so far */
	/* settings of a run */
	double per_s; /* other requests a second */
	int64_t bad_each_us; /* pause between two sendings of each bad one */
	int64_t fall_us; /* from the head of a bad one to its engine's end */
	uint32_t bad; /* requests that end engines; prints 1 to so many */
	bool store_away; /* the list of engines stands still */
	bool plain; /* requests are no streams */
	/* seen */
	uint32_t sends[8]; /* of each bad one, that reached an engine */
	uint32_t ends[8]; /* engines that ended under it */
	int64_t third_us[8]; /* when the third had ended */
	uint32_t late[8]; /* reached engines STABLE_US after that */
	uint32_t good_asked;
	uint32_t good_served;
	uint32_t good_lost; /* given up by their callers */
	uint32_t good_held; /* refused as if they ended engines */
	uint32_t bad_held;
	int64_t bad_next_us[8];
};

struct fallrig *fallrig_create(uint32_t engines, uint32_t seed);
void fallrig_destroy(struct fallrig *r);
/** fallrig_run() - lets callers ask and @us pass. */
void fallrig_run(struct fallrig *r, int64_t us);
/** fallrig_fall() - an engine ends for a reason of its own. */
void fallrig_fall(struct fallrig *r, uint32_t engine);
/** fallrig_reset() - every connection breaks, and no engine ends. */
void fallrig_reset(struct fallrig *r);
/** fallrig_restart() - an entry is killed and started again at once. */
void fallrig_restart(struct fallrig *r, uint32_t entry);

#endif
