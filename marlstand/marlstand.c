/**
 * DOC: marlstand: stand-ins for the systems that marlhoist calls: platform,
 * model engines, stage pools and plain services.  Not for production: used by
 * tests, demo and benchmarks only.
 */

#include "marlstand.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REF_MARK "ref:"

static void load_world(struct world *w, const char *file);
static void on_request(void *arg, struct mh_http_req *r);
static void on_disconnect(void *arg, struct mh_http_req *r);
static void on_terminate(void *arg);

static G_GNUC_NORETURN void
usage(void)
{
	fprintf(stderr, "usage: marlstand [-s seed] world.json\n");
	exit(2);
}

static G_GNUC_NORETURN void
fail(const char *what)
{
	fprintf(stderr, "marlstand: %s\n", what);
	exit(2);
}

int
main(int argc, char **argv)
{
	struct world w = { .mixed_bodies = 0 };
	struct mh_httpd_args a = { .listen = "127.0.0.1:0",
		.on_request = on_request,
		.on_caller_left = on_disconnect,
		.arg = &w };
	GError *err = NULL;
	uint32_t seed = 1;
	int i = 1;

	if (argc > 2 && strcmp(argv[1], "-s") == 0) {
		seed = (uint32_t)g_ascii_strtoull(argv[2], NULL, 10);
		i = 3;
	}
	if (i + 1 != argc)
		usage();
	signal(SIGPIPE, SIG_IGN);
	w.k = mh_kern_create(seed);
	w.loop = mh_loop_create(w.k, &err);
	if (w.loop == NULL)
		fail(err->message);
	w.endpoints = g_hash_table_new(g_str_hash, g_str_equal);
	w.audit = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform_create(&w);
	relays_create(&w);
	w.ctl = mh_httpd_create(w.loop, &a, &err);
	if (w.ctl == NULL)
		fail(err->message);
	load_world(&w, argv[i]);
	printf("platform %u\nready\n", mh_httpd_port(w.ctl));
	fflush(stdout);
	mh_loop_signal(w.loop, SIGTERM, on_terminate, &w);
	mh_loop_signal(w.loop, SIGINT, on_terminate, &w);
	mh_loop_run(w.loop);
	return 0;
}

void
reply_json(struct mh_http_req *r, uint32_t status, json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_ENCODE_ANY);
	GBytes *b = g_bytes_new_with_free_func(text, strlen(text), free, text);

	json_decref(o);
	mh_req_reply(r, status, "application/json", b);
	g_bytes_unref(b);
}

/* Different tags in a body show that two requests were mixed. */
bool
find_ref(struct world *w, GBytes *body, char ref[REF_LEN + 1])
{
	gsize len;
	const char *data = g_bytes_get_data(body, &len), *p;
	char *text = g_strndup(data, len);
	bool ok = true;

	ref[0] = '\0';
	for (p = text; (p = strstr(p, REF_MARK)) != NULL;) {
		p += strlen(REF_MARK);
		if (strlen(p) < REF_LEN)
			break;
		if (ref[0] == '\0') {
			memcpy(ref, p, REF_LEN);
			ref[REF_LEN] = '\0';
		} else if (strncmp(ref, p, REF_LEN) != 0) {
			ok = false;
		}
	}
	if (!ok)
		w->mixed_bodies++;
	g_free(text);
	return ok;
}

static double
number(json_t *o, const char *name, double otherwise)
{
	json_t *v = json_object_get(o, name);

	return json_is_number(v) ? json_number_value(v) : otherwise;
}

static char *
text_of(json_t *o, const char *name)
{
	const char *t = json_string_value(json_object_get(o, name));

	return g_strdup(t == NULL ? "" : t);
}

