#ifndef MARLHOISTD_H
#define MARLHOISTD_H

#include "marlhoist.h"

/* http.c: service "http" */

/**
 * http_create() - serves callers on the HTTP address of @s, with TLS if @s has
 * a certificate.  Returns NULL with @err set if the server can't start.
 */
struct mh_httpd *http_create(
    struct mh_loop *l, const struct mh_settings *s, GError **err);

#endif
