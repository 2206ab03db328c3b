#ifndef MARLSTAND_H
#define MARLSTAND_H

#include "marlhoist.h"

#define REF_LEN 16

/** enum fault - how an endpoint misbehaves. */
enum fault {
	FAULT_NONE,
	FAULT_SLOW, /* factor times slower */
	FAULT_ERROR, /* answers 500 */
	FAULT_CUT, /* closes in the middle of the answer */
	FAULT_SILENT, /* never answers */
	FAULT_GARBAGE, /* answers what is no JSON */
	FAULT_DEAD /* accepts nothing, everything open is cut */
};

/** struct spec - one endpoint's size, from the world file. */
struct spec {
	char *name;
	char *kind; /* encode, retrieve, rerank, generate or service */
	char *domain;
	int64_t service_us;
	int64_t delay_us; /* one-way network delay to add twice */
	uint32_t workers;
	/* engines */
	int64_t step_us;
	int64_t per_seq_us;
	double prefill_per_s; /* tokens */
	uint32_t cache_blocks;
	bool honours_priority;
};

struct endpoint;

struct world {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct mh_httpd *ctl;
	GHashTable *endpoints; /* name -> struct endpoint */
	GHashTable *audit; /* key -> runs */
	uint64_t crossed; /* bodies that mix two requests */
	uint64_t runs; /* calls that ran */
};

/** struct endpoint - one stand-in endpoint with its own port. */
struct endpoint {
	struct world *w;
	struct spec spec;
	struct mh_httpd *httpd;
	enum fault fault;
	double factor;
	struct mh_timer *fall; /* it ends, or is back */
	uint32_t falls;
	uint32_t running;
	GQueue waiting; /* struct job */
	GQueue open; /* struct job, running */
	struct engine *engine;
	uint64_t calls;
	uint64_t busy_us;
	uint64_t tokens_in;
	uint64_t tokens_cached;
	uint64_t tokens_out;
	uint64_t cancelled;
};

/* marlstand.c */
void reply_json(struct mh_http_req *r, uint32_t status, json_t *o);
/** find_ref() - the request's tag in a body; counts mixed bodies. */
bool find_ref(struct world *w, GBytes *body, char ref[REF_LEN + 1]);

/* pool.c: encoders, retrievers, rerankers, services */
struct endpoint *endpoint_create(
    struct world *w, const struct spec *s, GError **err);
void endpoint_destroy(struct endpoint *e);
void endpoint_fault(struct endpoint *e, enum fault f, double factor);

/*
 * endpoint_try_fall() - a call whose body has STAND_FATAL begins: soon the
 * endpoint is dead, for a second.  True if the body has it.
 */
#define STAND_FATAL "ends-endpoints"
bool endpoint_try_fall(struct endpoint *e, const char *body, size_t len);

/* engine.c: continuous batching */
struct engine;
struct engine *engine_create(struct endpoint *e);
void engine_destroy(struct engine *g);
void engine_request(struct engine *g, struct mh_http_req *r);
void engine_gone(struct engine *g, struct mh_http_req *r);
void engine_drop_all(struct engine *g);

/* kvstand.c: the platform's KV service and VM list */
void platform_create(struct world *w);
bool platform_serve(struct world *w, struct mh_http_req *r);
void platform_gone(struct world *w, struct mh_http_req *r);

/* relay.c: a TCP hop that loses track of connections */
void relays_create(struct world *w);
bool relays_serve(struct world *w, struct mh_http_req *r);

#endif
