// Measures an idle fleet of real nodes, without calls, at several numbers of nodes: processor time,
// memory and control bytes of a node, and calls to the platform by the whole fleet.
// Usage: measure-rest SECONDS NODES...
#include "functional/support/fleet.h"
#include "measure/usage.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <thread>

namespace
{
// Returns the value of a counter of a host's node; 0 if its metrics lack it.
double read_counter(const support::Host &host, const std::string &name)
{
	support::HttpAnswer answer =
		support::http(host.node->port("admin_port"), "GET", "/metrics");
	std::string prefix = "\nfescuemill_" + name + " ";
	size_t position = answer.body.find(prefix);

	return position == std::string::npos
		       ? 0
		       : std::stod(answer.body.substr(position + prefix.size()));
}

// Returns the usage of the nodes of all hosts together.
Usage usage_of(const support::Fleet &fleet)
{
	Usage usage;

	for (const support::Host &host : fleet.hosts) {
		add_process(host.node->id(), usage);
		usage.control_bytes += read_counter(host, "control_spent");
	}
	return usage;
}

// Returns the bytes that all nodes have sent to and received from the platform.
double platform_bytes(const support::Fleet &fleet)
{
	double bytes = 0;

	for (const support::Host &host : fleet.hosts)
		bytes += read_counter(host, "platform_sent") +
			 read_counter(host, "platform_received");
	return bytes;
}

// Returns the number of calls of all operations that the platform stand-in has counted: the sum of
// its statistics, except for the three that do not count calls of an operation.
double platform_calls(const support::Fleet &fleet)
{
	support::Json stats = support::http_json(fleet.platform->port(), "GET", "/control/stats");
	const char *key;
	json_t *value;
	double calls = 0;

	json_object_foreach(stats.get(), key, value)
	{
		std::string name = key;

		if (name != "waiting_watches" && name != "version" && name != "refused")
			calls += (double)json_integer_value(value);
	}
	return calls;
}

// Runs a fleet and prints its row of the table.
void measure(int nodes, long seconds)
{
	support::FleetOptions options = support::FleetOptions::rangitoto();

	for (support::ServiceSize &service : options.services)
		service.servers = nodes / 4;
	support::Fleet fleet(options);
	fleet.start();
	// The byte budget limits how fast the initial updates spread: more nodes take longer.
	std::this_thread::sleep_for(std::chrono::seconds(std::max(12, nodes)));
	Usage before = usage_of(fleet);
	double calls = platform_calls(fleet);
	double bytes = platform_bytes(fleet);
	std::this_thread::sleep_for(std::chrono::seconds(seconds));
	Usage after = usage_of(fleet);
	double count = (double)fleet.hosts.size();

	printf("%6.0f %14.4f %12.1f %14.0f %17.0f %18.3f\n", count,
	       100 * (after.processor_s - before.processor_s) / count / (double)seconds,
	       after.resident_bytes / count / 1e6,
	       (after.control_bytes - before.control_bytes) / count / (double)seconds,
	       (platform_bytes(fleet) - bytes) / count / (double)seconds,
	       (platform_calls(fleet) - calls) / (double)seconds);
	fflush(stdout);
	fleet.stop();
}
} // namespace

int main(int argc, char **argv)
{
	long seconds = argc > 1 ? std::atol(argv[1]) : 0;

	if (seconds < 1 || seconds > 600 || argc < 3) {
		std::cerr << "usage: measure-rest SECONDS (1 to 600) NODES...\n";
		return 2;
	}
	printf("%6s %14s %12s %14s %17s %18s\n", "nodes", "% of a core", "resident MB",
	       "control B/s", "of it platform", "platform calls/s");
	try {
		for (int i = 2; i < argc; i++)
			measure(std::atoi(argv[i]), seconds);
	} catch (const std::exception &failure) {
		std::cerr << "measure-rest: " << failure.what() << "\n";
		return 1;
	}
	return 0;
}
