/**
 * DOC: Tests of the kernel, the loop, histograms, UUIDs and rendezvous hashing.
 */

#include "gate.h"
#include "net.h"
#include "regress.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

struct probe {
	struct mh_kern *k;
	struct mh_timer *t;
	int order[8];
	int n;
};

static void
fire_a(void *arg)
{
	struct probe *p = arg;

	p->order[p->n++] = 1;
}

static void
fire_b(void *arg)
{
	struct probe *p = arg;

	p->order[p->n++] = 2;
	mh_timer_stop(p->k, &p->t);
}

static void
test_timers_in_order(void)
{
	struct probe p = { .k = mh_kern_create(1) };

	mh_timer_start(p.k, 20, fire_a, &p);
	mh_timer_start(p.k, 10, fire_b, &p);
	mh_timer_set(p.k, &p.t, 15, fire_a, &p);
	CU_ASSERT_EQUAL(mh_kern_next_us(p.k), 10);
	mh_kern_advance(p.k, 30, 0);
	CU_ASSERT_EQUAL(p.n, 2);
	CU_ASSERT_EQUAL(p.order[0], 2);
	CU_ASSERT_EQUAL(p.order[1], 1);
	CU_ASSERT_EQUAL(mh_kern_next_us(p.k), -1);
	mh_kern_destroy(p.k);
}

/* Guards against a timer that is replaced and yet fires. */
static void
test_timer_set_again(void)
{
	struct probe p = { .k = mh_kern_create(1) };

	mh_timer_set(p.k, &p.t, 10, fire_b, &p);
	mh_timer_set(p.k, &p.t, 20, fire_a, &p);
	CU_ASSERT_EQUAL(mh_kern_next_us(p.k), 20);
	mh_kern_advance(p.k, 30, 0);
	CU_ASSERT_EQUAL(p.n, 1);
	CU_ASSERT_EQUAL(p.order[0], 1);
	CU_ASSERT_PTR_NULL(p.t);
	CU_ASSERT_EQUAL(mh_kern_next_us(p.k), -1);
	mh_kern_destroy(p.k);
}

/*
 * The platform sets the clock of a VM back.  If the kernel's time followed,
 * timers would stop, deadlines would move and requests would hang.
 */
static void
test_time_never_goes_back(void)
{
	struct mh_kern *k = mh_kern_create(1);

	mh_kern_advance(k, 100, 0);
	mh_kern_advance(k, 50, 0);
	CU_ASSERT_EQUAL(mh_now(k), 100);
	mh_kern_destroy(k);
}

/** struct stall - a loop with a pipe that is read, and a timer. */
struct stall {
	struct mh_kern *k;
	struct mh_loop *l;
	int pipe[2];
	uint32_t stalls; /* of callbacks, left */
	uint32_t reads;
	uint32_t reads_before; /* the timer */
	uint32_t hooks; /* calls after the first read */
	struct mh_timer *timer;
	int64_t read_us; /* mh_now() then */
};

#define STALL_TIMER_US (200 * MH_US_PER_MS)

static void
on_stall_timer(void *arg)
{
	struct stall *s = arg;

	s->reads_before = s->reads;
	mh_loop_stop(s->l);
}

static void
on_stall_pipe(void *arg, bool readable, bool writable)
{
	struct stall *s = arg;
	char c;

	(void)readable;
	(void)writable;
	if (read(s->pipe[0], &c, 1) != 1)
		return;
	s->reads++;
	s->read_us = mh_now(s->k);
	if (s->stalls == 0)
		return;
	s->stalls--;
	CU_ASSERT_EQUAL(write(s->pipe[1], "y", 1), 1);
	g_usleep(STALL_TIMER_US * 2);
}

static void
stall_create(struct stall *s)
{
	memset(s, 0, sizeof(*s));
	s->k = mh_kern_create(1);
	s->l = mh_loop_create(s->k, NULL);
	CU_ASSERT_EQUAL(pipe(s->pipe), 0);
	mh_loop_fd(s->l, s->pipe[0], true, false, on_stall_pipe, s);
	mh_timer_set(s->k, &s->timer, STALL_TIMER_US, on_stall_timer, s);
}

static void
stall_destroy(struct stall *s)
{
	mh_loop_fd_close(s->l, s->pipe[0]);
	close(s->pipe[0]);
	close(s->pipe[1]);
	mh_kern_destroy(s->k);
	mh_loop_destroy(s->l);
}

static void
on_stalling_timer(void *arg)
{
	struct stall *s = arg;

	CU_ASSERT_EQUAL(write(s->pipe[1], "x", 1), 1);
	g_usleep(STALL_TIMER_US * 2);
}

/* A slow timer: a byte that came meanwhile is no silence to the next one. */
static void
test_input_before_timers(void)
{
	struct stall s;

	stall_create(&s);
	mh_timer_start(s.k, STALL_TIMER_US / 4, on_stalling_timer, &s);
	mh_loop_run(s.l);
	CU_ASSERT_EQUAL(s.reads_before, 1);
	stall_destroy(&s);
}

