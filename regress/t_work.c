/**
 * DOC: marlwork: load files, the account of log lines, and the scheduling of
 * stage work during a burst with few and with many entries.
 */

#include "regress.h"
#include "marlwork.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HEAD "entries: 4\nseconds: 12\n"
#define POOLS                                                \
	"pools:\n"                                           \
	"  - {name: enc, endpoints: 5, batch: 16, calls: 3," \
	" call_ms: 30, piece_ms: 4}\n"                       \
	"  - {name: rer, endpoints: 4, batch: 16, calls: 3," \
	" call_ms: 40, piece_ms: 6}\n"
#define KINDS                                                            \
	"kinds:\n"                                                       \
	"  - name: booking\n"                                            \
	"    per_second: 70\n"                                           \
	"    aim_ms: 700\n"                                              \
	"    deadline_ms: 2000\n"                                        \
	"    stages: [{pool: enc, pieces: 2}, {pool: rer, pieces: 4}]\n" \
	"  - name: plan\n"                                               \
	"    per_second: 18\n"                                           \
	"    aim_ms: 1500\n"                                             \
	"    deadline_ms: 4000\n"                                        \
	"    stages: [{pool: enc, pieces: 12}]\n"
#define BURST "bursts:\n  - {from_s: 4, to_s: 8, times: 2}\n"

static struct wload *
read_text(const char *text, GError **err)
{
	char *file = g_strdup("/tmp/marlwork-XXXXXX");
	int fd = mkstemp(file);
	struct wload *l;

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	l = load_read(file, err);
	unlink(file);
	g_free(file);
	return l;
}

/** struct sum - results of a run. */
struct sum {
	uint32_t arrived;
	uint32_t on_time;
	double cost; /* busy time of endpoints in ms per request done */
};

static struct sum
run_policy(const char *policy, uint32_t entries, uint32_t seed)
{
	struct run_args a = {
		.policy = policy, .entries = entries, .seed = seed
	};
	struct sum sum = { 0 };
	uint32_t done = 0;
	GError *err = NULL;
	struct wload *l = read_text(HEAD POOLS KINDS BURST, &err);
	struct run *r;

	CU_ASSERT_PTR_NOT_NULL_FATAL(l);
	if (l == NULL)
		return sum;
	r = run_load(l, &a);
	for (guint i = 0; i < l->kinds->len; i++) {
		sum.arrived += r->tallies[i].arrived;
		sum.on_time += r->tallies[i].on_time;
		done += r->tallies[i].done;
	}
	sum.cost = run_busy_ms(r) / MAX(done, 1);
	run_destroy(r);
	load_destroy(l);
	return sum;
}

/*
 * Guards against small batches.  When each of twenty entries calls endpoints
 * with its own pieces only, calls are nearly empty and fill the queues of the
 * endpoints; in a burst of twice the normal rate a quarter of the requests then
 * misses the latency objective.  A coordinator batches the pieces of all
 * entries.
 */
static void
test_coordinator_against_alone(void)
{
	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct sum coordinator = run_policy("home", 20, seed);
		struct sum alone = run_policy("alone", 20, seed);

		CU_ASSERT_EQUAL(coordinator.arrived, alone.arrived);
		CU_ASSERT(coordinator.on_time > alone.on_time * 1.15);
		CU_ASSERT(coordinator.cost < alone.cost * 0.85);
	}
}

/*
 * With 60 entries instead of 4, and the same load and number of endpoints per
 * entry, the share of requests on time must not drop by more than 3 percent.
 */
static void
test_many_entries(void)
{
	struct sum few = run_policy("home", 4, 1),
		   many = run_policy("home", 60, 1);

	CU_ASSERT((double)many.on_time / many.arrived >
	    (double)few.on_time / few.arrived * 0.97);
}

