/**
 * DOC: Table-driven reader of YAML mappings from libyaml's document tree.
 *
 * An unknown, duplicate, missing or out-of-range field is an error whose
 * message names the line, the field, the reason and the remedy.
 */

#include "marlhoist.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#define MAX_DOC_BYTES (1U << 20) /* largest value of the KV service */
#define MAX_DEPTH 16

struct reader {
	yaml_document_t doc;
	int depth;
};

static bool read_map(struct reader *r, yaml_node_t *node,
    const struct mh_table *t, void *out, GError **err);

static unsigned
line_of(const yaml_node_t *n)
{
	return (unsigned)n->start_mark.line + 1;
}

static const char *
text_of(const yaml_node_t *n)
{
	return (const char *)n->data.scalar.value;
}

static bool
fail(GError **err, const yaml_node_t *n, const char *field, const char *reason,
    const char *remedy)
{
	g_set_error(err, MH_ERROR, MH_ERR_DECL, "line %u: field \"%s\": %s; %s",
	    line_of(n), field, reason, remedy);
	return false;
}

static bool
is_scalar(const yaml_node_t *n, const char *field, GError **err)
{
	if (n->type != YAML_SCALAR_NODE)
		return fail(err, n, field, "is not a single value",
		    "write one value here");
	if (strlen(text_of(n)) != n->data.scalar.length)
		return fail(err, n, field, "holds a zero byte", "remove it");
	return true;
}

static bool
read_number(
    const yaml_node_t *n, const struct mh_field *f, double *out, GError **err)
{
	char *end, *remedy;
	double v;
	bool ok;

	if (!is_scalar(n, f->name, err))
		return false;
	errno = 0;
	v = g_ascii_strtod(text_of(n), &end);
	ok = errno == 0 && end != text_of(n) && *end == '\0' && isfinite(v) &&
	    v >= f->min && v <= f->max;
	if (ok && f->type == MH_F_U32 && v != floor(v))
		ok = false;
	if (ok) {
		*out = v;
		return true;
	}
	remedy = g_strdup_printf("write a%s number from %g to %g",
	    f->type == MH_F_U32 ? " whole" : "", f->min, f->max);
	fail(err, n, f->name, "is out of range or no number", remedy);
	g_free(remedy);
	return false;
}

static bool
read_enum(
    const yaml_node_t *n, const struct mh_field *f, uint32_t *out, GError **err)
{
	char *all, *remedy;

	if (!is_scalar(n, f->name, err))
		return false;
	for (uint32_t i = 0; f->words[i] != NULL; i++) {
		if (strcmp(f->words[i], text_of(n)) == 0) {
			*out = i;
			return true;
		}
	}
	all = g_strjoinv(", ", (char **)f->words);
	remedy = g_strdup_printf("write one of: %s", all);
	fail(err, n, f->name, "is not a known word", remedy);
	g_free(remedy);
	g_free(all);
	return false;
}

static bool
read_bool(
    const yaml_node_t *n, const struct mh_field *f, bool *out, GError **err)
{
	if (!is_scalar(n, f->name, err))
		return false;
	if (strcmp(text_of(n), "true") == 0)
		*out = true;
	else if (strcmp(text_of(n), "false") == 0)
		*out = false;
	else
		return fail(err, n, f->name, "is neither true nor false",
		    "write true or false");
	return true;
}

static bool
read_str(
    const yaml_node_t *n, const struct mh_field *f, char **out, GError **err)
{
	if (!is_scalar(n, f->name, err))
		return false;
	if (n->data.scalar.length == 0)
		return fail(err, n, f->name, "is empty",
		    "write a text or drop the field");
	g_free(*out);
	*out = g_strdup(text_of(n));
	return true;
}

