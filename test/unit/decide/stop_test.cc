// Unit tests of a graceful stop: its phases share the time limit of the whole stop.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "fescuemill/decide/stop.h"
}

namespace
{
constexpr uint64_t MS = 1000;
constexpr uint64_t START_US = 7000 * MS;
constexpr uint64_t SERVE_US = 2200 * MS;
constexpr uint64_t LIMIT_US = 5600 * MS;
constexpr uint64_t TICK_US = STOP_TICK_US;

// When each thing that the stop waits for ends, counted from the start of the stop.
struct Waits {
	uint64_t attempts_us = 0;
	uint64_t calls_us = 0;
	uint64_t answers_us = 0;
	uint64_t roster_us = 0; // counted from STOP_ANNOUNCE_LEAVING
	uint64_t connections_us = 0;
};

// What a stop did. Times are counted from the start of the stop.
struct StopRun {
	std::vector<stop_action> actions;
	uint64_t refused_us = 0;
	uint64_t announced_us = 0;
	uint64_t closed_us = 0;
	uint64_t took_us = 0;

	stop_action last() const
	{
		return actions.back();
	}

	bool did(stop_action action) const
	{
		return std::find(actions.begin(), actions.end(), action) != actions.end();
	}
};

// Runs a stop to its end, with housekeeping ten times a second.
StopRun run_stop(const Waits &waits, uint64_t limit_us = LIMIT_US)
{
	stop one = {};
	StopRun out;

	stop_begin(&one, SERVE_US, limit_us, START_US);
	while (one.phase != STOP_ENDED) {
		uint64_t now_us = START_US + out.took_us;
		stop_view view = {};
		stop_action action;

		view.attempts = out.took_us < waits.attempts_us;
		view.calls = out.took_us < waits.calls_us;
		view.answers = out.took_us < waits.answers_us;
		view.connections = out.took_us < waits.connections_us;
		view.has_left = out.did(STOP_ANNOUNCE_LEAVING) &&
				out.took_us >= out.announced_us + waits.roster_us;
		while ((action = stop_advance(&one, &view, now_us)) != STOP_WAIT) {
			out.actions.push_back(action);
			if (action == STOP_REFUSE_CALLS)
				out.refused_us = out.took_us;
			if (action == STOP_ANNOUNCE_LEAVING)
				out.announced_us = out.took_us;
			if (action == STOP_CLOSE_LISTENER)
				out.closed_us = out.took_us;
		}
		if (one.phase != STOP_ENDED)
			out.took_us += TICK_US;
	}
	return out;
}
const std::vector<stop_action> WHOLE = {STOP_REFUSE_ATTEMPTS, STOP_REFUSE_CALLS,
					STOP_ANNOUNCE_LEAVING, STOP_CLOSE_LISTENER, STOP_END};
} // namespace

TEST(Stop, IdleNodePassesThroughEveryPhase)
{
	StopRun out = run_stop({});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_GE(out.announced_us, SERVE_US);
	EXPECT_LE(out.took_us, SERVE_US + STOP_LEAVE_GOSSIP_US + 2 * TICK_US);
}

// In a rolling restart, a gate's slots are unavailable from its last admission until the first one
// by the new process. The leave message and the last connections must therefore share the same half
// second instead of taking one after the other.
TEST(Stop, GateIsUnavailableOnlyForItsWorkAndLeaving)
{
	const uint64_t work_us = 300 * MS;
	StopRun out = run_stop({SERVE_US + work_us, 0, SERVE_US + work_us, 0, LIMIT_US});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_LE(out.took_us - SERVE_US,
		  work_us + STOP_HANDSHAKE_US + STOP_QUIET_US + 3 * TICK_US);
}

// Attempts that run at the backend server may make calls through this node.
TEST(Stop, CallsAreAcceptedWhileBackendServerWorks)
{
	const uint64_t work_us = SERVE_US + 1200 * MS;
	StopRun out = run_stop({work_us, work_us, 0, 0, 0});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_GE(out.refused_us, work_us);
}

// In a replayed incident, entries that had stopped too never acknowledged their answers, the store
// did not reply and connections stayed open. The stop was reported as timed out although no call
// was left.
TEST(Stop, AllPhasesAreRunWhenWaitsExceedTheLimit)
{
	StopRun out = run_stop({0, 0, LIMIT_US, LIMIT_US, LIMIT_US});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_LE(out.took_us, LIMIT_US);
	EXPECT_GE(out.took_us - out.closed_us, STOP_QUIET_US);
}

TEST(Stop, StopWithWorkBeyondTheLimitTimesOut)
{
	StopRun out = run_stop({LIMIT_US + TICK_US, 0, 0, 0, 0});

	EXPECT_EQ(
		(std::vector<stop_action>{STOP_REFUSE_ATTEMPTS, STOP_REFUSE_CALLS, STOP_TIMED_OUT}),
		out.actions);
	EXPECT_EQ(LIMIT_US, out.took_us);
}

