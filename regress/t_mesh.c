/**
 * DOC: The mesh of entries, in virtual time: failure detection, the coordinator
 * of stage work, exchange of views, and jobs whose coordinator is lost.
 */

#include "regress.h"
#include "entwork.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

/* Within the time in which a connection is found silent. */
#define MANY_JOBS 4500

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

/* Guards against rows of a restored store ignored for a lower revision. */
static void
test_rows_of_a_later_era(void)
{
	struct mrig *r = mrig_create();

	for (uint32_t i = 0; i < ENTRIES; i++) {
		r->e[i].rows = r->e[i].evacuated_revision = 7;
		r->e[i].entries = 7;
		r->e[i].rows_era = r->e[i].evacuated_era = 1;
		r->e[i].entries_era = 1;
		r->e[i].rows_len = 100;
	}
	mrig_run(r, 2 * S);
	r->e[2].rows = r->e[2].evacuated_revision = r->e[2].entries = 3;
	r->e[2].rows_era = r->e[2].evacuated_era = r->e[2].entries_era = 2;
	r->e[2].entries_hash = 5;
	g_strlcpy(r->e[2].evacuated, "d0", sizeof(r->e[2].evacuated));
	mrig_run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		CU_ASSERT_EQUAL(r->e[i].rows, 3);
		CU_ASSERT_EQUAL(r->e[i].rows_era, 2);
		CU_ASSERT_EQUAL(r->e[i].entries_hash, 5);
		CU_ASSERT_STRING_EQUAL(r->e[i].evacuated, "d0");
	}
	mrig_destroy(r);
}

/*
 * Guards against a configuration of an entry of an earlier version that is
 * never requested, or again and again.
 */
static void
test_conf_without_version(void)
{
	struct mrig *r = mrig_create();

	mrig_run(r, 2 * S);
	r->e[2].no_version = true;
	r->e[2].conf = 5;
	mrig_run(r, 3 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].conf, 5);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT(i == 2 || r->e[i].received_confs == 1);
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
				1, false, 0, NULL };

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
 * Returns how many entries get an announcement of the coordinator as, of each
 * pair with two connections, the one that it dialled or the other falls silent.
 */
static uint64_t
announced(bool dialled)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator;
	struct mh_fleet *f[ENTRIES];
	struct mh_suspects *s[ENTRIES];
	uint64_t ejected = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		static const char *const ids[] = { "n0", "n1", "n2" };

		f[i] = mh_fleet_create(r->e[i].k);
		mh_fleet_begin(f[i]);
		for (int n = 0; n < 3; n++) {
			struct mh_listing l = { ids[n], 0, "pool", "a:1", "d",
				1, false, 0, NULL };

			mh_fleet_list(f[i], &l);
		}
		mh_fleet_end(f[i]);
		s[i] = mh_suspects_create(r->e[i].k, r->e[i].m, f[i]);
	}
	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct ment *m = &r->e[i];

		if (r->opened[coordinator->index][i] == 0 ||
		    r->opened[i][coordinator->index] == 0)
			continue;
		if (dialled)
			mrig_lose(coordinator, m, LOSES_BOTH);
		else
			mrig_lose(m, coordinator, LOSES_BOTH);
	}
	mh_suspects_report(s[coordinator->index], "n1");
	mh_suspects_report(s[coordinator->index], "n1");
	mrig_run(r, 3 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ejected += mh_counter(r->e[i].k, "endpoints_put_out");
	CU_ASSERT_EQUAL(peer_losses(r), 0);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		mh_suspects_destroy(s[i]);
		mh_fleet_destroy(f[i]);
	}
	mrig_destroy(r);
	return ejected;
}

/*
 * Guards against an announcement to all that is lost with one connection of
 * two.
 */
