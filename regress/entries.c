/**
 * DOC: Many entries in one process and virtual time, linked by one queue.
 */

#include "entries.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

static struct ment *
find_ment(struct mrig *r, const char *node)
{
	return &r->e[node[1] - '0'];
}

/*
 * Connection ids name both entries, and are not used again: serial number * 100
 * + dialer * 10 + other, inbound + 1000000.
 */
static uint64_t
pair_id(const struct mrig *r, uint32_t dialer, uint32_t other)
{
	return r->opened[dialer][other] * 100 + dialer * 10 + other;
}

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
post_link(struct ment *e, enum mh_msg_kind kind, uint64_t conn,
    struct ment *peer, bool inbound, GBytes *frame)
{
	struct mh_msg *m = mh_msg_new(kind);

	m->u.link.conn = conn;
	m->u.link.inbound = inbound;
	m->u.link.incarnation = peer->incarnation;
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
	GHashTable *pair_ids; /* dial id of the mesh -> id of both entries */
	GHashTable *dial_ids;
};

static uint64_t
to_pair_id(struct link *l, uint64_t id)
{
	uint64_t *v = g_hash_table_lookup(l->pair_ids, &id);

	return v != NULL ? *v : id;
}

static uint64_t
to_dial_id(struct link *l, uint64_t id)
{
	uint64_t *v = g_hash_table_lookup(l->dial_ids, &id);

	return v != NULL ? *v : id;
}

/** struct flight - a frame that has not arrived completely. */
struct flight {
	struct ment *from;
	struct ment *to;
	uint64_t conn; /* the receiver's */
	GBytes *frame;
	int64_t first_us; /* arrival of its first byte */
	int64_t at_us;
};

/* Drops the frames in flight with the connection. */
static void
drop_in_flight(struct ment *to, uint64_t conn)
{
	GPtrArray *all = to->r->in_flight;

	for (guint i = 0; i < all->len;) {
		const struct flight *w = g_ptr_array_index(all, i);

		if (w->to == to && w->conn == conn)
			g_ptr_array_remove_index(all, i);
		else
			i++;
	}
}

/* Drops the frames in flight to a process that has ended. */
static void
drop_all_in_flight(const struct ment *to)
{
	GPtrArray *all = to->r->in_flight;

	for (guint i = 0; i < all->len;) {
		const struct flight *w = g_ptr_array_index(all, i);

		if (w->to == to)
			g_ptr_array_remove_index(all, i);
		else
			i++;
	}
}

/** struct opening - a dial that is not connected yet. */
struct opening {
	struct link *l;
	struct ment *to;
	uint64_t dialled;
	int64_t at_us;
};

static void
open_link(struct link *l, struct ment *to, uint64_t dialled)
{
	struct ment *e = l->e;
	uint64_t id;

	e->r->opened[e->index][to->index]++;
	id = pair_id(e->r, e->index, to->index);
	g_hash_table_replace(l->pair_ids, g_memdup2(&dialled, sizeof(dialled)),
	    g_memdup2(&id, sizeof(id)));
	g_hash_table_replace(l->dial_ids, g_memdup2(&id, sizeof(id)),
	    g_memdup2(&dialled, sizeof(dialled)));
	e->links_opened++;
	e->r->lost[e->index][to->index] = LOSES_NOTHING;
	post_link(e, MH_MSG_LINK_UP, dialled, to, false, NULL);
	post_link(to, MH_MSG_LINK_UP, mirror(id), e, true, NULL);
}

static void
dial(struct link *l, const struct mh_link_msg *m)
{
	struct ment *e = l->e;
	struct ment *to = &e->r->e[m->addr[7] - '0'];
	struct opening o = { l, to, m->conn, e->r->now_us + to->connect_us };

	if (to->powered_off || to->frozen)
		return;
	if (to->down || e->cut || to->cut ||
	    mh_kern_get(to->k, "link") == NULL) {
		post_link(e, MH_MSG_LINK_DOWN, m->conn, to, false, NULL);
		return;
	}
	if (to->connect_us == 0)
		open_link(l, to, m->conn);
	else
		g_ptr_array_add(e->r->dials, g_memdup2(&o, sizeof(o)));
}

