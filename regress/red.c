/**
 * DOC: The list of known failures, an entry a line.
 */

#include "red.h"

#include <glib.h>

#define PARTS 4
/* What tests don't play: a day of the bench, a seed of the soak. */
static const char *const elsewhere[] = { "day ", "soak ", NULL };

bool
red_line_counts(const char *line)
{
	return *line != '\0' && *line != '#';
}

static const char *
wrong_with(char **part)
{
	char *end;

	if (g_strv_length(part) != PARTS)
		return "not \"test or day | command and seed | what was seen "
		       "| issue\"";
	for (int i = 0; i < PARTS; i++) {
		if (*g_strstrip(part[i]) == '\0')
			return "a part is empty";
	}
	if (g_ascii_strtoull(part[PARTS - 1], &end, 10) == 0 || *end != '\0')
		return "the issue is not a number";
	return NULL;
}

struct red_entry *
red_entry_parse(const char *line, const char **why)
{
	char **part = g_strsplit(line, "|", -1);
	struct red_entry *e = NULL;

	*why = wrong_with(part);
	if (*why != NULL)
		goto done;
	e = g_new0(struct red_entry, 1);
	e->name = g_strdup(part[0]);
	e->command = g_strdup(part[1]);
	e->seen = g_strdup(part[2]);
	e->issue = (uint32_t)g_ascii_strtoull(part[3], NULL, 10);
	for (int i = 0; elsewhere[i] != NULL; i++)
		e->is_elsewhere |= g_str_has_prefix(e->name, elsewhere[i]);
done:
	g_strfreev(part);
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