static void
load_endpoint(struct world *w, json_t *o)
{
	struct spec s = { .name = text_of(o, "name") };
	struct endpoint *e;
	GError *err = NULL;

	s.kind = text_of(o, "kind");
	s.domain = text_of(o, "domain");
	s.service_us = (int64_t)number(o, "service_us", 2000);
	s.delay_us = (int64_t)number(o, "delay_us", 0);
	s.workers = (uint32_t)number(o, "workers", 8);
	s.step_us = (int64_t)number(o, "step_us", 10000);
	s.per_seq_us = (int64_t)number(o, "per_seq_us", 400);
	s.prefill_per_s = number(o, "prefill_per_s", 20000);
	s.cache_blocks = (uint32_t)number(o, "cache_blocks", 2000);
	s.honours_priority =
	    json_is_true(json_object_get(o, "honours_priority"));
	e = endpoint_create(w, &s, &err);
	if (e == NULL)
		fail(err->message);
	g_hash_table_insert(w->endpoints, e->spec.name, e);
	printf("%s %u\n", s.name, mh_httpd_port(e->httpd));
}

static void
load_world(struct world *w, const char *file)
{
	json_error_t err;
	json_t *o = json_load_file(file, 0, &err), *e;
	size_t i;

	if (o == NULL)
		fail(err.text);
	json_array_foreach(json_object_get(o, "endpoints"), i, e)
	{
		load_endpoint(w, e);
	}
	json_decref(o);
}

static void
add_endpoint_audit(gpointer name, gpointer value, gpointer arg)
{
	const struct endpoint *e = value;

	json_object_set_new(arg, name,
	    json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:i}", "kind",
		e->spec.kind, "calls", (json_int_t)e->calls, "busy_us",
		(json_int_t)e->busy_us, "tokens_in", (json_int_t)e->tokens_in,
		"tokens_cached", (json_int_t)e->tokens_cached, "tokens_out",
		(json_int_t)e->tokens_out, "cancelled",
		(json_int_t)e->cancelled, "falls", (int)e->crashes));
}

static void
add_run(gpointer key, gpointer value, gpointer arg)
{
	json_object_set_new(arg, key, json_integer(GPOINTER_TO_UINT(value)));
}

static void
serve_audit(struct world *w, struct mh_http_req *r)
{
	json_t *runs = json_object(), *endpoints = json_object();

	g_hash_table_foreach(w->audit, add_run, runs);
	g_hash_table_foreach(w->endpoints, add_endpoint_audit, endpoints);
	reply_json(r, 200,
	    json_pack("{s:I, s:I, s:o, s:o}", "crossed",
		(json_int_t)w->mixed_bodies, "runs", (json_int_t)w->runs,
		"keys", runs, "endpoints", endpoints));
}

static enum fault
fault_of(const char *word)
{
	static const char *const words[] = { "none", "slow", "error", "cut",
		"silent", "garbage", "dead" };

	for (size_t i = 0; word != NULL && i < G_N_ELEMENTS(words); i++) {
		if (strcmp(words[i], word) == 0)
			return (enum fault)i;
	}
	return FAULT_NONE;
}

static void
serve_fault(struct world *w, struct mh_http_req *r)
{
	gsize len;
	const char *data = g_bytes_get_data(mh_req_body(r), &len), *name;
	json_t *o = json_loadb(data, len, 0, NULL);
	struct endpoint *e = NULL;

	name = json_string_value(json_object_get(o, "name"));
	if (name != NULL)
		e = g_hash_table_lookup(w->endpoints, name);
	if (e != NULL)
		endpoint_fault(e,
		    fault_of(json_string_value(json_object_get(o, "fault"))),
		    number(o, "factor", 10));
	json_decref(o);
	reply_json(r, e != NULL ? 200 : 404, json_boolean(e != NULL));
}

static void
on_request(void *arg, struct mh_http_req *r)
{
	struct world *w = arg;

	if (strcmp(mh_req_path(r), "/ctl/audit") == 0)
		serve_audit(w, r);
	else if (strcmp(mh_req_path(r), "/ctl/fault") == 0)
		serve_fault(w, r);
	else if (!relays_serve(w, r) && !platform_serve(w, r))
		reply_json(r, 404, json_pack("{s:s}", "error", "no path"));
}

static void
on_disconnect(void *arg, struct mh_http_req *r)
{
	platform_disconnect(arg, r);
}

static void
on_terminate(void *arg)
{
	struct world *w = arg;

	mh_loop_stop(w->loop);
}
