/**
 * DOC: Entries among themselves, in virtual time: who is alive, whose turn
 * it is, and jobs that move when an entry is lost.
 */

#include "regress.h"
#include "world.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define ENTRIES 8

/** struct ment - one entry: a kernel with a mesh and a fake link. */
struct ment {
	struct mrig *r;
	uint32_t index;
	char node[8];
	struct mh_kern *k;
	struct mh_mesh *m;
	bool cut; /* its frames are lost, silently */
	bool down; /* refuses connections */
	bool ready;
	bool reads;
	uint64_t conf;
	uint64_t rows;
	uint32_t taken_conf;
	uint32_t fresh; /* beats that said: unchanged just now */
	uint32_t lose_views; /* of its answers, so many are lost */
	uint32_t rows_len; /* bytes of all its rows */
	uint32_t taken_rows; /* bytes */
};

/** struct mrig - entries whose links are one queue. */
struct mrig {
	struct ment e[ENTRIES];
	int64_t now_us;
	GPtrArray *members;
};

static struct ment *
by_node(struct mrig *r, const char *node)
{
	return &r->e[node[1] - '0'];
}

/* Connection ids name both ends: dialer * 100 + other, inbound + 1000000. */
static struct ment *
other_end(struct ment *e, uint64_t conn)
{
	uint64_t id = conn % 1000000;

	return &e->r->e[id / 10 % 10 == e->index ? id % 10 : id / 10 % 10];
}

static uint64_t
mirror(uint64_t conn)
{
	return conn >= 1000000 ? conn - 1000000 : conn + 1000000;
}

static void
tell(struct ment *e, enum mh_msg_kind kind, uint64_t conn, struct ment *peer,
    bool inbound, GBytes *frame)
{
	struct mh_msg *m = mh_msg_new(kind);

	m->u.link.conn = conn;
	m->u.link.inbound = inbound;
	if (kind == MH_MSG_LINK_UP) {
		m->u.link.vm = g_strdup(peer->node);
		m->u.link.addr = g_strdup_printf("10.0.0.%u:1", peer->index);
	}
	if (frame != NULL)
		m->u.link.frame = g_bytes_ref(frame);
	mh_post(e->k, "hub", m);
}

struct link {
	struct ment *e;
	GHashTable *ids; /* the mesh's dial id -> ours */
	GHashTable *back;
};

static uint64_t
ours(struct link *l, uint64_t id)
{
	uint64_t *v = g_hash_table_lookup(l->ids, &id);

	return v != NULL ? *v : id;
}

static uint64_t
theirs(struct link *l, uint64_t id)
{
	uint64_t *v = g_hash_table_lookup(l->back, &id);

	return v != NULL ? *v : id;
}

static void
dial(struct link *l, const struct mh_link_msg *m)
{
	struct ment *e = l->e;
	struct ment *to = &e->r->e[m->addr[7] - '0'];
	uint64_t id = e->index * 10 + to->index, dialled = m->conn;

	if (to->down || e->cut || to->cut) {
		tell(e, MH_MSG_LINK_DOWN, dialled, to, false, NULL);
		return;
	}
	g_hash_table_replace(l->ids, g_memdup2(&dialled, sizeof(dialled)),
	    g_memdup2(&id, sizeof(id)));
	g_hash_table_replace(l->back, g_memdup2(&id, sizeof(id)),
	    g_memdup2(&dialled, sizeof(dialled)));
	tell(e, MH_MSG_LINK_UP, dialled, to, false, NULL);
	tell(to, MH_MSG_LINK_UP, mirror(id), e, true, NULL);
}

static bool
is_lost(struct ment *e, GBytes *frame)
{
	Mh__Frame *f = mh_frame_unpack(frame);
	bool lost = e->lose_views > 0 && f->body_case == MH__FRAME__BODY_VIEW;

	e->lose_views -= lost;
	mh_frame_free(f);
	return lost;
}

