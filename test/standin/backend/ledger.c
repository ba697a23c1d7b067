/*
 * Ledger: executions counted by the caller's x-call header, and attempts by x-fescue-call-id.
 */
#include "standin/backend/ledger.h"

#include <stdint.h>

#define FINISH_ONE ((json_int_t)1 << 32)

static json_t *calls;	 /* x-call -> starts + (finishes << 32) */
static json_t *attempts; /* x-fescue-call-id -> starts */
static uint64_t attempts_doubled;

/* Adds an amount to the count of a key in *counts. Returns the new count. */
static json_int_t add(json_t **counts, const char *key, json_int_t amount)
{
	json_t *count;

	if (!*counts)
		*counts = json_object();
	count = json_object_get(*counts, key);
	if (!count) {
		json_object_set_new(*counts, key, json_integer(amount));
		return amount;
	}
	json_integer_set(count, json_integer_value(count) + amount);
	return json_integer_value(count);
}

/* Records that an attempt of a call started to run. Empty names are not recorded. */
void ledger_start(const char *call, const char *attempt)
{
	if (call[0] != '\0')
		add(&calls, call, 1);
	if (attempt[0] != '\0' && add(&attempts, attempt, 1) > 1)
		attempts_doubled++;
}

/* Records that a call ran to completion. */
void ledger_finish(const char *call)
{
	if (call[0] != '\0')
		add(&calls, call, FINISH_ONE);
}

/* Returns {"attempts_doubled":N,"calls":{"ID":[starts,finishes],...}}. */
json_t *ledger_json(void)
{
	json_t *list = json_object();
	const char *call;
	json_t *count;

	json_object_foreach(calls, call, count)
	{
		json_int_t packed = json_integer_value(count);

		json_object_set_new(list, call,
				    json_pack("[I,I]", packed % FINISH_ONE, packed / FINISH_ONE));
	}
	return json_pack("{s:I,s:o}", "attempts_doubled", (json_int_t)attempts_doubled, "calls",
			 list);
}
