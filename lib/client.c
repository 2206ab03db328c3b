/**
 * DOC: HTTP client: libcurl's multi interface driven by the event loop.
 */

#include "marlhoist.h"

#include <curl/curl.h>
#include <string.h>

#define MAX_RESPONSE_BYTES (4U << 20)
#define CONNECT_TIMEOUT_MS 1000L

struct mh_client {
	struct mh_kern *k;
	struct mh_loop *loop;
	CURLM *multi;
	struct mh_timer *timer;
	GHashTable *calls; /* id -> struct transfer */
};

struct transfer {
	struct mh_client *c;
	uint64_t id;
	CURL *easy;
	struct curl_slist *headers;
	GBytes *body;
	GByteArray *response;
	mh_http_data_fn data;
	mh_http_done_fn done;
	void *arg;
	uint64_t index;
	char *retry_after; /* NULL: none */
	char *date;
};

static void
free_transfer(struct transfer *h)
{
	g_hash_table_remove(h->c->calls, &h->id);
	curl_multi_remove_handle(h->c->multi, h->easy);
	curl_easy_cleanup(h->easy);
	curl_slist_free_all(h->headers);
	if (h->body != NULL)
		g_bytes_unref(h->body);
	g_byte_array_unref(h->response);
	g_free(h->retry_after);
	g_free(h->date);
	g_free(h);
}

static uint32_t
status_of(const struct transfer *h)
{
	long status = 0;

	curl_easy_getinfo(h->easy, CURLINFO_RESPONSE_CODE, &status);
	return (uint32_t)status;
}

static void
finish(struct transfer *h, CURLcode rc)
{
	struct mh_http_done d = { .complete = rc == CURLE_OK };
	mh_http_done_fn done = h->done;
	void *arg = h->arg;

	d.status = status_of(h);
	d.sent = rc != CURLE_COULDNT_CONNECT;
	d.broke = rc == CURLE_RECV_ERROR || rc == CURLE_SEND_ERROR ||
	    rc == CURLE_GOT_NOTHING || rc == CURLE_PARTIAL_FILE;
	d.index = h->index;
	if ((d.status == 429 || d.status == 503) && h->retry_after != NULL)
		(void)mh_rest_read(h->retry_after, h->date, &d.rest_us);
	d.body = g_bytes_new(h->response->data, h->response->len);
	free_transfer(h);
	done(arg, &d);
	g_bytes_unref(d.body);
}

static void
reap(struct mh_client *c)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(c->multi, &left)) != NULL) {
		struct transfer *h = NULL;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &h);
		finish(h, m->data.result);
	}
}

static void
socket_action(struct mh_client *c, curl_socket_t fd, int what)
{
	int running;

	curl_multi_socket_action(c->multi, fd, what, &running);
	reap(c);
}

static void
on_timer(void *arg)
{
	struct mh_client *c = arg;

	socket_action(c, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer(CURLM *multi, long ms, void *arg)
{
	struct mh_client *c = arg;

	(void)multi;
	mh_timer_stop(c->k, &c->timer);
	if (ms >= 0)
		mh_timer_set(
		    c->k, &c->timer, (int64_t)ms * MH_US_PER_MS, on_timer, c);
	return 0;
}

struct sock {
	struct mh_client *c;
	curl_socket_t fd;
};

static void
on_fd(void *arg, bool readable, bool writable)
{
	struct sock *s = arg;

	socket_action(s->c, s->fd,
	    (readable ? CURL_CSELECT_IN : 0) |
		(writable ? CURL_CSELECT_OUT : 0));
}

static int
set_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *priv)
{
	struct mh_client *c = arg;
	struct sock *s = priv;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		mh_loop_fd_close(c->loop, fd);
		curl_multi_assign(c->multi, fd, NULL);
		g_free(s);
		return 0;
	}
	if (s == NULL) {
		s = g_new0(struct sock, 1);
		s->c = c;
		s->fd = fd;
		curl_multi_assign(c->multi, fd, s);
	}
	mh_loop_fd(
	    c->loop, fd, what & CURL_POLL_IN, what & CURL_POLL_OUT, on_fd, s);
	return 0;
}

static size_t
on_data(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *h = arg;

	if (h->data != NULL)
		return h->data(h->arg, status_of(h), data, size * n) ? size * n
								     : 0;
	/* Bounds the memory that an endless response can take. */
	if (h->response->len + size * n > MAX_RESPONSE_BYTES)
		return 0;
	g_byte_array_append(h->response, (uint8_t *)data, (guint)(size * n));
	return size * n;
}

