/**
 * DOC: apply, show and history: the declarations in the KV service.
 *
 * A document is written once under its own write id; then the small head
 * value is moved to it by compare-and-swap.  An answer lost after the write
 * took effect is told from a lost race by the write id in the head or in
 * its history.
 */

#include "marlctl.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define HISTORY 20
#define TRIES 3
#define WRITE_ID_BYTES 12

struct mh_decl *
read_current(const struct options *o, json_t **head, uint64_t *cas)
{
	struct stored s, doc;
	struct mh_decl *d = NULL;
	GError *err = NULL;
	gsize len;
	const char *data;

	*head = NULL;
	*cas = 0;
	store_get(o->kv, MH_CONF_HEAD, &s);
	if (!s.answered)
		die(EXIT_BAD,
		    "the KV service does not answer; try again "
		    "when it is back (what is in force stays)");
	if (!s.found)
		return NULL;
	*cas = s.cas;
	data = g_bytes_get_data(s.value, &len);
	*head = json_loadb(data, len, 0, NULL);
	if (*head == NULL)
		die(EXIT_BAD,
		    "the head value is malformed; apply again from "
		    "version control");
	store_get(
	    o->kv, json_string_value(json_object_get(*head, "doc")), &doc);
	if (doc.found) {
		d = mh_decl_read(doc.value, &err);
		if (d == NULL)
			die(EXIT_BAD, "stored document: %s", err->message);
		d->generation = (uint64_t)json_integer_value(
		    json_object_get(*head, "generation"));
	}
	stored_clear(&doc);
	stored_clear(&s);
	return d;
}

static char *
new_write_id(void)
{
	uint8_t raw[WRITE_ID_BYTES];
	char hex[2 * WRITE_ID_BYTES + 1];

	randombytes_buf(raw, sizeof(raw));
	sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw));
	return g_strdup(hex);
}

static json_t *
new_history(
    json_t *head, uint64_t generation, const char *write_id, const char *file)
{
	json_t *old = json_object_get(head, "history"), *a = json_array();
	GDateTime *now = g_date_time_new_now_utc();
	char *at = g_date_time_format_iso8601(now);
	char *base = g_path_get_basename(file);

	json_array_append_new(a,
	    json_pack("{s:I, s:s, s:s, s:s}", "generation",
		(json_int_t)generation, "write_id", write_id, "at", at, "file",
		base));
	for (size_t i = 0; i < json_array_size(old) && i + 1 < HISTORY; i++)
		json_array_append(a, json_array_get(old, i));
	g_free(base);
	g_free(at);
	g_date_time_unref(now);
	return a;
}

static bool
holds_write(json_t *head, const char *write_id)
{
	json_t *h;
	size_t i;

	json_array_foreach(json_object_get(head, "history"), i, h)
	{
		const char *id =
		    json_string_value(json_object_get(h, "write_id"));

		if (id != NULL && strcmp(id, write_id) == 0)
			return true;
	}
	return false;
}

/* The document's own key is new: a lost answer is settled by reading it. */
static void
write_doc(const struct options *o, const char *write_id, GBytes *doc)
{
	char *name = g_strconcat(MH_CONF_DOC, write_id, NULL);
	struct stored s;

	for (int i = 0; i < TRIES; i++) {
		if (store_put(o->kv, name, 0, doc) == WRITTEN)
			break;
		store_get(o->kv, name, &s);
		if (s.found) {
			stored_clear(&s);
			break;
		}
		if (i + 1 == TRIES)
			die(EXIT_BAD,
			    "the KV service does not answer; nothing "
			    "was applied, try again");
	}
	g_free(name);
}

/* What became of a head write: read it back until the service answers. */
static enum written
settle(const struct options *o, const char *write_id)
{
	json_t *head;
	uint64_t cas;
	struct mh_decl *d = read_current(o, &head, &cas);
	bool mine = holds_write(head, write_id);

	mh_decl_unref(d);
	json_decref(head);
	return mine ? WRITTEN : LOST_RACE;
}

static void
check_base(const struct options *o, uint64_t generation)
{
	if (o->base_generation >= 0 &&
	    (uint64_t)o->base_generation != generation)
		die(EXIT_BAD,
		    "lost race: generation %" PRIu64
		    " is in force, not %" PRId64
		    "; diff again and apply against that",
		    generation, o->base_generation);
}

/** struct current - what is in force. */
struct current {
	struct mh_decl *decl; /* NULL: nothing was applied yet */
	json_t *head;
	uint64_t cas;
};

static void
current_clear(struct current *c)
{
	json_decref(c->head);
	mh_decl_unref(c->decl);
}

/* Puts @doc in force after @c; @what stands in the history. */
static enum written
put_in_force(const struct options *o, const struct current *c, GBytes *doc,
    const char *what)
{
	uint64_t base = c->decl == NULL ? 0 : c->decl->generation;
	char *id = new_write_id();
	json_t *history = new_history(c->head, base + 1, id, what);
	GBytes *value;
	enum written w;

	write_doc(o, id, doc);
	value = mh_conf_head_make(base + 1, id, doc, base,
	    c->decl == NULL ? NULL : c->decl->doc, history);
	w = store_put(o->kv, MH_CONF_HEAD, c->cas, value);
	if (w == NO_ANSWER)
		w = settle(o, id);
	if (w == WRITTEN)
		printf("applied generation=%" PRIu64 " write_id=%s\n", base + 1,
		    id);
	json_decref(history);
	g_bytes_unref(value);
	g_free(id);
	return w;
}

