/**
 * DOC: The registry of endpoints: rows written by endpoints and by other
 * programs, rows exchanged between entries, endpoints that restart.
 */

#include "entries.h"
#include "platform.h"
#include "regress.h"
#include "viewint.h"
#include "world.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define START_MS 1784044378752 /* start time of an endpoint */

/* rows, one by one */

static const char good_row[] =
    "{\"service\":\"s\",\"address\":\"10.0.0.2:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"capacity\":64,\"state\":\"draining\","
    "\"warmupLeftMs\":5,\"sequence\":4,\"born\":1784044378752}";

static void
test_row(void)
{
	struct plat_row *r =
	    plat_row_decode("i", good_row, strlen(good_row), NULL);

	if (r == NULL) {
		CU_FAIL("a valid row was refused");
		return;
	}
	CU_ASSERT_STRING_EQUAL(r->name, "i");
	CU_ASSERT_STRING_EQUAL(r->pool, "s");
	CU_ASSERT_STRING_EQUAL(r->domain, "z");
	CU_ASSERT_EQUAL(r->capacity, 64);
	CU_ASSERT_EQUAL(r->start_ms, START_MS);
	CU_ASSERT_TRUE(r->draining);
	CU_ASSERT_EQUAL(r->warm_us, 5 * MS);
	plat_row_free(r);
}

/** struct foreign - a change that makes a row invalid. */
struct foreign {
	const char *from;
	const char *to;
	const char *names; /* field that the error must name */
};

static const struct foreign foreigns[] = {
	{ "\"service\":\"s\",", "", "service" },
	{ "\"service\":\"s\"", "\"service\":7", "service" },
	{ "\"service\":\"s\"", "\"service\":\"\"", "service" },
	{ "\"address\":\"10.0.0.2:80\",", "", "address" },
	{ "\"10.0.0.2:80\"", "\"10.0.0.2\"", "address" },
	{ "\"10.0.0.2:80\"", "\"10.0.0.2:0\"", "address" },
	{ "\"10.0.0.2:80\"", "[\"10.0.0.2:80\"]", "address" },
	{ "\"zone\":\"z\",", "", "zone" },
	{ "\"zone\":\"z\"", "\"zone\":null", "zone" },
	{ "\"version\":\"v1\",", "", "version" },
	{ "\"version\":\"v1\"", "\"version\":1", "version" },
	{ "\"capacity\":64,", "", "capacity" },
	{ "\"capacity\":64", "\"capacity\":\"64\"", "capacity" },
	{ "\"capacity\":64", "\"capacity\":0", "capacity" },
	{ "\"capacity\":64", "\"capacity\":-1", "capacity" },
	{ "\"capacity\":64", "\"capacity\":1.5", "capacity" },
	{ "\"capacity\":64", "\"capacity\":9999999999", "capacity" },
	{ "\"state\":\"draining\",", "", "state" },
	{ "\"draining\"", "\"parked\"", "state" },
	{ "\"draining\"", "true", "state" },
	{ "\"warmupLeftMs\":5,", "", "warmupLeftMs" },
	{ "\"warmupLeftMs\":5", "\"warmupLeftMs\":-5", "warmupLeftMs" },
	{ "\"warmupLeftMs\":5", "\"warmupLeftMs\":1e300", "warmupLeftMs" },
	{ "\"sequence\":4,", "", "sequence" },
	{ "\"sequence\":4", "\"sequence\":\"4\"", "sequence" },
	{ "1784044378752", "1784044378752.5", "born" },
	{ "1784044378752", "\"1784044378752\"", "born" },
	{ "1784044378752", "0", "born" },
	{ "1784044378752", "null", "born" },
	{ "{\"service\"", "[{\"service\"", "JSON" },
	{ "\"zone\":\"z\"", "\"zone\":\"\xff\"", "JSON" },
	{ "}", "", "JSON" },
};

