/*
 * Node stop: carries out a graceful stop, whose phases decide/stop.h defines.
 */
#include "fescuemilld/node/node_stop.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/node/node_events.h"

/* Records that this node was removed from the roster, or that the removal failed. */
static void on_roster_left(void *user)
{
	struct node *node = user;

	node->has_left = true;
}

/* Refuses new attempts from now on and announces that the node is leaving. */
static void refuse_attempts(struct node *node)
{
	gate_shell_drain(node->gate);
	gossip_set_leaving(node->gossip);
	registration_set_self(node->registration, gossip_self(node->gossip));
}

/* Returns the current counts that the stop waits for. */
static struct stop_view get_stop_view(const struct node *node)
{
	return (struct stop_view){
		.attempts = gate_shell_live_count(node->gate),
		.calls = entry_call_count(node->entry) + admin_shell_change_count(node->admin),
		.answers = gate_shell_record_count(node->gate),
		.connections = caller_connection_count(node->caller),
		.requests = caller_receiving_count(node->caller) + caller_call_count(node->caller),
		.has_left = node->has_left,
	};
}

static void carry_out(struct node *node, enum stop_action action, uint64_t now_us)
{
	switch (action) {
	case STOP_WAIT:
		break;
	case STOP_REFUSE_ATTEMPTS:
		refuse_attempts(node);
		break;
	case STOP_REFUSE_CALLS:
		break; /* node_refusal_reason() checks the phase of the stop */
	case STOP_END_CALLS:
		log_write(LOG_WARNING, LOG_PART_MAIN,
			  "The stop ends calls that are still in progress.", "calls=%u",
			  entry_call_count(node->entry));
		entry_end_calls(node->entry);
		break;
	case STOP_ANNOUNCE_LEAVING:
		gossip_leave(node->gossip, now_us);
		registration_leave(node->registration, on_roster_left, node);
		caller_stop_accepting(node->caller);
		break;
	case STOP_CLOSE_LISTENER:
		caller_stop_listening(node->caller);
		break;
	case STOP_END:
		node_apply_input(node, NODE_INPUT_IDLE);
		uv_stop(&node->loop);
		break;
	case STOP_TIMED_OUT:
		node->stop_was_aborted = true;
		uv_stop(&node->loop);
		break;
	}
}

/* Carries out the steps of the stop that are due. */
void node_stop_advance(struct node *node, uint64_t now_us)
{
	enum stop_action action;

	do {
		struct stop_view view = get_stop_view(node);

		action = stop_advance(&node->stop, &view, now_us);
		carry_out(node, action, now_us);
	} while (action != STOP_WAIT);
}

/* Starts a graceful stop: the node is not ready from now on. */
static void begin_stop(struct node *node)
{
	uint64_t now_us = clock_monotonic_us();

	log_write(LOG_INFO, LOG_PART_MAIN, "The node starts a graceful stop.",
		  "calls=%u attempts=%u", entry_call_count(node->entry),
		  gate_shell_live_count(node->gate));
	node_apply_input(node, NODE_INPUT_STOP);
	caller_drain(node->caller);
	stop_begin(&node->stop, node->settings.stop_serve_ms * USEC_PER_MSEC,
		   node->settings.stop_limit_ms * USEC_PER_MSEC, now_us);
	gate_set_end(gate_shell_admission(node->gate), stop_work_end_us(&node->stop));
	node_stop_advance(node, now_us);
}

/* Starts a graceful stop unless one is in progress. */
void node_on_drain(void *user)
{
	struct node *node = user;

	if (node->stop.phase == STOP_NONE)
		begin_stop(node);
}
