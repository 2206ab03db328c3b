#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define ITEMS_MAX 64
#define EVENTS_MAX 4096
#define WAIT_ANSWER_MS 20000
#define READY_WAIT_MS 10000

/* time and record */

static FILE *record_file;
static int64_t start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
now_ms(void)
{
	return clock_ms() - start_ms;
}

void
sleep_ms(int64_t ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&ts, NULL);
}

void
sleep_until(int64_t at_ms)
{
	sleep_ms(at_ms - now_ms());
}

void
record_open(const char *file)
{
	start_ms = clock_ms();
	record_file = fopen(file, "w");
	if (record_file == NULL) {
		perror("record");
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
}

void
record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f s  ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* HTTP messages */

static bool
fill(struct conn *c)
{
	char part[16384];
	ssize_t n = recv(c->fd, part, sizeof(part), 0);

	if (n <= 0)
		return false;
	c->buf = realloc(c->buf, c->len + (size_t)n + 1);
	memcpy(c->buf + c->len, part, (size_t)n);
	c->len += (size_t)n;
	c->buf[c->len] = '\0';
	return true;
}

static void
drop(struct conn *c, size_t n)
{
	memmove(c->buf, c->buf + n, c->len - n);
	c->len -= n;
	c->buf[c->len] = '\0';
}

bool
msg_field(const struct msg *m, const char *name, char *value, size_t size)
{
	size_t len = strlen(name);

	for (const char *p = strstr(m->head, "\r\n"); p != NULL;
	     p = strstr(p, "\r\n")) {
		p += 2;
		if (strncasecmp(p, name, len) == 0 && p[len] == ':') {
			p += len + 1;
			p += strspn(p, " ");
			snprintf(value, size, "%.*s", (int)strcspn(p, "\r"), p);
			return true;
		}
	}
	return false;
}

static void
add_body(struct msg *m, const char *data, size_t len)
{
	m->body = realloc(m->body, m->body_len + len + 1);
	memcpy(m->body + m->body_len, data, len);
	m->body_len += len;
	m->body[m->body_len] = '\0';
}

static bool
read_chunks(struct conn *c, struct msg *m)
{
	for (;;) {
		char *end;
		size_t size, line;

		while (c->len == 0 || strstr(c->buf, "\r\n") == NULL) {
			if (!fill(c))
				return false;
		}
		size = strtoul(c->buf, NULL, 16);
		end = strstr(c->buf, "\r\n");
		line = (size_t)(end - c->buf) + 2;
		while (c->len < line + size + 2) {
			if (!fill(c))
				return false;
		}
		add_body(m, c->buf + line, size);
		drop(c, line + size + 2);
		if (size == 0)
			return true;
	}
}

bool
msg_read(struct conn *c, struct msg *m, bool response)
{
	char text[64], *end;
	size_t len;

	memset(m, 0, sizeof(*m));
	while (c->len == 0 || (end = strstr(c->buf, "\r\n\r\n")) == NULL) {
		if (c->len > HEAD_MAX || !fill(c))
			return false;
	}
	len = (size_t)(end - c->buf) + 2;
	m->head = strndup(c->buf, len);
	drop(c, len + 2);
	m->body = strdup("");
	if (response)
		m->status = atoi(m->head + strcspn(m->head, " "));
	else
		sscanf(m->head, "%15s %255s", m->method, m->target);
	if (msg_field(m, "Transfer-Encoding", text, sizeof(text))) {
		m->whole = read_chunks(c, m);
		return true;
	}
	len = 0;
	if (msg_field(m, "Content-Length", text, sizeof(text)))
		len = strtoul(text, NULL, 10);
	while (c->len < len) {
		if (!fill(c))
			return true;
	}
	add_body(m, c->buf == NULL ? "" : c->buf, len);
	if (len > 0)
		drop(c, len);
	m->whole = true;
	return true;
}

void
msg_free(struct msg *m)
{
	free(m->head);
	free(m->body);
}

bool
conn_send(struct conn *c, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(c->fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

bool
conn_sendf(struct conn *c, const char *fmt, ...)
{
	va_list ap;
	char *text;
	bool ok;

	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		abort();
	va_end(ap);
	ok = conn_send(c, text, strlen(text));
	free(text);
	return ok;
}

static const char *
reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 412:
		return "Precondition Failed";
	case 421:
		return "Misdirected Request";
	case 503:
		return "Service Unavailable";
	default:
		return "Other";
	}
}

bool
conn_respond(struct conn *c, int status, const char *fields, const char *body)
{
	return conn_sendf(c,
	    "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n%s", status,
	    reason(status), fields, strlen(body), body);
}

/* servers */

struct server {
	int fd;
	serve_fn fn;
	void *arg;
};

struct served {
	struct server *s;
	int fd;
};

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 << 10);
	if (pthread_create(&t, &attr, fn, arg) != 0)
		exit(2);
	pthread_attr_destroy(&attr);
}

