/**
 * DOC: Life cycle of a daemon: settings, kernel, loop, link, signals and drain.
 * The daemons pass what differs between them as struct mh_daemon_ops.
 */

#include "marlhoist.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define DRAIN_CHECK_US (50 * MH_US_PER_MS)
/* The largest body, 1 MiB, takes 8.4 s at 1 Mbit/s. */
#define FLUSH_TIMEOUT_US (10 * MH_US_PER_S)
/*
 * The process exits this long before SIGKILL: time for a drain check that was
 * just missed and for closing all connections on a busy machine.  With test
 * suites running in parallel SIGKILL came first in 3 of 5 runs with 200 ms and
 * in none of 5 with 500 ms.
 */
#define EXIT_MARGIN_US (500 * MH_US_PER_MS)

static G_GNUC_NORETURN void
fail(const struct mh_daemon *d, GError *err)
{
	fprintf(stderr, "%s: %s\n", d->ops->name, err->message);
	exit(2);
}

/*
 * A service knows a request from when its body is complete until its response
 * is ready.  Before and after that only the HTTP server knows of it, so both
 * must be idle: checking just the service truncated responses.  A stalled
 * caller delays the exit by at most FLUSH_TIMEOUT_US.
 */
static bool
is_done(struct mh_daemon *d)
{
	if (!d->ops->idle(d)) {
		d->idle_since_us = 0;
		return false;
	}
	if (d->idle_since_us == 0)
		d->idle_since_us = mh_now(d->k);
	return mh_httpd_active_count(d->httpd) == 0 ||
	    mh_now(d->k) - d->idle_since_us >= FLUSH_TIMEOUT_US;
}

static void
check_drained(void *arg)
{
	struct mh_daemon *d = arg;
	int64_t elapsed_us = mh_now(d->k) - d->drain_start_us;

	mh_timer_set(d->k, &d->drain_timer, DRAIN_CHECK_US, check_drained, d);
	if (elapsed_us < d->ops->min_drain_us)
		return;
	if (!is_done(d) && elapsed_us < d->grace_us - EXIT_MARGIN_US)
		return;
	mh_log(d->k, "daemon", "Drained.");
	mh_httpd_close(d->httpd);
	mh_loop_stop(d->loop);
}

/*
 * The first signal starts the drain, later ones are ignored.  The supervisor's
 * SIGKILL closes connections without a response.  The grace period therefore
 * bounds the drain: the service responds to all remaining requests some time
 * before its end, and the process exits before SIGKILL.
 */
static void
on_terminate(void *arg)
{
	struct mh_daemon *d = arg;

	if (d->drain_timer != NULL)
		return;
	mh_log(d->k, "daemon", "Draining.");
	d->drain_start_us = mh_now(d->k);
	d->ops->drain(d);
	mh_timer_set(d->k, &d->drain_timer, DRAIN_CHECK_US, check_drained, d);
}

static void
on_dump(void *arg)
{
	struct mh_daemon *d = arg;
	char *text = mh_state_dump(d->k);

	fprintf(stderr, "%s\n", text);
	g_free(text);
}

static void
create_link(struct mh_daemon *d, const char *secret)
{
	const struct mh_settings *s = &d->settings;
	struct mh_link_args a = { .listen = s->listen,
		.advertise = s->advertise,
		.vm = s->vm,
		.domain = s->domain,
		.role = d->ops->role,
		.pool = s->pool,
		.incarnation = d->incarnation,
		.secret = secret };
	struct mh_holdings h;
	GError *err = NULL;

	mh_settings_holdings(s, &h);
	a.max_conns = h.link_conns;
	a.max_out_bytes = h.link_bytes;
	if (!mh_link_create(d->loop, &a, &err))
		fail(d, err);
}

static void
create_services(struct mh_daemon *d, const char *secret)
{
	GError *err = NULL;

	d->client = mh_client_create(d->loop);
	create_link(d, secret);
	mh_kv_create(d->k, d->client, d->settings.kv);
	mh_vmlist_create(d->k, d->client, d->settings.vmlist);
	if (!d->ops->create(d, &err))
		fail(d, err);
	mh_admin_create(d->k);
}

int
mh_daemon_main(const struct mh_daemon_ops *ops, int argc, char **argv)
{
	struct mh_daemon d = { .ops = ops };
	GError *err = NULL;
	char *secret;

	mh_settings_read(&d.settings, ops->kind, argc, argv);
	secret = mh_secret_read(d.settings.secret_file, &err);
	if (secret == NULL)
		fail(&d, err);
	if (d.settings.check_only) {
		printf("%s: settings are good\n", ops->name);
		return 0;
	}
	d.grace_us = d.settings.grace * MH_US_PER_S;
	signal(SIGPIPE, SIG_IGN);
	mh_memory_tune();
	d.incarnation = mh_random_incarnation();
	d.k = mh_kern_create((uint32_t)mh_random_incarnation());
	mh_log_start(d.k, ops->name, d.settings.log_level);
	d.loop = mh_loop_create(d.k, &err);
	if (d.loop == NULL)
		fail(&d, err);
	create_services(&d, secret);
	mh_loop_signal(d.loop, SIGTERM, on_terminate, &d);
	mh_loop_signal(d.loop, SIGINT, on_terminate, &d);
	mh_loop_signal(d.loop, SIGUSR1, on_dump, &d);
	printf("%s: ready http=%u link=%u\n", ops->name, mh_httpd_port(d.httpd),
	    mh_link_port(d.loop));
	fflush(stdout);
	mh_loop_run(d.loop);
	mh_httpd_destroy(d.httpd);
	mh_kern_destroy(d.k);
	mh_loop_destroy(d.loop);
	mh_settings_clear(&d.settings);
	g_free(secret);
	mh_log_stop();
	return 0;
}
