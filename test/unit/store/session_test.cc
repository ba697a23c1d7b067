// Unit tests of the platform session: choice of the next call, back-off, call budget, refresh.
#include <gtest/gtest.h>
#include <set>

extern "C" {
#include "fescuemill/chart/chart.h"
#include "fescuemill/store/session.h"
}

static const uint64_t second_us = 1000000;
static const size_t platform_reads_per_s = 2000;

class Session : public testing::Test
{
      protected:
	void SetUp() override
	{
		session_limits limits = {200000, 30 * second_us, 60, 25000};

		ASSERT_EQ(0, charts_load(nullptr));
		session_init(&session, &limits, 1, now);
		session_set_enabled(&session, true);
	}

	session_action next()
	{
		return session_next(&session, now);
	}

	struct session session;
	uint64_t now = 100 * second_us;
};

TEST_F(Session, ListsFirstThenWatchesFromTheLatestVersion)
{
	EXPECT_EQ(SESSION_DO_LIST, next().type);
	EXPECT_EQ(SESSION_DO_NOTHING, next().type);
	session_succeeded(&session, 42);
	session_action action = next();

	EXPECT_EQ(SESSION_DO_WATCH, action.type);
	EXPECT_EQ(42U, action.after);
	session_succeeded(&session, 50);
	EXPECT_EQ(50U, next().after);
}

TEST_F(Session, DisabledSessionMakesNoCall)
{
	session_set_enabled(&session, false);
	EXPECT_EQ(SESSION_DO_NOTHING, next().type);
	EXPECT_FALSE(session.in_call);
	now += 3600 * second_us;
	EXPECT_EQ(SESSION_DO_NOTHING, next().type);
	EXPECT_EQ(PLATFORM_SESSION_UNKNOWN, session.state);
}

TEST_F(Session, BackOffGrowsToItsMaximumWithJitter)
{
	uint64_t last_wait = 0;

	for (int i = 0; i < 12; i++) {
		session_action action = next();

		while (action.type == SESSION_DO_WAIT) {
			now = action.wait_until_us;
			action = next();
		}
		session_failed(&session, now);
		last_wait = session.not_before_us - now;
		EXPECT_GE(last_wait, std::min<uint64_t>(100000ULL << i, 15 * second_us));
		EXPECT_LE(last_wait, 30 * second_us);
	}
	EXPECT_GE(last_wait, 15 * second_us);
}

TEST_F(Session, WatchesFromTheLastVersionAfterAnOutage)
{
	next();
	session_succeeded(&session, 42);
	for (int i = 0; i < 20; i++) {
		now += 60 * second_us;
		session_action action = next();

		EXPECT_EQ(SESSION_DO_WATCH, action.type);
		EXPECT_EQ(42U, action.after);
		session_failed(&session, now);
	}
}

TEST_F(Session, FailedListIsRepeated)
{
	next();
	session_failed(&session, now);
	now += 60 * second_us;
	EXPECT_EQ(SESSION_DO_LIST, next().type);
}

TEST_F(Session, StoreWhoseVersionDecreasedIsListedAgain)
{
	next();
	session_succeeded(&session, 42);
	next();
	session_succeeded(&session, 3);
	EXPECT_EQ(SESSION_DO_LIST, next().type);
	session_succeeded(&session, 3);
	EXPECT_EQ(3U, next().after);
}

TEST_F(Session, WatchAfterAFailedOneStartsFromTheSameVersion)
{
	next();
	session_succeeded(&session, 42);
	next();
	session_failed(&session, now);
	now += 60 * second_us;
	session_action action = next();

	EXPECT_EQ(SESSION_DO_WATCH, action.type);
	EXPECT_EQ(42U, action.after);
}

TEST_F(Session, ImmediateAnswersStayWithinTheCallBudget)
{
	uint64_t end = now + 60 * second_us;
	int calls = 0;

	while (now < end) {
		session_action action = next();

		if (action.type == SESSION_DO_WAIT) {
			EXPECT_TRUE(action.over_budget);
			now = action.wait_until_us;
			continue;
		}
		calls++;
		session_succeeded(&session, 42);
	}
	EXPECT_LE(calls, 60 + 4 + 1);
	EXPECT_GE(calls, 60);
}

TEST_F(Session, RefreshDoesNotWaitForTheEndOfTheBackOff)
{
	next();
	session_succeeded(&session, 42);
	EXPECT_EQ(25000U, next().wait_ms);
	session_failed(&session, now);
	EXPECT_EQ(SESSION_DO_WAIT, next().type);
	session_refresh(&session);
	session_action action = next();

	EXPECT_EQ(SESSION_DO_WATCH, action.type);
	EXPECT_EQ(42U, action.after);
	EXPECT_EQ(0U, action.wait_ms);
	session_succeeded(&session, 43);
	EXPECT_EQ(25000U, next().wait_ms);
}

