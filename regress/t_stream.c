/**
 * DOC: Sessions of streamed responses over loopback sockets, drawn by a seed.
 *
 * Endpoints cut their responses at any byte, refuse requests, send other
 * responses, restart the stream, skip or duplicate pieces; writes are split
 * anywhere.  Not covered: an endpoint that stops between two events with its
 * HTTP framing complete, which no reader can tell from the end of the stream.
 */

#include "streamrig.h"
#include "regress.h"

#include <stdio.h>
#include <string.h>

#define LANES_PER_RIG 500
#define REPORT_MAX_BYTES 1500 /* of a response */
#define MAX_REPORTED_FAULTS 10 /* printed in full */

/* Results of all sessions of a test. */
static struct {
	uint32_t sessions;
	uint32_t complete; /* streams received up to the last piece */
	uint32_t resumed; /* of these, with more than one attempt */
	uint32_t broken; /* streams that ended early */
	uint32_t faults;
} totals;

static void
print_session(const struct stream_session *s, const char *fault)
{
	char *script = stream_describe(s);
	char *raw = g_strndup(s->raw->str, MIN(s->raw->len, REPORT_MAX_BYTES));
	char *text = g_strescape(raw, NULL);
	const char *end = s->reset ? "reset" : "closed";

	printf("\n%s%s\n  got (%zu bytes, %s): %s\n", script, fault,
	    s->raw->len, s->complete ? "complete" : end, text);
	g_free(text);
	g_free(raw);
	g_free(script);
}

static void
report_fault(const struct stream_session *s, const char *fault)
{
	if (totals.faults++ < MAX_REPORTED_FAULTS)
		print_session(s, fault);
	CU_FAIL("wrong result of a stream session");
}

/* events of a body */

/** struct event_reader - parses the lines of an event stream as a caller. */
struct event_reader {
	GString *data;
	uint32_t id;
	bool has_data;
	bool in_event; /* a line of the current event has been read */
	bool unexpected_line; /* a line that no endpoint sends */
};

static void
read_field(struct event_reader *r, const char *line, size_t len)
{
	static const char *const others[] = { "event: token", "retry: 100",
		"x-weight-versions: 3" };

	r->in_event = true;
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
	r->unexpected_line = true;
}

/*
 * Checks the event that ends here and advances @last past its piece.  Returns
 * what is wrong with it, or NULL.
 */
static const char *
end_event(
    struct event_reader *r, const struct stream_session *s, uint32_t *last)
{
	const char *fault = NULL;
	char *expected = stream_piece_data(s, *last + 1);

	if (r->unexpected_line)
		fault = "a line that no endpoint sends";
	else if (r->has_data && r->id != *last + 1)
		fault = "a piece out of order";
	else if (r->has_data && strcmp(r->data->str, expected) != 0)
		fault = "a piece with data that no run sent";
	else if (r->has_data)
		(*last)++;
	g_free(expected);
	g_string_truncate(r->data, 0);
	r->has_data = false;
	r->in_event = false;
	r->id = 0;
	return fault;
}

/*
 * Reads all complete events.  Sets @last to the last piece received and
 * @truncated if an incomplete event remains.
 */
static const char *
read_events(const struct stream_session *s, uint32_t *last, bool *truncated)
{
	struct event_reader r = { .data = g_string_new(NULL) };
	const char *p = s->body->str, *end = p + s->body->len, *fault = NULL;

	*last = s->last_piece;
	while (p < end && fault == NULL) {
		size_t n = strcspn(p, "\r\n");

		if (p + n == end)
			break;
		if (n > 0)
			read_field(&r, p, n);
		else
			fault = end_event(&r, s, last);
		p += n + (strncmp(p + n, "\r\n", 2) == 0 ? 2 : 1);
	}
	*truncated = p < end || r.in_event;
	g_string_free(r.data, TRUE);
	return fault;
}

/* checks */

static const struct stream_attempt *
find_attempt(const struct stream_session *s)
{
	for (uint32_t i = 0; i < MIN(s->n_attempts, STREAM_MAX_ATTEMPTS); i++) {
		if (s->stamp != NULL &&
		    strcmp(s->stamp, s->attempts[i].stamp) == 0)
			return &s->attempts[i];
	}
	return NULL;
}

static bool
is_stream(const struct stream_session *s)
{
	return s->status == 200 && s->content_type != NULL &&
	    strcmp(s->content_type, "text/event-stream") == 0;
}

static const char *
check_stream(const struct stream_session *s)
{
	const struct stream_attempt *t = find_attempt(s);
	uint32_t last;
	bool truncated;
	const char *fault = read_events(s, &last, &truncated);

	if (fault != NULL)
		return fault;
	if (t == NULL || t->script->kind != RUN_EVENTS)
		return "a stream that no run of the session sent";
	if (!s->complete) {
		totals.broken++;
		return NULL;
	}
	if (truncated)
		return "complete in the middle of an event";
	if (last < s->n_pieces)
		return "complete before the last piece";
	totals.complete++;
	totals.resumed += s->n_attempts > 1;
	return NULL;
}

