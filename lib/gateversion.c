/**
 * DOC: Binds a stream to the software version that began it.
 */

#include "gateint.h"

#include <string.h>

/* A stream may last for so many time-outs of its route, if not known better. */
#define LAST_TIMEOUTS 2
/* Of the longest deadline seen: callers give their longest, or a little less.
 */
#define LONGEST_PERCENT 120
/* Interval at which a bound request looks for an endpoint, and for how long. */
#define WAIT_US (100 * MH_US_PER_MS)
#define WAIT_MAX_US (1500 * MH_US_PER_MS)
/*
 * Questions for a start that one request may leave unanswered: a sound endpoint
 * may be silent for two seconds.
 */
#define UNANSWERED_MAX 8
/* Younger rows name a restarted endpoint, but for the time to write its row. */
#define ROWS_FRESH_US (600 * MH_US_PER_MS)

static bool
is_resumable(const struct mh_greq *q)
{
	return q->route->stream && q->route->repeat == MH_REPEAT_RESUME;
}

static uint64_t
hash_text(const char *text)
{
	return mh_hash(text, strlen(text));
}

/* Of what leads requests for streams to pools; the order of routes is free. */
static uint64_t
hash_routes(const struct mh_gconf *c)
{
	uint64_t sum = 0;

	for (guint i = 0; i < c->routes->len; i++) {
		const struct mh_groute *r = g_ptr_array_index(c->routes, i);
		uint64_t of[] = { hash_text(r->host), hash_text(r->prefix), 0 };

		if (!r->stream || r->repeat != MH_REPEAT_RESUME)
			continue;
		for (guint t = 0; t < r->targets->len; t++)
			of[2] += hash_text(
			    g_array_index(r->targets, struct mh_gtarget, t)
				.pool);
		sum += mh_hash(of, sizeof(of));
	}
	return sum;
}

void
mh_gate_note_routes(struct mh_gate *g)
{
	uint64_t hash = hash_routes(g->conf);

	if (hash != g->routes_hash)
		mh_origins_routes_changed(g->origins);
	g->routes_hash = hash;
}

/* How long after a stream of the route began its caller may take it up. */
static int64_t
last_us(const struct mh_gate *g, const struct mh_groute *r)
{
	const int64_t *longest = g_hash_table_lookup(g->max_deadlines, r->name);

	return MAX(longest == NULL ? 0 : *longest * LONGEST_PERCENT / 100,
	    LAST_TIMEOUTS * r->timeout_us);
}

static const char *
how_name(enum mh_origin_how how)
{
	static const char *const names[] = { [MH_ORIGIN_UNKNOWN] = "unknown",
		[MH_ORIGIN_UNSURE] = "unsure",
		[MH_ORIGIN_OWN] = "own",
		[MH_ORIGIN_TOLD] = "told",
		[MH_ORIGIN_SOLE] = "sole" };

	return names[how];
}

static void
count_how(struct mh_gate *g, enum mh_origin_how how)
{
	static const char *const counters[] = { [MH_ORIGIN_UNKNOWN] =
						    "streams_version_unknown",
		[MH_ORIGIN_UNSURE] = "streams_version_unknown",
		[MH_ORIGIN_OWN] = "streams_version_own",
		[MH_ORIGIN_TOLD] = "streams_version_told",
		[MH_ORIGIN_SOLE] = "streams_version_sole" };

	mh_count(g->k, counters[how], 1);
}

/*
 * Binds the request to the version, and to the pool that has it; refuses it if
 * the version isn't known or no endpoint has it.
 */
static bool
bind(struct mh_gate *g, struct mh_greq *q, uint64_t version,
    enum mh_origin_how how)
{
	bool is_known = how != MH_ORIGIN_UNKNOWN && how != MH_ORIGIN_UNSURE;
	const char *pool = NULL;

	for (guint i = 0; version != 0 && i < q->route->targets->len; i++) {
		const struct mh_gtarget *t =
		    &g_array_index(q->route->targets, struct mh_gtarget, i);

		if (pool == NULL &&
		    mh_fleet_has_version(g->f, t->pool, version))
			pool = t->pool;
	}
	count_how(g, how);
	mh_event(g->k, "taken-up",
	    "id=%s began=%s stream=%016" PRIx64 " version=%016" PRIx64
	    " how=%s pool=%s after_ms=%" PRId64,
	    q->id, q->resumes == NULL ? "-" : q->resumes, q->stream, version,
	    how_name(how), pool == NULL ? "-" : pool,
	    mh_ms(mh_now(g->k) - q->arrived_us));
	if (!is_known || (version != 0 && pool == NULL)) {
		mh_gate_refuse(
		    g, q, is_known ? MH_VERSION_GONE : MH_VERSION_UNKNOWN, 0);
		return false;
	}
	q->version = version;
	if (pool != NULL)
		q->pool = pool;
	return true;
}

