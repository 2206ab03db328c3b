/**
 * DOC: Is an answer whole and its own?  Every token carries its number and
 * the request's tag, every confirmation the tag.
 */

#include "marlload.h"

#include <string.h>

static bool
whole_text(const struct shot *s, const char *text)
{
	GString *want = g_string_new(NULL);
	bool same;

	for (uint32_t i = 0; i < s->tokens; i++)
		g_string_append_printf(want, " w%u.%s", i, s->ref);
	same = strcmp(want->str, text) == 0;
	g_string_free(want, TRUE);
	return same;
}

static void
take_stages(struct shot *s, json_t *stages)
{
	json_t *row;
	size_t i;

	json_array_foreach(stages, i, row)
	{
		json_int_t us = json_integer_value(json_object_get(row, "us"));
		json_int_t endpoint_us =
		    json_integer_value(json_object_get(row, "endpoint_us"));

		if (json_integer_value(json_object_get(row, "attempts")) == 1)
			mh_hist_add(s->load->added, us - endpoint_us);
	}
}

static void
take_done(struct shot *s, json_t *o, const char *text)
{
	json_t *answer = json_object_get(o, "answer");
	const char *key = json_string_value(json_object_get(o, "key"));
	const char *ref;

	if (key != NULL && s->once == NULL)
		s->once = g_strdup(key);
	take_stages(s, json_object_get(o, "stages"));
	if (s->tokens > 0) {
		if (text == NULL)
			text = json_string_value(answer);
		s->right = text != NULL && whole_text(s, text);
	} else {
		ref = json_string_value(json_object_get(answer, "ref"));
		s->right = ref != NULL && strcmp(ref, s->ref) == 0;
	}
	s->wrong = !s->right;
}

static void
take_object(struct shot *s, json_t *o, const char *text)
{
	const char *outcome = json_string_value(json_object_get(o, "outcome"));
	const char *key = json_string_value(json_object_get(o, "key"));

	g_free(s->outcome);
	s->outcome = g_strdup(outcome);
	if (outcome != NULL && strcmp(outcome, "done") == 0 && s->status == 200)
		take_done(s, o, text);
	else if (key != NULL && s->once == NULL)
		s->once = g_strdup(key);
}

static void
verify_stream(struct shot *s)
{
	char **events = g_strsplit(s->text->str, "\n\n", -1);
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
			take_object(s, o, text->str);
		json_decref(o);
	}
	g_string_free(text, TRUE);
	g_strfreev(events);
}

void
shot_verify(struct shot *s)
{
	json_t *o;

	if (s->plan->stream && s->status == 200) {
		verify_stream(s);
		return;
	}
	o = json_loadb(s->text->str, s->text->len, 0, NULL);
	if (o != NULL)
		take_object(s, o, NULL);
	json_decref(o);
}
