/**
 * DOC: Endpoints that answer each request with bytes without end, on a thread.
 */

#include "endlesspeer.h"

#include "regress.h"
#include "tcp.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNS_MAX 512
#define POLL_MS 20
#define UNIT_BYTES 16384

#define HEAD "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n"
#define JSON_HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

/** struct form - what is sent once and what is sent on and on. */
struct form {
	const char *first;
	const char *unit; /* NULL: UNIT_BYTES times "x" */
};

static const struct form forms[ENDLESS_FORMS] = {
	[ENDLESS_NO_HTTP] = { "", NULL },
	[ENDLESS_STATUS] = { "HTTP/1.1 200 ", NULL },
	[ENDLESS_FIELD] = { HEAD "A: ", NULL },
	[ENDLESS_FIELDS] = { HEAD, "A: b\r\n" },
	[ENDLESS_INTERIM] = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
	[ENDLESS_BODY] = { HEAD "\r\n", NULL },
	[ENDLESS_CHUNKS] = { HEAD "Transfer-Encoding: chunked\r\n\r\n",
	    "4\r\nxxxx\r\n" },
	[ENDLESS_CHUNK_SIZE] = { HEAD "Transfer-Encoding: chunked\r\n\r\n4;",
	    NULL },
	[ENDLESS_LENGTH] = { HEAD "Content-Length: 1000000000000\r\n\r\n",
	    NULL },
	[ENDLESS_SECOND] = { HEAD "Content-Length: 2\r\n\r\nok" HEAD "A: ",
	    NULL },
	[ENDLESS_EVENT] = { HEAD
	    "Content-Type: text/event-stream\r\n\r\ndata: ",
	    NULL },
	[ENDLESS_EVENTS] = { HEAD "Content-Type: text/event-stream\r\n\r\n",
	    "id: 1\ndata: x\n\n" },
	[ENDLESS_JSON] = { JSON_HEAD "\r\n{\"items\":[{\"handle\":\"", NULL },
	[ENDLESS_JSON_ITEMS] = { JSON_HEAD "\r\n{\"items\":[{\"handle\":\"a\"}",
	    ",{\"handle\":\"b\"}" },
};

struct conn {
	int fd;
	size_t sent; /* of the first part */
	bool asked; /* a request has come */
};

struct endless_peer {
	enum endless_form form;
	char addr[32];
	int listen_fd;
	struct conn conns[CONNS_MAX];
	uint32_t n;
	char *unit;
	GThread *thread;
	gint stop;
	gint sent_kb;
};

static void
accept_all(struct endless_peer *p)
{
	int fd;

	while (
	    p->n < CONNS_MAX && (fd = accept(p->listen_fd, NULL, NULL)) >= 0) {
		(void)fcntl(fd, F_SETFL, O_NONBLOCK);
		p->conns[p->n++] = (struct conn) { .fd = fd };
	}
}

/* Returns false if the connection has ended. */
static bool
feed(struct endless_peer *p, struct conn *c)
{
	const char *first = forms[p->form].first;
	ssize_t n = 1;

	while (c->sent < strlen(first) && n > 0) {
		n = send(c->fd, first + c->sent, strlen(first) - c->sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		c->sent += n > 0 ? (size_t)n : 0;
	}
	/* One unit cut short would end some forms: they are sent whole. */
	if (n > 0)
		n = send(c->fd, p->unit, strlen(p->unit),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n > 0)
		g_atomic_int_add(&p->sent_kb, (gint)(n >> 10));
	return n > 0 || errno == EAGAIN || errno == EINTR;
}

static bool
serve(struct endless_peer *p, struct conn *c, short events)
{
	char buf[4096];

	if (events & POLLIN) {
		ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (n == 0 || (n < 0 && errno != EAGAIN))
			return false;
		c->asked = c->asked || n > 0;
	}
	if (events & (POLLERR | POLLHUP))
		return false;
	return !c->asked || !(events & POLLOUT) || feed(p, c);
}

static void *
run(void *arg)
{
	struct endless_peer *p = arg;
	struct pollfd fds[CONNS_MAX + 1];

	while (g_atomic_int_get(&p->stop) == 0) {
		uint32_t kept = 0, n = p->n;

		fds[n] = (struct pollfd) { p->listen_fd, POLLIN, 0 };
		for (uint32_t i = 0; i < n; i++)
			fds[i] = (struct pollfd) { p->conns[i].fd,
				(short)(POLLIN |
				    (p->conns[i].asked ? POLLOUT : 0)),
				0 };
		if (poll(fds, n + 1, POLL_MS) <= 0)
			continue;
		for (uint32_t i = 0; i < n; i++) {
			if (serve(p, &p->conns[i], fds[i].revents))
				p->conns[kept++] = p->conns[i];
			else
				close(p->conns[i].fd);
		}
		p->n = kept;
		accept_all(p);
	}
	return NULL;
}

struct endless_peer *
endless_peer_start(enum endless_form form)
{
	struct endless_peer *p = g_new0(struct endless_peer, 1);
	const char *unit = forms[form].unit;
	GString *s = g_string_new(NULL);

	p->form = form;
	while (s->len < UNIT_BYTES)
		g_string_append(s, unit == NULL ? "x" : unit);
	p->unit = g_string_free(s, FALSE);
	p->listen_fd = tcp_listen(p->addr);
	(void)fcntl(p->listen_fd, F_SETFL, O_NONBLOCK);
	p->thread = g_thread_new("endless", run, p);
	return p;
}

const char *
endless_peer_address(const struct endless_peer *p)
{
	return p->addr;
}

uint32_t
endless_peer_sent_mb(const struct endless_peer *p)
{
	return (uint32_t)g_atomic_int_get(&p->sent_kb) >> 10;
}

void
endless_peer_stop(struct endless_peer *p)
{
	g_atomic_int_set(&p->stop, 1);
	g_thread_join(p->thread);
	for (uint32_t i = 0; i < p->n; i++)
		close(p->conns[i].fd);
	close(p->listen_fd);
	g_free(p->unit);
	g_free(p);
}
