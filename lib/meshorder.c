/**
 * DOC: The order of entries for a piece of work: its coordinator, links,
 * readers.
 */

#include "meshint.h"

#include <math.h>
#include <string.h>

/*
 * Entries to link to, the first of the order of any work: the coordinator and
 * those that would replace it.
 */
#define LINKED_FIRST 4
/*
 * While fewer are recorded as able to serve, at most this many of the order are
 * dialled. When hundreds of entries start together, their start times arrive
 * late and none seems to have run for long enough; without this limit each
 * entry would link to all.
 */
#define DIALLED_MAX 12
/*
 * Entries that read from the platform for all; a second one, since one may be
 * cut off or die unnoticed.
 */
#define READERS 2
/*
 * What a reader says must be no older, with the interval of our heartbeats and
 * of its own.
 */
#define READER_LATE_US (1500 * MH_US_PER_MS)
/*
 * Entries that poll a platform which answers nobody. With all 68 entries
 * polling, a day with a 14 s outage took 7,784 calls, counted by the platform;
 * with these 3,980.
 */
#define POLLERS 3
/*
 * After this uptime a process coordinates work, whatever the uptime of others.
 */
#define SETTLED_US (8 * MH_US_PER_S)
/* Start times that differ by less count as equal. */
#define SAME_START_US (2 * MH_US_PER_S)

/*
 * Processes that lost power together are back within a few tenths of a second,
 * in any order; within this time a link to each has been tried again.
 */
#define SETTLE_US (400 * MH_US_PER_MS)

/*
 * For this time after its start a process that is not ready is expected to
 * become so: all rows of 3,000 endpoints take 2 to 4 s over 10 Mbit/s. When
 * such processes were skipped after one second, entries linked to the next ones
 * of the order, which were not ready either, until each was linked to all.
 */
#define STARTING_US (4 * MH_US_PER_S)

/*
 * Weighted rendezvous hashing (Wang and Ravishankar): the highest value comes
 * first, and each entry's share of the work is proportional to its weight.
 */
static double
rank(const char *what, const char *node, double weight)
{
	double unit = ((double)(mh_rendezvous(what, node) >> 11) + 1) /
	    (double)(1ULL << 53);

	return -MAX(weight, 0.001) / log(unit);
}

const char *
mh_slice_work(char name[MH_WORK_LEN], uint32_t slice, uint32_t slices)
{
	if (slices <= 1)
		return MH_STAGE_WORK;
	g_snprintf(name, MH_WORK_LEN, MH_STAGE_WORK "/%u/%u", slice, slices);
	return name;
}

uint32_t
mh_mesh_slices(
    const struct mh_mesh *m, uint32_t slices, uint32_t used[MH_USED_SLICES])
{
	uint64_t best[MH_USED_SLICES] = { 0 };
	uint32_t n = 0;

	for (uint32_t i = 0; i < slices; i++) {
		char work[MH_WORK_LEN];
		uint64_t r =
		    mh_rendezvous(mh_slice_work(work, i, slices), m->node);
		uint32_t at = MIN(n, MH_USED_SLICES - 1);

		if (n == MH_USED_SLICES && r <= best[at])
			continue;
		n = MIN(n + 1, MH_USED_SLICES);
		for (; at > 0 && best[at - 1] < r; at--) {
			best[at] = best[at - 1];
			used[at] = used[at - 1];
		}
		best[at] = r;
		used[at] = i;
	}
	return n;
}

void
mh_mesh_set_slices(struct mh_mesh *m, uint32_t slices)
{
	m->slices = slices;
}

static bool
serves(const struct peer *p)
{
	return mh_peer_is_alive(p) && p->ready && !p->draining;
}

/*
 * A draining entry doesn't count: when it counted itself, it skipped all
 * entries that had just restarted and did its clients' stage work alone until
 * it exited.
 */
int64_t
mh_mesh_oldest_start_us(struct mh_mesh *m)
{
	int64_t oldest = m->draining ? INT64_MAX : m->started_us;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		if (serves(p))
			oldest = MIN(oldest, p->started_us);
	}
	return oldest;
}

/*
 * Earliest start time of all entries that can serve. The longest running entry
 * keeps links to those that precede the coordinator in the order, so that the
 * entries linked to these receive its start time in their heartbeats. By its
 * own links alone, an entry that had just restarted knew only others that had
 * too, and took one of them for the coordinator.
 */
