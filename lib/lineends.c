/**
 * DOC: Line ends of a message.
 *
 * http_parser skips the byte behind a carriage return, and both bytes behind
 * a chunk, without a look at them.  A chunk that is longer than its size would
 * pass with its first bytes alone.
 */

#include "opaque.h"

void
mh_line_ends_feed(struct mh_line_ends *l, const char *data)
{
	l->next = data;
}

bool
mh_line_ends_upto(struct mh_line_ends *l, const char *at)
{
	for (; l->next < at; l->next++) {
		if (l->after_chunk && *l->next != '\r')
			return false;
		if (l->after_cr && *l->next != '\n')
			return false;
		l->after_chunk = false;
		l->after_cr = *l->next == '\r';
	}
	return true;
}

void
mh_line_ends_body(struct mh_line_ends *l, const char *end, bool chunked)
{
	l->next = end;
	l->after_chunk = chunked;
}
