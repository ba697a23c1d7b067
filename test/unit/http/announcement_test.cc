// Announcements out of order: late, repeated, of an earlier start, of another start.
#include <cstring>
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/http/announcement.h"
}

namespace
{

announcement made(const char *instance, uint64_t started_ms, uint64_t sequence)
{
	announcement out = {};

	strcpy(out.instance, instance);
	strcpy(out.service, "ledger");
	out.slots = 6;
	out.started_ms = started_ms;
	out.sequence = sequence;
	out.state = BACKEND_READY;
	return out;
}

announcement_order order(const announcement &before, const announcement &news)
{
	return announcement_order_of(&before, &news);
}

TEST(Announcement, TheFirstIsTaken)
{
	announcement none = {};
	EXPECT_NE(ANNOUNCEMENT_STALE, order(none, made("a", 0, 1)));
	EXPECT_NE(ANNOUNCEMENT_STALE, order(none, made("a", 5, 1)));
}

TEST(Announcement, WithinOneStartTheSequenceCounts)
{
	EXPECT_EQ(ANNOUNCEMENT_NEXT, order(made("a", 5, 3), made("a", 5, 4)));
	EXPECT_EQ(ANNOUNCEMENT_STALE, order(made("a", 5, 3), made("a", 5, 3)));
	EXPECT_EQ(ANNOUNCEMENT_STALE, order(made("a", 5, 3), made("a", 5, 2)));
}

TEST(Announcement, ALaterStartBeginsItsOwnSequenceEvenUnderTheSameName)
{
	EXPECT_EQ(ANNOUNCEMENT_NEW_START, order(made("a", 5, 30), made("a", 6, 1)));
	EXPECT_EQ(ANNOUNCEMENT_NEW_START, order(made("a", 5, 30), made("b", 6, 1)));
	EXPECT_EQ(ANNOUNCEMENT_NEW_START, order(made("a", 0, 30), made("b", 0, 1)));
}

TEST(Announcement, AnEarlierStartThatWasHeldUpOnItsWayIsStale)
{
	EXPECT_EQ(ANNOUNCEMENT_STALE, order(made("b", 6, 1), made("a", 5, 31)));
}

TEST(Announcement, WordOfLeavingCountsForItsOwnStartOnly)
{
	announcement leaving = {};

	strcpy(leaving.instance, "a");
	leaving.state = BACKEND_LEAVING;
	leaving.is_partial = true;
	EXPECT_EQ(ANNOUNCEMENT_NEXT, order(made("a", 5, 30), leaving));
	EXPECT_EQ(ANNOUNCEMENT_STALE, order(made("b", 6, 1), leaving));
	EXPECT_EQ(ANNOUNCEMENT_NEXT, order(announcement{}, leaving));
}

TEST(Announcement, APartialOneKeepsTheRest)
{
	announcement before = made("a", 5, 30);
	announcement leaving = {};

	strcpy(leaving.instance, "a");
	leaving.state = BACKEND_LEAVING;
	leaving.is_partial = true;
	announcement_complete(&leaving, &before);
	EXPECT_EQ(BACKEND_LEAVING, leaving.state);
	EXPECT_STREQ("ledger", leaving.service);
	EXPECT_EQ(6u, leaving.slots);
	EXPECT_FALSE(leaving.is_partial);
}

} // namespace
