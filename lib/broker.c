/**
 * DOC: Broker: sends stage work to its coordinator.
 *
 * All pieces of a slice are scheduled by one entry, so that calls are full. If
 * that entry dies or falls silent its jobs are sent to the next coordinator,
 * which continues from the computed stages: a piece may be computed twice, but
 * a request is sent once. A coordinator that drains, or that another entry
 * replaces, hands off its jobs with all computed results.
 *
 * The retries of a request's stage work count against the budget of the entry
 * that received the request. Each job that is sent takes along a part of it,
 * and its end returns what is left. If the end doesn't come, all of it counts
 * as spent, as the former coordinator may still spend it.
 */

#include "mesh.h"

#include <string.h>

/*
 * An entry with work checks at this interval whether it is still the
 * coordinator, and hands off after this many checks in a row that it isn't:
 * within a heartbeat interval the others choose the new one too.
 */
#define CHECK_US (100 * MH_US_PER_MS)
#define CHECKS_TO_HAND_OFF 3
/*
 * What a job takes along of the retries that its entry has left: few jobs need
 * any, and a coordinator may use those of all its jobs for one. A job whose
 * pieces may have been sent before is likely to need one.
 */
#define GRANT_SHARE 0.25
#define GRANT_MAX 0.25
#define GRANT_RESENT_MAX 1.0
#define MILLI 1000

/* A job sent to another entry. */
struct sent_job {
	struct mh_job *job;
	char *node;
	bool done; /* its results have been returned to the request */
};

/* A job received from another entry; the submitter of its mh_job. */
struct remote_job {
	struct mh_broker *b;
	struct mh_job *job;
	char *node;
	bool ended; /* its results are not freed yet */
};

struct mh_broker {
	struct mh_kern *k;
	struct mh_mesh *m;
	struct mh_scheds *scheds;
	struct mh_budget *budget; /* of the schedulers */
	GHashTable *sent_jobs; /* job -> struct sent_job */
	GHashTable *remote_jobs; /* node/id -> struct remote_job */
	GHashTable *remote_by_job; /* job -> struct remote_job */
	GQueue *waiting; /* struct mh_job, until the settle time is over */
	struct mh_timer *settle_timer;
	struct mh_timer *check_timer;
	GHashTable *lost_checks; /* scheduler -> checks lost in a row */
	void (*end)(
	    void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us);
	void *end_arg;
};

static void
free_sent(void *arg)
{
	struct sent_job *s = arg;

	g_free(s->node);
	g_free(s);
}

/* Whether an earlier stage of the job uses the same pool. */
static bool
pool_was_seen(const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < stage; s++) {
		if (j->stages[s].pieces > 0 &&
		    strcmp(j->stages[s].pool, j->stages[stage].pool) == 0)
			return true;
	}
	return false;
}

/* Counts a request for each pool that its stages use. */
static void
count_request(struct mh_broker *b, const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->stages[s].pieces > 0 && !pool_was_seen(j, s))
			mh_budget_request(b->budget, j->stages[s].pool);
	}
}

static void
grant_retries(struct mh_broker *b, struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_job_stage *st = &j->stages[s];

		if (st->pieces == 0 || pool_was_seen(j, s) ||
		    mh_job_stage_done(st))
			continue;
		st->granted = mh_budget_grant(b->budget, st->pool,
		    j->resent ? 1 : GRANT_SHARE,
		    j->resent ? GRANT_RESENT_MAX : GRANT_MAX);
	}
}

/* The coordinator has ended the job and returns what is left. */
static void
settle_retries(struct mh_broker *b, struct mh_job *j, const Mh__JobEnd *m)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_job_stage *st = &j->stages[s];
		double left = s < m->n_stages
		    ? (double)m->stages[s]->retries_milli / MILLI
		    : 0;

		if (st->granted > 0)
			mh_budget_settle(
			    b->budget, st->pool, st->granted, left);
		st->granted = 0;
	}
}

/* Nothing more will be heard of the job; it ends by its deadline. */
static void
forfeit_retries(struct mh_broker *b, struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_job_stage *st = &j->stages[s];

		mh_budget_forfeit(
		    b->budget, st->pool, st->granted, j->deadline_us);
		st->granted = 0;
	}
}

static char *
remote_key(const char *node, const char *id)
{
	return g_strdup_printf("%s/%s", node, id);
}

/* requester */

/*
 * The results of a stage as they are sent, "" for one that is not computed;
 * NULL if the stage was never begun. The caller frees the array, not its
 * elements. Results of an incomplete stage are sent in a field of their own: an
 * entry of an earlier version takes all results of a stage for computed, and
 * would run the next stage without the missing ones; without the field it
 * computes the whole stage again.
 */
