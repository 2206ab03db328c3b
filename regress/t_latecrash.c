/**
 * DOC: Poison requests with late crashes, long after the answer began.
 */

#include "crashrig.h"
#include "regress.h"

#include <stdio.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define ENGINES 9
#define RUN_S 40
/* Sends allowed after the third crash, as for early crashes. */
#define LATE_SENDS_MAX 3

/** struct late_row - poison requests, and engines that crash on their own. */
struct late_row {
	int64_t crash_us; /* from the head of the answer to the crash */
	uint32_t n_poison;
	int each_s; /* period of crashes of engines on their own; 0: none */
	bool plain; /* the head of an answer comes with its end */
};

static bool
is_contained(const struct late_row *l, uint32_t seed)
{
	struct crashrig *r = crashrig_create(ENGINES, seed);
	bool ok;

	r->n_poison = l->n_poison;
	r->crash_us = l->crash_us;
	r->plain = l->plain;
	for (int i = 0; i < RUN_S; i++) {
		crashrig_run(r, S);
		if (l->each_s > 0 && i % l->each_s == 0)
			crashrig_crash(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
	}
	ok = r->other_quarantined == 0 && r->poison_quarantined > 0;
	for (uint32_t b = 1; b <= l->n_poison; b++)
		ok = ok && r->late_sends[b] <= LATE_SENDS_MAX;
	for (uint32_t b = 1; b <= l->n_poison && !ok; b++)
		fprintf(stderr,
		    "seed %u, %" PRId64 " ms: %u engines crashed, %u sends "
		    "too late, %u others quarantined\n",
		    seed, mh_ms(l->crash_us), r->crashes[b], r->late_sends[b],
		    r->other_quarantined);
	crashrig_destroy(r);
	return ok;
}

/*
 * A request crashes its engine in the middle of a long answer, or after a long
 * prefill, as where the engine runs out of memory for a long sequence.  Such a
 * request crashed six engines and more, and up to eight sends reached an engine
 * too late.  When each late crash gave it half of the points, a request that
 * had begun beside it had more, so that two further crashes were blamed on that
 * one alone.  Points before each crash of the poison request 1 and of the other
 * one, 1040, which was quarantined ("l": late):
 *	"1l:0 1040:0", "1:1 1040:2", "1l:1 1040l:4"
 */
static void
test_late_poison(void)
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

	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(3); seed++) {
		for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
			CU_ASSERT_TRUE(is_contained(&rows[i], seed));
	}
}

/* Two poison requests, and an engine a second that crashes on its own. */
static void
test_two_late_poison(void)
{
	static const struct late_row row = { 700 * MS, 2, 1, false };
	static const uint32_t more[] = { 64, 81, 97 };

	for (uint32_t seed = regress_first_seed(6);
	     seed <= regress_last_seed(7); seed++)
		CU_ASSERT_TRUE(is_contained(&row, seed));
	for (size_t i = 0; i < G_N_ELEMENTS(more); i++)
		CU_ASSERT_TRUE(is_contained(&row, more[i]));
}

/* With a later crash; another request was quarantined instead. */
static void
test_late_poison_and_crashes(void)
{
	static const struct late_row row = { 1500 * MS, 1, 1, false };
	static const uint32_t more[] = { 21, 64 };

	for (uint32_t seed = regress_first_seed(9);
	     seed <= regress_last_seed(12); seed++)
		CU_ASSERT_TRUE(is_contained(&row, seed));
	for (size_t i = 0; i < G_N_ELEMENTS(more); i++)
		CU_ASSERT_TRUE(is_contained(&row, more[i]));
}

/* An engine crashes on its own each 3 s; about one run in twenty failed. */
static void
test_late_seldom(void)
{
	static const struct late_row one = { 2300 * MS, 1, 3, false };
	static const struct late_row two = { 1000 * MS, 2, 3, false };
	static const uint32_t of_one[] = { 27, 43, 57 };
	static const uint32_t of_two[] = { 46, 55, 356 };

	for (size_t i = 0; i < G_N_ELEMENTS(of_one); i++)
		CU_ASSERT_TRUE(is_contained(&one, of_one[i]));
	for (size_t i = 0; i < G_N_ELEMENTS(of_two); i++)
		CU_ASSERT_TRUE(is_contained(&two, of_two[i]));
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(0); seed++) {
		CU_ASSERT_TRUE(is_contained(&one, seed));
		CU_ASSERT_TRUE(is_contained(&two, seed));
	}
}

/*
 * Another request meets three crashes in a row beside a poison request, and
 * must not be quarantined.
 */
static void
test_other_beside_late_poison(void)
{
	static const struct late_row row = { 700 * MS, 1, 1, false };
	static const uint32_t seeds[] = { 43, 83, 121 };

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		CU_ASSERT_TRUE(is_contained(&row, seeds[i]));
}

const struct test tests_late_crash[] = {
	{ "late: causes that show late", test_late_poison },
	{ "late: two causes and falls", test_two_late_poison },
	{ "late: a cause and falls", test_late_poison_and_crashes },
	{ "late: seldom", test_late_seldom },
	{ "late: held beside a cause", test_other_beside_late_poison },
	{ NULL, NULL },
};
