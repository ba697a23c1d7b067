// Routes: longest prefix, hosts, exact shares of traffic splits, derived classes.
#include <cmath>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "fescuemill/fleet/routing_json.h"
}

namespace
{

struct Routes {
	routing table{};
	struct random rng {
	};
	error err{};
	int status;

	explicit Routes(const std::string &routes,
			const std::string &services = R"([{"name":"a"},{"name":"b"},{"name":"c"}])")
	{
		std::string text =
			R"({"number":7,"routes":)" + routes + R"(,"services":)" + services + "}";
		json_t *json = json_loads(text.c_str(), 0, nullptr);

		EXPECT_TRUE(json) << text;
		random_seed(&rng, 7);
		status = routing_read(json, &rng, &table, &err);
		json_decref(json);
	}
	~Routes()
	{
		routing_free(&table);
	}
	Routes(const Routes &) = delete;
	Routes &operator=(const Routes &) = delete;

	route *find(const std::string &host, const std::string &path)
	{
		return routing_find_route(&table, host.data(), host.size(), path.data(),
					  path.size());
	}
	std::string name(const std::string &host, const std::string &path)
	{
		route *found = find(host, path);
		return found ? found->name : "";
	}
};

std::string route_json(const std::string &name, const std::string &host, const std::string &prefix,
		       const std::string &services = R"([{"service":"a","weight":1}])",
		       int rank = 0, int latency = 500)
{
	return R"({"name":")" + name + R"(","host":")" + host + R"(","prefix":")" + prefix +
	       R"(","idempotent":true,"timeout_ms":2000,"latency_ms":)" + std::to_string(latency) +
	       R"(,"rank":)" + std::to_string(rank) + R"(,"attempts":2,"services":)" + services +
	       "}";
}

TEST(Route, LongestPrefixOfTheHostMatches)
{
	Routes routes("[" + route_json("short", "x.example", "/a/") + "," +
		      route_json("long", "x.example", "/a/b/") + "," +
		      route_json("other", "y.example", "/a/") + "]");

	ASSERT_EQ(0, routes.status) << routes.err.detail;
	EXPECT_EQ("long", routes.name("x.example", "/a/b/c"));
	EXPECT_EQ("long", routes.name("X.Example", "/a/b/?q=/"));
	EXPECT_EQ("short", routes.name("x.example", "/a/bc"));
	EXPECT_EQ("other", routes.name("y.example", "/a/b/c"));
	EXPECT_EQ("", routes.name("x.example", "/a"));
	EXPECT_EQ("", routes.name("x.example", "/b?/a/"));
	EXPECT_EQ("", routes.name("x.exampl", "/a/"));
	EXPECT_EQ("", routes.name("z.example", "/a/"));
}

TEST(Route, LookupFindsEachOf500Routes)
{
	std::string list = "[";

	for (int i = 0; i < 500; i++)
		list += (i ? "," : "") + route_json("r" + std::to_string(i),
						    "h" + std::to_string(i % 7) + ".example",
						    "/p" + std::to_string(i) + "/");
	Routes routes(list + "]");
	ASSERT_EQ(0, routes.status) << routes.err.detail;
	for (int i = 0; i < 500; i++)
		EXPECT_EQ("r" + std::to_string(i),
			  routes.name("h" + std::to_string(i % 7) + ".example",
				      "/p" + std::to_string(i) + "/x"));
}

TEST(Route, SplitSharesStayExactOverAnyNumberOfRequests)
{
	Routes routes("[" +
		      route_json("split", "x", "/",
				 R"([{"service":"a","weight":90},{"service":"b","weight":9},)"
				 R"({"service":"c","weight":1}])") +
		      "]");
	std::map<std::string, int> seen;

	ASSERT_EQ(0, routes.status) << routes.err.detail;
	for (int i = 1; i <= 1000; i++) {
		seen[route_pick_part(routes.find("x", "/"))->service]++;
		EXPECT_NEAR(seen["a"], 0.90 * i, 3);
		EXPECT_NEAR(seen["b"], 0.09 * i, 3);
	}
	EXPECT_NEAR(seen["c"], 10, 3);
}

TEST(Route, PartWithWeightZeroReceivesNoRequests)
{
	Routes routes("[" +
		      route_json("split", "x", "/",
				 R"([{"service":"a","weight":0},{"service":"b","weight":3}])") +
		      "]");
	for (int i = 0; i < 100; i++)
		EXPECT_STREQ("b", route_pick_part(routes.find("x", "/"))->service);
}

