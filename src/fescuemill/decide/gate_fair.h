/*
 * Fair room at a gate: which customer's waiting call is served next within a rank, and whose call
 * is refused when there is not enough room for all.
 */
#ifndef FESCUEMILL_DECIDE_GATE_FAIR_H
#define FESCUEMILL_DECIDE_GATE_FAIR_H

#include "fescuemill/decide/gate_defs.h"

/* Returns true if a waiting or running call has a customer. Nothing here takes effect otherwise. */
bool gate_fair_is_active(const struct gate *gate);
/* Returns the in-profile ticket that is served next among the classes of a rank, or of one class if
 * `only` is not NULL; NULL if there is none. */
struct gate_ticket *gate_fair_next_in_profile(const struct gate *gate, uint32_t rank,
					      const struct gate_class *only, uint64_t now_us);
/* Returns the out-of-profile ticket that a class serves next, or NULL. */
struct gate_ticket *gate_fair_next_surplus(const struct gate *gate, const struct gate_class *class,
					   uint64_t now_us);
/* Charges a ticket that starts, and settles the charge of one that has ended. */
void gate_fair_started(struct gate *gate, struct gate_ticket *ticket, uint64_t now_us);
void gate_fair_ended(struct gate *gate, const struct gate_ticket *ticket, uint64_t now_us);
/* Finds the waiting ticket to evict for a new one when the queue is full. Returns false if the rule
 * without customers applies; else *victim is NULL if the new ticket must be refused. */
bool gate_fair_find_victim(const struct gate *gate, const struct gate_ticket *ticket,
			   uint64_t now_us, struct gate_ticket **victim);
/* Counts the in-profile work that is served before a ticket that is queued now. */
void gate_fair_count_before(const struct gate *gate, const struct gate_ticket *ticket,
			    uint64_t now_us, uint32_t *count, uint64_t *slot_us);
/* Returns true if a new ticket that must wait is to be refused: it would be late, its customer is
 * beyond its part, and calls of others wait. */
bool gate_fair_is_late_beyond_part(const struct gate *gate, const struct gate_ticket *ticket,
				   uint64_t now_us);
/* Refuses waiting calls of the customer that is furthest beyond its part, if a new ticket of
 * another one that is within its part would wait too long behind them, and does not then. */
void gate_fair_make_room(struct gate *gate, const struct gate_ticket *ticket, uint64_t now_us,
			 struct gate_actions *actions);

#endif
