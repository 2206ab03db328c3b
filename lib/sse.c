/**
 * DOC: Whole events of a stream, and where the stream stands.
 *
 * An endpoint may stop in the middle of an event.  Only whole events are
 * passed on, so that another run can go on after the last one without a
 * torn piece before it.  A reader belongs to one run and takes what is not
 * whole with it; where the stream stands outlives the runs.
 */

#include "gate.h"

#include <string.h>

struct mh_cursor {
	char *last_id;
};

struct mh_sse {
	struct mh_cursor *cursor; /* the stream's */
	GString *held; /* the event being received */
};

struct mh_cursor *
mh_cursor_create(void)
{
	return g_new0(struct mh_cursor, 1);
}

void
mh_cursor_destroy(struct mh_cursor *c)
{
	if (c == NULL)
		return;
	g_free(c->last_id);
	g_free(c);
}

const char *
mh_cursor_last_id(const struct mh_cursor *c)
{
	return c->last_id;
}

struct mh_sse *
mh_sse_create(struct mh_cursor *c)
{
	struct mh_sse *s = g_new0(struct mh_sse, 1);

	s->cursor = c;
	s->held = g_string_new(NULL);
	return s;
}

void
mh_sse_destroy(struct mh_sse *s)
{
	if (s == NULL)
		return;
	g_string_free(s->held, TRUE);
	g_free(s);
}

/* The length of the first whole event in @text, 0 when there is none. */
static size_t
event_len(const GString *text)
{
	const char *p = text->str;
	const char *end = text->str + text->len;

	while (p < end) {
		const char *nl = memchr(p, '\n', (size_t)(end - p));

		if (nl == NULL)
			return 0;
		if (nl == p || (nl == p + 1 && *p == '\r'))
			return (size_t)(nl + 1 - text->str);
		p = nl + 1;
	}
	return 0;
}

static void
note_id(struct mh_cursor *c, const char *event, size_t len)
{
	const char *p = event, *end = event + len;

	while (p < end) {
		const char *nl = memchr(p, '\n', (size_t)(end - p));

		if (nl == NULL)
			nl = end;
		if (nl - p > 3 && strncmp(p, "id:", 3) == 0) {
			g_free(c->last_id);
			c->last_id =
			    g_strstrip(g_strndup(p + 3, (gsize)(nl - p - 3)));
		}
		p = nl + 1;
	}
}

void
mh_sse_feed(struct mh_sse *s, const char *data, size_t len, GString *out)
{
	size_t n;

	g_string_append_len(s->held, data, (gssize)len);
	while ((n = event_len(s->held)) > 0) {
		note_id(s->cursor, s->held->str, n);
		g_string_append_len(out, s->held->str, (gssize)n);
		g_string_erase(s->held, 0, (gssize)n);
	}
}

size_t
mh_sse_held(const struct mh_sse *s)
{
	return s->held->len;
}
