/**
 * DOC: At-most-once execution during crashes, restarts, handovers, outages of
 * the KV service, pauses, silent links, and duplicate or delayed frames.
 */

#include "net.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define GRACE_US (30 * MH_US_PER_S) /* the default, MH_GRACE_S */

#define MAX_REQUESTS 400

struct once_world {
	struct net *n;
	struct net_node *e[2];
	struct net_node *s[3];
};

static void
make(struct once_world *w, uint32_t seed)
{
	w->n = net_create(seed);
	net_apply(w->n, 1, net_doc);
	w->s[0] = net_side(w->n, "book1", "book", "a", 4);
	w->s[1] = net_side(w->n, "book2", "book", "b", 4);
	w->s[2] = net_side(w->n, "book3", "book", "c", 4);
	w->e[0] = net_entry(w->n, "entry1", "a");
	w->e[1] = net_entry(w->n, "entry2", "b");
	net_run(w->n, 4 * MH_US_PER_S);
}

static uint64_t
confirm(struct net_node *e, const char *key)
{
	struct net_request_args a = { .path = "/v1/pipelines/confirm",
		.idempotency_key = key };

	return net_request(e, &a);
}

static struct net_node *
owner_of(struct once_world *w, const char *key)
{
	char *full = g_strconcat("acme/", key, NULL);
	uint32_t p = mh_partition_of(full);

	g_free(full);
	for (int i = 0; i < 3; i++) {
		if (w->s[i]->k != NULL && mh_claim_open(w->s[i]->k, p))
			return w->s[i];
	}
	return NULL;
}

static uint64_t
revoke_key(struct net_node *e, const char *key)
{
	char *path = g_strconcat("/v1/outcomes/confirm/", key, NULL);
	struct net_request_args a = { .method = "DELETE", .path = path };
	uint64_t caller = net_request(e, &a);

	g_free(path);
	return caller;
}

/* Whether the key ran although the caller of its revocation got "not run". */
static bool
ran_after_not_run(struct net *n, uint64_t caller, const char *key)
{
	char *full = g_strconcat("acme/", key, NULL);
	bool ran = g_strcmp0(net_response_text(n, caller, "outcome"),
		       "not-run") == 0 &&
	    net_runs(n, full) > 0;

	g_free(full);
	return ran;
}

static char *
key_now(struct net *n)
{
	uint8_t id[MH_ID_LEN];

	mh_kern_advance(n->k, net_now(n), NET_START_WALL_US + net_now(n));
	mh_uuid7(n->k, id);
	return mh_uuid_text(id);
}

static void
test_every_partition_has_one_owner(void)
{
	struct once_world w;

	make(&w, 1);
	for (uint32_t p = 0; p < MH_PARTITIONS; p++) {
		int owners = 0;

		for (int i = 0; i < 3; i++)
			owners += mh_claim_open(w.s[i]->k, p);
		CU_ASSERT_EQUAL(owners, 1);
	}
	for (int i = 0; i < 3; i++)
		CU_ASSERT(mh_claim_count(w.s[i]->k) >= 4);
	net_destroy(w.n);
}

/*
 * Two clients send the same key to two entries at the same time.  The call must
 * run once, and both clients must get its result.
 */
static void
test_one_key_at_two_entries(void)
{
	struct once_world w;
	uint64_t a, b;

	make(&w, 1);
	a = confirm(w.e[0], "k1");
	b = confirm(w.e[1], "k1");
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	CU_ASSERT_EQUAL(net_response(w.n, b)->status, 200);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k1"), 1);
	net_destroy(w.n);
}

/*
 * The side process crashes after the service ran the call and before the result
 * was sent.  The caller must get "unknown", not "not run".  The restarted
 * process has lost the row: it must report "unknown" for a retry and not run
 * it.
 */
