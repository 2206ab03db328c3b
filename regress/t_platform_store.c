/**
 * DOC: Calls to the platform's store: who makes them while it is away, and
 * what is read first once it answers.  Over loopback, against a stand-in that
 * turns callers away for so many calls.
 */

#include "entries.h"
#include "platform.h"
#include "regress.h"
#include "tcp.h"

#include <string.h>

#define S MH_US_PER_S
#define LONGEST_US (8 * MH_US_PER_S)
#define ODD_US (S / 2)
/* A call each 200 ms, and as many for what is read at the start. */
#define MOST_CALLS 6

#define CONF_ITEM                                          \
	"{\"key\":\"op/config\",\"revision\":3,\"value\":" \
	"\"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119\"}"
#define EVACUATED_ITEM(name, revision)                              \
	"{\"key\":\"op/evacuate/" name "\",\"revision\":" #revision \
	",\"value\":\"e30=\"}"

static const char conf_item[] = CONF_ITEM;
static const char written[] =
    "{\"items\":[" CONF_ITEM "],\"hasMore\":false,\"asOf\":9}";

/** struct srig - a store that answers after @refuse calls, and its reader. */
struct srig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hcalls *calls;
	struct mh_hserve *server;
	struct mh_fleet *fleet;
	struct plat_store *store;
	struct plat_view *view;
	struct plat_members *members;
	uint32_t refuse; /* calls that get 503 */
	uint32_t early; /* calls that did */
	uint32_t early_first; /* of these, for the page of a start */
	uint32_t rows;
	uint32_t firsts; /* readings of the page that a start reads */
	uint32_t lists;
	uint32_t secrets;
	uint32_t own; /* readings of our row alone */
	bool has_conf;
	bool has_links;
	bool alone; /* no other entry is heard of */
	bool follows; /* others read for all */
	bool behind; /* others have a later configuration */
	bool pages; /* the registry is two pages, of two moments */
	bool odd; /* it runs for ODD_US */
	/* instead of its usual answers; NULL: these */
	const char *second_page;
	const char *watch;
	const char *written; /* by the operator */
	const char *first; /* the page that a start reads */
	const char *list;
	const char *more; /* the list's second page */
	const char *own_row; /* NULL: there is none */
	const char *secret; /* NULL: there is none */
	const char *row_watch; /* what a watch of the registry brings */
	uint32_t watches; /* of what the operator writes */
	uint32_t row_watches;
	uint32_t confs;
	uint32_t puts;
	char *evacuated; /* failure domains, joined by commas */
	uint32_t told; /* lists of entries that were taken */
	uint32_t most_told; /* entries of the longest */
};

static void
say(struct mh_hreq *q, uint32_t status, const char *text)
{
	struct mh_headers *h = mh_headers_create();

	mh_headers_add(h, "Content-Type", "application/json");
	mh_hreq_head(q, status, h, (int64_t)strlen(text));
	mh_hreq_write(q, text, strlen(text));
	mh_hreq_end(q);
	mh_headers_destroy(h);
}

#define FIRST_PAGE                                               \
	"{\"items\":[{\"key\":\"servers/a\",\"value\":\"e30=\"," \
	"\"revision\":4}],\"hasMore\":true,\"asOf\":9}"
#define SECOND_PAGE "{\"items\":[],\"hasMore\":false,\"asOf\":12}"
#define NOTHING "{\"items\":[],\"hasMore\":false,\"asOf\":9}"

#define ITEM(name, value)                                                   \
	"{\"key\":\"marlhoist/" name "\",\"revision\":4,\"value\":\"" value \
	"\"}"
#define SECRET_ITEM ITEM("secret", "c2VjcmV0")
/* {"addr":"127.0.0.1:8"} */
#define ENTRY(name) ITEM("vm/" name, "eyJhZGRyIjoiMTI3LjAuMC4xOjgifQ==")
/* {"addr":"127.0.0.1:9","weight":1.000} */
#define OWN_ITEM \
	ITEM("vm/e0", "eyJhZGRyIjoiMTI3LjAuMC4xOjkiLCJ3ZWlnaHQiOjEuMDAwfQ==")
#define LIST(entry, more) \
	"{\"items\":[" entry "],\"hasMore\":" more ",\"asOf\":9}"

