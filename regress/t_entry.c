/**
 * DOC: Each request gets its own complete answer in time: streams over faulty
 * links, retries, hedges, deadlines, drains, cancels and limits.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

#define GRACE_US (30 * MH_US_PER_S) /* the default */

struct entry_world {
	struct net *n;
	struct net_node *e;
	struct net_node *enc[3];
	struct net_node *llm[3];
};

static void
entry_world_create(struct entry_world *w, uint32_t seed, const char *doc)
{
	static const char *const domains[] = { "a", "b", "c" };
	char vm[24];

	w->n = net_create(seed);
	net_apply(w->n, 1, doc);
	for (int i = 0; i < 3; i++) {
		snprintf(vm, sizeof(vm), "enc%d", i);
		w->enc[i] = net_side(w->n, vm, "enc", domains[i], 4);
		snprintf(vm, sizeof(vm), "llm%d", i);
		w->llm[i] = net_side(w->n, vm, "llm", domains[i], 4);
		w->llm[i]->service_us = 400 * MH_US_PER_MS;
	}
	net_side(w->n, "ret0", "ret", "a", 4);
	net_side(w->n, "rer0", "rer", "a", 4);
	w->e = net_entry(w->n, "entry1", "a");
	net_run(w->n, 3 * MH_US_PER_S);
}

static uint64_t
send_plan(struct entry_world *w, bool stream)
{
	struct net_request_args a = { .path = "/v1/pipelines/plan",
		.body = stream
		    ? "{\"input\":\"x\",\"max_tokens\":8,\"stream\":true}"
		    : "{\"input\":\"x\",\"max_tokens\":8}" };

	return net_request(w->e, &a);
}

static uint64_t
send_embed(struct entry_world *w)
{
	struct net_request_args a = { .path = "/v1/pipelines/embed" };

	return net_request(w->e, &a);
}

static void
check_complete(struct entry_world *w, uint64_t id)
{
	CU_ASSERT_EQUAL(net_response(w->n, id)->status, 200);
	CU_ASSERT_STRING_EQUAL(net_response_text(w->n, id, "outcome"), "done");
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w->n, id, "answer"), " t t t t t t t t");
}

static struct net_node *
busy_llm(struct entry_world *w)
{
	for (int i = 0; i < 3; i++) {
		json_t *s = mh_side_state(w->llm[i]->k);
		json_int_t n =
		    json_integer_value(json_object_get(s, "running"));

		json_decref(s);
		if (n > 0)
			return w->llm[i];
	}
	return NULL;
}

struct direction {
	bool in;
	bool out;
};

/*
 * A middlebox between two VMs drops a connection's packets in the middle of a
 * stream, in one direction or both, without an error.  The stream must resume
 * over a second link from the first missing chunk.
 */
static void
test_stream_over_a_silent_link(void)
{
	static const struct direction drops[] = { { true, true },
		{ true, false }, { false, true } };

	for (size_t i = 0; i < G_N_ELEMENTS(drops); i++) {
		struct entry_world w;
		struct net_node *x;
		uint64_t id;

		entry_world_create(&w, 1, net_doc);
		id = send_plan(&w, false);
		net_run(w.n, 200 * MH_US_PER_MS);
		x = busy_llm(&w);
		CU_ASSERT_PTR_NOT_NULL_FATAL(x);
		net_drop_frames(x, drops[i].in, drops[i].out);
		net_run(w.n, 3 * MH_US_PER_S);
		check_complete(&w, id);
		CU_ASSERT(mh_counter(w.e->k, "member_silent_links") > 0);
		CU_ASSERT_EQUAL(
		    w.llm[0]->runs + w.llm[1]->runs + w.llm[2]->runs, 1);
		net_destroy(w.n);
	}
}

/*
 * A link to a side process opens each time, then carries nothing.  It must not
 * get calls for as long as handshakes succeed, and must get them once it
 * answers again.
 */
