/**
 * DOC: The retry budget of several entries, in virtual time: retries of all of
 * them in any sliding window are compared with what the rule allows.
 */

#include "gate.h"
#include "regress.h"
#include "times.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define ENTRIES 8
#define RATIO 0.2
#define SLACK 50.0
#define WINDOW_US (10 * S)

/** struct brig - the rig: budgets of some entries, and what they allowed. */
struct brig {
	struct mh_kern *k;
	struct mh_budget *b[ENTRIES]; /* NULL: it doesn't run */
	int64_t now_us;
	int64_t window_us;
	GArray *retries; /* int64_t: times of retries of all entries */
	GArray *requests; /* int64_t */
};

static void
brig_advance(struct brig *r, int64_t us)
{
	r->now_us += us;
	mh_kern_advance(r->k, r->now_us, r->now_us);
}

static void
brig_open(struct brig *r)
{
	memset(r, 0, sizeof(*r));
	r->k = mh_kern_create(1);
	r->window_us = WINDOW_US;
	r->retries = g_array_new(FALSE, FALSE, sizeof(int64_t));
	r->requests = g_array_new(FALSE, FALSE, sizeof(int64_t));
	brig_advance(r, 100 * S);
}

static void
brig_stop(struct brig *r, uint32_t i)
{
	mh_budget_destroy(r->b[i]);
	r->b[i] = NULL;
}

static void
brig_close(struct brig *r)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		brig_stop(r, i);
	g_array_free(r->retries, TRUE);
	g_array_free(r->requests, TRUE);
	mh_kern_destroy(r->k);
}

/* Starts an entry again, if it runs. */
static void
brig_start(struct brig *r, uint32_t i)
{
	struct mh_budget_args a = { RATIO, SLACK, r->window_us };

	brig_stop(r, i);
	r->b[i] = mh_budget_create(r->k, &a);
	mh_budget_share(r->b[i]);
}

/* Tells all entries how many share the slack. */
static void
brig_tell(struct brig *r, uint32_t n)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (r->b[i] != NULL)
			mh_budget_entries(r->b[i], n);
	}
}

static void
brig_request(struct brig *r, uint32_t i)
{
	mh_budget_request(r->b[i], "pool");
	g_array_append_val(r->requests, r->now_us);
}

/* At most @most retries of an entry; returns how many it was allowed. */
static uint32_t
brig_retry(struct brig *r, uint32_t i, uint32_t most)
{
	uint32_t n = 0;

	while (n < most && mh_budget_take(r->b[i], "pool")) {
		g_array_append_val(r->retries, r->now_us);
		n++;
	}
	return n;
}

/* The most by which retries in any window exceed what is allowed in it. */
static double
excess(const struct brig *r)
{
	double most = -SLACK;

	for (guint i = 0; i < r->retries->len; i++) {
		int64_t t = g_array_index(r->retries, int64_t, i);
		int64_t w = r->window_us;
		uint32_t q = times_within(r->requests, t, w);

		q = MAX(q, times_within(r->requests, t - w / 2, w));
		q = MAX(q, times_within(r->requests, t - w, w));
		most = MAX(
		    most, times_within(r->retries, t, w) - (RATIO * q + SLACK));
	}
	return most;
}

/*
 * Guards against retries that are forgotten before a whole window has passed:
 * one burst at the end of a bucket, the next as soon as it is forgotten.
 */
static void
test_two_bursts(void)
{
	struct brig r;
	uint32_t n;

	brig_open(&r);
	brig_start(&r, 0);
	brig_tell(&r, 1);
	brig_advance(&r, 3 * WINDOW_US - MS);
	for (int i = 0; i < 5; i++)
		brig_request(&r, 0);
	n = brig_retry(&r, 0, UINT32_MAX);
	CU_ASSERT_EQUAL(n, 41);
	for (int i = 0; i < 100; i++) {
		brig_advance(&r, WINDOW_US / 100);
		n += brig_retry(&r, 0, UINT32_MAX);
	}
	CU_ASSERT_EQUAL(n, 41);
	CU_ASSERT(excess(&r) <= 0);
	brig_advance(&r, WINDOW_US / 10);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 40);
	brig_close(&r);
}

