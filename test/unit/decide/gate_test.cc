// Unit tests of the gate's admission decisions.
#include <gtest/gtest.h>

#include <array>

extern "C" {
#include "fescuemill/decide/gate.h"
}

namespace
{

constexpr uint32_t PURCHASE = 0;
constexpr uint32_t BROWSE = 1;
constexpr uint32_t BURST = 25; // calls of either class that are in profile at once
constexpr uint64_t DEADLINE_AFTER_US = 10000000;

const struct service_config two_classes = {
	"ledger", 1, 2, {{"purchase", 0, 50000, 990, 100}, {"browse", 5, 200000, 950, 100}}};

class Gate : public testing::Test
{
      protected:
	void SetUp() override
	{
		gate_init(&gate, now_us);
		gate_set_config(&gate, &two_classes, now_us, &actions);
	}

	// Makes the backend server ready, with the limit already at its slots. Announcing more
	// slots first makes the slow start begin at that number.
	void make_ready(uint32_t slots)
	{
		gate_set_backend(&gate, BACKEND_READY, slots * LIMIT_LOW_DIVISOR, now_us, &actions);
		gate_set_backend(&gate, BACKEND_READY, slots, now_us, &actions);
		ASSERT_EQ(slots, gate.limit.current);
	}

	struct gate_verdict offer(struct gate_ticket &ticket, uint32_t class_index,
				  uint64_t deadline_after_us = DEADLINE_AFTER_US)
	{
		return gate_offer(&gate, &ticket, class_index, now_us + deadline_after_us, now_us,
				  &actions);
	}

	void finish(struct gate_ticket &ticket, enum gate_result result, uint64_t service_us)
	{
		now_us += service_us;
		gate_finish(&gate, &ticket, result, now_us, &actions);
	}

	// Expects that the operation started this ticket and decided on no other.
	void expect_started(const struct gate_ticket &ticket)
	{
		ASSERT_EQ(1U, actions.count);
		EXPECT_EQ(&ticket, actions.list[0].ticket);
		EXPECT_EQ(GATE_START, actions.list[0].verdict.kind);
	}

	struct gate_load load()
	{
		struct gate_load load;

		gate_get_load(&gate, &load);
		return load;
	}

