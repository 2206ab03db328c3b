/**
 * DOC: The configuration in force.  Its generation only increases.
 *
 * A few processes per failure domain watch the small head value in the KV
 * service, which contains a delta from the previous generation.  Every frame
 * between processes carries its sender's generation.  A process that receives
 * a higher one than its own fetches the delta from that peer.
 */

#include "marlhoist.h"

#include <string.h>

#define TICK_US (500 * MH_US_PER_MS)
/* A connection that has gone silent is found at the end of a watch. */
#define WATCH_US (8 * MH_US_PER_S)
#define BACKOFF_US (500 * MH_US_PER_MS)
#define FETCH_RETRY_US (300 * MH_US_PER_MS)
#define MAX_KEPT_DOCS 4

struct kept {
	uint64_t generation;
	GBytes *doc;
};

struct listener {
	mh_conf_fn fn;
	void *arg;
};

struct conf {
	struct mh_kern *k;
	struct mh_decl *decl;
	GQueue kept; /* newest first */
	GArray *listeners;
	uint64_t head_index;
	uint64_t token; /* of the KV call in flight, 0: none */
	bool fetching; /* that call fetches a document */
	json_t *head; /* the head whose document is being fetched */
	int64_t kv_next_us; /* no KV call before this */
	int64_t kv_started_us; /* start of the last KV call */
	int64_t requested_us; /* last request to a peer; 0: none in flight */
	struct mh_timer *tick;
};

static void on_tick(void *arg);

struct mh_decl *
mh_conf_get(struct mh_kern *k)
{
	struct conf *c = mh_kern_get(k, "conf");

	return c == NULL ? NULL : c->decl;
}

uint64_t
mh_conf_generation(struct mh_kern *k)
{
	struct mh_decl *d = mh_conf_get(k);

	return d == NULL ? 0 : d->generation;
}

void
mh_conf_on_change(struct mh_kern *k, mh_conf_fn fn, void *arg)
{
	struct conf *c = mh_kern_get(k, "conf");
	struct listener l = { fn, arg };

	g_array_append_val(c->listeners, l);
}

static void
keep_doc(struct conf *c, uint64_t generation, GBytes *doc)
{
	struct kept *n = g_new0(struct kept, 1);

	n->generation = generation;
	n->doc = g_bytes_ref(doc);
	g_queue_push_head(&c->kept, n);
	while (g_queue_get_length(&c->kept) > MAX_KEPT_DOCS) {
		struct kept *old = g_queue_pop_tail(&c->kept);

		g_bytes_unref(old->doc);
		g_free(old);
	}
}

static GBytes *
find_doc(struct conf *c, uint64_t generation)
{
	for (GList *l = c->kept.head; l != NULL; l = l->next) {
		struct kept *n = l->data;

		if (n->generation == generation)
			return n->doc;
	}
	return NULL;
}

static void
announce(void *arg, struct mh_peer *p)
{
	struct conf *c = arg;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Ping ping = MH__PING__INIT;

	if (!p->up || p->generation >= c->decl->generation)
		return;
	f.body_case = MH__FRAME__BODY_PING;
	f.ping = &ping;
	mh_frame_send(c->k, p->conn, &f);
}

bool
mh_conf_load(struct mh_kern *k, uint64_t generation, GBytes *doc, GError **err)
{
	struct conf *c = mh_kern_get(k, "conf");
	struct mh_decl *d;

	/* An older generation never replaces a newer one. */
	if (generation <= mh_conf_generation(k)) {
		mh_count(k, "conf_older_refused", 1);
		return true;
	}
	d = mh_decl_read(doc, err);
	if (d == NULL)
		return false;
	d->generation = generation;
	mh_decl_unref(c->decl);
	c->decl = d;
	keep_doc(c, generation, doc);
	mh_count(k, "conf_changes", 1);
	mh_log(k, "conf", "Generation in force: generation=%" PRIu64 ".",
	    generation);
	for (guint i = 0; i < c->listeners->len; i++) {
		struct listener *l =
		    &g_array_index(c->listeners, struct listener, i);

		l->fn(l->arg, d);
	}
	mh_member_foreach(k, announce, c);
	return true;
}

