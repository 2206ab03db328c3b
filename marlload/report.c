/**
 * DOC: Prints the results of one run: the share of requests answered correctly
 * within their deadline as seen by the client, violations found by comparing
 * reported outcomes with the audit of the stand-ins, and the cost by stage.
 */

#include "marlload.h"

#include <stdio.h>
#include <string.h>

#define WEIGHT_IN 1.0
#define WEIGHT_CACHED 0.25
#define WEIGHT_OUT 8.0

/** struct violations - requests whose outcome contradicts the audit. */
struct violations {
	uint32_t doubled; /* ran more than once */
	uint32_t lost; /* reported done but never ran */
	uint32_t
	    crossed; /* bodies of two requests mixed, or incorrect responses */
	uint32_t false_not_run; /* reported not-run but ran */
	uint32_t unknown; /* at-most-once requests without outcome, too */
};

static void
print(const struct load *l, const char *measure, double value, const char *unit)
{
	printf("bench %s %s %s %.4f %s\n", l->a.scenario, l->a.policy, measure,
	    value, unit);
}

static bool
attained(const struct load_request *s)
{
	return s->correct &&
	    s->done_us - s->intended_us <= s->kind->deadline_us;
}

static bool
is_outcome(const struct load_request *s, const char *what)
{
	return s->outcome != NULL && strcmp(s->outcome, what) == 0;
}

static double
share_of(const struct load *l, const char *class, guint *n, guint *good)
{
	*n = *good = 0;
	for (guint i = 0; i < l->requests->len; i++) {
		const struct load_request *s = l->requests->pdata[i];

		if (class != NULL && strcmp(s->kind->class, class) != 0)
			continue;
		(*n)++;
		*good += attained(s);
	}
	return *n == 0 ? 1.0 : (double)*good / (double)*n;
}

static json_int_t
runs_of(json_t *keys, const struct load_request *s)
{
	char *full;
	json_int_t n;

	if (s->idem_key == NULL)
		return 0;
	full = g_strconcat(s->kind->org, "/", s->idem_key, NULL);
	n = json_integer_value(json_object_get(keys, full));
	g_free(full);
	return n;
}

static void
count_violations(const struct load *l, struct violations *t)
{
	json_t *keys = json_object_get(l->audit, "keys"), *v;
	const char *key;

	memset(t, 0, sizeof(*t));
	json_object_foreach(keys, key, v)
	{
		t->doubled += json_integer_value(v) > 1;
	}
	t->crossed =
	    (uint32_t)json_integer_value(json_object_get(l->audit, "crossed"));
	for (guint i = 0; i < l->requests->len; i++) {
		const struct load_request *s = l->requests->pdata[i];

		t->crossed += s->incorrect;
		t->unknown += is_outcome(s, "unknown") ||
		    (s->kind->at_most_once && s->outcome == NULL);
		if (!s->kind->at_most_once)
			continue;
		if (is_outcome(s, "done") && runs_of(keys, s) == 0)
			t->lost++;
		if (is_outcome(s, "not-run") && runs_of(keys, s) > 0)
			t->false_not_run++;
	}
}

static void
print_cost(const struct load *l, guint good)
{
	static const char *const kinds[] = { "encode", "retrieve", "rerank",
		"generate", "service" };
	double total_units = 0, total_us = 0;
	json_t *eps = json_object_get(l->audit, "endpoints"), *e;
	const char *name;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		double us = 0, units = 0;
		char measure[64];

		json_object_foreach(eps, name, e)
		{
			double in, cached, out;

			if (strcmp(
				json_string_value(json_object_get(e, "kind")),
				kinds[i]) != 0)
				continue;
			in = json_number_value(json_object_get(e, "tokens_in"));
			cached = json_number_value(
			    json_object_get(e, "tokens_cached"));
			out =
			    json_number_value(json_object_get(e, "tokens_out"));
			us += json_number_value(json_object_get(e, "busy_us"));
			units += WEIGHT_IN * (in - cached) +
			    WEIGHT_CACHED * cached + WEIGHT_OUT * out;
		}
		snprintf(measure, sizeof(measure), "cost_%s", kinds[i]);
		print(l, measure, good == 0 ? 0 : us / good,
		    "endpoint_us/attained");
		total_us += us;
		total_units += units;
	}
	print(l, "cost_all", good == 0 ? 0 : total_us / good,
	    "endpoint_us/attained");
	print(l, "cost_units", good == 0 ? 0 : total_units / good,
	    "units/attained");
}

