/*
 * Messages that the gate sends to entries. A reply that cannot be sent is not repeated by the gate:
 * the entry asks again over a new connection.
 */
#include "fescuemilld/gate/gate_reply.h"

#include "fescuemill/base/clock.h"
#include "fescuemill/base/counter.h"
#include "fescuemill/base/log.h"

/* Sends a message about an attempt to its entry: on the connection of the message being handled, or
 * else of the latest message about the attempt. */
static void send_reply(struct gate_shell *shell, const struct attempt_gate_action *action,
		       const struct origin *origin, struct message *msg)
{
	const struct gate_attempt *attempt = action->user;
	const struct channel_route *route = origin->route;
	struct error err;

	if (!route && attempt)
		route = &attempt->route;
	if (!route)
		return;
	msg->epoch = action->epoch;
	msg->id = action->id;
	if (channel_reply(shell->options.channel, route, msg, &err) != 0)
		log_failure(LOG_DEBUG, LOG_PART_GATE, "A reply could not be sent to its entry.",
			    &err);
}

/* Fills in how current this node's configuration is; nothing if the node does not know. */
static void get_proof(const struct gate_shell *shell, struct key_proof_item *out)
{
	if (shell->options.get_proof)
		shell->options.get_proof(shell->options.user, out);
}

/* Fills the fields that every answer message has. */
static void fill_answer(struct gate_shell *shell, const struct attempt_gate_action *action,
			struct message *msg)
{
	const struct gate_attempt *attempt = action->user;

	msg->type = MESSAGE_ANSWER;
	msg->answer.outcome = action->outcome;
	msg->answer.reason = action->reason;
	msg->answer.gate_incarnation = shell->options.incarnation;
	gate_get_load(&shell->admission, &msg->answer.load);
	msg->answer.notice = shell->notice;
	get_proof(shell, &msg->answer.proof);
	if (!attempt)
		return;
	msg->answer.server_us = attempt->answer.server_us;
	if (attempt->started_us)
		msg->answer.gate_queue_us = (uint32_t)(attempt->started_us - attempt->offered_us);
}

/* Returns true if a large answer may be sent now: on the bulk connection, to an entry that asked
 * for it and therefore knows how long it may take. */
static bool may_send_large(const struct attempt_gate_action *action, const struct origin *origin)
{
	return link_kind_of(action->epoch) == LINK_BULK && origin->msg &&
	       origin->msg->type == MESSAGE_ASK;
}

/* Sends the stored answer. If it is large and must wait, announces it by MESSAGE_HELD instead. */
void gate_reply_answer(struct gate_shell *shell, const struct attempt_gate_action *action,
		       const struct origin *origin)
{
	const struct gate_attempt *attempt = action->user;
	struct message msg = {0};

	if (attempt->answer.body.size > WIRE_SMALL_BODY_BYTES && !may_send_large(action, origin)) {
		msg.type = MESSAGE_HELD;
		msg.held.gate_incarnation = shell->options.incarnation;
		msg.held.body_size = attempt->answer.body.size;
	} else {
		fill_answer(shell, action, &msg);
		msg.answer.status = attempt->answer.status;
		msg.answer.headers = attempt->answer.headers;
		msg.answer.body = attempt->answer.body;
	}
	send_reply(shell, action, origin, &msg);
}

/* Sends an outcome without the backend server's answer. */
void gate_reply_outcome(struct gate_shell *shell, const struct attempt_gate_action *action,
			const struct origin *origin)
{
	struct message msg = {0};

	if (action->outcome == OUTCOME_NOT_RUN && !action->duplicate)
		counter_add(COUNTER_GATE_REFUSED, 1);
	if (action->reason == REASON_COLD && !action->duplicate)
		counter_add(COUNTER_GATE_REFUSED_COLD, 1);
	fill_answer(shell, action, &msg);
	send_reply(shell, action, origin, &msg);
}

/* Reports that the attempt waits or runs. */
void gate_reply_pending(struct gate_shell *shell, const struct attempt_gate_action *action,
			const struct origin *origin)
{
	struct message msg = {.type = MESSAGE_PENDING};

	send_reply(shell, action, origin, &msg);
}

/* Answers a ping with the gate's load. */
void gate_reply_pong(struct gate_shell *shell, const struct origin *origin)
{
	struct message msg = {.type = MESSAGE_PONG, .epoch = origin->msg->epoch};
	struct error err;

	msg.pong.gate_incarnation = shell->options.incarnation;
	gate_get_load(&shell->admission, &msg.pong.load);
	msg.pong.notice = shell->notice;
	get_proof(shell, &msg.pong.proof);
	budget_charge(shell->options.budget, BUDGET_HEARTBEAT_BYTES, false, clock_monotonic_us());
	if (channel_reply(shell->options.channel, origin->route, &msg, &err) != 0)
		log_failure(LOG_DEBUG, LOG_PART_GATE, "A pong could not be sent to its entry.",
			    &err);
}
