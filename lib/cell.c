/**
 * DOC: The stage work of many requests, batched.
 *
 * A call to a stage endpoint costs the same whatever it holds, so pieces of
 * all entries meet here and full calls carry the load.  An endpoint gets its
 * next call when the one before has ended: the batch is chosen as late as
 * possible, from what is most pressing then.  Pieces wait by least slack: the
 * time until the aim less the work that is still to come.  A job that can no
 * longer meet its aim goes behind all that can; one that cannot meet its
 * deadline ends at once.
 */

#include "gate.h"
#include "cell.h"

#include <math.h>
#include <string.h>

/* Jobs are looked at this often for deadlines, calls for being overdue. */
#define TICK_US (25 * MH_US_PER_MS)
/*
 * A call is overdue at this multiple of its expected time and a grace for
 * the way there and back; its pieces are then given to another endpoint.
 */
#define OVERDUE_FACTOR 1.6
#define OVERDUE_GRACE_US (80 * MH_US_PER_MS)
/* Calls that never end are given up at this multiple. */
#define LOST_FACTOR 8.0
/* A full endpoint, or one without room for results, is asked again after. */
#define FULL_PAUSE_US (150 * MH_US_PER_MS)
#define ROOM_PAUSE_US (120 * MH_US_PER_MS)
/* How far one observation moves what is believed of an endpoint's speed. */
#define SLOW_WEIGHT 0.5
#define ITEM_WEIGHT 0.1
/* An endpoint this much slower than told gets only work that can wait. */
#define SLOW_OUT 1.8
/* Beliefs fade so that a mended endpoint is tried again, a factor a tick. */
#define SLOW_FADE 0.995
/* What a more urgent class may go ahead of the next one. */
#define CLASS_LEAD_US (100 * MH_US_PER_MS)
/* Room kept free for what other processes may still keep there. */
#define ROOM_USED 0.95
/*
 * A fresh job that would be late is taken only if the estimate lies within
 * this share of its time left: work that comes later may pass it.
 */
#define LATE_SHARE 0.9
#define RETURNED_SHARE 0.9
/* Late work gets at least this part of a pool, in the estimate. */
#define LATE_RATE_LEAST 0.1
/* How long work that came on time counts as recent. */
#define FRESH_US (2 * MH_US_PER_S)
/*
 * Work taken on time must end on time: what is taken to the last moment ends
 * a little late, all of it, once a pool is full.
 */
#define ADMIT_MARGIN_US (200 * MH_US_PER_MS)
/* Estimates err; a job that seems to miss its aim by less may still meet it. */
#define AIM_SLACK_US (100 * MH_US_PER_MS)
/* Times that one piece may be made before its job is given up. */
#define PIECE_TRIES 4
/*
 * Work waits so long for an endpoint in the failure domain of its data: half
 * of a full call, after which one of two endpoints there has come free.
 */
#define HOLD_US (200 * MH_US_PER_MS)
/* Only with this much time to spare, and for this many bytes. */
#define HOLD_SLACK_US (350 * MH_US_PER_MS)
#define HOLD_BYTES (200U << 10)
#define MAX_DOMAINS 16
/*
 * An endpoint reads its inputs when a call's turn comes.  Ours has its turn
 * at once, so that after this time they are free, long before the call ends:
 * room for results, not time, is what a burst runs out of.
 */
#define FED_US (40 * MH_US_PER_MS)
/*
 * Where another process calls the endpoint too, as while entries disagree on
 * whose turn it is, ours waits behind it: its inputs are kept to the end for
 * this long after the last sign of that.
 */
#define SHARED_US (3 * MH_US_PER_S)
#define SHARED_RATIO 1.35
/* One wanted piece weighs as much as this part of an endpoint's speed. */
#define WANTED_WORTH 0.02

static void dispatch_all(struct mh_cell *c);
static void on_tick(void *arg);

struct mh_job *
mh_job_create(const char *id)
{
	struct mh_job *j = g_new0(struct mh_job, 1);

	j->id = g_strdup(id);
	return j;
}

void
mh_job_destroy(struct mh_job *j)
{
	if (j == NULL)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		g_free(j->stages[s].pool);
		if (j->stages[s].results != NULL)
			g_ptr_array_free(j->stages[s].results, TRUE);
	}
	g_free(j->id);
	g_free(j->key);
	g_free(j->route);
	g_free(j->domain);
	g_free(j);
}

static uint32_t
followers(const struct mh_job *j, uint32_t stage)
{
	uint32_t n = 0;

	for (uint32_t s = 0; s < j->n_stages; s++)
		n += (j->stages[s].after >> stage & 1) != 0 &&
		    j->stages[s].pieces > 0;
	return n;
}

char *
mh_job_finals(const struct mh_job *j)
{
	GString *g = g_string_new(NULL);

	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct mh_jstage *st = &j->stages[s];

		if (st->pieces == 0 || followers(j, s) > 0)
			continue;
		for (uint32_t i = 0; i < st->results->len; i++) {
			if (g->len > 0)
				g_string_append_c(g, ',');
			g_string_append(
			    g, g_ptr_array_index(st->results, i));
		}
	}
	return g_string_free(g, FALSE);
}

