/**
 * DOC: Stage calls in flight from this entry to side processes.
 *
 * A call has one slot, identified by request, stage, attempt and the entry's
 * incarnation.  Frames that match no slot are counted and dropped, so that a
 * delayed, duplicate or misdirected result reaches no request.
 */

#include "marlhoist.h"

#include <string.h>

struct slot_id {
	uint8_t request[MH_ID_LEN];
	uint32_t stage;
	uint32_t attempt;
};

struct mh_call {
	struct slot_id id;
	struct mh_peer *peer;
	struct mh_call *next; /* in peer->calls */
	mh_call_fn fn;
	void *arg;
	GBytes *body;
	char *org;
	char *path;
	char *key;
	struct mh_call_args a; /* pointers into the fields above */
	int64_t deadline_us;
	uint64_t incarnation;
	uint32_t next_seq;
};

struct relay {
	struct mh_kern *k;
	uint64_t entry; /* this entry's incarnation */
	GHashTable *slots;
};

static guint
slot_hash(gconstpointer p)
{
	return (guint)mh_hash(p, sizeof(struct slot_id));
}

static gboolean
slot_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct slot_id)) == 0;
}

static void
fill_id(struct relay *r, struct mh_call *c, Mh__CallId *id)
{
	mh__call_id__init(id);
	id->request.data = c->id.request;
	id->request.len = MH_ID_LEN;
	id->stage = c->id.stage;
	id->attempt = c->id.attempt;
	id->entry = r->entry;
}

static struct mh_call *
find(struct relay *r, const Mh__CallId *id)
{
	struct slot_id s;

	if (id == NULL || id->request.len != MH_ID_LEN || id->entry != r->entry)
		return NULL;
	memset(&s, 0, sizeof(s));
	memcpy(s.request, id->request.data, MH_ID_LEN);
	s.stage = id->stage;
	s.attempt = id->attempt;
	return g_hash_table_lookup(r->slots, &s);
}

static void
send_call(struct relay *r, struct mh_call *c)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Call m = MH__CALL__INIT;
	Mh__CallId id;
	gsize len;

	fill_id(r, c, &id);
	m.id = &id;
	m.kind = c->a.kind;
	m.priority = c->a.priority;
	m.left_us = (uint64_t)MAX(c->deadline_us - mh_now(r->k), 0);
	m.org = c->org;
	m.org_weight = c->a.org_weight;
	m.units = c->a.units;
	m.predicted_us = c->a.predicted_us;
	m.path = c->path;
	m.body.data = (uint8_t *)(uintptr_t)g_bytes_get_data(c->body, &len);
	m.body.len = len;
	m.stream = c->a.stream;
	m.never = c->a.at_most_once;
	m.key = c->key;
	m.partition = c->a.partition;
	m.epoch = c->a.epoch;
	m.out_tokens = c->a.out_tokens;
	m.print = c->a.fingerprint;
	f.body_case = MH__FRAME__BODY_CALL;
	f.call = &m;
	mh_frame_send(r->k, c->peer->conn, &f);
}

static void
send_control(struct relay *r, struct mh_call *c, Mh__Frame__BodyCase kind)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Ack ack = MH__ACK__INIT;
	Mh__Cancel cancel = MH__CANCEL__INIT;
	Mh__Resume resume = MH__RESUME__INIT;
	Mh__CallId id;

	if (!c->peer->up)
		return;
	fill_id(r, c, &id);
	f.body_case = kind;
	if (kind == MH__FRAME__BODY_ACK) {
		ack.id = &id;
		f.ack = &ack;
	} else if (kind == MH__FRAME__BODY_CANCEL) {
		cancel.id = &id;
		f.cancel = &cancel;
	} else {
		resume.id = &id;
		resume.next_seq = c->next_seq;
		f.resume = &resume;
	}
	mh_frame_send(r->k, c->peer->conn, &f);
}

static void
unlink_call(struct mh_call *c)
{
	struct mh_call **at = (struct mh_call **)&c->peer->calls;

	while (*at != NULL && *at != c)
		at = &(*at)->next;
	if (*at != NULL)
		*at = c->next;
}

