/**
 * DOC: Event loop: one APR pollset that drives a kernel in real time.
 *
 * A timerfd in the pollset wakes the loop at the next deadline:
 * apr_pollset_poll() truncates its timeout to whole milliseconds, so that the
 * loop would spin for a wait of less than 1 ms.
 *
 * Timers run after the input that was there when they were due: most measure
 * silence, and the process may have been the one that stood still.
 */

#include "gate.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#define POLL_MAX 4096
/* Iterations that take this long are logged: they delay everything else. */
#define SLOW_ITERATION_US (250 * MH_US_PER_MS)
/* The process stood still, or a callback was slow, if a step takes longer. */
#define STALL_US (50 * MH_US_PER_MS)
/* A poll that takes less has not waited. */
#define AT_ONCE_US (1 * MH_US_PER_MS)

struct watch {
	int fd;
	bool read;
	bool write;
	mh_fd_fn fn;
	void *arg;
	apr_pool_t *pool;
	apr_pollfd_t pfd;
};

struct hook {
	int64_t (*fn)(void *arg);
	void *arg;
};

struct on_signal {
	int sig;
	void (*fn)(void *arg);
	void *arg;
};

struct mh_loop {
	struct mh_kern *k;
	apr_pool_t *pool;
	apr_pollset_t *set;
	GHashTable *watches;
	GArray *hooks;
	GArray *signals;
	sigset_t mask;
	int timer_fd;
	int signal_fd;
	int64_t armed_us;
	int64_t iteration_start_us; /* 0: no iteration has begun */
	bool stalled; /* in the last iteration; timers may be due */
	bool skipped; /* the hooks, in the last iteration */
	int64_t unseen_us; /* what the last poll reported came since then */
	bool stop;
};

static int64_t
clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * MH_US_PER_S + ts.tv_nsec / 1000;
}

struct mh_kern *
mh_loop_kern(struct mh_loop *l)
{
	return l->k;
}

static void
free_watch(void *arg)
{
	struct watch *w = arg;

	apr_pool_destroy(w->pool);
	g_free(w);
}

static apr_int16_t
events(bool read, bool write)
{
	return (
	    apr_int16_t)((read ? APR_POLLIN : 0) | (write ? APR_POLLOUT : 0));
}

static void
new_watch(struct mh_loop *l, int fd, struct watch *w)
{
	apr_socket_t *sock = NULL;
	apr_os_sock_t os = fd;

	apr_pool_create(&w->pool, l->pool);
	apr_os_sock_put(&sock, &os, w->pool);
	w->fd = fd;
	w->pfd.p = w->pool;
	w->pfd.desc_type = APR_POLL_SOCKET;
	w->pfd.desc.s = sock;
	w->pfd.client_data = GINT_TO_POINTER(fd);
	g_hash_table_insert(l->watches, GINT_TO_POINTER(fd), w);
}

void
mh_loop_fd(
    struct mh_loop *l, int fd, bool read, bool write, mh_fd_fn fn, void *arg)
{
	struct watch *w = g_hash_table_lookup(l->watches, GINT_TO_POINTER(fd));

	if (w == NULL) {
		w = g_new0(struct watch, 1);
		new_watch(l, fd, w);
	}
	w->fn = fn;
	w->arg = arg;
	if (w->read == read && w->write == write)
		return;
	if (w->read || w->write)
		apr_pollset_remove(l->set, &w->pfd);
	w->read = read;
	w->write = write;
	w->pfd.reqevents = events(read, write);
	if (read || write)
		apr_pollset_add(l->set, &w->pfd);
}

void
mh_loop_fd_close(struct mh_loop *l, int fd)
{
	struct watch *w = g_hash_table_lookup(l->watches, GINT_TO_POINTER(fd));

	if (w == NULL)
		return;
	if (w->read || w->write)
		apr_pollset_remove(l->set, &w->pfd);
	g_hash_table_remove(l->watches, GINT_TO_POINTER(fd));
}