static void
test_crash_after_run(void)
{
	struct once_world w;
	struct net_node *owner;
	char *key;
	uint64_t a, b;

	make(&w, 2);
	key = key_now(w.n);
	owner = owner_of(&w, key);
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
	a = confirm(w.e[0], key);
	net_run(w.n, 5 * MH_US_PER_MS);
	net_kill(owner);
	net_run(w.n, 50 * MH_US_PER_MS);
	net_start(owner);
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 504);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, a, "outcome"), "unknown");
	b = confirm(w.e[1], key);
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, b, "outcome"), "unknown");
	CU_ASSERT_EQUAL(net_max_runs(w.n), 1);
	g_free(key);
	net_destroy(w.n);
}

/*
 * A call with an opaque key, which has no timestamp, runs.  Then the side
 * process restarts with an empty ledger and the client retries the key.  Guards
 * against a second run of the key as if it were new: until the new ledger
 * covers the retention time, the outcome of such a key must be "unknown".
 */
static void
test_opaque_key_after_restart(void)
{
	struct once_world w;
	struct net_node *owner;
	uint64_t a, b, c;

	make(&w, 3);
	owner = owner_of(&w, "party-9");
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
	a = confirm(w.e[0], "party-9");
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	net_kill(owner);
	net_start(owner);
	net_run(w.n, 4 * MH_US_PER_S);
	b = confirm(w.e[0], "party-9");
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, b, "outcome"), "unknown");
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/party-9"), 1);
	net_run(w.n, 70 * MH_US_PER_S);
	c = confirm(w.e[0], "party-10");
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, c)->status, 200);
	net_destroy(w.n);
}

/*
 * A drain hands over the ledger: a retry of a completed key must get the stored
 * result from the new owner, soon after the drain.
 */
static void
test_drain_hands_the_ledger_over(void)
{
	struct once_world w;
	struct net_node *owner;
	uint64_t a, b;

	make(&w, 4);
	owner = owner_of(&w, "k2");
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
	a = confirm(w.e[0], "k2");
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	mh_side_drain(owner->k, GRACE_US);
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_EQUAL(mh_claim_count(owner->k), 0);
	CU_ASSERT_TRUE(mh_side_idle(owner->k));
	net_kill(owner);
	owner->listed = false;
	b = confirm(w.e[1], "k2");
	net_run(w.n, 2 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, b)->status, 200);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k2"), 1);
	net_destroy(w.n);
}

/*
 * One partition has eight results of 800 kB.  Guards against a handover frame
 * of 6 MB, which the new owner refuses again and again, so that the drain does
 * not finish and the VM is killed with its ledger.
 */
