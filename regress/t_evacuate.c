/**
 * DOC: Evacuated failure domains and cold endpoints in the routing of the
 * entry's own HTTP interface.
 */

#include "net.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define PEERS 4
#define PER_S 2

/** struct eworld - an entry with endpoints in two failure domains. */
struct eworld {
	struct net *n;
	struct net_node *e;
	struct net_node *s[PEERS];
	char *doc;
};

static char *
doc_with(const char *more)
{
	return g_strconcat(net_doc, more, NULL);
}

static void
make(struct eworld *w)
{
	char vm[24];

	w->n = net_create(21);
	net_apply(w->n, 1, net_doc);
	for (int i = 0; i < PEERS; i++) {
		snprintf(vm, sizeof(vm), "llm%d", i);
		w->s[i] = net_side(w->n, vm, "llm", i % 2 == 0 ? "a" : "b", 8);
	}
	w->e = net_entry(w->n, "entry1", "a");
	net_run(w->n, 10 * S);
	net_tick(w->e);
}

static void
apply(struct eworld *w, uint64_t generation, const char *more)
{
	char *doc = doc_with(more);

	net_apply(w->n, generation, doc);
	net_run(w->n, 3 * S);
	net_tick(w->e);
	g_free(doc);
}

static struct mh_peer *
pick(struct eworld *w)
{
	struct mh_pick q = { .pool = "llm" };

	return mh_route_pick(w->e->k, &q);
}

/* Guards against calls to endpoints of an evacuated failure domain. */
static void
test_evacuated(void)
{
	struct eworld w;

	make(&w);
	CU_ASSERT_EQUAL(mh_route_usable(w.e->k, "llm"), PEERS);
	apply(&w, 2, "evacuated: [a]\n");
	CU_ASSERT_EQUAL(mh_route_usable(w.e->k, "llm"), PEERS / 2);
	for (int i = 0; i < 50; i++) {
		struct mh_peer *p = pick(&w);

		CU_ASSERT_PTR_NOT_NULL(p);
		if (p == NULL)
			break;
		CU_ASSERT_STRING_EQUAL(p->domain, "b");
	}
	apply(&w, 3, "evacuated: [a, b]\n");
	CU_ASSERT_PTR_NULL(pick(&w));
	apply(&w, 4, "");
	CU_ASSERT_EQUAL(mh_route_usable(w.e->k, "llm"), PEERS);
	net_destroy(w.n);
}

/* Guards against overload of an endpoint that has just started. */
static void
test_cold(void)
{
	struct eworld w;
	struct mh_pool *pool;
	uint32_t cold = 0;

	make(&w);
	pool = mh_decl_pool(mh_conf_get(w.e->k), "llm");
	pool->cold_per_s = PER_S;
	pool->warmup_us = 60 * S;
	net_kill(w.s[0]);
	net_run(w.n, 1 * S);
	net_start(w.s[0]);
	net_run(w.n, 5 * S);
	net_tick(w.e);
	for (int i = 0; i < 400; i++) {
		struct mh_peer *p = pick(&w);

		CU_ASSERT_PTR_NOT_NULL(p);
		if (p == NULL)
			break;
		mh_route_sent(w.e->k, p);
		cold += strcmp(p->vm, "llm0") == 0;
		net_run(w.n, 10 * MS);
	}
	if (cold > 4 * PER_S + 1)
		fprintf(stderr, "%u calls in 4 s\n", cold);
	CU_ASSERT(cold >= 1 && cold <= 4 * PER_S + 1);
	net_destroy(w.n);
}

/* Guards against a document that evacuates other domains than requested. */
static void
test_document(void)
{
	static const char *const befores[] = { "", "evacuated: [x]\n",
		"evacuated:\n  - x\n  - y\n", "evacuated: [x,\n  y]\n",
		"evacuated:\n- x\n# kept\n" };
	static const char *const lists[][3] = { { NULL }, { "a", NULL },
		{ "a", "b-1.c", NULL } };

	for (size_t i = 0; i < G_N_ELEMENTS(befores); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(lists); j++) {
			char *text = doc_with(befores[i]);
			GBytes *doc = g_bytes_new(text, strlen(text)), *result;
			GPtrArray *list = g_ptr_array_new();
			struct mh_decl *d;

			for (uint32_t n = 0; lists[j][n] != NULL; n++)
				g_ptr_array_add(
				    list, (char *)(uintptr_t)lists[j][n]);
			result = mh_decl_with_evacuated(doc, list, NULL);
			CU_ASSERT_PTR_NOT_NULL_FATAL(result);
			d = mh_decl_read(result, NULL);
			CU_ASSERT_PTR_NOT_NULL(d);
			if (d == NULL)
				return;
			CU_ASSERT_EQUAL(
			    d->evacuated == NULL ? 0 : d->evacuated->len,
			    list->len);
			for (guint n = 0; n < list->len; n++)
				CU_ASSERT(mh_decl_evacuated(d, list->pdata[n]));
			mh_decl_unref(d);
			g_ptr_array_free(list, TRUE);
			g_bytes_unref(result);
			g_bytes_unref(doc);
			g_free(text);
		}
	}
}

/* Guards against invalid names of failure domains. */
static void
test_bad_domains(void)
{
	static const char *const bad[] = { "evacuated: [\"\"]\n",
		"evacuated: [\"a b\"]\n", "evacuated: [\"a\\nb\"]\n",
		"evacuated: \"7 8\"\n", "evacuated: {a: b}\n",
		"evacuated: [[a]]\n" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *text = doc_with(bad[i]);
		GBytes *doc = g_bytes_new(text, strlen(text));
		GError *err = NULL;

		CU_ASSERT_PTR_NULL(mh_decl_read(doc, &err));
		CU_ASSERT_PTR_NOT_NULL(err);
		if (err == NULL)
			return;
		CU_ASSERT_PTR_NOT_NULL(strstr(err->message, "evacuated"));
		g_error_free(err);
		g_bytes_unref(doc);
		g_free(text);
	}
}

const struct test tests_evacuate[] = {
	{ "own interface: evacuated", test_evacuated },
	{ "own interface: cold", test_cold },
	{ "own interface: the list in a document", test_document },
	{ "own interface: bad domains", test_bad_domains },
	{ NULL, NULL },
};