void
mh_loop_before_wait(struct mh_loop *l, int64_t (*fn)(void *arg), void *arg)
{
	struct hook h = { fn, arg };

	g_array_append_val(l->hooks, h);
}

static void
on_timer(void *arg, bool readable, bool writable)
{
	struct mh_loop *l = arg;
	uint64_t n;

	(void)readable;
	(void)writable;
	l->armed_us = -1;
	if (read(l->timer_fd, &n, sizeof(n)) < 0)
		return;
}

static void
on_signal(void *arg, bool readable, bool writable)
{
	struct mh_loop *l = arg;
	struct signalfd_siginfo si;

	(void)readable;
	(void)writable;
	if (read(l->signal_fd, &si, sizeof(si)) != (ssize_t)sizeof(si))
		return;
	for (guint i = 0; i < l->signals->len; i++) {
		struct on_signal *s =
		    &g_array_index(l->signals, struct on_signal, i);

		if (s->sig == (int)si.ssi_signo)
			s->fn(s->arg);
	}
}

void
mh_loop_signal(struct mh_loop *l, int sig, void (*fn)(void *arg), void *arg)
{
	struct on_signal s = { sig, fn, arg };

	g_array_append_val(l->signals, s);
	sigaddset(&l->mask, sig);
	sigprocmask(SIG_BLOCK, &l->mask, NULL);
	l->signal_fd =
	    signalfd(l->signal_fd, &l->mask, SFD_NONBLOCK | SFD_CLOEXEC);
	if (l->signal_fd >= 0)
		mh_loop_fd(l, l->signal_fd, true, false, on_signal, l);
}

int64_t
mh_loop_signal_us(const struct mh_loop *l)
{
	return l->unseen_us;
}

struct mh_loop *
mh_loop_create(struct mh_kern *k, GError **err)
{
	struct mh_loop *l = g_new0(struct mh_loop, 1);

	l->k = k;
	l->signal_fd = -1;
	l->armed_us = -1;
	sigemptyset(&l->mask);
	l->watches = g_hash_table_new_full(NULL, NULL, NULL, free_watch);
	l->hooks = g_array_new(FALSE, FALSE, sizeof(struct hook));
	l->signals = g_array_new(FALSE, FALSE, sizeof(struct on_signal));
	apr_initialize();
	apr_pool_create(&l->pool, NULL);
	l->timer_fd =
	    timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (l->timer_fd < 0 ||
	    apr_pollset_create(&l->set, POLL_MAX, l->pool, 0) != APR_SUCCESS) {
		g_set_error(err, MH_ERROR, MH_ERR_IO,
		    "no pollset or timer: raise the open files limit");
		mh_loop_destroy(l);
		return NULL;
	}
	mh_loop_fd(l, l->timer_fd, true, false, on_timer, l);
	mh_kern_advance(k, clock_us(CLOCK_MONOTONIC), clock_us(CLOCK_REALTIME));
	return l;
}

void
mh_loop_destroy(struct mh_loop *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->watches);
	g_array_free(l->hooks, TRUE);
	g_array_free(l->signals, TRUE);
	if (l->timer_fd >= 0)
		close(l->timer_fd);
	if (l->signal_fd >= 0)
		close(l->signal_fd);
	apr_pool_destroy(l->pool);
	apr_terminate();
	g_free(l);
}

static void
arm(struct mh_loop *l, int64_t at_us)
{
	struct itimerspec it = { { 0, 0 }, { 0, 0 } };

	if (at_us == l->armed_us)
		return;
	l->armed_us = at_us;
	if (at_us >= 0) {
		at_us = MAX(at_us, 1);
		it.it_value.tv_sec = at_us / MH_US_PER_S;
		it.it_value.tv_nsec = at_us % MH_US_PER_S * 1000;
	}
	timerfd_settime(l->timer_fd, TFD_TIMER_ABSTIME, &it, NULL);
}

