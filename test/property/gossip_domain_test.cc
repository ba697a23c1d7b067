// Gossip tests in which a whole failure domain dies or is cut off, over a lossy fake network.
#include "property/gossip_fleets.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace gossip_fleets;

namespace
{
const uint64_t domain_limit_us = 5 * second_us; // Until no node chooses a dead domain.
const uint32_t domain_fleet = 1000; // Large enough for a domain's updates to exceed the budget.
} // namespace

// While a failure domain is cut off, each side declares the other dead.
RC_GTEST_PROP(Gossip, DomainThatWasCutOffIsAliveAgainForAll, ())
{
	FakeFleet::Options options = random_options();
	options.nodes = *rc::gen::inRange<uint32_t>(2 * FakeFleet::domains, 120);
	options.full_tables = true;
	FakeFleet fleet(options);

	fleet.run_for(6 * second_us);
	fleet.split_domain(true);
	fleet.run_for(*rc::gen::inRange<uint64_t>(1, 30) * second_us);
	fleet.split_domain(false);
	RC_ASSERT(joins(fleet));
}

TEST(GossipTimes, OneSurvivorFindsAllOthersDead)
{
	FakeFleet::Options options;
	options.nodes = 16;
	options.full_tables = true;
	FakeFleet fleet(options);
	auto not_chosen = [&] {
		return member_count_state(fleet.node(0).table, MEMBER_ALIVE) == 1;
	};

	fleet.run_for(3 * second_us);
	for (uint32_t i = 1; i < fleet.size(); i++)
		fleet.kill(i);
	EXPECT_LE(fleet.run_until(dead_limit_us, not_chosen), dead_limit_us);
}

TEST(GossipTimes, DeadFailureDomainIsNotChosenByAnyNode)
{
	FakeFleet::Options options = large_options();
	options.nodes = domain_fleet;
	FakeFleet fleet(options);
	uint64_t start_us = fleet.now_us();
	auto not_chosen = [&] { return fleet.all_see_domain(1, {MEMBER_SUSPECT, MEMBER_DEAD}); };

	fleet.run_for(3 * second_us);
	fleet.kill_domain(1);
	EXPECT_LE(fleet.run_until(domain_limit_us, not_chosen), domain_limit_us);
	EXPECT_TRUE(all_within_budget(fleet, options.node_bytes_per_s, start_us));
}
