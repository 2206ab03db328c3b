/*
 * A new version of the configuration takes a key and a route away, and adds a
 * route with two stages, of which the first listed needs the result of the
 * second.  The entries refuse the whole version and go on by the old one.
 */

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENTRIES 2
#define APPLY_S 2.0
#define ROUNDS 40

static struct rig_entry *entry[ENTRIES];
static int n_sent, n_old;
static double acked_s; /* when the store had the new version; 0: not yet */

static bool
on_replica(void *arg, struct rig_conn *c, struct rig_msg *m)
{
	const char *id = rig_header(m, "X-Request-Id");
	const char *org = rig_header(m, "X-Tenant");
	char extra[160];

	(void)arg;
	if (id == NULL)
		return rig_answer(c, 200, "Content-Type: application/json\r\n",
		    "{\"busy\":false,\"waiting\":0,\"freeMb\":18}");
	rig_record("replica: runs %s %s of tenant %s", id, m->start[1],
	    org == NULL ? "-" : org);
	snprintf(extra, sizeof(extra),
	    "X-Request-Id: %s\r\nX-Response-Stamp: s.%s\r\n", id, id);
	return rig_answer(c, 200, extra, "answer");
}

/* Returns the status of the answer, or 0. */
static int
ask(struct rig_entry *e, const char *path, const char *key)
{
	struct rig_conn c;
	struct rig_msg m;
	double sent_s;
	int status = 0;

	if (!rig_dial(&c, e->front, 2))
		return 0;
	n_sent++;
	sent_s = rig_now();
	rig_sendf(&c,
	    "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %08x%08x\r\n"
	    "X-Deadline-Ms: 1000\r\nAuthorization: Token %s\r\n\r\n",
	    path, getpid(), n_sent, key);
	if (rig_read(&c, &m, true))
		status = atoi(m.start[1]);
	rig_record("client: %08x%08x GET %s with %s to %s, %.1f s after the "
		   "new version: %d",
	    getpid(), n_sent, path, key, e->node,
	    acked_s == 0 ? -1 : sent_s - acked_s, status);
	rig_free(&m);
	rig_close(&c);
	return status;
}

/* A request later than APPLY_S that only the old version allows. */
static void
check(struct rig_entry *e, const char *path, const char *key, int old_status)
{
	if (ask(e, path, key) != old_status)
		return;
	n_old++;
	rig_record("  handled as only the old version allows");
}

#define HEAD                                                             \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304," \
	"\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000},"             \
	"\"services\":[{\"name\":\"gateway\",\"capacity\":6,"            \
	"\"maxConnections\":49},{\"name\":\"ingest\",\"capacity\":1,"    \
	"\"maxConnections\":280,\"pieces\":{\"capacity\":1,\"queue\":2," \
	"\"batch\":8,\"callMs\":200,\"itemMs\":21,\"headroomMb\":18,"    \
	"\"handleS\":4,\"linkMbps\":10000}}],"
#define ROUTE(name, more)                                   \
	"{\"name\":\"" name                                 \
	"\",\"host\":\"a.example\",\"pathPrefix\":\"/" name \
	"/\",\"service\":\"gateway\",\"kind\":\"safe\","    \
	"\"timeoutMs\":1000,\"sloMs\":100,\"priority\":2,"  \
	"\"maxAttempts\":2" more "}"
#define STAGE(after) \
	"{\"service\":\"ingest\",\"after\":[" after "],\"bytes\":8000}"

static const char old_conf[] = "{\"version\":3," HEAD "\"routes\":[" ROUTE(
    "kept", "") "," ROUTE("dropped",
    "") "],"
	"\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"stays\",\"revoked\"]}]}";
/* The stage that needs the other's result is listed first, or last. */
static const char new_conf[] =
    "{\"version\":5," HEAD
    "\"routes\":[" ROUTE("kept", "") "," ROUTE("added", "") "," ROUTE("staged",
	",\"stages\":[" STAGE("1") "," STAGE(
	    "") "]") "],"
		     "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"stays\"]}]}";
static const char plain_conf[] = "{\"version\":5," HEAD "\"routes\":[" ROUTE(
    "kept", "") "," ROUTE("added", "") "," ROUTE("staged",
    ",\"stages\":[" STAGE("") "," STAGE(
	"0") "]") "],"
		  "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"stays\"]}]}";

int
main(void)
{
	struct rig_server *s;
	char why[160];

	rig_start("CONFIG");
	rig_put("op/config", old_conf);
	for (int i = 0; i < 2; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-gate%d", i);
		s = rig_serve(rig_ip(1 + i), on_replica, NULL);
		rig_row(id, "gateway", s->addr, "a", 6, "ready");
	}
	s = rig_serve(rig_ip(3), on_replica, NULL);
	rig_row("i-stage", "ingest", s->addr, "a", 1, "ready");
	for (int i = 0; i < ENTRIES; i++)
		entry[i] = rig_entry(i, i == 0 ? "a" : "b");
	for (int i = 0; i < ENTRIES; i++)
		rig_wait_ready(entry[i]);
	rig_sleep(3);
	for (int i = 0; i < ENTRIES; i++) {
		if (ask(entry[i], "/kept/x", "stays") != 200 ||
		    ask(entry[i], "/dropped/x", "stays") != 200 ||
		    ask(entry[i], "/kept/x", "revoked") != 200 ||
		    ask(entry[i], "/added/x", "stays") != 404)
			rig_end(2, "the old version is not in force");
	}
	rig_put("op/config", rig_trouble() ? new_conf : plain_conf);
	acked_s = rig_now();
	rig_record("store: has version 5");
	rig_sleep(APPLY_S + 0.5);
	n_sent = 0;
	for (int i = 0; i < ROUNDS; i++) {
		struct rig_entry *e = entry[i % ENTRIES];

		if (ask(e, "/kept/x", "stays") != 200)
			rig_record("  not served");
		check(e, "/dropped/x", "stays", 200);
		check(e, "/kept/x", "revoked", 200);
		check(e, "/added/x", "stays", 404);
		rig_sleep(0.2);
	}
	snprintf(why, sizeof(why),
	    "%d requests from %.1f s after the new version on, %d handled as "
	    "only the old one allows",
	    n_sent, APPLY_S + 0.5, n_old);
	rig_end(n_old > 0 ? 1 : 0, why);
}
