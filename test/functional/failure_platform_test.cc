// The platform is down, slow or loses answers, and operators make changes at the same time: an
// accepted change is in force on all nodes in time and never reverts, and calls are still served.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <future>

using namespace support;

namespace
{
constexpr int IN_FORCE_MS = 4000;      // until a change is in force on all nodes
constexpr int EVENT_TIMEOUT_MS = 5000; // within which an expected event must happen
constexpr int READ_INTERVAL_MS = 200;  // between two reads of the versions
constexpr int STOP_TIMEOUT_MS = 30000; // stop_limit_ms of the nodes' settings

// Reads the versions in force on the given nodes until it is destroyed, and fails the test if one
// of them decreased.
class VersionMonitor
{
      public:
	explicit VersionMonitor(std::vector<const Host *> hosts) : hosts_(std::move(hosts))
	{
		thread_ = std::thread([this] { run(); });
	}

	~VersionMonitor()
	{
		stopped_ = true;
		thread_.join();
		EXPECT_EQ(reverted_, 0) << "the version in force on a node decreased";
	}

      private:
	void run()
	{
		std::map<const Host *, int64_t> highest;

		while (!stopped_) {
			for (const Host *host : hosts_) {
				int64_t version = version_in_force(*host);

				reverted_ += version > 0 && version < highest[host];
				highest[host] = std::max(version, highest[host]);
			}
			sleep_ms(READ_INTERVAL_MS);
		}
	}

	std::vector<const Host *> hosts_;
	std::atomic<bool> stopped_{false};
	std::atomic<int> reverted_{0};
	std::thread thread_;
};

class Platform : public ::testing::Test
{
      protected:
	static FleetOptions options()
	{
		FleetOptions options = FleetOptions::small(4);

		options.keeps_ports = true;
		return options;
	}

	Fleet fleet{options()};

	void SetUp() override
	{
		fleet.start();
		for (Host &host : fleet.hosts)
			ASSERT_TRUE(wait_version(host, 1, IN_FORCE_MS));
	}

	void set_platform_mode(const std::string &name, int delay_ms = 0)
	{
		Fleet::control(*fleet.platform, "{\"mode\":\"" + name + "\",\"delay_ms\":" +
							std::to_string(delay_ms) + "}");
	}

	int64_t in_force()
	{
		return version_in_force(fleet.hosts[0]);
	}

	// Expects that a version is in force on all nodes within IN_FORCE_MS.
	void expect_version_everywhere(int64_t version)
	{
		std::vector<std::future<bool>> all;

		ASSERT_GT(version, 0);
		for (const Host &host : fleet.hosts)
			all.push_back(std::async(std::launch::async, [&host, version] {
				return wait_version(host, version, IN_FORCE_MS);
			}));
		for (size_t i = 0; i < all.size(); i++)
			EXPECT_TRUE(all[i].get()) << fleet.hosts[i].name;
	}

	static std::vector<const Host *> first_hosts(const std::vector<Host> &hosts, size_t count)
	{
		std::vector<const Host *> list;

		for (size_t i = 0; i < count; i++)
			list.push_back(&hosts[i]);
		return list;
	}
};

std::string error_kind(const HttpAnswer &answer)
{
	Json root(json_loads(answer.body.c_str(), 0, nullptr));
	const char *kind =
		json_string_value(json_object_get(json_object_get(root.get(), "error"), "kind"));

	return kind ? kind : "";
}
} // namespace

