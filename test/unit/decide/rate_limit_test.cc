// Rate limit: how many calls start in a time, and how long the next one waits.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/rate_limit.h"
}

namespace
{

constexpr uint64_t SECOND_US = 1000000;

// Starts calls as often as allowed, looking every millisecond. Returns how many started.
uint32_t start_for(struct rate_limit *limit, uint64_t *now_us, uint64_t for_us)
{
	uint32_t started = 0;

	for (uint64_t end_us = *now_us + for_us; *now_us < end_us; *now_us += 1000) {
		while (rate_limit_allows(limit, *now_us)) {
			rate_limit_take(limit, *now_us);
			started++;
		}
	}
	return started;
}

} // namespace

TEST(RateLimit, WithoutALimitEveryCallStarts)
{
	struct rate_limit limit = {};

	EXPECT_TRUE(rate_limit_allows(&limit, 1));
	rate_limit_take(&limit, 1);
	EXPECT_EQ(0u, rate_limit_wait_us(&limit, 100, 1));
}

// Guards against a backend server that gets more calls than the limit it states: 4 s hold at most
// the calls of 4 s at the rate and one bucket.
TEST(RateLimit, AnyFourSecondsHoldNoMoreThanTheRateAndOneBucket)
{
	for (uint32_t rate_milli : {500u, 2700u, 40000u, 1000000u}) {
		struct rate_limit limit = {};
		uint64_t now_us = SECOND_US;
		uint32_t bucket = rate_milli * (RATE_LIMIT_BURST_US / 1000) / 1000000;
		uint32_t allowed = 4 * rate_milli / 1000 + (bucket > 1 ? bucket : 1) + 1;

		rate_limit_set(&limit, rate_milli, now_us);
		EXPECT_LE(start_for(&limit, &now_us, 4 * SECOND_US), 4 * rate_milli / 1000 + 1);
		now_us += 60 * SECOND_US; // a pause fills the bucket, and no more
		uint32_t started = start_for(&limit, &now_us, 4 * SECOND_US);
		EXPECT_LE(started, allowed) << rate_milli;
		EXPECT_GE(started, 4 * rate_milli / 1000 - 1) << rate_milli;
	}
}

TEST(RateLimit, FirstCallWaitsForItsTokenAndALaterRateKeepsTheBucket)
{
	struct rate_limit limit = {};

	rate_limit_set(&limit, 2000, SECOND_US);
	EXPECT_EQ(SECOND_US / 2, rate_limit_wait_us(&limit, 0, SECOND_US));
	EXPECT_EQ(3 * SECOND_US / 2, rate_limit_wait_us(&limit, 2, SECOND_US));
	EXPECT_FALSE(rate_limit_allows(&limit, SECOND_US));
	rate_limit_set(&limit, 1000, SECOND_US + SECOND_US / 4);
	EXPECT_EQ(SECOND_US / 2, rate_limit_wait_us(&limit, 0, SECOND_US + SECOND_US / 4));
	rate_limit_clear(&limit);
	EXPECT_TRUE(rate_limit_allows(&limit, SECOND_US));
}

// A server that takes no calls now must get one at times: its answer tells when that has ended.
TEST(RateLimit, LimitOfZeroLeavesARareCall)
{
	struct rate_limit limit = {};
	uint64_t now_us = SECOND_US;

	rate_limit_set(&limit, 0, now_us);
	EXPECT_EQ(0u, start_for(&limit, &now_us, 4 * SECOND_US));
	EXPECT_EQ(1u, start_for(&limit, &now_us, 2 * SECOND_US));
	EXPECT_EQ(12u, start_for(&limit, &now_us, 60 * SECOND_US));
}

TEST(RateLimit, HugeRatesDoNotOverflow)
{
	struct rate_limit limit = {};

	rate_limit_set(&limit, UINT32_MAX, SECOND_US);
	EXPECT_TRUE(rate_limit_allows(&limit, UINT64_MAX));
	EXPECT_EQ(0u, rate_limit_wait_us(&limit, 1000, UINT64_MAX));
}
