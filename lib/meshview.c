/**
 * DOC: Exchange of what entries have read from the platform.
 *
 * Heartbeats announce revisions; an entry with an older one requests the later.
 */

#include "meshint.h"

/*
 * Limit of the view bytes that one entry sends between two heartbeats. All
 * entries linked to a reader send requests at once, and the answers would fill
 * its link and delay every frame queued behind them. Entries that get no answer
 * retry at a later heartbeat. Rows and the rest are counted apart: while many
 * endpoints register, every entry requests rows all the time.
 */
#define HEARTBEAT_BYTES (256 * 1024)
#define RETRY_US (400 * MH_US_PER_MS)
/*
 * Each kind of data is requested from one peer at a time: all peers that have
 * it would answer, and the copies would fill the link of 10 Mbit/s that client
 * requests arrive by.
 */
#define ANSWER_WAIT_US (150 * MH_US_PER_MS)
/* An answer that is arriving is awaited for this long at most. */
#define ARRIVING_US (3 * MH_US_PER_S)

struct mh_rev
mh_mesh_evacuated_rev(const struct mh_mesh *m)
{
	const struct mh_rev none = { 0 };

	return m->view.evacuated_rev == NULL
	    ? none
	    : m->view.evacuated_rev(m->view.arg);
}

/*
 * The configuration is stale from the first announcement of a later one on,
 * however often it changes after that.
 */
static void
note_conf_version(struct mh_mesh *m, uint64_t version)
{
	if (version <= m->latest_conf)
		return;
	m->latest_conf = version;
	m->latest_conf_us = mh_now(m->k);
	if (mh_mesh_conf_stale(m) && m->conf_stale_from_us == 0)
		m->conf_stale_from_us = m->latest_conf_us;
}

bool
mh_mesh_conf_stale(const struct mh_mesh *m)
{
	return m->view.conf_version != NULL &&
	    m->latest_conf > m->view.conf_version(m->view.arg);
}

bool
mh_mesh_conf_available(const struct mh_mesh *m)
{
	GHashTableIter it;
	gpointer value;

	if (!mh_mesh_conf_stale(m))
		return false;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (mh_peer_is_alive(p) &&
		    p->conf_version > m->view.conf_version(m->view.arg))
			return true;
	}
	return false;
}

int64_t
mh_mesh_conf_stale_us(const struct mh_mesh *m)
{
	if (!mh_mesh_conf_stale(m))
		return 0;
	/* At least 1, since 0 would mean that it is current. */
	return MAX(mh_now(m->k) - MAX(m->conf_stale_from_us, m->resumed_us), 1);
}

void
mh_mesh_conf_changed(struct mh_mesh *m)
{
	m->conf_stale_from_us = mh_mesh_conf_stale(m) ? m->latest_conf_us : 0;
	if (!m->draining)
		mh_mesh_heartbeat(m);
}

/* A list with a later revision and the same hash isn't requested. */
static bool
wants_entries(const struct mh_mesh *m, const Mh__Beat *b)
{
	const struct mh_rev theirs = { b->entries_era, b->entries_revision };

	return m->view.entries_rev != NULL &&
	    mh_rev_cmp(theirs, m->view.entries_rev(m->view.arg)) > 0 &&
	    b->entries_hash != m->view.entries_hash(m->view.arg) &&
	    mh_now(m->k) >= m->entries_request_us + ANSWER_WAIT_US;
}

static struct mh_rev
announced_rows(const Mh__Beat *b)
{
	return (struct mh_rev) { b->rows_era, b->rows_revision };
}

static struct mh_rev
announced_evacuated(const Mh__Beat *b)
{
	return (struct mh_rev) { b->evacuated_era, b->evacuated_revision };
}

/*
 * Only the text tells the version of what an entry of an earlier version of
 * this program has: it is requested once for each revision.
 */
static bool
wants_conf(const struct mh_mesh *m, const struct peer *p, const Mh__Beat *b)
{
	if (b->conf_version != 0 || m->view.conf_rev == NULL)
		return b->conf_version > m->view.conf_version(m->view.arg);
	return b->conf_revision != p->asked_revision &&
	    b->conf_revision > m->view.conf_rev(m->view.arg).revision;
}