/* Attempts that an endpoint executed, at least in part. */
static uint32_t
count_executed(const struct stream_session *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < MIN(s->n_attempts, STREAM_MAX_ATTEMPTS); i++)
		n += s->attempts[i].script->kind != RUN_REFUSES;
	return n;
}

/*
 * Attempts that the gateway must count as possibly executed: all without a
 * refusal, and those whose refusal may come after the gateway's timeout.
 */
static uint32_t
count_maybe_executed(const struct stream_session *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < MIN(s->n_attempts, STREAM_MAX_ATTEMPTS); i++)
		n += !s->attempts[i].not_executed ||
		    s->attempts[i].end == END_AFTER_PAUSE;
	return n;
}

/* A response without a stamp comes from the gateway itself. */
static const char *
check_gateway_response(const struct stream_session *s)
{
	switch (s->status) {
	case 502:
	case 504:
		return NULL;
	case 503:
		return count_executed(s) == 0
		    ? NULL
		    : "503 though an endpoint executed the request";
	default:
		return "a status that the gateway does not send";
	}
}

static const char *
check_response(const struct stream_session *s)
{
	const struct stream_attempt *t = find_attempt(s);

	if (s->stray_bytes > 0)
		return "malformed, or bytes after a complete response";
	if (s->status == 0)
		return NULL; /* ended before its head */
	if (is_stream(s))
		return check_stream(s);
	if (!s->complete)
		return NULL;
	if (s->stamp == NULL)
		return check_gateway_response(s);
	if (t == NULL || t->script->status != s->status)
		return "a response that no run of the session sent";
	if ((t->end != END_COMPLETE && t->end != END_AFTER_PAUSE) ||
	    strcmp(t->body, s->body->str) != 0)
		return "a body other than that of its run";
	return NULL;
}

static uint32_t
max_executions(const struct stream_session *s)
{
	return s->route == ROUTE_ONCE ? 1 : s->max_attempts;
}

static const char *
check_attempts(const struct stream_session *s)
{
	if (s->n_attempts == 0)
		return "no attempt reached an endpoint";
	if (s->n_attempts > STREAM_MAX_ATTEMPTS ||
	    count_executed(s) > max_executions(s))
		return "too many attempts or executions";
	return NULL;
}

/* The caller may have been sent a stream's head that it did not read yet. */
static bool
may_have_stream_head(const struct stream_session *s)
{
	for (uint32_t i = 0; i < MIN(s->n_attempts, STREAM_MAX_ATTEMPTS); i++) {
		const struct stream_attempt *t = &s->attempts[i];

		if (t->head_sent && t->script->kind == RUN_EVENTS &&
		    t->script->stamped)
			return true;
	}
	return false;
}

/* Whether the gateway may make another attempt. */
static bool
may_retry(const struct stream_session *s)
{
	if (s->route == ROUTE_PLAIN && may_have_stream_head(s))
		return false;
	return s->n_attempts < s->lane->n_nodes &&
	    count_maybe_executed(s) < max_executions(s);
}

/*
 * Checks that the gateway retries as long as it may.  A gateway that ended each
 * response early would pass all other checks.
 */
static const char *
check_retried(const struct stream_session *s)
{
	const struct stream_attempt *t = &s->attempts[s->n_attempts - 1];
	bool gave_up = s->stamp == NULL || !s->complete || is_stream(s);

	if (t->valid)
		return s->complete && s->status == 200
		    ? NULL
		    : "not complete though the last run is valid";
	if (is_stream(s) && s->complete)
		return NULL;
	if (may_retry(s) && (gave_up || s->status >= 500))
		return "given up though it may go on";
	return NULL;
}

static void
check_session(const struct stream_session *s)
{
	const char *fault = check_attempts(s);

	totals.sessions++;
	if (fault == NULL)
		fault = check_response(s);
	if (fault == NULL && !s->hung_up)
		fault = check_retried(s);
	if (fault != NULL)
		report_fault(s, fault);
}

static void
print_totals(void)
{
	printf("%u sessions, %u complete streams (%u with retries), "
	       "%u ended early, %u faults ... ",
	    totals.sessions, totals.complete, totals.resumed, totals.broken,
	    totals.faults);
}

/*
 * Guards against pieces that are joined, changed, lost or duplicated, and
 * against a stream that ends early and looks complete.
 */
