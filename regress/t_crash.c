/**
 * DOC: Poison requests, which crash every endpoint that begins to run them.
 */

#include "crashrig.h"
#include "net.h"
#include "poison.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define ENGINES 9
/* Sends allowed after the third crash, see test_crashes_engines(). */
#define LATE_SENDS_MAX 3

static void
check_poison(const struct crashrig *r, uint32_t seed)
{
	for (uint32_t b = 1; b <= r->n_poison; b++) {
		CU_ASSERT(r->late_sends[b] <= LATE_SENDS_MAX);
		if (r->late_sends[b] > LATE_SENDS_MAX)
			fprintf(stderr,
			    "seed %u: sent %u times, %u engines crashed, "
			    "%u sends too late\n",
			    seed, r->sends[b], r->crashes[b], r->late_sends[b]);
	}
}

/* No other request is refused as poison. */
static void
check_others(const struct crashrig *r, uint32_t seed)
{
	CU_ASSERT_EQUAL(r->other_quarantined, 0);
	if (r->other_quarantined > 0)
		fprintf(stderr, "seed %u: %u others quarantined\n", seed,
		    r->other_quarantined);
}

/*
 * A request crashed the engine that ran it, 40 to 121 ms after the head of its
 * answer.  Its caller retried it at other entries, with a new id each time, so
 * that each entry took it for a new request.  In a pool of nine, engines
 * crashed 13 times in 12.6 s and broke all other requests that ran there.
 * After the third crash, and the time for announcements to spread to all
 * entries, at most three sends may reach an engine.
 */
static void
test_crashes_engines(void)
{
	struct crashrig *r = crashrig_create(ENGINES, 1);

	r->n_poison = 1;
	crashrig_run(r, 25 * S);
	CU_ASSERT(r->crashes[1] >= 3);
	check_poison(r, 1);
	crashrig_destroy(r);
}

/*
 * Callers retry the other requests that an engine was running when it crashed,
 * while the poison request crashes further engines under some of them.  All are
 * served in the end, and none is quarantined.
 */
static void
test_others_are_served(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		struct crashrig *r = crashrig_create(ENGINES, seed);

		r->n_poison = 1;
		crashrig_run(r, 15 * S);
		r->poison_pause_us = 60 * S;
		r->other_per_s = 0;
		crashrig_run(r, 10 * S);
		CU_ASSERT(r->poison_quarantined > 0);
		CU_ASSERT_EQUAL(r->other_served, r->other_sent);
		check_others(r, seed);
		check_poison(r, seed);
		crashrig_destroy(r);
	}
}

/* The head of a plain answer comes with its end, not before. */
static void
test_plain(void)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		struct crashrig *r = crashrig_create(ENGINES, seed);

		r->plain = true;
		r->n_poison = 1;
		crashrig_run(r, 20 * S);
		CU_ASSERT(r->poison_quarantined > 0);
		check_others(r, seed);
		check_poison(r, seed);
		crashrig_destroy(r);
	}
}

/*
 * Four poison requests at once in a pool of nine.  A crash under one may count
 * as one that an engine had on its own, and raise the score needed for the
 * others, only until that one is quarantined.
 */
static void
test_many_poison(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		struct crashrig *r = crashrig_create(ENGINES, seed);

		r->n_poison = 4;
		crashrig_run(r, 30 * S);
		check_poison(r, seed);
		check_others(r, seed);
		crashrig_destroy(r);
	}
}

/*
 * Of nine engines one a second crashes on its own.  Some requests meet three
 * such crashes in a row, and none of them is poison.
 */
static void
test_crashes_alone(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		struct crashrig *r = crashrig_create(ENGINES, seed);

		for (int i = 0; i < 30; i++) {
			crashrig_run(r, S);
			crashrig_crash(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
		}
		check_others(r, seed);
		crashrig_destroy(r);
	}
}

static void
two_poison_and_crashes(uint32_t seed)
{
	struct crashrig *r = crashrig_create(ENGINES, seed);

	r->n_poison = 2;
	for (int i = 0; i < 30; i++) {
		crashrig_run(r, S);
		crashrig_crash(
		    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
	}
	check_poison(r, seed);
	check_others(r, seed);
	crashrig_destroy(r);
}

/* Engines crash on their own while two poison requests crash others. */
static void
test_both(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(8); seed++)
		two_poison_and_crashes(seed);
}

