/**
 * DOC: Service "poison" of entry daemons and side processes.
 *
 * A side process observes the crash of its endpoint and announces it to the
 * entries that it is linked to.  These forward it to their other side
 * processes, so that it reaches all.
 */

#include "poison.h"

/** struct announcement - a frame for all peers. */
struct announcement {
	struct mh_kern *k;
	Mh__Frame *f;
};

static void
send_one(void *arg, struct mh_peer *p)
{
	struct announcement *t = arg;

	if (p->up)
		mh_frame_send(t->k, p->conn, t->f);
}

static void
op_announce(void *arg, Mh__Frame *f)
{
	struct announcement t = { arg, f };

	mh_member_foreach(arg, send_one, &t);
}

static uint32_t
op_pool_size(void *arg, const char *pool)
{
	return mh_member_pool(arg, pool)->len;
}

static void
op_quarantined(void *arg, uint64_t fingerprint)
{
	if (mh_kern_get(arg, "entry") != NULL)
		mh_entry_quarantine(arg, fingerprint);
	if (mh_kern_get(arg, "side") != NULL)
		mh_side_quarantine(arg, fingerprint);
}

static void
on_poison(void *arg, uint64_t conn, const Mh__Frame *f)
{
	(void)conn;
	mh_poison_receive(arg, f->poison, true);
}

/** struct target - the connection that a frame goes to. */
struct target {
	struct mh_kern *k;
	uint64_t conn;
};

static void
send_to(void *arg, Mh__Frame *f)
{
	struct target *t = arg;

	mh_frame_send(t->k, t->conn, f);
}

static void
on_link(void *arg, struct mh_peer *p, enum mh_link_event ev, uint64_t conn)
{
	struct target t = { arg, conn };

	(void)p;
	if (ev != MH_LINK_FAILED && conn != 0)
		mh_poison_send_all(arg, send_to, &t);
}

void
mh_poison_member_create(struct mh_kern *k)
{
	struct mh_poison_ops ops = { .announce = op_announce,
		.pool_size = op_pool_size,
		.quarantined = op_quarantined,
		.arg = k };

	mh_poison_create(k, &ops);
	mh_hub_set_handler(k, MH__FRAME__BODY_POISON, on_poison, k);
	mh_member_on_link(k, on_link, k);
}
