// Key proofs in a large idle fleet, where they spread by gossip alone: two nodes of each of 17
// failure domains ask the store, no calls are made, and 2% of the packets are lost.
#include "support/fake_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

namespace
{

constexpr uint64_t SECOND_US = 1000000;
constexpr uint32_t REVOKE_MS = 5000;
constexpr uint32_t NODES = 1000;

FakeFleet::Options options_of(uint32_t revoke_ms)
{
	FakeFleet::Options options;

	options.nodes = NODES;
	options.regions = 5;
	options.loss = 0.02;
	options.full_tables = true;
	options.revoke_ms = revoke_ms;
	return options;
}

size_t fresh(const FakeFleet &fleet)
{
	return fleet.count_live([&](const FakeFleet::Node &node) {
		return key_proof_is_fresh(&node.proof, fleet.now_us());
	});
}

uint64_t oldest_ms(const FakeFleet &fleet)
{
	uint64_t oldest = 0;

	fleet.count_live([&](const FakeFleet::Node &node) {
		oldest = std::max(oldest, key_proof_age_us(&node.proof, fleet.now_us()));
		return true;
	});
	return oldest / 1000;
}

uint64_t bytes_sent(FakeFleet &fleet)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < fleet.size(); i++)
		sum += fleet.node(i).bytes_sent;
	return sum;
}

// Guards against proofs that are too old when they arrive, a store whose silence ends keyed service
// early, and a return that takes too long without calls of all nodes.
TEST(KeyProofFleet, AnIdleFleetKeepsItsProofsAndRegainsThemInTime)
{
	FakeFleet fleet(options_of(REVOKE_MS));
	uint64_t worst_ms = 0;

	fleet.run_for(8 * SECOND_US);
	uint64_t sent = bytes_sent(fleet);
	for (int i = 0; i < 100; i++) {
		fleet.run_for(SECOND_US / 10);
		worst_ms = std::max(worst_ms, oldest_ms(fleet));
		ASSERT_EQ(NODES, fresh(fleet));
	}
	sent = (bytes_sent(fleet) - sent) / NODES / 10;
	fleet.store_answers(false);
	fleet.run_for(3 * SECOND_US);
	size_t after_3_s = fresh(fleet);
	fleet.run_for(2 * SECOND_US);
	EXPECT_EQ(0u, fresh(fleet));
	fleet.run_for(5 * SECOND_US);
	fleet.store_answers(true);
	uint64_t back_us = fleet.run_until(5 * SECOND_US, [&] { return fresh(fleet) == NODES; });
	printf("oldest proof %lu ms, sent %lu B/s a node, %zu of %u nodes fresh after 3 s, all "
	       "back after %lu ms\n",
	       (unsigned long)worst_ms, (unsigned long)sent, after_3_s, NODES,
	       (unsigned long)(back_us / 1000));
	EXPECT_EQ(NODES, after_3_s);
	EXPECT_LE(back_us, 2 * SECOND_US);
}

} // namespace
