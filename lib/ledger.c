/**
 * DOC: The at-most-once ledger beside an endpoint.
 *
 * Deciding and entering a key as running is one local step, so two calls
 * with one key cannot both start.  What the ledger cannot remember it never
 * runs: each partition has a bound, and keys stamped at or before it are
 * "unknown, not repeated" (timestamped identifiers and loosely synchronised
 * clocks, after Liskov, Shrira and Wroclawski, 1991).
 */

#include "marlhoist.h"

#include <string.h>

/** struct mark - requests with this key, up to this one, never run here. */
struct mark {
	char *key;
	uint8_t request[MH_ID_LEN];
	int64_t at_ms;
};

struct mh_ledger {
	uint32_t limit;
	GHashTable *marks; /* key -> struct mark */
	GQueue mark_order; /* oldest first */
	uint8_t floor[MH_ID_LEN]; /* no request up to this id runs here */
	GHashTable *rows; /* key -> struct mh_ledger_row */
	GQueue order; /* oldest first */
	bool open[MH_PARTITIONS];
	int64_t bound_ms[MH_PARTITIONS];
};

static void
free_row(void *arg)
{
	struct mh_ledger_row *r = arg;

	g_free(r->key);
	if (r->body != NULL)
		g_bytes_unref(r->body);
	g_free(r);
}

static void
free_mark(void *arg)
{
	struct mark *m = arg;

	g_free(m->key);
	g_free(m);
}

struct mh_ledger *
mh_ledger_create(uint32_t limit)
{
	struct mh_ledger *l = g_new0(struct mh_ledger, 1);

	l->limit = limit;
	l->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	l->marks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_mark);
	g_queue_init(&l->mark_order);
	g_queue_init(&l->order);
	return l;
}

void
mh_ledger_destroy(struct mh_ledger *l)
{
	g_queue_clear(&l->order);
	g_queue_clear(&l->mark_order);
	g_hash_table_destroy(l->rows);
	g_hash_table_destroy(l->marks);
	g_free(l);
}

uint32_t
mh_ledger_len(const struct mh_ledger *l)
{
	return g_hash_table_size(l->rows);
}

static void
drop(struct mh_ledger *l, struct mh_ledger_row *r)
{
	g_queue_remove(&l->order, r);
	g_hash_table_remove(l->rows, r->key);
}

void
mh_ledger_open(struct mh_ledger *l, uint32_t p, int64_t bound_ms)
{
	l->open[p] = true;
	l->bound_ms[p] = MAX(l->bound_ms[p], bound_ms);
}

void
mh_ledger_close(struct mh_ledger *l, uint32_t p)
{
	GPtrArray *rows = mh_ledger_rows(l, p);

	for (guint i = 0; i < rows->len; i++)
		drop(l, rows->pdata[i]);
	g_ptr_array_free(rows, TRUE);
	l->open[p] = false;
	l->bound_ms[p] = 0;
}

int64_t
mh_ledger_bound(const struct mh_ledger *l, uint32_t p)
{
	return l->bound_ms[p];
}

/* The time in a key ORGANISATION/UUIDv7, or -1 for an opaque key. */
static int64_t
stamp_of(const char *key)
{
	const char *raw = strchr(key, '/');

	return mh_uuid7_ms(raw == NULL ? key : raw + 1);
}

/*
 * A full ledger forgets its oldest ended rows; the bound rises with them,
 * so a forgotten key is refused rather than run a second time.
 */
static void
make_room(struct mh_ledger *l)
{
	for (GList *n = l->order.head;
	     n != NULL && g_hash_table_size(l->rows) >= l->limit;) {
		struct mh_ledger_row *r = n->data;

		n = n->next;
		if (r->outcome == MH__OUTCOME__RUNNING)
			continue;
		l->bound_ms[r->partition] =
		    MAX(l->bound_ms[r->partition], r->stamp_ms);
		drop(l, r);
	}
}

static struct mh_ledger_row *
add_row(struct mh_ledger *l, uint32_t p, const char *key, int64_t stamp_ms)
{
	struct mh_ledger_row *r = g_new0(struct mh_ledger_row, 1);

	make_room(l);
	r->key = g_strdup(key);
	r->partition = p;
	r->stamp_ms = stamp_ms;
	g_hash_table_insert(l->rows, r->key, r);
	g_queue_push_tail(&l->order, r);
	return r;
}

