/**
 * DOC: Stage work of linked entries, whose endpoints answer at once.
 */

#include "entwork.h"

#include <string.h>

#define MS MH_US_PER_MS
#define FULL_US (10 * MS) /* a call that is refused */

/** struct ent_call - a call that takes time. */
struct ent_call {
	struct ent *e;
	struct mh_batch *b;
	enum mh_batch_end end;
	struct mh_timer *timer;
};

static void
free_call(void *arg)
{
	struct ent_call *c = arg;

	mh_timer_stop(c->e->m->k, &c->timer);
	g_free(c);
}

static void
on_call_end(void *arg)
{
	struct ent_call *c = arg;
	struct mh_batch *b = c->b;
	enum mh_batch_end end = c->end;

	b->call = NULL;
	g_ptr_array_remove(c->e->running, c);
	mh_sched_batch_end(b->sched, b, end);
}

static void
start_call(struct ent *e, struct mh_batch *b, enum mh_batch_end end)
{
	struct ent_call *c = g_new0(struct ent_call, 1);

	c->e = e;
	c->b = b;
	c->end = end;
	mh_timer_set(e->m->k, &c->timer,
	    end == MH_BATCH_FULL ? FULL_US : e->call_us, on_call_end, c);
	b->call = c;
	g_ptr_array_add(e->running, c);
}

static void
op_run(void *arg, struct mh_batch *b)
{
	struct ent *e = arg;

	enum mh_batch_end end = MH_BATCH_DONE;

	if (e->on_call != NULL)
		end = e->on_call(e, b);
	e->calls++;
	e->calls_b += strcmp(b->pool, "b") == 0;
	e->pieces += b->items->len;
	if (e->stalled != NULL && strcmp(b->pool, e->stalled) == 0) {
		if (e->calls_to_end == 0)
			return;
		e->calls_to_end--;
	}
	for (guint i = 0; i < b->items->len && end == MH_BATCH_DONE; i++)
		g_array_index(b->items, struct mh_batch_item, i).result =
		    g_strdup("10.9.9.9:1/result");
	if (e->call_us > 0)
		start_call(e, b, end);
	else if (!e->m->cut)
		mh_sched_batch_end(b->sched, b, end);
}

static void
op_abort(void *arg, struct mh_batch *b)
{
	struct ent *e = arg;

	if (b->call != NULL)
		g_ptr_array_remove(e->running, b->call);
	b->call = NULL;
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

	(void)retry_us;
	e->ended++;
	e->done += end == MH_JOB_DONE;
	e->quarantined += end == MH_JOB_QUARANTINED;
	if (e->on_end != NULL)
		e->on_end(e, j);
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
	e->running = g_ptr_array_new_with_free_func(free_call);
	e->w = world_create();
	world_pool(e->w, "a", 1, 8, 100 * MS, 10 * MS, 0);
	world_pool(e->w, "b", 1, 8, 100 * MS, 10 * MS, 0);
	e->cs = mh_scheds_create(
	    m->k, e->w->f, e->budget != NULL ? e->budget : e->w->budget, &ops);
	mh_scheds_set_conf(e->cs, e->w->conf);
	e->b = mh_broker_create(m->k, m->m, e->cs);
	mh_broker_on_end(e->b, on_job_end, e);
}

void
ent_destroy(struct ent *e)
{
	mh_broker_destroy(e->b);
	mh_scheds_destroy(e->cs);
	g_ptr_array_free(e->running, TRUE);
	world_destroy(e->w);
}
