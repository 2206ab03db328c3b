/**
 * DOC: Declarations: pipelines, rules, classes, organisations and pools.
 *
 * The tables below define the format, which marlhoist.yaml(5) documents.  After
 * reading, cross references are checked, so that an accepted document can be
 * applied completely.
 */

#include "marlhoist.h"
#include "table.h"

#include <sodium.h>
#include <string.h>

#define MAX_MS 3600000.0
#define DEFAULT_STAGE_TIMEOUT_US (2 * MH_US_PER_S)
#define MAX_STAGES 6
#define MAX_DOMAIN 128

static const char *const routing_words[] = { "two-choices", "round-robin",
	NULL };
static const char *const queue_words[] = { "urgent-first", "fifo", NULL };
static const char *const admission_words[] = { "deadline", "all", NULL };
static const char *const retry_words[] = { "budget", "plain", NULL };
static const char *const kind_words[] = { "encode", "retrieve", "rerank",
	"generate", "service", NULL };
static const char *const repeat_words[] = { "safe", "never", NULL };

static const struct mh_field policy_fields[] = {
	FENUM("routing", mh_policy, routing, false, routing_words),
	FENUM("queue", mh_policy, queueing, false, queue_words),
	FENUM("admission", mh_policy, admission, false, admission_words),
	FENUM("retries", mh_policy, retrying, false, retry_words),
	F(mh_policy, hedge, MH_F_BOOL, false, 0, 0),
	F(mh_policy, affinity, MH_F_BOOL, false, 0, 0),
	FN("fixed_timeout_ms", mh_policy, fixed_timeout_us, MH_F_MS, false, 0,
	    MAX_MS),
	F(mh_policy, retry_share, MH_F_DOUBLE, false, 0, 1),
	FN("retention_ms", mh_policy, retention_us, MH_F_MS, false, 1000,
	    86400000),
	FN("clock_skew_ms", mh_policy, skew_us, MH_F_MS, false, 0, 60000),
	FN("vm_gone_ms", mh_policy, vm_removed_us, MH_F_MS, false, 1000,
	    MAX_MS),
	F(mh_policy, weight_in, MH_F_DOUBLE, false, 0, 100),
	F(mh_policy, weight_cached, MH_F_DOUBLE, false, 0, 100),
	F(mh_policy, weight_out, MH_F_DOUBLE, false, 0, 100),
	FEND,
};
static const struct mh_table policy_table =
    TABLE("policy", mh_policy, policy_fields, NULL);

static const struct mh_field class_fields[] = {
	F(mh_class, name, MH_F_STR, true, 0, 0),
	F(mh_class, priority, MH_F_U32, true, 0, MH_PRIORITIES - 1),
	FN("deadline_ms", mh_class, deadline_us, MH_F_MS, true, 1, MAX_MS),
	F(mh_class, share, MH_F_DOUBLE, false, 0, 0.5),
	FEND,
};

static const struct mh_field pool_fields[] = {
	F(mh_pool, name, MH_F_STR, true, 0, 0),
	FENUM("kind", mh_pool, kind, true, kind_words),
	F(mh_pool, checks_fencing, MH_F_BOOL, false, 0, 0),
	F(mh_pool, honours_priority, MH_F_BOOL, false, 0, 0),
	F(mh_pool, prefix_cache, MH_F_BOOL, false, 0, 0),
	FN("warmup_ms", mh_pool, warmup_us, MH_F_MS, false, 0, MAX_MS),
	F(mh_pool, cold_per_s, MH_F_DOUBLE, false, 0, 1e6),
	FEND,
};

/* The "repeat" word of a stage is read as an enum and stored as a bool. */
struct raw_stage {
	struct mh_stage s;
	uint32_t repeat;
};

static const struct mh_field stage_fields[] = {
	FN("name", raw_stage, s.name, MH_F_STR, true, 0, 0),
	FENUM("kind", raw_stage, s.kind, true, kind_words),
	FN("pool", raw_stage, s.pool, MH_F_STR, true, 0, 0),
	FN("model", raw_stage, s.model, MH_F_STR, false, 0, 0),
	FN("path", raw_stage, s.path, MH_F_STR, false, 0, 0),
	FENUM("repeat", raw_stage, repeat, true, repeat_words),
	FN("timeout_ms", raw_stage, s.timeout_us, MH_F_MS, false, 1, MAX_MS),
	FN("top_k", raw_stage, s.top_k, MH_F_U32, false, 1, 1000),
	FN("max_tokens", raw_stage, s.max_tokens, MH_F_U32, false, 1, 100000),
	FN("line", raw_stage, s.line, MH_F_LINE, false, 0, 0),
	FEND,
};

