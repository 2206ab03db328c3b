/**
 * DOC: Parts of prompts that crash the endpoints that answer them.
 *
 * A part that is the cause crashes every endpoint that begins to answer it, so
 * one answer clears it of all crashes.  The suspects of a crash are the parts
 * of its requests that are not cleared.  Mostly the cause alone remains.  Where
 * nothing was cleared yet, several remain, among them sound parts that many
 * requests share; so the parts that have been the only suspects of two crashes,
 * and were in a third, are quarantined together: a request is refused if it has
 * all of them.  A sound request lacks one, runs, and clears the others.  So are
 * the parts that all crashes of a pool have in common.
 */

#include "poisonint.h"

#include "gate.h"

#include <string.h>

/* Parts known to be sound: a generation's size, and how long it is filled. */
#define SOUND_MAX 8192
#define SOUND_US (MH_POISON_KEEP_US / 2)
/* Crashes with just these suspects, and with these and others. */
#define EXACT_CRASHES 2
#define CAUSE_CRASHES 3
/* Crashes of a pool after which what all of them have in common is the cause */
#define COMMON_CRASHES 4
#define COMMON_US (4 * MH_US_PER_S)

uint64_t
mh_poison_part(uint64_t part, const char *pool)
{
	static const char kind[] = "part";
	uint64_t of[] = { part, mh_hash(pool, strlen(pool)),
		mh_hash(kind, strlen(kind)) };

	return mh_poison_fingerprint(of, G_N_ELEMENTS(of));
}

bool
mh_poison_is_sound(const struct mh_poison *s, uint64_t part, const char *pool)
{
	uint64_t key = mh_poison_key(part, pool);

	return g_hash_table_contains(s->sound[0], &part) ||
	    g_hash_table_contains(s->sound[1], &part) ||
	    g_hash_table_contains(s->completions, &key);
}

static void
note_sound(struct mh_poison *s, uint64_t part)
{
	if (g_hash_table_contains(s->sound[0], &part))
		return;
	if (g_hash_table_size(s->sound[0]) >= SOUND_MAX ||
	    mh_now(s->k) - s->sound_from_us > SOUND_US) {
		GHashTable *old = s->sound[1];

		g_hash_table_remove_all(old);
		s->sound[1] = s->sound[0];
		s->sound[0] = old;
		s->sound_from_us = mh_now(s->k);
	}
	g_hash_table_add(s->sound[0], g_memdup2(&part, sizeof(part)));
}

bool
mh_poison_crash_has(const struct crash *c, uint64_t name)
{
	for (guint i = 0; i < c->requests->len; i++) {
		if (g_array_index(c->requests, struct crash_request, i)
			.fingerprint == name)
			return true;
	}
	return false;
}

void
mh_poison_tell_sound(struct mh_poison *s, uint64_t part, const char *pool)
{
	uint64_t key = mh_poison_key(part, pool);
	struct completion_report n = { part, pool, mh_now(s->k),
		mh_poison_new_id(s, key), true };
	struct completion *r;

	if (!mh_poison_add_completion(s, &n))
		return;
	r = g_hash_table_lookup(s->completions, &key);
	r->announced = false;
	mh_count(s->k, "parts_cleared", 1);
	mh_event(
	    s->k, "part-cleared", "print=%016" PRIx64 " pool=%s", part, pool);
}

void
mh_poison_parts_answered(
    struct mh_kern *k, const uint64_t *parts, uint32_t n, const char *pool)
{
	struct mh_poison *s = mh_poison_of(k);
	bool told = false, suspects;

	if (s == NULL)
		return;
	suspects = g_hash_table_size(s->crashes) > 0;
	if (suspects)
		mh_poison_update_evidence(s);
	for (uint32_t i = 0; i < n; i++) {
		bool known = !suspects || mh_poison_is_sound(s, parts[i], pool);

		note_sound(s, parts[i]);
		if (known || !g_hash_table_contains(s->suspected, &parts[i]))
			continue;
		s->stale = true;
		mh_poison_tell_sound(s, parts[i], pool);
		told = true;
	}
	if (!told)
		return;
	mh_poison_evaluate(s); /* fewer suspects remain */
	mh_poison_announce(s);
}

