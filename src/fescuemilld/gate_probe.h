/*
 * Gate probe: asks the backend server for its load and pace over its health path.
 */
#ifndef FESCUEMILLD_GATE_PROBE_H
#define FESCUEMILLD_GATE_PROBE_H

#include "fescuemilld/gate_shell_defs.h"

/* Sends a probe if admission wants one. To be called after every step of admission. */
void gate_probe_check(struct gate_shell *shell);
/* Takes the load that any answer of the backend server told. */
void gate_probe_take_load(struct gate_shell *shell, const struct backend_answer *answer);
/* Looks for a backend server that has not announced itself. */
void gate_probe_look(struct gate_shell *shell);
void gate_probe_cancel(struct gate_shell *shell);

#endif
