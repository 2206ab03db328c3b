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

/* Guards against more runs than the route allows by one that falls silent
 * twice. */
static void
test_silent_twice(void)
{
	struct grig *r = grig_create(4);
	struct mh_try *t = silent_stream(r);

	CU_ASSERT_EQUAL(r->sends, 2); /* attempts: 2 */
	event(r, t, 3);
	CU_ASSERT_EQUAL(r->aborts, 1);
	grig_advance(r, 1700 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	event(r, t, 4);
	grig_advance(r, 1700 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_destroy(r);
}

/* Guards against an engine that goes dark for good after it was silent once. */
static void
test_dark_after_head(void)
{
	struct grig *r = grig_create(2);
	struct mh_groute *g = mh_gconf_route_by_name(r->conf, "resume");
	struct mh_try *t;

	g->n_stages = 1;
	g->stages[0].pool = g_strdup("work");
	grig_stream(r, "a", NULL);
	grig_finish_job(r);
	t = r->cur;
	grig_advance(r, 1300 * MS);
	CU_ASSERT_EQUAL(r->jobs, 2);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &head), MH_FORWARD);
	grig_advance(r, 4 * S);
	CU_ASSERT(r->jobs >= 3);
	grig_destroy(r);
}

/* Guards against a second engine left for good after the first ran nothing. */
static void
test_not_run_then_dark(void)
{
	struct grig *r = grig_create(4);
	struct mh_try *t;

	grig_stream(r, "a", NULL);
	t = r->cur;
	grig_advance(r, 1300 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &full), MH_DROP);
	grig_advance(r, 4 * S);
	CU_ASSERT(r->sends >= 3);
	grig_destroy(r);
}

static void
list_starts(struct grig *r, uint32_t n, int64_t start_ms)
{
	static const char *const ids[] = { "n0", "n1", "n2", "n3" };

	mh_fleet_begin(r->f);
	for (uint32_t i = 0; i < n; i++) {
		struct mh_listing l = { ids[i], start_ms, "pool", "10.0.0.1:1",
			"d", 8, false, 0, "v1" };

		mh_fleet_list(r->f, &l);
	}
	mh_fleet_end(r->f);
}

/* Guards against a start that counts as confirmed though its question ended. */
static void
test_unconfirmed_start(void)
{
	struct grig *r = grig_create(0);
	struct mh_try *t;
	uint32_t asked;

	list_starts(r, 2, 100);
	r->start_ms = 100;
	grig_stream(r, "a", NULL);
	t = r->cur;
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &head), MH_FORWARD);
	event(r, t, 1);
	grig_advance(r, 1599 * MS);
	asked = r->starts_asked;
	/* step to the moment of the silence timer, without the answer */
	while (r->starts_asked == asked && r->now_us < 10 * S)
		grig_advance(r, 1);
	CU_ASSERT_EQUAL(r->starts_asked, asked + 1);
	CU_ASSERT_EQUAL(r->sends, 1);
	event(r, t, 2); /* goes on; the question is given up */
	CU_ASSERT_PTR_NULL(r->start_timer);
	while (r->sends == 1 && r->now_us < 10 * S)
		grig_advance(r, 1 * MS);
	CU_ASSERT_EQUAL(r->starts_asked, asked + 2);
	grig_destroy(r);
}

/* Guards against a connection that never came to be counted as a run. */
static void
test_unsent(void)
{
	struct grig *r = grig_create(4);
	struct mh_try *t, *b;

	grig_request(r, "/safe/x", 0);
	t = r->cur;
	grig_advance(r, 600 * MS);
	b = r->cur;
	CU_ASSERT_EQUAL(r->sends, 2);
	mh_gate_try_end(r->g, t, MH_CALL_UNSENT);
	mh_gate_try_end(r->g, b, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 3);
	grig_destroy(r);
}

/* Guards against half an event of the silent run joined to the next run. */
static void
test_half_event(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *t;
	GString *out;

	t = silent_stream(r);
	out = g_string_new(NULL);
	mh_sse_feed(t->events, "id: 3\ndata: x\n", 14, out);
	CU_ASSERT_EQUAL(out->len, 0);
	g_string_free(out, TRUE);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &head), MH_FORWARD_BODY);
	CU_ASSERT_EQUAL(r->aborts, 1);
	CU_ASSERT_STRING_EQUAL(r->resume, "2");
	event(r, r->cur, 3);
	mh_gate_try_end(r->g, r->cur, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(r->finished, 1);
	grig_destroy(r);
}

/* Guards against a sending without inputs after stage work was refused. */
static void
test_jobs_refused(void)
{
	struct grig *r = grig_create(3);
	struct mh_try *t = silent_with_stages(r);

	mh_gate_job_end(r->g, r->job, MH_JOB_REFUSED, 400 * MS);
	grig_advance(r, 310 * MS);
	CU_ASSERT_EQUAL(r->jobs, 2);
	grig_advance(r, 100 * MS);
	CU_ASSERT_EQUAL(r->jobs, 3);
	mh_gate_job_end(r->g, r->job, MH_JOB_REFUSED, 400 * MS);
	CU_ASSERT_EQUAL(r->broken + r->refused, 0);
	mh_gate_try_end(r->g, t, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->broken, 1);
	grig_destroy(r);
}

