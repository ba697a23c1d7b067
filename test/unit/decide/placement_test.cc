// Placement: whether a call may go to a gate, and at the choice of a gate, which reason the caller
// is told when it may go to none.
#include <gtest/gtest.h>

#include <set>
#include <vector>

extern "C" {
#include "fescuemill/decide/choice.h"
#include "fescuemill/decide/placement.h"
#include "fescuemill/decide/retry_after.h"
}

namespace
{

const uint32_t HERE = region_id_of("here");
const uint32_t THERE = region_id_of("there");

region_set only(uint32_t region)
{
	region_set set = {};

	region_set_add(&set, region);
	return set;
}

TEST(Placement, EveryGateIsAllowedWithoutAnyReason)
{
	placement_gate gate = {};
	region_set any = {};

	gate.region = HERE;
	EXPECT_EQ(REASON_NONE, placement_decide(nullptr, &gate));
	EXPECT_EQ(REASON_NONE, placement_decide(&any, &gate));
}

TEST(Placement, ReasonThatLastsLongestIsGiven)
{
	placement_gate gate = {THERE, true, true, true, 0};
	region_set here = only(HERE);
	region_set there = only(THERE);

	EXPECT_EQ(REASON_REGION, placement_decide(&here, &gate));
	EXPECT_EQ(REASON_EVACUATED, placement_decide(&there, &gate));
	gate.is_evacuated = false;
	EXPECT_EQ(REASON_DRAINING, placement_decide(&there, &gate));
	gate.is_draining = false;
	EXPECT_EQ(REASON_COLD, placement_decide(&there, &gate));
	gate.cold_room = 1;
	EXPECT_EQ(REASON_NONE, placement_decide(&there, &gate));
	gate.is_cold = false;
	gate.cold_room = 0;
	EXPECT_EQ(REASON_NONE, placement_decide(&there, &gate));
}

TEST(Placement, ListsOfRouteAndCustomerBothBind)
{
	region_set here = only(HERE);
	region_set there = only(THERE);
	region_set out;

	placement_regions(nullptr, nullptr, &out);
	EXPECT_FALSE(out.is_limited);
	placement_regions(&here, nullptr, &out);
	EXPECT_TRUE(region_set_allows(&out, HERE));
	EXPECT_FALSE(region_set_allows(&out, THERE));
	placement_regions(nullptr, &there, &out);
	EXPECT_TRUE(region_set_allows(&out, THERE));
	EXPECT_FALSE(region_set_allows(&out, HERE));
	placement_regions(&here, &there, &out);
	EXPECT_TRUE(out.is_limited);
	EXPECT_EQ(0, out.count);
}

// Every refusal tells the caller when to come again. Where all servers are evacuated, callers that
// came back within milliseconds would only load the entries.
TEST(Placement, EachReasonHasARetryAfter)
{
	EXPECT_GE(retry_after_ms(REASON_REGION, 0, 0), 100u);
	EXPECT_GE(retry_after_ms(REASON_EVACUATED, 0, 0), 1000u);
	EXPECT_GT(retry_after_ms(REASON_COLD, 0, 0), 0u);
}

// The gates of one service at an entry in HERE.
class PlacedChoice : public testing::Test
{
      protected:
	struct choice *choice = nullptr;
	struct random rng = {};
	std::vector<choice_member> members;
	uint64_t now_us = 1000000;

	void SetUp() override
	{
		choice_settings settings;

		choice_default_settings(&settings);
		ASSERT_EQ(0, choice_create(&choice, &settings, nullptr));
		random_seed(&rng, 1);
	}

	void TearDown() override
	{
		choice_destroy(choice);
	}

	void add(uint64_t id, uint32_t region, uint32_t domain, bool usable = true,
		 bool is_evacuated = false)
	{
		uint8_t distance = region == HERE ? DISTANCE_SAME_REGION : DISTANCE_OTHER_REGION;

		members.push_back({{id, 1}, domain, 6, distance, usable, region, is_evacuated});
	}

	void apply()
	{
		ASSERT_EQ(0, choice_set_members(choice, members.data(), uint32_t(members.size()),
						nullptr));
	}

