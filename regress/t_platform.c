/**
 * DOC: Tests of the formats of the users' platform: settings, configuration,
 * headers of requests and responses.  Rows of the registry are tested in
 * t_platform_rows.c.
 */

#include "platform.h"
#include "gaterig.h"
#include "regress.h"

#include <string.h>

static const char good_settings[] =
    "node: \"e1\"\nzone: \"z\"\nip: \"10.0.0.1\"\n"
    "listen:\n  front: \"10.0.0.1:80\"\n  ready: \"10.0.0.1:81\"\n"
    "internalPorts:\n  - 7000\n  - 7015\n"
    "provider:\n  address: \"10.0.0.9:90\"\n"
    "limits:\n  cpuShare: 0.25\n  memoryMb: 260\n"
    "bounds:\n  drainMs: 2000\n  graceS: 8\n  retryBudgetRatio: 0.2\n"
    "  retryBudgetSlack: 52\n  budgetWindowS: 10\n"
    "something: {new: [1, 2]}\n";

static struct plat_settings *
read_settings(const char *text, GError **err)
{
	GBytes *b = g_bytes_new(text, strlen(text));
	struct plat_settings *s = plat_settings_parse(b, err);

	g_bytes_unref(b);
	return s;
}

static void
test_settings(void)
{
	struct plat_settings *s = read_settings(good_settings, NULL);

	if (s == NULL) {
		CU_FAIL("no settings returned");
		return;
	}
	CU_ASSERT_STRING_EQUAL(s->node, "e1");
	CU_ASSERT_STRING_EQUAL(s->domain, "z");
	CU_ASSERT_STRING_EQUAL(s->store_addr, "10.0.0.9:90");
	CU_ASSERT_EQUAL(s->ports_from, 7000);
	CU_ASSERT_EQUAL(s->ports_to, 7015);
	CU_ASSERT_EQUAL(s->drain_us, 2 * MH_US_PER_S);
	CU_ASSERT_EQUAL(s->grace_us, 8 * MH_US_PER_S);
	CU_ASSERT_DOUBLE_EQUAL(s->cpu_share, 0.25, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(s->retry_slack, 52, 1e-9);
	plat_settings_free(s);
}

/** struct mutation - a change of a valid text that makes it invalid. */
struct mutation {
	const char *from;
	const char *to;
	const char *names; /* the error message must contain this */
};

static const struct mutation bad_settings[] = {
	{ "node: \"e1\"\n", "", "node" },
	{ "\"10.0.0.1:80\"", "\"10.0.0.1\"", "listen.front" },
	{ "\"10.0.0.9:90\"", "\"store\"", "provider.address" },
	{ "  - 7015\n", "", "internalPorts.1" },
	{ "7000", "70000", "internalPorts.0" },
	{ "graceS: 8", "graceS: soon", "bounds.graceS" },
	{ "cpuShare: 0.25", "cpuShare: -1", "limits.cpuShare" },
	{ "zone: \"z\"", "zone: [", "line" },
};

static void
test_bad_settings(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bad_settings); i++) {
		gchar **parts =
		    g_strsplit(good_settings, bad_settings[i].from, 2);
		char *text = g_strjoinv(bad_settings[i].to, parts);
		GError *err = NULL;

		CU_ASSERT_PTR_NULL(read_settings(text, &err));
		if (err == NULL) {
			CU_FAIL("no error returned");
			return;
		}
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(err->message, bad_settings[i].names));
		g_error_free(err);
		g_free(text);
		g_strfreev(parts);
	}
}

