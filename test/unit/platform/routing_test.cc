// Translation of the platform's configuration: tenants, exempt paths, allowed regions, limits.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "adapter.h"
#include "fescuemill/fleet/routing_json.h"
}

namespace
{

struct Translated {
	routing table{};
	struct random rng {
	};
	error err{};
	int status = -1;

	explicit Translated(const std::string &text)
	{
		json_t *configuration = json_loads(text.c_str(), 0, nullptr);
		json_t *json = platform_translate_routing(configuration);

		EXPECT_TRUE(json);
		random_seed(&rng, 1);
		status = routing_read(json, &rng, &table, &err);
		json_decref(json);
		json_decref(configuration);
	}
	~Translated()
	{
		routing_free(&table);
	}
	Translated(const Translated &) = delete;
	Translated &operator=(const Translated &) = delete;

	const customer *find(const char *key) const
	{
		return customer_find_by_key(&table.customers, key, strlen(key));
	}
	const route *find_route(const char *path)
	{
		return routing_find_route(&table, "x", 1, path, strlen(path));
	}
};

const std::string PATHS = R"("version":"1a","services":[{"name":"s","cold_per_s":2.5,
	"cold_start_s":8}],"virtual_hosts":[{"host":"x","paths":[
	{"path_prefix":"/open/","service":"s","auth_exempt":true,"timeout_ms":100,"priority":4},
	{"path_prefix":"/far/","service":"s","allowed_regions":["north"],"timeout_ms":100,
	 "kind":"download"},
	{"path_prefix":"/any/","service":"s","auth_exempt":false,"allowed_regions":[],
	 "timeout_ms":100}]}])";

TEST(PlatformRouting, TranslatesTenants)
{
	Translated read("{" + PATHS + R"(,"tenants":[
		{"name":"shop","api_keys":["k1","k2"],"priority":2,"rate_per_s":40,"burst":80,
		 "allowed_regions":["north","south"]},
		{"name":"bank","api_keys":["k3"],"priority":0,"rate_per_s":0,"burst":0,
		 "allowed_regions":[]}]})");

	ASSERT_EQ(0, read.status) << read.err.detail;
	ASSERT_EQ(2u, read.table.customers.count);
	ASSERT_TRUE(read.find("k2"));
	EXPECT_STREQ("shop", read.find("k2")->name);
	EXPECT_EQ(2u, read.find("k2")->rank);
	EXPECT_EQ(40000u, read.find("k2")->rate_milli);
	EXPECT_EQ(80u, read.find("k2")->burst);
	EXPECT_FALSE(region_set_allows(&read.find("k2")->regions, region_id_of("east")));
	EXPECT_TRUE(region_set_allows(&read.find("k3")->regions, region_id_of("east")));
	EXPECT_EQ(0u, read.find("k3")->rate_milli);
}

TEST(PlatformRouting, TranslatesExemptPathsAndAllowedRegions)
{
	Translated read("{" + PATHS + "}");

	ASSERT_EQ(0, read.status) << read.err.detail;
	EXPECT_TRUE(read.find_route("/open/")->customer_exempt);
	EXPECT_FALSE(read.find_route("/far/")->customer_exempt);
	EXPECT_FALSE(read.find_route("/any/")->customer_exempt);
	EXPECT_TRUE(read.find_route("/far/")->idempotent);
	EXPECT_FALSE(region_set_allows(&read.find_route("/far/")->regions, region_id_of("south")));
	EXPECT_FALSE(read.find_route("/any/")->regions.is_limited);
	EXPECT_EQ(2500u, routing_find_service(&read.table, "s")->cold_rate_milli);
	EXPECT_EQ(8000u, routing_find_service(&read.table, "s")->cold_start_ms);
}

// A configuration of an earlier deployment has no tenants: its calls need no key.
TEST(PlatformRouting, HasNoCustomersWithoutTenants)
{
	Translated read("{" + PATHS + "}");

	ASSERT_EQ(0, read.status) << read.err.detail;
	EXPECT_EQ(0u, read.table.customers.count);
	EXPECT_EQ(1u, routing_find_service(&read.table, "s")->config.class_count - 1);
}

TEST(PlatformRouting, TranslatesLimits)
{
	Translated read("{" + PATHS + R"(,"limits":{"max_header_bytes":16384,
		"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");

	ASSERT_EQ(0, read.status) << read.err.detail;
	EXPECT_EQ(16384u, read.table.limits.header_bytes_max);
	EXPECT_EQ(67108864u, read.table.limits.body_bytes_max);
	EXPECT_EQ(3000u, read.table.limits.header_timeout_ms);
	EXPECT_EQ(15000u, read.table.limits.idle_timeout_ms);
}

} // namespace
