// Gates that exchange their demands as the demand shell does, over a simulated network that loses,
// repeats and delays messages. The caller passes in the time and the random seed.
#pragma once

#include <algorithm>
#include <cstring>
#include <map>
#include <memory>
#include <utility>
#include <vector>

extern "C" {
#include "fescuemill/base/random.h"
#include "fescuemill/decide/budget.h"
#include "fescuemill/decide/demand.h"
#include "fescuemill/fleet/gossip_codec.h"
}

class DemandGates
{
      public:
	struct Options {
		uint32_t gates = 20;
		uint32_t classes = 1;
		double loss = 0;   // probability that a message is lost
		double repeat = 0; // probability that a message is sent once more
		uint64_t delay_us_max = 2000;
		uint64_t seed = 7;
	};

	struct Gate {
		node_incarnation identity;
		demand_table table;
		uint64_t offered[CLASSES_PER_SERVICE_MAX];
		uint64_t due_us;
		bool is_up;
	};

	explicit DemandGates(const Options &options) : options(options), gates(options.gates)
	{
		random_seed(&rng, options.seed);
		for (uint32_t i = 0; i < options.gates; i++)
			start(i, 1, 0);
		update_members();
	}

	// Starts a gate as a new incarnation. The others learn of it in update_members().
	void start(uint32_t index, uint64_t incarnation, uint64_t now_us)
	{
		Gate &gate = gates[index];

		memset(&gate, 0, sizeof(gate));
		gate.identity = {member_id(index), incarnation};
		gate.is_up = true;
		gate.due_us = now_us + random_below(&rng, (uint32_t)DEMAND_PERIOD_US);
		demand_init(&gate.table, &gate.identity, now_us);
		demand_set_classes(&gate.table, layout, options.classes, now_us);
	}

	// Sets each gate's peers to the other gates that are up.
	void update_members()
	{
		for (Gate &gate : gates) {
			std::vector<node_incarnation> peers;

			for (const Gate &other : gates) {
				if (&other != &gate && other.is_up)
					peers.push_back(other.identity);
			}
			demand_set_peers(&gate.table, peers.data(), (uint32_t)peers.size());
		}
	}

	// Delivers the messages that are due, and lets each gate whose period is over make a report
	// and send a request. Returns true if any gate made a report or received a message.
	bool step(uint64_t now_us)
	{
		bool has_changed = deliver(now_us);

		for (uint32_t i = 0; i < gates.size(); i++) {
			Gate &gate = gates[i];

			if (!gate.is_up || now_us < gate.due_us)
				continue;
			has_changed = true;
			gate.due_us += DEMAND_PERIOD_US;
			demand_record_own(&gate.table, gate.offered, now_us);
			counted_us[{i, gate.identity.incarnation}][gate.table.own.sequence] =
				now_us;
			if (!demand_is_idle(&gate.table, now_us))
				send(i, pick_peer(i), DEMAND_REQUEST, now_us);
		}
		return has_changed;
	}

	uint64_t rate_milli(uint32_t index, uint32_t calls_per_s, uint32_t class_index,
			    uint64_t now_us) const
	{
		share_demand sum;

		demand_sum(&gates[index].table, class_index, now_us, &sum);
		return share_by_demand_milli(calls_per_s, &sum);
	}

	static uint64_t member_id(uint32_t index)
	{
		return 0x9000000000000000 + index;
	}

	Options options;
	std::vector<Gate> gates;
	uint64_t bytes = 0; // bytes sent by all gates, headers included
	uint64_t largest_message_bytes = 0;
	// Time of each report by gate index, incarnation and sequence number.
	std::map<std::pair<uint32_t, uint64_t>, std::map<uint16_t, uint64_t>> counted_us;

      private:
	struct Packet {
		uint64_t due_us;
		uint32_t from;
		uint32_t to;
		std::vector<uint8_t> data;
	};

	static constexpr uint64_t layout = 42;

	// Returns a random other gate that is up, or the gate itself if there is none.
	uint32_t pick_peer(uint32_t index)
	{
		uint32_t count = (uint32_t)gates.size();
		uint32_t start = random_below(&rng, count);

		for (uint32_t i = 0; i < count; i++) {
			uint32_t other = (start + i) % count;

			if (other != index && gates[other].is_up)
				return other;
		}
		return index;
	}

	// Returns the size of the gossip packet with a message, headers included.
	static uint64_t cost(const uint8_t *data, size_t size)
	{
		static auto packet = std::make_unique<gossip_packet>();
		uint8_t encoded[GOSSIP_PACKET_BYTES];
		size_t encoded_size = 0;
		error err;

		packet->kind = GOSSIP_DEMAND;
		packet->sender = {member_id(0), 1700000000000000};
		packet->config_version = 100000;
		packet->table_hash = UINT64_MAX;
		packet->demand = {data, (uint32_t)size};
		if (gossip_encode(packet.get(), encoded, &encoded_size, &err) != 0)
			return UINT32_MAX;
		return encoded_size + BUDGET_PACKET_HEADER_BYTES;
	}

	void send(uint32_t from, uint32_t to, demand_message type, uint64_t now_us)
	{
		uint8_t data[DEMAND_BYTES_MAX];
		size_t size = demand_write(&gates[from].table, type,
					   random_below(&rng, DEMAND_PEERS_MAX), now_us, data);

		if (!size || from == to)
			return;
		bytes += cost(data, size);
		largest_message_bytes = std::max<uint64_t>(largest_message_bytes, size);
		do {
			uint64_t delay_us = random_below(&rng, (uint32_t)options.delay_us_max);

			if (random_unit(&rng) >= options.loss)
				packets.push_back(
					{now_us + delay_us, from, to, {data, data + size}});
		} while (random_unit(&rng) < options.repeat);
	}

	bool deliver(uint64_t now_us)
	{
		bool has_delivered = false;

		for (size_t i = 0; i < packets.size();) {
			if (packets[i].due_us > now_us) {
				i++;
				continue;
			}
			Packet packet = std::move(packets[i]);

			packets[i] = std::move(packets.back());
			packets.pop_back();
			receive(packet, now_us);
			has_delivered = true;
		}
		return has_delivered;
	}

	void receive(const Packet &packet, uint64_t now_us)
	{
		Gate &gate = gates[packet.to];
		demand_message type;
		error err;

		if (!gate.is_up || demand_read(&gate.table, packet.data.data(), packet.data.size(),
					       now_us, &type, &err) != 0)
			return;
		if (type == DEMAND_REQUEST)
			send(packet.to, packet.from, DEMAND_REPLY, now_us);
	}

	struct random rng;
	std::vector<Packet> packets;
};
