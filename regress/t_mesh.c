/**
 * DOC: The mesh of entries, in virtual time: failure detection, the coordinator
 * of stage work, exchange of views, and jobs whose coordinator is lost.
 */

#include "regress.h"
#include "entwork.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
static void
test_one_coordinator(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	CU_ASSERT_EQUAL(mh_mesh_size(r->e[0].m), ENTRIES);
	mrig_destroy(r);
}

/*
 * The coordinator falls silent without a reset: its VM froze, or its packets
 * are dropped. The others must use the next one within about a second.
 */
static void
test_silent_coordinator(void)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator;

	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	coordinator->cut = true;
	mrig_run(r, 1200 * MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(mrig_agreed(r), coordinator);
	coordinator->cut = false;
	mrig_run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), coordinator);
	mrig_destroy(r);
}

/* A draining or unready entry must not be chosen as the coordinator. */
static void
test_draining_coordinator(void)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator;

	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	mh_mesh_drain(coordinator->m);
	mrig_run(r, 100 * MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(mrig_agreed(r), coordinator);
	coordinator = mrig_agreed(r);
	coordinator->ready = false;
	mrig_run(r, 400 * MS);
	CU_ASSERT_PTR_NOT_EQUAL(
	    mrig_coordinator(&r->e[coordinator->index == 0]),
	    coordinator->node);
	mrig_destroy(r);
}

/*
 * The store is unavailable and the first four of the order are down, though
 * listed. When entries dialled only these, each was without links and did its
 * own stage work.
 */
static void
test_first_of_the_order_down(void)
{
	struct mrig *r = mrig_create();
	struct ment *restarted = NULL;

	mrig_run(r, 2 * S);
	for (int n = 0; n < 5; n++) {
		mrig_agreed(r)->down = true;
		mrig_run(r, 2 * S);
		CU_ASSERT_PTR_NOT_NULL_FATAL(mrig_agreed(r));
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (!r->e[i].down && &r->e[i] != mrig_agreed(r))
			restarted = &r->e[i];
	}
	restarted->down = true;
	mrig_run(r, 2 * S);
	mh_kern_destroy(restarted->k);
	restarted->down = false;
	mrig_start(restarted);
	mrig_run(r, 4 * S);
	CU_ASSERT_PTR_NOT_NULL(mrig_agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(mrig_agreed(r), restarted);
	mrig_destroy(r);
}

/*
 * Work must not move to an entry that has just restarted: each move costs, and
 * while entries restart one after another there is a restart every second.
 */
static void
test_restarted_not_chosen(void)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator, *next;

	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	coordinator->down = true;
	mrig_run(r, 2 * S);
	next = mrig_agreed(r);
	mh_kern_destroy(coordinator->k);
	coordinator->down = false;
	mrig_start(coordinator);
	mrig_run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), next);
	mrig_run(r, 7 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), coordinator);
	mrig_destroy(r);
}

/*
 * An entry whose requests the store refuses must receive a new configuration
 * from the others.
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

/* Guards against an evacuated failure domain that one entry alone has read. */
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
 * The registry doesn't change for minutes, so no entry has a newer revision to
 * send. Heartbeats must say when it was last read; otherwise each entry read it
 * again itself.
 */
static void
test_rows_unchanged(void)
{
	struct mrig *r = mrig_create();

	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].rows = 7;
	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT(r->e[i].rows_confirmed > 2);
	mrig_destroy(r);
}

/*
 * An entry that all others send requests to answers some and puts off the rest,
 * which must retry. With one request per revision they stayed on the old one.
 */
static void
test_request_retried(void)
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

/*
 * Guards against a list of entries that each entry reads itself, or receives
 * twice.
 */
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
		CU_ASSERT_EQUAL(r->e[i].received_lists, i != 2);
	}
	r->e[2].entries = 9; /* later revision, same content */
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].received_lists, i != 2);
	mrig_destroy(r);
}

/*
 * Guards against entries that still lack a changed key although all peers have
 * it to send.
 */