static void
test_only_dials_are_answered(void)
{
	struct entry_world w;
	uint64_t ids[60];
	int64_t latest_us = 0;
	uint32_t late = 0;

	entry_world_create(&w, 18, net_doc);
	w.enc[1]->dials_only = true;
	net_run(w.n, 2 * MH_US_PER_S);
	for (int i = 0; i < 60; i++) {
		int64_t sent_us = net_now(w.n);
		int64_t us;

		ids[i] = send_embed(&w);
		net_run(w.n, 100 * MH_US_PER_MS);
		us = net_response(w.n, ids[i])->ended
		    ? net_response(w.n, ids[i])->at_us - sent_us
		    : G_MAXINT64;
		late += us > 60 * MH_US_PER_MS;
		latest_us = MAX(latest_us, us);
	}
	CU_ASSERT_EQUAL(late, 0);
	CU_ASSERT(latest_us <= 60 * MH_US_PER_MS);
	CU_ASSERT_EQUAL(w.enc[1]->runs, 0);
	w.enc[1]->dials_only = false;
	net_run(w.n, 3 * MH_US_PER_S);
	for (int i = 0; i < 60; i++) {
		CU_ASSERT_EQUAL(net_response(w.n, ids[i])->status, 200);
		ids[i] = send_embed(&w);
		net_run(w.n, 20 * MH_US_PER_MS);
	}
	CU_ASSERT(w.enc[1]->runs > 0);
	net_destroy(w.n);
}

/*
 * Guards against a side process that runs out of sockets: an entry leaves one
 * link after the other to it, and none of their ends arrives.
 */
static void
test_links_whose_end_is_lost(void)
{
	struct entry_world w;
	uint32_t before;

	entry_world_create(&w, 19, net_doc);
	before = mh_member_link_count(w.enc[1]->k);
	w.enc[1]->dials_only = true;
	net_run(w.n, 120 * MH_US_PER_S);
	CU_ASSERT(mh_counter(w.e->k, "member_unproven_links") > 20);
	CU_ASSERT(mh_member_link_count(w.enc[1]->k) <= before + 1);
	w.enc[1]->dials_only = false;
	net_run(w.n, 5 * MH_US_PER_S);
	CU_ASSERT_TRUE(
	    mh_member_usable(w.e->k, mh_member_find(w.e->k, w.enc[1]->vm)));
	net_destroy(w.n);
}

/* The side process is killed in mid-stream: the stream fails over. */
static void
test_stream_failover(void)
{
	struct entry_world w;
	struct net_node *x;
	uint64_t id;

	entry_world_create(&w, 2, net_doc);
	id = send_plan(&w, false);
	net_run(w.n, 250 * MH_US_PER_MS);
	x = busy_llm(&w);
	CU_ASSERT_PTR_NOT_NULL_FATAL(x);
	net_kill(x);
	net_run(w.n, 3 * MH_US_PER_S);
	check_complete(&w, id);
	CU_ASSERT_EQUAL(mh_counter(w.e->k, "pipe_retries"), 1);
	net_destroy(w.n);
}

/* Number of tokens in @text; 0 if a run's tokens are not in order from 1. */
static uint32_t
tokens_in_order(const char *text)
{
	char **t = g_strsplit(text, " ", -1);
	uint32_t n = 0, run, last_run = 0, i, last = 0;

	for (char **p = t + 1; *t != NULL && *p != NULL; p++, n++) {
		if (sscanf(*p, "%u.%u", &run, &i) != 2 ||
		    i != (run == last_run ? last + 1 : 1)) {
			printf("\n  got \"%s\"\n", text);
			n = 0;
			break;
		}
		last_run = run;
		last = i;
	}
	g_strfreev(t);
	return n;
}

/* The text of a caller's stream; @end: its last event. */
static char *
streamed_text(const char *body, const char **end)
{
	static const char mark[] = "event: token\ndata: ";
	GString *text = g_string_new(NULL);
	const char *p;

	for (p = body; g_str_has_prefix(p, mark);) {
		json_t *j =
		    json_loads(p + strlen(mark), JSON_DISABLE_EOF_CHECK, NULL);

		g_string_append(
		    text, json_string_value(json_object_get(j, "text")));
		json_decref(j);
		p = strstr(p, "\n\n") + 2;
	}
	*end = p;
	return g_string_free(text, FALSE);
}

/*
 * The side process has ended a call of which chunks have arrived.  Guards
 * against joining the chunks of a second run to them by sequence number.
 */