static char **
results_of(const struct mh_job_stage *st)
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
	char **results[MH_GSTAGES];

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
	m.resent = j->resent;
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
		stages[s].retries_milli =
		    (uint32_t)(j->stages[s].granted * MILLI);
		list[s] = &stages[s];
		results[s] = results_of(&j->stages[s]);
		if (results[s] == NULL)
			continue;
		if (mh_job_stage_done(&j->stages[s])) {
			stages[s].results = results[s];
			stages[s].n_results = j->stages[s].results->len;
		} else {
			stages[s].some = results[s];
			stages[s].n_some = j->stages[s].results->len;
		}
	}
	f.body_case = MH__FRAME__BODY_JOB;
	f.job = &m;
	mh_mesh_send(b->m, node, &f);
	for (uint32_t s = 0; s < j->n_stages; s++)
		g_free(results[s]);
}

/*
 * Picks the slice of a job among the few that this entry uses, in proportion to
 * the slices' shares of the pools. If all entries used all slices, a
 * coordinator would be linked to every entry; with a few, some dozen entries
 * still share one.
 */
static uint32_t
pick_slice(struct mh_broker *b, const struct mh_job *j, uint32_t count)
{
	uint32_t used[MH_USED_SLICES];
	uint32_t n = mh_mesh_slices(b->m, count, used);
	double unit = (double)(mh_hash(j->id, strlen(j->id)) >> 11) /
	    (double)(1ULL << 53);

	return mh_scheds_pick(b->scheds, used, n, unit);
}

static void
submit(struct mh_broker *b, struct mh_job *j)
{
	uint32_t count = mh_scheds_count(b->scheds);
	uint32_t slice = pick_slice(b, j, count);
	char work[MH_WORK_LEN];
	const char *coordinator;
	struct sent_job *s;

	mh_mesh_set_slices(b->m, count);
	coordinator =
	    mh_mesh_coordinator(b->m, mh_slice_work(work, slice, count));
	if (mh_mesh_is_self(b->m, coordinator)) {
		mh_sched_submit(mh_scheds_get(b->scheds, slice, count), j);
		return;
	}
	s = g_new0(struct sent_job, 1);
	s->job = j;
	s->node = g_strdup(coordinator);
	g_hash_table_insert(b->sent_jobs, j, s);
	mh_count(b->k, "jobs_sent", 1);
	mh_event(b->k, "job-sent", "id=%s home=%s slice=%u/%u", j->id,
	    coordinator, slice, count);
	grant_retries(b, j);
	send_job(b, j, coordinator, slice, count);
}

static void
on_settled(void *arg)
{
	struct mh_broker *b = arg;
	struct mh_job *j;

	while ((j = g_queue_pop_head(b->waiting)) != NULL)
		submit(b, j);
}

/*
 * A process that has just started has no heartbeats of other entries and would
 * do its stage work alone, in small calls that occupy the endpoints. So it
 * waits for these heartbeats first.
 */
void
mh_broker_submit(struct mh_broker *b, struct mh_job *j)
{
	int64_t wait_us = mh_mesh_settle_us(b->m);

	if (!j->handed_off && !j->resent)
		count_request(b, j);
	if (wait_us == 0) {
		submit(b, j);
		return;
	}
	g_queue_push_tail(b->waiting, j);
	if (b->settle_timer == NULL)
		mh_timer_set(b->k, &b->settle_timer, wait_us, on_settled, b);
}

/*
 * Results of a job whose coordinator departed are recorded by this entry alone.
 * If it doesn't free them, they occupy the endpoints' result memory until they
 * expire.
 */
static void
discard_results(struct mh_broker *b, struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		GPtrArray *a = j->stages[s].results;

		for (guint i = 0; a != NULL && i < a->len; i++) {
			const char *result = g_ptr_array_index(a, i);

			if (result != NULL && *result != '\0')
				mh_scheds_discard(b->scheds, result);
		}
	}
}

void
mh_broker_drop(struct mh_broker *b, struct mh_job *j)
{
	struct sent_job *s = g_hash_table_lookup(b->sent_jobs, j);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__JobDrop d = MH__JOB_DROP__INIT;

	if (j->state != NULL) { /* a stage scheduler of this entry has it */
		mh_sched_cancel(j->sched, j);
		return;
	}
	if (g_queue_remove(b->waiting, j) || s == NULL) {
		discard_results(b, j);
		return;
	}
	forfeit_retries(b, j);
	d.id = j->id;
	f.body_case = MH__FRAME__BODY_JOB_DROP;
	f.job_drop = &d;
	mh_mesh_send(b->m, s->node, &f);
	g_hash_table_remove(b->sent_jobs, j);
}

