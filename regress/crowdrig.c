/**
 * DOC: An entry process with a store and one endpoint, for tests with many
 * callers.
 */

#include "crowdrig.h"

#include "soak.h"
#include "tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define GIVE_UP_MS 20000
#define LOOK_US 10000
#define PEER_TICK_US (10 * MH_US_PER_MS)
#define ANSWER_BYTES (4U << 20)
#define EVENT_BYTES 65536
#define EVENT_US MH_US_PER_MS
#define ANY_FDS 8192
#define STARTED_MS 1700000000000

/* the store and the endpoints, one of each service */

enum { DESK, HOLD, POOL, WORK, ENDPOINTS };

static const char *const services[] = { "desk", "hold", "pool", "work" };

struct peer {
	struct mh_kern *k;
	struct mh_loop *loop;
	struct store *store;
	struct mh_hserve *endpoints[ENDPOINTS];
	GHashTable *streams; /* struct stream by request */
	GThread *thread;
	struct mh_timer *tick;
	gint stop;
	gint runs;
	char *big; /* body of ANSWER_BYTES */
	char ip[32];
};

struct stream {
	struct peer *p;
	struct mh_hreq *r;
	uint64_t event;
	struct mh_timer *timer;
};

static void
free_stream(void *arg)
{
	struct stream *s = arg;

	mh_timer_stop(s->p->k, &s->timer);
	g_free(s);
}

static void
on_event(void *arg)
{
	struct stream *s = arg;
	char id[64];

	g_snprintf(id, sizeof(id), "id: %" PRIu64 "\ndata: ", s->event++);
	mh_hreq_write(s->r, id, strlen(id));
	mh_hreq_write(s->r, s->p->big, EVENT_BYTES);
	mh_hreq_write(s->r, "\n\n", 2);
	mh_timer_set(s->p->k, &s->timer, EVENT_US, on_event, s);
}

static void
start_stream(struct peer *p, struct mh_hreq *r, struct mh_headers *h)
{
	struct stream *s = g_new0(struct stream, 1);

	mh_headers_add(h, "Content-Type", "text/event-stream");
	mh_hreq_head(r, 200, h, -1);
	s->p = p;
	s->r = r;
	g_hash_table_insert(p->streams, r, s);
	on_event(s);
}

static void
respond(struct mh_hreq *r, struct mh_headers *h, const char *body, size_t len)
{
	mh_hreq_head(r, 200, h, (int64_t)len);
	mh_hreq_write(r, body, len);
	mh_hreq_end(r);
}

static bool
is_for(const struct mh_hreq *r, const char *prefix)
{
	return g_str_has_prefix(mh_hreq_target(r), prefix);
}

static void
on_endpoint_request(void *arg, struct mh_hreq *r)
{
	struct peer *p = arg;
	const char *id = mh_headers_get(mh_hreq_headers(r), "X-Request-Id");
	struct mh_headers *h = mh_headers_create();

	if (id != NULL)
		mh_headers_add(h, "X-Request-Id", id);
	mh_headers_add(h, "X-Response-Stamp", "s1");
	if (is_for(r, "/once/"))
		g_atomic_int_inc(&p->runs);
	if (is_for(r, "/desk/big/"))
		respond(r, h, p->big, ANSWER_BYTES);
	else if (is_for(r, "/pool/"))
		start_stream(p, r, h);
	else if (!is_for(r, "/hold/") && !is_for(r, "/stage-run"))
		respond(r, h, "ok", 2);
	mh_headers_destroy(h);
}

static void
on_endpoint_disconnect(void *arg, struct mh_hreq *r)
{
	g_hash_table_remove(((struct peer *)arg)->streams, r);
}

static void
on_tick(void *arg)
{
	struct peer *p = arg;

	if (g_atomic_int_get(&p->stop) != 0)
		mh_loop_stop(p->loop);
	mh_timer_set(p->k, &p->tick, PEER_TICK_US, on_tick, p);
}

static void *
run_peer(void *arg)
{
	mh_loop_run(((struct peer *)arg)->loop);
	return NULL;
}

