#ifndef NET_H
#define NET_H

#include "marlhoist.h"

/*
 * Simulated nodes in virtual time: the real decision services, with fakes at
 * every I/O interface (link, kv, vmlist, endpoint, http).  No sockets, no
 * system clock.
 */

/* A body with this text crashes an endpoint that has "crashes" set. */
#define NET_POISON_TEXT "fatal"
#define NET_CRASH_DELAY_US (60 * MH_US_PER_MS) /* from the start of the run */
#define NET_RESTART_US (1500 * MH_US_PER_MS) /* from the crash */
#define NET_START_WALL_US (1800000000LL * MH_US_PER_S)

struct net;

/** struct net_node - one process: an entry or a side process. */
struct net_node {
	struct net *net;
	struct mh_kern *k; /* NULL: not running */
	char vm[24];
	char addr[24];
	char role[8];
	char pool[24];
	char domain[8];
	uint64_t incarnation;
	uint32_t slots;
	bool listed;
	bool draining;
	bool paused;
	int64_t skew_us; /* of this VM's wall clock */
	/* the endpoint of a side process */
	int64_t service_us;
	uint32_t status; /* of its responses, 0: 200 */
	int64_t rest_us; /* asked for by its responses; 0: none */
	bool refuses_conn;
	bool dials_only; /* links to it open, then drop all frames */
	size_t response_bytes; /* a service's response is padded to this */
	bool truncates; /* it runs calls, but truncates its responses */
	bool numbers_tokens; /* its tokens read RUN.NUMBER */
	uint32_t surplus_tokens; /* tokens generated beyond max_tokens */
	bool crashes; /* it crashes under a body with NET_POISON_TEXT */
	int64_t crash_us; /* time of the last crash, may be ahead; 0: none */
	uint32_t crash_count;
	GArray *active_runs; /* uint64_t, runs started since the last crash */
	uint64_t runs;
	uint64_t aborts;
};

/** struct net_response - what a caller received. */
struct net_response {
	uint64_t caller;
	uint32_t status;
	uint32_t retry_after_s;
	uint32_t parts;
	bool ended;
	int64_t at_us;
	char *idempotency_key; /* of the request, ORG/KEY; NULL: none */
	uint32_t runs; /* of that key when the response ended */
	GString *body;
};

struct net {
	struct mh_kern *k; /* clock and random numbers of the simulation */
	GPtrArray *nodes;
	GPtrArray *links; /* struct net_link, closed ones too */
	GHashTable *in_flight; /* set of struct delivery */
	GHashTable *responses; /* caller -> struct net_response */
	GHashTable *runs_by_key; /* ORG/KEY -> runs */
	GHashTable *kv; /* name -> value */
	uint64_t kv_index;
	GPtrArray *kv_waits;
	bool kv_down;
	bool kv_lose_reply; /* the next write is done but not acknowledged */
	bool kv_truncate_doc; /* half of the next document read is lost */
	bool kv_no_wait; /* watches return at once */
	bool vmlist_down;
	uint64_t kv_calls;
	uint64_t next_incarnation;
	uint64_t next_caller;
	uint64_t runs; /* of all endpoints */
	int64_t latency_us;
	int64_t kv_latency_us;
	double duplicate_share; /* share of frames delivered twice */
	double delay_share; /* share of frames delivered late */
	uint64_t frames;
	uint64_t bytes;
	GString *log;
	bool log_on;
};

struct net *net_create(uint32_t seed);
void net_destroy(struct net *n);
struct net_node *net_side(struct net *n, const char *vm, const char *pool,
    const char *domain, uint32_t slots);
struct net_node *net_entry(struct net *n, const char *vm, const char *domain);
void net_start(struct net_node *x);
/** net_kill() - the process exits; its peers see their links close. */
void net_kill(struct net_node *x);
/** net_crash_vm() - the VM is lost: its links stay open without traffic. */
void net_crash_vm(struct net_node *x);
/** net_drop_frames() - open links drop all frames to (@in), from (@out) @x. */
void net_drop_frames(struct net_node *x, bool in, bool out);
/** net_break_links() - open links of @x close, and both ends see it. */
void net_break_links(struct net_node *x);
/**
 * net_silence_watches() - open watches of the KV service get no answer; their
 * callers time out.  New ones work.
 */
void net_silence_watches(struct net *n);
void net_apply(struct net *n, uint64_t generation, const char *doc);
/** net_apply_delta() - as marlctl does, with the delta from @old, if any. */
void net_apply_delta(
    struct net *n, uint64_t generation, const char *doc, const char *old);
void net_run(struct net *n, int64_t us);
int64_t net_now(const struct net *n);
/** net_tick() - advances a node's clock to that of the simulation. */
void net_tick(struct net_node *x);

/** struct net_request_args - one caller's request; NULL: a default. */
struct net_request_args {
	const char *method;
	const char *path;
	const char *api_key;
	const char *idempotency_key;
	const char *body;
	const char *class_name;
	int64_t deadline_us;
};

uint64_t net_request(struct net_node *entry, const struct net_request_args *a);
void net_disconnect_caller(struct net_node *entry, uint64_t caller);
struct net_response *net_response(struct net *n, uint64_t caller);
/** net_response_text() - a JSON field of the response, "" when absent. */
const char *net_response_text(struct net *n, uint64_t caller, const char *f);
uint32_t net_runs(struct net *n, const char *key);
uint32_t net_max_runs(struct net *n);

/** net_doc_with() - net_doc with another policy line; the caller frees it. */
extern const char net_doc[];
char *net_doc_with(const char *policy);

#endif
