#ifndef GATE_H
#define GATE_H

/*
 * The gateway forwards opaque HTTP requests to the endpoints of a pool, after
 * the stage work that a request needs.  Nothing here depends on the names that
 * a platform gives its headers, calls or fields; an adapter translates them.
 */

#include "opaque.h"
#include "poison.h"

/** mh_ms() - microseconds as milliseconds, for log lines. */
static inline int64_t
mh_ms(int64_t us)
{
	return us / (int64_t)MH_US_PER_MS;
}

/* evlog.c: structured log, one line for each decision */

struct mh_evlog;

/** mh_evlog_create() - adds service "evlog", which writes lines to @fd. */
void mh_evlog_create(struct mh_kern *k, int fd);
/** mh_event() - logs "ev=@kind ..."; drops and counts lines above the rate. */
void mh_event(struct mh_kern *k, const char *kind, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* meter.c: latency histograms */

/** mh_meter_create() - adds service "meter", which the kernel owns. */
void mh_meter_create(struct mh_kern *k);
/** mh_observe() - adds @us to histogram @name, if there is a meter. */
void mh_observe(struct mh_kern *k, const char *name, int64_t us);
/** mh_meter_text() - all histograms as Prometheus text; g_free() it. */
char *mh_meter_text(struct mh_kern *k);

/* gconf.c: the operators' configuration, as the gateway uses it */

enum mh_repeat {
	MH_REPEAT_SAFE, /* may run more than once */
	MH_REPEAT_RESUME, /* a stream that another run can continue */
	MH_REPEAT_NEVER /* at most once */
};

/* Most stages of a route: sets of them are bit masks. */
#define MH_GSTAGES 32

/** struct mh_gstage - one stage of work that precedes the request. */
struct mh_gstage {
	char *pool;
	uint32_t after; /* bit mask of the stages whose results it needs */
	uint64_t result_bytes; /* approximate size of one result */
};

struct mh_gtarget {
	char *pool;
	double weight;
};

/** struct mh_groute - a route; unchanged routes are shared by versions. */
struct mh_groute {
	int refs;
	uint64_t text_hash[2]; /* hash of its JSON text; 0: unknown */
	char *name;
	char *host;
	char *prefix;
	bool stream;
	enum mh_repeat repeat;
	bool allow_anonymous; /* needs no key */
	int64_t timeout_us;
	int64_t slo_us; /* latency objective */
	int64_t gap_slo_us; /* objective of the pauses of a stream */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t attempts;
	GArray *targets; /* struct mh_gtarget */
	struct mh_gstage stages[MH_GSTAGES];
	uint32_t n_stages;
};

/** struct mh_gwork - batching and cost of a stage pool's endpoints. */
struct mh_gwork {
	uint32_t batch; /* most pieces of one call */
	uint32_t max_calls; /* calls that an endpoint runs at once */
	int64_t call_us; /* cost of a call */
	int64_t item_us; /* cost of a piece */
	uint64_t result_memory_bytes; /* of an endpoint; 0: unknown */
};

/** struct mh_gengine - the size of a pool's model engines. */
struct mh_gengine {
	uint32_t slots;
	uint64_t memory_tokens;
};

struct mh_gpool {
	char *name;
	uint32_t max_conns; /* to one endpoint, from all entries together */
	int64_t warmup_us; /* an endpoint is cold this long after its start */
	double cold_per_s; /* requests a cold endpoint can take; 0: any */
	bool is_work;
	struct mh_gwork work;
};

struct mh_gorg {
	char *name;
	int32_t priority; /* -1: that of the route */
};

/** struct mh_gconf - one version of the configuration. */
struct mh_gconf {
	int refs;
	uint64_t version;
	GPtrArray *routes; /* struct mh_groute */
	GHashTable *pools; /* name -> struct mh_gpool */
	/* key -> struct mh_gorg, not owned; NULL: two have it, nobody may */
	GHashTable *keys;
	bool needs_key; /* it names organisations, though they may have none */
	GPtrArray *faults; /* texts: what was left out as it is invalid */
	GPtrArray *orgs; /* struct mh_gorg */
	struct mh_hlimits limits;
};

struct mh_gconf *mh_gconf_create(void);
struct mh_gconf *mh_gconf_ref(struct mh_gconf *c);
void mh_gconf_unref(struct mh_gconf *c);
struct mh_groute *mh_groute_create(void);
struct mh_groute *mh_groute_ref(struct mh_groute *r);
void mh_groute_unref(struct mh_groute *r);
/** mh_gconf_route() - the longest matching prefix of @host, or NULL. */
struct mh_groute *mh_gconf_route(
    const struct mh_gconf *c, const char *host, const char *target);
struct mh_groute *mh_gconf_route_by_name(
    const struct mh_gconf *c, const char *name);
struct mh_gpool *mh_gconf_pool(const struct mh_gconf *c, const char *name);
/** mh_groute_pool() - a pool, by weight; @unit in [0, 1), NULL: no pools. */
const char *mh_groute_pool(const struct mh_groute *r, double unit);

/* fleet.c: the endpoints and what this process records of each */

/** enum mh_ids - how an endpoint numbers the events of its streams. */
enum mh_ids {
	MH_IDS_UNKNOWN,
	MH_IDS_CONSECUTIVE, /* consecutive, from 0 or 1 */
	MH_IDS_SPARSE /* increasing, with gaps or from another number */
};

/** struct mh_said - what one answer says of its endpoint. */
struct mh_said {
	int64_t sent_us; /* when its request was sent; 0: not known */
	bool is_work; /* work was done: it names a limit if there is one */
	bool has_limit;
	double limit_per_s; /* requests a second, from all entries together */
	bool leaving; /* it takes nothing new any more */
	int64_t rest_us; /* it wants nothing from us for so long; 0: none */
	bool malformed; /* a value that makes no sense was ignored */
};

/** enum mh_need - why nothing is sent to an endpoint now, by its own word. */
enum mh_need { MH_NEED_LEAVES, MH_NEED_RESTS, MH_NEED_LIMITS, MH_NEEDS };

/** struct mh_word - what an endpoint has said, as entries pass it on. */
struct mh_word {
	const char *endpoint; /* id of its incarnation */
	const char *from; /* the entry that sent it; NULL: an answer to us */
	uint64_t number; /* random; the same wherever it is passed on */
	int64_t at_us;
	double limit_per_s; /* 0: none */
	bool leaving; /* never taken back */
};

#define MH_WORDS_SEEN 8

/** struct mh_node_words - what an endpoint has said of itself. */
struct mh_node_words {
	uint64_t number; /* of the word in force; 0: none */
	uint64_t seen[MH_WORDS_SEEN]; /* the last words, a ring */
	uint32_t n_seen; /* in all */
	double limit_per_s; /* of requests by all entries; 0: none */
	int64_t limit_start_us; /* when a limit was named first */
	int64_t limit_at_us; /* when that was said last; 0: never */
	bool leaving; /* a later row does not undo it */
	int64_t rest_end_us; /* it has asked us to send nothing before */
};

/**
 * struct mh_node_silence - what silent calls have added to an endpoint's record
 * since it was heard last.
 */
struct mh_node_silence {
	uint32_t calls;
	uint32_t ejections; /* of those in a row */
	int64_t eject_until_us; /* end of its ejection for silence; 0: none */
	double sound_share; /* its fail_share without silent calls */
};

struct mh_fleet;

/* Version of an endpoint that has restarted and whose row is late. */
#define MH_VERSION_UNSURE 2

/* An endpoint that crashes starts again each second at most. */
#define MH_ENDED_STARTS 8

/**
 * struct mh_node - one incarnation of an endpoint.
 *
 * State about an endpoint is recorded under @id, so that it is dropped with the
 * incarnation.  @name is the same in every incarnation.
 */
struct mh_node {
	char *id;
	char *name;
	int64_t start_ms; /* Unix time of its start; 0: not reported */
	/* of previous incarnations, the latest first; 0: none */
	int64_t ended_ms[MH_ENDED_STARTS];
	char *pool;
	char *addr;
	char *domain;
	char *version; /* of its software; "": not reported */
	uint64_t version_key; /* hash of pool and version; 0: not reported */
	int64_t draining_us; /* when that was first known; 0: it never was */
	int64_t doubt_us; /* when a connection to it failed last; 0: never */
	uint32_t capacity;
	bool draining; /* by its row or by its own word */
	bool evacuated; /* its failure domain is: nothing is sent there */
	int64_t warm_at_us; /* cold before */
	int64_t row_warm_at_us; /* the same, by the row last applied */
	int64_t cold_until_us; /* cold before, whatever is reported */
	int64_t slot_from_us; /* while cold: no time slot of ours is sooner */
	int64_t sent_us; /* time of our last request there; 0: none */
	struct mh_node_words said;
	/* measured by this process or reported by the endpoint */
	uint32_t inflight; /* own calls */
	uint32_t running; /* this and the next two: last reported */
	uint32_t waiting;
	uint32_t slots;
	int64_t load_at_us; /* time of that report; 0: never */
	double pace; /* last reported time of work, relative to the usual */
	double pace_mean; /* moving average of the reports */
	int64_t pace_at_us; /* time of the last report; 0: never */
	double fail_share; /* moving average of failures, 0 to 1 */
	double took_us; /* moving average of the time to an answer */
	uint32_t streak; /* failures in a row */
	int64_t eject_until_us; /* not chosen before, unless all are ejected */
	int64_t heard_us; /* when a call last received bytes of it; 0: never */
	int64_t steady_us; /* it has been heard without a gap since then */
	struct mh_node_silence silence;
	uint32_t ejections; /* ejections in a row */
	enum mh_ids ids; /* of its streams' events */
	uint32_t mark; /* the last reading of the registry that listed it */
	uint64_t hash; /* of its name: for slices and rendezvous hashing */
	uint32_t rank; /* by hash among those of its pool not draining... */
	uint32_t n_ranked; /* ...and how many of these there are */
	uint64_t cache_hash; /* of its id: for the prompts that it has cached */
};

/** struct mh_listing - a row of the registry. */
struct mh_listing {
	const char *name;
	int64_t start_ms; /* Unix time of its start; 0: not reported */
	const char *pool;
	const char *addr;
	const char *domain;
	uint32_t capacity;
	bool draining;
	int64_t warm_us; /* remaining warm-up time */
	const char *version; /* of its software; NULL: not reported */
};

struct mh_fleet *mh_fleet_create(struct mh_kern *k);
/** mh_fleet_set_conf() - sets the configuration with the warm-up of pools. */
void mh_fleet_set_conf(struct mh_fleet *f, struct mh_gconf *conf);
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
/** mh_fleet_on_removed() - called for each removed node; it may still serve. */
void mh_fleet_on_removed(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg);
/** mh_fleet_on_restart() - called with the old id after a restart. */
void mh_fleet_on_restart(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg);
struct mh_node *mh_fleet_find(struct mh_fleet *f, const char *id);
/**
 * mh_fleet_set_start() - an endpoint has reported its start time.
 *
 * A time other than the listed one means that it was restarted: its node is
 * removed and a new one takes its place.
 */
void mh_fleet_set_start(struct mh_fleet *f, const char *id, int64_t start_ms);
/** mh_fleet_find_addr() - the listed endpoint at an address, or NULL. */
struct mh_node *mh_fleet_find_addr(struct mh_fleet *f, const char *addr);
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
/** struct mh_sole - the software version that alone serves a pool. */
struct mh_sole {
	bool is_sole; /* all listed endpoints have the same */
	uint64_t version; /* 0: none is reported */
	int64_t since_us; /* when that, or its opposite, began */
};
/** mh_fleet_sole() - @pool may have no endpoint: what it was last. */
struct mh_sole mh_fleet_sole(const struct mh_fleet *f, const char *pool);
/** mh_fleet_has_version() - whether an endpoint of the pool has it. */
bool mh_fleet_has_version(
    struct mh_fleet *f, const char *pool, uint64_t version);
/**
 * mh_fleet_set_drain() - a draining endpoint may get streams that go on for
 * @us after it is known to drain; 0: never.
 */
void mh_fleet_set_drain(struct mh_fleet *f, int64_t us);
/**
 * mh_node_takes_last() - whether a draining endpoint may get a stream that goes
 * on.
 */
bool mh_node_takes_last(const struct mh_fleet *f, const struct mh_node *n);
/**
 * mh_fleet_on_rows_age() - sets the query for the time since the rows were last
 * confirmed; without it they always are.
 */
void mh_fleet_on_rows_age(
    struct mh_fleet *f, int64_t (*fn)(void *arg), void *arg);
int64_t mh_fleet_rows_age_us(const struct mh_fleet *f);
/**
 * mh_fleet_restart_from_us() - an endpoint whose restart is found now did not
 * restart earlier.
 */
int64_t mh_fleet_restart_from_us(const struct mh_fleet *f);
/** mh_node_doubt() - a connection to it failed: it may have restarted. */
void mh_node_doubt(struct mh_fleet *f, struct mh_node *n);
/** mh_node_in_doubt() - whether it may be an incarnation not listed yet. */
bool mh_node_in_doubt(const struct mh_fleet *f, const struct mh_node *n);
uint32_t mh_fleet_size(const struct mh_fleet *f);
/** mh_fleet_version() - grows if endpoints are added, removed, drained. */
uint64_t mh_fleet_version(const struct mh_fleet *f);
/** mh_node_set_load() - records the load that the endpoint reported. */
void mh_node_set_load(struct mh_fleet *f, struct mh_node *n, uint32_t running,
    uint32_t waiting, uint32_t slots);
/** mh_node_set_pace() - it reported that work takes @percent of usual time. */
void mh_node_set_pace(struct mh_fleet *f, struct mh_node *n, uint32_t percent);
/** mh_node_pace() - that as a factor; 1 if not reported, or too long ago. */
double mh_node_pace(const struct mh_fleet *f, const struct mh_node *n);
/** mh_node_set_warmup() - it reported that it is cold for another @warm_us. */
void mh_node_set_warmup(struct mh_fleet *f, struct mh_node *n, int64_t warm_us);
bool mh_node_cold(const struct mh_fleet *f, const struct mh_node *n);
/** mh_node_succeeded() - records an answer after @took_us. */
void mh_node_succeeded(struct mh_fleet *f, struct mh_node *n, int64_t took_us);
/** mh_node_failed() - records a failure, which may eject the endpoint. */
void mh_node_failed(struct mh_fleet *f, struct mh_node *n, const char *why);
/**
 * mh_node_silent() - a call there is silent, though it may be sound.
 *
 * A failure until the endpoint is heard again.
 */
void mh_node_silent(struct mh_fleet *f, struct mh_node *n);
/** mh_node_heard() - bytes of it have arrived: it is not silent any more. */
void mh_node_heard(struct mh_fleet *f, struct mh_node *n);
/** mh_node_eject() - ejects it for a while, unless too few would remain. */
void mh_node_eject(struct mh_fleet *f, struct mh_node *n, const char *why);
/** mh_node_suspect() - as mh_node_eject(), until the endpoint is heard. */
void mh_node_suspect(struct mh_fleet *f, struct mh_node *n, const char *why);
/** mh_fleet_on_unreachable() - called by mh_node_report_unreachable(). */
void mh_fleet_on_unreachable(
    struct mh_fleet *f, void (*fn)(void *arg, const char *id), void *arg);
/** mh_node_report_unreachable() - it could not be reached; not recorded. */
void mh_node_report_unreachable(struct mh_fleet *f, const struct mh_node *n);
/** mh_node_set_unreachable() - records a failure: it could not be reached. */
void mh_node_set_unreachable(
    struct mh_fleet *f, struct mh_node *n, const char *why);
/** mh_node_usable() - not draining, evacuated, at rest or ejected. */
bool mh_node_usable(const struct mh_fleet *f, const struct mh_node *n);

/* said.c: what endpoints say of themselves in their answers */

/** enum mh_sender - which entries send to an endpoint. */
enum mh_sender {
	MH_SENDER_ANY, /* all, as for requests */
	MH_SENDER_ONE /* this one for all, as for stage work */
};

/**
 * mh_fleet_set_sharing() - how the limit of an endpoint is divided.
 * @rank: returns the rank of this entry there, UINT32_MAX if the entries are
 * not known, and sets @entries to their number, see mh_mesh_rank()
 * @is_linked: whether this entry is linked to half of the others
 *
 * Without it this process is the only entry.
 */
void mh_fleet_set_sharing(struct mh_fleet *f,
    uint32_t (*rank)(void *arg, const char *endpoint, uint32_t *entries),
    bool (*is_linked)(void *arg), void *arg);
/** mh_fleet_rank() - what @rank returns for an endpoint. */
uint32_t mh_fleet_rank(
    const struct mh_fleet *f, const struct mh_node *n, uint32_t *entries);
/** mh_node_said() - records what an answer of the endpoint says. */
void mh_node_said(
    struct mh_fleet *f, struct mh_node *n, const struct mh_said *s);
/**
 * mh_fleet_hear() - records what an endpoint, listed or not, has said to
 * another entry, unless it has said something later.
 */
void mh_fleet_hear(struct mh_fleet *f, const struct mh_word *w);
/** mh_fleet_on_word() - @fn is called for each change of what one has said. */
void mh_fleet_on_word(struct mh_fleet *f,
    void (*fn)(void *arg, const struct mh_word *w), void *arg);
/** mh_fleet_foreach_word() - calls @fn for all that is in force. */
void mh_fleet_foreach_word(struct mh_fleet *f,
    void (*fn)(void *arg, const struct mh_word *w), void *arg);
/**
 * mh_node_interval_us() - least time between two sends of ours by the limit
 * that the endpoint has named; 0: it has named none, INT64_MAX: send nothing.
 */
int64_t mh_node_interval_us(
    const struct mh_fleet *f, const struct mh_node *n, enum mh_sender who);
/**
 * mh_node_next_us() - when something may be sent there next, whatever it is.
 *
 * Returns an absolute time, which may have passed; INT64_MAX: never.
 * Ejection, which is our own estimate, is not considered.
 */
int64_t mh_node_next_us(
    const struct mh_fleet *f, const struct mh_node *n, enum mh_sender who);
/** mh_fleet_count_needs() - counts endpoints by what they have said. */
void mh_fleet_count_needs(const struct mh_fleet *f, uint32_t n[MH_NEEDS]);
/**
 * mh_node_retry_us() - time until a caller may return, to any entry.
 * @us: when this entry may send there next
 */
int64_t mh_node_retry_us(
    const struct mh_fleet *f, const struct mh_node *n, int64_t us);
/** mh_node_sent() - something is sent there now. */
void mh_node_sent(struct mh_fleet *f, struct mh_node *n);

/* place.c: choice of the endpoint for a request */

struct mh_place;

/** struct mh_prompt_part - a part of a prompt; others may have the same. */
struct mh_prompt_part {
	uint64_t id;
	uint32_t tokens;
};

#define MH_PARTS_MAX 16
#define MH_TRIED_MAX 8

/** struct mh_place_request - a request to be placed; strings are borrowed. */
struct mh_place_request {
	const char *pool;
	const char *domain; /* preferred failure domain, or NULL */
	uint32_t inflight_max; /* of our calls at an endpoint; 0: no limit */
	struct mh_prompt_part parts[MH_PARTS_MAX];
	uint32_t n_parts;
	const char *tried[MH_TRIED_MAX]; /* ids, not chosen again */
	uint32_t n_tried;
	/* requests to one cold endpoint from all entries; 0: no limit */
	double cold_per_s;
	const char *slot_node; /* id of the cold endpoint with a slot for it */
	int64_t wait_deadline_us; /* absolute: latest usable slot */
	int64_t wait_us; /* set if none is chosen: retry after it; 0: do not */
	int64_t retry_us; /* likewise: time until a caller may return */
	const char *wait_node; /* id where a slot is reserved, or NULL */
	uint64_t version; /* software version it is bound to; 0: any */
	bool sure; /* with @version: to no endpoint in doubt */
	const char *confirmed; /* id, chosen if it can take the request */
	uint64_t isolation_hash; /* see poison.h; 0: choose by prompt, load */
	bool has_cached_prompt; /* set by the choice: expected there */
	uint32_t held_back[MH_NEEDS]; /* likewise: endpoints left out */
};

struct mh_place *mh_place_create(struct mh_kern *k, struct mh_fleet *f);
void mh_place_destroy(struct mh_place *p);
/**
 * mh_place_pick() - the endpoint to try next, or NULL.
 *
 * NULL with @a->wait_us set: retry after that time.
 */
struct mh_node *mh_place_pick(struct mh_place *p, struct mh_place_request *a);
/** mh_place_look() - as mh_place_pick(), but reserves no time slot. */
struct mh_node *mh_place_look(struct mh_place *p, struct mh_place_request *a);
/**
 * mh_place_next_us() - when any endpoint of the pool may take a request.
 *
 * Returns an absolute time, which may have passed, and sets @a->retry_us;
 * INT64_MAX: none of them, by what is known now.
 */
int64_t mh_place_next_us(struct mh_place *p, struct mh_place_request *a);
/** mh_place_affinity() - the endpoint expected to have the prompt, or NULL. */
const struct mh_node *mh_place_affinity(
    struct mh_place *p, const struct mh_place_request *a);
/** mh_place_sent() - @a went to @n, which will cache the prompt's parts. */
void mh_place_sent(
    struct mh_place *p, const struct mh_place_request *a, struct mh_node *n);

/* budget.c: retries as a share of recent requests */

struct mh_budget;

struct mh_budget_args {
	double ratio; /* retries per request */
	double slack; /* retries per window on top, shared by all entries */
	int64_t window_us;
};

struct mh_budget *mh_budget_create(
    struct mh_kern *k, const struct mh_budget_args *a);
void mh_budget_destroy(struct mh_budget *b);
/**
 * mh_budget_share() - the slack of a new budget is shared with other processes:
 * none of it is used before their number is known, nor as long as what a
 * predecessor of this process has spent is in the window.
 */
void mh_budget_share(struct mh_budget *b);
/**
 * mh_budget_round() - rounds what is allowed to a whole number, up or down at
 * random, so that parts of a retry are not lost where many processes share.
 */
void mh_budget_round(struct mh_budget *b);
/** mh_budget_set() - replaces the bounds; retries already spent still count. */
void mh_budget_set(struct mh_budget *b, const struct mh_budget_args *a);
/** mh_budget_entries() - the slack is divided among @n processes. */
void mh_budget_entries(struct mh_budget *b, uint32_t n);
/**
 * mh_budget_follow() - @fn returns the number of processes that share the
 * slack, 0: not known yet; it is asked several times a window.
 */
void mh_budget_follow(
    struct mh_budget *b, uint32_t (*fn)(void *arg), void *arg);
/** mh_budget_shared_by() - processes that share the slack; 0: not known. */
uint32_t mh_budget_shared_by(const struct mh_budget *b);
/** mh_budget_request() - counts a request that is no retry. */
void mh_budget_request(struct mh_budget *b, const char *pool);
/** mh_budget_take() - whether a retry is allowed; counts it if so. */
bool mh_budget_take(struct mh_budget *b, const char *pool);
/** mh_budget_allows() - whether a retry is allowed; counts nothing. */
bool mh_budget_allows(struct mh_budget *b, const char *pool);
/**
 * mh_budget_wait_us() - when a retry will be allowed if no request comes.
 *
 * Return: microseconds from now; INT64_MAX: not without requests.
 */
int64_t mh_budget_wait_us(struct mh_budget *b, const char *pool);
/** mh_budget_refuse() - counts and logs a retry that is not allowed. */
void mh_budget_refuse(struct mh_budget *b, const char *pool);
/**
 * mh_budget_grant() - allows another process to retry for this one.
 * @share: of what is left
 * @most: retries
 *
 * Return: parts of a retry, which are not available here until they are
 * settled or forfeited.
 */
double mh_budget_grant(
    struct mh_budget *b, const char *pool, double share, double most);
/** mh_budget_settle() - the other process has spent all but @left. */
void mh_budget_settle(
    struct mh_budget *b, const char *pool, double granted, double left);
/**
 * mh_budget_forfeit() - the other process will not say what it has spent.
 * @until_us: absolute; it spends nothing after that
 */
void mh_budget_forfeit(
    struct mh_budget *b, const char *pool, double granted, int64_t until_us);

/* sched.c: schedules and batches the stage work of many requests */

struct mh_sched;

/** struct mh_job_stage - one stage of a job. */
struct mh_job_stage {
	char *pool;
	uint32_t after; /* bit mask of the stages whose results it reads */
	uint32_t pieces; /* 0: the job skips this stage */
	uint64_t result_bytes;
	GPtrArray *results; /* char *, NULL: not computed yet */
	/* retries at its pool that the submitter's entry allows another one */
	double granted;
};

enum mh_job_end {
	MH_JOB_DONE,
	MH_JOB_REFUSED, /* would miss its deadline */
	MH_JOB_FAILED, /* a piece ran out of tries or retry budget */
	MH_JOB_QUARANTINED, /* its request is quarantined as a poison request */
	MH_JOB_HANDED_OFF /* to another coordinator, with its results */
};

/** struct mh_job - the stage work of one request. */
struct mh_job {
	char *id;
	char *key; /* input of the stages that read no other stage */
	char *domain; /* failure domain of their reader, NULL: unknown */
	char *route;
	uint64_t fingerprint; /* of its request, see poison.h; 0: unknown */
	uint32_t priority;
	double weight; /* its value over the mean of its route, 0: unknown */
	bool refused_before; /* a retry after a refusal */
	bool handed_off; /* another scheduler had it before */
	bool resent; /* pieces without a result may have been sent before */
	int64_t arrived_us;
	int64_t slo_us; /* absolute latency objective of the stage work */
	int64_t deadline_us; /* absolute */
	struct mh_job_stage stages[MH_GSTAGES];
	uint32_t n_stages;
	void *submitter; /* set and used by the submitter */
	struct mh_sched *sched; /* NULL before mh_sched_submit() */
	struct mh_job_state *state; /* private to the scheduler */
};

struct mh_job *mh_job_create(const char *id);
void mh_job_destroy(struct mh_job *j);
/**
 * mh_stages_sort() - orders stages so that each follows those that it reads.
 * @after: of each stage, a bit mask of the stages that it reads
 * @order: set to the numbers of the stages
 *
 * Returns false if there is no such order, or a stage reads one that isn't
 * among the first @n.
 */
bool mh_stages_sort(const uint32_t *after, uint32_t n, uint8_t *order);
/** mh_job_sort() - mh_stages_sort() of a job's stages. */
bool mh_job_sort(const struct mh_job *j, uint8_t *order);
/** mh_job_stage_done() - whether all results of a stage are computed. */
bool mh_job_stage_done(const struct mh_job_stage *st);
/**
 * mh_job_set_results() - sets the results of a stage, which are copied; NULL or
 * "": not computed.
 */
void mh_job_set_results(
    struct mh_job *j, uint32_t stage, char *const *results, size_t n);
/** mh_job_drop_unneeded() - drops results that are not needed any more. */
void mh_job_drop_unneeded(struct mh_job *j);
/**
 * mh_job_needs_stage() - whether the results of a stage are needed: as results
 * of the job, or by a needed stage that is not done.
 */
bool mh_job_needs_stage(const struct mh_job *j, uint32_t stage);
/**
 * mh_job_final_results() - the results of a finished job that no stage reads.
 *
 * Return: comma-separated, for the caller to free.
 */
char *mh_job_final_results(const struct mh_job *j);

/** struct mh_batch_item - one piece in a call. */
struct mh_batch_item {
	struct mh_job *job; /* NULL: ended or cancelled since */
	uint32_t stage;
	uint32_t piece;
	uint64_t result_bytes; /* result memory that it takes */
	char *result; /* NULL: none */
	bool inputs_lost; /* the endpoint did not find its inputs */
	bool no_memory; /* the endpoint had no result memory for it */
};

/** struct mh_batch - one call to an endpoint of a stage pool. */
struct mh_batch {
	uint64_t id;
	char *node;
	const char *node_name; /* interned, valid after the batch is freed */
	char *pool;
	GArray *items; /* struct mh_batch_item */
	uint32_t resend; /* bit mask of enum resend; 0: no piece of it */
	bool overdue;
	int64_t sent_us;
	int64_t expect_us; /* estimated duration of the call */
	bool requeued; /* overdue: its pieces were queued again */
	bool too_long; /* it counts as lost once its pieces are elsewhere */
	bool conn_lost; /* the endpoint may have crashed */
	bool unsent; /* it was not reached */
	uint32_t others_waiting; /* other calls waiting there when it ended */
	struct mh_sched *sched;
	struct mh_timer *read_timer; /* fires when inputs should be read */
	bool inputs_freed; /* @read_timer has fired and inputs were freed */
	void *call; /* for the implementation of run() */
};

enum mh_batch_end {
	MH_BATCH_DONE, /* answered; the items are filled in */
	MH_BATCH_FULL, /* the endpoint refused it */
	MH_BATCH_LOST /* no answer */
};

/** struct mh_work_report - what a stage endpoint reports about itself. */
struct mh_work_report {
	int64_t start_ms; /* Unix time of its start; 0: not reported */
	uint32_t running; /* calls */
	uint32_t waiting; /* calls */
};

struct mh_sched_ops {
	void (*run)(void *arg, struct mh_batch *b);
	void (*abort)(void *arg, struct mh_batch *b);
	/*
	 * A stage of @j is done and the job is not, or a stage that was done
	 * is to be recomputed; NULL: not reported.
	 */
	void (*stage_changed)(void *arg, struct mh_job *j, uint32_t stage);
	/*
	 * The submitter destroys @j; if it ended with MH_JOB_DONE, it first
	 * frees the results by mh_sched_release().  @retry_us: for a refused or
	 * quarantined job, when a retry may succeed, from now.
	 */
	void (*end)(
	    void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us);
	void (*discard)(void *arg, const char *result);
	/*
	 * Polls an endpoint for its report, which is passed to
	 * mh_sched_report(); NULL: not supported.
	 */
	void (*poll)(void *arg, struct mh_sched *sc, const char *node);
	void *arg;
};

/** mh_sched_create() - @budget limits the retries of pieces; not owned. */
struct mh_sched *mh_sched_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_budget *budget, const struct mh_sched_ops *ops);
void mh_sched_destroy(struct mh_sched *sc);
/** mh_sched_set_slice() - assigns slice @index of @count of every pool. */
void mh_sched_set_slice(struct mh_sched *sc, uint32_t index, uint32_t count);
void mh_sched_set_conf(struct mh_sched *sc, struct mh_gconf *conf);
void mh_sched_submit(struct mh_sched *sc, struct mh_job *j);
/** mh_sched_cancel() - removes the job without calling end(). */
void mh_sched_cancel(struct mh_sched *sc, struct mh_job *j);
void mh_sched_batch_end(
    struct mh_sched *sc, struct mh_batch *b, enum mh_batch_end end);