	struct gate gate;
	struct gate_actions actions;
	uint64_t now_us = 1000000;
	std::array<struct gate_ticket, 400> tickets = {};
};

TEST_F(Gate, NoWaitAttemptIsRefusedInsteadOfQueued)
{
	gate_ticket first = {};
	gate_ticket second = {};

	make_ready(1);
	EXPECT_EQ(GATE_START, offer(first, BROWSE).kind);
	second.has_wait_limit = true;
	gate_verdict verdict = offer(second, PURCHASE);
	EXPECT_EQ(GATE_REFUSE, verdict.kind);
	EXPECT_EQ(REASON_OVERLOAD, verdict.reason);
	EXPECT_EQ(0U, gate.queued);
	finish(first, GATE_RESULT_OK, 1000);
	EXPECT_EQ(GATE_START, offer(second, PURCHASE).kind);
}

// The entry found that the next gate would take longer than the queue here.
TEST_F(Gate, AttemptWaitsIfItsLimitAllowsTheExpectedWait)
{
	gate_ticket first = {};
	gate_ticket patient = {};
	gate_ticket hasty = {};

	make_ready(1);
	EXPECT_EQ(GATE_START, offer(first, BROWSE).kind);
	finish(first, GATE_RESULT_OK, 20000);
	EXPECT_EQ(GATE_START, offer(first, BROWSE).kind);
	patient.has_wait_limit = true;
	patient.wait_max_us = 15000;
	EXPECT_EQ(GATE_WAIT, offer(patient, BROWSE).kind);
	hasty.has_wait_limit = true;
	hasty.wait_max_us = 15000;
	EXPECT_EQ(GATE_REFUSE, offer(hasty, BROWSE).kind) << "one is waiting before it";
}

// Guards against attempts that a stopping node starts though its end will cut them off.
TEST_F(Gate, AttemptThatTheNodesEndWouldCutOffIsRefused)
{
	make_ready(1);
	EXPECT_EQ(GATE_START, offer(tickets[0], BROWSE).kind);
	finish(tickets[0], GATE_RESULT_OK, 3000000);
	EXPECT_EQ(GATE_START, offer(tickets[1], BROWSE).kind);
	EXPECT_EQ(GATE_WAIT, offer(tickets[2], BROWSE).kind);
	gate_set_end(&gate, now_us + 4000000);
	finish(tickets[1], GATE_RESULT_OK, 2000000);
	ASSERT_EQ(1U, actions.count);
	EXPECT_EQ(&tickets[2], actions.list[0].ticket);
	EXPECT_EQ(GATE_REFUSE, actions.list[0].verdict.kind);
	EXPECT_EQ(REASON_DRAINING, actions.list[0].verdict.reason);
	gate_verdict verdict = offer(tickets[3], BROWSE);
	EXPECT_EQ(GATE_REFUSE, verdict.kind);
	EXPECT_EQ(REASON_DRAINING, verdict.reason);
	EXPECT_EQ(GATE_START, offer(tickets[4], PURCHASE).kind) << "of no known duration";
}

// Guards against a backend server that gets more calls than the limit it states: the gate sees
// every call to it, and holds the rate whatever slots are free.
TEST_F(Gate, CallsStartAtTheRateThatTheServerStates)
{
	uint32_t started = 0;

	make_ready(8);
	gate_set_rate_limit(&gate, 2000, now_us);
	for (size_t i = 0; i < 100; i++) {
		gate_ticket &ticket = tickets[i];

		ticket.has_wait_limit = true; // refuse rather than wait
		if (offer(ticket, PURCHASE).kind == GATE_START) {
			started++;
			finish(ticket, GATE_RESULT_OK, 1000);
		}
		now_us += 40000;
	}
	EXPECT_GE(started, 7u) << "2 a second for 4 s";
	EXPECT_LE(started, 9u);
	EXPECT_EQ(load().rate_limit_milli, 2000u);
	gate_clear_rate_limit(&gate, now_us, &actions);
	EXPECT_EQ(GATE_START, offer(tickets[200], PURCHASE).kind);
	EXPECT_EQ(GATE_START, offer(tickets[201], PURCHASE).kind);
	EXPECT_EQ(load().rate_limit_milli, 0u);
}

TEST_F(Gate, CallThatTheStatedRateCannotServeInTimeIsRefusedAtOnce)
{
	make_ready(8);
	gate_set_rate_limit(&gate, 1000, now_us);
	EXPECT_EQ(GATE_WAIT, offer(tickets[0], PURCHASE, 2500000).kind);
	EXPECT_EQ(GATE_WAIT, offer(tickets[1], PURCHASE, 2500000).kind);
	gate_verdict verdict = offer(tickets[2], PURCHASE, 2500000);

	EXPECT_EQ(GATE_REFUSE, verdict.kind) << "its turn comes after 3 s";
	EXPECT_EQ(REASON_EXPIRED, verdict.reason);
	EXPECT_EQ(3000000u, load().wait_us) << "told to the caller as the time to come back after";
	now_us += 1000000;
	gate_tick(&gate, now_us, &actions);
	expect_started(tickets[0]);
	gate_clear_rate_limit(&gate, now_us, &actions);
	expect_started(tickets[1]);
}

class SlowHostGate : public Gate
{
      protected:
	void SetUp() override
	{
		Gate::SetUp();
		gate.slowdown.is_enabled = true;
		gate.slowdown.baseline_percent = 100;
		make_ready(4);
	}
};

TEST_F(SlowHostGate, AttemptWaitsForSlowdownSampleAndStartsWithIt)
{
	gate_ticket ticket = {};

	EXPECT_EQ(GATE_WAIT, offer(ticket, BROWSE).kind);
	EXPECT_TRUE(gate_start_slowdown_probe(&gate, now_us));
	EXPECT_FALSE(gate_start_slowdown_probe(&gate, now_us)) << "one probe at a time";
	gate_record_slowdown(&gate, 100, now_us, &actions);
	expect_started(ticket);
}

TEST_F(SlowHostGate, LongCallWaitsForEndOfEpisodeUnlessNoWait)
{
	gate_ticket waiter = {};
	gate_ticket other = {};

	other.has_wait_limit = true;
	EXPECT_EQ(GATE_WAIT, offer(waiter, BROWSE).kind);
	EXPECT_EQ(GATE_WAIT, offer(other, BROWSE).kind);
	gate_record_slowdown(&gate, 500, now_us, &actions);
	ASSERT_EQ(1U, actions.count);
	EXPECT_EQ(&other, actions.list[0].ticket);
	EXPECT_EQ(GATE_REFUSE, actions.list[0].verdict.kind);
	gate_record_slowdown(&gate, 100, now_us, &actions);
	expect_started(waiter);
}

// Calls between backend servers take 20 ms and have a latency target of 100 ms. On a slow host they
// are refused if they can go to another gate, and otherwise start at once: waiting costs more.
TEST_F(SlowHostGate, ShortCallIsRefusedIfNoWaitAndElseStartsOnSlowHost)
{
	gate_ticket waiter = {};
	gate_ticket other = {};

	gate.classes[BROWSE].service.baseline_us = 20000;
	gate_record_slowdown(&gate, 500, now_us, &actions);
	other.has_wait_limit = true;
	EXPECT_EQ(GATE_REFUSE, offer(other, BROWSE).kind);
	EXPECT_EQ(GATE_START, offer(waiter, BROWSE).kind);
}

TEST_F(SlowHostGate, FailedProbeDoesNotBlockAdmission)
{
	gate_ticket ticket = {};

	EXPECT_EQ(GATE_WAIT, offer(ticket, BROWSE).kind);
	EXPECT_TRUE(gate_start_slowdown_probe(&gate, now_us));
	gate_slowdown_unknown(&gate, now_us, &actions);
	expect_started(ticket);
}

TEST_F(SlowHostGate, NoProbeWithoutWaitingAttempts)
{
	EXPECT_FALSE(gate_start_slowdown_probe(&gate, now_us));
}

} // namespace

