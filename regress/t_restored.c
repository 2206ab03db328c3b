/**
 * DOC: A store that was restored from a copy: its revisions go back and are
 * given out again, and what was written since the copy is missing until it is
 * written again.  Runs over loopback against the stand-in of the soak.
 */

#include "platform.h"
#include "regress.h"
#include "soak.h"
#include "tcp.h"

#include <string.h>

#define S MH_US_PER_S

/** struct rrig - a store, and what an entry reads of it. */
struct rrig {
	struct mh_kern *k;
	struct mh_loop *l;
	struct mh_hcalls *calls;
	struct store *server;
	struct proxy *proxy; /* before the server */
	struct mh_fleet *f;
	struct plat_store *store;
	struct plat_view *v;
	struct plat_members *members;
	char *secret; /* in base64 */
	uint32_t listed; /* entries in the last list */
	uint64_t version; /* of the configuration in force */
	bool went_back; /* it was once lower than before */
	char *evacuated; /* failure domains, joined by commas */
};

static void
on_conf(void *arg, struct mh_gconf *c)
{
	struct rrig *r = arg;

	r->went_back = r->went_back || c->version < r->version;
	r->version = c->version;
}

static void
on_evacuated(void *arg, const char *const *domains)
{
	struct rrig *r = arg;

	g_free(r->evacuated);
	r->evacuated = g_strjoinv(",", (char **)(uintptr_t)domains);
}

static void
ignore(void *arg, const struct plat_reply *r)
{
	(void)arg;
	(void)r;
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
	struct rrig *r = arg;

	if (whole)
		r->listed = entries->len;
}

static void
on_secret(void *arg, const char *text)
{
	struct rrig *r = arg;

	g_free(r->secret);
	r->secret = g_strdup(text);
}

static bool
is_alive(void *arg, const char *node)
{
	(void)arg;
	(void)node;
	return true;
}

static void
run(struct rrig *r, int64_t us)
{
	(void)run_with_timeout(r->k, r->l, us);
}

static void
put_conf(struct rrig *r, uint32_t version)
{
	char *text = g_strdup_printf("{\"version\":%u,\"routes\":[],"
				     "\"services\":[{\"name\":\"s\"}]}",
	    version);

	store_put(r->server, "op/config", text);
	g_free(text);
}

/* Other changes, which raise the revision. */
static void
change(struct rrig *r, uint32_t times)
{
	for (uint32_t i = 0; i < times; i++)
		store_put(r->server, "op/other", i % 2 == 0 ? "a" : "b");
}

static void
open_rig(struct rrig *r)
{
	struct plat_view_fns fns = { on_conf, on_evacuated, yes, yes, yes, r,
		2 * S, NULL };
	struct plat_member_fns member_fns = { on_entries, on_secret, yes, yes,
		is_alive, r, false };
	struct mh_member self = { (char *)"e0", (char *)"127.0.0.1:9", 1 };
	char addr[32];

	memset(r, 0, sizeof(*r));
	r->k = mh_kern_create(1);
	r->l = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->l);
	r->server = store_create(r->l, "127.0.0.1");
	r->proxy = proxy_create(r->l, "127.0.0.1", store_port(r->server));
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%u", proxy_port(r->proxy));
	r->f = mh_fleet_create(r->k);
	r->evacuated = g_strdup("");
	put_conf(r, 3);
	change(r, 5);
	store_copy(r->server); /* before the entry writes anything */
	r->store = plat_store_create(r->k, r->calls, addr);
	r->v = plat_view_create(r->k, r->store, r->f, &fns);
	r->members = plat_members_create(r->k, r->store, &self, &member_fns);
	run(r, S);
}

static void
close_rig(struct rrig *r)
{
	plat_members_destroy(r->members);
	plat_view_destroy(r->v);
	plat_store_destroy(r->store);
	mh_fleet_destroy(r->f);
	mh_hcalls_destroy(r->calls);
	proxy_destroy(r->proxy);
	store_destroy(r->server);
	mh_loop_destroy(r->l);
	mh_kern_destroy(r->k);
	g_free(r->evacuated);
	g_free(r->secret);
}

/* Guards against a configuration ignored because its revision is lower. */
static void
test_conf_of_a_lower_revision(void)
{
	struct rrig r;

	open_rig(&r);
	CU_ASSERT_EQUAL(r.version, 3);
	store_copy(r.server);
	change(&r, 9);
	put_conf(&r, 4);
	run(&r, S / 5);
	CU_ASSERT_EQUAL(r.version, 4);
	store_restore(r.server, 0, false);
	run(&r, S / 2);
	CU_ASSERT_EQUAL(r.version, 4);
	put_conf(&r, 4);
	put_conf(&r, 5);
	run(&r, S / 2);
	CU_ASSERT_EQUAL(r.version, 5);
	CU_ASSERT_FALSE(r.went_back);
	close_rig(&r);
}

