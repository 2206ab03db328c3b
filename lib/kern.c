/**
 * DOC: Micro-kernel: named services, typed messages, timers, clocks,
 * seeded random numbers, counters and the log hook.
 */

#include "marlhoist.h"

#include <string.h>
#include <sys/tree.h>
#include <stdarg.h>
#include <stdio.h>

struct service {
	char *name;
	void *self;
	mh_handle_fn handle;
	mh_free_fn destroy;
};

struct mh_timer {
	RB_ENTRY(mh_timer) node;
	int64_t at_us;
	uint64_t seq;
	mh_timer_fn fn;
	void *arg;
	struct mh_timer **owner; /* set to NULL when it fires */
};

RB_HEAD(timer_tree, mh_timer);

struct mh_kern {
	GHashTable *services;
	GPtrArray *order;
	struct timer_tree timers;
	struct mh_msg *head;
	struct mh_msg **tail;
	int64_t now_us;
	int64_t wall_us;
	uint64_t last_id;
	uint64_t timer_seq;
	struct mh_timer *unowned; /* the latest one without an owner */
	GRand *rand;
	GHashTable *counters;
	mh_log_fn log;
	void *log_arg;
};

static int
timer_cmp(struct mh_timer *a, struct mh_timer *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us ? -1 : 1;
	if (a->seq != b->seq)
		return a->seq < b->seq ? -1 : 1;
	return 0;
}

/* <sys/tree.h> of libbsd marks the generated functions with this. */
#ifndef __unused
#define __unused __attribute__((unused))
#endif
RB_GENERATE_STATIC(timer_tree, mh_timer, node, timer_cmp)

struct mh_kern *
mh_kern_create(uint32_t seed)
{
	struct mh_kern *k = g_new0(struct mh_kern, 1);

	k->services = g_hash_table_new(g_str_hash, g_str_equal);
	k->order = g_ptr_array_new();
	k->counters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	k->rand = g_rand_new_with_seed(seed);
	k->tail = &k->head;
	RB_INIT(&k->timers);
	return k;
}

void
mh_kern_destroy(struct mh_kern *k)
{
	struct mh_timer *t;
	struct mh_msg *m;

	if (k == NULL)
		return;
	for (guint i = k->order->len; i > 0; i--) {
		struct service *s = k->order->pdata[i - 1];

		if (s->destroy != NULL)
			s->destroy(s->self);
		g_hash_table_remove(k->services, s->name);
		g_free(s->name);
		g_free(s);
	}
	while ((m = k->head) != NULL) {
		k->head = m->next;
		mh_msg_free(m);
	}
	while ((t = RB_MIN(timer_tree, &k->timers)) != NULL) {
		RB_REMOVE(timer_tree, &k->timers, t);
		g_free(t);
	}
	g_ptr_array_free(k->order, TRUE);
	g_hash_table_destroy(k->services);
	g_hash_table_destroy(k->counters);
	g_rand_free(k->rand);
	g_free(k);
}

void
mh_kern_add(struct mh_kern *k, const char *name, void *self,
    mh_handle_fn handle, mh_free_fn destroy)
{
	struct service *s = g_new0(struct service, 1);

	s->name = g_strdup(name);
	s->self = self;
	s->handle = handle;
	s->destroy = destroy;
	g_hash_table_insert(k->services, s->name, s);
	g_ptr_array_add(k->order, s);
}

void *
mh_kern_get(struct mh_kern *k, const char *name)
{
	struct service *s = g_hash_table_lookup(k->services, name);

	return s == NULL ? NULL : s->self;
}

struct mh_msg *
mh_msg_new(enum mh_msg_kind kind)
{
	struct mh_msg *m = g_new0(struct mh_msg, 1);

	m->kind = kind;
	return m;
}

static void
free_bytes(GBytes *b)
{
	if (b != NULL)
		g_bytes_unref(b);
}

static void
free_link(struct mh_link_msg *l)
{
	g_free(l->addr);
	g_free(l->vm);
	g_free(l->domain);
	g_free(l->role);
	g_free(l->pool);
	free_bytes(l->frame);
}

static void
free_request(struct mh_request_msg *r)
{
	g_free(r->method);
	g_free(r->path);
	g_free(r->key);
	g_free(r->idempotency_key);
	g_free(r->class_name);
	if (r->labels != NULL)
		g_hash_table_destroy(r->labels);
	free_bytes(r->body);
}