/*
 * A document from version control knows nothing of what was evacuated since;
 * one that has a list of its own says it itself.
 */
static GBytes *
keep_evacuated(const struct mh_decl *new, const struct mh_decl *old)
{
	GError *err = NULL;
	GBytes *doc;

	if (new->evacuated != NULL || old == NULL || old->evacuated == NULL)
		return g_bytes_ref(new->doc);
	doc = mh_decl_with_evacuated(new->doc, old->evacuated, &err);
	if (doc == NULL)
		die(EXIT_BAD, "%s", err->message);
	printf("evacuated domains stay so: %u\n", old->evacuated->len);
	return doc;
}

int
cmd_apply(const struct options *o, const char *file)
{
	GBytes *text = read_file(file), *doc;
	GError *err = NULL;
	struct mh_decl *new = mh_decl_read(text, &err);
	struct current c;

	if (new == NULL)
		die(EXIT_BAD, "%s: %s", file, err->message);
	c.decl = read_current(o, &c.head, &c.cas);
	check_base(o, c.decl == NULL ? 0 : c.decl->generation);
	doc = keep_evacuated(new, c.decl);
	if (put_in_force(o, &c, doc, file) != WRITTEN)
		die(EXIT_BAD,
		    "lost race: somebody else applied first; diff "
		    "again and apply against the new generation");
	current_clear(&c);
	mh_decl_unref(new);
	g_bytes_unref(doc);
	g_bytes_unref(text);
	return 0;
}

/* What is evacuated, with @domain or without. */
static GPtrArray *
changed_list(const struct mh_decl *d, const char *domain, bool evacuate)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; d->evacuated != NULL && i < d->evacuated->len; i++) {
		if (strcmp(d->evacuated->pdata[i], domain) != 0)
			g_ptr_array_add(list, g_strdup(d->evacuated->pdata[i]));
	}
	if (evacuate)
		g_ptr_array_add(list, g_strdup(domain));
	return list;
}

static enum written
try_change(const struct options *o, const char *domain, bool evacuate)
{
	GError *err = NULL;
	struct current c;
	GPtrArray *list;
	GBytes *doc;
	char *what;
	enum written w = WRITTEN;

	c.decl = read_current(o, &c.head, &c.cas);
	if (c.decl == NULL)
		die(EXIT_BAD, "nothing was applied yet; use marlctl apply");
	if (mh_decl_evacuated(c.decl, domain) == evacuate) {
		printf("%s: %s already\n", domain,
		    evacuate ? "is evacuated" : "is in use");
		current_clear(&c);
		return w;
	}
	list = changed_list(c.decl, domain, evacuate);
	doc = mh_decl_with_evacuated(c.decl->doc, list, &err);
	if (doc == NULL)
		die(EXIT_BAD, "%s", err->message);
	what = g_strdup_printf(
	    "%s-%s", evacuate ? "evacuate" : "take-back", domain);
	w = put_in_force(o, &c, doc, what);
	g_free(what);
	g_ptr_array_free(list, TRUE);
	g_bytes_unref(doc);
	current_clear(&c);
	return w;
}

static int
change_evacuated(const struct options *o, const char *domain, bool evacuate)
{
	if (!mh_domain_ok(domain))
		die(EXIT_BAD,
		    "\"%s\" can't name a failure domain: use letters, digits, "
		    "\"-\", \"_\", \".\" and \":\"",
		    domain);
	for (int i = 0; i < TRIES; i++) {
		if (try_change(o, domain, evacuate) == WRITTEN)
			return 0;
	}
	die(EXIT_BAD, "others apply all the time; try again");
}

int
cmd_evacuate(const struct options *o, const char *domain)
{
	return change_evacuated(o, domain, true);
}

int
cmd_take_back(const struct options *o, const char *domain)
{
	return change_evacuated(o, domain, false);
}

int
cmd_show(const struct options *o)
{
	json_t *head;
	uint64_t cas;
	struct mh_decl *d = read_current(o, &head, &cas);
	gsize len;
	const char *data;

	if (d == NULL)
		die(EXIT_BAD, "nothing was applied yet; use marlctl apply");
	data = g_bytes_get_data(d->doc, &len);
	printf("# generation %" PRIu64 "\n%.*s", d->generation, (int)len, data);
	mh_decl_unref(d);
	json_decref(head);
	return 0;
}

int
cmd_history(const struct options *o)
{
	json_t *head, *h;
	uint64_t cas;
	struct mh_decl *d = read_current(o, &head, &cas);
	size_t i;

	json_array_foreach(json_object_get(head, "history"), i, h)
	{
		printf("generation=%" JSON_INTEGER_FORMAT
		       " at=%s file=%s write_id=%s\n",
		    json_integer_value(json_object_get(h, "generation")),
		    json_string_value(json_object_get(h, "at")),
		    json_string_value(json_object_get(h, "file")),
		    json_string_value(json_object_get(h, "write_id")));
	}
	mh_decl_unref(d);
	json_decref(head);
	return 0;
}
