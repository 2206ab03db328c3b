/**
 * DOC: What a process records of poison requests, what it announces, and stage
 * work of such requests.
 */

#include "platform.h"
#include "regress.h"
#include "world.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define POISON 7
#define SOUND 8
/* Three crashes are enough, and three more sends may be in flight. */
#define CRASHES_MAX 6

/** struct prig - a process with the service alone. */
struct prig {
	struct mh_kern *k;
	int64_t now_us;
	uint32_t frames;
	size_t bytes;
	bool alone;
	struct prig *to; /* gets what is announced; NULL: nobody */
	Mh__Poison *last;
};

static void op_deliver(void *arg, Mh__Frame *f);

static void
op_announce(void *arg, Mh__Frame *f)
{
	struct prig *r = arg;

	if (r->to != NULL)
		op_deliver(r->to, f);

	r->frames++;
	r->bytes += mh__frame__get_packed_size(f);
}

static void
advance(struct prig *r, int64_t us)
{
	r->now_us += us;
	mh_kern_advance(r->k, r->now_us, r->now_us);
}

static bool
op_is_alone(void *arg)
{
	return ((struct prig *)arg)->alone;
}

static struct prig *
prig_create(void)
{
	struct prig *r = g_new0(struct prig, 1);
	struct mh_poison_ops ops = {
		.announce = op_announce, .is_alone = op_is_alone, .arg = r
	};

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
break_call(struct prig *r, const char *endpoint, uint64_t fingerprint)
{
	struct mh_poison_break e = { endpoint, "pool", fingerprint,
		r->now_us - 100 * MS, false, NULL, 0 };

	mh_poison_call_broke(r->k, &e);
}

/* A late crash, see struct mh_poison_break. */
static void
break_call_late(struct prig *r, const char *endpoint, uint64_t fingerprint)
{
	struct mh_poison_break e = { endpoint, "pool", fingerprint,
		r->now_us - 2 * S, true, NULL, 0 };

	mh_poison_call_broke(r->k, &e);
}

/* Three endpoints crash under a request, for good. */
static void
crash_three(struct prig *r, uint64_t fingerprint)
{
	char id[16];

	for (int i = 0; i < 3; i++) {
		g_snprintf(id, sizeof(id), "%" PRIu64 "-%d", fingerprint, i);
		break_call(r, id, fingerprint);
		advance(r, 400 * MS);
	}
}

static size_t
all_bytes(struct prig *r)
{
	r->bytes = 0;
	mh_poison_send_all(r->k, op_announce, r);
	return r->bytes;
}

/*
 * Late crashes were taken for early ones where an endpoint had two calls of the
 * request.
 */
static void
test_late_twice_at_one(void)
{
	static const char *const ids[] = { "a", "b", "c", "d" };
	struct prig *r = prig_create();

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
		break_call_late(r, ids[i], POISON);
		if (i == 1)
			break_call(r, ids[i], POISON);
		advance(r, 400 * MS);
	}
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 0);
	prig_destroy(r);
}

/*
 * One early crash made it take two crashes more to quarantine a request whose
 * other crashes are late.
 */
static void
test_late_but_once(void)
{
	static const char *const ids[] = { "a", "b", "c", "d", "e" };
	struct prig *r = prig_create();

	break_call(r, "other", 0);
	advance(r, 400 * MS);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
		if (i == 1)
			break_call(r, ids[i], POISON);
		else
			break_call_late(r, ids[i], POISON);
		advance(r, 400 * MS);
	}
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 0);
	prig_destroy(r);
}

/*
 * A long-running request may meet three crashes of a pool in a row without
 * being poison; a fourth is needed.
 */
static void
test_late_three(void)
{
	static const char *const ids[] = { "a", "b", "c" };
	struct prig *r = prig_create();

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		break_call_late(r, ids[i], POISON);
		advance(r, 400 * MS);
	}
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	break_call_late(r, "d", POISON);
	advance(r, 400 * MS);
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 0);
	prig_destroy(r);
}

/*
 * A request is quarantined for minutes and then runs on trial: one more crash
 * quarantines it again, for longer.  The record of a request that no longer
 * comes expires.
 */
static void
test_trial_failed(void)
{
	struct prig *r = prig_create();
	json_t *state;

	crash_three(r, POISON);
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 290 * S);
	state = mh_poison_state(r->k);
	CU_ASSERT_EQUAL(json_array_size(state), 1);
	CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(
				   json_array_get(state, 0), "request")),
	    "0000000000000007");
	json_decref(state);
	advance(r, 310 * S);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	CU_ASSERT(mh_poison_isolation_hash(r->k, POISON, "pool") != 0);
	break_call(r, "later", POISON);
	advance(r, 400 * MS);
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 590 * S);
	advance(r, 4300 * S);
	CU_ASSERT_EQUAL(mh_poison_isolation_hash(r->k, POISON, "pool"), 0);
	CU_ASSERT_EQUAL(all_bytes(r), 0);
	prig_destroy(r);
}

