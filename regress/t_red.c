/**
 * DOC: The list of known failures is read as it is written.
 */

#include "red.h"
#include "regress.h"

#include <stddef.h>

static void
test_red_entry(void)
{
	const char *why;
	struct red_entry *e = red_entry_parse(
	    "fall: two | regress fall, seed 39 | 1 of 900 held | 25", &why);

	CU_ASSERT_PTR_NOT_NULL(e);
	if (e == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(e->name, "fall: two");
	CU_ASSERT_STRING_EQUAL(e->command, "regress fall, seed 39");
	CU_ASSERT_STRING_EQUAL(e->seen, "1 of 900 held");
	CU_ASSERT_EQUAL(e->issue, 25);
	CU_ASSERT_FALSE(e->is_elsewhere);
	red_entry_destroy(e);
	e = red_entry_parse("day grown hunt-1 | replay | DRAIN 1 | 2", &why);
	CU_ASSERT_TRUE(e != NULL && e->is_elsewhere);
	red_entry_destroy(e);
	e = red_entry_parse("soak 523 | marlsoak | late | 26", &why);
	CU_ASSERT_TRUE(e != NULL && e->is_elsewhere);
	red_entry_destroy(e);
	e = red_entry_parse("soaked: a test | regress | late | 26", &why);
	CU_ASSERT_TRUE(e != NULL && !e->is_elsewhere);
	red_entry_destroy(e);
}

/*
 * An entry that can't be taken counts as a failure: skipped in silence, its
 * test would be excused by nothing, or a day would be lost from the list.
 */
static void
test_red_bad_lines(void)
{
	static const char *const bad[] = {
		"a | b | c", /* the format of three parts */
		"a | b | c | 1 | d",
		"a | | c | 1",
		"a | b | c | none",
		"a | b | c | 0",
		"a | b | c | 1 and 2",
		"| b | c | 1",
	};
	const char *why;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT_PTR_NULL(red_entry_parse(bad[i], &why));
		CU_ASSERT_PTR_NOT_NULL(why);
	}
	CU_ASSERT_FALSE(red_line_counts(""));
	CU_ASSERT_FALSE(red_line_counts("# a | b | c | 1"));
	CU_ASSERT_TRUE(red_line_counts("a"));
}

const struct test tests_red[] = {
	{ "red: an entry", test_red_entry },
	{ "red: lines that are none", test_red_bad_lines },
	{ NULL, NULL },
};
