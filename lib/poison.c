/**
 * DOC: Requests under which endpoints end.
 *
 * Some requests make every endpoint that runs them end.  Their callers ask
 * again, at any process, and each time it is a new request; what others had
 * running there breaks with it.  So every process notes what an endpoint had
 * when it ended, and all put that together:
 *
 * - an end is laid to those of its requests against which most speaks already,
 *   so that what happens to run beside a cause is not taken for one;
 * - who is suspected runs where no other suspect does, so that the next end
 *   tells them apart, and who runs to its end is cleared;
 * - after three ends that are laid to a request alone it is held: refused for
 *   some minutes, then tried once.  Where other endpoints of the pool end as
 *   well, more is asked for, since they end by themselves;
 * - an endpoint that answers afterwards had not ended, and what was laid to
 *   its requests is taken back.
 *
 * Nothing here waits for the platform: an end shows by calls that break.
 */

#include "poisonint.h"

#include "gate.h"

#include <stdarg.h>
#include <string.h>

#define HOLDS_MOST 1024
/* Points that an end adds, and one unlike most of the request's ends. */
#define POINTS (MH_POISON_HOLD_POINTS / 3)
#define POINTS_OTHER 1
/* Of three ends so many are its own, or one more is asked for. */
#define ENDS_ALONE 2
/* Suspected this much, a request explains the end of its endpoint. */
#define LIKELY_POINTS (2 * POINTS)
/* Other ends of the pool count for so long... */
#define OTHERS_US (20 * MH_US_PER_S)
/* ...and ask for one end more; for two at this part of the pool. */
#define OTHERS_MANY 2
#define POOL_LEAST 4
#define POOL_DEFAULT 8
/* After a hold one end holds it again, for so long. */
#define FORGET_US (3600 * MH_US_PER_S)
#define SWEEP_US (5 * MH_US_PER_S)
/* Word of a hold may be on its way for so long, which its age leaves out. */
#define LATE_WORD_US (10 * MH_US_PER_S)

struct mh_poison *
mh_poison_of(struct mh_kern *k)
{
	return mh_kern_get(k, "poison");
}

void
mh_poison_says(struct mh_poison *s, const char *kind, const char *fmt, ...)
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
mh_poison_print(const uint64_t *parts, size_t n)
{
	return MAX(mh_hash(parts, n * sizeof(*parts)), 1);
}

uint64_t
mh_poison_key(uint64_t print, const char *pool)
{
	uint64_t of[] = { print, mh_hash(pool, strlen(pool)) };

	return mh_hash(of, sizeof(of));
}

/* causes */

static gint
by_time(gconstpointer a, gconstpointer b)
{
	const struct ended *x = *(const struct ended *const *)a;
	const struct ended *y = *(const struct ended *const *)b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static bool
counts(const struct ended *e)
{
	return e->settled && e->ripe && !e->lives;
}

/* The ends that count, in their order. */
static GPtrArray *
ends_of(struct mh_poison *s)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->ended);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct ended *e = v;

		if (counts(e))
			g_ptr_array_add(all, v);
	}
	g_ptr_array_sort(all, by_time);
	return all;
}

struct row *
mh_poison_row(struct mh_poison *s, uint64_t print, const char *pool)
{
	uint64_t key = mh_poison_key(print, pool);

	return g_hash_table_lookup(s->rows, &key);
}

static struct row *
row_of(struct mh_poison *s, uint64_t print, const char *pool)
{
	struct row *r = mh_poison_row(s, print, pool);
	uint64_t key;

	if (r == NULL) {
		r = g_new0(struct row, 1);
		r->print = print;
		r->pool = pool;
		key = mh_poison_key(print, pool);
		g_hash_table_insert(s->rows, g_memdup2(&key, sizeof(key)), r);
	}
	return r;
}

static bool
was_cleared(struct mh_poison *s, const struct ended *e, uint64_t print)
{
	uint64_t key = mh_poison_key(print, e->pool);
	const struct ran *r = g_hash_table_lookup(s->ran, &key);

	return r != NULL && r->at_us >= e->at_us;
}

/** struct most - what the likeliest of an end's requests have against them. */
struct most {
	uint32_t score;
	uint32_t seen;
	uint32_t blamed; /* so many have */
};

static bool
is_blamed(const struct row *r, const struct most *t)
{
	return r->score == t->score || r->seen == t->seen;
}

/* The requests of an end that have not run since, as rows. */
static GPtrArray *
suspects_of(struct mh_poison *s, const struct ended *e, GArray *old)
{
	GPtrArray *rows = g_ptr_array_new();

	for (guint i = 0; i < e->members->len; i++) {
		const struct member *m =
		    &g_array_index(e->members, struct member, i);

		if (was_cleared(s, e, m->print))
			continue;
		g_ptr_array_add(rows, row_of(s, m->print, e->pool));
		g_array_append_val(old, m->old);
	}
	return rows;
}

