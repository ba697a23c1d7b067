/*
 * Session: lists once, then watches from the latest version. Backs off exponentially with jitter
 * after failures. A token bucket limits the rate of all calls.
 */
#include "fescuemill/store/session.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/chart/chart.h"

#include <string.h>

#define BURST_CALLS	   4.0 /* size of the token bucket */
#define SECONDS_PER_MINUTE 60.0
#define BACKOFF_SHIFT_MAX  16U /* keeps the shifted back-off within 64 bits */

/* Moves the session along its chart. An input that the current state does not allow, such as the
 * late end of an abandoned call, changes nothing. */
static void session_move(struct session *session, enum platform_session_input input)
{
	uint32_t next;

	if (chart_next(CHART_PLATFORM_SESSION, session->state, input, &next, NULL) == 0)
		session->state = next;
}

/* Initializes a session that is disabled and needs a list. */
void session_init(struct session *session, const struct session_limits *limits, uint64_t seed,
		  uint64_t now_us)
{
	memset(session, 0, sizeof(*session));
	session->limits = *limits;
	session->state = PLATFORM_SESSION_UNKNOWN;
	session->list_needed = true;
	session->tokens = BURST_CALLS;
	session->tokens_refilled_us = now_us;
	random_seed(&session->rng, seed);
}

/* Enables or disables the session. A running call is not affected. The first call after enabling
 * returns at once, since the known objects may be outdated. */
void session_set_enabled(struct session *session, bool is_enabled)
{
	if (is_enabled && !session->is_enabled)
		session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session->is_enabled = is_enabled;
}

/* Makes the next call due at once, without waiting for the end of a back-off or of a running call.
 * The owner must ignore the answer of that call. The call budget still applies. */
void session_refresh(struct session *session)
{
	session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session->in_call = false;
	session->failures = 0;
	session->not_before_us = 0;
}

/* Records that the platform no longer has the changes since the latest version, so that the objects
 * must be listed again. The list is delayed by a back-off, so that not all nodes list at once. */
void session_history_lost(struct session *session, uint64_t now_us)
{
	session->list_needed = true;
	session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session->failures = 0;
	session_postpone(session, now_us);
	session->failures = 0;
}

/* Adds the tokens earned since the latest refill. */
static void refill_tokens(struct session *session, uint64_t now_us)
{
	double rate = session->limits.calls_per_minute / SECONDS_PER_MINUTE / USEC_PER_SEC;

	if (now_us > session->tokens_refilled_us)
		session->tokens += (double)(now_us - session->tokens_refilled_us) * rate;
	if (session->tokens > BURST_CALLS)
		session->tokens = BURST_CALLS;
	session->tokens_refilled_us = now_us;
}

/* Returns the time until the bucket holds one token. */
static uint64_t token_wait_us(const struct session *session)
{
	double rate = session->limits.calls_per_minute / SECONDS_PER_MINUTE / USEC_PER_SEC;

	return rate > 0 ? (uint64_t)((1.0 - session->tokens) / rate) + 1 : USEC_PER_SEC;
}

/* Decides the next action. The owner starts the call and reports its end with session_succeeded(),
 * session_failed(), session_postpone() or session_history_lost(). */
struct session_action session_next(struct session *session, uint64_t now_us)
{
	struct session_action action = {.type = SESSION_DO_NOTHING};

	if (session->in_call || !session->is_enabled)
		return action;
	refill_tokens(session, now_us);
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

/* Records that a call was answered at this version of the store. */
void session_succeeded(struct session *session, uint64_t version)
{
	session->in_call = false;
	session->failures = 0;
	session->not_before_us = 0;
	session_move(session, PLATFORM_SESSION_INPUT_ANSWERED);
	/* A store whose version decreased was replaced, so its objects must be listed again. */
	session->list_needed = !session->list_needed && version < session->version;
	if (session->list_needed)
		session_move(session, PLATFORM_SESSION_INPUT_OUTDATED);
	session->version = version;
}

/* Returns the back-off, in microseconds, after a number of earlier consecutive failures. It doubles
 * with each failure up to a maximum, and its upper half is random, so that many nodes do not retry
 * at the same time. */
uint64_t session_backoff_us(const struct session_limits *limits, uint32_t failures,
			    struct random *rng)
{
	uint32_t shift = failures < BACKOFF_SHIFT_MAX ? failures : BACKOFF_SHIFT_MAX;
	uint64_t wait = limits->backoff_initial_us << shift;

	if (wait > limits->backoff_max_us)
		wait = limits->backoff_max_us;
	return wait / 2 + (uint64_t)(random_unit(rng) * (double)wait / 2);
}

/* Records that a call was not sent and must be made later. The state stays as it is, since this
 * does not make the known objects outdated. */
void session_postpone(struct session *session, uint64_t now_us)
{
	uint64_t backoff = session_backoff_us(&session->limits, session->failures, &session->rng);

	session->in_call = false;
	session->failures++;
	session->not_before_us = now_us + backoff;
}

/* Records that a call failed or that its answer could not be parsed. */
void session_failed(struct session *session, uint64_t now_us)
{
	session_move(session, PLATFORM_SESSION_INPUT_FAILED);
	session_postpone(session, now_us);
}

/* Returns the limits of a session. The calls of a failure domain are divided among the nodes that
 * may call at the same time and the sessions of each node. At least one call a minute is allowed.
 */
struct session_limits session_limits_for(uint32_t domain_calls_per_minute, uint32_t sharing_nodes,
					 uint32_t watch_ms)
{
	uint32_t share =
		domain_calls_per_minute / (sharing_nodes ? sharing_nodes : 1) / SESSIONS_PER_NODE;

	return (struct session_limits){.backoff_initial_us = SESSION_BACKOFF_INITIAL_US,
				       .backoff_max_us = SESSION_BACKOFF_MAX_US,
				       .calls_per_minute = share ? share : 1,
				       .watch_ms = watch_ms};
}
