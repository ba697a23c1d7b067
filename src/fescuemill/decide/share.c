/*
 * A gate's share of a class's fleet-wide calls_per_s (the fleet-wide rate).
 *
 * Every gate computes its share on its own from the latest demands that it received. The shares add
 * up to the fleet-wide rate, except for changes of demand since those reports.
 */
#include "fescuemill/decide/share.h"

#include "fescuemill/base/clock.h"

#include <stdbool.h>

#define MILLI	     1000ULL
#define HEADROOM_MAX 1.25 /* limit of need / demand; lets a demand grow until the next report */

/* Returns an equal share in thousandths of a call a second. 0 gates count as 1. */
uint64_t share_equal_milli(uint32_t calls_per_s, uint32_t gates)
{
	return calls_per_s * MILLI / (gates ? gates : 1);
}

/* Returns the factor from a gate's demand to its need, which includes headroom to grow. Applies
 * while all demands fit into the fleet-wide rate. The sum of all needs never exceeds that rate. */
static double need_scale(uint64_t fleet_milli, uint64_t total_milli)
{
	double scale = total_milli ? (double)fleet_milli / (double)total_milli : HEADROOM_MAX;

	scale = 1 + (scale - 1) / 2;
	return scale > HEADROOM_MAX ? HEADROOM_MAX : scale;
}

static uint64_t need_milli(uint64_t demand_milli, double scale)
{
	return (uint64_t)((double)demand_milli * scale);
}

/* Size of a subset of the gates, and the sum of their needs. */
struct gate_subset {
	uint32_t gates;
	uint64_t milli;
};

/* Counts and sums the gates that need more than a bound (is_above), or those that need at most that
 * much. Gates that have not reported are assumed to have the mean demand. */
static struct gate_subset gates_by_need(const struct share_demand *demand, uint64_t total_milli,
					double scale, uint64_t bound_milli, bool is_above)
{
	uint64_t mean_need = need_milli(total_milli / demand->gates, scale);
	uint32_t unreported = demand->gates - demand->reported;
	struct gate_subset subset = {0, 0};

	for (uint32_t i = 0; i < demand->reported; i++) {
		uint64_t need = need_milli(demand->known_milli[i], scale);

		if ((need > bound_milli) != is_above)
			continue;
		subset.gates++;
		subset.milli += need;
	}
	if ((mean_need > bound_milli) == is_above) {
		subset.gates += unreported;
		subset.milli += mean_need * unreported;
	}
	return subset;
}

/* Returns the smallest share of any gate. If each gate gets its need but no
 * less than this minimum, the shares add up to the fleet-wide rate. */
static uint64_t min_share_milli(uint64_t fleet_milli, uint64_t total_milli, double scale,
				const struct share_demand *demand)
{
	uint64_t min_share = fleet_milli / demand->gates;

	for (uint32_t round = 0; round <= demand->reported; round++) {
		struct gate_subset above =
			gates_by_need(demand, total_milli, scale, min_share, true);
		uint64_t next;

		if (above.gates >= demand->gates || above.milli >= fleet_milli)
			return 0;
		next = (fleet_milli - above.milli) / (demand->gates - above.gates);
		if (next >= min_share)
			return min_share;
		min_share = next;
	}
	return min_share;
}

/* Returns the largest share of any gate if the demands exceed the fleet-wide rate. If each
 * gate gets its demand but no more than this maximum, the shares add up to that rate. */
static uint64_t max_share_milli(uint64_t fleet_milli, uint64_t total_milli,
				const struct share_demand *demand)
{
	uint64_t max_share = fleet_milli / demand->gates;

	for (uint32_t round = 0; round <= demand->reported; round++) {
		struct gate_subset below = gates_by_need(demand, total_milli, 1, max_share, false);
		uint64_t next;

		if (below.gates >= demand->gates || below.milli >= fleet_milli)
			return max_share;
		next = (fleet_milli - below.milli) / (demand->gates - below.gates);
		if (next <= max_share)
			return max_share;
		max_share = next;
	}
	return max_share;
}

/* Returns a gate's share if the demands exceed the fleet-wide rate. A rise of its own demand that
 * its peers do not know yet counts only up to an equal share, which no peer takes for itself. */
static uint64_t overload_share_milli(uint64_t fleet_milli, uint64_t total_milli,
				     const struct share_demand *demand)
{
	uint64_t own_milli = demand->own_milli + demand->own_rise_milli;
	uint64_t equal_milli = fleet_milli / demand->gates;
	uint64_t max_share = max_share_milli(fleet_milli, total_milli, demand);

	if (own_milli > equal_milli && demand->own_milli < equal_milli)
		own_milli = equal_milli;
	else if (own_milli > equal_milli)
		own_milli = demand->own_milli;
	return own_milli < max_share ? own_milli : max_share;
}

/*
 * Returns a gate's share by demand, in thousandths of a call a second.
 *
 * While the demands of all gates fit into the fleet-wide rate, a gate gets what it needs, but at
 * least a minimum that is the same for all gates. That minimum is an equal share if no gate needs
 * more, and less if some do. If the demands exceed the fleet-wide rate, a gate gets its demand, but
 * at most a maximum that is the same for all gates. Peers that have not reported are assumed to
 * have the mean demand of those that have. Without any report from a peer, the share is an equal
 * one.
 */
uint64_t share_by_demand_milli(uint32_t calls_per_s, const struct share_demand *demand)
{
	uint64_t fleet_milli = calls_per_s * MILLI;
	uint64_t total_milli = demand->total_milli;
	uint64_t min_share;
	uint64_t need;
	double scale;

	if (demand->reported < 2 || demand->gates < demand->reported)
		return share_equal_milli(calls_per_s, demand->gates);
	total_milli = total_milli * demand->gates / demand->reported;
	if (total_milli > fleet_milli)
		return overload_share_milli(fleet_milli, total_milli, demand);
	scale = need_scale(fleet_milli, total_milli);
	min_share = min_share_milli(fleet_milli, total_milli, scale, demand);
	need = need_milli(demand->own_milli, scale);
	return need > min_share ? need : min_share;
}

/* Updates the moving average of a demand, in thousandths of a call a second, with the number of
 * calls offered in the last passed_us. Returns the new average. */
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
