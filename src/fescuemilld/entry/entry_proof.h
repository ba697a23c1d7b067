/*
 * Key proofs at the entry: passes on what gates tell about the age of the customers' keys, in their
 * answers to calls and pings.
 */
#ifndef FESCUEMILLD_ENTRY_ENTRY_PROOF_H
#define FESCUEMILLD_ENTRY_ENTRY_PROOF_H

#include "fescuemilld/entry/entry_defs.h"

/* Record the time of a question: an attempt or a ping. */
void entry_proof_call_sent(struct entry_call *call);
void entry_proof_ping_sent(struct gate_conn *conn);
/* Pass on what an answer or a pong tells. */
void entry_proof_answered(const struct entry_call *call, const struct message_answer *answer);
void entry_proof_ponged(struct gate_conn *conn, const struct message_pong *pong);
/* Forgets the pings of a connection that was closed. */
void entry_proof_closed(struct gate_conn *conn);

#endif
