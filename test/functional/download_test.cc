// Downloads: answers of 540 KB over a slow link between regions. They arrive whole, and small
// answers of the same gate are not delayed until they have arrived.
#include "functional/support/fleet.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using support::Fleet;
using support::FleetOptions;
using support::Host;
using support::HttpAnswer;

namespace
{
constexpr size_t DOWNLOAD_BYTES = 540000;
constexpr int LINK_MBIT = 8; // a download takes 0.54 s alone
constexpr int TIMEOUT_MS = 20000;

class Download : public ::testing::Test
{
      protected:
	std::unique_ptr<Fleet> fleet;

	void SetUp() override
	{
		FleetOptions options;

		options.failure_domains = {"north-a", "south-a"};
		options.services = {{"ledger", 2}};
		options.link_rate_mbit = LINK_MBIT;
		fleet = std::make_unique<Fleet>(options);
		fleet->start();
		// From now on all calls cross the link.
		fleet->hosts[0].backend->kill();
		fleet->wait_until_reachable(fleet->hosts[0], "ledger", TIMEOUT_MS);
	}

	HttpAnswer get(const std::string &name, size_t size)
	{
		return fleet->call(fleet->hosts[0], "GET", "/ledger/balance", "balance", "",
				   {"x-call: " + name, "x-standin-size: " + std::to_string(size),
				    "x-fescue-deadline-ms: " + std::to_string(TIMEOUT_MS)},
				   TIMEOUT_MS);
	}
	// Returns the body that a backend server gives to a call of this name.
	std::string body_of(const std::string &name)
	{
		return support::http(fleet->hosts[1].backend->port(), "GET", "/direct", "",
				     {"x-call: " + name,
				      "x-standin-size: " + std::to_string(DOWNLOAD_BYTES)},
				     TIMEOUT_MS)
			.body;
	}
};

TEST_F(Download, ArrivesWholeWhileSmallAnswersPassIt)
{
	constexpr int DOWNLOADS = 6;
	std::atomic<int> left{DOWNLOADS};
	std::vector<HttpAnswer> answers(DOWNLOADS);
	std::vector<std::thread> callers;
	int passed = 0;

	for (int i = 0; i < DOWNLOADS; i++)
		callers.emplace_back([this, i, &answers, &left] {
			answers[(size_t)i] = get("download-" + std::to_string(i), DOWNLOAD_BYTES);
			left--;
		});
	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	// Six downloads take more than 3 s: small calls end while all of them are under way.
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(200, get("small-" + std::to_string(i), 16).status);
		passed += left == DOWNLOADS;
	}
	for (std::thread &caller : callers)
		caller.join();
	for (int i = 0; i < DOWNLOADS; i++) {
		const std::string expected = body_of("download-" + std::to_string(i));

		EXPECT_EQ(200, answers[(size_t)i].status);
		EXPECT_EQ(DOWNLOAD_BYTES, expected.size());
		EXPECT_TRUE(answers[(size_t)i].body == expected) << answers[(size_t)i].body.size();
	}
	EXPECT_GT(passed, 0);
}
} // namespace
