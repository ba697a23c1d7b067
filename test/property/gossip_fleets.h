// Options, limits and checks shared by the gossip tests over the fake network.
#pragma once

#include "support/fake_fleet.h"

#include <rapidcheck.h>

namespace gossip_fleets
{
const uint64_t second_us = 1000000;
const uint64_t join_limit_us = 30 * second_us;
const uint64_t dead_limit_us = 5 * second_us; // Until no node chooses a dead host.
const uint32_t large_fleet = 300;

inline FakeFleet::Options random_options()
{
	FakeFleet::Options options;

	options.nodes = *rc::gen::inRange<uint32_t>(4, 32);
	options.regions = *rc::gen::inRange<uint32_t>(1, 4);
	options.loss = *rc::gen::inRange(0, 10) / 100.0;
	options.seed = *rc::gen::arbitrary<uint64_t>();
	return options;
}

inline FakeFleet::Options large_options()
{
	FakeFleet::Options options;

	options.nodes = large_fleet;
	options.regions = 5;
	options.loss = 0.01;
	options.full_tables = true;
	return options;
}

inline bool joins(FakeFleet &fleet)
{
	return fleet.run_until(join_limit_us, [&] { return fleet.all_alive(); }) != UINT64_MAX;
}

// Returns true if every node sent no more than one full burst at the start and its rate since then.
inline bool all_within_budget(FakeFleet &fleet, uint64_t bytes_per_s, uint64_t start_us)
{
	uint64_t seconds = (fleet.now_us() - start_us) / second_us;

	for (uint32_t i = 0; i < fleet.size(); i++) {
		if (fleet.node(i).bytes_sent > bytes_per_s * (seconds + 2))
			return false;
	}
	return true;
}
} // namespace gossip_fleets
