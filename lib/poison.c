/**
 * DOC: Poison requests, which crash the endpoints that run them.
 *
 * A poison request crashes every endpoint that runs it.  Its caller retries it
 * at any process, each time as a new request, and each crash breaks the other
 * requests that the endpoint was running.  So every process records what an
 * endpoint was running when it crashed, and shares that with the others:
 *
 * - a crash is blamed on those of its requests that have most evidence against
 *   them already, so that a request that happens to run beside a poison
 *   request is not taken for one;
 * - suspected requests run at different endpoints, so that the next crash
 *   shows which one it was; a request that completes is cleared;
 * - after three crashes that are blamed on a request alone, it is
 *   quarantined: refused for some minutes, then allowed to run on trial.  While
 *   other endpoints of the pool crash on their own, more crashes are needed;
 * - an endpoint that sends data afterwards had not crashed, and the blame for
 *   that crash is retracted.
 *
 * A part of a prompt may be the cause, whatever else a request holds; no two
 * such requests are alike.  So each crash is also blamed on one of the parts of
 * its requests, all but the last, which belongs to one request.  Parts that an
 * endpoint is answering, or has, are no cause.
 *
 * Crashes are inferred from broken calls alone, without waiting for the
 * platform to report them.
 */

#include "poisonint.h"

#include "gate.h"

#include <stdarg.h>
#include <string.h>

#define QUARANTINES_MAX 1024
/*
 * Points for a crash, and for one that is early where most crashes blamed on
 * the request are late, or late where most are early.
 */
#define POINTS (MH_POISON_QUARANTINE_POINTS / 3)
#define POINTS_OTHER 1
/* With fewer crashes that are blamed on it alone, one more is needed. */
#define SOLE_CRASHES 2
/* Score from which a request is a likely poison request. */
#define LIKELY_POINTS (2 * POINTS)
/* Crashes of the pool that no request explains count for this long. */
#define UNEXPLAINED_US (20 * MH_US_PER_S)
/*
 * One such crash raises the score needed by POINTS; as many as one in
 * UNEXPLAINED_POOL_PART endpoints of the pool raise it by POINTS again.
 */
#define UNEXPLAINED_POOL_PART 2
#define POOL_MIN 4
#define POOL_DEFAULT 8
/* For this long after a quarantine one crash is enough for the next one. */
#define FORGET_US (3600 * MH_US_PER_S)
#define SWEEP_US (5 * MH_US_PER_S)
/* Time that an announcement may travel, which the age in it lacks. */
#define GOSSIP_DELAY_US (10 * MH_US_PER_S)

struct mh_poison *
mh_poison_of(struct mh_kern *k)
{
	return mh_kern_get(k, "poison");
}

void
mh_poison_log(struct mh_poison *s, const char *kind, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	mh_event(s->k, kind, "%s", text);
	mh_log(s->k, "poison", "%s: %s.", kind, text);
	g_free(text);
}

uint64_t
mh_poison_fingerprint(const uint64_t *parts, size_t n)
{
	return MAX(mh_hash(parts, n * sizeof(*parts)), 1);
}

uint64_t
mh_poison_key(uint64_t fingerprint, const char *pool)
{
	uint64_t of[] = { fingerprint, mh_hash(pool, strlen(pool)) };

	return mh_hash(of, sizeof(of));
}

/* evidence */

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct crash *x = *(const struct crash *const *)a;
	const struct crash *y = *(const struct crash *const *)b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static bool
counts(const struct crash *c)
{
	return c->settled && c->evaluated && !c->alive;
}

/* The crashes that count, oldest first. */
static GPtrArray *
counted_crashes(struct mh_poison *s)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash *c = v;

		if (counts(c))
			g_ptr_array_add(all, v);
	}
	g_ptr_array_sort(all, by_time);
	return all;
}

struct evidence *
mh_poison_evidence(struct mh_poison *s, uint64_t fingerprint, const char *pool)
{
	uint64_t key = mh_poison_key(fingerprint, pool);

	return g_hash_table_lookup(s->evidence, &key);
}

