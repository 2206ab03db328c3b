/**
 * DOC: Requests that end every endpoint that begins to run them.
 */

#include "fallrig.h"
#include "net.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define ENGINES 9
/* So many sendings may still reach an engine, see the first test. */
#define LATE_MOST 3

static void
check_bad(const struct fallrig *r, uint32_t seed)
{
	for (uint32_t b = 1; b <= r->bad; b++) {
		CU_ASSERT(r->late[b] <= LATE_MOST);
		if (r->late[b] > LATE_MOST)
			fprintf(stderr,
			    "seed %u: sent %u times, %u engines ended, %u "
			    "late\n",
			    seed, r->sends[b], r->ends[b], r->late[b]);
	}
}

/* No request of others is refused as a cause. */
static void
check_good(const struct fallrig *r, uint32_t seed)
{
	CU_ASSERT_EQUAL(r->good_held, 0);
	if (r->good_held > 0)
		fprintf(
		    stderr, "seed %u: %u others held\n", seed, r->good_held);
}

/*
 * A party plan made the engine that ran it end, 40 to 121 ms after the head of
 * its answer.  Its caller asked again, at other entries and with a new id each
 * time; to each entry it was a new request, and 13 engines of a pool of nine
 * ended in 12.6 s, with all that others had running there:
 *	broken id=e2d4c389 node=i-26cd532332 sent=1 head_ms=57
 *	broken id=de046361 node=i-a1ae78b0f1 sent=1 head_ms=99
 * After the third end, and the time in which all entries must know of it, no
 * more than three sendings may reach an engine.
 */
static void
test_ends_engines(void)
{
	struct fallrig *r = fallrig_create(ENGINES, 1);

	r->bad = 1;
	fallrig_run(r, 25 * S);
	CU_ASSERT(r->ends[1] >= 3);
	check_bad(r, 1);
	fallrig_destroy(r);
}

/*
 * What others had running on an engine when it ended is asked for again by its
 * callers, while the cause ends further engines under some of it.  It is served
 * in the end, and never refused as if it were the cause.
 */
static void
test_others_are_served(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		r->bad = 1;
		fallrig_run(r, 15 * S);
		r->bad_each_us = 60 * S;
		r->per_s = 0;
		fallrig_run(r, 10 * S);
		CU_ASSERT(r->bad_held > 0);
		CU_ASSERT_EQUAL(r->good_served, r->good_asked);
		check_good(r, seed);
		check_bad(r, seed);
		fallrig_destroy(r);
	}
}

/* Plain requests have no head before their whole answer. */
static void
test_plain(void)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		r->plain = true;
		r->bad = 1;
		fallrig_run(r, 20 * S);
		CU_ASSERT(r->bad_held > 0);
		check_good(r, seed);
		check_bad(r, seed);
		fallrig_destroy(r);
	}
}

/*
 * Four causes at once in a pool of nine: an end of one is no sign that engines
 * end by themselves for longer than it takes to know the first.
 */
static void
test_many_causes(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		r->bad = 4;
		fallrig_run(r, 30 * S);
		check_bad(r, seed);
		check_good(r, seed);
		fallrig_destroy(r);
	}
}

/*
 * Engines end by themselves, one a second of nine.  Some callers meet three
 * such ends in a row; none of their requests is the cause.
 */
static void
test_engines_fall_alone(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		for (int i = 0; i < 30; i++) {
			fallrig_run(r, S);
			fallrig_fall(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
		}
		check_good(r, seed);
		fallrig_destroy(r);
	}
}

static void
two_causes_and_falls(uint32_t seed)
{
	struct fallrig *r = fallrig_create(ENGINES, seed);

	r->bad = 2;
	for (int i = 0; i < 30; i++) {
		fallrig_run(r, S);
		fallrig_fall(
		    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
	}
	check_bad(r, seed);
	check_good(r, seed);
	fallrig_destroy(r);
}

/* Engines end by themselves while two requests end others. */
static void
test_both(void)
{
	for (uint32_t seed = regress_first(1); seed <= regress_last(8); seed++)
		two_causes_and_falls(seed);
}

/*
 * Two requests end engines, and one a second ends by itself.  A request of
 * somebody else, which asks again after each end that it meets, is held as if
 * it were a third cause.  It had run beside a cause at two ends and was blamed
 * as much for them; the third engine ended by itself and it alone was likely:
 *	end n4-0: 1000 (0 points) and cause 2 (0)
 *	end n7-0: 1000 (2) and cause 2 (2)
 *	end n6-0, by itself: 1000 (4), others 0; held with 6 of 6
 */
static void
test_both_in_the_first_seconds(void)
{
	two_causes_and_falls(39);
	two_causes_and_falls(46);
}

/*
 * Every connection breaks at once and no engine has ended: their next answers
 * show it, and what was laid to the requests there is taken back.
 */
static void
test_connections_reset(void)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		struct fallrig *r = fallrig_create(ENGINES, seed);

		for (int i = 0; i < 10; i++) {
			fallrig_run(r, S);
			fallrig_reset(r);
		}
		r->bad = 1;
		for (int i = 0; i < 4; i++) {
			fallrig_run(r, 5 * S);
			fallrig_reset(r);
		}
		check_bad(r, seed);
		check_good(r, seed);
		CU_ASSERT(r->bad_held > 0);
		fallrig_destroy(r);
	}
}

