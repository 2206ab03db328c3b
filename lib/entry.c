/**
 * DOC: Admission of callers' requests (authorisation, rules, limits,
 * feasibility) and the responses to them.  pipe.c runs the stages between.
 */

#include "entry.h"

#include "poison.h"

#include <string.h>

#define MAX_KEY 128
#define PREFIX_PIPELINES "/v1/pipelines/"
#define INITIAL_RETRY_BUDGET 10.0
#define DEFER_MAX_US (2 * MH_US_PER_S) /* after the start */
#define DEFER_POLL_US (10 * MH_US_PER_MS)

static struct entry *
get(struct mh_kern *k)
{
	return mh_kern_get(k, "entry");
}

GBytes *
entry_dump(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(o);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

void
entry_reply(struct entry *e, uint64_t caller, uint32_t status, GBytes *body,
    uint32_t retry_after_s)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_REPLY);

	m->u.reply.id = caller;
	m->u.reply.status = status;
	m->u.reply.body = body;
	m->u.reply.retry_after_s = retry_after_s;
	m->u.reply.last = true;
	mh_post(e->k, "http", m);
}

static json_t *
problem_json(const struct problem *p)
{
	return json_pack("{s:s, s:i, s:s, s:s, s:s, s:s*}", "title", p->kind,
	    "status", (int)p->status, "detail", p->detail, "remedy", p->remedy,
	    "outcome", p->outcome, "lookup", p->lookup);
}

static uint32_t
ceil_seconds(int64_t us)
{
	return (uint32_t)((us + MH_US_PER_S - 1) / MH_US_PER_S);
}

void
entry_problem(struct entry *e, uint64_t caller, const struct problem *p)
{
	char name[64];

	snprintf(name, sizeof(name), "entry_problem_%u", p->status);
	mh_count(e->k, name, 1);
	entry_reply(e, caller, p->status, entry_dump(problem_json(p)),
	    p->retry_us > 0 ? ceil_seconds(p->retry_us) : 0);
}

/*
 * An earlier request with the same key may have run, through this entry or
 * another.  A refusal that considers only its own request would report "not
 * run" for such a key, and the caller would run the request a second time.
 */
static void
find_given_key(
    struct entry *e, const struct mh_request_msg *m, struct given_key *a)
{
	struct mh_decl *d = mh_conf_get(e->k);
	const struct mh_pipeline *pl = NULL;
	const char *name = NULL;

	memset(a, 0, sizeof(*a));
	if (m->idempotency_key == NULL ||
	    !entry_key_is_valid(m->idempotency_key))
		return; /* invalid keys are never accepted */
	if (g_str_has_prefix(m->path, PREFIX_PIPELINES))
		name = m->path + strlen(PREFIX_PIPELINES);
	if (d != NULL && name != NULL)
		pl = mh_decl_pipeline(d, name);
	if (pl != NULL && !pipe_last_stage(pl)->at_most_once)
		return; /* only non-repeatable stages use keys */
	a->given = true;
	if (pl != NULL)
		a->lookup = g_strconcat(
		    PREFIX_OUTCOMES, name, "/", m->idempotency_key, NULL);
}

/* Refuses a request of which no call was made; sets outcome and lookup. */
static void
refuse(struct entry *e, const struct mh_request_msg *m, const struct problem *p)
{
	struct problem whole = *p;
	struct given_key key;

	find_given_key(e, m, &key);
	whole.outcome = key.given ? "unknown" : "not-run";
	whole.lookup = key.lookup;
	entry_problem(e, m->id, &whole);
	g_free(key.lookup);
}

void
entry_refuse(struct entry *e, const struct mh_request_msg *m, uint32_t status,
    const char *kind, const char *detail, const char *remedy)
{
	struct problem p = { .status = status,
		.kind = kind,
		.detail = detail,
		.remedy = remedy };

	refuse(e, m, &p);
}