/*
 * Two poison requests, and an engine a second that crashes on its own.  Another
 * request, which is retried after each crash that it meets, was quarantined as
 * well.  It had run beside a poison request at two crashes and was blamed as
 * much for them.  At the third, of an engine that crashed on its own, no other
 * request had points:
 *	crash of n4-0: 1000 (0 points) and poison request 2 (0)
 *	crash of n7-0: 1000 (2) and poison request 2 (2)
 *	crash of n6-0, on its own: 1000 (4), others 0; 6 of 6 points
 */
static void
test_both_in_the_first_seconds(void)
{
	two_poison_and_crashes(39);
	two_poison_and_crashes(46);
}

/*
 * Every connection breaks at once and no engine has crashed.  The next answers
 * of the engines show that, and the blame is retracted.
 */
static void
test_connections_reset(void)
{
	for (uint32_t seed = 1; seed <= 4; seed++) {
		struct crashrig *r = crashrig_create(ENGINES, seed);

		for (int i = 0; i < 10; i++) {
			crashrig_run(r, S);
			crashrig_reset(r);
		}
		r->n_poison = 1;
		for (int i = 0; i < 4; i++) {
			crashrig_run(r, 5 * S);
			crashrig_reset(r);
		}
		check_poison(r, seed);
		check_others(r, seed);
		CU_ASSERT(r->poison_quarantined > 0);
		crashrig_destroy(r);
	}
}

/*
 * The lists of engines don't change while engines restart under new ids, which
 * the entries therefore don't know.  Only broken calls show the crashes.
 */
static void
test_store_down(void)
{
	struct crashrig *r = crashrig_create(20, 5);

	r->store_down = true;
	r->n_poison = 1;
	crashrig_run(r, 20 * S);
	CU_ASSERT(r->poison_quarantined > 0);
	check_poison(r, 5);
	check_others(r, 5);
	crashrig_destroy(r);
}

/*
 * An entry that was killed and restarted has lost its state.  The others send
 * it theirs as soon as it is linked, long before the poison request comes.
 */
static void
test_entry_restarts(void)
{
	struct crashrig *r = crashrig_create(ENGINES, 3);
	uint32_t sends;

	r->n_poison = 1;
	crashrig_run(r, 10 * S);
	CU_ASSERT(r->poison_quarantined > 0);
	sends = r->sends[1];
	for (uint32_t i = 0; i < ENTRIES; i++) {
		r->poison_pause_us = 60 * S;
		r->poison_next_us[1] = r->m->now_us + 2 * S;
		crashrig_restart(r, i);
		crashrig_run(r, 2 * S);
		r->poison_pause_us = 50 * MS;
		r->poison_next_us[1] = 0;
		crashrig_run(r, S);
	}
	CU_ASSERT_EQUAL(r->sends[1], sends);
	check_others(r, 3);
	crashrig_destroy(r);
}

/*
 * An engine that drains as planned exits with what still runs there.  That is
 * no crash and no evidence against its requests.
 */
static void
test_engines_drain(void)
{
	struct crashrig *r = crashrig_create(ENGINES, 2);
	uint64_t ends = 0;

	for (uint32_t i = 0; i < ENGINES; i++) {
		r->engines[i].draining = true;
		crashrig_run(r, S);
		crashrig_crash(r, i);
		crashrig_run(r, 4 * S);
		r->engines[i].draining = false;
	}
	for (uint32_t i = 0; i < ENTRIES; i++)
		ends += mh_counter(r->m->e[i].k, "poison_ends");
	CU_ASSERT_EQUAL(ends, 0);
	check_others(r, 2);
	crashrig_destroy(r);
}

