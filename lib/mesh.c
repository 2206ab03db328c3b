/**
 * DOC: Entries among themselves: who is alive, and whose turn it is.
 *
 * The list of entries comes from the platform and may be old; a beat on each
 * link tells who is alive.  The order of entries for a piece of work is by
 * weighted rendezvous hashing, so that all agree without asking, and each
 * dials only the first few of that order.  Two entries that disagree for a
 * moment cost smaller batches, never a wrong answer.
 */

#include "mesh.h"

#include <math.h>
#include <string.h>

#define BEAT_US (250 * MH_US_PER_MS)
/* Three beats and the way: a process that has its turn answers in this. */
#define SILENT_US (850 * MH_US_PER_MS)
#define REDIAL_US (500 * MH_US_PER_MS)
/* First in the order of any work: one to use and the next to fall back on. */
#define DIALLED 4
/* Entries that read for all: one may be cut off or die unnoticed. */
#define READERS 2
/* A process that ran so long is as good a home as any. */
#define SETTLED_US (8 * MH_US_PER_S)
/* Processes that were started within this time were started together. */
#define TOGETHER_US (2 * MH_US_PER_S)

struct peer {
	struct mh_mesh *m;
	char *node;
	char *addr;
	double weight;
	bool listed;
	bool ready;
	bool leaving;
	bool reads; /* the platform answers it */
	bool failed; /* the last try to reach it failed */
	bool wanted; /* worth a link of our own */
	double rank; /* in the order that is being looked at */
	int64_t started_us; /* by our clock */
	uint64_t dial; /* a link being opened, 0: none */
	uint64_t out; /* links that are up, 0: none */
	uint64_t in;
	int64_t heard_us;
	int64_t dial_us; /* not again before */
	uint64_t asked_conf; /* revision asked for */
};

struct handler {
	mh_mesh_fn fn;
	void *arg;
};

#define MAX_CASES 64

struct mh_mesh {
	struct mh_kern *k;
	char *node;
	double weight;
	bool leaving;
	uint32_t slices; /* of the stage pools */
	int64_t started_us;
	GHashTable *peers; /* node -> struct peer */
	GHashTable *conns; /* conn -> struct peer */
	struct mh_mesh_view view;
	struct handler on[MAX_CASES];
	void (*lost)(void *arg, const char *node);
	void *lost_arg;
	struct mh_timer *timer;
};

static void
free_peer(void *arg)
{
	struct peer *p = arg;

	g_free(p->node);
	g_free(p->addr);
	g_free(p);
}

/* whose turn it is */

/* Highest wins; a share of the work by weight (Wang and Ravishankar). */
static double
rank(const char *what, const char *node, double weight)
{
	double unit = ((double)(mh_rendezvous(what, node) >> 11) + 1) /
	    (double)(1ULL << 53);

	return -MAX(weight, 0.001) / log(unit);
}

static uint64_t
link_of(const struct peer *p)
{
	return p->out != 0 ? p->out : p->in;
}

static bool
alive(const struct peer *p)
{
	return link_of(p) != 0 && mh_now(p->m->k) - p->heard_us < SILENT_US;
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
	return alive(p) && p->ready && !p->leaving;
}

/* When the longest running of those that can serve was started. */
static int64_t
oldest_start(struct mh_mesh *m)
{
	int64_t oldest = m->started_us;
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

const char *
mh_mesh_home(struct mh_mesh *m, const char *what)
{
	int64_t latest = latest_start(m);
	const char *best = m->node;
	double most = -1;
	GHashTableIter it;
	gpointer key, value;

	if (!m->leaving && m->started_us <= latest)
		most = rank(what, m->node, m->weight);
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

		n += p->listed || alive(p);
	}
	return n;
}

/*
 * The first of the order that the platform answers; they are linked to all
 * who would fall back on them.
 */
bool
mh_mesh_reads(struct mh_mesh *m)
{
	double mine = rank(MH_STAGE_WORK, m->node, m->weight);
	GHashTableIter it;
	gpointer key, value;
	uint32_t before = 0;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		before += alive(p) && p->reads && !p->leaving &&
		    rank(MH_STAGE_WORK, p->node, p->weight) > mine;
	}
	return before < READERS;
}

/* frames */