static void
test_large_conf(void)
{
	static const uint32_t lens[] = { 200 << 10, 400 << 10, 930 << 10 };

	for (size_t i = 0; i < G_N_ELEMENTS(lens); i++) {
		struct mrig *r = mrig_create();

		mrig_run(r, 2 * S);
		for (uint32_t n = 0; n < ENTRIES; n++) {
			r->e[n].conf_len = lens[i];
			r->e[n].link_bytes_per_s = 10 * 1000 * 1000 / 8;
			r->e[n].link_busy_end_us = r->now_us + 200 * MS;
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
 * Guards against an entry that never receives a text whose transfer takes
 * longer than a link may be silent.
 */
static void
test_conf_slow_transfer(void)
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
		r->e[n].link_bytes_per_s = mrig_whole_len(&r->e[n]) * 2 / 3;
	last->received_confs = 0;
	mrig_run(r, 2 * S); /* the transfer takes 1.5 s */
	CU_ASSERT_EQUAL(last->conf, 9);
	CU_ASSERT_EQUAL(last->received_confs, 1);
	mrig_destroy(r);
}

/*
 * Guards against changes that cost each entry the transfer of the whole
 * document.
 */
static void
test_conf_delta(void)
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

/*
 * Guards against receiving a copy of the configuration from every peer that has
 * it.
 */
static void
test_conf_from_one_peer(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 4 * S);
	for (uint32_t i = 0; i + 1 < ENTRIES; i++)
		r->e[i].conf = 9;
	r->e[ENTRIES - 1].received_confs = 0;
	mrig_run(r, 1 * S);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].conf, 9);
	CU_ASSERT_EQUAL(r->e[ENTRIES - 1].received_confs, 1);
	mrig_destroy(r);
}

/* Guards against a link that is full of copies of a configuration. */
static void
test_conf_by_bytes(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[0].conf_len = r->e[1].conf_len = 1 << 20;
	r->e[1].received_confs = 0;
	for (int i = 0; i < 8; i++)
		mrig_request_view(&r->e[1], &r->e[0], true);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].received_confs, 1);
	mrig_run(r, 500 * MS);
	r->e[0].conf_len = r->e[1].conf_len = 4 << 10;
	r->e[1].received_confs = 0;
	for (int i = 0; i < 40; i++)
		mrig_request_view(&r->e[1], &r->e[0], true);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].received_confs, 40);
	mrig_destroy(r);
}

/* Guards against a change that waits for a heartbeat at each hop. */
static void
test_conf_at_once(void)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator;

	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	coordinator->conf = 5;
	mh_mesh_conf_changed(coordinator->m);
	mrig_run(r, 20 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].conf, 5);
	mrig_destroy(r);
}

/*
 * Guards against 404 for a route or key of a configuration that is announced
 * but not yet received.
 */
static void
test_conf_stale(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	CU_ASSERT_FALSE(mh_mesh_conf_stale(r->e[1].m));
	r->e[2].lose_views = ENTRIES * 8;
	r->e[2].conf = 5;
	mrig_run(r, 400 * MS);
	CU_ASSERT_TRUE(mh_mesh_conf_stale(r->e[1].m));
	CU_ASSERT_FALSE(mh_mesh_conf_stale(r->e[2].m));
	CU_ASSERT_EQUAL(mh_mesh_conf_stale_us(r->e[2].m), 0);
	/* A further change doesn't restart the time. */
	r->e[2].conf = 6;
	mrig_run(r, 1500 * MS);
	CU_ASSERT(mh_mesh_conf_stale_us(r->e[1].m) > 1600 * MS);
	CU_ASSERT(mh_mesh_conf_stale_us(r->e[1].m) <= 1900 * MS);
	r->e[2].lose_views = 0;
	mrig_run(r, 1 * S);
	CU_ASSERT_FALSE(mh_mesh_conf_stale(r->e[1].m));
	CU_ASSERT_EQUAL(mh_mesh_conf_stale_us(r->e[1].m), 0);
	r->e[2].lose_views = ENTRIES * 8;
	r->e[2].conf = 7;
	mh_mesh_conf_changed(r->e[2].m);
	mrig_run(r, 100 * MS);
	CU_ASSERT(mh_mesh_conf_stale_us(r->e[1].m) <= 100 * MS);
	/* The only entry that has it is lost. */
	CU_ASSERT_TRUE(mh_mesh_conf_available(r->e[1].m));
	r->e[2].cut = true;
	mrig_run(r, 1 * S);
	CU_ASSERT_FALSE(mh_mesh_conf_available(r->e[1].m));
	CU_ASSERT(mh_mesh_conf_stale_us(r->e[1].m) > 1 * S);
	mrig_destroy(r);
}

