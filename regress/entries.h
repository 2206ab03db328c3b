#ifndef ENTRIES_H
#define ENTRIES_H

/*
 * Many entries in one process and virtual time: each has a kernel and a mesh of
 * its own, and their links share one queue.
 */

#include "mesh.h"

#define ENTRIES 10
/* Revision @n of a store that states no era. */
#define REV(n) ((struct mh_rev) { 0, (n) })

/** struct ment - one entry: a kernel with a mesh and a fake link service. */
struct ment {
	struct mrig *r;
	uint32_t index;
	char node[8];
	double weight;
	uint64_t incarnation; /* number of starts */
	GPtrArray *list; /* its list of entries; NULL: all */
	struct mh_kern *k;
	struct mh_mesh *m;
	bool cut; /* its frames are lost both ways */
	bool down; /* refuses connections */
	bool frozen; /* doesn't run; frames to it wait */
	bool powered_off; /* its VM is powered off; frames to it are lost */
	int64_t connect_us; /* connect time of links to it */
	int64_t delay_us; /* latency of frames to it */
	bool no_links; /* started without its link service */
	uint32_t links_opened; /* its dials that opened since its start */
	bool ready;
	bool can_read;
	uint64_t conf;
	bool no_version; /* it doesn't announce the configuration's version */
	uint64_t rows;
	uint64_t rows_era;
	uint64_t evacuated_revision;
	uint64_t evacuated_era;
	char evacuated[16]; /* one evacuated failure domain, "": none */
	uint32_t conf_len; /* size of its text in bytes; 0: "conf" */
	uint32_t received_confs;
	uint64_t link_bytes_per_s; /* outbound rate of its link; 0: no limit */
	int64_t link_busy_end_us; /* end of the frames that it has sent */
	uint64_t sent_bytes;
	uint64_t entries; /* revision of its list */
	uint64_t entries_era;
	uint64_t entries_hash;
	uint32_t received_lists;
	uint32_t
	    rows_confirmed; /* heartbeats that confirm its rows as current */
	uint32_t lose_views; /* number of its next answers to lose */
	uint32_t rows_len; /* size of its rows in bytes */
	uint32_t received_row_bytes; /* bytes received */
};

/** enum mrig_loss - what an open connection loses, without a reset. */
enum mrig_loss {
	LOSES_NOTHING,
	LOSES_BOTH,
	LOSES_TO_DIALER, /* frames to the entry that dialled */
	LOSES_FROM_DIALER
};

/** struct mrig - entries whose links share one queue. */
struct mrig {
	struct ment e[ENTRIES];
	/* the open connection by dialer and other end carries nothing more */
	enum mrig_loss lost[ENTRIES][ENTRIES];
	uint64_t opened[ENTRIES][ENTRIES]; /* connections, so far */
	int64_t now_us;
	GPtrArray *members;
	GPtrArray *dials; /* struct opening */
	GPtrArray *in_flight; /* struct flight, in the order of sending */
	bool silent_dials; /* links open, but carry no frame */
	uint32_t poison_frames; /* number sent so far */
	uint32_t empty_results; /* empty results sent among those of a complete
				   stage */
};

/**
 * mrig_lose() - the open connection that @from dialled to @to loses frames;
 * new ones work.
 */
void mrig_lose(struct ment *from, struct ment *to, enum mrig_loss loss);
/** mrig_reset() - resets the open connection that @from dialled to @to. */
void mrig_reset(struct ment *from, struct ment *to);
struct mrig *mrig_create(void);
void mrig_destroy(struct mrig *r);
/** mrig_start() - starts the process of an entry, with a kernel of its own. */
void mrig_start(struct ment *e);
/**
 * mrig_link() - starts the link service that mrig_start() left out if no_links
 * is set.
 */
void mrig_link(struct ment *e);
/** mrig_run() - advances the time by @us, in steps of 10 ms. */
void mrig_run(struct mrig *r, int64_t us);
/** mrig_coordinator() - coordinator of stage work that one entry names. */
const char *mrig_coordinator(struct ment *e);
/**
 * mrig_agreed() - coordinator that all live entries name; NULL: they differ.
 */
struct ment *mrig_agreed(struct mrig *r);
/**
 * mrig_whole_len() - size of the whole configuration of @e, packed, in bytes.
 */
uint64_t mrig_whole_len(const struct ment *e);
/**
 * mrig_request_view() - sends @to a request for its configuration, or for its
 * rows.
 */
void mrig_request_view(struct ment *e, struct ment *to, bool conf);

#endif