TEST(Route, ClassesAreDerivedFromRankAndObjective)
{
	Routes routes(
		"[" + route_json("one", "x", "/1/", R"([{"service":"a","weight":1}])", 0, 500) +
		"," + route_json("two", "x", "/2/", R"([{"service":"a","weight":1}])", 0, 500) +
		"," + route_json("three", "x", "/3/", R"([{"service":"a","weight":1}])", 2, 500) +
		"]");
	const route_service *service = routing_find_service(&routes.table, "a");

	ASSERT_EQ(0, routes.status) << routes.err.detail;
	EXPECT_EQ(2u, service->config.class_count);
	EXPECT_STREQ(routes.find("x", "/1/")->parts[0].class_name,
		     routes.find("x", "/2/")->parts[0].class_name);
	EXPECT_STRNE(routes.find("x", "/1/")->parts[0].class_name,
		     routes.find("x", "/3/")->parts[0].class_name);
}

TEST(Route, RoutesBeyondTheClassLimitShareClasses)
{
	std::string list = "[";

	for (int i = 0; i < 40; i++)
		list += (i ? "," : "") +
			route_json("r" + std::to_string(i), "x", "/" + std::to_string(i) + "/",
				   R"([{"service":"a","weight":1}])", i % 3, 100 + i);
	Routes routes(list + "]");
	ASSERT_EQ(0, routes.status) << routes.err.detail;
	EXPECT_EQ((uint32_t)CLASSES_PER_SERVICE_MAX,
		  routing_find_service(&routes.table, "a")->config.class_count);
}

// Guards against a whole configuration that is refused for one text or list that is longer than
// usual: the operators' store has accepted it, and the one before would stay in force.
TEST(Route, TextsAndListsOfAnyLengthAreInForce)
{
	const std::string host(300, 'h');
	const std::string prefix = "/" + std::string(4000, 'p') + "/";
	const std::string name(700, 'n');
	const std::string health = "/" + std::string(500, 'c');
	const std::string service(SERVICE_NAME_BYTES - 1, 's');
	std::string parts;

	for (int i = 0; i < 40; i++)
		parts += std::string(i ? "," : "") + R"({"service":")" + (i % 2 ? service : "a") +
			 R"(","weight":1})";
	Routes routes("[" + route_json(name, host, prefix, "[" + parts + "]") + "," +
			      route_json("other", "x", "/") + "]",
		      R"([{"name":"a","health_path":")" + health + R"("},{"name":")" + service +
			      R"("}])");
	ASSERT_EQ(0, routes.status) << routes.err.detail;
	EXPECT_EQ(name, routes.name(host, prefix + "x"));
	EXPECT_EQ("other", routes.name("x", prefix));
	EXPECT_EQ(40u, routes.find(host, prefix)->part_count);
	EXPECT_EQ(service, routes.find(host, prefix)->parts[39].service);
	EXPECT_EQ(health, routing_find_service(&routes.table, "a")->health_path);
	EXPECT_STREQ("", routing_find_service(&routes.table, service.c_str())->health_path);
}

// As above, for numbers.
TEST(Route, NumbersOutOfRangeAreReplacedByTheNearestUsableOnes)
{
	Routes routes(
		R"([{"name":"r","host":"x","prefix":"/","idempotent":true,"timeout_ms":3600000,)"
		R"("latency_ms":0,"rank":1000,"attempts":0,"services":[{"service":"a","weight":1}]},)" +
		route_json("other", "x", "/o/") + "]");

	ASSERT_EQ(0, routes.status) << routes.err.detail;
	EXPECT_EQ(600000u, routes.find("x", "/")->timeout_ms);
	EXPECT_EQ(1u, routes.find("x", "/")->latency_ms);
	EXPECT_EQ(255u, routes.find("x", "/")->rank);
	EXPECT_EQ(1u, routes.find("x", "/")->attempts_max);
	EXPECT_EQ(4u, routes.table.adjusted_count);
}

TEST(Route, SplitByFractionsHasTheirShares)
{
	Routes routes(
		"[" +
		route_json("split", "x", "/",
			   R"([{"service":"a","weight":0.75},{"service":"b","weight":0.25}])") +
		"]");
	std::map<std::string, int> seen;

	ASSERT_EQ(0, routes.status) << routes.err.detail;
	for (int i = 1; i <= 400; i++)
		seen[route_pick_part(routes.find("x", "/"))->service]++;
	EXPECT_NEAR(seen["b"], 100, 3);
}

