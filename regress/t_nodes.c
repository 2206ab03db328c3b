/**
 * DOC: Many simulated nodes: membership, distribution of the configuration,
 * limits over all entries, loss of a failure domain.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

#define ENTRIES 12
#define SIDES 36

struct nodes {
	struct net *n;
	struct net_node *e[ENTRIES];
	struct net_node *s[SIDES];
};

static const char *const domains[] = { "a", "b", "c" };

static void
create_nodes(struct nodes *w, uint32_t seed, const char *doc)
{
	char vm[24];

	w->n = net_create(seed);
	net_apply(w->n, 1, doc);
	for (int i = 0; i < SIDES; i++) {
		snprintf(vm, sizeof(vm), "enc%d", i);
		w->s[i] = net_side(w->n, vm, "enc", domains[i % 3], 4);
	}
	for (int i = 0; i < ENTRIES; i++) {
		snprintf(vm, sizeof(vm), "entry%d", i);
		w->e[i] = net_entry(w->n, vm, domains[i % 3]);
	}
	net_run(w->n, 5 * MH_US_PER_S);
}

static bool
all_have(struct nodes *w, uint64_t generation)
{
	for (guint i = 0; i < w->n->nodes->len; i++) {
		struct net_node *x = w->n->nodes->pdata[i];

		if (x->k != NULL && !x->paused &&
		    mh_conf_generation(x->k) != generation)
			return false;
	}
	return true;
}

/* Virtual time until every running node has @generation, -1 on timeout. */
static int64_t
time_to_apply(struct nodes *w, uint64_t generation, int64_t timeout_us)
{
	int64_t start = net_now(w->n);

	while (net_now(w->n) - start < timeout_us) {
		if (all_have(w, generation))
			return net_now(w->n) - start;
		net_run(w->n, 10 * MH_US_PER_MS);
	}
	return -1;
}

static void
test_change_is_everywhere_in_seconds(void)
{
	struct nodes w;
	int64_t us;

	create_nodes(&w, 1, net_doc);
	CU_ASSERT_TRUE(all_have(&w, 1));
	for (uint64_t g = 2; g < 12; g++) {
		net_apply(w.n, g, net_doc);
		us = time_to_apply(&w, g, 9 * MH_US_PER_S);
		CU_ASSERT(us >= 0 && us < 3 * MH_US_PER_S);
	}
	net_destroy(w.n);
}

/* Each watcher holds a call to the KV service open, so there must be few. */
static void
test_few_watch_the_platform(void)
{
	struct nodes w;
	int conf = 0;

	create_nodes(&w, 2, net_doc);
	for (guint i = 0; i < w.n->nodes->len; i++) {
		struct net_node *x = w.n->nodes->pdata[i];

		conf += mh_member_is_watcher(x->k, "config");
	}
	CU_ASSERT(conf >= 3 && conf <= 6);
	net_destroy(w.n);
}

/*
 * The entries that read for their failure domains are listed but dead, or run
 * behind links that carry nothing.  The others must take over the reading:
 * nobody tells them of a change.
 */
static void
test_watchers_that_nobody_hears(void)
{
	for (int run = 0; run < 2; run++) {
		struct nodes w;
		int heard = 0, silent = 0;

		create_nodes(&w, 42, net_doc);
		for (int i = 0; i < ENTRIES; i++) {
			struct net_node *e = w.e[i];

			if (!mh_member_is_watcher(e->k, "config")) {
				heard++;
				continue;
			}
			silent++;
			e->dials_only = run == 1;
			if (run == 0)
				net_crash_vm(e);
		}
		CU_ASSERT_EQUAL(silent, 6);
		net_run(w.n, 10 * MH_US_PER_S);
		net_apply(w.n, 2, net_doc);
		CU_ASSERT(time_to_apply(&w, 2, 9 * MH_US_PER_S) >= 0);
		for (int i = 0; i < ENTRIES; i++)
			heard -= w.e[i]->k != NULL && !w.e[i]->dials_only &&
			    mh_conf_generation(w.e[i]->k) == 2;
		CU_ASSERT_EQUAL(heard, 0);
		net_destroy(w.n);
	}
}

