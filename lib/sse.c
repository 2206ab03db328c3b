/**
 * DOC: Splits a stream into events and tracks its position.
 *
 * An endpoint may fail in the middle of an event.  Only complete events are
 * passed on, so that a run at another endpoint can continue after the last
 * one.  A reader (struct mh_sse) belongs to one run and discards an incomplete
 * event with it; the cursor belongs to the stream and outlives its runs.
 */

#include "gate.h"

#include <errno.h>
#include <string.h>

#define ID_LEN 24
/* Bytes; far more than an engine produces in one step. */
#define MAX_EVENT ((size_t)1 << 20)

struct mh_cursor {
	bool ordered; /* the stream's ids increase */
	bool resumes; /* @last is the caller's, and no event was received */
	bool has_last; /* @last is set */
	bool consecutive; /* it began with the expected id: ids have no gaps */
	bool unnumbered; /* an event without a number came after @last */
	uint64_t last;
	char last_id[ID_LEN];
};

struct mh_sse {
	struct mh_cursor *cursor; /* of the stream */
	enum mh_ids prior_ids; /* how the endpoint numbered earlier streams */
	enum mh_ids ids; /* how this run does, if it began the stream */
	GString *buf; /* received and not passed on */
	size_t event_start; /* offset of the current event in @buf */
	size_t scan; /* offset of the next byte to scan in @buf */
	/* state of the scan for line ends */
	bool line_empty; /* the current line is empty so far */
	bool after_cr; /* the last byte was CR, which LF may follow */
	bool lone_cr; /* the last line ended with CR alone */
	bool event_ended; /* an event ended with CR; a LF next belongs to it */
};

static bool
read_id(const char *text, uint64_t *id)
{
	char *end;

	if (!g_ascii_isdigit(*text) || strlen(text) >= ID_LEN)
		return false;
	errno = 0;
	*id = g_ascii_strtoull(text, &end, 10);
	return *end == '\0' && errno == 0;
}

static void
set_last(struct mh_cursor *c, uint64_t id)
{
	c->has_last = true;
	c->unnumbered = false;
	c->last = id;
	g_snprintf(c->last_id, sizeof(c->last_id), "%" PRIu64, id);
}

struct mh_cursor *
mh_cursor_create(const char *after, bool ordered)
{
	struct mh_cursor *c = g_new0(struct mh_cursor, 1);
	uint64_t id;

	c->ordered = ordered;
	if (after != NULL && read_id(after, &id)) {
		set_last(c, id);
		c->resumes = true;
	}
	return c;
}

void
mh_cursor_destroy(struct mh_cursor *c)
{
	g_free(c);
}

const char *
mh_cursor_last_id(const struct mh_cursor *c)
{
	return c->has_last ? c->last_id : NULL;
}

bool
mh_cursor_has_unnumbered(const struct mh_cursor *c)
{
	return c->unnumbered;
}

struct mh_sse *
mh_sse_create(struct mh_cursor *c, enum mh_ids prior_ids)
{
	struct mh_sse *s = g_new0(struct mh_sse, 1);

	s->cursor = c;
	s->prior_ids = prior_ids;
	s->buf = g_string_new(NULL);
	s->line_empty = true;
	return s;
}

void
mh_sse_destroy(struct mh_sse *s)
{
	if (s == NULL)
		return;
	g_string_free(s->buf, TRUE);
	g_free(s);
}

/*
 * Whether the event ends with @ch.  Lines end with LF, CR LF or CR.  A CR on an
 * empty line ends the event at once if the line before ended with CR alone;
 * otherwise the next byte decides, so that no CR LF is split.
 */
static bool
ends_event(struct mh_sse *s, char ch)
{
	bool line_empty = s->line_empty;

	s->after_cr = ch == '\r';
	s->line_empty = s->after_cr ? line_empty : ch == '\n';
	if (ch == '\n')
		s->lone_cr = false;
	return line_empty && (ch == '\n' || (s->after_cr && s->lone_cr));
}

/* The line ended with a CR that no LF follows. */
static void
end_line(struct mh_sse *s)
{
	s->line_empty = true;
	s->lone_cr = true;
	s->after_cr = false;
}

/* Advances @scan; returns true once a complete event ends there. */
static bool
find_end(struct mh_sse *s)
{
	while (s->scan < s->buf->len) {
		char ch = s->buf->str[s->scan];

		if (s->after_cr && ch != '\n') {
			bool event_over = s->line_empty;

			end_line(s);
			if (event_over)
				return true;
		}
		s->scan++;
		if (s->event_ended && s->scan == s->event_start + 1 &&
		    ch == '\n')
			return true;
		s->event_ended = false;
		if (ends_event(s, ch)) {
			s->event_ended = s->after_cr;
			s->after_cr = false;
			return true;
		}
	}
	return false;
}

