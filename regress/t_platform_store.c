/**
 * DOC: Calls to the platform's store: which are made while it is down, and what
 * is read first when it answers.  Runs over loopback against a stand-in that
 * can answer its first calls with 503.
 */

#include "entries.h"
#include "platform.h"
#include "regress.h"
#include "tcp.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define S MH_US_PER_S
#define RUN_MAX_US (8 * MH_US_PER_S)
#define TIMED_RUN_US (S / 2)
/* A call each 200 ms of the run, and as many again for the start. */
#define MAX_CALLS 6

#define CONF_ITEM                                          \
	"{\"key\":\"op/config\",\"revision\":3,\"value\":" \
	"\"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119\"}"
#define EVACUATED_ITEM(name, revision)                              \
	"{\"key\":\"op/evacuate/" name "\",\"revision\":" #revision \
	",\"value\":\"e30=\"}"

static const char conf_item[] = CONF_ITEM;
static const char written[] =
    "{\"items\":[" CONF_ITEM "],\"hasMore\":false,\"asOf\":9}";

/** struct srig - a stand-in of the store, and an entry's client of it. */
struct srig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hcalls *calls;
	struct mh_hserve *server;
	struct mh_fleet *fleet;
	struct plat_store *store;
	struct plat_view *view;
	struct plat_members *members;
	uint32_t refuse; /* number of calls that get 503 */
	uint32_t refused; /* calls that got 503 so far */
	uint32_t refused_first; /* of these, for the first page of entries */
	uint32_t row_reads;
	uint32_t first_reads; /* of the first page of entries */
	uint32_t list_reads;
	uint32_t secret_reads;
	uint32_t own_reads; /* of the entry's own row */
	bool has_conf;
	bool has_secret;
	bool alone; /* no other entry is alive */
	bool not_reader; /* others are the readers */
	bool conf_stale; /* others have a later configuration */
	bool pages; /* the registry has two pages, of different revisions */
	bool timed; /* runs for TIMED_RUN_US instead of until all is read */
	/* responses; NULL: the usual ones */
	const char *second_page;
	const char *watch;
	const char *written; /* by the operator */
	const char *first; /* first page of entries */
	const char *list;
	const char *second_list_page;
	const char *own_row; /* NULL: there is none */
	const char *secret; /* NULL: there is none */
	/* only the third first page has it, and a read of it ends after that */
	bool late_secret;
	struct mh_hreq *held; /* that read */
	uint32_t secrets; /* times that we got it */
	const char *row_watch; /* of the registry */
	uint32_t watches; /* of the operator's items */
	uint32_t row_watches;
	uint32_t conf_reads;
	uint32_t puts;
	char *evacuated; /* failure domains, joined by commas */
	uint32_t lists_received; /* whole lists of entries */
	uint32_t longest_list; /* entries in the longest */
};

static void
respond(struct mh_hreq *q, uint32_t status, const char *text)
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
if_set(const char *special, const char *usual)
{
	return special != NULL ? special : usual;
}

static const char *
registry_page(struct srig *r, const char *target)
{
	r->row_reads++;
	if (!r->pages)
		return NOTHING;
	if (strstr(target, "after=") == NULL)
		return FIRST_PAGE;
	return if_set(r->second_page, SECOND_PAGE);
}

static void
respond_held(void *arg)
{
	struct srig *r = arg;

	if (r->held != NULL)
		respond(r->held, 200, SECRET_ITEM);
	r->held = NULL;
}

