/*
 * Floor: the slot time guaranteed to a class with waiting work, whatever other work waits.
 *
 * A class's deficit grows at the rate of its share while the class has waiting work, and falls by
 * the slots that it runs on. Service ahead of the floor is credited for FLOOR_SLACK_US at most. So
 * in every window a class with waiting work gets its floor, short of at most twice the slack.
 */
#include "fescuemill/decide/floor.h"

#define PASSED_US_MAX (10 * FLOOR_WINDOW_US) /* a longer time would not change the result */

/*
 * Returns the slots that a rate of calls needs at a service time, in millionths; at least
 * FLOOR_MIN_PERCENT of the limit.
 */
uint64_t floor_need_micro(uint64_t rate_milli, uint64_t service_us, uint32_t limit)
{
	uint64_t need = rate_milli * service_us / 1000;
	uint64_t least = limit * SLOT_MICRO * FLOOR_MIN_PERCENT / 100;

	return need > least ? need : least;
}

/*
 * Returns the slots guaranteed to a class of a given need, in millionths. All floors together take
 * at most FLOOR_TOTAL_PERCENT of the limit. If the total need exceeds that, each need is scaled
 * down by the same factor.
 */
uint64_t floor_share_micro(uint64_t need_micro, uint64_t total_micro, uint32_t limit)
{
	uint64_t most = limit * SLOT_MICRO * FLOOR_TOTAL_PERCENT / 100;

	if (total_micro <= most)
		return need_micro;
	return (uint64_t)((double)need_micro * (double)most / (double)total_micro);
}

/*
 * Returns how many slots may hold attempts that were started for their floor ahead of more urgent
 * in-profile work.
 */
uint32_t floor_bypass_slots_max(uint32_t limit)
{
	return (limit * FLOOR_TOTAL_PERCENT + 99) / 100;
}

/*
 * Updates the deficit for a period of passed_us. During that time the number of running attempts
 * must not have changed, nor whether the class has waiting work.
 */
void floor_advance(struct floor_account *account, bool waits, uint32_t running, uint64_t passed_us)
{
	int64_t passed = (int64_t)(passed_us < PASSED_US_MAX ? passed_us : PASSED_US_MAX);
	int64_t most = (int64_t)(account->share_micro * FLOOR_WINDOW_US);
	int64_t least = -(int64_t)(account->share_micro * FLOOR_SLACK_US);

	if (waits)
		account->deficit += (int64_t)account->share_micro * passed;
	else if (account->deficit > 0)
		account->deficit = 0;
	account->deficit -= (int64_t)(running * SLOT_MICRO) * passed;
	if (account->deficit > most)
		account->deficit = most;
	if (account->deficit < least)
		account->deficit = least;
}

/* Returns how far the class lags behind its floor, in microseconds of service at its share. */
uint64_t floor_lag_us(const struct floor_account *account)
{
	if (account->deficit <= 0 || !account->share_micro)
		return 0;
	return (uint64_t)account->deficit / account->share_micro;
}

/*
 * Returns true if the class must be served now for its floor. A class that already runs on more
 * slots than its share is catching up anyway.
 */
bool floor_needs_service(const struct floor_account *account, uint32_t running)
{
	return floor_lag_us(account) >= FLOOR_SLACK_US &&
	       running * SLOT_MICRO <= account->share_micro;
}