static void
send_to(struct mh_mesh *m, uint64_t conn, Mh__Frame *f)
{
	struct mh_msg *msg = mh_msg_new(MH_MSG_LINK_SEND);

	msg->u.link.conn = conn;
	msg->u.link.frame = mh_frame_pack(f);
	mh_count(m->k, "link_frames_out", 1);
	mh_count(
	    m->k, "link_bytes_out", g_bytes_get_size(msg->u.link.frame) + 4);
	mh_post(m->k, "link", msg);
}

bool
mh_mesh_send(struct mh_mesh *m, const char *node, Mh__Frame *f)
{
	struct peer *p = g_hash_table_lookup(m->peers, node);

	if (p == NULL || link_of(p) == 0)
		return false;
	send_to(m, link_of(p), f);
	return true;
}

void
mh_mesh_send_all(struct mh_mesh *m, Mh__Frame *f)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		if (link_of(p) != 0)
			send_to(m, link_of(p), f);
	}
}

void
mh_mesh_on(
    struct mh_mesh *m, Mh__Frame__BodyCase kind, mh_mesh_fn fn, void *arg)
{
	m->on[kind].fn = fn;
	m->on[kind].arg = arg;
}

void
mh_mesh_on_lost(
    struct mh_mesh *m, void (*fn)(void *arg, const char *node), void *arg)
{
	m->lost = fn;
	m->lost_arg = arg;
}

void
mh_mesh_share(struct mh_mesh *m, const struct mh_mesh_view *v)
{
	m->view = *v;
}

static void
beat_all(struct mh_mesh *m)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Beat b = MH__BEAT__INIT;
	GHashTableIter it;
	gpointer key, value;

	b.leaving = m->leaving;
	b.uptime_us = (uint64_t)(mh_now(m->k) - m->started_us);
	if (m->view.ready != NULL) {
		b.ready = m->view.ready(m->view.arg);
		b.reads = m->view.reads(m->view.arg);
		b.conf_revision = m->view.conf_revision(m->view.arg);
		b.rows_revision = m->view.rows_revision(m->view.arg);
		b.rows_age_us = (uint64_t)m->view.rows_age_us(m->view.arg);
	}
	f.body_case = MH__FRAME__BODY_BEAT;
	f.beat = &b;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct peer *p = value;

		if (link_of(p) != 0)
			send_to(m, link_of(p), &f);
	}
}

/*
 * A process that the store turns away still learns of a new configuration
 * and of leaving endpoints: from whoever has read them.
 */
static void
compare_views(struct mh_mesh *m, struct peer *p, const Mh__Beat *b)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__ViewAsk ask = MH__VIEW_ASK__INIT;

	if (m->view.conf_revision == NULL)
		return;
	if (b->rows_revision == m->view.rows_revision(m->view.arg))
		m->view.rows_same(m->view.arg, (int64_t)b->rows_age_us);
	ask.conf = b->conf_revision > m->view.conf_revision(m->view.arg) &&
	    p->asked_conf != b->conf_revision;
	ask.rows = b->rows_revision > m->view.rows_revision(m->view.arg) &&
	    m->view.rows_due(m->view.arg);
	if (!ask.conf && !ask.rows)
		return;
	if (ask.rows)
		ask.rows_since = m->view.rows_have(m->view.arg);
	if (ask.conf)
		p->asked_conf = b->conf_revision;
	f.body_case = MH__FRAME__BODY_VIEW_ASK;
	f.view_ask = &ask;
	send_to(m, link_of(p), &f);
}

static void
take_beat(struct mh_mesh *m, struct peer *p, const Mh__Beat *b)
{
	p->ready = b->ready;
	p->reads = b->reads;
	p->started_us = mh_now(m->k) - (int64_t)b->uptime_us;
	if (b->leaving && !p->leaving)
		mh_event(m->k, "peer-leaving", "node=%s", p->node);
	p->leaving = b->leaving;
	compare_views(m, p, b);
}

static void
answer_view(struct mh_mesh *m, struct peer *p, const Mh__ViewAsk *ask)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__View v = MH__VIEW__INIT;
	struct mh_shared s = { NULL, NULL };

	if (m->view.fill == NULL)
		return;
	m->view.fill(m->view.arg, ask, &s);
	v.conf_revision = m->view.conf_revision(m->view.arg);
	v.rows_revision = m->view.rows_revision(m->view.arg);
	if (s.conf != NULL)
		v.conf.data = (uint8_t *)g_bytes_get_data(s.conf, &v.conf.len);
	if (s.rows != NULL)
		v.rows.data = (uint8_t *)g_bytes_get_data(s.rows, &v.rows.len);
	f.body_case = MH__FRAME__BODY_VIEW;
	f.view = &v;
	send_to(m, link_of(p), &f);
	if (s.conf != NULL)
		g_bytes_unref(s.conf);
	if (s.rows != NULL)
		g_bytes_unref(s.rows);
}

