/**
 * DOC: Command diff: shows how a new document changes the handling of requests.
 *
 * The rules of the old and the new document are evaluated for each combination
 * of organisation, pipeline and class that the new document declares.
 * Decisions that differ are printed.
 */

#include "marlctl.h"

#include <stdio.h>
#include <string.h>

#define MAX_SHOWN 200

static const char *
name_of(const char *s)
{
	return s == NULL ? "-" : s;
}

static char *
describe(const struct mh_decl *d, const struct mh_rule_input *a)
{
	struct mh_decision out;

	if (d == NULL)
		return g_strdup("nothing declared");
	mh_rules_decide(d, a, &out);
	if (out.pipeline == NULL)
		return g_strdup("no such pipeline");
	if (out.rule == NULL)
		return g_strdup("no rule");
	if (out.refuse != NULL)
		return g_strdup_printf("rule=%s refused", out.rule->name);
	return g_strdup_printf(
	    "rule=%s pipeline=%s class=%s deadline_ms=%" PRId64 " model=%s",
	    out.rule->name, out.pipeline->name, out.class->name,
	    (int64_t)(out.deadline_us / MH_US_PER_MS), name_of(out.model));
}

static guint
compare(const struct mh_decl *old, const struct mh_decl *new,
    const struct mh_rule_input *a, guint shown)
{
	char *was = describe(old, a), *is = describe(new, a);
	bool differs = strcmp(was, is) != 0;

	if (differs && shown < MAX_SHOWN)
		printf("organisation=%s pipeline=%s class=%s\n- %s\n+ %s\n",
		    a->org, a->pipeline, name_of(a->class_name), was, is);
	g_free(was);
	g_free(is);
	return differs;
}

static guint
compare_org(const struct mh_decl *old, const struct mh_decl *new,
    const char *org, guint shown)
{
	struct mh_rule_input a = { .org = org };
	guint n = 0;

	for (guint i = 0; i < new->pipelines->len; i++) {
		a.pipeline =
		    ((struct mh_pipeline *)new->pipelines->pdata[i])->name;
		a.class_name = NULL;
		n += compare(old, new, &a, shown + n);
		for (guint j = 0; j < new->classes->len; j++) {
			a.class_name =
			    ((struct mh_class *)new->classes->pdata[j])->name;
			n += compare(old, new, &a, shown + n);
		}
	}
	return n;
}

static void
compare_limits(const struct mh_decl *old, const struct mh_org *o)
{
	const struct mh_org *was =
	    old == NULL ? NULL : mh_decl_org(old, o->name);

	if (was == NULL)
		printf("+ organisation=%s\n", o->name);
	else if (was->units_per_s != o->units_per_s ||
	    was->streams != o->streams || was->weight != o->weight)
		printf("organisation=%s units_per_s %g -> %g streams %u -> %u "
		       "weight %u -> %u\n",
		    o->name, was->units_per_s, o->units_per_s, was->streams,
		    o->streams, was->weight, o->weight);
}

void
diff_decls(const struct mh_decl *old, const struct mh_decl *new)
{
	guint n = 0;

	for (guint i = 0; i < new->orgs->len; i++) {
		const struct mh_org *o = new->orgs->pdata[i];

		compare_limits(old, o);
		n += compare_org(old, new, o->name, n);
	}
	for (guint i = 0; old != NULL && i < old->orgs->len; i++) {
		const struct mh_org *o = old->orgs->pdata[i];

		if (mh_decl_org(new, o->name) == NULL)
			printf("- organisation=%s\n", o->name);
	}
	printf("decisions that change: %u\n", n);
}

int
cmd_diff(const struct options *o, const char *file)
{
	GBytes *doc = read_file(file);
	GError *err = NULL;
	struct mh_decl *new = mh_decl_read(doc, &err), *old;
	json_t *head;
	uint64_t cas;

	if (new == NULL)
		die(EXIT_BAD, "%s: %s", file, err->message);
	old = read_current(o, &head, &cas);
	printf("against generation %" PRIu64 "\n",
	    old == NULL ? (uint64_t)0 : old->generation);
	diff_decls(old, new);
	mh_decl_unref(old);
	mh_decl_unref(new);
	json_decref(head);
	g_bytes_unref(doc);
	return 0;
}