/*
 * Another program writes rows of its own into the registry.  A row without a
 * state was used as a ready endpoint, one with a quoted capacity as an endpoint
 * with a single slot, and requests went to addresses where nothing served them.
 */
static void
test_foreign_rows(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(foreigns); i++) {
		gchar **parts = g_strsplit(good_row, foreigns[i].from, 2);
		char *text = g_strjoinv(foreigns[i].to, parts);
		GError *err = NULL;

		CU_ASSERT_EQUAL(g_strv_length(parts), 2);
		CU_ASSERT_PTR_NULL(
		    plat_row_decode("i", text, strlen(text), &err));
		if (err == NULL) {
			CU_FAIL("no error was set");
			return;
		}
		CU_ASSERT_PTR_NOT_NULL(strstr(err->message, foreigns[i].names));
		g_error_free(err);
		g_free(text);
		g_strfreev(parts);
	}
}

/* Names go into a header of each request: "i\r\nX: y" would add a header. */
static void
test_foreign_names(void)
{
	static const char *const names[] = { "", "a b", "a\r\nX: y", "a@5",
		"\xc3\xa9" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		GError *err = NULL;

		CU_ASSERT_PTR_NULL(plat_row_decode(
		    names[i], good_row, strlen(good_row), &err));
		CU_ASSERT_PTR_NOT_NULL(err);
		g_clear_error(&err);
	}
	CU_ASSERT_PTR_NULL(plat_row_decode("i", NULL, 0, NULL));
}

/* Any bytes are either decoded or refused with an error. */
static void
test_rows_mutated(void)
{
	struct mh_kern *k = mh_kern_create(11);
	char text[sizeof(good_row)];
	uint32_t read = 0;

	for (int i = 0; i < 20000; i++) {
		size_t len = strlen(good_row);
		struct plat_row *r;
		GError *err = NULL;

		memcpy(text, good_row, sizeof(text));
		for (int n = 0; n < 1 + i % 3; n++)
			text[(size_t)(mh_random_unit(k) * (double)len)] =
			    (char)(mh_random_unit(k) * 256);
		r = plat_row_decode("i", text, len, &err);
		CU_ASSERT_EQUAL(r == NULL, err != NULL);
		if (r != NULL) {
			CU_ASSERT(r->capacity >= 1 && r->start_ms >= 0);
			read++;
		}
		plat_row_free(r);
		g_clear_error(&err);
	}
	CU_ASSERT(read > 100);
	mh_kern_destroy(k);
}

/* rows exchanged between entries */

static char *
item_of(const char *id, uint64_t revision, const char *row)
{
	char *value = g_base64_encode((const guchar *)row, strlen(row));
	char *item = g_strdup_printf("{\"key\":\"servers/%s\",\"value\":"
				     "\"%s\",\"revision\":%" PRIu64 "}",
	    id, value, revision);

	g_free(value);
	return item;
}

static char *
row_item(const char *id, uint64_t revision, bool leaving)
{
	char *row = g_strdup_printf("{\"service\":\"s\",\"address\":"
				    "\"10.0.0.2:80\",\"zone\":\"z\","
				    "\"version\":\"v1\",\"capacity\":4,"
				    "\"warmupLeftMs\":0,\"sequence\":1,"
				    "\"state\":\"%s\"}",
	    leaving ? "draining" : "ready");
	char *item = item_of(id, revision, row);

	g_free(row);
	return item;
}

static void
receive(struct plat_view *v, uint64_t revision, uint64_t since,
    const char *items, const char *removals, int count)
{
	char *text = g_strdup_printf("{\"items\":[%s],\"gone\":[%s],"
				     "\"since\":%" PRIu64 ",\"count\":%d}",
	    items, removals, since, count);

	plat_view_receive_rows(v, REV(revision), text, strlen(text));
	g_free(text);
}

static void
no_evacuated(void *arg, const char *const *domains)
{
	(void)arg;
	(void)domains;
}