/*
 * The list of engines stands still: an engine that is back has another name,
 * and none of the new ones is known.  Ends show by broken calls alone.
 */
static void
test_store_away(void)
{
	struct fallrig *r = fallrig_create(20, 5);

	r->store_away = true;
	r->bad = 1;
	fallrig_run(r, 20 * S);
	CU_ASSERT(r->bad_held > 0);
	check_bad(r, 5);
	check_good(r, 5);
	fallrig_destroy(r);
}

/*
 * An entry that is killed and starts again has forgotten everything; the others
 * tell it as soon as it is linked, long before the request is there again.
 */
static void
test_entry_restarts(void)
{
	struct fallrig *r = fallrig_create(ENGINES, 3);
	uint32_t sends;

	r->bad = 1;
	fallrig_run(r, 10 * S);
	CU_ASSERT(r->bad_held > 0);
	sends = r->sends[1];
	for (uint32_t i = 0; i < ENTRIES; i++) {
		r->bad_each_us = 60 * S;
		r->bad_next_us[1] = r->m->now_us + 2 * S;
		fallrig_restart(r, i);
		fallrig_run(r, 2 * S);
		r->bad_each_us = 50 * MS;
		r->bad_next_us[1] = 0;
		fallrig_run(r, S);
	}
	CU_ASSERT_EQUAL(r->sends[1], sends);
	check_good(r, 3);
	fallrig_destroy(r);
}

/*
 * Engines leave as planned, and end with what still runs there; so do some that
 * are listed no more.  That says nothing of their requests.
 */
static void
test_engines_leave(void)
{
	struct fallrig *r = fallrig_create(ENGINES, 2);
	uint64_t ends = 0;

	for (uint32_t i = 0; i < ENGINES; i++) {
		r->engines[i].leaving = true;
		fallrig_run(r, S);
		fallrig_fall(r, i);
		fallrig_run(r, 4 * S);
		r->engines[i].leaving = false;
	}
	for (uint32_t i = 0; i < ENTRIES; i++)
		ends += mh_counter(r->m->e[i].k, "poison_ends");
	CU_ASSERT_EQUAL(ends, 0);
	check_good(r, 2);
	fallrig_destroy(r);
}

