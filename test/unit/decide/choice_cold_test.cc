// Selection of a gate whose backend server is cold: its room is used and not pressed against.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/choice.h"
#include "fescuemill/fleet/member_defs.h"
}

namespace
{
constexpr uint64_t COLD = 1;
constexpr uint64_t WARM = 2;
constexpr uint32_t SLOTS = 7;
constexpr uint32_t SERVICE_US = 20000;

class ChoiceCold : public testing::Test
{
      protected:
	struct choice *choice = nullptr;
	struct random rng = {};
	uint64_t now_us = USEC_PER_SEC;

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

	// The cold gate is in the own failure domain, the other one farther away.
	void set_gates(bool has_other)
	{
		std::vector<choice_member> members = {
			{{COLD, 1}, 0, SLOTS, DISTANCE_SAME_DOMAIN, true, 0, false}};

		if (has_other)
			members.push_back(
				{{WARM, 1}, 9, SLOTS, DISTANCE_OTHER_REGION, true, 0, false});
		ASSERT_EQ(choice_set_members(choice, members.data(), (uint32_t)members.size(),
					     nullptr),
			  0);
	}

	uint64_t pick()
	{
		choice_query query = {};
		struct choice_selection picked = {};

		EXPECT_TRUE(choice_pick(choice, &query, &rng, now_us, &picked));
		return picked.gate.node_id;
	}

	static struct gate_load load(bool is_cold, uint16_t room)
	{
		return {0,
			SLOTS,
			0,
			SERVICE_US,
			room || !is_cold ? 0U : 50000U,
			BACKEND_READY,
			100,
			is_cold ? 20000U : 0U,
			is_cold,
			room};
	}

	void answer(uint64_t node_id, choice_result_kind kind, const struct gate_load &reported)
	{
		choice_result result = {};

		result.kind = kind;
		result.has_load = true;
		result.load = reported;
		result.server_us = kind == CHOICE_RESULT_ANSWERED ? SERVICE_US : 0;
		result.elapsed_us = result.server_us + (node_id == COLD ? 300 : 17000);
		choice_record_result(choice, node_id, &result, now_us);
	}

	void settle()
	{
		set_gates(true);
		for (int i = 0; i < 20; i++) {
			for (uint64_t node_id : {COLD, WARM}) {
				choice_record_sent(choice, node_id, now_us);
				answer(node_id, CHOICE_RESULT_ANSWERED, load(false, 0));
			}
		}
	}
};
} // namespace

// Guards against entries that send more than the room which a cold gate has reported.
TEST_F(ChoiceCold, RoomOfAColdGateIsUsedAndNotMore)
{
	struct gate_load reported = load(true, 3);

	settle();
	choice_update_load(choice, COLD, &reported, now_us);
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(COLD, pick());
		choice_record_sent(choice, COLD, now_us);
	}
	EXPECT_EQ(WARM, pick());
}

// Guards against entries that ask a full cold gate with each call: the more often it refuses, the
// longer they wait before they try it again.
TEST_F(ChoiceCold, FullColdGateIsAskedLessOftenTheMoreItRefuses)
{
	int asked = 0;

	settle();
	for (int i = 0; i < 10000; i++) {
		uint64_t node_id = pick();

		choice_record_sent(choice, node_id, now_us);
		if (node_id == COLD) {
			asked++;
			answer(COLD, CHOICE_RESULT_NO_FREE_SLOT, load(true, 0));
		} else {
			answer(WARM, CHOICE_RESULT_ANSWERED, load(false, 0));
		}
		now_us += 1000;
	}
	EXPECT_GE(asked, 5);
	EXPECT_LE(asked, 20);
}

// Guards against a cold gate that is avoided for its refusals after it has room again.
TEST_F(ChoiceCold, ColdGateIsChosenAgainAsSoonAsItReportsRoom)
{
	struct gate_load reported = load(true, 2);

	settle();
	for (int i = 0; i < 8; i++) {
		choice_record_sent(choice, COLD, now_us);
		answer(COLD, CHOICE_RESULT_NO_FREE_SLOT, load(true, 0));
	}
	EXPECT_EQ(WARM, pick());
	choice_update_load(choice, COLD, &reported, now_us);
	EXPECT_EQ(COLD, pick());
}

// Guards against calls without a gate when all are cold and full: the usual rules decide then.
TEST_F(ChoiceCold, FullColdGateIsChosenIfThereIsNoOther)
{
	struct gate_load reported = load(true, 0);

	set_gates(false);
	choice_update_load(choice, COLD, &reported, now_us);
	EXPECT_EQ(COLD, pick());
}