/** mh_sched_report() - takes an endpoint's report; NULL: the poll failed. */
void mh_sched_report(
    struct mh_sched *sc, const char *node, const struct mh_work_report *r);
/** mh_sched_node_restarted() - an endpoint has lost its calls and results. */
void mh_sched_node_restarted(struct mh_sched *sc, const char *node);
/** mh_sched_release() - frees the results and the state of an ended job. */
void mh_sched_release(struct mh_sched *sc, struct mh_job *j);
/**
 * mh_sched_drain() - hands off all jobs with their results, each once none of
 * its pieces is in a call: they end with MH_JOB_HANDED_OFF.
 */
void mh_sched_drain(struct mh_sched *sc);
/** mh_sched_quarantine() - ends the jobs of a quarantined request. */
void mh_sched_quarantine(struct mh_sched *sc, uint64_t fingerprint);
/** mh_sched_is_idle() - whether it has no jobs. */
bool mh_sched_is_idle(const struct mh_sched *sc);
/** mh_sched_backlog_us() - time to process the queued pieces of a pool. */
int64_t mh_sched_backlog_us(struct mh_sched *sc, const char *pool);

/* scheds.c: the stage schedulers of a process, one for each slice */

struct mh_scheds;

#define MH_SLICES 64 /* maximum number of slices */

