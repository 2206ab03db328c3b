/**
 * DOC: Endpoints that fall silent and may go on: no run is given up before
 * another one has begun.
 */

#include "gaterig.h"
#include "regress.h"

#include <string.h>

static const struct mh_gresp head = {
	.status = 200, .genuine = true, .events = true
};
static const struct mh_gresp full = { .status = 503, .not_run = true };

/* An event with this id has come. */
static void
event(struct grig *r, struct mh_try *t, uint32_t id)
{
	GString *out = g_string_new(NULL);
	char *text = g_strdup_printf("id: %u\ndata: x\n\n", id);

	mh_sse_feed(t->events, text, strlen(text), out);
	mh_gate_progress(r->g, t);
	g_free(text);
	g_string_free(out, TRUE);
}

/* A stream whose engine, its first, fell silent after two events. */
static struct mh_try *
silent_stream(struct grig *r)
{
	struct mh_try *t;

	grig_stream(r, "a", NULL);
	t = r->cur;
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &head), MH_FORWARD);
	event(r, t, 1);
	event(r, t, 2);
	grig_advance(r, 1700 * MS);
	return t;
}

/* The stream goes on at @t and ends. */
static void
goes_on(struct grig *r, struct mh_try *t)
{
	event(r, t, 3);
	mh_gate_try_end(r->g, t, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(r->finished, 1);
	CU_ASSERT_EQUAL(r->broken + r->refused, 0);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
}

/* Guards against a stream cut because no other engine of its version exists. */
static void
test_only_engine(void)
{
	static const char *const versions[] = { "v1", "v2" };
	struct grig *r = grig_create(2);
	struct mh_try *t;

	grig_list(r, versions, 2);
	t = silent_stream(r);
	CU_ASSERT_EQUAL(r->aborts, 0);
	grig_advance(r, 2 * S);
	CU_ASSERT_EQUAL(r->sends, 1);
	goes_on(r, t);
	CU_ASSERT_EQUAL(r->aborts, 0);
	grig_destroy(r);
}

/* Guards against a wait for an engine that is dark for good. */
static void
test_other_begins(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *t = silent_stream(r);

	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_EQUAL(r->aborts, 0);
	CU_ASSERT_STRING_EQUAL(r->resume, "2");
	CU_ASSERT_PTR_NOT_EQUAL(r->cur, t);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &head), MH_FORWARD_BODY);
	CU_ASSERT_EQUAL(r->aborts, 1);
	goes_on(r, r->cur);
	grig_destroy(r);
}

/* Guards against a sound run thrown away for one that never began. */
static void
test_goes_on_first(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *t = silent_stream(r);

	CU_ASSERT_EQUAL(r->sends, 2);
	event(r, t, 3);
	CU_ASSERT_EQUAL(r->aborts, 1);
	event(r, t, 4);
	mh_gate_try_end(r->g, t, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(r->finished, 1);
	grig_destroy(r);
}

/* What the other engine does instead of beginning. */
static const struct {
	const char *name;
	bool not_run;
	enum mh_hcall_outcome end;
} refusals[] = {
	{ "full", true, 0 },
	{ "can't be reached", false, MH_CALL_UNSENT },
	{ "breaks", false, MH_CALL_BROKEN },
	{ "malformed", false, MH_CALL_UNREADABLE },
};

/* Guards against a sound run lost because the other engine refuses or fails. */
static void
test_other_refuses(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct grig *r = grig_create(2);
		struct mh_try *t = silent_stream(r);

		if (refusals[i].not_run)
			CU_ASSERT_EQUAL(
			    mh_gate_head(r->g, r->cur, &full), MH_DROP)
		else
			mh_gate_try_end(r->g, r->cur, refusals[i].end);
		if (r->broken + r->refused + r->aborts > 0)
			fprintf(stderr, "row: %s\n", refusals[i].name);
		CU_ASSERT_EQUAL(r->aborts, 0);
		grig_advance(r, S);
		goes_on(r, t);
		grig_destroy(r);
	}
}

/* Guards against a whole answer given up before another endpoint has it. */
static void
test_whole_answer(void)
{
	struct grig *r = grig_create(1);
	struct mh_try *t;

	grig_request(r, "/safe/x", 0);
	t = r->cur;
	grig_advance(r, 3 * S);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->aborts + r->refused, 0);
	grig_answer(r, 200, false, true);
	CU_ASSERT_EQUAL(r->finished, 1);
	grig_destroy(r);

	r = grig_create(2);
	grig_request(r, "/safe/x", 0);
	t = r->cur;
	grig_advance(r, 700 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	mh_gate_heard(r->g, t);
	CU_ASSERT_EQUAL(r->aborts, 1);
	r->cur = t;
	grig_answer(r, 200, false, true);
	CU_ASSERT_EQUAL(r->finished, 1);
	grig_destroy(r);
}

