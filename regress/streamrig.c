/**
 * DOC: Callers and endpoints of streams on one loop, and a front between them.
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

#define BACKLOG 4096
#define OPEN_MOST 800 /* lanes at once */
#define LANE_FDS 16 /* of one, at most */
#define STARTS 4 /* of lanes in one turn */
#define LONGEST_US (120 * MH_US_PER_S)
/* Behind a complete answer the caller looks for more bytes for this long. */
#define QUIET_US (3 * MH_US_PER_MS)
#define READ_PAUSE_US (1 * MH_US_PER_MS)
#define SMALL_BUF 2048
/* Pauses of endpoints, about as long as entries wait for them. */
#define PAUSE_MIN_MS 1100
#define PAUSE_MAX_MS 1700
/* Aims by which a silence is soon noticed, and not at all. */
#define AIM_US (2 * MH_US_PER_S)
#define AIM_LONG_US (15 * MH_US_PER_S)
#define GAP_US (200 * MH_US_PER_MS)
#define GAP_LONG_US (5 * MH_US_PER_S)
#define TIMEOUT_US (30 * MH_US_PER_S)

struct srig {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_hcalls *calls;
	struct mh_fleet *fleet;
	struct mh_place *place;
	struct mh_budget *budget;
	struct mh_gate *gate;
	struct plat_front *front;
	void (*judge)(const struct ssession *s);
	int listen_fd;
	char addr[32];
	GHashTable *conns; /* set of struct econn */
	GHashTable *sessions; /* id -> struct ssession */
	GPtrArray *lanes;
	uint32_t open_most;
	uint32_t started;
	uint32_t ended;
	struct mh_timer *starter;
};

/** struct econn - a connection of an endpoint. */
struct econn {
	struct srig *rig;
	int fd;
	GString *in;
	GString *out; /* what it has still to send */
	size_t sent; /* of @out */
	bool paused; /* once in this answer */
	GString *owed; /* to be sent before the next answer */
	const struct ssession *s;
	struct stry *try; /* being answered, NULL: none */
	GRand *rand; /* of its splits */
	struct mh_timer *timer;
};

/* endpoints */

static void
free_econn(void *arg)
{
	struct econn *c = arg;

	mh_timer_stop(c->rig->k, &c->timer);
	mh_loop_fd_close(c->rig->loop, c->fd);
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_string_free(c->owed, TRUE);
	if (c->rand != NULL)
		g_rand_free(c->rand);
	g_free(c);
}

static void
drop_econn(struct econn *c)
{
	g_hash_table_remove(c->rig->conns, c);
}