static const char good_conf[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\","
    "\"kind\":\"streaming\",\"timeoutMs\":6000,\"sloMs\":1600,"
    "\"priority\":1,\"backends\":[{\"service\":\"s\",\"weight\":90},"
    "{\"service\":\"t\",\"weight\":10}],\"maxAttempts\":1,"
    "\"stages\":[{\"service\":\"p\",\"after\":[],\"bytes\":1500000},"
    "{\"service\":\"p\",\"after\":[0],\"bytes\":10}],"
    "\"resumable\":false,\"gapAimMs\":800},"
    "{\"name\":\"r2\",\"host\":\"a.example\",\"pathPrefix\":\"/x/y/\","
    "\"kind\":\"safe\",\"service\":\"s\",\"maxAttempts\":2},"
    "{\"name\":\"r3\",\"host\":\"a.example\",\"pathPrefix\":\"/z/\","
    "\"kind\":\"odd\",\"service\":\"s\",\"allowAnonymous\":true},"
    "{\"name\":\"r4\",\"host\":\"a.example\",\"pathPrefix\":\"/s/\","
    "\"kind\":\"streaming\",\"service\":\"s\",\"resumable\":true}],"
    "\"services\":[{\"name\":\"s\",\"maxConnections\":360,"
    "\"engine\":{\"capacity\":64,\"kvCapacity\":1000}},"
    "{\"name\":\"t\"},{\"name\":\"p\",\"pieces\":{\"capacity\":1,"
    "\"batch\":8,\"callMs\":200.0,\"itemMs\":21.0,\"headroomMb\":18.0,"
    "\"handleS\":4.0}}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"o\",\"apiKeys\":[\"k1\",\"k2\"],"
    "\"priority\":2}]}";

static void
test_conf(void)
{
	struct mh_gconf *c =
	    plat_conf_decode(good_conf, strlen(good_conf), NULL, NULL);
	struct mh_groute *r;
	struct mh_gorg *o;

	if (c == NULL) {
		CU_FAIL("no configuration returned");
		return;
	}
	CU_ASSERT_EQUAL(c->version, 7);
	r = mh_gconf_route(c, "a.example", "/x/1");
	CU_ASSERT_STRING_EQUAL(r->name, "r1");
	CU_ASSERT_TRUE(r->stream);
	CU_ASSERT_EQUAL(r->repeat, MH_REPEAT_NEVER);
	CU_ASSERT_EQUAL(r->n_stages, 2);
	CU_ASSERT_EQUAL(r->stages[1].after, 1);
	CU_ASSERT_STRING_EQUAL(mh_groute_pool(r, 0.5), "s");
	CU_ASSERT_STRING_EQUAL(mh_groute_pool(r, 0.95), "t");
	r = mh_gconf_route(c, "A.EXAMPLE", "/x/y/1?q");
	CU_ASSERT_STRING_EQUAL(r->name, "r2");
	CU_ASSERT_EQUAL(r->repeat, MH_REPEAT_SAFE);
	CU_ASSERT_EQUAL(
	    mh_gconf_route_by_name(c, "r3")->repeat, MH_REPEAT_NEVER);
	CU_ASSERT_TRUE(mh_gconf_route_by_name(c, "r3")->allow_anonymous);
	CU_ASSERT_EQUAL(
	    mh_gconf_route_by_name(c, "r4")->repeat, MH_REPEAT_RESUME);
	CU_ASSERT_PTR_NULL(mh_gconf_route(c, "b.example", "/x/1"));
	CU_ASSERT_PTR_NULL(mh_gconf_route(c, "a.example", "/x"));
	CU_ASSERT_EQUAL(mh_gconf_pool(c, "p")->work.batch, 8);
	CU_ASSERT_EQUAL(mh_gconf_pool(c, "p")->work.item_us, 21 * MH_US_PER_MS);
	CU_ASSERT_EQUAL(
	    mh_gconf_pool(c, "p")->work.result_memory_bytes, 18000000);
	o = g_hash_table_lookup(c->keys, "k2");
	CU_ASSERT_STRING_EQUAL(o->name, "o");
	CU_ASSERT_EQUAL(o->priority, 2);
	CU_ASSERT_EQUAL(c->limits.idle_us, 15 * MH_US_PER_S);
	mh_gconf_unref(c);
}

static struct mh_groute *
route_at(const struct mh_gconf *c, guint i)
{
	return g_ptr_array_index(c->routes, i);
}

static char *
replace_all(const char *text, const char *from, const char *to)
{
	gchar **parts = g_strsplit(text, from, -1);
	char *out = g_strjoinv(to, parts);

	g_strfreev(parts);
	return out;
}

/* Guards against a change of one route that decodes all of them again. */
static void
test_conf_shares_routes(void)
{
	char *text =
	    replace_all(good_conf, "\"name\":\"r2\"", "\"name\":\"r9\"");
	struct mh_gconf *a =
	    plat_conf_decode(good_conf, strlen(good_conf), NULL, NULL);
	struct mh_gconf *b = plat_conf_decode(text, strlen(text), a, NULL);

	CU_ASSERT_EQUAL(b->routes->len, a->routes->len);
	for (guint i = 0; i < a->routes->len; i++)
		CU_ASSERT_EQUAL(route_at(a, i) == route_at(b, i), i != 1);
	mh_gconf_unref(a);
	CU_ASSERT_STRING_EQUAL(route_at(b, 0)->name, "r1");
	CU_ASSERT_STRING_EQUAL(route_at(b, 1)->name, "r9");
	CU_ASSERT_PTR_NOT_NULL(mh_gconf_route(b, "a.example", "/z/"));
	mh_gconf_unref(b);
	g_free(text);
}

static bool
same_conf(const struct mh_gconf *a, const struct mh_gconf *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	if (a->version != b->version || a->routes->len != b->routes->len ||
	    a->orgs->len != b->orgs->len ||
	    g_hash_table_size(a->pools) != g_hash_table_size(b->pools))
		return false;
	for (guint i = 0; i < a->routes->len; i++) {
		const struct mh_groute *x = route_at(a, i), *y = route_at(b, i);

		if (strcmp(x->name, y->name) != 0 ||
		    strcmp(x->host, y->host) != 0 ||
		    strcmp(x->prefix, y->prefix) != 0 ||
		    x->timeout_us != y->timeout_us ||
		    x->n_stages != y->n_stages ||
		    x->targets->len != y->targets->len)
			return false;
	}
	return true;
}

/* With an escape in the name of the list a text is decoded as a whole. */
static bool
decodes_equally(const char *text, const struct mh_gconf *prev)
{
	char *whole = replace_all(text, "\"routes\"", "\"rout\\u0065s\"");
	struct mh_gconf *a = plat_conf_decode(text, strlen(text), prev, NULL);
	struct mh_gconf *b = plat_conf_decode(whole, strlen(whole), NULL, NULL);
	bool same = same_conf(a, b);

	mh_gconf_unref(a);
	mh_gconf_unref(b);
	g_free(whole);
	return same;
}

/* Guards against a text that decodes differently in parts than as a whole. */
static void
test_conf_in_parts(void)
{
	static const char *const odd[] = { "", "{", "{}", "[]",
		"{\"routes\":[]}", "{\"routes\":[],}", "{\"routes\":[{}]}",
		"{\"routes\":[1,]}", "{\"routes\":[]}{}",
		" { \"routes\" : [ ] , \"version\" : 3 } ",
		"{\"routes\":[],\"routes\":[{}]}",
		"{\"routes\":[{}],\"routes\":[]}", "{\"routes\":{}}",
		"{\"routes\":[}]}", "{\"a\":\"\\\"routes\",\"routes\":[]}",
		"{\"a\":{\"routes\":[{}]},\"routes\":[]}",
		"{\"routes\":[],\"r\\u006futes\":[{}]}", "{\"routes\":[\"]\"]}",
		"{\"routes\":[[\"}\"],null]}",
		"{\"routes\":null,\"version\":4}", "{\"version\":4}" };
	static const char chars[] = "{}[]\",:\\ 0ae";
	struct mh_gconf *prev =
	    plat_conf_decode(good_conf, strlen(good_conf), NULL, NULL);
	GRand *rand = g_rand_new_with_seed(39);

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		CU_ASSERT_TRUE(decodes_equally(odd[i], NULL));
		CU_ASSERT_TRUE(decodes_equally(odd[i], prev));
	}
	for (int i = 0; i < 4000; i++) {
		char *text = g_strdup(good_conf);
		int changes = g_rand_int_range(rand, 1, 4);

		for (int n = 0; n < changes; n++)
			text[g_rand_int_range(
			    rand, 0, (gint32)strlen(good_conf))] =
			    chars[g_rand_int_range(
				rand, 0, (gint32)strlen(chars))];
		if (!decodes_equally(text, prev))
			printf("\n  decodes differently in parts: %s\n", text);
		CU_ASSERT_TRUE(decodes_equally(text, prev));
		g_free(text);
	}
	g_rand_free(rand);
	mh_gconf_unref(prev);
}

