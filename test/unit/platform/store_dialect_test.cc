// The platform's store dialect: writing of requests and reading of answers.
#include <cstring>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "adapter.h"
#include "fescuemill/fleet/config.h"
#include "fescuemill/fleet/evacuation.h"
#include "fescuemill/fleet/roster.h"
}

namespace
{

struct WrittenRequest {
	store_http_request text{};
	error err{};
	int status;

	explicit WrittenRequest(platform_request request)
	{
		text.body = request.value;
		text.body_size = request.value_size;
		status = platform_store_dialect.write(&request, &text, &err);
	}
	~WrittenRequest()
	{
		free(text.owned);
	}
	WrittenRequest(const WrittenRequest &) = delete;
	WrittenRequest &operator=(const WrittenRequest &) = delete;
	std::string line() const
	{
		return std::string(text.method) + " " + text.path;
	}
};

platform_request request_of(platform_call_type type, const char *name = nullptr,
			    uint64_t version = 0)
{
	platform_request request = {};

	request.type = type;
	request.kind = ROSTER_KIND;
	request.name = name;
	request.version = version;
	request.value = R"({"a":1})";
	request.value_size = strlen(request.value);
	return request;
}

TEST(PlatformStore, WritesRequestsInThePlatformsForm)
{
	platform_request watch = request_of(PLATFORM_WATCH, nullptr, 530);
	platform_request list = request_of(PLATFORM_LIST);

	watch.kind = CONFIG_KIND;
	watch.wait_ms = 10000;
	EXPECT_EQ("GET /objects/config?watch=530&wait_ms=10000", WrittenRequest(watch).line());
	EXPECT_EQ("GET /objects/fescuemill-roster", WrittenRequest(list).line());
	list.kind = EVACUATION_KIND;
	EXPECT_EQ("GET /objects/evacuations", WrittenRequest(list).line());
	list.kind = ROSTER_KIND;
	list.after_name = "zone-a";
	EXPECT_EQ("GET /objects/fescuemill-roster?after=zone-a", WrittenRequest(list).line());
	EXPECT_EQ("GET /objects/fescuemill-roster/z",
		  WrittenRequest(request_of(PLATFORM_GET, "z")).line());
	EXPECT_EQ("DELETE /objects/fescuemill-roster/z?revision=7",
		  WrittenRequest(request_of(PLATFORM_DELETE, "z", 7)).line());
	WrittenRequest create(request_of(PLATFORM_CREATE, "z"));
	EXPECT_EQ("POST /objects/fescuemill-roster", create.line());
	EXPECT_STREQ(R"({"metadata":{"name":"z"},"spec":{"a":1}})", create.text.body);
	WrittenRequest update(request_of(PLATFORM_UPDATE, "z", 7));
	EXPECT_EQ("PUT /objects/fescuemill-roster/z", update.line());
	EXPECT_STREQ(R"({"metadata":{"name":"z","revision":7},"spec":{"a":1}})", update.text.body);
}

TEST(PlatformStore, RefusesToWriteAValueThatIsNotJson)
{
	platform_request request = request_of(PLATFORM_CREATE, "z");

	request.value = "{";
	request.value_size = 1;
	WrittenRequest written(request);
	EXPECT_EQ(-1, written.status);
	EXPECT_EQ(ERROR_SYNTAX, written.err.kind);
}

struct ReadAnswer {
	store_pages pages{};
	store_read_context answer{};
	platform_result result{};