#define ROUTE(name, kind, service, more)                     \
	"{\"name\":\"" name "\",\"host\":\"a.example\","     \
	"\"pathPrefix\":\"/" name "/\",\"kind\":\"" kind     \
	"\",\"service\":\"" service "\",\"timeoutMs\":9000," \
	"\"sloMs\":8000,\"maxAttempts\":1,\"gapAimMs\":1000" more "}"
#define STAGE "{\"service\":\"work\",\"after\":[],\"bytes\":1000}"

static char *
conf_text(uint32_t body_bytes)
{
	return g_strdup_printf(
	    "{\"version\":10,\"routes\":[" ROUTE("desk", "safe", "desk",
		"") "," ROUTE("once", "unsafe", "desk", "") "," ROUTE("hold",
		"safe", "hold", "") "," ROUTE("pool", "streaming", "pool",
		"") "," ROUTE("staged", "streaming", "pool",
		",\"stages\":[" STAGE "," STAGE "," STAGE "," STAGE
		"]") "," ROUTE("mad", "safe", "mad", "") "," ROUTE("madpool",
		"streaming", "madpool",
		"") "," ROUTE("madstaged", "streaming", "pool",
		",\"stages\":[{\"service\":\"madwork\",\"after\":[],"
		"\"bytes\":1000}]") "],"
				    "\"services\":[{\"name\":\"desk\","
				    "\"maxConnections\":400},"
				    "{\"name\":\"hold\",\"maxConnections\":400}"
				    ","
				    "{\"name\":\"pool\",\"maxConnections\":400}"
				    ","
				    "{\"name\":\"mad\",\"maxConnections\":400},"
				    "{\"name\":\"madpool\",\"maxConnections\":"
				    "400},"
				    "{\"name\":\"madwork\",\"maxConnections\":"
				    "200,\"pieces\":{"
				    "\"capacity\":4,\"queue\":200,\"batch\":8,"
				    "\"callMs\":1,"
				    "\"itemMs\":0.01,\"headroomMb\":100000,"
				    "\"handleS\":4}},"
				    "{\"name\":\"work\",\"maxConnections\":200,"
				    "\"pieces\":{"
				    "\"capacity\":1,\"queue\":200,\"batch\":8,"
				    "\"callMs\":1,"
				    "\"itemMs\":0.01,\"headroomMb\":100000,"
				    "\"handleS\":4}}],"
				    "\"limits\":{\"maxHeaderBytes\":16384,"
				    "\"maxBodyBytes\":%u,"
				    "\"headerTimeoutMs\":9000,"
				    "\"idleTimeoutMs\":60000},"
				    "\"tenants\":[{\"name\":\"org-a\","
				    "\"apiKeys\":["
				    "\"" CROWD_KEY
				    "\"]},{\"name\":\"org-b\",\"apiKeys\":["
				    "\"" ORDINARY_KEY "\"]}]}",
	    body_bytes);
}

static void
put_row(struct peer *p, int service)
{
	char *key = g_strdup_printf("servers/i-%s-1", services[service]);
	char *text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"z0\","
	    "\"version\":\"v1\",\"capacity\":8,\"state\":\"ready\","
	    "\"warmupLeftMs\":0,\"sequence\":1,\"born\":%" PRId64 "}",
	    services[service], p->ip, mh_hserve_port(p->endpoints[service]),
	    STARTED_MS);

	store_put(p->store, key, text);
	g_free(text);
	g_free(key);
}

static void
put_more(struct peer *p, const struct crowd_endpoint *more, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		char *key = g_strdup_printf("servers/i-more-%u", i);
		char *text = g_strdup_printf(
		    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z0\","
		    "\"version\":\"v1\",\"capacity\":8,\"state\":\"ready\","
		    "\"warmupLeftMs\":0,\"sequence\":1,\"born\":%" PRId64 "}",
		    more[i].service, more[i].addr, STARTED_MS);

		store_put(p->store, key, text);
		g_free(text);
		g_free(key);
	}
}