static const char *
either(const char *odd, const char *usual)
{
	return odd != NULL ? odd : usual;
}

static const char *
registry_page(struct srig *r, const char *target)
{
	r->rows++;
	if (!r->pages)
		return NOTHING;
	if (strstr(target, "after=") == NULL)
		return FIRST_PAGE;
	return either(r->second_page, SECOND_PAGE);
}

static void
answer(struct srig *r, struct mh_hreq *q)
{
	const char *target = mh_hreq_target(q);

	if (g_str_has_prefix(target, "/kv-watch?pathPrefix=servers/")) {
		r->row_watches++;
		say(q, 200, either(r->row_watch, conf_item));
	} else if (g_str_has_prefix(target, "/kv-watch")) {
		r->watches++;
		say(q, 200, either(r->watch, conf_item));
	} else if (strstr(target, "pathPrefix=op/") != NULL) {
		r->confs++;
		say(q, 200, either(r->written, written));
	} else if (strstr(target, "servers/") != NULL) {
		say(q, 200, registry_page(r, target));
	} else if (strstr(target, "marlhoist/vm/e0") != NULL) {
		r->own++;
		say(q, r->own_row == NULL ? 404 : 200,
		    either(r->own_row, "{}"));
	} else if (strstr(target, "marlhoist/vm/") != NULL) {
		r->lists++;
		say(q, 200,
		    either(strstr(target, "after=") == NULL ? r->list : r->more,
			NOTHING));
	} else if (strstr(target, "pathPrefix=marlhoist/") != NULL) {
		r->firsts++;
		say(q, 200, either(r->first, LIST(SECRET_ITEM, "false")));
	} else if (strstr(target, "marlhoist/secret") != NULL) {
		r->secrets++;
		say(q, r->secret == NULL ? 404 : 200, either(r->secret, "{}"));
	} else {
		if (strcmp(target, "/kv-txn") == 0)
			r->puts++;
		say(q, 200, "{\"revision\":10}");
	}
}

static void
on_request(void *arg, struct mh_hreq *q)
{
	struct srig *r = arg;

	if (r->early < r->refuse) {
		r->early++;
		r->early_first +=
		    strstr(mh_hreq_target(q), "pathPrefix=marlhoist/&") != NULL;
		say(q, 503, "{}");
		return;
	}
	answer(r, q);
	if (r->odd)
		return;
	/* With pages: once the second reading has begun. */
	if (r->has_conf && r->rows > (r->pages ? 2 : 0) && r->firsts > 0 &&
	    r->puts > 0 && r->has_links)
		mh_loop_stop(r->loop);
}

static void
on_gone(void *arg, struct mh_hreq *q)
{
	(void)arg;
	(void)q;
}

static void
on_conf(void *arg, struct mh_gconf *c)
{
	(void)c;
	((struct srig *)arg)->has_conf = true;
}

static void
on_evacuated(void *arg, const char *const *domains)
{
	struct srig *r = arg;

	g_free(r->evacuated);
	r->evacuated = g_strjoinv(",", (char **)(uintptr_t)domains);
}

static bool
is_reader(void *arg)
{
	return !((struct srig *)arg)->follows;
}

static bool
is_linked(void *arg)
{
	return !((struct srig *)arg)->alone;
}

static bool
is_behind(void *arg)
{
	return ((struct srig *)arg)->behind;
}

static bool
has_heard(void *arg, const char *node)
{
	(void)node;
	return is_linked(arg);
}

static void
on_entries(void *arg, const GPtrArray *entries, bool whole)
{
	struct srig *r = arg;

	if (!whole)
		return;
	r->told++;
	r->most_told = MAX(r->most_told, entries->len);
}

static void
on_secret(void *arg, const char *text)
{
	CU_ASSERT_STRING_EQUAL(text, "c2VjcmV0");
	((struct srig *)arg)->has_links = true;
}