/* Parts that are left out, and how a fault names them. */
static const struct mutation bad_parts[] = {
	{ "\"host\":\"a.example\",\"pathPrefix\":\"/x/\"",
	    "\"host\":\"a.example\"", "pathPrefix" },
	{ "\"after\":[0]", "\"after\":[1]", "stages" },
	{ "\"after\":[0]", "\"after\":[2]", "stages" },
	{ "\"after\":[0]", "\"after\":[-1]", "stages" },
	{ "\"after\":[0]", "\"after\":[4294967296]", "stages" },
	{ "\"after\":[0]", "\"after\":[0.5]", "stages" },
	{ "\"after\":[0]", "\"after\":[\"0\"]", "stages" },
	{ "\"after\":[]", "\"after\":[1]", "stages" },
	{ "{\"service\":\"p\",\"after\":[0]", "{\"after\":[0]", "stages" },
	{ "\"host\":\"a.example\"", "\"host\":\"a\\u0000b\"", "host" },
	{ "\"name\":\"t\"", "\"nam\":\"t\"", "services" },
	{ "{\"name\":\"o\"", "{\"n\":\"o\"", "tenants" },
	{ "\"kind\":\"safe\",\"service\":\"s\"", "\"kind\":\"safe\"",
	    "service" },
};

/* Guards against an invalid part that keeps the version before in force. */
static void
test_bad_parts(void)
{
	struct mh_gconf *prev =
	    plat_conf_decode(good_conf, strlen(good_conf), NULL, NULL);

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(bad_parts); i++) {
		const struct mutation *m = &bad_parts[i / 2];
		gchar **parts = g_strsplit(good_conf, m->from, 2);
		char *text = g_strjoinv(m->to, parts);
		struct mh_gconf *c = plat_conf_decode(
		    text, strlen(text), i % 2 == 0 ? NULL : prev, NULL);
		struct mh_groute *r;

		if (c == NULL) {
			CU_FAIL("no configuration returned");
			return;
		}
		CU_ASSERT_EQUAL(c->version, 7);
		CU_ASSERT_EQUAL(c->faults->len, 1);
		if (c->faults->len > 0)
			CU_ASSERT_PTR_NOT_NULL(
			    strstr(g_ptr_array_index(c->faults, 0), m->names));
		/* The route is either not there or without a service. */
		r = mh_gconf_route(c, "a.example", "/x/1");
		if (strcmp(m->names, "stages") == 0)
			CU_ASSERT_PTR_NULL(mh_groute_pool(r, 0.5));
		r = mh_gconf_route(c, "a.example", "/s/");
		CU_ASSERT_STRING_EQUAL(mh_groute_pool(r, 0.5), "s");
		CU_ASSERT_EQUAL(g_hash_table_size(c->keys),
		    strcmp(m->names, "tenants") == 0 ? 0 : 2);
		CU_ASSERT_TRUE(c->needs_key);
		CU_ASSERT_TRUE(decodes_equally(text, prev));
		mh_gconf_unref(c);
		g_free(text);
		g_strfreev(parts);
	}
	mh_gconf_unref(prev);
}

