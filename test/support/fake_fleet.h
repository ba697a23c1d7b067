// A fake network of gossip nodes in simulated time. It delays, drops and splits traffic, and pauses
// and kills nodes. Used by property tests and by the gossip measurements.
#pragma once

#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "fescuemill/fleet/gossip.h"
}

class FakeFleet
{
      public:
	static const uint32_t domains = 17;

	struct Node {
		uint32_t index;
		struct member_table *table = nullptr;
		struct gossip *gossip = nullptr;
		struct budget budget;
		FakeFleet *fleet;
		uint64_t bytes_sent = 0;
		uint64_t packets_sent = 0;
		uint64_t newest_config = 0;
		uint64_t next_tick_us = 0;
		bool up = true;
		bool paused = false;
		// Result of allow_new_incarnation: may the process take a later incarnation than
		// the one that it started with?
		bool may_take_incarnation = true;
	};

	struct Options {
		uint32_t nodes = 16;
		uint32_t regions = 1;
		double loss = 0;
		uint64_t seed = 1;
		uint64_t node_bytes_per_s = 7000;
		uint32_t contacts = 1;	  // At the start all nodes know the first `contacts` nodes.
		bool full_tables = false; // All nodes know all others at the start.
	};

	explicit FakeFleet(const Options &options) : options_(options), rng_(options.seed)
	{
		for (uint32_t i = 0; i < options.nodes; i++)
			add_node(1);
	}

	~FakeFleet()
	{
		for (auto &node : nodes_)
			close_node(*node);
	}

	Node &node(uint32_t index)
	{
		return *nodes_[index];
	}

	size_t size() const
	{
		return nodes_.size();
	}

	uint64_t now_us() const
	{
		return now_us_;
	}

	static std::string name_of(uint32_t index)
	{
		return "node-" + std::to_string(index);
	}

	static uint32_t domain_of(uint32_t index)
	{
		return index % domains;
	}

	// A failure domain lies in one region.
	uint32_t region_of(uint32_t index) const
	{
		return domain_of(index) % options_.regions;
	}

	struct member member_of(uint32_t index, uint64_t incarnation) const
	{
		struct member member;

		memset(&member, 0, sizeof(member));
		snprintf(member.name, sizeof(member.name), "%s", name_of(index).c_str());
		snprintf(member.region, sizeof(member.region), "region-%u", region_of(index));
		snprintf(member.domain, sizeof(member.domain), "domain-%u", domain_of(index));
		snprintf(member.service, sizeof(member.service), "service-%u", index % 150);
		member.identity.node_id = member_id_of(member.name);
		member.identity.incarnation = incarnation;
		member.backend = BACKEND_READY;
		member.slots = 6;
		member.internal.ip = index + 1;
		member.internal.gossip_port = 1;
		return member;
	}

	uint64_t id_of(uint32_t index) const
	{
		return member_id_of(name_of(index).c_str());
	}

	void kill(uint32_t index)
	{
		nodes_[index]->up = false;
	}

	// Restarts a node with a new incarnation; it knows only the contacts.
	void restart(uint32_t index, uint64_t incarnation)
	{
		close_node(*nodes_[index]);
		nodes_[index]->up = true;
		nodes_[index]->paused = false;
		open_node(*nodes_[index], incarnation);
	}

	void pause(uint32_t index, bool paused)
	{
		nodes_[index]->paused = paused;
	}

	// Cuts region 0 off from the other regions, or reconnects it.
	void split(bool on)
	{
		split_ = on;
	}

	// Cuts failure domain 0 off from the others, or reconnects it.
	void split_domain(bool on)
	{
		split_domain_ = on;
	}

	void kill_domain(uint32_t domain)
	{
		for (uint32_t i = domain; i < size(); i += domains)
			kill(i);
	}

	// Returns true if every live node sees a whole domain in one of the states.
	bool all_see_domain(uint32_t domain, const std::vector<enum member_state> &states) const
	{
		for (uint32_t i = domain; i < size(); i += domains) {
			if (!all_see(i, states))
				return false;
		}
		return true;
	}

	void run_for(uint64_t duration_us)
	{
		run_until(duration_us, [] { return false; });
	}

	// Runs until the condition holds; returns the simulated time taken, or UINT64_MAX.
	uint64_t run_until(uint64_t limit_us, const std::function<bool()> &done)
	{
		uint64_t start_us = now_us_;

		while (now_us_ < start_us + limit_us) {
			now_us_ += step_us;
			deliver();
			for (auto &node : nodes_)
				tick(*node);
			if (done())
				return now_us_ - start_us;
		}
		return UINT64_MAX;
	}

	// Returns the number of live nodes for which the condition holds.
	size_t count_live(const std::function<bool(const Node &)> &holds) const
	{
		size_t count = 0;

		for (const auto &node : nodes_)
			count += node->up && !node->paused && holds(*node);
		return count;
	}