/* The rest of @r is zero but for what the store is to do. */
static void
play(struct srig *r)
{
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 4096, 65536, 3 * S, 9 * S },
		.on_request = on_request,
		.on_disconnect = on_gone,
		.arg = r };
	struct plat_view_fns fns = { on_conf, on_evacuated, is_reader,
		is_reader, is_linked, r, 2 * S, is_behind };
	struct plat_member_fns member_fns = { on_entries, on_secret, is_reader,
		is_linked, has_heard, r };
	struct mh_member self = { (char *)"e0", (char *)"127.0.0.1:9", 1 };
	char addr[32];
	bool in_time;

	r->k = mh_kern_create(1);
	r->loop = mh_loop_create(r->k, NULL);
	r->server = mh_hserve_create(r->loop, &a, NULL);
	r->calls = mh_hcalls_create(r->loop);
	g_snprintf(
	    addr, sizeof(addr), "127.0.0.1:%u", mh_hserve_port(r->server));
	r->fleet = mh_fleet_create(r->k);
	r->store = plat_store_create(r->k, r->calls, addr);
	r->view = plat_view_create(r->k, r->store, r->fleet, &fns);
	r->members = plat_members_create(r->k, r->store, &self, &member_fns);
	in_time = run_with_timeout(r->k, r->loop, r->odd ? ODD_US : LONGEST_US);
	CU_ASSERT_TRUE(in_time || r->odd);
}

static void
run(struct srig *r, uint32_t refuse, bool pages)
{
	memset(r, 0, sizeof(*r));
	r->refuse = refuse;
	r->pages = pages;
	play(r);
}

static void
finish(struct srig *r)
{
	g_free(r->evacuated);
	plat_members_destroy(r->members);
	plat_view_destroy(r->view);
	plat_store_destroy(r->store);
	mh_fleet_destroy(r->fleet);
	mh_hserve_destroy(r->server);
	mh_hcalls_destroy(r->calls);
	mh_loop_destroy(r->loop);
	mh_kern_destroy(r->k);
}

/*
 * All processes lose power while the store is away.  Each made five kinds of
 * calls, over and over, that nobody answered; now one of each finds the store
 * back, and all that is needed is read at once.
 */
static void
test_one_call_finds_it_back(void)
{
	struct srig r;

	run(&r, 6, false);
	CU_ASSERT_EQUAL(r.early, 6);
	CU_ASSERT_EQUAL(r.early_first, 6);
	CU_ASSERT_FALSE(plat_store_away(r.store));
	finish(&r);
}

static void
test_all_is_read_at_once(void)
{
	struct srig r;

	run(&r, 0, false);
	CU_ASSERT_EQUAL(r.rows, 1);
	CU_ASSERT_EQUAL(r.firsts, 1);
	CU_ASSERT_EQUAL(r.puts, 1);
	CU_ASSERT_EQUAL(r.secrets, 0);
	finish(&r);
}

/*
 * A registry of many pages is read while it changes: the first page is of
 * revision 9, the last of 12.  Taken for a reading of 12, it lacked what
 * changed on the first page, and who had it took the next reading of 12 for the
 * same: an endpoint that left there got requests until the registry changed
 * again.
 */
static void
test_pages_are_of_the_first(void)
{
	struct srig r;

	run(&r, 0, true);
	CU_ASSERT_EQUAL(plat_view_rows_revision(r.view), 9);
	finish(&r);
}

/* Guards against half of the registry taken for the whole of it. */
static void
test_odd_pages(void)
{
	static const char *const pages[] = { "",
		"{\"items\":[],\"hasMore\":true,\"asOf\":12}",
		"{\"items\":[],\"hasMore\":false}", FIRST_PAGE };

	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		struct srig r = {
			.odd = true, .pages = true, .second_page = pages[i]
		};

		play(&r);
		if (plat_view_ready(r.view) || r.rows > 2 * MOST_CALLS)
			printf("\n  page %s: ready=%d calls=%u\n", pages[i],
			    plat_view_ready(r.view), r.rows);
		CU_ASSERT_FALSE(plat_view_ready(r.view));
		CU_ASSERT(r.rows <= 2 * MOST_CALLS);
		finish(&r);
	}
}

/* Guards against a watch that is asked again without a pause. */
static void
test_odd_watches(void)
{
	static const char *const watches[] = { "", "{\"events\":[],\"asOf\":9}",
		"{\"events\":[{\"key\":\"op/config\",\"revision\":2,"
		"\"value\":\"e30=\"}],\"asOf\":2}",
		"{\"events\":[{\"key\":\"op/configs\",\"revision\":9,"
		"\"value\":\"e30=\"}],\"asOf\":9}" };

	for (size_t i = 0; i < G_N_ELEMENTS(watches); i++) {
		struct srig r = { .odd = true, .watch = watches[i] };

		play(&r);
		if (r.watches > MOST_CALLS)
			printf(
			    "\n  watch %s: calls=%u\n", watches[i], r.watches);
		CU_ASSERT(r.watches > 0 && r.watches <= MOST_CALLS);
		CU_ASSERT_EQUAL(plat_view_conf_revision(r.view), 3);
		finish(&r);
	}
}

