#ifndef MARLHOISTD_H
#define MARLHOISTD_H

#include "marlhoist.h"

/* http.c: service "http", between callers and the entry's decisions */

/** http_create() - serves callers on @a's address, with TLS if given. */
struct mh_httpd *http_create(
    struct mh_loop *l, const struct mh_settings *s, GError **err);

#endif