static void
serve(struct srig *r, struct mh_hreq *q)
{
	const char *target = mh_hreq_target(q);

	if (g_str_has_prefix(target, "/kv-watch?pathPrefix=servers/")) {
		r->row_watches++;
		respond(q, 200, if_set(r->row_watch, conf_item));
	} else if (g_str_has_prefix(target, "/kv-watch")) {
		r->watches++;
		respond(q, 200, if_set(r->watch, conf_item));
	} else if (strstr(target, "pathPrefix=op/") != NULL) {
		r->conf_reads++;
		respond(q, 200, if_set(r->written, written));
	} else if (strstr(target, "servers/") != NULL) {
		respond(q, 200, registry_page(r, target));
	} else if (strstr(target, "marlhoist/vm/e0") != NULL) {
		r->own_reads++;
		respond(q, r->own_row == NULL ? 404 : 200,
		    if_set(r->own_row, "{}"));
	} else if (strstr(target, "marlhoist/vm/") != NULL) {
		r->list_reads++;
		respond(q, 200,
		    if_set(strstr(target, "after=") == NULL
			    ? r->list
			    : r->second_list_page,
			NOTHING));
	} else if (strstr(target, "pathPrefix=marlhoist/") != NULL) {
		r->first_reads++;
		if (r->late_secret && r->first_reads <= 2)
			respond(q, 200, LIST(OWN_ITEM, "false"));
		else
			respond(q, 200,
			    if_set(r->first, LIST(SECRET_ITEM, "false")));
		if (r->held != NULL && r->first_reads > 2)
			mh_timer_start(r->k, S / 20, respond_held, r);
	} else if (strstr(target, "marlhoist/secret") != NULL) {
		r->secret_reads++;
		if (r->late_secret) {
			r->held = q;
			return;
		}
		respond(
		    q, r->secret == NULL ? 404 : 200, if_set(r->secret, "{}"));
	} else {
		if (strcmp(target, "/kv-txn") == 0)
			r->puts++;
		respond(q, 200, "{\"revision\":10}");
	}
}

static void
on_request(void *arg, struct mh_hreq *q)
{
	struct srig *r = arg;

	if (r->refused < r->refuse) {
		r->refused++;
		r->refused_first +=
		    strstr(mh_hreq_target(q), "pathPrefix=marlhoist/&") != NULL;
		respond(q, 503, "{}");
		return;
	}
	serve(r, q);
	if (r->timed)
		return;
	/* With two pages: when the second reading has begun. */
	if (r->has_conf && r->row_reads > (r->pages ? 2 : 0) &&
	    r->first_reads > 0 && r->puts > 0 && r->has_secret)
		mh_loop_stop(r->loop);
}

static void
on_disconnect(void *arg, struct mh_hreq *q)
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
	return !((struct srig *)arg)->not_reader;
}

static bool
is_linked(void *arg)
{
	return !((struct srig *)arg)->alone;
}

static bool
is_conf_stale(void *arg)
{
	return ((struct srig *)arg)->conf_stale;
}

static bool
is_alive(void *arg, const char *node)
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
	r->lists_received++;
	r->longest_list = MAX(r->longest_list, entries->len);
}

static void
on_secret(void *arg, const char *text)
{
	CU_ASSERT_STRING_EQUAL(text, "c2VjcmV0");
	((struct srig *)arg)->has_secret = true;
	((struct srig *)arg)->secrets++;
}

/* @r is zero except for what the store is to do. */
static void
run_rig(struct srig *r)
{
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 4096, 65536, 3 * S, 9 * S },
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.arg = r };
	struct plat_view_fns fns = { on_conf, on_evacuated, is_reader,
		is_reader, is_linked, r, 2 * S, is_conf_stale };
	struct plat_member_fns member_fns = { on_entries, on_secret, is_reader,
		is_linked, is_alive, r, true };
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
	in_time = run_with_timeout(
	    r->k, r->loop, r->timed ? TIMED_RUN_US : RUN_MAX_US);
	CU_ASSERT_TRUE(in_time || r->timed);
}

