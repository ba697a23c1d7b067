/*
 * Floor: the slot time that a class with waiting work is owed, whatever else waits.
 *
 * The account grows by the class's share while it has waiting work and falls by the slots that it
 * runs on. Service ahead of the floor counts for FLOOR_SLACK_US only, so that in every window a
 * class with waiting work gets its floor but for twice the slack.
 */
#include "fescuemill/decide/floor.h"

#define PASSED_US_MAX (10 * FLOOR_WINDOW_US) /* more would not change an account */

/*
 * Gives the slots that a stated rate takes at a service time, in millionths; at least
 * FLOOR_LEAST_PERCENT of the limit.
 */
uint64_t floor_need_micro(uint64_t rate_milli, uint64_t service_us, uint32_t limit)
{
	uint64_t need = rate_milli * service_us / 1000;
	uint64_t least = limit * SLOT_MICRO * FLOOR_LEAST_PERCENT / 100;

	return need > least ? need : least;
}

/*
 * Gives the slots owed to a class of a given need, in millionths. All floors together take at most
 * FLOOR_TOTAL_PERCENT of the limit; past that each is scaled by the same factor.
 */
uint64_t floor_share_micro(uint64_t need_micro, uint64_t total_micro, uint32_t limit)
{
	uint64_t most = limit * SLOT_MICRO * FLOOR_TOTAL_PERCENT / 100;

	if (total_micro <= most)
		return need_micro;
	return (uint64_t)((double)need_micro * (double)most / (double)total_micro);
}

/* Gives how many slots may hold work that a floor put before more urgent work in profile. */
uint32_t floor_slots(uint32_t limit)
{
	return (limit * FLOOR_TOTAL_PERCENT + 99) / 100;
}

/* Accounts for a stretch of time in which the class's waiting and running work did not change. */
void floor_advance(struct floor_account *account, bool waits, uint32_t running, uint64_t passed_us)
{
	int64_t passed = (int64_t)(passed_us < PASSED_US_MAX ? passed_us : PASSED_US_MAX);
	int64_t most = (int64_t)(account->share_micro * FLOOR_WINDOW_US);
	int64_t least = -(int64_t)(account->share_micro * FLOOR_SLACK_US);

	if (waits)
		account->owed += (int64_t)account->share_micro * passed;
	else if (account->owed > 0)
		account->owed = 0;
	account->owed -= (int64_t)(running * SLOT_MICRO) * passed;
	if (account->owed > most)
		account->owed = most;
	if (account->owed < least)
		account->owed = least;
}

/* Gives how far the class lags behind its floor, in microseconds of its own share. */
uint64_t floor_lag_us(const struct floor_account *account)
{
	if (account->owed <= 0 || !account->share_micro)
		return 0;
	return (uint64_t)account->owed / account->share_micro;
}

/*
 * Tells whether the class is to be served for its floor now. A class that already runs on more
 * slots than its share is catching up by itself.
 */
bool floor_is_owed(const struct floor_account *account, uint32_t running)
{
	return floor_lag_us(account) >= FLOOR_SLACK_US &&
	       running * SLOT_MICRO <= account->share_micro;
}