/*
 * All open connections to the KV service go silent, and new ones work: the
 * watches must not wait for an answer for most of a minute.
 */
static void
test_watches_go_silent(void)
{
	struct nodes w;

	create_nodes(&w, 43, net_doc);
	net_silence_watches(w.n);
	net_apply(w.n, 2, net_doc);
	CU_ASSERT(time_to_apply(&w, 2, 12 * MH_US_PER_S) >= 0);
	net_destroy(w.n);
}

/*
 * A configuration is applied, then the KV service fails and nodes start.  They
 * must get the configuration from their peers.
 */
static void
test_start_during_an_outage(void)
{
	struct nodes w;

	create_nodes(&w, 3, net_doc);
	net_apply(w.n, 2, net_doc);
	net_run(w.n, 3 * MH_US_PER_S);
	w.n->kv_down = true;
	net_kill(w.e[4]);
	net_kill(w.s[7]);
	net_run(w.n, MH_US_PER_S);
	net_start(w.e[4]);
	net_start(w.s[7]);
	CU_ASSERT(time_to_apply(&w, 2, 9 * MH_US_PER_S) >= 0);
	net_destroy(w.n);
}

/* A KV service restored with an older configuration must revert nothing. */
static void
test_restored_kv_reverts_nothing(void)
{
	struct nodes w;

	create_nodes(&w, 4, net_doc);
	net_apply(w.n, 2, net_doc);
	net_apply(w.n, 3, net_doc);
	CU_ASSERT(time_to_apply(&w, 3, 9 * MH_US_PER_S) >= 0);
	w.n->kv_down = true;
	net_run(w.n, 2 * MH_US_PER_S);
	net_apply(w.n, 2, net_doc);
	w.n->kv_index = 1;
	w.n->kv_down = false;
	net_run(w.n, 10 * MH_US_PER_S);
	CU_ASSERT_TRUE(all_have(&w, 3));
	net_apply(w.n, 4, net_doc);
	CU_ASSERT(time_to_apply(&w, 4, 9 * MH_US_PER_S) >= 0);
	net_destroy(w.n);
}

/* An invalid document in the KV service must not replace the valid one. */
static void
test_bad_document_is_not_taken(void)
{
	struct nodes w;

	create_nodes(&w, 5, net_doc);
	net_apply(w.n, 2, "classes: oops");
	net_run(w.n, 5 * MH_US_PER_S);
	CU_ASSERT_TRUE(all_have(&w, 1));
	net_apply(w.n, 3, net_doc);
	CU_ASSERT(time_to_apply(&w, 3, 9 * MH_US_PER_S) >= 0);
	net_destroy(w.n);
}

static uint64_t
embed(struct net_node *e)
{
	struct net_request_args a = { .path = "/v1/pipelines/embed" };

	return net_request(e, &a);
}

static int
serve(struct nodes *w, int count, int64_t each_us)
{
	uint64_t *ids = g_new(uint64_t, count);
	int succeeded = 0;

	for (int i = 0; i < count; i++) {
		struct net_node *e = w->e[i % ENTRIES];

		if (e->k == NULL || e->paused)
			e = w->e[(i + 1) % ENTRIES];
		ids[i] = embed(e);
		net_run(w->n, each_us);
	}
	net_run(w->n, 5 * MH_US_PER_S);
	for (int i = 0; i < count; i++)
		succeeded += net_response(w->n, ids[i])->status == 200;
	g_free(ids);
	return succeeded;
}

/* A document that was read in part must be read again. */
static void
test_half_a_configuration(void)
{
	struct net *n = net_create(40);
	struct net_node *e;

	net_apply(n, 1, net_doc);
	e = net_entry(n, "entry1", "a");
	net_run(n, 3 * MH_US_PER_S);
	CU_ASSERT_EQUAL(mh_conf_generation(e->k), 1);
	n->kv_truncate_doc = true;
	net_apply(n, 2, net_doc);
	net_run(n, 3 * MH_US_PER_S);
	CU_ASSERT_FALSE(n->kv_truncate_doc);
	CU_ASSERT_EQUAL(mh_counter(e->k, "conf_bad_doc"), 1);
	CU_ASSERT_EQUAL(mh_conf_generation(e->k), 2);
	net_destroy(n);
}

