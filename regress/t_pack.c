/**
 * DOC: Documents packed for the way between entries.
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

static GBytes *
packed_of(GBytes *text)
{
	return mh_pack(g_bytes_get_data(text, NULL), g_bytes_get_size(text));
}

/* Guards against a document that comes out otherwise than it went in. */
static void
test_round(void)
{
	GBytes *text = sample(), *packed = packed_of(text), *back;

	CU_ASSERT(g_bytes_get_size(packed) < LEN / 3);
	back = mh_unpack(g_bytes_get_data(packed, NULL),
	    g_bytes_get_size(packed), MH_UNPACKED_MOST);
	CU_ASSERT_PTR_NOT_NULL_FATAL(back);
	CU_ASSERT_TRUE(g_bytes_equal(text, back));
	CU_ASSERT_PTR_NULL(mh_pack("", 0));
	g_bytes_unref(back);
	g_bytes_unref(packed);
	g_bytes_unref(text);
}

/* Guards against a torn, overlong or foreign document that is taken. */
static void
test_odd(void)
{
	GBytes *text = sample(), *packed = packed_of(text), *back;
	const uint8_t *data = g_bytes_get_data(packed, NULL);
	size_t len = g_bytes_get_size(packed);
	uint8_t *more = g_malloc0(len + 1);

	memcpy(more, data, len);
	CU_ASSERT_PTR_NULL(mh_unpack(data, len - 1, MH_UNPACKED_MOST));
	CU_ASSERT_PTR_NULL(mh_unpack(more, len + 1, MH_UNPACKED_MOST));
	CU_ASSERT_PTR_NULL(mh_unpack(data, len, LEN - 1));
	CU_ASSERT_PTR_NULL(mh_unpack(data, 0, MH_UNPACKED_MOST));
	CU_ASSERT_PTR_NULL(mh_unpack("{\"version\":3}", 13, MH_UNPACKED_MOST));
	back = mh_unpack(data, len, LEN);
	CU_ASSERT_PTR_NOT_NULL(back);
	g_clear_pointer(&back, g_bytes_unref);
	g_free(more);
	g_bytes_unref(packed);
	g_bytes_unref(text);
}

/* Guards against bytes turned over on the way: another document, or a fall. */
static void
test_flipped(void)
{
	GBytes *text = sample(), *packed = packed_of(text);
	gsize len;
	const uint8_t *data = g_bytes_get_data(packed, &len);
	uint8_t *bad = g_memdup2(data, len);
	GRand *rnd = g_rand_new_with_seed(7);

	for (int i = 0; i < FLIPS; i++) {
		gint32 at = g_rand_int_range(rnd, 0, (gint32)len);
		uint8_t bit = (uint8_t)(1U << g_rand_int_range(rnd, 0, 8));
		GBytes *back;

		bad[at] ^= bit;
		back = mh_unpack(bad, len, 2 * LEN);
		CU_ASSERT_TRUE(back == NULL || g_bytes_equal(text, back));
		g_clear_pointer(&back, g_bytes_unref);
		bad[at] ^= bit;
	}
	g_rand_free(rnd);
	g_free(bad);
	g_bytes_unref(packed);
	g_bytes_unref(text);
}

const struct test tests_pack[] = {
	{ "pack: there and back", test_round },
	{ "pack: torn, overlong, foreign", test_odd },
	{ "pack: bits turned over", test_flipped },
	{ NULL, NULL },
};
