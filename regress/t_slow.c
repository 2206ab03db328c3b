/**
 * DOC: Slow responses of the store: over loopback, from a stand-in that sends
 * each in pieces.
 */

#include "platform.h"
#include "regress.h"
#include "tcp.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define PIECE_US (100 * MS)
#define PEER_US (200 * MS) /* interval of peers' heartbeats */
#define CHANGE_US (1 * S)
#define VALUE_1 "eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"
#define VALUE_3 "eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"
#define CONF(revision, value)                                          \
	"{\"key\":\"op/config\",\"revision\":" #revision ",\"value\":" \
	"\"" value "\"}"
#define ITEMS(item) "{\"items\":[" item "],\"hasMore\":false,\"asOf\":9}"
#define EVENTS(item) "{\"events\":[" item "],\"asOf\":9}"
#define ROW "{\"key\":\"servers/a\",\"revision\":4,\"value\":\"e30=\"}"

/** struct pieces - how a response is sent. */
struct pieces {
	uint32_t count; /* one each PIECE_US; 0: all at once */
	uint32_t silent_after; /* pieces sent before it stalls; 0: never */
};

enum request_kind { WRITTEN, WRITTEN_WATCH, ROWS, ROWS_WATCH, OTHER, KINDS };

/** struct wrig - a store that responds in pieces, and a view that reads it. */
struct wrig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hcalls *calls;
	struct mh_hserve *server;
	struct mh_fleet *fleet;
	struct plat_store *store;
	struct plat_view *view;
	struct pieces sent[KINDS];
	const char *text[KINDS]; /* responses; NULL: no events */
	uint32_t requests[KINDS];
	uint64_t version; /* of the configuration in force */
	GPtrArray *sending; /* struct sending */
	bool relies; /* it leaves reading to peers, which confirm its rows */
	bool confirmed; /* they confirm its configuration too */
	const char *later; /* item that the store has after CHANGE_US */
	struct mh_timer *peer_timer;
};

/** struct sending - a response being sent. */
struct sending {
	struct wrig *r;
	struct mh_hreq *q;
	struct pieces p;
	const char *text;
	uint32_t done;
	struct mh_timer *timer;
};

static void
free_sending(void *arg)
{
	struct sending *s = arg;

	mh_timer_stop(s->r->k, &s->timer);
	g_free(s);
}

static void
send_piece(void *arg)
{
	struct sending *s = arg;
	size_t len = strlen(s->text);
	size_t from = len * s->done / s->p.count;
	size_t to = len * (s->done + 1) / s->p.count;

	mh_hreq_write(s->q, s->text + from, to - from);
	s->done++;
	if (s->done == s->p.count) {
		mh_hreq_end(s->q);
		g_ptr_array_remove(s->r->sending, s);
	} else if (s->done != s->p.silent_after) {
		mh_timer_set(s->r->k, &s->timer, PIECE_US, send_piece, s);
	}
}

static enum request_kind
kind_of_request(const char *target)
{
	bool rows = strstr(target, "pathPrefix=" PLAT_REGISTRY_PREFIX) != NULL;

	if (strstr(target, "pathPrefix=" PLAT_OWN_PREFIX) != NULL)
		return OTHER;
	if (strstr(target, "/kv-watch") != NULL)
		return rows ? ROWS_WATCH : WRITTEN_WATCH;
	return rows ? ROWS : WRITTEN;
}

static void
on_request(void *arg, struct mh_hreq *q)
{
	struct wrig *r = arg;
	enum request_kind kind = kind_of_request(mh_hreq_target(q));
	struct sending *s = g_new0(struct sending, 1);
	struct mh_headers *h = mh_headers_create();

	s->r = r;
	s->q = q;
	s->p = r->sent[kind];
	s->p.count = MAX(s->p.count, 1);
	s->text = r->text[kind] != NULL ? r->text[kind] : EVENTS("");
	r->requests[kind]++;
	mh_hreq_set_data(q, s);
	g_ptr_array_add(r->sending, s);
	mh_headers_add(h, "Content-Type", "application/json");
	mh_hreq_head(q, 200, h, (int64_t)strlen(s->text));
	mh_headers_destroy(h);
	send_piece(s);
}

static void
on_disconnect(void *arg, struct mh_hreq *q)
{
	struct wrig *r = arg;

	g_ptr_array_remove(r->sending, mh_hreq_data(q));
}

