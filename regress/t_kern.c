/**
 * DOC: Tests of the kernel, histograms, UUIDs and rendezvous hashing.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

struct probe {
	struct mh_kern *k;
	struct mh_timer *t;
	int order[8];
	int n;
};

static void
fire_a(void *arg)
{
	struct probe *p = arg;

	p->order[p->n++] = 1;
}

static void
fire_b(void *arg)
{
	struct probe *p = arg;

	p->order[p->n++] = 2;
	mh_timer_stop(p->k, &p->t);
}

static void
test_timers_in_order(void)
{
	struct probe p = { .k = mh_kern_create(1) };

	mh_timer_start(p.k, 20, fire_a, &p);
	mh_timer_start(p.k, 10, fire_b, &p);
	p.t = mh_timer_start(p.k, 15, fire_a, &p);
	CU_ASSERT_EQUAL(mh_kern_next_us(p.k), 10);
	mh_kern_advance(p.k, 30, 0);
	CU_ASSERT_EQUAL(p.n, 2);
	CU_ASSERT_EQUAL(p.order[0], 2);
	CU_ASSERT_EQUAL(p.order[1], 1);
	CU_ASSERT_EQUAL(mh_kern_next_us(p.k), -1);
	mh_kern_destroy(p.k);
}

/*
 * The platform sets the clock of a VM back.  If the kernel's time followed,
 * timers would stop, deadlines would move and requests would hang.
 */
static void
test_time_never_goes_back(void)
{
	struct mh_kern *k = mh_kern_create(1);

	mh_kern_advance(k, 100, 0);
	mh_kern_advance(k, 50, 0);
	CU_ASSERT_EQUAL(mh_now(k), 100);
	mh_kern_destroy(k);
}

static void
test_unknown_service_is_counted(void)
{
	struct mh_kern *k = mh_kern_create(1);

	mh_post(k, "nobody", mh_msg_new(MH_MSG_CALLER_LEFT));
	CU_ASSERT_EQUAL(mh_counter(k, "kern_undelivered"), 1);
	mh_kern_destroy(k);
}

static void
test_hist_quantile_within_a_bucket(void)
{
	struct mh_hist *h = mh_hist_create();

	for (int i = 1; i <= 1000; i++)
		mh_hist_add(h, i * 1000);
	CU_ASSERT_EQUAL(mh_hist_count(h), 1000);
	CU_ASSERT(mh_hist_quantile(h, 0.5) > 480000);
	CU_ASSERT(mh_hist_quantile(h, 0.5) < 520000);
	CU_ASSERT(mh_hist_quantile(h, 0.99) > 950000);
	mh_hist_destroy(h);
}

static void
test_uuid7_contains_time(void)
{
	struct mh_kern *k = mh_kern_create(1);
	uint8_t id[MH_ID_LEN];
	char *text;

	mh_kern_advance(k, 1, NET_START_WALL_US);
	mh_uuid7(k, id);
	text = mh_uuid_text(id);
	CU_ASSERT_EQUAL(mh_uuid7_ms(text), NET_START_WALL_US / 1000);
	text[14] = '4';
	CU_ASSERT_EQUAL(mh_uuid7_ms(text), -1);
	CU_ASSERT_EQUAL(mh_uuid7_ms("booking-17"), -1);
	g_free(text);
	mh_kern_destroy(k);
}

/* Removing a node moves only the keys that it owned. */
static void
test_rendezvous_moves_few_keys(void)
{
	int moved = 0, owned = 0;

	for (int i = 0; i < 1000; i++) {
		char key[16], node[16];
		uint64_t best10 = 0, best9 = 0;
		int at10 = 0, at9 = 0;

		snprintf(key, sizeof(key), "k%d", i);
		for (int j = 0; j < 10; j++) {
			uint64_t w;

			snprintf(node, sizeof(node), "n%d", j);
			w = mh_rendezvous(key, node);
			if (w > best10) {
				best10 = w;
				at10 = j;
			}
			if (j < 9 && w > best9) {
				best9 = w;
				at9 = j;
			}
		}
		owned += at10 == 9;
		moved += at10 != at9;
	}
	CU_ASSERT_EQUAL(moved, owned);
	CU_ASSERT(owned > 60 && owned < 140);
}

const struct test tests_kern[] = {
	{ "timers_in_order", test_timers_in_order },
	{ "time_never_goes_back", test_time_never_goes_back },
	{ "unknown_service_is_counted", test_unknown_service_is_counted },
	{ "hist_quantile_within_a_bucket", test_hist_quantile_within_a_bucket },
	{ "uuid7_contains_time", test_uuid7_contains_time },
	{ "rendezvous_moves_few_keys", test_rendezvous_moves_few_keys },
	{ NULL, NULL },
};
