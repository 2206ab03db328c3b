/**
 * DOC: Generates the arrivals: open loop, from a seed, so that each policy gets
 * the same requests.
 */

#include "marlload.h"

#include <math.h>
#include <string.h>

#define CONTEXTS 24
#define CONTEXT_BYTES 4000
#define KEY_GIVEN_SHARE 0.5 /* of at-most-once requests send a key */

const struct request_kind request_kinds[REQUEST_KINDS] = {
	{ "dispatch-order", "carga-viva", "volt-key", "urgent", 0.20, 0.10,
	    1500 * MH_US_PER_MS, 0, true, false },
	{ "confirm-booking", "confetti", "party-key", "urgent", 0.15, 0.05,
	    1500 * MH_US_PER_MS, 0, true, false },
	{ "explain-dispatch", "carga-viva", "volt-key", "urgent", 0.10, 0.10,
	    4000 * MH_US_PER_MS, 24, false, false },
	{ "party-plan", "confetti", "party-key", "interactive", 0.35, 0.45,
	    4000 * MH_US_PER_MS, 32, false, true },
	{ "draft-plan", "carga-viva", "volt-key", "batch", 0.20, 0.30,
	    10000 * MH_US_PER_MS, 48, false, false },
};

static bool
in_burst(const struct load_args *a, double t)
{
	return a->burst > 1 && t >= a->burst_from * a->seconds &&
	    t < a->burst_to * a->seconds;
}

static const struct request_kind *
choose_kind(GRand *g, bool burst)
{
	double u = g_rand_double(g);

	for (int i = 0; i < REQUEST_KINDS; i++) {
		u -= burst ? request_kinds[i].burst_share
			   : request_kinds[i].share;
		if (u < 0)
			return &request_kinds[i];
	}
	return &request_kinds[REQUEST_KINDS - 1];
}

static const struct request_kind *
kind_by_pipeline(const char *pipeline)
{
	for (int i = 0; i < REQUEST_KINDS; i++) {
		if (strcmp(request_kinds[i].pipeline, pipeline) == 0)
			return &request_kinds[i];
	}
	return &request_kinds[0];
}

static struct load_request *
new_request(const struct load_args *a, GRand *g, double t)
{
	struct load_request *s = g_new0(struct load_request, 1);

	s->kind = choose_kind(g, in_burst(a, t));
	if (a->only != NULL)
		s->kind = kind_by_pipeline(a->only);
	s->tokens = s->kind->tokens;
	if (a->tokens > 0 && s->tokens > 0)
		s->tokens = a->tokens;
	s->intended_us = (int64_t)(t * MH_US_PER_S);
	for (int i = 0; i < REF_LEN; i += 8)
		snprintf(s->ref + i, 9, "%08x", g_rand_int(g));
	s->context = (uint32_t)g_rand_int_range(g, 0, CONTEXTS);
	s->entry = g_rand_int(g) % a->nentries;
	s->idem_key_given =
	    s->kind->at_most_once && g_rand_double(g) < KEY_GIVEN_SHARE;
	s->response = g_string_new(NULL);
	return s;
}

GPtrArray *
trace_create(const struct load_args *a)
{
	GRand *g = g_rand_new_with_seed(a->seed);
	GPtrArray *out = g_ptr_array_new_with_free_func(request_free);
	double t = 0;

	while (t < a->seconds) {
		double rate = a->rate * (in_burst(a, t) ? a->burst : 1);

		g_ptr_array_add(out, new_request(a, g, t));
		t -= log(1 - g_rand_double(g)) / rate;
	}
	g_rand_free(g);
	return out;
}

void
request_free(void *arg)
{
	struct load_request *s = arg;

	g_free(s->idem_key);
	g_free(s->outcome);
	g_string_free(s->response, TRUE);
	g_free(s);
}

/* Returns a long prompt prefix that all requests of one context share. */
static char *
make_context(const struct load_request *s)
{
	GString *c = g_string_new(NULL);

	for (int i = 0; c->len < CONTEXT_BYTES; i++)
		g_string_append_printf(c, "%s history %u line %d load 42 MW. ",
		    s->kind->org, s->context, i);
	return g_string_free(c, FALSE);
}

GBytes *
request_body(const struct load_request *s)
{
	char *input = g_strdup_printf("ref:%s", s->ref), *text, *context;
	json_t *o;

	if (s->tokens == 0) {
		o = json_pack("{s:{s:s}}", "body", "order", input);
	} else {
		context = make_context(s);
		o = json_pack("{s:s, s:s, s:i, s:b}", "input", input, "context",
		    context, "max_tokens", (int)s->tokens, "stream",
		    s->kind->stream);
		g_free(context);
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	g_free(input);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}
