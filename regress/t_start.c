/**
 * DOC: Entries that start, in virtual time: one alone, or all at once after a
 * power loss.
 */

#include "entwork.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/* Restarts the process of an entry; it keeps only the list of entries. */
static void
restart(struct ment *e)
{
	mh_kern_destroy(e->k);
	e->powered_off = e->down = false;
	mrig_start(e);
}

/*
 * An entry restarts while the store is slow: it has the list of entries, but
 * not yet the secret of the links. Dials begun then got neither a link nor a
 * failure, and the entry did its own stage work until its next restart.
 */
static void
test_list_before_link_secret(void)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator;

	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct ment *e = &r->e[i];

		if (e == coordinator)
			continue;
		e->no_links = true;
		restart(e);
		mrig_run(r, 700 * MS);
		mrig_link(e);
		mrig_run(r, 1 * S);
		CU_ASSERT_PTR_EQUAL(mrig_agreed(r), coordinator);
	}
	mrig_destroy(r);
}

/*
 * All VMs lose power and come back within 0.2 s of each other. Dials to VMs
 * that were still off hung for a second, and each waiting entry acted as
 * the coordinator of stage work: the endpoints refused most calls, and half of
 * the requests missed their latency objective for six seconds.
 */
static void
test_power_loss(void)
{
	struct mrig *r = mrig_create();
	uint32_t links = 0;

	mrig_run(r, 10 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].powered_off = true;
	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		restart(&r->e[i]);
		mrig_run(r, 20 * MS);
	}
	mrig_run(r, 300 * MS);
	CU_ASSERT_PTR_NOT_NULL(mrig_agreed(r));
	for (uint32_t i = 0; i < ENTRIES; i++)
		links += r->e[i].links_opened;
	/*
	 * A few each, not one to every other, though dials fail during the
	 * start.
	 */
	CU_ASSERT(links <= ENTRIES * 5);
	mrig_destroy(r);
}

/*
 * The links of all VMs are congested, and a connection takes 0.7 s to open.
 * Dials that are always given up after 0.15 s would never open one.
 */
static void
test_slow_connect(void)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator, *e;

	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].connect_us = 700 * MS;
	e = &r->e[coordinator->index == 0];
	restart(e);
	mrig_run(r, 4 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), coordinator);
	mrig_destroy(r);
}

/*
 * Several entries have later rows. An entry with older ones requested them from
 * each, and the answers filled its link of 10 Mbit/s, which client requests
 * share: responses took a quarter of a second.
 */
static void
test_rows_from_one_peer(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 4 * S);
	for (uint32_t i = 0; i + 1 < ENTRIES; i++) {
		r->e[i].rows = 9;
		r->e[i].rows_len = 1000;
	}
	mrig_run(r, 1 * S);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].rows, 9);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].received_row_bytes, 1000);
	mrig_destroy(r);
}

/*
 * Requests arrive as soon as a process listens, before it has links to others.
 * Their stage work must wait some tenths of a second and go to the coordinator;
 * begun alone it occupied an endpoint for one piece per call.
 */
static void
test_work_waits_for_links(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator;
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
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		calls += all[i].calls;
		ended += all[i].done;
		mh_broker_drop(all[i].b, j[i]);
		mh_job_destroy(j[i]);
	}
	CU_ASSERT_EQUAL(ended, ENTRIES);
	CU_ASSERT_EQUAL(all[coordinator->index].calls, calls);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

/*
 * A client disconnects while its stage work waits for the links: the job is
 * dropped.
 */
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
 * All entries start at once and read thousands of rows for seconds. When an
 * entry that wasn't ready after one second was skipped for the next of the
 * order, all entries linked to all.
 */
static void
test_slow_readiness(void)
{
	struct mrig *r = mrig_create();
	uint32_t links = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		restart(&r->e[i]);
		r->e[i].ready = false;
	}
	mrig_run(r, 3500 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		links += r->e[i].links_opened;
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
	{ "start: list of entries before the link secret",
	    test_list_before_link_secret },
	{ "start: power loss everywhere", test_power_loss },
	{ "start: slow connects", test_slow_connect },
	{ "start: rows from one peer at a time", test_rows_from_one_peer },
	{ "start: work waits for the links", test_work_waits_for_links },
	{ "start: slow readiness", test_slow_readiness },
	{ "start: waiting work dropped", test_waiting_work_dropped },
	{ NULL, NULL },
};