static void
hand_off(struct mh_broker *b, struct mh_job *j, const char *from)
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

/*
 * Whether each stage has its list of results; those that later stages read are
 * freed and empty in it.
 */
static bool
has_results(const struct mh_job *j)
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

	g_hash_table_iter_init(&it, b->sent_jobs);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct sent_job *s = value;

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
	struct sent_job *s;

	if (j == NULL)
		return; /* its client left, or it was sent elsewhere */
	s = g_hash_table_lookup(b->sent_jobs, j);
	if (s->done) /* it was sent twice, and ended both times */
		return;
	settle_retries(b, j, m);
	if (end == MH_JOB_DONE) {
		take_results(j, m);
		if (!has_results(j))
			end = MH_JOB_FAILED;
		s->done = end == MH_JOB_DONE;
	}
	if (end != MH_JOB_DONE)
		g_hash_table_remove(b->sent_jobs, j);
	if (end == MH_JOB_HANDED_OFF) {
		j->resent = m->resent;
		hand_off(b, j, node);
		return;
	}
	b->end(b->end_arg, j, end, (int64_t)m->retry_us);
}

/*
 * The coordinator reports computed results, so that the next one continues from
 * them should it die. Otherwise all begun work would be recomputed from the
 * first stage, in a pool whose result memory the dead coordinator's results
 * still occupy.
 */
static void
on_job_step(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_broker *b = arg;
	const Mh__JobStep *m = f->job_step;
	struct mh_job *j = find_sent(b, node, m->id);

	const struct sent_job *s;

	if (j == NULL || m->stage >= j->n_stages)
		return;
	s = g_hash_table_lookup(b->sent_jobs, j);
	if (s->done) /* the step was sent again, over another connection */
		return;
	if (m->n_results == j->stages[m->stage].pieces)
		mh_job_set_results(j, m->stage, m->results, m->n_results);
	else if (m->n_some == j->stages[m->stage].pieces)
		mh_job_set_results(j, m->stage, m->some, m->n_some);
	else
		return;
	mh_job_drop_unneeded(j);
}

/* coordinator */

static void
free_remote(struct mh_broker *b, struct remote_job *r)
{
	char *key = remote_key(r->node, r->job->id);

	g_hash_table_remove(b->remote_by_job, r->job);
	g_hash_table_remove(b->remote_jobs, key);
	mh_job_destroy(r->job);
	g_free(r->node);
	g_free(r);
	g_free(key);
}

static struct mh_job *
read_job(struct mh_broker *b, const Mh__Job *m)
{
	struct mh_job *j = mh_job_create(m->id);
	uint8_t order[MH_GSTAGES];

	j->key = g_strdup(m->key);
	j->route = g_strdup(m->route);
	if (*m->domain != '\0')
		j->domain = g_strdup(m->domain);
	j->priority = m->priority;
	j->weight = m->weight;
	j->refused_before = m->returned;
	j->handed_off = m->moved;
	j->resent = m->resent;
	j->fingerprint = m->print;
	j->arrived_us = mh_now(b->k);
	j->slo_us = j->arrived_us + m->aim_us;
	j->deadline_us = j->arrived_us + m->deadline_us;
	j->n_stages = MIN((uint32_t)m->n_stages, MH_GSTAGES);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		j->stages[s].pool = g_strdup(m->stages[s]->pool);
		j->stages[s].after = m->stages[s]->after;
		j->stages[s].pieces = m->stages[s]->pieces;
		j->stages[s].result_bytes = m->stages[s]->result_bytes;
		j->stages[s].granted =
		    (double)MIN(m->stages[s]->retries_milli, MILLI) / MILLI;
		if (m->stages[s]->n_results > 0 &&
		    m->stages[s]->n_results == m->stages[s]->pieces)
			mh_job_set_results(j, s, m->stages[s]->results,
			    m->stages[s]->n_results);
		else if (m->stages[s]->n_some > 0 &&
		    m->stages[s]->n_some == m->stages[s]->pieces)
			mh_job_set_results(
			    j, s, m->stages[s]->some, m->stages[s]->n_some);
	}
	for (uint32_t s = 0; s < j->n_stages && !mh_job_sort(j, order); s++)
		j->stages[s].after &= (1U << s) - 1;
	return j;
}