static void
test_stream_of_an_ended_call(void)
{
	struct net_request_args slow = { .path = "/v1/pipelines/plan",
		.class_name = "batch",
		.body = "{\"input\":\"x\",\"max_tokens\":8}" };
	struct entry_world w;
	struct net_node *x;
	uint64_t id;

	entry_world_create(&w, 18, net_doc);
	for (int i = 0; i < 3; i++) {
		w.llm[i]->numbers_tokens = true;
		w.llm[i]->service_us = 2 * MH_US_PER_S;
	}
	/* Train the predictor, so that the slow stream isn't failed over. */
	for (int i = 0; i < 10; i++) {
		(void)net_request(w.e, &slow);
		net_run(w.n, 3 * MH_US_PER_S);
	}
	id = net_request(w.e, &slow);
	net_run(w.n, 800 * MH_US_PER_MS);
	x = busy_llm(&w);
	CU_ASSERT_PTR_NOT_NULL_FATAL(x);
	/* The side process ends a call after a second without its entry. */
	w.e->paused = true;
	net_break_links(x);
	net_run(w.n, 1500 * MH_US_PER_MS);
	w.e->paused = false;
	net_run(w.n, 4 * MH_US_PER_S);
	CU_ASSERT(mh_counter(w.e->k, "relay_resumes") > 0);
	CU_ASSERT_EQUAL(
	    tokens_in_order(net_response_text(w.n, id, "answer")), 8);
	net_destroy(w.n);
}

/* An engine that sends more tokens than requested is cut off. */
static void
test_stream_of_surplus_tokens(void)
{
	for (int stream = 0; stream < 2; stream++) {
		struct entry_world w;
		struct net_response *a;
		uint64_t id;

		entry_world_create(&w, 19, net_doc);
		for (int i = 0; i < 3; i++) {
			w.llm[i]->numbers_tokens = true;
			w.llm[i]->surplus_tokens = 1000;
			w.llm[i]->service_us = 3 * MH_US_PER_S;
		}
		id = send_plan(&w, stream == 1);
		net_run(w.n, 500 * MH_US_PER_MS);
		a = net_response(w.n, id);
		CU_ASSERT_TRUE(a->ended);
		CU_ASSERT_PTR_NULL(busy_llm(&w));
		CU_ASSERT_EQUAL(stream == 1
			? a->parts - 1
			: tokens_in_order(net_response_text(w.n, id, "answer")),
		    8);
		net_destroy(w.n);
	}
}

/*
 * Every token has arrived, then the engine's connection breaks before the end
 * mark.  A retry for zero tokens at another engine would fail the request.
 */
static void
test_lost_end_mark_of_a_complete_text(void)
{
	struct entry_world w;
	uint64_t id;

	entry_world_create(&w, 17, net_doc);
	for (int i = 0; i < 3; i++)
		w.llm[i]->truncates = true;
	id = send_plan(&w, false);
	net_run(w.n, 3 * MH_US_PER_S);
	check_complete(&w, id);
	CU_ASSERT_EQUAL(w.llm[0]->runs + w.llm[1]->runs + w.llm[2]->runs, 1);
	net_destroy(w.n);
}

/* With duplicate and delayed frames each answer is complete and its own. */
static void
test_duplicate_and_delayed_frames(void)
{
	struct entry_world w;
	uint64_t ids[60];

	entry_world_create(&w, 3, net_doc);
	w.n->duplicate_share = 0.3;
	w.n->delay_share = 0.2;
	for (int i = 0; i < 60; i++) {
		ids[i] = send_plan(&w, false);
		net_run(w.n, 100 * MH_US_PER_MS);
	}
	net_run(w.n, 6 * MH_US_PER_S);
	for (int i = 0; i < 60; i++)
		check_complete(&w, ids[i]);
	CU_ASSERT(mh_counter(w.e->k, "relay_unmatched") > 0);
	net_destroy(w.n);
}

static void
inject_fault(struct entry_world *w)
{
	struct net_node *x = w->llm[mh_random(w->n->k) % 3];

	switch (mh_random(w->n->k) % 6) {
	case 0:
		net_break_links(x);
		break;
	case 1:
		net_drop_frames(x, true, mh_random(w->n->k) % 2 == 0);
		break;
	case 2:
		net_kill(x);
		net_start(x);
		break;
	case 3:
		w->e->paused = true;
		net_break_links(w->e);
		net_run(w->n, (int64_t)(mh_random(w->n->k) % 1500) * 1000);
		w->e->paused = false;
		break;
	case 4:
		x->truncates = !x->truncates;
		break;
	default:
		x->surplus_tokens = x->surplus_tokens == 0 ? 3 : 0;
		break;
	}
}

