/**
 * DOC: Checks that a response is complete and belongs to its request: each
 * token contains its sequence number and the tag of the request, and each
 * confirmation contains the tag.
 */

#include "marlload.h"

#include <string.h>

static bool
is_complete_text(const struct load_request *s, const char *text)
{
	GString *expected = g_string_new(NULL);
	bool same;

	for (uint32_t i = 0; i < s->tokens; i++)
		g_string_append_printf(expected, " w%u.%s", i, s->ref);
	same = strcmp(expected->str, text) == 0;
	g_string_free(expected, TRUE);
	return same;
}

static void
record_stages(struct load_request *s, json_t *stages)
{
	json_t *row;
	size_t i;

	json_array_foreach(stages, i, row)
	{
		json_int_t us = json_integer_value(json_object_get(row, "us"));
		json_int_t endpoint_us =
		    json_integer_value(json_object_get(row, "endpoint_us"));

		if (json_integer_value(json_object_get(row, "attempts")) == 1)
			mh_hist_add(s->load->stage_added, us - endpoint_us);
	}
}

static void
check_answer(struct load_request *s, json_t *o, const char *text)
{
	json_t *answer = json_object_get(o, "answer");
	const char *key = json_string_value(json_object_get(o, "key"));
	const char *ref;

	if (key != NULL && s->idem_key == NULL)
		s->idem_key = g_strdup(key);
	record_stages(s, json_object_get(o, "stages"));
	if (s->tokens > 0) {
		if (text == NULL)
			text = json_string_value(answer);
		s->correct = text != NULL && is_complete_text(s, text);
	} else {
		ref = json_string_value(json_object_get(answer, "ref"));
		s->correct = ref != NULL && strcmp(ref, s->ref) == 0;
	}
	s->incorrect = !s->correct;
}

static void
read_outcome(struct load_request *s, json_t *o, const char *text)
{
	const char *outcome = json_string_value(json_object_get(o, "outcome"));
	const char *key = json_string_value(json_object_get(o, "key"));

	g_free(s->outcome);
	s->outcome = g_strdup(outcome);
	if (outcome != NULL && strcmp(outcome, "done") == 0 && s->status == 200)
		check_answer(s, o, text);
	else if (key != NULL && s->idem_key == NULL)
		s->idem_key = g_strdup(key);
}

static void
verify_stream(struct load_request *s)
{
	char **events = g_strsplit(s->response->str, "\n\n", -1);
	GString *text = g_string_new(NULL);

	for (int i = 0; events[i] != NULL; i++) {
		const char *data = strstr(events[i], "data: ");
		json_t *o;

		if (data == NULL)
			continue;
		o = json_loads(data + 6, 0, NULL);
		if (g_str_has_prefix(events[i], "event: token"))
			g_string_append(text,
			    json_string_value(json_object_get(o, "text")));
		else
			read_outcome(s, o, text->str);
		json_decref(o);
	}
	g_string_free(text, TRUE);
	g_strfreev(events);
}

void
request_verify(struct load_request *s)
{
	json_t *o;

	if (s->kind->stream && s->status == 200) {
		verify_stream(s);
		return;
	}
	o = json_loadb(s->response->str, s->response->len, 0, NULL);
	if (o != NULL)
		read_outcome(s, o, NULL);
	json_decref(o);
}
