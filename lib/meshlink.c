/**
 * DOC: Links of the mesh: what proves a connection, and a peer, alive.
 *
 * Two entries have two connections if both dialled, and either may go silent
 * for good without a reset, in one direction or both.  So each connection is
 * judged by itself.  Each carries heartbeats that say how much the sender has
 * received on it: what arrives proves one direction, and a count that grows
 * proves the other.  A peer is alive if one of its connections is proven in
 * both directions.  A handshake alone is no proof.
 */

#include "meshint.h"

#include <string.h>

/*
 * Three heartbeats and the network delay: a running process sends a heartbeat
 * within this time.
 */
#define SILENT_US (850 * MH_US_PER_MS)
/* The same both ways: our heartbeat, and that of the peer, which counts it. */
#define UNSENT_US (2 * SILENT_US)
/* A new connection needs two round trips for its proof. */
#define PROOF_US (3 * MH_US_PER_S)
#define REDIAL_US (500 * MH_US_PER_MS)
#define STARTUP_REDIAL_US (100 * MH_US_PER_MS)
/*
 * A first packet to a VM that is not powered on yet is lost, and TCP
 * retransmits it a second later; links open within some tens of milliseconds.
 * Each further dial may take twice as long, so that a link over a congested
 * network opens in the end.
 */
#define DIAL_TIMEOUT_US (150 * MH_US_PER_MS)
#define DIAL_DOUBLINGS 4 /* above, the link times out first */
/* The order skips an entry that has been unreachable for this long. */
#define UNREACHABLE_US (1 * MH_US_PER_S)
/*
 * A peer whose link ends within STEADY_US of its proof counts as alive only
 * after the next one has worked for a while.
 */
#define STEADY_US (10 * MH_US_PER_S)
#define PROBATION_US (2 * SILENT_US)

/* Whether it sends heartbeats on each connection, as earlier versions don't. */
static bool
reports(const struct peer_conn *c)
{
	return c->peer_received > 0;
}

/* Whether the connection works in both directions, as far as is known yet. */
static bool
works(const struct peer *p, const struct peer_conn *c)
{
	int64_t now = mh_now(p->m->k);

	if (c->id == 0)
		return false;
	if (c->has_heartbeat && !reports(c))
		return now - p->last_recv_us < SILENT_US;
	return now - c->recv_us < SILENT_US &&
	    now - c->sent_us < (c->proven_us != 0 ? UNSENT_US : PROOF_US);
}

static bool
is_proven(const struct peer *p, const struct peer_conn *c)
{
	return works(p, c) && c->proven_us != 0 &&
	    c->recv_us - c->proven_us >= p->probation_us;
}

/* The better of the two connections, with what is proven first. */
static struct peer_conn *
best_conn(struct peer *p)
{
	if (is_proven(p, &p->out))
		return &p->out;
	if (is_proven(p, &p->in))
		return &p->in;
	if (p->out.id == 0)
		return p->in.id == 0 ? NULL : &p->in;
	return p->in.id == 0 || works(p, &p->out) ? &p->out : &p->in;
}

/*
 * More was sent over a connection than was kept: both sides start over.  The
 * peer must know before we do.
 */
static void
frames_lost(struct peer *p)
{
	struct mh_mesh *m = p->m;

	mh_count(m->k, "link_frames_lost", 1);
	p->times_lost++;
	mh_peer_forget(p);
	if (p->used != NULL)
		mh_peer_heartbeat(p, p->used);
	if (m->on_lost != NULL)
		m->on_lost(m->on_lost_arg, p->node);
}

/* We send on @c no more, as it has ended or doesn't work. */
static void
leave_conn(struct peer *p, struct peer_conn *c)
{
	bool all_kept = c->unkept_frame == 0;

	c->unkept_frame = 0;
	mh_conn_move(p, c);
	if (!all_kept)
		frames_lost(p);
}

/*
 * We send on one connection as long as it works, so that frames keep their
 * order, unless another one is proven and it is not.
 */
static void
choose_conn(struct peer *p)
{
	struct peer_conn *before = p->used;

	if (before != NULL && before->id != 0 && is_proven(p, before))
		return;
	p->used = best_conn(p);
	if (before != NULL && before != p->used)
		leave_conn(p, before);
	if (p->used != NULL && is_proven(p, p->used))
		mh_peer_resend(p);
}

uint64_t
mh_peer_link(const struct peer *p)
{
	return p->used == NULL ? 0 : p->used->id;
}

bool
mh_peer_is_alive(const struct peer *p)
{
	return is_proven(p, &p->out) || is_proven(p, &p->in);
}

/*
 * The peer sent it after it had received the heartbeat of ours that it reports.
 * An earlier version reports none; what it sends is taken for just sent.
 */
int64_t
mh_peer_late_us(const struct peer *p)
{
	return p->heartbeat_us == 0 ? INT64_MAX
				    : mh_now(p->m->k) - p->heartbeat_us;
}

