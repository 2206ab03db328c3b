#ifndef GATE_H
#define GATE_H

/*
 * The gate: opaque HTTP requests passed on to the endpoints of a pool, with
 * the stage work that a request needs first.  Nothing here knows the names
 * that a platform gives its headers, calls or fields.
 */

#include "opaque.h"
#include "poison.h"

/** mh_ms() - microseconds as milliseconds, for log lines. */
static inline int64_t
mh_ms(int64_t us)
{
	return us / (int64_t)MH_US_PER_MS;
}

/* evlog.c: one line for each decision, bounded, to standard output */

struct mh_evlog;

/** mh_evlog_create() - owned by the kernel as service "evlog". */
void mh_evlog_create(struct mh_kern *k, int fd);
/** mh_event() - a line "ev=@kind ..."; dropped and counted over the rate. */
void mh_event(struct mh_kern *k, const char *kind, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* meter.c: latency histograms */

/** mh_meter_create() - owned by the kernel as service "meter". */
void mh_meter_create(struct mh_kern *k);
void mh_observe(struct mh_kern *k, const char *name, int64_t us);
/** mh_meter_text() - every histogram as Prometheus text. */
char *mh_meter_text(struct mh_kern *k);

/* gconf.c: what operators declare, as the gate uses it */

enum mh_repeat {
	MH_REPEAT_SAFE, /* may run more than once */
	MH_REPEAT_RESUME, /* a stream that another run may continue */
	MH_REPEAT_NEVER /* at most once */
};

#define MH_GSTAGES 8 /* stages of one route at most */

/** struct mh_gstage - one stage of work before the request itself. */
struct mh_gstage {
	char *pool;
	uint32_t after; /* bit mask of the stages whose results it needs */
	uint64_t result_bytes; /* about, of one result */
};

struct mh_gtarget {
	char *pool;
	double weight;
};

/* Versions share a route that did not change. */
struct mh_groute {
	int refs;
	uint64_t print[2]; /* of the text it was read from; 0: not known */
	char *name;
	char *host;
	char *prefix;
	bool stream;
	enum mh_repeat repeat;
	bool open_to_all; /* needs no key */
	int64_t timeout_us;
	int64_t aim_us;
	int64_t gap_aim_us; /* longest pause of a stream that is on time */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t attempts;
	GArray *targets; /* struct mh_gtarget */
	struct mh_gstage stages[MH_GSTAGES];
	uint32_t n_stages;
};

/** struct mh_gwork - how the endpoints of a stage pool take work. */
struct mh_gwork {
	uint32_t batch; /* pieces a call */
	uint32_t running; /* calls at once */
	int64_t call_us;
	int64_t item_us;
	uint64_t room_bytes; /* for results */
};

/** struct mh_gengine - the size of a pool's model engines. */
struct mh_gengine {
	uint32_t slots;
	uint64_t memory_tokens;
};

struct mh_gpool {
	char *name;
	uint32_t max_conns; /* to one endpoint, of all callers together */
	int64_t warmup_us; /* an endpoint is cold so long after its start */
	double cold_per_s; /* requests that a cold one bears; 0: any */
	bool is_work;
	struct mh_gwork work;
};

struct mh_gorg {
	char *name;
	int32_t priority; /* -1: the route's */
};

/** struct mh_gconf - one version of the configuration. */
struct mh_gconf {
	int refs;
	uint64_t version;
	GPtrArray *routes; /* struct mh_groute */
	GHashTable *pools; /* name -> struct mh_gpool */
	GHashTable *keys; /* key -> struct mh_gorg, not owned */
	GPtrArray *orgs; /* struct mh_gorg */
	struct mh_hlimits limits;
};

struct mh_gconf *mh_gconf_create(void);
struct mh_gconf *mh_gconf_ref(struct mh_gconf *c);
void mh_gconf_unref(struct mh_gconf *c);
struct mh_groute *mh_groute_create(void);
struct mh_groute *mh_groute_ref(struct mh_groute *r);
void mh_groute_unref(struct mh_groute *r);
/** mh_gconf_route() - longest prefix of that host, or NULL. */
struct mh_groute *mh_gconf_route(
    const struct mh_gconf *c, const char *host, const char *target);
struct mh_groute *mh_gconf_named(const struct mh_gconf *c, const char *name);
struct mh_gpool *mh_gconf_pool(const struct mh_gconf *c, const char *name);
/** mh_groute_pool() - a pool by the weights; @unit in [0, 1). */
const char *mh_groute_pool(const struct mh_groute *r, double unit);

/* fleet.c: the endpoints and what this process records of each */

/** enum mh_ids - how an endpoint numbers the events of its streams. */
enum mh_ids {
	MH_IDS_UNKNOWN,
	MH_IDS_COUNT, /* consecutive, from 0 or 1 */
	MH_IDS_LEAVE_OUT /* increasing, with gaps or from another number */
};

struct mh_fleet;

/**
 * struct mh_node - one incarnation of an endpoint.
 *
 * State about an endpoint is recorded under @id, so that it is dropped with the
 * incarnation.  @name is the same in every incarnation.
 */
struct mh_node {
	char *id;
	char *name;
	int64_t born_ms; /* Unix time of its start; 0: not reported */
	int64_t prev_start_ms; /* of the previous incarnation; 0: none */
	char *pool;
	char *addr;
	char *domain;
	uint32_t capacity;
	bool leaving;
	bool evacuated; /* its failure domain is: nothing is sent there */
	int64_t warm_at_us; /* cold before */
	int64_t row_warm_at_us; /* the same, by the row last applied */
	int64_t cold_until_us; /* cold before, whatever is reported */
	int64_t slot_from_us; /* while cold: no time slot of ours is sooner */
	int64_t sent_us; /* time of our last request there; 0: none */
	/* measured by this process or reported by the endpoint */
	uint32_t inflight; /* own calls */
	uint32_t running; /* this and the next two: last reported */
	uint32_t waiting;
	uint32_t slots;
	int64_t told_us; /* time of that report; 0: never */
	double pace; /* last reported time of work, relative to the usual */
	double pace_mean; /* moving average of the reports */
	int64_t pace_at_us; /* time of the last report; 0: never */
	double fail; /* moving average of failures, 0 to 1 */
	double took_us; /* moving average of the time to an answer */
	uint32_t streak; /* failures in a row */
	int64_t out_until_us; /* not chosen before, unless all are ejected */
	uint32_t ejections; /* ejections in a row */
	enum mh_ids ids; /* of its streams' events */
	uint32_t mark; /* the last reading of the registry that listed it */
	uint64_t hash; /* of its name: for slices and rendezvous hashing */
	uint32_t rank; /* by hash among those of its pool not draining... */
	uint32_t n_ranked; /* ...and how many of these there are */
	uint64_t kept_hash; /* of its id: for the prompts that it has cached */
};

/** struct mh_listing - a row of the registry. */
struct mh_listing {
	const char *name;
	int64_t born_ms; /* Unix time of its start; 0: not reported */
	const char *pool;
	const char *addr;
	const char *domain;
	uint32_t capacity;
	bool leaving;
	int64_t warm_us; /* remaining warm-up time */
};

struct mh_fleet *mh_fleet_create(struct mh_kern *k);
/** mh_fleet_conf() - sets the configuration with the warm-up of pools. */
void mh_fleet_conf(struct mh_fleet *f, struct mh_gconf *conf);
/**
 * mh_fleet_evacuate() - sets the evacuated failure domains.
 * @domains: all of their names, NULL-terminated
 */
void mh_fleet_evacuate(struct mh_fleet *f, const char *const *domains);
void mh_fleet_destroy(struct mh_fleet *f);
/**
 * mh_fleet_begin(), _list(), _end() - one complete reading of the registry.
 *
 * An endpoint that was not listed since _begin() is removed by _end().
 */
void mh_fleet_begin(struct mh_fleet *f);
void mh_fleet_list(struct mh_fleet *f, const struct mh_listing *l);
void mh_fleet_end(struct mh_fleet *f);
/** mh_fleet_on_gone() - called for each removed node; it may still serve. */
void mh_fleet_on_gone(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg);
/** mh_fleet_on_restart() - called with the old id after a restart. */
void mh_fleet_on_restart(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg);
struct mh_node *mh_fleet_find(struct mh_fleet *f, const char *id);
/**
 * mh_fleet_born() - an endpoint has reported its start time.
 *
 * A time other than the listed one means that it was restarted: its node is
 * removed and a new one takes its place.
 */
void mh_fleet_born(struct mh_fleet *f, const char *id, int64_t start_ms);
/** mh_fleet_at() - the listed endpoint at an address, or NULL. */
struct mh_node *mh_fleet_at(struct mh_fleet *f, const char *addr);
/** mh_fleet_pool() - the endpoints of a pool, or NULL; owned by the fleet. */
GPtrArray *mh_fleet_pool(struct mh_fleet *f, const char *pool);
/**
 * mh_fleet_slice() - the slice, of @count equal ones of its pool, with @n.
 *
 * The sizes of slices differ by one at most.  An added or removed endpoint
 * moves at most one endpoint across each border of two slices.
 *
 * Return: 0 to @count - 1, or @count if @n is draining.
 */
uint32_t mh_fleet_slice(
    struct mh_fleet *f, const struct mh_node *n, uint32_t count);
uint32_t mh_fleet_size(const struct mh_fleet *f);
/** mh_fleet_version() - grows if endpoints are added, removed, drained. */
uint64_t mh_fleet_version(const struct mh_fleet *f);
/** mh_node_told() - records the load that the endpoint reported. */
void mh_node_told(struct mh_fleet *f, struct mh_node *n, uint32_t running,
    uint32_t waiting, uint32_t slots);
/** mh_node_paced() - it reported that work takes @percent of usual time. */
void mh_node_paced(struct mh_fleet *f, struct mh_node *n, uint32_t percent);
/** mh_node_pace() - that as a factor; 1 if not reported, or too long ago. */
double mh_node_pace(const struct mh_fleet *f, const struct mh_node *n);
/** mh_node_warm() - it reported that it is cold for another @warm_us. */
void mh_node_warm(struct mh_fleet *f, struct mh_node *n, int64_t warm_us);
bool mh_node_cold(const struct mh_fleet *f, const struct mh_node *n);
/** mh_node_good() - records an answer after @took_us. */
void mh_node_good(struct mh_fleet *f, struct mh_node *n, int64_t took_us);
/** mh_node_bad() - records a failure, which may eject the endpoint. */
void mh_node_bad(struct mh_fleet *f, struct mh_node *n, const char *why);
/** mh_node_eject() - ejects it for a while, unless too few would remain. */
void mh_node_eject(struct mh_fleet *f, struct mh_node *n, const char *why);
/** mh_fleet_on_dead() - called by mh_node_dead(). */
void mh_fleet_on_dead(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg);
/** mh_node_dead() - records a failure: it could not be reached. */
void mh_node_dead(struct mh_fleet *f, struct mh_node *n, const char *why);
/** mh_node_usable() - not draining, evacuated or ejected. */
bool mh_node_usable(const struct mh_fleet *f, const struct mh_node *n);

/* place.c: choice of the endpoint for a request */

struct mh_place;

/** struct mh_prompt_part - a part of a prompt; others may have the same. */
struct mh_prompt_part {
	uint64_t id;
	uint32_t tokens;
};

#define MH_PARTS 16
#define MH_TRIED 8

/** struct mh_place_ask - a request to be placed; strings are borrowed. */
struct mh_place_ask {
	const char *pool;
	const char *domain; /* preferred failure domain, or NULL */
	uint32_t most; /* of our calls at an endpoint; 0: no limit */
	struct mh_prompt_part parts[MH_PARTS];
	uint32_t n_parts;
	const char *tried[MH_TRIED]; /* ids, not chosen again */
	uint32_t n_tried;
	/* requests to one cold endpoint from all entries; 0: no limit */
	double cold_per_s;
	const char *turn; /* id of the cold endpoint with a slot for it */
	int64_t wait_by_us; /* absolute: latest usable slot */
	int64_t wait_us; /* set if none is chosen: retry after it; 0: do not */
	const char *turn_at; /* id where a slot is reserved, or NULL */
	uint64_t apart; /* see poison.h; 0: choose by prompt, load */
	bool at_home; /* set by the choice: expected there */
};

struct mh_place *mh_place_create(struct mh_kern *k, struct mh_fleet *f);
void mh_place_destroy(struct mh_place *p);
/**
 * mh_place_on_rank() - sets the order of entries for a cold endpoint.
 * @fn: returns the rank of this entry there and sets @entries to the number of
 * entries, see mh_mesh_rank()
 */
void mh_place_on_rank(struct mh_place *p,
    uint32_t (*fn)(void *arg, const char *endpoint, uint32_t *entries),
    void *arg);
/**
 * mh_place_pick() - the endpoint to try next, or NULL.
 *
 * NULL with @a->wait_us set: retry after that time.
 */
struct mh_node *mh_place_pick(struct mh_place *p, struct mh_place_ask *a);
/** mh_place_home() - the endpoint expected to have the prompt, or NULL. */
const struct mh_node *mh_place_home(
    struct mh_place *p, const struct mh_place_ask *a);
/** mh_place_sent() - @a went to @n, which will cache the prompt's parts. */
void mh_place_sent(
    struct mh_place *p, const struct mh_place_ask *a, struct mh_node *n);

/* budget.c: repeats as a share of recent requests */

struct mh_budget;

struct mh_budget_args {
	double ratio; /* repeats a request */
	double slack; /* repeats a window besides, of all entries */
	int64_t window_us;
};

struct mh_budget *mh_budget_create(
    struct mh_kern *k, const struct mh_budget_args *a);
void mh_budget_destroy(struct mh_budget *b);
/** mh_budget_set() - other bounds, from now on. */
void mh_budget_set(struct mh_budget *b, const struct mh_budget_args *a);
/** mh_budget_entries() - the slack is shared by so many processes. */
void mh_budget_entries(struct mh_budget *b, uint32_t n);
void mh_budget_first(struct mh_budget *b, const char *pool);
/** mh_budget_take() - whether a repeat is allowed; counts it if so. */
bool mh_budget_take(struct mh_budget *b, const char *pool);

/* cell.c: the stage work of many requests, batched */

struct mh_cell;

/** struct mh_jstage - one stage of a job. */
struct mh_jstage {
	char *pool;
	uint32_t after; /* bit mask */
	uint32_t pieces; /* 0: left out */
	uint64_t result_bytes;
	GPtrArray *results; /* char *, NULL where not made yet */
};

enum mh_job_end {
	MH_JOB_DONE,
	MH_JOB_REFUSED, /* can't be served in time: not run */
	MH_JOB_FAILED, /* tried, and given up on */
	MH_JOB_HELD, /* endpoints end under its request: not run any more */
	MH_JOB_MOVED /* to another home, with what was made of it */
};

/** struct mh_job - the stage work of one request. */
struct mh_job {
	char *id;
	char *key; /* what stages without inputs are given */
	char *domain; /* where its results will be read, NULL: not known */
	char *route;
	uint64_t print; /* of its request, see poison.h; 0: not known */
	uint32_t priority;
	double weight; /* its worth over the mean of its route, 0: unknown */
	bool returned; /* the caller was refused before */
	bool moved; /* another home had it before */
	int64_t arrived_us;
	int64_t aim_us; /* absolute: the stages' share of the aim */
	int64_t deadline_us; /* absolute */
	struct mh_jstage stages[MH_GSTAGES];
	uint32_t n_stages;
	void *owner; /* the submitter's own */
	struct mh_cell *cell; /* that took it, or NULL */
	struct mh_jstate *state; /* cell.c's own */
};

struct mh_job *mh_job_create(const char *id);
void mh_job_destroy(struct mh_job *j);
/** mh_job_stage_made() - every result of a stage is there. */
bool mh_job_stage_made(const struct mh_jstage *st);
/** mh_job_made() - sets the results of a stage; "": not made yet. */
void mh_job_made(
    struct mh_job *j, uint32_t stage, char *const *results, size_t n);
/** mh_job_forget_read() - drops results that no stage still to do reads. */
void mh_job_forget_read(struct mh_job *j);
/** mh_job_wants() - a stage is to be done: its results are still read. */
bool mh_job_wants(const struct mh_job *j, uint32_t stage);
/** mh_job_finals() - results that no other stage takes, comma-separated. */
char *mh_job_finals(const struct mh_job *j);

/** struct mh_batch_item - one piece in a call. */
struct mh_batch_item {
	struct mh_job *job; /* NULL: its caller left meanwhile */
	uint32_t stage;
	uint32_t piece;
	uint64_t bytes; /* room that its result takes */
	char *result; /* NULL: not made */
	bool inputs_gone;
	bool no_room;
};

/** struct mh_batch - one call to an endpoint of a stage pool. */
struct mh_batch {
	uint64_t id;
	char *node;
	const char *node_name; /* interned, outlives the batch */
	char *pool;
	GArray *items; /* struct mh_batch_item */
	int64_t sent_us;
	int64_t expect_us; /* how long it should take */
	bool doubled; /* its pieces were given to another endpoint */
	bool broke; /* its connection broke off: the endpoint may have ended */
	uint32_t others; /* calls waiting there when it ended */
	struct mh_cell *cell;
	struct mh_timer *fed; /* when its inputs will have been read */
	bool freed; /* they were taken as read, and freed */
	void *call; /* the runner's own */
};

enum mh_batch_end {
	MH_BATCH_DONE, /* items are filled in */
	MH_BATCH_FULL, /* the endpoint did not take it */
	MH_BATCH_LOST /* no answer */
};

/** struct mh_work_report - what a stage endpoint says of itself. */
struct mh_work_report {
	int64_t born_ms; /* Unix time of its start; 0: not told */
	uint32_t running; /* calls in work */
	uint32_t waiting;
};

struct mh_cell_ops {
	void (*run)(void *arg, struct mh_batch *b);
	void (*abort)(void *arg, struct mh_batch *b);
	/* a stage of @j is done, and more is to come, or it was and is to be
	 * made again; NULL: nobody cares */
	void (*step)(void *arg, struct mh_job *j, uint32_t stage);
	/* @j is the submitter's to destroy; its results stay to be freed */
	void (*end)(
	    void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us);
	void (*discard)(void *arg, const char *result);
	/* asks an endpoint for its report: mh_cell_told(); NULL: can't */
	void (*ask)(void *arg, struct mh_cell *c, const char *node);
	void *arg;
};

/** mh_cell_create() - @budget bounds repeated pieces; not owned. */
struct mh_cell *mh_cell_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_budget *budget, const struct mh_cell_ops *ops);
void mh_cell_destroy(struct mh_cell *c);
/** mh_cell_slice() - it has one of @count shares of every pool. */
void mh_cell_slice(struct mh_cell *c, uint32_t index, uint32_t count);
void mh_cell_conf(struct mh_cell *c, struct mh_gconf *conf);
void mh_cell_submit(struct mh_cell *c, struct mh_job *j);
/** mh_cell_cancel() - forgets the job without calling end(). */
void mh_cell_cancel(struct mh_cell *c, struct mh_job *j);
void mh_cell_batch_end(
    struct mh_cell *c, struct mh_batch *b, enum mh_batch_end end);