// Backend servers make short calls while they run a call, which holds a slot meanwhile. With a
// fixed limit such a short call must not wait for a long call to finish while slots beyond the
// limit are free. The server is known to slow down when nearly all of its slots are in use.
TEST_F(Gate, ShortCallMayExceedFixedLimitAndLongCallMayNot)
{
	gate.slots_used_percent = 50;
	gate_set_backend(&gate, BACKEND_READY, 4, now_us, &actions);
	ASSERT_EQ(2U, gate.limit.current);
	for (int i = 0; i < 50; i++) {
		offer(tickets[0], BROWSE);
		finish(tickets[0], GATE_RESULT_OK, 100000);
		offer(tickets[0], PURCHASE);
		finish(tickets[0], GATE_RESULT_OK, 1000);
		offer(tickets[0], BROWSE);
		finish(tickets[0], GATE_RESULT_OK, 100000);
	}
	tickets = {};
	gate.saturation.verdict = SATURATION_SLOWS;
	gate.saturation.judged_us = now_us;
	EXPECT_EQ(GATE_START, offer(tickets[0], BROWSE).kind);
	EXPECT_EQ(GATE_START, offer(tickets[1], BROWSE).kind);
	EXPECT_EQ(GATE_WAIT, offer(tickets[2], BROWSE).kind);
	EXPECT_EQ(GATE_START, offer(tickets[3], PURCHASE).kind);
	EXPECT_EQ(GATE_START, offer(tickets[4], PURCHASE).kind);
	EXPECT_EQ(GATE_WAIT, offer(tickets[5], PURCHASE).kind);
	finish(tickets[3], GATE_RESULT_OK, 1000);
	expect_started(tickets[5]);
}

