/**
 * DOC: What endpoints have said of themselves, passed on among entries.
 */

#include "entries.h"
#include "regress.h"

#include <CUnit/CUnit.h>
#include <math.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/** struct words - the entries, each with its own record of endpoints. */
struct words {
	struct mrig *r;
	struct mh_fleet *f[ENTRIES];
	struct mh_said_mesh *s[ENTRIES];
};

static void
list_two(struct mh_fleet *f, bool listed)
{
	static const char *const ids[] = { "n0", "n1" };

	mh_fleet_begin(f);
	for (int n = 0; n < 2 && listed; n++) {
		struct mh_listing l = { ids[n], 0, "pool", "a:1", "d", 1, false,
			0, NULL };

		mh_fleet_list(f, &l);
	}
	mh_fleet_end(f);
}

static void
start(struct words *w, uint32_t i)
{
	struct ment *e = &w->r->e[i];

	w->f[i] = mh_fleet_create(e->k);
	list_two(w->f[i], true);
	w->s[i] = mh_said_mesh_create(e->k, e->m, w->f[i]);
}

static void
stop(struct words *w, uint32_t i)
{
	mh_said_mesh_destroy(w->s[i]);
	mh_fleet_destroy(w->f[i]);
}

static struct words *
words_create(void)
{
	struct words *w = g_new0(struct words, 1);

	w->r = mrig_create();
	for (uint32_t i = 0; i < ENTRIES; i++)
		start(w, i);
	mrig_run(w->r, 2 * S);
	return w;
}

static void
words_destroy(struct words *w)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		stop(w, i);
	mrig_destroy(w->r);
	g_free(w);
}

/* An answer to entry @i names a limit; 0: none. */
static void
say(struct words *w, uint32_t i, double limit)
{
	struct mh_said s = { .sent_us = w->r->now_us,
		.is_work = true,
		.has_limit = limit > 0,
		.limit_per_s = limit };

	mh_node_said(w->f[i], mh_fleet_find(w->f[i], "n1"), &s);
}

static double
limit_at(const struct words *w, uint32_t i)
{
	return mh_fleet_find(w->f[i], "n1")->said.limit_per_s;
}

static uint32_t
count_limit(const struct words *w, double limit)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		n += limit_at(w, i) == limit;
	return n;
}

static uint64_t
changes(const struct words *w)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_counter(w->r->e[i].k, "endpoint_words");
	return n;
}

/* Guards against entries that learn late that a limit was named or ended. */
static void
test_passed_on(void)
{
	struct words *w = words_create();

	say(w, 3, 2);
	mrig_run(w->r, 200 * MS);
	CU_ASSERT_EQUAL(count_limit(w, 2), ENTRIES);
	say(w, 7, 5);
	mrig_run(w->r, 200 * MS);
	CU_ASSERT_EQUAL(count_limit(w, 5), ENTRIES);
	say(w, 5, 0);
	mrig_run(w->r, 200 * MS);
	CU_ASSERT_EQUAL(count_limit(w, 0), ENTRIES);
	words_destroy(w);
}

/* Guards against an entry that starts anew and knows of no limit. */
static void
test_started_anew(void)
{
	struct words *w = words_create();

	say(w, 3, 2);
	mrig_run(w->r, 200 * MS);
	stop(w, 8);
	mrig_start(&w->r->e[8]);
	start(w, 8);
	CU_ASSERT_EQUAL(limit_at(w, 8), 0);
	mrig_run(w->r, 2 * S);
	CU_ASSERT_EQUAL(count_limit(w, 2), ENTRIES);
	words_destroy(w);
}

/* Guards against a cut-off entry that keeps to a limit that is over. */
static void
test_cut_off(void)
{
	struct words *w = words_create();

	say(w, 3, 2);
	mrig_run(w->r, 200 * MS);
	w->r->e[6].cut = true;
	mrig_run(w->r, 2 * S);
	say(w, 3, 4);
	mrig_run(w->r, S);
	CU_ASSERT_EQUAL(limit_at(w, 6), 2);
	w->r->e[6].cut = false;
	mrig_run(w->r, 3 * S);
	CU_ASSERT_EQUAL(count_limit(w, 4), ENTRIES);
	words_destroy(w);
}