static void
run(struct srig *r, uint32_t refuse, bool pages)
{
	memset(r, 0, sizeof(*r));
	r->refuse = refuse;
	r->pages = pages;
	run_rig(r);
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
 * All processes restart after a power failure while the store is down.  Each
 * repeated five kinds of calls that weren't answered.  Only one kind may be
 * repeated to detect the recovery; then all that is needed is read at once.
 */
static void
test_one_call_detects_recovery(void)
{
	struct srig r;

	run(&r, 6, false);
	CU_ASSERT_EQUAL(r.refused, 6);
	CU_ASSERT_EQUAL(r.refused_first, 6);
	CU_ASSERT_FALSE(plat_store_is_down(r.store));
	finish(&r);
}

static void
test_all_is_read_at_once(void)
{
	struct srig r;

	run(&r, 0, false);
	CU_ASSERT_EQUAL(r.row_reads, 1);
	CU_ASSERT_EQUAL(r.first_reads, 1);
	CU_ASSERT_EQUAL(r.puts, 1);
	CU_ASSERT_EQUAL(r.secret_reads, 0);
	finish(&r);
}

/*
 * A registry of many pages is read while it changes: the first page has
 * revision 9, the last 12.  When the reading was recorded as revision 12, it
 * lacked changes of the first page, and an entry that had it took a later
 * reading of 12 for the same.  A draining endpoint got requests until the next
 * change of the registry.
 */
static void
test_first_page_revision(void)
{
	struct srig r;

	run(&r, 0, true);
	CU_ASSERT_EQUAL(plat_view_rows_rev(r.view).revision, 9);
	finish(&r);
}

/* Guards against a part of the registry used as if it were all of it. */
static void
test_malformed_pages(void)
{
	static const char *const pages[] = { "",
		"{\"items\":[],\"hasMore\":true,\"asOf\":12}",
		"{\"items\":[],\"hasMore\":false}", FIRST_PAGE };

	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		struct srig r = {
			.timed = true, .pages = true, .second_page = pages[i]
		};

		run_rig(&r);
		if (plat_view_ready(r.view) || r.row_reads > 2 * MAX_CALLS)
			printf("\n  page %s: ready=%d calls=%u\n", pages[i],
			    plat_view_ready(r.view), r.row_reads);
		CU_ASSERT_FALSE(plat_view_ready(r.view));
		CU_ASSERT(r.row_reads <= 2 * MAX_CALLS);
		finish(&r);
	}
}

/* Guards against a watch that is repeated without a pause. */
static void
test_malformed_watches(void)
{
	static const char *const watches[] = { "", "{\"events\":[],\"asOf\":9}",
		"{\"events\":[{\"key\":\"op/config\",\"revision\":2,"
		"\"value\":\"e30=\"}],\"asOf\":2}",
		"{\"events\":[{\"key\":\"op/configs\",\"revision\":9,"
		"\"value\":\"e30=\"}],\"asOf\":9}" };

	for (size_t i = 0; i < G_N_ELEMENTS(watches); i++) {
		struct srig r = { .timed = true, .watch = watches[i] };

		run_rig(&r);
		if (r.watches > MAX_CALLS)
			printf(
			    "\n  watch %s: calls=%u\n", watches[i], r.watches);
		CU_ASSERT(r.watches > 0 && r.watches <= MAX_CALLS);
		CU_ASSERT_EQUAL(plat_view_conf_rev(r.view).revision, 3);
		finish(&r);
	}
}

/* Guards against a configuration that is replaced by one without a value. */
static void
test_conf_without_value(void)
{
	static const char *const watches[] = {
		"{\"events\":[{\"key\":\"op/config\",\"revision\":99}],"
		"\"asOf\":99}",
		"{\"events\":[{\"key\":\"op/config\",\"revision\":99,"
		"\"deleted\":true}],\"asOf\":99}"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(watches); i++) {
		struct srig r = { .timed = true, .watch = watches[i] };
		GBytes *text;

		run_rig(&r);
		text = mh_history_latest(plat_view_conf_history(r.view));
		CU_ASSERT_EQUAL(plat_view_conf_rev(r.view).revision, 3);
		CU_ASSERT(g_bytes_get_size(text) > 0);
		finish(&r);
	}
}

static void
count_change(void *arg, const char *const *domains)
{
	uint32_t *changes = arg;

	(void)domains;
	(*changes)++;
}

/*
 * Guards against an evacuation that ended long ago and is in force again: an
 * entry that has just read the store takes it from a peer that is behind.
 */