static void
test_large_ledger_is_handed_over(void)
{
	struct once_world w;
	struct net_node *owner;
	char key[24], last[24] = "";
	uint32_t p = 0;
	uint64_t a;
	int n = 0;

	make(&w, 15);
	owner = owner_of(&w, "first");
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
	owner->response_bytes = 800000;
	for (int i = 0; n < 8; i++) {
		char *full;

		snprintf(key, sizeof(key), "large-%d", i);
		full = g_strconcat("acme/", key, NULL);
		if (n == 0 && owner_of(&w, key) == owner)
			p = mh_partition_of(full);
		if ((n > 0 || owner_of(&w, key) == owner) &&
		    mh_partition_of(full) == p) {
			confirm(w.e[0], key);
			net_run(w.n, 100 * MH_US_PER_MS);
			g_strlcpy(last, key, sizeof(last));
			n++;
		}
		g_free(full);
	}
	mh_side_drain(owner->k, GRACE_US);
	net_run(w.n, 5 * MH_US_PER_S);
	CU_ASSERT_EQUAL(mh_claim_count(owner->k), 0);
	a = confirm(w.e[1], last);
	net_run(w.n, 2 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	CU_ASSERT_EQUAL(net_max_runs(w.n), 1);
	net_destroy(w.n);
}

/* A result too long for a frame must not break the link again and again. */
static void
test_result_longer_than_a_frame(void)
{
	static const size_t over[] = { 0, 64 };

	for (size_t i = 0; i < G_N_ELEMENTS(over); i++) {
		struct once_world w;
		struct net_node *owner;
		int64_t at;
		uint64_t a;

		make(&w, 16);
		owner = owner_of(&w, "long");
		CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
		owner->response_bytes = MH_MAX_FRAME - over[i];
		at = net_now(w.n);
		a = confirm(w.e[0], "long");
		net_run(w.n, 3 * MH_US_PER_S);
		CU_ASSERT_EQUAL(net_response(w.n, a)->status, 504);
		CU_ASSERT_STRING_EQUAL(
		    net_response_text(w.n, a, "outcome"), "unknown");
		CU_ASSERT(net_response(w.n, a)->at_us - at < MH_US_PER_S);
		CU_ASSERT_EQUAL(mh_counter(w.e[0]->k, "relay_resumes"), 0);
		CU_ASSERT_EQUAL(net_max_runs(w.n), 1);
		net_destroy(w.n);
	}
}

/* Takeover from a VM removed from the list: new keys run, old ones do not. */
static void
test_takeover_from_a_removed_vm(void)
{
	struct once_world w;
	struct net_node *owner;
	char *old, *new;
	uint64_t a, b;

	make(&w, 5);
	old = key_now(w.n);
	owner = owner_of(&w, old);
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
	net_crash_vm(owner);
	net_run(w.n, 2 * MH_US_PER_S);
	owner->listed = false;
	net_run(w.n, 10 * MH_US_PER_S);
	for (int i = 0; i < 3; i++) {
		if (w.s[i] != owner)
			CU_ASSERT(mh_claim_count(w.s[i]->k) > 8);
	}
	a = confirm(w.e[0], old);
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, a, "outcome"), "unknown");
	do {
		new = key_now(w.n);
	} while (owner_of(&w, new) == NULL);
	b = confirm(w.e[0], new);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, b)->status, 200);
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/"), 0);
	CU_ASSERT_EQUAL(net_max_runs(w.n), 1);
	g_free(old);
	g_free(new);
	net_destroy(w.n);
}

/*
 * The owner is paused and its VM is still listed.  Guards against a takeover,
 * as would follow from an expired lease: the paused owner could still run a
 * call whose ownership it had checked before.
 */
static void
test_paused_owner_keeps_its_partitions(void)
{
	struct once_world w;
	struct net_node *owner;
	uint32_t had;

	make(&w, 6);
	owner = owner_of(&w, "k3");
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
	had = mh_claim_count(owner->k);
	owner->paused = true;
	net_run(w.n, 60 * MH_US_PER_S);
	CU_ASSERT_PTR_EQUAL(owner_of(&w, "k3"), owner);
	owner->paused = false;
	net_run(w.n, 3 * MH_US_PER_S);
	CU_ASSERT_EQUAL(mh_claim_count(owner->k), had);
	net_destroy(w.n);
}

/*
 * The write that reclaims partitions takes effect and its response is lost.  If
 * the process took this for a failure, it would overwrite its own epoch or
 * never serve its partitions.  It must read the table and find that it is the
 * owner.
 */
static void
test_lost_response_of_a_claim(void)
{
	struct once_world w;

	make(&w, 7);
	net_kill(w.s[0]);
	net_start(w.s[0]);
	w.n->kv_lose_reply = true;
	net_run(w.n, 6 * MH_US_PER_S);
	CU_ASSERT(mh_claim_count(w.s[0]->k) >= 4);
	CU_ASSERT(mh_counter(w.s[0]->k, "claim_kv_failed") > 0);
	net_destroy(w.n);
}

/*
 * A VM joins during an outage of the KV service of several minutes.  Guards
 * against owners that start a handover to it, which cannot finish during the
 * outage, and refuse the keys of those partitions until the service is back.
 */
