/*
 * Clock: reads of the system's clocks.
 */
#include "fescuemill/base/clock.h"

#include <time.h>

/* Reads one clock in microseconds. */
static uint64_t read_us(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (uint64_t)now.tv_sec * USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

/* Gives the monotonic time in microseconds since an arbitrary start. */
uint64_t clock_monotonic_us(void)
{
	return read_us(CLOCK_MONOTONIC);
}

/* Gives the wall time in microseconds since 1970. */
uint64_t clock_wall_us(void)
{
	return read_us(CLOCK_REALTIME);
}
