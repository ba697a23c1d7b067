/*
 * Run: generates arrivals, sends calls, and fetches the records of executions at the end.
 */
#include "fescue_load/run.h"

#include "fescue_load/load_call.h"
#include "fescuemill/base/clock.h"

#include <math.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define NEVER_US UINT64_MAX

/* Returns a random time between two arrivals of a Poisson process, in microseconds. */
static uint64_t draw_interarrival_us(struct random *rng, double calls_per_s)
{
	return (uint64_t)(-log(1 - random_unit(rng)) / calls_per_s * (double)USEC_PER_SEC);
}

/*
 * Adds a call to the ledger and sends it. A call beyond PLAN_IN_FLIGHT_MAX is skipped and counted.
 * Returns false if the ledger takes no more calls: at the plan's max_calls or without memory.
 */
static bool send_call(struct run *run, uint32_t stream, uint64_t intended_us)
{
	int64_t index;

	if (run->in_flight >= PLAN_IN_FLIGHT_MAX) {
		run->result->skipped++;
		return true;
	}
	index = ledger_add_call(&run->result->ledger, stream);
	if (index < 0)
		return false;
	load_call_start(run, (uint32_t)index, intended_us);
	return true;
}

/* Returns the time of the earliest next arrival of all streams, or NEVER_US. */
static uint64_t next_arrival_us(const struct run *run)
{
	uint64_t next_us = NEVER_US;

	for (uint32_t i = 0; i < run->plan->stream_count; i++) {
		if (run->streams[i].next_us < next_us)
			next_us = run->streams[i].next_us;
	}
	return next_us;
}

/*
 * Sets the timer to the next arrival or to the end of sending. It is a timerfd because the loop's
 * timers count only whole milliseconds.
 */
static void arm_timer(struct run *run)
{
	uint64_t next_us = next_arrival_us(run);
	struct itimerspec when = {{0, 0}, {0, 0}};

	if (next_us > run->end_us)
		next_us = run->end_us;
	when.it_value.tv_sec = (time_t)(next_us / USEC_PER_SEC);
	when.it_value.tv_nsec = (long)(next_us % USEC_PER_SEC) * 1000 + 1;
	timerfd_settime(run->timer_fd, TFD_TIMER_ABSTIME, &when, NULL);
}

/* Sends the calls of one open-loop stream that are due. */
static void send_due(struct run *run, uint32_t index, uint64_t now_us)
{
	struct run_stream *stream = &run->streams[index];

	while (stream->next_us <= now_us && stream->next_us < run->end_us) {
		if (!send_call(run, index, stream->next_us)) {
			stream->next_us = NEVER_US;
			return;
		}
		stream->next_us +=
			draw_interarrival_us(&stream->rng, run->plan->streams[index].calls_per_s);
	}
}

/* Stops the loop when sending is over and no call is in flight. */
static void stop_if_done(struct run *run)
{
	if (run->is_over && run->in_flight == 0)
		uv_stop(run->loop);
}

/* Sends the calls that are due, and stops sending at end_us. */
static void on_timer(uv_poll_t *poll, int status, int events)
{
	struct run *run = poll->data;
	uint64_t now_us = clock_monotonic_us();
	uint64_t expirations;

	(void)status;
	(void)events;
	if (read(run->timer_fd, &expirations, sizeof(expirations)) < 0)
		return;
	uv_update_time(run->loop);
	for (uint32_t i = 0; i < run->plan->stream_count; i++)
		send_due(run, i, now_us);
	if (now_us >= run->end_us) {
		run->is_over = true;
		uv_poll_stop(poll);
		stop_if_done(run);
		return;
	}
	arm_timer(run);
}

/* Sends the next call of a closed-loop stream when one of its calls has ended. */
static void on_call_end(struct run *run, uint32_t stream)
{
	uint64_t now_us = clock_monotonic_us();

	if (run->plan->streams[stream].connections > 0 && now_us < run->end_us)
		send_call(run, stream, now_us);
	stop_if_done(run);
}

/* Collects a received part of a backend server's record of executions. */
static void on_record_data(struct client_call *call, const char *data, size_t bytes)
{
	struct record_fetch *fetch = (struct record_fetch *)call;
	char *text = realloc(fetch->text, fetch->bytes + bytes);

	if (!text)
		return;
	memcpy(text + fetch->bytes, data, bytes);
	fetch->text = text;
	fetch->bytes += bytes;
}

/* Adds a received record to the ledger, or counts it as missing. */
static void on_record_end(struct client_call *call, enum client_end end)
{
	struct record_fetch *fetch = (struct record_fetch *)call;
	struct run *run = fetch->run;

	if (end != CLIENT_END_COMPLETE ||
	    ledger_add_executions(&run->result->ledger, fetch->text, fetch->bytes) != 0)
		run->result->ledger.records_missing++;
	free(fetch->text);
	fetch->text = NULL;
	if (--run->records_awaited == 0)
		uv_stop(run->loop);
}

