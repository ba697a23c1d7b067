// overhead: compares calls through the nodes with direct calls to the backend servers, in one run
// and on the same servers, with 1 and with 50 calls in flight. The difference is what the nodes
// add.
//
// Usage: overhead SECONDS, the duration of each of the four measurements.
#include "functional/support/fleet.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>

namespace
{
constexpr int NODES = 2;

// Runs one measurement and prints its result as one line. Returns the exit code of fescue-load.
int measure(support::Fleet &fleet, const std::string &folder, int connections, bool direct,
	    long seconds)
{
	std::string plan = folder + "/plan.json";
	std::string report = folder + "/report.json";
	std::vector<std::string> options = {"--json",	     report,
					    "--duration-ms", std::to_string(seconds * 1000),
					    "--grace-ms",    "500"};

	std::ofstream(plan) << "{\"streams\":[{\"service\":\"ledger\",\"class\":\"balance\","
			    << "\"answer_bytes\":200,\"connections\":" << connections << "}]}";
	if (direct)
		options.push_back("--direct");
	int code = fleet.run_load(plan, options);
	support::Json root(json_load_file(report.c_str(), 0, nullptr));
	json_t *stream = json_array_get(json_object_get(root.get(), "streams"), 0);
	json_t *total = json_object_get(stream, "total_us");
	json_t *outside = json_object_get(stream, "outside_us");
	auto value = [](json_t *object, const char *key) {
		return (long long)json_integer_value(json_object_get(object, key));
	};

	printf("overhead: %2d in flight, %-12s %8lld answered, total p50 %lld p99 %lld us, "
	       "outside the backend server p50 %lld p99 %lld us\n",
	       connections, direct ? "direct" : "through nodes", value(stream, "answered"),
	       value(total, "p50"), value(total, "p99"), value(outside, "p50"),
	       value(outside, "p99"));
	fflush(stdout);
	return code;
}

// Runs all four measurements. Returns the exit code.
int run(long seconds)
{
	support::FleetOptions options = support::FleetOptions::small(NODES);

	options.slots = 64; // more than the calls in flight, so that no call waits for a slot
	options.service_ms = 0;
	options.spread = "none";
	support::Fleet fleet(options);
	int exit_code = 0;

	fleet.start();
	for (int connections : {1, 50}) {
		exit_code |= measure(fleet, fleet.folder(), connections, true, seconds);
		exit_code |= measure(fleet, fleet.folder(), connections, false, seconds);
	}
	for (const std::string &failure : fleet.stop()) {
		std::cerr << "overhead: " << failure << "\n";
		exit_code = 1;
	}
	return exit_code;
}
} // namespace

int main(int argc, char **argv)
{
	long seconds = argc > 1 ? std::atol(argv[1]) : 0;

	if (seconds < 1 || seconds > 600) {
		std::cerr << "usage: overhead SECONDS (1 to 600)\n";
		return 2;
	}
	try {
		return run(seconds);
	} catch (const std::exception &failure) {
		std::cerr << "overhead: " << failure.what() << "\n";
		return 1;
	}
}
