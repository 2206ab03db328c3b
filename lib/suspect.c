/**
 * DOC: Ejects endpoints that several entries could not reach.
 *
 * When an endpoint becomes unreachable, each entry would otherwise find out by
 * a connection of its own that hangs.  Entries report an endpoint that they
 * could not reach to the coordinator of stage work, which announces it to all
 * entries after two reports.
 */

#include "mesh.h"

#include <string.h>

/* Reports further apart than this do not confirm each other. */
#define AGREE_WINDOW_US (1 * MH_US_PER_S)
#define AGREE_REPORTS 2
/* The table is emptied at this size; there are a few thousand endpoints. */
#define MAX_SUSPECTS 4096

struct suspect {
	int64_t first_us; /* of the reports that count */
	uint32_t reports;
};

struct mh_suspects {
	struct mh_kern *k;
	struct mh_mesh *m;
	struct mh_fleet *f;
	GHashTable *suspects; /* endpoint -> struct suspect */
};

static void
eject(struct mh_suspects *s, const char *endpoint)
{
	struct mh_node *n = mh_fleet_find(s->f, endpoint);

	if (n == NULL)
		return;
	mh_node_doubt(s->f, n);
	mh_node_suspect(s->f, n, "others-agree");
}

static void
send_suspect(
    struct mh_suspects *s, const char *coordinator, const char *endpoint)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Suspect m = MH__SUSPECT__INIT;

	m.endpoint = (char *)(uintptr_t)endpoint;
	m.agreed = coordinator == NULL;
	f.body_case = MH__FRAME__BODY_SUSPECT;
	f.suspect = &m;
	if (coordinator == NULL)
		mh_mesh_send_all(s->m, &f);
	else
		mh_mesh_send(s->m, coordinator, &f);
}

/*
 * At the coordinator: counts a report.  Two within AGREE_WINDOW_US are enough,
 * even from the same entry.
 */
static void
count_report(struct mh_suspects *s, const char *endpoint)
{
	struct suspect *r = g_hash_table_lookup(s->suspects, endpoint);
	int64_t now = mh_now(s->k);

	if (r == NULL) {
		if (g_hash_table_size(s->suspects) >= MAX_SUSPECTS)
			g_hash_table_remove_all(s->suspects);
		r = g_new0(struct suspect, 1);
		g_hash_table_insert(s->suspects, g_strdup(endpoint), r);
	}
	if (r->reports == 0 || now - r->first_us > AGREE_WINDOW_US) {
		r->first_us = now;
		r->reports = 0;
	}
	if (++r->reports != AGREE_REPORTS)
		return;
	mh_count(s->k, "suspects_agreed", 1);
	eject(s, endpoint);
	send_suspect(s, NULL, endpoint);
}

void
mh_suspects_report(struct mh_suspects *s, const char *endpoint)
{
	const char *coordinator = mh_mesh_coordinator(s->m, MH_STAGE_WORK);

	if (mh_mesh_is_self(s->m, coordinator))
		count_report(s, endpoint);
	else
		send_suspect(s, coordinator, endpoint);
}

static void
on_suspect(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_suspects *s = arg;

	(void)node;
	if (f->suspect->agreed)
		eject(s, f->suspect->endpoint);
	else
		count_report(s, f->suspect->endpoint);
}

struct mh_suspects *
mh_suspects_create(struct mh_kern *k, struct mh_mesh *m, struct mh_fleet *f)
{
	struct mh_suspects *s = g_new0(struct mh_suspects, 1);

	s->k = k;
	s->m = m;
	s->f = f;
	s->suspects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mh_mesh_on(m, MH__FRAME__BODY_SUSPECT, on_suspect, s);
	return s;
}

void
mh_suspects_destroy(struct mh_suspects *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->suspects);
	g_free(s);
}
