/**
 * DOC: Sockets on loopback for tests that speak raw bytes.
 */

#include "tcp.h"
#include "regress.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>

#define BACKLOG 8

int
tcp_listen(char addr[32])
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	CU_ASSERT_EQUAL(listen(fd, BACKLOG), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	snprintf(addr, 32, "127.0.0.1:%u", ntohs(sin.sin_port));
	return fd;
}

int
tcp_dial(uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}
