// Unit tests of the shell of allotments: nodes whose gossip is connected without sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "fescuemill/base/clock.h"
#include "fescuemill/base/log.h"
#include "fescuemilld/entry/entry_allotment.h"
#include "fescuemilld/node/allotment_shell.h"
}

namespace
{

std::string routing(int version, int calls_per_s)
{
	std::string customer = R"({"name":"acme","keys":["key-of-acme"],"calls_per_s":)" +
			       std::to_string(calls_per_s) + R"(,"burst":)" +
			       std::to_string(calls_per_s) + "}";
	std::string value =
		R"({"number":)" + std::to_string(version) +
		R"(,"routes":[{"name":"r","host":"h","prefix":"/","idempotent":true,)"
		R"("timeout_ms":2000,"latency_ms":500,"rank":0,"attempts":2,"services":)"
		R"([{"service":"s","weight":1}]}],"services":[{"name":"s"}],"customers":[)" +
		customer + "]}";

	return R"({"version":)" + std::to_string(version) +
	       R"(,"items":[{"name":"main","version":)" + std::to_string(version) + R"(,"value":)" +
	       value + "}]}";
}

struct Fleet;

struct Node {
	Fleet *fleet = nullptr;
	uint32_t index = 0;
	uv_loop_t loop = {};
	struct member_table *members = nullptr;
	struct config_store *config = nullptr;
	struct budget budget = {};
	struct gossip *gossip = nullptr;
	struct allotment_shell *shell = nullptr;
	uint32_t sent = 0;
	bool is_silent = false;
};

struct Fleet {
	std::vector<std::unique_ptr<Node>> nodes;

	static struct member member_of(uint32_t index)
	{
		struct member member = {};

		snprintf(member.name, sizeof(member.name), "node-%u", index);
		strcpy(member.region, "north");
		strcpy(member.domain, "north-a");
		member.identity = {member_id_of(member.name), 1};
		member.internal = {index + 1, 1, 1};
		return member;
	}

	static void send(void *user, uint32_t ip, uint16_t, const uint8_t *data, size_t size)
	{
		Node *node = (Node *)user;
		Node *to = node->fleet->nodes[ip - 1].get();

		node->sent++;
		if (!node->is_silent && !to->is_silent)
			gossip_receive(to->gossip, node->index + 1, 1, data, size,
				       clock_monotonic_us());
	}

	static void receive(void *user, uint64_t node_id, const uint8_t *data, size_t size)
	{
		allotment_shell_receive(((Node *)user)->shell, node_id, data, size,
					clock_monotonic_us());
	}

	explicit Fleet(uint32_t count)
	{
		log_set_level(LOG_WARNING);
		for (uint32_t i = 0; i < count; i++)
			nodes.push_back(std::make_unique<Node>());
		for (uint32_t i = 0; i < count; i++)
			open(i);
	}

	void open(uint32_t index)
	{
		Node &node = *nodes[index];
		struct member self = member_of(index);
		struct gossip_io io = {};
		struct error err;

		node.fleet = this;
		node.index = index;
		uv_loop_init(&node.loop);
		member_table_open(&node.members, &err);
		for (uint32_t i = 0; i < nodes.size(); i++) {
			struct member other = member_of(i);

			member_upsert(node.members, &other);
		}
		config_open(&node.config, 1, &err);
		budget_init(&node.budget, 1000000000, 1000000000, clock_monotonic_us());
		io.send = send;
		io.user = &node;
		io.allotment = receive;
		gossip_open(&node.gossip, &self, node.members, &node.budget, &io, 1,
			    clock_monotonic_us(), &err);
		struct allotment_shell_options options = {node.gossip, node.members, node.config,
							  index};
		allotment_shell_open(&node.shell, &node.loop, &options, &err);
	}

