#ifndef POISON_H
#define POISON_H

/*
 * poison.c: requests under which endpoints end.
 *
 * A process notes which requests an endpoint had when it ended and shares that
 * with the others; each finds by itself the requests that are the cause, and
 * holds them: they are refused instead of run.
 */

#include "marlhoist.h"

/* Most causes end their endpoint this soon after their answer began. */
#define MH_POISON_FRESH_US (500 * MH_US_PER_MS)

/** struct mh_poison_ops - what a process lends to its service "poison". */
struct mh_poison_ops {
	/* to every process that it is linked to; NULL: alone */
	void (*tell)(void *arg, Mh__Frame *f);
	/* endpoints of a pool that are listed; NULL: not known */
	uint32_t (*pool_size)(void *arg, const char *pool);
	/* a call that was sent there before @us is still open; NULL: none */
	bool (*still_open)(void *arg, const char *endpoint, int64_t us);
	/* from now on a request is held */
	void (*held)(void *arg, uint64_t print);
	void *arg;
};

/** struct mh_poison_end - a call that broke off at an endpoint. */
struct mh_poison_end {
	const char *endpoint; /* the incarnation */
	const char *pool;
	uint64_t print; /* of its request; 0: not known */
	int64_t sent_us; /* when the call was sent */
	bool old; /* it had run for a while before */
};

/** mh_poison_create() - service "poison", owned by the kernel. */
void mh_poison_create(struct mh_kern *k, const struct mh_poison_ops *ops);
/** mh_poison_print() - the fingerprint of a request, of hashes of its parts. */
uint64_t mh_poison_print(const uint64_t *parts, size_t n);
/*
 * The functions below do nothing, and know nothing, in a process without the
 * service.
 */

/** mh_poison_broke() - a call broke off; its endpoint may have ended. */
void mh_poison_broke(struct mh_kern *k, const struct mh_poison_end *e);
/**
 * mh_poison_answered() - an endpoint has sent something.
 * @sent_us: when the call was sent that it belongs to
 * @same: an endpoint that starts again is told apart from the one before
 */
void mh_poison_answered(
    struct mh_kern *k, const char *endpoint, int64_t sent_us, bool same);
/** mh_poison_ran() - an endpoint of @pool ran a request and goes on. */
void mh_poison_ran(struct mh_kern *k, uint64_t print, const char *pool);
/**
 * mh_poison_held_us() - how long a request is still to be refused.
 *
 * Return: microseconds; 0: it may run.
 */
int64_t mh_poison_held_us(struct mh_kern *k, uint64_t print);
/**
 * mh_poison_apart() - a request that may be a cause is to run where no other
 * such request does.
 *
 * Return: what to choose its endpoint by, the same in all processes and
 * another after each end; 0: it is not suspected.
 */
uint64_t mh_poison_apart(struct mh_kern *k, uint64_t print, const char *pool);
/**
 * mh_poison_waits() - a likely cause had an endpoint that has just ended.
 *
 * Some tenths of a second later it is known whether that was the last one.
 */
bool mh_poison_waits(struct mh_kern *k, uint64_t print, const char *pool);
/**
 * mh_poison_take() - what another process tells.
 * @pass_on: others are linked to us alone, so what is new goes on to them
 */
void mh_poison_take(struct mh_kern *k, const Mh__Poison *m, bool pass_on);
/** mh_poison_all() - all that is known, for one that has just come. */
void mh_poison_all(
    struct mh_kern *k, void (*send)(void *arg, Mh__Frame *f), void *arg);
/** mh_poison_state() - the requests that are held, for operators. */
json_t *mh_poison_state(struct mh_kern *k);

#endif
