// Unit tests of the state machine of a call at the entry.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/chart/chart.h"
#include "fescuemill/decide/attempt_entry.h"
}

namespace
{
constexpr uint64_t DEADLINE_US = 10000;

class AttemptEntry : public ::testing::Test
{
      protected:
	attempt_entry call;
	retry_bucket bucket;
	attempt_entry_actions out;
	error err;
	uint64_t sequence = 0;

	void SetUp() override
	{
		ASSERT_EQ(0, charts_load(&err)) << err.detail;
		retry_bucket_init(&bucket, 100, 200);
		begin(true);
	}

	void begin(bool idempotent, bool keyed = false, uint32_t servers_max = 0)
	{
		attempt_entry_settings settings = {DEADLINE_US, 1000,  idempotent,  keyed, false,
						   0,		false, servers_max, 0};

		attempt_entry_init(&call, &settings);
		EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(ENTRY_EVENT_START));
	}

	// Steps, and returns the type of the last action, or -1 if there is none.
	int step(const attempt_entry_event &event, uint64_t now_us = 100)
	{
		EXPECT_EQ(0, attempt_entry_step(&call, &event, &bucket, now_us, &out, &err))
			<< err.detail;
		return out.count ? (int)out.list[out.count - 1].type : -1;
	}

	int step(attempt_entry_event_type type, uint64_t now_us = 100)
	{
		attempt_entry_event event = {};

		event.type = type;
		return step(event, now_us);
	}

	int choose(uint64_t gate, uint64_t now_us = 100)
	{
		attempt_entry_event event = {};

		event.type = ENTRY_EVENT_CHOSEN;
		event.chosen.gate = {gate, 1};
		event.chosen.id = {{1, 1}, ++sequence};
		event.chosen.epoch = link_epoch(LINK_CALLS, 1);
		return step(event, now_us);
	}

	int answer(uint64_t of, call_outcome outcome, call_reason reason = REASON_NONE,
		   uint64_t now_us = 100)
	{
		attempt_entry_event event = {};

		event.type = ENTRY_EVENT_ANSWER;
		event.answer.id = {{1, 1}, of};
		event.answer.outcome = outcome;
		event.answer.reason = reason;
		return step(event, now_us);
	}

	int replace_link(uint32_t epoch)
	{
		attempt_entry_event event = {};

		event.type = ENTRY_EVENT_LINK_REPLACED;
		event.link_replaced.epoch = epoch;
		return step(event);
	}

	void expect_finished(call_outcome outcome, call_reason reason)
	{
		ASSERT_GT(out.count, 0U);
		EXPECT_EQ(ENTRY_ACTION_FINISH, out.list[out.count - 1].type);
		EXPECT_EQ(outcome, out.list[out.count - 1].outcome);
		EXPECT_EQ(reason, out.list[out.count - 1].reason);
	}
};
} // namespace

TEST_F(AttemptEntry, AnswerIsAcknowledgedAndReported)
{
	EXPECT_EQ(ENTRY_ACTION_SEND_CALL, choose(5));
	EXPECT_EQ(DEADLINE_US - 100 - 1000, out.list[0].time_left_us);
	EXPECT_EQ(ENTRY_ACTION_FINISH, answer(1, OUTCOME_ANSWERED));
	EXPECT_EQ(ENTRY_ACTION_SEND_ACK, out.list[0].type);
	expect_finished(OUTCOME_ANSWERED, REASON_NONE);
	EXPECT_EQ(ENTRY_ACTION_SEND_ACK, answer(1, OUTCOME_ANSWERED));
	EXPECT_EQ(-1, step(ENTRY_EVENT_TICK, DEADLINE_US));
}

TEST_F(AttemptEntry, RefusedAttemptIsRetriedAtAnotherGateWithinBudget)
{
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_OVERLOAD));
	EXPECT_EQ(1, call.excluded_count);
	EXPECT_EQ(5U, call.excluded[0]);
	choose(6);
	answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	expect_finished(OUTCOME_NOT_RUN, REASON_OVERLOAD);
}

