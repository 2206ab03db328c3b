/**
 * DOC: Stage work goes to the entry whose turn it is.
 *
 * All pieces meet at one entry, so that calls are full.  If that entry dies
 * or falls silent its jobs are given to the next, which goes on from the stages
 * that are made: a piece may be made twice, a request is sent once.  One that
 * leaves, or is the home no more, hands on all that it has made.
 */

#include "mesh.h"

#include <string.h>

/*
 * An entry with work looks so often whether it is still the home, and is sure
 * of it when so many looks agree: within a beat the others know as well.
 */
#define LOOK_US (100 * MH_US_PER_MS)
#define LOOKS 3

/* A job that another entry does for us. */
struct sent {
	struct mh_job *job;
	char *node;
	bool done; /* its results are with the request */
};

/* A job that we do for another entry; its job's owner. */
struct guest {
	struct mh_broker *b;
	struct mh_job *job;
	char *node;
	bool ended; /* its results wait to be freed */
};

struct mh_broker {
	struct mh_kern *k;
	struct mh_mesh *m;
	struct mh_scheds *cells;
	GHashTable *sent; /* job -> struct sent */
	GHashTable *guests; /* node/id -> struct guest */
	GHashTable *guest_jobs; /* job -> struct guest */
	GQueue *held; /* struct mh_job, until we know whose turn it is */
	struct mh_timer *held_timer;
	struct mh_timer *look_timer;
	GHashTable *looks; /* cell -> looks in a row at which it was not ours */
	void (*end)(
	    void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us);
	void *end_arg;
};

static void
free_sent(void *arg)
{
	struct sent *s = arg;

	g_free(s->node);
	g_free(s);
}

static char *
guest_key(const char *node, const char *id)
{
	return g_strdup_printf("%s/%s", node, id);
}

/* asking */

/*
 * The results of a stage as they travel, "" where one is not made; NULL: never
 * begun.  The caller frees the list, not what it names.  Those of a stage half
 * made have a field of their own: an entry of an earlier version takes what it
 * finds among the results of a stage for made, and would run the next stage
 * without it; so it makes the stage anew.
 */
static char **
made_of(const struct mh_job_stage *st)
{
	char **list;

	if (st->results == NULL)
		return NULL;
	list = g_new0(char *, st->results->len + 1);
	for (guint i = 0; i < st->results->len; i++) {
		list[i] = g_ptr_array_index(st->results, i);
		if (list[i] == NULL)
			list[i] = (char *)"";
	}
	return list;
}

static void
send_job(struct mh_broker *b, struct mh_job *j, const char *node,
    uint32_t slice, uint32_t slices)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Job m = MH__JOB__INIT;
	Mh__JobStage stages[MH_GSTAGES], *list[MH_GSTAGES];
	char **made[MH_GSTAGES];

	m.id = j->id;
	m.key = j->key == NULL ? (char *)"" : j->key;
	m.route = j->route;
	m.domain = j->domain == NULL ? (char *)"" : j->domain;
	m.priority = j->priority;
	m.weight = j->weight;
	m.slice = slice;
	m.slices = slices;
	m.returned = j->refused_before;
	m.moved = j->handed_off;
	m.print = j->fingerprint;
	m.aim_us = j->slo_us - mh_now(b->k);
	m.deadline_us = j->deadline_us - mh_now(b->k);
	m.n_stages = j->n_stages;
	m.stages = list;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		mh__job_stage__init(&stages[s]);
		stages[s].pool = j->stages[s].pool;
		stages[s].after = j->stages[s].after;
		stages[s].pieces = j->stages[s].pieces;
		stages[s].result_bytes = j->stages[s].result_bytes;
		list[s] = &stages[s];
		made[s] = made_of(&j->stages[s]);
		if (made[s] == NULL)
			continue;
		if (mh_job_stage_done(&j->stages[s])) {
			stages[s].results = made[s];
			stages[s].n_results = j->stages[s].results->len;
		} else {
			stages[s].some = made[s];
			stages[s].n_some = j->stages[s].results->len;
		}
	}
	f.body_case = MH__FRAME__BODY_JOB;
	f.job = &m;
	mh_mesh_send(b->m, node, &f);
	for (uint32_t s = 0; s < j->n_stages; s++)
		g_free(made[s]);
}

