// Several failures at the same time, and repeated ones: what holds during each of them alone must
// also hold during all of them together.
#include "functional/support/regions.h"

#include <signal.h>

using namespace support;

namespace
{
constexpr int EVENT_TIMEOUT_MS = 5000; // within which an expected event must happen
constexpr int PAUSE_MS = 6000;	       // duration of the pause of the nodes
constexpr int STOP_TIMEOUT_MS = 30000; // stop_limit_ms of the nodes' settings

// Two nodes in each failure domain: north-a has hosts 0 and 4, north-b 1 and 5, south-a 2 and 6,
// south-b 3 and 7.
class Pairs : public TwoRegions
{
      protected:
	Pairs() : TwoRegions(8)
	{
	}

	void set_platform_mode(const std::string &name)
	{
		Fleet::control(*fleet.platform, "{\"mode\":\"" + name + "\"}");
	}

	void set_link_cut(bool is_cut)
	{
		Fleet::control(*fleet.link, is_cut ? "{\"cut\":true}" : "{\"cut\":false}");
	}

	void restart(size_t number)
	{
		fleet.start_node(fleet.hosts[number]);
	}

	// Expects that all calls through the given entries are answered.
	void expect_served(const std::vector<size_t> &entries, const std::string &prefix)
	{
		LoadDriver driver(fleet, through(entries, prefix));

		EXPECT_TRUE(driver.wait_answered(200, EVENT_TIMEOUT_MS)) << prefix;
		const CallResults &results = driver.stop();
		EXPECT_EQ(count_results(results, "answered"), (int)results.size())
			<< prefix << " " << tally(results);
		results_.insert(results.begin(), results.end());
	}

	// Expects that the outcomes that callers received in expect_served() agree with the
	// executions that the backend servers recorded.
	void expect_all_results_match()
	{
		expect_results_match_starts(read_call_starts(fleet), results_, false);
	}

	// Repeats a change through a node until it is accepted, and returns its version.
	int64_t put_until_accepted(size_t through, int latency_ms)
	{
		HttpAnswer put;

		EXPECT_TRUE(wait_until(
			[&] {
				put = put_class(fleet.hosts[through], "purchase", latency_ms,
						version_in_force(fleet.hosts[through]));
				return put.status == 200;
			},
			EVENT_TIMEOUT_MS))
			<< put.body;
		return get_json_number(put, "version");
	}

      private:
	CallResults results_;
};
} // namespace

TEST_F(Pairs, CallsAreServedDuringOutagePartitionDeadDomainAndDrain)
{
	LoadDriver all(fleet, through({0, 4, 2, 3}, "a"));
	ASSERT_TRUE(all.wait_answered(100, EVENT_TIMEOUT_MS));
	set_platform_mode("down");
	set_link_cut(true);
	for (size_t dead : {1, 5})
		fleet.hosts[dead].node->kill();
	sleep_ms(FAILURE_DETECTION_MS);
	fleet.hosts[6].node->signal(SIGTERM);
	expect_served({0, 4}, "n");
	expect_served({2, 3, 7}, "s");
	EXPECT_EQ(fleet.hosts[6].node->wait(STOP_TIMEOUT_MS), 0) << fleet.hosts[6].node->log_tail();
	set_link_cut(false);
	set_platform_mode("up");
	for (size_t number : {1, 5, 6})
		restart(number);
	expect_version_everywhere(put_until_accepted(2, 70));
	EXPECT_TRUE(both_regions_see("alive", FAILURE_DETECTION_MS));
	for (size_t number : {1, 5, 6})
		EXPECT_NO_THROW(fleet.wait_until_reachable(fleet.hosts[number], "ledger",
							   EVENT_TIMEOUT_MS));
	expect_served({0, 1, 2, 3, 4, 5, 6, 7}, "h");
	const CallResults &results = all.stop();
	expect_within_ms(results, LoadDriverOptions().deadline_ms);
	expect_results_match_starts(read_call_starts(fleet), results, false);
	expect_all_results_match();
}

TEST_F(Pairs, CallsAreServedThroughTwoRoundsOfPausedAndKilledProcesses)
{
	const struct {
		std::vector<size_t> paused;
		size_t killed, stalled_backend;
	} rounds[] = {{{1, 2}, 3, 5}, {{4, 6}, 1, 7}};
	LoadDriver all(fleet, through({0}, "a"));

	ASSERT_TRUE(all.wait_answered(100, EVENT_TIMEOUT_MS));
	for (const auto &round : rounds) {
		Host &killed = fleet.hosts[round.killed];
		Host &stalled = fleet.hosts[round.stalled_backend];

		for (size_t number : round.paused)
			fleet.hosts[number].node->signal(SIGSTOP);
		killed.node->kill();
		stalled.backend->signal(SIGSTOP);
		sleep_ms(FAILURE_DETECTION_MS);
		expect_served({0}, "p" + std::to_string(round.killed) + "-");
		int64_t version = put_until_accepted(0, 60 + (int)round.killed);
		sleep_ms(PAUSE_MS - FAILURE_DETECTION_MS);
		for (size_t number : round.paused)
			fleet.hosts[number].node->signal(SIGCONT);
		stalled.backend->signal(SIGCONT);
		fleet.start_node(killed);
		expect_version_everywhere(version);
		for (Host &host : fleet.hosts)
			EXPECT_NO_THROW(
				fleet.wait_until_reachable(host, "ledger", EVENT_TIMEOUT_MS))
				<< host.name;
		expect_served({0, 1, 2, 3, 4, 5, 6, 7}, "h" + std::to_string(round.killed) + "-");
	}
	// The starts are read after the last call: arguments are evaluated in any order.
	const CallResults &results = all.stop();

	expect_results_match_starts(read_call_starts(fleet), results, false);
	expect_all_results_match();
}

TEST_F(Pairs, ConflictingChangesAreRefusedWithLostAnswersAndACutLink)
{
	int64_t base = version_in_force(fleet.hosts[0]);

	set_platform_mode("lose-answers");
	Fleet::control(*fleet.link, "{\"silence\":true}");
	HttpAnswer lost = put_class(fleet.hosts[2], "purchase", 61, base, "south");
	set_platform_mode("up");
	EXPECT_EQ(lost.status, 200) << lost.body;
	expect_version_everywhere(get_json_number(lost, "version"));
	base = get_json_number(lost, "version");
	set_link_cut(true);
	HttpAnswer north = put_class(fleet.hosts[0], "purchase", 62, base, "north");
	HttpAnswer south = put_class(fleet.hosts[2], "purchase", 63, base, "south");
	EXPECT_EQ(north.status, 200) << north.body;
	EXPECT_NE(south.status, 200) << south.body;
	set_platform_mode("lose-answers");
	set_link_cut(false);
	south = put_class(fleet.hosts[3], "purchase", 64, base, "south");
	EXPECT_EQ(south.status, 409) << south.body;
	set_platform_mode("up");
	expect_version_everywhere(get_json_number(north, "version"));
	expect_change_in_force(3);
}
