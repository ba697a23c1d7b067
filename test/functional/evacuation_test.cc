// Evacuation of a failure domain in a fleet of real nodes: orders through fescuectl and from the
// store, and what callers see of them.
#include "functional/support/load_driver.h"

#include <cstdio>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>

using namespace support;

namespace
{
constexpr int IN_FORCE_MS = 5000; // specified time from the order until no call reaches the domain
constexpr int CALLERS = 6;

// Three domains; the first has four of the six servers, as domains are assigned in turn.
FleetOptions three_domains()
{
	FleetOptions options = FleetOptions::small(6);

	options.failure_domains = {"north-a", "north-b", "north-a",
				   "north-c", "north-a", "north-a"};
	options.keeps_ports = true;
	options.operator_key = "key-of-the-operators";
	options.change_settings = [](const std::string &, json_t *settings) {
		json_object_set_new(settings, "evacuation_ms", json_integer(IN_FORCE_MS));
	};
	return options;
}

class Evacuation : public ::testing::Test
{
      protected:
	Evacuation() : fleet(three_domains())
	{
	}

	void SetUp() override
	{
		fleet.start();
		fleet.write_operator_settings(fleet.folder() + "/ctl.json");
	}

	// Runs fescuectl against all nodes. Returns its exit code.
	int ctl(const std::string &arguments, std::string *output = nullptr)
	{
		std::string command = program("fescuectl") + " -s " + fleet.folder() +
				      "/ctl.json " + arguments + " 2>&1";
		FILE *pipe = popen(command.c_str(), "r");
		char text[4096];
		std::string all;
		size_t size;

		while ((size = fread(text, 1, sizeof(text), pipe)) > 0)
			all.append(text, size);
		if (output)
			*output = all;
		return WEXITSTATUS(pclose(pipe));
	}

	// Puts an object into the store, as another writer would.
	void put(const std::string &name, const std::string &value)
	{
		http_json(fleet.platform->port(), "PUT", "/v1/objects/evacuation/" + name, value,
			  {"if-version: 0"});
	}

	// Returns the number of calls that the backend servers of a domain have started.
	int64_t started_in(const std::string &domain)
	{
		int64_t count = 0;

		for (const Host &host : fleet.hosts) {
			if (host.failure_domain == domain)
				count += read_backend_stat(host, "requests");
		}
		return count;
	}

	LoadDriverOptions through_all(const std::string &method)
	{
		LoadDriverOptions options;

		options.method = method;
		options.callers = CALLERS;
		options.entries = {0, 1, 2, 3, 4, 5};
		options.pause_ms = 5;
		return options;
	}

	HttpAnswer call_once(size_t entry)
	{
		return fleet.call(fleet.hosts[entry], "POST", "/ledger/buy", "purchase", "x");
	}

	Fleet fleet;
};
} // namespace

// The domain with most of the servers is evacuated under load of entries in every domain, its own
// too.
TEST_F(Evacuation, NoCallReachesTheDomainUntilTheOrderIsWithdrawn)
{
	LoadDriver driver(fleet, through_all("POST"));
	std::string output;

	ASSERT_TRUE(driver.wait_answered(200, 10000));
	EXPECT_GT(started_in("north-a"), 0);
	ASSERT_EQ(ctl("evacuate north-a", &output), 0) << output;
	sleep_ms(IN_FORCE_MS);
	int64_t before = started_in("north-a");
	EXPECT_TRUE(driver.wait_answered(300, 10000));
	EXPECT_EQ(started_in("north-a"), before);
	EXPECT_EQ(ctl("evacuate", &output), 0);
	for (const Host &host : fleet.hosts) {
		size_t row = output.find(host.name);

		ASSERT_NE(row, std::string::npos) << output;
		EXPECT_NE(output.substr(row, output.find('\n', row) - row).rfind("north-a"),
			  std::string::npos)
			<< output;
	}
	// `ready` does not change: the entries of the domain still take calls.
	EXPECT_EQ(call_once(0).status, 200);
	ASSERT_EQ(ctl("evacuate north-a --cancel", &output), 0) << output;
	EXPECT_TRUE(wait_until([&] { return started_in("north-a") > before; }, IN_FORCE_MS))
		<< output;
	const CallResults &results = driver.stop();
	EXPECT_EQ(count_results(results, "unknown"), 0) << tally(results);
	expect_results_match_starts(read_call_starts(fleet), results, false);
}

// A node of the evacuated domain is killed and started again, and one is paused: neither takes a
// call before it knows the order.
TEST_F(Evacuation, RestartedAndPausedNodesLearnTheOrderBeforeTheyServe)
{
	LoadDriver driver(fleet, through_all("PUT"));

	put("north-a", "{}");
	sleep_ms(IN_FORCE_MS);
	int64_t before = started_in("north-a");
	fleet.hosts[2].node->signal(SIGSTOP);
	fleet.hosts[0].node->kill();
	sleep_ms(3000);
	fleet.start_node(fleet.hosts[0]);
	fleet.hosts[2].node->signal(SIGCONT);
	sleep_ms(4000);
	EXPECT_EQ(started_in("north-a"), before);
	driver.stop();
}

// The store forgets nothing here, but holds objects that another writer made under the same kind.
TEST_F(Evacuation, ObjectsOfAnotherWriterEvacuateNothing)
{
	put("north-a", "[1,2]");
	put("north-b", "{\"note\":\"not an order\"}");
	put("nowhere", "{}");
	sleep_ms(3000);
	LoadDriver driver(fleet, through_all("POST"));
	EXPECT_TRUE(driver.wait_answered(300, 10000));
	const CallResults &results = driver.stop();
	EXPECT_EQ(count_results(results, "answered"), (int)results.size()) << tally(results);
	EXPECT_GT(started_in("north-a"), 0);
	EXPECT_GT(started_in("north-b"), 0);
}

// The whole service is evacuated: callers are told so at once, not at their deadline.
TEST_F(Evacuation, WithoutAnyServerLeftCallsAreRefusedAtOnce)
{
	std::string output;

	for (const char *domain : {"north-a", "north-b", "north-c"})
		ASSERT_EQ(ctl(std::string("evacuate ") + domain, &output), 0) << output;
	ASSERT_TRUE(wait_until([&] { return call_once(1).status == 503; }, IN_FORCE_MS));
	sleep_ms(1000);
	HttpAnswer answer = call_once(3);
	EXPECT_EQ(answer.status, 503);
	EXPECT_EQ(answer.headers["x-fescue-outcome"], "not-run");
	EXPECT_EQ(answer.headers["x-fescue-reason"], "evacuated");
	EXPECT_EQ(ctl("evacuate nowhere", &output), 14) << output;
	EXPECT_EQ(ctl("evacuate --cancel", &output), 2) << output;
}
