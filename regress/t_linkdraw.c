/**
 * DOC: Drawn faults of links and entries in virtual time, with stage work.
 *
 * Connections lose frames in one direction or both without a reset, or are
 * reset; entries are cut off, paused and restarted, with or without a reset.
 */

#include "regress.h"
#include "entwork.h"
#include "meshint.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S

#define STEP_US (100 * MS)
#define WARM_UP_US (10 * S)
#define FAULTS_US (8 * S)
#define AGREE_US (5 * S)
/* See meshorder.c; and a heartbeat interval with the network delay. */
#define SETTLED_US (8 * S)
#define NOTICE_US (400 * MS)
/* Of a job, so that each can be sent again after the last fault. */
#define DEADLINE_US (14 * S)
/* No connection may be silent for longer. */
#define MAX_SILENCE_US (4 * S)

struct draw;

/** struct member - an entry, its stage work and what it knows of the store. */
struct member {
	struct draw *d;
	struct ment *m;
	struct ent work;
	int64_t state_end_us; /* of a cut, a pause or a restart; 0: none */
	bool restarts; /* at state_end_us */
	int64_t conf_at_us; /* when the store confirmed its configuration */
};

/** struct drawn_job - a job of a client. */
struct drawn_job {
	struct mh_job *job; /* NULL: freed */
	struct member *at;
	int64_t deadline_us;
	int64_t leave_us; /* its client leaves; 0: it stays */
	uint32_t ends;
};

struct draw {
	uint32_t seed;
	GRand *rand;
	struct mrig *r;
	struct member all[ENTRIES];
	GPtrArray *jobs; /* struct drawn_job */
	int64_t read_us; /* when any entry last read the store */
	uint32_t not_done;
	uint32_t late;
	uint32_t repeated_ends;
	uint32_t silent;
	uint32_t too_young;
	uint32_t disagree;
};

static uint64_t
v_version(void *arg)
{
	(void)arg;
	return 1;
}

static struct mh_rev
v_rows_rev(void *arg)
{
	(void)arg;
	return (struct mh_rev) { 0, 1 };
}

static int64_t
v_rows_age(void *arg)
{
	(void)arg;
	return 0;
}

static void
v_rows_unchanged(void *arg, int64_t age_us)
{
	(void)arg;
	(void)age_us;
}

static bool
v_yes(void *arg)
{
	(void)arg;
	return true;
}

static int64_t
v_conf_age(void *arg)
{
	const struct member *a = arg;

	return mh_now(a->m->k) - a->conf_at_us;
}

static void
v_conf_unchanged(void *arg, int64_t age_us)
{
	struct member *a = arg;

	a->conf_at_us = MAX(a->conf_at_us, mh_now(a->m->k) - age_us);
}

static void
on_end(void *arg, struct mh_job *j, enum mh_job_end end, int64_t retry_us)
{
	struct member *a = arg;

	(void)retry_us;
	for (guint i = 0; i < a->d->jobs->len; i++) {
		struct drawn_job *w = g_ptr_array_index(a->d->jobs, i);

		if (w->job != j)
			continue;
		a->d->repeated_ends += ++w->ends > 1;
		a->d->not_done += end != MH_JOB_DONE;
	}
}

static void
start_work(struct member *a)
{
	const struct mh_mesh_view v = { .conf_version = v_version,
		.rows_rev = v_rows_rev,
		.rows_age_us = v_rows_age,
		.rows_unchanged = v_rows_unchanged,
		.ready = v_yes,
		.can_read = v_yes,
		.conf_age_us = v_conf_age,
		.conf_unchanged = v_conf_unchanged,
		.arg = a };

	a->work =
	    (struct ent) { .call_us =
			       g_rand_int_range(a->d->rand, 1, 30) * 10 * MS };
	a->conf_at_us = 0;
	ent_create(&a->work, a->m);
	mh_broker_on_end(a->work.b, on_end, a);
	mh_mesh_set_view(a->m->m, &v);
}

/* Clients of a process that ends are gone. */
static void
free_jobs_of(struct member *a)
{
	for (guint i = 0; i < a->d->jobs->len; i++) {
		struct drawn_job *w = g_ptr_array_index(a->d->jobs, i);

		if (w->at != a || w->job == NULL)
			continue;
		mh_broker_drop(a->work.b, w->job);
		mh_job_destroy(w->job);
		w->job = NULL;
	}
}

static void
restart(struct member *a)
{
	free_jobs_of(a);
	ent_destroy(&a->work);
	mh_kern_destroy(a->m->k);
	a->m->powered_off = a->m->down = false;
	mrig_start(a->m);
	start_work(a);
}

static bool
runs(const struct member *a)
{
	return !a->m->frozen && !a->m->powered_off && !a->m->down;
}

