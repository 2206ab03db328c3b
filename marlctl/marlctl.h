#ifndef MARLCTL_H
#define MARLCTL_H

#include "marlhoist.h"

#define EXIT_BAD 1 /* refused: bad input, a lost race */
#define EXIT_USAGE 2

/** struct options - flags shared by the commands. */
struct options {
	const char *kv;
	const char *secret_file;
	const char *org;
	const char *pipeline;
	const char *class_asked;
	const char *model;
	int64_t base_generation; /* -1: not given */
	uint64_t fence;
};

/* marlctl.c */
G_GNUC_NORETURN void die(int status, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
GBytes *read_file(const char *path);

/* store.c: the KV service, one call at a time */

/** struct stored - one value as read. */
struct stored {
	bool answered; /* false: no answer came */
	bool found;
	uint64_t cas;
	GBytes *value;
};

void store_get(const char *kv, const char *name, struct stored *out);
void stored_clear(struct stored *s);

enum written { WRITTEN, LOST_RACE, NO_ANSWER };
enum written store_put(
    const char *kv, const char *name, uint64_t cas, GBytes *value);

/* apply.c */
int cmd_apply(const struct options *o, const char *file);
int cmd_evacuate(const struct options *o, const char *domain);
int cmd_take_back(const struct options *o, const char *domain);
int cmd_history(const struct options *o);
int cmd_show(const struct options *o);
/** read_current() - the document in the KV, NULL when there is none. */
struct mh_decl *read_current(
    const struct options *o, json_t **head, uint64_t *cas);

/* diff.c */
int cmd_diff(const struct options *o, const char *file);
void diff_decls(const struct mh_decl *old, const struct mh_decl *new);

/* ask.c: frames to a process */
int cmd_state(const struct options *o, const char *addr);
int cmd_order(const struct options *o, const char *addr, const char *verb,
    const char *subject);

#endif