static void
test_bad_conf(void)
{
	static const char *const bad[] = { "", "{", "7", "\"a\"", "[]",
		"{\"version\":}", "{\"version\":7,}" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *err = NULL;

		CU_ASSERT_PTR_NULL(
		    plat_conf_decode(bad[i], strlen(bad[i]), NULL, &err));
		if (err == NULL) {
			CU_FAIL("no error returned");
			return;
		}
		CU_ASSERT_PTR_NOT_NULL(strstr(err->message, "line"));
		g_error_free(err);
	}
}

/* A route with @n stages, each of which reads the one that @next names. */
static struct mh_gconf *
decode_stages(uint32_t n, int32_t next, const char *more)
{
	GString *g = g_string_new("{\"version\":8,\"routes\":[{\"name\":\"r\","
				  "\"host\":\"h\",\"pathPrefix\":\"/r/\","
				  "\"service\":\"s\",\"stages\":[");
	struct mh_gconf *c;

	for (uint32_t s = 0; s < n; s++) {
		int64_t from = (int64_t)s + next;

		g_string_append_printf(
		    g, "%s{\"service\":\"p%u\"", s > 0 ? "," : "", s);
		if (from >= 0 && from < n)
			g_string_append_printf(
			    g, ",\"after\":[%" PRId64 "]", from);
		g_string_append_c(g, '}');
	}
	g_string_append_printf(g, "]%s}]}", more);
	c = plat_conf_decode(g->str, g->len, NULL, NULL);
	g_string_free(g, TRUE);
	return c;
}