static const char *
coordinator_of(struct mh_broker *b, const Mh__Job *m)
{
	char work[MH_WORK_LEN];

	return mh_mesh_coordinator(
	    b->m, mh_slice_work(work, m->slice, m->slices));
}

static void
on_job(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_broker *b = arg;
	struct remote_job *r = g_new0(struct remote_job, 1);
	char *key = remote_key(node, f->job->id);
	struct remote_job *old = g_hash_table_lookup(b->remote_jobs, key);

	if (old != NULL) {
		mh_sched_cancel(old->job->sched, old->job);
		free_remote(b, old);
	}
	mh_mesh_announce(b->m, node, coordinator_of(b, f->job));
	r->b = b;
	r->node = g_strdup(node);
	r->job = read_job(b, f->job);
	r->job->submitter = r;
	g_hash_table_insert(b->remote_jobs, key, r);
	g_hash_table_insert(b->remote_by_job, r->job, r);
	mh_count(b->k, "jobs_guest", 1);
	mh_sched_submit(mh_scheds_get(b->scheds, f->job->slice % MH_SLICES,
			    CLAMP(f->job->slices, 1, MH_SLICES)),
	    r->job);
}

static void
on_job_drop(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_broker *b = arg;
	char *key = remote_key(node, f->job_drop->id);
	struct remote_job *r = g_hash_table_lookup(b->remote_jobs, key);

	g_free(key);
	if (r == NULL)
		return;
	mh_sched_cancel(r->job->sched, r->job);
	free_remote(b, r);
}

static void
send_end(struct mh_broker *b, struct remote_job *r, enum mh_job_end end,
    int64_t retry_us)
{
	struct mh_job *j = r->job;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__JobEnd m = MH__JOB_END__INIT;
	Mh__JobStage stages[MH_GSTAGES], *list[MH_GSTAGES];

	m.id = j->id;
	/*
	 * An entry of an earlier version does not read the field for this end
	 * of a job and takes it for MH_JOB_FAILED.
	 */
	m.held = end == MH_JOB_QUARANTINED;
	m.end = m.held ? MH_JOB_FAILED : end;
	m.retry_us = (uint64_t)MAX(retry_us, 0);
	m.resent = end == MH_JOB_HANDED_OFF && j->resent;
	m.n_stages = j->n_stages;
	m.stages = list;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		GPtrArray *a = j->stages[s].results;

		mh__job_stage__init(&stages[s]);
		list[s] = &stages[s];
		stages[s].retries_milli =
		    (uint32_t)(j->stages[s].granted * MILLI);
		if (end != MH_JOB_DONE)
			continue;
		stages[s].n_results = a->len;
		stages[s].results = (char **)a->pdata;
		/* Results that later stages have read are freed. */
		for (guint i = 0; i < a->len; i++) {
			if (a->pdata[i] == NULL)
				a->pdata[i] = g_strdup("");
		}
	}
	f.body_case = MH__FRAME__BODY_JOB_END;
	f.job_end = &m;
	mh_mesh_send(b->m, r->node, &f);
}

void
mh_broker_stage_changed(struct mh_broker *b, struct mh_job *j, uint32_t stage)
{
	struct remote_job *r = g_hash_table_lookup(b->remote_by_job, j);
	char **results = results_of(&j->stages[stage]);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__JobStep m = MH__JOB_STEP__INIT;

	if (r != NULL && results != NULL) {
		m.id = j->id;
		m.stage = stage;
		if (mh_job_stage_done(&j->stages[stage])) {
			m.results = results;
			m.n_results = j->stages[stage].results->len;
		} else {
			m.some = results;
			m.n_some = j->stages[stage].results->len;
		}
		f.body_case = MH__FRAME__BODY_JOB_STEP;
		f.job_step = &m;
		mh_mesh_send(b->m, r->node, &f);
	}
	g_free(results);
}

void
mh_broker_job_ended(struct mh_broker *b, struct mh_job *j, enum mh_job_end end,
    int64_t retry_us)
{
	struct remote_job *r = g_hash_table_lookup(b->remote_by_job, j);
	uint8_t order[MH_GSTAGES];

	if (r == NULL && end == MH_JOB_HANDED_OFF) {
		hand_off(b, j, "here");
		return;
	}
	if (r == NULL) {
		b->end(b->end_arg, j, end, retry_us);
		return;
	}
	/*
	 * Report the last stage first. A requester that receives the results
	 * of an earlier stage while it still records a later one as computed
	 * discards the results that the later one reads, and both would be
	 * computed again.
	 */
	if (end == MH_JOB_HANDED_OFF && mh_job_sort(j, order)) {
		for (uint32_t n = j->n_stages; n > 0; n--)
			mh_broker_stage_changed(b, j, order[n - 1]);
	}
	send_end(b, r, end, retry_us);
	if (end != MH_JOB_DONE)
		free_remote(b, r);
}

