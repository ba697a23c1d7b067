// Where an entry sends the attempts of a call. Guards against a call that leaves the regions which
// the configuration in force allows: while it waits between two attempts, the list may narrow.
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <string>

extern "C" {
#include "fescuemill/base/log.h"
#include "fescuemilld/entry/entry_defs.h"
#include "fescuemilld/entry/entry_placement.h"
#include "fescuemilld/entry/entry_service.h"
}

namespace
{

struct RouteText {
	std::string name = "r";
	std::string prefix = "/";
	std::string regions; // list in JSON; empty: no list
};

std::string routing_text(int number, const std::vector<RouteText> &routes)
{
	std::string list;

	for (const RouteText &route : routes) {
		list += list.empty() ? "" : ",";
		list += R"({"name":")" + route.name + R"(","host":"h","prefix":")" + route.prefix +
			R"(","idempotent":true,"timeout_ms":2000,"latency_ms":100,"rank":3,)" +
			R"("attempts":4,"services":[{"service":"catalogue","weight":1}])" +
			(route.regions.empty() ? "" : R"(,"regions":)" + route.regions) + "}";
	}
	return R"({"number":)" + std::to_string(number) + R"(,"routes":[)" + list +
	       R"(],"services":[{"name":"catalogue"}]})";
}

class EntryPlacement : public ::testing::Test
{
      protected:
	std::unique_ptr<struct entry> entry = std::make_unique<struct entry>();
	std::unique_ptr<settings> own = std::make_unique<settings>();
	struct entry_call call {
	};
	call_request request{};
	int version = 0;
	error err{};

	void SetUp() override
	{
		memset(entry.get(), 0, sizeof(*entry));
		memset(own.get(), 0, sizeof(*own));
		strcpy(own->region, "here");
		strcpy(own->failure_domain, "here-1");
		own->key_retention_ms = 600000;
		own->key_spread_ms = 1000;
		log_set_level(LOG_ERROR);
		entry->options.settings = own.get();
		entry->options.identity = {1, 1};
		entry->options.region_is_usable = [](void *, const char *) { return true; };
		ASSERT_EQ(0, config_open(&entry->options.config, 1, &err));
		ASSERT_EQ(0, member_table_open(&entry->options.members, &err));
		ASSERT_EQ(0, key_members_open(&key_owners, entry->options.members, &evacuations,
					      &err));
		entry->options.key_members = key_owners;
		entry->options.evacuations = &evacuations;
		entry_service_settings(own.get(), 1, &entry->choice_settings);
		random_seed(&entry->rng, 1);
	}

	void TearDown() override
	{
		entry_services_free(entry.get());
		key_members_close(key_owners);
		member_table_close(entry->options.members);
		config_close(entry->options.config);
	}

	// Puts routes in force, in place of the earlier ones.
	void configure(const std::vector<RouteText> &routes)
	{
		std::string number = std::to_string(++version);
		std::string json = R"({"version":)" + number + R"(,"items":[{"name":"main",)" +
				   R"("version":)" + number + R"(,"value":)" +
				   routing_text(version, routes) + "}]}";

		ASSERT_EQ(0, config_apply_batch(entry->options.config, (uint64_t)version - 1,
						json.data(), json.size(), &err))
			<< err.detail;
		ASSERT_NE(nullptr, config_routing(entry->options.config));
	}

	uint64_t add_gate(const char *name, const char *region, const char *domain)
	{
		member gate{};

		strcpy(gate.name, name);
		strcpy(gate.region, region);
		strcpy(gate.domain, domain);
		strcpy(gate.service, "catalogue");
		gate.identity = {member_id_of(name), 1};
		gate.internal = {0x7f000001, 1, 2};
		gate.backend = BACKEND_READY;
		gate.slots = 6;
		member_upsert(entry->options.members, &gate);
		return gate.identity.node_id;
	}

	// Begins a call of the route in force that matches its path, as entry_classify() does.
	void begin(const char *path = "/x")
	{
		attempt_entry_settings state{};
		route *found = routing_find_route(config_routing(entry->options.config), "h", 1,
						  path, strlen(path));

		ASSERT_NE(nullptr, found);
		request.host = {(const uint8_t *)"h", 1};
		request.path = {(const uint8_t *)path, (uint32_t)strlen(path)};
		call.entry = entry.get();
		call.request = &request;
		call.service = entry_service_get(entry.get(), "catalogue", &err);
		ASSERT_NE(nullptr, call.service);
		call.service->preconnected_us = UINT64_MAX / 2; // opens no connections
		snprintf(call.route, sizeof(call.route), "%s", found->name);
		state.deadline_us = UINT64_MAX;
		state.servers_max = 4;
		attempt_entry_init(&call.state, &state);
		entry_placement_start(&call, &found->regions, nullptr);
	}

	// Lets the gate refuse the call, as after an attempt that found no free slot.
	void refuse(uint64_t node_id)
	{
		call.state.attempts++;
		call.state.last_reason = REASON_OVERLOAD;
		call.state.excluded[call.state.excluded_count++] = node_id;
	}

	call_reason select(uint64_t *node_id)
	{
		node_incarnation gate{};
		call_reason reason = entry_placement_select(&call, &gate);

		*node_id = gate.node_id;
		return reason;
	}

