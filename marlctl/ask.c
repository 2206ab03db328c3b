/**
 * DOC: state and order: one frame to a process, one frame back.
 */

#include "marlctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ANSWER_US (3 * MH_US_PER_S)
#define FENCE_NAME "orders/fence"
#define FENCE_TRIES 5

struct ask {
	struct mh_kern *k;
	struct mh_loop *loop;
	uint64_t conn;
	Mh__Frame *frame;
	int status;
	bool answered;
};

static void
take_frame(struct ask *a, GBytes *b)
{
	Mh__Frame *f = mh_frame_unpack(b);

	if (f != NULL && f->body_case == MH__FRAME__BODY_STATE) {
		printf("%s\n", f->state->json);
		a->answered = true;
	} else if (f != NULL && f->body_case == MH__FRAME__BODY_ORDER_RESULT) {
		printf("status=%u %s\n", f->order_result->status,
		    f->order_result->text);
		a->status = f->order_result->status < 300 ? 0 : EXIT_BAD;
		a->answered = true;
	}
	mh_frame_free(f);
	if (a->answered)
		mh_loop_stop(a->loop);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct ask *a = self;

	switch (m->kind) {
	case MH_MSG_LINK_UP:
		mh_frame_send(a->k, a->conn, a->frame);
		break;
	case MH_MSG_FRAME:
		take_frame(a, m->u.link.frame);
		break;
	default:
		mh_loop_stop(a->loop);
		break;
	}
}

static void
on_late(void *arg)
{
	struct ask *a = arg;

	mh_loop_stop(a->loop);
}

static int
ask(const struct options *o, const char *addr, Mh__Frame *f)
{
	struct ask a = { .frame = f };
	GError *err = NULL;
	struct mh_link_args link = { .vm = "marlctl",
		.domain = "",
		.role = "ctl",
		.incarnation = mh_random_incarnation() };
	char *secret;

	if (o->secret_file == NULL)
		die(EXIT_USAGE,
		    "--secret-file or MARLHOIST_SECRET_FILE is "
		    "missing: give the processes' secret");
	secret = mh_secret_read(o->secret_file, &err);
	if (secret == NULL)
		die(EXIT_BAD, "%s", err->message);
	link.secret = secret;
	a.k = mh_kern_create((uint32_t)getpid());
	a.loop = mh_loop_create(a.k, &err);
	if (a.loop == NULL || !mh_link_create(a.loop, &link, &err))
		die(EXIT_BAD, "%s", err->message);
	mh_kern_add(a.k, "hub", &a, handle, NULL);
	a.conn = mh_next_id(a.k);
	mh_link_dial(a.k, a.conn, addr);
	mh_timer_start(a.k, ANSWER_US, on_late, &a);
	mh_loop_run(a.loop);
	mh_kern_destroy(a.k);
	mh_loop_destroy(a.loop);
	g_free(secret);
	if (!a.answered)
		die(EXIT_BAD,
		    "%s does not answer: check the address and the "
		    "secret",
		    addr);
	return a.status;
}

int
cmd_state(const struct options *o, const char *addr)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__StateAsk s = MH__STATE_ASK__INIT;

	f.body_case = MH__FRAME__BODY_STATE_ASK;
	f.state_ask = &s;
	return ask(o, addr, &f);
}

/* The modify index of a value written by CAS only grows: a fencing number. */
static uint64_t
take_fence(const struct options *o)
{
	GBytes *value = g_bytes_new_static("marlctl", 7);
	struct stored s;
	uint64_t fence = 0;

	for (int i = 0; i < FENCE_TRIES && fence == 0; i++) {
		store_get(o->kv, FENCE_NAME, &s);
		if (s.answered &&
		    store_put(o->kv, FENCE_NAME, s.cas, value) == WRITTEN) {
			stored_clear(&s);
			store_get(o->kv, FENCE_NAME, &s);
			fence = s.cas;
		}
		stored_clear(&s);
	}
	g_bytes_unref(value);
	if (fence == 0)
		die(EXIT_BAD,
		    "no fencing number: the KV service is out or "
		    "others order too; try again");
	return fence;
}

int
cmd_order(const struct options *o, const char *addr, const char *verb,
    const char *subject)
{
	Mh__Frame f = MH__FRAME__INIT;
	Mh__Order m = MH__ORDER__INIT;

	m.fence = o->fence != 0 ? o->fence : take_fence(o);
	m.verb = (char *)(uintptr_t)verb;
	m.subject = (char *)(uintptr_t)subject;
	f.body_case = MH__FRAME__BODY_ORDER;
	f.order = &m;
	printf("fence=%" PRIu64 " ", m.fence);
	return ask(o, addr, &f);
}