struct mh_scheds *mh_scheds_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_budget *budget, const struct mh_sched_ops *ops);
void mh_scheds_destroy(struct mh_scheds *scs);
void mh_scheds_set_conf(struct mh_scheds *scs, struct mh_gconf *conf);
void mh_scheds_drain(struct mh_scheds *scs);
/** mh_scheds_foreach() - calls @fn for each scheduler; @fn may create more. */
void mh_scheds_foreach(struct mh_scheds *scs,
    void (*fn)(void *arg, struct mh_sched *sc, uint32_t index, uint32_t count),
    void *arg);
/** mh_scheds_discard() - frees a result that no scheduler here tracks. */
void mh_scheds_discard(struct mh_scheds *scs, const char *result);
void mh_scheds_node_restarted(struct mh_scheds *scs, const char *node);
/** mh_scheds_quarantine() - mh_sched_quarantine() of every scheduler. */
void mh_scheds_quarantine(struct mh_scheds *scs, uint64_t fingerprint);
/** mh_scheds_get() - the scheduler of a slice, created on first use. */
struct mh_sched *mh_scheds_get(
    struct mh_scheds *scs, uint32_t index, uint32_t count);
/** mh_scheds_budget() - the budget of the schedulers, not owned. */
struct mh_budget *mh_scheds_budget(struct mh_scheds *scs);
/** mh_scheds_count() - current number of slices. */
uint32_t mh_scheds_count(struct mh_scheds *scs);
/**
 * mh_scheds_share() - the smallest share that a slice has of any pool's
 * endpoints, 0 to 1.
 */
