/**
 * DOC: Commands state and order: send one frame to a process and print the
 * frame that it returns.
 */

#include "marlctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RESPONSE_TIMEOUT_US (3 * MH_US_PER_S)
#define FENCE_KEY "orders/fence"
#define FENCE_TRIES 5

struct frame_request {
	struct mh_kern *k;
	struct mh_loop *loop;
	uint64_t conn;
	Mh__Frame *frame;
	int status;
	bool responded;
};

static void
take_frame(struct frame_request *a, GBytes *b)
{
	Mh__Frame *f = mh_frame_unpack(b);

	if (f != NULL && f->body_case == MH__FRAME__BODY_STATE) {
		printf("%s\n", f->state->json);
		a->responded = true;
	} else if (f != NULL && f->body_case == MH__FRAME__BODY_ORDER_RESULT) {
		printf("status=%u %s\n", f->order_result->status,
		    f->order_result->text);
		a->status = f->order_result->status < 300 ? 0 : EXIT_BAD;
		a->responded = true;
	}
	mh_frame_free(f);
	if (a->responded)
		mh_loop_stop(a->loop);
}

static void
handle(void *self, struct mh_msg *m)
{
	struct frame_request *a = self;

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
on_timeout(void *arg)
{
	struct frame_request *a = arg;

	mh_loop_stop(a->loop);
}

static int
send_request(const struct options *o, const char *addr, Mh__Frame *f)
{
	struct frame_request a = { .frame = f };
	GError *err = NULL;
	struct mh_link_args link = { .vm = "marlctl",
		.domain = "",
		.role = "ctl",
		.incarnation = mh_random_incarnation() };
	char *secret;

	if (o->secret_file == NULL)
		die(EXIT_USAGE,
		    "--secret-file or MARLHOIST_SECRET_FILE is "
		    "missing: give the shared secret of the processes");
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
	mh_timer_start(a.k, RESPONSE_TIMEOUT_US, on_timeout, &a);
	mh_loop_run(a.loop);
	mh_kern_destroy(a.k);
	mh_loop_destroy(a.loop);
	g_free(secret);
	if (!a.responded)
		die(EXIT_BAD,
		    "%s does not respond: check the address and the "
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
	return send_request(o, addr, &f);
}

/*
 * Writes a value by compare-and-swap and returns its new modify index.  The
 * index only grows, so it serves as a fencing number.
 */
static uint64_t
take_fence(const struct options *o)
{
	GBytes *value = g_bytes_new_static("marlctl", 7);
	struct kv_value s;
	uint64_t fence = 0;

	for (int i = 0; i < FENCE_TRIES && fence == 0; i++) {
		store_get(o->kv, FENCE_KEY, &s);
		if (s.responded &&
		    store_put(o->kv, FENCE_KEY, s.cas, value) == WRITTEN) {
			kv_value_clear(&s);
			store_get(o->kv, FENCE_KEY, &s);
			fence = s.cas;
		}
		kv_value_clear(&s);
	}
	g_bytes_unref(value);
	if (fence == 0)
		die(EXIT_BAD,
		    "no fencing number: the KV service does not respond "
		    "or other orders are being sent; try again");
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
	return send_request(o, addr, &f);
}