static void
test_evacuated_of_a_peer_that_is_behind(void)
{
	static const char *const behind[] = { "a", NULL };
	static const char *const none[] = { NULL };
	static const char *const later[] = { "b", NULL };
	struct mh_kern *k = mh_kern_create(1);
	uint32_t changes = 0;
	struct plat_evacuated *e =
	    plat_evacuated_create(k, count_change, &changes);
	json_t *items = json_object();

	/* Read as of 300: the peer's evacuation of 100 was ended before. */
	plat_evacuated_load(e, items, REV(300));
	plat_evacuated_receive(e, behind, 1, REV(100));
	CU_ASSERT_EQUAL(
	    g_strv_length((char **)(uintptr_t)plat_evacuated_domains(e)), 0);
	CU_ASSERT_EQUAL(changes, 0);
	/* The peer takes ours instead. */
	CU_ASSERT(plat_evacuated_rev(e).revision > 100);
	/* The same set is taken as it is, so that it isn't requested again. */
	plat_evacuated_receive(e, none, 0, REV(299));
	CU_ASSERT(plat_evacuated_rev(e).revision >= 299);
	CU_ASSERT_EQUAL(changes, 0);
	plat_evacuated_receive(e, later, 1, REV(310));
	CU_ASSERT_STRING_EQUAL(plat_evacuated_domains(e)[0], "b");
	CU_ASSERT_EQUAL(plat_evacuated_rev(e).revision, 310);
	plat_evacuated_receive(e, behind, 1, REV(305));
	CU_ASSERT_STRING_EQUAL(plat_evacuated_domains(e)[0], "b");
	CU_ASSERT_EQUAL(changes, 1);
	plat_evacuated_destroy(e);
	/* The same set of a first reading is not announced as another one. */
	e = plat_evacuated_create(k, count_change, &changes);
	plat_evacuated_load(e, items, REV(300));
	CU_ASSERT_EQUAL(plat_evacuated_rev(e).revision, 1);
	plat_evacuated_receive(e, none, 0, REV(200));
	CU_ASSERT_EQUAL(plat_evacuated_rev(e).revision, 200);
	plat_evacuated_destroy(e);
	json_decref(items);
	mh_kern_destroy(k);
}

/* Guards against work sent to a failure domain that is evacuated. */
static void
test_evacuated(void)
{
	static const struct {
		const char *written;
		const char *watch;
		const char *evacuated; /* NULL: no callback */
		uint64_t refused;
	} t[] = {
		/* read, changed by a watch, or both */
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
		/* an event older than what was read */
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
		/* keys of another program */
		{ NULL,
		    "{\"events\":[{\"key\":\"op/evacuated\",\"revision\":11,"
		    "\"value\":\"e30=\"},{\"revision\":12},7],\"asOf\":12}",
		    NULL, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct srig r = { .timed = true,
			.written = t[i].written,
			.watch = t[i].watch };

		run_rig(&r);
		if (g_strcmp0(r.evacuated, t[i].evacuated) != 0)
			printf("\n  row %zu: evacuated %s\n", i, r.evacuated);
		CU_ASSERT_EQUAL(g_strcmp0(r.evacuated, t[i].evacuated), 0);
		CU_ASSERT_EQUAL(
		    mh_counter(r.k, "evacuations_refused"), t[i].refused);
		CU_ASSERT_EQUAL(plat_view_conf_rev(r.view).revision, 3);
		finish(&r);
	}
}

/* Guards against an empty list, or no secret, read from a malformed page. */
static void
test_malformed_entry_pages(void)
{
	static const char *const pages[] = { "", "{\"items\":7}",
		"{\"items\":[],\"hasMore\":true,\"asOf\":9}" };

	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		struct srig r = {
			.timed = true, .first = pages[i], .list = pages[i]
		};

		run_rig(&r);
		CU_ASSERT(r.first_reads > 0);
		CU_ASSERT_EQUAL(r.lists_received, 0);
		CU_ASSERT_EQUAL(r.puts, 0);
		CU_ASSERT_FALSE(r.has_secret);
		finish(&r);
	}
}

