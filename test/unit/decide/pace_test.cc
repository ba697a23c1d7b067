// Pace of a shared host: a noisy neighbour takes a quarter of the time, in spells of about 150 ms,
// and a call that starts in one takes five times as long.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/base/random.h"
#include "fescuemill/decide/pace.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kStart = 1000 * kMs;

pace used()
{
	pace out = {};
	out.is_used = true;
	return out;
}

TEST(Pace, AServerThatTellsNoneIsNotWaitedFor)
{
	pace none = {};
	EXPECT_EQ(PACE_START, pace_advise(&none, 220 * kMs, kStart));
	EXPECT_FALSE(pace_take_probe(&none, kStart));
}

TEST(Pace, AnOldFigureIsAskedForAnew)
{
	pace p = used();
	EXPECT_EQ(PACE_ASK, pace_advise(&p, 220 * kMs, kStart));
	pace_seen(&p, 100, kStart);
	EXPECT_EQ(PACE_START, pace_advise(&p, 220 * kMs, kStart + PACE_FRESH_US));
	EXPECT_EQ(PACE_ASK, pace_advise(&p, 220 * kMs, kStart + PACE_FRESH_US + 1));
}

TEST(Pace, OnlyCallsThatLoseMoreThanASpellWait)
{
	pace p = used();
	pace_seen(&p, 100, kStart - 20 * kMs);
	pace_seen(&p, 500, kStart);
	EXPECT_EQ(PACE_WAIT, pace_advise(&p, 220 * kMs, kStart));
	EXPECT_EQ(PACE_ELSEWHERE, pace_advise(&p, 22 * kMs, kStart)) << "a hop is cheaper";
	EXPECT_EQ(PACE_START, pace_advise(&p, 2 * kMs, kStart));
}

TEST(Pace, ProbesAreOneAtATimeAndBounded)
{
	pace p = used();
	EXPECT_TRUE(pace_take_probe(&p, kStart));
	EXPECT_FALSE(pace_take_probe(&p, kStart + PACE_PROBE_US));
	pace_seen(&p, 500, kStart + kMs);
	EXPECT_FALSE(pace_take_probe(&p, kStart + PACE_PROBE_US - 1));
	EXPECT_TRUE(pace_take_probe(&p, kStart + PACE_PROBE_US));
}

TEST(Pace, AProbeThatFailsHoldsNothingUp)
{
	pace p = used();
	EXPECT_TRUE(pace_take_probe(&p, kStart));
	pace_probe_failed(&p, kStart + kMs);
	EXPECT_EQ(PACE_START, pace_advise(&p, 220 * kMs, kStart + kMs));
	EXPECT_FALSE(pace_take_probe(&p, kStart + PACE_PROBE_US));
	EXPECT_EQ(PACE_ASK, pace_advise(&p, 220 * kMs, kStart + kMs + PACE_BLIND_US));
}

// A backend server that has just started is slow for seconds: no calmer moment comes.
TEST(Pace, AHostThatIsSlowForLongIsNotWaitedFor)
{
	pace p = used();
	uint64_t now = kStart;

	pace_seen(&p, 200, now);
	EXPECT_EQ(PACE_START, pace_advise(&p, 220 * kMs, now)) << "nothing calmer was ever seen";
	pace_seen(&p, 100, now += 20 * kMs);
	for (uint64_t end = now + PACE_LASTING_US; now < end; now += 20 * kMs)
		pace_seen(&p, 400, now);
	EXPECT_EQ(PACE_WAIT, pace_advise(&p, 220 * kMs, now - 20 * kMs));
	pace_seen(&p, 400, now += 40 * kMs);
	EXPECT_EQ(PACE_START, pace_advise(&p, 220 * kMs, now));
	pace_seen(&p, 100, now += 20 * kMs);
	pace_seen(&p, 400, now += 20 * kMs);
	EXPECT_EQ(PACE_WAIT, pace_advise(&p, 220 * kMs, now));
}

TEST(Pace, FiguresFarApartMakeNoSpell)
{
	pace p = used();
	uint64_t now = kStart;

	pace_seen(&p, 100, now);
	for (int i = 0; i < 20; i++)
		pace_seen(&p, 500, now += PACE_GAP_US + 1);
	EXPECT_EQ(PACE_WAIT, pace_advise(&p, 220 * kMs, now));
}

// A host that draws anew, every 150 ms, whether its neighbour is noisy.
struct NoisyHost {
	struct random rng {
	};
	uint64_t drawn_us = 0;
	bool noisy = false;

	uint32_t pace_at(uint64_t now_us)
	{
		while (drawn_us + 150 * kMs <= now_us) {
			drawn_us += 150 * kMs;
			noisy = random_unit(&rng) < 0.25;
		}
		return noisy ? 500 : 100;
	}
};

TEST(Pace, WaitingForACalmMomentHalvesTheMeanTimeOfLongCalls)
{
	NoisyHost blind{}, asked{};
	uint64_t blind_us = 0, asked_us = 0;

	random_seed(&blind.rng, 7);
	random_seed(&asked.rng, 7);
	for (int i = 0; i < 2000; i++) {
		uint64_t arrival = kStart + i * 331 * kMs;
		uint64_t work = 220 * kMs;
		uint64_t now = arrival;
		pace p = used();

		pace_seen(&p, 100, kStart - 1);
		blind_us += work * blind.pace_at(arrival) / 100;
		pace_seen(&p, asked.pace_at(now), now);
		while (pace_advise(&p, work, now) == PACE_WAIT) {
			now += PACE_PROBE_US;
			pace_seen(&p, asked.pace_at(now), now);
		}
		asked_us += now - arrival + work * asked.pace_at(now) / 100;
	}
	EXPECT_LT(asked_us * 100, blind_us * 65) << asked_us / 2000 << " of " << blind_us / 2000;
}

} // namespace
