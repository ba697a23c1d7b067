// Unit tests of a gate's share of a fleet-wide rate, and a comparison of several policies to divide
// the rate: the error of each one by the skew of the demand.
#include "support/demand_gates.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/base/random.h"
#include "fescuemill/decide/profile.h"
#include "fescuemill/decide/share.h"
}

namespace
{

constexpr uint32_t GATES = 20;
constexpr uint32_t CALLS_PER_S = 1000;
constexpr uint64_t STEP_US = 1000;
constexpr double LOSS = 0.01; // fraction of the messages that are lost
constexpr uint64_t REPORT_US = USEC_PER_SEC;
constexpr uint64_t WARM_UP_US = 5 * USEC_PER_SEC;
constexpr uint64_t RUN_US = 60 * USEC_PER_SEC;
constexpr uint64_t FLOOD_US = 10 * USEC_PER_SEC;
constexpr uint64_t HOTSPOT_US = 10 * USEC_PER_SEC;
constexpr uint64_t BORROW_PAUSE_US = 10000;	 // minimum time between two requests of a gate
constexpr uint32_t BORROW_BYTES = 2 * (28 + 24); // question and answer, with IP and UDP headers

enum class Policy {
	equal,
	by_demand, // every gate gets the demands of all others once a second
	forwarded, // as in the node: demands are forwarded through random peers
	borrow	   // equal shares; a gate without tokens asks a random peer for half of that peer's
		   // tokens
};
enum class Skew {
	even,
	zipf,
	moving_half // half of the calls go to one gate, another one every HOTSPOT_US
};

struct Gate {
	struct profile profile = {};
	uint64_t offered = 0; // calls since the last report; with Policy::forwarded since the start
	uint64_t demand_milli = 0;
	uint64_t asked_us = 0; // last request for tokens, with Policy::borrow
};

struct Outcome {
	double offered = 0;
	double in_profile = 0;
	double bytes = 0;

	double per_s(double count) const
	{
		return count * 1e6 / (double)RUN_US;
	}

	// Returns the fraction of the calls within the fleet-wide rate that was out of profile.
	double shortfall() const
	{
		double room = std::min(per_s(offered), (double)CALLS_PER_S);

		return std::max(0.0, 1 - per_s(in_profile) / room);
	}

	// Returns the calls in profile beyond the fleet-wide rate, as a fraction of that rate.
	double excess() const
	{
		return std::max(0.0, per_s(in_profile) / CALLS_PER_S - 1);
	}
};

double load_share(Skew skew, uint32_t gate, uint64_t now_us)
{
	double harmonic = 0;

	switch (skew) {
	case Skew::even:
		return 1.0 / GATES;
	case Skew::zipf:
		for (uint32_t i = 1; i <= GATES; i++)
			harmonic += 1.0 / i;
		return 1.0 / (gate + 1) / harmonic;
	case Skew::moving_half:
		return (now_us / HOTSPOT_US * 7) % GATES == gate ? 0.5 : 0.5 / (GATES - 1);
	}
	return 0;
}

class Fleet
{
      public:
	Fleet(Policy policy, Skew skew, double load) : policy(policy), skew(skew), load(load)
	{
		DemandGates::Options options;

		options.gates = GATES;
		options.loss = LOSS;
		demands = std::make_unique<DemandGates>(options);
		random_seed(&rng, 7);
		for (Gate &gate : gates)
			profile_set_rate(&gate.profile, share_equal_milli(CALLS_PER_S, GATES), 0);
	}

	// Returns the number of calls in profile in the first FLOOD_US of a flood.
	double run_flood(double flood_load)
	{
		run_until(WARM_UP_US);
		load = flood_load;
		run_until(WARM_UP_US + FLOOD_US);
		return outcome.in_profile;
	}

	Outcome run()
	{
		run_until(WARM_UP_US + RUN_US);
		return outcome;
	}

      private:
	void run_until(uint64_t end_us)
	{
		while (now_us < end_us) {
			now_us += STEP_US;
			if (policy == Policy::by_demand && now_us % REPORT_US == 0)
				report();
			if (policy == Policy::forwarded)
				forward_reports();
			for (uint32_t i = 0; i < GATES; i++)
				arrive(i);
		}
	}

