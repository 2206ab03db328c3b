/**
 * DOC: Entries among themselves, in virtual time: who is alive, whose turn
 * it is, and jobs that move when an entry is lost.
 */

#include "regress.h"
#include "entwork.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
static void
test_one_home(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	CU_ASSERT_EQUAL(mh_mesh_size(r->e[0].m), ENTRIES);
	mrig_destroy(r);
}

/*
 * The home falls silent without a reset: a frozen VM, or a link that goes
 * nowhere.  The others go on to the next within a second.
 */
static void
test_silent_home(void)
{
	struct mrig *r = mrig_create();
	struct ment *home;

	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	home->cut = true;
	mrig_run(r, 1200 * MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(mrig_agreed(r), home);
	home->cut = false;
	mrig_run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), home);
	mrig_destroy(r);
}

/* A leaving or unready entry is nobody's home. */
static void
test_leaving_home(void)
{
	struct mrig *r = mrig_create();
	struct ment *home;

	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	mh_mesh_leave(home->m);
	mrig_run(r, 100 * MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(mrig_agreed(r), home);
	home = mrig_agreed(r);
	home->ready = false;
	mrig_run(r, 400 * MS);
	CU_ASSERT_PTR_NOT_EQUAL(mrig_home(&r->e[home->index == 0]), home->node);
	mrig_destroy(r);
}

/*
 * The store is away and the first four of the order restart: they are listed
 * but not there.  Dialling only them left every entry alone, and each did its
 * own stage work.
 */
static void
test_first_of_the_order_gone(void)
{
	struct mrig *r = mrig_create();
	struct ment *fresh = NULL;

	mrig_run(r, 2 * S);
	for (int gone = 0; gone < 5; gone++) {
		mrig_agreed(r)->down = true;
		mrig_run(r, 2 * S);
		CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (!r->e[i].down && &r->e[i] != mrig_agreed(r))
			fresh = &r->e[i];
	}
	fresh->down = true;
	mrig_run(r, 2 * S);
	mh_kern_destroy(fresh->k);
	fresh->down = false;
	mrig_start(fresh);
	mrig_run(r, 4 * S);
	CU_ASSERT_PTR_NOT_NULL(mrig_agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(mrig_agreed(r), fresh);
	mrig_destroy(r);
}

/*
 * An entry restarts and has just come back.  Work does not move to it at
 * once: each move costs, and while entries restart in turn there is one a
 * second.
 */
static void
test_settled_first(void)
{
	struct mrig *r = mrig_create();
	struct ment *home, *next;

	mrig_run(r, 10 * S);
	home = mrig_agreed(r);
	home->down = true;
	mrig_run(r, 2 * S);
	next = mrig_agreed(r);
	mh_kern_destroy(home->k);
	home->down = false;
	mrig_start(home);
	mrig_run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), next);
	mrig_run(r, 7 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), home);
	mrig_destroy(r);
}

/*
 * The store turns an entry away while the operator changes the
 * configuration: it learns of it from the others.
 */
static void
test_conf_from_peers(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[2].conf = 5;
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].conf, 5);
	mrig_destroy(r);
}

/* Guards against a failure domain that one entry alone knows as evacuated. */
static void
test_evacuated_from_peers(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	g_strlcpy(r->e[2].evacuated, "d0", sizeof(r->e[2].evacuated));
	r->e[2].evacuated_revision = 5;
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_STRING_EQUAL(r->e[i].evacuated, "d0");
	r->e[4].evacuated[0] = '\0';
	r->e[4].evacuated_revision = 8;
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_STRING_EQUAL(r->e[i].evacuated, "");
	mrig_destroy(r);
}

/*
 * The registry does not change for minutes.  Its revision stays, so nobody
 * has a newer one to give: without a word of when it was read last, each
 * entry read it again itself.
 */
static void
test_unchanged_is_fresh(void)
{
	struct mrig *r = mrig_create();

	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].rows = 7;
	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT(r->e[i].fresh > 2);
	mrig_destroy(r);
}

/*
 * An entry that is asked by all answers some and puts off the rest.  Who got
 * no answer asks again; asking once a revision left them on the old one.
 */
static void
test_asks_again(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[2].lose_views = ENTRIES - 1;
	r->e[2].conf = 5;
	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].conf, 5);
	mrig_destroy(r);
}

