/**
 * DOC: Memory and descriptors of the connections of an HTTP server: what each
 * holds, and which one makes room for another.
 */

#include "hserveint.h"

#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* A connection without a request, with both buffers of the kernel. */
#define CONN_BYTES (8192 + 2 * KERNEL_BYTES)
/* An empty buffer that has grown over this is freed. */
#define KEEP_BYTES 4096
/* A connection makes progress with each so many bytes. */
#define PROGRESS_BYTES 4096
/* Without progress for so long, it makes room for a request that comes in. */
#define STALL_US (1 * MH_US_PER_S)
#define LOG_US (1 * MH_US_PER_S)

void
mh_hconn_kernel_buffer(int fd, int option, int bytes)
{
	setsockopt(fd, SOL_SOCKET, option, &bytes, sizeof(bytes));
}

/* An array keeps what it has grown to, also when it is empty. */
static void
free_empty(GByteArray **a, uint32_t *most)
{
	*most = MAX(*most, (*a)->len);
	if ((*a)->len > 0 || *most <= KEEP_BYTES)
		return;
	g_byte_array_unref(*a);
	*a = g_byte_array_new();
	*most = 0;
}

void
mh_hconn_charge(struct conn *c)
{
	uint64_t bytes = CONN_BYTES;

	if (c->share == NULL)
		return;
	free_empty(&c->in, &c->in_most_bytes);
	if (c->out->len == 0 && c->out_most_bytes > KEEP_BYTES) {
		free_empty(&c->out, &c->out_most_bytes);
		if (c->req != NULL)
			c->req->out = c->out;
	}
	c->out_most_bytes = MAX(c->out_most_bytes, c->out->len);
	bytes += c->in_most_bytes + c->out_most_bytes;
	if (c->reads_much)
		bytes += KERNEL_LARGE_BYTES;
	if (c->sends_much)
		bytes += KERNEL_LARGE_BYTES;
	if (c->req != NULL)
		bytes += mh_hreq_bytes(c->req);
	if (bytes == c->held_bytes)
		return;
	mh_share_charge(c->share, c->held_bytes, bytes);
	c->held_bytes = bytes;
}

void
mh_hconn_set_share(struct conn *c, const char *name)
{
	struct mh_account *a = c->s->args.account;
	struct mh_share *share;

	if (a == NULL ||
	    (c->share != NULL && strcmp(mh_share_name(c->share), name) == 0))
		return;
	share = mh_share_get(a, name);
	if (c->share != NULL)
		mh_share_charge(c->share, c->held_bytes, 0);
	mh_share_unref(c->share);
	c->share = share;
	mh_share_charge(share, 0, c->held_bytes);
}

void
mh_hconn_progress(struct conn *c, size_t bytes)
{
	c->moved_bytes += (uint32_t)bytes;
	if (c->moved_bytes < PROGRESS_BYTES)
		return;
	c->moved_bytes = 0;
	c->progress_us = mh_now(c->s->k);
}

static void
log_limited(void *arg)
{
	struct mh_hserve *s = arg;
	const struct limited *l = &s->limited;
	const struct mh_account *a = s->args.account;

	mh_event(s->k, "callers-limited",
	    "port=%u refused=%u closed_idle=%u closed_stalled=%u "
	    "turned_away=%u "
	    "conns=%u max_conns=%u held_bytes=%" PRIu64 " max_bytes=%" PRIu64,
	    s->port, l->refused, l->closed_idle, l->closed_stalled,
	    l->turned_away, g_hash_table_size(s->conns), s->args.max_conns,
	    a == NULL ? 0 : mh_account_bytes(a),
	    a == NULL ? 0 : mh_account_limit(a));
	memset(&s->limited, 0, sizeof(s->limited));
}

/* Counts what a limit did; callers can cause many, so they share a line. */
void
mh_hserve_note_limited(struct mh_hserve *s, uint32_t *n, const char *counter)
{
	(*n)++;
	mh_count(s->k, counter, 1);
	if (s->log_timer == NULL)
		mh_timer_set(s->k, &s->log_timer, LOG_US, log_limited, s);
}

/* Whether it waits for a request, of which nothing has come. */
static bool
is_idle(const struct conn *c)
{
	int n = 0;

	return c->state == CONN_READING && !c->req->started &&
	    ioctl(c->fd, FIONREAD, &n) == 0 && n == 0;
}

