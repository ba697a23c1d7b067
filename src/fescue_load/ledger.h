/*
 * Ledger: the result of every call, checked against the executions on the backend servers.
 */
#ifndef FESCUE_LOAD_LEDGER_H
#define FESCUE_LOAD_LEDGER_H

#include "fescue_load/plan_defs.h"

#include <stddef.h>

#define LEDGER_CALL_BYTES 40

/* Result of a call, as the caller sees it. */
enum call_result {
	CALL_PENDING,  /* no result yet */
	CALL_ANSWERED, /* a complete and correct answer was received */
	CALL_NOT_RUN,  /* reported as not run, or never sent */
	CALL_UNKNOWN,  /* reported as possibly run, or connection closed where entries may fail */
	CALL_LOST,     /* closed without an answer, or no complete answer by deadline + grace_ms */
	CALL_CUT,      /* the connection was closed in the middle of the answer */
	CALL_CORRUPT,  /* wrong or missing body, body checksum or outcome header */
	CALL_RESULT_COUNT,
};

struct call_record {
	uint8_t stream;
	uint8_t result;	   /* enum call_result */
	uint8_t sends;	   /* times fescue-load sent it; above 1 if a keyed call was repeated */
	uint8_t is_error;  /* the complete answer has a status other than 200 */
	uint16_t attempts; /* attempts that the entries reported; 0 if none did */
	uint16_t starts;   /* executions started, as the backend servers recorded */
};

/*
 * Sums over the calls of a stream or of all streams. The fields from doubled on are complete only
 * after ledger_add_executions was called for every backend server.
 */
struct ledger_sums {
	uint64_t sent;
	uint64_t results[CALL_RESULT_COUNT];
	uint64_t errors;	     /* complete answers with a status other than 200 */
	uint64_t repeats;	     /* sends of keyed calls after the first */
	uint64_t doubled;	     /* calls that ran more often than allowed */
	uint64_t retried_runs;	     /* allowed executions of idempotent calls after the first */
	uint64_t not_run_ran;	     /* calls reported as not run that did run */
	uint64_t answered_never_ran; /* answered calls that no backend server ran */
};

struct ledger {
	const struct plan *plan;
	uint64_t run_id; /* part of the call ids, to make them unique across runs */
	struct call_record *calls;
	uint32_t count;
	uint32_t capacity;
	uint64_t attempts_doubled; /* repeated executions of the same attempt */
	uint32_t records_missing;  /* backend servers whose record of executions is missing */
	bool executions_unchecked; /* the plan names no backend server to check against */
};

void ledger_init(struct ledger *ledger, const struct plan *plan, uint64_t run_id);
void ledger_free(struct ledger *ledger);
int64_t ledger_add_call(struct ledger *ledger, uint32_t stream);
void ledger_call_id(const struct ledger *ledger, uint32_t index, char text[LEDGER_CALL_BYTES]);
int ledger_add_executions(struct ledger *ledger, const char *json, size_t bytes);
void ledger_sum(const struct ledger *ledger, uint32_t stream, struct ledger_sums *sums);
void ledger_total(const struct ledger *ledger, struct ledger_sums *sums);
uint64_t ledger_violations(const struct ledger *ledger, const struct ledger_sums *total);

#endif