static int64_t
oldest_start(struct mh_mesh *m)
{
	int64_t oldest = MIN(mh_mesh_oldest_start_us(m), mh_now(m->k));
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		if (mh_peer_is_alive(p))
			oldest = MIN(oldest, p->oldest_start_us);
	}
	return oldest;
}

/*
 * Latest start time of an entry that may coordinate work. Work moves each time
 * that a better coordinator appears, and moving costs. While processes restart
 * one after another, those that have just restarted are skipped as long as
 * longer running ones can serve; if all restarted together, none is skipped.
 */
static int64_t
latest_start(struct mh_mesh *m)
{
	return MAX(mh_now(m->k) - SETTLED_US, oldest_start(m) + SAME_START_US);
}

/* The first of the order that can serve and started by @latest, or NULL. */
static const char *
first_of(struct mh_mesh *m, const char *what, int64_t latest)
{
	const char *best = NULL;
	double best_rank = -1;
	GHashTableIter it;
	gpointer key, value;

	if (!m->draining && m->started_us <= latest) {
		best = m->node;
		best_rank = rank(what, m->node, m->weight);
	}
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;
		double r = rank(what, p->node, p->weight);

		if (serves(p) && p->started_us <= latest && r > best_rank) {
			best = p->node;
			best_rank = r;
		}
	}
	return best;
}

/*
 * When the longest running entry is lost, its start time is still in the
 * heartbeats of others for one interval, and no entry has run for long enough.
 * Then the first of the order with any start time is chosen, so that not every
 * entry does its own work.
 */
const char *
mh_mesh_coordinator(struct mh_mesh *m, const char *what)
{
	const char *best = first_of(m, what, latest_start(m));

	if (best == NULL)
		best = first_of(m, what, INT64_MAX);
	return best == NULL ? m->node : best;
}

int64_t
mh_mesh_settle_us(struct mh_mesh *m)
{
	mh_mesh_check_pause(m);
	return MAX(mh_mesh_start_us(m) + SETTLE_US - mh_now(m->k), 0);
}

bool
mh_mesh_is_self(const struct mh_mesh *m, const char *node)
{
	return strcmp(m->node, node) == 0;
}

uint32_t
mh_mesh_size(struct mh_mesh *m)
{
	GHashTableIter it;
	gpointer key, value;
	uint32_t n = 1;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		n += mh_peer_is_member(p) || mh_peer_is_alive(p);
	}
	return n;
}

uint32_t
mh_mesh_first_peers(const struct mh_mesh *m, const char **nodes, uint32_t most)
{
	double ranks[DIALLED_MAX];
	uint32_t n = 0;
	GHashTableIter it;
	gpointer value;

	g_assert(most > 0 && most <= DIALLED_MAX);
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;
		double r = rank(MH_STAGE_WORK, p->node, p->weight);
		uint32_t at = n;

		if (!mh_peer_is_alive(p) || (n == most && r <= ranks[n - 1]))
			continue;
		n = MIN(n + 1, most);
		at = MIN(at, most - 1);
		for (; at > 0 && ranks[at - 1] < r; at--) {
			ranks[at] = ranks[at - 1];
			nodes[at] = nodes[at - 1];
		}
		ranks[at] = r;
		nodes[at] = p->node;
	}
	return n;
}

uint32_t
mh_mesh_rank(const struct mh_mesh *m, const char *what, uint32_t *entries)
{
	uint64_t mine = mh_rendezvous(what, m->node);
	uint32_t before = 0;
	GHashTableIter it;
	gpointer value;

	*entries = 1;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (!mh_peer_is_member(p))
			continue;
		*entries += 1;
		before += mh_rendezvous(what, p->node) > mine;
	}
	return m->have_list ? before : UINT32_MAX;
}

/* Whether a peer precedes us in the order of readers. */
static bool
precedes(const struct peer *p, double mine)
{
	return mh_peer_is_alive(p) && !p->draining &&
	    rank(MH_STAGE_WORK, p->node, p->weight) > mine;
}

/* Whether the platform answers its reads, and we soon get what it has read. */
static bool
reads_in_time(const struct peer *p)
{
	return p->can_read && mh_peer_late_us(p) < READER_LATE_US;
}

