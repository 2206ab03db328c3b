#ifndef NET_H
#define NET_H

#include "marlhoist.h"

/*
 * A few nodes in virtual time: real decision services, small fakes at every
 * interface (link, kv, vmlist, endpoint, http).  No socket, no clock.
 */

/* An endpoint that falls does so so long after such a request begins... */
#define NET_FATAL "fatal"
#define NET_FALL_US (60 * MH_US_PER_MS)
/* ...and is back after this. */
#define NET_BACK_US (1500 * MH_US_PER_MS)
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
	bool leaving;
	bool paused;
	int64_t skew_us; /* this VM's wall clock against the others' */
	/* its endpoint */
	int64_t service_us;
	uint32_t status; /* 0: 200 */
	bool unsent; /* the endpoint refuses the connection */
	size_t answer_bytes; /* a service's answer is padded to this */
	bool cut; /* it runs, but its answer is cut */
	bool numbered; /* its tokens are RUN.NUMBER */
	uint32_t surplus; /* tokens that it makes beyond those asked for */
	bool falls; /* it ends under a body with NET_FATAL */
	int64_t fall_us; /* when it ends, or ended; 0: never */
	uint32_t falls_seen;
	GArray *at_it; /* uint64_t, runs that have not ended */
	uint64_t runs;
	uint64_t aborts;
};

/** struct net_answer - what a caller got. */
struct net_answer {
	uint64_t caller;
	uint32_t status;
	uint32_t retry_after_s;
	uint32_t parts;
	bool ended;
	int64_t at_us;
	char *once; /* the key that it was asked with, or NULL */
	uint32_t runs; /* of that key when the answer ended */
	GString *body;
};

struct net {
	struct mh_kern *k; /* the world's own clock and random */
	GPtrArray *nodes;
	GPtrArray *wires;
	GHashTable *under_way; /* deliveries */
	GHashTable *answers; /* caller -> struct net_answer */
	GHashTable *audit; /* key -> runs */
	GHashTable *kv; /* name -> value */
	uint64_t kv_index;
	GPtrArray *kv_waits;
	bool kv_down;
	bool kv_lose_answer; /* the next write's answer is lost */
	bool kv_tear; /* the next configuration is read in half */
	bool kv_no_wait; /* watches return at once */
	bool vmlist_down;
	uint64_t kv_calls;
	uint64_t next_incarnation;
	uint64_t next_caller;
	uint64_t runs; /* of all endpoints */
	int64_t latency_us;
	int64_t kv_us; /* how long the KV service takes */
	double duplicate; /* share of frames delivered twice */
	double delay; /* share of frames delivered late */
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
/** net_kill() - the process dies; its peers see their links close. */
void net_kill(struct net_node *x);
/** net_vanish() - the VM is gone: links stay open and say nothing. */
void net_vanish(struct net_node *x);
/** net_silence() - open links of @x carry nothing any more. */
void net_silence(struct net_node *x, bool in, bool out);
/** net_cut() - open links of @x break, and both ends see it. */
void net_cut(struct net_node *x);
void net_apply(struct net *n, uint64_t generation, const char *doc);
/** net_apply_delta() - as marlctl does, with the delta from @old. */
void net_apply_delta(
    struct net *n, uint64_t generation, const char *doc, const char *old);
void net_run(struct net *n, int64_t us);
int64_t net_now(const struct net *n);
/** net_tick() - brings a node's own clock up to the world's. */
void net_tick(struct net_node *x);

/** struct net_ask - one caller's request. */
struct net_ask {
	const char *method;
	const char *path;
	const char *key;
	const char *once;
	const char *body;
	const char *class_asked;
	int64_t deadline_us;
};

uint64_t net_request(struct net_node *entry, const struct net_ask *a);
void net_caller_leaves(struct net_node *entry, uint64_t caller);
struct net_answer *net_answer(struct net *n, uint64_t caller);
/** net_answer_text() - a field of the answer's JSON, "" when absent. */
const char *net_answer_text(struct net *n, uint64_t caller, const char *f);
uint32_t net_runs(struct net *n, const char *key);
uint32_t net_most_runs(struct net *n);

/** net_doc() - a declaration document for tests, @policy replaces part. */
extern const char net_doc[];
char *net_doc_with(const char *policy);

#endif
