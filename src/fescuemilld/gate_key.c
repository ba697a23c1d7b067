/*
 * Gate keys: keyed calls at their home gate. What may run is decided by decide/key.c.
 */
#include "fescuemilld/gate_key.h"

#include "fescuemill/base/clock.h"
#include "fescuemilld/gate_attempt.h"

#include <stdlib.h>
#include <string.h>

/* An answer that is kept for repeats of its key. */
struct kept_answer {
	h2o_mem_pool_t arena;
	struct message_answer answer;
	uint64_t bytes;
};

/* Gives the time by which keys are kept. */
static uint64_t wall_ms(void)
{
	return clock_wall_us() / USEC_PER_MSEC;
}

/* Copies the attempt's answer; NULL without memory. */
static struct kept_answer *kept_new(const struct gate_attempt *attempt, uint64_t bytes)
{
	struct kept_answer *kept = calloc(1, sizeof(*kept));

	if (!kept)
		return NULL;
	h2o_mem_init_pool(&kept->arena);
	kept->bytes = bytes;
	kept->answer = attempt->answer;
	gate_attempt_own_answer(&kept->arena, &kept->answer);
	return kept;
}

/* Frees a kept answer. */
static void kept_free(struct kept_answer *kept)
{
	if (!kept)
		return;
	h2o_mem_clear_pool(&kept->arena);
	free(kept);
}

/* Gives an attempt the answer that was kept for its key. */
static void replay(struct gate_attempt *attempt, const struct kept_answer *kept)
{
	attempt->answer = kept->answer;
	gate_attempt_own_answer(&attempt->answer_arena, &attempt->answer);
	attempt->settled = OUTCOME_ANSWERED;
	attempt->settled_bytes = kept->bytes;
}

/* Tells what to do with a new attempt. */
enum gate_key_step gate_key_begin(struct gate_attempt *attempt)
{
	const struct message_call *call = &attempt->call;
	enum key_verdict verdict;
	void *kept;

	if (call->key.size == 0 || call->idempotent)
		return GATE_KEY_OFFER;
	key_hash_of(call->service, call->key.data, call->key.size, &attempt->key);
	verdict = key_begin(attempt->shell->keys, &attempt->key,
			    key_first_use_ms(call->key.data, call->key.size), wall_ms(), &kept);
	switch (verdict) {
	case KEY_RUN:
		attempt->is_keyed = true;
		return GATE_KEY_OFFER;
	case KEY_REPLAY:
		replay(attempt, kept);
		return GATE_KEY_SETTLE;
	default:
		key_verdict_outcome(verdict, &attempt->settled, &attempt->settled_reason);
		return attempt->settled == OUTCOME_NOT_RUN ? GATE_KEY_REFUSE : GATE_KEY_SETTLE;
	}
}

/* Notes the end of a keyed attempt. */
void gate_key_finished(struct gate_attempt *attempt, enum call_outcome outcome, uint64_t bytes)
{
	struct kept_answer *kept = NULL;

	if (!attempt->is_keyed)
		return;
	attempt->is_keyed = false;
	if (outcome == OUTCOME_ANSWERED)
		kept = kept_new(attempt, bytes);
	if (!key_finished(attempt->shell->keys, &attempt->key, outcome, bytes, kept, wall_ms()))
		kept_free(kept);
}

/* Frees what was kept for keys whose time is over. */
void gate_key_expire(struct gate_shell *shell)
{
	void *kept;

	while (key_expire(shell->keys, wall_ms(), &kept))
		kept_free(kept);
}

/* Frees everything at the end of the process. */
void gate_key_free_all(struct gate_shell *shell)
{
	void *kept;

	while (key_expire(shell->keys, UINT64_MAX - 1, &kept))
		kept_free(kept);
	key_destroy(shell->keys);
}
