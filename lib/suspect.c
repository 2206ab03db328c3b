/**
 * DOC: Endpoints that several entries could not reach.
 *
 * A replica goes dark and each of many entries finds out by a connection that
 * hangs.  So entries report what they could not reach to the home of stage
 * work, which tells all as soon as two reports agree.
 */

#include "mesh.h"

#include <string.h>

/* Reports that far apart say nothing together. */
#define AGREE_US (1 * MH_US_PER_S)
#define AGREE_REPORTS 2
/* Rows are dropped at this number; endpoints are a few thousand at most. */
#define MAX_ROWS 4096

struct row {
	int64_t first_us;
	uint32_t reports;
};

struct mh_suspects {
	struct mh_kern *k;
	struct mh_mesh *m;
	struct mh_fleet *f;
	GHashTable *rows; /* endpoint -> struct row */
};

static void
leave_out(struct mh_suspects *s, const char *endpoint)
{
	struct mh_node *n = mh_fleet_find(s->f, endpoint);

	if (n != NULL)
		mh_node_out(s->f, n, "others-agree");
}

static void
send_suspect(struct mh_suspects *s, const char *home, const char *endpoint)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Suspect m = MH__SUSPECT__INIT;

	m.endpoint = (char *)(uintptr_t)endpoint;
	m.agreed = home == NULL;
	f.body_case = MH__FRAME__BODY_SUSPECT;
	f.suspect = &m;
	if (home == NULL)
		mh_mesh_send_all(s->m, &f);
	else
		mh_mesh_send(s->m, home, &f);
}

/* As the home: two reports within a second, by whomever. */
static void
count(struct mh_suspects *s, const char *endpoint)
{
	struct row *r = g_hash_table_lookup(s->rows, endpoint);
	int64_t now = mh_now(s->k);

	if (r == NULL) {
		if (g_hash_table_size(s->rows) >= MAX_ROWS)
			g_hash_table_remove_all(s->rows);
		r = g_new0(struct row, 1);
		g_hash_table_insert(s->rows, g_strdup(endpoint), r);
	}
	if (r->reports == 0 || now - r->first_us > AGREE_US) {
		r->first_us = now;
		r->reports = 0;
	}
	if (++r->reports != AGREE_REPORTS)
		return;
	mh_count(s->k, "suspects_agreed", 1);
	leave_out(s, endpoint);
	send_suspect(s, NULL, endpoint);
}

void
mh_suspects_report(struct mh_suspects *s, const char *endpoint)
{
	const char *home = mh_mesh_home(s->m, MH_STAGE_WORK);

	if (mh_mesh_is_self(s->m, home))
		count(s, endpoint);
	else
		send_suspect(s, home, endpoint);
}

static void
on_suspect(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_suspects *s = arg;

	(void)node;
	if (f->suspect->agreed)
		leave_out(s, f->suspect->endpoint);
	else
		count(s, f->suspect->endpoint);
}

struct mh_suspects *
mh_suspects_create(struct mh_kern *k, struct mh_mesh *m, struct mh_fleet *f)
{
	struct mh_suspects *s = g_new0(struct mh_suspects, 1);

	s->k = k;
	s->m = m;
	s->f = f;
	s->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mh_mesh_on(m, MH__FRAME__BODY_SUSPECT, on_suspect, s);
	return s;
}

void
mh_suspects_destroy(struct mh_suspects *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->rows);
	g_free(s);
}
