/**
 * DOC: Log lines about the end of a request.
 */

#include "gateint.h"

const char *
mh_gate_stream_after(const struct mh_greq *q)
{
	const char *id =
	    q->cursor == NULL ? NULL : mh_cursor_last_id(q->cursor);

	return id == NULL ? "-" : id;
}

const char *
mh_gate_parts_text(const struct mh_greq *q, char text[MH_PARTS_LEN])
{
	size_t len = 0;

	g_strlcpy(text, "-", MH_PARTS_LEN);
	for (uint32_t i = 0; i + 1 < q->n_parts; i++)
		len += (size_t)g_snprintf(text + len, MH_PARTS_LEN - len,
		    "%s%" PRIx64, i == 0 ? "" : ",", q->parts[i].id);
	return text;
}

size_t
mh_gate_stream_buffered(const struct mh_greq *q)
{
	return q->cur == NULL || q->cur->events == NULL
	    ? 0
	    : mh_sse_pending_bytes(q->cur->events);
}

const char *
mh_gate_refusal_name(enum mh_gate_refusal why)
{
	static const char *const names[] = { [MH_NOT_READY] = "not_ready",
		[MH_NO_ROUTE] = "no_route",
		[MH_BAD_KEY] = "bad_key",
		[MH_BAD_REQUEST] = "bad_request",
		[MH_TOO_BUSY] = "too_busy",
		[MH_NO_MEMORY] = "no_memory",
		[MH_NO_ENDPOINT] = "no_endpoint",
		[MH_NOT_IN_TIME] = "not_in_time",
		[MH_VERSION_UNKNOWN] = "version_unknown",
		[MH_VERSION_GONE] = "version_gone",
		[MH_QUARANTINED] = "held",
		[MH_RUN_QUARANTINED] = "run_held",
		[MH_RUN_FAILED] = "run_failed",
		[MH_RUN_TIMEOUT] = "run_timeout" };

	return names[why];
}

void
mh_gate_log_end(struct mh_gate *g, const struct mh_greq *q, const char *outcome,
    int64_t retry_us)
{
	int64_t now = mh_now(g->k);

	mh_event(g->k, "end",
	    "id=%s route=%s outcome=%s org=%s config=%" PRIu64
	    " took_ms=%" PRId64 " aim_ms=%" PRId64 " left_ms=%" PRId64
	    " tries=%u runs=%u returned=%d head=%d node=%s retry_ms=%" PRId64,
	    q->id, q->route != NULL ? q->route->name : "-", outcome,
	    q->org != NULL ? q->org->name : "-",
	    q->conf != NULL ? q->conf->version : 0, mh_ms(now - q->arrived_us),
	    mh_ms(q->slo_by_us - now), mh_ms(q->expires_us - now), q->n_tried,
	    q->runs, q->returned, q->head_forwarded,
	    q->n_tried > 0 ? q->tried[q->n_tried - 1] : "-", mh_ms(retry_us));
}

static const char *
state_name(enum mh_greq_state state)
{
	static const char *const names[] = { [MH_GREQ_STAGES] = "stages",
		[MH_GREQ_TRYING] = "sent",
		[MH_GREQ_ANSWERING] = "answering",
		[MH_GREQ_ENDED] = "ended" };

	return names[state];
}

/* The caller of this request gets no answer; logs how far it had come. */
void
mh_gate_log_cut(struct mh_gate *g, const struct mh_greq *q)
{
	uint32_t n_done = 0, stages = 0;

	for (uint32_t s = 0; q->job != NULL && s < q->job->n_stages; s++) {
		const struct mh_job_stage *st = &q->job->stages[s];

		stages += st->pieces > 0;
		n_done += st->pieces > 0 && mh_job_stage_done(st);
	}
	mh_count(g->k, "cut", 1);
	mh_event(g->k, "cut",
	    "id=%s state=%s stages_made=%u/%u waited_ms=%" PRId64
	    " left_ms=%" PRId64 " tries=%u runs=%u node=%s",
	    q->id, state_name(q->state), n_done, stages,
	    mh_ms(mh_now(g->k) - q->arrived_us),
	    mh_ms(q->expires_us - mh_now(g->k)), q->n_tried, q->runs,
	    q->n_tried > 0 ? q->tried[q->n_tried - 1] : "-");
}