/* Guards against contradicting words that replace each other for ever. */
static void
test_contradiction(void)
{
	struct words *w = words_create();
	uint64_t before;

	for (uint32_t i = 0; i < ENTRIES; i++)
		w->r->e[i].delay_us = (int64_t)(i * 37 % 11) * 20 * MS;
	for (uint32_t n = 0; n < 6; n++) {
		say(w, n, n % 2 == 0 ? 3 : 0);
		mrig_run(w->r, 10 * MS);
	}
	mrig_run(w->r, 2 * S);
	before = changes(w);
	mrig_run(w->r, 5 * S);
	CU_ASSERT_EQUAL(changes(w), before);
	/* What comes later is taken by all. */
	say(w, 2, 8);
	mrig_run(w->r, S);
	CU_ASSERT_EQUAL(count_limit(w, 8), ENTRIES);
	words_destroy(w);
}

/* Guards against words that come before the row of their endpoint. */
static void
test_before_row(void)
{
	struct words *w = words_create();

	list_two(w->f[4], false);
	say(w, 3, 2);
	mrig_run(w->r, S);
	list_two(w->f[4], true);
	CU_ASSERT_EQUAL(limit_at(w, 4), 2);
	words_destroy(w);
}

/* Guards against a word on a limit that takes back that an endpoint leaves. */
static void
test_leaving(void)
{
	struct words *w = words_create();
	struct mh_said s = { .leaving = true };
	uint32_t n = 0;

	w->r->e[6].cut = true;
	mrig_run(w->r, 2 * S);
	mh_node_said(w->f[3], mh_fleet_find(w->f[3], "n1"), &s);
	mrig_run(w->r, 200 * MS);
	say(w, 6, 4);
	w->r->e[6].cut = false;
	mrig_run(w->r, 3 * S);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		list_two(w->f[i], true); /* a row that says ready */
		n += !mh_node_usable(w->f[i], mh_fleet_find(w->f[i], "n1"));
	}
	CU_ASSERT_EQUAL(n, ENTRIES);
	words_destroy(w);
}

/* Guards against words that make no sense. */
static void
test_malformed(void)
{
	char long_id[300];
	struct {
		const char *id;
		double limit;
		uint64_t number;
		uint64_t age_us;
	} t[] = { { "n1", NAN, 1, 0 }, { "n1", -1, 2, 0 },
		{ "n1", INFINITY, 3, 0 }, { "", 1, 4, 0 }, { long_id, 1, 5, 0 },
		{ "n1", 1, 0, 0 }, { "n1", 1, 7, UINT64_MAX } };
	struct words *w = words_create();
	uint64_t n = 0;

	memset(long_id, 'x', sizeof(long_id));
	long_id[sizeof(long_id) - 1] = '\0';
	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		Mh__Frame f = MH__FRAME__INIT;
		Mh__Words m = MH__WORDS__INIT;
		Mh__Word one = MH__WORD__INIT, *list[] = { &one };

		one.endpoint = (char *)(uintptr_t)t[i].id;
		one.limit_per_s = t[i].limit;
		one.number = t[i].number;
		one.age_us = t[i].age_us;
		m.words = list;
		m.n_words = 1;
		f.body_case = MH__FRAME__BODY_WORDS;
		f.words = &m;
		mh_mesh_send_all(w->r->e[0].m, &f);
	}
	mrig_run(w->r, S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_counter(w->r->e[i].k, "endpoint_words_malformed");
	CU_ASSERT(n > 0 && n % G_N_ELEMENTS(t) == 0);
	CU_ASSERT_EQUAL(count_limit(w, 0), ENTRIES);
	CU_ASSERT_EQUAL(changes(w), 0);
	words_destroy(w);
}

const struct test tests_words[] = {
	{ "words: passed on to all entries", test_passed_on },
	{ "words: an entry starts anew", test_started_anew },
	{ "words: an entry is cut off", test_cut_off },
	{ "words: that contradict each other", test_contradiction },
	{ "words: before the row", test_before_row },
	{ "words: one leaves", test_leaving },
	{ "words: malformed", test_malformed },
	{ NULL, NULL },
};
