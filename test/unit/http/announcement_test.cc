// Order of announcements: late, repeated, from an earlier or from another instance.
#include <cstring>
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/http/announcement.h"
}

namespace
{

announcement make_announcement(const char *instance, uint64_t started_ms, uint64_t sequence)
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

announcement_order order(const announcement &before, const announcement &update)
{
	return announcement_compare(&before, &update);
}

TEST(Announcement, TheFirstIsNotStale)
{
	announcement none = {};
	EXPECT_NE(ANNOUNCEMENT_STALE, order(none, make_announcement("a", 0, 1)));
	EXPECT_NE(ANNOUNCEMENT_STALE, order(none, make_announcement("a", 5, 1)));
}

TEST(Announcement, AnnouncementsOfAnInstanceAreOrderedBySequence)
{
	EXPECT_EQ(ANNOUNCEMENT_NEWER,
		  order(make_announcement("a", 5, 3), make_announcement("a", 5, 4)));
	EXPECT_EQ(ANNOUNCEMENT_STALE,
		  order(make_announcement("a", 5, 3), make_announcement("a", 5, 3)));
	EXPECT_EQ(ANNOUNCEMENT_STALE,
		  order(make_announcement("a", 5, 3), make_announcement("a", 5, 2)));
}

TEST(Announcement, ALaterStartIsNewWhateverItsSequenceOrInstanceName)
{
	EXPECT_EQ(ANNOUNCEMENT_NEW_START,
		  order(make_announcement("a", 5, 30), make_announcement("a", 6, 1)));
	EXPECT_EQ(ANNOUNCEMENT_NEW_START,
		  order(make_announcement("a", 5, 30), make_announcement("b", 6, 1)));
	EXPECT_EQ(ANNOUNCEMENT_NEW_START,
		  order(make_announcement("a", 0, 30), make_announcement("b", 0, 1)));
}

TEST(Announcement, ADelayedAnnouncementOfAnEarlierStartIsStale)
{
	EXPECT_EQ(ANNOUNCEMENT_STALE,
		  order(make_announcement("b", 6, 1), make_announcement("a", 5, 31)));
}

TEST(Announcement, APartialAnnouncementOfAnotherInstanceIsStale)
{
	announcement leaving = {};

	strcpy(leaving.instance, "a");
	leaving.state = BACKEND_LEAVING;
	leaving.is_partial = true;
	EXPECT_EQ(ANNOUNCEMENT_NEWER, order(make_announcement("a", 5, 30), leaving));
	EXPECT_EQ(ANNOUNCEMENT_STALE, order(make_announcement("b", 6, 1), leaving));
	EXPECT_EQ(ANNOUNCEMENT_NEWER, order(announcement{}, leaving));
}

TEST(Announcement, APartialAnnouncementKeepsTheOtherValues)
{
	announcement before = make_announcement("a", 5, 30);
	announcement leaving = {};

	strcpy(leaving.instance, "a");
	leaving.state = BACKEND_LEAVING;
	leaving.is_partial = true;
	announcement_fill_partial(&leaving, &before);
	EXPECT_EQ(BACKEND_LEAVING, leaving.state);
	EXPECT_STREQ("ledger", leaving.service);
	EXPECT_EQ(6u, leaving.slots);
	EXPECT_FALSE(leaving.is_partial);
}

} // namespace
