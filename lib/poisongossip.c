/**
 * DOC: Gossip between processes about poison requests.
 *
 * New records are sent over every link at once.  A process that others may be
 * linked to alone forwards them.  Announcements may arrive twice and in any
 * order: reports of the same crash are merged, and the longest quarantine
 * applies.
 */

#include "poisonint.h"

#include <string.h>

/*
 * Records of each kind in one frame, which keeps it to some 20 KB; the rest
 * goes into the next frame.
 */
#define FRAME_RECORDS_MAX 32
/* Parts of one quarantine. */
#define QUARANTINE_PARTS_MAX 64
/* Reports of one crash by processes that ran requests there differ by less. */
#define SAME_REPORT_US (500 * MH_US_PER_MS)

/** struct message - a Poison message and the memory that it points to. */
struct message {
	Mh__Poison m;
	Mh__Ended crashes[FRAME_RECORDS_MAX];
	Mh__Ended *crash_list[FRAME_RECORDS_MAX];
	Mh__Held quarantines[FRAME_RECORDS_MAX];
	Mh__Held *quarantine_list[FRAME_RECORDS_MAX];
	Mh__Ran completions[FRAME_RECORDS_MAX];
	Mh__Ran *completion_list[FRAME_RECORDS_MAX];
	GPtrArray *lists; /* uint64_t[], the fingerprints of crashes */
};

static uint64_t
age(const struct mh_poison *s, int64_t at_us)
{
	return (uint64_t)MAX(mh_now(s->k) - at_us, 0);
}

/** enum names - which names of a crash are listed. */
enum names { NAMES_EARLY, NAMES_LATE, NAMES_PARTS };

static uint64_t *
fingerprints_of(
    struct message *o, const struct crash *c, enum names which, size_t *n)
{
	uint64_t *list = g_new(uint64_t, c->requests->len + 1);

	*n = 0;
	for (guint i = 0; i < c->requests->len; i++) {
		const struct crash_request *m =
		    &g_array_index(c->requests, struct crash_request, i);

		if (which ==
		    (m->part	      ? NAMES_PARTS
			    : m->late ? NAMES_LATE
				      : NAMES_EARLY))
			list[(*n)++] = m->fingerprint;
	}
	g_ptr_array_add(o->lists, list);
	return list;
}

static void
put_crash(struct mh_poison *s, struct message *o, const struct crash *c)
{
	size_t i = o->m.n_ended++;
	Mh__Ended *m = &o->crashes[i];

	mh__ended__init(m);
	m->endpoint = c->endpoint;
	m->pool = c->pool;
	m->age_us = age(s, c->at_us);
	m->lives = c->alive;
	m->down = c->down_us != 0;
	m->restarted = c->restarted;
	m->end_id = c->ids->len == 0 ? 0 : g_array_index(c->ids, uint64_t, 0);
	m->fresh = fingerprints_of(o, c, NAMES_EARLY, &m->n_fresh);
	m->old = fingerprints_of(o, c, NAMES_LATE, &m->n_old);
	m->parts = fingerprints_of(o, c, NAMES_PARTS, &m->n_parts);
	o->crash_list[i] = m;
}

static void
put_quarantine(
    struct mh_poison *s, struct message *o, const struct quarantine *q)
{
	size_t i = o->m.n_held++;
	Mh__Held *m = &o->quarantines[i];

	mh__held__init(m);
	m->print = q->fingerprint;
	m->pool = q->pool;
	m->times = q->times;
	if (q->parts != NULL) {
		m->parts = (uint64_t *)(gpointer)q->parts->data;
		m->n_parts = q->parts->len;
	}
	m->age_us = age(s, q->start_us);
	m->left_us = (uint64_t)MAX(q->expires_us - mh_now(s->k), 0);
	o->quarantine_list[i] = m;
}

static void
put_completion(
    struct mh_poison *s, struct message *o, const struct completion *r)
{
	size_t i = o->m.n_ran++;
	Mh__Ran *m = &o->completions[i];

	mh__ran__init(m);
	m->print = r->fingerprint;
	m->pool = r->pool;
	m->age_us = age(s, r->at_us);
	m->run_id = mh_poison_run_id(r);
	m->part = r->part;
	o->completion_list[i] = m;
}

static struct message *
message_create(void)
{
	struct message *o = g_new0(struct message, 1);

	mh__poison__init(&o->m);
	o->m.ended = o->crash_list;
	o->m.held = o->quarantine_list;
	o->m.ran = o->completion_list;
	o->lists = g_ptr_array_new_with_free_func(g_free);
	return o;
}

static void
message_send(
    struct message *o, void (*send)(void *arg, Mh__Frame *f), void *arg)
{
	Mh__Frame f = MH__FRAME__INIT;

	f.body_case = MH__FRAME__BODY_POISON;
	f.poison = &o->m;
	send(arg, &f);
	g_ptr_array_free(o->lists, TRUE);
	g_free(o);
}

