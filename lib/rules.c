/**
 * DOC: Ordered when-then rules; the first match decides.
 */

#include "marlhoist.h"

#include <string.h>

#define MINUTES_PER_DAY 1440

static bool
in_names(const GPtrArray *names, const char *name)
{
	if (names == NULL)
		return true;
	for (guint i = 0; i < names->len; i++) {
		if (name != NULL && strcmp(names->pdata[i], name) == 0)
			return true;
	}
	return false;
}

static bool
in_labels(GHashTable *want, GHashTable *have)
{
	GHashTableIter it;
	gpointer name, value;

	if (want == NULL)
		return true;
	if (have == NULL)
		return false;
	g_hash_table_iter_init(&it, want);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const char *got = g_hash_table_lookup(have, name);

		if (got == NULL || strcmp(got, value) != 0)
			return false;
	}
	return true;
}

/* A range whose end lies before its start spans midnight. */
static bool
in_minutes(const struct mh_when *w, int64_t wall_us)
{
	int32_t now = (int32_t)(wall_us / (60 * MH_US_PER_S) % MINUTES_PER_DAY);

	if (w->from_min < 0)
		return true;
	if (w->from_min <= w->to_min)
		return now >= w->from_min && now < w->to_min;
	return now >= w->from_min || now < w->to_min;
}

/* Returns why the rule does not match, or NULL if it does. */
static const char *
mismatch(const struct mh_rule *r, const struct mh_rule_input *in)
{
	if (!in_names(r->when.organisations, in->org))
		return "organisation differs";
	if (!in_names(r->when.pipelines, in->pipeline))
		return "pipeline differs";
	if (!in_names(r->when.classes, in->class_name))
		return "class asked differs";
	if (!in_names(r->when.models, in->model))
		return "model differs";
	if (!in_labels(r->when.labels, in->labels))
		return "labels differ";
	if (!in_minutes(&r->when, in->wall_us))
		return "outside its time of day";
	return NULL;
}

static void
apply_rule(const struct mh_decl *d, const struct mh_rule *r,
    const struct mh_rule_input *in, struct mh_decision *out)
{
	out->rule = r;
	out->refuse = r->then.refuse;
	if (r->then.pipeline != NULL)
		out->pipeline = mh_decl_pipeline(d, r->then.pipeline);
	if (r->then.model != NULL)
		out->model = r->then.model;
	out->max_tokens = r->then.max_tokens;
	out->class = mh_decl_class(d, r->then.class_name);
	if (out->class == NULL)
		return;
	out->deadline_us = r->then.deadline_us > 0 ? r->then.deadline_us
						   : out->class->deadline_us;
	/* A caller can shorten the rules' deadline, not extend it. */
	if (in->deadline_us > 0 && in->deadline_us < out->deadline_us)
		out->deadline_us = in->deadline_us;
}

void
mh_rules_decide(const struct mh_decl *d, const struct mh_rule_input *in,
    struct mh_decision *out)
{
	memset(out, 0, sizeof(*out));
	out->pipeline = mh_decl_pipeline(d, in->pipeline);
	out->model = in->model;
	for (guint i = 0; i < d->rules->len; i++) {
		const struct mh_rule *r = d->rules->pdata[i];

		if (mismatch(r, in) == NULL) {
			apply_rule(d, r, in, out);
			return;
		}
	}
}

char *
mh_rules_explain(const struct mh_decl *d, const struct mh_rule_input *in)
{
	GString *s = g_string_new(NULL);

	for (guint i = 0; i < d->rules->len; i++) {
		const struct mh_rule *r = d->rules->pdata[i];
		const char *why = mismatch(r, in);

		g_string_append_printf(s, "%s (line %u): %s\n", r->name,
		    r->line, why != NULL ? why : "decides");
		if (why == NULL)
			return g_string_free(s, FALSE);
	}
	g_string_append(s, "no rule matches: the request is refused\n");
	return g_string_free(s, FALSE);
}
