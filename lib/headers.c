/**
 * DOC: A list of HTTP header fields in the order of receipt.
 */

#include "gate.h"

#include <string.h>

struct mh_headers {
	GArray *fields; /* struct field */
	GHashTable *conn_options; /* names in Connection fields, lower case */
};

struct field {
	char *name;
	char *value;
};

static void
clear_field(void *arg)
{
	struct field *f = arg;

	g_free(f->name);
	g_free(f->value);
}

struct mh_headers *
mh_headers_create(void)
{
	struct mh_headers *h = g_new0(struct mh_headers, 1);

	h->fields = g_array_new(FALSE, FALSE, sizeof(struct field));
	g_array_set_clear_func(h->fields, clear_field);
	h->conn_options =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return h;
}

void
mh_headers_destroy(struct mh_headers *h)
{
	if (h == NULL)
		return;
	g_array_free(h->fields, TRUE);
	g_hash_table_destroy(h->conn_options);
	g_free(h);
}

/* Adds the names of a comma-separated Connection field. */
static void
add_conn_options(struct mh_headers *h, const char *list)
{
	while (*list != '\0') {
		size_t len;

		list += strspn(list, " \t,");
		len = strcspn(list, " \t,;");
		if (len > 0)
			g_hash_table_add(h->conn_options,
			    g_ascii_strdown(list, (gssize)len));
		list += strcspn(list, ",");
	}
}

void
mh_headers_add(struct mh_headers *h, const char *name, const char *value)
{
	size_t n = strlen(value);
	struct field f;

	while (n > 0 && (value[n - 1] == ' ' || value[n - 1] == '\t'))
		n--;
	f.name = g_strdup(name);
	f.value = g_strndup(value, n);

	g_array_append_val(h->fields, f);
	if (g_ascii_strcasecmp(name, "Connection") == 0)
		add_conn_options(h, value);
}

static struct field *
field_at(const struct mh_headers *h, uint32_t i)
{
	return &g_array_index(h->fields, struct field, i);
}

const char *
mh_headers_get(const struct mh_headers *h, const char *name)
{
	for (uint32_t i = 0; i < h->fields->len; i++) {
		if (g_ascii_strcasecmp(field_at(h, i)->name, name) == 0)
			return field_at(h, i)->value;
	}
	return NULL;
}

uint32_t
mh_headers_count(const struct mh_headers *h, const char *name)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < h->fields->len; i++)
		n += g_ascii_strcasecmp(field_at(h, i)->name, name) == 0;
	return n;
}

void
mh_headers_each(const struct mh_headers *h, mh_header_fn fn, void *arg)
{
	for (uint32_t i = 0; i < h->fields->len; i++)
		fn(arg, field_at(h, i)->name, field_at(h, i)->value);
}

bool
mh_header_is_hop(const struct mh_headers *h, const char *name)
{
	static const char *const hop[] = { "Connection", "Keep-Alive",
		"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"TE", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", NULL };

	char *lower;
	bool listed;

	for (int i = 0; hop[i] != NULL; i++) {
		if (g_ascii_strcasecmp(hop[i], name) == 0)
			return true;
	}
	if (g_hash_table_size(h->conn_options) == 0)
		return false;
	lower = g_ascii_strdown(name, -1);
	listed = g_hash_table_contains(h->conn_options, lower);
	g_free(lower);
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