/* Guards against a configuration that is forgotten for one without a value. */
static void
test_odd_conf(void)
{
	static const char *const watches[] = {
		"{\"events\":[{\"key\":\"op/config\",\"revision\":99}],"
		"\"asOf\":99}",
		"{\"events\":[{\"key\":\"op/config\",\"revision\":99,"
		"\"deleted\":true}],\"asOf\":99}"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(watches); i++) {
		struct srig r = { .odd = true, .watch = watches[i] };
		GBytes *text;

		play(&r);
		text = mh_history_latest(plat_view_conf_past(r.view));
		CU_ASSERT_EQUAL(plat_view_conf_revision(r.view), 3);
		CU_ASSERT(g_bytes_get_size(text) > 0);
		finish(&r);
	}
}

/* Guards against work for a failure domain that the operator has evacuated. */
static void
test_evacuated(void)
{
	static const struct {
		const char *written;
		const char *watch;
		const char *evacuated; /* NULL: nothing was told */
		uint64_t refused;
	} t[] = {
		/* as it is read, and as it changes */
		{ "{\"items\":[" CONF_ITEM
		  "," EVACUATED_ITEM("a", 4) "],"
					     "\"hasMore\":false,\"asOf\":9}",
		    NULL, "a", 0 },
		{ NULL,
		    "{\"events\":[" EVACUATED_ITEM("a", 11) "," EVACUATED_ITEM(
			"b", 12) "],\"asOf\":12}",
		    "a,b", 0 },
		{ "{\"items\":[" CONF_ITEM
		  "," EVACUATED_ITEM("a", 4) "," EVACUATED_ITEM(
		      "b", 5) "],\"hasMore\":false,\"asOf\":9}",
		    "{\"events\":[{\"key\":\"op/evacuate/a\",\"revision\":11,"
		    "\"deleted\":true}],\"asOf\":11}",
		    "b", 0 },
		/* a word from before what was read */
		{ "{\"items\":[" CONF_ITEM
		  "," EVACUATED_ITEM("a", 8) "],"
					     "\"hasMore\":false,\"asOf\":9}",
		    "{\"events\":[{\"key\":\"op/evacuate/a\",\"revision\":7,"
		    "\"deleted\":true}],\"asOf\":9}",
		    "a", 0 },
		/* keys that name no domain */
		{ NULL,
		    "{\"events\":[" EVACUATED_ITEM("", 11) "," EVACUATED_ITEM(
			"a/b", 12) "," EVACUATED_ITEM("a b",
			13) "],\"asOf\":13}",
		    NULL, 3 },
		/* another writer's keys */
		{ NULL,
		    "{\"events\":[{\"key\":\"op/evacuated\",\"revision\":11,"
		    "\"value\":\"e30=\"},{\"revision\":12},7],\"asOf\":12}",
		    NULL, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct srig r = { .odd = true,
			.written = t[i].written,
			.watch = t[i].watch };

		play(&r);
		if (g_strcmp0(r.evacuated, t[i].evacuated) != 0)
			printf("\n  row %zu: evacuated %s\n", i, r.evacuated);
		CU_ASSERT_EQUAL(g_strcmp0(r.evacuated, t[i].evacuated), 0);
		CU_ASSERT_EQUAL(
		    mh_counter(r.k, "evacuations_refused"), t[i].refused);
		CU_ASSERT_EQUAL(plat_view_conf_revision(r.view), 3);
		finish(&r);
	}
}

/* Guards against no entries, or no secret, read from an answer of nothing. */
static void
test_odd_members(void)
{
	static const char *const answers[] = { "", "{\"items\":7}",
		"{\"items\":[],\"hasMore\":true,\"asOf\":9}" };

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct srig r = {
			.odd = true, .first = answers[i], .list = answers[i]
		};

		play(&r);
		CU_ASSERT(r.firsts > 0);
		CU_ASSERT_EQUAL(r.told, 0);
		CU_ASSERT_EQUAL(r.puts, 0);
		CU_ASSERT_FALSE(r.has_links);
		finish(&r);
	}
}

