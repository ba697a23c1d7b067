// Measurements on fleets of real processes. Each run also measures its baseline, except for
// link, which is compared with a budget of the settings.
// Usage: measure-fleet choice|fail-fast|flood-low|flood-high|link SECONDS
#include "functional/support/fleet.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

namespace
{
using support::Fleet;
using support::FleetOptions;

// Calls of one class in a load plan.
struct Stream {
	std::string class_name;
	double calls_per_s;
	bool idempotent;
};

// Results of one class, as reported by fescue-load.
struct ClassResult {
	long long sent, answered, errors, not_run, unknown, p50_us, p99_us;
};

using LoadResults = std::map<std::string, ClassResult>;

long long get_integer(json_t *object, const char *key)
{
	return (long long)json_integer_value(json_object_get(object, key));
}

LoadResults read_report(const std::string &file)
{
	support::Json root(json_load_file(file.c_str(), 0, nullptr));
	LoadResults results;
	size_t index;
	json_t *stream;

	json_array_foreach(json_object_get(root.get(), "streams"), index, stream)
	{
		json_t *total = json_object_get(stream, "total_us");

		results[json_string_value(json_object_get(stream, "class"))] = {
			get_integer(stream, "sent"),	get_integer(stream, "answered"),
			get_integer(stream, "errors"),	get_integer(stream, "not_run"),
			get_integer(stream, "unknown"), get_integer(total, "p50"),
			get_integer(total, "p99")};
	}
	return results;
}

// Writes a load plan for classes of the service "ledger" and returns the name of its file.
std::string write_plan(const Fleet &fleet, const std::vector<Stream> &streams)
{
	std::string file = fleet.folder() + "/plan.json";
	std::ofstream out(file);

	out << "{\"seed\":7,\"streams\":[";
	for (size_t i = 0; i < streams.size(); i++)
		out << (i ? "," : "") << "{\"service\":\"ledger\",\"class\":\""
		    << streams[i].class_name << "\",\"method\":\""
		    << (streams[i].idempotent ? "GET" : "POST")
		    << "\",\"answer_bytes\":200,\"deadline_ms\":2000,\"calls_per_s\":"
		    << streams[i].calls_per_s << "}";
	out << "]}";
	return file;
}

// Runs a load and returns its results. Throws if fescue-load fails or finds a violation in its
// ledger, such as a lost or doubled call.
LoadResults run_load(Fleet &fleet, const std::vector<Stream> &streams, long seconds)
{
	std::string report = fleet.folder() + "/report.json";
	int code = fleet.run_load(write_plan(fleet, streams),
				  {"--json", report, "--duration-ms",
				   std::to_string(seconds * 1000), "--grace-ms", "1000"});

	if (code != 0)
		throw std::runtime_error("fescue-load ended with " + std::to_string(code));
	return read_report(report);
}

void set_policy(FleetOptions &options, const std::string &policy)
{
	options.change_settings = [policy](const std::string &, json_t *settings) {
		json_object_set_new(settings, "choice_policy", json_string(policy.c_str()));
	};
}

// Runs a load of a constant mean rate, spread evenly over the entries, on four backend servers. One
// of them gets a control message after a third of the run.
ClassResult run_with_change(const std::string &policy, const std::string &change, long seconds)
{
	FleetOptions options = FleetOptions::small(4);
	LoadResults results;

	set_policy(options, policy);
	Fleet fleet(options);
	fleet.start();
	std::thread changer([&] {
		std::this_thread::sleep_for(std::chrono::milliseconds(seconds * 1000 / 3));
		Fleet::control(*fleet.hosts[1].backend, change);
	});
	results = run_load(fleet, {{"balance", 600, true}}, seconds);
	changer.join();
	fleet.stop();
	return results["balance"];
}

const std::vector<std::string> policies = {"expected-completion", "two-random", "least-in-flight",
					   "round-robin", "random"};

int measure_choice(long seconds)
{
	std::map<std::string, ClassResult> results;

	printf("%-20s %8s %8s %8s %8s %10s %10s\n", "policy", "sent", "answered", "not-run",
	       "unknown", "p50 us", "p99 us");
	for (const std::string &policy : policies) {
		ClassResult row = run_with_change(policy, "{\"slow_factor\":10}", seconds);

		results[policy] = row;
		printf("%-20s %8lld %8lld %8lld %8lld %10lld %10lld\n", policy.c_str(), row.sent,
		       row.answered, row.not_run, row.unknown, row.p50_us, row.p99_us);
		fflush(stdout);
	}
	double ratio = (double)results["expected-completion"].p99_us /
		       (double)results["least-in-flight"].p99_us;
	printf("choice: p99 with one of four slowed 10x is %.2f of least-in-flight's, "
	       "target 0.50: %s\n",
	       ratio, ratio <= 0.5 ? "met" : "missed");
	return 0;
}

int measure_fail_fast(long seconds)
{
	std::map<std::string, double> error_shares;

	printf("%-20s %8s %8s %8s %8s %8s\n", "policy", "sent", "answered", "errors", "not-run",
	       "share");
	for (const std::string &policy : policies) {
		ClassResult row = run_with_change(policy, "{\"fail_fast\":true}", seconds);

		error_shares[policy] = (double)row.errors / (double)row.sent;
		printf("%-20s %8lld %8lld %8lld %8lld %8.4f\n", policy.c_str(), row.sent,
		       row.answered, row.errors, row.not_run, error_shares[policy]);
		fflush(stdout);
	}
	// 0.1667 = 1/4 * 2/3: one of four servers fails, in the last two thirds of the run.
	printf("fail-fast: failed share %.4f against %.4f of round-robin, an even share of the "
	       "changed part would be 0.1667\n",
	       error_shares["expected-completion"], error_shares["round-robin"]);
	return 0;
}

// Returns options of a fleet so small that one load program can offer ten times its capacity.
FleetOptions flood_options()
{
	FleetOptions options = FleetOptions::small(4);

	options.slots = 2;
	options.service_ms = 10;
	return options;
}

// Returns the calls per second that the backend servers answer without nodes, when 64 connections
// call them directly.
double measure_capacity(Fleet &fleet, long seconds)
{
	std::string plan = fleet.folder() + "/capacity.json";
	std::string report = fleet.folder() + "/report.json";

	std::ofstream(plan) << "{\"streams\":[{\"service\":\"ledger\",\"class\":\"balance\","
			    << "\"answer_bytes\":200,\"connections\":64}]}";
	fleet.run_load(plan, {"--direct", "--json", report, "--duration-ms",
			      std::to_string(seconds * 1000), "--grace-ms", "1000"});
	return (double)read_report(report)["balance"].answered / (double)seconds;
}

void print_results(const char *phase, const LoadResults &results)
{
	for (const auto &[name, row] : results)
		printf("%-8s %-12s %8lld %8lld %8lld %8lld %10lld %10lld %8.3f\n", phase,
		       name.c_str(), row.sent, row.answered, row.not_run, row.unknown, row.p50_us,
		       row.p99_us, row.sent ? (double)row.answered / (double)row.sent : 0);
	fflush(stdout);
}

void print_header()
{
	printf("%-8s %-12s %8s %8s %8s %8s %10s %10s %8s\n", "phase", "class", "sent", "answered",
	       "not-run", "unknown", "p50 us", "p99 us", "kept");
}

double answered_per_s(const LoadResults &results, long seconds)
{
	long long answered = 0;

	for (const auto &entry : results)
		answered += entry.second.answered;
	return (double)answered / (double)seconds;
}

const std::vector<Stream> calm_streams = {
	{"purchase", 100, false}, {"balance", 150, true}, {"statement", 20, true}};

// Results of one fleet without and with a flood; rates in calls per second.
struct FloodResult {
	LoadResults calm;
	LoadResults flood;
	double capacity;
	double throughput;
};

// Measures the capacity of a fleet, then runs the calm load, then the same load with the rate of
// one stream, given by its index in calm_streams, raised to calls_per_s.
FloodResult run_flood(size_t flooded, double calls_per_s, long seconds)
{
	Fleet fleet(flood_options());
	std::vector<Stream> streams = calm_streams;
	FloodResult result;

	fleet.start();
	result.capacity = measure_capacity(fleet, seconds);
	print_header();
	result.calm = run_load(fleet, streams, seconds);
	print_results("calm", result.calm);
	streams[flooded].calls_per_s = calls_per_s;
	result.flood = run_load(fleet, streams, seconds);
	print_results("flood", result.flood);
	result.throughput = answered_per_s(result.flood, seconds);
	printf("capacity %.0f calls/s, throughput in the flood %.0f calls/s, %.2f (target 0.95: "
	       "%s)\n",
	       result.capacity, result.throughput, result.throughput / result.capacity,
	       result.throughput >= 0.95 * result.capacity ? "met" : "missed");
	fleet.stop();
	return result;
}

int measure_flood_low(long seconds)
{
	const long long target_us = 50000; // latency target of purchase in etc/rangitoto
	FloodResult result = run_flood(2, 8000, seconds);
	long long calm_us = result.calm["purchase"].p99_us;
	long long flood_us = result.flood["purchase"].p99_us;
	double ratio = (double)flood_us / (double)calm_us;

	printf("flood-low: urgent p99 %lld us, target %lld: %s; %.2f of calm, target 1.30: %s\n",
	       flood_us, target_us, flood_us <= target_us ? "met" : "missed", ratio,
	       ratio <= 1.3 ? "met" : "missed");
	return 0;
}

int measure_flood_high(long seconds)
{
	FloodResult result = run_flood(0, 2000, seconds);
	double min_answered_share = 1;

	// The profiles of all classes together fit into the capacity, and the other classes send
	// less than their profiles, so the floor of each of them covers all that it sends.
	for (const char *name : {"balance", "statement"}) {
		const ClassResult &row = result.flood[name];

		min_answered_share =
			std::min(min_answered_share, (double)row.answered / (double)row.sent);
	}
	printf("flood-high: the least that another class kept of its floor is %.3f, target 0.900: "
	       "%s\n",
	       min_answered_share, min_answered_share >= 0.9 ? "met" : "missed");
	return 0;
}

// Returns the bytes that the link carried toward a region, with the headers of each packet: 52
// bytes of IP and TCP with timestamps, 28 bytes of IP and UDP.
double link_bytes(json_t *stats, size_t region)
{
	json_t *counts = json_array_get(json_object_get(stats, "toward"), region);

	return (double)(get_integer(counts, "tcp_bytes") + get_integer(counts, "udp_bytes") +
			52 * get_integer(counts, "tcp_packets") +
			28 * get_integer(counts, "udp_packets"));
}

// Measures the traffic between the regions while there are no calls, so that the link carries only
// measuring and control traffic.
int measure_link(long seconds)
{
	const double budget_bytes_per_s = 37500; // region_link_bytes_per_s in etc/rangitoto
	Fleet fleet(FleetOptions::rangitoto());
	double max_bytes_per_s = 0;

	fleet.start();
	auto stats = [&] {
		return support::http_json(fleet.link->port(), "GET", "/control/stats");
	};
	support::Json before = stats();
	std::this_thread::sleep_for(std::chrono::seconds(seconds));
	support::Json after = stats();
	for (size_t region = 0; region < 2; region++) {
		double bytes_per_s =
			(link_bytes(after.get(), region) - link_bytes(before.get(), region)) /
			(double)seconds;

		printf("link toward region %zu: %.0f B/s\n", region, bytes_per_s);
		max_bytes_per_s = std::max(max_bytes_per_s, bytes_per_s);
	}
	printf("link: the most that measuring took in one direction is %.3f of its budget of "
	       "%.0f B/s: %s\n",
	       max_bytes_per_s / budget_bytes_per_s, budget_bytes_per_s,
	       max_bytes_per_s <= budget_bytes_per_s ? "met" : "missed");
	fleet.stop();
	return 0;
}
} // namespace

int main(int argc, char **argv)
{
	const std::map<std::string, int (*)(long)> measurements = {
		{"choice", measure_choice},	  {"fail-fast", measure_fail_fast},
		{"flood-low", measure_flood_low}, {"flood-high", measure_flood_high},
		{"link", measure_link},
	};
	auto found = measurements.find(argc > 1 ? argv[1] : "");
	long seconds = argc > 2 ? std::atol(argv[2]) : 0;

	if (found == measurements.end() || seconds < 1 || seconds > 600) {
		std::cerr << "usage: measure-fleet choice|fail-fast|flood-low|flood-high|link "
			     "SECONDS (1 to 600)\n";
		return 2;
	}
	try {
		return found->second(seconds);
	} catch (const std::exception &failure) {
		std::cerr << "measure-fleet: " << failure.what() << "\n";
		return 1;
	}
}
