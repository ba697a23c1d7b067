// Calls with an idempotency key: a repeat may enter at any node, and the call runs at most once.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <chrono>
#include <thread>

using support::Fleet;
using support::FleetOptions;
using support::Host;
using support::HttpAnswer;
using support::new_idempotency_key;

namespace
{
class Keyed : public ::testing::Test
{
      protected:
	Fleet fleet{FleetOptions::small(3)};

	void SetUp() override
	{
		fleet.start();
	}

	HttpAnswer buy(const Host &entry, const std::string &key, const std::string &call)
	{
		return fleet.call(entry, "POST", "/ledger/buy", "purchase", "x",
				  {"idempotency-key: " + key, "x-call: " + call});
	}

	// Returns how often a call started at all backend servers together.
	int64_t starts(const std::string &call)
	{
		return support::read_call_starts(fleet)[call];
	}
};
} // namespace

TEST_F(Keyed, RepeatAtAnyEntryGetsTheSameAnswer)
{
	for (int i = 0; i < 9; i++) {
		std::string key = new_idempotency_key();
		std::string call = "call-" + std::to_string(i);
		HttpAnswer first = buy(fleet.hosts[(size_t)i % 3], key, call);
		HttpAnswer again = buy(fleet.hosts[(size_t)(i + 1) % 3], key, call);

		ASSERT_EQ(first.status, 200) << first.headers["x-fescue-reason"];
		ASSERT_EQ(again.status, 200) << again.headers["x-fescue-reason"];
		EXPECT_EQ(first.body, again.body);
		EXPECT_EQ(first.headers["x-standin-body-sum"], again.headers["x-standin-body-sum"]);
		EXPECT_EQ(starts(call), 1);
	}
}

TEST_F(Keyed, RepeatWhileTheFirstCallRunsIsUnknown)
{
	std::string key = new_idempotency_key();

	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"slow_factor\":200}");
	std::thread first([&] { EXPECT_EQ(buy(fleet.hosts[0], key, "slow").status, 200); });
	while (starts("slow") == 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(1));
	HttpAnswer again = buy(fleet.hosts[1], key, "slow");
	EXPECT_EQ(again.headers["x-fescue-outcome"], "unknown");
	EXPECT_EQ(again.headers["x-fescue-reason"], "key-running");
	first.join();
	EXPECT_EQ(buy(fleet.hosts[2], key, "slow").status, 200);
	EXPECT_EQ(starts("slow"), 1);
}

TEST_F(Keyed, RefusedCallMayRunLater)
{
	std::string key = new_idempotency_key();

	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"shed\":true}");
	EXPECT_EQ(buy(fleet.hosts[0], key, "shed").headers["x-fescue-outcome"], "not-run");
	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"shed\":false}");
	EXPECT_EQ(buy(fleet.hosts[1], key, "shed").status, 200);
	EXPECT_EQ(starts("shed"), 1);
}

TEST_F(Keyed, KeysOfAKilledOwnerDoNotRunAgain)
{
	std::vector<std::string> keys;

	for (int i = 0; i < 12; i++) {
		keys.push_back(new_idempotency_key());
		ASSERT_EQ(buy(fleet.hosts[0], keys.back(), "k" + std::to_string(i)).status, 200);
	}
	fleet.hosts[1].node->kill();
	for (int i = 0; i < 12; i++) {
		std::string call = "k" + std::to_string(i);
		HttpAnswer again = buy(fleet.hosts[2], keys[(size_t)i], call);
		std::string outcome = again.headers["x-fescue-outcome"];

		EXPECT_TRUE(again.status == 200 || outcome == "not-run" || outcome == "unknown");
		EXPECT_EQ(starts(call), 1) << outcome;
	}
}

TEST_F(Keyed, KeysOfAStoppedOwnerDoNotRunAgainAndNewKeysRun)
{
	std::vector<std::string> keys;

	for (int i = 0; i < 12; i++) {
		keys.push_back(new_idempotency_key());
		ASSERT_EQ(buy(fleet.hosts[0], keys.back(), "s" + std::to_string(i)).status, 200);
	}
	fleet.hosts[1].node->signal(SIGTERM);
	EXPECT_EQ(fleet.hosts[1].node->wait(10000), 0);
	for (int i = 0; i < 12; i++) {
		buy(fleet.hosts[2], keys[(size_t)i], "s" + std::to_string(i));
		EXPECT_EQ(starts("s" + std::to_string(i)), 1);
	}
	// New keys run, also those whose owner was the stopped node.
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	for (int i = 0; i < 12; i++) {
		HttpAnswer answer =
			buy(fleet.hosts[0], new_idempotency_key(), "n" + std::to_string(i));
		EXPECT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
	}
}