/* lost entries */

static void
drop_remotes(struct mh_broker *b, const char *node)
{
	GList *all = g_hash_table_get_values(b->remote_jobs);

	for (GList *l = all; l != NULL; l = l->next) {
		struct remote_job *r = l->data;

		if (strcmp(r->node, node) != 0)
			continue;
		mh_sched_cancel(r->job->sched, r->job);
		free_remote(b, r);
	}
	g_list_free(all);
}

static void
on_lost(void *arg, const char *node)
{
	struct mh_broker *b = arg;
	GList *all = g_hash_table_get_keys(b->sent_jobs);
	bool done;

	drop_remotes(b, node);
	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_job *j = l->data;
		struct sent_job *s = g_hash_table_lookup(b->sent_jobs, j);

		if (s == NULL || strcmp(s->node, node) != 0)
			continue;
		done = s->done;
		forfeit_retries(b, j);
		g_hash_table_remove(b->sent_jobs, j);
		if (done)
			continue; /* the results don't depend on that entry */
		j->resent = true;
		hand_off(b, j, node);
	}
	g_list_free(all);
}

/* loss of the coordinator role */

/*
 * Drains the stage scheduler once another entry has become the coordinator,
 * since that one calls the same endpoints. Otherwise the calls of both would
 * queue at the endpoints until the last of the jobs has ended, two seconds for
 * most, and endpoints would refuse results for lack of result memory, as
 * neither coordinator accounts for the results of the other. This is done once
 * per change: jobs of entries that still take this one for the coordinator are
 * served.
 */
static void
check_role(void *arg, struct mh_sched *c, uint32_t index, uint32_t count)
{
	struct mh_broker *b = arg;
	char work[MH_WORK_LEN];
	uint32_t lost_checks;

	lost_checks = GPOINTER_TO_UINT(g_hash_table_lookup(b->lost_checks, c));
	if (mh_sched_is_idle(c) && lost_checks == 0)
		return;
	/*
	 * Reset the count also without work: otherwise this entry would not
	 * notice the next loss of the role, and would keep its jobs.
	 */
	if (mh_mesh_is_self(b->m,
		mh_mesh_coordinator(b->m, mh_slice_work(work, index, count)))) {
		g_hash_table_remove(b->lost_checks, c);
		return;
	}
	if (mh_sched_is_idle(c))
		return;
	if (lost_checks < CHECKS_TO_HAND_OFF)
		g_hash_table_insert(
		    b->lost_checks, c, GUINT_TO_POINTER(lost_checks + 1));
	if (lost_checks + 1 == CHECKS_TO_HAND_OFF)
		mh_sched_drain(c);
}

static void
on_check_timer(void *arg)
{
	struct mh_broker *b = arg;

	mh_timer_set(b->k, &b->check_timer, CHECK_US, on_check_timer, b);
	mh_scheds_foreach(b->scheds, check_role, b);
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
mh_broker_create(struct mh_kern *k, struct mh_mesh *m, struct mh_scheds *scheds)
{
	struct mh_broker *b = g_new0(struct mh_broker, 1);

	b->k = k;
	b->m = m;
	b->scheds = scheds;
	b->budget = mh_scheds_budget(scheds);
	b->sent_jobs = g_hash_table_new_full(NULL, NULL, NULL, free_sent);
	b->remote_jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	b->remote_by_job = g_hash_table_new(NULL, NULL);
	b->waiting = g_queue_new();
	b->lost_checks = g_hash_table_new(NULL, NULL);
	mh_timer_set(k, &b->check_timer, CHECK_US, on_check_timer, b);
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
	mh_timer_stop(b->k, &b->settle_timer);
	mh_timer_stop(b->k, &b->check_timer);
	g_queue_free(b->waiting);
	g_hash_table_destroy(b->lost_checks);
	all = g_hash_table_get_values(b->remote_jobs);
	for (GList *l = all; l != NULL; l = l->next) {
		struct remote_job *r = l->data;

		mh_sched_cancel(r->job->sched, r->job);
		free_remote(b, r);
	}
	g_list_free(all);
	g_hash_table_destroy(b->remote_jobs);
	g_hash_table_destroy(b->remote_by_job);
	g_hash_table_destroy(b->sent_jobs);
	g_free(b);
}
