#define _GNU_SOURCE

#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_ENTRIES 16
#define MAX_HISTORY 4096

static FILE *record;
static double start_s;
static char dir[128];
static char ips[64][24];
static struct rig_entry *entries[MAX_ENTRIES];
static int n_entries;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
clock_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double
rig_now(void)
{
	return clock_s() - start_s;
}

void
rig_sleep(double s)
{
	struct timespec t = { (time_t)s, (long)((s - (double)(time_t)s) * 1e9) };

	while (s > 0 && nanosleep(&t, &t) < 0 && errno == EINTR)
		continue;
}

bool
rig_trouble(void)
{
	const char *v = getenv("TROUBLE");

	return v == NULL || strcmp(v, "0") != 0;
}

void
rig_record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", rig_now());
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void
rig_end(int status, const char *why)
{
	rig_record("end: %s, exit %d", why, status);
	printf("%s: exit %d\n", why, status);
	fflush(stdout);
	for (int i = 0; i < n_entries; i++) {
		if (entries[i]->pid > 0) {
			kill(entries[i]->pid, SIGCONT);
			kill(entries[i]->pid, SIGKILL);
			waitpid(entries[i]->pid, NULL, 0);
		}
		if (getenv("KEEP") == NULL) {
			unlink(entries[i]->file);
			unlink(entries[i]->log);
		}
	}
	if (getenv("KEEP") == NULL)
		rmdir(dir);
	else
		printf("logs in %s\n", dir);
	fflush(stdout);
	_exit(status);
}

const char *
rig_ip(int number)
{
	return ips[number];
}

static void
choose_ips(void)
{
	unsigned seed = (unsigned)getpid();
	int b = 16 + (int)(seed % 200), c = (int)(seed / 200 % 250);

	for (int i = 0; i < 64; i++)
		snprintf(ips[i], sizeof(ips[i]), "127.%d.%d.%d", b, c, i + 1);
}

/* HTTP */

