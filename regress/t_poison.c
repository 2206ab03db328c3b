/**
 * DOC: What a process keeps of requests under which endpoints end, what it
 * tells, and stage work of such requests.
 */

#include "platform.h"
#include "regress.h"
#include "world.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define BAD 7
/* Three ends tell, and three sendings more may be under way. */
#define FALLS_MOST 6

/** struct prig - a process alone. */
struct prig {
	struct mh_kern *k;
	int64_t now_us;
	uint32_t frames;
	size_t bytes;
	Mh__Poison *last;
};

static void
op_tell(void *arg, Mh__Frame *f)
{
	struct prig *r = arg;

	r->frames++;
	r->bytes += mh__frame__get_packed_size(f);
}

static void
pass(struct prig *r, int64_t us)
{
	r->now_us += us;
	mh_kern_advance(r->k, r->now_us, r->now_us);
}

static struct prig *
prig_create(void)
{
	struct prig *r = g_new0(struct prig, 1);
	struct mh_poison_ops ops = { .tell = op_tell, .arg = r };

	r->now_us = S;
	r->k = mh_kern_create(1);
	mh_kern_advance(r->k, S, S);
	mh_poison_create(r->k, &ops);
	return r;
}

static void
prig_destroy(struct prig *r)
{
	mh_kern_destroy(r->k);
	g_free(r);
}

static void
broke(struct prig *r, const char *endpoint, uint64_t print)
{
	struct mh_poison_end e = { endpoint, "pool", print,
		r->now_us - 100 * MS, false };

	mh_poison_broke(r->k, &e);
}

/* An endpoint ends under a request that had run there for a while. */
static void
broke_late(struct prig *r, const char *endpoint, uint64_t print)
{
	struct mh_poison_end e = { endpoint, "pool", print, r->now_us - 2 * S,
		true };

	mh_poison_broke(r->k, &e);
}

/* Three endpoints end under a request, and are gone. */
static void
end_three(struct prig *r, uint64_t print)
{
	char id[16];

	for (int i = 0; i < 3; i++) {
		g_snprintf(id, sizeof(id), "%" PRIu64 "-%d", print, i);
		broke(r, id, print);
		pass(r, 400 * MS);
	}
}

static size_t
all_bytes(struct prig *r)
{
	r->bytes = 0;
	mh_poison_all(r->k, op_tell, r);
	return r->bytes;
}

/* A cause that shows late was taken for a quick one where it ran twice. */
static void
test_late_twice_at_one(void)
{
	static const char *const ids[] = { "a", "b", "c", "d" };
	struct prig *r = prig_create();

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
		broke_late(r, ids[i], BAD);
		if (i == 1)
			broke(r, ids[i], BAD);
		pass(r, 400 * MS);
	}
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 0);
	prig_destroy(r);
}

/* One end met by chance took two ends more to hold a cause that shows late. */
static void
test_late_but_once(void)
{
	static const char *const ids[] = { "a", "b", "c", "d", "e" };
	struct prig *r = prig_create();

	broke(r, "other", 0);
	pass(r, 400 * MS);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
		if (i == 1)
			broke(r, ids[i], BAD);
		else
			broke_late(r, ids[i], BAD);
		pass(r, 400 * MS);
	}
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 0);
	prig_destroy(r);
}

/* Who runs for long meets three ends of a pool in a row, and is no cause. */
static void
test_late_three(void)
{
	static const char *const ids[] = { "a", "b", "c" };
	struct prig *r = prig_create();

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		broke_late(r, ids[i], BAD);
		pass(r, 400 * MS);
	}
	CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
	broke_late(r, "d", BAD);
	pass(r, 400 * MS);
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 0);
	prig_destroy(r);
}

/*
 * A request is held for minutes and then tried: one end more holds it again,
 * for longer.  What nobody asks for any more is forgotten.
 */
