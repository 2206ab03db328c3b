/**
 * DOC: marlslope: measures how the control overhead grows with nodes, links,
 * configuration changes and ledger rows.
 *
 * Runs the real decision services in virtual time over the fake network and
 * platform of the tests.  No requests are sent, so that all bytes and platform
 * calls counted are control traffic.  Each output line names the parameter
 * that was varied; a fit is a least-squares line through the points above it.
 */

#include "net.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SETTLE_S 10
#define MEASURE_S 20
#define MAX_POINTS 8

/** struct point - value of the varied parameter and the measurement. */
struct point {
	double x;
	double y;
};

struct series {
	const char *name;
	const char *unit;
	struct point p[MAX_POINTS];
	int n;
};

static void
add(struct series *s, double x, double y)
{
	s->p[s->n].x = x;
	s->p[s->n++].y = y;
	printf("slope %s x=%.0f y=%.4f %s\n", s->name, x, y, s->unit);
}

static void
fit(const struct series *s)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, worst = 0, a, b;

	for (int i = 0; i < s->n; i++) {
		sx += s->p[i].x;
		sy += s->p[i].y;
		sxx += s->p[i].x * s->p[i].x;
		sxy += s->p[i].x * s->p[i].y;
	}
	b = (s->n * sxy - sx * sy) / (s->n * sxx - sx * sx);
	a = (sy - b * sx) / s->n;
	for (int i = 0; i < s->n; i++) {
		double residual = s->p[i].y - (a + b * s->p[i].x);

		worst = MAX(worst, residual < 0 ? -residual : residual);
	}
	printf("fit %s y = %.4f + %.6f x, worst off by %.4f %s\n", s->name, a,
	    b, worst, s->unit);
}

static struct net *
create_net(int entries, int pools, int per_pool, const char *doc)
{
	static const char *const names[] = { "enc", "ret", "rer", "llm" };
	struct net *n = net_create(1);
	char vm[24], domain[8];

	net_apply(n, 1, doc);
	for (int p = 0; p < pools; p++) {
		for (int i = 0; i < per_pool; i++) {
			snprintf(vm, sizeof(vm), "%s%d", names[p], i);
			snprintf(domain, sizeof(domain), "d%d", i % 8);
			net_side(n, vm, names[p], domain, 8);
		}
	}
	for (int i = 0; i < entries; i++) {
		snprintf(vm, sizeof(vm), "entry%d", i);
		snprintf(domain, sizeof(domain), "d%d", i % 8);
		net_entry(n, vm, domain);
	}
	net_run(n, SETTLE_S * MH_US_PER_S);
	return n;
}

/** struct idle - control overhead of a deployment, per second. */
struct idle {
	double entry_bytes; /* per entry */
	double side_bytes; /* per side process */
	double kv_calls; /* of all nodes */
	double list_reads; /* of all nodes */
	double cpu_us; /* per node */
};

static uint64_t
sum(struct net *n, const char *role, const char *counter)
{
	uint64_t total = 0;

	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *x = n->nodes->pdata[i];

		if (strcmp(x->role, role) == 0)
			total += mh_counter(x->k, counter);
	}
	return total;
}

static double
bytes_of(struct net *n, const char *role)
{
	return (double)(sum(n, role, "link_bytes_in") +
	    sum(n, role, "link_bytes_out"));
}

static double
reads_of(struct net *n)
{
	return (double)(sum(n, "entry", "member_list_reads") +
	    sum(n, "side", "member_list_reads"));
}

static void
measure_idle(int entries, int pools, int per_pool, struct idle *out)
{
	struct net *n = create_net(entries, pools, per_pool, net_doc);
	double e = bytes_of(n, "entry"), s = bytes_of(n, "side");
	double r = reads_of(n), k = (double)n->kv_calls;
	clock_t c = clock();

	net_run(n, MEASURE_S * MH_US_PER_S);
	out->entry_bytes = (bytes_of(n, "entry") - e) / entries / MEASURE_S;
	out->side_bytes =
	    (bytes_of(n, "side") - s) / (pools * per_pool) / MEASURE_S;
	out->kv_calls = ((double)n->kv_calls - k) / MEASURE_S;
	out->list_reads = (reads_of(n) - r) / MEASURE_S;
	out->cpu_us = (double)(clock() - c) / CLOCKS_PER_SEC * 1e6 /
	    n->nodes->len / MEASURE_S;
	net_destroy(n);
}

/* Five endpoints per entry, about the ratio of a full-size deployment. */
static void
by_nodes(void)
{
	static const int entries[] = { 8, 16, 32, 48 };
	struct series eb = { .name = "entry_control_bytes_by_nodes",
		.unit = "B/s" };
	struct series sb = { .name = "side_control_bytes_by_nodes",
		.unit = "B/s" };
	struct series kv = { .name = "kv_calls_by_nodes", .unit = "/s" };
	struct series lr = { .name = "vmlist_reads_by_nodes", .unit = "/s" };

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		int nodes = entries[i] * 6;
		struct idle m;

		measure_idle(entries[i], 1, entries[i] * 5, &m);
		add(&eb, nodes, m.entry_bytes);
		add(&sb, nodes, m.side_bytes);
		add(&kv, nodes, m.kv_calls);
		add(&lr, nodes, m.list_reads);
	}
	fit(&eb);
	fit(&sb);
	fit(&kv);
	fit(&lr);
}