static bool
fill(struct rig_conn *c)
{
	ssize_t n;

	if (c->cap - c->len < 65536) {
		c->cap = c->cap * 2 + 131072;
		c->buf = realloc(c->buf, c->cap);
	}
	do
		n = recv(c->fd, c->buf + c->len, c->cap - c->len - 1, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	c->len += (size_t)n;
	c->buf[c->len] = '\0';
	return true;
}

static void
consume(struct rig_conn *c, size_t n)
{
	memmove(c->buf, c->buf + n, c->len - n);
	c->len -= n;
	c->buf[c->len] = '\0';
}

const char *
rig_header(const struct rig_msg *m, const char *name)
{
	for (int i = 0; i < m->n_headers; i++) {
		if (strcasecmp(m->name[i], name) == 0)
			return m->value[i];
	}
	return NULL;
}

void
rig_free(struct rig_msg *m)
{
	free(m->head);
	free(m->body);
	memset(m, 0, sizeof(*m));
}

static void
parse_head(struct rig_msg *m)
{
	char *line = m->head, *end;
	bool first = true;

	while ((end = strstr(line, "\r\n")) != NULL) {
		*end = '\0';
		if (first) {
			m->start[0] = strtok_r(line, " ", &m->start[2]);
			m->start[1] = strtok_r(NULL, " ", &m->start[2]);
			first = false;
		} else if (m->n_headers < RIG_HEADERS) {
			char *colon = strchr(line, ':');

			if (colon != NULL) {
				*colon++ = '\0';
				while (*colon == ' ')
					colon++;
				m->name[m->n_headers] = line;
				m->value[m->n_headers++] = colon;
			}
		}
		line = end + 2;
	}
}

bool
rig_read_head(struct rig_conn *c, struct rig_msg *m)
{
	char *end;

	memset(m, 0, sizeof(*m));
	while (c->len == 0 || (end = strstr(c->buf, "\r\n\r\n")) == NULL) {
		if (!fill(c))
			return false;
	}
	m->head = strndup(c->buf, (size_t)(end - c->buf) + 2);
	consume(c, (size_t)(end - c->buf) + 4);
	parse_head(m);
	return m->start[0] != NULL && m->start[1] != NULL;
}

static void
add_body(struct rig_msg *m, const char *data, size_t n)
{
	m->body = realloc(m->body, m->body_len + n + 1);
	memcpy(m->body + m->body_len, data, n);
	m->body_len += n;
	m->body[m->body_len] = '\0';
}

static bool
read_chunks(struct rig_conn *c, struct rig_msg *m)
{
	for (;;) {
		char *eol;
		size_t n, skip;

		while (c->len == 0 || (eol = strstr(c->buf, "\r\n")) == NULL) {
			if (!fill(c))
				return false;
		}
		n = strtoul(c->buf, NULL, 16);
		skip = (size_t)(eol - c->buf) + 2;
		while (c->len < skip + n + 2) {
			if (!fill(c)) {
				if (c->len > skip)
					add_body(m, c->buf + skip,
					    MIN(n, c->len - skip));
				return false;
			}
		}
		add_body(m, c->buf + skip, n);
		consume(c, skip + n + 2);
		if (n == 0)
			return true;
	}
}

bool
rig_read_body(struct rig_conn *c, struct rig_msg *m, bool is_answer)
{
	const char *len = rig_header(m, "Content-Length");
	const char *te = rig_header(m, "Transfer-Encoding");

	add_body(m, "", 0);
	if (te != NULL)
		m->whole = read_chunks(c, m);
	else if (len != NULL) {
		size_t n = strtoul(len, NULL, 10);

		while (c->len < n && fill(c))
			continue;
		m->whole = c->len >= n;
		n = MIN(n, c->len);
		add_body(m, c->buf == NULL ? "" : c->buf, n);
		if (n > 0)
			consume(c, n);
	} else if (is_answer && strcmp(m->start[1], "204") != 0) {
		while (fill(c))
			continue;
		m->whole = errno == 0 || errno == EAGAIN;
		add_body(m, c->buf, c->len);
		consume(c, c->len);
	} else {
		m->whole = true;
	}
	return m->whole;
}

bool
rig_read(struct rig_conn *c, struct rig_msg *m, bool is_answer)
{
	return rig_read_head(c, m) && rig_read_body(c, m, is_answer);
}

bool
rig_send(struct rig_conn *c, const char *text, size_t len)
{
	while (len > 0) {
		ssize_t n = send(c->fd, text, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		text += n;
		len -= (size_t)n;
	}
	return true;
}

bool
rig_sendf(struct rig_conn *c, const char *fmt, ...)
{
	va_list ap;
	char *text;
	bool ok;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	ok = rig_send(c, text, strlen(text));
	g_free(text);
	return ok;
}

bool
rig_answer(
    struct rig_conn *c, int status, const char *extra, const char *body)
{
	return rig_sendf(c,
	    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n%s", status,
	    status == 200 ? "OK" : "Status", strlen(body), extra, body);
}

/* connections */

static bool
parse_addr(const char *addr, struct sockaddr_in *sin)
{
	char host[32];
	const char *colon = strchr(addr, ':');

	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - addr), addr);
	sin->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, host, &sin->sin_addr) == 1;
}

static void
set_timeout(int fd, double s)
{
	struct timeval tv = { (time_t)s,
		(suseconds_t)((s - (double)(time_t)s) * 1e6) };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
}

bool
rig_dial(struct rig_conn *c, const char *addr, double timeout_s)
{
	struct sockaddr_in sin;
	int on = 1;

	memset(c, 0, sizeof(*c));
	parse_addr(addr, &sin);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	set_timeout(c->fd, timeout_s);
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return true;
	close(c->fd);
	c->fd = -1;
	return false;
}

void
rig_close(struct rig_conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	free(c->buf);
	c->buf = NULL;
	c->len = c->cap = 0;
}

