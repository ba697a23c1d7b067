// Unit tests of the decisions of allotments: one entry, one home.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/decide/allotment_entry.h"
#include "fescuemill/decide/allotment_home.h"
}

namespace
{

constexpr struct allotment_limit LIMIT = {77, 100000, 50};

class Allotment : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct error err;

		ASSERT_EQ(0, allotment_entry_init(&entry, 4, 7, &err));
		ASSERT_EQ(0, allotment_home_init(&home, 4, &err));
	}

	void TearDown() override
	{
		allotment_entry_release(&entry);
		allotment_home_release(&home);
	}

	enum allotment_verdict take(const struct allotment_limit &limit)
	{
		return allotment_entry_take(&entry, &limit, now_us, &item);
	}

	// Passes a report to the home and its word back.
	void exchange(const struct allotment_limit &limit)
	{
		struct allotment_report report;

		allotment_entry_report(item, &report, now_us);
		ASSERT_TRUE(allotment_home_take_report(&home, &limit, 1, &report, now_us, &word));
		ASSERT_TRUE(allotment_entry_hear(&entry, &word, now_us));
	}

	uint64_t now_us = 100 * USEC_PER_SEC;
	struct allotment_entry entry;
	struct allotment_home home;
	struct allotment_item *item = NULL;
	struct allotment_word word = {};
};

} // namespace

TEST_F(Allotment, MessagesKeepEveryField)
{
	struct allotment_message out = {};
	struct allotment_message in = {};
	uint8_t data[ALLOTMENT_BYTES_MAX];
	struct error err;

	out.type = ALLOTMENT_REPORTS;
	out.count = ALLOTMENT_REPORTS_MAX;
	out.reports[39] = {0x1122334455667788, 5, 4000000000, 3, 2, 65535, true, false, true};
	ASSERT_EQ(1U + 40 * ALLOTMENT_REPORT_BYTES, allotment_write(&out, data));
	ASSERT_EQ(0, allotment_read(&in, data, 1 + 40 * ALLOTMENT_REPORT_BYTES, &err));
	EXPECT_EQ(0x1122334455667788U, in.reports[39].customer);
	EXPECT_EQ(4000000000U, in.reports[39].offered);
	EXPECT_EQ(65535, in.reports[39].recent);
	EXPECT_TRUE(in.reports[39].is_limited);
	EXPECT_FALSE(in.reports[39].was_told);
	EXPECT_TRUE(in.reports[39].is_waiting);
	out.type = ALLOTMENT_WORDS;
	out.count = 1;
	out.words[0] = {9, 8, 7, 6, 5, 4, 3, 2};
	ASSERT_EQ(1U + ALLOTMENT_WORD_BYTES, allotment_write(&out, data));
	ASSERT_EQ(0, allotment_read(&in, data, 1 + ALLOTMENT_WORD_BYTES, &err));
	EXPECT_EQ(6U, in.words[0].rate_milli);
	EXPECT_EQ(2, in.words[0].wait);
	EXPECT_NE(0, allotment_read(&in, data, ALLOTMENT_WORD_BYTES, &err));
	EXPECT_NE(0, allotment_read(&in, data, 0, &err));
	data[0] = 3;
	EXPECT_NE(0, allotment_read(&in, data, 1 + ALLOTMENT_WORD_BYTES, &err));
}

TEST_F(Allotment, FirstCallIsAdmittedAndReportedWithin20Ms)
{
	uint32_t cursor = 0;

	EXPECT_EQ(ALLOTMENT_ADMIT, take(LIMIT));
	EXPECT_EQ(nullptr, allotment_entry_next_due(&entry, &cursor, now_us));
	cursor = 0;
	EXPECT_EQ(item, allotment_entry_next_due(&entry, &cursor, now_us + 20000));
}

// 66 entries with one call each must not admit more than the slack of a small customer.
TEST_F(Allotment, FewEntriesAdmitASmallCustomerUnasked)
{
	struct allotment_limit small = {78, 5000, 5};
	uint32_t admitted = 0;

	for (uint32_t i = 0; i < 66; i++) {
		entry.members = 66;
		entry.seed = i * 7919;
		admitted += take(small) == ALLOTMENT_ADMIT;
		small.customer += 4; // each entry has only its own state
	}
	EXPECT_LE(admitted, 20U);
}

TEST_F(Allotment, CreditBoundsWhatTheHomeHasNotCounted)
{
	uint32_t admitted = 0;

	take(LIMIT);
	exchange(LIMIT);
	for (uint32_t i = 0; i < 10000; i++)
		admitted += take(LIMIT) == ALLOTMENT_ADMIT;
	EXPECT_EQ(word.credit, admitted);
	EXPECT_LE(admitted, 150U);
}

