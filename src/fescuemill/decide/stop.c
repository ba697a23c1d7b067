/*
 * Stop: the phases of a graceful stop.
 */
#include "fescuemill/decide/stop.h"

/* What the phases from the goodbye on need, and the end of calls before them. */
#define LEAVING_US (STOP_HANDSHAKE_US + STOP_QUIET_US + 3 * STOP_STEP_US)
#define CALLS_US   (STOP_QUIET_US + LEAVING_US)

/* Goes on to a phase. */
static void enter_phase(struct stop *stop, enum stop_phase phase, uint64_t now_us)
{
	stop->phase = phase;
	stop->phase_since_us = now_us;
}

/* Tells whether only so much is left of the whole time. */
static bool is_left_only(const struct stop *stop, uint64_t needed_us, uint64_t now_us)
{
	return now_us + needed_us >= stop->since_us + stop->limit_us;
}

/* Begins a stop: serves on for serve_us first, and takes limit_us at most in all. */
void stop_begin(struct stop *stop, uint64_t serve_us, uint64_t limit_us, uint64_t now_us)
{
	stop->since_us = now_us;
	stop->serve_us = serve_us;
	stop->limit_us = limit_us;
	enter_phase(stop, STOP_SERVING, now_us);
}

/* Tells whether calls are refused from now on. What the backend server still runs may make calls of
 * its own through this node, and would fail with them. */
static bool may_refuse_calls(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	return view->attempts == 0 || is_left_only(stop, CALLS_US, now_us);
}

/* Tells whether the goodbye may be said. Who hears only of the goodbye cannot tell this node from
 * a dead one, so word of the stop goes ahead of it; and the last answers had better be taken. */
static bool may_say_goodbye(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (view->attempts + view->calls > 0)
		return false;
	if (is_left_only(stop, LEAVING_US, now_us))
		return true;
	if (now_us < stop->since_us + STOP_SPREAD_US)
		return false;
	return view->answers == 0 || now_us >= stop->phase_since_us + STOP_ACKS_US;
}

/* Tells whether no caller waits for an answer or is about to: all connections have ended, or those
 * left have been idle for a while. */
static bool is_quiet(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (view->connections == 0)
		return true;
	return view->requests == 0 && now_us >= stop->phase_since_us + STOP_QUIET_US &&
	       now_us >= stop->since_us + STOP_IDLE_US;
}

/* Tells whether the goodbye has had its time. */
static bool has_left(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	uint64_t least_us = view->has_left ? STOP_GOODBYE_US : STOP_ROSTER_US;

	return now_us >= stop->goodbye_us + least_us;
}

/* Ends the stop, or its last phase at the limit. */
static enum stop_action end(struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	enter_phase(stop, STOP_ENDED, now_us);
	return view->attempts + view->calls + view->requests > 0 ? STOP_CUT_OFF : STOP_END;
}

/* Takes a stop one phase further when it is due, or ends it when its time is up. */
enum stop_action stop_advance(struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (stop->phase == STOP_NONE || stop->phase == STOP_ENDED)
		return STOP_WAIT;
	if (is_left_only(stop, 0, now_us))
		return end(stop, view, now_us);
	switch (stop->phase) {
	case STOP_SERVING:
		if (now_us < stop->phase_since_us + stop->serve_us)
			return STOP_WAIT;
		enter_phase(stop, STOP_FINISHING, now_us);
		return STOP_TAKE_NO_WORK;
	case STOP_FINISHING:
		if (!may_refuse_calls(stop, view, now_us))
			return STOP_WAIT;
		enter_phase(stop, STOP_ACKED, now_us);
		return STOP_REFUSE_CALLS;
	case STOP_ACKED:
		if (!may_say_goodbye(stop, view, now_us))
			return STOP_WAIT;
		enter_phase(stop, STOP_HANDSHAKES, now_us);
		stop->goodbye_us = now_us;
		return STOP_SAY_GOODBYE;
	case STOP_HANDSHAKES:
		if (now_us < stop->phase_since_us + STOP_HANDSHAKE_US)
			return STOP_WAIT;
		enter_phase(stop, STOP_CLOSING, now_us);
		return STOP_LISTEN_NO_MORE;
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
