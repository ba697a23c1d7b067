// Property test of the limit on a cold backend server: whatever the interleaving of calls, ends of
// calls, heartbeats, health checks and restarts, no second holds more starts than the bound.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/gate.h"
}

namespace
{
constexpr uint64_t START_US = 50 * USEC_PER_SEC;
constexpr uint32_t SLOTS = 6;

enum Op {
	OP_CALLS,     // a run of calls, 0 to 4 each millisecond
	OP_IDLE,      // no calls for a while
	OP_TURN_COLD, // the server becomes cold while it runs
	OP_RESTART,   // the server is started again, cold
	OP_GATE_RESTART,
	OP_FAIL_CHECK, // the next health check is not answered
	OP_COUNT,
};

struct Command {
	uint32_t op;
	uint32_t ms;
	uint32_t calls;
	uint32_t value;
};

struct Heartbeat {
	uint64_t arrival_us;
	struct cold_heartbeat says;
};

// A server with a truth of its own, and its gate.
class Model
{
      public:
	explicit Model(uint32_t rate_per_s) : rate_per_s(rate_per_s)
	{
		start_gate();
	}

	void run(const Command &command)
	{
		switch (command.op % OP_COUNT) {
		case OP_CALLS:
			advance(command.ms, command.calls, command.value);
			break;
		case OP_IDLE:
			advance(command.ms, 0, 0);
			break;
		case OP_TURN_COLD:
			turn_cold(command.ms * 10);
			advance(30, command.calls, command.value);
			break;
		case OP_RESTART:
			restart_server(command.ms * 10);
			break;
		case OP_GATE_RESTART:
			// A process takes this long to start; its calls end with it.
			advance(50, 0, 0);
			running.clear();
			start_gate();
			break;
		case OP_FAIL_CHECK:
			fails_check = true;
			advance(30, command.calls, command.value);
			break;
		}
	}

	// Checks every second in which the server was cold throughout the counted starts.
	void check() const
	{
		std::deque<uint64_t> window;

		for (uint64_t at_us : cold_starts) {
			window.push_back(at_us);
			while (window.front() + USEC_PER_SEC <= at_us)
				window.pop_front();
			RC_ASSERT(window.size() <= rate_per_s * 3 / 2 + 8);
		}
	}

      private:
	void start_gate()
	{
		struct service_config config = {};

		snprintf(config.service, sizeof(config.service), "ledger");
		config.version = 1;
		config.class_count = 2;
		for (uint32_t i = 0; i < 2; i++) {
			snprintf(config.classes[i].name, sizeof(config.classes[i].name), "c%u", i);
			config.classes[i].rank = i;
			config.classes[i].latency_us = 300000;
			config.classes[i].percentile_x10 = 990;
			config.classes[i].calls_per_s = CLASS_CALLS_PER_S_UNSET;
		}
		tickets.clear();
		running.clear();
		check_arrival_us = 0;
		gate_init(&gate, now_us);
		cold_configure(&gate.cold, rate_per_s * 1000, 10000, now_us);
		gate.slowdown.is_enabled = true;
		gate_set_config(&gate, &config, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, SLOTS, now_us, &actions);
	}

	void turn_cold(uint32_t left_ms)
	{
		cold_until_us = std::max<uint64_t>(cold_until_us, now_us + left_ms * USEC_PER_MSEC);
	}

	// Open calls and health checks are lost. The next announcement comes at once, but may be
	// slow.
	void restart_server(uint32_t left_ms)
	{
		started_ms++;
		sequence = 0;
		turn_cold(left_ms);
		for (gate_ticket *ticket : running) {
			gate_finish(&gate, ticket, GATE_RESULT_ERROR, now_us, &actions);
			apply();
		}
		running.clear();
		if (check_arrival_us)
			fails_check = true;
		send_heartbeat(20);
	}

	uint32_t left_ms() const
	{
		return cold_until_us > now_us ? (uint32_t)((cold_until_us - now_us + 999) / 1000)
					      : 0;
	}

	void send_heartbeat(uint32_t delay_ms)
	{
		beats.push_back({now_us + delay_ms * USEC_PER_MSEC,
				 {started_ms, started_ms, ++sequence, true, left_ms()}});
	}

