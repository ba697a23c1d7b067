// Functional tests of the administration API and the platform client, over real sockets against the
// platform stand-in.
#include "functional/support/admin_node.h"
#include "functional/support/process.h"

#include <chrono>
#include <csignal>
#include <cstring>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <thread>

extern "C" {
#include "fescuemill/base/counter.h"
}

using support::http;
using support::HttpAnswer;
using support::Json;
using support::Process;
using Node = support::AdminNode;

namespace
{
const std::string ledger_key = "x-fescue-key: key-of-the-ledger-team";
const std::string assay_key = "x-fescue-key: key-of-the-assay-team-";
const std::string operators_key = "x-fescue-key: key-of-the-operators-..";
const std::string purchase = R"({"rank":0,"latency_ms":50,"percentile":99.0,"calls_per_s":200})";

class Admin : public testing::Test
{
      protected:
	void SetUp() override
	{
		platform = Process::start_server({support::program("standin-platform")}, "");
		node = std::make_unique<Node>(platform->port());
		ASSERT_TRUE(node->wait([&] { return config_is_ready(node->config); }, 5000));
	}

	void set_platform_mode(const std::string &name, int delay_ms = 0)
	{
		support::http_json(platform->port(), "POST", "/control",
				   R"({"mode":")" + name + R"(","delay_ms":)" +
					   std::to_string(delay_ms) + "}");
	}

	HttpAnswer put(const std::string &version, const std::string &key = ledger_key,
		       const std::string &body = purchase,
		       const std::string &path = "/v1/services/ledger/classes/purchase")
	{
		return node->call("PUT", path, body, {key, "if-version: " + version});
	}

	static std::string error_kind(const HttpAnswer &answer)
	{
		Json root(json_loads(answer.body.c_str(), 0, nullptr));
		const char *kind = json_string_value(
			json_object_get(json_object_get(root.get(), "error"), "kind"));

		return kind ? kind : "";
	}

	static uint64_t version_in(const HttpAnswer &answer)
	{
		Json root(json_loads(answer.body.c_str(), 0, nullptr));

		return (uint64_t)json_integer_value(json_object_get(root.get(), "version"));
	}

	std::unique_ptr<Process> platform;
	std::unique_ptr<Node> node;
};

int64_t elapsed_ms(std::chrono::steady_clock::time_point since)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - since)
		.count();
}
} // namespace

TEST_F(Admin, ClassesAreCreatedReadAndDeletedExceptTheLast)
{
	HttpAnswer created = put("0");

	ASSERT_EQ(200, created.status) << created.body;
	EXPECT_EQ(version_in(created), node->version_of("ledger"));
	HttpAnswer read =
		node->call("GET", "/v1/services/ledger/classes/purchase", "", {ledger_key});

	EXPECT_EQ(200, read.status);
	EXPECT_EQ(version_in(created), version_in(read));
	HttpAnswer second = put(std::to_string(version_in(created)), ledger_key, purchase,
				"/v1/services/ledger/classes/balance");

	ASSERT_EQ(200, second.status) << second.body;
	HttpAnswer deleted =
		node->call("DELETE", "/v1/services/ledger/classes/purchase", "",
			   {ledger_key, "if-version: " + std::to_string(version_in(second))});

	ASSERT_EQ(200, deleted.status) << deleted.body;
	EXPECT_EQ(
		404,
		node->call("GET", "/v1/services/ledger/classes/purchase", "", {ledger_key}).status);
	std::string last = std::to_string(version_in(deleted));

	EXPECT_EQ("state", error_kind(node->call("DELETE", "/v1/services/ledger/classes/balance",
						 "", {ledger_key, "if-version: " + last})));
	EXPECT_EQ(200, node->call("DELETE", "/v1/services/ledger", "",
				  {ledger_key, "if-version: " + last})
			       .status);
	EXPECT_EQ(0U, node->version_of("ledger"));
}