static struct member *
draw_member(struct draw *d)
{
	return &d->all[g_rand_int_range(d->rand, 0, ENTRIES)];
}

static enum mrig_loss
draw_loss(struct draw *d)
{
	return (enum mrig_loss)g_rand_int_range(
	    d->rand, LOSES_BOTH, LOSES_FROM_DIALER + 1);
}

static void
reset_links(struct draw *d, struct member *a)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (i == a->m->index)
			continue;
		mrig_reset(a->m, d->all[i].m);
		mrig_reset(d->all[i].m, a->m);
	}
}

/* Its open connections carry nothing more, as if their retransmissions failed.
 */
static void
lose_links(struct draw *d, struct member *a)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		mrig_lose(a->m, d->all[i].m, LOSES_BOTH);
		mrig_lose(d->all[i].m, a->m, LOSES_BOTH);
	}
}

/* A state of an entry that ends by itself. */
static void
draw_state(struct draw *d, struct member *a)
{
	if (a->state_end_us != 0)
		return;
	a->state_end_us =
	    d->r->now_us + g_rand_int_range(d->rand, 1, 25) * STEP_US;
	switch (g_rand_int_range(d->rand, 0, 4)) {
	case 0:
		lose_links(d, a);
		a->m->cut = true;
		break;
	case 1:
		a->m->frozen = true;
		break;
	case 2:
		reset_links(d, a);
		a->m->down = a->restarts = true;
		break;
	default:
		a->m->powered_off = a->restarts = true;
		break;
	}
}

static void
draw_fault(struct draw *d)
{
	struct member *a = draw_member(d), *b = draw_member(d);
	enum mrig_loss loss = draw_loss(d);

	if (a == b)
		return;
	switch (g_rand_int_range(d->rand, 0, 8)) {
	case 0:
	case 1:
		mrig_lose(a->m, b->m, loss);
		break;
	case 2:
		mrig_lose(a->m, b->m, LOSES_BOTH);
		mrig_lose(b->m, a->m, loss);
		break;
	case 3:
		if (runs(a) && runs(b))
			mrig_reset(a->m, b->m);
		break;
	case 4:
		for (uint32_t i = 0; i < ENTRIES; i++)
			mrig_lose(a->m, d->all[i].m, loss);
		break;
	case 5:
		lose_links(d, a);
		break;
	default:
		draw_state(d, a);
		break;
	}
}

static void
end_states(struct draw *d)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct member *a = &d->all[i];

		if (a->state_end_us == 0 || d->r->now_us < a->state_end_us)
			continue;
		a->state_end_us = 0;
		a->m->cut = a->m->frozen = false;
		if (a->restarts)
			restart(a);
		a->restarts = false;
	}
}

static void
draw_job(struct draw *d)
{
	static const char *const pools[] = { "a", "b", NULL };
	const uint32_t pieces[] = { 2, 1 };
	struct member *a = draw_member(d);
	struct drawn_job *w;
	int64_t now = mh_now(a->m->k);

	if (!runs(a))
		return;
	w = g_new0(struct drawn_job, 1);
	w->at = a;
	w->job = world_job(a->work.w, pools, pieces, DEADLINE_US, DEADLINE_US);
	w->job->arrived_us = now;
	w->job->slo_us = w->job->deadline_us = w->deadline_us =
	    now + DEADLINE_US;
	if (g_rand_int_range(d->rand, 0, 8) == 0)
		w->leave_us = now + g_rand_int_range(d->rand, 1, 15) * STEP_US;
	g_ptr_array_add(d->jobs, w);
	mh_broker_submit(a->work.b, w->job);
}

/* Returns the number of jobs that have not ended. */
static uint32_t
end_jobs(struct draw *d)
{
	uint32_t left = 0;

	for (guint i = 0; i < d->jobs->len; i++) {
		struct drawn_job *w = g_ptr_array_index(d->jobs, i);
		int64_t now = d->r->now_us;
		bool leaves = w->leave_us != 0 && now >= w->leave_us;

		if (w->job == NULL || !runs(w->at))
			continue;
		d->late += w->ends == 0 && now >= w->deadline_us;
		if (w->ends == 0 && !leaves && now < w->deadline_us) {
			left++;
			continue;
		}
		mh_broker_drop(w->at->work.b, w->job);
		mh_job_destroy(w->job);
		w->job = NULL;
	}
	return left;
}

static bool
is_silent(const struct mh_mesh *m, const struct peer_conn *c)
{
	return c->id != 0 &&
	    (mh_now(m->k) - c->recv_us > MAX_SILENCE_US ||
		mh_now(m->k) - c->sent_us > MAX_SILENCE_US);
}

