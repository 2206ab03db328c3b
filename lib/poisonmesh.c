/**
 * DOC: Service "poison" among the entries of a mesh.
 *
 * An entry announces its observations over its links.  Entries that others
 * may be linked to alone forward them.  A newly linked entry, such as
 * one that has restarted, is sent the whole state.
 */

#include "mesh.h"

#include <string.h>

/*
 * The whole state goes to an entry once in this time.  Sent at each link that
 * opened, it filled the links to peers that flap.
 */
#define RESEND_US (5 * MH_US_PER_S)

struct mh_poison_mesh {
	struct mh_kern *k;
	struct mh_poison_mesh_args a;
	GHashTable *recent; /* node -> struct recent */
};

/** struct recent - an entry that was sent the whole state. */
struct recent {
	struct mh_poison_mesh *p;
	char *node;
	struct mh_timer *timer;
	bool again; /* another link to it has opened since */
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

static bool
op_is_alone(void *arg)
{
	struct mh_poison_mesh *p = arg;

	return !mh_mesh_is_alive(p->a.mesh, NULL);
}

static void
op_fell(void *arg, const char *endpoint)
{
	struct mh_poison_mesh *p = arg;
	struct mh_node *n = mh_fleet_find(p->a.fleet, endpoint);

	if (n != NULL)
		mh_node_doubt(p->a.fleet, n);
}

static void
op_quarantined(void *arg, uint64_t fingerprint)
{
	struct mh_poison_mesh *p = arg;

	mh_gate_quarantine(p->a.gate);
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
	bool sent;
};

static void
send_to(void *arg, Mh__Frame *f)
{
	struct target *t = arg;

	t->sent |= mh_mesh_send(t->m, t->node, f);
}

/* Returns false if nothing was sent: no link, or nothing to tell. */
static bool
send_state(struct mh_poison_mesh *p, const char *node)
{
	struct target t = { p->a.mesh, node, false };

	mh_poison_send_all(p->k, send_to, &t);
	return t.sent;
}

static void
free_recent(void *arg)
{
	struct recent *r = arg;

	mh_timer_stop(r->p->k, &r->timer);
	g_free(r->node);
	g_free(r);
}

static void
on_resend(void *arg)
{
	struct recent *r = arg;

	if (!r->again || !send_state(r->p, r->node)) {
		g_hash_table_remove(r->p->recent, r->node);
		return;
	}
	r->again = false;
	mh_timer_set(r->p->k, &r->timer, RESEND_US, on_resend, r);
}

static void
on_up(void *arg, const char *node)
{
	struct mh_poison_mesh *p = arg;
	struct recent *r = g_hash_table_lookup(p->recent, node);

	if (r != NULL) {
		r->again = true;
		return;
	}
	if (!send_state(p, node))
		return;
	r = g_new0(struct recent, 1);
	r->p = p;
	r->node = g_strdup(node);
	mh_timer_set(p->k, &r->timer, RESEND_US, on_resend, r);
	g_hash_table_insert(p->recent, r->node, r);
}

struct mh_poison_mesh *
mh_poison_mesh_create(struct mh_kern *k, const struct mh_poison_mesh_args *a)
{
	struct mh_poison_mesh *p = g_new0(struct mh_poison_mesh, 1);
	struct mh_poison_ops ops = { op_announce, op_pool_size, op_still_open,
		op_is_alone, op_fell, op_quarantined, p };

	p->k = k;
	p->a = *a;
	p->recent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_recent);
	mh_poison_create(k, &ops);
	mh_mesh_on(a->mesh, MH__FRAME__BODY_POISON, on_poison, p);
	mh_mesh_on_up(a->mesh, on_up, p);
	return p;
}

void
mh_poison_mesh_destroy(struct mh_poison_mesh *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->recent);
	g_free(p);
}