static void
on_conf(void *arg, struct mh_gconf *c)
{
	((struct wrig *)arg)->version = c->version;
}

static void
on_evacuated(void *arg, const char *const *domains)
{
	(void)arg;
	(void)domains;
}

static void
on_first(void *arg, const struct plat_reply *reply)
{
	(void)arg;
	(void)reply;
}

static bool
yes(void *arg)
{
	(void)arg;
	return true;
}

static bool
no(void *arg)
{
	(void)arg;
	return false;
}

static bool
reads(void *arg)
{
	return !((struct wrig *)arg)->relies;
}

static void
on_peer(void *arg)
{
	struct wrig *r = arg;

	plat_view_rows_unchanged(r->view, 0);
	if (r->confirmed)
		plat_view_conf_unchanged(r->view, 0);
	mh_timer_set(r->k, &r->peer_timer, PEER_US, on_peer, r);
}

static void
on_change(void *arg)
{
	struct wrig *r = arg;

	r->text[WRITTEN] = r->later;
}

static void
run_rig(struct wrig *r, int64_t us)
{
	struct mh_hserve_args a = { .listen = "127.0.0.1:0",
		.limits = { 4096, 65536, 3 * S, 9 * S },
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.arg = r };
	struct plat_view_fns fns = { on_conf, on_evacuated, reads, yes, no, r,
		2 * S, NULL };
	char addr[32];

	r->k = mh_kern_create(1);
	r->loop = mh_loop_create(r->k, NULL);
	r->sending = g_ptr_array_new_with_free_func(free_sending);
	r->server = mh_hserve_create(r->loop, &a, NULL);
	r->calls = mh_hcalls_create(r->loop);
	g_snprintf(
	    addr, sizeof(addr), "127.0.0.1:%u", mh_hserve_port(r->server));
	r->fleet = mh_fleet_create(r->k);
	r->store = plat_store_create(r->k, r->calls, addr);
	r->view = plat_view_create(r->k, r->store, r->fleet, &fns);
	if (r->relies)
		mh_timer_set(r->k, &r->peer_timer, PEER_US, on_peer, r);
	if (r->later != NULL)
		mh_timer_start(r->k, CHANGE_US, on_change, r);
	/* As at every start, one call finds out that the store answers. */
	plat_store_call(r->store, "GET",
	    "/kv-range?pathPrefix=" PLAT_OWN_PREFIX, NULL, S, on_first, r);
	(void)run_with_timeout(r->k, r->loop, us);
}

static void
finish(struct wrig *r)
{
	mh_timer_stop(r->k, &r->peer_timer);
	plat_view_destroy(r->view);
	plat_store_destroy(r->store);
	mh_fleet_destroy(r->fleet);
	mh_hserve_destroy(r->server);
	mh_hcalls_destroy(r->calls);
	g_ptr_array_free(r->sending, TRUE);
	mh_loop_destroy(r->loop);
	mh_kern_destroy(r->k);
}

/* Guards against starts that never get a configuration over a narrow link. */
static void
test_slow_configuration(void)
{
	struct wrig r = { .text = { ITEMS(CONF(3, VALUE_3)), NULL, ITEMS("") },
		.sent = { { 12, 0 } } };

	run_rig(&r, 2 * S);
	CU_ASSERT_EQUAL(r.version, 3);
	finish(&r);
}

/* Guards against a change that no watch ever brings over a narrow link. */
static void
test_slow_change(void)
{
	struct wrig r = { .text = { ITEMS(CONF(1, VALUE_1)),
			      EVENTS(CONF(3, VALUE_3)), ITEMS("") },
		.sent = { { 0, 0 }, { 28, 0 } } };

	run_rig(&r, 4500 * MS);
	CU_ASSERT_EQUAL(r.version, 3);
	CU_ASSERT_EQUAL(r.requests[WRITTEN_WATCH], 2);
	finish(&r);
}

/* Guards against a view that never gets ready over a narrow link. */
static void
test_slow_rows(void)
{
	struct wrig r = { .text = { ITEMS(CONF(3, VALUE_3)), NULL, ITEMS(ROW) },
		.sent = { { 0, 0 }, { 0, 0 }, { 18, 0 } } };

	run_rig(&r, 4 * S);
	CU_ASSERT_TRUE(plat_view_ready(r.view));
	finish(&r);
}

