/**
 * DOC: Complete sessions in virtual time, compared with golden files: request,
 * rule, stages, answer and log.  MARLHOIST_GOLDEN=write rewrites the files;
 * review the difference before committing it.
 */

#include "golden.h"
#include "net.h"
#include "regress.h"

#include <stdlib.h>
#include <string.h>

static struct net *
session_net(void)
{
	struct net *n = net_create(7);

	net_apply(n, 1, net_doc);
	net_side(n, "enc1", "enc", "a", 4);
	net_side(n, "ret1", "ret", "a", 4);
	net_side(n, "rer1", "rer", "a", 4);
	net_side(n, "llm1", "llm", "a", 4);
	net_side(n, "book1", "book", "a", 4);
	return n;
}

static void
add_answer(GString *out, struct net *n, const char *what, uint64_t caller)
{
	struct net_response *a = net_response(n, caller);

	g_string_append_printf(out,
	    "%s: status=%u retry_after=%u parts=%u\n%s\n", what, a->status,
	    a->retry_after_s, a->parts, a->body->str);
}

static void
test_golden_plain(void)
{
	struct net *n = session_net();
	struct net_node *e = net_entry(n, "entry1", "a");
	GString *out = g_string_new(NULL);
	struct net_request_args plan = { .path = "/v1/pipelines/plan",
		.body = "{\"input\":\"a party\",\"max_tokens\":3}" };
	struct net_request_args confirm = { .path = "/v1/pipelines/confirm",
		.idempotency_key = "order-17",
		.body = "{\"body\":{\"order\":17}}" };
	struct net_request_args wrong = { .path = "/v1/pipelines/plan",
		.api_key = "stolen" };
	struct net_request_args refused = { .path = "/v1/pipelines/confirm",
		.class_name = "batch" };
	struct net_request_args lookup = { .method = "GET",
		.path = "/v1/outcomes/confirm/order-17" };
	uint64_t ids[6];

	net_run(n, 4 * MH_US_PER_S);
	n->log_on = true;
	ids[0] = net_request(e, &plan);
	net_run(n, MH_US_PER_S);
	ids[1] = net_request(e, &confirm);
	net_run(n, MH_US_PER_S);
	ids[2] = net_request(e, &confirm);
	ids[3] = net_request(e, &wrong);
	ids[4] = net_request(e, &refused);
	ids[5] = net_request(e, &lookup);
	net_run(n, MH_US_PER_S);
	add_answer(out, n, "plan", ids[0]);
	add_answer(out, n, "confirm", ids[1]);
	add_answer(out, n, "confirm again", ids[2]);
	add_answer(out, n, "wrong key", ids[3]);
	add_answer(out, n, "refused by rule", ids[4]);
	add_answer(out, n, "outcome", ids[5]);
	g_string_append_printf(out, "runs of order-17: %u\nlog:\n%s",
	    net_runs(n, "acme/order-17"), n->log->str);
	golden_compare("plain", out->str);
	g_string_free(out, TRUE);
	net_destroy(n);
}

static void
test_golden_stream(void)
{
	struct net *n = session_net();
	struct net_node *e = net_entry(n, "entry1", "a");
	GString *out = g_string_new(NULL);
	struct net_request_args plan = { .path = "/v1/pipelines/plan",
		.body = "{\"input\":\"a\",\"max_tokens\":3,\"stream\":true}" };
	uint64_t id;

	net_run(n, 4 * MH_US_PER_S);
	id = net_request(e, &plan);
	net_run(n, MH_US_PER_S);
	add_answer(out, n, "stream", id);
	golden_compare("stream", out->str);
	g_string_free(out, TRUE);
	net_destroy(n);
}

struct bad_request {
	const char *method;
	const char *path;
	const char *key;
	const char *idem_key;
	const char *body;
	uint32_t status;
	const char *title;
	const char *outcome;
};

static const struct bad_request bad_requests[] = {
	{ "POST", "/v1/pipelines/plan", "", NULL, NULL, 401, "no-right",
	    "not-run" },
	{ "POST", "/v1/pipelines/none", NULL, NULL, NULL, 404, "no-pipeline",
	    "not-run" },
	{ "GET", "/v1/pipelines/plan", NULL, NULL, NULL, 404, "no-path",
	    "not-run" },
	{ "POST", "/etc/passwd", NULL, NULL, NULL, 404, "no-path", "not-run" },
	{ "POST", "/v1/pipelines/plan", NULL, NULL, "{", 400, "bad-body",
	    "not-run" },
	{ "POST", "/v1/pipelines/plan", NULL, NULL, "[]", 400, "bad-body",
	    "not-run" },
	{ "POST", "/v1/pipelines/plan", NULL, NULL, "{\"max_tokens\":-1}", 400,
	    "bad-max-tokens", "not-run" },
	{ "POST", "/v1/pipelines/confirm", NULL, "a/b", NULL, 400, "bad-key",
	    "not-run" },
	{ "POST", "/v1/pipelines/confirm", NULL, "a b", NULL, 400, "bad-key",
	    "not-run" },
	{ "GET", "/v1/outcomes/plan/x", NULL, NULL, NULL, 404, "no-outcome",
	    "unknown" },
	{ "GET", "/v1/outcomes/confirm", NULL, NULL, NULL, 404, "no-outcome",
	    "unknown" },
	{ "POST", "/v1/pipelines/confirm", NULL, "k", "{", 400, "bad-body",
	    "unknown" },
	{ "POST", "/v1/pipelines/confirm", "", "k", NULL, 401, "no-right",
	    "unknown" },
	{ "POST", "/v1/pipelines/none", NULL, "k", NULL, 404, "no-pipeline",
	    "unknown" },
	{ "POST", "/v1/pipelines/plan", NULL, "k", "{", 400, "bad-body",
	    "not-run" },
};

static void
test_bad_requests(void)
{
	struct net *n = session_net();
	struct net_node *e = net_entry(n, "entry1", "a");

	net_run(n, 4 * MH_US_PER_S);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_requests); i++) {
		struct net_request_args a = { .method = bad_requests[i].method,
			.path = bad_requests[i].path,
			.api_key = bad_requests[i].key,
			.idempotency_key = bad_requests[i].idem_key,
			.body = bad_requests[i].body };
		uint64_t id = net_request(e, &a);

		net_run(n, 100 * MH_US_PER_MS);
		CU_ASSERT_EQUAL(
		    net_response(n, id)->status, bad_requests[i].status);
		CU_ASSERT_STRING_EQUAL(
		    net_response_text(n, id, "title"), bad_requests[i].title);
		CU_ASSERT_STRING_EQUAL(net_response_text(n, id, "outcome"),
		    bad_requests[i].outcome);
		CU_ASSERT(strlen(net_response_text(n, id, "remedy")) > 0);
	}
	net_destroy(n);
}

static void
test_no_configuration_yet(void)
{
	struct net *n = net_create(1);
	struct net_node *e = net_entry(n, "entry1", "a");
	struct net_request_args a = { .path = "/v1/pipelines/plan" };
	uint64_t id;

	net_run(n, 3 * MH_US_PER_S);
	id = net_request(e, &a);
	net_run(n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(n, id)->status, 503);
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(n, id, "title"), "no-configuration");
	net_destroy(n);
}

const struct test tests_session[] = {
	{ "golden_plain", test_golden_plain },
	{ "golden_stream", test_golden_stream },
	{ "bad_requests", test_bad_requests },
	{ "no_configuration_yet", test_no_configuration_yet },
	{ NULL, NULL },
};
