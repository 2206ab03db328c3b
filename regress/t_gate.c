/**
 * DOC: Requests in the gateway: placement, retries, refusals, retry budget.
 */

#include "gaterig.h"
#include "regress.h"

#include <string.h>

/** struct row - what each endpoint does with a request, and the outcome. */
struct row {
	const char *name;
	const char *target;
	uint32_t status; /* 0: no answer */
	bool not_run;
	bool genuine;
	enum mh_hcall_outcome end; /* with status 0 */
	uint32_t sends; /* expected, with every endpoint doing the same */
	bool finished; /* expected */
	enum mh_gate_refusal why; /* expected if not finished */
};

static const struct row rows[] = {
	{ "safe, answered", "/safe/x", 200, false, true, 0, 1, true, 0 },
	{ "safe, fails everywhere", "/safe/x", 500, false, true, 0, 2, true,
	    0 },
	{ "safe, not the endpoint's answer", "/safe/x", 200, false, false, 0, 2,
	    false, MH_RUN_FAILED },
	{ "safe, cut", "/safe/x", 0, false, false, MH_CALL_BROKEN, 2, false,
	    MH_RUN_FAILED },
	{ "safe, never sent", "/safe/x", 0, false, false, MH_CALL_UNSENT, 4,
	    false, MH_NO_ENDPOINT },
	{ "safe, refused by all", "/safe/x", 503, true, false, 0, 4, false,
	    MH_TOO_BUSY },
	{ "once, answered", "/once/x", 200, false, true, 0, 1, true, 0 },
	{ "once, failed: its own failure", "/once/x", 500, false, true, 0, 1,
	    true, 0 },
	{ "once, cut: it may have run", "/once/x", 0, false, false,
	    MH_CALL_BROKEN, 1, false, MH_RUN_FAILED },
	{ "once, never sent", "/once/x", 0, false, false, MH_CALL_UNSENT, 4,
	    false, MH_NO_ENDPOINT },
	{ "once, refused: not run", "/once/x", 503, true, false, 0, 4, false,
	    MH_TOO_BUSY },
	{ "once, not the endpoint's answer", "/once/x", 200, false, false, 0, 1,
	    false, MH_RUN_FAILED },
	{ "stream, cut before its first event", "/stream/x", 0, false, false,
	    MH_CALL_BROKEN, 1, false, MH_RUN_FAILED },
};

/*
 * Each kind of route keeps its guarantee: a request that may run once and whose
 * connection broke is never retried, and a refusal says "not run" only if no
 * endpoint may have run the request.
 */
static void
test_retry_table(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct row *row = &rows[i];
		struct grig *r = grig_create(4);

		grig_request(r, row->target, 0);
		while (r->cur != NULL && r->finished + r->refused == 0) {
			if (row->status == 0)
				mh_gate_try_end(r->g, r->cur, row->end);
			else
				grig_answer(
				    r, row->status, row->not_run, row->genuine);
		}
		if (r->sends != row->sends ||
		    (r->finished == 1) != row->finished ||
		    (!row->finished && r->why != row->why))
			fprintf(stderr, "row: %s (sends %u why %d)\n",
			    row->name, r->sends, (int)r->why);
		CU_ASSERT_EQUAL(r->sends, row->sends);
		CU_ASSERT_EQUAL(r->finished, row->finished);
		CU_ASSERT_EQUAL(r->refused, !row->finished);
		if (!row->finished)
			CU_ASSERT_EQUAL(r->why, row->why);
		CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
		grig_destroy(r);
	}
}

/*
 * An endpoint hangs although its health check succeeds.  The request goes to
 * another one after about half of its latency objective, but never to more than
 * its route allows: when only answered tries were counted, a third endpoint ran
 * it.
 */
static void
test_silent_endpoint(void)
{
	struct grig *r = grig_create(4);

	grig_request(r, "/safe/x", 0);
	grig_advance(r, 600 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_EQUAL(r->aborts, 0);
	grig_advance(r, 3 * S);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_advance(r, 3 * S);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->aborts, 2);
	CU_ASSERT_EQUAL(r->why, MH_RUN_TIMEOUT);
	grig_destroy(r);
}

