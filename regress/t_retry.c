/**
 * DOC: Retries of stage work by all entries together, in virtual time, while
 * links part them: in no window more than the requests and the slack allow.
 */

#include "entwork.h"
#include "regress.h"
#include "times.h"

#include <stdio.h>
#include <string.h>

#define MS MH_US_PER_MS
#define S MH_US_PER_S
#define RATIO 0.2
#define SLACK 50.0
#define WINDOW_US (10 * S)
#define POOL "a"

/** struct spent - requests and retries of all entries, in order of time. */
struct spent {
	GArray *requests; /* int64_t */
	GArray *retries; /* int64_t */
};

static void
spent_open(struct spent *p)
{
	p->requests = g_array_new(FALSE, FALSE, sizeof(int64_t));
	p->retries = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

static void
spent_close(struct spent *p)
{
	g_array_free(p->requests, TRUE);
	g_array_free(p->retries, TRUE);
}

static uint32_t
count_window(const GArray *times, int64_t end_us)
{
	return times_within(times, end_us, WINDOW_US - 1);
}

/* The highest part of what is allowed that the retries of a window use. */
static double
highest_use(const struct spent *p)
{
	double most = 0;

	for (guint i = 0; i < p->retries->len; i++) {
		int64_t t = g_array_index(p->retries, int64_t, i);
		uint32_t q = count_window(p->requests, t);

		q = MAX(q, count_window(p->requests, t - WINDOW_US / 2));
		q = MAX(q, count_window(p->requests, t - WINDOW_US));
		most = MAX(
		    most, count_window(p->retries, t) / (RATIO * q + SLACK));
	}
	return most;
}

/* grants */

static uint32_t
take_all(struct mh_budget *b)
{
	uint32_t n = 0;

	while (mh_budget_allows(b, POOL) && mh_budget_take(b, POOL))
		n++;
	return n;
}

static void
move_to(struct mh_kern *k, int64_t us)
{
	mh_kern_advance(k, us, us);
}

/*
 * Guards against retries that are spent twice, here and by the process that
 * they were granted to, which may do so until the deadline of its job.
 */
static void
test_grants(void)
{
	struct mh_budget_args a = { RATIO, SLACK, WINDOW_US };
	struct mh_kern *k = mh_kern_create(1);
	struct mh_budget *b;
	uint32_t whole;

	move_to(k, 100 * S);
	b = mh_budget_create(k, &a);
	whole = take_all(b);
	CU_ASSERT_EQUAL(whole, 40); /* a margin is left */
	move_to(k, 120 * S);
	for (int i = 0; i < 10; i++)
		CU_ASSERT_DOUBLE_EQUAL(mh_budget_grant(b, POOL, 1, 1), 1, 1e-9);
	CU_ASSERT_EQUAL(take_all(b), whole - 10);
	mh_budget_settle(b, POOL, 1, 1);
	CU_ASSERT_EQUAL(take_all(b), 1);
	mh_budget_settle(b, POOL, 1, 0);
	CU_ASSERT_EQUAL(take_all(b), 0);
	CU_ASSERT_DOUBLE_EQUAL(mh_budget_grant(b, POOL, 1, 1), 0, 1e-9);
	mh_budget_forfeit(b, POOL, 8, 125 * S);
	move_to(k, 131 * S); /* all but the forfeited ones are over */
	CU_ASSERT_EQUAL(take_all(b), whole - 8);
	move_to(k, 134 * S);
	CU_ASSERT_EQUAL(take_all(b), 0);
	mh_budget_destroy(b);
	mh_kern_destroy(k);
}

/* drawn partings */

#define STEP_US (100 * MS)
#define JOB_US (2 * S) /* deadline of a job */

/** enum parting - which entry has the work of each. */
enum parting {
	PART_NONE,
	PART_ALL, /* each is alone */
	PART_HALVES,
	PART_PAIRS, /* some are cut off from the others, two together */
	PART_ONE_WAY, /* some hold themselves for alone, others don't */
	PARTINGS
};

/** struct grant - retries that a job took along. */
struct grant {
	uint32_t home;
	uint32_t holder;
	double granted;
	double left;
	int64_t end_us; /* of the job; its home is told if it is linked */
	int64_t deadline_us;
	bool lost; /* its home has forfeited it */
};

/** struct parted - entries with a budget each, and what they granted. */
struct parted {
	struct mh_kern *k;
	GRand *rand;
	uint32_t n;
	struct mh_budget **budgets;
	uint32_t *holders;
	GArray *grants; /* struct grant */
	struct spent spent;
	int64_t now_us;
};

static uint32_t
draw(struct parted *p, uint32_t n)
{
	return (uint32_t)g_rand_int_range(p->rand, 0, (gint32)n);
}

static uint32_t
draw_holder(struct parted *p, enum parting how, uint32_t i)
{
	uint32_t pair = i & ~1U;

	switch (how) {
	case PART_NONE:
	case PARTINGS:
		break;
	case PART_ALL:
		return i;
	case PART_HALVES:
		return i < p->n / 2 ? 0 : p->n / 2;
	case PART_PAIRS:
		return draw(p, 2) == 0 ? 0 : pair;
	case PART_ONE_WAY:
		return draw(p, 2) == 0 ? 0 : i;
	}
	return 0;
}

/* Entries that take another one for the holder forfeit what it has. */
static void
part(struct parted *p)
{
	enum parting how = (enum parting)draw(p, PARTINGS);

	for (uint32_t i = 0; i < p->n; i++)
		p->holders[i] = draw_holder(p, how, i);
	for (guint i = 0; i < p->grants->len; i++) {
		struct grant *g = &g_array_index(p->grants, struct grant, i);

		if (g->lost || p->holders[g->home] == g->holder)
			continue;
		g->lost = true;
		mh_budget_forfeit(
		    p->budgets[g->home], POOL, g->granted, g->deadline_us);
	}
}

static void
request(struct parted *p, uint32_t i)
{
	struct grant g = { .home = i,
		.holder = p->holders[i],
		.end_us = p->now_us + (int64_t)(1 + draw(p, 10)) * STEP_US,
		.deadline_us = p->now_us + JOB_US };

	mh_budget_request(p->budgets[i], POOL);
	g_array_append_val(p->spent.requests, p->now_us);
	if (g.holder == i)
		return;
	g.granted = g.left = mh_budget_grant(p->budgets[i], POOL, 0.25, 0.5);
	g_array_append_val(p->grants, g);
}

static void
end_grants(struct parted *p)
{
	for (guint i = p->grants->len; i-- > 0;) {
		const struct grant *g =
		    &g_array_index(p->grants, struct grant, i);

		if (p->now_us < (g->lost ? g->deadline_us : g->end_us))
			continue;
		if (!g->lost)
			mh_budget_settle(
			    p->budgets[g->home], POOL, g->granted, g->left);
		g_array_remove_index_fast(p->grants, i);
	}
}

static void
retry(struct parted *p)
{
	g_array_append_val(p->spent.retries, p->now_us);
}

/* Retries of @holder with what jobs of others have brought. */
static void
spend_grants(struct parted *p, uint32_t holder)
{
	double sum = 0, take = 0;

	for (guint i = 0; i < p->grants->len; i++) {
		const struct grant *g =
		    &g_array_index(p->grants, struct grant, i);

		sum += g->holder == holder ? g->left : 0;
	}
	for (; sum >= 1; sum--) {
		retry(p);
		take++;
	}
	for (guint i = 0; i < p->grants->len && take > 0; i++) {
		struct grant *g = &g_array_index(p->grants, struct grant, i);
		double n = g->holder == holder ? MIN(g->left, take) : 0;

		g->left -= n;
		take -= n;
	}
}

static void
parted_step(struct parted *p)
{
	p->now_us += STEP_US;
	mh_kern_advance(p->k, p->now_us, p->now_us);
	end_grants(p);
	if (draw(p, 20) == 0)
		part(p);
	for (uint32_t i = 0; i < p->n; i++) {
		if (draw(p, 10) == 0)
			request(p, i);
	}
	/* Retries are needed at times, all that there are. */
	for (uint32_t i = 0; i < p->n && draw(p, 4) == 0; i++) {
		spend_grants(p, i);
		while (mh_budget_allows(p->budgets[i], POOL) &&
		    mh_budget_take(p->budgets[i], POOL))
			retry(p);
	}
}

static double
run_parted(uint32_t n, uint32_t seed, uint32_t steps)
{
	struct mh_budget_args a = { RATIO, SLACK, WINDOW_US };
	struct parted p = { .n = n, .rand = g_rand_new_with_seed(seed) };
	double use;

	p.k = mh_kern_create(seed);
	p.now_us = 100 * S;
	mh_kern_advance(p.k, p.now_us, p.now_us);
	p.budgets = g_new0(struct mh_budget *, n);
	p.holders = g_new0(uint32_t, n);
	p.grants = g_array_new(FALSE, FALSE, sizeof(struct grant));
	spent_open(&p.spent);
	for (uint32_t i = 0; i < n; i++) {
		p.budgets[i] = mh_budget_create(p.k, &a);
		mh_budget_share(p.budgets[i]);
		mh_budget_round(p.budgets[i]);
		mh_budget_entries(p.budgets[i], n);
	}
	for (uint32_t i = 0; i < steps; i++)
		parted_step(&p);
	use = highest_use(&p.spent);
	for (uint32_t i = 0; i < n; i++)
		mh_budget_destroy(p.budgets[i]);
	g_array_free(p.grants, TRUE);
	spent_close(&p.spent);
	g_free(p.budgets);
	g_free(p.holders);
	g_rand_free(p.rand);
	mh_kern_destroy(p.k);
	return use;
}

/*
 * Guards against shares that sum to more than the whole while links part the
 * entries, through the changes; and against shares of which little can be used.
 */
static void
test_drawn_partings(void)
{
	static const uint32_t sizes[] = { 4, 60, 358 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (uint32_t seed = 1; seed <= 5; seed++) {
			double use = run_parted(sizes[i], seed, 600);

			if (use > 1 || use < 0.5)
				printf("%u entries, seed %u: %.2f of the "
				       "retries\n",
				    sizes[i], seed, use);
			CU_ASSERT(use <= 1);
			CU_ASSERT(use >= 0.5);
		}
	}
}

/* entries with schedulers */

#define WORK "work"
#define ENDPOINTS 4
#define CALL_US (100 * MS)
#define BATCH 8
#define JOB_EACH_US (200 * MS) /* of each entry */
#define SLO_US (2 * S)
#define DEADLINE_US (3 * S)
#define DOWN_US (1200 * MS) /* of an endpoint that crashes */

/** struct place - an endpoint that runs one call at a time. */
struct place {
	int64_t busy_until_us;
	int64_t down_until_us;
};

/** struct fleet - entries whose calls meet the same endpoints. */
struct fleet {
	struct mrig *r;
	struct ent all[ENTRIES];
	struct mh_budget *budgets[ENTRIES];
	struct place places[ENDPOINTS];
	GHashTable *seen; /* pieces that were sent */
	struct spent spent;
	GPtrArray *ended[ENTRIES]; /* struct mh_job */
	uint32_t jobs;
};

static struct place *
place_of(struct fleet *f, const char *node)
{
	return &f->places[(uint32_t)(node[strlen(node) - 1] - '0') % ENDPOINTS];
}

/* A call with a piece that was sent before is a retry. */
static enum mh_batch_end
on_call(struct ent *e, const struct mh_batch *b)
{
	struct fleet *f = e->arg;
	struct place *p = place_of(f, b->node);
	int64_t now = f->r->now_us;
	bool again = false;

	for (guint i = 0; i < b->items->len; i++) {
		const struct mh_batch_item *m =
		    &g_array_index(b->items, struct mh_batch_item, i);
		char *piece =
		    g_strdup_printf("%s %u %u", m->job->id, m->stage, m->piece);

		again = !g_hash_table_add(f->seen, piece) || again;
	}
	if (again)
		g_array_append_val(f->spent.retries, now);
	if (p->down_until_us > now)
		return MH_BATCH_LOST;
	if (p->busy_until_us > now)
		return MH_BATCH_FULL;
	p->busy_until_us = now + CALL_US;
	return MH_BATCH_DONE;
}

static void
on_end(struct ent *e, struct mh_job *j)
{
	struct fleet *f = e->arg;

	g_ptr_array_add(f->ended[e->m->index], j);
}

static void
create_entry(struct fleet *f, uint32_t i)
{
	struct mh_budget_args a = { RATIO, SLACK, WINDOW_US };
	struct ent *e = &f->all[i];

	f->budgets[i] = mh_budget_create(f->r->e[i].k, &a);
	mh_budget_share(f->budgets[i]);
	mh_budget_round(f->budgets[i]);
	mh_budget_entries(f->budgets[i], ENTRIES);
	f->ended[i] = g_ptr_array_new();
	e->budget = f->budgets[i];
	e->on_call = on_call;
	e->on_end = on_end;
	e->arg = f;
	e->call_us = CALL_US;
	ent_create(e, &f->r->e[i]);
	world_pool(e->w, WORK, ENDPOINTS, BATCH, CALL_US, 0, 0);
	mh_scheds_set_conf(e->cs, e->w->conf);
}

/* Endpoints are ejected, and used again, by the clock of their fleet. */
static void
advance(struct fleet *f, int64_t us)
{
	mrig_run(f->r, us);
	for (uint32_t i = 0; i < ENTRIES; i++)
		mh_kern_advance(f->all[i].w->k, f->r->now_us, f->r->now_us);
}

static struct fleet *
fleet_create(void)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->r = mrig_create();
	f->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	spent_open(&f->spent);
	for (uint32_t i = 0; i < ENTRIES; i++)
		create_entry(f, i);
	advance(f, 20 * S);
	return f;
}