static struct peer *
peer_start(const char *ip, uint32_t body_bytes,
    const struct crowd_endpoint *more, uint32_t n)
{
	struct peer *p = g_new0(struct peer, 1);
	char listen[48];
	struct mh_hserve_args a = { .listen = listen,
		.limits = { 65536, 8U << 20, 60 * MH_US_PER_S,
		    60 * MH_US_PER_S },
		.on_request = on_endpoint_request,
		.on_disconnect = on_endpoint_disconnect,
		.arg = p };
	char *conf = conf_text(body_bytes);

	g_strlcpy(p->ip, ip, sizeof(p->ip));
	g_snprintf(listen, sizeof(listen), "%s:0", ip);
	p->k = mh_kern_create(1);
	p->loop = mh_loop_create(p->k, NULL);
	p->streams = g_hash_table_new_full(NULL, NULL, NULL, free_stream);
	p->big = g_malloc(ANSWER_BYTES);
	memset(p->big, 'x', ANSWER_BYTES);
	p->store = store_create(p->loop, ip);
	store_put(p->store, "op/config", conf);
	for (int i = 0; i < ENDPOINTS; i++) {
		p->endpoints[i] = mh_hserve_create(p->loop, &a, NULL);
		put_row(p, i);
	}
	put_more(p, more, n);
	on_tick(p);
	p->thread = g_thread_new("peer", run_peer, p);
	g_free(conf);
	return p;
}

static void
peer_stop(struct peer *p)
{
	g_atomic_int_set(&p->stop, 1);
	g_thread_join(p->thread);
	mh_timer_stop(p->k, &p->tick);
	g_hash_table_destroy(p->streams);
	for (int i = 0; i < ENDPOINTS; i++)
		mh_hserve_destroy(p->endpoints[i]);
	store_destroy(p->store);
	mh_loop_destroy(p->loop);
	mh_kern_destroy(p->k);
	g_free(p->big);
	g_free(p);
}

/* memory and descriptors of a process */

struct watch {
	pid_t pid;
	/* in network order */
	uint32_t ip;
	uint32_t peer_ip; /* the process's calls go there */
	struct usage most;
	GThread *thread;
	gint stop;
};

static uint64_t
resident_bytes(pid_t pid)
{
	char path[64], *text = NULL;
	unsigned long pages = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		(void)sscanf(text, "%*u %lu", &pages);
	g_free(text);
	return (uint64_t)pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

static uint32_t
count_fds(pid_t pid)
{
	char path[64];
	uint32_t n = 0;
	GDir *d;

	g_snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	d = g_dir_open(path, 0, NULL);
	while (d != NULL && g_dir_read_name(d) != NULL)
		n++;
	if (d != NULL)
		g_dir_close(d);
	return n;
}

/* Bytes that the kernel holds for the process's sockets, in both directions. */
static uint64_t
queued_bytes(const struct watch *w)
{
	char *text = NULL, line_fmt[] = " %*u: %x:%x %x:%x %*x %x:%x";
	uint64_t sum = 0;

	if (!g_file_get_contents("/proc/net/tcp", &text, NULL, NULL))
		return 0;
	for (const char *at = strchr(text, '\n'); at != NULL && at[1] != '\0';
	     at = strchr(at + 1, '\n')) {
		unsigned local, local_port, remote, remote_port, tx, rx;

		if (sscanf(at + 1, line_fmt, &local, &local_port, &remote,
			&remote_port, &tx, &rx) != 6)
			continue;
		if (local == w->ip || remote == w->peer_ip)
			sum += tx + rx;
	}
	g_free(text);
	return sum;
}

static void *
run_watch(void *arg)
{
	struct watch *w = arg;

	while (g_atomic_int_get(&w->stop) == 0) {
		uint64_t bytes = resident_bytes(w->pid) + queued_bytes(w);
		uint32_t fds = count_fds(w->pid);

		w->most.bytes = MAX(w->most.bytes, bytes);
		w->most.fds = MAX(w->most.fds, fds);
		g_usleep(LOOK_US);
	}
	return NULL;
}

struct watch *
usage_start(pid_t pid, const char *ip, const char *peer_ip)
{
	struct watch *w = g_new0(struct watch, 1);

	w->pid = pid;
	w->ip = inet_addr(ip);
	w->peer_ip = inet_addr(peer_ip);
	w->thread = g_thread_new("watch", run_watch, w);
	return w;
}

struct usage
usage_stop(struct watch *w)
{
	struct usage most;

	g_atomic_int_set(&w->stop, 1);
	g_thread_join(w->thread);
	most = w->most;
	g_free(w);
	return most;
}

/* the entry */

/* A sanitizer's own memory would hide what the program uses. */
char *
crowd_program(const char *name)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *dir = g_path_get_dirname(self);
	char *path = g_build_filename(dir, "..", "debug", name, NULL);

	g_free(dir);
	g_free(self);
	return path;
}

