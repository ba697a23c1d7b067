// An entry must not stay with a slow near server because it has measured no other server.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

extern "C" {
#include "fescuemill/decide/choice.h"
}

RC_GTEST_PROP(ChoiceNear, OneCallAtATimeLeavesASlowServer, ())
{
	const choice_member members[] = {{{1, 1}, 0, 6, DISTANCE_SAME_DOMAIN, true, 0, false},
					 {{2, 1}, 1, 6, DISTANCE_SAME_REGION, true, 0, false}};
	const choice_query query = {};
	uint32_t slow_us = uint32_t(*rc::gen::inRange(40000, 400000));
	uint32_t to_slow = 0;
	uint64_t now_us = 1;
	struct choice *choice;
	choice_settings settings;
	struct random rng;
	error err;

	choice_default_settings(&settings);
	RC_ASSERT(choice_create(&choice, &settings, &err) == 0);
	RC_ASSERT(choice_set_members(choice, members, 2, &err) == 0);
	random_seed(&rng, *rc::gen::arbitrary<uint64_t>());
	for (int i = 0; i < 100; i++) {
		choice_result result = {CHOICE_RESULT_ANSWERED,
					0,
					true,
					{0, 6, 0, 0, 0, 2, 0, 0, false, 0},
					0,
					0,
					0,
					0};
		choice_selection picked;

		RC_ASSERT(choice_pick(choice, &query, &rng, now_us, &picked));
		to_slow += picked.gate.node_id == 1;
		choice_record_sent(choice, picked.gate.node_id, now_us);
		result.server_us = picked.gate.node_id == 1 ? slow_us : 2000;
		result.elapsed_us = result.server_us + (picked.gate.node_id == 1 ? 300 : 3500);
		now_us += result.elapsed_us;
		choice_record_result(choice, picked.gate.node_id, &result, now_us);
	}
	choice_destroy(choice);
	RC_ASSERT(to_slow <= 50U);
}
