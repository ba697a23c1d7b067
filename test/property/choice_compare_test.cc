// Compares the expected completion policy with the baseline policies, in one simulation with one
// seed, and prints the results.
#include "property/choice_loop.h"

using namespace choice_loop;

namespace
{
Outcome run(Scenario setup, choice_policy policy)
{
	setup.policy = policy;
	Outcome out = Loop(setup).run();
	print_row(policy_name(policy), out);
	return out;
}
} // namespace

TEST(ChoiceCompare, ExpectedHalvesTailLatencyWithSlowServers)
{
	Scenario setup;

	setup.slow = 4;
	print_header("one server in four slowed 10x, 8,640 calls/s, 16 entries, 16 servers");
	Outcome outs[CHOICE_POLICY_COUNT];
	for (int p = 0; p < CHOICE_POLICY_COUNT; p++)
		outs[p] = run(setup, (choice_policy)p);
	EXPECT_LE(histogram_quantile_us(&outs[CHOICE_EXPECTED_COMPLETION].latency, 0.99) * 2,
		  histogram_quantile_us(&outs[CHOICE_LEAST_IN_FLIGHT].latency, 0.99));
}

TEST(ChoiceCompare, FastFailingServerGetsAtMostItsShare)
{
	Scenario setup;

	setup.failing = 1;
	print_header("one server of 16 failing fast");
	Outcome outs[CHOICE_POLICY_COUNT];
	for (int p = 0; p < CHOICE_POLICY_COUNT; p++)
		outs[p] = run(setup, (choice_policy)p);
	EXPECT_LE(outs[CHOICE_EXPECTED_COMPLETION].to_bad * setup.servers,
		  outs[CHOICE_EXPECTED_COMPLETION].calls);
}

TEST(ChoiceCompare, ExpectedMatchesRandomWithHealthyServers)
{
	Scenario setup;

	print_header("no bad server");
	Outcome outs[CHOICE_POLICY_COUNT];
	for (int p = 0; p < CHOICE_POLICY_COUNT; p++)
		outs[p] = run(setup, (choice_policy)p);
	// A bucket of the histogram is 1/16 wide, so equal tails may differ by one bucket.
	EXPECT_LE(histogram_quantile_us(&outs[CHOICE_EXPECTED_COMPLETION].latency, 0.99) * 16,
		  histogram_quantile_us(&outs[CHOICE_RANDOM].latency, 0.99) * 17);
}

TEST(ChoiceCompare, PrintsEffectOfCandidatesAndAges)
{
	Scenario setup;

	setup.slow = 4;
	print_header("candidates, one server in four slowed 10x");
	for (uint32_t candidates : {1, 2, 3, 4, 5, 6, 8, 16}) {
		setup.candidates = candidates;
		print_row(std::to_string(candidates).c_str(), Loop(setup).run());
	}
	setup.candidates = 0;
	print_header("trial age in ms, one server in four slowed 10x");
	for (uint32_t age_ms : {100, 300, 1000, 3000}) {
		setup.trial_interval_us = age_ms * 1000;
		print_row(std::to_string(age_ms).c_str(), Loop(setup).run());
	}
	setup.trial_interval_us = 0;
	print_header("load age in ms, one server in four slowed 10x");
	for (uint32_t age_ms : {1, 5, 20, 50, 200}) {
		setup.load_decay_us = age_ms * 1000;
		print_row(std::to_string(age_ms).c_str(), Loop(setup).run());
	}
}
