/**
 * DOC: Linked entries, callers and engines that end under some requests.
 */

#include "fallrig.h"

#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define STEP_US (10 * MS)
#define HEAD_US (40 * MS)
/* From the head of its answer to the end of the engine, where not said. */
#define FALL_US (60 * MS)
#define RUN_MIN_US (300 * MS)
#define RUN_MAX_US (2500 * MS)
#define EVENT_US (100 * MS)
/* An engine that ended is back after this, and its old row lapses. */
#define BACK_US (3 * S)
#define LIST_US (600 * MS)
#define AGAIN_US (200 * MS)
/* Callers ask so often in all. */
#define ASKS 4
/* What entries learn must have spread by then. */
#define STABLE_US (3 * S)

struct frun {
	struct fent *e;
	struct mh_try *t;
	struct engine *at; /* NULL: it ended before the request came */
	uint32_t born;
	uint64_t print;
	int64_t sent_us;
	int64_t run_us;
	int64_t event_us;
	bool headed;
};

/** struct fagain - a caller that asks again. */
struct fagain {
	int64_t at_us;
	uint64_t print;
	uint32_t asks;
};

static bool
is_bad(const struct fallrig *r, uint64_t print)
{
	return print <= r->bad;
}

static int64_t
now(const struct fallrig *r)
{
	return r->m->now_us;
}

static struct engine *
find_engine(struct fallrig *r, const char *id)
{
	for (uint32_t i = 0; i < r->n_engines; i++) {
		if (strcmp(r->engines[i].id, id) == 0 &&
		    r->engines[i].down_us == 0)
			return &r->engines[i];
	}
	return NULL;
}

/* entries' other sides */

static void
op_send(void *arg, struct mh_try *t)
{
	struct fent *e = arg;
	struct fallrig *r = e->r;
	struct frun *n = g_new0(struct frun, 1);
	uint64_t print = t->req->fingerprint;

	n->e = e;
	n->t = t;
	n->at = find_engine(r, t->node);
	n->print = print;
	n->sent_us = now(r);
	n->run_us =
	    (int64_t)g_rand_double_range(r->rand, RUN_MIN_US, RUN_MAX_US);
	t->call = n;
	g_ptr_array_add(r->runs, n);
	if (n->at == NULL)
		return;
	n->born = n->at->born;
	if (!is_bad(r, print))
		return;
	r->sends[print]++;
	if (r->third_us[print] != 0 && now(r) > r->third_us[print] + STABLE_US)
		r->late[print]++;
}

static void
op_abort(void *arg, struct mh_try *t)
{
	struct fent *e = arg;

	g_ptr_array_remove(e->r->runs, t->call);
	g_free(t->call);
}

static uint32_t
asks_of(const struct mh_greq *q)
{
	return (uint32_t)strlen(q->id);
}

static void
forget(struct fallrig *r, struct mh_greq *q)
{
	g_ptr_array_remove(r->open, q);
	mh_greq_destroy(q);
}

/* Its caller asks again, or gives up. */
static void
failed(struct fallrig *r, struct mh_greq *q)
{
	struct fagain a = { now(r) + AGAIN_US, q->fingerprint, asks_of(q) + 1 };

	if (!is_bad(r, q->fingerprint) && a.asks <= ASKS)
		g_ptr_array_add(r->again, g_memdup2(&a, sizeof(a)));
	else if (!is_bad(r, q->fingerprint))
		r->good_lost++;
	forget(r, q);
}

static void
op_refuse(
    void *arg, struct mh_greq *q, enum mh_gate_refusal why, int64_t retry_us)
{
	struct fallrig *r = ((struct fent *)arg)->r;
	bool held = why == MH_QUARANTINED || why == MH_RUN_QUARANTINED;

	(void)retry_us;
	r->good_held += held && !is_bad(r, q->fingerprint);
	r->bad_held += held && is_bad(r, q->fingerprint);
	failed(r, q);
}

