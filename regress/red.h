#ifndef RED_H
#define RED_H

/*
 * red.c: the list of known failures.
 */

#include <stdbool.h>
#include <stdint.h>

/** struct red_entry - one known failure, "test or day | command and seed |
 * what was seen | issue". */
struct red_entry {
	/* a test's, "day" and one of the bench, or "soak" and a seed */
	char *name;
	char *command;
	char *seen;
	uint32_t issue;
	bool is_elsewhere; /* no test plays it */
};

/**
 * red_entry_parse() - reads one line of the list.
 * @why: if it fails, what is wrong; static
 *
 * Return: the entry; NULL: the line is none.
 */
struct red_entry *red_entry_parse(const char *line, const char **why);
void red_entry_destroy(struct red_entry *e);
/** red_line_counts() - neither empty nor a comment. */
bool red_line_counts(const char *line);

#endif