static void
test_tried_again(void)
{
	struct prig *r = prig_create();
	json_t *state;

	end_three(r, BAD);
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 290 * S);
	state = mh_poison_state(r->k);
	CU_ASSERT_EQUAL(json_array_size(state), 1);
	CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(
				   json_array_get(state, 0), "request")),
	    "0000000000000007");
	json_decref(state);
	pass(r, 310 * S);
	CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
	CU_ASSERT(mh_poison_apart(r->k, BAD, "pool") != 0);
	broke(r, "later", BAD);
	pass(r, 400 * MS);
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 590 * S);
	pass(r, 4300 * S);
	CU_ASSERT_EQUAL(mh_poison_apart(r->k, BAD, "pool"), 0);
	CU_ASSERT_EQUAL(all_bytes(r), 0);
	prig_destroy(r);
}

/* On trial it runs whole: it was not the cause, or is no more. */
static void
test_trial_passed(void)
{
	struct prig *r = prig_create();

	end_three(r, BAD);
	pass(r, 310 * S);
	mh_poison_ran(r->k, BAD, "pool");
	broke(r, "later", BAD);
	pass(r, 400 * MS);
	CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
	prig_destroy(r);
}

/* Its caller asks every 40 s; between, endpoints end by themselves. */
static void
test_asked_seldom(void)
{
	struct prig *r = prig_create();
	char id[16];

	for (uint64_t i = 0; i < 4; i++) {
		g_snprintf(id, sizeof(id), "a%" PRIu64, i);
		broke(r, id, BAD);
		pass(r, 30 * S);
		g_snprintf(id, sizeof(id), "b%" PRIu64, i);
		broke(r, id, 100 + i);
		pass(r, 10 * S);
	}
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 0);
	prig_destroy(r);
}

/* It ran at another pool: that says nothing of this one. */
static void
test_ran_elsewhere(void)
{
	struct prig *r = prig_create();

	broke(r, "a", BAD);
	pass(r, 400 * MS);
	mh_poison_ran(r->k, BAD, "stage");
	broke(r, "b", BAD);
	pass(r, 400 * MS);
	mh_poison_ran(r->k, BAD, "stage");
	broke(r, "c", BAD);
	pass(r, 400 * MS);
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 0);
	prig_destroy(r);
}

/*
 * The answer of each of three runs was lost, and the endpoints go on: an answer
 * to a call that was open all the while, or one soon after, shows it.
 */
static void
test_answers_lost(void)
{
	static const char *const ids[] = { "a", "b", "c" };
	struct prig *r = prig_create();

	for (int i = 0; i < 3; i++) {
		broke(r, ids[i], BAD);
		pass(r, 800 * MS); /* nothing is on its way any more */
		if (i == 1)
			mh_poison_answered(r->k, ids[i], r->now_us, false);
		else
			mh_poison_answered(r->k, ids[i], 0, false);
	}
	CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
	CU_ASSERT_EQUAL(mh_poison_apart(r->k, BAD, "pool"), 0);
	end_three(r, BAD);
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 0);
	/* The last one was none after all. */
	pass(r, 400 * MS);
	mh_poison_answered(r->k, "7-2", 0, false);
	CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
	prig_destroy(r);
}

/* What a process tells, as another one takes it. */
static void
op_deliver(void *arg, Mh__Frame *f)
{
	struct prig *to = arg;
	size_t len = mh__frame__get_packed_size(f);
	uint8_t *bytes = g_malloc(len);
	Mh__Frame *in;

	mh__frame__pack(f, bytes);
	in = mh__frame__unpack(NULL, len, bytes);
	mh_poison_take(to->k, in->poison, false);
	mh__frame__free_unpacked(in, NULL);
	g_free(bytes);
}

/*
 * A process that was paused while a hold was released tells of it once more.
 */
static void
test_released_for_good(void)
{
	struct prig *here = prig_create(), *paused = prig_create();

	end_three(here, BAD);
	mh_poison_all(here->k, op_deliver, paused);
	CU_ASSERT(mh_poison_held_us(paused->k, BAD) > 0);
	pass(here, 400 * MS);
	mh_poison_answered(here->k, "7-2", 0, false);
	CU_ASSERT_EQUAL(mh_poison_held_us(here->k, BAD), 0);
	pass(here, 11 * S);
	pass(paused, 400 * MS + 11 * S);
	mh_poison_all(paused->k, op_deliver, here);
	CU_ASSERT_EQUAL(mh_poison_held_us(here->k, BAD), 0);
	mh_poison_all(here->k, op_deliver, paused);
	CU_ASSERT_EQUAL(mh_poison_held_us(paused->k, BAD), 0);
	/* What ends engines anew is held again. */
	for (int i = 3; i < 7; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "%d-%d", BAD, i);
		broke(here, id, BAD);
		pass(here, 400 * MS);
	}
	CU_ASSERT(mh_poison_held_us(here->k, BAD) > 0);
	prig_destroy(paused);
	prig_destroy(here);
}

