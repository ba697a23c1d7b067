// A backend server that is cold, in a fleet of real processes under load: it bears a few calls a
// second, says so in its heartbeats and on its health path, and counts its worst second.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

using namespace support;

namespace
{
constexpr int COLD_PER_S = 40;
constexpr int64_t BOUND = COLD_PER_S * 3 / 2 + 8;
constexpr int COLD_MS = 4000;
constexpr int CRASH_CODE = 70; // with which the stand-in ends if it gets more than it bears
constexpr int EVENT_TIMEOUT_MS = 5000;
constexpr int64_t CALLS_BEFORE = 300; // that the server has received before it becomes cold

class Cold : public testing::Test
{
      protected:
	// Starts three backend servers. With the limit, the configuration states what a cold server
	// bears; without it, only the path of its health check.
	void start(bool has_limit)
	{
		FleetOptions fleet_options = FleetOptions::small(3);
		std::string limit = has_limit ? ",\"cold_per_s\":" + std::to_string(COLD_PER_S) +
							",\"cold_start_s\":2"
					      : "";

		// As at the first start of a whole fleet: the servers are warm and say so.
		// Two warm servers serve fewer calls at once than there are callers.
		fleet_options.service_ms = 20;
		fleet_options.backend_options = {"--states-cold-ms", "0"};
		fleet = std::make_unique<Fleet>(fleet_options);
		fleet->start();
		http_json(fleet->platform->port(), "PUT", "/v1/objects/service/routing",
			  R"({"number":1,"routes":[],"services":[{"name":"ledger",)"
			  R"("health_path":"/health")" +
				  limit + "}]}",
			  {"if-version: 0"});
		options.entries = {0, 1, 2};
		options.callers = 24;
		driver = std::make_unique<LoadDriver>(*fleet, options);
		ASSERT_TRUE(
			wait_until([&] { return requests() > CALLS_BEFORE; }, EVENT_TIMEOUT_MS));
		// The node asks for health once it has the configuration, which holds the limit
		// too.
		ASSERT_TRUE(wait_until([&] { return metric("fescuemill_backend_probes") > 0; },
				       EVENT_TIMEOUT_MS));
	}

	Host &cold_host()
	{
		return fleet->hosts[1];
	}

	int64_t metric(const std::string &name)
	{
		std::string text =
			http(cold_host().node->port("admin_port"), "GET", "/metrics").body;
		size_t at = text.find("\n" + name + " ");

		return at == std::string::npos ? -1 : std::stoll(text.substr(at + name.size() + 2));
	}

	int64_t requests()
	{
		return read_backend_stat(cold_host(), "requests");
	}

	int64_t worst_second()
	{
		int64_t worst = read_backend_stat(cold_host(), "worst_cold_second");

		RecordProperty("worst_second", (int)worst);
		return worst;
	}

	void turn_cold()
	{
		Fleet::control(*cold_host().backend,
			       "{\"states_cold_ms\":" + std::to_string(COLD_MS) + "}");
	}

	void expect_all_answered()
	{
		const CallResults &results = driver->stop();

		EXPECT_EQ(count_results(results, "answered"), (int)results.size())
			<< tally(results);
	}

	std::unique_ptr<Fleet> fleet;
	LoadDriverOptions options;
	std::unique_ptr<LoadDriver> driver;
};
} // namespace

// Shows that the load of these tests exceeds what the cold server bears where nothing limits it.
TEST_F(Cold, ServerGetsMoreThanItBearsWithoutTheLimit)
{
	start(false);
	turn_cold();
	sleep_ms(COLD_MS);
	EXPECT_GT(worst_second(), BOUND);
	EXPECT_EQ(0, metric("fescuemill_gate_cold_started"));
	expect_all_answered();
}

// Guards against a server that turns cold again under load and gets more than it bears, or is left
// unused, or keeps its limit when it is warm again.
TEST_F(Cold, ServerThatTurnsColdAgainUnderLoadGetsWhatItBears)
{
	start(true);
	turn_cold();
	sleep_ms(COLD_MS - 500);
	EXPECT_EQ(1, metric("fescuemill_gate_cold"));
	EXPECT_GE(metric("fescuemill_gate_cold_started"), COLD_PER_S);
	sleep_ms(500);
	EXPECT_LE(worst_second(), BOUND);
	int64_t before = requests();
	EXPECT_TRUE(
		wait_until([&] { return requests() > before + CALLS_BEFORE; }, EVENT_TIMEOUT_MS));
	expect_all_answered();
}

// Guards against a crash of a server that is started again cold under full demand.
TEST_F(Cold, ServerThatIsStartedAgainColdUnderDemandDoesNotCrash)
{
	start(true);
	options.tries = 1;
	cold_host().backend->kill();
	cold_host().backend = Process::start_server(
		{program("standin-backend"), "--service", "ledger", "--slots", "6", "--service-ms",
		 "20", "--states-cold-ms", std::to_string(COLD_MS), "--announce",
		 "127.0.0.1:" + std::to_string(cold_host().node->port("backend_port"))},
		fleet->folder() + "/restarted.backend.log");
	Fleet::control(*cold_host().backend, "{\"crash_per_s\":" + std::to_string(BOUND) + "}");
	sleep_ms(COLD_MS);
	EXPECT_TRUE(cold_host().backend->is_running());
	EXPECT_LE(worst_second(), BOUND);
	EXPECT_GT(worst_second(), 0);
	driver->stop();
}

// Guards against a second burst for a server whose node is started again during the warm-up.
TEST_F(Cold, NodeThatRestartsDuringTheWarmUpKeepsTheLimit)
{
	start(true);
	turn_cold();
	sleep_ms(1000);
	cold_host().node->kill();
	fleet->start_node(cold_host());
	sleep_ms(COLD_MS - 1000);
	EXPECT_LE(worst_second(), BOUND);
	driver->stop();
}