static bool
return_false(void *arg)
{
	(void)arg;
	return false;
}

static void
no_conf(void *arg, struct mh_gconf *c)
{
	(void)arg;
	(void)c;
}

/** struct vrig - a view of the registry that receives its rows from peers. */
struct vrig {
	struct mh_kern *k;
	struct mh_loop *l;
	struct mh_hcalls *calls;
	struct mh_fleet *f;
	struct plat_store *store;
	struct plat_view *v;
};

static void
open_view(struct vrig *r)
{
	struct plat_view_fns fns = { no_conf, no_evacuated, return_false,
		return_false, return_false, NULL, 2 * S, NULL };

	r->k = mh_kern_create(1);
	r->l = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->l);
	r->f = mh_fleet_create(r->k);
	r->store = plat_store_create(r->k, r->calls, "127.0.0.1:1");
	r->v = plat_view_create(r->k, r->store, r->f, &fns);
}

static void
close_view(struct vrig *r)
{
	plat_view_destroy(r->v);
	plat_store_destroy(r->store);
	mh_fleet_destroy(r->f);
	mh_hcalls_destroy(r->calls);
	mh_loop_destroy(r->l);
	mh_kern_destroy(r->k);
}

/*
 * If a row changes, only that row is sent to peers.  If it doesn't fit the rows
 * that a peer has, the peer requests all rows, so that no draining endpoint is
 * missed.
 */
static void
test_registry_changes(void)
{
	struct vrig r;
	struct plat_view *v;
	struct mh_fleet *f;
	char *a = row_item("a", 3, false), *b = row_item("b", 4, false);
	char *both = g_strdup_printf("%s,%s", a, b);
	char *left = row_item("b", 6, true), *c = row_item("c", 8, false);
	GBytes *text;

	open_view(&r);
	v = r.v;
	f = r.f;
	receive(v, 5, 0, both, "", 2);
	CU_ASSERT_EQUAL(mh_fleet_size(f), 2);
	CU_ASSERT_EQUAL(plat_view_rows_base(v).revision, 5);
	receive(v, 6, 5, left, "", 2);
	CU_ASSERT_TRUE(mh_fleet_find(f, "b")->draining);
	CU_ASSERT_FALSE(mh_fleet_find(f, "a")->draining);
	receive(v, 8, 6, c, "{\"key\":\"servers/b\",\"revision\":7}", 2);
	CU_ASSERT_PTR_NULL(mh_fleet_find(f, "b"));
	CU_ASSERT_EQUAL(mh_fleet_size(f), 2);
	receive(v, 7, 0, both, "", 2); /* older rows change nothing */
	CU_ASSERT_EQUAL(mh_fleet_size(f), 2);
	receive(v, 9, 8, left, "", 5); /* removed later; wrong count */
	CU_ASSERT_PTR_NULL(mh_fleet_find(f, "b"));
	CU_ASSERT_EQUAL(plat_view_rows_base(v).revision, 0);
	CU_ASSERT_EQUAL(mh_fleet_size(f), 2);
	receive(v, 10, 0, both, "", 2);
	CU_ASSERT_EQUAL(plat_view_rows_base(v).revision, 10);
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(f, "b"));
	text = plat_view_rows_text(v, REV(5));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(g_bytes_get_data(text, NULL), "servers/c"));
	g_bytes_unref(text);
	g_free(a);
	g_free(b);
	g_free(both);
	g_free(left);
	g_free(c);
	close_view(&r);
}