double mh_scheds_share(struct mh_scheds *scs, uint32_t index);
/**
 * mh_scheds_pick() - picks one of the slices @some, weighted by their shares;
 * @unit is a random number in [0, 1).
 */
uint32_t mh_scheds_pick(
    struct mh_scheds *scs, const uint32_t *some, uint32_t n, double unit);

/* sse.c: complete events of a stream, and its position */

/** struct mh_cursor - position of a stream, across all its runs. */
struct mh_cursor;
/**
 * mh_cursor_create() - at the beginning, or after the event @after.
 * @after: id of the last event that the caller has, or NULL
 * @ordered: the stream's ids increase; one that does not is a fault
 */
struct mh_cursor *mh_cursor_create(const char *after, bool ordered);
void mh_cursor_destroy(struct mh_cursor *c);
/** mh_cursor_has_unnumbered() - events without a number came after the last. */
bool mh_cursor_has_unnumbered(const struct mh_cursor *c);
/** mh_cursor_last_id() - id of the last event that has a number, or NULL. */
const char *mh_cursor_last_id(const struct mh_cursor *c);

/** enum mh_sse_fault - why a run cannot be passed on any further. */
enum mh_sse_fault {
	MH_SSE_OK,
	MH_SSE_REPEATED, /* an event's id is not above the last one */
	MH_SSE_SKIPPED, /* an event is missing before this one */
	MH_SSE_TOO_LONG /* an event of more than 1 MiB */
};

