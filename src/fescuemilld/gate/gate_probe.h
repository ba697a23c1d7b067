/*
 * Probes: requests to the health path of the backend server, which reports load and slowdown there.
 */
#ifndef FESCUEMILLD_GATE_GATE_PROBE_H
#define FESCUEMILLD_GATE_GATE_PROBE_H

#include "fescuemilld/gate/gate_shell_defs.h"

/* Sends a probe if admission needs one. To be called after every operation on admission. */
void gate_probe_check(struct gate_shell *shell);
/* Passes to admission the slowdown that an answer of the backend server reports, if any. */
void gate_probe_record_load(struct gate_shell *shell, const struct backend_answer *answer);
/* Probes the configured address for a backend server that has not announced itself. */
void gate_probe_discover(struct gate_shell *shell);
void gate_probe_cancel(struct gate_shell *shell);

#endif
