/**
 * DOC: Named latency histograms, exported as Prometheus text.
 *
 * Service "meter" of a kernel; observations are dropped if it is not there.
 */

#include "gate.h"

/* Bucket limits, from a local network round trip to the longest deadline. */
static const int64_t bounds_us[] = { 500, 1000, 2000, 5000, 10000, 20000, 50000,
	100000, 200000, 300000, 500000, 800000, 1200000, 1600000, 2500000,
	4000000, 8000000, 20000000 };
#define N_BOUNDS (sizeof(bounds_us) / sizeof(bounds_us[0]))

struct series {
	uint64_t count[N_BOUNDS + 1];
	int64_t sum_us;
	uint64_t n;
};

struct meter {
	GHashTable *series; /* name -> struct series */
};

void
mh_observe(struct mh_kern *k, const char *name, int64_t us)
{
	struct meter *m = mh_kern_get(k, "meter");
	struct series *s;
	size_t i = 0;

	if (m == NULL)
		return;
	s = g_hash_table_lookup(m->series, name);
	if (s == NULL) {
		s = g_new0(struct series, 1);
		g_hash_table_insert(m->series, g_strdup(name), s);
	}
	while (i < N_BOUNDS && us > bounds_us[i])
		i++;
	s->count[i]++;
	s->sum_us += us;
	s->n++;
}

static void
add_series(GString *g, const char *name, const struct series *s)
{
	uint64_t n = 0;

	g_string_append_printf(
	    g, "# TYPE marlhoist_%s_seconds histogram\n", name);
	for (size_t i = 0; i < N_BOUNDS; i++) {
		n += s->count[i];
		g_string_append_printf(g,
		    "marlhoist_%s_seconds_bucket{le=\"%g\"} %" PRIu64 "\n",
		    name, (double)bounds_us[i] / (double)MH_US_PER_S, n);
	}
	g_string_append_printf(g,
	    "marlhoist_%s_seconds_bucket{le=\"+Inf\"} %" PRIu64 "\n"
	    "marlhoist_%s_seconds_sum %.6f\nmarlhoist_%s_seconds_count %" PRIu64
	    "\n",
	    name, s->n, name, (double)s->sum_us / (double)MH_US_PER_S, name,
	    s->n);
}

char *
mh_meter_text(struct mh_kern *k)
{
	struct meter *m = mh_kern_get(k, "meter");
	GString *g = g_string_new(NULL);
	GHashTableIter it;
	gpointer key, value;

	if (m == NULL)
		return g_string_free(g, FALSE);
	g_hash_table_iter_init(&it, m->series);
	while (g_hash_table_iter_next(&it, &key, &value))
		add_series(g, key, value);
	return g_string_free(g, FALSE);
}

static void
destroy(void *self)
{
	struct meter *m = self;

	g_hash_table_destroy(m->series);
	g_free(m);
}

void
mh_meter_create(struct mh_kern *k)
{
	struct meter *m = g_new0(struct meter, 1);

	m->series =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mh_kern_add(k, "meter", m, NULL, destroy);
}