TEST_F(Admin, ChangeIsInForceOnAnotherNodeWithinSeconds)
{
	Node other(platform->port(), "n2");

	ASSERT_TRUE(other.wait([&] { return config_is_ready(other.config); }, 5000));
	auto start = std::chrono::steady_clock::now();
	uint64_t version = version_in(put("0"));

	ASSERT_TRUE(
		other.wait([&] { return config_find(other.config, "ledger") != nullptr; }, 4000));
	EXPECT_EQ(version, other.version_of("ledger"));
	EXPECT_LT(elapsed_ms(start), 4000);
}

TEST_F(Admin, NodesDiscoverEachOtherThroughTheRoster)
{
	Node other(platform->port(), "n2");

	EXPECT_TRUE(
		node->wait([&] { return member_find(node->members, member_id_of("n2")); }, 5000));
	EXPECT_TRUE(
		other.wait([&] { return member_find(other.members, member_id_of("n1")); }, 5000));
}

TEST_F(Admin, ConflictOfConcurrentChangesNamesTheOtherOperator)
{
	uint64_t base = version_in(put("0"));
	auto change_as = [&](const std::string &by) {
		return node->call(
			"PUT", "/v1/services/ledger/classes/purchase", purchase,
			{ledger_key, "if-version: " + std::to_string(base), "x-fescue-by: " + by});
	};
	auto first = std::async(std::launch::async, change_as, "ana");
	auto second = std::async(std::launch::async, change_as, "tiit");
	HttpAnswer a = first.get();
	HttpAnswer b = second.get();
	const HttpAnswer &refused_change = a.status == 200 ? b : a;

	EXPECT_EQ(200 + 409, a.status + b.status) << a.body << b.body;
	EXPECT_EQ("conflict", error_kind(refused_change));
	EXPECT_NE(std::string::npos,
		  refused_change.body.find(a.status == 200 ? "by ana" : "by tiit"))
		<< refused_change.body;
}

TEST_F(Admin, ChangeWithLostAnswerIsReportedAsAccepted)
{
	uint64_t base = version_in(put("0"));

	set_platform_mode("lose-answers");
	auto answer = std::async(std::launch::async, [&] { return put(std::to_string(base)); });

	std::this_thread::sleep_for(std::chrono::milliseconds(400));
	set_platform_mode("up");
	HttpAnswer got = answer.get();

	EXPECT_EQ(200, got.status) << got.body;
	EXPECT_GT(version_in(got), base);
	EXPECT_TRUE(node->wait(
		[&] { return config_find(node->config, "ledger")->version == version_in(got); },
		4000));
}

TEST_F(Admin, RepeatedChangeIdIsAppliedOnce)
{
	uint64_t base = version_in(put("0"));
	std::vector<std::string> headers = {ledger_key, "if-version: " + std::to_string(base),
					    "x-fescue-change-id: 00000000000000000000000000000001"};
	HttpAnswer first =
		node->call("PUT", "/v1/services/ledger/classes/purchase", purchase, headers);
	HttpAnswer again =
		node->call("PUT", "/v1/services/ledger/classes/purchase", purchase, headers);

	EXPECT_EQ(200, first.status);
	EXPECT_EQ(200, again.status) << again.body;
	EXPECT_EQ(version_in(first), version_in(again));
}

TEST_F(Admin, RightsArePerTeamAndErrorsHaveAKind)
{
	EXPECT_EQ("denied", error_kind(put("0", assay_key)));
	EXPECT_EQ("denied", error_kind(put("0", "x-fescue-key: wrong")));
	EXPECT_EQ("denied", error_kind(put("0", "x-other: 1")));
	ASSERT_EQ(200, put("0").status);
	std::string version = std::to_string(node->version_of("ledger"));

	EXPECT_EQ("denied", error_kind(put(version, assay_key)));
	EXPECT_EQ("denied", error_kind(put(version, operators_key)));
	EXPECT_EQ("conflict", error_kind(put("0")));
	EXPECT_EQ("conflict", error_kind(put("999999")));
	EXPECT_EQ("missing", error_kind(node->call("PUT", "/v1/services/ledger/classes/purchase",
						   purchase, {ledger_key})));
	EXPECT_EQ("range", error_kind(put("-1")));
	EXPECT_EQ("syntax", error_kind(put(version, ledger_key, "{")));
	EXPECT_EQ("unknown_key", error_kind(put(version, ledger_key, "{\"weight\":1}")));
	EXPECT_EQ("type", error_kind(put(version, ledger_key, "[]")));
	EXPECT_EQ("too_large", error_kind(put(version, ledger_key, std::string(70000, ' '))));
	EXPECT_EQ("not_found", error_kind(node->call("GET", "/v1/nothing", "", {ledger_key})));
	EXPECT_EQ(version, std::to_string(node->version_of("ledger")));
}

