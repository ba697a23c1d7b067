/*
 * Gate rate: the rates that hold back the starts of calls: the one that the backend server states,
 * and the one that it bears while it is cold.
 */
#ifndef FESCUEMILL_DECIDE_GATE_RATE_H
#define FESCUEMILL_DECIDE_GATE_RATE_H

#include "fescuemill/decide/gate_defs.h"

/* Returns true if the rates let a call start now. */
bool gate_rate_allows(struct gate *gate, uint64_t now_us);
/* Counts a call that starts. */
void gate_rate_take(struct gate *gate, uint64_t now_us);
/* Returns how long the rates hold back a call with `ahead` others before it, in microseconds. */
uint64_t gate_rate_wait_us(const struct gate *gate, uint32_t ahead, uint64_t now_us);
/* Returns the lowest rate in force, in calls per 1000 s; 0: none. */
uint32_t gate_rate_milli(const struct gate *gate, uint64_t now_us);
/* Returns the reason to give to a ticket that is refused for the usual reason. */
enum call_reason gate_rate_refusal(const struct gate *gate, const struct gate_ticket *ticket,
				   enum call_reason usual, uint64_t now_us);
/* Returns true at the first call after the server became cold, and only then. */
bool gate_rate_has_turned_cold(struct gate *gate, uint64_t now_us);

#endif
