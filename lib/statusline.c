/**
 * DOC: Checks the status code of HTTP responses.
 *
 * http_parser accepts codes with leading zeros and up to 999.
 */

#include "opaque.h"

#include <glib.h>

#define DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599

static void
end_line(struct mh_status_line *s)
{
	bool is_blank = s->line_bytes == 0;

	s->line_bytes = 0;
	if (!is_blank || s->at != MH_STATUS_FIELDS)
		return;
	/* Another head follows an interim response. */
	s->at = s->status < 200 ? MH_STATUS_VERSION : MH_STATUS_DONE;
}

static bool
feed(struct mh_status_line *s, char byte)
{
	switch (s->at) {
	case MH_STATUS_VERSION:
		if (byte == ' ')
			s->at = MH_STATUS_CODE;
		s->digits = 0;
		s->status = 0;
		return true;
	case MH_STATUS_CODE:
		if (byte == ' ' && s->digits == 0)
			return true;
		if (g_ascii_isdigit(byte)) {
			s->status = s->status * 10 + (uint32_t)(byte - '0');
			return ++s->digits <= DIGITS;
		}
		s->at = MH_STATUS_FIELDS;
		s->line_bytes = 1;
		if (byte == '\n')
			end_line(s);
		return s->digits == DIGITS && s->status >= STATUS_MIN &&
		    s->status <= STATUS_MAX;
	case MH_STATUS_FIELDS:
		if (byte == '\n')
			end_line(s);
		else
			s->line_bytes += byte != '\r';
		return true;
	case MH_STATUS_DONE:
		return true;
	}
	return true;
}

bool
mh_status_line_feed(struct mh_status_line *s, const char *data, size_t len)
{
	for (size_t i = 0; i < len && s->at != MH_STATUS_DONE; i++) {
		if (!feed(s, data[i]))
			return false;
	}
	return true;
}
