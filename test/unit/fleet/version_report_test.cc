// Unit tests of the versions of the configuration that members reported.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/fleet/version_report.h"
}

class VersionReport : public testing::Test
{
      protected:
	void TearDown() override
	{
		version_report_table_close(&table);
	}

	uint64_t version_of(uint64_t node_id, uint64_t incarnation)
	{
		node_incarnation identity = {node_id, incarnation};
		const version_report *found = version_report_find(&table, &identity);

		return found ? found->config_version : 0;
	}

	void record(uint64_t node_id, uint64_t incarnation, uint64_t version)
	{
		node_incarnation identity = {node_id, incarnation};

		version_report_record(&table, &identity, version, 1);
	}

	version_report_table table = {};
};

TEST_F(VersionReport, LowerVersionOfSameIncarnationIsIgnored)
{
	EXPECT_EQ(0U, version_of(7, 1));
	record(7, 1, 5);
	record(7, 1, 4);
	EXPECT_EQ(5U, version_of(7, 1));
}

TEST_F(VersionReport, NewIncarnationDropsEarlierReports)
{
	record(7, 1, 5);
	record(7, 2, 3);
	EXPECT_EQ(3U, version_of(7, 2));
	record(7, 1, 9);
	EXPECT_EQ(3U, version_of(7, 2));
	EXPECT_EQ(0U, version_of(7, 1));
}

TEST_F(VersionReport, HoldsLargestFleetAndIsClearedBeyondIt)
{
	for (uint64_t id = 1; id <= FLEET_MEMBERS_MAX; id++)
		record(id * 0x9e3779b97f4a7c15, 1, id);
	for (uint64_t id = 1; id <= FLEET_MEMBERS_MAX; id++)
		ASSERT_EQ(id, version_of(id * 0x9e3779b97f4a7c15, 1));
	record(3, 1, 8);
	EXPECT_EQ(8U, version_of(3, 1));
	EXPECT_EQ(1U, table.count);
}
