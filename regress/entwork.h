#ifndef ENTWORK_H
#define ENTWORK_H

#include "entries.h"
#include "world.h"

/** struct ent - the stage work of one entry; calls end at once, or never
 * where its frames are lost. */
struct ent {
	struct ment *m;
	struct world *w;
	struct mh_scheds *cs;
	struct mh_broker *b;
	const char *stalled; /* calls of this pool do not end; NULL: all do */
	uint32_t passes; /* so many of these end all the same */
	uint32_t calls;
	uint32_t pieces; /* in these */
	uint32_t calls_b; /* of these, of the second pool */
	uint32_t freed; /* results */
	uint32_t ended; /* jobs that were submitted here */
	uint32_t done; /* of these */
	uint32_t held; /* of these, since endpoints end under their requests */
};

/** ent_create() - for a running entry: pools "a" and "b", and its cells. */
void ent_create(struct ent *e, struct ment *m);
void ent_destroy(struct ent *e);

#endif
