#ifndef MESHINT_H
#define MESHINT_H

/* Shared by mesh.c and mesh*.c alone. */

#include "mesh.h"

/* Numbered frames that are known as received or not; a multiple of 64. */
#define NUMBERS_KEPT 4096

/* Heartbeats under way at most, with a delay of some seconds. */
#define HEARTBEATS_TIMED 32

/** struct sent_heartbeat - when a heartbeat was sent. */
struct sent_heartbeat {
	uint64_t frame; /* its place among the frames of the connection */
	int64_t at_us;
};

/**
 * struct peer_conn - an open connection to a peer.
 *
 * Both ends count from its opening.  Counts are sent plus 1, since 0 means that
 * an earlier version sent none.
 */
struct peer_conn {
	uint64_t id; /* 0: none */
	int64_t recv_us; /* when bytes last arrived, or when it opened */
	uint64_t received; /* frames and parts of large frames */
	bool has_heartbeat; /* a heartbeat has arrived */
	uint64_t peer_received; /* as its last heartbeat says, plus 1 */
	int64_t sent_us; /* when that last grew, or when it opened: what we
			  * sent before has arrived */
	int64_t proven_us; /* when the peer first had a frame of ours; 0: not */
	uint64_t frames_in; /* whole frames that came */
	uint64_t frames_out;
	/* the last heartbeats sent, a ring */
	struct sent_heartbeat sent[HEARTBEATS_TIMED];
	uint32_t n_sent; /* in all */
	int64_t reported_us; /* when the last one reported was sent; 0: none */
	GQueue unreported; /* struct unreported, the oldest first */
	uint64_t unkept_frame; /* the last one that is not kept; 0: none */
};

/** struct peer - another entry. */
struct peer {
	struct mh_mesh *m;
	char *node;
	char *addr;
	double weight;
	bool listed;
	int64_t announced_until_us; /* end of membership by announcement */
	int64_t last_announce_us; /* last announcement to it */
	bool ready;
	bool draining;
	bool can_read; /* the platform answers its reads */
	uint64_t conf_version; /* of the configuration that it announced */
	uint64_t asked_revision; /* of a configuration without a version */
	bool unreachable; /* dials have failed for UNREACHABLE_US */
	bool want_link; /* we keep a link to it */
	double rank; /* in the order that is being computed */
	int64_t started_us; /* on our clock */
	uint64_t uptime_us; /* on its own, when it sent the latest heartbeat */
	int64_t heartbeat_us; /* no later than that; 0: not known */
	int64_t oldest_start_us; /* its earliest start of a serving entry */
	uint64_t dial_conn; /* connection being opened, 0: none */
	struct peer_conn out; /* the connection that we opened */
	struct peer_conn in;
	struct peer_conn *used; /* the one that we send on; NULL: none */
	GQueue unreported; /* struct unreported of an ended connection */
	uint64_t times_lost; /* by us */
	uint64_t reported_losses; /* times that it has lost us, as it says */
	uint64_t sent_number; /* of the last numbered frame */
	uint64_t received_number; /* the highest that came */
	uint64_t received_bits[NUMBERS_KEPT / 64]; /* which of the last came */
	int64_t last_recv_us; /* on any connection */
	uint64_t incarnation; /* of its process, at the last link */
	int64_t probation_us; /* a link must have worked for so long */
	int64_t dial_start_us; /* when dial_conn was opened */
	uint32_t dial_timeouts; /* dials that timed out since the last link */
	int64_t first_dial_us; /* since the last link; 0: none */
	int64_t next_dial_us; /* no dial before this time */
	int64_t last_request_us; /* last request or answer bytes; 0: answered */
	int64_t request_sent_us; /* when that request was sent */
	uint32_t requested; /* flags REQUESTED_*; 0: answered */
	int64_t flap_from_us; /* when the counts below began; 0: none */
	uint32_t ups; /* links that opened */
	uint32_t losses; /* times that the peer was lost */
	uint32_t silent_links; /* connections that were closed as silent */
};

