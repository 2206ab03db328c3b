/**
 * DOC: Blocking client of the KV service, one HTTP request per call.
 */

#include "marlctl.h"

#include <curl/curl.h>
#include <string.h>

#define CALL_TIMEOUT_MS 5000L

static size_t
collect(char *data, size_t size, size_t n, void *arg)
{
	g_byte_array_append(arg, (uint8_t *)data, (guint)(size * n));
	return size * n;
}

static long
http_call(
    const char *method, const char *url, GBytes *body, GByteArray *response)
{
	CURL *easy = curl_easy_init();
	gsize len = 0;
	const char *data = "";
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
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
store_get(const char *kv, const char *name, struct kv_value *out)
{
	char *url = g_strdup_printf("%s/v1/kv/%s", kv, name);
	GByteArray *a = g_byte_array_new();
	long status = http_call("GET", url, NULL, a);

	memset(out, 0, sizeof(*out));
	if (status == 200)
		out->value = mh_kv_value(a->data, a->len, &out->cas);
	out->found = out->value != NULL;
	out->responded = out->found || status == 404;
	g_byte_array_unref(a);
	g_free(url);
}

void
kv_value_clear(struct kv_value *s)
{
	if (s->value != NULL)
		g_bytes_unref(s->value);
	memset(s, 0, sizeof(*s));
}

enum put_result
store_put(const char *kv, const char *name, uint64_t cas, GBytes *value)
{
	char *url = g_strdup_printf("%s/v1/kv/%s?cas=%" PRIu64, kv, name, cas);
	GByteArray *a = g_byte_array_new();
	long status = http_call("PUT", url, value, a);
	bool ok = a->len >= 4 && memcmp(a->data, "true", 4) == 0;

	g_byte_array_unref(a);
	g_free(url);
	if (status != 200)
		return NO_RESPONSE;
	return ok ? WRITTEN : LOST_RACE;
}
