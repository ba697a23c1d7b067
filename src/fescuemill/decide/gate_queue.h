/*
 * Queues of a gate: bounded lists of waiting attempts.
 */
#ifndef FESCUEMILL_DECIDE_GATE_QUEUE_H
#define FESCUEMILL_DECIDE_GATE_QUEUE_H

#include "fescuemill/decide/gate_defs.h"

void gate_queue_add(struct gate *gate, struct gate_ticket *ticket);
void gate_queue_remove(struct gate *gate, struct gate_ticket *ticket);
uint32_t gate_queue_length(const struct gate_class *class);
struct gate_ticket *gate_queue_pick_by_due(const struct gate_class *class,
					   struct gate_ticket *first, struct gate_ticket *last,
					   uint64_t now_us);
struct gate_ticket *gate_queue_next_in_profile(const struct gate_class *class, uint64_t now_us);
struct gate_ticket *gate_queue_next(const struct gate_class *class, uint64_t now_us);
bool gate_queue_is_full(const struct gate *gate, const struct gate_class *class);
struct gate_ticket *gate_queue_find_victim(struct gate *gate, const struct gate_ticket *ticket);

#endif
