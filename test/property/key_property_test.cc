// Property of keyed calls: a key that contains the time of its first use runs at most once, and any
// other key at most once within the retention time. This holds while nodes restart, leave, are
// paused or cut off, and whichever entries the repeated calls come in at.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "fescuemill/decide/key.h"
}

namespace
{
constexpr uint32_t CLUSTERS_PER_TEST = 20;
constexpr int NODES = 5;
constexpr uint64_t STEP_MS = 50;
constexpr uint64_t RETENTION_MS = 10000;
constexpr uint64_t SPREAD_MS = 1000;
constexpr uint64_t VIEW_LAG_MS = 400; // with CLOCK_SKEW_MS added it is below SPREAD_MS
constexpr uint32_t CLOCK_SKEW_MS = 200;

struct Op {
	int kind;
	uint32_t a, b;
};

struct Node {
	key_table *table = nullptr;
	// returns: the node serves again after it has left, without a restart
	bool up = true, leaving = false, returns = false;
	// Times in ms. up_at: when the node restarts or serves again, 0 if not planned; seen_at:
	// last update of its view of the members
	uint64_t paused_until = 0, up_at = 0, seen_at = 0;
	int group = 0; // nodes of different groups cannot reach each other
};

struct Running {
	int node;
	uint32_t key;
	uint64_t end_ms;
};

struct Key {
	uint64_t first_ms, last_ms;
	bool timed; // the key contains the time of its first use
	int runs = 0;
};

class Cluster
{
      public:
	explicit Cluster(uint32_t seed) : rng(seed)
	{
		for (int i = 0; i < NODES; i++)
			start_node(i);
		for (int i = 0; i < NODES; i++)
			refresh_view(i);
	}

	~Cluster()
	{
		for (auto &node : nodes)
			key_destroy(node.table);
	}

	void apply(const Op &op)
	{
		Node &node = nodes[op.a % NODES];

		switch (op.kind) {
		case 0: // a call with a new key
			keys.push_back({now + below(CLOCK_SKEW_MS), now, below(4) != 0});
			call(uint32_t(keys.size()) - 1);
			break;
		case 1: // a repeated call
			if (!keys.empty())
				repeat(op.b % keys.size());
			break;
		case 2: // a short wait
			advance_to(now + op.b % 1500);
			break;
		case 3: // a crash or a planned stop
			node.leaving = op.b % 3 != 0;
			node.up = node.up && node.leaving;
			node.returns = op.b % 3 == 2;
			node.up_at = now + 200 + op.b % 15000;
			if (can_work(int(op.a % NODES)))
				// A node sees its own departure at once.
				refresh_view(int(op.a % NODES));
			else
				node.returns = false;
			break;
		case 4: // a network partition
			node.group = int(op.b % 2);
			break;
		case 5: // the partition heals
			for (auto &each : nodes)
				each.group = 0;
			break;
		case 6: // a paused process
			node.paused_until = now + op.b % 15000;
			break;
		case 7: // a long wait
			advance_to(now + op.b % 15000);
			break;
		}
	}

	void check() const
	{
		for (const auto &key : keys)
			RC_ASSERT(key.runs <= 1);
	}

      private:
	std::mt19937 rng;
	uint64_t now = 1000000;
	Node nodes[NODES];
	std::vector<Key> keys;
	std::vector<Running> running;

	uint32_t below(uint32_t bound)
	{
		return rng() % bound;
	}

	void start_node(int i)
	{
		key_settings settings;
		error err;

		key_default_settings(&settings);
		settings.own_id = uint64_t(i) + 1;
		settings.start_ms = now;
		settings.retention_ms = RETENTION_MS;
		settings.spread_ms = SPREAD_MS;
		settings.records_max = 256;
		settings.members_max = NODES;
		key_destroy(nodes[i].table);
		RC_ASSERT(key_create(&nodes[i].table, &settings, &err) == 0);
		nodes[i].up = true;
		nodes[i].leaving = false;
		nodes[i].returns = false;
		nodes[i].up_at = 0;
		for (size_t r = running.size(); r-- > 0;) {
			if (running[r].node == i)
				running.erase(running.begin() + long(r));
		}
	}

	bool can_work(int i) const
	{
		return nodes[i].up && nodes[i].paused_until <= now;
	}

	bool reaches(int a, int b) const
	{
		return can_work(a) && can_work(b) && nodes[a].group == nodes[b].group;
	}

