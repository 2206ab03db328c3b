/**
 * DOC: What entries have read, told among themselves.
 *
 * Beats tell revisions; who has an older one asks.
 */

#include "meshint.h"

/*
 * What one entry sends of its readings between two beats.  All who are linked
 * to a reader ask it at once, and their copies would fill its link, so that
 * what comes behind them is late everywhere.  Those that get none ask again at
 * a later beat.  Rows and the rest are counted apart: while many endpoints
 * register, everybody asks for rows all the time.
 */
#define BYTES_A_BEAT (256 * 1024)
#define ASK_AGAIN_US (400 * MH_US_PER_MS)
/*
 * One entry is asked for one kind of reading at a time: all that have it would
 * answer, and their copies fill the links of 10 Mbit/s that requests come by.
 */
#define ANSWER_WAIT_US (150 * MH_US_PER_MS)
/* An answer of which bytes come is waited for, so long at most. */
#define COMING_US (3 * MH_US_PER_S)

uint64_t
mh_mesh_evacuated_revision(const struct mh_mesh *m)
{
	return m->view.evacuated_revision == NULL
	    ? 0
	    : m->view.evacuated_revision(m->view.arg);
}

/* From the first word of a later one on, however often it changes again. */
static void
note_conf_heard(struct mh_mesh *m, uint64_t revision)
{
	if (revision <= m->conf_heard)
		return;
	m->conf_heard = revision;
	m->conf_heard_us = mh_now(m->k);
	if (mh_mesh_conf_behind(m) && m->conf_behind_us == 0)
		m->conf_behind_us = m->conf_heard_us;
}

bool
mh_mesh_conf_behind(const struct mh_mesh *m)
{
	return m->view.conf_revision != NULL &&
	    m->conf_heard > m->view.conf_revision(m->view.arg);
}

bool
mh_mesh_conf_offered(const struct mh_mesh *m)
{
	GHashTableIter it;
	gpointer value;

	if (!mh_mesh_conf_behind(m))
		return false;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (mh_peer_alive(p) &&
		    p->conf_revision > m->view.conf_revision(m->view.arg))
			return true;
	}
	return false;
}

int64_t
mh_mesh_conf_behind_us(const struct mh_mesh *m)
{
	if (!mh_mesh_conf_behind(m))
		return 0;
	/* It was heard of when it was; 0 would mean that none was. */
	return MAX(mh_now(m->k) - MAX(m->conf_behind_us, m->woke_us), 1);
}

void
mh_mesh_conf_changed(struct mh_mesh *m)
{
	m->conf_behind_us = mh_mesh_conf_behind(m) ? m->conf_heard_us : 0;
	if (!m->leaving)
		mh_mesh_beat(m, 0);
}

/* A later list that says the same is of no use. */
static bool
wants_entries(const struct mh_mesh *m, const Mh__Beat *b)
{
	return m->view.entries_revision != NULL &&
	    b->entries_revision > m->view.entries_revision(m->view.arg) &&
	    b->entries_hash != m->view.entries_hash(m->view.arg) &&
	    mh_now(m->k) >= m->entries_asked_us + ANSWER_WAIT_US;
}

/*
 * A process that the store turns away still learns of a new configuration
 * and of leaving endpoints: from whoever has read them.
 */
void
mh_mesh_compare_views(struct mh_mesh *m, struct peer *p, const Mh__Beat *b)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__ViewAsk ask = MH__VIEW_ASK__INIT;
	int64_t now = mh_now(m->k);

	if (m->view.conf_revision == NULL)
		return;
	note_conf_heard(m, b->conf_revision);
	if (b->rows_revision == m->view.rows_revision(m->view.arg))
		m->view.rows_same(m->view.arg, (int64_t)b->rows_age_us);
	if (now - p->asked_us < ASK_AGAIN_US && p->asked_us != 0)
		return;
	ask.conf = b->conf_revision > m->view.conf_revision(m->view.arg) &&
	    now >= m->conf_asked_us + ANSWER_WAIT_US;
	ask.rows = b->rows_revision > m->view.rows_revision(m->view.arg) &&
	    m->view.rows_due(m->view.arg) &&
	    now >= m->rows_asked_us + ANSWER_WAIT_US;
	ask.evacuated = b->evacuated_revision > mh_mesh_evacuated_revision(m);
	ask.entries = wants_entries(m, b);
	if (!ask.conf && !ask.rows && !ask.evacuated && !ask.entries)
		return;
	p->asked_us = p->asked_first_us = now;
	p->asked = (ask.conf ? ASKED_CONF : 0) | (ask.rows ? ASKED_ROWS : 0) |
	    (ask.entries ? ASKED_ENTRIES : 0);
	if (ask.entries)
		m->entries_asked_us = now;
	if (ask.conf) {
		m->conf_asked_us = now;
		ask.conf_since = m->view.conf_revision(m->view.arg);
		mh_event(m->k, "conf-asked",
		    "node=%s revision=%" PRIu64 " have=%" PRIu64
		    " behind_ms=%" PRId64,
		    p->node, b->conf_revision, ask.conf_since,
		    mh_ms(mh_mesh_conf_behind_us(m)));
	}
	if (ask.rows) {
		m->rows_asked_us = now;
		ask.rows_since = m->view.rows_have(m->view.arg);
	}
	ask.packed = true;
	f.body_case = MH__FRAME__BODY_VIEW_ASK;
	f.view_ask = &ask;
	mh_mesh_send_conn(m, mh_peer_link(p), &f);
}

