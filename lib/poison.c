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

/* Calls that break with their endpoint do so within some milliseconds. */
#define SETTLE_US (30 * MH_US_PER_MS)
/*
 * What the others had there has been told by then: judged before, an end is
 * laid to whoever ran beside the cause at this entry.
 */
#define RIPE_US (150 * MH_US_PER_MS)
/* An end speaks against a request for so long: callers may ask seldom. */
#define KEEP_US (180 * MH_US_PER_S)
/* Bounds on what is kept and on what is new in a second. */
#define ENDS_MOST 256
#define ENDS_A_SECOND 32
#define MEMBERS_MOST 64
#define WORDS_MOST 64
#define HOLDS_MOST 1024
#define RAN_MOST 4096
/*
 * Points that an end adds: half for a request that had run for a while, since
 * a cause shows when it begins.
 */
#define POINTS 2
#define POINTS_OLD 1
#define HOLD_POINTS (3 * POINTS)
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
/* What is told of a time so close to another is told of the same. */
#define SAME_RUN_US (1 * MH_US_PER_S)
/* What an endpoint sent before it ended arrives within this. */
#define ON_WAY_US (700 * MH_US_PER_MS)
/* One that ended is not back before. */
#define BACK_US (1 * MH_US_PER_S)

static struct mh_poison *
get(struct mh_kern *k)
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
mh_poison_key(uint64_t print, const char *pool)
{
	uint64_t of[] = { print, mh_hash(pool, strlen(pool)) };

	return mh_hash(of, sizeof(of));
}

/* ends */

/* Names what is seen now; no other of the same has that name but by chance. */
static uint64_t
new_word(const struct mh_poison *s, uint64_t key)
{
	uint64_t of[] = { key, (uint64_t)mh_now(s->k) };

	return mh_hash(of, sizeof(of)) | 1;
}

static void
free_ended(void *arg)
{
	struct ended *e = arg;

	g_array_free(e->members, TRUE);
	g_array_free(e->words, TRUE);
	g_array_free(e->past, TRUE);
	g_free(e->endpoint);
	g_free(e->pool);
	g_free(e);
}

static void look_later(struct mh_poison *s);
static void sweep_later(struct mh_poison *s);
static void work_out(struct mh_poison *s);

static void
drop_oldest(struct mh_poison *s)
{
	const struct ended *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->ended);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct ended *e = v;

		if (oldest == NULL || e->at_us < oldest->at_us)
			oldest = e;
	}
	s->stale = true;
	if (oldest != NULL)
		g_hash_table_remove(s->ended, oldest->endpoint);
}

/* A zone that is lost ends hundreds at once: these tell nothing. */
static bool
has_room(struct mh_poison *s)
{
	int64_t second = mh_now(s->k) / MH_US_PER_S;

	if (s->second != second)
		s->new_ends = 0;
	s->second = second;
	if (s->new_ends >= ENDS_A_SECOND) {
		mh_count(s->k, "poison_ends_left_out", 1);
		return false;
	}
	s->new_ends++;
	if (g_hash_table_size(s->ended) >= ENDS_MOST)
		drop_oldest(s);
	return true;
}

static bool
has_word(const GArray *words, uint64_t word)
{
	for (guint i = 0; word != 0 && i < words->len; i++) {
		if (g_array_index(words, uint64_t, i) == word)
			return true;
	}
	return false;
}

static void
add_word(GArray *words, uint64_t word)
{
	if (word != 0 && words->len < WORDS_MOST && !has_word(words, word))
		g_array_append_val(words, word);
}

/* What was told of the ends before is still under way. */
static void
know_past(struct ended *e, const struct ended *before)
{
	for (guint i = 0; i < before->words->len; i++)
		add_word(e->past, g_array_index(before->words, uint64_t, i));
	for (guint i = 0; i < before->past->len; i++)
		add_word(e->past, g_array_index(before->past, uint64_t, i));
}

static struct ended *
new_end(struct mh_poison *s, const struct end_seen *w)
{
	struct ended *e = g_new0(struct ended, 1);

	e->s = s;
	e->endpoint = g_strdup(w->endpoint);
	e->pool = g_strdup(w->pool);
	e->at_us = w->at_us;
	e->members = g_array_new(FALSE, FALSE, sizeof(struct member));
	e->words = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	e->past = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	add_word(e->words, w->word);
	return e;
}

/*
 * An end is told with its age, as a run is, and what was on its way for long
 * looks like a later one.  Where the endpoint had been shown to live, it was
 * taken for another end and told on, shown to be none and told on, by turns and
 * for ever.  The names tell which end is meant.
 */