enum { REQUESTED_CONF = 1, REQUESTED_ROWS = 2, REQUESTED_ENTRIES = 4 };

struct handler {
	mh_mesh_fn fn;
	void *arg;
};

#define MAX_CASES 64
#define MAX_UP_HANDLERS 4

/** struct up_handler - called for each new link to an entry. */
struct up_handler {
	void (*fn)(void *arg, const char *node);
	void *arg;
};
/* Interval of heartbeats. */
#define HEARTBEAT_US (250 * MH_US_PER_MS)

/* Weights are sent as integers in units of 1 / WEIGHT_UNIT. */
#define WEIGHT_UNIT 10000.0

struct mh_mesh {
	struct mh_kern *k;
	char *node;
	double weight;
	bool draining;
	uint32_t slices; /* number of slices of the stage pools */
	bool have_list; /* the complete list of entries is known */
	int64_t started_us;
	int64_t last_timer_us; /* when our timer last fired */
	int64_t resumed_us; /* when the end of a pause was detected; 0: never */
	GHashTable *peers; /* node -> struct peer */
	GHashTable *conns; /* conn -> struct peer */
	struct mh_mesh_view view;
	struct handler handlers[MAX_CASES];
	void (*on_lost)(void *arg, const char *node);
	void *on_lost_arg;
	struct up_handler on_up[MAX_UP_HANDLERS];
	uint32_t n_on_up;
	struct mh_timer *timer;
	int64_t conf_request_us; /* last request to a peer; 0: answered */
	int64_t rows_request_us;
	int64_t entries_request_us;
	uint64_t latest_conf; /* latest that a peer announced */
	int64_t latest_conf_us; /* when that was first announced */
	int64_t conf_stale_from_us; /* 0: ours is current */
	size_t sent_view_bytes; /* of views without rows, since a heartbeat */
	size_t sent_rows_bytes; /* of rows, since a heartbeat */
};

/** mh_peer_link() - connection id of an open link, 0: none. */
uint64_t mh_peer_link(const struct peer *p);
/**
 * mh_peer_is_alive() - whether a connection to it works in both directions, and
 * has for long enough.
 */
bool mh_peer_is_alive(const struct peer *p);
/**
 * mh_peer_is_member() - whether it is listed, or was announced by another
 * entry.
 */
bool mh_peer_is_member(const struct peer *p);
/**
 * mh_mesh_check_pause() - detects that this process did not run for a while.
 */
void mh_mesh_check_pause(struct mh_mesh *m);
/**
 * mh_mesh_start_us() - when this process started or resumed, whichever is
 * later.
 */
int64_t mh_mesh_start_us(const struct mh_mesh *m);
/** mh_weight_units() - a weight as it is sent, in units of 1 / WEIGHT_UNIT. */
uint32_t mh_weight_units(double weight);
/** mh_peer_of() - the peer of that name, created if there is none. */
struct peer *mh_peer_of(struct mh_mesh *m, const char *node);
/** mh_mesh_heartbeat() - sends a heartbeat over all connections. */
void mh_mesh_heartbeat(struct mh_mesh *m);
/** mh_peer_heartbeat() - sends a heartbeat over one connection. */
void mh_peer_heartbeat(const struct peer *p, struct peer_conn *c);
/**
 * mh_mesh_is_starting() - whether this process has just started or resumed and
 * has to find the other entries.
 */
bool mh_mesh_is_starting(const struct mh_mesh *m);
/** mh_mesh_take_known() - adds an entry that another entry announced. */
void mh_mesh_take_known(struct mh_mesh *m, const Mh__Known *k);
/**
 * mh_mesh_oldest_start_us() - earliest start time of this entry and the linked
 * entries that can serve; INT64_MAX if none can.
 */
int64_t mh_mesh_oldest_start_us(struct mh_mesh *m);
/** mh_mesh_select_links() - marks the peers that this entry keeps links to. */
void mh_mesh_select_links(struct mh_mesh *m);

