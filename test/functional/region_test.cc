// The gate of a real node refuses calls that may not be served in its region, whatever its entry
// took for granted: the entry's configuration may be older than the call's regions.
#include "functional/support/test_entry.h"

using namespace support;

TEST(Region, GateRunsOnlyCallsThatMayBeServedInItsRegion)
{
	Fleet fleet(FleetOptions::small(1));

	fleet.start();
	TestEntry entry(fleet.hosts[0]);
	message_answer any = entry.call({}, "any");
	EXPECT_EQ(any.outcome, OUTCOME_ANSWERED) << any.reason;
	message_answer own = entry.call({"south-island", "north-island"}, "own");
	EXPECT_EQ(own.outcome, OUTCOME_ANSWERED) << own.reason;
	message_answer other = entry.call({"south-island"}, "other");
	EXPECT_EQ(other.outcome, OUTCOME_NOT_RUN);
	EXPECT_EQ(other.reason, REASON_REGION);
	CallStarts starts = read_call_starts(fleet);
	EXPECT_EQ(starts["own"], 1);
	EXPECT_EQ(starts["other"], 0);
	HttpAnswer counters = admin(fleet.hosts[0], "GET", "/v1/counters");
	EXPECT_NE(counters.body.find("gate_misplaced"), std::string::npos);
}
