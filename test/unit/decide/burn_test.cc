// Unit tests of the burn table, which counts the outcomes of calls.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/burn.h"
}

namespace
{
const uint64_t start_us = 1000 * BURN_SLOT_US;
const uint64_t hour_us = 360 * BURN_SLOT_US;

class Burn : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct error err;

		ASSERT_EQ(0, burn_open(&burn_, start_us, &err));
	}

	void TearDown() override
	{
		burn_close(burn_);
	}

	void record(enum call_outcome outcome, uint64_t latency_us, uint64_t now_us,
		    bool failed = false)
	{
		struct burn_call call = {"ledger", "purchase", outcome, REASON_OVERLOAD,
					 failed,   latency_us, 50000};

		burn_record(burn_, &call, now_us);
	}

	struct burn_counts sum(uint64_t window_us, uint64_t now_us)
	{
		return burn_sum(burn_class_at(burn_, 0), window_us, now_us);
	}

	struct burn *burn_ = nullptr;
};
} // namespace

TEST_F(Burn, CountsOutcomesAndCallsInTime)
{
	record(OUTCOME_ANSWERED, 50000, start_us);
	record(OUTCOME_ANSWERED, 50001, start_us);
	record(OUTCOME_ANSWERED, 1, start_us, true);
	record(OUTCOME_NOT_RUN, 0, start_us);
	record(OUTCOME_UNKNOWN, 0, start_us);
	struct burn_counts counts = sum(hour_us, start_us);

	EXPECT_EQ(1u, burn_class_count(burn_));
	EXPECT_EQ(3u, counts.answered);
	EXPECT_EQ(1u, counts.in_time);
	EXPECT_EQ(1u, counts.not_run);
	EXPECT_EQ(1u, counts.unknown);
	EXPECT_EQ(2u, burn_class_at(burn_, 0)->reasons[REASON_OVERLOAD]);
}

TEST_F(Burn, WindowExcludesOlderSlots)
{
	record(OUTCOME_ANSWERED, 1, start_us);
	record(OUTCOME_ANSWERED, 1, start_us + 29 * BURN_SLOT_US);
	EXPECT_EQ(2u, sum(30 * BURN_SLOT_US, start_us + 29 * BURN_SLOT_US).answered);
	EXPECT_EQ(1u, sum(30 * BURN_SLOT_US, start_us + 30 * BURN_SLOT_US).answered);
	EXPECT_EQ(0u, sum(hour_us, start_us + 2 * hour_us).answered);
}

TEST_F(Burn, ReusedSlotStartsFromZero)
{
	record(OUTCOME_ANSWERED, 1, start_us);
	record(OUTCOME_ANSWERED, 1, start_us + hour_us);
	EXPECT_EQ(1u, sum(hour_us, start_us + hour_us).answered);
}

TEST_F(Burn, ClassesBeyondTheLimitAreNotCounted)
{
	for (int i = 0; i <= BURN_CLASSES_MAX; i++) {
		std::string name = "class-" + std::to_string(i);
		struct burn_call call = {
			"ledger", name.c_str(), OUTCOME_ANSWERED, REASON_NONE, false, 1, 1};

		burn_record(burn_, &call, start_us);
	}
	EXPECT_EQ((size_t)BURN_CLASSES_MAX, burn_class_count(burn_));
}
