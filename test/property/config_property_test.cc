// Properties of the configuration store. Whatever messages are lost, repeated or reordered, and
// whatever nodes are restarted or paused: the version in force never goes down, a node never
// announces a version without all changes up to it, and every accepted change ends in force.
#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck/gtest.h>

extern "C" {
#include "fescuemill/base/log.h"
#include "fescuemill/fleet/config.h"
}

namespace
{

const int node_count = 4;
const int service_count = 3;

std::string service_name(int index)
{
	return "service-" + std::to_string(index);
}

// The objects of the platform, with every version of each.
struct PlatformModel {
	enum Kind {
		VALID,
		INVALID,
		DELETED
	};
	struct Change {
		uint64_t version;
		Kind kind;
		std::string json;
	};

	uint64_t version = 1;
	std::map<int, std::vector<Change>> history;

	void write(int service, Kind kind)
	{
		std::string name = service_name(service);
		std::string classes = kind == VALID ? R"([{"name":"c","rank":1,"latency_ms":5,)"
						      R"("percentile":99,"calls_per_s":)" +
							      std::to_string(version + 1) + "}]"
						    : "[]";
		std::string json =
			R"({"service":")" + name + R"(","team":"t","classes":)" + classes + "}";

		history[service].push_back({++version, kind, json});
	}

	static std::string item(int service, const Change &change)
	{
		std::string tail = change.kind == DELETED ? R"("deleted":true})"
							  : R"("value":)" + change.json + "}";

		return R"({"name":")" + service_name(service) + R"(","version":)" +
		       std::to_string(change.version) + "," + tail;
	}

	// The platform's answer to a list (`after` is 0) or a watch: the newest state of the
	// objects that changed.
	std::string batch(uint64_t after) const
	{
		std::string items;

		for (const auto &[service, changes] : history) {
			const Change &last = changes.back();

			if (last.version <= after || (!after && last.kind == DELETED))
				continue;
			items += (items.empty() ? "" : ",") + item(service, last);
		}
		return R"({"version":)" + std::to_string(version) + R"(,"items":[)" + items + "]}";
	}

	bool deleted_after(int service, uint64_t after) const
	{
		auto at = history.find(service);

		return at != history.end() &&
		       std::any_of(at->second.begin(), at->second.end(), [&](const Change &change) {
			       return change.version > after && change.kind == DELETED;
		       });
	}

	// Returns the newest change of a service up to a version, or nullptr. The platform sends no
	// older ones: if the newest one is invalid, a node that missed the one before may have any
	// older state.
	const Change *newest(int service, uint64_t through) const
	{
		const Change *found = nullptr;
		auto at = history.find(service);

		if (at == history.end())
			return nullptr;
		for (const Change &change : at->second) {
			if (change.version <= through)
				found = &change;
		}
		return found;
	}
};

struct Node {
	config_store *store = nullptr;
	uint64_t watched = 0; // version from which the next watch continues; 0: list first
	std::map<int, uint64_t> highest;

	Node()
	{
		static uint64_t incarnation;

		// A real node uses the time of its start in microseconds.
		config_open(&store, ++incarnation * 1000000, nullptr);
	}
	~Node()
	{
		config_close(store);
	}
	Node(const Node &) = delete;
};

struct Message {
	int to;
	bool peer;
	uint64_t from;
	uint64_t ticket;
	uint64_t version;
	std::string json;
};

struct World {
	PlatformModel platform;
	std::vector<std::unique_ptr<Node>> nodes;
	std::deque<Message> messages;

	World()
	{
		log_set_level(LOG_ERROR);
		for (int i = 0; i < node_count; i++)
			nodes.push_back(std::make_unique<Node>());
	}

	void ask_platform(int to, bool list)
	{
		uint64_t from = list ? 0 : nodes[to]->watched;

		messages.push_back({to, false, from, 0, platform.version, platform.batch(from)});
	}

