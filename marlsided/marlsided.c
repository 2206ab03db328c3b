/**
 * DOC: marlsided: the side process, the only way into its endpoint.
 */

#include "marlhoist.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_CHECK_US (50 * MH_US_PER_MS)
#define DRAIN_LINGER_US (500 * MH_US_PER_MS)
#define DRAIN_MAX_US (30 * MH_US_PER_S) /* partitions without a KV service */

struct daemon {
	struct mh_loop *loop;
	struct mh_kern *k;
	struct mh_httpd *httpd;
	struct mh_timer *drain;
	int64_t drain_at_us;
};

static void on_terminate(void *arg);
static void on_dump(void *arg);
static void on_http(void *arg, struct mh_http_req *r);

static G_GNUC_NORETURN void
fail(GError *err)
{
	fprintf(stderr, "marlsided: %s\n", err->message);
	exit(2);
}

static void
create_services(struct daemon *d, const struct mh_settings *s,
    struct mh_client *client, const char *secret)
{
	uint64_t incarnation = mh_random_incarnation();
	struct mh_link_args link = { .listen = s->listen,
		.advertise = s->advertise,
		.vm = s->vm,
		.domain = s->domain,
		.role = "side",
		.pool = s->pool,
		.incarnation = incarnation,
		.secret = secret };
	struct mh_side_args side = { .vm = s->vm,
		.domain = s->domain,
		.pool = s->pool,
		.incarnation = incarnation,
		.slots = (uint32_t)s->slots,
		.queue_limit = (uint32_t)s->queue_limit };
	struct mh_httpd_args http = {
		.listen = s->http, .on_request = on_http, .arg = d
	};
	GError *err = NULL;

	if (!mh_link_create(d->loop, &link, &err))
		fail(err);
	mh_kv_create(d->k, client, s->kv);
	mh_vmlist_create(d->k, client, s->vmlist);
	mh_endpoint_create(d->k, client, s->endpoint);
	mh_side_create(d->k, &side);
	mh_admin_create(d->k);
	d->httpd = mh_httpd_create(d->loop, &http, &err);
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

	mh_settings_read(&s, MH_DAEMON_SIDE, argc, argv);
	secret = mh_secret_read(s.secret_file, &err);
	if (secret == NULL)
		fail(err);
	if (s.check_only) {
		printf("marlsided: settings are good\n");
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	d.k = mh_kern_create((uint32_t)mh_random_incarnation());
	mh_log_start(d.k, "marlsided", s.log_level);
	d.loop = mh_loop_create(d.k, &err);
	if (d.loop == NULL)
		fail(err);
	client = mh_client_create(d.loop);
	create_services(&d, &s, client, secret);
	mh_loop_signal(d.loop, SIGTERM, on_terminate, &d);
	mh_loop_signal(d.loop, SIGINT, on_terminate, &d);
	mh_loop_signal(d.loop, SIGUSR1, on_dump, &d);
	printf("marlsided: ready http=%u link=%u\n", mh_httpd_port(d.httpd),
	    mh_link_port(d.loop));
	fflush(stdout);
	mh_loop_run(d.loop);
	mh_httpd_destroy(d.httpd);
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
	if (waited < DRAIN_LINGER_US)
		return;
	if (!mh_side_idle(d->k) && waited < DRAIN_MAX_US)
		return;
	mh_log(d->k, "daemon", "Drained.");
	mh_loop_stop(d->loop);
}

static void
on_terminate(void *arg)
{
	struct daemon *d = arg;

	if (d->drain != NULL)
		return;
	mh_log(d->k, "daemon", "Draining.");
	mh_side_drain(d->k);
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

static void
on_http(void *arg, struct mh_http_req *r)
{
	static const char text[] = "no such path: use /livez or /metrics\n";
	struct daemon *d = arg;
	GBytes *b;

	if (mh_admin_serve(d->k, r))
		return;
	b = g_bytes_new_static(text, strlen(text));
	mh_req_reply(r, 404, "text/plain", b);
	g_bytes_unref(b);
}
