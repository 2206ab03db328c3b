/**
 * DOC: Sessions of one caller, a front with its gateway, and one endpoint that
 * follows a script, over sockets on loopback.
 */

#include "frontrig.h"

#include "tcp.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SESSION_MAX_US (5 * MH_US_PER_S)

static const char conf[] =
    "{\"version\":3,\"routes\":["
    "{\"name\":\"hold\",\"host\":\"a.example\",\"pathPrefix\":\"/hold/\","
    "\"kind\":\"safe\",\"service\":\"desk\",\"maxAttempts\":2,"
    "\"timeoutMs\":3000,\"sloMs\":2000},"
    "{\"name\":\"confirm\",\"host\":\"a.example\","
    "\"pathPrefix\":\"/confirm/\",\"kind\":\"unsafe\",\"service\":\"desk\","
    "\"maxAttempts\":1,\"timeoutMs\":3000,\"sloMs\":2000},"
    "{\"name\":\"plan\",\"host\":\"a.example\",\"pathPrefix\":\"/plan/\","
    "\"kind\":\"streaming\",\"service\":\"desk\",\"resumable\":true,"
    "\"maxAttempts\":2,\"timeoutMs\":6000,\"sloMs\":4000,\"stages\":["
    "{\"service\":\"roster\",\"after\":[],\"bytes\":10}]}],"
    "\"services\":[{\"name\":\"desk\",\"maxConnections\":36},"
    "{\"name\":\"roster\",\"pieces\":{\"capacity\":1,\"batch\":8,"
    "\"callMs\":1.0,\"itemMs\":1.0,\"headroomMb\":1.0}}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"org1\",\"apiKeys\":[\"key1\"],"
    "\"priority\":2}]}";

/*
 * Which endpoint is tried first depends on measured times, so it is logged as
 * "first".  That a second try goes to the other one is part of a session.
 */
static gboolean
name_endpoint(const GMatchInfo *m, GString *out, gpointer arg)
{
	struct frig *r = arg;
	char *id = g_match_info_fetch(m, 1);

	if (*r->first == '\0')
		g_strlcpy(r->first, id, sizeof(r->first));
	g_string_append_printf(out, "X-Expect-Instance: (%s)",
	    strcmp(id, r->first) == 0 ? "first" : "other");
	g_free(id);
	return FALSE;
}

/* Replaces ports, times and endpoint ids, which differ from run to run. */
static void
log_text(struct frig *r, const char *who, const char *text)
{
	GRegex *node = g_regex_new("X-Expect-Instance: (i-\\d)", 0, 0, NULL);
	GRegex *port = g_regex_new("127\\.0\\.0\\.1:\\d+", 0, 0, NULL);
	GRegex *retry = g_regex_new("Retry-After: \\d{3}\\.\\d+", 0, 0, NULL);
	GRegex *deadline = g_regex_new("(X-Deadline-Ms): \\d+", 0, 0, NULL);
	char *a = g_regex_replace_literal(port, text, -1, 0, "(addr)", 0, NULL);
	char *b = g_regex_replace(deadline, a, -1, 0, "\\1: (left)", 0, NULL);
	char *c =
	    g_regex_replace_eval(node, b, -1, 0, 0, name_endpoint, r, NULL);
	char *d = g_regex_replace_literal(
	    retry, c, -1, 0, "Retry-After: (minutes)", 0, NULL);
	gchar **lines = g_strsplit(d, "\r\n", -1);
	char *body = g_strjoinv("\n", lines);

	g_string_append_printf(r->log, "--- %s\n%s\n", who, body);
	g_free(body);
	g_strfreev(lines);
	g_free(d);
	g_free(c);
	g_free(b);
	g_free(a);
	g_regex_unref(retry);
	g_regex_unref(node);
	g_regex_unref(deadline);
	g_regex_unref(port);
}

static void
close_fd(struct frig *r, int *fd)
{
	if (*fd < 0)
		return;
	mh_loop_fd_close(r->loop, *fd);
	close(*fd);
	*fd = -1;
}