static void
load_or_log(struct conf *c, uint64_t generation, GBytes *doc)
{
	GError *err = NULL;

	if (mh_conf_load(c->k, generation, doc, &err))
		return;
	mh_count(c->k, "conf_rejected", 1);
	mh_log(c->k, "conf", "Generation rejected: generation=%" PRIu64 " %s.",
	    generation, err->message);
	g_error_free(err);
}

/* Lengths of the common prefix and the common suffix of two documents. */
static void
common_affixes(GBytes *old, GBytes *new, uint32_t *prefix, uint32_t *suffix)
{
	gsize ol, nl;
	const uint8_t *o = g_bytes_get_data(old, &ol);
	const uint8_t *n = g_bytes_get_data(new, &nl);
	gsize shorter = MIN(ol, nl), p = 0, s = 0;

	while (p < shorter && o[p] == n[p])
		p++;
	while (s < shorter - p && o[ol - 1 - s] == n[nl - 1 - s])
		s++;
	*prefix = (uint32_t)p;
	*suffix = (uint32_t)s;
}

/* Returns NULL if the lengths exceed the old document or the hash differs. */
static GBytes *
patch(GBytes *old, uint32_t prefix, uint32_t suffix, const void *middle,
    size_t len, uint64_t hash)
{
	gsize ol;
	const uint8_t *o = g_bytes_get_data(old, &ol);
	GByteArray *a;

	if ((gsize)prefix + suffix > ol)
		return NULL;
	a = g_byte_array_new();
	g_byte_array_append(a, o, prefix);
	g_byte_array_append(a, middle, (guint)len);
	g_byte_array_append(a, o + ol - suffix, suffix);
	if (mh_hash(a->data, a->len) != hash) {
		g_byte_array_unref(a);
		return NULL;
	}
	return g_byte_array_free_to_bytes(a);
}

static char *
hash_text(GBytes *doc)
{
	gsize len;
	const void *data = g_bytes_get_data(doc, &len);

	return g_strdup_printf("%016" PRIx64, mh_hash(data, len));
}

GBytes *
mh_conf_head_make(uint64_t generation, const char *write_id, GBytes *doc,
    uint64_t base, GBytes *base_doc, json_t *history)
{
	char *hash = hash_text(doc), *name, *text;
	json_t *o = json_object();
	uint32_t prefix, suffix;
	gsize len;
	const char *data = g_bytes_get_data(doc, &len);

	name = g_strconcat(MH_CONF_DOC, write_id, NULL);
	json_object_set_new(
	    o, "generation", json_integer((json_int_t)generation));
	json_object_set_new(o, "write_id", json_string(write_id));
	json_object_set_new(o, "doc", json_string(name));
	json_object_set_new(o, "hash", json_string(hash));
	if (history != NULL)
		json_object_set(o, "history", history);
	if (base_doc != NULL) {
		common_affixes(base_doc, doc, &prefix, &suffix);
		json_object_set_new(o, "base", json_integer((json_int_t)base));
		json_object_set_new(o, "prefix", json_integer(prefix));
		json_object_set_new(o, "suffix", json_integer(suffix));
		json_object_set_new(o, "middle",
		    json_stringn_nocheck(data + prefix, len - prefix - suffix));
	}
	text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(o);
	g_free(hash);
	g_free(name);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static void
kv_call(struct conf *c, enum mh_kv_op op, const char *name)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_KV);

	c->token = mh_next_id(c->k);
	c->kv_started_us = mh_now(c->k);
	m->u.kv.op = op;
	m->u.kv.token = c->token;
	m->u.kv.reply_to = g_strdup("conf");
	m->u.kv.name = g_strdup(name);
	m->u.kv.index = c->head_index;
	m->u.kv.wait_us = WATCH_US;
	mh_count(c->k, "conf_kv_calls", 1);
	mh_post(c->k, "kv", m);
}

static uint64_t
head_u64(json_t *head, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(head, name));
}

