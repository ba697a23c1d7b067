// Spread of orders to evacuate a failure domain by gossip: every node learns an order within a
// second, also over a network that loses packets, and a lost order is repaired by any later packet.
#include "property/gossip_fleets.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

extern "C" {
#include "fescuemill/base/log.h"
#include "fescuemill/fleet/gossip_codec.h"
}

using namespace gossip_fleets;

namespace
{

// A fleet whose nodes have a table of evacuations each.
class EvacuationFleet
{
      public:
	explicit EvacuationFleet(const FakeFleet::Options &options) : fleet(options)
	{
		log_set_level(LOG_ERROR);
		for (uint32_t i = 0; i < fleet.size(); i++)
			tables.push_back(std::make_unique<evacuation_table>());
		for (uint32_t i = 0; i < fleet.size(); i++)
			attach(i);
	}

	void attach(uint32_t node)
	{
		*tables[node] = {};
		gossip_set_evacuations(fleet.node(node).gossip, tables[node].get());
	}

	// A watcher learns from the store.
	void learn(uint32_t watcher, uint64_t version, bool is_ordered)
	{
		evacuation heard = {"domain-3", version, is_ordered};

		evacuation_apply(tables[watcher].get(), &heard, "store", fleet.now_us());
	}

	uint32_t count_ordered() const
	{
		uint32_t count = 0;

		for (const auto &table : tables)
			count += evacuation_is_ordered(table.get(), "domain-3");
		return count;
	}

	// Returns the time until all nodes, or none, know the order.
	uint64_t time_until(bool is_ordered, uint64_t limit_us)
	{
		uint32_t wanted = is_ordered ? (uint32_t)fleet.size() : 0;
		uint64_t start_us = fleet.now_us();

		fleet.run_until(limit_us, [&] { return count_ordered() == wanted; });
		return count_ordered() == wanted ? fleet.now_us() - start_us : UINT64_MAX;
	}

	FakeFleet fleet;
	std::vector<std::unique_ptr<evacuation_table>> tables;
};

FakeFleet::Options ninety_nodes(double loss, uint64_t seed)
{
	FakeFleet::Options options;

	options.nodes = 90;
	options.regions = 3;
	options.loss = loss;
	options.seed = seed;
	options.full_tables = true;
	return options;
}

} // namespace

// One watcher hears of the order; the others missed it.
RC_GTEST_PROP(EvacuationSpread, NinetyNodesLearnAnOrderOfOneWatcherWithinASecond, ())
{
	double loss = *rc::gen::inRange(0, 10) / 100.0;
	EvacuationFleet evac(ninety_nodes(loss, *rc::gen::arbitrary<uint64_t>()));

	evac.fleet.run_for(3 * second_us);
	evac.learn(*rc::gen::inRange(0u, 90u), 100, true);
	RC_ASSERT(evac.time_until(true, 10 * second_us) <= second_us + 200000);
	evac.learn(*rc::gen::inRange(0u, 90u), 101, false);
	RC_ASSERT(evac.time_until(false, 10 * second_us) <= second_us + 200000);
}

// The link to a region, or to a domain, is silent while the order is made and withdrawn.
RC_GTEST_PROP(EvacuationSpread, OrderAndWithdrawalCrossALinkThatWasSilent, ())
{
	EvacuationFleet evac(ninety_nodes(0.01, *rc::gen::arbitrary<uint64_t>()));
	bool is_region = *rc::gen::arbitrary<bool>();

	evac.fleet.run_for(3 * second_us);
	is_region ? evac.fleet.split(true) : evac.fleet.split_domain(true);
	evac.learn(1, 100, true);
	evac.fleet.run_for(6 * second_us);
	RC_ASSERT(evac.count_ordered() < 90);
	is_region ? evac.fleet.split(false) : evac.fleet.split_domain(false);
	RC_ASSERT(evac.time_until(true, 20 * second_us) != UINT64_MAX);
	is_region ? evac.fleet.split(true) : evac.fleet.split_domain(true);
	evac.learn(1, 101, false);
	evac.fleet.run_for(40 * second_us);
	is_region ? evac.fleet.split(false) : evac.fleet.split_domain(false);
	RC_ASSERT(evac.time_until(false, 30 * second_us) != UINT64_MAX);
}