static void
check_member(struct draw *d, const struct member *a)
{
	GHashTableIter it;
	gpointer value;

	d->too_young += a->conf_at_us > d->read_us;
	g_hash_table_iter_init(&it, a->m->m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *p = value;

		d->silent +=
		    is_silent(a->m->m, &p->out) || is_silent(a->m->m, &p->in);
	}
}

static void
step(struct draw *d, bool faults)
{
	struct member *reader = draw_member(d);

	if (faults && g_rand_int_range(d->rand, 0, 100) < 20)
		draw_fault(d);
	if (runs(reader) && g_rand_int_range(d->rand, 0, 10) == 0)
		reader->conf_at_us = d->read_us = d->r->now_us;
	mrig_run(d->r, STEP_US);
	end_states(d);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (runs(&d->all[i]))
			check_member(d, &d->all[i]);
	}
}

static bool
has_states(const struct draw *d)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		if (d->all[i].state_end_us != 0)
			return true;
	}
	return false;
}

/*
 * Whether an entry has just run for so long that it may coordinate whatever the
 * uptime of others: each of them notices that a little later or earlier.
 */
static bool
has_just_settled(const struct draw *d)
{
	for (uint32_t i = 0; i < ENTRIES; i++) {
		int64_t up_us = d->r->now_us - d->all[i].m->m->started_us;

		if (up_us >= SETTLED_US - NOTICE_US &&
		    up_us < SETTLED_US + NOTICE_US)
			return true;
	}
	return false;
}

/* Whether all entries name one coordinator. */
static bool
agree(struct draw *d)
{
	if (mrig_agreed(d->r) != NULL)
		return true;
	for (int n = 0; n < 10 && has_just_settled(d); n++)
		step(d, false);
	return mrig_agreed(d->r) != NULL;
}

static void
begin(struct draw *d, uint32_t seed)
{
	d->seed = seed;
	d->rand = g_rand_new_with_seed(seed);
	d->r = mrig_create();
	d->jobs = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		struct member *a = &d->all[i];

		a->d = d;
		a->m = &d->r->e[i];
		if (g_rand_boolean(d->rand))
			a->m->delay_us =
			    g_rand_int_range(d->rand, 1, 15) * 10 * MS;
		mrig_run(d->r, g_rand_int_range(d->rand, 0, 8) * 10 * MS);
		mh_kern_destroy(a->m->k);
		mrig_start(a->m);
		start_work(a);
	}
	mrig_run(d->r, WARM_UP_US);
}

static void
finish(struct draw *d)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		free_jobs_of(&d->all[i]);
	mrig_run(d->r, STEP_US);
	for (uint32_t i = 0; i < ENTRIES; i++)
		ent_destroy(&d->all[i].work);
	g_ptr_array_free(d->jobs, TRUE);
	mrig_destroy(d->r);
	g_rand_free(d->rand);
}

static void
run_seed(uint32_t seed)
{
	struct draw d = { 0 };
	int64_t start_us, end_us;

	begin(&d, seed);
	start_us = d.r->now_us;
	while (d.r->now_us < start_us + FAULTS_US) {
		draw_job(&d);
		step(&d, true);
		end_jobs(&d);
	}
	while (has_states(&d)) {
		step(&d, false);
		end_jobs(&d);
	}
	for (end_us = d.r->now_us + AGREE_US; d.r->now_us < end_us;) {
		step(&d, false);
		end_jobs(&d);
	}
	d.disagree = !agree(&d);
	while (end_jobs(&d) > 0)
		step(&d, false);
	if (d.late + d.repeated_ends + d.silent + d.too_young + d.disagree > 0)
		printf("seed %u: %u jobs late, %u ended twice, %u silent "
		       "connections, %u ages too young, %u disagree\n",
		    seed, d.late, d.repeated_ends, d.silent, d.too_young,
		    d.disagree);
	CU_ASSERT_EQUAL(d.late, 0);
	CU_ASSERT_EQUAL(d.repeated_ends, 0);
	CU_ASSERT_EQUAL(d.silent, 0);
	CU_ASSERT_EQUAL(d.too_young, 0);
	CU_ASSERT_EQUAL(d.disagree, 0);
	finish(&d);
}

/*
 * Guards against a job that is never answered, a connection that stays open
 * though it carries nothing, entries that disagree on the coordinator, and a
 * configuration that counts as confirmed later than it was.
 */
static void
test_drawn_faults(void)
{
	for (uint32_t seed = regress_first_seed(1);
	     seed <= regress_last_seed(40); seed++)
		run_seed(seed);
}

const struct test tests_linkdraw[] = {
	{ "link: drawn faults", test_drawn_faults },
	{ NULL, NULL },
};