/* Guards against spending the slack of all entries before these are known. */
static void
test_entries_not_known(void)
{
	struct brig r;

	brig_open(&r);
	for (uint32_t i = 0; i < ENTRIES; i++)
		brig_start(&r, i);
	brig_advance(&r, 3 * WINDOW_US);
	for (uint32_t i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(brig_retry(&r, i, UINT32_MAX), 0);
	for (int i = 0; i < 50; i++)
		brig_request(&r, 0);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 10);
	CU_ASSERT(excess(&r) <= 0);
	brig_tell(&r, ENTRIES);
	CU_ASSERT_EQUAL(brig_retry(&r, 1, UINT32_MAX), 5);
	brig_close(&r);
}

/* Guards against a fresh share of the slack for each start of an entry. */
static void
test_restarted_in_turn(void)
{
	struct brig r;
	uint32_t n = 0;

	brig_open(&r);
	for (uint32_t i = 0; i < 4; i++)
		brig_start(&r, i);
	brig_tell(&r, 4);
	brig_advance(&r, 3 * WINDOW_US);
	for (uint32_t round = 0; round < 2; round++) {
		for (uint32_t i = 0; i < 4; i++) {
			n += brig_retry(&r, i, UINT32_MAX);
			brig_advance(&r, 700 * MS);
			brig_start(&r, i);
			brig_tell(&r, 4);
		}
	}
	CU_ASSERT_EQUAL(n, 40);
	CU_ASSERT(excess(&r) <= 0);
	brig_advance(&r, 2 * WINDOW_US);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 10);
	brig_close(&r);
}

/*
 * Guards against entries that join and get a share before the others know of
 * them, and have spent larger shares.
 */
static void
test_many_join(void)
{
	struct brig r;

	brig_open(&r);
	brig_start(&r, 0);
	brig_tell(&r, 1);
	brig_advance(&r, 3 * WINDOW_US);
	for (uint32_t i = 1; i < ENTRIES; i++) {
		brig_start(&r, i);
		mh_budget_entries(r.b[i], ENTRIES);
	}
	brig_advance(&r, 3 * S);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 40);
	brig_tell(&r, ENTRIES);
	for (int i = 0; i < 200; i++) {
		brig_advance(&r, 100 * MS);
		for (uint32_t e = 0; e < ENTRIES; e++)
			brig_retry(&r, e, UINT32_MAX);
	}
	CU_ASSERT(excess(&r) <= 0);
	brig_close(&r);
}

/*
 * Guards against shares that grow at once when entries leave: what these have
 * spent is still in the window.
 */
static void
test_entries_leave(void)
{
	struct brig r;

	brig_open(&r);
	for (uint32_t i = 0; i < 4; i++)
		brig_start(&r, i);
	brig_tell(&r, 4);
	brig_advance(&r, 3 * WINDOW_US);
	for (uint32_t i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(brig_retry(&r, i, UINT32_MAX), 10);
	brig_advance(&r, S);
	for (uint32_t left = 3; left > 0; left--) {
		brig_stop(&r, left);
		brig_tell(&r, left);
		brig_advance(&r, S);
		for (uint32_t i = 0; i < left; i++)
			CU_ASSERT_EQUAL(brig_retry(&r, i, UINT32_MAX), 0);
	}
	CU_ASSERT(excess(&r) <= 0);
	brig_advance(&r, 2 * WINDOW_US);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 40);
	brig_close(&r);
}

/*
 * Guards against requests that count for longer than a window because its
 * length was changed.
 */
static void
test_requests_after_resize(void)
{
	struct mh_budget_args a = { RATIO, 0, 9 * S };
	struct brig r;

	brig_open(&r);
	brig_start(&r, 0);
	brig_tell(&r, 1);
	for (int i = 0; i < 100; i++)
		brig_request(&r, 0);
	brig_advance(&r, 8 * S);
	mh_budget_set(r.b[0], &a);
	brig_advance(&r, 2 * S);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 0);
	brig_close(&r);
}

/*
 * Another slack and ratio hold at once, for retries already spent too.  Guards
 * against a fresh allowance with each change of settings.
 */