/* Guards against a list of entries that each reads for itself, or twice. */
static void
test_entries_from_peers(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[2].entries = 5;
	r->e[2].entries_hash = 77;
	mrig_run(r, 1500 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		CU_ASSERT_EQUAL(r->e[i].entries_hash, 77);
		CU_ASSERT_EQUAL(r->e[i].taken_entries, i != 2);
	}
	r->e[2].entries = 9; /* read later, and the same */
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].taken_entries, i != 2);
	mrig_destroy(r);
}

/* Guards against a changed key unknown at some while all have it to give. */
static void
test_large_conf(void)
{
	static const uint32_t lens[] = { 200 << 10, 400 << 10, 930 << 10 };

	for (size_t i = 0; i < G_N_ELEMENTS(lens); i++) {
		struct mrig *r = mrig_create();

		mrig_run(r, 2 * S);
		for (uint32_t n = 0; n < ENTRIES; n++) {
			r->e[n].conf_len = lens[i];
			r->e[n].bytes_per_s = 10 * 1000 * 1000 / 8;
			r->e[n].busy_until_us = r->now_us + 200 * MS;
		}
		for (uint64_t v = 5; v < 8; v++) {
			r->e[2].conf = v;
			mh_mesh_conf_changed(r->e[2].m);
			mrig_run(r, 100 * MS);
		}
		mrig_run(r, 900 * MS);
		for (uint32_t n = 0; n < ENTRIES; n++)
			CU_ASSERT_EQUAL(r->e[n].conf, 7);
		mrig_destroy(r);
	}
}

/*
 * Guards against an entry that never gets a text which takes longer to come
 * than a link may be silent.
 */
static void
test_conf_longer_than_silence(void)
{
	struct mrig *r = mrig_create();
	struct ment *last = &r->e[ENTRIES - 1];

	mrig_run(r, 2 * S);
	for (uint32_t n = 0; n < ENTRIES; n++) {
		r->e[n].conf_len = 400 << 10;
		r->e[n].conf = 9;
	}
	last->conf = 0;
	for (uint32_t n = 0; n + 1 < ENTRIES; n++)
		r->e[n].bytes_per_s = mrig_whole_len(&r->e[n]) * 2 / 3;
	last->taken_conf = 0;
	mrig_run(r, 2 * S); /* it takes 1.5 s to send */
	CU_ASSERT_EQUAL(last->conf, 9);
	CU_ASSERT_EQUAL(last->taken_conf, 1);
	mrig_destroy(r);
}

/* Guards against changes whose cost is that of the document, for each entry. */
static void
test_conf_change_alone(void)
{
	static const uint32_t lens[] = { 100 << 10, 400 << 10 };
	uint64_t sent[2] = { 0, 0 };

	for (size_t i = 0; i < 2; i++) {
		struct mrig *r = mrig_create();

		mrig_run(r, 2 * S);
		for (uint32_t n = 0; n < ENTRIES; n++) {
			r->e[n].conf_len = lens[i];
			r->e[n].conf = 4;
			r->e[n].sent_bytes = 0;
		}
		r->e[2].conf = 5;
		mh_mesh_conf_changed(r->e[2].m);
		mrig_run(r, 500 * MS);
		for (uint32_t n = 0; n < ENTRIES; n++) {
			CU_ASSERT_EQUAL(r->e[n].conf, 5);
			sent[i] += r->e[n].sent_bytes;
		}
		mrig_destroy(r);
	}
	CU_ASSERT(sent[1] < sent[0] + sent[0] / 4);
}

/* Guards against a copy of the configuration from each that has it. */
static void
test_conf_of_one(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 4 * S);
	for (uint32_t i = 0; i + 1 < ENTRIES; i++)
		r->e[i].conf = 9;
	r->e[ENTRIES - 1].taken_conf = 0;
	mrig_run(r, 1 * S);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].conf, 9);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].taken_conf, 1);
	mrig_destroy(r);
}

/* Guards against a link that is full of copies of a configuration. */
static void
test_conf_by_bytes(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[0].conf_len = r->e[1].conf_len = 1 << 20;
	r->e[1].taken_conf = 0;
	for (int i = 0; i < 8; i++)
		mrig_ask_view(&r->e[1], &r->e[0], true);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].taken_conf, 1);
	mrig_run(r, 500 * MS);
	r->e[0].conf_len = r->e[1].conf_len = 4 << 10;
	r->e[1].taken_conf = 0;
	for (int i = 0; i < 40; i++)
		mrig_ask_view(&r->e[1], &r->e[0], true);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].taken_conf, 40);
	mrig_destroy(r);
}

