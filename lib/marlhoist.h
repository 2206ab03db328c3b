#ifndef MARLHOIST_H
#define MARLHOIST_H

/*
 * libmarlhoist: decision services, wire codec and adapters.
 *
 * The sections are named after the files that define them.  The code of the
 * sections above "I/O services" opens no sockets, does not read the system
 * clock and has no mutable static variables, so a program can create several
 * kernels and run them in virtual time.
 */

#include <sys/types.h>

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire.pb-c.h"

#define MH_US_PER_MS 1000LL
#define MH_US_PER_S 1000000LL
#define MH_PRIORITIES 4 /* class priorities, 0 is the most urgent */
#define MH_ID_LEN 16 /* a request id, RFC 9562 version 7 */
#define MH_HASH_LEN 32 /* a key's BLAKE2b hash */
#define MH_PARTITIONS 32 /* at-most-once partitions of a service */
#define MH_MAX_FRAME (4U << 20) /* bytes of one frame */
#define MH_MAX_BODY (1U << 20) /* bytes of a caller's request body */

/* err.c */

/** enum mh_error - GError codes; each message names the remedy. */
enum mh_error {
	MH_ERR_SETTING, /* a flag or environment variable is wrong */
	MH_ERR_DECL, /* the declaration document is wrong */
	MH_ERR_IO, /* a socket or file failed */
	MH_ERR_WIRE, /* a frame is malformed */
	MH_ERR_KV, /* the KV service failed or is unreachable */
	MH_ERR_CONFLICT, /* another process wrote first */
	MH_ERR_REQUEST /* a caller's request is wrong */
};
#define MH_ERROR (mh_error_quark())
GQuark mh_error_quark(void);

/* addr.c */

#define MH_HOST_LEN 16
/** mh_addr_parse() - splits IPv4:PORT; false if malformed.  Port 0 is valid. */
bool mh_addr_parse(const char *addr, char host[MH_HOST_LEN], uint16_t *port);

/* kern.c */

struct mh_kern;
struct mh_timer;

enum mh_msg_kind {
	MH_MSG_LINK_DIAL, /* to link: connect to addr as conn */
	MH_MSG_LINK_SEND, /* to link: one packed frame */
	MH_MSG_LINK_CLOSE, /* to link */
	MH_MSG_LINK_UP, /* from link: handshake done */
	MH_MSG_LINK_DOWN, /* from link: closed or never opened */
	MH_MSG_LINK_RX_PROGRESS, /* from link: part of a large frame was
				    received */
	MH_MSG_FRAME, /* from link: one packed frame */
	MH_MSG_REQUEST, /* from http: a caller's request */
	MH_MSG_REPLY, /* to http: a response or part of a stream */
	MH_MSG_CALLER_LEFT, /* from http: the caller disconnected */
	MH_MSG_RUN, /* to endpoint: run one call */
	MH_MSG_RUN_ABORT, /* to endpoint */
	MH_MSG_RUN_CHUNK, /* from endpoint: part of a stream */
	MH_MSG_RUN_DONE, /* from endpoint: the call ended */
	MH_MSG_KV, /* to kv: one operation */
	MH_MSG_KV_DONE, /* from kv: the result */
	MH_MSG_VMLIST, /* from vmlist: the list, or that the read failed */
	MH_MSG_VMLIST_READ /* to vmlist: read the list once */
};

/** struct mh_link_msg - any message to or from the link service. */
struct mh_link_msg {
	uint64_t conn;
	char *addr; /* ip:port, on DIAL and UP */
	char *vm; /* on UP: the peer's, as domain to incarnation */
	char *domain;
	char *role;
	char *pool;
	uint64_t incarnation;
	bool inbound;
	GBytes *frame;
};

/** struct mh_request_msg - a caller's request as the http service parsed it. */
struct mh_request_msg {
	uint64_t id; /* of the waiting caller, for mh_reply_msg */
	char *method;
	char *path;
	char *key; /* bearer key or NULL */
	char *idempotency_key;
	char *class_name; /* NULL: not given */
	int64_t deadline_us; /* 0: not given */
	GHashTable *labels;
	GBytes *body;
};

/** struct mh_reply_msg - a response, or part of one, to a waiting caller. */
struct mh_reply_msg {
	uint64_t id;
	uint32_t status;
	uint32_t retry_after_s; /* 0: none */
	bool stream; /* an SSE part; the first opens the stream */
	bool last;
	GBytes *body;
};

/** struct mh_run_msg - one call to the endpoint of a side process. */
struct mh_run_msg {
	uint64_t run;
	enum {
		MH_ENCODE,
		MH_RETRIEVE,
		MH_RERANK,
		MH_GENERATE,
		MH_SERVICE
	} kind;
	char *path;
	char *key; /* idempotency key for services that check it */
	char *org;
	uint32_t priority;
	bool stream;
	int64_t timeout_us;
	GBytes *body;
	/* below: set by the endpoint service */
	uint32_t status; /* HTTP status, 0: no response */
	bool sent; /* false: the endpoint certainly got nothing */
	bool complete; /* complete response; a stream had its end mark */
	bool broke; /* the connection failed during the call */
	int64_t rest_us; /* it was turned away; none for so long; 0: no */
	uint64_t tokens_in;
	uint64_t tokens_cached;
	uint64_t tokens_out;
};

enum mh_kv_op { MH_KV_GET, MH_KV_WATCH, MH_KV_PUT, MH_KV_DELETE };

/** struct mh_kv_msg - one operation on the platform's KV service. */
struct mh_kv_msg {
	enum mh_kv_op op;
	uint64_t token; /* chosen by the requester */
	char *reply_to; /* service that gets the result */
	char *name; /* key in the KV */
	uint64_t index; /* last modify index that a watch returned */
	uint64_t cas; /* PUT: expected modify index, 0 creates */
	int64_t wait_us; /* longest wait of a watch */
	GBytes *value;
	/* below: the result */
	bool ok; /* the KV service gave a valid response */
	bool found; /* GET, WATCH: the name exists; PUT: it was written */
};

/** struct mh_vm - one VM of the platform's VM list. */
struct mh_vm {
	char *id;
	char *addr; /* ip:port of our process on the VM */
	char *role; /* entry or side */
	char *pool;
	char *domain;
	bool draining; /* takes no new work */
};

/** struct mh_vmlist_msg - result of reading the VM list; ok: it succeeded. */
struct mh_vmlist_msg {
	bool ok;
	GPtrArray *vms; /* struct mh_vm, owned */
};

/** struct mh_msg - a typed message between two services. */
struct mh_msg {
	enum mh_msg_kind kind;
	struct mh_msg *next;
	void *to;
	union {
		struct mh_link_msg link;
		struct mh_request_msg request;
		struct mh_reply_msg reply;
		struct mh_run_msg run;
		struct mh_kv_msg kv;
		struct mh_vmlist_msg vmlist;
	} u;
};

typedef void (*mh_handle_fn)(void *self, struct mh_msg *msg);
typedef void (*mh_free_fn)(void *self);
typedef void (*mh_timer_fn)(void *arg);
typedef void (*mh_log_fn)(void *arg, const char *component, const char *line);

/** mh_kern_create() - creates a kernel without services; its clocks are 0. */
struct mh_kern *mh_kern_create(uint32_t seed);
/**
 * mh_kern_destroy() - destroys the services, the last one added first, then
 * the pending messages and timers.
 */
void mh_kern_destroy(struct mh_kern *k);
/** mh_kern_add() - registers a service; @destroy, unless NULL, frees @self. */
void mh_kern_add(struct mh_kern *k, const char *name, void *self,
    mh_handle_fn handle, mh_free_fn destroy);
