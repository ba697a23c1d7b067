/*
 * Clock: reads the system clocks.
 */
#include "fescuemill/base/clock.h"

#include <time.h>

static uint64_t read_us(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (uint64_t)now.tv_sec * USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

/* Returns the monotonic time, in microseconds since an arbitrary starting point. */
uint64_t clock_monotonic_us(void)
{
	return read_us(CLOCK_MONOTONIC);
}

/* Returns the wall-clock time, in microseconds since the Unix epoch. */
uint64_t clock_wall_us(void)
{
	return read_us(CLOCK_REALTIME);
}

/* Returns the time since the host's start, suspension included, in microseconds. It does not jump.
 */
uint64_t clock_boottime_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}