/* Guards against readings without a pause after a restore. */
static void
test_readings_of_a_restore(void)
{
	struct rrig r;
	uint32_t reads;

	open_rig(&r);
	store_copy(r.server);
	change(&r, 9);
	store_put(r.server, "servers/x", "x");
	run(&r, S / 2);
	reads = store_reads(r.server, STORE_READ_ROWS);
	store_restore(r.server, 0, false);
	run(&r, 2 * S);
	CU_ASSERT(store_reads(r.server, STORE_READ_ROWS) - reads <= 2);
	close_rig(&r);
}

/* Guards against a change noticed only when a silent watch ends. */
static void
test_silent_connections(void)
{
	/* Just after a watch and a reading have begun. */
	for (int64_t after = 25 * S / 8; after < 27 * S / 8; after += S / 8) {
		struct rrig r;

		open_rig(&r);
		run(&r, after);
		proxy_stall(r.proxy);
		put_conf(&r, 4);
		run(&r, 3 * S / 2);
		CU_ASSERT_EQUAL(r.version, 4);
		close_rig(&r);
	}
}

#define START_MS INT64_C(1784044378752)

static void
put_row_of(struct rrig *r, const char *name, const char *state, int capacity,
    int64_t start_ms)
{
	char *key = g_strdup_printf("servers/%s", name);
	char *text = g_strdup_printf(
	    "{\"service\":\"s\",\"address\":\"10.0.0.2:80\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"capacity\":%d,\"warmupLeftMs\":0,"
	    "\"sequence\":1,\"state\":\"%s\",\"born\":%" PRId64 "}",
	    capacity, state, start_ms);

	store_put(r->server, key, text);
	g_free(text);
	g_free(key);
}

static void
put_row(struct rrig *r, const char *name, const char *state, int capacity)
{
	put_row_of(r, name, state, capacity, START_MS);
}

static const struct mh_node *
find_endpoint(const struct mh_fleet *f, const char *name)
{
	char *id = g_strdup_printf("%s@1784044378752", name);
	const struct mh_node *n = mh_fleet_find((struct mh_fleet *)f, id);

	g_free(id);
	return n;
}

static bool
is_draining(const struct mh_fleet *f, const char *name)
{
	const struct mh_node *n = find_endpoint(f, name);

	return n != NULL && n->draining;
}

/*
 * Guards against a change that has the revision of another one before: no watch
 * from there shows it.
 */
static void
test_conf_of_the_same_revision(void)
{
	struct rrig r;

	open_rig(&r);
	store_copy(r.server);
	change(&r, 9);
	run(&r, S / 5);
	store_restore(r.server, 0, false);
	put_conf(&r, 5);
	change(&r, 8);
	run(&r, S / 2);
	CU_ASSERT_EQUAL(r.version, 5);
	close_rig(&r);
}

/* Guards against work for endpoints that are ready again in a copy alone. */
static void
test_leaving_endpoints(void)
{
	struct rrig r;

	open_rig(&r);
	put_row(&r, "a", "ready", 4);
	put_row(&r, "b", "ready", 4);
	run(&r, S / 2);
	store_copy(r.server);
	put_row(&r, "a", "draining", 4);
	store_remove(r.server, "servers/b");
	run(&r, S / 2);
	CU_ASSERT_TRUE(is_draining(r.f, "a"));
	CU_ASSERT_PTR_NULL(find_endpoint(r.f, "b"));
	for (int i = 0; i < 2; i++) {
		store_restore(r.server, 0, false);
		run(&r, S / 2);
		CU_ASSERT_TRUE(is_draining(r.f, "a"));
		CU_ASSERT_PTR_NULL(find_endpoint(r.f, "b"));
	}
	put_row(&r, "a", "draining", 4);
	put_row(&r, "b", "ready", 5);
	run(&r, S / 2);
	CU_ASSERT_TRUE(is_draining(r.f, "a"));
	CU_ASSERT_PTR_NOT_NULL(find_endpoint(r.f, "b"));
	close_rig(&r);
}

/* Guards against an endpoint that is taken for its start before the copy. */
static void
test_endpoint_started_again(void)
{
	static const char later[] = "a@1784044378754";
	struct rrig r;

	open_rig(&r);
	put_row(&r, "a", "ready", 4);
	run(&r, S / 2);
	store_copy(r.server);
	put_row_of(&r, "a", "ready", 4, START_MS + 1);
	run(&r, S / 2);
	put_row_of(&r, "a", "ready", 4, START_MS + 2);
	run(&r, S / 2);
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r.f, later));
	for (int i = 0; i < 2; i++) {
		store_restore(r.server, 0, false);
		run(&r, S / 2);
		CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r.f, later));
		CU_ASSERT_PTR_NULL(find_endpoint(r.f, "a"));
	}
	put_row_of(&r, "a", "ready", 4, START_MS + 2);
	run(&r, 5 * S / 2);
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r.f, later));
	close_rig(&r);
}