/* Entry 0 learns of quarantined requests @from to @to, 1024 at most. */
static void
quarantine_at_first(struct crashrig *r, uint64_t from, uint64_t to, bool pass)
{
	for (uint64_t f = from; f <= to; f++) {
		Mh__Held held = MH__HELD__INIT, *list[] = { &held };
		Mh__Poison m = MH__POISON__INIT;

		held.print = f;
		held.pool = (char *)(uintptr_t) "pool";
		held.times = 1;
		held.left_us = 200 * S;
		m.held = list;
		m.n_held = 1;
		mh_poison_receive(r->m->e[0].k, &m, pass);
	}
}

static uint32_t
entries_that_quarantine(struct crashrig *r, uint64_t fingerprint)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		n += mh_poison_quarantine_us(r->m->e[i].k, fingerprint) > 0;
	return n;
}

/*
 * Guards against links that are filled with what entries know of poison
 * requests: all of it is sent at each link that opens, and where links carry
 * nothing a new one opens each second.
 */
static void
test_links_that_flap(void)
{
	struct crashrig *r = crashrig_create(ENGINES, 4);
	uint32_t frames, opened = 0;

	crashrig_run(r, 5 * S);
	r->other_per_s = 0;
	quarantine_at_first(r, 1000, 1031, true); /* a frame holds all */
	crashrig_run(r, 15 * S);
	CU_ASSERT_EQUAL(entries_that_quarantine(r, 1031), ENTRIES);
	frames = r->m->poison_frames;
	crashrig_run(r, 5 * S);
	CU_ASSERT_EQUAL(r->m->poison_frames, frames);
	r->m->silent_dials = true;
	for (uint32_t i = 0; i < ENTRIES; i++) {
		for (uint32_t j = 0; j < ENTRIES; j++)
			mrig_lose(&r->m->e[i], &r->m->e[j], LOSES_BOTH);
		opened -= r->m->e[i].links_opened;
	}
	crashrig_run(r, 30 * S);
	for (uint32_t i = 0; i < ENTRIES; i++)
		opened += r->m->e[i].links_opened;
	frames = r->m->poison_frames - frames;
	printf("%u links opened, %u frames\n", opened, frames);
	CU_ASSERT(opened > 500);
	/* Every five seconds to each other entry. */
	CU_ASSERT(frames <= ENTRIES * (ENTRIES - 1) * 30 / 5);
	quarantine_at_first(r, 77, 77, false);
	CU_ASSERT_EQUAL(entries_that_quarantine(r, 77), 1);
	r->m->silent_dials = false;
	crashrig_run(r, 8 * S);
	CU_ASSERT_EQUAL(entries_that_quarantine(r, 77), ENTRIES);
	crashrig_destroy(r);
}

/* Poison frames that entries send in 3 s, 15 s after the last request. */
static uint32_t
frames_when_quiet(uint32_t seed, int64_t delay_us, bool resets)
{
	struct crashrig *r = crashrig_create(ENGINES, seed);
	uint32_t frames;

	for (uint32_t i = 0; i < ENTRIES; i++)
		r->m->e[i].delay_us = delay_us;
	r->n_poison = resets ? seed % 3 : 0;
	for (int i = 0; i < 15; i++) {
		crashrig_run(r, S);
		if (resets && i % 2 == 1)
			crashrig_reset(r);
		else
			crashrig_crash(
			    r, (uint32_t)g_rand_int_range(r->rand, 0, ENGINES));
	}
	r->other_per_s = 0;
	r->poison_pause_us = 60 * S;
	for (uint32_t b = 1; b <= r->n_poison; b++)
		r->poison_next_us[b] = r->m->now_us + 60 * S;
	crashrig_run(r, 15 * S);
	frames = r->m->poison_frames;
	CU_ASSERT(frames > 0);
	crashrig_run(r, 3 * S);
	frames = r->m->poison_frames - frames;
	if (frames > 0)
		fprintf(stderr, "seed %u, links of %" PRId64 " ms: %u frames\n",
		    seed, mh_ms(delay_us), frames);
	crashrig_destroy(r);
	return frames;
}

