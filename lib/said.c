/**
 * DOC: What endpoints say of themselves in their answers, and when something
 * may be sent to them.
 *
 * It is recorded with the incarnation of the endpoint, whichever call got the
 * answer, and kept while the incarnation is not listed.
 *
 * A limit holds for all entries together, which know only how many they are.
 * Each computes the same order of entries for the endpoint.  The first ones
 * share most of the limit, few enough that each may send once in LIMIT_PERIOD.
 * The others share the rest, in turns, so that each of them finds out in the
 * end that the limit has ended.  Stage calls of all entries are sent by one.
 */

#include "fleetint.h"

#include <math.h>
#include <string.h>

/*
 * A limit of 0 is taken as this: an endpoint that gets nothing could never say
 * that it is well again.
 */
#define LIMIT_MIN_PER_S 0.1
#define LIMIT_PERIOD_US (4 * MH_US_PER_S)
/*
 * Share of the limit of the first entries, and of the one that sends for all.
 * While the role moves, two may act as that one.
 */
#define MAIN_SHARE 0.75
/* A longer rest counts as this. */
#define REST_MAX_US (3600 * MH_US_PER_S)
/* Words on endpoints that are not listed, and how long they are kept. */
#define MAX_UNLISTED 4096
#define UNLISTED_US (120 * MH_US_PER_S)

/** struct unlisted - words of an incarnation that is not listed. */
struct unlisted {
	struct mh_node_words said;
	int64_t sent_us;
	int64_t expires_us;
	int64_t draining_us; /* as of its node */
};

void
mh_fleet_set_sharing(struct mh_fleet *f,
    uint32_t (*rank)(void *arg, const char *endpoint, uint32_t *entries),
    bool (*is_linked)(void *arg), void *arg)
{
	f->rank = rank;
	f->is_linked = is_linked;
	f->sharing_arg = arg;
}

uint32_t
mh_fleet_rank(
    const struct mh_fleet *f, const struct mh_node *n, uint32_t *entries)
{
	*entries = 1;
	return f->rank == NULL ? 0 : f->rank(f->sharing_arg, n->name, entries);
}

/** struct share - our part of a limit; times in seconds. */
struct share {
	double interval_s; /* between two requests */
	double first_s; /* from the first word on the limit to our first turn */
};

static struct share
share_of_first(double limit, uint32_t rank, uint32_t entries)
{
	double senders =
	    MAX(floor(MAIN_SHARE * limit * LIMIT_PERIOD_US / MH_US_PER_S), 1);
	double rest = (1 - MAIN_SHARE) * limit;

	if (senders >= entries)
		return (struct share) { entries / limit, 0 };
	if (rank < senders)
		return (struct share) { senders / (MAIN_SHARE * limit), 0 };
	return (struct share) { (entries - senders) / rest,
		(rank - senders + 1) / rest };
}

/* An entry that is cut off from the others may not be the only coordinator. */
static struct share
share_of_one(const struct mh_fleet *f, double limit, uint32_t entries)
{
	bool linked = f->is_linked == NULL || f->is_linked(f->sharing_arg);

	return (
	    struct share) { (linked ? 1 : entries) / (MAIN_SHARE * limit), 0 };
}

/* Returns false if we may not send: the entries are not known yet. */
static bool
get_share(const struct mh_fleet *f, const struct mh_node *n, enum mh_sender who,
    struct share *s)
{
	uint32_t entries, rank = mh_fleet_rank(f, n, &entries);

	if (rank == UINT32_MAX)
		return false;
	*s = who == MH_SENDER_ONE
	    ? share_of_one(f, n->said.limit_per_s, entries)
	    : share_of_first(n->said.limit_per_s, rank, entries);
	return true;
}

static int64_t
seconds(double s)
{
	return (int64_t)(s * (double)MH_US_PER_S);
}

int64_t
mh_node_interval_us(
    const struct mh_fleet *f, const struct mh_node *n, enum mh_sender who)
{
	struct share s;

	if (n->said.limit_per_s == 0)
		return 0;
	return get_share(f, n, who, &s) ? seconds(s.interval_s) : INT64_MAX;
}

