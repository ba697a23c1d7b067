// What leaves its failure domain under changing load: the choice with spillover beside the choice
// without, on the same arrivals. Each test is named for its load.
#include "property/leaving_loop.h"

using namespace leaving_loop;

namespace
{
constexpr uint64_t SEEDS = 8;

struct Pair {
	Outcome before, after;
};

// Plays a scenario on several seeds: a single overload ends sooner or later by chance.
Pair play(const char *name, Scenario setup)
{
	Pair pair;

	for (setup.seed = 1; setup.seed <= SEEDS; setup.seed++) {
		pair.before.add(Loop(setup, false).run());
		pair.after.add(Loop(setup, true).run());
	}
	pair.before.swing /= SEEDS;
	pair.after.swing /= SEEDS;

	printf("%-28s %-10s %8s %8s %8s %9s %8s %7s\n", name, "choice", "met", "gap", "left",
	       "far_kib", "refused", "swing");
	for (const Outcome *out : {&pair.before, &pair.after})
		printf("%-28s %-10s %7.2f%% %7.2f%% %7.2f%% %9lu %8lu %7.3f\n", "",
		       out == &pair.before ? "distance" : "spillover", 100 * out->met_share(),
		       100 * out->domain_gap(), 100.0 * double(out->left) / double(out->calls),
		       (unsigned long)(out->crossed_bytes / 1024), (unsigned long)out->refused,
		       out->swing);
	return pair;
}

Scenario scenario(std::function<double(uint32_t, uint64_t)> calls_per_s)
{
	Scenario setup;

	setup.calls_per_s = calls_per_s;
	return setup;
}

// A deployment may lose this much of its score to the change.
constexpr double MET_SLACK = 0.03;
// Callers of the most crowded failure domain may be served this much less often than the others.
constexpr double DOMAIN_GAP = 0.05;
} // namespace

// Guards against traffic that leaves while the own failure domain serves its callers in time.
TEST(Leaving, EvenLoadWithRoomStays)
{
	Pair pair = play("even, 60%", scenario([](uint32_t, uint64_t) { return 144; }));

	EXPECT_GE(pair.after.met_share(), pair.before.met_share() - MET_SLACK);
	EXPECT_LE(pair.after.left, pair.before.left);
	EXPECT_LE(pair.after.crossed_bytes, pair.before.crossed_bytes);
}

// Guards against callers that wait in a crowded failure domain beside idle ones.
TEST(Leaving, CallersThatMoveToAnotherDomainWithinASecond)
{
	Pair pair = play("moving callers", scenario([](uint32_t domain, uint64_t now) {
				 return domain == now / 2000000 % DOMAINS ? 420 : 70;
			 }));

	EXPECT_GE(pair.after.met_share(), pair.before.met_share() - MET_SLACK);
	EXPECT_LE(pair.after.domain_gap(), DOMAIN_GAP);
	EXPECT_LE(pair.after.refused, pair.before.refused);
}

// Guards against shares that follow a wave too late and then swing.
TEST(Leaving, WavesOutOfPhase)
{
	Pair pair =
		play("waves out of phase", scenario([](uint32_t domain, uint64_t now) {
			     return 170 + 110 * std::sin(double(now) / 3e5 + 1.57 * double(domain));
		     }));

	EXPECT_GE(pair.after.met_share(), pair.before.met_share() - MET_SLACK);
	EXPECT_LE(pair.after.crossed_bytes, pair.before.crossed_bytes);
	EXPECT_LE(pair.after.swing, pair.before.swing + 0.01);
}

// Guards against a failure domain that keeps the work of the servers it has lost.
TEST(Leaving, ADomainThatLosesHalfOfItsServers)
{
	Scenario setup = scenario([](uint32_t, uint64_t) { return 150; });
	Pair pair;

	setup.gone = [](uint32_t domain, uint64_t now) {
		return domain == 0 && now > 2000000 && now < 6000000 ? 2 : 0;
	};
	pair = play("half of a domain gone", setup);
	EXPECT_GE(pair.after.met_share(), pair.before.met_share() - MET_SLACK);
	EXPECT_LE(pair.after.domain_gap(), DOMAIN_GAP);
}

// Guards against calls that are sent from one full failure domain to the next.
TEST(Leaving, AllDomainsFull)
{
	Pair pair = play("all full", scenario([](uint32_t, uint64_t now) {
				 return now > 1000000 && now < 4000000 ? 330 : 100;
			 }));

	EXPECT_GE(pair.after.met_share(), pair.before.met_share() - MET_SLACK);
	EXPECT_LE(pair.after.refused, pair.before.refused);
	EXPECT_LE(pair.after.crossed_bytes, pair.before.crossed_bytes);
}

// Guards against a slow link between regions that carries what the region could serve.
TEST(Leaving, OneSlowLink)
{
	Scenario setup = scenario([](uint32_t domain, uint64_t) { return domain < 2 ? 230 : 60; });
	Pair pair;

	setup.far_factor = 10;
	pair = play("slow link", setup);
	EXPECT_GE(pair.after.met_share(), pair.before.met_share() - MET_SLACK);
	EXPECT_LE(pair.after.crossed_bytes, pair.before.crossed_bytes);
}

// Guards against downloads that fill the narrow link between regions in a burst.
TEST(Leaving, ABurstOfDownloadsStaysInItsRegion)
{
	Scenario setup =
		scenario([](uint32_t domain, uint64_t) { return domain == 0 ? 300 : 100; });
	Pair pair;

	setup.objective_us = 2000000;
	setup.answer_bytes = 90000;
	pair = play("downloads", setup);
	EXPECT_GE(pair.after.met_share(), pair.before.met_share() - MET_SLACK);
	EXPECT_LE(pair.after.crossed_bytes, pair.before.crossed_bytes / 2);
}