void
rig_reset(struct rig_conn *c)
{
	struct linger l = { 1, 0 };

	if (c->fd < 0)
		return;

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	rig_close(c);
}

void
rig_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&a, 256 << 10);
	if (pthread_create(&t, &a, fn, arg) != 0)
		rig_end(2, "no thread");
	pthread_attr_destroy(&a);
}

struct accepted {
	struct rig_server *s;
	struct rig_conn c;
};

static void *
run_conn(void *arg)
{
	struct accepted *a = arg;
	struct rig_msg m;

	for (;;) {
		bool ok = rig_read(&a->c, &m, false);

		ok = ok && a->s->fn(a->s->arg, &a->c, &m);
		rig_free(&m);
		if (!ok)
			break;
	}
	rig_close(&a->c);
	free(a->c.data);
	free(a);
	return NULL;
}

static void *
run_server(void *arg)
{
	struct rig_server *s = arg;

	for (;;) {
		struct accepted *a;
		int on = 1, fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0) {
			if (errno == EINTR || errno == ECONNABORTED)
				continue;
			return NULL;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		a = calloc(1, sizeof(*a));
		a->s = s;
		a->c.fd = fd;
		a->c.number = ++s->n_conns;
		rig_thread(run_conn, a);
	}
}

static int
listen_on(const char *ip, char addr[32])
{
	struct sockaddr_in sin;
	socklen_t n = sizeof(sin);
	char any[32];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(any, sizeof(any), "%s:0", ip);
	parse_addr(any, &sin);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
	    listen(fd, 512) < 0)
		rig_end(2, "cannot listen on loopback");
	getsockname(fd, (struct sockaddr *)&sin, &n);
	snprintf(addr, 32, "%s:%d", ip, ntohs(sin.sin_port));
	return fd;
}

struct rig_server *
rig_serve(const char *ip, rig_fn fn, void *arg)
{
	struct rig_server *s = calloc(1, sizeof(*s));

	s->fd = listen_on(ip, s->addr);
	s->fn = fn;
	s->arg = arg;
	rig_thread(run_server, s);
	return s;
}

/* store */

struct item {
	char *key;
	char *value; /* in base64; NULL: removed */
	uint64_t revision;
	uint64_t created;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed;
static GTree *items; /* key -> struct item */
static struct item history[MAX_HISTORY];
static uint64_t n_history;
static uint64_t revision = 1;

static gint
by_text(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static struct item *
find_item(const char *key)
{
	return g_tree_lookup(items, key);
}

/* Under the lock. */
static void
change(const char *key, const char *base64, uint64_t rev)
{
	struct item *it = find_item(key);
	struct item *h = &history[n_history++ % MAX_HISTORY];

	if (base64 == NULL && it == NULL) {
		n_history--;
		return;
	}
	if (base64 == NULL) {
		g_tree_remove(items, key);
	} else if (it == NULL) {
		it = calloc(1, sizeof(*it));
		it->key = strdup(key);
		it->value = strdup(base64);
		it->revision = it->created = rev;
		g_tree_insert(items, it->key, it);
	} else {
		free(it->value);
		it->value = strdup(base64);
		it->revision = rev;
	}
	h->key = strdup(key);
	h->value = base64 == NULL ? NULL : strdup(base64);
	h->revision = rev;
}

uint64_t
rig_put(const char *key, const char *text)
{
	char *v = g_base64_encode((const guchar *)text, strlen(text));
	uint64_t rev;

	pthread_mutex_lock(&store_lock);
	rev = ++revision;
	change(key, v, rev);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	g_free(v);
	return rev;
}

void
rig_remove(const char *key)
{
	pthread_mutex_lock(&store_lock);
	change(key, NULL, ++revision);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

void
rig_row(const char *id, const char *service, const char *addr,
    const char *zone, int capacity, const char *state)
{
	static int sequence;
	char key[64];
	char *text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
	    "\"warmupLeftMs\":0,\"sequence\":%d}",
	    service, addr, zone, capacity, state, ++sequence);

	snprintf(key, sizeof(key), "servers/%s", id);
	rig_put(key, text);
	g_free(text);
}

static json_t *
item_json(const struct item *it)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", it->key, "value",
	    it->value, "revision", (json_int_t)it->revision, "createdAt",
	    (json_int_t)it->created, "lease", (json_int_t)0);
}

