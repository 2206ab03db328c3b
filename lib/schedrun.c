/**
 * DOC: Dispatch: chooses an endpoint and the pieces of its next call.
 */

#include "schedint.h"

#include <string.h>

/* Weights of one call in the estimates of endpoint speed and piece cost. */
#define SLOWDOWN_WEIGHT 0.5
#define FACTOR_WEIGHT 0.1
/* An endpoint this much slower than the fastest of its pool is not used. */
#define SLOWDOWN_MAX 1.8
/* The rest of the result memory is left to results of other processes. */
#define MEMORY_SHARE_MAX 0.95
/*
 * How long work waits for an endpoint in the failure domain of its data: half
 * the duration of a full call, after which one of two busy endpoints there is
 * free.
 */
#define DOMAIN_WAIT_US (200 * MH_US_PER_MS)
/* It waits only with this much slack, and to save this many bytes. */
#define DOMAIN_WAIT_SLACK_US (350 * MH_US_PER_MS)
#define DOMAIN_WAIT_BYTES (200U << 10)
/*
 * If work is queued, an endpoint prefers pieces with data in its own failure
 * domain to pieces that are more urgent by up to this.  Fewer bytes cross
 * failure domains, and inputs that are read sooner free result memory sooner.
 * Mean value served, as a share, in ten simulated runs at high load: 0.651
 * without the preference, 0.652 with 150 ms, 0.661 with 400 ms, 0.658 with
 * 800 ms and 0.655 with 1600 ms.
 */
#define NEAR_LEAD_US (400 * MH_US_PER_MS)
#define MAX_DOMAINS 16
/*
 * An endpoint reads the inputs of a call when it starts to run it.  A call to
 * an endpoint that only we call starts at once, so its inputs are freed after
 * this time, long before it ends: a burst runs out of result memory before it
 * runs out of time.
 */
#define READ_INPUTS_US (40 * MH_US_PER_MS)
/*
 * An endpoint that is not used because it is slow gets a small probe call at
 * this interval if all others are busy.  If it is still slow, two pieces may
 * be computed twice.  Without probes, the estimate takes ten seconds to decay,
 * and a third of a pool that had recovered was idle during the next burst.
 * Mean value served, as a share, in ten simulated runs at high load: 0.649
 * with probes and 0.635 without.
 */
#define PROBE_US (1 * MH_US_PER_S)
#define PROBE_PIECES 2
/* Added to the score of a slow endpoint: chosen after all others. */
#define PROBE_PENALTY 1000.0
/*
 * A call that takes longer than this multiple of the expected time is taken to
 * have waited behind a call of another process.
 */
#define SHARED_RATIO 1.35
/* Score of one ready stage with data near, in units of slowdown. */
#define NEAR_STAGE_SCORE 0.02

/* data locality */

static const char *
domain_of(struct mh_sched *sc, const char *node)
{
	const struct mh_node *n =
	    node == NULL ? NULL : mh_fleet_find(sc->f, node);

	return n == NULL ? NULL : n->domain;
}

struct domain_bytes {
	const char *domain;
	uint64_t bytes;
};

static void
add_bytes(
    struct domain_bytes *all, uint32_t *n, const char *domain, uint64_t bytes)
{
	if (domain == NULL || bytes == 0)
		return;
	for (uint32_t i = 0; i < *n; i++) {
		if (strcmp(all[i].domain, domain) == 0) {
			all[i].bytes += bytes;
			return;
		}
	}
	if (*n < MAX_DOMAINS) {
		all[*n].domain = domain;
		all[*n].bytes = bytes;
		(*n)++;
	}
}

/*
 * The failure domain in which a stage of a job moves the fewest bytes across
 * domains, considering where its inputs are and where its results will be read.
 * NULL if the difference is too small to wait for.
 */
