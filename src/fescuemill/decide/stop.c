/*
 * Stop: the phases of a graceful stop.
 */
#include "fescuemill/decide/stop.h"

/* What the phases from the closing of the listener on need, and those from the goodbye on. */
#define CLOSING_US    (STOP_IDLE_US + 2 * STOP_STEP_US)
#define HANDSHAKES_US (STOP_HANDSHAKE_US + STOP_STEP_US + CLOSING_US)
#define LEAVING_US    (STOP_GOODBYE_US + STOP_STEP_US + HANDSHAKES_US)

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

/* Tells whether the goodbye may be said. Who hears only of the goodbye cannot tell this node from
 * a dead one, so word of the stop goes ahead of it; and the last answers had better be taken. */
static bool may_say_goodbye(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (is_left_only(stop, LEAVING_US, now_us))
		return true;
	if (now_us < stop->since_us + STOP_SPREAD_US)
		return false;
	return view->answers == 0 || now_us >= stop->phase_since_us + STOP_ACKS_US;
}

/* Tells whether the goodbye has had its time. */
static bool has_left(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (is_left_only(stop, HANDSHAKES_US, now_us))
		return true;
	return view->has_left && now_us >= stop->phase_since_us + STOP_GOODBYE_US;
}

/* Tells whether no caller waits for an answer or is about to: all connections have ended, or those
 * left have been idle for a while. */
static bool is_quiet(const struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	if (view->connections == 0)
		return true;
	return view->requests == 0 && now_us >= stop->phase_since_us + STOP_IDLE_US;
}

/* Ends the stop, or its last phase at the limit. */
static enum stop_action end(struct stop *stop, const struct stop_view *view, uint64_t now_us)
{
	enter_phase(stop, STOP_ENDED, now_us);
	return view->work > 0 || view->requests > 0 ? STOP_CUT_OFF : STOP_END;
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
		if (view->work > 0)
			return STOP_WAIT;
		enter_phase(stop, STOP_ACKED, now_us);
		return stop_advance(stop, view, now_us);
	case STOP_ACKED:
		if (!may_say_goodbye(stop, view, now_us))
			return STOP_WAIT;
		enter_phase(stop, STOP_LEAVING, now_us);
		return STOP_SAY_GOODBYE;
	case STOP_LEAVING:
		if (!has_left(stop, view, now_us))
			return STOP_WAIT;
		enter_phase(stop, STOP_HANDSHAKES, now_us);
		return STOP_ACCEPT_NO_MORE;
	case STOP_HANDSHAKES:
		if (now_us < stop->phase_since_us + STOP_HANDSHAKE_US)
			return STOP_WAIT;
		enter_phase(stop, STOP_CLOSING, now_us);
		return STOP_LISTEN_NO_MORE;
	case STOP_CLOSING:
		return is_quiet(stop, view, now_us) ? end(stop, view, now_us) : STOP_WAIT;
	case STOP_NONE:
	case STOP_ENDED:
		break;
	}
	return STOP_WAIT;
}