static enum mh_ledger_verdict
ask_known(struct mh_ledger_row *r, const struct mh_ledger_ask *a)
{
	if (r->body_hash != 0 && r->body_hash != a->body_hash)
		return MH_LEDGER_MISMATCH;
	switch (r->outcome) {
	case MH__OUTCOME__RUNNING:
		return MH_LEDGER_ATTACH;
	case MH__OUTCOME__DONE:
		return MH_LEDGER_DONE;
	case MH__OUTCOME__NOT_RUN:
		return MH_LEDGER_REVOKED;
	default:
		return MH_LEDGER_UNKNOWN;
	}
}

static enum mh_ledger_verdict
ask_stamped(
    struct mh_ledger *l, const struct mh_ledger_ask *a, int64_t stamp_ms)
{
	if (stamp_ms > a->now_ms + a->skew_ms)
		return MH_LEDGER_FUTURE;
	if (stamp_ms <= l->bound_ms[a->partition] ||
	    stamp_ms < a->now_ms - a->retention_ms)
		return MH_LEDGER_UNKNOWN;
	return MH_LEDGER_RUN;
}

/*
 * An opaque key tells no time, so nothing proves that it is new to a ledger
 * that does not cover the whole retention time: it may have run before the
 * restart, takeover or eviction that the bound tells of.
 */
static enum mh_ledger_verdict
ask_opaque(struct mh_ledger *l, const struct mh_ledger_ask *a)
{
	int64_t bound = l->bound_ms[a->partition];

	if (bound == 0 || bound < a->now_ms - a->retention_ms)
		return MH_LEDGER_RUN;
	return MH_LEDGER_UNKNOWN;
}

/*
 * A copy of a call that was told "not run" may still stand in a dead
 * connection.  Requests are ordered by id: up to the marked one none ever
 * runs here, a later one is the caller asking again and is judged anew.
 */
static bool
marked(struct mh_ledger *l, const struct mh_ledger_ask *a)
{
	const struct mark *m = g_hash_table_lookup(l->marks, a->key);

	if (memcmp(a->request, l->floor, MH_ID_LEN) <= 0)
		return true;
	return m != NULL && memcmp(a->request, m->request, MH_ID_LEN) <= 0;
}

enum mh_ledger_verdict
mh_ledger_ask(struct mh_ledger *l, const struct mh_ledger_ask *a)
{
	struct mh_ledger_row *r = g_hash_table_lookup(l->rows, a->key);
	int64_t stamp_ms = stamp_of(a->key);
	enum mh_ledger_verdict v;

	if (marked(l, a))
		return MH_LEDGER_MARKED;
	if (r != NULL)
		return ask_known(r, a);
	v = stamp_ms >= 0 ? ask_stamped(l, a, stamp_ms) : ask_opaque(l, a);
	if (v != MH_LEDGER_RUN)
		return v;
	r = add_row(
	    l, a->partition, a->key, stamp_ms >= 0 ? stamp_ms : a->now_ms);
	r->outcome = MH__OUTCOME__RUNNING;
	r->body_hash = a->body_hash;
	return MH_LEDGER_RUN;
}

static void
raise_to(uint8_t *id, const uint8_t *request)
{
	if (memcmp(request, id, MH_ID_LEN) > 0)
		memcpy(id, request, MH_ID_LEN);
}

/*
 * Marks are bounded in number.  What is forgotten raises the floor: request
 * ids grow with time, so only requests about as old are refused with it.
 */
static void
forget_mark(struct mh_ledger *l, bool raise)
{
	struct mark *m = g_queue_pop_head(&l->mark_order);

	if (raise)
		raise_to(l->floor, m->request);
	g_hash_table_remove(l->marks, m->key);
}

void
mh_ledger_refuse(struct mh_ledger *l, const char *key, const uint8_t *request,
    int64_t now_ms)
{
	struct mark *m = g_hash_table_lookup(l->marks, key);

	if (m == NULL) {
		if (g_hash_table_size(l->marks) >= l->limit)
			forget_mark(l, true);
		m = g_new0(struct mark, 1);
		m->key = g_strdup(key);
		g_hash_table_insert(l->marks, m->key, m);
	} else {
		g_queue_remove(&l->mark_order, m);
	}
	m->at_ms = now_ms;
	raise_to(m->request, request);
	g_queue_push_tail(&l->mark_order, m);
}

