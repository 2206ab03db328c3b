/**
 * DOC: What processes tell each other of requests under which endpoints end.
 *
 * News goes to every link at once, and on from processes that others are
 * linked to alone.  All that is told can come twice and in any order: ends and
 * their requests are united, the longest hold counts.
 */

#include "poisonint.h"

#include <string.h>

/* Of each kind in one frame, some 20 KB at most; the rest goes in the next. */
#define A_FRAME 32

/** struct out - a frame in the making. */
struct out {
	Mh__Poison m;
	Mh__Ended ended[A_FRAME], *ended_of[A_FRAME];
	Mh__Held held[A_FRAME], *held_of[A_FRAME];
	Mh__Ran ran[A_FRAME], *ran_of[A_FRAME];
	GPtrArray *lists;
};

static uint64_t
age(const struct mh_poison *s, int64_t at_us)
{
	return (uint64_t)MAX(mh_now(s->k) - at_us, 0);
}

static uint64_t *
prints_of(struct out *o, const struct ended *e, bool old, size_t *n)
{
	uint64_t *list = g_new(uint64_t, e->members->len + 1);

	*n = 0;
	for (guint i = 0; i < e->members->len; i++) {
		const struct member *m =
		    &g_array_index(e->members, struct member, i);

		if (m->old == old)
			list[(*n)++] = m->print;
	}
	g_ptr_array_add(o->lists, list);
	return list;
}

static void
put_ended(struct mh_poison *s, struct out *o, const struct ended *e)
{
	size_t i = o->m.n_ended++;
	Mh__Ended *m = &o->ended[i];

	mh__ended__init(m);
	m->endpoint = e->endpoint;
	m->pool = e->pool;
	m->age_us = age(s, e->at_us);
	m->lives = e->lives;
	m->end_id = e->ids->len == 0 ? 0 : g_array_index(e->ids, uint64_t, 0);
	m->fresh = prints_of(o, e, false, &m->n_fresh);
	m->old = prints_of(o, e, true, &m->n_old);
	o->ended_of[i] = m;
}

static void
put_held(struct mh_poison *s, struct out *o, const struct hold *h)
{
	size_t i = o->m.n_held++;
	Mh__Held *m = &o->held[i];

	mh__held__init(m);
	m->print = h->print;
	m->pool = h->pool;
	m->times = h->times;
	m->age_us = age(s, h->made_us);
	m->left_us = (uint64_t)MAX(h->until_us - mh_now(s->k), 0);
	o->held_of[i] = m;
}

static void
put_ran(struct mh_poison *s, struct out *o, const struct ran *r)
{
	size_t i = o->m.n_ran++;
	Mh__Ran *m = &o->ran[i];

	mh__ran__init(m);
	m->print = r->print;
	m->pool = r->pool;
	m->age_us = age(s, r->at_us);
	m->run_id = mh_poison_run_id(r);
	o->ran_of[i] = m;
}

static struct out *
out_create(void)
{
	struct out *o = g_new0(struct out, 1);

	mh__poison__init(&o->m);
	o->m.ended = o->ended_of;
	o->m.held = o->held_of;
	o->m.ran = o->ran_of;
	o->lists = g_ptr_array_new_with_free_func(g_free);
	return o;
}

static void
out_send(struct out *o, void (*send)(void *arg, Mh__Frame *f), void *arg)
{
	Mh__Frame f = MH__FRAME__INIT;

	f.body_case = MH__FRAME__BODY_POISON;
	f.poison = &o->m;
	send(arg, &f);
	g_ptr_array_free(o->lists, TRUE);
	g_free(o);
}

/** struct lists - what is to be told. */
struct lists {
	GPtrArray *ended;
	GPtrArray *holds;
	GPtrArray *ran;
};

static bool
is_ready(const struct ended *e, bool news)
{
	return e->settled && !(news && e->told);
}

/* What is not told yet, or all. */
static void
collect(struct mh_poison *s, struct lists *l, bool news)
{
	GHashTableIter it;
	gpointer v;

	l->ended = g_ptr_array_new();
	l->holds = g_ptr_array_new();
	l->ran = g_ptr_array_new();
	g_hash_table_iter_init(&it, s->ended);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (is_ready(v, news))
			g_ptr_array_add(l->ended, v);
	}
	g_hash_table_iter_init(&it, s->holds);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!news || !((struct hold *)v)->told)
			g_ptr_array_add(l->holds, v);
	}
	g_hash_table_iter_init(&it, s->ran);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!news || !((struct ran *)v)->told)
			g_ptr_array_add(l->ran, v);
	}
}