	void configure(int version, int calls_per_s)
	{
		std::string json = routing(version, calls_per_s);
		struct error err;

		for (auto &node : nodes) {
			ASSERT_EQ(0, config_apply_batch(node->config, version - 1, json.data(),
							json.size(), &err))
				<< err.detail;
			allotment_shell_refresh(node->shell, clock_monotonic_us());
		}
	}

	const struct customer *customer(uint32_t index)
	{
		return &config_routing(nodes[index]->config)->customers.list[0];
	}

	enum call_reason take(uint32_t index, uint32_t *retry_ms)
	{
		struct call_request req = {};

		return entry_allotment_take(nodes[index]->shell, customer(index), &req, nullptr,
					    retry_ms);
	}

	void run(uint64_t for_us)
	{
		uint64_t end_us = clock_monotonic_us() + for_us;

		while (clock_monotonic_us() < end_us) {
			for (auto &node : nodes)
				uv_run(&node->loop, UV_RUN_NOWAIT);
		}
	}

	struct allotment_view view(uint32_t index)
	{
		struct allotment_view view = {};

		allotment_shell_view(nodes[index]->shell, customer(index), clock_monotonic_us(),
				     &view);
		return view;
	}

	~Fleet()
	{
		for (auto &node : nodes) {
			allotment_shell_close(node->shell);
			uv_run(&node->loop, UV_RUN_DEFAULT);
			uv_loop_close(&node->loop);
			gossip_close(node->gossip);
			member_table_close(node->members);
			config_close(node->config);
		}
	}
};

} // namespace

// Guards against traffic and timers at deployments without limits.
TEST(AllotmentShell, IsIdleWithoutLimits)
{
	Fleet fleet(3);
	uint32_t retry_ms;

	fleet.configure(1, 0);
	for (uint32_t i = 0; i < 100; i++)
		EXPECT_EQ(REASON_NONE, fleet.take(0, &retry_ms));
	fleet.run(50000);
	for (auto &node : fleet.nodes) {
		EXPECT_EQ(0U, node->sent);
		EXPECT_EQ(0, uv_loop_alive(&node->loop));
	}
}

TEST(AllotmentShell, EntriesReportToOneHomeAndHearItsShare)
{
	Fleet fleet(3);
	uint32_t admitted = 0;
	uint32_t retry_ms = 0;
	uint32_t most_ms = 0;
	uint64_t start_us = clock_monotonic_us();

	fleet.configure(1, 100);
	for (uint32_t ms = 0; ms < 3000; ms += 2) { // 1,500 calls a second at three entries
		for (uint32_t i = 0; i < 3; i++)
			admitted += fleet.take(i, &retry_ms) == REASON_NONE;
		most_ms = std::max(most_ms, retry_ms); // 0 for a call that was let through
		fleet.run(2000);
	}
	EXPECT_GE(admitted, 250U);
	// The run may take longer than its 3 s on a busy machine.
	EXPECT_LE(admitted, (100 + 1e-4 * (double)(clock_monotonic_us() - start_us)) * 1.1 + 20);
	EXPECT_GE(most_ms, 20U);
	uint32_t homes = 0;
	for (uint32_t i = 0; i < 3; i++) {
		struct allotment_view view = fleet.view(i);

		homes += view.is_home;
		EXPECT_EQ(fleet.view(0).home, view.home);
		EXPECT_EQ(ALLOTMENT_BY_SHARE, view.basis);
		EXPECT_LT(view.share, 1.0);
		EXPECT_GT(view.refused, 0U);
		EXPECT_EQ(view.offered, view.admitted + view.refused);
		EXPECT_EQ(view.is_home ? 3U : 0U, view.entries);
	}
	EXPECT_EQ(1U, homes);
}