void
mh_ledger_undo(struct mh_ledger *l, const char *key)
{
	struct mh_ledger_row *r = g_hash_table_lookup(l->rows, key);

	if (r != NULL && r->outcome == MH__OUTCOME__RUNNING)
		drop(l, r);
}

void
mh_ledger_end(struct mh_ledger *l, const char *key, Mh__Outcome outcome,
    uint32_t status, GBytes *body)
{
	struct mh_ledger_row *r = g_hash_table_lookup(l->rows, key);

	if (r == NULL)
		return;
	r->outcome = outcome;
	r->status = status;
	if (r->body != NULL)
		g_bytes_unref(r->body);
	r->body = body == NULL ? NULL : g_bytes_ref(body);
}

bool
mh_ledger_may_have_run(const struct mh_ledger *l, uint32_t p, const char *key)
{
	int64_t stamp_ms = stamp_of(key);

	if (stamp_ms >= 0)
		return stamp_ms <= l->bound_ms[p];
	return l->bound_ms[p] != 0;
}

Mh__Outcome
mh_ledger_known(const struct mh_ledger *l, uint32_t p, const char *key)
{
	const struct mh_ledger_row *r = mh_ledger_find(l, key);

	if (r != NULL)
		return r->outcome;
	return mh_ledger_may_have_run(l, p, key) ? MH__OUTCOME__UNKNOWN
						 : MH__OUTCOME__NOT_RUN;
}

const struct mh_ledger_row *
mh_ledger_revoke(
    struct mh_ledger *l, uint32_t p, const char *key, int64_t now_ms)
{
	struct mh_ledger_row *r = g_hash_table_lookup(l->rows, key);
	int64_t stamp_ms = stamp_of(key);

	if (r == NULL) {
		/* Before the bound it may have run: nothing to promise. */
		if (mh_ledger_may_have_run(l, p, key))
			return NULL;
		r = add_row(l, p, key, stamp_ms >= 0 ? stamp_ms : now_ms);
		r->outcome = MH__OUTCOME__NOT_RUN;
	}
	return r;
}

const struct mh_ledger_row *
mh_ledger_find(const struct mh_ledger *l, const char *key)
{
	return g_hash_table_lookup(l->rows, key);
}

void
mh_ledger_expire(struct mh_ledger *l, int64_t now_ms, int64_t retention_ms)
{
	struct mh_ledger_row *r;
	struct mark *m;
	int64_t before_ms = now_ms - retention_ms;

	while ((m = g_queue_peek_head(&l->mark_order)) != NULL &&
	    m->at_ms < before_ms)
		forget_mark(l, false);
	while ((r = g_queue_peek_head(&l->order)) != NULL &&
	    r->stamp_ms < before_ms && r->outcome != MH__OUTCOME__RUNNING)
		drop(l, r);
}

GPtrArray *
mh_ledger_rows(const struct mh_ledger *l, uint32_t p)
{
	GPtrArray *a = g_ptr_array_new();

	for (GList *n = l->order.head; n != NULL; n = n->next) {
		if (((struct mh_ledger_row *)n->data)->partition == p)
			g_ptr_array_add(a, n->data);
	}
	return a;
}

void
mh_ledger_add(struct mh_ledger *l, uint32_t p, const Mh__LedgerEntry *e)
{
	struct mh_ledger_row *r = g_hash_table_lookup(l->rows, e->key);

	if (r == NULL)
		r = add_row(l, p, e->key, (int64_t)e->stamp_ms);
	/* What still ran at the old owner may have ended either way. */
	r->outcome = e->outcome == MH__OUTCOME__RUNNING ? MH__OUTCOME__UNKNOWN
							: e->outcome;
	r->status = e->status;
	r->body_hash = e->body_hash;
	if (r->body != NULL)
		g_bytes_unref(r->body);
	r->body =
	    e->body.len == 0 ? NULL : g_bytes_new(e->body.data, e->body.len);
}
