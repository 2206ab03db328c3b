/**
 * DOC: Health checks, metrics and state dumps of every process.
 */

#include "marlhoist.h"
#include "poison.h"

#include <string.h>

static bool
is_ready(struct mh_kern *k)
{
	if (mh_kern_get(k, "entry") != NULL && mh_entry_draining(k))
		return false;
	return mh_conf_get(k) != NULL && mh_member_has_list(k);
}

char *
mh_state_dump(struct mh_kern *k)
{
	json_t *o = json_object();
	char *text, *out;

	json_object_set_new(o, "config", mh_conf_state(k));
	json_object_set_new(o, "members", mh_member_state(k));
	json_object_set_new(o, "vm_list", mh_roster_state(k));
	if (mh_kern_get(k, "entry") != NULL) {
		json_object_set_new(o, "entry", mh_entry_state(k));
		json_object_set_new(o, "limits", mh_limit_state(k));
	}
	if (mh_kern_get(k, "side") != NULL)
		json_object_set_new(o, "side", mh_side_state(k));
	json_object_set_new(o, "held", mh_poison_state(k));
	json_object_set_new(o, "counters", mh_kern_counters(k));
	text = json_dumps(o, JSON_INDENT(2) | JSON_SORT_KEYS);
	json_decref(o);
	out = g_strdup(text);
	free(text);
	return out;
}

static void
reply_text(
    struct mh_http_req *r, uint32_t status, const char *type, const char *text)
{
	GBytes *b = g_bytes_new(text, strlen(text));

	mh_req_reply(r, status, type, b);
	g_bytes_unref(b);
}

bool
mh_admin_serve(struct mh_kern *k, struct mh_http_req *r)
{
	const char *path = mh_req_path(r);
	char *text;

	if (strcmp(mh_req_method(r), "GET") != 0)
		return false;
	if (strcmp(path, "/livez") == 0) {
		reply_text(r, 200, "text/plain", "live\n");
	} else if (strcmp(path, "/readyz") == 0) {
		reply_text(r, is_ready(k) ? 200 : 503, "text/plain",
		    is_ready(k) ? "ready\n"
				: "no configuration or VM list yet\n");
	} else if (strcmp(path, "/metrics") == 0) {
		text = mh_kern_metrics(k);
		reply_text(r, 200, "text/plain; version=0.0.4", text);
		g_free(text);
	} else {
		return false;
	}
	return true;
}

static void
on_state_ask(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct mh_kern *k = arg;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__State s = MH__STATE__INIT;

	s.token = in->state_ask->token;
	s.json = mh_state_dump(k);
	f.body_case = MH__FRAME__BODY_STATE;
	f.state = &s;
	mh_frame_send(k, conn, &f);
	g_free(s.json);
}

void
mh_admin_create(struct mh_kern *k)
{
	mh_hub_set_handler(k, MH__FRAME__BODY_STATE_ASK, on_state_ask, k);
}