/** struct victims - which connections may make room. */
struct victims {
	const struct mh_share *share; /* NULL: any */
	const struct conn *except;
	int64_t stalled_us; /* least time without progress, unless it is idle */
	bool streams; /* also those whose response isn't complete */
};

static bool
may_go(const struct conn *c, const struct victims *v)
{
	int64_t still_us = mh_now(c->s->k) - c->progress_us;

	if (c == v->except || (v->share != NULL && c->share != v->share))
		return false;
	switch (c->state) {
	case CONN_READING:
		return !c->req->started || still_us >= v->stalled_us;
	case CONN_SENDING:
	case CONN_LINGER:
		return still_us >= v->stalled_us;
	case CONN_ANSWERING:
		return v->streams && c->out->len > 0 &&
		    still_us >= v->stalled_us;
	case CONN_RESETTING:
		return false;
	}
	return false;
}

/* Of those that may go, the one that made no progress for longest; or NULL. */
static struct conn *
find_victim(const struct mh_hserve *s, const struct victims *v)
{
	struct conn *oldest = NULL;
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, s->conns);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct conn *c = key;

		if (may_go(c, v) &&
		    (oldest == NULL || c->progress_us < oldest->progress_us))
			oldest = c;
	}
	return oldest;
}

/* Closes the connection; one on which a request has come stays. */
static void
close_victim(struct conn *c)
{
	struct mh_hserve *s = c->s;

	if (c->state == CONN_LINGER || is_idle(c)) {
		mh_hserve_note_limited(
		    s, &s->limited.closed_idle, "serve_closed_idle");
		mh_hconn_free(c);
	} else if (c->state == CONN_READING && !c->req->started) {
		c->progress_us = mh_now(s->k);
	} else {
		mh_hserve_note_limited(
		    s, &s->limited.closed_stalled, "serve_closed_stalled");
		mh_hconn_disconnect(c);
	}
}

/* As above, but a request that has come in part is refused. */
static void
evict(struct conn *c)
{
	if (c->state == CONN_READING && c->req->started) {
		mh_hconn_refuse(c, MH_REFUSE_MEMORY);
		mh_hconn_want_io(c);
	} else {
		close_victim(c);
	}
}

/*
 * A request that comes in takes the place of one of its organisation that has
 * stalled, or of what another holds beyond its part.  Else it is refused.
 */
void
mh_hconn_make_room(struct conn *c, uint64_t more)
{
	uint32_t tries = g_hash_table_size(c->s->conns);

	while (c->share != NULL && c->state == CONN_READING &&
	    !mh_share_fits(c->share, more)) {
		struct mh_share *over = mh_account_over(c->s->args.account);
		struct victims v = {
			.share = c->share, .except = c, .stalled_us = STALL_US
		};
		struct conn *victim;

		if (over != NULL && over != c->share) {
			v.share = over;
			v.stalled_us = 0;
		}
		victim = tries-- > 0 ? find_victim(c->s, &v) : NULL;
		if (victim != NULL) {
			evict(victim);
			continue;
		}
		if (c->req->started)
			mh_hconn_refuse(c, MH_REFUSE_MEMORY);
		return;
	}
}

void
mh_hserve_relieve(struct mh_hserve *s)
{
	uint32_t tries = g_hash_table_size(s->conns);
	struct mh_share *over;

	while (
	    tries-- > 0 && (over = mh_account_over(s->args.account)) != NULL) {
		const struct victims v = { .share = over, .streams = true };
		struct conn *victim = find_victim(s, &v);

		if (victim == NULL)
			return;
		evict(victim);
	}
}

/* Whether there is a connection left for a caller that connects. */
bool
mh_hserve_make_place(struct mh_hserve *s)
{
	const struct victims v = { .stalled_us = STALL_US, .streams = true };
	uint32_t tries = g_hash_table_size(s->conns);
	struct conn *victim;

	while (s->args.max_conns > 0 &&
	    g_hash_table_size(s->conns) >= s->args.max_conns) {
		victim = tries-- > 0 ? find_victim(s, &v) : NULL;
		if (victim == NULL) {
			mh_hserve_note_limited(
			    s, &s->limited.turned_away, "serve_turned_away");
			return false;
		}
		close_victim(victim);
	}
	return true;
}
