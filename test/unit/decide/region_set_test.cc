// Sets of regions: a list that allows nothing must not be taken for one that allows everything, or
// a call would leave the regions that its data may be in.
#include <gtest/gtest.h>

extern "C" {
#include "fescuemill/decide/region_set.h"
}

namespace
{

const uint32_t A = region_id_of("a");
const uint32_t B = region_id_of("b");
const uint32_t C = region_id_of("c");

region_set set_of(std::initializer_list<uint32_t> regions)
{
	region_set set = {};

	for (uint32_t region : regions)
		EXPECT_TRUE(region_set_add(&set, region));
	return set;
}

TEST(RegionSet, UnlimitedSetAllowsEveryRegion)
{
	region_set any = {};

	EXPECT_TRUE(region_set_allows(&any, A));
	EXPECT_TRUE(region_set_allows(&any, 0));
}

TEST(RegionSet, ListedRegionsAndNoOthersAreAllowed)
{
	region_set set = set_of({A, B, A});

	EXPECT_EQ(2, set.count);
	EXPECT_TRUE(region_set_allows(&set, A));
	EXPECT_TRUE(region_set_allows(&set, B));
	EXPECT_FALSE(region_set_allows(&set, C));
}

TEST(RegionSet, ListsThatExcludeEachOtherAllowNothing)
{
	region_set set = set_of({A});
	region_set other = set_of({B});

	region_set_intersect(&set, &other);
	EXPECT_TRUE(set.is_limited);
	EXPECT_EQ(0, set.count);
	EXPECT_FALSE(region_set_allows(&set, A));
	EXPECT_FALSE(region_set_allows(&set, B));
}

TEST(RegionSet, IntersectionIsTheSameInBothOrders)
{
	region_set left = set_of({A, B});
	region_set right = set_of({C, B});
	region_set any = {};
	region_set mirrored = right;

	region_set_intersect(&mirrored, &left);
	region_set_intersect(&left, &right);
	EXPECT_EQ(1, left.count);
	EXPECT_EQ(1, mirrored.count);
	EXPECT_TRUE(region_set_allows(&left, B));
	EXPECT_TRUE(region_set_allows(&mirrored, B));
	region_set_intersect(&left, &any);
	EXPECT_EQ(1, left.count);
	region_set_intersect(&any, &left);
	EXPECT_TRUE(any.is_limited);
	EXPECT_FALSE(region_set_allows(&any, A));
}

// More regions than a set holds: the set must not become unlimited.
TEST(RegionSet, FullSetRefusesAnotherRegion)
{
	region_set set = {};

	for (uint32_t i = 0; i < REGION_SET_MAX; i++)
		EXPECT_TRUE(region_set_add(&set, 1000 + i));
	EXPECT_FALSE(region_set_add(&set, A));
	EXPECT_TRUE(region_set_add(&set, 1000));
	EXPECT_FALSE(region_set_allows(&set, A));
}

} // namespace
