#ifndef REGRESS_H
#define REGRESS_H

#include <CUnit/CUnit.h>
#include <stdint.h>

/** struct test - one test of a suite. */
struct test {
	const char *name;
	void (*fn)(void);
};

/* One table per suite, terminated by a NULL name. */
extern const struct test tests_kern[];
extern const struct test tests_decl[];
extern const struct test tests_queue[];
extern const struct test tests_ledger[];
extern const struct test tests_route[];
extern const struct test tests_session[];
extern const struct test tests_once[];
extern const struct test tests_entry[];
extern const struct test tests_nodes[];
extern const struct test tests_adapter[];
extern const struct test tests_fuzz[];
extern const struct test tests_sched[];
extern const struct test tests_schedsilent[];
extern const struct test tests_gate[];
extern const struct test tests_silent[];
extern const struct test tests_nodefail[];
extern const struct test tests_change[];
extern const struct test tests_budget[];
extern const struct test tests_leave[];
extern const struct test tests_mesh[];
extern const struct test tests_linkdraw[];
extern const struct test tests_cold[];
extern const struct test tests_evacuate[];
extern const struct test tests_start[];
extern const struct test tests_http[];
extern const struct test tests_wire[];
extern const struct test tests_pack[];
extern const struct test tests_relay[];
extern const struct test tests_platform[];
extern const struct test tests_registry[];
extern const struct test tests_store[];
extern const struct test tests_restored[];
extern const struct test tests_foreign[];
extern const struct test tests_slow[];
extern const struct test tests_coordinator[];
extern const struct test tests_handoff[];
extern const struct test tests_sse[];
extern const struct test tests_front[];
extern const struct test tests_events[];
extern const struct test tests_stream[];
extern const struct test tests_work[];
extern const struct test tests_version[];
extern const struct test tests_waits[];
extern const struct test tests_stop[];
extern const struct test tests_endless[];
extern const struct test tests_crowd[];
extern const struct test tests_crowd_hoist[];
extern const struct test tests_drain[];
extern const struct test tests_grace[];
extern const struct test tests_crash[];
extern const struct test tests_late_crash[];
extern const struct test tests_poison[];
extern const struct test tests_part[];
extern const struct test tests_stage[];
extern const struct test tests_said[];
extern const struct test tests_words[];
extern const struct test tests_retry[];
extern const struct test tests_red[];

/** regress_dir - the directory that contains golden/. */
extern const char *regress_dir;

/**
 * regress_first_seed() - the first seed of a test that runs a range of seeds:
 * @seed, or the one from the command line; regress_last_seed() - likewise the
 * last.
 */
uint32_t regress_first_seed(uint32_t seed);
uint32_t regress_last_seed(uint32_t seed);

#endif