/* It completes on trial: it was not poison, or no longer is. */
static void
test_trial_passed(void)
{
	struct prig *r = prig_create();

	crash_three(r, POISON);
	advance(r, 310 * S);
	mh_poison_completed(r->k, POISON, "pool");
	break_call(r, "later", POISON);
	advance(r, 400 * MS);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	prig_destroy(r);
}

/* It comes every 40 s; in between, endpoints crash on their own. */
static void
test_seldom_sent(void)
{
	struct prig *r = prig_create();
	char id[16];

	for (uint64_t i = 0; i < 4; i++) {
		g_snprintf(id, sizeof(id), "a%" PRIu64, i);
		break_call(r, id, POISON);
		advance(r, 30 * S);
		g_snprintf(id, sizeof(id), "b%" PRIu64, i);
		break_call(r, id, 100 + i);
		advance(r, 10 * S);
	}
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 0);
	prig_destroy(r);
}

/* A completion at another pool is no evidence for this one. */
static void
test_completed_elsewhere(void)
{
	struct prig *r = prig_create();

	break_call(r, "a", POISON);
	advance(r, 400 * MS);
	mh_poison_completed(r->k, POISON, "stage");
	break_call(r, "b", POISON);
	advance(r, 400 * MS);
	mh_poison_completed(r->k, POISON, "stage");
	break_call(r, "c", POISON);
	advance(r, 400 * MS);
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 0);
	prig_destroy(r);
}

/*
 * Three answers are lost without a crash.  An answer to a call that was sent
 * before, or to one sent soon after, shows that the endpoint is alive.
 */
static void
test_answers_lost(void)
{
	static const char *const ids[] = { "a", "b", "c" };
	struct prig *r = prig_create();

	for (int i = 0; i < 3; i++) {
		break_call(r, ids[i], POISON);
		advance(r, 800 * MS); /* nothing is in flight any more */
		if (i == 1)
			mh_poison_answered(r->k, ids[i], r->now_us, false);
		else
			mh_poison_answered(r->k, ids[i], 0, false);
	}
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	CU_ASSERT_EQUAL(mh_poison_isolation_hash(r->k, POISON, "pool"), 0);
	crash_three(r, POISON);
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 0);
	/* The last one is disproved. */
	advance(r, 400 * MS);
	mh_poison_answered(r->k, "7-2", 0, false);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	prig_destroy(r);
}

/* Delivers an announcement to another process, through the wire format. */
static void
op_deliver(void *arg, Mh__Frame *f)
{
	struct prig *to = arg;
	size_t len = mh__frame__get_packed_size(f);
	uint8_t *bytes = g_malloc(len);
	Mh__Frame *in;

	mh__frame__pack(f, bytes);
	in = mh__frame__unpack(NULL, len, bytes);
	mh_poison_receive(to->k, in->poison, false);
	mh__frame__free_unpacked(in, NULL);
	g_free(bytes);
}

/*
 * Endpoints crash and restart while the registry still names their first start.
 * Guards against further crashes under that name that count as the first one.
 */
static void
test_restarts_under_one_name(void)
{
	struct prig *here = prig_create(), *other = prig_create();

	for (int i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(mh_poison_quarantine_us(here->k, POISON), 0);
		break_call(here, "a@1", POISON);
		advance(here, 500 * MS);
		break_call(here, "a@1", SOUND); /* it is down */
		advance(here, 1000 * MS);
		advance(other, 1500 * MS);
		mh_poison_answered(here->k, "a@1", here->now_us - MS, false);
		mh_poison_send_all(here->k, op_deliver, other);
		advance(here, 500 * MS);
		advance(other, 500 * MS);
	}
	CU_ASSERT(mh_poison_quarantine_us(here->k, POISON) > 0);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(here->k, SOUND), 0);
	advance(other, 400 * MS);
	CU_ASSERT(mh_poison_quarantine_us(other->k, POISON) > 0);
	prig_destroy(other);
	prig_destroy(here);
}

/*
 * Guards against restarts that one process alone knows of: its next report
 * would not be merged with those of the others, and blame its own requests.
 */