static const struct mh_field when_fields[] = {
	FN("organisation", mh_when, organisations, MH_F_STRS, false, 0, 0),
	FN("pipeline", mh_when, pipelines, MH_F_STRS, false, 0, 0),
	FN("class", mh_when, classes, MH_F_STRS, false, 0, 0),
	FN("model", mh_when, models, MH_F_STRS, false, 0, 0),
	F(mh_when, labels, MH_F_MAP, false, 0, 0),
	FN("from_minute", mh_when, from_min, MH_F_U32, false, 0, 1439),
	FN("to_minute", mh_when, to_min, MH_F_U32, false, 0, 1439),
	FEND,
};
static const struct mh_table when_table =
    TABLE("when", mh_when, when_fields, NULL);

static const struct mh_field then_fields[] = {
	F(mh_then, pipeline, MH_F_STR, false, 0, 0),
	FN("class", mh_then, class_name, MH_F_STR, false, 0, 0),
	F(mh_then, model, MH_F_STR, false, 0, 0),
	F(mh_then, refuse, MH_F_STR, false, 0, 0),
	FN("deadline_ms", mh_then, deadline_us, MH_F_MS, false, 1, MAX_MS),
	F(mh_then, max_tokens, MH_F_U32, false, 1, 100000),
	FEND,
};
static const struct mh_table then_table =
    TABLE("then", mh_then, then_fields, NULL);

static const struct mh_field rule_fields[] = {
	F(mh_rule, name, MH_F_STR, true, 0, 0),
	FTAB("when", mh_rule, when, MH_F_STRUCT, false, &when_table),
	FTAB("then", mh_rule, then, MH_F_STRUCT, true, &then_table),
	F(mh_rule, line, MH_F_LINE, false, 0, 0),
	FEND,
};

static const struct mh_field key_fields[] = {
	FN("hash", mh_key, hash_hex, MH_F_STR, true, 0, 0),
	F(mh_key, units_per_s, MH_F_DOUBLE, false, 0, 1e12),
	F(mh_key, streams, MH_F_U32, false, 0, 1000000),
	FN("operator", mh_key, operator_key, MH_F_BOOL, false, 0, 0),
	FEND,
};

static void
free_key(struct mh_key *key)
{
	g_free(key->hash_hex);
	g_free(key);
}

static const struct mh_table key_table =
    TABLE("key", mh_key, key_fields, free_key);

static const struct mh_field org_fields[] = {
	F(mh_org, name, MH_F_STR, true, 0, 0),
	F(mh_org, weight, MH_F_U32, false, 1, 1000),
	F(mh_org, units_per_s, MH_F_DOUBLE, false, 1, 1e12),
	F(mh_org, burst_units, MH_F_DOUBLE, false, 1, 1e12),
	F(mh_org, streams, MH_F_U32, false, 1, 1000000),
	FTAB("keys", mh_org, keys, MH_F_LIST, true, &key_table),
	F(mh_org, line, MH_F_LINE, false, 0, 0),
	FEND,
};

static void
free_class(struct mh_class *c)
{
	g_free(c->name);
	g_free(c);
}

static void
free_pool(struct mh_pool *p)
{
	g_free(p->name);
	g_free(p);
}

static void
free_stage(struct raw_stage *r)
{
	g_free(r->s.name);
	g_free(r->s.pool);
	g_free(r->s.model);
	g_free(r->s.path);
	g_free(r);
}

static void
free_array(GPtrArray *a)
{
	if (a != NULL)
		g_ptr_array_unref(a);
}

static void
free_pipeline(struct mh_pipeline *p)
{
	g_free(p->name);
	free_array(p->stages);
	g_free(p);
}

static void
free_rule(struct mh_rule *r)
{
	g_free(r->name);
	free_array(r->when.organisations);
	free_array(r->when.pipelines);
	free_array(r->when.classes);
	free_array(r->when.models);
	if (r->when.labels != NULL)
		g_hash_table_destroy(r->when.labels);
	g_free(r->then.pipeline);
	g_free(r->then.class_name);
	g_free(r->then.model);
	g_free(r->then.refuse);
	g_free(r);
}