/* A request that may run once waits for its answer until its deadline. */
static void
test_silent_endpoint_once(void)
{
	struct grig *r = grig_create(4);

	grig_request(r, "/once/x", 800 * MS);
	grig_advance(r, 790 * MS);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->refused, 0);
	grig_advance(r, 20 * MS);
	CU_ASSERT_EQUAL(r->why, MH_RUN_TIMEOUT);
	CU_ASSERT_EQUAL(r->retry_us, 0);
	grig_destroy(r);
}

/* Guards against refusals at the one entry that most callers connect to. */
static void
test_crowded_entry(void)
{
	static const char *const ids[] = { "n0", "n1", "n2", "n3" };
	struct grig *r = grig_create(4);
	struct mh_gpool *p = g_new0(struct mh_gpool, 1);

	p->name = g_strdup("pool");
	p->max_conns = 60;
	g_hash_table_insert(r->conf->pools, p->name, p);
	mh_gate_entries(r->g, 60);
	for (int i = 0; i < 12; i++) {
		for (int j = 0; j < 4; j++) {
			struct mh_node *n = mh_fleet_find(r->f, ids[j]);

			mh_node_set_load(r->f, n, n->inflight, 0, 8);
		}
		grig_request(r, "/once/x", 0);
	}
	CU_ASSERT_EQUAL(r->sends, 12);
	CU_ASSERT_EQUAL(r->refused, 0);
	/* Busy endpoints get no more than the entry's share. */
	for (int j = 0; j < 4; j++)
		mh_node_set_load(r->f, mh_fleet_find(r->f, ids[j]), 8, 0, 8);
	grig_request(r, "/once/x", 0);
	CU_ASSERT_EQUAL(r->sends, 12);
	CU_ASSERT_EQUAL(r->refused, 1);
	grig_destroy(r);
}

/* A stream breaks off after an event: another run resumes after that event. */
static void
test_stream_resumes(void)
{
	struct grig *r = grig_create(4);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };
	GString *out = g_string_new(NULL);
	char first[16];

	grig_request(r, "/resume/x", 0);
	g_strlcpy(first, r->last, sizeof(first));
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_sse_feed(r->cur->events, "id: 7\ndata: x\n\nid: 8\nda", 22, out);
	CU_ASSERT_STRING_EQUAL(out->str, "id: 7\ndata: x\n\n");
	mh_gate_progress(r->g, r->cur);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_STRING_EQUAL(r->resume, "7");
	CU_ASSERT_STRING_NOT_EQUAL(r->last, first);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD_BODY);
	mh_gate_try_end(r->g, r->cur, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(r->finished, 1);
	g_string_free(out, TRUE);
	grig_destroy(r);
}

/*
 * An endpoint answers with events on a route that is no stream.  The entry
 * crashed, since it had no reader for them.  Once events were forwarded, a
 * pause does not cause a retry: the caller has the beginning already.
 */
static void
test_events_on_plain_route(void)
{
	struct grig *r = grig_create(2);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };

	grig_request(r, "/safe/x", 0);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	CU_ASSERT_PTR_NOT_NULL(r->cur->events);
	mh_gate_progress(r->g, r->cur);
	grig_advance(r, 3 * S);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_destroy(r);
}

/* Event ids on a route that is no stream say nothing about its numbering. */
static void
test_ids_on_plain_route(void)
{
	struct grig *r = grig_create(1);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };
	GString *out = g_string_new(NULL);

	grig_request(r, "/safe/x", 0);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_sse_feed(r->cur->events, "id: 1\n\n", 7, out);
	mh_gate_progress(r->g, r->cur);
	CU_ASSERT_EQUAL(mh_fleet_find(r->f, r->last)->ids, MH_IDS_UNKNOWN);
	g_string_free(out, TRUE);
	grig_destroy(r);
}

/* A stream that must not be retried breaks off visibly. */
static void
test_stream_breaks(void)
{
	struct grig *r = grig_create(4);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };

	grig_request(r, "/stream/x", 0);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_gate_progress(r->g, r->cur);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->broken, 1);
	grig_destroy(r);
}

