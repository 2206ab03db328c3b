/**
 * DOC: Evidence for and against poison requests: crashes of endpoints, with the
 * requests that they were running, and runs without a crash.
 */

#include "poisonint.h"

#include "gate.h"

#include <string.h>

/* Calls that break in a crash do so within some milliseconds. */
#define SETTLE_US (30 * MH_US_PER_MS)
/*
 * By then the other processes have announced what they were running there.
 * Evaluated earlier, a crash would be blamed on requests of this process that
 * ran beside the poison request of another.
 */
#define EVALUATE_US (150 * MH_US_PER_MS)
/* Limits on the records kept, and on new crashes a second. */
#define CRASHES_MAX 256
#define CRASHES_PER_S 32
#define CRASH_REQUESTS_MAX 64
#define CRASH_PARTS_MAX 256
#define CRASH_IDS_MAX 64
#define COMPLETIONS_MAX 4096
#define WITHDRAWN_MAX 32 /* between two announcements */
/*
 * One crash may be reported under two ids, when some processes know the new
 * start time of the endpoint and others don't; the reports differ by less.
 */
#define SAME_NAME_US (1 * MH_US_PER_S)
/* Ids of incarnations are NAME@START, and NAME@START#N after N restarts. */
#define START_MARK "@"
#define RESTART_MARK "#"
/* Data that an endpoint sent before its crash arrives within this. */
#define IN_FLIGHT_US (700 * MH_US_PER_MS)
/* The least time that a crashed endpoint takes to restart. */
#define RESTART_MIN_US (1 * MH_US_PER_S)

/* An id for what is observed now, unique for @key but by hash collision. */
uint64_t
mh_poison_new_id(const struct mh_poison *s, uint64_t key)
{
	uint64_t of[] = { key, (uint64_t)mh_now(s->k) };

	return mh_hash(of, sizeof(of)) | 1;
}

/* crashes */

static void check_later(struct mh_poison *s);

void
mh_poison_free_crash(void *arg)
{
	struct crash *c = arg;

	g_array_free(c->requests, TRUE);
	g_array_free(c->ids, TRUE);
	g_array_free(c->earlier_ids, TRUE);
	g_free(c->endpoint);
	g_free(c->pool);
	g_free(c);
}

static void
drop_oldest(struct mh_poison *s)
{
	const struct crash *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash *c = v;

		if (oldest == NULL || c->at_us < oldest->at_us)
			oldest = c;
	}
	s->stale = true;
	if (oldest != NULL)
		g_hash_table_remove(s->crashes, oldest->endpoint);
}

/*
 * Makes room for a new crash; false if there are too many in this second.  The
 * loss of a failure domain crashes hundreds at once, which is no evidence
 * against requests.
 */
static bool
make_room(struct mh_poison *s)
{
	int64_t second = mh_now(s->k) / MH_US_PER_S;

	if (s->rate_second != second)
		s->n_new_crashes = 0;
	s->rate_second = second;
	if (s->n_new_crashes >= CRASHES_PER_S) {
		mh_count(s->k, "poison_ends_left_out", 1);
		return false;
	}
	s->n_new_crashes++;
	if (g_hash_table_size(s->crashes) >= CRASHES_MAX)
		drop_oldest(s);
	return true;
}

static bool
has_id(const GArray *ids, uint64_t id)
{
	for (guint i = 0; id != 0 && i < ids->len; i++) {
		if (g_array_index(ids, uint64_t, i) == id)
			return true;
	}
	return false;
}

static void
add_id(GArray *ids, uint64_t id)
{
	if (id != 0 && ids->len < CRASH_IDS_MAX && !has_id(ids, id))
		g_array_append_val(ids, id);
}

/* Announcements of the earlier crashes may still be in flight. */
static void
keep_earlier_ids(struct crash *c, const struct crash *before)
{
	for (guint i = 0; i < before->ids->len; i++)
		add_id(c->earlier_ids, g_array_index(before->ids, uint64_t, i));
	for (guint i = 0; i < before->earlier_ids->len; i++)
		add_id(c->earlier_ids,
		    g_array_index(before->earlier_ids, uint64_t, i));
}

/*
 * The crash that the next break at an endpoint may be part of, or NULL.  The
 * registry names a restarted endpoint seconds later, or not while the store is
 * away, so one that was down after a crash and answers counts as another
 * incarnation.
 * @id: set to the id of that, for the caller to free; NULL: @endpoint
 */
