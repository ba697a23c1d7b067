// Functional tests of the behaviour of the stand-ins that other tests rely on.
#include "functional/support/process.h"

#include <gtest/gtest.h>

#include <signal.h>

#include <chrono>
#include <future>
#include <thread>

using support::http;
using support::http_json;
using support::HttpAnswer;
using support::Json;
using support::Process;
using support::program;

namespace
{
constexpr int LINK_DELAY_MS = 20;

std::unique_ptr<Process> start(std::vector<std::string> command)
{
	command[0] = program(command[0]);
	return Process::start_server(command, "");
}

void control(Process &standin, const std::string &body)
{
	http_json(standin.port(), "POST", "/control", body);
}

int64_t number(const Json &object, const char *key)
{
	return json_integer_value(json_object_get(object.get(), key));
}

// Returns how often a call started and finished at a backend server; {0, 0} if it is not recorded.
std::pair<int64_t, int64_t> executions(Process &backend, const char *call)
{
	Json all = http_json(backend.port(), "GET", "/executions");
	json_t *counts = json_object_get(json_object_get(all.get(), "calls"), call);

	return {json_integer_value(json_array_get(counts, 0)),
		json_integer_value(json_array_get(counts, 1))};
}

int64_t elapsed_ms(std::chrono::steady_clock::time_point since)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - since)
		.count();
}

HttpAnswer put(Process &platform, const std::string &path, const std::string &version)
{
	return http(platform.port(), "PUT", path, "{\"a\":1}", {"if-version: " + version});
}
} // namespace

TEST(Platform, PutIsConditionalAndIncrementsVersion)
{
	auto platform = start({"standin-platform"});

	EXPECT_EQ(400, http(platform->port(), "PUT", "/v1/objects/service/a", "{}").status);
	EXPECT_EQ(200, put(*platform, "/v1/objects/service/a", "0").status);
	EXPECT_EQ(409, put(*platform, "/v1/objects/service/a", "0").status);
	EXPECT_EQ("{\"version\":2}", put(*platform, "/v1/objects/service/a", "1").body);
	HttpAnswer got = http(platform->port(), "GET", "/v1/objects/service/a");
	EXPECT_EQ("2", got.headers["x-object-version"]);
	EXPECT_EQ("{\"a\":1}", got.body);
	EXPECT_EQ(413, http(platform->port(), "PUT", "/v1/objects/service/b",
			    std::string(1 << 21, ' '), {"if-version: 0"})
			       .status);
}

TEST(Platform, WatchAnswersOnChangeAndReportsDeletions)
{
	auto platform = start({"standin-platform"});
	uint16_t port = platform->port();

	put(*platform, "/v1/objects/service/a", "0");
	auto watch = std::async(std::launch::async, [port] {
		return http(port, "GET", "/v1/watch/service?after=1&wait_ms=5000");
	});
	while (number(http_json(port, "GET", "/control/stats"), "waiting_watches") == 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(2));
	EXPECT_EQ(200, http(port, "DELETE", "/v1/objects/service/a", "", {"if-version: 1"}).status);
	EXPECT_EQ("{\"version\":2,\"items\":[{\"name\":\"a\",\"version\":2,\"deleted\":true}]}",
		  watch.get().body);
	EXPECT_EQ("{\"version\":2,\"items\":[]}",
		  http(port, "GET", "/v1/watch/service?after=2&wait_ms=10").body);
}

TEST(Platform, ChangeWithLostAnswerTakesEffect)
{
	auto platform = start({"standin-platform"});

	control(*platform, "{\"mode\":\"lose-answers\"}");
	EXPECT_EQ(0, put(*platform, "/v1/objects/service/a", "0").status);
	EXPECT_EQ(200, http(platform->port(), "GET", "/v1/objects/service/a").status);
	control(*platform, "{\"mode\":\"down\"}");
	EXPECT_EQ(0, http(platform->port(), "GET", "/v1/objects/service/a").status);
}

TEST(Backend, RunsNoMoreCallsThanSlotsAndRecordsExecutions)
{
	auto backend = start(
		{"standin-backend", "--slots", "1", "--service-ms", "150", "--spread", "none"});
	uint16_t port = backend->port();
	auto began = std::chrono::steady_clock::now();
	auto one = std::async(std::launch::async,
			      [port] { return http(port, "GET", "/x", "", {"x-call: one"}); });
	auto two = std::async(std::launch::async,
			      [port] { return http(port, "GET", "/x", "", {"x-call: two"}); });

	EXPECT_EQ(200, one.get().status);
	EXPECT_EQ(200, two.get().status);
	EXPECT_GE(elapsed_ms(began), 300);
	EXPECT_EQ(std::make_pair(INT64_C(1), INT64_C(1)), executions(*backend, "one"));
	EXPECT_EQ(std::make_pair(INT64_C(1), INT64_C(1)), executions(*backend, "two"));
}