bool
mh_mesh_reads_for(const struct mh_mesh *m, const struct peer *p)
{
	return reads_in_time(p) &&
	    precedes(p, rank(MH_STAGE_WORK, m->node, m->weight));
}

/*
 * The readers are the first READERS of the order that the platform answers; all
 * entries that would choose them as coordinators are linked to them. An entry
 * that the platform doesn't answer keeps trying only if it is among the first
 * POLLERS.
 */
bool
mh_mesh_is_reader(struct mh_mesh *m)
{
	double mine = rank(MH_STAGE_WORK, m->node, m->weight);
	bool answered =
	    m->view.can_read != NULL && m->view.can_read(m->view.arg);
	GHashTableIter it;
	gpointer key, value;
	uint32_t readers = 0, pollers = 0;

	/* Entries that start together have no heartbeats of each other yet. */
	if (mh_mesh_settle_us(m) > 0)
		return false;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		if (!precedes(p, mine))
			continue;
		readers += reads_in_time(p);
		pollers++;
	}
	return readers < READERS && (answered || pollers < POLLERS);
}

bool
mh_mesh_may_read(const struct mh_mesh *m)
{
	double mine = rank(MH_STAGE_WORK, m->node, m->weight);
	GHashTableIter it;
	gpointer value;
	uint32_t known = 0, before = 0;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (!mh_peer_is_member(p))
			continue;
		known++;
		before += rank(MH_STAGE_WORK, p->node, p->weight) > mine;
	}
	return known > 0 && before < LINKED_FIRST;
}

/* Whether it can coordinate our work; an unlinked member is assumed to. */
static bool
may_coordinate(const struct peer *p, int64_t latest)
{
	if (!mh_peer_is_alive(p))
		return mh_peer_is_member(p) && !p->unreachable;
	return !p->draining && p->started_us <= latest &&
	    (p->ready || mh_now(p->m->k) - p->started_us < STARTING_US);
}

/* Inserts @r into the highest values, in descending order. */
static void
insert_best(double best[DIALLED_MAX], double r)
{
	uint32_t at = DIALLED_MAX;

	while (at > 0 && best[at - 1] < r)
		at--;
	for (uint32_t i = DIALLED_MAX - 1; at < DIALLED_MAX && i > at; i--)
		best[i] = best[i - 1];
	if (at < DIALLED_MAX)
		best[at] = r;
}

/*
 * Marks the first @few of the order of @work as peers to link to. Peers that
 * are down, draining, not ready or started too late to coordinate don't count:
 * while many restart, the first few of the list may all be down or have just
 * restarted, and every entry would be left without a usable link.
 */
static void
select_first(struct mh_mesh *m, const char *work, uint32_t few)
{
	struct peer *first[LINKED_FIRST] = { NULL };
	double dialled[DIALLED_MAX] = { 0 };
	int64_t latest = latest_start(m);
	double min_rank;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;
		uint32_t at = few;

		p->rank = rank(work, p->node, p->weight);
		if (mh_peer_is_member(p))
			insert_best(dialled, p->rank);
		if (!may_coordinate(p, latest))
			continue;
		while (at > 0 &&
		    (first[at - 1] == NULL || first[at - 1]->rank < p->rank))
			at--;
		for (uint32_t i = few - 1; at < few && i > at; i--)
			first[i] = first[i - 1];
		if (at < few)
			first[at] = p;
	}
	/*
	 * Also dials unusable peers that would be among them, in case they are
	 * back.
	 */
	min_rank = first[few - 1] != NULL ? first[few - 1]->rank
					  : dialled[DIALLED_MAX - 1];
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;

		if (mh_peer_is_member(p) && p->rank >= min_rank)
			p->want_link = true;
	}
}

void
mh_mesh_select_links(struct mh_mesh *m)
{
	uint32_t used[MH_USED_SLICES];
	uint32_t n = mh_mesh_slices(m, m->slices, used);
	char work[MH_WORK_LEN];
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value))
		((struct peer *)value)->want_link = false;
	select_first(m, MH_STAGE_WORK, LINKED_FIRST);
	for (uint32_t i = 0; n > 1 && i < n; i++)
		select_first(m, mh_slice_work(work, used[i], m->slices),
		    LINKED_FIRST / 2);
}