/* Guards against a page of entries used as the whole list. */
static void
test_entry_pages(void)
{
	static const struct {
		const char *more;
		uint32_t entries; /* in the list; 0: none received */
	} t[] = {
		{ LIST(ENTRY("b"), "false"), 2 },
		{ "", 0 },
		{ LIST("", "true"), 0 },
		{ LIST(ENTRY("a"), "true"), 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct srig r = { .timed = true,
			.first = LIST(SECRET_ITEM "," ENTRY("a"), "true"),
			.list = LIST(ENTRY("a"), "true"),
			.second_list_page = t[i].more };

		run_rig(&r);
		if (r.longest_list != t[i].entries ||
		    r.list_reads > 2 * MAX_CALLS)
			printf("\n  page %s: %u entries, %u calls\n", t[i].more,
			    r.longest_list, r.list_reads);
		CU_ASSERT(r.list_reads > 0);
		CU_ASSERT_EQUAL(r.longest_list, t[i].entries);
		CU_ASSERT(r.list_reads <= 2 * MAX_CALLS);
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
		/* the page has all */
		{ LIST(SECRET_ITEM "," ENTRY("a") "," OWN_ITEM, "true"), NULL,
		    NULL, 0, 0, 0 },
		/* our row is on a later page, or nowhere */
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
		struct srig r = { .timed = true,
			.not_reader = true,
			.first = t[i].first,
			.own_row = t[i].own_row,
			.secret = t[i].secret };

		run_rig(&r);
		(void)run_with_timeout(r.k, r.loop, S / 2);
		CU_ASSERT(r.first_reads <= 1 + 2 * t[i].secrets);
		CU_ASSERT_EQUAL(r.list_reads, 0);
		CU_ASSERT_EQUAL(r.own_reads, t[i].own);
		CU_ASSERT_EQUAL(r.secret_reads, t[i].secrets);
		CU_ASSERT_EQUAL(r.puts, t[i].puts);
		CU_ASSERT_TRUE(r.has_secret);
		finish(&r);
	}
}

/* Guards against links that are opened twice, under two incarnations. */
static void
test_secret_read_twice(void)
{
	struct srig r = { .timed = true,
		.not_reader = true,
		.alone = true,
		.late_secret = true };

	run_rig(&r);
	(void)run_with_timeout(r.k, r.loop, S);
	CU_ASSERT_EQUAL(r.secret_reads, 1);
	CU_ASSERT_PTR_NULL(r.held);
	CU_ASSERT_EQUAL(r.secrets, 1);
	finish(&r);
}

static bool
receive_list(struct srig *r, uint64_t revision, const char *text)
{
	GBytes *b = g_bytes_new(text, strlen(text));
	bool taken = plat_members_receive(r->members, REV(revision), b);

	g_bytes_unref(b);
	return taken;
}

/* Guards against a peer's list that is old, invalid, or lacks our row. */
static void
test_peer_list(void)
{
	struct srig r = { .timed = true,
		.not_reader = true,
		.first =
		    LIST(SECRET_ITEM "," ENTRY("a") "," OWN_ITEM, "true") };
	static const char two[] =
	    "[[\"a\",\"127.0.0.1:8\",100],[\"e0\",\"127.0.0.1:9\",1000]]";
	GBytes *text;

	run_rig(&r);
	CU_ASSERT_EQUAL(r.lists_received, 0);
	CU_ASSERT_PTR_NULL(plat_members_text(r.members));
	CU_ASSERT_FALSE(receive_list(&r, 20, "[[\"a\",7,1]]"));
	CU_ASSERT_FALSE(receive_list(&r, 20, "[]"));
	CU_ASSERT_FALSE(receive_list(&r, 20, "[[\"a\",\"127.0.0.1:8\",100"));
	CU_ASSERT_EQUAL(r.lists_received, 0);
	CU_ASSERT_TRUE(receive_list(&r, 20, two));
	CU_ASSERT_TRUE(receive_list(&r, 19, "[[\"a\",\"127.0.0.1:8\",100]]"));
	CU_ASSERT_EQUAL(r.lists_received, 1);
	CU_ASSERT_EQUAL(r.longest_list, 2);
	CU_ASSERT_EQUAL(plat_members_rev(r.members).revision, 20);
	text = plat_members_text(r.members);
	CU_ASSERT_EQUAL(g_bytes_get_size(text), strlen(two));
	g_bytes_unref(text);
	CU_ASSERT_TRUE(receive_list(&r, 21, "[[\"a\",\"127.0.0.1:8\",100]]"));
	(void)run_with_timeout(r.k, r.loop, S / 5);
	CU_ASSERT_EQUAL(r.puts, 1);
	finish(&r);
}

/* Guards against departed entries that stay, and live ones removed. */
static void
test_listed_departed(void)
{
	struct mh_liveness *l = mh_liveness_create();
	GPtrArray *departed;
	char node[8];

	for (int at = 0; at <= 200; at += 2) {
		mh_liveness_begin(l);
		for (int i = 0; i < 10; i++) {
			bool alive = i >= 3 || (i == 2 && at % 50 == 0);

			g_snprintf(node, sizeof(node), "n%d", i);
			/* We are cut off from all others for a while. */
			alive = alive && (at < 100 || at > 180);
			if (i != 1 || at < 30)
				mh_liveness_note(l, node, alive, at * S);
		}
		departed = mh_liveness_departed(l, at * S);
		if (at <= 60 || (at >= 100 && at <= 180))
			CU_ASSERT_EQUAL(departed->len, 0);
		if (at > 60 && at < 100) {
			CU_ASSERT_EQUAL_FATAL(departed->len, 1);
			CU_ASSERT_STRING_EQUAL(departed->pdata[0], "n0");
		}
		g_ptr_array_free(departed, TRUE);
	}
	mh_liveness_destroy(l);
}

/*
 * The store answers nobody for seconds.  Guards against every entry becoming a
 * reader because none of the entries before it can read: the store counts the
 * calls of all of them.
 */
static void
test_few_probe(void)
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
#define ROWS(rows, count) \
	"{\"items\":[" rows "],\"gone\":[],\"since\":0,\"count\":" count "}"

static void
receive_conf(struct srig *r)
{
	static const char conf[] =
	    "{\"version\":3,\"routes\":[],\"services\":[]}";

	plat_view_receive_conf(r->view, REV(3), conf, strlen(conf));
}

static void
receive_rows(struct srig *r, uint64_t revision, const char *text)
{
	plat_view_receive_rows(r->view, REV(revision), text, strlen(text));
}

/* Guards against starts whose calls grow with the number of endpoints. */
static void
test_start_receives_rows(void)
{
	struct srig r = { .timed = true, .not_reader = true };

	run_rig(&r);
	CU_ASSERT_EQUAL(r.row_reads + r.row_watches, 0);
	CU_ASSERT_FALSE(plat_view_ready(r.view));
	CU_ASSERT_TRUE(plat_view_rows_due(r.view));
	receive_conf(&r);
	receive_rows(&r, 300, ROWS(ROW_A, "1"));
	CU_ASSERT_TRUE(plat_view_ready(r.view));
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.row_reads + r.row_watches, 0);
	finish(&r);
}

