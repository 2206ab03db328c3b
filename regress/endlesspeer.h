#ifndef ENDLESSPEER_H
#define ENDLESSPEER_H

#include <stdint.h>

/** enum endless_form - which part of an answer has no end. */
enum endless_form {
	ENDLESS_NO_HTTP,
	ENDLESS_STATUS,
	ENDLESS_FIELD,
	ENDLESS_FIELDS,
	ENDLESS_INTERIM,
	ENDLESS_BODY,
	ENDLESS_CHUNKS,
	ENDLESS_CHUNK_SIZE,
	ENDLESS_LENGTH,
	ENDLESS_SECOND, /* a second answer */
	ENDLESS_EVENT,
	ENDLESS_EVENTS,
	ENDLESS_JSON,
	ENDLESS_JSON_ITEMS,
	ENDLESS_FORMS
};

struct endless_peer;

/** endless_peer_start() - an endpoint that sends to each caller until it
 * closes. */
struct endless_peer *endless_peer_start(enum endless_form form);
/** endless_peer_address() - its ip:port. */
const char *endless_peer_address(const struct endless_peer *p);
/** endless_peer_sent_mb() - megabytes that all its callers have taken. */
uint32_t endless_peer_sent_mb(const struct endless_peer *p);
void endless_peer_stop(struct endless_peer *p);

#endif
