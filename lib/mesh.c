/**
 * DOC: Mesh of entries: frames, heartbeats and members.
 *
 * The platform's list of entries may be out of date; heartbeats on each link
 * show which entries are alive (meshlink.c). The order of entries for a piece
 * of work comes from weighted rendezvous hashing, so that all entries compute
 * the same coordinator without a message, and each entry dials only the first
 * few of that order. While two entries disagree for a moment, batches are
 * smaller; results stay correct.
 */

#include "meshint.h"

#include <string.h>

/*
 * After a power loss all processes restart within some tenths of a second, and
 * requests arrive at once. Until a process has received heartbeats of the
 * others it takes itself for the coordinator: twenty such processes called the
 * same endpoints, which refused most calls. So a process that has just started
 * sends heartbeats and dials more often.
 */
#define STARTUP_US (1500 * MH_US_PER_MS)
#define STARTUP_HEARTBEAT_US (50 * MH_US_PER_MS)
/* If our own timer fires so late, this process was paused. */
#define PAUSE_US (600 * MH_US_PER_MS)
static void on_timer(void *arg);

static void
free_peer(void *arg)
{
	struct peer *p = arg;

	mh_peer_forget(p);
	g_free(p->node);
	g_free(p->addr);
	g_free(p);
}

/* callbacks */

void
mh_mesh_on(
    struct mh_mesh *m, Mh__Frame__BodyCase kind, mh_mesh_fn fn, void *arg)
{
	m->handlers[kind].fn = fn;
	m->handlers[kind].arg = arg;
}

void
mh_mesh_on_lost(
    struct mh_mesh *m, void (*fn)(void *arg, const char *node), void *arg)
{
	m->on_lost = fn;
	m->on_lost_arg = arg;
}

void
mh_mesh_on_up(
    struct mh_mesh *m, void (*fn)(void *arg, const char *node), void *arg)
{
	g_assert(m->n_on_up < MAX_UP_HANDLERS);
	m->on_up[m->n_on_up++] = (struct up_handler) { fn, arg };
}

bool
mh_mesh_is_relay(struct mh_mesh *m)
{
	uint32_t linked = 0, known = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		linked += mh_peer_link(value) != 0;
		known += mh_peer_is_member(value);
	}
	return linked * 2 >= known;
}

void
mh_mesh_set_view(struct mh_mesh *m, const struct mh_mesh_view *v)
{
	m->view = *v;
}

bool
mh_mesh_is_starting(const struct mh_mesh *m)
{
	return mh_now(m->k) - mh_mesh_start_us(m) < STARTUP_US;
}

int64_t
mh_mesh_start_us(const struct mh_mesh *m)
{
	return MAX(m->started_us, m->resumed_us);
}

/*
 * Resets the dial state of all peers after a pause and runs the timer at once.
 */
static void
handle_resume(struct mh_mesh *m, int64_t pause_us)
{
	GHashTableIter it;
	gpointer key, value;

	mh_event(m->k, "woke", "away_ms=%" PRId64, mh_ms(pause_us));
	mh_count(m->k, "mesh_wakes", 1);
	m->resumed_us = mh_now(m->k);
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;

		p->unreachable = false;
		p->first_dial_us = 0;
		p->dial_timeouts = 0;
		p->next_dial_us = 0;
		mh_peer_resumed(p);
	}
	mh_timer_set(m->k, &m->timer, 0, on_timer, m);
}

/*
 * A VM that resumes after a freeze has links that the others have closed, and
 * all requests that its clients sent meanwhile. Twenty such entries took the
 * others for lost, so each was its own coordinator of stage work: of 1,800
 * calls in a second, 1,300 found their endpoint full. If our own timer fires
 * late, this process was the one that paused: the others get time to send
 * heartbeats, as after a start.
 */
void
mh_mesh_check_pause(struct mh_mesh *m)
{
	int64_t now = mh_now(m->k), late_us = now - m->last_timer_us;

	if (late_us <= PAUSE_US)
		return;
	m->last_timer_us = now;
	handle_resume(m, late_us);
}