	// Updates one node's view of the members.
	void refresh_view(int i)
	{
		key_member members[NODES];
		error err;

		for (int n = 0; n < NODES; n++) {
			bool is_alive = n == i || reaches(i, n);

			members[n].node_id = uint64_t(n) + 1;
			members[n].state = nodes[n].leaving && is_alive ? KEY_MEMBER_LEFT
					   : is_alive			? KEY_MEMBER_ALIVE
									: KEY_MEMBER_DEAD;
		}
		RC_ASSERT(key_set_members(nodes[i].table, members, NODES, now, &err) == 0);
		nodes[i].seen_at = now;
	}

	void advance_to(uint64_t until)
	{
		for (; now < until; now += STEP_MS) {
			for (int i = 0; i < NODES; i++)
				step(i);
		}
	}

	void step(int i)
	{
		Node &node = nodes[i];
		void *user;

		if (node.up_at != 0 && node.up_at <= now && !node.returns) {
			start_node(i);
			refresh_view(i);
		}
		if (!can_work(i))
			return;
		if (node.up_at != 0 && node.up_at <= now) {
			node.up_at = 0;
			node.leaving = false;
			refresh_view(i);
		}
		if (node.paused_until != 0) {
			node.paused_until = 0;
			refresh_view(i);
		}
		if (now - node.seen_at >= VIEW_LAG_MS || below(4) == 0)
			refresh_view(i);
		end_runs(i);
		while (key_expire(node.table, now, &user))
			;
	}

	void end_runs(int i)
	{
		for (size_t r = running.size(); r-- > 0;) {
			if (running[r].node != i || running[r].end_ms > now)
				continue;
			finish(running[r]);
			running.erase(running.begin() + long(r));
		}
	}

	void finish(const Running &run)
	{
		key_hash hash = hash_of(run.key);
		call_outcome outcome = below(5) ? OUTCOME_ANSWERED : OUTCOME_UNKNOWN;

		key_finished(nodes[run.node].table, &hash, outcome, 10, &nodes[0], now);
	}

	static key_hash hash_of(uint32_t key)
	{
		key_hash hash;

		key_hash_of("ledger", (const uint8_t *)&key, sizeof(key), &hash);
		return hash;
	}

	void repeat(uint32_t number)
	{
		// A key without a time is protected for the retention time only.
		if (!keys[number].timed && now - keys[number].first_ms > RETENTION_MS - SPREAD_MS)
			return;
		call(number);
	}

	// Sends one keyed call through a random entry to the key's owner in the view of that entry.
	void call(uint32_t number)
	{
		Key &key = keys[number];
		key_hash hash = hash_of(number);
		int entry = int(below(NODES));
		uint64_t owner;
		bool is_alive;
		void *user;

		if (!can_work(entry) || nodes[entry].leaving)
			return;
		if (!key_owner(nodes[entry].table, &hash, now, &owner, &is_alive) || !is_alive)
			return;
		int gate = int(owner) - 1;
		if (!reaches(entry, gate) || nodes[gate].leaving)
			return;
		if (key_begin(nodes[gate].table, &hash, key.timed ? key.first_ms : 0, now, &user) !=
		    KEY_RUN)
			return;
		key.runs++;
		runs++;
		running.push_back({gate, number, now + below(300)});
	}

      public:
	int runs = 0;
};

rc::Gen<Op> gen_op()
{
	auto kind = rc::gen::weightedElement<int>(
		{{10, 0}, {14, 1}, {6, 2}, {3, 3}, {3, 4}, {1, 5}, {1, 6}, {1, 7}});

	return rc::gen::map(rc::gen::tuple(kind, rc::gen::arbitrary<uint16_t>(),
					   rc::gen::inRange<uint32_t>(0, 1000000)),
			    [](const std::tuple<int, uint16_t, uint32_t> &t) {
				    return Op{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
			    });
}

void showValue(const Op &op, std::ostream &os)
{
	os << "{" << op.kind << " " << op.a << " " << op.b << "}";
}
} // namespace

RC_GTEST_PROP(Key, RunsAtMostOnceWhateverHappensToItsHomes, ())
{
	uint32_t seed = *rc::gen::arbitrary<uint32_t>();

	// The faults that this looks for need several events in a row, so this runs many clusters.
	for (uint32_t i = 0; i < CLUSTERS_PER_TEST; i++) {
		auto ops = *rc::gen::resize(300, rc::gen::container<std::vector<Op>>(gen_op()));
		Cluster cluster(seed + i);

		cluster.apply({7, 0, 14000});
		for (const auto &op : ops)
			cluster.apply(op);
		cluster.check();
	}
}
