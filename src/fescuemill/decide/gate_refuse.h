/*
 * Gate refusals: refuses waiting tickets that no longer have a chance, or a better one elsewhere.
 */
#ifndef FESCUEMILL_DECIDE_GATE_REFUSE_H
#define FESCUEMILL_DECIDE_GATE_REFUSE_H

#include "fescuemill/decide/gate_defs.h"

void gate_actions_add(struct gate_actions *actions, struct gate_ticket *ticket,
		      struct gate_verdict verdict);
bool gate_can_make_deadline(const struct gate *gate, const struct gate_ticket *ticket,
			    uint64_t wait_us, uint64_t now_us);
bool gate_exceeds_wait_limit(const struct gate_ticket *ticket, uint64_t wait_us);
void gate_remove_waiting(struct gate *gate, struct gate_ticket *ticket);
void gate_refuse_waiting(struct gate *gate, struct gate_ticket *ticket, enum call_reason reason,
			 struct gate_actions *actions);
void gate_refuse_expired(struct gate *gate, uint64_t now_us, struct gate_actions *actions);
void gate_refuse_class(struct gate *gate, struct gate_class *class, enum call_reason reason,
		       struct gate_actions *actions);
void gate_refuse_all(struct gate *gate, enum call_reason reason, struct gate_actions *actions);
void gate_refuse_wait_limited(struct gate *gate, struct gate_actions *actions);
void gate_refuse_if_turned_cold(struct gate *gate, uint64_t now_us, struct gate_actions *actions);

#endif
