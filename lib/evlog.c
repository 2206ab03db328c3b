/**
 * DOC: Structured log: one line of key=value pairs for each decision.
 *
 * Lines are buffered and written a few times a second without blocking.  Their
 * rate is limited.  Dropped lines are counted and reported in a "log-gap" line,
 * so that a gap never looks as if nothing had happened.
 */

#include "gate.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <string.h>
#include <unistd.h>

/*
 * An entry that does the stage work of 150 requests/s writes 700 lines/s.  At
 * 120 bytes a line the limit is 108 KB/s.
 */
#define LINES_PER_S 900
#define BURST_LINES 3000
#define FLUSH_US (200 * MH_US_PER_MS)
#define MAX_BUFFERED_BYTES (256U << 10)

struct mh_evlog {
	struct mh_kern *k;
	int fd;
	GString *out;
	double line_credit;
	int64_t filled_us;
	uint64_t dropped_lines;
	struct mh_timer *timer;
};

/* Length of the whole lines in the first @max bytes; a longer line is split. */
static size_t
whole_lines(const GString *out, size_t max)
{
	size_t n = MIN(out->len, max);

	while (n > 0 && out->str[n - 1] != '\n')
		n--;
	return n > 0 ? n : MIN(out->len, max);
}

/*
 * Writes of at most PIPE_BUF bytes to a pipe are atomic, so a line is never
 * written in part when the reader stalls.
 */
static void
flush(struct mh_evlog *e)
{
	size_t done = 0;

	while (done < e->out->len) {
		GString rest = { e->out->str + done, e->out->len - done, 0 };
		size_t len = whole_lines(&rest, PIPE_BUF);
		ssize_t n = write(e->fd, rest.str, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break; /* never block on a stalled reader */
		done += (size_t)n;
	}
	g_string_erase(e->out, 0, (gssize)done);
}

static void
on_flush(void *arg)
{
	struct mh_evlog *e = arg;

	flush(e);
	if (e->out->len > 0)
		mh_timer_set(e->k, &e->timer, FLUSH_US, on_flush, e);
}

static bool
allowed(struct mh_evlog *e)
{
	int64_t now = mh_now(e->k);

	e->line_credit +=
	    (double)(now - e->filled_us) * LINES_PER_S / (double)MH_US_PER_S;
	e->line_credit = MIN(e->line_credit, BURST_LINES);
	e->filled_us = now;
	if (e->line_credit < 1 || e->out->len > MAX_BUFFERED_BYTES) {
		e->dropped_lines++;
		mh_count(e->k, "log_lines_left_out", 1);
		return false;
	}
	e->line_credit -= 1;
	return true;
}

static void
stamp(struct mh_evlog *e, const char *kind)
{
	g_string_append_printf(e->out, "t=%.3f ev=%s",
	    (double)mh_wall(e->k) / (double)MH_US_PER_S, kind);
}

void
mh_event(struct mh_kern *k, const char *kind, const char *fmt, ...)
{
	struct mh_evlog *e = mh_kern_get(k, "evlog");
	va_list ap;

	if (e == NULL || !allowed(e))
		return;
	if (e->dropped_lines > 0) {
		stamp(e, "log-gap");
		g_string_append_printf(
		    e->out, " lines=%" PRIu64 "\n", e->dropped_lines);
		e->dropped_lines = 0;
	}
	stamp(e, kind);
	g_string_append_c(e->out, ' ');
	va_start(ap, fmt);
	g_string_append_vprintf(e->out, fmt, ap);
	va_end(ap);
	g_string_append_c(e->out, '\n');
	if (e->timer == NULL)
		mh_timer_set(k, &e->timer, FLUSH_US, on_flush, e);
}

static void
destroy(void *self)
{
	struct mh_evlog *e = self;

	mh_timer_stop(e->k, &e->timer);
	flush(e);
	g_string_free(e->out, TRUE);
	g_free(e);
}

void
mh_evlog_create(struct mh_kern *k, int fd)
{
	struct mh_evlog *e = g_new0(struct mh_evlog, 1);
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	e->k = k;
	e->fd = fd;
	e->out = g_string_new(NULL);
	e->line_credit = BURST_LINES;
	e->filled_us = mh_now(k);
	mh_kern_add(k, "evlog", e, NULL, destroy);
}