static void
print_outcomes(const struct load *l)
{
	static const char *const names[] = { "done", "not-run", "failed",
		"unknown" };
	guint none = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char measure[64];
		guint n = 0;

		for (guint j = 0; j < l->requests->len; j++)
			n += is_outcome(l->requests->pdata[j], names[i]);
		snprintf(measure, sizeof(measure), "outcome_%s", names[i]);
		print(l, measure, n, "requests");
	}
	for (guint j = 0; j < l->requests->len; j++)
		none +=
		    ((struct load_request *)l->requests->pdata[j])->outcome ==
		    NULL;
	print(l, "outcome_none", none, "requests");
}

static void
write_series(const struct load *l)
{
	FILE *f;
	guint n[MAX_SECONDS] = { 0 }, good[MAX_SECONDS] = { 0 };
	guint un[MAX_SECONDS] = { 0 }, ugood[MAX_SECONDS] = { 0 };

	if (l->a.series_file == NULL)
		return;
	f = fopen(l->a.series_file, "w");
	if (f == NULL) {
		fprintf(
		    stderr, "marlload: cannot write %s\n", l->a.series_file);
		return;
	}
	for (guint i = 0; i < l->requests->len; i++) {
		const struct load_request *s = l->requests->pdata[i];
		guint sec = (guint)(s->intended_us / MH_US_PER_S);

		n[sec]++;
		good[sec] += attained(s);
		if (strcmp(s->kind->class, "urgent") == 0) {
			un[sec]++;
			ugood[sec] += attained(s);
		}
	}
	for (guint i = 0; i < l->a.seconds; i++)
		fprintf(f, "%u %u %.4f %.4f\n", i, n[i],
		    n[i] == 0 ? 1.0 : (double)good[i] / n[i],
		    un[i] == 0 ? 1.0 : (double)ugood[i] / un[i]);
	fclose(f);
}

/* Writes a line for each request that was not answered in time. */
static void
write_misses(const struct load *l)
{
	char *name;
	FILE *f;

	if (l->a.series_file == NULL)
		return;
	name = g_strconcat(l->a.series_file, ".misses", NULL);
	f = fopen(name, "w");
	g_free(name);
	if (f == NULL)
		return;
	for (guint i = 0; i < l->requests->len; i++) {
		const struct load_request *s = l->requests->pdata[i];

		if (attained(s))
			continue;
		fprintf(f,
		    "at=%.3f took=%.3f %s entry=%u status=%u given=%d "
		    "outcome=%s text=%.300s\n",
		    (double)s->intended_us / MH_US_PER_S,
		    (double)(s->done_us - s->intended_us) / MH_US_PER_S,
		    s->kind->pipeline, s->entry, s->status, s->idem_key_given,
		    s->outcome == NULL ? "-" : s->outcome,
		    s->correct ? "late" : s->response->str);
	}
	fclose(f);
}

void
report(struct load *l)
{
	static const char *const classes[] = { "urgent", "interactive",
		"batch" };
	struct violations t;
	guint n, good;
	char measure[64];

	for (size_t i = 0; i < G_N_ELEMENTS(classes); i++) {
		double v = share_of(l, classes[i], &n, &good);

		snprintf(measure, sizeof(measure), "attained_%s", classes[i]);
		print(l, measure, v, "share");
	}
	print(l, "attained_all", share_of(l, NULL, &n, &good), "share");
	print(l, "offered", n, "requests");
	count_violations(l, &t);
	print(l, "doubled", t.doubled, "requests");
	print(l, "lost", t.lost, "requests");
	print(l, "crossed", t.crossed, "requests");
	print(l, "false_not_run", t.false_not_run, "requests");
	print(l, "unknown", t.unknown, "requests");
	print_outcomes(l);
	print_cost(l, good);
	print(l, "first_token_p50",
	    (double)mh_hist_quantile(l->first_token[0], 0.5) / MH_US_PER_MS,
	    "ms");
	print(l, "first_token_p95",
	    (double)mh_hist_quantile(l->first_token[0], 0.95) / MH_US_PER_MS,
	    "ms");
	print(l, "between_tokens_p95",
	    (double)mh_hist_quantile(l->between_tokens, 0.95) / MH_US_PER_MS,
	    "ms");
	print(l, "stage_added_p50",
	    (double)mh_hist_quantile(l->stage_added, 0.5), "us");
	print(l, "stage_added_p99",
	    (double)mh_hist_quantile(l->stage_added, 0.99), "us");
	write_series(l);
	write_misses(l);
}