static void
link_handle(void *self, struct mh_msg *msg)
{
	struct link *l = self;
	struct ment *e = l->e, *to;
	const struct mh_link_msg *m = &msg->u.link;
	uint64_t id = ours(l, m->conn);
	struct link *tl;

	switch (msg->kind) {
	case MH_MSG_LINK_DIAL:
		dial(l, m);
		break;
	case MH_MSG_LINK_SEND:
		to = other_end(e, id);
		if (e->cut || to->cut || to->down || is_lost(e, m->frame))
			break;
		tl = mh_kern_get(to->k, "link");
		tell(to, MH_MSG_FRAME, theirs(tl, mirror(id)), e, false,
		    m->frame);
		break;
	case MH_MSG_LINK_CLOSE:
		to = other_end(e, id);
		tl = mh_kern_get(to->k, "link");
		if (!e->cut && !to->cut && !to->down)
			tell(to, MH_MSG_LINK_DOWN, theirs(tl, mirror(id)), e,
			    false, NULL);
		break;
	default:
		break;
	}
}

static void
link_free(void *self)
{
	struct link *l = self;

	g_hash_table_destroy(l->ids);
	g_hash_table_destroy(l->back);
	g_free(l);
}

static uint64_t
v_conf(void *arg)
{
	return ((struct ment *)arg)->conf;
}

static uint64_t
v_rows(void *arg)
{
	return ((struct ment *)arg)->rows;
}

static bool
v_due(void *arg)
{
	(void)arg;
	return true;
}

static bool
v_ready(void *arg)
{
	return ((struct ment *)arg)->ready;
}

static bool
v_reads(void *arg)
{
	return ((struct ment *)arg)->reads;
}

static int64_t
v_age(void *arg)
{
	return ((struct ment *)arg)->reads ? 0 : S;
}

static void
v_same(void *arg, int64_t age_us)
{
	struct ment *e = arg;

	e->fresh += age_us == 0;
}

static void
v_fill(void *arg, const Mh__ViewAsk *ask, struct mh_shared *out)
{
	struct ment *e = arg;

	if (ask->conf)
		out->conf = g_bytes_new("conf", 4);
	if (ask->rows && e->rows_len > 0)
		out->rows =
		    g_bytes_new_take(g_malloc0(e->rows_len), e->rows_len);
}

static void
v_take(void *arg, const Mh__View *v)
{
	struct ment *e = arg;

	e->taken_rows += (uint32_t)v->rows.len;
	if (v->conf.len == 4) {
		e->conf = v->conf_revision;
		e->taken_conf++;
	}
}

static void
start(struct ment *e)
{
	const struct mh_mesh_view v = { v_conf, v_rows, v_due, v_rows, v_age,
		v_same, v_fill, v_take, v_ready, v_reads, e };
	struct link *l = g_new0(struct link, 1);

	e->k = mh_kern_create(e->index + 1);
	mh_kern_advance(e->k, e->r->now_us, e->r->now_us);
	l->e = e;
	l->ids =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	l->back =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	mh_kern_add(e->k, "link", l, link_handle, link_free);
	e->m = mh_mesh_create(e->k, e->node, 1);
	mh_mesh_share(e->m, &v);
	mh_mesh_list(e->m, e->r->members);
}

static void
run(struct mrig *r, int64_t us)
{
	for (int64_t t = 0; t < us; t += 10 * MS) {
		r->now_us += 10 * MS;
		for (int round = 0; round < 4; round++) {
			for (uint32_t i = 0; i < ENTRIES; i++) {
				if (!r->e[i].down)
					mh_kern_advance(
					    r->e[i].k, r->now_us, r->now_us);
			}
		}
	}
}

static struct mrig *
mrig_create(void)
{
	struct mrig *r = g_new0(struct mrig, 1);

	r->now_us = S;
	r->members = g_ptr_array_new();
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct mh_member *m = g_new0(struct mh_member, 1);

		g_snprintf(r->e[i].node, sizeof(r->e[i].node), "e%u", i);
		m->node = g_strdup(r->e[i].node);
		m->addr = g_strdup_printf("10.0.0.%u:1", i);
		m->weight = 1;
		g_ptr_array_add(r->members, m);
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		r->e[i].r = r;
		r->e[i].index = i;
		r->e[i].ready = r->e[i].reads = true;
		start(&r->e[i]);
	}
	return r;
}

static void
mrig_destroy(struct mrig *r)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		mh_kern_destroy(r->e[i].k);
	for (guint i = 0; i < r->members->len; i++) {
		struct mh_member *m = g_ptr_array_index(r->members, i);

		g_free(m->node);
		g_free(m->addr);
		g_free(m);
	}
	g_ptr_array_free(r->members, TRUE);
	g_free(r);
}

static const char *
home_of(struct ment *e)
{
	return mh_mesh_home(e->m, "stage-work");
}