static bool
shows_late(const struct row *r)
{
	return r->ends_late > r->ends - r->ends_late;
}

/*
 * A cause shows soon after it began at most of its ends, or late at most; what
 * it met by chance is of the other kind and adds half.
 */
static uint32_t
points_of(const struct row *r)
{
	uint32_t soon = r->ends - r->ends_late;

	return r->base + POINTS * MAX(soon, r->ends_late) +
	    POINTS_OTHER * MIN(soon, r->ends_late);
}

/*
 * An end is laid to those against whom most speaks already, or who were there
 * most often.  Laid to all that ran there, it made a cause of whoever met the
 * real one three times; by points alone, of whoever had begun beside one that
 * shows late and has half of the points for its first end.
 */
static void
lay(struct mh_poison *s, const struct ended *e)
{
	GArray *old = g_array_new(FALSE, FALSE, sizeof(bool));
	GPtrArray *rows = suspects_of(s, e, old);
	struct most t = { 0 };

	for (guint i = 0; i < rows->len; i++) {
		const struct row *r = rows->pdata[i];

		t.score = MAX(t.score, r->score);
		t.seen = MAX(t.seen, r->seen);
	}
	for (guint i = 0; i < rows->len; i++)
		t.blamed += is_blamed(rows->pdata[i], &t);
	for (guint i = 0; i < rows->len; i++) {
		struct row *r = rows->pdata[i];
		bool was_old = g_array_index(old, bool, i);

		if (is_blamed(r, &t)) {
			r->ends++;
			r->ends_late += was_old;
			r->score = points_of(r);
			r->ends_alone += t.blamed == 1;
			r->last_alone = t.blamed == 1;
		}
		r->seen++;
	}
	g_ptr_array_free(rows, TRUE);
	g_array_free(old, TRUE);
}

void
mh_poison_work_out(struct mh_poison *s)
{
	GPtrArray *ends;
	GHashTableIter it;
	gpointer v;

	if (!s->stale)
		return;
	s->stale = false;
	g_hash_table_remove_all(s->rows);
	g_hash_table_iter_init(&it, s->holds);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct hold *h = v;
		bool over = h->until_us <= mh_now(s->k);
		struct row *r;

		if (!over && h->times == 1)
			continue;
		/* On trial, or held after one: one more end is enough. */
		r = row_of(s, h->print, h->pool);
		r->score = r->base = LIKELY_POINTS;
		r->seen = LIKELY_POINTS / POINTS;
		r->ends_alone = ENDS_ALONE - 1;
	}
	ends = ends_of(s);
	for (guint i = 0; i < ends->len; i++)
		lay(s, ends->pdata[i]);
	g_ptr_array_free(ends, TRUE);
}

/* Whether a request explains an end: one that is likely a cause of ends. */
static bool
is_explained(struct mh_poison *s, const struct ended *e, uint64_t by)
{
	for (guint i = 0; i < e->members->len; i++) {
		uint64_t print =
		    g_array_index(e->members, struct member, i).print;
		const struct row *r = mh_poison_row(s, print, e->pool);

		if (print == by ||
		    (r != NULL && r->score >= MH_POISON_HOLD_POINTS) ||
		    g_hash_table_contains(s->holds, &print))
			return true;
	}
	return false;
}

/* Ends of the pool lately that no request explains. */
static uint32_t
other_ends(struct mh_poison *s, const struct row *r)
{
	GHashTableIter it;
	gpointer v;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, s->ended);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct ended *e = v;

		n += counts(e) && mh_now(s->k) - e->at_us < OTHERS_US &&
		    strcmp(e->pool, r->pool) == 0 &&
		    !is_explained(s, e, r->print);
	}
	return n;
}

/*
 * Whether the ends can be laid to it without another that was as likely.  Who
 * ran beside a cause at two ends had all its points from that one, and a third
 * end, of an endpoint that ended by itself, held it as a cause of its own.  The
 * first end is seldom one's own: all are as likely then.
 */
static bool
stands_alone(const struct row *r)
{
	return r->last_alone && r->ends_alone >= ENDS_ALONE;
}

/*
 * Points that hold a request.  Endpoints that end by themselves, one after the
 * other, end under whoever asks again too; who runs for long meets such an end
 * easily, and three of them in a pool of which no other end is known yet.
 */
static uint32_t
points_needed(struct mh_poison *s, const struct row *r, uint32_t *others)
{
	uint32_t size = s->ops.pool_size == NULL
	    ? POOL_DEFAULT
	    : s->ops.pool_size(s->ops.arg, r->pool);
	uint32_t points = MH_POISON_HOLD_POINTS;

	size = MAX(size, POOL_LEAST);
	*others = other_ends(s, r);
	points += *others > 0 || shows_late(r) ? POINTS : 0;
	points += *others * OTHERS_MANY >= size ? POINTS : 0;
	return stands_alone(r) ? points : points + POINTS;
}