TEST_F(AttemptEntry, RefusalByDrainingGateIsRetriedWithoutServiceBudget)
{
	bucket.own_milli = 0;
	choose(7);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_DRAINING));
	choose(8);
	answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	expect_finished(OUTCOME_NOT_RUN, REASON_OVERLOAD);
}

// The calls on their way to a gate whose backend server was killed, after those lost with it have
// used up the retries of the service.
TEST_F(AttemptEntry, RefusalByGateWithoutBackendServerIsRetriedWithoutServiceBudget)
{
	bucket.own_milli = 0;
	choose(7);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_NO_BACKEND));
	choose(8);
	answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	expect_finished(OUTCOME_NOT_RUN, REASON_OVERLOAD);
}

// Guards against calls that are lost to the retry budget while a failure domain comes back cold.
TEST_F(AttemptEntry, RefusalByGateOfAColdServerIsRetriedWithoutServiceBudget)
{
	bucket.own_milli = 0;
	choose(7);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_COLD));
	choose(8);
	answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	expect_finished(OUTCOME_NOT_RUN, REASON_OVERLOAD);
}

// Guards against a call that may wait in the end but never at the gate of a cold server.
TEST_F(AttemptEntry, GateOfAColdServerMayBeChosenAgain)
{
	uint64_t list[ENTRY_EXCLUDED_MAX];

	begin(true, false, 2);
	choose(5);
	answer(1, OUTCOME_NOT_RUN, REASON_COLD);
	EXPECT_EQ(0U, attempt_entry_excluded(&call, list));
	EXPECT_TRUE(attempt_entry_gate_was_full(&call, 5));
}

TEST_F(AttemptEntry, NonIdempotentCallIsRetriedAfterRefusal)
{
	begin(false);
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_SHED));
}

TEST_F(AttemptEntry, UnknownClassIsNotRetried)
{
	choose(5);
	answer(1, OUTCOME_NOT_RUN, REASON_UNKNOWN_CLASS);
	expect_finished(OUTCOME_NOT_RUN, REASON_UNKNOWN_CLASS);
}

TEST_F(AttemptEntry, NotRunIsNeverReportedAfterLostIdempotentAttempt)
{
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(ENTRY_EVENT_GATE_GONE));
	choose(6);
	answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	expect_finished(OUTCOME_UNKNOWN, REASON_OVERLOAD);
}

TEST_F(AttemptEntry, LostNonIdempotentAttemptIsUnknown)
{
	begin(false);
	choose(5);
	step(ENTRY_EVENT_GATE_GONE);
	expect_finished(OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
}

TEST_F(AttemptEntry, SameAttemptIsAskedAgainOverReplacedLink)
{
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_SEND_ASK, replace_link(link_epoch(LINK_CALLS, 2)));
	EXPECT_EQ(1U, out.list[0].target.id.sequence);
	EXPECT_EQ(link_epoch(LINK_CALLS, 2), out.list[0].target.epoch);
	EXPECT_EQ(-1, replace_link(link_epoch(LINK_BULK, 2)));
	EXPECT_EQ(ENTRY_ACTION_SEND_ASK, replace_link(link_epoch(LINK_CALLS, 3)));
	answer(1, OUTCOME_ANSWERED);
	expect_finished(OUTCOME_ANSWERED, REASON_NONE);
}

TEST_F(AttemptEntry, HeldAnswerIsFetchedOverTheBulkLink)
{
	attempt_entry_event held = {};

	choose(5);
	held.type = ENTRY_EVENT_HELD;
	held.about.id = {{1, 1}, 1};
	EXPECT_EQ(ENTRY_ACTION_ASK_BULK, step(held));
	EXPECT_EQ(-1, step(held));
	EXPECT_EQ(ENTRY_ACTION_ASK_BULK, replace_link(link_epoch(LINK_BULK, 2)));
	answer(1, OUTCOME_ANSWERED);
	expect_finished(OUTCOME_ANSWERED, REASON_NONE);
}

