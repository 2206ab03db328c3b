/**
 * DOC: Scripts of streams by a seed, and in words.
 */

#include "streamrig.h"

#include <string.h>

#define DEADLINE_MS 25000
/* A silence is over after this, whatever the run had sent. */
#define SILENCE_MS 1700
#define LAST_MS 1000
#define MANY_PIECES 30
#define BIG 20000

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
draw_wire(GRand *g, struct srun *run, bool big)
{
	static const enum srun_end ends[] = { END_CLOSE, END_RESET };

	run->framing = one_in(g, 2) ? BY_CHUNKS : up_to(g, 3) - 1;
	run->lines = up_to(g, 3) - 1;
	run->noisy = one_in(g, 2);
	run->closes = one_in(g, 6);
	run->interim = one_in(g, 20);
	run->hello = one_in(g, 10);
	run->seed = g_rand_int(g);
	run->cut = g_rand_int(g);
	run->split = big ? SPLIT_NOT : up_to(g, 4) - 1;
	if (big && one_in(g, 2))
		run->split = SPLIT_SOME;
	run->end = ends[g_rand_int_range(g, 0, 2)];
}

static void
draw_refusal(GRand *g, struct srun *run)
{
	static const uint32_t all[] = { 503, 503, 429, 421 };

	run->kind = RUN_REFUSES;
	run->status = all[g_rand_int_range(g, 0, G_N_ELEMENTS(all))];
	run->stamped = one_in(g, 2);
}

static void
draw_status(GRand *g, struct srun *run)
{
	static const uint32_t all[] = { 404, 404, 500, 500, 502, 204, 304,
		400 };

	run->kind = RUN_STATUS;
	run->status = all[g_rand_int_range(g, 0, G_N_ELEMENTS(all))];
	run->stamped = !one_in(g, 3);
}

/* A fault within a stream: of its order, or of its last event. */
static void
draw_disorder(GRand *g, const struct ssession *s, struct srun *run)
{
	switch (g_rand_int_range(g, 0, 4)) {
	case 0:
		run->anew = true;
		return;
	case 1:
		run->skips = up_to(g, s->pieces) + (s->at == 0);
		return;
	case 2:
		run->twice = up_to(g, s->pieces);
		return;
	default:
		run->half = true;
		return;
	}
}

static void
draw_run(GRand *g, struct ssession *s, struct srun *run)
{
	uint32_t x = up_to(g, 100);
	bool whole = true;

	draw_wire(g, run, s->filler > 0);
	run->kind = s->route == ROUTE_PLAIN ? RUN_BYTES : RUN_EVENTS;
	run->status = 200;
	run->stamped = true;
	if (x <= 45)
		whole = false;
	else if (x <= 55)
		draw_refusal(g, run);
	else if (x <= 62)
		draw_status(g, run);
	else if (x <= 65)
		run->kind = RUN_BYTES;
	else if (x <= 68)
		run->stamped = false;
	else if (x <= 80 && s->route != ROUTE_PLAIN)
		draw_disorder(g, s, run);
	else if (x <= 85)
		run->kind = RUN_EVENTS;
	if (whole && !one_in(g, 8))
		run->end = END_WHOLE;
	/* Behind an answer without a frame they would be of its body. */
	if (run->end == END_WHOLE && run->framing != BY_CLOSE && one_in(g, 8))
		run->extra = one_in(g, 2) ? EXTRA_AT_ONCE : EXTRA_LATER;
}

/* Falls silent, and whoever follows must not seem to: few, large splits. */
static void
draw_silence(GRand *g, struct ssession *s)
{
	uint32_t n = up_to(g, 2);

	s->hangs = true;
	for (uint32_t i = 0; i < n; i++) {
		struct srun *run = &s->runs[g_rand_int_range(g, 0, 2)];

		run->end = one_in(g, 3) ? END_LATE : END_SILENT;
	}
	s->deadline_ms = n * SILENCE_MS + LAST_MS;
	for (uint32_t i = 0; i < STREAM_TRIES; i++) {
		if (s->runs[i].split == SPLIT_BYTES)
			s->runs[i].split = SPLIT_WINDOW;
	}
}