static void
reset_econn(struct econn *c)
{
	struct linger hard = { 1, 0 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	drop_econn(c);
}

/* The bytes of the answer have gone out. */
static void
end_answer(struct econn *c)
{
	const struct srun *run = c->try->run;
	enum srun_end end = c->try->end;

	c->try = NULL;
	switch (end) {
	case END_WHOLE:
	case END_LATE:
		if (run->closes || run->framing == BY_CLOSE)
			drop_econn(c);
		else if (run->extra == EXTRA_LATER) {
			GString *extra = stream_extra(c->s);

			g_string_append_len(
			    c->owed, extra->str, (gssize)extra->len);
			g_string_free(extra, TRUE);
		}
		return;
	case END_CLOSE:
		drop_econn(c);
		return;
	case END_RESET:
		reset_econn(c);
		return;
	case END_SILENT:
		return;
	}
}

static size_t
next_split(const struct econn *c)
{
	size_t left = c->out->len - c->sent, at;

	switch (c->try->run->split) {
	case SPLIT_NOT:
		break;
	case SPLIT_SOME:
		return 1 + g_rand_int(c->rand) % (c->out->len / 8 + 1);
	case SPLIT_WINDOW:
		/* Byte by byte, about the middle or the end. */
		at = c->out->len / (1 + c->try->run->seed % 2);
		at -= MIN(at, 24);
		if (c->sent < at)
			return at - c->sent;
		return c->sent < at + 24 ? 1 : left;
	case SPLIT_BYTES:
		return c->out->len <= 600 ? 1 : 1 + c->out->len / 600;
	}
	return left;
}

static int64_t
next_pause_us(struct econn *c)
{
	if (c->try->end == END_LATE && !c->paused &&
	    c->sent == c->try->pause_at) {
		c->paused = true;
		return g_rand_int_range(c->rand, PAUSE_MIN_MS, PAUSE_MAX_MS) *
		    (int64_t)MH_US_PER_MS;
	}
	return g_rand_int_range(c->rand, 0, 8) == 0 ? MH_US_PER_MS : 0;
}

static void on_send(void *arg);

static void
send_later(struct econn *c)
{
	c->timer = mh_timer_start(c->rig->k, next_pause_us(c), on_send, c);
}

static size_t
may_send(const struct econn *c)
{
	size_t n = next_split(c);

	if (c->try->end == END_LATE && !c->paused)
		return MIN(n, c->try->pause_at - c->sent);
	return MIN(n, c->out->len - c->sent);
}

static void
on_send(void *arg)
{
	struct econn *c = arg;
	size_t n = may_send(c);
	ssize_t did = n == 0 ? 0
			     : send(c->fd, c->out->str + c->sent, n,
				   MSG_NOSIGNAL | MSG_DONTWAIT);

	c->timer = NULL;
	if (did < 0 && errno != EAGAIN) {
		drop_econn(c);
		return;
	}
	c->sent += (size_t)MAX(did, 0);
	if (c->sent >= c->out->len)
		end_answer(c);
	else
		send_later(c);
}

static char *
header_of(const char *text, const char *name)
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

/* "i-LANE-NUMBER" */
static bool *
counts_of(struct slane *l, const char *node)
{
	const char *dash = node == NULL ? NULL : strrchr(node, '-');
	guint64 i = dash == NULL ? 0 : g_ascii_strtoull(dash + 1, NULL, 10);

	return &l->counts[MIN(i, STREAM_NODES - 1)];
}

static void
answer(
    struct econn *c, struct ssession *s, const char *node, const char *resume)
{
	uint32_t i = s->n_tries++;
	uint32_t after =
	    resume == NULL ? 0 : (uint32_t)g_ascii_strtoull(resume, NULL, 10);
	struct stry *t;
	GString *extra;

	if (i >= STREAM_TRIES) { /* told by the count */
		drop_econn(c);
		return;
	}
	t = &s->tries[i];
	t->run = &s->runs[i];
	t->counts = counts_of(s->lane, node);
	t->stamp = g_strdup_printf("%s.%u", s->id, i);
	g_string_free(c->out, TRUE);
	c->out = stream_answer(s, t, after, c->owed);
	g_string_truncate(c->owed, 0);
	if (t->run->extra == EXTRA_AT_ONCE && t->end == END_WHOLE) {
		extra = stream_extra(s);
		g_string_append_len(c->out, extra->str, (gssize)extra->len);
		g_string_free(extra, TRUE);
	}
	c->sent = 0;
	c->paused = false;
	c->s = s;
	c->try = t;
	if (c->rand != NULL)
		g_rand_free(c->rand);
	c->rand = g_rand_new_with_seed(t->run->seed + 1);
	on_send(c);
}

static void
on_econn(void *arg, bool readable, bool writable)
{
	struct econn *c = arg;
	struct ssession *s;
	char buf[4096], *id, *node, *resume;
	ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);

	(void)readable;
	(void)writable;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		drop_econn(c);
		return;
	}
	g_string_append_len(c->in, buf, n);
	if (!g_str_has_suffix(c->in->str, "\r\n\r\n"))
		return;
	id = header_of(c->in->str, "X-Request-Id");
	node = header_of(c->in->str, "X-Expect-Instance");
	resume = header_of(c->in->str, "Last-Event-Id");
	s = id == NULL ? NULL : g_hash_table_lookup(c->rig->sessions, id);
	/* One request at a time, and only after the answer to the last. */
	CU_ASSERT_TRUE(s != NULL && c->try == NULL);
	g_string_truncate(c->in, 0);
	if (s != NULL && c->try == NULL)
		answer(c, s, node, resume);
	g_free(resume);
	g_free(node);
	g_free(id);
}

