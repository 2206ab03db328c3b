/**
 * DOC: Retry-After, the time for which an endpoint wants nothing.
 */

#include "marlhoist.h"

#include <curl/curl.h>
#include <math.h>
#include <string.h>

/* A longer rest is read as this. */
#define REST_MAX_S 1e6

bool
mh_decimal_read(const char *text, double *out)
{
	char *end = NULL;

	text += strspn(text, " \t");
	/* No hexadecimal numbers, signs, infinity or NaN. */
	if (!g_ascii_isdigit(*text) || strpbrk(text, "xX") != NULL)
		return false;
	*out = g_ascii_strtod(text, &end);
	return end[strspn(end, " \t")] == '\0' && isfinite(*out);
}

bool
mh_rest_read(const char *text, const char *date, int64_t *us)
{
	double s;

	if (!mh_decimal_read(text, &s)) {
		time_t to = curl_getdate(text, NULL);
		time_t from = date == NULL ? -1 : curl_getdate(date, NULL);

		if (to == -1 || from == -1)
			return false;
		s = (double)(MAX(to, from) - from);
	}
	*us = (int64_t)(MIN(s, REST_MAX_S) * (double)MH_US_PER_S);
	return true;
}