static char *
query(const char *target, const char *name)
{
	char *want = g_strdup_printf("%s=", name);
	const char *at = strchr(target, '?');
	char *out = NULL;

	while (at != NULL && out == NULL) {
		size_t n = strcspn(++at, "&");

		if (strncmp(at, want, strlen(want)) == 0)
			out = g_strndup(
			    at + strlen(want), n - strlen(want));
		at = at[n] == '&' ? at + n : NULL;
	}
	g_free(want);
	return out;
}

struct walk {
	const char *prefix;
	const char *after;
	json_t *list;
};

static gboolean
add_to(gpointer key, gpointer value, gpointer arg)
{
	struct walk *w = arg;

	if (g_str_has_prefix(key, w->prefix) &&
	    (w->after == NULL || strcmp(key, w->after) > 0))
		json_array_append_new(w->list, item_json(value));
	return FALSE;
}

static json_t *
watch_events(const char *prefix, uint64_t after)
{
	json_t *list = json_array();
	uint64_t from = n_history > MAX_HISTORY ? n_history - MAX_HISTORY : 0;

	for (uint64_t i = from; i < n_history; i++) {
		const struct item *h = &history[i % MAX_HISTORY];

		if (h->revision <= after || !g_str_has_prefix(h->key, prefix))
			continue;
		json_array_append_new(list,
		    h->value != NULL
			? item_json(h)
			: json_pack("{s:s,s:I,s:b}", "key", h->key, "revision",
			      (json_int_t)h->revision, "deleted", 1));
	}
	return list;
}

static json_t *
do_watch(const char *target)
{
	char *prefix = query(target, "pathPrefix");
	char *after = query(target, "after"), *wait = query(target, "waitMs");
	double end = clock_s() + atoi(wait) / 1000.0;
	json_t *events, *out;

	pthread_mutex_lock(&store_lock);
	for (;;) {
		struct timespec t;
		double left = end - clock_s();

		events = watch_events(prefix, strtoull(after, NULL, 10));
		if (json_array_size(events) > 0 || left <= 0)
			break;
		json_decref(events);
		clock_gettime(CLOCK_MONOTONIC, &t);
		t.tv_sec += (time_t)left;
		t.tv_nsec += (long)((left - (double)(time_t)left) * 1e9);
		t.tv_sec += t.tv_nsec / 1000000000;
		t.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store_changed, &store_lock, &t);
	}
	out = json_pack(
	    "{s:o,s:I}", "events", events, "asOf", (json_int_t)revision);
	pthread_mutex_unlock(&store_lock);
	g_free(prefix);
	g_free(after);
	g_free(wait);
	return out;
}

static json_t *
do_txn(const char *body, int *status)
{
	json_t *j = json_loads(body, 0, NULL), *one, *out = NULL;
	json_t *found = json_array();
	bool ok = true;
	size_t i;

	pthread_mutex_lock(&store_lock);
	json_array_foreach(json_object_get(j, "expectedRevision"), i, one)
	{
		const struct item *it = find_item(
		    json_string_value(json_object_get(one, "key")));
		json_int_t want =
		    json_integer_value(json_object_get(one, "revision"));

		ok = ok && (json_int_t)(it == NULL ? 0 : it->revision) == want;
		if (it != NULL)
			json_array_append_new(found, item_json(it));
	}
	if (ok) {
		revision++;
		json_array_foreach(json_object_get(j, "puts"), i, one)
		{
			change(json_string_value(json_object_get(one, "key")),
			    json_string_value(json_object_get(one, "value")),
			    revision);
		}
		json_array_foreach(json_object_get(j, "remove"), i, one)
		{
			change(json_string_value(one), NULL, revision);
		}
		pthread_cond_broadcast(&store_changed);
		out = json_pack("{s:I}", "revision", (json_int_t)revision);
		*status = 200;
	} else {
		out = json_pack("{s:O}", "items", found);
		*status = 412;
	}
	pthread_mutex_unlock(&store_lock);
	json_decref(found);
	json_decref(j);
	return out;
}

