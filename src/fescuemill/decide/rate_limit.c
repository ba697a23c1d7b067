/*
 * Rate limit: a token bucket.
 */
#include "fescuemill/decide/rate_limit.h"

#define CALL_NANO      1000000000ULL
#define RATE_MILLI_MAX 1000000000U /* keeps the products below from overflowing */
#define REFILL_US_MAX  10000000ULL /* after this time any bucket is full */

/* Returns the size of the bucket. A rate in thousandths of a call per second, times microseconds,
 * gives billionths of a call. */
static uint64_t capacity_nano(const struct rate_limit *limit)
{
	uint64_t burst = (uint64_t)limit->rate_milli * RATE_LIMIT_BURST_US;

	return burst > CALL_NANO ? burst : CALL_NANO;
}

/* Returns the tokens in the bucket at a time. */
static uint64_t tokens_at(const struct rate_limit *limit, uint64_t now_us)
{
	uint64_t elapsed_us = now_us > limit->refill_us ? now_us - limit->refill_us : 0;
	uint64_t tokens;

	if (elapsed_us > REFILL_US_MAX)
		elapsed_us = REFILL_US_MAX;
	tokens = limit->tokens_nano + limit->rate_milli * elapsed_us;
	return tokens < capacity_nano(limit) ? tokens : capacity_nano(limit);
}

static void refill(struct rate_limit *limit, uint64_t now_us)
{
	limit->tokens_nano = tokens_at(limit, now_us);
	if (now_us > limit->refill_us)
		limit->refill_us = now_us;
}

/* Sets the rate. */
void rate_limit_set(struct rate_limit *limit, uint32_t rate_milli, uint64_t now_us)
{
	if (limit->is_set) {
		refill(limit, now_us);
	} else {
		limit->tokens_nano = 0;
		limit->refill_us = now_us;
	}
	limit->is_set = true;
	limit->rate_milli = rate_milli;
	if (limit->rate_milli < RATE_LIMIT_MILLI_MIN)
		limit->rate_milli = RATE_LIMIT_MILLI_MIN;
	if (limit->rate_milli > RATE_MILLI_MAX)
		limit->rate_milli = RATE_MILLI_MAX;
}

/* Removes the limit. */
void rate_limit_clear(struct rate_limit *limit)
{
	limit->is_set = false;
}

/* Returns true if a call may start now. */
bool rate_limit_allows(struct rate_limit *limit, uint64_t now_us)
{
	if (!limit->is_set)
		return true;
	refill(limit, now_us);
	return limit->tokens_nano >= CALL_NANO;
}

/* Takes the token of a call that starts. */
void rate_limit_take(struct rate_limit *limit, uint64_t now_us)
{
	if (!limit->is_set)
		return;
	refill(limit, now_us);
	limit->tokens_nano -= limit->tokens_nano < CALL_NANO ? limit->tokens_nano : CALL_NANO;
}

/* Returns how long a call must wait for its token. */
uint64_t rate_limit_wait_us(const struct rate_limit *limit, uint32_t ahead, uint64_t now_us)
{
	uint64_t needed_nano = (ahead + 1ULL) * CALL_NANO;
	uint64_t tokens_nano;

	if (!limit->is_set)
		return 0;
	tokens_nano = tokens_at(limit, now_us);
	if (tokens_nano >= needed_nano)
		return 0;
	return (needed_nano - tokens_nano + limit->rate_milli - 1) / limit->rate_milli;
}
