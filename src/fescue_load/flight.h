/*
 * Flight: one call on its way, from its intended time of sending to its result in the ledger.
 */
#ifndef FESCUE_LOAD_FLIGHT_H
#define FESCUE_LOAD_FLIGHT_H

#include "fescue_load/client.h"
#include "fescue_load/run.h"
#include "fescuemill/base/random.h"

#define RUN_RECORDS_MS 5000 /* for the backend servers to send their records */

struct run;

struct run_stream {
	struct random rng;
	uint64_t next_us; /* monotonic time of the next arrival */
};

struct record_fetch {
	struct client_call call; /* first: the callbacks cast it back */
	struct run *run;
	char *text;
	size_t bytes;
};

/* The state of a run; it lives as long as the process, as h2o's pools do. */
struct run {
	const struct plan *plan;
	struct run_result *result;
	uv_loop_t *loop;
	uv_poll_t timer_poll;
	uv_timer_t settle_timer;
	int timer_fd;
	bool is_over;	 /* the time of sending is over */
	uint64_t end_us; /* monotonic; the end of sending */
	uint32_t in_flight;
	uint32_t records_awaited;
	struct random rng; /* chooses targets and keyed calls */
	struct client client;
	void (*on_call_end)(struct run *run, uint32_t stream);
	struct run_stream streams[PLAN_STREAMS_MAX];
	h2o_socketpool_t entry_pools[PLAN_TARGETS_MAX];
	h2o_socketpool_t backend_pools[PLAN_TARGETS_MAX];
	struct record_fetch fetches[PLAN_TARGETS_MAX];
};

void flight_start(struct run *run, uint32_t index, uint64_t intended_us);

#endif
