/**
 * DOC: Linked entries, callers, and engines that poison requests crash.
 */

#include "crashrig.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define STEP_US (10 * MS)
#define HEAD_US (40 * MS)
/* Default of crash_us. */
#define CRASH_US (60 * MS)
#define RUN_MIN_US (300 * MS)
#define RUN_MAX_US (2500 * MS)
#define EVENT_US (100 * MS)
/* A crashed engine restarts after this, and its old id is listed no more. */
#define RESTART_US (3 * S)
#define LIST_US (600 * MS)
#define RETRY_US (200 * MS)
/* Callers send a request so often in all. */
#define TRIES_MAX 4
/* Announcements must have reached all entries within this. */
#define SPREAD_US (3 * S)

struct engine_run {
	struct rig_entry *e;
	struct mh_try *t;
	struct engine *engine; /* NULL: it crashed before the send */
	uint32_t incarnation;
	uint64_t fingerprint;
	int64_t sent_us;
	int64_t run_us;
	int64_t event_us;
	bool head_sent;
};

/** struct retry - a request that its caller will send again. */
struct retry {
	int64_t at_us;
	uint64_t fingerprint;
	uint32_t tries;
};

/* Requests with a poison part: a fingerprint each, which ends in the part. */
#define FIRST_WITH_PART 1000000000
#define CAUSES_MAX 8
/* Values of a shared part at each of its places. */
#define SHARED 5

static bool
is_poison(const struct crashrig *r, uint64_t fingerprint)
{
	return fingerprint <= r->n_poison || fingerprint >= FIRST_WITH_PART;
}

/* Index of its results. */
static uint64_t
kind_of(uint64_t fingerprint)
{
	return fingerprint < FIRST_WITH_PART ? fingerprint
					     : fingerprint % CAUSES_MAX;
}

static void
add_part(struct mh_greq *q, uint64_t id)
{
	q->parts[q->n_parts++] = (struct mh_prompt_part) { id, 50 };
}

/* All share the first part; others, and callers, share the other ones. */
static void
set_parts(struct mh_greq *q)
{
	uint64_t n = q->fingerprint / CAUSES_MAX;

	add_part(q, 1);
	add_part(q, 10 + n % SHARED);
	if (q->fingerprint >= FIRST_WITH_PART)
		add_part(q, 50 + kind_of(q->fingerprint));
	add_part(q, 20 + n / SHARED % SHARED);
	add_part(q, 100 + q->fingerprint);
}

static int64_t
now(const struct crashrig *r)
{
	return r->m->now_us;
}

static struct engine *
find_engine(struct crashrig *r, const char *id)
{
	for (uint32_t i = 0; i < r->n_engines; i++) {
		if (strcmp(r->engines[i].id, id) == 0 &&
		    r->engines[i].down_us == 0)
			return &r->engines[i];
	}
	return NULL;
}

/* callbacks of the gateways */

static void
op_send(void *arg, struct mh_try *t)
{
	struct rig_entry *e = arg;
	struct crashrig *r = e->r;
	struct engine_run *n = g_new0(struct engine_run, 1);
	uint64_t fingerprint = t->req->fingerprint;

	n->e = e;
	n->t = t;
	n->engine = find_engine(r, t->node);
	n->fingerprint = fingerprint;
	n->sent_us = now(r);
	n->run_us =
	    (int64_t)g_rand_double_range(r->rand, RUN_MIN_US, RUN_MAX_US);
	t->call = n;
	g_ptr_array_add(r->runs, n);
	if (n->engine == NULL)
		return;
	n->incarnation = n->engine->incarnation;
	if (!is_poison(r, fingerprint))
		return;
	fingerprint = kind_of(fingerprint);
	r->sends[fingerprint]++;
	if (r->third_crash_us[fingerprint] != 0 &&
	    now(r) > r->third_crash_us[fingerprint] + SPREAD_US)
		r->late_sends[fingerprint]++;
	/* An entry that has just started may not know yet. */
	if (r->fifth_crash_us[fingerprint] != 0 &&
	    now(r) > r->fifth_crash_us[fingerprint] + SPREAD_US &&
	    now(r) > e->restarted_us + SPREAD_US)
		r->after_fifth[fingerprint]++;
}