static void
note_reported(struct peer_conn *c, uint64_t frames)
{
	for (uint32_t i = 0; i < MIN(c->n_sent, HEARTBEATS_TIMED); i++) {
		if (c->sent[i].frame <= frames)
			c->reported_us = MAX(c->reported_us, c->sent[i].at_us);
	}
	mh_conn_reported(c, frames);
}

/*
 * The peer has dropped what it had from us and started over, while we had a
 * connection all the time.
 */
static void
lost_by_peer(struct peer *p, uint64_t losses)
{
	p->reported_losses = losses;
	mh_peer_forget(p);
	if (p->m->on_lost != NULL)
		p->m->on_lost(p->m->on_lost_arg, p->node);
}

/* Frames of an earlier version count as proof of both directions. */
void
mh_peer_note_heartbeat(struct peer *p, struct peer_conn *c, const Mh__Beat *b)
{
	int64_t now = mh_now(p->m->k);
	bool first = !c->has_heartbeat;
	bool grown = b->received > MAX(c->peer_received, 1);

	c->has_heartbeat = true;
	c->peer_received = b->received;
	if (b->received == 0)
		mh_peer_forget(p); /* it counts none */
	else
		note_reported(c, b->frames);
	if (grown || b->received == 0)
		c->sent_us = now;
	if ((grown || b->received == 0) && c->proven_us == 0) {
		c->proven_us = now;
		p->unreachable = false;
		p->first_dial_us = 0;
		p->dial_timeouts = 0;
	}
	choose_conn(p);
	if (b->losses > p->reported_losses)
		lost_by_peer(p, b->losses);
	mh_peer_resend(p);
	/* The peer needs it as proof, and must not wait for the next one. */
	if (first)
		mh_peer_heartbeat(p, c);
}

struct peer_conn *
mh_peer_note_received(struct peer *p, uint64_t conn)
{
	struct peer_conn *c = p->out.id == conn ? &p->out : &p->in;

	p->last_recv_us = c->recv_us = mh_now(p->m->k);
	c->received++;
	return c;
}

void
mh_peer_note_part(struct peer *p, uint64_t conn)
{
	struct peer_conn *c = mh_peer_note_received(p, conn);

	/* The heartbeats that count our frames are queued behind it. */
	if (c->proven_us != 0)
		c->sent_us = c->recv_us;
}

void
mh_peer_resumed(struct peer *p)
{
	/* Frames that it sent during the pause are still unread. */
	if (p->out.id != 0 || p->in.id != 0)
		p->last_recv_us = mh_now(p->m->k);
	p->out.recv_us = p->out.sent_us = p->last_recv_us;
	p->in.recv_us = p->in.sent_us = p->last_recv_us;
}

/* links */

static void
add_conn(struct mh_mesh *m, uint64_t conn, struct peer *p)
{
	g_hash_table_replace(m->conns, g_memdup2(&conn, sizeof(conn)), p);
}

static void
drop_link(struct mh_mesh *m, uint64_t *slot)
{
	uint64_t conn = *slot;

	*slot = 0;
	if (conn == 0)
		return;
	g_hash_table_remove(m->conns, &conn);
	mh_link_close(m->k, conn);
}

/*
 * Forgets a connection, which is closed already or by this.  What the peer has
 * not reported waits for its first heartbeat over another one, which says
 * whether it has lost us.
 */
static void
end_conn(struct peer *p, struct peer_conn *c)
{
	drop_link(p->m, &c->id);
	c->proven_us = 0;
	choose_conn(p);
	leave_conn(p, c);
	if (p->used != NULL && is_proven(p, p->used))
		mh_peer_resend(p);
}

static void
start_probation(struct peer *p, int64_t proven_us)
{
	bool steady = mh_now(p->m->k) - proven_us >= STEADY_US;

	p->probation_us = steady ? 0 : PROBATION_US;
}

/* @proven_us: when its last connection was proven; 0: it was not */
static void
peer_lost(struct peer *p, const char *why, int64_t proven_us)
{
	struct mh_mesh *m = p->m;

	mh_peer_log_lost(p, why);
	mh_count(m->k, "peer_losses", 1);
	mh_peer_forget(p);
	p->times_lost++;
	if (proven_us != 0)
		start_probation(p, proven_us);
	p->ready = false;
	p->can_read = false;
	if (m->on_lost != NULL)
		m->on_lost(m->on_lost_arg, p->node);
}

/*
 * The peer has restarted, perhaps without a reset of its connections: what was
 * sent to the process before is lost.  Its numbers begin again.
 */
static void
new_process(struct peer *p, uint64_t incarnation)
{
	bool was_linked = p->used != NULL;

	p->incarnation = incarnation;
	p->uptime_us = 0;
	p->heartbeat_us = 0;
	p->received_number = 0;
	memset(p->received_bits, 0, sizeof(p->received_bits));
	p->reported_losses = 0;
	end_conn(p, &p->out);
	end_conn(p, &p->in);
	mh_peer_forget(p);
	if (was_linked)
		peer_lost(p, "restarted", 0);
	p->probation_us = 0;
}

