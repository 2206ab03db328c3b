/**
 * DOC: The KV service for an operator's tool: one blocking call at a time.
 */

#include "marlctl.h"

#include <curl/curl.h>
#include <string.h>

#define CALL_MS 5000L

static size_t
collect(char *data, size_t size, size_t n, void *arg)
{
	g_byte_array_append(arg, (uint8_t *)data, (guint)(size * n));
	return size * n;
}

static long
call(const char *method, const char *url, GBytes *body, GByteArray *answer)
{
	CURL *easy = curl_easy_init();
	gsize len = 0;
	const char *data = "";
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (body != NULL) {
		data = g_bytes_get_data(body, &len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data);
	}
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	return status;
}

void
store_get(const char *kv, const char *name, struct stored *out)
{
	char *url = g_strdup_printf("%s/v1/kv/%s", kv, name);
	GByteArray *a = g_byte_array_new();
	long status = call("GET", url, NULL, a);

	memset(out, 0, sizeof(*out));
	out->answered = status == 200 || status == 404;
	if (status == 200)
		out->value = mh_kv_value(a->data, a->len, &out->cas);
	out->found = out->value != NULL;
	g_byte_array_unref(a);
	g_free(url);
}

void
stored_clear(struct stored *s)
{
	if (s->value != NULL)
		g_bytes_unref(s->value);
	memset(s, 0, sizeof(*s));
}

enum written
store_put(const char *kv, const char *name, uint64_t cas, GBytes *value)
{
	char *url = g_strdup_printf("%s/v1/kv/%s?cas=%" PRIu64, kv, name, cas);
	GByteArray *a = g_byte_array_new();
	long status = call("PUT", url, value, a);
	bool ok = a->len >= 4 && memcmp(a->data, "true", 4) == 0;

	g_byte_array_unref(a);
	g_free(url);
	if (status != 200)
		return NO_ANSWER;
	return ok ? WRITTEN : LOST_RACE;
}