/* The streamed text and the final event are complete and in order. */
static bool
check_stream(struct entry_world *w, uint64_t id)
{
	const char *end;
	char *text = streamed_text(net_response(w->n, id)->body->str, &end);
	bool done = g_str_has_prefix(end, "event: done\ndata: ");
	json_t *j;

	CU_ASSERT_TRUE(net_response(w->n, id)->ended);
	if (done) {
		j = json_loads(strchr(end, '{'), JSON_DISABLE_EOF_CHECK, NULL);
		CU_ASSERT_STRING_EQUAL(
		    json_string_value(json_object_get(j, "answer")), text);
		CU_ASSERT_EQUAL(tokens_in_order(text), 8);
		json_decref(j);
	} else {
		CU_ASSERT(*text == '\0' || tokens_in_order(text) > 0);
		/* The failure is reported, as an event or a status. */
		CU_ASSERT(g_str_has_prefix(end, "event: problem\ndata: ") ||
		    net_response(w->n, id)->status >= 400);
	}
	g_free(text);
	return done;
}

/* Guards against lost, duplicate or joined chunks under random faults. */
static void
test_streams_under_faults(void)
{
	struct net_request_args a = { .path = "/v1/pipelines/plan",
		.class_name = "batch",
		.body = "{\"input\":\"x\",\"max_tokens\":8,"
			"\"stream\":true}" };

	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(6); seed++) {
		struct entry_world w;
		uint64_t ids[80];
		uint32_t done = 0;

		entry_world_create(&w, seed, net_doc);
		w.n->duplicate_share = 0.1;
		w.n->delay_share = 0.05;
		for (int i = 0; i < 3; i++) {
			w.llm[i]->numbers_tokens = true;
			w.llm[i]->service_us = 1500 * MH_US_PER_MS;
		}
		for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
			ids[i] = net_request(w.e, &a);
			net_run(w.n, 200 * MH_US_PER_MS);
			if (i % 4 == 3)
				inject_fault(&w);
		}
		net_run(w.n, 11 * MH_US_PER_S);
		for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
			done += check_stream(&w, ids[i]);
		CU_ASSERT(done > 0);
		net_destroy(w.n);
	}
}

/*
 * One encoder is fifty times slower.  Without hedging one request in three
 * waits for it; with hedging another encoder answers.
 */
static void
test_hedge_around_a_straggler(void)
{
	struct entry_world w;
	uint64_t id;
	int slow = 0;

	entry_world_create(&w, 4, net_doc);
	for (int i = 0; i < 30; i++) {
		send_embed(&w);
		net_run(w.n, 30 * MH_US_PER_MS);
	}
	w.enc[1]->service_us = 500 * MH_US_PER_MS;
	for (int i = 0; i < 30; i++) {
		int64_t at = net_now(w.n);

		id = send_embed(&w);
		net_run(w.n, 700 * MH_US_PER_MS);
		slow += net_response(w.n, id)->at_us - at > 100 * MH_US_PER_MS;
		CU_ASSERT_EQUAL(net_response(w.n, id)->status, 200);
	}
	CU_ASSERT(slow <= 1);
	CU_ASSERT(mh_counter(w.e->k, "pipe_hedges_won") > 0);
	net_destroy(w.n);
}

static uint32_t
encoder_runs(const struct entry_world *w)
{
	uint32_t n = 0;

	for (int i = 0; i < 3; i++)
		n += w->enc[i]->runs;
	return n;
}

static void
set_encoders(struct entry_world *w, int64_t service_us, uint32_t status)
{
	for (int i = 0; i < 3; i++) {
		w->enc[i]->service_us = service_us;
		w->enc[i]->status = status;
	}
}

