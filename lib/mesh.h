#ifndef MESH_H
#define MESH_H

/*
 * The mesh of entries: links, failure detection, the coordinator of each piece
 * of work, and the stage work that entries do for each other.
 */

#include "gate.h"

/*
 * mesh.c: links, heartbeats and members; service "hub" of a process on the
 * platform
 */

/* Name of the work that has one coordinator for all entries. */
#define MH_STAGE_WORK "stage-work"
#define MH_WORK_LEN 48
/* An entry uses at most this many of the slices. */
#define MH_USED_SLICES 4

/**
 * mh_slice_work() - name of the work of a slice, for mh_mesh_coordinator().
 * @name: buffer for it; may be left unused
 *
 * Returns @name or a constant.
 */
const char *mh_slice_work(
    char name[MH_WORK_LEN], uint32_t slice, uint32_t slices);

struct mh_mesh;

/* rev.c: order of what was read from a store that may be restored */

/** struct mh_rev - a revision of the store. */
struct mh_rev {
	uint64_t era; /* rises when the store is restored from a copy */
	uint64_t revision; /* given out again in each era; 0: none */
};
/**
 * mh_rev_cmp() - order of two revisions: negative if @a is the earlier one.
 */
int mh_rev_cmp(struct mh_rev a, struct mh_rev b);
/** mh_rev_max() - the later one. */
struct mh_rev mh_rev_max(struct mh_rev a, struct mh_rev b);

/** struct mh_member - an entry in the list of entries. */
struct mh_member {
	char *node;
	char *addr; /* ip:port for frames */
	double weight; /* proportional to its processor capacity */
};

typedef void (*mh_mesh_fn)(void *arg, const char *node, const Mh__Frame *f);

/**
 * struct mh_view_reply - data that another entry requested; NULL: not
 * requested.
 */
struct mh_view_reply {
	GBytes *conf;
	uint64_t conf_base; /* version that @conf is packed against; 0: none */
	GBytes *rows;
	GBytes *entries;
	/* NULL-terminated failure domains, borrowed; NULL: not requested */
	const char *const *evacuated; /* in the store */
	const char *const *held; /* still evacuated, though not in the store */
	const char *const *returned; /* taken back, though in the store */
	bool packed; /* documents are compressed by mh_pack() */
};

/**
 * struct mh_mesh_view - what a process has read from the platform, to share
 * with other entries.
 */
struct mh_mesh_view {
	/* orders configurations; 0: we have none */
	uint64_t (*conf_version)(void *arg);
	/* of the configuration's text; NULL: not announced */
	struct mh_rev (*conf_rev)(void *arg);
	struct mh_rev (*rows_rev)(void *arg);
	/*
	 * whether our rows are old enough to request newer ones from another
	 * entry
	 */
	bool (*rows_due)(void *arg);
	/* base of requested changes; revision 0: requests all rows */
	struct mh_rev (*rows_base)(void *arg);
	int64_t (*rows_age_us)(void *arg);
	/* another entry read the revision that we have @age_us ago */
	void (*rows_unchanged)(void *arg, int64_t age_us);
	void (*fill)(
	    void *arg, const Mh__ViewAsk *req, struct mh_view_reply *out);
	void (*take)(void *arg, const Mh__View *v);
	bool (*ready)(void *arg);
	bool (*can_read)(
	    void *arg); /* whether the platform answers our reads */
	struct mh_rev (*evacuated_rev)(void *arg); /* NULL: not shared */
	/*
	 * revision of the complete list of entries, 0: unknown; NULL: the list
	 * is not shared
	 */
	struct mh_rev (*entries_rev)(void *arg);
	uint64_t (*entries_hash)(void *arg);
	/* time since our configuration was last confirmed as the newest */
	int64_t (*conf_age_us)(void *arg);
	/* another entry confirmed the version that we have @age_us ago */
	void (*conf_unchanged)(void *arg, int64_t age_us);
	/*
	 * latest era for which we know what is held against the store, see
	 * platform.h; 0: none; NULL: nothing is ever held
	 */
	uint64_t (*known_era)(void *arg);
	/* that era while something is held; else 0 */
	uint64_t (*held_era)(void *arg);
	void *arg;
};

