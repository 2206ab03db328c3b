#ifndef POISONINT_H
#define POISONINT_H

/* Shared by poison.c, poisoncrash.c and poisongossip.c alone. */

#include "poison.h"

/* All calls that break in one crash of an endpoint break within this. */
#define MH_POISON_SAME_CRASH_US (2 * MH_US_PER_S)

/* A crash counts for this long: callers may retry at long intervals. */
#define MH_POISON_KEEP_US (180 * MH_US_PER_S)
/* Times less than this apart, as received, are taken for the same event. */
#define MH_POISON_SAME_RUN_US (1 * MH_US_PER_S)
/* Score for a quarantine: three crashes that are blamed on a request alone. */
#define MH_POISON_QUARANTINE_POINTS 6

/* The first quarantine; each further one takes twice as long. */
#define MH_POISON_QUARANTINE_US (300 * MH_US_PER_S)
#define MH_POISON_DOUBLINGS 4
#define MH_POISON_QUARANTINE_MAX_US \
	(MH_POISON_QUARANTINE_US << MH_POISON_DOUBLINGS)

/** struct crash_request - a request that an endpoint had when it crashed. */
struct crash_request {
	uint64_t fingerprint;
	bool late; /* see struct mh_poison_break */
	bool part; /* the name of a part of its prompt */
};

/** struct crash - a presumed crash of an endpoint. */
struct crash {
	struct mh_poison *s;
	char *endpoint; /* incarnation; #N is added after N restarts of it */
	char *pool;
	int64_t at_us;
	GArray *requests; /* struct crash_request */
	GArray *ids; /* uint64_t, of this crash; the first is announced */
	GArray *earlier_ids; /* of its crashes before, which were disproved */
	bool settled; /* all of our calls that break with it have broken */
	bool evaluated; /* the reports of others are in, so it counts */
	bool alive; /* disproved: the endpoint has sent data since */
	bool answered; /* after a second or more, so it may have restarted */
	int64_t down_us; /* when it was found to be down; 0: it was not */
	bool restarted; /* it has answered after that */
	bool announced;
};

/** struct quarantine - a request that is quarantined, or was. */
struct quarantine {
	uint64_t fingerprint;
	char *pool;
	int64_t start_us;
	int64_t expires_us;
	uint32_t times; /* quarantined so far */
	/* of requests with all these parts (uint64_t, sorted); NULL: of one */
	GArray *parts;
	bool announced;
};

/* Last runs of a request whose ids are kept to detect duplicates. */
#define MH_POISON_RUN_IDS 8

/** struct completion - a suspected request that ran without a crash. */
struct completion {
	uint64_t fingerprint;
	char *pool;
	int64_t at_us;
	uint64_t ids[MH_POISON_RUN_IDS]; /* a ring; 0: none */
	uint32_t n_ids; /* added so far; the last one is announced */
	bool part;
	bool announced;
};

/** struct completion_report - one run of a request without a crash. */
struct completion_report {
	uint64_t fingerprint;
	const char *pool;
	int64_t at_us;
	uint64_t id; /* 0: none */
	bool part;
};

/** struct evidence - what speaks against a request at one pool. */
struct evidence {
	uint64_t fingerprint;
	const char *pool; /* borrowed from a crash or a quarantine */
	uint32_t score;
	uint32_t seen; /* crashes at which it was running */
	uint32_t base; /* points for an earlier quarantine */
	uint32_t crashes; /* that are blamed on it */
	uint32_t late_crashes; /* of these, see struct mh_poison_break */
	uint32_t sole_crashes; /* for which no other request is blamed */
	bool last_sole; /* its last crash is one of these */
};

/** struct part_suspects - all parts that may be the cause of some crashes. */
struct part_suspects {
	const char *pool; /* borrowed from a crash */
	GArray *parts; /* uint64_t, sorted */
	uint32_t crashes; /* with just these suspects */
	uint32_t more; /* with these and others */
	bool common; /* what several crashes with others have in common */
};

/** struct mh_poison - the service. */
struct mh_poison {
	struct mh_kern *k;
	struct mh_poison_ops ops;
	GHashTable *crashes; /* endpoint -> struct crash */
	GHashTable *quarantines; /* fingerprint -> struct quarantine */
	GHashTable *released; /* fingerprint -> time of release, int64_t */
	GHashTable *completions; /* mh_poison_key() -> struct completion */
	GHashTable *evidence; /* mh_poison_key() -> struct evidence */
	GPtrArray *suspects; /* struct part_suspects */
	GHashTable *suspected; /* parts that were in any crash */
	/*
	 * Names of parts that endpoints have answered of late; the newer ones
	 * first.
	 */
	GHashTable *sound[2];
	int64_t sound_from_us; /* when the newer ones were begun */
	bool stale; /* evidence must be recomputed */
	GArray *withdrawn; /* uint64_t, quarantines to be announced as such */
	uint32_t n_pending; /* crashes that are not evaluated yet */
	int64_t rate_second; /* in which n_new_crashes were recorded */
	uint32_t n_new_crashes;
	struct mh_timer *check_timer;
	struct mh_timer *sweep_timer;
};