/* suspects */

void
mh_poison_free_suspects(void *arg)
{
	struct part_suspects *p = arg;

	g_array_free(p->parts, TRUE);
	g_free(p);
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* The parts of a crash that are not cleared, sorted. */
static GArray *
suspects_of(const struct mh_poison *s, const struct crash *c)
{
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < c->requests->len; i++) {
		const struct crash_request *m =
		    &g_array_index(c->requests, struct crash_request, i);

		if (m->part && !mh_poison_is_sound(s, m->fingerprint, c->pool))
			g_array_append_val(parts, m->fingerprint);
	}
	g_array_sort(parts, by_value);
	return parts;
}

static bool
is_same(const GArray *a, const GArray *b)
{
	return a->len == b->len &&
	    memcmp(a->data, b->data, a->len * sizeof(uint64_t)) == 0;
}

/* Whether the sorted @all has each of the sorted @some. */
static bool
includes(const GArray *all, const GArray *some)
{
	guint at = 0;

	for (guint i = 0; i < some->len; i++) {
		uint64_t part = g_array_index(some, uint64_t, i);

		while (at < all->len && g_array_index(all, uint64_t, at) < part)
			at++;
		if (at == all->len || g_array_index(all, uint64_t, at) != part)
			return false;
	}
	return true;
}

static struct part_suspects *
find_suspects(
    const struct mh_poison *s, const struct crash *c, const GArray *parts)
{
	for (guint i = 0; i < s->suspects->len; i++) {
		struct part_suspects *p = s->suspects->pdata[i];

		if (strcmp(p->pool, c->pool) == 0 && is_same(p->parts, parts))
			return p;
	}
	return NULL;
}

/* Counts a crash; takes @parts over. */
static void
add_suspects(struct mh_poison *s, const struct crash *c, GArray *parts)
{
	struct part_suspects *p = find_suspects(s, c, parts);

	if (p == NULL) {
		p = g_new0(struct part_suspects, 1);
		p->pool = c->pool;
		p->parts = parts;
		g_ptr_array_add(s->suspects, p);
	} else {
		g_array_free(parts, TRUE);
	}
	p->crashes++;
}

static void
keep_common(GArray *common, const GArray *parts)
{
	for (guint i = common->len; i > 0; i--) {
		GArray one = { common->data + (i - 1) * sizeof(uint64_t), 1 };

		if (!includes(parts, &one))
			g_array_remove_index(common, i - 1);
	}
}

/*
 * Adds what all crashes of a pool that have suspects have in common.  A single
 * part may be one that all requests share, where there are several causes; by
 * COMMON_US a sound request has cleared that.
 */
static void
judge_common(struct mh_poison *s, const GPtrArray *crashes, const char *pool)
{
	GArray *common = NULL;
	struct part_suspects *c;
	int64_t first_us = 0;
	uint32_t n = 0;

	for (guint i = 0; i < crashes->len; i++) {
		const struct crash *o = crashes->pdata[i];
		GArray *parts;

		if (strcmp(o->pool, pool) != 0)
			continue;
		parts = suspects_of(s, o);
		if (parts->len == 0) {
			g_array_free(parts, TRUE);
			continue;
		}
		if (n++ == 0) {
			first_us = o->at_us;
			common = parts;
			continue;
		}
		keep_common(common, parts);
		g_array_free(parts, TRUE);
	}
	if (n < COMMON_CRASHES || common->len == 0 ||
	    (common->len == 1 && mh_now(s->k) - first_us < COMMON_US)) {
		if (common != NULL)
			g_array_free(common, TRUE);
		return;
	}
	c = g_new0(struct part_suspects, 1);
	c->pool = pool;
	c->parts = common;
	c->crashes = n;
	c->common = true;
	g_ptr_array_add(s->suspects, c);
}

static void
judge_pools(struct mh_poison *s, const GPtrArray *crashes)
{
	GHashTable *pools = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < crashes->len; i++) {
		const struct crash *c = crashes->pdata[i];

		if (g_hash_table_add(pools, c->pool))
			judge_common(s, crashes, c->pool);
	}
	g_hash_table_destroy(pools);
}