/* what a pool can do */

static const struct mh_gwork *
work_of(const struct mh_cell *c, const char *pool)
{
	static const struct mh_gwork none = { .batch = 1, .running = 1 };
	const struct mh_gpool *p =
	    c->conf == NULL ? NULL : mh_gconf_pool(c->conf, pool);

	return p == NULL || !p->is_work ? &none : &p->work;
}

static struct cpool *
pool_of(struct mh_cell *c, const char *name)
{
	struct cpool *p = g_hash_table_lookup(c->pools, name);

	if (p == NULL) {
		p = g_new0(struct cpool, 1);
		p->name = g_strdup(name);
		p->work = work_of(c, name);
		p->workers = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(c->pools, p->name, p);
	}
	return p;
}

static struct worker *
worker_of(struct cpool *p, const char *node)
{
	struct worker *w = g_hash_table_lookup(p->workers, node);

	if (w == NULL) {
		w = g_new0(struct worker, 1);
		w->slow = 1;
		g_hash_table_insert(p->workers, g_strdup(node), w);
	}
	return w;
}

/* results and where they lie */

static const char *
domain_of(struct mh_cell *c, const char *node)
{
	const struct mh_node *n =
	    node == NULL ? NULL : mh_fleet_find(c->f, node);

	return n == NULL ? NULL : n->domain;
}

struct pull {
	const char *domain;
	uint64_t bytes;
};

static void
add_pull(struct pull *all, uint32_t *n, const char *domain, uint64_t bytes)
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
 * The failure domain in which a stage of a job moves fewest bytes to others:
 * where its inputs lie, and where its results will be read.  NULL where it
 * makes no difference worth waiting for.
 */
static const char *
best_domain(struct mh_cell *c, const struct mh_job *j, uint32_t stage)
{
	const struct mh_jstage *st = &j->stages[stage];
	struct pull all[MAX_DOMAINS];
	uint32_t n = 0, best = 0;

	for (uint32_t s = 0; s < stage; s++) {
		if ((st->after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++)
			add_pull(all, &n,
			    domain_of(c, j->state->stages[s].made[i].node),
			    j->stages[s].result_bytes * st->pieces);
	}
	if (followers(j, stage) == 0)
		add_pull(
		    all, &n, j->domain, st->result_bytes * st->pieces);
	for (uint32_t i = 1; i < n; i++) {
		if (all[i].bytes > all[best].bytes)
			best = i;
	}
	return n == 0 || all[best].bytes < HOLD_BYTES ? NULL
						      : all[best].domain;
}

/* Pieces of a stage cost more or less than the pool's mean: learnt. */
static double *
item_factor(struct mh_cell *c, const char *route, uint32_t stage)
{
	char *key = g_strdup_printf("%s/%u", route, stage);
	double *f = g_hash_table_lookup(c->factors, key);

	if (f != NULL) {
		g_free(key);
		return f;
	}
	f = g_new(double, 1);
	*f = 1;
	g_hash_table_insert(c->factors, key, f);
	return f;
}

static int64_t
item_us(const struct mh_job *j, uint32_t stage)
{
	const struct sstate *ss = &j->state->stages[stage];

	return (int64_t)((double)ss->pool->work->item_us * *ss->factor);
}

/* Pieces a second with full calls, over the endpoints in use. */
static double
pool_rate(struct mh_cell *c, struct cpool *p)
{
	GPtrArray *nodes = mh_fleet_pool(c->f, p->name);
	const struct mh_gwork *w = p->work;
	double full_us = (double)w->call_us + (double)w->item_us * w->batch;
	double rate = 0;

	for (guint i = 0; nodes != NULL && i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(c->f, n))
			rate += w->batch * w->running /
			    (full_us * worker_of(p, n->id)->slow);
	}
	return rate * (double)MH_US_PER_S;
}

static uint32_t
todo(const struct mh_job *j, uint32_t stage)
{
	return j->state->stages[stage].left;
}

/* Pieces a second of work on time that came lately. */
static double
fresh_rate(struct mh_cell *c, struct cpool *p)
{
	double age = (double)(mh_now(c->k) - p->fresh_us) / (double)FRESH_US;

	p->fresh *= exp(-age);
	p->fresh_us = mh_now(c->k);
	return p->fresh * (double)MH_US_PER_S / (double)FRESH_US;
}

static void
note_fresh(struct mh_cell *c, const struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct cpool *p = j->state->stages[s].pool;

		(void)fresh_rate(c, p);
		p->fresh += todo(j, s);
	}
}



static bool
is_ready(const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((j->stages[stage].after >> s & 1) != 0 && todo(j, s) > 0)
			return false;
	}
	return true;
}

/* A call with half of its places taken: what a stage takes when not rushed. */
static int64_t
stage_us(const struct mh_job *j, uint32_t stage)
{
	const struct mh_gwork *w = j->state->stages[stage].pool->work;
	uint32_t n = MAX(todo(j, stage), w->batch / 2);

	return w->call_us + (int64_t)MIN(n, w->batch) * item_us(j, stage);
}

/*
 * Works out, for each stage, the longest chain of work from it to the end,
 * itself included.  Every choice asks for these, so they are kept until the
 * work that is left changes.
 */
