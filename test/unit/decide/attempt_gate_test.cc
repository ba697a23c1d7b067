// Unit tests of the attempts at the gate.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/attempt_gate.h"
}

namespace
{
constexpr uint64_t GATE_INCARNATION = 7;
constexpr uint64_t MARGIN_US = 1000;

class AttemptGate : public ::testing::Test
{
      protected:
	attempt_gate *gate = nullptr;
	attempt_gate_actions out;
	error err;

	void SetUp() override
	{
		attempt_gate_settings settings = {GATE_INCARNATION, 8, 4, 2, 1000, MARGIN_US};

		ASSERT_EQ(0, attempt_gate_create(&gate, &settings, &err)) << err.detail;
	}

	void TearDown() override
	{
		attempt_gate_destroy(gate);
	}

	attempt_gate_event event(attempt_gate_event_type type, uint64_t sequence, uint32_t nth = 1,
				 link_kind kind = LINK_CALLS)
	{
		attempt_gate_event event = {};

		event.type = type;
		event.id = {{1, 1}, sequence};
		event.epoch = link_epoch(kind, nth);
		if (type == GATE_EVENT_ASK)
			event.ask.gate_incarnation = GATE_INCARNATION;
		if (type == GATE_EVENT_CALL) {
			event.call.gate_incarnation = GATE_INCARNATION;
			event.call.time_left_us = 500;
			event.call.bytes = 100;
		}
		return event;
	}

	// Steps, and returns the type of the only action, or -1 if there is none.
	int step(const attempt_gate_event &event, uint64_t now_us = 100)
	{
		EXPECT_EQ(0, attempt_gate_step(gate, &event, now_us, &out, &err)) << err.detail;
		EXPECT_LE(out.count, 1U);
		return out.count ? (int)out.list[0].type : -1;
	}

	int finish(uint64_t sequence, call_outcome outcome, uint64_t bytes = 200)
	{
		attempt_gate_event end = event(GATE_EVENT_FINISHED, sequence);

		end.finished.outcome = outcome;
		end.finished.bytes = bytes;
		return step(end);
	}
};
} // namespace

TEST_F(AttemptGate, AttemptRunsOnceAndAnswerIsStoredUntilAck)
{
	int user;

	EXPECT_EQ(GATE_ACTION_OFFER, step(event(GATE_EVENT_CALL, 1)));
	EXPECT_EQ(600U, out.list[0].deadline_us);
	attempt_gate_set_user(gate, &out.list[0].id, &user);
	EXPECT_EQ(GATE_ACTION_REPLY_PENDING, step(event(GATE_EVENT_CALL, 1)));
	EXPECT_TRUE(out.list[0].duplicate);
	EXPECT_EQ(GATE_ACTION_START, step(event(GATE_EVENT_ADMITTED, 1)));
	EXPECT_EQ(GATE_ACTION_REPLY_ANSWER, finish(1, OUTCOME_ANSWERED));
	EXPECT_EQ(GATE_ACTION_REPLY_ANSWER, step(event(GATE_EVENT_ASK, 1, 2)));
	EXPECT_EQ(link_epoch(LINK_CALLS, 2), out.list[0].epoch);
	EXPECT_EQ(200U, attempt_gate_bytes(gate));
	EXPECT_EQ(GATE_ACTION_FREE, step(event(GATE_EVENT_ACK, 1, 2)));
	EXPECT_EQ(&user, out.list[0].user);
	EXPECT_EQ(0U, attempt_gate_record_count(gate));
	EXPECT_EQ(0U, attempt_gate_bytes(gate));
}

TEST_F(AttemptGate, RepeatedCallAfterAckDoesNotRunAgain)
{
	step(event(GATE_EVENT_CALL, 5));
	step(event(GATE_EVENT_ADMITTED, 5));
	finish(5, OUTCOME_ANSWERED);
	step(event(GATE_EVENT_ACK, 5));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 5)));
	EXPECT_EQ(OUTCOME_UNKNOWN, out.list[0].outcome);
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_ASK, 5)));
	EXPECT_EQ(OUTCOME_UNKNOWN, out.list[0].outcome);
	EXPECT_EQ(GATE_ACTION_OFFER, step(event(GATE_EVENT_CALL, 6)));
}

// Guards against calls that hang until their deadline because the gate drops them unanswered.
TEST_F(AttemptGate, CallOfOlderEpochIsRefusedForGood)
{
	EXPECT_EQ(-1, step(event(GATE_EVENT_ACK, 1, 2)));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 2, 1)));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
	EXPECT_EQ(REASON_STALE_EPOCH, out.list[0].reason);
	EXPECT_EQ(0U, attempt_gate_live_count(gate));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_ASK, 2, 2)));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 2, 2)));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
	EXPECT_EQ(GATE_ACTION_OFFER, step(event(GATE_EVENT_CALL, 3, 1, LINK_BULK)));
}

