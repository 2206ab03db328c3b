#ifndef CRASHRIG_H
#define CRASHRIG_H

/*
 * Linked entries with a gateway each, callers and engines, in virtual time.
 * Some requests are poison: they crash every engine that runs them.
 */

#include "entries.h"

#define ENGINES_MAX 24

/** struct engine - one engine, an endpoint of the pool. */
struct engine {
	char id[16]; /* ends with the incarnation */
	uint32_t incarnation;
	int64_t down_us; /* when it crashed; 0: it runs */
	bool draining;
	uint32_t crashes; /* under poison requests */
};

/** struct rig_entry - one entry with its gateway. */
struct rig_entry {
	struct crashrig *r;
	struct ment *m;
	struct mh_fleet *f;
	struct mh_place *p;
	struct mh_budget *b;
	struct mh_gate *g;
	struct mh_poison_mesh *poison;
	int64_t restarted_us; /* 0: never */
};

/** struct crashrig - the rig, with its settings and counts. */
struct crashrig {
	struct mrig *m;
	struct rig_entry e[ENTRIES];
	struct engine engines[ENGINES_MAX];
	uint32_t n_engines;
	struct mh_gconf *conf;
	GRand *rand;
	GPtrArray *runs; /* struct frun */
	GPtrArray *open; /* struct mh_greq */
	GPtrArray *retries; /* struct retry */
	int64_t last_list_us;
	uint64_t n_others; /* fingerprints of other requests so far */
	/* settings of a run */
	double other_per_s; /* other requests a second */
	int64_t poison_pause_us; /* mean time between sends of each */
	int64_t crash_us; /* from the head of its answer to the crash */
	uint32_t n_poison; /* poison requests, fingerprints from 1 on */
	uint32_t n_causes; /* parts of prompts that are poison; instead */
	bool store_down; /* the entries' lists of engines don't change */
	bool plain; /* requests are not streams */
	/* results, of poison requests by fingerprint, or by part */
	uint32_t sends[8]; /* that reached an engine */
	uint32_t crashes[8]; /* of engines under it */
	int64_t third_crash_us[8]; /* when the third of these came */
	uint32_t late_sends[8]; /* that came over SPREAD_US later */
	uint32_t after_fifth[8]; /* over SPREAD_US after the fifth */
	int64_t fifth_crash_us[8];
	uint32_t other_sent;
	uint32_t other_served;
	uint32_t other_failed; /* after the last retry */
	uint32_t other_quarantined; /* refused as if they were poison */
	uint32_t poison_quarantined;
	int64_t poison_next_us[8];
};

struct crashrig *crashrig_create(uint32_t engines, uint32_t seed);
void crashrig_destroy(struct crashrig *r);
/** crashrig_run() - runs all for @us of virtual time. */
void crashrig_run(struct crashrig *r, int64_t us);
/** crashrig_crash() - an engine crashes on its own. */
void crashrig_crash(struct crashrig *r, uint32_t engine);
/** crashrig_reset() - breaks every connection; no engine crashes. */
void crashrig_reset(struct crashrig *r);
/** crashrig_restart() - kills an entry and restarts it at once. */
void crashrig_restart(struct crashrig *r, uint32_t entry);

#endif