struct mh_mesh *mh_mesh_create(
    struct mh_kern *k, const char *node, double weight);
void mh_mesh_set_view(struct mh_mesh *m, const struct mh_mesh_view *v);
/**
 * mh_mesh_set_members() - replaces the list of entries.
 * @members: struct mh_member
 */
void mh_mesh_set_members(struct mh_mesh *m, const GPtrArray *members);
/**
 * mh_mesh_add_members() - adds entries while the complete list is not known.
 */
void mh_mesh_add_members(struct mh_mesh *m, const GPtrArray *members);
/**
 * mh_mesh_is_alive() - whether @node is linked and not silent.
 * @node: NULL: whether any other entry is
 */
bool mh_mesh_is_alive(const struct mh_mesh *m, const char *node);
void mh_mesh_on(
    struct mh_mesh *m, Mh__Frame__BodyCase kind, mh_mesh_fn fn, void *arg);
/**
 * mh_mesh_on_lost() - sets the callback for an entry whose links are closed or
 * silent.
 */
void mh_mesh_on_lost(
    struct mh_mesh *m, void (*fn)(void *arg, const char *node), void *arg);
/** mh_mesh_on_up() - adds a callback for new links to entries. */
void mh_mesh_on_up(
    struct mh_mesh *m, void (*fn)(void *arg, const char *node), void *arg);
/**
 * mh_mesh_is_relay() - whether other entries may be linked to us alone.
 *
 * Most entries are linked only to the first few of the order. These few forward
 * what every entry should receive.
 */
bool mh_mesh_is_relay(struct mh_mesh *m);
/**
 * mh_mesh_first_peers() - the first live peers of the order of stage work,
 * which most entries are linked to.
 * @nodes: set to their names, borrowed
 *
 * Return: their number, @most at the most.
 */
uint32_t mh_mesh_first_peers(
    const struct mh_mesh *m, const char **nodes, uint32_t most);
/** mh_mesh_send() - false when there is no link to @node. */
bool mh_mesh_send(struct mh_mesh *m, const char *node, Mh__Frame *f);
/**
 * mh_mesh_coordinator() - name of the live entry that coordinates @what; may be
 * this entry. Borrowed.
 */
const char *mh_mesh_coordinator(struct mh_mesh *m, const char *what);
/**
 * mh_mesh_announce() - sends @node the address and weight of the peer
 * @coordinator, which it may not list; does nothing if @node itself is the
 * coordinator, or soon after the last announcement to @node.
 */
void mh_mesh_announce(
    struct mh_mesh *m, const char *node, const char *coordinator);
bool mh_mesh_is_self(const struct mh_mesh *m, const char *node);
/**
 * mh_mesh_settle_us() - time to wait for heartbeats of other entries after a
 * start or a pause, in us; 0: it is over.
 */
int64_t mh_mesh_settle_us(struct mh_mesh *m);
/**
 * mh_mesh_is_reader() - whether this entry reads from the platform for others.
 *
 * A few entries read what all need and send it to the others, so that the load
 * on the platform does not grow with the number of entries.
 */
bool mh_mesh_is_reader(struct mh_mesh *m);
/**
 * mh_mesh_may_read() - whether this entry may become a reader, by membership
 * alone; at a start no heartbeats have been received yet.
 */
bool mh_mesh_may_read(const struct mh_mesh *m);
/**
 * mh_mesh_slices() - computes the slices that this entry uses; returns their
 * number.
 */
uint32_t mh_mesh_slices(
    const struct mh_mesh *m, uint32_t slices, uint32_t used[MH_USED_SLICES]);
/**
 * mh_mesh_set_slices() - sets the number of slices; this entry keeps links to
 * the coordinators of those that it uses.
 */