static void
on_origin(void *arg, uint64_t version, enum mh_origin_how how)
{
	struct mh_greq *q = arg;

	mh_gate_wait_over(q);
	if (bind(q->gate, q, version, how))
		mh_gate_start(q->gate, q);
}

static bool
ask(struct mh_gate *g, struct mh_greq *q, const char *const *pools, guint n)
{
	struct mh_origin_query a = { q->stream, pools, n, last_us(g, q->route),
		on_origin, q };
	void *asked;

	for (guint i = 0; i < n; i++) {
		/* Others can't know better than that there are two. */
		if (!mh_fleet_sole(g->f, pools[i]).is_sole)
			a.last_us = INT64_MAX;
	}
	asked = mh_origins_ask(g->origins, &a);
	if (asked != NULL)
		mh_gate_wait_begin(g, q, MH_WAIT_ORIGIN)->u.ask = asked;
	return asked != NULL;
}

bool
mh_gate_take_up(struct mh_gate *g, struct mh_greq *q)
{
	guint n = q->route->targets->len;
	enum mh_origin_how how = MH_ORIGIN_UNKNOWN;
	uint64_t version = 0;
	bool asked = false;
	const char **pools;

	if (!is_resumable(q))
		return true;
	if (q->resume_after == NULL) {
		q->stream = mh_origin_stream(q->id);
		return true;
	}
	q->stream = mh_origin_stream(q->resumes == NULL ? q->id : q->resumes);
	pools = g_new(const char *, n);
	for (guint i = 0; i < n; i++)
		pools[i] =
		    g_array_index(q->route->targets, struct mh_gtarget, i).pool;
	if (q->resumes != NULL)
		how = mh_origins_find(g->origins, q->stream, &version);
	if (how == MH_ORIGIN_UNKNOWN &&
	    mh_origins_sole_us(g->origins, pools, n, &version) >=
		last_us(g, q->route))
		how = MH_ORIGIN_SOLE;
	if (how == MH_ORIGIN_UNKNOWN && q->resumes != NULL)
		asked = ask(g, q, pools, n);
	g_free(pools);
	return !asked && bind(g, q, version, how);
}

/* The version of the stream is known now. */
static void
note_version(struct mh_gate *g, struct mh_greq *q, const struct mh_try *t,
    uint64_t version)
{
	struct mh_begun b = { q->stream, version, q->pool, t->node,
		last_us(g, q->route), q->route->targets->len > 1 };

	q->version = version;
	mh_event(g->k, "stream-began",
	    "id=%s stream=%016" PRIx64 " version=%016" PRIx64
	    " node=%s sure=%d",
	    q->id, q->stream, version, t->node, version != MH_VERSION_UNSURE);
	mh_origins_began(g->origins, &b);
}

static void *
ask_start(struct mh_gate *g, struct mh_greq *q, const struct mh_node *n)
{
	mh_count(g->k, "starts_asked", 1);
	return g->ops.confirm(g->ops.jobs, q, n);
}

/*
 * Where the row may be out of date, the endpoint is asked for its start after
 * it has begun: the answer holds for the begin too.  The question ends with the
 * run, as its answer then leads to nothing.
 */
void
mh_gate_note_began(struct mh_gate *g, struct mh_greq *q, struct mh_try *t)
{
	const struct mh_node *n = mh_fleet_find(g->f, t->node);
	bool old = n != NULL && n->start_ms != 0 &&
	    mh_fleet_rows_age_us(g->f) > ROWS_FRESH_US;

	if (!is_resumable(q) || t->version == 0)
		return;
	if (q->version != 0 || (!t->in_doubt && !old)) {
		note_version(
		    g, q, t, q->version != 0 ? q->version : t->version);
		return;
	}
	note_version(g, q, t, MH_VERSION_UNSURE);
	if (n != NULL && g->ops.confirm != NULL)
		t->question = ask_start(g, q, n);
}

static bool
began_at(const struct mh_try *t, const char *node, int64_t from_us)
{
	return t != NULL && t->sent_us >= from_us && strcmp(t->node, node) == 0;
}