/*
 * Hundreds of entries start at once and thousands of endpoints register: the
 * few readers receive requests for rows all the time and put most off. Requests
 * for the configuration must not be put off with them: a key that was declared
 * meanwhile was still unknown at some entries after five seconds.
 */
static void
test_conf_while_rows_change(void)
{
	struct mrig *r = mrig_create();
	uint32_t before;

	mrig_run(r, 2 * S);
	before = r->e[1].received_confs;
	for (int i = 0; i < 40; i++)
		mrig_request_view(&r->e[1], &r->e[0], false);
	mrig_request_view(&r->e[1], &r->e[0], true);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].received_confs, before + 1);
	mrig_destroy(r);
}

/*
 * All rows of thousands of endpoints are 1 MB. An entry that sent them to a
 * dozen others per heartbeat interval sent 11 MB a second, and its heartbeats
 * were delayed.
 */
static void
test_rows_by_bytes(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[0].rows_len = 1 << 20;
	for (int i = 0; i < 8; i++)
		mrig_request_view(&r->e[1], &r->e[0], false);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].received_row_bytes, 1 << 20);
	r->e[0].rows_len = 4 << 10; /* changes alone: no request is put off */
	r->e[1].received_row_bytes = 0;
	mrig_run(r, 300 * MS);
	for (int i = 0; i < 8; i++)
		mrig_request_view(&r->e[1], &r->e[0], false);
	mrig_run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].received_row_bytes, 8 * (4 << 10));
	mrig_destroy(r);
}

/*
 * With sixteen slices an entry uses four, always the same, so that a
 * coordinator isn't linked to every entry; all entries together use most of
 * them.
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

/*
 * Two entries read for all; one that the platform doesn't answer isn't counted.
 */
static void
test_readers(void)
{
	struct mrig *r = mrig_create();
	uint32_t n = 0, m = 0;

	mrig_run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_mesh_is_reader(r->e[i].m);
	CU_ASSERT_EQUAL(n, 2);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].can_read = !mh_mesh_is_reader(r->e[i].m);
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		m += mh_mesh_is_reader(r->e[i].m) && r->e[i].can_read;
	CU_ASSERT_EQUAL(m, 2);
	mrig_destroy(r);
}

/*
 * An endpoint stops answering. Two entries find out by connections that hang;
 * the others must learn it from their reports.
 */
static void
test_suspects(void)
{
	struct mrig *r = mrig_create();
	struct mh_fleet *f[ENTRIES];
	struct mh_suspects *s[ENTRIES];
	uint32_t ejected = 0;

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
		ejected += !mh_node_usable(f[i], mh_fleet_find(f[i], "n1"));
	CU_ASSERT_EQUAL(ejected, 0);
	mh_suspects_report(s[1], "n1");
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ejected += !mh_node_usable(f[i], mh_fleet_find(f[i], "n1"));
	CU_ASSERT_EQUAL(ejected, ENTRIES);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		mh_suspects_destroy(s[i]);
		mh_fleet_destroy(f[i]);
	}
	mrig_destroy(r);
}

/*
 * A job is sent to its coordinator, which dies; the next one must complete it.
 */
static void
test_job_handed_off(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator, *requester;
	struct ent *e;
	struct mh_job *j;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 2 * S);
	coordinator = mrig_agreed(r);
	requester = &r->e[coordinator->index == 0];
	e = &all[requester->index];
	j = world_job(e->w, pools, pieces, 5 * S, 9 * S);
	j->slo_us = mh_now(requester->k) + 5 * S;
	j->deadline_us = mh_now(requester->k) + 9 * S;
	coordinator->cut = true; /* its frames are lost both ways */
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

static uint64_t
peer_losses(struct mrig *r)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_counter(r->e[i].k, "peer_losses");
	return n;
}

/* Loses what @from has dialled to all others, and what they dialled to it. */
static void
lose_all(struct mrig *r, struct ment *from, enum mrig_loss out, bool in)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		mrig_lose(from, &r->e[i], out);
		if (in)
			mrig_lose(&r->e[i], from, LOSES_BOTH);
	}
}

