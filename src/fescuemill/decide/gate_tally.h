/*
 * Tally of a gate: counts the outcomes of each class's attempts, by profile.
 */
#ifndef FESCUEMILL_DECIDE_GATE_TALLY_H
#define FESCUEMILL_DECIDE_GATE_TALLY_H

#include "fescuemill/decide/gate_defs.h"

void gate_tally_refused(const struct gate *gate, const struct gate_ticket *ticket,
			enum call_reason reason);
void gate_tally_finished(const struct gate *gate, const struct gate_ticket *ticket,
			 enum gate_result result, uint64_t now_us);
void gate_tally_cancelled(const struct gate *gate, const struct gate_ticket *ticket);

#endif