static void *
serve_conn(void *arg)
{
	struct served v = *(struct served *)arg;
	struct conn c = { .fd = v.fd };
	bool keep = true;
	struct msg m;

	free(arg);
	while (keep && msg_read(&c, &m, false)) {
		keep = m.whole && v.s->fn(&c, &m, v.s->arg);
		msg_free(&m);
	}
	close(c.fd);
	free(c.buf);
	free(c.data);
	return NULL;
}

static void *
accept_conns(void *arg)
{
	struct server *s = arg;

	for (;;) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC), on = 1;
		struct served *v;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		v = malloc(sizeof(*v));
		v->s = s;
		v->fd = fd;
		start_thread(serve_conn, v);
	}
	return NULL;
}

/* A socket bound to a free port of @ip, or to @port; -1 if that fails. */
static int
bound(const char *ip, int *port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)*port) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	inet_pton(AF_INET, ip, &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		close(fd);
		return -1;
	}
	getsockname(fd, (struct sockaddr *)&sin, &len);
	*port = ntohs(sin.sin_port);
	return fd;
}

static int
start_server(int port, serve_fn fn, void *arg)
{
	struct server *s = calloc(1, sizeof(*s));

	s->fn = fn;
	s->arg = arg;
	s->fd = bound(PLATFORM_IP, &port);
	if (s->fd < 0 || listen(s->fd, 256) < 0)
		exit(2);
	start_thread(accept_conns, s);
	return port;
}

int
serve(serve_fn fn, void *arg)
{
	return start_server(0, fn, arg);
}

void
serve_at(int port, serve_fn fn, void *arg)
{
	start_server(port, fn, arg);
}

/* the store */

struct item {
	char key[208];
	char *value; /* base64 */
	uint64_t revision;
	uint64_t created;
};

struct event {
	char key[208];
	uint64_t revision;
	json_t *body;
};

static struct item items[ITEMS_MAX];
static int n_items;
static struct event events[EVENTS_MAX];
static int n_events;
static uint64_t revision = 1;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static volatile bool store_away;

void
store_set_away(bool away)
{
	store_away = away;
}

bool
store_is_away(void)
{
	return store_away;
}

static char *
base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text), n = 0;
	char *out = malloc(len / 3 * 4 + 8);

	for (size_t i = 0; i < len; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		v |= i + 1 < len ? (unsigned char)text[i + 1] << 8 : 0;
		v |= i + 2 < len ? (unsigned char)text[i + 2] : 0;
		out[n++] = digits[v >> 18];
		out[n++] = digits[v >> 12 & 63];
		out[n++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
		out[n++] = i + 2 < len ? digits[v & 63] : '=';
	}
	out[n] = '\0';
	return out;
}

static struct item *
find_item(const char *key)
{
	for (int i = 0; i < n_items; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	return NULL;
}

static json_t *
item_json(const struct item *i)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", i->key, "value",
	    i->value, "revision", (json_int_t)i->revision, "createdAt",
	    (json_int_t)i->created, "lease", 0);
}

