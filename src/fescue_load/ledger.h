/*
 * Ledger: what came of every call, checked against what the backend servers ran.
 */
#ifndef FESCUE_LOAD_LEDGER_H
#define FESCUE_LOAD_LEDGER_H

#include "fescue_load/plan_defs.h"

#include <stddef.h>

#define LEDGER_CALL_BYTES 40

/* What came of a call, from the caller's side. */
enum call_result {
	CALL_OPEN,    /* not ended yet */
	CALL_WHOLE,   /* answered, and the answer is whole */
	CALL_NOT_RUN, /* told that it did not run */
	CALL_UNKNOWN, /* told that it may have run */
	CALL_LOST,    /* told nothing by the deadline and the grace */
	CALL_CUT,     /* the answer ended early */
	CALL_CORRUPT, /* the answer is not this call's answer */
	CALL_RESULT_COUNT,
};

struct call_record {
	uint8_t stream;
	uint8_t result;	   /* enum call_result */
	uint8_t sends;	   /* by this program; repeats of keyed calls are above 1 */
	uint8_t is_error;  /* answered whole, with an error status */
	uint16_t attempts; /* that the entries stated; 0 if they stated none */
	uint16_t starts;   /* that the backend servers recorded */
};

/* Sums over a stream's calls; the second half is known only after ledger_check. */
struct ledger_sums {
	uint64_t sent;
	uint64_t results[CALL_RESULT_COUNT];
	uint64_t errors;	     /* whole answers with an error status */
	uint64_t repeats;	     /* sends after the first, of keyed calls */
	uint64_t doubled;	     /* ran more often than allowed */
	uint64_t retried_runs;	     /* runs after the first of idempotent calls, within attempts */
	uint64_t not_run_ran;	     /* told not run, and yet ran */
	uint64_t answered_never_ran; /* answered, and yet no backend server ran it */
};

struct ledger {
	const struct plan *plan;
	uint64_t run_id; /* sets the call ids of one run apart from those of any other */
	struct call_record *calls;
	uint32_t count;
	uint32_t capacity;
	uint64_t attempts_doubled; /* attempts that the backend servers saw more than once */
	uint32_t records_missing;  /* backend servers whose executions could not be read */
	bool runs_are_unchecked; /* no backend server is named, so that nothing is known of runs */
};

void ledger_init(struct ledger *ledger, const struct plan *plan, uint64_t run_id);
void ledger_free(struct ledger *ledger);
int64_t ledger_open(struct ledger *ledger, uint32_t stream);
void ledger_call_id(const struct ledger *ledger, uint32_t index, char text[LEDGER_CALL_BYTES]);
int ledger_add_executions(struct ledger *ledger, const char *json, size_t bytes);
void ledger_sum(const struct ledger *ledger, uint32_t stream, struct ledger_sums *sums);
void ledger_total(const struct ledger *ledger, struct ledger_sums *sums);
uint64_t ledger_violations(const struct ledger *ledger, const struct ledger_sums *total);

#endif