void mh_mesh_set_slices(struct mh_mesh *m, uint32_t slices);
/**
 * mh_mesh_rank() - how many entries precede this one in the order of @what.
 * @entries: set to the number of entries
 *
 * Depends on membership alone, not on which entries are reachable. UINT32_MAX
 * before a list was read.
 */
uint32_t mh_mesh_rank(
    const struct mh_mesh *m, const char *what, uint32_t *entries);
/**
 * mh_mesh_conf_changed() - sends the new revision to linked entries at once
 * instead of with the next periodic heartbeat.
 */
void mh_mesh_conf_changed(struct mh_mesh *m);
/**
 * mh_mesh_conf_stale() - whether another entry has announced a later
 * configuration than ours.
 */
bool mh_mesh_conf_stale(const struct mh_mesh *m);
/**
 * mh_mesh_conf_available() - whether a live entry has a later configuration.
 */
bool mh_mesh_conf_available(const struct mh_mesh *m);
/**
 * mh_mesh_conf_stale_us() - for how long our configuration has been stale,
 * without pauses of this process; 0: it is current.
 */
int64_t mh_mesh_conf_stale_us(const struct mh_mesh *m);
/**
 * mh_mesh_readers_text() - names of the peers that this entry leaves reading
 * the platform to, for the log; g_free() it.
 */
char *mh_mesh_readers_text(const struct mh_mesh *m);
/** mh_mesh_live_peers() - number of peers that are linked and not silent. */
uint32_t mh_mesh_live_peers(const struct mh_mesh *m);
/** mh_mesh_drain() - announces that this entry coordinates no new work. */
void mh_mesh_drain(struct mh_mesh *m);
/** mh_mesh_size() - entries that are listed or alive, including this one. */
uint32_t mh_mesh_size(struct mh_mesh *m);

/** mh_mesh_send_all() - sends a frame to every linked entry. */
void mh_mesh_send_all(struct mh_mesh *m, Mh__Frame *f);

/* pack.c: compression of documents sent between entries */

/* Maximum size of an unpacked document, in bytes. */
#define MH_UNPACKED_MAX (16U << 20)

/**
 * mh_bytes_clear() - drops the reference in @b, if any, and sets it to NULL.
 */
void mh_bytes_clear(GBytes **b);
/**
 * mh_pack() - compresses @doc, with @base as the dictionary unless it is NULL.
 *
 * Returns NULL for an empty document or on an error. The caller owns the
 * result.
 */
GBytes *mh_pack(GBytes *doc, const GBytes *base);
/**
 * mh_unpack() - decompresses a document with the @base that mh_pack() had.
 *
 * Returns NULL if the data is truncated, corrupt or not packed, was packed
 * against another base, or unpacks to more than @most bytes. The caller owns
 * the result.
 */
GBytes *mh_unpack(
    const void *data, size_t len, size_t most, const GBytes *base);

/* history.c: recent revisions of a document, and the changes between them */

struct mh_history;

struct mh_history *mh_history_create(void);
void mh_history_destroy(struct mh_history *p);
/** mh_history_add() - adds a text as the latest revision. */
void mh_history_add(
    struct mh_history *p, uint64_t revision, const char *data, size_t len);
/** mh_history_text() - text of @revision, borrowed; NULL if it is not kept. */
GBytes *mh_history_text(const struct mh_history *p, uint64_t revision);
/** mh_history_latest() - latest text, borrowed; NULL if there is none. */
GBytes *mh_history_latest(const struct mh_history *p);
/**
 * mh_history_packed() - latest text, packed for a receiver that has @since.
 * @base: set to the revision that it is packed against; 0: none
 *
 * Returns NULL if there is no text. The caller owns the result.
 */
GBytes *mh_history_packed(struct mh_history *p, uint64_t since, uint64_t *base);

/* liveness.c: which of the listed entries have been dead for long */

struct mh_liveness;