static bool
is_whole(const GString *in)
{
	const char *end = strstr(in->str, "\r\n\r\n");
	const char *len = strstr(in->str, "Content-Length: ");

	if (end == NULL)
		return false;
	return len == NULL || len > end ||
	    strlen(end + 4) >= strtoul(len + 16, NULL, 10);
}

static void on_endpoint(void *arg, bool readable, bool writable);

static void
write_out(struct frig *r)
{
	ssize_t n = send(r->fd, r->out->str + r->sent, r->out->len - r->sent,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	bool more;

	if (n < 0 && errno != EAGAIN) {
		close_fd(r, &r->fd);
		return;
	}
	r->sent += (size_t)MAX(n, 0);
	more = r->sent < r->out->len;
	mh_loop_fd(r->loop, r->fd, true, more, on_endpoint, r);
	if (more)
		return;
	g_string_truncate(r->out, 0);
	if (r->closes)
		close_fd(r, &r->fd);
}

static void
read_in(struct frig *r)
{
	const char *text;
	char buf[4096];
	ssize_t n = recv(r->fd, buf, sizeof(buf), MSG_DONTWAIT);

	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		close_fd(r, &r->fd);
		return;
	}
	g_string_append_len(r->in, buf, n);
	if (!is_whole(r->in))
		return;
	log_text(r, "the endpoint gets", r->in->str);
	g_string_truncate(r->in, 0);
	text = r->script[r->answered++ % MAX_ANSWERS];
	if (text == NULL || *text == '\0') {
		close_fd(r, &r->fd);
		return;
	}
	g_string_assign(r->out, text);
	r->sent = 0;
	r->closes = strstr(text, "Connection: close") != NULL;
	write_out(r);
}

static void
on_endpoint(void *arg, bool readable, bool writable)
{
	struct frig *r = arg;

	if (writable && r->out->len > 0)
		write_out(r);
	if (readable && r->fd >= 0)
		read_in(r);
}

static bool
is_open(int fd)
{
	char ch;
	ssize_t n;

	if (fd < 0)
		return false;
	n = recv(fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT);
	return n > 0 || (n < 0 && errno == EAGAIN);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct frig *r = arg;

	(void)readable;
	(void)writable;
	r->left_open += is_open(r->fd);
	close_fd(r, &r->fd);
	r->fd = accept(r->listen_fd, NULL, NULL);
	g_string_truncate(r->in, 0);
	g_string_truncate(r->out, 0);
	mh_loop_fd(r->loop, r->fd, true, false, on_endpoint, r);
}

static void
listen_endpoint(struct frig *r)
{
	r->listen_fd = tcp_listen(r->addr);
	mh_loop_fd(r->loop, r->listen_fd, true, false, on_accept, r);
}

/* Stage work is done at once, or refused. */
static void
op_submit(void *arg, struct mh_job *j)
{
	struct frig *r = arg;

	if (r->refuse_jobs) {
		mh_gate_job_end(r->gate, j, MH_JOB_REFUSED, MH_US_PER_S);
		return;
	}
	for (uint32_t s = 0; s < j->n_stages; s++) {
		j->stages[s].results = g_ptr_array_new_with_free_func(g_free);
		for (uint32_t i = 0; i < j->stages[s].pieces; i++)
			g_ptr_array_add(j->stages[s].results,
			    g_strdup_printf("10.0.0.1:1/%u-%u", s, i));
	}
	mh_gate_job_end(r->gate, j, MH_JOB_DONE, 0);
}

static void
op_drop(void *arg, struct mh_job *j)
{
	(void)arg;
	(void)j;
}

void
frig_list(struct frig *r, const char *one, const char *two)
{
	const char *const ids[] = { one, two };

	mh_fleet_begin(r->fleet);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		struct mh_listing l = { ids[i], 0, "desk", r->addr, "d", 8,
			false, 0, NULL };

		mh_fleet_list(r->fleet, &l);
	}
	mh_fleet_end(r->fleet);
}

