/**
 * DOC: Entries that start, in virtual time: one alone, or all at once after a
 * loss of power.
 */

#include "entwork.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/* Its process ends; it comes back with nothing but the list of entries. */
static void
restart(struct ment *e)
{
	mh_kern_destroy(e->k);
	e->off = e->down = false;
	mrig_start(e);
}

/*
 * An entry restarts while the store is slow.  It has the list of entries, but
 * not yet the secret of their links: what it dialled then got neither link
 * nor failure, and it did its own stage work for the rest of its life.
 */
static void
test_list_before_links(void)
{
	struct mrig *r = mrig_create();
	struct ment *home;

	mrig_run(r, 10 * S);
	home = mrig_agreed(r);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct ment *e = &r->e[i];

		if (e == home)
			continue;
		e->no_links = true;
		restart(e);
		mrig_run(r, 700 * MS);
		mrig_link(e);
		mrig_run(r, 1 * S);
		CU_ASSERT_PTR_EQUAL(mrig_agreed(r), home);
	}
	mrig_destroy(r);
}

/*
 * All VMs lose power and come back within 0.2 s of each other.  Connections
 * to those that were still off hung for a second, and each entry that was
 * waiting took itself for the home of stage work: the endpoints refused most
 * of their calls, and for six seconds half of the requests were late.
 */
static void
test_power_lost(void)
{
	struct mrig *r = mrig_create();
	uint32_t links = 0;

	mrig_run(r, 10 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].off = true;
	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		restart(&r->e[i]);
		mrig_run(r, 20 * MS);
	}
	mrig_run(r, 300 * MS);
	CU_ASSERT_PTR_NOT_NULL(mrig_agreed(r));
	for (uint32_t i = 0; i < ENTRIES; i++)
		links += r->e[i].dialled;
	/* A few each, not one to every other: dials fail while they start. */
	CU_ASSERT(links <= ENTRIES * 5);
	mrig_destroy(r);
}

/*
 * The links of all VMs are full of other bytes, and a new one takes 0.7 s to
 * open.  Dials that are given up after 0.15 s each time would never open one.
 */
static void
test_slow_to_open(void)
{
	struct mrig *r = mrig_create();
	struct ment *home, *e;

	mrig_run(r, 10 * S);
	home = mrig_agreed(r);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].opens_us = 700 * MS;
	e = &r->e[home->index == 0];
	restart(e);
	mrig_run(r, 4 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), home);
	mrig_destroy(r);
}

/*
 * Several entries have read the registry anew.  One that has not asked each
 * of them, and their answers filled its link of 10 Mbit/s, through which its
 * callers come too: their answers took a quarter of a second.
 */
static void
test_rows_of_one(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 4 * S);
	for (uint32_t i = 0; i + 1 < ENTRIES; i++) {
		r->e[i].rows = 9;
		r->e[i].rows_len = 1000;
	}
	mrig_run(r, 1 * S);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].rows, 9);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].taken_rows, 1000);
	mrig_destroy(r);
}

/*
 * Requests come as soon as a process listens, before it knows of any other.
 * Their stage work waits for the tenths of a second until it does, and goes
 * to the home; begun alone it took an endpoint for one piece a call.
 */
static void
test_work_waits_for_others(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *home;
	struct mh_job *j[ENTRIES];
	uint32_t calls = 0, ended = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		ent_create(&all[i], &r->e[i]);
		j[i] = world_job(all[i].w, pools, pieces, 5 * S, 9 * S);
		j[i]->slo_us = mh_now(r->e[i].k) + 5 * S;
		j[i]->deadline_us = mh_now(r->e[i].k) + 9 * S;
		mh_broker_submit(all[i].b, j[i]);
	}
	mrig_run(r, 1 * S);
	home = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(home);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		calls += all[i].calls;
		ended += all[i].done;
		mh_broker_drop(all[i].b, j[i]);
		mh_job_destroy(j[i]);
	}
	CU_ASSERT_EQUAL(ended, ENTRIES);
	CU_ASSERT_EQUAL(all[home->index].calls, calls);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/* A caller leaves while its stage work waits: it is forgotten. */
static void
test_waiting_work_dropped(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 1 };
	struct mrig *r = mrig_create();
	struct ent e = { 0 };
	struct mh_job *j;

	ent_create(&e, &r->e[0]);
	j = world_job(e.w, pools, pieces, 5 * S, 9 * S);
	mh_broker_submit(e.b, j);
	mrig_run(r, 100 * MS);
	mh_broker_drop(e.b, j);
	mh_job_destroy(j);
	mrig_run(r, 1 * S);
	CU_ASSERT_EQUAL(e.ended, 0);
	CU_ASSERT_EQUAL(e.calls, 0);
	ent_destroy(&e);
	mrig_destroy(r);
}

/*
 * All start at once and read thousands of rows for seconds.  Not ready after
 * one, the first of the order gave way to the next, until all had links to all.
 */
static void
test_ready_late(void)
{
	struct mrig *r = mrig_create();
	uint32_t links = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		restart(&r->e[i]);
		r->e[i].ready = false;
	}
	mrig_run(r, 3500 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		links += r->e[i].dialled;
	CU_ASSERT(links > 0 && links <= 4 * ENTRIES);
	if (links > 4 * ENTRIES)
		fprintf(stderr, "%u links of %u entries\n", links, ENTRIES);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].ready = true;
	mrig_run(r, 1 * S);
	CU_ASSERT_PTR_NOT_NULL(mrig_agreed(r));
	mrig_destroy(r);
}

const struct test tests_start[] = {
	{ "start: the list of entries before the links",
	    test_list_before_links },
	{ "start: power lost everywhere", test_power_lost },
	{ "start: a link that is slow to open", test_slow_to_open },
	{ "start: rows of one entry at a time", test_rows_of_one },
	{ "start: work waits for the others", test_work_waits_for_others },
	{ "start: ready after seconds", test_ready_late },
	{ "start: waiting work dropped", test_waiting_work_dropped },
	{ NULL, NULL },
};