static bool
read_strs(struct reader *r, yaml_node_t *n, const struct mh_field *f,
    GPtrArray **out, GError **err)
{
	GPtrArray *a = g_ptr_array_new_with_free_func(g_free);
	yaml_node_item_t *it;

	*out = a;
	if (n->type == YAML_SCALAR_NODE) {
		g_ptr_array_add(a, g_strdup(text_of(n)));
		return true;
	}
	if (n->type != YAML_SEQUENCE_NODE)
		return fail(err, n, f->name, "is neither a text nor a list",
		    "write a text or a list of texts");
	for (it = n->data.sequence.items.start; it < n->data.sequence.items.top;
	     it++) {
		yaml_node_t *e = yaml_document_get_node(&r->doc, *it);

		if (!is_scalar(e, f->name, err))
			return false;
		g_ptr_array_add(a, g_strdup(text_of(e)));
	}
	return true;
}

static bool
read_strmap(struct reader *r, yaml_node_t *n, const struct mh_field *f,
    GHashTable **out, GError **err)
{
	yaml_node_pair_t *p;

	if (n->type != YAML_MAPPING_NODE)
		return fail(err, n, f->name, "is not a mapping",
		    "write name: value pairs");
	*out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (p = n->data.mapping.pairs.start; p < n->data.mapping.pairs.top;
	     p++) {
		yaml_node_t *key = yaml_document_get_node(&r->doc, p->key);
		yaml_node_t *val = yaml_document_get_node(&r->doc, p->value);

		if (!is_scalar(key, f->name, err) ||
		    !is_scalar(val, f->name, err))
			return false;
		g_hash_table_replace(*out, g_ascii_strdown(text_of(key), -1),
		    g_strdup(text_of(val)));
	}
	return true;
}

static bool
read_list(struct reader *r, yaml_node_t *n, const struct mh_field *f,
    GPtrArray **out, GError **err)
{
	GPtrArray *a = g_ptr_array_new_with_free_func(f->table->destroy);
	yaml_node_item_t *it;

	*out = a;
	if (n->type != YAML_SEQUENCE_NODE)
		return fail(err, n, f->name, "is not a list",
		    "write a list with dashes");
	for (it = n->data.sequence.items.start; it < n->data.sequence.items.top;
	     it++) {
		yaml_node_t *e = yaml_document_get_node(&r->doc, *it);
		void *item = g_malloc0(f->table->size);

		g_ptr_array_add(a, item);
		if (f->table->init != NULL)
			f->table->init(item);
		if (!read_map(r, e, f->table, item, err))
			return false;
	}
	return true;
}

static bool
read_field(struct reader *r, yaml_node_t *n, const struct mh_field *f,
    void *out, GError **err)
{
	void *at = (char *)out + f->offset;
	double v;

	switch (f->type) {
	case MH_F_STR:
		return read_str(n, f, at, err);
	case MH_F_BOOL:
		return read_bool(n, f, at, err);
	case MH_F_U32:
		if (!read_number(n, f, &v, err))
			return false;
		*(uint32_t *)at = (uint32_t)v;
		return true;
	case MH_F_DOUBLE:
		return read_number(n, f, at, err);
	case MH_F_MS:
		if (!read_number(n, f, &v, err))
			return false;
		*(int64_t *)at = (int64_t)(v * (double)MH_US_PER_MS);
		return true;
	case MH_F_ENUM:
		return read_enum(n, f, at, err);
	case MH_F_STRS:
		return read_strs(r, n, f, at, err);
	case MH_F_MAP:
		return read_strmap(r, n, f, at, err);
	case MH_F_LIST:
		return read_list(r, n, f, at, err);
	case MH_F_STRUCT:
		return read_map(r, n, f->table, at, err);
	case MH_F_LINE:
		break;
	}
	return true;
}

static const struct mh_field *
find_field(const struct mh_table *t, const char *name)
{
	for (const struct mh_field *f = t->fields; f->name != NULL; f++) {
		if (f->type != MH_F_LINE && strcmp(f->name, name) == 0)
			return f;
	}
	return NULL;
}