/* Guards against counting runs that can't be forwarded as successes. */
static void
test_unusable_runs_count(void)
{
	struct mh_gresp events = {
		.status = 200, .genuine = true, .events = true
	};
	struct mh_gresp none = { .status = 200, .genuine = true };
	struct grig *r = grig_create(4);
	struct mh_node *first, *other;

	grig_request(r, "/resume/x", 0);
	first = mh_fleet_find(r->f, r->last);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &events), MH_FORWARD);
	CU_ASSERT(first->fail_share == 0);
	mh_gate_invalid_answer(r->g, r->cur, "test");
	CU_ASSERT(first->fail_share > 0);
	CU_ASSERT_EQUAL(r->aborts, 1);
	CU_ASSERT_EQUAL(r->sends, 2);
	other = mh_fleet_find(r->f, r->last);
	CU_ASSERT_PTR_NOT_EQUAL(other, first);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &none), MH_DROP);
	CU_ASSERT(other->fail_share > 0);
	CU_ASSERT_EQUAL(r->broken, 1);
	grig_destroy(r);
}

static int64_t
get_stale_us(void *arg)
{
	return *(int64_t *)arg;
}

/* Guards against 404 and 401 for what a newer configuration may contain. */
static void
test_unknown_while_stale(void)
{
	struct grig *r = grig_create(2);
	struct mh_gorg *o = g_new0(struct mh_gorg, 1);
	int64_t stale_us = 1;

	o->name = g_strdup("org");
	o->priority = -1;
	g_ptr_array_add(r->conf->orgs, o);
	g_hash_table_insert(r->conf->keys, g_strdup("key"), o);
	mh_gate_on_stale_conf(r->g, get_stale_us, &stale_us);
	grig_request(r, "/nowhere/x", 0);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT(r->retry_us > 0);
	grig_request(r, "/safe/x", 0);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	stale_us = 0;
	grig_request(r, "/nowhere/x", 0);
	CU_ASSERT_EQUAL(r->why, MH_NO_ROUTE);
	CU_ASSERT_EQUAL(r->sends, 0);
	grig_destroy(r);
}

/* Unknown route, bad key, no endpoint: refused before anything is sent. */
static void
test_arrival(void)
{
	struct grig *r = grig_create(2);
	struct mh_gorg *o = g_new0(struct mh_gorg, 1);

	grig_request(r, "/nowhere/x", 0);
	CU_ASSERT_EQUAL(r->why, MH_NO_ROUTE);
	o->name = g_strdup("org");
	o->priority = -1;
	g_ptr_array_add(r->conf->orgs, o);
	g_hash_table_insert(r->conf->keys, g_strdup("key"), o);
	grig_request(r, "/safe/x", 0);
	CU_ASSERT_EQUAL(r->why, MH_BAD_KEY);
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->refused, 2);
	grig_destroy(r);
	r = grig_create(0);
	grig_request(r, "/safe/x", 0);
	CU_ASSERT_EQUAL(r->why, MH_NO_ENDPOINT);
	CU_ASSERT(r->retry_us > 0);
	grig_destroy(r);
}

/* The caller disconnects: the call to the endpoint is aborted at once. */
static void
test_caller_leaves(void)
{
	struct grig *r = grig_create(1);
	struct mh_greq *q = grig_request(r, "/safe/x", 0);

	CU_ASSERT_EQUAL(mh_fleet_find(r->f, "n0")->inflight, 1);
	mh_gate_caller_left(r->g, q);
	grig_forget(r, q);
	CU_ASSERT_EQUAL(r->aborts, 1);
	CU_ASSERT_EQUAL(mh_fleet_find(r->f, "n0")->inflight, 0);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	grig_destroy(r);
}

/*
 * A stream was accepted six seconds after SIGTERM and cut when the grace period
 * ended.  Requests that arrive late in a drain are refused with "not run".
 */
