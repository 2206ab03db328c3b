#ifndef STREAMRIG_H
#define STREAMRIG_H

/*
 * Test fixture for streamed responses over loopback sockets: callers, an HTTP
 * front end with its gateway, and endpoints that answer each attempt of a
 * request by a script.  A lane is one caller with a pool of its own; its
 * sessions run one after the other and may reuse the caller's connection.  All
 * lanes share one event loop, so that the pauses of many endpoints overlap.
 */

#include "gate.h"

#include <http_parser.h>

#define STREAM_MAX_ATTEMPTS 4 /* of one request */
#define STREAM_MAX_SESSIONS 3 /* of one lane */
#define STREAM_MAX_NODES 4 /* of a lane's pool */

enum run_kind {
	RUN_EVENTS, /* an event stream */
	RUN_REFUSES, /* reports that it did not execute the request */
	RUN_STATUS, /* a status other than 200 */
	RUN_PLAIN_BODY /* 200 with a body that is no event stream */
};

enum run_framing { BY_CHUNKS, BY_LENGTH, BY_CLOSE };
enum run_lines { LINES_LF, LINES_CRLF, LINES_CR };
enum run_end {
	END_COMPLETE, /* the whole response is sent */
	END_CLOSE,
	END_RESET,
	END_SILENT, /* stops sending, keeps the connection open */
	END_AFTER_PAUSE /* complete; pauses for about the gateway's timeout */
};
/* How a response is divided into writes. */
enum run_split {
	SPLIT_NONE,
	SPLIT_RANDOM,
	SPLIT_WINDOW, /* byte by byte around the middle or the end */
	SPLIT_BYTES /* byte by byte if short, else about 600 writes */
};
/* An unsolicited response after a complete one. */
enum run_extra {
	EXTRA_NONE,
	EXTRA_AT_ONCE, /* appended to the response */
	EXTRA_LATER /* sent just before the next response */
};

/** struct run_script - how an endpoint answers one request. */
struct run_script {
	enum run_kind kind;
	uint32_t status;
	bool stamped; /* sends X-Response-Stamp */
	bool restarts; /* begins at piece 1 and ignores Last-Event-Id */
	/*
	 * Piece that is left out; 0: none.  Piece 1 is left out only by an
	 * endpoint that has shown that its ids start at 1: the gateway can't
	 * detect it elsewhere.
	 */
	uint32_t skip_piece;
	uint32_t dup_piece; /* piece that is sent twice; 0: none */
	bool truncates_event; /* last event is cut, HTTP framing is complete */
	bool noisy; /* adds comments, events without data, empty lines */
	bool leading_comment; /* a comment precedes the first event */
	bool interim; /* drawn and printed; no 1xx response is sent */
	bool closes_conn; /* sends Connection: close */
	enum run_extra extra;
	enum run_framing framing;
	enum run_lines lines;
	enum run_end end;
	uint32_t cut_at; /* byte offset of the end, modulo the length */
	enum run_split split;
	uint32_t seed; /* of noise, chunk sizes and writes */
};

/** struct stream_attempt - an attempt that reached an endpoint. */
struct stream_attempt {
	const struct run_script *script;
	bool *ids_from_1; /* the endpoint's flag in its lane */
	char *stamp;
	char *body; /* of the response, without framing */
	bool not_executed; /* the response head that says so was sent */
	bool valid; /* continues at the requested piece, to the end */
	bool from_first; /* a valid stream that begins with piece 1 */
	bool head_sent; /* the whole response head was sent */
	uint32_t pause_at; /* byte offset of the pause */
	enum run_end end; /* may differ from the script's */
};

enum stream_route {
	ROUTE_RESUME, /* a stream that another endpoint may continue */
	ROUTE_ONCE, /* a stream that is executed at most once */
	ROUTE_PLAIN /* not a stream; may be executed more than once */
};

struct stream_lane;

/** struct stream_session - a request, its scripts and what the caller got. */
struct stream_session {
	struct stream_lane *lane;
	uint32_t index; /* in its lane */
	char *id;
	enum stream_route route;
	uint32_t max_attempts;
	uint32_t n_pieces; /* of the full stream, numbered from 1 */
	uint32_t filler_bytes; /* additional bytes of each piece */
	uint32_t seed; /* of the pieces' data */
	uint32_t last_piece; /* Last-Event-Id of the caller; 0: none */
	bool has_silence; /* an endpoint pauses or falls silent */
	uint32_t deadline_ms;
	bool http10;
	bool keeps_conn; /* the caller reuses its connection */
	uint32_t close_after_bytes; /* caller hangs up; 0: it does not */
	uint32_t read_bytes; /* per slow read; 0: reads without pauses */
	struct run_script scripts[STREAM_MAX_ATTEMPTS];
	/* seen by the endpoints */
	struct stream_attempt attempts[STREAM_MAX_ATTEMPTS];
	uint32_t n_attempts; /* may exceed the size of @attempts */
	/* seen by the caller */
	http_parser parser;
	uint32_t status; /* 0: no response head received */
	GString *field;
	GString *value;
	bool in_value;
	char *content_type;
	char *stamp;
	GString *body;
	GString *raw;
	bool complete;
	bool reset;
	bool hung_up; /* the caller closed its connection early */
	uint32_t stray_bytes; /* received outside the response */
};

struct stream_rig;

/** struct stream_lane - one caller with its pool and sessions. */
struct stream_lane {
	struct stream_rig *rig;
	uint32_t seed;
	struct stream_session sessions[STREAM_MAX_SESSIONS];
	uint32_t n_sessions;
	uint32_t n_nodes;
	/* per node: the gateway has seen a stream with ids from 1 */
	bool ids_from_1[STREAM_MAX_NODES];
	uint32_t current; /* index of the running session */
	int fd; /* the caller's connection, -1: none */
	struct mh_timer *timer;
};

/** stream_rig_create() - @on_session_end is called as each session ends. */
struct stream_rig *stream_rig_create(
    void (*on_session_end)(const struct stream_session *s));
void stream_rig_destroy(struct stream_rig *r);
/**
 * stream_rig_add_lane() - adds a lane of @n sessions without scripts and
 * STREAM_MAX_NODES nodes.  The rig owns it.
 */
struct stream_lane *stream_rig_add_lane(
    struct stream_rig *r, uint32_t seed, uint32_t n);
/** stream_rig_run() - runs all lanes; false if they do not end in time. */
bool stream_rig_run(struct stream_rig *r);

/**
 * stream_piece_data() - the data of a piece, one or more lines separated by
 * LF.  The caller frees it.
 */
char *stream_piece_data(const struct stream_session *s, uint32_t piece);
/**
 * stream_response() - the bytes that an endpoint sends for an attempt.
 * @t: its script, ids_from_1 and stamp are read, its other fields are set
 * @after: Last-Event-Id of the request; 0: none
 * @deferred: bytes of an earlier stray response, put before this one
 *
 * The caller frees the result and @t->body.
 */
GString *stream_response(const struct stream_session *s,
    struct stream_attempt *t, uint32_t after, const GString *deferred);
/** stream_extra_response() - an unsolicited response to this session. */
GString *stream_extra_response(const struct stream_session *s);
/** stream_draw() - draws the sessions of a lane from @g. */
void stream_draw(struct stream_lane *l, GRand *g);
/** stream_describe() - a session as text for a report; the caller frees it. */
char *stream_describe(const struct stream_session *s);

#endif