/* Guards against a change of one row that is sent with hundreds of others. */
static void
test_registry_change_sent_alone(void)
{
	static const uint32_t sizes[] = { 100, 400 };
	size_t bytes[2];

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		uint32_t n = sizes[i];
		GString *all = g_string_new(NULL);
		char *changed = row_item("r0", n + 1, true);
		struct vrig r;
		GBytes *text;

		for (uint32_t k = 0; k < n; k++) {
			char name[16], *one;

			g_snprintf(name, sizeof(name), "r%u", k);
			one = row_item(name, k + 1, false);
			g_string_append_printf(
			    all, "%s%s", k > 0 ? "," : "", one);
			g_free(one);
		}
		open_view(&r);
		receive(r.v, n, 0, all->str, "", n);
		receive(r.v, n + 1, n, changed, "", n);
		text = plat_view_rows_text(r.v, REV(n));
		bytes[i] = g_bytes_get_size(text);
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(g_bytes_get_data(text, NULL), "\"servers/r0\""));
		g_bytes_unref(text);
		close_view(&r);
		g_string_free(all, TRUE);
		g_free(changed);
	}
	CU_ASSERT(bytes[1] < bytes[0] + 16);
}

static void
advance(struct vrig *r, int64_t us)
{
	mh_kern_advance(r->k, mh_now(r->k) + us, mh_wall(r->k) + us);
}

/*
 * The store rejected an entry's calls for ten seconds.  Meanwhile an endpoint
 * left and its row was removed.  After the outage the entry kept the row for
 * 2.2 s, as it might only have lapsed, but then checked it only when the
 * registry changed again.  The endpoint still got requests 4.4 s after it had
 * announced that it leaves:
 *	18.453 store-regained away_ms=10340
 *	21.612 registry-from-peer revision=354 since=353
 *	21.612 endpoint-gone
 */
static void
test_lapsed_row_removed(void)
{
	struct vrig r;
	char *a = row_item("a", 3, false), *b = row_item("b", 4, false);
	char *both = g_strdup_printf("%s,%s", a, b);

	open_view(&r);
	receive(r.v, 5, 0, both, "", 2);
	plat_view_note_store(r.v, false);
	advance(&r, 10 * S);
	plat_view_note_store(r.v, true);
	receive(r.v, 6, 0, a, "", 1);
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r.f, "b"));
	for (int i = 0; i < 30; i++) {
		advance(&r, 100 * MS);
		plat_view_rows_unchanged(r.v, 0); /* a peer has just read it */
	}
	CU_ASSERT_PTR_NULL(mh_fleet_find(r.f, "b"));
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r.f, "a"));
	CU_ASSERT_EQUAL(plat_view_rows_rev(r.v).revision, 6);
	g_free(a);
	g_free(b);
	g_free(both);
	close_view(&r);
}

/** struct lapse - what an entry learns of an outage, and when. */
struct lapse {
	int64_t confirm_from_us; /* peers confirm the rows from then on */
	int64_t noticed_us; /* the store answers the entry itself; 0: not */
	int64_t removed_us; /* a row is missing in a peer's rows */
	int64_t kept_until_us; /* of that row */
};

/* The store fails the entry's calls from 0.1 s on. */
static void
play_lapse(const struct lapse *t)
{
	char *a = row_item("a", 3, false), *b = row_item("b", 4, false);
	char *both = g_strdup_printf("%s,%s", a, b);
	struct vrig r;

	open_view(&r);
	receive(r.v, 5, 0, both, "", 2);
	advance(&r, 100 * MS);
	plat_view_note_store(r.v, false);
	for (int64_t us = 0; us < 12 * S; us += 50 * MS) {
		if (us >= t->confirm_from_us)
			plat_view_rows_unchanged(r.v, 10 * MS);
		if (us == t->noticed_us && us > 0)
			plat_view_note_store(r.v, true);
		if (us == t->removed_us)
			receive(r.v, 6, 0, a, "", 1);
		CU_ASSERT_EQUAL(mh_fleet_find(r.f, "b") != NULL,
		    us < MAX(t->kept_until_us, t->removed_us));
		advance(&r, 50 * MS);
	}
	g_free(a);
	g_free(b);
	g_free(both);
	close_view(&r);
}