static void
refresh(struct mh_job *j)
{
	j->state->stale = false;
	j->state->left_us = 0;
	for (uint32_t s = j->n_stages; s-- > 0;) {
		struct sstate *ss = &j->state->stages[s];
		int64_t longest = 0;

		for (uint32_t t = s + 1; t < j->n_stages; t++) {
			if ((j->stages[t].after >> s & 1) != 0)
				longest = MAX(
				    longest, j->state->stages[t].path_us);
		}
		ss->path_us = longest;
		if (ss->left == 0)
			continue;
		ss->path_us += stage_us(j, s);
		j->state->left_us = MAX(j->state->left_us, ss->path_us);
	}
}

static int64_t
path_us(struct mh_job *j, uint32_t stage)
{
	if (j->state->stale)
		refresh(j);
	return j->state->stages[stage].path_us;
}

static int64_t
left_us(struct mh_job *j)
{
	if (j->state->stale)
		refresh(j);
	return j->state->left_us;
}

static bool
is_late(struct mh_cell *c, struct mh_job *j)
{
	return mh_now(c->k) + left_us(j) > j->aim_us + AIM_SLACK_US;
}

/* Lower goes first. */
static int64_t
slack_key(struct mh_job *j, uint32_t stage)
{
	int64_t key = j->aim_us - path_us(j, stage) +
	    (int64_t)j->priority * CLASS_LEAD_US;

	/* Once begun it goes before others that are late. */
	if (j->state->late)
		key += j->state->started ? LATE_BEHIND_US / 2 : LATE_BEHIND_US;
	return key;
}

/* ends of a job */

static void
give_room(struct worker *w, uint64_t bytes)
{
	w->held -= MIN(w->held, bytes);
}

static void
drop_result(struct mh_cell *c, struct mh_job *j, uint32_t stage, uint32_t i)
{
	struct mh_jstage *st = &j->stages[stage];
	struct made *m = &j->state->stages[stage].made[i];
	char **slot = (char **)&g_ptr_array_index(st->results, i);

	if (*slot == NULL)
		return;
	if (m->worker != NULL)
		give_room(m->worker, st->result_bytes);
	m->worker = NULL;
	c->ops.discard(c->ops.arg, *slot);
	g_free(*slot);
	*slot = NULL;
}

static void
drop_results(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	for (uint32_t i = 0; i < j->stages[stage].pieces; i++)
		drop_result(c, j, stage, i);
}

static void
free_state(struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++)
		g_free(j->state->stages[s].made);
	g_free(j->state);
	j->state = NULL;
}

/* Takes the job out of every call and list. */
static void
detach(struct mh_cell *c, struct mh_job *j)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, c->batches);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct mh_batch *b = value;

		for (guint i = 0; i < b->items->len; i++) {
			struct mh_batch_item *m = &g_array_index(
			    b->items, struct mh_batch_item, i);

			if (m->job == j)
				m->job = NULL;
		}
	}
	g_ptr_array_remove(c->jobs, j);
}

static void
end_job(struct mh_cell *c, struct mh_job *j, enum mh_job_end end,
    int64_t retry_us)
{
	detach(c, j);
	if (end == MH_JOB_DONE) {
		g_ptr_array_add(c->ended, j);
	} else {
		for (uint32_t s = 0; s < j->n_stages; s++)
			drop_results(c, j, s);
		free_state(j);
	}
	c->ops.end(c->ops.arg, j, end, retry_us);
}

void
mh_cell_release(struct mh_cell *c, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++)
		drop_results(c, j, s);
	g_ptr_array_remove(c->ended, j);
	free_state(j);
}

void
mh_cell_cancel(struct mh_cell *c, struct mh_job *j)
{
	if (j->state == NULL)
		return;
	detach(c, j);
	mh_cell_release(c, j);
	dispatch_all(c);
}

/* admission */

/* Pieces of live jobs that go before @key at a pool. */
static double
pieces_before(struct mh_cell *c, const struct cpool *pool, int64_t key)
{
	double n = 0;

	for (guint i = 0; i < c->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		for (uint32_t s = 0; s < j->n_stages; s++) {
			if (todo(j, s) > 0 &&
			    j->state->stages[s].pool == pool &&
			    slack_key(j, s) <= key)
				n += todo(j, s);
		}
	}
	return n;
}

/*
 * When the job would be done if nothing more came: each stage waits for what
 * goes before it at its pool, less what is worked off until it is ready.
 */
static int64_t
predict_us(struct mh_cell *c, struct mh_job *j)
{
	int64_t now = mh_now(c->k), done[MH_GSTAGES], last = now;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		int64_t start = now, wait = 0;
		double rate;

		for (uint32_t a = 0; a < s; a++) {
			if ((j->stages[s].after >> a & 1) != 0)
				start = MAX(start, done[a]);
		}
		done[s] = start;
		if (todo(j, s) == 0)
			continue;
		rate = pool_rate(c, j->state->stages[s].pool);
		if (rate <= 0)
			return INT64_MAX;
		/* What comes on time meanwhile passes work that is late. */
		if (j->state->late)
			rate = MAX(rate -
				fresh_rate(c, j->state->stages[s].pool),
			    rate * LATE_RATE_LEAST);
		wait = (int64_t)(pieces_before(c, j->state->stages[s].pool,
				     slack_key(j, s)) /
		    rate * (double)MH_US_PER_S);
		wait = MAX(wait - (start - now), 0);
		done[s] = start + wait + stage_us(j, s);
		last = MAX(last, done[s]);
	}
	return last;
}