/* Requests the record of executions from every backend server. */
static void fetch_records(struct run *run)
{
	static const char request[] = "GET /executions HTTP/1.1\r\nhost: backend\r\n\r\n";

	run->records_awaited = run->plan->backend_count;
	for (uint32_t i = 0; i < run->plan->backend_count; i++) {
		struct record_fetch *fetch = &run->fetches[i];

		fetch->run = run;
		fetch->call.request[0] = h2o_iovec_init(request, sizeof(request) - 1);
		fetch->call.on_data = on_record_data;
		fetch->call.on_end = on_record_end;
		client_start(&run->client, &run->backend_pools[i], &fetch->call);
	}
}

/* Counts records that have not been received in time as missing. */
static void on_records_timeout(uv_timer_t *timer)
{
	struct run *run = timer->data;

	run->result->ledger.records_missing += run->records_awaited;
	uv_stop(run->loop);
}

/* Fetches the records after grace_ms, in which running executions finish. */
static void on_settle_timer(uv_timer_t *timer)
{
	uv_timer_start(timer, on_records_timeout, RUN_RECORDS_TIMEOUT_MS, 0);
	fetch_records(timer->data);
}

/*
 * Initializes the loop, the connection pools and the timers of a run. Returns 0, or -1 with err
 * set.
 */
static int run_init(struct run *run, struct error *err)
{
	const struct plan *plan = run->plan;

	run->loop = uv_default_loop();
	run->on_call_end = on_call_end;
	client_init(&run->client, run->loop);
	for (uint32_t i = 0; i < plan->entry_count; i++)
		client_pool_init(&run->entry_pools[i], &plan->entries[i].address, run->loop);
	for (uint32_t i = 0; i < plan->backend_count; i++)
		client_pool_init(&run->backend_pools[i], &plan->backends[i].address, run->loop);
	random_seed(&run->rng, plan->seed);
	run->timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (run->timer_fd < 0)
		return error_set(err, ERROR_SYSTEM, "timerfd_create");
	uv_poll_init(run->loop, &run->timer_poll, run->timer_fd);
	run->timer_poll.data = run;
	uv_timer_init(run->loop, &run->settle_timer);
	run->settle_timer.data = run;
	return 0;
}

/* Sends the first calls of closed-loop streams and arms the timer for arrivals and the end. */
static void run_start(struct run *run)
{
	const struct plan *plan = run->plan;
	uint64_t now_us = clock_monotonic_us();

	run->end_us = now_us + plan->duration_ms * USEC_PER_MSEC;
	for (uint32_t i = 0; i < plan->stream_count; i++) {
		struct run_stream *stream = &run->streams[i];

		random_seed(&stream->rng, plan->seed + 1 + i);
		stream->next_us = NEVER_US;
		if (plan->streams[i].calls_per_s > 0)
			stream->next_us =
				now_us +
				draw_interarrival_us(&stream->rng, plan->streams[i].calls_per_s);
		for (uint32_t n = 0; n < plan->streams[i].connections; n++)
			send_call(run, i, now_us);
	}
	uv_poll_start(&run->timer_poll, UV_READABLE, on_timer);
	arm_timer(run);
}

/*
 * Runs a checked plan and fills result, whose ledger the caller frees with ledger_free. Takes the
 * plan's duration, then at most the longest deadline plus grace_ms for each send of the calls in
 * flight, then, to fetch the records, grace_ms and at most RUN_RECORDS_TIMEOUT_MS. Returns 0, or -1
 * with err set if the run could not start.
 */
int run_plan(const struct plan *plan, struct run_result *result, struct error *err)
{
	struct run *run = calloc(1, sizeof(*run));
	uint64_t began_us = clock_monotonic_us();

	if (!run)
		return error_set(err, ERROR_MEMORY, "out of memory for the state of the run");
	run->plan = plan;
	run->result = result;
	ledger_init(&result->ledger, plan, clock_wall_us());
	result->ledger.executions_unchecked = plan->backend_count == 0;
	if (run_init(run, err) != 0) {
		free(run);
		return -1;
	}
	run_start(run);
	uv_run(run->loop, UV_RUN_DEFAULT);
	result->elapsed_us = clock_monotonic_us() - began_us;
	if (plan->backend_count > 0) {
		uv_timer_start(&run->settle_timer, on_settle_timer, plan->grace_ms, 0);
		uv_run(run->loop, UV_RUN_DEFAULT);
	}
	close(run->timer_fd);
	return 0;
}
