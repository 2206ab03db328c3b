/**
 * DOC: HTTP client of the platform's VM list: service "vmlist".
 *
 * Reads the list once per MH_MSG_VMLIST_READ: a JSON array of objects with
 * id, addr, role, pool, domain and state.
 */

#include "marlhoist.h"

#include <string.h>

#define CALL_TIMEOUT_US (1 * MH_US_PER_S)

struct vmlist {
	struct mh_kern *k;
	struct mh_client *client;
	char *url;
};

GPtrArray *
mh_vmlist_parse(GBytes *body)
{
	gsize len;
	const char *data = g_bytes_get_data(body, &len);
	json_t *a = json_loadb(data, len, 0, NULL), *o;
	GPtrArray *vms;
	size_t i;

	if (!json_is_array(a)) {
		json_decref(a);
		return NULL;
	}
	vms = g_ptr_array_new_with_free_func((GDestroyNotify)mh_vm_free);
	json_array_foreach(a, i, o)
	{
		const char *id, *addr, *role, *state, *pool = "", *domain = "";

		if (json_unpack(o, "{s:s, s:s, s:s, s:s, s?s, s?s}", "id", &id,
			"addr", &addr, "role", &role, "state", &state, "pool",
			&pool, "domain", &domain) != 0) {
			g_ptr_array_unref(vms);
			json_decref(a);
			return NULL;
		}
		g_ptr_array_add(vms,
		    mh_vm_new(id, addr, role, pool, domain,
			strcmp(state, "leaving") == 0));
	}
	json_decref(a);
	return vms;
}

static void
on_done(void *arg, const struct mh_http_done *d)
{
	struct vmlist *v = arg;
	struct mh_msg *m = mh_msg_new(MH_MSG_VMLIST);

	if (d->complete && d->status == 200)
		m->u.vmlist.vms = mh_vmlist_parse(d->body);
	m->u.vmlist.ok = m->u.vmlist.vms != NULL;
	mh_post(v->k, "roster", m);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct vmlist *v = self;
	struct mh_http_call call = {
		.method = "GET", .url = v->url, .timeout_us = CALL_TIMEOUT_US
	};

	if (m->kind == MH_MSG_VMLIST_READ)
		mh_client_start(v->client, &call, NULL, on_done, v);
}

static void
destroy(void *self)
{
	struct vmlist *v = self;

	g_free(v->url);
	g_free(v);
}

void
mh_vmlist_create(struct mh_kern *k, struct mh_client *c, const char *url)
{
	struct vmlist *v = g_new0(struct vmlist, 1);

	v->k = k;
	v->client = c;
	v->url = g_strdup(url);
	mh_kern_add(k, "vmlist", v, handle, destroy);
}