/* Guards against a page of the entries taken for all of them. */
static void
test_pages_of_members(void)
{
	static const struct {
		const char *more;
		uint32_t told; /* entries */
	} t[] = {
		{ LIST(ENTRY("b"), "false"), 2 },
		{ "", 0 },
		{ LIST("", "true"), 0 },
		{ LIST(ENTRY("a"), "true"), 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct srig r = { .odd = true,
			.first = LIST(SECRET_ITEM "," ENTRY("a"), "true"),
			.list = LIST(ENTRY("a"), "true"),
			.more = t[i].more };

		play(&r);
		if (r.most_told != t[i].told || r.lists > 2 * MOST_CALLS)
			printf("\n  page %s: %u told, %u calls\n", t[i].more,
			    r.most_told, r.lists);
		CU_ASSERT(r.lists > 0);
		CU_ASSERT_EQUAL(r.most_told, t[i].told);
		CU_ASSERT(r.lists <= 2 * MOST_CALLS);
		finish(&r);
	}
}

/* Guards against starts whose calls grow with the number of entries. */
static void
test_start_reads_one_page(void)
{
	static const struct {
		const char *first;
		const char *own_row;
		const char *secret;
		uint32_t own;
		uint32_t secrets;
		uint32_t puts;
	} t[] = {
		/* all is there */
		{ LIST(SECRET_ITEM "," ENTRY("a") "," OWN_ITEM, "true"), NULL,
		    NULL, 0, 0, 0 },
		/* our row stands behind it, or nowhere */
		{ LIST(SECRET_ITEM "," ENTRY("a"), "true"), OWN_ITEM, NULL, 1,
		    0, 0 },
		{ LIST(SECRET_ITEM "," ENTRY("a"), "true"), NULL, NULL, 1, 0,
		    1 },
		{ LIST(SECRET_ITEM "," ENTRY("a"), "false"), NULL, NULL, 0, 0,
		    1 },
		/* the secret is newer than the page */
		{ LIST(ENTRY("a") "," OWN_ITEM, "false"), NULL, SECRET_ITEM, 0,
		    1, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct srig r = { .odd = true,
			.follows = true,
			.first = t[i].first,
			.own_row = t[i].own_row,
			.secret = t[i].secret };

		play(&r);
		(void)run_with_timeout(r.k, r.loop, S / 2);
		CU_ASSERT(r.firsts <= 1 + 2 * t[i].secrets);
		CU_ASSERT_EQUAL(r.lists, 0);
		CU_ASSERT_EQUAL(r.own, t[i].own);
		CU_ASSERT_EQUAL(r.secrets, t[i].secrets);
		CU_ASSERT_EQUAL(r.puts, t[i].puts);
		CU_ASSERT_TRUE(r.has_links);
		finish(&r);
	}
}

static bool
tell_list(struct srig *r, uint64_t revision, const char *text)
{
	GBytes *b = g_bytes_new(text, strlen(text));
	bool taken = plat_members_told(r->members, revision, b);

	g_bytes_unref(b);
	return taken;
}

/* Guards against another's list that is old, odd, or lacks our own row. */
static void
test_told_list(void)
{
	struct srig r = { .odd = true,
		.follows = true,
		.first =
		    LIST(SECRET_ITEM "," ENTRY("a") "," OWN_ITEM, "true") };
	static const char two[] =
	    "[[\"a\",\"127.0.0.1:8\",100],[\"e0\",\"127.0.0.1:9\",1000]]";
	GBytes *text;

	play(&r);
	CU_ASSERT_EQUAL(r.told, 0);
	CU_ASSERT_PTR_NULL(plat_members_text(r.members));
	CU_ASSERT_FALSE(tell_list(&r, 20, "[[\"a\",7,1]]"));
	CU_ASSERT_FALSE(tell_list(&r, 20, "[]"));
	CU_ASSERT_FALSE(tell_list(&r, 20, "[[\"a\",\"127.0.0.1:8\",100"));
	CU_ASSERT_EQUAL(r.told, 0);
	CU_ASSERT_TRUE(tell_list(&r, 20, two));
	CU_ASSERT_TRUE(tell_list(&r, 19, "[[\"a\",\"127.0.0.1:8\",100]]"));
	CU_ASSERT_EQUAL(r.told, 1);
	CU_ASSERT_EQUAL(r.most_told, 2);
	CU_ASSERT_EQUAL(plat_members_revision(r.members), 20);
	text = plat_members_text(r.members);
	CU_ASSERT_EQUAL(g_bytes_get_size(text), strlen(two));
	g_bytes_unref(text);
	CU_ASSERT_TRUE(tell_list(&r, 21, "[[\"a\",\"127.0.0.1:8\",100]]"));
	(void)run_with_timeout(r.k, r.loop, S / 5);
	CU_ASSERT_EQUAL(r.puts, 1);
	finish(&r);
}

/* Guards against entries that stay listed for good, and sound ones that go. */
static void
test_listed_gone(void)
{
	struct mh_liveness *l = mh_liveness_create();
	GPtrArray *gone;
	char node[8];

	for (int at = 0; at <= 200; at += 2) {
		mh_liveness_begin(l);
		for (int i = 0; i < 10; i++) {
			bool alive = i >= 3 || (i == 2 && at % 50 == 0);

			g_snprintf(node, sizeof(node), "n%d", i);
			/* We ourselves hear of nobody for a while. */
			alive = alive && (at < 100 || at > 180);
			if (i != 1 || at < 30)
				mh_liveness_note(l, node, alive, at * S);
		}
		gone = mh_liveness_departed(l, at * S);
		if (at <= 60 || (at >= 100 && at <= 180))
			CU_ASSERT_EQUAL(gone->len, 0);
		if (at > 60 && at < 100) {
			CU_ASSERT_EQUAL_FATAL(gone->len, 1);
			CU_ASSERT_STRING_EQUAL(gone->pdata[0], "n0");
		}
		g_ptr_array_free(gone, TRUE);
	}
	mh_liveness_destroy(l);
}

/*
 * The platform answers nobody for seconds.  Every entry took itself for one of
 * those that read for all, since none before it could: the calls of all were
 * counted and none was answered.
 */
static void
test_few_seek_it(void)
{
	struct mrig *r = mrig_create();
	uint32_t n = 0;

	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].can_read = false;
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_mesh_is_reader(r->e[i].m);
	CU_ASSERT_EQUAL(n, 3);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].can_read = true;
	mrig_run(r, 1 * S);
	n = 0;
	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_mesh_is_reader(r->e[i].m);
	CU_ASSERT_EQUAL(n, 2);
	mrig_destroy(r);
}