/* A watch that returns at once must not be repeated without a pause. */
static void
test_watches_that_do_not_wait(void)
{
	struct net *n = net_create(41);
	struct net_node *e;
	uint64_t calls;

	net_apply(n, 1, net_doc);
	e = net_entry(n, "entry1", "a");
	net_side(n, "book1", "book", "a", 1);
	net_run(n, 3 * MH_US_PER_S);
	n->kv_no_wait = true;
	net_apply(n, 2, net_doc);
	net_run(n, MH_US_PER_S);
	calls = n->kv_calls;
	net_run(n, 10 * MH_US_PER_S);
	/* At most three watches, each three times a second. */
	CU_ASSERT(n->kv_calls - calls <= 90);
	CU_ASSERT_EQUAL(mh_conf_generation(e->k), 2);
	net_destroy(n);
}

/* While the VM list fails for a minute every entry keeps serving. */
static void
test_missing_list_changes_nothing(void)
{
	struct nodes w;

	create_nodes(&w, 6, net_doc);
	w.n->vmlist_down = true;
	net_run(w.n, 60 * MH_US_PER_S);
	CU_ASSERT_EQUAL(serve(&w, 100, 5 * MH_US_PER_MS), 100);
	net_destroy(w.n);
}

/*
 * A whole failure domain is lost while its links stay open without traffic.
 * The remaining entries must keep serving and retry elsewhere what was in
 * flight there.
 */
static void
test_failure_domain_vanishes(void)
{
	struct nodes w;

	create_nodes(&w, 7, net_doc);
	for (int i = 0; i < SIDES; i += 3)
		net_crash_vm(w.s[i]);
	for (int i = 0; i < ENTRIES; i += 3) {
		w.e[i]->listed = false;
		net_crash_vm(w.e[i]);
	}
	CU_ASSERT(serve(&w, 200, 10 * MH_US_PER_MS) >= 199);
	net_destroy(w.n);
}

/* Processes and VMs fail at three hundred times an ordinary day's rate. */
static void
test_churn(void)
{
	struct nodes w;
	int succeeded = 0, sent = 0;

	create_nodes(&w, 8, net_doc);
	for (int i = 0; i < 60; i++) {
		struct net_node *x = w.s[mh_random(w.n->k) % SIDES];

		if (x->k == NULL)
			net_start(x);
		else if (mh_random(w.n->k) % 8 == 0)
			net_crash_vm(x);
		else
			net_kill(x);
		succeeded += serve(&w, 20, 5 * MH_US_PER_MS);
		sent += 20;
		if (x->k == NULL)
			net_start(x);
	}
	CU_ASSERT(succeeded * 1000 >= sent * 997);
	net_destroy(w.n);
}

/*
 * Two entries dial each other at the same moment.  If each took the peer's
 * link for an old one of its own, both would close and dial for ever and keep
 * a core busy.
 */
static void
test_mutual_dial_settles(void)
{
	struct nodes w;
	uint64_t frames;

	create_nodes(&w, 11, net_doc);
	for (int i = 0; i < 2; i++)
		mh_member_dial(
		    w.e[i]->k, mh_member_find(w.e[i]->k, w.e[1 - i]->vm));
	net_run(w.n, MH_US_PER_S);
	frames = w.n->frames;
	net_run(w.n, MH_US_PER_S);
	CU_ASSERT(w.n->frames - frames < 5000);
	CU_ASSERT_TRUE(mh_member_find(w.e[0]->k, w.e[1]->vm)->up);
	CU_ASSERT_TRUE(mh_member_find(w.e[1]->k, w.e[0]->vm)->up);
	net_destroy(w.n);
}

/*
 * Two entries and sixty encoders: with twenty links per entry a third of the
 * encoders would stay idle while the others are full.
 */
