/**
 * DOC: Submits the stage work of a request and handles its end.
 */

#include "gateint.h"

#include <string.h>

/* A generated token costs an engine about ten times as much as a read one. */
#define OUT_TOKEN_WEIGHT 10
/* Part of a request's weight that does not depend on its size. */
#define FIXED_WEIGHT 0.3
#define SIZE_EWMA_WEIGHT 0.05
/* Time from the end of the stages to the first event: prefill and one step. */
#define ENGINE_US (150 * MH_US_PER_MS)
#define ENGINE_US_PER_TOKEN 40

/*
 * The weight of a request relative to the mean of its route: a fixed part, and
 * a part in proportion to its weighted tokens.
 */
static double
job_weight(struct mh_gate *g, const struct mh_greq *q)
{
	double size = q->tokens_in + OUT_TOKEN_WEIGHT * (double)q->tokens_out;
	double *mean = g_hash_table_lookup(g->sizes, q->route->name);

	if (size <= 0)
		return 1;
	if (mean == NULL) {
		mean = g_new(double, 1);
		*mean = size;
		g_hash_table_insert(g->sizes, g_strdup(q->route->name), mean);
	}
	*mean += SIZE_EWMA_WEIGHT * (size - *mean);
	return FIXED_WEIGHT + (1 - FIXED_WEIGHT) * size / *mean;
}

/*
 * The stages get the time that the engine does not need for the first event.
 * When a stream fails over, its next event is due now, and the caller leaves if
 * none arrives within the client timeout.
 */
static void
set_times(struct mh_gate *g, const struct mh_greq *q, struct mh_job *j)
{
	int64_t engine_us =
	    ENGINE_US + (int64_t)q->tokens_in * ENGINE_US_PER_TOKEN;
	int64_t leaves_us =
	    q->last_data_us + mh_gate_client_timeout_us(q->route);

	if (q->head_forwarded) {
		j->slo_us = mh_now(g->k) + q->route->gap_slo_us;
		j->deadline_us = MIN(q->expires_us, leaves_us) - engine_us;
	} else {
		j->slo_us = q->slo_by_us - engine_us;
		j->deadline_us = q->answer_by_us - engine_us;
	}
}

void
mh_gate_start_job(struct mh_gate *g, struct mh_greq *q)
{
	struct mh_job *j = mh_job_create(q->id);
	const struct mh_groute *r = q->route;
	struct mh_place_request a = { 0 };
	const struct mh_node *cached;

	mh_gate_fill_place(g, q, &a);
	cached = mh_place_affinity(g->place, &a);
	if (cached != NULL)
		j->domain = g_strdup(cached->domain);
	j->key = g_strdup(q->piece_key);
	j->route = g_strdup(r->name);
	j->fingerprint = q->fingerprint;
	j->priority = q->priority;
	j->refused_before = q->returned;
	j->resent = q->n_jobs > 0;
	j->weight = job_weight(g, q);
	j->arrived_us = q->arrived_us;
	set_times(g, q, j);
	j->n_stages = r->n_stages;
	for (uint32_t s = 0; s < r->n_stages; s++) {
		j->stages[s].pool = g_strdup(r->stages[s].pool);
		j->stages[s].after = r->stages[s].after;
		j->stages[s].result_bytes = r->stages[s].result_bytes;
		j->stages[s].pieces = s < q->n_pieces ? q->pieces[s] : 0;
	}
	j->submitter = q;
	q->job = j;
	q->n_jobs++;
	q->state = MH_GREQ_STAGES;
	mh_gate_set_limit(g, q);
	(void)mh_gate_wait_begin(g, q, MH_WAIT_STAGES);
	g->ops.submit(g->ops.jobs, j);
}

/* Refuses a request whose stage work will not be done. */
static void
refuse_unserved(struct mh_gate *g, struct mh_greq *q, enum mh_gate_refusal why,
    int64_t retry_us)
{
	if (q->runs > 0) /* an endpoint had it before its inputs were lost */
		mh_gate_refuse(g, q, MH_RUN_FAILED, retry_us);
	else if (mh_gate_limit_us(g, q) < q->answer_by_us)
		mh_gate_refuse(g, q, MH_NOT_READY, 0); /* exits too soon */
	else
		mh_gate_refuse(g, q, why, retry_us);
}

void
mh_gate_job_end(
    struct mh_gate *g, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct mh_greq *q = j->submitter;

	mh_gate_wait_over(q);
	switch (end) {
	case MH_JOB_DONE:
		mh_observe(g->k, "stage_work", mh_now(g->k) - q->arrived_us);
		q->state = MH_GREQ_TRYING;
		g_free(q->inputs);
		q->inputs = mh_job_final_results(j);
		mh_gate_try_next(g, q);
		return;
	case MH_JOB_REFUSED:
		q->job = NULL;
		mh_job_destroy(j);
		refuse_unserved(g, q, MH_TOO_BUSY, retry_us);
		return;
	case MH_JOB_QUARANTINED:
		q->job = NULL;
		mh_job_destroy(j);
		mh_gate_refuse(g, q,
		    q->runs > 0 ? MH_RUN_QUARANTINED : MH_QUARANTINED,
		    MAX(retry_us,
			mh_poison_quarantine_us(g->k, q->fingerprint)));
		return;
	case MH_JOB_FAILED:
	case MH_JOB_HANDED_OFF:
		q->job = NULL;
		mh_job_destroy(j);
		refuse_unserved(g, q, MH_NO_ENDPOINT, retry_us);
		return;
	}
}