static void
test_restarts_seen_alone(void)
{
	struct prig *r = prig_create();

	r->alone = true;
	for (int i = 0; i < 4; i++) {
		break_call(r, "a@1", SOUND);
		advance(r, 500 * MS);
		break_call(r, "a@1", SOUND);
		advance(r, 1000 * MS);
		mh_poison_answered(r->k, "a@1", r->now_us - MS, false);
		advance(r, 500 * MS);
	}
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, SOUND), 0);
	prig_destroy(r);
}

/*
 * Guards against crashes of an endpoint that only breaks some of its calls: it
 * was never found to be down.
 */
static void
test_breaks_some_calls(void)
{
	struct prig *r = prig_create();

	for (int i = 0; i < 6; i++) {
		break_call(r, "a@1", POISON);
		advance(r, 1500 * MS);
		mh_poison_answered(r->k, "a@1", r->now_us - MS, false);
		advance(r, 500 * MS);
	}
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	prig_destroy(r);
}

/* Guards against calls to an endpoint that is down counted as its crashes. */
static void
test_down_for_long(void)
{
	struct prig *r = prig_create();

	for (int i = 0; i < 6; i++) {
		break_call(r, "a@1", POISON);
		advance(r, 1500 * MS);
	}
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	prig_destroy(r);
}

/*
 * Endpoints crash while links are silent.  Guards against blame on a request
 * that other processes sent to them while they were down.
 */
static void
test_sent_while_down(void)
{
	struct prig *here = prig_create(), *others[2];

	for (int i = 0; i < 2; i++)
		others[i] = prig_create();
	for (uint64_t i = 0; i < 4; i++) {
		struct prig *other = others[i / 2];
		char id[16];

		g_snprintf(id, sizeof(id), "%" PRIu64 "@1", i);
		break_call(here, id, 100 + i);
		advance(here, 800 * MS);
		advance(others[0], 800 * MS);
		advance(others[1], 800 * MS);
		break_call(other, id, SOUND);
		advance(here, 400 * MS);
		advance(others[0], 400 * MS);
		advance(others[1], 400 * MS);
	}
	mh_poison_send_all(others[0]->k, op_deliver, here);
	mh_poison_send_all(others[1]->k, op_deliver, here);
	mh_poison_send_all(here->k, op_deliver, others[0]);
	advance(here, 400 * MS);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(here->k, SOUND), 0);
	CU_ASSERT_EQUAL(mh_poison_isolation_hash(here->k, SOUND, "pool"), 0);
	CU_ASSERT_EQUAL(
	    mh_poison_isolation_hash(others[0]->k, SOUND, "pool"), 0);
	prig_destroy(others[0]);
	prig_destroy(others[1]);
	prig_destroy(here);
}

/*
 * Guards against a quarantine that its own entry found to have no ground, after
 * it had told others of it.
 */
static void
test_withdrawn(void)
{
	struct prig *alone = prig_create(), *other = prig_create();
	struct prig *here = prig_create();

	for (uint64_t i = 0; i < 3; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "%" PRIu64 "@1", i);
		break_call(here, id, 100 + i);
		advance(here, 800 * MS);
		advance(alone, 800 * MS);
		break_call(alone, id, SOUND);
		advance(here, 400 * MS);
		advance(alone, 400 * MS);
		advance(other, 1200 * MS);
	}
	CU_ASSERT(mh_poison_quarantine_us(alone->k, SOUND) > 0);
	mh_poison_send_all(alone->k, op_deliver, other);
	CU_ASSERT(mh_poison_quarantine_us(other->k, SOUND) > 0);
	alone->to = other;
	mh_poison_send_all(here->k, op_deliver, alone);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(alone->k, SOUND), 0);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(other->k, SOUND), 0);
	prig_destroy(alone);
	prig_destroy(other);
	prig_destroy(here);
}

/*
 * Guards against one crash that counts twice, as a process that knows the new
 * start time reports it under another id.
 */
static void
test_crash_under_two_ids(void)
{
	struct prig *here = prig_create(), *other = prig_create();

	for (int i = 0; i < 2; i++) {
		char id[16];

		break_call(here, "a@1", POISON);
		g_snprintf(id, sizeof(id), "a@%d", i + 1);
		break_call(other, id, POISON);
		advance(here, 1500 * MS);
		advance(other, 1500 * MS);
		mh_poison_answered(here->k, "a@1", here->now_us - MS, false);
		mh_poison_send_all(other->k, op_deliver, here);
		advance(here, 500 * MS);
		advance(other, 500 * MS);
	}
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(here->k, POISON), 0);
	prig_destroy(other);
	prig_destroy(here);
}