/*
 * Guards against a peer that is lost each second because one of the two
 * connections of the pair carries nothing in one direction or in both.
 */
static void
test_one_connection_silent(void)
{
	static const enum mrig_loss kinds[] = { LOSES_BOTH, LOSES_TO_DIALER,
		LOSES_FROM_DIALER };

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct mrig *r = mrig_create();
		struct ment *coordinator;
		uint32_t differ = 0;

		mrig_run(r, 10 * S);
		coordinator = mrig_agreed(r);
		CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
		lose_all(r, coordinator, kinds[i], false);
		for (int t = 0; t < 100; t++) {
			mrig_run(r, 100 * MS);
			differ += mrig_agreed(r) != coordinator;
		}
		CU_ASSERT_EQUAL(peer_losses(r), 0);
		CU_ASSERT_EQUAL(differ, 0);
		coordinator->conf = 5;
		mrig_run(r, 600 * MS);
		for (uint32_t n = 0; n < ENTRIES; n++)
			CU_ASSERT_EQUAL(r->e[n].conf, 5);
		mrig_destroy(r);
	}
}

/* Guards against counting a peer as alive that only answers dials. */
static void
test_only_dials_answered(void)
{
	struct mrig *r = mrig_create();
	uint32_t alive = 0;

	mrig_run(r, 4 * S);
	r->silent_dials = true;
	for (uint32_t i = 0; i < ENTRIES; i++)
		lose_all(r, &r->e[i], LOSES_BOTH, false);
	mrig_run(r, 1500 * MS);
	for (int t = 0; t < 200; t++) {
		mrig_run(r, 50 * MS);
		for (uint32_t i = 0; i < ENTRIES; i++)
			alive += mh_mesh_is_alive(r->e[i].m, NULL) ||
			    !mh_mesh_is_reader(r->e[i].m);
	}
	CU_ASSERT_EQUAL(alive, 0);
	r->silent_dials = false;
	mrig_run(r, 12 * S);
	CU_ASSERT_PTR_NOT_NULL(mrig_agreed(r));
	mrig_destroy(r);
}

/* Guards against stage work that moves each second, with its coordinator. */
static void
test_flapping_coordinator(void)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator;
	uint32_t chosen = 0;

	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	for (int t = 0; t < 20; t++) {
		lose_all(r, coordinator, LOSES_BOTH, true);
		for (int n = 0; n < 25; n++) {
			mrig_run(r, 100 * MS);
			for (uint32_t i = 0; t >= 4 && i < ENTRIES; i++)
				chosen += &r->e[i] != coordinator &&
				    strcmp(mrig_coordinator(&r->e[i]),
					coordinator->node) == 0;
		}
	}
	CU_ASSERT_EQUAL(chosen, 0);
	mrig_run(r, 20 * S);
	CU_ASSERT_PTR_EQUAL(mrig_agreed(r), coordinator);
	mrig_destroy(r);
}

/*
 * Guards against stage work, and its results, that are lost with one connection
 * of two.
 */
static void
test_job_on_silent_connection(void)
{
	static const char *const pools[] = { "a", NULL };
	static const enum mrig_loss kinds[] = { LOSES_BOTH, LOSES_TO_DIALER,
		LOSES_FROM_DIALER };
	const uint32_t pieces[] = { 2 };

	for (size_t n = 0; n < G_N_ELEMENTS(kinds); n++) {
		struct mrig *r = mrig_create();
		struct ent all[ENTRIES] = { 0 };
		struct mh_job *jobs[ENTRIES] = { NULL };
		struct ment *coordinator;

		for (uint32_t i = 0; i < ENTRIES; i++)
			ent_create(&all[i], &r->e[i]);
		mrig_run(r, 10 * S);
		coordinator = mrig_agreed(r);
		CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
		for (uint32_t i = 0; i < ENTRIES; i++) {
			struct mh_job *j =
			    world_job(all[i].w, pools, pieces, 5 * S, 9 * S);

			/* Only a pair with two connections keeps one. */
			mrig_lose(coordinator, &r->e[i], kinds[n]);
			j->slo_us = mh_now(r->e[i].k) + 5 * S;
			j->deadline_us = mh_now(r->e[i].k) + 9 * S;
			jobs[i] = j;
			mh_broker_submit(all[i].b, j);
		}
		mrig_run(r, 3 * S);
		CU_ASSERT_EQUAL(peer_losses(r), 0);
		for (uint32_t i = 0; i < ENTRIES; i++) {
			CU_ASSERT_EQUAL(all[i].ended, 1);
			CU_ASSERT_EQUAL(all[i].done, 1);
			mh_broker_drop(all[i].b, jobs[i]);
			mh_job_destroy(jobs[i]);
		}
		mrig_run(r, 100 * MS);
		for (uint32_t i = 0; i < ENTRIES; i++)
			ent_destroy(&all[i]);
		mrig_destroy(r);
	}
}