TEST(Stop, WorkMayUseAllTimeExceptWhatCallersNeed)
{
	uint64_t work_us = LIMIT_US - 400 * MS;
	StopRun out = run_stop({work_us, work_us, LIMIT_US, LIMIT_US, LIMIT_US});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_LE(out.took_us, LIMIT_US);
}

// While the store is unavailable, a gate that waits for it would be missing for all callers.
TEST(Stop, UnavailableStoreDelaysStopByOneSecondAtMost)
{
	StopRun out = run_stop({0, 0, 0, LIMIT_US, 0});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_LE(out.took_us, SERVE_US + STOP_LEAVE_ROSTER_US + 2 * TICK_US);
}

// Without time to serve after the stop begins, requests over open connections still get a second.
TEST(Stop, OpenConnectionsHaveOneSecondFromTheStart)
{
	StopRun out = run_stop({0, 0, 0, 0, LIMIT_US}, 30000 * MS);

	EXPECT_GE(out.took_us, STOP_IDLE_US);
}

TEST(Stop, StopWaitsForAcksAndRosterWhenTimeAllows)
{
	StopRun out = run_stop({0, 0, LIMIT_US, 3000 * MS, 0}, 30000 * MS);

	EXPECT_GE(out.announced_us, SERVE_US + STOP_ACKS_US);
	EXPECT_GE(out.took_us, out.announced_us + STOP_LEAVE_ROSTER_US);
	EXPECT_EQ(STOP_END, out.last());
}

// Guards against calls that are accepted while the backend server still works and that are cut off
// by the end of the process.
TEST(Stop, CallsThatWouldOutlastTheStopAreRefused)
{
	stop one = {};
	stop_view view = {};

	EXPECT_TRUE(stop_accepts_call(&one, 60000 * MS, START_US)) << "no stop";
	stop_begin(&one, SERVE_US, LIMIT_US, START_US);
	view.attempts = 1;
	EXPECT_TRUE(stop_accepts_call(&one, 60000 * MS, START_US)) << "callers have yet to notice";
	EXPECT_EQ(STOP_REFUSE_ATTEMPTS, stop_advance(&one, &view, START_US + SERVE_US));
	for (uint64_t after_us = SERVE_US; after_us < LIMIT_US; after_us += TICK_US) {
		uint64_t now_us = START_US + after_us;

		stop_advance(&one, &view, now_us);
		for (uint64_t left_us = 0; left_us <= 15000 * MS; left_us += TICK_US) {
			if (stop_accepts_call(&one, left_us, now_us)) {
				EXPECT_LE(now_us + left_us, stop_work_end_us(&one));
				EXPECT_LT(now_us + left_us, START_US + LIMIT_US);
			}
		}
	}
}

TEST(Stop, CallsOfWhatTheServerStillRunsAreAccepted)
{
	stop one = {};
	stop_view view = {};

	view.attempts = 1;
	stop_begin(&one, SERVE_US, LIMIT_US, START_US);
	stop_advance(&one, &view, START_US + SERVE_US);
	EXPECT_TRUE(stop_accepts_call(&one, 600 * MS, START_US + SERVE_US));
	EXPECT_TRUE(stop_accepts_call(&one, 600 * MS, START_US + 4000 * MS));
	view.attempts = 0;
	stop_advance(&one, &view, START_US + 4000 * MS);
	EXPECT_FALSE(stop_accepts_call(&one, 600 * MS, START_US + 4000 * MS));
}

// Guards against a process that ends while calls are in progress, and closes their connections
// without an answer.
TEST(Stop, CallsStillInProgressAreEndedBeforeTheProcess)
{
	StopRun out = run_stop({0, LIMIT_US + TICK_US, 0, 0, 0});

	EXPECT_EQ((std::vector<stop_action>{STOP_REFUSE_ATTEMPTS, STOP_REFUSE_CALLS, STOP_END_CALLS,
					    STOP_TIMED_OUT}),
		  out.actions);
	EXPECT_FALSE(run_stop({0, LIMIT_US - 300 * MS, 0, 0, 0}).did(STOP_END_CALLS));
}

RC_GTEST_PROP(Stop, EndsWithinItsLimitAndCutsOnlyWork, ())
{
	auto any_us = [] { return *rc::gen::inRange<uint64_t>(0, 70) * TICK_US; };
	Waits waits = {any_us(), any_us(), any_us(), any_us(), any_us()};
	uint64_t work_us = std::max(waits.attempts_us, waits.calls_us);
	StopRun out = run_stop(waits);

	RC_ASSERT(out.took_us <= LIMIT_US);
	RC_ASSERT((out.last() == STOP_TIMED_OUT) == (work_us > LIMIT_US));
	if (work_us + 300 * MS <= LIMIT_US)
		RC_ASSERT(out.actions == WHOLE);
}
