/**
 * DOC: Stage work of linked entries, whose endpoints answer at once.
 */

#include "entwork.h"

#include <string.h>

#define MS MH_US_PER_MS

static void
op_run(void *arg, struct mh_batch *b)
{
	struct ent *e = arg;

	e->calls++;
	e->calls_b += strcmp(b->pool, "b") == 0;
	e->pieces += b->items->len;
	if (e->stalled != NULL && strcmp(b->pool, e->stalled) == 0) {
		if (e->calls_to_end == 0)
			return;
		e->calls_to_end--;
	}
	for (guint i = 0; i < b->items->len; i++)
		g_array_index(b->items, struct mh_batch_item, i).result =
		    g_strdup("10.9.9.9:1/result");
	if (!e->m->cut)
		mh_sched_batch_end(b->sched, b, MH_BATCH_DONE);
}

static void
op_abort(void *arg, struct mh_batch *b)
{
	(void)arg;
	(void)b;
}

static void
op_step(void *arg, struct mh_job *j, uint32_t stage)
{
	struct ent *e = arg;

	mh_broker_stage_changed(e->b, j, stage);
}

static void
op_end(void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct ent *e = arg;

	mh_broker_job_ended(e->b, j, end, retry_us);
}

static void
op_discard(void *arg, const char *result)
{
	struct ent *e = arg;

	(void)result;
	e->freed++;
}

static void
on_job_end(void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct ent *e = arg;

	(void)j;
	(void)retry_us;
	e->ended++;
	e->done += end == MH_JOB_DONE;
	e->quarantined += end == MH_JOB_QUARANTINED;
}

void
ent_create(struct ent *e, struct ment *m)
{
	struct mh_sched_ops ops = { .run = op_run,
		.abort = op_abort,
		.stage_changed = op_step,
		.end = op_end,
		.discard = op_discard,
		.arg = e };

	e->m = m;
	e->w = world_create();
	world_pool(e->w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(e->w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	e->cs = mh_scheds_create(m->k, e->w->f, e->w->budget, &ops);
	mh_scheds_set_conf(e->cs, e->w->conf);
	e->b = mh_broker_create(m->k, m->m, e->cs);
	mh_broker_on_end(e->b, on_job_end, e);
}

void
ent_destroy(struct ent *e)
{
	mh_broker_destroy(e->b);
	mh_scheds_destroy(e->cs);
	world_destroy(e->w);
}
