// Stop: the phases of a graceful stop share the time that the whole has.
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
constexpr uint64_t TICK_US = STOP_STEP_US;

// How long each thing that the stop waits for lasts, from its start on.
struct Waits {
	uint64_t work_us = 0;
	uint64_t answers_us = 0;
	uint64_t roster_us = 0; // from the goodbye on
	uint64_t connections_us = 0;
};

struct Walk {
	std::vector<stop_action> actions;
	uint64_t goodbye_us = 0;
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

// Walks a stop to its end, with housekeeping ten times a second.
Walk walk(const Waits &waits, uint64_t limit_us = LIMIT_US)
{
	stop one = {};
	Walk out;

	stop_begin(&one, SERVE_US, limit_us, START_US);
	while (one.phase != STOP_ENDED) {
		uint64_t now_us = START_US + out.took_us;
		stop_view view = {};
		stop_action action;

		view.work = out.took_us < waits.work_us;
		view.answers = out.took_us < waits.answers_us;
		view.connections = out.took_us < waits.connections_us;
		view.has_left = out.did(STOP_SAY_GOODBYE) &&
				out.took_us >= out.goodbye_us + waits.roster_us;
		while ((action = stop_advance(&one, &view, now_us)) != STOP_WAIT) {
			out.actions.push_back(action);
			if (action == STOP_SAY_GOODBYE)
				out.goodbye_us = out.took_us;
			if (action == STOP_LISTEN_NO_MORE)
				out.closed_us = out.took_us;
		}
		if (one.phase != STOP_ENDED)
			out.took_us += TICK_US;
	}
	return out;
}
const std::vector<stop_action> WHOLE = {STOP_TAKE_NO_WORK, STOP_SAY_GOODBYE, STOP_ACCEPT_NO_MORE,
					STOP_LISTEN_NO_MORE, STOP_END};
} // namespace

TEST(Stop, AnIdleNodeGoesThroughEveryPhase)
{
	Walk out = walk({});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_GE(out.goodbye_us, SERVE_US);
	EXPECT_LE(out.took_us, SERVE_US + STOP_GOODBYE_US + STOP_HANDSHAKE_US + 4 * TICK_US);
}

// Seen on a replayed incident: entries that had stopped too never acknowledged their answers, the
// store did not answer and connections stayed open. No call was left, and the stop counted as cut.
TEST(Stop, WaitsThatAddUpToMoreThanTheLimitStillEndInOrder)
{
	Walk out = walk({0, LIMIT_US, LIMIT_US, LIMIT_US});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_LE(out.took_us, LIMIT_US);
	EXPECT_GE(out.took_us - out.closed_us, STOP_IDLE_US);
}

TEST(Stop, WorkThatOutlastsTheLimitIsCutOffAndSaid)
{
	Walk out = walk({LIMIT_US + TICK_US, 0, 0, 0});

	EXPECT_EQ((std::vector<stop_action>{STOP_TAKE_NO_WORK, STOP_CUT_OFF}), out.actions);
	EXPECT_EQ(LIMIT_US, out.took_us);
}

TEST(Stop, WorkMayTakeAllTheTimeButWhatCallersNeed)
{
	Walk out = walk({LIMIT_US - 400 * MS, LIMIT_US, LIMIT_US, LIMIT_US});

	EXPECT_EQ(WHOLE, out.actions);
	EXPECT_LE(out.took_us, LIMIT_US);
}

TEST(Stop, WithAmpleTimeTheAnswersAndTheRosterAreWaitedFor)
{
	Walk out = walk({0, LIMIT_US, 3000 * MS, 0}, 30000 * MS);

	EXPECT_GE(out.goodbye_us, SERVE_US + STOP_ACKS_US);
	EXPECT_GE(out.closed_us, out.goodbye_us + 3000 * MS);
	EXPECT_EQ(STOP_END, out.last());
}

RC_GTEST_PROP(Stop, EndsWithinItsLimitAndCutsOnlyWork, ())
{
	auto any_us = [] { return *rc::gen::inRange<uint64_t>(0, 70) * TICK_US; };
	Waits waits = {any_us(), any_us(), any_us(), any_us()};
	Walk out = walk(waits);

	RC_ASSERT(out.took_us <= LIMIT_US);
	RC_ASSERT((out.last() == STOP_CUT_OFF) == (waits.work_us > LIMIT_US));
	if (waits.work_us + 300 * MS <= LIMIT_US)
		RC_ASSERT(out.actions == WHOLE);
}
