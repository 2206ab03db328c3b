/**
 * DOC: What a gateway that is stopped takes, passes on and answers, in drawn
 * orders of events.
 */

#include "gaterig.h"
#include "regress.h"

#include <string.h>

#define SEEDS 300
#define STEP_US (10 * MS)
#define GRACE_US (7500 * MS)
/* A request sent so long after the signal may outlast the grace. */
#define LATE_US (3 * S)
/* No stream is begun that has less than this until the exit. */
#define SHORT_US (1 * S)
#define NODES 4

static const char *const targets[] = { "/safe/x", "/once/x", "/resume/x",
	"/stream/x" };
static const int64_t deadlines[] = { 0, 1 * S, 4 * S, 12 * S, 20 * S };

/** struct stop - a gateway, and one request at a time. */
struct stop {
	struct grig *r;
	GRand *rand;
	struct mh_greq *q; /* NULL: it has ended */
	const char *target;
	int64_t drain_us; /* when the signal came; 0: not yet */
	int64_t arrived_us;
	int64_t sent_us; /* when it was passed on first; 0: it was not */
	int64_t expires_us;
	uint32_t sends; /* of the gateway, as it arrived */
	uint32_t cut; /* late requests that the exit cut */
	uint32_t begun_short; /* streams begun just before the exit */
	uint32_t taken_late; /* late requests that were answered */
};

static uint32_t
draw(struct stop *t, uint32_t n)
{
	return (uint32_t)g_rand_int_range(t->rand, 0, (gint32)n);
}

static bool
is_stream(const struct stop *t)
{
	return t->target == targets[2] || t->target == targets[3];
}

static void
arrive(struct stop *t)
{
	t->target = targets[draw(t, G_N_ELEMENTS(targets))];
	t->arrived_us = t->r->now_us;
	t->sent_us = 0;
	t->sends = t->r->sends;
	t->q = grig_request(
	    t->r, t->target, deadlines[draw(t, G_N_ELEMENTS(deadlines))]);
	if (t->r->open->len == 0) {
		t->q = NULL; /* refused at once */
		return;
	}
	t->expires_us = t->q->expires_us;
}

static void
note_send(struct stop *t)
{
	int64_t exit_us = t->drain_us + GRACE_US;

	if (t->sent_us != 0 || t->r->sends == t->sends)
		return;
	t->sent_us = t->r->now_us;
	if (t->drain_us != 0 && is_stream(t) &&
	    exit_us - t->sent_us < MIN(SHORT_US, t->expires_us - t->sent_us))
		t->begun_short++;
}

/* The endpoint, or the stage work, goes on. */
static void
go_on(struct stop *t)
{
	struct grig *r = t->r;
	struct mh_try *y = t->q->n_silent > 0 ? t->q->silent[0] : t->q->cur;
	struct mh_gresp a = { .status = 200, .genuine = true };

	if (t->q->wait.kind == MH_WAIT_STAGES) {
		grig_finish_job(r);
		return;
	}
	if (y == NULL)
		return;
	a.events = is_stream(t);
	switch (draw(t, 6)) {
	case 0:
		if (y->head_us != 0)
			return;
		a.status = 503;
		a.not_run = true;
		break;
	case 1:
		mh_gate_try_end(r->g, y, MH_CALL_BROKEN);
		return;
	default:
		break;
	}
	if (y->head_us == 0 && mh_gate_head(r->g, y, &a) == MH_DROP)
		return;
	if (!a.events || a.not_run || draw(t, 3) == 0)
		mh_gate_try_end(r->g, y, MH_CALL_COMPLETE);
}

static void
play(struct stop *t, uint32_t seed)
{
	int64_t stop_at_us = (int64_t)(1 + seed % 5) * S;
	uint32_t pace = 1 + seed % 40; /* steps between events */

	while (t->drain_us == 0 || t->r->now_us < t->drain_us + GRACE_US) {
		bool late, before = t->q != NULL;
		uint32_t broken, refused;

		if (t->q == NULL && draw(t, 3) == 0)
			arrive(t);
		else if (t->q != NULL && draw(t, pace) == 0)
			go_on(t);
		note_send(t);
		if (t->r->open->len == 0)
			t->q = NULL;
		late =
		    t->drain_us != 0 && t->arrived_us > t->drain_us + LATE_US;
		t->taken_late +=
		    late && before && t->q == NULL && t->sent_us != 0;
		if (t->drain_us == 0 && t->r->now_us >= stop_at_us) {
			t->drain_us = t->r->now_us;
			mh_gate_drain(t->r->g, GRACE_US);
		}
		broken = t->r->broken;
		refused = t->r->refused;
		t->r->why = MH_NOT_READY;
		grig_advance(t->r, STEP_US);
		note_send(t);
		/* Time has ended it, and not its own. */
		if (late && t->q != NULL && t->sent_us != 0 &&
		    t->r->now_us < t->expires_us)
			t->cut += t->r->broken - broken +
			    (t->r->refused > refused &&
				t->r->why == MH_RUN_TIMEOUT);
		if (t->r->open->len == 0)
			t->q = NULL;
	}
}

/* Guards against late requests that are taken and cut by the exit. */
static void
test_drawn(void)
{
	uint32_t taken_late = 0;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct stop t = { .r = grig_create(NODES),
			.rand = g_rand_new_with_seed(seed) };

		for (guint i = 0; i < t.r->conf->routes->len; i++) {
			struct mh_groute *route =
			    g_ptr_array_index(t.r->conf->routes, i);

			route->timeout_us = 20 * S;
			route->n_stages = route->stream && seed % 2 == 1;
		}
		play(&t, seed);
		CU_ASSERT_EQUAL(t.cut, 0);
		CU_ASSERT_EQUAL(t.begun_short, 0);
		taken_late += t.taken_late;
		grig_destroy(t.r);
		g_rand_free(t.rand);
	}
	CU_ASSERT(taken_late > SEEDS);
}

const struct test tests_stop[] = {
	{ "stop: drawn requests in the grace", test_drawn },
	{ NULL, NULL },
};