static const char *
best_domain(struct mh_sched *sc, const struct mh_job *j, uint32_t stage)
{
	const struct mh_job_stage *st = &j->stages[stage];
	struct domain_bytes all[MAX_DOMAINS];
	uint32_t n = 0, best = 0;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((st->after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++)
			add_bytes(all, &n,
			    domain_of(sc, j->state->stages[s].pieces[i].node),
			    j->stages[s].result_bytes * st->pieces);
	}
	if (mh_sched_readers(j, stage) == 0)
		add_bytes(all, &n, j->domain, st->result_bytes * st->pieces);
	for (uint32_t i = 1; i < n; i++) {
		if (all[i].bytes > all[best].bytes)
			best = i;
	}
	return n == 0 || all[best].bytes < DOMAIN_WAIT_BYTES ? NULL
							     : all[best].domain;
}

/* calls */

void
mh_sched_free_batch(struct mh_sched *sc, struct mh_batch *b)
{
	mh_timer_stop(sc->k, &b->read_timer);
	for (guint i = 0; i < b->items->len; i++)
		g_free(g_array_index(b->items, struct mh_batch_item, i).result);
	g_array_free(b->items, TRUE);
	g_free(b->node);
	g_free(b->pool);
	g_hash_table_remove(sc->batches, &b->id);
	g_free(b);
}

struct ready_stage {
	struct mh_job *job;
	uint32_t stage;
	int64_t key;
	const char *domain; /* preferred failure domain; NULL: any */
	bool waits; /* for an endpoint there */
};

static gint
by_key(gconstpointer a, gconstpointer b)
{
	const struct ready_stage *x = a, *y = b;

	return x->key < y->key ? -1 : x->key > y->key;
}

/* Whether a pool has a usable endpoint in a failure domain. */
static bool
has_domain(struct mh_sched *sc, struct sched_pool *p, const char *domain)
{
	GPtrArray *nodes = mh_sched_nodes(sc, p);

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(sc->f, n) && strcmp(n->domain, domain) == 0)
			return true;
	}
	return false;
}

/*
 * Sets the preferred domain, and whether to wait for an endpoint there: for a
 * limited time, and only if the latency objective allows it.  Under load work
 * is queued for longer than that and then runs in any domain.
 */
static void
set_domain(struct mh_sched *sc, struct sched_pool *p, struct ready_stage *u)
{
	struct stage_state *ss = &u->job->state->stages[u->stage];
	int64_t now = mh_now(sc->k);

	if (ss->ready_us == 0)
		ss->ready_us = now;
	u->domain = best_domain(sc, u->job, u->stage);
	if (u->domain == NULL || u->job->state->misses_slo)
		return;
	u->waits = now - ss->ready_us < DOMAIN_WAIT_US &&
	    u->job->slo_us - now - mh_sched_path_us(u->job, u->stage) >
		DOMAIN_WAIT_SLACK_US &&
	    has_domain(sc, p, u->domain);
}

static bool
is_near(const struct ready_stage *u, const struct mh_node *n)
{
	return u->domain != NULL && strcmp(u->domain, n->domain) == 0;
}

static bool
suits(const struct ready_stage *u, const struct mh_node *n)
{
	return !u->waits || is_near(u, n);
}

static bool
may_send(
    const struct mh_sched *sc, const struct piece_state *ps, bool may_resend)
{
	return ps->needed && !ps->in_flight &&
	    ps->pause_end_us <= mh_now(sc->k) &&
	    (may_resend || ps->resend == RESEND_NONE);
}

/* Whether a stage has a piece for a call. */
static bool
has_piece(const struct mh_sched *sc, const struct mh_job *j, uint32_t stage,
    bool may_resend)
{
	const struct stage_state *ss = &j->state->stages[stage];

	for (uint32_t i = 0; i < j->stages[stage].pieces; i++) {
		if (may_send(sc, &ss->pieces[i], may_resend))
			return true;
	}
	return false;
}

