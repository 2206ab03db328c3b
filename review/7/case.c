/*
 * The store is down for 4.5 s.  Of four entries two read it for all; one of
 * the others makes no call when it is back, as it needs none.  Later the two
 * are restarted in turn, so that this one reads, and a replica leaves in the
 * same moment.  It goes on sending to that replica for longer than it may.
 */

#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ENTRIES 4
#define DRAIN_S 2.0
#define STABLE_S 3.0
#define DOWN_S 4.5
#define GAP_S 1.0 /* between two restarts */
#define CLIENTS 12

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct rig_entry *entry[ENTRIES];
static struct rig_entry *watched; /* whose next reading is awaited */
static struct rig_entry *loaded; /* that clients use */
static int watches[ENTRIES]; /* of rows, since they were counted */
static int calls[ENTRIES]; /* likewise */
static int refused[ENTRIES]; /* calls, while the store is down */
static bool down; /* the store */
static double gone_s; /* when the store had taken the row away; 0: not yet */
static double last_s; /* last request that reached the replica that left */
static int n_sent, n_served, n_late;
static bool over;

static int
number_of(const struct rig_entry *e)
{
	int i = 0;

	while (i < ENTRIES - 1 && entry[i] != e)
		i++;
	return i;
}

/* Whether the answer comes at once, and shows that the store is back. */
static bool
tells_of_store(const char *target)
{
	return strstr(target, "servers/") != NULL ||
	    strstr(target, "kv-range?pathPrefix=op/") != NULL;
}

static int
on_store_call(struct rig_entry *e, const struct rig_msg *m)
{
	int status = 200;
	bool leaves = false;

	pthread_mutex_lock(&lock);
	if (strncmp(m->start[1], "/kv-watch?pathPrefix=servers/", 29) == 0)
		watches[number_of(e)]++;
	calls[number_of(e)]++;
	if (down) {
		status = 503;
		refused[number_of(e)]++;
	}
	leaves = !down && e == watched && tells_of_store(m->start[1]);
	if (leaves)
		watched = NULL;
	pthread_mutex_unlock(&lock);
	if (leaves) {
		rig_remove("servers/i-leaves");
		gone_s = rig_now();
		rig_record("store: i-leaves is gone; then %s of %s",
		    m->start[1], e->node);
	}
	return status;
}

static bool
on_replica(void *arg, struct rig_conn *c, struct rig_msg *m)
{
	const char *name = arg, *id = rig_header(m, "X-Request-Id");
	double since = gone_s == 0 ? 0 : rig_now() - gone_s;
	char extra[160];

	if (id == NULL)
		return rig_answer(c, 200, "", "{}");
	if (strcmp(name, "i-leaves") == 0 && gone_s != 0) {
		pthread_mutex_lock(&lock);
		last_s = since;
		n_late += since > DRAIN_S;
		pthread_mutex_unlock(&lock);
		rig_record("%s runs %s, %.3f s after it was gone%s", name, id,
		    since, since > DRAIN_S ? ": LATE" : "");
	}
	rig_sleep(0.015);
	snprintf(extra, sizeof(extra),
	    "X-Request-Id: %s\r\nX-Response-Stamp: s.%s\r\n"
	    "X-Instance-Load: 1,0,6\r\nKeep-Alive: timeout=30\r\n",
	    id, id);
	return rig_answer(c, 200, extra, "answer");
}

static void *
run_client(void *arg)
{
	struct rig_conn c = { .fd = -1 };
	struct rig_msg m;
	int n = *(int *)arg;

	for (int i = 0; !over; i++) {
		if (c.fd < 0 && !rig_dial(&c, loaded->front, 2)) {
			rig_sleep(0.1);
			continue;
		}
		rig_sendf(&c,
		    "GET /a/x HTTP/1.1\r\nHost: a.example\r\n"
		    "X-Request-Id: %08x%08x\r\nX-Deadline-Ms: 1000\r\n\r\n",
		    n, i);
		pthread_mutex_lock(&lock);
		n_sent++;
		pthread_mutex_unlock(&lock);
		if (!rig_read(&c, &m, true)) {
			rig_close(&c);
			c.fd = -1;
			continue;
		}
		n_served += strcmp(m.start[1], "200") == 0;
		rig_free(&m);
		rig_sleep(0.045);
	}
	rig_close(&c);
	return NULL;
}