static void
drop_ended(struct fleet *f, uint32_t entry)
{
	GPtrArray *all = f->ended[entry];

	for (guint i = 0; i < all->len; i++) {
		struct mh_job *j = g_ptr_array_index(all, i);

		mh_broker_drop(f->all[entry].b, j);
		mh_job_destroy(j);
	}
	g_ptr_array_set_size(all, 0);
}

static void
fleet_destroy(struct fleet *f)
{
	advance(f, DEADLINE_US);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		drop_ended(f, i);
		g_ptr_array_free(f->ended[i], TRUE);
		ent_destroy(&f->all[i]);
		mh_budget_destroy(f->budgets[i]);
	}
	g_hash_table_destroy(f->seen);
	spent_close(&f->spent);
	mrig_destroy(f->r);
	g_free(f);
}

static void
submit(struct fleet *f, uint32_t i)
{
	static const char *const pools[] = { WORK, NULL };
	const uint32_t pieces[] = { 1 };
	struct ent *e = &f->all[i];
	struct mh_job *j = world_job(e->w, pools, pieces, SLO_US, DEADLINE_US);

	g_free(j->id);
	j->id = g_strdup_printf("%u", ++f->jobs);
	j->slo_us = mh_now(e->m->k) + SLO_US;
	j->deadline_us = mh_now(e->m->k) + DEADLINE_US;
	g_array_append_val(f->spent.requests, f->r->now_us);
	mh_broker_submit(e->b, j);
}

