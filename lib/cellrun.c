/**
 * DOC: Which pieces go to which endpoint, in one call.
 */

#include "cell.h"

#include <string.h>

/* How far one observation moves what is believed of an endpoint's speed. */
#define SLOW_WEIGHT 0.5
#define ITEM_WEIGHT 0.1
/* An endpoint this much slower than the fastest of its pool is left out. */
#define SLOW_OUT 1.8
/* Room kept free for what other processes may still keep there. */
#define ROOM_USED 0.95
/*
 * Work waits so long for an endpoint in the failure domain of its data: half
 * of a full call, after which one of two endpoints there has come free.
 */
#define HOLD_US (200 * MH_US_PER_MS)
/* Only with this much time to spare, and for this many bytes. */
#define HOLD_SLACK_US (350 * MH_US_PER_MS)
#define HOLD_BYTES (200U << 10)
/*
 * Where work waits, an endpoint takes what has its data near before what is
 * so much more urgent: fewer bytes cross failure domains, and what is read
 * sooner gives its room back sooner (mean worth of ten loaded days 0.651
 * before, 0.661 after; 0.652 at 150 ms, 0.658 at 800, 0.655 at 1600).
 */
#define NEAR_US (400 * MH_US_PER_MS)
#define MAX_DOMAINS 16
/*
 * An endpoint reads its inputs when a call's turn comes.  Ours has its turn
 * at once, so that after this time they are free, long before the call ends:
 * room for results, not time, is what a burst runs out of.
 */
#define FED_US (40 * MH_US_PER_MS)
/*
 * One that was left out gets a small call so often, when all others are busy,
 * which costs two pieces made twice.  Beliefs alone faded over ten seconds:
 * a third of a pool that had mended stood idle through the next burst (mean
 * worth of ten loaded days 0.635 before, 0.649 after).
 */
#define PROBE_US (1 * MH_US_PER_S)
#define PROBE_PIECES 2
/* In the choice of an endpoint: after every one that is not slow. */
#define PROBE_LAST 1000.0
/* A call that took this much longer than expected waited behind another's. */
#define SHARED_RATIO 1.35
/* One wanted piece weighs as much as this part of an endpoint's speed. */
#define WANTED_WORTH 0.02

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
	if (mh_cell_followers(j, stage) == 0)
		add_pull(all, &n, j->domain, st->result_bytes * st->pieces);
	for (uint32_t i = 1; i < n; i++) {
		if (all[i].bytes > all[best].bytes)
			best = i;
	}
	return n == 0 || all[best].bytes < HOLD_BYTES ? NULL : all[best].domain;
}

/* calls */

void
mh_cell_free_batch(struct mh_cell *c, struct mh_batch *b)
{
	mh_timer_stop(c->k, &b->fed);
	for (guint i = 0; i < b->items->len; i++)
		g_free(g_array_index(b->items, struct mh_batch_item, i).result);
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
has_domain(struct mh_cell *c, struct cpool *p, const char *domain)
{
	GPtrArray *nodes = mh_cell_nodes(c, p);

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(c->f, n) && strcmp(n->domain, domain) == 0)
			return true;
	}
	return false;
}

/*
 * Work waits a little for an endpoint near its data, as long as its aim
 * allows; under load everything waits longer than that and goes anywhere.
 */
static void
place_unit(struct mh_cell *c, struct cpool *p, struct unit *u)
{
	struct sstate *ss = &u->job->state->stages[u->stage];
	int64_t now = mh_now(c->k);

	if (ss->ready_us == 0)
		ss->ready_us = now;
	u->domain = best_domain(c, u->job, u->stage);
	if (u->domain == NULL || u->job->state->late)
		return;
	u->holds = now - ss->ready_us < HOLD_US &&
	    u->job->aim_us - now - mh_cell_path_us(u->job, u->stage) >
		HOLD_SLACK_US &&
	    has_domain(c, p, u->domain);
}

static bool
is_near(const struct unit *u, const struct mh_node *n)
{
	return u->domain != NULL && strcmp(u->domain, n->domain) == 0;
}

static bool
suits(const struct unit *u, const struct mh_node *n)
{
	return !u->holds || is_near(u, n);
}

static GArray *
ready_units(struct mh_cell *c, struct cpool *p)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct unit));

	for (guint i = 0; i < c->jobs->len; i++) {
		struct mh_job *j = g_ptr_array_index(c->jobs, i);

		for (uint32_t s = 0; s < j->n_stages && !j->state->leaving;
		     s++) {
			const struct sstate *ss = &j->state->stages[s];
			struct unit u = { j, s, 0, NULL, false };

			if (ss->left <= ss->flying || ss->pool != p ||
			    !mh_cell_is_ready(j, s) ||
			    mh_poison_waits(c->k, j->print, p->name))
				continue;
			u.key = mh_cell_slack_key(j, s);
			place_unit(c, p, &u);
			g_array_append_val(all, u);
		}
	}
	g_array_sort(all, by_key);
	return all;
}

