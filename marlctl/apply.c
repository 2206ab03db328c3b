/**
 * DOC: Commands that read and change the declarations in the KV service:
 * apply, evacuate, take-back, show and history.
 *
 * A document is written under a key of its own that contains a random write
 * id.  Compare-and-swap then makes the small head value refer to it.  If the
 * response to that write is lost, the write id in the history of the head
 * shows whether this write took effect or another one won the race.
 */

#include "marlctl.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define MAX_HISTORY 20
#define MAX_TRIES 3
#define WRITE_ID_BYTES 12

/*
 * Reads the head value; NULL if nothing was applied yet.
 * @unanswered: what to say if there is no response
 */
static json_t *
read_head(const struct options *o, uint64_t *cas, const char *unanswered)
{
	struct kv_value s;
	json_t *head;
	gsize len;
	const char *data;

	*cas = 0;
	store_get(o->kv, MH_CONF_HEAD, &s);
	if (!s.responded)
		die(EXIT_BAD, "the KV service does not respond; %s",
		    unanswered);
	if (!s.found)
		return NULL;
	*cas = s.cas;
	data = g_bytes_get_data(s.value, &len);
	head = json_loadb(data, len, 0, NULL);
	if (!json_is_string(json_object_get(head, "doc")) ||
	    !json_is_integer(json_object_get(head, "generation")))
		die(EXIT_BAD,
		    "the value of the key %s is malformed: restore it from a "
		    "backup of the KV service (nothing was changed)",
		    MH_CONF_HEAD);
	kv_value_clear(&s);
	return head;
}

static uint64_t
head_generation(json_t *head)
{
	return (uint64_t)json_integer_value(
	    json_object_get(head, "generation"));
}

/* Reads the document that @head names; NULL if its key doesn't exist. */
static struct mh_decl *
read_doc(const struct options *o, json_t *head)
{
	struct mh_decl *d;
	GError *err = NULL;
	struct kv_value doc;

	store_get(o->kv, json_string_value(json_object_get(head, "doc")), &doc);
	if (!doc.responded)
		die(EXIT_BAD,
		    "the KV service does not respond; try again later "
		    "(the active document is unchanged)");
	if (!doc.found)
		return NULL;
	d = mh_decl_read(doc.value, &err);
	if (d == NULL)
		die(EXIT_BAD, "stored document: %s", err->message);
	d->generation = head_generation(head);
	kv_value_clear(&doc);
	return d;
}

struct mh_decl *
read_current(const struct options *o, json_t **head, uint64_t *cas)
{
	struct mh_decl *d;

	*head = read_head(
	    o, cas, "try again later (the active document is unchanged)");
	if (*head == NULL)
		return NULL;
	d = read_doc(o, *head);
	if (d == NULL)
		die(EXIT_BAD,
		    "generation %" PRIu64 " is active, but its document, the "
		    "key %s, is missing, and which domains are evacuated with "
		    "it: restore that key, or list them under \"evacuated\" in "
		    "a document and apply it with --replace-lost",
		    head_generation(*head),
		    json_string_value(json_object_get(*head, "doc")));
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
	for (size_t i = 0; i < json_array_size(old) && i + 1 < MAX_HISTORY; i++)
		json_array_append(a, json_array_get(old, i));
	g_free(base);
	g_free(at);
	g_date_time_unref(now);
	return a;
}

static bool
has_write_id(json_t *head, const char *write_id)
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

/*
 * No other write uses this key, so after a lost response the write took effect
 * if the key exists.
 */
static void
write_doc(const struct options *o, const char *write_id, GBytes *doc)
{
	char *name = g_strconcat(MH_CONF_DOC, write_id, NULL);
	struct kv_value s;

	for (int i = 0; i < MAX_TRIES; i++) {
		if (store_put(o->kv, name, 0, doc) == WRITTEN)
			break;
		store_get(o->kv, name, &s);
		if (s.found) {
			kv_value_clear(&s);
			break;
		}
		if (i + 1 == MAX_TRIES)
			die(EXIT_BAD,
			    "the KV service does not respond; nothing "
			    "was applied, try again");
	}
	g_free(name);
}

/*
 * Reads the head to find out whether a write with a lost response took effect.
 */
static enum put_result
check_head_write(const struct options *o, const char *write_id)
{
	char *unknown = g_strdup_printf(
	    "it is not known whether this change was applied: look for "
	    "write_id=%s in marlctl history before you try again",
	    write_id);
	uint64_t cas;
	json_t *head = read_head(o, &cas, unknown);
	bool is_written = has_write_id(head, write_id);

	json_decref(head);
	g_free(unknown);
	return is_written ? WRITTEN : LOST_RACE;
}

