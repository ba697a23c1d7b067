// Routing objects: customers, allowed regions and limits of callers.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "fescuemill/fleet/routing_json.h"
}

namespace
{

struct Read {
	routing table{};
	struct random rng {
	};
	error err{};
	int status;

	explicit Read(const std::string &members)
	{
		std::string text = R"({"number":1,"routes":[],"services":[])" + members + "}";
		json_t *json = json_loads(text.c_str(), 0, nullptr);

		EXPECT_TRUE(json) << text;
		random_seed(&rng, 1);
		status = routing_read(json, &rng, &table, &err);
		json_decref(json);
	}
	~Read()
	{
		routing_free(&table);
	}
	Read(const Read &) = delete;
	Read &operator=(const Read &) = delete;

	const customer *find(const std::string &key) const
	{
		return customer_find_by_key(&table.customers, key.data(), key.size());
	}
};

TEST(RoutingJson, ReadsCustomers)
{
	Read read(R"(,"customers":[
		{"name":"shop","keys":["k1","k2"],"rank":3,"calls_per_s":12.5,"burst":40,
		 "regions":["north"]},
		{"name":"bank","keys":[]}])");
	const customer *shop = read.find("k2");

	ASSERT_EQ(0, read.status) << read.err.detail;
	ASSERT_EQ(2u, read.table.customers.count);
	ASSERT_TRUE(shop);
	EXPECT_STREQ("shop", shop->name);
	EXPECT_EQ(customer_id_of("shop"), shop->id);
	EXPECT_EQ(3u, shop->rank);
	EXPECT_EQ(12500u, shop->rate_milli);
	EXPECT_EQ(40u, shop->burst);
	EXPECT_TRUE(region_set_allows(&shop->regions, region_id_of("north")));
	EXPECT_FALSE(region_set_allows(&shop->regions, region_id_of("south")));
	const customer *bank = customer_find_by_id(&read.table.customers, customer_id_of("bank"));
	ASSERT_TRUE(bank);
	EXPECT_EQ(0u, bank->rate_milli);
	EXPECT_FALSE(bank->regions.is_limited);
}

TEST(RoutingJson, HasNoCustomersWithoutTheMember)
{
	Read read("");

	ASSERT_EQ(0, read.status);
	EXPECT_EQ(0u, read.table.customers.count);
	EXPECT_EQ(0u, read.table.limits.header_bytes_max);
	EXPECT_EQ(nullptr, read.find("k1"));
}

// Guards against a customer whose keys are dropped in part, or an error that shows a key.
TEST(RoutingJson, RefusesMalformedCustomersWithoutShowingKeys)
{
	for (const char *members : {
		     R"(,"customers":{})",
		     R"(,"customers":[{"keys":["secret-1"]}])",
		     R"(,"customers":[{"name":"","keys":["secret-1"]}])",
		     R"(,"customers":[{"name":"a"}])",
		     R"(,"customers":[{"name":"a","keys":"secret-1"}])",
		     R"(,"customers":[{"name":"a","keys":["secret-1",""]}])",
		     R"(,"customers":[{"name":"a","keys":["secret-1",7]}])",
		     R"(,"customers":[{"name":"a","keys":["secret-1"],"rank":"x"}])",
		     R"(,"customers":[{"name":"a","keys":["secret-1"],"calls_per_s":-1}])",
		     R"(,"customers":[{"name":"a","keys":["secret-1"],"regions":"x"}])",
	     }) {
		Read read(members);

		EXPECT_EQ(-1, read.status) << members;
		EXPECT_EQ(nullptr, strstr(read.err.detail, "secret")) << read.err.detail;
	}
}

TEST(RoutingJson, ReadsLimitsOfCallers)
{
	Read read(R"(,"limits":{"header_bytes_max":16384,"body_bytes_max":67108864,
		"header_timeout_ms":3000,"idle_timeout_ms":15000})");

	ASSERT_EQ(0, read.status);
	EXPECT_EQ(16384u, read.table.limits.header_bytes_max);
	EXPECT_EQ(67108864u, read.table.limits.body_bytes_max);
	EXPECT_EQ(3000u, read.table.limits.header_timeout_ms);
	EXPECT_EQ(15000u, read.table.limits.idle_timeout_ms);
}

} // namespace