static struct crash *
current_crash(struct mh_poison *s, const char *endpoint, char **id)
{
	struct crash *c = g_hash_table_lookup(s->crashes, endpoint);

	*id = NULL;
	for (uint32_t n = 1; c != NULL && c->restarted; n++) {
		g_free(*id);
		*id = g_strdup_printf("%s" RESTART_MARK "%u", endpoint, n);
		c = g_hash_table_lookup(s->crashes, *id);
	}
	return c;
}

static bool
has_name(const char *id, const char *name, size_t len)
{
	return strncmp(id, name, len) == 0 &&
	    strcspn(id, START_MARK RESTART_MARK) == len;
}

/* A crash of an endpoint of the same name at about the same time. */
static struct crash *
same_name(struct mh_poison *s, const struct crash_report *w)
{
	size_t len = strcspn(w->endpoint, START_MARK RESTART_MARK);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash *c = v;

		if (!c->alive && ABS(c->at_us - w->at_us) < SAME_NAME_US &&
		    has_name(c->endpoint, w->endpoint, len))
			return c;
	}
	return NULL;
}

static struct crash *
new_crash(struct mh_poison *s, const struct crash_report *w)
{
	struct crash *c = g_new0(struct crash, 1);

	c->s = s;
	c->endpoint = g_strdup(w->endpoint);
	c->pool = g_strdup(w->pool);
	c->at_us = w->at_us;
	c->requests = g_array_new(FALSE, FALSE, sizeof(struct crash_request));
	c->ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->earlier_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	add_id(c->ids, w->id);
	return c;
}

/*
 * A crash is announced with its age, as a run is, so an announcement that was
 * in flight for long looks like a later crash.  After the endpoint had proved
 * to be alive, such a duplicate would be recorded and announced as a new crash,
 * then disproved and announced again, without end.  The id shows which crash is
 * meant.
 */
struct crash *
mh_poison_record_crash(
    struct mh_poison *s, const struct crash_report *w, bool *is_new)
{
	struct crash *c = g_hash_table_lookup(s->crashes, w->endpoint), *before;

	*is_new = false;
	if (c == NULL)
		c = same_name(s, w);
	if (c != NULL && has_id(c->earlier_ids, w->id))
		return NULL;
	if (c != NULL &&
	    (!c->alive || has_id(c->ids, w->id) ||
		w->at_us - c->at_us < w->same_us)) {
		add_id(c->ids, w->id);
		return c;
	}
	if (!make_room(s))
		return NULL;
	before = g_hash_table_lookup(s->crashes, w->endpoint);
	c = new_crash(s, w);
	*is_new = true;
	if (before != NULL)
		keep_earlier_ids(c, before);
	g_hash_table_replace(s->crashes, c->endpoint, c);
	s->stale = true; /* it may borrow a pool name that was freed */
	if (s->ops.fell != NULL)
		s->ops.fell(s->ops.arg, w->endpoint);
	s->n_pending++;
	check_later(s);
	mh_poison_sweep_later(s);
	return c;
}

bool
mh_poison_add_request(struct crash *c, const struct crash_request *m)
{
	uint32_t n = 0;

	for (guint i = 0; i < c->requests->len; i++) {
		struct crash_request *o =
		    &g_array_index(c->requests, struct crash_request, i);

		n += o->part == m->part;
		if (o->fingerprint != m->fingerprint)
			continue;
		/* The longest of several calls shows how long it ran. */
		if (o->late || !m->late)
			return false;
		o->late = true;
		c->s->stale = true;
		return true;
	}
	if (m->fingerprint == 0 ||
	    n >= (m->part ? CRASH_PARTS_MAX : CRASH_REQUESTS_MAX))
		return false;
	g_array_append_vals(c->requests, m, 1);
	c->s->stale = true;
	return true;
}

/*
 * All calls that break with the endpoint have broken.  It has crashed unless a
 * call that was sent to it before is still open.
 */
static void
settle(struct crash *c)
{
	struct mh_poison *s = c->s;
	char *endpoint =
	    g_strndup(c->endpoint, strcspn(c->endpoint, RESTART_MARK));
	bool open = s->ops.still_open != NULL &&
	    s->ops.still_open(s->ops.arg, endpoint, c->at_us);

	g_free(endpoint);
	c->settled = true;
	if (open) {
		c->alive = true;
		c->announced = true; /* the crash was never announced */
		mh_count(s->k, "poison_ends_false", 1);
		return;
	}
	mh_count(s->k, "poison_ends", 1);
	mh_poison_log(s, "endpoint-fell", "id=%s pool=%s requests=%u",
	    c->endpoint, c->pool, c->requests->len);
	s->stale = true;
	c->announced = false;
}