TEST_F(AttemptEntry, LateAnswerToAbandonedAttemptIsIgnored)
{
	choose(5);
	step(ENTRY_EVENT_GATE_GONE);
	EXPECT_EQ(ENTRY_ACTION_SEND_ACK, answer(1, OUTCOME_ANSWERED));
	choose(6);
	EXPECT_EQ(ENTRY_ACTION_SEND_ACK, answer(1, OUTCOME_ANSWERED));
	EXPECT_EQ(ENTRY_SENT, call.state);
}

TEST_F(AttemptEntry, DeadlineReportsNotRunOnlyIfNothingWasSent)
{
	step(ENTRY_EVENT_TICK, DEADLINE_US);
	expect_finished(OUTCOME_NOT_RUN, REASON_EXPIRED);
	begin(true);
	choose(5);
	answer(1, OUTCOME_NOT_RUN, REASON_EXPIRED, DEADLINE_US);
	expect_finished(OUTCOME_UNKNOWN, REASON_EXPIRED);
	EXPECT_EQ(ENTRY_ACTION_SEND_CANCEL, out.list[0].type);
}

TEST_F(AttemptEntry, DisconnectedCallerCancelsTheAttempt)
{
	choose(5);
	step(ENTRY_EVENT_CALLER_GONE);
	EXPECT_EQ(ENTRY_ACTION_SEND_CANCEL, out.list[0].type);
	expect_finished(OUTCOME_UNKNOWN, REASON_CANCELLED);
}

// Guards against a node that ends while a call is in progress and leaves it without an answer.
TEST_F(AttemptEntry, StoppingNodeEndsTheCallWithItsTrueOutcome)
{
	step(ENTRY_EVENT_NODE_STOPPING);
	expect_finished(OUTCOME_NOT_RUN, REASON_DRAINING);
	begin(true);
	choose(5);
	step(ENTRY_EVENT_NODE_STOPPING);
	EXPECT_EQ(ENTRY_ACTION_SEND_CANCEL, out.list[0].type);
	expect_finished(OUTCOME_UNKNOWN, REASON_DRAINING);
}

TEST_F(AttemptEntry, FailedSendCountsAsNotRun)
{
	begin(false);
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(ENTRY_EVENT_SEND_FAILED));
	attempt_entry_event none = {};
	none.type = ENTRY_EVENT_NO_GATE;
	none.no_gate.reason = REASON_NO_BACKEND;
	step(none);
	expect_finished(OUTCOME_NOT_RUN, REASON_NO_BACKEND);
}

TEST_F(AttemptEntry, KeyedCallIsRetriedOnlyAtRestartedOwner)
{
	begin(false, true);
	choose(5);
	answer(1, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	expect_finished(OUTCOME_NOT_RUN, REASON_OVERLOAD);
	begin(false, true);
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(2, OUTCOME_NOT_RUN, REASON_INCARNATION));
	EXPECT_EQ(0, call.excluded_count);
}

TEST_F(AttemptEntry, EventNotAllowedByChartReturnsStateError)
{
	attempt_entry_event failed = {};

	failed.type = ENTRY_EVENT_SEND_FAILED;
	EXPECT_EQ(-1, attempt_entry_step(&call, &failed, &bucket, 100, &out, &err));
	EXPECT_EQ(ERROR_STATE, err.kind);
	EXPECT_EQ(0U, out.count);
}

// The following tests set servers_max: the route bounds the backend servers of a call. A refusal by
// a gate reaches no backend server and does not count against this bound.

TEST_F(AttemptEntry, OtherGatesAreTriedBeforeCallMayWait)
{
	begin(true, false, 2);
	bucket.own_milli = 0;
	choose(5);
	EXPECT_TRUE(out.list[0].has_wait_limit);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_OVERLOAD));
	choose(6);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD));
	EXPECT_EQ(2, call.excluded_count);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(ENTRY_EVENT_NO_GATE));
	EXPECT_EQ(0, call.excluded_count);
	choose(5);
	EXPECT_FALSE(out.list[0].has_wait_limit);
}

