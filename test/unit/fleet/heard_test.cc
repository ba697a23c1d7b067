// Unit tests of what members said of the version that they have.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/fleet/heard.h"
}

class Heard : public testing::Test
{
      protected:
	void TearDown() override
	{
		heard_close(&table);
	}

	uint64_t version_of(uint64_t node_id, uint64_t incarnation)
	{
		node_incarnation identity = {node_id, incarnation};
		const heard *found = heard_find(&table, &identity);

		return found ? found->config_version : 0;
	}

	void note(uint64_t node_id, uint64_t incarnation, uint64_t version)
	{
		node_incarnation identity = {node_id, incarnation};

		heard_note(&table, &identity, version, 1);
	}

	heard_table table = {};
};

TEST_F(Heard, AnOlderPacketTakesNothingBack)
{
	EXPECT_EQ(0U, version_of(7, 1));
	note(7, 1, 5);
	note(7, 1, 4);
	EXPECT_EQ(5U, version_of(7, 1));
}

TEST_F(Heard, ANewIncarnationStartsWithNothing)
{
	note(7, 1, 5);
	note(7, 2, 3);
	EXPECT_EQ(3U, version_of(7, 2));
	note(7, 1, 9);
	EXPECT_EQ(3U, version_of(7, 2));
	EXPECT_EQ(0U, version_of(7, 1));
}

TEST_F(Heard, EveryMemberOfTheLargestFleetHasItsPlaceAndMoreAreForgotten)
{
	for (uint64_t id = 1; id <= FLEET_MEMBERS_MAX; id++)
		note(id * 0x9e3779b97f4a7c15, 1, id);
	for (uint64_t id = 1; id <= FLEET_MEMBERS_MAX; id++)
		ASSERT_EQ(id, version_of(id * 0x9e3779b97f4a7c15, 1));
	note(3, 1, 8);
	EXPECT_EQ(8U, version_of(3, 1));
	EXPECT_EQ(1U, table.count);
}