/** mh_sse_fault_name() - the name in logs. */
const char *mh_sse_fault_name(enum mh_sse_fault f);

/** struct mh_sse - reads the events of one run. */
struct mh_sse;
/**
 * mh_sse_create() - a reader that advances @c, which must outlive it.
 * @prior_ids: how its endpoint numbered the events of earlier streams
 */
struct mh_sse *mh_sse_create(struct mh_cursor *c, enum mh_ids prior_ids);
void mh_sse_destroy(struct mh_sse *s);
/**
 * mh_sse_feed() - appends the events that @data completes to @out.
 *
 * Returns the fault of the first event that cannot be passed on.  Neither this
 * event nor a later one is in @out; feed no more data of this run.
 */
enum mh_sse_fault mh_sse_feed(
    struct mh_sse *s, const char *data, size_t len, GString *out);
/** mh_sse_ids() - how the run numbers events; set if it began its stream. */
enum mh_ids mh_sse_ids(const struct mh_sse *s);
/** mh_sse_pending_bytes() - bytes received of an incomplete event. */
size_t mh_sse_pending_bytes(const struct mh_sse *s);

/* origin.c: the software version at which each stream began */

/** enum mh_origin_how - how the version of a stream is known. */
enum mh_origin_how {
	MH_ORIGIN_UNKNOWN,
	MH_ORIGIN_UNSURE, /* it began where the version can't be known */
	MH_ORIGIN_OWN, /* this entry began it or carried it on */
	MH_ORIGIN_TOLD, /* another entry did, and has told */
	MH_ORIGIN_SOLE /* no other version has served for long enough */
};

