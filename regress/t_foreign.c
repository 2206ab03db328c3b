/**
 * DOC: Items of other writers in the store, under names of their own.  Runs
 * over loopback against the stand-in of the soak, with pages of one item.
 */

#include "platform.h"
#include "regress.h"
#include "soak.h"
#include "tcp.h"

#include <string.h>

#define S MH_US_PER_S
/* Longer than a start takes with a page for each of these items. */
#define START_US (2 * S)
#define OWN_NODE "e+0&a=%41#"

static const char *const names[] = { "a%#", "a%#zz", "a%00", "a%zz", "a%",
	"a&b=", "a&after=servers/zzz", "a&pathPrefix=x", "a+", "a b", " ", "+",
	"a#b", "a%C3%A9", "\xc3\xa9", "a\"q", "a?x=1", "a;b", "a=b", "a/b",
	"a\\n", "a\nev=x" };
static const char *const prefixes[] = { "servers/", "op/", "marlhoist/",
	"marlhoist/vm/" };
#define N_NAMES G_N_ELEMENTS(names)

/** struct forig - a store with foreign items, and what an entry reads of it. */
struct forig {
	struct mh_kern *k;
	struct mh_loop *l;
	struct mh_hcalls *calls;
	struct store *server;
	struct mh_fleet *f;
	struct plat_store *store;
	struct plat_view *v;
	struct plat_members *members;
	uint32_t listed; /* entries in the last whole list */
	uint64_t version; /* of the configuration in force */
	char *evacuated; /* failure domains, joined by commas */
	bool has_secret;
	uint32_t bad_lines; /* log lines that a name broke up */
	char *page_failed; /* last log line of a page that failed */
};

static void
on_conf(void *arg, struct mh_gconf *c)
{
	((struct forig *)arg)->version = c->version;
}

static void
on_evacuated(void *arg, const char *const *domains)
{
	struct forig *r = arg;

	g_free(r->evacuated);
	r->evacuated = g_strjoinv(",", (char **)(uintptr_t)domains);
}

static bool
yes(void *arg)
{
	(void)arg;
	return true;
}

static void
on_entries(void *arg, const GPtrArray *entries, bool whole)
{
	if (whole)
		((struct forig *)arg)->listed = entries->len;
}

static void
on_secret(void *arg, const char *text)
{
	(void)text;
	((struct forig *)arg)->has_secret = true;
}

static bool
is_alive(void *arg, const char *node)
{
	(void)arg;
	(void)node;
	return true;
}

static void
on_log(void *arg, const char *component, const char *line)
{
	struct forig *r = arg;

	(void)component;
	r->bad_lines += strpbrk(line, "\n\r") != NULL;
	if (strstr(line, "page-failed") != NULL) {
		g_free(r->page_failed);
		r->page_failed = g_strdup(line);
	}
}

static void
put(struct forig *r, const char *prefix, const char *name, const char *text)
{
	char *key = g_strconcat(prefix, name, NULL);

	store_put(r->server, key, text);
	g_free(key);
}

static void
put_usual(struct forig *r)
{
	store_put(r->server, "op/config",
	    "{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"s\"}]}");
	store_put(r->server, "op/evacuate/z9", "{}");
	store_put(r->server, "servers/i-1",
	    "{\"service\":\"s\",\"address\":\"10.0.0.2:80\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"capacity\":4,\"warmupLeftMs\":0,"
	    "\"sequence\":1,\"state\":\"ready\"}");
	store_put(r->server, "marlhoist/vm/e1", "{\"addr\":\"127.0.0.1:8\"}");
}

static void
open_rig(struct forig *r)
{
	memset(r, 0, sizeof(*r));
	r->k = mh_kern_create(1);
	mh_kern_set_log(r->k, on_log, r);
	r->l = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->l);
	r->server = store_create(r->l, "127.0.0.1");
	store_set_page(r->server, 1);
	r->f = mh_fleet_create(r->k);
	r->evacuated = g_strdup("");
	put_usual(r);
}

static void
start_entry(struct forig *r)
{
	struct plat_view_fns fns = { on_conf, on_evacuated, yes, yes, yes, r,
		2 * S, NULL };
	struct plat_member_fns member_fns = { on_entries, on_secret, yes, yes,
		is_alive, r, true };
	struct mh_member self = { (char *)OWN_NODE, (char *)"127.0.0.1:9", 1 };
	char addr[32];

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%u", store_port(r->server));
	r->store = plat_store_create(r->k, r->calls, addr);
	r->v = plat_view_create(r->k, r->store, r->f, &fns);
	r->members = plat_members_create(r->k, r->store, &self, &member_fns);
}

static void
close_rig(struct forig *r)
{
	plat_members_destroy(r->members);
	plat_view_destroy(r->v);
	plat_store_destroy(r->store);
	mh_fleet_destroy(r->f);
	mh_hcalls_destroy(r->calls);
	store_destroy(r->server);
	mh_loop_destroy(r->l);
	mh_kern_destroy(r->k);
	g_free(r->evacuated);
	g_free(r->page_failed);
}

