/**
 * DOC: Parts of prompts that crash the endpoints that answer them.
 */

#include "crashrig.h"
#include "regress.h"

#include <stdio.h>
#include <time.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define RUN_S 20
/* Requests allowed over three seconds after the fifth crash. */
#define LATE_SENDS_MAX 3
/* Of other requests, with those whose engine crashes beside them. */
#define MIN_SERVED_RATIO 0.5

/** struct part_row - poison parts, and what comes beside them. */
struct part_row {
	uint32_t n_causes;
	uint32_t engines;
	double other_per_s;
	int64_t pause_us; /* between two requests with the same cause */
	int each_s; /* period of crashes of engines on their own; 0: none */
	int restart_s; /* period of restarts of an entry; 0: none */
	bool plain;
};

static bool
is_contained(const struct part_row *l, uint32_t seed)
{
	struct crashrig *r = crashrig_create(l->engines, seed);
	bool ok;

	r->n_causes = l->n_causes;
	r->other_per_s = l->other_per_s;
	r->poison_pause_us = l->pause_us;
	r->plain = l->plain;
	for (int i = 0; i < RUN_S; i++) {
		crashrig_run(r, S);
		if (l->each_s > 0 && i % l->each_s == 0)
			crashrig_crash(r,
			    (uint32_t)g_rand_int_range(
				r->rand, 0, (gint32)l->engines));
		if (l->restart_s > 0 && i % l->restart_s == 0)
			crashrig_restart(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENTRIES));
	}
	ok = r->other_quarantined == 0 && r->poison_quarantined > 0 &&
	    r->other_served > MIN_SERVED_RATIO * r->other_sent;
	for (uint32_t b = 1; b <= l->n_causes; b++)
		ok = ok && r->after_fifth[b] <= LATE_SENDS_MAX;
	for (uint32_t b = 1; b <= l->n_causes && !ok; b++)
		fprintf(stderr,
		    "seed %u, %u causes, %.0f others/s: %u engines crashed, %u "
		    "sends too late, %u others quarantined, %u of %u served\n",
		    seed, l->n_causes, l->other_per_s, r->crashes[b],
		    r->after_fifth[b], r->other_quarantined, r->other_served,
		    r->other_sent);
	crashrig_destroy(r);
	return ok;
}

/* Guards against a part that is never found, as no two requests are alike. */
static void
test_parts(void)
{
	static const struct part_row rows[] = {
		{ 1, 9, 30, 300 * MS, 0, 0, false },
		{ 1, 9, 30, 1500 * MS, 0, 0, false },
		{ 1, 9, 30, 300 * MS, 0, 0, true },
		{ 1, 24, 60, 300 * MS, 0, 0, false },
		{ 2, 12, 30, 600 * MS, 0, 0, false },
		{ 3, 24, 60, 600 * MS, 0, 0, false },
	};

	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(2); seed++) {
		for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
			CU_ASSERT_TRUE(is_contained(&rows[i], seed));
	}
}

/* Guards against taking parts for the cause that few sound requests have. */
static void
test_few_others(void)
{
	static const struct part_row rows[] = {
		{ 1, 9, 4, 300 * MS, 0, 0, false },
		{ 1, 9, 1, 300 * MS, 0, 0, false },
		{ 2, 12, 4, 600 * MS, 0, 0, false },
	};

	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(2); seed++) {
		for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
			CU_ASSERT_TRUE(is_contained(&rows[i], seed));
	}
}

/* Guards against engines that crash on their own, and entries that restart. */
static void
test_other_crashes(void)
{
	static const struct part_row rows[] = {
		{ 1, 9, 30, 500 * MS, 3, 0, false },
		{ 1, 9, 30, 500 * MS, 0, 1, false },
		{ 2, 12, 30, 500 * MS, 3, 2, false },
	};

	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(2); seed++) {
		for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
			CU_ASSERT_TRUE(is_contained(&rows[i], seed));
	}
}

/*
 * Processor time of a request with 16 parts, three of them new, beside a full
 * table of crashes.  The bound is a requirement.
 */
static void
test_cost(void)
{
	enum { ROUNDS = 20000, US_MAX = 10, PARTS = 15, NEW_PARTS = 3 };
	struct mh_poison_ops alone = { .arg = NULL };
	struct mh_kern *k = mh_kern_create(1);
	uint64_t names[PARTS];
	struct timespec a, b;
	int64_t now_us = S, sum = 0;
	double us;

	mh_kern_advance(k, now_us, now_us);
	mh_poison_create(k, &alone);
	for (uint64_t i = 0; i < 256; i++) {
		char id[16];
		struct mh_poison_break e = { id, "pool", 1 + i, now_us, false,
			names, PARTS };

		g_snprintf(id, sizeof(id), "n%d", (int)i);
		for (uint64_t j = 0; j < PARTS; j++)
			names[j] = mh_poison_part(i * PARTS + j, "pool");
		now_us += 200 * MS;
		mh_kern_advance(k, now_us, now_us);
		mh_poison_call_broke(k, &e);
	}
	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &a);
	for (uint64_t i = 0; i < ROUNDS; i++) {
		for (uint64_t j = 0; j < PARTS; j++)
			names[j] = mh_poison_part(
			    1000000 + j + (j < NEW_PARTS ? i * NEW_PARTS : 0),
			    "pool");
		sum += mh_poison_parts_quarantine_us(k, names, PARTS);
		mh_poison_parts_answered(k, names, PARTS, "pool");
	}
	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &b);
	us = ((double)(b.tv_sec - a.tv_sec) * 1e9 +
		 (double)(b.tv_nsec - a.tv_nsec)) /
	    1e3 / ROUNDS;
	printf("\nparts: %.2f us per request\n", us);
	CU_ASSERT_EQUAL(sum, 0);
	CU_ASSERT(us < US_MAX);
	mh_kern_destroy(k);
}

/* About one run in a hundred failed. */
static void
test_part_seldom(void)
{
	static const struct part_row few = { 2, 12, 4, 600 * MS, 0, 0, false };
	static const struct part_row plain = { 1, 9, 30, 300 * MS, 0, 0, true };

	CU_ASSERT_TRUE(is_contained(&few, 12));
	CU_ASSERT_TRUE(is_contained(&few, 25));
	CU_ASSERT_TRUE(is_contained(&plain, 17));
}

const struct test tests_part[] = {
	{ "part: crashes endpoints", test_parts },
	{ "part: few sound requests beside it", test_few_others },
	{ "part: endpoints crash on their own too", test_other_crashes },
	{ "part: cost of a request", test_cost },
	{ "part: seldom", test_part_seldom },
	{ NULL, NULL },
};
