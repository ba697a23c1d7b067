// Compares the adaptive concurrency limit with a fixed one, on a steady server, with a noisy
// neighbour and with a slow dependency.
#include <gtest/gtest.h>

#include "support/gate_loop.h"

using namespace gate_loop;

namespace
{

constexpr size_t URGENT = 0;
constexpr uint64_t DISTURBED_US = 10 * USEC_PER_SEC;

// Little urgent work and a flood of other work. The backend server's capacity is 800 calls a
// second.
Scenario busy(double calls_per_s)
{
	Scenario s;

	s.classes = {{{"purchase", 0, 200000, 990, 50}, 25, 10000},
		     {{"browse", 3, 200000, 990, 100}, calls_per_s - 25, 10000}};
	s.slots = 8;
	s.warm_us = DISTURBED_US + 2 * USEC_PER_SEC;
	s.run_us = 20 * USEC_PER_SEC;
	return s;
}

// Other work on the host uses 3/4 of the CPUs: more than two calls at once slow each other
// down.
double noisy_neighbour(uint32_t running, uint64_t now_us)
{
	return now_us < DISTURBED_US ? 1 : std::max(1.0, (running + 1) / 2.0);
}

// Each call beyond two at once reduces throughput as well (thrashing).
double thrashing_neighbour(uint32_t running, uint64_t now_us)
{
	double over = std::max(0.0, running + 1 - 2.0);

	return noisy_neighbour(running, now_us) * (now_us < DISTURBED_US ? 1 : 1 + over / 6);
}

// A dependency of the server is slow: calls take four times as long at any concurrency.
double slow_dependency(uint32_t, uint64_t now_us)
{
	return now_us < DISTURBED_US ? 1 : 4;
}

struct Comparison {
	Result adaptive; // the unmodified gate
	Result fixed;	 // the same gate with its limit fixed at the slots
	double mean_limit = 0;

	double answered_ratio()
	{
		return (double)answered(adaptive) / (double)answered(fixed);
	}

	static size_t answered(const Result &result)
	{
		size_t sum = 0;

		for (const ClassResult &c : result.classes)
			sum += c.latencies_us.size();
		return sum;
	}
};

Comparison compare(const char *title, const Scenario &scenario)
{
	GatePolicy gate(scenario);
	GatePolicy fixed(scenario);
	Loop loop(scenario, gate);
	Comparison result;
	uint64_t ticks = 0;

	fixed.fix_limit = true;
	loop.on_tick = [&](uint64_t now_us) {
		EXPECT_GE(gate.gate.limit.current, 1U);
		EXPECT_LE(gate.gate.limit.current, scenario.slots);
		if (now_us < scenario.warm_us)
			return;
		result.mean_limit += gate.gate.limit.current;
		ticks++;
	};
	result.adaptive = loop.run();
	result.fixed = Loop(scenario, fixed).run();
	result.mean_limit /= (double)ticks;
	printf("%s: mean limit %.2f of %u\n", title, result.mean_limit, scenario.slots);
	print_result("gate", scenario, result.adaptive);
	print_result("limit held", scenario, result.fixed);
	return result;
}

} // namespace

TEST(Limit, SteadyServerKeepsItsThroughput)
{
	EXPECT_GE(compare("calm, flooded", busy(1200)).answered_ratio(), 0.95);
	EXPECT_GE(compare("calm, three quarters", busy(600)).answered_ratio(), 0.95);
}

TEST(Limit, SlowDependencyKeepsItsThroughput)
{
	Scenario s = busy(1200);

	s.inflation = slow_dependency;
	EXPECT_GE(compare("slow, flooded", s).answered_ratio(), 0.95);
	s = busy(150);
	s.inflation = slow_dependency;
	EXPECT_GE(compare("slow, three quarters", s).answered_ratio(), 0.95);
}

TEST(Limit, NoisyNeighbourLetsUrgentWorkRunFaster)
{
	Scenario s = busy(1200);

	s.inflation = noisy_neighbour;
	Comparison result = compare("noisy", s);
	EXPECT_LE(result.mean_limit, s.slots - 1.0);
	EXPECT_GE(result.answered_ratio(), 0.95);
	EXPECT_LT(result.adaptive.classes[URGENT].quantile_us(0.99),
		  result.fixed.classes[URGENT].quantile_us(0.99));
}

TEST(Limit, ThrashingServerAnswersMoreThanWithFixedLimit)
{
	Scenario s = busy(1200);

	s.inflation = thrashing_neighbour;
	Comparison result = compare("thrashing", s);
	EXPECT_LE(result.mean_limit, s.slots - 1.0);
	EXPECT_GT(result.answered_ratio(), 1.0);
	EXPECT_LT(result.adaptive.classes[URGENT].quantile_us(0.99),
		  result.fixed.classes[URGENT].quantile_us(0.99));
}

TEST(Limit, ShrinksOnceARoundForSheds)
{
	struct limit limit;

	limit_start(&limit, 16, 0);
	EXPECT_EQ(4U, limit.current);
	limit_record_shed(&limit, 0);
	limit_record_shed(&limit, 0);
	EXPECT_EQ(3U, limit.current);
	for (uint64_t i = 1; i < 100000; i++) {
		struct limit_sample sample = {i * 1000, i * 1000 + 100, 100};

		if (i % 100 == 0)
			limit_record_shed(&limit, sample.end_us);
		limit_record_answer(&limit, &sample);
		ASSERT_GE(limit.current, 1U);
	}
}

// Simulates a server whose calls do not slow each other down: it answers as many calls at a time as
// the limit allows, all of the same duration. Returns the longest time that the limit was below the
// slots.
static uint64_t longest_time_below_slots(struct limit &limit, uint64_t call_us, uint64_t from_us,
					 uint64_t duration_us)
{
	uint64_t below_us = 0;
	uint64_t longest_us = 0;

	for (uint64_t now_us = from_us; now_us < from_us + duration_us; now_us += call_us) {
		uint32_t running = limit.current;

		limit_record_full(&limit);
		for (uint32_t i = 0; i < running; i++) {
			struct limit_sample sample = {now_us, now_us + call_us, 5000};

			limit_record_answer(&limit, &sample);
		}
		below_us = limit.current < limit.slots ? below_us + call_us : 0;
		longest_us = std::max(longest_us, below_us);
	}
	return longest_us;
}

TEST(Limit, AProbeOfLongCallsEndsInTime)
{
	constexpr uint64_t LONG_CALL_US = 500 * USEC_PER_MSEC;
	struct limit limit;

	limit_start(&limit, 6, USEC_PER_SEC);
	longest_time_below_slots(limit, 5000, USEC_PER_SEC, USEC_PER_SEC);
	ASSERT_EQ(6U, limit.current);
	uint64_t below_us =
		longest_time_below_slots(limit, LONG_CALL_US, 3 * USEC_PER_SEC, 60 * USEC_PER_SEC);
	EXPECT_LE(below_us, LIMIT_PROBE_US_MAX + 2 * LONG_CALL_US);
	EXPECT_EQ(6U, limit.current);
}