static GArray *
ready_stages(struct mh_sched *sc, struct sched_pool *p)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct ready_stage));
	bool may_resend = mh_sched_may_resend(sc, p);

	for (guint i = 0; i < sc->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(sc->jobs, i);

		for (uint32_t s = 0; s < j->n_stages && !j->state->draining;
		     s++) {
			const struct stage_state *ss = &j->state->stages[s];
			struct ready_stage u = { j, s, 0, NULL, false };

			if (ss->remaining <= ss->in_flight || ss->pool != p ||
			    !mh_sched_is_ready(j, s) ||
			    !has_piece(sc, j, s, may_resend) ||
			    mh_poison_should_wait(
				sc->k, j->fingerprint, p->name))
				continue;
			u.key = mh_sched_slack_key(j, s);
			set_domain(sc, p, &u);
			g_array_append_val(all, u);
		}
	}
	g_array_sort(all, by_key);
	return all;
}

/*
 * A piece that runs without one of its inputs returns a wrong answer that looks
 * right.  So inputs are checked whatever the reason of a loss, and missing ones
 * are recomputed.
 */
static bool
has_inputs(const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((j->stages[stage].after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			if (g_ptr_array_index(j->stages[s].results, i) == NULL)
				return false;
		}
	}
	return true;
}

/*
 * A suspected poison request shares its calls with no other request: a crash
 * would lose their pieces too, and would not show which request caused it.
 */
static bool
may_share_call(
    const struct mh_sched *sc, const struct mh_batch *b, const struct mh_job *j)
{
	const struct mh_job *first = b->items->len == 0
	    ? NULL
	    : g_array_index(b->items, struct mh_batch_item, 0).job;

	return first == NULL || first == j ||
	    (mh_poison_isolation_hash(sc->k, j->fingerprint, b->pool) == 0 &&
		mh_poison_isolation_hash(sc->k, first->fingerprint, b->pool) ==
		    0);
}

static void
take_pieces(struct mh_sched *sc, struct mh_batch *b, struct worker *w,
    const struct ready_stage *u, const struct mh_gwork *gw, uint32_t max)
{
	struct mh_job_stage *st = &u->job->stages[u->stage];
	struct stage_state *ss = &u->job->state->stages[u->stage];

	for (uint32_t i = 0; i < st->pieces && b->items->len < max; i++) {
		struct mh_batch_item m = { .job = u->job,
			.stage = u->stage,
			.piece = i,
			.result_bytes = st->result_bytes };

		if (!may_send(sc, &ss->pieces[i], true))
			continue;
		if (gw->result_memory_bytes > 0 && w->result_bytes > 0 &&
		    (double)(w->result_bytes + st->result_bytes) >
			MEMORY_SHARE_MAX * (double)gw->result_memory_bytes)
			return;
		u->job->state->started = true;
		if (ss->pieces[i].resend != RESEND_NONE) {
			/* One retry pays for the whole call. */
			if (b->resend == 0 &&
			    !mh_sched_take_resend(sc, ss->pool))
				continue;
			b->resend |= 1U << ss->pieces[i].resend;
		}
		ss->pieces[i].in_flight = true;
		ss->pieces[i].inputs_read = false;
		ss->pieces[i].tries++;
		ss->in_flight++;
		w->result_bytes += st->result_bytes;
		b->expect_us += mh_sched_item_us(u->job, u->stage);
		g_array_append_val(b->items, m);
	}
}

/* Number of ready pieces that are not in a call. */
static uint32_t
ready_pieces(const GArray *ready)
{
	uint32_t n = 0;

	for (guint i = 0; i < ready->len; i++) {
		const struct ready_stage *u =
		    &g_array_index(ready, struct ready_stage, i);
		const struct stage_state *ss = &u->job->state->stages[u->stage];

		/* A retried piece can be in a call after it is done. */
		n += ss->remaining - MIN(ss->in_flight, ss->remaining);
	}
	return n;
}

