/*
 * Passes attempts to the admission module (decide/gate.c) and carries out its verdicts.
 *
 * Carrying out one verdict may produce another: a run that cannot be started frees its slot. So
 * verdicts are queued, and only the outermost gate_admission_apply_verdicts() carries them out.
 */
#ifndef FESCUEMILLD_GATE_GATE_ADMISSION_H
#define FESCUEMILLD_GATE_GATE_ADMISSION_H

#include "fescuemilld/gate/gate_shell_defs.h"
#include "fescuemilld/gate/gate_state.h"

void gate_admission_init(struct gate_shell *shell);

/* These call admission and queue its verdicts. */
void gate_admission_offer(struct gate_attempt *attempt);
void gate_admission_finish(struct gate_attempt *attempt, enum gate_result result);
/* Also removes the attempt's own verdict from the queue; the attempt may be freed afterwards. */
void gate_admission_cancel(struct gate_attempt *attempt);
/* Queues a verdict that was reached without admission. */
void gate_admission_queue_verdict(struct gate_attempt *attempt, struct gate_verdict verdict);

/* Carries out the queued verdicts, unless a caller on the stack is doing so. */
void gate_admission_apply_verdicts(struct gate_shell *shell);

/* These call admission and carry out its verdicts. */
void gate_admission_tick(struct gate_shell *shell);
void gate_admission_set_backend(struct gate_shell *shell, enum backend_state state);
void gate_admission_set_config(struct gate_shell *shell, const struct service_config *config);

/* Record the slowdown of the backend server's host, in percent of its normal service time, or that
 * it could not be obtained. Both queue verdicts without carrying them out. */
void gate_admission_record_slowdown(struct gate_shell *shell, uint32_t percent);
void gate_admission_slowdown_unknown(struct gate_shell *shell);
/* Hold the calls that start to the rate that the backend server states, or no longer do. Both queue
 * verdicts without carrying them out. */
void gate_admission_set_rate_limit(struct gate_shell *shell, uint32_t rate_milli);
void gate_admission_clear_rate_limit(struct gate_shell *shell);

#endif