static void
free_org(struct mh_org *o)
{
	g_free(o->name);
	free_array(o->keys);
	g_free(o);
}

static const struct mh_table class_table =
    TABLE("class", mh_class, class_fields, free_class);
static const struct mh_table pool_table =
    TABLE("pool", mh_pool, pool_fields, free_pool);
static const struct mh_table stage_table =
    TABLE("stage", raw_stage, stage_fields, free_stage);

static const struct mh_field pipeline_fields[] = {
	F(mh_pipeline, name, MH_F_STR, true, 0, 0),
	FTAB("stages", mh_pipeline, stages, MH_F_LIST, true, &stage_table),
	F(mh_pipeline, line, MH_F_LINE, false, 0, 0),
	FEND,
};
static const struct mh_table pipeline_table =
    TABLE("pipeline", mh_pipeline, pipeline_fields, free_pipeline);

static void
init_rule(void *item)
{
	struct mh_rule *r = item;

	r->when.from_min = r->when.to_min = -1;
}

static const struct mh_table rule_table = { .what = "rule",
	.size = sizeof(struct mh_rule),
	.fields = rule_fields,
	.destroy = (GDestroyNotify)free_rule,
	.init = init_rule };
static const struct mh_table org_table =
    TABLE("organisation", mh_org, org_fields, free_org);

static const struct mh_field decl_fields[] = {
	FTAB("policy", mh_decl, policy, MH_F_STRUCT, false, &policy_table),
	FTAB("classes", mh_decl, classes, MH_F_LIST, true, &class_table),
	FTAB("pools", mh_decl, pools, MH_F_LIST, true, &pool_table),
	FTAB("pipelines", mh_decl, pipelines, MH_F_LIST, true, &pipeline_table),
	FTAB("rules", mh_decl, rules, MH_F_LIST, true, &rule_table),
	FTAB("organisations", mh_decl, orgs, MH_F_LIST, true, &org_table),
	F(mh_decl, evacuated, MH_F_STRS, false, 0, 0),
	FEND,
};
static const struct mh_table decl_table =
    TABLE("declarations", mh_decl, decl_fields, NULL);

/* The name is the first member of every named item. */
static void *
find_named(const GPtrArray *a, const char *name)
{
	if (name == NULL || a == NULL)
		return NULL;
	for (guint i = 0; i < a->len; i++) {
		if (strcmp(*(char **)a->pdata[i], name) == 0)
			return a->pdata[i];
	}
	return NULL;
}

struct mh_pipeline *
mh_decl_pipeline(const struct mh_decl *d, const char *n)
{
	return find_named(d->pipelines, n);
}

struct mh_class *
mh_decl_class(const struct mh_decl *d, const char *n)
{
	return find_named(d->classes, n);
}

struct mh_pool *
mh_decl_pool(const struct mh_decl *d, const char *n)
{
	return find_named(d->pools, n);
}

struct mh_org *
mh_decl_org(const struct mh_decl *d, const char *n)
{
	return find_named(d->orgs, n);
}

bool
mh_domain_ok(const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(name[i]) &&
		    strchr("-_.:", name[i]) == NULL)
			return false;
	}
	return len > 0 && len <= MAX_DOMAIN;
}

bool
mh_decl_evacuated(const struct mh_decl *d, const char *domain)
{
	return d->evacuated != NULL &&
	    g_ptr_array_find_with_equal_func(
		d->evacuated, domain, g_str_equal, NULL);
}

static bool
fail_at(GError **err, uint32_t line, const char *field, const char *what,
    const char *remedy)
{
	g_set_error(err, MH_ERROR, MH_ERR_DECL, "line %u: field \"%s\": %s; %s",
	    line, field, what, remedy);
	return false;
}

static bool
check_unique(const GPtrArray *a, const char *list, GError **err)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < a->len; i++) {
		const char *name = *(char **)a->pdata[i];

		if (g_hash_table_add(seen, (gpointer)name))
			continue;
		g_set_error(err, MH_ERROR, MH_ERR_DECL,
		    "line 1: field \"%s\": \"%s\" stands twice; rename one",
		    list, name);
		ok = false;
	}
	g_hash_table_destroy(seen);
	return ok;
}

