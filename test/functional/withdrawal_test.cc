// Withdrawal of customers' keys through real processes: on nodes that are cut off from the store,
// on paused nodes, and the return of the store. Each loss is also played without the setting
// revoke_ms, where the removed key works on: that shows that the play would find the fault.
#include "functional/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>

using support::Fleet;
using support::FleetOptions;
using support::Host;
using support::http_json;
using support::HttpAnswer;
using support::Json;
using support::Process;

namespace
{
using Clock = std::chrono::steady_clock;

constexpr int REVOKE_MS = 5000;
constexpr int RETURN_MS = 2000;	 // in which keys are served after the store's return
constexpr int SILENCE_MS = 3000; // of the store, in which keys are still served

int64_t ms_since(Clock::time_point start)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// A fleet of which the first node reaches the store through a proxy.
class Withdrawal : public ::testing::Test
{
      protected:
	std::unique_ptr<Process> proxy;
	std::unique_ptr<Fleet> fleet;
	int64_t version = 0;

	void start(int nodes, int revoke_ms)
	{
		FleetOptions options = FleetOptions::small(nodes);

		proxy = Process::start_server({support::program("standin-link"), "--port", "0",
					       "--delay-ms", "0", "--rate-mbit", "1000"},
					      "");
		options.change_settings = [this, revoke_ms, is_first = true](
						  const std::string &, json_t *settings) mutable {
			if (revoke_ms > 0)
				json_object_set_new(settings, "revoke_ms", json_integer(revoke_ms));
			if (is_first)
				use_proxy(settings);
			is_first = false;
		};
		fleet = std::make_unique<Fleet>(options);
		fleet->start();
		put(1, R"(["key-1","key-2"])");
		// Without customers in force, any key is served.
		for (const Host &host : fleet->hosts) {
			ASSERT_EQ(401, wait_for_status(host, "unknown", 401, 5000)) << host.name;
			ASSERT_EQ(200, wait_for_status(host, "key-1", 200, 5000)) << host.name;
		}
	}

	void use_proxy(json_t *settings)
	{
		Json created = http_json(proxy->port(), "POST", "/forwards",
					 R"({"toward":0,"udp_target":0,"tcp_target":)" +
						 std::to_string(fleet->platform->port()) + "}");
		json_int_t port = json_integer_value(json_object_get(created.get(), "tcp_port"));

		json_object_set_new(
			settings, "platform",
			json_pack("[s]", ("127.0.0.1:" + std::to_string(port)).c_str()));
	}

	// Cuts the first node off from the store, or lets it reach the store again.
	void cut(bool is_cut)
	{
		Fleet::control(*proxy, is_cut ? R"({"cut":true})" : R"({"cut":false})");
	}

	// Puts the customers in force. The store has acknowledged the change when this returns.
	void put(int number, const std::string &keys)
	{
		Json answer = http_json(
			fleet->platform->port(), "PUT", "/v1/objects/service/customers",
			R"({"number":)" + std::to_string(number) +
				R"(,"routes":[],"services":[],"customers":[{"name":"shop","keys":)" +
				keys + "}]}",
			{"if-version: " + std::to_string(version)});

		version = json_integer_value(json_object_get(answer.get(), "version"));
	}

	HttpAnswer call(const Host &entry, const std::string &key)
	{
		return fleet->call(entry, "GET", "/ledger/balance", "balance", "",
				   {"authorization: Bearer " + key, "x-fescue-deadline-ms: 1000"},
				   3000);
	}

	int wait_for_status(const Host &entry, const std::string &key, int status, int timeout_ms)
	{
		Clock::time_point begin = Clock::now();
		int last = 0;

		while (ms_since(begin) < timeout_ms && last != status) {
			last = call(entry, key).status;
			sleep_ms(20);
		}
		return last;
	}