TEST_F(AttemptGate, MessageOfOlderEpochAboutKnownAttemptIsDropped)
{
	step(event(GATE_EVENT_CALL, 1, 2));
	for (auto type : {GATE_EVENT_CALL, GATE_EVENT_ASK, GATE_EVENT_CANCEL, GATE_EVENT_ACK}) {
		EXPECT_EQ(GATE_ACTION_DROP, step(event(type, 1, 1)));
		EXPECT_EQ(REASON_STALE_EPOCH, out.list[0].reason);
	}
	EXPECT_EQ(1U, attempt_gate_live_count(gate));
	step(event(GATE_EVENT_ADMITTED, 1));
	finish(1, OUTCOME_ANSWERED);
	EXPECT_EQ(link_epoch(LINK_CALLS, 2), out.list[0].epoch);
	step(event(GATE_EVENT_ACK, 1, 2));
	EXPECT_EQ(GATE_ACTION_DROP, step(event(GATE_EVENT_CALL, 1, 1))) << "it has run";
}

// Guards against attempts that are never heard of again after their entry took a later incarnation.
TEST_F(AttemptGate, AttemptOfEarlierIncarnationOfItsEntryGoesOn)
{
	attempt_gate_event later = event(GATE_EVENT_CALL, 2);
	attempt_gate_event unseen = event(GATE_EVENT_ASK, 3);

	step(event(GATE_EVENT_CALL, 1));
	later.id.entry.incarnation = 2;
	EXPECT_EQ(GATE_ACTION_OFFER, step(later));
	EXPECT_EQ(GATE_ACTION_REPLY_PENDING, step(event(GATE_EVENT_ASK, 1)));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(unseen));
	EXPECT_EQ(OUTCOME_UNKNOWN, out.list[0].outcome);
	unseen = event(GATE_EVENT_CANCEL, 1);
	EXPECT_EQ(0, attempt_gate_step(gate, &unseen, 100, &out, &err));
	EXPECT_EQ(1U, attempt_gate_live_count(gate));
}

TEST_F(AttemptGate, AskForUnknownAttemptRefusesItPermanently)
{
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_ASK, 3, 2)));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
	EXPECT_EQ(GATE_ACTION_DROP, step(event(GATE_EVENT_CALL, 3, 1)));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 3, 2)));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
}

TEST_F(AttemptGate, RefusedCallStaysRefused)
{
	attempt_gate_event late = event(GATE_EVENT_CALL, 5);

	late.call.refusal = REASON_NOT_READY;
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(late));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
	EXPECT_EQ(REASON_NOT_READY, out.list[0].reason);
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 5)));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
}

TEST_F(AttemptGate, MessageForAnotherIncarnationOfGateIsRefused)
{
	attempt_gate_event call = event(GATE_EVENT_CALL, 1);
	attempt_gate_event ask = event(GATE_EVENT_ASK, 1);

	call.call.gate_incarnation = GATE_INCARNATION - 1;
	ask.ask.gate_incarnation = GATE_INCARNATION - 1;
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(call));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
	EXPECT_EQ(REASON_INCARNATION, out.list[0].reason);
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(ask));
	EXPECT_EQ(OUTCOME_UNKNOWN, out.list[0].outcome);
}

TEST_F(AttemptGate, CallFromEarlierIncarnationOfEntryDoesNotRun)
{
	attempt_gate_event later = event(GATE_EVENT_CALL, 1);

	later.id.entry.incarnation = 2;
	EXPECT_EQ(GATE_ACTION_OFFER, step(later));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 9)));
	EXPECT_EQ(OUTCOME_UNKNOWN, out.list[0].outcome);
	EXPECT_EQ(REASON_INCARNATION, out.list[0].reason);
	EXPECT_EQ(1U, attempt_gate_record_count(gate));
	EXPECT_EQ(GATE_ACTION_DROP, step(event(GATE_EVENT_CANCEL, 9)));
}

TEST_F(AttemptGate, CancelWithdrawsWaitingAttemptOrCancelsRunAtOnce)
{
	attempt_gate_event cancel = event(GATE_EVENT_CANCEL, 1);

	step(event(GATE_EVENT_CALL, 1));
	ASSERT_EQ(0, attempt_gate_step(gate, &cancel, 100, &out, &err));
	ASSERT_EQ(2U, out.count);
	EXPECT_EQ(GATE_ACTION_WITHDRAW, out.list[0].type);
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, out.list[1].type);
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[1].outcome);
	EXPECT_EQ(0U, attempt_gate_live_count(gate));
	EXPECT_EQ(GATE_ACTION_DROP, step(event(GATE_EVENT_ADMITTED, 1)));

	step(event(GATE_EVENT_CALL, 2));
	step(event(GATE_EVENT_ADMITTED, 2));
	EXPECT_EQ(GATE_ACTION_CANCEL_RUN, step(event(GATE_EVENT_CANCEL, 2)));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, finish(2, OUTCOME_UNKNOWN));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CANCEL, 3)));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 3)));
	EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
}