// The session moves through the states of charts/platform_session.json.
TEST_F(Session, StateFollowsTheChartThroughAnOutage)
{
	auto expect_state = [&](platform_session_state state) { EXPECT_EQ(state, session.state); };

	expect_state(PLATFORM_SESSION_UNKNOWN);
	next();
	session_failed(&session, now); // the platform is down
	expect_state(PLATFORM_SESSION_BACKING_OFF);
	session_action action = next();
	EXPECT_EQ(SESSION_DO_WAIT, action.type);
	expect_state(PLATFORM_SESSION_BACKING_OFF);
	now = action.wait_until_us;
	EXPECT_EQ(SESSION_DO_LIST, next().type);
	expect_state(PLATFORM_SESSION_UNKNOWN);
	session_succeeded(&session, 42);
	expect_state(PLATFORM_SESSION_CURRENT);
	EXPECT_EQ(25000U, next().wait_ms);
	now += 27 * second_us;
	session_failed(&session, now); // a watch without an answer
	expect_state(PLATFORM_SESSION_BACKING_OFF);
	now += 60 * second_us;
	action = next();
	// The platform may not hold this watch, so that a second dead connection shows at once.
	EXPECT_EQ(SESSION_DO_WATCH, action.type);
	EXPECT_EQ(0U, action.wait_ms);
	EXPECT_EQ(42U, action.after);
	expect_state(PLATFORM_SESSION_UNKNOWN);
	session_succeeded(&session, 43);
	expect_state(PLATFORM_SESSION_CURRENT);
	session_refresh(&session); // the process was paused
	expect_state(PLATFORM_SESSION_UNKNOWN);
	next();
	session_succeeded(&session, 44);
	next();
	session_succeeded(&session, 3); // the store was replaced
	expect_state(PLATFORM_SESSION_UNKNOWN);
	EXPECT_EQ(SESSION_DO_LIST, next().type);
}

TEST_F(Session, PostponedWatchIsMadeLaterFromTheSameVersion)
{
	next();
	session_succeeded(&session, 42);
	next();
	session_postpone(&session, now);
	EXPECT_EQ(PLATFORM_SESSION_CURRENT, session.state);
	EXPECT_EQ(SESSION_DO_WAIT, next().type);
	now += 60 * second_us;
	session_action action = next();

	EXPECT_EQ(SESSION_DO_WATCH, action.type);
	EXPECT_EQ(42U, action.after);
	EXPECT_EQ(25000U, action.wait_ms);
}

TEST_F(Session, RefreshDoesNotWaitForTheRunningCall)
{
	next();
	session_refresh(&session);
	EXPECT_EQ(SESSION_DO_LIST, next().type);
}

TEST(SessionLimits, CallsOfADomainAreDividedAmongNodesAndSessions)
{
	EXPECT_EQ(100U, session_limits_for(600, 2, 25000).calls_per_minute);
	EXPECT_EQ(1U, session_limits_for(60, 183, 25000).calls_per_minute);
}

// Guards against a thundering herd: after an outage the first calls of many sessions are spread
// over the back-off.
TEST(SessionFleet, FirstCallsAfterAnOutageAreSpread)
{
	const int sessions = 3100;
	std::multiset<uint64_t> returns;

	ASSERT_EQ(0, charts_load(nullptr));
	for (int i = 0; i < sessions; i++) {
		session_limits limits = session_limits_for(600, 2, 25000);
		struct session s;
		uint64_t now = second_us;

		session_init(&s, &limits, (uint64_t)i + 1, now);
		session_set_enabled(&s, true);
		while (now < 600 * second_us) {
			session_action action = session_next(&s, now);

			if (action.type == SESSION_DO_WAIT)
				now = action.wait_until_us;
			else
				session_failed(&s, now);
		}
		returns.insert(now);
	}
	size_t worst = 0;

	for (uint64_t at : returns)
		worst = std::max(worst, (size_t)std::distance(returns.lower_bound(at),
							      returns.lower_bound(at + second_us)));
	RecordProperty("worst_second", (int)worst);
	// Even with a session on every node, the platform's limit of reads per second holds.
	EXPECT_LE(worst, platform_reads_per_s);
}

TEST_F(Session, ListsAgainWithinASecondAfterTheHistoryIsLost)
{
	next();
	session_succeeded(&session, 42);
	EXPECT_EQ(SESSION_DO_WATCH, next().type);
	session_history_lost(&session, now);
	now += second_us;
	session_action action = next();
	EXPECT_EQ(SESSION_DO_LIST, action.type);
	EXPECT_EQ(0u, action.after);
	session_succeeded(&session, 50);
	action = next();
	EXPECT_EQ(SESSION_DO_WATCH, action.type);
	EXPECT_EQ(50u, action.after);
}
