/**
 * DOC: The list of evacuated failure domains in a declaration document.
 *
 * The list is part of the document, so that every process receives it with the
 * document and each change of it has a generation.
 */

#include "marlhoist.h"

#include <string.h>

#define FIELD "evacuated:"

/* Whether a line continues a list that began on an earlier line. */
static bool
continues_list(const char *line)
{
	return *line == ' ' || *line == '\t' ||
	    (*line == '-' && strncmp(line, "---", 3) != 0);
}

/* The document's text without the list. */
static GString *
without_list(const char *data, gsize len)
{
	GString *out = g_string_sized_new(len + 64);
	char *text = g_strndup(data, len);
	gchar **lines = g_strsplit(text, "\n", -1);
	bool in_list = false;

	for (gchar **l = lines; *l != NULL; l++) {
		in_list = g_str_has_prefix(*l, FIELD) ||
		    (in_list && continues_list(*l));
		if (in_list)
			continue;
		g_string_append(out, *l);
		if (l[1] != NULL)
			g_string_append_c(out, '\n');
	}
	g_strfreev(lines);
	g_free(text);
	return out;
}

static void
append_list(GString *out, const GPtrArray *domains)
{
	if (out->len > 0 && out->str[out->len - 1] != '\n')
		g_string_append_c(out, '\n');
	g_string_append(out, FIELD " [");
	for (guint i = 0; i < domains->len; i++)
		g_string_append_printf(out, "%s\"%s\"", i > 0 ? ", " : "",
		    (const char *)domains->pdata[i]);
	g_string_append(out, "]\n");
}

/* Whether @d evacuates exactly these domains. */
static bool
evacuates_exactly(const struct mh_decl *d, const GPtrArray *domains)
{
	if ((d->evacuated == NULL ? 0 : d->evacuated->len) != domains->len)
		return false;
	for (guint i = 0; i < domains->len; i++) {
		if (!mh_decl_evacuated(d, domains->pdata[i]))
			return false;
	}
	return true;
}

GBytes *
mh_decl_with_evacuated(GBytes *doc, const GPtrArray *domains, GError **err)
{
	gsize len;
	const char *data = g_bytes_get_data(doc, &len);
	GString *text = without_list(data, len);
	GBytes *result;
	struct mh_decl *d;

	if (domains->len > 0)
		append_list(text, domains);
	result = g_string_free_to_bytes(text);
	d = mh_decl_read(result, NULL);
	if (d == NULL || !evacuates_exactly(d, domains)) {
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "the document's list of evacuated domains can't be "
		    "replaced; write \"" FIELD " [NAME]\" on a line of its own "
		    "and apply the document");
		g_bytes_unref(result);
		result = NULL;
	}
	mh_decl_unref(d);
	return result;
}
