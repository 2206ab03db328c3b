/**
 * DOC: Parser of KNOWN-RED.txt, the list of known failures, one a line.
 */

#include "red.h"

#include <glib.h>

#define FIELDS 4
/* Name prefixes of entries that no test of this program runs. */
static const char *const other_prefixes[] = { "day ", "soak ", NULL };

bool
red_line_is_entry(const char *line)
{
	return *line != '\0' && *line != '#';
}

static const char *
entry_error(char **field)
{
	char *end;

	if (g_strv_length(field) != FIELDS)
		return "not \"test or day | command and seed | what was seen "
		       "| issue\"";
	for (int i = 0; i < FIELDS; i++) {
		if (*g_strstrip(field[i]) == '\0')
			return "a field is empty";
	}
	if (g_ascii_strtoull(field[FIELDS - 1], &end, 10) == 0 || *end != '\0')
		return "the issue is not a number";
	return NULL;
}

struct red_entry *
red_entry_parse(const char *line, const char **why)
{
	char **field = g_strsplit(line, "|", -1);
	struct red_entry *e = NULL;

	*why = entry_error(field);
	if (*why != NULL)
		goto done;
	e = g_new0(struct red_entry, 1);
	e->name = g_strdup(field[0]);
	e->command = g_strdup(field[1]);
	e->seen = g_strdup(field[2]);
	e->issue = (uint32_t)g_ascii_strtoull(field[3], NULL, 10);
	for (int i = 0; other_prefixes[i] != NULL; i++)
		e->is_external |= g_str_has_prefix(e->name, other_prefixes[i]);
done:
	g_strfreev(field);
	return e;
}

void
red_entry_destroy(struct red_entry *e)
{
	if (e == NULL)
		return;
	g_free(e->name);
	g_free(e->command);
	g_free(e->seen);
	g_free(e);
}
