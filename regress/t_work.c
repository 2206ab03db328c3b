/**
 * DOC: marlwork: its file of load, and what the decisions about stage work
 * bring at the worst of load, from few entries to many.
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

/** struct sum - what a run came to. */
struct sum {
	uint32_t arrived;
	uint32_t on_time;
	double cost; /* calls and pieces of endpoints, in ms a served request */
};

static struct sum
play(const char *policy, uint32_t entries, uint32_t seed)
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
		sum.arrived += r->kinds[i].arrived;
		sum.on_time += r->kinds[i].on_time;
		done += r->kinds[i].done;
	}
	sum.cost = run_busy_ms(r) / MAX(done, 1);
	run_destroy(r);
	load_destroy(l);
	return sum;
}

/*
 * A burst of twice the calm rate over twenty entries, each sending its own
 * pieces as they come: calls go out nearly empty, endpoints are full of them
 * and a quarter of the requests is late.  With one home they meet first.
 */
static void
test_home_against_alone(void)
{
	for (uint32_t seed = 1; seed <= 3; seed++) {
		struct sum home = play("home", 20, seed);
		struct sum alone = play("alone", 20, seed);

		CU_ASSERT_EQUAL(home.arrived, alone.arrived);
		CU_ASSERT(home.on_time > alone.on_time * 1.15);
		CU_ASSERT(home.cost < alone.cost * 0.85);
	}
}

/*
 * The same load and endpoints an entry, with 4 entries and with 60: work that
 * is spread thinner over more entries must not cost more.
 */
static void
test_many_entries(void)
{
	struct sum few = play("home", 4, 1), many = play("home", 60, 1);

	CU_ASSERT((double)many.on_time / many.arrived >
	    (double)few.on_time / few.arrived * 0.97);
}

/* A wrong file of load is refused with its place or name and a remedy. */
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

/* Guards against an account that counts lines of other programs, or none. */
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
	{ "work: one home against each alone", test_home_against_alone },
	{ "work: from few entries to many", test_many_entries },
	{ "work: bad files", test_bad_files },
	{ "work: account", test_account },
	{ NULL, NULL },
};
