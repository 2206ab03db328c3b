/**
 * DOC: Reads the load file: pools, kinds of request, bursts and losses.
 */

#include "marlwork.h"
#include "table.h"

#include <string.h>

#define MAX_MS 600000.0
#define MAX_SECONDS 3600.0
#define MAX_POOLS 8 /* MH_GSTAGES; limits the stages of a kind, too */

static void
free_pool(void *arg)
{
	struct wpool *p = arg;

	g_free(p->name);
	g_free(p);
}

static void
free_stage(void *arg)
{
	struct wstage *s = arg;

	g_free(s->pool);
	g_free(s);
}

static void
free_kind(void *arg)
{
	struct wkind *k = arg;

	g_free(k->name);
	if (k->stages != NULL)
		g_ptr_array_unref(k->stages);
	g_free(k);
}

static void
free_loss(void *arg)
{
	struct wloss *l = arg;

	g_free(l->pool);
	g_free(l);
}

static const struct mh_field pool_fields[] = {
	F(wpool, name, MH_F_STR, true, 0, 0),
	F(wpool, endpoints, MH_F_U32, true, 1, 200),
	F(wpool, batch, MH_F_U32, true, 1, 256),
	F(wpool, calls, MH_F_U32, false, 0, 1000),
	FN("call_ms", wpool, call_us, MH_F_MS, true, 0.01, MAX_MS),
	FN("piece_ms", wpool, item_us, MH_F_MS, true, 0.01, MAX_MS),
	FEND,
};
static const struct mh_table pool_table =
    TABLE("pool", wpool, pool_fields, free_pool);

static const struct mh_field stage_fields[] = {
	F(wstage, pool, MH_F_STR, true, 0, 0),
	F(wstage, pieces, MH_F_U32, true, 1, 256),
	FEND,
};
static const struct mh_table stage_table =
    TABLE("stage", wstage, stage_fields, free_stage);

static const struct mh_field kind_fields[] = {
	F(wkind, name, MH_F_STR, true, 0, 0),
	F(wkind, per_second, MH_F_DOUBLE, true, 0.001, 1e5),
	FN("aim_ms", wkind, slo_us, MH_F_MS, true, 1, MAX_MS),
	FN("deadline_ms", wkind, deadline_us, MH_F_MS, true, 1, MAX_MS),
	FTAB("stages", wkind, stages, MH_F_LIST, true, &stage_table),
	FEND,
};
static const struct mh_table kind_table =
    TABLE("kind", wkind, kind_fields, free_kind);

static const struct mh_field burst_fields[] = {
	F(wburst, from_s, MH_F_DOUBLE, true, 0, MAX_SECONDS),
	F(wburst, to_s, MH_F_DOUBLE, true, 0, MAX_SECONDS),
	F(wburst, times, MH_F_DOUBLE, true, 0, 100),
	FEND,
};
static const struct mh_table burst_table =
    TABLE("burst", wburst, burst_fields, g_free);

static const struct mh_field loss_fields[] = {
	F(wloss, pool, MH_F_STR, true, 0, 0),
	F(wloss, endpoints, MH_F_U32, true, 1, 200),
	F(wloss, from_s, MH_F_DOUBLE, true, 0, MAX_SECONDS),
	F(wloss, to_s, MH_F_DOUBLE, true, 0, MAX_SECONDS),
	FEND,
};
static const struct mh_table loss_table =
    TABLE("loss", wloss, loss_fields, free_loss);

static const struct mh_field load_fields[] = {
	F(wload, entries, MH_F_U32, true, 1, 64),
	F(wload, seconds, MH_F_DOUBLE, true, 1, MAX_SECONDS),
	FTAB("pools", wload, pools, MH_F_LIST, true, &pool_table),
	FTAB("kinds", wload, kinds, MH_F_LIST, true, &kind_table),
	FTAB("bursts", wload, bursts, MH_F_LIST, false, &burst_table),
	FTAB("losses", wload, losses, MH_F_LIST, false, &loss_table),
	FEND,
};
static const struct mh_table load_table =
    TABLE("load", wload, load_fields, NULL);

const struct wpool *
load_pool(const struct wload *l, const char *name)
{
	for (guint i = 0; i < l->pools->len; i++) {
		const struct wpool *p = g_ptr_array_index(l->pools, i);

		if (strcmp(p->name, name) == 0)
			return p;
	}
	return NULL;
}

static bool
check_pool(const struct wload *l, const char *name, GError **err)
{
	if (load_pool(l, name) != NULL)
		return true;
	g_set_error(err, MH_ERROR, MH_ERR_DECL,
	    "pool \"%s\" is not declared; add it under pools", name);
	return false;
}

static bool
check_kind(const struct wload *l, const struct wkind *k, GError **err)
{
	if (k->stages->len < 1 || k->stages->len > MAX_POOLS) {
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "kind \"%s\" has %u stages; give it 1 to %d", k->name,
		    k->stages->len, MAX_POOLS);
		return false;
	}
	for (guint i = 0; i < k->stages->len; i++) {
		const struct wstage *s = g_ptr_array_index(k->stages, i);

		if (!check_pool(l, s->pool, err))
			return false;
	}
	return true;
}

static bool
check(const struct wload *l, GError **err)
{
	if (l->pools->len < 1 || l->pools->len > MAX_POOLS) {
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "%u pools are declared; declare 1 to %d", l->pools->len,
		    MAX_POOLS);
		return false;
	}
	for (guint i = 0; i < l->kinds->len; i++) {
		if (!check_kind(l, g_ptr_array_index(l->kinds, i), err))
			return false;
	}
	for (guint i = 0; l->losses != NULL && i < l->losses->len; i++) {
		const struct wloss *s = g_ptr_array_index(l->losses, i);

		if (!check_pool(l, s->pool, err))
			return false;
	}
	return true;
}

struct wload *
load_read(const char *file, GError **err)
{
	struct wload *l = g_new0(struct wload, 1);
	char *text = NULL;
	gsize len;
	GBytes *doc;
	bool ok;

	if (!g_file_get_contents(file, &text, &len, err)) {
		load_destroy(l);
		return NULL;
	}
	doc = g_bytes_new_take(text, len);
	ok = mh_yaml_read(doc, &load_table, l, err) && check(l, err);
	g_bytes_unref(doc);
	if (ok)
		return l;
	load_destroy(l);
	return NULL;
}

void
load_destroy(struct wload *l)
{
	GPtrArray *lists[] = { l->pools, l->kinds, l->bursts, l->losses };

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		if (lists[i] != NULL)
			g_ptr_array_unref(lists[i]);
	}
	g_free(l);
}
