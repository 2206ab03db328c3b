#ifndef TIMES_H
#define TIMES_H

#include <glib.h>
#include <stdint.h>

/**
 * times_within() - number of times within @window_us up to @end_us, both ends
 * included.
 * @times: int64_t, in order
 */
uint32_t times_within(const GArray *times, int64_t end_us, int64_t window_us);

#endif