static void
test_draining(void)
{
	struct grig *r = grig_create(2);

	mh_gate_drain(r->g, 7 * S);
	grig_request(r, "/stream/x", 0);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_advance(r, 3 * S);
	grig_request(r, "/stream/x", 0);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	grig_request(r, "/once/x", 800 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_advance(r, 3500 * MS);
	grig_request(r, "/once/x", 800 * MS);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	CU_ASSERT(r->retry_us > 0);
	grig_destroy(r);
}

/* A stream that the exit cuts is excused only if it came within 3 s. */
static void
test_draining_for_long(void)
{
	struct grig *r = grig_create(2);

	mh_gate_drain(r->g, 30 * S);
	grig_advance(r, 2700 * MS);
	grig_request(r, "/stream/x", 0);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_advance(r, 400 * MS);
	grig_request(r, "/stream/x", 0);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->why, MH_NOT_READY);
	grig_destroy(r);
}

/*
 * Callers vary their deadlines a little.  When every shorter deadline counted
 * as that of a returning caller, the latency objective seemed missed and the
 * work was scheduled after all other work.
 */
static void
test_returned(void)
{
	struct grig *r = grig_create(2);
	struct mh_greq *q;

	grig_request(r, "/once/x", 6 * S);
	q = grig_request(r, "/once/x", 5200 * MS);
	CU_ASSERT_FALSE(q->returned);
	CU_ASSERT_EQUAL(q->slo_by_us, q->arrived_us + S);
	q = grig_request(r, "/once/x", 3 * S);
	CU_ASSERT_TRUE(q->returned);
	CU_ASSERT(q->slo_by_us < q->arrived_us);
	grig_destroy(r);
}

static struct mh_greq *
request_with_stage(struct grig *r)
{
	struct mh_groute *t = mh_gconf_route_by_name(r->conf, "resume");

	t->n_stages = 1;
	t->stages[0].pool = g_strdup("work");
	return grig_request(r, "/resume/x", 0);
}

/* Stage work that can't be done in time is refused at once as not run. */
static void
test_job_refused(void)
{
	struct grig *r = grig_create(2);

	request_with_stage(r);
	CU_ASSERT_EQUAL(r->jobs, 1);
	CU_ASSERT_EQUAL(r->sends, 0);
	mh_gate_job_end(r->g, r->job, MH_JOB_REFUSED, 400 * MS);
	CU_ASSERT_EQUAL(r->why, MH_TOO_BUSY);
	CU_ASSERT(r->retry_us >= 400 * MS && r->retry_us <= 600 * MS);
	grig_destroy(r);
}

/*
 * The endpoint with a stage result crashed before the engine read it, and the
 * engine states that it did not run the request: the work is done once more.
 */
static void
test_inputs_lost_at_engine(void)
{
	struct grig *r = grig_create(4);
	struct mh_gresp a = {
		.status = 409, .not_run = true, .inputs_lost = true
	};

	request_with_stage(r);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_DROP);
	CU_ASSERT_EQUAL(r->jobs, 2);
	CU_ASSERT_EQUAL(r->dropped, 1);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(r->sends, 2);
	grig_destroy(r);
}

/*
 * Guards against retries without a budget: where the results of many requests
 * are lost at once, each engine's answer would send one more.
 */
static void
test_inputs_lost_over_budget(void)
{
	struct grig *r = grig_create(4);
	struct mh_gresp a = {
		.status = 409, .not_run = true, .inputs_lost = true
	};
	uint32_t n = 0;

	request_with_stage(r);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	CU_ASSERT_EQUAL(r->sends, 1);
	while (mh_budget_take(r->b, "pool"))
		n++;
	CU_ASSERT_EQUAL(n, 40);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_DROP);
	CU_ASSERT_EQUAL(r->jobs, 1);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_TOO_BUSY);
	grig_destroy(r);
}

/*
 * The first endpoint broke off and may have run the request; the second states
 * that the inputs are lost.  The coordinator has no time to recompute them. The
 * refusal must not say "not run".
 */
static void
test_job_refused_after_a_run(void)
{
	struct grig *r = grig_create(4);
	struct mh_gresp a = {
		.status = 409, .not_run = true, .inputs_lost = true
	};

	request_with_stage(r);
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_DROP);
	CU_ASSERT_EQUAL(r->jobs, 2);
	mh_gate_job_end(r->g, r->job, MH_JOB_REFUSED, 400 * MS);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(r->why, MH_RUN_FAILED);
	CU_ASSERT_EQUAL(r->retry_us, 0);
	grig_destroy(r);
}

