/**
 * DOC: Whose turn it is: the order of entries for a piece of work.
 */

#include "meshint.h"

#include <math.h>
#include <string.h>

/* First in the order of any work: one to use and the next to fall back on. */
#define DIALLED 4
/*
 * Where fewer can serve, as far as is known, so many of the order are tried.
 * While hundreds of entries start together, what they say of their age comes
 * late and none seems to have run for long enough: each had links to all.
 */
#define TRIED_MOST 12
/* Entries that read for all: one may be cut off or die unnoticed. */
#define READERS 2
/*
 * While the platform answers nobody these few find it back.  With all 68
 * entries trying, a day in which it was away for 14 s took 7,784 calls, with
 * these 3,980, both counted by the platform.
 */
#define SEEKERS 3
/* A process that ran so long is as good a home as any. */
#define SETTLED_US (8 * MH_US_PER_S)
/* Processes that were started within this time were started together. */
#define TOGETHER_US (2 * MH_US_PER_S)

/*
 * Processes that lost power together are back within a few tenths of a
 * second, in any order; by then a link to each has been tried again.
 */
#define UNSETTLED_US (400 * MH_US_PER_MS)

/*
 * A process that has just started is taken for one that will be ready: all rows
 * of 3,000 endpoints take 2 to 4 s over 10 Mbit/s.  Passed over after one
 * second, the first of the order gave way to the next, which were not ready
 * either, until each was linked to all.
 */
#define STARTING_US (4 * MH_US_PER_S)

/* Highest wins; a share of the work by weight (Wang and Ravishankar). */
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
	return mh_peer_alive(p) && p->ready && !p->leaving;
}

/*
 * One that leaves serves nobody: counting itself, it passed over all who had
 * just come back and did its callers' stage work itself up to its end.
 */
int64_t
mh_mesh_oldest(struct mh_mesh *m)
{
	int64_t oldest = m->leaving ? INT64_MAX : m->started_us;
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
 * When the longest running of all that can serve was started.  It links itself
 * to whoever comes before the home, so that each entry, linked to some of
 * those, is told of it.  By its own links alone, one that had just come back
 * knew only others that had, and took one of them for the home.
 */
static int64_t
oldest_start(struct mh_mesh *m)
{
	int64_t oldest = MIN(mh_mesh_oldest(m), mh_now(m->k));
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		if (mh_peer_alive(p))
			oldest = MIN(oldest, p->oldest_us);
	}
	return oldest;
}

/*
 * Work moves to another home each time a better one appears, and moving
 * costs.  While processes restart in turn, those that have just come back are
 * passed over as long as longer running ones can serve; when all restarted
 * together, none is passed over.
 */
static int64_t
latest_start(struct mh_mesh *m)
{
	return MAX(mh_now(m->k) - SETTLED_US, oldest_start(m) + TOGETHER_US);
}

/* The first of the order that can serve and was started by then, or NULL. */
static const char *
first_of(struct mh_mesh *m, const char *what, int64_t latest)
{
	const char *best = NULL;
	double most = -1;
	GHashTableIter it;
	gpointer key, value;

	if (!m->leaving && m->started_us <= latest) {
		best = m->node;
		most = rank(what, m->node, m->weight);
	}
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;
		double r = rank(what, p->node, p->weight);

		if (serves(p) && p->started_us <= latest && r > most) {
			best = p->node;
			most = r;
		}
	}
	return best;
}

/*
 * Where the one that ran longest is lost, it is heard of for a beat more, and
 * none is old enough: then the first of any age, so that not each does its own.
 */
const char *
mh_mesh_home(struct mh_mesh *m, const char *what)
{
	const char *best = first_of(m, what, latest_start(m));

	if (best == NULL)
		best = first_of(m, what, INT64_MAX);
	return best == NULL ? m->node : best;
}

int64_t
mh_mesh_unsettled_us(struct mh_mesh *m)
{
	mh_mesh_look(m);
	return MAX(mh_mesh_begun_us(m) + UNSETTLED_US - mh_now(m->k), 0);
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

		n += mh_peer_known(p) || mh_peer_alive(p);
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

		if (!mh_peer_known(p))
			continue;
		*entries += 1;
		before += mh_rendezvous(what, p->node) > mine;
	}
	return m->have_list ? before : UINT32_MAX;
}