/* Cancels a dial; returns false if none is pending. */
static bool
cancel_dial(struct link *l, uint64_t dialled)
{
	GPtrArray *all = l->e->r->dials;

	for (guint i = 0; i < all->len; i++) {
		const struct opening *o = g_ptr_array_index(all, i);

		if (o->l == l && o->dialled == dialled) {
			g_ptr_array_remove_index(all, i);
			return true;
		}
	}
	return false;
}

/*
 * Whether @conn is a dial that never connected: its VM is powered off or
 * frozen.
 */
static bool
never_opened(const struct link *l, uint64_t conn)
{
	return conn < 1000000 && !g_hash_table_contains(l->pair_ids, &conn);
}

static void
open_due_links(struct mrig *r)
{
	for (guint i = 0; i < r->dials->len;) {
		struct opening *o = g_ptr_array_index(r->dials, i);

		if (o->at_us > r->now_us || o->to->frozen) {
			i++;
			continue;
		}
		open_link(o->l, o->to, o->dialled);
		g_ptr_array_remove_index(r->dials, i);
	}
}

/*
 * Counts empty results sent in the field of complete stages: a process of an
 * earlier version takes all of these for computed.
 */
static void
count_empty_results(struct mrig *r, const Mh__Frame *f)
{
	for (size_t s = 0;
	     f->body_case == MH__FRAME__BODY_JOB && s < f->job->n_stages; s++) {
		const Mh__JobStage *st = f->job->stages[s];

		for (size_t i = 0; i < st->n_results; i++)
			r->empty_results += *st->results[i] == '\0';
	}
}

static void
count_poison(struct mrig *r, GBytes *frame)
{
	Mh__Frame *f = mh_frame_unpack(frame);

	r->poison_frames += f->body_case == MH__FRAME__BODY_POISON;
	mh_frame_free(f);
}

static bool
is_lost(struct ment *e, GBytes *frame)
{
	Mh__Frame *f = mh_frame_unpack(frame);
	bool lost = e->lose_views > 0 && f->body_case == MH__FRAME__BODY_VIEW;

	count_empty_results(e->r, f);
	e->lose_views -= lost;
	mh_frame_free(f);
	return lost;
}

static void
free_flight(void *arg)
{
	struct flight *w = arg;

	g_bytes_unref(w->frame);
	g_free(w);
}

/* Returns when the last byte of a frame is sent. */
static int64_t
send_end_us(struct ment *from, const GBytes *frame)
{
	size_t len = g_bytes_get_size((GBytes *)(uintptr_t)frame);

	from->sent_bytes += len;
	if (from->link_bytes_per_s == 0)
		return from->r->now_us;
	from->link_busy_end_us = MAX(from->link_busy_end_us, from->r->now_us) +
	    (int64_t)(len * MH_US_PER_S / from->link_bytes_per_s);
	return from->link_busy_end_us;
}

static void
deliver(struct ment *from, struct ment *to, uint64_t conn, GBytes *frame)
{
	int64_t first_us = MAX(from->link_busy_end_us, from->r->now_us);
	struct flight w = { from, to, conn, frame, first_us + to->delay_us,
		send_end_us(from, frame) + to->delay_us };

	if (w.at_us == to->r->now_us) {
		post_link(to, MH_MSG_FRAME, conn, from, false, frame);
		return;
	}
	g_bytes_ref(frame);
	g_ptr_array_add(to->r->in_flight, g_memdup2(&w, sizeof(w)));
}

static void
deliver_due_frames(struct mrig *r)
{
	for (guint i = 0; i < r->in_flight->len;) {
		struct flight *w = g_ptr_array_index(r->in_flight, i);

		if (w->at_us > r->now_us) {
			if (w->first_us < r->now_us)
				post_link(w->to, MH_MSG_LINK_RX_PROGRESS,
				    w->conn, w->from, false, NULL);
			i++;
			continue;
		}
		post_link(
		    w->to, MH_MSG_FRAME, w->conn, w->from, false, w->frame);
		g_ptr_array_remove_index(r->in_flight, i);
	}
}

/* The dialer's index of a connection id. */
static uint32_t
dialer_of(uint64_t conn)
{
	return (uint32_t)(conn / 10 % 10);
}