	// Returns the id of the chosen gate, or 0.
	uint64_t pick(const region_set *regions, std::vector<uint64_t> excluded = {})
	{
		choice_query query = {excluded.data(), uint32_t(excluded.size()), 0, 0, regions, 0};
		choice_selection picked = {};

		if (!choice_pick(choice, &query, &rng, now_us, &picked))
			return 0;
		return picked.gate.node_id;
	}
};

// Near gates are idle and far ones cost a round trip more: the call still goes only where it may.
TEST_F(PlacedChoice, CallLimitedToAnotherRegionNeverGoesToANearerGate)
{
	region_set there = only(THERE);

	for (uint64_t id = 1; id <= 20; id++)
		add(id, HERE, 1);
	add(100, THERE, 2);
	apply();
	for (int i = 0; i < 200; i++)
		ASSERT_EQ(100u, pick(&there));
	EXPECT_EQ(REASON_NONE, choice_placement_reason(choice, &there, now_us));
}

// The service has servers, but none where the call may be served.
TEST_F(PlacedChoice, RegionIsTheReasonWhenNoAllowedRegionHasAServer)
{
	region_set there = only(THERE);
	region_set nowhere = {};

	nowhere.is_limited = true;
	add(1, HERE, 1);
	add(2, THERE, 2, false);
	apply();
	EXPECT_EQ(0u, pick(&there));
	EXPECT_EQ(REASON_REGION, choice_placement_reason(choice, &there, now_us));
	EXPECT_EQ(0u, pick(&nowhere));
	EXPECT_EQ(REASON_REGION, choice_placement_reason(choice, &nowhere, now_us));
	EXPECT_EQ(REASON_NONE, choice_placement_reason(choice, nullptr, now_us));
}

// The only allowed gate has refused the call: that is its reason, not the region.
TEST_F(PlacedChoice, AllowedGateThatRefusedTheCallStillCountsAsAServer)
{
	region_set there = only(THERE);

	add(1, HERE, 1);
	add(2, THERE, 2);
	apply();
	EXPECT_EQ(0u, pick(&there, {2}));
	EXPECT_EQ(REASON_NONE, choice_placement_reason(choice, &there, now_us));
}

// The domain with most of the servers is evacuated: the few others get every call.
TEST_F(PlacedChoice, EvacuatedDomainWithMostServersGetsNoCall)
{
	for (uint64_t id = 1; id <= 50; id++)
		add(id, HERE, 1, true, true);
	add(100, HERE, 2);
	apply();
	for (int i = 0; i < 200; i++)
		ASSERT_EQ(100u, pick(nullptr));
	EXPECT_EQ(0u, pick(nullptr, {100}));
	EXPECT_EQ(REASON_NONE, choice_placement_reason(choice, nullptr, now_us));
}

// An entry that has not heard of the order: one gate's refusal tells it, and the call does not use
// up its attempts at the other gates of the domain. The exclusion ends by itself.
TEST_F(PlacedChoice, RefusalOfOneEvacuatedGateSparesTheOthersOfItsDomain)
{
	choice_result result = {};

	for (uint64_t id = 1; id <= 8; id++)
		add(id, HERE, 1);
	add(100, THERE, 2);
	apply();
	result.kind = CHOICE_RESULT_EVACUATED;
	choice_record_sent(choice, 3, now_us);
	choice_record_result(choice, 3, &result, now_us);
	for (int i = 0; i < 50; i++)
		ASSERT_EQ(100u, pick(nullptr));
	now_us += CHOICE_DRAINING_EXCLUSION_US;
	std::set<uint64_t> picked;
	for (int i = 0; i < 200; i++)
		picked.insert(pick(nullptr));
	EXPECT_EQ(1u, picked.count(1));
}

TEST_F(PlacedChoice, EvacuationIsTheReasonWhenNoOtherDomainHasAServer)
{
	region_set there = only(THERE);

	add(1, HERE, 1, true, true);
	add(2, HERE, 2, false);
	apply();
	EXPECT_EQ(0u, pick(nullptr));
	EXPECT_EQ(REASON_EVACUATED, choice_placement_reason(choice, nullptr, now_us));
	EXPECT_EQ(REASON_REGION, choice_placement_reason(choice, &there, now_us));
}

// More failure domains than the tracked gates allow for: the near ones filled the whole list, and a
// call limited to the farthest region found no gate although it has servers.
TEST_F(PlacedChoice, ManyNearDomainsDoNotCrowdOutTheOnlyAllowedRegion)
{
	region_set there = only(THERE);

	for (uint32_t domain = 1; domain <= 60; domain++) {
		for (uint64_t i = 0; i < 20; i++)
			add(domain * 100 + i, HERE, domain);
	}
	add(9999, THERE, 61);
	apply();
	EXPECT_EQ(9999u, pick(&there));
	EXPECT_LE(choice_gate_count(choice), uint32_t(CHOICE_GATES_MAX));
}

} // namespace