static void
op_break(void *arg, struct mh_greq *q)
{
	failed(((struct fent *)arg)->r, q);
}

static void
op_finish(void *arg, struct mh_greq *q)
{
	struct fallrig *r = ((struct fent *)arg)->r;

	r->good_served += !is_bad(r, q->fingerprint);
	forget(r, q);
}

static void
op_job(void *arg, struct mh_job *j)
{
	(void)arg;
	(void)j;
}

static void
list_engines(struct fent *e)
{
	struct fallrig *r = e->r;

	mh_fleet_begin(e->f);
	for (uint32_t i = 0; i < r->n_engines; i++) {
		const struct engine *n = &r->engines[i];
		struct mh_listing l = { n->id, 0, "pool", "10.0.0.1:1", "d", 64,
			n->leaving, 0 };

		mh_fleet_list(e->f, &l);
	}
	mh_fleet_end(e->f);
}

static void
start_gate(struct fent *e)
{
	struct mh_budget_args b = { 0.2, 500, 10 * S };
	struct mh_gate_ops ops = { op_send, op_abort, op_refuse, op_finish,
		op_break, e, op_job, op_job, op_job, e };
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
stop_gate(struct fent *e)
{
	struct fallrig *r = e->r;

	mh_gate_destroy(e->g);
	for (guint i = 0; i < r->open->len;) {
		struct mh_greq *q = g_ptr_array_index(r->open, i);

		if (q->gate == e->g)
			failed(r, q);
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
end_run(struct fallrig *r, struct frun *n, enum mh_hcall_outcome end)
{
	struct mh_try *t = n->t;
	struct fent *e = n->e;

	g_ptr_array_remove(r->runs, n);
	g_free(n);
	t->call = NULL;
	mh_gate_try_end(e->g, t, end);
}

/* All that it has breaks; the order is that of the connections. */
static void
fall(struct fallrig *r, struct engine *n)
{
	uint32_t born = n->born;

	n->down_us = now(r);
	for (bool more = true; more;) {
		more = false;
		for (guint i = 0; i < r->runs->len && !more; i++) {
			struct frun *u = g_ptr_array_index(r->runs, i);

			if (u->at == n && u->born == born) {
				end_run(r, u, MH_CALL_BROKEN);
				more = true;
			}
		}
	}
}

void
fallrig_fall(struct fallrig *r, uint32_t engine)
{
	if (r->engines[engine].down_us == 0)
		fall(r, &r->engines[engine]);
}

void
fallrig_reset(struct fallrig *r)
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
note_end(struct fallrig *r, uint64_t print)
{
	if (++r->ends[print] == 3)
		r->third_us[print] = now(r);
}

/* One step of one run; true when it has ended, and others with it. */
static bool
advance(struct fallrig *r, struct frun *n)
{
	struct mh_gresp a = {
		.status = 200, .genuine = true, .events = !r->plain
	};
	int64_t age = now(r) - n->sent_us;

	if (n->at == NULL) {
		end_run(r, n, MH_CALL_UNSENT);
		return true;
	}
	if (is_bad(r, n->print) && age >= HEAD_US + r->fall_us) {
		note_end(r, n->print);
		fall(r, n->at);
		return true;
	}
	if (!n->headed && age >= HEAD_US && !r->plain) {
		n->headed = true;
		n->event_us = now(r);
		(void)mh_gate_head(n->e->g, n->t, &a);
		return false;
	}
	if (n->headed && now(r) - n->event_us >= EVENT_US) {
		n->event_us = now(r);
		mh_gate_progress(n->e->g, n->t);
	}
	if (age < n->run_us || is_bad(r, n->print))
		return false;
	if (r->plain)
		(void)mh_gate_head(n->e->g, n->t, &a);
	end_run(r, n, MH_CALL_COMPLETE);
	return true;
}

static void
advance_all(struct fallrig *r)
{
	for (bool more = true; more;) {
		more = false;
		for (guint i = 0; i < r->runs->len && !more; i++)
			more = advance(r, g_ptr_array_index(r->runs, i));
	}
	for (uint32_t i = 0; i < r->n_engines; i++) {
		struct engine *n = &r->engines[i];

		if (n->down_us == 0 || now(r) - n->down_us < BACK_US)
			continue;
		n->down_us = 0;
		n->born++;
		g_snprintf(n->id, sizeof(n->id), "n%u-%u", i, n->born);
	}
	if (r->store_away || now(r) - r->listed_us < LIST_US)
		return;
	r->listed_us = now(r);
	for (uint32_t i = 0; i < ENTRIES; i++)
		list_engines(&r->e[i]);
}

/* callers */

static void
ask(struct fallrig *r, uint64_t print, uint32_t asks)
{
	struct fent *e = &r->e[g_rand_int_range(r->rand, 0, ENTRIES)];
	/* Each sending has an id of its own; as long as it was asked often. */
	char id[ASKS + 1];
	struct mh_greq *q;

	memset(id, 'x', sizeof(id));
	id[asks] = '\0';
	q = mh_greq_create(id);
	q->host = g_strdup("h.example");
	q->target = r->plain ? "/once/x" : "/stream/x";
	q->fingerprint = print;
	g_ptr_array_add(r->open, q);
	mh_gate_admit(e->g, q);
}

static void
ask_all(struct fallrig *r)
{
	double chance = r->per_s * (double)STEP_US / (double)S;

	for (uint64_t b = 1; b <= r->bad; b++) {
		if (now(r) < r->bad_next_us[b])
			continue;
		r->bad_next_us[b] = now(r) +
		    (int64_t)((double)r->bad_each_us *
			g_rand_double_range(r->rand, 0.3, 1.7));
		ask(r, b, 1);
	}
	for (; chance > 0; chance -= 1) {
		if (g_rand_double(r->rand) >= chance)
			continue;
		r->good_asked++;
		ask(r, 1000 + r->asked++, 1);
	}
	for (guint i = 0; i < r->again->len;) {
		struct fagain a = *(struct fagain *)r->again->pdata[i];

		if (a.at_us > now(r)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(r->again, i);
		ask(r, a.print, a.asks);
	}
}

void
fallrig_run(struct fallrig *r, int64_t us)
{
	for (int64_t t = 0; t < us; t += STEP_US) {
		mrig_run(r->m, STEP_US);
		advance_all(r);
		ask_all(r);
	}
}

void
fallrig_restart(struct fallrig *r, uint32_t entry)
{
	struct fent *e = &r->e[entry];

	stop_gate(e);
	mh_kern_destroy(e->m->k);
	mrig_start(e->m);
	start_gate(e);
}

static void
add_route(struct fallrig *r, const char *name, bool stream)
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
	t->aim_us = 1 * S;
	t->gap_aim_us = 800 * MS;
	g_array_append_val(t->targets, to);
	g_ptr_array_add(r->conf->routes, t);
}

struct fallrig *
fallrig_create(uint32_t engines, uint32_t seed)
{
	struct fallrig *r = g_new0(struct fallrig, 1);

	r->m = mrig_create();
	r->rand = g_rand_new_with_seed(seed);
	r->runs = g_ptr_array_new();
	r->open = g_ptr_array_new();
	r->again = g_ptr_array_new_with_free_func(g_free);
	r->n_engines = engines;
	r->per_s = 30;
	r->bad_each_us = 700 * MS;
	r->fall_us = FALL_US;
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
fallrig_destroy(struct fallrig *r)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		stop_gate(&r->e[i]);
	while (r->open->len > 0)
		forget(r, g_ptr_array_index(r->open, 0));
	mrig_destroy(r->m);
	mh_gconf_unref(r->conf);
	g_ptr_array_free(r->runs, TRUE);
	g_ptr_array_free(r->open, TRUE);
	g_ptr_array_free(r->again, TRUE);
	g_rand_free(r->rand);
	g_free(r);
}
