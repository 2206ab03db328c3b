/**
 * DOC: A document's last texts, and what changed from each to the latest.
 *
 * Who has one of these texts is sent the change alone, so that what a change
 * costs does not grow with the document.
 */

#include "mesh.h"

/* Texts kept at most; who has an older one is sent the whole. */
#define TEXTS_MOST 8
#define BYTES_MOST (4U << 20)

struct text {
	uint64_t revision;
	GBytes *bytes;
	GBytes *packed; /* the latest by this one; NULL: not asked for yet */
};

struct mh_past {
	struct text t[TEXTS_MOST]; /* the latest first */
	uint32_t n;
	GBytes *packed; /* the latest alone */
};

struct mh_past *
mh_past_create(void)
{
	return g_new0(struct mh_past, 1);
}

static void
drop_last(struct mh_past *p)
{
	struct text *t = &p->t[--p->n];

	mh_bytes_clear(&t->bytes);
	mh_bytes_clear(&t->packed);
}

void
mh_past_destroy(struct mh_past *p)
{
	if (p == NULL)
		return;
	while (p->n > 0)
		drop_last(p);
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
	while (
	    p->n == TEXTS_MOST || (p->n > 1 && bytes_of(p) + len > BYTES_MOST))
		drop_last(p);
	for (uint32_t i = p->n; i > 0; i--)
		p->t[i] = p->t[i - 1];
	p->t[0] = (struct text) { revision, g_bytes_new(data, len), NULL };
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

/* Packs the latest into @packed where it is not there yet. */
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
