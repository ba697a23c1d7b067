// Unit tests of the demand table: levels, order and expiry of reports, and content of messages.
#include "support/demand_gates.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace
{
constexpr uint64_t LAYOUT = 42;
constexpr uint32_t CLASSES = 2;
const node_incarnation SELF = {1, 1};
const node_incarnation PEER = {2, 1};
const node_incarnation THIRD = {3, 1};

class Demand : public ::testing::Test
{
      protected:
	demand_table self = open(SELF, {PEER, THIRD});
	demand_table peer = open(PEER, {SELF, THIRD});
	demand_table third = open(THIRD, {SELF, PEER});
	uint64_t now_us = 100 * USEC_PER_SEC;

	demand_table open(node_incarnation gate, std::vector<node_incarnation> peers)
	{
		demand_table table;

		demand_init(&table, &gate, 99 * USEC_PER_SEC);
		demand_set_classes(&table, LAYOUT, CLASSES, 99 * USEC_PER_SEC);
		demand_set_peers(&table, peers.data(), (uint32_t)peers.size());
		return table;
	}

	// Records a report of a table's own demand: a steady rate of calls of the first class.
	void count(demand_table &table, uint64_t calls_per_s)
	{
		uint64_t offered[CLASSES_PER_SERVICE_MAX] = {};

		table.mean_milli[0] = calls_per_s * 1000;
		offered[0] = table.offered[0] + calls_per_s;
		demand_record_own(&table, offered, table.counted_us + USEC_PER_SEC);
		now_us = std::max(now_us, table.counted_us);
	}

	std::vector<uint8_t> write(const demand_table &table, demand_message type = DEMAND_REQUEST)
	{
		std::vector<uint8_t> data(DEMAND_BYTES_MAX);

		data.resize(demand_write(&table, type, 0, now_us, data.data()));
		return data;
	}

	error_kind read(demand_table &table, const std::vector<uint8_t> &data)
	{
		demand_message type;
		error err = {};

		return demand_read(&table, data.data(), data.size(), now_us, &type, &err)
			       ? err.kind
			       : ERROR_NONE;
	}

	share_demand sum(const demand_table &table)
	{
		share_demand out;

		demand_sum(&table, 0, now_us, &out);
		return out;
	}
};
} // namespace

TEST_F(Demand, LevelIsWithinFourPercentOfDemand)
{
	EXPECT_EQ(0, demand_level_of(0));
	EXPECT_EQ(0U, demand_milli_of(0));
	EXPECT_EQ(255, demand_level_of(UINT64_MAX));
	for (uint64_t milli = DEMAND_LEVEL_MIN_MILLI; milli < 400000000; milli += 1 + milli / 50) {
		double seen = (double)demand_milli_of(demand_level_of(milli));

		EXPECT_NEAR(1, seen / (double)milli, 0.04) << milli;
	}
	for (uint32_t level = 0; level < DEMAND_LEVELS; level++)
		EXPECT_EQ(level, demand_level_of(demand_milli_of((uint8_t)level)));
}

TEST_F(Demand, SumsOwnAndPeerReports)
{
	count(self, 100);
	count(peer, 300);
	EXPECT_EQ(1U, sum(self).reported);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	EXPECT_EQ(2U, sum(self).reported);
	EXPECT_EQ(3U, sum(self).gates);
	share_demand all = sum(self);
	EXPECT_NEAR(400000, (double)(all.total_milli + all.own_rise_milli), 16000);
	EXPECT_NEAR(100000, (double)(all.own_milli + all.own_rise_milli), 4000);
}

TEST_F(Demand, ReportsAreForwardedByPeers)
{
	count(third, 300);
	EXPECT_EQ(ERROR_NONE, read(peer, write(third)));
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	EXPECT_EQ(2U, sum(self).reported);
	EXPECT_NEAR(300000, (double)sum(self).total_milli, 12000);
}

TEST_F(Demand, NewerReportWinsInAnyOrder)
{
	count(peer, 300);
	std::vector<uint8_t> older = write(peer);

	count(peer, 50);
	std::vector<uint8_t> newer = write(peer);

	EXPECT_EQ(ERROR_NONE, read(self, newer));
	EXPECT_EQ(ERROR_NONE, read(self, older));
	EXPECT_NEAR(50000, (double)sum(self).total_milli, 2000);
}

