/**
 * DOC: Results of pieces: kept while needed, recomputed if lost.
 */

#include "schedint.h"

#include <string.h>

static void recompute_freed(
    struct mh_sched *sc, struct mh_job *j, uint32_t stage);

/* freeing results */

void
mh_sched_memory_freed(struct worker *w, uint64_t bytes)
{
	w->result_bytes -= MIN(w->result_bytes, bytes);
}

static void
drop_result(struct mh_sched *sc, struct mh_job *j, uint32_t stage, uint32_t i)
{
	struct mh_job_stage *st = &j->stages[stage];
	struct piece_state *m = &j->state->stages[stage].pieces[i];
	char **slot = (char **)&g_ptr_array_index(st->results, i);

	if (*slot == NULL)
		return;
	if (m->worker != NULL) {
		mh_sched_memory_freed(m->worker, st->result_bytes);
		m->worker->memory_refusals = 0;
	}
	m->worker = NULL;
	sc->ops.discard(sc->ops.arg, *slot);
	g_free(*slot);
	*slot = NULL;
}

void
mh_sched_drop_results(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	for (uint32_t i = 0; i < j->stages[stage].pieces; i++)
		drop_result(sc, j, stage, i);
}

/*
 * The endpoint that stores a result.  A result's name is the address of that
 * endpoint, a slash and a number.
 */
static const struct mh_node *
endpoint_of(struct mh_sched *sc, struct sched_pool *p, const char *result)
{
	GPtrArray *nodes = mh_sched_nodes(sc, p);
	size_t len = strcspn(result, "/");

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (strlen(n->addr) == len && memcmp(n->addr, result, len) == 0)
			return n;
	}
	return NULL;
}

/*
 * Results of a job that was handed off to us use result memory at their
 * endpoints.  If it were not counted, these endpoints would get pieces that
 * they must refuse for lack of memory.
 */
void
mh_sched_locate_results(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	const struct mh_job_stage *st = &j->stages[stage];
	struct stage_state *ss = &j->state->stages[stage];

	for (uint32_t i = 0; i < st->pieces; i++) {
		const char *result = g_ptr_array_index(st->results, i);
		const struct mh_node *n =
		    result == NULL ? NULL : endpoint_of(sc, ss->pool, result);

		if (n == NULL)
			continue;
		ss->pieces[i].node = g_intern_string(n->id);
		ss->pieces[i].worker = mh_sched_worker_of(ss->pool, n->id);
		ss->pieces[i].worker->result_bytes += st->result_bytes;
	}
}

/* Stops counting the result memory of a stage, without freeing it. */
static void
stop_counting(struct mh_job *j, uint32_t stage)
{
	const struct mh_job_stage *st = &j->stages[stage];

	for (uint32_t i = 0; i < st->pieces; i++) {
		struct piece_state *m = &j->state->stages[stage].pieces[i];

		if (m->worker != NULL)
			mh_sched_memory_freed(m->worker, st->result_bytes);
		m->worker = NULL;
	}
}

void
mh_sched_hand_off(struct mh_sched *sc, struct mh_job *j)
{
	j->resent = false;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct stage_state *ss = &j->state->stages[s];

		for (uint32_t i = 0; i < j->stages[s].pieces; i++)
			j->resent = j->resent ||
			    (ss->pieces[i].needed &&
				ss->pieces[i].resend != RESEND_NONE);
		if (mh_job_needs_stage(j, s))
			stop_counting(j, s);
		else
			mh_sched_drop_results(sc, j, s);
	}
}

/* Whether each piece of a stage is computed or has read its inputs. */
static bool
has_read_inputs(const struct mh_job *j, uint32_t stage)
{
	const struct stage_state *ss = &j->state->stages[stage];

	for (uint32_t i = 0; i < j->stages[stage].pieces; i++) {
		if (ss->pieces[i].needed && !ss->pieces[i].inputs_read)
			return false;
	}
	return true;
}

