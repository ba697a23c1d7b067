/*
 * Placement: may a call go to a gate now? The entry evaluates it to choose a gate. The gate
 * evaluates it again when the call arrives and has the final decision, because what the entry knows
 * may be old. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_PLACEMENT_H
#define FESCUEMILL_DECIDE_PLACEMENT_H

#include "fescuemill/decide/call_defs.h"
#include "fescuemill/decide/region_set.h"

/* What the decision needs to know of a gate. */
struct placement_gate {
	uint32_t region;    /* region_id_of() its region */
	bool is_evacuated;  /* its failure domain is being evacuated */
	bool is_draining;   /* its backend server or its node is leaving */
	bool is_cold;	    /* its backend server is cold */
	uint32_t cold_room; /* calls that the cold server will still take; unused unless is_cold */
};

/* Sets the regions in which a call may be served: those that its route and its customer both allow.
 * NULL stands for a missing route or customer, which allow every region. */
void placement_regions(const struct region_set *route, const struct region_set *customer,
		       struct region_set *out);
/* Returns REASON_NONE if a call may go to the gate, or why it may not. regions is NULL if every
 * region is allowed. If several reasons apply, the one that lasts longest is returned. */
enum call_reason placement_decide(const struct region_set *regions,
				  const struct placement_gate *gate);

#endif
