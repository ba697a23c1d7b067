// Measures the processor time and memory of the nodes at several call rates. The slope of the
// processor time over the call rate is the cost of a call.
// Usage: measure-calls SECONDS CALLS_PER_S...
#include "functional/support/fleet.h"
#include "measure/usage.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>

namespace
{
constexpr int NODES = 4;

// Returns the usage of the nodes of all hosts together.
Usage usage_of(const support::Fleet &fleet)
{
	Usage usage;

	for (const support::Host &host : fleet.hosts)
		add_process(host.node->id(), usage);
	return usage;
}

// Runs one load and prints its row of the table.
void measure(support::Fleet &fleet, double calls_per_s, long seconds)
{
	std::string plan = fleet.folder() + "/plan.json";
	std::string report = fleet.folder() + "/report.json";

	std::ofstream(plan) << "{\"streams\":[{\"service\":\"ledger\",\"class\":\"balance\","
			    << "\"answer_bytes\":2000,\"calls_per_s\":" << calls_per_s << "}]}";
	Usage before = usage_of(fleet);
	fleet.run_load(plan, {"--json", report, "--duration-ms", std::to_string(seconds * 1000),
			      "--grace-ms", "500"});
	Usage after = usage_of(fleet);
	support::Json root(json_load_file(report.c_str(), 0, nullptr));
	json_t *stream = json_array_get(json_object_get(root.get(), "streams"), 0);
	double answered = (double)json_integer_value(json_object_get(stream, "answered"));
	double processor_us = (after.processor_s - before.processor_s) * 1e6;

	fprintf(stderr, "%9.0f %10.0f %18.1f %20.1f %12.1f\n", calls_per_s, answered,
		processor_us / answered, processor_us / NODES / (double)seconds,
		after.resident_bytes / NODES / 1e6);
}
} // namespace

int main(int argc, char **argv)
{
	long seconds = argc > 1 ? std::atol(argv[1]) : 0;

	if (seconds < 1 || seconds > 600 || argc < 3) {
		std::cerr << "usage: measure-calls SECONDS (1 to 600) CALLS_PER_S...\n";
		return 2;
	}
	fprintf(stderr, "%9s %10s %18s %20s %12s\n", "calls/s", "answered", "us of nodes/call",
		"us/s of one node", "resident MB");
	try {
		support::Fleet fleet(support::FleetOptions::small(NODES));

		fleet.start();
		for (int i = 2; i < argc; i++)
			measure(fleet, std::atof(argv[i]), seconds);
		fleet.stop();
	} catch (const std::exception &failure) {
		std::cerr << "measure-calls: " << failure.what() << "\n";
		return 1;
	}
	return 0;
}