TEST_F(Demand, SequenceNumberWraps)
{
	peer.own.sequence = UINT16_MAX - 1;
	count(peer, 300);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	count(peer, 50);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	EXPECT_NEAR(50000, (double)sum(self).total_milli, 2000);
}

TEST_F(Demand, AcceptsAnySequenceNumberAfterHoursOfSilence)
{
	peer.own.sequence = 40000;
	count(peer, 300);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	peer.own.sequence = 100; // The numbers have wrapped meanwhile.
	peer.counted_us += 9 * 3600 * USEC_PER_SEC;
	count(peer, 50);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	EXPECT_EQ(2U, sum(self).reported);
}

TEST_F(Demand, ExpiredReportIsIgnoredAndDoesNotComeBack)
{
	count(peer, 300);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	now_us += DEMAND_REPORT_MAX_AGE_US / 2;
	EXPECT_EQ(ERROR_NONE, read(third, write(self)));
	EXPECT_EQ(2U, sum(third).reported);
	std::vector<uint8_t> passed_on = write(third);

	now_us += DEMAND_REPORT_MAX_AGE_US / 2 + 1;
	EXPECT_EQ(1U, sum(self).reported);
	EXPECT_EQ(1U, sum(third).reported) << "forwarding must not make a report younger";
	EXPECT_EQ(ERROR_NONE, read(self, passed_on));
	EXPECT_EQ(1U, sum(self).reported);
}

TEST_F(Demand, DepartedOrRestartedGateLosesItsReport)
{
	node_incarnation restarted = {PEER.node_id, 2};
	node_incarnation peers[] = {restarted, THIRD};

	count(peer, 300);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	std::vector<uint8_t> old = write(peer);

	demand_set_peers(&self, peers, 2);
	EXPECT_EQ(1U, sum(self).reported);
	EXPECT_EQ(ERROR_NONE, read(self, old));
	EXPECT_EQ(1U, sum(self).reported);
	demand_set_peers(&self, peers + 1, 1);
	EXPECT_EQ(2U, sum(self).gates);
}

TEST_F(Demand, ReportsForOtherClassesAreRefused)
{
	service_config config = {"ledger", 1, 2, {{"purchase", 0, 0, 0, 0}, {"audit", 0, 0, 0, 0}}};
	service_config other = {"ledger", 2, 2, {{"audit", 0, 0, 0, 0}, {"purchase", 0, 0, 0, 0}}};
	uint64_t layout = demand_layout_of(&config);

	EXPECT_NE(layout, demand_layout_of(&other));
	config.classes[0].calls_per_s = 7;
	EXPECT_EQ(layout, demand_layout_of(&config));
	count(peer, 300);
	demand_set_classes(&self, layout, CLASSES, now_us);
	EXPECT_EQ(ERROR_VERSION, read(self, write(peer)));
	EXPECT_EQ(1U, sum(self).reported);
}

TEST_F(Demand, ChangeOfClassesDropsReports)
{
	count(self, 300);
	count(peer, 300);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	demand_set_classes(&self, LAYOUT + 1, CLASSES, now_us);
	EXPECT_EQ(1U, sum(self).reported);
	EXPECT_EQ(0U, self.mean_milli[0]);
}

TEST_F(Demand, InvalidMessagesAreRefused)
{
	count(peer, 300);
	std::vector<uint8_t> good = write(peer);
	std::vector<uint8_t> bad = good;

	EXPECT_EQ(ERROR_TRUNCATED, read(self, {}));
	bad.pop_back();
	EXPECT_EQ(ERROR_RANGE, read(self, bad));
	bad = good;
	bad[0] = 9;
	EXPECT_EQ(ERROR_TYPE, read(self, bad));
	bad = good;
	bad[1] = UINT8_MAX;
	EXPECT_EQ(ERROR_RANGE, read(self, bad));
	bad = good;
	bad.resize(DEMAND_BYTES_MAX + 9);
	EXPECT_EQ(ERROR_RANGE, read(self, bad));
	EXPECT_EQ(1U, sum(self).reported);
	EXPECT_EQ(ERROR_NONE, read(self, good));
}

