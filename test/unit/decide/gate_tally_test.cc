// Unit tests of the gate's tally: each attempt that a class was offered is counted exactly once.
#include <array>
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/gate.h"
}

namespace
{
constexpr uint32_t BURST = 8; // in-profile calls at once, at the rate configured below
const struct service_config config = {"ledger", 1, 1, {{"purchase", 0, 50000, 990, 1}}};

class GateTally : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct error err;

		ASSERT_EQ(0, burn_open(&gate.tally.in_profile, now_us, &err));
		burn_tables tally = gate.tally;
		ASSERT_EQ(0, burn_open(&tally.out_of_profile, now_us, &err));
		gate_init(&gate, now_us);
		gate.tally = tally;
		gate_set_config(&gate, &config, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, 4, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, 1, now_us, &actions);
	}

	void TearDown() override
	{
		burn_close(gate.tally.in_profile);
		burn_close(gate.tally.out_of_profile);
	}

	void offer_all()
	{
		for (gate_ticket &ticket : tickets)
			gate_offer(&gate, &ticket, 0, now_us + 10000000, now_us, &actions);
	}

	void finish(gate_ticket &ticket, enum gate_result result, uint64_t after_us)
	{
		now_us += after_us;
		gate_finish(&gate, &ticket, result, now_us, &actions);
	}

	burn_counts counts(const burn *table) const
	{
		const burn_class *cls = burn_find(table, "ledger", "purchase");

		return cls ? burn_sum(cls, 60000000, now_us) : burn_counts{};
	}

	static uint32_t ended(const burn_counts &counts)
	{
		return counts.answered + counts.not_run + counts.unknown;
	}

	struct gate gate = {};
	struct gate_actions actions;
	uint64_t now_us = 1000 * BURN_SLOT_US;
	std::array<gate_ticket, 80> tickets = {};
};
} // namespace

TEST_F(GateTally, RefusalsAreCountedByProfile)
{
	offer_all();
	EXPECT_EQ(0U, ended(counts(gate.tally.in_profile)));
	EXPECT_EQ(tickets.size() - 1 - GATE_CLASS_QUEUE_MAX,
		  counts(gate.tally.out_of_profile).not_run);
	gate_set_backend(&gate, BACKEND_NONE, 0, now_us, &actions);
	EXPECT_EQ(BURST - 1, counts(gate.tally.in_profile).not_run);
	EXPECT_EQ(tickets.size() - BURST, counts(gate.tally.out_of_profile).not_run);
}

TEST_F(GateTally, AttemptThatCannotMeetItsDeadlineIsCountedAsNotRun)
{
	gate_offer(&gate, &tickets[0], 0, now_us + 10000000, now_us, &actions);
	finish(tickets[0], GATE_RESULT_OK, 50000);
	gate_offer(&gate, &tickets[1], 0, now_us + 10000000, now_us, &actions);
	gate_verdict verdict = gate_offer(&gate, &tickets[2], 0, now_us + 1000, now_us, &actions);

	ASSERT_EQ(GATE_REFUSE, verdict.kind);
	EXPECT_EQ(1U, counts(gate.tally.in_profile).not_run);
}

TEST_F(GateTally, AnswersAreInTimeWithinTargetSinceArrival)
{
	offer_all();
	finish(tickets[0], GATE_RESULT_OK, 50000);
	finish(tickets[1], GATE_RESULT_OK, 1);
	finish(tickets[2], GATE_RESULT_ERROR, 0);
	EXPECT_EQ(3U, counts(gate.tally.in_profile).answered);
	EXPECT_EQ(1U, counts(gate.tally.in_profile).in_time);
}

TEST_F(GateTally, ShedTimedOutAndCancelledAttemptsAreNotRunOrUnknown)
{
	offer_all();
	finish(tickets[0], GATE_RESULT_SHED, 1);
	finish(tickets[1], GATE_RESULT_TIMEOUT, 1);
	gate_cancel(&gate, &tickets[2], now_us, &actions); // running
	gate_cancel(&gate, &tickets[7], now_us, &actions); // waiting
	EXPECT_EQ(2U, counts(gate.tally.in_profile).not_run);
	EXPECT_EQ(2U, counts(gate.tally.in_profile).unknown);
	gate_cancel(&gate, &tickets[7], now_us, &actions); // cancelled before: not counted again
	EXPECT_EQ(4U, ended(counts(gate.tally.in_profile)));
}