/* Frees those inputs of a stage that all their readers have read. */
void
mh_sched_drop_inputs(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		bool wanted = false;

		if ((j->stages[stage].after >> s & 1) == 0)
			continue;
		for (uint32_t t = 0; t < j->n_stages; t++)
			wanted = wanted ||
			    ((j->stages[t].after >> s & 1) != 0 &&
				!has_read_inputs(j, t));
		if (!wanted)
			mh_sched_drop_results(sc, j, s);
	}
}

/* Recomputes a result, and those of its inputs that were freed. */
static void
recompute(struct mh_sched *sc, struct mh_job *j, uint32_t stage, uint32_t piece)
{
	struct stage_state *ss = &j->state->stages[stage];

	drop_result(sc, j, stage, piece);
	if (ss->remaining == 0)
		j->state->lost_stages |= 1U << stage;
	ss->pieces[piece].needed = true;
	ss->pieces[piece].resend = RESEND_RECOMPUTED;
	ss->pieces[piece].inputs_read = false;
	ss->remaining++;
	j->state->paths_stale = true;
	mh_count(sc->k, "pieces_remade", 1);
	recompute_freed(sc, j, stage);
}

static void
recompute_freed(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((j->stages[stage].after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			if (!j->state->stages[s].pieces[i].needed &&
			    g_ptr_array_index(j->stages[s].results, i) == NULL)
				recompute(sc, j, s, i);
		}
	}
}

/*
 * Reports to the requester that stages which were reported as done are to be
 * recomputed.  Otherwise it would drop its record of their inputs once these
 * are recomputed; if this process then crashed, the next coordinator would get
 * results that no longer exist and notice it only by failing calls, one stage
 * at a time.  The last stage is reported first, as in all such reports.
 */
static void
report_lost_stages(struct mh_sched *sc, struct mh_job *j)
{
	const uint8_t *order = j->state->order;
	uint32_t unmade = j->state->lost_stages;

	j->state->lost_stages = 0;
	for (uint32_t n = j->n_stages; n > 0 && sc->ops.stage_changed != NULL;
	     n--) {
		if ((unmade >> order[n - 1] & 1) != 0)
			sc->ops.stage_changed(sc->ops.arg, j, order[n - 1]);
	}
}

void
mh_sched_recompute_freed(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	recompute_freed(sc, j, stage);
	report_lost_stages(sc, j);
}

static bool
is_suspect(struct mh_sched *sc, const struct piece_state *m)
{
	struct mh_node *n =
	    m->node == NULL ? NULL : mh_fleet_find(sc->f, m->node);

	return n == NULL || n->eject_until_us > mh_now(sc->k);
}

bool
mh_sched_inputs_suspect(
    struct mh_sched *sc, const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if ((j->stages[stage].after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			if (is_suspect(sc, &j->state->stages[s].pieces[i]))
				return true;
		}
	}
	return false;
}

/*
 * An endpoint did not find the inputs of a piece: recomputes the inputs at
 * suspect endpoints, or all of them if no endpoint is suspect.
 */
void
mh_sched_recompute_lost(struct mh_sched *sc, struct mh_job *j, uint32_t stage)
{
	bool any = false;

	for (int all = 0; all < 2 && !any; all++) {
		for (uint32_t s = 0; s < j->n_stages; s++) {
			struct stage_state *ss = &j->state->stages[s];

			if ((j->stages[stage].after >> s & 1) == 0)
				continue;
			for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
				if (ss->pieces[i].needed ||
				    (all == 0 &&
					!is_suspect(sc, &ss->pieces[i])))
					continue;
				recompute(sc, j, s, i);
				any = true;
			}
		}
	}
	report_lost_stages(sc, j);
}

void
mh_sched_recompute_from(struct mh_sched *sc, struct mh_job *j, const char *node)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct stage_state *ss = &j->state->stages[s];

		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			if (ss->pieces[i].node == node &&
			    !ss->pieces[i].needed &&
			    g_ptr_array_index(j->stages[s].results, i) != NULL)
				recompute(sc, j, s, i);
		}
	}
	report_lost_stages(sc, j);
}