void
mh_gate_restarted(struct mh_gate *g, const char *node)
{
	int64_t from_us = mh_fleet_restart_from_us(g->f);
	GHashTableIter it;
	gpointer key;

	mh_origins_restarted(g->origins, node);
	g_hash_table_iter_init(&it, g->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct mh_greq *q = key;

		if (q->version == 0)
			continue;
		if (began_at(q->cur, node, from_us))
			q->version = MH_VERSION_UNSURE;
		for (uint32_t i = 0; i < q->n_silent; i++) {
			if (began_at(q->silent[i], node, from_us))
				q->version = MH_VERSION_UNSURE;
		}
	}
}

/*
 * An endpoint that reports its start time may have started again under its
 * name, as another version, without any sign that reached this entry.
 */
bool
mh_gate_must_confirm(
    struct mh_gate *g, struct mh_greq *q, const struct mh_node *n)
{
	if (q->version == 0 || n->start_ms == 0 || g->ops.confirm == NULL ||
	    g_strcmp0(q->confirm_node, n->id) == 0)
		return false;
	mh_gate_wait_begin(g, q, MH_WAIT_START)->u.question =
	    ask_start(g, q, n);
	g_free(q->confirm_node);
	q->confirm_node = g_strdup(n->id);
	return true;
}

void
mh_gate_forget_mute(struct mh_greq *q)
{
	for (uint32_t i = 0; i < q->n_mute; i++)
		g_free(q->mute[i]);
	q->n_mute = 0;
}

/* It may be silent and yet sound: others are asked first, then it is again. */
static void
ask_elsewhere(struct mh_gate *g, struct mh_greq *q)
{
	if (q->n_mute == MH_TRIED_MAX)
		mh_gate_forget_mute(q);
	q->mute[q->n_mute++] = q->confirm_node;
	q->confirm_node = NULL;
	if (++q->n_unanswered < UNANSWERED_MAX)
		mh_gate_try_next(g, q);
	else
		mh_gate_refuse(
		    g, q, q->runs > 0 ? MH_RUN_FAILED : MH_NO_ENDPOINT, 0);
}

void
mh_gate_confirmed(struct mh_gate *g, struct mh_greq *q, int64_t start_ms)
{
	struct mh_try *t = q->cur;
	const char *id = t != NULL ? t->node : q->confirm_node;
	struct mh_node *n = mh_fleet_find(g->f, id);
	bool ok = n != NULL && start_ms == n->start_ms;

	if (t != NULL)
		t->question = NULL;
	else
		mh_gate_wait_over(q);
	if (ok)
		n->doubt_us = 0;
	else
		mh_event(g->k, "start-not-confirmed",
		    "id=%s node=%s start_ms=%" PRId64, q->id, id, start_ms);
	if (!ok && start_ms != 0)
		mh_fleet_set_start(g->f, id, start_ms);
	if (t != NULL) { /* it has begun there */
		if (ok)
			note_version(g, q, t, t->version);
		return;
	}
	if (start_ms == 0)
		ask_elsewhere(g, q);
	else
		mh_gate_try_next(g, q);
}

/* Whether an endpoint of its version may take it before long. */
static bool
has_other_endpoint(const struct mh_gate *g, const struct mh_greq *q)
{
	const GPtrArray *nodes = mh_fleet_pool(g->f, q->pool);

	for (guint i = 0; nodes != NULL && i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);
		bool tried = false;

		for (uint32_t j = 0; j < q->n_tried; j++)
			tried = tried || strcmp(q->tried[j], n->id) == 0;
		if (!tried && n->version_key == q->version &&
		    (!n->draining || mh_node_takes_last(g->f, n)))
			return true;
	}
	return false;
}

bool
mh_gate_wait_for_version(struct mh_gate *g, struct mh_greq *q)
{
	int64_t now = mh_now(g->k);

	if (q->version == 0 || !has_other_endpoint(g, q))
		return false;
	if (q->version_wait_us == 0)
		q->version_wait_us = now + WAIT_MAX_US;
	if ((now >= q->version_wait_us && q->n_mute == 0) ||
	    mh_gate_limit_us(g, q) - now < 2 * WAIT_US)
		return false;
	mh_gate_forget_mute(q);
	mh_count(g->k, "waits_for_version", 1);
	mh_gate_wait_for_us(g, q, MH_WAIT_VERSION, WAIT_US);
	return true;
}
