// Measures membership at growing fleet sizes, all nodes in one process over the fake network:
// bytes and processor time of a node at rest, and how long news takes to reach everybody.
// Usage: measure-gossip-slope [NODES...]
#include "support/fake_fleet.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace
{
const uint64_t second_us = 1000000;
const uint64_t rest_s = 10;
const uint64_t limit_us = 60 * second_us;

double processor_s()
{
	return (double)clock() / CLOCKS_PER_SEC;
}

double seconds(uint64_t time_us)
{
	return time_us == UINT64_MAX ? -1 : (double)time_us / second_us;
}

uint64_t bytes_sent(FakeFleet &fleet)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < fleet.size(); i++)
		total += fleet.node(i).bytes_sent;
	return total;
}

// A node sends and receives the same number of bytes on average, so both count twice the sent.
void measure(uint32_t nodes)
{
	FakeFleet::Options options;
	options.nodes = nodes;
	options.regions = 5;
	options.loss = 0.001;
	options.full_tables = true;
	FakeFleet fleet(options);

	fleet.run_for(12 * second_us); // Everybody's own first news dies down.
	uint64_t bytes = bytes_sent(fleet);
	double start_s = processor_s();
	fleet.run_for(rest_s * second_us);
	double rest_processor_s = processor_s() - start_s;
	double rest_bytes = 2.0 * (double)(bytes_sent(fleet) - bytes) / nodes / rest_s;

	fleet.set_config(1, 99);
	bytes = bytes_sent(fleet);
	uint64_t config_us = fleet.run_until(limit_us, [&] { return fleet.all_have_config(99); });
	gossip_set_leaving(fleet.node(2).gossip);
	uint64_t leaving_us =
		fleet.run_until(limit_us, [&] { return fleet.all_see(2, {MEMBER_LEAVING}); });
	fleet.kill(3);
	uint64_t dead_us = fleet.run_until(limit_us, [&] {
		return fleet.all_see(3, {MEMBER_SUSPECT, MEMBER_DEAD});
	});
	fleet.kill_domain(1);
	uint64_t domain_us = fleet.run_until(limit_us, [&] {
		return fleet.all_see_domain(1, {MEMBER_SUSPECT, MEMBER_DEAD});
	});
	fleet.restart(3, 2);
	uint64_t join_start_us = fleet.now_us();
	fleet.run_until(limit_us, [&] { return gossip_is_joined(fleet.node(3).gossip); });
	printf("%6u %10.0f %12.1f %9.2f %9.2f %9.2f %9.2f %9.2f\n", nodes, rest_bytes,
	       rest_processor_s * 1e6 / nodes / rest_s, seconds(config_us), seconds(leaving_us),
	       seconds(dead_us), seconds(domain_us),
	       (double)(fleet.now_us() - join_start_us) / second_us);
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