const char *
entry_key_outcome(const struct request *r)
{
	if (!r->key_given || r->key_outcome == MH__OUTCOME__NOT_RUN)
		return "not-run";
	return "unknown";
}

static void
free_request(struct request *r)
{
	pipe_stop(r);
	mh_timer_stop(r->e->k, &r->deadline_timer);
	mh_limit_settle(r->e->k, &r->ticket, r->used_units);
	mh_flow_clear(&r->flow);
	json_decref(r->stages);
	mh_decl_unref(r->decl);
	g_free(r->id_text);
	g_free(r->key);
	g_free(r->last_vm);
	g_free(r->last_domain);
	g_free(r);
}

static void
end_request(struct request *r)
{
	g_hash_table_steal(r->e->requests, &r->caller);
	free_request(r);
}

static void
add_identity(struct request *r, json_t *o)
{
	json_object_set_new(o, "request", json_string(r->id_text));
	json_object_set_new(o, "rule", json_string(r->d.rule->name));
	json_object_set_new(o, "class", json_string(r->d.class->name));
	json_object_set_new(
	    o, "generation", json_integer((json_int_t)r->decl->generation));
	json_object_set(o, "stages", r->stages);
	if (r->key != NULL)
		json_object_set_new(
		    o, "key", json_string(strchr(r->key, '/') + 1));
}

static void
send_event(struct request *r, const char *event, json_t *data, bool last)
{
	struct mh_msg *m = mh_msg_new(MH_MSG_REPLY);
	char *text = json_dumps(data, JSON_COMPACT | JSON_SORT_KEYS);
	char *part = g_strdup_printf("event: %s\ndata: %s\n\n", event, text);

	json_decref(data);
	free(text);
	m->u.reply.id = r->caller;
	m->u.reply.status = 200;
	m->u.reply.stream = true;
	m->u.reply.last = last;
	m->u.reply.body = g_bytes_new_take(part, strlen(part));
	r->streaming = true;
	mh_post(r->e->k, "http", m);
}

void
entry_token(struct request *r, GBytes *text)
{
	gsize len;
	const char *data = g_bytes_get_data(text, &len);

	send_event(r, "token", json_pack("{s:s%}", "text", data, len), false);
}

static void
log_end(struct request *r, const char *outcome, uint32_t status)
{
	mh_log(r->e->k, "entry",
	    "Request ended: request=%s org=%s rule=%s class=%s outcome=%s "
	    "status=%u us=%" PRId64 ".",
	    r->id_text, r->org->name, r->d.rule->name, r->d.class->name,
	    outcome, status, mh_now(r->e->k) - r->arrived_us);
}

void
entry_done(struct request *r)
{
	json_t *o = json_pack(
	    "{s:s, s:O}", "outcome", "done", "answer", r->flow.answer);

	add_identity(r, o);
	mh_count(r->e->k, "entry_done", 1);
	log_end(r, "done", 200);
	if (r->stream)
		send_event(r, "done", o, true);
	else
		entry_reply(r->e, r->caller, 200, entry_dump(o), 0);
	end_request(r);
}

void
entry_fail(struct request *r, const struct problem *p)
{
	struct problem whole = *p;
	json_t *o;

	if (r->key_given)
		whole.lookup = g_strconcat(PREFIX_OUTCOMES, r->d.pipeline->name,
		    "/", strchr(r->key, '/') + 1, NULL);
	o = problem_json(&whole);
	g_free(whole.lookup);
	add_identity(r, o);
	mh_count(r->e->k, "entry_failed", 1);
	log_end(r, p->outcome, p->status);
	if (r->streaming)
		send_event(r, "problem", o, true);
	else
		entry_reply(r->e, r->caller, p->status, entry_dump(o),
		    p->retry_us > 0 ? ceil_seconds(p->retry_us) : 0);
	end_request(r);
}