/* Errors in a load file are reported with the line or name and a remedy. */
static void
test_bad_files(void)
{
	static const struct {
		const char *text;
		const char *says;
	} t[] = {
		{ "", "is empty" },
		{ HEAD POOLS, "\"kinds\": is missing; add it" },
		{ HEAD POOLS KINDS "bursts: 3\n", "is not a list" },
		{ HEAD POOLS KINDS "rate: 3\n", "\"rate\": is not known" },
		{ "entries: 0\nseconds: 12\n" POOLS KINDS,
		    "line 1: field \"entries\": is out of range" },
		{ HEAD "pools: []\n" KINDS, "0 pools are declared" },
		{ HEAD POOLS KINDS "losses:\n  - {pool: x, endpoints: 1,"
				   " from_s: 1, to_s: 2}\n",
		    "pool \"x\" is not declared; add it" },
		{ HEAD POOLS "kinds:\n  - {name: a, per_second: 1, aim_ms: 9,"
			     " deadline_ms: 9, stages: []}\n",
		    "kind \"a\" has 0 stages" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		GError *err = NULL;
		struct wload *l = read_text(t[i].text, &err);

		CU_ASSERT_PTR_NULL(l);
		CU_ASSERT_PTR_NOT_NULL(
		    err != NULL ? strstr(err->message, t[i].says) : NULL);
		g_clear_error(&err);
	}
}

/* Lines of other programs must not be counted, and those of entries must. */
static void
test_account(void)
{
	static const char lines[] =
	    "  1.0 e1 t=100.200 ev=end id=a route=r outcome=answered "
	    "took_ms=40 "
	    "tries=2 runs=1\n"
	    "  1.1 e2 t=101.300 ev=end id=b route=r outcome=too_busy took_ms=1 "
	    "tries=0\n"
	    "another program says t=1 and stops\n\nev=end\n"
	    "t=101.9 ev=batch batch=1 pool=p node=n pieces=3 of=12 ready=40\n"
	    "t=101.9 ev=job id=a outcome=taken late=1 jobs=3\n"
	    "t=101.9 ev=job-hopeless id=a left_ms=3\n"
	    "t=102.0 ev=piece-refused batch=1 id=a stage=0 piece=1 why=room\n";
	static const char *const rows[] = { "     0 r 1 1 0 0 0 1 40\n",
		"     1 r 1 0 1 0 0 0 0\n", "     1 p 1 3 0.25 40 1\n",
		"     1 1 1 0 1 0 0 0 0\n", "     2 0 0 0 0 0 0 1 0\n" };
	char *in = g_strdup("/tmp/account-XXXXXX"), *out = NULL;
	char *to = g_strdup("/tmp/account-XXXXXX");
	int fd = mkstemp(in), out_fd = mkstemp(to), was = dup(STDOUT_FILENO);

	CU_ASSERT_FATAL(fd >= 0 && out_fd >= 0 && was >= 0);
	CU_ASSERT_EQUAL(
	    write(fd, lines, strlen(lines)), (ssize_t)strlen(lines));
	close(fd);
	fflush(stdout);
	CU_ASSERT(dup2(out_fd, STDOUT_FILENO) >= 0);
	CU_ASSERT_EQUAL(account(in), 0);
	fflush(stdout);
	CU_ASSERT(dup2(was, STDOUT_FILENO) >= 0);
	close(was);
	close(out_fd);
	CU_ASSERT_TRUE(g_file_get_contents(to, &out, NULL, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		CU_ASSERT_PTR_NOT_NULL(strstr(out, rows[i]));
	CU_ASSERT_EQUAL(account("/nowhere/at/all"), 2);
	unlink(in);
	unlink(to);
	g_free(out);
	g_free(in);
	g_free(to);
}

const struct test tests_work[] = {
	{ "work: coordinator against each entry alone",
	    test_coordinator_against_alone },
	{ "work: from few entries to many", test_many_entries },
	{ "work: bad files", test_bad_files },
	{ "work: account", test_account },
	{ NULL, NULL },
};
