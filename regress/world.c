/**
 * DOC: Stage schedulers with simulated stage endpoints, in virtual time.
 */

#include "world.h"

#include <string.h>

#define STEP_US (1 * MH_US_PER_MS)
#define SEED 7
#define FETCH_US (5 * MH_US_PER_MS) /* time to read a call's inputs */

/* A call that crashes its endpoint does so after this time. */
#define CRASH_US (60 * MH_US_PER_MS)

struct wcall {
	struct world *w;
	struct mh_batch *b;
	struct wnode *n;
	GPtrArray *inputs; /* results that it reads when it starts */
	bool inputs_lost; /* one of them was freed before */
	struct mh_timer *start_timer;
	struct mh_timer *end_timer;
	bool crashes; /* it crashes its endpoint */
};

struct wnode *
world_node(struct world *w, const char *id)
{
	for (uint32_t i = 0; i < w->n_nodes; i++) {
		if (strcmp(w->nodes[i].id, id) == 0)
			return &w->nodes[i];
	}
	return NULL;
}

static void
free_call(struct world *w, struct wcall *call)
{
	mh_timer_stop(w->k, &call->end_timer);
	mh_timer_stop(w->k, &call->start_timer);
	g_ptr_array_free(call->inputs, TRUE);
	call->n->active_calls--;
	g_ptr_array_remove(w->calls, call);
	g_free(call);
}

static void
on_done(void *arg)
{
	struct wcall *call = arg;
	struct world *w = call->w;
	struct mh_batch *b = call->b;
	struct wnode *n = call->n;
	enum mh_batch_end end = MH_BATCH_DONE;

	if (n->silent_until_us > mh_now(w->k)) {
		mh_timer_set(w->k, &call->end_timer,
		    n->silent_until_us + STEP_US - mh_now(w->k), on_done, call);
		return;
	}
	b->call = NULL;
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (n->no_memory) {
			m->no_memory = true;
			continue;
		}
		if (n->loses_inputs || call->inputs_lost) {
			m->inputs_lost = true;
			w->lost_inputs++;
			continue;
		}
		m->result = g_strdup_printf("%s/%" PRIu64, n->id, ++w->results);
		g_hash_table_add(w->live, g_strdup(m->result));
	}
	n->loses_inputs = false;
	w->max_live = MAX(w->max_live, g_hash_table_size(w->live));
	b->others_waiting =
	    n->active_calls > 1 ? n->active_calls - 2 : 0; /* one starts now */
	free_call(w, call);
	mh_sched_batch_end(b->sched, b, end);
}

static void
on_refused(void *arg)
{
	struct wcall *call = arg;
	struct world *w = call->w;
	struct mh_batch *b = call->b;

	b->call = NULL;
	free_call(w, call);
	mh_sched_batch_end(b->sched, b, MH_BATCH_FULL);
}

/* Counts one input that an endpoint reads; results are ENDPOINT/NUMBER. */
static void
read_input(struct world *w, const struct wnode *n, const char *result)
{
	char *endpoint = g_strndup(result, strcspn(result, "/"));

	w->reads++;
	w->cross_domain_reads +=
	    strcmp(world_node(w, endpoint)->domain, n->domain) != 0;
	g_free(endpoint);
}

/* The endpoint starts a call and reads its inputs. */
static void
on_start(void *arg)
{
	struct wcall *call = arg;

	for (guint i = 0; i < call->inputs->len; i++) {
		if (!g_hash_table_contains(
			call->w->live, g_ptr_array_index(call->inputs, i)))
			call->inputs_lost = true;
	}
}

/*
 * Counts missing inputs of a piece and collects the others.  A piece must get
 * all results of the stages that it reads.
 */
static void
check_inputs(struct world *w, struct wcall *call, const struct mh_batch_item *m)
{
	const struct wnode *n = call->n;
	const struct mh_job *j = m->job;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((j->stages[m->stage].after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			const char *result =
			    g_ptr_array_index(j->stages[s].results, i);

			if (result == NULL)
				w->without_inputs++;
			else {
				read_input(w, n, result);
				g_ptr_array_add(call->inputs, g_strdup(result));
			}
		}
	}
}

/* The endpoint has crashed: the connection is lost. */
static void
on_crash(void *arg)
{
	struct wcall *call = arg;
	struct mh_batch *b = call->b;

	b->call = NULL;
	b->conn_lost = call->crashes;
	free_call(call->w, call);
	mh_sched_batch_end(b->sched, b, MH_BATCH_LOST);
}

static bool
is_poison(const struct world *w, const struct mh_batch *b)
{
	for (guint i = 0; i < b->items->len && w->poison != 0; i++) {
		if (g_array_index(b->items, struct mh_batch_item, i)
			.job->fingerprint == w->poison)
			return true;
	}
	return false;
}