struct mh_owners *
entry_owners(struct entry *e, const char *service)
{
	struct mh_owners *o = g_hash_table_lookup(e->owners, service);

	if (o == NULL) {
		o = mh_owners_create(service);
		g_hash_table_insert(e->owners, g_strdup(service), o);
	}
	return o;
}

static void
on_owners(void *arg, uint64_t conn, const Mh__Frame *f)
{
	struct entry *e = arg;

	(void)conn;
	mh_owners_merge(entry_owners(e, f->owners->service), f->owners);
}

bool
entry_key_is_valid(const char *key)
{
	size_t len = strlen(key);

	if (len == 0 || len > MAX_KEY)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isgraph(key[i]) || key[i] == '/')
			return false;
	}
	return true;
}

static bool
read_input(struct entry *e, const struct mh_request_msg *m, struct request *r)
{
	gsize len;
	const char *data = g_bytes_get_data(m->body, &len);
	json_error_t err;
	json_t *tokens;
	char *detail;

	r->flow.input = json_loadb(data, len, 0, &err);
	if (!json_is_object(r->flow.input)) {
		detail = g_strdup_printf("The body is no JSON object: %s.",
		    r->flow.input == NULL ? err.text : "another JSON type");
		entry_refuse(
		    e, m, 400, "bad-body", detail, "Send a JSON object.");
		g_free(detail);
		return false;
	}
	r->stream = json_is_true(json_object_get(r->flow.input, "stream"));
	tokens = json_object_get(r->flow.input, "max_tokens");
	if (tokens != NULL &&
	    (!json_is_integer(tokens) || json_integer_value(tokens) < 1 ||
		json_integer_value(tokens) > 100000)) {
		entry_refuse(e, m, 400, "bad-max-tokens",
		    "max_tokens is no whole number from 1 to 100000.",
		    "Mend max_tokens.");
		return false;
	}
	r->max_tokens = (uint32_t)json_integer_value(tokens);
	return true;
}

static bool
apply_rules(struct entry *e, const struct mh_request_msg *m, struct request *r)
{
	struct mh_rule_input in = { .org = r->org->name,
		.pipeline = m->path + strlen(PREFIX_PIPELINES),
		.class_name = m->class_name,
		.labels = m->labels,
		.wall_us = mh_wall(e->k),
		.deadline_us = m->deadline_us };
	const struct mh_stage *s;

	in.model = json_string_value(json_object_get(r->flow.input, "model"));
	mh_rules_decide(r->decl, &in, &r->d);
	r->d.deadline_us = entry_cap_us(e, r->d.deadline_us);
	r->deadline_us = r->arrived_us + r->d.deadline_us;
	if (r->d.pipeline == NULL) {
		entry_refuse(e, m, 404, "no-pipeline",
		    "No such pipeline is declared.",
		    "Use a declared pipeline's name.");
		return false;
	}
	if (r->d.rule == NULL || r->d.refuse != NULL) {
		entry_refuse(e, m, 403, "refused",
		    r->d.rule == NULL ? "No rule admits the request."
				      : r->d.refuse,
		    "Ask the operators about the rules.");
		return false;
	}
	for (guint i = 0; i < r->d.pipeline->stages->len; i++) {
		s = r->d.pipeline->stages->pdata[i];
		if (s->kind != MH_GENERATE)
			continue;
		if (r->max_tokens == 0 || r->max_tokens > s->max_tokens)
			r->max_tokens = s->max_tokens;
	}
	if (r->d.max_tokens > 0)
		r->max_tokens = MIN(r->max_tokens, r->d.max_tokens);
	r->max_tokens = MAX(r->max_tokens, 1);
	s = pipe_last_stage(r->d.pipeline);
	r->stream = r->stream && s->kind == MH_GENERATE;
	return true;
}

