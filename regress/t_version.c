/**
 * DOC: Streams go on only at the software version that began them.
 */

#include "gaterig.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

/* Streams of each test that takes one up: the choice of an endpoint varies. */
#define STREAMS 40

static const char *const two_versions[] = { "v1", "v2", "v1", "v2" };

static const char *
version_of(const struct grig *r)
{
	return mh_fleet_find(r->f, r->last)->version;
}

/* The last try sends the head and one event. */
static void
begin(struct grig *r)
{
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };
	GString *out = g_string_new(NULL);

	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_sse_feed(r->cur->events, "id: 3\ndata: x\n\n", 15, out);
	mh_gate_progress(r->g, r->cur);
	g_string_free(out, TRUE);
}

/* Guards against a second run of a stream at another version. */
static void
test_own_tries(void)
{
	struct grig *r = grig_create(4);

	grig_list(r, two_versions, 4);
	for (int i = 0; i < STREAMS; i++) {
		char first[16], version[8];

		(void)grig_stream(r, "a", NULL);
		g_strlcpy(first, r->last, sizeof(first));
		g_strlcpy(version, version_of(r), sizeof(version));
		begin(r);
		mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
		CU_ASSERT_STRING_NOT_EQUAL(r->last, first);
		CU_ASSERT_STRING_EQUAL(version_of(r), version);
		mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
		grig_advance(r, 10 * S);
	}
	CU_ASSERT_EQUAL(r->sends, 2 * STREAMS);
	grig_destroy(r);
}

/* Guards against a stream that goes on where no replica of its version is. */
static void
test_own_try_without_replica(void)
{
	static const char *const versions[] = { "v1", "v2", "v3", "v4" };
	struct grig *r = grig_create(4);

	grig_list(r, versions, 4);
	(void)grig_stream(r, "a", NULL);
	begin(r);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->broken, 1);
	grig_destroy(r);
}

/* Guards against a stream that a caller takes up at another version. */
static void
test_taken_up(void)
{
	struct grig *r = grig_create(4);

	grig_list(r, two_versions, 4);
	for (int i = 0; i < STREAMS; i++) {
		char id[8], version[8];
		struct mh_greq *q;

		g_snprintf(id, sizeof(id), "a%d", i);
		q = grig_stream(r, id, NULL);
		g_strlcpy(version, version_of(r), sizeof(version));
		begin(r);
		mh_gate_caller_left(r->g, q);
		grig_forget(r, q);
		(void)grig_stream(r, "b", id);
		CU_ASSERT_EQUAL(r->refused, 0);
		CU_ASSERT_STRING_EQUAL(version_of(r), version);
		grig_answer(r, 200, false, true);
		grig_advance(r, 100 * MS);
	}
	CU_ASSERT_EQUAL(r->sends, 2 * STREAMS);
	grig_destroy(r);
}

/* Guards against a guess at the version of a stream that began elsewhere. */
static void
test_unknown(void)
{
	struct grig *r = grig_create(4);

	grig_list(r, two_versions, 4);
	(void)grig_stream(r, "b", "elsewhere");
	grig_advance(r, S);
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->refused, 1);
	(void)grig_stream(r, "b", NULL);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

const struct test tests_version[] = {
	{ "version: the entry's own tries", test_own_tries },
	{ "version: no replica of it is left", test_own_try_without_replica },
	{ "version: taken up by its caller", test_taken_up },
	{ "version: not known", test_unknown },
	{ NULL, NULL },
};
