/**
 * DOC: marlwork: simulates the scheduling of stage work under a given load, in
 * virtual time.  Policy "home" schedules the work of all entries at the
 * coordinators of the slices; policy "alone" lets each entry schedule its own
 * work.  Arrivals are open loop, from a seed, and the same for both policies.
 */

#include "marlwork.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static G_GNUC_NORETURN void usage(const char *why);
static void read_args(struct run_args *a, int argc, char **argv);
static void report(const struct run *r);
static int write_series(const struct run *r);

int
main(int argc, char **argv)
{
	struct run_args a;
	struct wload *l;
	struct run *r;
	GError *err = NULL;
	int rc;

	if (argc == 3 && strcmp(argv[1], "account") == 0)
		return account(argv[2]);
	read_args(&a, argc, argv);
	l = load_read(a.file, &err);
	if (l == NULL) {
		fprintf(stderr, "marlwork: %s: %s\n", a.file, err->message);
		g_error_free(err);
		return 2;
	}
	r = run_load(l, &a);
	report(r);
	rc = write_series(r);
	run_destroy(r);
	load_destroy(l);
	return rc;
}

static G_GNUC_NORETURN void
usage(const char *why)
{
	fprintf(stderr,
	    "marlwork: %s\nusage: marlwork [--policy home|alone] "
	    "[--entries N] [--seed N] [--series FILE]\n  LOAD\n"
	    "       marlwork account LOG\n",
	    why);
	exit(2);
}

static void
read_args(struct run_args *a, int argc, char **argv)
{
	struct arg_file *file = arg_file1(NULL, NULL, "<load>", "");
	struct arg_str *policy = arg_str0(NULL, "policy", "<name>", "");
	struct arg_str *series = arg_str0(NULL, "series", "<file>", "");
	struct arg_int *entries = arg_int0(NULL, "entries", "<n>", "");
	struct arg_int *seed = arg_int0(NULL, "seed", "<n>", "");
	struct arg_end *end = arg_end(5);
	void *table[] = { file, policy, series, entries, seed, end };

	if (arg_parse(argc, argv, table) > 0)
		usage("a flag is unknown, or the load file is missing");
	memset(a, 0, sizeof(*a));
	a->file = file->filename[0];
	a->policy = policy->count > 0 ? policy->sval[0] : "home";
	a->series = series->count > 0 ? series->sval[0] : NULL;
	a->seed = seed->count > 0 ? (uint32_t)seed->ival[0] : 1;
	if (strcmp(a->policy, "home") != 0 && strcmp(a->policy, "alone") != 0)
		usage("--policy is home or alone");
	if (entries->count > 0 &&
	    (entries->ival[0] < 1 || entries->ival[0] > MAX_ENTRIES))
		usage("--entries is 1 to 64");
	a->entries = entries->count > 0 ? (uint32_t)entries->ival[0] : 0;
	/* The strings in @a belong to the table, which is never freed. */
}

static void
print_figure(const struct run *r, const char *what, const char *of,
    double value, const char *unit)
{
	printf("work %s entries=%u seed=%u %s %s %.4f %s\n", r->a->policy,
	    r->entries, r->a->seed, what, of, value, unit);
}

static double
share(uint32_t n, uint32_t all)
{
	return all > 0 ? (double)n / all : 0;
}

static void
report(const struct run *r)
{
	struct tally sum = { 0 };

	for (guint i = 0; i < r->l->kinds->len; i++) {
		const struct wkind *k = g_ptr_array_index(r->l->kinds, i);
		const struct tally *t = &r->tallies[i];

		print_figure(r, "on_time", k->name,
		    share(t->on_time, t->arrived), "share");
		print_figure(r, "refused", k->name,
		    share(t->refused, t->arrived), "share");
		if (t->done > 0)
			print_figure(r, "wait_p95", k->name,
			    (double)mh_hist_quantile(t->waits, 0.95) /
				MH_US_PER_MS,
			    "ms");
		sum.arrived += t->arrived;
		sum.on_time += t->on_time;
		sum.refused += t->refused;
		sum.done += t->done;
	}
	for (guint i = 0; i < r->l->pools->len; i++) {
		const struct wpool *p = g_ptr_array_index(r->l->pools, i);

		print_figure(r, "fill", p->name,
		    world_fill(r->w, p->name, p->batch), "share");
	}
	print_figure(r, "arrived", "all", sum.arrived, "requests");
	print_figure(
	    r, "on_time", "all", share(sum.on_time, sum.arrived), "share");
	print_figure(
	    r, "refused", "all", share(sum.refused, sum.arrived), "share");
	if (sum.done > 0)
		print_figure(r, "cost", "all", run_busy_ms(r) / sum.done,
		    "endpoint-ms a served request");
}

/* Writes a text table with a row for each second of arrival. */
static int
write_series(const struct run *r)
{
	FILE *f;

	if (r->a->series == NULL)
		return 0;
	f = fopen(r->a->series, "w");
	if (f == NULL) {
		fprintf(stderr,
		    "marlwork: %s cannot be written; give another file name\n",
		    r->a->series);
		return 1;
	}
	fprintf(f, "second arrived on_time done refused\n");
	for (uint32_t i = 0; i < r->n_seconds; i++)
		fprintf(f, "%u %u %u %u %u\n", i, r->seconds[i].arrived,
		    r->seconds[i].on_time, r->seconds[i].done,
		    r->seconds[i].refused);
	return fclose(f) == 0 ? 0 : 1;
}