/* The home that all live entries name, or NULL when they differ. */
static struct ment *
agreed(struct mrig *r)
{
	const char *home = NULL;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		const char *h;

		if (r->e[i].down || r->e[i].cut)
			continue;
		h = home_of(&r->e[i]);
		if (home != NULL && strcmp(home, h) != 0)
			return NULL;
		home = h;
	}
	return home == NULL ? NULL : by_node(r, home);
}

static void
test_one_home(void)
{
	struct mrig *r = mrig_create();

	run(r, 2 * S);
	CU_ASSERT_PTR_NOT_NULL_FATAL(agreed(r));
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

	run(r, 2 * S);
	home = agreed(r);
	home->cut = true;
	run(r, 1200 * MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(agreed(r), home);
	home->cut = false;
	run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(agreed(r), home);
	mrig_destroy(r);
}

/* A leaving or unready entry is nobody's home. */
static void
test_leaving_home(void)
{
	struct mrig *r = mrig_create();
	struct ment *home;

	run(r, 2 * S);
	home = agreed(r);
	mh_mesh_leave(home->m);
	run(r, 100 * MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(agreed(r), home);
	home = agreed(r);
	home->ready = false;
	run(r, 400 * MS);
	CU_ASSERT_PTR_NOT_EQUAL(home_of(&r->e[home->index == 0]), home->node);
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

	run(r, 2 * S);
	for (int gone = 0; gone < 5; gone++) {
		agreed(r)->down = true;
		run(r, 2 * S);
		CU_ASSERT_PTR_NOT_NULL_FATAL(agreed(r));
	}
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (!r->e[i].down && &r->e[i] != agreed(r))
			fresh = &r->e[i];
	}
	fresh->down = true;
	run(r, 2 * S);
	mh_kern_destroy(fresh->k);
	fresh->down = false;
	start(fresh);
	run(r, 4 * S);
	CU_ASSERT_PTR_NOT_NULL(agreed(r));
	CU_ASSERT_PTR_NOT_EQUAL(agreed(r), fresh);
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

	run(r, 10 * S);
	home = agreed(r);
	home->down = true;
	run(r, 2 * S);
	next = agreed(r);
	mh_kern_destroy(home->k);
	home->down = false;
	start(home);
	run(r, 3 * S);
	CU_ASSERT_PTR_EQUAL(agreed(r), next);
	run(r, 7 * S);
	CU_ASSERT_PTR_EQUAL(agreed(r), home);
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

	run(r, 2 * S);
	r->e[2].conf = 5;
	run(r, 1 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].conf, 5);
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
	run(r, 2 * S);
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

	run(r, 2 * S);
	r->e[2].lose_views = ENTRIES - 1;
	r->e[2].conf = 5;
	run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(r->e[i].conf, 5);
	mrig_destroy(r);
}

/* Sends an ask for the configuration, or for rows, to an entry. */
static void
ask_view(struct ment *e, struct ment *to, bool conf)
{
	struct link *l = mh_kern_get(e->k, "link");
	uint64_t id = e->index * 10 + to->index;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__ViewAsk ask = MH__VIEW_ASK__INIT;
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_SEND);

	ask.conf = conf;
	ask.rows = !conf;
	f.body_case = MH__FRAME__BODY_VIEW_ASK;
	f.view_ask = &ask;
	if (g_hash_table_lookup(l->back, &id) == NULL)
		id = mirror(to->index * 10 + e->index);
	m->u.link.conn = theirs(l, id);
	m->u.link.frame = mh_frame_pack(&f);
	mh_post(e->k, "link", m);
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

	run(r, 2 * S);
	before = r->e[1].taken_conf;
	for (int i = 0; i < 40; i++)
		ask_view(&r->e[1], &r->e[0], false);
	ask_view(&r->e[1], &r->e[0], true);
	run(r, 2 * MS);
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

	run(r, 2 * S);
	r->e[0].rows_len = 1 << 20;
	for (int i = 0; i < 8; i++)
		ask_view(&r->e[1], &r->e[0], false);
	run(r, 2 * MS);
	CU_ASSERT_EQUAL(r->e[1].taken_rows, 1 << 20);
	r->e[0].rows_len = 4 << 10; /* changes: as many as before */
	r->e[1].taken_rows = 0;
	run(r, 300 * MS);
	for (int i = 0; i < 8; i++)
		ask_view(&r->e[1], &r->e[0], false);
	run(r, 2 * MS);
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

	run(r, 2 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_mesh_reads(r->e[i].m);
	CU_ASSERT_EQUAL(n, 2);
	for (uint32_t i = 0; i < ENTRIES; i++)
		r->e[i].reads = !mh_mesh_reads(r->e[i].m);
	run(r, 1 * S);
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
			struct mh_listing l = { ids[n], "pool", "a:1", "d", 1,
				false, 0 };

			mh_fleet_list(f[i], &l);
		}
		mh_fleet_end(f[i]);
		s[i] = mh_suspects_create(r->e[i].k, r->e[i].m, f[i]);
	}
	run(r, 2 * S);
	mh_suspects_report(s[0], "n1");
	run(r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++)
		out += !mh_node_usable(f[i], mh_fleet_find(f[i], "n1"));
	CU_ASSERT_EQUAL(out, 0);
	mh_suspects_report(s[1], "n1");
	run(r, 100 * MS);
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
struct jrig {
	struct mrig *r;
	struct world *w[ENTRIES];
	struct mh_cells *cs[ENTRIES];
	struct mh_broker *b[ENTRIES];
	uint32_t ended;
	enum mh_job_end end;
};