static GBytes *
head_patch(struct conf *c, json_t *head)
{
	json_t *middle = json_object_get(head, "middle");
	const char *hash = json_string_value(json_object_get(head, "hash"));
	GBytes *base;

	if (!json_is_string(middle) || hash == NULL)
		return NULL;
	base = find_doc(c, head_u64(head, "base"));
	if (base == NULL)
		return NULL;
	return patch(base, (uint32_t)head_u64(head, "prefix"),
	    (uint32_t)head_u64(head, "suffix"), json_string_value(middle),
	    json_string_length(middle), g_ascii_strtoull(hash, NULL, 16));
}

static void
handle_head(struct conf *c, GBytes *value)
{
	gsize len;
	const char *data = g_bytes_get_data(value, &len);
	json_t *head = json_loadb(data, len, 0, NULL);
	const char *name;
	GBytes *doc;

	name = json_string_value(json_object_get(head, "doc"));
	if (name == NULL) {
		mh_count(c->k, "conf_bad_head", 1);
		mh_log(
		    c->k, "conf", "The head value is malformed; apply again.");
		json_decref(head);
		return;
	}
	if (head_u64(head, "generation") <= mh_conf_generation(c->k)) {
		/* A KV service restored to an older state is ignored. */
		json_decref(head);
		return;
	}
	doc = head_patch(c, head);
	if (doc != NULL) {
		load_or_log(c, head_u64(head, "generation"), doc);
		g_bytes_unref(doc);
		json_decref(head);
		return;
	}
	c->fetching = true;
	json_decref(c->head);
	c->head = head;
	kv_call(c, MH_KV_GET, name);
}

/* Reads the head again: a watch would wait for a change of the head. */
static void
bad_doc(struct conf *c)
{
	mh_count(c->k, "conf_bad_doc", 1);
	c->head_index = 0;
	c->kv_next_us = mh_now(c->k) + BACKOFF_US;
}

static void
handle_doc(struct conf *c, GBytes *doc)
{
	char *hash = hash_text(doc);
	const char *want = json_string_value(json_object_get(c->head, "hash"));

	if (want != NULL && strcmp(hash, want) == 0)
		load_or_log(c, head_u64(c->head, "generation"), doc);
	else
		bad_doc(c);
	g_free(hash);
}

static void
kv_done(struct conf *c, const struct mh_kv_msg *v)
{
	bool fetched = c->fetching;

	if (v->token != c->token)
		return;
	c->token = 0;
	c->fetching = false;
	if (!v->ok) {
		mh_count(c->k, "conf_kv_failed", 1);
		c->head_index = 0;
		c->kv_next_us = mh_now(c->k) + BACKOFF_US +
		    (int64_t)(mh_random_unit(c->k) * (double)BACKOFF_US);
		return;
	}
	if (fetched) {
		if (v->found)
			handle_doc(c, v->value);
		else
			c->head_index = 0;
		return;
	}
	/* Limits the rate of watches that return at once without a change. */
	if (v->index == c->head_index)
		c->kv_next_us = c->kv_started_us + BACKOFF_US;
	/* A smaller index: the KV service was restored, so start over. */
	c->head_index = v->index >= c->head_index ? v->index : 0;
	if (!v->found)
		c->kv_next_us = mh_now(c->k) + BACKOFF_US;
	else
		handle_head(c, v->value);
	if (c->token == 0 && mh_now(c->k) >= c->kv_next_us) {
		mh_timer_stop(c->k, &c->tick);
		on_tick(c);
	}
}

static void
on_tick(void *arg)
{
	struct conf *c = arg;

	mh_timer_set(c->k, &c->tick, TICK_US, on_tick, c);
	if (c->token != 0 || mh_now(c->k) < c->kv_next_us)
		return;
	if (mh_member_is_watcher(c->k, "config") || c->decl == NULL)
		kv_call(c, MH_KV_WATCH, MH_CONF_HEAD);
}

