/**
 * DOC: Requests, and parts of their prompts, that crash endpoints.
 */

#include "gateint.h"

#include <string.h>

/*
 * An endpoint that goes on for so long after its first event has not crashed
 * as it began to write.
 */
#define BEGUN_US (100 * MH_US_PER_MS)

uint32_t
mh_gate_parts(const struct mh_greq *q, uint64_t names[MH_PARTS_MAX])
{
	for (uint32_t i = 0; i + 1 < q->n_parts; i++)
		names[i] = mh_poison_part(q->parts[i].id, q->pool);
	return q->n_parts == 0 ? 0 : q->n_parts - 1;
}

bool
mh_gate_refuse_quarantined(struct mh_gate *g, struct mh_greq *q)
{
	uint64_t names[MH_PARTS_MAX];
	char parts[MH_PARTS_LEN];
	int64_t us = mh_poison_quarantine_us(g->k, q->fingerprint);
	bool by_part = us == 0 && q->n_parts > 1;

	if (by_part)
		us = mh_poison_parts_quarantine_us(
		    g->k, names, mh_gate_parts(q, names));
	if (us == 0)
		return false;
	mh_event(g->k, "held",
	    "id=%s print=%016" PRIx64 " runs=%u sent=%d left_ms=%" PRId64
	    " parts=%s",
	    q->id, q->fingerprint, q->runs, q->cur != NULL, mh_ms(us),
	    by_part ? mh_gate_parts_text(q, parts) : "-");
	if (by_part)
		mh_count(g->k, "refused_by_part", 1);
	if (q->runs > 0 || q->cur != NULL)
		mh_gate_refuse(g, q, MH_RUN_QUARANTINED, 0);
	else
		mh_gate_refuse(g, q, MH_QUARANTINED, us);
	return true;
}

/*
 * A try that goes on would crash its endpoint too, and with it the requests of
 * other callers there.  So open requests are refused at once.
 */
void
mh_gate_quarantine(struct mh_gate *g)
{
	GList *all = g_hash_table_get_keys(g->requests);

	for (GList *l = all; l != NULL; l = l->next) {
		struct mh_greq *q = l->data;

		if (q->pool != NULL)
			(void)mh_gate_refuse_quarantined(g, q);
	}
	g_list_free(all);
}

/*
 * The endpoint may have crashed.  One that is draining or no longer listed is
 * expected to exit, which is no evidence against the request.
 */
void
mh_gate_note_break(
    struct mh_gate *g, const struct mh_try *t, const struct mh_node *n)
{
	uint64_t names[MH_PARTS_MAX];
	struct mh_poison_break e = { t->node, t->req->pool, t->req->fingerprint,
		t->sent_us,
		t->head_us != 0 &&
		    mh_now(g->k) - t->head_us > MH_POISON_EARLY_US,
		names, mh_gate_parts(t->req, names) };

	if (n != NULL && !n->draining)
		mh_poison_call_broke(g->k, &e);
}

void
mh_gate_note_parts(struct mh_gate *g, const struct mh_greq *q)
{
	uint64_t names[MH_PARTS_MAX];
	uint32_t n = mh_gate_parts(q, names);

	if (n > 0)
		mh_poison_parts_answered(g->k, names, n, q->pool);
}

void
mh_gate_note_answering(struct mh_gate *g, struct mh_try *t)
{
	if (t->first_event_us == 0)
		t->first_event_us = mh_now(g->k);
	if (t->parts_answered || mh_now(g->k) - t->first_event_us < BEGUN_US)
		return;
	t->parts_answered = true;
	mh_gate_note_parts(g, t->req);
}