static bool
set_key(struct entry *e, const struct mh_request_msg *m, struct request *r)
{
	if (m->idempotency_key == NULL)
		return true;
	if (!entry_key_is_valid(m->idempotency_key)) {
		entry_refuse(e, m, 400, "bad-key",
		    "Idempotency-Key is not 1 to 128 printable characters "
		    "without a slash.",
		    "Send a UUID version 7.");
		return false;
	}
	if (!pipe_last_stage(r->d.pipeline)->at_most_once)
		return true;
	r->key = g_strconcat(r->org->name, "/", m->idempotency_key, NULL);
	r->key_given = true;
	r->key_outcome = MH__OUTCOME__UNKNOWN;
	return true;
}

static bool
reserve_limits(struct entry *e, const struct mh_request_msg *m,
    const struct mh_key_match *who, struct request *r)
{
	struct problem p = { .status = 429,
		.kind = "over-limit",
		.detail = "The organisation's or key's limit is used up.",
		.remedy = "Ask again after Retry-After." };
	int64_t wait = mh_limit_reserve(e->k, who, pipe_units(r), &r->ticket);

	if (wait == 0)
		return true;
	if (wait < 0) {
		entry_refuse(e, m, 400, "over-burst",
		    "The request is larger than the limit's burst.",
		    "Lower max_tokens.");
		return false;
	}
	p.retry_us = wait + (int64_t)(mh_random_unit(e->k) * (double)wait / 2);
	refuse(e, m, &p);
	return false;
}

/* Refuses a request that is predicted to miss its deadline. */
static bool
check_feasible(
    struct entry *e, const struct mh_request_msg *m, struct request *r)
{
	struct problem p = { .status = 503,
		.kind = "overloaded",
		.detail = "The request could not finish by its deadline.",
		.remedy = "Ask again after Retry-After, or allow more time." };
	int64_t need, over;

	if (r->decl->policy.admission == MH_ADMIT_ALL && r->d.deadline_us > 0)
		return true;
	need = pipe_predict_us(r, 0, true);
	over = need - r->d.deadline_us;
	if (over <= 0)
		return true;
	mh_count(e->k, "entry_infeasible", 1);
	if (entry_cut_by_drain(r)) {
		refuse(e, m, &entry_draining_problem);
		return false;
	}
	over = MAX(MAX(over, pipe_rest_us(r)), MH_US_PER_S);
	p.retry_us = over + (int64_t)(mh_random_unit(e->k) * (double)over / 2);
	refuse(e, m, &p);
	return false;
}

/* Requests with the same context go to the same prefix cache; 0: any. */
static uint64_t
affinity_of(const struct request *r)
{
	const char *c =
	    json_string_value(json_object_get(r->flow.input, "context"));

	if (c == NULL || *c == '\0')
		return 0;
	return mh_hash(c, strlen(c)) | 1;
}

/* Covers organisation, path and body, but neither kind of key. */
static uint64_t
fingerprint(const struct mh_request_msg *m, const struct mh_org *org)
{
	gsize len;
	const void *data = g_bytes_get_data(m->body, &len);
	uint64_t of[] = { mh_hash(org->name, strlen(org->name)),
		mh_hash(m->path, strlen(m->path)), mh_hash(data, len) };

	return mh_poison_fingerprint(of, G_N_ELEMENTS(of));
}

/* Refuses a quarantined request: it could crash another endpoint. */
static bool
check_quarantine(
    struct entry *e, const struct mh_request_msg *m, struct request *r)
{
	struct problem p = { .status = 503,
		.kind = "request-held",
		.detail = "Endpoints end under this request; it was not run.",
		.remedy = "Change the request, or ask again after "
			  "Retry-After." };

	r->fingerprint = fingerprint(m, r->org);
	p.retry_us = mh_poison_quarantine_us(e->k, r->fingerprint);
	if (p.retry_us == 0)
		return true;
	mh_count(e->k, "entry_held", 1);
	refuse(e, m, &p);
	return false;
}

void
mh_entry_quarantine(struct mh_kern *k, uint64_t fingerprint)
{
	struct entry *e = get(k);
	GList *all = g_hash_table_get_values(e->requests);

	for (GList *l = all; l != NULL; l = l->next) {
		struct request *r = l->data;

		if (r->fingerprint == fingerprint)
			pipe_quarantine(r);
	}
	g_list_free(all);
}

