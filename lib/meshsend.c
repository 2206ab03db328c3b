/**
 * DOC: Sending over the mesh.
 *
 * What an entry sends to one other entry is numbered, and kept until the other
 * reports it.  If the connection dies and there is another one, or the next one
 * comes before the loss is noticed, it is sent again there, and who gets it
 * twice drops it.  Else the peer is lost, and the callers of mh_mesh_on_lost()
 * start over, at both sides: heartbeats say how often one has lost the other.
 */

#include "meshint.h"

/*
 * Bounds of what is kept for one connection: a second at a busy coordinator.
 * Views aren't numbered; they are requested again.
 */
#define KEPT_BYTES (64U << 10) /* of one frame */
#define KEPT_FRAMES (NUMBERS_KEPT / 2)

/** struct unreported - a frame that the peer has not reported. */
struct unreported {
	uint64_t frame; /* its place among those sent over the connection */
	GBytes *bytes;
};

static void
free_unreported(struct unreported *u)
{
	g_bytes_unref(u->bytes);
	g_free(u);
}

static void
send_bytes(struct mh_mesh *m, struct peer_conn *c, GBytes *frame)
{
	struct mh_msg *msg = mh_msg_new(MH_MSG_LINK_SEND);

	c->frames_out++;
	msg->u.link.conn = c->id;
	msg->u.link.frame = g_bytes_ref(frame);
	mh_count(m->k, "link_frames_out", 1);
	mh_count(m->k, "link_bytes_out", g_bytes_get_size(frame) + 4);
	mh_post(m->k, "link", msg);
}

void
mh_conn_send(struct mh_mesh *m, struct peer_conn *c, Mh__Frame *f)
{
	GBytes *frame = mh_frame_pack(f);

	send_bytes(m, c, frame);
	g_bytes_unref(frame);
}

void
mh_peer_send(struct peer *p, Mh__Frame *f)
{
	if (p->used != NULL)
		mh_conn_send(p->m, p->used, f);
}

/* Keeps a frame that is sent as number @frame of its connection. */
static void
keep(GQueue *q, GBytes *bytes, uint64_t frame)
{
	struct unreported *u = g_new0(struct unreported, 1);

	u->frame = frame;
	u->bytes = g_bytes_ref(bytes);
	g_queue_push_tail(q, u);
}

static void
send_kept(struct mh_mesh *m, struct peer_conn *c, GBytes *bytes)
{
	send_bytes(m, c, bytes);
	if (g_bytes_get_size(bytes) > KEPT_BYTES ||
	    g_queue_get_length(&c->unreported) == KEPT_FRAMES)
		c->unkept_frame = c->frames_out;
	else
		keep(&c->unreported, bytes, c->frames_out);
}

static void
send_numbered(struct peer *p, Mh__Frame *f)
{
	GBytes *bytes;

	f->number = ++p->sent_number;
	bytes = mh_frame_pack(f);
	/* Behind what waits for the proof of a new connection. */
	if (g_queue_is_empty(&p->unreported))
		send_kept(p->m, p->used, bytes);
	else
		keep(&p->unreported, bytes, 0);
	g_bytes_unref(bytes);
}

bool
mh_mesh_send(struct mh_mesh *m, const char *node, Mh__Frame *f)
{
	struct peer *p = g_hash_table_lookup(m->peers, node);

	if (p == NULL || p->used == NULL)
		return false;
	send_numbered(p, f);
	return true;
}

void
mh_mesh_send_all(struct mh_mesh *m, Mh__Frame *f)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct peer *p = value;

		if (p->used != NULL)
			send_numbered(p, f);
	}
}

void
mh_conn_reported(struct peer_conn *c, uint64_t frames)
{
	const struct unreported *u;

	while ((u = g_queue_peek_head(&c->unreported)) != NULL &&
	    u->frame <= frames)
		free_unreported(g_queue_pop_head(&c->unreported));
	if (c->unkept_frame <= frames)
		c->unkept_frame = 0;
}

static void
forget(GQueue *q)
{
	struct unreported *u;

	while ((u = g_queue_pop_head(q)) != NULL)
		free_unreported(u);
}

void
mh_peer_forget(struct peer *p)
{
	forget(&p->unreported);
	forget(&p->out.unreported);
	forget(&p->in.unreported);
}

void
mh_conn_move(struct peer *p, struct peer_conn *c)
{
	struct unreported *u;

	while ((u = g_queue_pop_head(&c->unreported)) != NULL)
		g_queue_push_tail(&p->unreported, u);
}

void
mh_peer_resend(struct peer *p)
{
	struct unreported *u;

	while (
	    p->used != NULL && (u = g_queue_pop_head(&p->unreported)) != NULL) {
		send_kept(p->m, p->used, u->bytes);
		mh_count(p->m->k, "link_frames_resent", 1);
		free_unreported(u);
	}
}

bool
mh_peer_is_repeated(struct peer *p, uint64_t number)
{
	uint64_t *word = &p->received_bits[number % NUMBERS_KEPT / 64];
	uint64_t bit = (uint64_t)1 << number % 64;

	if (number + NUMBERS_KEPT <= p->received_number)
		return true;
	if (number > p->received_number + NUMBERS_KEPT)
		p->received_number = number - NUMBERS_KEPT;
	while (p->received_number < number) {
		uint64_t n = ++p->received_number;

		p->received_bits[n % NUMBERS_KEPT / 64] &=
		    ~((uint64_t)1 << n % 64);
	}
	if ((*word & bit) != 0)
		return true;
	*word |= bit;
	return false;
}
