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
		is_alive, r };
	struct mh_member self = { (char *)"e0", (char *)"127.0.0.1:9", 1 };
	char addr[32];

	memset(r, 0, sizeof(*r));
	r->k = mh_kern_create(1);
	r->l = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->l);
	r->server = store_create(r->l, "127.0.0.1");
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%u", store_port(r->server));
	r->f = mh_fleet_create(r->k);
	r->evacuated = g_strdup("");
	put_conf(r, 3);
	change(r, 5);
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

const struct test tests_restored[] = {
	{ "restored: a configuration of a lower revision",
	    test_conf_of_a_lower_revision },
	{ "restored: readings", test_readings_of_a_restore },
	{ NULL, NULL },
};
