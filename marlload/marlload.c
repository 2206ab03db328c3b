/**
 * DOC: marlload: open-loop load generator for entries.  Outcomes are compared
 * with the calls that the stand-ins counted.  Latency is measured from the
 * intended send time, so that delays of the generator itself are included.
 */

#include "marlload.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_EXTRA_US (2 * MH_US_PER_S)
#define AUDIT_DELAY_US (1500 * MH_US_PER_MS) /* for calls not yet counted */
#define MAX_TRIES 3 /* connection attempts per request */

static void read_args(struct load_args *a, int argc, char **argv);
static void on_arrival(void *arg);
static void send_request(struct load_request *s);
static void maybe_finish(struct load *l);

int
main(int argc, char **argv)
{
	struct load l = { .next = 0 };
	GError *err = NULL;

	read_args(&l.a, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	l.k = mh_kern_create(l.a.seed);
	l.loop = mh_loop_create(l.k, &err);
	if (l.loop == NULL) {
		fprintf(stderr, "marlload: %s\n", err->message);
		return 2;
	}
	l.client = mh_client_create(l.loop);
	l.requests = trace_create(&l.a);
	for (int i = 0; i < MH_PRIORITIES; i++)
		l.first_token[i] = mh_hist_create();
	l.between_tokens = mh_hist_create();
	l.stage_added = mh_hist_create();
	l.start_us = mh_now(l.k);
	on_arrival(&l);
	mh_loop_run(l.loop);
	report(&l);
	mh_kern_destroy(l.k);
	mh_loop_destroy(l.loop);
	g_ptr_array_unref(l.requests);
	json_decref(l.audit);
	for (int i = 0; i < MH_PRIORITIES; i++)
		mh_hist_destroy(l.first_token[i]);
	mh_hist_destroy(l.between_tokens);
	mh_hist_destroy(l.stage_added);
	return 0;
}

static G_GNUC_NORETURN void
usage(const char *why)
{
	fprintf(stderr,
	    "marlload: %s\nusage: marlload --entry URL ... --audit URL "
	    "[--scenario NAME] [--policy NAME]\n  [--rate PER_S] "
	    "[--seconds N] [--seed N] [--burst TIMES] [--series FILE]\n  "
	    "[--only PIPELINE] [--tokens N]\n",
	    why);
	exit(2);
}

static void
read_args(struct load_args *a, int argc, char **argv)
{
	struct arg_str *entry =
	    arg_strn(NULL, "entry", "<url>", 1, MAX_ENTRIES, "entries");
	struct arg_str *audit = arg_str1(NULL, "audit", "<url>", "stand-ins");
	struct arg_str *scenario = arg_str0(NULL, "scenario", "<name>", "");
	struct arg_str *policy = arg_str0(NULL, "policy", "<name>", "");
	struct arg_str *series = arg_str0(NULL, "series", "<file>", "");
	struct arg_str *only = arg_str0(NULL, "only", "<pipeline>", "");
	struct arg_int *tokens = arg_int0(NULL, "tokens", "<n>", "");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "<per s>", "");
	struct arg_dbl *burst = arg_dbl0(NULL, "burst", "<times>", "");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "<n>", "");
	struct arg_int *seed = arg_int0(NULL, "seed", "<n>", "");
	struct arg_end *end = arg_end(5);
	void *table[] = { entry, audit, scenario, policy, series, rate, burst,
		seconds, seed, only, tokens, end };

	if (arg_parse(argc, argv, table) > 0)
		usage("a flag is missing or unknown");
	memset(a, 0, sizeof(*a));
	a->nentries = (uint32_t)entry->count;
	for (uint32_t i = 0; i < a->nentries; i++)
		a->entries[i] = entry->sval[i];
	a->audit = audit->sval[0];
	a->scenario = scenario->count > 0 ? scenario->sval[0] : "steady";
	a->policy = policy->count > 0 ? policy->sval[0] : "policy";
	a->series_file = series->count > 0 ? series->sval[0] : NULL;
	a->only = only->count > 0 ? only->sval[0] : NULL;
	a->tokens = tokens->count > 0 ? (uint32_t)tokens->ival[0] : 0;
	a->rate = rate->count > 0 ? rate->dval[0] : 50;
	a->burst = burst->count > 0 ? burst->dval[0] : 1;
	a->burst_from = 1.0 / 3;
	a->burst_to = 2.0 / 3;
	a->seconds = seconds->count > 0 ? (uint32_t)seconds->ival[0] : 20;
	a->seed = seed->count > 0 ? (uint32_t)seed->ival[0] : 1;
	if (a->rate <= 0 || a->seconds < 1 || a->seconds > MAX_SECONDS)
		usage("rate must be positive, seconds 1 to 600");
	/* The strings in @a belong to the table, which is never freed. */
}

