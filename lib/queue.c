/**
 * DOC: The bounded queue in front of an endpoint, with the calls of all
 * entries.
 *
 * Items are ordered by class.  Within a class the organisations share by
 * weight, counted in weighted tokens (start-time fair queueing, which is
 * smoother than deficit round robin).  Among the organisations within QUANTUM
 * of the least virtual time the item with the earliest deadline is first.  A
 * lower class keeps its declared share of the starts, so that it never
 * starves.
 */

#include "marlhoist.h"

#include <string.h>

#define QUANTUM 2000.0 /* units by which an organisation may be ahead */

struct mh_queue {
	uint32_t limit;
	uint32_t queueing;
	uint64_t seq;
	GPtrArray *items;
	GHashTable *vtime; /* organisation -> double, weighted units served */
	double share[MH_PRIORITIES];
	double credit[MH_PRIORITIES]; /* starts due to a lower class */
};

struct mh_queue *
mh_queue_create(uint32_t limit)
{
	struct mh_queue *q = g_new0(struct mh_queue, 1);

	q->limit = limit;
	q->items = g_ptr_array_new();
	q->vtime =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return q;
}

void
mh_queue_destroy(struct mh_queue *q)
{
	g_ptr_array_free(q->items, TRUE);
	g_hash_table_destroy(q->vtime);
	g_free(q);
}

void
mh_queue_policy(struct mh_queue *q, uint32_t queueing)
{
	q->queueing = queueing;
}

void
mh_queue_share(struct mh_queue *q, uint32_t priority, double share)
{
	if (priority < MH_PRIORITIES)
		q->share[priority] = share;
}

uint32_t
mh_queue_len(const struct mh_queue *q)
{
	return q->items->len;
}

static double *
vtime_of(struct mh_queue *q, const char *org)
{
	double *v = g_hash_table_lookup(q->vtime, org);

	if (v == NULL) {
		v = g_new0(double, 1);
		g_hash_table_insert(q->vtime, g_strdup(org), v);
	}
	return v;
}

static bool
org_waits(const struct mh_queue *q, const char *org)
{
	for (guint i = 0; i < q->items->len; i++) {
		const struct mh_item *it = q->items->pdata[i];

		if (strcmp(it->org, org) == 0)
			return true;
	}
	return false;
}

static double
least_vtime(struct mh_queue *q, int priority)
{
	double least = -1;

	for (guint i = 0; i < q->items->len; i++) {
		const struct mh_item *it = q->items->pdata[i];
		double v = *vtime_of(q, it->org);

		if (priority >= 0 && it->priority != (uint32_t)priority)
			continue;
		if (least < 0 || v < least)
			least = v;
	}
	return least;
}

static void
add(struct mh_queue *q, struct mh_item *it)
{
	/* An organisation accumulates no credit while it is idle. */
	if (!org_waits(q, it->org)) {
		double *v = vtime_of(q, it->org);

		*v = MAX(*v, least_vtime(q, -1));
	}
	it->seq = ++q->seq;
	it->queued = true;
	g_ptr_array_add(q->items, it);
}

static bool
is_worse(const struct mh_item *a, const struct mh_item *b)
{
	if (a->priority != b->priority)
		return a->priority > b->priority;
	return a->deadline_us > b->deadline_us;
}

struct mh_item *
mh_queue_put(struct mh_queue *q, struct mh_item *it)
{
	struct mh_item *worst = it;

	if (it->priority >= MH_PRIORITIES)
		it->priority = MH_PRIORITIES - 1;
	if (q->items->len < q->limit) {
		add(q, it);
		return NULL;
	}
	if (q->queueing == MH_QUEUE_FIFO)
		return it;
	for (guint i = 0; i < q->items->len; i++) {
		if (is_worse(q->items->pdata[i], worst))
			worst = q->items->pdata[i];
	}
	/* Only an item of a less urgent class is evicted. */
	if (worst->priority <= it->priority)
		return it;
	mh_queue_remove(q, worst);
	add(q, it);
	return worst;
}

void
mh_queue_remove(struct mh_queue *q, struct mh_item *it)
{
	if (!it->queued)
		return;
	g_ptr_array_remove(q->items, it);
	it->queued = false;
}

static bool
class_waits(const struct mh_queue *q, uint32_t priority)
{
	for (guint i = 0; i < q->items->len; i++) {
		if (((struct mh_item *)q->items->pdata[i])->priority ==
		    priority)
			return true;
	}
	return false;
}

static uint32_t
next_class(struct mh_queue *q)
{
	uint32_t first = MH_PRIORITIES;

	for (uint32_t p = 0; p < MH_PRIORITIES; p++) {
		if (!class_waits(q, p)) {
			q->credit[p] = 0;
			continue;
		}
		if (first == MH_PRIORITIES) {
			first = p;
			continue;
		}
		q->credit[p] += q->share[p];
		if (q->credit[p] >= 1) {
			q->credit[p] -= 1;
			return p;
		}
	}
	return first;
}

static struct mh_item *
best_of(struct mh_queue *q, uint32_t priority)
{
	double least = least_vtime(q, (int)priority);
	struct mh_item *best = NULL;

	for (guint i = 0; i < q->items->len; i++) {
		struct mh_item *it = q->items->pdata[i];

		if (it->priority != priority ||
		    *vtime_of(q, it->org) > least + QUANTUM)
			continue;
		if (best == NULL || it->deadline_us < best->deadline_us ||
		    (it->deadline_us == best->deadline_us &&
			it->seq < best->seq))
			best = it;
	}
	return best;
}

struct mh_item *
mh_queue_pop(struct mh_queue *q, bool urgent_only)
{
	struct mh_item *it;
	uint32_t class;

	if (q->items->len == 0)
		return NULL;
	if (q->queueing == MH_QUEUE_FIFO) {
		it = q->items->pdata[0];
		g_ptr_array_remove_index(q->items, 0);
		it->queued = false;
		return it;
	}
	if (urgent_only && !class_waits(q, 0))
		return NULL;
	class = urgent_only ? 0 : next_class(q);
	it = best_of(q, class);
	*vtime_of(q, it->org) +=
	    (double)it->units / (double)MAX(it->org_weight, 1U);
	mh_queue_remove(q, it);
	return it;
}

int64_t
mh_queue_work_us(const struct mh_queue *q, uint32_t priority)
{
	int64_t sum = 0;

	for (guint i = 0; i < q->items->len; i++) {
		const struct mh_item *it = q->items->pdata[i];

		if (it->priority <= priority || q->queueing == MH_QUEUE_FIFO)
			sum += it->predicted_us;
	}
	return sum;
}

struct mh_item *
mh_queue_pop_infeasible(struct mh_queue *q, int64_t now_us, double factor)
{
	for (guint i = 0; i < q->items->len; i++) {
		struct mh_item *it = q->items->pdata[i];
		int64_t need = (int64_t)(factor * (double)it->predicted_us);

		if (it->deadline_us <= now_us + need) {
			mh_queue_remove(q, it);
			return it;
		}
	}
	return NULL;
}
