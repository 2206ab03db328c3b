/**
 * DOC: Fuzzing of untrusted input by seeded mutation: frames, the declaration
 * document, the VM list, the owners' table, request bodies.  The number of
 * rounds is fixed; make check runs this under the sanitizers.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

#define ROUNDS 4000

static GBytes *
mutate(GRand *g, const void *data, size_t len)
{
	GByteArray *a = g_byte_array_new();
	int n = g_rand_int_range(g, 1, 6);

	g_byte_array_append(a, data, (guint)len);
	for (int i = 0; i < n && a->len > 0; i++) {
		guint at = g_rand_int(g) % a->len, cut;

		switch (g_rand_int_range(g, 0, 4)) {
		case 0:
			a->data[at] ^=
			    (guint8)(1U << g_rand_int_range(g, 0, 8));
			break;
		case 1:
			a->data[at] = (guint8)g_rand_int(g);
			break;
		case 2:
			g_byte_array_set_size(a, at);
			break;
		default:
			cut = 1 + g_rand_int(g) % 9;
			g_byte_array_remove_range(a, at, MIN(a->len - at, cut));
			break;
		}
	}
	return g_byte_array_free_to_bytes(a);
}

static GBytes *
valid_frame(int kind)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Call c = MH__CALL__INIT;
	Mh__CallId id = MH__CALL_ID__INIT;
	Mh__Result r = MH__RESULT__INIT;
	Mh__Handover h = MH__HANDOVER__INIT;
	Mh__Config conf = MH__CONFIG__INIT;
	Mh__Lookup look = MH__LOOKUP__INIT;
	uint8_t request[MH_ID_LEN] = { 9 };

	id.request.data = request;
	id.request.len = MH_ID_LEN;
	switch (kind) {
	case 0:
		c.id = &id;
		c.never = true;
		c.kind = MH_SERVICE;
		c.key = (char *)"acme/x";
		c.org = (char *)"acme";
		c.path = (char *)"/c";
		c.left_us = 100000;
		f.body_case = MH__FRAME__BODY_CALL;
		f.call = &c;
		break;
	case 1:
		r.id = &id;
		r.chunks = 3;
		f.body_case = MH__FRAME__BODY_RESULT;
		f.result = &r;
		break;
	case 2:
		h.service = (char *)"book";
		h.epoch = 9;
		f.body_case = MH__FRAME__BODY_HANDOVER;
		f.handover = &h;
		break;
	case 3:
		conf.generation = 9;
		conf.base_generation = 1;
		conf.prefix = 12;
		conf.suffix = 20;
		f.body_case = MH__FRAME__BODY_CONFIG;
		f.config = &conf;
		break;
	default:
		look.key = (char *)"acme/x";
		f.body_case = MH__FRAME__BODY_LOOKUP;
		f.lookup = &look;
		break;
	}
	return mh_frame_pack(&f);
}

/* Posts mutated frames to a running entry and a running side process. */
static void
test_frames(void)
{
	GRand *g = g_rand_new_with_seed(11);
	struct net *n = net_create(11);
	struct net_node *nodes[2];

	net_apply(n, 1, net_doc);
	nodes[0] = net_side(n, "book1", "book", "a", 2);
	nodes[1] = net_entry(n, "entry1", "a");
	net_run(n, 3 * MH_US_PER_S);
	for (int i = 0; i < ROUNDS; i++) {
		GBytes *valid = valid_frame(i % 5);
		gsize len;
		const void *data = g_bytes_get_data(valid, &len);
		struct mh_msg *m = mh_msg_new(MH_MSG_FRAME);

		m->u.link.conn = 1 + (uint64_t)(i % 3);
		m->u.link.frame = mutate(g, data, len);
		g_bytes_unref(valid);
		mh_post(nodes[i % 2]->k, "hub", m);
		if (i % 50 == 0)
			net_run(n, 5 * MH_US_PER_MS);
	}
	net_run(n, 10 * MH_US_PER_S);
	CU_ASSERT_EQUAL(mh_conf_generation(nodes[0]->k), 1);
	net_destroy(n);
	g_rand_free(g);
}

static void
test_declarations(void)
{
	GRand *g = g_rand_new_with_seed(12);
	int valid = 0;

	for (int i = 0; i < ROUNDS; i++) {
		GBytes *b = mutate(g, net_doc, strlen(net_doc));
		GError *err = NULL;
		struct mh_decl *d = mh_decl_read(b, &err);

		/* Either a valid document, or an error with its line. */
		CU_ASSERT((d == NULL) == (err != NULL));
		if (err != NULL)
			CU_ASSERT_PTR_NOT_NULL(strstr(err->message, "line "));
		valid += d != NULL;
		g_clear_error(&err);
		mh_decl_unref(d);
		g_bytes_unref(b);
	}
	CU_ASSERT(valid > 0 && valid < ROUNDS);
	g_rand_free(g);
}

static void
test_platform_answers(void)
{
	static const char list[] =
	    "[{\"id\":\"a\",\"addr\":\"1.2.3.4:5\",\"role\":\"side\","
	    "\"pool\":\"p\",\"domain\":\"d\",\"state\":\"live\"}]";
	GRand *g = g_rand_new_with_seed(13);
	struct mh_owners *o = mh_owners_create("book");
	GBytes *table = mh_owners_serialize(o);
	gsize len;
	const void *data = g_bytes_get_data(table, &len);

	for (int i = 0; i < ROUNDS; i++) {
		GBytes *a = mutate(g, list, strlen(list));
		GBytes *b = mutate(g, data, len);
		GPtrArray *vms = mh_vmlist_parse(a);

		mh_owners_parse(o, b);
		if (vms != NULL)
			g_ptr_array_unref(vms);
		g_bytes_unref(a);
		g_bytes_unref(b);
	}
	CU_PASS("no crash");
	g_bytes_unref(table);
	mh_owners_destroy(o);
	g_rand_free(g);
}

static void
test_callers_bodies(void)
{
	static const char body[] = "{\"input\":\"x\",\"context\":\"c\","
				   "\"max_tokens\":3,\"stream\":true,"
				   "\"body\":{\"a\":[1,2]}}";
	GRand *g = g_rand_new_with_seed(14);
	struct net *n = net_create(14);
	struct net_node *e;
	int answered = 0, sent = 0;

	net_apply(n, 1, net_doc);
	net_side(n, "enc0", "enc", "a", 4);
	e = net_entry(n, "entry1", "a");
	net_run(n, 3 * MH_US_PER_S);
	for (int i = 0; i < ROUNDS / 4; i++) {
		GBytes *b = mutate(g, body, strlen(body));
		gsize len;
		const char *data = g_bytes_get_data(b, &len);
		char *text = g_strndup(data, len);
		struct net_request_args a = { .path = "/v1/pipelines/embed",
			.body = text };
		uint64_t id = net_request(e, &a);

		net_run(n, 20 * MH_US_PER_MS);
		sent++;
		answered += net_response(n, id)->status == 200 ||
		    net_response(n, id)->status == 400;
		g_free(text);
		g_bytes_unref(b);
	}
	CU_ASSERT_EQUAL(answered, sent);
	net_destroy(n);
	g_rand_free(g);
}

const struct test tests_fuzz[] = {
	{ "frames", test_frames },
	{ "declarations", test_declarations },
	{ "platform_answers", test_platform_answers },
	{ "callers_bodies", test_callers_bodies },
	{ NULL, NULL },
};