static void
hold_cause(struct mh_poison *s, const struct row *r)
{
	struct hold *h = g_hash_table_lookup(s->holds, &r->print);
	uint32_t others, needed = points_needed(s, r, &others), times;
	int64_t for_us;

	if (r->score < needed || (h != NULL && h->until_us > mh_now(s->k)))
		return;
	times = h == NULL ? 1 : h->times + 1;
	for_us = MH_POISON_HOLD_US << MIN(times - 1, MH_POISON_DOUBLINGS);
	mh_count(s->k, "requests_held", 1);
	mh_poison_says(s, "request-held",
	    "print=%016" PRIx64 " pool=%s ends=%u points=%u of=%u others=%u "
	    "times=%u for_ms=%" PRId64,
	    r->print, r->pool, r->ends, r->score, needed, others, times,
	    mh_ms(for_us));
	h = mh_poison_hold(s, r->print, r->pool, mh_now(s->k) + for_us, times);
	if (h != NULL)
		h->told = false;
}

void
mh_poison_judge(struct mh_poison *s)
{
	GArray *likely = g_array_new(FALSE, FALSE, sizeof(struct row));
	GHashTableIter it;
	gpointer v;

	mh_poison_work_out(s);
	g_hash_table_iter_init(&it, s->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct row *r = v;

		if (r->score >= MH_POISON_HOLD_POINTS)
			g_array_append_vals(likely, r, 1);
	}
	for (guint i = 0; i < likely->len; i++)
		hold_cause(s, &g_array_index(likely, struct row, i));
	g_array_free(likely, TRUE);
}

/* holds */

static void
free_hold(void *arg)
{
	struct hold *h = arg;

	g_free(h->pool);
	g_free(h);
}

struct hold *
mh_poison_hold(struct mh_poison *s, uint64_t print, const char *pool,
    int64_t until_us, uint32_t times)
{
	struct hold *h = g_hash_table_lookup(s->holds, &print);

	if (h == NULL && g_hash_table_size(s->holds) >= HOLDS_MOST) {
		mh_count(s->k, "poison_holds_left_out", 1);
		return NULL;
	}
	if (h == NULL) {
		h = g_new0(struct hold, 1);
		h->print = print;
		h->pool = g_strdup(pool);
		h->told = true;
		g_hash_table_insert(s->holds, &h->print, h);
	}
	/* Word of one hold that comes later is not another. */
	if (until_us - h->until_us > MH_POISON_RUN_US &&
	    until_us > mh_now(s->k)) {
		h->made_us = mh_now(s->k);
		h->until_us = until_us;
		if (s->ops.held != NULL)
			s->ops.held(s->ops.arg, print);
	}
	h->times = MAX(times, h->times);
	mh_poison_sweep_later(s);
	return h;
}

void
mh_poison_release(struct mh_poison *s, struct hold *h, const char *why)
{
	int64_t now = mh_now(s->k);

	mh_count(s->k, "requests_released", 1);
	mh_poison_says(s, "request-released",
	    "print=%016" PRIx64 " pool=%s why=\"%s\"", h->print, h->pool, why);
	s->stale = true;
	if (g_hash_table_size(s->released) < HOLDS_MOST)
		g_hash_table_replace(s->released,
		    g_memdup2(&h->print, sizeof(h->print)),
		    g_memdup2(&now, sizeof(now)));
	g_hash_table_remove(s->holds, &h->print);
}

/*
 * Who was paused meanwhile still has the hold and tells of it again.  What new
 * ends show each process finds by itself.
 */
bool
mh_poison_was_released(
    const struct mh_poison *s, uint64_t print, int64_t made_us)
{
	const int64_t *at = g_hash_table_lookup(s->released, &print);

	return at != NULL && made_us <= *at + LATE_WORD_US;
}

int64_t
mh_poison_held_us(struct mh_kern *k, uint64_t print)
{
	struct mh_poison *s = mh_poison_of(k);
	const struct hold *h =
	    s == NULL ? NULL : g_hash_table_lookup(s->holds, &print);

	return h == NULL ? 0 : MAX(h->until_us - mh_now(k), 0);
}

static bool
has_member(const struct ended *e, uint64_t print)
{
	for (guint i = 0; i < e->members->len; i++) {
		if (g_array_index(e->members, struct member, i).print == print)
			return true;
	}
	return false;
}

