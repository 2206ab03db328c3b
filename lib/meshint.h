#ifndef MESHINT_H
#define MESHINT_H

/* Shared by mesh.c, meshknown.c, meshorder.c and meshtold.c alone. */

#include "mesh.h"

/** struct peer - another entry. */
struct peer {
	struct mh_mesh *m;
	char *node;
	char *addr;
	double weight;
	bool listed;
	int64_t told_until_us; /* another entry told of it, until then */
	int64_t hinted_us; /* when it was last told of a home */
	bool ready;
	bool leaving;
	bool reads; /* the platform answers it */
	uint64_t conf_revision; /* that it has */
	bool failed; /* the last try to reach it failed */
	bool wanted; /* worth a link of our own */
	double rank; /* in the order that is being looked at */
	int64_t started_us; /* by our clock */
	int64_t oldest_us; /* start of the longest running that it knows of */
	uint64_t dial; /* a link being opened, 0: none */
	uint64_t out; /* links that are up, 0: none */
	uint64_t in;
	int64_t heard_us;
	int64_t dialled_us; /* when that was begun */
	uint32_t dials; /* given up as late since it was linked */
	int64_t tried_us; /* dialled in vain since, 0: not at all */
	int64_t dial_us; /* not again before */
	int64_t asked_us; /* when it was last asked for what it has read */
	int64_t asked_first_us; /* the same, though bytes have come since */
	uint32_t asked; /* for what: ASKED_CONF and others; 0: it answered */
};

enum { ASKED_CONF = 1, ASKED_ROWS = 2, ASKED_ENTRIES = 4 };

struct handler {
	mh_mesh_fn fn;
	void *arg;
};

#define MAX_CASES 64

/* Weights travel in whole units of this part of one. */
#define WEIGHT_UNIT 10000.0

struct mh_mesh {
	struct mh_kern *k;
	char *node;
	double weight;
	bool leaving;
	uint32_t slices; /* of the stage pools */
	bool have_list; /* of the entries */
	int64_t started_us;
	int64_t ticked_us; /* when our timer last ran */
	int64_t woke_us; /* when we found that we had not run; 0: never */
	GHashTable *peers; /* node -> struct peer */
	GHashTable *conns; /* conn -> struct peer */
	struct mh_mesh_view view;
	struct handler on[MAX_CASES];
	void (*lost)(void *arg, const char *node);
	void *lost_arg;
	void (*up)(void *arg, const char *node);
	void *up_arg;
	struct mh_timer *timer;
	int64_t conf_asked_us; /* when another was asked, 0: answered */
	int64_t rows_asked_us;
	int64_t entries_asked_us;
	uint64_t conf_heard; /* the latest that another has */
	int64_t conf_heard_us; /* when that was first told */
	int64_t conf_behind_us; /* since when it is later than ours; 0: not */
	size_t told_bytes; /* of all but rows, since the last beat */
	size_t rows_bytes; /* of rows */
};

/** mh_peer_link() - a link that is up, 0: none. */
uint64_t mh_peer_link(const struct peer *p);
/** mh_peer_alive() - linked and heard of lately. */
bool mh_peer_alive(const struct peer *p);
/** mh_peer_known() - listed, or told of by another entry. */
bool mh_peer_known(const struct peer *p);
/** mh_mesh_look() - notices that this process has not run for a while. */
void mh_mesh_look(struct mh_mesh *m);
/** mh_mesh_begun_us() - since when it looks for the others. */
int64_t mh_mesh_begun_us(const struct mh_mesh *m);
/** mh_weight_units() - a weight as it travels, in units of WEIGHT_UNIT. */
uint32_t mh_weight_units(double weight);
/** mh_peer_of() - the peer of that name, made when first heard of. */
struct peer *mh_peer_of(struct mh_mesh *m, const char *node);
/** mh_mesh_send_conn() - a frame to one link. */
void mh_mesh_send_conn(struct mh_mesh *m, uint64_t conn, Mh__Frame *f);
/** mh_mesh_beat() - to one link, or to all: 0. */
void mh_mesh_beat(struct mh_mesh *m, uint64_t conn);
/** mh_mesh_take_known() - another entry tells of one. */
void mh_mesh_take_known(struct mh_mesh *m, const Mh__Known *k);
/** mh_mesh_oldest() - start of the longest running that can serve, of itself
 * and those it is linked to; INT64_MAX: none can. */
int64_t mh_mesh_oldest(struct mh_mesh *m);
/** mh_mesh_want_links() - marks the peers that are worth a link. */
void mh_mesh_want_links(struct mh_mesh *m);

/* meshtold.c */

uint64_t mh_mesh_evacuated_revision(const struct mh_mesh *m);
/** mh_mesh_compare_views() - asks for what the sender of a beat has later. */
void mh_mesh_compare_views(
    struct mh_mesh *m, struct peer *p, const Mh__Beat *b);
void mh_mesh_answer_view(
    struct mh_mesh *m, struct peer *p, const Mh__ViewAsk *ask);
void mh_mesh_take_view(struct mh_mesh *m, struct peer *p, const Mh__View *v);
/** mh_mesh_answer_comes() - bytes from a peer, of no whole frame yet. */
void mh_mesh_answer_comes(struct mh_mesh *m, struct peer *p);
/** mh_mesh_told_anew() - a beat has passed. */
void mh_mesh_told_anew(struct mh_mesh *m);

#endif
