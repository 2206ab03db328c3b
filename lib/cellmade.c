/**
 * DOC: Results that were made: kept while needed, made again when lost.
 */

#include "cell.h"

#include <string.h>

static void need_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage);

/* ends of a job */

void
mh_cell_give_room(struct worker *w, uint64_t bytes)
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
		mh_cell_give_room(m->worker, st->result_bytes);
	m->worker = NULL;
	c->ops.discard(c->ops.arg, *slot);
	g_free(*slot);
	*slot = NULL;
}

void
mh_cell_drop_results(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	for (uint32_t i = 0; i < j->stages[stage].pieces; i++)
		drop_result(c, j, stage, i);
}

/* A result is named by its maker's address, a slash and a number. */
static const struct mh_node *
maker_of(struct mh_cell *c, struct cpool *p, const char *result)
{
	GPtrArray *nodes = mh_cell_nodes(c, p);
	size_t len = strcspn(result, "/");

	for (guint i = 0; i < nodes->len; i++) {
		const struct mh_node *n = g_ptr_array_index(nodes, i);

		if (strlen(n->addr) == len && memcmp(n->addr, result, len) == 0)
			return n;
	}
	return NULL;
}

/*
 * Results that are handed on take up room where they lie.  Not counted, their
 * endpoints are given work that they have no room for, and refuse it.
 */
void
mh_cell_know_makers(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	const struct mh_jstage *st = &j->stages[stage];
	struct sstate *ss = &j->state->stages[stage];

	for (uint32_t i = 0; i < st->pieces; i++) {
		const char *result = g_ptr_array_index(st->results, i);
		const struct mh_node *n =
		    result == NULL ? NULL : maker_of(c, ss->pool, result);

		if (n == NULL)
			continue;
		ss->made[i].node = g_intern_string(n->id);
		ss->made[i].worker = mh_cell_worker_of(ss->pool, n->id);
		ss->made[i].worker->held += st->result_bytes;
	}
}

/* The room that results take is no longer ours to count. */
static void
forget_makers(struct mh_job *j, uint32_t stage)
{
	const struct mh_jstage *st = &j->stages[stage];

	for (uint32_t i = 0; i < st->pieces; i++) {
		struct made *m = &j->state->stages[stage].made[i];

		if (m->worker != NULL)
			mh_cell_give_room(m->worker, st->result_bytes);
		m->worker = NULL;
	}
}

void
mh_cell_hand_on(struct mh_cell *c, struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		if (mh_job_wants(j, s))
			forget_makers(j, s);
		else
			mh_cell_drop_results(c, j, s);
	}
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
void
mh_cell_drop_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage)
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
			mh_cell_drop_results(c, j, s);
	}
}

/* Makes a result once more, and what it needs that was given up since. */
static void
remake(struct mh_cell *c, struct mh_job *j, uint32_t stage, uint32_t piece)
{
	struct sstate *ss = &j->state->stages[stage];

	drop_result(c, j, stage, piece);
	if (ss->left == 0)
		j->state->unmade |= 1U << stage;
	ss->made[piece].need = true;
	ss->made[piece].fed = false;
	ss->left++;
	j->state->stale = true;
	mh_count(c->k, "pieces_remade", 1);
	need_inputs(c, j, stage);
}

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

/*
 * Who asked was told that these stages are made.  Not told that they are made
 * again, it forgets their inputs when these are made, and should this process
 * die, the next home is given results that are gone and finds it out by calls
 * that fail, a stage at a time.  The last stage first, as in all that is told.
 */
static void
tell_unmade(struct mh_cell *c, struct mh_job *j)
{
	uint32_t unmade = j->state->unmade;

	j->state->unmade = 0;
	for (uint32_t s = j->n_stages; s > 0 && c->ops.step != NULL; s--) {
		if ((unmade >> (s - 1) & 1) != 0)
			c->ops.step(c->ops.arg, j, s - 1);
	}
}

/* Inputs that were freed, since a call had read them, are made again. */
void
mh_cell_need_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage)
{
	need_inputs(c, j, stage);
	tell_unmade(c, j);
}

static bool
in_doubt(struct mh_cell *c, const struct made *m)
{
	struct mh_node *n =
	    m->node == NULL ? NULL : mh_fleet_find(c->f, m->node);

	return n == NULL || n->out_until_us > mh_now(c->k);
}

bool
mh_cell_doubts_inputs(struct mh_cell *c, const struct mh_job *j, uint32_t stage)
{
	for (uint32_t s = 0; s < stage; s++) {
		if ((j->stages[stage].after >> s & 1) == 0)
			continue;
		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			if (in_doubt(c, &j->state->stages[s].made[i]))
				return true;
		}
	}
	return false;
}

/*
 * The results that a piece was to read are gone: those whose maker is in
 * doubt are made again, or all where none is.
 */
void
mh_cell_remake_inputs(struct mh_cell *c, struct mh_job *j, uint32_t stage)
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
	tell_unmade(c, j);
}

void
mh_cell_remake_from(struct mh_cell *c, struct mh_job *j, const char *node)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct sstate *ss = &j->state->stages[s];

		for (uint32_t i = 0; i < j->stages[s].pieces; i++) {
			if (ss->made[i].node == node && !ss->made[i].need &&
			    g_ptr_array_index(j->stages[s].results, i) != NULL)
				remake(c, j, s, i);
		}
	}
	tell_unmade(c, j);
}