struct mh_liveness *mh_liveness_create(void);
void mh_liveness_destroy(struct mh_liveness *l);
/** mh_liveness_begin() - begins a new round over the list of entries. */
void mh_liveness_begin(struct mh_liveness *l);
/**
 * mh_liveness_note() - records that @node is listed.
 * @alive: whether it is linked and not silent
 */
void mh_liveness_note(
    struct mh_liveness *l, const char *node, bool alive, int64_t now_us);
/**
 * mh_liveness_departed() - names of listed entries that have been dead for
 * long. The caller frees the array.
 */
GPtrArray *mh_liveness_departed(struct mh_liveness *l, int64_t now_us);

/* suspect.c: ejection of endpoints that several entries could not reach */

struct mh_suspects;

struct mh_suspects *mh_suspects_create(
    struct mh_kern *k, struct mh_mesh *m, struct mh_fleet *f);
void mh_suspects_destroy(struct mh_suspects *s);
/** mh_suspects_report() - this entry could not reach an endpoint. */
void mh_suspects_report(struct mh_suspects *s, const char *endpoint);

/* saidmesh.c: what endpoints have said, passed on among entries */

struct mh_said_mesh;

struct mh_said_mesh *mh_said_mesh_create(
    struct mh_kern *k, struct mh_mesh *m, struct mh_fleet *f);
/** mh_said_mesh_destroy() - to call when no more frames are delivered. */
void mh_said_mesh_destroy(struct mh_said_mesh *s);

/* originmesh.c: the versions of streams among entries */

struct mh_origin_mesh;

/** mh_origin_mesh_create() - connects @origins to the other entries. */
struct mh_origin_mesh *mh_origin_mesh_create(
    struct mh_kern *k, struct mh_mesh *m, struct mh_origins *origins);
/**
 * mh_origin_mesh_destroy() - to call when no more frames are delivered, after
 * the gateway is destroyed.
 */
void mh_origin_mesh_destroy(struct mh_origin_mesh *o);

/* poisonmesh.c: service "poison" among the entries of a mesh */

struct mh_poison_mesh;

/** struct mh_poison_mesh_args - the parts of an entry; not owned. */
struct mh_poison_mesh_args {
	struct mh_mesh *mesh;
	struct mh_fleet *fleet;
	struct mh_gate *gate;
	struct mh_scheds *scheds; /* NULL: no stage work */
};

/** mh_poison_mesh_create() - creates service "poison" of an entry. */
struct mh_poison_mesh *mh_poison_mesh_create(
    struct mh_kern *k, const struct mh_poison_mesh_args *a);
/** mh_poison_mesh_destroy() - to call when no more frames are delivered. */
void mh_poison_mesh_destroy(struct mh_poison_mesh *p);

/* broker.c: sends stage work to its coordinator */

struct mh_broker;

struct mh_broker *mh_broker_create(
    struct mh_kern *k, struct mh_mesh *m, struct mh_scheds *scheds);
void mh_broker_destroy(struct mh_broker *b);
/**
 * mh_broker_on_end() - sets the callback for the end of a job that was
 * submitted to this entry.
 */
void mh_broker_on_end(struct mh_broker *b,
    void (*fn)(
	void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us),
    void *arg);
void mh_broker_submit(struct mh_broker *b, struct mh_job *j);
/** mh_broker_drop() - cancels a job, or frees the results of a finished one. */
void mh_broker_drop(struct mh_broker *b, struct mh_job *j);
/**
 * mh_broker_stage_changed() - callback of the stage scheduler: results of a
 * stage changed, for local and remote jobs.
 */
void mh_broker_stage_changed(
    struct mh_broker *b, struct mh_job *j, uint32_t stage);
/**
 * mh_broker_job_ended() - callback of the stage scheduler: a local or remote
 * job ended.
 */
void mh_broker_job_ended(struct mh_broker *b, struct mh_job *j,
    enum mh_job_end end, int64_t retry_us);

#endif
