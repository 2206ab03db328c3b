/**
 * DOC: Callers, the HTTP front end and endpoints of streams on one event loop.
 */

#include "streamrig.h"
#include "platform.h"
#include "regress.h"
#include "tcp.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 4096
#define MAX_OPEN_LANES 800
#define MAX_FDS_PER_LANE 16
#define LANES_PER_START 4 /* lanes started per timer expiry */
#define RUN_TIMEOUT_US (120 * MH_US_PER_S)
/* After a complete response the caller waits this long for stray bytes. */
#define STRAY_WAIT_US (3 * MH_US_PER_MS)
#define READ_PAUSE_US (1 * MH_US_PER_MS)
#define SLOW_RCVBUF_BYTES 2048
/* Pauses of endpoints, shorter and longer than the gateway's timeouts. */
#define PAUSE_MIN_MS 1100
#define PAUSE_MAX_MS 1700
/*
 * Latency objectives of a route.  The gateway derives its timeout for a silent
 * endpoint from them: the short ones for sessions with a silence, the long ones
 * for sessions in which no timeout may occur.
 */
#define SLO_US (2 * MH_US_PER_S)
#define SLO_LONG_US (15 * MH_US_PER_S)
#define GAP_SLO_US (200 * MH_US_PER_MS)
#define GAP_SLO_LONG_US (5 * MH_US_PER_S)
#define ROUTE_TIMEOUT_US (30 * MH_US_PER_S)

struct stream_rig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hcalls *calls;
	struct mh_fleet *fleet;
	struct mh_place *place;
	struct mh_budget *budget;
	struct mh_gate *gate;
	struct plat_front *front;
	void (*on_session_end)(const struct stream_session *s);
	int listen_fd;
	char addr[32];
	GHashTable *conns; /* set of struct endpoint_conn */
	GHashTable *sessions; /* id -> struct stream_session */
	GPtrArray *lanes;
	uint32_t max_open;
	uint32_t started;
	uint32_t ended;
	struct mh_timer *start_timer;
};

/** struct endpoint_conn - a connection of an endpoint. */
struct endpoint_conn {
	struct stream_rig *rig;
	int fd;
	GString *in;
	GString *out; /* the response that is being sent */
	size_t sent; /* bytes of @out */
	bool paused; /* has paused in this response */
	GString *deferred; /* sent before the next response */
	const struct stream_session *session;
	struct stream_attempt *attempt; /* in progress, NULL: none */
	GRand *rand; /* for write sizes and delays */
	struct mh_timer *timer;
};

/* endpoints */

static void
endpoint_conn_free(void *arg)
{
	struct endpoint_conn *c = arg;

	mh_timer_stop(c->rig->k, &c->timer);
	mh_loop_fd_close(c->rig->loop, c->fd);
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_string_free(c->deferred, TRUE);
	if (c->rand != NULL)
		g_rand_free(c->rand);
	g_free(c);
}

static void
endpoint_conn_close(struct endpoint_conn *c)
{
	g_hash_table_remove(c->rig->conns, c);
}

