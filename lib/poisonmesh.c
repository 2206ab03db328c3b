/**
 * DOC: Service "poison" among the entries of a mesh.
 *
 * An entry announces its observations over its links.  Entries that others
 * may be linked to alone forward them.  A newly linked entry, such as
 * one that has restarted, is sent the whole state.
 */

#include "mesh.h"

#include <string.h>

struct mh_poison_mesh {
	struct mh_kern *k;
	struct mh_poison_mesh_args a;
};

static void
op_announce(void *arg, Mh__Frame *f)
{
	struct mh_poison_mesh *p = arg;

	mh_mesh_send_all(p->a.mesh, f);
}

static uint32_t
op_pool_size(void *arg, const char *pool)
{
	struct mh_poison_mesh *p = arg;
	const GPtrArray *nodes = mh_fleet_pool(p->a.fleet, pool);

	return nodes == NULL ? 0 : nodes->len;
}

static bool
op_still_open(void *arg, const char *endpoint, int64_t us)
{
	struct mh_poison_mesh *p = arg;

	return mh_gate_open_at(p->a.gate, endpoint, us);
}

static void
op_quarantined(void *arg, uint64_t fingerprint)
{
	struct mh_poison_mesh *p = arg;

	mh_gate_quarantine(p->a.gate, fingerprint);
	if (p->a.scheds != NULL)
		mh_scheds_quarantine(p->a.scheds, fingerprint);
}

static void
on_poison(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_poison_mesh *p = arg;

	(void)node;
	mh_poison_receive(p->k, f->poison, mh_mesh_is_relay(p->a.mesh));
}

/** struct target - the entry that a frame goes to. */
struct target {
	struct mh_mesh *m;
	const char *node;
};

static void
send_to(void *arg, Mh__Frame *f)
{
	struct target *t = arg;

	mh_mesh_send(t->m, t->node, f);
}

static void
on_up(void *arg, const char *node)
{
	struct mh_poison_mesh *p = arg;
	struct target t = { p->a.mesh, node };

	mh_poison_send_all(p->k, send_to, &t);
}

struct mh_poison_mesh *
mh_poison_mesh_create(struct mh_kern *k, const struct mh_poison_mesh_args *a)
{
	struct mh_poison_mesh *p = g_new0(struct mh_poison_mesh, 1);
	struct mh_poison_ops ops = { op_announce, op_pool_size, op_still_open,
		op_quarantined, p };

	p->k = k;
	p->a = *a;
	mh_poison_create(k, &ops);
	mh_mesh_on(a->mesh, MH__FRAME__BODY_POISON, on_poison, p);
	mh_mesh_on_up(a->mesh, on_up, p);
	return p;
}

void
mh_poison_mesh_destroy(struct mh_poison_mesh *p)
{
	g_free(p);
}
