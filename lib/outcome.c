/**
 * DOC: Lookup of the outcome of a non-repeatable request, and revocation of
 * one that has not run, at the owner of its key.
 */

#include "entry.h"

#include <string.h>

#define LOOKUP_US (1 * MH_US_PER_S)

/* A failed lookup says nothing about the key: its outcome is "unknown". */
static void
refuse_lookup(struct entry *e, uint64_t caller, uint32_t status,
    const char *kind, const char *detail, const char *remedy)
{
	struct problem p = { .status = status,
		.kind = kind,
		.detail = detail,
		.remedy = remedy,
		.outcome = "unknown" };

	entry_problem(e, caller, &p);
}

static void
on_lookup_timeout(void *arg)
{
	struct lookup *l = arg;
	struct entry *e = l->e;

	refuse_lookup(e, l->caller, 503, "owner-silent",
	    "The key's owner did not answer.", "Ask again later.");
	g_hash_table_remove(e->lookups, &l->token);
}

void
outcome_free(void *arg)
{
	struct lookup *l = arg;

	mh_timer_stop(l->e->k, &l->timer);
	g_free(l);
}

const char *
entry_outcome_text(Mh__Outcome o)
{
	switch (o) {
	case MH__OUTCOME__DONE:
		return "done";
	case MH__OUTCOME__NOT_RUN:
		return "not-run";
	case MH__OUTCOME__RUNNING:
		return "running";
	case MH__OUTCOME__NOT_SEEN:
		return "not-seen";
	default:
		return "unknown";
	}
}

void
outcome_receive(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct entry *e = arg;
	const Mh__Outcomes *o = f->outcomes;
	struct lookup *l = g_hash_table_lookup(e->lookups, &o->token);
	json_t *j, *answer;

	(void)conn;
	if (l == NULL)
		return;
	j = json_pack("{s:s}", "outcome", entry_outcome_text(o->outcome));
	answer = json_loadb(
	    (const char *)o->body.data, o->body.len, JSON_DECODE_ANY, NULL);
	if (answer != NULL)
		json_object_set_new(j, "answer", answer);
	entry_reply(e, l->caller, 200, entry_dump(j), 0);
	g_hash_table_remove(e->lookups, &o->token);
}

static void
send_lookup(struct entry *e, struct mh_peer *p, const char *key, bool revoke,
    uint64_t caller)
{
	struct lookup *l = g_new0(struct lookup, 1);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Lookup m = MH__LOOKUP__INIT;

	l->e = e;
	l->token = mh_next_id(e->k);
	l->caller = caller;
	mh_timer_set(
	    e->k, &l->timer, entry_cap_us(e, LOOKUP_US), on_lookup_timeout, l);
	g_hash_table_insert(e->lookups, &l->token, l);
	m.token = l->token;
	m.key = (char *)(uintptr_t)key;
	m.partition = mh_partition_of(key);
	m.revoke = revoke;
	f.body_case = MH__FRAME__BODY_LOOKUP;
	f.lookup = &m;
	mh_frame_send(e->k, p->conn, &f);
}

/* GET looks the outcome up, DELETE revokes a request that has not run. */
void
outcome_request(struct entry *e, const struct mh_request_msg *m,
    const struct mh_key_match *who, bool revoke)
{
	char **part = g_strsplit(m->path + strlen(PREFIX_OUTCOMES), "/", 2);
	struct mh_pipeline *pl = NULL;
	const struct mh_stage *s;
	const struct mh_partition *owner;
	struct mh_peer *p;
	char *key;

	if (part[0] != NULL && part[1] != NULL && entry_key_is_valid(part[1]))
		pl = mh_decl_pipeline(mh_conf_get(e->k), part[0]);
	if (pl == NULL || !pipe_last_stage(pl)->at_most_once) {
		refuse_lookup(e, m->id, 404, "no-outcome",
		    "The path names no pipeline with a non-repeatable stage.",
		    "Use /v1/outcomes/PIPELINE/KEY.");
		g_strfreev(part);
		return;
	}
	s = pipe_last_stage(pl);
	key = g_strconcat(who->org->name, "/", part[1], NULL);
	owner = mh_owners_part(entry_owners(e, s->pool), mh_partition_of(key));
	p = mh_member_find(e->k, owner->vm);
	if (p == NULL || !p->up)
		refuse_lookup(e, m->id, 503, "owner-unreachable",
		    "The key's owner cannot be reached now.",
		    "Ask again later.");
	else
		send_lookup(e, p, key, revoke, m->id);
	g_free(key);
	g_strfreev(part);
}