	ReadAnswer(platform_call_type type, int status, const std::string &body)
	{
		read(type, status, body);
	}
	~ReadAnswer()
	{
		store_pages_free(&pages);
		free(answer.text);
		json_decref(answer.root);
	}
	ReadAnswer(const ReadAnswer &) = delete;
	ReadAnswer &operator=(const ReadAnswer &) = delete;
	void read(platform_call_type type, int status, const std::string &body)
	{
		fetch_result fetched = {};

		free(answer.text);
		json_decref(answer.root);
		answer = {};
		answer.pages = &pages;
		result = {};
		fetched.status = status;
		fetched.body = body.c_str();
		fetched.body_size = body.size();
		platform_store_dialect.read(type, &fetched, &answer, &result);
	}
	std::string body() const
	{
		if (!result.root)
			return std::string(result.body, result.body_size);
		char *text = json_dumps(result.root, JSON_COMPACT);
		std::string copy(text);

		free(text);
		return copy;
	}
};

TEST(PlatformStore, TranslatesListsAndWatchEvents)
{
	ReadAnswer list(
		PLATFORM_LIST, 200,
		R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{"x":1}}],"has_more":false,"at":9})");
	EXPECT_EQ(ERROR_NONE, list.result.err.kind);
	EXPECT_EQ(9u, list.result.version);
	EXPECT_EQ(R"({"version":9,"items":[{"name":"a","version":3,"value":{"x":1}}]})",
		  list.body());
	ReadAnswer watch(
		PLATFORM_WATCH, 200,
		R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":3}}}],"at":12})");
	EXPECT_EQ(R"({"version":12,"items":[{"name":"a","version":12,"deleted":true}]})",
		  watch.body());
}

// After changes in quick succession a watch reports every version of a large object.
TEST(PlatformStore, ReadsOnlyTheLastEventOfAnObject)
{
	ReadAnswer watch(
		PLATFORM_WATCH, 200,
		R"({"events":[{"object":{"metadata":{"name":"a","revision":3},"spec":1}},)"
		R"({"object":{"metadata":{"name":"b","revision":4},"spec":2}},)"
		R"({"object":{"metadata":{"name":"a","revision":5},"spec":3}},)"
		R"({"deleted":true,"object":{"metadata":{"name":"b","revision":6}}}],"at":7})");
	EXPECT_EQ(R"({"version":7,"items":[{"name":"a","version":5,"value":3},)"
		  R"({"name":"b","version":7,"deleted":true}]})",
		  watch.body());
}

TEST(PlatformStore, CollectsThePagesOfAList)
{
	ReadAnswer list(
		PLATFORM_LIST, 200,
		R"({"items":[{"metadata":{"name":"a","revision":3},"spec":1}],"has_more":true,"at":9})");
	EXPECT_STREQ("a", list.answer.after);
	list.read(
		PLATFORM_LIST, 200,
		R"({"items":[{"metadata":{"name":"b","revision":4},"spec":2}],"has_more":false,"at":10})");
	EXPECT_STREQ("", list.answer.after);
	EXPECT_EQ(R"({"version":10,"items":[{"name":"a","version":3,"value":1},)"
		  R"({"name":"b","version":4,"value":2}]})",
		  list.body());
}

TEST(PlatformStore, MapsFailuresToErrorKinds)
{
	EXPECT_EQ(ERROR_VERSION, ReadAnswer(PLATFORM_WATCH, 410, "{}").result.err.kind);
	EXPECT_EQ(ERROR_LIMIT, ReadAnswer(PLATFORM_LIST, 429, "").result.err.kind);
	EXPECT_EQ(ERROR_UNREACHABLE, ReadAnswer(PLATFORM_LIST, 503, "").result.err.kind);
	EXPECT_EQ(ERROR_NOT_FOUND, ReadAnswer(PLATFORM_GET, 404, "").result.err.kind);
	EXPECT_EQ(ERROR_UNREACHABLE, ReadAnswer(PLATFORM_LIST, 200, "half of").result.err.kind);
	EXPECT_EQ(ERROR_UNREACHABLE, ReadAnswer(PLATFORM_LIST, 200, "{}").result.err.kind);
	ReadAnswer conflict(PLATFORM_UPDATE, 409,
			    R"({"metadata":{"name":"z","revision":8},"spec":{"b":2}})");
	EXPECT_EQ(ERROR_CONFLICT, conflict.result.err.kind);
	EXPECT_EQ(8u, conflict.result.version);
}

