/*
 * Run: sends the calls of a plan, bounded in number and time, and collects their results.
 */
#ifndef FESCUE_LOAD_RUN_H
#define FESCUE_LOAD_RUN_H

#include "fescue_load/ledger.h"
#include "fescue_load/plan_defs.h"
#include "fescuemill/base/error.h"
#include "fescuemill/base/histogram.h"

/* Latencies of the answered calls of one stream, measured from the intended send time. */
struct run_latency {
	struct histogram total;
	struct histogram added;	  /* total minus x-fescue-server-us (direct: x-standin-run-us) */
	struct histogram outside; /* total minus x-standin-run-us */
};

struct run_result {
	struct ledger ledger;
	struct run_latency latency[PLAN_STREAMS_MAX];
	struct histogram send_lag; /* from the intended to the actual send time */
	uint64_t skipped;	   /* calls not sent because PLAN_IN_FLIGHT_MAX were in flight */
	uint64_t elapsed_us;	   /* until sending is over and all calls have ended */
};

int run_plan(const struct plan *plan, struct run_result *result, struct error *err);

#endif