static json_t *
do_range(const char *target)
{
	char *prefix = query(target, "pathPrefix");
	char *after = query(target, "after");
	struct walk w = { prefix, after, json_array() };
	json_t *out;

	pthread_mutex_lock(&store_lock);
	g_tree_foreach(items, add_to, &w);
	out = json_pack("{s:o,s:b,s:I}", "items", w.list, "hasMore", 0, "asOf",
	    (json_int_t)revision);
	pthread_mutex_unlock(&store_lock);
	g_free(prefix);
	g_free(after);
	return out;
}

static json_t *
do_key(const char *target, int *status)
{
	char *key = query(target, "key");
	const struct item *it;
	json_t *out = NULL;

	pthread_mutex_lock(&store_lock);
	it = find_item(key);
	*status = it == NULL ? 404 : 200;
	out = it == NULL ? json_object() : item_json(it);
	json_object_set_new(out, "asOf", json_integer((json_int_t)revision));
	pthread_mutex_unlock(&store_lock);
	g_free(key);
	return out;
}

rig_hook rig_store_hook;

static bool
on_store(void *arg, struct rig_conn *c, struct rig_msg *m)
{
	const char *t = m->start[1];
	int status = 200;
	json_t *out;
	char *text;
	bool ok;

	if (rig_store_hook != NULL)
		status = rig_store_hook(arg, m);
	if (status == RIG_RESET) {
		rig_reset(c);
		return false;
	}
	if (status != 200)
		return rig_answer(c, status, "", "");
	if (g_str_has_prefix(t, "/kv-range"))
		out = do_range(t);
	else if (g_str_has_prefix(t, "/kv-watch"))
		out = do_watch(t);
	else if (g_str_has_prefix(t, "/kv-key"))
		out = do_key(t, &status);
	else if (strcmp(t, "/kv-txn") == 0)
		out = do_txn(m->body, &status);
	else
		return rig_answer(c, 404, "", "{}");
	text = json_dumps(out, JSON_COMPACT);
	json_decref(out);
	ok = rig_answer(c, status, "Content-Type: application/json\r\n", text);
	free(text);
	return ok;
}

/* entries */

static void
write_settings(struct rig_entry *e)
{
	FILE *f = fopen(e->file, "w");

	fprintf(f,
	    "node: \"%s\"\nrole: \"entry\"\nmachineClass: \"edge\"\n"
	    "serves:\n  - \"edge\"\nip: \"%s\"\nzone: \"%s\"\n"
	    "region: \"r\"\nlisten:\n  front: \"%s\"\n  ready: \"%s\"\n"
	    "internalPorts:\n  - %d\n  - %d\nbootstrap: true\n"
	    "limits:\n  cpuShare: 0.19\n  cpuCores: 1\n  memoryMb: 260\n"
	    "  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
	    "heartbeatMs: 1200\nbounds:\n  stableWindowMs: 3000\n"
	    "  drainMs: 2000\n  graceS: 8\n  lostSlackMs: 200\n"
	    "  configApplyMs: 2000\n  rollbackSlackMs: 250\n"
	    "  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n"
	    "  retryBudgetSlack: 54\n  recoveryS: 12\n"
	    "provider:\n  address: \"%s\"\n  form: \"kv\"\n"
	    "  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
	    "  valueBytes: 1048576\n  ttlMinMs: 1000\n",
	    e->node, e->ip, e->zone, e->front, e->ready, e->ports_from,
	    e->ports_from + 15, e->store->addr);
	fclose(f);
}