/* What an endpoint that starts again answers does not clear the one before. */
static void
test_answer_of_the_next(void)
{
	struct prig *r = prig_create();

	end_three(r, BAD);
	pass(r, 2 * S);
	for (int i = 0; i < 3; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "%d-%d", BAD, i);
		mh_poison_answered(r->k, id, r->now_us, false);
	}
	CU_ASSERT(mh_poison_held_us(r->k, BAD) > 0);
	prig_destroy(r);
}

/*
 * A zone with hundreds of endpoints is lost, again and again, under thousands
 * of requests: what is kept and told stays small, and goes.
 */
static void
test_bounded(void)
{
	struct prig *r = prig_create();
	char id[24];

	for (uint32_t i = 0; i < 40000; i++) {
		g_snprintf(id, sizeof(id), "n%u", i / 20);
		broke(r, id, 100 + i);
		if (i % 20 == 0)
			pass(r, MS);
	}
	for (uint64_t p = 1000000; p < 1001200; p++)
		end_three(r, p);
	CU_ASSERT(all_bytes(r) < 256 * 1024);
	CU_ASSERT(mh_counter(r->k, "poison_ends_left_out") > 0);
	pass(r, 190 * S);
	pass(r, 2 * 3600 * S);
	pass(r, 10 * S);
	CU_ASSERT_EQUAL(all_bytes(r), 0);
	prig_destroy(r);
}

/*
 * What each request costs more: fingerprint of 16 KB, whether it is held, where
 * it goes, that an endpoint answered, that it ran; with full tables.  The bound
 * is what the users gave.
 */
static void
test_cost(void)
{
	enum { ROUNDS = 20000, US_MOST = 10 };
	struct prig *r = prig_create();
	uint8_t *body = g_malloc0(16384);
	struct timespec a, b;
	uint64_t sum = 0;
	double us;

	for (uint64_t p = 1; p < 60; p++)
		end_three(r, p * 1000);
	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &a);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		uint64_t print;

		body[0] = (uint8_t)i;
		print = mh_hash(body, 16384);
		sum += (uint64_t)mh_poison_held_us(r->k, print);
		sum += mh_poison_apart(r->k, print, "pool");
		mh_poison_answered(r->k, "other", 0, false);
		mh_poison_ran(r->k, print, "pool");
	}
	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &b);
	us = ((double)(b.tv_sec - a.tv_sec) * 1e9 +
		 (double)(b.tv_nsec - a.tv_nsec)) /
	    1e3 / ROUNDS;
	printf("\nheld requests: %.2f us a request more\n", us);
	CU_ASSERT_EQUAL(sum, 0);
	CU_ASSERT(us < US_MOST);
	CU_ASSERT_EQUAL(r->bytes > 0, true);
	g_free(body);
	prig_destroy(r);
}

/* Frames of another process may hold anything. */
static void
test_strange_frames(void)
{
	struct prig *r = prig_create();
	Mh__Poison m = MH__POISON__INIT;
	Mh__Ended e = MH__ENDED__INIT, *es[] = { &e };
	Mh__Held h = MH__HELD__INIT, *hs[] = { &h };
	Mh__Ran n = MH__RAN__INIT, *ns[] = { &n };
	uint64_t prints[] = { 0, 0, UINT64_MAX };

	e.age_us = UINT64_MAX;
	e.n_fresh = G_N_ELEMENTS(prints);
	e.fresh = prints;
	h.print = BAD;
	h.left_us = UINT64_MAX;
	h.times = UINT32_MAX;
	n.age_us = UINT64_MAX;
	m.n_ended = m.n_held = m.n_ran = 1;
	m.ended = es;
	m.held = hs;
	m.ran = ns;
	mh_poison_take(r->k, &m, true);
	pass(r, S);
	/* As long as the longest hold of ours, and no longer. */
	CU_ASSERT(mh_poison_held_us(r->k, BAD) <= 4800 * S);
	pass(r, 4800 * S);
	CU_ASSERT_EQUAL(mh_poison_held_us(r->k, BAD), 0);
	prig_destroy(r);
}

