// Properties of the selection of a gate.
#include "property/choice_loop.h"

#include <rapidcheck/gtest.h>

#include <set>

using namespace choice_loop;

namespace
{
using Members = std::vector<choice_member>;

// A gate selection with random members and a random history.
struct World {
	struct choice *made = nullptr;
	Members members;
	struct random rng;
	uint64_t now = 1;
	uint32_t per_domain;

	explicit World(choice_policy policy)
	{
		choice_settings settings;
		error err;

		choice_default_settings(&settings);
		settings.policy = policy;
		settings.gates_per_domain = *rc::gen::element(1, 2, 8, 59);
		per_domain = settings.gates_per_domain;
		settings.own_id = *rc::gen::arbitrary<uint64_t>();
		RC_ASSERT(choice_create(&made, &settings, &err) == 0);
		random_seed(&rng, *rc::gen::arbitrary<uint64_t>());
	}

	~World()
	{
		choice_destroy(made);
	}

	void set_random_members(int count, bool first_is_near = false)
	{
		members.clear();
		for (int i = 0; i < count; i++) {
			choice_member member = {};

			member.identity = {uint64_t(i) + 1, 1};
			member.domain = uint32_t(*rc::gen::inRange(0, 17));
			member.distance = member.domain == 0  ? DISTANCE_SAME_DOMAIN
					  : member.domain < 5 ? DISTANCE_SAME_REGION
							      : DISTANCE_OTHER_REGION;
			member.slots = uint32_t(*rc::gen::inRange(0, 10));
			member.usable = *rc::gen::inRange(0, 4) != 0;
			if (i == 0 && first_is_near)
				member = {member.identity,
					  0,
					  6,
					  DISTANCE_SAME_DOMAIN,
					  true,
					  0,
					  false};
			members.push_back(member);
		}
		set_members();
	}

	void set_members()
	{
		error err;

		RC_ASSERT(choice_set_members(made, members.data(), uint32_t(members.size()),
					     &err) == 0);
	}

	bool pick(const std::vector<uint64_t> &excluded, node_incarnation *identity)
	{
		choice_query query = {excluded.data(),
				      uint32_t(excluded.size()),
				      uint8_t(random_below(&rng, 20)),
				      0,
				      nullptr,
				      0};

		struct choice_selection picked = {};
		bool is_picked = choice_pick(made, &query, &rng, now, &picked);

		*identity = picked.gate;
		return is_picked;
	}

	void finish(uint64_t node_id)
	{
		choice_result result = {};

		result.kind = choice_result_kind(random_below(&rng, CHOICE_RESULT_CANCELLED + 1));
		result.class_index = uint8_t(random_below(&rng, 20));
		result.has_load = random_below(&rng, 2);
		result.load = {random_below(&rng, 9),
			       random_below(&rng, 9),
			       random_below(&rng, 50),
			       random_below(&rng, 90000),
			       random_below(&rng, 90000),
			       2,
			       0,
			       0,
			       false,
			       0};
		result.elapsed_us = random_below(&rng, 200000);
		result.server_us = random_below(&rng, 100000);
		choice_record_result(made, node_id, &result, now);
	}
};
} // namespace

RC_GTEST_PROP(Choice, ExcludedAndUnusableAreNeverChosen, ())
{
	World world(choice_policy(*rc::gen::inRange<int>(0, CHOICE_POLICY_COUNT)));

	for (int round = 0; round < 3; round++) {
		world.set_random_members(*rc::gen::inRange(1, 60));
		for (int i = 0; i < 200; i++) {
			std::vector<uint64_t> excluded;
			node_incarnation identity;

			for (uint32_t n = random_below(&world.rng, 9); n > 0; n--)
				excluded.push_back(random_below(&world.rng, 60) + 1);
			world.now += random_below(&world.rng, 20000);
			if (!world.pick(excluded, &identity))
				continue;
			RC_ASSERT(world.members[identity.node_id - 1].usable);
			for (uint64_t id : excluded)
				RC_ASSERT(id != identity.node_id);
			choice_record_sent(world.made, identity.node_id, world.now);
			world.finish(random_below(&world.rng, 3) ? identity.node_id : 77777);
		}
	}
}

RC_GTEST_PROP(Choice, TheOnlyGateLeftIsChosen, ())
{
	World world(choice_policy(*rc::gen::inRange<int>(0, CHOICE_POLICY_COUNT)));
	uint64_t left = uint64_t(*rc::gen::inRange(1, 60));
	std::vector<uint64_t> excluded;
	node_incarnation identity;

	world.set_random_members(59);
	for (uint64_t id = 1; id < 60; id++) {
		if (id != left)
			excluded.push_back(id);
	}
	RC_PRE(choice_gate_count(world.made) == 59U);
	RC_ASSERT(world.pick(excluded, &identity) == world.members[left - 1].usable);
}

