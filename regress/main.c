/**
 * DOC: Runs all suites; the last line of the output counts the results.
 */

#include "red.h"
#include "regress.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *regress_dir = "regress";

/* Seeds from the command line, "FIRST-LAST"; 0: those of the test. */
static uint32_t first_seed, last_seed;

uint32_t
regress_first_seed(uint32_t seed)
{
	return first_seed != 0 ? first_seed : seed;
}

uint32_t
regress_last_seed(uint32_t seed)
{
	return last_seed != 0 ? last_seed : seed;
}

static bool
parse_seeds(const char *text)
{
	char *end;

	first_seed = (uint32_t)g_ascii_strtoull(text, &end, 10);
	if (first_seed == 0 || *end != '-')
		return false;
	last_seed = (uint32_t)g_ascii_strtoull(end + 1, &end, 10);
	return *end == '\0' && last_seed >= first_seed;
}

struct suite {
	const char *name;
	const struct test *tests;
};

static const struct suite suites[] = {
	{ "kern", tests_kern },
	{ "decl", tests_decl },
	{ "queue", tests_queue },
	{ "ledger", tests_ledger },
	{ "route", tests_route },
	{ "session", tests_session },
	{ "once", tests_once },
	{ "entry", tests_entry },
	{ "nodes", tests_nodes },
	{ "adapter", tests_adapter },
	{ "fuzz", tests_fuzz },
	{ "sched", tests_sched },
	{ "schedsilent", tests_schedsilent },
	{ "gate", tests_gate },
	{ "silent", tests_silent },
	{ "nodefail", tests_nodefail },
	{ "change", tests_change },
	{ "budget", tests_budget },
	{ "leave", tests_leave },
	{ "mesh", tests_mesh },
	{ "linkdraw", tests_linkdraw },
	{ "pack", tests_pack },
	{ "cold", tests_cold },
	{ "evacuate", tests_evacuate },
	{ "start", tests_start },
	{ "http", tests_http },
	{ "wire", tests_wire },
	{ "relay", tests_relay },
	{ "platform", tests_platform },
	{ "registry", tests_registry },
	{ "store", tests_store },
	{ "restored", tests_restored },
	{ "foreign", tests_foreign },
	{ "slow", tests_slow },
	{ "coordinator", tests_coordinator },
	{ "handoff", tests_handoff },
	{ "sse", tests_sse },
	{ "front", tests_front },
	{ "events", tests_events },
	{ "stream", tests_stream },
	{ "work", tests_work },
	{ "version", tests_version },
	{ "waits", tests_waits },
	{ "stop", tests_stop },
	{ "endless", tests_endless },
	{ "drain", tests_drain },
	{ "grace", tests_grace },
	{ "crash", tests_crash },
	{ "late", tests_late_crash },
	{ "poison", tests_poison },
	{ "part", tests_part },
	{ "stage", tests_stage },
	{ "said", tests_said },
	{ "crowd", tests_crowd },
	{ "crowdhoist", tests_crowd_hoist },
	{ "words", tests_words },
	{ "retry", tests_retry },
	{ "red", tests_red },
};

/*
 * Results against KNOWN-RED.txt, the list of known failures.  Only the listed
 * tests may fail; they are run and printed, and one that passes must be removed
 * from the list.  Entries of other programs, a day or a soak seed, are only
 * printed.
 */
struct red {
	GHashTable *known; /* names of listed tests that failed */
	uint32_t stale; /* listed tests that passed or don't exist */
	uint32_t malformed; /* malformed lines */
};

static bool
has_failed(const char *name)
{
	for (CU_pFailureRecord f = CU_get_failure_list(); f != NULL;
	     f = f->pNext) {
		if (f->pTest != NULL && strcmp(f->pTest->pName, name) == 0)
			return true;
	}
	return false;
}

static bool
has_run(const char *name)
{
	CU_pTestRegistry reg = CU_get_registry();

	for (CU_pSuite s = reg->pSuite; s != NULL; s = s->pNext) {
		if (CU_get_test_by_name(name, s) != NULL)
			return true;
	}
	return false;
}

static void
check_red_line(struct red *r, const char *line, bool all)
{
	const char *why;
	struct red_entry *e = red_entry_parse(line, &why);

	if (e == NULL) {
		printf("known red, %s: %s\n", why, line);
		r->malformed++;
	} else if (e->is_external) {
		if (all)
			printf("known red, not run here: %s\n", line);
	} else if (has_run(e->name) && has_failed(e->name)) {
		printf("known red: %s\n", line);
		/* A duplicate line must not excuse a second test. */
		g_hash_table_add(r->known, g_strdup(e->name));
	} else if (has_run(e->name) || all) {
		printf("known red, passes now, remove it: %s\n", line);
		r->stale++;
	}
	red_entry_destroy(e);
}

static void
check_red_list(struct red *r, bool all)
{
	char *file = g_build_filename(regress_dir, "..", "KNOWN-RED.txt", NULL);
	char *text = NULL;

	if (g_file_get_contents(file, &text, NULL, NULL)) {
		char **lines = g_strsplit(text, "\n", -1);

		for (char **l = lines; *l != NULL; l++) {
			if (red_line_is_entry(*l))
				check_red_line(r, *l, all);
		}
		g_strfreev(lines);
	}
	g_free(text);
	g_free(file);
}

static void
add_suite(const struct suite *s, const char *only)
{
	CU_pSuite p = CU_add_suite(s->name, NULL, NULL);

	for (const struct test *t = s->tests; t->name != NULL; t++) {
		if (only == NULL || strcmp(only, t->name) == 0 ||
		    strcmp(only, s->name) == 0)
			CU_add_test(p, t->name, t->fn);
	}
}

int
main(int argc, char **argv)
{
	unsigned failed, run, red_tests;
	struct red red = { 0 };

	/* As the daemons do. */
	(void)signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS)
		return EXIT_FAILURE;
	if (argc > 1)
		regress_dir = argv[1];
	if (argc > 3 && !parse_seeds(argv[3])) {
		fprintf(stderr,
		    "usage: regress [dir [suite-or-test [first-last]]]\n");
		return EXIT_FAILURE;
	}
	for (size_t i = 0; i < sizeof(suites) / sizeof(suites[0]); i++)
		add_suite(&suites[i], argc > 2 ? argv[2] : NULL);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	red.known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	check_red_list(&red, argc <= 2);
	red_tests = CU_get_number_of_tests_failed();
	failed = red_tests - g_hash_table_size(red.known) + red.stale +
	    red.malformed;
	g_hash_table_destroy(red.known);
	run = CU_get_number_of_tests_run();
	CU_cleanup_registry();
	printf("\n%u passed, %u failed\n", run - red_tests, failed);
	return failed == 0 && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
