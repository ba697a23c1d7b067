/*
 * Node stop: the phases of a graceful stop.
 */
#include "fescuemilld/node_stop.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/node_events.h"

#define SPREAD_US      (2 * USEC_PER_SEC) /* for word of the stop to reach the others */
#define LEAVE_GRACE_US (500 * USEC_PER_MSEC)
#define ACK_WAIT_US    (2 * USEC_PER_SEC)
#define HANDSHAKE_US   (200 * USEC_PER_MSEC) /* for connections that callers have begun */
#define IDLE_US	       (1 * USEC_PER_SEC)    /* for requests over connections that are open */

/* Goes on to the next phase of a stop. */
static void enter_phase(struct node *node, enum stop_phase phase, uint64_t now_us)
{
	node->stop_phase = phase;
	node->phase_since_us = now_us;
}

/* Notes that this node is out of the roster, or that this could not be had. */
static void on_left(void *user)
{
	struct node *node = user;

	if (node->stop_phase == STOP_LEAVING)
		enter_phase(node, STOP_LEFT, clock_monotonic_us());
}

/* Tells whether no caller waits for an answer or is about to: all connections have ended, or those
 * left have been idle for a while. */
static bool is_quiet(const struct node *node, uint64_t in_phase_us)
{
	if (caller_connections(node->caller) == 0)
		return true;
	return in_phase_us >= IDLE_US && caller_receiving(node->caller) == 0 &&
	       caller_calls(node->caller) == 0;
}

/* Takes no new work from here on. */
static void stop_taking(struct node *node, uint64_t now_us)
{
	enter_phase(node, STOP_FINISHING, now_us);
	gate_shell_drain(node->gate);
	gossip_set_leaving(node->gossip);
	keeper_set_self(node->keeper, gossip_self(node->gossip));
}

/* Takes a stop one phase further when it is due. */
void node_stop_advance(struct node *node, uint64_t now_us)
{
	uint64_t in_phase_us = now_us - node->phase_since_us;

	switch (node->stop_phase) {
	case STOP_SERVING:
		if (in_phase_us >= node->settings.stop_serve_ms * USEC_PER_MSEC)
			stop_taking(node, now_us);
		break;
	case STOP_FINISHING:
		if (entry_calls(node->entry) == 0 && gate_shell_live(node->gate) == 0 &&
		    admin_shell_changes(node->admin) == 0)
			enter_phase(node, STOP_ACKED, now_us);
		break;
	case STOP_ACKED:
		if (gate_shell_records(node->gate) > 0 && in_phase_us < ACK_WAIT_US)
			break;
		/* Who hears only of the goodbye cannot tell this node from a dead one, and would
		 * leave its keys without a home. */
		if (now_us < node->stop_since_us + SPREAD_US)
			break;
		enter_phase(node, STOP_LEAVING, now_us);
		gossip_leave(node->gossip, now_us);
		keeper_leave(node->keeper, on_left, node);
		break;
	case STOP_LEFT:
		if (in_phase_us < LEAVE_GRACE_US)
			break;
		enter_phase(node, STOP_HANDSHAKES, now_us);
		caller_stop_accepting(node->caller);
		break;
	case STOP_HANDSHAKES:
		if (in_phase_us < HANDSHAKE_US)
			break;
		enter_phase(node, STOP_CLOSING, now_us);
		caller_stop_listening(node->caller);
		break;
	case STOP_CLOSING:
		if (!is_quiet(node, in_phase_us))
			break;
		node_move(node, NODE_INPUT_IDLE);
		uv_stop(&node->loop);
		break;
	case STOP_NONE:
	case STOP_LEAVING:
		break;
	}
}

/* Ends a stop that takes too long. */
void node_stop_check_limit(struct node *node, uint64_t now_us)
{
	uint64_t limit_us = node->settings.stop_limit_ms * USEC_PER_MSEC;

	if (node->stop_phase == STOP_NONE || now_us < node->stop_since_us + limit_us)
		return;
	node->was_cut = true;
	uv_stop(&node->loop);
}

/* Begins a graceful stop: the node is not ready from here on. */
static void begin(struct node *node)
{
	uint64_t now_us = clock_monotonic_us();

	log_write(LOG_INFO, LOG_PART_MAIN, "The node stops.", "calls=%u attempts=%u",
		  entry_calls(node->entry), gate_shell_live(node->gate));
	node_move(node, NODE_INPUT_STOP);
	node->stop_since_us = now_us;
	caller_drain(node->caller);
	if (node->settings.stop_serve_ms > 0)
		enter_phase(node, STOP_SERVING, now_us);
	else
		stop_taking(node, now_us);
}

/* Begins a stop, unless one is under way. */
void node_on_drain(void *user)
{
	struct node *node = user;

	if (node->stop_phase == STOP_NONE)
		begin(node);
}