/** mh_cell_told() - an endpoint's report; NULL: none came. */
void mh_cell_told(
    struct mh_cell *c, const char *node, const struct mh_work_report *r);
/** mh_cell_restarted() - an endpoint has ended, its calls and results too. */
void mh_cell_restarted(struct mh_cell *c, const char *node);
/** mh_cell_release() - the results of a job that has ended are free. */
void mh_cell_release(struct mh_cell *c, struct mh_job *j);
/**
 * mh_cell_leave() - the jobs it has end as moved, each once none of its pieces
 * is in a call, with what is made of them.
 */
void mh_cell_leave(struct mh_cell *c);
/** mh_cell_held() - jobs of that print end: endpoints end under it. */
void mh_cell_held(struct mh_cell *c, uint64_t print);
/** mh_cell_idle() - whether it has no jobs. */
bool mh_cell_idle(const struct mh_cell *c);
/** mh_cell_backlog_us() - how long a new piece would wait at a pool. */
int64_t mh_cell_backlog_us(struct mh_cell *c, const char *pool);

/* cells.c: the cells of a process */

struct mh_cells;

#define MH_SLICES 64 /* shares of the stage pools at most */

struct mh_cells *mh_cells_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_budget *budget, const struct mh_cell_ops *ops);
void mh_cells_destroy(struct mh_cells *cs);
void mh_cells_conf(struct mh_cells *cs, struct mh_gconf *conf);
void mh_cells_leave(struct mh_cells *cs);
/** mh_cells_each() - calls @fn for each cell; it may have cells made. */
void mh_cells_each(struct mh_cells *cs,
    void (*fn)(void *arg, struct mh_cell *c, uint32_t index, uint32_t count),
    void *arg);
