// Simulated fleet of entries and gates, joined by a network that loses, delays, duplicates and
// reorders frames, with restarts, pauses and connections that go silent.
#ifndef FESCUEMILL_TEST_PROPERTY_ATTEMPT_WORLD_H
#define FESCUEMILL_TEST_PROPERTY_ATTEMPT_WORLD_H

#include "property/attempt_gates.h"

namespace attempt_world
{
class World : public Gates
{
      public:
	explicit World(uint32_t seed) : Gates(seed)
	{
		error err;

		for (auto &entry : entries) {
			retry_bucket_init(&entry.bucket, 100, 200);
			for (int g = 0; g < GATES; g++) {
				peer_init(&entry.links[g][LINK_CALLS], LINK_CALLS,
					  &entry.connections);
				peer_init(&entry.links[g][LINK_BULK], LINK_BULK,
					  &entry.connections);
			}
		}
		RC_ASSERT(charts_load(&err) == 0);
	}

	void apply(const Op &op)
	{
		Entry &entry = entries[op.a % ENTRIES];
		Gate &gate = gates[op.b % GATES];
		int link = op.c % LINK_KIND_COUNT;

		switch (op.kind) {
		case 0:
			for (uint32_t i = 0; i <= op.c % 4; i++)
				call(op.a % ENTRIES, op.b % 2 == 0, 5000 + op.c % 400000);
			break;
		case 1:
			run(now + op.c % 60000);
			break;
		case 2: // the connection goes silent; its frames may arrive much later
			entry.frozen[op.b % GATES][link] = true;
			for (auto &frame : frames) {
				if (frame.entry == int(op.a % ENTRIES) && frame.link == link &&
				    frame.gate == int(op.b % GATES))
					frame.due_us += 100000 + below(400000);
			}
			break;
		case 3:
			restart(op.b % GATES);
			break;
		case 4:
			entry.paused_until = now + op.c % 300000;
			break;
		case 5:
			gate.paused_until = now + op.c % 300000;
			break;
		case 6:
			if (!calls.empty())
				caller_gone(op.c % calls.size());
			break;
		case 7:
			gate.dead = op.c % 4 == 0;
			break;
		}
	}

	void run(uint64_t until)
	{
		for (; now < until; now += step_us)
			step();
	}

	// Runs until no attempt can be outstanding, then checks the invariants of the run.
	void finish()
	{
		for (auto &gate : gates)
			gate.dead = false;
		for (uint64_t end = now + 2000000; now < end && !open.empty();)
			run(now + STEP_US);
		step_us = 10 * STEP_US;
		run(now + 1000000);
		for (auto &call : calls) {
			RC_ASSERT(call->finishes == 1);
			RC_ASSERT(call->runs <= 1 || call->idempotent);
			RC_ASSERT(call->sends <= 1 + int(RETRY_BUDGET));
			if (call->outcome == OUTCOME_NOT_RUN)
				RC_ASSERT(call->runs == 0);
			if (call->outcome == OUTCOME_ANSWERED)
				RC_ASSERT(call->payload == index_of(*call));
		}
		for (auto &entry : entries)
			RC_ASSERT(entry.retries * 10 <= entry.firsts + 10);
		step_us = 100 * STEP_US; // only records are left, which expire
		run(now + 12000000);
		for (auto &gate : gates) {
			RC_ASSERT(attempt_gate_live_count(gate.table) == 0U);
			RC_ASSERT(attempt_gate_record_count(gate.table) == 0U);
			RC_ASSERT(attempt_gate_bytes(gate.table) == 0U);
		}
		RC_CLASSIFY(answered > 0, "some answered");
		RC_CLASSIFY(not_run > 0, "some not run");
		RC_CLASSIFY(unknown > 0, "some unknown");
	}

      private:
	int answered = 0, not_run = 0, unknown = 0;

	int index_of(const Call &call)
	{
		for (size_t i = 0; i < calls.size(); i++) {
			if (calls[i].get() == &call)
				return int(i);
		}
		return -1;
	}

	void restart(int number)
	{
		Gate &gate = gates[number];

		attempt_gate_destroy(gate.table);
		gate.incarnation++;
		gate.runs.clear();
		gate.waiting.clear();
		gate.answers.clear();
		start(gate);
		for (int e = 0; e < ENTRIES && below(2) == 0; e++) {
			for (int kind = 0; kind < LINK_KIND_COUNT; kind++)
				replace(e, number, kind);
		}
	}

	// Replaces a connection, and asks again for the attempts that were sent over it.
	void replace(int e, int g, int kind)
	{
		Entry &entry = entries[e];
		attempt_entry_event event = {};

		event.type = ENTRY_EVENT_LINK_REPLACED;
		event.link_replaced.epoch = peer_opened(&entry.links[g][kind], now);
		entry.link_incarnation[g][kind] = gates[g].incarnation;
		entry.frozen[g][kind] = false;
		for (size_t i = 0; i < calls.size(); i++) {
			if (calls[i]->entry == e &&
			    calls[i]->state.target.gate.node_id == uint64_t(g) + 1)
				feed(int(i), event);
		}
	}