/** struct lists - records to be announced, borrowed. */
struct lists {
	GPtrArray *crashes;
	GPtrArray *quarantines;
	GPtrArray *completions;
};

static bool
is_ready(const struct crash *c, bool only_new)
{
	return c->settled && !(only_new && c->announced);
}

/* Collects the records that were not announced yet, or all. */
static void
collect(struct mh_poison *s, struct lists *l, bool only_new)
{
	GHashTableIter it;
	gpointer v;

	l->crashes = g_ptr_array_new();
	l->quarantines = g_ptr_array_new();
	l->completions = g_ptr_array_new();
	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (is_ready(v, only_new))
			g_ptr_array_add(l->crashes, v);
	}
	g_hash_table_iter_init(&it, s->quarantines);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!only_new || !((struct quarantine *)v)->announced)
			g_ptr_array_add(l->quarantines, v);
	}
	g_hash_table_iter_init(&it, s->completions);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!only_new || !((struct completion *)v)->announced)
			g_ptr_array_add(l->completions, v);
	}
}

static void
send_lists(struct mh_poison *s, struct lists *l,
    void (*send)(void *arg, Mh__Frame *f), void *arg)
{
	guint n_max =
	    MAX(l->crashes->len, MAX(l->quarantines->len, l->completions->len));

	for (guint from = 0; from < n_max; from += FRAME_RECORDS_MAX) {
		struct message *o = message_create();
		guint to = from + FRAME_RECORDS_MAX;

		for (guint i = from; i < MIN(to, l->crashes->len); i++)
			put_crash(s, o, l->crashes->pdata[i]);
		for (guint i = from; i < MIN(to, l->quarantines->len); i++)
			put_quarantine(s, o, l->quarantines->pdata[i]);
		for (guint i = from; i < MIN(to, l->completions->len); i++)
			put_completion(s, o, l->completions->pdata[i]);
		message_send(o, send, arg);
	}
	g_ptr_array_free(l->crashes, TRUE);
	g_ptr_array_free(l->quarantines, TRUE);
	g_ptr_array_free(l->completions, TRUE);
}

/* They go first: a request may be quarantined again, with better ground. */
static void
send_withdrawn(struct mh_poison *s)
{
	struct message *o;

	if (s->withdrawn->len == 0)
		return;
	o = message_create();
	o->m.withdrawn = (uint64_t *)(gpointer)s->withdrawn->data;
	o->m.n_withdrawn = s->withdrawn->len;
	message_send(o, s->ops.announce, s->ops.arg);
	g_array_set_size(s->withdrawn, 0);
}

void
mh_poison_announce(struct mh_poison *s)
{
	struct lists l;

	if (s->ops.announce == NULL)
		return;
	collect(s, &l, true);
	send_withdrawn(s);
	for (guint i = 0; i < l.crashes->len; i++)
		((struct crash *)l.crashes->pdata[i])->announced = true;
	for (guint i = 0; i < l.quarantines->len; i++)
		((struct quarantine *)l.quarantines->pdata[i])->announced =
		    true;
	for (guint i = 0; i < l.completions->len; i++)
		((struct completion *)l.completions->pdata[i])->announced =
		    true;
	send_lists(s, &l, s->ops.announce, s->ops.arg);
}

void
mh_poison_send_all(
    struct mh_kern *k, void (*send)(void *arg, Mh__Frame *f), void *arg)
{
	struct mh_poison *s = mh_poison_of(k);
	struct lists l;

	if (s == NULL)
		return;
	collect(s, &l, false);
	send_lists(s, &l, send, arg);
}

/* received from others */

static int64_t
time_of(const struct mh_poison *s, uint64_t age_us)
{
	return mh_now(s->k) - (int64_t)MIN(age_us, (uint64_t)G_MAXINT64 / 2);
}

static bool
receive_fingerprints(
    struct crash *c, const uint64_t *fingerprints, size_t n, bool late)
{
	bool changed = false;

	for (size_t i = 0; i < n; i++) {
		struct crash_request m = { fingerprints[i], late, false };

		changed |= mh_poison_add_request(c, &m);
	}
	return changed;
}

/* Their sender may have started after the last run of a sound part. */
static bool
receive_parts(struct crash *c, const Mh__Ended *e)
{
	bool changed = false;

	for (size_t i = 0; i < e->n_parts; i++) {
		struct crash_request m = { e->parts[i], false, true };

		if (mh_poison_is_sound(c->s, m.fingerprint, c->pool))
			mh_poison_tell_sound(c->s, m.fingerprint, c->pool);
		else
			changed |= mh_poison_add_request(c, &m);
	}
	return changed;
}

/*
 * Takes the requests that were running when the endpoint crashed; returns
 * whether they are news.  A process that did not know of the crash reports
 * requests that it sent while the endpoint was down.  So the earliest report
 * holds: a later one adds nothing, and an earlier one replaces what we have.
 */
