/*
 * Share: a gate's part of a class's fleet-wide calls_per_s.
 *
 * Every gate works its part out alone from the demands that it last heard of; the parts add up to
 * calls_per_s but for what has changed since those reports.
 */
#include "fescuemill/decide/share.h"

#include "fescuemill/base/clock.h"

#include <stdbool.h>

#define MILLI	 1000ULL
#define ROOM_MAX 1.25 /* of a demand, for it to grow until the next report */

/* Gives an equal part, in thousandths of a call a second; for 0 gates all of it. */
uint64_t share_equal_milli(uint32_t calls_per_s, uint32_t gates)
{
	return calls_per_s * MILLI / (gates ? gates : 1);
}

/* Gives what a gate needs, in parts of its demand, while all demands fit: some room to grow. The
 * needs of all gates together are never more than the amount. */
static double need_scale(uint64_t all_milli, uint64_t total_milli)
{
	double scale = total_milli ? (double)all_milli / (double)total_milli : ROOM_MAX;

	scale = 1 + (scale - 1) / 2;
	return scale > ROOM_MAX ? ROOM_MAX : scale;
}

/* Scales a demand to what its gate needs. */
static uint64_t need_milli(uint64_t demand_milli, double scale)
{
	return (uint64_t)((double)demand_milli * scale);
}

/* Some of the gates, and the sum of what they need. */
struct part_of_gates {
	uint32_t gates;
	uint64_t milli;
};

/* Gives the gates that need more than a bound, or those that do not. Gates that have not reported
 * have the mean demand. */
static struct part_of_gates side_of(const struct share_demand *demand, uint64_t total_milli,
				    double scale, uint64_t bound_milli, bool is_above)
{
	uint64_t mean_need = need_milli(total_milli / demand->gates, scale);
	uint32_t silent = demand->gates - demand->reported;
	struct part_of_gates side = {0, 0};

	for (uint32_t i = 0; i < demand->reported; i++) {
		uint64_t need = need_milli(demand->known_milli[i], scale);

		if ((need > bound_milli) != is_above)
			continue;
		side.gates++;
		side.milli += need;
	}
	if ((mean_need > bound_milli) == is_above) {
		side.gates += silent;
		side.milli += mean_need * silent;
	}
	return side;
}

/* Gives the level at which the amount is used up when every gate gets what it needs, but at least
 * the level. */
static uint64_t level_milli(uint64_t all_milli, uint64_t total_milli, double scale,
			    const struct share_demand *demand)
{
	uint64_t level = all_milli / demand->gates;

	for (uint32_t round = 0; round <= demand->reported; round++) {
		struct part_of_gates above = side_of(demand, total_milli, scale, level, true);
		uint64_t next;

		if (above.gates >= demand->gates || above.milli >= all_milli)
			return 0;
		next = (all_milli - above.milli) / (demand->gates - above.gates);
		if (next >= level)
			return level;
		level = next;
	}
	return level;
}

/* Gives the ceiling at which demands over the amount use it up when every gate gets its demand, but
 * at most the ceiling. */
static uint64_t ceiling_milli(uint64_t all_milli, uint64_t total_milli,
			      const struct share_demand *demand)
{
	uint64_t ceiling = all_milli / demand->gates;

	for (uint32_t round = 0; round <= demand->reported; round++) {
		struct part_of_gates below = side_of(demand, total_milli, 1, ceiling, false);
		uint64_t next;

		if (below.gates >= demand->gates || below.milli >= all_milli)
			return ceiling;
		next = (all_milli - below.milli) / (demand->gates - below.gates);
		if (next <= ceiling)
			return ceiling;
		ceiling = next;
	}
	return ceiling;
}

/* Gives the part of a gate whose service has more demand than the amount. A rise that the others
 * have not heard of counts up to an equal part, which none of them takes. */
static uint64_t part_of_too_little(uint64_t all_milli, uint64_t total_milli,
				   const struct share_demand *demand)
{
	uint64_t own_milli = demand->own_milli + demand->rise_milli;
	uint64_t equal_milli = all_milli / demand->gates;
	uint64_t ceiling = ceiling_milli(all_milli, total_milli, demand);

	if (own_milli > equal_milli && demand->own_milli < equal_milli)
		own_milli = equal_milli;
	else if (own_milli > equal_milli)
		own_milli = demand->own_milli;
	return own_milli < ceiling ? own_milli : ceiling;
}

/*
 * Gives the part by demand, in thousandths of a call a second. While all demands fit: what the gate
 * needs, but at least the level that the needs of the others leave to every gate; while no gate
 * needs more than an equal part, that is the equal part. Past that: what the gate is offered, but
 * at most a ceiling that is the same for all. Peers that have not reported are taken to have the
 * mean demand of those that have.
 */
uint64_t share_by_demand_milli(uint32_t calls_per_s, const struct share_demand *demand)
{
	uint64_t all_milli = calls_per_s * MILLI;
	uint64_t total_milli = demand->total_milli;
	uint64_t level;
	uint64_t need;
	double scale;

	if (demand->reported < 2 || demand->gates < demand->reported)
		return share_equal_milli(calls_per_s, demand->gates);
	total_milli = total_milli * demand->gates / demand->reported;
	if (total_milli > all_milli)
		return part_of_too_little(all_milli, total_milli, demand);
	scale = need_scale(all_milli, total_milli);
	level = level_milli(all_milli, total_milli, scale, demand);
	need = need_milli(demand->own_milli, scale);
	return need > level ? need : level;
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
