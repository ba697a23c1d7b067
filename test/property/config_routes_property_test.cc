// Properties of routes that nodes fetch from each other as changes. Whatever versions a node
// skipped and whatever answers are lost, repeated or reordered: the routes in force at a node are
// exactly those of the operators' version that it states, and every node ends with the newest.
#include <cstdlib>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
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
const int prefix_count = 6;
const int timeout_count = 3; // few, so that routes are often changed back

using Routes = std::map<std::string, uint32_t>; // timeout in ms by prefix

struct Platform {
	uint64_t version = 1;
	std::map<uint64_t, Routes> history{{1, {{"/0/", 1}}}};

	void change(int prefix, int timeout)
	{
		Routes routes = history[version];
		std::string name = "/" + std::to_string(prefix % prefix_count) + "/";

		if (timeout % (timeout_count + 1) == 0 && name != "/0/")
			routes.erase(name);
		else
			routes[name] = 1 + (uint32_t)(timeout % timeout_count);
		history[++version] = routes;
	}

	std::string batch() const
	{
		std::string list;
		std::string number = std::to_string(version);

		for (const auto &[prefix, timeout_ms] : history.at(version))
			list += (list.empty() ? "" : ",") +
				std::string(R"({"name":"r","host":"h",)") + R"("prefix":")" +
				prefix + R"(","idempotent":true,"timeout_ms":)" +
				std::to_string(timeout_ms) +
				R"(,"latency_ms":1,"rank":0,"attempts":1,)" +
				R"("services":[{"service":"s","weight":1}]})";
		return R"({"version":)" + number + R"(,"items":[{"name":"main","version":)" +
		       number + R"(,"value":{"number":)" + number + R"(,"routes":[)" + list +
		       R"(],"services":[{"name":"s"}]}}]})";
	}
};

struct Answer {
	int to;
	bool is_from_peer;
	uint64_t from;
	uint64_t ticket;
	std::string json;
};

struct World {
	Platform platform;
	std::vector<config_store *> nodes;
	std::deque<Answer> answers;
	int answers_with_changes = 0;

	World()
	{
		log_set_level(LOG_ERROR);
		for (int i = 0; i < node_count; i++) {
			nodes.push_back(nullptr);
			config_open(&nodes[i], (uint64_t)i + 1, nullptr);
		}
	}
	~World()
	{
		for (config_store *node : nodes)
			config_close(node);
	}

	void ask_platform(int to, bool is_list)
	{
		uint64_t from = is_list ? 0 : config_version(nodes[to]);

		answers.push_back({to, false, from, 0, platform.batch()});
	}

	void ask_peer(int to, int peer)
	{
		struct config_request request = {config_version(nodes[to]),
						 config_content_hash(nodes[to]),
						 config_takes_changes(nodes[to])};
		char *json;
		size_t size;

		config_record_peer_version(nodes[to], config_version(nodes[peer]));
		if (config_write_batch(nodes[peer], &request, &json, &size, nullptr) != 0)
			return;
		answers.push_back({to, true, 0, config_ticket(nodes[to]), std::string(json, size)});
		answers_with_changes +=
			answers.back().json.find("\"changes\"") != std::string::npos;
		free(json);
	}

	void deliver(const Answer &answer)
	{
		int rc = answer.is_from_peer
				 ? config_apply_peer_batch(nodes[answer.to], answer.ticket,
							   answer.json.data(), answer.json.size(),
							   nullptr)
				 : config_apply_batch(nodes[answer.to], answer.from,
						      answer.json.data(), answer.json.size(),
						      nullptr);

		RC_ASSERT(rc == 0);
		check(answer.to);
	}

	void check(int index)
	{
		struct routing *routing = config_routing(nodes[index]);
		Routes found;

		for (uint32_t i = 0; routing && i < routing->route_count; i++)
			found[routing->routes[i].prefix] = routing->routes[i].timeout_ms;
		RC_ASSERT(!routing || found == platform.history.at(routing->number));
		// A node has every change up to the version that it announces.
		RC_ASSERT((routing ? routing->number : 0) >= config_version(nodes[index]));
	}

	void run_step(uint8_t what, uint8_t a, uint8_t b)
	{
		size_t pick = answers.empty() ? 0 : b % answers.size();

		if (what < 3)
			platform.change(a, b);
		else if (what < 5)
			ask_platform(a % node_count, b % 4 == 0);
		else if (what < 8)
			ask_peer(a % node_count, b % node_count);
		else if (what == 8 && !answers.empty())
			deliver(Answer(answers[pick]));
		else if (what == 9 && !answers.empty())
			answers.erase(answers.begin() + (long)pick);
		else if (!answers.empty()) {
			Answer answer = answers[pick];

			answers.erase(answers.begin() + (long)pick);
			deliver(answer);
		}
	}
};

std::vector<std::vector<uint8_t>> draw_steps()
{
	auto step = rc::gen::container<std::vector<uint8_t>>(3, rc::gen::inRange<uint8_t>(0, 13));

	return *rc::gen::scale(4.0, rc::gen::container<std::vector<std::vector<uint8_t>>>(step));
}

} // namespace

RC_GTEST_PROP(ConfigRoutes, RoutesInForceAreThoseOfTheVersionInForce, ())
{
	World world;

	for (const auto &step : draw_steps())
		world.run_step(step[0], step[1], step[2]);
}

// A second request follows where changes do not fit: it gets the whole object.
RC_GTEST_PROP(ConfigRoutes, NodeHasTheNewestRoutesOfItsPeerAfterTwoRequestsAtMost, ())
{
	World world;

	for (const auto &step : draw_steps())
		world.run_step(step[0], step[1], step[2]);
	world.answers.clear();
	world.ask_platform(0, true);
	world.deliver(world.answers.back());
	for (int i = 1; i < node_count; i++) {
		for (int request = 0; request < 2; request++) {
			world.ask_peer(i, 0);
			world.deliver(world.answers.back());
		}
		RC_ASSERT(config_version(world.nodes[i]) == world.platform.version);
		RC_ASSERT(config_is_ready(world.nodes[i]));
	}
}

// The properties above would hold without changes, too.
TEST(ConfigRoutes, PeerThatIsBehindGetsChanges)
{
	World world;

	for (int i = 0; i < node_count; i++) {
		world.ask_platform(i, true);
		world.deliver(world.answers.back());
	}
	for (int i = 1; i < 5; i++) {
		world.platform.change(i, i);
		world.ask_platform(0, false);
		world.deliver(world.answers.back());
		world.ask_peer(1, 0);
		world.deliver(world.answers.back());
		EXPECT_EQ(config_version(world.nodes[1]), world.platform.version);
	}
	EXPECT_EQ(world.answers_with_changes, 4);
}