/*
 * A process that was paused while a quarantine was released announces it again.
 */
static void
test_released_for_good(void)
{
	struct prig *here = prig_create(), *paused = prig_create();

	crash_three(here, POISON);
	mh_poison_send_all(here->k, op_deliver, paused);
	CU_ASSERT(mh_poison_quarantine_us(paused->k, POISON) > 0);
	advance(here, 400 * MS);
	mh_poison_answered(here->k, "7-2", 0, false);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(here->k, POISON), 0);
	advance(here, 11 * S);
	advance(paused, 400 * MS + 11 * S);
	mh_poison_send_all(paused->k, op_deliver, here);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(here->k, POISON), 0);
	mh_poison_send_all(here->k, op_deliver, paused);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(paused->k, POISON), 0);
	/* New crashes quarantine it again. */
	for (int i = 3; i < 7; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "%d-%d", POISON, i);
		break_call(here, id, POISON);
		advance(here, 400 * MS);
	}
	CU_ASSERT(mh_poison_quarantine_us(here->k, POISON) > 0);
	prig_destroy(paused);
	prig_destroy(here);
}

/* An answer of a restarted endpoint does not disprove the crash before. */
static void
test_answer_after_restart(void)
{
	struct prig *r = prig_create();

	crash_three(r, POISON);
	advance(r, 2 * S);
	for (int i = 0; i < 3; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "%d-%d", POISON, i);
		mh_poison_answered(r->k, id, r->now_us, false);
	}
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) > 0);
	prig_destroy(r);
}

/*
 * A failure domain with hundreds of endpoints is lost repeatedly, with
 * thousands of requests: the records kept and announced are bounded, and
 * expire.
 */
static void
test_bounded(void)
{
	struct prig *r = prig_create();
	char id[24];

	for (uint32_t i = 0; i < 40000; i++) {
		g_snprintf(id, sizeof(id), "n%u", i / 20);
		break_call(r, id, 100 + i);
		if (i % 20 == 0)
			advance(r, MS);
	}
	for (uint64_t p = 1000000; p < 1001200; p++)
		crash_three(r, p);
	CU_ASSERT(all_bytes(r) < 256 * 1024);
	CU_ASSERT(mh_counter(r->k, "poison_ends_left_out") > 0);
	advance(r, 190 * S);
	advance(r, 2 * 3600 * S);
	advance(r, 10 * S);
	CU_ASSERT_EQUAL(all_bytes(r), 0);
	prig_destroy(r);
}

/*
 * Processor time per request with full tables: fingerprint of 16 KB,
 * quarantine, isolation, an answer of an endpoint, completion.  The bound is a
 * requirement.
 */
static void
test_cost(void)
{
	enum { ROUNDS = 20000, US_MAX = 10 };
	struct prig *r = prig_create();
	uint8_t *body = g_malloc0(16384);
	struct timespec a, b;
	uint64_t sum = 0;
	double us;

	for (uint64_t p = 1; p < 60; p++)
		crash_three(r, p * 1000);
	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &a);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		uint64_t fingerprint;

		body[0] = (uint8_t)i;
		fingerprint = mh_hash(body, 16384);
		sum += (uint64_t)mh_poison_quarantine_us(r->k, fingerprint);
		sum += mh_poison_isolation_hash(r->k, fingerprint, "pool");
		mh_poison_answered(r->k, "other", 0, false);
		mh_poison_completed(r->k, fingerprint, "pool");
	}
	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &b);
	us = ((double)(b.tv_sec - a.tv_sec) * 1e9 +
		 (double)(b.tv_nsec - a.tv_nsec)) /
	    1e3 / ROUNDS;
	printf("\npoison detection: %.2f us per request\n", us);
	CU_ASSERT_EQUAL(sum, 0);
	CU_ASSERT(us < US_MAX);
	CU_ASSERT_EQUAL(r->bytes > 0, true);
	g_free(body);
	prig_destroy(r);
}

/* Values in frames are not trusted. */
static void
test_odd_frames(void)
{
	struct prig *r = prig_create();
	Mh__Poison m = MH__POISON__INIT;
	Mh__Ended e = MH__ENDED__INIT, *es[] = { &e };
	Mh__Held h = MH__HELD__INIT, *hs[] = { &h };
	Mh__Ran n = MH__RAN__INIT, *ns[] = { &n };
	uint64_t fingerprints[] = { 0, 0, UINT64_MAX };

	e.age_us = UINT64_MAX;
	e.n_fresh = G_N_ELEMENTS(fingerprints);
	e.fresh = fingerprints;
	h.print = POISON;
	h.left_us = UINT64_MAX;
	h.times = UINT32_MAX;
	n.age_us = UINT64_MAX;
	m.n_ended = m.n_held = m.n_ran = 1;
	m.ended = es;
	m.held = hs;
	m.ran = ns;
	mh_poison_receive(r->k, &m, true);
	advance(r, S);
	/* At most the longest quarantine that we impose ourselves. */
	CU_ASSERT(mh_poison_quarantine_us(r->k, POISON) <= 4800 * S);
	advance(r, 4800 * S);
	CU_ASSERT_EQUAL(mh_poison_quarantine_us(r->k, POISON), 0);
	prig_destroy(r);
}

