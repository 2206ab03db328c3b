/**
 * DOC: Versions of streams among the entries of a mesh.
 *
 * The first entries of the order of stage work, which every entry is linked
 * to, are told of streams whose version others could not conclude, and are
 * asked by an entry that does not know a stream.
 */

#include "mesh.h"

#include <string.h>

/* Entries that are told of a stream, and asked for one. */
#define TELL_ENTRIES 4
#define ASK_ENTRIES 6
/*
 * Time for the answers of linked entries.  They are asked twice, as a stream
 * may be told a flush after it began.
 */
#define ASK_US (600 * MH_US_PER_MS)
#define ASK_AGAIN_US (FLUSH_MAX_US + 50 * MH_US_PER_MS)
/* Interval at which open streams are looked through. */
#define TICK_US (250 * MH_US_PER_MS)
/*
 * Least interval of two frames for each entry, so that the entries that are
 * told receive as many frames however many send them.
 */
#define FLUSH_US_PER_ENTRY (1 * MH_US_PER_MS)
#define FLUSH_MAX_US TICK_US
#define FRAME_STREAMS_MAX 512

/** struct asked - a stream that is asked for. */
struct asked {
	struct mh_origin_mesh *o;
	struct mh_origin_query q;
	char **pools;
	int64_t since_us;
	uint32_t pending; /* answers */
	uint64_t sole; /* version that one that doesn't know it concludes */
	bool again; /* asked twice */
	struct mh_timer *timer;
};

struct mh_origin_mesh {
	struct mh_kern *k;
	struct mh_mesh *m;
	struct mh_origins *origins;
	GArray *streams; /* uint64_t, to be told... */
	GArray *versions; /* ...and theirs */
	GPtrArray *asked; /* struct asked */
	int64_t flushed_us; /* when the last frame was sent */
	struct mh_timer *flush_timer;
	struct mh_timer *tick_timer;
};

/* telling */

static void
flush(struct mh_origin_mesh *o)
{
	const char *nodes[TELL_ENTRIES];
	uint32_t n = mh_mesh_first_peers(o->m, nodes, TELL_ENTRIES);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Begun m = MH__BEGUN__INIT;

	mh_timer_stop(o->k, &o->flush_timer);
	o->flushed_us = mh_now(o->k);
	m.n_streams = m.n_versions = o->streams->len;
	m.streams = (uint64_t *)(gpointer)o->streams->data;
	m.versions = (uint64_t *)(gpointer)o->versions->data;
	f.body_case = MH__FRAME__BODY_BEGUN;
	f.begun = &m;
	for (uint32_t i = 0; m.n_streams > 0 && i < n; i++)
		(void)mh_mesh_send(o->m, nodes[i], &f);
	g_array_set_size(o->streams, 0);
	g_array_set_size(o->versions, 0);
}

static void
on_flush(void *arg)
{
	struct mh_origin_mesh *o = arg;

	flush(o);
}

static void
op_tell(void *arg, uint64_t stream, uint64_t version)
{
	struct mh_origin_mesh *o = arg;
	int64_t next_us = o->flushed_us +
	    MIN(mh_mesh_size(o->m) * FLUSH_US_PER_ENTRY, FLUSH_MAX_US);

	g_array_append_val(o->streams, stream);
	g_array_append_val(o->versions, version);
	if (mh_now(o->k) >= next_us || o->streams->len >= FRAME_STREAMS_MAX)
		flush(o);
	else if (o->flush_timer == NULL)
		mh_timer_set(
		    o->k, &o->flush_timer, next_us - mh_now(o->k), on_flush, o);
}

static void
on_begun(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_origin_mesh *o = arg;
	const Mh__Begun *m = f->begun;

	(void)node;
	for (size_t i = 0; i < MIN(m->n_streams, m->n_versions); i++)
		mh_origins_learn(o->origins, m->streams[i], m->versions[i]);
}

static void
on_tick(void *arg)
{
	struct mh_origin_mesh *o = arg;

	mh_origins_tick(o->origins);
	mh_timer_set(o->k, &o->tick_timer, TICK_US, on_tick, o);
}

/* An entry that has just started was told of nothing. */
static void
on_up(void *arg, const char *node)
{
	struct mh_origin_mesh *o = arg;

	(void)node;
	mh_origins_tell_again(o->origins);
}

/* asking */

static void
free_asked(void *arg)
{
	struct asked *a = arg;

	mh_timer_stop(a->o->k, &a->timer);
	g_strfreev(a->pools);
	g_free(a);
}

static void
end_asked(struct asked *a, uint64_t version, enum mh_origin_how how)
{
	struct mh_origin_query q = a->q;

	g_ptr_array_remove_fast(a->o->asked, a);
	q.fn(q.arg, version, how);
}

static void
send_ask(struct asked *a)
{
	const char *nodes[ASK_ENTRIES];
	uint32_t n = mh_mesh_first_peers(a->o->m, nodes, ASK_ENTRIES);
	Mh__Frame f = MH__FRAME__INIT;
	Mh__OriginAsk m = MH__ORIGIN_ASK__INIT;

	m.stream = a->q.stream;
	m.pools = a->pools;
	m.n_pools = a->q.n_pools;
	f.body_case = MH__FRAME__BODY_ORIGIN_ASK;
	f.origin_ask = &m;
	a->pending = 0;
	for (uint32_t i = 0; i < n; i++)
		a->pending += mh_mesh_send(a->o->m, nodes[i], &f);
}

