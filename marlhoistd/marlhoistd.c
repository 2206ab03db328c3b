/**
 * DOC: marlhoistd: the entry daemon, which runs pipelines for HTTP callers.
 */

#include "marlhoistd.h"

#define LINGER_US (1 * MH_US_PER_S) /* for load balancers to poll /readyz */

static bool create(struct mh_daemon *d, GError **err);
static void drain(struct mh_daemon *d);
static bool idle(struct mh_daemon *d);

static const struct mh_daemon_ops ops = { .name = "marlhoistd",
	.role = "entry",
	.kind = MH_DAEMON_ENTRY,
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
	mh_entry_create(d->k, d->settings.vm, d->settings.domain);
	d->httpd = http_create(d->loop, &d->settings, err);
	return d->httpd != NULL;
}

static void
drain(struct mh_daemon *d)
{
	mh_entry_drain(d->k, d->grace_us);
	mh_httpd_stop(d->httpd);
}

static bool
idle(struct mh_daemon *d)
{
	return mh_entry_active_count(d->k) == 0;
}
