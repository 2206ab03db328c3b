/**
 * DOC: Compares texts of whole sessions with reviewed files in golden/.
 */

#include "golden.h"
#include "regress.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

void
golden_compare(const char *name, const char *text)
{
	char *path = g_strconcat(regress_dir, "/golden/", name, ".txt", NULL);
	const char *mode = g_getenv("MARLHOIST_GOLDEN");
	char *want = NULL;

	if (mode != NULL && strcmp(mode, "write") == 0)
		g_file_set_contents(path, text, -1, NULL);
	if (!g_file_get_contents(path, &want, NULL, NULL))
		want = g_strdup("");
	if (strcmp(want, text) != 0)
		printf("\n--- %s: got\n%s\n--- wanted\n%s\n", name, text, want);
	CU_ASSERT_STRING_EQUAL(text, want);
	g_free(want);
	g_free(path);
}