/* Guards against a valid version that is refused for its list of stages. */
static void
test_stages_as_listed(void)
{
	static const uint32_t sizes[] = { 1, 2, 8, 9, MH_GSTAGES };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(sizes); i++) {
		uint32_t n = sizes[i / 2];
		int32_t next = i % 2 == 0 ? 1 : -1;
		struct mh_gconf *c = decode_stages(n, next, "");
		const struct mh_groute *r = mh_gconf_route(c, "h", "/r/");

		CU_ASSERT_EQUAL(c->faults->len, 0);
		CU_ASSERT_EQUAL(r->n_stages, n);
		for (uint32_t s = 0; s < n; s++) {
			int64_t from = (int64_t)s + next;
			bool reads = from >= 0 && from < n;

			CU_ASSERT_EQUAL(
			    r->stages[s].after, reads ? 1U << from : 0);
		}
		mh_gconf_unref(c);
	}
}

/* Guards against more stages than there is room for. */
static void
test_too_many_stages(void)
{
	struct mh_gconf *c = decode_stages(MH_GSTAGES + 1, 1, "");

	CU_ASSERT_EQUAL(c->version, 8);
	CU_ASSERT_EQUAL(c->faults->len, 1);
	CU_ASSERT_PTR_NULL(mh_groute_pool(mh_gconf_route(c, "h", "/r/"), 0.5));
	mh_gconf_unref(c);
}

/* Guards against numbers that are cut, and fields of no known kind. */
static void
test_odd_numbers(void)
{
	struct mh_gconf *c = decode_stages(1, 1,
	    ",\"timeoutMs\":1e300,\"sloMs\":-4,\"priority\":-1,"
	    "\"maxAttempts\":99999999999999999999,\"kind\":\"\u00e9\","
	    "\"novel\":{\"a\":[1]}");
	const struct mh_groute *r = mh_gconf_route(c, "h", "/r/");

	CU_ASSERT_EQUAL(c->faults->len, 0);
	CU_ASSERT(r->timeout_us > 3600 * MH_US_PER_S);
	CU_ASSERT(r->slo_us > 0);
	CU_ASSERT_EQUAL(r->priority, 0);
	CU_ASSERT_EQUAL(r->attempts, UINT32_MAX);
	CU_ASSERT_EQUAL(r->repeat, MH_REPEAT_NEVER);
	mh_gconf_unref(c);
}

/* response heads */

/** struct head - a response head of an endpoint and what it decodes to. */
struct head {
	const char *name;
	uint32_t status;
	const char *fields; /* "Name: value;..." */
	bool not_run;
	bool addr_reused;
	bool inputs_lost;
	bool genuine;
	bool events;
};

static const struct head heads[] = {
	{ "a response", 200, "X-Response-Stamp: a", false, false, false, true,
	    false },
	{ "a stream", 200,
	    "X-Response-Stamp: a;Content-Type: text/event-stream", false, false,
	    false, true, true },
	{ "no signature", 200, "", false, false, false, false, false },
	{ "encoded", 200, "X-Response-Stamp: a;Content-Encoding: gzip", false,
	    false, false, false, false },
	{ "shed", 503, "X-Not-Executed: 1", true, false, false, false, false },
	{ "503 that doesn't say that it did not run", 503,
	    "X-Response-Stamp: a", false, false, false, true, false },
	{ "address used by another endpoint", 421, "X-Instance-Id: j", true,
	    true, false, false, false },
	{ "inputs lost", 409, "X-Not-Executed: 1", true, false, true, false,
	    false },
	{ "409 of the application", 409, "X-Response-Stamp: a", false, false,
	    false, true, false },
};

static void
test_heads(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		const struct head *w = &heads[i];
		struct mh_headers *h = mh_headers_create();
		gchar **f = g_strsplit(w->fields, ";", -1);
		struct mh_gresp a;

		for (int n = 0; f[n] != NULL && *f[n] != '\0'; n++) {
			gchar **kv = g_strsplit(f[n], ": ", 2);

			mh_headers_add(h, kv[0], kv[1]);
			g_strfreev(kv);
		}
		plat_resp_decode(w->status, h, &a);
		CU_ASSERT_EQUAL(a.not_run, w->not_run);
		CU_ASSERT_EQUAL(a.addr_reused, w->addr_reused);
		CU_ASSERT_EQUAL(a.inputs_lost, w->inputs_lost);
		CU_ASSERT_EQUAL(a.genuine, w->genuine);
		CU_ASSERT_EQUAL(a.events, w->events);
		g_strfreev(f);
		mh_headers_destroy(h);
	}
}

