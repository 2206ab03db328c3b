/**
 * DOC: marlsided: the side process, through which all calls to its endpoint
 * pass.
 */

#include "marlhoist.h"

#include <string.h>

#define LINGER_US (500 * MH_US_PER_MS)

static bool create(struct mh_daemon *d, GError **err);
static void drain(struct mh_daemon *d);
static bool idle(struct mh_daemon *d);
static void on_http(void *arg, struct mh_http_req *r);

static const struct mh_daemon_ops ops = { .name = "marlsided",
	.role = "side",
	.kind = MH_DAEMON_SIDE,
	.min_drain_us = LINGER_US,
	.create = create,
	.drain = drain,
	.idle = idle };

int
main(int argc, char **argv)
{
	return mh_daemon_main(&ops, argc, argv);
}

static bool
create(struct mh_daemon *d, GError **err)
{
	const struct mh_settings *s = &d->settings;
	struct mh_side_args side = { .vm = s->vm,
		.domain = s->domain,
		.pool = s->pool,
		.incarnation = d->incarnation,
		.slots = (uint32_t)s->slots,
		.queue_limit = (uint32_t)s->queue_limit };
	struct mh_httpd_args http = {
		.listen = s->http, .on_request = on_http, .arg = d
	};

	mh_settings_holdings(s, &http.holdings);
	mh_endpoint_create(d->k, d->client, s->endpoint);
	mh_side_create(d->k, &side);
	d->httpd = mh_httpd_create(d->loop, &http, err);
	return d->httpd != NULL;
}

static void
drain(struct mh_daemon *d)
{
	mh_side_drain(d->k, d->grace_us);
}

static bool
idle(struct mh_daemon *d)
{
	return mh_side_idle(d->k);
}

static void
on_http(void *arg, struct mh_http_req *r)
{
	static const char text[] = "no such path: use /livez or /metrics\n";
	struct mh_daemon *d = arg;
	GBytes *b;

	if (mh_admin_serve(d->k, r))
		return;
	b = g_bytes_new_static(text, strlen(text));
	mh_req_reply(r, 404, "text/plain", b);
	g_bytes_unref(b);
}