/* An endpoint that had it has just ended; nothing is laid to it yet. */
static bool
just_broke(const struct mh_poison *s, uint64_t print, const char *pool)
{
	GHashTableIter it;
	gpointer v;

	if (s->unripe == 0)
		return false;
	g_hash_table_iter_init(&it, s->ended);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct ended *e = v;

		if (!e->ripe && !e->lives && strcmp(e->pool, pool) == 0 &&
		    has_member(e, print))
			return true;
	}
	return false;
}

uint64_t
mh_poison_apart(struct mh_kern *k, uint64_t print, const char *pool)
{
	struct mh_poison *s = mh_poison_of(k);
	uint64_t of[2];
	const struct row *r;
	uint32_t score;

	if (s == NULL || print == 0 ||
	    (g_hash_table_size(s->ended) == 0 &&
		g_hash_table_size(s->holds) == 0))
		return 0;
	mh_poison_work_out(s);
	r = mh_poison_row(s, print, pool);
	score = (r == NULL ? 0 : r->score) +
	    (just_broke(s, print, pool) ? POINTS : 0);
	if (score == 0)
		return 0;
	of[0] = print;
	of[1] = score;
	return mh_hash(of, sizeof(of)) | 1;
}

bool
mh_poison_waits(struct mh_kern *k, uint64_t print, const char *pool)
{
	struct mh_poison *s = mh_poison_of(k);
	const struct row *r;

	if (s == NULL || print == 0 || s->unripe == 0)
		return false;
	mh_poison_work_out(s);
	r = mh_poison_row(s, print, pool);
	return r != NULL && r->score >= LIKELY_POINTS &&
	    just_broke(s, print, pool);
}

json_t *
mh_poison_state(struct mh_kern *k)
{
	struct mh_poison *s = mh_poison_of(k);
	json_t *held = json_array();
	GHashTableIter it;
	gpointer v;

	if (s == NULL)
		return held;
	g_hash_table_iter_init(&it, s->holds);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct hold *h = v;
		char print[17];

		g_snprintf(print, sizeof(print), "%016" PRIx64, h->print);
		json_array_append_new(held,
		    json_pack("{s:s, s:s, s:I, s:i}", "request", print, "pool",
			h->pool, "held_ms",
			(json_int_t)mh_ms(MAX(h->until_us - mh_now(k), 0)),
			"times", (int)h->times));
	}
	return held;
}

/* forgetting */

static gboolean
old_end(gpointer key, gpointer value, gpointer arg)
{
	const struct ended *e = value;

	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - e->at_us >=
	    MH_POISON_KEEP_US;
}

static gboolean
old_hold(gpointer key, gpointer value, gpointer arg)
{
	const struct hold *h = value;

	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - h->until_us >= FORGET_US;
}

static gboolean
old_ran(gpointer key, gpointer value, gpointer arg)
{
	const struct ran *r = value;

	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - r->at_us >=
	    MH_POISON_KEEP_US;
}

static gboolean
old_release(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	return mh_now(((struct mh_poison *)arg)->k) - *(int64_t *)value >=
	    FORGET_US;
}

static void
on_sweep(void *arg)
{
	struct mh_poison *s = arg;

	s->sweep = NULL;
	s->stale = true;
	g_hash_table_remove_all(s->rows); /* they name pools of what goes */
	g_hash_table_foreach_remove(s->ended, old_end, s);
	g_hash_table_foreach_remove(s->holds, old_hold, s);
	g_hash_table_foreach_remove(s->released, old_release, s);
	g_hash_table_foreach_remove(s->ran, old_ran, s);
	mh_poison_sweep_later(s);
}

void
mh_poison_sweep_later(struct mh_poison *s)
{
	bool any = g_hash_table_size(s->ended) + g_hash_table_size(s->holds) +
		g_hash_table_size(s->released) + g_hash_table_size(s->ran) >
	    0;

	if (any && s->sweep == NULL)
		s->sweep = mh_timer_start(s->k, SWEEP_US, on_sweep, s);
}

static void
destroy(void *self)
{
	struct mh_poison *s = self;

	mh_timer_stop(s->k, &s->look);
	mh_timer_stop(s->k, &s->sweep);
	g_hash_table_destroy(s->rows);
	g_hash_table_destroy(s->ended);
	g_hash_table_destroy(s->holds);
	g_hash_table_destroy(s->released);
	g_hash_table_destroy(s->ran);
	g_free(s);
}

void
mh_poison_create(struct mh_kern *k, const struct mh_poison_ops *ops)
{
	struct mh_poison *s = g_new0(struct mh_poison, 1);

	s->k = k;
	s->ops = *ops;
	s->ended = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, mh_poison_free_ended);
	s->holds =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_hold);
	s->released =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	s->ran = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, mh_poison_free_ran);
	s->rows =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	mh_kern_add(k, "poison", s, NULL, destroy);
}