static void
test_other_slack(void)
{
	struct mh_budget_args a = { RATIO, SLACK / 2, WINDOW_US };
	struct brig r;

	brig_open(&r);
	brig_start(&r, 0);
	brig_tell(&r, 1);
	brig_advance(&r, 3 * WINDOW_US);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, 30), 30);
	mh_budget_set(r.b[0], &a);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 0);
	a.slack = SLACK;
	mh_budget_set(r.b[0], &a);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 10);
	CU_ASSERT(excess(&r) <= 0);
	brig_close(&r);
}

/*
 * A change of settings makes the window longer.  Guards against a whole slack
 * at once although retries that the shorter window had forgotten count again.
 */
static void
test_longer_window(void)
{
	struct mh_budget_args a = { RATIO, SLACK, WINDOW_US };
	struct brig r;

	brig_open(&r);
	r.window_us = 2 * S;
	brig_start(&r, 0);
	brig_tell(&r, 1);
	brig_advance(&r, 3 * WINDOW_US);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 40);
	brig_advance(&r, 3 * S);
	brig_request(&r, 0);
	r.window_us = WINDOW_US;
	mh_budget_set(r.b[0], &a);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 0);
	CU_ASSERT(excess(&r) <= 0);
	brig_advance(&r, 9 * S);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 40);
	CU_ASSERT(excess(&r) <= 0);
	brig_close(&r);
}

static uint32_t
read_count(void *arg)
{
	return *(uint32_t *)arg;
}

/*
 * Guards against a number of entries that is asked for only when the list
 * changes: entries are known by their heartbeats before the list names them.
 */
static void
test_followed(void)
{
	uint32_t n = 0;
	struct brig r;

	brig_open(&r);
	brig_start(&r, 0);
	mh_budget_follow(r.b[0], read_count, &n);
	for (int i = 0; i < 30; i++)
		brig_advance(&r, S);
	CU_ASSERT_EQUAL(mh_budget_shared_by(r.b[0]), 0);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 0);
	n = 2;
	brig_advance(&r, WINDOW_US / 10);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 20);
	/* They are there for less than a window and not used meanwhile. */
	n = 8;
	brig_advance(&r, WINDOW_US / 10);
	n = 2;
	for (int i = 0; i < 9; i++)
		brig_advance(&r, S);
	CU_ASSERT_EQUAL(mh_budget_shared_by(r.b[0]), 8);
	for (int i = 0; i < 3; i++)
		brig_advance(&r, S);
	CU_ASSERT_EQUAL(mh_budget_shared_by(r.b[0]), 2);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 20);
	brig_close(&r);
}

/*
 * An entry that is frozen for longer than a window is dropped by the others,
 * which share the slack without it.  Guards against a share of its own as soon
 * as it wakes.
 */
static void
test_woken(void)
{
	uint32_t n = 2;
	struct brig r;

	brig_open(&r);
	brig_start(&r, 0);
	mh_budget_follow(r.b[0], read_count, &n);
	for (int i = 0; i < 30; i++)
		brig_advance(&r, S);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 20);
	brig_advance(&r, WINDOW_US + S);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 0);
	for (int i = 0; i < 16; i++)
		brig_advance(&r, S);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 20);
	brig_close(&r);
}

static uint32_t
count_text(const char *all, const char *text)
{
	uint32_t n = 0;

	for (const char *p = all; (p = strstr(p, text)) != NULL; p++)
		n++;
	return n;
}

/*
 * Guards against refused retries that no log shows, and against a line for each
 * of them.
 */
static void
test_used_up_logged(void)
{
	struct brig r;
	char all[4096] = "";
	int fds[2];

	CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
	CU_ASSERT_EQUAL_FATAL(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
	brig_open(&r);
	mh_evlog_create(r.k, fds[1]);
	brig_start(&r, 0);
	brig_tell(&r, 5);
	brig_advance(&r, 3 * WINDOW_US);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 8);
	for (int i = 0; i < 10; i++)
		CU_ASSERT_EQUAL(brig_retry(&r, 0, 1), 0);
	brig_advance(&r, WINDOW_US + S);
	CU_ASSERT_EQUAL(brig_retry(&r, 0, UINT32_MAX), 8);
	brig_advance(&r, S);
	CU_ASSERT(read(fds[0], all, sizeof(all) - 1) > 0);
	CU_ASSERT_EQUAL(count_text(all, "ev=retries-used-up"), 2);
	CU_ASSERT_EQUAL(
	    count_text(all,
		"pool=pool used=8 allowed=8.0 slack=8.0 entries=5 refused=1 "
		"up_s=30"),
	    1);
	CU_ASSERT_EQUAL(count_text(all, "refused=11 up_s=41"), 1);
	brig_close(&r);
	close(fds[0]);
	close(fds[1]);
}

