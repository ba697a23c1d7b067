// Planned stops: backend servers that drain, and a rolling restart of every node under load.
#include "functional/support/drive.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <iostream>

using namespace support;

namespace
{
constexpr int LEAVING_MS = 3000; // in which all know that a backend server is leaving
constexpr int EVENT_MS = 5000;
constexpr int STOP_MS = 30000; // the stop limit of the settings
constexpr int CALLERS = 8;
} // namespace

TEST(Restart, ADrainingBackendServerGetsNoNewWorkAndEndsItsOwnWhole)
{
	Fleet fleet(FleetOptions::small(4));

	fleet.start();
	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"slow_factor\":100}");
	Host &leaving = fleet.hosts[1];
	DriveOptions options;
	options.callers = 16;
	Drive drive(fleet, options);
	ASSERT_TRUE(wait_until([&] { return stat_of(leaving, "running") > 0; }, EVENT_MS));
	Fleet::control(*leaving.backend, "{\"drain\":true}");
	pause_ms(LEAVING_MS);
	int64_t requests = stat_of(leaving, "requests");
	pause_ms(LEAVING_MS);
	EXPECT_EQ(stat_of(leaving, "requests"), requests);
	EXPECT_EQ(stat_of(leaving, "running"), 0);
	const ToldCalls &told = drive.stop();
	EXPECT_EQ(count_told(told, "answered"), (int)told.size()) << tally(told);
	expect_true(read_ledger(fleet), told, false);
	leaving.backend->signal(SIGTERM);
	EXPECT_EQ(leaving.backend->wait(EVENT_MS), 0);
}

TEST(Restart, ARollingRestartOfTheWholeFleetCutsAndLosesNothing)
{
	FleetOptions fleet_options = FleetOptions::small(5);
	DriveOptions options;

	fleet_options.keeps_ports = true;
	options.entries = {0, 1, 2, 3, 4};
	options.tries = 5;
	options.callers = CALLERS;
	options.pause_ms = 5;
	Fleet fleet(fleet_options);
	fleet.start();
	Drive drive(fleet, options);
	for (Host &host : fleet.hosts) {
		ASSERT_TRUE(drive.wait_answered(100, EVENT_MS));
		host.node->signal(SIGTERM);
		EXPECT_EQ(host.node->wait(STOP_MS), 0) << host.node->log_tail();
		fleet.start_node(host);
		EXPECT_NO_THROW(fleet.wait_reaches(host, "ledger", EVENT_MS));
	}
	ASSERT_TRUE(drive.wait_answered(100, EVENT_MS));
	const ToldCalls &told = drive.stop();
	for (const auto &[call, one] : told) {
		EXPECT_EQ(one.outcome, "answered") << call << " " << one.reason;
	}
	expect_true(read_ledger(fleet), told, false);
	// Calls go to five entries in turn, of which one is away: one try in five finds it so.
	std::cout << "answered " << drive.answered() << ", refused " << drive.refused() << "\n";
	EXPECT_LE(drive.refused(), drive.answered() / 4);
}