/* Frames that entries send of all this in three seconds without requests. */
static uint32_t
frames_when_quiet(uint32_t seed, int64_t delay_us, bool resets)
{
	struct fallrig *r = fallrig_create(ENGINES, seed);
	uint32_t frames;

	for (uint32_t i = 0; i < ENTRIES; i++)
		r->m->e[i].delay_us = delay_us;
	r->bad = resets ? seed % 3 : 0;
	for (int i = 0; i < 15; i++) {
		fallrig_run(r, S);
		if (resets && i % 2 == 1)
			fallrig_reset(r);
		else
			fallrig_fall(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
	}
	r->per_s = 0;
	r->bad_each_us = 60 * S;
	for (uint32_t b = 1; b <= r->bad; b++)
		r->bad_next_us[b] = r->m->now_us + 60 * S;
	fallrig_run(r, 15 * S);
	frames = r->m->poison_frames;
	CU_ASSERT(frames > 0);
	fallrig_run(r, 3 * S);
	frames = r->m->poison_frames - frames;
	if (frames > 0)
		fprintf(stderr, "seed %u, links of %" PRId64 " ms: %u frames\n",
		    seed, mh_ms(delay_us), frames);
	fallrig_destroy(r);
	return frames;
}

/*
 * On a day with engines that crash, the entries used 310 s of processor time
 * instead of 15; half of the requests were not served, links were cut as
 * silent, and an engine was asked 4.3 s after it had said that it leaves: the
 * entry that asked had that word still before it.  A run is told with its age,
 * which lacks the way; word that came back was later, was taken for another
 * run and told on, for ever.  Frames that nobody asks for any more show it:
 * 486,000 in 3 s with links of 20 ms, and, where only what is a second apart is
 * another run, 1,566 with links of 600 ms.
 */
static void
test_word_goes_round_once(void)
{
	static const int64_t links_us[] = { 20 * MS, 300 * MS, 600 * MS,
		700 * MS };

	for (size_t i = 0; i < G_N_ELEMENTS(links_us); i++) {
		CU_ASSERT_EQUAL(frames_when_quiet(1, links_us[i], false), 0);
		CU_ASSERT_EQUAL(frames_when_quiet(2, links_us[i], false), 0);
	}
}

/*
 * Connections are reset while engines end, and links are slow.  Nobody asks any
 * more, and entries go on telling each other for ever that an engine has ended,
 * and that it lives.  The age that an end is told with lacks the way: after
 * 2.1 s on three links, what was told of an end that was none is taken for
 * another end, 18 s after the last request: "end n3-1 at 36.30 lives 0", then
 * "lives 1", by turns, from each entry that passes on.
 */
static void
test_word_of_an_end_goes_round_once(void)
{
	static const uint32_t seeds[] = { 29, 35, 39 };

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		CU_ASSERT_EQUAL(frames_when_quiet(seeds[i], 700 * MS, true), 0);
}

/* our own entries and side processes */

#define OWN_ENTRIES 3
#define OWN_SIDES 6
/* A second: a ping and a pong each way on each link, and as much again. */
#define QUIET_FRAMES (OWN_ENTRIES * OWN_SIDES * 4)

struct own {
	struct net *n;
	struct net_node *e[OWN_ENTRIES];
	struct net_node *s[OWN_SIDES];
	GRand *rand;
	uint64_t bad[256];
	uint32_t n_bad;
	uint64_t good[2048];
	uint32_t n_good;
	uint32_t again;
};

static void
own_create(struct own *o, uint32_t seed, const char *pool)
{
	char vm[16];

	memset(o, 0, sizeof(*o));
	o->rand = g_rand_new_with_seed(seed);
	o->n = net_create(seed);
	net_apply(o->n, 1, net_doc);
	for (int i = 0; i < OWN_SIDES; i++) {
		g_snprintf(vm, sizeof(vm), "%s%d", pool, i);
		o->s[i] = net_side(o->n, vm, pool, i % 2 == 0 ? "a" : "b", 8);
		o->s[i]->falls = true;
		o->s[i]->service_us = 200 * MS;
	}
	for (int i = 0; i < OWN_ENTRIES; i++) {
		g_snprintf(vm, sizeof(vm), "entry%d", i);
		o->e[i] = net_entry(o->n, vm, "a");
	}
	net_run(o->n, 5 * S);
}

static void
own_destroy(struct own *o)
{
	net_destroy(o->n);
	g_rand_free(o->rand);
}

static uint64_t
own_ask(struct own *o, const char *path, const char *what)
{
	char *body = g_strdup_printf("{\"input\":\"%s\"}", what);
	struct net_ask a = { .path = path, .body = body };
	struct net_node *e = o->e[g_rand_int_range(o->rand, 0, OWN_ENTRIES)];
	uint64_t id = net_request(e, &a);

	g_free(body);
	return id;
}

/* Those that failed ask the same again. */
static void
own_ask_again(struct own *o, const char *path)
{
	char what[24];

	for (uint32_t i = 0; i < o->n_good; i++) {
		const struct net_answer *a = net_answer(o->n, o->good[i]);

		if (!a->ended || a->status == 200)
			continue;
		o->again++;
		g_snprintf(what, sizeof(what), "other %u", i);
		o->good[i] = own_ask(o, path, what);
	}
}

/* Others ask twenty times a second, the cause once in 0.7 s. */
static void
own_run(struct own *o, const char *path, int64_t us)
{
	char what[24];

	for (int64_t t = 0; t < us; t += 50 * MS) {
		if (t % (500 * MS) == 0)
			own_ask_again(o, path);
		g_snprintf(what, sizeof(what), "other %u", o->n_good);
		o->good[o->n_good++] = own_ask(o, path, what);
		if (t % (700 * MS) == 0)
			o->bad[o->n_bad++] = own_ask(o, path, NET_FATAL);
		net_run(o->n, 50 * MS);
	}
	net_run(o->n, 3 * S);
}

static uint32_t
own_falls(const struct own *o)
{
	uint32_t n = 0;

	for (int i = 0; i < OWN_SIDES; i++)
		n += o->s[i]->falls_seen;
	return n;
}

static uint64_t
frames_of(const struct own *o)
{
	uint64_t n = 0;

	for (int i = 0; i < OWN_ENTRIES; i++)
		n += mh_counter(o->e[i]->k, "link_frames_in");
	return n;
}

/*
 * An encoder ended under a request; the entry asked the next one, up to four,
 * and the caller asked again at another entry.  Three ends are enough: from
 * then on it is refused at once, with a word that says why, and what others had
 * there is run elsewhere.
 */
static void
test_own_interface(void)
{
	for (uint32_t seed = 1; seed <= 2; seed++) {
		struct own o;
		uint32_t served = 0, falls;
		uint64_t frames;

		own_create(&o, seed, "enc");
		own_run(&o, "/v1/pipelines/embed", 10 * S);
		falls = own_falls(&o);
		CU_ASSERT(falls >= 3 && falls <= 3 + LATE_MOST);
		for (uint32_t i = 0; i < o.n_good; i++)
			served += net_answer(o.n, o.good[i])->status == 200;
		CU_ASSERT_EQUAL(served, o.n_good);
		CU_ASSERT_EQUAL(
		    net_answer(o.n, o.bad[o.n_bad - 1])->status, 503);
		CU_ASSERT_STRING_EQUAL(
		    net_answer_text(o.n, o.bad[o.n_bad - 1], "title"),
		    "request-held");
		CU_ASSERT_STRING_EQUAL(
		    net_answer_text(o.n, o.bad[o.n_bad - 1], "outcome"),
		    "not-run");
		/* Word of it goes round once, not for ever. */
		frames = frames_of(&o);
		net_run(o.n, 2 * S);
		CU_ASSERT(frames_of(&o) - frames < QUIET_FRAMES * 2);
		CU_ASSERT(
		    net_answer(o.n, o.bad[o.n_bad - 1])->retry_after_s > 60);
		if (served != o.n_good || falls > 3 + LATE_MOST)
			fprintf(stderr, "seed %u: %u falls, %u of %u served\n",
			    seed, falls, served, o.n_good);
		own_destroy(&o);
	}
}

/* A booking that ends its service: never run twice, and held all the same. */
static void
test_own_once(void)
{
	struct own o;
	uint32_t falls;

	own_create(&o, 9, "book");
	own_run(&o, "/v1/pipelines/confirm", 10 * S);
	falls = own_falls(&o);
	CU_ASSERT(falls >= 3 && falls <= 3 + LATE_MOST);
	CU_ASSERT(net_most_runs(o.n) <= 1);
	CU_ASSERT_STRING_EQUAL(
	    net_answer_text(o.n, o.bad[o.n_bad - 1], "title"), "request-held");
	own_destroy(&o);
}

/* An entry that starts anew is told by the side processes that it links to. */
static void
test_own_entry_restarts(void)
{
	struct own o;
	uint32_t falls;
	uint64_t id;

	own_create(&o, 4, "enc");
	own_run(&o, "/v1/pipelines/embed", 8 * S);
	falls = own_falls(&o);
	for (int i = 0; i < OWN_ENTRIES; i++) {
		net_kill(o.e[i]);
		net_start(o.e[i]);
	}
	net_run(o.n, 3 * S);
	for (int i = 0; i < 20; i++) {
		id = own_ask(&o, "/v1/pipelines/embed", NET_FATAL);
		net_run(o.n, 200 * MS);
		CU_ASSERT_STRING_EQUAL(
		    net_answer_text(o.n, id, "title"), "request-held");
	}
	CU_ASSERT_EQUAL(own_falls(&o), falls);
	own_destroy(&o);
}

const struct test tests_fall[] = {
	{ "a request ends engines", test_ends_engines },
	{ "others are served", test_others_are_served },
	{ "plain requests end engines", test_plain },
	{ "many causes at once", test_many_causes },
	{ "engines fall by themselves", test_engines_fall_alone },
	{ "engines fall by themselves too", test_both },
	{ "fall: two causes in the first seconds",
	    test_both_in_the_first_seconds },
	{ "connections reset", test_connections_reset },
	{ "engines leave", test_engines_leave },
	{ "store away", test_store_away },
	{ "an entry restarts", test_entry_restarts },
	{ "fall: word goes round once", test_word_goes_round_once },
	{ "fall: word of an end goes round once",
	    test_word_of_an_end_goes_round_once },
	{ "own interface", test_own_interface },
	{ "own interface, once", test_own_once },
	{ "own interface, an entry restarts", test_own_entry_restarts },
	{ NULL, NULL },
};