static void
test_outage_stops_nothing(void)
{
	struct once_world w;
	int good = 0;

	make(&w, 8);
	w.n->kv_down = true;
	net_run(w.n, 2 * MH_US_PER_S);
	net_side(w.n, "book4", "book", "a", 4);
	for (int i = 0; i < 100; i++) {
		char key[24];
		uint64_t a;

		snprintf(key, sizeof(key), "out-%d", i);
		a = confirm(w.e[i % 2], key);
		net_run(w.n, 2 * MH_US_PER_S);
		good += net_response(w.n, a)->status == 200;
	}
	CU_ASSERT_EQUAL(good, 100);
	net_destroy(w.n);
}

/* A revoked key must not run; one that ran has the outcome "done". */
static void
test_revoke(void)
{
	struct once_world w;
	struct net_request_args r = { .method = "DELETE",
		.path = "/v1/outcomes/confirm/k5" };
	struct net_request_args g = { .method = "GET",
		.path = "/v1/outcomes/confirm/k6" };
	uint64_t a, b, c, d;

	make(&w, 9);
	a = net_request(w.e[0], &r);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, a, "outcome"), "not-run");
	b = confirm(w.e[1], "k5");
	net_run(w.n, 10 * MH_US_PER_MS);
	CU_ASSERT_EQUAL(net_response(w.n, b)->status, 409);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, b, "outcome"), "not-run");
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k5"), 0);
	c = confirm(w.e[0], "k6");
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, c)->status, 200);
	d = net_request(w.e[1], &g);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, d, "outcome"), "done");
	net_destroy(w.n);
}

/*
 * One key is used for two bodies.  Guards against a second caller that gets its
 * response only at its deadline, though the owner refuses the call in 1 ms.
 */
static void
test_key_with_another_body(void)
{
	struct once_world w;
	struct net_request_args other = { .path = "/v1/pipelines/confirm",
		.idempotency_key = "k8",
		.body = "{\"body\":{\"order\":2}}" };
	uint64_t a, b;

	make(&w, 16);
	a = confirm(w.e[0], "k8");
	net_run(w.n, MH_US_PER_S);
	b = net_request(w.e[1], &other);
	net_run(w.n, 10 * MH_US_PER_MS);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	CU_ASSERT_EQUAL(net_response(w.n, b)->status, 409);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, b, "outcome"), "done");
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, b, "lookup"), "/v1/outcomes/confirm/k8");
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k8"), 1);
	net_destroy(w.n);
}

/*
 * Twelve keys have run; then one of three side processes crashes, stays listed
 * and is not replaced, and the clients retry their keys.  Guards against "not
 * run" for keys that did run (5 of the 12), which would let clients order a
 * second time elsewhere.  As no process has the outcome of those keys, the
 * response must be "unknown", and without delay.
 */
static void
test_owner_crashed_and_listed(void)
{
	struct once_world w;
	struct net_node *crashed;
	int unknown = 0;

	make(&w, 17);
	for (int i = 0; i < 12; i++) {
		char key[24];
		uint64_t a;

		snprintf(key, sizeof(key), "party-%d", i);
		a = confirm(w.e[i % 2], key);
		net_run(w.n, 200 * MH_US_PER_MS);
		CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	}
	crashed = owner_of(&w, "party-0");
	net_kill(crashed);
	net_run(w.n, 3 * MH_US_PER_S);
	for (int i = 0; i < 24; i++) {
		char key[24];
		int64_t at = net_now(w.n);
		struct net_response *ans;
		const char *outcome;
		uint64_t a;

		snprintf(key, sizeof(key), "party-%d", i / 2);
		a = confirm(w.e[i % 2], key);
		net_run(w.n, 100 * MH_US_PER_MS);
		ans = net_response(w.n, a);
		outcome = net_response_text(w.n, a, "outcome");
		CU_ASSERT_TRUE(ans->ended);
		CU_ASSERT(ans->at_us - at < 100 * MH_US_PER_MS);
		if (ans->status == 200)
			continue;
		unknown++;
		CU_ASSERT_STRING_EQUAL(outcome, "unknown");
		CU_ASSERT_EQUAL(ans->status, 503);
		CU_ASSERT(ans->retry_after_s >= 1);
		CU_ASSERT(
		    g_str_has_suffix(net_response_text(w.n, a, "lookup"), key));
	}
	CU_ASSERT(unknown >= 6);
	CU_ASSERT_EQUAL(net_max_runs(w.n), 1);
	net_destroy(w.n);
}