/*
 * A piece that runs without an input of its request gives a wrong answer that
 * looks right; whatever lost the input, it is made again instead.
 */
static bool
inputs_there(const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < stage; s++) {
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
 * A request that may end endpoints has calls of its own: what others have in a
 * call is lost with it, and the end of a call with many tells nothing.
 */
static bool
goes_with(
    const struct mh_cell *c, const struct mh_batch *b, const struct mh_job *j)
{
	const struct mh_job *first = b->items->len == 0
	    ? NULL
	    : g_array_index(b->items, struct mh_batch_item, 0).job;

	return first == NULL || first == j ||
	    (mh_poison_apart(c->k, j->print, b->pool) == 0 &&
		mh_poison_apart(c->k, first->print, b->pool) == 0);
}

static void
take_pieces(struct mh_batch *b, struct worker *w, const struct unit *u,
    const struct mh_gwork *gw, uint32_t most)
{
	struct mh_jstage *st = &u->job->stages[u->stage];
	struct sstate *ss = &u->job->state->stages[u->stage];

	for (uint32_t i = 0; i < st->pieces && b->items->len < most; i++) {
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
		b->expect_us += mh_cell_item_us(u->job, u->stage);
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

		/* A piece that is made twice flies after it was made once. */
		n += ss->left - MIN(ss->flying, ss->left);
	}
	return n;
}

static void
on_fed(void *arg)
{
	struct mh_batch *b = arg;
	struct mh_cell *c = b->cell;

	b->fed = NULL;
	b->freed = true;
	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);

		if (m->job == NULL)
			continue;
		m->job->state->stages[m->stage].made[m->piece].fed = true;
		mh_cell_drop_inputs(c, m->job, m->stage);
	}
	mh_cell_dispatch_all(c);
}

/* An endpoint slower than this is left out, but for a small call at times. */
static double
slow_limit(struct mh_cell *c, struct cpool *p)
{
	GPtrArray *nodes = mh_cell_nodes(c, p);
	double fastest = 1e9;

	for (guint i = 0; i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);

		if (mh_node_usable(c->f, n))
			fastest =
			    MIN(fastest, mh_cell_worker_of(p, n->id)->slow);
	}
	return SLOW_OUT * fastest;
}

static uint32_t
most_pieces(struct mh_cell *c, struct cpool *p, const struct worker *w)
{
	uint32_t batch = p->work->batch;

	return w->slow > slow_limit(c, p) ? MIN(PROBE_PIECES, batch) : batch;
}

/* What has its data near the endpoint and is hardly less urgent. */
static void
take_near(struct mh_cell *c, struct mh_batch *b, struct worker *w,
    const struct mh_node *n, const GArray *units, uint32_t most)
{
	const struct mh_gwork *gw = mh_cell_work_of(c, b->pool);
	int64_t last = units->len == 0
	    ? 0
	    : g_array_index(units, struct unit, 0).key + NEAR_US;

	for (guint i = 0; i < units->len && b->items->len < most; i++) {
		const struct unit *u = &g_array_index(units, struct unit, i);

		if (u->key > last)
			return;
		if (is_near(u, n) && goes_with(c, b, u->job) &&
		    inputs_there(u->job, u->stage))
			take_pieces(b, w, u, gw, most);
	}
}

/* What is most pressing, wherever its data lies. */
static void
take_first(struct mh_cell *c, struct mh_batch *b, struct worker *w,
    const struct mh_node *n, const GArray *units, uint32_t most)
{
	const struct mh_gwork *gw = mh_cell_work_of(c, b->pool);

	for (guint i = 0; i < units->len && b->items->len < most; i++) {
		const struct unit *u = &g_array_index(units, struct unit, i);

		if (!suits(u, n) || !goes_with(c, b, u->job))
			continue;
		if (inputs_there(u->job, u->stage))
			take_pieces(b, w, u, gw, most);
		else
			mh_cell_need_inputs(c, u->job, u->stage);
	}
}

/*
 * Whether a call has its turn at an endpoint as soon as it is there.  While two
 * entries take themselves for the home of the same endpoints, a call waits
 * behind the other's, and its inputs are freed before it reads them: all their
 * stages are made again.  One endpoint that is shared shows that all of the
 * pool are; and calls of a home that was lost go on until they end.
 */
