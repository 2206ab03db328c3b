/**
 * DOC: Entries that the platform's list lacks, announced by other entries.
 */

#include "meshint.h"

/* How long an announced entry counts as a member... */
#define ANNOUNCED_US (10 * MH_US_PER_S)
/* ...and the least interval between two announcements to one entry. */
#define ANNOUNCE_INTERVAL_US (200 * MH_US_PER_MS)

/*
 * All entries that rank one must use exactly the same weight, so weights are
 * rounded to the unit in which they are sent.
 */
uint32_t
mh_weight_units(double weight)
{
	return MAX((uint32_t)(weight * WEIGHT_UNIT + 0.5), 1);
}

bool
mh_peer_is_member(const struct peer *p)
{
	return p->listed || mh_now(p->m->k) < p->announced_until_us;
}

/*
 * An entry whose requests the store refuses drops out of the store's list after
 * some seconds, though it still serves. Entries that read the list earlier
 * still take it for the coordinator; one that restarts reads the list without
 * it and would choose another coordinator, which calls the same endpoints for
 * as long as the store refuses the first. So an entry that receives work which
 * another one coordinates announces that coordinator to the sender.
 */
void
mh_mesh_announce(struct mh_mesh *m, const char *node, const char *coordinator)
{
	struct peer *to = g_hash_table_lookup(m->peers, node);
	struct peer *p = g_hash_table_lookup(m->peers, coordinator);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Known k = MH__KNOWN__INIT;

	if (to == NULL || to == p || p == NULL || p->addr == NULL ||
	    mh_peer_link(to) == 0 ||
	    (to->last_announce_us != 0 &&
		mh_now(m->k) - to->last_announce_us < ANNOUNCE_INTERVAL_US))
		return;
	to->last_announce_us = mh_now(m->k);
	k.node = p->node;
	k.addr = p->addr;
	k.weight = mh_weight_units(p->weight);
	f.body_case = MH__FRAME__BODY_KNOWN;
	f.known = &k;
	mh_peer_send(to, &f);
}

void
mh_mesh_take_known(struct mh_mesh *m, const Mh__Known *k)
{
	char host[MH_HOST_LEN];
	uint16_t port;
	struct peer *p;

	if (*k->node == '\0' || strcmp(k->node, m->node) == 0 ||
	    !mh_addr_parse(k->addr, host, &port))
		return;
	p = mh_peer_of(m, k->node);
	if (!mh_peer_is_member(p))
		mh_event(
		    m->k, "entry-told-of", "node=%s addr=%s", k->node, k->addr);
	p->announced_until_us = mh_now(m->k) + ANNOUNCED_US;
	if (p->listed)
		return; /* address and weight of the list take precedence */
	p->weight = k->weight / WEIGHT_UNIT;
	g_free(p->addr);
	p->addr = g_strdup(k->addr);
}