/* Guards against waiting for a process that has restarted without a reset. */
static void
test_restart_without_reset(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct ment *coordinator, *requester;
	struct mh_msg *up = mh_msg_new(MH_MSG_LINK_UP);
	struct mh_job *j;
	struct ent *e;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	requester = &r->e[coordinator->index == 0];
	e = &all[requester->index];
	j = world_job(e->w, pools, pieces, 5 * S, 9 * S);
	j->slo_us = mh_now(requester->k) + 5 * S;
	j->deadline_us = mh_now(requester->k) + 9 * S;
	coordinator->cut = true; /* what is sent to it is lost */
	mh_broker_submit(e->b, j);
	mrig_run(r, 20 * MS);
	CU_ASSERT_EQUAL(mh_counter(requester->k, "jobs_moved"), 0);
	up->u.link.conn = 1000000 + coordinator->index * 10 + requester->index;
	up->u.link.inbound = true;
	up->u.link.vm = g_strdup(coordinator->node);
	up->u.link.addr = g_strdup("10.0.0.1:1");
	up->u.link.incarnation = coordinator->incarnation + 1;
	mh_post(requester->k, "hub", up);
	mrig_run(r, 20 * MS);
	CU_ASSERT_EQUAL(mh_counter(requester->k, "peer_losses"), 1);
	CU_ASSERT_EQUAL(mh_counter(requester->k, "jobs_moved"), 1);
	mh_broker_drop(e->b, j);
	mh_job_destroy(j);
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

const struct test tests_mesh[] = {
	{ "mesh: a restart without a reset", test_restart_without_reset },
	{ "mesh: stage work on a connection that is silent",
	    test_job_on_silent_connection },
	{ "mesh: one connection of two is silent", test_one_connection_silent },
	{ "mesh: only dials are answered", test_only_dials_answered },
	{ "mesh: a coordinator that flaps", test_flapping_coordinator },
	{ "mesh: one coordinator", test_one_coordinator },
	{ "mesh: a silent coordinator", test_silent_coordinator },
	{ "mesh: a draining coordinator", test_draining_coordinator },
	{ "mesh: the first of the order down", test_first_of_the_order_down },
	{ "mesh: a restarted entry is not chosen", test_restarted_not_chosen },
	{ "mesh: configuration from peers", test_conf_from_peers },
	{ "mesh: evacuation from peers", test_evacuated_from_peers },
	{ "mesh: a request is retried", test_request_retried },
	{ "mesh: the list of entries from peers", test_entries_from_peers },
	{ "mesh: a large configuration over narrow links", test_large_conf },
	{ "mesh: a transfer longer than the silence limit",
	    test_conf_slow_transfer },
	{ "mesh: a configuration is sent as a delta", test_conf_delta },
	{ "mesh: configuration from one peer at a time",
	    test_conf_from_one_peer },
	{ "mesh: configuration bytes are limited", test_conf_by_bytes },
	{ "mesh: a configuration does not wait for heartbeats",
	    test_conf_at_once },
	{ "mesh: a stale configuration", test_conf_stale },
	{ "mesh: configuration while rows change",
	    test_conf_while_rows_change },
	{ "mesh: row bytes are limited", test_rows_by_bytes },
	{ "mesh: slices used", test_slices_used },
	{ "mesh: readers", test_readers },
	{ "mesh: unchanged rows are current", test_rows_unchanged },
	{ "mesh: endpoints that two could not reach", test_suspects },
	{ "mesh: a job is handed off to the next coordinator",
	    test_job_handed_off },
	{ NULL, NULL },
};
