/**
 * DOC: Changes of the configuration and of the registry while requests are
 * open: what an endpoint works on goes on and is answered.
 */

#include "gaterig.h"
#include "regress.h"

#include <string.h>

static const struct mh_gresp head = {
	.status = 200, .genuine = true, .events = true
};
static const struct mh_gresp whole = { .status = 200, .genuine = true };

/* Lists n0, or no endpoint at all. */
static void
list(struct grig *r, bool any, int64_t start_ms, bool draining)
{
	struct mh_listing l = { "n0", start_ms, "pool", "10.0.0.1:1", "d", 8,
		draining, 0, NULL };

	mh_fleet_begin(r->f);
	if (any)
		mh_fleet_list(r->f, &l);
	mh_fleet_end(r->f);
}

/* Every route, pool and key is dropped. */
static void
drop_all(struct grig *r)
{
	struct mh_gconf *empty = mh_gconf_create();

	mh_fleet_set_conf(r->f, empty);
	mh_gate_conf(r->g, empty);
	mh_gconf_unref(empty);
}

static void
remove_row(struct grig *r)
{
	list(r, false, 0, false);
}

static void
say_draining(struct grig *r)
{
	list(r, true, 0, true);
}

/* The row names another start: of it, or of what has its name now. */
static void
replace_row(struct grig *r)
{
	list(r, true, 1000, false);
	mh_gate_restarted(r->g, "n0");
}

static void
drop_and_remove(struct grig *r)
{
	drop_all(r);
	remove_row(r);
}

static void
remove_then_drain(struct grig *r)
{
	remove_row(r);
	mh_gate_drain(r->g, 7 * S);
}

static const struct {
	const char *name;
	void (*fn)(struct grig *r);
} changes[] = {
	{ "routes are dropped", drop_all },
	{ "the row is removed", remove_row },
	{ "it drains", say_draining },
	{ "the row names another start", replace_row },
	{ "routes are dropped and the row is removed", drop_and_remove },
	{ "the row is removed, then SIGTERM", remove_then_drain },
};

static void
event(struct grig *r, uint32_t id)
{
	GString *out = g_string_new(NULL);
	char *text = g_strdup_printf("id: %u\ndata: x\n\n", id);

	mh_sse_feed(r->cur->events, text, strlen(text), out);
	mh_gate_progress(r->g, r->cur);
	g_free(text);
	g_string_free(out, TRUE);
}

/* One request to n0; @change comes before or after the head of its answer. */
static void
check(const char *target, bool stream, bool head_first,
    void (*change)(struct grig *r), const char *name)
{
	struct grig *r = grig_create(1);
	const struct mh_gresp *a = stream ? &head : &whole;

	grig_request(r, target, 0);
	CU_ASSERT_EQUAL(r->sends, 1);
	grig_advance(r, 100 * MS);
	if (head_first) {
		CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, a), MH_FORWARD);
		if (stream)
			event(r, 1);
	}
	change(r);
	/* Shorter than a silence, after which it may go elsewhere, too. */
	grig_advance(r, 400 * MS);
	if (r->cur == NULL || r->broken + r->refused > 0) {
		CU_FAIL("given up");
		printf("\n%s, %s, head first: %d\n", target, name, head_first);
		grig_destroy(r);
		return;
	}
	if (!head_first)
		CU_ASSERT_EQUAL(mh_gate_head(r->g, r->cur, a), MH_FORWARD);
	if (stream)
		event(r, 2);
	mh_gate_try_end(r->g, r->cur, MH_CALL_COMPLETE);
	CU_ASSERT_EQUAL(r->finished, 1);
	CU_ASSERT_EQUAL(r->aborts, 0);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	grig_destroy(r);
}

/* Guards against runs ended with the route, pool or row that they came by. */
static void
test_open_runs_go_on(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		for (int first = 0; first < 2; first++) {
			check("/safe/x", false, first, changes[i].fn,
			    changes[i].name);
			check("/once/x", false, first, changes[i].fn,
			    changes[i].name);
			check("/stream/x", true, first, changes[i].fn,
			    changes[i].name);
			check("/resume/x", true, first, changes[i].fn,
			    changes[i].name);
		}
	}
}

/* Guards against no answer if the run ends once its pool is gone, too. */
static void
test_pool_gone_is_answered(void)
{
	struct grig *r = grig_create(1);

	grig_request(r, "/safe/x", 0);
	drop_and_remove(r);
	mh_gate_try_end(r->g, r->cur, MH_CALL_BROKEN);
	grig_advance(r, 6 * S);
	CU_ASSERT_EQUAL(r->refused, 1);
	CU_ASSERT_EQUAL(mh_gate_open(r->g), 0);
	grig_destroy(r);
}

const struct test tests_change[] = {
	{ "change: open runs go on", test_open_runs_go_on },
	{ "change: a pool that is gone", test_pool_gone_is_answered },
	{ NULL, NULL },
};