// A gate asked with a wait limit says if it cannot serve the call in time at all. If it only said
// that the wait is over the limit, the call might come back to wait for nothing.
TEST_F(Gate, CallThatCannotBeInTimeIsRefusedAsExpiredWhateverItsWaitLimit)
{
	make_ready(1);
	offer(tickets[0], BROWSE);
	finish(tickets[0], GATE_RESULT_OK, 100000);
	tickets = {};
	offer(tickets[0], BROWSE);
	ASSERT_EQ(GATE_WAIT, offer(tickets[1], BROWSE).kind);
	tickets[2].has_wait_limit = true;
	tickets[2].wait_max_us = 1000;
	EXPECT_EQ(REASON_EXPIRED, offer(tickets[2], BROWSE, 200000).reason);
	EXPECT_EQ(REASON_OVERLOAD, offer(tickets[2], BROWSE, 1000000).reason);
}

TEST_F(Gate, RefusesWithoutBackendServer)
{
	EXPECT_EQ(REASON_NO_BACKEND, offer(tickets[0], PURCHASE).reason);
	gate_set_backend(&gate, BACKEND_STARTING, 4, now_us, &actions);
	EXPECT_EQ(REASON_NO_BACKEND, offer(tickets[0], PURCHASE).reason);
}

TEST_F(Gate, RefusesUnknownClassAndPassedDeadline)
{
	make_ready(1);
	EXPECT_EQ(REASON_UNKNOWN_CLASS, offer(tickets[0], 2).reason);
	EXPECT_EQ(REASON_UNKNOWN_CLASS, offer(tickets[0], 99).reason);
	EXPECT_EQ(REASON_EXPIRED, offer(tickets[0], PURCHASE, 0).reason);
	EXPECT_EQ(-1, gate_find_class(&gate, "no-such-class"));
	EXPECT_EQ((int)BROWSE, gate_find_class(&gate, "browse"));
}

TEST_F(Gate, ServesUrgentInProfileWorkFirst)
{
	make_ready(1);
	EXPECT_EQ(GATE_START, offer(tickets[0], BROWSE).kind);
	EXPECT_EQ(GATE_WAIT, offer(tickets[1], BROWSE).kind);
	EXPECT_EQ(GATE_WAIT, offer(tickets[2], PURCHASE).kind);
	finish(tickets[0], GATE_RESULT_OK, 1000);
	expect_started(tickets[2]);
}

TEST_F(Gate, ServesTheEarlierDeadlineFirstWithinAClass)
{
	make_ready(1);
	offer(tickets[0], PURCHASE);
	offer(tickets[1], PURCHASE);
	offer(tickets[2], PURCHASE, 20000);
	finish(tickets[0], GATE_RESULT_OK, 1000);
	expect_started(tickets[2]);
}

TEST_F(Gate, OutOfProfileWorkHasNoRank)
{
	make_ready(1);
	for (uint32_t i = 0; i < BURST + 2; i++)
		offer(tickets[i], PURCHASE);
	EXPECT_TRUE(tickets[BURST - 1].in_profile);
	EXPECT_FALSE(tickets[BURST].in_profile);
	for (uint32_t i = 1; i < BURST; i++)
		gate_cancel(&gate, &tickets[i], now_us, &actions);
	EXPECT_EQ(GATE_WAIT, offer(tickets[200], BROWSE).kind);
	EXPECT_TRUE(tickets[200].in_profile);
	finish(tickets[0], GATE_RESULT_OK, 1000);
	expect_started(tickets[200]);
}

TEST_F(Gate, CancelFreesTheSlotAtOnce)
{
	make_ready(1);
	offer(tickets[0], BROWSE);
	offer(tickets[1], BROWSE);
	gate_cancel(&gate, &tickets[0], now_us, &actions);
	expect_started(tickets[1]);
	gate_cancel(&gate, &tickets[0], now_us, &actions);
	EXPECT_EQ(0U, actions.count);
	EXPECT_EQ(1U, load().in_use);
}

