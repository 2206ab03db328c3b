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

struct mh_past {
	struct revision t[MAX_REVISIONS]; /* latest first */
	uint32_t n;
	GBytes *packed; /* the latest text packed without a base */
};

struct mh_past *
mh_past_create(void)
{
	return g_new0(struct mh_past, 1);
}

static void
drop_oldest(struct mh_past *p)
{
	struct revision *t = &p->t[--p->n];

	mh_bytes_clear(&t->bytes);
	mh_bytes_clear(&t->packed);
}

void
mh_past_destroy(struct mh_past *p)
{
	if (p == NULL)
		return;
	while (p->n > 0)
		drop_oldest(p);
	mh_bytes_clear(&p->packed);
	g_free(p);
}

static size_t
bytes_of(const struct mh_past *p)
{
	size_t sum = 0;

	for (uint32_t i = 0; i < p->n; i++)
		sum += g_bytes_get_size(p->t[i].bytes);
	return sum;
}

void
mh_past_add(struct mh_past *p, uint64_t revision, const char *data, size_t len)
{
	for (uint32_t i = 0; i < p->n; i++)
		mh_bytes_clear(&p->t[i].packed);
	mh_bytes_clear(&p->packed);
	while (p->n == MAX_REVISIONS ||
	    (p->n > 1 && bytes_of(p) + len > MAX_BYTES))
		drop_oldest(p);
	for (uint32_t i = p->n; i > 0; i--)
		p->t[i] = p->t[i - 1];
	p->t[0] = (struct revision) { revision, g_bytes_new(data, len), NULL };
	p->n++;
}

GBytes *
mh_past_text(const struct mh_past *p, uint64_t revision)
{
	for (uint32_t i = 0; i < p->n; i++) {
		if (p->t[i].revision == revision)
			return p->t[i].bytes;
	}
	return NULL;
}

GBytes *
mh_past_latest(const struct mh_past *p)
{
	return p->n == 0 ? NULL : p->t[0].bytes;
}

/* Packs the latest text into @packed unless it already is there. */
static GBytes *
pack_latest(const struct mh_past *p, GBytes **packed, const GBytes *base)
{
	if (*packed == NULL)
		*packed = mh_pack(p->t[0].bytes, base);
	return *packed == NULL ? NULL : g_bytes_ref(*packed);
}

GBytes *
mh_past_packed(struct mh_past *p, uint64_t since, uint64_t *base)
{
	*base = 0;
	if (p->n == 0)
		return NULL;
	for (uint32_t i = 1; i < p->n; i++) {
		if (p->t[i].revision != since)
			continue;
		*base = since;
		return pack_latest(p, &p->t[i].packed, p->t[i].bytes);
	}
	return pack_latest(p, &p->packed, NULL);
}