/*
 * Which slice takes a job: one of the few that this entry uses, by what the
 * slice has of the pools.  With all slices in use by all entries a home would
 * be linked to every entry; with a few, some dozen entries still meet there.
 */
static uint32_t
pick_slice(struct mh_broker *b, const struct mh_job *j, uint32_t count)
{
	uint32_t used[MH_USED_SLICES];
	uint32_t n = mh_mesh_slices(b->m, count, used);
	double unit = (double)(mh_hash(j->id, strlen(j->id)) >> 11) /
	    (double)(1ULL << 53);

	return mh_scheds_pick(b->cells, used, n, unit);
}

static void
submit(struct mh_broker *b, struct mh_job *j)
{
	uint32_t count = mh_scheds_count(b->cells);
	uint32_t slice = pick_slice(b, j, count);
	char work[MH_WORK_LEN];
	const char *home;
	struct sent *s;

	mh_mesh_set_slices(b->m, count);
	home = mh_mesh_home(b->m, mh_slice_work(work, slice, count));
	if (mh_mesh_is_self(b->m, home)) {
		mh_sched_submit(mh_scheds_get(b->cells, slice, count), j);
		return;
	}
	s = g_new0(struct sent, 1);
	s->job = j;
	s->node = g_strdup(home);
	g_hash_table_insert(b->sent, j, s);
	mh_count(b->k, "jobs_sent", 1);
	mh_event(b->k, "job-sent", "id=%s home=%s slice=%u/%u", j->id, home,
	    slice, count);
	send_job(b, j, home, slice, count);
}

static void
on_settled(void *arg)
{
	struct mh_broker *b = arg;
	struct mh_job *j;

	b->held_timer = NULL;
	while ((j = g_queue_pop_head(b->held)) != NULL)
		submit(b, j);
}

/*
 * A process that has just started knows no other and would do its stage work
 * alone, in small calls that take the endpoints from everybody's: so it waits
 * until it has heard of the others.
 */
void
mh_broker_submit(struct mh_broker *b, struct mh_job *j)
{
	int64_t wait_us = mh_mesh_unsettled_us(b->m);

	if (wait_us == 0) {
		submit(b, j);
		return;
	}
	g_queue_push_tail(b->held, j);
	if (b->held_timer == NULL)
		b->held_timer = mh_timer_start(b->k, wait_us, on_settled, b);
}

/*
 * What the job's home made before it went is known here alone.  It filled its
 * endpoints until it lapsed.
 */
static void
discard_known(struct mh_broker *b, struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		GPtrArray *a = j->stages[s].results;

		for (guint i = 0; a != NULL && i < a->len; i++) {
			const char *result = g_ptr_array_index(a, i);

			if (result != NULL && *result != '\0')
				mh_scheds_discard(b->cells, result);
		}
	}
}

void
mh_broker_drop(struct mh_broker *b, struct mh_job *j)
{
	struct sent *s = g_hash_table_lookup(b->sent, j);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__JobDrop d = MH__JOB_DROP__INIT;

	if (j->state != NULL) { /* a cell of ours has it */
		mh_sched_cancel(j->sched, j);
		return;
	}
	if (g_queue_remove(b->held, j) || s == NULL) {
		discard_known(b, j);
		return;
	}
	d.id = j->id;
	f.body_case = MH__FRAME__BODY_JOB_DROP;
	f.job_drop = &d;
	mh_mesh_send(b->m, s->node, &f);
	g_hash_table_remove(b->sent, j);
}

static void
submit_again(struct mh_broker *b, struct mh_job *j, const char *from)
{
	mh_count(b->k, "jobs_moved", 1);
	mh_event(b->k, "job-moved", "id=%s from=%s", j->id, from);
	j->handed_off = true;
	mh_broker_submit(b, j);
}

static void
take_results(struct mh_job *j, const Mh__JobEnd *m)
{
	for (uint32_t s = 0; s < j->n_stages && s < m->n_stages; s++) {
		GPtrArray *a = g_ptr_array_new_with_free_func(g_free);

		for (size_t i = 0; i < m->stages[s]->n_results; i++)
			g_ptr_array_add(a, g_strdup(m->stages[s]->results[i]));
		if (j->stages[s].results != NULL)
			g_ptr_array_free(j->stages[s].results, TRUE);
		j->stages[s].results = a;
	}
}