/*
 * Announcements of completed runs circulated endlessly.  A run is announced
 * with its age, which lacks the time in flight, so one that came back looked
 * later, was taken for another run and forwarded.  While engines crashed, the
 * entries used 310 s of processor time instead of 15, half of the requests were
 * not served, links were closed as silent, and an entry sent a request to an
 * engine 4.3 s after the engine had announced that it drains, because the frame
 * was still in the entry's backlog.  With no requests, 486,000 frames were sent
 * in 3 s over links with a delay of 20 ms, and 1,566 over links of 600 ms when
 * runs less than a second apart were taken for the same.
 */
static void
test_completions_settle(void)
{
	static const int64_t links_us[] = { 20 * MS, 300 * MS, 600 * MS,
		700 * MS };

	for (size_t i = 0; i < G_N_ELEMENTS(links_us); i++) {
		CU_ASSERT_EQUAL(frames_when_quiet(1, links_us[i], false), 0);
		CU_ASSERT_EQUAL(frames_when_quiet(2, links_us[i], false), 0);
	}
}

/*
 * Connections are reset while engines crash, and links are slow.  Announcements
 * of a crash circulated endlessly, 18 s after the last request: the age that a
 * crash is announced with lacks the time in flight, so after 2.1 s over three
 * links the announcement of a disproved crash was taken for another crash.  The
 * entries that forward then announced in turn that the engine had crashed and
 * that it was alive.
 */
static void
test_crashes_settle(void)
{
	static const uint32_t seeds[] = { 29, 35, 39 };

	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
		CU_ASSERT_EQUAL(frames_when_quiet(seeds[i], 700 * MS, true), 0);
}

/* entry daemons and side processes */

#define OWN_ENTRIES 3
#define OWN_SIDES 6
/* Per second: a ping and a pong each way on each link, and as much again. */
#define QUIET_FRAMES (OWN_ENTRIES * OWN_SIDES * 4)