struct frig *
frig_create(void)
{
	struct frig *r = g_new0(struct frig, 1);
	struct mh_budget_args b = { 0.2, 50, 10 * MH_US_PER_S };
	struct mh_gate_ops ops = { .submit = op_submit,
		.cancel = op_drop,
		.release = op_drop,
		.jobs = r };
	struct mh_gconf *c = plat_conf_decode(conf, strlen(conf), NULL, NULL);
	const struct mh_holdings holdings = { .caller_bytes = 64U << 20 };

	r->fd = r->caller_fd = -1;
	r->log = g_string_new(NULL);
	r->in = g_string_new(NULL);
	r->out = g_string_new(NULL);
	r->answer = g_string_new(NULL);
	r->k = mh_kern_create(1);
	r->loop = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->loop);
	r->fleet = mh_fleet_create(r->k);
	r->place = mh_place_create(r->k, r->fleet);
	r->budget = mh_budget_create(r->k, &b);
	r->front = plat_front_create(
	    r->loop, r->calls, "127.0.0.1:0", &holdings, NULL);
	plat_front_ops(r->front, &ops);
	r->gate =
	    mh_gate_create(r->k, r->fleet, r->place, r->budget, &ops, "d");
	plat_front_start(r->front, r->gate);
	mh_gate_conf(r->gate, c);
	mh_gconf_unref(c);
	listen_endpoint(r);
	frig_list(r, "i-1", "i-2");
	return r;
}

void
frig_destroy(struct frig *r)
{
	close_fd(r, &r->caller_fd);
	close_fd(r, &r->fd);
	close_fd(r, &r->listen_fd);
	mh_gate_destroy(r->gate);
	plat_front_destroy(r->front);
	mh_budget_destroy(r->budget);
	mh_place_destroy(r->place);
	mh_fleet_destroy(r->fleet);
	mh_hcalls_destroy(r->calls);
	mh_loop_destroy(r->loop);
	mh_kern_destroy(r->k);
	g_string_free(r->answer, TRUE);
	g_string_free(r->out, TRUE);
	g_string_free(r->in, TRUE);
	g_string_free(r->log, TRUE);
	g_free(r);
}

static void
on_caller(void *arg, bool readable, bool writable)
{
	struct frig *r = arg;
	char buf[4096];
	ssize_t n = recv(r->caller_fd, buf, sizeof(buf), MSG_DONTWAIT);

	(void)readable;
	(void)writable;
	if (n > 0) {
		g_string_append_len(r->answer, buf, n);
		return;
	}
	if (n < 0)
		g_string_append(r->answer, "(reset)");
	close_fd(r, &r->caller_fd);
	mh_loop_stop(r->loop);
}

void
frig_converse(struct frig *r, const char *text)
{
	g_string_truncate(r->answer, 0);
	r->answered = 0;
	r->first[0] = '\0';
	r->caller_fd = tcp_dial(mh_hserve_port(plat_front_server(r->front)));
	CU_ASSERT(send(r->caller_fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	mh_loop_fd(r->loop, r->caller_fd, true, false, on_caller, r);
	CU_ASSERT_TRUE(run_with_timeout(r->k, r->loop, SESSION_MAX_US));
	memset(r->script, 0, sizeof(r->script));
}

void
frig_session(struct frig *r, const char *name, const char *text)
{
	g_string_append_printf(r->log, "=== %s\n", name);
	log_text(r, "the caller sends", text);
	frig_converse(r, text);
	log_text(r, "the caller gets", r->answer->str);
}

static void
on_pause(void *arg)
{
	mh_loop_stop(((struct frig *)arg)->loop);
}

void
frig_pause(struct frig *r)
{
	mh_timer_start(r->k, 300 * MH_US_PER_MS, on_pause, r);
	mh_loop_run(r->loop);
}