	// Calls with the removed key from the removal on. Returns when the last call was sent that
	// was answered with 200, in milliseconds after the removal.
	int64_t last_served_ms(const Host &entry, int64_t until_ms)
	{
		Clock::time_point removed = Clock::now();
		int64_t last = -1;

		while (ms_since(removed) < until_ms) {
			int64_t sent = ms_since(removed);

			if (call(entry, "key-1").status == 200)
				last = sent;
			sleep_ms(20);
		}
		return last;
	}
};

TEST_F(Withdrawal, AKeyRemovedWhileItsNodeIsCutOffWorksNoLongerThanTheBound)
{
	start(1, REVOKE_MS);
	const Host &node = fleet->hosts[0];

	cut(true);
	put(2, R"(["key-2"])");
	int64_t last = last_served_ms(node, REVOKE_MS + 1000);
	EXPECT_LT(last, REVOKE_MS);
	EXPECT_GT(last, SILENCE_MS);
	HttpAnswer refused = call(node, "key-2");
	EXPECT_EQ(503, refused.status);
	EXPECT_EQ("not-run", refused.headers["x-fescue-outcome"]);
	EXPECT_EQ("keys-stale", refused.headers["x-fescue-reason"]);
	EXPECT_EQ(401, fleet->call(node, "GET", "/ledger/balance", "balance").status);
	cut(false);
	EXPECT_EQ(200, wait_for_status(node, "key-2", 200, RETURN_MS));
	EXPECT_EQ(401, call(node, "key-1").status);
}

TEST_F(Withdrawal, WithoutTheSettingAKeyRemovedWhileItsNodeIsCutOffWorksOn)
{
	start(1, 0);
	cut(true);
	put(2, R"(["key-2"])");
	EXPECT_GT(last_served_ms(fleet->hosts[0], REVOKE_MS + 1000), REVOKE_MS);
}

// Pauses that are too short for the node to take its configuration for outdated.
TEST_F(Withdrawal, AKeyRemovedWhileItsNodeIsPausedWorksNoLongerThanTheBound)
{
	for (int revoke_ms : {REVOKE_MS, 0}) {
		start(1, revoke_ms);
		Host &node = fleet->hosts[0];

		cut(true);
		put(2, R"(["key-2"])");
		Clock::time_point removed = Clock::now();
		while (ms_since(removed) < REVOKE_MS + 100) {
			node.node->signal(SIGSTOP);
			sleep_ms(1200);
			node.node->signal(SIGCONT);
			sleep_ms(150);
		}
		EXPECT_EQ(revoke_ms ? 503 : 200, call(node, "key-1").status);
		version = 0;
	}
}

// A node without a path to the store gets its proof from peers, and learns of removals from them.
TEST_F(Withdrawal, ANodeThatReachesOnlyItsPeersServesKeysAndLearnsOfRemovals)
{
	start(3, REVOKE_MS);
	const Host &node = fleet->hosts[0];
	Clock::time_point begin = Clock::now();

	cut(true);
	while (ms_since(begin) < 2 * REVOKE_MS) {
		EXPECT_EQ(200, call(node, "key-1").status) << ms_since(begin);
		sleep_ms(100);
	}
	put(2, R"(["key-2"])");
	EXPECT_LT(last_served_ms(node, REVOKE_MS), REVOKE_MS);
	EXPECT_EQ(401, call(node, "key-1").status);
	EXPECT_EQ(200, call(node, "key-2").status);
}

// An idle node has no answers of calls to learn from, only gossip.
TEST_F(Withdrawal, AnIdleNodeServesItsFirstCallWithAKey)
{
	start(3, REVOKE_MS);
	for (int i = 0; i < 5; i++) {
		sleep_ms(2500);
		for (const Host &host : fleet->hosts)
			EXPECT_EQ(200, call(host, "key-2").status) << host.name;
	}
}

TEST_F(Withdrawal, AfterTheStoresReturnAllNodesServeKeysInTime)
{
	start(3, REVOKE_MS);
	Fleet::control(*fleet->platform, R"({"mode":"down"})");
	sleep_ms(REVOKE_MS + 2000);
	for (const Host &host : fleet->hosts)
		EXPECT_EQ(503, call(host, "key-2").status) << host.name;
	Fleet::control(*fleet->platform, R"({"mode":"up"})");
	sleep_ms(RETURN_MS);
	for (const Host &host : fleet->hosts)
		EXPECT_EQ(200, call(host, "key-2").status) << host.name;
}
} // namespace