#define ROW_A "{\"key\":\"servers/a\",\"revision\":4,\"value\":\"e30=\"}"
#define TOLD(rows, count) \
	"{\"items\":[" rows "],\"gone\":[],\"since\":0,\"count\":" count "}"

static void
tell_conf(struct srig *r)
{
	static const char conf[] =
	    "{\"version\":3,\"routes\":[],\"services\":[]}";

	plat_view_take_conf(r->view, 3, conf, strlen(conf));
}

static void
tell_rows(struct srig *r, uint64_t revision, const char *text)
{
	plat_view_take_rows(r->view, revision, text, strlen(text));
}

/* Guards against starts whose calls grow with the number of endpoints. */
static void
test_start_is_told_rows(void)
{
	struct srig r = { .odd = true, .follows = true };

	play(&r);
	CU_ASSERT_EQUAL(r.rows + r.row_watches, 0);
	CU_ASSERT_FALSE(plat_view_ready(r.view));
	CU_ASSERT_TRUE(plat_view_rows_due(r.view));
	tell_conf(&r);
	tell_rows(&r, 300, TOLD(ROW_A, "1"));
	CU_ASSERT_TRUE(plat_view_ready(r.view));
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.rows + r.row_watches, 0);
	finish(&r);
}

/* Guards against a start that waits for others who never tell. */
static void
test_start_is_told_nothing(void)
{
	struct srig r = { .odd = true, .follows = true };

	play(&r);
	(void)run_with_timeout(r.k, r.loop, 3 * S);
	CU_ASSERT(r.rows > 0);
	CU_ASSERT_TRUE(plat_view_ready(r.view));
	finish(&r);
}

