/**
 * DOC: Runs every suite; the last line is the runner's own count.
 */

#include "regress.h"

#include <CUnit/Basic.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *regress_dir = "regress";

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
	{ "cell", tests_cell },
	{ "gate", tests_gate },
	{ "mesh", tests_mesh },
	{ "start", tests_start },
	{ "http", tests_http },
	{ "platform", tests_platform },
	{ "registry", tests_registry },
	{ "store", tests_store },
	{ "home", tests_home },
	{ "front", tests_front },
	{ "work", tests_work },
	{ "drain", tests_drain },
};

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
	unsigned failed, run;

	if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS)
		return EXIT_FAILURE;
	if (argc > 1)
		regress_dir = argv[1];
	for (size_t i = 0; i < sizeof(suites) / sizeof(suites[0]); i++)
		add_suite(&suites[i], argc > 2 ? argv[2] : NULL);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failed = CU_get_number_of_tests_failed();
	run = CU_get_number_of_tests_run();
	CU_cleanup_registry();
	printf("\n%u passed, %u failed\n", run - failed, failed);
	return failed == 0 && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
