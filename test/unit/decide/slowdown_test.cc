// Unit tests of the slowdown of a shared host. Other work slows it down for a quarter of the
// time, in episodes of about 150 ms. A call that starts during one takes five times as long.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/base/random.h"
#include "fescuemill/decide/slowdown.h"
}

namespace
{

constexpr uint64_t kMs = 1000;
constexpr uint64_t kStart = 1000 * kMs;

slowdown enabled()
{
	slowdown out = {};
	out.is_enabled = true;
	return out;
}

TEST(Slowdown, ServerWithoutSamplesIsNotProbed)
{
	slowdown none = {};
	EXPECT_EQ(SLOWDOWN_START, slowdown_advise(&none, 220 * kMs, kStart));
	EXPECT_FALSE(slowdown_start_probe(&none, kStart));
}

TEST(Slowdown, OutdatedSampleRequiresProbe)
{
	slowdown p = enabled();
	EXPECT_EQ(SLOWDOWN_PROBE, slowdown_advise(&p, 220 * kMs, kStart));
	slowdown_record(&p, 100, kStart);
	EXPECT_EQ(SLOWDOWN_START,
		  slowdown_advise(&p, 220 * kMs, kStart + SLOWDOWN_SAMPLE_VALID_US));
	EXPECT_EQ(SLOWDOWN_PROBE,
		  slowdown_advise(&p, 220 * kMs, kStart + SLOWDOWN_SAMPLE_VALID_US + 1));
}

TEST(Slowdown, OnlyCallsProlongedBeyondTheEpisodeWait)
{
	slowdown p = enabled();
	slowdown_record(&p, 100, kStart - 20 * kMs);
	slowdown_record(&p, 500, kStart);
	EXPECT_EQ(SLOWDOWN_WAIT, slowdown_advise(&p, 220 * kMs, kStart));
	EXPECT_EQ(SLOWDOWN_REDIRECT, slowdown_advise(&p, 22 * kMs, kStart))
		<< "asking another gate costs less";
	EXPECT_EQ(SLOWDOWN_START, slowdown_advise(&p, 2 * kMs, kStart));
}

TEST(Slowdown, OneProbeAtATimeAndRateLimited)
{
	slowdown p = enabled();
	EXPECT_TRUE(slowdown_start_probe(&p, kStart));
	EXPECT_FALSE(slowdown_start_probe(&p, kStart + SLOWDOWN_PROBE_INTERVAL_US));
	slowdown_record(&p, 500, kStart + kMs);
	EXPECT_FALSE(slowdown_start_probe(&p, kStart + SLOWDOWN_PROBE_INTERVAL_US - 1));
	EXPECT_TRUE(slowdown_start_probe(&p, kStart + SLOWDOWN_PROBE_INTERVAL_US));
}

TEST(Slowdown, ProbeFailureDoesNotBlockAdmission)
{
	slowdown p = enabled();
	EXPECT_TRUE(slowdown_start_probe(&p, kStart));
	slowdown_probe_failed(&p, kStart + kMs);
	EXPECT_EQ(SLOWDOWN_START, slowdown_advise(&p, 220 * kMs, kStart + kMs));
	EXPECT_FALSE(slowdown_start_probe(&p, kStart + SLOWDOWN_PROBE_INTERVAL_US));
	EXPECT_EQ(SLOWDOWN_PROBE,
		  slowdown_advise(&p, 220 * kMs, kStart + kMs + SLOWDOWN_PROBE_BACKOFF_US));
}

// A backend server that has just started is slow for seconds. Calls must not wait for an
// improvement that does not come.
TEST(Slowdown, PersistentSlowdownBecomesTheBaseline)
{
	slowdown p = enabled();
	uint64_t now = kStart;

	slowdown_record(&p, 200, now);
	EXPECT_EQ(SLOWDOWN_START, slowdown_advise(&p, 220 * kMs, now))
		<< "the first sample is the baseline";
	slowdown_record(&p, 100, now += 20 * kMs);
	for (uint64_t end = now + SLOWDOWN_PERSISTENT_US; now < end; now += 20 * kMs)
		slowdown_record(&p, 400, now);
	EXPECT_EQ(SLOWDOWN_WAIT, slowdown_advise(&p, 220 * kMs, now - 20 * kMs));
	slowdown_record(&p, 400, now += 40 * kMs);
	EXPECT_EQ(SLOWDOWN_START, slowdown_advise(&p, 220 * kMs, now));
	slowdown_record(&p, 100, now += 20 * kMs);
	slowdown_record(&p, 400, now += 20 * kMs);
	EXPECT_EQ(SLOWDOWN_WAIT, slowdown_advise(&p, 220 * kMs, now));
}

TEST(Slowdown, SampleGapStartsANewEpisode)
{
	slowdown p = enabled();
	uint64_t now = kStart;

	slowdown_record(&p, 100, now);
	for (int i = 0; i < 20; i++)
		slowdown_record(&p, 500, now += SLOWDOWN_SAMPLE_GAP_US + 1);
	EXPECT_EQ(SLOWDOWN_WAIT, slowdown_advise(&p, 220 * kMs, now));
}

// A host that is slowed down by other work on it, or not: chosen at random every 150 ms.
struct NoisyHost {
	struct random rng {
	};
	uint64_t drawn_us = 0;
	bool noisy = false;

	uint32_t slowdown_at(uint64_t now_us)
	{
		while (drawn_us + 150 * kMs <= now_us) {
			drawn_us += 150 * kMs;
			noisy = random_unit(&rng) < 0.25;
		}
		return noisy ? 500 : 100;
	}
};

TEST(Slowdown, WaitingForEndOfEpisodeReducesMeanTimeOfLongCalls)
{
	NoisyHost unaware{}, aware{};
	uint64_t unaware_us = 0, aware_us = 0;

	random_seed(&unaware.rng, 7);
	random_seed(&aware.rng, 7);
	for (int i = 0; i < 2000; i++) {
		uint64_t arrival = kStart + i * 331 * kMs;
		uint64_t work = 220 * kMs;
		uint64_t now = arrival;
		slowdown p = enabled();

		slowdown_record(&p, 100, kStart - 1);
		unaware_us += work * unaware.slowdown_at(arrival) / 100;
		slowdown_record(&p, aware.slowdown_at(now), now);
		while (slowdown_advise(&p, work, now) == SLOWDOWN_WAIT) {
			now += SLOWDOWN_PROBE_INTERVAL_US;
			slowdown_record(&p, aware.slowdown_at(now), now);
		}
		aware_us += now - arrival + work * aware.slowdown_at(now) / 100;
	}
	EXPECT_LT(aware_us * 100, unaware_us * 65)
		<< aware_us / 2000 << " of " << unaware_us / 2000;
}

} // namespace
