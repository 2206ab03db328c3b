/**
 * DOC: Chooses the endpoint for a call of a stage.
 *
 * A repeatable call is routed; a non-repeatable one goes to the owner of the
 * partition of its key.
 */

#include "entry.h"

#include "poison.h"

#define KEY_CANDIDATES 16

/*
 * Assigns a key to a request without one: draws a few keys and takes the one
 * whose owner has the fewest calls of this process.  Each pick draws anew, so
 * that a refused key is never used again.
 */
static struct mh_peer *
assign_key(struct request *r, struct mh_owners *o)
{
	struct mh_peer *best = NULL;

	for (int i = 0; i < KEY_CANDIDATES; i++) {
		uint8_t id[MH_ID_LEN];
		char *text, *key;
		const struct mh_partition *part;
		struct mh_peer *p;

		mh_uuid7(r->e->k, id);
		text = mh_uuid_text(id);
		key = g_strconcat(r->org->name, "/", text, NULL);
		part = mh_owners_part(o, mh_partition_of(key));
		p = mh_member_find(r->e->k, part->vm);
		if (p != NULL && mh_member_usable(r->e->k, p) &&
		    p->incarnation == part->incarnation &&
		    part->bound_ms < mh_uuid7_ms(text) &&
		    (best == NULL || p->own_calls < best->own_calls)) {
			best = p;
			g_free(r->key);
			r->key = key;
			key = NULL;
		}
		g_free(text);
		g_free(key);
	}
	return best;
}

static struct mh_peer *
pick_owner(struct request *r, const struct mh_stage *s)
{
	struct mh_owners *o = entry_owners(r->e, s->pool);
	const struct mh_partition *part;
	struct mh_peer *p;

	if (!r->key_given)
		return assign_key(r, o);
	part = mh_owners_part(o, mh_partition_of(r->key));
	p = mh_member_find(r->e->k, part->vm);
	if (p == NULL || !mh_member_usable(r->e->k, p))
		return NULL;
	return p;
}

struct mh_peer *
pick_endpoint(struct request *r, const struct mh_stage *s)
{
	struct mh_pick q = { .pool = s->pool };

	if (s->at_most_once)
		return pick_owner(r, s);
	q.isolation_hash =
	    mh_poison_isolation_hash(r->e->k, r->fingerprint, s->pool);
	if (r->picks > 0) {
		q.avoid_vm = r->last_vm;
		q.avoid_domain = r->last_domain;
	} else if (mh_decl_pool(r->decl, s->pool)->prefix_cache) {
		q.affinity = r->affinity;
	}
	return mh_route_pick(r->e->k, &q);
}