/** mh_kern_get() - @self of the named service, or NULL. */
void *mh_kern_get(struct mh_kern *k, const char *name);
/** mh_kern_advance() - sets the clocks, delivers messages, runs due timers. */
void mh_kern_advance(struct mh_kern *k, int64_t now_us, int64_t wall_us);
/** mh_kern_set_clock() - sets the clocks only; time never goes backwards. */
void mh_kern_set_clock(struct mh_kern *k, int64_t now_us, int64_t wall_us);
/**
 * mh_kern_run() - delivers messages and runs the timers due at @until_us.
 *
 * For an owner that has its clock ahead of the input that it has read.
 */
void mh_kern_run(struct mh_kern *k, int64_t until_us);
/** mh_kern_next_us() - time of the next message or timer, us; -1: none. */
int64_t mh_kern_next_us(struct mh_kern *k);
/** mh_now() - monotonic time in microseconds. */
int64_t mh_now(struct mh_kern *k);
/** mh_wall() - Unix time in microseconds; never used for deadlines. */
int64_t mh_wall(struct mh_kern *k);
uint64_t mh_next_id(struct mh_kern *k);
uint64_t mh_random(struct mh_kern *k);
/** mh_random_unit() - a double in [0, 1). */
double mh_random_unit(struct mh_kern *k);
struct mh_msg *mh_msg_new(enum mh_msg_kind kind);
void mh_msg_free(struct mh_msg *msg);
/**
 * mh_post() - queues @msg for the service @to.  The kernel frees @msg after the
 * service has handled it, or at once if there is no such service.
 */
void mh_post(struct mh_kern *k, const char *to, struct mh_msg *msg);
/**
 * mh_timer_set() - calls @fn once, after @delay_us, with *@t set to NULL.
 * @t: the owner's pointer to it, which must not move; *@t is NULL if none runs
 *
 * The timer that runs in *@t is stopped.
 */
void mh_timer_set(struct mh_kern *k, struct mh_timer **t, int64_t delay_us,
    mh_timer_fn fn, void *arg);
/** mh_timer_start() - the same without an owner: it can't be stopped. */
void mh_timer_start(
    struct mh_kern *k, int64_t delay_us, mh_timer_fn fn, void *arg);