static void
free_call(void *arg)
{
	struct mh_call *c = arg;

	unlink_call(c);
	g_bytes_unref(c->body);
	g_free(c->org);
	g_free(c->path);
	g_free(c->key);
	g_free(c);
}

struct mh_call *
mh_relay_start(struct mh_kern *k, struct mh_peer *p,
    const struct mh_call_args *a, mh_call_fn fn, void *arg)
{
	struct relay *r = mh_kern_get(k, "relay");
	struct mh_call *c = g_new0(struct mh_call, 1);

	memcpy(c->id.request, a->request, MH_ID_LEN);
	c->id.stage = a->stage;
	c->id.attempt = a->attempt;
	c->a = *a;
	c->peer = p;
	c->fn = fn;
	c->arg = arg;
	c->body = g_bytes_ref(a->body);
	c->org = g_strdup(a->org);
	c->path = g_strdup(a->path);
	c->key = g_strdup(a->key != NULL ? a->key : "");
	c->deadline_us = mh_now(k) + a->remaining_us;
	c->incarnation = p->incarnation;
	c->next = p->calls;
	p->calls = c;
	g_hash_table_insert(r->slots, &c->id, c);
	mh_count(k, "relay_calls", 1);
	mh_route_sent(k, p);
	send_call(r, c);
	return c;
}

/* Removes the slot, passes the end of the call to its callback, frees it. */
static void
finish(struct relay *r, struct mh_call *c, const Mh__Result *res, bool lost)
{
	struct mh_call_event ev = {
		.result = res, .lost = lost, .peer = c->peer
	};
	bool good = !lost &&
	    (res->outcome == MH__OUTCOME__DONE ||
		res->outcome == MH__OUTCOME__NOT_RUN);

	g_hash_table_steal(r->slots, &c->id);
	mh_route_result(
	    r->k, c->peer, good, lost ? 0 : (int64_t)res->endpoint_us);
	c->fn(c->arg, c, &ev);
	free_call(c);
}

static void
fail_lost(struct relay *r, struct mh_call *c, Mh__Outcome outcome)
{
	Mh__Result res = MH__RESULT__INIT;

	res.outcome = outcome;
	finish(r, c, &res, true);
}

void
mh_relay_cancel(struct mh_kern *k, struct mh_call *c)
{
	struct relay *r = mh_kern_get(k, "relay");

	send_control(r, c, MH__FRAME__BODY_CANCEL);
	g_hash_table_steal(r->slots, &c->id);
	if (c->peer->own_calls > 0)
		c->peer->own_calls--;
	mh_count(k, "relay_cancels", 1);
	free_call(c);
}

struct mh_peer *
mh_call_peer(const struct mh_call *c)
{
	return c->peer;
}

uint32_t
mh_relay_active_count(struct mh_kern *k)
{
	struct relay *r = mh_kern_get(k, "relay");

	return g_hash_table_size(r->slots);
}

static void
on_chunk(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct relay *r = arg;
	const Mh__Chunk *ch = f->chunk;
	struct mh_call *c = find(r, ch->id);
	struct mh_call_event ev = { .chunk = NULL };

	(void)conn;
	if (c == NULL || ch->seq < c->next_seq) {
		mh_count(r->k, "relay_unmatched", 1);
		return;
	}
	if (ch->seq > c->next_seq) {
		/* A chunk is missing: have the stream resent from there. */
		mh_count(r->k, "relay_gaps", 1);
		send_control(r, c, MH__FRAME__BODY_RESUME);
		return;
	}
	c->next_seq++;
	ev.peer = c->peer;
	ev.chunk = g_bytes_new(ch->data.data, ch->data.len);
	c->fn(c->arg, c, &ev);
	g_bytes_unref(ev.chunk);
}

/*
 * The side process has no record of the call: the frame was lost with the old
 * connection, or has not arrived yet.  Sending it again is safe, since the
 * side process runs a call id, and a key, only once.  A call of which chunks
 * have arrived did run and has ended there; it fails, because the chunks of a
 * second run would not continue those of the first.
 */