static void
take_frame(struct mh_mesh *m, const struct mh_link_msg *l)
{
	struct peer *p = g_hash_table_lookup(m->conns, &l->conn);
	Mh__Frame *f = mh_frame_unpack(l->frame);

	mh_count(m->k, "link_frames_in", 1);
	mh_count(m->k, "link_bytes_in", g_bytes_get_size(l->frame) + 4);
	if (f == NULL || p == NULL || (unsigned)f->body_case >= MAX_CASES) {
		mh_event(m->k, "link-malformed", "conn=%" PRIu64, l->conn);
		mh_link_close(m->k, l->conn);
		goto done;
	}
	p->heard_us = mh_now(m->k);
	switch (f->body_case) {
	case MH__FRAME__BODY_BEAT:
		take_beat(m, p, f->beat);
		break;
	case MH__FRAME__BODY_VIEW_ASK:
		answer_view(m, p, f->view_ask);
		break;
	case MH__FRAME__BODY_VIEW:
		if (m->view.take != NULL)
			m->view.take(m->view.arg, f->view);
		break;
	default:
		if (m->on[f->body_case].fn != NULL)
			m->on[f->body_case].fn(
			    m->on[f->body_case].arg, p->node, f);
		break;
	}
done:
	mh_frame_free(f);
}

/* links */

static struct peer *
peer_of(struct mh_mesh *m, const char *node)
{
	struct peer *p = g_hash_table_lookup(m->peers, node);

	if (p == NULL) {
		p = g_new0(struct peer, 1);
		p->m = m;
		p->node = g_strdup(node);
		p->weight = 1;
		g_hash_table_insert(m->peers, p->node, p);
	}
	return p;
}

static void
note_conn(struct mh_mesh *m, uint64_t conn, struct peer *p)
{
	g_hash_table_replace(m->conns, g_memdup2(&conn, sizeof(conn)), p);
}

static void
link_up(struct mh_mesh *m, const struct mh_link_msg *l)
{
	struct peer *p = peer_of(m, l->vm);
	uint64_t *slot = l->inbound ? &p->in : &p->out;

	if (*slot != 0 && *slot != l->conn) {
		uint64_t old = *slot;

		g_hash_table_remove(m->conns, &old);
		mh_link_close(m->k, old);
	}
	*slot = l->conn;
	if (!l->inbound)
		p->dial = 0;
	if (p->addr == NULL)
		p->addr = g_strdup(l->addr);
	p->heard_us = mh_now(m->k);
	p->failed = false;
	p->asked_conf = 0;
	note_conn(m, l->conn, p);
	mh_event(m->k, "peer-up", "node=%s addr=%s inbound=%d", p->node,
	    l->addr, l->inbound);
}

static void
peer_lost(struct mh_mesh *m, struct peer *p, const char *why)
{
	mh_event(m->k, "peer-lost", "node=%s why=%s silent_ms=%" PRId64,
	    p->node, why, mh_ms(mh_now(m->k) - p->heard_us));
	p->ready = false;
	if (m->lost != NULL)
		m->lost(m->lost_arg, p->node);
}

static void
link_down(struct mh_mesh *m, uint64_t conn)
{
	struct peer *p = g_hash_table_lookup(m->conns, &conn);
	bool was;

	if (p == NULL)
		return;
	was = link_of(p) != 0;
	p->failed = !was || p->failed;
	g_hash_table_remove(m->conns, &conn);
	if (p->dial == conn)
		p->dial = 0;
	if (p->out == conn)
		p->out = 0;
	if (p->in == conn)
		p->in = 0;
	if (was && link_of(p) == 0)
		peer_lost(m, p, "closed");
}

static void
drop_link(struct mh_mesh *m, uint64_t *slot)
{
	uint64_t conn = *slot;

	*slot = 0;
	if (conn == 0)
		return;
	g_hash_table_remove(m->conns, &conn);
	mh_link_close(m->k, conn);
}

