/*
 * Gate keys: keyed calls at their home gate: run once, then answered again from what was kept.
 */
#ifndef FESCUEMILLD_GATE_KEY_H
#define FESCUEMILLD_GATE_KEY_H

#include "fescuemilld/gate_shell_defs.h"

/* What is to be done with a new attempt. */
enum gate_key_step {
	GATE_KEY_OFFER,	 /* offer it to admission */
	GATE_KEY_SETTLE, /* it has its outcome without running: see settled in the attempt */
	GATE_KEY_REFUSE, /* it is not run: the reason is in settled_reason */
};

enum gate_key_step gate_key_begin(struct gate_attempt *attempt);
/* Notes the end of a keyed attempt; does nothing for others. */
void gate_key_finished(struct gate_attempt *attempt, enum call_outcome outcome, uint64_t bytes);
void gate_key_expire(struct gate_shell *shell);
void gate_key_free_all(struct gate_shell *shell);

#endif