static bool
unknown_field(const struct mh_table *t, const yaml_node_t *key, GError **err)
{
	GString *remedy = g_string_new("known here:");

	for (const struct mh_field *f = t->fields; f->name != NULL; f++) {
		if (f->type != MH_F_LINE)
			g_string_append_printf(remedy, " %s", f->name);
	}
	fail(err, key, text_of(key), "is not known", remedy->str);
	g_string_free(remedy, TRUE);
	return false;
}

static bool
read_pairs(struct reader *r, yaml_node_t *node, const struct mh_table *t,
    void *out, GHashTable *seen, GError **err)
{
	yaml_node_pair_t *p;

	for (p = node->data.mapping.pairs.start;
	     p < node->data.mapping.pairs.top; p++) {
		yaml_node_t *key = yaml_document_get_node(&r->doc, p->key);
		yaml_node_t *val = yaml_document_get_node(&r->doc, p->value);
		const struct mh_field *f;

		if (!is_scalar(key, t->what, err))
			return false;
		f = find_field(t, text_of(key));
		if (f == NULL)
			return unknown_field(t, key, err);
		if (!g_hash_table_add(seen, (gpointer)f->name))
			return fail(err, key, f->name, "stands twice",
			    "keep one of the two");
		if (!read_field(r, val, f, out, err))
			return false;
	}
	return true;
}

static bool
read_map(struct reader *r, yaml_node_t *node, const struct mh_table *t,
    void *out, GError **err)
{
	GHashTable *seen;
	bool ok;

	if (node->type != YAML_MAPPING_NODE)
		return fail(err, node, t->what, "is not a mapping",
		    "write name: value pairs");
	/*
	 * An alias may refer to a node that contains it: without a limit on
	 * the depth such a document would overflow the stack.
	 */
	if (++r->depth > MAX_DEPTH)
		return fail(err, node, t->what, "nests too deep",
		    "remove aliases that hold themselves");
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	ok = read_pairs(r, node, t, out, seen, err);
	for (const struct mh_field *f = t->fields; ok && f->name != NULL; f++) {
		if (f->type == MH_F_LINE)
			*(uint32_t *)(void *)((char *)out + f->offset) =
			    line_of(node);
		else if (f->required && !g_hash_table_contains(seen, f->name))
			ok = fail(err, node, f->name, "is missing", "add it");
	}
	g_hash_table_destroy(seen);
	r->depth--;
	return ok;
}

bool
mh_yaml_read(GBytes *doc, const struct mh_table *table, void *out, GError **err)
{
	struct reader r = { .depth = 0 };
	yaml_parser_t parser;
	yaml_node_t *root;
	gsize len;
	const unsigned char *data = g_bytes_get_data(doc, &len);
	bool ok = false;

	if (len > MAX_DOC_BYTES) {
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "line 1: field \"document\": is larger than %u bytes; "
		    "split organisations among fewer keys",
		    MAX_DOC_BYTES);
		return false;
	}
	if (!yaml_parser_initialize(&parser)) {
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "line 1: field \"document\": no memory for the reader; "
		    "free some memory");
		return false;
	}
	yaml_parser_set_input_string(&parser, data, len);
	if (!yaml_parser_load(&parser, &r.doc)) {
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "line %u: field \"document\": is not YAML: %s; "
		    "mend the line",
		    (unsigned)parser.problem_mark.line + 1,
		    parser.problem != NULL ? parser.problem : "unreadable");
		yaml_parser_delete(&parser);
		return false;
	}
	root = yaml_document_get_root_node(&r.doc);
	if (root == NULL)
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "line 1: field \"document\": is empty; "
		    "start from examples/declarations.yaml");
	else
		ok = read_map(&r, root, table, out, err);
	yaml_document_delete(&r.doc);
	yaml_parser_delete(&parser);
	return ok;
}
