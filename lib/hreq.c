/**
 * DOC: Parses one HTTP request and frames its response.
 *
 * http_parser does the parsing; this file adds the checks that it omits, so
 * that a request is either passed on unchanged or refused.  Works on buffers
 * only: hserve.c does the socket I/O.
 */

#include "hreqint.h"

#include <string.h>

void
mh_hreq_destroy(struct mh_hreq *r)
{
	if (r == NULL)
		return;
	g_free(r->method);
	g_string_free(r->target, TRUE);
	mh_headers_destroy(r->headers);
	g_string_free(r->name, TRUE);
	g_string_free(r->value, TRUE);
	g_byte_array_unref(r->body);
	g_free(r);
}

struct mh_hreq *
mh_hreq_create(const struct mh_hlimits *l, GByteArray *out)
{
	struct mh_hreq *r = g_new0(struct mh_hreq, 1);

	r->limits = l;
	r->out = out;
	http_parser_init(&r->parser, HTTP_REQUEST);
	r->parser.data = r;
	r->target = g_string_new(NULL);
	r->headers = mh_headers_create();
	r->name = g_string_new(NULL);
	r->value = g_string_new(NULL);
	r->body = g_byte_array_new();
	return r;
}

size_t
mh_hreq_bytes(const struct mh_hreq *r)
{
	return sizeof(*r) + r->target->allocated_len + r->name->allocated_len +
	    r->value->allocated_len + mh_headers_bytes(r->headers) +
	    r->body->len;
}

bool
mh_hreq_turned_large(struct mh_hreq *r)
{
	uint64_t announced = r->parser.content_length;

	if (r->is_large || r->method == NULL)
		return false;
	r->is_large = r->body->len > MH_SMALL_BODY_BYTES ||
	    (!(r->parser.flags & F_CHUNKED) && announced != UINT64_MAX &&
		announced > MH_SMALL_BODY_BYTES);
	return r->is_large;
}

/* parsing */

static int
on_begin(http_parser *p)
{
	struct mh_hreq *r = p->data;

	r->started = true;
	return 0;
}

static int
on_url(http_parser *p, const char *at, size_t n)
{
	struct mh_hreq *r = p->data;

	g_string_append_len(r->target, at, (gssize)n);
	r->header_bytes += (uint32_t)n;
	return 0;
}

static void
end_field(struct mh_hreq *r)
{
	if (r->name->len == 0)
		return;
	if (!mh_header_name_ok(r->name->str) ||
	    !mh_header_value_ok(r->value->str) ||
	    strlen(r->value->str) != r->value->len)
		r->refuse_status = 400;
	mh_headers_add(r->headers, r->name->str, r->value->str);
	g_string_truncate(r->name, 0);
	g_string_truncate(r->value, 0);
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	struct mh_hreq *r = p->data;

	if (r->method != NULL) /* trailer field after the last chunk */
		return 0;
	if (r->in_value)
		end_field(r);
	r->in_value = false;
	g_string_append_len(r->name, at, (gssize)n);
	r->header_bytes += (uint32_t)n;
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	struct mh_hreq *r = p->data;

	if (r->method != NULL)
		return 0;
	r->in_value = true;
	g_string_append_len(r->value, at, (gssize)n);
	r->header_bytes += (uint32_t)n;
	return 0;
}

static int
on_headers(http_parser *p)
{
	static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct mh_hreq *r = p->data;
	const struct mh_hlimits *l = r->limits;

	end_field(r);
	r->method = g_strdup(http_method_str(p->method));
	r->keep_alive = http_should_keep_alive(p);
	r->http10 = p->http_major == 1 && p->http_minor == 0;
	if (p->http_major != 1 || p->upgrade ||
	    mh_headers_count(r->headers, "Host") != 1 ||
	    mh_headers_count(r->headers, "Content-Length") > 1 ||
	    !mh_headers_coding_ok(r->headers) ||
	    (r->http10 && (p->flags & F_CHUNKED)))
		r->refuse_status = 400;
	if (r->header_bytes > l->header_bytes)
		r->refuse_status = 431;
	if (r->refuse_status == 0 && p->content_length != UINT64_MAX &&
	    p->content_length > l->body_bytes)
		r->refuse_status = 413;
	if (r->refuse_status != 0)
		return -1;
	/* An HTTP/1.0 client would take an interim response as final. */
	if (!r->http10 && mh_headers_get(r->headers, "Expect") != NULL)
		g_byte_array_append(r->out, (const uint8_t *)continue_line,
		    sizeof(continue_line) - 1);
	return 0;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	bool chunked = (p->flags & F_CHUNKED) != 0;
	struct mh_hreq *r = p->data;

	if (!mh_line_ends_check(&r->lines, at, chunked))
		return -1;
	mh_line_ends_body(&r->lines, at + n, chunked);
	if (r->body->len + n > r->limits->body_bytes) {
		r->refuse_status = 413;
		return -1;
	}
	g_byte_array_append(r->body, (const uint8_t *)at, (guint)n);
	return 0;
}

