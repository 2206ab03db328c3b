#ifndef POISON_H
#define POISON_H

/*
 * poison.c: poison requests, which crash the endpoints that run them.
 *
 * Each process records which requests an endpoint was running when it crashed
 * and announces that to the others.  Each process identifies the poison
 * requests by itself and quarantines them: they are refused instead of run.
 */

#include "marlhoist.h"

/*
 * A crash is early within this time after the first data of the answer, else
 * late.  Most poison requests crash their endpoint early.
 */
#define MH_POISON_EARLY_US (500 * MH_US_PER_MS)

/** struct mh_poison_ops - callbacks of the service "poison". */
struct mh_poison_ops {
	/* sends to every linked process; NULL: this process is alone */
	void (*announce)(void *arg, Mh__Frame *f);
	/* number of listed endpoints of a pool; NULL: not known */
	uint32_t (*pool_size)(void *arg, const char *pool);
	/* whether a call sent there before @us is still open; NULL: never */
	bool (*still_open)(void *arg, const char *endpoint, int64_t us);
	/* whether no other process is linked; NULL: never */
	bool (*is_alone)(void *arg);
	/* an endpoint seems to have crashed; may be NULL */
	void (*fell)(void *arg, const char *endpoint);
	/* a request was quarantined; may be NULL */
	void (*quarantined)(void *arg, uint64_t fingerprint);
	void *arg;
};

/** struct mh_poison_break - a call whose connection to an endpoint broke. */
struct mh_poison_break {
	const char *endpoint; /* id of the incarnation */
	const char *pool;
	uint64_t fingerprint; /* of the request; 0: not known */
	int64_t sent_us; /* when the call was sent */
	bool late; /* more than MH_POISON_EARLY_US after its first data */
	const uint64_t *parts; /* mh_poison_part() of its prompt's parts */
	uint32_t n_parts;
};

/** mh_poison_create() - service "poison", owned by the kernel. */
void mh_poison_create(struct mh_kern *k, const struct mh_poison_ops *ops);
/** mh_poison_fingerprint() - combines hashes of a request's parts; never 0. */
uint64_t mh_poison_fingerprint(const uint64_t *parts, size_t n);
/** mh_poison_part() - name of a part of prompts at a pool; never 0. */
uint64_t mh_poison_part(uint64_t part, const char *pool);
/*
 * In a process without the service the functions below do nothing and return
 * 0, false or an empty array.
 */

/** mh_poison_call_broke() - a call broke; its endpoint may have crashed. */
void mh_poison_call_broke(struct mh_kern *k, const struct mh_poison_break *b);
/** mh_poison_unreachable() - a call that was sent at @sent_us did not arrive.
 */
void mh_poison_unreachable(
    struct mh_kern *k, const char *endpoint, int64_t sent_us);
/**
 * mh_poison_answered() - an endpoint has sent data.
 * @sent_us: when the call was sent that the data belongs to
 * @unique_id: a restarted endpoint gets another id, so that data under this id
 *	can only come from this incarnation
 */
void mh_poison_answered(
    struct mh_kern *k, const char *endpoint, int64_t sent_us, bool unique_id);
/** mh_poison_completed() - an endpoint of @pool ran a request and is alive. */
void mh_poison_completed(
    struct mh_kern *k, uint64_t fingerprint, const char *pool);
/**
 * mh_poison_parts_answered() - an endpoint of @pool is answering a request, or
 * has: none of its parts crashes endpoints.
 */
void mh_poison_parts_answered(
    struct mh_kern *k, const uint64_t *parts, uint32_t n, const char *pool);
/**
 * mh_poison_quarantine_us() - remaining quarantine of a request.
 *
 * Return: microseconds; 0: it may run.
 */
int64_t mh_poison_quarantine_us(struct mh_kern *k, uint64_t fingerprint);
/**
 * mh_poison_isolation_hash() - isolates suspected requests from each other.
 *
 * Two suspects that share an endpoint can't be told apart when it crashes.
 *
 * Return: the hash to choose the request's endpoint by, which is the same in
 * all processes and changes after each crash; 0: it is not suspected.
 */
uint64_t mh_poison_isolation_hash(
    struct mh_kern *k, uint64_t fingerprint, const char *pool);
/**
 * mh_poison_parts_quarantine_us() - remaining quarantine of a request with
 * these parts; 0: it may run.
 */
int64_t mh_poison_parts_quarantine_us(
    struct mh_kern *k, const uint64_t *parts, uint32_t n);
/**
 * mh_poison_should_wait() - whether a request should not be sent yet.
 *
 * True for a likely poison request if an endpoint that ran it has just
 * crashed.  Some tenths of a second later the crash has been evaluated and the
 * request is quarantined or may run.
 */
bool mh_poison_should_wait(
    struct mh_kern *k, uint64_t fingerprint, const char *pool);
/**
 * mh_poison_receive() - takes in what another process announced.
 * @pass_on: others are linked to us alone, so forward what is new to them
 */
void mh_poison_receive(struct mh_kern *k, const Mh__Poison *m, bool pass_on);
/** mh_poison_send_all() - sends the whole state to a newly linked process. */
void mh_poison_send_all(
    struct mh_kern *k, void (*send)(void *arg, Mh__Frame *f), void *arg);
/**
 * mh_poison_state() - quarantined requests, for operators.
 *
 * Return: a new JSON array, owned by the caller.
 */
json_t *mh_poison_state(struct mh_kern *k);

#endif