static void
on_job_end(void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct jrig *g = arg;

	(void)j;
	(void)retry_us;
	g->ended++;
	g->end = end;
}

struct bend {
	struct jrig *g;
	uint32_t i;
};

static void
op_run(void *arg, struct mh_batch *b)
{
	struct bend *e = arg;

	for (guint i = 0; i < b->items->len; i++)
		g_array_index(b->items, struct mh_batch_item, i).result =
		    g_strdup("10.9.9.9:1/result");
	if (!e->g->r->e[e->i].cut)
		mh_cell_batch_end(b->cell, b, MH_BATCH_DONE);
}

static void
op_end(void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct bend *e = arg;

	mh_broker_cell_end(e->g->b[e->i], j, end, retry_us);
}

static void
op_none(void *arg, const char *result)
{
	(void)arg;
	(void)result;
}

static void
test_job_moves(void)
{
	static const char *const pools[] = { "a", NULL };
	const uint32_t pieces[] = { 2 };
	struct jrig g = { .r = mrig_create() };
	struct bend ends[ENTRIES];
	struct ment *home, *asker;
	struct mh_job *j;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct mh_cell_ops ops = { op_run, NULL, op_end, op_none,
			&ends[i] };

		ends[i] = (struct bend) { &g, i };
		g.w[i] = world_create();
		world_pool(g.w[i], "a", 1, 8, 100 * MS, 10 * MS, 0);
		g.cs[i] = mh_cells_create(
		    g.r->e[i].k, g.w[i]->f, g.w[i]->budget, &ops);
		mh_cells_conf(g.cs[i], g.w[i]->conf);
		g.b[i] = mh_broker_create(g.r->e[i].k, g.r->e[i].m, g.cs[i]);
		mh_broker_on_end(g.b[i], on_job_end, &g);
	}
	run(g.r, 2 * S);
	home = agreed(g.r);
	asker = &g.r->e[home->index == 0];
	j = world_job(g.w[asker->index], pools, pieces, 5 * S, 9 * S);
	j->aim_us = mh_now(asker->k) + 5 * S;
	j->deadline_us = mh_now(asker->k) + 9 * S;
	home->cut = true; /* takes nothing, answers nothing */
	mh_broker_submit(g.b[asker->index], j);
	run(g.r, 400 * MS);
	CU_ASSERT_EQUAL(g.ended, 0);
	run(g.r, 1500 * MS);
	CU_ASSERT_EQUAL(g.ended, 1);
	CU_ASSERT_EQUAL(g.end, MH_JOB_DONE);
	mh_broker_drop(g.b[asker->index], j);
	mh_job_destroy(j);
	run(g.r, 100 * MS);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		mh_broker_destroy(g.b[i]);
		mh_cells_destroy(g.cs[i]);
		world_destroy(g.w[i]);
	}
	mrig_destroy(g.r);
}

const struct test tests_mesh[] = {
	{ "mesh: one home", test_one_home },
	{ "mesh: a silent home", test_silent_home },
	{ "mesh: a leaving home", test_leaving_home },
	{ "mesh: the first of the order gone", test_first_of_the_order_gone },
	{ "mesh: settled entries first", test_settled_first },
	{ "mesh: configuration from peers", test_conf_from_peers },
	{ "mesh: asks again", test_asks_again },
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