static void
on_inputs_read(void *arg)
{
	struct mh_batch *b = arg;
	struct mh_sched *sc = b->sched;

	b->inputs_freed = true;
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (m->job == NULL)
			continue;
		m->job->state->stages[m->stage].pieces[m->piece].inputs_read =
		    true;
		mh_sched_drop_inputs(sc, m->job, m->stage);
	}
	mh_sched_dispatch_all(sc);
}

/* Endpoints with a larger slowdown than this get only probe calls. */
static double
slow_limit(struct mh_sched *sc, struct sched_pool *p)
{
	GPtrArray *nodes = mh_sched_nodes(sc, p);
	double fastest = 1e9;

	for (guint i = 0; i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(sc->f, n))
			fastest = MIN(
			    fastest, mh_sched_worker_of(p, n->id)->slowdown);
	}
	return SLOWDOWN_MAX * fastest;
}

static uint32_t
max_pieces(struct mh_sched *sc, struct sched_pool *p, const struct worker *w)
{
	uint32_t batch = p->work->batch;

	return w->slowdown > slow_limit(sc, p) ? MIN(PROBE_PIECES, batch)
					       : batch;
}

/* Takes pieces with data near the endpoint; see NEAR_LEAD_US. */
static void
take_near(struct mh_sched *sc, struct mh_batch *b, struct worker *w,
    const struct mh_node *n, const GArray *ready, uint32_t max)
{
	const struct mh_gwork *gw = mh_sched_work_conf(sc, b->pool);
	int64_t last = ready->len == 0
	    ? 0
	    : g_array_index(ready, struct ready_stage, 0).key + NEAR_LEAD_US;

	for (guint i = 0; i < ready->len && b->items->len < max; i++) {
		const struct ready_stage *u =
		    &g_array_index(ready, struct ready_stage, i);

		if (u->key > last)
			return;
		if (is_near(u, n) && may_share_call(sc, b, u->job) &&
		    has_inputs(u->job, u->stage))
			take_pieces(sc, b, w, u, gw, max);
	}
}

/* Takes the most urgent pieces, wherever their data is. */
static void
take_urgent(struct mh_sched *sc, struct mh_batch *b, struct worker *w,
    const struct mh_node *n, const GArray *ready, uint32_t max)
{
	const struct mh_gwork *gw = mh_sched_work_conf(sc, b->pool);

	for (guint i = 0; i < ready->len && b->items->len < max; i++) {
		const struct ready_stage *u =
		    &g_array_index(ready, struct ready_stage, i);

		if (!suits(u, n) || !may_share_call(sc, b, u->job))
			continue;
		if (has_inputs(u->job, u->stage))
			take_pieces(sc, b, w, u, gw, max);
		else
			mh_sched_recompute_freed(sc, u->job, u->stage);
	}
}

/*
 * Whether a call runs as soon as it arrives at the endpoint.  While two entries
 * both act as the coordinator of the same endpoints, a call may wait behind one
 * of the other entry; its inputs would be freed before it reads them, and their
 * stages would have to be recomputed.  If one endpoint is found to be shared,
 * all endpoints of its pool count as shared.  Calls of a lost coordinator run
 * to their end, so endpoints may be busy after jobs were handed off to us.
 */
static bool
starts_at_once(struct mh_sched *sc, struct sched_pool *p,
    const struct worker *w, const struct mh_batch *b)
{
	int64_t now = mh_now(sc->k);
	int64_t full_us =
	    p->work->call_us + p->work->item_us * (int64_t)p->work->batch;

	if (w->shared_end_us > now ||
	    (sc->last_handoff_us != 0 && now - sc->last_handoff_us < full_us))
		return false;
	if (p->shared_end_us == 0)
		return true;
	if (p->shared_end_us > now || p->trial_batch != 0)
		return false;
	p->trial_batch = b->id;
	return true;
}