struct ended *
mh_poison_ended(struct mh_poison *s, const struct end_seen *w)
{
	struct ended *e = g_hash_table_lookup(s->ended, w->endpoint), *before;

	if (e != NULL && has_word(e->past, w->word))
		return NULL;
	if (e != NULL &&
	    (!e->lives || has_word(e->words, w->word) ||
		w->at_us - e->at_us < w->same_us)) {
		add_word(e->words, w->word);
		return e;
	}
	if (!has_room(s))
		return NULL;
	before = g_hash_table_lookup(s->ended, w->endpoint);
	e = new_end(s, w);
	if (before != NULL)
		know_past(e, before);
	g_hash_table_replace(s->ended, e->endpoint, e);
	s->stale = true; /* rows name pools of what may be gone now */
	s->unripe++;
	look_later(s);
	sweep_later(s);
	return e;
}

bool
mh_poison_add(struct ended *e, uint64_t print, bool old)
{
	struct member m = { print, old };

	for (guint i = 0; i < e->members->len; i++) {
		struct member *o = &g_array_index(e->members, struct member, i);

		if (o->print != print)
			continue;
		if (!o->old || old)
			return false;
		o->old = false;
		e->s->stale = true;
		return true;
	}
	if (print == 0 || e->members->len >= MEMBERS_MOST)
		return false;
	g_array_append_val(e->members, m);
	e->s->stale = true;
	return true;
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

/* Where no call of ours tells that it goes on, it has ended. */
static void
settle(struct ended *e)
{
	struct mh_poison *s = e->s;

	e->settled = true;
	if (s->ops.still_open != NULL &&
	    s->ops.still_open(s->ops.arg, e->endpoint, e->at_us)) {
		e->lives = true;
		e->told = true; /* nobody has heard that it ended */
		mh_count(s->k, "poison_ends_false", 1);
		return;
	}
	mh_count(s->k, "poison_ends", 1);
	mh_poison_says(s, "endpoint-fell", "id=%s pool=%s requests=%u",
	    e->endpoint, e->pool, e->members->len);
	s->stale = true;
	e->told = false;
}

static void
on_look(void *arg)
{
	struct mh_poison *s = arg;
	GHashTableIter it;
	gpointer v;

	s->look = NULL;
	s->unripe = 0;
	g_hash_table_iter_init(&it, s->ended);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct ended *e = v;
		int64_t since = mh_now(s->k) - e->at_us;

		if (!e->settled && since >= SETTLE_US)
			settle(e);
		if (!e->ripe && since >= RIPE_US)
			e->ripe = s->stale = true;
		s->unripe += !e->ripe;
	}
	mh_poison_judge(s);
	mh_poison_tell(s);
	if (s->unripe > 0)
		look_later(s);
}

static void
look_later(struct mh_poison *s)
{
	if (s->look == NULL)
		s->look = mh_timer_start(s->k, SETTLE_US, on_look, s);
}

void
mh_poison_broke(struct mh_kern *k, const struct mh_poison_end *b)
{
	struct mh_poison *s = get(k);
	/* After what is on its way, one that lived has ended again. */
	struct end_seen w = { b->endpoint, b->pool, mh_now(k), 0,
		ON_WAY_US + 1 };
	struct ended *e;

	if (s == NULL)
		return;
	e = g_hash_table_lookup(s->ended, b->endpoint);
	/* It was sent to an endpoint that had ended. */
	if (e != NULL && !e->lives &&
	    (b->sent_us >= e->at_us ||
		mh_now(k) - e->at_us >= MH_POISON_SAME_US))
		return;
	w.word = new_word(s, mh_hash(b->endpoint, strlen(b->endpoint)));
	e = mh_poison_ended(s, &w);
	if (e == NULL)
		return;
	if (mh_poison_add(e, b->print, b->old))
		e->told = false;
	look_later(s);
}

/* A hold that rests on an end that was none is over. */
void
mh_poison_take_back(struct mh_poison *s, const struct ended *e)
{
	work_out(s);
	for (guint i = 0; i < e->members->len; i++) {
		uint64_t print =
		    g_array_index(e->members, struct member, i).print;
		uint64_t key = mh_poison_key(print, e->pool);
		const struct row *r = g_hash_table_lookup(s->rows, &key);
		struct hold *h = g_hash_table_lookup(s->holds, &print);

		if (h != NULL && h->times == 1 &&
		    mh_now(s->k) - h->made_us < KEEP_US &&
		    (r == NULL || r->score < HOLD_POINTS))
			mh_poison_release(s, h, "the endpoint lives");
	}
}