/* With the first call failed, the timeout must end the hedge and retry. */
static void
test_hedge_after_failed_first_call(void)
{
	struct entry_world w;
	uint64_t id;
	uint32_t runs_before;

	entry_world_create(&w, 4, net_doc);
	for (int i = 0; i < 30; i++) {
		send_embed(&w);
		net_run(w.n, 30 * MH_US_PER_MS);
	}
	runs_before = encoder_runs(&w);
	set_encoders(&w, 60 * MH_US_PER_MS, 500);
	id = send_embed(&w);
	while (encoder_runs(&w) == runs_before)
		net_run(w.n, MH_US_PER_MS);
	set_encoders(&w, 60 * MH_US_PER_S, 0);
	while (encoder_runs(&w) == runs_before + 1)
		net_run(w.n, MH_US_PER_MS);
	CU_ASSERT_EQUAL(mh_counter(w.e->k, "pipe_hedges"), 1);
	set_encoders(&w, 5 * MH_US_PER_MS, 0);
	net_run(w.n, 2500 * MH_US_PER_MS);
	CU_ASSERT_EQUAL(mh_counter(w.e->k, "pipe_timeouts"), 1);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 200);
	net_destroy(w.n);
}

/*
 * A whole pool fails.  Unlimited retries would multiply the load on it; the
 * budget limits the extra calls to a share of the traffic.
 */
static void
test_retries_within_budget(void)
{
	struct entry_world w;
	uint64_t calls, extra;

	entry_world_create(&w, 5, net_doc);
	for (int i = 0; i < 3; i++)
		w.enc[i]->status = 500;
	for (int i = 0; i < 200; i++) {
		send_embed(&w);
		net_run(w.n, 20 * MH_US_PER_MS);
	}
	calls = mh_counter(w.e->k, "relay_calls");
	extra = mh_counter(w.e->k, "pipe_retries") +
	    mh_counter(w.e->k, "pipe_hedges");
	CU_ASSERT(extra <= 200 / 10 + 20);
	CU_ASSERT_EQUAL(calls, 200 + extra);
	net_destroy(w.n);
}

/* Guards against calls to an endpoint that has asked for rest. */
static void
test_endpoint_at_rest(void)
{
	struct entry_world w;
	uint64_t before, ids[20];
	uint32_t done = 0;

	entry_world_create(&w, 19, net_doc);
	w.enc[0]->status = 503;
	w.enc[0]->rest_us = 4 * MH_US_PER_S;
	for (int i = 0; i < 20 && w.enc[0]->runs == 0; i++) {
		send_embed(&w);
		net_run(w.n, 20 * MH_US_PER_MS);
	}
	CU_ASSERT_EQUAL(w.enc[0]->runs, 1);
	w.enc[0]->status = 0;
	w.enc[0]->rest_us = 0;
	before = w.enc[1]->runs + w.enc[2]->runs;
	for (int i = 0; i < 20; i++) {
		ids[i] = send_embed(&w);
		net_run(w.n, 150 * MH_US_PER_MS);
	}
	for (int i = 0; i < 20; i++)
		done += net_response(w.n, ids[i])->status == 200;
	CU_ASSERT_EQUAL(w.enc[0]->runs, 1);
	CU_ASSERT_EQUAL(done, 20);
	CU_ASSERT_EQUAL(w.enc[1]->runs + w.enc[2]->runs, before + 20);
	net_run(w.n, 2 * MH_US_PER_S);
	for (int i = 0; i < 100; i++) {
		send_embed(&w);
		net_run(w.n, 20 * MH_US_PER_MS);
	}
	CU_ASSERT(w.enc[0]->runs > 1);
	net_destroy(w.n);
}

/* Guards against callers that return before the end of a rest. */
static void
test_pool_at_rest(void)
{
	struct entry_world w;
	uint64_t id, before = 0;
	int64_t at;

	entry_world_create(&w, 20, net_doc);
	for (int i = 0; i < 3; i++) {
		w.enc[i]->status = 503;
		w.enc[i]->rest_us = 5 * MH_US_PER_S;
	}
	for (int i = 0; i < 40; i++) {
		send_embed(&w);
		net_run(w.n, 20 * MH_US_PER_MS);
		if (i == 10) /* by now each has answered */
			before = encoder_runs(&w);
	}
	CU_ASSERT(before >= 3);
	CU_ASSERT_EQUAL(encoder_runs(&w), before);
	at = net_now(w.n);
	id = send_embed(&w);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 503);
	CU_ASSERT(net_response(w.n, id)->at_us - at < 200 * MH_US_PER_MS);
	CU_ASSERT(net_response(w.n, id)->retry_after_s >= 4);
	net_destroy(w.n);
}