/* Names of the reasons in a bit mask of enum resend; the caller frees it. */
static char *
resend_text(uint32_t mask)
{
	static const char *const names[RESENDS] = { "none", "moved", "full",
		"lost", "overdue", "not-run", "recomputed" };
	GString *g = g_string_new(mask == 0 ? names[RESEND_NONE] : NULL);

	for (uint32_t i = RESEND_NONE + 1; i < RESENDS; i++) {
		if ((mask >> i & 1) != 0)
			g_string_append_printf(
			    g, "%s%s", g->len > 0 ? "," : "", names[i]);
	}
	return g_string_free(g, FALSE);
}

/* Counts and logs a call that is sent. */
static void
log_batch(struct mh_sched *sc, const struct mh_batch *b, const struct worker *w,
    const GArray *ready)
{
	static const char *const counters[RESENDS] = { "batches",
		"batches_resent_moved", "batches_resent_full",
		"batches_resent_lost", "batches_resent_overdue",
		"batches_resent_not_run", "batches_resent_recomputed" };
	const struct mh_gwork *gw = mh_sched_work_conf(sc, b->pool);
	char *why = resend_text(b->resend);

	mh_count(sc->k, "batches", 1);
	mh_count(sc->k, "batch_pieces", b->items->len);
	for (uint32_t i = RESEND_NONE + 1; i < RESENDS; i++)
		mh_count(sc->k, counters[i], b->resend >> i & 1);
	mh_event(sc->k, "batch",
	    "batch=%" PRIu64 " pool=%s node=%s pieces=%u "
	    "of=%u ready=%u held_kb=%" PRIu64 " room_kb=%" PRIu64
	    " expect_ms=%" PRId64 " slow=%.2f first=%s resend=%s",
	    b->id, b->pool, b->node, b->items->len, gw->batch,
	    ready_pieces(ready), w->result_bytes >> 10,
	    gw->result_memory_bytes >> 10, mh_ms(b->expect_us), w->slowdown,
	    g_array_index(b->items, struct mh_batch_item, 0).job->id, why);
	g_free(why);
}

static void
run_batch(
    struct mh_sched *sc, struct sched_pool *p, struct mh_node *n, GArray *ready)
{
	struct worker *w = mh_sched_worker_of(p, n->id);
	const struct mh_gwork *gw = p->work;
	uint32_t max = max_pieces(sc, p, w);
	struct mh_batch *b = g_new0(struct mh_batch, 1);

	b->id = ++sc->next_id;
	b->node = g_strdup(n->id);
	b->pool = g_strdup(p->name);
	b->items = g_array_new(FALSE, FALSE, sizeof(struct mh_batch_item));
	b->sent_us = mh_now(sc->k);
	b->expect_us = gw->call_us;
	g_hash_table_insert(sc->batches, &b->id, b);
	w->last_call_us = mh_now(sc->k);
	take_near(sc, b, w, n, ready, max);
	take_urgent(sc, b, w, n, ready, max);
	if (b->items->len == 0) {
		w->pause_end_us = mh_now(sc->k) + MEMORY_PAUSE_US;
		mh_sched_free_batch(sc, b);
		return;
	}
	w->in_flight++;
	mh_node_sent(sc->f, n);
	log_batch(sc, b, w, ready);
	b->sched = sc;
	if (starts_at_once(sc, p, w, b))
		mh_timer_set(
		    sc->k, &b->read_timer, READ_INPUTS_US, on_inputs_read, b);
	sc->ops.run(sc->ops.arg, b);
}

static bool
may_call(struct mh_sched *sc, const struct sched_pool *p,
    const struct mh_node *n, const struct worker *w)
{
	return mh_node_usable(sc->f, n) && w->in_flight < p->work->max_calls &&
	    w->pause_end_us <= mh_now(sc->k) &&
	    mh_node_next_us(sc->f, n, MH_SENDER_ONE) <= mh_now(sc->k);
}

/* Number of ready stages with data near an endpoint. */
static uint32_t
count_near(const GArray *ready, const struct mh_node *n, bool *suited)
{
	uint32_t all = 0;

	*suited = false;
	for (guint i = 0; i < ready->len; i++) {
		const struct ready_stage *u =
		    &g_array_index(ready, struct ready_stage, i);

		*suited = *suited || suits(u, n);
		all += is_near(u, n);
	}
	return all;
}