/* All entries receive requests for @us, one after the other. */
static void
fleet_run(struct fleet *f, int64_t us)
{
	for (int64_t t = 0; t < us; t += JOB_EACH_US) {
		for (uint32_t i = 0; i < ENTRIES; i++) {
			submit(f, i);
			advance(f, JOB_EACH_US / ENTRIES);
		}
		for (uint32_t i = 0; i < ENTRIES; i++)
			drop_ended(f, i);
	}
}

/* Endpoints crash in turn for @us. */
static void
fleet_run_crashes(struct fleet *f, int64_t us)
{
	uint32_t next = 0;

	for (int64_t t = 0; t < us; t += DOWN_US / 2) {
		f->places[next++ % ENDPOINTS].down_until_us =
		    f->r->now_us + DOWN_US;
		fleet_run(f, DOWN_US / 2);
	}
}

static uint32_t
fleet_done(const struct fleet *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ENTRIES; i++)
		n += f->all[i].done;
	return n;
}

static void
check_spent(struct fleet *f)
{
	double use = highest_use(&f->spent);

	if (use > 1)
		printf("%.2f of the retries used, %u of %u jobs done\n", use,
		    fleet_done(f), f->jobs);
	CU_ASSERT(use <= 1);
}

static void
cut_all(struct fleet *f, bool cut)
{
	for (uint32_t i = 0; i < ENTRIES; i++)
		f->r->e[i].cut = cut;
}