static void
check_base(const struct options *o, uint64_t generation)
{
	if (o->base_generation >= 0 &&
	    (uint64_t)o->base_generation != generation)
		die(EXIT_BAD,
		    "lost race: generation %" PRIu64 " is active, not %" PRId64
		    "; diff again and apply against that",
		    generation, o->base_generation);
}

/** struct current - the active document and its head. */
struct current {
	struct mh_decl *decl; /* NULL: none was applied yet, or it is lost */
	json_t *head; /* NULL: none was applied yet */
	uint64_t cas;
};

static uint64_t
current_generation(const struct current *c)
{
	return c->head == NULL ? 0 : head_generation(c->head);
}

static void
current_clear(struct current *c)
{
	json_decref(c->head);
	mh_decl_unref(c->decl);
}

/*
 * Makes @doc the active document, provided that the head is still @c.
 * @source: file name or command, recorded in the history
 */
static enum put_result
activate_doc(const struct options *o, const struct current *c, GBytes *doc,
    const char *source)
{
	uint64_t base = current_generation(c);
	char *id = new_write_id();
	json_t *history = new_history(c->head, base + 1, id, source);
	GBytes *value;
	enum put_result w;

	write_doc(o, id, doc);
	value = mh_conf_head_make(base + 1, id, doc, base,
	    c->decl == NULL ? NULL : c->decl->doc, history);
	w = store_put(o->kv, MH_CONF_HEAD, c->cas, value);
	if (w == NO_RESPONSE)
		w = check_head_write(o, id);
	if (w == WRITTEN)
		printf("applied generation=%" PRIu64 " write_id=%s\n", base + 1,
		    id);
	json_decref(history);
	g_bytes_unref(value);
	g_free(id);
	return w;
}

/*
 * Returns the text of @new with the evacuated domains of @old, because a
 * document from version control doesn't include later evacuations.  If @new
 * lists evacuated domains itself, its own list is used.
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
	printf("domains that stay evacuated: %u\n", old->evacuated->len);
	return doc;
}

/* A lost document is replaced only by one that says what is evacuated. */
static void
read_to_replace(
    const struct options *o, const struct mh_decl *new, struct current *c)
{
	if (!o->replace_lost) {
		c->decl = read_current(o, &c->head, &c->cas);
		return;
	}
	if (new->evacuated == NULL)
		die(EXIT_BAD,
		    "--replace-lost needs a document that lists the evacuated "
		    "domains: add \"evacuated: []\" if there are none");
	c->head = read_head(
	    o, &c->cas, "try again later (the active document is unchanged)");
	c->decl = c->head == NULL ? NULL : read_doc(o, c->head);
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
	read_to_replace(o, new, &c);
	check_base(o, current_generation(&c));
	doc = keep_evacuated(new, c.decl);
	if (activate_doc(o, &c, doc, file) != WRITTEN)
		die(EXIT_BAD,
		    "lost race: another document was applied first; diff "
		    "again and apply against the new generation");
	current_clear(&c);
	mh_decl_unref(new);
	g_bytes_unref(doc);
	g_bytes_unref(text);
	return 0;
}

/* The evacuated domains of @d, with @domain added or removed. */
static GPtrArray *
changed_evacuated(const struct mh_decl *d, const char *domain, bool evacuate)
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

static enum put_result
try_change_evacuated(const struct options *o, const char *domain, bool evacuate)
{
	GError *err = NULL;
	struct current c;
	GPtrArray *list;
	GBytes *doc;
	char *source;
	enum put_result w = WRITTEN;

	c.decl = read_current(o, &c.head, &c.cas);
	if (c.decl == NULL)
		die(EXIT_BAD, "nothing was applied yet; use marlctl apply");
	if (mh_decl_evacuated(c.decl, domain) == evacuate) {
		printf("%s: %s already\n", domain,
		    evacuate ? "is evacuated" : "is in use");
		current_clear(&c);
		return w;
	}
	list = changed_evacuated(c.decl, domain, evacuate);
	doc = mh_decl_with_evacuated(c.decl->doc, list, &err);
	if (doc == NULL)
		die(EXIT_BAD, "%s", err->message);
	source = g_strdup_printf(
	    "%s-%s", evacuate ? "evacuate" : "take-back", domain);
	w = activate_doc(o, &c, doc, source);
	g_free(source);
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
	for (int i = 0; i < MAX_TRIES; i++) {
		if (try_change_evacuated(o, domain, evacuate) == WRITTEN)
			return 0;
	}
	die(EXIT_BAD,
	    "lost race: other documents are being applied; try again");
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
	uint64_t cas;
	json_t *head = read_head(o, &cas, "try again later"), *h;
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
	json_decref(head);
	return 0;
}
