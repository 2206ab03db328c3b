/**
 * DOC: Frame dispatcher: service "hub", which the link service posts to.
 *
 * Unpacks each frame once, records the progress of its link and the
 * configuration generation of its sender, and calls the handler for its kind.
 */

#include "marlhoist.h"

#define MAX_CASES 64

struct hub {
	struct mh_kern *k;
	struct {
		mh_frame_fn fn;
		void *arg;
	} handlers[MAX_CASES];
};

static void
take_frame(struct hub *h, const struct mh_link_msg *l)
{
	Mh__Frame *f = mh_frame_unpack(l->frame);

	mh_count(h->k, "link_frames_in", 1);
	mh_count(h->k, "link_bytes_in", g_bytes_get_size(l->frame) + 4);
	if (f == NULL || (unsigned)f->body_case >= MAX_CASES) {
		mh_count(h->k, "link_malformed", 1);
		mh_log(h->k, "hub",
		    "Malformed frame, link closed: conn=%" PRIu64 ".", l->conn);
		mh_link_close(h->k, l->conn);
		mh_frame_free(f);
		return;
	}
	mh_member_rx(h->k, l->conn, f);
	mh_conf_peer_generation(h->k, l->conn, f->generation);
	if (h->handlers[f->body_case].fn != NULL)
		h->handlers[f->body_case].fn(
		    h->handlers[f->body_case].arg, l->conn, f);
	mh_frame_free(f);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct hub *h = self;

	switch (m->kind) {
	case MH_MSG_FRAME:
		take_frame(h, &m->u.link);
		break;
	case MH_MSG_LINK_UP:
	case MH_MSG_LINK_DOWN:
		mh_member_link_changed(h->k, m);
		break;
	case MH_MSG_LINK_RX_PROGRESS: /* progress is proved by pongs only */
		break;
	default:
		mh_count(h->k, "hub_unexpected", 1);
		break;
	}
}

void
mh_hub_create(struct mh_kern *k)
{
	struct hub *h = g_new0(struct hub, 1);

	h->k = k;
	mh_kern_add(k, "hub", h, handle, g_free);
}

void
mh_hub_set_handler(
    struct mh_kern *k, Mh__Frame__BodyCase kind, mh_frame_fn fn, void *arg)
{
	struct hub *h = mh_kern_get(k, "hub");

	h->handlers[kind].fn = fn;
	h->handlers[kind].arg = arg;
}
