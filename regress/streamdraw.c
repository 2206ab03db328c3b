/**
 * DOC: Random sessions of a lane, and their description as text.
 */

#include "streamrig.h"

#include <string.h>

#define SESSION_DEADLINE_MS 25000
/* The gateway gives up on a silent run within this time, at any byte. */
#define SILENCE_MS 1700
#define LAST_RUN_MS 1000
#define MAX_PIECES 30
#define MAX_FILLER_BYTES 20000

static bool
one_in(GRand *g, int32_t n)
{
	return g_rand_int_range(g, 0, n) == 0;
}

static uint32_t
up_to(GRand *g, uint32_t most)
{
	return (uint32_t)g_rand_int_range(g, 1, (int32_t)most + 1);
}

static void
draw_transport(GRand *g, struct run_script *run, bool big)
{
	static const enum run_end ends[] = { END_CLOSE, END_RESET };

	run->framing = one_in(g, 2) ? BY_CHUNKS : up_to(g, 3) - 1;
	run->lines = up_to(g, 3) - 1;
	run->noisy = one_in(g, 2);
	run->closes_conn = one_in(g, 6);
	run->interim = one_in(g, 20);
	run->leading_comment = one_in(g, 10);
	run->seed = g_rand_int(g);
	run->cut_at = g_rand_int(g);
	run->split = big ? SPLIT_NONE : up_to(g, 4) - 1;
	if (big && one_in(g, 2))
		run->split = SPLIT_RANDOM;
	run->end = ends[g_rand_int_range(g, 0, 2)];
}

static void
draw_refusal(GRand *g, struct run_script *run)
{
	static const uint32_t all[] = { 503, 503, 429, 421 };

	run->kind = RUN_REFUSES;
	run->status = all[g_rand_int_range(g, 0, G_N_ELEMENTS(all))];
	run->stamped = one_in(g, 2);
}

static void
draw_status(GRand *g, struct run_script *run)
{
	static const uint32_t all[] = { 404, 404, 500, 500, 502, 204, 304,
		400 };

	run->kind = RUN_STATUS;
	run->status = all[g_rand_int_range(g, 0, G_N_ELEMENTS(all))];
	run->stamped = !one_in(g, 3);
}

/* Adds a fault to a stream: in the order of pieces or in its last event. */
static void
draw_event_fault(
    GRand *g, const struct stream_session *s, struct run_script *run)
{
	switch (g_rand_int_range(g, 0, 4)) {
	case 0:
		run->restarts = true;
		return;
	case 1:
		run->skip_piece = up_to(g, s->n_pieces) + (s->index == 0);
		return;
	case 2:
		run->dup_piece = up_to(g, s->n_pieces);
		return;
	default:
		run->truncates_event = true;
		return;
	}
}

static void
draw_run(GRand *g, struct stream_session *s, struct run_script *run)
{
	uint32_t x = up_to(g, 100);
	bool may_complete = true;

	draw_transport(g, run, s->filler_bytes > 0);
	run->kind = s->route == ROUTE_PLAIN ? RUN_PLAIN_BODY : RUN_EVENTS;
	run->status = 200;
	run->stamped = true;
	if (x <= 45)
		may_complete = false;
	else if (x <= 55)
		draw_refusal(g, run);
	else if (x <= 62)
		draw_status(g, run);
	else if (x <= 65)
		run->kind = RUN_PLAIN_BODY;
	else if (x <= 68)
		run->stamped = false;
	else if (x <= 80 && s->route != ROUTE_PLAIN)
		draw_event_fault(g, s, run);
	else if (x <= 85)
		run->kind = RUN_EVENTS;
	if (may_complete && !one_in(g, 8))
		run->end = END_COMPLETE;
	/* After a body without length or chunks it would belong to the body. */
	if (run->end == END_COMPLETE && run->framing != BY_CLOSE &&
	    one_in(g, 8))
		run->extra = one_in(g, 2) ? EXTRA_AT_ONCE : EXTRA_LATER;
}

/*
 * Lets one or both of the first two runs pause or fall silent.  No run is
 * written byte by byte as a whole: its delays could look like a silence.
 */
static void
draw_silence(GRand *g, struct stream_session *s)
{
	uint32_t n = up_to(g, 2);

	s->has_silence = true;
	for (uint32_t i = 0; i < n; i++) {
		struct run_script *run = &s->scripts[g_rand_int_range(g, 0, 2)];

		run->end = one_in(g, 3) ? END_AFTER_PAUSE : END_SILENT;
	}
	s->deadline_ms = n * SILENCE_MS + LAST_RUN_MS;
	for (uint32_t i = 0; i < STREAM_MAX_ATTEMPTS; i++) {
		if (s->scripts[i].split == SPLIT_BYTES)
			s->scripts[i].split = SPLIT_WINDOW;
	}
}

