/**
 * DOC: A list of HTTP header fields in the order of receipt.
 */

#include "gate.h"

#include <string.h>

/*
 * All fields share one buffer: with two allocations for each, a list of short
 * fields would take many times its bytes.
 */
struct mh_headers {
	GString *text; /* names and values, each ended by NUL */
	GArray *fields; /* struct field */
	GString *conn_options; /* ",a,b,": names in Connection; NULL: none */
};

/* Offsets in the text. */
struct field {
	uint32_t name;
	uint32_t value;
};

struct mh_headers *
mh_headers_create(void)
{
	struct mh_headers *h = g_new0(struct mh_headers, 1);

	h->text = g_string_new(NULL);
	h->fields = g_array_new(FALSE, FALSE, sizeof(struct field));
	return h;
}

void
mh_headers_destroy(struct mh_headers *h)
{
	if (h == NULL)
		return;
	g_string_free(h->text, TRUE);
	g_array_free(h->fields, TRUE);
	if (h->conn_options != NULL)
		g_string_free(h->conn_options, TRUE);
	g_free(h);
}

/* Adds the names of a comma-separated Connection field. */
static void
add_conn_options(struct mh_headers *h, const char *list)
{
	if (h->conn_options == NULL)
		h->conn_options = g_string_new(",");
	while (*list != '\0') {
		size_t len;

		list += strspn(list, " \t,");
		len = strcspn(list, " \t,;");
		if (len > 0) {
			g_string_append_len(h->conn_options, list, (gssize)len);
			g_string_append_c(h->conn_options, ',');
		}
		list += strcspn(list, ",");
	}
	g_string_ascii_down(h->conn_options);
}

void
mh_headers_add(struct mh_headers *h, const char *name, const char *value)
{
	size_t n = strlen(value);
	struct field f;

	while (n > 0 && (value[n - 1] == ' ' || value[n - 1] == '\t'))
		n--;
	f.name = (uint32_t)h->text->len;
	g_string_append_len(h->text, name, (gssize)strlen(name) + 1);
	f.value = (uint32_t)h->text->len;
	g_string_append_len(h->text, value, (gssize)n);
	g_string_append_c(h->text, '\0');
	g_array_append_val(h->fields, f);
	if (g_ascii_strcasecmp(name, "Connection") == 0)
		add_conn_options(h, value);
}

static const char *
name_at(const struct mh_headers *h, uint32_t i)
{
	return h->text->str + g_array_index(h->fields, struct field, i).name;
}

static const char *
value_at(const struct mh_headers *h, uint32_t i)
{
	return h->text->str + g_array_index(h->fields, struct field, i).value;
}

const char *
mh_headers_get(const struct mh_headers *h, const char *name)
{
	for (uint32_t i = 0; i < h->fields->len; i++) {
		if (g_ascii_strcasecmp(name_at(h, i), name) == 0)
			return value_at(h, i);
	}
	return NULL;
}

uint32_t
mh_headers_count(const struct mh_headers *h, const char *name)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < h->fields->len; i++)
		n += g_ascii_strcasecmp(name_at(h, i), name) == 0;
	return n;
}

size_t
mh_headers_bytes(const struct mh_headers *h)
{
	size_t n = sizeof(*h) + h->text->allocated_len;

	/* The array grows by doubling. */
	n += 2 * h->fields->len * sizeof(struct field);
	if (h->conn_options != NULL)
		n += h->conn_options->allocated_len;
	return n;
}

void
mh_headers_each(const struct mh_headers *h, mh_header_fn fn, void *arg)
{
	for (uint32_t i = 0; i < h->fields->len; i++)
		fn(arg, name_at(h, i), value_at(h, i));
}

bool
mh_header_is_hop(const struct mh_headers *h, const char *name)
{
	static const char *const hop[] = { "Connection", "Keep-Alive",
		"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", NULL };

	char *option;
	bool listed;

	for (int i = 0; hop[i] != NULL; i++) {
		if (g_ascii_strcasecmp(hop[i], name) == 0)
			return true;
	}
	if (h->conn_options == NULL)
		return false;
	option = g_strdup_printf(",%s,", name);
	for (char *c = option; *c != '\0'; c++)
		*c = g_ascii_tolower(*c);
	listed = strstr(h->conn_options->str, option) != NULL;
	g_free(option);
	return listed;
}

bool
mh_headers_coding_ok(const struct mh_headers *h)
{
	static const char name[] = "Transfer-Encoding";
	static const char chunked[] = "chunked";
	const char *v = mh_headers_get(h, name);
	size_t n = strlen(chunked);

	return v == NULL ||
	    (mh_headers_count(h, name) == 1 &&
		g_ascii_strncasecmp(v, chunked, n) == 0 &&
		v[n + strspn(v + n, " \t")] == '\0');
}

bool
mh_header_name_ok(const char *name)
{
	static const char extra[] = "!#$%&'*+-.^_`|~";

	if (*name == '\0')
		return false;
	for (; *name != '\0'; name++) {
		if (!g_ascii_isalnum(*name) && strchr(extra, *name) == NULL)
			return false;
	}
	return true;
}

bool
mh_header_value_ok(const char *value)
{
	for (; *value != '\0'; value++) {
		if ((unsigned char)*value < ' ' && *value != '\t')
			return false;
		if (*value == 0x7f)
			return false;
	}
	return true;
}
