/**
 * DOC: Declarations and rules: each kind of invalid input has its error
 * message, and an invalid document is rejected as a whole.
 */

#include "net.h"
#include "regress.h"

#include <string.h>

static struct mh_decl *
read_text(const char *text, GError **err)
{
	GBytes *b = g_bytes_new(text, strlen(text));
	struct mh_decl *d = mh_decl_read(b, err);

	g_bytes_unref(b);
	return d;
}

struct invalid_case {
	const char *from; /* replaced in the valid document */
	const char *to;
	const char *message; /* part of the expected error message */
};

static const struct invalid_case invalid_cases[] = {
	{ "classes:", "clases:", "line 2: field \"clases\": is not known" },
	{ "priority: 0", "priority: 9", "whole number from 0 to 3" },
	{ "priority: 0", "priority: 0.5", "whole number" },
	{ "priority: 0", "priority: 0, priority: 1", "stands twice" },
	{ "deadline_ms: 2000", "deadline_ms: soon", "no number" },
	{ "kind: encode}\n  - {name: ret", "kind: encoder}\n  - {name: ret",
	    "write one of: encode, retrieve" },
	{ "pool: enc, repeat: safe}\n      - {name: retrieve",
	    "pool: gone, repeat: safe}\n      - {name: retrieve",
	    "names no declared pool" },
	{ "kind: rerank, pool: rer", "kind: generate, pool: llm",
	    "second generate stage" },
	{ "repeat: never", "repeat: sometimes", "safe, never" },
	{ "path: /c, ", "", "needs the path" },
	{ "path: /c", "path: c", "does not start with /" },
	{ "name: llm, kind: generate", "name: enc, kind: generate",
	    "stands twice; rename" },
	{ "{class: urgent}", "{class: urgentest}", "no declared class" },
	{ "then: {class: interactive}", "then: {}", "neither names a class" },
	{ "pipeline: [confirm]", "organisation: [ghost]",
	    "names something not declared" },
	{ "hash: bfcc", "hash: zfcc", "64 hexadecimal digits" },
	{ "8d609b752e134ab9185e84509f9fb48797c74dc0d23dc256c63fe09411081e55",
	    "bfcc949ea2794bc933d0265e2f9fde77b1b5235f7ce8a3ba8980471fdbe32d4c",
	    "belongs to two organisations" },
	{ "classes:", "classes: [", "is not YAML" },
	{ "share: 0.1", "share: 2", "from 0 to 0.5" },
	{ "pipeline: [confirm]", "from_minute: 60", "without to_minute" },
};

static char *
replaced(const char *from, const char *to)
{
	char **parts = g_strsplit(net_doc, from, 2);
	char *text;

	CU_ASSERT_PTR_NOT_NULL_FATAL(parts[1]);
	text = g_strconcat(parts[0], to, parts[1], NULL);
	g_strfreev(parts);
	return text;
}

static void
test_bad_documents(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
		char *text =
		    replaced(invalid_cases[i].from, invalid_cases[i].to);
		GError *err = NULL;
		struct mh_decl *d = read_text(text, &err);

		CU_ASSERT_PTR_NULL(d);
		if (err == NULL ||
		    strstr(err->message, invalid_cases[i].message) == NULL) {
			CU_FAIL("unexpected error message");
			printf("\n  %zu: %s\n  wanted: %s\n", i,
			    err == NULL ? "none" : err->message,
			    invalid_cases[i].message);
		} else {
			CU_ASSERT_EQUAL(err->code, MH_ERR_DECL);
			CU_ASSERT_PTR_NOT_NULL(strstr(err->message, "line "));
		}
		mh_decl_unref(d);
		g_clear_error(&err);
		g_free(text);
	}
}

/*
 * Guards against a document with an alias that contains itself: reading it
 * recursively would overflow the stack and crash the daemon.
 */
static void
test_alias_in_itself(void)
{
	GError *err = NULL;
	struct mh_decl *d = read_text("policy: &a\n  routing: *a\n", &err);

	CU_ASSERT_PTR_NULL(d);
	CU_ASSERT_PTR_NOT_NULL(err);
	g_clear_error(&err);
	d = read_text("classes: &a [*a]\n", &err);
	CU_ASSERT_PTR_NULL(d);
	g_clear_error(&err);
}

static void
test_first_matching_rule_applies(void)
{
	GError *err = NULL;
	struct mh_decl *d = read_text(net_doc, &err);
	struct mh_rule_input in = { .org = "acme", .pipeline = "confirm" };
	struct mh_decision out;
	char *why;

	CU_ASSERT_PTR_NOT_NULL_FATAL(d);
	mh_rules_decide(d, &in, &out);
	CU_ASSERT_STRING_EQUAL(out.rule->name, "first");
	CU_ASSERT_EQUAL(out.deadline_us, 2000 * MH_US_PER_MS);
	in.class_name = "batch";
	mh_rules_decide(d, &in, &out);
	CU_ASSERT_STRING_EQUAL(out.rule->name, "closed");
	CU_ASSERT_PTR_NOT_NULL(out.refuse);
	in.pipeline = "plan";
	in.deadline_us = 50 * MH_US_PER_S;
	mh_rules_decide(d, &in, &out);
	CU_ASSERT_STRING_EQUAL(out.rule->name, "waits");
	CU_ASSERT_EQUAL(out.deadline_us, 10 * MH_US_PER_S);
	why = mh_rules_explain(d, &in);
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "closed (line"));
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "pipeline differs"));
	CU_ASSERT_PTR_NOT_NULL(strstr(why, "waits"));
	g_free(why);
	mh_decl_unref(d);
}

static void
test_time_of_day_over_midnight(void)
{
	char *text = replaced(
	    "pipeline: [confirm]", "from_minute: 1320, to_minute: 360");
	GError *err = NULL;
	struct mh_decl *d = read_text(text, &err);
	struct mh_rule_input in = { .org = "acme", .pipeline = "plan" };
	struct mh_decision out;

	CU_ASSERT_PTR_NOT_NULL_FATAL(d);
	in.wall_us = 23 * 3600 * MH_US_PER_S;
	mh_rules_decide(d, &in, &out);
	CU_ASSERT_STRING_EQUAL(out.rule->name, "first");
	in.wall_us = 12 * 3600 * MH_US_PER_S;
	mh_rules_decide(d, &in, &out);
	CU_ASSERT_STRING_EQUAL(out.rule->name, "rest");
	mh_decl_unref(d);
	g_free(text);
}

static void
test_keys(void)
{
	GError *err = NULL;
	struct mh_decl *d = read_text(net_doc, &err);
	const struct mh_key_match *w;

	CU_ASSERT_PTR_NOT_NULL_FATAL(d);
	w = mh_decl_find_key(d, "party-key");
	CU_ASSERT_TRUE(w != NULL && strcmp(w->org->name, "acme") == 0);
	CU_ASSERT_PTR_NULL(mh_decl_find_key(d, "party-kez"));
	CU_ASSERT_PTR_NULL(mh_decl_find_key(d, ""));
	mh_decl_unref(d);
}

const struct test tests_decl[] = {
	{ "bad_documents", test_bad_documents },
	{ "alias_in_itself", test_alias_in_itself },
	{ "first_matching_rule_applies", test_first_matching_rule_applies },
	{ "time_of_day_over_midnight", test_time_of_day_over_midnight },
	{ "keys", test_keys },
	{ NULL, NULL },
};