/* Varies the pools; a pool counts as 20 links, the minimum of lib/subset.c. */
static void
by_links(void)
{
	struct series eb = { .name = "entry_control_bytes_by_links",
		.unit = "B/s" };

	for (int pools = 1; pools <= 4; pools++) {
		struct idle m;

		measure_idle(8, pools, 40, &m);
		add(&eb, pools * 20, m.entry_bytes);
	}
	fit(&eb);
}

static char *
doc_with_orgs(int orgs, uint64_t generation)
{
	GString *s = g_string_new(net_doc);

	for (int i = 0; i < orgs; i++) {
		uint8_t hash[MH_HASH_LEN];
		char key[32], hex[2 * MH_HASH_LEN + 1];

		snprintf(key, sizeof(key), "key-%d", i);
		mh_key_hash(key, hash);
		sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
		g_string_append_printf(s,
		    "  - {name: o%d, units_per_s: %d, keys: [{hash: %s}]}\n", i,
		    i == orgs / 2 ? (int)(1000 + generation) : 1000, hex);
	}
	return g_string_free(s, FALSE);
}

static bool
all_applied(struct net *n, uint64_t generation)
{
	for (guint i = 0; i < n->nodes->len; i++) {
		struct net_node *x = n->nodes->pdata[i];

		if (mh_conf_generation(x->k) != generation)
			return false;
	}
	return true;
}

/*
 * Applies a document as marlctl does, with the delta from the one before in the
 * head.  Returns the seconds until all nodes use it, at most about 20.
 */
static double
apply_and_wait(struct net *n, uint64_t generation, int orgs)
{
	char *doc = doc_with_orgs(orgs, generation);
	char *old = doc_with_orgs(orgs, generation - 1);
	int64_t start = net_now(n);

	net_apply_delta(n, generation, doc, old);
	while (!all_applied(n, generation) &&
	    net_now(n) - start < 20 * MH_US_PER_S)
		net_run(n, 10 * MH_US_PER_MS);
	g_free(doc);
	g_free(old);
	return (double)(net_now(n) - start) / MH_US_PER_S;
}

/* Delay until all nodes use a change, and its cost in bytes and KV calls. */
static void
by_changes(void)
{
	static const int entries[] = { 8, 16, 32 };
	struct series t = { .name = "in_force_everywhere_by_nodes",
		.unit = "s" };
	struct series b = { .name = "bytes_a_change_a_node_by_nodes",
		.unit = "B" };
	struct series k = { .name = "kv_calls_a_change_by_nodes",
		.unit = "calls" };

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		char *doc = doc_with_orgs(200, 1);
		struct net *n = create_net(entries[i], 1, entries[i] * 5, doc);
		double worst = 0, bytes, calls, idle, nodes = n->nodes->len;

		bytes = (double)n->bytes;
		net_run(n, MEASURE_S * MH_US_PER_S);
		idle = ((double)n->bytes - bytes) / MEASURE_S;
		bytes = (double)n->bytes;
		calls = (double)n->kv_calls;
		for (uint64_t g = 2; g < 12; g++) {
			double took = apply_and_wait(n, g, 200);

			worst = MAX(worst, took);
			net_run(n, MH_US_PER_S);
		}
		bytes = (double)n->bytes - bytes - idle * 10;
		add(&t, nodes, worst);
		add(&b, nodes, bytes / 10 / nodes);
		add(&k, nodes, ((double)n->kv_calls - calls) / 10);
		g_free(doc);
		net_destroy(n);
	}
	fit(&t);
	fit(&b);
	fit(&k);
}

/* Processor time to add and end a ledger row. */
static void
by_rows(void)
{
	static const int rows[] = { 1000, 4000, 16000, 60000 };
	struct series s = { .name = "ledger_ask_by_rows", .unit = "us" };

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct mh_ledger *l = mh_ledger_create(65536);
		uint8_t request[MH_ID_LEN] = { 1 };
		clock_t c;

		mh_ledger_open(l, 0, 0);
		c = clock();
		for (int j = 0; j < rows[i]; j++) {
			char key[32];
			struct mh_ledger_request a = { .key = key,
				.request = request,
				.now_ms = 1000,
				.retention_ms = 60000 };

			snprintf(key, sizeof(key), "o/%d", j);
			mh_ledger_request(l, &a);
			mh_ledger_end(l, key, MH__OUTCOME__DONE, 200, NULL);
		}
		add(&s, rows[i],
		    (double)(clock() - c) / CLOCKS_PER_SEC * 1e6 / rows[i]);
		mh_ledger_destroy(l);
	}
	fit(&s);
}

int
main(void)
{
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	by_nodes();
	by_links();
	by_changes();
	by_rows();
	return EXIT_SUCCESS;
}
