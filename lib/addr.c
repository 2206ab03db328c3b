/**
 * DOC: Addresses are IP:PORT with an IP number; names are never resolved.
 */

#include "marlhoist.h"

#include <arpa/inet.h>
#include <string.h>

bool
mh_addr_parse(const char *addr, char host[MH_HOST_LEN], uint16_t *port)
{
	char **p = g_strsplit(addr, ":", 2);
	struct in_addr in;
	guint64 n = 0;
	bool ok;

	ok = p[0] != NULL && p[1] != NULL &&
	    inet_pton(AF_INET, p[0], &in) == 1 &&
	    g_ascii_string_to_unsigned(p[1], 10, 0, UINT16_MAX, &n, NULL);
	if (ok) {
		g_strlcpy(host, p[0], MH_HOST_LEN);
		*port = (uint16_t)n;
	}
	g_strfreev(p);
	return ok;
}