static void
on_accept(void *arg, bool readable, bool writable)
{
	struct srig *r = arg;
	int on = 1, fd = accept(r->listen_fd, NULL, NULL);
	struct econn *c;

	(void)readable;
	(void)writable;
	if (fd < 0)
		return;
	c = g_new0(struct econn, 1);
	c->rig = r;
	c->fd = fd;
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	c->owed = g_string_new(NULL);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	g_hash_table_add(r->conns, c);
	mh_loop_fd(r->loop, fd, true, false, on_econn, c);
}

/* callers */

static void next_session(void *arg);
static void on_caller(void *arg, bool readable, bool writable);

static struct ssession *
session_of(const http_parser *p)
{
	return p->data;
}

static void
end_field(struct ssession *s)
{
	if (g_ascii_strcasecmp(s->field->str, "X-Response-Stamp") == 0) {
		g_free(s->stamp);
		s->stamp = g_strdup(s->value->str);
	} else if (g_ascii_strcasecmp(s->field->str, "Content-Type") == 0) {
		g_free(s->type);
		s->type = g_strdup(s->value->str);
	}
	g_string_truncate(s->field, 0);
	g_string_truncate(s->value, 0);
	s->in_value = false;
}

static int
on_field(http_parser *p, const char *at, size_t n)
{
	struct ssession *s = session_of(p);

	if (s->in_value)
		end_field(s);
	g_string_append_len(s->field, at, (gssize)n);
	return 0;
}

static int
on_value(http_parser *p, const char *at, size_t n)
{
	struct ssession *s = session_of(p);

	s->in_value = true;
	g_string_append_len(s->value, at, (gssize)n);
	return 0;
}

