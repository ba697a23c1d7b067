/*
 * Node stop: the phases of a graceful stop.
 */
#include "fescuemilld/node_stop.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/node_events.h"

/* Notes that this node is out of the roster, or that this could not be had. */
static void on_left(void *user)
{
	struct node *node = user;

	node->has_left = true;
}

/* Takes no new work from here on. */
static void stop_taking(struct node *node)
{
	gate_shell_drain(node->gate);
	gossip_set_leaving(node->gossip);
	keeper_set_self(node->keeper, gossip_self(node->gossip));
}

/* Gathers what the stop waits for. */
static struct stop_view look(const struct node *node)
{
	return (struct stop_view){
		.attempts = gate_shell_live_count(node->gate),
		.calls = entry_call_count(node->entry) + admin_shell_changes(node->admin),
		.answers = gate_shell_record_count(node->gate),
		.connections = caller_connections(node->caller),
		.requests = caller_receiving(node->caller) + caller_calls(node->caller),
		.has_left = node->has_left,
	};
}

/* Carries out what the stop says. */
static void act(struct node *node, enum stop_action action, uint64_t now_us)
{
	switch (action) {
	case STOP_WAIT:
		break;
	case STOP_REFUSE_ATTEMPTS:
		stop_taking(node);
		break;
	case STOP_REFUSE_CALLS:
		break; /* the phase says so, see node_refusal() */
	case STOP_ANNOUNCE_LEAVING:
		gossip_leave(node->gossip, now_us);
		keeper_leave(node->keeper, on_left, node);
		caller_stop_accepting(node->caller);
		break;
	case STOP_CLOSE_LISTENER:
		caller_stop_listening(node->caller);
		break;
	case STOP_END:
		node_move(node, NODE_INPUT_IDLE);
		uv_stop(&node->loop);
		break;
	case STOP_TIMED_OUT:
		node->was_cut = true;
		uv_stop(&node->loop);
		break;
	}
}

/* Takes a stop as far as it is due. */
void node_stop_advance(struct node *node, uint64_t now_us)
{
	enum stop_action action;

	do {
		struct stop_view view = look(node);

		action = stop_advance(&node->stop, &view, now_us);
		act(node, action, now_us);
	} while (action != STOP_WAIT);
}

/* Begins a graceful stop: the node is not ready from here on. */
static void begin(struct node *node)
{
	uint64_t now_us = clock_monotonic_us();

	log_write(LOG_INFO, LOG_PART_MAIN, "The node stops.", "calls=%u attempts=%u",
		  entry_call_count(node->entry), gate_shell_live_count(node->gate));
	node_move(node, NODE_INPUT_STOP);
	caller_drain(node->caller);
	stop_begin(&node->stop, node->settings.stop_serve_ms * USEC_PER_MSEC,
		   node->settings.stop_limit_ms * USEC_PER_MSEC, now_us);
	node_stop_advance(node, now_us);
}

/* Begins a stop, unless one is under way. */
void node_on_drain(void *user)
{
	struct node *node = user;

	if (node->stop.phase == STOP_NONE)
		begin(node);
}
