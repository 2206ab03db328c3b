/**
 * DOC: Many callers of an entry process that stop short, send too much or read
 * nothing.
 *
 * The process must live, keep within the memory and descriptors of its
 * settings, and answer an ordinary request while the crowd is there and after
 * it has left.
 */

#include "crowdrig.h"
#include "endlesspeer.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define MB (1U << 20)
#define BODY_BYTES (4 * MB)
#define UNIT_BYTES 65536
#define SMALL_RCVBUF 4096
/* A slow sender takes longer than an idle connection stays after its answer. */
#define SLOW_PARTS 30
#define SLOW_PART_US 100000
/* A caller comes back before the entry gives up on a request by its time. */
#define RETURNS 20
#define RETURN_US 100000
/* Rounds in which callers of endless answers read, and their pause. */
#define ENDLESS_ROUNDS 20
#define ENDLESS_ROUND_US 100000

#define POST(path)                                      \
	"POST " path " HTTP/1.1\r\nHost: a.example\r\n" \
	"X-Request-Id: crowd-%u\r\nX-Deadline-Ms: 8000\r\n"
#define GET(path)                                      \
	"GET " path " HTTP/1.1\r\nHost: a.example\r\n" \
	"X-Request-Id: crowd-%u\r\nX-Deadline-Ms: 8000\r\n"
#define KEY "Authorization: Token " CROWD_KEY "\r\n"
#define LENGTH "Content-Length: 4194304\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/** enum unit - what a member sends over and over. */
enum unit { BYTES, CHUNKS, TINY_CHUNKS, FIELDS, REQUESTS, METRICS, EXTENSION };

/** struct play - a crowd, and the settings of the entry that it meets. */
struct play {
	const char *name;
	uint32_t n;
	uint16_t port;
	const char *head;
	enum unit unit;
	size_t send_max;
	bool reads;
	int rcvbuf;
	struct crowd_settings set;
};

static char *
unit_text(enum unit unit)
{
	GString *s = g_string_new(NULL);
	char *x = g_strnfill(UNIT_BYTES, 'x');

	switch (unit) {
	case BYTES:
		g_string_append(s, x);
		break;
	case CHUNKS:
		g_string_append_printf(s, "%x\r\n%s\r\n", UNIT_BYTES, x);
		break;
	case TINY_CHUNKS:
		while (s->len < UNIT_BYTES)
			g_string_append(s, "2\r\nxx\r\n");
		break;
	case FIELDS:
		g_string_append(s, "a: bcd\r\n");
		break;
	case REQUESTS:
		g_string_append(s,
		    "GET /desk/ahead/ HTTP/1.1\r\nHost: a.example\r\n"
		    "X-Request-Id: ahead\r\nX-Deadline-Ms: 8000\r\n" KEY
		    "\r\n");
		break;
	case METRICS:
		g_string_append(
		    s, "GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n");
		break;
	case EXTENSION:
		g_string_append_printf(s, "4;%s", x);
		break;
	}
	g_free(x);
	return g_string_free(s, FALSE);
}

static void
open_and_play(struct crowd *c, const struct play *p, const char *ip)
{
	char *unit = unit_text(p->unit);

	c->unit = unit;
	c->unit_len = strlen(unit);
	c->send_max = p->send_max;
	c->reads = p->reads;
	c->rcvbuf = p->rcvbuf;
	crowd_open(c, ip, p->port, p->n, p->head);
	crowd_play(c);
	g_free(unit);
	c->unit = NULL;
	c->send_max = 0;
}

static void
play(const struct play *p)
{
	struct crowd_rig *r = crowd_rig_start(&p->set);
	struct crowd c = { 0 };

	open_and_play(&c, p, r->ip);
	CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
	crowd_close(&c);
	CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
	crowd_rig_check(r, p->name);
	crowd_rig_stop(r);
}

#define PLAY(fn, ...)                                         \
	static void fn(void)                                  \
	{                                                     \
		static const struct play p = { __VA_ARGS__ }; \
		play(&p);                                     \
	}

#define USUAL                               \
	{                                   \
		96, 1000, BODY_BYTES, false \
	}
