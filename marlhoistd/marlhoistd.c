/**
 * DOC: marlhoistd: the entry daemon.  Settings, services, loop.
 */

#include "marlhoistd.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define DRAIN_CHECK_US (50 * MH_US_PER_MS)
#define DRAIN_LINGER_US (1 * MH_US_PER_S) /* balancers notice /readyz */

struct daemon {
	struct mh_loop *loop;
	struct mh_kern *k;
	struct mh_httpd *httpd;
	struct mh_timer *drain;
	int64_t drain_at_us;
};

static void on_terminate(void *arg);
static void on_dump(void *arg);
static void check_drained(void *arg);

static G_GNUC_NORETURN void
fail(GError *err)
{
	fprintf(stderr, "marlhoistd: %s\n", err->message);
	exit(2);
}

static void
create_services(struct daemon *d, const struct mh_settings *s,
    struct mh_client *client, const char *secret)
{
	struct mh_link_args link = { .listen = s->listen,
		.advertise = s->advertise,
		.vm = s->vm,
		.domain = s->domain,
		.role = "entry",
		.incarnation = mh_random_incarnation(),
		.secret = secret };
	GError *err = NULL;

	if (!mh_link_create(d->loop, &link, &err))
		fail(err);
	mh_kv_create(d->k, client, s->kv);
	mh_vmlist_create(d->k, client, s->vmlist);
	mh_entry_create(d->k, s->vm, s->domain);
	mh_admin_create(d->k);
	d->httpd = http_create(d->loop, s, &err);
	if (d->httpd == NULL)
		fail(err);
}

int
main(int argc, char **argv)
{
	struct mh_settings s;
	struct daemon d = { .drain = NULL };
	struct mh_client *client;
	GError *err = NULL;
	char *secret;

	mh_settings_read(&s, MH_DAEMON_ENTRY, argc, argv);
	secret = mh_secret_read(s.secret_file, &err);
	if (secret == NULL)
		fail(err);
	if (s.check_only) {
		printf("marlhoistd: settings are good\n");
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	d.k = mh_kern_create((uint32_t)mh_random_incarnation());
	mh_log_start(d.k, "marlhoistd", s.log_level);
	d.loop = mh_loop_create(d.k, &err);
	if (d.loop == NULL)
		fail(err);
	client = mh_client_create(d.loop);
	create_services(&d, &s, client, secret);
	mh_loop_signal(d.loop, SIGTERM, on_terminate, &d);
	mh_loop_signal(d.loop, SIGINT, on_terminate, &d);
	mh_loop_signal(d.loop, SIGUSR1, on_dump, &d);
	printf("marlhoistd: ready http=%u link=%u\n", mh_httpd_port(d.httpd),
	    mh_link_port(d.loop));
	fflush(stdout);
	mh_loop_run(d.loop);
	mh_kern_destroy(d.k);
	mh_loop_destroy(d.loop);
	mh_settings_clear(&s);
	g_free(secret);
	mh_log_stop();
	return 0;
}

static void
check_drained(void *arg)
{
	struct daemon *d = arg;
	int64_t waited = mh_now(d->k) - d->drain_at_us;

	d->drain = mh_timer_start(d->k, DRAIN_CHECK_US, check_drained, d);
	if (waited < DRAIN_LINGER_US || mh_entry_open(d->k) > 0)
		return;
	mh_log(d->k, "daemon", "Drained.");
	mh_loop_stop(d->loop);
}

/* The first signal drains; a request in progress is never cut. */
static void
on_terminate(void *arg)
{
	struct daemon *d = arg;

	if (d->drain != NULL)
		return;
	mh_log(d->k, "daemon", "Draining.");
	mh_entry_drain(d->k);
	mh_httpd_stop(d->httpd);
	d->drain_at_us = mh_now(d->k);
	d->drain = mh_timer_start(d->k, DRAIN_CHECK_US, check_drained, d);
}

static void
on_dump(void *arg)
{
	struct daemon *d = arg;
	char *text = mh_state_dump(d->k);

	fprintf(stderr, "%s\n", text);
	g_free(text);
}
