/**
 * DOC: Times in sliding windows.
 */

#include "times.h"

static uint32_t
count_before(const GArray *times, int64_t us)
{
	guint low = 0, high = times->len;

	while (low < high) {
		guint mid = (low + high) / 2;

		if (g_array_index(times, int64_t, mid) < us)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

uint32_t
times_within(const GArray *times, int64_t end_us, int64_t window_us)
{
	return count_before(times, end_us + 1) -
	    count_before(times, end_us - window_us);
}