TEST_F(Allotment, CallThatDidNotRunGivesBack)
{
	take(LIMIT);
	exchange(LIMIT);
	double level = home.accounts[0].level;
	take(LIMIT);
	allotment_entry_give_back(&entry, LIMIT.customer, now_us);
	exchange(LIMIT);
	EXPECT_NEAR(level, home.accounts[0].level, 1e-6);
	// A call can be given back once only.
	allotment_entry_give_back(&entry, LIMIT.customer, now_us);
	allotment_entry_give_back(&entry, LIMIT.customer, now_us);
	EXPECT_EQ(item->admitted, item->given_back);
}

TEST_F(Allotment, ShareFollowsAnOverload)
{
	uint32_t admitted = 0;

	for (uint32_t ms = 0; ms < 20000; ms++, now_us += 1000) { // 1000 calls a second
		admitted += take(LIMIT) == ALLOTMENT_ADMIT && ms >= 10000;
		if (ms % 150 == 0)
			exchange(LIMIT);
	}
	EXPECT_NEAR(1000, admitted, 50);
	EXPECT_NEAR(0.1, item->share, 0.02);
}

TEST_F(Allotment, LoweredLimitBindsBeforeTheHomeKnowsIt)
{
	struct allotment_limit low = {77, 5000, 5};
	uint32_t admitted = 0;

	take(LIMIT);
	exchange(LIMIT);
	for (uint32_t i = 0; i < 100; i++)
		admitted += take(low) == ALLOTMENT_ADMIT;
	EXPECT_LE(admitted, 6U);
}

TEST_F(Allotment, RaisedLimitBindsAtOnce)
{
	struct allotment_limit low = {77, 1000, 1};
	uint32_t admitted = 0;

	for (uint32_t ms = 0; ms < 3000; ms++, now_us += 1000) {
		take(low);
		if (ms % 150 == 0)
			exchange(low);
	}
	exchange(LIMIT);
	for (uint32_t i = 0; i < 40; i++)
		admitted += take(LIMIT) == ALLOTMENT_ADMIT;
	EXPECT_GE(admitted, 3U); // the debt of the old limit is at most a window of it
}

TEST_F(Allotment, SilentHomeLeavesAnEqualPart)
{
	uint32_t admitted = 0;

	entry.members = 10;
	take(LIMIT);
	exchange(LIMIT);
	for (uint32_t ms = 0; ms < 12000; ms++, now_us += 1000) {
		struct allotment_report report;
		uint32_t cursor = 0;

		admitted += take(LIMIT) == ALLOTMENT_ADMIT && ms >= 2000;
		if (allotment_entry_next_due(&entry, &cursor, now_us))
			allotment_entry_report(item, &report, now_us);
	}
	EXPECT_EQ(ALLOTMENT_EQUAL, item->basis);
	EXPECT_NEAR(100, admitted, 2);
	EXPECT_GE(allotment_entry_retry_ms(&entry, item, ALLOTMENT_REFUSE, 0.5), 20U);
}

TEST_F(Allotment, NewHomeCountsWhatAnEarlierOneGave)
{
	struct allotment_report report = {77, 1, 1000, 900, 0, 500, true, true, false};

	ASSERT_TRUE(allotment_home_take_report(&home, &LIMIT, 1, &report, now_us, &word));
	EXPECT_LE(home.accounts[0].level, 0.0);
	report.recent = 300;
	ASSERT_TRUE(allotment_home_take_report(&home, &LIMIT, 2, &report, now_us, &word));
	EXPECT_LE(home.accounts[0].level, -250.0);
}

TEST_F(Allotment, OvertakenReportCountsNothing)
{
	struct allotment_report report = {77, 1, 10, 10, 0, 10, false, false, false};

	ASSERT_TRUE(allotment_home_take_report(&home, &LIMIT, 1, &report, now_us, &word));
	double level = home.accounts[0].level;
	report.offered = report.admitted = 5;
	ASSERT_TRUE(allotment_home_take_report(&home, &LIMIT, 1, &report, now_us, &word));
	EXPECT_NEAR(level, home.accounts[0].level, 1e-6);
	EXPECT_EQ(10U, word.used);
}

TEST_F(Allotment, LostMembersKeepTheirPartForAWhile)
{
	struct allotment_members members = {0, 0, 0};

	allotment_members_update(&members, 66, now_us);
	allotment_members_update(&members, 33, now_us);
	EXPECT_EQ(66U, members.known);
	allotment_members_update(&members, 33, now_us + ALLOTMENT_LOST_US);
	EXPECT_EQ(33U, members.known);
	EXPECT_EQ(33U, members.live);
}

TEST_F(Allotment, CustomersAreBounded)
{
	struct allotment_limit limit = LIMIT;

	for (uint32_t i = 0; i < 20; i++, now_us += 1000) {
		limit.customer = 100 + i;
		take(limit);
	}
	EXPECT_EQ(4U, entry.map.count);
	EXPECT_EQ(nullptr, allotment_entry_find(&entry, 100));
	EXPECT_NE(nullptr, allotment_entry_find(&entry, 119));
	allotment_entry_sweep(&entry, now_us + 61 * USEC_PER_SEC);
	EXPECT_EQ(0U, entry.map.count);
}
