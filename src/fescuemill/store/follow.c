/*
 * Follow: carries out a session's decisions: starts its calls, hands the answers on, sleeps.
 */
#include "fescuemill/store/follow.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"
#include "fescuemill/chart/chart.h"

#include <stdlib.h>
#include <string.h>

#define NEWS_PAUSE_MS 250 /* an eighth of the 2 s within which a change is to be in force */

struct follow {
	struct platform *platform;
	struct session session;
	uv_timer_t timer;
	char kind[PLATFORM_NAME_BYTES];
	follow_batch_fn fn;
	void *user;
	struct follow_call *current; /* the call whose answer counts */
	uint32_t calls;		     /* that run, abandoned ones included */
	bool failing;
	bool closed;
	bool timer_gone;
};

struct follow_call {
	struct follow *follow;
	uint64_t from;
};

static void step(struct follow *follow);

static void free_when_done(struct follow *follow)
{
	if (follow->closed && follow->timer_gone && !follow->calls)
		free(follow);
}

static void on_timer(uv_timer_t *timer)
{
	step(timer->data);
}

/* Takes the failure of a call; an outage is logged once. A call that waits for the byte budget is
 * no failure of the platform. */
static void take_failure(struct follow *follow, const struct error *err)
{
	if (err->kind == ERROR_BUDGET) {
		log_write(LOG_INFO, LOG_PART_PLATFORM, "A call waits for the byte budget.",
			  "kind=%s failures=%u", follow->kind, follow->session.failures);
		session_put_off(&follow->session, clock_monotonic_us());
		return;
	}
	counter_add(COUNTER_PLATFORM_FAILURES, 1);
	if (!follow->session.list_needed && err->kind == ERROR_TIMEOUT)
		counter_add(COUNTER_PLATFORM_WATCHES_SILENT, 1);
	if (err->kind == ERROR_VERSION) {
		log_failure(LOG_INFO, LOG_PART_PLATFORM, "The history is gone; listing anew.", err);
		session_forgotten(&follow->session, clock_monotonic_us());
		return;
	}
	if (!follow->failing)
		log_failure(LOG_WARNING, LOG_PART_PLATFORM,
			    "Platform call failed; retrying with back-off.", err);
	follow->failing = true;
	session_failed(&follow->session, clock_monotonic_us());
}

static void take_answer(struct follow *follow, uint64_t from, const struct platform_result *result)
{
	if (follow->failing)
		log_write(LOG_INFO, LOG_PART_PLATFORM, "Platform answers again.", "kind=%s",
			  follow->kind);
	follow->failing = false;
	session_succeeded(&follow->session, result->version);
	follow->fn(follow->user, from, result->body, result->body_size);
}

static void on_done(void *user, const struct platform_result *result)
{
	struct follow_call *call = user;
	struct follow *follow = call->follow;
	bool counts = follow->current == call && !follow->closed;
	uint64_t from = call->from;

	free(call);
	follow->calls--;
	if (!counts) {
		free_when_done(follow);
		return;
	}
	follow->current = NULL;
	/* From the timer, so that an implementation that answers at once cannot recurse. After news
	 * there is a pause, so that changes in quick succession come with one answer. */
	uv_timer_start(&follow->timer, on_timer,
		       !result->err.kind && result->version > from ? NEWS_PAUSE_MS : 0, 0);
	if (result->err.kind)
		take_failure(follow, &result->err);
	else
		take_answer(follow, from, result);
}

static void start_call(struct follow *follow, const struct session_action *action)
{
	struct platform_request request = {
		.type = action->type == SESSION_DO_LIST ? PLATFORM_LIST : PLATFORM_WATCH,
		.kind = follow->kind,
		.version = action->after,
		.wait_ms = action->wait_ms,
		.can_wait = true,
	};
	struct follow_call *call = calloc(1, sizeof(*call));

	if (!call) {
		session_failed(&follow->session, clock_monotonic_us());
		uv_timer_start(&follow->timer, on_timer, 0, 0);
		return;
	}
	call->follow = follow;
	call->from = action->after;
	follow->current = call;
	follow->calls++;
	platform_start(follow->platform, &request, on_done, call);
}

static void wait_until(struct follow *follow, const struct session_action *action, uint64_t now_us)
{
	uint64_t wait_ms = (action->wait_until_us - now_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC;

	if (action->over_budget)
		counter_add(COUNTER_PLATFORM_BUDGET_WAITS, 1);
	uv_timer_start(&follow->timer, on_timer, wait_ms, 0);
}

/* Asks the session what to do next, and does it. */
static void step(struct follow *follow)
{
	uint64_t now_us = clock_monotonic_us();
	struct session_action action = session_next(&follow->session, now_us);

	switch (action.type) {
	case SESSION_DO_NOTHING:
		break;
	case SESSION_DO_LIST:
	case SESSION_DO_WATCH:
		start_call(follow, &action);
		break;
	case SESSION_DO_WAIT:
		wait_until(follow, &action, now_us);
		break;
	}
}

/* Opens a follow that is off. Errors: ERROR_MEMORY, those of charts_load(). */
int follow_open(struct follow **out, uv_loop_t *loop, struct platform *platform, const char *kind,
		const struct session_limits *limits, uint64_t seed, follow_batch_fn fn, void *user,
		struct error *err)
{
	struct follow *follow;

	if (charts_load(err) != 0)
		return -1;
	follow = calloc(1, sizeof(*follow));
	if (!follow)
		return error_set(err, ERROR_MEMORY, "no memory to follow %s", kind);
	follow->platform = platform;
	strncpy(follow->kind, kind, sizeof(follow->kind) - 1);
	follow->fn = fn;
	follow->user = user;
	session_init(&follow->session, limits, seed, clock_monotonic_us());
	uv_timer_init(loop, &follow->timer);
	follow->timer.data = follow;
	*out = follow;
	return 0;
}

/* Switches the follow on or off. */
void follow_set_on(struct follow *follow, bool on)
{
	if (on == follow->session.on)
		return;
	session_set_on(&follow->session, on);
	uv_timer_start(&follow->timer, on_timer, 0, 0);
}

/* Asks at once for everything that is new; the answer of a call that runs now is dropped, since it
 * may be older than this moment. */
void follow_refresh(struct follow *follow)
{
	follow->current = NULL;
	session_refresh(&follow->session);
	uv_timer_start(&follow->timer, on_timer, 0, 0);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct follow *follow = handle->data;

	follow->timer_gone = true;
	free_when_done(follow);
}

/* Ends a follow. Its memory is freed once the loop closed its timer and its call ended. */
void follow_close(struct follow *follow)
{
	if (!follow)
		return;
	follow->closed = true;
	follow->current = NULL;
	uv_close((uv_handle_t *)&follow->timer, on_timer_closed);
}