/* The value of a header line if it has that name, which ends with a colon. */
static char *
value_of(const char *line, size_t len, const char *name)
{
	size_t n = strlen(name);

	if (len <= n || g_ascii_strncasecmp(line, name, n) != 0)
		return NULL;
	return g_strstrip(g_strndup(line + n, len - n));
}

static void
take_value(char **to, char *value)
{
	if (value == NULL)
		return;
	g_free(*to);
	*to = value;
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *h = arg;
	size_t len = size * n;
	char *index = value_of(data, len, "x-consul-index:");

	if (index != NULL)
		h->index = g_ascii_strtoull(index, NULL, 10);
	g_free(index);
	take_value(&h->retry_after, value_of(data, len, "retry-after:"));
	take_value(&h->date, value_of(data, len, "date:"));
	return len;
}

static void
set_body(struct transfer *h, const struct mh_http_call *call)
{
	gsize len = 0;
	const char *data = "";

	if (call->body != NULL) {
		h->body = g_bytes_ref(call->body);
		data = g_bytes_get_data(h->body, &len);
	}
	if (strcmp(call->method, "GET") != 0) {
		curl_easy_setopt(h->easy, CURLOPT_CUSTOMREQUEST, call->method);
		curl_easy_setopt(h->easy, CURLOPT_POSTFIELDSIZE, (long)len);
		curl_easy_setopt(
		    h->easy, CURLOPT_POSTFIELDS, data != NULL ? data : "");
	}
	h->headers = curl_slist_append(h->headers, "Expect:");
	for (int i = 0; call->headers != NULL && call->headers[i]; i++)
		h->headers = curl_slist_append(h->headers, call->headers[i]);
	curl_easy_setopt(h->easy, CURLOPT_HTTPHEADER, h->headers);
}

uint64_t
mh_client_start(struct mh_client *c, const struct mh_http_call *call,
    mh_http_data_fn data, mh_http_done_fn done, void *arg)
{
	struct transfer *h = g_new0(struct transfer, 1);

	h->c = c;
	h->id = mh_next_id(c->k);
	h->easy = curl_easy_init();
	h->response = g_byte_array_new();
	h->data = data;
	h->done = done;
	h->arg = arg;
	curl_easy_setopt(h->easy, CURLOPT_PRIVATE, h);
	curl_easy_setopt(h->easy, CURLOPT_URL, call->url);
	curl_easy_setopt(h->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(h->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(h->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(h->easy, CURLOPT_WRITEDATA, h);
	curl_easy_setopt(h->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(h->easy, CURLOPT_HEADERDATA, h);
	curl_easy_setopt(
	    h->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(h->easy, CURLOPT_TIMEOUT_MS,
	    (long)(call->timeout_us / MH_US_PER_MS) + 1);
	/*
	 * libcurl itself retries a request if a reused connection closes before
	 * the first byte of the response.  The endpoint may have executed the
	 * first request, so a non-repeatable call would be executed twice.
	 * libcurl never retries on a fresh connection.
	 */
	if (call->once) {
		curl_easy_setopt(h->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(h->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	set_body(h, call);
	g_hash_table_insert(c->calls, &h->id, h);
	curl_multi_add_handle(c->multi, h->easy);
	return h->id;
}

void
mh_client_abort(struct mh_client *c, uint64_t id)
{
	struct transfer *h = g_hash_table_lookup(c->calls, &id);

	if (h != NULL)
		free_transfer(h);
}

static void
destroy(void *self)
{
	struct mh_client *c = self;
	GList *all = g_hash_table_get_values(c->calls);

	for (GList *n = all; n != NULL; n = n->next)
		free_transfer(n->data);
	g_list_free(all);
	mh_timer_stop(c->k, &c->timer);
	curl_multi_cleanup(c->multi);
	curl_global_cleanup();
	g_hash_table_destroy(c->calls);
	g_free(c);
}

struct mh_client *
mh_client_create(struct mh_loop *loop)
{
	struct mh_client *c = g_new0(struct mh_client, 1);

	c->k = mh_loop_kern(loop);
	c->loop = loop;
	c->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	mh_kern_add(c->k, "client", c, NULL, destroy);
	return c;
}