static void
test_drawn(void)
{
	uint32_t first = regress_first_seed(1), last = regress_last_seed(400);

	memset(&totals, 0, sizeof(totals));
	for (uint32_t from = first; from <= last; from += LANES_PER_RIG) {
		struct stream_rig *r = stream_rig_create(check_session);

		for (uint32_t i = from; i <= last && i < from + LANES_PER_RIG;
		     i++) {
			GRand *g = g_rand_new_with_seed(i);
			uint32_t n = (uint32_t)g_rand_int_range(
			    g, 1, STREAM_MAX_SESSIONS + 1);

			stream_draw(stream_rig_add_lane(r, i, n), g);
			g_rand_free(g);
		}
		CU_ASSERT_TRUE(stream_rig_run(r));
		stream_rig_destroy(r);
	}
	print_totals();
}

#define N_PIECES 3
#define FIRST_LANE 1000 /* with 4 digits all responses have the same length */
#define SILENCE_DEADLINE_MS 2700

/* Scripts a resumable stream, all runs of which are valid. */
static void
set_fault_free(struct stream_session *s)
{
	s->route = ROUTE_RESUME;
	s->max_attempts = 2;
	s->n_pieces = N_PIECES;
	s->seed = 1;
	s->deadline_ms = SILENCE_DEADLINE_MS;
	s->has_silence = true;
	for (uint32_t i = 0; i < STREAM_MAX_ATTEMPTS; i++) {
		s->scripts[i].status = 200;
		s->scripts[i].stamped = true;
		s->scripts[i].seed = 1;
	}
}

static struct stream_session *
add_session(struct stream_rig *r, uint32_t lane)
{
	struct stream_session *s =
	    &stream_rig_add_lane(r, lane, 1)->sessions[0];

	set_fault_free(s);
	return s;
}

static uint32_t
response_bytes(enum run_lines lines)
{
	struct stream_rig *r = stream_rig_create(check_session);
	struct stream_session *s = add_session(r, FIRST_LANE);
	struct stream_attempt t = { .script = &s->scripts[0],
		.ids_from_1 = &s->lane->ids_from_1[0],
		.stamp = "s1000-0.0" };
	GString *none = g_string_new(NULL), *g;
	uint32_t len;

	s->scripts[0].lines = lines;
	g = stream_response(s, &t, 0, none);
	len = (uint32_t)g->len;
	g_free(t.body);
	g_string_free(g, TRUE);
	g_string_free(none, TRUE);
	stream_rig_destroy(r);
	return len;
}

/*
 * Guards against part of an event or of the HTTP framing being passed on where
 * one run ends and the next one continues: cuts the first run at every byte.
 */
static void
test_cut_every_byte(void)
{
	static const enum run_end ends[] = { END_SILENT, END_CLOSE, END_RESET };
	static const enum run_lines lines[] = { LINES_LF, LINES_CRLF };
	struct stream_rig *r = stream_rig_create(check_session);
	uint32_t lane = FIRST_LANE;

	memset(&totals, 0, sizeof(totals));
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		uint32_t len = response_bytes(lines[i]);

		for (uint32_t at = 0; at < len * G_N_ELEMENTS(ends); at++) {
			struct stream_session *s = add_session(r, lane++);

			s->scripts[0].cut_at = at % len;
			s->scripts[0].end = ends[at / len];
			s->scripts[0].lines = s->scripts[1].lines = lines[i];
		}
	}
	CU_ASSERT_TRUE(stream_rig_run(r));
	CU_ASSERT_EQUAL(totals.resumed, lane - FIRST_LANE);
	CU_ASSERT_EQUAL(totals.complete, lane - FIRST_LANE);
	stream_rig_destroy(r);
	print_totals();
}

/*
 * Guards against a stream that lacks its first piece passing as complete.  The
 * first session of a lane shows that the ids of its endpoint start at 1, so the
 * gateway can detect the gap in the second one.
 */
static void
test_first_piece_missing(void)
{
	static const enum stream_route routes[] = { ROUTE_RESUME, ROUTE_ONCE };
	struct stream_rig *r = stream_rig_create(check_session);

	memset(&totals, 0, sizeof(totals));
	for (uint32_t i = 0; i < 2 * G_N_ELEMENTS(routes); i++) {
		struct stream_lane *l =
		    stream_rig_add_lane(r, FIRST_LANE + i, 2);

		l->n_nodes = 1;
		set_fault_free(&l->sessions[0]);
		l->sessions[0].scripts[0].leading_comment = i % 2 == 0;
		l->sessions[0].scripts[0].split = SPLIT_BYTES;
		set_fault_free(&l->sessions[1]);
		l->sessions[1].route = routes[i / 2];
		l->sessions[1].scripts[0].skip_piece = 1;
	}
	CU_ASSERT_TRUE(stream_rig_run(r));
	CU_ASSERT_EQUAL(totals.complete, 2 * G_N_ELEMENTS(routes));
	stream_rig_destroy(r);
	print_totals();
}

const struct test tests_stream[] = {
	{ "stream: torn at every byte", test_cut_every_byte },
	{ "stream: first piece missing", test_first_piece_missing },
	{ "stream: drawn sessions", test_drawn },
	{ NULL, NULL },
};
