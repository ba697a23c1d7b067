/*
 * Keyed calls at the gate that owns their key: a call runs once for each key, and repeats get the
 * stored answer.
 */
#ifndef FESCUEMILLD_GATE_GATE_KEY_H
#define FESCUEMILLD_GATE_GATE_KEY_H

#include "fescuemilld/gate/gate_shell_defs.h"

/* What to do with a new attempt. */
enum gate_key_action {
	GATE_KEY_OFFER,	 /* offer it to admission */
	GATE_KEY_REPLY,	 /* reply without running it: see known_outcome in the attempt */
	GATE_KEY_REFUSE, /* refuse it for the attempt's known_reason */
};

enum gate_key_action gate_key_begin(struct gate_attempt *attempt);
/* Records the outcome of a keyed attempt; does nothing for others. */
void gate_key_finished(struct gate_attempt *attempt, enum call_outcome outcome, uint64_t bytes);
void gate_key_expire(struct gate_shell *shell);
void gate_key_free_all(struct gate_shell *shell);

#endif
