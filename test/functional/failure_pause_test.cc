// A node that is paused and then resumed must not act on outdated state, also after a pause that is
// longer than every timeout.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

#include <signal.h>

using namespace support;

namespace
{
constexpr int DEADLINE_MS = 3000;	   // of a call
constexpr int WATCH_MS = 3000;		   // duration of a watch request to the platform
constexpr int PAUSE_MS = 8000;		   // longer than every timeout
constexpr int LINK_PAUSE_MS = 800;	   // until a connection is replaced, and no node is dead
constexpr int SHORT_PAUSE_MS = 1900;	   // shorter than the lease of a backend server
constexpr int FAILURE_DETECTION_MS = 5000; // until no node chooses a paused node
constexpr int IN_FORCE_MS = 4000;	   // until a change is in force on all nodes
constexpr int LEAVING_MS = 3000;	   // until all nodes know that a backend server is leaving

FleetOptions options_with_short_watch()
{
	FleetOptions options = FleetOptions::small(4);

	options.change_settings = [](const std::string &, json_t *settings) {
		json_object_set_new(settings, "platform_watch_ms", json_integer(WATCH_MS));
	};
	return options;
}

// Starts a fleet in which calls through the first node all go to other gates.
void start_with_first_gate_draining(Fleet &fleet)
{
	fleet.start();
	Fleet::control(*fleet.hosts[0].backend, "{\"drain\":true}");
	sleep_ms(LEAVING_MS);
}

// Calls that arrive at the listener of a paused node, which cannot accept them yet.
class PendingCalls
{
      public:
	PendingCalls(Fleet &fleet, const Host &paused, const std::string &class_name, int count)
	{
		for (int i = 0; i < count; i++)
			threads_.emplace_back([&fleet, &paused, class_name, i, this] {
				HttpAnswer answer =
					fleet.call(paused, "POST", "/ledger/buy", class_name, "x",
						   {"x-call: " + class_name + std::to_string(i)});
				std::lock_guard<std::mutex> lock(mutex_);
				outcomes_.push_back(answer.headers["x-fescue-outcome"]);
			});
	}

	const std::vector<std::string> &join()
	{
		for (std::thread &thread : threads_)
			thread.join();
		threads_.clear();
		return outcomes_;
	}

      private:
	std::mutex mutex_;
	std::vector<std::string> outcomes_;
	std::vector<std::thread> threads_;
};
} // namespace

TEST(Pause, PausedNodeIsNotChosenAndRunsNoOldCallAfterResume)
{
	Fleet fleet(FleetOptions::small(4));
	LoadDriverOptions options;

	options.deadline_ms = DEADLINE_MS;
	options.callers = 24;
	start_with_first_gate_draining(fleet);
	Host &paused = fleet.hosts[1];
	paused.node->signal(SIGSTOP);
	LoadDriver driver(fleet, options);
	for (size_t i : {0, 2, 3}) {
		EXPECT_TRUE(
			wait_until([&] { return state_in_view(fleet.hosts[i], paused) == "dead"; },
				   FAILURE_DETECTION_MS))
			<< i;
	}
	sleep_ms(PAUSE_MS - FAILURE_DETECTION_MS);
	CallResults results = driver.stop();
	CallStarts before = read_call_starts(fleet);
	expect_within_ms(results, DEADLINE_MS + 1000);
	expect_results_match_starts(before, results, false);
	// Only calls at the paused node may be unknown: at most one of each caller.
	EXPECT_LE(count_results(results, "unknown"), options.callers);
	int unknown_not_started = 0;
	for (const auto &[call, result] : results)
		unknown_not_started +=
			result.outcome == "unknown" && before.find(call) == before.end();
	EXPECT_GE(unknown_not_started, 1) << "no call was on its way to the paused node";
	paused.node->signal(SIGCONT);
	fleet.wait_until_reachable(paused, "ledger", FAILURE_DETECTION_MS);
	sleep_ms(DEADLINE_MS);
	CallStarts after = read_call_starts(fleet);
	for (const auto &[call, result] : results) {
		EXPECT_EQ(after[call], before[call]) << call << " reported as " << result.outcome;
	}
	EXPECT_EQ(state_in_view(fleet.hosts[0], paused), "alive");
}

