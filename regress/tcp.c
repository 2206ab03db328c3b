/**
 * DOC: Loopback sockets for tests that exchange raw bytes.
 */

#include "tcp.h"
#include "regress.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>

#define BACKLOG 64

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

struct timeout {
	struct mh_loop *l;
	struct mh_timer *timer;
	bool expired;
};

static void
on_timeout(void *arg)
{
	struct timeout *m = arg;

	m->expired = true;
	mh_loop_stop(m->l);
}

bool
run_with_timeout(struct mh_kern *k, struct mh_loop *l, int64_t timeout_us)
{
	struct timeout m = { .l = l };

	mh_timer_set(k, &m.timer, timeout_us, on_timeout, &m);
	mh_loop_run(l);
	mh_timer_stop(k, &m.timer);
	return !m.expired;
}
