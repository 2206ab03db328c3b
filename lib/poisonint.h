#ifndef POISONINT_H
#define POISONINT_H

/* Shared by poison.c, poisonends.c and poisontold.c alone. */

#include "poison.h"

/* Calls that break with their endpoint do so within this. */
#define MH_POISON_SAME_US (2 * MH_US_PER_S)

/* An end speaks against a request for so long: callers may ask seldom. */
#define MH_POISON_KEEP_US (180 * MH_US_PER_S)
/* What is told of a time so close to another is told of the same run. */
#define MH_POISON_RUN_US (1 * MH_US_PER_S)
/* Points that hold a request: three ends that are laid to it alone. */
#define MH_POISON_HOLD_POINTS 6

/* First hold, doubled each time it is held again. */
#define MH_POISON_HOLD_US (300 * MH_US_PER_S)
#define MH_POISON_DOUBLINGS 4
#define MH_POISON_HOLD_MOST_US (MH_POISON_HOLD_US << MH_POISON_DOUBLINGS)

/** struct member - a request that an endpoint had when it ended. */
struct member {
	uint64_t print;
	bool old;
};

/** struct ended - an endpoint that ended, as far as is known. */
struct ended {
	struct mh_poison *s;
	char *endpoint;
	char *pool;
	int64_t at_us;
	GArray *members; /* struct member */
	GArray *ids; /* uint64_t, of this end; the first is told */
	GArray *past_ids; /* of the ends before, after which it lived */
	bool settled; /* else the calls that break with it still come in */
	bool ripe; /* the others have told what they had there */
	bool lives; /* it has answered since */
	bool told;
};

/** struct hold - a request that is held, or was. */
struct hold {
	uint64_t print;
	char *pool;
	int64_t made_us;
	int64_t until_us;
	uint32_t times;
	bool told;
};

/* Ids of a request's runs by which a process knows them again. */
#define MH_POISON_RUN_IDS 8

/** struct ran - a request that was suspected and has run. */
struct ran {
	uint64_t print;
	char *pool;
	int64_t at_us;
	uint64_t ids[MH_POISON_RUN_IDS]; /* a ring; 0: none */
	uint32_t n_ids; /* taken so far; the last one is told */
	bool told;
};

/** struct run - that a request has run, as it is told. */
struct run {
	uint64_t print;
	const char *pool;
	int64_t at_us;
	uint64_t id; /* 0: none */
};

/** struct row - what speaks against a request at one pool. */
struct row {
	uint64_t print;
	const char *pool; /* of an end or a hold */
	uint32_t score;
	uint32_t seen; /* ends at which it was there */
	uint32_t base; /* points of a hold before */
	uint32_t ends; /* that were laid to it */
	uint32_t ends_late; /* of these, when it had run for a while */
	uint32_t ends_alone; /* for which nothing else was blamed */
	bool last_alone; /* its last end is one of these */
};

/** struct mh_poison - the service. */
struct mh_poison {
	struct mh_kern *k;
	struct mh_poison_ops ops;
	GHashTable *ended; /* endpoint -> struct ended */
	GHashTable *holds; /* print -> struct hold */
	GHashTable *released; /* print -> when its hold was, int64_t */
	GHashTable *ran; /* print and pool -> struct ran */
	GHashTable *rows; /* print and pool -> struct row */
	bool stale; /* rows are to be worked out anew */
	uint32_t unripe; /* ends that are not judged yet */
	int64_t second; /* of the bound on new ends */
	uint32_t new_ends; /* in it */
	struct mh_timer *look;
	struct mh_timer *sweep;
};

/** mh_poison_of() - the service; NULL: the process has none. */
struct mh_poison *mh_poison_of(struct mh_kern *k);
/** mh_poison_key() - names a request at a pool. */
uint64_t mh_poison_key(uint64_t print, const char *pool);
/** struct end_seen - an end, as it is seen or told. */
struct end_seen {
	const char *endpoint;
	const char *pool;
	int64_t at_us;
	uint64_t id; /* 0: none */
	int64_t same_us; /* so soon after one that it outlived: the same */
};

/** mh_poison_ended() - that end, made if new; NULL: there are too many, or it
 * has been shown since that the endpoint lived. */
struct ended *mh_poison_ended(
    struct mh_poison *s, const struct end_seen *w, bool *is_new);
/** mh_poison_add() - true if the member was not known. */
bool mh_poison_add(struct ended *e, uint64_t print, bool old);
/** mh_poison_hold() - holds a request, or moves the end of its hold. */
struct hold *mh_poison_hold(struct mh_poison *s, uint64_t print,
    const char *pool, int64_t until_us, uint32_t times);
/** mh_poison_release() - a hold is over and forgotten. */
void mh_poison_release(struct mh_poison *s, struct hold *h, const char *why);
/** mh_poison_was_released() - a hold made at @made_us is known to be over. */
bool mh_poison_was_released(
    const struct mh_poison *s, uint64_t print, int64_t made_us);
/** mh_poison_clear() - a request has run; true if that changes anything. */
bool mh_poison_clear(struct mh_poison *s, const struct run *n);
/** mh_poison_run_id() - of its last run; 0: none. */
uint64_t mh_poison_run_id(const struct ran *r);
/** mh_poison_take_back() - an endpoint lives: what was laid to its requests. */
void mh_poison_take_back(struct mh_poison *s, const struct ended *e);
/** mh_poison_work_out() - rows, by all that is known now. */
void mh_poison_work_out(struct mh_poison *s);
/** mh_poison_row() - what speaks against a request; NULL: nothing. */
struct row *mh_poison_row(
    struct mh_poison *s, uint64_t print, const char *pool);
/** mh_poison_sweep_later() - what is old will be forgotten. */
void mh_poison_sweep_later(struct mh_poison *s);
void mh_poison_free_ended(void *ended);
void mh_poison_free_ran(void *ran);
/** mh_poison_judge() - looks for causes, with all that is known. */
void mh_poison_judge(struct mh_poison *s);
/** mh_poison_tell() - what is not told yet goes out. */
void mh_poison_tell(struct mh_poison *s);
/** mh_poison_says() - a line of the log. */
void mh_poison_says(struct mh_poison *s, const char *kind, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

#endif