/** struct event - fields of an event that affect the cursor. */
struct event {
	char *id; /* of its last id field, NULL: none */
	bool has_data;
};

static void
read_line(struct event *e, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t name = colon == NULL ? len : (size_t)(colon - line);

	if (name == 4 && strncmp(line, "data", 4) == 0)
		e->has_data = true;
	if (name != 2 || strncmp(line, "id", 2) != 0)
		return;
	g_free(e->id);
	e->id = colon == NULL
	    ? g_strdup("")
	    : g_strstrip(g_strndup(colon + 1, len - name - 1));
}

static void
read_event(struct event *e, const char *p, size_t len)
{
	const char *end = p + len;

	while (p < end) {
		const char *line = p;

		while (p < end && *p != '\n' && *p != '\r')
			p++;
		read_line(e, line, (size_t)(p - line));
		p++;
	}
}

/* The first id of a stream, or after a caller resumed it, shows how the
 * endpoint numbers events. */
static void
note_first_id(struct mh_sse *s, uint64_t id, uint64_t expected)
{
	struct mh_cursor *c = s->cursor;

	if (!c->has_last)
		s->ids = id <= expected ? MH_IDS_CONSECUTIVE : MH_IDS_SPARSE;
	c->consecutive = id <= expected && s->prior_ids != MH_IDS_SPARSE;
}

/*
 * If the endpoint numbers events without gaps, a gap is a missing event.  This
 * is also assumed after a caller resumed a stream, unless the endpoint was seen
 * to leave numbers out.
 */
static enum mh_sse_fault
advance(struct mh_sse *s, const char *text)
{
	struct mh_cursor *c = s->cursor;
	uint64_t id, expected = c->has_last ? c->last + 1 : 1;
	bool no_gaps = c->consecutive || s->prior_ids == MH_IDS_CONSECUTIVE ||
	    (c->resumes && s->prior_ids == MH_IDS_UNKNOWN);

	if (!read_id(text, &id)) {
		c->unnumbered = true;
		return MH_SSE_OK;
	}
	if (c->ordered && c->has_last && id <= c->last)
		return MH_SSE_REPEATED;
	if (c->ordered && no_gaps && id > expected)
		return MH_SSE_SKIPPED;
	if (!c->has_last || c->resumes)
		note_first_id(s, id, expected);
	c->resumes = false;
	set_last(c, id);
	return MH_SSE_OK;
}

static enum mh_sse_fault
track_event(struct mh_sse *s, const char *text, size_t len)
{
	enum mh_sse_fault f = MH_SSE_OK;
	struct event e = { NULL, false };

	read_event(&e, text, len);
	if (e.id != NULL)
		f = advance(s, e.id);
	else if (e.has_data)
		s->cursor->unnumbered = true;
	g_free(e.id);
	return f;
}

static enum mh_sse_fault
check_length(const struct mh_sse *s)
{
	return s->buf->len > MAX_EVENT ? MH_SSE_TOO_LONG : MH_SSE_OK;
}

/* Appends the event that ends at @scan to @out. */
static enum mh_sse_fault
take_event(struct mh_sse *s, GString *out)
{
	const char *event = s->buf->str + s->event_start;
	size_t len = s->scan - s->event_start;
	enum mh_sse_fault f = track_event(s, event, len);

	if (f != MH_SSE_OK)
		return f;
	g_string_append_len(out, event, (gssize)len);
	s->event_start = s->scan;
	s->line_empty = true;
	return MH_SSE_OK;
}

enum mh_sse_fault
mh_sse_feed(struct mh_sse *s, const char *data, size_t len, GString *out)
{
	enum mh_sse_fault f = MH_SSE_OK;

	g_string_append_len(s->buf, data, (gssize)len);
	while (f == MH_SSE_OK && find_end(s))
		f = take_event(s, out);
	g_string_erase(s->buf, 0, (gssize)s->event_start);
	s->scan -= s->event_start;
	s->event_start = 0;
	return f != MH_SSE_OK ? f : check_length(s);
}

const char *
mh_sse_fault_name(enum mh_sse_fault f)
{
	static const char *const names[] = { [MH_SSE_OK] = "none",
		[MH_SSE_REPEATED] = "repeated",
		[MH_SSE_SKIPPED] = "skipped",
		[MH_SSE_TOO_LONG] = "too-long" };

	return names[f];
}

enum mh_ids
mh_sse_ids(const struct mh_sse *s)
{
	return s->ids;
}

size_t
mh_sse_pending_bytes(const struct mh_sse *s)
{
	return s->buf->len;
}
