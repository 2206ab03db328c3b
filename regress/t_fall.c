/**
 * DOC: Requests that end every endpoint that begins to run them.
 */

#include "fallrig.h"
#include "regress.h"

#define MS MH_US_PER_MS
#define S MH_US_PER_S

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
	struct fallrig *r = fallrig_create(9, 1);

	r->bad = 1;
	fallrig_run(r, 25 * S);
	CU_ASSERT(r->ends[1] >= 3);
	CU_ASSERT(r->late[1] <= 3);
	if (r->late[1] > 3)
		fprintf(stderr, "sent %u times, %u engines ended, %u late\n",
		    r->sends[1], r->ends[1], r->late[1]);
	fallrig_destroy(r);
}

const struct test tests_fall[] = {
	{ "a request ends engines", test_ends_engines },
	{ NULL, NULL },
};
