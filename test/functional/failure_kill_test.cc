// Processes killed while they handle calls: the node of an entry, and a backend server. The node of
// a gate is killed in failure_test.cc.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

using namespace support;

namespace
{
constexpr int CALLERS = 8;
constexpr int SLOTS = 6;	   // of each backend server
constexpr int DEADLINE_MS = 10000; // of a call
// The deadline of a call plus 5 s, after which no node chooses a killed process any more.
constexpr int64_t MAX_CALL_MS = DEADLINE_MS + 5000;

LoadDriverOptions options_for_all_entries(const std::string &method)
{
	LoadDriverOptions options;

	options.method = method;
	options.entries = {0, 1, 2, 3};
	options.tries = 4;
	return options;
}

// Kills the node of an entry under load, and stops the load after the first node sees it as dead.
void kill_entry(Fleet &fleet, const std::string &method, CallResults *results)
{
	fleet.start();
	LoadDriver driver(fleet, options_for_all_entries(method));
	ASSERT_TRUE(driver.wait_answered(100, DEADLINE_MS));
	fleet.hosts[3].node->kill();
	EXPECT_TRUE(wait_until(
		[&] { return state_in_view(fleet.hosts[0], fleet.hosts[3]) == "dead"; }, 5000));
	ASSERT_TRUE(driver.wait_answered(100, DEADLINE_MS));
	*results = driver.stop();
	expect_within_ms(*results, MAX_CALL_MS);
}

// Starts calls that each hold a slot for a long time, kills the backend server that runs the most
// of them, and returns the executions that it had recorded just before.
CallStarts kill_backend(Fleet &fleet, const std::string &method, CallResults *results)
{
	LoadDriverOptions options;
	CallStarts before;

	options.method = method;
	options.callers = CALLERS;
	fleet.start();
	LoadDriver driver(fleet, options);
	// The retry budget grows with the number of calls: these provide for the retries after the
	// kill.
	EXPECT_TRUE(driver.wait_answered(300, DEADLINE_MS));
	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"slow_factor\":100}");
	EXPECT_TRUE(wait_until(
		[&] {
			return read_backend_stat(fleet.hosts[1], "running") +
				       read_backend_stat(fleet.hosts[2], "running") >
			       1;
		},
		DEADLINE_MS));
	Host &busiest = read_backend_stat(fleet.hosts[1], "running") >
					read_backend_stat(fleet.hosts[2], "running")
				? fleet.hosts[1]
				: fleet.hosts[2];
	Json all = http_json(busiest.backend->port(), "GET", "/executions");
	const char *call;
	json_t *value;
	json_object_foreach(json_object_get(all.get(), "calls"), call, value)
	{
		before[call] = json_integer_value(json_array_get(value, 0));
	}
	busiest.backend->kill();
	EXPECT_TRUE(driver.wait_answered(20, DEADLINE_MS));
	*results = driver.stop();
	expect_within_ms(*results, MAX_CALL_MS);
	return before;
}
} // namespace

TEST(Kill, IdempotentCallsAtAKilledEntryAreAnsweredByAnother)
{
	Fleet fleet(FleetOptions::small(4));
	CallResults results;

	kill_entry(fleet, "PUT", &results);
	EXPECT_EQ(count_results(results, "answered"), (int)results.size()) << tally(results);
	expect_results_match_starts(read_call_starts(fleet), results, true);
}

TEST(Kill, NonIdempotentCallsAtAKilledEntryRunAtMostOnce)
{
	Fleet fleet(FleetOptions::small(4));
	CallResults results;

	kill_entry(fleet, "POST", &results);
	// Only calls at the killed node may be unanswered: at most one of each caller.
	EXPECT_GE(count_results(results, "answered"), (int)results.size() - CALLERS)
		<< tally(results);
	expect_results_match_starts(read_call_starts(fleet), results, false);
}

TEST(Kill, IdempotentCallsAtAKilledBackendServerAreAnsweredByAnother)
{
	Fleet fleet(FleetOptions::small(3));
	CallResults results;
	CallStarts call_starts = kill_backend(fleet, "PUT", &results);

	for (const auto &[call, ran] : read_call_starts(fleet))
		call_starts[call] += ran;
	EXPECT_EQ(count_results(results, "answered"), (int)results.size()) << tally(results);
	expect_results_match_starts(call_starts, results, true);
}

TEST(Kill, NonIdempotentCallsAtAKilledBackendServerAreUnknownAndNotRetried)
{
	Fleet fleet(FleetOptions::small(3));
	CallResults results;
	CallStarts before = kill_backend(fleet, "POST", &results);
	CallStarts call_starts = read_call_starts(fleet);

	for (const auto &[call, ran] : before) {
		call_starts[call] += ran;
	}
	// Only calls that held a slot of the killed backend server may be unknown.
	EXPECT_GE(count_results(results, "unknown"), 1);
	EXPECT_LE(count_results(results, "unknown"), SLOTS);
	EXPECT_EQ(count_results(results, "answered") + count_results(results, "unknown"),
		  (int)results.size())
		<< tally(results);
	expect_results_match_starts(call_starts, results, false);
}
