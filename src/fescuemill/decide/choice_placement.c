/*
 * Placement of calls at the gates that an entry tracks.
 */
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/choice_table.h"
#include "fescuemill/decide/placement.h"

/* Returns REASON_NONE if a call that may be served in these regions may go to a gate, or why it may
 * not. NULL: any region. Whether the gate is usable is not considered. */
enum call_reason choice_place(const struct choice_gate *gate, const struct region_set *regions)
{
	struct placement_gate place = {.region = gate->member.region,
				       .is_evacuated = gate->member.is_evacuated};

	if (!regions && !place.is_evacuated)
		return REASON_NONE;
	return placement_decide(regions, &place);
}

/* Returns why no gate may take a call that may be served in these regions, or REASON_NONE if one
 * may. Returns REASON_NO_BACKEND if any region is allowed and no gate is in service. The gates that
 * the call was refused by already count. */
enum call_reason choice_placement_reason(const struct choice *choice,
					 const struct region_set *regions, uint64_t now_us)
{
	enum call_reason reason = regions ? REASON_REGION : REASON_NO_BACKEND;

	for (uint32_t i = 0; i < choice->count; i++) {
		const struct choice_gate *gate = &choice->gates[i];
		enum call_reason place = choice_place(gate, regions);

		if (place == REASON_EVACUATED)
			reason = REASON_EVACUATED;
		if (gate->member.usable && now_us >= gate->excluded_until_us &&
		    place == REASON_NONE)
			return REASON_NONE;
	}
	return reason;
}
