/*
 * Memory of one attempt at the gate: its request until the run ends, its answer until the entry has
 * received it.
 */
#ifndef FESCUEMILLD_GATE_GATE_ATTEMPT_H
#define FESCUEMILLD_GATE_GATE_ATTEMPT_H

#include "fescuemill/http/request_digest.h"
#include "fescuemilld/gate/gate_shell_defs.h"

uint64_t gate_attempt_request_bytes(const struct message_call *call);
struct gate_attempt *gate_attempt_new(struct gate_shell *shell, const struct origin *origin);
void gate_attempt_copy_answer(h2o_mem_pool_t *arena, struct message_answer *answer);
uint64_t gate_attempt_store_answer(struct gate_attempt *attempt,
				   const struct backend_answer *answer);
void gate_attempt_release_request(struct gate_attempt *attempt);
void gate_attempt_release_answer(struct gate_attempt *attempt);
/* Returns the parts of the request that make its digest; they point into the attempt. */
struct request_parts gate_attempt_parts(const struct gate_attempt *attempt);
/* Returns the digest of the request, which must not have been released yet. */
uint64_t gate_attempt_digest(const struct gate_attempt *attempt);
void gate_attempt_free(struct gate_attempt *attempt);

#endif