#define SMALL                               \
	{                                   \
		64, 1000, BODY_BYTES, false \
	}

/* Guards against bodies that stop short of their end using up the memory. */
PLAY(test_short_bodies, "bodies stopped short", 60, CROWD_FRONT_PORT,
    POST("/desk/a/") KEY LENGTH, BYTES, BODY_BYTES - 1, false, 0, USUAL)

/* Guards against the same in chunks. */
PLAY(test_short_chunks, "chunks stopped short", 60, CROWD_FRONT_PORT,
    POST("/desk/a/") KEY CHUNKED, CHUNKS, 63 * (UNIT_BYTES + 9), false, 0,
    USUAL)

/* Guards against the same in chunks of two bytes. */
PLAY(test_tiny_chunks, "tiny chunks stopped short", 60, CROWD_FRONT_PORT,
    POST("/desk/a/") KEY CHUNKED, TINY_CHUNKS, 7 * MB, false, 0, USUAL)

/* Guards against whole bodies that wait for an endpoint using it up. */
PLAY(test_waiting_bodies, "whole bodies that wait", 60, CROWD_FRONT_PORT,
    POST("/hold/a/") KEY LENGTH, BYTES, BODY_BYTES, false, 0, USUAL)

/* Guards against bodies without a key using it up. */
PLAY(test_no_key, "bodies without a key", 60, CROWD_FRONT_PORT,
    POST("/desk/a/") LENGTH, BYTES, BODY_BYTES - 1, false, 0, USUAL)

/* Guards against bodies over the limit using it up until they reach it. */
PLAY(test_endless_bodies, "bodies over the limit", 60, CROWD_FRONT_PORT,
    POST("/desk/a/") KEY CHUNKED, CHUNKS, 4 * BODY_BYTES, false, 0, USUAL)

/* Guards against bodies announced over the limit using it up. */
PLAY(test_announced, "bodies announced over the limit", 60, CROWD_FRONT_PORT,
    POST("/desk/a/") KEY "Content-Length: 1073741824\r\n\r\n", BYTES,
    2 * BODY_BYTES, false, 0, USUAL)

/* Guards against heads of many short fields using it up. */
PLAY(test_heads, "heads of short fields", 600, CROWD_FRONT_PORT,
    GET("/desk/a/"), FIELDS, 8 * 4000, false, 0, SMALL)

/* Guards against a chunk's extension without end. */
PLAY(test_extensions, "chunk extensions", 60, CROWD_FRONT_PORT,
    POST("/desk/a/") KEY CHUNKED, EXTENSION, 16 * MB, false, 0, USUAL)

/* Guards against answers that nobody reads using it up. */
PLAY(test_unread_answers, "unread answers", 60, CROWD_FRONT_PORT,
    GET("/desk/big/") KEY "\r\n", BYTES, 0, false, SMALL_RCVBUF, USUAL)

/* Guards against requests sent ahead using it up, their answers unread. */
PLAY(test_ahead, "requests sent ahead", 150, CROWD_FRONT_PORT,
    GET("/desk/a/") KEY "\r\n", REQUESTS, 4 * MB, false, SMALL_RCVBUF, SMALL)

/* Guards against streams that nobody reads using it up. */
PLAY(test_unread_streams, "unread streams", 60, CROWD_FRONT_PORT,
    GET("/pool/a/") KEY "\r\n", BYTES, 0, false, SMALL_RCVBUF, USUAL)

/* Guards against stage work of many pieces using it up. */
PLAY(test_pieces, "requests of many pieces", 500, CROWD_FRONT_PORT,
    GET("/staged/a/") KEY "X-Piece-Key: k\r\nX-Pieces: 256,256,256,256\r\n\r\n",
    BYTES, 0, false, 0, SMALL)

/* Guards against idle connections that use up the descriptors. */
PLAY(test_idle, "idle connections", 800, CROWD_FRONT_PORT, "", BYTES, 0, false,
    0, { 64, 600, BODY_BYTES, false })

/* Guards against idle connections over the settings' descriptors. */
PLAY(test_idle_over, "idle connections over the limit", 1500, CROWD_FRONT_PORT,
    "", BYTES, 0, false, 0, { 64, 1000, BODY_BYTES, true })

