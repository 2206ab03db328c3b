#ifndef FLEETINT_H
#define FLEETINT_H

/* Shared by fleet.c and said.c alone. */

#include "gate.h"

struct mh_fleet {
	struct mh_kern *k;
	struct mh_gconf *conf;
	char **evacuated; /* failure domains */
	GHashTable *nodes; /* id -> struct mh_node */
	GHashTable *names; /* name -> struct mh_node, not owned */
	GHashTable *pools; /* name -> GPtrArray of struct mh_node */
	GHashTable *soles; /* pool -> struct mh_sole */
	int64_t (*rows_age_us)(void *arg);
	void *rows_age_arg;
	int64_t drain_us; /* see mh_fleet_set_drain() */
	uint32_t mark; /* of the current reading of the registry */
	uint64_t version;
	uint64_t ranks_version; /* version for which the ranks were computed */
	/* words of endpoints that are not listed: id -> struct unlisted */
	GHashTable *unlisted;
	uint32_t (*rank)(void *arg, const char *endpoint, uint32_t *entries);
	bool (*is_linked)(void *arg);
	void *sharing_arg; /* of the two above */
	void (*on_word)(void *arg, const struct mh_word *w);
	void *on_word_arg;
	void (*on_removed)(void *arg, const char *id);
	void *on_removed_arg;
	void (*on_restart)(void *arg, const char *id);
	void *on_restart_arg;
	void (*on_unreachable)(void *arg, const char *id);
	void *on_unreachable_arg;
};

/** mh_words_keep() - keeps the words of an endpoint that is removed. */
void mh_words_keep(struct mh_fleet *f, const struct mh_node *n);
/** mh_words_restore() - restores them if this incarnation was removed. */
void mh_words_restore(struct mh_fleet *f, struct mh_node *n);

/** mh_node_set_draining() - whether it drains, by any source. */
void mh_node_set_draining(struct mh_fleet *f, struct mh_node *n, bool draining);

#endif
