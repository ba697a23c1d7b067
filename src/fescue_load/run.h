/*
 * Run: sends a plan's calls, bounded in count and time, and gathers what came of them.
 */
#ifndef FESCUE_LOAD_RUN_H
#define FESCUE_LOAD_RUN_H

#include "fescue_load/ledger.h"
#include "fescue_load/plan_defs.h"
#include "fescuemill/base/error.h"
#include "fescuemill/base/histogram.h"

/* Latencies of whole answers of one stream, from the intended time of sending. */
struct run_latency {
	struct histogram total;
	struct histogram
		added; /* total less the time at the backend server, as the entry states it */
	struct histogram outside; /* total less x-standin-run-us */
};

struct run_result {
	struct ledger ledger;
	struct run_latency latency[PLAN_STREAMS_MAX];
	struct histogram send_lag; /* from the intended to the real time of sending */
	uint64_t skipped;	   /* calls not sent, for PLAN_IN_FLIGHT_MAX were in flight */
	uint64_t elapsed_us;	   /* from the first to the last moment of sending */
};

int run_plan(const struct plan *plan, struct run_result *result, struct error *err);

#endif