static struct mh_try *
silent_with_stages(struct grig *r)
{
	struct mh_groute *g = mh_gconf_route_by_name(r->conf, "resume");
	struct mh_try *t;

	g->n_stages = 1;
	g->stages[0].pool = g_strdup("work");
	grig_stream(r, "a", NULL);
	grig_finish_job(r);
	t = r->cur;
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &head), MH_FORWARD);
	event(r, t, 1);
	event(r, t, 2);
	grig_advance(r, 1700 * MS);
	CU_ASSERT_EQUAL(r->jobs, 2);
	CU_ASSERT_EQUAL(r->aborts, 0);
	return t;
}

/* Guards against a sound run lost because its stage work isn't done again. */
static void
test_stage_work_refused(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *t = silent_with_stages(r);

	mh_gate_job_end(r->g, r->job, MH_JOB_REFUSED, 400 * MS);
	CU_ASSERT_EQUAL(r->broken + r->refused + r->aborts, 0);
	goes_on(r, t);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

/* Guards against stage work that goes on for a stream that needs none. */
static void
test_goes_on_during_stage_work(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *t = silent_with_stages(r);
	uint32_t dropped = r->dropped;

	event(r, t, 3);
	CU_ASSERT_EQUAL(r->dropped, dropped + 1);
	event(r, t, 4);
	mh_gate_try_end(r->g, t, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(r->finished, 1);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

/* Guards against "run" said of what a silent engine turns away in the end. */
static void
test_silent_one_refuses(void)
{
	struct grig *r = grig_create(4);
	struct mh_try *t;

	grig_stream(r, "a", NULL);
	t = r->cur;
	grig_advance(r, 1300 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &full), MH_DROP);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &full), MH_DROP);
	CU_ASSERT_EQUAL(r->sends, 3);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &full), MH_DROP);
	CU_ASSERT_EQUAL(r->sends, 4);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &full), MH_DROP);
	CU_ASSERT_EQUAL(r->why, MH_TOO_BUSY);
	grig_destroy(r);
}

/* Guards against a budget spent on looking, and a run given up without one. */
static void
test_no_budget(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *t;
	uint32_t n = 0;

	while (mh_budget_take(r->b, "pool"))
		n++;
	CU_ASSERT_EQUAL(n, 40);
	t = silent_stream(r);
	CU_ASSERT_EQUAL(r->sends, 1);
	goes_on(r, t);
	grig_destroy(r);
}

/* Guards against more runs than the route allows while all are silent. */
static void
test_all_silent(void)
{
	struct grig *r = grig_create(4);

	(void)silent_stream(r);
	grig_advance(r, 3 * S);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_EQUAL(r->aborts + r->broken, 0);
	grig_advance(r, 2 * S);
	CU_ASSERT_EQUAL(r->broken, 1);
	CU_ASSERT_EQUAL(r->aborts, 2);
	grig_destroy(r);
}

/* Guards against runs that go on after their caller has left. */
static void
test_caller_leaves(void)
{
	struct grig *r = grig_create(2);

	(void)silent_stream(r);
	CU_ASSERT_EQUAL(r->sends, 2);
	mh_gate_caller_left(r->g, g_ptr_array_index(r->open, 0));
	CU_ASSERT_EQUAL(r->aborts, 2);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	grig_destroy(r);
}

const struct test tests_silent[] = {
	{ "silent: the only engine of its version", test_only_engine },
	{ "silent: another engine begins", test_other_begins },
	{ "silent: goes on before another begins", test_goes_on_first },
	{ "silent: another engine refuses or fails", test_other_refuses },
	{ "silent: whole answers", test_whole_answer },
	{ "silent: stage work is refused", test_stage_work_refused },
	{ "silent: goes on during stage work", test_goes_on_during_stage_work },
	{ "silent: turns the request away", test_silent_one_refuses },
	{ "silent: no budget", test_no_budget },
	{ "silent: all engines", test_all_silent },
	{ "silent: the caller leaves", test_caller_leaves },
	{ NULL, NULL },
};
