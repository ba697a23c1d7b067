/*
 * Gate suspect: the gate's part in finding requests that end their backend server. Which requests
 * are suspected, and what follows, is decided by decide/crash_table.c.
 */
#ifndef FESCUEMILLD_GATE_GATE_SUSPECT_H
#define FESCUEMILLD_GATE_GATE_SUSPECT_H

#include "fescuemilld/gate/gate_shell_defs.h"

/* Takes the end of a run. The attempt's request must not have been released yet. */
void gate_suspect_run_ended(struct gate_attempt *attempt, const struct backend_answer *answer);
/* Takes the end of the backend server, as gate_crash.h reports it to the shell of a gate. */
void gate_suspect_server_ended(void *user, const uint64_t *digests, uint32_t count);
/* Returns why an attempt may not run now, or REASON_NONE. */
enum call_reason gate_suspect_refusal(struct gate_attempt *attempt);

#endif
