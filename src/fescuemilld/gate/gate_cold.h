/*
 * Passes to admission what the backend server says of its being cold.
 */
#ifndef FESCUEMILLD_GATE_GATE_COLD_H
#define FESCUEMILLD_GATE_GATE_COLD_H

#include "fescuemilld/gate/gate_shell_defs.h"

/* Records how a health check ended: the load that it reports and how long the server remains cold.
 */
void gate_cold_record_probe(struct gate_shell *shell, const struct backend_answer *answer);
/* Stores the latest announcement, and forgets what earlier starts of the server have said. */
void gate_cold_set_backend(struct gate_shell *shell, const struct announcement *now);

#endif