TEST_F(AttemptGate, DeadlineEndsWaitingAndRunningAttempts)
{
	attempt_gate_event tick = event(GATE_EVENT_TICK, 0);

	step(event(GATE_EVENT_CALL, 1));
	step(event(GATE_EVENT_CALL, 2));
	step(event(GATE_EVENT_ADMITTED, 2));
	EXPECT_EQ(600U, attempt_gate_next_due_us(gate));
	EXPECT_EQ(-1, step(tick, 599));
	ASSERT_EQ(0, attempt_gate_step(gate, &tick, 600, &out, &err));
	EXPECT_EQ(3U, out.count);
	EXPECT_EQ(1U, attempt_gate_live_count(gate));
	ASSERT_EQ(0, attempt_gate_step(gate, &tick, 600 + MARGIN_US, &out, &err));
	EXPECT_EQ(2U, out.count);
	EXPECT_EQ(GATE_ACTION_FREE, out.list[0].type);
	EXPECT_EQ(GATE_ACTION_FREE, out.list[1].type);
	EXPECT_EQ(0U, attempt_gate_record_count(gate));
	EXPECT_EQ(GATE_ACTION_DROP, finish(2, OUTCOME_ANSWERED));
}

TEST_F(AttemptGate, FullTableRefusesCallsAndNeverRunsThemLater)
{
	for (uint64_t i = 1; i <= 4; i++)
		EXPECT_EQ(GATE_ACTION_OFFER, step(event(GATE_EVENT_CALL, i)));
	for (uint64_t i = 5; i <= 20; i++) {
		EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, i)));
		EXPECT_EQ(OUTCOME_NOT_RUN, out.list[0].outcome);
		EXPECT_EQ(REASON_OVERLOAD, out.list[0].reason);
	}
	EXPECT_EQ(8U, attempt_gate_record_count(gate));
	step(event(GATE_EVENT_ADMITTED, 1));
	finish(1, OUTCOME_ANSWERED);
	step(event(GATE_EVENT_ACK, 1));
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_CALL, 20)));
}

TEST_F(AttemptGate, AnswerAboveByteLimitIsSentOnceAndNotStored)
{
	attempt_gate_event end = event(GATE_EVENT_FINISHED, 1);

	step(event(GATE_EVENT_CALL, 1));
	step(event(GATE_EVENT_ADMITTED, 1));
	end.finished.outcome = OUTCOME_ANSWERED;
	end.finished.bytes = 5000;
	ASSERT_EQ(0, attempt_gate_step(gate, &end, 100, &out, &err));
	ASSERT_EQ(2U, out.count);
	EXPECT_EQ(GATE_ACTION_REPLY_ANSWER, out.list[0].type);
	EXPECT_EQ(GATE_ACTION_RELEASE_ANSWER, out.list[1].type);
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(event(GATE_EVENT_ASK, 1)));
	EXPECT_EQ(OUTCOME_UNKNOWN, out.list[0].outcome);
}

TEST_F(AttemptGate, EventNotAllowedByChartReturnsStateError)
{
	attempt_gate_event again = event(GATE_EVENT_ADMITTED, 1);

	step(event(GATE_EVENT_CALL, 1));
	step(again);
	EXPECT_EQ(-1, attempt_gate_step(gate, &again, 100, &out, &err));
	EXPECT_EQ(ERROR_STATE, err.kind);
	EXPECT_EQ(0U, out.count);
}

TEST_F(AttemptGate, CallOfNewEntryDoesNotRunUntilSilentEntryIsEvicted)
{
	attempt_gate_event second = event(GATE_EVENT_ASK, 1);
	attempt_gate_event third = event(GATE_EVENT_CALL, 1);

	second.id.entry.node_id = 2;
	third.id.entry.node_id = 3;
	step(event(GATE_EVENT_ACK, 1));
	step(second);
	EXPECT_EQ(GATE_ACTION_REPLY_OUTCOME, step(third));
	EXPECT_EQ(OUTCOME_UNKNOWN, out.list[0].outcome);
	EXPECT_EQ(REASON_OVERLOAD, out.list[0].reason);
	EXPECT_EQ(1U, attempt_gate_record_count(gate)) << "the refused question of the second";
	EXPECT_EQ(GATE_ACTION_OFFER, step(third, 200 + CALL_DEADLINE_US_MAX));
}
