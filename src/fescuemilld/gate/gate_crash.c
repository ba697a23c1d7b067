/*
 * Gate crash: checks the backend server a few times after the connection of a running call was
 * lost, since the kernel may accept a connection for a process that is just ending.
 */
#include "fescuemilld/gate/gate_crash.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Connections of one process are lost within this time of each other. */
#define WINDOW_US (300 * USEC_PER_MSEC)

static const uint64_t check_after_ms[] = {0, 2, 40};

#define CHECKS ((uint32_t)(sizeof(check_after_ms) / sizeof(check_after_ms[0])))

struct connect_check {
	uv_tcp_t tcp;
	uv_connect_t request;
	struct gate_crash *crash; /* NULL once its result is not needed any more */
};

struct gate_crash {
	uv_timer_t timer; /* must be first: its close callback frees the whole */
	uv_loop_t *loop;
	gate_crash_fn on_end;
	void *user;
	struct endpoint to;
	struct connect_check *check; /* NULL unless one is in progress */
	uint32_t checks;	     /* made since the latest loss */
	uint32_t count;
	uint64_t lost_us; /* when a connection was last lost */
	uint64_t digests[CRASH_RUNS_MAX];
};

int gate_crash_open(struct gate_crash **out, uv_loop_t *loop, gate_crash_fn on_end, void *user,
		    struct error *err)
{
	struct gate_crash *crash = calloc(1, sizeof(*crash));

	if (!crash)
		return error_set(err, ERROR_MEMORY, "no memory to watch the backend server");
	crash->loop = loop;
	crash->on_end = on_end;
	crash->user = user;
	uv_timer_init(loop, &crash->timer);
	*out = crash;
	return 0;
}

/* Separates a check in progress, whose result is then ignored. */
static void drop_check(struct gate_crash *crash)
{
	if (crash->check)
		crash->check->crash = NULL;
	crash->check = NULL;
}

static void free_crash(uv_handle_t *handle)
{
	free(handle);
}

void gate_crash_close(struct gate_crash *crash)
{
	drop_check(crash);
	uv_close((uv_handle_t *)&crash->timer, free_crash);
}

/* Ends the checks; the calls that were lost do not count any more. */
static void clear(struct gate_crash *crash)
{
	drop_check(crash);
	uv_timer_stop(&crash->timer);
	crash->count = 0;
}

static void report_end(struct gate_crash *crash)
{
	uint32_t count = crash->count;
	uint64_t lost_us = crash->lost_us;

	clear(crash);
	if (count == 0)
		return;
	counter_add(COUNTER_BACKEND_ENDS, 1);
	counter_add(COUNTER_BACKEND_CUT_RUNS, count);
	log_write(LOG_WARNING, LOG_PART_GATE, "The backend server ended while it ran calls.",
		  "runs=%u since_loss_us=%llu", count,
		  (unsigned long long)(clock_monotonic_us() - lost_us));
	crash->on_end(crash->user, crash->digests, count);
}

static void schedule_check(struct gate_crash *crash);

static void free_check(uv_handle_t *handle)
{
	free(handle);
}

/* Handles the result of a check. A server that accepts connections at each check has not ended. */
static void on_check_done(uv_connect_t *request, int status)
{
	struct connect_check *check = request->data;
	struct gate_crash *crash = check->crash;

	uv_close((uv_handle_t *)&check->tcp, free_check);
	if (!crash)
		return;
	crash->check = NULL;
	if (status == UV_ECONNREFUSED)
		report_end(crash);
	else
		schedule_check(crash);
}

/* Opens a connection to the backend server. A check that cannot be made is left out. */
static void start_check(uv_timer_t *timer)
{
	struct gate_crash *crash = (struct gate_crash *)timer;
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct connect_check *check = calloc(1, sizeof(*check));

	crash->checks++;
	if (!check)
		return;
	addr.sin_addr.s_addr = htonl(crash->to.ip ? crash->to.ip : INADDR_LOOPBACK);
	addr.sin_port = htons(crash->to.port);
	check->crash = crash;
	check->request.data = check;
	uv_tcp_init(crash->loop, &check->tcp);
	crash->check = check;
	if (uv_tcp_connect(&check->request, &check->tcp, (const struct sockaddr *)&addr,
			   on_check_done) == 0)
		return;
	drop_check(crash);
	uv_close((uv_handle_t *)&check->tcp, free_check);
	schedule_check(crash);
}

/* Schedules the next check, or forgets the lost calls after the last one. */
static void schedule_check(struct gate_crash *crash)
{
	if (crash->checks < CHECKS)
		uv_timer_start(&crash->timer, start_check, check_after_ms[crash->checks], 0);
	else
		clear(crash);
}

void gate_crash_run_lost(struct gate_crash *crash, uint64_t digest, const struct endpoint *to)
{
	uint64_t now_us = clock_monotonic_us();

	if (to->port == 0)
		return;
	if (crash->count > 0 && now_us > crash->lost_us + WINDOW_US)
		clear(crash);
	crash->to = *to;
	crash->lost_us = now_us;
	if (crash->count < CRASH_RUNS_MAX)
		crash->digests[crash->count++] = digest;
	if (crash->check || uv_is_active((uv_handle_t *)&crash->timer))
		return;
	crash->checks = 0;
	schedule_check(crash);
}

void gate_crash_refused(struct gate_crash *crash)
{
	if (crash->count > 0 && clock_monotonic_us() <= crash->lost_us + WINDOW_US)
		report_end(crash);
}

void gate_crash_answered(struct gate_crash *crash, uint64_t started_us)
{
	if (crash->count > 0 && started_us > crash->lost_us)
		clear(crash);
}