static void
add_event(const char *key, json_t *body)
{
	struct event *e = &events[n_events];

	if (n_events == EVENTS_MAX)
		exit(2);
	snprintf(e->key, sizeof(e->key), "%s", key);
	e->revision = revision;
	e->body = body;
	n_events++;
}

/* Sorted by key, as ranges are. */
static struct item *
add_item(const char *key)
{
	int at = 0;

	if (n_items == ITEMS_MAX)
		exit(2);
	while (at < n_items && strcmp(items[at].key, key) < 0)
		at++;
	memmove(&items[at + 1], &items[at],
	    (size_t)(n_items - at) * sizeof(items[0]));
	memset(&items[at], 0, sizeof(items[at]));
	snprintf(items[at].key, sizeof(items[at].key), "%s", key);
	items[at].created = revision;
	n_items++;
	return &items[at];
}

static void
put(const char *key, const char *value)
{
	struct item *i = find_item(key);

	if (i == NULL)
		i = add_item(key);
	free(i->value);
	i->value = strdup(value);
	i->revision = revision;
	add_event(key, item_json(i));
}

static void
take_out(const char *key)
{
	struct item *i = find_item(key);

	if (i == NULL)
		return;
	free(i->value);
	memmove(
	    i, i + 1, (size_t)(&items[n_items] - (i + 1)) * sizeof(items[0]));
	n_items--;
	add_event(key,
	    json_pack("{s:s,s:I,s:b}", "key", key, "revision",
		(json_int_t)revision, "deleted", 1));
}

void
store_put(const char *key, const char *text)
{
	char *value = base64(text);

	pthread_mutex_lock(&store_lock);
	revision++;
	put(key, value);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	free(value);
}

void
store_register(const char *id, const char *service, int port, int capacity)
{
	store_register_born(id, service, port, capacity, 0);
}

void
store_register_born(const char *id, const char *service, int port, int capacity,
    int64_t born_ms)
{
	char key[256], row[512], born[64] = "";

	snprintf(key, sizeof(key), "servers/%s", id);
	if (born_ms != 0)
		snprintf(
		    born, sizeof(born), ",\"born\":%lld", (long long)born_ms);
	snprintf(row, sizeof(row),
	    "{\"service\":\"%s\",\"address\":\"%s:%d\","
	    "\"zone\":\"amman-a\",\"version\":\"v1\",\"capacity\":%d,"
	    "\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1%s}",
	    service, PLATFORM_IP, port, capacity, born);
	store_put(key, row);
	record("replica %s of %s at %s:%d", id, service, PLATFORM_IP, port);
}

/* Copies a parameter of the query; an empty text if there is none. */
static void
param(const char *target, const char *name, char *value, size_t size)
{
	const char *p = strchr(target, '?');
	size_t len = strlen(name);

	*value = '\0';
	for (; p != NULL; p = strchr(p, '&')) {
		p++;
		if (strncmp(p, name, len) == 0 && p[len] == '=')
			snprintf(value, size, "%.*s",
			    (int)strcspn(p + len + 1, "&"), p + len + 1);
	}
}

static json_t *
get_range(const char *prefix, const char *after)
{
	json_t *list = json_array();

	for (int i = 0; i < n_items; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) == 0 &&
		    strcmp(items[i].key, after) > 0)
			json_array_append_new(list, item_json(&items[i]));
	}
	return json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", 0, "asOf",
	    (json_int_t)revision);
}

static json_t *
events_after(const char *prefix, uint64_t after)
{
	json_t *list = json_array();

	for (int i = 0; i < n_events; i++) {
		if (events[i].revision > after &&
		    strncmp(events[i].key, prefix, strlen(prefix)) == 0)
			json_array_append(list, events[i].body);
	}
	return list;
}

static json_t *
watch(const char *prefix, uint64_t after, int64_t wait_ms)
{
	int64_t end = now_ms() + wait_ms;
	json_t *list = events_after(prefix, after);

	while (json_array_size(list) == 0 && now_ms() < end) {
		struct timespec ts;

		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 50000000;
		ts.tv_sec += ts.tv_nsec / 1000000000;
		ts.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store_changed, &store_lock, &ts);
		json_decref(list);
		list = events_after(prefix, after);
	}
	return json_pack(
	    "{s:o,s:I}", "events", list, "asOf", (json_int_t)revision);
}