/* Results of stages that others took are gone: only the last ones count. */
static bool
has_finals(const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		const GPtrArray *a = j->stages[s].results;

		if (a == NULL || a->len != j->stages[s].pieces)
			return false;
	}
	return true;
}

static struct mh_job *
find_sent(struct mh_broker *b, const char *node, const char *id)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, b->sent);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct sent *s = value;

		if (strcmp(s->job->id, id) == 0 && strcmp(s->node, node) == 0)
			return s->job;
	}
	return NULL;
}

static void
on_job_end(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_broker *b = arg;
	const Mh__JobEnd *m = f->job_end;
	struct mh_job *j = find_sent(b, node, m->id);
	enum mh_job_end end = m->held ? MH_JOB_QUARANTINED : m->end;
	struct sent *s;

	if (j == NULL)
		return; /* its caller left, or it went to another entry */
	if (end == MH_JOB_DONE) {
		take_results(j, m);
		if (!has_finals(j))
			end = MH_JOB_FAILED;
		s = g_hash_table_lookup(b->sent, j);
		s->done = end == MH_JOB_DONE;
	}
	if (end != MH_JOB_DONE)
		g_hash_table_remove(b->sent, j);
	if (end == MH_JOB_HANDED_OFF) {
		submit_again(b, j, node);
		return;
	}
	b->end(b->end_arg, j, end, (int64_t)m->retry_us);
}

/*
 * The home tells what it has made, so that the next one goes on from there,
 * should it die.  Without, all begun work was done again from the first stage
 * by a pool that the dead home's results still filled.
 */
static void
on_job_step(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_broker *b = arg;
	const Mh__JobStep *m = f->job_step;
	struct mh_job *j = find_sent(b, node, m->id);

	if (j == NULL || m->stage >= j->n_stages)
		return;
	if (m->n_results == j->stages[m->stage].pieces)
		mh_job_set_results(j, m->stage, m->results, m->n_results);
	else if (m->n_some == j->stages[m->stage].pieces)
		mh_job_set_results(j, m->stage, m->some, m->n_some);
	else
		return;
	mh_job_drop_unneeded(j);
}

/* doing */

static void
free_guest(struct mh_broker *b, struct guest *g)
{
	char *key = guest_key(g->node, g->job->id);

	g_hash_table_remove(b->guest_jobs, g->job);
	g_hash_table_remove(b->guests, key);
	mh_job_destroy(g->job);
	g_free(g->node);
	g_free(g);
	g_free(key);
}

static struct mh_job *
read_job(struct mh_broker *b, const Mh__Job *m)
{
	struct mh_job *j = mh_job_create(m->id);

	j->key = g_strdup(m->key);
	j->route = g_strdup(m->route);
	if (*m->domain != '\0')
		j->domain = g_strdup(m->domain);
	j->priority = m->priority;
	j->weight = m->weight;
	j->refused_before = m->returned;
	j->handed_off = m->moved;
	j->fingerprint = m->print;
	j->arrived_us = mh_now(b->k);
	j->slo_us = j->arrived_us + m->aim_us;
	j->deadline_us = j->arrived_us + m->deadline_us;
	j->n_stages = MIN((uint32_t)m->n_stages, MH_GSTAGES);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		j->stages[s].pool = g_strdup(m->stages[s]->pool);
		j->stages[s].after = m->stages[s]->after & ((1U << s) - 1);
		j->stages[s].pieces = m->stages[s]->pieces;
		j->stages[s].result_bytes = m->stages[s]->result_bytes;
		if (m->stages[s]->n_results > 0 &&
		    m->stages[s]->n_results == m->stages[s]->pieces)
			mh_job_set_results(j, s, m->stages[s]->results,
			    m->stages[s]->n_results);
		else if (m->stages[s]->n_some > 0 &&
		    m->stages[s]->n_some == m->stages[s]->pieces)
			mh_job_set_results(
			    j, s, m->stages[s]->some, m->stages[s]->n_some);
	}
	return j;
}

static const char *
home_of(struct mh_broker *b, const Mh__Job *m)
{
	char work[MH_WORK_LEN];

	return mh_mesh_home(b->m, mh_slice_work(work, m->slice, m->slices));
}

