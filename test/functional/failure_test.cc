// Failures on the path between nodes: killed and paused nodes, connections that go silent. Whatever
// happens, a call runs at most once unless it is idempotent, and what is told is true.
#include "functional/support/drive.h"

#include <gtest/gtest.h>

#include <signal.h>

using namespace support;

namespace
{
constexpr int CALLERS = 8;

DriveOptions method(const std::string &name)
{
	DriveOptions options;

	options.method = name;
	options.callers = CALLERS;
	return options;
}
} // namespace

TEST(Failure, AKilledNodeCostsNoIdempotentCall)
{
	Fleet fleet(FleetOptions::small(3));
	fleet.start();
	Drive drive(fleet, method("PUT"));
	pause_ms(300);
	fleet.hosts[1].node->kill();
	pause_ms(6000);
	const ToldCalls &told = drive.stop();
	EXPECT_EQ(count_told(told, "answered"), (int)told.size()) << tally(told);
	expect_true(read_ledger(fleet), told, true);
}

TEST(Failure, AKilledNodeRunsNoOtherCallTwice)
{
	Fleet fleet(FleetOptions::small(3));
	fleet.start();
	Drive drive(fleet, method("POST"));
	pause_ms(300);
	fleet.hosts[1].node->kill();
	pause_ms(6000);
	const ToldCalls &told = drive.stop();
	expect_true(read_ledger(fleet), told, false);
	// Only what was at the killed node may be unknown: at most one call of each caller.
	EXPECT_LE(count_told(told, "unknown"), CALLERS);
	EXPECT_GT(count_told(told, "answered"), 100);
}

TEST(Failure, APausedNodeRunsNoCallTwiceAndServesAgain)
{
	Fleet fleet(FleetOptions::small(2));
	fleet.start();
	Drive drive(fleet, method("POST"));
	pause_ms(300);
	fleet.hosts[1].node->signal(SIGSTOP);
	pause_ms(5000);
	fleet.hosts[1].node->signal(SIGCONT);
	pause_ms(3000);
	const ToldCalls &told = drive.stop();
	expect_true(read_ledger(fleet), told, false);
	EXPECT_GT(count_told(told, "answered"), 100);
	fleet.wait_reaches(fleet.hosts[1], "ledger", 5000);
}

TEST(Failure, ARestartedNodeIsFoundAgain)
{
	Fleet fleet(FleetOptions::small(2));
	fleet.start();
	Drive drive(fleet, method("POST"));
	pause_ms(300);
	fleet.hosts[1].node->kill();
	fleet.start_node(fleet.hosts[1]);
	fleet.hosts[1].backend->kill();
	fleet.start_backend(fleet.hosts[1]);
	fleet.wait_reaches(fleet.hosts[1], "ledger", 10000);
	const ToldCalls &told = drive.stop();
	// The first backend server's record of host 1 went with it, so only host 0 is compared.
	EXPECT_LE(count_told(told, "unknown"), CALLERS);
	EXPECT_GT(count_told(told, "answered"), 20);
}

namespace
{
// A ledger in one region, called from the other.
FleetOptions across_regions()
{
	FleetOptions options;

	options.failure_domains = {"north-a", "south-a"};
	options.services = {{"ledger", 1}, {"catalogue", 2}};
	return options;
}
} // namespace

TEST(Failure, ConnectionsGoneSilentAreReplacedAndAskedAgain)
{
	Fleet fleet(across_regions());
	fleet.start();
	Host &south = fleet.hosts[2];
	ASSERT_EQ(south.region, 1);

	for (int i = 0; i < 2; i++) {
		std::string id = "x-call: silent-" + std::to_string(i);

		Fleet::control(*fleet.link, "{\"silence\":true}");
		HttpAnswer answer = fleet.call(south, "POST", "/ledger/buy", "purchase", "x", {id});
		// The call itself may have been lost with the connection; then it is told not run,
		// because the gate says so and refuses it for good.
		std::string outcome = answer.headers["x-fescue-outcome"];
		int64_t ran = read_ledger(fleet)["silent-" + std::to_string(i)];
		EXPECT_TRUE(outcome == "answered" || outcome == "not-run")
			<< outcome << " " << answer.headers["x-fescue-reason"];
		EXPECT_EQ(ran, outcome == "answered" ? 1 : 0);
	}
}

// The first call ends before the question over the new connection, the second one after it.
TEST(Failure, AnAnswerLostWithItsConnectionComesOverTheNext)
{
	Fleet fleet(across_regions());
	fleet.start();
	Host &south = fleet.hosts[2];

	for (int slow_factor : {100, 700}) {
		std::string id = "slow-" + std::to_string(slow_factor);
		HttpAnswer answer;

		Fleet::control(*fleet.hosts[0].backend,
			       "{\"slow_factor\":" + std::to_string(slow_factor) + "}");
		std::thread caller([&] {
			answer = fleet.call(south, "POST", "/ledger/buy", "purchase", "x",
					    {"x-call: " + id});
		});
		for (int i = 0; i < 2000 && read_ledger(fleet)[id] == 0; i++)
			pause_ms(1);
		Fleet::control(*fleet.link, "{\"silence\":true}");
		caller.join();
		EXPECT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
		EXPECT_EQ(answer.headers["x-fescue-attempts"], "1");
		EXPECT_EQ(read_ledger(fleet)[id], 1);
	}
}

// A body of 8 MB takes over 2 s each way at the link's rate, longer than a silence may last.
TEST(Failure, ALargeBodyOnTheSlowLinkIsNotTakenForSilence)
{
	Fleet fleet(across_regions());
	fleet.start();
	size_t size = 8 * 1024 * 1024;
	HttpAnswer answer = fleet.call(fleet.hosts[2], "POST", "/ledger/plate", "purchase",
				       std::string(size, 'p'),
				       {"x-call: plate", "x-standin-size: " + std::to_string(size),
					"x-fescue-deadline-ms: 20000"},
				       25000);

	EXPECT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
	EXPECT_EQ(answer.headers["x-fescue-attempts"], "1");
	EXPECT_EQ(answer.body.size(), size);
	EXPECT_EQ(read_ledger(fleet)["plate"], 1);
}