/* The free endpoint with the best score of speed and near data. */
static struct mh_node *
free_node(struct mh_sched *sc, struct sched_pool *p, const GArray *ready)
{
	GPtrArray *nodes = mh_sched_nodes(sc, p);
	struct mh_node *best = NULL;
	double least = 0, limit = slow_limit(sc, p);

	for (guint i = 0; i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);
		struct worker *w = mh_sched_worker_of(p, n->id);
		bool slow = w->slowdown > limit, suited;
		double score;

		if (!may_call(sc, p, n, w) ||
		    (slow && mh_now(sc->k) - w->last_call_us < PROBE_US))
			continue;
		score = w->slowdown -
		    NEAR_STAGE_SCORE *
			MIN(count_near(ready, n, &suited), p->work->batch);
		if (!suited)
			continue;
		if (slow)
			score += PROBE_PENALTY;
		if (best == NULL || score < least) {
			best = n;
			least = score;
		}
	}
	return best;
}

/* Under load none is free, and this is cheaper than listing ready stages. */
static bool
any_free(struct mh_sched *sc, struct sched_pool *p)
{
	GPtrArray *nodes = mh_sched_nodes(sc, p);

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (may_call(sc, p, n, mh_sched_worker_of(p, n->id)))
			return true;
	}
	return false;
}

static void
dispatch(struct mh_sched *sc, struct sched_pool *p)
{
	while (any_free(sc, p)) {
		GArray *ready = ready_stages(sc, p);
		struct mh_node *n =
		    ready->len > 0 ? free_node(sc, p, ready) : NULL;

		if (n != NULL)
			run_batch(sc, p, n, ready);
		g_array_free(ready, TRUE);
		if (n == NULL)
			return;
	}
}

void
mh_sched_dispatch_all(struct mh_sched *sc)
{
	GHashTableIter it;
	gpointer key, value;

	if (sc->dispatching)
		return;
	sc->dispatching = true;
	g_hash_table_iter_init(&it, sc->pools);
	while (g_hash_table_iter_next(&it, &key, &value))
		dispatch(sc, value);
	sc->dispatching = false;
}

void
mh_sched_learn(struct mh_sched *sc, struct mh_batch *b, struct worker *w)
{
	const struct mh_gwork *gw = mh_sched_pool_of(sc, b->pool)->work;
	double took = (double)(mh_now(sc->k) - b->sent_us);
	double ratio = took / (double)MAX(b->expect_us, 1);
	double over;

	/*
	 * If others waited there, or it was silent, the time says nothing about
	 * the endpoint's speed.
	 */
	if (b->others_waiting > 0 || b->too_long) {
		w->shared_end_us = mh_now(sc->k) + SHARED_HOLD_US;
		return;
	}
	if (ratio > SHARED_RATIO)
		w->shared_end_us = mh_now(sc->k) + SHARED_HOLD_US;
	else /* as fast as expected: it has recovered from any slowdown */
		w->slowdown = MIN(w->slowdown, SLOWDOWN_MAX);
	w->slowdown += SLOWDOWN_WEIGHT * (MAX(ratio, 0.5) - w->slowdown);
	w->slowdown = MAX(w->slowdown, 0.7);
	w->answered_slowdown = w->slowdown;
	if (ratio < 0.5 || ratio > 1.5 || gw->item_us <= 0)
		return; /* due to the endpoint, not to the cost of the pieces */
	over = (took - (double)b->expect_us) /
	    ((double)gw->item_us * b->items->len);
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);
		double *f;

		if (m->job == NULL)
			continue;
		f = mh_sched_item_factor(sc, m->job->route, m->stage);
		*f = CLAMP(*f + FACTOR_WEIGHT * over / b->items->len, 0.1, 4);
	}
}
