/*
 * Gate accounting: slot time and floors of the classes, service times and the cost of failures.
 */
#ifndef FESCUEMILL_DECIDE_GATE_ACCOUNT_H
#define FESCUEMILL_DECIDE_GATE_ACCOUNT_H

#include "fescuemill/decide/gate_defs.h"

void gate_account_advance(struct gate *gate, uint64_t now_us);
void gate_account_update_floors(struct gate *gate);
void gate_account_record_result(struct gate *gate, const struct gate_ticket *ticket,
				enum gate_result result, uint64_t now_us);

#endif