static void
test_load(void)
{
	struct mh_headers *h = mh_headers_create();
	struct mh_gresp a;

	mh_headers_add(h, "X-Instance-Load", "3,1,8");
	plat_resp_decode(200, h, &a);
	CU_ASSERT_TRUE(a.has_load);
	CU_ASSERT_EQUAL(a.running, 3);
	CU_ASSERT_EQUAL(a.waiting, 1);
	CU_ASSERT_EQUAL(a.slots, 8);
	mh_headers_destroy(h);
	h = mh_headers_create();
	mh_headers_add(h, "X-Instance-Load", "3,x");
	plat_resp_decode(200, h, &a);
	CU_ASSERT_FALSE(a.has_load);
	mh_headers_destroy(h);
}

/*
 * Guards against an invalid fourth figure that is used, or that makes the three
 * before it unused.
 */
static void
test_pace(void)
{
	static const struct {
		const char *text;
		bool has_load;
		uint32_t percent;
	} t[] = {
		{ "3,1,8", true, 0 },
		{ "3,1,8,250", true, 250 },
		{ "3,1,8,250,7", true, 250 },
		{ "3,1,8,", true, 0 },
		{ "3,1,8,0", true, 0 },
		{ "3,1,8,-5", true, 0 },
		{ "3,1,8,x", true, 0 },
		{ "3,1,8,10001", true, 0 },
		{ "3,1,8,99999999999999999999", true, 0 },
		{ "3,1", false, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		struct mh_headers *h = mh_headers_create();
		struct mh_gresp a;

		mh_headers_add(h, "X-Instance-Load", t[i].text);
		plat_resp_decode(200, h, &a);
		CU_ASSERT_EQUAL(a.has_load, t[i].has_load);
		CU_ASSERT_EQUAL(a.pace_percent, t[i].percent);
		if (a.has_load)
			CU_ASSERT_EQUAL(a.slots, 8);
		mh_headers_destroy(h);
	}
}

/* Guards against a status that means "not run" for a request that was run. */
static void
test_refusals(void)
{
	static const struct {
		enum mh_gate_refusal why;
		uint32_t status;
	} rows[] = { { MH_NOT_READY, 503 }, { MH_NO_ROUTE, 404 },
		{ MH_BAD_KEY, 401 }, { MH_BAD_REQUEST, 400 },
		{ MH_TOO_BUSY, 503 }, { MH_NO_ENDPOINT, 503 },
		{ MH_NOT_IN_TIME, 503 }, { MH_NO_MEMORY, 503 },
		{ MH_RUN_FAILED, 502 }, { MH_RUN_TIMEOUT, 504 } };
	const char *text;

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		CU_ASSERT_EQUAL(
		    plat_refusal(rows[i].why, &text), rows[i].status);
		CU_ASSERT_PTR_NOT_NULL(text);
	}
}

/** struct report_row - a report of a stage endpoint and what it decodes to. */
struct report_row {
	const char *text;
	bool ok;
	uint32_t running;
	uint32_t waiting;
};

static const struct report_row reports[] = {
	{ "{\"waiting\":2,\"busy\":1,\"freeMb\":0}", true, 1, 2 },
	{ "{\"waiting\":0,\"busy\":0,\"freeMb\":17}", true, 0, 0 },
	{ "{\"busy\":true}", true, 1, 0 },
	{ "{\"busy\":false,\"waiting\":1}", true, 0, 1 },
	{ "{\"busy\":-3,\"waiting\":-1}", true, 0, 0 },
	{ "{\"busy\":\"yes\"}", false, 0, 0 },
	{ "{\"busy\":0,\"waiting\":\"some\"}", true, 0, 0 },
	{ "{\"waiting\":1}", false, 0, 0 },
	{ "{\"busy\":1,\"born\":1784044378752}", true, 1, 0 },
	{ "{\"busy\":1,\"born\":1784044378752.5}", false, 0, 0 },
	{ "{\"busy\":1,\"born\":\"now\"}", false, 0, 0 },
	{ "[1]", false, 0, 0 },
};