TEST_F(Admin, RequestsOverTheRateLimitOfATeamAreRefused)
{
	int limited = 0;

	for (int i = 0; i < 80; i++) {
		HttpAnswer answer = node->call("GET", "/v1/status", "", {assay_key});

		limited += answer.status == 429;
		EXPECT_TRUE(answer.status == 200 || error_kind(answer) == "limit");
	}
	EXPECT_GT(limited, 0);
	EXPECT_EQ(200, node->call("GET", "/v1/status", "", {ledger_key}).status);
}

TEST_F(Admin, ReadOnlyEndpointsAnswer)
{
	put("0");
	for (const char *path :
	     {"/v1/services", "/v1/versions", "/v1/status", "/v1/members", "/v1/counters"}) {
		HttpAnswer answer = node->call("GET", path, "", {ledger_key});
		Json root(json_loads(answer.body.c_str(), 0, nullptr));

		EXPECT_EQ(200, answer.status) << path;
		EXPECT_TRUE(json_is_object(root.get())) << path << answer.body;
	}
	HttpAnswer metrics = node->call("GET", "/metrics", "", {});

	EXPECT_EQ(200, metrics.status);
	EXPECT_NE(std::string::npos, metrics.body.find("fescuemill_admin_requests"));
}

TEST_F(Admin, DrainRequiresARight)
{
	EXPECT_EQ("denied", error_kind(node->call("POST", "/v1/drain", "", {ledger_key})));
	EXPECT_FALSE(node->drain_requested);
	EXPECT_EQ(202, node->call("POST", "/v1/drain", "", {operators_key}).status);
	EXPECT_TRUE(node->drain_requested);
}

TEST_F(Admin, ConfigurationStaysInForceDuringAnOutageAndCanChangeAfterIt)
{
	uint64_t base = version_in(put("0"));

	set_platform_mode("down");
	HttpAnswer refused = put(std::to_string(base));

	EXPECT_TRUE(error_kind(refused) == "unreachable" || error_kind(refused) == "timeout")
		<< refused.body;
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	EXPECT_EQ(base, node->version_of("ledger"));
	EXPECT_TRUE(config_is_ready(node->config));
	set_platform_mode("up");
	EXPECT_EQ(200, put(std::to_string(base)).status);
}

TEST_F(Admin, SilentPlatformIsDetectedAndChangesAreAcceptedAfterIt)
{
	platform->signal(SIGSTOP);
	std::this_thread::sleep_for(std::chrono::milliseconds(2500));
	EXPECT_GT(counter_get(COUNTER_PLATFORM_WATCHES_SILENT), 0U);
	platform->signal(SIGCONT);
	EXPECT_TRUE(node->wait([] { return true; }, 100));
	EXPECT_EQ(200, put("0").status);
}

TEST_F(Admin, InvalidObjectIsRejectedOnceAndTheLastValidOneStaysInForce)
{
	uint64_t valid = version_in(put("0"));
	uint64_t rejected = counter_get(COUNTER_CONFIG_REJECTED);

	HttpAnswer bad = http(platform->port(), "PUT", "/v1/objects/service/ledger",
			      R"({"service":"ledger"})", {"if-version: " + std::to_string(valid)});

	ASSERT_EQ(200, bad.status) << bad.body;
	EXPECT_TRUE(node->wait([&] { return counter_get(COUNTER_CONFIG_REJECTED) == rejected + 1; },
			       4000));
	EXPECT_EQ(valid, node->version_of("ledger"));
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	EXPECT_EQ(rejected + 1, counter_get(COUNTER_CONFIG_REJECTED));
}