/* A refusal says its reason and whether the request may have run. */
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

/** struct counts - outcomes of jobs, poison and others. */
struct counts {
	struct world *w;
	uint32_t other_done;
	uint32_t other_quarantined;
	uint32_t poison_quarantined;
	uint32_t mixed; /* batches with poison and others, after the first */
};

static void
on_ended(void *arg, const struct mh_job *j, enum mh_job_end end)
{
	struct counts *c = arg;

	c->other_done += j->fingerprint != POISON && end == MH_JOB_DONE;
	c->other_quarantined +=
	    j->fingerprint != POISON && end == MH_JOB_QUARANTINED;
	c->poison_quarantined +=
	    j->fingerprint == POISON && end == MH_JOB_QUARANTINED;
}

static void
op_quarantined(void *arg, uint64_t fingerprint)
{
	mh_sched_quarantine(((struct world *)arg)->sched, fingerprint);
}

/*
 * Pieces of a poison request crash stage endpoints in batches that also have
 * pieces of other requests.  After the first such crash its pieces go into
 * batches of their own; after the third its jobs end as quarantined, and the
 * work of all others is done.
 */
static void
test_stage_work(void)
{
	struct world *w = world_create();
	struct mh_poison_ops ops = { .quarantined = op_quarantined, .arg = w };
	const uint32_t pieces[] = { 2 };
	struct counts c = { .w = w };
	uint32_t n_others = 0;

	mh_poison_create(w->k, &ops);
	world_pool(w, "a", 12, 8, 100 * MS, 5 * MS, 0);
	w->poison = POISON;
	w->on_end = on_ended;
	w->arg = &c;
	for (uint32_t i = 0; i < 200; i++) {
		struct mh_job *j = world_job(w, one_pool, pieces, 4 * S, 6 * S);

		j->fingerprint = i % 20 == 5 ? POISON : 1000 + i;
		n_others += j->fingerprint != POISON;
		mh_sched_submit(w->sched, j);
		world_run(w, 25 * MS);
	}
	world_run(w, 7 * S);
	CU_ASSERT(w->crashes >= 3 && w->crashes <= CRASHES_MAX);
	CU_ASSERT(c.poison_quarantined > 0);
	CU_ASSERT_EQUAL(c.other_quarantined, 0);
	CU_ASSERT_EQUAL(c.other_done, n_others);
	if (w->crashes > CRASHES_MAX || c.other_done != n_others)
		fprintf(stderr, "%u crashes, %u of %u done\n", w->crashes,
		    c.other_done, n_others);
	world_destroy(w);
}

const struct test tests_poison[] = {
	{ "poison: restarts under one name", test_restarts_under_one_name },
	{ "poison: restarts seen alone", test_restarts_seen_alone },
	{ "poison: an endpoint that breaks some calls",
	    test_breaks_some_calls },
	{ "poison: an endpoint down for long", test_down_for_long },
	{ "poison: sent while endpoints were down", test_sent_while_down },
	{ "poison: a quarantine is withdrawn", test_withdrawn },
	{ "poison: a crash under two ids", test_crash_under_two_ids },
	{ "poison: late twice at one", test_late_twice_at_one },
	{ "poison: late but once", test_late_but_once },
	{ "poison: late three times", test_late_three },
	{ "poison: trial fails, record expires", test_trial_failed },
	{ "poison: trial passes", test_trial_passed },
	{ "poison: seldom sent", test_seldom_sent },
	{ "poison: completed elsewhere", test_completed_elsewhere },
	{ "poison: answers lost", test_answers_lost },
	{ "poison: released for good", test_released_for_good },
	{ "poison: answer after restart", test_answer_after_restart },
	{ "poison: bounded", test_bounded },
	{ "poison: cost of a request", test_cost },
	{ "poison: odd frames", test_odd_frames },
	{ "poison: refusal", test_refusal },
	{ "poison: stage work", test_stage_work },
	{ NULL, NULL },
};