/*
 * A lookup of a key whose owner does not respond must return "unknown".  Guards
 * against "not run" in the error response for the unreachable owner.
 */
static void
test_lookup_without_owner(void)
{
	struct once_world w;
	struct net_request_args g = { .method = "GET",
		.path = "/v1/outcomes/confirm/k9" };
	uint64_t a, b, c;

	make(&w, 18);
	a = confirm(w.e[0], "k9");
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	owner_of(&w, "k9")->paused = true;
	b = net_request(w.e[0], &g);
	net_run(w.n, 5 * MH_US_PER_S);
	c = net_request(w.e[1], &g);
	net_run(w.n, 5 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, b)->status, 503);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, b, "outcome"), "unknown");
	CU_ASSERT_EQUAL(net_response(w.n, c)->status, 503);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, c, "outcome"), "unknown");
	net_destroy(w.n);
}

/*
 * A retry of a key that has run is refused because of its deadline or a
 * malformed body.  Only the retry is known not to have run, so its response
 * must be "unknown".  The response for a key that the owner has never seen must
 * be "not run", and so must that of a pipeline that takes no keys.
 */
static void
test_refusals_of_a_key(void)
{
	struct once_world w;
	struct net_request_args hopeless = { .path = "/v1/pipelines/confirm",
		.idempotency_key = "k10",
		.deadline_us = 1 };
	struct net_request_args bad = { .path = "/v1/pipelines/confirm",
		.idempotency_key = "k10",
		.body = "[" };
	struct net_request_args plain = { .path = "/v1/pipelines/plan",
		.idempotency_key = "k10",
		.body = "[" };
	uint64_t a, b, c, d, e;

	make(&w, 19);
	a = confirm(w.e[0], "k10");
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, a)->status, 200);
	b = net_request(w.e[1], &hopeless);
	c = net_request(w.e[1], &bad);
	d = net_request(w.e[1], &plain);
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT(net_response(w.n, b)->status >= 500);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, b, "outcome"), "unknown");
	CU_ASSERT_EQUAL(net_response(w.n, c)->status, 400);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, c, "outcome"), "unknown");
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(w.n, c, "lookup"), "/v1/outcomes/confirm/k10");
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, d, "outcome"), "not-run");
	for (int i = 0; i < 3; i++)
		w.s[i]->refuses_conn = true;
	e = confirm(w.e[0], "k11");
	net_run(w.n, 5 * MH_US_PER_S);
	CU_ASSERT_STRING_EQUAL(net_response_text(w.n, e, "outcome"), "not-run");
	CU_ASSERT_EQUAL(net_runs(w.n, "acme/k11"), 0);
	net_destroy(w.n);
}

struct response_case {
	const char *name;
	uint32_t status;
	bool unsent;
	bool cut;
	uint32_t answer;
	const char *outcome;
	uint32_t runs;
};

/* Outcome of an at-most-once call, by the response of the endpoint. */
static const struct response_case response_cases[] = {
	{ "good", 0, false, false, 200, "done", 1 },
	{ "refused", 409, false, false, 409, "done", 1 },
	{ "server error", 500, false, false, 504, "unknown", 1 },
	{ "cut answer", 0, false, true, 504, "unknown", 1 },
	{ "no connection", 0, true, false, 503, "not-run", 0 },
};

