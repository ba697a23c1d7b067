// Property tests of fair room at a gate under random offers, ends, cancels and floods of customers.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/gate.h"
}

namespace
{
constexpr uint32_t SLOTS = 4;
constexpr uint32_t CLASSES = 4;

struct Command {
	uint32_t op;
	uint32_t class_index;
	uint32_t customer;
	uint32_t count;
	uint32_t gap_us;
	uint32_t service_us;
};

struct Call {
	struct gate_ticket ticket = {};
	uint64_t end_us = 0;
	uint32_t service_us = 0;
	char fate = 'w'; // w: waiting, r: running, f: finished, x: refused, c: cancelled
};

// Shows a command in a counterexample.
void showValue(const Command &command, std::ostream &out)
{
	out << "{" << command.op << "," << command.class_index << "," << command.customer << ","
	    << command.count << "," << command.gap_us << "," << command.service_us << "}";
}

// A gate under commands. Records the fate of each call in order.
class Driver
{
      public:
	explicit Driver(uint32_t calls_per_s)
	{
		struct service_config config = {};

		snprintf(config.service, sizeof(config.service), "ledger");
		config.version = 1;
		config.class_count = CLASSES;
		for (uint32_t i = 0; i < CLASSES; i++) {
			struct class_target &target = config.classes[i];

			snprintf(target.name, sizeof(target.name), "c%u", i);
			target.rank = i / 2; // two classes of each rank
			target.latency_us = 20000 * (i + 1);
			target.percentile_x10 = 990;
			target.calls_per_s = calls_per_s;
		}
		gate_init(&gate, now_us);
		gate_set_config(&gate, &config, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, SLOTS, now_us, &actions);
	}

	void run(const Command &command, uint64_t customer)
	{
		switch (command.op) {
		case 0:
		case 1:
		case 2:
			for (uint32_t i = 0; i < command.count; i++) {
				offer(command, customer);
				advance(command.gap_us);
			}
			break;
		case 3:
			advance(command.gap_us * 50ULL);
			break;
		case 4:
			cancel(command.count);
			break;
		}
		check_counts();
	}

	std::string fates() const
	{
		std::string text;

		for (const auto &call : calls)
			text += call->fate;
		return text;
	}

	void finish_all()
	{
		gate_set_backend(&gate, BACKEND_DRAINING, SLOTS, now_us, &actions);
		apply();
		advance(10 * USEC_PER_SEC);
		RC_ASSERT(gate.customers.live == 0U);
		RC_ASSERT(gate.in_use == 0U);
		RC_ASSERT(gate.queued == 0U);
	}

	// Counts the waiting and running calls with a customer, and that no slot is left unused.
	void check_counts()
	{
		uint32_t live = 0;
		uint32_t waiting = 0;

		for (const auto &call : calls) {
			bool is_live = call->fate == 'w' || call->fate == 'r';

			live += is_live && call->ticket.customer != 0;
			waiting += call->fate == 'w';
		}
		RC_ASSERT(gate.customers.live == live);
		RC_ASSERT(gate.customers.count <= (uint32_t)CUSTOMER_SHARE_MAX);
		RC_ASSERT(gate.queued == waiting);
		RC_ASSERT(gate.queued <= (uint32_t)GATE_QUEUE_MAX);
	}

	uint64_t slot_us_of(uint64_t customer) const
	{
		uint64_t sum = 0;

		for (const auto &call : calls) {
			if (call->ticket.customer == customer && call->fate == 'f')
				sum += call->service_us;
		}
		return sum;
	}

	struct gate gate = {};
	uint64_t now_us = 10 * USEC_PER_SEC;

      private:
	void offer(const Command &command, uint64_t customer)
	{
		auto owned = std::make_unique<Call>();
		Call *call = owned.get();

		calls.push_back(std::move(owned));
		call->ticket.owner = call;
		call->ticket.customer = customer;
		call->ticket.has_wait_limit = command.service_us % 2;
		call->ticket.wait_max_us = command.service_us * 3;
		call->service_us = command.service_us;
		struct gate_verdict verdict = gate_offer(&gate, &call->ticket, command.class_index,
							 now_us + 400000, now_us, &actions);
		if (verdict.kind == GATE_START)
			start(call);
		else if (verdict.kind == GATE_REFUSE)
			call->fate = 'x';
		apply();
	}

	void start(Call *call)
	{
		call->fate = 'r';
		call->end_us = now_us + call->service_us;
	}