/* Guards against an endpoint that is gone because the copy lacks it. */
static void
test_endpoint_of_later(void)
{
	struct rrig r;

	open_rig(&r);
	store_copy(r.server);
	put_row(&r, "c", "ready", 4);
	put_row(&r, "d", "ready", 4);
	run(&r, S / 2);
	store_restore(r.server, 0, false);
	run(&r, S / 2);
	CU_ASSERT_PTR_NOT_NULL(find_endpoint(r.f, "c"));
	put_row(&r, "c", "ready", 4);
	run(&r, 5 * S / 2);
	CU_ASSERT_PTR_NOT_NULL(find_endpoint(r.f, "c"));
	CU_ASSERT_PTR_NULL(find_endpoint(r.f, "d"));
	close_rig(&r);
}

/* Guards against evacuations that end, or begin again, by a copy alone. */
static void
test_evacuations(void)
{
	struct rrig r;

	open_rig(&r);
	store_put(r.server, "op/evacuate/x", "{}");
	store_copy(r.server);
	store_put(r.server, "op/evacuate/y", "{}");
	store_put(r.server, "op/evacuate/z", "{}");
	store_remove(r.server, "op/evacuate/x");
	run(&r, S / 2);
	CU_ASSERT_STRING_EQUAL(r.evacuated, "y,z");
	store_restore(r.server, 0, false);
	run(&r, S / 2);
	CU_ASSERT_STRING_EQUAL(r.evacuated, "y,z");
	/* Written again, and changed since. */
	store_put(r.server, "op/evacuate/y", "{}");
	store_put(r.server, "op/evacuate/z", "{}");
	store_remove(r.server, "op/evacuate/z");
	run(&r, S / 2);
	CU_ASSERT_STRING_EQUAL(r.evacuated, "y");
	run(&r, 5 * S / 2);
	CU_ASSERT_STRING_EQUAL(r.evacuated, "x,y");
	close_rig(&r);
}

/* The secret that an entry gets which starts now; g_free() it. */
static char *
secret_of_a_start(struct rrig *r)
{
	struct rrig later = { 0 };
	const struct plat_member_fns fns = { on_entries, on_secret, yes, yes,
		is_alive, &later, false };
	struct mh_member self = { (char *)"e1", (char *)"127.0.0.1:8", 1 };
	struct plat_members *m =
	    plat_members_create(r->k, r->store, &self, &fns);

	run(r, S);
	plat_members_destroy(m);
	return later.secret;
}

/* Guards against two secrets, with which entries can't link to each other. */
static void
test_secret_of_later(void)
{
	for (int other = 0; other < 2; other++) {
		struct rrig r;
		char *secret;

		open_rig(&r);
		CU_ASSERT_PTR_NOT_NULL_FATAL(r.secret);
		store_restore(r.server, 0, false);
		CU_ASSERT_FALSE(store_has(r.server, "marlhoist/secret"));
		if (other != 0)
			store_put(r.server, "marlhoist/secret", "another");
		run(&r, S / 2);
		CU_ASSERT_TRUE(store_has(r.server, "marlhoist/vm/e0"));
		/* Pages of entries are read stale, 2 s old. */
		run(&r, 2 * S);
		secret = secret_of_a_start(&r);
		CU_ASSERT_EQUAL(g_strcmp0(secret, r.secret), 0);
		g_free(secret);
		close_rig(&r);
	}
}

/* Guards against a secret made by an entry that starts after the restore. */
static void
test_start_without_a_secret(void)
{
	struct rrig r;
	char *secret;

	open_rig(&r);
	plat_members_destroy(r.members);
	r.members = NULL;
	store_put(r.server, "marlhoist/vm/e2", "{\"addr\":\"127.0.0.1:7\"}");
	store_put(r.server, "marlhoist/vm/e3", "{\"addr\":\"127.0.0.1:6\"}");
	store_remove(r.server, "marlhoist/secret");
	run(&r, 2 * S);
	secret = secret_of_a_start(&r);
	CU_ASSERT_PTR_NULL(secret);
	CU_ASSERT_FALSE(store_has(r.server, "marlhoist/secret"));
	g_free(secret);
	close_rig(&r);
}

/*
 * Guards against an entry that starts after the restore and gives work to an
 * endpoint that the others know to drain.
 */