static void
test_outcome_by_response(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(response_cases); i++) {
		struct once_world w;
		uint64_t a;

		make(&w, 10);
		for (int j = 0; j < 3; j++) {
			w.s[j]->status = response_cases[i].status;
			w.s[j]->refuses_conn = response_cases[i].unsent;
			w.s[j]->truncates = response_cases[i].cut;
		}
		a = confirm(w.e[0], "k7");
		net_run(w.n, 3 * MH_US_PER_S);
		CU_ASSERT_EQUAL(
		    net_response(w.n, a)->status, response_cases[i].answer);
		CU_ASSERT_STRING_EQUAL(net_response_text(w.n, a, "outcome"),
		    response_cases[i].outcome);
		CU_ASSERT_EQUAL(
		    net_runs(w.n, "acme/k7"), response_cases[i].runs);
		net_destroy(w.n);
	}
}

/*
 * Two clients send the same key, shortly one after the other, during a
 * handover.  Guards against two runs: one at the old owner, which has already
 * sent its rows, and one at the new owner, which lacks the row.  No call may
 * start in a partition that is being handed over.
 */
static void
test_one_key_during_a_handover(void)
{
	for (uint32_t seed = 1; seed <= 30; seed++) {
		struct once_world w;
		struct net_node *x;

		make(&w, seed);
		w.n->kv_latency_us =
		    100 * MH_US_PER_MS; /* for a long handover */
		x = net_side(w.n, "book4", "book", "a", 4);
		net_run(w.n, 2 * MH_US_PER_S);
		for (int i = 0; i < 100; i++) {
			char key[24];

			snprintf(key, sizeof(key), "h-%d", i);
			confirm(w.e[0], key);
			net_run(w.n, (int64_t)(mh_random(w.n->k) % 50000));
		}
		net_run(w.n, 2 * MH_US_PER_S);
		for (int i = 0; i < 100; i++) {
			char key[24];

			snprintf(key, sizeof(key), "h-%d", i);
			confirm(w.e[1], key);
		}
		net_run(w.n, 5 * MH_US_PER_S);
		CU_ASSERT_EQUAL(net_max_runs(w.n), 1);
		CU_ASSERT_EQUAL(g_hash_table_size(w.n->runs_by_key), 100);
		CU_ASSERT(mh_claim_count(x->k) > 2);
		net_destroy(w.n);
	}
}

#define REVOKED_KEYS 100

/*
 * Revokes keys while partitions are handed over, then sends the same keys.
 * Returns how many ran although their caller got "not run".
 */
static uint32_t
runs_after_not_run(uint32_t seed, uint32_t *not_run)
{
	struct once_world w;
	uint64_t asked[REVOKED_KEYS];
	uint32_t wrong = 0;

	make(&w, seed);
	w.n->kv_latency_us = 100 * MH_US_PER_MS; /* for a long handover */
	net_side(w.n, "book4", "book", "a", 4);
	net_run(w.n, 2 * MH_US_PER_S);
	for (int i = 0; i < REVOKED_KEYS; i++) {
		char key[24];

		snprintf(key, sizeof(key), "h-%d", i);
		asked[i] = revoke_key(w.e[0], key);
		net_run(w.n, (int64_t)(mh_random(w.n->k) % 50000));
	}
	net_run(w.n, 2 * MH_US_PER_S);
	for (int i = 0; i < REVOKED_KEYS; i++) {
		char key[24];

		snprintf(key, sizeof(key), "h-%d", i);
		confirm(w.e[1], key);
	}
	net_run(w.n, 5 * MH_US_PER_S);
	for (int i = 0; i < REVOKED_KEYS; i++) {
		char key[24];

		snprintf(key, sizeof(key), "h-%d", i);
		*not_run +=
		    g_strcmp0(net_response_text(w.n, asked[i], "outcome"),
			"not-run") == 0;
		wrong += ran_after_not_run(w.n, asked[i], key);
	}
	net_destroy(w.n);
	return wrong;
}