/** mh_poison_of() - the service; NULL: the process has none. */
struct mh_poison *mh_poison_of(struct mh_kern *k);
/** mh_poison_key() - hash of a request and a pool. */
uint64_t mh_poison_key(uint64_t fingerprint, const char *pool);
/** struct crash_report - a crash as observed here or received. */
struct crash_report {
	const char *endpoint;
	const char *pool;
	int64_t at_us;
	uint64_t id; /* 0: none */
	int64_t same_us; /* less after a disproved crash: the same one */
};

/**
 * mh_poison_record_crash() - finds the record of a crash or adds one.
 *
 * Return: NULL if there are too many new ones, or if the report is of an
 * earlier crash of the endpoint that was disproved since.
 */
struct crash *mh_poison_record_crash(
    struct mh_poison *s, const struct crash_report *w, bool *is_new);
/** mh_poison_add_request() - true if this changed the requests of a crash. */
bool mh_poison_add_request(
    struct crash *c, const struct crash_request *request);
/** mh_poison_is_sound() - a part that this process knows to be no cause. */
bool mh_poison_is_sound(
    const struct mh_poison *s, uint64_t part, const char *pool);
/** mh_poison_tell_sound() - announces that a part is no cause. */
void mh_poison_tell_sound(struct mh_poison *s, uint64_t part, const char *pool);
/**
 * mh_poison_quarantine() - quarantines a request, or extends its quarantine.
 *
 * Return: NULL if there are too many.
 */
struct quarantine *mh_poison_quarantine(struct mh_poison *s,
    uint64_t fingerprint, const char *pool, int64_t expires_us, uint32_t times);
/** mh_poison_set_parts() - it is of requests with these parts, sorted. */
void mh_poison_set_parts(
    struct mh_poison *s, struct quarantine *q, const uint64_t *parts, size_t n);
/** mh_poison_release() - ends a quarantine and frees its record. */
void mh_poison_release(
    struct mh_poison *s, struct quarantine *q, const char *why);
/** mh_poison_was_released() - a quarantine begun at @start_us was released. */
bool mh_poison_was_released(
    const struct mh_poison *s, uint64_t fingerprint, int64_t start_us);
/** mh_poison_add_completion() - false if it was recorded already. */
bool mh_poison_add_completion(
    struct mh_poison *s, const struct completion_report *n);
/** mh_poison_new_id() - of what is observed now, unique for @key. */
uint64_t mh_poison_new_id(const struct mh_poison *s, uint64_t key);
/** mh_poison_run_id() - id of the last run; 0: none. */
uint64_t mh_poison_run_id(const struct completion *r);
/** mh_poison_withdraw() - announces that a quarantine had no ground. */
void mh_poison_withdraw(struct mh_poison *s, uint64_t fingerprint);
/**
 * mh_poison_retract() - releases quarantines of @requests for which the
 * evidence is too little now, and announces that.
 */
void mh_poison_retract(struct mh_poison *s, const char *pool,
    const GArray *requests, const char *why);
/**
 * mh_poison_retract_crash() - releases quarantines for which the evidence is
 * too little now that the endpoint of @c proved to be alive.
 */
void mh_poison_retract_crash(struct mh_poison *s, const struct crash *c);
/** mh_poison_update_evidence() - recomputes the evidence if it is stale. */
void mh_poison_update_evidence(struct mh_poison *s);
/* poisonpart.c */

/** mh_poison_judge_parts() - finds the suspects of the crashes that count. */
void mh_poison_judge_parts(struct mh_poison *s, const GPtrArray *crashes);
/** mh_poison_is_cause() - whether suspects are quarantined for their crashes.
 */
bool mh_poison_is_cause(const struct part_suspects *p);
/** mh_poison_has_cause() - whether quarantined parts explain a crash. */
bool mh_poison_has_cause(struct mh_poison *s, const struct crash *c);
/** mh_poison_parts_supported() - our crashes support a quarantine of parts. */
bool mh_poison_parts_supported(struct mh_poison *s, const struct quarantine *q);
/** mh_poison_parts_name() - names a quarantine of some parts. */
uint64_t mh_poison_parts_name(const uint64_t *parts, size_t n);
/** mh_poison_release_parts() - ends the quarantines that @part was one of. */
void mh_poison_release_parts(
    struct mh_poison *s, uint64_t part, const char *why);
/** mh_poison_crash_has() - whether a request or part was in a crash. */
bool mh_poison_crash_has(const struct crash *c, uint64_t name);
void mh_poison_free_suspects(void *suspects);
/** mh_poison_evidence() - evidence against a request; NULL: none. */
struct evidence *mh_poison_evidence(
    struct mh_poison *s, uint64_t fingerprint, const char *pool);
/** mh_poison_sweep_later() - starts the timer that drops old records. */
void mh_poison_sweep_later(struct mh_poison *s);
void mh_poison_free_crash(void *crash);
void mh_poison_free_completion(void *completion);
/** mh_poison_evaluate() - quarantines the requests with enough points. */
void mh_poison_evaluate(struct mh_poison *s);
/** mh_poison_announce() - sends what was not announced yet. */
void mh_poison_announce(struct mh_poison *s);
/** mh_poison_log() - writes an event and a log line. */
void mh_poison_log(struct mh_poison *s, const char *kind, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#endif
