/**
 * DOC: Connections that all do the same to a process, and single requests.
 */

#include "crowdrig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A crowd has stopped when nothing was sent or read for so long. */
#define STILL_MS 500
#define PLAY_MS 30000 /* a crowd that never stops is ended */
#define ASK_MS 10000
#define KEPT_BYTES 512 /* of an answer */

static int
dial(const char *ip, uint16_t port, int rcvbuf)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = inet_addr(ip) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (rcvbuf > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

void
crowd_open(struct crowd *c, const char *ip, uint16_t port, uint32_t n,
    const char *head)
{
	char **parts = g_strsplit(head, "%u", 2);

	c->n = n;
	c->members = g_new0(struct crowd_member, n);
	for (uint32_t i = 0; i < n; i++) {
		struct crowd_member *m = &c->members[i];

		m->fd = dial(ip, port, c->rcvbuf);
		m->answer = g_string_new(NULL);
		m->text = g_string_new(parts[0]);
		if (parts[0] != NULL && parts[1] != NULL)
			g_string_append_printf(m->text, "%u%s", i, parts[1]);
	}
	g_strfreev(parts);
}

/* The next bytes to send; 0: all is sent. */
static size_t
next_bytes(const struct crowd *c, const struct crowd_member *m, const char **at)
{
	size_t off = m->sent;

	if (off < m->text->len) {
		*at = m->text->str + off;
		return m->text->len - off;
	}
	off -= m->text->len;
	if (off < c->send_max) {
		*at = c->unit + off % c->unit_len;
		return MIN(c->unit_len - off % c->unit_len, c->send_max - off);
	}
	off -= c->send_max;
	if (c->tail == NULL || off >= strlen(c->tail))
		return 0;
	*at = c->tail + off;
	return strlen(c->tail) - off;
}

static void
close_member(struct crowd_member *m)
{
	if (m->fd >= 0)
		close(m->fd);
	m->fd = -1;
}

static bool
send_some(const struct crowd *c, struct crowd_member *m)
{
	const char *at = NULL;
	size_t len = next_bytes(c, m, &at);
	ssize_t n;

	errno = EAGAIN;
	if (len == 0)
		return false;
	n = send(m->fd, at, len, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n > 0)
		m->sent += (size_t)n;
	return n > 0;
}

static bool
read_some(const struct crowd *c, struct crowd_member *m)
{
	char buf[65536];
	ssize_t n = recv(m->fd, buf, sizeof(buf), MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		close_member(m);
	if (n <= 0)
		return false;
	m->got += (size_t)n;
	if (m->answer->len < KEPT_BYTES)
		g_string_append_len(
		    m->answer, buf, MIN(n, (ssize_t)KEPT_BYTES));
	(void)c;
	return true;
}

/* Returns whether any member has sent or read something. */
static bool
play_once(struct crowd *c, struct pollfd *p)
{
	bool moved = false;

	for (uint32_t i = 0; i < c->n; i++) {
		struct crowd_member *m = &c->members[i];
		const char *at;

		p[i].fd = m->fd;
		p[i].events = c->reads ? POLLIN : 0;
		if (m->fd >= 0 && next_bytes(c, m, &at) > 0)
			p[i].events |= POLLOUT;
	}
	if (poll(p, c->n, STILL_MS) <= 0)
		return false;
	for (uint32_t i = 0; i < c->n; i++) {
		struct crowd_member *m = &c->members[i];

		if (p[i].fd < 0 || p[i].revents == 0)
			continue;
		if ((p[i].revents & POLLOUT) && send_some(c, m))
			moved = true;
		if ((p[i].revents & POLLIN) && c->reads && read_some(c, m))
			moved = true;
		if (m->fd >= 0 && (p[i].revents & (POLLERR | POLLHUP)) &&
		    !(p[i].revents & POLLIN))
			close_member(m);
	}
	return moved;
}

void
crowd_play(struct crowd *c)
{
	struct pollfd *p = g_new0(struct pollfd, c->n);
	int64_t until = g_get_monotonic_time() + PLAY_MS * MH_US_PER_MS;
	int64_t moved_us = g_get_monotonic_time();

	while (g_get_monotonic_time() < until &&
	    g_get_monotonic_time() - moved_us < STILL_MS * MH_US_PER_MS) {
		if (play_once(c, p))
			moved_us = g_get_monotonic_time();
		else
			g_usleep(1000);
	}
	g_free(p);
}

void
crowd_send(struct crowd *c)
{
	for (uint32_t i = 0; i < c->n; i++) {
		struct crowd_member *m = &c->members[i];

		if (m->fd >= 0 && !send_some(c, m) && errno != EAGAIN)
			close_member(m);
	}
}

uint32_t
crowd_count(const struct crowd *c, const char *text)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n; i++)
		n += g_str_has_prefix(c->members[i].answer->str, text);
	return n;
}

void
crowd_close(struct crowd *c)
{
	for (uint32_t i = 0; i < c->n; i++) {
		close_member(&c->members[i]);
		g_string_free(c->members[i].text, TRUE);
		g_string_free(c->members[i].answer, TRUE);
	}
	g_free(c->members);
	c->members = NULL;
	c->n = 0;
}

/* Sends all before it reads, as simple clients do. */
char *
crowd_ask(const char *ip, uint16_t port, const char *head, const char *body,
    size_t body_len)
{
	struct timeval limit = { ASK_MS / 1000, 0 };
	GString *answer = g_string_new(NULL);
	int fd = dial(ip, port, 0);
	char buf[16384];
	ssize_t n = 1;

	if (fd < 0)
		return g_string_free(answer, FALSE);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (send(fd, head, strlen(head), MSG_NOSIGNAL) < 0)
		n = 0;
	for (size_t off = 0; n > 0 && off < body_len; off += (size_t)n)
		n = send(fd, body + off, body_len - off, MSG_NOSIGNAL);
	/* An answer may have come before a part of the body was taken. */
	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(answer, buf, n);
	close(fd);
	return g_string_free(answer, FALSE);
}