static struct evidence *
get_evidence(struct mh_poison *s, uint64_t fingerprint, const char *pool)
{
	struct evidence *r = mh_poison_evidence(s, fingerprint, pool);
	uint64_t key;

	if (r == NULL) {
		r = g_new0(struct evidence, 1);
		r->fingerprint = fingerprint;
		r->pool = pool;
		key = mh_poison_key(fingerprint, pool);
		g_hash_table_insert(
		    s->evidence, g_memdup2(&key, sizeof(key)), r);
	}
	return r;
}

static bool
was_cleared(struct mh_poison *s, const struct crash *c, uint64_t fingerprint)
{
	uint64_t key = mh_poison_key(fingerprint, c->pool);
	const struct completion *r = g_hash_table_lookup(s->completions, &key);

	return r != NULL && r->at_us >= c->at_us;
}

/** struct most - highest values among the suspects of a crash. */
struct most {
	uint32_t score;
	uint32_t seen;
	uint32_t blamed; /* number of suspects that reach one of them */
};

static bool
is_blamed(const struct evidence *r, const struct most *t)
{
	return r->score == t->score || r->seen == t->seen;
}

/* Evidence against those requests of a crash that have not run since. */
static GPtrArray *
suspects_of(struct mh_poison *s, const struct crash *c, GArray *late)
{
	GPtrArray *suspects = g_ptr_array_new();

	for (guint i = 0; i < c->requests->len; i++) {
		const struct crash_request *m =
		    &g_array_index(c->requests, struct crash_request, i);

		if (m->part || was_cleared(s, c, m->fingerprint))
			continue;
		g_ptr_array_add(
		    suspects, get_evidence(s, m->fingerprint, c->pool));
		g_array_append_val(late, m->late);
	}
	return suspects;
}

static bool
is_mostly_late(const struct evidence *r)
{
	return r->late_crashes > r->crashes - r->late_crashes;
}

/*
 * The crashes of a poison request are mostly early or mostly late.  One of the
 * other kind is likely a coincidence and counts half.
 */
static uint32_t
points_of(const struct evidence *r)
{
	uint32_t early = r->crashes - r->late_crashes;

	return r->base + POINTS * MAX(early, r->late_crashes) +
	    POINTS_OTHER * MIN(early, r->late_crashes);
}

/*
 * Blames a crash on the requests with the highest score and on those that were
 * running at the most crashes.  Blaming all requests that ran there quarantined
 * any that ran beside a poison request three times.  The score alone is not
 * enough: a poison request whose crashes are late, but for one that counts
 * half, has fewer points than a request that had begun beside it.
 */
static void
blame(struct mh_poison *s, const struct crash *c)
{
	GArray *late_flags = g_array_new(FALSE, FALSE, sizeof(bool));
	GPtrArray *suspects = suspects_of(s, c, late_flags);
	struct most t = { 0 };

	for (guint i = 0; i < suspects->len; i++) {
		const struct evidence *r = suspects->pdata[i];

		t.score = MAX(t.score, r->score);
		t.seen = MAX(t.seen, r->seen);
	}
	for (guint i = 0; i < suspects->len; i++)
		t.blamed += is_blamed(suspects->pdata[i], &t);
	for (guint i = 0; i < suspects->len; i++) {
		struct evidence *r = suspects->pdata[i];
		bool late = g_array_index(late_flags, bool, i);

		if (is_blamed(r, &t)) {
			r->crashes++;
			r->late_crashes += late;
			r->score = points_of(r);
			r->sole_crashes += t.blamed == 1;
			r->last_sole = t.blamed == 1;
		}
		r->seen++;
	}
	g_ptr_array_free(suspects, TRUE);
	g_array_free(late_flags, TRUE);
}