static void
op_run(void *arg, struct mh_batch *b)
{
	struct world *w = arg;
	struct wnode *n = world_node(w, b->node);
	struct wcall *call = g_new0(struct wcall, 1);
	const struct mh_gpool *p = mh_gconf_pool(w->conf, b->pool);
	bool refused =
	    n->refuses || (n->max_calls > 0 && n->active_calls >= n->max_calls);
	int64_t now = mh_now(w->k), took;

	n->active_calls++;
	call->w = w;
	call->b = b;
	call->n = n;
	call->inputs = g_ptr_array_new_with_free_func(g_free);
	b->call = call;
	g_ptr_array_add(w->calls, call);
	if (refused) {
		mh_timer_set(w->k, &call->end_timer, STEP_US, on_refused, call);
		return;
	}
	if (n->crashed || is_poison(w, b)) {
		call->crashes = !n->crashed;
		w->crashes += call->crashes;
		n->crashed = true;
		mh_timer_set(w->k, &call->end_timer,
		    call->crashes ? CRASH_US : STEP_US, on_crash, call);
		return;
	}
	n->calls++;
	n->pieces += b->items->len;
	for (guint i = 0; i < b->items->len; i++)
		check_inputs(
		    w, call, &g_array_index(b->items, struct mh_batch_item, i));
	took = (int64_t)((double)(p->work.call_us +
			     p->work.item_us * b->items->len) *
	    n->slowdown);
	n->busy_until_us = MAX(n->busy_until_us, MAX(n->silent_until_us, now));
	mh_timer_set(w->k, &call->start_timer,
	    n->busy_until_us - now + FETCH_US, on_start, call);
	n->busy_until_us += took;
	if (!n->loses_answers)
		mh_timer_set(w->k, &call->end_timer, n->busy_until_us - now,
		    on_done, call);
}

static void
op_abort(void *arg, struct mh_batch *b)
{
	struct world *w = arg;

	w->aborted++;
	if (b->call != NULL)
		free_call(w, b->call);
	b->call = NULL;
}

static void
op_discard(void *arg, const char *result)
{
	struct world *w = arg;

	g_hash_table_remove(w->live, result);
}

static void
op_end(void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct world *w = arg;

	(void)retry_us;
	if (w->on_end != NULL)
		w->on_end(w->arg, j, end);
	switch (end) {
	case MH_JOB_DONE:
		w->done++;
		w->on_time += mh_now(w->k) <= j->slo_us;
		if (w->keep) {
			g_ptr_array_add(w->kept, j);
			return;
		}
		mh_sched_release(j->sched, j);
		break;
	case MH_JOB_REFUSED:
		w->refused++;
		break;
	case MH_JOB_FAILED:
	case MH_JOB_QUARANTINED:
		w->failed++;
		break;
	case MH_JOB_HANDED_OFF:
		w->handed_off++;
		break;
	}
	mh_job_destroy(j);
}

struct report_poll {
	struct world *w;
	struct mh_sched *sc;
	struct wnode *n;
};

static void
on_report(void *arg)
{
	struct report_poll *a = arg;
	struct mh_work_report r = { .running =
					a->n->busy_until_us > mh_now(a->w->k) };

	mh_sched_report(a->sc, a->n->id, &r);
	g_ptr_array_remove_fast(a->w->polls, a);
}

static void
op_poll(void *arg, struct mh_sched *sc, const char *node)
{
	struct world *w = arg;
	struct report_poll *a = g_new0(struct report_poll, 1);

	a->w = w;
	a->sc = sc;
	a->n = world_node(w, node);
	g_ptr_array_add(w->polls, a);
	mh_timer_start(w->k, MAX(a->n->silent_until_us - mh_now(w->k), STEP_US),
	    on_report, a);
}

static struct mh_sched_ops
ops_of(struct world *w)
{
	struct mh_sched_ops ops = { op_run, op_abort, NULL, op_end, op_discard,
		op_poll, w };

	return ops;
}

static struct mh_sched *
new_sched(struct world *w)
{
	struct mh_sched_ops ops = ops_of(w);

	return mh_sched_create(w->k, w->f, w->budget, &ops);
}

struct mh_scheds *
world_scheds(struct world *w)
{
	struct mh_sched_ops ops = ops_of(w);

	w->scheds = mh_scheds_create(w->k, w->f, w->budget, &ops);
	mh_scheds_set_conf(w->scheds, w->conf);
	return w->scheds;
}

void
world_silence(struct world *w, const char *id, int64_t us)
{
	world_node(w, id)->silent_until_us = w->now_us + us;
}

struct mh_sched *
world_sched(struct world *w)
{
	struct mh_sched *sc = new_sched(w);

	mh_sched_set_conf(sc, w->conf);
	g_ptr_array_add(w->extra_scheds, sc);
	return sc;
}