TEST_F(Demand, ReplyContainsOnlyMissingReports)
{
	count(self, 100);
	count(peer, 300);
	count(third, 50);
	EXPECT_EQ(ERROR_NONE, read(self, write(third)));
	EXPECT_EQ(ERROR_NONE, read(peer, write(third)));
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	// The requester has its own and the third gate's row, so only this gate's row is sent.
	EXPECT_EQ(10U + 1 * (7 + CLASSES), write(self, DEMAND_REPLY).size());
	EXPECT_EQ(ERROR_NONE, read(peer, write(self, DEMAND_REPLY)));
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	EXPECT_EQ(0U, write(self, DEMAND_REPLY).size());
}

TEST_F(Demand, ClassAddedAgainCountsFromZero)
{
	uint64_t offered[CLASSES_PER_SERVICE_MAX] = {1000};

	demand_record_own(&self, offered, now_us);
	offered[0] = 10;
	demand_record_own(&self, offered, now_us + USEC_PER_SEC);
	EXPECT_LT(self.mean_milli[0], 1000 * 1000U);
}

TEST_F(Demand, IsIdleWhileNoGateHasDemand)
{
	count(self, 0);
	EXPECT_TRUE(demand_is_idle(&self, now_us));
	count(peer, 300);
	EXPECT_EQ(ERROR_NONE, read(self, write(peer)));
	EXPECT_FALSE(demand_is_idle(&self, now_us));
	now_us += DEMAND_REPORT_MAX_AGE_US + 1;
	EXPECT_TRUE(demand_is_idle(&self, now_us));
}

TEST_F(Demand, AllReportsArriveEvenIfOneMessageCannotHoldThem)
{
	DemandGates::Options options;

	options.gates = 150;
	options.classes = 16;
	DemandGates fleet(options);

	for (uint64_t now = 0; now < 20 * USEC_PER_SEC; now += 10000) {
		for (auto &gate : fleet.gates)
			gate.offered[3]++;
		fleet.step(now);
	}
	EXPECT_LE(fleet.largest_message_bytes, (uint64_t)DEMAND_BYTES_MAX);
	for (auto &gate : fleet.gates)
		EXPECT_EQ(150U, demand_reported(&gate.table, 20 * USEC_PER_SEC));
}

// Checks the bytes that a gate sends a second, headers included. It receives as many.
TEST_F(Demand, TwentyGatesStayWithinTheControlBudget)
{
	constexpr double CONTROL_BYTES_PER_S = 7000; // control traffic of a node, both directions
	constexpr double REST_BYTES_PER_S = 1038;    // gossip and configuration (docs/CAPACITY.md)
	constexpr uint64_t RUN_S = 60;

	for (uint32_t classes : {1, 4, 16}) {
		DemandGates::Options options;

		options.classes = classes;
		DemandGates fleet(options);

		for (uint64_t now = 0; now < RUN_S * USEC_PER_SEC; now += 1000) {
			for (auto &gate : fleet.gates) {
				for (uint64_t &offered : gate.offered)
					offered = now / 10000;
			}
			fleet.step(now);
		}
		double sent = (double)fleet.bytes / RUN_S / options.gates;

		printf("%2u classes: %.0f bytes/s sent by a gate, table of %zu bytes\n", classes,
		       sent, sizeof(demand_table));
		EXPECT_LE(2 * sent, CONTROL_BYTES_PER_S - REST_BYTES_PER_S);
	}
}

TEST_F(Demand, GatesBeyondTheLimitCountAsNotReported)
{
	std::vector<node_incarnation> peers;

	for (uint64_t i = 0; i < DEMAND_PEERS_MAX + 50; i++)
		peers.push_back({i + 10, 1});
	demand_set_peers(&self, peers.data(), (uint32_t)peers.size());
	EXPECT_EQ((uint32_t)DEMAND_PEERS_MAX, self.row_count);
	EXPECT_EQ((uint32_t)DEMAND_PEERS_MAX + 51, sum(self).gates);
}