/* Guards against the readiness port using up the descriptors. */
PLAY(test_ready_port, "idle connections to the readiness port", 800,
    CROWD_READY_PORT, "", BYTES, 0, false, 0, { 64, 600, BODY_BYTES, false })

/* Guards against the same where the memory would bear them. */
PLAY(test_ready_port_memory, "the same with much memory", 800, CROWD_READY_PORT,
    "", BYTES, 0, false, 0, { 1024, 600, BODY_BYTES, false })

/* Guards against the metrics port using up the memory. */
PLAY(test_metrics_port, "metrics unread", 300, CROWD_METRICS_PORT, "", METRICS,
    2 * MB, false, SMALL_RCVBUF, SMALL)

/* Guards against links that never say who they are. */
PLAY(test_links, "links without a hello", 800, CROWD_FRAME_PORT, "", BYTES, 0,
    false, 0, { 64, 600, BODY_BYTES, true })

/*
 * Guards against memory that the allocator keeps after one crowd and the next
 * can't use.
 */
static void
test_in_a_row(void)
{
	static const struct play crowds[] = {
		{ "heads", 400, CROWD_FRONT_PORT, GET("/desk/a/"), FIELDS,
		    8 * 4000, false, 0, USUAL },
		{ "bodies", 60, CROWD_FRONT_PORT, POST("/desk/a/") KEY LENGTH,
		    BYTES, BODY_BYTES - 1, false, 0, USUAL },
		{ "tiny chunks", 60, CROWD_FRONT_PORT,
		    POST("/desk/a/") KEY CHUNKED, TINY_CHUNKS, 4 * MB, false, 0,
		    USUAL },
		{ "answers", 60, CROWD_FRONT_PORT, GET("/desk/big/") KEY "\r\n",
		    BYTES, 0, false, SMALL_RCVBUF, USUAL },
		{ "requests", 150, CROWD_FRONT_PORT, GET("/desk/a/") KEY "\r\n",
		    REQUESTS, 2 * MB, false, SMALL_RCVBUF, USUAL },
		{ "streams", 60, CROWD_FRONT_PORT, GET("/pool/a/") KEY "\r\n",
		    BYTES, 0, false, SMALL_RCVBUF, USUAL },
	};
	struct crowd_rig *r = crowd_rig_start(&crowds[0].set);

	for (size_t i = 0; i < G_N_ELEMENTS(crowds); i++) {
		struct crowd c = { 0 };

		open_and_play(&c, &crowds[i], r->ip);
		CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
		crowd_close(&c);
	}
	CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
	crowd_rig_check(r, "crowds in a row");
	crowd_rig_stop(r);
}

/* Guards against a refusal that runs, or that says too little. */
static void
test_refused(void)
{
	static const struct play p = { "bodies read to their end", 60,
		CROWD_FRONT_PORT, POST("/once/a/") KEY LENGTH, BYTES,
		BODY_BYTES, true, 0, USUAL };
	struct crowd_rig *r = crowd_rig_start(&p.set);
	struct crowd c = { 0 };
	uint32_t served, refused;

	open_and_play(&c, &p, r->ip);
	CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
	served = crowd_count(&c, "HTTP/1.1 200 ");
	refused = crowd_count(&c, "HTTP/1.1 503 ");
	CU_ASSERT(served > 0);
	CU_ASSERT_EQUAL(served + refused, c.n);
	CU_ASSERT_EQUAL(served, crowd_rig_runs(r));
	for (uint32_t i = 0; i < c.n; i++) {
		const char *a = c.members[i].answer->str;

		CU_ASSERT(g_str_has_prefix(a, "HTTP/1.1 200 ") ||
		    strstr(a, "\r\nRetry-After: ") != NULL);
	}
	crowd_close(&c);
	crowd_rig_check(r, p.name);
	crowd_rig_stop(r);
}