TEST_F(Gate, CancelFreesTheQueueEntryAtOnce)
{
	make_ready(1);
	for (uint32_t i = 0; i < 1 + GATE_CLASS_QUEUE_MAX; i++)
		EXPECT_NE(GATE_REFUSE, offer(tickets[i], BROWSE).kind);
	gate_cancel(&gate, &tickets[40], now_us, &actions);
	EXPECT_EQ(GATE_WAIT, offer(tickets[100], BROWSE).kind);
	EXPECT_EQ(0U, actions.count);
	EXPECT_EQ((uint32_t)GATE_CLASS_QUEUE_MAX, load().queued);
}

TEST_F(Gate, FullQueueEvictsOldestOutOfProfileTicket)
{
	uint32_t oldest = BURST;

	make_ready(1);
	for (uint32_t i = 0; i < 1 + GATE_CLASS_QUEUE_MAX; i++)
		offer(tickets[i], BROWSE);
	EXPECT_EQ(GATE_WAIT, offer(tickets[100], BROWSE).kind);
	ASSERT_EQ(1U, actions.count);
	EXPECT_EQ(&tickets[oldest], actions.list[0].ticket);
	EXPECT_EQ(REASON_OVERLOAD, actions.list[0].verdict.reason);
	EXPECT_EQ((uint32_t)GATE_CLASS_QUEUE_MAX, load().queued);
}

TEST_F(Gate, RefusesInProfileWorkWhenQueueIsFullOfIt)
{
	struct service_config config = two_classes;

	config.classes[PURCHASE].calls_per_s = 100000;
	gate_set_config(&gate, &config, now_us, &actions);
	now_us += 1000000;
	make_ready(1);
	for (uint32_t i = 0; i < 1 + GATE_CLASS_QUEUE_MAX; i++)
		offer(tickets[i], PURCHASE);
	EXPECT_EQ(REASON_OVERLOAD, offer(tickets[100], PURCHASE).reason);
	EXPECT_EQ(0U, actions.count);
}

TEST_F(Gate, ServesTheNewestFirstOutOfProfile)
{
	make_ready(1);
	for (uint32_t i = 0; i < BURST + 3; i++)
		offer(tickets[i], BROWSE);
	for (uint32_t i = 1; i < BURST; i++)
		gate_cancel(&gate, &tickets[i], now_us, &actions);
	finish(tickets[0], GATE_RESULT_OK, 1000);
	expect_started(tickets[BURST + 2]);
}

TEST_F(Gate, RefusesOfferThatCannotMeetItsDeadline)
{
	make_ready(1);
	offer(tickets[0], PURCHASE);
	finish(tickets[0], GATE_RESULT_OK, 10000);
	offer(tickets[1], PURCHASE);
	offer(tickets[2], PURCHASE);
	EXPECT_EQ(REASON_EXPIRED, offer(tickets[3], PURCHASE, 15000).reason);
	EXPECT_EQ(GATE_WAIT, offer(tickets[4], PURCHASE, 60000).kind);
}

TEST_F(Gate, RefusesWaitingTicketThatCanNoLongerMeetItsDeadline)
{
	make_ready(1);
	offer(tickets[0], PURCHASE);
	offer(tickets[1], PURCHASE, 30000);
	now_us += 30000;
	gate_tick(&gate, now_us, &actions);
	ASSERT_EQ(1U, actions.count);
	EXPECT_EQ(&tickets[1], actions.list[0].ticket);
	EXPECT_EQ(REASON_EXPIRED, actions.list[0].verdict.reason);
}

// Guards against attempts that wait at a gate and reach its backend server long after it has said
// that it drains, when it is about to end.
TEST_F(Gate, DrainingRefusesNewAttemptsAndWaitingOnes)
{
	make_ready(1);
	offer(tickets[0], BROWSE);
	offer(tickets[1], BROWSE);
	gate_set_backend(&gate, BACKEND_DRAINING, 1, now_us, &actions);
	ASSERT_EQ(1U, actions.count);
	EXPECT_EQ(&tickets[1], actions.list[0].ticket);
	EXPECT_EQ(GATE_REFUSE, actions.list[0].verdict.kind);
	EXPECT_EQ(REASON_DRAINING, actions.list[0].verdict.reason);
	EXPECT_EQ(REASON_DRAINING, offer(tickets[2], BROWSE).reason);
	EXPECT_EQ(1U, load().in_use);
	EXPECT_EQ(0U, load().queued);
	finish(tickets[0], GATE_RESULT_OK, 1000);
	EXPECT_EQ(0U, actions.count);
	EXPECT_EQ(0U, load().in_use);
}