static void
on_job(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_broker *b = arg;
	struct guest *g = g_new0(struct guest, 1);
	char *key = guest_key(node, f->job->id);
	struct guest *old = g_hash_table_lookup(b->guests, key);

	if (old != NULL) {
		mh_sched_cancel(old->job->sched, old->job);
		free_guest(b, old);
	}
	mh_mesh_hint(b->m, node, home_of(b, f->job));
	g->b = b;
	g->node = g_strdup(node);
	g->job = read_job(b, f->job);
	g->job->submitter = g;
	g_hash_table_insert(b->guests, key, g);
	g_hash_table_insert(b->guest_jobs, g->job, g);
	mh_count(b->k, "jobs_guest", 1);
	mh_sched_submit(mh_scheds_get(b->cells, f->job->slice % MH_SLICES,
			    CLAMP(f->job->slices, 1, MH_SLICES)),
	    g->job);
}

static void
on_job_drop(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_broker *b = arg;
	char *key = guest_key(node, f->job_drop->id);
	struct guest *g = g_hash_table_lookup(b->guests, key);

	g_free(key);
	if (g == NULL)
		return;
	mh_sched_cancel(g->job->sched, g->job);
	free_guest(b, g);
}

static void
send_end(
    struct mh_broker *b, struct guest *g, enum mh_job_end end, int64_t retry_us)
{
	struct mh_job *j = g->job;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__JobEnd m = MH__JOB_END__INIT;
	Mh__JobStage stages[MH_GSTAGES], *list[MH_GSTAGES];

	m.id = j->id;
	/* An entry of an earlier version knows no other end. */
	m.held = end == MH_JOB_QUARANTINED;
	m.end = m.held ? MH_JOB_FAILED : end;
	m.retry_us = (uint64_t)MAX(retry_us, 0);
	m.n_stages = end == MH_JOB_DONE ? j->n_stages : 0;
	m.stages = list;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		GPtrArray *a = j->stages[s].results;

		mh__job_stage__init(&stages[s]);
		list[s] = &stages[s];
		if (end != MH_JOB_DONE)
			continue;
		stages[s].n_results = a->len;
		stages[s].results = (char **)a->pdata;
		/* Those that were taken by later stages are gone. */
		for (guint i = 0; i < a->len; i++) {
			if (a->pdata[i] == NULL)
				a->pdata[i] = g_strdup("");
		}
	}
	f.body_case = MH__FRAME__BODY_JOB_END;
	f.job_end = &m;
	mh_mesh_send(b->m, g->node, &f);
}

void
mh_broker_cell_step(struct mh_broker *b, struct mh_job *j, uint32_t stage)
{
	struct guest *g = g_hash_table_lookup(b->guest_jobs, j);
	char **made = made_of(&j->stages[stage]);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__JobStep m = MH__JOB_STEP__INIT;

	if (g != NULL && made != NULL) {
		m.id = j->id;
		m.stage = stage;
		if (mh_job_stage_done(&j->stages[stage])) {
			m.results = made;
			m.n_results = j->stages[stage].results->len;
		} else {
			m.some = made;
			m.n_some = j->stages[stage].results->len;
		}
		f.body_case = MH__FRAME__BODY_JOB_STEP;
		f.job_step = &m;
		mh_mesh_send(b->m, g->node, &f);
	}
	g_free(made);
}

void
mh_broker_cell_end(struct mh_broker *b, struct mh_job *j, enum mh_job_end end,
    int64_t retry_us)
{
	struct guest *g = g_hash_table_lookup(b->guest_jobs, j);

	if (g == NULL && end == MH_JOB_HANDED_OFF) {
		submit_again(b, j, "here");
		return;
	}
	if (g == NULL) {
		b->end(b->end_arg, j, end, retry_us);
		return;
	}
	/*
	 * The last stage first: told of an earlier one, the asker forgets what
	 * a stage reads that it still takes for made, and it is made again.
	 */
	for (uint32_t s = j->n_stages; s > 0 && end == MH_JOB_HANDED_OFF; s--)
		mh_broker_cell_step(b, j, s - 1);
	send_end(b, g, end, retry_us);
	if (end != MH_JOB_DONE)
		free_guest(b, g);
}

/* an entry is lost */