void
mh_poison_answered(
    struct mh_kern *k, const char *endpoint, int64_t sent_us, bool same)
{
	struct mh_poison *s = get(k);
	struct ended *e;
	int64_t since;

	if (s == NULL || g_hash_table_size(s->ended) == 0)
		return;
	e = g_hash_table_lookup(s->ended, endpoint);
	if (e == NULL || e->lives)
		return;
	since = mh_now(k) - e->at_us;
	if (sent_us < e->at_us ? since < ON_WAY_US : !same && since >= BACK_US)
		return;
	e->lives = true;
	e->told = !e->settled;
	e->settled = true;
	s->stale = true;
	mh_count(k, "poison_ends_false", 1);
	mh_poison_says(s, "endpoint-lives", "id=%s pool=%s after_ms=%" PRId64,
	    e->endpoint, e->pool, mh_ms(since));
	mh_poison_take_back(s, e);
	mh_poison_tell(s);
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

static struct row *
row_of(struct mh_poison *s, uint64_t print, const char *pool)
{
	uint64_t key = mh_poison_key(print, pool);
	struct row *r = g_hash_table_lookup(s->rows, &key);

	if (r == NULL) {
		r = g_new0(struct row, 1);
		r->print = print;
		r->pool = pool;
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

/*
 * An end is laid to those against whom most speaks already.  Laid to all that
 * ran there, it made a cause of whoever met the real one three times.
 */
static void
lay(struct mh_poison *s, const struct ended *e)
{
	uint32_t top = 0, blamed = 0;

	for (guint i = 0; i < e->members->len; i++) {
		const struct member *m =
		    &g_array_index(e->members, struct member, i);
		const struct row *r;

		if (was_cleared(s, e, m->print))
			continue;
		r = row_of(s, m->print, e->pool);
		blamed = r->score > top ? 1 : blamed + (r->score == top);
		top = MAX(top, r->score);
	}
	for (guint i = 0; i < e->members->len; i++) {
		const struct member *m =
		    &g_array_index(e->members, struct member, i);
		struct row *r;

		if (was_cleared(s, e, m->print))
			continue;
		r = row_of(s, m->print, e->pool);
		if (r->score != top)
			continue;
		r->score += m->old ? POINTS_OLD : POINTS;
		r->ends++;
		r->ends_alone += blamed == 1;
		r->last_alone = blamed == 1;
	}
}

static void
work_out(struct mh_poison *s)
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
		r->score = LIKELY_POINTS;
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
		uint64_t key = mh_poison_key(print, e->pool);
		const struct row *r = g_hash_table_lookup(s->rows, &key);

		if (print == by || (r != NULL && r->score >= HOLD_POINTS) ||
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
 * other, end under whoever asks again too.
 */
static uint32_t
points_needed(struct mh_poison *s, const struct row *r, uint32_t *others)
{
	uint32_t size = s->ops.pool_size == NULL
	    ? POOL_DEFAULT
	    : s->ops.pool_size(s->ops.arg, r->pool);
	uint32_t points = HOLD_POINTS;

	size = MAX(size, POOL_LEAST);
	*others = other_ends(s, r);
	points += *others > 0 ? POINTS : 0;
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

	work_out(s);
	g_hash_table_iter_init(&it, s->rows);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct row *r = v;

		if (r->score >= HOLD_POINTS)
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
	if (until_us - h->until_us > SAME_RUN_US && until_us > mh_now(s->k)) {
		h->made_us = mh_now(s->k);
		h->until_us = until_us;
		if (s->ops.held != NULL)
			s->ops.held(s->ops.arg, print);
	}
	h->times = MAX(times, h->times);
	sweep_later(s);
	return h;
}

void
mh_poison_release(struct mh_poison *s, struct hold *h, const char *why)
{
	mh_count(s->k, "requests_released", 1);
	mh_poison_says(s, "request-released",
	    "print=%016" PRIx64 " pool=%s why=\"%s\"", h->print, h->pool, why);
	s->stale = true;
	g_hash_table_remove(s->holds, &h->print);
}

uint64_t
mh_poison_word(const struct ran *r)
{
	return r->n_words == 0 ? 0
			       : r->words[(r->n_words - 1) % MH_POISON_WORDS];
}

/*
 * The time of a run is told as its age, which leaves out what the word was on
 * its way: where that is long it comes back as a later run.  Taken for news, it
 * went from process to process for ever, and what each of them had to do with
 * it held up the links and kept it so.  Known by its name, it is taken once.
 */
static bool
is_known(const struct ran *r, uint64_t word)
{
	for (uint32_t i = 0; word != 0 && i < MH_POISON_WORDS; i++) {
		if (r->words[i] == word)
			return true;
	}
	return false;
}

bool
mh_poison_clear(struct mh_poison *s, const struct run *n)
{
	uint64_t key = mh_poison_key(n->print, n->pool);
	struct ran *r = g_hash_table_lookup(s->ran, &key);
	struct hold *h = g_hash_table_lookup(s->holds, &n->print);

	if (r == NULL && g_hash_table_size(s->ran) >= RAN_MOST)
		return false;
	if (r == NULL) {
		r = g_new0(struct ran, 1);
		r->print = n->print;
		r->pool = g_strdup(n->pool);
		g_hash_table_insert(s->ran, g_memdup2(&key, sizeof(key)), r);
	} else if (is_known(r, n->word) || n->at_us - r->at_us < SAME_RUN_US) {
		return false;
	}
	r->at_us = n->at_us;
	r->words[r->n_words++ % MH_POISON_WORDS] = n->word;
	r->told = true;
	s->stale = true;
	if (h != NULL && strcmp(h->pool, n->pool) == 0 &&
	    h->made_us <= n->at_us)
		mh_poison_release(s, h, "it has run");
	sweep_later(s);
	return true;
}

void
mh_poison_ran(struct mh_kern *k, uint64_t print, const char *pool)
{
	struct mh_poison *s = get(k);
	struct run n = { print, pool, mh_now(k), 0 };
	uint64_t key;
	struct ran *r;

	if (s == NULL || print == 0 ||
	    (g_hash_table_size(s->ended) == 0 &&
		g_hash_table_size(s->holds) == 0))
		return;
	work_out(s);
	key = mh_poison_key(print, pool);
	if (!g_hash_table_contains(s->rows, &key))
		return;
	n.word = new_word(s, key);
	if (!mh_poison_clear(s, &n))
		return;
	r = g_hash_table_lookup(s->ran, &key);
	r->told = false;
	mh_count(k, "poison_cleared", 1);
	mh_poison_tell(s);
}

int64_t
mh_poison_held_us(struct mh_kern *k, uint64_t print)
{
	struct mh_poison *s = get(k);
	const struct hold *h =
	    s == NULL ? NULL : g_hash_table_lookup(s->holds, &print);

	return h == NULL ? 0 : MAX(h->until_us - mh_now(k), 0);
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
	struct mh_poison *s = get(k);
	uint64_t of[2], key;
	const struct row *r;
	uint32_t score;

	if (s == NULL || print == 0 ||
	    (g_hash_table_size(s->ended) == 0 &&
		g_hash_table_size(s->holds) == 0))
		return 0;
	work_out(s);
	key = mh_poison_key(print, pool);
	r = g_hash_table_lookup(s->rows, &key);
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
	struct mh_poison *s = get(k);
	uint64_t key;
	const struct row *r;

	if (s == NULL || print == 0 || s->unripe == 0)
		return false;
	work_out(s);
	key = mh_poison_key(print, pool);
	r = g_hash_table_lookup(s->rows, &key);
	return r != NULL && r->score >= LIKELY_POINTS &&
	    just_broke(s, print, pool);
}

json_t *
mh_poison_state(struct mh_kern *k)
{
	struct mh_poison *s = get(k);
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
	return mh_now(((struct mh_poison *)arg)->k) - e->at_us >= KEEP_US;
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
	return mh_now(((struct mh_poison *)arg)->k) - r->at_us >= KEEP_US;
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
	g_hash_table_foreach_remove(s->ran, old_ran, s);
	sweep_later(s);
}

static void
sweep_later(struct mh_poison *s)
{
	bool any = g_hash_table_size(s->ended) + g_hash_table_size(s->holds) +
		g_hash_table_size(s->ran) >
	    0;

	if (any && s->sweep == NULL)
		s->sweep = mh_timer_start(s->k, SWEEP_US, on_sweep, s);
}

static void
free_ran(void *arg)
{
	struct ran *r = arg;

	g_free(r->pool);
	g_free(r);
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
	g_hash_table_destroy(s->ran);
	g_free(s);
}

void
mh_poison_create(struct mh_kern *k, const struct mh_poison_ops *ops)
{
	struct mh_poison *s = g_new0(struct mh_poison, 1);

	s->k = k;
	s->ops = *ops;
	s->ended =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_ended);
	s->holds =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_hold);
	s->ran = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_ran);
	s->rows =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	mh_kern_add(k, "poison", s, NULL, destroy);
}
