/**
 * DOC: Requests that end every engine that runs them, long after they began.
 */

#include "fallrig.h"
#include "regress.h"

#include <stdio.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define ENGINES 9
#define PLAYED_S 40
/* So many sendings may still reach an engine, as for those that show early. */
#define LATE_MOST 3

/** struct late_row - causes, and engines that end besides. */
struct late_row {
	int64_t fall_us; /* from the head of a cause to its engine's end */
	uint32_t causes;
	int each_s; /* an engine ends by itself each so many; 0: never */
	bool plain; /* answers have no head before their end */
};

static bool
holds(const struct late_row *l, uint32_t seed)
{
	struct fallrig *r = fallrig_create(ENGINES, seed);
	bool good;

	r->bad = l->causes;
	r->fall_us = l->fall_us;
	r->plain = l->plain;
	for (int i = 0; i < PLAYED_S; i++) {
		fallrig_run(r, S);
		if (l->each_s > 0 && i % l->each_s == 0)
			fallrig_fall(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
	}
	good = r->good_held == 0 && r->bad_held > 0;
	for (uint32_t b = 1; b <= l->causes; b++)
		good = good && r->late[b] <= LATE_MOST;
	for (uint32_t b = 1; b <= l->causes && !good; b++)
		fprintf(stderr,
		    "seed %u, %" PRId64 " ms: %u engines ended, %u sendings "
		    "late, %u others held\n",
		    seed, mh_ms(l->fall_us), r->ends[b], r->late[b],
		    r->good_held);
	fallrig_destroy(r);
	return good;
}

/*
 * A request ends its engine in the middle of a long answer, or after a long
 * read of its prompt, as where memory runs out with its length.  Six engines
 * and more ended under one, and up to eight sendings reached one too late.  It
 * had half of the points for each end, as what had run for a while; who had
 * begun beside it had more, so that two further ends were laid to that one
 * alone: "1o:0 1040:0", "1:1 1040:2", "1o:1 1040o:4", held: 1040.
 */
static void
test_late_causes(void)
{
	static const struct late_row rows[] = {
		{ 80 * MS, 1, 0, false },
		{ 700 * MS, 1, 0, false },
		{ 700 * MS, 1, 1, false },
		{ 1500 * MS, 1, 0, false },
		{ 1500 * MS, 1, 0, true },
		{ 2300 * MS, 1, 3, false },
		{ 5000 * MS, 1, 0, false },
		{ 1000 * MS, 2, 3, false },
	};

	for (uint32_t seed = regress_first(1); seed <= regress_last(3);
	     seed++) {
		for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
			CU_ASSERT_TRUE(holds(&rows[i], seed));
	}
}

/* Two causes that show late, and an engine that ends by itself each second. */
static void
test_two_late_causes(void)
{
	static const struct late_row row = { 700 * MS, 2, 1, false };
	static const uint32_t more[] = { 64, 81, 97 };

	for (uint32_t seed = regress_first(6); seed <= regress_last(7); seed++)
		CU_ASSERT_TRUE(holds(&row, seed));
	for (size_t i = 0; i < G_N_ELEMENTS(more); i++)
		CU_ASSERT_TRUE(holds(&row, more[i]));
}

/* One that shows later still; somebody else is held for it. */
static void
test_late_cause_and_falls(void)
{
	static const struct late_row row = { 1500 * MS, 1, 1, false };
	static const uint32_t more[] = { 21, 64 };

	for (uint32_t seed = regress_first(9); seed <= regress_last(12); seed++)
		CU_ASSERT_TRUE(holds(&row, seed));
	for (size_t i = 0; i < G_N_ELEMENTS(more); i++)
		CU_ASSERT_TRUE(holds(&row, more[i]));
}

/* An engine ends by itself each three seconds: in one run of twenty. */
static void
test_late_seldom(void)
{
	static const struct late_row one = { 2300 * MS, 1, 3, false };
	static const struct late_row two = { 1000 * MS, 2, 3, false };
	static const uint32_t of_one[] = { 27, 43, 57 };
	static const uint32_t of_two[] = { 46, 55, 356 };

	for (size_t i = 0; i < G_N_ELEMENTS(of_one); i++)
		CU_ASSERT_TRUE(holds(&one, of_one[i]));
	for (size_t i = 0; i < G_N_ELEMENTS(of_two); i++)
		CU_ASSERT_TRUE(holds(&two, of_two[i]));
	for (uint32_t seed = regress_first(1); seed <= regress_last(0);
	     seed++) {
		CU_ASSERT_TRUE(holds(&one, seed));
		CU_ASSERT_TRUE(holds(&two, seed));
	}
}

/* Somebody who asks beside a cause meets three ends in a row and is held. */
static void
test_held_beside_a_late_cause(void)
{
	static const struct late_row row = { 700 * MS, 1, 1, false };
	static const uint32_t seeds[] = { 43, 83, 121 };

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		CU_ASSERT_TRUE(holds(&row, seeds[i]));
}

const struct test tests_late[] = {
	{ "late: causes that show late", test_late_causes },
	{ "late: two causes and falls", test_two_late_causes },
	{ "late: a cause and falls", test_late_cause_and_falls },
	{ "late: seldom", test_late_seldom },
	{ "late: held beside a cause", test_held_beside_a_late_cause },
	{ NULL, NULL },
};
