// What a backend server states of itself in its answers, in a fleet of real processes under load: a
// limit on the rate of its calls, and that it is leaving.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

using namespace support;

namespace
{
constexpr int SETTLE_MS = 3000;	       // from the first statement until it must hold
constexpr int WINDOW_MS = 4000;	       // in which calls are counted
constexpr int EVENT_TIMEOUT_MS = 5000; // within which an expected event must happen
constexpr int LIMIT_PER_S = 5;
// Half as much again as the limit allows in the window, and 5 calls.
constexpr int64_t CALLS_MAX = LIMIT_PER_S * WINDOW_MS / 1000 * 3 / 2 + 5;

class Notice : public testing::Test
{
      protected:
	Notice() : fleet(FleetOptions::small(3))
	{
		fleet.start();
		options.entries = {0, 1, 2};
		options.callers = 8;
	}

	int64_t requests() const
	{
		return read_backend_stat(fleet.hosts[1], "requests");
	}

	int64_t requests_in_window() const
	{
		int64_t before = requests();

		sleep_ms(WINDOW_MS);
		return requests() - before;
	}

	void expect_all_answered(LoadDriver &driver)
	{
		const CallResults &results = driver.stop();

		EXPECT_EQ(count_results(results, "answered"), (int)results.size())
			<< tally(results);
		expect_results_match_starts(read_call_starts(fleet), results, false);
	}

	Fleet fleet;
	LoadDriverOptions options;
};
} // namespace

// Guards against a backend server that gets more calls than the limit it states, from all entries
// together.
TEST_F(Notice, LimitHoldsForAllEntriesTogetherUntilItIsNoLongerStated)
{
	LoadDriver driver(fleet, options);

	ASSERT_TRUE(wait_until([&] { return requests() > CALLS_MAX; }, EVENT_TIMEOUT_MS));
	Fleet::control(*fleet.hosts[1].backend,
		       "{\"rate_limit\":\"" + std::to_string(LIMIT_PER_S) + "\"}");
	sleep_ms(SETTLE_MS);
	int64_t limited = requests_in_window();
	EXPECT_LE(limited, CALLS_MAX);
	EXPECT_GE(limited, 1) << "it is still used";
	Fleet::control(*fleet.hosts[1].backend, "{\"rate_limit\":\"\"}");
	EXPECT_TRUE(wait_until([&] { return requests_in_window() > CALLS_MAX; }, EVENT_TIMEOUT_MS));
	expect_all_answered(driver);
}

// Guards against calls to a backend server that names its leaving in answers only: its
// announcements still say ready.
TEST_F(Notice, LeavingNamedInAnswersEndsNewCalls)
{
	LoadDriver driver(fleet, options);

	ASSERT_TRUE(wait_until([&] { return requests() > CALLS_MAX; }, EVENT_TIMEOUT_MS));
	Fleet::control(*fleet.hosts[1].backend, "{\"states_leaving\":true}");
	sleep_ms(SETTLE_MS);
	EXPECT_EQ(requests_in_window(), 0);
	expect_all_answered(driver);
}
