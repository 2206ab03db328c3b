#ifndef MESH_H
#define MESH_H

/*
 * Entries among themselves: links, who is alive, whose turn it is, and the
 * stage work that they do for each other.
 */

#include "gate.h"

/* mesh.c: service "hub" of a process on the users' platform */

/* Work that has one home for all entries. */
#define MH_STAGE_WORK "stage-work"
#define MH_WORK_LEN 48
/* Slices that one entry uses; of more, each entry takes these few. */
#define MH_USED_SLICES 4

/** mh_slice_work() - the name of a slice's work, in @name. */
const char *mh_slice_work(
    char name[MH_WORK_LEN], uint32_t slice, uint32_t slices);

struct mh_mesh;

/** struct mh_member - another entry, as it is listed. */
struct mh_member {
	char *node;
	char *addr; /* ip:port for frames */
	double weight; /* its share of the work, by its processor */
};

typedef void (*mh_mesh_fn)(void *arg, const char *node, const Mh__Frame *f);

/** struct mh_shared - what another entry asked for; NULL: not asked. */
struct mh_shared {
	GBytes *conf;
	uint64_t conf_base; /* packed by that one; 0: alone */
	GBytes *rows;
	GBytes *entries;
	const char *const *evacuated; /* domains, ended by NULL; not owned */
	bool packed; /* by mh_pack() */
};

/** struct mh_mesh_view - what a process has read, to share with others. */
struct mh_mesh_view {
	uint64_t (*conf_revision)(void *arg);
	uint64_t (*rows_revision)(void *arg);
	/* whether ours is old enough that another's helps */
	bool (*rows_due)(void *arg);
	/* the revision that changes are wanted from, 0: all rows */
	uint64_t (*rows_have)(void *arg);
	int64_t (*rows_age_us)(void *arg);
	/* another read what we have, and found it unchanged so long ago */
	void (*rows_same)(void *arg, int64_t age_us);
	void (*fill)(void *arg, const Mh__ViewAsk *ask, struct mh_shared *out);
	void (*take)(void *arg, const Mh__View *v);
	bool (*ready)(void *arg);
	bool (*reads)(void *arg); /* whether the platform answers us */
	uint64_t (*evacuated_revision)(void *arg); /* NULL: none is told */
	/* of the whole list of entries, 0: not known; NULL: none is told */
	uint64_t (*entries_revision)(void *arg);
	uint64_t (*entries_hash)(void *arg);
	void *arg;
};

struct mh_mesh *mh_mesh_create(
    struct mh_kern *k, const char *node, double weight);
void mh_mesh_share(struct mh_mesh *m, const struct mh_mesh_view *v);
/** mh_mesh_list() - all the entries listed now; struct mh_member. */
void mh_mesh_list(struct mh_mesh *m, const GPtrArray *members);
/** mh_mesh_list_some() - some of those listed, until all are known. */
void mh_mesh_list_some(struct mh_mesh *m, const GPtrArray *members);
/** mh_mesh_hears() - whether @node is linked and heard of; NULL: any is. */
bool mh_mesh_hears(const struct mh_mesh *m, const char *node);
void mh_mesh_on(
    struct mh_mesh *m, Mh__Frame__BodyCase kind, mh_mesh_fn fn, void *arg);
/** mh_mesh_on_lost() - an entry stopped answering. */
void mh_mesh_on_lost(
    struct mh_mesh *m, void (*fn)(void *arg, const char *node), void *arg);
/** mh_mesh_on_up() - a link to an entry is up. */
void mh_mesh_on_up(
    struct mh_mesh *m, void (*fn)(void *arg, const char *node), void *arg);
/**
 * mh_mesh_passes_on() - whether others may be linked to us alone.
 *
 * Most entries are linked to the few that all know; these pass on what all
 * should have.
 */
bool mh_mesh_passes_on(struct mh_mesh *m);
/** mh_mesh_send() - false when there is no link to @node. */
bool mh_mesh_send(struct mh_mesh *m, const char *node, Mh__Frame *f);
/** mh_mesh_home() - the live entry whose turn @what is; may be ourselves. */
const char *mh_mesh_home(struct mh_mesh *m, const char *what);
/** mh_mesh_hint() - tells @node of a home that it does not seem to know;
 * nothing when that is ourselves. */
void mh_mesh_hint(struct mh_mesh *m, const char *node, const char *home);
bool mh_mesh_is_self(const struct mh_mesh *m, const char *node);
/** mh_mesh_unsettled_us() - time until the others have been heard of; 0: it
 * is over. */
int64_t mh_mesh_unsettled_us(struct mh_mesh *m);
/**
 * mh_mesh_reads() - whether it is for us to read what all need: a few do and
 * tell the others, so that the platform's load does not grow with entries.
 */
bool mh_mesh_reads(struct mh_mesh *m);
/**
 * mh_mesh_first() - whether it is among those that will read, by the list
 * alone: at a start nobody has heard of anybody yet.
 */
bool mh_mesh_first(const struct mh_mesh *m);
/** mh_mesh_slices() - the slices that this entry uses; their number. */
uint32_t mh_mesh_slices(
    const struct mh_mesh *m, uint32_t slices, uint32_t used[MH_USED_SLICES]);
/** mh_mesh_set_slices() - links go to the homes of this entry's slices. */
void mh_mesh_set_slices(struct mh_mesh *m, uint32_t slices);
/**
 * mh_mesh_rank() - how many entries go before this one in the order of @what.
 * @entries: set to how many there are
 *
 * By the list alone, which all have, whoever is cut off.  UINT32_MAX before
 * any was read.
 */
