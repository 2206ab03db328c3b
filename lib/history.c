/**
 * DOC: Recent revisions of a document, and the changes from each to the latest.
 *
 * A receiver that has one of these revisions is sent the change alone, so that
 * the cost of a change doesn't grow with the document.
 */

#include "mesh.h"

/*
 * Revisions kept at most; a receiver with an older one is sent the whole text.
 */
#define MAX_REVISIONS 8
#define MAX_BYTES (4U << 20)

struct revision {
	uint64_t revision;
	GBytes *bytes;
	GBytes *packed; /* latest text against it; NULL: none yet */
};

struct mh_history {
	struct revision revisions[MAX_REVISIONS]; /* latest first */
	uint32_t n;
	GBytes *packed; /* the latest text packed without a base */
};

struct mh_history *
mh_history_create(void)
{
	return g_new0(struct mh_history, 1);
}

static void
drop_oldest(struct mh_history *p)
{
	struct revision *t = &p->revisions[--p->n];

	mh_bytes_clear(&t->bytes);
	mh_bytes_clear(&t->packed);
}

void
mh_history_destroy(struct mh_history *p)
{
	if (p == NULL)
		return;
	while (p->n > 0)
		drop_oldest(p);
	mh_bytes_clear(&p->packed);
	g_free(p);
}

static size_t
bytes_of(const struct mh_history *p)
{
	size_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		sum += g_bytes_get_size(p->revisions[i].bytes);
	return sum;
}

void
mh_history_add(
    struct mh_history *p, uint64_t revision, const char *data, size_t len)
{
	for (uint32_t i = 0; i < p->n; i++)
		mh_bytes_clear(&p->revisions[i].packed);
	mh_bytes_clear(&p->packed);
	while (p->n == MAX_REVISIONS ||
	    (p->n > 1 && bytes_of(p) + len > MAX_BYTES))
		drop_oldest(p);
	for (uint32_t i = p->n; i > 0; i--)
		p->revisions[i] = p->revisions[i - 1];
	p->revisions[0] =
	    (struct revision) { revision, g_bytes_new(data, len), NULL };
	p->n++;
}

GBytes *
mh_history_text(const struct mh_history *p, uint64_t revision)
{
	for (uint32_t i = 0; i < p->n; i++) {
		if (p->revisions[i].revision == revision)
			return p->revisions[i].bytes;
	}
	return NULL;
}

GBytes *
mh_history_latest(const struct mh_history *p)
{
	return p->n == 0 ? NULL : p->revisions[0].bytes;
}

/* Packs the latest text into @packed unless it already is there. */
static GBytes *
pack_latest(const struct mh_history *p, GBytes **packed, const GBytes *base)
{
	if (*packed == NULL)
		*packed = mh_pack(p->revisions[0].bytes, base);
	return *packed == NULL ? NULL : g_bytes_ref(*packed);
}

GBytes *
mh_history_packed(struct mh_history *p, uint64_t since, uint64_t *base)
{
	*base = 0;
	if (p->n == 0)
		return NULL;
	for (uint32_t i = 1; i < p->n; i++) {
		if (p->revisions[i].revision != since)
			continue;
		*base = since;
		return pack_latest(
		    p, &p->revisions[i].packed, p->revisions[i].bytes);
	}
	return pack_latest(p, &p->packed, NULL);
}
