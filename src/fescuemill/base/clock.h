/*
 * Clock: monotonic and wall-clock time in microseconds. Code under decide/ never reads a
 * clock: the event loop passes it the current time.
 */
#ifndef FESCUEMILL_BASE_CLOCK_H
#define FESCUEMILL_BASE_CLOCK_H

#include <stdint.h>

#define USEC_PER_MSEC 1000ULL
#define USEC_PER_SEC  1000000ULL

uint64_t clock_monotonic_us(void);
uint64_t clock_wall_us(void);
/* Counts the time during which the host was suspended, too. */
uint64_t clock_boottime_us(void);

#endif