int64_t
mh_cell_backlog_us(struct mh_cell *c, const char *name)
{
	struct cpool *pool = pool_of(c, name);
	double rate = pool_rate(c, pool);

	if (rate <= 0)
		return MH_US_PER_S;
	return (int64_t)(pieces_before(c, pool, INT64_MAX) / rate *
	    (double)MH_US_PER_S);
}

/* When the work that is queued will have been worked off. */
static int64_t
room_in_us(struct mh_cell *c, const struct mh_job *j)
{
	int64_t us = 0;

	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (j->stages[s].pieces > 0)
			us = MAX(us,
			    mh_cell_backlog_us(c, j->stages[s].pool));
	}
	return us;
}

static void
start_state(struct mh_cell *c, struct mh_job *j)
{
	j->state = g_new0(struct mh_jstate, 1);
	j->state->stale = true;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_jstage *st = &j->stages[s];
		struct sstate *ss = &j->state->stages[s];

		ss->pool = pool_of(c, st->pool);
		ss->factor = item_factor(c, j->route, s);
		ss->made = g_new0(struct made, MAX(st->pieces, 1));
		if (st->results == NULL) {
			st->results = g_ptr_array_new_with_free_func(g_free);
			g_ptr_array_set_size(
			    st->results, (gint)st->pieces);
		}
		for (uint32_t i = 0; i < st->pieces; i++) {
			ss->made[i].need =
			    g_ptr_array_index(st->results, i) == NULL;
			ss->left += ss->made[i].need;
		}
	}
}

static bool
admit(struct mh_cell *c, struct mh_job *j)
{
	int64_t now = mh_now(c->k), at, left = j->deadline_us - now;
	bool ok;

	at = predict_us(c, j);
	if (at <= j->aim_us - ADMIT_MARGIN_US)
		ok = true;
	else {
		j->state->late = true;
		at = predict_us(c, j);
		/* One that was refused before is taken if it can be done. */
		ok = at != INT64_MAX &&
		    at - now <= (int64_t)((double)left *
			(j->returned ? RETURNED_SHARE
							  : LATE_SHARE));
	}
	mh_event(c->k, "job", "id=%s route=%s outcome=%s late=%d returned=%d "
	    "predict_ms=%" PRId64 " aim_ms=%" PRId64 " left_ms=%" PRId64
	    " jobs=%u", j->id, j->route, ok ? "taken" : "refused",
	    j->state->late, j->returned,
	    at == INT64_MAX ? -1 : mh_ms(at - now),
	    mh_ms(j->aim_us - now), mh_ms(left),
	    c->jobs->len);
	return ok;
}

void
mh_cell_submit(struct mh_cell *c, struct mh_job *j)
{
	start_state(c, j);
	if (left_us(j) == 0) {
		g_ptr_array_add(c->ended, j);
		c->ops.end(c->ops.arg, j, MH_JOB_DONE, 0);
		return;
	}
	if (!admit(c, j)) {
		int64_t retry = room_in_us(c, j);

		mh_count(c->k, "jobs_refused", 1);
		free_state(j);
		c->ops.end(c->ops.arg, j, MH_JOB_REFUSED, retry);
		return;
	}
	mh_count(c->k, "jobs_taken", 1);
	if (!j->state->late)
		note_fresh(c, j);
	g_ptr_array_add(c->jobs, j);
	if (c->tick == NULL)
		c->tick = mh_timer_start(c->k, TICK_US, on_tick, c);
	dispatch_all(c);
}

/* calls */

static void
free_batch(struct mh_cell *c, struct mh_batch *b)
{
	mh_timer_stop(c->k, &b->fed);
	for (guint i = 0; i < b->items->len; i++)
		g_free(g_array_index(b->items, struct mh_batch_item, i)
			   .result);
	g_array_free(b->items, TRUE);
	g_free(b->node);
	g_free(b->pool);
	g_hash_table_remove(c->batches, &b->id);
	g_free(b);
}

struct unit {
	struct mh_job *job;
	uint32_t stage;
	int64_t key;
	const char *domain; /* where it is better run, NULL: anywhere */
	bool holds; /* it can still wait for an endpoint there */
};

static gint
by_key(gconstpointer a, gconstpointer b)
{
	const struct unit *x = a, *y = b;

	return x->key < y->key ? -1 : x->key > y->key;
}

/* Whether a pool has a usable endpoint in a failure domain. */
static bool
has_domain(struct mh_cell *c, const char *pool, const char *domain)
{
	GPtrArray *nodes = mh_fleet_pool(c->f, pool);

	for (guint i = 0; nodes != NULL && i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(c->f, n) &&
		    strcmp(n->domain, domain) == 0)
			return true;
	}
	return false;
}

