// Property tests of the gate under random sequences of offers, cancels, floods and state changes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/gate.h"
}

namespace
{

constexpr uint32_t CLASSES = 6; // more than GATE_QUEUE_MAX / GATE_CLASS_QUEUE_MAX
constexpr uint32_t SLOTS = 6;
constexpr uint64_t SERVICE_US_MAX = 20000;
constexpr uint32_t DEADLINE_AFTER_US = 1000003; // result_of() returns GATE_RESULT_OK for it
// Upper bound of the lag behind a floor: twice the slack, plus the time of other classes' calls
// that run first.
constexpr uint64_t FLOOR_LAG_US_MAX = 2 * FLOOR_SLACK_US + (CLASSES + 3) * SERVICE_US_MAX;

enum class Fate {
	waiting,
	running,
	finished,
	refused,
	cancelled
};

struct Call {
	struct gate_ticket ticket = {};
	Fate fate = Fate::waiting;
	bool ahead = false; // started before more urgent in-profile work
	uint64_t service_us = 0;
	uint64_t end_us = 0;
	enum gate_result result = GATE_RESULT_OK;
};

struct Command {
	uint32_t op;
	uint32_t class_index;
	uint32_t count;
	uint32_t gap_us;
	uint32_t service_us;
	uint32_t deadline_after_us;
};

// Drives a gate and a simulated backend server with given service times. Checks the gate's state
// after every event.
class Driver
{
      public:
	explicit Driver(const struct service_config &config)
	{
		gate_init(&gate, now_us);
		gate_set_config(&gate, &config, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, SLOTS, now_us, &actions);
	}

	void run(const Command &command)
	{
		switch (command.op) {
		case 0:
		case 1:
		case 2:
		case 3:
			for (uint32_t i = 0; i < command.count; i++) {
				offer(command);
				advance(command.gap_us);
			}
			break;
		case 4:
			cancel(command.count);
			break;
		case 5:
			advance(command.gap_us * 100);
			break;
		case 6:
			set_backend(command.count);
			break;
		}
	}

	void finish_all()
	{
		gate_set_backend(&gate, BACKEND_DRAINING, SLOTS, now_us, &actions);
		apply_actions();
		advance(400 * SERVICE_US_MAX);
		for (const auto &call : calls)
			RC_ASSERT(call->fate != Fate::waiting && call->fate != Fate::running);
		RC_ASSERT(gate.in_use == 0U);
		RC_ASSERT(gate.queued == 0U);
		RC_ASSERT(gate.bypass_in_use == 0U);
	}

      private:
	// The calls of three out of eight commands fail.
	static enum gate_result result_of(const Command &command)
	{
		switch (command.deadline_after_us % 8) {
		case 0:
			return GATE_RESULT_SHED;
		case 1:
			return GATE_RESULT_ERROR;
		case 2:
			return GATE_RESULT_TIMEOUT;
		default:
			return GATE_RESULT_OK;
		}
	}

	void offer(const Command &command)
	{
		auto call = std::make_unique<Call>();
		uint64_t deadline_us = now_us + command.deadline_after_us;
		struct gate_verdict verdict;

		call->service_us = command.service_us;
		call->result = result_of(command);
		call->ticket.owner = call.get();
		verdict = gate_offer(&gate, &call->ticket, command.class_index, deadline_us, now_us,
				     &actions);
		if (verdict.kind == GATE_START)
			started(*call);
		else if (verdict.kind == GATE_REFUSE)
			call->fate = Fate::refused;
		live.push_back(call.get());
		calls.push_back(std::move(call));
		apply_actions();
	}

	void cancel(uint32_t pick)
	{
		if (live.empty())
			return;
		Call &call = *live[pick % live.size()];
		uint32_t held = gate.in_use + gate.queued;

		gate_cancel(&gate, &call.ticket, now_us, &actions);
		RC_ASSERT(gate.in_use + gate.queued < held);
		call.fate = Fate::cancelled;
		apply_actions();
	}

	void set_backend(uint32_t pick)
	{
		static const enum backend_state states[] = {BACKEND_READY, BACKEND_DRAINING,
							    BACKEND_LEAVING, BACKEND_STARTING};

		gate_set_backend(&gate, states[pick % 4], SLOTS, now_us, &actions);
		apply_actions();
		advance(SERVICE_US_MAX);
		gate_set_backend(&gate, BACKEND_READY, SLOTS, now_us, &actions);
		apply_actions();
	}

	// Advances time, finishes the attempts that end meanwhile and ticks the gate.
	void advance(uint64_t passed_us)
	{
		uint64_t until_us = now_us + passed_us;

		while (true) {
			Call *next = next_end();
			uint64_t at_us = std::min(until_us, tick_us);

			if (next && next->end_us <= at_us) {
				move_to(next->end_us);
				gate_finish(&gate, &next->ticket, next->result, now_us, &actions);
				next->fate = Fate::finished;
				running.erase(std::find(running.begin(), running.end(), next));
				apply_actions();
			} else if (tick_us <= until_us) {
				move_to(tick_us);
				tick_us += GATE_TICK_INTERVAL_US;
				gate_tick(&gate, now_us, &actions);
				apply_actions();
			} else {
				move_to(until_us);
				return;
			}
		}
	}