static bool
prepare(struct entry *e, const struct mh_request_msg *m,
    const struct mh_key_match *who, struct request *r)
{
	r->e = e;
	r->caller = m->id;
	r->org = who->org;
	r->stages = json_array();
	r->arrived_us = mh_now(e->k);
	mh_uuid7(e->k, r->id);
	r->id_text = mh_uuid_text(r->id);
	return read_input(e, m, r) && apply_rules(e, m, r) &&
	    set_key(e, m, r) && check_quarantine(e, m, r) &&
	    check_feasible(e, m, r) && reserve_limits(e, m, who, r);
}

static void
start_request(struct entry *e, const struct mh_request_msg *m,
    const struct mh_key_match *who)
{
	struct request *r = g_new0(struct request, 1);

	r->decl = mh_decl_ref(mh_conf_get(e->k));
	if (!prepare(e, m, who, r)) {
		free_request(r);
		return;
	}
	r->affinity = affinity_of(r);
	g_hash_table_insert(e->requests, &r->caller, r);
	mh_count(e->k, "entry_admitted", 1);
	entry_set_deadline(r);
	pipe_start(r);
}

static bool
is_started(struct entry *e)
{
	return mh_conf_get(e->k) != NULL && mh_member_has_list(e->k) &&
	    mh_member_link_count(e->k) > 0;
}

/* Whether a request may wait any longer for the entry to start. */
static bool
may_defer(const struct entry *e)
{
	int64_t wait = e->started_us + DEFER_MAX_US - mh_now(e->k);

	return entry_cap_us(e, wait) > 0;
}

static void
free_deferred(struct deferred *x)
{
	mh_timer_stop(x->e->k, &x->timer);
	if (x->msg != NULL)
		mh_msg_free(x->msg);
	g_free(x);
}

static void
on_defer_poll(void *arg)
{
	struct deferred *x = arg;
	struct entry *e = x->e;

	if (!is_started(e) && may_defer(e)) {
		mh_timer_set(e->k, &x->timer, DEFER_POLL_US, on_defer_poll, x);
		return;
	}
	mh_post(e->k, "entry", x->msg);
	x->msg = NULL;
	g_ptr_array_remove(e->deferred, x);
}

/*
 * A load balancer sends requests as soon as the port accepts connections,
 * before the entry has its configuration and its links.  For a short time
 * after the start these requests wait for both instead of being refused.
 */
static bool
defer_request(struct entry *e, struct mh_msg *m)
{
	struct deferred *x;

	if (is_started(e) || !may_defer(e))
		return false;
	x = g_new0(struct deferred, 1);
	x->e = e;
	x->msg = mh_msg_new(m->kind);
	x->msg->u.request = m->u.request;
	memset(&m->u.request, 0, sizeof(m->u.request));
	mh_timer_set(e->k, &x->timer, DEFER_POLL_US, on_defer_poll, x);
	g_ptr_array_add(e->deferred, x);
	return true;
}