TEST(AllotmentShell, EntryWithoutItsHomeUsesAnEqualPart)
{
	Fleet fleet(3);
	uint32_t admitted = 0;
	uint32_t retry_ms = 0;

	fleet.configure(1, 90);
	uint32_t home = 0;
	while (!fleet.view(home).is_home)
		home++;
	uint32_t entry = (home + 1) % 3;
	fleet.nodes[home]->is_silent = true;
	// Counted by the clock: on a busy machine the calls come more slowly than every 2 ms.
	uint64_t start_us = clock_monotonic_us() + 1500000;
	uint64_t now_us = 0;
	while ((now_us = clock_monotonic_us()) < start_us + 2000000) {
		bool is_admitted = fleet.take(entry, &retry_ms) == REASON_NONE;

		admitted += is_admitted && now_us >= start_us;
		fleet.run(2000);
	}
	EXPECT_EQ(ALLOTMENT_EQUAL, fleet.view(entry).basis);
	EXPECT_NEAR(60, admitted, 20); // 30 a second
}

TEST(AllotmentShell, GivenBackCallsAreCountedOnce)
{
	Fleet fleet(1);
	uint32_t retry_ms = 0;

	fleet.configure(1, 100);
	ASSERT_EQ(REASON_NONE, fleet.take(0, &retry_ms));
	entry_allotment_give_back(fleet.nodes[0]->shell, fleet.customer(0)->id);
	entry_allotment_give_back(fleet.nodes[0]->shell, fleet.customer(0)->id);
	EXPECT_EQ(1U, fleet.view(0).given_back);
}

namespace
{

struct Decision {
	int count = 0;
	enum call_reason reason = REASON_NONE;
	uint32_t retry_ms = 0;

	static void decided(void *user, enum call_reason reason, uint32_t retry_ms)
	{
		Decision *decision = (Decision *)user;

		decision->count++;
		decision->reason = reason;
		decision->retry_ms = retry_ms;
	}
};

// Takes calls until the entry has admitted what it may admit unasked; returns when one waits.
void take_until_held(Fleet &fleet, uint32_t index, struct allotment_waiter *waiter, Decision *to)
{
	static const struct call_request req = {};
	uint32_t retry_ms;

	waiter->on_decided = Decision::decided;
	waiter->user = to;
	for (uint32_t i = 0; i < 1000 && !waiter->is_waiting; i++)
		entry_allotment_take(fleet.nodes[index]->shell, fleet.customer(index), &req, waiter,
				     &retry_ms);
	ASSERT_TRUE(waiter->is_waiting);
}

} // namespace

// Guards against refusals of small customers at entries that have no word yet.
TEST(AllotmentShell, CallWithoutAWordWaitsForTheHome)
{
	Fleet fleet(3);
	struct allotment_waiter waiter = {};
	Decision decision;

	fleet.configure(1, 100);
	take_until_held(fleet, 0, &waiter, &decision);
	fleet.run(200000);
	EXPECT_EQ(1, decision.count);
	EXPECT_EQ(REASON_NONE, decision.reason);
	EXPECT_FALSE(waiter.is_waiting);
}

TEST(AllotmentShell, CallIsRefusedWhenTheHomeDoesNotAnswer)
{
	Fleet fleet(3);
	struct allotment_waiter waiter = {};
	Decision decision;
	uint32_t home = 0;

	fleet.configure(1, 100);
	while (!fleet.view(home).is_home)
		home++;
	fleet.nodes[home]->is_silent = true;
	take_until_held(fleet, (home + 1) % 3, &waiter, &decision);
	fleet.run(200000);
	EXPECT_EQ(1, decision.count);
	EXPECT_EQ(REASON_ALLOTMENT, decision.reason);
	EXPECT_GE(decision.retry_ms, 20U);
}

TEST(AllotmentShell, WithdrawnCallIsNotDecided)
{
	Fleet fleet(3);
	struct allotment_waiter waiter = {};
	Decision decision;

	fleet.configure(1, 100);
	take_until_held(fleet, 0, &waiter, &decision);
	entry_allotment_cancel(&waiter);
	entry_allotment_cancel(&waiter);
	fleet.run(200000);
	EXPECT_EQ(0, decision.count);
}