/** mh_cells_discard() - frees a result that no cell of ours knows. */
void mh_cells_discard(struct mh_cells *cs, const char *result);
void mh_cells_restarted(struct mh_cells *cs, const char *node);
/** mh_cells_held() - mh_cell_held() of every cell. */
void mh_cells_held(struct mh_cells *cs, uint64_t print);
/** mh_cells_get() - the cell of a slice, made when first asked for. */
struct mh_cell *mh_cells_get(
    struct mh_cells *cs, uint32_t index, uint32_t count);
/** mh_cells_count() - slices that the pools are divided into now. */
uint32_t mh_cells_count(struct mh_cells *cs);
/** mh_cells_share() - a slice's part of the pools it has least of. */
double mh_cells_share(struct mh_cells *cs, uint32_t index);
/** mh_cells_pick() - one of @some slices by their shares; @unit in [0, 1). */
uint32_t mh_cells_pick(
    struct mh_cells *cs, const uint32_t *some, uint32_t n, double unit);

/* sse.c: whole events of a stream, and where it stands */

/** struct mh_cursor - where a stream stands, over all its runs. */
struct mh_cursor;
/**
 * mh_cursor_create() - at the beginning, or behind the event @after.
 * @after: an id, NULL: none.
 * @ordered: the stream's ids increase; one that does not is a fault.
 */