/*
 * Work waits a little for an endpoint near its data, as long as its aim
 * allows; under load everything waits longer than that and goes anywhere.
 */
static void
place_unit(struct mh_cell *c, const struct cpool *p, struct unit *u)
{
	struct sstate *ss = &u->job->state->stages[u->stage];
	int64_t now = mh_now(c->k);

	if (ss->ready_us == 0)
		ss->ready_us = now;
	u->domain = best_domain(c, u->job, u->stage);
	if (u->domain == NULL || u->job->state->late)
		return;
	u->holds = now - ss->ready_us < HOLD_US &&
	    u->job->aim_us - now - path_us(u->job, u->stage) >
		HOLD_SLACK_US &&
	    has_domain(c, p->name, u->domain);
}

static bool
suits(const struct unit *u, const struct mh_node *n)
{
	return !u->holds || strcmp(u->domain, n->domain) == 0;
}

static GArray *
ready_units(struct mh_cell *c, const struct cpool *p)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct unit));

	for (guint i = 0; i < c->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		for (uint32_t s = 0; s < j->n_stages; s++) {
			const struct sstate *ss = &j->state->stages[s];
			struct unit u = { j, s, 0, NULL, false };

			if (ss->left <= ss->flying || ss->pool != p ||
			    !is_ready(j, s))
				continue;
			u.key = slack_key(j, s);
			place_unit(c, p, &u);
			g_array_append_val(all, u);
		}
	}
	g_array_sort(all, by_key);
	return all;
}

static void
take_pieces(struct mh_batch *b, struct worker *w,
    const struct unit *u, const struct mh_gwork *gw)
{
	struct mh_jstage *st = &u->job->stages[u->stage];
	struct sstate *ss = &u->job->state->stages[u->stage];

	for (uint32_t i = 0; i < st->pieces && b->items->len < gw->batch;
	     i++) {
		struct mh_batch_item m = { .job = u->job,
			.stage = u->stage,
			.piece = i,
			.bytes = st->result_bytes };

		if (ss->made[i].flying || !ss->made[i].need)
			continue;
		if (gw->room_bytes > 0 && w->held > 0 &&
		    (double)(w->held + st->result_bytes) >
			ROOM_USED * (double)gw->room_bytes)
			return;
		u->job->state->started = true;
		ss->made[i].flying = true;
		ss->made[i].fed = false;
		ss->made[i].tries++;
		ss->flying++;
		w->held += st->result_bytes;
		b->expect_us += item_us(u->job, u->stage);
		g_array_append_val(b->items, m);
	}
}

/* What waits, without the pieces just taken. */
static uint32_t
ready_pieces(const GArray *units)
{
	uint32_t n = 0;

	for (guint i = 0; i < units->len; i++) {
		const struct unit *u = &g_array_index(units, struct unit, i);
		const struct sstate *ss = &u->job->state->stages[u->stage];

		n += ss->left - ss->flying;
	}
	return n;
}

/* Whether every piece of a stage is made, or has read its inputs. */
static bool
is_fed(const struct mh_job *j, uint32_t stage)
{
	const struct sstate *ss = &j->state->stages[stage];

	for (uint32_t i = 0; i < j->stages[stage].pieces; i++) {
		if (ss->made[i].need && !ss->made[i].fed)
			return false;
	}
	return true;
}

/* Frees the inputs of a stage that no stage will read any more. */
static void
drop_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < stage; s++) {
		bool wanted = false;

		if ((j->stages[stage].after >> s & 1) == 0)
			continue;
		for (uint32_t t = 0; t < j->n_stages; t++)
			wanted = wanted ||
			    ((j->stages[t].after >> s & 1) != 0 &&
				!is_fed(j, t));
		if (!wanted)
			drop_results(c, j, s);
	}
}

static void
on_fed(void *arg)
{
	struct mh_batch *b = arg;
	struct mh_cell *c = b->cell;

	b->fed = NULL;
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (m->job == NULL)
			continue;
		m->job->state->stages[m->stage].made[m->piece].fed = true;
		drop_inputs(c, m->job, m->stage);
	}
	dispatch_all(c);
}

static void
run_batch(struct mh_cell *c, struct cpool *p, const struct mh_node *n,
    GArray *units)
{
	struct worker *w = worker_of(p, n->id);
	const struct mh_gwork *gw = p->work;
	struct mh_batch *b = g_new0(struct mh_batch, 1);

	b->id = ++c->next_id;
	b->node = g_strdup(n->id);
	b->pool = g_strdup(p->name);
	b->items = g_array_new(FALSE, FALSE, sizeof(struct mh_batch_item));
	b->sent_us = mh_now(c->k);
	b->expect_us = gw->call_us;
	g_hash_table_insert(c->batches, &b->id, b);
	for (guint i = 0; i < units->len && b->items->len < gw->batch; i++) {
		const struct unit *u = &g_array_index(units, struct unit, i);

		if (suits(u, n))
			take_pieces(b, w, u, gw);
	}
	if (b->items->len == 0) {
		w->pause_us = mh_now(c->k) + ROOM_PAUSE_US;
		free_batch(c, b);
		return;
	}
	w->flying++;
	mh_count(c->k, "batches", 1);
	mh_count(c->k, "batch_pieces", b->items->len);
	mh_event(c->k, "batch", "batch=%" PRIu64 " pool=%s node=%s pieces=%u "
	    "of=%u ready=%u held_kb=%" PRIu64 " room_kb=%" PRIu64
	    " expect_ms=%" PRId64 " slow=%.2f first=%s", b->id, p->name,
	    n->id, b->items->len, gw->batch, ready_pieces(units),
	    w->held >> 10, gw->room_bytes >> 10, mh_ms(b->expect_us),
	    w->slow, g_array_index(b->items, struct mh_batch_item, 0).job->id);
	b->cell = c;
	if (w->shared_us <= mh_now(c->k))
		b->fed = mh_timer_start(c->k, FED_US, on_fed, b);
	c->ops.run(c->ops.arg, b);
}