/* Guards against a start that waits for peers which never send rows. */
static void
test_start_receives_nothing(void)
{
	struct srig r = { .timed = true, .not_reader = true };

	run_rig(&r);
	(void)run_with_timeout(r.k, r.loop, 3 * S);
	CU_ASSERT(r.row_reads > 0);
	CU_ASSERT_TRUE(plat_view_ready(r.view));
	finish(&r);
}

/* Guards against reading all pages when peers send nothing for a second. */
static void
test_silence_costs_one_call(void)
{
	struct srig r = { .timed = true,
		.not_reader = true,
		.row_watch = "{\"events\":[{\"key\":\"servers/a\",\"revision\":"
			     "2,\"deleted\":true},{\"key\":\"servers/b\","
			     "\"revision\":301,\"value\":\"e30=\"}],"
			     "\"asOf\":302}" };
	GBytes *text;

	run_rig(&r);
	receive_rows(&r, 300, ROWS(ROW_A, "1"));
	(void)run_with_timeout(r.k, r.loop, 3 * S / 2);
	CU_ASSERT_EQUAL(r.row_reads, 0);
	CU_ASSERT(r.row_watches > 0 && r.row_watches <= 2);
	/* The watch's event of revision 2 is older than the peer's row. */
	CU_ASSERT_EQUAL(plat_view_rows_rev(r.view).revision, 301);
	text = plat_view_rows_text(r.view, REV(0));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(g_bytes_get_data(text, NULL), "servers/a"));
	g_bytes_unref(text);
	finish(&r);
}