struct mh_cursor *mh_cursor_create(const char *after, bool ordered);
void mh_cursor_destroy(struct mh_cursor *c);
/** mh_cursor_lost() - behind the last number came events that have none. */
bool mh_cursor_lost(const struct mh_cursor *c);
/** mh_cursor_last_id() - the number of the last whole event, or NULL. */
const char *mh_cursor_last_id(const struct mh_cursor *c);

/** enum mh_sse_fault - why a run can't be passed on. */
enum mh_sse_fault {
	MH_SSE_GOOD,
	MH_SSE_REPEATED, /* an event that the stream has, or has passed */
	MH_SSE_SKIPPED, /* an event is missing before it */
	MH_SSE_TOO_LONG /* an event of more than 1 MiB */
};

/** mh_sse_fault_name() - as logs know it. */
const char *mh_sse_fault_name(enum mh_sse_fault f);

/** struct mh_sse - reads the events of one run. */
struct mh_sse;
/**
 * mh_sse_create() - moves @c, which outlives it.
 * @known: how its endpoint numbers events.
 */
struct mh_sse *mh_sse_create(struct mh_cursor *c, enum mh_ids known);
void mh_sse_destroy(struct mh_sse *s);
/**
 * mh_sse_feed() - appends to @out what completes events.
 *
 * Returns the fault of the first event that can't be passed on; nothing of it,
 * or behind it, is in @out, and the run is not to be read on.
 */