	Call *next_end()
	{
		Call *next = nullptr;

		running.erase(
			std::remove_if(running.begin(), running.end(),
				       [](Call *call) { return call->fate != Fate::running; }),
			running.end());
		for (Call *call : running) {
			if (!next || call->end_us < next->end_us)
				next = call;
		}
		return next;
	}

	// Advances time to at_us, with no event before, and checks that no class lags too far
	// behind its floor.
	void move_to(uint64_t at_us)
	{
		int64_t passed_us = (int64_t)(at_us - now_us);

		for (uint32_t i = 0; i < CLASSES; i++) {
			const struct gate_class &c = gate.classes[i];
			int64_t share = (int64_t)c.floor.share_micro;

			if (c.in_profile.count + c.out_of_profile.count == 0) {
				lag[i] = 0;
				share_most[i] = 0;
				continue;
			}
			share_most[i] = std::max(share_most[i], share);
			lag[i] += (share - (int64_t)(c.running * SLOT_MICRO)) * passed_us;
			lag[i] = std::max<int64_t>(lag[i], 0);
			RC_ASSERT(lag[i] <= share_most[i] * (int64_t)FLOOR_LAG_US_MAX);
		}
		now_us = at_us;
	}

	void started(Call &call)
	{
		call.fate = Fate::running;
		call.end_us = now_us + call.service_us;
		running.push_back(&call);
		check_order(call);
	}

	// Checks the order within a class. The ticket with the earliest due time starts, as long as
	// it has time to spare. Otherwise it is the one with the latest due time if that can still
	// be met, or else the earliest.
	void check_due(const struct gate_ticket &started)
	{
		const struct gate_class &c = gate.classes[started.class_index];
		uint64_t spare_us = now_us + c.service.recent_mean_us * GATE_DUE_MARGIN;
		uint64_t in_time_us = now_us + c.service.recent_mean_us;
		uint64_t earliest_us = UINT64_MAX;
		uint64_t latest_us = 0;

		for (const Call *other : live) {
			const struct gate_ticket &t = other->ticket;

			if (other->fate != Fate::waiting || t.state != TICKET_WAITING ||
			    !t.in_profile || t.class_index != started.class_index)
				continue;
			earliest_us = std::min(earliest_us, t.due_us);
			latest_us = std::max(latest_us, t.due_us);
		}
		if (started.due_us > earliest_us)
			RC_ASSERT(earliest_us < spare_us && started.due_us >= latest_us &&
				  started.due_us >= in_time_us);
		else if (started.due_us < latest_us)
			RC_ASSERT(started.due_us >= spare_us || latest_us < in_time_us);
	}

	// Checks that the attempts that bypassed more urgent in-profile work hold a bounded number
	// of slots.
	void check_order(Call &call)
	{
		uint32_t rank = gate.classes[call.ticket.class_index].target.rank;
		uint32_t ahead = 0;

		for (const Call *other : live) {
			const struct gate_ticket &t = other->ticket;
			uint32_t other_rank = gate.classes[t.class_index].target.rank;

			if (other->fate != Fate::waiting || t.state != TICKET_WAITING ||
			    !t.in_profile)
				continue;
			if (!call.ticket.in_profile || other_rank < rank)
				call.ahead = true;
		}
		if (call.ticket.in_profile)
			check_due(call.ticket);
		for (Call *other : running)
			ahead += other->fate == Fate::running && other->ahead;
		if (call.ahead)
			RC_ASSERT(ahead <= floor_bypass_slots_max(gate.limit.current));
	}

	void apply_actions()
	{
		for (uint32_t i = 0; i < actions.count; i++) {
			Call &call = *(Call *)actions.list[i].ticket->owner;

			RC_ASSERT(call.fate == Fate::waiting);
			if (actions.list[i].verdict.kind == GATE_START)
				started(call);
			else
				call.fate = Fate::refused;
		}
		actions.count = 0;
		check();
	}

	static bool is_over(const Call *call)
	{
		return call->fate != Fate::waiting && call->fate != Fate::running;
	}

	// Slots may be idle while work waits only if headroom blocks the work that is next in
	// order: the most urgent in-profile work, or else all waiting out-of-profile work.
	void check_idle_slots()
	{
		uint32_t best_rank = UINT32_MAX;
		bool kept_free = false;

		if (gate.in_use >= gate.limit.current || gate.queued == 0)
			return;
		RC_ASSERT(gate.limit.current - gate.in_use <= gate.headroom);
		for (const Call *call : live) {
			const struct gate_class &c = gate.classes[call->ticket.class_index];

			if (call->fate == Fate::waiting && call->ticket.in_profile)
				best_rank = std::min(best_rank, c.target.rank);
		}
		for (const Call *call : live) {
			const struct gate_class &c = gate.classes[call->ticket.class_index];

			if (call->fate != Fate::waiting)
				continue;
			if (best_rank == UINT32_MAX)
				RC_ASSERT(c.leaves_headroom);
			else if (call->ticket.in_profile && c.target.rank == best_rank)
				kept_free = kept_free || c.leaves_headroom;
		}
		RC_ASSERT(kept_free || best_rank == UINT32_MAX);
	}