static void
check_silent(struct mh_mesh *m, struct peer *p)
{
	if (link_of(p) == 0 || mh_now(m->k) - p->heard_us < SILENT_US)
		return;
	/* The link may have gone silent while a new one would work. */
	drop_link(m, &p->out);
	drop_link(m, &p->in);
	p->dial_us = mh_now(m->k);
	peer_lost(m, p, "silent");
}

/* It can do work for us, or may as far as we know. */
static bool
may_serve(const struct peer *p)
{
	if (alive(p))
		return p->ready && !p->leaving;
	return p->listed && !p->failed;
}

/*
 * Marks the first few of the order of some work as worth a link of our own.
 * Those that are down, leaving or not ready don't count: while many restart,
 * the first few of the list may all be gone, and every entry would be left
 * alone.
 */
static void
want_first(struct mh_mesh *m, const char *work, uint32_t few)
{
	struct peer *first[DIALLED] = { NULL };
	double least = 0;
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;
		uint32_t at = few;

		if (!may_serve(p))
			continue;
		p->rank = rank(work, p->node, p->weight);
		while (at > 0 &&
		    (first[at - 1] == NULL || first[at - 1]->rank < p->rank))
			at--;
		for (uint32_t i = few - 1; at < few && i > at; i--)
			first[i] = first[i - 1];
		if (at < few)
			first[at] = p;
	}
	/* Who would be among them is tried again, should it be back. */
	if (first[few - 1] != NULL)
		least = first[few - 1]->rank;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;

		if (p->listed && rank(work, p->node, p->weight) >= least)
			p->wanted = true;
	}
}

static void
want_links(struct mh_mesh *m)
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

static void
dial(struct mh_mesh *m, struct peer *p)
{
	p->dial = mh_next_id(m->k);
	p->dial_us = mh_now(m->k) + REDIAL_US;
	note_conn(m, p->dial, p);
	mh_link_dial(m->k, p->dial, p->addr);
}

static void
on_timer(void *arg)
{
	struct mh_mesh *m = arg;
	GHashTableIter it;
	gpointer key, value;

	want_links(m);
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;

		check_silent(m, p);
		if (link_of(p) == 0 && p->dial == 0 && !p->listed) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (p->out == 0 && p->dial == 0 && p->listed &&
		    mh_now(m->k) >= p->dial_us && p->wanted)
			dial(m, p);
	}
	beat_all(m);
	m->timer = mh_timer_start(m->k, BEAT_US, on_timer, m);
}

void
mh_mesh_list(struct mh_mesh *m, const GPtrArray *members)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value))
		((struct peer *)value)->listed = false;
	for (guint i = 0; i < members->len; i++) {
		const struct mh_member *e = g_ptr_array_index(members, i);
		struct peer *p;

		if (strcmp(e->node, m->node) == 0)
			continue;
		p = peer_of(m, e->node);
		p->listed = true;
		p->weight = e->weight;
		g_free(p->addr);
		p->addr = g_strdup(e->addr);
	}
}

void
mh_mesh_leave(struct mh_mesh *m)
{
	m->leaving = true;
	beat_all(m);
}

static void
handle(void *self, struct mh_msg *msg)
{
	struct mh_mesh *m = self;

	switch (msg->kind) {
	case MH_MSG_FRAME:
		take_frame(m, &msg->u.link);
		break;
	case MH_MSG_LINK_UP:
		link_up(m, &msg->u.link);
		break;
	case MH_MSG_LINK_DOWN:
		link_down(m, msg->u.link.conn);
		break;
	default:
		break;
	}
}

static void
destroy(void *self)
{
	struct mh_mesh *m = self;

	mh_timer_stop(m->k, &m->timer);
	g_hash_table_destroy(m->conns);
	g_hash_table_destroy(m->peers);
	g_free(m->node);
	g_free(m);
}

struct mh_mesh *
mh_mesh_create(struct mh_kern *k, const char *node, double weight)
{
	struct mh_mesh *m = g_new0(struct mh_mesh, 1);

	m->k = k;
	m->node = g_strdup(node);
	m->weight = weight;
	m->started_us = mh_now(k);
	m->slices = 1;
	m->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	m->conns =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	mh_kern_add(k, "hub", m, handle, destroy);
	m->timer = mh_timer_start(k, BEAT_US, on_timer, m);
	return m;
}