static void
draw_session(GRand *g, struct ssession *s, bool hangs)
{
	static const enum sroute routes[] = { ROUTE_RESUMED, ROUTE_RESUMED,
		ROUTE_RESUMED, ROUTE_RESUMED, ROUTE_ONCE, ROUTE_PLAIN };
	bool big = one_in(g, 25);

	s->route = routes[g_rand_int_range(g, 0, G_N_ELEMENTS(routes))];
	s->attempts = (uint32_t)g_rand_int_range(g, 2, STREAM_TRIES + 1);
	s->pieces = up_to(g, one_in(g, 6) ? MANY_PIECES : 6);
	if (big) {
		s->pieces = up_to(g, 6);
		s->filler = up_to(g, BIG);
	}
	if (s->route == ROUTE_RESUMED && one_in(g, 5))
		s->after = up_to(g, s->pieces);
	s->http10 = one_in(g, 5);
	s->keeps = !s->http10 && !one_in(g, 3);
	if (one_in(g, 6))
		s->reads = big ? up_to(g, 8000) : up_to(g, 200);
	if (one_in(g, 15))
		s->leaves = up_to(g, 500);
	s->seed = g_rand_int(g);
	s->deadline_ms = DEADLINE_MS;
	for (uint32_t i = 0; i < STREAM_TRIES; i++)
		draw_run(g, s, &s->runs[i]);
	/* The last endpoint refuses what others have run. */
	if (one_in(g, 4))
		draw_refusal(g, &s->runs[STREAM_TRIES - 1]);
	if (hangs)
		draw_silence(g, s);
}

/* Undisturbed; it shows entries that the streams of its pool count from 1. */
static void
draw_calm(GRand *g, struct ssession *s)
{
	draw_session(g, s, false);
	s->route = one_in(g, 2) ? ROUTE_RESUMED : ROUTE_ONCE;
	s->after = 0;
	s->leaves = 0;
	memset(&s->runs[0], 0, sizeof(s->runs[0]));
	draw_wire(g, &s->runs[0], s->filler > 0);
	s->runs[0].status = 200;
	s->runs[0].stamped = true;
	s->runs[0].noisy = s->runs[0].hello = false;
	s->runs[0].end = END_WHOLE;
}

void
stream_draw(struct slane *l, GRand *g)
{
	uint32_t hangs = (uint32_t)g_rand_int_range(g, 0, 2 * STREAM_SESSIONS);

	/* Of few nodes the same is reached again, over a kept connection. */
	l->nodes = one_in(g, 2) ? STREAM_NODES : up_to(g, STREAM_NODES);
	if (l->n > 1)
		draw_calm(g, &l->all[0]);
	for (uint32_t i = l->n > 1 ? 1 : 0; i < l->n; i++)
		draw_session(g, &l->all[i], i == hangs);
}

/* in words */

static void
say_run(GString *g, const struct srun *run)
{
	static const char *const kinds[] = { [RUN_EVENTS] = "events",
		[RUN_REFUSES] = "refuses",
		[RUN_STATUS] = "status",
		[RUN_BYTES] = "bytes" };
	static const char *const framings[] = { [BY_CHUNKS] = "chunks",
		[BY_LENGTH] = "length",
		[BY_CLOSE] = "close" };
	static const char *const lines[] = {
		[LINES_LF] = "lf", [LINES_CRLF] = "crlf", [LINES_CR] = "cr"
	};
	static const char *const ends[] = { [END_WHOLE] = "whole",
		[END_CLOSE] = "closes",
		[END_RESET] = "resets",
		[END_SILENT] = "silent",
		[END_LATE] = "late" };

	g_string_append_printf(g, "%s %u by-%s %s", kinds[run->kind],
	    run->status, framings[run->framing], lines[run->lines]);
	g_string_append_printf(g, "%s%s%s%s%s%s split=%d extra=%d",
	    run->stamped ? "" : " unstamped", run->anew ? " anew" : "",
	    run->half ? " half" : "", run->noisy ? " noisy" : "",
	    run->interim ? " interim" : "", run->hello ? " hello" : "",
	    run->split, run->extra);
	if (run->skips > 0)
		g_string_append_printf(g, " skips=%u", run->skips);
	if (run->twice > 0)
		g_string_append_printf(g, " twice=%u", run->twice);
	g_string_append_printf(g, " %s", ends[run->end]);
	if (run->end != END_WHOLE)
		g_string_append_printf(g, " cut=%u", run->cut);
}

char *
stream_script(const struct ssession *s)
{
	static const char *const routes[] = { [ROUTE_RESUMED] = "resumed",
		[ROUTE_ONCE] = "once",
		[ROUTE_PLAIN] = "plain" };
	GString *g = g_string_new(NULL);

	g_string_printf(g,
	    "seed %u session %u: %s attempts=%u pieces=%u after=%u%s%s "
	    "reads=%u leaves=%u filler=%u deadline_ms=%u\n",
	    s->lane->seed, s->at, routes[s->route], s->attempts, s->pieces,
	    s->after, s->http10 ? " http/1.0" : "", s->keeps ? " keeps" : "",
	    s->reads, s->leaves, s->filler, s->deadline_ms);
	for (uint32_t i = 0; i < MIN(s->n_tries, STREAM_TRIES); i++) {
		g_string_append_printf(g, "  run %u, %s: ", i,
		    s->tries[i].sound ? "sound" : "faulty");
		say_run(g, &s->runs[i]);
		g_string_append_c(g, '\n');
	}
	return g_string_free(g, FALSE);
}