/*
 * Guards against entries that are all alone and each take the budget of a
 * coordinator while they meet at the same endpoints.
 */
static void
test_alone(void)
{
	struct fleet *f = fleet_create();

	fleet_run(f, 4 * S);
	CU_ASSERT_EQUAL(f->spent.retries->len, 0);
	cut_all(f, true);
	fleet_run(f, 12 * S);
	cut_all(f, false);
	fleet_run(f, 8 * S);
	check_spent(f);
	fleet_destroy(f);
}

/* Guards against the same while endpoints crash. */
static void
test_alone_beside_crashes(void)
{
	struct fleet *f = fleet_create();

	fleet_run_crashes(f, 4 * S);
	cut_all(f, true);
	fleet_run_crashes(f, 12 * S);
	cut_all(f, false);
	fleet_run_crashes(f, 8 * S);
	check_spent(f);
	fleet_destroy(f);
}

/*
 * Guards against jobs that are sent to the endpoints again each time they lose
 * their coordinator, and against a budget that refuses them while it is not
 * used.
 */
static void
test_coordinators_that_flap(void)
{
	struct fleet *f = fleet_create();

	fleet_run(f, 4 * S);
	for (int i = 0; i < 8; i++) {
		struct ment *e = mrig_agreed(f->r);

		if (e != NULL)
			e->cut = true;
		fleet_run(f, 2 * S);
		cut_all(f, false);
		fleet_run(f, S);
	}
	check_spent(f);
	CU_ASSERT(fleet_done(f) >= f->jobs * 9 / 10);
	fleet_destroy(f);
}

const struct test tests_retry[] = {
	{ "grants", test_grants },
	{ "drawn partings", test_drawn_partings },
	{ "alone", test_alone },
	{ "alone beside crashes", test_alone_beside_crashes },
	{ "coordinators that flap", test_coordinators_that_flap },
	{ NULL, NULL },
};