void
mh_mesh_link_up(struct mh_mesh *m, const struct mh_link_msg *l)
{
	struct peer *p = mh_peer_of(m, l->vm);
	struct peer_conn *c = l->inbound ? &p->in : &p->out;
	int64_t now = mh_now(m->k);

	if (p->incarnation != l->incarnation)
		new_process(p, l->incarnation);
	if (c->id == l->conn)
		c->id = 0;
	/* The peer has found it silent before we did. */
	if (c->proven_us != 0 && now - c->recv_us >= 2 * HEARTBEAT_US)
		start_probation(p, c->proven_us);
	end_conn(p, c);
	*c = (struct peer_conn) {
		.id = l->conn, .recv_us = now, .sent_us = now
	};
	if (!l->inbound)
		p->dial_conn = 0;
	if (p->addr == NULL)
		p->addr = g_strdup(l->addr);
	p->last_recv_us = now;
	p->oldest_start_us = INT64_MAX; /* until its first heartbeat */
	if (p->started_us == 0)
		p->started_us = now;
	p->last_request_us = 0;
	p->requested = 0;
	add_conn(m, l->conn, p);
	choose_conn(p);
	/*
	 * The peer must not wait for our next periodic heartbeat to learn that
	 * we can serve.
	 */
	mh_peer_heartbeat(p, c);
	mh_peer_log_up(p, l);
	for (uint32_t i = 0; i < m->n_on_up; i++)
		m->on_up[i].fn(m->on_up[i].arg, p->node);
}

/*
 * While all entries start together most dials fail at first. When these peers
 * counted as unreachable at once, each entry went on to the next of the order
 * until every entry was linked to every other.
 */
static void
note_dial_failed(struct peer *p)
{
	p->unreachable = p->first_dial_us != 0 &&
	    mh_now(p->m->k) - p->first_dial_us >= UNREACHABLE_US;
}

/* Ends the connection if it is that one, which is closed already. */
static void
end_if(struct peer *p, struct peer_conn *c, uint64_t conn)
{
	if (c->id != conn)
		return;
	c->id = 0;
	end_conn(p, c);
}

void
mh_mesh_link_down(struct mh_mesh *m, uint64_t conn)
{
	struct peer *p = g_hash_table_lookup(m->conns, &conn);
	int64_t proven_us;
	bool was_linked;

	if (p == NULL)
		return;
	proven_us = MAX(p->out.proven_us, p->in.proven_us);
	was_linked = mh_peer_link(p) != 0;
	if (!was_linked)
		note_dial_failed(p);
	g_hash_table_remove(m->conns, &conn);
	if (p->dial_conn == conn)
		p->dial_conn = 0;
	end_if(p, &p->out, conn);
	end_if(p, &p->in, conn);
	if (was_linked && mh_peer_link(p) == 0)
		peer_lost(p, "closed", proven_us);
}

static void
check_link(struct peer *p, struct peer_conn *c)
{
	int64_t proven_us = c->proven_us;

	if (c->id == 0 || works(p, c))
		return;
	mh_peer_log_silent(p, c);
	if (proven_us == 0)
		note_dial_failed(p);
	/* A new connection may work although this one has gone silent. */
	end_conn(p, c);
	if (c == &p->out)
		p->next_dial_us = mh_now(p->m->k);
	if (mh_peer_link(p) != 0)
		return;
	peer_lost(p, "silent", proven_us);
}

static void
check_dial_timeout(struct peer *p)
{
	int64_t late_us = DIAL_TIMEOUT_US
	    << MIN(p->dial_timeouts, DIAL_DOUBLINGS);

	if (p->dial_conn == 0 || mh_now(p->m->k) - p->dial_start_us < late_us)
		return;
	p->dial_timeouts++;
	mh_count(p->m->k, "dials_hung", 1);
	drop_link(p->m, &p->dial_conn);
	note_dial_failed(p);
	p->next_dial_us = mh_now(p->m->k);
}

void
mh_peer_check_links(struct peer *p)
{
	check_link(p, &p->out);
	check_link(p, &p->in);
	choose_conn(p);
	check_dial_timeout(p);
}

void
mh_peer_dial(struct peer *p)
{
	struct mh_mesh *m = p->m;
	int64_t now = mh_now(m->k);

	if (p->out.id != 0 || p->dial_conn != 0 || p->addr == NULL ||
	    !p->want_link || !mh_peer_is_member(p) || now < p->next_dial_us)
		return;
	p->dial_conn = mh_next_id(m->k);
	p->dial_start_us = now;
	if (p->first_dial_us == 0)
		p->first_dial_us = now;
	p->next_dial_us =
	    now + (mh_mesh_is_starting(m) ? STARTUP_REDIAL_US : REDIAL_US);
	add_conn(m, p->dial_conn, p);
	mh_link_dial(m->k, p->dial_conn, p->addr);
}
