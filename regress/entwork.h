#ifndef ENTWORK_H
#define ENTWORK_H

#include "entries.h"
#include "world.h"

/**
 * struct ent - stage work of one entry; calls end at once, or after call_us, or
 * never while its frames are lost.
 */
struct ent {
	struct ment *m;
	struct world *w;
	struct mh_scheds *cs;
	struct mh_broker *b;
	int64_t call_us; /* duration of a call; 0: none */
	GPtrArray *running; /* struct ent_call, that take so long */
	struct mh_budget *budget; /* its retries, not owned; NULL: @w has it */
	/* how a call ends; NULL: it is answered */
	enum mh_batch_end (*on_call)(struct ent *e, const struct mh_batch *b);
	/* takes over a job that has ended; NULL: it stays with its owner */
	void (*on_end)(struct ent *e, struct mh_job *j);
	void *arg; /* for @on_call and @on_end */
	const char *stalled; /* calls of this pool don't end; NULL: all do */
	uint32_t calls_to_end; /* calls of it that still end */
	uint32_t calls;
	uint32_t pieces; /* in the calls */
	uint32_t calls_b; /* of the calls, those of pool "b" */
	uint32_t freed; /* results freed */
	uint32_t ended; /* jobs that were submitted here */
	uint32_t done; /* of these, successful */
	uint32_t quarantined; /* of these, refused as quarantined */
};

/**
 * ent_create() - creates pools "a" and "b", the stage schedulers and the broker
 * of a running entry.
 */
void ent_create(struct ent *e, struct ment *m);
void ent_destroy(struct ent *e);

#endif
