// The gates of the simulated fleet: attempt tables, an admission that decides at random, and
// backend servers.
#ifndef FESCUEMILL_TEST_PROPERTY_ATTEMPT_GATES_H
#define FESCUEMILL_TEST_PROPERTY_ATTEMPT_GATES_H

#include "property/attempt_network.h"

namespace attempt_world
{
class Gates : public Network
{
      public:
	explicit Gates(uint32_t seed) : Network(seed)
	{
		for (auto &gate : gates)
			start(gate);
	}

	~Gates()
	{
		for (auto &gate : gates)
			attempt_gate_destroy(gate.table);
	}

      protected:
	void start(Gate &gate)
	{
		attempt_gate_settings settings = {gate.incarnation, RECORDS_MAX, LIVE_MAX,
						  ENTRIES,	    BYTES_MAX,	 MARGIN_US};
		error err;

		RC_ASSERT(attempt_gate_create(&gate.table, &settings, &err) == 0);
	}

	void gate_receive(const Frame &frame)
	{
		Gate &gate = gates[frame.gate];
		attempt_gate_event event = {};

		if (gate.dead || frame.process_incarnation != gate.incarnation)
			return;
		if (frame.type == MESSAGE_PING) {
			Frame pong = frame;

			pong.to_gate = false;
			pong.type = MESSAGE_PONG;
			send(pong);
			return;
		}
		event.id = frame.id;
		event.epoch = frame.epoch;
		switch (frame.type) {
		case MESSAGE_CALL:
			event.type = GATE_EVENT_CALL;
			event.call.gate_incarnation = frame.incarnation;
			event.call.time_left_us = frame.time_left_us;
			event.call.bytes = 100;
			break;
		case MESSAGE_ASK:
			event.type = GATE_EVENT_ASK;
			event.ask.gate_incarnation = frame.incarnation;
			break;
		case MESSAGE_CANCEL:
			event.type = GATE_EVENT_CANCEL;
			break;
		default:
			event.type = GATE_EVENT_ACK;
			break;
		}
		feed_gate(frame.gate, event);
	}

	void feed_gate(int number, const attempt_gate_event &event)
	{
		Gate &gate = gates[number];
		attempt_gate_actions actions;
		error err;

		do {
			if (attempt_gate_step(gate.table, &event, now, &actions, &err))
				RC_FAIL(std::string(err.detail));
			for (uint32_t i = 0; i < actions.count; i++)
				act_gate(number, actions.list[i]);
		} while (actions.more);
		RC_ASSERT(attempt_gate_record_count(gate.table) <= RECORDS_MAX);
		RC_ASSERT(attempt_gate_live_count(gate.table) <= LIVE_MAX);
		RC_ASSERT(attempt_gate_bytes(gate.table) <= BYTES_MAX);
	}

	void reply(int number, const attempt_gate_action &action, message_type type, int payload)
	{
		Frame frame = {};

		frame.entry = int(action.id.entry.node_id) - 100;
		frame.gate = number;
		frame.link = link_kind_of(action.epoch);
		frame.process_incarnation = gates[number].incarnation;
		frame.type = type;
		frame.epoch = action.epoch;
		frame.id = action.id;
		frame.outcome = action.outcome;
		frame.reason = action.reason;
		frame.payload = payload;
		send(frame);
	}

	void act_gate(int number, const attempt_gate_action &action)
	{
		Gate &gate = gates[number];

		switch (action.type) {
		case GATE_ACTION_OFFER:
			gate.waiting.push_back({action.id, now + below(20000)});
			break;
		case GATE_ACTION_START:
			start_run(gate, action);
			break;
		case GATE_ACTION_WITHDRAW:
			withdraw(gate, action.id);
			break;
		case GATE_ACTION_CANCEL_RUN:
			for (auto &run : gate.runs) {
				if (attempt_id_equal(&run.id, &action.id))
					run.due_us = now + below(5000);
			}
			break;
		case GATE_ACTION_REPLY_ANSWER:
			reply(number, action,
			      below(4) == 0 && link_kind_of(action.epoch) == LINK_CALLS
				      ? MESSAGE_HELD
				      : MESSAGE_ANSWER,
			      gate.answers[{action.id.entry.node_id, action.id.sequence}]);
			break;
		case GATE_ACTION_REPLY_OUTCOME:
			reply(number, action, MESSAGE_ANSWER, -1);
			break;
		case GATE_ACTION_REPLY_PENDING:
			reply(number, action, MESSAGE_PENDING, -1);
			break;
		case GATE_ACTION_RELEASE_ANSWER:
		case GATE_ACTION_FREE:
		case GATE_ACTION_DROP:
			break;
		}
	}

	void start_run(Gate &gate, const attempt_gate_action &action)
	{
		std::pair<uint64_t, uint64_t> key = {action.id.entry.node_id, action.id.sequence};
		int call = attempt_calls[key];
		bool shed = below(6) == 0;

		if (!shed) {
			RC_ASSERT(++attempt_runs[key] == 1);
			calls[call]->runs++;
		}
		gate.runs.push_back({call, now + below(30000), action.id, shed});
	}

	void withdraw(Gate &gate, const attempt_id &id)
	{
		for (size_t i = 0; i < gate.waiting.size(); i++) {
			if (!attempt_id_equal(&gate.waiting[i].id, &id))
				continue;
			gate.waiting.erase(gate.waiting.begin() + long(i));
			return;
		}
	}

	// Ticks one gate, decides on waiting attempts and ends runs that are due.
	void work(Gate &gate)
	{
		int number = int(&gate - gates);
		std::vector<Waiting> waiting = gate.waiting;
		std::vector<Run> runs = gate.runs;
		attempt_gate_event event = {};

		event.type = GATE_EVENT_TICK;
		feed_gate(number, event);
		for (auto &wait : waiting) {
			if (wait.due_us > now)
				continue;
			withdraw(gate, wait.id);
			event.id = wait.id;
			event.type = below(5) ? GATE_EVENT_ADMITTED : GATE_EVENT_REFUSED;
			event.refused.reason = REASON_OVERLOAD;
			feed_gate(number, event);
		}
		for (auto &run : runs) {
			if (run.due_us <= now)
				end_run(gate, run);
		}
	}

	void end_run(Gate &gate, const Run &run)
	{
		attempt_gate_event event = {};

		for (size_t i = 0; i < gate.runs.size(); i++) {
			if (attempt_id_equal(&gate.runs[i].id, &run.id)) {
				gate.runs.erase(gate.runs.begin() + long(i));
				break;
			}
		}
		event.type = GATE_EVENT_FINISHED;
		event.id = run.id;
		event.finished.outcome = run.shed	 ? OUTCOME_NOT_RUN
					 : below(8) == 0 ? OUTCOME_UNKNOWN
							 : OUTCOME_ANSWERED;
		event.finished.reason = run.shed ? REASON_SHED : REASON_NONE;
		event.finished.bytes = below(4) ? 200 : 8000;
		gate.answers[{run.id.entry.node_id, run.id.sequence}] = run.call;
		feed_gate(int(&gate - gates), event);
	}
};
} // namespace attempt_world

#endif