	// Sets the rate of each gate from its current demand and its peers' previous reports.
	void report()
	{
		uint64_t stale_milli = 0;
		std::array<uint64_t, GATES> stale;

		for (uint32_t i = 0; i < GATES; i++) {
			stale[i] = gates[i].demand_milli;
			stale_milli += stale[i];
		}
		for (Gate &gate : gates) {
			uint64_t old_milli = gate.demand_milli;

			gate.demand_milli = share_smooth_milli(old_milli, gate.offered, REPORT_US);
			gate.offered = 0;
			struct share_demand demand = {gate.demand_milli,
						      stale_milli - old_milli + gate.demand_milli,
						      GATES,
						      GATES,
						      {},
						      0};

			for (uint32_t i = 0; i < GATES; i++)
				demand.known_milli[i] =
					&gate == &gates[i] ? gate.demand_milli : stale[i];
			uint64_t rate_milli = share_by_demand_milli(CALLS_PER_S, &demand);

			profile_set_rate(&gate.profile, rate_milli, now_us);
		}
	}

	// Lets the gates exchange reports at their own times and set their rates once a second.
	void forward_reports()
	{
		uint64_t sent_bytes = demands->bytes;

		for (uint32_t i = 0; i < GATES; i++)
			demands->gates[i].offered[0] = gates[i].offered;
		demands->step(now_us);
		if (now_us > WARM_UP_US)
			outcome.bytes += (double)(demands->bytes - sent_bytes);
		for (uint32_t i = 0; i < GATES; i++) {
			if (demands->gates[i].table.counted_us == now_us)
				profile_set_rate(&gates[i].profile,
						 demands->rate_milli(i, CALLS_PER_S, 0, now_us),
						 now_us);
		}
	}

	void arrive(uint32_t index)
	{
		Gate &gate = gates[index];
		double rate = load * CALLS_PER_S * load_share(skew, index, now_us);

		if (random_unit(&rng) >= rate * (double)STEP_US / 1e6)
			return;
		bool fits = profile_take(&gate.profile, now_us);

		if (!fits && policy == Policy::borrow)
			fits = borrow(gate);
		gate.offered++;
		if (now_us <= WARM_UP_US)
			return;
		outcome.offered++;
		outcome.in_profile += fits;
	}

	// Asks one peer for half of that peer's tokens.
	bool borrow(Gate &gate)
	{
		Gate &peer = gates[random_below(&rng, GATES)];

		if (now_us - gate.asked_us < BORROW_PAUSE_US)
			return false;
		gate.asked_us = now_us;
		if (now_us > WARM_UP_US)
			outcome.bytes += BORROW_BYTES;
		if (&peer == &gate)
			return false;
		uint64_t half_nano = peer.profile.tokens_nano / 2;

		peer.profile.tokens_nano -= half_nano;
		gate.profile.tokens_nano += half_nano;
		return profile_take(&gate.profile, now_us);
	}

	Policy policy;
	Skew skew;
	double load;
	struct random rng;
	uint64_t now_us = 0;
	std::array<Gate, GATES> gates;
	std::unique_ptr<DemandGates> demands;
	Outcome outcome;
};

Outcome measure(const char *policy_name, Policy policy, const char *skew_name, Skew skew,
		double load)
{
	Outcome outcome = Fleet(policy, skew, load).run();

	printf("%-9s %-11s load %.1f: under %5.1f%% over %5.1f%% bytes/s a gate %6.0f\n",
	       policy_name, skew_name, load, 100 * outcome.shortfall(), 100 * outcome.excess(),
	       outcome.per_s(outcome.bytes) / GATES);
	return outcome;
}

// Returns the shares of gates that all know all demands.
std::vector<uint64_t> shares(uint32_t calls_per_s, const std::vector<uint64_t> &demands)
{
	struct share_demand demand = {};
	std::vector<uint64_t> out;

	demand.gates = demand.reported = (uint32_t)demands.size();
	for (size_t i = 0; i < demands.size(); i++) {
		demand.known_milli[i] = demands[i];
		demand.total_milli += demands[i];
	}
	for (uint64_t own : demands) {
		demand.own_milli = own;
		out.push_back(share_by_demand_milli(calls_per_s, &demand));
	}
	return out;
}

} // namespace

TEST(Share, EqualSharesAddUp)
{
	EXPECT_EQ(50000U, share_equal_milli(1000, 20));
	EXPECT_EQ(1000000U, share_equal_milli(1000, 0));
}

TEST(Share, IsEqualWithoutReportsFromPeers)
{
	struct share_demand demand = {5000, 5000, 20, 1, {5000}, 0};

	EXPECT_EQ(50000U, share_by_demand_milli(1000, &demand));
}

