// A node that is paused for longer than every timeout and goes on: it acts on nothing old.
#include "functional/support/drive.h"

#include <gtest/gtest.h>

#include <signal.h>

using namespace support;

namespace
{
constexpr int DEADLINE_MS = 3000;
constexpr int WATCH_MS = 3000;
constexpr int PAUSE_MS = 8000;
constexpr int SHORT_PAUSE_MS = 1900;
constexpr int OUT_OF_CHOICE_MS = 5000;
constexpr int IN_FORCE_MS = 4000;
constexpr int LEAVING_MS = 3000;

FleetOptions quick_watch()
{
	FleetOptions options = FleetOptions::small(4);

	options.change_settings = [](const std::string &, json_t *settings) {
		json_object_set_new(settings, "platform_watch_ms", json_integer(WATCH_MS));
	};
	return options;
}

// Starts a fleet whose calls through the first node all go to other gates.
void start_without_first_gate(Fleet &fleet)
{
	fleet.start();
	Fleet::control(*fleet.hosts[0].backend, "{\"drain\":true}");
	pause_ms(LEAVING_MS);
}

// Calls that reach the paused node's listener while it cannot take them.
class Waiting
{
      public:
	Waiting(Fleet &fleet, const Host &paused, const std::string &class_name, int count)
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

TEST(Pause, APausedNodeIsOutOfChoiceAndRunsNothingOldWhenItGoesOn)
{
	Fleet fleet(FleetOptions::small(4));
	DriveOptions options;

	options.deadline_ms = DEADLINE_MS;
	options.callers = 24;
	start_without_first_gate(fleet);
	Host &paused = fleet.hosts[1];
	paused.node->signal(SIGSTOP);
	Drive drive(fleet, options);
	for (size_t i : {0, 2, 3}) {
		EXPECT_TRUE(
			wait_until([&] { return state_in_view(fleet.hosts[i], paused) == "dead"; },
				   OUT_OF_CHOICE_MS))
			<< i;
	}
	pause_ms(PAUSE_MS - OUT_OF_CHOICE_MS);
	ToldCalls told = drive.stop();
	Ledger before = read_ledger(fleet);
	expect_within_ms(told, DEADLINE_MS + 1000);
	expect_true(before, told, false);
	// Only what was at the paused node, one call of each caller, has no certain outcome.
	EXPECT_LE(count_told(told, "unknown"), options.callers);
	int not_begun = 0;
	for (const auto &[call, one] : told)
		not_begun += one.outcome == "unknown" && before.find(call) == before.end();
	EXPECT_GE(not_begun, 1) << "no call was on its way to the paused node";
	paused.node->signal(SIGCONT);
	fleet.wait_reaches(paused, "ledger", OUT_OF_CHOICE_MS);
	pause_ms(DEADLINE_MS);
	Ledger after = read_ledger(fleet);
	for (const auto &[call, one] : told) {
		EXPECT_EQ(after[call], before[call]) << call << " told " << one.outcome;
	}
	EXPECT_EQ(state_in_view(fleet.hosts[0], paused), "alive");
}

// Too short a pause for the backend server's lease to end, but longer than the calls have that wait
// at the node. Their entry is killed meanwhile, so that nobody cancels them.
TEST(Pause, AfterAShortPauseNoCallRunsThatWasGivenUpMeanwhile)
{
	Fleet fleet(FleetOptions::small(2));
	DriveOptions options;

	options.deadline_ms = 800;
	options.callers = 24;
	start_without_first_gate(fleet);
	Drive connect(fleet, options);
	ASSERT_TRUE(connect.wait_answered(100, DEADLINE_MS)) << tally(connect.stop());
	connect.stop();
	fleet.hosts[1].node->signal(SIGSTOP);
	options.prefix = "late";
	Drive drive(fleet, options);
	pause_ms(options.deadline_ms / 2);
	fleet.hosts[0].node->kill();
	ToldCalls told = drive.stop();
	pause_ms(SHORT_PAUSE_MS - options.deadline_ms / 2);
	Ledger before = read_ledger(fleet);
	fleet.hosts[1].node->signal(SIGCONT);
	pause_ms(1000);
	Ledger after = read_ledger(fleet);
	EXPECT_GE(count_told(told, ""), 1);
	for (const auto &[call, one] : told) {
		EXPECT_EQ(after[call], before[call]) << call << " told " << one.outcome;
	}
}

TEST(Pause, ANodeThatGoesOnActsOnNoClassThatWasDeletedMeanwhile)
{
	Fleet fleet(quick_watch());

	fleet.start();
	Host &paused = fleet.hosts[1];
	for (const char *name : {"statement", "balance"}) {
		paused.node->signal(SIGSTOP);
		Waiting waiting(fleet, paused, name, 20);
		pause_ms(PAUSE_MS / 2);
		HttpAnswer gone =
			admin(fleet.hosts[0], "DELETE",
			      std::string("/v1/services/ledger/classes/") + name, "",
			      {"if-version: " + std::to_string(version_in_force(fleet.hosts[0]))});
		ASSERT_EQ(gone.status, 200) << gone.body;
		pause_ms(PAUSE_MS / 2);
		paused.node->signal(SIGCONT);
		for (const std::string &outcome : waiting.join())
			EXPECT_EQ(outcome, "not-run");
		EXPECT_TRUE(wait_version(paused, number_in(gone, "version"), IN_FORCE_MS));
		fleet.wait_reaches(paused, "ledger", IN_FORCE_MS);
		for (const auto &[call, ran] : read_ledger(fleet))
			EXPECT_NE(call.rfind(name, 0), 0U) << call << " ran " << ran;
	}
}