	void ask_peer(int to, int peer)
	{
		config_store *asker = nodes[to]->store;
		char *json;
		size_t size;

		config_record_peer_version(asker, config_version(nodes[peer]->store));
		struct config_request request = {config_version(asker), config_content_hash(asker),
						 config_takes_changes(asker)};

		if (config_write_batch(nodes[peer]->store, &request, &json, &size, nullptr))
			return;
		messages.push_back({to, true, 0, config_ticket(asker), 0, std::string(json, size)});
		free(json);
	}

	void deliver(const Message &m)
	{
		Node &node = *nodes[m.to];

		if (m.peer) {
			RC_ASSERT(config_apply_peer_batch(node.store, m.ticket, m.json.data(),
							  m.json.size(), nullptr) == 0);
			return;
		}
		RC_ASSERT(config_apply_batch(node.store, m.from, m.json.data(), m.json.size(),
					     nullptr) == 0);
		if (m.from == 0 || m.from <= node.watched)
			node.watched = std::max(node.watched, m.version);
	}

	// Messages that peers sent to the earlier process may still arrive.
	void restart(int index)
	{
		nodes[index] = std::make_unique<Node>();
		drop_platform_answers(index);
	}

	// A pause drops the platform calls in flight, but a peer's answer may still arrive.
	void pause(int index)
	{
		config_mark_stale(nodes[index]->store);
		nodes[index]->watched = 0;
		drop_platform_answers(index);
		RC_ASSERT(!config_is_ready(nodes[index]->store));
	}

	void drop_platform_answers(int index)
	{
		messages.erase(
			std::remove_if(messages.begin(), messages.end(),
				       [&](const Message &m) { return m.to == index && !m.peer; }),
			messages.end());
	}

	void check() const
	{
		for (const auto &node : nodes) {
			for (int s = 0; s < service_count; s++)
				check_service(*node, s);
		}
	}

	void check_service(Node &node, int s) const
	{
		const service_config *config = config_find(node.store, service_name(s).c_str());
		uint64_t version = config ? config->version : 0;
		const PlatformModel::Change *due = platform.newest(s, config_version(node.store));

		if (config) {
			RC_ASSERT(version >= node.highest[s]);
			RC_ASSERT(config->classes[0].calls_per_s == version);
		}
		node.highest[s] = std::max(node.highest[s], version);
		if (!due)
			return;
		// The node has every change up to the version that it announces.
		if (due->kind == PlatformModel::VALID)
			RC_ASSERT(!config || version >= due->version);
		if (due->kind == PlatformModel::DELETED)
			RC_ASSERT(!config || version > due->version);
	}

	void check_converged() const
	{
		for (const auto &node : nodes) {
			RC_ASSERT(config_is_ready(node->store));
			for (int s = 0; s < service_count; s++) {
				const PlatformModel::Change *due =
					platform.newest(s, platform.version);
				const service_config *config =
					config_find(node->store, service_name(s).c_str());

				if (due && due->kind == PlatformModel::INVALID)
					continue;
				RC_ASSERT((due && due->kind == PlatformModel::VALID) ==
					  bool(config));
				if (config)
					RC_ASSERT(config->version == due->version);
			}
		}
	}

	// Checks that a node that caught up from a peer has the peer's versions in force, or newer
	// ones.
	void check_not_behind(int index, int peer) const
	{
		for (int s = 0; s < service_count; s++) {
			std::string name = service_name(s);
			const service_config *own = config_find(nodes[index]->store, name.c_str());
			const service_config *theirs =
				config_find(nodes[peer]->store, name.c_str());

			if (!theirs || platform.deleted_after(s, theirs->version))
				continue;
			RC_ASSERT(bool(own));
			RC_ASSERT(own->version >= theirs->version);
		}
	}
};

struct Step {
	uint8_t what;
	uint8_t a;
	uint8_t b;
};

void showValue(const Step &step, std::ostream &os)
{
	os << "{" << int(step.what) << "," << int(step.a) << "," << int(step.b) << "}";
}

rc::Gen<std::vector<Step>> steps_gen()
{
	return rc::gen::scale(4.0,
			      rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
				      rc::gen::set(&Step::what, rc::gen::inRange<uint8_t>(0, 16)),
				      rc::gen::set(&Step::a, rc::gen::inRange<uint8_t>(0, 240)),
				      rc::gen::set(&Step::b, rc::gen::inRange<uint8_t>(0, 240)))));
}