static void
endpoint_conn_reset(struct endpoint_conn *c)
{
	struct linger hard = { 1, 0 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	endpoint_conn_close(c);
}

/* Called when all bytes of @out have been sent. */
static void
finish_response(struct endpoint_conn *c)
{
	const struct run_script *run = c->attempt->script;
	enum run_end end = c->attempt->end;

	c->attempt = NULL;
	switch (end) {
	case END_COMPLETE:
	case END_AFTER_PAUSE:
		if (run->closes_conn || run->framing == BY_CLOSE)
			endpoint_conn_close(c);
		else if (run->extra == EXTRA_LATER) {
			GString *extra = stream_extra_response(c->session);

			g_string_append_len(
			    c->deferred, extra->str, (gssize)extra->len);
			g_string_free(extra, TRUE);
		}
		return;
	case END_CLOSE:
		endpoint_conn_close(c);
		return;
	case END_RESET:
		endpoint_conn_reset(c);
		return;
	case END_SILENT:
		return;
	}
}

static size_t
next_write_bytes(const struct endpoint_conn *c)
{
	size_t remaining = c->out->len - c->sent, at;

	switch (c->attempt->script->split) {
	case SPLIT_NONE:
		break;
	case SPLIT_RANDOM:
		return 1 + g_rand_int(c->rand) % (c->out->len / 8 + 1);
	case SPLIT_WINDOW:
		/* Byte by byte, around the middle or the end. */
		at = c->out->len / (1 + c->attempt->script->seed % 2);
		at -= MIN(at, 24);
		if (c->sent < at)
			return at - c->sent;
		return c->sent < at + 24 ? 1 : remaining;
	case SPLIT_BYTES:
		return c->out->len <= 600 ? 1 : 1 + c->out->len / 600;
	}
	return remaining;
}

static int64_t
next_pause_us(struct endpoint_conn *c)
{
	if (c->attempt->end == END_AFTER_PAUSE && !c->paused &&
	    c->sent == c->attempt->pause_at) {
		c->paused = true;
		return g_rand_int_range(c->rand, PAUSE_MIN_MS, PAUSE_MAX_MS) *
		    (int64_t)MH_US_PER_MS;
	}
	return g_rand_int_range(c->rand, 0, 8) == 0 ? MH_US_PER_MS : 0;
}

static void on_send(void *arg);

static void
schedule_send(struct endpoint_conn *c)
{
	mh_timer_set(c->rig->k, &c->timer, next_pause_us(c), on_send, c);
}

static size_t
sendable_bytes(const struct endpoint_conn *c)
{
	size_t n = next_write_bytes(c);

	if (c->attempt->end == END_AFTER_PAUSE && !c->paused)
		return MIN(n, c->attempt->pause_at - c->sent);
	return MIN(n, c->out->len - c->sent);
}

static void
on_send(void *arg)
{
	struct endpoint_conn *c = arg;
	size_t n = sendable_bytes(c);
	ssize_t written = n == 0 ? 0
				 : send(c->fd, c->out->str + c->sent, n,
				       MSG_NOSIGNAL | MSG_DONTWAIT);

	if (written < 0 && errno != EAGAIN) {
		endpoint_conn_close(c);
		return;
	}
	c->sent += (size_t)MAX(written, 0);
	if (c->sent >= c->out->len)
		finish_response(c);
	else
		schedule_send(c);
}

static char *
header_value(const char *text, const char *name)
{
	char *mark = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(text, mark), *end;
	char *value = NULL;

	if (at != NULL) {
		at += strlen(mark);
		end = strstr(at, "\r\n");
		value = g_strndup(at, (gsize)(end - at));
	}
	g_free(mark);
	return value;
}

/* Names of nodes have the form "i-LANE-NUMBER". */
static bool *
find_ids_flag(struct stream_lane *l, const char *node)
{
	const char *dash = node == NULL ? NULL : strrchr(node, '-');
	guint64 i = dash == NULL ? 0 : g_ascii_strtoull(dash + 1, NULL, 10);

	return &l->ids_from_1[MIN(i, STREAM_MAX_NODES - 1)];
}

static void
start_response(struct endpoint_conn *c, struct stream_session *s,
    const char *node, const char *resume)
{
	uint32_t i = s->n_attempts++;
	uint32_t after =
	    resume == NULL ? 0 : (uint32_t)g_ascii_strtoull(resume, NULL, 10);
	struct stream_attempt *t;
	GString *extra;

	if (i >= STREAM_MAX_ATTEMPTS) { /* the check of n_attempts reports it */
		endpoint_conn_close(c);
		return;
	}
	t = &s->attempts[i];
	t->script = &s->scripts[i];
	t->ids_from_1 = find_ids_flag(s->lane, node);
	t->stamp = g_strdup_printf("%s.%u", s->id, i);
	g_string_free(c->out, TRUE);
	c->out = stream_response(s, t, after, c->deferred);
	g_string_truncate(c->deferred, 0);
	if (t->script->extra == EXTRA_AT_ONCE && t->end == END_COMPLETE) {
		extra = stream_extra_response(s);
		g_string_append_len(c->out, extra->str, (gssize)extra->len);
		g_string_free(extra, TRUE);
	}
	c->sent = 0;
	c->paused = false;
	c->session = s;
	c->attempt = t;
	if (c->rand != NULL)
		g_rand_free(c->rand);
	c->rand = g_rand_new_with_seed(t->script->seed + 1);
	on_send(c);
}

static void
on_endpoint_conn(void *arg, bool readable, bool writable)
{
	struct endpoint_conn *c = arg;
	struct stream_session *s;
	char buf[4096], *id, *node, *resume;
	ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);

	(void)readable;
	(void)writable;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		endpoint_conn_close(c);
		return;
	}
	g_string_append_len(c->in, buf, n);
	if (!g_str_has_suffix(c->in->str, "\r\n\r\n"))
		return;
	id = header_value(c->in->str, "X-Request-Id");
	node = header_value(c->in->str, "X-Expect-Instance");
	resume = header_value(c->in->str, "Last-Event-Id");
	s = id == NULL ? NULL : g_hash_table_lookup(c->rig->sessions, id);
	/* The gateway must not pipeline requests. */
	CU_ASSERT_TRUE(s != NULL && c->attempt == NULL);
	g_string_truncate(c->in, 0);
	if (s != NULL && c->attempt == NULL)
		start_response(c, s, node, resume);
	g_free(resume);
	g_free(node);
	g_free(id);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct stream_rig *r = arg;
	int on = 1, fd = accept(r->listen_fd, NULL, NULL);
	struct endpoint_conn *c;

	(void)readable;
	(void)writable;
	if (fd < 0)
		return;
	c = g_new0(struct endpoint_conn, 1);
	c->rig = r;
	c->fd = fd;
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	c->deferred = g_string_new(NULL);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	g_hash_table_add(r->conns, c);
	mh_loop_fd(r->loop, fd, true, false, on_endpoint_conn, c);
}