enum mh_sse_fault mh_sse_feed(
    struct mh_sse *s, const char *data, size_t len, GString *out);
/** mh_sse_ids() - how the run numbers events, if it began its stream. */
enum mh_ids mh_sse_ids(const struct mh_sse *s);
/** mh_sse_held() - bytes of an event that is not whole yet. */
size_t mh_sse_held(const struct mh_sse *s);

/* gate.c: one request from its arrival to its end */

struct mh_gate;

enum mh_gstate {
	MH_ASK_STAGES, /* its stage work is being done */
	MH_ASK_TRYING, /* an endpoint has it */
	MH_ASK_ANSWERING, /* the head of the answer was passed on */
	MH_ASK_ENDED
};

/** enum mh_gate_refusal - why the gate itself answers. */
enum mh_gate_refusal {
	MH_NOT_READY, /* not run: no configuration yet, or we leave */
	MH_NO_ROUTE,
	MH_BAD_KEY,
	MH_BAD_REQUEST,
	MH_TOO_BUSY, /* not run: come back later */
	MH_NO_ENDPOINT, /* not run: none could be reached */
	MH_NOT_IN_TIME, /* not run: its time was up before it was sent */
	MH_HELD, /* not run: endpoints end under it */
	MH_RUN_HELD, /* sent, and endpoints end under it */
	MH_RUN_FAILED, /* sent, and no whole answer came */
	MH_RUN_TIMEOUT /* sent, and its time is up */
};