static int
on_complete(http_parser *p)
{
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = { .on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete };

enum mh_hread
mh_hreq_read(struct mh_hreq *r, GByteArray *in)
{
	const char *data = (const char *)in->data;
	bool lines_ok;
	size_t n;

	mh_line_ends_feed(&r->lines, data);
	n = http_parser_execute(&r->parser, &callbacks, data, in->len);
	lines_ok = mh_line_ends_check(
	    &r->lines, data + n, (r->parser.flags & F_CHUNKED) != 0);
	if (HTTP_PARSER_ERRNO(&r->parser) == HPE_PAUSED) {
		if (!lines_ok)
			return MH_HREAD_BAD;
		g_byte_array_remove_range(in, 0, (guint)n);
		return r->refuse_status != 0 ? MH_HREAD_BAD : MH_HREAD_COMPLETE;
	}
	if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK || r->parser.upgrade ||
	    !lines_ok)
		return MH_HREAD_BAD;
	g_byte_array_set_size(in, 0);
	if (r->method == NULL && r->header_bytes > r->limits->header_bytes) {
		r->refuse_status = 431;
		return MH_HREAD_BAD;
	}
	return MH_HREAD_MORE;
}

/* responses */

static const char *
reason_phrase(uint32_t status)
{
	switch (status) {
#define XX(num, name, string) \
	case num:             \
		return #string;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "Unknown";
	}
}

static void
add_field(void *arg, const char *name, const char *value)
{
	g_string_append_printf(arg, "%s: %s\r\n", name, value);
}

static bool
status_has_body(uint32_t status)
{
	return status >= 200 && status != 204 && status != 304;
}

static bool
is_bodyless(const struct mh_hreq *r, uint32_t status)
{
	return r->parser.method == HTTP_HEAD || !status_has_body(status);
}

bool
mh_hreq_framed(const struct mh_hreq *r, uint32_t status, int64_t length)
{
	return length >= 0 || !r->http10 || is_bodyless(r, status);
}

void
mh_hreq_put_head(struct mh_hreq *r, uint32_t status,
    const struct mh_headers *headers, int64_t length, bool close)
{
	GString *g = g_string_sized_new(512);

	g_string_printf(g, "HTTP/1.1 %u %s\r\n", status, reason_phrase(status));
	if (headers != NULL)
		mh_headers_each(headers, add_field, g);
	r->bodyless = is_bodyless(r, status);
	r->remaining_bytes = r->bodyless ? -1 : length;
	if (length >= 0 && status_has_body(status)) {
		g_string_append_printf(
		    g, "Content-Length: %" PRId64 "\r\n", length);
	} else if (!r->bodyless && mh_hreq_framed(r, status, length)) {
		r->chunked = true;
		g_string_append(g, "Transfer-Encoding: chunked\r\n");
	}
	if (close)
		g_string_append(g, "Connection: close\r\n");
	g_string_append(g, "\r\n");
	g_byte_array_append(r->out, (uint8_t *)g->str, (guint)g->len);
	g_string_free(g, TRUE);
}

void
mh_hreq_put(struct mh_hreq *r, const void *data, size_t len)
{
	char size[24];

	if (len == 0 || r->bodyless)
		return;
	if (r->remaining_bytes >= 0) {
		r->overrun = r->overrun || (int64_t)len > r->remaining_bytes;
		if (r->overrun)
			return;
		r->remaining_bytes -= (int64_t)len;
	}
	if (r->chunked) {
		g_snprintf(size, sizeof(size), "%zx\r\n", len);
		g_byte_array_append(
		    r->out, (uint8_t *)size, (guint)strlen(size));
	}
	g_byte_array_append(r->out, data, (guint)len);
	if (r->chunked)
		g_byte_array_append(r->out, (const uint8_t *)"\r\n", 2);
}

bool
mh_hreq_put_end(struct mh_hreq *r)
{
	if (r->chunked)
		g_byte_array_append(r->out, (const uint8_t *)"0\r\n\r\n", 5);
	return r->remaining_bytes <= 0 && !r->overrun;
}

/* accessors */

const char *
mh_hreq_method(const struct mh_hreq *r)
{
	return r->method;
}

const char *
mh_hreq_target(const struct mh_hreq *r)
{
	return r->target->str;
}

const struct mh_headers *
mh_hreq_headers(const struct mh_hreq *r)
{
	return r->headers;
}

const GByteArray *
mh_hreq_body(const struct mh_hreq *r)
{
	return r->body;
}

static void
unref_array(void *arg)
{
	g_byte_array_unref(arg);
}

GBytes *
mh_hreq_body_bytes(const struct mh_hreq *r)
{
	return g_bytes_new_with_free_func(r->body->data, r->body->len,
	    unref_array, g_byte_array_ref(r->body));
}

void *
mh_hreq_data(const struct mh_hreq *r)
{
	return r->data;
}

void
mh_hreq_set_data(struct mh_hreq *r, void *data)
{
	r->data = data;
}
