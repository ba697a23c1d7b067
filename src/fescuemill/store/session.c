/*
 * Session: list once, then watch from the version reached; exponential back-off with jitter after
 * failures; a token bucket over all calls.
 */
#include "fescuemill/store/session.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/chart/chart.h"

#include <string.h>

#define BURST_CALLS	   4.0
#define SECONDS_PER_MINUTE 60.0
#define BACKOFF_SHIFT_MAX  16U

/* Moves the session along its chart; an input that the present state does not take, as the late
 * end of a call that was given up, changes nothing. */
static void session_move(struct session *session, enum platform_session_input input)
{
	uint32_t next;

	if (chart_next(CHART_PLATFORM_SESSION, session->state, input, &next, NULL) == 0)
		session->state = next;
}

/* Starts a session that is off and has nothing. */
void session_init(struct session *session, const struct session_limits *limits, uint64_t seed,
		  uint64_t now_us)
{
	memset(session, 0, sizeof(*session));
	session->limits = *limits;
	session->state = PLATFORM_SESSION_UNKNOWN;
	session->list_needed = true;
	session->tokens = BURST_CALLS;
	session->tokens_at_us = now_us;
	random_seed(&session->rng, seed);
}

/* Switches the session on or off; a call that runs is not affected. */
void session_set_on(struct session *session, bool on)
{
	if (on && !session->on)
		session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session->on = on;
}

/* Asks at once for everything that is new, without waiting for a back-off's end or for the call
 * that runs, whose answer no longer counts. */
void session_refresh(struct session *session)
{
	session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session->in_call = false;
	session->failures = 0;
	session->not_before_us = 0;
}

/* Takes that the history after the version reached is gone: only a list tells what exists now. The
 * list waits a little, so that all followers do not ask at once. */
void session_forgotten(struct session *session, uint64_t now_us)
{
	session->list_needed = true;
	session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session_put_off(session, now_us);
	session->failures = 0;
}

static void fill_tokens(struct session *session, uint64_t now_us)
{
	double rate = session->limits.calls_per_minute / SECONDS_PER_MINUTE / USEC_PER_SEC;

	if (now_us > session->tokens_at_us)
		session->tokens += (double)(now_us - session->tokens_at_us) * rate;
	if (session->tokens > BURST_CALLS)
		session->tokens = BURST_CALLS;
	session->tokens_at_us = now_us;
}

/* Gives the time from now_us at which the bucket holds one call. */
static uint64_t token_wait_us(const struct session *session)
{
	double rate = session->limits.calls_per_minute / SECONDS_PER_MINUTE / USEC_PER_SEC;

	return rate > 0 ? (uint64_t)((1.0 - session->tokens) / rate) + 1 : USEC_PER_SEC;
}

/* Decides the next call. The caller starts it and reports its end by session_succeeded() or
 * session_failed(). */
struct session_action session_next(struct session *session, uint64_t now_us)
{
	struct session_action action = {.type = SESSION_DO_NOTHING};

	if (session->in_call || !session->on)
		return action;
	fill_tokens(session, now_us);
	if (now_us < session->not_before_us || session->tokens < 1.0) {
		action.type = SESSION_DO_WAIT;
		action.over_budget = now_us >= session->not_before_us;
		action.wait_until_us = action.over_budget ? now_us + token_wait_us(session)
							  : session->not_before_us;
		return action;
	}
	session->tokens -= 1.0;
	session->in_call = true;
	session_move(session, PLATFORM_SESSION_INPUT_RETRY);
	action.type = session->list_needed ? SESSION_DO_LIST : SESSION_DO_WATCH;
	action.after = session->list_needed ? 0 : session->version;
	action.wait_ms = session->state == PLATFORM_SESSION_CURRENT ? session->limits.watch_ms : 0;
	return action;
}

/* Takes the end of a call that was answered; version is the store's. */
void session_succeeded(struct session *session, uint64_t version)
{
	session->in_call = false;
	session->failures = 0;
	session->not_before_us = 0;
	session_move(session, PLATFORM_SESSION_INPUT_ANSWERED);
	/* A store that went back was replaced: only a list tells what it holds. */
	session->list_needed = !session->list_needed && version < session->version;
	if (session->list_needed)
		session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session->version = version;
}

/* Gives the wait after a number of earlier failures in a row: doubled each time up to a limit, the
 * upper half of it at random, so that many nodes do not return at the same moment. */
uint64_t session_backoff_us(const struct session_limits *limits, uint32_t failures,
			    struct random *rng)
{
	uint32_t shift = failures < BACKOFF_SHIFT_MAX ? failures : BACKOFF_SHIFT_MAX;
	uint64_t wait = limits->backoff_first_us << shift;

	if (wait > limits->backoff_highest_us)
		wait = limits->backoff_highest_us;
	return wait / 2 + (uint64_t)(random_unit(rng) * (double)wait / 2);
}

/* Takes the end of a call that was not sent and has to be made later; what is known stays known. */
void session_put_off(struct session *session, uint64_t now_us)
{
	uint64_t backoff = session_backoff_us(&session->limits, session->failures, &session->rng);

	session->in_call = false;
	session->failures++;
	session->not_before_us = now_us + backoff;
}

/* Takes the end of a call that failed or whose answer was not understood. */
void session_failed(struct session *session, uint64_t now_us)
{
	session_move(session, PLATFORM_SESSION_INPUT_FAILED);
	session_put_off(session, now_us);
}

/* Gives the limits of a session: the failure domain's calls are shared by the nodes that may call
 * at the same time and by the sessions of a node. */
struct session_limits session_limits_for(uint32_t domain_calls_per_minute, uint32_t sharing_nodes,
					 uint32_t watch_ms)
{
	uint32_t share =
		domain_calls_per_minute / (sharing_nodes ? sharing_nodes : 1) / SESSIONS_PER_NODE;

	return (struct session_limits){.backoff_first_us = SESSION_BACKOFF_FIRST_US,
				       .backoff_highest_us = SESSION_BACKOFF_HIGHEST_US,
				       .calls_per_minute = share ? share : 1,
				       .watch_ms = watch_ms};
}