// What an attempt of a call repeats decides what the calls of its run count as: a refusal by a gate
// reaches no backend server, one by the server itself does.
TEST_F(AttemptEntry, AttemptIsARepeatOnceAnEarlierOneHasReachedAServer)
{
	begin(true, false, 5);
	call.repeat_permille = 250;
	choose(5);
	EXPECT_EQ(250U, out.list[0].repeat_permille);
	answer(1, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	choose(6);
	EXPECT_EQ(250U, out.list[0].repeat_permille);
	answer(2, OUTCOME_NOT_RUN, REASON_SHED);
	choose(7);
	EXPECT_EQ((uint32_t)RETRY_REPEAT_PERMILLE, out.list[0].repeat_permille);
}

// An overload: every gate says that the call cannot be served before its deadline. The caller is
// told after the second one, while there is time left to come back.
TEST_F(AttemptEntry, CallIsRefusedAfterTwoGatesCannotServeItInTime)
{
	begin(true, false, 5);
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_EXPIRED));
	choose(6);
	answer(2, OUTCOME_NOT_RUN, REASON_EXPIRED);
	expect_finished(OUTCOME_NOT_RUN, REASON_EXPIRED);
}

// A call that has waited at a gate for most of its time is not sent around with the rest.
TEST_F(AttemptEntry, CallThatWaitedInVainForMostOfItsTimeIsRefused)
{
	begin(true, false, 5);
	call.deadline_us = 1000000;
	choose(5);
	answer(1, OUTCOME_NOT_RUN, REASON_EXPIRED, 750000);
	expect_finished(OUTCOME_NOT_RUN, REASON_EXPIRED);
}

TEST_F(AttemptEntry, FullGateMayBeChosenAgainButNotOneThatRefusedForAnotherReason)
{
	uint64_t list[ENTRY_EXCLUDED_MAX];

	begin(true, false, 2);
	choose(5);
	answer(1, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	EXPECT_EQ(0U, attempt_entry_excluded(&call, list));
	EXPECT_TRUE(attempt_entry_gate_was_full(&call, 5));
	choose(6);
	answer(2, OUTCOME_NOT_RUN, REASON_NO_BACKEND);
	ASSERT_EQ(1U, attempt_entry_excluded(&call, list));
	EXPECT_EQ(6U, list[0]);
	EXPECT_FALSE(attempt_entry_gate_was_full(&call, 6));
}

TEST_F(AttemptEntry, GateThatRefusesCallThatMayWaitIsExcluded)
{
	uint64_t list[ENTRY_EXCLUDED_MAX];

	begin(true, false, 2);
	choose(5);
	answer(1, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(ENTRY_EVENT_NO_GATE));
	EXPECT_FALSE(attempt_entry_gate_was_full(&call, 5));
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD));
	ASSERT_EQ(1U, attempt_entry_excluded(&call, list));
	EXPECT_EQ(5U, list[0]);
}

TEST_F(AttemptEntry, CallThatMayWaitEndsAtTheNextRefusalOverTheLimit)
{
	begin(true, false, 2);
	for (uint64_t i = 1; i <= ENTRY_REFUSALS_MAX + 1; i++) {
		choose(i);
		ASSERT_EQ(ENTRY_ACTION_CHOOSE, answer(i, OUTCOME_NOT_RUN, REASON_OVERLOAD));
	}
	EXPECT_TRUE(call.may_wait);
	choose(1);
	answer(ENTRY_REFUSALS_MAX + 2, OUTCOME_NOT_RUN, REASON_OVERLOAD);
	expect_finished(OUTCOME_NOT_RUN, REASON_OVERLOAD);
}

TEST_F(AttemptEntry, RouteBoundsBackendServersOfCall)
{
	begin(true, false, 2);
	bucket.own_milli = 10000;
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(1, OUTCOME_NOT_RUN, REASON_SHED));
	choose(6);
	answer(2, OUTCOME_NOT_RUN, REASON_SHED);
	expect_finished(OUTCOME_NOT_RUN, REASON_SHED);
}