static void
dispatch(struct entry *e, const struct mh_request_msg *m)
{
	struct mh_decl *d = mh_conf_get(e->k);
	const struct mh_key_match *who;
	bool post = strcmp(m->method, "POST") == 0;
	bool del = strcmp(m->method, "DELETE") == 0;

	if (d == NULL && e->draining) {
		refuse(e, m, &entry_draining_problem);
		return;
	}
	if (d == NULL) {
		entry_refuse(e, m, 503, "no-configuration",
		    "No configuration is in force yet.",
		    "Apply declarations with marlctl; ask again later.");
		return;
	}
	who = m->key == NULL ? NULL : mh_decl_find_key(d, m->key);
	if (who == NULL) {
		entry_refuse(e, m, 401, "no-right",
		    "The key is missing or not known.",
		    "Send Authorization: Bearer KEY.");
		return;
	}
	if (g_str_has_prefix(m->path, PREFIX_OUTCOMES) && !post) {
		outcome_request(e, m, who, del);
		return;
	}
	if (!g_str_has_prefix(m->path, PREFIX_PIPELINES) || !post) {
		entry_refuse(e, m, 404, "no-path", "No such path or method.",
		    "POST to /v1/pipelines/NAME.");
		return;
	}
	start_request(e, m, who);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct entry *e = self;
	struct request *r;

	switch (m->kind) {
	case MH_MSG_REQUEST:
		if (!defer_request(e, m))
			dispatch(e, &m->u.request);
		break;
	case MH_MSG_CALLER_LEFT:
		r = g_hash_table_lookup(e->requests, &m->u.request.id);
		if (r == NULL)
			break;
		/* The caller has disconnected: cancel down to the engine. */
		mh_count(e->k, "entry_callers_gone", 1);
		end_request(r);
		break;
	default:
		mh_count(e->k, "entry_unexpected", 1);
		break;
	}
}

bool
mh_entry_draining(struct mh_kern *k)
{
	return get(k)->draining;
}

uint32_t
mh_entry_active_count(struct mh_kern *k)
{
	struct entry *e = get(k);

	return g_hash_table_size(e->requests) + e->deferred->len +
	    g_hash_table_size(e->lookups);
}

static json_t *
evacuated_state(struct mh_kern *k)
{
	const struct mh_decl *d = mh_conf_get(k);
	json_t *all = json_array();

	for (guint i = 0;
	     d != NULL && d->evacuated != NULL && i < d->evacuated->len; i++)
		json_array_append_new(all, json_string(d->evacuated->pdata[i]));
	return all;
}

json_t *
mh_entry_state(struct mh_kern *k)
{
	struct entry *e = get(k);

	return json_pack("{s:b, s:i, s:i, s:f, s:o}", "draining", e->draining,
	    "requests", (int)g_hash_table_size(e->requests), "calls",
	    (int)mh_relay_active_count(k), "retry_budget", e->retry_budget,
	    "evacuated", evacuated_state(k));
}

static void
destroy(void *self)
{
	struct entry *e = self;
	GHashTableIter it;
	gpointer r;

	g_hash_table_iter_init(&it, e->requests);
	while (g_hash_table_iter_next(&it, NULL, &r)) {
		g_hash_table_iter_steal(&it);
		free_request(r);
	}
	g_ptr_array_unref(e->deferred);
	g_hash_table_destroy(e->requests);
	g_hash_table_destroy(e->owners);
	g_hash_table_destroy(e->lookups);
	g_free(e->vm);
	g_free(e->domain);
	g_free(e);
}

void
mh_entry_create(struct mh_kern *k, const char *vm, const char *domain)
{
	struct entry *e = g_new0(struct entry, 1);

	mh_hub_create(k);
	mh_member_create(k, vm, domain, "entry");
	mh_roster_create(k, vm, domain, NULL);
	mh_conf_create(k);
	mh_route_create(k, domain);
	mh_predict_create(k);
	mh_relay_create(k);
	mh_limit_create(k, vm);
	mh_poison_member_create(k);
	e->k = k;
	e->vm = g_strdup(vm);
	e->domain = g_strdup(domain);
	e->retry_budget = INITIAL_RETRY_BUDGET;
	e->started_us = mh_now(k);
	e->deferred =
	    g_ptr_array_new_with_free_func((GDestroyNotify)free_deferred);
	e->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	e->owners = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)mh_owners_destroy);
	e->lookups = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, outcome_free);
	mh_kern_add(k, "entry", e, handle, destroy);
	mh_hub_set_handler(k, MH__FRAME__BODY_OWNERS, on_owners, e);
	mh_hub_set_handler(k, MH__FRAME__BODY_OUTCOMES, outcome_receive, e);
}
