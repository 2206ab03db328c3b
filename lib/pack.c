/**
 * DOC: Documents packed for the way between entries.
 */

#include "mesh.h"

#include <zlib.h>

/* Most of the gain at a third of the time of the default. */
#define PACK_LEVEL 3
/* What is unpacked grows by so much at first. */
#define UNPACK_FIRST (64U << 10)

GBytes *
mh_pack(const void *data, size_t len)
{
	uLongf n = compressBound(len);
	uint8_t *out = g_malloc(n);

	if (len == 0 || compress2(out, &n, data, len, PACK_LEVEL) != Z_OK) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(out, n), n);
}

/* Whether the whole stream was there and fits. */
static bool
inflate_all(z_stream *z, GByteArray *out, size_t most)
{
	int rv = Z_OK;

	while (rv == Z_OK) {
		guint was = out->len;
		guint room = MIN(MAX(was, UNPACK_FIRST), most + 1 - was);

		if (was > most)
			return false;
		g_byte_array_set_size(out, was + room);
		z->next_out = out->data + was;
		z->avail_out = room;
		rv = inflate(z, Z_NO_FLUSH);
		g_byte_array_set_size(out, was + room - z->avail_out);
	}
	return rv == Z_STREAM_END && z->avail_in == 0 && out->len <= most;
}

GBytes *
mh_unpack(const void *data, size_t len, size_t most)
{
	z_stream z = { 0 };
	GByteArray *out;
	bool whole;

	if (len == 0 || len > UINT32_MAX || inflateInit(&z) != Z_OK)
		return NULL;
	out = g_byte_array_new();
	z.next_in = (uint8_t *)(uintptr_t)data;
	z.avail_in = (uInt)len;
	whole = inflate_all(&z, out, most);
	(void)inflateEnd(&z);
	if (!whole) {
		g_byte_array_unref(out);
		return NULL;
	}
	return g_byte_array_free_to_bytes(out);
}