/*
 * Guards against "not run" from an owner that has already sent the rows of the
 * partition to the next one.
 */
static void
test_revoke_during_a_handover(void)
{
	uint32_t wrong = 0, not_run = 0;

	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(10); seed++)
		wrong += runs_after_not_run(seed, &not_run);
	CU_ASSERT_EQUAL(wrong, 0);
	CU_ASSERT(not_run > 0);
}

/* ---- random failures; the guarantees are checked from outside ---- */

struct request_row {
	uint64_t caller;
	char key[48];
	bool retried; /* the key was sent more than once */
	uint64_t revoked; /* caller of its last revocation; 0: none */
};

static void
inject_failure(struct once_world *w)
{
	struct net *n = w->n;
	struct net_node *x = w->s[mh_random(n->k) % 3];

	switch (mh_random(n->k) % 10) {
	case 0:
		if (x->k != NULL)
			net_kill(x);
		break;
	case 1:
	case 2:
		if (x->k == NULL)
			net_start(x);
		break;
	case 3:
		x->paused = !x->paused;
		break;
	case 4:
		n->kv_down = !n->kv_down;
		break;
	case 5:
		n->kv_lose_reply = true;
		break;
	case 6:
		net_drop_frames(x, true, true);
		break;
	case 7:
		net_drop_frames(x, mh_random(n->k) & 1, mh_random(n->k) & 1);
		break;
	case 8:
		if (x->k != NULL && !x->paused)
			mh_side_drain(x->k, GRACE_US);
		break;
	default:
		n->vmlist_down = !n->vmlist_down;
		break;
	}
}

static void
check_guarantees(struct net *n, struct request_row *rows, int count)
{
	CU_ASSERT(net_max_runs(n) <= 1);
	for (int i = 0; i < count; i++) {
		struct net_response *a = net_response(n, rows[i].caller);
		const char *outcome =
		    net_response_text(n, rows[i].caller, "outcome");
		char *full = g_strconcat("acme/", rows[i].key, NULL);

		CU_ASSERT_TRUE(a->ended);
		if (a->status == 200)
			CU_ASSERT_EQUAL(net_runs(n, full), 1);
		/* No request with the key had run before the response. */
		if (strcmp(outcome, "not-run") == 0)
			CU_ASSERT_EQUAL(a->runs, 0);
		/* A retried key may run for the later request. */
		if (strcmp(outcome, "not-run") == 0 && !rows[i].retried)
			CU_ASSERT_EQUAL(net_runs(n, full), 0);
		g_free(full);
	}
}

/* @revokes: whether keys are revoked, before and after they are sent */
static void
run_random(uint32_t seed, bool revokes)
{
	struct once_world w;
	struct request_row rows[MAX_REQUESTS];
	int count = 0;

	make(&w, seed);
	w.n->duplicate_share = 0.1;
	w.n->delay_share = 0.1;
	while (count < MAX_REQUESTS) {
		struct request_row *r = &rows[count];
		char *key = key_now(w.n);

		if (count % 4 == 0)
			snprintf(
			    r->key, sizeof(r->key), "op-%u-%d", seed, count);
		else
			g_strlcpy(r->key, key, sizeof(r->key));
		r->retried = false;
		r->revoked = revokes && count % 5 == 0
		    ? revoke_key(w.e[(count + 1) % 2], r->key)
		    : 0;
		if (r->revoked != 0)
			net_run(w.n,
			    (int64_t)(mh_random(w.n->k) % 200) * MH_US_PER_MS);
		r->caller = confirm(w.e[count % 2], r->key);
		count++;
		g_free(key);
		net_run(w.n,
		    20 * MH_US_PER_MS + (int64_t)(mh_random(w.n->k) % 50000));
		if (count % 3 == 0) {
			r = &rows[mh_random(w.n->k) % (uint64_t)count];
			r->retried = true;
			confirm(w.e[mh_random(w.n->k) % 2], r->key);
		}
		if (revokes && count % 5 == 2) {
			r = &rows[mh_random(w.n->k) % (uint64_t)count];
			r->revoked =
			    revoke_key(w.e[mh_random(w.n->k) % 2], r->key);
		}
		if (count % 8 == 0)
			inject_failure(&w);
	}
	net_run(w.n, 10 * MH_US_PER_S);
	check_guarantees(w.n, rows, count);
	for (int i = 0; i < count; i++)
		CU_ASSERT(rows[i].revoked == 0 ||
		    !ran_after_not_run(w.n, rows[i].revoked, rows[i].key));
	net_destroy(w.n);
}

