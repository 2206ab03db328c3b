/**
 * DOC: marlctl: command line tool for operators.
 */

#include "marlctl.h"

#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 5

struct command {
	const char *name;
	const char *args;
	const char *what;
	int nargs;
	bool needs_kv;
	int (*run)(const struct options *o, const char *const *args);
};

static const struct command *find_command(const char *name);
static int run_check(const struct options *o, const char *const *args);
static int run_diff(const struct options *o, const char *const *args);
static int run_apply(const struct options *o, const char *const *args);
static int run_show(const struct options *o, const char *const *args);
static int run_history(const struct options *o, const char *const *args);
static int run_explain(const struct options *o, const char *const *args);
static int run_state(const struct options *o, const char *const *args);
static int run_order(const struct options *o, const char *const *args);
static int run_evacuate(const struct options *o, const char *const *args);
static int run_take_back(const struct options *o, const char *const *args);
static int run_hash_key(const struct options *o, const char *const *args);

static const struct command commands[] = {
	{ "check", "FILE", "check a document", 1, false, run_check },
	{ "diff", "FILE", "compare with the active document", 1, true,
	    run_diff },
	{ "apply", "FILE", "make a document active", 1, true, run_apply },
	{ "show", "", "print the active document", 0, true, run_show },
	{ "history", "", "list the last generations", 0, true, run_history },
	{ "explain", "FILE", "show which rule matches a request", 1, false,
	    run_explain },
	{ "state", "ADDRESS", "print the state of a process", 1, false,
	    run_state },
	{ "order", "ADDRESS VERB SUBJECT", "send an order to an engine", 3,
	    true, run_order },
	{ "evacuate", "DOMAIN", "send nothing to a failure domain", 1, true,
	    run_evacuate },
	{ "take-back", "DOMAIN", "use a failure domain again", 1, true,
	    run_take_back },
	{ "hash-key", "KEY", "print the hash of an API key", 1, false,
	    run_hash_key },
};

static G_GNUC_NORETURN void
usage(void)
{
	fprintf(stderr, "usage: marlctl [flags] command [argument ...]\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "  %-10s %-22s %s\n", commands[i].name,
		    commands[i].args, commands[i].what);
	exit(EXIT_USAGE);
}

int
main(int argc, char **argv)
{
	struct arg_str *kv = arg_str0(NULL, "kv", "<url>", "KV service");
	struct arg_str *secret =
	    arg_str0(NULL, "secret-file", "<file>", "shared secret");
	struct arg_str *org =
	    arg_str0(NULL, "organisation", "<name>", "for explain");
	struct arg_str *pipeline =
	    arg_str0(NULL, "pipeline", "<name>", "for explain");
	struct arg_str *class =
	    arg_str0(NULL, "class", "<name>", "for explain");
	struct arg_str *model =
	    arg_str0(NULL, "model", "<name>", "for explain");
	struct arg_int *base = arg_int0(
	    NULL, "generation", "<n>", "for apply: expected generation");
	struct arg_lit *lost = arg_lit0(NULL, "replace-lost",
	    "for apply: although the active document is lost");
	struct arg_int *fence =
	    arg_int0(NULL, "fence", "<n>", "for order: fencing number");
	struct arg_str *words =
	    arg_strn(NULL, NULL, "<word>", 1, MAX_WORDS, "command");
	struct arg_end *end = arg_end(5);
	void *table[] = { kv, secret, org, pipeline, class, model, base, lost,
		fence, words, end };
	struct options o = { .base_generation = -1 };
	const struct command *c;
	int rv;

	if (arg_parse(argc, argv, table) > 0)
		usage();
	o.kv = kv->count > 0 ? kv->sval[0] : getenv("MARLHOIST_KV");
	o.secret_file = secret->count > 0 ? secret->sval[0]
					  : getenv("MARLHOIST_SECRET_FILE");
	o.org = org->count > 0 ? org->sval[0] : NULL;
	o.pipeline = pipeline->count > 0 ? pipeline->sval[0] : NULL;
	o.class_name = class->count > 0 ? class->sval[0] : NULL;
	o.model = model->count > 0 ? model->sval[0] : NULL;
	if (base->count > 0)
		o.base_generation = base->ival[0];
	o.replace_lost = lost->count > 0;
	if (fence->count > 0)
		o.fence = (uint64_t)fence->ival[0];
	c = find_command(words->sval[0]);
	if (c == NULL || words->count != c->nargs + 1)
		usage();
	if (c->needs_kv && o.kv == NULL)
		die(EXIT_USAGE,
		    "--kv or MARLHOIST_KV is missing: give the KV "
		    "service's URL");
	if (sodium_init() < 0)
		die(EXIT_BAD,
		    "the random number generator cannot be initialised");
	rv = c->run(&o, &words->sval[1]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return rv;
}

void
die(int status, const char *fmt, ...)
{
	va_list ap;

	fprintf(stderr, "marlctl: ");
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	exit(status);
}

GBytes *
read_file(const char *path)
{
	GError *err = NULL;
	gchar *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &err))
		die(EXIT_BAD, "%s; name a readable file", err->message);
	return g_bytes_new_take(text, len);
}

static const struct command *
find_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	}
	return NULL;
}

static struct mh_decl *
read_decl(const char *file)
{
	GBytes *doc = read_file(file);
	GError *err = NULL;
	struct mh_decl *d = mh_decl_read(doc, &err);

	g_bytes_unref(doc);
	if (d == NULL)
		die(EXIT_BAD, "%s: %s", file, err->message);
	return d;
}

static int
run_check(const struct options *o, const char *const *args)
{
	struct mh_decl *d = read_decl(args[0]);

	(void)o;
	printf("good: pipelines=%u rules=%u organisations=%u\n",
	    d->pipelines->len, d->rules->len, d->orgs->len);
	mh_decl_unref(d);
	return 0;
}

static int
run_explain(const struct options *o, const char *const *args)
{
	struct mh_decl *d = read_decl(args[0]);
	struct mh_rule_input input = { .org = o->org,
		.pipeline = o->pipeline,
		.class_name = o->class_name,
		.model = o->model,
		.wall_us = g_get_real_time() };
	char *text;

	if (o->org == NULL || o->pipeline == NULL)
		die(EXIT_USAGE, "explain needs --organisation and --pipeline");
	text = mh_rules_explain(d, &input);
	fputs(text, stdout);
	g_free(text);
	mh_decl_unref(d);
	return 0;
}

static int
run_diff(const struct options *o, const char *const *args)
{
	return cmd_diff(o, args[0]);
}

static int
run_apply(const struct options *o, const char *const *args)
{
	return cmd_apply(o, args[0]);
}

static int
run_show(const struct options *o, const char *const *args)
{
	(void)args;
	return cmd_show(o);
}

static int
run_history(const struct options *o, const char *const *args)
{
	(void)args;
	return cmd_history(o);
}

static int
run_state(const struct options *o, const char *const *args)
{
	return cmd_state(o, args[0]);
}

static int
run_order(const struct options *o, const char *const *args)
{
	return cmd_order(o, args[0], args[1], args[2]);
}

static int
run_evacuate(const struct options *o, const char *const *args)
{
	return cmd_evacuate(o, args[0]);
}

static int
run_take_back(const struct options *o, const char *const *args)
{
	return cmd_take_back(o, args[0]);
}

static int
run_hash_key(const struct options *o, const char *const *args)
{
	uint8_t hash[MH_HASH_LEN];
	char hex[2 * MH_HASH_LEN + 1];

	(void)o;
	mh_key_hash(args[0], hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	printf("%s\n", hex);
	return 0;
}
