#ifndef STREAMRIG_H
#define STREAMRIG_H

/*
 * Sessions of streams over sockets on loopback: callers, a front with its
 * gate, and endpoints that answer each sending as a script says.  A lane is
 * one caller with a pool of its own; its sessions follow each other over
 * connections that are kept.  All lanes share one loop, so that the silences
 * of many endpoints pass at the same time.
 */

#include "gate.h"

#include <http_parser.h>

#define STREAM_TRIES 4 /* sendings of one request at most */
#define STREAM_SESSIONS 3 /* of one lane at most */
#define STREAM_NODES 4 /* of a lane's pool at most */

enum srun_kind {
	RUN_EVENTS,
	RUN_REFUSES, /* says that it has not run the request */
	RUN_STATUS, /* another status than 200 */
	RUN_BYTES /* 200, and no stream */
};

enum srun_framing { BY_CHUNKS, BY_LENGTH, BY_CLOSE };
enum srun_lines { LINES_LF, LINES_CRLF, LINES_CR };
enum srun_end {
	END_WHOLE,
	END_CLOSE,
	END_RESET,
	END_SILENT,
	END_LATE /* whole, after a pause about as long as entries wait */
};
enum srun_split { SPLIT_NOT, SPLIT_SOME, SPLIT_WINDOW, SPLIT_BYTES };
enum srun_extra { EXTRA_NONE, EXTRA_AT_ONCE, EXTRA_LATER };

/** struct srun - what an endpoint does with a request. */
struct srun {
	enum srun_kind kind;
	uint32_t status;
	bool stamped;
	bool anew; /* begins at the first piece, whatever it is asked for */
	/* a piece that it leaves out; 0: none; 1 only where it was shown */
	uint32_t skips;
	uint32_t twice; /* a piece that it sends twice; 0: none */
	bool half; /* its frame is whole, its last event is not */
	bool noisy; /* comments, events without data, empty lines */
	bool hello; /* a comment comes before the first event */
	bool interim; /* an answer of 1xx comes first */
	bool closes; /* the connection, behind a whole answer */
	enum srun_extra extra; /* an answer that nobody asked for follows */
	enum srun_framing framing;
	enum srun_lines lines;
	enum srun_end end;
	uint32_t cut; /* the byte before which it ends, modulo its length */
	enum srun_split split;
	uint32_t seed; /* of noise, chunks and splits */
};

/** struct stry - a sending that reached an endpoint. */
struct stry {
	const struct srun *run;
	bool *counts; /* of its endpoint */
	char *stamp;
	char *body; /* of an answer that is no stream */
	bool refused; /* its caller can know that it has not run */
	bool sound; /* goes on where it is to, up to the end */
	bool from_one; /* a stream that begins with its first piece */
	bool head; /* all of its head was sent */
	uint32_t pause_at; /* the byte before which it pauses */
	enum srun_end end; /* may be another than the script's */
};

enum sroute { ROUTE_RESUMED, ROUTE_ONCE, ROUTE_PLAIN };

struct slane;

/** struct ssession - one request, its script, and what its caller got. */
struct ssession {
	struct slane *lane;
	uint32_t at; /* of its lane */
	char *id;
	enum sroute route;
	uint32_t attempts;
	uint32_t pieces; /* of the true stream, numbered from 1 */
	uint32_t filler; /* bytes of each, besides */
	uint32_t seed; /* of their data */
	uint32_t after; /* what its caller has already; 0: nothing */
	bool hangs; /* one of its runs falls silent */
	uint32_t deadline_ms;
	bool http10;
	bool keeps; /* the caller keeps its connection */
	uint32_t leaves; /* after so many bytes; 0: it stays */
	uint32_t reads; /* bytes at a time, with pauses; 0: all there is */
	struct srun runs[STREAM_TRIES];
	/* seen by the endpoints */
	struct stry tries[STREAM_TRIES];
	uint32_t n_tries; /* may be more than there is room for */
	/* seen by the caller */
	http_parser parser;
	uint32_t status; /* 0: no head has come */
	GString *field;
	GString *value;
	bool in_value;
	char *type;
	char *stamp;
	GString *body;
	GString *raw;
	bool complete;
	bool reset;
	bool left; /* it hung up by itself */
	uint32_t stray; /* bytes behind a complete answer */
};

struct srig;

/** struct slane - sessions that follow each other. */
struct slane {
	struct srig *rig;
	uint32_t seed;
	struct ssession all[STREAM_SESSIONS];
	uint32_t n;
	uint32_t nodes;
	bool counts[STREAM_NODES]; /* it has shown a stream from piece 1 */
	uint32_t at; /* the session that is on */
	int fd; /* the caller's connection, -1: none */
	struct mh_timer *timer;
};

/** srig_create() - @judge is told of each session that has ended. */
struct srig *srig_create(void (*judge)(const struct ssession *s));
void srig_destroy(struct srig *r);
/**
 * srig_lane() - a lane of @n sessions, all fields of which are nought, and of
 * as many nodes as a request has sendings.
 */
struct slane *srig_lane(struct srig *r, uint32_t seed, uint32_t n);
/** srig_run() - plays all lanes; false when it took too long. */
bool srig_run(struct srig *r);

/** stream_data() - the data of a piece, of as many lines as it has breaks. */
char *stream_data(const struct ssession *s, uint32_t piece);
/**
 * stream_answer() - the bytes that a run sends of its answer.
 * @after: the last piece that it is told of
 * @owed: bytes that come before it on its connection
 */
GString *stream_answer(const struct ssession *s, struct stry *t, uint32_t after,
    const GString *owed);
/** stream_extra() - an answer like one to this session. */
GString *stream_extra(const struct ssession *s);
/** stream_draw() - the sessions of a lane, by its seed. */
void stream_draw(struct slane *l, GRand *g);
/** stream_script() - a session in words, for a report. */
char *stream_script(const struct ssession *s);

#endif
