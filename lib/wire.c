/**
 * DOC: Packs and unpacks the frames between marlhoist processes.
 */

#include "marlhoist.h"

GBytes *
mh_frame_pack(const Mh__Frame *f)
{
	size_t len = mh__frame__get_packed_size(f);
	uint8_t *buf = g_malloc(len);

	mh__frame__pack(f, buf);
	return g_bytes_new_take(buf, len);
}

Mh__Frame *
mh_frame_unpack(GBytes *b)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(b, &len);

	if (len > MH_MAX_FRAME)
		return NULL;
	return mh__frame__unpack(NULL, len, data);
}

void
mh_frame_free(Mh__Frame *f)
{
	if (f != NULL)
		mh__frame__free_unpacked(f, NULL);
}

void
mh_frame_send(struct mh_kern *k, uint64_t conn, Mh__Frame *f)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_SEND);

	f->generation = mh_conf_generation(k);
	m->u.link.conn = conn;
	m->u.link.frame = mh_frame_pack(f);
	mh_count(k, "link_frames_out", 1);
	mh_count(k, "link_bytes_out", g_bytes_get_size(m->u.link.frame) + 4);
	mh_post(k, "link", m);
}

void
mh_link_dial(struct mh_kern *k, uint64_t conn, const char *addr)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_DIAL);

	m->u.link.conn = conn;
	m->u.link.addr = g_strdup(addr);
	mh_post(k, "link", m);
}

void
mh_link_close(struct mh_kern *k, uint64_t conn)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_LINK_CLOSE);

	m->u.link.conn = conn;
	mh_post(k, "link", m);
}
