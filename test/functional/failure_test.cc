// Failures on the path between nodes: killed and paused nodes, connections that go silent. Whatever
// happens, a call runs at most once unless it is idempotent, and what is told is true.
#include "functional/support/fleet.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

using support::Fleet;
using support::FleetOptions;
using support::Host;
using support::http_json;
using support::HttpAnswer;
using support::Json;

namespace
{
constexpr int CALLERS = 8;

// Calls in a loop from several threads and keeps what each call was told.
class Load
{
      public:
	Load(Fleet &fleet, const std::string &method) : fleet_(fleet), method_(method)
	{
		for (int i = 0; i < CALLERS; i++)
			threads_.emplace_back([this, i] { run(i); });
	}

	// Ends the load; gives outcomes by call id.
	std::map<std::string, std::string> stop()
	{
		over_ = true;
		for (std::thread &thread : threads_)
			thread.join();
		return told_;
	}

	int answered() const
	{
		return answered_;
	}

      private:
	void run(int caller)
	{
		for (int i = 0; !over_; i++) {
			std::string id = std::to_string(caller) + "-" + std::to_string(i);
			HttpAnswer answer = fleet_.call(fleet_.hosts[0], method_, "/ledger/buy",
							"purchase", "x", {"x-call: " + id});
			std::string outcome = answer.headers["x-fescue-outcome"];
			std::lock_guard<std::mutex> lock(mutex_);

			told_[id] = outcome + " " + answer.headers["x-fescue-reason"];
			answered_ += outcome == "answered";
		}
	}

	Fleet &fleet_;
	std::string method_;
	std::atomic<bool> over_{false};
	std::atomic<int> answered_{0};
	std::mutex mutex_;
	std::map<std::string, std::string> told_;
	std::vector<std::thread> threads_;
};

void pause_ms(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Gives how often each call started, over all backend servers.
std::map<std::string, int64_t> starts(Fleet &fleet)
{
	std::map<std::string, int64_t> counts;

	for (Host &host : fleet.hosts) {
		Json all = http_json(host.backend->port(), "GET", "/executions");
		const char *call;
		json_t *value;

		EXPECT_EQ(json_integer_value(json_object_get(all.get(), "attempts_doubled")), 0);
		json_object_foreach(json_object_get(all.get(), "calls"), call, value)
		{
			counts[call] += json_integer_value(json_array_get(value, 0));
		}
	}
	return counts;
}

// Checks every told outcome against what really ran.
void expect_true(Fleet &fleet, const std::map<std::string, std::string> &told, bool idempotent)
{
	std::map<std::string, int64_t> ran = starts(fleet);

	for (const auto &[id, outcome] : told) {
		if (outcome.rfind("not-run", 0) == 0) {
			EXPECT_EQ(ran[id], 0) << id << " told " << outcome;
		}
		if (outcome.rfind("answered", 0) == 0) {
			EXPECT_GE(ran[id], 1) << id << " told " << outcome;
		}
		if (!idempotent) {
			EXPECT_LE(ran[id], 1) << id << " told " << outcome;
		}
	}
}

int count_told(const std::map<std::string, std::string> &told, const std::string &outcome)
{
	int count = 0;

	for (const auto &[id, text] : told)
		count += text.rfind(outcome, 0) == 0;
	return count;
}
} // namespace

TEST(Failure, AKilledNodeCostsNoIdempotentCall)
{
	Fleet fleet(FleetOptions::small(3));
	fleet.start();
	Load load(fleet, "PUT");
	pause_ms(300);
	fleet.hosts[1].node->kill();
	pause_ms(6000);
	auto told = load.stop();
	EXPECT_EQ(count_told(told, "answered"), (int)told.size());
	expect_true(fleet, told, true);
}

TEST(Failure, AKilledNodeRunsNoOtherCallTwice)
{
	Fleet fleet(FleetOptions::small(3));
	fleet.start();
	Load load(fleet, "POST");
	pause_ms(300);
	fleet.hosts[1].node->kill();
	pause_ms(6000);
	auto told = load.stop();
	expect_true(fleet, told, false);
	// Only what was at the killed node may be unknown: at most one call of each caller.
	EXPECT_LE(count_told(told, "unknown"), CALLERS);
	EXPECT_GT(count_told(told, "answered"), 100);
}

TEST(Failure, APausedNodeRunsNoCallTwiceAndServesAgain)
{
	Fleet fleet(FleetOptions::small(2));
	fleet.start();
	Load load(fleet, "POST");
	pause_ms(300);
	fleet.hosts[1].node->signal(SIGSTOP);
	pause_ms(5000);
	fleet.hosts[1].node->signal(SIGCONT);
	pause_ms(3000);
	auto told = load.stop();
	expect_true(fleet, told, false);
	EXPECT_GT(count_told(told, "answered"), 100);
	fleet.wait_reaches(fleet.hosts[1], "ledger", 5000);
}

TEST(Failure, ARestartedNodeIsFoundAgain)
{
	Fleet fleet(FleetOptions::small(2));
	fleet.start();
	Load load(fleet, "POST");
	pause_ms(300);
	fleet.hosts[1].node->kill();
	fleet.start_node(fleet.hosts[1]);
	fleet.hosts[1].backend->kill();
	fleet.start_backend(fleet.hosts[1]);
	fleet.wait_reaches(fleet.hosts[1], "ledger", 10000);
	auto told = load.stop();
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
		int64_t ran = starts(fleet)["silent-" + std::to_string(i)];
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
		for (int i = 0; i < 2000 && starts(fleet)[id] == 0; i++)
			pause_ms(1);
		Fleet::control(*fleet.link, "{\"silence\":true}");
		caller.join();
		EXPECT_EQ(answer.status, 200) << answer.headers["x-fescue-reason"];
		EXPECT_EQ(answer.headers["x-fescue-attempts"], "1");
		EXPECT_EQ(starts(fleet)[id], 1);
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
	EXPECT_EQ(starts(fleet)["plate"], 1);
}
