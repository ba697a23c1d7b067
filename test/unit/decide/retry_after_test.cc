// Retry after: when a client that was refused is asked to come back.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/retry_after.h"
}

namespace
{
constexpr uint32_t WAIT_US = 700000;
constexpr double EARLIEST = 0;
} // namespace

TEST(RetryAfter, AFullServiceIsComeBackToWhenRoomIsExpected)
{
	EXPECT_EQ(700U, retry_after_ms(REASON_OVERLOAD, WAIT_US, EARLIEST));
	EXPECT_EQ(700U, retry_after_ms(REASON_EXPIRED, WAIT_US, EARLIEST));
	EXPECT_EQ(700U, retry_after_ms(REASON_SHED, WAIT_US, EARLIEST));
}

// All backend servers of a service refuse a part of their calls, though slots are free: the next
// try may succeed at once, and a long pause would cost the client its target.
TEST(RetryAfter, ABackendServerThatRefusesWithFreeSlotsIsComeBackToAtOnce)
{
	uint32_t elsewhere_ms = retry_after_ms(REASON_DRAINING, 0, EARLIEST);

	EXPECT_EQ(elsewhere_ms, retry_after_ms(REASON_SHED, 0, EARLIEST));
	EXPECT_LT(retry_after_ms(REASON_SHED, 0, EARLIEST),
		  retry_after_ms(REASON_OVERLOAD, 0, EARLIEST));
}

TEST(RetryAfter, ClientsRefusedAtOnceComeBackSpread)
{
	for (call_reason reason : {REASON_SHED, REASON_OVERLOAD, REASON_DRAINING}) {
		uint32_t earliest_ms = retry_after_ms(reason, 0, EARLIEST);

		EXPECT_EQ(earliest_ms * 3 / 2, retry_after_ms(reason, 0, 0.5));
	}
}

TEST(RetryAfter, WhatCannotBeMendedByComingBackSaysNothing)
{
	EXPECT_EQ(0U, retry_after_ms(REASON_BAD_REQUEST, WAIT_US, 0.5));
	EXPECT_EQ(0U, retry_after_ms(REASON_UNKNOWN_SERVICE, WAIT_US, 0.5));
}
