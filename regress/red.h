#ifndef RED_H
#define RED_H

/*
 * red.c: KNOWN-RED.txt, the list of known failures.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * struct red_entry - one known failure, "test or day | command and seed | what
 * was seen | issue".
 */
struct red_entry {
	char *name; /* of a test, "day SITE NAME" or "soak SEED" */
	char *command;
	char *seen;
	uint32_t issue;
	bool is_external; /* a day or a soak seed: no test runs it */
};

/**
 * red_entry_parse() - parses one line of the list.
 * @why: receives a static text that says what is wrong, else NULL
 *
 * Return: the entry, or NULL if the line is malformed.
 */
struct red_entry *red_entry_parse(const char *line, const char **why);
void red_entry_destroy(struct red_entry *e);
/** red_line_is_entry() - whether a line is neither empty nor a comment. */
bool red_line_is_entry(const char *line);

#endif