/* A caller hears which refusal it is, and whether it may have run. */
static void
test_refusal(void)
{
	const char *text;

	CU_ASSERT_EQUAL(plat_refusal(MH_QUARANTINED, &text), 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "not run"));
	CU_ASSERT_EQUAL(plat_refusal(MH_RUN_QUARANTINED, &text), 502);
	CU_ASSERT_PTR_NULL(strstr(text, "not run"));
	CU_ASSERT_STRING_EQUAL(mh_gate_refusal_name(MH_QUARANTINED), "held");
	CU_ASSERT_STRING_EQUAL(
	    mh_gate_refusal_name(MH_RUN_QUARANTINED), "run_held");
}

/* stage work */

static const char *const one_pool[] = { "a", NULL };

/** struct counts - what came of jobs, by whether they are the cause. */
struct counts {
	struct world *w;
	uint32_t good_done;
	uint32_t good_held;
	uint32_t bad_held;
	uint32_t mixed; /* calls with the cause and others, after its first */
};

static void
on_ended(void *arg, const struct mh_job *j, enum mh_job_end end)
{
	struct counts *c = arg;

	c->good_done += j->fingerprint != BAD && end == MH_JOB_DONE;
	c->good_held += j->fingerprint != BAD && end == MH_JOB_QUARANTINED;
	c->bad_held += j->fingerprint == BAD && end == MH_JOB_QUARANTINED;
}

static void
op_held(void *arg, uint64_t print)
{
	mh_sched_quarantine(((struct world *)arg)->sched, print);
}

/*
 * Stage endpoints end under the pieces of one request, in calls with pieces of
 * others.  After the first such end its pieces have calls of their own; after
 * the third its jobs end as held, and the work of all others is done.
 */
static void
test_stage_work(void)
{
	struct world *w = world_create();
	struct mh_poison_ops ops = { .held = op_held, .arg = w };
	const uint32_t pieces[] = { 2 };
	struct counts c = { .w = w };
	uint32_t asked = 0;

	mh_poison_create(w->k, &ops);
	world_pool(w, "a", 12, 8, 100 * MS, 5 * MS, 0);
	w->poison = BAD;
	w->on_end = on_ended;
	w->arg = &c;
	for (uint32_t i = 0; i < 200; i++) {
		struct mh_job *j = world_job(w, one_pool, pieces, 4 * S, 6 * S);

		j->fingerprint = i % 20 == 5 ? BAD : 1000 + i;
		asked += j->fingerprint != BAD;
		mh_sched_submit(w->sched, j);
		world_run(w, 25 * MS);
	}
	world_run(w, 7 * S);
	CU_ASSERT(w->crashes >= 3 && w->crashes <= FALLS_MOST);
	CU_ASSERT(c.bad_held > 0);
	CU_ASSERT_EQUAL(c.good_held, 0);
	CU_ASSERT_EQUAL(c.good_done, asked);
	if (w->crashes > FALLS_MOST || c.good_done != asked)
		fprintf(stderr, "%u falls, %u of %u done\n", w->crashes,
		    c.good_done, asked);
	world_destroy(w);
}

const struct test tests_poison[] = {
	{ "poison: late twice at one", test_late_twice_at_one },
	{ "poison: late but once", test_late_but_once },
	{ "poison: late three times", test_late_three },
	{ "held, tried, forgotten", test_tried_again },
	{ "a trial that passes", test_trial_passed },
	{ "asked seldom", test_asked_seldom },
	{ "it ran at another pool", test_ran_elsewhere },
	{ "answers lost", test_answers_lost },
	{ "released for good", test_released_for_good },
	{ "answers of the next incarnation", test_answer_of_the_next },
	{ "bounded", test_bounded },
	{ "cost of a request", test_cost },
	{ "strange frames", test_strange_frames },
	{ "refusal", test_refusal },
	{ "stage work", test_stage_work },
	{ NULL, NULL },
};
