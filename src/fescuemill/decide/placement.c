/*
 * Placement decision.
 */
#include "fescuemill/decide/placement.h"

#include <string.h>

void placement_regions(const struct region_set *route, const struct region_set *customer,
		       struct region_set *out)
{
	memset(out, 0, sizeof(*out));
	if (route)
		region_set_intersect(out, route);
	if (customer)
		region_set_intersect(out, customer);
}

enum call_reason placement_decide(const struct region_set *regions,
				  const struct placement_gate *gate)
{
	if (regions && !region_set_allows(regions, gate->region))
		return REASON_REGION;
	if (gate->is_evacuated)
		return REASON_EVACUATED;
	if (gate->is_draining)
		return REASON_DRAINING;
	if (gate->is_cold && gate->cold_room == 0)
		return REASON_COLD;
	return REASON_NONE;
}
