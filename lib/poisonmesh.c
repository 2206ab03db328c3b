/**
 * DOC: Requests under which endpoints end, among entries.
 *
 * What one entry finds goes out over the links that it has; those that most
 * entries are linked to pass it on.  Whoever is linked anew, after a restart or
 * for the first time, is told everything.
 */

#include "mesh.h"

#include <string.h>

struct mh_poison_mesh {
	struct mh_kern *k;
	struct mh_poison_mesh_args a;
};

static void
op_tell(void *arg, Mh__Frame *f)
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
op_held(void *arg, uint64_t print)
{
	struct mh_poison_mesh *p = arg;

	mh_gate_quarantine(p->a.gate, print);
	if (p->a.cells != NULL)
		mh_scheds_quarantine(p->a.cells, print);
}

static void
on_poison(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_poison_mesh *p = arg;

	(void)node;
	mh_poison_take(p->k, f->poison, mh_mesh_passes_on(p->a.mesh));
}

/** struct to - where a frame goes. */
struct to {
	struct mh_mesh *m;
	const char *node;
};

static void
send_to(void *arg, Mh__Frame *f)
{
	struct to *t = arg;

	mh_mesh_send(t->m, t->node, f);
}

static void
on_up(void *arg, const char *node)
{
	struct mh_poison_mesh *p = arg;
	struct to t = { p->a.mesh, node };

	mh_poison_all(p->k, send_to, &t);
}

struct mh_poison_mesh *
mh_poison_mesh_create(struct mh_kern *k, const struct mh_poison_mesh_args *a)
{
	struct mh_poison_mesh *p = g_new0(struct mh_poison_mesh, 1);
	struct mh_poison_ops ops = { op_tell, op_pool_size, op_still_open,
		op_held, p };

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
