/**
 * DOC: The stage work of one request, as it is asked for.
 */

#include "cell.h"

#include <string.h>

struct mh_job *
mh_job_create(const char *id)
{
	struct mh_job *j = g_new0(struct mh_job, 1);

	j->id = g_strdup(id);
	return j;
}

void
mh_job_destroy(struct mh_job *j)
{
	if (j == NULL)
		return;
	for (uint32_t s = 0; s < j->n_stages; s++) {
		g_free(j->stages[s].pool);
		if (j->stages[s].results != NULL)
			g_ptr_array_free(j->stages[s].results, TRUE);
	}
	g_free(j->id);
	g_free(j->key);
	g_free(j->route);
	g_free(j->domain);
	g_free(j);
}

char *
mh_job_finals(const struct mh_job *j)
{
	GString *g = g_string_new(NULL);

	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct mh_jstage *st = &j->stages[s];

		if (st->pieces == 0 || mh_cell_followers(j, s) > 0)
			continue;
		for (uint32_t i = 0; i < st->results->len; i++) {
			if (g->len > 0)
				g_string_append_c(g, ',');
			g_string_append(g, g_ptr_array_index(st->results, i));
		}
	}
	return g_string_free(g, FALSE);
}
