/**
 * DOC: Tests of the parser of KNOWN-RED.txt.
 */

#include "red.h"
#include "regress.h"

#include <stddef.h>

static void
test_red_entry(void)
{
	const char *why;
	struct red_entry *e = red_entry_parse(
	    "crash: two | regress crash, seed 39 | 1 of 900 lost | 25", &why);

	CU_ASSERT_PTR_NOT_NULL(e);
	if (e == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(e->name, "crash: two");
	CU_ASSERT_STRING_EQUAL(e->command, "regress crash, seed 39");
	CU_ASSERT_STRING_EQUAL(e->seen, "1 of 900 lost");
	CU_ASSERT_EQUAL(e->issue, 25);
	CU_ASSERT_FALSE(e->is_external);
	red_entry_destroy(e);
	e = red_entry_parse("day grown hunt-1 | replay | DRAIN 1 | 2", &why);
	CU_ASSERT_TRUE(e != NULL && e->is_external);
	red_entry_destroy(e);
	e = red_entry_parse("soak 523 | marlsoak | late | 26", &why);
	CU_ASSERT_TRUE(e != NULL && e->is_external);
	red_entry_destroy(e);
	e = red_entry_parse("soaked: a test | regress | late | 26", &why);
	CU_ASSERT_TRUE(e != NULL && !e->is_external);
	red_entry_destroy(e);
}

/*
 * A malformed entry must count as a failure.  If it were skipped silently, its
 * test would not be excused, or a day would disappear from the list.
 */
static void
test_red_malformed_lines(void)
{
	static const char *const malformed[] = {
		"a | b | c", /* three fields */
		"a | b | c | 1 | d",
		"a | | c | 1",
		"a | b | c | none",
		"a | b | c | 0",
		"a | b | c | 1 and 2",
		"| b | c | 1",
	};
	const char *why;

	for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		CU_ASSERT_PTR_NULL(red_entry_parse(malformed[i], &why));
		CU_ASSERT_PTR_NOT_NULL(why);
	}
	CU_ASSERT_FALSE(red_line_is_entry(""));
	CU_ASSERT_FALSE(red_line_is_entry("# a | b | c | 1"));
	CU_ASSERT_TRUE(red_line_is_entry("a"));
}

const struct test tests_red[] = {
	{ "red: an entry", test_red_entry },
	{ "red: malformed lines", test_red_malformed_lines },
	{ NULL, NULL },
};
