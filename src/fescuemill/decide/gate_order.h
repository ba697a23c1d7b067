/*
 * Scheduling order of a gate: which waiting attempt gets the next free slot.
 */
#ifndef FESCUEMILL_DECIDE_GATE_ORDER_H
#define FESCUEMILL_DECIDE_GATE_ORDER_H

#include "fescuemill/decide/gate_defs.h"

struct gate_ticket *gate_order_next(struct gate *gate);
bool gate_order_is_short(const struct gate *gate, const struct gate_class *class);
struct gate_ticket *gate_order_next_short(const struct gate *gate);
void gate_order_started(struct gate *gate, const struct gate_ticket *ticket);
uint64_t gate_order_wait_us(const struct gate *gate, const struct gate_ticket *ticket,
			    uint64_t now_us);

#endif