/* meshlink.c */

void mh_mesh_link_up(struct mh_mesh *m, const struct mh_link_msg *l);
void mh_mesh_link_down(struct mh_mesh *m, uint64_t conn);
/**
 * mh_peer_note_received() - records a frame; returns the connection it came on.
 */
struct peer_conn *mh_peer_note_received(struct peer *p, uint64_t conn);
/**
 * mh_peer_late_us() - time since the peer sent its latest heartbeat, at the
 * most; INT64_MAX: not known.
 */
int64_t mh_peer_late_us(const struct peer *p);
/** mh_peer_note_part() - records part of a large frame. */
void mh_peer_note_part(struct peer *p, uint64_t conn);
/** mh_peer_note_heartbeat() - takes what a heartbeat proves about @c. */
void mh_peer_note_heartbeat(
    struct peer *p, struct peer_conn *c, const Mh__Beat *b);
/** mh_peer_resumed() - this process was paused: its peers seem silent. */
void mh_peer_resumed(struct peer *p);
/** mh_peer_check_links() - closes connections that don't work. */
void mh_peer_check_links(struct peer *p);
/** mh_peer_dial() - opens the connection to @p that we want to keep. */
void mh_peer_dial(struct peer *p);

/* meshsend.c */

/** mh_conn_send() - sends a frame over one connection. */
void mh_conn_send(struct mh_mesh *m, struct peer_conn *c, Mh__Frame *f);
/** mh_peer_send() - sends a frame that may be lost; does nothing unlinked. */
void mh_peer_send(struct peer *p, Mh__Frame *f);
/** mh_conn_reported() - the peer has received so many frames over @c. */
void mh_conn_reported(struct peer_conn *c, uint64_t frames);
/** mh_peer_forget() - drops all that is kept to be sent again. */
void mh_peer_forget(struct peer *p);
/** mh_conn_move() - keeps what was sent over @c for the next connection. */
void mh_conn_move(struct peer *p, struct peer_conn *c);
/** mh_peer_resend() - sends what was kept, if there is a connection. */
void mh_peer_resend(struct peer *p);
/** mh_peer_is_repeated() - records a numbered frame; true: it came before. */
bool mh_peer_is_repeated(struct peer *p, uint64_t number);

/* meshlog.c */

/** mh_peer_log_silent() - logs a silent connection, unless it flaps. */
void mh_peer_log_silent(struct peer *p, const struct peer_conn *c);

/** mh_peer_log_up() - logs a new link, unless the peer flaps. */
void mh_peer_log_up(struct peer *p, const struct mh_link_msg *l);
/** mh_peer_log_lost() - logs a lost peer, unless it flaps. */
void mh_peer_log_lost(struct peer *p, const char *why);
/** mh_peer_log_flaps() - logs, at intervals, how often a peer was lost. */
void mh_peer_log_flaps(struct peer *p);

/* meshorder.c */

/** mh_mesh_reads_for() - whether we leave reading the platform to @p. */
bool mh_mesh_reads_for(const struct mh_mesh *m, const struct peer *p);

/* meshview.c */

struct mh_rev mh_mesh_evacuated_rev(const struct mh_mesh *m);
/**
 * mh_mesh_compare_views() - requests what the sender of a heartbeat has in a
 * later revision.
 */
void mh_mesh_compare_views(
    struct mh_mesh *m, struct peer *p, const Mh__Beat *b);
void mh_mesh_answer_view(
    struct mh_mesh *m, struct peer *p, const Mh__ViewAsk *req);
void mh_mesh_take_view(struct mh_mesh *m, struct peer *p, const Mh__View *v);
/**
 * mh_mesh_view_arriving() - records bytes of an incomplete frame from a peer.
 */
void mh_mesh_view_arriving(struct mh_mesh *m, struct peer *p);
/** mh_mesh_reset_sent_bytes() - begins a new heartbeat interval. */
void mh_mesh_reset_sent_bytes(struct mh_mesh *m);

#endif
