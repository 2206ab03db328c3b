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
	uint32_t mark; /* of the current reading of the registry */
	uint64_t version;
	uint64_t ranks_version; /* version for which the ranks were computed */
	void (*on_removed)(void *arg, const char *id);
	void *on_removed_arg;
	void (*on_restart)(void *arg, const char *id);
	void *on_restart_arg;
	void (*on_unreachable)(void *arg, const char *id);
	void *on_unreachable_arg;
};

#endif
