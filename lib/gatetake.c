/**
 * DOC: A request arrives: its route, organisation and times.
 */

#include "gateint.h"

#include <string.h>

/*
 * Callers of a stream give up on its next event after the longest of these;
 * what would come later is work for nobody.
 */
#define PATIENCE_AIMS 4
#define PATIENCE_GAPS 8
#define PATIENCE_LEAST_US (2 * MH_US_PER_S)
#define PATIENCE_PERCENT 90
/*
 * Callers give between 0.85 and 1 times their route's longest time; less than
 * that is what was left to one that was refused before and has come back.
 */
#define RETURNED_BELOW 0.84
#define GIVEN_MEAN 0.925

int64_t
mh_gate_patience_us(const struct mh_groute *r)
{
	int64_t us =
	    MAX(PATIENCE_AIMS * r->aim_us, PATIENCE_GAPS * r->gap_aim_us);

	return MAX(us, PATIENCE_LEAST_US) * PATIENCE_PERCENT / 100;
}

static bool
find_org(struct mh_gate *g, struct mh_gask *q)
{
	if (g_hash_table_size(g->conf->keys) == 0)
		return true;
	if (q->key != NULL)
		q->org = g_hash_table_lookup(g->conf->keys, q->key);
	return q->org != NULL || (q->route->open_to_all && q->key == NULL);
}

/*
 * A caller that comes back gives the time that is left to it; its aim still
 * counts from its first asking, which is worked out from the time that is
 * missing.
 */
static void
set_times(struct mh_gate *g, struct mh_gask *q)
{
	int64_t *longest = g_hash_table_lookup(g->deadlines, q->route->name);
	int64_t now = mh_now(g->k), given = q->deadline_us;

	if (given <= 0)
		given = q->route->timeout_us;
	if (longest == NULL) {
		longest = g_new0(int64_t, 1);
		g_hash_table_insert(
		    g->deadlines, g_strdup(q->route->name), longest);
	}
	*longest = MAX(*longest, given);
	q->returned = (double)given < RETURNED_BELOW * (double)*longest;
	q->first_us = now;
	if (q->returned)
		q->first_us -= (int64_t)(GIVEN_MEAN * (double)*longest) - given;
	q->aim_us = q->first_us + q->route->aim_us;
	q->until_us = now + MIN(given, q->route->timeout_us);
	q->first_by_us = q->until_us;
	if (q->route->stream) {
		/* Later than this nobody reads its first event. */
		q->first_by_us =
		    MIN(q->until_us, now + mh_gate_patience_us(q->route));
	}
}

static int64_t
behind_us(const struct mh_gate *g)
{
	return g->behind_us == NULL ? 0 : g->behind_us(g->behind_arg);
}

static void
refuse_unknown(struct mh_gate *g, struct mh_gask *q, enum mh_gate_refusal why)
{
	mh_gate_refuse(g, q, behind_us(g) > 0 ? MH_NOT_READY : why, 0);
}

/*
 * A later one is known to others, and does not come: what this one allows may
 * not be allowed any more.
 */
static bool
conf_is_overdue(struct mh_gate *g)
{
	int64_t us = behind_us(g);
	bool overdue = g->behind_most_us > 0 && us >= g->behind_most_us;

	if (overdue && !g->overdue)
		mh_event(g->k, "conf-overdue",
		    "config=%" PRIu64 " behind_ms=%" PRId64, g->conf->version,
		    mh_ms(us));
	g->overdue = overdue;
	return overdue;
}

void
mh_gate_take(struct mh_gate *g, struct mh_gask *q)
{
	q->gate = g;
	q->arrived_us = mh_now(g->k);
	q->until_us = q->arrived_us;
	q->aim_us = q->arrived_us;
	g_hash_table_add(g->asks, q);
	if (g->conf == NULL || conf_is_overdue(g)) {
		mh_gate_refuse(g, q, MH_NOT_READY, 0);
		return;
	}
	q->conf = mh_gconf_ref(g->conf);
	q->route = mh_gconf_route(g->conf, q->host, q->target);
	if (q->route == NULL) {
		refuse_unknown(g, q, MH_NO_ROUTE);
		return;
	}
	if (!find_org(g, q)) {
		refuse_unknown(g, q, MH_BAD_KEY);
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
	if (mh_gate_refuse_held(g, q))
		return;
	mh_event(g->k, "ask",
	    "id=%s route=%s org=%s config=%" PRIu64 " pool=%s given_ms=%" PRId64
	    " returned=%d aim_ms=%" PRId64 " open=%u print=%016" PRIx64,
	    q->id, q->route->name, q->org != NULL ? q->org->name : "-",
	    q->conf->version, q->pool, mh_ms(q->deadline_us), q->returned,
	    mh_ms(q->aim_us - q->arrived_us), mh_gate_open(g), q->print);
	mh_budget_first(g->budget, q->pool);
	if (q->route->stream)
		q->cursor = mh_cursor_create(
		    q->route->repeat == MH_REPEAT_RESUME ? q->resume_after
							 : NULL,
		    true);
	if (q->route->n_stages > 0)
		mh_gate_start_job(g, q);
	else
		mh_gate_try_next(g, q);
}

void
mh_gate_gone(struct mh_gate *g, struct mh_gask *q)
{
	if (q->state == MH_ASK_ENDED)
		return;
	mh_gate_log_end(g, q, "caller_left", 0);
	mh_count(g->k, "callers_left", 1);
	mh_gate_close(g, q, true);
}