/** mh_timer_stop() - cancels *@t and sets it to NULL; *@t may be NULL. */
void mh_timer_stop(struct mh_kern *k, struct mh_timer **t);
void mh_log(struct mh_kern *k, const char *component, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
void mh_kern_set_log(struct mh_kern *k, mh_log_fn fn, void *arg);
/** mh_count() - adds @n to the named counter. */
void mh_count(struct mh_kern *k, const char *name, uint64_t n);
uint64_t mh_counter(struct mh_kern *k, const char *name);
/** mh_kern_metrics() - all counters as Prometheus text; g_free() it. */
char *mh_kern_metrics(struct mh_kern *k);
/** mh_kern_counters() - all counters as a new JSON object. */
json_t *mh_kern_counters(struct mh_kern *k);
/** mh_uuid7() - a version 7 UUID from the kernel's clock and random numbers. */
void mh_uuid7(struct mh_kern *k, uint8_t id[MH_ID_LEN]);
char *mh_uuid_text(const uint8_t id[MH_ID_LEN]);
/** mh_uuid7_ms() - Unix time in ms of a version 7 UUID, -1 for other text. */
int64_t mh_uuid7_ms(const char *text);
struct mh_vm *mh_vm_new(const char *id, const char *addr, const char *role,
    const char *pool, const char *domain, bool draining);
void mh_vm_free(struct mh_vm *vm);

/* hist.c */

struct mh_hist;
/** mh_hist_create() - log-linear buckets, 3% wide, 1 us to 5 min and more. */
struct mh_hist *mh_hist_create(void);
void mh_hist_destroy(struct mh_hist *h);
void mh_hist_add(struct mh_hist *h, int64_t value_us);
/** mh_hist_quantile() - the value at quantile @q in [0, 1]. */
int64_t mh_hist_quantile(const struct mh_hist *h, double q);
uint64_t mh_hist_count(const struct mh_hist *h);

/* wire.c */

/** mh_frame_pack() - packs one frame, without the length; caller unrefs. */
GBytes *mh_frame_pack(const Mh__Frame *f);
/** mh_frame_unpack() - NULL when malformed; free with mh_frame_free(). */
Mh__Frame *mh_frame_unpack(GBytes *b);
void mh_frame_free(Mh__Frame *f);
/** mh_frame_send() - sets the generation of @f and posts it to "link". */
void mh_frame_send(struct mh_kern *k, uint64_t conn, Mh__Frame *f);
void mh_link_dial(struct mh_kern *k, uint64_t conn, const char *addr);
void mh_link_close(struct mh_kern *k, uint64_t conn);

/* decl.c */

enum mh_routing { MH_ROUTE_TWO_CHOICES, MH_ROUTE_ROUND_ROBIN };
enum mh_queueing { MH_QUEUE_URGENT, MH_QUEUE_FIFO };
enum mh_admission { MH_ADMIT_DEADLINE, MH_ADMIT_ALL };
enum mh_retrying { MH_RETRY_BUDGET, MH_RETRY_PLAIN };

/** struct mh_policy - configured policies and their parameters. */
struct mh_policy {
	uint32_t routing;
	uint32_t queueing;
	uint32_t admission;
	uint32_t retrying;
	bool hedge;
	bool affinity;
	int64_t fixed_timeout_us;
	double retry_share;
	int64_t retention_us; /* ledger rows are kept this long */
	int64_t skew_us; /* largest clock difference between VMs */
	int64_t vm_removed_us; /* a VM unlisted for longer is removed */
	double weight_in; /* cost of a token, see docs/MEASUREMENTS.md */
	double weight_cached;
	double weight_out;
};

struct mh_class {
	char *name;
	uint32_t priority;
	int64_t deadline_us;
	double share; /* share of the starts reserved for this class */
};

struct mh_pool {
	char *name;
	uint32_t kind; /* MH_ENCODE ... */
	bool checks_fencing;
	bool honours_priority;
	bool prefix_cache;
	int64_t warmup_us; /* an endpoint is cold this long after its start */
	double cold_per_s; /* calls a cold endpoint can take; 0: any */
};

struct mh_stage {
	char *name;
	uint32_t kind;
	char *pool;
	char *model;
	char *path;
	bool at_most_once;
	int64_t timeout_us;
	uint32_t top_k;
	uint32_t max_tokens;
	uint32_t line;
};

struct mh_pipeline {
	char *name;
	GPtrArray *stages; /* struct mh_stage */
	uint32_t line;
};

struct mh_when {
	GPtrArray *organisations; /* NULL: any */
	GPtrArray *pipelines;
	GPtrArray *classes;
	GPtrArray *models;
	GHashTable *labels; /* NULL: any */
	int32_t from_min; /* minutes of the UTC day, -1: any */
	int32_t to_min;
};

struct mh_then {
	char *pipeline;
	char *class_name;
	char *model;
	char *refuse;
	int64_t deadline_us;
	uint32_t max_tokens;
};

struct mh_rule {
	char *name;
	struct mh_when when;
	struct mh_then then;
	uint32_t line;
};

struct mh_key {
	char *hash_hex;
	uint8_t hash[MH_HASH_LEN];
	double units_per_s; /* 0: limited by the organisation only */
	uint32_t streams;
	bool operator_key;
};

struct mh_org {
	char *name;
	uint32_t weight;
	double units_per_s;
	double burst_units;
	uint32_t streams;
	GPtrArray *keys;
	uint32_t line;
};

/** struct mh_decl - a valid declaration document, reference counted. */
struct mh_decl {
	int refs;
	uint64_t generation;
	GBytes *doc;
	struct mh_policy policy;
	GPtrArray *classes;
	GPtrArray *pools;
	GPtrArray *pipelines;
	GPtrArray *rules;
	GPtrArray *orgs;
	GPtrArray *evacuated; /* failure domains; NULL: none */
	GHashTable *by_key; /* hash -> struct mh_key_match */
};

/** struct mh_key_match - a declared key and its organisation. */
struct mh_key_match {
	struct mh_org *org;
	struct mh_key *key;
};

/**
 * mh_decl_read() - reads and checks a YAML declaration document.
 *
 * Return: the document with one reference, or NULL with @err, whose message
 * names the line, the field, the reason and the remedy.
 */
struct mh_decl *mh_decl_read(GBytes *doc, GError **err);
struct mh_decl *mh_decl_ref(struct mh_decl *d);
void mh_decl_unref(struct mh_decl *d);
struct mh_pipeline *mh_decl_pipeline(const struct mh_decl *d, const char *n);
struct mh_class *mh_decl_class(const struct mh_decl *d, const char *n);
struct mh_pool *mh_decl_pool(const struct mh_decl *d, const char *n);
struct mh_org *mh_decl_org(const struct mh_decl *d, const char *n);
/** mh_decl_evacuated() - true if a failure domain must get no new work. */
bool mh_decl_evacuated(const struct mh_decl *d, const char *domain);
/**
 * mh_decl_with_evacuated() - a document that evacuates exactly @domains.
 *
 * Return: the new text, valid for mh_decl_read() and owned by the caller, or
 * NULL with @err.
 */
GBytes *mh_decl_with_evacuated(
    GBytes *doc, const GPtrArray *domains, GError **err);
/** mh_domain_ok() - true if @name is a valid name of a failure domain. */
bool mh_domain_ok(const char *name);
/** mh_decl_find_key() - the record of a key, or NULL; in constant time. */
const struct mh_key_match *mh_decl_find_key(
    const struct mh_decl *d, const char *key);
/** mh_key_hash() - BLAKE2b-256 of a key, which declarations store as hex. */
void mh_key_hash(const char *key, uint8_t hash[MH_HASH_LEN]);

/* declread.c: table-driven reader of declarations */

enum mh_field_type {
	MH_F_STR,
	MH_F_BOOL,
	MH_F_U32,
	MH_F_DOUBLE,
	MH_F_MS, /* milliseconds, stored as microseconds */
	MH_F_ENUM,
	MH_F_STRS, /* a string or a list of strings */
	MH_F_MAP, /* a mapping of strings to strings */
	MH_F_LIST, /* a list of mappings with their own table */
	MH_F_STRUCT, /* one mapping with its own table */
	MH_F_LINE /* not read: set to the line number of the mapping */
};

struct mh_table;

/** struct mh_field - one field of a mapping. */
struct mh_field {
	const char *name;
	enum mh_field_type type;
	size_t offset;
	bool required;
	double min;
	double max;
	const char *const *words; /* MH_F_ENUM: values, NULL at the end */
	const struct mh_table *table; /* MH_F_LIST, MH_F_STRUCT */
};

/** struct mh_table - the fields of one mapping. */
struct mh_table {
	const char *what; /* name in error messages */
	size_t size; /* bytes of the struct */
	const struct mh_field *fields;
	GDestroyNotify destroy;
	void (*init)(void *item); /* sets defaults; NULL: all zero */
};

/** mh_yaml_read() - reads @doc into @out; absent fields are not changed. */
bool mh_yaml_read(
    GBytes *doc, const struct mh_table *table, void *out, GError **err);

/* hub.c: service "hub", the frame dispatcher */

typedef void (*mh_frame_fn)(void *arg, uint64_t conn, const Mh__Frame *f);

void mh_hub_create(struct mh_kern *k);
/** mh_hub_set_handler() - sets the only handler of the frames of one kind. */
void mh_hub_set_handler(
    struct mh_kern *k, Mh__Frame__BodyCase kind, mh_frame_fn fn, void *arg);

/* rules.c */

/** struct mh_rule_input - the properties of a request that rules match. */
struct mh_rule_input {
	const char *org;
	const char *pipeline;
	const char *class_name;
	const char *model;
	GHashTable *labels;
	int64_t wall_us;
	int64_t deadline_us;
};

/** struct mh_decision - what the first matching rule decided. */
struct mh_decision {
	const struct mh_rule *rule; /* NULL: none matched */
	const struct mh_pipeline *pipeline; /* NULL: no such pipeline */
	const struct mh_class *class;
	const char *model;
	const char *refuse;
	int64_t deadline_us;
	uint32_t max_tokens;
};

void mh_rules_decide(const struct mh_decl *d, const struct mh_rule_input *in,
    struct mh_decision *out);
/** mh_rules_explain() - a line per rule up to the first match; g_free() it. */
char *mh_rules_explain(const struct mh_decl *d, const struct mh_rule_input *in);

/* conf.c: service "conf" */

typedef void (*mh_conf_fn)(void *arg, struct mh_decl *d);

void mh_conf_create(struct mh_kern *k);
/** mh_conf_get() - the declaration in force, or NULL before the first. */
struct mh_decl *mh_conf_get(struct mh_kern *k);
uint64_t mh_conf_generation(struct mh_kern *k);
/** mh_conf_on_change() - called after each new generation is in force. */
void mh_conf_on_change(struct mh_kern *k, mh_conf_fn fn, void *arg);
/** mh_conf_peer_generation() - the peer on @conn has @generation. */
void mh_conf_peer_generation(
    struct mh_kern *k, uint64_t conn, uint64_t generation);
/**
 * mh_conf_load() - puts a document in force without the KV service.
 *
 * Return: true, also if a generation at least as new is in force; false with
 * @err if the document is invalid.
 */
bool mh_conf_load(
    struct mh_kern *k, uint64_t generation, GBytes *doc, GError **err);
json_t *mh_conf_state(struct mh_kern *k);
/** mh_conf_head_make() - the KV head value of a new document, owned. */
GBytes *mh_conf_head_make(uint64_t generation, const char *write_id,
    GBytes *doc, uint64_t base, GBytes *base_doc, json_t *history);
#define MH_CONF_HEAD "config/head"
#define MH_CONF_DOC "config/doc/"

/* member.c: service "member" */

/** struct mh_peer - another marlhoist process, as tracked by this one. */
struct mh_peer {
	char *vm;
	char *addr;
	char *role;
	char *pool;
	char *domain;
	bool listed; /* on the newest VM list */
	bool list_draining; /* draining by the VM list */
	bool draining; /* by its own report */
	int64_t absent_since_us; /* left the VM list, 0: listed */
	/* link */
	uint64_t conn; /* the link in use, 0 for none */
	bool conn_outbound; /* dialed by this process */
	uint64_t inbound; /* the last link that the peer dialed, 0: none */
	uint64_t old_inbound; /* the one before it, 0: none */
	uint64_t dial_conn; /* the link being opened, 0: none */
	bool up;
	uint64_t incarnation;
	int64_t last_rx_us;
	int64_t ping_at_us; /* the ping without a pong yet, 0: none */
	int64_t pong_at_us; /* when both directions last worked */
	int64_t dialed_us;
	int64_t up_since_us; /* when this incarnation was first linked */
	uint32_t dial_failures; /* links that failed since the last pong */
	bool unproven; /* the link has replaced one that failed: no pong yet */
	/* load, maintained by route.c */
	uint32_t own_calls; /* calls of this process in flight there */
	uint32_t load_running;
	uint32_t load_queued;
	uint32_t load_slots;
	uint32_t load_own_calls; /* own_calls when the load was reported */
	uint64_t load_wait_us[MH_PRIORITIES];
	int64_t load_at_us;
	int64_t rest_end_us; /* its endpoint takes nothing before */
	int64_t last_call_us; /* last call of this process, 0: none */
	double ewma_us; /* smoothed endpoint time of one call */
	uint32_t fail_streak; /* failed calls in a row */
	int64_t eject_until_us;
	int64_t eject_for_us;
	bool in_subset; /* see mh_subset_choose() */
	bool keep_link; /* set by mh_member_dial() */
	uint64_t generation; /* newest configuration seen in its frames */
	void *calls; /* open calls there, owned by relay.c */
};

typedef void (*mh_peer_fn)(void *arg, struct mh_peer *p);

void mh_member_create(
    struct mh_kern *k, const char *vm, const char *domain, const char *role);
/** mh_member_pool() - all tracked peers of a pool (struct mh_peer). */
GPtrArray *mh_member_pool(struct mh_kern *k, const char *pool);
struct mh_peer *mh_member_find(struct mh_kern *k, const char *vm);
struct mh_peer *mh_member_conn(struct mh_kern *k, uint64_t conn);
/** mh_member_foreach() - calls @fn for every tracked peer. */
void mh_member_foreach(struct mh_kern *k, mh_peer_fn fn, void *arg);
/**
 * mh_member_usable() - whether @p takes new calls: linked, and answering if
 * its last link failed, in the subset, not draining, not off the VM list for
 * long, its failure domain not evacuated.
 */
bool mh_member_usable(struct mh_kern *k, const struct mh_peer *p);
/** mh_member_vm_listed() - @vm is on the VM list or its row changed. */
void mh_member_vm_listed(struct mh_kern *k, const struct mh_vm *vm);
/** mh_member_vm_unlisted() - @vm is no longer on the VM list. */
void mh_member_vm_unlisted(struct mh_kern *k, const char *vm);
/** mh_member_refresh() - chooses the links again after a list change. */
void mh_member_refresh(struct mh_kern *k);
uint32_t mh_member_link_count(struct mh_kern *k);
bool mh_member_draining(struct mh_kern *k);
/** mh_member_dial() - opens a link to @p and keeps it open from now on. */
void mh_member_dial(struct mh_kern *k, struct mh_peer *p);
enum mh_link_event { MH_LINK_UP, MH_LINK_UP_RESTARTED, MH_LINK_FAILED };
typedef void (*mh_link_fn)(
    void *arg, struct mh_peer *p, enum mh_link_event ev, uint64_t conn);

/**
 * mh_member_on_link() - calls @fn for every event of a link to a peer.
 *
 * MH_LINK_UP: a link is up; MH_LINK_UP_RESTARTED: the same, and the peer has
 * another incarnation than on the link before; MH_LINK_FAILED: a dial failed
 * and no link is up.  A link that the peer dialed is always MH_LINK_UP.
 */
void mh_member_on_link(struct mh_kern *k, mh_link_fn fn, void *arg);
/** mh_member_rx() - records that @f came from @conn, and its load report. */
void mh_member_rx(struct mh_kern *k, uint64_t conn, const Mh__Frame *f);
void mh_member_link_changed(struct mh_kern *k, struct mh_msg *msg);
/** mh_member_drain() - reports to every linked peer that we are draining. */
void mh_member_drain(struct mh_kern *k);
json_t *mh_member_state(struct mh_kern *k);

/* subset.c */

/** struct mh_subset_args - the entry that the subset is for. */
struct mh_subset_args {
	const char *vm;
	const char *domain;
	uint32_t entries; /* listed, this one included */
};

typedef void (*mh_subset_fn)(void *arg, struct mh_peer *p, bool link);

/** mh_subset_choose() - calls @fn with whether to link to each peer. */
void mh_subset_choose(const struct mh_subset_args *a, GPtrArray *pool,
    mh_subset_fn fn, void *arg);

/* roster.c: service "roster", the copy of the VM list */

/** mh_roster_create() - @pool: the only pool to keep, NULL on an entry. */
void mh_roster_create(
    struct mh_kern *k, const char *vm, const char *domain, const char *pool);
/** mh_member_is_removed() - whether @vm left the list over @after_us ago. */
bool mh_member_is_removed(struct mh_kern *k, const char *vm, int64_t after_us);
/** mh_member_has_list() - whether the VM list was ever read. */
bool mh_member_has_list(struct mh_kern *k);
/** mh_member_self_removed() - this VM was listed and no longer is. */
bool mh_member_self_removed(struct mh_kern *k);
/**
 * mh_member_is_watcher() - whether this process reads @key from the platform
 * for its failure domain; the others get it from the watchers.
 */
bool mh_member_is_watcher(struct mh_kern *k, const char *key);
/** mh_member_entry_count() - listed entries that serve, at least 1. */
uint32_t mh_member_entry_count(struct mh_kern *k);
/**
 * mh_member_pick_entry() - the entry for @key by rendezvous hashing of those
 * listed and not draining; NULL if there is none.
 */
const char *mh_member_pick_entry(struct mh_kern *k, const char *key);
/** mh_member_pick_side() - the same among the side processes of @pool. */
const char *mh_member_pick_side(
    struct mh_kern *k, const char *pool, const char *key);
json_t *mh_roster_state(struct mh_kern *k);

/* rendez.c */

/**
 * mh_roster_rank() - how many entries precede this one in the order for @key.
 * @entries: set to the number of entries that serve, at least 1
 *
 * UINT32_MAX before the first reading of the VM list.
 */
uint32_t mh_roster_rank(struct mh_kern *k, const char *key, uint32_t *entries);
/** mh_rendezvous() - the weight of @node for @key; the highest is chosen. */
uint64_t mh_rendezvous(const char *key, const char *node);
uint64_t mh_hash(const void *data, size_t len);

/* route.c: service "route" */

/** struct mh_pick - requirements of a call on its endpoint. */
struct mh_pick {
	const char *pool;
	uint64_t affinity; /* 0: none */
	const char *avoid_vm; /* of the previous try; NULL: none */
	const char *avoid_domain;
	uint64_t isolation_hash; /* see poison.h; 0: choose by load */
};

void mh_route_create(struct mh_kern *k, const char *domain);
/** mh_route_pick() - the endpoint for a call, or NULL if none is usable. */
struct mh_peer *mh_route_pick(struct mh_kern *k, const struct mh_pick *q);
/** mh_route_load() - records the load that @p reported. */
void mh_route_load(struct mh_kern *k, struct mh_peer *p, const Mh__Load *l);
/** mh_route_sent() - a call was sent; mh_route_result() must follow. */
void mh_route_sent(struct mh_kern *k, struct mh_peer *p);
/**
 * mh_route_result() - records the end of a call.
 * @good: false counts as a failure of @p
 * @endpoint_us: time at the endpoint; 0: not known
 */
void mh_route_result(
    struct mh_kern *k, struct mh_peer *p, bool good, int64_t endpoint_us);
/** mh_route_observe() - the same without the end of a call. */
void mh_route_observe(
    struct mh_kern *k, struct mh_peer *p, bool good, int64_t endpoint_us);
/** mh_route_wait() - shortest expected wait in us; -1: none is usable. */
int64_t mh_route_wait(struct mh_kern *k, const char *pool, uint32_t priority);
/** mh_route_rest() - time until an endpoint of @pool is not at rest. */
int64_t mh_route_rest(struct mh_kern *k, const char *pool);
/** mh_route_usable() - number of usable endpoints, ejected ones included. */
uint32_t mh_route_usable(struct mh_kern *k, const char *pool);

/* predict.c: service "predict" */

void mh_predict_create(struct mh_kern *k);
/** mh_predict_add() - a call took @us and generated @tokens. */
void mh_predict_add(
    struct mh_kern *k, const char *pool, int64_t us, uint32_t tokens);
/** mh_predict_first() - the first chunk of a stream came after @us. */
void mh_predict_first(struct mh_kern *k, const char *pool, int64_t us);
/** mh_predict_us() - expected time of a call; @dev_us: deviation, or NULL. */
int64_t mh_predict_us(
    struct mh_kern *k, const char *pool, uint32_t tokens, int64_t *dev_us);

/* relay.c: service "relay" */

struct mh_call;

/** struct mh_call_args - one stage call; pointers are borrowed. */
struct mh_call_args {
	const uint8_t *request;
	uint32_t stage;
	uint32_t attempt;
	uint32_t kind;
	uint32_t priority;
	int64_t remaining_us; /* until the call's deadline */
	const char *org;
	uint32_t org_weight;
	uint64_t units;
	uint64_t predicted_us;
	const char *path;
	GBytes *body;
	bool stream;
	bool at_most_once;
	const char *key;
	uint32_t partition;
	uint64_t epoch;
	uint32_t out_tokens;
	uint64_t fingerprint; /* of the caller's request, see poison.h */
};

/** struct mh_call_event - a chunk (result NULL) or the end of a call. */
struct mh_call_event {
	GBytes *chunk;
	const Mh__Result *result;
	bool lost; /* no result came; the relay set the outcome */
	struct mh_peer *peer;
};

typedef void (*mh_call_fn)(
    void *arg, struct mh_call *c, const struct mh_call_event *ev);

void mh_relay_create(struct mh_kern *k);
/** mh_relay_start() - sends a call; freed after @fn got its end. */
struct mh_call *mh_relay_start(struct mh_kern *k, struct mh_peer *p,
    const struct mh_call_args *a, mh_call_fn fn, void *arg);
/** mh_relay_cancel() - cancels and frees @c; no event follows. */
void mh_relay_cancel(struct mh_kern *k, struct mh_call *c);
struct mh_peer *mh_call_peer(const struct mh_call *c);
/** mh_relay_active_count() - number of calls in flight. */
uint32_t mh_relay_active_count(struct mh_kern *k);

/* owner.c: the owner table of a service, in entries and side processes */

struct mh_owners;

/** struct mh_partition - the owner of one partition. */
struct mh_partition {
	char *vm; /* "": none */
	uint64_t incarnation; /* of the side process */
	uint64_t epoch; /* incremented by each change of the owner */
	int64_t bound_ms; /* keys up to this time may have run; Unix time */
};

struct mh_owners *mh_owners_create(const char *service);
void mh_owners_destroy(struct mh_owners *o);
const struct mh_partition *mh_owners_part(
    const struct mh_owners *o, uint32_t p);
void mh_owners_set(struct mh_owners *o, uint32_t p, const char *vm,
    uint64_t incarnation, uint64_t epoch, int64_t bound_ms);
void mh_owners_set_version(struct mh_owners *o, uint64_t version);
/** mh_owners_parse() - reads the JSON of the KV service; false: malformed. */
bool mh_owners_parse(struct mh_owners *o, GBytes *value);
/** mh_owners_serialize() - the JSON for the KV service, owned. */
GBytes *mh_owners_serialize(const struct mh_owners *o);
/** mh_owners_kv_stale() - the last table parsed had an older epoch. */
bool mh_owners_kv_stale(const struct mh_owners *o);
/** mh_owners_merge() - takes newer epochs from a frame; true if any. */
bool mh_owners_merge(struct mh_owners *o, const Mh__Owners *f);
void mh_owners_send(
    struct mh_kern *k, const struct mh_owners *o, uint64_t conn);
uint32_t mh_partition_of(const char *key);

/* limit.c: service "limit" */

/** struct mh_limit_ticket - what is reserved for an admitted request. */
struct mh_limit_ticket {
	char *org;
	const void *key;
	uint8_t key_hash[MH_HASH_LEN];
	bool has_key;
	double units;
};

void mh_limit_create(struct mh_kern *k, const char *vm);
/**
 * mh_limit_reserve() - reserves @units and a stream.
 *
 * Return: 0 if reserved, the microseconds to wait before a retry, or -1 if
 * @units are more than the limits can ever allow.
 */
int64_t mh_limit_reserve(struct mh_kern *k, const struct mh_key_match *who,
    double units, struct mh_limit_ticket *t);
/** mh_limit_settle() - returns the unused units and the stream; clears @t. */
void mh_limit_settle(struct mh_kern *k, struct mh_limit_ticket *t, double used);
json_t *mh_limit_state(struct mh_kern *k);

/* stage.c */

/** struct mh_flow - data passed between the stages of one request. */
struct mh_flow {
	json_t *input; /* the caller's document */
	json_t *embedding;
	json_t *documents;
	GString *text; /* generated so far */
	json_t *answer; /* result of the last stage that ended */
	uint32_t priority; /* of the request's class, for engines */
};

/** mh_stage_body() - builds the body of a stage's call. */
GBytes *mh_stage_body(const struct mh_stage *s, const struct mh_flow *f,
    const char *model, uint32_t max_tokens, uint32_t done_tokens);
/** mh_stage_read_result() - parses a result into @f; false: malformed. */
bool mh_stage_read_result(
    const struct mh_stage *s, struct mh_flow *f, GBytes *result);
const char *mh_stage_path(const struct mh_stage *s);
const char *mh_stage_kind(uint32_t kind);
void mh_flow_clear(struct mh_flow *f);

/* entry.c: service "entry" */

void mh_entry_create(struct mh_kern *k, const char *vm, const char *domain);
/**
 * mh_entry_drain() - announces to the peers that this entry is draining.
 *
 * Requests that still arrive on open connections are served, since a load
 * balancer takes a moment to react.  Every request is answered before the
 * process is killed, @grace_us from now (MH_GRACE_MIN_S or more).
 */
void mh_entry_drain(struct mh_kern *k, int64_t grace_us);
bool mh_entry_draining(struct mh_kern *k);
/** mh_entry_active_count() - number of callers that wait for a response. */
uint32_t mh_entry_active_count(struct mh_kern *k);
json_t *mh_entry_state(struct mh_kern *k);

/* queue.c */

struct mh_queue;

/** struct mh_item - a queued call, embedded in the caller's struct. */
struct mh_item {
	uint32_t priority;
	int64_t deadline_us;
	uint64_t units; /* weighted tokens */
	int64_t predicted_us; /* expected time at the endpoint */
	uint32_t org_weight;
	const char *org;
	void *call;
	/* private to queue.c */
	uint64_t seq;
	bool queued;
};

struct mh_queue *mh_queue_create(uint32_t limit);
void mh_queue_destroy(struct mh_queue *q);
/** mh_queue_policy() - MH_QUEUE_URGENT or MH_QUEUE_FIFO (arrival order). */
void mh_queue_policy(struct mh_queue *q, uint32_t queueing);
/** mh_queue_share() - share of the starts reserved for a priority, 0 to 1. */
void mh_queue_share(struct mh_queue *q, uint32_t priority, double share);
/**
 * mh_queue_put() - adds @it, which stays the caller's.
 *
 * Return: NULL, or the item that is not queued because the queue is full: @it
 * itself or an evicted one.
 */
struct mh_item *mh_queue_put(struct mh_queue *q, struct mh_item *it);
void mh_queue_remove(struct mh_queue *q, struct mh_item *it);
/** mh_queue_pop() - next item; only of priority 0 if @urgent_only; or NULL. */
struct mh_item *mh_queue_pop(struct mh_queue *q, bool urgent_only);
uint32_t mh_queue_len(const struct mh_queue *q);
/**
 * mh_queue_work_us() - total predicted time of the items at @priority or above,
 * with MH_QUEUE_FIFO of all items.
 */
int64_t mh_queue_work_us(const struct mh_queue *q, uint32_t priority);
/**
 * mh_queue_pop_infeasible() - an item that cannot meet its deadline, or NULL.
 *
 * @factor: actual over predicted time; 0: only items past their deadline.
 */
struct mh_item *mh_queue_pop_infeasible(
    struct mh_queue *q, int64_t now_us, double factor);

/* ledger.c */

struct mh_ledger;

/** enum mh_ledger_verdict - what to do with a call, by its key. */
enum mh_ledger_verdict {
	MH_LEDGER_RUN, /* entered as running: the caller must run it */
	MH_LEDGER_ATTACH, /* is running: wait for its result */
	MH_LEDGER_DONE, /* return the stored result */
	MH_LEDGER_REFUSED, /* this request was refused and must not run */
	MH_LEDGER_REVOKED, /* the key was revoked and must not run */
	MH_LEDGER_UNKNOWN, /* may have run, with an unknown result */
	MH_LEDGER_MISMATCH, /* the key came with another body before */
	MH_LEDGER_FUTURE /* timestamp beyond the allowed clock skew */
};

struct mh_ledger_row {
	char *key;
	Mh__Outcome outcome;
	uint32_t status;
	GBytes *body;
	uint64_t body_hash;
	int64_t stamp_ms; /* timestamp of the key, or its arrival; Unix time */
	uint32_t partition;
};

struct mh_ledger *mh_ledger_create(uint32_t limit);
void mh_ledger_destroy(struct mh_ledger *l);
/** mh_ledger_open() - opens @p; keys up to @bound_ms do not run. */
void mh_ledger_open(struct mh_ledger *l, uint32_t p, int64_t bound_ms);
void mh_ledger_close(struct mh_ledger *l, uint32_t p);
int64_t mh_ledger_bound(const struct mh_ledger *l, uint32_t p);
/** struct mh_ledger_request - a call to be run. */
struct mh_ledger_request {
	uint32_t partition;
	const char *key;
	const uint8_t *request; /* id of MH_ID_LEN bytes */
	uint64_t body_hash;
	int64_t now_ms;
	int64_t skew_ms;
	int64_t retention_ms;
};
/** mh_ledger_request() - decides on a call; with RUN the row is added. */
enum mh_ledger_verdict mh_ledger_request(
    struct mh_ledger *l, const struct mh_ledger_request *a);
/** mh_ledger_refuse() - records that @request has not run and must not. */
void mh_ledger_refuse(struct mh_ledger *l, const char *key,
    const uint8_t *request, int64_t now_ms);
/** mh_ledger_undo() - removes the row of a call that did not run. */
void mh_ledger_undo(struct mh_ledger *l, const char *key);
void mh_ledger_end(struct mh_ledger *l, const char *key, Mh__Outcome outcome,
    uint32_t status, GBytes *body);
/**
 * mh_ledger_revoke() - adds a row to a key without one, so it never runs.
 *
 * Return: the row of the key, which may be of an earlier run; NULL if the key
 * has none and may have run.
 */
const struct mh_ledger_row *mh_ledger_revoke(
    struct mh_ledger *l, uint32_t p, const char *key, int64_t now_ms);
/** mh_ledger_may_have_run() - for a key without a row, by the bound. */
bool mh_ledger_may_have_run(
    const struct mh_ledger *l, uint32_t p, const char *key);
const struct mh_ledger_row *mh_ledger_find(
    const struct mh_ledger *l, const char *key);
/**
 * mh_ledger_outcome() - the outcome of a key.
 *
 * Return: NOT_RUN only if the ledger shows that the key never ran; UNKNOWN if
 * the key has no row and may have run.
 */
Mh__Outcome mh_ledger_outcome(
    const struct mh_ledger *l, uint32_t p, const char *key);
void mh_ledger_expire(
    struct mh_ledger *l, int64_t now_ms, int64_t retention_ms);
/** mh_ledger_rows() - the rows of a partition; free the array only. */
GPtrArray *mh_ledger_rows(const struct mh_ledger *l, uint32_t p);
/** mh_ledger_add() - adds a row received in a handover. */
void mh_ledger_add(struct mh_ledger *l, uint32_t p, const Mh__LedgerEntry *e);
uint32_t mh_ledger_len(const struct mh_ledger *l);

/* claim.c: service "claim", the partitions that a side process owns */

void mh_claim_create(struct mh_kern *k, const char *vm, const char *pool,
    uint64_t incarnation, struct mh_ledger *l);
/** mh_claim_owns() - true if calls of @p may start here, in this epoch. */
bool mh_claim_owns(struct mh_kern *k, uint32_t p, uint64_t epoch);
/** mh_claim_exclusive() - true if no other process can start calls of @p. */
bool mh_claim_exclusive(struct mh_kern *k, uint32_t p);
/** mh_claim_open() - true if this is the owner, also during a handover. */
bool mh_claim_open(struct mh_kern *k, uint32_t p);
void mh_claim_drain(struct mh_kern *k);
/** mh_claim_count() - partitions owned or being received by handover. */
uint32_t mh_claim_count(struct mh_kern *k);
/** mh_claim_busy() - a call of partition @p started (+1) or ended (-1). */
void mh_claim_busy(struct mh_kern *k, uint32_t p, int delta);
json_t *mh_claim_state(struct mh_kern *k);

/* side.c: service "side" */

/** enum mh_refusal - why a side process did not run a call. */
enum mh_refusal {
	MH_REFUSAL_NONE,
	MH_REFUSAL_QUEUE_FULL,
	MH_REFUSAL_DEADLINE, /* it cannot finish before its deadline */
	MH_REFUSAL_DRAINING,
	MH_REFUSAL_NOT_OWNER, /* of the key's partition, or not in that epoch */
	MH_REFUSAL_DUPLICATE, /* this request was refused before */
	MH_REFUSAL_REVOKED, /* the key was revoked */
	MH_REFUSAL_MISMATCH, /* the key came with another body before */
	MH_REFUSAL_FUTURE, /* the key's timestamp is in the future */
	MH_REFUSAL_QUARANTINED /* endpoints crash on its request */
};

/** struct mh_side_args - identity and capacity of a side process. */
struct mh_side_args {
	const char *vm;
	const char *domain;
	const char *pool;
	uint64_t incarnation;
	uint32_t slots; /* calls that run at the endpoint at once */
	uint32_t queue_limit; /* calls */
};

void mh_side_create(struct mh_kern *k, const struct mh_side_args *a);
/**
 * mh_side_drain() - starts to drain this side process.
 *
 * Announces the drain to the peers, refuses new calls and hands over the
 * partitions.  The process is killed after @grace_us, at least MH_GRACE_MIN_S.
 * Before that every call gets a result: a call that cannot finish in time is
 * not started, and one that still runs is aborted.
 */
void mh_side_drain(struct mh_kern *k, int64_t grace_us);
/** mh_side_idle() - true if draining without calls, orders, partitions. */
bool mh_side_idle(struct mh_kern *k);
/** mh_side_load() - fills in @l; false if this is not a side process. */
bool mh_side_load(
    struct mh_kern *k, Mh__Load *l, uint64_t wait_us[MH_PRIORITIES]);
json_t *mh_side_state(struct mh_kern *k);

/*
 * I/O services: everything below touches sockets or the system clock.
 */

/* loop.c */

struct mh_loop;
typedef void (*mh_fd_fn)(void *arg, bool readable, bool writable);

/** mh_loop_create() - an event loop that drives @k in real time. */
struct mh_loop *mh_loop_create(struct mh_kern *k, GError **err);
void mh_loop_destroy(struct mh_loop *l);
/** mh_loop_fd() - calls @fn when @fd is readable or writable, as chosen. */
void mh_loop_fd(
    struct mh_loop *l, int fd, bool read, bool write, mh_fd_fn fn, void *arg);
/** mh_loop_fd_close() - stops watching @fd and leaves it open. */
void mh_loop_fd_close(struct mh_loop *l, int fd);
/**
 * mh_loop_before_wait() - calls @fn before each wait.  @fn returns the longest
 * time to wait in microseconds, -1: no limit.
 */
void mh_loop_before_wait(
    struct mh_loop *l, int64_t (*fn)(void *arg), void *arg);
/** mh_loop_run() - handles events until mh_loop_stop(). */
void mh_loop_run(struct mh_loop *l);
void mh_loop_stop(struct mh_loop *l);
struct mh_kern *mh_loop_kern(struct mh_loop *l);
/** mh_loop_signal() - calls @fn in the loop when signal @sig arrives. */
void mh_loop_signal(
    struct mh_loop *l, int sig, void (*fn)(void *arg), void *arg);
/**
 * mh_loop_signal_us() - least mh_now() at which the signal can have been sent.
 *
 * For the handlers of signals: a slow callback keeps a signal waiting.
 */
int64_t mh_loop_signal_us(const struct mh_loop *l);

/* link.c: service "link" */

struct mh_link_args {
	const char *listen; /* ip:port or NULL */
	const char *advertise; /* ip:port for peers, NULL: listen */
	const char *vm;
	const char *domain;
	const char *role;
	const char *pool;
	uint64_t incarnation;
	const char *secret; /* shared key of the handshake */
	uint32_t max_conns; /* that others open; 0: no bound */
	uint64_t max_out_bytes; /* unsent, on all links; 0: no bound */
};

bool mh_link_create(
    struct mh_loop *l, const struct mh_link_args *a, GError **err);
uint16_t mh_link_port(struct mh_loop *l);
/**
 * mh_link_set_limits() - bounds of the links that others open, and of what all
 * links have not sent yet; 0: none.
 */
void mh_link_set_limits(
    struct mh_loop *loop, uint32_t max_conns, uint64_t max_out_bytes);
/** mh_link_out_bytes() - not sent yet, on all links. */
uint64_t mh_link_out_bytes(struct mh_loop *loop);
/** mh_link_set_secret() - changes the shared key for handshakes from now on. */
void mh_link_set_secret(struct mh_loop *l, const char *secret);

/* client.c: HTTP client over libcurl */

struct mh_client;

struct mh_http_call {
	const char *method;
	const char *url;
	GBytes *body;
	const char *const *headers; /* "Name: value", NULL-ended */
	int64_t timeout_us;
	bool once; /* never sent twice, not even by the HTTP library */
};

/** struct mh_http_done - result of one HTTP call. */
struct mh_http_done {
	uint32_t status; /* 0: no response */
	bool sent; /* false: no connection was made */
	bool complete; /* the response is complete */
	bool broke; /* the connection failed during the call */
	int64_t rest_us; /* by Retry-After of a 429 or 503; 0: none */
	GBytes *body;
	uint64_t index; /* X-Consul-Index */
};

typedef void (*mh_http_done_fn)(void *arg, const struct mh_http_done *d);
/** mh_http_data_fn - takes part of a response body; false aborts the call. */
typedef bool (*mh_http_data_fn)(
    void *arg, uint32_t status, const char *data, size_t len);

/**
 * mh_client_create() - the kernel owns it.  Create it before the services that
 * use it: the kernel destroys them in reverse order.
 */
struct mh_client *mh_client_create(struct mh_loop *l);
/**
 * mh_client_start() - starts a call.
 * @data: takes the body; NULL: it is collected for @done
 *
 * Return: the id of the call.
 */
uint64_t mh_client_start(struct mh_client *c, const struct mh_http_call *call,
    mh_http_data_fn data, mh_http_done_fn done, void *arg);
/** mh_client_abort() - ends a call without @done; ignores an unknown id. */
void mh_client_abort(struct mh_client *c, uint64_t id);

/* kv.c: service "kv"; vmlist.c: service "vmlist"; endpoint.c: "endpoint" */

void mh_kv_create(struct mh_kern *k, struct mh_client *c, const char *url);
/** mh_kv_value() - the value of a GET response, owned; NULL: malformed. */
GBytes *mh_kv_value(const void *data, size_t len, uint64_t *cas);
void mh_vmlist_create(struct mh_kern *k, struct mh_client *c, const char *url);
void mh_endpoint_create(
    struct mh_kern *k, struct mh_client *c, const char *url);
/** mh_vmlist_parse() - struct mh_vm of the JSON list; NULL: malformed. */
GPtrArray *mh_vmlist_parse(GBytes *body);

/* account.c: memory held for others, and the division of a process's limits */

struct mh_account;
struct mh_share;

/** mh_account_create() - @limit_bytes: bound of all shares together. */
struct mh_account *mh_account_create(struct mh_kern *k, uint64_t limit_bytes);
/** mh_account_destroy() - after its shares were released. */
void mh_account_destroy(struct mh_account *a);
void mh_account_set_limit(struct mh_account *a, uint64_t limit_bytes);
/**
 * mh_account_on_over() - @fn is called from the loop after a share went over
 * its part; it is to have something given back.
 */
void mh_account_on_over(struct mh_account *a, void (*fn)(void *arg), void *arg);
/** mh_account_over() - the share that is to give something back, or NULL. */
struct mh_share *mh_account_over(const struct mh_account *a);
uint64_t mh_account_bytes(const struct mh_account *a);
uint64_t mh_account_limit(const struct mh_account *a);
/** mh_account_peak() - most bytes so far. */
uint64_t mh_account_peak(const struct mh_account *a);
/** mh_share_get() - a reference to the share of @name. */
struct mh_share *mh_share_get(struct mh_account *a, const char *name);
/** mh_share_unref() - @s may be NULL. */
void mh_share_unref(struct mh_share *s);
const char *mh_share_name(const struct mh_share *s);
uint64_t mh_share_bytes(const struct mh_share *s);
/** mh_share_charge() - a holder has @bytes now and had @was_bytes before. */
void mh_share_charge(struct mh_share *s, uint64_t was_bytes, uint64_t bytes);
/** mh_share_fits() - whether @more bytes fit into its part. */
bool mh_share_fits(const struct mh_share *s, uint64_t more);

/** struct mh_holdings - what a process may hold for others. */
struct mh_holdings {
	uint64_t caller_bytes; /* for callers */
	uint64_t admin_bytes; /* for each port of its operators */
	uint64_t link_bytes; /* unsent, on all links */
	uint32_t caller_conns;
	uint32_t admin_conns;
	uint32_t link_conns; /* that others have opened */
};

/**
 * mh_holdings_divide() - divides a machine's memory and descriptors.
 * @memory_bytes: 0: the memory of the machine
 * @fds: 0: the limit of the process, which also bounds it
 */
void mh_holdings_divide(
    struct mh_holdings *h, uint64_t memory_bytes, uint32_t fds);
/** mh_memory_tune() - has the allocator return what is freed. */
void mh_memory_tune(void);

/* httpd.c: HTTP server over libmicrohttpd */

struct mh_httpd;
struct mh_http_req;

struct mh_httpd_args {
	const char *listen; /* ip:port, port 0 picks one */
	const char *cert_file; /* NULL: no TLS */
	const char *key_file;
	struct mh_holdings holdings; /* zeros: no bounds */
	void (*on_request)(void *arg, struct mh_http_req *r);
	/* name of the organisation of a request; NULL: not known */
	const char *(*org)(void *arg, const struct mh_http_req *r);
	/* the caller disconnected before its response was given */
	void (*on_caller_left)(void *arg, struct mh_http_req *r);
	void *arg;
};

struct mh_httpd *mh_httpd_create(
    struct mh_loop *l, const struct mh_httpd_args *a, GError **err);
void mh_httpd_destroy(struct mh_httpd *h);
uint16_t mh_httpd_port(const struct mh_httpd *h);
/** mh_httpd_stop() - accepts the connections of the backlog, then no more. */
void mh_httpd_stop(struct mh_httpd *h);
/** mh_httpd_close() - refuses new requests with 503 until destroyed. */
void mh_httpd_close(struct mh_httpd *h);
/** mh_httpd_active_count() - number of requests not yet read or answered in
 * full. */
uint32_t mh_httpd_active_count(const struct mh_httpd *h);
const char *mh_req_method(const struct mh_http_req *r);
const char *mh_req_path(const struct mh_http_req *r);
const char *mh_req_header(const struct mh_http_req *r, const char *name);
const char *mh_req_query(const struct mh_http_req *r, const char *name);
void mh_req_each_header(const struct mh_http_req *r,
    void (*fn)(void *arg, const char *name, const char *value), void *arg);
GBytes *mh_req_body(const struct mh_http_req *r);
bool mh_req_too_big(const struct mh_http_req *r);
/** mh_req_no_memory() - whether its body was dropped for lack of memory. */
bool mh_req_no_memory(const struct mh_http_req *r);
uint64_t mh_req_id(const struct mh_http_req *r);
struct mh_http_req *mh_httpd_find(struct mh_httpd *h, uint64_t id);
/** mh_req_header_set() - sets or replaces a header of the response. */
void mh_req_header_set(
    struct mh_http_req *r, const char *name, const char *value);
/** mh_req_reply() - gives the whole response; @body may be NULL. */
void mh_req_reply(
    struct mh_http_req *r, uint32_t status, const char *type, GBytes *body);
/** mh_req_stream() - begins a streamed response. */
void mh_req_stream(struct mh_http_req *r, uint32_t status, const char *type);
void mh_req_stream_add(struct mh_http_req *r, GBytes *part);
void mh_req_stream_end(struct mh_http_req *r);
/** mh_req_abort() - closes the connection before the response is complete. */
void mh_req_abort(struct mh_http_req *r);

/* poisonmember.c: service "poison" of entry daemons and side processes */

/** mh_poison_member_create() - creates service "poison" in either. */
void mh_poison_member_create(struct mh_kern *k);
/** mh_entry_quarantine() - ends active requests that are now quarantined. */
void mh_entry_quarantine(struct mh_kern *k, uint64_t fingerprint);
/** mh_side_quarantine() - refuses waiting calls of a quarantined request. */
void mh_side_quarantine(struct mh_kern *k, uint64_t fingerprint);

/* admin.c */

/** mh_admin_serve() - answers GET /livez, /readyz and /metrics; else false. */
bool mh_admin_serve(struct mh_kern *k, struct mh_http_req *r);
/** mh_state_dump() - state of the process as JSON text; g_free() it. */
char *mh_state_dump(struct mh_kern *k);
/** mh_admin_create() - answers StateAsk frames. */
void mh_admin_create(struct mh_kern *k);

/* daemon.c: settings and logging of all daemons */

/*
 * Seconds from a daemon's first signal to SIGKILL.  Container supervisors wait
 * 30 s by default.  The minimum leaves one second for work besides the second
 * for announcing the exit.  The maximum is the longest deadline that the
 * declarations allow.
 */
#define MH_GRACE_S 30
#define MH_GRACE_MIN_S 2
#define MH_GRACE_MAX_S 3600

/** struct mh_settings - flags and environment of a daemon. */
struct mh_settings {
	char *vm;
	char *domain;
	char *listen;
	char *advertise;
	char *http;
	char *kv;
	char *vmlist;
	char *secret_file;
	char *pool;
	char *endpoint;
	char *cert_file;
	char *key_file;
	char *log_level;
	int slots;
	int queue_limit;
	int grace; /* seconds from the first signal to SIGKILL */
	int memory_mb; /* of this VM; 0: as the system reports */
	int max_fds; /* of this process; 0: as the system limits it */
	bool check_only;
};

enum mh_daemon_kind { MH_DAEMON_ENTRY, MH_DAEMON_SIDE };

/**
 * mh_settings_read() - reads flags and MARLHOIST_* variables; flags take
 * precedence.  Exits if a setting is invalid; free with mh_settings_clear().
 */
void mh_settings_read(
    struct mh_settings *s, enum mh_daemon_kind kind, int argc, char **argv);
void mh_settings_clear(struct mh_settings *s);
/** mh_settings_holdings() - what the process may hold for others. */
void mh_settings_holdings(const struct mh_settings *s, struct mh_holdings *h);
/** mh_secret_read() - the shared secret: first line of @file; g_free() it. */
char *mh_secret_read(const char *file, GError **err);
/** mh_log_start() - logs @k to standard error; @level NULL: info. */
void mh_log_start(struct mh_kern *k, const char *program, const char *level);
void mh_log_stop(void);
/** mh_random_incarnation() - a random number, never 0. */
uint64_t mh_random_incarnation(void);

/* run.c: life cycle of a daemon */

struct mh_daemon;

/** struct mh_daemon_ops - what differs between the daemons. */
struct mh_daemon_ops {
	const char *name;
	const char *role;
	enum mh_daemon_kind kind;
	int64_t min_drain_us; /* minimum time of the drain */
	/* creates the services and d->httpd */
	bool (*create)(struct mh_daemon *d, GError **err);
	/* starts the drain; SIGKILL follows in d->grace_us */
	void (*drain)(struct mh_daemon *d);
	bool (*idle)(struct mh_daemon *d); /* no work remains */
};

/** struct mh_daemon - a running daemon. */
struct mh_daemon {
	const struct mh_daemon_ops *ops;
	struct mh_settings settings;
	uint64_t incarnation;
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_client *client;
	struct mh_httpd *httpd;
	int64_t grace_us; /* from the first signal to SIGKILL */
	struct mh_timer *drain_timer; /* next check; NULL: not draining */
	int64_t drain_start_us;
	int64_t idle_since_us; /* no work remains since then; 0: work remains */
};

/** mh_daemon_main() - runs until drained; returns the exit status. */
int mh_daemon_main(const struct mh_daemon_ops *ops, int argc, char **argv);

/* restfield.c: Retry-After */

/**
 * mh_rest_read() - reads Retry-After: seconds, with fractions, or a date.
 * @date: the Date of the same response, from which a date counts: the clocks of
 * both sides may differ; NULL: none
 *
 * Return: false if @text is neither.
 */
bool mh_rest_read(const char *text, const char *date, int64_t *us);
/** mh_decimal_read() - a decimal number that is not negative, or false. */
bool mh_decimal_read(const char *text, double *out);

/* coldslot.c: time slots for sending to a cold endpoint */

/** struct mh_cold_slot - what the time slots of an entry depend on. */
struct mh_cold_slot {
	double per_s; /* requests the endpoint can take from all entries */
	uint32_t entries;
	uint32_t rank; /* of this entry in their order, from 0 */
};

/** mh_cold_slot_us() - interval of our time slots; 0: we have none. */
int64_t mh_cold_slot_us(const struct mh_cold_slot *t);

#endif