static void
send_lists(struct mh_poison *s, struct lists *l,
    void (*send)(void *arg, Mh__Frame *f), void *arg)
{
	guint most = MAX(l->ended->len, MAX(l->holds->len, l->ran->len));

	for (guint from = 0; from < most; from += A_FRAME) {
		struct out *o = out_create();
		guint to = from + A_FRAME;

		for (guint i = from; i < MIN(to, l->ended->len); i++)
			put_ended(s, o, l->ended->pdata[i]);
		for (guint i = from; i < MIN(to, l->holds->len); i++)
			put_held(s, o, l->holds->pdata[i]);
		for (guint i = from; i < MIN(to, l->ran->len); i++)
			put_ran(s, o, l->ran->pdata[i]);
		out_send(o, send, arg);
	}
	g_ptr_array_free(l->ended, TRUE);
	g_ptr_array_free(l->holds, TRUE);
	g_ptr_array_free(l->ran, TRUE);
}

void
mh_poison_tell(struct mh_poison *s)
{
	struct lists l;

	if (s->ops.tell == NULL)
		return;
	collect(s, &l, true);
	for (guint i = 0; i < l.ended->len; i++)
		((struct ended *)l.ended->pdata[i])->told = true;
	for (guint i = 0; i < l.holds->len; i++)
		((struct hold *)l.holds->pdata[i])->told = true;
	for (guint i = 0; i < l.ran->len; i++)
		((struct ran *)l.ran->pdata[i])->told = true;
	send_lists(s, &l, s->ops.tell, s->ops.arg);
}

void
mh_poison_all(
    struct mh_kern *k, void (*send)(void *arg, Mh__Frame *f), void *arg)
{
	struct mh_poison *s = mh_poison_of(k);
	struct lists l;

	if (s == NULL)
		return;
	collect(s, &l, false);
	send_lists(s, &l, send, arg);
}

/* from others */

static int64_t
then(const struct mh_poison *s, uint64_t age_us)
{
	return mh_now(s->k) - (int64_t)MIN(age_us, (uint64_t)G_MAXINT64 / 2);
}

static bool
take_prints(struct ended *e, const uint64_t *prints, size_t n, bool old)
{
	bool news = false;

	for (size_t i = 0; i < n; i++)
		news |= mh_poison_add(e, prints[i], old);
	return news;
}

static void
take_ended(struct mh_poison *s, const Mh__Ended *m, bool pass_on)
{
	struct end_seen w = { m->endpoint, m->pool, then(s, m->age_us),
		m->end_id, MH_POISON_SAME_US };
	bool is_new, news;
	struct ended *e = mh_poison_ended(s, &w, &is_new);

	if (e == NULL)
		return;
	if (is_new)
		e->settled = e->told = true;
	news = take_prints(e, m->fresh, m->n_fresh, false) | is_new;
	news |= take_prints(e, m->old, m->n_old, true);
	if (m->lives && !e->lives) {
		e->lives = news = true;
		s->stale = true;
		mh_poison_take_back(s, e);
	}
	/* What of ours is not told yet still is to be. */
	if (news && pass_on)
		e->told = false;
}

static void
take_held(struct mh_poison *s, const Mh__Held *m, bool pass_on)
{
	struct hold *h = g_hash_table_lookup(s->holds, &m->print);
	int64_t until_us = mh_now(s->k) +
	    (int64_t)MIN(m->left_us, (uint64_t)MH_POISON_HOLD_MOST_US);
	bool news = h == NULL || m->times > h->times;

	if (mh_poison_was_released(s, m->print, then(s, m->age_us)))
		return;
	h = mh_poison_hold(s, m->print, m->pool, until_us, m->times);
	if (h == NULL)
		return;
	s->stale = true;
	if (news) {
		h->made_us = then(s, m->age_us);
		h->told = !pass_on;
	}
}

static void
take_ran(struct mh_poison *s, const Mh__Ran *m, bool pass_on)
{
	struct run n = { m->print, m->pool, then(s, m->age_us), m->run_id };
	uint64_t key = mh_poison_key(m->print, m->pool);
	struct ran *r;

	if (!mh_poison_clear(s, &n))
		return;
	r = g_hash_table_lookup(s->ran, &key);
	r->told = !pass_on;
}

void
mh_poison_take(struct mh_kern *k, const Mh__Poison *m, bool pass_on)
{
	struct mh_poison *s = mh_poison_of(k);

	if (s == NULL)
		return;
	for (size_t i = 0; i < m->n_ended; i++)
		take_ended(s, m->ended[i], pass_on);
	for (size_t i = 0; i < m->n_held; i++)
		take_held(s, m->held[i], pass_on);
	for (size_t i = 0; i < m->n_ran; i++)
		take_ran(s, m->ran[i], pass_on);
	mh_poison_judge(s);
	mh_poison_tell(s);
}
