/*
 * Stop: the phases of a graceful stop.
 */
#include "fescuemill/decide/stop.h"

/* Time needed from STOP_ANNOUNCE_LEAVING on, and from STOP_REFUSE_CALLS on. */
#define LEAVING_US (STOP_HANDSHAKE_US + STOP_QUIET_US + 3 * STOP_TICK_US)
#define CALLS_US   (STOP_QUIET_US + LEAVING_US)

static void enter_phase(struct stop *stop, enum stop_phase phase, uint64_t now_us)
{
	stop->phase = phase;
	stop->phase_since_us = now_us;
}

/* Returns true if no more than needed_us is left of the time limit. */
static bool time_left_at_most(const struct stop *stop, uint64_t needed_us, uint64_t now_us)
{
	return now_us + needed_us >= stop->since_us + stop->limit_us;
}

/* Begins a stop. The node serves for serve_us more; the whole stop takes limit_us at most. */
void stop_begin(struct stop *stop, uint64_t serve_us, uint64_t limit_us, uint64_t now_us)
{
	stop->since_us = now_us;
	stop->serve_us = serve_us;
	stop->limit_us = limit_us;
	stop->has_ended_calls = false;
	enter_phase(stop, STOP_SERVING, now_us);
}

/* Returns true if calls are to be refused from now on. Attempts that still run at the backend
 * server may make calls through this node, and would fail if those were refused. */
static bool may_refuse_calls(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	return view->attempts == 0 || time_left_at_most(stop, CALLS_US, now_us);
}

/* Returns the time at which calls and attempts should have ended, so that the phases after them
 * have their time. */
uint64_t stop_work_end_us(const struct stop *stop)
{
	uint64_t end_us = stop->since_us + stop->limit_us;

	return stop->limit_us > LEAVING_US ? end_us - LEAVING_US : stop->since_us;
}

/* Returns true if the entry may accept a new call that has time_left_us until its deadline. While
 * callers notice that the node is not ready, it accepts all calls. From then on it accepts those
 * whose deadline passes before the work must have ended, such as calls of what the backend server
 * still runs: the process would end before the answer to a longer one. */
bool stop_accepts_call(const struct stop *stop, uint64_t time_left_us, uint64_t now_us)
{
	switch (stop->phase) {
	case STOP_NONE:
	case STOP_SERVING:
		return true;
	case STOP_FINISHING:
		return now_us + time_left_us <= stop_work_end_us(stop);
	case STOP_AWAITING_ACKS:
	case STOP_HANDSHAKES:
	case STOP_CLOSING:
	case STOP_ENDED:
		break;
	}
	return false;
}

/* Returns true if calls are in progress for which no time is left: their connections would be
 * closed without an answer. */
static bool must_end_calls(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	return view->calls > 0 && !stop->has_ended_calls &&
	       time_left_at_most(stop, STOP_ANSWERS_US, now_us);
}

/* Returns true if the node may leave the roster and gossip now. A member that receives only the
 * leave message cannot tell this node from a dead one, so gossip about the stop gets time to spread
 * before it. The last answers should be acknowledged too, within STOP_ACKS_US. */
static bool may_announce_leaving(const struct stop *stop, const struct stop_view *view,
				 uint64_t now_us)
{
	if (view->attempts + view->calls > 0)
		return false;
	if (time_left_at_most(stop, LEAVING_US, now_us))
		return true;
	if (now_us < stop->since_us + STOP_GOSSIP_SPREAD_US)
		return false;
	return view->answers == 0 || now_us >= stop->phase_since_us + STOP_ACKS_US;
}

/* Returns true if no caller waits for an answer or is about to send a request: all connections are
 * closed, or those left have been idle long enough. */
static bool is_quiet(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (view->connections == 0)
		return true;
	return view->requests == 0 && now_us >= stop->phase_since_us + STOP_QUIET_US &&
	       now_us >= stop->since_us + STOP_IDLE_US;
}

/* Returns true if the leave message had time to reach the members, and the roster is updated or had
 * time to be. */
static bool has_left(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	uint64_t least_us = view->has_left ? STOP_LEAVE_GOSSIP_US : STOP_LEAVE_ROSTER_US;

	return now_us >= stop->announced_us + least_us;
}

/* Ends the stop, after its last phase or at the time limit. The stop has timed out if work is still
 * in progress. */
static enum stop_action end(struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	enter_phase(stop, STOP_ENDED, now_us);
	return view->attempts + view->calls + view->requests > 0 ? STOP_TIMED_OUT : STOP_END;
}

/* Advances the stop by one phase if the phase is over, or ends it at the time limit, and returns
 * what the caller must do. Call it again until it returns STOP_WAIT or the stop has ended. */
enum stop_action stop_advance(struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (stop->phase == STOP_NONE || stop->phase == STOP_ENDED)
		return STOP_WAIT;
	if (time_left_at_most(stop, 0, now_us))
		return end(stop, view, now_us);
	if (must_end_calls(stop, view, now_us)) {
		stop->has_ended_calls = true;
		return STOP_END_CALLS;
	}
	switch (stop->phase) {
	case STOP_SERVING:
		if (now_us < stop->phase_since_us + stop->serve_us)
			return STOP_WAIT;
		enter_phase(stop, STOP_FINISHING, now_us);
		return STOP_REFUSE_ATTEMPTS;
	case STOP_FINISHING:
		if (!may_refuse_calls(stop, view, now_us))
			return STOP_WAIT;
		enter_phase(stop, STOP_AWAITING_ACKS, now_us);
		return STOP_REFUSE_CALLS;
	case STOP_AWAITING_ACKS:
		if (!may_announce_leaving(stop, view, now_us))
			return STOP_WAIT;
		enter_phase(stop, STOP_HANDSHAKES, now_us);
		stop->announced_us = now_us;
		return STOP_ANNOUNCE_LEAVING;
	case STOP_HANDSHAKES:
		if (now_us < stop->phase_since_us + STOP_HANDSHAKE_US)
			return STOP_WAIT;
		enter_phase(stop, STOP_CLOSING, now_us);
		return STOP_CLOSE_LISTENER;
	case STOP_CLOSING:
		if (!is_quiet(stop, view, now_us) || !has_left(stop, view, now_us))
			return STOP_WAIT;
		return end(stop, view, now_us);
	case STOP_NONE:
	case STOP_ENDED:
		break;
	}
	return STOP_WAIT;
}