	size_t live() const
	{
		return count_live([](const Node &) { return true; });
	}

	// Returns true if every live node sees the member in one of the states.
	bool all_see(uint32_t index, const std::vector<enum member_state> &states) const
	{
		uint64_t id = id_of(index);

		return count_live([&](const Node &node) {
			       const struct member *member = member_find(node.table, id);

			       for (enum member_state state : states) {
				       if (member && member->state == state)
					       return true;
			       }
			       return node.index == index;
		       }) == live();
	}

	bool all_alive() const
	{
		return count_live([&](const Node &node) {
			       return member_count_state(node.table, MEMBER_ALIVE) == live();
		       }) == live();
	}

	bool all_have_config(uint64_t version) const
	{
		return count_live([&](const Node &node) {
			       return node.newest_config >= version;
		       }) == live();
	}

	void set_config(uint32_t index, uint64_t version)
	{
		nodes_[index]->newest_config = version;
		gossip_set_config_version(nodes_[index]->gossip, version);
	}

      private:
	struct Packet {
		uint64_t due_us;
		uint64_t order;
		uint32_t from;
		uint32_t to;
		std::vector<uint8_t> data;

		bool operator<(const Packet &other) const
		{
			return due_us != other.due_us ? due_us > other.due_us : order > other.order;
		}
	};

	static const uint64_t step_us = 10000;
	static const uint64_t domain_delay_us = 1500;
	static const uint64_t region_delay_us = 8000;

	void add_node(uint64_t incarnation)
	{
		nodes_.push_back(std::make_unique<Node>());
		nodes_.back()->index = (uint32_t)nodes_.size() - 1;
		nodes_.back()->fleet = this;
		open_node(*nodes_.back(), incarnation);
	}

	void open_node(Node &node, uint64_t incarnation)
	{
		struct member self = member_of(node.index, incarnation);
		struct gossip_io io = {send,	newer_config, &node,  nullptr, may_take_incarnation,
				       nullptr, nullptr,      nullptr};
		uint32_t known = options_.full_tables ? options_.nodes : options_.contacts;
		struct error err;

		member_table_open(&node.table, &err);
		for (uint32_t i = 0; i < known; i++) {
			struct member other = member_of(i, 1);

			if (i != node.index)
				member_upsert(node.table, &other);
		}
		budget_init(&node.budget, options_.node_bytes_per_s, 1000000000, now_us_);
		node.newest_config = 0;
		node.next_tick_us = now_us_ + rng_() % 100000;
		gossip_open(&node.gossip, &self, node.table, &node.budget, &io, rng_(), now_us_,
			    &err);
	}

	static void close_node(Node &node)
	{
		gossip_close(node.gossip);
		member_table_close(node.table);
	}

	static bool may_take_incarnation(void *user, uint64_t)
	{
		return ((Node *)user)->may_take_incarnation;
	}

	static void send(void *user, uint32_t ip, uint16_t, const uint8_t *data, size_t size)
	{
		Node *node = (Node *)user;

		node->bytes_sent += size + BUDGET_PACKET_HEADER_BYTES;
		node->packets_sent++;
		node->fleet->post(node->index, ip - 1, data, size);
	}

	static void newer_config(void *user, uint64_t, uint64_t version)
	{
		Node *node = (Node *)user;

		node->newest_config = version;
		gossip_set_config_version(node->gossip, version);
	}

	void post(uint32_t from, uint32_t to, const uint8_t *data, size_t size)
	{
		bool crosses = region_of(from) != region_of(to);
		uint64_t delay_us = crosses ? region_delay_us : domain_delay_us;

		if (split_ && (region_of(from) == 0) != (region_of(to) == 0))
			return;
		if (split_domain_ && (domain_of(from) == 0) != (domain_of(to) == 0))
			return;
		if (std::uniform_real_distribution<>(0, 1)(rng_) < options_.loss)
			return;
		queue_.push({now_us_ + delay_us, order_++, from, to,
			     std::vector<uint8_t>(data, data + size)});
	}

	void deliver()
	{
		while (!queue_.empty() && queue_.top().due_us <= now_us_) {
			Packet packet = queue_.top();
			Node &to = *nodes_[packet.to];

			queue_.pop();
			if (to.up && !to.paused)
				gossip_receive(to.gossip, packet.from + 1, 1, packet.data.data(),
					       packet.data.size(), now_us_);
		}
	}

	void tick(Node &node)
	{
		if (!node.up || node.paused || now_us_ < node.next_tick_us)
			return;
		node.next_tick_us = now_us_ + GOSSIP_UPDATE_PERIOD_US;
		gossip_tick(node.gossip, now_us_);
	}

	Options options_;
	std::mt19937_64 rng_;
	std::vector<std::unique_ptr<Node>> nodes_;
	std::priority_queue<Packet> queue_;
	uint64_t now_us_ = 1000000;
	uint64_t order_ = 0;
	bool split_ = false;
	bool split_domain_ = false;
};
