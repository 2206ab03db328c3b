/**
 * DOC: Checks the line ends of an HTTP message.
 *
 * http_parser skips the byte after a CR, and both bytes after a chunk, without
 * a check, so it would accept a chunk longer than its size and truncate it.
 * It also joins the lines of a folded field value, and accepts a bare LF in a
 * chunk extension.  Parsers differ in both, which permits request smuggling.
 */

#include "opaque.h"

void
mh_line_ends_feed(struct mh_line_ends *l, const char *data)
{
	l->next = data;
}

static bool
check_byte(struct mh_line_ends *l, char byte)
{
	if (l->after_chunk && byte != '\r')
		return false;
	if (l->after_cr && byte != '\n')
		return false;
	if (l->after_lf && (byte == ' ' || byte == '\t'))
		return false;
	l->bare_lf = l->bare_lf || (byte == '\n' && !l->after_cr);
	l->after_chunk = false;
	l->after_cr = byte == '\r';
	l->after_lf = byte == '\n';
	return true;
}

bool
mh_line_ends_check(struct mh_line_ends *l, const char *at, bool chunked)
{
	while (l->next < at) {
		if (!check_byte(l, *l->next++))
			return false;
	}
	return !chunked || !l->bare_lf;
}

void
mh_line_ends_body(struct mh_line_ends *l, const char *end, bool chunked)
{
	l->next = end;
	l->after_chunk = chunked;
	l->after_lf = false;
}
