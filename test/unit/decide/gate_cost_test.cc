// Measures the cost of the gate: CPU time of an offer with its finish, and memory.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <vector>

extern "C" {
#include "fescuemill/decide/gate.h"
}

namespace
{

constexpr uint32_t PAIRS = 200000;
constexpr uint32_t SLOTS = 8;

uint64_t processor_ns()
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * 1000000000ULL + (uint64_t)t.tv_nsec;
}

struct service_config config_of(uint32_t class_count)
{
	struct service_config config = {"ledger", 1, class_count, {}};

	for (uint32_t i = 0; i < class_count; i++) {
		snprintf(config.classes[i].name, CLASS_NAME_BYTES, "class-%u", i);
		config.classes[i].rank = i;
		config.classes[i].latency_us = 100000;
		config.classes[i].calls_per_s = 1000;
	}
	return config;
}

// Returns the CPU time of an offer with its finish, in nanoseconds. At most `held` calls run or
// wait at a time. Attempts are counted by profile if there are tables for it.
uint64_t pair_ns(uint32_t class_count, uint32_t held, const struct burn_tables &tally)
{
	static struct gate gate;
	static struct gate_actions actions;
	struct service_config config = config_of(class_count);
	std::vector<struct gate_ticket> tickets(held + 1);
	std::vector<struct gate_ticket *> running;
	uint64_t now_us = 1000000;

	gate_init(&gate, now_us);
	gate.tally = tally;
	gate_set_config(&gate, &config, now_us, &actions);
	gate_set_backend(&gate, BACKEND_READY, SLOTS * LIMIT_LOW_DIVISOR, now_us, &actions);
	gate_set_backend(&gate, BACKEND_READY, SLOTS, now_us, &actions);
	uint64_t begin_ns = processor_ns();
	for (uint32_t i = 0; i < PAIRS; i++) {
		struct gate_ticket *ticket = &tickets[i % tickets.size()];

		now_us += 125;
		gate_cancel(&gate, ticket, now_us, &actions);
		if (gate_offer(&gate, ticket, i % class_count, now_us + 10000000, now_us, &actions)
			    .kind == GATE_START)
			running.push_back(ticket);
		if (running.size() < std::min(SLOTS, held))
			continue;
		now_us += 125;
		gate_finish(&gate, running.front(), GATE_RESULT_OK, now_us, &actions);
		running.erase(running.begin());
		for (uint32_t a = 0; a < actions.count; a++) {
			if (actions.list[a].verdict.kind == GATE_START)
				running.push_back(actions.list[a].ticket);
		}
	}
	return (processor_ns() - begin_ns) / PAIRS;
}

} // namespace

TEST(GateCost, PrintsCpuTimeAndBoundsMemory)
{
	struct burn_tables tally = {};

	ASSERT_EQ(0, burn_open(&tally.in_profile, 0, nullptr));
	ASSERT_EQ(0, burn_open(&tally.out_of_profile, 0, nullptr));
	for (uint32_t classes : {4U, 16U}) {
		for (uint32_t held : {1U, 100U})
			printf("%2u classes, %3u held: %lu ns an offer and its finish, counted by "
			       "profile %lu ns\n",
			       classes, held, (unsigned long)pair_ns(classes, held, {}),
			       (unsigned long)pair_ns(classes, held, tally));
	}
	burn_close(tally.in_profile);
	burn_close(tally.out_of_profile);
	printf("gate %zu bytes, ticket %zu bytes, actions %zu bytes\n", sizeof(struct gate),
	       sizeof(struct gate_ticket), sizeof(struct gate_actions));
	EXPECT_LE(sizeof(struct gate) + sizeof(struct gate_actions) +
			  (GATE_QUEUE_MAX + GATE_SLOTS_MAX) * sizeof(struct gate_ticket),
		  256U * 1024);
}