// Guards against calls to a gate that was taken for dead while it was paused: it must not take them
// for calls of an older connection, and leave them without an answer for good.
TEST(Pause, ResumedNodeServesTheCallsOfOtherNodes)
{
	FleetOptions fleet_options = FleetOptions::small(2);
	LoadDriverOptions options;

	fleet_options.change_settings = [](const std::string &, json_t *settings) {
		json_object_set_new(settings, "heartbeat_ms", json_integer(100));
		json_object_set_new(settings, "silence_ms", json_integer(LINK_PAUSE_MS / 2));
	};
	Fleet fleet(fleet_options);

	options.deadline_ms = DEADLINE_MS;
	start_with_first_gate_draining(fleet);
	Host &paused = fleet.hosts[1];
	LoadDriver before(fleet, options);
	ASSERT_TRUE(before.wait_answered(20, DEADLINE_MS));
	// The entry replaces its connection, and keeps the link.
	paused.node->signal(SIGSTOP);
	sleep_ms(LINK_PAUSE_MS);
	paused.node->signal(SIGCONT);
	ASSERT_TRUE(before.wait_answered(20, DEADLINE_MS));
	// The entry removes its link to the dead node.
	paused.node->signal(SIGSTOP);
	EXPECT_TRUE(wait_until([&] { return state_in_view(fleet.hosts[0], paused) == "dead"; },
			       FAILURE_DETECTION_MS));
	before.stop();
	paused.node->signal(SIGCONT);
	fleet.wait_until_reachable(paused, "ledger", FAILURE_DETECTION_MS);
	ASSERT_TRUE(wait_until([&] { return state_in_view(fleet.hosts[0], paused) == "alive"; },
			       FAILURE_DETECTION_MS));
	options.prefix = "resumed";
	LoadDriver after(fleet, options);
	EXPECT_TRUE(after.wait_answered(20, DEADLINE_MS));
	const CallResults &results = after.stop();
	EXPECT_EQ(count_results(results, "unknown"), 0) << tally(results);
}

// The pause is too short for the lease of the backend server to expire, but longer than the
// deadline of the calls that wait at the node. Their entry is killed during the pause, so that it
// cannot cancel them.
TEST(Pause, CallThatExpiredDuringAShortPauseDoesNotRun)
{
	Fleet fleet(FleetOptions::small(2));
	LoadDriverOptions options;

	options.deadline_ms = 800;
	options.callers = 24;
	start_with_first_gate_draining(fleet);
	LoadDriver warmup(fleet, options);
	ASSERT_TRUE(warmup.wait_answered(100, DEADLINE_MS)) << tally(warmup.stop());
	warmup.stop();
	fleet.hosts[1].node->signal(SIGSTOP);
	options.prefix = "late";
	LoadDriver driver(fleet, options);
	sleep_ms(options.deadline_ms / 2);
	fleet.hosts[0].node->kill();
	CallResults results = driver.stop();
	sleep_ms(SHORT_PAUSE_MS - options.deadline_ms / 2);
	CallStarts before = read_call_starts(fleet);
	fleet.hosts[1].node->signal(SIGCONT);
	sleep_ms(1000);
	CallStarts after = read_call_starts(fleet);
	EXPECT_GE(count_results(results, ""), 1);
	for (const auto &[call, result] : results) {
		EXPECT_EQ(after[call], before[call]) << call << " reported as " << result.outcome;
	}
}

TEST(Pause, ResumedNodeRunsNoCallOfAClassDeletedDuringThePause)
{
	Fleet fleet(options_with_short_watch());

	fleet.start();
	Host &paused = fleet.hosts[1];
	for (const char *name : {"statement", "balance"}) {
		paused.node->signal(SIGSTOP);
		PendingCalls pending(fleet, paused, name, 20);
		sleep_ms(PAUSE_MS / 2);
		HttpAnswer deleted =
			admin(fleet.hosts[0], "DELETE",
			      std::string("/v1/services/ledger/classes/") + name, "",
			      {"if-version: " + std::to_string(version_in_force(fleet.hosts[0]))});
		ASSERT_EQ(deleted.status, 200) << deleted.body;
		sleep_ms(PAUSE_MS / 2);
		paused.node->signal(SIGCONT);
		for (const std::string &outcome : pending.join())
			EXPECT_EQ(outcome, "not-run");
		EXPECT_TRUE(wait_version(paused, get_json_number(deleted, "version"), IN_FORCE_MS));
		fleet.wait_until_reachable(paused, "ledger", IN_FORCE_MS);
		for (const auto &[call, ran] : read_call_starts(fleet))
			EXPECT_NE(call.rfind(name, 0), 0U) << call << " ran " << ran;
	}
}
