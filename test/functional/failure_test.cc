// Failures on the path between nodes: killed and paused nodes, and connections that go silent. In
// each case a call runs at most once unless it is idempotent, and the outcome reported to its
// caller is true.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

#include <signal.h>

using namespace support;

namespace
{
constexpr int CALLERS = 8;

LoadDriverOptions options_for(const std::string &method)
{
	LoadDriverOptions options;

	options.method = method;
	options.callers = CALLERS;
	return options;
}
} // namespace

TEST(Failure, AllIdempotentCallsAreAnsweredAfterANodeIsKilled)
{
	Fleet fleet(FleetOptions::small(3));
	fleet.start();
	LoadDriver driver(fleet, options_for("PUT"));
	sleep_ms(300);
	fleet.hosts[1].node->kill();
	sleep_ms(6000);
	const CallResults &results = driver.stop();
	EXPECT_EQ(count_results(results, "answered"), (int)results.size()) << tally(results);
	expect_results_match_starts(read_call_starts(fleet), results, true);
}

TEST(Failure, NonIdempotentCallsRunAtMostOnceAfterANodeIsKilled)
{
	Fleet fleet(FleetOptions::small(3));
	fleet.start();
	LoadDriver driver(fleet, options_for("POST"));
	sleep_ms(300);
	fleet.hosts[1].node->kill();
	sleep_ms(6000);
	const CallResults &results = driver.stop();
	expect_results_match_starts(read_call_starts(fleet), results, false);
	// Only calls at the killed node may be unknown: at most one of each caller.
	EXPECT_LE(count_results(results, "unknown"), CALLERS);
	EXPECT_GT(count_results(results, "answered"), 100);
}

TEST(Failure, PausedNodeRunsNoCallTwiceAndServesAgainAfterResume)
{
	Fleet fleet(FleetOptions::small(2));
	fleet.start();
	LoadDriver driver(fleet, options_for("POST"));
	sleep_ms(300);
	fleet.hosts[1].node->signal(SIGSTOP);
	sleep_ms(5000);
	fleet.hosts[1].node->signal(SIGCONT);
	sleep_ms(3000);
	const CallResults &results = driver.stop();
	expect_results_match_starts(read_call_starts(fleet), results, false);
	EXPECT_GT(count_results(results, "answered"), 100);
	fleet.wait_until_reachable(fleet.hosts[1], "ledger", 5000);
}

TEST(Failure, RestartedNodeIsUsedAgain)
{
	Fleet fleet(FleetOptions::small(2));
	fleet.start();
	LoadDriver driver(fleet, options_for("POST"));
	sleep_ms(300);
	fleet.hosts[1].node->kill();
	fleet.start_node(fleet.hosts[1]);
	fleet.hosts[1].backend->kill();
	fleet.start_backend(fleet.hosts[1]);
	fleet.wait_until_reachable(fleet.hosts[1], "ledger", 10000);
	const CallResults &results = driver.stop();
	// The killed backend server of host 1 lost its record of executions, so the outcomes cannot
	// be compared with them.
	EXPECT_LE(count_results(results, "unknown"), CALLERS);
	EXPECT_GT(count_results(results, "answered"), 20);
}

namespace
{
// A backend server of the ledger in one region, called from the other region.
FleetOptions across_regions()
{
	FleetOptions options;

	options.failure_domains = {"north-a", "south-a"};
	options.services = {{"ledger", 1}, {"catalogue", 2}};
	return options;
}
} // namespace

TEST(Failure, SilentConnectionIsReplacedAndTheOutcomeIsAskedForAgain)
{
	Fleet fleet(across_regions());
	fleet.start();
	Host &south = fleet.hosts[2];
	ASSERT_EQ(south.region, 1);

	for (int i = 0; i < 2; i++) {
		std::string id = "x-call: silent-" + std::to_string(i);

		Fleet::control(*fleet.link, "{\"silence\":true}");
		HttpAnswer answer = fleet.call(south, "POST", "/ledger/buy", "purchase", "x", {id});
		// If the call itself was lost with the connection, the outcome is not-run: when
		// asked, the gate reports that it has not run the call and refuses it from then on.
		std::string outcome = answer.headers["x-fescue-outcome"];
		int64_t ran = read_call_starts(fleet)["silent-" + std::to_string(i)];
		EXPECT_TRUE(outcome == "answered" || outcome == "not-run")
			<< outcome << " " << answer.headers["x-fescue-reason"];
		EXPECT_EQ(ran, outcome == "answered" ? 1 : 0);
	}
}

// The entry asks the gate for the outcome over a new connection. The first call ends before this
// request, the second one after it.
TEST(Failure, AnswerLostWithItsConnectionArrivesOverTheNext)
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
		for (int i = 0; i < 2000 && read_call_starts(fleet)[id] == 0; i++)
			sleep_ms(1);
		Fleet::control(*fleet.link, "{\"silence\":true}");
		caller.join();
		EXPECT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
		EXPECT_EQ(answer.headers["x-fescue-attempts"], "1");
		EXPECT_EQ(read_call_starts(fleet)[id], 1);
	}
}

// A body of 8 MiB takes over 2 s in each direction at the rate of the link, longer than a
// connection may be silent.
TEST(Failure, LargeBodyOnASlowLinkIsNotTreatedAsSilence)
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
	EXPECT_EQ(read_call_starts(fleet)["plate"], 1);
}
