/*
 * Load call: one call of a run, from its intended send time to its result in the ledger.
 */
#ifndef FESCUE_LOAD_LOAD_CALL_H
#define FESCUE_LOAD_LOAD_CALL_H

#include "fescue_load/client.h"
#include "fescue_load/run.h"
#include "fescuemill/base/random.h"

#define RUN_RECORDS_TIMEOUT_MS 5000 /* time to fetch the records of executions */

struct run;

struct run_stream {
	struct random rng;
	uint64_t next_us; /* monotonic time of the next arrival */
};

struct record_fetch {
	struct client_call call; /* must be first: callbacks cast it to struct record_fetch */
	struct run *run;
	char *text;
	size_t bytes;
};

/* State of a run. It is never freed, because h2o's connection pools last as long as the process. */
struct run {
	const struct plan *plan;
	struct run_result *result;
	uv_loop_t *loop;
	uv_poll_t timer_poll;
	uv_timer_t settle_timer; /* lets executions finish, then bounds the fetch of records */
	int timer_fd;		 /* timerfd for the next arrival or the end of sending */
	bool is_over;		 /* end_us has passed; no more calls are sent */
	uint64_t end_us;	 /* monotonic time after which no call is sent */
	uint32_t in_flight;
	uint32_t records_awaited;
	struct random rng; /* for the choice of targets and of keyed calls */
	struct client client;
	void (*on_call_end)(struct run *run, uint32_t stream);
	struct run_stream streams[PLAN_STREAMS_MAX];
	h2o_socketpool_t entry_pools[PLAN_TARGETS_MAX];
	h2o_socketpool_t backend_pools[PLAN_TARGETS_MAX];
	struct record_fetch fetches[PLAN_TARGETS_MAX];
};

void load_call_start(struct run *run, uint32_t index, uint64_t intended_us);

#endif