static bool
check_stage(const struct mh_decl *d, struct mh_stage *s, GError **err)
{
	const struct mh_pool *pool = mh_decl_pool(d, s->pool);

	if (pool == NULL)
		return fail_at(err, s->line, "pool", "names no declared pool",
		    "declare it under pools");
	if (pool->kind != s->kind)
		return fail_at(err, s->line, "kind",
		    "differs from the pool's kind", "use the pool's kind");
	if (s->at_most_once && s->kind != MH_SERVICE)
		return fail_at(err, s->line, "repeat",
		    "\"never\" is for service stages only", "write safe");
	if (s->kind == MH_SERVICE && s->path == NULL)
		return fail_at(err, s->line, "path", "is missing",
		    "a service stage needs the path to call");
	if (s->path != NULL && s->path[0] != '/')
		return fail_at(err, s->line, "path", "does not start with /",
		    "write an absolute path");
	if (s->timeout_us == 0)
		s->timeout_us = DEFAULT_STAGE_TIMEOUT_US;
	if (s->max_tokens == 0)
		s->max_tokens = 128;
	if (s->top_k == 0)
		s->top_k = 4;
	return true;
}

static bool
check_pipelines(struct mh_decl *d, GError **err)
{
	for (guint i = 0; i < d->pipelines->len; i++) {
		struct mh_pipeline *p = d->pipelines->pdata[i];
		uint32_t generates = 0;

		if (p->stages->len == 0 || p->stages->len > MAX_STAGES)
			return fail_at(err, p->line, "stages",
			    "has none or more than six stages",
			    "declare one to six");
		for (guint j = 0; j < p->stages->len; j++) {
			struct raw_stage *r = p->stages->pdata[j];

			r->s.at_most_once = r->repeat == 1;
			if (!check_stage(d, &r->s, err))
				return false;
			generates += r->s.kind == MH_GENERATE;
			if (generates > 1)
				return fail_at(err, r->s.line, "kind",
				    "is the pipeline's second generate stage",
				    "keep one; the text is passed on once");
			if (r->s.at_most_once && j + 1 < p->stages->len)
				return fail_at(err, r->s.line, "repeat",
				    "\"never\" stands before another stage",
				    "make it the pipeline's last stage");
		}
	}
	return true;
}

static bool
check_names(const struct mh_rule *r, const GPtrArray *names,
    const GPtrArray *in, const char *field, GError **err)
{
	for (guint i = 0; names != NULL && i < names->len; i++) {
		if (find_named(in, names->pdata[i]) == NULL)
			return fail_at(err, r->line, field,
			    "names something not declared",
			    "declare it or mend the name");
	}
	return true;
}

static bool
check_rules(struct mh_decl *d, GError **err)
{
	for (guint i = 0; i < d->rules->len; i++) {
		struct mh_rule *r = d->rules->pdata[i];

		if (!check_names(
			r, r->when.organisations, d->orgs, "organisation", err))
			return false;
		if (!check_names(r, r->when.classes, d->classes, "class", err))
			return false;
		if (r->then.class_name == NULL && r->then.refuse == NULL)
			return fail_at(err, r->line, "then",
			    "neither names a class nor refuses",
			    "add class or refuse");
		if (r->then.class_name != NULL &&
		    mh_decl_class(d, r->then.class_name) == NULL)
			return fail_at(err, r->line, "class",
			    "names no declared class",
			    "declare it under classes");
		if (r->then.pipeline != NULL &&
		    mh_decl_pipeline(d, r->then.pipeline) == NULL)
			return fail_at(err, r->line, "pipeline",
			    "names no declared pipeline",
			    "declare it under pipelines");
		if ((r->when.from_min < 0) != (r->when.to_min < 0))
			return fail_at(err, r->line, "from_minute",
			    "stands without to_minute", "write both or none");
	}
	return true;
}

