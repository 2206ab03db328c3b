/**
 * DOC: Line ends of a message.
 *
 * http_parser skips the byte behind a carriage return, and both bytes behind
 * a chunk, without a look at them.  A chunk that is longer than its size would
 * pass with its first bytes alone.  It joins a value to the rest of it in the
 * next line, by which readers differ.  So they do by a line feed alone, which
 * it passes in a chunk's extension.
 */

#include "opaque.h"

void
mh_line_ends_feed(struct mh_line_ends *l, const char *data)
{
	l->next = data;
}

static bool
take_byte(struct mh_line_ends *l, char byte)
{
	if (l->after_chunk && byte != '\r')
		return false;
	if (l->after_cr && byte != '\n')
		return false;
	if (l->after_lf && (byte == ' ' || byte == '\t'))
		return false;
	l->bare = l->bare || (byte == '\n' && !l->after_cr);
	l->after_chunk = false;
	l->after_cr = byte == '\r';
	l->after_lf = byte == '\n';
	return true;
}

bool
mh_line_ends_upto(struct mh_line_ends *l, const char *at, bool chunked)
{
	while (l->next < at) {
		if (!take_byte(l, *l->next++))
			return false;
	}
	return !chunked || !l->bare;
}

void
mh_line_ends_body(struct mh_line_ends *l, const char *end, bool chunked)
{
	l->next = end;
	l->after_chunk = chunked;
	l->after_lf = false;
}