TEST_F(AttemptEntry, ServerErrorIsRetriedOnlyForIdempotentCall)
{
	attempt_entry_event failed = {};

	failed.type = ENTRY_EVENT_ANSWER;
	failed.answer.outcome = OUTCOME_ANSWERED;
	failed.answer.failed = true;
	for (bool idempotent : {true, false}) {
		begin(idempotent, false, 2);
		bucket.own_milli = 10000;
		choose(5);
		failed.answer.id = call.target.id;
		EXPECT_EQ(idempotent ? ENTRY_ACTION_CHOOSE : ENTRY_ACTION_FINISH, step(failed));
	}
	expect_finished(OUTCOME_ANSWERED, REASON_NONE);
}

TEST_F(AttemptEntry, ServerErrorIsTheAnswerWhenNoRetryIsAllowed)
{
	attempt_entry_event failed = {};

	failed.type = ENTRY_EVENT_ANSWER;
	failed.answer.outcome = OUTCOME_ANSWERED;
	failed.answer.failed = true;
	begin(true, false, 2);
	bucket.own_milli = 0;
	choose(5);
	failed.answer.id = call.target.id;
	EXPECT_EQ(ENTRY_ACTION_FINISH, step(failed));
	expect_finished(OUTCOME_ANSWERED, REASON_NONE);
}

// A backend server that does not answer can use up nearly all of the call's time. The rest is then
// too short for another attempt to be answered.
TEST_F(AttemptEntry, NoRetryIsSentWithTooLittleTimeLeft)
{
	const uint64_t late_us = DEADLINE_US - ENTRY_RETRY_TIME_US_MIN + 1;

	for (uint32_t servers_max : {0, 2}) {
		begin(true, false, servers_max);
		bucket.own_milli = 10000;
		choose(5);
		answer(sequence, OUTCOME_UNKNOWN, REASON_EXPIRED, late_us);
		expect_finished(OUTCOME_UNKNOWN, REASON_EXPIRED);
		EXPECT_EQ(10000U, bucket.own_milli);
		begin(true, false, servers_max);
		choose(5);
		answer(sequence, OUTCOME_NOT_RUN, REASON_SHED, late_us);
		expect_finished(OUTCOME_NOT_RUN, REASON_SHED);
		begin(true, false, servers_max);
		choose(5);
		EXPECT_EQ(ENTRY_ACTION_CHOOSE,
			  answer(sequence, OUTCOME_UNKNOWN, REASON_EXPIRED, late_us - 1));
	}
}

TEST_F(AttemptEntry, GateThatLostCallStaysExcludedWhenOthersAreFull)
{
	begin(true, false, 3);
	bucket.own_milli = 10000;
	choose(5);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(ENTRY_EVENT_GATE_GONE));
	choose(6);
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, answer(2, OUTCOME_NOT_RUN, REASON_OVERLOAD));
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(ENTRY_EVENT_NO_GATE));
	ASSERT_EQ(1, call.excluded_count);
	EXPECT_EQ(5U, call.excluded[0]);
}

// A restarted gate can reply on the connection over which attempts were sent to its earlier
// incarnation. The earlier incarnation cannot have received those attempts.
TEST_F(AttemptEntry, AttemptReceivedOnlyByLaterIncarnationDidNotRun)
{
	attempt_entry_event restarted = {};

	begin(false, false, 2);
	choose(5);
	restarted.type = ENTRY_EVENT_GATE_RESTARTED;
	restarted.gate_restarted.epoch = call.target.epoch;
	EXPECT_EQ(ENTRY_ACTION_CHOOSE, step(restarted));
	EXPECT_FALSE(call.may_have_run);
}

TEST_F(AttemptEntry, AttemptSentOverEarlierConnectionMayHaveRun)
{
	attempt_entry_event restarted = {};

	begin(false, false, 2);
	choose(5);
	replace_link(link_epoch(LINK_CALLS, 2));
	restarted.type = ENTRY_EVENT_GATE_RESTARTED;
	restarted.gate_restarted.epoch = call.target.epoch;
	step(restarted);
	expect_finished(OUTCOME_UNKNOWN, REASON_CONNECTION_LOST);
}