TEST_F(Gate, LeavingRefusesWaitingAttemptsAndLetsRunningOnesFinish)
{
	make_ready(1);
	offer(tickets[0], BROWSE);
	offer(tickets[1], BROWSE);
	gate_set_backend(&gate, BACKEND_LEAVING, 1, now_us, &actions);
	ASSERT_EQ(1U, actions.count);
	EXPECT_EQ(&tickets[1], actions.list[0].ticket);
	EXPECT_EQ(REASON_DRAINING, actions.list[0].verdict.reason);
	EXPECT_EQ(1U, load().in_use);
	finish(tickets[0], GATE_RESULT_OK, 1000);
	EXPECT_EQ(0U, load().in_use);
}

TEST_F(Gate, SlowStartRaisesLimitToAnnouncedSlots)
{
	gate_set_backend(&gate, BACKEND_READY, 8, now_us, &actions);
	EXPECT_EQ(2U, load().limit);
	for (uint32_t round = 0; round < 1000 && load().limit < 8; round++) {
		uint32_t limit = load().limit;

		for (uint32_t i = 0; i < limit; i++)
			EXPECT_EQ(GATE_START, offer(tickets[i], PURCHASE).kind);
		for (uint32_t i = 0; i < limit; i++)
			finish(tickets[i], GATE_RESULT_OK, i == 0 ? 1000 : 0);
	}
	EXPECT_EQ(8U, load().limit);
}

TEST_F(Gate, ShrinksWhenTheBackendServerSheds)
{
	make_ready(8);
	offer(tickets[0], PURCHASE);
	finish(tickets[0], GATE_RESULT_SHED, 100);
	EXPECT_EQ(6U, load().limit);
}

TEST_F(Gate, FastErrorCostsAtLeastTheTargetAndDecays)
{
	make_ready(1);
	for (uint32_t i = 0; i < 100; i++) {
		offer(tickets[0], PURCHASE);
		finish(tickets[0], GATE_RESULT_ERROR, 100);
	}
	EXPECT_GT(load().service_time_us, 45000U);
	for (uint32_t i = 0; i < 1000; i++) {
		now_us += GATE_TICK_INTERVAL_US;
		gate_tick(&gate, now_us, &actions);
	}
	EXPECT_LT(load().service_time_us, 1000U);
}

TEST_F(Gate, RemovedClassRefusesWaitingAttemptsAndLetsRunningOnesFinish)
{
	struct service_config one_class = {"ledger", 2, 1, {{"purchase", 0, 50000, 990, 100}}};

	make_ready(1);
	offer(tickets[0], BROWSE);
	offer(tickets[1], BROWSE);
	gate_set_config(&gate, &one_class, now_us, &actions);
	ASSERT_EQ(1U, actions.count);
	EXPECT_EQ(REASON_UNKNOWN_CLASS, actions.list[0].verdict.reason);
	EXPECT_EQ(1U, load().in_use);
	gate_set_config(&gate, &two_classes, now_us, &actions);
	finish(tickets[0], GATE_RESULT_OK, 1000);
	EXPECT_EQ(0U, load().in_use);
	EXPECT_EQ(0U, gate.classes[gate_find_class(&gate, "browse")].running);
}

TEST_F(Gate, BackwardClockDoesNotRefillTokens)
{
	make_ready(1);
	for (uint32_t i = 0; i <= BURST; i++)
		offer(tickets[i], PURCHASE);
	EXPECT_FALSE(tickets[BURST].in_profile);
	now_us -= 500000;
	offer(tickets[100], PURCHASE);
	EXPECT_FALSE(tickets[100].in_profile);
	gate_set_config(&gate, &two_classes, now_us, &actions);
	offer(tickets[101], PURCHASE);
	EXPECT_FALSE(tickets[101].in_profile);
}
