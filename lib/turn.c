/**
 * DOC: How often a process sends to a cold endpoint.
 *
 * An endpoint that has just started bears few requests a second, of all
 * entries together, and looks empty to each of them.  There is no time to
 * agree: it is warm again after some seconds.  So the entries that send to it
 * at all are the first few of an order that all know, as many as it bears
 * requests, and each of these takes its part.
 */

#include "marlhoist.h"

#include <math.h>

int64_t
mh_turn_us(const struct mh_turn *t)
{
	double senders = MIN(floor(MAX(t->per_s, 1)), MAX(t->entries, 1));

	if (t->per_s <= 0 || t->before >= senders)
		return 0;
	return (int64_t)(senders / t->per_s * (double)MH_US_PER_S);
}