void
mh_poison_update_evidence(struct mh_poison *s)
{
	GPtrArray *crashes;
	GHashTableIter it;
	gpointer v;

	if (!s->stale)
		return;
	s->stale = false;
	g_hash_table_remove_all(s->evidence);
	g_hash_table_iter_init(&it, s->quarantines);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct quarantine *q = v;
		bool over = q->expires_us <= mh_now(s->k);
		struct evidence *r;

		if (q->parts != NULL || (!over && q->times == 1))
			continue;
		/* On trial, or quarantined again: one more crash is enough. */
		r = get_evidence(s, q->fingerprint, q->pool);
		r->score = r->base = LIKELY_POINTS;
		r->seen = LIKELY_POINTS / POINTS;
		r->sole_crashes = SOLE_CRASHES - 1;
	}
	crashes = counted_crashes(s);
	mh_poison_judge_parts(s, crashes);
	for (guint i = 0; i < crashes->len; i++) {
		if (!mh_poison_has_cause(s, crashes->pdata[i]))
			blame(s, crashes->pdata[i]);
	}
	g_ptr_array_free(crashes, TRUE);
}

/*
 * Whether a crash had the request @by, one with enough points for a quarantine,
 * or one with a record of a quarantine.
 */
static bool
is_explained(struct mh_poison *s, const struct crash *c, uint64_t by)
{
	for (guint i = 0; i < c->requests->len; i++) {
		uint64_t fingerprint =
		    g_array_index(c->requests, struct crash_request, i)
			.fingerprint;
		const struct evidence *r =
		    mh_poison_evidence(s, fingerprint, c->pool);

		if (fingerprint == by ||
		    (r != NULL && r->score >= MH_POISON_QUARANTINE_POINTS) ||
		    g_hash_table_contains(s->quarantines, &fingerprint))
			return true;
	}
	return false;
}

/* Recent crashes in the pool of @r that no request explains. */
static uint32_t
unexplained_crashes(struct mh_poison *s, const struct evidence *r)
{
	GHashTableIter it;
	gpointer v;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash *c = v;

		n += counts(c) && mh_now(s->k) - c->at_us < UNEXPLAINED_US &&
		    strcmp(c->pool, r->pool) == 0 &&
		    !is_explained(s, c, r->fingerprint);
	}
	return n;
}

/*
 * Whether enough crashes are blamed on the request alone.  A request that ran
 * beside a poison request at two crashes has as many points for them; without
 * this check, a third crash, of an endpoint that crashed on its own, had it
 * quarantined.  The first crash is seldom blamed on one request alone, as all
 * that ran there are equally likely then.
 */
static bool
is_sole_suspect(const struct evidence *r)
{
	return r->last_sole && r->sole_crashes >= SOLE_CRASHES;
}

/*
 * The score at which a request is quarantined.  Endpoints that crash on their
 * own, one after the other, also hit requests that are retried.  A request that
 * runs for long easily meets such crashes, even three in a row in a pool of
 * which no other crash is recorded yet; so late crashes need one more.
 */
static uint32_t
points_needed(
    struct mh_poison *s, const struct evidence *r, uint32_t *unexplained)
{
	uint32_t size = s->ops.pool_size == NULL
	    ? POOL_DEFAULT
	    : s->ops.pool_size(s->ops.arg, r->pool);
	uint32_t points = MH_POISON_QUARANTINE_POINTS;

	size = MAX(size, POOL_MIN);
	*unexplained = unexplained_crashes(s, r);
	points += *unexplained > 0 || is_mostly_late(r) ? POINTS : 0;
	points += *unexplained * UNEXPLAINED_POOL_PART >= size ? POINTS : 0;
	return is_sole_suspect(r) ? points : points + POINTS;
}

void
mh_poison_set_parts(
    struct mh_poison *s, struct quarantine *q, const uint64_t *parts, size_t n)
{
	if (q->parts != NULL)
		return;
	q->parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_vals(q->parts, parts, (guint)n);
	if (s->ops.quarantined != NULL)
		s->ops.quarantined(s->ops.arg, q->fingerprint);
}