/*
 * The first of the order that the platform answers; they are linked to all
 * who would fall back on them.  Whom it does not answer reads only while
 * nobody before it could: a few seek it, in case it answers nobody.
 */
bool
mh_mesh_reads(struct mh_mesh *m)
{
	double mine = rank(MH_STAGE_WORK, m->node, m->weight);
	bool answered = m->view.reads != NULL && m->view.reads(m->view.arg);
	GHashTableIter it;
	gpointer key, value;
	uint32_t readers = 0, seekers = 0;

	/* Those that start together have not heard of each other yet. */
	if (mh_mesh_unsettled_us(m) > 0)
		return false;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		if (!mh_peer_alive(p) || p->leaving ||
		    rank(MH_STAGE_WORK, p->node, p->weight) <= mine)
			continue;
		readers += p->reads;
		seekers++;
	}
	return readers < READERS && (answered || seekers < SEEKERS);
}

bool
mh_mesh_first(const struct mh_mesh *m)
{
	double mine = rank(MH_STAGE_WORK, m->node, m->weight);
	GHashTableIter it;
	gpointer value;
	uint32_t known = 0, before = 0;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (!mh_peer_known(p))
			continue;
		known++;
		before += rank(MH_STAGE_WORK, p->node, p->weight) > mine;
	}
	return known > 0 && before < DIALLED;
}

/* It can be a home for us, or may as far as we know. */
static bool
may_serve(const struct peer *p, int64_t latest)
{
	if (!mh_peer_alive(p))
		return mh_peer_known(p) && !p->failed;
	return !p->leaving && p->started_us <= latest &&
	    (p->ready || mh_now(p->m->k) - p->started_us < STARTING_US);
}

/* Keeps the highest, the highest first. */
static void
keep_best(double best[TRIED_MOST], double r)
{
	uint32_t at = TRIED_MOST;

	while (at > 0 && best[at - 1] < r)
		at--;
	for (uint32_t i = TRIED_MOST - 1; at < TRIED_MOST && i > at; i--)
		best[i] = best[i - 1];
	if (at < TRIED_MOST)
		best[at] = r;
}

/*
 * Marks the first few of the order of some work as worth a link of our own.
 * Those that are down, leaving, not ready or too young to be a home don't
 * count: while many restart, the first few of the list may all be gone or have
 * just come back, and every entry would be left alone.
 */
static void
want_first(struct mh_mesh *m, const char *work, uint32_t few)
{
	struct peer *first[DIALLED] = { NULL };
	double tried[TRIED_MOST] = { 0 };
	int64_t latest = latest_start(m);
	double least;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;
		uint32_t at = few;

		p->rank = rank(work, p->node, p->weight);
		if (mh_peer_known(p))
			keep_best(tried, p->rank);
		if (!may_serve(p, latest))
			continue;
		while (at > 0 &&
		    (first[at - 1] == NULL || first[at - 1]->rank < p->rank))
			at--;
		for (uint32_t i = few - 1; at < few && i > at; i--)
			first[i] = first[i - 1];
		if (at < few)
			first[at] = p;
	}
	/* Who would be among them is tried again, should it be back. */
	least = first[few - 1] != NULL ? first[few - 1]->rank
				       : tried[TRIED_MOST - 1];
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;

		if (mh_peer_known(p) && p->rank >= least)
			p->wanted = true;
	}
}

void
mh_mesh_want_links(struct mh_mesh *m)
{
	uint32_t used[MH_USED_SLICES];
	uint32_t n = mh_mesh_slices(m, m->slices, used);
	char work[MH_WORK_LEN];
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value))
		((struct peer *)value)->wanted = false;
	want_first(m, MH_STAGE_WORK, DIALLED);
	for (uint32_t i = 0; n > 1 && i < n; i++)
		want_first(
		    m, mh_slice_work(work, used[i], m->slices), DIALLED / 2);
}
