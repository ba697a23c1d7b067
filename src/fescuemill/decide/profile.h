/*
 * Profile: a token bucket that tells which calls of a class are within its stated amount.
 */
#ifndef FESCUEMILL_DECIDE_PROFILE_H
#define FESCUEMILL_DECIDE_PROFILE_H

#include <stdbool.h>
#include <stdint.h>

#define PROFILE_BURST_US	250000
#define PROFILE_BURST_CALLS_MIN 8

struct profile {
	uint64_t rate_milli;  /* calls a second, in thousandths */
	uint64_t tokens_nano; /* billionths of a call */
	uint64_t refill_us;   /* time of the last refill */
};

void profile_set_rate(struct profile *profile, uint64_t rate_milli, uint64_t now_us);
bool profile_take(struct profile *profile, uint64_t now_us);
void profile_refund(struct profile *profile);

#endif