/*
 * A pipeline that ends in an encode stage has no generated text.  Building the
 * answer from that text would crash the daemon with all its requests.
 */
static void
test_any_stage_may_be_the_last(void)
{
	struct entry_world w;
	uint64_t id;

	entry_world_create(&w, 14, net_doc);
	id = send_embed(&w);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 200);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(net_response(w.n, id)->body->str, "\"embedding\":[1,2]"));
	net_destroy(w.n);
}

/* A request that is given up is answered at once, with Retry-After. */
static void
test_give_up_answers_at_once(void)
{
	struct entry_world w;
	int64_t at;
	uint64_t id;

	entry_world_create(&w, 6, net_doc);
	for (int i = 0; i < 3; i++)
		w.enc[i]->status = 500;
	at = net_now(w.n);
	id = send_embed(&w);
	net_run(w.n, 4 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 503);
	CU_ASSERT(net_response(w.n, id)->at_us - at < 200 * MH_US_PER_MS);
	CU_ASSERT(net_response(w.n, id)->retry_after_s >= 1);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, id, "outcome"), "failed");
	net_destroy(w.n);
}

/* A request that cannot end in time is refused at once, with Retry-After. */
static void
test_infeasible_is_refused_early(void)
{
	struct entry_world w;
	struct net_request_args a = { .path = "/v1/pipelines/plan",
		.body = "{\"input\":\"x\",\"max_tokens\":100}",
		.deadline_us = 100 * MH_US_PER_MS };
	uint64_t id;

	entry_world_create(&w, 7, net_doc);
	id = net_request(w.e, &a);
	net_run(w.n, 5 * MH_US_PER_MS);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 503);
	CU_ASSERT(net_response(w.n, id)->retry_after_s >= 1);
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, id, "outcome"), "not-run");
	CU_ASSERT_EQUAL(mh_counter(w.e->k, "relay_calls"), 0);
	net_destroy(w.n);
}

/* When the caller disconnects, the engine must stop its work. */
static void
test_disconnect_cancels_at_the_engine(void)
{
	struct entry_world w;
	uint64_t id;

	entry_world_create(&w, 8, net_doc);
	id = send_plan(&w, true);
	net_run(w.n, 200 * MH_US_PER_MS);
	CU_ASSERT_PTR_NOT_NULL(busy_llm(&w));
	net_disconnect_caller(w.e, id);
	net_run(w.n, 10 * MH_US_PER_MS);
	CU_ASSERT_PTR_NULL(busy_llm(&w));
	CU_ASSERT_EQUAL(
	    w.llm[0]->aborts + w.llm[1]->aborts + w.llm[2]->aborts, 1);
	CU_ASSERT_EQUAL(mh_entry_active_count(w.e->k), 0);
	net_destroy(w.n);
}

/*
 * A VM drains, as announced by itself or marked in the VM list alone.  Within
 * 3 s it gets no new work, and its calls in flight are not cut.
 */
static void
test_draining_endpoint_gets_no_work(void)
{
	for (int by_list = 0; by_list < 2; by_list++) {
		struct entry_world w;
		uint64_t runs, ids[10];

		entry_world_create(&w, 9, net_doc);
		for (int i = 0; i < 10; i++)
			ids[i] = send_plan(&w, false);
		net_run(w.n, 100 * MH_US_PER_MS);
		if (by_list)
			w.llm[0]->draining = true;
		else
			mh_side_drain(w.llm[0]->k, GRACE_US);
		net_run(w.n, 3 * MH_US_PER_S);
		runs = w.llm[0]->runs;
		for (int i = 0; i < 10; i++)
			check_complete(&w, ids[i]);
		for (int i = 0; i < 30; i++) {
			send_plan(&w, false);
			net_run(w.n, 50 * MH_US_PER_MS);
		}
		net_run(w.n, 3 * MH_US_PER_S);
		CU_ASSERT_EQUAL(w.llm[0]->runs, runs);
		net_destroy(w.n);
	}
}