static void
test_announced_on_silent_connection(void)
{
	CU_ASSERT_EQUAL(announced(true), ENTRIES);
	CU_ASSERT_EQUAL(announced(false), ENTRIES);
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

static void
reset_all(struct mrig *r, struct ment *from)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (&r->e[i] == from)
			continue;
		mrig_reset(from, &r->e[i]);
		mrig_reset(&r->e[i], from);
	}
}

/* The links of the coordinator end again and again, each @period_us. */
static void
flap(bool reset, int64_t period_us)
{
	struct mrig *r = mrig_create();
	struct ment *coordinator;
	uint32_t chosen = 0;

	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	for (int t = 0; t < 20; t++) {
		if (reset)
			reset_all(r, coordinator);
		else
			lose_all(r, coordinator, LOSES_BOTH, true);
		for (int64_t us = 0; us < period_us; us += 100 * MS) {
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

/* Guards against stage work that moves each second, with its coordinator. */
static void
test_flapping_coordinator(void)
{
	flap(false, 2500 * MS);
	flap(true, 1000 * MS);
}

/** struct link_loss - what the connections of the coordinator lose. */
struct link_loss {
	enum mrig_loss dialled; /* those that it dialled */
	enum mrig_loss accepted;
	bool silent_dials;
};

/*
 * Sends a job from each other entry to the coordinator as its connections begin
 * to lose frames; returns how many jobs are not done within their aim.
 */
static uint32_t
jobs_left(const struct link_loss *loss)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *jobs[ENTRIES] = { NULL };
	struct ment *coordinator;
	uint32_t left = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	r->silent_dials = loss->silent_dials;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct ment *m = &r->e[i];

		if (m == coordinator)
			continue;
		mrig_lose(coordinator, m, loss->dialled);
		mrig_lose(m, coordinator, loss->accepted);
		jobs[i] = world_job(all[i].w, pools, pieces, 5 * S, 9 * S);
		jobs[i]->slo_us = mh_now(m->k) + 5 * S;
		jobs[i]->deadline_us = mh_now(m->k) + 9 * S;
		mh_broker_submit(all[i].b, jobs[i]);
	}
	mrig_run(r, 5 * S);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (jobs[i] == NULL)
			continue;
		left += all[i].done == 0;
		mh_broker_drop(all[i].b, jobs[i]);
		mh_job_destroy(jobs[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
	return left;
}

/*
 * Guards against a job, or its results, that were sent on a connection that
 * carries nothing, while the other connection of the pair works.
 */
static void
test_job_on_silent_connection(void)
{
	static const struct link_loss losses[] = {
		{ LOSES_NOTHING, LOSES_BOTH, false },
		{ LOSES_NOTHING, LOSES_TO_DIALER, false },
		{ LOSES_NOTHING, LOSES_FROM_DIALER, false },
		{ LOSES_BOTH, LOSES_NOTHING, false },
		{ LOSES_TO_DIALER, LOSES_NOTHING, false },
		{ LOSES_FROM_DIALER, LOSES_NOTHING, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(losses); i++)
		CU_ASSERT_EQUAL(jobs_left(&losses[i]), 0);
}

/* Guards against a job whose coordinator only answers dials from then on. */
static void
test_job_and_only_dials_answered(void)
{
	const struct link_loss loss = { LOSES_BOTH, LOSES_BOTH, true };

	CU_ASSERT_EQUAL(jobs_left(&loss), 0);
}

/** struct aged - an entry whose configuration only others confirm. */
struct aged {
	struct ment *m;
	int64_t conf_at_us; /* when the store confirmed it, as far as known */
};

static uint64_t
aged_version(void *arg)
{
	(void)arg;
	return 1;
}

static struct mh_rev
aged_rows_rev(void *arg)
{
	(void)arg;
	return (struct mh_rev) { 0, 1 };
}

static int64_t
aged_rows_age(void *arg)
{
	(void)arg;
	return 0;
}

static void
aged_rows_unchanged(void *arg, int64_t age_us)
{
	(void)arg;
	(void)age_us;
}

static bool
aged_yes(void *arg)
{
	(void)arg;
	return true;
}

static int64_t
aged_conf_age(void *arg)
{
	struct aged *a = arg;

	return mh_now(a->m->k) - a->conf_at_us;
}

static void
aged_conf_unchanged(void *arg, int64_t age_us)
{
	struct aged *a = arg;

	a->conf_at_us = MAX(a->conf_at_us, mh_now(a->m->k) - age_us);
}

static void
aged_begin(struct aged *a, struct ment *m)
{
	struct mh_mesh_view v = { .conf_version = aged_version,
		.rows_rev = aged_rows_rev,
		.rows_age_us = aged_rows_age,
		.rows_unchanged = aged_rows_unchanged,
		.ready = aged_yes,
		.can_read = aged_yes,
		.conf_age_us = aged_conf_age,
		.conf_unchanged = aged_conf_unchanged,
		.arg = a };

	a->m = m;
	a->conf_at_us = mh_now(m->k);
	mh_mesh_set_view(m->m, &v);
}

/* How much later than in truth any entry says that the store confirmed it. */
static int64_t
conf_too_young_us(int64_t delay_us)
{
	struct mrig *r = mrig_create();
	struct aged all[ENTRIES];
	int64_t last_us, worst = 0;

	/* Their heartbeats are apart by less than an interval. */
	for (uint32_t i = 0; i < ENTRIES; i++) {
		mrig_run(r, 70 * MS);
		mh_kern_destroy(r->e[i].k);
		mrig_start(&r->e[i]);
		r->e[i].delay_us = delay_us;
	}
	mrig_run(r, 6 * S);
	last_us = r->now_us;
	for (uint32_t i = 0; i < ENTRIES; i++)
		aged_begin(&all[i], &r->e[i]);
	mrig_run(r, 6 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		worst = MAX(worst, all[i].conf_at_us - last_us);
	mrig_destroy(r);
	return worst;
}

/*
 * Guards against entries that keep a configuration in force by confirming it to
 * each other, though the store confirmed it to none.
 */
static void
test_conf_confirmed_in_a_circle(void)
{
	for (int64_t delay = 0; delay <= 200 * MS; delay += 20 * MS)
		CU_ASSERT_EQUAL(conf_too_young_us(delay), 0);
}

/*
 * Guards against jobs of a coordinator that restarts without a reset before its
 * connections have been silent for long enough.
 */
static void
test_job_and_quick_restart(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *jobs[ENTRIES] = { NULL };
	struct ment *coordinator;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	coordinator->powered_off = true;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct ment *m = &r->e[i];

		if (m == coordinator)
			continue;
		jobs[i] = world_job(all[i].w, pools, pieces, 5 * S, 9 * S);
		jobs[i]->slo_us = mh_now(m->k) + 5 * S;
		jobs[i]->deadline_us = mh_now(m->k) + 9 * S;
		mh_broker_submit(all[i].b, jobs[i]);
	}
	mrig_run(r, 400 * MS);
	ent_destroy(&all[coordinator->index]);
	mh_kern_destroy(coordinator->k);
	coordinator->powered_off = false;
	mrig_start(coordinator);
	ent_create(&all[coordinator->index], coordinator);
	mrig_run(r, 4600 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (jobs[i] == NULL)
			continue;
		CU_ASSERT_EQUAL(all[i].done, 1);
		mh_broker_drop(all[i].b, jobs[i]);
		mh_job_destroy(jobs[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
}

static void
post_to_mesh(
    struct mh_kern *k, enum mh_msg_kind kind, uint64_t conn, const Mh__Beat *b)
{
	struct mh_msg *m = mh_msg_new(kind);
	Mh__Frame f = MH__FRAME__INIT;

	m->u.link.conn = conn;
	m->u.link.inbound = conn == 2;
	if (kind == MH_MSG_LINK_UP) {
		m->u.link.vm = g_strdup("b");
		m->u.link.addr = g_strdup("10.0.0.2:1");
	} else {
		f.body_case = MH__FRAME__BODY_BEAT;
		f.beat = (Mh__Beat *)(uintptr_t)b;
		m->u.link.frame = mh_frame_pack(&f);
	}
	mh_post(k, "hub", m);
}

/*
 * Guards against what a peer said earlier, on the slower of two connections,
 * replacing what it has said since.
 */
static void
test_outdated_heartbeat(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct mh_mesh *m;
	Mh__Beat b = MH__BEAT__INIT;

	mh_kern_advance(k, S, S);
	m = mh_mesh_create(k, "a", 0.001);
	post_to_mesh(k, MH_MSG_LINK_UP, 1, NULL);
	post_to_mesh(k, MH_MSG_LINK_UP, 2, NULL);
	b.ready = b.reads = true;
	b.weight = 1000000;
	b.uptime_us = 60 * S;
	b.received = 1;
	post_to_mesh(k, MH_MSG_FRAME, 1, &b);
	post_to_mesh(k, MH_MSG_FRAME, 2, &b);
	b.received = 2;
	b.uptime_us += 250 * MS;
	post_to_mesh(k, MH_MSG_FRAME, 1, &b);
	mh_kern_advance(k, S + 100 * MS, S + 100 * MS);
	CU_ASSERT_STRING_EQUAL(mh_mesh_coordinator(m, "stage-work"), "b");
	b.leaving = true;
	b.received = 3;
	b.uptime_us += 250 * MS;
	post_to_mesh(k, MH_MSG_FRAME, 1, &b);
	mh_kern_advance(k, S + 200 * MS, S + 200 * MS);
	CU_ASSERT_STRING_EQUAL(mh_mesh_coordinator(m, "stage-work"), "a");
	/* Sent before the last one. */
	b.leaving = false;
	b.received = 2;
	b.uptime_us -= 250 * MS;
	post_to_mesh(k, MH_MSG_FRAME, 2, &b);
	mh_kern_advance(k, S + 300 * MS, S + 300 * MS);
	CU_ASSERT_STRING_EQUAL(mh_mesh_coordinator(m, "stage-work"), "a");
	mh_kern_destroy(k);
}

/*
 * Guards against entries that count none of the others as alive, though all
 * links work, since links were silent for a moment some times after a start.
 */
static void
test_alive_after_silence_at_start(void)
{
	struct mrig *r = mrig_create();
	uint32_t alone = 0;

	for (int n = 0; n < 4; n++) {
		mrig_run(r, 2 * S);
		for (uint32_t i = 0; i < ENTRIES; i++)
			r->e[i].cut = true;
		mrig_run(r, 1200 * MS);
		for (uint32_t i = 0; i < ENTRIES; i++)
			r->e[i].cut = false;
	}
	mrig_run(r, 3 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		alone += !mh_mesh_is_alive(r->e[i].m, NULL);
	CU_ASSERT_EQUAL(alone, 0);
	CU_ASSERT_PTR_NOT_NULL(mrig_agreed(r));
	mrig_destroy(r);
}

/*
 * Guards against stage work, and its results, that are lost with one connection
 * of two.
 */
static void
test_jobs_on_silent_connections(void)
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

/*
 * The jobs of all other entries are running at the coordinator when all its
 * connections fall silent; each entry was started @apart_us after the one
 * before, and new connections work. Returns how many jobs are not done.
 */
static uint32_t
jobs_left_after_silence(int64_t apart_us)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *jobs[ENTRIES] = { NULL };
	struct ment *coordinator;
	uint32_t left = 0;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		mrig_run(r, apart_us);
		mh_kern_destroy(r->e[i].k);
		mrig_start(&r->e[i]);
		ent_create(&all[i], &r->e[i]);
	}
	mrig_run(r, 12 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	all[coordinator->index].call_us = 400 * MS;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct ment *m = &r->e[i];

		if (m == coordinator)
			continue;
		jobs[i] = world_job(all[i].w, pools, pieces, 8 * S, 12 * S);
		jobs[i]->slo_us = mh_now(m->k) + 8 * S;
		jobs[i]->deadline_us = mh_now(m->k) + 12 * S;
		mh_broker_submit(all[i].b, jobs[i]);
	}
	/* They have arrived, and the coordinator has reported them. */
	mrig_run(r, 300 * MS);
	lose_all(r, coordinator, LOSES_BOTH, true);
	mrig_run(r, 8 * S);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (jobs[i] == NULL)
			continue;
		left += all[i].done == 0;
		mh_broker_drop(all[i].b, jobs[i]);
		mh_job_destroy(jobs[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
	return left;
}

/*
 * Guards against jobs that their coordinator dropped, as it lost the entry that
 * waits for them, while that one took its new dial for the same link.
 */
static void
test_jobs_of_one_sided_loss(void)
{
	for (int64_t apart = 0; apart <= 240 * MS; apart += 30 * MS)
		CU_ASSERT_EQUAL(jobs_left_after_silence(apart), 0);
}

/** struct sent_frames - numbers of the frames that were sent on each link. */
struct sent_frames {
	GArray *numbers[3]; /* by connection id, 1 and 2 */
};

static void
note_sent(void *self, struct mh_msg *msg)
{
	struct sent_frames *s = self;
	Mh__Frame *f;

	if (msg->kind != MH_MSG_LINK_SEND)
		return;
	f = mh_frame_unpack(msg->u.link.frame);
	if (f->number != 0)
		g_array_append_val(s->numbers[msg->u.link.conn], f->number);
	mh_frame_free(f);
}

static void
send_drop(struct mh_mesh *m)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__JobDrop d = MH__JOB_DROP__INIT;

	f.body_case = MH__FRAME__BODY_JOB_DROP;
	f.job_drop = &d;
	CU_ASSERT_TRUE(mh_mesh_send(m, "b", &f));
}

/*
 * Guards against a request whose end overtakes its job: one connection of two
 * is silent, the other one is used already, and what was sent on the first is
 * sent again only at the next check.
 */
static void
test_order_between_connections(void)
{
	struct mh_kern *k = mh_kern_create(1);
	struct sent_frames s = { { NULL } };
	Mh__Beat b = MH__BEAT__INIT;
	struct mh_mesh *m;

	s.numbers[1] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	s.numbers[2] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	mh_kern_advance(k, S, S);
	mh_kern_add(k, "link", &s, note_sent, NULL);
	m = mh_mesh_create(k, "a", 1);
	post_to_mesh(k, MH_MSG_LINK_UP, 1, NULL);
	post_to_mesh(k, MH_MSG_LINK_UP, 2, NULL);
	for (int64_t t = S; t < 5 * S; t += 10 * MS) {
		/* The first one carries nothing more after 3.1 s. */
		b.received++;
		b.uptime_us = (uint64_t)t;
		if (t % (50 * MS) == 0 && t <= 3100 * MS)
			post_to_mesh(k, MH_MSG_FRAME, 1, &b);
		if (t % (50 * MS) == 0)
			post_to_mesh(k, MH_MSG_FRAME, 2, &b);
		mh_kern_advance(k, t, t);
		if (t >= 3100 * MS && t < 4300 * MS)
			send_drop(m);
	}
	CU_ASSERT(s.numbers[1]->len > 0);
	CU_ASSERT(s.numbers[2]->len > 1);
	for (guint i = 1; i < s.numbers[2]->len; i++)
		CU_ASSERT(g_array_index(s.numbers[2], uint64_t, i - 1) <
		    g_array_index(s.numbers[2], uint64_t, i));
	mh_kern_destroy(k);
	g_array_free(s.numbers[1], TRUE);
	g_array_free(s.numbers[2], TRUE);
}

/* An entry with two connections to another one, or NULL. */
static struct ment *
linked_twice(struct mrig *r, const struct ment *other)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (r->opened[i][other->index] > 0 &&
		    r->opened[other->index][i] > 0)
			return &r->e[i];
	}
	return NULL;
}

/*
 * Sends @n jobs, @per_step each 10 ms, to the coordinator over a connection
 * that loses them; returns how many have not ended by their deadline.
 */
static uint32_t
many_jobs_left(uint32_t n, uint32_t per_step)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 1 };
	struct mrig *r = mrig_create();
	struct ent all[ENTRIES] = { 0 };
	struct mh_job *jobs[MANY_JOBS] = { NULL };
	struct ment *coordinator, *requester;
	struct ent *e;
	uint32_t left;

	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_create(&all[i], &r->e[i]);
	mrig_run(r, 10 * S);
	coordinator = mrig_agreed(r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(coordinator);
	requester = linked_twice(r, coordinator);
	CU_ASSERT_PTR_NOT_NULL_FATAL(requester);
	e = &all[requester->index];
	mrig_lose(requester, coordinator, LOSES_FROM_DIALER);
	for (uint32_t i = 0; i < n; i++) {
		jobs[i] = world_job(e->w, pools, pieces, 5 * S, 9 * S);
		jobs[i]->slo_us = mh_now(requester->k) + 5 * S;
		jobs[i]->deadline_us = mh_now(requester->k) + 9 * S;
		mh_broker_submit(e->b, jobs[i]);
		if (i % per_step == per_step - 1)
			mrig_run(r, 10 * MS);
	}
	mrig_run(r, 9 * S);
	left = n - e->ended;
	for (uint32_t i = 0; i < n; i++) {
		mh_broker_drop(e->b, jobs[i]);
		mh_job_destroy(jobs[i]);
	}
	mrig_run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&all[i]);
	mrig_destroy(r);
	return left;
}

/*
 * Guards against jobs that are never answered, since more frames than can be
 * kept were sent on a connection that carries nothing.
 */
static void
test_many_jobs_on_silent_connection(void)
{
	CU_ASSERT_EQUAL(many_jobs_left(3000, 20), 0);
	CU_ASSERT_EQUAL(many_jobs_left(MANY_JOBS, 40), 0);
}

const struct test tests_mesh[] = {
	{ "mesh: the order between two connections",
	    test_order_between_connections },
	{ "mesh: many jobs on a silent connection",
	    test_many_jobs_on_silent_connection },
	{ "mesh: jobs of a peer that one side alone has lost",
	    test_jobs_of_one_sided_loss },
	{ "mesh: an announcement on a connection that is silent",
	    test_announced_on_silent_connection },
	{ "mesh: stage work on a connection that is silent",
	    test_jobs_on_silent_connections },
	{ "mesh: a restart without a reset", test_restart_without_reset },
	{ "mesh: an outdated heartbeat", test_outdated_heartbeat },
	{ "mesh: alive after silence at a start",
	    test_alive_after_silence_at_start },
	{ "mesh: a configuration confirmed in a circle",
	    test_conf_confirmed_in_a_circle },
	{ "mesh: a job whose coordinator restarts at once",
	    test_job_and_quick_restart },
	{ "mesh: a job on a silent connection", test_job_on_silent_connection },
	{ "mesh: a job while only dials are answered",
	    test_job_and_only_dials_answered },
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
	{ "mesh: rows of a later era", test_rows_of_a_later_era },
	{ "mesh: a configuration without a version",
	    test_conf_without_version },
	{ "mesh: endpoints that two could not reach", test_suspects },
	{ "mesh: a job is handed off to the next coordinator",
	    test_job_handed_off },
	{ NULL, NULL },
};