static char *
ask_body(struct crowd_rig *r, const char *key, size_t len)
{
	char *head =
	    g_strdup_printf("POST /desk/one/ HTTP/1.1\r\nHost: a.example\r\n"
			    "X-Request-Id: one\r\nX-Deadline-Ms: 8000\r\n"
			    "Authorization: Token %s\r\nConnection: close\r\n"
			    "Content-Length: %zu\r\n\r\n",
		key, len);
	char *body = g_strnfill(len, 'x');
	char *answer = crowd_ask(r->ip, CROWD_FRONT_PORT, head, body, len);

	g_free(body);
	g_free(head);
	return answer;
}

/*
 * Guards against a caller that gets no answer as it is refused while it still
 * sends.
 */
static void
test_refused_while_sending(void)
{
	static const struct play p = { "refused while sending", 60,
		CROWD_FRONT_PORT, POST("/hold/a/") KEY LENGTH, BYTES,
		BODY_BYTES, false, 0, USUAL };
	struct crowd_rig *r = crowd_rig_start(&p.set);
	struct crowd c = { 0 };
	char *answer;

	answer = ask_body(r, ORDINARY_KEY, 2 * BODY_BYTES);
	CU_ASSERT_TRUE(g_str_has_prefix(answer, "HTTP/1.1 413 "));
	g_free(answer);
	open_and_play(&c, &p, r->ip);
	for (int i = 0; i < 4; i++) {
		answer = ask_body(r, CROWD_KEY, BODY_BYTES);
		CU_ASSERT(g_str_has_prefix(answer, "HTTP/1.1 200 ") ||
		    (g_str_has_prefix(answer, "HTTP/1.1 503 ") &&
			strstr(answer, "\r\nRetry-After: ") != NULL));
		g_free(answer);
	}
	crowd_close(&c);
	crowd_rig_check(r, p.name);
	crowd_rig_stop(r);
}

/* Guards against a caller that is reset while it still sends a large body. */
static void
test_refused_slow_sender(void)
{
	static const struct crowd_settings s = USUAL;
	static const char head[] =
	    "POST /desk/slow/ HTTP/1.1\r\nHost: a.example\r\n"
	    "X-Request-Id: slow\r\nX-Deadline-Ms: 8000\r\n"
	    "Authorization: Token " CROWD_KEY "\r\n"
	    "Content-Length: 8388608\r\n\r\n";
	struct crowd_rig *r = crowd_rig_start(&s);
	char *x = g_strnfill(UNIT_BYTES, 'x');
	struct crowd c = { .unit = x, .unit_len = UNIT_BYTES };

	crowd_open(&c, r->ip, CROWD_FRONT_PORT, 1, head);
	for (int i = 0; i < SLOW_PARTS; i++) {
		c.send_max += UNIT_BYTES;
		crowd_send(&c);
		g_usleep(SLOW_PART_US);
		CU_ASSERT(c.members[0].fd >= 0);
	}
	c.reads = true;
	crowd_play(&c);
	CU_ASSERT_EQUAL(crowd_count(&c, "HTTP/1.1 413 "), 1);
	crowd_close(&c);
	g_free(x);
	crowd_rig_check(r, "refused slow sender");
	crowd_rig_stop(r);
}

/*
 * Guards against an organisation whose bodies leave no memory to those of
 * others.
 */
static void
test_other_organisation(void)
{
	static const struct play p = { "another organisation's body", 60,
		CROWD_FRONT_PORT, POST("/hold/a/") KEY LENGTH, BYTES,
		BODY_BYTES, false, 0, USUAL };
	struct crowd_rig *r = crowd_rig_start(&p.set);
	struct crowd c = { 0 };
	char *answer;

	open_and_play(&c, &p, r->ip);
	answer = ask_body(r, ORDINARY_KEY, BODY_BYTES);
	CU_ASSERT_TRUE(g_str_has_prefix(answer, "HTTP/1.1 200 "));
	g_free(answer);
	crowd_close(&c);
	crowd_rig_check(r, p.name);
	crowd_rig_stop(r);
}