static void
on_arrival(void *arg)
{
	struct load *l = arg;
	int64_t now = mh_now(l->k) - l->start_us;

	while (l->next < l->requests->len) {
		struct load_request *s = l->requests->pdata[l->next];

		if (s->intended_us > now) {
			mh_timer_start(
			    l->k, s->intended_us - now, on_arrival, l);
			return;
		}
		l->next++;
		l->in_flight++;
		s->load = l;
		send_request(s);
	}
	maybe_finish(l);
}

static bool
on_data(void *arg, uint32_t status, const char *data, size_t len)
{
	struct load_request *s = arg;
	int64_t now = mh_now(s->load->k) - s->load->start_us;

	(void)status;
	g_string_append_len(s->response, data, (gssize)len);
	if (!s->kind->stream ||
	    g_strstr_len(data, (gssize)len, "event: token") == NULL)
		return true;
	if (s->first_token_us == 0) {
		s->first_token_us = now;
		mh_hist_add(s->load->first_token[0], now - s->intended_us);
	} else {
		mh_hist_add(s->load->between_tokens, now - s->last_chunk_us);
	}
	s->last_chunk_us = now;
	return true;
}

static void
on_done(void *arg, const struct mh_http_done *d)
{
	struct load_request *s = arg;
	struct load *l = s->load;

	/* Nothing was sent: tries the next entry, as a load balancer does. */
	if (!d->sent && ++s->tries < MAX_TRIES) {
		s->entry = (s->entry + 1) % l->a.nentries;
		send_request(s);
		return;
	}
	s->status = d->status;
	s->done_us = mh_now(l->k) - l->start_us;
	s->ended = true;
	if (d->complete)
		request_verify(s);
	l->in_flight--;
	maybe_finish(l);
}

static char *
new_key(struct load *l)
{
	uint8_t id[MH_ID_LEN];

	mh_uuid7(l->k, id);
	return mh_uuid_text(id);
}

static void
send_request(struct load_request *s)
{
	struct load *l = s->load;
	const char *headers[6] = { "Content-Type: application/json" };
	struct mh_http_call call = { .method = "POST", .headers = headers };
	char deadline[40];
	char *auth =
	    g_strconcat("Authorization: Bearer ", s->kind->api_key, NULL);
	char *url = g_strconcat(
	    l->a.entries[s->entry], "/v1/pipelines/", s->kind->pipeline, NULL);
	char *key_header = NULL;
	int n = 1;

	snprintf(deadline, sizeof(deadline), "Marl-Deadline-Ms: %" PRId64,
	    (int64_t)(s->kind->deadline_us / MH_US_PER_MS));
	headers[n++] = auth;
	headers[n++] = deadline;
	if (s->idem_key_given) {
		if (s->idem_key == NULL)
			s->idem_key = new_key(l);
		key_header =
		    g_strconcat("Idempotency-Key: ", s->idem_key, NULL);
		headers[n++] = key_header;
	}
	call.url = url;
	call.body = request_body(s);
	call.timeout_us = s->kind->deadline_us + TIMEOUT_EXTRA_US;
	call.once = s->kind->at_most_once;
	s->sent_us = mh_now(l->k) - l->start_us;
	mh_client_start(l->client, &call, on_data, on_done, s);
	g_bytes_unref(call.body);
	g_free(key_header);
	g_free(url);
	g_free(auth);
}

static void
on_audit(void *arg, const struct mh_http_done *d)
{
	struct load *l = arg;
	gsize len;
	const char *data = g_bytes_get_data(d->body, &len);

	l->audit = json_loadb(data, len, 0, NULL);
	if (l->audit == NULL) {
		fprintf(stderr,
		    "marlload: no valid audit; check that marlstand is "
		    "running\n");
		exit(1);
	}
	mh_loop_stop(l->loop);
}

static void
fetch_audit(void *arg)
{
	struct load *l = arg;
	struct mh_http_call call = { .method = "GET",
		.timeout_us = 10 * MH_US_PER_S };
	char *url = g_strconcat(l->a.audit, "/ctl/audit", NULL);

	call.url = url;
	mh_client_start(l->client, &call, NULL, on_audit, l);
	g_free(url);
}

static void
maybe_finish(struct load *l)
{
	if (l->next == l->requests->len && l->in_flight == 0)
		mh_timer_start(l->k, AUDIT_DELAY_US, fetch_audit, l);
}