static bool
receive_requests(struct crash *c, const Mh__Ended *m, int64_t at_us)
{
	GArray *replaced = NULL;
	bool changed;

	if (at_us > c->at_us + SAME_REPORT_US)
		return false;
	if (at_us < c->at_us - SAME_REPORT_US) {
		replaced = c->requests;
		c->requests =
		    g_array_new(FALSE, FALSE, sizeof(struct crash_request));
		c->at_us = at_us;
		c->s->stale = true;
	}
	changed = receive_fingerprints(c, m->fresh, m->n_fresh, false);
	changed |= receive_fingerprints(c, m->old, m->n_old, true);
	changed |= receive_parts(c, m);
	if (replaced == NULL)
		return changed;
	mh_poison_retract(
	    c->s, c->pool, replaced, "it was sent after the crash");
	g_array_free(replaced, TRUE);
	return true;
}

static void
receive_crash(struct mh_poison *s, const Mh__Ended *m, bool pass_on)
{
	struct crash_report w = { m->endpoint, m->pool, time_of(s, m->age_us),
		m->end_id, MH_POISON_SAME_CRASH_US };
	bool is_new, changed;
	struct crash *c = mh_poison_record_crash(s, &w, &is_new);

	if (c == NULL)
		return;
	if (is_new)
		c->settled = c->announced = true;
	changed = receive_requests(c, m, w.at_us) | is_new;
	if (m->down && c->down_us == 0) {
		c->down_us = mh_now(s->k);
		changed = true;
	}
	if (m->restarted && !c->restarted)
		c->restarted = changed = true;
	if (m->lives && !c->alive) {
		c->alive = changed = true;
		s->stale = true;
		mh_poison_retract_crash(s, c);
	}
	/* Never set to true here: our own report may be waiting to be sent. */
	if (changed && pass_on)
		c->announced = false;
}

static void
receive_quarantine(struct mh_poison *s, const Mh__Held *m, bool pass_on)
{
	struct quarantine *q = g_hash_table_lookup(s->quarantines, &m->print);
	int64_t expires_us = mh_now(s->k) +
	    (int64_t)MIN(m->left_us, (uint64_t)MH_POISON_QUARANTINE_MAX_US);
	bool changed = q == NULL || m->times > q->times;

	if (mh_poison_was_released(s, m->print, time_of(s, m->age_us)))
		return;
	for (size_t i = 0; i < m->n_parts; i++) {
		if (!mh_poison_is_sound(s, m->parts[i], m->pool))
			continue;
		mh_poison_tell_sound(s, m->parts[i], m->pool);
		return;
	}
	q = mh_poison_quarantine(s, m->print, m->pool, expires_us, m->times);
	if (q == NULL)
		return;
	s->stale = true;
	if (m->n_parts > 0)
		mh_poison_set_parts(
		    s, q, m->parts, MIN(m->n_parts, QUARANTINE_PARTS_MAX));
	if (changed) {
		q->start_us = time_of(s, m->age_us);
		q->announced = !pass_on;
	}
}

static void
receive_completion(struct mh_poison *s, const Mh__Ran *m, bool pass_on)
{
	struct completion_report n = { m->print, m->pool, time_of(s, m->age_us),
		m->run_id, m->part };
	uint64_t key = mh_poison_key(m->print, m->pool);
	struct completion *r;

	if (!mh_poison_add_completion(s, &n))
		return;
	r = g_hash_table_lookup(s->completions, &key);
	r->announced = !pass_on;
}

/* Our own evidence may be better. */
static void
receive_withdrawn(struct mh_poison *s, uint64_t fingerprint, bool pass_on)
{
	struct quarantine *q =
	    g_hash_table_lookup(s->quarantines, &fingerprint);
	const struct evidence *r;

	if (q == NULL || q->times > 1)
		return;
	mh_poison_update_evidence(s);
	if (q->parts != NULL && mh_poison_parts_supported(s, q))
		return;
	r = mh_poison_evidence(s, fingerprint, q->pool);
	if (r != NULL && r->score >= MH_POISON_QUARANTINE_POINTS)
		return;
	mh_poison_release(s, q, "withdrawn by another entry");
	if (pass_on)
		mh_poison_withdraw(s, fingerprint);
}

void
mh_poison_receive(struct mh_kern *k, const Mh__Poison *m, bool pass_on)
{
	struct mh_poison *s = mh_poison_of(k);

	if (s == NULL)
		return;
	for (size_t i = 0; i < m->n_ended; i++)
		receive_crash(s, m->ended[i], pass_on);
	for (size_t i = 0; i < m->n_held; i++)
		receive_quarantine(s, m->held[i], pass_on);
	for (size_t i = 0; i < m->n_withdrawn; i++)
		receive_withdrawn(s, m->withdrawn[i], pass_on);
	for (size_t i = 0; i < m->n_ran; i++)
		receive_completion(s, m->ran[i], pass_on);
	mh_poison_evaluate(s);
	mh_poison_announce(s);
}