/** struct mh_gask - one request, as the adapter decoded it. */
struct mh_gask {
	char *id;
	char *host;
	const char *target; /* the adapter's */
	char *key; /* NULL: none given */
	int64_t deadline_us; /* from its arrival; 0: not given */
	struct mh_prompt_part parts[MH_PARTS];
	uint32_t n_parts;
	uint32_t tokens_in;
	uint32_t tokens_out;
	uint32_t pieces[MH_GSTAGES];
	uint32_t n_pieces;
	char *piece_key;
	char *resume_after; /* id up to which its caller has it, or NULL */
	uint64_t print; /* fingerprint: equal when the same is asked again */
	void *wire; /* the adapter's own */
	/* below: the gate's */
	struct mh_gate *gate;
	enum mh_gstate state;
	struct mh_gconf *conf;
	struct mh_groute *route;
	struct mh_gorg *org;
	const char *pool;
	int64_t arrived_us;
	int64_t first_us; /* when the caller first asked, as far as known */
	int64_t aim_us; /* absolute */
	int64_t until_us; /* absolute: the caller's or the route's limit */
	int64_t first_by_us; /* absolute: its caller waits so long at most */
	uint32_t priority;
	bool returned;
	struct mh_job *job;
	char *inputs; /* results of its stages */
	struct mh_try *cur;
	char *tried[MH_TRIED];
	uint32_t n_tried;
	uint32_t runs; /* endpoints that may have run it */
	uint32_t jobs; /* times its stage work was asked for */
	bool passed_head;
	bool metered; /* its time to the answer was noted */
	struct mh_cursor *cursor; /* of its stream; NULL: it is none */
	int64_t last_data_us;
	struct mh_timer *until;
	struct mh_timer *patience;
	struct mh_timer *fed; /* when its inputs will have been read */
	struct mh_timer *turn; /* of a cold endpoint, when it comes */
	char *turn_at; /* that endpoint */
};

