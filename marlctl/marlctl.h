#ifndef MARLCTL_H
#define MARLCTL_H

#include "marlhoist.h"

#define EXIT_BAD 1 /* bad input, lost race or no response */
#define EXIT_USAGE 2

/** struct options - flags shared by the commands. */
struct options {
	const char *kv;
	const char *secret_file;
	const char *org;
	const char *pipeline;
	const char *class_name;
	const char *model;
	int64_t base_generation; /* -1: not given */
	uint64_t fence; /* 0: get a new one from the KV service */
	bool replace_lost; /* apply even if the active document is lost */
};

/* marlctl.c */
/** die() - prints the message to stderr and exits with @status. */
G_GNUC_NORETURN void die(int status, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
GBytes *read_file(const char *path);

/* store.c: blocking client of the KV service */

/** struct kv_value - result of reading a key; kv_value_clear() frees it. */
struct kv_value {
	bool responded; /* a value or status 404 was received */
	bool found;
	uint64_t cas; /* modify index; 0: no such key */
	GBytes *value; /* NULL unless found */
};

void store_get(const char *kv, const char *name, struct kv_value *out);
void kv_value_clear(struct kv_value *s);

/**
 * enum put_result - result of a write: written, not written because the modify
 * index was not @cas, or unknown.
 */
enum put_result { WRITTEN, LOST_RACE, NO_RESPONSE };
enum put_result store_put(
    const char *kv, const char *name, uint64_t cas, GBytes *value);

/* apply.c */
int cmd_apply(const struct options *o, const char *file);
int cmd_evacuate(const struct options *o, const char *domain);
int cmd_take_back(const struct options *o, const char *domain);
int cmd_history(const struct options *o);
int cmd_show(const struct options *o);
/**
 * read_current() - reads the active document; NULL if none was applied yet.
 * @head: set to the head value, owned by the caller, or NULL
 * @cas: set to the modify index of the head
 *
 * Exits if the KV service doesn't respond, a value is malformed, or the
 * document that the head names can't be read, with what to do.
 */
struct mh_decl *read_current(
    const struct options *o, json_t **head, uint64_t *cas);

/* diff.c */
int cmd_diff(const struct options *o, const char *file);
void diff_decls(const struct mh_decl *old, const struct mh_decl *new);

/* ask.c */
int cmd_state(const struct options *o, const char *addr);
int cmd_order(const struct options *o, const char *addr, const char *verb,
    const char *subject);

#endif