struct world *
world_create(void)
{
	struct world *w = g_new0(struct world, 1);
	struct mh_budget_args b = { 0.2, 200, 10 * MH_US_PER_S };

	w->k = mh_kern_create(SEED);
	w->now_us = MH_US_PER_S;
	mh_kern_advance(w->k, w->now_us, w->now_us);
	w->f = mh_fleet_create(w->k);
	w->budget = mh_budget_create(w->k, &b);
	w->sched = new_sched(w);
	w->extra_scheds = g_ptr_array_new();
	w->conf = mh_gconf_create();
	w->live = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->calls = g_ptr_array_new();
	w->polls = g_ptr_array_new_with_free_func(g_free);
	w->kept = g_ptr_array_new();
	return w;
}

static void
destroy_sched(struct mh_sched *sc)
{
	while (sc->jobs->len > 0) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, 0);

		mh_sched_cancel(sc, j);
		mh_job_destroy(j);
	}
	mh_sched_destroy(sc);
}

void
world_destroy(struct world *w)
{
	for (guint i = 0; i < w->kept->len; i++) {
		mh_sched_release(w->sched, g_ptr_array_index(w->kept, i));
		mh_job_destroy(g_ptr_array_index(w->kept, i));
	}
	for (guint i = 0; i < w->extra_scheds->len; i++)
		destroy_sched(g_ptr_array_index(w->extra_scheds, i));
	g_ptr_array_free(w->extra_scheds, TRUE);
	destroy_sched(w->sched);
	if (w->scheds != NULL)
		mh_scheds_destroy(w->scheds);
	while (w->calls->len > 0)
		free_call(w, g_ptr_array_index(w->calls, 0));
	g_ptr_array_free(w->calls, TRUE);
	g_ptr_array_free(w->polls, TRUE);
	g_ptr_array_free(w->kept, TRUE);
	g_hash_table_destroy(w->live);
	mh_budget_destroy(w->budget);
	mh_fleet_destroy(w->f);
	mh_gconf_unref(w->conf);
	mh_kern_destroy(w->k);
	g_free(w);
}

static void
list_nodes(struct world *w)
{
	mh_fleet_begin(w->f);
	for (uint32_t i = 0; i < w->n_nodes; i++) {
		struct wnode *n = &w->nodes[i];
		struct mh_listing l = { n->id, 0, n->pool, n->id, n->domain, 1,
			false, 0, NULL };

		mh_fleet_list(w->f, &l);
	}
	mh_fleet_end(w->f);
}

void
world_pool(struct world *w, const char *name, uint32_t n, uint32_t batch,
    int64_t call_us, int64_t item_us, uint64_t memory)
{
	struct mh_gpool *p = g_new0(struct mh_gpool, 1);

	p->name = g_strdup(name);
	p->is_work = true;
	p->work.batch = batch;
	p->work.max_calls = 1;
	p->work.call_us = call_us;
	p->work.item_us = item_us;
	p->work.result_memory_bytes = memory;
	g_hash_table_replace(w->conf->pools, p->name, p);
	for (uint32_t i = 0; i < n; i++) {
		struct wnode *nd = &w->nodes[w->n_nodes++];

		g_snprintf(nd->id, sizeof(nd->id), "%s-%u", name, i);
		g_strlcpy(nd->pool, name, sizeof(nd->pool));
		g_snprintf(nd->domain, sizeof(nd->domain), "d%u", i);
		nd->slowdown = 1;
	}
	list_nodes(w);
	mh_sched_set_conf(w->sched, w->conf);
	for (guint i = 0; i < w->extra_scheds->len; i++)
		mh_sched_set_conf(
		    g_ptr_array_index(w->extra_scheds, i), w->conf);
}

struct mh_job *
world_job(struct world *w, const char *const *pools, const uint32_t *pieces,
    int64_t slo_us, int64_t deadline_us)
{
	static uint32_t serial;
	char id[24];
	struct mh_job *j;

	g_snprintf(id, sizeof(id), "job-%u", ++serial);
	j = mh_job_create(id);
	j->route = g_strdup("route");
	j->key = g_strdup("key");
	j->arrived_us = mh_now(w->k);
	j->slo_us = mh_now(w->k) + slo_us;
	j->deadline_us = mh_now(w->k) + deadline_us;
	for (uint32_t s = 0; pools[s] != NULL; s++) {
		j->stages[s].pool = g_strdup(pools[s]);
		j->stages[s].pieces = pieces[s];
		j->stages[s].after = s == 0 ? 0 : 1U << (s - 1);
		j->stages[s].result_bytes = 1000;
		j->n_stages++;
	}
	return j;
}

void
world_run(struct world *w, int64_t us)
{
	for (int64_t t = 0; t < us; t += STEP_US) {
		w->now_us += STEP_US;
		mh_kern_advance(w->k, w->now_us, w->now_us);
	}
}

double
world_fill(const struct world *w, const char *pool, uint32_t batch)
{
	uint32_t calls = 0, pieces = 0;

	for (uint32_t i = 0; i < w->n_nodes; i++) {
		if (strcmp(w->nodes[i].pool, pool) != 0)
			continue;
		calls += w->nodes[i].calls;
		pieces += w->nodes[i].pieces;
	}
	return calls == 0 ? 0 : (double)pieces / (double)(calls * batch);
}
