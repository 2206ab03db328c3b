/**
 * DOC: The reader of server-sent events.
 */

#include "gate.h"
#include "regress.h"

#include <string.h>

/* Bytes of the longest event that is passed on, as MAX_EVENT in sse.c. */
#define MAX_EVENT ((size_t)1 << 20)
#define PART_BYTES 4096

/* Events are passed on when complete, wherever the data is split. */
static void
test_split_anywhere(void)
{
	static const char *const streams[] = {
		"id: 1\ndata: one\n\nid: 2\ndata: two\n\n",
		"id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r\n",
		": first\n\nid: 1\ndata: one\r\n\r\nid:2\ndata\n\n",
		"id: 1\rdata: one\r\rid: 2\rdata: two\r\r",
		"id: 1\rdata: one\r\r\nid: 2\r\ndata: two\n\r\n",
		"id: 1\ndata: one\n\rid: 2\ndata: two\n\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
		size_t len = strlen(streams[i]);

		for (size_t at = 0; at <= len; at++) {
			struct mh_cursor *c = mh_cursor_create(NULL, true);
			struct mh_sse *s = mh_sse_create(c, MH_IDS_UNKNOWN);
			GString *out = g_string_new(NULL);

			mh_sse_feed(s, streams[i], at, out);
			CU_ASSERT_EQUAL(out->len + mh_sse_pending_bytes(s), at);
			mh_sse_feed(s, streams[i] + at, len - at, out);
			CU_ASSERT_STRING_EQUAL(out->str, streams[i]);
			CU_ASSERT_STRING_EQUAL(mh_cursor_last_id(c), "2");
			g_string_free(out, TRUE);
			mh_sse_destroy(s);
			mh_cursor_destroy(c);
		}
	}
}

/* An event that ends with CR is passed on without waiting for a next byte. */
static void
test_ends_with_cr(void)
{
	static const char text[] = "id: 1\rdata: one\r\r";
	struct mh_cursor *c = mh_cursor_create(NULL, true);
	struct mh_sse *s = mh_sse_create(c, MH_IDS_UNKNOWN);
	GString *out = g_string_new(NULL);

	mh_sse_feed(s, text, strlen(text), out);
	CU_ASSERT_STRING_EQUAL(out->str, text);
	CU_ASSERT_EQUAL(mh_sse_pending_bytes(s), 0);
	g_string_free(out, TRUE);
	mh_sse_destroy(s);
	mh_cursor_destroy(c);
}

/* An event without an end uses no more memory than the longest one allowed. */
static void
test_event_without_end(void)
{
	struct mh_cursor *c = mh_cursor_create(NULL, true);
	struct mh_sse *s = mh_sse_create(c, MH_IDS_UNKNOWN);
	GString *out = g_string_new(NULL);
	char part[PART_BYTES];
	enum mh_sse_fault f = MH_SSE_OK;
	size_t fed;

	memset(part, 'x', sizeof(part));
	for (fed = 0; f == MH_SSE_OK && fed < 2 * MAX_EVENT; fed += PART_BYTES)
		f = mh_sse_feed(s, part, PART_BYTES, out);
	CU_ASSERT_EQUAL(f, MH_SSE_TOO_LONG);
	CU_ASSERT_EQUAL(fed, MAX_EVENT + PART_BYTES);
	CU_ASSERT_EQUAL(out->len, 0);
	g_string_free(out, TRUE);
	mh_sse_destroy(s);
	mh_cursor_destroy(c);
}

const struct test tests_sse[] = {
	{ "sse: split anywhere", test_split_anywhere },
	{ "sse: ends with CR", test_ends_with_cr },
	{ "sse: an event without an end", test_event_without_end },
	{ NULL, NULL },
};