/* callers */

static void next_session(void *arg);
static void on_caller(void *arg, bool readable, bool writable);

static struct stream_session *
session_of(const http_parser *p)
{
	return p->data;
}

static void
end_field(struct stream_session *s)
{
	if (g_ascii_strcasecmp(s->field->str, "X-Response-Stamp") == 0) {
		g_free(s->stamp);
		s->stamp = g_strdup(s->value->str);
	} else if (g_ascii_strcasecmp(s->field->str, "Content-Type") == 0) {
		g_free(s->content_type);
		s->content_type = g_strdup(s->value->str);
	}
	g_string_truncate(s->field, 0);
	g_string_truncate(s->value, 0);
	s->in_value = false;
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	struct stream_session *s = session_of(p);

	if (s->in_value)
		end_field(s);
	g_string_append_len(s->field, at, (gssize)n);
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	struct stream_session *s = session_of(p);

	s->in_value = true;
	g_string_append_len(s->value, at, (gssize)n);
	return 0;
}

static int
on_headers(http_parser *p)
{
	struct stream_session *s = session_of(p);

	end_field(s);
	s->status = p->status_code;
	return 0;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
	g_string_append_len(session_of(p)->body, at, (gssize)n);
	return 0;
}

static int
on_complete(http_parser *p)
{
	struct stream_session *s = session_of(p);

	s->complete = true;
	s->keeps_conn = s->keeps_conn && http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = { .on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete };

static void
close_caller(struct stream_lane *l)
{
	if (l->fd < 0)
		return;
	mh_loop_fd_close(l->rig->loop, l->fd);
	close(l->fd);
	l->fd = -1;
}

/*
 * Records that the gateway has learnt from this session that the endpoint's ids
 * start at 1.
 */
static void
note_ids_from_1(const struct stream_session *s)
{
	const struct stream_attempt *t =
	    s->n_attempts == 0 || s->n_attempts > STREAM_MAX_ATTEMPTS
	    ? NULL
	    : &s->attempts[s->n_attempts - 1];

	if (t != NULL && t->from_first && s->complete && s->status == 200 &&
	    s->route != ROUTE_PLAIN)
		*t->ids_from_1 = true;
}

/*
 * Checks the finished session and schedules the next one, which closes the
 * connection unless it is kept.
 */
static void
end_session(struct stream_lane *l)
{
	struct stream_rig *r = l->rig;

	mh_timer_stop(r->k, &l->timer);
	if (l->fd >= 0)
		mh_loop_fd(r->loop, l->fd, false, false, on_caller, l);
	note_ids_from_1(&l->sessions[l->current]);
	r->on_session_end(&l->sessions[l->current]);
	l->current++;
	if (l->current == l->n_sessions)
		close_caller(l);
	mh_timer_set(r->k, &l->timer, 0, next_session, l);
}

static void
on_stray_timeout(void *arg)
{
	struct stream_lane *l = arg;

	end_session(l);
}

/* Returns false if this ended the connection and with it the session. */
static bool
read_caller(struct stream_lane *l)
{
	struct stream_session *s = &l->sessions[l->current];
	char buf[16384];
	size_t max = s->read_bytes == 0 ? sizeof(buf) : s->read_bytes, used = 0;
	ssize_t n = recv(l->fd, buf, max, MSG_DONTWAIT);

	if (n < 0 && errno == EAGAIN)
		return true;
	if (!s->complete && n >= 0)
		used =
		    http_parser_execute(&s->parser, &callbacks, buf, (size_t)n);
	if (n > 0) {
		g_string_append_len(s->raw, buf, n);
		s->stray_bytes += (uint32_t)((size_t)n - used);
		s->hung_up = s->close_after_bytes > 0 && !s->complete &&
		    s->raw->len >= s->close_after_bytes;
		if (s->complete && l->timer == NULL)
			mh_timer_set(l->rig->k, &l->timer, STRAY_WAIT_US,
			    on_stray_timeout, l);
		if (!s->hung_up && (s->stray_bytes == 0 || s->complete))
			return true;
	}
	s->reset = n < 0;
	close_caller(l);
	end_session(l);
	return false;
}

static void
on_caller(void *arg, bool readable, bool writable)
{
	(void)readable;
	(void)writable;
	(void)read_caller(arg);
}

static void
on_slow_read(void *arg)
{
	struct stream_lane *l = arg;

	if (read_caller(l) && l->timer == NULL)
		mh_timer_set(
		    l->rig->k, &l->timer, READ_PAUSE_US, on_slow_read, l);
}

static void
connect_caller(struct stream_lane *l, bool slow)
{
	int small = SLOW_RCVBUF_BYTES;

	l->fd = tcp_dial(mh_hserve_port(plat_front_server(l->rig->front)));
	if (slow)
		setsockopt(l->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
}

static char *
build_request(const struct stream_session *s)
{
	GString *g = g_string_new(NULL);

	g_string_printf(g,
	    "GET /%s/ HTTP/1.%d\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
	    "X-Deadline-Ms: %u\r\n",
	    s->id, !s->http10, s->id, s->deadline_ms);
	if (s->last_piece > 0)
		g_string_append_printf(
		    g, "Last-Event-Id: %u\r\n", s->last_piece);
	if (!s->keeps_conn && !s->http10)
		g_string_append(g, "Connection: close\r\n");
	g_string_append(g, "\r\n");
	return g_string_free(g, FALSE);
}

static void
next_session(void *arg)
{
	struct stream_lane *l = arg;
	struct stream_rig *r = l->rig;
	struct stream_session *s;
	char *text;

	if (l->current == l->n_sessions) {
		r->ended++;
		if (r->ended == r->lanes->len)
			mh_loop_stop(r->loop);
		return;
	}
	s = &l->sessions[l->current];
	if (l->fd >= 0 &&
	    (l->current == 0 || !l->sessions[l->current - 1].keeps_conn))
		close_caller(l);
	if (l->fd < 0)
		connect_caller(l, s->read_bytes > 0);
	text = build_request(s);
	CU_ASSERT(send(l->fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	g_free(text);
	if (s->read_bytes > 0) {
		mh_loop_fd(r->loop, l->fd, false, false, on_caller, l);
		mh_timer_set(r->k, &l->timer, 0, on_slow_read, l);
	} else
		mh_loop_fd(r->loop, l->fd, true, false, on_caller, l);
}

/* fixture */

static void
add_route(struct mh_gconf *c, const struct stream_session *s)
{
	struct mh_groute *r = mh_groute_create();
	struct mh_gtarget t = { g_strdup_printf("p%u", s->lane->seed), 1 };

	r->name = g_strdup(s->id);
	r->host = g_strdup("a.example");
	r->prefix = g_strdup_printf("/%s/", s->id);
	r->allow_anonymous = true;
	r->timeout_us = ROUTE_TIMEOUT_US;
	r->slo_us = s->has_silence ? SLO_US : SLO_LONG_US;
	r->gap_slo_us = s->has_silence ? GAP_SLO_US : GAP_SLO_LONG_US;
	r->attempts = s->max_attempts;
	g_array_append_val(r->targets, t);
	switch (s->route) {
	case ROUTE_RESUME:
		r->stream = true;
		r->repeat = MH_REPEAT_RESUME;
		break;
	case ROUTE_ONCE:
		r->stream = true;
		r->repeat = MH_REPEAT_NEVER;
		break;
	case ROUTE_PLAIN:
		r->repeat = MH_REPEAT_SAFE;
		break;
	}
	g_ptr_array_add(c->routes, r);
}

static void
list_nodes(struct stream_rig *r, const struct stream_lane *l)
{
	char *pool = g_strdup_printf("p%u", l->seed);

	for (uint32_t i = 0; i < l->n_nodes; i++) {
		char *name = g_strdup_printf("i-%u-%u", l->seed, i);
		struct mh_listing row = { name, 0, pool, r->addr, "d", 8, false,
			0, NULL };

		mh_fleet_list(r->fleet, &row);
		g_free(name);
	}
	g_free(pool);
}

static void
apply_config(struct stream_rig *r)
{
	struct mh_gconf *c = mh_gconf_create();

	mh_fleet_begin(r->fleet);
	for (guint i = 0; i < r->lanes->len; i++) {
		const struct stream_lane *l = g_ptr_array_index(r->lanes, i);

		for (uint32_t j = 0; j < l->n_sessions; j++)
			add_route(c, &l->sessions[j]);
		list_nodes(r, l);
	}
	mh_fleet_end(r->fleet);
	mh_gate_conf(r->gate, c);
	mh_gconf_unref(c);
}

/* Starts a few lanes at a time, so that no listen backlog overflows. */
static void
start_lanes(void *arg)
{
	struct stream_rig *r = arg;

	if (r->started == r->lanes->len)
		return;
	for (uint32_t i = 0; i < LANES_PER_START &&
	     r->started < r->lanes->len && r->started - r->ended < r->max_open;
	     i++)
		next_session(g_ptr_array_index(r->lanes, r->started++));
	mh_timer_set(r->k, &r->start_timer, 500, start_lanes, r);
}

bool
stream_rig_run(struct stream_rig *r)
{
	struct rlimit l;
	bool in_time;

	getrlimit(RLIMIT_NOFILE, &l);
	r->max_open =
	    (uint32_t)MIN(MAX_OPEN_LANES, l.rlim_cur / MAX_FDS_PER_LANE);
	apply_config(r);
	start_lanes(r);
	in_time = run_with_timeout(r->k, r->loop, RUN_TIMEOUT_US);
	mh_timer_stop(r->k, &r->start_timer);
	return in_time;
}

static void
session_clear(struct stream_session *s)
{
	for (uint32_t i = 0; i < STREAM_MAX_ATTEMPTS; i++) {
		g_free(s->attempts[i].stamp);
		g_free(s->attempts[i].body);
	}
	g_free(s->id);
	g_free(s->content_type);
	g_free(s->stamp);
	g_string_free(s->field, TRUE);
	g_string_free(s->value, TRUE);
	g_string_free(s->body, TRUE);
	g_string_free(s->raw, TRUE);
}

static void
lane_free(void *arg)
{
	struct stream_lane *l = arg;

	mh_timer_stop(l->rig->k, &l->timer);
	close_caller(l);
	for (uint32_t i = 0; i < l->n_sessions; i++)
		session_clear(&l->sessions[i]);
	g_free(l);
}

struct stream_lane *
stream_rig_add_lane(struct stream_rig *r, uint32_t seed, uint32_t n)
{
	struct stream_lane *l = g_new0(struct stream_lane, 1);

	l->rig = r;
	l->seed = seed;
	l->n_sessions = n;
	l->n_nodes = STREAM_MAX_NODES;
	l->fd = -1;
	for (uint32_t i = 0; i < n; i++) {
		struct stream_session *s = &l->sessions[i];

		s->lane = l;
		s->index = i;
		s->id = g_strdup_printf("s%u-%u", seed, i);
		s->field = g_string_new(NULL);
		s->value = g_string_new(NULL);
		s->body = g_string_new(NULL);
		s->raw = g_string_new(NULL);
		http_parser_init(&s->parser, HTTP_RESPONSE);
		s->parser.data = s;
		g_hash_table_insert(r->sessions, s->id, s);
	}
	g_ptr_array_add(r->lanes, l);
	return l;
}

struct stream_rig *
stream_rig_create(void (*on_session_end)(const struct stream_session *s))
{
	struct stream_rig *r = g_new0(struct stream_rig, 1);
	struct mh_budget_args b = { 1, 1e6, 10 * MH_US_PER_S };
	struct mh_gate_ops ops = { .jobs = r };
	const struct mh_holdings holdings = { .caller_bytes = 256U << 20 };

	r->on_session_end = on_session_end;
	r->lanes = g_ptr_array_new_with_free_func(lane_free);
	r->sessions = g_hash_table_new(g_str_hash, g_str_equal);
	r->conns = g_hash_table_new_full(NULL, NULL, endpoint_conn_free, NULL);
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
	r->listen_fd = tcp_listen(r->addr);
	CU_ASSERT_EQUAL(listen(r->listen_fd, LISTEN_BACKLOG), 0);
	mh_loop_fd(r->loop, r->listen_fd, true, false, on_accept, r);
	return r;
}

void
stream_rig_destroy(struct stream_rig *r)
{
	g_ptr_array_free(r->lanes, TRUE);
	g_hash_table_destroy(r->conns);
	mh_loop_fd_close(r->loop, r->listen_fd);
	close(r->listen_fd);
	mh_gate_destroy(r->gate);
	plat_front_destroy(r->front);
	mh_budget_destroy(r->budget);
	mh_place_destroy(r->place);
	mh_fleet_destroy(r->fleet);
	mh_hcalls_destroy(r->calls);
	mh_loop_destroy(r->loop);
	mh_kern_destroy(r->k);
	g_hash_table_destroy(r->sessions);
	g_free(r);
}