static void
test_reports(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
		const struct report_row *t = &reports[i];
		json_t *j = json_loads(t->text, 0, NULL);
		struct mh_work_report w = { 0 };

		CU_ASSERT_EQUAL(plat_report_decode(j, &w), t->ok);
		CU_ASSERT_EQUAL(w.running, t->running);
		CU_ASSERT_EQUAL(w.waiting, t->waiting);
		json_decref(j);
	}
	CU_ASSERT_FALSE(
	    plat_report_decode(NULL, &(struct mh_work_report) { 0 }));
}

/* Guards against requests let in by a configuration without a key. */
static void
test_keys_taken_away(void)
{
	static const struct {
		const char *tenants;
		const char *key; /* NULL: none */
		enum mh_gate_refusal why; /* MH_NO_ENDPOINT: let in */
	} t[] = {
		{ "", NULL, MH_NO_ENDPOINT },
		{ "", "k", MH_NO_ENDPOINT },
		{ ",\"tenants\":[]", NULL, MH_BAD_KEY },
		{ ",\"tenants\":null", "k", MH_BAD_KEY },
		{ ",\"tenants\":{}", "k", MH_BAD_KEY },
		{ ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[]}]", "k",
		    MH_BAD_KEY },
		{ ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[]}]", NULL,
		    MH_BAD_KEY },
		{ ",\"tenants\":[{\"name\":\"a\"}]", "k", MH_BAD_KEY },
		{ ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"\"]}]", "",
		    MH_BAD_KEY },
		{ ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\",\"k\"]}]",
		    "k", MH_NO_ENDPOINT },
		{ ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
		  "{\"name\":\"b\",\"apiKeys\":[\"k\",\"l\"]},"
		  "{\"name\":\"c\",\"apiKeys\":[\"k\"]}]",
		    "k", MH_BAD_KEY },
		{ ",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
		  "{\"name\":\"b\",\"apiKeys\":[\"k\",\"l\"]}]",
		    "l", MH_NO_ENDPOINT },
	};
	/* decoded in parts and as a whole */
	static const char *const lists[] = { "routes", "rout\\u0065s" };

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(t); i++) {
		struct grig *r = grig_create(0);
		char *text = g_strdup_printf(
		    "{\"%s\":[{\"name\":\"r\",\"host\":\"h.example\","
		    "\"pathPrefix\":\"/r/\",\"kind\":\"safe\","
		    "\"service\":\"s\"}]%s}",
		    lists[i % 2], t[i / 2].tenants);
		struct mh_gconf *c =
		    plat_conf_decode(text, strlen(text), NULL, NULL);
		struct mh_greq *q = mh_greq_create("id");

		CU_ASSERT_PTR_NOT_NULL_FATAL(c);
		mh_gate_conf(r->g, c);
		mh_gconf_unref(c);
		q->host = g_strdup("h.example");
		q->target = "/r/x";
		q->key = g_strdup(t[i / 2].key);
		g_ptr_array_add(r->open, q);
		mh_gate_admit(r->g, q);
		CU_ASSERT_EQUAL(r->refused, 1);
		CU_ASSERT_EQUAL(r->why, t[i / 2].why);
		g_free(text);
		grig_destroy(r);
	}
}

const struct test tests_platform[] = {
	{ "settings: decoding", test_settings },
	{ "settings: errors name the field", test_bad_settings },
	{ "configuration: decoding", test_conf },
	{ "configuration: text that is no JSON", test_bad_conf },
	{ "configuration: invalid parts are left out", test_bad_parts },
	{ "configuration: stages in any order", test_stages_as_listed },
	{ "configuration: too many stages", test_too_many_stages },
	{ "configuration: odd numbers", test_odd_numbers },
	{ "configuration: versions share their routes",
	    test_conf_shares_routes },
	{ "configuration: decoded in parts and as a whole",
	    test_conf_in_parts },
	{ "configuration: keys taken away", test_keys_taken_away },
	{ "responses: decoding of heads", test_heads },
	{ "responses: load", test_load },
	{ "responses: slowdown in the load header", test_pace },
	{ "responses: refusals by the entry", test_refusals },
	{ "platform: reports of stage endpoints", test_reports },
	{ NULL, NULL },
};