/* Whether frames of @e over the connection are lost without a reset. */
static bool
loses(const struct ment *e, const struct ment *to, uint64_t conn)
{
	bool dialled = dialer_of(conn) == e->index;
	uint32_t a = dialled ? e->index : to->index;
	uint32_t b = dialled ? to->index : e->index;

	if (conn % 1000000 != pair_id(e->r, a, b))
		return true; /* a later one has replaced it */
	switch (e->r->lost[a][b]) {
	case LOSES_NOTHING:
		return e->r->silent_dials;
	case LOSES_BOTH:
		return true;
	case LOSES_TO_DIALER:
		return !dialled;
	case LOSES_FROM_DIALER:
		return dialled;
	}
	return false;
}

/* Whether @to opened the connection in an earlier process. */
static bool
is_forgotten(const struct link *to, uint64_t id)
{
	return id < 1000000 && !g_hash_table_contains(to->dial_ids, &id);
}

static void
link_handle(void *self, struct mh_msg *msg)
{
	struct link *l = self;
	struct ment *e = l->e, *to;
	const struct mh_link_msg *m = &msg->u.link;
	uint64_t id = to_pair_id(l, m->conn);
	struct link *tl;

	switch (msg->kind) {
	case MH_MSG_LINK_DIAL:
		dial(l, m);
		break;
	case MH_MSG_LINK_SEND:
		count_poison(e->r, m->frame);
		to = other_end(e, id);
		if (e->cut || to->cut || to->down || to->powered_off ||
		    loses(e, to, id) || is_lost(e, m->frame))
			break;
		tl = mh_kern_get(to->k, "link");
		if (tl == NULL)
			break;
		if (is_forgotten(tl, mirror(id))) {
			post_link(
			    e, MH_MSG_LINK_DOWN, m->conn, to, false, NULL);
			break;
		}
		deliver(e, to, to_dial_id(tl, mirror(id)), m->frame);
		break;
	case MH_MSG_LINK_CLOSE:
		if (cancel_dial(l, m->conn) || never_opened(l, m->conn))
			break;
		to = other_end(e, id);
		tl = mh_kern_get(to->k, "link");
		drop_in_flight(e, m->conn);
		if (tl != NULL)
			drop_in_flight(to, to_dial_id(tl, mirror(id)));
		if (tl != NULL && !is_forgotten(tl, mirror(id)) && !e->cut &&
		    !to->cut && !to->down && !to->powered_off &&
		    !loses(e, to, id))
			post_link(to, MH_MSG_LINK_DOWN,
			    to_dial_id(tl, mirror(id)), e, false, NULL);
		break;
	default:
		break;
	}
}

static void
link_free(void *self)
{
	struct link *l = self;

	g_hash_table_destroy(l->pair_ids);
	g_hash_table_destroy(l->dial_ids);
	g_free(l);
}

static uint64_t
v_conf(void *arg)
{
	const struct ment *e = arg;

	return e->no_version ? 0 : e->conf;
}

static struct mh_rev
v_conf_rev(void *arg)
{
	return (struct mh_rev) { 0, ((struct ment *)arg)->conf };
}

static struct mh_rev
v_rows(void *arg)
{
	const struct ment *e = arg;

	return (struct mh_rev) { e->rows_era, e->rows };
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
	return ((struct ment *)arg)->can_read;
}

static int64_t
v_age(void *arg)
{
	return ((struct ment *)arg)->can_read ? 0 : S;
}

static void
v_same(void *arg, int64_t age_us)
{
	struct ment *e = arg;

	e->rows_confirmed += age_us == 0;
}

static struct mh_rev
v_entries(void *arg)
{
	const struct ment *e = arg;

	return (struct mh_rev) { e->entries_era, e->entries };
}

static uint64_t
v_entries_hash(void *arg)
{
	return ((struct ment *)arg)->entries_hash;
}

static struct mh_rev
v_evacuated_rev(void *arg)
{
	const struct ment *e = arg;

	return (struct mh_rev) { e->evacuated_era, e->evacuated_revision };
}

/*
 * A version that changes, and routes as in an operator's configuration with
 * thousands of them.
 */
