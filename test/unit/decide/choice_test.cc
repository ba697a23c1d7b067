// Selection of a gate: the effect of full gates, slowed hosts and missing load reports.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "fescuemill/decide/choice.h"
#include "fescuemill/fleet/member_defs.h"
}

namespace
{

constexpr uint64_t NEAR = 1;
constexpr uint64_t FAR = 2;
constexpr uint32_t SERVICE_US = 100000;
constexpr uint32_t SLOTS = 7;

class Choice : public testing::Test
{
      protected:
	struct choice *choice = nullptr;
	struct random rng = {};
	uint64_t now_us = 1000000;

	void SetUp() override
	{
		choice_settings settings;

		choice_default_settings(&settings);
		settings.service_time_us = SERVICE_US;
		ASSERT_EQ(choice_create(&choice, &settings, nullptr), 0);
		random_seed(&rng, 7);
	}

	void TearDown() override
	{
		choice_destroy(choice);
	}

	// Sets a gate in the same failure domain and, if has_far, one in another region.
	void set_gates(bool has_far)
	{
		std::vector<choice_member> members = {
			{{NEAR, 1}, 0, SLOTS, DISTANCE_SAME_DOMAIN, true, 0, false}};

		if (has_far)
			members.push_back(
				{{FAR, 1}, 9, SLOTS, DISTANCE_OTHER_REGION, true, 0, false});
		ASSERT_EQ(choice_set_members(choice, members.data(), (uint32_t)members.size(),
					     nullptr),
			  0);
	}

	choice_selection pick_with_limit()
	{
		choice_query query = {};
		struct choice_selection picked = {};

		EXPECT_TRUE(choice_pick(choice, &query, &rng, now_us, &picked));
		return picked;
	}

	uint64_t pick()
	{
		return pick_with_limit().gate.node_id;
	}

	// Sends an attempt and records its result, an answer in normal time or a refusal, with a
	// load report of the gate.
	void run_attempt(uint64_t node_id, choice_result_kind kind, uint32_t in_use,
			 uint32_t queued, uint32_t slowdown_percent)
	{
		choice_result result = {};

		result.kind = kind;
		result.has_load = true;
		result.load = {in_use,		 SLOTS, queued, SERVICE_US, 0, BACKEND_READY,
			       slowdown_percent, 0,	false,	0};
		result.server_us = kind == CHOICE_RESULT_ANSWERED ? SERVICE_US : 0;
		result.elapsed_us = result.server_us + (node_id == NEAR ? 300 : 17000);
		choice_record_sent(choice, node_id, now_us);
		choice_record_result(choice, node_id, &result, now_us);
	}

	// Runs an attempt whose answer arrives this much later than the round trip of its distance.
	void run_delayed_attempt(uint64_t node_id, uint32_t delay_us)
	{
		choice_result result = {};

		result.kind = CHOICE_RESULT_ANSWERED;
		result.has_load = true;
		result.load = {0, SLOTS, 0, SERVICE_US, 0, BACKEND_READY, 100, 0, false, 0};
		result.server_us = SERVICE_US;
		result.elapsed_us = SERVICE_US + delay_us;
		choice_record_sent(choice, node_id, now_us);
		choice_record_result(choice, node_id, &result, now_us);
	}