static void
on_check_timer(void *arg)
{
	struct mh_poison *s = arg;
	GHashTableIter it;
	gpointer v;

	s->n_pending = 0;
	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash *c = v;
		int64_t since = mh_now(s->k) - c->at_us;

		if (!c->settled && since >= SETTLE_US)
			settle(c);
		if (!c->evaluated && since >= EVALUATE_US)
			c->evaluated = s->stale = true;
		s->n_pending += !c->evaluated;
	}
	mh_poison_evaluate(s);
	mh_poison_announce(s);
	if (s->n_pending > 0)
		check_later(s);
}

static void
check_later(struct mh_poison *s)
{
	if (s->check_timer == NULL)
		mh_timer_set(
		    s->k, &s->check_timer, SETTLE_US, on_check_timer, s);
}

/* The others must know, as one of them may be the next to get an answer. */
static void
note_down(struct crash *c)
{
	if (c->down_us != 0 || c->answered || !c->settled)
		return;
	c->down_us = mh_now(c->s->k);
	c->announced = false;
	mh_poison_announce(c->s);
}

void
mh_poison_unreachable(struct mh_kern *k, const char *endpoint, int64_t sent_us)
{
	struct mh_poison *s = mh_poison_of(k);
	struct crash *c;
	char *id;

	if (s == NULL || g_hash_table_size(s->crashes) == 0)
		return;
	c = current_crash(s, endpoint, &id);
	g_free(id);
	if (c != NULL && !c->alive && sent_us >= c->at_us)
		note_down(c);
}

/* The request that broke, and those parts of its prompt that may be a cause. */
static bool
add_requests(
    struct mh_poison *s, struct crash *c, const struct mh_poison_break *b)
{
	struct crash_request m = { b->fingerprint, b->late, false };
	bool changed = mh_poison_add_request(c, &m);

	m.part = true;
	for (uint32_t i = 0; i < b->n_parts; i++) {
		m.fingerprint = b->parts[i];
		if (!mh_poison_is_sound(s, m.fingerprint, c->pool))
			changed |= mh_poison_add_request(c, &m);
	}
	return changed;
}

void
mh_poison_call_broke(struct mh_kern *k, const struct mh_poison_break *b)
{
	struct mh_poison *s = mh_poison_of(k);
	/* After a disproved crash, later breaks are a new crash. */
	struct crash_report w = { NULL, b->pool, mh_now(k), 0,
		IN_FLIGHT_US + 1 };
	struct crash *c;
	char *id;
	bool is_new;

	if (s == NULL)
		return;
	c = current_crash(s, b->endpoint, &id);
	w.endpoint = id == NULL ? b->endpoint : id;
	/* The call was sent after the crash, or breaks too long after it. */
	if (c != NULL && !c->alive &&
	    (b->sent_us >= c->at_us ||
		mh_now(k) - c->at_us >= MH_POISON_SAME_CRASH_US)) {
		if (b->sent_us >= c->at_us)
			note_down(c);
		g_free(id);
		return;
	}
	w.id = mh_poison_new_id(s, mh_hash(w.endpoint, strlen(w.endpoint)));
	c = mh_poison_record_crash(s, &w, &is_new);
	g_free(id);
	if (c == NULL)
		return;
	if (add_requests(s, c, b))
		c->announced = false;
	check_later(s);
}

void
mh_poison_withdraw(struct mh_poison *s, uint64_t fingerprint)
{
	if (s->withdrawn->len < WITHDRAWN_MAX)
		g_array_append_val(s->withdrawn, fingerprint);
}

void
mh_poison_retract(struct mh_poison *s, const char *pool, const GArray *requests,
    const char *why)
{
	mh_poison_update_evidence(s);
	for (guint i = 0; i < requests->len; i++) {
		uint64_t fingerprint =
		    g_array_index(requests, struct crash_request, i)
			.fingerprint;
		const struct evidence *r =
		    mh_poison_evidence(s, fingerprint, pool);
		struct quarantine *q =
		    g_hash_table_lookup(s->quarantines, &fingerprint);

		if (q != NULL && q->parts != NULL &&
		    mh_poison_parts_supported(s, q))
			continue;
		if (q != NULL && q->times == 1 &&
		    mh_now(s->k) - q->start_us < MH_POISON_KEEP_US &&
		    (r == NULL || r->score < MH_POISON_QUARANTINE_POINTS)) {
			mh_poison_release(s, q, why);
			mh_poison_withdraw(s, fingerprint);
		}
	}
}

void
mh_poison_retract_crash(struct mh_poison *s, const struct crash *c)
{
	mh_poison_retract(s, c->pool, c->requests, "the endpoint lives");
}

/*
 * The others must know by its next crash: if they recorded it under another id,
 * each would blame the requests that it had there itself.
 */
