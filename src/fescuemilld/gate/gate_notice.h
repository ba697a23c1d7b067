/*
 * Notices of the backend server: takes the limit on its calls and its leaving from its answers,
 * and, after a restart of this node, from entries that have heard of them.
 */
#ifndef FESCUEMILLD_GATE_GATE_NOTICE_H
#define FESCUEMILLD_GATE_GATE_NOTICE_H

#include "fescuemilld/gate/gate_shell_defs.h"

/* Applies what an answer to a call states. */
void gate_notice_record(struct gate_shell *shell, const struct backend_answer *answer);
/* Applies what a health check states. That it states nothing says nothing of calls. */
void gate_notice_record_probe(struct gate_shell *shell, const struct backend_answer *answer);
/* Applies what an entry has heard of the backend server, unless this process has heard of it
 * itself, or the entry means another start of it. */
void gate_notice_adopt(struct gate_shell *shell, const struct server_notice *heard);
/* Forgets the notices if an announcement is from another start of the backend server. */
void gate_notice_check_start(struct gate_shell *shell, const struct announcement *now);

#endif
