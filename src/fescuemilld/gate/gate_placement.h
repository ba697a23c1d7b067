/*
 * The gate's part of the placement decision: whether a call that has arrived may run here. It is
 * final, since the entry that sent the call may not know the latest state.
 */
#ifndef FESCUEMILLD_GATE_GATE_PLACEMENT_H
#define FESCUEMILLD_GATE_GATE_PLACEMENT_H

#include "fescuemill/decide/placement.h"
#include "fescuemill/wire/message_defs.h"

/* Returns REASON_NONE if a new call may run at this node's gate, or why it is refused. */
enum call_reason gate_placement_refusal(const struct placement_gate *own,
					const struct message *msg);

#endif