bool
crowd_is_alive(pid_t pid)
{
	int status;

	return waitpid(pid, &status, WNOHANG) == 0;
}

void
crowd_rig_write(struct crowd_rig *r, const struct crowd_settings *s)
{
	char *text = g_strdup_printf(
	    "node: \"entry-1\"\nzone: \"z0\"\nip: \"%s\"\n"
	    "listen:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n"
	    "internalPorts:\n  - %d\n  - %d\nbootstrap: true\n"
	    "provider:\n  address: \"%s:%u\"\n"
	    "limits:\n  cpuShare: 0.2\n  memoryMb: %u\n  maxFds: %u\n"
	    "bounds:\n  drainMs: 2000\n  graceS: 8\n  configApplyMs: 2000\n"
	    "  retryBudgetRatio: 0.2\n  retryBudgetSlack: 50\n"
	    "  budgetWindowS: 10\n",
	    r->ip, r->ip, CROWD_FRONT_PORT, r->ip, CROWD_READY_PORT,
	    CROWD_FRAME_PORT, CROWD_FRAME_PORT + 15, r->peer->ip,
	    store_port(r->peer->store), s->memory_mb, s->max_fds);

	r->set = *s;
	CU_ASSERT_TRUE(g_file_set_contents(r->settings, text, -1, NULL));
	g_free(text);
}

static void
start_entry(struct crowd_rig *r)
{
	char *program = crowd_program("marlgated");
	char *log = g_build_filename(r->dir, "entry.log", NULL);
	rlim_t most = r->set.any_fds ? ANY_FDS : r->set.max_fds;
	struct rlimit fds = { most, most };

	fflush(NULL);
	r->pid = fork();
	if (r->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_TRUNC, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		for (int i = 3; i < 256; i++)
			close(i);
		setrlimit(RLIMIT_NOFILE, &fds);
		execl(program, "marlgated", "--config", r->settings,
		    (char *)NULL);
		_exit(127);
	}
	g_free(log);
	g_free(program);
}

static void
wait_ready(struct crowd_rig *r)
{
	static const char text[] =
	    "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
	bool ready = false;

	for (int i = 0; i < GIVE_UP_MS / 50 && !ready; i++) {
		char *answer =
		    crowd_ask(r->ip, CROWD_READY_PORT, text, NULL, 0);

		ready = g_str_has_prefix(answer, "HTTP/1.1 200 ");
		g_free(answer);
		if (!ready)
			g_usleep(50000);
	}
	CU_ASSERT_TRUE(ready);
}

void
crowd_rig_restart_watch(struct crowd_rig *r)
{
	if (r->watch != NULL)
		(void)usage_stop(r->watch);
	r->watch = usage_start(r->pid, r->ip, r->peer->ip);
}

struct crowd_rig *
crowd_rig_start(const struct crowd_settings *s)
{
	return crowd_rig_start_with(s, NULL, 0);
}

struct crowd_rig *
crowd_rig_start_with(const struct crowd_settings *s,
    const struct crowd_endpoint *more, uint32_t n)
{
	static uint32_t count;
	struct crowd_rig *r = g_new0(struct crowd_rig, 1);
	char peer_ip[32];

	/* Addresses of its own, as others may run such tests too. */
	g_snprintf(r->ip, sizeof(r->ip), "127.%u.%u.%u",
	    16 + (unsigned)getpid() % 200, 1 + (unsigned)getpid() / 200 % 250,
	    1 + count % 120);
	g_snprintf(peer_ip, sizeof(peer_ip), "127.%u.%u.%u",
	    16 + (unsigned)getpid() % 200, 1 + (unsigned)getpid() / 200 % 250,
	    121 + count++ % 120);
	r->dir = g_dir_make_tmp("crowd-XXXXXX", NULL);
	r->settings = g_build_filename(r->dir, "entry.yaml", NULL);
	r->peer = peer_start(peer_ip, s->body_bytes, more, n);
	crowd_rig_write(r, s);
	start_entry(r);
	wait_ready(r);
	CU_ASSERT_TRUE(crowd_rig_ordinary(r, ORDINARY_KEY));
	crowd_rig_restart_watch(r);
	return r;
}