/* A draining entry completes its requests and serves open connections. */
static void
test_draining_entry_cuts_nothing(void)
{
	struct entry_world w;
	uint64_t before, after;

	entry_world_create(&w, 10, net_doc);
	before = send_plan(&w, false);
	net_run(w.n, 50 * MH_US_PER_MS);
	mh_entry_drain(w.e->k, GRACE_US);
	after = send_plan(&w, false);
	net_run(w.n, 3 * MH_US_PER_S);
	check_complete(&w, before);
	check_complete(&w, after);
	CU_ASSERT_EQUAL(mh_entry_active_count(w.e->k), 0);
	net_destroy(w.n);
}

/*
 * An entry restarts.  Its port accepts connections before it has its
 * configuration and links, and the load balancer sends requests.  They must
 * wait for the startup instead of failing with 503.
 */
static void
test_requests_during_startup(void)
{
	struct entry_world w;
	struct net_request_args a = { .path = "/v1/pipelines/embed" };
	uint64_t ids[5];

	entry_world_create(&w, 16, net_doc);
	net_kill(w.e);
	net_start(w.e);
	for (int i = 0; i < 5; i++) {
		ids[i] = net_request(w.e, &a);
		net_run(w.n, MH_US_PER_MS);
	}
	net_run(w.n, MH_US_PER_S);
	for (int i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(net_response(w.n, ids[i])->status, 200);
	net_destroy(w.n);
}

/* A request keeps the configuration under which it was admitted. */
static void
test_request_keeps_its_generation(void)
{
	struct entry_world w;
	char **p = g_strsplit(net_doc, "{class: interactive}", 2);
	char *doc = g_strconcat(p[0], "{class: batch}", p[1], NULL);
	uint64_t old, new;

	entry_world_create(&w, 11, net_doc);
	old = send_plan(&w, false);
	net_run(w.n, 50 * MH_US_PER_MS);
	net_apply(w.n, 2, doc);
	net_run(w.n, 2 * MH_US_PER_S);
	new = send_plan(&w, false);
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, old, "class"), "interactive");
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, new, "class"), "batch");
	g_strfreev(p);
	g_free(doc);
	net_destroy(w.n);
}

/*
 * Limits: 429 with Retry-After above the organisation's rate, 400 above its
 * burst, and no effect on another organisation.
 */
static void
test_limits(void)
{
	struct entry_world w;
	char *doc = g_strdup(net_doc), **p;
	struct net_request_args other = { .path = "/v1/pipelines/embed",
		.api_key = "volt-key" };
	struct net_request_args large = { .path = "/v1/pipelines/plan",
		.body = "{\"input\":\"x\",\"max_tokens\":120}" };
	uint64_t id = 0;
	int limited = 0;

	p = g_strsplit(doc, "{name: acme,", 2);
	g_free(doc);
	doc = g_strconcat(
	    p[0], "{name: acme, units_per_s: 10, burst_units: 30,", p[1], NULL);
	g_strfreev(p);
	entry_world_create(&w, 12, doc);
	for (int i = 0; i < 3; i++)
		w.enc[i]->service_us = 3 * MH_US_PER_S;
	for (int i = 0; i < 100; i++) {
		id = send_embed(&w);
		net_run(w.n, MH_US_PER_MS);
		if (net_response(w.n, id)->status == 429) {
			limited++;
			CU_ASSERT(net_response(w.n, id)->retry_after_s >= 1);
		}
	}
	CU_ASSERT(limited > 20 && limited < 90);
	id = net_request(w.e, &large);
	net_run(w.n, 10 * MH_US_PER_MS);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 400);
	net_run(w.n, 5 * MH_US_PER_S);
	for (int i = 0; i < 3; i++)
		w.enc[i]->service_us = 10 * MH_US_PER_MS;
	id = net_request(w.e, &other);
	net_run(w.n, 4 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 200);
	g_free(doc);
	net_destroy(w.n);
}

/*
 * An urgent request that arrives last is answered before the queued batch
 * requests, also if they came through another entry.
 */