static void
call_not_seen(struct relay *r, struct mh_call *c)
{
	if (c->next_seq > 0) {
		mh_count(r->k, "relay_gone", 1);
		send_control(r, c, MH__FRAME__BODY_CANCEL);
		fail_lost(r, c, MH__OUTCOME__FAILED);
		return;
	}
	mh_count(r->k, "relay_resent", 1);
	send_call(r, c);
}

static void
on_result(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct relay *r = arg;
	const Mh__Result *res = f->result;
	struct mh_call *c = find(r, res->id);

	(void)conn;
	if (c == NULL) {
		mh_count(r->k, "relay_unmatched", 1);
		return;
	}
	if (res->outcome == MH__OUTCOME__NOT_SEEN) {
		call_not_seen(r, c);
		return;
	}
	if (res->outcome == MH__OUTCOME__DONE && res->chunks != c->next_seq) {
		mh_count(r->k, "relay_gaps", 1);
		send_control(r, c, MH__FRAME__BODY_RESUME);
		return;
	}
	send_control(r, c, MH__FRAME__BODY_ACK);
	finish(r, c, res, false);
}

static GPtrArray *
calls_of(struct mh_peer *p)
{
	GPtrArray *a = g_ptr_array_new();

	for (struct mh_call *c = p->calls; c != NULL; c = c->next)
		g_ptr_array_add(a, c);
	return a;
}

/*
 * Applies a link event to one call:
 * - same incarnation: the call is resumed by its id;
 * - another incarnation: the peer has lost its record of the call; a
 *   repeatable call has failed, a non-repeatable one may have run and its
 *   outcome is unknown;
 * - no link: a repeatable call fails, to be retried elsewhere; a
 *   non-repeatable one waits, since only that side process can tell whether
 *   it ran.
 */
static void
call_on_link(struct relay *r, struct mh_call *c, enum mh_link_event ev)
{
	bool restarted = ev == MH_LINK_UP_RESTARTED ||
	    (ev == MH_LINK_UP && c->incarnation != c->peer->incarnation);

	if (ev == MH_LINK_FAILED) {
		if (!c->a.at_most_once)
			fail_lost(r, c, MH__OUTCOME__FAILED);
	} else if (restarted) {
		fail_lost(r, c,
		    c->a.at_most_once ? MH__OUTCOME__UNKNOWN
				      : MH__OUTCOME__FAILED);
	} else {
		mh_count(r->k, "relay_resumes", 1);
		send_control(r, c, MH__FRAME__BODY_RESUME);
	}
}

static void
on_link(void *arg, struct mh_peer *p, enum mh_link_event ev, uint64_t conn)
{
	struct relay *r = arg;
	GPtrArray *a = calls_of(p);

	(void)conn;
	for (guint i = 0; i < a->len; i++) {
		struct mh_call *c = a->pdata[i];

		/* The callback of an earlier call may have cancelled this. */
		for (struct mh_call *x = p->calls; x != NULL; x = x->next) {
			if (x == c) {
				call_on_link(r, c, ev);
				break;
			}
		}
	}
	g_ptr_array_free(a, TRUE);
}

static void
destroy(void *self)
{
	struct relay *r = self;
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, r->slots);
	while (g_hash_table_iter_next(&it, NULL, &c)) {
		g_hash_table_iter_steal(&it);
		free_call(c);
	}
	g_hash_table_destroy(r->slots);
	g_free(r);
}

void
mh_relay_create(struct mh_kern *k)
{
	struct relay *r = g_new0(struct relay, 1);

	r->k = k;
	r->entry = mh_random(k);
	r->slots = g_hash_table_new(slot_hash, slot_equal);
	mh_kern_add(k, "relay", r, NULL, destroy);
	mh_hub_set_handler(k, MH__FRAME__BODY_CHUNK, on_chunk, r);
	mh_hub_set_handler(k, MH__FRAME__BODY_RESULT, on_result, r);
	mh_member_on_link(k, on_link, r);
}