/* The same beside a slow handler of input, such as a large configuration's. */
static void
test_slow_input_before_timers(void)
{
	struct stall s;

	stall_create(&s);
	s.stalls = 1;
	CU_ASSERT_EQUAL(write(s.pipe[1], "x", 1), 1);
	mh_loop_run(s.l);
	CU_ASSERT_EQUAL(s.reads_before, 2);
	stall_destroy(&s);
}

/* Runs in a process of its own; returns 0 if the byte came before the timer. */
static int
run_stopped(struct stall *s)
{
	mh_loop_run(s->l);
	return s->reads_before == 1 ? 0 : 1;
}

/* The same for a process that is stopped and goes on. */
static void
test_stopped_process(void)
{
	int status = -1;
	struct stall s;
	pid_t pid;

	stall_create(&s);
	pid = fork();
	if (pid == 0)
		_exit(run_stopped(&s));
	CU_ASSERT_FATAL(pid > 0);
	g_usleep(STALL_TIMER_US / 4);
	CU_ASSERT_EQUAL(kill(pid, SIGSTOP), 0);
	g_usleep(STALL_TIMER_US / 4);
	CU_ASSERT_EQUAL(write(s.pipe[1], "x", 1), 1);
	g_usleep(STALL_TIMER_US * 2);
	CU_ASSERT_EQUAL(kill(pid, SIGCONT), 0);
	CU_ASSERT_EQUAL(waitpid(pid, &status, 0), pid);
	CU_ASSERT_TRUE(WIFEXITED(status));
	CU_ASSERT_EQUAL(WEXITSTATUS(status), 0);
	stall_destroy(&s);
}

static void
on_second_stall(void *arg, bool readable, bool writable)
{
	struct stall *s = arg;
	char c;

	(void)readable;
	(void)writable;
	CU_ASSERT_EQUAL(read(s->pipe[0], &c, 1), 1);
	g_usleep(STALL_TIMER_US);
}

/* A handler that follows a slow one starts its timers at the time it runs. */
static void
test_clock_after_slow_input(void)
{
	struct stall s, other;
	int64_t start_us;

	stall_create(&s);
	stall_create(&other);
	start_us = mh_now(s.k);
	/* Both are ready in one turn, the slow one first. */
	mh_loop_fd(s.l, other.pipe[0], true, false, on_second_stall, &other);
	CU_ASSERT_EQUAL(write(other.pipe[1], "x", 1), 1);
	CU_ASSERT_EQUAL(write(s.pipe[1], "x", 1), 1);
	mh_loop_run(s.l);
	CU_ASSERT_EQUAL(s.reads, 1);
	CU_ASSERT_TRUE(s.read_us - start_us >= STALL_TIMER_US);
	mh_loop_fd_close(s.l, other.pipe[0]);
	stall_destroy(&other);
	stall_destroy(&s);
}

static void
nothing(void *arg)
{
	(void)arg;
}

static int64_t
count_hooks(void *arg)
{
	struct stall *s = arg;

	s->hooks += s->reads > 0;
	return -1;
}

/* What a slow handler wrote goes out before the next wait, however long. */
static void
test_hooks_after_slow_input(void)
{
	struct stall s;

	stall_create(&s);
	mh_timer_stop(s.k, &s.timer);
	mh_timer_start(s.k, STALL_TIMER_US * 4, on_stall_timer, &s);
	mh_loop_before_wait(s.l, count_hooks, &s);
	s.stalls = 1;
	CU_ASSERT_EQUAL(write(s.pipe[1], "x", 1), 1);
	mh_loop_run(s.l);
	CU_ASSERT_EQUAL(s.reads, 2);
	CU_ASSERT_TRUE(s.hooks >= 2);
	stall_destroy(&s);
}

static void
on_slow_pipe(void *arg, bool readable, bool writable)
{
	struct stall *s = arg;

	(void)readable;
	(void)writable;
	s->reads++;
	g_usleep(STALL_TIMER_US / 2);
}

/* Hooks run although each turn is slow and a timer is due in it. */
static void
test_hooks_in_overload(void)
{
	struct stall s;

	stall_create(&s);
	mh_timer_stop(s.k, &s.timer);
	mh_timer_start(s.k, STALL_TIMER_US * 4, on_stall_timer, &s);
	for (int64_t us = 0; us < STALL_TIMER_US * 4; us += 5 * MH_US_PER_MS)
		mh_timer_start(s.k, us, nothing, NULL);
	mh_loop_fd(s.l, s.pipe[0], true, false, on_slow_pipe, &s);
	mh_loop_before_wait(s.l, count_hooks, &s);
	CU_ASSERT_EQUAL(write(s.pipe[1], "x", 1), 1);
	mh_loop_run(s.l);
	CU_ASSERT_TRUE(s.hooks >= 2);
	stall_destroy(&s);
}

/** struct sent - a signal that waits for a slow callback. */
struct sent {
	struct mh_kern *k;
	struct mh_loop *l;
	int64_t least_us; /* mh_loop_signal_us() */
	int64_t seen_us;
};

static void
on_sent(void *arg)
{
	struct sent *s = arg;

	s->least_us = mh_loop_signal_us(s->l);
	s->seen_us = mh_now(s->k);
	mh_loop_stop(s->l);
}

