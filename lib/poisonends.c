/**
 * DOC: What speaks for and against requests under which endpoints end: the
 * ends, with what the endpoints had, and runs that went well.
 */

#include "poisonint.h"

#include "gate.h"

#include <string.h>

/* Calls that break with their endpoint do so within some milliseconds. */
#define SETTLE_US (30 * MH_US_PER_MS)
/*
 * What the others had there has been told by then: judged before, an end is
 * laid to whoever ran beside the cause at this entry.
 */
#define RIPE_US (150 * MH_US_PER_MS)
/* Bounds on what is kept and on what is new in a second. */
#define ENDS_MOST 256
#define ENDS_A_SECOND 32
#define MEMBERS_MOST 64
#define END_IDS_MOST 64
#define RAN_MOST 4096
/* What an endpoint sent before it ended arrives within this. */
#define ON_WAY_US (700 * MH_US_PER_MS)
/* One that ended is not back before. */
#define BACK_US (1 * MH_US_PER_S)

/* Of what is seen now; no other of the same has it but by chance. */
static uint64_t
new_id(const struct mh_poison *s, uint64_t key)
{
	uint64_t of[] = { key, (uint64_t)mh_now(s->k) };

	return mh_hash(of, sizeof(of)) | 1;
}

/* ends */

static void look_later(struct mh_poison *s);

void
mh_poison_free_ended(void *arg)
{
	struct ended *e = arg;

	g_array_free(e->members, TRUE);
	g_array_free(e->ids, TRUE);
	g_array_free(e->past_ids, TRUE);
	g_free(e->endpoint);
	g_free(e->pool);
	g_free(e);
}

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
	if (id != 0 && ids->len < END_IDS_MOST && !has_id(ids, id))
		g_array_append_val(ids, id);
}

/* What was told of the ends before is still under way. */
static void
know_past(struct ended *e, const struct ended *before)
{
	for (guint i = 0; i < before->ids->len; i++)
		add_id(e->past_ids, g_array_index(before->ids, uint64_t, i));
	for (guint i = 0; i < before->past_ids->len; i++)
		add_id(
		    e->past_ids, g_array_index(before->past_ids, uint64_t, i));
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
	e->ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	e->past_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	add_id(e->ids, w->id);
	return e;
}

/*
 * An end is told with its age, as a run is, and what was on its way for long
 * looks like a later one.  Where the endpoint had been shown to live, it was
 * taken for another end and told on, shown to be none and told on, by turns and
 * for ever.  Its id tells which end is meant.
 */
struct ended *
mh_poison_ended(struct mh_poison *s, const struct end_seen *w, bool *is_new)
{
	struct ended *e = g_hash_table_lookup(s->ended, w->endpoint), *before;

	*is_new = false;
	if (e != NULL && has_id(e->past_ids, w->id))
		return NULL;
	if (e != NULL &&
	    (!e->lives || has_id(e->ids, w->id) ||
		w->at_us - e->at_us < w->same_us)) {
		add_id(e->ids, w->id);
		return e;
	}
	if (!has_room(s))
		return NULL;
	before = g_hash_table_lookup(s->ended, w->endpoint);
	e = new_end(s, w);
	*is_new = true;
	if (before != NULL)
		know_past(e, before);
	g_hash_table_replace(s->ended, e->endpoint, e);
	s->stale = true; /* rows name pools of what may be gone now */
	s->unripe++;
	look_later(s);
	mh_poison_sweep_later(s);
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
		/* Of several calls the longest shows what the endpoint bore. */
		if (o->old || !old)
			return false;
		o->old = true;
		e->s->stale = true;
		return true;
	}
	if (print == 0 || e->members->len >= MEMBERS_MOST)
		return false;
	g_array_append_val(e->members, m);
	e->s->stale = true;
	return true;
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
	struct mh_poison *s = mh_poison_of(k);
	/* After what is on its way, one that lived has ended again. */
	struct end_seen w = { b->endpoint, b->pool, mh_now(k), 0,
		ON_WAY_US + 1 };
	struct ended *e;
	bool is_new;

	if (s == NULL)
		return;
	e = g_hash_table_lookup(s->ended, b->endpoint);
	/* It was sent to an endpoint that had ended. */
	if (e != NULL && !e->lives &&
	    (b->sent_us >= e->at_us ||
		mh_now(k) - e->at_us >= MH_POISON_SAME_US))
		return;
	w.id = new_id(s, mh_hash(b->endpoint, strlen(b->endpoint)));
	e = mh_poison_ended(s, &w, &is_new);
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
	mh_poison_work_out(s);
	for (guint i = 0; i < e->members->len; i++) {
		uint64_t print =
		    g_array_index(e->members, struct member, i).print;
		const struct row *r = mh_poison_row(s, print, e->pool);
		struct hold *h = g_hash_table_lookup(s->holds, &print);

		if (h != NULL && h->times == 1 &&
		    mh_now(s->k) - h->made_us < MH_POISON_KEEP_US &&
		    (r == NULL || r->score < MH_POISON_HOLD_POINTS))
			mh_poison_release(s, h, "the endpoint lives");
	}
}

void
mh_poison_answered(
    struct mh_kern *k, const char *endpoint, int64_t sent_us, bool same)
{
	struct mh_poison *s = mh_poison_of(k);
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

/* runs */

void
mh_poison_free_ran(void *arg)
{
	struct ran *r = arg;

	g_free(r->pool);
	g_free(r);
}

uint64_t
mh_poison_run_id(const struct ran *r)
{
	return r->n_ids == 0 ? 0 : r->ids[(r->n_ids - 1) % MH_POISON_RUN_IDS];
}

/*
 * The time of a run is told as its age, which leaves out what the word was on
 * its way: where that is long it comes back as a later run.  Taken for news, it
 * went from process to process for ever, and what each of them had to do with
 * it held up the links and kept it so.  Known by its id, it is taken once.
 */
static bool
is_known(const struct ran *r, uint64_t id)
{
	for (uint32_t i = 0; id != 0 && i < MH_POISON_RUN_IDS; i++) {
		if (r->ids[i] == id)
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
	} else if (is_known(r, n->id) ||
	    n->at_us - r->at_us < MH_POISON_RUN_US) {
		return false;
	}
	r->at_us = n->at_us;
	r->ids[r->n_ids++ % MH_POISON_RUN_IDS] = n->id;
	r->told = true;
	s->stale = true;
	if (h != NULL && strcmp(h->pool, n->pool) == 0 &&
	    h->made_us <= n->at_us)
		mh_poison_release(s, h, "it has run");
	mh_poison_sweep_later(s);
	return true;
}

void
mh_poison_ran(struct mh_kern *k, uint64_t print, const char *pool)
{
	struct mh_poison *s = mh_poison_of(k);
	struct run n = { print, pool, mh_now(k), 0 };
	uint64_t key;
	struct ran *r;

	if (s == NULL || print == 0 ||
	    (g_hash_table_size(s->ended) == 0 &&
		g_hash_table_size(s->holds) == 0))
		return;
	mh_poison_work_out(s);
	if (mh_poison_row(s, print, pool) == NULL)
		return;
	key = mh_poison_key(print, pool);
	n.id = new_id(s, key);
	if (!mh_poison_clear(s, &n))
		return;
	r = g_hash_table_lookup(s->ran, &key);
	r->told = false;
	mh_count(k, "poison_cleared", 1);
	mh_poison_tell(s);
}
