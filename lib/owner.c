/**
 * DOC: The owner table of one service: for each at-most-once partition, the
 * side process that may start its calls.  It is stored in the KV service as one
 * small JSON value and changed only by compare-and-swap.  The epoch of a
 * partition only increases.
 */

#include "marlhoist.h"

#include <string.h>

struct mh_owners {
	char *service;
	uint64_t version; /* the KV's modify index */
	bool kv_stale;
	struct mh_partition part[MH_PARTITIONS];
};

struct mh_owners *
mh_owners_create(const char *service)
{
	struct mh_owners *o = g_new0(struct mh_owners, 1);

	o->service = g_strdup(service);
	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		o->part[p].vm = g_strdup("");
	return o;
}

void
mh_owners_destroy(struct mh_owners *o)
{
	if (o == NULL)
		return;
	for (uint32_t p = 0; p < MH_PARTITIONS; p++)
		g_free(o->part[p].vm);
	g_free(o->service);
	g_free(o);
}

const struct mh_partition *
mh_owners_part(const struct mh_owners *o, uint32_t p)
{
	return &o->part[p % MH_PARTITIONS];
}

void
mh_owners_set_version(struct mh_owners *o, uint64_t version)
{
	o->version = version;
}

void
mh_owners_set(struct mh_owners *o, uint32_t p, const char *vm,
    uint64_t incarnation, uint64_t epoch, int64_t bound_ms)
{
	struct mh_partition *t = &o->part[p % MH_PARTITIONS];
	char *old = t->vm;

	t->vm = g_strdup(vm);
	t->incarnation = incarnation;
	t->epoch = epoch;
	t->bound_ms = bound_ms;
	g_free(old);
}

/* Incarnations have 64 bits and JSON integers 63: they are sent as text. */
static bool
parse_part(struct mh_owners *o, uint32_t p, json_t *j)
{
	const char *vm, *inc;
	json_int_t epoch, bound;

	if (json_unpack(j, "{s:s, s:s, s:I, s:I}", "vm", &vm, "incarnation",
		&inc, "epoch", &epoch, "bound_ms", &bound) != 0 ||
	    epoch < 0)
		return false;
	/* A restored KV service may have an old table: keep the newer epoch. */
	if ((uint64_t)epoch < o->part[p].epoch) {
		o->kv_stale = true;
		return true;
	}
	mh_owners_set(
	    o, p, vm, g_ascii_strtoull(inc, NULL, 16), (uint64_t)epoch, bound);
	return true;
}

bool
mh_owners_parse(struct mh_owners *o, GBytes *value)
{
	gsize len;
	const char *data = g_bytes_get_data(value, &len);
	json_t *a = json_loadb(data, len, 0, NULL);
	bool ok = json_array_size(a) == MH_PARTITIONS;

	o->kv_stale = false;
	for (uint32_t p = 0; ok && p < MH_PARTITIONS; p++)
		ok = parse_part(o, p, json_array_get(a, p));
	json_decref(a);
	return ok;
}

bool
mh_owners_kv_stale(const struct mh_owners *o)
{
	return o->kv_stale;
}

GBytes *
mh_owners_serialize(const struct mh_owners *o)
{
	json_t *a = json_array();
	char *text;

	for (uint32_t p = 0; p < MH_PARTITIONS; p++) {
		const struct mh_partition *t = &o->part[p];
		char inc[24];

		snprintf(inc, sizeof(inc), "%" PRIx64, t->incarnation);
		json_array_append_new(a,
		    json_pack("{s:s, s:s, s:I, s:I}", "vm", t->vm,
			"incarnation", inc, "epoch", (json_int_t)t->epoch,
			"bound_ms", (json_int_t)t->bound_ms));
	}
	text = json_dumps(a, JSON_COMPACT);
	json_decref(a);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

bool
mh_owners_merge(struct mh_owners *o, const Mh__Owners *f)
{
	bool changed = false;

	for (size_t i = 0; i < f->n_partitions && i < MH_PARTITIONS; i++) {
		const Mh__Partition *n = f->partitions[i];

		if (n->epoch <= o->part[i].epoch)
			continue;
		mh_owners_set(o, (uint32_t)i, n->vm, n->incarnation, n->epoch,
		    (int64_t)n->bound_ms);
		changed = true;
	}
	o->version = MAX(o->version, f->version);
	return changed;
}

void
mh_owners_send(struct mh_kern *k, const struct mh_owners *o, uint64_t conn)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Owners m = MH__OWNERS__INIT;
	Mh__Partition parts[MH_PARTITIONS];
	Mh__Partition *ptrs[MH_PARTITIONS];

	for (uint32_t p = 0; p < MH_PARTITIONS; p++) {
		mh__partition__init(&parts[p]);
		parts[p].vm = o->part[p].vm;
		parts[p].incarnation = o->part[p].incarnation;
		parts[p].epoch = o->part[p].epoch;
		parts[p].bound_ms = (uint64_t)o->part[p].bound_ms;
		ptrs[p] = &parts[p];
	}
	m.service = o->service;
	m.version = o->version;
	m.n_partitions = MH_PARTITIONS;
	m.partitions = ptrs;
	f.body_case = MH__FRAME__BODY_OWNERS;
	f.owners = &m;
	mh_frame_send(k, conn, &f);
}

uint32_t
mh_partition_of(const char *key)
{
	return (uint32_t)(mh_hash(key, strlen(key)) % MH_PARTITIONS);
}