/*
 * Stage work for a stream failover is bounded by the time since the last event,
 * not by the time that a caller waits for the first one.
 */
static void
test_inputs_for_failover(void)
{
	struct grig *r = grig_create(2);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };
	GString *out = g_string_new(NULL);

	request_with_stage(r);
	grig_finish_job(r);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_sse_feed(r->cur->events, "id: 1\ndata: x\n\n", 15, out);
	mh_gate_progress(r->g, r->cur);
	CU_ASSERT_EQUAL(r->dropped, 1);
	for (int i = 0; i < 3; i++) {
		grig_advance(r, 1500 * MS);
		mh_gate_progress(r->g, r->cur);
	}
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->sends, 1);
	CU_ASSERT_EQUAL(r->jobs, 2);
	CU_ASSERT(r->job->deadline_us > mh_now(r->k) + S);
	CU_ASSERT(r->job->slo_us >= mh_now(r->k));
	grig_finish_job(r);
	CU_ASSERT_EQUAL(r->sends, 2);
	CU_ASSERT_STRING_EQUAL(r->resume, "1");
	g_string_free(out, TRUE);
	grig_destroy(r);
}

/* Guards against stage work for a caller that has left a paused stream. */
static void
test_work_within_client_timeout(void)
{
	struct grig *r = grig_create(2);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };
	struct mh_greq *q;

	mh_gconf_route_by_name(r->conf, "resume")->timeout_us = 20 * S;
	q = request_with_stage(r);
	grig_finish_job(r);
	mh_gate_head(r->g, r->cur, &a);
	mh_gate_progress(r->g, r->cur);
	grig_advance(r, S);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT(r->job->deadline_us > mh_now(r->k) + S);
	/* At most four latency objectives or 2 s after the last event. */
	CU_ASSERT(r->job->deadline_us < q->arrived_us + 4 * S);
	grig_destroy(r);
}

/* Guards against a third run of a stream without its inputs. */
static void
test_inputs_for_each_run(void)
{
	struct grig *r = grig_create(4);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };

	mh_gconf_route_by_name(r->conf, "resume")->attempts = 3;
	request_with_stage(r);
	for (uint32_t run = 1; run <= 3; run++) {
		CU_ASSERT_EQUAL_FATAL(r->jobs, run);
		grig_finish_job(r);
		CU_ASSERT_EQUAL(r->sends, run);
		mh_gate_head(r->g, r->cur, &a);
		mh_gate_progress(r->g, r->cur);
		mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	}
	CU_ASSERT_EQUAL(r->jobs, 3);
	CU_ASSERT_EQUAL(r->broken, 1);
	grig_destroy(r);
}

/* The timer that frees the inputs of a run must not cancel the next job. */
static void
test_new_job_survives_timer(void)
{
	struct grig *r = grig_create(2);
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };
	GString *out = g_string_new(NULL);

	request_with_stage(r);
	grig_finish_job(r);
	CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, &a), MH_FORWARD);
	mh_sse_feed(r->cur->events, "id: 1\ndata: x\n\n", 15, out);
	mh_gate_progress(r->g, r->cur);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	CU_ASSERT_EQUAL(r->jobs, 2);
	grig_advance(r, 200 * MS);
	CU_ASSERT_EQUAL_FATAL(r->dropped, 1);
	grig_finish_job(r);
	CU_ASSERT_EQUAL(r->sends, 2);
	g_string_free(out, TRUE);
	grig_destroy(r);
}

/* A deadline that is too short is refused as such, not as draining. */
static void
test_too_little_time(void)
{
	struct grig *r = grig_create(2);

	grig_request(r, "/once/x", 10 * MS);
	CU_ASSERT_EQUAL(r->sends, 0);
	CU_ASSERT_EQUAL(r->why, MH_NOT_IN_TIME);
	grig_destroy(r);
}

