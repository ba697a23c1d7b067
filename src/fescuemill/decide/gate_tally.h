/*
 * Tally of a gate: counts the outcomes of each class's attempts, by profile.
 */
#ifndef FESCUEMILL_DECIDE_GATE_TALLY_H
#define FESCUEMILL_DECIDE_GATE_TALLY_H

#include "fescuemill/decide/gate_defs.h"

/* Counts an attempt that a class was offered and that was refused without running. */
void gate_tally_refused(const struct gate *gate, const struct gate_ticket *ticket,
			enum call_reason reason);
/* Counts an attempt that was started and was not cancelled. */
void gate_tally_finished(const struct gate *gate, const struct gate_ticket *ticket,
			 enum gate_result result, uint64_t now_us);
/* Counts a waiting or running attempt that its entry cancelled. */
void gate_tally_cancelled(const struct gate *gate, const struct gate_ticket *ticket);

#endif
