#ifndef ENTRIES_H
#define ENTRIES_H

/*
 * Many entries in one process and virtual time: each has a kernel and a mesh
 * of its own, and their links are one queue.
 */

#include "mesh.h"

#define ENTRIES 10

/** struct ment - one entry: a kernel with a mesh and a fake link. */
struct ment {
	struct mrig *r;
	uint32_t index;
	char node[8];
	double weight;
	GPtrArray *list; /* what it reads as the list of entries; NULL: all */
	struct mh_kern *k;
	struct mh_mesh *m;
	bool cut; /* its frames are lost, silently */
	bool down; /* refuses connections */
	bool frozen; /* does not run; what is sent to it waits */
	bool off; /* its VM has no power: what is sent there is lost */
	int64_t opens_us; /* links to it take so long to open */
	int64_t delay_us; /* what is sent to it takes so long */
	bool no_links; /* started without its link service */
	uint32_t dialled; /* links of its own that came up since its start */
	bool ready;
	bool reads;
	uint64_t conf;
	uint64_t rows;
	uint64_t evacuated_revision;
	char evacuated[16]; /* one failure domain, "": none */
	uint32_t conf_len; /* bytes of its text; 0: a short word */
	uint32_t taken_conf;
	uint64_t bytes_per_s; /* of its own link, outwards; 0: no limit */
	int64_t busy_until_us; /* its link, with what was sent before */
	uint64_t sent_bytes;
	uint64_t entries; /* revision of its list of entries */
	uint64_t entries_hash;
	uint32_t taken_entries;
	uint32_t fresh; /* beats that said: unchanged just now */
	uint32_t lose_views; /* of its answers, so many are lost */
	uint32_t rows_len; /* bytes of all its rows */
	uint32_t taken_rows; /* bytes */
};

/** struct mrig - entries whose links are one queue. */
struct mrig {
	struct ment e[ENTRIES];
	int64_t now_us;
	GPtrArray *members;
	GPtrArray *opening; /* struct opening */
	GPtrArray *on_way; /* struct on_way, those sent first before */
	uint32_t poison_frames; /* sent so far */
	uint32_t holes; /* results of a stage that were sent without one */
};

struct mrig *mrig_create(void);
void mrig_destroy(struct mrig *r);
/** mrig_start() - the process of an entry starts, with a kernel of its own. */
void mrig_start(struct ment *e);
/** mrig_link() - its link service, which mrig_start() left out if no_links. */
void mrig_link(struct ment *e);
/** mrig_run() - lets @us pass in steps of 10 ms. */
void mrig_run(struct mrig *r, int64_t us);
/** mrig_home() - the home of stage work, as one entry sees it. */
const char *mrig_home(struct ment *e);
/** mrig_agreed() - the home that all live entries name; NULL: they differ. */
struct ment *mrig_agreed(struct mrig *r);
/** mrig_whole_len() - bytes of the whole configuration of @e, packed. */
uint64_t mrig_whole_len(const struct ment *e);
/** mrig_ask_view() - asks @to for its configuration, or for its rows. */
void mrig_ask_view(struct ment *e, struct ment *to, bool conf);

#endif