/*
 * With random failures in random order, no key may run twice, a key with the
 * outcome "not run" must not have run, one with status 200 must have run, and
 * every caller must get a response.
 */
static void
test_random_failures(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++)
		run_random(seed, false);
}

/* The same with revocations: a key does not run after "not run". */
static void
test_random_failures_and_revocations(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(20); seed++)
		run_random(seed, true);
}

/*
 * Guards against a partition that nobody serves for most of a minute: the
 * watches of its old and its new owner have gone silent when the drain hands
 * it over, and each waits for its watch to show the change.
 */
static void
test_drain_while_watches_are_silent(void)
{
	struct once_world w;
	struct net_node *owner, *next;
	char *key;
	uint64_t id;

	make(&w, 24);
	key = key_now(w.n);
	owner = owner_of(&w, key);
	CU_ASSERT_PTR_NOT_NULL_FATAL(owner);
	net_silence_watches(w.n);
	mh_side_drain(owner->k, GRACE_US);
	net_run(w.n, 4 * MH_US_PER_S);
	next = owner_of(&w, key);
	CU_ASSERT_PTR_NOT_NULL(next);
	CU_ASSERT_PTR_NOT_EQUAL(next, owner);
	CU_ASSERT_EQUAL(mh_claim_count(owner->k), 0);
	id = confirm(w.e[0], key);
	net_run(w.n, 2 * MH_US_PER_S);
	CU_ASSERT_EQUAL(net_response(w.n, id)->status, 200);
	CU_ASSERT_EQUAL(net_response(w.n, id)->runs, 1);
	g_free(key);
	net_destroy(w.n);
}

const struct test tests_once[] = {
	{ "drain_while_watches_are_silent",
	    test_drain_while_watches_are_silent },
	{ "every_partition_has_one_owner", test_every_partition_has_one_owner },
	{ "one_key_at_two_entries", test_one_key_at_two_entries },
	{ "crash_after_run", test_crash_after_run },
	{ "opaque_key_after_restart", test_opaque_key_after_restart },
	{ "drain_hands_the_ledger_over", test_drain_hands_the_ledger_over },
	{ "result_longer_than_a_frame", test_result_longer_than_a_frame },
	{ "large_ledger_is_handed_over", test_large_ledger_is_handed_over },
	{ "takeover_from_a_removed_vm", test_takeover_from_a_removed_vm },
	{ "paused_owner_keeps_its_partitions",
	    test_paused_owner_keeps_its_partitions },
	{ "lost_response_of_a_claim", test_lost_response_of_a_claim },
	{ "outage_stops_nothing", test_outage_stops_nothing },
	{ "revoke", test_revoke },
	{ "key_with_another_body", test_key_with_another_body },
	{ "owner_crashed_and_listed", test_owner_crashed_and_listed },
	{ "lookup_without_owner", test_lookup_without_owner },
	{ "refusals_of_a_key", test_refusals_of_a_key },
	{ "outcome_by_response", test_outcome_by_response },
	{ "revoke_during_a_handover", test_revoke_during_a_handover },
	{ "one_key_during_a_handover", test_one_key_during_a_handover },
	{ "random_failures_and_revocations",
	    test_random_failures_and_revocations },
	{ "random_failures", test_random_failures },
	{ NULL, NULL },
};
