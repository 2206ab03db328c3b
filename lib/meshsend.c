/**
 * DOC: Sending over the mesh.
 *
 * What an entry sends to one other entry is numbered, and kept until the other
 * reports it.  If the connection dies and there is another one, it is sent
 * again there, and who gets it twice drops it.  If there is none, the peer is
 * lost, and the callers of mh_mesh_on_lost() start over.
 */

#include "meshint.h"

/*
 * Larger frames hold views, which are requested again.  The number of frames
 * is that of a second at a busy coordinator.
 */
#define KEPT_BYTES (64U << 10)
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

/* Keeps a frame that was just sent. */
static void
keep(struct peer_conn *c, GBytes *frame)
{
	struct unreported *u;

	if (g_bytes_get_size(frame) > KEPT_BYTES)
		return;
	if (g_queue_get_length(&c->unreported) == KEPT_FRAMES)
		free_unreported(g_queue_pop_head(&c->unreported));
	u = g_new0(struct unreported, 1);
	u->frame = c->frames_out;
	u->bytes = g_bytes_ref(frame);
	g_queue_push_tail(&c->unreported, u);
}

bool
mh_mesh_send(struct mh_mesh *m, const char *node, Mh__Frame *f)
{
	struct peer *p = g_hash_table_lookup(m->peers, node);
	GBytes *frame;

	if (p == NULL || p->used == NULL)
		return false;
	f->number = ++p->sent_number;
	frame = mh_frame_pack(f);
	send_bytes(m, p->used, frame);
	keep(p->used, frame);
	g_bytes_unref(frame);
	return true;
}

void
mh_mesh_send_all(struct mh_mesh *m, Mh__Frame *f)
{
	GBytes *frame = mh_frame_pack(f);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		if (p->used != NULL)
			send_bytes(m, p->used, frame);
	}
	g_bytes_unref(frame);
}

void
mh_conn_reported(struct peer_conn *c, uint64_t frames)
{
	const struct unreported *u;

	while ((u = g_queue_peek_head(&c->unreported)) != NULL &&
	    u->frame <= frames)
		free_unreported(g_queue_pop_head(&c->unreported));
}

void
mh_conn_forget(struct peer_conn *c)
{
	mh_conn_reported(c, UINT64_MAX);
}

void
mh_conn_resend(struct peer *p, struct peer_conn *c)
{
	struct unreported *u;

	while ((u = g_queue_pop_head(&c->unreported)) != NULL) {
		if (p->used != NULL) {
			send_bytes(p->m, p->used, u->bytes);
			keep(p->used, u->bytes);
			mh_count(p->m->k, "link_frames_resent", 1);
		}
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
