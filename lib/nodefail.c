/**
 * DOC: Answers, failures and silences of endpoints, and which are ejected.
 *
 * The registry does not show that an endpoint fails part of its requests while
 * its health check passes, so every answer and failure is recorded here.  An
 * endpoint that fails far more often than its pool is ejected for a while; at
 * most half of a pool, rounded up, is ejected.
 *
 * Silence counts as failure only until the endpoint is heard again.  A failed
 * one is thus avoided as soon as any other, and a sound one is as before.
 */

#include "fleetint.h"

/* Weights of the newest sample: the last eight or so dominate the mean. */
#define FAIL_WEIGHT 0.2
#define TOOK_WEIGHT 0.2
/*
 * An error rate of the whole pool is no fault of a single endpoint.  An
 * endpoint is ejected for its share of failures only from this share on, and
 * only from twice the mean of the other endpoints on.
 */
#define EJECT_FAIL_SHARE 0.45
#define EJECT_POOL_FACTOR 2.0
/* Failures in a row that eject an endpoint whatever its share of failures. */
#define EJECT_STREAK 2
/* Ejection time, doubled each time in a row; a restart takes some seconds. */
#define EJECT_MIN_US (700 * MH_US_PER_MS)
#define EJECT_MAX_US (6 * MH_US_PER_S)
/*
 * An endpoint that other calls have heard for STEADY_US, without a gap of
 * GAP_US, and within RECENT_US is not silent: a call that hangs there has
 * failed.  After a gap it has work to make up for.  No call is taken for silent
 * sooner than RECENT_US.
 */
#define RECENT_US (100 * MH_US_PER_MS)
#define GAP_US (200 * MH_US_PER_MS)
#define STEADY_US (1600 * MH_US_PER_MS)

static double
others_fail_mean(struct mh_fleet *f, const struct mh_node *n)
{
	GPtrArray *pool = mh_fleet_pool(f, n->pool);
	double sum = 0;

	for (guint i = 0; pool != NULL && i < pool->len; i++) {
		const struct mh_node *o = g_ptr_array_index(pool, i);

		if (o != n)
			sum += o->fail_share;
	}
	return pool == NULL || pool->len < 2 ? 0 : sum / (pool->len - 1);
}

/* Whether an ejection leaves at most half of the pool, rounded up, unused. */
static bool
may_eject(struct mh_fleet *f, const struct mh_node *n)
{
	GPtrArray *pool = mh_fleet_pool(f, n->pool);
	int64_t now = mh_now(f->k);
	uint32_t unused = 0;

	for (guint i = 0; pool != NULL && i < pool->len; i++) {
		const struct mh_node *o = g_ptr_array_index(pool, i);

		unused += o != n && (o->evacuated || o->eject_until_us > now);
	}
	return pool != NULL && (unused + 1) * 2 <= pool->len + 1;
}

/* Returns whether it is ejected now and was not before. */
static bool
eject(struct mh_fleet *f, struct mh_node *n, const char *why)
{
	int64_t now = mh_now(f->k), eject_us;

	if (n->eject_until_us > now || !may_eject(f, n))
		return false;
	eject_us = MIN(EJECT_MIN_US << MIN(n->ejections, 4), EJECT_MAX_US);
	n->ejections++;
	n->eject_until_us = now + eject_us;
	mh_count(f->k, "endpoints_put_out", 1);
	mh_event(f->k, "endpoint-out",
	    "id=%s pool=%s why=%s fail=%.2f streak=%u for_ms=%" PRId64, n->id,
	    n->pool, why, n->fail_share, n->streak + n->silence.calls,
	    mh_ms(eject_us));
	return true;
}

void
mh_node_eject(struct mh_fleet *f, struct mh_node *n, const char *why)
{
	(void)eject(f, n, why);
}

static bool
is_ejected_silent(const struct mh_fleet *f, const struct mh_node *n)
{
	return n->eject_until_us > mh_now(f->k) &&
	    n->eject_until_us == n->silence.eject_until_us;
}

/* The ejection in force lasts, though the endpoint be heard. */
static void
confirm_ejection(const struct mh_fleet *f, struct mh_node *n)
{
	if (!is_ejected_silent(f, n))
		return;
	n->silence.eject_until_us = 0;
	n->silence.ejections--;
}

void
mh_node_suspect(struct mh_fleet *f, struct mh_node *n, const char *why)
{
	if (!eject(f, n, why))
		return;
	n->silence.ejections++;
	n->silence.eject_until_us = n->eject_until_us;
}

static bool
must_eject(
    struct mh_fleet *f, const struct mh_node *n, uint32_t streak, double share)
{
	return streak >= EJECT_STREAK ||
	    (share >= EJECT_FAIL_SHARE &&
		share >= EJECT_POOL_FACTOR * others_fail_mean(f, n));
}

/* Ejects it if failures, or these and its silence, are reason enough. */
static void
judge(struct mh_fleet *f, struct mh_node *n, const char *why)
{
	const struct mh_node_silence *s = &n->silence;

	if (must_eject(f, n, n->streak, s->sound_share)) {
		confirm_ejection(f, n);
		(void)eject(f, n, why);
	} else if (must_eject(f, n, n->streak + s->calls, n->fail_share)) {
		mh_node_suspect(f, n, why);
	}
}

static double
with_failure(double share)
{
	return share + FAIL_WEIGHT * (1 - share);
}

void
mh_node_failed(struct mh_fleet *f, struct mh_node *n, const char *why)
{
	n->streak++;
	n->fail_share = with_failure(n->fail_share);
	n->silence.sound_share = with_failure(n->silence.sound_share);
	judge(f, n, why);
}

void
mh_node_silent(struct mh_fleet *f, struct mh_node *n)
{
	int64_t now = mh_now(f->k);

	if (n->heard_us != 0 && now - n->heard_us < RECENT_US &&
	    now - n->steady_us >= STEADY_US) {
		mh_node_failed(f, n, "hangs");
		return;
	}
	n->silence.calls++;
	n->fail_share = with_failure(n->fail_share);
	judge(f, n, "silent");
}

/* Takes back what its silence has added to the record. */
static void
end_silence(struct mh_fleet *f, struct mh_node *n)
{
	struct mh_node_silence *s = &n->silence;
	bool is_ejected = is_ejected_silent(f, n);

	if (is_ejected)
		n->eject_until_us = 0;
	mh_event(f->k, "endpoint-heard",
	    "id=%s pool=%s silent=%u ejections=%u back=%d", n->id, n->pool,
	    s->calls, s->ejections, is_ejected);
	n->ejections -= MIN(n->ejections, s->ejections);
	n->fail_share = s->sound_share;
	s->calls = 0;
	s->ejections = 0;
	s->eject_until_us = 0;
}

void
mh_node_heard(struct mh_fleet *f, struct mh_node *n)
{
	int64_t now = mh_now(f->k);

	if (n->heard_us == 0 || now - n->heard_us >= GAP_US)
		n->steady_us = now;
	n->heard_us = now;
	if (n->silence.calls > 0 || n->silence.ejections > 0)
		end_silence(f, n);
}

void
mh_node_succeeded(struct mh_fleet *f, struct mh_node *n, int64_t took_us)
{
	if (n->silence.calls > 0 || n->silence.ejections > 0)
		end_silence(f, n);
	n->streak = 0;
	n->ejections = 0;
	n->fail_share *= 1 - FAIL_WEIGHT;
	n->silence.sound_share *= 1 - FAIL_WEIGHT;
	if (n->took_us <= 0)
		n->took_us = (double)took_us;
	n->took_us += TOOK_WEIGHT * ((double)took_us - n->took_us);
}
