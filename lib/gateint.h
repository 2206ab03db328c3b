#ifndef GATEINT_H
#define GATEINT_H

/* Internal to the gateway, gate*.c. */

#include "gate.h"

#define MH_GRUNS 16

/** struct mh_grun_times - latest times from sending to the end of answers. */
struct mh_grun_times {
	int64_t us[MH_GRUNS];
	uint32_t n;
	uint32_t next;
};

struct mh_gate {
	struct mh_kern *k;
	struct mh_fleet *f;
	struct mh_place *place;
	struct mh_budget *budget;
	struct mh_origins *origins;
	struct mh_gate_ops ops;
	struct mh_gconf *conf;
	/* for how long @conf has been stale, 0: it is not; NULL: never */
	int64_t (*stale_us)(void *arg);
	void *stale_arg;
	int64_t max_stale_us; /* older ones refuse all requests; 0: never */
	bool overdue; /* the excess was logged */
	char *domain;
	uint32_t entries; /* processes like this one, itself included */
	GHashTable *requests; /* set of struct mh_greq */
	GPtrArray *feeding; /* struct mh_greq, whose engine may read inputs */
	int64_t exit_us; /* when this process exits; 0: not draining */
	int64_t streams_by_us; /* later streams are refused while draining */
	uint64_t routes_hash; /* of what leads streams to pools */
	GHashTable *max_deadlines; /* route -> longest one given, int64_t us */
	GHashTable *sizes; /* route -> mean weighted tokens, double */
	GHashTable *runs; /* route -> struct mh_grun_times */
};

/**
 * mh_gate_try_next() - sends it to the next endpoint, waits for a time slot of
 * a cold one, restarts its stage work, or ends it.
 */
