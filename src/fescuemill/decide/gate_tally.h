/*
 * Tally of a gate: what became of the attempts of each class, in profile and out of it.
 */
#ifndef FESCUEMILL_DECIDE_GATE_TALLY_H
#define FESCUEMILL_DECIDE_GATE_TALLY_H

#include "fescuemill/decide/gate_defs.h"

/* Counts an attempt that was offered to its class and did not run. */
void gate_tally_refused(const struct gate *gate, const struct gate_ticket *ticket,
			enum call_reason reason);
/* Counts an attempt that ran and ended by itself. */
void gate_tally_finished(const struct gate *gate, const struct gate_ticket *ticket,
			 enum gate_result result, uint64_t now_us);
/* Counts a waiting or running attempt that its entry gave up. */
void gate_tally_cancelled(const struct gate *gate, const struct gate_ticket *ticket);

#endif