/* It holds what we, who started since, can't know. */
static bool
wants_held(const struct mh_mesh *m, const Mh__Beat *b)
{
	return m->view.known_era != NULL &&
	    b->held_era > m->view.known_era(m->view.arg);
}

/*
 * A peer with the revisions that we have says how long ago the store confirmed
 * them.  It may have said so a while ago; counted from the earliest moment at
 * which it can have, entries that confirm each other grow no younger.
 */
static void
note_confirmed(struct mh_mesh *m, const struct peer *p, const Mh__Beat *b)
{
	int64_t late_us = mh_peer_late_us(p);

	if (late_us == INT64_MAX)
		return;
	if (mh_rev_cmp(announced_rows(b), m->view.rows_rev(m->view.arg)) == 0)
		m->view.rows_unchanged(
		    m->view.arg, (int64_t)b->rows_age_us + late_us);
	if (b->conf_age_us != 0 && m->view.conf_unchanged != NULL &&
	    b->conf_version == m->view.conf_version(m->view.arg) &&
	    mh_rev_cmp(announced_evacuated(b), mh_mesh_evacuated_rev(m)) <= 0)
		m->view.conf_unchanged(
		    m->view.arg, (int64_t)(b->conf_age_us - 1) + late_us);
}

/*
 * An entry whose requests the store refuses still receives a new configuration
 * and the draining of endpoints, from the entries that have read them.
 */
void
mh_mesh_compare_views(struct mh_mesh *m, struct peer *p, const Mh__Beat *b)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__ViewAsk req = MH__VIEW_ASK__INIT;
	int64_t now = mh_now(m->k);
	struct mh_rev base;
	bool held;

	if (m->view.conf_version == NULL)
		return;
	note_conf_version(m, b->conf_version);
	note_confirmed(m, p, b);
	if (now - p->last_request_us < RETRY_US && p->last_request_us != 0)
		return;
	held = wants_held(m, b);
	req.conf =
	    wants_conf(m, p, b) && now >= m->conf_request_us + ANSWER_WAIT_US;
	req.rows = (held ||
		       (mh_rev_cmp(announced_rows(b),
			    m->view.rows_rev(m->view.arg)) > 0 &&
			   m->view.rows_due(m->view.arg))) &&
	    now >= m->rows_request_us + ANSWER_WAIT_US;
	req.evacuated = held ||
	    mh_rev_cmp(announced_evacuated(b), mh_mesh_evacuated_rev(m)) > 0;
	req.entries = wants_entries(m, b);
	if (!req.conf && !req.rows && !req.evacuated && !req.entries)
		return;
	p->last_request_us = p->request_sent_us = now;
	p->requested = (req.conf ? REQUESTED_CONF : 0) |
	    (req.rows ? REQUESTED_ROWS : 0) |
	    (req.entries ? REQUESTED_ENTRIES : 0);
	if (req.entries)
		m->entries_request_us = now;
	if (req.conf) {
		m->conf_request_us = now;
		req.conf_since_version = m->view.conf_version(m->view.arg);
		p->asked_revision = b->conf_revision;
		mh_event(m->k, "conf-asked",
		    "node=%s version=%" PRIu64 " have=%" PRIu64
		    " behind_ms=%" PRId64,
		    p->node, b->conf_version, req.conf_since_version,
		    mh_ms(mh_mesh_conf_stale_us(m)));
	}
	if (req.rows) {
		m->rows_request_us = now;
		base = m->view.rows_base(m->view.arg);
		req.rows_since = base.revision;
		req.rows_since_era = base.era;
	}
	req.packed = true;
	f.body_case = MH__FRAME__BODY_VIEW_ASK;
	f.view_ask = &req;
	mh_peer_send(p, &f);
}

/*
 * The part of a request that is answered now; the requester retries the rest.
 */
static Mh__ViewAsk
limit_request(struct mh_mesh *m, const Mh__ViewAsk *req)
{
	Mh__ViewAsk some = *req;
	bool full = m->sent_view_bytes >= HEARTBEAT_BYTES;

	some.conf = req->conf && !full;
	some.entries = req->entries && !full;
	some.rows = req->rows && m->sent_rows_bytes < HEARTBEAT_BYTES;
	if (some.conf != req->conf || some.rows != req->rows ||
	    some.entries != req->entries)
		mh_count(m->k, "views_put_off", 1);
	return some;
}