/* Guards against a reader to which the store responds too slowly. */
static void
test_slow_reader(void)
{
	static const struct {
		uint32_t pieces; /* of the watch's response */
		int64_t us;
		bool reads;
	} t[] = { { 60, 1500 * MS, true }, { 60, 3800 * MS, false },
		{ 0, 3800 * MS, true } };

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct wrig r = { .text = { ITEMS(CONF(1, VALUE_1)),
				      EVENTS(CONF(3, VALUE_3)), ITEMS(ROW) },
			.sent = { { 0, 0 }, { t[i].pieces, 0 } } };

		run_rig(&r, t[i].us);
		CU_ASSERT_TRUE(plat_view_ready(r.view));
		CU_ASSERT_EQUAL(plat_view_can_read(r.view), t[i].reads);
		finish(&r);
	}
}

/* A value may have some megabytes, and a watch may return two of them. */
static char *
large_conf(size_t len)
{
	GString *s =
	    g_string_new("{\"version\":3,\"routes\":[],\"services\":[]");
	char *value, *text;

	while (s->len < len)
		g_string_append(s, "                                ");
	g_string_append_c(s, '}');
	value = g_base64_encode((const guchar *)s->str, s->len);
	text = g_strdup_printf("{\"items\":[{\"key\":\"op/config\","
			       "\"revision\":3,\"value\":\"%s\"}],"
			       "\"hasMore\":false,\"asOf\":9}",
	    value);
	g_free(value);
	g_string_free(s, TRUE);
	return text;
}

/* Guards against a document that is truncated when it is read. */
static void
test_large_document(void)
{
	char *text = large_conf(4U << 20);
	struct wrig r = { .text = { text, NULL, ITEMS("") } };

	run_rig(&r, 3 * S);
	CU_ASSERT_EQUAL(r.version, 3);
	finish(&r);
	g_free(text);
}

/* Guards against reading the same document all the time on a slow link. */
static void
test_slow_whole_readings(void)
{
	struct wrig r = { .text = { ITEMS(CONF(3, VALUE_3)), NULL, ITEMS("") },
		.sent = { { 6, 0 } } };

	run_rig(&r, 4200 * MS);
	CU_ASSERT_EQUAL(r.version, 3);
	CU_ASSERT_EQUAL(r.requests[WRITTEN], 1);
	finish(&r);
}

/* Guards against a call that waits for a response that has stalled. */
static void
test_stalled_response(void)
{
	struct wrig r = { .text = { ITEMS(CONF(3, VALUE_3)), NULL, ITEMS("") },
		.sent = { { 12, 3 } } };

	run_rig(&r, 2500 * MS);
	CU_ASSERT_EQUAL(r.version, 0);
	CU_ASSERT(r.requests[WRITTEN] >= 2);
	finish(&r);
}

/* Guards against a configuration that peers neither confirm nor replace. */
static void
test_unconfirmed_configuration(void)
{
	struct wrig r = { .text = { ITEMS(CONF(1, VALUE_1)), NULL, ITEMS(ROW) },
		.relies = true,
		.later = ITEMS(CONF(3, VALUE_3)) };

	run_rig(&r, 3800 * MS);
	CU_ASSERT_EQUAL(r.version, 3);
	finish(&r);
}

/* Guards against calls for what peers have just confirmed. */
static void
test_confirmed_configuration(void)
{
	struct wrig r = { .text = { ITEMS(CONF(1, VALUE_1)), NULL, ITEMS(ROW) },
		.relies = true,
		.confirmed = true };

	run_rig(&r, 3800 * MS);
	CU_ASSERT_EQUAL(r.version, 1);
	CU_ASSERT_EQUAL(r.requests[WRITTEN], 1);
	CU_ASSERT_EQUAL(r.requests[WRITTEN_WATCH], 0);
	finish(&r);
}

const struct test tests_slow[] = {
	{ "slow: a configuration that no peer confirms",
	    test_unconfirmed_configuration },
	{ "slow: a configuration that peers confirm",
	    test_confirmed_configuration },
	{ "slow: a configuration", test_slow_configuration },
	{ "slow: a change", test_slow_change },
	{ "slow: rows", test_slow_rows },
	{ "slow: a reader", test_slow_reader },
	{ "slow: a document of some megabytes", test_large_document },
	{ "slow: whole readings", test_slow_whole_readings },
	{ "slow: a response that stalls", test_stalled_response },
	{ NULL, NULL },
};