// Covers the whole path of a configuration, from the platform's object to routes in force.
TEST(PlatformStore, TranslatesConfigurationToRoutesInForce)
{
	ReadAnswer list(
		PLATFORM_LIST, 200,
		R"({"items":[{"metadata":{"name":"main","revision":6},"spec":{"version":"0000000c",)"
		R"("services":[{"name":"a","health_path":"/health"},{"name":"b"}],"virtual_hosts":[)"
		R"({"host":"x.example","paths":[{"name":"r1","path_prefix":"/p/","kind":"idempotent",)"
		R"("timeout_ms":2500.0,"slo_latency_ms":500,"priority":0,"max_attempts":2,)"
		R"("traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}]},)"
		R"({"name":"r2","path_prefix":"/q/","kind":"upload","timeout_ms":800,"priority":1,)"
		R"("max_attempts":1,"service":"b"}]}]}}],"has_more":false,"at":6})");
	config_store *store = nullptr;
	error err = {};

	ASSERT_EQ(0, config_open(&store, 1, &err));
	ASSERT_EQ(0, config_apply_batch(store, 0, list.body().data(), list.body().size(), &err))
		<< err.detail;
	routing *routes = config_routing(store);
	ASSERT_TRUE(routes);
	EXPECT_EQ(12u, routes->number);
	route *first = routing_find_route(routes, "x.example", 9, "/p/1", 4);
	route *second = routing_find_route(routes, "x.example", 9, "/q/1", 4);
	ASSERT_TRUE(first && second);
	EXPECT_TRUE(first->idempotent);
	EXPECT_EQ(2500u, first->timeout_ms);
	EXPECT_EQ(2u, first->part_count);
	EXPECT_FALSE(second->idempotent);
	EXPECT_EQ(800u, second->latency_ms)
		<< "the latency target of a route defaults to its timeout";
	EXPECT_TRUE(config_find(store, "a"));
	EXPECT_STREQ("/health", routing_find_service(routes, "a")->health_path);
	config_close(store);
}

// Guards against a configuration that the platform has accepted and that is refused whole for one
// of its values: a long name or prefix, a fraction, a number beyond what a node uses, no name at
// all.
TEST(PlatformStore, ConfigurationWithUnusualValuesIsInForce)
{
	const std::string prefix = "/" + std::string(300, 'p') + "/";
	const std::string service(100, 's');
	ReadAnswer list(
		PLATFORM_LIST, 200,
		R"({"items":[{"metadata":{"name":"main","revision":6},"spec":{"version":"0000000c",)"
		R"("services":[{"name":")" +
			service + R"(","health_path":")" + prefix +
			R"("}],"virtual_hosts":[{"host":")" + std::string(200, 'h') +
			R"(","paths":[{"name":"r","path_prefix":")" + prefix +
			R"(","kind":"idempotent","timeout_ms":1e12,"slo_latency_ms":0.5,"priority":300,)"
			R"("max_attempts":1000,"traffic_split":[{"service":")" +
			service + R"(","weight":0.5},{"service":")" + service +
			R"(","weight":0.5}]},{"path_prefix":"/q/","kind":"upload","timeout_ms":800,)"
			R"("priority":1,"max_attempts":1,"service":")" +
			service + R"("}]}]}}],"has_more":false,"at":6})");
	config_store *store = nullptr;
	error err = {};

	ASSERT_EQ(0, config_open(&store, 1, &err));
	ASSERT_EQ(0, config_apply_batch(store, 0, list.body().data(), list.body().size(), &err))
		<< err.detail;
	routing *routes = config_routing(store);
	ASSERT_TRUE(routes);
	EXPECT_EQ(2u, routes->route_count);
	route *first = routing_find_route(routes, std::string(200, 'h').c_str(), 200,
					  (prefix + "x").c_str(), prefix.size() + 1);
	ASSERT_TRUE(first);
	EXPECT_EQ(600000u, first->timeout_ms);
	EXPECT_EQ(service, route_pick_part(first)->service);
	config_close(store);
}

TEST(PlatformStore, OlderConfigurationNeverReplacesNewer)
{
	auto batch = [](int number, int version) {
		return R"({"version":)" + std::to_string(version) +
		       R"(,"items":[{"name":"main","version":)" + std::to_string(version) +
		       R"(,"value":{"number":)" + std::to_string(number) +
		       R"(,"routes":[],"services":[]}}]})";
	};
	config_store *store = nullptr;
	error err = {};

	ASSERT_EQ(0, config_open(&store, 1, &err));
	for (auto [number, version] : {std::pair{7, 10}, {9, 12}, {7, 10}, {8, 13}}) {
		std::string text = batch(number, version);
		config_apply_batch(store, version - 1, text.data(), text.size(), &err);
	}
	EXPECT_EQ(9u, config_routing(store)->number);
	config_close(store);
}

} // namespace