static void
send_signal(void *arg)
{
	(void)arg;
	CU_ASSERT_EQUAL(kill(getpid(), SIGUSR2), 0);
}

static void
send_signal_and_stall(void *arg)
{
	send_signal(arg);
	g_usleep(STALL_TIMER_US);
}

/* A signal's deadlines count from its sending, not from the end of a stall. */
static void
test_signal_in_a_stall(void)
{
	static const mh_timer_fn senders[] = { send_signal,
		send_signal_and_stall };

	for (size_t i = 0; i < G_N_ELEMENTS(senders); i++) {
		struct sent s = { .k = mh_kern_create(1) };
		int64_t start_us;
		sigset_t set;

		s.l = mh_loop_create(s.k, NULL);
		mh_loop_signal(s.l, SIGUSR2, on_sent, &s);
		start_us = mh_now(s.k) + STALL_TIMER_US;
		mh_timer_start(s.k, STALL_TIMER_US, senders[i], &s);
		mh_loop_run(s.l);
		CU_ASSERT_TRUE(s.least_us >= start_us);
		CU_ASSERT_TRUE(s.least_us < start_us + STALL_TIMER_US / 2);
		CU_ASSERT_EQUAL(s.seen_us >= start_us + STALL_TIMER_US, i == 1);
		mh_kern_destroy(s.k);
		mh_loop_destroy(s.l);
		sigemptyset(&set);
		sigaddset(&set, SIGUSR2);
		sigprocmask(SIG_UNBLOCK, &set, NULL);
	}
}

static void
test_unknown_service_is_counted(void)
{
	struct mh_kern *k = mh_kern_create(1);

	mh_post(k, "nobody", mh_msg_new(MH_MSG_CALLER_LEFT));
	CU_ASSERT_EQUAL(mh_counter(k, "kern_undelivered"), 1);
	mh_kern_destroy(k);
}

static void
test_hist_quantile_within_a_bucket(void)
{
	struct mh_hist *h = mh_hist_create();

	for (int i = 1; i <= 1000; i++)
		mh_hist_add(h, i * 1000);
	CU_ASSERT_EQUAL(mh_hist_count(h), 1000);
	CU_ASSERT(mh_hist_quantile(h, 0.5) > 480000);
	CU_ASSERT(mh_hist_quantile(h, 0.5) < 520000);
	CU_ASSERT(mh_hist_quantile(h, 0.99) > 950000);
	mh_hist_destroy(h);
}

static void
test_uuid7_contains_time(void)
{
	struct mh_kern *k = mh_kern_create(1);
	uint8_t id[MH_ID_LEN];
	char *text;

	mh_kern_advance(k, 1, NET_START_WALL_US);
	mh_uuid7(k, id);
	text = mh_uuid_text(id);
	CU_ASSERT_EQUAL(mh_uuid7_ms(text), NET_START_WALL_US / 1000);
	text[14] = '4';
	CU_ASSERT_EQUAL(mh_uuid7_ms(text), -1);
	CU_ASSERT_EQUAL(mh_uuid7_ms("booking-17"), -1);
	g_free(text);
	mh_kern_destroy(k);
}

/* Removing a node moves only the keys that it owned. */
static void
test_rendezvous_moves_few_keys(void)
{
	int moved = 0, owned = 0;

	for (int i = 0; i < 1000; i++) {
		char key[16], node[16];
		uint64_t best10 = 0, best9 = 0;
		int at10 = 0, at9 = 0;

		snprintf(key, sizeof(key), "k%d", i);
		for (int j = 0; j < 10; j++) {
			uint64_t w;

			snprintf(node, sizeof(node), "n%d", j);
			w = mh_rendezvous(key, node);
			if (w > best10) {
				best10 = w;
				at10 = j;
			}
			if (j < 9 && w > best9) {
				best9 = w;
				at9 = j;
			}
		}
		owned += at10 == 9;
		moved += at10 != at9;
	}
	CU_ASSERT_EQUAL(moved, owned);
	CU_ASSERT(owned > 60 && owned < 140);
}

const struct test tests_kern[] = {
	{ "timers_in_order", test_timers_in_order },
	{ "timer set again", test_timer_set_again },
	{ "time_never_goes_back", test_time_never_goes_back },
	{ "loop: input before timers", test_input_before_timers },
	{ "loop: slow input before timers", test_slow_input_before_timers },
	{ "loop: a stopped process", test_stopped_process },
	{ "loop: the clock after slow input", test_clock_after_slow_input },
	{ "loop: hooks after slow input", test_hooks_after_slow_input },
	{ "loop: hooks in overload", test_hooks_in_overload },
	{ "loop: a signal in a stall", test_signal_in_a_stall },
	{ "unknown_service_is_counted", test_unknown_service_is_counted },
	{ "hist_quantile_within_a_bucket", test_hist_quantile_within_a_bucket },
	{ "uuid7_contains_time", test_uuid7_contains_time },
	{ "rendezvous_moves_few_keys", test_rendezvous_moves_few_keys },
	{ NULL, NULL },
};