void run_step(World &world, const Step &step)
{
	int node = step.a % node_count;
	size_t count = world.messages.size();
	size_t pick = count ? step.b % count : 0;
	Message chosen = count ? world.messages[pick] : Message{};

	switch (step.what) {
	case 0:
	case 1:
	case 2:
		world.platform.write(step.a % service_count, PlatformModel::VALID);
		break;
	case 3:
		world.platform.write(step.a % service_count, PlatformModel::INVALID);
		break;
	case 4:
		world.platform.write(step.a % service_count, PlatformModel::DELETED);
		break;
	case 5:
		world.ask_platform(node, true);
		break;
	case 6:
	case 7:
		world.ask_platform(node, world.nodes[node]->watched == 0);
		break;
	case 8:
	case 9:
		world.ask_peer(node, step.b % node_count);
		break;
	case 10:
		if (step.b % 4 == 0)
			world.restart(node);
		break;
	case 11:
		world.pause(node);
		break;
	case 12: // a message is lost
		if (count)
			world.messages.erase(world.messages.begin() + (long)pick);
		break;
	case 13: // a message is delivered, and will be again
		if (count)
			world.deliver(chosen);
		break;
	default:
		if (count) {
			world.messages.erase(world.messages.begin() + (long)pick);
			world.deliver(chosen);
		}
	}
}

} // namespace

RC_GTEST_PROP(Config, NeverGoesDownAndClaimsNoDigestWithoutItsContent, ())
{
	World world;

	for (const Step &step : *steps_gen()) {
		run_step(world, step);
		world.check();
	}
}

RC_GTEST_PROP(Config, AcceptedChangesEndInForceFromThePlatform, ())
{
	World world;

	for (const Step &step : *steps_gen())
		run_step(world, step);
	world.messages.clear();
	for (int i = 0; i < node_count; i++) {
		world.ask_platform(i, true);
		world.deliver(world.messages.back());
	}
	world.check();
	world.check_converged();
}

RC_GTEST_PROP(Config, AcceptedChangesEndInForceFromOnePeer, ())
{
	World world;

	for (const Step &step : *steps_gen())
		run_step(world, step);
	world.messages.clear();
	world.ask_platform(0, true);
	world.deliver(world.messages.back());
	for (int i = 1; i < node_count; i++) {
		world.ask_peer(i, 0);
		world.deliver(world.messages.back());
		world.check_not_behind(i, 0);
	}
	world.check();
	world.check_converged();
}

// The answer to a request sent before a pause must not make a node ready after it.
RC_GTEST_PROP(Config, AnAnswerFromBeforeAPauseDoesNotMakeReady, ())
{
	World world;

	world.ask_platform(0, true);
	world.deliver(world.messages.back());
	world.ask_peer(1, 0);
	Message late = world.messages.back();

	world.platform.write(0, PlatformModel::VALID);
	world.pause(1);
	world.deliver(late);
	RC_ASSERT(!config_is_ready(world.nodes[1]->store));
}

// A late answer of a peer to a request of an earlier process of the node must not make the new
// process ready.
RC_GTEST_PROP(Config, AnAnswerToAFormerProcessDoesNotMakeReady, ())
{
	World world;
	int pauses = *rc::gen::inRange(0, 4);

	world.ask_platform(0, true);
	world.deliver(world.messages.back());
	for (int i = 0; i < pauses; i++)
		world.pause(1);
	world.ask_peer(1, 0);
	Message late = world.messages.back();

	world.platform.write(0, PlatformModel::VALID);
	world.restart(1);
	for (int i = 0; i < pauses; i++)
		world.pause(1);
	world.deliver(late);
	RC_ASSERT(!config_is_ready(world.nodes[1]->store));
	world.ask_peer(1, 0);
	world.deliver(world.messages.back());
	RC_ASSERT(config_is_ready(world.nodes[1]->store));
}
