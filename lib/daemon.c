/**
 * DOC: What all daemons share: settings, secret, incarnation and logging.
 */

#include "marlhoist.h"

#include <argtable2.h>
#include <log4c.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SLOTS 8
#define DEFAULT_QUEUE_LIMIT 256
#define MAX_SLOTS 4096
#define MIN_SECRET_CHARS 16
#define MIN_MEMORY_MB 16
#define MAX_MEMORY_MB (1U << 20)
#define MIN_FDS 64
#define MAX_FDS (1U << 20)

struct setting {
	const char *flag;
	const char *env;
	const char *help_text;
	size_t offset;
	enum mh_daemon_kind only; /* the only daemon, unless both is set */
	bool both;
	bool required;
	uint32_t min; /* of a number */
	uint32_t max; /* of a number; 0: the value is text */
};

#define S(fl, en, fld, wh, onl, bth, req, lo, hi)                         \
	{                                                                 \
		.flag = fl, .env = en, .help_text = wh,                   \
		.offset = offsetof(struct mh_settings, fld), .only = onl, \
		.both = bth, .required = req, .min = lo, .max = hi        \
	}

static const struct setting settings[] = {
	S("vm", "MARLHOIST_VM", vm, "this VM's id in the VM list", 0, true,
	    true, 0, 0),
	S("domain", "MARLHOIST_DOMAIN", domain, "failure domain", 0, true, true,
	    0, 0),
	S("listen", "MARLHOIST_LISTEN", listen,
	    "IP:PORT for the other processes", 0, true, true, 0, 0),
	S("advertise", "MARLHOIST_ADVERTISE", advertise,
	    "IP:PORT that peers dial, if different", 0, true, false, 0, 0),
	S("http", "MARLHOIST_HTTP", http,
	    "IP:PORT for callers, health and metrics", 0, true, true, 0, 0),
	S("kv", "MARLHOIST_KV", kv, "URL of the KV service", 0, true, true, 0,
	    0),
	S("vmlist", "MARLHOIST_VMLIST", vmlist, "URL of the VM list", 0, true,
	    true, 0, 0),
	S("secret-file", "MARLHOIST_SECRET_FILE", secret_file,
	    "file with the secret that all processes share", 0, true, true, 0,
	    0),
	S("log-level", "MARLHOIST_LOG_LEVEL", log_level, "error, info or debug",
	    0, true, false, 0, 0),
	S("cert-file", "MARLHOIST_CERT_FILE", cert_file,
	    "TLS certificate (PEM) of the callers' port", MH_DAEMON_ENTRY,
	    false, false, 0, 0),
	S("key-file", "MARLHOIST_KEY_FILE", key_file,
	    "TLS key (PEM) of the callers' port", MH_DAEMON_ENTRY, false, false,
	    0, 0),
	S("pool", "MARLHOIST_POOL", pool, "pool of the endpoint",
	    MH_DAEMON_SIDE, false, true, 0, 0),
	S("endpoint", "MARLHOIST_ENDPOINT", endpoint, "URL of the endpoint",
	    MH_DAEMON_SIDE, false, true, 0, 0),
	S("slots", "MARLHOIST_SLOTS", slots,
	    "concurrent calls to the endpoint, 1 to 4096", MH_DAEMON_SIDE,
	    false, false, 1, MAX_SLOTS),
	S("queue", "MARLHOIST_QUEUE", queue_limit,
	    "maximum of queued calls, 1 to 4096", MH_DAEMON_SIDE, false, false,
	    1, MAX_SLOTS),
	S("grace", "MARLHOIST_GRACE", grace,
	    "whole seconds from SIGTERM to SIGKILL, 2 to 3600", 0, true, false,
	    MH_GRACE_MIN_S, MH_GRACE_MAX_S),
	S("memory-mb", "MARLHOIST_MEMORY_MB", memory_mb,
	    "memory of this VM in MB, 16 to 1048576", 0, true, false,
	    MIN_MEMORY_MB, MAX_MEMORY_MB),
	S("max-fds", "MARLHOIST_MAX_FDS", max_fds,
	    "descriptors that it may open, 64 to 1048576", 0, true, false,
	    MIN_FDS, MAX_FDS),
};
#define NSETTINGS (sizeof(settings) / sizeof(settings[0]))

static G_GNUC_NORETURN void
die(const char *program, const char *fmt, ...)
{
	va_list ap;

	fprintf(stderr, "%s: ", program);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	exit(2);
}

static bool
applies(const struct setting *t, enum mh_daemon_kind kind)
{
	return t->both || t->only == kind;
}

static void
set_value(struct mh_settings *s, const struct setting *t, const char *v,
    const char *program)
{
	void *at = (char *)s + t->offset;
	guint64 n;

	if (t->max == 0) {
		g_free(*(char **)at);
		*(char **)at = g_strdup(v);
		return;
	}
	if (!g_ascii_string_to_unsigned(v, 10, t->min, t->max, &n, NULL))
		die(program, "--%s \"%s\" is invalid: give %s", t->flag, v,
		    t->help_text);
	*(int *)at = (int)n;
}

static bool
is_addr(const char *a)
{
	char host[MH_HOST_LEN];
	uint16_t port;

	return mh_addr_parse(a, host, &port);
}

static bool
is_url(const char *u)
{
	return g_str_has_prefix(u, "http://") ||
	    g_str_has_prefix(u, "https://");
}