	// Sets two gates that have answered in normal time and are idle.
	void settle()
	{
		set_gates(true);
		for (int i = 0; i < 50; i++) {
			run_attempt(NEAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
			run_attempt(FAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
		}
	}
};

} // namespace

TEST_F(Choice, RefusalsOfAFullGateDoNotCountAsErrors)
{
	settle();
	for (int i = 0; i < 50; i++)
		run_attempt(NEAR, CHOICE_RESULT_NO_FREE_SLOT, SLOTS, 0, 100);
	run_attempt(NEAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
	EXPECT_EQ(pick(), NEAR);
}

// A short queue at the near gate takes less time than the distance to the other region costs.
TEST_F(Choice, NearGateWithShortQueueIsPreferredToIdleGateInOtherRegion)
{
	settle();
	run_attempt(NEAR, CHOICE_RESULT_NO_FREE_SLOT, SLOTS, 0, 100);
	EXPECT_EQ(pick(), NEAR);
	run_attempt(NEAR, CHOICE_RESULT_NO_FREE_SLOT, SLOTS, 10, 100);
	EXPECT_EQ(pick(), FAR);
}

// A slowdown to 500% would add 400 ms to a call of 100 ms, but the gate holds the call until the
// slowdown ends, which costs less.
TEST_F(Choice, CostOfASlowHostIsLimitedToTheExpectedSlowdownDuration)
{
	settle();
	run_attempt(FAR, CHOICE_RESULT_ANSWERED, SLOTS, 3 * SLOTS, 100);
	run_attempt(NEAR, CHOICE_RESULT_NO_FREE_SLOT, 0, 0, 500);
	EXPECT_EQ(pick(), NEAR);
	run_attempt(FAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
	EXPECT_EQ(pick(), FAR);
}

// An overload of all gates: those that reported their load are full, and the load report of the
// nearest gate has expired.
TEST_F(Choice, GateWithUnknownLoadIsAssumedToBeAsFullAsTheOthers)
{
	settle();
	now_us += 10000000;
	for (int i = 0; i < 30; i++)
		run_attempt(FAR, CHOICE_RESULT_NO_FREE_SLOT, SLOTS, 3 * SLOTS, 100);
	run_attempt(FAR, CHOICE_RESULT_NO_FREE_SLOT, SLOTS, 0, 100);
	EXPECT_EQ(pick(), FAR);
}

// The connection to the near gate goes silent while a few calls are on their way. Their answers
// come once the connection was replaced, and say nothing of the calls after them.
TEST_F(Choice, GateIsUsedAgainAfterItsConnectionWasSilentOnce)
{
	settle();
	for (int i = 0; i < 6; i++)
		run_delayed_attempt(NEAR, 1200000);
	now_us += 100000;
	EXPECT_EQ(pick(), NEAR);
}

// The path to the near gate is slow for some seconds. No call goes there, so only time can tell
// that it has recovered.
TEST_F(Choice, GateIsUsedAgainSecondsAfterItsRoundTripsWereLong)
{
	settle();
	for (int i = 0; i < 60; i++)
		run_delayed_attempt(NEAR, 300000);
	EXPECT_EQ(pick(), FAR);
	now_us += 5000000;
	EXPECT_EQ(pick(), NEAR);
}

// A fleet that starts: no entry has a result of any gate. If each entry tried all gates of the
// other region, the connections alone would cost more than the calls.
TEST_F(Choice, FewGatesOfAnotherRegionAreTriedWhileTheNearOnesServe)
{
	std::vector<choice_member> members = {
		{{NEAR, 1}, 0, SLOTS, DISTANCE_SAME_DOMAIN, true, 0, false}};
	int far = 0;

	for (uint64_t id = FAR; id < FAR + 8; id++)
		members.push_back({{id, 1}, 9, SLOTS, DISTANCE_OTHER_REGION, true, 0, false});
	ASSERT_EQ(choice_set_members(choice, members.data(), (uint32_t)members.size(), nullptr), 0);
	for (int i = 0; i < 200; i++) {
		uint64_t picked = pick();

		far += picked != NEAR;
		run_attempt(picked, CHOICE_RESULT_ANSWERED, 0, 0, 100);
		now_us += SERVICE_US;
	}
	EXPECT_LE(far, 2);
}

// Idle gates: the next one is as good, so a call that cannot start at once is to be refused.
TEST_F(Choice, CallMayNotWaitWhileAnEquallyNearGateIsExpectedToBeFree)
{
	std::vector<choice_member> members = {
		{{NEAR, 1}, 0, SLOTS, DISTANCE_SAME_DOMAIN, true, 0, false},
		{{NEAR + 9, 1}, 0, SLOTS, DISTANCE_SAME_DOMAIN, true, 0, false}};

	ASSERT_EQ(choice_set_members(choice, members.data(), 2, nullptr), 0);
	for (int i = 0; i < 50; i++) {
		run_delayed_attempt(NEAR, 300);
		run_delayed_attempt(NEAR + 9, 300);
	}
	EXPECT_LT(pick_with_limit().wait_max_us, 1000U);
}

// An overload: every gate has a queue, so asking them in turn only moves the call about. It may
// wait about as long as it would at the next gate, the way there included.
TEST_F(Choice, CallMayWaitAsLongAsItWouldElsewhereInAnOverload)
{
	settle();
	run_attempt(NEAR, CHOICE_RESULT_ANSWERED, SLOTS, 2 * SLOTS, 100);
	run_attempt(FAR, CHOICE_RESULT_ANSWERED, SLOTS, 2 * SLOTS, 100);
	choice_selection picked = pick_with_limit();
	EXPECT_EQ(picked.gate.node_id, NEAR);
	EXPECT_GT(picked.wait_max_us, 2 * SERVICE_US);
	EXPECT_LT(picked.wait_max_us, 3 * SERVICE_US);
}

TEST_F(Choice, CallMayWaitWithoutLimitIfThereIsNoOtherGate)
{
	set_gates(false);
	EXPECT_EQ(pick_with_limit().wait_max_us, UINT32_MAX);
}

// The backend server of the nearest gate was killed. Its refusals come fast, and until gossip tells
// of it, each call would be sent there first.
TEST_F(Choice, GateWithoutBackendServerIsAvoidedForAWhile)
{
	settle();
	run_attempt(NEAR, CHOICE_RESULT_NO_BACKEND, 0, 0, 100);
	EXPECT_EQ(pick(), FAR);
	now_us += CHOICE_NO_BACKEND_EXCLUSION_US - 1;
	EXPECT_EQ(pick(), FAR);
	now_us += 1;
	EXPECT_EQ(pick(), NEAR);
}