/* The endpoint that is fastest, and most wanted by what is ready. */
static struct mh_node *
free_node(struct mh_cell *c, struct cpool *p, const GArray *units)
{
	const struct mh_gwork *gw = p->work;
	GPtrArray *nodes = mh_fleet_pool(c->f, p->name);
	struct mh_node *best = NULL;
	double least = 0, fastest = 1e9;
	int64_t now = mh_now(c->k);

	for (guint i = 0; nodes != NULL && i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(c->f, n))
			fastest =
			    MIN(fastest, worker_of(p, n->id)->slow);
	}
	for (guint i = 0; nodes != NULL && i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);
		struct worker *w = worker_of(p, n->id);
		uint32_t wants = 0, suited = 0;
		double score;

		if (!mh_node_usable(c->f, n) || w->flying >= gw->running ||
		    w->pause_us > now || w->slow > SLOW_OUT * fastest)
			continue;
		for (guint u = 0; u < units->len; u++) {
			const struct unit *one =
			    &g_array_index(units, struct unit, u);

			suited += suits(one, n);
			wants += one->domain != NULL &&
			    strcmp(one->domain, n->domain) == 0;
		}
		if (suited == 0)
			continue;
		score = w->slow - WANTED_WORTH * MIN(wants, gw->batch);
		if (best == NULL || score < least) {
			best = n;
			least = score;
		}
	}
	return best;
}

/* Under load all are busy, which is seen sooner than what waits. */
static bool
any_free(struct mh_cell *c, struct cpool *p)
{
	GPtrArray *nodes = mh_fleet_pool(c->f, p->name);
	int64_t now = mh_now(c->k);

	for (guint i = 0; nodes != NULL && i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);
		const struct worker *w = worker_of(p, n->id);

		if (w->flying < p->work->running && w->pause_us <= now &&
		    mh_node_usable(c->f, n))
			return true;
	}
	return false;
}

static void
dispatch(struct mh_cell *c, struct cpool *p)
{
	while (any_free(c, p)) {
		GArray *units = ready_units(c, p);
		struct mh_node *n =
		    units->len > 0 ? free_node(c, p, units) : NULL;

		if (n != NULL)
			run_batch(c, p, n, units);
		g_array_free(units, TRUE);
		if (n == NULL)
			return;
	}
}

static void
dispatch_all(struct mh_cell *c)
{
	GHashTableIter it;
	gpointer key, value;

	if (c->dispatching)
		return;
	c->dispatching = true;
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, &key, &value))
		dispatch(c, value);
	c->dispatching = false;
}

static void
learn(struct mh_cell *c, struct mh_batch *b, struct worker *w)
{
	const struct mh_gwork *gw = pool_of(c, b->pool)->work;
	double took = (double)(mh_now(c->k) - b->sent_us);
	double ratio = took / (double)MAX(b->expect_us, 1);
	double over;

	/* A call that waited behind another's says nothing of the endpoint. */
	if (b->others > 0) {
		w->shared_us = mh_now(c->k) + SHARED_US;
		return;
	}
	if (ratio > SHARED_RATIO)
		w->shared_us = mh_now(c->k) + SHARED_US;
	w->slow += SLOW_WEIGHT * (MAX(ratio, 0.5) - w->slow);
	w->slow = MAX(w->slow, 0.7);
	if (ratio < 0.5 || ratio > 1.5 || gw->item_us <= 0)
		return; /* the endpoint's speed, not the pieces' */
	over = (took - (double)b->expect_us) /
	    ((double)gw->item_us * b->items->len);
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);
		double *f;

		if (m->job == NULL)
			continue;
		f = item_factor(c, m->job->route, m->stage);
		*f = CLAMP(*f + ITEM_WEIGHT * over / b->items->len, 0.1, 4);
	}
}

static void remake(
    struct mh_cell *c, struct mh_job *j, uint32_t stage, uint32_t piece);

/* Inputs that were freed, since a call had read them, are made again. */
static void
need_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < stage; s++) {
		if ((j->stages[stage].after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			if (!j->state->stages[s].made[i].need &&
			    g_ptr_array_index(j->stages[s].results, i) == NULL)
				remake(c, j, s, i);
		}
	}
}