static guint
hash_prefix(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

static gboolean
hash_equal(gconstpointer a, gconstpointer b)
{
	return sodium_memcmp(a, b, MH_HASH_LEN) == 0;
}

static bool
index_key(struct mh_decl *d, struct mh_org *o, struct mh_key *key, GError **err)
{
	struct mh_key_match *w;
	size_t len = 0;

	if (sodium_hex2bin(key->hash, sizeof(key->hash), key->hash_hex,
		strlen(key->hash_hex), NULL, &len, NULL) != 0 ||
	    len != MH_HASH_LEN || strlen(key->hash_hex) != 2 * MH_HASH_LEN)
		return fail_at(err, o->line, "hash",
		    "is not 64 hexadecimal digits",
		    "make one with marlctl hash-key");
	if (g_hash_table_contains(d->by_key, key->hash))
		return fail_at(err, o->line, "hash",
		    "belongs to two organisations", "issue another key");
	w = g_new0(struct mh_key_match, 1);
	w->org = o;
	w->key = key;
	g_hash_table_insert(d->by_key, key->hash, w);
	return true;
}

static bool
check_orgs(struct mh_decl *d, GError **err)
{
	for (guint i = 0; i < d->orgs->len; i++) {
		struct mh_org *o = d->orgs->pdata[i];

		if (o->weight == 0)
			o->weight = 1;
		if (o->burst_units == 0)
			o->burst_units = o->units_per_s * 2;
		for (guint j = 0; j < o->keys->len; j++) {
			if (!index_key(d, o, o->keys->pdata[j], err))
				return false;
		}
	}
	return true;
}

static bool
check_evacuated(const struct mh_decl *d, GError **err)
{
	for (guint i = 0; d->evacuated != NULL && i < d->evacuated->len; i++) {
		if (mh_domain_ok(d->evacuated->pdata[i]))
			continue;
		return fail_at(err, 1, "evacuated",
		    "holds what can't name a failure domain",
		    "use letters, digits, \"-\", \"_\", \".\" and \":\"");
	}
	return true;
}

static bool
check(struct mh_decl *d, GError **err)
{
	return check_unique(d->classes, "classes", err) &&
	    check_unique(d->pools, "pools", err) &&
	    check_unique(d->pipelines, "pipelines", err) &&
	    check_unique(d->rules, "rules", err) &&
	    check_unique(d->orgs, "organisations", err) &&
	    check_pipelines(d, err) && check_rules(d, err) &&
	    check_orgs(d, err) && check_evacuated(d, err);
}

static void
set_defaults(struct mh_policy *p)
{
	p->hedge = true;
	p->affinity = true;
	p->retry_share = 0.1;
	p->fixed_timeout_us = DEFAULT_STAGE_TIMEOUT_US;
	p->retention_us = 600 * MH_US_PER_S;
	p->skew_us = 500 * MH_US_PER_MS;
	p->vm_removed_us = 10 * MH_US_PER_S;
	p->weight_in = 1.0;
	p->weight_cached = 0.25;
	p->weight_out = 8.0;
}

struct mh_decl *
mh_decl_read(GBytes *doc, GError **err)
{
	struct mh_decl *d = g_new0(struct mh_decl, 1);

	d->refs = 1;
	d->doc = g_bytes_ref(doc);
	d->by_key =
	    g_hash_table_new_full(hash_prefix, hash_equal, NULL, g_free);
	set_defaults(&d->policy);
	if (!mh_yaml_read(doc, &decl_table, d, err)) {
		mh_decl_unref(d);
		return NULL;
	}
	if (!check(d, err)) {
		mh_decl_unref(d);
		return NULL;
	}
	return d;
}

struct mh_decl *
mh_decl_ref(struct mh_decl *d)
{
	d->refs++;
	return d;
}

void
mh_decl_unref(struct mh_decl *d)
{
	if (d == NULL || --d->refs > 0)
		return;
	g_hash_table_destroy(d->by_key);
	free_array(d->classes);
	free_array(d->pools);
	free_array(d->pipelines);
	free_array(d->rules);
	free_array(d->orgs);
	free_array(d->evacuated);
	g_bytes_unref(d->doc);
	g_free(d);
}

void
mh_key_hash(const char *key, uint8_t hash[MH_HASH_LEN])
{
	crypto_generichash(hash, MH_HASH_LEN, (const unsigned char *)key,
	    strlen(key), NULL, 0);
}

/*
 * The lookup uses the hash of the key and compares whole hashes in constant
 * time, so its duration reveals nothing about a stored key.
 */
const struct mh_key_match *
mh_decl_find_key(const struct mh_decl *d, const char *key)
{
	uint8_t hash[MH_HASH_LEN];

	mh_key_hash(key, hash);
	return g_hash_table_lookup(d->by_key, hash);
}