static void
fill_heartbeat(struct mh_mesh *m, Mh__Beat *b)
{
	int64_t oldest = mh_mesh_oldest_start_us(m);
	struct mh_rev r;

	b->leaving = m->draining;
	b->uptime_us = (uint64_t)(mh_now(m->k) - m->started_us);
	b->weight = mh_weight_units(m->weight);
	if (oldest != INT64_MAX)
		b->oldest_us = (uint64_t)(mh_now(m->k) - oldest);
	if (m->view.ready == NULL)
		return;
	b->ready = m->view.ready(m->view.arg);
	b->reads = m->view.can_read(m->view.arg);
	b->conf_version = m->view.conf_version(m->view.arg);
	if (m->view.conf_rev != NULL)
		b->conf_revision = m->view.conf_rev(m->view.arg).revision;
	r = m->view.rows_rev(m->view.arg);
	b->rows_revision = r.revision;
	b->rows_era = r.era;
	b->rows_age_us = (uint64_t)m->view.rows_age_us(m->view.arg);
	r = mh_mesh_evacuated_rev(m);
	b->evacuated_revision = r.revision;
	b->evacuated_era = r.era;
	if (m->view.held_era != NULL)
		b->held_era = m->view.held_era(m->view.arg);
	if (m->view.conf_age_us != NULL)
		b->conf_age_us = (uint64_t)m->view.conf_age_us(m->view.arg) + 1;
	if (m->view.entries_rev == NULL)
		return;
	r = m->view.entries_rev(m->view.arg);
	b->entries_revision = r.revision;
	b->entries_era = r.era;
	b->entries_hash = m->view.entries_hash(m->view.arg);
}

/* Each connection has a heartbeat of its own, which says what came on it. */
static void
send_heartbeat(Mh__Beat *b, const struct peer *p, struct peer_conn *c)
{
	Mh__Frame f = MH__FRAME__INIT;

	if (c->id == 0)
		return;
	b->losses = p->times_lost;
	b->received = c->received + 1;
	b->frames = c->frames_in;
	c->sent[c->n_sent++ % HEARTBEATS_TIMED] =
	    (struct sent_heartbeat) { .frame = c->frames_out + 1,
		    .at_us = mh_now(p->m->k) };
	f.body_case = MH__FRAME__BODY_BEAT;
	f.beat = b;
	mh_conn_send(p->m, c, &f);
}

void
mh_peer_heartbeat(const struct peer *p, struct peer_conn *c)
{
	Mh__Beat b = MH__BEAT__INIT;

	fill_heartbeat(p->m, &b);
	send_heartbeat(&b, p, c);
}

void
mh_mesh_heartbeat(struct mh_mesh *m)
{
	Mh__Beat b = MH__BEAT__INIT;
	GHashTableIter it;
	gpointer value;

	fill_heartbeat(m, &b);
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct peer *p = value;

		send_heartbeat(&b, p, &p->out);
		send_heartbeat(&b, p, &p->in);
	}
}

static void
take_heartbeat(
    struct mh_mesh *m, struct peer *p, struct peer_conn *c, const Mh__Beat *b)
{
	bool starts_drain = b->leaving && !p->draining;
	int64_t oldest = starts_drain ? mh_mesh_oldest_start_us(m) : 0;

	mh_peer_note_heartbeat(p, c, b);
	/* It came over the slower of two connections. */
	if (b->uptime_us < p->uptime_us)
		return;
	p->uptime_us = b->uptime_us;
	p->heartbeat_us = b->received == 0 ? mh_now(m->k) : c->reported_us;
	p->ready = b->ready;
	p->can_read = b->reads;
	p->conf_version = b->conf_version;
	if (b->weight > 0)
		p->weight = b->weight / WEIGHT_UNIT;
	p->started_us = mh_now(m->k) - (int64_t)b->uptime_us;
	p->oldest_start_us = b->oldest_us == 0
	    ? INT64_MAX
	    : mh_now(m->k) - (int64_t)b->oldest_us;
	if (starts_drain)
		mh_event(m->k, "peer-leaving", "node=%s", p->node);
	p->draining = b->leaving;
	/*
	 * Other entries may have its start time only from our heartbeat, and
	 * would go on skipping all entries that have run for less time.
	 */
	if (starts_drain && oldest != mh_mesh_oldest_start_us(m))
		mh_mesh_heartbeat(m);
	mh_mesh_compare_views(m, p, b);
}

static void
take_frame(struct mh_mesh *m, const struct mh_link_msg *l)
{
	struct peer *p = g_hash_table_lookup(m->conns, &l->conn);
	Mh__Frame *f = mh_frame_unpack(l->frame);
	struct peer_conn *c;

	mh_count(m->k, "link_frames_in", 1);
	mh_count(m->k, "link_bytes_in", g_bytes_get_size(l->frame) + 4);
	if (f == NULL || p == NULL || (unsigned)f->body_case >= MAX_CASES) {
		mh_event(m->k, "link-malformed", "conn=%" PRIu64, l->conn);
		mh_link_close(m->k, l->conn);
		goto done;
	}
	c = mh_peer_note_received(p, l->conn);
	c->frames_in++;
	if (f->number != 0 && mh_peer_is_repeated(p, f->number)) {
		mh_count(m->k, "link_frames_repeated", 1);
		goto done;
	}
	switch (f->body_case) {
	case MH__FRAME__BODY_BEAT:
		take_heartbeat(m, p, c, f->beat);
		break;
	case MH__FRAME__BODY_KNOWN:
		mh_mesh_take_known(m, f->known);
		break;
	case MH__FRAME__BODY_VIEW_ASK:
		mh_mesh_answer_view(m, p, f->view_ask);
		break;
	case MH__FRAME__BODY_VIEW:
		mh_mesh_take_view(m, p, f->view);
		break;
	default:
		if (m->handlers[f->body_case].fn != NULL)
			m->handlers[f->body_case].fn(
			    m->handlers[f->body_case].arg, p->node, f);
		break;
	}
done:
	mh_frame_free(f);
}