/* Counts the calls of each entry for some seconds. */
static void
count_calls(double s)
{
	pthread_mutex_lock(&lock);
	memset(watches, 0, sizeof(watches));
	memset(calls, 0, sizeof(calls));
	pthread_mutex_unlock(&lock);
	rig_sleep(s);
}

static void
take_down(void)
{
	rig_record("store: down");
	memset(refused, 0, sizeof(refused));
	down = true;
	rig_sleep(DOWN_S);
	down = false;
	rig_record("store: up");
}

/*
 * Finds the two entries that read the store for all, and one that made no call
 * since it was up, but with the disruption has found it down.
 */
static struct rig_entry *
find_entries(struct rig_entry *reader[2])
{
	struct rig_entry *idle = NULL;
	int n = 0;

	for (int i = 0; i < ENTRIES; i++) {
		rig_record("%s: %d calls refused, then %d calls, %d of them "
			   "watches of the rows",
		    entry[i]->node, refused[i], calls[i], watches[i]);
		if (watches[i] > 4 && n < 2)
			reader[n++] = entry[i];
		if (calls[i] == 0 && (refused[i] > 1 || !rig_trouble()))
			idle = entry[i];
	}
	return n == 2 ? idle : NULL;
}

static void *
restart(void *arg)
{
	rig_restart(arg);
	return NULL;
}

static const char conf[] =
    "{\"version\":3,\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,"
    "\"idleTimeoutMs\":15000},"
    "\"services\":[{\"name\":\"gateway\",\"capacity\":6,"
    "\"maxConnections\":49}],"
    "\"routes\":[{\"name\":\"a\",\"host\":\"a.example\","
    "\"pathPrefix\":\"/a/\",\"service\":\"gateway\",\"kind\":\"safe\","
    "\"timeoutMs\":1000,\"sloMs\":100,\"priority\":2,"
    "\"maxAttempts\":2}]}";

int
main(void)
{
	static const char *const ids[] = { "i-leaves", "i-stays1", "i-stays2",
		"i-stays3", "i-stays4", "i-stays5", "i-stays6" };
	static int numbers[CLIENTS];
	struct rig_entry *reader[2];
	char why[200];

	rig_start("DRAIN");
	rig_store_hook = on_store_call;
	rig_put("op/config", conf);
	for (size_t i = 0; i < sizeof(ids) / sizeof(ids[0]); i++) {
		struct rig_server *s = rig_serve(
		    rig_ip(1 + (int)i), on_replica, (void *)(uintptr_t)ids[i]);

		rig_row(ids[i], "gateway", s->addr, "a", 6, "ready");
	}
	for (int i = 0; i < ENTRIES; i++)
		entry[i] = rig_entry(i, i % 2 == 0 ? "a" : "b");
	for (int i = 0; i < ENTRIES; i++)
		rig_wait_ready(entry[i]);
	rig_sleep(5);
	for (int tries = 0; loaded == NULL && tries < 6; tries++) {
		if (rig_trouble())
			take_down();
		count_calls(STABLE_S + 4);
		loaded = find_entries(reader);
	}
	if (loaded == NULL)
		rig_end(2, "no entry left all calls to the others");
	pthread_mutex_lock(&lock);
	watched = loaded;
	pthread_mutex_unlock(&lock);
	rig_record("clients use %s; its next reading is awaited", loaded->node);
	for (int i = 0; i < CLIENTS; i++) {
		numbers[i] = i + 1;
		rig_thread(run_client, &numbers[i]);
	}
	rig_sleep(1);
	for (int i = 0; i < 2; i++) {
		rig_signal(reader[i], SIGTERM);
		rig_thread(restart, reader[i]);
		rig_sleep(GAP_S);
	}
	for (double from = rig_now(); gone_s == 0 && rig_now() < from + 15;)
		rig_sleep(0.01);
	if (gone_s == 0)
		rig_end(2, "it made no call");
	rig_sleep(6);
	over = true;
	snprintf(why, sizeof(why),
	    "%d requests, %d served; the last reached the replica %.3f s "
	    "after it was gone, %d later than %.1f s",
	    n_sent, n_served, last_s, n_late, DRAIN_S);
	if (n_served < n_sent / 2)
		rig_end(2, why);
	rig_end(n_late > 0 ? 1 : 0, why);
}
