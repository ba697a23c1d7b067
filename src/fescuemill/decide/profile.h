/*
 * Profile: a token bucket that decides which calls of a class are within its configured rate.
 */
#ifndef FESCUEMILL_DECIDE_PROFILE_H
#define FESCUEMILL_DECIDE_PROFILE_H

#include <stdbool.h>
#include <stdint.h>

#define PROFILE_BURST_US	250000 /* size of the bucket, as time at the rate */
#define PROFILE_BURST_CALLS_MIN 8      /* minimum size of the bucket */

struct profile {
	uint64_t rate_milli;  /* rate in thousandths of a call per second */
	uint64_t tokens_nano; /* tokens in the bucket, in billionths of a call */
	uint64_t refill_us;   /* time of the last refill */
};

void profile_set_rate(struct profile *profile, uint64_t rate_milli, uint64_t now_us);
bool profile_take(struct profile *profile, uint64_t now_us);
void profile_refund(struct profile *profile);

#endif