/* Guards against rows kept for as long after an outage that is noticed late. */
static void
test_outage_noticed_late(void)
{
	static const struct lapse all[] = {
		{ 4500 * MS, 8 * S, 8 * S, 0 },
		{ 4500 * MS, 8 * S, 7950 * MS, 0 },
		{ 4500 * MS, 0, 8 * S, 0 },
		{ 4500 * MS, 6 * S, 6 * S, 6700 * MS },
		/* Missing as soon as the store answers again. */
		{ 4500 * MS, 0, 4500 * MS, 6700 * MS },
		{ 4500 * MS, 4500 * MS, 4500 * MS, 6700 * MS },
		/* Only the entry itself was kept from the store. */
		{ 0, 8 * S, 8 * S, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		play_lapse(&all[i]);
}

/* A row with the start time of its endpoint; 0: without. */
static char *
item_with_start(
    const char *id, uint64_t revision, int64_t start_ms, const char *state)
{
	char *start = start_ms == 0
	    ? g_strdup("")
	    : g_strdup_printf(",\"born\":%" PRId64, start_ms);
	char *row = g_strdup_printf(
	    "{\"service\":\"s\",\"address\":\"10.0.0.2:80\","
	    "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":4,"
	    "\"warmupLeftMs\":0,\"sequence\":1,\"state\":\"%s\"%s}",
	    state, start);
	char *item = item_of(id, revision, row);

	g_free(start);
	g_free(row);
	return item;
}

static void
receive_two(struct plat_view *v, uint64_t revision, char *a, char *b)
{
	char *both = g_strdup_printf("%s,%s", a, b);

	receive(v, revision, 0, both, "", 2);
	g_free(a);
	g_free(b);
	g_free(both);
}

/*
 * Another program overwrites an endpoint's row, on the same page as a valid
 * row.  The valid row stays in use; the other endpoint returns when its row is
 * valid again.  The error is logged once per revision, not with each reading.
 */
static void
test_foreign_row_in_a_reading(void)
{
	struct vrig r;

	open_view(&r);
	receive_two(r.v, 5, item_with_start("a", 3, START_MS, "ready"),
	    item_with_start("b", 4, START_MS, "ready"));
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 2);
	for (uint64_t at = 6; at < 9; at++)
		receive_two(r.v, at, item_with_start("a", 3, START_MS, "ready"),
		    item_of("b", 6, "\x01\x02"));
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 1);
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(r.f, "a@1784044378752"));
	CU_ASSERT_EQUAL(mh_counter(r.k, "registry_rows_refused"), 1);
	receive_two(r.v, 10, item_with_start("a", 3, START_MS, "ready"),
	    item_with_start("b", 9, START_MS, "parked"));
	CU_ASSERT_EQUAL(mh_counter(r.k, "registry_rows_refused"), 2);
	receive_two(r.v, 12, item_with_start("a", 3, START_MS, "ready"),
	    item_with_start("b", 11, START_MS, "ready"));
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 2);
	close_view(&r);
}

/*
 * Guards against a row of a service that isn't configured, at the address of a
 * healthy endpoint: results at that endpoint were freed under the row's name.
 */
static void
test_row_of_unknown_service(void)
{
	static const char conf[] =
	    "{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"t\"}]}";
	static const char both[] =
	    "{\"version\":4,\"routes\":[],\"services\":[{\"name\":\"t\"},"
	    "{\"name\":\"s\"}]}";
	struct vrig r;

	open_view(&r);
	receive_two(r.v, 5, item_with_start("a", 3, START_MS, "ready"),
	    item_with_start("b", 4, START_MS, "ready"));
	plat_view_receive_conf(r.v, REV(6), conf, strlen(conf));
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 0);
	CU_ASSERT_EQUAL(mh_counter(r.k, "registry_rows_refused"), 2);
	receive_two(r.v, 7, item_with_start("a", 3, START_MS, "ready"),
	    item_with_start("b", 4, START_MS, "ready"));
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 0);
	CU_ASSERT_EQUAL(mh_counter(r.k, "registry_rows_refused"), 2);
	plat_view_receive_conf(r.v, REV(8), both, strlen(both));
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 2);
	close_view(&r);
}