	void check()
	{
		uint32_t waits[CLASSES] = {};
		uint32_t total = 0;
		uint32_t runs = 0;

		live.erase(std::remove_if(live.begin(), live.end(), is_over), live.end());
		for (const Call *call : live) {
			runs += call->fate == Fate::running;
			if (call->fate != Fate::waiting)
				continue;
			waits[call->ticket.class_index]++;
			total++;
		}
		for (uint32_t count : waits)
			RC_ASSERT(count <= (uint32_t)GATE_CLASS_QUEUE_MAX);
		RC_ASSERT(total <= (uint32_t)GATE_QUEUE_MAX);
		RC_ASSERT(total == gate.queued);
		RC_ASSERT(runs == gate.in_use);
		RC_ASSERT(gate.limit.current >= 1U);
		RC_ASSERT(gate.limit.current <= SLOTS);
		check_idle_slots();
	}

	struct gate gate;
	struct gate_actions actions;
	uint64_t now_us = USEC_PER_SEC;
	uint64_t tick_us = USEC_PER_SEC;
	std::vector<std::unique_ptr<Call>> calls;
	std::vector<Call *> live;
	std::vector<Call *> running;
	// Of each class with waiting work: its lag behind the floor in 1e-6 slots * us, and the
	// largest share that the floor had meanwhile in 1e-6 slots.
	int64_t lag[CLASSES] = {};
	int64_t share_most[CLASSES] = {};
};

rc::Gen<Command> arbitrary_command()
{
	return rc::gen::construct<Command>(
		rc::gen::inRange<uint32_t>(0, 7), rc::gen::inRange<uint32_t>(0, CLASSES),
		rc::gen::inRange<uint32_t>(1, 200), rc::gen::inRange<uint32_t>(1, 3000),
		rc::gen::inRange<uint32_t>(100, SERVICE_US_MAX),
		rc::gen::inRange<uint32_t>(1000, 1000000));
}

struct service_config arbitrary_config()
{
	struct service_config config = {"ledger", 1, CLASSES, {}};

	for (uint32_t i = 0; i < CLASSES; i++) {
		struct class_target &t = config.classes[i];

		snprintf(t.name, sizeof(t.name), "class-%u", i);
		t.rank = *rc::gen::inRange<uint32_t>(0, 4);
		t.latency_us = *rc::gen::inRange<uint32_t>(1000, 200000);
		t.percentile_x10 = 990;
		t.calls_per_s = *rc::gen::element<uint32_t>(0, 20, 200, 2000);
	}
	return config;
}

} // namespace

RC_GTEST_PROP(GateProperty, HoldsUnderAnySequence, ())
{
	auto commands = *rc::gen::container<std::vector<Command>>(arbitrary_command());
	Driver driver(arbitrary_config());

	for (const Command &command : commands)
		driver.run(command);
	driver.finish_all();
}

// One urgent class offers more in-profile work than all slots can serve while another class waits.
RC_GTEST_PROP(GateProperty, KeepsFloorsUnderUrgentWorkInProfile, ())
{
	struct service_config config = arbitrary_config();
	uint32_t service_us = *rc::gen::inRange<uint32_t>(2000, SERVICE_US_MAX);

	config.classes[0].rank = 0;
	config.classes[0].calls_per_s = 5000;
	for (uint32_t i = 1; i < CLASSES; i++)
		config.classes[i].rank = i;
	Driver driver(config);
	for (uint32_t i = 0; i < 150; i++) {
		uint32_t other = *rc::gen::inRange<uint32_t>(1, CLASSES);

		driver.run({0, 0, 6, 200, service_us, DEADLINE_AFTER_US});
		driver.run({0, other, 1, 200, service_us, DEADLINE_AFTER_US});
	}
	driver.finish_all();
}

// All classes offer more in-profile work than fits into the queue of the gate.
RC_GTEST_PROP(GateProperty, KeepsQueueBoundsWhenAllClassesFlood, ())
{
	struct service_config config = arbitrary_config();
	uint32_t service_us = *rc::gen::inRange<uint32_t>(2000, SERVICE_US_MAX);

	for (uint32_t i = 0; i < CLASSES; i++)
		config.classes[i].calls_per_s = 5000;
	Driver driver(config);
	for (uint32_t i = 0; i < 20 * CLASSES; i++) {
		uint32_t count = *rc::gen::inRange<uint32_t>(1, 20);

		driver.run({0, i % CLASSES, count, 50, service_us, 100 * DEADLINE_AFTER_US});
	}
	driver.finish_all();
}