/* Guards against one call that counts as two failures of its endpoint. */
static void
test_one_failure(void)
{
	struct grig *r = grig_create(3);
	struct mh_try *t = silent_stream(r);
	double share;
	struct mh_node *n = mh_fleet_find(r->f, t->node);

	share = n->fail_share;
	CU_ASSERT(share > 0);
	mh_gate_try_end(r->g, t, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(n->fail_share, share);
	CU_ASSERT_EQUAL(n->eject_until_us, 0);
	grig_destroy(r);
}

/*
 * A stream with stage work that was sent to an engine.  Both engines also
 * answer other requests: @busy, by engine.
 */
static struct mh_try *
begin_beside(struct grig *r, struct mh_try *busy[2])
{
	struct mh_groute *o = mh_gconf_route_by_name(r->conf, "resume");

	for (int i = 0; i < 2; i++) {
		grig_request(r, "/stream/x", 0);
		busy[r->last[1] - '0'] = r->cur;
		CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &head), MH_FORWARD);
	}
	o->n_stages = 1;
	o->stages[0].pool = g_strdup("work");
	grig_stream(r, "a", NULL);
	grig_finish_job(r);
	return r->cur;
}

/* Guards against "run" said of a request that ran nowhere, without a budget. */
static void
test_no_budget_not_run(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *busy[2], *t;

	t = begin_beside(r, busy);
	for (int i = 0; i < 2; i++) {
		grig_advance(r, 50 * MS);
		mh_gate_progress(r->g, busy[t->node[1] - '0']);
	}
	CU_ASSERT_EQUAL(r->dropped, 1);
	grig_advance(r, 1200 * MS);
	CU_ASSERT_EQUAL(r->jobs, 2);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &full), MH_DROP);
	while (mh_budget_take(r->b, "pool"))
		;
	grig_finish_job(r);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_TOO_BUSY);
	grig_destroy(r);
}

/* The same; the engine has read nothing and is silent, the other one has it
 * too. */
static struct mh_try *
silent_reader(struct grig *r, struct mh_try *busy[2])
{
	struct mh_try *t = begin_beside(r, busy);

	grig_advance(r, 1200 * MS);
	CU_ASSERT_EQUAL(r->sends, 4);
	return t;
}

/* It goes on at @t and ends, and no other request does. */
static void
ends_alone(struct grig *r, struct mh_try *t)
{
	event(r, t, 1);
	mh_gate_try_end(r->g, t, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(r->finished, 1);
	CU_ASSERT_EQUAL(r->broken + r->refused, 0);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 2);
}

/* Guards against inputs of a silent run that the next run's engine
 * frees. */
static void
test_inputs_of_both(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *busy[2], *t = silent_reader(r, busy);

	for (int i = 0; i < 5; i++) {
		grig_advance(r, 50 * MS);
		mh_gate_progress(r->g, busy[r->last[1] - '0']);
	}
	CU_ASSERT_EQUAL(r->dropped, 0);
	CU_ASSERT_PTR_NOT_EQUAL(r->cur, t);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &head), MH_FORWARD);
	CU_ASSERT_EQUAL(r->dropped, 1);
	CU_ASSERT_EQUAL(r->aborts, 1);
	ends_alone(r, r->cur);
	grig_destroy(r);
}

/* Guards against inputs freed as the silent run becomes the only one.
 */
static void
test_inputs_of_the_only(void)
{
	struct grig *r = grig_create(2);
	struct mh_try *busy[2], *t = silent_reader(r, busy);

	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &full), MH_DROP);
	CU_ASSERT_EQUAL(r->dropped, 0);
	grig_advance(r, 300 * MS);
	mh_gate_progress(r->g, busy[t->node[1] - '0']);
	CU_ASSERT_EQUAL(r->dropped, 0);
	grig_advance(r, 100 * MS);
	mh_gate_progress(r->g, busy[t->node[1] - '0']);
	CU_ASSERT_EQUAL(r->dropped, 1);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, t, &head), MH_FORWARD);
	ends_alone(r, t);
	CU_ASSERT_EQUAL(r->jobs, 1);
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
	{ "silent: twice", test_silent_twice },
	{ "silent: dark after its head", test_dark_after_head },
	{ "silent: not run, and the other dark", test_not_run_then_dark },
	{ "silent: an unconfirmed start", test_unconfirmed_start },
	{ "silent: never sent", test_unsent },
	{ "silent: half an event", test_half_event },
	{ "silent: stage work is refused twice", test_jobs_refused },
	{ "silent: one failure", test_one_failure },
	{ "silent: no budget, not run", test_no_budget_not_run },
	{ "silent: inputs of both runs", test_inputs_of_both },
	{ "silent: inputs of the only run", test_inputs_of_the_only },
	{ NULL, NULL },
};
