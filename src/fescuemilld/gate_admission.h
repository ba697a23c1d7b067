/*
 * Gate admission: passes attempts to admission and carries out its verdicts.
 *
 * A verdict may lead to the next one: a run that cannot be started frees its slot for another. So
 * verdicts are queued, and only the outermost gate_admission_carry_out works them off.
 */
#ifndef FESCUEMILLD_GATE_ADMISSION_H
#define FESCUEMILLD_GATE_ADMISSION_H

#include "fescuemilld/gate_shell_defs.h"

void gate_admission_init(struct gate_shell *shell);

/* These ask admission and queue what it decides. */
void gate_admission_offer(struct gate_attempt *attempt);
void gate_admission_finish(struct gate_attempt *attempt, enum gate_result result);
/* Takes the attempt itself out of the queue too: it may be freed afterwards. */
void gate_admission_cancel(struct gate_attempt *attempt);
/* Queues a verdict that admission need not give. */
void gate_admission_decide(struct gate_attempt *attempt, struct gate_verdict verdict);

/* Carries out what is queued, unless that is being done further up the stack. */
void gate_admission_carry_out(struct gate_shell *shell);

/* These ask admission and carry out what it decides. */
void gate_admission_tick(struct gate_shell *shell);
void gate_admission_set_backend(struct gate_shell *shell, enum backend_state state);
void gate_admission_set_config(struct gate_shell *shell, const struct service_config *config);

/* Takes the pace of the backend server's host, or that it could not be had. */
void gate_admission_take_pace(struct gate_shell *shell, uint32_t percent);
void gate_admission_pace_unknown(struct gate_shell *shell);

#endif