/*
 * A row that lacks only the start time is refused if the other rows have one,
 * and valid if no row has one.
 */
static void
test_row_without_start(void)
{
	struct vrig r;

	open_view(&r);
	receive_two(r.v, 5, item_with_start("a", 3, 0, "ready"),
	    item_with_start("b", 4, 0, "ready"));
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 2);
	receive(r.v, 9, 0, "", "", 0);
	for (uint64_t at = 10; at < 12; at++) {
		char *a = item_with_start("a", 6, START_MS, "ready");
		char *b = item_with_start("b", 7, START_MS, "ready");
		char *c = item_with_start("c", 8, 0, "ready");
		char *all = g_strdup_printf("%s,%s,%s", a, b, c);

		receive(r.v, at, 0, all, "", 3);
		g_free(a);
		g_free(b);
		g_free(c);
		g_free(all);
	}
	CU_ASSERT_EQUAL(mh_fleet_size(r.f), 2);
	CU_ASSERT_EQUAL(mh_counter(r.k, "registry_rows_refused"), 1);
	close_view(&r);
}

/* endpoints that restart */

static void
list_one(struct mh_fleet *f, int64_t start_ms, bool leaving)
{
	struct mh_listing l = { "i", start_ms, "pool", "10.0.0.2:80", "z", 4,
		leaving, 0, NULL };

	mh_fleet_begin(f);
	mh_fleet_list(f, &l);
	mh_fleet_end(f);
}

static void
count_end(void *arg, const char *id)
{
	(void)id;
	(*(uint32_t *)arg)++;
}

/*
 * A draining endpoint with failures crashes and restarts under the same id.
 * While it was treated as the same process, it stayed excluded, and got prompts
 * because of a prompt cache that it had lost.
 */
static void
test_restart_same_id(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct mh_fleet *f = mh_fleet_create(k);
	struct mh_place *p = mh_place_create(k, f);
	struct mh_place_request a = {
		.pool = "pool", .n_parts = 2, .parts = { { 1, 100 }, { 2, 10 } }
	};
	struct mh_node *n;
	uint32_t removals = 0, ended = 0;
	uint64_t kept;

	mh_fleet_on_removed(f, count_end, &removals);
	mh_fleet_on_restart(f, count_end, &ended);
	list_one(f, START_MS, false);
	list_one(f, START_MS, true);
	n = mh_fleet_find(f, "i@1784044378752");
	if (n == NULL) {
		CU_FAIL("the endpoint is not listed");
		return;
	}
	CU_ASSERT_TRUE(n->draining);
	kept = n->cache_hash;
	mh_place_sent(p, &a, n);
	mh_node_failed(f, n, "test");
	mh_node_set_load(f, n, 3, 4, 5);
	n->inflight = 2;
	list_one(f, START_MS + 9000, false);
	CU_ASSERT_EQUAL(removals, 1);
	CU_ASSERT_EQUAL(ended, 1);
	CU_ASSERT_EQUAL(mh_fleet_size(f), 1);
	CU_ASSERT_PTR_NULL(mh_fleet_find(f, "i@1784044378752"));
	n = mh_fleet_find_addr(f, "10.0.0.2:80");
	if (n == NULL) {
		CU_FAIL("the endpoint is not listed");
		return;
	}
	CU_ASSERT_STRING_EQUAL(n->name, "i");
	CU_ASSERT_FALSE(n->draining);
	CU_ASSERT_EQUAL(n->inflight, 0);
	CU_ASSERT_EQUAL(n->streak, 0);
	CU_ASSERT_EQUAL(n->load_at_us, 0);
	CU_ASSERT(n->cache_hash != kept);
	mh_place_destroy(p);
	mh_fleet_destroy(f);
	mh_kern_destroy(k);
}

