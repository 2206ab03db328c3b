/**
 * DOC: Whole sessions of streams, drawn by a seed, over sockets on loopback.
 *
 * Endpoints tear their answers at any byte, refuse, answer something else,
 * begin anew, leave out or double pieces; TCP splits what they send anywhere.
 * Left out: an endpoint that stops between two events with its frame whole,
 * which no reader can tell from the end of the stream.
 */

#include "streamrig.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define LANES_MOST 500 /* of one rig */
#define RAW_MOST 1500 /* bytes of an answer in a report */
#define TOLD_MOST 10 /* faults that are reported in full */

/* What the callers of all sessions got. */
static struct {
	uint32_t sessions;
	uint32_t complete; /* streams to their last piece */
	uint32_t resumed; /* of these, by more than one run */
	uint32_t broken; /* streams that broke off */
	uint32_t faults;
} seen;

static void
tell(const struct ssession *s, const char *why)
{
	char *script = stream_script(s);
	char *raw = g_strndup(s->raw->str, MIN(s->raw->len, RAW_MOST));
	char *text = g_strescape(raw, NULL);
	const char *end = s->reset ? "reset" : "closed";

	printf("\n%s%s\n  got (%zu bytes, %s): %s\n", script, why, s->raw->len,
	    s->complete ? "complete" : end, text);
	g_free(text);
	g_free(raw);
	g_free(script);
}

static void
fault(const struct ssession *s, const char *why)
{
	if (seen.faults++ < TOLD_MOST)
		tell(s, why);
	CU_FAIL("a session of streams");
}

/* the events of a body */

/** struct reader - what a caller makes of the bytes, as the standard says. */
struct reader {
	GString *data;
	uint32_t id;
	bool has_data;
	bool within; /* of an event */
	bool strange; /* a line that no endpoint sends */
};

static void
read_field(struct reader *r, const char *line, size_t len)
{
	static const char *const others[] = { "event: token", "retry: 100",
		"x-weight-versions: 3" };

	r->within = true;
	if (*line == ':')
		return;
	if (len >= 6 && strncmp(line, "data: ", 6) == 0) {
		if (r->has_data)
			g_string_append_c(r->data, '\n');
		g_string_append_len(r->data, line + 6, (gssize)(len - 6));
		r->has_data = true;
		return;
	}
	if (len >= 4 && strncmp(line, "id:", 3) == 0) {
		r->id = (uint32_t)g_ascii_strtoull(line + 3, NULL, 10);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		if (len == strlen(others[i]) &&
		    strncmp(line, others[i], len) == 0)
			return;
	}
	r->strange = true;
}

/* Returns what is wrong with the event that ends here, or NULL. */
static const char *
end_event(struct reader *r, const struct ssession *s, uint32_t *last)
{
	const char *wrong = NULL;
	char *due = stream_data(s, *last + 1);

	if (r->strange)
		wrong = "a line that no endpoint sends";
	else if (r->has_data && r->id != *last + 1)
		wrong = "a piece out of order";
	else if (r->has_data && strcmp(r->data->str, due) != 0)
		wrong = "a piece that no run made";
	else if (r->has_data)
		(*last)++;
	g_free(due);
	g_string_truncate(r->data, 0);
	r->has_data = false;
	r->within = false;
	r->id = 0;
	return wrong;
}

/* Reads all whole events; @last: the piece that the caller has last. */
static const char *
read_events(const struct ssession *s, uint32_t *last, bool *torn)
{
	struct reader r = { .data = g_string_new(NULL) };
	const char *p = s->body->str, *end = p + s->body->len, *wrong = NULL;

	*last = s->after;
	while (p < end && wrong == NULL) {
		size_t n = strcspn(p, "\r\n");

		if (p + n == end)
			break;
		if (n > 0)
			read_field(&r, p, n);
		else
			wrong = end_event(&r, s, last);
		p += n + (strncmp(p + n, "\r\n", 2) == 0 ? 2 : 1);
	}
	*torn = p < end || r.within;
	g_string_free(r.data, TRUE);
	return wrong;
}

/* checks */

static const struct stry *
try_of(const struct ssession *s)
{
	for (uint32_t i = 0; i < MIN(s->n_tries, STREAM_TRIES); i++) {
		if (s->stamp != NULL &&
		    strcmp(s->stamp, s->tries[i].stamp) == 0)
			return &s->tries[i];
	}
	return NULL;
}

