/*
 * Ledger: one record per call, checked against the executions that the backend servers recorded.
 */
#include "fescue_load/ledger.h"

#include "fescue_load/plan.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CAPACITY_START 4096

/* Initializes an empty ledger. The plan must outlive it. */
void ledger_init(struct ledger *ledger, const struct plan *plan, uint64_t run_id)
{
	memset(ledger, 0, sizeof(*ledger));
	ledger->plan = plan;
	ledger->run_id = run_id;
}

/* Frees the records of a ledger. */
void ledger_free(struct ledger *ledger)
{
	free(ledger->calls);
	ledger->calls = NULL;
}

/*
 * Adds a pending call of a stream. Returns its index, or -1 if the plan's max_calls is reached or
 * memory is exhausted.
 */
int64_t ledger_add_call(struct ledger *ledger, uint32_t stream)
{
	struct call_record *calls;

	if (ledger->count == ledger->plan->max_calls)
		return -1;
	if (ledger->count == ledger->capacity) {
		uint32_t capacity = ledger->capacity ? 2 * ledger->capacity : CAPACITY_START;

		calls = realloc(ledger->calls, capacity * sizeof(*calls));
		if (!calls)
			return -1;
		ledger->calls = calls;
		ledger->capacity = capacity;
	}
	ledger->calls[ledger->count] = (struct call_record){.stream = (uint8_t)stream};
	return ledger->count++;
}

/* Writes the id of a call, which is unique across runs. */
void ledger_call_id(const struct ledger *ledger, uint32_t index, char text[LEDGER_CALL_BYTES])
{
	snprintf(text, LEDGER_CALL_BYTES, "%" PRIx64 "-%" PRIu32, ledger->run_id, index);
}

/* Returns the record of a call id, or NULL if the id does not belong to this run. */
static struct call_record *find_call(struct ledger *ledger, const char *id)
{
	char *end;
	uint64_t run_id = strtoull(id, &end, 16);
	unsigned long index;

	if (run_id != ledger->run_id || *end != '-')
		return NULL;
	index = strtoul(end + 1, &end, 10);
	return *end == '\0' && index < ledger->count ? &ledger->calls[index] : NULL;
}

/*
 * Adds the executions recorded by one backend server, as JSON:
 * {"attempts_doubled":N,"calls":{"ID":[starts,finishes]}}. Returns 0, or -1 if it cannot be parsed.
 */
int ledger_add_executions(struct ledger *ledger, const char *json, size_t bytes)
{
	json_t *root = json_loadb(json, bytes, 0, NULL);
	json_t *calls = json_object_get(root, "calls");
	const char *id;
	json_t *counts;

	if (!json_is_object(calls)) {
		json_decref(root);
		return -1;
	}
	ledger->attempts_doubled +=
		(uint64_t)json_integer_value(json_object_get(root, "attempts_doubled"));
	json_object_foreach(calls, id, counts)
	{
		struct call_record *call = find_call(ledger, id);

		if (call)
			call->starts += (uint16_t)json_integer_value(json_array_get(counts, 0));
	}
	json_decref(root);
	return 0;
}

/* Compares a call with its recorded executions and counts violations and allowed retries. */
static void check_executions(const struct ledger *ledger, const struct call_record *call,
			     struct ledger_sums *sums)
{
	bool is_idempotent = plan_stream_is_idempotent(&ledger->plan->streams[call->stream]);

	if (ledger->executions_unchecked)
		return;
	if (call->result == CALL_NOT_RUN && call->starts > 0)
		sums->not_run_ran++;
	if (call->result == CALL_ANSWERED && !call->is_error && call->starts == 0)
		sums->answered_never_ran++;
	if (call->starts <= 1)
		return;
	if (!is_idempotent || (call->attempts > 0 && call->starts > call->attempts))
		sums->doubled++;
	else
		sums->retried_runs += call->starts - 1U;
}

/* Computes the sums over the calls of one stream. */
void ledger_sum(const struct ledger *ledger, uint32_t stream, struct ledger_sums *sums)
{
	memset(sums, 0, sizeof(*sums));
	for (uint32_t i = 0; i < ledger->count; i++) {
		const struct call_record *call = &ledger->calls[i];

		if (call->stream != stream)
			continue;
		sums->sent++;
		sums->results[call->result]++;
		sums->errors += call->is_error;
		sums->repeats += call->sends > 1 ? call->sends - 1U : 0;
		check_executions(ledger, call, sums);
	}
}

/* Computes the sums over all calls. */
void ledger_total(const struct ledger *ledger, struct ledger_sums *sums)
{
	memset(sums, 0, sizeof(*sums));
	for (uint32_t stream = 0; stream < ledger->plan->stream_count; stream++) {
		struct ledger_sums one;

		ledger_sum(ledger, stream, &one);
		sums->sent += one.sent;
		for (int i = 0; i < CALL_RESULT_COUNT; i++)
			sums->results[i] += one.results[i];
		sums->errors += one.errors;
		sums->repeats += one.repeats;
		sums->doubled += one.doubled;
		sums->retried_runs += one.retried_runs;
		sums->not_run_ran += one.not_run_ran;
		sums->answered_never_ran += one.answered_never_ran;
	}
}

/*
 * Returns the number of violations: calls that are pending, lost, cut, corrupt or doubled, calls
 * reported as not run that did run, and repeated executions of an attempt. Unless backend servers
 * may fail, also answered calls without an execution, and missing records.
 */
uint64_t ledger_violations(const struct ledger *ledger, const struct ledger_sums *total)
{
	uint64_t count = total->results[CALL_PENDING] + total->results[CALL_LOST] +
			 total->results[CALL_CUT] + total->results[CALL_CORRUPT] + total->doubled +
			 total->not_run_ran + ledger->attempts_doubled;

	if (!ledger->plan->backends_may_fail)
		count += total->answered_never_ran + ledger->records_missing;
	return count;
}
