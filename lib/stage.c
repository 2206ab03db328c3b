/**
 * DOC: Data flow between the stages of a request: builds the body of each
 * stage's call, and parses and validates its result.
 */

#include "marlhoist.h"

#include <string.h>

static const char *const kind_names[] = { "encode", "retrieve", "rerank",
	"generate", "service" };
static const char *const kind_paths[] = { "/v1/embeddings", "/v1/retrieve",
	"/v1/rerank", "/v1/completions", "/" };

const char *
mh_stage_kind(uint32_t kind)
{
	return kind <= MH_SERVICE ? kind_names[kind] : "unknown";
}

const char *
mh_stage_path(const struct mh_stage *s)
{
	return s->path != NULL ? s->path : kind_paths[s->kind];
}

static GBytes *
dump(json_t *o)
{
	char *text =
	    json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);

	json_decref(o);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static const char *
input_text(const struct mh_flow *f, const char *name)
{
	const char *t = json_string_value(json_object_get(f->input, name));

	return t == NULL ? "" : t;
}

/*
 * The shared context comes first, so that engines find it in their prefix
 * caches; the text that differs between requests follows.
 */
static char *
make_prompt(const struct mh_flow *f)
{
	GString *s = g_string_new(input_text(f, "context"));
	size_t i;
	json_t *d;

	json_array_foreach(f->documents, i, d)
	{
		const char *t = json_string_value(json_object_get(d, "text"));

		g_string_append_printf(s, "\n%s", t == NULL ? "" : t);
	}
	g_string_append_printf(
	    s, "\nQuestion: %s\nAnswer:", input_text(f, "input"));
	if (f->text != NULL)
		g_string_append(s, f->text->str);
	return g_string_free(s, FALSE);
}

static json_t *
document_texts(const struct mh_flow *f)
{
	json_t *a = json_array(), *d;
	size_t i;

	json_array_foreach(f->documents, i, d)
	{
		json_array_append(a, json_object_get(d, "text"));
	}
	return a;
}

static GBytes *
generate_body(const struct mh_flow *f, const char *model, uint32_t tokens)
{
	char *prompt = make_prompt(f);
	json_t *o = json_pack("{s:s, s:s, s:i, s:b, s:i}", "model", model,
	    "prompt", prompt, "max_tokens", (int)tokens, "stream", 1,
	    "priority", (int)f->priority);

	g_free(prompt);
	return dump(o);
}

GBytes *
mh_stage_body(const struct mh_stage *s, const struct mh_flow *f,
    const char *model, uint32_t max_tokens, uint32_t done_tokens)
{
	const char *m = model != NULL ? model : "default";
	json_t *o, *body;

	switch (s->kind) {
	case MH_ENCODE:
		return dump(json_pack(
		    "{s:s, s:s}", "model", m, "input", input_text(f, "input")));
	case MH_RETRIEVE:
		o = json_pack("{s:s, s:i}", "query", input_text(f, "input"),
		    "top_k", (int)s->top_k);
		if (f->embedding != NULL)
			json_object_set(o, "embedding", f->embedding);
		return dump(o);
	case MH_RERANK:
		return dump(json_pack("{s:s, s:s, s:o, s:i}", "model", m,
		    "query", input_text(f, "input"), "documents",
		    document_texts(f), "top_n", (int)s->top_k));
	case MH_GENERATE:
		return generate_body(f, m, max_tokens - done_tokens);
	default:
		body = json_object_get(f->input, "body");
		return dump(json_incref(body != NULL ? body : f->input));
	}
}

static bool
read_embedding(struct mh_flow *f, json_t *j)
{
	json_t *e = json_object_get(
	    json_array_get(json_object_get(j, "data"), 0), "embedding");

	if (json_array_size(e) == 0)
		return false;
	json_decref(f->embedding);
	f->embedding = json_incref(e);
	return true;
}

static bool
read_documents(struct mh_flow *f, json_t *j)
{
	json_t *a = json_object_get(j, "documents");

	if (!json_is_array(a))
		return false;
	json_decref(f->documents);
	f->documents = json_incref(a);
	return true;
}

static bool
read_ranking(const struct mh_stage *s, struct mh_flow *f, json_t *j)
{
	json_t *results = json_object_get(j, "results"), *r, *out;
	size_t i;

	if (!json_is_array(results))
		return false;
	out = json_array();
	json_array_foreach(results, i, r)
	{
		json_t *ix = json_object_get(r, "index");
		json_t *d = json_array_get(
		    f->documents, (size_t)json_integer_value(ix));

		if (!json_is_integer(ix) || json_integer_value(ix) < 0 ||
		    d == NULL) {
			json_decref(out);
			return false;
		}
		if (json_array_size(out) < s->top_k)
			json_array_append(out, d);
	}
	json_decref(f->documents);
	f->documents = out;
	return true;
}

/* Any stage may be the last; its result is then the answer. */
static void
store_answer(struct mh_flow *f, json_t *j)
{
	json_decref(f->answer);
	f->answer = json_incref(j);
}

bool
mh_stage_read_result(
    const struct mh_stage *s, struct mh_flow *f, GBytes *result)
{
	gsize len;
	const char *data;
	json_t *j;
	bool ok;

	if (s->kind == MH_GENERATE) {
		json_decref(f->answer);
		f->answer = json_string(f->text != NULL ? f->text->str : "");
		return f->answer != NULL;
	}
	data = g_bytes_get_data(result, &len);
	j = json_loadb(data, len, JSON_DECODE_ANY, NULL);
	if (j == NULL)
		return false;
	switch (s->kind) {
	case MH_ENCODE:
		ok = read_embedding(f, j);
		break;
	case MH_RETRIEVE:
		ok = read_documents(f, j);
		break;
	case MH_RERANK:
		ok = read_ranking(s, f, j);
		break;
	default:
		ok = true;
		break;
	}
	if (ok)
		store_answer(f, j);
	json_decref(j);
	return ok;
}

void
mh_flow_clear(struct mh_flow *f)
{
	json_decref(f->input);
	json_decref(f->embedding);
	json_decref(f->documents);
	json_decref(f->answer);
	if (f->text != NULL)
		g_string_free(f->text, TRUE);
	memset(f, 0, sizeof(*f));
}