	// Advances by steps of a millisecond.
	void advance(uint32_t ms, uint32_t calls_per_ms, uint32_t value)
	{
		for (uint32_t i = 0; i < ms; i++) {
			now_us += USEC_PER_MSEC;
			deliver();
			finish();
			if (now_us % GATE_TICK_INTERVAL_US == 0) {
				gate_tick(&gate, now_us, &actions);
				apply();
			}
			for (uint32_t n = 0; n < calls_per_ms; n++)
				offer(value + n);
			check_health(value);
			if (now_us % USEC_PER_SEC == 0)
				send_heartbeat((value * 37 + i) % 3000); // up to 3 s late
		}
	}

	void deliver()
	{
		for (size_t i = 0; i < beats.size();) {
			if (beats[i].arrival_us > now_us) {
				i++;
				continue;
			}
			cold_hear_heartbeat(&gate.cold, &beats[i].says, now_us);
			beats.erase(beats.begin() + (long)i);
		}
	}

	void check_health(uint32_t value)
	{
		if (check_arrival_us && now_us >= check_arrival_us) {
			check_arrival_us = 0;
			if (fails_check) {
				cold_probe_failed(&gate.cold, now_us);
				gate_slowdown_unknown(&gate, now_us, &actions);
			} else {
				cold_hear_probe(&gate.cold, answered_left_ms, check_sent_us,
						now_us);
				gate_record_slowdown(&gate, 100, now_us, &actions);
			}
			fails_check = false;
			apply();
		}
		if (!check_arrival_us && gate_start_slowdown_probe(&gate, now_us)) {
			check_sent_us = now_us;
			check_arrival_us = now_us + (1 + value % 4) * USEC_PER_MSEC;
			answered_left_ms = left_ms(); // the answer may be old when it arrives
		}
	}

	void offer(uint32_t value)
	{
		auto ticket = std::make_unique<gate_ticket>();
		struct gate_ticket *offered = ticket.get();

		tickets.push_back(std::move(ticket));
		offered->has_wait_limit = value % 3 != 0;
		offered->wait_max_us = value % 50 * 1000;
		struct gate_verdict verdict =
			gate_offer(&gate, offered, value % 2, now_us + 500000, now_us, &actions);
		if (verdict.kind == GATE_START)
			started(offered);
		apply();
	}

	void started(struct gate_ticket *ticket)
	{
		running.push_back(ticket);
		if (cold_until_us > now_us)
			cold_starts.push_back(now_us);
	}

	void apply()
	{
		for (uint32_t i = 0; i < actions.count; i++) {
			if (actions.list[i].verdict.kind == GATE_START)
				started(actions.list[i].ticket);
		}
		actions.count = 0;
	}

	void finish()
	{
		while (!running.empty() && running.front()->start_us + 10000 <= now_us) {
			gate_ticket *ticket = running.front();

			running.pop_front();
			gate_finish(&gate, ticket, GATE_RESULT_OK, now_us, &actions);
			apply();
		}
	}

	uint32_t rate_per_s;
	struct gate gate = {};
	struct gate_actions actions = {};
	uint64_t now_us = START_US;
	uint64_t cold_until_us = 0;
	uint64_t started_ms = 1;
	uint64_t sequence = 0;
	bool fails_check = false;
	uint64_t check_sent_us = 0;
	uint64_t check_arrival_us = 0; // 0: none is on its way
	uint32_t answered_left_ms = 0;
	std::vector<Heartbeat> beats;
	std::vector<std::unique_ptr<gate_ticket>> tickets;
	std::deque<gate_ticket *> running;
	std::vector<uint64_t> cold_starts;
};

// Shows a command in a counterexample.
void showValue(const Command &command, std::ostream &out)
{
	out << "{" << command.op << "," << command.ms << "," << command.calls << ","
	    << command.value << "}";
}
} // namespace

namespace rc
{
template <> struct Arbitrary<Command> {
	static Gen<Command> arbitrary()
	{
		return gen::build<Command>(
			gen::set(&Command::op, gen::inRange<uint32_t>(0, OP_COUNT)),
			gen::set(&Command::ms, gen::inRange<uint32_t>(0, 800)),
			gen::set(&Command::calls, gen::inRange<uint32_t>(0, 4)),
			gen::set(&Command::value, gen::inRange<uint32_t>(0, 1000)));
	}
};
} // namespace rc

// Guards against more starts in a second than a cold server bears, for any order of events.
RC_GTEST_PROP(ColdProperty, NoSecondHoldsMoreStartsThanAColdServerBears, ())
{
	const auto rate = *rc::gen::inRange<uint32_t>(10, 200);
	const auto commands = *rc::gen::arbitrary<std::vector<Command>>();
	auto model = std::make_unique<Model>(rate);

	for (const Command &command : commands)
		model->run(command);
	model->check();
}
