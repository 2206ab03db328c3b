/**
 * DOC: Requests that end every endpoint that begins to run them.
 */

#include "fallrig.h"
#include "regress.h"

#include <stdio.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define ENGINES 9
/* So many sendings may still reach an engine, see the first test. */
#define LATE_MOST 3

static void
check_bad(const struct fallrig *r, uint32_t seed)
{
	for (uint32_t b = 1; b <= r->bad; b++) {
		CU_ASSERT(r->late[b] <= LATE_MOST);
		if (r->late[b] > LATE_MOST)
			fprintf(stderr,
			    "seed %u: sent %u times, %u engines ended, %u "
			    "late\n",
			    seed, r->sends[b], r->ends[b], r->late[b]);
	}
}

/* No request of others is refused as a cause. */
static void
check_good(const struct fallrig *r, uint32_t seed)
{
	CU_ASSERT_EQUAL(r->good_held, 0);
	if (r->good_held > 0)
		fprintf(
		    stderr, "seed %u: %u others held\n", seed, r->good_held);
}

/*
 * A party plan made the engine that ran it end, 40 to 121 ms after the head of
 * its answer.  Its caller asked again, at other entries and with a new id each
 * time; to each entry it was a new request, and 13 engines of a pool of nine
 * ended in 12.6 s, with all that others had running there:
 *	broken id=e2d4c389 node=i-26cd532332 sent=1 head_ms=57
 *	broken id=de046361 node=i-a1ae78b0f1 sent=1 head_ms=99
 * After the third end, and the time in which all entries must know of it, no
 * more than three sendings may reach an engine.
 */
static void
test_ends_engines(void)
{
	struct fallrig *r = fallrig_create(ENGINES, 1);

	r->bad = 1;
	fallrig_run(r, 25 * S);
	CU_ASSERT(r->ends[1] >= 3);
	check_bad(r, 1);
	fallrig_destroy(r);
}

/*
 * What others had running on an engine when it ended is asked for again by its
 * callers, while the cause ends further engines under some of it.  It is served
 * in the end, and never refused as if it were the cause.
 */
static void
test_others_are_served(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		r->bad = 1;
		fallrig_run(r, 15 * S);
		r->bad_each_us = 60 * S;
		r->per_s = 0;
		fallrig_run(r, 10 * S);
		CU_ASSERT(r->bad_held > 0);
		CU_ASSERT_EQUAL(r->good_served, r->good_asked);
		check_good(r, seed);
		check_bad(r, seed);
		fallrig_destroy(r);
	}
}

/* Plain requests have no head before their whole answer. */
static void
test_plain(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		r->plain = true;
		r->bad = 1;
		fallrig_run(r, 20 * S);
		CU_ASSERT(r->bad_held > 0);
		check_good(r, seed);
		check_bad(r, seed);
		fallrig_destroy(r);
	}
}

/*
 * Four causes at once in a pool of nine: an end of one is no sign that engines
 * end by themselves for longer than it takes to know the first.
 */
static void
test_many_causes(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		r->bad = 4;
		fallrig_run(r, 30 * S);
		check_bad(r, seed);
		check_good(r, seed);
		fallrig_destroy(r);
	}
}

/*
 * Engines end by themselves, one a second of nine.  Some callers meet three
 * such ends in a row; none of their requests is the cause.
 */
static void
test_engines_fall_alone(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		for (int i = 0; i < 30; i++) {
			fallrig_run(r, S);
			fallrig_fall(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
		}
		check_good(r, seed);
		fallrig_destroy(r);
	}
}

/* Engines end by themselves while two requests end others. */
static void
test_both(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		r->bad = 2;
		for (int i = 0; i < 30; i++) {
			fallrig_run(r, S);
			fallrig_fall(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
		}
		check_bad(r, seed);
		check_good(r, seed);
		fallrig_destroy(r);
	}
}

/*
 * Every connection breaks at once and no engine has ended: their next answers
 * show it, and what was laid to the requests there is taken back.
 */
static void
test_connections_reset(void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		for (int i = 0; i < 10; i++) {
			fallrig_run(r, S);
			fallrig_reset(r);
		}
		r->bad = 1;
		for (int i = 0; i < 4; i++) {
			fallrig_run(r, 5 * S);
			fallrig_reset(r);
		}
		check_bad(r, seed);
		check_good(r, seed);
		CU_ASSERT(r->bad_held > 0);
		fallrig_destroy(r);
	}
}

/*
 * The list of engines stands still: an engine that is back has another name,
 * and none of the new ones is known.  Ends show by broken calls alone.
 */
static void
test_store_away(void)
{
	struct fallrig *r = fallrig_create(20, 5);

	r->store_away = true;
	r->bad = 1;
	fallrig_run(r, 20 * S);
	CU_ASSERT(r->bad_held > 0);
	check_bad(r, 5);
	check_good(r, 5);
	fallrig_destroy(r);
}

/*
 * An entry that is killed and starts again has forgotten everything; the others
 * tell it as soon as it is linked, long before the request is there again.
 */
static void
test_entry_restarts(void)
{
	struct fallrig *r = fallrig_create(ENGINES, 3);
	uint32_t sends;

	r->bad = 1;
	fallrig_run(r, 10 * S);
	CU_ASSERT(r->bad_held > 0);
	sends = r->sends[1];
	for (uint32_t i = 0; i < ENTRIES; i++) {
		r->bad_each_us = 60 * S;
		r->bad_next_us[1] = r->m->now_us + 2 * S;
		fallrig_restart(r, i);
		fallrig_run(r, 2 * S);
		r->bad_each_us = 50 * MS;
		r->bad_next_us[1] = 0;
		fallrig_run(r, S);
	}
	CU_ASSERT_EQUAL(r->sends[1], sends);
	check_good(r, 3);
	fallrig_destroy(r);
}

/*
 * Held requests are tried again after some minutes, and one end holds them
 * anew, for longer; what is not asked for any more is forgotten.
 */
static void
test_tried_again(void)
{
	struct fallrig *r = fallrig_create(ENGINES, 4);
	uint32_t ends;
	struct mh_kern *k;
	json_t *state;

	r->bad = 1;
	fallrig_run(r, 20 * S);
	k = r->m->e[0].k;
	ends = r->ends[1];
	CU_ASSERT(mh_poison_held_us(k, 1) > 200 * S);
	r->bad_each_us = 5 * S;
	r->per_s = 2;
	fallrig_run(r, 330 * S);
	CU_ASSERT_EQUAL(r->ends[1], ends + 1);
	CU_ASSERT(mh_poison_held_us(k, 1) > 300 * S);
	state = mh_poison_state(k);
	CU_ASSERT_EQUAL(json_array_size(state), 1);
	json_decref(state);
	r->bad = 0;
	r->per_s = 0;
	fallrig_run(r, 4300 * S);
	state = mh_poison_state(k);
	CU_ASSERT_EQUAL(json_array_size(state), 0);
	json_decref(state);
	fallrig_destroy(r);
}

const struct test tests_fall[] = {
	{ "a request ends engines", test_ends_engines },
	{ "others are served", test_others_are_served },
	{ "plain requests end engines", test_plain },
	{ "many causes at once", test_many_causes },
	{ "engines fall by themselves", test_engines_fall_alone },
	{ "engines fall by themselves too", test_both },
	{ "connections reset", test_connections_reset },
	{ "store away", test_store_away },
	{ "an entry restarts", test_entry_restarts },
	{ "held, tried, forgotten", test_tried_again },
	{ NULL, NULL },
};