/* Makes a result once more, and what it needs that was given up since. */
static void
remake(struct mh_cell *c, struct mh_job *j, uint32_t stage, uint32_t piece)
{
	struct sstate *ss = &j->state->stages[stage];

	drop_result(c, j, stage, piece);
	ss->made[piece].need = true;
	ss->made[piece].fed = false;
	ss->left++;
	j->state->stale = true;
	mh_count(c->k, "pieces_remade", 1);
	need_inputs(c, j, stage);
}

static bool
in_doubt(struct mh_cell *c, const struct made *m)
{
	struct mh_node *n =
	    m->node == NULL ? NULL : mh_fleet_find(c->f, m->node);

	return n == NULL || n->out_until_us > mh_now(c->k);
}

/*
 * The results that a piece was to read are gone: those whose maker is in
 * doubt are made again, or all where none is.
 */
static void
remake_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	bool any = false;

	for (int all = 0; all < 2 && !any; all++) {
		for (uint32_t s = 0; s < stage; s++) {
			struct sstate *ss = &j->state->stages[s];

			if ((j->stages[stage].after >> s & 1) == 0)
				continue;
			for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
				if (ss->made[i].need ||
				    (all == 0 && !in_doubt(c, &ss->made[i])))
					continue;
				remake(c, j, s, i);
				any = true;
			}
		}
	}
}

static void
stage_done(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	drop_inputs(c, j, stage);
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (todo(j, s) > 0)
			return;
	}
	end_job(c, j, MH_JOB_DONE, 0);
}

static void
take_item(struct mh_cell *c, struct mh_batch *b, struct worker *w,
    struct mh_batch_item *m, enum mh_batch_end end)
{
	struct mh_job *j = m->job;
	struct sstate *ss = &j->state->stages[m->stage];
	struct made *md = &ss->made[m->piece];
	char **slot = (char **)&g_ptr_array_index(
	    j->stages[m->stage].results, m->piece);

	if (!b->doubled) {
		md->flying = false;
		ss->flying--;
	}
	if (m->result != NULL && md->need) {
		*slot = m->result;
		m->result = NULL;
		md->worker = w;
		md->node = b->node_name;
		ss->left--;
		j->state->stale = true;
		md->need = false;
		if (ss->left == 0)
			stage_done(c, j, m->stage);
		return;
	}
	give_room(w, m->bytes);
	if (m->result != NULL) { /* the other one of a pair was faster, or
				  * it has been used already */
		c->ops.discard(c->ops.arg, m->result);
		return;
	}
	if (m->inputs_gone) {
		w->shared_us = mh_now(c->k) + SHARED_US;
		remake_inputs(c, j, m->stage);
	}
	if (m->no_room)
		w->pause_us = mh_now(c->k) + ROOM_PAUSE_US;
	if (b->doubled || !md->need)
		return;
	if (end == MH_BATCH_FULL)
		md->tries--;
	md->fed = false;
	if (md->tries >= PIECE_TRIES ||
	    (end != MH_BATCH_DONE && !mh_budget_take(c->budget, b->pool))) {
		mh_event(c->k, "job-failed", "id=%s stage=%u piece=%u tries=%u",
		    j->id, m->stage, m->piece, md->tries);
		end_job(c, j, MH_JOB_FAILED, 0);
		return;
	}
	need_inputs(c, j, m->stage);
}

void
mh_cell_batch_end(struct mh_cell *c, struct mh_batch *b, enum mh_batch_end end)
{
	struct cpool *p = pool_of(c, b->pool);
	struct worker *w = worker_of(p, b->node);
	struct mh_node *n = mh_fleet_find(c->f, b->node);

	b->call = NULL;
	w->flying -= MIN(w->flying, 1);
	b->node_name = g_intern_string(b->node);
	mh_event(c->k, "batch-end", "batch=%" PRIu64 " node=%s end=%s "
	    "took_ms=%" PRId64 " expect_ms=%" PRId64, b->id, b->node,
	    end == MH_BATCH_DONE ? "done"
		: end == MH_BATCH_FULL ? "full"
				       : "lost",
	    mh_ms(mh_now(c->k) - b->sent_us),
	    mh_ms(b->expect_us));
	if (end == MH_BATCH_DONE)
		learn(c, b, w);
	if (end == MH_BATCH_DONE && n != NULL)
		mh_node_good(c->f, n, mh_now(c->k) - b->sent_us);
	if (end == MH_BATCH_LOST && n != NULL)
		mh_node_bad(c->f, n, "stage-call-lost");
	if (end == MH_BATCH_FULL) {
		w->pause_us = mh_now(c->k) + FULL_PAUSE_US;
		w->shared_us = mh_now(c->k) + SHARED_US;
	}
	c->dispatching = true; /* not before every item is back */
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (m->job != NULL) {
			take_item(c, b, w, m, end);
			continue;
		}
		give_room(w, m->bytes);
		if (m->result != NULL)
			c->ops.discard(c->ops.arg, m->result);
	}
	c->dispatching = false;
	free_batch(c, b);
	dispatch_all(c);
}

