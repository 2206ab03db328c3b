/**
 * DOC: Whole events of a stream, and where the stream stands.
 *
 * An endpoint may stop in the middle of an event.  Only whole events are
 * passed on, so that another run can go on after the last one without a
 * torn piece before it.  A reader belongs to one run and takes what is not
 * whole with it; where the stream stands outlives the runs.
 */

#include "gate.h"

#include <errno.h>
#include <string.h>

#define ID_LEN 24
/* Far more than an engine makes in one step. */
#define MAX_EVENT ((size_t)1 << 20)

struct mh_cursor {
	bool ordered; /* its ids increase */
	bool resumes; /* @last was the caller's own, and no event has come */
	bool numbered; /* @last is set */
	bool by_one; /* it began with the number that was due: none is left out
		      */
	bool lost; /* behind @last came an event without a number */
	uint64_t last;
	char last_id[ID_LEN];
};

struct mh_sse {
	struct mh_cursor *cursor; /* the stream's */
	enum mh_ids known; /* how the endpoint numbered events before */
	enum mh_ids ids; /* how this run does, if it began the stream */
	GString *held; /* what was received and not passed on */
	size_t begun; /* of @held: where the event begins */
	size_t read; /* of @held: where to read on */
	/* the line end that was read last */
	bool blank; /* the line has no byte yet */
	bool cr; /* the last byte: a line's end, or half of one */
	bool lone; /* the last line ended with a CR alone */
	bool ended; /* the event did; a LF would belong to its end */
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
move(struct mh_cursor *c, uint64_t id)
{
	c->numbered = true;
	c->lost = false;
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
		move(c, id);
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
	return c->numbered ? c->last_id : NULL;
}

bool
mh_cursor_lost(const struct mh_cursor *c)
{
	return c->lost;
}

struct mh_sse *
mh_sse_create(struct mh_cursor *c, enum mh_ids known)
{
	struct mh_sse *s = g_new0(struct mh_sse, 1);

	s->cursor = c;
	s->known = known;
	s->held = g_string_new(NULL);
	s->blank = true;
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

/*
 * Whether the event ends with @ch.  Lines end with LF, CR LF or CR.  A CR ends
 * an event at once where the line before ended with a CR alone; elsewhere the
 * next byte tells, so that no CR LF is parted.
 */
static bool
ends_with(struct mh_sse *s, char ch)
{
	bool blank = s->blank;

	s->cr = ch == '\r';
	s->blank = s->cr ? blank : ch == '\n';
	if (ch == '\n')
		s->lone = false;
	return blank && (ch == '\n' || (s->cr && s->lone));
}

/* A CR was followed by another byte than LF: the line has ended there. */
static void
end_line(struct mh_sse *s)
{
	s->blank = true;
	s->lone = true;
	s->cr = false;
}

/* Whether @held has a whole event up to @read, which is moved on. */
static bool
find_end(struct mh_sse *s)
{
	while (s->read < s->held->len) {
		char ch = s->held->str[s->read];

		if (s->cr && ch != '\n') {
			bool over = s->blank;

			end_line(s);
			if (over)
				return true;
		}
		s->read++;
		if (s->ended && s->read == s->begun + 1 && ch == '\n')
			return true;
		s->ended = false;
		if (ends_with(s, ch)) {
			s->ended = s->cr;
			s->cr = false;
			return true;
		}
	}
	return false;
}

/** struct event - what the cursor is to know of an event. */
struct event {
	char *id; /* the last one given, NULL: none */
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

/* The first number that comes shows how the endpoint counts. */
static void
begin(struct mh_sse *s, uint64_t id, uint64_t due)
{
	struct mh_cursor *c = s->cursor;

	if (!c->numbered)
		s->ids = id <= due ? MH_IDS_COUNT : MH_IDS_LEAVE_OUT;
	c->by_one = id <= due && s->known != MH_IDS_LEAVE_OUT;
}

/*
 * Where endpoints count their events a number that is left out is an event
 * that is missing.  Of a caller that resumes it is taken that they do, unless
 * the endpoint is known to do otherwise.
 */
static enum mh_sse_fault
advance(struct mh_sse *s, const char *text)
{
	struct mh_cursor *c = s->cursor;
	uint64_t id, due = c->numbered ? c->last + 1 : 1;
	bool counts = c->by_one || s->known == MH_IDS_COUNT ||
	    (c->resumes && s->known == MH_IDS_UNKNOWN);

	if (!read_id(text, &id)) {
		c->lost = true;
		return MH_SSE_GOOD;
	}
	if (c->ordered && c->numbered && id <= c->last)
		return MH_SSE_REPEATED;
	if (c->ordered && counts && id > due)
		return MH_SSE_SKIPPED;
	if (!c->numbered || c->resumes)
		begin(s, id, due);
	c->resumes = false;
	move(c, id);
	return MH_SSE_GOOD;
}

static enum mh_sse_fault
note_event(struct mh_sse *s, const char *text, size_t len)
{
	enum mh_sse_fault f = MH_SSE_GOOD;
	struct event e = { NULL, false };

	read_event(&e, text, len);
	if (e.id != NULL)
		f = advance(s, e.id);
	else if (e.has_data)
		s->cursor->lost = true;
	g_free(e.id);
	return f;
}

static enum mh_sse_fault
check_length(const struct mh_sse *s)
{
	return s->held->len > MAX_EVENT ? MH_SSE_TOO_LONG : MH_SSE_GOOD;
}

/* Passes on the event up to @read. */
static enum mh_sse_fault
take_event(struct mh_sse *s, GString *out)
{
	const char *event = s->held->str + s->begun;
	size_t len = s->read - s->begun;
	enum mh_sse_fault f = note_event(s, event, len);

	if (f != MH_SSE_GOOD)
		return f;
	g_string_append_len(out, event, (gssize)len);
	s->begun = s->read;
	s->blank = true;
	return MH_SSE_GOOD;
}

enum mh_sse_fault
mh_sse_feed(struct mh_sse *s, const char *data, size_t len, GString *out)
{
	enum mh_sse_fault f = MH_SSE_GOOD;

	g_string_append_len(s->held, data, (gssize)len);
	while (f == MH_SSE_GOOD && find_end(s))
		f = take_event(s, out);
	g_string_erase(s->held, 0, (gssize)s->begun);
	s->read -= s->begun;
	s->begun = 0;
	return f != MH_SSE_GOOD ? f : check_length(s);
}

const char *
mh_sse_fault_name(enum mh_sse_fault f)
{
	static const char *const names[] = { [MH_SSE_GOOD] = "none",
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
mh_sse_held(const struct mh_sse *s)
{
	return s->held->len;
}