static void
check(
    const struct mh_settings *s, enum mh_daemon_kind kind, const char *program)
{
	for (size_t i = 0; i < NSETTINGS; i++) {
		const struct setting *t = &settings[i];
		const char *v;

		if (!applies(t, kind) || t->max > 0)
			continue;
		v = *(char *const *)(const void *)((const char *)s + t->offset);
		if (v == NULL && t->required)
			die(program, "--%s or %s is missing: give %s", t->flag,
			    t->env, t->help_text);
		if (v != NULL && g_str_has_prefix(t->help_text, "IP:PORT") &&
		    !is_addr(v))
			die(program, "--%s \"%s\" is not IP:PORT: give %s",
			    t->flag, v, t->help_text);
		if (v != NULL && g_str_has_prefix(t->help_text, "URL") &&
		    !is_url(v))
			die(program, "--%s \"%s\" is not an HTTP URL: give %s",
			    t->flag, v, t->help_text);
	}
	if ((s->cert_file == NULL) != (s->key_file == NULL))
		die(program,
		    "--cert-file and --key-file must be used together: "
		    "give both or neither");
}

void
mh_settings_read(
    struct mh_settings *s, enum mh_daemon_kind kind, int argc, char **argv)
{
	const char *program = strrchr(argv[0], '/');
	struct arg_str *strs[NSETTINGS];
	struct arg_lit *only_check =
	    arg_lit0(NULL, "check-settings", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(10);
	void *table[NSETTINGS + 3];
	size_t n = 0;

	program = program == NULL ? argv[0] : program + 1;
	memset(s, 0, sizeof(*s));
	s->slots = DEFAULT_SLOTS;
	s->queue_limit = DEFAULT_QUEUE_LIMIT;
	s->grace = MH_GRACE_S;
	for (size_t i = 0; i < NSETTINGS; i++) {
		strs[i] = arg_str0(
		    NULL, settings[i].flag, "<value>", settings[i].help_text);
		if (applies(&settings[i], kind))
			table[n++] = strs[i];
	}
	table[n++] = only_check;
	table[n++] = help;
	table[n++] = end;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, program);
		exit(2);
	}
	if (help->count > 0) {
		printf("usage: %s", program);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		exit(0);
	}
	for (size_t i = 0; i < NSETTINGS; i++) {
		const char *v = getenv(settings[i].env);

		if (!applies(&settings[i], kind))
			continue;
		if (strs[i]->count > 0)
			v = strs[i]->sval[0];
		if (v != NULL)
			set_value(s, &settings[i], v, program);
	}
	s->check_only = only_check->count > 0;
	for (size_t i = 0; i < NSETTINGS; i++) {
		if (!applies(&settings[i], kind))
			free(strs[i]);
	}
	arg_freetable(table, n);
	check(s, kind, program);
}

void
mh_settings_clear(struct mh_settings *s)
{
	for (size_t i = 0; i < NSETTINGS; i++) {
		if (settings[i].max == 0)
			g_free(
			    *(char **)(void *)((char *)s + settings[i].offset));
	}
	memset(s, 0, sizeof(*s));
}

void
mh_settings_holdings(const struct mh_settings *s, struct mh_holdings *h)
{
	mh_holdings_divide(
	    h, (uint64_t)s->memory_mb << 20, (uint32_t)s->max_fds);
}

char *
mh_secret_read(const char *file, GError **err)
{
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, err))
		return NULL;
	text[strcspn(text, "\r\n")] = '\0';
	if (strlen(text) < MIN_SECRET_CHARS) {
		g_set_error(err, MH_ERROR, MH_ERR_SETTING,
		    "%s: the secret is shorter than %d characters; "
		    "write a longer random line",
		    file, MIN_SECRET_CHARS);
		g_free(text);
		return NULL;
	}
	return text;
}

uint64_t
mh_random_incarnation(void)
{
	uint64_t n;

	if (sodium_init() < 0)
		abort();
	randombytes_buf(&n, sizeof(n));
	return n | 1;
}

static void
log_line(void *arg, const char *component, const char *line)
{
	log4c_category_t *cat = arg;

	log4c_category_log(cat, LOG4C_PRIORITY_INFO, "%s: %s", component, line);
}

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
	static __thread char buf[2048];
	GDateTime *now = g_date_time_new_now_utc();
	char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");

	(void)layout;
	snprintf(buf, sizeof(buf), "%s.%03dZ %s %s\n", stamp,
	    g_date_time_get_microsecond(now) / 1000,
	    log4c_priority_to_string(ev->evt_priority), ev->evt_msg);
	g_free(stamp);
	g_date_time_unref(now);
	return buf;
}

static const log4c_layout_type_t layout_type = { "marlhoist", format_line };

void
mh_log_start(struct mh_kern *k, const char *program, const char *level)
{
	log4c_category_t *cat;
	log4c_layout_t *layout;
	log4c_appender_t *appender;

	log4c_init();
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get("marlhoist");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("stderr");
	log4c_appender_set_type(appender, log4c_appender_type_get("stream"));
	log4c_appender_set_layout(appender, layout);
	cat = log4c_category_get(program);
	log4c_category_set_appender(cat, appender);
	log4c_category_set_additivity(cat, 0);
	log4c_category_set_priority(
	    cat, log4c_priority_to_int(level == NULL ? "info" : level));
	mh_kern_set_log(k, log_line, cat);
}

void
mh_log_stop(void)
{
	log4c_fini();
}