static void
test_every_endpoint_is_linked(void)
{
	struct net *n = net_create(12);
	struct net_node *s[60], *e[2];
	char vm[24];

	net_apply(n, 1, net_doc);
	for (int i = 0; i < 60; i++) {
		snprintf(vm, sizeof(vm), "enc%d", i);
		s[i] = net_side(n, vm, "enc", domains[i % 3], 4);
	}
	e[0] = net_entry(n, "entry0", "a");
	e[1] = net_entry(n, "entry1", "b");
	net_run(n, 5 * MH_US_PER_S);
	for (int i = 0; i < 60; i++) {
		const struct mh_peer *a = mh_member_find(e[0]->k, s[i]->vm);
		const struct mh_peer *b = mh_member_find(e[1]->k, s[i]->vm);

		CU_ASSERT_TRUE(a->up || b->up);
	}
	net_destroy(n);
}

/* Without a change of the VM list KV calls and frames must stay few. */
static void
test_subset_is_stable(void)
{
	struct nodes w;
	uint64_t calls, frames;

	create_nodes(&w, 9, net_doc);
	calls = w.n->kv_calls;
	frames = w.n->frames;
	net_run(w.n, 30 * MH_US_PER_S);
	CU_ASSERT(w.n->kv_calls - calls < 30);
	CU_ASSERT((w.n->frames - frames) / w.n->nodes->len / 30 < 60);
	net_destroy(w.n);
}

/*
 * An organisation's limit must hold over all entries though few of them get
 * most of its traffic: exceeded by at most 5%, at most 10% of it unused.
 * Drives the limit services directly; each request uses all it reserved.
 */
static void
test_limit_over_all_entries(void)
{
	struct nodes w;
	char **p = g_strsplit(net_doc, "{name: acme,", 2);
	char *doc = g_strconcat(p[0],
	    "{name: acme, units_per_s: 1000, burst_units: 100,", p[1], NULL);
	double units = 0;

	create_nodes(&w, 10, doc);
	for (int i = 0; i < 24000; i++) {
		/* Two entries of twelve get nine tenths of the traffic. */
		struct net_node *e =
		    w.e[i % 10 == 0 ? i / 10 % ENTRIES : i % 2];
		const struct mh_key_match *key =
		    mh_decl_find_key(mh_conf_get(e->k), "party-key");
		struct mh_limit_ticket t = { .org = NULL };

		net_tick(e);
		if (mh_limit_reserve(e->k, key, 10, &t) == 0) {
			mh_limit_settle(e->k, &t, 10);
			units += i >= 4000 ? 10 : 0;
		}
		net_run(w.n, 5 * MH_US_PER_MS);
	}
	units /= 20000 * 0.005;
	if (units > 1050 || units < 900)
		printf("\n  units a second: %.0f of 1000\n", units);
	CU_ASSERT(units <= 1050);
	CU_ASSERT(units >= 900);
	g_strfreev(p);
	g_free(doc);
	net_destroy(w.n);
}

const struct test tests_nodes[] = {
	{ "change_is_everywhere_in_seconds",
	    test_change_is_everywhere_in_seconds },
	{ "watchers_that_nobody_hears", test_watchers_that_nobody_hears },
	{ "watches_go_silent", test_watches_go_silent },
	{ "few_watch_the_platform", test_few_watch_the_platform },
	{ "start_during_an_outage", test_start_during_an_outage },
	{ "restored_kv_reverts_nothing", test_restored_kv_reverts_nothing },
	{ "bad_document_is_not_taken", test_bad_document_is_not_taken },
	{ "half_a_configuration", test_half_a_configuration },
	{ "watches_that_do_not_wait", test_watches_that_do_not_wait },
	{ "missing_list_changes_nothing", test_missing_list_changes_nothing },
	{ "failure_domain_vanishes", test_failure_domain_vanishes },
	{ "churn", test_churn },
	{ "every_endpoint_is_linked", test_every_endpoint_is_linked },
	{ "mutual_dial_settles", test_mutual_dial_settles },
	{ "subset_is_stable", test_subset_is_stable },
	{ "limit_over_all_entries", test_limit_over_all_entries },
	{ NULL, NULL },
};