/** struct mh_try - one sending of a request to an endpoint. */
struct mh_try {
	struct mh_gask *ask;
	char *node; /* id */
	char *name; /* what the endpoint calls itself */
	char *addr;
	int64_t sent_us;
	int64_t head_us; /* its answer began; 0: not yet */
	int64_t left_us; /* what the endpoint is told */
	char *resume_after; /* id of the last event passed on */
	bool fresh; /* on a new connection */
	bool counted; /* among the runs of its request */
	struct mh_sse *events; /* NULL: no stream, or not begun */
	void *call; /* the adapter's own */
};

/** struct mh_gans - what an endpoint's head says, decoded. */
struct mh_gans {
	uint32_t status;
	bool not_run; /* it says that it did not run the request */
	bool moved; /* another endpoint has that address now */
	bool inputs_gone;
	bool genuine; /* signed, and its body unencoded */
	bool events; /* its body is a stream of events */
	bool told; /* the load below is given */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t pace_percent; /* time that work takes there now; 0: not told */
	bool told_warm; /* the time below is given */
	int64_t warm_us; /* it is cold for so long */
};

enum mh_verdict {
	MH_PASS, /* head and body go to the caller */
	MH_PASS_ON, /* the body continues an answer begun before */
	MH_DROP /* the gate went on without it: abort the call */
};