static GBytes *
conf_text(uint64_t revision, uint32_t len)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "{\"version\":%" PRIu64 "}", revision);
	for (uint32_t i = 0; s->len < len; i++)
		g_string_append_printf(s,
		    "{\"name\":\"r%u\",\"host\":\"h%u.example\","
		    "\"service\":\"pool\",\"timeoutMs\":6000}",
		    i * 7919, i * 104729);
	g_string_truncate(s, len);
	return g_string_free_to_bytes(s);
}

uint64_t
mrig_whole_len(const struct ment *e)
{
	GBytes *text = conf_text(e->conf, e->conf_len);
	GBytes *packed = mh_pack(text, NULL);
	uint64_t len = g_bytes_get_size(packed);

	g_bytes_unref(packed);
	g_bytes_unref(text);
	return len;
}

static void
fill_conf(
    const struct ment *e, const Mh__ViewAsk *req, struct mh_view_reply *out)
{
	GBytes *text, *base = NULL;

	if (e->conf_len == 0) {
		out->conf = g_bytes_new("conf", 4);
		return;
	}
	text = conf_text(e->conf, e->conf_len);
	out->packed = req->packed;
	out->conf_base = req->conf_since_version;
	if (req->conf_since_version != 0)
		base = conf_text(req->conf_since_version, e->conf_len);
	out->conf = req->packed ? mh_pack(text, base) : g_bytes_ref(text);
	mh_bytes_clear(&base);
	g_bytes_unref(text);
}

static void
take_conf(struct ment *e, const Mh__View *v)
{
	GBytes *base = NULL, *text;

	if (v->conf_base_version != 0)
		base = conf_text(v->conf_base_version, e->conf_len);
	text = v->packed
	    ? mh_unpack(v->conf.data, v->conf.len, MH_UNPACKED_MAX, base)
	    : g_bytes_new(v->conf.data, v->conf.len);
	if (g_bytes_get_size(text) == (e->conf_len == 0 ? 4 : e->conf_len)) {
		/* The text would tell its version. */
		e->conf = MAX(e->conf,
		    v->conf_version != 0 ? v->conf_version : v->conf_revision);
		e->received_confs++;
		mh_mesh_conf_changed(e->m);
	}
	mh_bytes_clear(&base);
	g_bytes_unref(text);
}

static void
v_fill(void *arg, const Mh__ViewAsk *req, struct mh_view_reply *out)
{
	struct ment *e = arg;
	static const char *domains[2];

	domains[0] = e->evacuated[0] == '\0' ? NULL : e->evacuated;
	if (req->evacuated)
		out->evacuated = domains;

	if (req->entries)
		out->entries =
		    g_bytes_new(&e->entries_hash, sizeof(e->entries_hash));
	if (req->conf)
		fill_conf(e, req, out);
	if (req->rows && e->rows_len > 0)
		out->rows =
		    g_bytes_new_take(g_malloc0(e->rows_len), e->rows_len);
}

static void
v_take(void *arg, const Mh__View *v)
{
	struct ment *e = arg;
	const struct mh_rev evacuated = { v->evacuated_era,
		v->evacuated_revision };

	if (mh_rev_cmp(evacuated, v_evacuated_rev(e)) > 0) {
		e->evacuated_era = v->evacuated_era;
		e->evacuated_revision = v->evacuated_revision;
		g_strlcpy(e->evacuated,
		    v->n_evacuated == 0 ? "" : v->evacuated[0],
		    sizeof(e->evacuated));
	}
	if (v->entries.len == sizeof(e->entries_hash)) {
		memcpy(
		    &e->entries_hash, v->entries.data, sizeof(e->entries_hash));
		e->entries = v->entries_revision;
		e->entries_era = v->entries_era;
		e->received_lists++;
	}
	e->received_row_bytes += (uint32_t)v->rows.len;
	if (v->rows.len > 0) {
		e->rows = v->rows_revision;
		e->rows_era = v->rows_era;
	}
	if (v->conf.len > 0)
		take_conf(e, v);
}

void
mrig_link(struct ment *e)
{
	struct link *l = g_new0(struct link, 1);

	l->e = e;
	l->pair_ids =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	l->dial_ids =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	mh_kern_add(e->k, "link", l, link_handle, link_free);
}