/* What is heard of an engine with free slots that got inputs at 0 ms. */
static const struct {
	const char *name;
	uint32_t others_ms[3]; /* answers to another request; 0: no more */
	uint32_t head_ms; /* the head of its own answer; 0: none */
	uint32_t freed_ms; /* the inputs are freed then; 0: kept for 1 s */
} feeds[] = {
	{ "works", { 50, 100 }, 0, 80 },
	{ "begins to answer", { 0 }, 5, 80 },
	{ "begins to answer late", { 0 }, 500, 500 },
	{ "silent", { 0 }, 0, 0 },
	{ "silent at once", { 20 }, 0, 0 },
	{ "silent, and goes on", { 20, 800, 900 }, 0, 900 },
	{ "held bytes come", { 20, 800, 801 }, 0, 0 },
};

/* Guards against inputs freed before a silent engine has read them. */
static void
test_results_freed_early(void)
{
	struct mh_gresp a = { .status = 200, .genuine = true, .events = true };

	for (size_t i = 0; i < G_N_ELEMENTS(feeds); i++) {
		struct grig *r = grig_create(1);
		struct mh_try *other, *t;
		uint32_t freed_ms = 0, next = 0;

		grig_request(r, "/stream/x", 0);
		other = r->cur;
		CU_ASSERT_EQUAL(mh_gate_head(r->g, other, &a), MH_FORWARD);
		request_with_stage(r);
		mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
		t = r->cur;
		for (uint32_t ms = 1; ms <= 1000; ms++) {
			grig_advance(r, MS);
			if (next < 3 && ms == feeds[i].others_ms[next]) {
				mh_gate_progress(r->g, other);
				next++;
			}
			if (ms == feeds[i].head_ms)
				CU_ASSERT_EQUAL(
				    mh_gate_head(r->g, t, &a), MH_FORWARD);
			if (freed_ms == 0 && r->dropped > 0)
				freed_ms = ms;
		}
		if (freed_ms != feeds[i].freed_ms)
			fprintf(stderr, "row: %s (freed %u)\n", feeds[i].name,
			    freed_ms);
		CU_ASSERT_EQUAL(freed_ms, feeds[i].freed_ms);
		CU_ASSERT_EQUAL(r->dropped, freed_ms > 0);
		grig_destroy(r);
	}
}

/* placement */

/*
 * Two entries must send a shared prompt to the same engine without
 * communicating, or each entry would have another engine read it.
 */
static void
test_cached_endpoint_agreed(void)
{
	struct grig *a = grig_create(4), *b = grig_create(4);
	struct mh_place_request q = { .pool = "pool", .n_parts = 3 };
	uint32_t seen = 0;

	for (uint64_t part = 1; part <= 40; part++) {
		struct mh_node *n, *m;

		q.parts[0] = (struct mh_prompt_part) { 7, 2500 };
		q.parts[1] = (struct mh_prompt_part) { part * 977, 3800 };
		q.parts[2] = (struct mh_prompt_part) { part * 31, 2900 };
		n = mh_place_pick(a->p, &q);
		m = mh_place_pick(b->p, &q);
		CU_ASSERT_STRING_EQUAL(n->id, m->id);
		CU_ASSERT_TRUE(q.has_cached_prompt);
		seen |= 1U << (n->id[1] - '0');
	}
	CU_ASSERT_EQUAL(seen, 15);
	grig_destroy(a);
	grig_destroy(b);
}

/* A popular prompt goes elsewhere when its cached endpoint is full. */
static void
test_cached_endpoint_full(void)
{
	struct grig *r = grig_create(4);
	struct mh_place_request q = { .pool = "pool",
		.n_parts = 2,
		.parts = { { 5, 3000 }, { 6, 100 } } };
	struct mh_node *cached = mh_place_pick(r->p, &q);

	cached->inflight = cached->capacity;
	CU_ASSERT_PTR_NOT_EQUAL(mh_place_pick(r->p, &q), cached);
	CU_ASSERT_FALSE(q.has_cached_prompt);
	grig_destroy(r);
}

/*
 * An endpoint accepts a limited number of connections from all entries and
 * resets the rest, which loses a request that may run once.  Each entry keeps
 * to its share.
 */
static void
test_share_of_connections(void)
{
	struct grig *r = grig_create(2);
	struct mh_place_request q = { .pool = "pool", .inflight_max = 3 };

	for (int i = 0; i < 6; i++)
		mh_place_pick(r->p, &q)->inflight++;
	CU_ASSERT_EQUAL(mh_fleet_find(r->f, "n0")->inflight, 3);
	CU_ASSERT_EQUAL(mh_fleet_find(r->f, "n1")->inflight, 3);
	CU_ASSERT_PTR_NULL(mh_place_pick(r->p, &q));
	grig_destroy(r);
}