struct mh_gate_ops {
	void (*send)(void *arg, struct mh_try *t);
	void (*abort)(void *arg, struct mh_try *t);
	void (*refuse)(void *arg, struct mh_gask *q, enum mh_gate_refusal why,
	    int64_t retry_us);
	void (*finish)(void *arg, struct mh_gask *q); /* a complete answer */
	void (*break_off)(void *arg, struct mh_gask *q);
	void *arg; /* of the above */
	void (*submit)(void *jobs, struct mh_job *j);
	void (*cancel)(void *jobs, struct mh_job *j);
	void (*release)(void *jobs, struct mh_job *j);
	void *jobs; /* of these three */
};

struct mh_gate *mh_gate_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_place *p, struct mh_budget *b, const struct mh_gate_ops *ops,
    const char *domain);
void mh_gate_destroy(struct mh_gate *g);
void mh_gate_conf(struct mh_gate *g, struct mh_gconf *conf);
/**
 * mh_gate_on_unknown() - asked whether a later configuration is on its way.
 *
 * What ours does not know may stand in that one: it is refused for now.
 */
void mh_gate_on_unknown(
    struct mh_gate *g, int64_t (*behind_us)(void *arg), void *arg);
/**
 * mh_gate_conf_most() - once a later configuration has been on its way for so
 * long, requests are refused, not run by the one that we have; 0: never.
 */
void mh_gate_conf_most(struct mh_gate *g, int64_t most_us);
struct mh_gask *mh_gask_create(const char *id);
void mh_gask_destroy(struct mh_gask *q);
/** mh_gate_take() - a request has come; ends with one of refuse, finish or
 * break_off, unless mh_gate_gone() comes first. */
void mh_gate_take(struct mh_gate *g, struct mh_gask *q);
/** mh_gate_gone() - its caller left; the request is forgotten. */
void mh_gate_gone(struct mh_gate *g, struct mh_gask *q);
void mh_gate_job_end(
    struct mh_gate *g, struct mh_job *j, enum mh_job_end end, int64_t retry_us);
enum mh_verdict mh_gate_head(
    struct mh_gate *g, struct mh_try *t, const struct mh_gans *a);
/** mh_gate_progress() - a part of the answer has come. */
void mh_gate_progress(struct mh_gate *g, struct mh_try *t);
void mh_gate_end(struct mh_gate *g, struct mh_try *t, enum mh_hcall_end end);
/** mh_gate_spoiled() - what the try sends can't be passed on; ends it. */
void mh_gate_spoiled(struct mh_gate *g, struct mh_try *t, const char *why);
uint32_t mh_gate_open(const struct mh_gate *g);
/** mh_gate_open_at() - a try sent to @endpoint before @us is still open. */
bool mh_gate_open_at(const struct mh_gate *g, const char *endpoint, int64_t us);
/** mh_gate_held() - requests of that print end now: endpoints end under it. */
void mh_gate_held(struct mh_gate *g, uint64_t print);
/** mh_gate_refusal_name() - as logs, counters and callers know it. */
const char *mh_gate_refusal_name(enum mh_gate_refusal why);
/** mh_gate_entries() - so many processes share an endpoint's connections. */
void mh_gate_entries(struct mh_gate *g, uint32_t n);
/**
 * mh_gate_leaving() - this process ends in @left_us.
 *
 * Nothing is open any more by then: what was taken has been answered, broken
 * off or refused, and new requests are taken only if they surely end in time.
 */
void mh_gate_leaving(struct mh_gate *g, int64_t left_us);

#endif
