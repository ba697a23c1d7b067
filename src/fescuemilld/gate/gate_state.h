/*
 * State of the gate's backend server as admission sees it: as announced, or draining because the
 * node drains or because its failure domain is evacuated.
 */
#ifndef FESCUEMILLD_GATE_GATE_STATE_H
#define FESCUEMILLD_GATE_GATE_STATE_H

#include "fescuemilld/gate/gate_shell_defs.h"

/* Returns the reason for which admission refuses an attempt: an evacuation is told as such. */
enum call_reason gate_state_refusal(const struct gate_shell *shell, enum call_reason reason);

#endif