	void call(int e, bool idempotent, uint64_t deadline_us)
	{
		auto call = std::make_unique<Call>();
		attempt_entry_settings settings = {
			now + deadline_us, 2000,  idempotent, false, true,
			RETRY_BUDGET,	   false, 0,	      0};
		attempt_entry_event event = {};

		attempt_entry_init(&call->state, &settings);
		call->entry = e;
		call->idempotent = idempotent;
		call->deadline_us = settings.deadline_us;
		open.push_back(int(calls.size()));
		calls.push_back(std::move(call));
		entries[e].firsts++;
		event.type = ENTRY_EVENT_START;
		feed(int(calls.size()) - 1, event);
	}

	void caller_gone(int number)
	{
		attempt_entry_event event = {};

		event.type = ENTRY_EVENT_CALLER_GONE;
		calls[number]->gone = true;
		feed(number, event);
	}

	Frame frame_to_gate(const Call &call, message_type type, const attempt_target &target)
	{
		Frame frame = {};
		int g = int(target.gate.node_id) - 1;
		int kind = link_kind_of(target.epoch);

		frame.entry = call.entry;
		frame.gate = g;
		frame.link = kind;
		frame.to_gate = true;
		frame.process_incarnation = entries[call.entry].link_incarnation[g][kind];
		frame.type = type;
		frame.epoch = target.epoch;
		frame.id = target.id;
		frame.incarnation = target.gate.incarnation;
		return frame;
	}

	// Feeds one event to a call and carries out the actions.
	void feed(int number, const attempt_entry_event &event)
	{
		Call &call = *calls[number];
		attempt_entry_actions actions;
		error err;

		if (attempt_entry_step(&call.state, &event, &entries[call.entry].bucket, now,
				       &actions, &err))
			RC_FAIL(std::string(err.detail));
		for (uint32_t i = 0; i < actions.count; i++)
			act(number, actions.list[i]);
	}

	void act(int number, const attempt_entry_action &action)
	{
		Call &call = *calls[number];
		Entry &entry = entries[call.entry];
		Frame frame;

		switch (action.type) {
		case ENTRY_ACTION_CHOOSE:
			choose(number);
			break;
		case ENTRY_ACTION_SEND_CALL:
			frame = frame_to_gate(call, MESSAGE_CALL, action.target);
			frame.time_left_us = action.time_left_us;
			entry.retries += call.sends++ > 0;
			peer_attempt_sent(&entry.links[frame.gate][frame.link], now);
			send(frame);
			break;
		case ENTRY_ACTION_SEND_ASK:
		case ENTRY_ACTION_ASK_BULK:
			send(frame_to_gate(call, MESSAGE_ASK, action.target));
			break;
		case ENTRY_ACTION_SEND_CANCEL:
			send(frame_to_gate(call, MESSAGE_CANCEL, action.target));
			break;
		case ENTRY_ACTION_SEND_ACK:
			if (action.target.epoch != 0)
				send(frame_to_gate(call, MESSAGE_ACK, action.target));
			break;
		case ENTRY_ACTION_FINISH:
			call.finishes++;
			open.erase(std::remove(open.begin(), open.end(), number), open.end());
			call.finished_us = now;
			call.outcome = action.outcome;
			answered += action.outcome == OUTCOME_ANSWERED;
			not_run += action.outcome == OUTCOME_NOT_RUN;
			unknown += action.outcome == OUTCOME_UNKNOWN;
			break;
		}
	}

	void choose(int number)
	{
		Call &call = *calls[number];
		Entry &entry = entries[call.entry];
		attempt_entry_event event = {};
		int g = int(below(GATES));
		int kind = int(below(LINK_KIND_COUNT));
		peer &link = entry.links[g][kind];

		if (below(30) == 0) {
			event.type = ENTRY_EVENT_NO_GATE;
			event.no_gate.reason = REASON_NO_BACKEND;
			feed(number, event);
			return;
		}
		if (peer_before_use(&link, &peer_default_settings, now) == PEER_REPLACE)
			replace(call.entry, g, kind);
		event.type = ENTRY_EVENT_CHOSEN;
		event.chosen.gate = {uint64_t(g) + 1, gates[g].incarnation};
		if (below(20) == 0 && event.chosen.gate.incarnation > 1)
			event.chosen.gate.incarnation--;
		event.chosen.id = {{uint64_t(call.entry) + 100, entry.incarnation},
				   ++entry.sequence};
		event.chosen.epoch = link.epoch;
		entry.calls[entry.sequence] = number;
		attempt_calls[{event.chosen.id.entry.node_id, entry.sequence}] = number;
		feed(number, event);
		if (below(25) == 0 && call.state.state == ENTRY_SENT &&
		    drop_unsent(event.chosen.id)) {
			event.type = ENTRY_EVENT_SEND_FAILED;
			feed(number, event);
		}
	}