/** struct mh_begun - a stream that began at an endpoint. */
struct mh_begun {
	uint64_t stream; /* mh_origin_stream() */
	uint64_t version; /* of the pool, see struct mh_node */
	const char *pool;
	const char *node; /* id of the endpoint */
	int64_t last_us; /* its caller may take it up for this long */
	bool is_split; /* its route leads to several pools */
};

/** struct mh_origin_query - a question to other entries; copied. */
struct mh_origin_query {
	uint64_t stream;
	const char *const *pools; /* where it may have begun */
	size_t n_pools;
	int64_t last_us; /* see mh_origins_sole_us() */
	/* called once, unless cancelled */
	void (*fn)(void *arg, uint64_t version, enum mh_origin_how how);
	void *arg;
};

/** struct mh_origin_ops - the other entries; without it there are none. */
struct mh_origin_ops {
	void (*tell)(void *arg, uint64_t stream, uint64_t version);
	/* returns what cancel takes; NULL: there is nobody to ask */
	void *(*ask)(void *arg, const struct mh_origin_query *q);
	void (*cancel)(void *arg, void *ask);
	void *arg;
};

struct mh_origins;

struct mh_origins *mh_origins_create(struct mh_kern *k, struct mh_fleet *f);
void mh_origins_destroy(struct mh_origins *o);
void mh_origins_set_ops(struct mh_origins *o, const struct mh_origin_ops *ops);
/** mh_origin_stream() - the stream that the request @id began. */
uint64_t mh_origin_stream(const char *id);
/** mh_origins_began() - this entry began a stream or carried it on. */
void mh_origins_began(struct mh_origins *o, const struct mh_begun *b);
/**
 * mh_origins_restarted() - an endpoint has started again: what seemed to begin
 * there of late may have begun at the new incarnation.
 */
void mh_origins_restarted(struct mh_origins *o, const char *node);
/** mh_origins_complete() - a stream has ended, and nobody will take it up. */
void mh_origins_complete(struct mh_origins *o, uint64_t stream);
/** mh_origins_tick() - to call several times a second: tells and drops. */
void mh_origins_tick(struct mh_origins *o);
/** mh_origins_tell_again() - another entry is there: tells it all. */
void mh_origins_tell_again(struct mh_origins *o);
/**
 * mh_origins_routes_changed() - streams may lead to other pools from now on
 * than those that they began at.
 */
void mh_origins_routes_changed(struct mh_origins *o);
/** mh_origins_learn() - another entry tells of a stream. */
void mh_origins_learn(struct mh_origins *o, uint64_t stream, uint64_t version);
/** mh_origins_find() - the version of a stream, and how it is known. */
enum mh_origin_how mh_origins_find(
    const struct mh_origins *o, uint64_t stream, uint64_t *version);