void
mh_msg_free(struct mh_msg *m)
{
	switch (m->kind) {
	case MH_MSG_LINK_DIAL:
	case MH_MSG_LINK_SEND:
	case MH_MSG_LINK_CLOSE:
	case MH_MSG_LINK_UP:
	case MH_MSG_LINK_DOWN:
	case MH_MSG_LINK_RX_PROGRESS:
	case MH_MSG_FRAME:
		free_link(&m->u.link);
		break;
	case MH_MSG_REQUEST:
	case MH_MSG_CALLER_LEFT:
		free_request(&m->u.request);
		break;
	case MH_MSG_REPLY:
		free_bytes(m->u.reply.body);
		break;
	case MH_MSG_RUN:
	case MH_MSG_RUN_ABORT:
	case MH_MSG_RUN_CHUNK:
	case MH_MSG_RUN_DONE:
		g_free(m->u.run.path);
		g_free(m->u.run.key);
		g_free(m->u.run.org);
		free_bytes(m->u.run.body);
		break;
	case MH_MSG_KV:
	case MH_MSG_KV_DONE:
		g_free(m->u.kv.reply_to);
		g_free(m->u.kv.name);
		free_bytes(m->u.kv.value);
		break;
	case MH_MSG_VMLIST:
		if (m->u.vmlist.vms != NULL)
			g_ptr_array_unref(m->u.vmlist.vms);
		break;
	case MH_MSG_VMLIST_READ:
		break;
	}
	g_free(m);
}

void
mh_post(struct mh_kern *k, const char *to, struct mh_msg *m)
{
	m->to = g_hash_table_lookup(k->services, to);
	if (m->to == NULL) {
		mh_count(k, "kern_undelivered", 1);
		mh_msg_free(m);
		return;
	}
	m->next = NULL;
	*k->tail = m;
	k->tail = &m->next;
}

static void
drain(struct mh_kern *k)
{
	struct mh_msg *m;

	while ((m = k->head) != NULL) {
		struct service *s = m->to;

		k->head = m->next;
		if (k->head == NULL)
			k->tail = &k->head;
		s->handle(s->self, m);
		mh_msg_free(m);
	}
}

void
mh_kern_set_clock(struct mh_kern *k, int64_t now_us, int64_t wall_us)
{
	/* Time never goes backwards, even if the caller's clock does. */
	if (now_us > k->now_us)
		k->now_us = now_us;
	k->wall_us = wall_us;
}

void
mh_kern_run(struct mh_kern *k, int64_t until_us)
{
	struct mh_timer *t;

	drain(k);
	while ((t = RB_MIN(timer_tree, &k->timers)) != NULL &&
	    t->at_us <= until_us) {
		mh_timer_fn fn = t->fn;
		void *arg = t->arg;

		RB_REMOVE(timer_tree, &k->timers, t);
		*t->owner = NULL;
		g_free(t);
		fn(arg);
		drain(k);
	}
}

void
mh_kern_advance(struct mh_kern *k, int64_t now_us, int64_t wall_us)
{
	mh_kern_set_clock(k, now_us, wall_us);
	mh_kern_run(k, k->now_us);
}

int64_t
mh_kern_next_us(struct mh_kern *k)
{
	struct mh_timer *t = RB_MIN(timer_tree, &k->timers);

	if (k->head != NULL)
		return k->now_us;
	return t == NULL ? -1 : t->at_us;
}

int64_t
mh_now(struct mh_kern *k)
{
	return k->now_us;
}

int64_t
mh_wall(struct mh_kern *k)
{
	return k->wall_us;
}

uint64_t
mh_next_id(struct mh_kern *k)
{
	return ++k->last_id;
}

uint64_t
mh_random(struct mh_kern *k)
{
	uint64_t high = g_rand_int(k->rand);

	return high << 32 | g_rand_int(k->rand);
}

double
mh_random_unit(struct mh_kern *k)
{
	return g_rand_double(k->rand);
}

static void
add_timer(struct mh_kern *k, struct mh_timer **t, int64_t delay_us,
    mh_timer_fn fn, void *arg)
{
	*t = g_new0(struct mh_timer, 1);
	(*t)->owner = t;
	(*t)->at_us = k->now_us + MAX(delay_us, 0);
	(*t)->seq = ++k->timer_seq;
	(*t)->fn = fn;
	(*t)->arg = arg;
	RB_INSERT(timer_tree, &k->timers, *t);
}

/*
 * Two timers in one pointer can't run: the first would outlive its owner, who
 * could stop only the second.
 */
void
mh_timer_set(struct mh_kern *k, struct mh_timer **t, int64_t delay_us,
    mh_timer_fn fn, void *arg)
{
	mh_timer_stop(k, t);
	add_timer(k, t, delay_us, fn, arg);
}

