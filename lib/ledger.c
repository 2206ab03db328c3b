/**
 * DOC: The at-most-once ledger of a side process.
 *
 * A key is checked and entered as running in one local step, so two calls with
 * the same key cannot both start.  A key that the ledger may have forgotten is
 * not run: each partition has a bound, and keys with a timestamp up to it have
 * the outcome "unknown" (timestamped identifiers and loosely synchronised
 * clocks, after Liskov, Shrira and Wroclawski, 1991).
 */

#include "marlhoist.h"

#include <string.h>

/** struct refusal - requests with this key up to this id never run here. */
struct refusal {
	char *key;
	uint8_t request[MH_ID_LEN];
	int64_t at_ms;
};

struct mh_ledger {
	uint32_t limit;
	GHashTable *refusals; /* key -> struct refusal */
	GQueue refusal_order; /* oldest first */
	uint8_t refused_floor[MH_ID_LEN]; /* ids up to it never run here */
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
free_refusal(void *arg)
{
	struct refusal *m = arg;

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
	l->refusals =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_refusal);
	g_queue_init(&l->refusal_order);
	g_queue_init(&l->order);
	return l;
}

void
mh_ledger_destroy(struct mh_ledger *l)
{
	g_queue_clear(&l->order);
	g_queue_clear(&l->refusal_order);
	g_hash_table_destroy(l->rows);
	g_hash_table_destroy(l->refusals);
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

/* The timestamp of a key ORGANISATION/UUIDv7, or -1 for an opaque key. */
static int64_t
key_timestamp(const char *key)
{
	const char *raw = strchr(key, '/');

	return mh_uuid7_ms(raw == NULL ? key : raw + 1);
}

/*
 * Evicts the oldest completed rows of a full ledger.  The bound is raised to
 * their timestamps, so that an evicted key is refused and not run again.
 */
static void
evict_rows(struct mh_ledger *l)
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

	evict_rows(l);
	r->key = g_strdup(key);
	r->partition = p;
	r->stamp_ms = stamp_ms;
	g_hash_table_insert(l->rows, r->key, r);
	g_queue_push_tail(&l->order, r);
	return r;
}

static enum mh_ledger_verdict
check_known(struct mh_ledger_row *r, const struct mh_ledger_request *a)
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
check_timestamped(
    struct mh_ledger *l, const struct mh_ledger_request *a, int64_t stamp_ms)
{
	if (stamp_ms > a->now_ms + a->skew_ms)
		return MH_LEDGER_FUTURE;
	if (stamp_ms <= l->bound_ms[a->partition] ||
	    stamp_ms < a->now_ms - a->retention_ms)
		return MH_LEDGER_UNKNOWN;
	return MH_LEDGER_RUN;
}

/*
 * An opaque key has no timestamp, so a ledger that does not cover the whole
 * retention time cannot show that the key is new: it may have run before the
 * restart, takeover or eviction that set the bound.
 */
static enum mh_ledger_verdict
check_opaque(struct mh_ledger *l, const struct mh_ledger_request *a)
{
	int64_t bound = l->bound_ms[a->partition];

	if (bound == 0 || bound < a->now_ms - a->retention_ms)
		return MH_LEDGER_RUN;
	return MH_LEDGER_UNKNOWN;
}

/*
 * A copy of a call that was refused as "not run" may still arrive from a broken
 * connection.  Request ids are ordered by time: none up to the refused id ever
 * runs here.  A later id is a retry by the caller and is checked again.
 */
static bool
is_refused(struct mh_ledger *l, const struct mh_ledger_request *a)
{
	const struct refusal *m = g_hash_table_lookup(l->refusals, a->key);

	if (memcmp(a->request, l->refused_floor, MH_ID_LEN) <= 0)
		return true;
	return m != NULL && memcmp(a->request, m->request, MH_ID_LEN) <= 0;
}

enum mh_ledger_verdict
mh_ledger_request(struct mh_ledger *l, const struct mh_ledger_request *a)
{
	struct mh_ledger_row *r = g_hash_table_lookup(l->rows, a->key);
	int64_t stamp_ms = key_timestamp(a->key);
	enum mh_ledger_verdict v;

	if (is_refused(l, a))
		return MH_LEDGER_REFUSED;
	if (r != NULL)
		return check_known(r, a);
	v = stamp_ms >= 0 ? check_timestamped(l, a, stamp_ms)
			  : check_opaque(l, a);
	if (v != MH_LEDGER_RUN)
		return v;
	r = add_row(
	    l, a->partition, a->key, stamp_ms >= 0 ? stamp_ms : a->now_ms);
	r->outcome = MH__OUTCOME__RUNNING;
	r->body_hash = a->body_hash;
	return MH_LEDGER_RUN;
}

static void
raise_id(uint8_t *id, const uint8_t *request)
{
	if (memcmp(request, id, MH_ID_LEN) > 0)
		memcpy(id, request, MH_ID_LEN);
}

/*
 * The number of refusals is bounded.  Evicting one raises the floor to its
 * request id.  Ids increase with time, so this refuses only requests that are
 * about as old or older.
 */
static void
evict_refusal(struct mh_ledger *l, bool raise)
{
	struct refusal *m = g_queue_pop_head(&l->refusal_order);

	if (raise)
		raise_id(l->refused_floor, m->request);
	g_hash_table_remove(l->refusals, m->key);
}

void
mh_ledger_refuse(struct mh_ledger *l, const char *key, const uint8_t *request,
    int64_t now_ms)
{
	struct refusal *m = g_hash_table_lookup(l->refusals, key);

	if (m == NULL) {
		if (g_hash_table_size(l->refusals) >= l->limit)
			evict_refusal(l, true);
		m = g_new0(struct refusal, 1);
		m->key = g_strdup(key);
		g_hash_table_insert(l->refusals, m->key, m);
	} else {
		g_queue_remove(&l->refusal_order, m);
	}
	m->at_ms = now_ms;
	raise_id(m->request, request);
	g_queue_push_tail(&l->refusal_order, m);
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
	int64_t stamp_ms = key_timestamp(key);

	if (stamp_ms >= 0)
		return stamp_ms <= l->bound_ms[p];
	return l->bound_ms[p] != 0;
}

Mh__Outcome
mh_ledger_outcome(const struct mh_ledger *l, uint32_t p, const char *key)
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
	int64_t stamp_ms = key_timestamp(key);

	if (r == NULL) {
		/* The key may have run: "not run" cannot be promised. */
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
	struct refusal *m;
	int64_t before_ms = now_ms - retention_ms;

	while ((m = g_queue_peek_head(&l->refusal_order)) != NULL &&
	    m->at_ms < before_ms)
		evict_refusal(l, false);
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
	/* A call that ran at the old owner may have completed or failed. */
	r->outcome = e->outcome == MH__OUTCOME__RUNNING ? MH__OUTCOME__UNKNOWN
							: e->outcome;
	r->status = e->status;
	r->body_hash = e->body_hash;
	if (r->body != NULL)
		g_bytes_unref(r->body);
	r->body =
	    e->body.len == 0 ? NULL : g_bytes_new(e->body.data, e->body.len);
}