static void
op_abort(void *arg, struct mh_try *t)
{
	struct rig_entry *e = arg;

	g_ptr_array_remove(e->r->runs, t->call);
	g_free(t->call);
}

static uint32_t
tries_of(const struct mh_greq *q)
{
	return (uint32_t)strlen(q->id);
}

static void
drop_request(struct crashrig *r, struct mh_greq *q)
{
	g_ptr_array_remove(r->open, q);
	mh_greq_destroy(q);
}

/* The caller retries, or gives up. */
static void
request_failed(struct crashrig *r, struct mh_greq *q)
{
	struct retry a = { now(r) + RETRY_US, q->fingerprint, tries_of(q) + 1 };

	if (!is_poison(r, q->fingerprint) && a.tries <= TRIES_MAX)
		g_ptr_array_add(r->retries, g_memdup2(&a, sizeof(a)));
	else if (!is_poison(r, q->fingerprint))
		r->other_failed++;
	drop_request(r, q);
}

static void
op_refuse(
    void *arg, struct mh_greq *q, enum mh_gate_refusal why, int64_t retry_us)
{
	struct crashrig *r = ((struct rig_entry *)arg)->r;
	bool quarantined = why == MH_QUARANTINED || why == MH_RUN_QUARANTINED;

	(void)retry_us;
	r->other_quarantined += quarantined && !is_poison(r, q->fingerprint);
	r->poison_quarantined += quarantined && is_poison(r, q->fingerprint);
	request_failed(r, q);
}

static void
op_break(void *arg, struct mh_greq *q)
{
	request_failed(((struct rig_entry *)arg)->r, q);
}

static void
op_finish(void *arg, struct mh_greq *q)
{
	struct crashrig *r = ((struct rig_entry *)arg)->r;

	r->other_served += !is_poison(r, q->fingerprint);
	drop_request(r, q);
}

static void
op_job(void *arg, struct mh_job *j)
{
	(void)arg;
	(void)j;
}

static void
list_engines(struct rig_entry *e)
{
	struct crashrig *r = e->r;

	mh_fleet_begin(e->f);
	for (uint32_t i = 0; i < r->n_engines; i++) {
		const struct engine *n = &r->engines[i];
		struct mh_listing l = { n->id, 0, "pool", "10.0.0.1:1", "d", 64,
			n->draining, 0, NULL };

		mh_fleet_list(e->f, &l);
	}
	mh_fleet_end(e->f);
}

static void
start_gate(struct rig_entry *e)
{
	struct mh_budget_args b = { 0.2, 500, 10 * S };
	struct mh_gate_ops ops = { op_send, op_abort, op_refuse, op_finish,
		op_break, e, op_job, op_job, op_job, e, NULL, NULL };
	struct mh_poison_mesh_args poison = { .mesh = e->m->m };

	e->f = mh_fleet_create(e->m->k);
	e->p = mh_place_create(e->m->k, e->f);
	e->b = mh_budget_create(e->m->k, &b);
	e->g = mh_gate_create(e->m->k, e->f, e->p, e->b, &ops, "d");
	poison.gate = e->g;
	poison.fleet = e->f;
	e->poison = mh_poison_mesh_create(e->m->k, &poison);
	mh_gate_conf(e->g, e->r->conf);
	list_engines(e);
}

static void
stop_gate(struct rig_entry *e)
{
	struct crashrig *r = e->r;

	mh_gate_destroy(e->g);
	for (guint i = 0; i < r->open->len;) {
		struct mh_greq *q = g_ptr_array_index(r->open, i);

		if (q->gate == e->g)
			request_failed(r, q);
		else
			i++;
	}
	mh_poison_mesh_destroy(e->poison);
	mh_place_destroy(e->p);
	mh_budget_destroy(e->b);
	mh_fleet_destroy(e->f);
}

/* engines */

static void
end_run(struct crashrig *r, struct engine_run *n, enum mh_hcall_outcome end)
{
	struct mh_try *t = n->t;
	struct rig_entry *e = n->e;

	g_ptr_array_remove(r->runs, n);
	g_free(n);
	t->call = NULL;
	mh_gate_try_end(e->g, t, end);
}

