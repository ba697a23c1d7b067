/*
 * Gate slots: which slots a class may use.
 */
#ifndef FESCUEMILL_DECIDE_GATE_SLOTS_H
#define FESCUEMILL_DECIDE_GATE_SLOTS_H

#include "fescuemill/decide/gate_defs.h"

bool gate_slots_has_free(const struct gate *gate, uint32_t class_index);
bool gate_slots_has_room(const struct gate *gate, uint32_t class_index);
void gate_slots_try_all(struct gate *gate, uint64_t now_us);

#endif