/*
 * Part of a frame has arrived. Its sender is alive, though its heartbeats are
 * queued behind that frame.
 */
static void
take_partial_frame(struct mh_mesh *m, uint64_t conn)
{
	struct peer *p = g_hash_table_lookup(m->conns, &conn);

	if (p == NULL)
		return;
	mh_peer_note_part(p, conn);
	mh_mesh_view_arriving(m, p);
}

struct peer *
mh_peer_of(struct mh_mesh *m, const char *node)
{
	struct peer *p = g_hash_table_lookup(m->peers, node);

	if (p == NULL) {
		p = g_new0(struct peer, 1);
		p->m = m;
		p->node = g_strdup(node);
		/* The peer may know higher ones of one that was removed. */
		p->sent_number = p->times_lost = (uint64_t)mh_now(m->k);
		g_hash_table_insert(m->peers, p->node, p);
	}
	return p;
}

static void
on_timer(void *arg)
{
	struct mh_mesh *m = arg;
	/*
	 * The secret of the links may be read after the list of entries. A dial
	 * without a link service never fails, so the entry would stay without
	 * links for good.
	 */
	bool can_dial = mh_kern_get(m->k, "link") != NULL;
	GHashTableIter it;
	gpointer key, value;

	mh_mesh_check_pause(m);
	m->last_timer_us = mh_now(m->k);
	mh_mesh_select_links(m);
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct peer *p = value;

		mh_peer_check_links(p);
		mh_peer_log_flaps(p);
		if (mh_peer_link(p) == 0 && p->dial_conn == 0 &&
		    !mh_peer_is_member(p)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		if (can_dial)
			mh_peer_dial(p);
	}
	mh_mesh_reset_sent_bytes(m);
	mh_mesh_heartbeat(m);
	mh_timer_set(m->k, &m->timer,
	    mh_mesh_is_starting(m) ? STARTUP_HEARTBEAT_US : HEARTBEAT_US,
	    on_timer, m);
}

void
mh_mesh_add_members(struct mh_mesh *m, const GPtrArray *members)
{
	for (guint i = 0; i < members->len; i++) {
		const struct mh_member *e = g_ptr_array_index(members, i);
		struct peer *p;

		if (strcmp(e->node, m->node) == 0)
			continue;
		p = mh_peer_of(m, e->node);
		p->listed = true;
		p->weight = mh_weight_units(e->weight) / WEIGHT_UNIT;
		g_free(p->addr);
		p->addr = g_strdup(e->addr);
	}
}

void
mh_mesh_set_members(struct mh_mesh *m, const GPtrArray *members)
{
	GHashTableIter it;
	gpointer key, value;

	m->have_list = true;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, &key, &value))
		((struct peer *)value)->listed = false;
	mh_mesh_add_members(m, members);
}

bool
mh_mesh_is_alive(const struct mh_mesh *m, const char *node)
{
	GHashTableIter it;
	gpointer value;

	if (node != NULL) {
		const struct peer *p = g_hash_table_lookup(m->peers, node);

		return strcmp(node, m->node) == 0 ||
		    (p != NULL && mh_peer_is_alive(p));
	}
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (mh_peer_is_alive(value))
			return true;
	}
	return false;
}

void
mh_mesh_drain(struct mh_mesh *m)
{
	m->draining = true;
	mh_mesh_heartbeat(m);
}

static void
handle(void *self, struct mh_msg *msg)
{
	struct mh_mesh *m = self;

	switch (msg->kind) {
	case MH_MSG_FRAME:
		take_frame(m, &msg->u.link);
		break;
	case MH_MSG_LINK_RX_PROGRESS:
		take_partial_frame(m, msg->u.link.conn);
		break;
	case MH_MSG_LINK_UP:
		mh_mesh_link_up(m, &msg->u.link);
		break;
	case MH_MSG_LINK_DOWN:
		mh_mesh_link_down(m, msg->u.link.conn);
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
	m->weight = mh_weight_units(weight) / WEIGHT_UNIT;
	m->started_us = m->last_timer_us = mh_now(k);
	m->slices = 1;
	m->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	m->conns =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	mh_kern_add(k, "hub", m, handle, destroy);
	mh_timer_set(k, &m->timer, STARTUP_HEARTBEAT_US, on_timer, m);
	return m;
}
