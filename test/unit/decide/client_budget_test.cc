// Client budget: clients that are slow, idle or stalled, each against the limit for what it does.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/client_budget.h"
}

namespace
{
constexpr client_rules RULES = {16384, 3000, 15000};

class ClientBudget : public ::testing::Test
{
      protected:
	client_track track{};
	uint64_t now_ms = 1000;

	void SetUp() override
	{
		client_track_start(&track, now_ms);
	}

	client_verdict after(uint64_t ms, client_phase phase, uint64_t moved_bytes,
			     uint64_t requests = 0, uint64_t head_bytes = 0)
	{
		client_sample sample = {phase, requests, moved_bytes, 8192, head_bytes};

		now_ms += ms;
		client_track_update(&track, &sample, now_ms);
		return client_judge(&track, &RULES, now_ms);
	}
};
} // namespace

TEST_F(ClientBudget, ConnectionThatSendsNothingIsClosedAtTheIdleLimit)
{
	EXPECT_EQ(after(14999, CLIENT_IDLE, 0), CLIENT_KEEP);
	EXPECT_EQ(after(1, CLIENT_IDLE, 0), CLIENT_CLOSE);
}

TEST_F(ClientBudget, IdleTimeIsCountedFromTheEndOfTheLastRequest)
{
	after(14000, CLIENT_RUNNING, 100, 1);
	EXPECT_EQ(after(14000, CLIENT_IDLE, 100, 1), CLIENT_KEEP);
	EXPECT_EQ(after(12000, CLIENT_IDLE, 100, 1), CLIENT_KEEP);
	EXPECT_EQ(after(3000, CLIENT_IDLE, 100, 1), CLIENT_CLOSE);
}

TEST_F(ClientBudget, WholeRequestsBetweenTwoSamplesRestartTheIdleTime)
{
	after(14000, CLIENT_IDLE, 100, 1);
	EXPECT_EQ(after(14000, CLIENT_IDLE, 200, 2), CLIENT_KEEP);
	EXPECT_EQ(after(14000, CLIENT_IDLE, 200, 2), CLIENT_KEEP);
}

// One byte at a time is no progress of a head: the limit is for the whole of it.
TEST_F(ClientBudget, HeadThatComesByteByByteTimesOut)
{
	for (uint64_t i = 0; i < 30; i++)
		EXPECT_EQ(after(100, CLIENT_HEAD, i + 1, 0, i + 1), CLIENT_KEEP);
	EXPECT_EQ(after(100, CLIENT_HEAD, 31, 0, 31), CLIENT_TIMED_OUT);
}

TEST_F(ClientBudget, HeadsSentOneAfterTheOtherDoNotTimeOut)
{
	for (uint64_t i = 0; i < 100; i++)
		EXPECT_EQ(after(250, CLIENT_HEAD, 100 * i, i, 50), CLIENT_KEEP);
}

TEST_F(ClientBudget, UnfinishedHeadOverTheLimitIsTooLarge)
{
	EXPECT_EQ(after(1, CLIENT_HEAD, 16384, 0, 16384), CLIENT_KEEP);
	EXPECT_EQ(after(1, CLIENT_HEAD, 16385, 0, 16385), CLIENT_HEAD_TOO_LARGE);
}

TEST_F(ClientBudget, BodyTimesOutOnlyWithoutProgress)
{
	after(0, CLIENT_BODY, 100);
	for (uint64_t i = 1; i < 10; i++)
		EXPECT_EQ(after(14000, CLIENT_BODY, 100 + i), CLIENT_KEEP);
	EXPECT_EQ(after(15000, CLIENT_BODY, 109), CLIENT_TIMED_OUT);
}

TEST_F(ClientBudget, AnswerThatIsNotReadIsClosedAtTheIdleLimit)
{
	after(0, CLIENT_ANSWER, 5000, 1);
	EXPECT_EQ(after(14000, CLIENT_ANSWER, 4000, 1), CLIENT_KEEP);
	EXPECT_EQ(after(14000, CLIENT_ANSWER, 4000, 1), CLIENT_KEEP);
	EXPECT_EQ(after(1000, CLIENT_ANSWER, 4000, 1), CLIENT_CLOSE);
}

TEST_F(ClientBudget, RunningRequestIsNeverEnded)
{
	EXPECT_EQ(after(600000, CLIENT_RUNNING, 100, 1), CLIENT_KEEP);
	EXPECT_EQ(after(600000, CLIENT_RUNNING, 100, 1), CLIENT_KEEP);
}