/*
 * When every endpoint of a pool fails, ejecting all of them would leave none to
 * send to: half of a pool always stays in use.
 */
static void
test_half_stays_in_use(void)
{
	struct grig *r = grig_create(4);
	uint32_t ejected = 0;

	for (int round = 0; round < 5; round++) {
		for (int i = 0; i < 4; i++) {
			char id[3] = { 'n', (char)('0' + i), 0 };

			mh_node_failed(r->f, mh_fleet_find(r->f, id), "test");
		}
	}
	for (int i = 0; i < 4; i++) {
		char id[3] = { 'n', (char)('0' + i), 0 };

		ejected += !mh_node_usable(r->f, mh_fleet_find(r->f, id));
	}
	CU_ASSERT_EQUAL(ejected, 2);
	grig_destroy(r);
}

/* A failing endpoint is ejected for a while, and for longer each time. */
static void
test_ejected_and_back(void)
{
	struct grig *r = grig_create(3);
	struct mh_node *n = mh_fleet_find(r->f, "n0");

	mh_node_failed(r->f, n, "test");
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	mh_node_failed(r->f, n, "test");
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	grig_advance(r, 800 * MS);
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	mh_node_failed(r->f, n, "test");
	grig_advance(r, 800 * MS);
	CU_ASSERT_FALSE(mh_node_usable(r->f, n));
	grig_advance(r, 1 * S);
	CU_ASSERT_TRUE(mh_node_usable(r->f, n));
	grig_destroy(r);
}

/* Retries: a share of recent requests and a slack divided among entries. */
static void
test_budget(void)
{
	struct grig *r = grig_create(1);
	uint32_t n = 0;

	mh_budget_entries(r->b, 4);
	while (mh_budget_take(r->b, "pool"))
		n++;
	CU_ASSERT_EQUAL(n, 10);
	for (int i = 0; i < 50; i++)
		mh_budget_request(r->b, "pool");
	while (mh_budget_take(r->b, "pool"))
		n++;
	CU_ASSERT_EQUAL(n, 20);
	grig_advance(r, 11 * S);
	CU_ASSERT_TRUE(mh_budget_take(r->b, "pool"));
	grig_destroy(r);
}

/*
 * A change of settings changes the length of the window.  Retries spent before
 * still count: else the endpoints get twice the retries that are allowed.
 */
static void
test_budget_shorter_window(void)
{
	struct grig *r = grig_create(1);
	struct mh_budget_args b = { 0.2, 50, 8 * S };
	uint32_t n = 0;

	grig_advance(r, 95 * S);
	while (mh_budget_take(r->b, "pool"))
		n++;
	CU_ASSERT_EQUAL(n, 40);
	mh_budget_set(r->b, &b);
	grig_advance(r, 10 * MS);
	while (mh_budget_take(r->b, "pool"))
		n++;
	CU_ASSERT_EQUAL(n, 40);
	grig_destroy(r);
}

/*
 * Guards against sending work to an endpoint that reports being slow, and
 * against relying on a report that has expired.
 */
static void
test_place_by_pace(void)
{
	struct grig *r = grig_create(2);
	struct mh_place_request q = { .pool = "pool" };
	struct mh_node *slow = mh_place_pick(r->p, &q), *fast;

	mh_node_set_pace(r->f, slow, 300);
	fast = mh_place_pick(r->p, &q);
	CU_ASSERT_PTR_NOT_EQUAL(fast, slow);
	CU_ASSERT(mh_node_pace(r->f, slow) == 3);
	CU_ASSERT(mh_node_pace(r->f, fast) == 1);
	/* The last report decays to the mean of the reports, then to 1. */
	mh_node_set_pace(r->f, slow, 100);
	CU_ASSERT_DOUBLE_EQUAL(mh_node_pace(r->f, slow), 1, 0.01);
	mh_kern_advance(r->k, mh_now(r->k) + 125 * MS, 0);
	CU_ASSERT_DOUBLE_EQUAL(mh_node_pace(r->f, slow), 1.8, 0.01);
	mh_kern_advance(r->k, mh_now(r->k) + 125 * MS, 0);
	CU_ASSERT_DOUBLE_EQUAL(mh_node_pace(r->f, slow), 2.6, 0.01);
	mh_kern_advance(r->k, mh_now(r->k) + 10 * S, 0);
	CU_ASSERT_DOUBLE_EQUAL(mh_node_pace(r->f, slow), 1, 0.01);
	grig_destroy(r);
}