/**
 * mh_origins_sole_us() - for how long streams can have begun at one version
 * only.
 * @version: set to it; 0: none is reported
 *
 * Return: microseconds; 0: two serve, they may have begun at several pools, or
 * our rows are old; INT64_MAX: no version is reported.
 */
int64_t mh_origins_sole_us(const struct mh_origins *o, const char *const *pools,
    size_t n, uint64_t *version);
/** mh_origins_ask() - asks other entries; NULL: there are none. */
void *mh_origins_ask(struct mh_origins *o, const struct mh_origin_query *q);
void mh_origins_cancel(struct mh_origins *o, void *ask);

/* gate.c: one request from its arrival to its end */

struct mh_gate;

enum mh_greq_state {
	MH_GREQ_STAGES, /* initial, and while its stage work is being done */
	MH_GREQ_TRYING, /* sent to an endpoint, or waiting for one */
	MH_GREQ_ANSWERING, /* a part of the answer has arrived */
	MH_GREQ_ENDED
};

/** enum mh_gate_refusal - why the gateway itself answers. */
enum mh_gate_refusal {
	MH_NOT_READY, /* not run: no usable configuration, or draining */
	MH_NO_ROUTE,
	MH_BAD_KEY,
	MH_BAD_REQUEST,
	MH_TOO_BUSY, /* not run: retry later */
	MH_NO_MEMORY, /* not run: no memory for what it would take */
	MH_NO_ENDPOINT, /* not run: none could be reached */
	MH_NOT_IN_TIME, /* not run: it expired before it was sent */
	MH_VERSION_UNKNOWN, /* not run: where its stream began is not known */
	MH_VERSION_GONE, /* not run: no endpoint of its version serves */
	MH_QUARANTINED, /* not run: quarantined as a poison request */
	MH_RUN_QUARANTINED, /* sent, then quarantined as a poison request */
	MH_RUN_FAILED, /* sent, no complete answer arrived */
	MH_RUN_TIMEOUT /* sent, expired before the answer was complete */
};

/** enum mh_gwait_kind - what a request waits for before its next try. */
enum mh_gwait_kind {
	MH_WAIT_NONE,
	MH_WAIT_ORIGIN, /* other entries are asked for its version */
	MH_WAIT_STAGES, /* its job */
	MH_WAIT_START, /* an endpoint is asked for its start time */
	MH_WAIT_SLOT, /* time slot of a cold endpoint */
	MH_WAIT_VERSION /* an endpoint of its version */
};

/** struct mh_gwait - the one wait of a request; see gatewait.c. */
struct mh_gwait {
	enum mh_gwait_kind kind;
	union {
		void *ask; /* MH_WAIT_ORIGIN */
		void *question; /* MH_WAIT_START */
		struct mh_timer *timer; /* MH_WAIT_SLOT, MH_WAIT_VERSION */
	} u;
};

/** struct mh_greq - one request, as the adapter decoded it. */
struct mh_greq {
	char *id;
	char *host;
	const char *target; /* owned by the adapter */
	char *key; /* NULL: none given */
	int64_t deadline_us; /* the caller's, from arrival; 0: not given */
	struct mh_prompt_part parts[MH_PARTS_MAX];
	uint32_t n_parts;
	uint32_t tokens_in;
	uint32_t tokens_out;
	uint32_t pieces[MH_GSTAGES];
	uint32_t n_pieces;
	char *piece_key;
	char *resume_after; /* last event id that the caller has, or NULL */
	char *resumes; /* id of the request that began its stream, or NULL */
	uint64_t fingerprint; /* the same for every request with this content */
	void *adapter_data;
	/* set and used by the gateway */
	struct mh_gate *gate;
	enum mh_greq_state state;
	struct mh_gconf *conf;
	struct mh_groute *route;
	struct mh_gorg *org;
	const char *pool;
	uint64_t stream; /* mh_origin_stream() of what began it */
	uint64_t version; /* software version that it is bound to; 0: any */
	int64_t version_wait_us; /* until then it waits for one of it */
	struct mh_gwait wait; /* not while it has a run */
	/* id of the endpoint asked for its start before sending, or NULL */
	char *confirm_node;
	/* ids of those that did not answer, until all have been asked */
	char *mute[MH_TRIED_MAX];
	uint32_t n_mute;
	uint32_t n_unanswered; /* such questions in all */
	int64_t arrived_us;
	int64_t first_attempt_us; /* estimate: when the caller first tried */
	int64_t slo_by_us; /* absolute latency objective */
	int64_t expires_us; /* absolute: the caller's or the route's limit */
	/* absolute: the caller leaves if no answer has begun by then */
	int64_t answer_by_us;
	uint32_t priority;
	bool returned; /* the caller was refused before and came back */
	struct mh_job *job;
	char *inputs; /* references to the results of its stages */
	struct mh_try *cur;
	/* earlier ones at silent endpoints, open until another one begins */
	struct mh_try *silent[MH_TRIED_MAX];
	uint32_t n_silent;
	bool owes_retry; /* the next sending counts against the budget */
	char *tried[MH_TRIED_MAX];
	uint32_t n_tried;
	uint32_t runs; /* endpoints that may have run it */
	uint32_t n_jobs; /* times its stage work was submitted */
	bool head_forwarded; /* the caller has the head of an event stream */
	bool metered; /* its time to the answer was observed */
	struct mh_cursor *cursor; /* position in its stream; NULL: no stream */
	int64_t last_data_us;
	struct mh_timer *expiry_timer; /* at mh_gate_limit_us() */
	struct mh_timer *silence_timer; /* endpoint is silent for too long */
	struct mh_timer *inputs_timer; /* the engine may have read the inputs */
	char *slot_node; /* id of the cold endpoint whose slot it waits for */
};

/** struct mh_try - one attempt to send a request to an endpoint. */
struct mh_try {
	struct mh_greq *req;
	char *node; /* id of the endpoint's incarnation */
	char *name; /* the endpoint's own name, same after a restart */
	char *addr;
	int64_t sent_us;
	int64_t head_us; /* when its answer began; 0: not yet */
	int64_t remaining_us; /* as sent to the endpoint */
	char *resume_after; /* id of the last event the caller has, or NULL */
	uint32_t status; /* of its answer; 0: none yet */
	int64_t first_event_us; /* when its first event came; 0: not yet */
	bool parts_answered; /* it has proved that no part is a cause */
	uint64_t version; /* of the endpoint; see struct mh_node */
	bool in_doubt; /* whether it still had it */
	bool new_conn; /* reuses no idle connection */
	bool counted; /* included in the runs of its request */
	bool was_silent; /* another run was looked for */
	bool begins_at_once; /* the endpoint had free slots */
	uint32_t n_jobs; /* of its request when it was sent */
	struct mh_sse *events; /* NULL: no stream, or not begun */
	void *question; /* its endpoint is asked for its start; or NULL */
	void *call; /* the adapter's own data */
};