static void
spawn(struct rig_entry *e)
{
	const char *program = getenv("PROGRAM");

	if (program == NULL)
		program = "target/marlgated"; /* as in deploy/system.toml */
	e->pid = fork();
	if (e->pid < 0)
		rig_end(2, "no process");
	if (e->pid == 0) {
		int fd = open(e->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("MARLHOIST_CONFIG", e->file, 1);
		execl(program, program, (char *)NULL);
		_exit(127);
	}
}

static void
free_addr(const char *ip, char addr[32])
{
	close(listen_on(ip, addr));
}

struct rig_entry *
rig_entry(int number, const char *zone)
{
	struct rig_entry *e = calloc(1, sizeof(*e));
	char link[32];

	snprintf(e->ip, sizeof(e->ip), "%s", rig_ip(40 + number));
	snprintf(e->zone, sizeof(e->zone), "%s", zone);
	snprintf(e->node, sizeof(e->node), "edge-%s-%d", zone, number);
	free_addr(e->ip, e->front);
	free_addr(e->ip, e->ready);
	free_addr(e->ip, link);
	e->ports_from = atoi(strchr(link, ':') + 1);
	snprintf(e->file, sizeof(e->file), "%s/%s.yaml", dir, e->node);
	snprintf(e->log, sizeof(e->log), "%s/%s.log", dir, e->node);
	/* One address for each entry shows which of them calls. */
	e->store = rig_serve(rig_ip(0), on_store, e);
	write_settings(e);
	entries[n_entries++] = e;
	spawn(e);
	return e;
}

void
rig_signal(struct rig_entry *e, int sig)
{
	rig_record("signal %d to %s", sig, e->node);
	if (e->pid > 0)
		kill(e->pid, sig);
}

bool
rig_exited(struct rig_entry *e)
{
	int status;

	if (e->pid > 0 && waitpid(e->pid, &status, WNOHANG) == e->pid) {
		rig_record("%s has ended, status %d", e->node, status);
		e->pid = 0;
	}
	return e->pid == 0;
}

void
rig_restart(struct rig_entry *e)
{
	while (!rig_exited(e))
		rig_sleep(0.01);
	rig_record("start of %s", e->node);
	spawn(e);
}

bool
rig_is_ready(struct rig_entry *e)
{
	struct rig_conn c;
	struct rig_msg m;
	bool ok;

	if (!rig_dial(&c, e->ready, 1))
		return false;
	rig_sendf(&c, "GET /readyz HTTP/1.1\r\nHost: %s\r\n\r\n", e->ready);
	ok = rig_read_head(&c, &m) && strcmp(m.start[1], "200") == 0;
	rig_free(&m);
	rig_close(&c);
	return ok;
}

void
rig_wait_ready(struct rig_entry *e)
{
	for (int i = 0; i < 200; i++) {
		if (rig_is_ready(e))
			return;
		if (rig_exited(e))
			rig_end(2, "an entry did not start");
		rig_sleep(0.05);
	}
	rig_end(2, "an entry is not ready");
}

static void
on_alarm(int sig)
{
	(void)sig;
	rig_end(2, "out of time");
}

void
rig_start(const char *rule)
{
	pthread_condattr_t a;

	signal(SIGPIPE, SIG_IGN);
	start_s = clock_s();
	record = fopen(
	    getenv("RECORD") != NULL ? getenv("RECORD") : "record.txt", "w");
	if (record == NULL)
		exit(2);
	pthread_condattr_init(&a);
	pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
	pthread_cond_init(&store_changed, &a);
	items = g_tree_new_full(by_text, NULL, NULL, NULL);
	choose_ips();
	snprintf(dir, sizeof(dir), "%s/review-XXXXXX",
	    getenv("TMPDIR") != NULL ? getenv("TMPDIR") : g_get_tmp_dir());
	if (mkdtemp(dir) == NULL)
		rig_end(2, "no temporary folder");
	signal(SIGALRM, on_alarm);
	alarm(115);
	rig_record(
	    "rule %s, disruption %s", rule, rig_trouble() ? "on" : "off");
}