/* Guards against bodies that have stalled shutting out those that come in. */
static void
test_same_organisation(void)
{
	static const struct play p = { "a body beside stalled ones", 12,
		CROWD_FRONT_PORT, POST("/desk/a/") KEY LENGTH, BYTES,
		BODY_BYTES - 1, false, 0, USUAL };
	struct crowd_rig *r = crowd_rig_start(&p.set);
	struct crowd c = { 0 };
	bool served = false;

	open_and_play(&c, &p, r->ip);
	for (int i = 0; i < RETURNS && !served; i++) {
		char *answer = ask_body(r, CROWD_KEY, BODY_BYTES);

		served = g_str_has_prefix(answer, "HTTP/1.1 200 ");
		g_free(answer);
		g_usleep(RETURN_US);
	}
	CU_ASSERT_TRUE(served);
	crowd_close(&c);
	crowd_rig_check(r, p.name);
	crowd_rig_stop(r);
}

/* Guards against a limit that a caller inside the limits meets. */
static void
test_whole_bodies(void)
{
	static const struct play p = { "twelve whole bodies", 12,
		CROWD_FRONT_PORT, POST("/desk/a/") KEY LENGTH, BYTES,
		BODY_BYTES, true, 0, { 260, 4100, BODY_BYTES, false } };
	static const struct crowd_settings least = { 120, 3075, BODY_BYTES,
		false };
	struct crowd_rig *r = crowd_rig_start(&least);
	struct crowd c = { 0 };
	char *answer = ask_body(r, ORDINARY_KEY, BODY_BYTES);

	CU_ASSERT_TRUE(g_str_has_prefix(answer, "HTTP/1.1 200 "));
	g_free(answer);
	crowd_rig_check(r, "one whole body");
	crowd_rig_stop(r);
	r = crowd_rig_start(&p.set);
	open_and_play(&c, &p, r->ip);
	CU_ASSERT_EQUAL(crowd_count(&c, "HTTP/1.1 200 "), c.n);
	crowd_close(&c);
	crowd_rig_check(r, p.name);
	crowd_rig_stop(r);
}

/* Guards against limits that stay as they were when the settings change. */
static void
test_settings_change(void)
{
	static const struct play p = { "after a change of the settings", 60,
		CROWD_FRONT_PORT, POST("/desk/a/") KEY LENGTH, BYTES,
		BODY_BYTES - 1, false, 0, { 512, 4100, BODY_BYTES, false } };
	static const struct crowd_settings less = USUAL;
	struct crowd_rig *r = crowd_rig_start(&p.set);
	struct crowd c = { 0 };

	crowd_rig_write(r, &less);
	kill(r->pid, SIGHUP);
	crowd_rig_wait_log(r, "ev=reload ");
	crowd_rig_restart_watch(r);
	open_and_play(&c, &p, r->ip);
	CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
	crowd_close(&c);
	crowd_rig_check(r, p.name);
	crowd_rig_stop(r);
}

/* What faulty endpoints of a service send without end. */
static const struct {
	const char *service;
	enum endless_form form;
} endless[] = {
	{ "mad", ENDLESS_NO_HTTP },
	{ "mad", ENDLESS_STATUS },
	{ "mad", ENDLESS_FIELD },
	{ "mad", ENDLESS_FIELDS },
	{ "mad", ENDLESS_INTERIM },
	{ "mad", ENDLESS_BODY },
	{ "mad", ENDLESS_CHUNKS },
	{ "mad", ENDLESS_CHUNK_SIZE },
	{ "mad", ENDLESS_LENGTH },
	{ "mad", ENDLESS_SECOND },
	{ "madpool", ENDLESS_EVENT },
	{ "madpool", ENDLESS_EVENTS },
	{ "madpool", ENDLESS_BODY },
	{ "madpool", ENDLESS_FIELDS },
	{ "madwork", ENDLESS_JSON },
	{ "madwork", ENDLESS_JSON_ITEMS },
	{ "madwork", ENDLESS_LENGTH },
	{ "madwork", ENDLESS_NO_HTTP },
};

#define ENDLESS_PEERS G_N_ELEMENTS(endless)

