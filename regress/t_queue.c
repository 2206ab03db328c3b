/**
 * DOC: The queue in front of an endpoint: class, fairness, deadline, limit.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

static struct mh_item
item(uint32_t priority, int64_t deadline_us, const char *org)
{
	struct mh_item it = { .priority = priority,
		.deadline_us = deadline_us,
		.org = org,
		.org_weight = 1,
		.units = 1000,
		.predicted_us = 100 };

	return it;
}

static void
test_class_then_deadline(void)
{
	struct mh_queue *q = mh_queue_create(8);
	struct mh_item later = item(0, 900, "a"), soon = item(0, 100, "a"),
		       low = item(1, 50, "a");

	CU_ASSERT_PTR_NULL(mh_queue_put(q, &low));
	CU_ASSERT_PTR_NULL(mh_queue_put(q, &later));
	CU_ASSERT_PTR_NULL(mh_queue_put(q, &soon));
	CU_ASSERT_EQUAL(mh_queue_work_us(q, 0), 200);
	CU_ASSERT_EQUAL(mh_queue_work_us(q, 1), 300);
	CU_ASSERT_PTR_EQUAL(mh_queue_pop(q, false), &soon);
	CU_ASSERT_PTR_EQUAL(mh_queue_pop(q, false), &later);
	CU_ASSERT_PTR_NULL(mh_queue_pop(q, true));
	CU_ASSERT_PTR_EQUAL(mh_queue_pop(q, false), &low);
	mh_queue_destroy(q);
}

/*
 * Guards against refusal of an urgent call because calls of a less urgent class
 * fill the queue.
 */
static void
test_urgent_evicts_lower_class(void)
{
	struct mh_queue *q = mh_queue_create(2);
	struct mh_item a = item(2, 900, "a"), b = item(2, 800, "a"),
		       u = item(0, 500, "a"), v = item(2, 100, "a");

	mh_queue_put(q, &a);
	mh_queue_put(q, &b);
	CU_ASSERT_PTR_EQUAL(mh_queue_put(q, &u), &a);
	CU_ASSERT_PTR_EQUAL(mh_queue_put(q, &v), &v);
	CU_ASSERT_EQUAL(mh_queue_len(q), 2);
	mh_queue_destroy(q);
}

/*
 * One organisation sends a hundred requests and another one sends one, which
 * must not wait for all of the hundred as in arrival order.
 */
static void
test_fair_between_organisations(void)
{
	struct mh_queue *q = mh_queue_create(200);
	struct mh_item many[100], one = item(1, 5000, "small");
	int before = 0;

	for (int i = 0; i < 100; i++) {
		many[i] = item(1, 1000, "large");
		many[i].units = 4000;
		mh_queue_put(q, &many[i]);
	}
	mh_queue_put(q, &one);
	while (mh_queue_pop(q, false) != &one)
		before++;
	CU_ASSERT(before <= 2);
	mh_queue_destroy(q);
}

static void
test_weight_sets_the_share(void)
{
	struct mh_queue *q = mh_queue_create(400);
	struct mh_item a[100], b[100];
	int heavy = 0;

	for (int i = 0; i < 100; i++) {
		a[i] = item(1, 1000, "heavy");
		a[i].org_weight = 3;
		a[i].units = 3000;
		b[i] = item(1, 1000, "light");
		b[i].units = 3000;
		mh_queue_put(q, &a[i]);
		mh_queue_put(q, &b[i]);
	}
	for (int i = 0; i < 80; i++)
		heavy += strcmp(mh_queue_pop(q, false)->org, "heavy") == 0;
	CU_ASSERT(heavy >= 56 && heavy <= 64);
	mh_queue_destroy(q);
}

/*
 * Guards against starvation of a lower class while urgent calls never run out:
 * it gets its declared share of the starts.
 */
static void
test_lower_class_keeps_its_share(void)
{
	struct mh_queue *q = mh_queue_create(400);
	struct mh_item u[100], l[100];
	int low = 0;

	mh_queue_share(q, 1, 0.1);
	for (int i = 0; i < 100; i++) {
		u[i] = item(0, 1000, "a");
		l[i] = item(1, 1000, "b");
		mh_queue_put(q, &u[i]);
		mh_queue_put(q, &l[i]);
	}
	for (int i = 0; i < 100; i++)
		low += mh_queue_pop(q, false)->priority == 1;
	CU_ASSERT(low >= 9 && low <= 11);
	mh_queue_destroy(q);
}

static void
test_fifo_is_fifo(void)
{
	struct mh_queue *q = mh_queue_create(2);
	struct mh_item a = item(2, 900, "a"), b = item(0, 100, "a"),
		       c = item(0, 50, "a");

	mh_queue_policy(q, MH_QUEUE_FIFO);
	mh_queue_put(q, &a);
	mh_queue_put(q, &b);
	CU_ASSERT_PTR_EQUAL(mh_queue_put(q, &c), &c);
	CU_ASSERT_PTR_EQUAL(mh_queue_pop(q, false), &a);
	mh_queue_destroy(q);
}

static void
test_infeasible_items_leave(void)
{
	struct mh_queue *q = mh_queue_create(4);
	struct mh_item a = item(0, 900, "a"), b = item(1, 100, "a");

	mh_queue_put(q, &a);
	mh_queue_put(q, &b);
	CU_ASSERT_PTR_EQUAL(mh_queue_pop_infeasible(q, 100, 0), &b);
	CU_ASSERT_PTR_NULL(mh_queue_pop_infeasible(q, 100, 0));
	CU_ASSERT_PTR_NULL(mh_queue_pop_infeasible(q, 700, 1));
	CU_ASSERT_PTR_EQUAL(mh_queue_pop_infeasible(q, 800, 1), &a);
	mh_queue_put(q, &a);
	CU_ASSERT_EQUAL(mh_queue_len(q), 1);
	mh_queue_destroy(q);
}

const struct test tests_queue[] = {
	{ "class_then_deadline", test_class_then_deadline },
	{ "urgent_evicts_lower_class", test_urgent_evicts_lower_class },
	{ "fair_between_organisations", test_fair_between_organisations },
	{ "weight_sets_the_share", test_weight_sets_the_share },
	{ "lower_class_keeps_its_share", test_lower_class_keeps_its_share },
	{ "fifo_is_fifo", test_fifo_is_fifo },
	{ "infeasible_items_leave", test_infeasible_items_leave },
	{ NULL, NULL },
};
