// Unit tests of the delay that is suggested to a client whose call was not run.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/retry_after.h"
}

namespace
{
constexpr uint32_t WAIT_US = 700000;
constexpr double NO_JITTER = 0;
} // namespace

TEST(RetryAfter, DelayForFullServiceIsTheExpectedWait)
{
	EXPECT_EQ(700U, retry_after_ms(REASON_OVERLOAD, WAIT_US, NO_JITTER));
	EXPECT_EQ(700U, retry_after_ms(REASON_EXPIRED, WAIT_US, NO_JITTER));
	EXPECT_EQ(700U, retry_after_ms(REASON_SHED, WAIT_US, NO_JITTER));
}

// Guards against callers that come back before cold servers have room, or long after it.
TEST(RetryAfter, DelayForColdServersIsTheWaitForRoom)
{
	EXPECT_EQ(700U, retry_after_ms(REASON_COLD, WAIT_US, NO_JITTER));
	EXPECT_EQ(retry_after_ms(REASON_DRAINING, 0, NO_JITTER),
		  retry_after_ms(REASON_COLD, 0, NO_JITTER));
}

// All backend servers of a service may refuse a part of their calls although slots are free. The
// next try may succeed at once, and a long delay would make the client miss its latency target.
TEST(RetryAfter, DelayIsShortWhenServerRefusesWithFreeSlots)
{
	uint32_t other_server_ms = retry_after_ms(REASON_DRAINING, 0, NO_JITTER);

	EXPECT_EQ(other_server_ms, retry_after_ms(REASON_SHED, 0, NO_JITTER));
	EXPECT_LT(retry_after_ms(REASON_SHED, 0, NO_JITTER),
		  retry_after_ms(REASON_OVERLOAD, 0, NO_JITTER));
}

TEST(RetryAfter, JitterSpreadsClientsRefusedAtTheSameTime)
{
	for (call_reason reason : {REASON_SHED, REASON_OVERLOAD, REASON_DRAINING}) {
		uint32_t min_delay_ms = retry_after_ms(reason, 0, NO_JITTER);

		EXPECT_EQ(min_delay_ms * 3 / 2, retry_after_ms(reason, 0, 0.5));
	}
}

TEST(RetryAfter, NoDelayIsSuggestedWhenRetryCannotHelp)
{
	EXPECT_EQ(0U, retry_after_ms(REASON_BAD_REQUEST, WAIT_US, 0.5));
	EXPECT_EQ(0U, retry_after_ms(REASON_UNKNOWN_SERVICE, WAIT_US, 0.5));
}
