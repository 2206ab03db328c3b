/**
 * DOC: Log lines of the mesh: lost peers, and who reads for whom.
 */

#include "meshint.h"

/*
 * The lines of a peer whose links come and go are limited in each FLAP_US; one
 * more line has the numbers, so that other warnings remain in a short log.
 */
#define FLAP_US (10 * MH_US_PER_S)
#define FLAP_LOSSES 2
#define FLAP_UPS 4 /* two connections, and the same after a restart */

static bool
may_log(struct peer *p, uint32_t *n, uint32_t most)
{
	if (p->flap_from_us == 0)
		p->flap_from_us = mh_now(p->m->k);
	return ++*n <= most;
}

void
mh_peer_log_up(struct peer *p, const struct mh_link_msg *l)
{
	if (may_log(p, &p->ups, FLAP_UPS))
		mh_event(p->m->k, "peer-up", "node=%s addr=%s inbound=%d",
		    p->node, l->addr, l->inbound);
}

/* Time since bytes last arrived over a connection; -1: never. */
static int64_t
quiet_ms(const struct peer *p, const struct peer_conn *c)
{
	return c->recv_us == 0 ? -1 : mh_ms(mh_now(p->m->k) - c->recv_us);
}

void
mh_peer_log_lost(struct peer *p, const char *why)
{
	if (!may_log(p, &p->losses, FLAP_LOSSES))
		return;
	mh_event(p->m->k, "peer-lost",
	    "node=%s why=%s silent_ms=%" PRId64 " out_ms=%" PRId64
	    " in_ms=%" PRId64 " read_for_us=%d",
	    p->node, why, mh_ms(mh_now(p->m->k) - p->last_recv_us),
	    quiet_ms(p, &p->out), quiet_ms(p, &p->in), p->can_read);
}

void
mh_peer_log_silent(struct peer *p, const struct peer_conn *c)
{
	if (may_log(p, &p->silent_links, FLAP_LOSSES))
		mh_event(p->m->k, "link-silent",
		    "node=%s inbound=%d recv_ms=%" PRId64 " sent_ms=%" PRId64
		    " frames=%" PRIu64 " proven=%d",
		    p->node, c == &p->in, quiet_ms(p, c),
		    mh_ms(mh_now(p->m->k) - c->sent_us), c->received,
		    c->proven_us != 0);
}

void
mh_peer_log_flaps(struct peer *p)
{
	int64_t now = mh_now(p->m->k);
	bool flaps = p->losses > FLAP_LOSSES || p->ups > FLAP_UPS ||
	    p->silent_links > FLAP_LOSSES;

	if (p->flap_from_us == 0 || now - p->flap_from_us < FLAP_US)
		return;
	if (flaps)
		mh_event(p->m->k, "peer-flaps",
		    "node=%s ups=%u losses=%u silent=%u over_ms=%" PRId64
		    " out_ms=%" PRId64 " in_ms=%" PRId64,
		    p->node, p->ups, p->losses, p->silent_links,
		    mh_ms(now - p->flap_from_us), quiet_ms(p, &p->out),
		    quiet_ms(p, &p->in));
	p->flap_from_us = 0;
	p->ups = p->losses = p->silent_links = 0;
}

char *
mh_mesh_readers_text(const struct mh_mesh *m)
{
	GString *s = g_string_new(NULL);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (!mh_mesh_reads_for(m, p))
			continue;
		g_string_append_printf(
		    s, "%s%s", s->len > 0 ? "," : "", p->node);
	}
	return g_string_free(s, FALSE);
}

uint32_t
mh_mesh_live_peers(const struct mh_mesh *m)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		n += mh_peer_is_alive(value);
	return n;
}
