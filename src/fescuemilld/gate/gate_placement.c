/*
 * Placement of arriving calls.
 */
#include "fescuemilld/gate/gate_placement.h"

#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <inttypes.h>

/* Counts and logs a refusal. */
static void record_refusal(const struct placement_gate *own, const struct message *msg,
			   enum call_reason reason)
{
	const struct region_set *regions = &msg->call.regions;

	counter_add(COUNTER_GATE_MISPLACED, 1);
	log_write(LOG_INFO, LOG_PART_GATE, "A call may not run here and is refused.",
		  "entry=%016" PRIx64 " sequence=%" PRIu64
		  " reason=%s region=%08x allowed=%d evacuated=%d",
		  msg->id.entry.node_id, msg->id.sequence, call_reason_name(reason), own->region,
		  regions->is_limited ? regions->count : -1, own->is_evacuated);
}

enum call_reason gate_placement_refusal(const struct placement_gate *own, const struct message *msg)
{
	enum call_reason reason = placement_decide(&msg->call.regions, own);

	if (reason != REASON_NONE)
		record_refusal(own, msg, reason);
	return reason;
}