static void
test_start_after_a_restore(void)
{
	struct plat_view_fns fns = { on_conf, on_evacuated, yes, yes, yes, NULL,
		2 * S, NULL };
	struct rrig r, later = { 0 };
	struct mh_fleet *f;
	struct plat_view *v;
	struct plat_store *store;
	char addr[32];
	GBytes *text;

	open_rig(&r);
	put_row(&r, "a", "ready", 4);
	store_copy(r.server);
	put_row(&r, "a", "draining", 4);
	run(&r, S / 2);
	store_restore(r.server, 0, false);
	run(&r, S / 2);
	fns.arg = &later;
	f = mh_fleet_create(r.k);
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%u", store_port(r.server));
	store = plat_store_create(r.k, r.calls, addr);
	v = plat_view_create(r.k, store, f, &fns);
	plat_store_call(
	    store, "GET", "/kv-key?key=op/config", NULL, S, ignore, NULL);
	run(&r, S);
	CU_ASSERT_PTR_NOT_NULL(find_endpoint(f, "a"));
	CU_ASSERT(plat_view_known_era(v) < plat_view_held_era(r.v));
	text = plat_view_rows_text(r.v, plat_view_rows_base(v));
	plat_view_receive_rows(v, plat_view_rows_rev(r.v),
	    g_bytes_get_data(text, NULL), g_bytes_get_size(text));
	CU_ASSERT_TRUE(is_draining(f, "a"));
	CU_ASSERT_EQUAL(plat_view_known_era(v), plat_view_held_era(r.v));
	g_bytes_unref(text);
	plat_view_destroy(v);
	plat_store_destroy(store);
	mh_fleet_destroy(f);
	g_free(later.evacuated);
	close_rig(&r);
}

/* Guards against all rows sent to peers again, and differences by revision. */
static void
test_rows_for_peers(void)
{
	struct rrig r;
	struct mh_rev before, far;
	GBytes *text;
	const char *all;

	open_rig(&r);
	put_row(&r, "a", "ready", 4);
	put_row(&r, "b", "ready", 4);
	store_copy(r.server);
	put_row(&r, "b", "ready", 5);
	run(&r, S / 2);
	before = plat_view_rows_rev(r.v);
	store_restore(r.server, 0, false);
	run(&r, S / 2);
	CU_ASSERT(mh_rev_cmp(plat_view_rows_rev(r.v), before) > 0);
	text = plat_view_rows_text(r.v, before);
	all = g_bytes_get_data(text, NULL);
	CU_ASSERT_PTR_NULL(strstr(all, "servers/a"));
	CU_ASSERT_PTR_NOT_NULL(strstr(all, "servers/b"));
	g_bytes_unref(text);
	/* A peer that has read more of the earlier era gets all. */
	far = before;
	far.revision++;
	text = plat_view_rows_text(r.v, far);
	all = g_bytes_get_data(text, NULL);
	CU_ASSERT_PTR_NOT_NULL(strstr(all, "servers/a"));
	g_bytes_unref(text);
	close_rig(&r);
}

/* Guards against a list that is shorter because the copy lacks entries. */
static void
test_entries_of_later(void)
{
	struct rrig r;

	open_rig(&r);
	store_copy(r.server);
	store_put(r.server, "marlhoist/vm/e1",
	    "{\"addr\":\"127.0.0.1:8\",\"weight\":1.000}");
	run(&r, 5 * S / 2);
	CU_ASSERT_EQUAL(r.listed, 2);
	store_restore(r.server, 0, false);
	run(&r, S);
	CU_ASSERT_EQUAL(r.listed, 2);
	run(&r, 4 * S);
	CU_ASSERT_EQUAL(r.listed, 1);
	close_rig(&r);
}

const struct test tests_restored[] = {
	{ "restored: a configuration of a lower revision",
	    test_conf_of_a_lower_revision },
	{ "restored: readings", test_readings_of_a_restore },
	{ "restored: a configuration of the same revision",
	    test_conf_of_the_same_revision },
	{ "restored: endpoints that leave", test_leaving_endpoints },
	{ "restored: an endpoint that started again",
	    test_endpoint_started_again },
	{ "restored: an endpoint that the copy lacks", test_endpoint_of_later },
	{ "restored: evacuations", test_evacuations },
	{ "restored: an entry that starts after it",
	    test_start_after_a_restore },
	{ "restored: rows for peers", test_rows_for_peers },
	{ "restored: entries that the copy lacks", test_entries_of_later },
	{ "restored: the secret that the copy lacks", test_secret_of_later },
	{ "restored: a start without a secret", test_start_without_a_secret },
	{ "store: a change behind silent connections",
	    test_silent_connections },
	{ NULL, NULL },
};