TEST_F(Platform, CallsDrainReplacementAndConfigurationWorkDuringAnOutage)
{
	VersionMonitor monitor(first_hosts(fleet.hosts, 3));
	Host &replaced = fleet.hosts[3];
	int64_t base = in_force();
	LoadDriver driver(fleet, LoadDriverOptions());

	set_platform_mode("down");
	EXPECT_NE(put_class(fleet.hosts[0], "purchase", 60, base).status, 200);
	replaced.node->kill();
	EXPECT_TRUE(wait_until([&] { return state_in_view(fleet.hosts[0], replaced) == "dead"; },
			       EVENT_TIMEOUT_MS));
	fleet.start_node(replaced);
	EXPECT_TRUE(wait_version(replaced, base, EVENT_TIMEOUT_MS));
	EXPECT_NO_THROW(fleet.wait_until_reachable(replaced, "ledger", EVENT_TIMEOUT_MS));
	fleet.hosts[2].node->signal(SIGTERM);
	EXPECT_EQ(fleet.hosts[2].node->wait(STOP_TIMEOUT_MS), 0) << fleet.hosts[2].node->log_tail();
	EXPECT_NE(state_in_view(fleet.hosts[0], fleet.hosts[2]), "alive");
	fleet.start_node(fleet.hosts[2]);
	EXPECT_TRUE(wait_version(fleet.hosts[2], base, EVENT_TIMEOUT_MS));
	EXPECT_TRUE(driver.wait_answered(100, EVENT_TIMEOUT_MS));
	set_platform_mode("up");
	HttpAnswer accepted;
	EXPECT_TRUE(wait_until(
		[&] {
			accepted = put_class(fleet.hosts[1], "purchase", 70, base);
			return accepted.status == 200;
		},
		EVENT_TIMEOUT_MS))
		<< accepted.body;
	expect_version_everywhere(get_json_number(accepted, "version"));
	const CallResults &results = driver.stop();
	expect_results_match_starts(read_call_starts(fleet), results, false);
	// Only calls at the killed node may be unanswered: at most one of each of the 8 callers.
	EXPECT_GE(count_results(results, "answered") + 8, (int)results.size()) << tally(results);
}

TEST_F(Platform, ChangesAreInForceInTimeWhileThePlatformIsSlowOrLosesAnswers)
{
	VersionMonitor monitor(first_hosts(fleet.hosts, 4));
	LoadDriver driver(fleet, LoadDriverOptions());

	set_platform_mode("slow", 1500);
	HttpAnswer slow = put_class(fleet.hosts[0], "purchase", 60, in_force());
	EXPECT_EQ(slow.status, 200) << slow.body;
	expect_version_everywhere(get_json_number(slow, "version"));
	set_platform_mode("lose-answers");
	HttpAnswer lost =
		put_class(fleet.hosts[1], "purchase", 70, get_json_number(slow, "version"));
	set_platform_mode("up");
	EXPECT_EQ(lost.status, 200) << lost.body;
	expect_version_everywhere(get_json_number(lost, "version"));
	EXPECT_TRUE(driver.wait_answered(100, EVENT_TIMEOUT_MS));
	const CallResults &results = driver.stop();
	expect_results_match_starts(read_call_starts(fleet), results, false);
	EXPECT_EQ(count_results(results, "answered"), (int)results.size()) << tally(results);
}

TEST_F(Platform, OneOfTwoConcurrentChangesIsAcceptedAndInForceOnAllNodes)
{
	VersionMonitor monitor(first_hosts(fleet.hosts, 4));

	for (int round = 0; round < 5; round++) {
		int64_t base = in_force();
		std::vector<std::future<HttpAnswer>> answers;
		std::vector<HttpAnswer> accepted;

		for (size_t i = 0; i < 2; i++)
			answers.push_back(std::async(std::launch::async, [&, i, round] {
				return put_class(fleet.hosts[i], "purchase",
						 60 + round * 2 + (int)i, base,
						 "operator" + std::to_string(i));
			}));
		for (auto &future : answers) {
			HttpAnswer answer = future.get();

			if (answer.status == 200)
				accepted.push_back(answer);
			else
				EXPECT_EQ(error_kind(answer), "conflict") << answer.body;
		}
		ASSERT_EQ(accepted.size(), 1U);
		expect_version_everywhere(get_json_number(accepted[0], "version"));
		std::string body =
			admin(fleet.hosts[0], "GET", "/v1/services/ledger/classes/purchase").body;
		for (const Host &host : fleet.hosts)
			EXPECT_EQ(body,
				  admin(host, "GET", "/v1/services/ledger/classes/purchase").body);
	}
}
