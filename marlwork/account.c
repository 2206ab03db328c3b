/**
 * DOC: marlwork account: counts the log events of entries by second and by
 * route or pool.
 *
 * Reads lines "... t=SECONDS ev=KIND key=value ..." of any number of entries.
 * Seconds are counted from the first line; events of an earlier time count for
 * its second.  Other lines are ignored.
 */

#include "marlwork.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE_BYTES 4096
#define MAX_FIELD_BYTES 128

/** struct route_counts - requests of a route that ended in a second. */
struct route_counts {
	uint32_t ended;
	uint32_t answered;
	uint32_t refused; /* any other outcome; not sent */
	uint32_t failed; /* sent, but without a complete response */
	uint32_t clients_left; /* clients that disconnected */
	uint32_t retries; /* tries after the first */
	uint64_t took_ms; /* total latency of those answered */
};

/** struct pool_counts - calls to the endpoints of a pool in a second. */
struct pool_counts {
	uint32_t calls;
	uint32_t pieces;
	uint32_t places; /* total capacity of these calls, in pieces */
	uint64_t waiting; /* pieces still ready after each call, summed */
	uint32_t underfilled; /* calls below capacity with pieces ready */
};

/** struct stage_counts - events of stage work in a second. */
struct stage_counts {
	uint32_t accepted; /* jobs accepted */
	uint32_t misses_slo; /* of these, expected to miss the objective */
	uint32_t refused;
	uint32_t hopeless; /* ended as the deadline would be missed */
	uint32_t failed;
	uint32_t handed_off;
	uint32_t no_memory; /* pieces refused for lack of result memory */
	uint32_t no_inputs; /* pieces refused because inputs were missing */
};

struct account {
	GHashTable *routes; /* "SECOND ROUTE" -> struct route_counts */
	GHashTable *pools; /* "SECOND POOL" -> struct pool_counts */
	GHashTable *stages; /* "SECOND" -> struct stage_counts */
	double first_s; /* of the first event, rounded down; NAN: none yet */
};

/* Copies the value of a field to @out, "" if the line has no such field. */
static const char *
field(const char *line, const char *name, char out[MAX_FIELD_BYTES])
{
	size_t len = strlen(name), n = 0;
	const char *p = line;

	out[0] = '\0';
	while ((p = strstr(p, name)) != NULL) {
		if ((p == line || p[-1] == ' ') && p[len] == '=')
			break;
		p += len;
	}
	if (p == NULL)
		return out;
	for (p += len + 1;
	     *p != '\0' && *p != ' ' && *p != '\n' && n + 1 < MAX_FIELD_BYTES;
	     p++)
		out[n++] = *p;
	out[n] = '\0';
	return out;
}

static uint32_t
number(const char *line, const char *name)
{
	char text[MAX_FIELD_BYTES];

	return (uint32_t)strtoul(field(line, name, text), NULL, 10);
}

/* Returns the row of a second and a name; creates it if it is missing. */
static void *
row_of(GHashTable *t, uint32_t second, const char *name, size_t size)
{
	char *key = g_strdup_printf("%6u %s", second, name);
	void *row = g_hash_table_lookup(t, key);

	if (row != NULL) {
		g_free(key);
		return row;
	}
	row = g_malloc0(size);
	g_hash_table_insert(t, key, row);
	return row;
}

static void
count_end(struct account *a, uint32_t second, const char *line)
{
	char text[MAX_FIELD_BYTES];
	struct route_counts *r =
	    row_of(a->routes, second, field(line, "route", text), sizeof(*r));
	uint32_t tries = number(line, "tries");

	r->ended++;
	r->retries += tries > 1 ? tries - 1 : 0;
	field(line, "outcome", text);
	if (strcmp(text, "answered") == 0) {
		r->answered++;
		r->took_ms += number(line, "took_ms");
	} else if (strcmp(text, "caller_left") == 0) {
		r->clients_left++;
	} else if (g_str_has_prefix(text, "run_")) {
		r->failed++;
	} else {
		r->refused++;
	}
}

static void
count_batch(struct account *a, uint32_t second, const char *line)
{
	char text[MAX_FIELD_BYTES];
	struct pool_counts *p =
	    row_of(a->pools, second, field(line, "pool", text), sizeof(*p));
	uint32_t pieces = number(line, "pieces"), of = number(line, "of");
	uint32_t ready = number(line, "ready");

	p->calls++;
	p->pieces += pieces;
	p->places += of;
	p->waiting += ready;
	p->underfilled += ready > 0 && pieces < of;
}

