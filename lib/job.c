/**
 * DOC: Jobs: the stage work of one request, as it is submitted.
 */

#include "schedint.h"

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

bool
mh_stages_sort(const uint32_t *after, uint32_t n, uint8_t *order)
{
	uint32_t placed = 0, count = 0;

	while (count < n) {
		uint32_t s = 0;

		while (s < n &&
		    ((placed >> s & 1) != 0 || (after[s] & ~placed) != 0))
			s++;
		if (s == n)
			return false;
		placed |= 1U << s;
		order[count++] = (uint8_t)s;
	}
	return true;
}

bool
mh_job_sort(const struct mh_job *j, uint8_t *order)
{
	uint32_t after[MH_GSTAGES];

	for (uint32_t s = 0; s < j->n_stages; s++)
		after[s] = j->stages[s].after;
	return mh_stages_sort(after, j->n_stages, order);
}

bool
mh_job_stage_done(const struct mh_job_stage *st)
{
	if (st->results == NULL || st->results->len != st->pieces)
		return st->pieces == 0;
	for (guint i = 0; i < st->results->len; i++) {
		const char *r = g_ptr_array_index(st->results, i);

		if (r == NULL || *r == '\0')
			return false;
	}
	return true;
}

void
mh_job_set_results(
    struct mh_job *j, uint32_t stage, char *const *results, size_t n)
{
	struct mh_job_stage *st = &j->stages[stage];

	if (st->results != NULL)
		g_ptr_array_free(st->results, TRUE);
	st->results = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < n; i++)
		g_ptr_array_add(st->results,
		    results[i] == NULL || *results[i] == '\0'
			? NULL
			: g_strdup(results[i]));
}

bool
mh_job_needs_stage(const struct mh_job *j, uint32_t stage)
{
	bool read = false;

	for (uint32_t t = 0; t < j->n_stages; t++) {
		if ((j->stages[t].after >> stage & 1) == 0 ||
		    j->stages[t].pieces == 0)
			continue;
		if (!mh_job_stage_done(&j->stages[t]) &&
		    mh_job_needs_stage(j, t))
			return true;
		read = true;
	}
	return !read;
}

void
mh_job_drop_unneeded(struct mh_job *j)
{
	for (uint32_t s = 0; s < j->n_stages; s++) {
		struct mh_job_stage *st = &j->stages[s];

		if (st->results == NULL || mh_job_needs_stage(j, s))
			continue;
		g_ptr_array_free(st->results, TRUE);
		st->results = NULL;
	}
}

char *
mh_job_final_results(const struct mh_job *j)
{
	GString *g = g_string_new(NULL);

	for (uint32_t s = 0; s < j->n_stages; s++) {
		const struct mh_job_stage *st = &j->stages[s];

		if (st->pieces == 0 || mh_sched_readers(j, s) > 0)
			continue;
		for (uint32_t i = 0; i < st->results->len; i++) {
			if (g->len > 0)
				g_string_append_c(g, ',');
			g_string_append(g, g_ptr_array_index(st->results, i));
		}
	}
	return g_string_free(g, FALSE);
}