static void
check_usual(struct forig *r)
{
	CU_ASSERT_TRUE(plat_view_ready(r->v));
	CU_ASSERT_EQUAL(r->version, 3);
	CU_ASSERT_STRING_EQUAL(r->evacuated, "z9");
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r->f, "i-1"));
	CU_ASSERT_TRUE(r->has_secret);
	CU_ASSERT_EQUAL(r->listed, 2); /* e1 and the entry itself */
	CU_ASSERT_EQUAL(store_malformed(r->server), 0);
	CU_ASSERT_EQUAL(r->bad_lines, 0);
	CU_ASSERT_PTR_NULL(r->page_failed);
}

/* Guards against a foreign name at the end of a page that hides later pages. */
static void
test_names_at_page_ends(void)
{
	for (size_t p = 0; p < G_N_ELEMENTS(prefixes); p++) {
		struct forig r;

		open_rig(&r);
		for (size_t i = 0; i < N_NAMES; i++)
			put(&r, prefixes[p], names[i], "{\"foreign\":1}");
		start_entry(&r);
		(void)run_with_timeout(r.k, r.l, START_US);
		check_usual(&r);
		close_rig(&r);
	}
}

/* Guards against a foreign row that is taken for an entry's. */
static void
test_names_with_rows(void)
{
	struct forig r;

	open_rig(&r);
	put(&r, "marlhoist/vm/", "a b", "{\"addr\":\"127.0.0.1:7\"}");
	put(&r, "marlhoist/vm/", "a\nb", "{\"addr\":\"127.0.0.1:7\"}");
	put(&r, "marlhoist/vm/", "", "{\"addr\":\"127.0.0.1:7\"}");
	start_entry(&r);
	(void)run_with_timeout(r.k, r.l, START_US);
	check_usual(&r);
	close_rig(&r);
}

/* Guards against a foreign name of the greatest length. */
static void
test_long_names(void)
{
	char name[193];
	struct forig r;

	open_rig(&r);
	memset(name, '%', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	put(&r, "servers/", name, "x");
	start_entry(&r);
	(void)run_with_timeout(r.k, r.l, START_US);
	check_usual(&r);
	close_rig(&r);
}

/* Guards against foreign names in changes that a watch reports. */
static void
test_names_in_watches(void)
{
	struct forig r;

	open_rig(&r);
	start_entry(&r);
	(void)run_with_timeout(r.k, r.l, START_US);
	for (size_t i = 0; i < N_NAMES; i++) {
		put(&r, "servers/", names[i], "x");
		put(&r, "op/", names[i], "x");
	}
	store_put(r.server, "op/evacuate/z8", "{}");
	(void)run_with_timeout(r.k, r.l, S);
	CU_ASSERT_STRING_EQUAL(r.evacuated, "z8,z9");
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r.f, "i-1"));
	CU_ASSERT_EQUAL(r.bad_lines, 0);
	close_rig(&r);
}

/* Guards against an item that can't be read and ends the page that it is on. */
static void
test_unreadable_items(void)
{
	static const char text[] =
	    "{\"items\":["
	    "{\"key\":\"servers/a\",\"value\":\"eA==\",\"revision\":1},"
	    "{\"key\":\"servers/a\\u0000b\",\"value\":\"eA==\"},"
	    "{\"key\":7},{\"value\":\"eA==\"},8,null,"
	    "{\"key\":\"servers/c\",\"value\":\"e\\u0000\"},"
	    "{\"key\":\"servers/d &\\u0000\",\"value\":\"eA==\"},{}],"
	    "\"hasMore\":true,\"asOf\":9}";
	json_t *page = json_loadb(text, strlen(text), JSON_ALLOW_NUL, NULL);
	json_t *all = json_object();
	char *after = NULL;

	CU_ASSERT_TRUE(plat_page_merge(all, page, &after));
	CU_ASSERT_EQUAL(json_object_size(all), 1);
	CU_ASSERT_PTR_NOT_NULL(json_object_get(all, "servers/a"));
	CU_ASSERT_STRING_EQUAL(after, "servers/d%20%26%00");
	/* The store has not gone on. */
	json_object_clear(all);
	CU_ASSERT_FALSE(plat_page_merge(all, page, &after));
	g_free(after);
	json_decref(all);
	json_decref(page);
}

const struct test tests_foreign[] = {
	{ "foreign: names at the ends of pages", test_names_at_page_ends },
	{ "foreign: names with rows of entries", test_names_with_rows },
	{ "foreign: a name of the greatest length", test_long_names },
	{ "foreign: names in watches", test_names_in_watches },
	{ "foreign: items that can't be read", test_unreadable_items },
	{ NULL, NULL },
};