static bool
has_turn(struct mh_cell *c, struct cpool *p, const struct worker *w,
    const struct mh_batch *b)
{
	int64_t now = mh_now(c->k);
	int64_t full_us =
	    p->work->call_us + p->work->item_us * (int64_t)p->work->batch;

	if (w->shared_us > now ||
	    (c->moved_us != 0 && now - c->moved_us < full_us))
		return false;
	if (p->shared_us == 0)
		return true;
	if (p->shared_us > now || p->trying != 0)
		return false;
	p->trying = b->id;
	return true;
}

static void
run_batch(
    struct mh_cell *c, struct cpool *p, const struct mh_node *n, GArray *units)
{
	struct worker *w = mh_cell_worker_of(p, n->id);
	const struct mh_gwork *gw = p->work;
	uint32_t most = most_pieces(c, p, w);
	struct mh_batch *b = g_new0(struct mh_batch, 1);

	b->id = ++c->next_id;
	b->node = g_strdup(n->id);
	b->pool = g_strdup(p->name);
	b->items = g_array_new(FALSE, FALSE, sizeof(struct mh_batch_item));
	b->sent_us = mh_now(c->k);
	b->expect_us = gw->call_us;
	g_hash_table_insert(c->batches, &b->id, b);
	w->called_us = mh_now(c->k);
	take_near(c, b, w, n, units, most);
	take_first(c, b, w, n, units, most);
	if (b->items->len == 0) {
		w->pause_us = mh_now(c->k) + ROOM_PAUSE_US;
		mh_cell_free_batch(c, b);
		return;
	}
	w->flying++;
	mh_count(c->k, "batches", 1);
	mh_count(c->k, "batch_pieces", b->items->len);
	mh_event(c->k, "batch",
	    "batch=%" PRIu64 " pool=%s node=%s pieces=%u "
	    "of=%u ready=%u held_kb=%" PRIu64 " room_kb=%" PRIu64
	    " expect_ms=%" PRId64 " slow=%.2f first=%s",
	    b->id, p->name, n->id, b->items->len, gw->batch,
	    ready_pieces(units), w->held >> 10, gw->room_bytes >> 10,
	    mh_ms(b->expect_us), w->slow,
	    g_array_index(b->items, struct mh_batch_item, 0).job->id);
	b->cell = c;
	if (has_turn(c, p, w, b))
		b->fed = mh_timer_start(c->k, FED_US, on_fed, b);
	c->ops.run(c->ops.arg, b);
}

static bool
may_call(struct mh_cell *c, const struct cpool *p, const struct mh_node *n,
    const struct worker *w)
{
	return mh_node_usable(c->f, n) && w->flying < p->work->running &&
	    w->pause_us <= mh_now(c->k);
}

/* Of what is ready, how much has its data near an endpoint. */
static uint32_t
wants(const GArray *units, const struct mh_node *n, bool *suited)
{
	uint32_t all = 0;

	*suited = false;
	for (guint i = 0; i < units->len; i++) {
		const struct unit *u = &g_array_index(units, struct unit, i);

		*suited = *suited || suits(u, n);
		all += is_near(u, n);
	}
	return all;
}

/* The endpoint that is fastest, and most wanted by what is ready. */
static struct mh_node *
free_node(struct mh_cell *c, struct cpool *p, const GArray *units)
{
	GPtrArray *nodes = mh_cell_nodes(c, p);
	struct mh_node *best = NULL;
	double least = 0, limit = slow_limit(c, p);

	for (guint i = 0; i < nodes->len; i++) {
		struct mh_node *n = g_ptr_array_index(nodes, i);
		struct worker *w = mh_cell_worker_of(p, n->id);
		bool slow = w->slow > limit, suited;
		double score;

		if (!may_call(c, p, n, w) ||
		    (slow && mh_now(c->k) - w->called_us < PROBE_US))
			continue;
		score = w->slow -
		    WANTED_WORTH *
			MIN(wants(units, n, &suited), p->work->batch);
		if (!suited)
			continue;
		if (slow)
			score += PROBE_LAST;
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
	GPtrArray *nodes = mh_cell_nodes(c, p);

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (may_call(c, p, n, mh_cell_worker_of(p, n->id)))
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

void
mh_cell_dispatch_all(struct mh_cell *c)
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

void
mh_cell_learn(struct mh_cell *c, struct mh_batch *b, struct worker *w)
{
	const struct mh_gwork *gw = mh_cell_pool_of(c, b->pool)->work;
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
	else /* as fast as told: it has mended, whatever was before */
		w->slow = MIN(w->slow, SLOW_OUT);
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
		f = mh_cell_item_factor(c, m->job->route, m->stage);
		*f = CLAMP(*f + ITEM_WEIGHT * over / b->items->len, 0.1, 4);
	}
}