/** struct mh_gresp - the decoded head of an endpoint's answer. */
struct mh_gresp {
	uint32_t status;
	bool not_run; /* the endpoint states that it did not run the request */
	bool addr_reused; /* the address belongs to another endpoint now */
	bool inputs_lost; /* results that the request needs are lost */
	bool genuine; /* signed, and the body has no content encoding */
	bool events; /* the body is a stream of events */
	bool has_load; /* running, waiting and slots are given */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	/* duration of work there, percent of the usual; 0: not given */
	uint32_t pace_percent;
	bool has_warm; /* warm_us is given */
	int64_t warm_us; /* the endpoint stays cold for this long */
};

/** enum mh_verdict - what the adapter does with an answer. */
enum mh_verdict {
	MH_FORWARD, /* forward head and body to the caller */
	MH_FORWARD_BODY, /* forward the body: it continues an earlier answer */
	MH_DROP /* abort the call: the gateway proceeds without it */
};

struct mh_gate_ops {
	void (*send)(void *arg, struct mh_try *t);
	void (*abort)(void *arg, struct mh_try *t);
	void (*refuse)(void *arg, struct mh_greq *q, enum mh_gate_refusal why,
	    int64_t retry_us);
	void (*finish)(void *arg, struct mh_greq *q); /* a complete answer */
	/* ends an incomplete answer so that the caller can tell */
	void (*break_off)(void *arg, struct mh_greq *q);
	void *arg; /* of the above */
	void (*submit)(void *jobs, struct mh_job *j);
	void (*cancel)(void *jobs, struct mh_job *j);
	/* the results of a finished job may be freed */
	void (*release)(void *jobs, struct mh_job *j);
	void *jobs; /* of submit, cancel and release */
	/*
	 * Asks an endpoint for its start time, which may be later than that of
	 * its row; ends in mh_gate_confirmed(), not before it returns.  Returns
	 * what unconfirm takes.
	 * NULL: it can't be asked.
	 */
	void *(*confirm)(
	    void *jobs, struct mh_greq *q, const struct mh_node *n);
	void (*unconfirm)(void *jobs, void *call);
};

struct mh_gate *mh_gate_create(struct mh_kern *k, struct mh_fleet *f,
    struct mh_place *p, struct mh_budget *b, const struct mh_gate_ops *ops,
    const char *domain);
void mh_gate_destroy(struct mh_gate *g);
void mh_gate_conf(struct mh_gate *g, struct mh_gconf *conf);
/**
 * mh_gate_on_stale_conf() - sets the query for the age of a stale
 * configuration.
 * @stale_us: how long a newer one has been known to exist without having been
 * received; 0: ours is the newest
 *
 * While ours is stale, a route or key that it lacks may be in the newer one:
 * such requests get MH_NOT_READY instead of a permanent refusal.
 */
void mh_gate_on_stale_conf(
    struct mh_gate *g, int64_t (*stale_us)(void *arg), void *arg);
/**
 * mh_gate_max_stale_conf() - once the configuration has been stale for @max_us,
 * all requests are refused; 0: never.
 */
void mh_gate_max_stale_conf(struct mh_gate *g, int64_t max_us);
struct mh_greq *mh_greq_create(const char *id);
void mh_greq_destroy(struct mh_greq *q);
/**
 * mh_gate_may_admit() - whether a request has a route and a valid key.
 * @why: set if it has not
 */
bool mh_gate_may_admit(
    struct mh_gate *g, struct mh_greq *q, enum mh_gate_refusal *why);
/**
 * mh_gate_admit() - handles a request that has arrived.
 *
 * It ends with one call of refuse, finish or break_off, unless
 * mh_gate_caller_left() is called before.  @q stays the adapter's, to destroy
 * after that.
 */
void mh_gate_admit(struct mh_gate *g, struct mh_greq *q);
/** mh_gate_caller_left() - its caller has disconnected; ends the request. */
void mh_gate_caller_left(struct mh_gate *g, struct mh_greq *q);
void mh_gate_job_end(
    struct mh_gate *g, struct mh_job *j, enum mh_job_end end, int64_t retry_us);
enum mh_verdict mh_gate_head(
    struct mh_gate *g, struct mh_try *t, const struct mh_gresp *a);
/** mh_gate_heard() - bytes of an answer have arrived, of any kind. */
void mh_gate_heard(struct mh_gate *g, struct mh_try *t);
/** mh_gate_progress() - a part of the answer has arrived. */
void mh_gate_progress(struct mh_gate *g, struct mh_try *t);
/** mh_gate_try_end() - the call of a try has ended. */
void mh_gate_try_end(
    struct mh_gate *g, struct mh_try *t, enum mh_hcall_outcome end);
/** mh_gate_invalid_answer() - the answer can't be forwarded; aborts the try. */
void mh_gate_invalid_answer(
    struct mh_gate *g, struct mh_try *t, const char *why);
/** mh_gate_origins() - the versions of streams. */
struct mh_origins *mh_gate_origins(const struct mh_gate *g);
/** mh_gate_restarted() - an endpoint has started again under its name. */
void mh_gate_restarted(struct mh_gate *g, const char *node);
/**
 * mh_gate_confirmed() - an endpoint has told when it started; 0: it has not
 * answered.
 */
void mh_gate_confirmed(struct mh_gate *g, struct mh_greq *q, int64_t start_ms);
/** mh_gate_open() - number of requests that have not ended. */
uint32_t mh_gate_open(const struct mh_gate *g);
/** mh_gate_open_at() - a try sent to @endpoint before @us is still open. */
bool mh_gate_open_at(const struct mh_gate *g, const char *endpoint, int64_t us);
/** mh_gate_quarantine() - ends open requests that are quarantined now. */
void mh_gate_quarantine(struct mh_gate *g);
/** mh_gate_refusal_name() - the name used in logs, counters and answers. */
const char *mh_gate_refusal_name(enum mh_gate_refusal why);
/** mh_gate_entries() - @n processes share the connections of an endpoint. */
void mh_gate_entries(struct mh_gate *g, uint32_t n);
/**
 * mh_gate_drain() - drains: this process exits in @remaining_us.
 *
 * No request is open by then: what was accepted has been answered, broken off
 * or refused.  New requests are accepted only if they should end in time.
 */
void mh_gate_drain(struct mh_gate *g, int64_t remaining_us);

#endif
