/*
 * Key proofs at the entry.
 */
#include "fescuemilld/entry/entry_proof.h"

#include "fescuemill/base/clock.h"

/* Records when the current attempt was sent. A repeated question about the same attempt does not
 * change it: the answer may be the one to the first. */
void entry_proof_call_sent(struct entry_call *call)
{
	if (call->entry->options.on_proof)
		call->asked_us = clock_boottime_us();
}

/* Records when a ping was sent, unless an earlier one is not answered yet, whose pong may come
 * first. */
void entry_proof_ping_sent(struct gate_conn *conn)
{
	if (conn->owner->entry->options.on_proof && conn->asked_us == 0)
		conn->asked_us = clock_boottime_us();
}

void entry_proof_closed(struct gate_conn *conn)
{
	conn->asked_us = 0;
}

/* Passes on what the answer to the call's current attempt tells. */
void entry_proof_answered(const struct entry_call *call, const struct message_answer *answer)
{
	const struct entry_options *options = &call->entry->options;

	if (answer->proof.is_set && options->on_proof && call->asked_us > 0)
		options->on_proof(options->user, &answer->proof, KEY_PROOF_ANSWER, call->asked_us);
}

void entry_proof_ponged(struct gate_conn *conn, const struct message_pong *pong)
{
	const struct entry_options *options = &conn->owner->entry->options;

	if (pong->proof.is_set && options->on_proof && conn->asked_us > 0)
		options->on_proof(options->user, &pong->proof, KEY_PROOF_PONG, conn->asked_us);
	conn->asked_us = 0;
}