void mh_gate_try_next(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_refuse() - ends it with an answer of the gateway's own. */
void mh_gate_refuse(struct mh_gate *g, struct mh_greq *q,
    enum mh_gate_refusal why, int64_t retry_us);
/** mh_gate_refuse_quarantined() - refuses it if quarantined; true if so. */
bool mh_gate_refuse_quarantined(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_close() - ends its try and its job and removes it. */
void mh_gate_close(struct mh_gate *g, struct mh_greq *q, bool abort);
/** mh_gate_fill_place() - fills in what placement needs of it. */
void mh_gate_fill_place(
    struct mh_gate *g, const struct mh_greq *q, struct mh_place_request *a);
/** mh_gate_log_end() - logs its outcome. */
void mh_gate_log_end(struct mh_gate *g, const struct mh_greq *q,
    const char *outcome, int64_t retry_us);
/**
 * mh_gate_limit_us() - the absolute time at which it is given up on.
 *
 * That is its caller's or the route's limit.  While this process drains, it is
 * no later than the last moment at which it can still be answered here.
 */
int64_t mh_gate_limit_us(const struct mh_gate *g, const struct mh_greq *q);
/** mh_gate_log_cut() - logs a request that is open when the gateway ends. */
void mh_gate_log_cut(struct mh_gate *g, const struct mh_greq *q);
/** mh_gate_stream_after() - id of the last event the caller has, or "-". */
const char *mh_gate_stream_after(const struct mh_greq *q);
#define MH_PARTS_LEN (MH_PARTS_MAX * 17)
/** mh_gate_parts_text() - the parts that others may share, for the log. */
const char *mh_gate_parts_text(
    const struct mh_greq *q, char text[MH_PARTS_LEN]);
/** mh_gate_stream_buffered() - buffered bytes of an incomplete event. */
size_t mh_gate_stream_buffered(const struct mh_greq *q);
/** mh_gate_can_resume() - another run can continue what the caller has. */
bool mh_gate_can_resume(const struct mh_greq *q);
/** mh_gate_read_events() - reads the rest of the try's answer as a stream. */
void mh_gate_read_events(struct mh_gate *g, struct mh_try *t);
/** mh_gate_note_ids() - records how @n numbers events; @n may be NULL. */
void mh_gate_note_ids(struct mh_node *n, const struct mh_try *t);
/** mh_gate_set_limit() - restarts the expiry timer by mh_gate_limit_us(). */
void mh_gate_set_limit(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_out_of_time() - refuses it, by whether it may have run. */
void mh_gate_out_of_time(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_ends_in_time() - a new request should end before the process. */
bool mh_gate_ends_in_time(const struct mh_gate *g, const struct mh_greq *q);
/** mh_gate_note_run() - records how long a complete answer took. */
void mh_gate_note_run(struct mh_gate *g, const struct mh_greq *q);
/**
 * mh_gate_client_timeout_us() - how long callers of a stream wait for an event.
 */
int64_t mh_gate_client_timeout_us(const struct mh_groute *r);
/** mh_gate_note_routes() - another configuration is in force. */
void mh_gate_note_routes(struct mh_gate *g);
/**
 * mh_gate_take_up() - finds the version of a stream that the request takes up.
 *
 * Return: false if it has ended, or goes on when the version is known.
 */
bool mh_gate_take_up(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_start() - starts the work on an admitted request. */
void mh_gate_start(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_note_began() - the head of a stream goes to the caller. */
void mh_gate_note_began(struct mh_gate *g, struct mh_greq *q, struct mh_try *t);
/** mh_gate_end_try() - frees a try, which is no longer in flight. */
void mh_gate_end_try(struct mh_gate *g, struct mh_try *t, bool abort);
/** mh_gate_stop_search() - ends what is done to begin the next try. */
void mh_gate_stop_search(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_may_retry() - its route allows another run. */
bool mh_gate_may_retry(const struct mh_greq *q);
/** mh_gate_count_run() - the endpoint may have begun to work on it. */
void mh_gate_count_run(struct mh_greq *q, struct mh_try *t);
/** mh_gate_has_other() - another run could begin now. */
bool mh_gate_has_other(struct mh_gate *g, const struct mh_greq *q);
/** mh_gate_watch() - restarts the limit for the silence of the current run. */
void mh_gate_watch(struct mh_gate *g, struct mh_greq *q);
void mh_gate_set_silence_timer(
    struct mh_gate *g, struct mh_greq *q, int64_t us);
/* gatewait.c: what a request without a run waits for */

/** mh_gate_wait_begin() - begins a wait, and stops the one before it. */
struct mh_gwait *mh_gate_wait_begin(
    struct mh_gate *g, struct mh_greq *q, enum mh_gwait_kind kind);
/** mh_gate_wait_for_us() - waits for @us, then leads to the next try. */
void mh_gate_wait_for_us(
    struct mh_gate *g, struct mh_greq *q, enum mh_gwait_kind kind, int64_t us);
/** mh_gate_wait_over() - what it waited for has come. */
void mh_gate_wait_over(struct mh_greq *q);
/** mh_gate_wait_stop() - it waits no more; of its jobs, an open one ends. */
void mh_gate_wait_stop(struct mh_gate *g, struct mh_greq *q);
/* gatesilent.c: runs at silent endpoints */

/** mh_gate_is_silent() - it is a silent run of its request. */
bool mh_gate_is_silent(const struct mh_try *t);
/** mh_gate_end_silent() - a silent run has ended, or is ended by @abort. */
void mh_gate_end_silent(struct mh_gate *g, struct mh_try *t, bool abort);
/** mh_gate_end_all_silent() - another run has begun, or the request ends. */
void mh_gate_end_all_silent(struct mh_gate *g, struct mh_greq *q);
/**
 * mh_gate_fall_back() - no other run can begin: the silent one goes on.
 * @retry_us: time until another is looked for, at least
 *
 * Return: false if none is open, or its time is over.
 */
bool mh_gate_fall_back(struct mh_gate *g, struct mh_greq *q,
    enum mh_gate_refusal why, int64_t retry_us);
/** mh_gate_on_silence() - the current run (struct mh_greq) is silent. */
void mh_gate_on_silence(void *arg);
/* gatefeed.c: inputs of runs, and when they are freed */

/** mh_gate_release_job() - frees its job and the results; stops the watch. */
void mh_gate_release_job(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_feed() - @t goes to @n: watches for its reading of the inputs. */
void mh_gate_feed(struct mh_gate *g, struct mh_try *t, const struct mh_node *n);
/** mh_gate_feed_again() - a silent run is the current one: watches it. */
void mh_gate_feed_again(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_feed_begun() - the current run has begun to answer. */
void mh_gate_feed_begun(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_feed_heard() - the endpoint of @t has sent bytes of its answer. */
void mh_gate_feed_heard(struct mh_gate *g, const struct mh_try *t);
/** mh_gate_keeps_job() - a run @t of @q may still read its job's results. */
bool mh_gate_keeps_job(
    const struct mh_gate *g, const struct mh_greq *q, const struct mh_try *t);
/* gatepoison.c: requests and parts of prompts that crash endpoints */

/**
 * mh_gate_parts() - names of those parts of a prompt that others may have.
 *
 * Return: their number; all but the last part.
 */
uint32_t mh_gate_parts(const struct mh_greq *q, uint64_t names[MH_PARTS_MAX]);
/** mh_gate_note_break() - a call to @n has broken; NULL: not listed. */
void mh_gate_note_break(
    struct mh_gate *g, const struct mh_try *t, const struct mh_node *n);
/** mh_gate_note_answering() - the endpoint of @t has sent an event. */
void mh_gate_note_answering(struct mh_gate *g, struct mh_try *t);
/** mh_gate_note_parts() - an endpoint has answered the request. */
void mh_gate_note_parts(struct mh_gate *g, const struct mh_greq *q);

/**
 * mh_gate_must_confirm() - asks the endpoint for its start, if it may have
 * restarted as another version; true: the request waits for that.
 */
bool mh_gate_must_confirm(
    struct mh_gate *g, struct mh_greq *q, const struct mh_node *n);
/** mh_gate_forget_mute() - endpoints that did not answer may be asked again. */
void mh_gate_forget_mute(struct mh_greq *q);
/** mh_gate_wait_for_version() - waits for an endpoint of its version; true. */
bool mh_gate_wait_for_version(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_start_job() - submits the stage work of a request. */
void mh_gate_start_job(struct mh_gate *g, struct mh_greq *q);

#endif