	void order(const char *domain, uint64_t at_version, bool is_ordered)
	{
		evacuation heard{};

		strcpy(heard.domain, domain);
		heard.version = at_version;
		heard.is_ordered = is_ordered;
		EXPECT_EQ(EVACUATION_CHANGED, evacuation_apply(&evacuations, &heard, "test", 1));
	}

	struct key_members *key_owners = nullptr;
	evacuation_table evacuations{};
};

// A queue that waits when its route's regions narrow: the call that a full gate refused goes only
// to the regions that are left, although a near gate is free.
TEST_F(EntryPlacement, CallBetweenTwoAttemptsObeysNarrowedRegions)
{
	uint64_t first = add_gate("g1", "here", "here-1");
	uint64_t node_id;

	add_gate("g2", "here", "here-1");
	uint64_t far = add_gate("g3", "there", "there-1");
	configure({{"r", "/", R"(["here","there"])"}});
	begin();
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_NE(far, node_id);
	refuse(first);
	configure({{"r", "/", R"(["there"])"}});
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_EQ(far, node_id);
	refuse(far);
	EXPECT_EQ(REASON_OVERLOAD, select(&node_id));
	configure({{"r", "/", R"(["elsewhere"])"}});
	EXPECT_EQ(REASON_REGION, select(&node_id));
}

TEST_F(EntryPlacement, RemovedLimitIsLiftedAtTheNextAttempt)
{
	uint64_t near = add_gate("g1", "here", "here-1");
	uint64_t node_id;

	configure({{"r", "/", R"(["there"])"}});
	begin();
	EXPECT_EQ(REASON_REGION, select(&node_id));
	configure({{"r", "/", ""}});
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_EQ(near, node_id);
	EXPECT_FALSE(call.placement.regions.is_limited);
}

// The route is removed while a call of it is on its way. A broader route without a list takes its
// path over; the call must not follow it out of its regions.
TEST_F(EntryPlacement, CallWhoseRouteIsGoneKeepsItsRegions)
{
	uint64_t node_id;

	add_gate("g1", "here", "here-1");
	uint64_t far = add_gate("g2", "there", "there-1");
	configure({{"all", "/", ""}, {"own", "/own/", R"(["there"])"}});
	begin("/own/1");
	configure({{"all", "/", ""}});
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_EQ(far, node_id);
	configure({{"other", "/other/", ""}});
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_EQ(far, node_id);
}

// The owner of an idempotency key is in a region that the call must not enter.
TEST_F(EntryPlacement, KeyOfAnOwnerInAnotherRegionIsRefused)
{
	uint64_t node_id;

	add_gate("g1", "here", "here-1");
	configure({{"r", "/", R"(["there"])"}});
	begin();
	call.state.keyed = true;
	request.key = {(const uint8_t *)"k", 1};
	EXPECT_EQ(REASON_REGION, select(&node_id));
}

// A call that waits between two attempts while the domain of the near gates is evacuated.
TEST_F(EntryPlacement, NextAttemptAvoidsADomainThatIsEvacuatedMeanwhile)
{
	uint64_t near = add_gate("g1", "here", "here-1");
	uint64_t other = add_gate("g2", "here", "here-2");
	uint64_t node_id;

	add_gate("g3", "here", "here-1");
	configure({{"r", "/", ""}});
	begin();
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_NE(other, node_id);
	refuse(near);
	order("here-1", 7, true);
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_EQ(other, node_id);
	order("here-2", 8, true);
	EXPECT_EQ(REASON_EVACUATED, select(&node_id));
	order("here-1", 9, false);
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_NE(other, node_id);
}

// The owner of a key is evacuated. Until its node announces that it has given up its keys it may
// still run calls with them, so no other gate may.
TEST_F(EntryPlacement, KeyOfAnEvacuatedOwnerMovesOnlyOnceTheOwnerHasGivenItUp)
{
	uint64_t owner = 0;
	uint64_t node_id;
	uint64_t gates[] = {add_gate("g1", "here", "here-1"), add_gate("g2", "here", "here-2")};

	configure({{"r", "/", ""}});
	begin();
	call.state.keyed = true;
	request.key = {(const uint8_t *)"k", 1};
	ASSERT_EQ(REASON_NONE, select(&owner));
	member known = *member_find(entry->options.members, owner);
	order(known.domain, 7, true);
	EXPECT_EQ(REASON_EVACUATED, select(&node_id));
	known.revision++;
	known.backend = BACKEND_DRAINING;
	ASSERT_EQ(MEMBER_UPDATED, member_upsert(entry->options.members, &known));
	key_members_record_leaving(key_owners);
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_EQ(owner == gates[0] ? gates[1] : gates[0], node_id);
	// The hosts of the domain are switched off: their keys stay where they are.
	known.revision++;
	known.state = MEMBER_DEAD;
	ASSERT_EQ(MEMBER_UPDATED, member_upsert(entry->options.members, &known));
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_NE(owner, node_id);
}

TEST_F(EntryPlacement, UnlimitedRouteUsesTheNearGateAndSendsNoRegions)
{
	uint64_t near = add_gate("g1", "here", "here-1");
	uint64_t node_id;

	configure({{"r", "/", ""}});
	begin();
	ASSERT_EQ(REASON_NONE, select(&node_id));
	EXPECT_EQ(near, node_id);
	EXPECT_FALSE(call.placement.regions.is_limited);
}

} // namespace