static void
note_restart(struct crash *c)
{
	const struct mh_poison_ops *ops = &c->s->ops;

	if (ops->is_alone != NULL && ops->is_alone(ops->arg))
		return;
	c->restarted = true;
	c->announced = false;
	mh_count(c->s->k, "poison_endpoints_restarted", 1);
	mh_poison_announce(c->s);
}

void
mh_poison_answered(
    struct mh_kern *k, const char *endpoint, int64_t sent_us, bool unique_id)
{
	struct mh_poison *s = mh_poison_of(k);
	struct crash *c;
	char *id;
	int64_t since;

	if (s == NULL || g_hash_table_size(s->crashes) == 0)
		return;
	c = current_crash(s, endpoint, &id);
	g_free(id);
	if (c == NULL || c->alive)
		return;
	since = mh_now(k) - c->at_us;
	if (sent_us < c->at_us && since < IN_FLIGHT_US)
		return;
	if (sent_us >= c->at_us && !unique_id && since >= RESTART_MIN_US) {
		c->answered = true;
		if (c->down_us != 0 && sent_us >= c->down_us)
			note_restart(c);
		return;
	}
	c->alive = true;
	c->announced = !c->settled;
	c->settled = true;
	s->stale = true;
	mh_count(k, "poison_ends_false", 1);
	mh_poison_log(s, "endpoint-lives", "id=%s pool=%s after_ms=%" PRId64,
	    c->endpoint, c->pool, mh_ms(since));
	mh_poison_retract_crash(s, c);
	mh_poison_announce(s);
}

/* runs */

void
mh_poison_free_completion(void *arg)
{
	struct completion *r = arg;

	g_free(r->pool);
	g_free(r);
}

uint64_t
mh_poison_run_id(const struct completion *r)
{
	return r->n_ids == 0 ? 0 : r->ids[(r->n_ids - 1) % MH_POISON_RUN_IDS];
}

/*
 * The time of a run is announced as its age, which lacks the time in flight: if
 * that is long, the run comes back looking like a later one.  Taken for a new
 * one, it would be forwarded from process to process without end, and that load
 * would delay the links further.  The id of a run shows that it is recorded
 * already.
 */
static bool
is_recorded(const struct completion *r, uint64_t id)
{
	for (uint32_t i = 0; id != 0 && i < MH_POISON_RUN_IDS; i++) {
		if (r->ids[i] == id)
			return true;
	}
	return false;
}

bool
mh_poison_add_completion(struct mh_poison *s, const struct completion_report *n)
{
	uint64_t key = mh_poison_key(n->fingerprint, n->pool);
	struct completion *r = g_hash_table_lookup(s->completions, &key);
	struct quarantine *q =
	    g_hash_table_lookup(s->quarantines, &n->fingerprint);

	if (r == NULL && g_hash_table_size(s->completions) >= COMPLETIONS_MAX)
		return false;
	if (r == NULL) {
		r = g_new0(struct completion, 1);
		r->fingerprint = n->fingerprint;
		r->pool = g_strdup(n->pool);
		r->part = n->part;
		g_hash_table_insert(
		    s->completions, g_memdup2(&key, sizeof(key)), r);
	} else if (is_recorded(r, n->id) ||
	    n->at_us - r->at_us < MH_POISON_SAME_RUN_US) {
		return false;
	}
	r->at_us = n->at_us;
	r->ids[r->n_ids++ % MH_POISON_RUN_IDS] = n->id;
	r->announced = true;
	s->stale = true;
	if (q != NULL && strcmp(q->pool, n->pool) == 0 &&
	    q->start_us <= n->at_us)
		mh_poison_release(s, q, "it has run");
	if (n->part)
		mh_poison_release_parts(s, n->fingerprint, "a part has run");
	mh_poison_sweep_later(s);
	return true;
}

void
mh_poison_completed(struct mh_kern *k, uint64_t fingerprint, const char *pool)
{
	struct mh_poison *s = mh_poison_of(k);
	struct completion_report n = { fingerprint, pool, mh_now(k), 0, false };
	uint64_t key;
	struct completion *r;

	if (s == NULL || fingerprint == 0 ||
	    (g_hash_table_size(s->crashes) == 0 &&
		g_hash_table_size(s->quarantines) == 0))
		return;
	mh_poison_update_evidence(s);
	if (mh_poison_evidence(s, fingerprint, pool) == NULL)
		return;
	key = mh_poison_key(fingerprint, pool);
	n.id = mh_poison_new_id(s, key);
	if (!mh_poison_add_completion(s, &n))
		return;
	r = g_hash_table_lookup(s->completions, &key);
	r->announced = false;
	mh_count(k, "poison_cleared", 1);
	mh_poison_announce(s);
}