/* Guards against all pages read by each that is told nothing for a second. */
static void
test_silence_costs_one_call(void)
{
	struct srig r = { .odd = true,
		.follows = true,
		.row_watch = "{\"events\":[{\"key\":\"servers/a\",\"revision\":"
			     "2,\"deleted\":true},{\"key\":\"servers/b\","
			     "\"revision\":301,\"value\":\"e30=\"}],"
			     "\"asOf\":302}" };
	GBytes *text;

	play(&r);
	tell_rows(&r, 300, TOLD(ROW_A, "1"));
	(void)run_with_timeout(r.k, r.loop, 3 * S / 2);
	CU_ASSERT_EQUAL(r.rows, 0);
	CU_ASSERT(r.row_watches > 0 && r.row_watches <= 2);
	/* What the watch brings from before is older than what was told. */
	CU_ASSERT_EQUAL(plat_view_rows_revision(r.view), 301);
	text = plat_view_rows_text(r.view, 0);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(g_bytes_get_data(text, NULL), "servers/a"));
	g_bytes_unref(text);
	finish(&r);
}

/* Guards against starts that all ask for the configuration. */
static void
test_start_is_told_configuration(void)
{
	struct srig r = { .odd = true, .follows = true };

	play(&r);
	CU_ASSERT_EQUAL(r.confs, 0);
	tell_conf(&r);
	CU_ASSERT_TRUE(r.has_conf);
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.confs + r.watches, 0);
	finish(&r);
}

/*
 * Guards against a configuration that stays old since what others send of the
 * later one never arrives, or cannot be read.
 */
static void
test_behind_reads_itself(void)
{
	struct srig r = { .odd = true, .follows = true };

	play(&r);
	tell_conf(&r);
	tell_rows(&r, 300, TOLD(ROW_A, "1"));
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.confs + r.watches, 0);
	r.behind = true;
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.confs, 1);
	(void)run_with_timeout(r.k, r.loop, 2 * S);
	CU_ASSERT(r.confs >= 2 && r.confs <= 3);
	r.behind = false;
	r.confs = 0;
	(void)run_with_timeout(r.k, r.loop, S);
	CU_ASSERT_EQUAL(r.confs, 0);
	finish(&r);
}

/* Guards against a start that has no others to tell it anything. */
static void
test_start_alone(void)
{
	struct srig r = { .odd = true, .follows = true, .alone = true };

	play(&r);
	(void)run_with_timeout(r.k, r.loop, S);
	CU_ASSERT(r.confs > 0);
	CU_ASSERT_TRUE(r.has_conf);
	finish(&r);
}

/* Guards against all who ask for a configuration that nobody has written. */
static void
test_no_configuration_yet(void)
{
	struct srig r = { .odd = true, .alone = true, .written = NOTHING };

	play(&r);
	CU_ASSERT(r.confs > 0 && r.confs <= 2);
	r.alone = false;
	r.follows = true;
	r.confs = 0;
	(void)run_with_timeout(r.k, r.loop, 2 * S);
	CU_ASSERT(r.confs <= 1);
	finish(&r);
}

const struct test tests_store[] = {
	{ "store: one call finds it back", test_one_call_finds_it_back },
	{ "store: all is read at once", test_all_is_read_at_once },
	{ "store: pages are of the first", test_pages_are_of_the_first },
	{ "store: odd pages", test_odd_pages },
	{ "store: odd watches", test_odd_watches },
	{ "store: odd configuration", test_odd_conf },
	{ "evacuated failure domains", test_evacuated },
	{ "store: odd members", test_odd_members },
	{ "store: pages of members", test_pages_of_members },
	{ "store: a start reads one page", test_start_reads_one_page },
	{ "store: a list that another tells", test_told_list },
	{ "store: listed entries that are gone", test_listed_gone },
	{ "store: a start is told its rows", test_start_is_told_rows },
	{ "store: a start is told nothing", test_start_is_told_nothing },
	{ "store: silence costs one call", test_silence_costs_one_call },
	{ "store: a start is told the configuration",
	    test_start_is_told_configuration },
	{ "store: who is behind reads it itself", test_behind_reads_itself },
	{ "store: a start alone", test_start_alone },
	{ "store: no configuration yet", test_no_configuration_yet },
	{ "store: a few seek it", test_few_seek_it },
	{ NULL, NULL },
};