uint32_t mh_mesh_rank(
    const struct mh_mesh *m, const char *what, uint32_t *entries);
/** mh_mesh_conf_changed() - linked entries hear of it before the next beat. */
void mh_mesh_conf_changed(struct mh_mesh *m);
/** mh_mesh_conf_behind() - another has a later configuration than we have. */
bool mh_mesh_conf_behind(const struct mh_mesh *m);
/** mh_mesh_conf_offered() - an entry that we hear of has a later one. */
bool mh_mesh_conf_offered(const struct mh_mesh *m);
/** mh_mesh_conf_behind_us() - for how long, while we ran; 0: it has none. */
int64_t mh_mesh_conf_behind_us(const struct mh_mesh *m);
/** mh_mesh_leave() - others no longer choose us. */
void mh_mesh_leave(struct mh_mesh *m);
/** mh_mesh_size() - live entries, ourselves included. */
uint32_t mh_mesh_size(struct mh_mesh *m);

/** mh_mesh_send_all() - to every entry that we are linked to. */
void mh_mesh_send_all(struct mh_mesh *m, Mh__Frame *f);

/* pack.c: documents packed for the way between entries */

/* Bytes that a packed document may have once it is unpacked. */
#define MH_UNPACKED_MOST (16U << 20)

/** mh_bytes_clear() - drops its reference, if there is one. */
void mh_bytes_clear(GBytes **b);
/** mh_pack() - by what changed since @base, NULL: alone; NULL: nothing. */
GBytes *mh_pack(GBytes *doc, const GBytes *base);
/**
 * mh_unpack() - the document, by the same @base.
 *
 * NULL where it is torn, not packed, of another base, or of over @most bytes.
 */
GBytes *mh_unpack(
    const void *data, size_t len, size_t most, const GBytes *base);

/* past.c: a document's last texts, and what changed since each */

struct mh_past;

struct mh_past *mh_past_create(void);
void mh_past_destroy(struct mh_past *p);
/** mh_past_add() - the latest text from now on. */
void mh_past_add(
    struct mh_past *p, uint64_t revision, const char *data, size_t len);
/** mh_past_text() - borrowed; NULL: it is not known. */
GBytes *mh_past_text(const struct mh_past *p, uint64_t revision);
/** mh_past_latest() - borrowed; NULL: there is none. */
GBytes *mh_past_latest(const struct mh_past *p);
/**
 * mh_past_packed() - the latest for one who has @since; NULL: there is none.
 * @base: set to what it is packed by, 0: alone
 */
GBytes *mh_past_packed(struct mh_past *p, uint64_t since, uint64_t *base);

/* listed.c: which of the listed entries are gone for good */

struct mh_listed;

struct mh_listed *mh_listed_create(void);
void mh_listed_destroy(struct mh_listed *l);
/** mh_listed_begin() - the list is looked through anew. */
void mh_listed_begin(struct mh_listed *l);
/** mh_listed_note() - @node is on it; @alive: we hear of it. */
void mh_listed_note(
    struct mh_listed *l, const char *node, bool alive, int64_t now_us);
/** mh_listed_gone() - names of those that are, the caller's to free. */
GPtrArray *mh_listed_gone(struct mh_listed *l, int64_t now_us);

/* suspect.c: endpoints that several entries could not reach */

struct mh_suspects;

struct mh_suspects *mh_suspects_create(
    struct mh_kern *k, struct mh_mesh *m, struct mh_fleet *f);
void mh_suspects_destroy(struct mh_suspects *s);
/** mh_suspects_report() - an endpoint gave no answer at all. */
void mh_suspects_report(struct mh_suspects *s, const char *endpoint);

/* poisonmesh.c: service "poison" among the entries of a mesh */

struct mh_poison_mesh;

/** struct mh_poison_mesh_args - the parts of an entry; not owned. */
struct mh_poison_mesh_args {
	struct mh_mesh *mesh;
	struct mh_fleet *fleet;
	struct mh_gate *gate;
	struct mh_cells *scheds; /* NULL: no stage work */
};

/** mh_poison_mesh_create() - creates service "poison" of an entry. */
struct mh_poison_mesh *mh_poison_mesh_create(
    struct mh_kern *k, const struct mh_poison_mesh_args *a);
/** mh_poison_mesh_destroy() - to call when no more frames are delivered. */
void mh_poison_mesh_destroy(struct mh_poison_mesh *p);

/* broker.c: stage work goes to the entry whose turn it is */

struct mh_broker;

struct mh_broker *mh_broker_create(
    struct mh_kern *k, struct mh_mesh *m, struct mh_cells *cells);
void mh_broker_destroy(struct mh_broker *b);
/** mh_broker_on_end() - a job that was submitted here has ended. */
void mh_broker_on_end(struct mh_broker *b,
    void (*fn)(
	void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us),
    void *arg);
void mh_broker_submit(struct mh_broker *b, struct mh_job *j);
/** mh_broker_drop() - cancels the job, or frees its results. */
void mh_broker_drop(struct mh_broker *b, struct mh_job *j);
/** mh_broker_cell_step() - the cell's step() of any job. */
void mh_broker_cell_step(struct mh_broker *b, struct mh_job *j, uint32_t stage);
/** mh_broker_cell_end() - the cell's end() of any job. */
void mh_broker_cell_end(struct mh_broker *b, struct mh_job *j,
    enum mh_job_end end, int64_t retry_us);

#endif