int64_t
mh_node_next_us(
    const struct mh_fleet *f, const struct mh_node *n, enum mh_sender who)
{
	struct share s;
	int64_t us;

	if (n->draining || n->evacuated)
		return INT64_MAX;
	if (n->said.limit_per_s == 0)
		return n->said.rest_end_us;
	if (!get_share(f, n, who, &s))
		return INT64_MAX;
	us = MAX(
	    n->said.limit_start_us + seconds(s.first_s), n->said.rest_end_us);
	if (n->sent_us != 0)
		us = MAX(us, n->sent_us + seconds(s.interval_s));
	return us;
}

int64_t
mh_node_retry_us(const struct mh_fleet *f, const struct mh_node *n, int64_t us)
{
	if (us == INT64_MAX)
		return us;
	us = MAX(us - mh_now(f->k), 1);
	/* By then another entry has a turn.  A rest is over for us alone. */
	if (n->said.limit_per_s > 0 && n->said.rest_end_us <= mh_now(f->k))
		us = MIN(us, LIMIT_PERIOD_US);
	return us;
}

void
mh_fleet_count_needs(const struct mh_fleet *f, uint32_t n[MH_NEEDS])
{
	GHashTableIter it;
	gpointer value;

	memset(n, 0, MH_NEEDS * sizeof(n[0]));
	g_hash_table_iter_init(&it, f->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct mh_node_words *s =
		    &((struct mh_node *)value)->said;

		n[MH_NEED_LEAVES] += s->leaving;
		n[MH_NEED_RESTS] += s->rest_end_us > mh_now(f->k);
		n[MH_NEED_LIMITS] += s->limit_per_s > 0;
	}
}

void
mh_node_sent(struct mh_fleet *f, struct mh_node *n)
{
	n->sent_us = mh_now(f->k);
}

/* words: what was said, and by which answer */

static bool
was_seen(const struct mh_node_words *s, uint64_t number)
{
	for (uint32_t i = 0; i < MIN(s->n_seen, MH_WORDS_SEEN); i++) {
		if (s->seen[i] == number)
			return true;
	}
	return false;
}

/*
 * Takes a word; returns whether it changes anything.  A word that passes many
 * entries seems younger than it is, so each is taken only once: else two that
 * contradict each other could replace one another for ever.
 */
static bool
take_word(struct mh_node_words *s, const struct mh_word *w, int64_t now)
{
	double was = s->limit_per_s;
	bool leaves = w->leaving && !s->leaving;

	if (was_seen(s, w->number))
		return false;
	s->seen[s->n_seen++ % MH_WORDS_SEEN] = w->number;
	s->leaving = s->leaving || w->leaving;
	if (w->at_us <= s->limit_at_us)
		return leaves;
	s->number = w->number;
	s->limit_at_us = w->at_us;
	s->limit_per_s =
	    w->limit_per_s == 0 ? 0 : MAX(w->limit_per_s, LIMIT_MIN_PER_S);
	if (was == 0)
		s->limit_start_us = now;
	return leaves || s->limit_per_s != was;
}

/* A word has changed what the endpoint says: acts on it, and logs it. */
static void
apply_word(struct mh_fleet *f, struct mh_node *n, const struct mh_word *w)
{
	int64_t us;

	if (n->said.leaving)
		mh_node_set_draining(f, n, true);
	us = mh_node_interval_us(f, n, MH_SENDER_ANY);
	mh_count(f->k, "endpoint_words", 1);
	mh_event(f->k, "endpoint-said",
	    "id=%s pool=%s leaving=%d per_s=%.2f by=%s age_ms=%" PRId64
	    " each_ms=%" PRId64,
	    n->id, n->pool, n->said.leaving, n->said.limit_per_s,
	    w->from == NULL ? "answer" : w->from,
	    mh_ms(mh_now(f->k) - w->at_us), us == INT64_MAX ? -1 : mh_ms(us));
}

static void
pass_on(struct mh_fleet *f, const struct mh_word *w)
{
	if (f->on_word != NULL)
		f->on_word(f->on_word_arg, w);
}

/* Of two times of rest the one that ends later holds.  Not passed on. */
static void
take_rest(struct mh_fleet *f, struct mh_node *n, int64_t rest_us)
{
	int64_t now = mh_now(f->k), end_us = now + MIN(rest_us, REST_MAX_US);

	if (rest_us <= 0 || end_us <= n->said.rest_end_us)
		return;
	mh_count(f->k, "endpoint_rests", 1);
	mh_event(f->k, "endpoint-rest",
	    "id=%s pool=%s asked_ms=%" PRId64 " left_ms=%" PRId64, n->id,
	    n->pool, mh_ms(rest_us), mh_ms(MAX(n->said.rest_end_us - now, 0)));
	n->said.rest_end_us = end_us;
}