TEST(Backend, ClosedConnectionAndCancelFreeTheSlot)
{
	auto backend = start(
		{"standin-backend", "--slots", "1", "--service-ms", "60000", "--spread", "none"});
	uint16_t port = backend->port();

	EXPECT_EQ(0, http(port, "GET", "/x", "", {"x-call: closed"}, 100).status);
	auto cancelled = std::async(std::launch::async, [port] {
		return http(port, "GET", "/x", "", {"x-call: two", "x-fescue-call-id: 7"}, 20000);
	});
	while (executions(*backend, "two").first == 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(2));
	http(port, "POST", "/cancel/7");
	EXPECT_EQ(499, cancelled.get().status);
	EXPECT_EQ(std::make_pair(INT64_C(1), INT64_C(0)), executions(*backend, "closed"));
	EXPECT_EQ(0, number(http_json(port, "GET", "/control/stats"), "running"));
}

TEST(Backend, QueuedCallsPastTheirDeadlineAreNotRun)
{
	auto backend = start(
		{"standin-backend", "--slots", "1", "--service-ms", "400", "--spread", "none"});
	uint16_t port = backend->port();
	auto first = std::async(std::launch::async,
				[port] { return http(port, "GET", "/x", "", {"x-call: one"}); });

	while (executions(*backend, "one").first == 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(2));
	HttpAnswer late = http(port, "GET", "/x", "", {"x-call: two", "x-fescue-deadline-ms: 50"});
	EXPECT_EQ(503, late.status);
	EXPECT_EQ("1", late.headers["x-fescue-not-run"]);
	EXPECT_EQ(200, first.get().status);
	EXPECT_EQ(0, executions(*backend, "two").first);
}

TEST(Backend, RepeatedExecutionsOfAnAttemptAreCounted)
{
	auto backend = start({"standin-backend", "--service-ms", "1"});

	for (int i = 0; i < 2; i++)
		http(backend->port(), "GET", "/x", "", {"x-call: a", "x-fescue-call-id: 1"});
	EXPECT_EQ(1, number(http_json(backend->port(), "GET", "/executions"), "attempts_doubled"));
}

TEST(Link, DelaysBothDirectionsAndForwardsAgainAfterACut)
{
	auto link = start({"standin-link", "--delay-ms", std::to_string(LINK_DELAY_MS)});
	auto backend = start({"standin-backend", "--service-ms", "0"});
	Json made = http_json(link->port(), "POST", "/forwards", "{\"toward\":1}");
	uint16_t port = (uint16_t)number(made, "tcp_port");

	http_json(link->port(), "POST", "/forwards/0",
		  "{\"tcp_target\":" + std::to_string(backend->port()) + "}");
	auto began = std::chrono::steady_clock::now();
	EXPECT_EQ(200, http(port, "GET", "/x").status);
	EXPECT_GE(elapsed_ms(began), 2 * LINK_DELAY_MS);
	control(*link, "{\"cut\":true}");
	EXPECT_EQ(0, http(port, "GET", "/x", "", {"x-call: cut"}, 200).status);
	EXPECT_EQ(0, executions(*backend, "cut").first);
	control(*link, "{\"cut\":false}");
	EXPECT_EQ(200, http(port, "GET", "/x").status);
}

TEST(Link, OpenConnectionsGoSilentWhileNewOnesWork)
{
	auto link = start({"standin-link", "--delay-ms", "1"});
	auto backend = start({"standin-backend", "--service-ms", "300", "--spread", "none"});
	Json made = http_json(link->port(), "POST", "/forwards",
			      "{\"tcp_target\":" + std::to_string(backend->port()) + "}");
	uint16_t port = (uint16_t)number(made, "tcp_port");
	auto silent = std::async(std::launch::async, [port] {
		return http(port, "GET", "/x", "", {"x-call: silent"}, 1000);
	});

	while (executions(*backend, "silent").first == 0)
		std::this_thread::sleep_for(std::chrono::milliseconds(2));
	control(*link, "{\"silence\":true}");
	EXPECT_EQ(200, http(port, "GET", "/x").status);
	EXPECT_EQ(0, silent.get().status);
	EXPECT_EQ(std::make_pair(INT64_C(1), INT64_C(1)), executions(*backend, "silent"));
}

TEST(Standins, ExitWithZeroOnSigterm)
{
	for (const char *name : {"standin-platform", "standin-backend", "standin-link"}) {
		auto standin = start({name});

		standin->signal(SIGTERM);
		EXPECT_EQ(0, standin->wait(5000)) << name;
	}
}