TEST(Share, IsEqualWhileNoGateNeedsMoreThanThat)
{
	for (uint64_t share : shares(1000, {0, 100000, 150000, 190000}))
		EXPECT_EQ(250000U, share);
}

TEST(Share, BusyGateGetsWhatOthersDoNotNeed)
{
	// 600 of 1000 calls a second: the busy gate gets 25% headroom, the others get equal shares.
	EXPECT_EQ((std::vector<uint64_t>{625000, 125000, 125000, 125000}),
		  shares(1000, {500000, 100000, 0, 0}));
	// 900 of 1000 calls a second: half of the free rate goes to the gate with demand.
	std::vector<uint64_t> tight = shares(1000, {900000, 0, 0, 0});

	EXPECT_NEAR(950000, (double)tight[0], 1);
	EXPECT_NEAR(50000.0 / 3, (double)tight[1], 1);
}

TEST(Share, HasOneMaximumForAllGatesUnderOverload)
{
	std::vector<uint64_t> out = shares(1000, {1000000, 2000000, 500000, 100000});

	EXPECT_EQ((std::vector<uint64_t>{300000, 300000, 300000, 100000}), out);
	out = shares(1000, {1000000, 2000000, 500000, 500000});
	EXPECT_EQ((std::vector<uint64_t>{250000, 250000, 250000, 250000}), out);
	out = shares(1000, {0, 2000000, 0, 0});
	EXPECT_EQ((std::vector<uint64_t>{0, 1000000, 0, 0}), out);
}

TEST(Share, SharesAddUpForRandomDemands)
{
	struct random rng;

	random_seed(&rng, 7);
	for (int round = 0; round < 300; round++) {
		std::vector<uint64_t> demands(2 + random_below(&rng, SHARE_GATES_MAX - 1));
		uint32_t most = 1 + random_below(&rng, 1000000);
		uint64_t sum = 0;

		for (uint64_t &demand : demands)
			demand = random_below(&rng, 3) ? 0 : random_below(&rng, most);
		for (uint64_t share : shares(CALLS_PER_S, demands))
			sum += share;
		ASSERT_LE(sum, CALLS_PER_S * 1000ULL);
		ASSERT_GE(sum, CALLS_PER_S * 1000ULL - 2 * demands.size());
	}
}

TEST(Share, AveragesDemandOverTime)
{
	EXPECT_EQ(50000U, share_smooth_milli(0, 100, USEC_PER_SEC));
	EXPECT_EQ(100000U, share_smooth_milli(100000, 100, USEC_PER_SEC));
	EXPECT_EQ(7000U, share_smooth_milli(7000, 100, 0));
}

TEST(Share, ErrorStaysBoundedForSkewedDemand)
{
	const std::pair<const char *, Policy> policies[] = {{"equal", Policy::equal},
							    {"by demand", Policy::by_demand},
							    {"passed on", Policy::forwarded},
							    {"borrow", Policy::borrow}};
	const std::pair<const char *, Skew> skews[] = {
		{"even", Skew::even}, {"zipf", Skew::zipf}, {"moving half", Skew::moving_half}};

	for (double load : {0.8, 1.0, 3.0}) {
		for (auto [skew_name, skew] : skews) {
			double equal_shortfall = 0;

			for (auto [policy_name, policy] : policies) {
				Outcome o = measure(policy_name, policy, skew_name, skew, load);

				if (policy == Policy::equal)
					equal_shortfall = o.shortfall();
				if (policy != Policy::by_demand && policy != Policy::forwarded)
					continue;
				EXPECT_LE(o.shortfall(), std::max(0.1, equal_shortfall / 2));
				EXPECT_LE(o.excess(), 0.05);
			}
		}
	}
}

// When demand rises at all gates at once, each gate first knows only its own rise. If it then took
// unused shares of its peers, all gates together would admit too many calls of the class as in
// profile until the reports arrive, at the cost of other classes.
TEST(Share, FloodAtAllGatesAtOnceStaysWithinFleetWideRate)
{
	for (double base_load : {0.05, 0.3, 0.8}) {
		double equal = Fleet(Policy::equal, Skew::even, base_load).run_flood(10);
		double shared = Fleet(Policy::forwarded, Skew::even, base_load).run_flood(10);

		printf("flood from %.2f: in profile %.0f, with the equal split %.0f\n", base_load,
		       shared, equal);
		EXPECT_LE(shared, 1.05 * equal) << base_load;
	}
}