/* Breaks all calls of an engine, in the order in which they were sent. */
static void
crash_engine(struct crashrig *r, struct engine *n)
{
	uint32_t incarnation = n->incarnation;

	n->down_us = now(r);
	for (bool more = true; more;) {
		more = false;
		for (guint i = 0; i < r->runs->len && !more; i++) {
			struct engine_run *u = g_ptr_array_index(r->runs, i);

			if (u->engine == n && u->incarnation == incarnation) {
				end_run(r, u, MH_CALL_BROKEN);
				more = true;
			}
		}
	}
}

void
crashrig_crash(struct crashrig *r, uint32_t engine)
{
	if (r->engines[engine].down_us == 0)
		crash_engine(r, &r->engines[engine]);
}

void
crashrig_reset(struct crashrig *r)
{
	GPtrArray *all = g_ptr_array_new();

	for (guint i = 0; i < r->runs->len; i++)
		g_ptr_array_add(all, g_ptr_array_index(r->runs, i));
	for (guint i = 0; i < all->len; i++) {
		if (g_ptr_array_find(r->runs, all->pdata[i], NULL))
			end_run(r, all->pdata[i], MH_CALL_BROKEN);
	}
	g_ptr_array_free(all, TRUE);
}

static void
note_crash(struct crashrig *r, uint64_t fingerprint)
{
	uint64_t kind = kind_of(fingerprint);

	if (++r->crashes[kind] == 3)
		r->third_crash_us[kind] = now(r);
	if (r->crashes[kind] == 5)
		r->fifth_crash_us[kind] = now(r);
}

/* Advances a run by a step; true if it has ended, maybe with others. */
static bool
advance(struct crashrig *r, struct engine_run *n)
{
	struct mh_gresp a = {
		.status = 200, .genuine = true, .events = !r->plain
	};
	int64_t age = now(r) - n->sent_us;

	if (n->engine == NULL) {
		end_run(r, n, MH_CALL_UNSENT);
		return true;
	}
	if (is_poison(r, n->fingerprint) && age >= HEAD_US + r->crash_us) {
		note_crash(r, n->fingerprint);
		crash_engine(r, n->engine);
		return true;
	}
	if (!n->head_sent && age >= HEAD_US && !r->plain) {
		n->head_sent = true;
		n->event_us = now(r);
		(void)mh_gate_head(n->e->g, n->t, &a);
		return false;
	}
	if (n->head_sent && now(r) - n->event_us >= EVENT_US) {
		n->event_us = now(r);
		mh_gate_progress(n->e->g, n->t);
	}
	if (age < n->run_us || is_poison(r, n->fingerprint))
		return false;
	if (r->plain)
		(void)mh_gate_head(n->e->g, n->t, &a);
	end_run(r, n, MH_CALL_COMPLETE);
	return true;
}

static void
advance_all(struct crashrig *r)
{
	for (bool more = true; more;) {
		more = false;
		for (guint i = 0; i < r->runs->len && !more; i++)
			more = advance(r, g_ptr_array_index(r->runs, i));
	}
	for (uint32_t i = 0; i < r->n_engines; i++) {
		struct engine *n = &r->engines[i];

		if (n->down_us == 0 || now(r) - n->down_us < RESTART_US)
			continue;
		n->down_us = 0;
		n->incarnation++;
		g_snprintf(n->id, sizeof(n->id), "n%u-%u", i, n->incarnation);
	}
	if (r->store_down || now(r) - r->last_list_us < LIST_US)
		return;
	r->last_list_us = now(r);
	for (uint32_t i = 0; i < ENTRIES; i++)
		list_engines(&r->e[i]);
}

/* callers */

static void
send_request(struct crashrig *r, uint64_t fingerprint, uint32_t tries)
{
	struct rig_entry *e = &r->e[g_rand_int_range(r->rand, 0, ENTRIES)];
	/* The length of the id is the number of tries. */
	char id[TRIES_MAX + 1];
	struct mh_greq *q;

	memset(id, 'x', sizeof(id));
	id[tries] = '\0';
	q = mh_greq_create(id);
	q->host = g_strdup("h.example");
	q->target = r->plain ? "/once/x" : "/stream/x";
	q->fingerprint = fingerprint;
	if (r->n_causes > 0)
		set_parts(q);
	g_ptr_array_add(r->open, q);
	mh_gate_admit(e->g, q);
}