/* Guards against reading the configuration at each entry's start. */
static void
test_start_receives_conf(void)
{
	struct srig r = { .timed = true, .not_reader = true };

	run_rig(&r);
	CU_ASSERT_EQUAL(r.conf_reads, 0);
	receive_conf(&r);
	CU_ASSERT_TRUE(r.has_conf);
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.conf_reads + r.watches, 0);
	finish(&r);
}

/*
 * Guards against a configuration that stays stale because the later one sent by
 * peers never arrives or is invalid.
 */
static void
test_stale_conf_is_read(void)
{
	struct srig r = { .timed = true, .not_reader = true };

	run_rig(&r);
	receive_conf(&r);
	receive_rows(&r, 300, ROWS(ROW_A, "1"));
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.conf_reads + r.watches, 0);
	r.conf_stale = true;
	(void)run_with_timeout(r.k, r.loop, S / 2);
	CU_ASSERT_EQUAL(r.conf_reads, 1);
	(void)run_with_timeout(r.k, r.loop, 2 * S);
	CU_ASSERT(r.conf_reads >= 2 && r.conf_reads <= 3);
	r.conf_stale = false;
	r.conf_reads = 0;
	(void)run_with_timeout(r.k, r.loop, S);
	CU_ASSERT_EQUAL(r.conf_reads, 0);
	finish(&r);
}

/* Guards against a start that waits for peers when there are none. */
static void
test_start_without_peers(void)
{
	struct srig r = { .timed = true, .not_reader = true, .alone = true };

	run_rig(&r);
	(void)run_with_timeout(r.k, r.loop, S);
	CU_ASSERT(r.conf_reads > 0);
	CU_ASSERT_TRUE(r.has_conf);
	finish(&r);
}

/* Guards against frequent calls while there is no configuration. */
static void
test_no_configuration_yet(void)
{
	struct srig r = { .timed = true, .alone = true, .written = NOTHING };

	run_rig(&r);
	CU_ASSERT(r.conf_reads > 0 && r.conf_reads <= 2);
	r.alone = false;
	r.not_reader = true;
	r.conf_reads = 0;
	(void)run_with_timeout(r.k, r.loop, 2 * S);
	CU_ASSERT(r.conf_reads <= 1);
	finish(&r);
}

/* Connections to the stand-in below. */
#define PEERS 32
#define KEPT 6
#define SILENT_WAIT_US (40 * MH_US_PER_MS)

/** struct silent_peer - the stand-in's end of a connection. */
struct silent_peer {
	struct silent_rig *r;
	int fd;
	bool silent;
};

/** struct silent_rig - a store whose open connections go silent. */
struct silent_rig {
	struct mh_loop *l;
	int listen_fd;
	struct silent_peer peers[PEERS];
	uint32_t n_peers;
	uint32_t answered;
	uint32_t unanswered;
	uint32_t open; /* calls */
};

