// Unit tests of fair room at a gate: which customers' calls are served and whose are refused. Each
// is named for its load.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/customer_share.h"
#include "fescuemill/decide/gate.h"
}

namespace
{
constexpr uint32_t SLOTS = 6;
constexpr uint64_t SERVICE_US = 10000;
constexpr double CAPACITY_PER_S = SLOTS * 1e6 / SERVICE_US;
constexpr uint32_t LATENCY_US = 60000;
constexpr uint32_t RUN_MS = 10000;

struct Load {
	uint64_t customer;
	uint32_t class_index; // the rank too
	double calls_per_s;
};

struct Tally {
	uint32_t offered = 0;
	uint32_t in_time = 0;
	uint32_t answered = 0;
	uint32_t refused = 0;

	double in_time_share() const
	{
		return offered ? (double)in_time / offered : 1;
	}
};

// A gate of one service with classes of ranks 0 to 2, in an open loop of calls.
class Loop
{
      public:
	// Without names, the calls of all customers carry none.
	explicit Loop(std::vector<Load> loads, bool has_names = true)
	    : loads(std::move(loads)), has_names(has_names)
	{
		struct service_config config = {};

		random_seed(&rng, 5);
		snprintf(config.service, sizeof(config.service), "ledger");
		config.version = 1;
		config.class_count = 3;
		for (uint32_t i = 0; i < 3; i++) {
			struct class_target &target = config.classes[i];

			snprintf(target.name, sizeof(target.name), "rank-%u", i);
			target.rank = i;
			target.latency_us = LATENCY_US;
			target.percentile_x10 = 990;
			target.calls_per_s = CLASS_CALLS_PER_S_UNSET;
		}
		gate_init(&gate, now_us);
		gate_set_config(&gate, &config, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, SLOTS, now_us, &actions);
	}

	void run(uint32_t ms = RUN_MS)
	{
		std::vector<double> due(loads.size());

		for (uint32_t i = 0; i < ms; i++) {
			now_us += USEC_PER_MSEC;
			finish();
			if (now_us % GATE_TICK_INTERVAL_US == 0) {
				gate_tick(&gate, now_us, &actions);
				apply();
			}
			for (size_t n = 0; n < loads.size(); n++) {
				// Twice the rate in half of the steps, at random.
				due[n] += loads[n].calls_per_s / 1000 * 2 * random_unit(&rng);
				for (; due[n] >= 1; due[n]--)
					offer(loads[n]);
			}
		}
	}

	const Tally &of(uint64_t customer)
	{
		return tallies[customer];
	}

	// Returns the lowest share of calls answered in time of the customers from first to last.
	double worst_share(uint64_t first, uint64_t last)
	{
		double worst = 1;

		for (uint64_t customer = first; customer <= last; customer++)
			worst = std::min(worst, tallies[customer].in_time_share());
		return worst;
	}

	uint32_t answered() const
	{
		uint32_t sum = 0;

		for (const auto &[customer, tally] : tallies)
			sum += tally.answered;
		return sum;
	}

	struct gate gate = {};
	uint64_t now_us = 10 * USEC_PER_SEC;

      private:
	struct Call {
		struct gate_ticket ticket = {};
		uint64_t customer = 0;
	};

	void offer(const Load &load)
	{
		auto call = std::make_unique<Call>();
		Call *offered = call.get();

		calls.push_back(std::move(call));
		offered->customer = load.customer;
		offered->ticket.owner = offered;
		offered->ticket.customer = has_names ? load.customer : 0;
		offered->ticket.has_wait_limit = true;
		offered->ticket.wait_max_us = LATENCY_US;
		tallies[load.customer].offered++;
		struct gate_verdict verdict =
			gate_offer(&gate, &offered->ticket, load.class_index,
				   now_us + 10 * LATENCY_US, now_us, &actions);
		if (verdict.kind == GATE_START)
			running.push_back(offered);
		else if (verdict.kind == GATE_REFUSE)
			tallies[load.customer].refused++;
		apply();
	}

	void apply()
	{
		for (uint32_t i = 0; i < actions.count; i++) {
			Call *call = static_cast<Call *>(actions.list[i].ticket->owner);

			if (actions.list[i].verdict.kind == GATE_START)
				running.push_back(call);
			else
				tallies[call->customer].refused++;
		}
		actions.count = 0;
	}

	void finish()
	{
		while (!running.empty() &&
		       running.front()->ticket.start_us + SERVICE_US <= now_us) {
			Call *call = running.front();
			Tally &tally = tallies[call->customer];

			running.pop_front();
			tally.answered++;
			tally.in_time += now_us - call->ticket.arrival_us <= LATENCY_US;
			gate_finish(&gate, &call->ticket, GATE_RESULT_OK, now_us, &actions);
			apply();
		}
	}

	std::vector<Load> loads;
	bool has_names;
	struct random rng = {};
	struct gate_actions actions = {};
	std::vector<std::unique_ptr<Call>> calls;
	std::deque<Call *> running;
	std::map<uint64_t, Tally> tallies;
};

// Customers 1 to count with the same load in one class.
std::vector<Load> equal_loads(uint64_t count, double calls_per_s, uint32_t class_index = 1)
{
	std::vector<Load> loads;

	for (uint64_t customer = 1; customer <= count; customer++)
		loads.push_back({customer, class_index, calls_per_s});
	return loads;
}
} // namespace