void
crowd_rig_check(struct crowd_rig *r, const char *what)
{
	struct usage u = usage_stop(r->watch);
	uint64_t memory = (uint64_t)r->set.memory_mb << 20;
	bool ok = crowd_is_alive(r->pid) && u.bytes <= memory &&
	    u.fds <= r->set.max_fds;

	r->watch = NULL;
	CU_ASSERT_TRUE(crowd_is_alive(r->pid));
	CU_ASSERT(u.bytes <= memory);
	CU_ASSERT(u.fds <= r->set.max_fds);
	printf("\n    %s: %" PRIu64 " of %u MB, %u of %u descriptors%s\n", what,
	    u.bytes >> 20, r->set.memory_mb, u.fds, r->set.max_fds,
	    ok ? "" : " FAILED");
}

void
crowd_rig_stop(struct crowd_rig *r)
{
	char *log = g_build_filename(r->dir, "entry.log", NULL);

	if (r->watch != NULL)
		(void)usage_stop(r->watch);
	kill(r->pid, SIGKILL);
	waitpid(r->pid, NULL, 0);
	peer_stop(r->peer);
	unlink(r->settings);
	unlink(log);
	rmdir(r->dir);
	g_free(log);
	g_free(r->settings);
	g_free(r->dir);
	g_free(r);
}

void
crowd_rig_wait_log(struct crowd_rig *r, const char *text)
{
	char *path = g_build_filename(r->dir, "entry.log", NULL);
	bool found = false;

	for (int i = 0; i < GIVE_UP_MS / 50 && !found; i++) {
		char *log = NULL;

		g_usleep(50000);
		if (g_file_get_contents(path, &log, NULL, NULL))
			found = strstr(log, text) != NULL;
		g_free(log);
	}
	CU_ASSERT_TRUE(found);
	g_free(path);
}

bool
crowd_rig_ordinary(struct crowd_rig *r, const char *key)
{
	static uint32_t count;
	int64_t until = g_get_monotonic_time() + GIVE_UP_MS * MH_US_PER_MS;
	bool ok = false;

	while (!ok && g_get_monotonic_time() < until) {
		char *text = g_strdup_printf("POST /desk/ordinary/ HTTP/1.1\r\n"
					     "Host: a.example\r\n"
					     "X-Request-Id: ordinary-%u\r\n"
					     "X-Deadline-Ms: 8000\r\n"
					     "Authorization: Token %s\r\n"
					     "Connection: close\r\n"
					     "Content-Length: 4\r\n\r\n",
		    ++count, key);
		char *answer =
		    crowd_ask(r->ip, CROWD_FRONT_PORT, text, "body", 4);

		ok = g_str_has_prefix(answer, "HTTP/1.1 200 ") &&
		    g_str_has_suffix(answer, "\r\n\r\nok");
		g_free(answer);
		g_free(text);
		if (!ok)
			g_usleep(100000);
	}
	return ok;
}

uint32_t
crowd_rig_runs(const struct crowd_rig *r)
{
	return (uint32_t)g_atomic_int_get(&r->peer->runs);
}

uint64_t
crowd_rig_metric(struct crowd_rig *r, const char *name)
{
	static const char text[] =
	    "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
	char *answer = crowd_ask(r->ip, CROWD_METRICS_PORT, text, NULL, 0);
	char *line = g_strdup_printf("\nmarlhoist_%s ", name);
	const char *at = strstr(answer, line);
	uint64_t n = 0;

	if (at != NULL)
		n = g_ascii_strtoull(at + strlen(line), NULL, 10);
	g_free(line);
	g_free(answer);
	return n;
}