/** struct draw - what the entries of a drawn run do and know. */
struct draw {
	struct brig r;
	GRand *rand;
	uint32_t told; /* entries that all were last told of */
	int64_t tell_us; /* when they are told again; 0: they know */
};

/* Starts, restarts or stops an entry; the others learn of it later. */
static void
draw_change(struct draw *d)
{
	uint32_t i = (uint32_t)g_rand_int_range(d->rand, 0, ENTRIES);

	if (d->r.b[i] != NULL && g_rand_boolean(d->rand)) {
		brig_stop(&d->r, i);
	} else {
		brig_start(&d->r, i);
		if (g_rand_boolean(d->rand))
			mh_budget_entries(d->r.b[i], d->told);
	}
	if (d->tell_us == 0)
		d->tell_us =
		    d->r.now_us + g_rand_int_range(d->rand, 0, (gint32)(3 * S));
}

static void
draw_tell(struct draw *d)
{
	if (d->tell_us == 0 || d->tell_us > d->r.now_us)
		return;
	d->tell_us = 0;
	d->told = 0;
	for (uint32_t i = 0; i < ENTRIES; i++)
		d->told += d->r.b[i] != NULL;
	brig_tell(&d->r, d->told);
}

static void
draw_step(struct draw *d, double change)
{
	bool storm = g_rand_double(d->rand) < 0.05;

	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (d->r.b[i] == NULL)
			continue;
		if (g_rand_double(d->rand) < 0.1)
			brig_request(&d->r, i);
		if (storm)
			brig_retry(&d->r, i, UINT32_MAX);
	}
	if (g_rand_double(d->rand) < change) {
		for (int n = g_rand_int_range(d->rand, 1, ENTRIES); n > 0; n--)
			draw_change(d);
	}
	draw_tell(d);
	brig_advance(&d->r, g_rand_int_range(d->rand, 1, 200) * MS);
}

/*
 * Entries that start, restart and leave at drawn times, and know of each other
 * up to three seconds late.  Guards against a sum of shares that exceeds the
 * slack for a reason that no other test names.
 */
static void
test_drawn(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(60); seed++) {
		struct draw d = { .rand = g_rand_new_with_seed(seed) };
		double change = seed % 3 == 0 ? 0.05 : 0.005, over;

		brig_open(&d.r);
		for (uint32_t i = 0; i < ENTRIES; i++)
			brig_start(&d.r, i);
		d.told = ENTRIES;
		brig_tell(&d.r, ENTRIES);
		for (int step = 0; step < 1500; step++)
			draw_step(&d, change);
		over = excess(&d.r);
		if (over > 0)
			printf(
			    "\n  seed %u: %.1f retries too many\n", seed, over);
		CU_ASSERT(over <= 0);
		g_rand_free(d.rand);
		brig_close(&d.r);
	}
}

const struct test tests_budget[] = {
	{ "budget: two bursts within a window", test_two_bursts },
	{ "budget: entries not known yet", test_entries_not_known },
	{ "budget: entries restarted in turn", test_restarted_in_turn },
	{ "budget: many entries join", test_many_join },
	{ "budget: entries leave", test_entries_leave },
	{ "budget: requests after a change of the window",
	    test_requests_after_resize },
	{ "budget: another slack", test_other_slack },
	{ "budget: a longer window", test_longer_window },
	{ "budget: entries that no list names yet", test_followed },
	{ "budget: an entry that was frozen", test_woken },
	{ "budget: used up is logged once a window", test_used_up_logged },
	{ "budget: entries come and go, drawn", test_drawn },
	{ NULL, NULL },
};