/* What of it is answered now; the rest is asked for again. */
static Mh__ViewAsk
answered_now(struct mh_mesh *m, const Mh__ViewAsk *ask)
{
	Mh__ViewAsk some = *ask;
	bool full = m->told_bytes >= BYTES_A_BEAT;

	some.conf = ask->conf && !full;
	some.entries = ask->entries && !full;
	some.rows = ask->rows && m->rows_bytes < BYTES_A_BEAT;
	if (some.conf != ask->conf || some.rows != ask->rows ||
	    some.entries != ask->entries)
		mh_count(m->k, "views_put_off", 1);
	return some;
}

static void
set_bytes(ProtobufCBinaryData *to, GBytes *from)
{
	if (from != NULL)
		to->data =
		    (uint8_t *)(uintptr_t)g_bytes_get_data(from, &to->len);
}

static void
free_shared(struct mh_shared *s)
{
	mh_bytes_clear(&s->conf);
	mh_bytes_clear(&s->rows);
	mh_bytes_clear(&s->entries);
}

void
mh_mesh_answer_view(struct mh_mesh *m, struct peer *p, const Mh__ViewAsk *ask)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__View v = MH__VIEW__INIT;
	Mh__ViewAsk some;
	struct mh_shared s = { 0 };

	if (m->view.fill == NULL)
		return;
	some = answered_now(m, ask);
	if (!some.conf && !some.rows && !some.evacuated && !some.entries)
		return;
	m->view.fill(m->view.arg, &some, &s);
	v.conf_revision = m->view.conf_revision(m->view.arg);
	v.rows_revision = m->view.rows_revision(m->view.arg);
	set_bytes(&v.conf, s.conf);
	set_bytes(&v.rows, s.rows);
	set_bytes(&v.entries, s.entries);
	v.packed = s.packed;
	v.conf_base = s.conf_base;
	if (s.entries != NULL)
		v.entries_revision = m->view.entries_revision(m->view.arg);
	m->told_bytes += v.conf.len + v.entries.len;
	m->rows_bytes += v.rows.len;
	if (s.evacuated != NULL) {
		v.evacuated_revision = mh_mesh_evacuated_revision(m);
		v.evacuated = (char **)(uintptr_t)s.evacuated;
		v.n_evacuated = g_strv_length((char **)(uintptr_t)s.evacuated);
	}
	f.body_case = MH__FRAME__BODY_VIEW;
	f.view = &v;
	mh_mesh_send_conn(m, mh_peer_link(p), &f);
	free_shared(&s);
}

/* What another entry answers. */
void
mh_mesh_take_view(struct mh_mesh *m, struct peer *p, const Mh__View *v)
{
	p->asked_us = 0;
	p->asked = 0;
	if (v->conf.len > 0) {
		m->conf_asked_us = 0;
		mh_event(m->k, "conf-told",
		    "node=%s revision=%" PRIu64 " base=%" PRIu64
		    " bytes=%zu behind_ms=%" PRId64,
		    p->node, v->conf_revision, v->conf_base, v->conf.len,
		    mh_ms(mh_mesh_conf_behind_us(m)));
	}
	if (v->rows.len > 0)
		m->rows_asked_us = 0;
	if (v->entries.len > 0)
		m->entries_asked_us = 0;
	if (m->view.take != NULL)
		m->view.take(m->view.arg, v);
}

/* Bytes of an answer that we wait for: another's would only slow it down. */
void
mh_mesh_answer_comes(struct mh_mesh *m, struct peer *p)
{
	int64_t now = mh_now(m->k);

	if (p->asked == 0 || now - p->asked_first_us >= COMING_US)
		return;
	p->asked_us = now;
	if (p->asked & ASKED_CONF)
		m->conf_asked_us = now;
	if (p->asked & ASKED_ROWS)
		m->rows_asked_us = now;
	if (p->asked & ASKED_ENTRIES)
		m->entries_asked_us = now;
}

/* A beat later, as many bytes may be told again. */
void
mh_mesh_told_anew(struct mh_mesh *m)
{
	m->told_bytes = 0;
	m->rows_bytes = 0;
}