/** struct ground - why requests are quarantined, for the log. */
struct ground {
	uint64_t fingerprint;
	const char *pool;
	uint32_t crashes;
	uint32_t points;
	uint32_t needed;
	uint32_t unexplained; /* crashes */
	const GArray *parts; /* NULL: one request */
};

static void
begin_quarantine(struct mh_poison *s, const struct ground *g)
{
	struct quarantine *q =
	    g_hash_table_lookup(s->quarantines, &g->fingerprint);
	uint32_t times = q == NULL ? 1 : q->times + 1;
	int64_t for_us = MH_POISON_QUARANTINE_US
	    << MIN(times - 1, MH_POISON_DOUBLINGS);

	if (q != NULL && q->expires_us > mh_now(s->k))
		return;
	mh_count(s->k, g->parts == NULL ? "requests_held" : "parts_held", 1);
	mh_poison_log(s, "request-held",
	    "print=%016" PRIx64 " pool=%s ends=%u points=%u of=%u others=%u "
	    "times=%u for_ms=%" PRId64 " parts=%u",
	    g->fingerprint, g->pool, g->crashes, g->points, g->needed,
	    g->unexplained, times, mh_ms(for_us),
	    g->parts == NULL ? 0 : g->parts->len);
	q = mh_poison_quarantine(
	    s, g->fingerprint, g->pool, mh_now(s->k) + for_us, times);
	if (q == NULL)
		return;
	q->announced = false;
	if (g->parts != NULL)
		mh_poison_set_parts(s, q,
		    (const uint64_t *)(gpointer)g->parts->data, g->parts->len);
}

static void
quarantine_if_needed(struct mh_poison *s, const struct evidence *r)
{
	struct ground g = { r->fingerprint, r->pool, r->crashes, r->score, 0, 0,
		NULL };

	g.needed = points_needed(s, r, &g.unexplained);
	if (r->score >= g.needed)
		begin_quarantine(s, &g);
}

/* Quarantines the parts that crash endpoints. */
static void
quarantine_parts(struct mh_poison *s)
{
	for (guint i = 0; i < s->suspects->len; i++) {
		const struct part_suspects *p = s->suspects->pdata[i];
		struct ground g = { mh_poison_parts_name(
					(uint64_t *)(gpointer)p->parts->data,
					p->parts->len),
			p->pool, p->crashes + p->more,
			POINTS * (p->crashes + p->more),
			MH_POISON_QUARANTINE_POINTS, 0, p->parts };

		if (mh_poison_is_cause(p))
			begin_quarantine(s, &g);
	}
}

void
mh_poison_evaluate(struct mh_poison *s)
{
	GArray *likely = g_array_new(FALSE, FALSE, sizeof(struct evidence));
	GHashTableIter it;
	gpointer v;

	mh_poison_update_evidence(s);
	g_hash_table_iter_init(&it, s->evidence);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct evidence *r = v;

		if (r->score >= MH_POISON_QUARANTINE_POINTS)
			g_array_append_vals(likely, r, 1);
	}
	for (guint i = 0; i < likely->len; i++)
		quarantine_if_needed(
		    s, &g_array_index(likely, struct evidence, i));
	g_array_free(likely, TRUE);
	quarantine_parts(s);
}

/* quarantines */

static void
free_quarantine(void *arg)
{
	struct quarantine *q = arg;

	if (q->parts != NULL)
		g_array_free(q->parts, TRUE);
	g_free(q->pool);
	g_free(q);
}

