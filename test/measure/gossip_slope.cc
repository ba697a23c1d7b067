// Measures gossip at several fleet sizes, with all nodes in one process on a fake network: bytes
// and processor time of an idle node, and the simulated time until all nodes know of a change or a
// restarted node has joined.
// Usage: measure-gossip-slope [NODES...]
#include "support/fake_fleet.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace
{
const uint64_t SECOND_US = 1000000;
const uint64_t IDLE_S = 10;		    // duration of the idle measurement
const uint64_t TIMEOUT_US = 60 * SECOND_US; // of each wait

// Returns the processor time of this process.
double processor_s()
{
	return (double)clock() / CLOCKS_PER_SEC;
}

// Converts a result of FakeFleet::run_until to seconds; -1 if it timed out.
double seconds(uint64_t time_us)
{
	return time_us == UINT64_MAX ? -1 : (double)time_us / SECOND_US;
}

uint64_t bytes_sent(FakeFleet &fleet)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < fleet.size(); i++)
		total += fleet.node(i).bytes_sent;
	return total;
}

// Runs a fleet and prints its row of the table. On average a node receives as many bytes as it
// sends, so the bytes of a node, in both directions, are twice the bytes sent.
void measure(uint32_t nodes)
{
	FakeFleet::Options options;
	options.nodes = nodes;
	options.regions = 5;
	options.loss = 0.001;
	options.full_tables = true;
	FakeFleet fleet(options);

	fleet.run_for(12 * SECOND_US); // The initial updates of all nodes spread.
	uint64_t bytes_before = bytes_sent(fleet);
	double start_s = processor_s();
	fleet.run_for(IDLE_S * SECOND_US);
	double idle_processor_s = processor_s() - start_s;
	double idle_bytes_per_s = 2.0 * (double)(bytes_sent(fleet) - bytes_before) / nodes / IDLE_S;

	fleet.set_config(1, 99);
	bytes_before = bytes_sent(fleet);
	uint64_t config_us = fleet.run_until(TIMEOUT_US, [&] { return fleet.all_have_config(99); });
	gossip_set_leaving(fleet.node(2).gossip);
	uint64_t leaving_us =
		fleet.run_until(TIMEOUT_US, [&] { return fleet.all_see(2, {MEMBER_LEAVING}); });
	fleet.kill(3);
	uint64_t dead_us = fleet.run_until(TIMEOUT_US, [&] {
		return fleet.all_see(3, {MEMBER_SUSPECT, MEMBER_DEAD});
	});
	fleet.kill_domain(1);
	uint64_t domain_us = fleet.run_until(TIMEOUT_US, [&] {
		return fleet.all_see_domain(1, {MEMBER_SUSPECT, MEMBER_DEAD});
	});
	fleet.restart(3, 2);
	uint64_t join_start_us = fleet.now_us();
	fleet.run_until(TIMEOUT_US, [&] { return gossip_is_joined(fleet.node(3).gossip); });
	printf("%6u %10.0f %12.1f %9.2f %9.2f %9.2f %9.2f %9.2f\n", nodes, idle_bytes_per_s,
	       idle_processor_s * 1e6 / nodes / IDLE_S, seconds(config_us), seconds(leaving_us),
	       seconds(dead_us), seconds(domain_us),
	       (double)(fleet.now_us() - join_start_us) / SECOND_US);
	fflush(stdout);
}
} // namespace

int main(int argc, char **argv)
{
	printf("%6s %10s %12s %9s %9s %9s %9s %9s\n", "nodes", "rest B/s", "rest us/s", "config s",
	       "leaving s", "dead s", "domain s", "join s");
	for (int i = 1; i < argc; i++)
		measure((uint32_t)strtoul(argv[i], nullptr, 10));
	return 0;
}