void
mh_timer_start(struct mh_kern *k, int64_t delay_us, mh_timer_fn fn, void *arg)
{
	add_timer(k, &k->unowned, delay_us, fn, arg);
}

void
mh_timer_stop(struct mh_kern *k, struct mh_timer **t)
{
	if (*t == NULL)
		return;
	RB_REMOVE(timer_tree, &k->timers, *t);
	g_free(*t);
	*t = NULL;
}

void
mh_kern_set_log(struct mh_kern *k, mh_log_fn fn, void *arg)
{
	k->log = fn;
	k->log_arg = arg;
}

void
mh_log(struct mh_kern *k, const char *component, const char *fmt, ...)
{
	va_list ap;
	char *line;

	if (k->log == NULL)
		return;
	va_start(ap, fmt);
	line = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	k->log(k->log_arg, component, line);
	g_free(line);
}

void
mh_count(struct mh_kern *k, const char *name, uint64_t n)
{
	uint64_t *c = g_hash_table_lookup(k->counters, name);

	if (c == NULL) {
		c = g_new0(uint64_t, 1);
		g_hash_table_insert(k->counters, g_strdup(name), c);
	}
	*c += n;
}

uint64_t
mh_counter(struct mh_kern *k, const char *name)
{
	uint64_t *c = g_hash_table_lookup(k->counters, name);

	return c == NULL ? 0 : *c;
}

static GList *
counter_names(struct mh_kern *k)
{
	GList *names = g_hash_table_get_keys(k->counters);

	return g_list_sort(names, (GCompareFunc)strcmp);
}

char *
mh_kern_metrics(struct mh_kern *k)
{
	GString *s = g_string_new(NULL);
	GList *names = counter_names(k);

	for (GList *l = names; l != NULL; l = l->next) {
		const char *n = l->data;

		g_string_append_printf(s,
		    "# TYPE marlhoist_%s counter\n"
		    "marlhoist_%s %" PRIu64 "\n",
		    n, n, mh_counter(k, n));
	}
	g_list_free(names);
	return g_string_free(s, FALSE);
}

json_t *
mh_kern_counters(struct mh_kern *k)
{
	json_t *o = json_object();
	GList *names = counter_names(k);

	for (GList *l = names; l != NULL; l = l->next)
		json_object_set_new(o, l->data,
		    json_integer((json_int_t)mh_counter(k, l->data)));
	g_list_free(names);
	return o;
}

void
mh_uuid7(struct mh_kern *k, uint8_t id[MH_ID_LEN])
{
	uint64_t ms = (uint64_t)(k->wall_us / MH_US_PER_MS);
	uint64_t a = mh_random(k), b = mh_random(k);

	for (int i = 0; i < 6; i++)
		id[i] = (uint8_t)(ms >> (40 - 8 * i));
	id[6] = (uint8_t)(0x70 | (a & 0x0f));
	id[7] = (uint8_t)(a >> 8);
	id[8] = (uint8_t)(0x80 | (b & 0x3f));
	for (int i = 9; i < MH_ID_LEN; i++)
		id[i] = (uint8_t)(b >> (8 * (i - 8)));
}

char *
mh_uuid_text(const uint8_t id[MH_ID_LEN])
{
	GString *s = g_string_sized_new(37);

	for (int i = 0; i < MH_ID_LEN; i++) {
		if (i == 4 || i == 6 || i == 8 || i == 10)
			g_string_append_c(s, '-');
		g_string_append_printf(s, "%02x", id[i]);
	}
	return g_string_free(s, FALSE);
}

int64_t
mh_uuid7_ms(const char *text)
{
	int64_t ms = 0;

	if (strlen(text) != 36 || text[14] != '7')
		return -1;
	for (int i = 0; i < 36; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (dash ? text[i] != '-' : !g_ascii_isxdigit(text[i]))
			return -1;
		if (i < 13 && !dash)
			ms = ms << 4 | g_ascii_xdigit_value(text[i]);
	}
	return ms;
}

struct mh_vm *
mh_vm_new(const char *id, const char *addr, const char *role, const char *pool,
    const char *domain, bool draining)
{
	struct mh_vm *vm = g_new0(struct mh_vm, 1);

	vm->id = g_strdup(id);
	vm->addr = g_strdup(addr);
	vm->role = g_strdup(role);
	vm->pool = g_strdup(pool);
	vm->domain = g_strdup(domain);
	vm->draining = draining;
	return vm;
}

void
mh_vm_free(struct mh_vm *vm)
{
	g_free(vm->id);
	g_free(vm->addr);
	g_free(vm->role);
	g_free(vm->pool);
	g_free(vm->domain);
	g_free(vm);
}
