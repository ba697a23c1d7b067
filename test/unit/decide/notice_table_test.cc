// Notice table: what an entry remembers of backend servers.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/notice_table.h"
}

namespace
{

class NoticeTable : public ::testing::Test
{
      protected:
	struct notice_table table {
	};

	void SetUp() override
	{
		ASSERT_EQ(notice_table_init(&table, 3, nullptr), 0);
	}
	void TearDown() override
	{
		notice_table_release(&table);
	}

	void record(uint64_t node_id, bool has_limit, bool is_leaving, uint32_t rate_milli = 0)
	{
		struct server_notice notice = {7, 8, has_limit, is_leaving, rate_milli};

		notice_table_record(&table, node_id, &notice);
	}
};

} // namespace

TEST_F(NoticeTable, KeepsTheLatestWordUntilItStatesNothing)
{
	EXPECT_EQ(notice_table_find(&table, 1), nullptr);
	record(1, true, false, 2700);
	record(1, true, false, 900);
	record(2, false, true);
	ASSERT_NE(notice_table_find(&table, 1), nullptr);
	EXPECT_EQ(notice_table_find(&table, 1)->rate_limit_milli, 900u);
	EXPECT_TRUE(notice_table_find(&table, 2)->is_leaving);
	record(1, false, false);
	EXPECT_EQ(notice_table_find(&table, 1), nullptr);
	EXPECT_NE(notice_table_find(&table, 2), nullptr);
}

TEST_F(NoticeTable, FullTableDropsNewWordsAndSweepMakesRoom)
{
	for (uint64_t id = 1; id <= 4; id++)
		record(id, true, false, 1);
	EXPECT_EQ(notice_table_find(&table, 4), nullptr);
	notice_table_sweep(
		&table, [](void *, uint64_t node_id) { return node_id != 2; }, nullptr);
	EXPECT_EQ(notice_table_find(&table, 2), nullptr);
	record(4, true, false, 1);
	EXPECT_NE(notice_table_find(&table, 4), nullptr);
	EXPECT_NE(notice_table_find(&table, 1), nullptr);
}