static bool
is_stream(const struct ssession *s)
{
	return s->status == 200 && s->type != NULL &&
	    strcmp(s->type, "text/event-stream") == 0;
}

static const char *
check_stream(const struct ssession *s)
{
	const struct stry *t = try_of(s);
	uint32_t last;
	bool torn;
	const char *wrong = read_events(s, &last, &torn);

	if (wrong != NULL)
		return wrong;
	if (t == NULL || t->run->kind != RUN_EVENTS)
		return "a stream by none of its runs";
	if (!s->complete) {
		seen.broken++;
		return NULL;
	}
	if (torn)
		return "complete within an event";
	if (last < s->pieces)
		return "complete before the last piece";
	seen.complete++;
	seen.resumed += s->n_tries > 1;
	return NULL;
}

/* Sendings that an endpoint began to work on. */
static uint32_t
ran(const struct ssession *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < MIN(s->n_tries, STREAM_TRIES); i++)
		n += s->tries[i].run->kind != RUN_REFUSES;
	return n;
}

/* Those that an entry can't know to be none: its word may come too late. */
static uint32_t
may_have_run(const struct ssession *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < MIN(s->n_tries, STREAM_TRIES); i++)
		n += !s->tries[i].refused || s->tries[i].end == END_LATE;
	return n;
}

/* An answer of the entry's own. */
static const char *
check_own(const struct ssession *s)
{
	switch (s->status) {
	case 502:
	case 504:
		return NULL;
	case 503:
		return ran(s) == 0 ? NULL : "not run, it says, and it ran";
	default:
		return "a status of nobody";
	}
}

static const char *
check_answer(const struct ssession *s)
{
	const struct stry *t = try_of(s);

	if (s->stray > 0)
		return "bytes behind a complete answer, or malformed";
	if (s->status == 0)
		return NULL; /* broke off before its head */
	if (is_stream(s))
		return check_stream(s);
	if (!s->complete)
		return NULL;
	if (s->stamp == NULL)
		return check_own(s);
	if (t == NULL || t->run->status != s->status)
		return "an answer by none of its runs";
	if ((t->end != END_WHOLE && t->end != END_LATE) ||
	    strcmp(t->body, s->body->str) != 0)
		return "another body than that of its run";
	return NULL;
}

static uint32_t
runs_most(const struct ssession *s)
{
	return s->route == ROUTE_ONCE ? 1 : s->attempts;
}

static const char *
check_runs(const struct ssession *s)
{
	if (s->n_tries == 0)
		return "never sent";
	if (s->n_tries > STREAM_TRIES || ran(s) > runs_most(s))
		return "sent too often";
	return NULL;
}

/* Its caller may have the head of a stream, though it did not read it. */
static bool
has_streamed(const struct ssession *s)
{
	for (uint32_t i = 0; i < MIN(s->n_tries, STREAM_TRIES); i++) {
		const struct stry *t = &s->tries[i];

		if (t->head && t->run->kind == RUN_EVENTS && t->run->stamped)
			return true;
	}
	return false;
}

/* Whether it may be sent once more. */
static bool
may_go_on(const struct ssession *s)
{
	if (s->route == ROUTE_PLAIN && has_streamed(s))
		return false;
	return s->n_tries < s->lane->nodes && may_have_run(s) < runs_most(s);
}

/* An entry that always broke off would keep all that is promised. */
static const char *
check_goes_on(const struct ssession *s)
{
	const struct stry *t = &s->tries[s->n_tries - 1];
	bool own = s->stamp == NULL || !s->complete || is_stream(s);

	if (t->sound)
		return s->complete && s->status == 200
		    ? NULL
		    : "not complete though the last run is sound";
	if (is_stream(s) && s->complete)
		return NULL;
	if (may_go_on(s) && (own || s->status >= 500))
		return "given up though it may go on";
	return NULL;
}

static void
judge(const struct ssession *s)
{
	const char *wrong = check_runs(s);

	seen.sessions++;
	if (wrong == NULL)
		wrong = check_answer(s);
	if (wrong == NULL && !s->left)
		wrong = check_goes_on(s);
	if (wrong != NULL)
		fault(s, wrong);
}

static void
say_seen(void)
{
	printf("%u sessions, %u complete streams (%u by more than one run), "
	       "%u broken off, %u faults ... ",
	    seen.sessions, seen.complete, seen.resumed, seen.broken,
	    seen.faults);
}