// Guards against one customer's surge that makes the calls of all others late.
TEST(CustomerShare, OneCustomerAtEightTimesItsUsualIsFeltByItself)
{
	std::vector<Load> loads = equal_loads(8, CAPACITY_PER_S * 0.8 / 8);

	loads[0].calls_per_s *= 8;
	Loop fair(loads);
	Loop without(loads, false);
	fair.run();
	without.run();
	RecordProperty("worst_permille_fair", (int)(fair.worst_share(2, 8) * 1000));
	RecordProperty("worst_permille_without", (int)(without.worst_share(2, 8) * 1000));
	EXPECT_GE(fair.worst_share(2, 8), 0.98);
	EXPECT_LT(without.worst_share(2, 8), 0.9);
	EXPECT_GT(fair.of(1).refused, 0U);
}

// Guards against parts that nobody uses: the surge gets all that the others leave.
TEST(CustomerShare, UnusedPartsFlowToWhoeverHasCalls)
{
	std::vector<Load> loads = equal_loads(8, CAPACITY_PER_S * 0.3 / 7);

	loads[0].calls_per_s = CAPACITY_PER_S * 3;
	Loop fair(loads);
	fair.run();
	EXPECT_GE(fair.answered(), CAPACITY_PER_S * RUN_MS / 1000 * 0.95);
	EXPECT_GE(fair.of(1).answered, CAPACITY_PER_S * RUN_MS / 1000 * 0.6);
}

// Guards against a large customer that drowns many small ones.
TEST(CustomerShare, ManySmallCustomersAreServedBesideOneLarge)
{
	std::vector<Load> loads = equal_loads(41, CAPACITY_PER_S * 0.4 / 40);

	loads[0].calls_per_s = CAPACITY_PER_S * 3;
	Loop fair(loads);
	Loop without(loads, false);
	fair.run();
	without.run();
	RecordProperty("worst_permille_fair", (int)(fair.worst_share(2, 41) * 1000));
	RecordProperty("worst_permille_without", (int)(without.worst_share(2, 41) * 1000));
	EXPECT_GE(fair.worst_share(2, 41), 0.95);
	EXPECT_LT(without.worst_share(2, 41), 0.8);
}

// Guards against a flood of the most urgent rank that is felt by the other customers of that rank.
TEST(CustomerShare, FloodOfTheMostUrgentRankIsFeltByItsSender)
{
	std::vector<Load> loads = equal_loads(5, CAPACITY_PER_S * 0.4 / 4, 0);

	loads[0].calls_per_s = CAPACITY_PER_S * 8;
	Loop fair(loads);
	Loop without(loads, false);
	fair.run();
	without.run();
	RecordProperty("worst_permille_fair", (int)(fair.worst_share(2, 5) * 1000));
	RecordProperty("worst_permille_without", (int)(without.worst_share(2, 5) * 1000));
	EXPECT_GE(fair.worst_share(2, 5), 0.95);
	EXPECT_LT(without.worst_share(2, 5), 0.5);
}

// Guards against a flood of the least urgent rank that is felt by more urgent calls of others.
TEST(CustomerShare, FloodOfTheLeastUrgentRankIsFeltByItsSender)
{
	std::vector<Load> loads = equal_loads(5, CAPACITY_PER_S * 0.4 / 4, 1);

	loads[0].class_index = 2;
	loads[0].calls_per_s = CAPACITY_PER_S * 8;
	Loop fair(loads);
	fair.run();
	EXPECT_GE(fair.worst_share(2, 5), 0.95);
}

// Guards against a flood of the most urgent rank that leaves nothing to less urgent customers, and
// whose refusals fall on them.
TEST(CustomerShare, LessUrgentCustomersKeepTheirFloorsInAFloodOfTheMostUrgentRank)
{
	std::vector<Load> loads = equal_loads(5, CAPACITY_PER_S * 0.2 / 4, 1);

	loads[0].class_index = 0;
	loads[0].calls_per_s = CAPACITY_PER_S * 8;
	Loop fair(loads);
	Loop without(loads, false);
	fair.run();
	without.run();
	RecordProperty("worst_permille_fair", (int)(fair.worst_share(2, 5) * 1000));
	RecordProperty("worst_permille_without", (int)(without.worst_share(2, 5) * 1000));
	EXPECT_GE(fair.worst_share(2, 5), without.worst_share(2, 5));
	EXPECT_GE(fair.answered(), CAPACITY_PER_S * RUN_MS / 1000 * 0.95);
}

// Guards against state that grows with the number of customers.
TEST(CustomerShare, StateIsBoundedWithManyCustomers)
{
	struct customer_share share = {};
	uint64_t now_us = USEC_PER_SEC;

	customer_share_add(&share, 1, 1000000, now_us);
	for (uint64_t customer = 2; customer < 1000; customer++)
		customer_share_add(&share, customer, 100, now_us);
	EXPECT_EQ((uint32_t)CUSTOMER_SHARE_MAX, share.count);
	EXPECT_EQ(1000000U,
		  customer_share_used_us(&share, 1, now_us)); // the least used was dropped
}

// Guards against a surge that is held against its customer for long after it.
TEST(CustomerShare, UsedSlotTimeIsForgotten)
{
	struct customer_share share = {};

	customer_share_add(&share, 1, 1000000, USEC_PER_SEC);
	EXPECT_EQ(500000U,
		  customer_share_used_us(&share, 1, USEC_PER_SEC + CUSTOMER_SHARE_HALF_LIFE_US));
	EXPECT_EQ(750000U, customer_share_used_us(&share, 1,
						  USEC_PER_SEC + CUSTOMER_SHARE_HALF_LIFE_US / 2));
	EXPECT_LT(customer_share_used_us(&share, 1, 20 * USEC_PER_SEC), 10U);
}