struct quarantine *
mh_poison_quarantine(struct mh_poison *s, uint64_t fingerprint,
    const char *pool, int64_t expires_us, uint32_t times)
{
	struct quarantine *q =
	    g_hash_table_lookup(s->quarantines, &fingerprint);

	if (q == NULL && g_hash_table_size(s->quarantines) >= QUARANTINES_MAX) {
		mh_count(s->k, "poison_holds_left_out", 1);
		return NULL;
	}
	if (q == NULL) {
		q = g_new0(struct quarantine, 1);
		q->fingerprint = fingerprint;
		q->pool = g_strdup(pool);
		q->announced = true;
		g_hash_table_insert(s->quarantines, &q->fingerprint, q);
	}
	/* A little later: this quarantine, from a delayed announcement. */
	if (expires_us - q->expires_us > MH_POISON_SAME_RUN_US &&
	    expires_us > mh_now(s->k)) {
		q->start_us = mh_now(s->k);
		q->expires_us = expires_us;
		if (s->ops.quarantined != NULL)
			s->ops.quarantined(s->ops.arg, fingerprint);
	}
	q->times = MAX(times, q->times);
	mh_poison_sweep_later(s);
	return q;
}

void
mh_poison_release(struct mh_poison *s, struct quarantine *q, const char *why)
{
	int64_t now = mh_now(s->k);

	mh_count(s->k, "requests_released", 1);
	mh_poison_log(s, "request-released",
	    "print=%016" PRIx64 " pool=%s why=\"%s\"", q->fingerprint, q->pool,
	    why);
	s->stale = true;
	if (g_hash_table_size(s->released) < QUARANTINES_MAX)
		g_hash_table_replace(s->released,
		    g_memdup2(&q->fingerprint, sizeof(q->fingerprint)),
		    g_memdup2(&now, sizeof(now)));
	g_hash_table_remove(s->quarantines, &q->fingerprint);
}

/*
 * A process that was paused during the release still has the quarantine and
 * announces it again.  Ignoring that is safe: if new crashes justify another
 * quarantine, each process finds that by itself.
 */
bool
mh_poison_was_released(
    const struct mh_poison *s, uint64_t fingerprint, int64_t start_us)
{
	const int64_t *at = g_hash_table_lookup(s->released, &fingerprint);

	return at != NULL && start_us <= *at + GOSSIP_DELAY_US;
}

int64_t
mh_poison_quarantine_us(struct mh_kern *k, uint64_t fingerprint)
{
	struct mh_poison *s = mh_poison_of(k);
	const struct quarantine *q = s == NULL
	    ? NULL
	    : g_hash_table_lookup(s->quarantines, &fingerprint);

	return q == NULL ? 0 : MAX(q->expires_us - mh_now(k), 0);
}

/* Whether an endpoint that ran it crashed and nobody is blamed for it yet. */
static bool
in_pending_crash(
    const struct mh_poison *s, uint64_t fingerprint, const char *pool)
{
	GHashTableIter it;
	gpointer v;

	if (s->n_pending == 0)
		return false;
	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash *c = v;

		if (!c->evaluated && !c->alive && strcmp(c->pool, pool) == 0 &&
		    mh_poison_crash_has(c, fingerprint))
			return true;
	}
	return false;
}

uint64_t
mh_poison_isolation_hash(
    struct mh_kern *k, uint64_t fingerprint, const char *pool)
{
	struct mh_poison *s = mh_poison_of(k);
	uint64_t of[2];
	const struct evidence *r;
	uint32_t score;

	if (s == NULL || fingerprint == 0 ||
	    (g_hash_table_size(s->crashes) == 0 &&
		g_hash_table_size(s->quarantines) == 0))
		return 0;
	mh_poison_update_evidence(s);
	r = mh_poison_evidence(s, fingerprint, pool);
	score = (r == NULL ? 0 : r->score) +
	    (in_pending_crash(s, fingerprint, pool) ? POINTS : 0);
	if (score == 0)
		return 0;
	of[0] = fingerprint;
	of[1] = score;
	return mh_hash(of, sizeof(of)) | 1;
}

bool
mh_poison_should_wait(struct mh_kern *k, uint64_t fingerprint, const char *pool)
{
	struct mh_poison *s = mh_poison_of(k);
	const struct evidence *r;

	if (s == NULL || fingerprint == 0 || s->n_pending == 0)
		return false;
	mh_poison_update_evidence(s);
	r = mh_poison_evidence(s, fingerprint, pool);
	return r != NULL && r->score >= LIKELY_POINTS &&
	    in_pending_crash(s, fingerprint, pool);
}