static void
set_wire_bytes(ProtobufCBinaryData *to, GBytes *from)
{
	if (from != NULL)
		to->data =
		    (uint8_t *)(uintptr_t)g_bytes_get_data(from, &to->len);
}

static size_t
set_wire_names(char ***to, const char *const *from)
{
	*to = (char **)(uintptr_t)from;
	return from == NULL ? 0 : g_strv_length(*to);
}

static void
set_wire_revs(const struct mh_mesh *m, Mh__View *v)
{
	struct mh_rev r = m->view.rows_rev(m->view.arg);

	v->rows_revision = r.revision;
	v->rows_era = r.era;
	v->conf_version = m->view.conf_version(m->view.arg);
	if (m->view.conf_rev == NULL)
		return;
	r = m->view.conf_rev(m->view.arg);
	v->conf_revision = r.revision;
	v->conf_era = r.era;
}

static void
clear_reply(struct mh_view_reply *s)
{
	mh_bytes_clear(&s->conf);
	mh_bytes_clear(&s->rows);
	mh_bytes_clear(&s->entries);
}

void
mh_mesh_answer_view(struct mh_mesh *m, struct peer *p, const Mh__ViewAsk *req)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__View v = MH__VIEW__INIT;
	Mh__ViewAsk some;
	struct mh_view_reply s = { 0 };

	if (m->view.fill == NULL)
		return;
	some = limit_request(m, req);
	if (!some.conf && !some.rows && !some.evacuated && !some.entries)
		return;
	m->view.fill(m->view.arg, &some, &s);
	set_wire_revs(m, &v);
	set_wire_bytes(&v.conf, s.conf);
	set_wire_bytes(&v.rows, s.rows);
	set_wire_bytes(&v.entries, s.entries);
	v.packed = s.packed;
	v.conf_base_version = s.conf_base;
	if (s.entries != NULL) {
		struct mh_rev r = m->view.entries_rev(m->view.arg);

		v.entries_revision = r.revision;
		v.entries_era = r.era;
	}
	m->sent_view_bytes += v.conf.len + v.entries.len;
	m->sent_rows_bytes += v.rows.len;
	if (s.evacuated != NULL) {
		struct mh_rev r = mh_mesh_evacuated_rev(m);

		v.evacuated_revision = r.revision;
		v.evacuated_era = r.era;
		v.n_evacuated = set_wire_names(&v.evacuated, s.evacuated);
		v.n_held = set_wire_names(&v.held, s.held);
		v.n_returned = set_wire_names(&v.returned, s.returned);
	}
	f.body_case = MH__FRAME__BODY_VIEW;
	f.view = &v;
	mh_peer_send(p, &f);
	clear_reply(&s);
}

void
mh_mesh_take_view(struct mh_mesh *m, struct peer *p, const Mh__View *v)
{
	p->last_request_us = 0;
	p->requested = 0;
	if (v->conf.len > 0) {
		m->conf_request_us = 0;
		mh_event(m->k, "conf-told",
		    "node=%s version=%" PRIu64 " era=%" PRIu64 " base=%" PRIu64
		    " bytes=%zu behind_ms=%" PRId64,
		    p->node, v->conf_version, v->conf_era, v->conf_base_version,
		    v->conf.len, mh_ms(mh_mesh_conf_stale_us(m)));
	}
	if (v->rows.len > 0)
		m->rows_request_us = 0;
	if (v->entries.len > 0)
		m->entries_request_us = 0;
	if (m->view.take != NULL)
		m->view.take(m->view.arg, v);
}

/* While an answer is arriving, a second one would only slow it down. */
void
mh_mesh_view_arriving(struct mh_mesh *m, struct peer *p)
{
	int64_t now = mh_now(m->k);

	if (p->requested == 0 || now - p->request_sent_us >= ARRIVING_US)
		return;
	p->last_request_us = now;
	if (p->requested & REQUESTED_CONF)
		m->conf_request_us = now;
	if (p->requested & REQUESTED_ROWS)
		m->rows_request_us = now;
	if (p->requested & REQUESTED_ENTRIES)
		m->entries_request_us = now;
}

void
mh_mesh_reset_sent_bytes(struct mh_mesh *m)
{
	m->sent_view_bytes = 0;
	m->sent_rows_bytes = 0;
}