/* The parts of all crashes, also of those that are not evaluated yet. */
static void
note_suspected(struct mh_poison *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_remove_all(s->suspected);
	g_hash_table_iter_init(&it, s->crashes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash *c = v;

		for (guint i = 0; i < c->requests->len; i++) {
			const struct crash_request *m = &g_array_index(
			    c->requests, struct crash_request, i);

			if (m->part)
				g_hash_table_add(s->suspected,
				    g_memdup2(&m->fingerprint,
					sizeof(m->fingerprint)));
		}
	}
}

void
mh_poison_judge_parts(struct mh_poison *s, const GPtrArray *crashes)
{
	g_ptr_array_set_size(s->suspects, 0);
	note_suspected(s);
	for (guint i = 0; i < crashes->len; i++) {
		GArray *parts = suspects_of(s, crashes->pdata[i]);

		if (parts->len > 0)
			add_suspects(s, crashes->pdata[i], parts);
		else
			g_array_free(parts, TRUE);
	}
	for (guint i = 0; i < s->suspects->len; i++) {
		struct part_suspects *p = s->suspects->pdata[i];

		for (guint j = 0; j < s->suspects->len; j++) {
			const struct part_suspects *o = s->suspects->pdata[j];

			if (j != i && o->parts->len > p->parts->len &&
			    strcmp(o->pool, p->pool) == 0 &&
			    includes(o->parts, p->parts))
				p->more += o->crashes;
		}
	}
	judge_pools(s, crashes);
}

bool
mh_poison_is_cause(const struct part_suspects *p)
{
	return p->common ||
	    (p->crashes >= EXACT_CRASHES &&
		p->crashes + p->more >= CAUSE_CRASHES);
}

bool
mh_poison_has_cause(struct mh_poison *s, const struct crash *c)
{
	GArray *parts = suspects_of(s, c);
	bool has = false;

	for (guint i = 0; parts->len > 0 && i < s->suspects->len; i++) {
		const struct part_suspects *p = s->suspects->pdata[i];

		has = has ||
		    (mh_poison_is_cause(p) && strcmp(p->pool, c->pool) == 0 &&
			includes(parts, p->parts));
	}
	g_array_free(parts, TRUE);
	return has;
}

bool
mh_poison_parts_supported(struct mh_poison *s, const struct quarantine *q)
{
	mh_poison_update_evidence(s);
	for (guint i = 0; i < s->suspects->len; i++) {
		const struct part_suspects *p = s->suspects->pdata[i];

		if (mh_poison_is_cause(p) && is_same(p->parts, q->parts))
			return true;
	}
	return false;
}

/* quarantines */

uint64_t
mh_poison_parts_name(const uint64_t *parts, size_t n)
{
	return n == 1 ? parts[0] : mh_poison_fingerprint(parts, n);
}

void
mh_poison_release_parts(struct mh_poison *s, uint64_t part, const char *why)
{
	GList *all = g_hash_table_get_values(s->quarantines);

	for (GList *l = all; l != NULL; l = l->next) {
		struct quarantine *q = l->data;
		bool has = false;

		for (guint i = 0; q->parts != NULL && i < q->parts->len; i++)
			has =
			    has || g_array_index(q->parts, uint64_t, i) == part;
		if (has)
			mh_poison_release(s, q, why);
	}
	g_list_free(all);
}

static bool
has_all(const uint64_t *parts, uint32_t n, const GArray *some)
{
	for (guint i = 0; i < some->len; i++) {
		bool has = false;

		for (uint32_t j = 0; j < n && !has; j++)
			has = parts[j] == g_array_index(some, uint64_t, i);
		if (!has)
			return false;
	}
	return true;
}

int64_t
mh_poison_parts_quarantine_us(
    struct mh_kern *k, const uint64_t *parts, uint32_t n)
{
	struct mh_poison *s = mh_poison_of(k);
	int64_t us = 0;
	GHashTableIter it;
	gpointer v;

	if (s == NULL || n == 0 || g_hash_table_size(s->quarantines) == 0)
		return 0;
	g_hash_table_iter_init(&it, s->quarantines);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct quarantine *q = v;

		if (q->parts != NULL && has_all(parts, n, q->parts))
			us = MAX(us, q->expires_us - mh_now(k));
	}
	return us;
}