static void
on_silent_peer(void *arg, bool readable, bool writable)
{
	static const char text[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	struct silent_peer *p = arg;
	char buf[4096];
	ssize_t n = recv(p->fd, buf, sizeof(buf), 0);

	(void)readable;
	(void)writable;
	if (n <= 0) {
		mh_loop_fd_close(p->r->l, p->fd);
		close(p->fd);
		p->fd = -1;
	} else if (!p->silent) {
		CU_ASSERT_EQUAL(send(p->fd, text, strlen(text), MSG_NOSIGNAL),
		    (ssize_t)strlen(text));
	}
}

static void
on_silent_accept(void *arg, bool readable, bool writable)
{
	struct silent_rig *r = arg;
	struct silent_peer *p = &r->peers[r->n_peers++];

	(void)readable;
	(void)writable;
	CU_ASSERT_FATAL(r->n_peers < PEERS);
	p->r = r;
	p->fd = accept(r->listen_fd, NULL, NULL);
	mh_loop_fd(r->l, p->fd, true, false, on_silent_peer, p);
}

static void
on_silent_reply(void *arg, const struct plat_reply *a)
{
	struct silent_rig *r = arg;

	r->answered += a->status == 200;
	r->unanswered += a->status == 0;
	if (--r->open == 0)
		mh_loop_stop(r->l);
}

static void
call_silent(struct silent_rig *r, struct plat_store *s, uint32_t calls)
{
	r->open = calls;
	for (uint32_t i = 0; i < calls; i++)
		plat_store_call(s, "GET", "/kv-key?key=a", NULL, SILENT_WAIT_US,
		    on_silent_reply, r);
	mh_loop_run(r->l);
}

/*
 * Guards against a store that counts as down although new connections to it
 * work: its kept connections all went silent, and each was tried in turn.
 */
static void
test_kept_connections_silent(void)
{
	struct silent_rig r = { 0 };
	struct mh_kern *k = mh_kern_create(1);
	struct mh_hcalls *calls;
	struct plat_store *s;
	char addr[32];

	r.l = mh_loop_create(k, NULL);
	r.listen_fd = tcp_listen(addr);
	mh_loop_fd(r.l, r.listen_fd, true, false, on_silent_accept, &r);
	calls = mh_hcalls_create(r.l);
	s = plat_store_create(k, calls, addr);
	call_silent(&r, s, KEPT);
	CU_ASSERT_EQUAL(r.answered, KEPT);
	CU_ASSERT_EQUAL(r.n_peers, KEPT);
	for (uint32_t i = 0; i < r.n_peers; i++)
		r.peers[i].silent = true;
	for (int i = 0; i < KEPT + 2; i++)
		call_silent(&r, s, 1);
	CU_ASSERT_EQUAL(r.unanswered, 1);
	CU_ASSERT_EQUAL(r.answered, KEPT + KEPT + 1);
	CU_ASSERT_FALSE(plat_store_is_down(s));
	plat_store_destroy(s);
	mh_hcalls_destroy(calls);
	for (uint32_t i = 0; i < r.n_peers; i++) {
		if (r.peers[i].fd < 0)
			continue;
		mh_loop_fd_close(r.l, r.peers[i].fd);
		close(r.peers[i].fd);
	}
	mh_loop_fd_close(r.l, r.listen_fd);
	close(r.listen_fd);
	mh_loop_destroy(r.l);
	mh_kern_destroy(k);
}

const struct test tests_store[] = {
	{ "store: one call detects its recovery",
	    test_one_call_detects_recovery },
	{ "store: all is read at once", test_all_is_read_at_once },
	{ "store: a reading has its first page's revision",
	    test_first_page_revision },
	{ "store: malformed pages", test_malformed_pages },
	{ "store: empty or malformed watches", test_malformed_watches },
	{ "store: configuration without a value", test_conf_without_value },
	{ "kept connections to the store go silent",
	    test_kept_connections_silent },
	{ "evacuated failure domains", test_evacuated },
	{ "evacuated failure domains of a peer that is behind",
	    test_evacuated_of_a_peer_that_is_behind },
	{ "store: malformed pages of entries", test_malformed_entry_pages },
	{ "store: pages of entries", test_entry_pages },
	{ "platform: the secret is read twice", test_secret_read_twice },
	{ "store: a start reads one page", test_start_reads_one_page },
	{ "store: a list received from a peer", test_peer_list },
	{ "store: listed entries that departed", test_listed_departed },
	{ "store: a start receives its rows", test_start_receives_rows },
	{ "store: a start receives nothing", test_start_receives_nothing },
	{ "store: silence costs one call", test_silence_costs_one_call },
	{ "store: a start receives the configuration",
	    test_start_receives_conf },
	{ "store: a stale configuration is read", test_stale_conf_is_read },
	{ "store: a start without peers", test_start_without_peers },
	{ "store: no configuration yet", test_no_configuration_yet },
	{ "store: few entries probe it", test_few_probe },
	{ NULL, NULL },
};