void
mrig_start(struct ment *e)
{
	const struct mh_mesh_view v = { .conf_version = v_conf,
		.conf_rev = v_conf_rev,
		.rows_rev = v_rows,
		.rows_due = v_due,
		.rows_base = v_rows,
		.rows_age_us = v_age,
		.rows_unchanged = v_same,
		.fill = v_fill,
		.take = v_take,
		.ready = v_ready,
		.can_read = v_reads,
		.evacuated_rev = v_evacuated_rev,
		.entries_rev = v_entries,
		.entries_hash = v_entries_hash,
		.arg = e };

	drop_all_in_flight(e);
	e->links_opened = 0;
	e->incarnation++;
	e->k = mh_kern_create(e->index + 1);
	mh_kern_advance(e->k, e->r->now_us, e->r->now_us);
	if (!e->no_links)
		mrig_link(e);
	e->m = mh_mesh_create(e->k, e->node, e->weight);
	mh_mesh_set_view(e->m, &v);
	mh_mesh_set_members(e->m, e->list != NULL ? e->list : e->r->members);
}

void
mrig_reset(struct ment *from, struct ment *to)
{
	struct link *l = mh_kern_get(from->k, "link");
	uint64_t id = pair_id(from->r, from->index, to->index);

	if (g_hash_table_lookup(l->dial_ids, &id) == NULL)
		return; /* it never dialled */
	post_link(from, MH_MSG_LINK_DOWN, to_dial_id(l, id), to, false, NULL);
	post_link(to, MH_MSG_LINK_DOWN, mirror(id), from, true, NULL);
}

void
mrig_lose(struct ment *from, struct ment *to, enum mrig_loss loss)
{
	from->r->lost[from->index][to->index] = loss;
}

void
mrig_run(struct mrig *r, int64_t us)
{
	for (int64_t t = 0; t < us; t += 10 * MS) {
		r->now_us += 10 * MS;
		open_due_links(r);
		deliver_due_frames(r);
		for (int pass = 0; pass < 4; pass++) {
			for (uint32_t i = 0; i < ENTRIES; i++) {
				if (!r->e[i].down && !r->e[i].powered_off &&
				    !r->e[i].frozen)
					mh_kern_advance(
					    r->e[i].k, r->now_us, r->now_us);
			}
		}
	}
}

struct mrig *
mrig_create(void)
{
	struct mrig *r = g_new0(struct mrig, 1);

	r->now_us = S;
	r->members = g_ptr_array_new();
	r->dials = g_ptr_array_new_with_free_func(g_free);
	r->in_flight = g_ptr_array_new_with_free_func(free_flight);
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
		r->e[i].weight = 1;
		r->e[i].index = i;
		r->e[i].ready = r->e[i].can_read = true;
		mrig_start(&r->e[i]);
	}
	return r;
}

void
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
	g_ptr_array_free(r->dials, TRUE);
	g_ptr_array_free(r->in_flight, TRUE);
	g_free(r);
}

const char *
mrig_coordinator(struct ment *e)
{
	return mh_mesh_coordinator(e->m, "stage-work");
}

struct ment *
mrig_agreed(struct mrig *r)
{
	const char *coordinator = NULL;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		const char *h;

		if (r->e[i].down || r->e[i].powered_off || r->e[i].cut ||
		    r->e[i].frozen)
			continue;
		h = mrig_coordinator(&r->e[i]);
		if (coordinator != NULL && strcmp(coordinator, h) != 0)
			return NULL;
		coordinator = h;
	}
	return coordinator == NULL ? NULL : find_ment(r, coordinator);
}

void
mrig_request_view(struct ment *e, struct ment *to, bool conf)
{
	struct link *l = mh_kern_get(e->k, "link");
	uint64_t id = pair_id(e->r, e->index, to->index);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__ViewAsk req = MH__VIEW_ASK__INIT;
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_SEND);

	req.conf = conf;
	req.rows = !conf;
	f.body_case = MH__FRAME__BODY_VIEW_ASK;
	f.view_ask = &req;
	if (g_hash_table_lookup(l->dial_ids, &id) == NULL)
		id = mirror(pair_id(e->r, to->index, e->index));
	m->u.link.conn = to_dial_id(l, id);
	m->u.link.frame = mh_frame_pack(&f);
	mh_post(e->k, "link", m);
}