static void
count_stage_event(
    struct account *a, uint32_t second, const char *ev, const char *line)
{
	struct stage_counts *s = row_of(a->stages, second, "", sizeof(*s));
	char text[MAX_FIELD_BYTES];

	if (strcmp(ev, "job") == 0 &&
	    strcmp(field(line, "outcome", text), "taken") == 0) {
		s->accepted++;
		s->misses_slo += number(line, "late");
	} else if (strcmp(ev, "job") == 0) {
		s->refused++;
	} else if (strcmp(ev, "piece-refused") == 0) {
		field(line, "why", text);
		s->no_memory += strcmp(text, "room") == 0;
		s->no_inputs += strcmp(text, "gone") == 0;
	}
	s->hopeless += strcmp(ev, "job-hopeless") == 0;
	s->failed += strcmp(ev, "job-failed") == 0;
	s->handed_off += strcmp(ev, "job-moved") == 0;
}

static void
count_line(struct account *a, const char *line)
{
	char ev[MAX_FIELD_BYTES], text[MAX_FIELD_BYTES];
	double at = g_ascii_strtod(field(line, "t", text), NULL);
	uint32_t second;

	if (text[0] == '\0' || field(line, "ev", ev)[0] == '\0')
		return;
	if (isnan(a->first_s))
		a->first_s = floor(at);
	second = (uint32_t)MAX(at - a->first_s, 0);
	if (strcmp(ev, "end") == 0)
		count_end(a, second, line);
	else if (strcmp(ev, "batch") == 0)
		count_batch(a, second, line);
	else if (strcmp(ev, "job") == 0 || g_str_has_prefix(ev, "job-") ||
	    strcmp(ev, "piece-refused") == 0)
		count_stage_event(a, second, ev, line);
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void
print_rows(GHashTable *t, void (*print_row)(const char *key, const void *row))
{
	GList *keys = g_list_sort(g_hash_table_get_keys(t), compare_keys);

	for (GList *l = keys; l != NULL; l = l->next)
		print_row(l->data, g_hash_table_lookup(t, l->data));
	g_list_free(keys);
}

static void
print_route(const char *key, const void *row)
{
	const struct route_counts *r = row;

	printf("%s %u %u %u %u %u %u %" PRIu64 "\n", key, r->ended, r->answered,
	    r->refused, r->failed, r->clients_left, r->retries,
	    r->answered == 0 ? 0 : r->took_ms / r->answered);
}

static void
print_pool(const char *key, const void *row)
{
	const struct pool_counts *p = row;

	printf("%s %u %u %.2f %" PRIu64 " %u\n", key, p->calls, p->pieces,
	    p->places == 0 ? 0 : (double)p->pieces / p->places,
	    p->calls == 0 ? 0 : p->waiting / p->calls, p->underfilled);
}

static void
print_stages(const char *key, const void *row)
{
	const struct stage_counts *s = row;

	printf("%s%u %u %u %u %u %u %u %u\n", key, s->accepted, s->misses_slo,
	    s->refused, s->hopeless, s->failed, s->handed_off, s->no_memory,
	    s->no_inputs);
}

int
account(const char *file)
{
	struct account a = { .first_s = NAN };
	FILE *f = fopen(file, "r");
	char line[MAX_LINE_BYTES];

	if (f == NULL) {
		fprintf(stderr,
		    "marlwork: %s cannot be read; give the name of a log "
		    "file\n",
		    file);
		return 2;
	}
	a.routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a.pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a.stages =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	while (fgets(line, sizeof(line), f) != NULL)
		count_line(&a, line);
	printf("# second route ended answered refused failed left again "
	       "mean_ms\n");
	print_rows(a.routes, print_route);
	printf("\n\n# second pool calls pieces fill waiting parted_by_room\n");
	print_rows(a.pools, print_pool);
	printf("\n\n# second taken taken_late refused hopeless failed moved "
	       "no_room inputs_gone\n");
	print_rows(a.stages, print_stages);
	g_hash_table_destroy(a.routes);
	g_hash_table_destroy(a.pools);
	g_hash_table_destroy(a.stages);
	if (ferror(f) != 0) {
		fprintf(stderr, "marlwork: %s: reading failed\n", file);
		fclose(f);
		return 1;
	}
	return fclose(f) == 0 ? 0 : 1;
}
