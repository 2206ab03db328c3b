/**
 * DOC: Admission of a request: its route, organisation and time limits.
 */

#include "gateint.h"

#include <string.h>

/*
 * Callers of a stream give up on the next event after the longest of
 * TIMEOUT_SLOS latency objectives, TIMEOUT_GAPS times the longest pause of a
 * good stream, and TIMEOUT_MIN_US.  Work that ends later is wasted, so the
 * gateway plans with TIMEOUT_PERCENT of that time.
 */
#define TIMEOUT_SLOS 4
#define TIMEOUT_GAPS 8
#define TIMEOUT_MIN_US (2 * MH_US_PER_S)
#define TIMEOUT_PERCENT 90
/*
 * Callers give deadlines between 0.85 and 1 times the longest of their route.
 * A shorter one is the time remaining to a caller that was refused before and
 * has come back.
 */
#define RETURNED_RATIO 0.84
#define MEAN_DEADLINE_RATIO 0.925

int64_t
mh_gate_client_timeout_us(const struct mh_groute *r)
{
	int64_t us =
	    MAX(TIMEOUT_SLOS * r->slo_us, TIMEOUT_GAPS * r->gap_slo_us);

	return MAX(us, TIMEOUT_MIN_US) * TIMEOUT_PERCENT / 100;
}

/* Only a configuration that names no organisations lets everybody in. */
static bool
find_org(struct mh_gate *g, struct mh_greq *q)
{
	if (!g->conf->needs_key && g_hash_table_size(g->conf->keys) == 0)
		return true;
	if (q->key != NULL)
		q->org = g_hash_table_lookup(g->conf->keys, q->key);
	return q->org != NULL || (q->route->allow_anonymous && q->key == NULL);
}

/*
 * A caller that comes back gives its remaining time.  Its latency objective
 * still counts from its first attempt, whose time is estimated from how much of
 * the usual deadline is used up.
 */
static void
set_times(struct mh_gate *g, struct mh_greq *q)
{
	int64_t *longest =
	    g_hash_table_lookup(g->max_deadlines, q->route->name);
	int64_t now = mh_now(g->k), given = q->deadline_us;

	if (given <= 0)
		given = q->route->timeout_us;
	if (longest == NULL) {
		longest = g_new0(int64_t, 1);
		g_hash_table_insert(
		    g->max_deadlines, g_strdup(q->route->name), longest);
	}
	*longest = MAX(*longest, given);
	q->returned = (double)given < RETURNED_RATIO * (double)*longest;
	q->first_attempt_us = now;
	if (q->returned)
		q->first_attempt_us -=
		    (int64_t)(MEAN_DEADLINE_RATIO * (double)*longest) - given;
	q->slo_by_us = q->first_attempt_us + q->route->slo_us;
	q->expires_us = now + MIN(given, q->route->timeout_us);
	q->answer_by_us = q->expires_us;
	if (q->route->stream) {
		/* After this time the caller has left. */
		q->answer_by_us = MIN(
		    q->expires_us, now + mh_gate_client_timeout_us(q->route));
	}
}

static int64_t
stale_us(const struct mh_gate *g)
{
	return g->stale_us == NULL ? 0 : g->stale_us(g->stale_arg);
}

/*
 * Other processes have a newer configuration that has not arrived here: what
 * ours allows may no longer be allowed.
 */
static bool
conf_is_overdue(struct mh_gate *g)
{
	int64_t us = stale_us(g);
	bool overdue = g->max_stale_us > 0 && us >= g->max_stale_us;

	if (overdue && !g->overdue)
		mh_event(g->k, "conf-overdue",
		    "config=%" PRIu64 " behind_ms=%" PRId64, g->conf->version,
		    mh_ms(us));
	g->overdue = overdue;
	return overdue;
}

/* Stage work would be wasted if no endpoint took the request in its time. */
static bool
refuse_closed(struct mh_gate *g, struct mh_greq *q)
{
	struct mh_place_request a = { 0 };

	mh_gate_fill_place(g, q, &a);
	if (q->route->n_stages == 0 || mh_fleet_pool(g->f, q->pool) == NULL ||
	    mh_place_next_us(g->place, &a) < mh_gate_limit_us(g, q))
		return false;
	mh_gate_refuse(g, q, MH_NO_ENDPOINT, a.retry_us);
	return true;
}

void
mh_gate_start(struct mh_gate *g, struct mh_greq *q)
{
	if (refuse_closed(g, q))
		return;
	if (q->route->n_stages > 0)
		mh_gate_start_job(g, q);
	else
		mh_gate_try_next(g, q);
}

bool
mh_gate_may_admit(
    struct mh_gate *g, struct mh_greq *q, enum mh_gate_refusal *why)
{
	*why = MH_NOT_READY;
	if (g->conf == NULL || conf_is_overdue(g))
		return false;
	q->conf = mh_gconf_ref(g->conf);
	q->route = mh_gconf_route(g->conf, q->host, q->target);
	if (q->route != NULL && find_org(g, q))
		return true;
	if (stale_us(g) == 0)
		*why = q->route == NULL ? MH_NO_ROUTE : MH_BAD_KEY;
	return false;
}

void
mh_gate_admit(struct mh_gate *g, struct mh_greq *q)
{
	enum mh_gate_refusal why;

	q->gate = g;
	q->arrived_us = mh_now(g->k);
	q->expires_us = q->arrived_us;
	q->slo_by_us = q->arrived_us;
	g_hash_table_add(g->requests, q);
	if (!mh_gate_may_admit(g, q, &why)) {
		mh_gate_refuse(g, q, why, 0);
		return;
	}
	q->priority = q->org != NULL && q->org->priority >= 0
	    ? (uint32_t)q->org->priority
	    : q->route->priority;
	q->pool = mh_groute_pool(q->route, mh_random_unit(g->k));
	set_times(g, q);
	if (q->pool == NULL || q->n_pieces > q->route->n_stages) {
		mh_gate_refuse(
		    g, q, q->pool == NULL ? MH_NO_ENDPOINT : MH_BAD_REQUEST, 0);
		return;
	}
	if (!mh_gate_ends_in_time(g, q)) {
		mh_gate_refuse(g, q, MH_NOT_READY, 0);
		return;
	}
	if (mh_gate_refuse_quarantined(g, q))
		return;
	mh_event(g->k, "ask",
	    "id=%s route=%s org=%s config=%" PRIu64 " pool=%s given_ms=%" PRId64
	    " returned=%d aim_ms=%" PRId64 " open=%u print=%016" PRIx64
	    " resumes=%s",
	    q->id, q->route->name, q->org != NULL ? q->org->name : "-",
	    q->conf->version, q->pool, mh_ms(q->deadline_us), q->returned,
	    mh_ms(q->slo_by_us - q->arrived_us), mh_gate_open(g),
	    q->fingerprint, q->resumes == NULL ? "-" : q->resumes);
	mh_budget_request(g->budget, q->pool);
	if (q->route->stream)
		q->cursor = mh_cursor_create(
		    q->route->repeat == MH_REPEAT_RESUME ? q->resume_after
							 : NULL,
		    true);
	if (mh_gate_take_up(g, q))
		mh_gate_start(g, q);
}

void
mh_gate_caller_left(struct mh_gate *g, struct mh_greq *q)
{
	if (q->state == MH_GREQ_ENDED)
		return;
	mh_gate_log_end(g, q, "caller_left", 0);
	mh_count(g->k, "callers_left", 1);
	mh_gate_close(g, q, true);
}