static void
on_timeout(void *arg)
{
	struct asked *a = arg;
	int64_t left_us = a->since_us + ASK_US - mh_now(a->o->k);

	if (a->sole != 0 || left_us <= 0) {
		end_asked(a, a->sole,
		    a->sole != 0 ? MH_ORIGIN_SOLE : MH_ORIGIN_UNKNOWN);
		return;
	}
	a->again = true;
	send_ask(a);
	mh_timer_set(a->o->k, &a->timer, left_us, on_timeout, a);
}

static void *
op_ask(void *arg, const struct mh_origin_query *q)
{
	struct mh_origin_mesh *o = arg;
	struct asked *a = g_new0(struct asked, 1);

	a->o = o;
	a->q = *q;
	a->pools = g_new0(char *, q->n_pools + 1);
	for (size_t i = 0; i < q->n_pools; i++)
		a->pools[i] = g_strdup(q->pools[i]);
	send_ask(a);
	if (a->pending == 0) {
		free_asked(a);
		return NULL;
	}
	mh_count(o->k, "streams_asked", 1);
	a->since_us = mh_now(o->k);
	mh_timer_set(o->k, &a->timer, ASK_AGAIN_US, on_timeout, a);
	g_ptr_array_add(o->asked, a);
	return a;
}

static void
op_cancel(void *arg, void *ask)
{
	struct mh_origin_mesh *o = arg;

	g_ptr_array_remove_fast(o->asked, ask);
}

static void
on_ask(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_origin_mesh *o = arg;
	const Mh__OriginAsk *m = f->origin_ask;
	Mh__Frame out = MH__FRAME__INIT;
	Mh__Origin r = MH__ORIGIN__INIT;
	enum mh_origin_how how;

	r.stream = m->stream;
	how = mh_origins_find(o->origins, m->stream, &r.version);
	if (how == MH_ORIGIN_UNKNOWN)
		r.sole_us = (uint64_t)mh_origins_sole_us(o->origins,
		    (const char *const *)m->pools, m->n_pools, &r.sole);
	else if (how == MH_ORIGIN_UNSURE)
		r.version = MH_VERSION_UNSURE;
	out.body_case = MH__FRAME__BODY_ORIGIN;
	out.origin = &r;
	(void)mh_mesh_send(o->m, node, &out);
}

/*
 * One of the entries that were asked for @a has answered.  What one knows of
 * the stream goes before what another concludes.
 */
static void
take_answer(struct asked *a, const Mh__Origin *m)
{
	if (a->pending > 0)
		a->pending--;
	if (m->sole != 0 && m->sole_us >= (uint64_t)a->q.last_us)
		a->sole = m->sole;
	if (m->version == MH_VERSION_UNSURE)
		end_asked(a, 0, MH_ORIGIN_UNSURE);
	else if (m->version != 0)
		end_asked(a, m->version, MH_ORIGIN_TOLD);
	else if (a->pending == 0 && a->sole != 0)
		end_asked(a, a->sole, MH_ORIGIN_SOLE);
	else if (a->pending == 0 && a->again)
		end_asked(a, 0, MH_ORIGIN_UNKNOWN);
}

static void
on_answer(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_origin_mesh *o = arg;

	(void)node;
	for (guint i = o->asked->len; i > 0; i--) {
		if (i > o->asked->len)
			continue;
		if (((struct asked *)o->asked->pdata[i - 1])->q.stream ==
		    f->origin->stream)
			take_answer(o->asked->pdata[i - 1], f->origin);
	}
}

struct mh_origin_mesh *
mh_origin_mesh_create(
    struct mh_kern *k, struct mh_mesh *m, struct mh_origins *origins)
{
	struct mh_origin_mesh *o = g_new0(struct mh_origin_mesh, 1);
	struct mh_origin_ops ops = { op_tell, op_ask, op_cancel, o };

	o->k = k;
	o->m = m;
	o->origins = origins;
	o->streams = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	o->versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	o->asked = g_ptr_array_new_with_free_func(free_asked);
	mh_timer_set(k, &o->tick_timer, TICK_US, on_tick, o);
	mh_origins_set_ops(origins, &ops);
	mh_mesh_on(m, MH__FRAME__BODY_BEGUN, on_begun, o);
	mh_mesh_on(m, MH__FRAME__BODY_ORIGIN_ASK, on_ask, o);
	mh_mesh_on(m, MH__FRAME__BODY_ORIGIN, on_answer, o);
	mh_mesh_on_up(m, on_up, o);
	return o;
}

void
mh_origin_mesh_destroy(struct mh_origin_mesh *o)
{
	if (o == NULL)
		return;
	mh_timer_stop(o->k, &o->flush_timer);
	mh_timer_stop(o->k, &o->tick_timer);
	g_ptr_array_free(o->asked, TRUE);
	g_array_free(o->streams, TRUE);
	g_array_free(o->versions, TRUE);
	g_free(o);
}
