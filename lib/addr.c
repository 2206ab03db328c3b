/**
 * DOC: Addresses are IPv4:PORT; host names are not resolved.
 */

#include "gate.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that can wait for accept() while the process is busy. */
#define BACKLOG 1024

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

int
mh_listen(const char *addr, uint16_t *port, GError **err)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	char host[MH_HOST_LEN];
	int on = 1, fd = -1;

	if (!mh_addr_parse(addr, host, port) ||
	    inet_pton(AF_INET, host, &sin.sin_addr) != 1)
		goto bad;
	sin.sin_port = htons(*port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto bad;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    listen(fd, BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) < 0)
		goto bad;
	*port = ntohs(sin.sin_port);
	return fd;
bad:
	g_set_error(err, MH_ERROR, MH_ERR_IO,
	    "cannot listen on %s: %s; give a free IP:PORT of this VM", addr,
	    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
