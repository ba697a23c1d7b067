// Processes killed in the middle of calls: an entry's node and a backend server. A gate's node is
// killed in failure_test.cc.
#include "functional/support/drive.h"

#include <gtest/gtest.h>

using namespace support;

namespace
{
constexpr int CALLERS = 8;
constexpr int SLOTS = 6;
constexpr int CALL_MS = 10000;
// A call's deadline, and the time in which the dead are out of choice for all.
constexpr int64_t BOUND_MS = CALL_MS + 5000;

DriveOptions elsewhere(const std::string &method)
{
	DriveOptions options;

	options.method = method;
	options.entries = {0, 1, 2, 3};
	options.tries = 4;
	return options;
}

// Kills an entry's node under load, and ends the load after all have noticed.
void kill_entry(Fleet &fleet, const std::string &method, ToldCalls *told)
{
	fleet.start();
	Drive drive(fleet, elsewhere(method));
	ASSERT_TRUE(drive.wait_answered(100, CALL_MS));
	fleet.hosts[3].node->kill();
	EXPECT_TRUE(wait_until(
		[&] { return state_in_view(fleet.hosts[0], fleet.hosts[3]) == "dead"; }, 5000));
	ASSERT_TRUE(drive.wait_answered(100, CALL_MS));
	*told = drive.stop();
	expect_within_ms(*told, BOUND_MS);
}

// Drives calls that hold a slot each, kills the backend server that holds the most, and gives its
// ledger as it was just before.
Ledger kill_backend(Fleet &fleet, const std::string &method, ToldCalls *told)
{
	DriveOptions options;
	Ledger before;

	options.method = method;
	options.callers = CALLERS;
	fleet.start();
	Drive drive(fleet, options);
	// Retries have a budget, which grows with the calls.
	EXPECT_TRUE(drive.wait_answered(300, CALL_MS));
	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"slow_factor\":100}");
	EXPECT_TRUE(wait_until(
		[&] {
			return stat_of(fleet.hosts[1], "running") +
				       stat_of(fleet.hosts[2], "running") >
			       1;
		},
		CALL_MS));
	Host &most = stat_of(fleet.hosts[1], "running") > stat_of(fleet.hosts[2], "running")
			     ? fleet.hosts[1]
			     : fleet.hosts[2];
	Json all = http_json(most.backend->port(), "GET", "/executions");
	const char *call;
	json_t *value;
	json_object_foreach(json_object_get(all.get(), "calls"), call, value)
	{
		before[call] = json_integer_value(json_array_get(value, 0));
	}
	most.backend->kill();
	EXPECT_TRUE(drive.wait_answered(20, CALL_MS));
	*told = drive.stop();
	expect_within_ms(*told, BOUND_MS);
	return before;
}
} // namespace

TEST(Kill, IdempotentCallsOfAKilledEntryAreAnsweredElsewhere)
{
	Fleet fleet(FleetOptions::small(4));
	ToldCalls told;

	kill_entry(fleet, "PUT", &told);
	EXPECT_EQ(count_told(told, "answered"), (int)told.size()) << tally(told);
	expect_true(read_ledger(fleet), told, true);
}

TEST(Kill, OtherCallsOfAKilledEntryRunAtMostOnce)
{
	Fleet fleet(FleetOptions::small(4));
	ToldCalls told;

	kill_entry(fleet, "POST", &told);
	// Only what was at the killed node may be without a certain outcome.
	EXPECT_GE(count_told(told, "answered"), (int)told.size() - CALLERS) << tally(told);
	expect_true(read_ledger(fleet), told, false);
}

TEST(Kill, IdempotentCallsOfAKilledBackendServerAreAnsweredElsewhere)
{
	Fleet fleet(FleetOptions::small(3));
	ToldCalls told;
	Ledger ledger = kill_backend(fleet, "PUT", &told);

	for (const auto &[call, ran] : read_ledger(fleet))
		ledger[call] += ran;
	EXPECT_EQ(count_told(told, "answered"), (int)told.size()) << tally(told);
	expect_true(ledger, told, true);
}

TEST(Kill, OtherCallsOfAKilledBackendServerAreUnknownAndRunNowhereElse)
{
	Fleet fleet(FleetOptions::small(3));
	ToldCalls told;
	Ledger before = kill_backend(fleet, "POST", &told);
	Ledger ledger = read_ledger(fleet);

	for (const auto &[call, ran] : before) {
		ledger[call] += ran;
	}
	// Only what held a slot there may be without a certain outcome.
	EXPECT_GE(count_told(told, "unknown"), 1);
	EXPECT_LE(count_told(told, "unknown"), SLOTS);
	EXPECT_EQ(count_told(told, "answered") + count_told(told, "unknown"), (int)told.size())
		<< tally(told);
	expect_true(ledger, told, false);
}