/* A slow iteration delays all events, heartbeats and requests included. */
static void
log_slow_iteration(struct mh_loop *l)
{
	int64_t took_us = clock_us(CLOCK_MONOTONIC) - l->iteration_start_us;

	if (l->iteration_start_us != 0 && took_us >= SLOW_ITERATION_US)
		mh_event(l->k, "slow-turn", "took_ms=%" PRId64, mh_ms(took_us));
}

/* Sets the kernel's clocks; returns the time. */
static int64_t
set_clock(struct mh_loop *l)
{
	int64_t now = clock_us(CLOCK_MONOTONIC);

	mh_kern_set_clock(l->k, now, clock_us(CLOCK_REALTIME));
	return now;
}

/* Returns the longest time to wait, -1: as long as the kernel allows. */
static int64_t
run_hooks(struct mh_loop *l)
{
	int64_t bound = -1;

	for (guint i = 0; i < l->hooks->len; i++) {
		struct hook *h = &g_array_index(l->hooks, struct hook, i);
		int64_t us = h->fn(h->arg);

		if (us >= 0 && (bound < 0 || us < bound))
			bound = us;
	}
	return bound;
}

/* Calls the watches; returns false if one of them was slow. */
static bool
handle_events(struct mh_loop *l, const apr_pollfd_t *ev, apr_int32_t n)
{
	int64_t before = mh_now(l->k);
	bool quick = true;

	/*
	 * No event is handled after mh_loop_stop(): a request that is read then
	 * would be forwarded, but its caller would get no response.
	 */
	for (apr_int32_t i = 0; i < n && !l->stop; i++) {
		/* An earlier callback may have closed this descriptor. */
		struct watch *w =
		    g_hash_table_lookup(l->watches, ev[i].client_data);
		apr_int16_t r = ev[i].rtnevents;

		if (w != NULL)
			w->fn(w->arg,
			    r & (APR_POLLIN | APR_POLLHUP | APR_POLLERR),
			    r & APR_POLLOUT);
		if (clock_us(CLOCK_MONOTONIC) - before <= STALL_US)
			continue;
		/* What the next ones start must not count the stall. */
		before = set_clock(l);
		quick = false;
	}
	return quick;
}

/* Whether timers that a stall put off are due: they may stop the loop. */
static bool
timers_first(const struct mh_loop *l)
{
	int64_t next = mh_kern_next_us(l->k);

	return l->stalled && !l->skipped && next >= 0 &&
	    next <= clock_us(CLOCK_MONOTONIC);
}

static void
run_iteration(struct mh_loop *l)
{
	int64_t next, bound = -1, before, now, until;
	int64_t last = l->iteration_start_us;
	const apr_pollfd_t *ev = NULL;
	apr_int32_t n = 0;

	/* Hooks may read requests: not after the loop was to be stopped. */
	l->skipped = timers_first(l);
	if (!l->skipped)
		bound = run_hooks(l);
	next = mh_kern_next_us(l->k);
	before = clock_us(CLOCK_MONOTONIC);
	if (bound >= 0 && (next < 0 || before + bound < next))
		next = before + bound;
	arm(l, next);
	if (l->stop)
		return;
	log_slow_iteration(l);
	if (apr_pollset_poll(l->set, -1, &n, &ev) != APR_SUCCESS)
		return;
	now = set_clock(l);
	l->iteration_start_us = now;
	l->stalled = next >= 0 && now - MAX(before, next) > STALL_US;
	/* After a stall there may be input that this poll hasn't seen. */
	until = l->stalled ? before : now;
	l->unseen_us = now;
	if (l->stalled)
		l->unseen_us = MAX(before, next);
	else if (last != 0 && now - before < AT_ONCE_US)
		l->unseen_us = last;
	if (!handle_events(l, ev, n))
		l->stalled = true;
	if (!l->stop)
		mh_kern_run(l->k, until);
}

void
mh_loop_run(struct mh_loop *l)
{
	l->stop = false;
	l->stalled = false;
	l->skipped = false;
	set_clock(l);
	while (!l->stop)
		run_iteration(l);
}

void
mh_loop_stop(struct mh_loop *l)
{
	l->stop = true;
}