/* Guards against serving by a configuration that was replaced long ago. */
static void
test_conf_overdue(void)
{
	static const struct {
		int64_t stale_us;
		const char *target;
		uint32_t sends;
		enum mh_gate_refusal why; /* when not sent */
	} t[] = {
		{ 0, "/safe/x", 1, 0 },
		{ 0, "/none/x", 0, MH_NO_ROUTE },
		{ 1, "/safe/x", 1, 0 },
		{ 1, "/none/x", 0, MH_NOT_READY },
		{ 2499 * MS, "/once/x", 1, 0 },
		{ 2500 * MS, "/once/x", 0, MH_NOT_READY },
		{ 9 * S, "/safe/x", 0, MH_NOT_READY },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct grig *r = grig_create(1);
		int64_t stale_us = t[i].stale_us;

		mh_gate_on_stale_conf(r->g, get_stale_us, &stale_us);
		mh_gate_max_stale_conf(r->g, 2500 * MS);
		grig_request(r, t[i].target, 0);
		CU_ASSERT_EQUAL(r->sends, t[i].sends);
		CU_ASSERT_EQUAL(r->refused, t[i].sends == 0);
		if (t[i].sends == 0)
			CU_ASSERT_EQUAL(r->why, t[i].why);
		grig_destroy(r);
	}
}

const struct test tests_gate[] = {
	{ "gate: a configuration that is overdue", test_conf_overdue },
	{ "gate: retries by kind and failure", test_retry_table },
	{ "gate: a silent endpoint", test_silent_endpoint },
	{ "gate: a silent endpoint, once", test_silent_endpoint_once },
	{ "gate: most callers at one entry", test_crowded_entry },
	{ "gate: a stream resumes", test_stream_resumes },
	{ "gate: a stream breaks", test_stream_breaks },
	{ "gate: unusable runs count", test_unusable_runs_count },
	{ "gate: events on a plain route", test_events_on_plain_route },
	{ "gate: event ids on a plain route", test_ids_on_plain_route },
	{ "gate: route, key, endpoint", test_arrival },
	{ "gate: placed by how long work takes", test_place_by_pace },
	{ "gate: unknown while the configuration is stale",
	    test_unknown_while_stale },
	{ "gate: the caller leaves", test_caller_leaves },
	{ "gate: draining", test_draining },
	{ "gate: a long drain", test_draining_for_long },
	{ "gate: a returning caller", test_returned },
	{ "gate: stage work refused", test_job_refused },
	{ "gate: inputs lost at the engine", test_inputs_lost_at_engine },
	{ "gate: inputs lost without a budget", test_inputs_lost_over_budget },
	{ "gate: inputs for a stream failover", test_inputs_for_failover },
	{ "gate: stage work within the client timeout",
	    test_work_within_client_timeout },
	{ "gate: inputs for each run", test_inputs_for_each_run },
	{ "gate: a new job survives the input timer",
	    test_new_job_survives_timer },
	{ "gate: stage work refused after a run",
	    test_job_refused_after_a_run },
	{ "gate: too little time", test_too_little_time },
	{ "gate: results freed early", test_results_freed_early },
	{ "place: entries agree on the cached endpoint",
	    test_cached_endpoint_agreed },
	{ "place: the cached endpoint is full", test_cached_endpoint_full },
	{ "place: its share of connections", test_share_of_connections },
	{ "fleet: half stays in use", test_half_stays_in_use },
	{ "fleet: ejected and back", test_ejected_and_back },
	{ "budget: ratio and shared slack", test_budget },
	{ "budget: a shorter window", test_budget_shorter_window },
	{ NULL, NULL },
};