/* Guards against a change that waits for a beat at each step of its way. */
static void
test_conf_at_once(void)
{
	struct mrig *r = mrig_create();
	struct ment *home;

	mrig_run(r, 10 * S);
	home = mrig_agreed(r);
	home->conf = 5;
	mh_mesh_conf_changed(home->m);
	mrig_run(r, 20 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].conf, 5);
	mrig_destroy(r);
}

/* Guards against 404 for what a configuration on its way may hold. */
static void
test_conf_behind(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	CU_ASSERT_FALSE(mh_mesh_conf_behind(r->e[1].m));
	r->e[2].lose_views = ENTRIES * 8;
	r->e[2].conf = 5;
	mrig_run(r, 400 * MS);
	CU_ASSERT_TRUE(mh_mesh_conf_behind(r->e[1].m));
	CU_ASSERT_FALSE(mh_mesh_conf_behind(r->e[2].m));
	CU_ASSERT_EQUAL(mh_mesh_conf_behind_us(r->e[2].m), 0);
	/* One more change starts nothing anew. */
	r->e[2].conf = 6;
	mrig_run(r, 1500 * MS);
	CU_ASSERT(mh_mesh_conf_behind_us(r->e[1].m) > 1600 * MS);
	CU_ASSERT(mh_mesh_conf_behind_us(r->e[1].m) <= 1900 * MS);
	r->e[2].lose_views = 0;
	mrig_run(r, 1 * S);
	CU_ASSERT_FALSE(mh_mesh_conf_behind(r->e[1].m));
	CU_ASSERT_EQUAL(mh_mesh_conf_behind_us(r->e[1].m), 0);
	r->e[2].lose_views = ENTRIES * 8;
	r->e[2].conf = 7;
	mh_mesh_conf_changed(r->e[2].m);
	mrig_run(r, 100 * MS);
	CU_ASSERT(mh_mesh_conf_behind_us(r->e[1].m) <= 100 * MS);
	/* Who has it is gone. */
	CU_ASSERT_TRUE(mh_mesh_conf_offered(r->e[1].m));
	r->e[2].cut = true;
	mrig_run(r, 1 * S);
	CU_ASSERT_FALSE(mh_mesh_conf_offered(r->e[1].m));
	CU_ASSERT(mh_mesh_conf_behind_us(r->e[1].m) > 1 * S);
	mrig_destroy(r);
}

/*
 * Hundreds of entries start at once and thousands of endpoints register: the
 * few entries that read for all are asked for rows all the time and put most
 * askers off.  A key that was declared meanwhile was still unknown at some
 * entries after five seconds, since their asks for it were put off as well.
 */
static void
test_conf_while_rows_change(void)
{
	struct mrig *r = mrig_create();
	uint32_t before;

	mrig_run(r, 2 * S);
	before = r->e[1].taken_conf;
	for (int i = 0; i < 40; i++)
		mrig_ask_view(&r->e[1], &r->e[0], false);
	mrig_ask_view(&r->e[1], &r->e[0], true);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].taken_conf, before + 1);
	mrig_destroy(r);
}

/*
 * All rows of thousands of endpoints are 1 MB.  An entry that gave them to a
 * dozen others a beat sent 11 MB a second, and its beats came late.
 */
static void
test_rows_by_bytes(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[0].rows_len = 1 << 20;
	for (int i = 0; i < 8; i++)
		mrig_ask_view(&r->e[1], &r->e[0], false);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].taken_rows, 1 << 20);
	r->e[0].rows_len = 4 << 10; /* changes: as many as before */
	r->e[1].taken_rows = 0;
	mrig_run(r, 300 * MS);
	for (int i = 0; i < 8; i++)
		mrig_ask_view(&r->e[1], &r->e[0], false);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].taken_rows, 8 * (4 << 10));
	mrig_destroy(r);
}

/*
 * With sixteen slices an entry uses four, always the same, so that a home is
 * not linked to every entry; all entries together use all of them.
 */
static void
test_slices_used(void)
{
	struct mrig *r = mrig_create();
	uint32_t all = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		uint32_t a[MH_USED_SLICES], b[MH_USED_SLICES], mine = 0;

		CU_ASSERT_EQUAL(mh_mesh_slices(r->e[i].m, 16, a), 4);
		CU_ASSERT_EQUAL(mh_mesh_slices(r->e[i].m, 16, b), 4);
		for (int n = 0; n < 4; n++) {
			CU_ASSERT_EQUAL(a[n], b[n]);
			CU_ASSERT(a[n] < 16);
			mine |= 1U << a[n];
		}
		CU_ASSERT_EQUAL(__builtin_popcount(mine), 4);
		all |= mine;
		CU_ASSERT_EQUAL(mh_mesh_slices(r->e[i].m, 2, a), 2);
	}
	CU_ASSERT(__builtin_popcount(all) >= 12);
	mrig_destroy(r);
}