	// Removes the frames of a call that was never written to the socket. Returns false if there
	// are none.
	bool drop_unsent(const attempt_id &id)
	{
		bool found = false;

		for (size_t i = frames.size(); i-- > 0;) {
			if (!attempt_id_equal(&frames[i].id, &id))
				continue;
			frames.erase(frames.begin() + long(i));
			found = true;
		}
		return found;
	}

	void step()
	{
		deliver();
		for (auto &gate : gates) {
			if (!gate.dead && gate.paused_until <= now)
				work(gate);
		}
		for (int e = 0; e < ENTRIES; e++) {
			if (entries[e].paused_until <= now)
				tick_entry(e);
		}
	}

	void deliver()
	{
		std::vector<Frame> due, later;

		for (auto &frame : frames) {
			bool waits = frame.to_gate ? gates[frame.gate].paused_until > now
						   : entries[frame.entry].paused_until > now;

			(frame.due_us <= now && !waits ? due : later).push_back(frame);
		}
		frames = later;
		std::shuffle(due.begin(), due.end(), rng);
		for (auto &frame : due) {
			if (frame.to_gate)
				gate_receive(frame);
			else
				entry_receive(frame);
		}
	}

	void entry_receive(const Frame &frame)
	{
		Entry &entry = entries[frame.entry];
		attempt_entry_event event = {};
		auto found = entry.calls.find(frame.id.sequence);

		if (frame.epoch == entry.links[frame.gate][frame.link].epoch)
			peer_message_received(&entry.links[frame.gate][frame.link], now);
		if (frame.type == MESSAGE_PONG || found == entry.calls.end())
			return;
		switch (frame.type) {
		case MESSAGE_ANSWER:
			event.type = ENTRY_EVENT_ANSWER;
			event.answer.id = frame.id;
			event.answer.outcome = frame.outcome;
			event.answer.reason = frame.reason;
			break;
		case MESSAGE_HELD:
			event.type = ENTRY_EVENT_HELD;
			event.about.id = frame.id;
			break;
		default:
			event.type = ENTRY_EVENT_PENDING;
			event.about.id = frame.id;
			break;
		}
		receive(found->second, event, frame);
	}

	void receive(int number, const attempt_entry_event &event, const Frame &frame)
	{
		Call &call = *calls[number];
		int before = call.finishes;

		feed(number, event);
		if (call.finishes > before && call.outcome == OUTCOME_ANSWERED)
			call.payload = frame.payload;
	}

	// Ticks the calls and the links of one entry.
	void tick_entry(int e)
	{
		attempt_entry_event event = {};

		event.type = ENTRY_EVENT_TICK;
		for (int i : std::vector<int>(open)) {
			if (calls[i]->entry != e || calls[i]->finishes != 0)
				continue;
			feed(i, event);
			RC_ASSERT(calls[i]->finishes == 1 || now < calls[i]->deadline_us);
		}
		for (int g = 0; g < GATES; g++) {
			for (int kind = 0; kind < LINK_KIND_COUNT; kind++)
				tick_link(e, g, kind);
		}
	}

	void tick_link(int e, int g, int kind)
	{
		peer &link = entries[e].links[g][kind];
		Frame ping = {};

		link.outstanding = 0;
		for (int i : open) {
			if (calls[i]->entry == e &&
			    calls[i]->state.target.gate.node_id == uint64_t(g) + 1)
				link.outstanding++;
		}
		switch (peer_tick(&link, &peer_default_settings, now)) {
		case PEER_REPLACE:
			if (below(4) == 0)
				gate_gone(e, g);
			replace(e, g, kind);
			break;
		case PEER_PING:
			ping.entry = e;
			ping.gate = g;
			ping.link = kind;
			ping.to_gate = true;
			ping.process_incarnation = entries[e].link_incarnation[g][kind];
			ping.epoch = link.epoch;
			ping.type = MESSAGE_PING;
			send(ping);
			break;
		case PEER_NOTHING:
			break;
		}
	}

	void gate_gone(int e, int g)
	{
		attempt_entry_event event = {};

		event.type = ENTRY_EVENT_GATE_GONE;
		for (size_t i = 0; i < calls.size(); i++) {
			if (calls[i]->entry == e &&
			    calls[i]->state.target.gate.node_id == uint64_t(g) + 1)
				feed(int(i), event);
		}
	}
};
} // namespace attempt_world

#endif
