/**
 * DOC: The time slots in which a process may send to a cold endpoint.
 *
 * An endpoint that has just started can take only a few requests a second from
 * all entries together, but looks idle to each of them.  It is warm after some
 * seconds, which is too soon for entries to coordinate.  Instead, every entry
 * computes the same order of entries for the endpoint.  Only the first ones
 * send to it, at most as many as the requests per second that it can take, and
 * they share this rate equally.
 */

#include "marlhoist.h"

#include <math.h>

int64_t
mh_cold_slot_us(const struct mh_cold_slot *t)
{
	double senders = MIN(floor(MAX(t->per_s, 1)), MAX(t->entries, 1));

	if (t->per_s <= 0 || t->rank >= senders)
		return 0;
	return (int64_t)(senders / t->per_s * (double)MH_US_PER_S);
}
