/**
 * DOC: Memory that a process holds for others, and how its descriptors are
 * divided.
 *
 * Every buffer that a caller can fill is charged to a share of one account, the
 * share of its organisation.  The account is the bound of all of them together,
 * and no share may take what a new one needs: a share is over its part when it
 * holds more than PART_RATIO times what is free.
 */

#include "marlhoist.h"

#include <malloc.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/* A share alone may hold four fifths; each further one gets less. */
#define PART_RATIO 4
/* Free memory is returned to the system after a fall by so much. */
#define TRIM_BYTES (8U << 20)
/* Allocations from this size on are returned as soon as they are freed. */
#define MMAP_BYTES (128 << 10)

/* Of a machine's memory, in parts of MEMORY_PARTS. */
#define MEMORY_PARTS 32
#define CALLER_PARTS 20
#define LINK_PARTS 2
#define ADMIN_PARTS 1

/* Descriptors of files, and of the event loop. */
#define FILE_FDS 200
/* Of the other descriptors, in parts of FD_PARTS; calls get what is left. */
#define FD_PARTS 32
#define CALLER_FD_PARTS 16
#define LINK_FD_PARTS 8
#define ADMIN_FD_PARTS 1
#define ADMIN_CONNS 32

struct mh_share {
	struct mh_account *a;
	char *name;
	uint32_t refs;
	uint64_t bytes;
};

struct mh_account {
	struct mh_kern *k;
	uint64_t limit_bytes;
	uint64_t bytes;
	uint64_t most_bytes; /* since the last trim */
	uint64_t peak_bytes; /* since the start */
	GHashTable *shares; /* name -> struct mh_share */
	void (*on_over)(void *arg);
	void *on_over_arg;
	struct mh_timer *over_timer;
};

struct mh_account *
mh_account_create(struct mh_kern *k, uint64_t limit_bytes)
{
	struct mh_account *a = g_new0(struct mh_account, 1);

	a->k = k;
	a->limit_bytes = limit_bytes;
	a->shares = g_hash_table_new(g_str_hash, g_str_equal);
	return a;
}

void
mh_account_destroy(struct mh_account *a)
{
	if (a == NULL)
		return;
	mh_timer_stop(a->k, &a->over_timer);
	g_hash_table_destroy(a->shares);
	g_free(a);
}

void
mh_account_on_over(struct mh_account *a, void (*fn)(void *arg), void *arg)
{
	a->on_over = fn;
	a->on_over_arg = arg;
}

uint64_t
mh_account_bytes(const struct mh_account *a)
{
	return a->bytes;
}

uint64_t
mh_account_limit(const struct mh_account *a)
{
	return a->limit_bytes;
}

uint64_t
mh_account_peak(const struct mh_account *a)
{
	return a->peak_bytes;
}

struct mh_share *
mh_share_get(struct mh_account *a, const char *name)
{
	struct mh_share *s = g_hash_table_lookup(a->shares, name);

	if (s == NULL) {
		s = g_new0(struct mh_share, 1);
		s->a = a;
		s->name = g_strdup(name);
		g_hash_table_insert(a->shares, s->name, s);
	}
	s->refs++;
	return s;
}

void
mh_share_unref(struct mh_share *s)
{
	if (s == NULL || --s->refs > 0)
		return;
	g_hash_table_remove(s->a->shares, s->name);
	g_free(s->name);
	g_free(s);
}

const char *
mh_share_name(const struct mh_share *s)
{
	return s->name;
}

uint64_t
mh_share_bytes(const struct mh_share *s)
{
	return s->bytes;
}

static uint64_t
free_bytes(const struct mh_account *a, uint64_t more)
{
	return a->limit_bytes - MIN(a->limit_bytes, a->bytes + more);
}

bool
mh_share_fits(const struct mh_share *s, uint64_t more)
{
	return s->a->bytes + more <= s->a->limit_bytes &&
	    s->bytes + more <= PART_RATIO * free_bytes(s->a, more);
}

/* The share that is to give something back; NULL: none. */
struct mh_share *
mh_account_over(const struct mh_account *a)
{
	struct mh_share *largest = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, a->shares);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct mh_share *s = v;

		if (largest == NULL || s->bytes > largest->bytes)
			largest = s;
	}
	return largest == NULL || mh_share_fits(largest, 0) ? NULL : largest;
}

static void
on_over_timer(void *arg)
{
	struct mh_account *a = arg;

	a->on_over(a->on_over_arg);
}

static void
look(struct mh_account *a)
{
	if (a->on_over != NULL && a->over_timer == NULL &&
	    mh_account_over(a) != NULL)
		mh_timer_set(a->k, &a->over_timer, 0, on_over_timer, a);
}

void
mh_share_charge(struct mh_share *s, uint64_t was_bytes, uint64_t bytes)
{
	struct mh_account *a = s->a;

	s->bytes += bytes - was_bytes;
	a->bytes += bytes - was_bytes;
	a->most_bytes = MAX(a->most_bytes, a->bytes);
	a->peak_bytes = MAX(a->peak_bytes, a->bytes);
	if (bytes > was_bytes && !mh_share_fits(s, 0))
		look(a);
	if (a->bytes + TRIM_BYTES < a->most_bytes) {
		malloc_trim(0);
		a->most_bytes = a->bytes;
	}
}

void
mh_account_set_limit(struct mh_account *a, uint64_t limit_bytes)
{
	a->limit_bytes = limit_bytes;
	look(a);
}

/* division */

void
mh_memory_tune(void)
{
	/* Else the sizes move up with what is freed, and nothing returns. */
	(void)mallopt(M_MMAP_THRESHOLD, MMAP_BYTES);
	(void)mallopt(M_TRIM_THRESHOLD, MMAP_BYTES);
}

static uint64_t
machine_bytes(void)
{
	long pages = sysconf(_SC_PHYS_PAGES), size = sysconf(_SC_PAGESIZE);

	return pages > 0 && size > 0 ? (uint64_t)pages * (uint64_t)size : 0;
}

static uint32_t
process_fds(void)
{
	struct rlimit l;

	if (getrlimit(RLIMIT_NOFILE, &l) < 0 || l.rlim_cur == RLIM_INFINITY)
		return UINT32_MAX;
	return (uint32_t)MIN(l.rlim_cur, (rlim_t)UINT32_MAX);
}

void
mh_holdings_divide(struct mh_holdings *h, uint64_t memory_bytes, uint32_t fds)
{
	uint64_t memory = memory_bytes > 0 ? memory_bytes : machine_bytes();
	uint32_t most = process_fds();

	if (fds > 0)
		most = MIN(most, fds);
	most -= MIN(FILE_FDS, most / 2);
	h->caller_bytes = memory / MEMORY_PARTS * CALLER_PARTS;
	h->link_bytes = memory / MEMORY_PARTS * LINK_PARTS;
	h->admin_bytes = memory / MEMORY_PARTS * ADMIN_PARTS;
	h->caller_conns = MAX(most / FD_PARTS * CALLER_FD_PARTS, 1);
	h->link_conns = MAX(most / FD_PARTS * LINK_FD_PARTS, 1);
	h->admin_conns =
	    CLAMP(most / FD_PARTS * ADMIN_FD_PARTS, 1, ADMIN_CONNS);
}
