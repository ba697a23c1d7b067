// Choice of a gate: what a lack of room and a noisy host say of a gate.
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

	// A gate in this failure domain, and one in the other region.
	void join(bool has_far)
	{
		std::vector<choice_member> members = {{{NEAR, 1}, 0, SLOTS, DISTANCE_DOMAIN, true}};

		if (has_far)
			members.push_back({{FAR, 1}, 9, SLOTS, DISTANCE_OTHER_REGION, true});
		ASSERT_EQ(choice_set_members(choice, members.data(), (uint32_t)members.size(),
					     nullptr),
			  0);
	}

	uint64_t pick()
	{
		choice_query query = {};
		node_life life = {};

		EXPECT_TRUE(choice_pick(choice, &query, &rng, now_us, &life));
		return life.node_id;
	}

	// An answer in the usual time, or a refusal, with the load that the gate tells.
	void end(uint64_t node_id, choice_result_kind kind, uint32_t in_use, uint32_t queued,
		 uint32_t pace_percent)
	{
		choice_result result = {};

		result.kind = kind;
		result.has_load = true;
		result.load = {in_use, SLOTS, queued, SERVICE_US, 0, BACKEND_READY, pace_percent};
		result.server_us = kind == CHOICE_RESULT_ANSWERED ? SERVICE_US : 0;
		result.elapsed_us = result.server_us + (node_id == NEAR ? 300 : 17000);
		choice_sent(choice, node_id, now_us);
		choice_done(choice, node_id, &result, now_us);
	}

	// Both gates have answered as usual and are idle.
	void settle()
	{
		join(true);
		for (int i = 0; i < 50; i++) {
			end(NEAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
			end(FAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
		}
	}
};

} // namespace

TEST_F(Choice, AGateThatHadNoRoomForAWhileIsNoFailingGate)
{
	settle();
	for (int i = 0; i < 50; i++)
		end(NEAR, CHOICE_RESULT_NO_ROOM, SLOTS, 0, 100);
	end(NEAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
	EXPECT_EQ(pick(), NEAR);
}

// A service that is busy everywhere: a short wait here is over before the other region is reached.
TEST_F(Choice, AFullGateNearbyBeatsAnIdleOneFarAwayWhileItsQueueIsShort)
{
	settle();
	end(NEAR, CHOICE_RESULT_NO_ROOM, SLOTS, 0, 100);
	EXPECT_EQ(pick(), NEAR);
	end(NEAR, CHOICE_RESULT_NO_ROOM, SLOTS, 10, 100);
	EXPECT_EQ(pick(), FAR);
}

// A noisy spell makes a call of 100 ms four times longer, but the gate has it wait for the end.
TEST_F(Choice, ANoisyHostCostsNoMoreThanTheRestOfItsSpell)
{
	settle();
	end(FAR, CHOICE_RESULT_ANSWERED, SLOTS, 3 * SLOTS, 100);
	end(NEAR, CHOICE_RESULT_NO_ROOM, 0, 0, 500);
	EXPECT_EQ(pick(), NEAR);
	end(FAR, CHOICE_RESULT_ANSWERED, 0, 0, 100);
	EXPECT_EQ(pick(), FAR);
}

// A flood at all gates: those that told their load are full, and nothing is known of the nearest.
TEST_F(Choice, AGateOfWhichNothingIsKnownIsTakenToBeAsFullAsTheOthers)
{
	settle();
	now_us += 10000000;
	for (int i = 0; i < 30; i++)
		end(FAR, CHOICE_RESULT_NO_ROOM, SLOTS, 3 * SLOTS, 100);
	end(FAR, CHOICE_RESULT_NO_ROOM, SLOTS, 0, 100);
	EXPECT_EQ(pick(), FAR);
}