void
mh_conf_peer_generation(struct mh_kern *k, uint64_t conn, uint64_t generation)
{
	struct conf *c = mh_kern_get(k, "conf");
	struct mh_peer *p = mh_member_conn(k, conn);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__ConfigAsk ask = MH__CONFIG_ASK__INIT;

	if (p != NULL)
		p->generation = MAX(p->generation, generation);
	if (c == NULL || generation <= mh_conf_generation(k))
		return;
	/* One request at a time; it is retried if no reply arrives. */
	if (c->requested_us > 0 && mh_now(k) < c->requested_us + FETCH_RETRY_US)
		return;
	c->requested_us = mh_now(k);
	ask.have = mh_conf_generation(k);
	f.body_case = MH__FRAME__BODY_CONFIG_ASK;
	f.config_ask = &ask;
	mh_frame_send(k, conn, &f);
}

static void
on_config_ask(void *arg, uint64_t conn, const Mh__Frame *in)
{
	struct conf *c = arg;
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Config conf = MH__CONFIG__INIT;
	const uint8_t *data;
	GBytes *old;
	gsize len;

	if (c->decl == NULL || in->config_ask->have >= c->decl->generation)
		return;
	data = g_bytes_get_data(c->decl->doc, &len);
	conf.generation = c->decl->generation;
	conf.hash = mh_hash(data, len);
	old = find_doc(c, in->config_ask->have);
	if (old != NULL) {
		conf.base_generation = in->config_ask->have;
		common_affixes(old, c->decl->doc, &conf.prefix, &conf.suffix);
	}
	conf.doc.data = (uint8_t *)(uintptr_t)data + conf.prefix;
	conf.doc.len = len - conf.prefix - conf.suffix;
	f.body_case = MH__FRAME__BODY_CONFIG;
	f.config = &conf;
	mh_frame_send(c->k, conn, &f);
}

static void
on_config(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct conf *c = arg;
	const Mh__Config *n = f->config;
	GBytes *empty, *old, *doc;

	(void)conn;
	c->requested_us = 0;
	if (n->generation <= mh_conf_generation(c->k))
		return;
	empty = g_bytes_new(NULL, 0);
	old = n->base_generation == 0 ? empty : find_doc(c, n->base_generation);
	doc = old == NULL ? NULL
			  : patch(old, n->prefix, n->suffix, n->doc.data,
				n->doc.len, n->hash);
	g_bytes_unref(empty);
	if (doc == NULL) {
		mh_count(c->k, "conf_bad_delta", 1);
		return;
	}
	mh_count(c->k, "conf_from_peer", 1);
	load_or_log(c, n->generation, doc);
	g_bytes_unref(doc);
}

json_t *
mh_conf_state(struct mh_kern *k)
{
	struct conf *c = mh_kern_get(k, "conf");

	return json_pack("{s:I, s:b, s:b}", "generation",
	    (json_int_t)mh_conf_generation(k), "watching",
	    mh_member_is_watcher(k, "config"), "kv_waiting", c->token != 0);
}

static void
handle(void *self, struct mh_msg *m)
{
	if (m->kind == MH_MSG_KV_DONE)
		kv_done(self, &m->u.kv);
}

static void
destroy(void *self)
{
	struct conf *c = self;
	struct kept *n;

	mh_timer_stop(c->k, &c->tick);
	mh_decl_unref(c->decl);
	while ((n = g_queue_pop_head(&c->kept)) != NULL) {
		g_bytes_unref(n->doc);
		g_free(n);
	}
	g_array_free(c->listeners, TRUE);
	json_decref(c->head);
	g_free(c);
}

void
mh_conf_create(struct mh_kern *k)
{
	struct conf *c = g_new0(struct conf, 1);

	c->k = k;
	c->listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
	g_queue_init(&c->kept);
	mh_kern_add(k, "conf", c, handle, destroy);
	mh_hub_set_handler(k, MH__FRAME__BODY_CONFIG_ASK, on_config_ask, c);
	mh_hub_set_handler(k, MH__FRAME__BODY_CONFIG, on_config, c);
	mh_timer_set(k, &c->tick, 0, on_tick, c);
}
