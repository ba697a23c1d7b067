/*
 * Share: a gate's part of a class's fleet-wide calls_per_s.
 *
 * Every gate works its part out alone from the demands that it last heard of; the parts add up to
 * calls_per_s but for what has changed since those reports.
 */
#include "fescuemill/decide/share.h"

#include "fescuemill/base/clock.h"

#define MILLI 1000ULL

/* Gives an equal part, in thousandths of a call a second; for 0 gates all of it. */
uint64_t share_equal_milli(uint32_t calls_per_s, uint32_t gates)
{
	return calls_per_s * MILLI / (gates ? gates : 1);
}

/*
 * Gives the part by demand, in thousandths of a call a second: while the demands fit, a gate's own
 * and an equal part of what is left; past that a part in proportion. Peers that have not reported
 * are taken to have the mean demand of those that have.
 */
uint64_t share_by_demand_milli(uint32_t calls_per_s, const struct share_demand *demand)
{
	uint64_t all_milli = calls_per_s * MILLI;
	uint64_t total_milli;

	if (demand->reported < 2 || demand->gates < 2)
		return share_equal_milli(calls_per_s, demand->gates);
	total_milli = demand->total_milli;
	if (demand->gates > demand->reported)
		total_milli = total_milli * demand->gates / demand->reported;
	if (total_milli <= all_milli)
		return demand->own_milli + (all_milli - total_milli) / demand->gates;
	return (uint64_t)((double)all_milli * (double)demand->own_milli / (double)total_milli);
}

/*
 * Moves a smoothed demand, in thousandths of a call a second, by the calls offered in a stretch of
 * time.
 */
uint64_t share_smooth_milli(uint64_t mean_milli, uint64_t offered, uint64_t passed_us)
{
	uint64_t rate_milli;

	if (!passed_us)
		return mean_milli;
	rate_milli = offered * MILLI * USEC_PER_SEC / passed_us;
	if (passed_us >= SHARE_SMOOTH_US)
		return rate_milli;
	return (mean_milli * (SHARE_SMOOTH_US - passed_us) + rate_milli * passed_us) /
	       SHARE_SMOOTH_US;
}
