// Cost of decisions: prints nanoseconds and bytes for docs/CAPACITY.md. Sizes are asserted. Times
// are not, because they depend on the load of a shared machine.
#include <gtest/gtest.h>

#include <chrono>
#include <vector>

extern "C" {
#include "fescuemill/decide/attempt_entry.h"
#include "fescuemill/decide/attempt_gate_table.h"
#include "fescuemill/decide/choice.h"
}

namespace
{
constexpr uint64_t MEMORY_BYTES = 256ULL << 20; // memory limit of a node's control data

template <typename F> double ns_each(int count, F &&body)
{
	auto begin = std::chrono::steady_clock::now();

	for (int i = 0; i < count; i++)
		body(i);
	std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
	return spent.count() / count;
}

double choice_ns(choice_policy policy, uint32_t gates)
{
	choice_settings settings;
	std::vector<choice_member> members;
	struct choice *made;
	struct random rng;
	uint64_t now = 1;
	error err;

	choice_default_settings(&settings);
	settings.policy = policy;
	settings.gates_per_domain = CHOICE_GATES_MAX;
	EXPECT_EQ(0, choice_create(&made, &settings, &err));
	for (uint32_t i = 0; i < gates; i++) {
		uint32_t domain = i % 17;
		uint8_t distance = domain == 0	? DISTANCE_SAME_DOMAIN
				   : domain < 4 ? DISTANCE_SAME_REGION
						: DISTANCE_OTHER_REGION;

		members.push_back({{i + 1, 1}, domain, 6, distance, true, 0, false});
	}
	EXPECT_EQ(0, choice_set_members(made, members.data(), gates, &err));
	random_seed(&rng, 7);
	double ns = ns_each(200000, [&](int) {
		choice_query query = {nullptr, 0, 0, 0, nullptr, 0};
		choice_result result = {};
		choice_selection picked = {};

		now += 1000;
		choice_pick(made, &query, &rng, now, &picked);
		choice_record_sent(made, picked.gate.node_id, now);
		result.has_load = true;
		result.load = {3, 6, 1, 5000, 0, 2, 0, 0, false, 0};
		result.elapsed_us = 6000;
		result.server_us = 5000;
		choice_record_result(made, picked.gate.node_id, &result, now);
	});
	choice_destroy(made);
	return ns;
}

double gate_attempt_ns()
{
	attempt_gate_settings settings = {1, 8192, 4096, 4096, 1ULL << 30, 1000000};
	attempt_gate_actions out;
	attempt_gate *gate;
	error err;

	EXPECT_EQ(0, attempt_gate_create(&gate, &settings, &err));
	double ns = ns_each(200000, [&](int i) {
		attempt_gate_event event = {};
		uint64_t now = uint64_t(i) * 10;

		event.id = {{1 + uint64_t(i) % 3100, 1}, uint64_t(i) + 1};
		event.epoch = link_epoch(LINK_CALLS, 1);
		event.call.gate_incarnation = 1;
		event.call.time_left_us = 1000000;
		for (auto type :
		     {GATE_EVENT_CALL, GATE_EVENT_ADMITTED, GATE_EVENT_FINISHED, GATE_EVENT_ACK}) {
			event.type = type;
			if (type == GATE_EVENT_FINISHED)
				event.finished = {OUTCOME_ANSWERED, REASON_NONE, 100};
			attempt_gate_step(gate, &event, now, &out, &err);
		}
	});
	attempt_gate_destroy(gate);
	return ns;
}
} // namespace

TEST(DecisionCost, PrintsTimesAndSizes)
{
	for (uint32_t gates : {20, 200}) {
		printf("choice among %u gates: pick, sent and done: expected %.0f ns, "
		       "least in flight %.0f ns\n",
		       gates, choice_ns(CHOICE_EXPECTED_COMPLETION, gates),
		       choice_ns(CHOICE_LEAST_IN_FLIGHT, gates));
	}
	printf("gate: call, admitted, finished and ack of one attempt: %.0f ns\n",
	       gate_attempt_ns());
	printf("bytes: call at the entry %zu, attempt at the gate %zu and %zu of index, entry node "
	       "at the gate %zu and %zu of index\n",
	       sizeof(attempt_entry), sizeof(record),
	       3 * sizeof(uint32_t) + sizeof(uint32_t) + sizeof(uint64_t), sizeof(entry_peer),
	       2 * sizeof(uint32_t));
}

TEST(DecisionCost, StateOf150ServicesUsesAtMostAnEighthOfNodeMemory)
{
	choice_settings settings;
	struct choice *made;
	error err;

	choice_default_settings(&settings);
	ASSERT_EQ(0, choice_create(&made, &settings, &err));
	printf("bytes: choice of one service %lu, of 150 services %lu\n",
	       (unsigned long)choice_bytes(made), (unsigned long)(150 * choice_bytes(made)));
	EXPECT_LE(150 * choice_bytes(made), MEMORY_BYTES / 8);
	choice_destroy(made);
}