RC_GTEST_PROP(Choice, AGateThatSaysItDrainsGetsNothingUntilItsWordIsOld, ())
{
	World world(choice_policy(*rc::gen::inRange<int>(0, CHOICE_POLICY_COUNT)));
	gate_load draining = {0, 6, 0, 5000, 0, uint8_t(*rc::gen::element(3, 4)), 0, 0, false, 0};
	gate_load ready = {0, 6, 0, 5000, 0, 2, 0, 0, false, 0};
	choice_result result = {CHOICE_RESULT_REFUSED, 0, true, draining, 500, 0, 0, 0};
	node_incarnation identity;

	world.set_random_members(*rc::gen::inRange(1, 8), true);
	RC_PRE(world.per_domain >= 8U);
	choice_record_sent(world.made, 1, world.now);
	choice_record_result(world.made, 1, &result, world.now);
	for (int i = 0; i < 100; i++) {
		world.now += random_below(&world.rng, CHOICE_DRAINING_EXCLUSION_US / 100);
		// An update from a member list that does not show the draining yet changes nothing.
		if (random_below(&world.rng, 10) == 0)
			world.set_members();
		RC_ASSERT(!world.pick({}, &identity) || identity.node_id != 1);
	}
	if (*rc::gen::arbitrary<bool>())
		choice_update_load(world.made, 1, &ready, world.now);
	else
		world.now += CHOICE_DRAINING_EXCLUSION_US;
	std::vector<uint64_t> others;
	for (uint64_t id = 2; id <= world.members.size(); id++)
		others.push_back(id);
	RC_ASSERT(world.pick(others, &identity) && identity.node_id == 1);
}

RC_GTEST_PROP(Choice, StateIsKeptForABoundedSubset, ())
{
	World world(CHOICE_EXPECTED_COMPLETION);

	world.set_random_members(*rc::gen::inRange(1, 2000));
	RC_ASSERT(choice_gate_count(world.made) <= uint32_t(CHOICE_GATES_MAX));
	std::set<uint32_t> domains;
	for (const auto &member : world.members)
		domains.insert(member.domain);
	RC_ASSERT(choice_gate_count(world.made) <= world.per_domain * domains.size());
	RC_ASSERT(choice_gate_count(world.made) >= std::min<size_t>(domains.size(), 17));
}

RC_GTEST_PROP(Choice, TheRegionLinkIsNotUsedForAWaitShorterThanItsStep, ())
{
	World world(CHOICE_EXPECTED_COMPLETION);
	node_incarnation identity;

	world.set_random_members(*rc::gen::inRange(1, 60), true);
	for (const auto &member : world.members) {
		gate_load busy = {6, 6, random_below(&world.rng, 10), 5000, 0, 2, 0, 0, false, 0};

		if (member.distance != DISTANCE_OTHER_REGION)
			choice_update_load(world.made, member.identity.node_id, &busy, world.now);
	}
	for (int i = 0; i < 50; i++) {
		RC_ASSERT(world.pick({}, &identity));
		RC_ASSERT(world.members[identity.node_id - 1].distance != DISTANCE_OTHER_REGION);
	}
}

RC_GTEST_PROP(Choice, AFailFastServerAttractsNoMoreThanItsShare, ())
{
	Scenario scenario;

	scenario.entries = uint32_t(*rc::gen::inRange(1, 12));
	scenario.servers = uint32_t(*rc::gen::inRange(4, 20));
	scenario.failing = uint32_t(*rc::gen::inRange(1, 3));
	scenario.calls_per_s = *rc::gen::inRange(20, 60) * scenario.servers * 10.0;
	scenario.bad_from_us = 300000;
	scenario.bad_to_us = 800000;
	scenario.end_us = 800000;
	scenario.seed = *rc::gen::arbitrary<uint32_t>();
	Outcome out = Loop(scenario).run();
	RC_ASSERT(out.to_bad * scenario.servers <= out.calls * scenario.failing);
}

RC_GTEST_PROP(Choice, EqualSeedsGiveEqualPicks, ())
{
	Scenario scenario;

	scenario.slow = 4;
	scenario.bad_from_us = 100000;
	scenario.bad_to_us = 200000;
	scenario.end_us = 300000;
	scenario.seed = *rc::gen::arbitrary<uint32_t>();
	Outcome a = Loop(scenario).run();
	Outcome b = Loop(scenario).run();
	RC_ASSERT(a.to_bad == b.to_bad);
	RC_ASSERT(a.latency.sum_us == b.latency.sum_us);
}
