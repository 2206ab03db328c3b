/**
 * DOC: Test fixture: a gateway whose adapter and stage scheduler only count.
 */

#include "gaterig.h"

#include <string.h>

void
grig_forget(struct grig *r, struct mh_greq *q)
{
	g_ptr_array_remove(r->open, q);
	mh_greq_destroy(q);
}

static void
op_send(void *arg, struct mh_try *t)
{
	struct grig *r = arg;

	r->cur = t;
	r->sends++;
	g_strlcpy(r->last, t->node, sizeof(r->last));
	g_strlcpy(r->resume, t->resume_after == NULL ? "" : t->resume_after,
	    sizeof(r->resume));
}

static void
op_abort(void *arg, struct mh_try *t)
{
	struct grig *r = arg;

	if (t == r->cur)
		r->cur = NULL;
	r->aborts++;
}

static void
op_refuse(
    void *arg, struct mh_greq *q, enum mh_gate_refusal why, int64_t retry_us)
{
	struct grig *r = arg;

	r->refused++;
	r->why = why;
	r->retry_us = retry_us;
	grig_forget(r, q);
}

static void
op_finish(void *arg, struct mh_greq *q)
{
	((struct grig *)arg)->finished++;
	grig_forget(arg, q);
}

static void
op_break(void *arg, struct mh_greq *q)
{
	((struct grig *)arg)->broken++;
	grig_forget(arg, q);
}

static void
op_submit(void *arg, struct mh_job *j)
{
	struct grig *r = arg;

	r->jobs++;
	r->job = j;
}

static void
op_drop(void *arg, struct mh_job *j)
{
	(void)j;
	((struct grig *)arg)->dropped++;
}

static void
on_start(void *arg)
{
	struct grig *r = arg;

	mh_gate_confirmed(r->g, r->asking, r->start_ms);
}

static void *
op_confirm(void *arg, struct mh_greq *q, const struct mh_node *n)
{
	struct grig *r = arg;

	(void)n;
	r->starts_asked++;
	r->asking = q;
	mh_timer_set(r->k, &r->start_timer, r->start_ms == 0 ? 300 * MS : 1,
	    on_start, r);
	return r;
}

static void
op_unconfirm(void *arg, void *call)
{
	struct grig *r = arg;

	(void)call;
	mh_timer_stop(r->k, &r->start_timer);
}

static void
add_route(struct grig *r, const char *name, bool stream, enum mh_repeat repeat,
    uint32_t attempts)
{
	struct mh_groute *t = mh_groute_create();
	struct mh_gtarget to = { g_strdup("pool"), 1 };

	t->name = g_strdup(name);
	t->host = g_strdup("h.example");
	t->prefix = g_strdup_printf("/%s/", name);
	t->stream = stream;
	t->repeat = repeat;
	t->attempts = attempts;
	t->timeout_us = 6 * S;
	t->slo_us = 1 * S;
	g_array_append_val(t->targets, to);
	g_ptr_array_add(r->conf->routes, t);
}

void
grig_list(struct grig *r, const char *const *versions, uint32_t n)
{
	static const char *const ids[] = { "n0", "n1", "n2", "n3" };

	mh_fleet_begin(r->f);
	for (uint32_t i = 0; i < n; i++) {
		struct mh_listing l = { ids[i], 0, "pool", "10.0.0.1:1", "d", 8,
			false, 0, versions[i] };

		mh_fleet_list(r->f, &l);
	}
	mh_fleet_end(r->f);
}

struct grig *
grig_create(uint32_t nodes)
{
	static const char *const no_versions[4];
	struct grig *r = g_new0(struct grig, 1);
	struct mh_budget_args b = { 0.2, 50, 10 * S };
	struct mh_gate_ops ops = { op_send, op_abort, op_refuse, op_finish,
		op_break, r, op_submit, op_drop, op_drop, r, op_confirm,
		op_unconfirm };

	r->k = mh_kern_create(3);
	r->open = g_ptr_array_new();
	r->now_us = S;
	mh_kern_advance(r->k, S, S);
	r->f = mh_fleet_create(r->k);
	r->p = mh_place_create(r->k, r->f);
	r->b = mh_budget_create(r->k, &b);
	r->g = mh_gate_create(r->k, r->f, r->p, r->b, &ops, "d");
	r->conf = mh_gconf_create();
	add_route(r, "safe", false, MH_REPEAT_SAFE, 2);
	add_route(r, "once", false, MH_REPEAT_NEVER, 1);
	add_route(r, "resume", true, MH_REPEAT_RESUME, 2);
	add_route(r, "stream", true, MH_REPEAT_NEVER, 1);
	grig_list(r, no_versions, nodes);
	mh_gate_conf(r->g, r->conf);
	return r;
}

void
grig_destroy(struct grig *r)
{
	mh_gate_destroy(r->g);
	while (r->open->len > 0)
		grig_forget(r, g_ptr_array_index(r->open, 0));
	g_ptr_array_free(r->open, TRUE);
	mh_place_destroy(r->p);
	mh_budget_destroy(r->b);
	mh_fleet_destroy(r->f);
	mh_gconf_unref(r->conf);
	mh_kern_destroy(r->k);
	g_free(r);
}

void
grig_advance(struct grig *r, int64_t us)
{
	r->now_us += us;
	mh_kern_advance(r->k, r->now_us, r->now_us);
}

struct mh_greq *
grig_request(struct grig *r, const char *target, int64_t deadline_us)
{
	struct mh_greq *q = mh_greq_create("id");

	q->host = g_strdup("h.example");
	q->target = target;
	q->deadline_us = deadline_us;
	g_ptr_array_add(r->open, q);
	mh_gate_admit(r->g, q);
	return q;
}

struct mh_greq *
grig_stream(struct grig *r, const char *id, const char *resumes)
{
	struct mh_greq *q = mh_greq_create(id);

	q->host = g_strdup("h.example");
	q->target = "/resume/x";
	q->resumes = g_strdup(resumes);
	if (resumes != NULL)
		q->resume_after = g_strdup("3");
	g_ptr_array_add(r->open, q);
	mh_gate_admit(r->g, q);
	return q;
}

void
grig_answer(struct grig *r, uint32_t status, bool not_run, bool genuine)
{
	struct mh_gresp a = {
		.status = status, .not_run = not_run, .genuine = genuine
	};
	struct mh_try *t = r->cur;

	if (mh_gate_head(r->g, t, &a) != MH_DROP)
		mh_gate_try_end(r->g, t, MH_CALL_COMPLETE);
}

void
grig_finish_job(struct grig *r)
{
	struct mh_job_stage *st = &r->job->stages[0];

	st->pieces = 1;
	st->results = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(st->results, g_strdup("10.0.0.1:1/1"));
	mh_gate_job_end(r->g, r->job, MH_JOB_DONE, 0);
}
