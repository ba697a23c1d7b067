/*
 * Use of the room at gates whose backend server is cold. No I/O.
 */
#ifndef FESCUEMILL_DECIDE_CHOICE_COLD_H
#define FESCUEMILL_DECIDE_CHOICE_COLD_H

#include "fescuemill/decide/choice_table.h"

/* Records the room that a gate reports. */
void choice_cold_record(struct choice_gate *gate, const struct gate_load *load);
/* Returns true if the cold server of a gate is not expected to take another call now. */
bool choice_cold_is_used_up(const struct choice_gate *gate, uint64_t now_us);
/* Returns the expected wait for room at a gate whose backend server is cold, in microseconds. */
float choice_cold_wait_us(const struct choice_gate *gate, uint64_t now_us);

#endif
