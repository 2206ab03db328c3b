/**
 * DOC: Where each second's work goes, by the log lines of entries.
 *
 * Reads lines "... t=SECONDS ev=KIND key=value ..." of any number of entries,
 * in any order, and counts them by second and by route or pool.  Lines of other
 * programs are passed over.
 */

#include "marlwork.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_MOST 4096
#define FIELD_MOST 128

/** struct routed - requests of a route that ended in one second. */
struct routed {
	uint32_t ended;
	uint32_t answered;
	uint32_t refused; /* not run, and told when to come back */
	uint32_t failed; /* sent, and no whole answer */
	uint32_t left; /* callers that left */
	uint32_t again; /* of those that ended, tries beyond the first */
	uint64_t took_ms; /* of those answered */
};

/** struct pooled - calls to the endpoints of a pool in one second. */
struct pooled {
	uint32_t calls;
	uint32_t pieces;
	uint32_t places; /* of these calls */
	uint64_t waiting; /* pieces left waiting behind each call, summed */
	uint32_t full_room; /* calls that left places empty while work waited */
};

/** struct stages - what became of stage work in one second. */
struct stages {
	uint32_t taken;
	uint32_t taken_late;
	uint32_t refused;
	uint32_t hopeless; /* taken, and given up on */
	uint32_t failed;
	uint32_t moved;
	uint32_t no_room; /* pieces that found none */
	uint32_t gone; /* pieces whose inputs were gone */
};

struct account {
	GHashTable *routes; /* "SECOND ROUTE" -> struct routed */
	GHashTable *pools; /* "SECOND POOL" -> struct pooled */
	GHashTable *stages; /* "SECOND" -> struct stages */
	double from_s; /* of the first line; NAN: none yet */
};

/* The value of a field, "" where it has none. */
static const char *
field(const char *line, const char *name, char out[FIELD_MOST])
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
	     *p != '\0' && *p != ' ' && *p != '\n' && n + 1 < FIELD_MOST; p++)
		out[n++] = *p;
	out[n] = '\0';
	return out;
}

static uint32_t
number(const char *line, const char *name)
{
	char text[FIELD_MOST];

	return (uint32_t)strtoul(field(line, name, text), NULL, 10);
}

/* The row of a second and a name, made when first asked for. */
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
note_end(struct account *a, uint32_t second, const char *line)
{
	char text[FIELD_MOST];
	struct routed *r =
	    row_of(a->routes, second, field(line, "route", text), sizeof(*r));
	uint32_t tries = number(line, "tries");

	r->ended++;
	r->again += tries > 1 ? tries - 1 : 0;
	field(line, "outcome", text);
	if (strcmp(text, "answered") == 0) {
		r->answered++;
		r->took_ms += number(line, "took_ms");
	} else if (strcmp(text, "caller_left") == 0) {
		r->left++;
	} else if (g_str_has_prefix(text, "run_")) {
		r->failed++;
	} else {
		r->refused++;
	}
}

static void
note_batch(struct account *a, uint32_t second, const char *line)
{
	char text[FIELD_MOST];
	struct pooled *p =
	    row_of(a->pools, second, field(line, "pool", text), sizeof(*p));
	uint32_t pieces = number(line, "pieces"), of = number(line, "of");
	uint32_t ready = number(line, "ready");

	p->calls++;
	p->pieces += pieces;
	p->places += of;
	p->waiting += ready;
	p->full_room += ready > 0 && pieces < of;
}

static void
note_stage(struct account *a, uint32_t second, const char *ev, const char *line)
{
	struct stages *s = row_of(a->stages, second, "", sizeof(*s));
	char text[FIELD_MOST];

	if (strcmp(ev, "job") == 0 &&
	    strcmp(field(line, "outcome", text), "taken") == 0) {
		s->taken++;
		s->taken_late += number(line, "late");
	} else if (strcmp(ev, "job") == 0) {
		s->refused++;
	} else if (strcmp(ev, "piece-refused") == 0) {
		field(line, "why", text);
		s->no_room += strcmp(text, "room") == 0;
		s->gone += strcmp(text, "gone") == 0;
	}
	s->hopeless += strcmp(ev, "job-hopeless") == 0;
	s->failed += strcmp(ev, "job-failed") == 0;
	s->moved += strcmp(ev, "job-moved") == 0;
}

static void
take_line(struct account *a, const char *line)
{
	char ev[FIELD_MOST], text[FIELD_MOST];
	double at = g_ascii_strtod(field(line, "t", text), NULL);
	uint32_t second;

	if (text[0] == '\0' || field(line, "ev", ev)[0] == '\0')
		return;
	if (isnan(a->from_s))
		a->from_s = floor(at);
	second = (uint32_t)MAX(at - a->from_s, 0);
	if (strcmp(ev, "end") == 0)
		note_end(a, second, line);
	else if (strcmp(ev, "batch") == 0)
		note_batch(a, second, line);
	else if (strcmp(ev, "job") == 0 || g_str_has_prefix(ev, "job-") ||
	    strcmp(ev, "piece-refused") == 0)
		note_stage(a, second, ev, line);
}

static gint
by_text(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void
each_row(GHashTable *t, void (*say)(const char *key, const void *row))
{
	GList *keys = g_list_sort(g_hash_table_get_keys(t), by_text);

	for (GList *l = keys; l != NULL; l = l->next)
		say(l->data, g_hash_table_lookup(t, l->data));
	g_list_free(keys);
}

static void
say_route(const char *key, const void *row)
{
	const struct routed *r = row;

	printf("%s %u %u %u %u %u %u %" PRIu64 "\n", key, r->ended, r->answered,
	    r->refused, r->failed, r->left, r->again,
	    r->answered == 0 ? 0 : r->took_ms / r->answered);
}

static void
say_pool(const char *key, const void *row)
{
	const struct pooled *p = row;

	printf("%s %u %u %.2f %" PRIu64 " %u\n", key, p->calls, p->pieces,
	    p->places == 0 ? 0 : (double)p->pieces / p->places,
	    p->calls == 0 ? 0 : p->waiting / p->calls, p->full_room);
}

static void
say_stages(const char *key, const void *row)
{
	const struct stages *s = row;

	printf("%s%u %u %u %u %u %u %u %u\n", key, s->taken, s->taken_late,
	    s->refused, s->hopeless, s->failed, s->moved, s->no_room, s->gone);
}

int
account(const char *file)
{
	struct account a = { .from_s = NAN };
	FILE *f = fopen(file, "r");
	char line[LINE_MOST];

	if (f == NULL) {
		fprintf(stderr,
		    "marlwork: %s cannot be read; name a file of log lines\n",
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
		take_line(&a, line);
	printf("# second route ended answered refused failed left again "
	       "mean_ms\n");
	each_row(a.routes, say_route);
	printf("\n\n# second pool calls pieces fill waiting parted_by_room\n");
	each_row(a.pools, say_pool);
	printf("\n\n# second taken taken_late refused hopeless failed moved "
	       "no_room inputs_gone\n");
	each_row(a.stages, say_stages);
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