static json_t *
change(const char *body, int *status)
{
	json_t *j = json_loads(body, 0, NULL), *one;
	json_t *now = json_array();
	bool ok = j != NULL;
	size_t i;

	json_array_foreach(json_object_get(j, "expectedRevision"), i, one)
	{
		struct item *it =
		    find_item(json_string_value(json_object_get(one, "key")));
		uint64_t want = (uint64_t)json_integer_value(
		    json_object_get(one, "revision"));

		ok = ok && want == (it == NULL ? 0 : it->revision);
		if (it != NULL)
			json_array_append_new(now, item_json(it));
	}
	*status = ok ? 200 : 412;
	if (!ok) {
		json_decref(j);
		return json_pack("{s:o}", "items", now);
	}
	json_decref(now);
	revision++;
	json_array_foreach(json_object_get(j, "puts"), i, one)
	{
		put(json_string_value(json_object_get(one, "key")),
		    json_string_value(json_object_get(one, "value")));
	}
	json_array_foreach(json_object_get(j, "remove"), i, one)
	{
		take_out(json_string_value(one));
	}
	json_decref(j);
	pthread_cond_broadcast(&store_changed);
	return json_pack("{s:I}", "revision", (json_int_t)revision);
}

static json_t *
store_reply(const struct msg *m, int *status)
{
	char key[256], after[256], wait[32];
	struct item *i;
	json_t *j;

	*status = 200;
	param(m->target, "after", after, sizeof(after));
	param(m->target, "pathPrefix", key, sizeof(key));
	if (strncmp(m->target, "/kv-range", 9) == 0)
		return get_range(key, after);
	if (strncmp(m->target, "/kv-watch", 9) == 0) {
		param(m->target, "waitMs", wait, sizeof(wait));
		return watch(key, strtoull(after, NULL, 10), atoi(wait));
	}
	if (strncmp(m->target, "/kv-txn", 7) == 0)
		return change(m->body, status);
	param(m->target, "key", key, sizeof(key));
	i = find_item(key);
	if (i != NULL) {
		j = item_json(i);
		json_object_set_new(
		    j, "asOf", json_integer((json_int_t)revision));
		return j;
	}
	*status = 404;
	return json_pack("{s:I}", "asOf", (json_int_t)revision);
}

static bool
on_store(struct conn *c, struct msg *m, void *arg)
{
	int status;
	json_t *j;
	char *text;
	bool ok;

	(void)arg;
	if (store_away)
		return conn_respond(c, 503, "", "");
	pthread_mutex_lock(&store_lock);
	j = store_reply(m, &status);
	pthread_mutex_unlock(&store_lock);
	text = json_dumps(j, JSON_COMPACT);
	ok = conn_respond(c, status,
	    "Content-Type: application/json\r\nKeep-Alive: timeout=30\r\n",
	    text);
	free(text);
	json_decref(j);
	return ok;
}

int
store_start(void)
{
	return serve(on_store, NULL);
}

/* callers */