/* Many callers of faulty endpoints; their answers are read, or not. */
static void
play_endless(const struct crowd_settings *set, bool reads)
{
	static const struct {
		const char *head;
		uint32_t n;
	} crowds[] = {
		{ GET("/mad/a/") KEY "\r\n", 80 },
		{ GET("/madpool/a/") KEY "\r\n", 40 },
		{ GET("/madstaged/a/") KEY
		    "X-Piece-Key: k\r\nX-Pieces: 8\r\n\r\n",
		    40 },
	};
	struct endless_peer *peers[ENDLESS_PEERS];
	struct crowd c[G_N_ELEMENTS(crowds)] = { 0 };
	struct crowd_endpoint more[ENDLESS_PEERS];
	struct crowd_rig *r;
	uint32_t sent_mb = 0;

	for (size_t i = 0; i < ENDLESS_PEERS; i++) {
		peers[i] = endless_peer_start(endless[i].form);
		more[i].service = endless[i].service;
		more[i].addr = endless_peer_address(peers[i]);
	}
	r = crowd_rig_start_with(set, more, ENDLESS_PEERS);
	for (size_t i = 0; i < G_N_ELEMENTS(crowds); i++) {
		c[i].reads = reads;
		c[i].rcvbuf = reads ? 0 : SMALL_RCVBUF;
		crowd_open(&c[i], r->ip, CROWD_FRONT_PORT, crowds[i].n,
		    crowds[i].head);
	}
	for (int round = 0; round < ENDLESS_ROUNDS; round++) {
		for (size_t i = 0; i < G_N_ELEMENTS(crowds); i++)
			crowd_send(&c[i]);
		CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
		g_usleep(ENDLESS_ROUND_US);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(crowds); i++)
		crowd_close(&c[i]);
	CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
	for (size_t i = 0; i < ENDLESS_PEERS; i++)
		sent_mb += endless_peer_sent_mb(peers[i]);
	CU_ASSERT(sent_mb > 0);
	printf("\n    endpoints sent %u MB", sent_mb);
	crowd_rig_check(r, "endpoints that never end");
	crowd_rig_stop(r);
	for (size_t i = 0; i < ENDLESS_PEERS; i++)
		endless_peer_stop(peers[i]);
}

/* Guards against faulty endpoints that use up the memory of a small entry. */
static void
test_endless_endpoints(void)
{
	static const struct crowd_settings least = {
		.memory_mb = 120, .max_fds = 3075, .body_bytes = BODY_BYTES
	};

	play_endless(&least, true);
	play_endless(&least, false);
}

const struct test tests_crowd[] = {
	{ "crowd: bodies stopped short", test_short_bodies },
	{ "crowd: chunks stopped short", test_short_chunks },
	{ "crowd: tiny chunks stopped short", test_tiny_chunks },
	{ "crowd: whole bodies that wait", test_waiting_bodies },
	{ "crowd: bodies without a key", test_no_key },
	{ "crowd: bodies over the limit", test_endless_bodies },
	{ "crowd: bodies announced over the limit", test_announced },
	{ "crowd: heads of short fields", test_heads },
	{ "crowd: chunk extensions", test_extensions },
	{ "crowd: unread answers", test_unread_answers },
	{ "crowd: requests sent ahead", test_ahead },
	{ "crowd: unread streams", test_unread_streams },
	{ "crowd: requests of many pieces", test_pieces },
	{ "crowd: idle connections", test_idle },
	{ "crowd: idle connections over the limit", test_idle_over },
	{ "crowd: readiness port", test_ready_port },
	{ "crowd: readiness port, much memory", test_ready_port_memory },
	{ "crowd: metrics port", test_metrics_port },
	{ "crowd: links without a hello", test_links },
	{ "crowd: in a row", test_in_a_row },
	{ "crowd: refused bodies", test_refused },
	{ "crowd: refused while sending", test_refused_while_sending },
	{ "crowd: refused slow sender", test_refused_slow_sender },
	{ "crowd: another organisation's body", test_other_organisation },
	{ "crowd: a body beside stalled ones", test_same_organisation },
	{ "crowd: whole bodies inside the limits", test_whole_bodies },
	{ "crowd: settings change", test_settings_change },
	{ "crowd: endpoints that never end", test_endless_endpoints },
	{ NULL, NULL },
};
