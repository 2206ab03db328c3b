/**
 * DOC: Requests under which endpoints end, in our own deployments.
 *
 * A side process sees its endpoint end; it tells the entries that it is linked
 * to, and they tell their other side processes, so that all come to know.
 */

#include "poison.h"

struct tell {
	struct mh_kern *k;
	Mh__Frame *f;
};

static void
tell_one(void *arg, struct mh_peer *p)
{
	struct tell *t = arg;

	if (p->up)
		mh_frame_send(t->k, p->conn, t->f);
}

static void
op_tell(void *arg, Mh__Frame *f)
{
	struct tell t = { arg, f };

	mh_member_each(arg, tell_one, &t);
}

static uint32_t
op_pool_size(void *arg, const char *pool)
{
	return mh_member_pool(arg, pool)->len;
}

static void
op_held(void *arg, uint64_t print)
{
	if (mh_kern_get(arg, "entry") != NULL)
		mh_entry_held(arg, print);
	if (mh_kern_get(arg, "side") != NULL)
		mh_side_held(arg, print);
}

static void
on_poison(void *arg, uint64_t conn, const Mh__Frame *f)
{
	(void)conn;
	mh_poison_take(arg, f->poison, true);
}

struct to {
	struct mh_kern *k;
	uint64_t conn;
};

static void
send_to(void *arg, Mh__Frame *f)
{
	struct to *t = arg;

	mh_frame_send(t->k, t->conn, f);
}

static void
on_link(void *arg, struct mh_peer *p, enum mh_link_event ev, uint64_t conn)
{
	struct to t = { arg, conn };

	(void)p;
	if (ev != MH_LINK_FAILED && conn != 0)
		mh_poison_all(arg, send_to, &t);
}

void
mh_poison_hub_create(struct mh_kern *k)
{
	struct mh_poison_ops ops = { .tell = op_tell,
		.pool_size = op_pool_size,
		.held = op_held,
		.arg = k };

	mh_poison_create(k, &ops);
	mh_hub_on(k, MH__FRAME__BODY_POISON, on_poison, k);
	mh_member_on_link(k, on_link, k);
}
