/**
 * DOC: A request has one run or one wait, in drawn orders of events.
 */

#include "gaterig.h"
#include "regress.h"

#include <string.h>

#define SEEDS 400
#define STEPS 120
#define NODES 4

/** struct draw - a request at a time, and what has happened to it. */
struct draw {
	struct grig *r;
	GRand *rand;
	struct mh_greq *q; /* NULL: it has ended */
	int event; /* id of the latest event */
	int requests;
};

static int
draw(struct draw *d, int n)
{
	return g_rand_int_range(d->rand, 0, n);
}

static int64_t
rows_age_us(void *arg)
{
	return draw(arg, 2) * 2 * S;
}

static void
list_nodes(struct draw *d)
{
	static const char *const names[NODES] = { "n0", "n1", "n2", "n3" };

	mh_fleet_begin(d->r->f);
	for (int i = 0; i < NODES; i++) {
		struct mh_listing l = { names[i], 77 + draw(d, 2), "pool",
			"10.0.0.1:1", "d", 8, draw(d, 8) == 0, 0,
			draw(d, 4) == 0 ? "v2" : "v1" };

		mh_fleet_list(d->r->f, &l);
	}
	mh_fleet_end(d->r->f);
}

static struct mh_node *
draw_node(struct draw *d)
{
	const GPtrArray *nodes = mh_fleet_pool(d->r->f, "pool");

	return nodes == NULL || nodes->len == 0
	    ? NULL
	    : g_ptr_array_index(nodes, (guint)draw(d, (int)nodes->len));
}

/* The current run or a silent one; NULL: none is open. */
static struct mh_try *
draw_try(struct draw *d)
{
	int n = (int)d->q->n_silent + (d->q->cur != NULL);
	int i = n == 0 ? 0 : draw(d, n);

	if (n == 0)
		return NULL;
	return i < (int)d->q->n_silent ? d->q->silent[i] : d->q->cur;
}

static void
answer(struct draw *d, struct mh_try *t)
{
	struct mh_gresp a = { .status = draw(d, 6) == 0 ? 500 : 200,
		.genuine = true,
		.not_run = draw(d, 8) == 0,
		.inputs_lost = draw(d, 2) == 0,
		.events = true };
	GString *out;
	char text[32];

	if (t->head_us == 0) {
		/* Its failed answer may be passed on, and ends with it. */
		if (mh_gate_head(d->r->g, t, &a) == MH_FORWARD &&
		    a.status != 200)
			mh_gate_try_end(d->r->g, t, MH_CALL_COMPLETE);
		return;
	}
	if (t->events == NULL)
		return;
	out = g_string_new(NULL);
	g_snprintf(text, sizeof(text), "id: %d\ndata: x\n\n", ++d->event);
	if (mh_sse_feed(t->events, text, strlen(text), out) == MH_SSE_OK)
		mh_gate_progress(d->r->g, t);
	else
		mh_gate_invalid_answer(d->r->g, t, "drawn");
	g_string_free(out, TRUE);
}

static void
step(struct draw *d)
{
	static const enum mh_hcall_outcome ends[] = { MH_CALL_BROKEN,
		MH_CALL_UNREADABLE, MH_CALL_UNSENT, MH_CALL_UNACKED,
		MH_CALL_UNANSWERED, MH_CALL_COMPLETE };
	struct grig *r = d->r;
	struct mh_node *n = draw_node(d);
	struct mh_try *t = draw_try(d);

	switch (draw(d, 12)) {
	case 0:
	case 1:
	case 2:
		if (t != NULL)
			answer(d, t);
		return;
	case 3:
		if (t != NULL && t->head_us != 0)
			mh_gate_try_end(r->g, t, ends[draw(d, 6)]);
		else if (t != NULL)
			mh_gate_try_end(r->g, t, ends[draw(d, 5)]);
		return;
	case 4:
	case 5:
		if (d->q->wait.kind == MH_WAIT_STAGES && draw(d, 5) > 0)
			grig_finish_job(r);
		else if (d->q->wait.kind == MH_WAIT_STAGES)
			mh_gate_job_end(r->g, r->job, MH_JOB_FAILED, 0);
		return;
	case 6:
		r->start_ms = draw(d, 3) == 0 ? 0 : 77 + draw(d, 2);
		return;
	case 7:
		if (n != NULL && draw(d, 3) == 0)
			mh_fleet_set_start(r->f, n->id, 77 + draw(d, 9));
		else if (n != NULL)
			mh_node_doubt(r->f, n);
		return;
	case 8:
		if (draw(d, 3) == 0)
			list_nodes(d);
		return;
	case 9:
		if (draw(d, 6) > 0)
			return;
		mh_gate_caller_left(r->g, d->q);
		grig_forget(r, d->q);
		return;
	default:
		grig_advance(r, draw(d, 6) * draw(d, 300) * MS);
	}
}

/* One way goes on: a run, or one wait; what was asked belongs to it. */
static bool
is_sound(const struct draw *d)
{
	const struct mh_greq *q = d->q;
	bool asks = q->wait.kind == MH_WAIT_START ||
	    (q->cur != NULL && q->cur->question != NULL);

	return (q->cur != NULL) != (q->wait.kind != MH_WAIT_NONE) &&
	    (d->r->start_timer != NULL) == asks &&
	    q->runs <= q->route->attempts &&
	    (q->wait.kind != MH_WAIT_STAGES || q->job != NULL);
}

static void
play(uint32_t seed)
{
	struct draw d = { .r = grig_create(0),
		.rand = g_rand_new_with_seed(seed) };
	struct mh_groute *t = g_ptr_array_index(d.r->conf->routes, 2);

	t->attempts = 3;
	t->n_stages = seed % 2;
	mh_fleet_on_rows_age(d.r->f, rows_age_us, &d);
	d.r->start_ms = 77;
	list_nodes(&d);
	for (int i = 0; i < STEPS; i++) {
		char id[16];
		bool ok = true;

		if (d.q == NULL) {
			d.event = 0;
			g_snprintf(id, sizeof(id), "q%d", d.requests++);
			d.q = grig_stream(d.r, id, NULL);
		} else {
			step(&d);
		}
		if (d.r->open->len == 0)
			d.q = NULL;
		else
			ok = is_sound(&d);
		CU_ASSERT(ok);
		if (!ok)
			break;
	}
	CU_ASSERT(d.requests > 0);
	grig_destroy(d.r);
	g_rand_free(d.rand);
}

/* Guards against a request that goes on in two ways at once. */
static void
test_drawn(void)
{
	for (uint32_t seed = 0; seed < SEEDS; seed++)
		play(seed);
}

const struct test tests_waits[] = {
	{ "waits: drawn orders of events", test_drawn },
	{ NULL, NULL },
};
