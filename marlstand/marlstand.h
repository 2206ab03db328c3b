#ifndef MARLSTAND_H
#define MARLSTAND_H

#include "marlhoist.h"

#define REF_LEN 16

/** enum fault - injected fault of an endpoint. */
enum fault {
	FAULT_NONE,
	FAULT_SLOW, /* factor times slower */
	FAULT_ERROR, /* responds with status 500 */
	FAULT_CUT, /* closes the connection within the response */
	FAULT_SILENT, /* never responds */
	FAULT_GARBAGE, /* responds with invalid JSON */
	FAULT_DEAD /* cuts all requests, also those in progress */
};

/** struct spec - parameters of an endpoint, from the world file. */
struct spec {
	char *name;
	char *kind; /* encode, retrieve, rerank, generate or service */
	char *domain;
	int64_t service_us; /* median service time */
	int64_t delay_us; /* one-way network delay, added twice */
	uint32_t workers; /* calls or sequences that run at once */
	/* only for kind generate */
	int64_t step_us; /* base duration of a step */
	int64_t per_seq_us; /* added for each running sequence */
	double prefill_per_s; /* tokens */
	uint32_t cache_blocks;
	bool honours_priority; /* false: first come, first served */
};

struct endpoint;

/** struct world - all stand-ins of the process. */
struct world {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_httpd *ctl; /* control paths, KV service and VM list */
	GHashTable *endpoints; /* name -> struct endpoint */
	GHashTable *audit; /* idempotency key -> runs */
	uint64_t mixed_bodies; /* bodies with tags of two requests */
	uint64_t runs; /* calls started */
};

/** struct endpoint - one stand-in endpoint with its own port. */
struct endpoint {
	struct world *w;
	struct spec spec;
	struct mh_httpd *httpd;
	enum fault fault;
	double factor;
	struct mh_timer *crash_timer; /* next crash or restart */
	uint32_t crashes;
	uint32_t running; /* length of @active */
	GQueue waiting; /* struct job */
	GQueue active; /* struct job, running */
	struct engine *engine; /* NULL unless kind is generate */
	uint64_t calls;
	uint64_t busy_us;
	uint64_t tokens_in;
	uint64_t tokens_cached;
	uint64_t tokens_out;
	uint64_t cancelled; /* the client disconnected */
};

/* marlstand.c */

/** reply_json() - sends and releases @o. */
void reply_json(struct mh_http_req *r, uint32_t status, json_t *o);
/**
 * find_ref() - copies the request tag of a body, "" if there is none.  Counts
 * and returns false for a body with different tags.
 */
bool find_ref(struct world *w, GBytes *body, char ref[REF_LEN + 1]);

/* pool.c: encoders, retrievers, rerankers, services */
struct endpoint *endpoint_create(
    struct world *w, const struct spec *s, GError **err);
void endpoint_destroy(struct endpoint *e);
void endpoint_fault(struct endpoint *e, enum fault f, double factor);

#define STAND_FATAL "ends-endpoints"
/**
 * endpoint_check_fatal() - schedules a crash of the endpoint if a call that
 * starts has STAND_FATAL in its body.  Returns whether it has.
 */
bool endpoint_check_fatal(struct endpoint *e, const char *body, size_t len);

/* engine.c: model engine with continuous batching */

struct engine;
struct engine *engine_create(struct endpoint *e);
void engine_destroy(struct engine *g);
void engine_request(struct engine *g, struct mh_http_req *r);
void engine_cancel(struct engine *g, struct mh_http_req *r);
void engine_cut_all(struct engine *g);

/* kvstand.c: KV service and VM list of the platform */

void platform_create(struct world *w);
bool platform_serve(struct world *w, struct mh_http_req *r);
void platform_disconnect(struct world *w, struct mh_http_req *r);

/* relay.c: TCP relays with fault injection */

void relays_create(struct world *w);
bool relays_serve(struct world *w, struct mh_http_req *r);

#endif