static uint64_t
new_number(struct mh_fleet *f)
{
	uint64_t n = mh_random(f->k);

	return n == 0 ? 1 : n;
}

void
mh_node_said(struct mh_fleet *f, struct mh_node *n, const struct mh_said *s)
{
	struct mh_word w = { n->id, NULL, 0, mh_now(f->k), n->said.limit_per_s,
		n->said.leaving || s->leaving };

	if (s->malformed)
		mh_count(f->k, "endpoint_words_malformed", 1);
	take_rest(f, n, s->rest_us);
	/* An answer from before the limit was named does not end it. */
	if (s->has_limit)
		w.limit_per_s = MAX(s->limit_per_s, LIMIT_MIN_PER_S);
	else if (s->is_work && s->sent_us > n->said.limit_at_us)
		w.limit_per_s = 0;
	if (w.leaving == n->said.leaving &&
	    w.limit_per_s == n->said.limit_per_s) {
		if (s->has_limit)
			n->said.limit_at_us = w.at_us;
		return;
	}
	w.number = new_number(f);
	if (!take_word(&n->said, &w, w.at_us))
		return;
	apply_word(f, n, &w);
	pass_on(f, &w);
}

void
mh_fleet_on_word(struct mh_fleet *f,
    void (*fn)(void *arg, const struct mh_word *w), void *arg)
{
	f->on_word = fn;
	f->on_word_arg = arg;
}

void
mh_fleet_foreach_word(struct mh_fleet *f,
    void (*fn)(void *arg, const struct mh_word *w), void *arg)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->nodes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct mh_node *n = value;
		struct mh_word w = { n->id, NULL, n->said.number,
			n->said.limit_at_us, n->said.limit_per_s,
			n->said.leaving };

		if (n->said.limit_per_s > 0 || n->said.leaving)
			fn(arg, &w);
	}
}

/* endpoints that are not listed */

static gboolean
is_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct mh_fleet *f = arg;

	(void)key;
	return ((struct unlisted *)value)->expires_us <= mh_now(f->k);
}

static struct unlisted *
unlisted_of(struct mh_fleet *f, const char *id)
{
	struct unlisted *u = g_hash_table_lookup(f->unlisted, id);

	if (u == NULL) {
		g_hash_table_foreach_remove(f->unlisted, is_expired, f);
		if (g_hash_table_size(f->unlisted) >= MAX_UNLISTED)
			g_hash_table_remove_all(f->unlisted);
		u = g_new0(struct unlisted, 1);
		g_hash_table_insert(f->unlisted, g_strdup(id), u);
	}
	u->expires_us = mh_now(f->k) + UNLISTED_US;
	return u;
}

void
mh_words_keep(struct mh_fleet *f, const struct mh_node *n)
{
	struct unlisted *u;

	if (n->said.n_seen == 0 && n->said.rest_end_us == 0 &&
	    n->draining_us == 0)
		return;
	u = unlisted_of(f, n->id);
	u->said = n->said;
	u->draining_us = n->draining_us;
	u->sent_us = n->sent_us;
}

void
mh_words_restore(struct mh_fleet *f, struct mh_node *n)
{
	const struct unlisted *u = g_hash_table_lookup(f->unlisted, n->id);

	if (u == NULL)
		return;
	n->said = u->said;
	n->draining = n->said.leaving;
	n->draining_us = u->draining_us;
	n->sent_us = u->sent_us;
	g_hash_table_remove(f->unlisted, n->id);
}

void
mh_fleet_hear(struct mh_fleet *f, const struct mh_word *w)
{
	struct mh_node *n = mh_fleet_find(f, w->endpoint);

	if (n == NULL) {
		(void)take_word(
		    &unlisted_of(f, w->endpoint)->said, w, mh_now(f->k));
		return;
	}
	if (!take_word(&n->said, w, mh_now(f->k)))
		return;
	apply_word(f, n, w);
	pass_on(f, w);
}