struct own {
	struct net *n;
	struct net_node *e[OWN_ENTRIES];
	struct net_node *s[OWN_SIDES];
	GRand *rand;
	uint64_t poison[256];
	uint32_t n_poison;
	uint64_t others[2048];
	uint32_t n_others;
	uint32_t retries;
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
		o->s[i]->crashes = true;
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
own_send(struct own *o, const char *path, const char *what)
{
	char *body = g_strdup_printf("{\"input\":\"%s\"}", what);
	struct net_request_args a = { .path = path, .body = body };
	struct net_node *e = o->e[g_rand_int_range(o->rand, 0, OWN_ENTRIES)];
	uint64_t id = net_request(e, &a);

	g_free(body);
	return id;
}

/* Retries the other requests that failed. */
static void
own_retry(struct own *o, const char *path)
{
	char what[24];

	for (uint32_t i = 0; i < o->n_others; i++) {
		const struct net_response *a = net_response(o->n, o->others[i]);

		if (!a->ended || a->status == 200)
			continue;
		o->retries++;
		g_snprintf(what, sizeof(what), "other %u", i);
		o->others[i] = own_send(o, path, what);
	}
}

/* Sends another request each 50 ms and the poison request each 0.7 s. */
static void
own_run(struct own *o, const char *path, int64_t us)
{
	char what[24];

	for (int64_t t = 0; t < us; t += 50 * MS) {
		if (t % (500 * MS) == 0)
			own_retry(o, path);
		g_snprintf(what, sizeof(what), "other %u", o->n_others);
		o->others[o->n_others++] = own_send(o, path, what);
		if (t % (700 * MS) == 0)
			o->poison[o->n_poison++] =
			    own_send(o, path, NET_POISON_TEXT);
		net_run(o->n, 50 * MS);
	}
	net_run(o->n, 3 * S);
}

static uint32_t
own_crashes(const struct own *o)
{
	uint32_t n = 0;

	for (int i = 0; i < OWN_SIDES; i++)
		n += o->s[i]->crash_count;
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
 * An encoder crashed under a request, the entry retried at up to four encoders,
 * and the caller retried at another entry.  After three crashes the request is
 * refused at once with a reason, and the other requests that were running there
 * run elsewhere.
 */
static void
test_own_interface(void)
{
	for (uint32_t seed = 1; seed <= 2; seed++) {
		struct own o;
		uint32_t served = 0, crashes;
		uint64_t frames;

		own_create(&o, seed, "enc");
		own_run(&o, "/v1/pipelines/embed", 10 * S);
		crashes = own_crashes(&o);
		CU_ASSERT(crashes >= 3 && crashes <= 3 + LATE_SENDS_MAX);
		for (uint32_t i = 0; i < o.n_others; i++)
			served += net_response(o.n, o.others[i])->status == 200;
		CU_ASSERT_EQUAL(served, o.n_others);
		CU_ASSERT_EQUAL(
		    net_response(o.n, o.poison[o.n_poison - 1])->status, 503);
		CU_ASSERT_STRING_EQUAL(
		    net_response_text(o.n, o.poison[o.n_poison - 1], "title"),
		    "request-held");
		CU_ASSERT_STRING_EQUAL(
		    net_response_text(o.n, o.poison[o.n_poison - 1], "outcome"),
		    "not-run");
		/* Announcements must not circulate endlessly. */
		frames = frames_of(&o);
		net_run(o.n, 2 * S);
		CU_ASSERT(frames_of(&o) - frames < QUIET_FRAMES * 2);
		CU_ASSERT(
		    net_response(o.n, o.poison[o.n_poison - 1])->retry_after_s >
		    60);
		if (served != o.n_others || crashes > 3 + LATE_SENDS_MAX)
			fprintf(stderr,
			    "seed %u: %u crashes, %u of %u served\n", seed,
			    crashes, served, o.n_others);
		own_destroy(&o);
	}
}

/* A poison booking: never run twice, and quarantined all the same. */
static void
test_own_once(void)
{
	struct own o;
	uint32_t crashes;

	own_create(&o, 9, "book");
	own_run(&o, "/v1/pipelines/confirm", 10 * S);
	crashes = own_crashes(&o);
	CU_ASSERT(crashes >= 3 && crashes <= 3 + LATE_SENDS_MAX);
	CU_ASSERT(net_max_runs(o.n) <= 1);
	CU_ASSERT_STRING_EQUAL(
	    net_response_text(o.n, o.poison[o.n_poison - 1], "title"),
	    "request-held");
	own_destroy(&o);
}

/* A restarted entry receives the state from the linked side processes. */
static void
test_own_entry_restarts(void)
{
	struct own o;
	uint32_t crashes;
	uint64_t id;

	own_create(&o, 4, "enc");
	own_run(&o, "/v1/pipelines/embed", 8 * S);
	crashes = own_crashes(&o);
	for (int i = 0; i < OWN_ENTRIES; i++) {
		net_kill(o.e[i]);
		net_start(o.e[i]);
	}
	net_run(o.n, 3 * S);
	for (int i = 0; i < 20; i++) {
		id = own_send(&o, "/v1/pipelines/embed", NET_POISON_TEXT);
		net_run(o.n, 200 * MS);
		CU_ASSERT_STRING_EQUAL(
		    net_response_text(o.n, id, "title"), "request-held");
	}
	CU_ASSERT_EQUAL(own_crashes(&o), crashes);
	own_destroy(&o);
}

const struct test tests_crash[] = {
	{ "crash: links that flap", test_links_that_flap },
	{ "crash: a poison request", test_crashes_engines },
	{ "crash: others are served", test_others_are_served },
	{ "crash: plain requests", test_plain },
	{ "crash: four poison requests at once", test_many_poison },
	{ "crash: engines on their own", test_crashes_alone },
	{ "crash: two poison requests and engines on their own", test_both },
	{ "crash: two poison requests in the first seconds",
	    test_both_in_the_first_seconds },
	{ "crash: connections reset", test_connections_reset },
	{ "crash: engines drain", test_engines_drain },
	{ "crash: store down", test_store_down },
	{ "crash: an entry restarts", test_entry_restarts },
	{ "crash: announced runs settle", test_completions_settle },
	{ "crash: announced crashes settle", test_crashes_settle },
	{ "own interface: poison request", test_own_interface },
	{ "own interface: poison request, once", test_own_once },
	{ "own interface: poison request, an entry restarts",
	    test_own_entry_restarts },
	{ NULL, NULL },
};