TEST(Route, InvalidRoutingIsRejectedWithTheErrorKind)
{
	const std::string good = route_json("one", "x", "/1/");

	EXPECT_EQ(ERROR_RANGE, Routes("[" + good + "," + good + "]").err.kind);
	EXPECT_EQ(ERROR_RANGE, Routes("[" + route_json("r", "x", "no-slash") + "]").err.kind);
	EXPECT_EQ(ERROR_RANGE,
		  Routes("[" + route_json("r", "x", "/", R"([{"service":"nobody","weight":1}])") +
			 "]")
			  .err.kind);
	EXPECT_EQ(ERROR_RANGE, Routes("[" + route_json("r", "x", "/", "[]") + "]").err.kind);
	EXPECT_EQ(ERROR_RANGE,
		  Routes("[" + route_json("r", "x", "/", R"([{"service":"a","weight":0}])") + "]")
			  .err.kind);
	EXPECT_EQ(ERROR_MISSING, Routes(R"([{"name":"r"}])").err.kind);
	EXPECT_EQ(ERROR_TYPE, Routes("{}").err.kind);
}

// Returns a routing object with customers of these ranks.
json_t *with_customers(const std::string &routes, const std::vector<int> &ranks)
{
	std::string text = R"({"number":7,"routes":)" + routes + R"(,"services":[{"name":"a"}],)" +
			   R"("customers":[)";

	for (size_t i = 0; i < ranks.size(); i++)
		text += std::string(i ? "," : "") + R"({"name":"c)" + std::to_string(i) +
			R"(","keys":["k)" + std::to_string(i) + R"("],"rank":)" +
			std::to_string(ranks[i]) + "}";
	return json_loads((text + "]}").c_str(), 0, nullptr);
}

// Guards against calls of a customer that are queued by the rank of their route alone, and against
// urgent calls that wait behind less urgent ones of customers of the same rank.
TEST(Route, ClassesFollowTheRanksOfCustomersAndThenThoseOfTheRoutes)
{
	std::string exempt =
		route_json("open", "x", "/open/", R"([{"service":"a","weight":1}])", 9);
	exempt.insert(exempt.size() - 1, R"(,"customer_exempt":true)");
	json_t *json = with_customers(
		"[" + route_json("near", "x", "/n/", R"([{"service":"a","weight":1}])", 3, 100) +
			"," +
			route_json("far", "x", "/f/", R"([{"service":"a","weight":1}])", 7, 900) +
			"," + exempt + "]",
		{4, 0, 4});
	routing table{};
	struct random rng {
	};

	ASSERT_EQ(0, routing_read(json, &rng, &table, nullptr));
	json_decref(json);
	const service_config &config = routing_find_service(&table, "a")->config;
	// The ranks 0 and 4 of customers, and within each the ranks 3, 7 and 9 of routes. The
	// exempt route has the rank of most customers.
	EXPECT_EQ(5u, config.class_count);
	EXPECT_EQ(0u, routing_class_rank(&table, 0, 3));
	EXPECT_EQ(1u, routing_class_rank(&table, 0, 7));
	EXPECT_EQ(3u, routing_class_rank(&table, 4, 3));
	EXPECT_EQ(4u, routing_class_rank(&table, 4, 7));
	EXPECT_STREQ("rank4-900ms", route_nearest_class(&config, 4, 900)->name);
	EXPECT_STREQ("rank1-900ms", route_nearest_class(&config, 1, 900)->name);
	EXPECT_STREQ("rank0-100ms", route_nearest_class(&config, 0, 100)->name);
	EXPECT_STREQ("rank5-500ms",
		     routing_find_route(&table, "x", 1, "/open/", 6)->parts[0].class_name);
	routing_free(&table);
}

// Guards against ranks that share a class because one route has many objectives.
TEST(Route, RanksOfCustomersStayApartWhereClassesAreShort)
{
	std::string routes;

	for (int i = 0; i < 20; i++)
		routes += (i ? "," : "") +
			  route_json("r" + std::to_string(i), "x", "/" + std::to_string(i) + "/",
				     R"([{"service":"a","weight":1}])", 0, 100 + 10 * i);
	json_t *json = with_customers("[" + routes + "]", {1, 2, 3});
	routing table{};
	struct random rng {
	};

	ASSERT_EQ(0, routing_read(json, &rng, &table, nullptr));
	json_decref(json);
	const service_config &config = routing_find_service(&table, "a")->config;
	EXPECT_EQ((uint32_t)CLASSES_PER_SERVICE_MAX, config.class_count);
	for (uint32_t rank = 0; rank < 3; rank++) {
		for (uint32_t i = 0; i < 20; i++)
			EXPECT_EQ(rank, route_nearest_class(&config, rank, 100 + 10 * i)->rank);
	}
	routing_free(&table);
}

} // namespace
