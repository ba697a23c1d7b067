/*
 * Keyed calls at the gate that owns their key. Which of them may run is decided by decide/key.c.
 */
#include "fescuemilld/gate/gate_key.h"

#include "fescuemill/base/clock.h"
#include "fescuemilld/gate/gate_attempt.h"

#include <stdlib.h>
#include <string.h>

/* An answer that is stored for repeats of its key. */
struct stored_answer {
	h2o_mem_pool_t arena;
	struct message_answer answer;
	uint64_t bytes;
};

/* Returns the wall clock time that the retention of keys is based on, in milliseconds. */
static uint64_t wall_ms(void)
{
	return clock_wall_us() / USEC_PER_MSEC;
}

/* Copies the attempt's answer. Returns NULL if out of memory. */
static struct stored_answer *stored_answer_new(const struct gate_attempt *attempt, uint64_t bytes)
{
	struct stored_answer *stored = calloc(1, sizeof(*stored));

	if (!stored)
		return NULL;
	h2o_mem_init_pool(&stored->arena);
	stored->bytes = bytes;
	stored->answer = attempt->answer;
	gate_attempt_copy_answer(&stored->arena, &stored->answer);
	return stored;
}

static void stored_answer_free(struct stored_answer *stored)
{
	if (!stored)
		return;
	h2o_mem_clear_pool(&stored->arena);
	free(stored);
}

/* Copies the answer stored for its key into the attempt. */
static void replay(struct gate_attempt *attempt, const struct stored_answer *stored)
{
	attempt->answer = stored->answer;
	gate_attempt_copy_answer(&attempt->answer_arena, &attempt->answer);
	attempt->known_outcome = OUTCOME_ANSWERED;
	attempt->known_answer_bytes = stored->bytes;
}

/* Returns what to do with a new attempt. */
enum gate_key_action gate_key_begin(struct gate_attempt *attempt)
{
	const struct message_call *call = &attempt->call;
	enum key_verdict verdict;
	void *stored;

	if (call->key.size == 0 || call->idempotent)
		return GATE_KEY_OFFER;
	key_hash_of(call->service, call->key.data, call->key.size, &attempt->key);
	verdict = key_begin(attempt->shell->keys, &attempt->key,
			    key_first_use_ms(call->key.data, call->key.size), wall_ms(), &stored);
	switch (verdict) {
	case KEY_RUN:
		attempt->is_keyed = true;
		return GATE_KEY_OFFER;
	case KEY_REPLAY:
		replay(attempt, stored);
		return GATE_KEY_REPLY;
	default:
		key_verdict_outcome(verdict, &attempt->known_outcome, &attempt->known_reason);
		return attempt->known_outcome == OUTCOME_NOT_RUN ? GATE_KEY_REFUSE : GATE_KEY_REPLY;
	}
}

/* Records the outcome of a keyed attempt, with its answer if there is one. */
void gate_key_finished(struct gate_attempt *attempt, enum call_outcome outcome, uint64_t bytes)
{
	struct stored_answer *stored = NULL;

	if (!attempt->is_keyed)
		return;
	attempt->is_keyed = false;
	if (outcome == OUTCOME_ANSWERED)
		stored = stored_answer_new(attempt, bytes);
	if (!key_finished(attempt->shell->keys, &attempt->key, outcome, bytes, stored, wall_ms()))
		stored_answer_free(stored);
}

/* Frees the answers of keys whose retention has expired. */
void gate_key_expire(struct gate_shell *shell)
{
	void *stored;

	while (key_expire(shell->keys, wall_ms(), &stored))
		stored_answer_free(stored);
}

/* Frees all keys and their answers; called when the gate is freed. */
void gate_key_free_all(struct gate_shell *shell)
{
	void *stored;

	/* An empty table is due at UINT64_MAX. */
	while (key_expire(shell->keys, UINT64_MAX - 1, &stored))
		stored_answer_free(stored);
	key_destroy(shell->keys);
}