json_t *
mh_poison_state(struct mh_kern *k)
{
	struct mh_poison *s = mh_poison_of(k);
	json_t *list = json_array();
	GHashTableIter it;
	gpointer v;

	if (s == NULL)
		return list;
	g_hash_table_iter_init(&it, s->quarantines);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct quarantine *q = v;
		char fingerprint[17];

		g_snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64,
		    q->fingerprint);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:I, s:i}",
			q->parts != NULL ? "parts" : "request", fingerprint,
			"pool", q->pool, "held_ms",
			(json_int_t)mh_ms(MAX(q->expires_us - mh_now(k), 0)),
			"times", (int)q->times));
	}
	return list;
}

/* expiry */

static gboolean
is_old_crash(gpointer key, gpointer value, gpointer arg)
{
	const struct crash *c = value;

	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - c->at_us >=
	    MH_POISON_KEEP_US;
}

static gboolean
is_old_quarantine(gpointer key, gpointer value, gpointer arg)
{
	const struct quarantine *q = value;

	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - q->expires_us >=
	    FORGET_US;
}

static gboolean
is_old_completion(gpointer key, gpointer value, gpointer arg)
{
	const struct completion *r = value;

	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - r->at_us >=
	    MH_POISON_KEEP_US;
}

static gboolean
is_old_release(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - *(int64_t *)value >=
	    FORGET_US;
}

static void
on_sweep(void *arg)
{
	struct mh_poison *s = arg;

	s->stale = true;
	/* They borrow pool names of records that are freed below. */
	g_hash_table_remove_all(s->evidence);
	g_ptr_array_set_size(s->suspects, 0);
	g_hash_table_foreach_remove(s->crashes, is_old_crash, s);
	g_hash_table_foreach_remove(s->quarantines, is_old_quarantine, s);
	g_hash_table_foreach_remove(s->released, is_old_release, s);
	g_hash_table_foreach_remove(s->completions, is_old_completion, s);
	mh_poison_sweep_later(s);
}

void
mh_poison_sweep_later(struct mh_poison *s)
{
	bool any = g_hash_table_size(s->crashes) +
		g_hash_table_size(s->quarantines) +
		g_hash_table_size(s->released) +
		g_hash_table_size(s->completions) >
	    0;

	if (any && s->sweep_timer == NULL)
		mh_timer_set(s->k, &s->sweep_timer, SWEEP_US, on_sweep, s);
}

static void
destroy(void *self)
{
	struct mh_poison *s = self;

	mh_timer_stop(s->k, &s->check_timer);
	mh_timer_stop(s->k, &s->sweep_timer);
	g_array_free(s->withdrawn, TRUE);
	g_hash_table_destroy(s->evidence);
	g_ptr_array_free(s->suspects, TRUE);
	g_hash_table_destroy(s->suspected);
	g_hash_table_destroy(s->crashes);
	g_hash_table_destroy(s->quarantines);
	g_hash_table_destroy(s->released);
	g_hash_table_destroy(s->completions);
	g_hash_table_destroy(s->sound[0]);
	g_hash_table_destroy(s->sound[1]);
	g_free(s);
}

void
mh_poison_create(struct mh_kern *k, const struct mh_poison_ops *ops)
{
	struct mh_poison *s = g_new0(struct mh_poison, 1);

	s->k = k;
	s->ops = *ops;
	s->withdrawn = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	s->crashes = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, mh_poison_free_crash);
	s->quarantines = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_quarantine);
	s->released =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	s->completions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, mh_poison_free_completion);
	s->evidence =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	s->suspects = g_ptr_array_new_with_free_func(mh_poison_free_suspects);
	s->suspected =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (int i = 0; i < 2; i++)
		s->sound[i] = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, NULL);
	mh_kern_add(k, "poison", s, NULL, destroy);
}
