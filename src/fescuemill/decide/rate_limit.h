/*
 * Rate limit: a token bucket that holds the calls of a gate to the rate that its backend server
 * states. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_RATE_LIMIT_H
#define FESCUEMILL_DECIDE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Size of the bucket, as time at the rate, and at least one call: the calls of a second may come
 * all at once. */
#define RATE_LIMIT_BURST_US 1000000

/* The lowest rate that is applied, one call in 5 s: that a server takes calls again shows only in
 * an answer. */
#define RATE_LIMIT_MILLI_MIN 200

struct rate_limit {
	bool is_set;
	uint32_t rate_milli;  /* calls per 1000 s, at least RATE_LIMIT_MILLI_MIN */
	uint64_t tokens_nano; /* tokens in the bucket, in billionths of a call */
	uint64_t refill_us;   /* time of the last refill */
};

/* Sets the rate. A limit that was not set before starts with an empty bucket: the calls of the
 * last seconds are not known. */
void rate_limit_set(struct rate_limit *limit, uint32_t rate_milli, uint64_t now_us);
void rate_limit_clear(struct rate_limit *limit);
/* Returns true if a call may start now. Without a limit, always. */
bool rate_limit_allows(struct rate_limit *limit, uint64_t now_us);
/* Takes the token of a call that starts. */
void rate_limit_take(struct rate_limit *limit, uint64_t now_us);
/* Returns how long a call must wait for its token, in microseconds, if `ahead` others are before
 * it. 0 without a limit. */
uint64_t rate_limit_wait_us(const struct rate_limit *limit, uint32_t ahead, uint64_t now_us);

#endif