// A node was paused while the order was withdrawn and told for the last time: it must not bring the
// order back.
TEST(EvacuationSpread, NodeThatWasPausedDuringTheWithdrawalDoesNotBringTheOrderBack)
{
	EvacuationFleet evac(ninety_nodes(0, 5));

	evac.fleet.run_for(3 * second_us);
	evac.learn(1, 100, true);
	ASSERT_NE(UINT64_MAX, evac.time_until(true, 10 * second_us));
	evac.fleet.pause(7, true);
	evac.learn(1, 101, false);
	evac.fleet.run_for(EVACUATION_WITHDRAWAL_TOLD_US + 10 * second_us);
	EXPECT_EQ(1u, evac.count_ordered());
	evac.fleet.pause(7, false);
	EXPECT_LE(evac.time_until(false, 20 * second_us), 3 * second_us);
}

// Without an order, packets are byte for byte those of a node that knows no evacuations.
TEST(EvacuationSpread, WithoutAnOrderGossipCostsNoByteMore)
{
	EvacuationFleet with(ninety_nodes(0.01, 9));
	FakeFleet without(ninety_nodes(0.01, 9));
	uint64_t with_bytes = 0;
	uint64_t without_bytes = 0;

	with.fleet.run_for(20 * second_us);
	without.run_for(20 * second_us);
	for (uint32_t i = 0; i < 90; i++) {
		with_bytes += with.fleet.node(i).bytes_sent;
		without_bytes += without.node(i).bytes_sent;
	}
	EXPECT_EQ(without_bytes, with_bytes);
}

// The largest packet: a full list of orders beside as many updates as fit.
TEST(EvacuationSpread, PacketWithAFullListOfOrdersStillFits)
{
	evacuation_table table = {};
	gossip_packet packet = {};
	gossip_packet decoded;
	uint8_t data[GOSSIP_PACKET_BYTES];
	size_t size = 0;
	error err;

	for (int i = 0; i < EVACUATIONS_TOLD; i++) {
		evacuation heard = {};

		snprintf(heard.domain, sizeof(heard.domain), "%031d", i);
		heard.version = INT64_MAX - 1;
		heard.is_ordered = true;
		ASSERT_EQ(EVACUATION_CHANGED, evacuation_apply(&table, &heard, "test", 1));
	}
	packet.kind = GOSSIP_PING;
	packet.seq = UINT32_MAX;
	packet.sender = {UINT64_MAX, UINT64_MAX};
	packet.config_version = UINT64_MAX;
	packet.table_hash = UINT64_MAX;
	packet.evacuation_count = evacuation_tell(&table, packet.evacuations, 1);
	size_t room = gossip_update_room(&packet);
	while (packet.update_count < GOSSIP_UPDATES_MAX) {
		gossip_update *update = &packet.updates[packet.update_count];

		update->member.identity = {UINT64_MAX - 1, UINT64_MAX - 1};
		update->member.revision = UINT32_MAX;
		update->member.slots = UINT16_MAX;
		if (gossip_update_bytes(update) > room)
			break;
		room -= gossip_update_bytes(update);
		packet.update_count++;
	}
	ASSERT_EQ(0, gossip_encode(&packet, data, &size, &err)) << err.detail;
	ASSERT_EQ(0, gossip_decode(data, size, &decoded, &err)) << err.detail;
	EXPECT_EQ(uint32_t(EVACUATIONS_TOLD), decoded.evacuation_count);
	EXPECT_STREQ(packet.evacuations[7].domain, decoded.evacuations[7].domain);
	EXPECT_EQ(packet.evacuations[7].version, decoded.evacuations[7].version);
	EXPECT_TRUE(decoded.evacuations[7].is_ordered);
	EXPECT_EQ(0u, decoded.fingerprint_count);
}