/*
 * The endpoint's own report shows the restart before its row does.  The old
 * row, read once more, must not restore the former process.  The new start time
 * may be earlier, if the clock was set back.
 */
static void
test_restart_reported(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct mh_fleet *f = mh_fleet_create(k);
	uint32_t ended = 0;

	mh_fleet_on_restart(f, count_end, &ended);
	list_one(f, START_MS, true);
	mh_fleet_set_start(f, "i@1784044378752", START_MS);
	CU_ASSERT_EQUAL(ended, 0);
	mh_fleet_set_start(f, "i@1784044378752", START_MS - 4000);
	CU_ASSERT_EQUAL(ended, 1);
	CU_ASSERT_PTR_NOT_NULL(mh_fleet_find(f, "i@1784044374752"));
	list_one(f, START_MS, true);
	CU_ASSERT_FALSE(mh_fleet_find_addr(f, "10.0.0.2:80")->draining);
	CU_ASSERT_EQUAL(ended, 1);
	list_one(f, START_MS - 4000, false);
	CU_ASSERT_EQUAL(ended, 1);
	list_one(f, START_MS + 1, false);
	CU_ASSERT_EQUAL(ended, 2);
	CU_ASSERT_EQUAL(mh_fleet_size(f), 1);
	mh_fleet_set_start(f, "i@1784044378752", START_MS + 5); /* outdated */
	CU_ASSERT_EQUAL(ended, 2);
	mh_fleet_destroy(f);
	mh_kern_destroy(k);
}

/*
 * A stage endpoint with results and a running call crashes and restarts at
 * once.  All its results must be recomputed as soon as the restart is known.
 * Otherwise the missing results are found one call at a time, each a stage's
 * run time later.
 */
static void
test_restart_recomputes_results(void)
{
	static const char *const chain[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 2 };
	struct world *w = world_create();
	struct wnode *b0;
	uint32_t before;

	world_pool(w, "a", 1, 8, 200 * MS, 20 * MS, 0);
	world_pool(w, "b", 1, 8, 400 * MS, 20 * MS, 0);
	w->keep = true;
	mh_sched_submit(w->sched, world_job(w, chain, pieces, 3 * S, 6 * S));
	world_run(w, 250 * MS);
	b0 = world_node(w, "b-0");
	CU_ASSERT_EQUAL(b0->calls, 1);
	before = world_node(w, "a-0")->calls;
	mh_sched_node_restarted(w->sched, "a-0");
	mh_sched_node_restarted(w->sched, "b-0");
	b0->busy_until_us = 0;
	world_node(w, "a-0")->busy_until_us = 0;
	world_run(w, 10 * MS);
	CU_ASSERT_EQUAL(world_node(w, "a-0")->calls, before + 1);
	world_run(w, 1 * S);
	CU_ASSERT_EQUAL(w->done, 1);
	CU_ASSERT_EQUAL(w->without_inputs, 0);
	world_destroy(w);
}

const struct test tests_registry[] = {
	{ "registry: a row that may have lapsed is removed",
	    test_lapsed_row_removed },
	{ "registry: an outage noticed late", test_outage_noticed_late },
	{ "registry: a row", test_row },
	{ "registry: rows of another program", test_foreign_rows },
	{ "registry: names of another program", test_foreign_names },
	{ "registry: rows of any bytes", test_rows_mutated },
	{ "registry: changes sent between entries", test_registry_changes },
	{ "registry: a change is sent alone", test_registry_change_sent_alone },
	{ "registry: another program's row in a reading",
	    test_foreign_row_in_a_reading },
	{ "registry: a row of an unknown service",
	    test_row_of_unknown_service },
	{ "registry: a row without a start time", test_row_without_start },
	{ "registry: a restart under the same id", test_restart_same_id },
	{ "registry: a restart reported by the endpoint",
	    test_restart_reported },
	{ "registry: a restart recomputes results",
	    test_restart_recomputes_results },
	{ NULL, NULL },
};
