/*
 * Log lines of the gate about changes of what it holds true of its backend server.
 */
#ifndef FESCUEMILLD_GATE_GATE_LOG_H
#define FESCUEMILLD_GATE_GATE_LOG_H

#include "fescuemilld/gate/gate_shell_defs.h"

/* Logs what has changed since the last call, and updates the counters about it. */
void gate_log_changes(struct gate_shell *shell);

#endif