/* Gives the pieces of an overdue call to another endpoint as well. */
static void
double_up(struct mh_cell *c, struct mh_batch *b)
{
	struct worker *w = worker_of(pool_of(c, b->pool), b->node);
	struct mh_node *n = mh_fleet_find(c->f, b->node);
	double ratio = (double)(mh_now(c->k) - b->sent_us) /
	    (double)MAX(b->expect_us, 1);

	w->slow = MAX(w->slow, ratio);
	if (n != NULL)
		mh_node_bad(c->f, n, "stage-call-overdue");
	b->doubled = true;
	mh_count(c->k, "batches_overdue", 1);
	mh_event(c->k, "batch-overdue", "batch=%" PRIu64 " node=%s "
	    "expect_ms=%" PRId64, b->id, b->node, mh_ms(b->expect_us));
	for (guint i = 0; i < b->items->len; i++) {
		struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);
		struct sstate *ss;

		if (m->job == NULL)
			continue;
		ss = &m->job->state->stages[m->stage];
		ss->made[m->piece].flying = false;
		ss->made[m->piece].fed = false;
		ss->flying--;
		need_inputs(c, m->job, m->stage);
		mh_budget_take(c->budget, b->pool);
	}
}

static void
check_batches(struct mh_cell *c)
{
	GList *all = g_hash_table_get_values(c->batches);
	int64_t now = mh_now(c->k);

	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_batch *b = l->data;
		int64_t grace = OVERDUE_GRACE_US;
		double took = (double)(now - b->sent_us - grace);

		if (worker_of(pool_of(c, b->pool), b->node)->shared_us > now)
			took /= 2; /* another's call goes before ours */
		if (!b->doubled &&
		    took > OVERDUE_FACTOR * (double)b->expect_us)
			double_up(c, b);
		else if (took > LOST_FACTOR * (double)b->expect_us) {
			c->ops.abort(c->ops.arg, b);
			mh_cell_batch_end(c, b, MH_BATCH_LOST);
		}
	}
	g_list_free(all);
}

static void
check_jobs(struct mh_cell *c)
{
	int64_t now = mh_now(c->k);

	for (guint i = 0; i < c->jobs->len;) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		if (now + left_us(j) / 2 > j->deadline_us) {
			mh_event(c->k, "job-hopeless", "id=%s left_ms=%" PRId64
			    " need_ms=%" PRId64, j->id,
			    mh_ms(j->deadline_us - now),
			    mh_ms(left_us(j)));
			end_job(c, j, MH_JOB_REFUSED, room_in_us(c, j));
			continue;
		}
		if (!j->state->late && is_late(c, j)) {
			j->state->late = true;
			}
		i++;
	}
}

void
mh_cell_leave(struct mh_cell *c)
{
	for (guint i = c->jobs->len; i-- > 0;) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		if (!j->state->started)
			end_job(c, j, MH_JOB_MOVED, 0);
	}
}

static void
fade(struct mh_cell *c)
{
	GHashTableIter it, wi;
	gpointer key, value;

	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cpool *p = value;

		g_hash_table_iter_init(&wi, p->workers);
		while (g_hash_table_iter_next(&wi, &key, &value)) {
			struct worker *w = value;

			w->slow = 1 + (w->slow - 1) * SLOW_FADE;
		}
	}
}

static void
on_tick(void *arg)
{
	struct mh_cell *c = arg;

	c->tick = NULL;
	check_batches(c);
	check_jobs(c);
	fade(c);
	dispatch_all(c);
	if (c->jobs->len > 0 || g_hash_table_size(c->batches) > 0)
		c->tick = mh_timer_start(c->k, TICK_US, on_tick, c);
}

static void
free_pool(void *arg)
{
	struct cpool *p = arg;

	g_hash_table_destroy(p->workers);
	g_free(p->name);
	g_free(p);
}

struct mh_cell *
mh_cell_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_budget *budget, const struct mh_cell_ops *ops)
{
	struct mh_cell *c = g_new0(struct mh_cell, 1);

	c->k = k;
	c->f = f;
	c->budget = budget;
	c->ops = *ops;
	c->jobs = g_ptr_array_new();
	c->ended = g_ptr_array_new();
	c->batches = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	c->factors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void
mh_cell_destroy(struct mh_cell *c)
{
	GList *all;

	if (c == NULL)
		return;
	mh_timer_stop(c->k, &c->tick);
	for (guint i = 0; i < c->jobs->len; i++)
		free_state(g_ptr_array_index(c->jobs, i));
	for (guint i = 0; i < c->ended->len; i++)
		free_state(g_ptr_array_index(c->ended, i));
	all = g_hash_table_get_values(c->batches);
	for (GList *l = all; l != NULL; l = l->next)
		free_batch(c, l->data);
	g_list_free(all);
	g_ptr_array_free(c->jobs, TRUE);
	g_ptr_array_free(c->ended, TRUE);
	g_hash_table_destroy(c->batches);
	g_hash_table_destroy(c->pools);
	g_hash_table_destroy(c->factors);
	mh_gconf_unref(c->conf);
	g_free(c);
}

void
mh_cell_conf(struct mh_cell *c, struct mh_gconf *conf)
{
	GHashTableIter it;
	gpointer key, value;

	mh_gconf_unref(c->conf);
	c->conf = mh_gconf_ref(conf);
	g_hash_table_iter_init(&it, c->pools);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct cpool *p = value;

		p->work = work_of(c, p->name);
	}
}
