// When a call leaves its failure domain, and how many calls may be away.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/spillover.h"
}

namespace
{
constexpr uint64_t MS = 1000;
constexpr uint32_t NEIGHBOUR = 7;

enum spillover_reason judge(float home_ms, float away_ms, float bytes_ms, float objective_ms)
{
	spillover_offer offer = {home_ms * 1000, away_ms * 1000, bytes_ms * 1000,
				 objective_ms * 1000};

	return spillover_judge(&offer);
}

struct Window : testing::Test {
	spillover state = {};
	uint64_t now = 1000 * MS;

	uint32_t fill()
	{
		uint32_t sent = 0;

		while (spillover_has_room(&state, NEIGHBOUR, now) && sent < 1000) {
			spillover_record_sent(&state, NEIGHBOUR, now);
			sent++;
		}
		return sent;
	}

	void end(uint32_t count, spillover_end how)
	{
		for (uint32_t i = 0; i < count; i++)
			spillover_record_end(&state, NEIGHBOUR, how, now);
	}
};
} // namespace

// Guards against traffic between failure domains that gains callers nothing.
TEST(Spillover, StaysWhileTheGainIsSmallBesideTheObjective)
{
	EXPECT_EQ(SPILLOVER_NO_GAIN, judge(120, 100, 0, 500));
}

// Guards against calls that miss their objective at home beside idle neighbours.
TEST(Spillover, LeavesWhenOnlyOthersMeetTheObjective)
{
	EXPECT_EQ(SPILLOVER_AWAY_MEETS, judge(300, 240, 100, 500));
}

// Guards against answers of many bytes on a narrow link: a download that is late at home by less
// than its bytes are worth.
TEST(Spillover, ManyBytesWithAFarObjectiveStay)
{
	EXPECT_EQ(SPILLOVER_NOT_WORTH, judge(2100, 500, 1800, 2000));
	EXPECT_EQ(SPILLOVER_AWAY_SOONER, judge(3500, 500, 1800, 2000));
}

// Guards against a choice that needs an objective to work.
TEST(Spillover, WithoutAnObjectiveTheGainDecides)
{
	EXPECT_EQ(SPILLOVER_AWAY_SOONER, judge(200, 100, 50, 0));
	EXPECT_EQ(SPILLOVER_NOT_WORTH, judge(200, 100, 150, 0));
}

// Guards against a flood of one neighbour: a burst at home fills only what it has taken before.
TEST_F(Window, GrowsOnlyWithWhatTheNeighbourTakes)
{
	uint32_t first = fill();
	uint32_t second;

	EXPECT_EQ(4U, first);
	end(first, SPILLOVER_TAKEN);
	second = fill();
	EXPECT_EQ(2 * first, second);
}

// Guards against refusals that cost a round trip each when all failure domains are full.
TEST_F(Window, ClosesWhenTheNeighbourHasNoRoom)
{
	uint64_t asked = 0;

	// One call in 40 ms, the longest closure, and those before it is reached.
	for (int step = 0; step < 1000; step++) {
		uint32_t sent = fill();

		asked += sent;
		now += 1 * MS;
		end(sent, SPILLOVER_NO_ROOM);
	}
	EXPECT_LE(asked, 1000U / 40 + 8);
}

// Guards against a failure domain that stays closed after its overload has ended.
TEST_F(Window, OpensAgainWithTheFirstCallThatIsTaken)
{
	for (int step = 0; step < 2000; step++) {
		uint32_t sent = fill();

		now += 1 * MS;
		end(sent, SPILLOVER_NO_ROOM);
	}
	now += 1000 * MS;
	for (int step = 0; step < 200; step++) {
		uint32_t sent = fill();

		now += 10 * MS;
		end(sent, SPILLOVER_TAKEN);
	}
	EXPECT_GE(fill(), 15U);
}

// Guards against a window that counts the calls of a gate that is gone for ever.
TEST_F(Window, DroppedGatesGiveTheirCallsBack)
{
	fill();
	EXPECT_FALSE(spillover_has_room(&state, NEIGHBOUR, now));
	spillover_set_in_flight(&state, NEIGHBOUR, 0);
	EXPECT_TRUE(spillover_has_room(&state, NEIGHBOUR, now));
}

// Guards against a table that is full: the failure domain unused for longest makes room.
TEST_F(Window, MoreDomainsThanTheTableHoldsReplaceTheOldest)
{
	for (uint32_t domain = 0; domain < 3 * SPILLOVER_DOMAINS_MAX; domain++) {
		now += 1 * MS;
		spillover_record_sent(&state, domain, now);
	}
	EXPECT_EQ(uint32_t(SPILLOVER_DOMAINS_MAX), state.count);
	EXPECT_EQ(4.0F, state.list[0].window);
}
