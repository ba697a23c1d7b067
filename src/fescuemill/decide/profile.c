/*
 * Profile: a token bucket that decides which calls of a class are within its configured rate.
 */
#include "fescuemill/decide/profile.h"

#include "fescuemill/base/clock.h"

#define NANO_PER_CALL 1000000000ULL

/* Returns the size of the bucket in billionths of a call; 0 at a rate of 0. */
static uint64_t burst_nano(const struct profile *profile)
{
	uint64_t least = PROFILE_BURST_CALLS_MIN * NANO_PER_CALL;
	uint64_t burst = profile->rate_milli * PROFILE_BURST_US;

	if (!profile->rate_milli)
		return 0;
	return burst > least ? burst : least;
}

/* Adds tokens, up to the size of the bucket. */
static void add_tokens(struct profile *profile, uint64_t nano)
{
	uint64_t most = burst_nano(profile);

	profile->tokens_nano += nano;
	if (profile->tokens_nano > most)
		profile->tokens_nano = most;
}

/* Adds the tokens for the time since the last refill. */
static void refill(struct profile *profile, uint64_t now_us)
{
	uint64_t passed_us = now_us - profile->refill_us;

	if (passed_us > 60 * USEC_PER_SEC)
		passed_us = 60 * USEC_PER_SEC;
	add_tokens(profile, profile->rate_milli * passed_us);
	profile->refill_us = now_us;
}

/* Sets the rate. A bucket whose rate was 0 starts full, any other keeps what fits the new size. */
void profile_set_rate(struct profile *profile, uint64_t rate_milli, uint64_t now_us)
{
	bool fresh = !profile->rate_milli;

	refill(profile, now_us);
	profile->rate_milli = rate_milli;
	add_tokens(profile, 0);
	if (fresh)
		profile->tokens_nano = burst_nano(profile);
}

/* Removes the token of one call. Returns false if there is none: the call is out of profile. */
bool profile_take(struct profile *profile, uint64_t now_us)
{
	refill(profile, now_us);
	if (profile->tokens_nano < NANO_PER_CALL)
		return false;
	profile->tokens_nano -= NANO_PER_CALL;
	return true;
}

/* Puts back the token of a call that never ran. */
void profile_refund(struct profile *profile)
{
	add_tokens(profile, NANO_PER_CALL);
}