	void apply()
	{
		for (uint32_t i = 0; i < actions.count; i++) {
			Call *call = static_cast<Call *>(actions.list[i].ticket->owner);

			RC_ASSERT(call->fate == 'w');
			if (actions.list[i].verdict.kind == GATE_START)
				start(call);
			else
				call->fate = 'x';
		}
		actions.count = 0;
	}

	void cancel(uint32_t pick)
	{
		if (calls.empty())
			return;
		Call *call = calls[pick % calls.size()].get();

		if (call->fate != 'w' && call->fate != 'r')
			return;
		call->fate = 'c';
		gate_cancel(&gate, &call->ticket, now_us, &actions);
		apply();
	}

	void advance(uint64_t passed_us)
	{
		uint64_t until_us = now_us + passed_us;

		while (true) {
			Call *next = nullptr;
			uint64_t tick_us =
				(now_us / GATE_TICK_INTERVAL_US + 1) * GATE_TICK_INTERVAL_US;

			for (const auto &call : calls) {
				if (call->fate == 'r' && (!next || call->end_us < next->end_us))
					next = call.get();
			}
			if (next && next->end_us <= std::min(until_us, tick_us)) {
				now_us = std::max<uint64_t>(now_us, next->end_us);
				next->fate = 'f';
				gate_finish(&gate, &next->ticket, GATE_RESULT_OK, now_us, &actions);
			} else if (tick_us <= until_us) {
				now_us = tick_us;
				gate_tick(&gate, now_us, &actions);
			} else {
				now_us = until_us;
				return;
			}
			apply();
		}
	}

	struct gate_actions actions = {};
	std::vector<std::unique_ptr<Call>> calls;
};
} // namespace

namespace rc
{
template <> struct Arbitrary<Command> {
	static Gen<Command> arbitrary()
	{
		return gen::build<Command>(
			gen::set(&Command::op, gen::inRange<uint32_t>(0, 5)),
			gen::set(&Command::class_index, gen::inRange<uint32_t>(0, CLASSES)),
			gen::set(&Command::customer, gen::inRange<uint32_t>(0, 100)),
			gen::set(&Command::count, gen::inRange<uint32_t>(0, 40)),
			gen::set(&Command::gap_us, gen::inRange<uint32_t>(0, 3000)),
			gen::set(&Command::service_us, gen::inRange<uint32_t>(1, 20000)));
	}
};
} // namespace rc

// Guards against calls that are lost or counted twice, and against state without a bound.
RC_GTEST_PROP(CustomerShareProperty, EachCallHasOneFateAndCountsStayRight, ())
{
	const auto commands = *rc::gen::arbitrary<std::vector<Command>>();
	const auto rate = *rc::gen::element<uint32_t>(CLASS_CALLS_PER_S_UNSET, 50);
	auto driver = std::make_unique<Driver>(rate);

	for (const Command &command : commands)
		driver->run(command, command.customer);
	driver->finish_all();
}

// Guards against another order or other refusals where nobody competes: the calls of one customer
// alone fare as calls without a customer do.
RC_GTEST_PROP(CustomerShareProperty, OneCustomerAloneFaresAsWithoutCustomers, ())
{
	const auto commands = *rc::gen::arbitrary<std::vector<Command>>();
	const auto rate = *rc::gen::element<uint32_t>(CLASS_CALLS_PER_S_UNSET, 50);
	auto named = std::make_unique<Driver>(rate);
	auto unnamed = std::make_unique<Driver>(rate);

	for (const Command &command : commands) {
		named->run(command, 7);
		unnamed->run(command, 0);
		RC_ASSERT(named->fates() == unnamed->fates());
	}
}

// Guards against a customer that gets more than another of the same rank while both always have
// calls, however many it sends and however long they take.
RC_GTEST_PROP(CustomerShareProperty, CustomersThatAlwaysHaveCallsGetEqualSlotTime, ())
{
	const auto many = *rc::gen::inRange<uint32_t>(2, 8);
	const auto service_us = *rc::gen::inRange<uint32_t>(2000, 10000);
	const auto other_us = *rc::gen::inRange<uint32_t>(2000, 10000);
	auto driver = std::make_unique<Driver>(CLASS_CALLS_PER_S_UNSET);

	for (uint32_t i = 0; i < 200; i++) {
		driver->run({0, 3, 0, many, 0, service_us}, 1);
		driver->run({0, 3, 0, 1, 0, other_us}, 2);
		driver->run({0, 3, 0, 1, 1000, other_us}, 2);
	}
	double first = (double)driver->slot_us_of(1);
	double second = (double)driver->slot_us_of(2);
	RC_ASSERT(first < second * 1.25);
	RC_ASSERT(second < first * 1.25);
}