static void
drop_guests(struct mh_broker *b, const char *node)
{
	GList *all = g_hash_table_get_values(b->guests);

	for (GList *l = all; l != NULL; l = l->next) {
		struct guest *g = l->data;

		if (strcmp(g->node, node) != 0)
			continue;
		mh_sched_cancel(g->job->sched, g->job);
		free_guest(b, g);
	}
	g_list_free(all);
}

static void
on_lost(void *arg, const char *node)
{
	struct mh_broker *b = arg;
	GList *all = g_hash_table_get_keys(b->sent);
	bool done;

	drop_guests(b, node);
	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_job *j = l->data;
		struct sent *s = g_hash_table_lookup(b->sent, j);

		if (s == NULL || strcmp(s->node, node) != 0)
			continue;
		done = s->done;
		g_hash_table_remove(b->sent, j);
		if (done)
			continue; /* the results live without it */
		submit_again(b, j, node);
	}
	g_list_free(all);
}

/* no longer the home */

/*
 * Another has become the home while we have jobs: it calls the same endpoints.
 * Both homes' calls queued behind each other until the last of the jobs had
 * ended, two seconds for most, and room was refused for results that the other
 * did not know of.  Once a change: who still takes us for the home is served.
 */
static void
look_at(void *arg, struct mh_sched *c, uint32_t index, uint32_t count)
{
	struct mh_broker *b = arg;
	char work[MH_WORK_LEN];
	uint32_t looks;

	looks = GPOINTER_TO_UINT(g_hash_table_lookup(b->looks, c));
	if (mh_sched_is_idle(c) && looks == 0)
		return;
	/*
	 * Home again, be it without work: unseen, the next time that it is no
	 * more the home did not count, and it kept what it was given.
	 */
	if (mh_mesh_is_self(
		b->m, mh_mesh_home(b->m, mh_slice_work(work, index, count)))) {
		g_hash_table_remove(b->looks, c);
		return;
	}
	if (mh_sched_is_idle(c))
		return;
	if (looks < LOOKS)
		g_hash_table_insert(b->looks, c, GUINT_TO_POINTER(looks + 1));
	if (looks + 1 == LOOKS)
		mh_sched_drain(c);
}

static void
on_look(void *arg)
{
	struct mh_broker *b = arg;

	b->look_timer = mh_timer_start(b->k, LOOK_US, on_look, b);
	mh_scheds_foreach(b->cells, look_at, b);
}

void
mh_broker_on_end(struct mh_broker *b,
    void (*fn)(
	void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us),
    void *arg)
{
	b->end = fn;
	b->end_arg = arg;
}

struct mh_broker *
mh_broker_create(struct mh_kern *k, struct mh_mesh *m, struct mh_scheds *cells)
{
	struct mh_broker *b = g_new0(struct mh_broker, 1);

	b->k = k;
	b->m = m;
	b->cells = cells;
	b->sent = g_hash_table_new_full(NULL, NULL, NULL, free_sent);
	b->guests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->guest_jobs = g_hash_table_new(NULL, NULL);
	b->held = g_queue_new();
	b->looks = g_hash_table_new(NULL, NULL);
	b->look_timer = mh_timer_start(k, LOOK_US, on_look, b);
	mh_mesh_on(m, MH__FRAME__BODY_JOB, on_job, b);
	mh_mesh_on(m, MH__FRAME__BODY_JOB_END, on_job_end, b);
	mh_mesh_on(m, MH__FRAME__BODY_JOB_STEP, on_job_step, b);
	mh_mesh_on(m, MH__FRAME__BODY_JOB_DROP, on_job_drop, b);
	mh_mesh_on_lost(m, on_lost, b);
	return b;
}

void
mh_broker_destroy(struct mh_broker *b)
{
	GList *all;

	if (b == NULL)
		return;
	mh_timer_stop(b->k, &b->held_timer);
	mh_timer_stop(b->k, &b->look_timer);
	g_queue_free(b->held);
	g_hash_table_destroy(b->looks);
	all = g_hash_table_get_values(b->guests);
	for (GList *l = all; l != NULL; l = l->next) {
		struct guest *g = l->data;

		mh_sched_cancel(g->job->sched, g->job);
		free_guest(b, g);
	}
	g_list_free(all);
	g_hash_table_destroy(b->guests);
	g_hash_table_destroy(b->guest_jobs);
	g_hash_table_destroy(b->sent);
	g_free(b);
}