/* A piece joined, changed, lost or doubled, or an end that looks complete. */
static void
test_drawn(void)
{
	uint32_t first = regress_first(1), last = regress_last(400);

	memset(&seen, 0, sizeof(seen));
	for (uint32_t from = first; from <= last; from += LANES_MOST) {
		struct srig *r = srig_create(judge);

		for (uint32_t i = from; i <= last && i < from + LANES_MOST;
		     i++) {
			GRand *g = g_rand_new_with_seed(i);
			uint32_t n = (uint32_t)g_rand_int_range(
			    g, 1, STREAM_SESSIONS + 1);

			stream_draw(srig_lane(r, i, n), g);
			g_rand_free(g);
		}
		CU_ASSERT_TRUE(srig_run(r));
		srig_destroy(r);
	}
	say_seen();
}

#define PIECES 3
#define FIRST_LANE 1000 /* all names of lanes have one length */
#define SILENCE_DEADLINE_MS 2700

/* A stream that may be resumed, all runs of which are sound. */
static void
set_sound(struct ssession *s)
{
	s->route = ROUTE_RESUMED;
	s->attempts = 2;
	s->pieces = PIECES;
	s->seed = 1;
	s->deadline_ms = SILENCE_DEADLINE_MS;
	s->hangs = true;
	for (uint32_t i = 0; i < STREAM_TRIES; i++) {
		s->runs[i].status = 200;
		s->runs[i].stamped = true;
		s->runs[i].seed = 1;
	}
}

static struct ssession *
one_session(struct srig *r, uint32_t lane)
{
	struct ssession *s = &srig_lane(r, lane, 1)->all[0];

	set_sound(s);
	return s;
}

static uint32_t
answer_len(enum srun_lines lines)
{
	struct srig *r = srig_create(judge);
	struct ssession *s = one_session(r, FIRST_LANE);
	struct stry t = { .run = &s->runs[0],
		.counts = &s->lane->counts[0],
		.stamp = "s1000-0.0" };
	GString *none = g_string_new(NULL), *g;
	uint32_t len;

	s->runs[0].lines = lines;
	g = stream_answer(s, &t, 0, none);
	len = (uint32_t)g->len;
	g_free(t.body);
	g_string_free(g, TRUE);
	g_string_free(none, TRUE);
	srig_destroy(r);
	return len;
}

/* Half of an event, or of a frame, at the joint of two runs. */
static void
test_every_byte(void)
{
	static const enum srun_end ends[] = { END_SILENT, END_CLOSE,
		END_RESET };
	static const enum srun_lines lines[] = { LINES_LF, LINES_CRLF };
	struct srig *r = srig_create(judge);
	uint32_t lane = FIRST_LANE;

	memset(&seen, 0, sizeof(seen));
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		uint32_t len = answer_len(lines[i]);

		for (uint32_t at = 0; at < len * G_N_ELEMENTS(ends); at++) {
			struct ssession *s = one_session(r, lane++);

			s->runs[0].cut = at % len;
			s->runs[0].end = ends[at / len];
			s->runs[0].lines = s->runs[1].lines = lines[i];
		}
	}
	CU_ASSERT_TRUE(srig_run(r));
	CU_ASSERT_EQUAL(seen.resumed, lane - FIRST_LANE);
	CU_ASSERT_EQUAL(seen.complete, lane - FIRST_LANE);
	srig_destroy(r);
	say_seen();
}

/* A stream without its first piece, at an endpoint that has shown one. */
static void
test_past_its_first(void)
{
	static const enum sroute routes[] = { ROUTE_RESUMED, ROUTE_ONCE };
	struct srig *r = srig_create(judge);

	memset(&seen, 0, sizeof(seen));
	for (uint32_t i = 0; i < 2 * G_N_ELEMENTS(routes); i++) {
		struct slane *l = srig_lane(r, FIRST_LANE + i, 2);

		l->nodes = 1;
		set_sound(&l->all[0]);
		l->all[0].runs[0].hello = i % 2 == 0;
		l->all[0].runs[0].split = SPLIT_BYTES;
		set_sound(&l->all[1]);
		l->all[1].route = routes[i / 2];
		l->all[1].runs[0].skips = 1;
	}
	CU_ASSERT_TRUE(srig_run(r));
	CU_ASSERT_EQUAL(seen.complete, 2 * G_N_ELEMENTS(routes));
	srig_destroy(r);
	say_seen();
}

const struct test tests_stream[] = {
	{ "stream: torn at every byte", test_every_byte },
	{ "stream: past its first piece", test_past_its_first },
	{ "stream: drawn sessions", test_drawn },
	{ NULL, NULL },
};
