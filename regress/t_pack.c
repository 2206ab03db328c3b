/**
 * DOC: Compression of documents sent between entries, and their revision
 * history.
 */

#include "mesh.h"
#include "regress.h"

#include <string.h>

#define LEN 300000
#define FLIPS 2000

static GBytes *
sample(void)
{
	GString *s = g_string_new(NULL);

	for (uint32_t i = 0; s->len < LEN; i++)
		g_string_append_printf(s, "{\"name\":\"r%u\"}", i * 7919);
	g_string_truncate(s, LEN);
	return g_string_free_to_bytes(s);
}

/* Guards against an unpacked document that differs from the packed one. */
static void
test_round_trip(void)
{
	GBytes *text = sample(), *packed = mh_pack(text, NULL), *back;
	GBytes *nothing = g_bytes_new(NULL, 0);

	CU_ASSERT(g_bytes_get_size(packed) < LEN / 3);
	back = mh_unpack(g_bytes_get_data(packed, NULL),
	    g_bytes_get_size(packed), MH_UNPACKED_MAX, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(back);
	CU_ASSERT_TRUE(g_bytes_equal(text, back));
	CU_ASSERT_PTR_NULL(mh_pack(nothing, NULL));
	g_bytes_unref(nothing);
	g_bytes_unref(back);
	g_bytes_unref(packed);
	g_bytes_unref(text);
}

/* Guards against accepting data that is truncated, too long or not packed. */
static void
test_malformed(void)
{
	GBytes *text = sample(), *packed = mh_pack(text, NULL), *back;
	const uint8_t *data = g_bytes_get_data(packed, NULL);
	size_t len = g_bytes_get_size(packed);
	uint8_t *more = g_malloc0(len + 1);

	memcpy(more, data, len);
	CU_ASSERT_PTR_NULL(mh_unpack(data, len - 1, MH_UNPACKED_MAX, NULL));
	CU_ASSERT_PTR_NULL(mh_unpack(more, len + 1, MH_UNPACKED_MAX, NULL));
	CU_ASSERT_PTR_NULL(mh_unpack(data, len, LEN - 1, NULL));
	CU_ASSERT_PTR_NULL(mh_unpack(data, 0, MH_UNPACKED_MAX, NULL));
	CU_ASSERT_PTR_NULL(
	    mh_unpack("{\"version\":3}", 13, MH_UNPACKED_MAX, NULL));
	back = mh_unpack(data, len, LEN, NULL);
	CU_ASSERT_PTR_NOT_NULL(back);
	mh_bytes_clear(&back);
	g_free(more);
	g_bytes_unref(packed);
	g_bytes_unref(text);
}

/* Guards against a crash or a wrong document after a bit error. */
static void
test_bit_errors(void)
{
	GBytes *text = sample(), *packed = mh_pack(text, NULL);
	gsize len;
	const uint8_t *data = g_bytes_get_data(packed, &len);
	uint8_t *bad = g_memdup2(data, len);
	GRand *rnd = g_rand_new_with_seed(7);

	for (int i = 0; i < FLIPS; i++) {
		gint32 at = g_rand_int_range(rnd, 0, (gint32)len);
		uint8_t bit = (uint8_t)(1U << g_rand_int_range(rnd, 0, 8));
		GBytes *back;

		bad[at] ^= bit;
		back = mh_unpack(bad, len, 2 * LEN, NULL);
		CU_ASSERT_TRUE(back == NULL || g_bytes_equal(text, back));
		mh_bytes_clear(&back);
		bad[at] ^= bit;
	}
	g_rand_free(rnd);
	g_free(bad);
	g_bytes_unref(packed);
	g_bytes_unref(text);
}

/* Guards against a delta whose size grows with the document. */
static void
test_delta(void)
{
	static const size_t lens[] = { LEN, 4 * LEN };
	size_t bytes[2];

	for (size_t i = 0; i < 2; i++) {
		struct mh_history *p = mh_history_create();
		GString *s = g_string_new("{\"version\":3}");
		GBytes *packed, *back;
		uint64_t base;

		for (uint32_t n = 0; s->len < lens[i]; n++)
			g_string_append_printf(
			    s, "{\"name\":\"r%u\"}", n * 7919);
		mh_history_add(p, 5, s->str, s->len);
		s->str[11] = '4';
		g_string_insert(s, (gssize)s->len / 2, "{\"name\":\"new\"}");
		mh_history_add(p, 6, s->str, s->len);
		packed = mh_history_packed(p, 5, &base);
		CU_ASSERT_EQUAL(base, 5);
		bytes[i] = g_bytes_get_size(packed);
		CU_ASSERT(bytes[i] < lens[i] / 1000);
		back = mh_unpack(g_bytes_get_data(packed, NULL), bytes[i],
		    MH_UNPACKED_MAX, mh_history_text(p, 5));
		CU_ASSERT_PTR_NOT_NULL_FATAL(back);
		CU_ASSERT_TRUE(g_bytes_equal(back, mh_history_latest(p)));
		g_bytes_unref(back);
		/* with another base: NULL and not a wrong document */
		back = mh_unpack(g_bytes_get_data(packed, NULL), bytes[i],
		    MH_UNPACKED_MAX, mh_history_text(p, 6));
		CU_ASSERT_PTR_NULL(back);
		g_bytes_unref(packed);
		packed = mh_history_packed(p, 4, &base);
		CU_ASSERT_EQUAL(base, 0);
		CU_ASSERT(g_bytes_get_size(packed) > 20 * bytes[i]);
		g_bytes_unref(packed);
		g_string_free(s, TRUE);
		mh_history_destroy(p);
	}
}

/* Guards against a history that grows without limit. */
static void
test_history_is_bounded(void)
{
	struct mh_history *p = mh_history_create();
	char *text = g_strnfill(1 << 20, 'x');
	uint64_t base;
	GBytes *packed;

	CU_ASSERT_PTR_NULL(mh_history_latest(p));
	CU_ASSERT_PTR_NULL(mh_history_packed(p, 0, &base));
	for (uint64_t v = 1; v <= 20; v++)
		mh_history_add(p, v, text, v < 10 ? 10 : 1 << 20);
	CU_ASSERT_PTR_NULL(mh_history_text(p, 16));
	CU_ASSERT_PTR_NOT_NULL(mh_history_text(p, 17));
	packed = mh_history_packed(
	    p, 20, &base); /* a receiver that has the latest */
	CU_ASSERT_EQUAL(base, 0);
	g_bytes_unref(packed);
	g_free(text);
	mh_history_destroy(p);
}

const struct test tests_pack[] = {
	{ "pack: round trip", test_round_trip },
	{ "pack: malformed data", test_malformed },
	{ "pack: bit errors", test_bit_errors },
	{ "pack: delta", test_delta },
	{ "pack: history is bounded", test_history_is_bounded },
	{ NULL, NULL },
};