/* Two entries read for all; one that the store turns away is none of them. */
static void
test_readers(void)
{
	struct mrig *r = mrig_create();
	uint32_t n = 0, m = 0;

	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_mesh_reads(r->e[i].m);
	CU_ASSERT_EQUAL(n, 2);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].reads = !mh_mesh_reads(r->e[i].m);
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		m += mh_mesh_reads(r->e[i].m) && r->e[i].reads;
	CU_ASSERT_EQUAL(m, 2);
	mrig_destroy(r);
}

/*
 * A replica goes dark.  Two entries find out by connections that hang; the
 * others must not have to.
 */
static void
test_suspects(void)
{
	struct mrig *r = mrig_create();
	struct mh_fleet *f[ENTRIES];
	struct mh_suspects *s[ENTRIES];
	uint32_t out = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		static const char *const ids[] = { "n0", "n1", "n2" };

		f[i] = mh_fleet_create(r->e[i].k);
		mh_fleet_begin(f[i]);
		for (int n = 0; n < 3; n++) {
			struct mh_listing l = { ids[n], 0, "pool", "a:1", "d",
				1, false, 0 };

			mh_fleet_list(f[i], &l);
		}
		mh_fleet_end(f[i]);
		s[i] = mh_suspects_create(r->e[i].k, r->e[i].m, f[i]);
	}
	mrig_run(r, 2 * S);
	mh_suspects_report(s[0], "n1");
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		out += !mh_node_usable(f[i], mh_fleet_find(f[i], "n1"));
	CU_ASSERT_EQUAL(out, 0);
	mh_suspects_report(s[1], "n1");
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		out += !mh_node_usable(f[i], mh_fleet_find(f[i], "n1"));
	CU_ASSERT_EQUAL(out, ENTRIES);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		mh_suspects_destroy(s[i]);
		mh_fleet_destroy(f[i]);
	}
	mrig_destroy(r);
}

/* A job goes to its home; the home dies; the next one does it. */
static void
test_job_moves(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *home, *asker;
	struct ent *e;
	struct mh_job *j;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	home = mrig_agreed(r);
	asker = &r->e[home->index == 0];
	e = &all[asker->index];
	j = world_job(e->w, pools, pieces, 5 * S, 9 * S);
	j->slo_us = mh_now(asker->k) + 5 * S;
	j->deadline_us = mh_now(asker->k) + 9 * S;
	home->cut = true; /* takes nothing, answers nothing */
	mh_broker_submit(e->b, j);
	mrig_run(r, 400 * MS);
	CU_ASSERT_EQUAL(e->ended, 0);
	mrig_run(r, 1500 * MS);
	CU_ASSERT_EQUAL(e->ended, 1);
	CU_ASSERT_EQUAL(e->done, 1);
	mh_broker_drop(e->b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

const struct test tests_mesh[] = {
	{ "mesh: one home", test_one_home },
	{ "mesh: a silent home", test_silent_home },
	{ "mesh: a leaving home", test_leaving_home },
	{ "mesh: the first of the order gone", test_first_of_the_order_gone },
	{ "mesh: settled entries first", test_settled_first },
	{ "mesh: configuration from peers", test_conf_from_peers },
	{ "mesh: evacuated, from peers", test_evacuated_from_peers },
	{ "mesh: asks again", test_asks_again },
	{ "mesh: the list of entries from peers", test_entries_from_peers },
	{ "mesh: a large configuration over narrow links", test_large_conf },
	{ "mesh: a text that takes longer than silence",
	    test_conf_longer_than_silence },
	{ "mesh: a change of the configuration alone", test_conf_change_alone },
	{ "mesh: configuration of one entry at a time", test_conf_of_one },
	{ "mesh: configurations by bytes", test_conf_by_bytes },
	{ "mesh: a configuration does not wait for beats", test_conf_at_once },
	{ "mesh: a configuration on its way", test_conf_behind },
	{ "mesh: configuration while rows change",
	    test_conf_while_rows_change },
	{ "mesh: rows by bytes", test_rows_by_bytes },
	{ "mesh: slices used", test_slices_used },
	{ "mesh: readers", test_readers },
	{ "mesh: what is unchanged is fresh", test_unchanged_is_fresh },
	{ "mesh: endpoints that two could not reach", test_suspects },
	{ "mesh: a job moves to the next home", test_job_moves },
	{ NULL, NULL },
};
