/*
 * Messages that the gate sends to entries.
 */
#ifndef FESCUEMILLD_GATE_GATE_REPLY_H
#define FESCUEMILLD_GATE_GATE_REPLY_H

#include "fescuemilld/gate/gate_shell_defs.h"

void gate_reply_answer(struct gate_shell *shell, const struct attempt_gate_action *action,
		       const struct origin *origin);
void gate_reply_outcome(struct gate_shell *shell, const struct attempt_gate_action *action,
			const struct origin *origin);
void gate_reply_pending(struct gate_shell *shell, const struct attempt_gate_action *action,
			const struct origin *origin);
void gate_reply_pong(struct gate_shell *shell, const struct origin *origin);

#endif