int
dial(const char *ip, int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	inet_pton(AF_INET, ip, &sin.sin_addr);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

struct answer
ask(const char *ip, int port, const char *request, int64_t leave_ms)
{
	struct timeval tv = { WAIT_ANSWER_MS / 1000, 0 };
	struct answer a = { 0 };
	struct conn c = { .fd = dial(ip, port) };
	struct msg m;

	if (c.fd < 0)
		return a;
	conn_send(&c, request, strlen(request));
	if (leave_ms > 0) {
		sleep_ms(leave_ms);
		close(c.fd);
		return a;
	}
	setsockopt(c.fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (msg_read(&c, &m, true)) {
		a.status = m.status;
		a.whole = m.whole;
		a.head = m.head;
		a.body = m.body;
	}
	close(c.fd);
	free(c.buf);
	return a;
}

void
answer_free(struct answer *a)
{
	free(a->head);
	free(a->body);
}

/* entry processes */

int
free_port(const char *ip)
{
	int port = 0, fd = bound(ip, &port);

	if (fd < 0)
		exit(2);
	close(fd);
	return port;
}

static void
write_settings(const struct entry *e, const char *file)
{
	int internal = free_port(e->ip);
	FILE *f = fopen(file, "w");

	if (f == NULL)
		exit(2);
	if (internal > 65000)
		internal -= 1000;
	fprintf(f,
	    "node: \"%s\"\nrole: \"entry\"\nmachineClass: \"edge\"\n"
	    "serves:\n  - \"edge\"\nip: \"%s\"\nzone: \"amman-a\"\n"
	    "region: \"amman\"\nzones:\n  amman-a: \"amman\"\n"
	    "listen:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n"
	    "internalPorts:\n  - %d\n  - %d\nbootstrap: true\n"
	    "limits:\n  cpuShare: 0.19\n  cpuCores: 1\n  memoryMb: 260\n"
	    "  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
	    "dataDir: null\ndiscovery: \"platform\"\nheartbeatMs: 1200\n"
	    "bounds:\n  reuseAfterS: 2\n  stableWindowMs: 3000\n"
	    "  ackMs: 4000\n  drainMs: 2000\n  graceS: 8\n"
	    "  lostSlackMs: 200\n  configApplyMs: 2000\n"
	    "  rollbackSlackMs: 250\n  maxSkewMs: 5000\n"
	    "  strictRevocation: false\n  retryBudgetRatio: 0.2\n"
	    "  budgetWindowS: 10\n  retryBudgetSlack: 52\n  recoveryS: 12\n"
	    "provider:\n  address: \"%s:%d\"\n  form: \"kv\"\n"
	    "  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
	    "  valueBytes: 1048576\n  ttlMinMs: 1000\n",
	    e->name, e->ip, e->ip, e->front_port, e->ip, e->ready_port,
	    internal, internal + 15, PLATFORM_IP, e->store_port);
	fclose(f);
}

void
entry_start(struct entry *e, int number, const char *dir, int store_port)
{
	char settings[320], log[320];
	unsigned pid = (unsigned)getpid();

	snprintf(e->name, sizeof(e->name), "edge-amman-a-%d", number);
	snprintf(e->ip, sizeof(e->ip), "127.%u.%u.%d", 64 + pid % 128,
	    1 + pid / 128 % 250, number);
	snprintf(e->dir, sizeof(e->dir), "%s", dir);
	e->store_port = store_port;
	e->front_port = free_port(e->ip);
	e->ready_port = free_port(e->ip);
	snprintf(settings, sizeof(settings), "%s/%s.yaml", dir, e->name);
	snprintf(log, sizeof(log), "%s/%s.log", dir, e->name);
	write_settings(e, settings);
	e->pid = fork();
	if (e->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("MARLHOIST_CONFIG", settings, 1);
		execl("target/marlgated", "target/marlgated", (char *)NULL);
		_exit(127);
	}
	record("%s started, front %s:%d", e->name, e->ip, e->front_port);
}

bool
entry_wait_ready(const struct entry *e)
{
	int64_t end = now_ms() + READY_WAIT_MS;

	while (now_ms() < end) {
		struct answer a = ask(e->ip, e->ready_port,
		    "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", 0);
		bool ready = a.status == 200;

		answer_free(&a);
		if (ready) {
			record("%s is ready", e->name);
			return true;
		}
		sleep_ms(100);
	}
	record("%s isn't ready", e->name);
	return false;
}

bool
entry_stop(struct entry *e)
{
	int status;
	bool ran = waitpid(e->pid, &status, WNOHANG) == 0;

	if (ran) {
		kill(e->pid, SIGKILL);
		waitpid(e->pid, &status, 0);
	} else {
		record("%s had ended by itself, status %d", e->name, status);
	}
	return ran;
}