static int
on_headers(http_parser *p)
{
	struct ssession *s = session_of(p);

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
	struct ssession *s = session_of(p);

	s->complete = true;
	s->keeps = s->keeps && http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = { .on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete };

static void
hang_up(struct slane *l)
{
	if (l->fd < 0)
		return;
	mh_loop_fd_close(l->rig->loop, l->fd);
	close(l->fd);
	l->fd = -1;
}

/* What entries can know of an endpoint from a session that has ended. */
static void
note_counts(const struct ssession *s)
{
	const struct stry *t = s->n_tries == 0 || s->n_tries > STREAM_TRIES
	    ? NULL
	    : &s->tries[s->n_tries - 1];

	if (t != NULL && t->from_one && s->complete && s->status == 200 &&
	    s->route != ROUTE_PLAIN)
		*t->counts = true;
}

/* The session is over; the caller's connection is closed unless it is kept. */
static void
end_session(struct slane *l)
{
	struct srig *r = l->rig;

	mh_timer_stop(r->k, &l->timer);
	if (l->fd >= 0)
		mh_loop_fd(r->loop, l->fd, false, false, on_caller, l);
	note_counts(&l->all[l->at]);
	r->judge(&l->all[l->at]);
	l->at++;
	if (l->at == l->n)
		hang_up(l);
	l->timer = mh_timer_start(r->k, 0, next_session, l);
}

static void
on_quiet(void *arg)
{
	struct slane *l = arg;

	l->timer = NULL;
	end_session(l);
}

/* Returns false when the session ended with the connection. */
static bool
read_caller(struct slane *l)
{
	struct ssession *s = &l->all[l->at];
	char buf[16384];
	size_t most = s->reads == 0 ? sizeof(buf) : s->reads, done = 0;
	ssize_t n = recv(l->fd, buf, most, MSG_DONTWAIT);

	if (n < 0 && errno == EAGAIN)
		return true;
	if (!s->complete && n >= 0)
		done =
		    http_parser_execute(&s->parser, &callbacks, buf, (size_t)n);
	if (n > 0) {
		g_string_append_len(s->raw, buf, n);
		s->stray += (uint32_t)((size_t)n - done);
		s->left =
		    s->leaves > 0 && !s->complete && s->raw->len >= s->leaves;
		if (s->complete && l->timer == NULL)
			l->timer =
			    mh_timer_start(l->rig->k, QUIET_US, on_quiet, l);
		if (!s->left && (s->stray == 0 || s->complete))
			return true;
	}
	s->reset = n < 0;
	hang_up(l);
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
	struct slane *l = arg;

	l->timer = NULL;
	if (read_caller(l) && l->timer == NULL)
		l->timer =
		    mh_timer_start(l->rig->k, READ_PAUSE_US, on_slow_read, l);
}

static void
dial(struct slane *l, bool slow)
{
	int small = SMALL_BUF;

	l->fd = tcp_dial(mh_hserve_port(plat_front_server(l->rig->front)));
	if (slow)
		setsockopt(l->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
}

static char *
request_text(const struct ssession *s)
{
	GString *g = g_string_new(NULL);

	g_string_printf(g,
	    "GET /%s/ HTTP/1.%d\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
	    "X-Deadline-Ms: %u\r\n",
	    s->id, !s->http10, s->id, s->deadline_ms);
	if (s->after > 0)
		g_string_append_printf(g, "Last-Event-Id: %u\r\n", s->after);
	if (!s->keeps && !s->http10)
		g_string_append(g, "Connection: close\r\n");
	g_string_append(g, "\r\n");
	return g_string_free(g, FALSE);
}

static void
next_session(void *arg)
{
	struct slane *l = arg;
	struct srig *r = l->rig;
	struct ssession *s;
	char *text;

	l->timer = NULL;
	if (l->at == l->n) {
		r->ended++;
		if (r->ended == r->lanes->len)
			mh_loop_stop(r->loop);
		return;
	}
	s = &l->all[l->at];
	if (l->fd >= 0 && (l->at == 0 || !l->all[l->at - 1].keeps))
		hang_up(l);
	if (l->fd < 0)
		dial(l, s->reads > 0);
	text = request_text(s);
	CU_ASSERT(send(l->fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	g_free(text);
	if (s->reads > 0) {
		mh_loop_fd(r->loop, l->fd, false, false, on_caller, l);
		l->timer = mh_timer_start(r->k, 0, on_slow_read, l);
	} else
		mh_loop_fd(r->loop, l->fd, true, false, on_caller, l);
}

/* the rig */

static void
add_route(struct mh_gconf *c, const struct ssession *s)
{
	struct mh_groute *r = mh_groute_create();
	struct mh_gtarget t = { g_strdup_printf("p%u", s->lane->seed), 1 };

	r->name = g_strdup(s->id);
	r->host = g_strdup("a.example");
	r->prefix = g_strdup_printf("/%s/", s->id);
	r->open_to_all = true;
	r->timeout_us = TIMEOUT_US;
	r->aim_us = s->hangs ? AIM_US : AIM_LONG_US;
	r->gap_aim_us = s->hangs ? GAP_US : GAP_LONG_US;
	r->attempts = s->attempts;
	g_array_append_val(r->targets, t);
	switch (s->route) {
	case ROUTE_RESUMED:
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
list_nodes(struct srig *r, const struct slane *l)
{
	char *pool = g_strdup_printf("p%u", l->seed);

	for (uint32_t i = 0; i < l->nodes; i++) {
		char *name = g_strdup_printf("i-%u-%u", l->seed, i);
		struct mh_listing row = { name, 0, pool, r->addr, "d", 8, false,
			0 };

		mh_fleet_list(r->fleet, &row);
		g_free(name);
	}
	g_free(pool);
}

static void
set_conf(struct srig *r)
{
	struct mh_gconf *c = mh_gconf_create();

	mh_fleet_begin(r->fleet);
	for (guint i = 0; i < r->lanes->len; i++) {
		const struct slane *l = g_ptr_array_index(r->lanes, i);

		for (uint32_t j = 0; j < l->n; j++)
			add_route(c, &l->all[j]);
		list_nodes(r, l);
	}
	mh_fleet_end(r->fleet);
	mh_gate_conf(r->gate, c);
	mh_gconf_unref(c);
}

/* A few a turn: the queue of a listener is short. */
static void
on_start(void *arg)
{
	struct srig *r = arg;

	r->starter = NULL;
	if (r->started == r->lanes->len)
		return;
	for (uint32_t i = 0; i < STARTS && r->started < r->lanes->len &&
	     r->started - r->ended < r->open_most;
	     i++)
		next_session(g_ptr_array_index(r->lanes, r->started++));
	r->starter = mh_timer_start(r->k, 500, on_start, r);
}

bool
srig_run(struct srig *r)
{
	struct rlimit l;
	bool in_time;

	getrlimit(RLIMIT_NOFILE, &l);
	r->open_most = (uint32_t)MIN(OPEN_MOST, l.rlim_cur / LANE_FDS);
	set_conf(r);
	on_start(r);
	in_time = run_most(r->k, r->loop, LONGEST_US);
	mh_timer_stop(r->k, &r->starter);
	return in_time;
}

static void
clear_session(struct ssession *s)
{
	for (uint32_t i = 0; i < STREAM_TRIES; i++) {
		g_free(s->tries[i].stamp);
		g_free(s->tries[i].body);
	}
	g_free(s->id);
	g_free(s->type);
	g_free(s->stamp);
	g_string_free(s->field, TRUE);
	g_string_free(s->value, TRUE);
	g_string_free(s->body, TRUE);
	g_string_free(s->raw, TRUE);
}

static void
free_lane(void *arg)
{
	struct slane *l = arg;

	mh_timer_stop(l->rig->k, &l->timer);
	hang_up(l);
	for (uint32_t i = 0; i < l->n; i++)
		clear_session(&l->all[i]);
	g_free(l);
}

struct slane *
srig_lane(struct srig *r, uint32_t seed, uint32_t n)
{
	struct slane *l = g_new0(struct slane, 1);

	l->rig = r;
	l->seed = seed;
	l->n = n;
	l->nodes = STREAM_NODES;
	l->fd = -1;
	for (uint32_t i = 0; i < n; i++) {
		struct ssession *s = &l->all[i];

		s->lane = l;
		s->at = i;
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

struct srig *
srig_create(void (*judge)(const struct ssession *s))
{
	struct srig *r = g_new0(struct srig, 1);
	struct mh_budget_args b = { 1, 1e6, 10 * MH_US_PER_S };
	struct mh_gate_ops ops = { .jobs = r };

	r->judge = judge;
	r->lanes = g_ptr_array_new_with_free_func(free_lane);
	r->sessions = g_hash_table_new(g_str_hash, g_str_equal);
	r->conns = g_hash_table_new_full(NULL, NULL, free_econn, NULL);
	r->k = mh_kern_create(1);
	r->loop = mh_loop_create(r->k, NULL);
	r->calls = mh_hcalls_create(r->loop);
	r->fleet = mh_fleet_create(r->k);
	r->place = mh_place_create(r->k, r->fleet);
	r->budget = mh_budget_create(r->k, &b);
	r->front = plat_front_create(r->loop, r->calls, "127.0.0.1:0", NULL);
	plat_front_ops(r->front, &ops);
	r->gate =
	    mh_gate_create(r->k, r->fleet, r->place, r->budget, &ops, "d");
	plat_front_start(r->front, r->gate);
	r->listen_fd = tcp_listen(r->addr);
	CU_ASSERT_EQUAL(listen(r->listen_fd, BACKLOG), 0);
	mh_loop_fd(r->loop, r->listen_fd, true, false, on_accept, r);
	return r;
}

void
srig_destroy(struct srig *r)
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