static void
test_urgent_passes_waiting_work(void)
{
	struct net *n = net_create(13);
	struct net_node *e1, *e2, *x;
	struct net_request_args draft = { .path = "/v1/pipelines/embed",
		.class_name = "batch" };
	struct net_request_args urgent = { .path = "/v1/pipelines/embed" };
	uint64_t drafts[20], id;
	int before = 0;

	net_apply(n, 1, net_doc);
	x = net_side(n, "enc0", "enc", "a", 1);
	x->service_us = 50 * MH_US_PER_MS;
	e1 = net_entry(n, "entry1", "a");
	e2 = net_entry(n, "entry2", "b");
	net_run(n, 3 * MH_US_PER_S);
	for (int i = 0; i < 20; i++)
		drafts[i] = net_request(e1, &draft);
	net_run(n, 10 * MH_US_PER_MS);
	id = net_request(e2, &urgent);
	net_run(n, 3 * MH_US_PER_S);
	for (int i = 0; i < 20; i++)
		before += net_response(n, drafts[i])->at_us <
		    net_response(n, id)->at_us;
	CU_ASSERT(before <= 2);
	net_destroy(n);
}

static void
send_order(struct net_node *x, uint64_t fence)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_FRAME);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Order o = MH__ORDER__INIT;

	o.fence = fence;
	o.verb = (char *)"load-model";
	o.subject = (char *)"party-8b";
	f.body_case = MH__FRAME__BODY_ORDER;
	f.order = &o;
	m->u.link.conn = 1;
	m->u.link.frame = mh_frame_pack(&f);
	mh_post(x->k, "hub", m);
	net_run(x->net, 100 * MH_US_PER_MS);
}

/*
 * An operator's tool is paused after it took a fence number; another takes a
 * higher one and gives its order.  When the first resumes, its order must be
 * refused by the side process, since this engine does not check the numbers.
 */
static void
test_old_orders_are_fenced(void)
{
	struct entry_world w;

	entry_world_create(&w, 15, net_doc);
	send_order(w.llm[0], 7);
	send_order(w.llm[0], 6);
	CU_ASSERT_EQUAL(w.llm[0]->runs, 1);
	CU_ASSERT_EQUAL(mh_counter(w.llm[0]->k, "side_orders_fenced"), 1);
	send_order(w.llm[0], 8);
	CU_ASSERT_EQUAL(w.llm[0]->runs, 2);
	net_destroy(w.n);
}

const struct test tests_entry[] = {
	{ "stream_over_a_silent_link", test_stream_over_a_silent_link },
	{ "only_dials_are_answered", test_only_dials_are_answered },
	{ "links_whose_end_is_lost", test_links_whose_end_is_lost },
	{ "stream_failover", test_stream_failover },
	{ "stream_of_an_ended_call", test_stream_of_an_ended_call },
	{ "stream_of_surplus_tokens", test_stream_of_surplus_tokens },
	{ "lost_end_mark_of_a_complete_text",
	    test_lost_end_mark_of_a_complete_text },
	{ "duplicate_and_delayed_frames", test_duplicate_and_delayed_frames },
	{ "streams_under_faults", test_streams_under_faults },
	{ "hedge_around_a_straggler", test_hedge_around_a_straggler },
	{ "hedge_after_failed_first_call", test_hedge_after_failed_first_call },
	{ "retries_within_budget", test_retries_within_budget },
	{ "endpoint_at_rest", test_endpoint_at_rest },
	{ "pool_at_rest", test_pool_at_rest },
	{ "any_stage_may_be_the_last", test_any_stage_may_be_the_last },
	{ "give_up_answers_at_once", test_give_up_answers_at_once },
	{ "infeasible_is_refused_early", test_infeasible_is_refused_early },
	{ "disconnect_cancels_at_the_engine",
	    test_disconnect_cancels_at_the_engine },
	{ "draining_endpoint_gets_no_work",
	    test_draining_endpoint_gets_no_work },
	{ "draining_entry_cuts_nothing", test_draining_entry_cuts_nothing },
	{ "requests_during_startup", test_requests_during_startup },
	{ "request_keeps_its_generation", test_request_keeps_its_generation },
	{ "limits", test_limits },
	{ "old_orders_are_fenced", test_old_orders_are_fenced },
	{ "urgent_passes_waiting_work", test_urgent_passes_waiting_work },
	{ NULL, NULL },
};