static void
send_due(struct crashrig *r)
{
	double chance = r->other_per_s * (double)STEP_US / (double)S;

	for (uint64_t b = 1; b <= r->n_poison + r->n_causes; b++) {
		if (now(r) < r->poison_next_us[b])
			continue;
		r->poison_next_us[b] = now(r) +
		    (int64_t)((double)r->poison_pause_us *
			g_rand_double_range(r->rand, 0.3, 1.7));
		if (r->n_causes > 0)
			send_request(r,
			    FIRST_WITH_PART + CAUSES_MAX * r->n_others++ + b,
			    1);
		else
			send_request(r, b, 1);
	}
	for (; chance > 0; chance -= 1) {
		if (g_rand_double(r->rand) >= chance)
			continue;
		r->other_sent++;
		send_request(r, 1000 + r->n_others++, 1);
	}
	for (guint i = 0; i < r->retries->len;) {
		struct retry a = *(struct retry *)r->retries->pdata[i];

		if (a.at_us > now(r)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(r->retries, i);
		send_request(r, a.fingerprint, a.tries);
	}
}

void
crashrig_run(struct crashrig *r, int64_t us)
{
	for (int64_t t = 0; t < us; t += STEP_US) {
		mrig_run(r->m, STEP_US);
		advance_all(r);
		send_due(r);
	}
}

void
crashrig_restart(struct crashrig *r, uint32_t entry)
{
	struct rig_entry *e = &r->e[entry];

	stop_gate(e);
	mh_kern_destroy(e->m->k);
	mrig_start(e->m);
	e->restarted_us = now(r);
	start_gate(e);
}

static void
add_route(struct crashrig *r, const char *name, bool stream)
{
	struct mh_groute *t = mh_groute_create();
	struct mh_gtarget to = { g_strdup("pool"), 1 };

	t->name = g_strdup(name);
	t->host = g_strdup("h.example");
	t->prefix = g_strdup_printf("/%s/", name);
	t->stream = stream;
	t->repeat = MH_REPEAT_NEVER;
	t->attempts = 1;
	t->timeout_us = 6 * S;
	t->slo_us = 1 * S;
	t->gap_slo_us = 800 * MS;
	g_array_append_val(t->targets, to);
	g_ptr_array_add(r->conf->routes, t);
}

struct crashrig *
crashrig_create(uint32_t engines, uint32_t seed)
{
	struct crashrig *r = g_new0(struct crashrig, 1);

	r->m = mrig_create();
	r->rand = g_rand_new_with_seed(seed);
	r->runs = g_ptr_array_new();
	r->open = g_ptr_array_new();
	r->retries = g_ptr_array_new_with_free_func(g_free);
	r->n_engines = engines;
	r->other_per_s = 30;
	r->poison_pause_us = 700 * MS;
	r->crash_us = CRASH_US;
	for (uint32_t i = 0; i < engines; i++)
		g_snprintf(
		    r->engines[i].id, sizeof(r->engines[i].id), "n%u-0", i);
	r->conf = mh_gconf_create();
	add_route(r, "stream", true);
	add_route(r, "once", false);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		r->e[i].r = r;
		r->e[i].m = &r->m->e[i];
		start_gate(&r->e[i]);
	}
	mrig_run(r->m, 3 * S);
	return r;
}

void
crashrig_destroy(struct crashrig *r)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		stop_gate(&r->e[i]);
	while (r->open->len > 0)
		drop_request(r, g_ptr_array_index(r->open, 0));
	mrig_destroy(r->m);
	mh_gconf_unref(r->conf);
	g_ptr_array_free(r->runs, TRUE);
	g_ptr_array_free(r->open, TRUE);
	g_ptr_array_free(r->retries, TRUE);
	g_rand_free(r->rand);
	g_free(r);
}
