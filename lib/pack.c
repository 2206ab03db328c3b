/**
 * DOC: Compression of documents sent between entries.
 */

#include "mesh.h"

#include <zstd.h>

#define PACK_LEVEL 3

void
mh_bytes_clear(GBytes **b)
{
	if (*b != NULL)
		g_bytes_unref(*b);
	*b = NULL;
}

/*
 * The window covers base and document, so that any part of the base can be
 * referred to.
 */
static int
window_log(size_t len)
{
	ZSTD_bounds b = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
	int log = b.lowerBound;

	while (log < b.upperBound && ((size_t)1 << log) < len)
		log++;
	return log;
}

static bool
set_params(ZSTD_CCtx *c, size_t len, const GBytes *base)
{
	gsize n = 0;
	const void *data;

	if (ZSTD_isError(ZSTD_CCtx_setParameter(
		c, ZSTD_c_compressionLevel, PACK_LEVEL)) ||
	    ZSTD_isError(ZSTD_CCtx_setParameter(c, ZSTD_c_checksumFlag, 1)))
		return false;
	if (base == NULL)
		return true;
	data = g_bytes_get_data((GBytes *)(uintptr_t)base, &n);
	return !ZSTD_isError(ZSTD_CCtx_setParameter(
		   c, ZSTD_c_windowLog, window_log(n + len))) &&
	    !ZSTD_isError(ZSTD_CCtx_refPrefix(c, data, n));
}

GBytes *
mh_pack(GBytes *doc, const GBytes *base)
{
	gsize len;
	const void *data = g_bytes_get_data(doc, &len);
	size_t n = ZSTD_compressBound(len);
	ZSTD_CCtx *c = ZSTD_createCCtx();
	uint8_t *out = g_malloc(n);
	bool ok = false;

	if (c == NULL || len == 0 || !set_params(c, len, base))
		goto done;
	n = ZSTD_compress2(c, out, n, data, len);
	ok = !ZSTD_isError(n);
done:
	ZSTD_freeCCtx(c);
	if (ok)
		return g_bytes_new_take(g_realloc(out, n), n);
	g_free(out);
	return NULL;
}

GBytes *
mh_unpack(const void *data, size_t len, size_t most, const GBytes *base)
{
	unsigned long long size = ZSTD_getFrameContentSize(data, len);
	ZSTD_DCtx *c = NULL;
	uint8_t *out = NULL;
	gsize n = 0;
	bool ok = false;

	/*
	 * ZSTD_CONTENTSIZE_UNKNOWN and ZSTD_CONTENTSIZE_ERROR are the largest
	 * values.
	 */
	if (size == 0 || size > most)
		goto done;
	c = ZSTD_createDCtx();
	out = g_malloc(size);
	if (c == NULL)
		goto done;
	if (base != NULL) {
		const void *p = g_bytes_get_data((GBytes *)(uintptr_t)base, &n);

		if (ZSTD_isError(ZSTD_DCtx_refPrefix(c, p, n)))
			goto done;
	}
	ok = ZSTD_decompressDCtx(c, out, size, data, len) == size;
done:
	ZSTD_freeDCtx(c);
	if (ok)
		return g_bytes_new_take(out, size);
	g_free(out);
	return NULL;
}