static void
draw_session(GRand *g, struct stream_session *s, bool has_silence)
{
	static const enum stream_route routes[] = { ROUTE_RESUME, ROUTE_RESUME,
		ROUTE_RESUME, ROUTE_RESUME, ROUTE_ONCE, ROUTE_PLAIN };
	bool big = one_in(g, 25);

	s->route = routes[g_rand_int_range(g, 0, G_N_ELEMENTS(routes))];
	s->max_attempts =
	    (uint32_t)g_rand_int_range(g, 2, STREAM_MAX_ATTEMPTS + 1);
	s->n_pieces = up_to(g, one_in(g, 6) ? MAX_PIECES : 6);
	if (big) {
		s->n_pieces = up_to(g, 6);
		s->filler_bytes = up_to(g, MAX_FILLER_BYTES);
	}
	if (s->route == ROUTE_RESUME && one_in(g, 5))
		s->last_piece = up_to(g, s->n_pieces);
	s->http10 = one_in(g, 5);
	s->keeps_conn = !s->http10 && !one_in(g, 3);
	if (one_in(g, 6))
		s->read_bytes = big ? up_to(g, 8000) : up_to(g, 200);
	if (one_in(g, 15))
		s->close_after_bytes = up_to(g, 500);
	s->seed = g_rand_int(g);
	s->deadline_ms = SESSION_DEADLINE_MS;
	for (uint32_t i = 0; i < STREAM_MAX_ATTEMPTS; i++)
		draw_run(g, s, &s->scripts[i]);
	/* The last endpoint refuses what others may have executed. */
	if (one_in(g, 4))
		draw_refusal(g, &s->scripts[STREAM_MAX_ATTEMPTS - 1]);
	if (has_silence)
		draw_silence(g, s);
}

/* A session without faults, which shows the gateway that ids start at 1. */
static void
draw_fault_free(GRand *g, struct stream_session *s)
{
	draw_session(g, s, false);
	s->route = one_in(g, 2) ? ROUTE_RESUME : ROUTE_ONCE;
	s->last_piece = 0;
	s->close_after_bytes = 0;
	memset(&s->scripts[0], 0, sizeof(s->scripts[0]));
	draw_transport(g, &s->scripts[0], s->filler_bytes > 0);
	s->scripts[0].status = 200;
	s->scripts[0].stamped = true;
	s->scripts[0].noisy = s->scripts[0].leading_comment = false;
	s->scripts[0].end = END_COMPLETE;
}

void
stream_draw(struct stream_lane *l, GRand *g)
{
	uint32_t silent =
	    (uint32_t)g_rand_int_range(g, 0, 2 * STREAM_MAX_SESSIONS);

	/* With few nodes one is reached again, over a kept connection. */
	l->n_nodes =
	    one_in(g, 2) ? STREAM_MAX_NODES : up_to(g, STREAM_MAX_NODES);
	if (l->n_sessions > 1)
		draw_fault_free(g, &l->sessions[0]);
	for (uint32_t i = l->n_sessions > 1 ? 1 : 0; i < l->n_sessions; i++)
		draw_session(g, &l->sessions[i], i == silent);
}

/* description */

static void
describe_run(GString *g, const struct run_script *run)
{
	static const char *const kinds[] = { [RUN_EVENTS] = "events",
		[RUN_REFUSES] = "refuses",
		[RUN_STATUS] = "status",
		[RUN_PLAIN_BODY] = "plain-body" };
	static const char *const framings[] = { [BY_CHUNKS] = "chunks",
		[BY_LENGTH] = "length",
		[BY_CLOSE] = "close" };
	static const char *const lines[] = {
		[LINES_LF] = "lf", [LINES_CRLF] = "crlf", [LINES_CR] = "cr"
	};
	static const char *const ends[] = { [END_COMPLETE] = "complete",
		[END_CLOSE] = "closes",
		[END_RESET] = "resets",
		[END_SILENT] = "silent",
		[END_AFTER_PAUSE] = "pauses" };

	g_string_append_printf(g, "%s %u by-%s %s", kinds[run->kind],
	    run->status, framings[run->framing], lines[run->lines]);
	g_string_append_printf(g, "%s%s%s%s%s%s split=%d extra=%d",
	    run->stamped ? "" : " unstamped", run->restarts ? " restarts" : "",
	    run->truncates_event ? " truncated-event" : "",
	    run->noisy ? " noisy" : "", run->interim ? " interim" : "",
	    run->leading_comment ? " leading-comment" : "", run->split,
	    run->extra);
	if (run->skip_piece > 0)
		g_string_append_printf(g, " skip=%u", run->skip_piece);
	if (run->dup_piece > 0)
		g_string_append_printf(g, " dup=%u", run->dup_piece);
	g_string_append_printf(g, " %s", ends[run->end]);
	if (run->end != END_COMPLETE)
		g_string_append_printf(g, " cut=%u", run->cut_at);
}

char *
stream_describe(const struct stream_session *s)
{
	static const char *const routes[] = { [ROUTE_RESUME] = "resume",
		[ROUTE_ONCE] = "once",
		[ROUTE_PLAIN] = "plain" };
	GString *g = g_string_new(NULL);

	g_string_printf(g,
	    "seed %u session %u: %s attempts=%u pieces=%u after=%u%s%s "
	    "reads=%u close_after=%u filler=%u deadline_ms=%u\n",
	    s->lane->seed, s->index, routes[s->route], s->max_attempts,
	    s->n_pieces, s->last_piece, s->http10 ? " http/1.0" : "",
	    s->keeps_conn ? " keep-alive" : "", s->read_bytes,
	    s->close_after_bytes, s->filler_bytes, s->deadline_ms);
	for (uint32_t i = 0; i < MIN(s->n_attempts, STREAM_MAX_ATTEMPTS); i++) {
		g_string_append_printf(g, "  run %u, %s: ", i,
		    s->attempts[i].valid ? "valid" : "faulty");
		describe_run(g, &s->scripts[i]);
		g_string_append_c(g, '\n');
	}
	return g_string_free(g, FALSE);
}
