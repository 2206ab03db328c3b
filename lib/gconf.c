/**
 * DOC: One version of the operators' configuration, as the gateway uses it.
 */

#include "gate.h"

#include <string.h>

static void
clear_target(void *arg)
{
	g_free(((struct mh_gtarget *)arg)->pool);
}

struct mh_groute *
mh_groute_create(void)
{
	struct mh_groute *r = g_new0(struct mh_groute, 1);

	r->refs = 1;
	r->targets = g_array_new(FALSE, TRUE, sizeof(struct mh_gtarget));
	g_array_set_clear_func(r->targets, clear_target);
	return r;
}

struct mh_groute *
mh_groute_ref(struct mh_groute *r)
{
	r->refs++;
	return r;
}

void
mh_groute_unref(struct mh_groute *r)
{
	if (r == NULL || --r->refs > 0)
		return;
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_array_free(r->targets, TRUE);
	for (uint32_t i = 0; i < r->n_stages; i++)
		g_free(r->stages[i].pool);
	g_free(r);
}

static void
unref_route(void *arg)
{
	mh_groute_unref(arg);
}

static void
free_pool(void *arg)
{
	struct mh_gpool *p = arg;

	g_free(p->name);
	g_free(p);
}

static void
free_org(void *arg)
{
	struct mh_gorg *o = arg;

	g_free(o->name);
	g_free(o);
}

struct mh_gconf *
mh_gconf_create(void)
{
	struct mh_gconf *c = g_new0(struct mh_gconf, 1);

	c->refs = 1;
	c->routes = g_ptr_array_new_with_free_func(unref_route);
	c->orgs = g_ptr_array_new_with_free_func(free_org);
	c->faults = g_ptr_array_new_with_free_func(g_free);
	c->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	c->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

struct mh_gconf *
mh_gconf_ref(struct mh_gconf *c)
{
	c->refs++;
	return c;
}

void
mh_gconf_unref(struct mh_gconf *c)
{
	if (c == NULL || --c->refs > 0)
		return;
	g_ptr_array_free(c->routes, TRUE);
	g_ptr_array_free(c->orgs, TRUE);
	g_ptr_array_free(c->faults, TRUE);
	g_hash_table_destroy(c->pools);
	g_hash_table_destroy(c->keys);
	g_free(c);
}

struct mh_groute *
mh_gconf_route(const struct mh_gconf *c, const char *host, const char *target)
{
	struct mh_groute *best = NULL;
	size_t longest = 0;

	for (guint i = 0; i < c->routes->len; i++) {
		struct mh_groute *r = g_ptr_array_index(c->routes, i);
		size_t n = strlen(r->prefix);

		if (n > longest && strncmp(target, r->prefix, n) == 0 &&
		    g_ascii_strcasecmp(r->host, host) == 0) {
			best = r;
			longest = n;
		}
	}
	return best;
}

struct mh_groute *
mh_gconf_route_by_name(const struct mh_gconf *c, const char *name)
{
	for (guint i = 0; i < c->routes->len; i++) {
		struct mh_groute *r = g_ptr_array_index(c->routes, i);

		if (strcmp(r->name, name) == 0)
			return r;
	}
	return NULL;
}

struct mh_gpool *
mh_gconf_pool(const struct mh_gconf *c, const char *name)
{
	return g_hash_table_lookup(c->pools, name);
}

const char *
mh_groute_pool(const struct mh_groute *r, double unit)
{
	double total = 0;

	for (guint i = 0; i < r->targets->len; i++)
		total += g_array_index(r->targets, struct mh_gtarget, i).weight;
	unit *= total;
	for (guint i = 0; i < r->targets->len; i++) {
		struct mh_gtarget *t =
		    &g_array_index(r->targets, struct mh_gtarget, i);

		unit -= t->weight;
		if (unit < 0)
			return t->pool;
	}
	return r->targets->len == 0
	    ? NULL
	    : g_array_index(r->targets, struct mh_gtarget, 0).pool;
}
