// The whole path of a call through separate processes: caller, entry, gate, backend server and
// back.
#include "functional/support/load_driver.h"
#include "support/connect.h"

#include <gtest/gtest.h>

#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

using support::connect_to;
using support::Fleet;
using support::FleetOptions;
using support::Host;
using support::http_json;
using support::HttpAnswer;
using support::Json;
using support::read_backend_stat;

namespace
{
constexpr size_t BODY_LIMIT = 8 * 1024 * 1024; // bytes
constexpr int EVENT_TIMEOUT_MS = 5000;	       // within which an expected event must happen

class Path : public ::testing::Test
{
      protected:
	Fleet fleet{FleetOptions::small(2)};
	std::atomic<int> calls{0};

	void SetUp() override
	{
		fleet.start();
	}

	HttpAnswer buy(const Host &entry, const std::string &body = "copper",
		       std::vector<std::string> headers = {})
	{
		headers.push_back("x-call: call-" + std::to_string(++calls));
		return fleet.call(entry, "POST", "/ledger/buy", "purchase", body, headers);
	}

	// Returns how many calls of buy() the backend server of a host has run.
	int64_t executed(Host &host)
	{
		Json all = http_json(host.backend->port(), "GET", "/executions");

		return (int64_t)json_object_size(json_object_get(all.get(), "calls"));
	}

	// Waits until both backend servers together run the wanted number of calls.
	bool wait_running(int64_t wanted)
	{
		return support::wait_until(
			[&] {
				return read_backend_stat(fleet.hosts[0], "running") +
					       read_backend_stat(fleet.hosts[1], "running") ==
				       wanted;
			},
			EVENT_TIMEOUT_MS);
	}

	void slow_down(double factor)
	{
		for (Host &host : fleet.hosts)
			Fleet::control(*host.backend,
				       "{\"slow_factor\":" + std::to_string(factor) + "}");
	}
};

void expect_not_run(HttpAnswer answer, int status, const std::string &reason)
{
	EXPECT_EQ(answer.status, status) << answer.body;
	EXPECT_EQ(answer.headers["x-fescue-outcome"], "not-run");
	EXPECT_EQ(answer.headers["x-fescue-reason"], reason);
}
} // namespace

TEST_F(Path, EveryEntryReachesEveryGate)
{
	for (int i = 0; i < 40; i++) {
		HttpAnswer answer = buy(fleet.hosts[(size_t)i % 2]);
		ASSERT_EQ(answer.status, 200) << answer.body;
		EXPECT_EQ(answer.headers["x-fescue-outcome"], "answered");
		EXPECT_EQ(answer.headers["x-fescue-attempts"], "1");
		EXPECT_GT(std::stoi(answer.headers["x-fescue-server-us"]), 0);
		EXPECT_EQ(answer.body.size(), 16u);
	}
	// An entry also uses the gate of the other host.
	HttpAnswer answer;
	slow_down(40);
	std::vector<std::thread> callers;
	for (int i = 0; i < 12; i++)
		callers.emplace_back([this] { EXPECT_EQ(buy(fleet.hosts[0]).status, 200); });
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_GT(read_backend_stat(fleet.hosts[0], "requests"), 0);
	EXPECT_GT(read_backend_stat(fleet.hosts[1], "requests"), 0);
}

TEST_F(Path, BodiesOfAnySizeArriveWholeBothWays)
{
	std::string previous_sum;
	for (size_t size :
	     {size_t(0), size_t(1), size_t(65536), size_t(65537), size_t(1000000), BODY_LIMIT}) {
		std::string body(size, 'p');
		std::string sizes = "x-standin-size: " + std::to_string(size);
		// The backend server derives the bytes of its answer from the id of the call, so
		// both calls get the same bytes.
		HttpAnswer here = fleet.call(fleet.hosts[0], "PUT", "/ledger/a", "purchase", body,
					     {sizes, "x-call: c"});
		HttpAnswer there = fleet.call(fleet.hosts[1], "PUT", "/ledger/a", "purchase", body,
					      {sizes, "x-call: c"});

		ASSERT_EQ(here.status, 200) << size << here.headers["x-fescue-reason"];
		ASSERT_EQ(there.status, 200) << size << there.headers["x-fescue-reason"];
		EXPECT_EQ(here.body.size(), size);
		EXPECT_TRUE(here.body == there.body) << size;
		EXPECT_EQ(here.headers["x-standin-body-sum"], there.headers["x-standin-body-sum"]);
		EXPECT_NE(here.headers["x-standin-body-sum"], previous_sum);
		previous_sum = here.headers["x-standin-body-sum"];
	}
}

TEST_F(Path, RefusalsHaveAStatusAndAReason)
{
	Host &host = fleet.hosts[0];
	int64_t before = read_backend_stat(fleet.hosts[0], "requests") +
			 read_backend_stat(fleet.hosts[1], "requests");

	expect_not_run(fleet.call(host, "GET", "/nowhere/x", "purchase"), 404, "unknown-service");
	expect_not_run(fleet.call(host, "GET", "/ledger/x", "nobody"), 404, "unknown-class");
	expect_not_run(fleet.call(host, "GET", "/ledger/x", "not a name"), 400, "bad-request");
	expect_not_run(buy(host, "", {"x-fescue-deadline-ms: 600001"}), 400, "bad-request");
	expect_not_run(buy(host, "", {"x-fescue-deadline-ms: -1"}), 400, "bad-request");
	expect_not_run(buy(host, "", {"x-fescue-depth: 21"}), 400, "too-deep");
	expect_not_run(buy(host, std::string(BODY_LIMIT + 1, 'x')), 413, "too-large");
	EXPECT_EQ(read_backend_stat(fleet.hosts[0], "requests") +
			  read_backend_stat(fleet.hosts[1], "requests"),
		  before);
}

// Retries are bounded by the budget of the service, so some calls may be refused.
TEST_F(Path, ShedCallIsRetriedOnAnotherGateOrNotRun)
{
	int answered = 0;
	int retried = 0;

	Fleet::control(*fleet.hosts[0].backend, "{\"shed\":true}");
	for (int i = 0; i < 40; i++) {
		HttpAnswer answer = buy(fleet.hosts[0]);

		answered += answer.status == 200;
		retried += answer.status == 200 && answer.headers["x-fescue-attempts"] != "1";
		if (answer.status != 200)
			expect_not_run(answer, 503, "shed");
	}
	EXPECT_GE(answered, 30);
	EXPECT_GE(retried, 1);
	Fleet::control(*fleet.hosts[1].backend, "{\"shed\":true}");
	expect_not_run(buy(fleet.hosts[0]), 503, "shed");
	EXPECT_EQ(executed(fleet.hosts[0]) + executed(fleet.hosts[1]), answered);
}

TEST_F(Path, CallOnASilentBackendConnectionIsUnknownAndTheOthersAreReplaced)
{
	int unknown = 0;

	for (int i = 0; i < 4; i++)
		ASSERT_EQ(buy(fleet.hosts[0]).status, 200);
	for (Host &host : fleet.hosts)
		Fleet::control(*host.backend, "{\"freeze\":true}");
	for (int i = 0; i < 8; i++) {
		HttpAnswer answer = buy(fleet.hosts[0], "x", {"x-fescue-deadline-ms: 200"});

		if (answer.status == 200)
			continue;
		EXPECT_EQ(answer.status, 504);
		EXPECT_EQ(answer.headers["x-fescue-outcome"], "unknown");
		EXPECT_EQ(answer.headers["x-fescue-reason"], "expired");
		unknown++;
	}
	// At most one call of each host uses a silent connection: when it expires, the node closes
	// all idle connections to the backend server as well.
	EXPECT_GE(unknown, 1);
	EXPECT_LE(unknown, 2);
}

TEST_F(Path, ClosedCallerConnectionCancelsItsCall)
{
	std::string text = "POST /ledger/buy HTTP/1.1\r\nhost: n\r\nx-fescue-class: purchase\r\n"
			   "content-length: 0\r\n\r\n";
	slow_down(2000);
	int fd = connect_to(fleet.hosts[0].node->port("caller_port"));
	ASSERT_EQ(send(fd, text.data(), text.size(), 0), (ssize_t)text.size());
	ASSERT_TRUE(wait_running(1));
	close(fd);
	EXPECT_TRUE(wait_running(0));
}

TEST_F(Path, InvalidBytesOnTheNodePortDisturbNoCall)
{
	uint16_t port = fleet.hosts[1].node->port("node_port");
	// The start of a valid ZMTP 3.0 greeting.
	std::string greeting("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16);
	const std::string garbage[] = {std::string(200, '\0'), "GET / HTTP/1.1\r\n\r\n",
				       std::string(70000, '\xff'), greeting,
				       greeting + std::string(64, '\x04') + std::string(9, '\xff')};

	for (const std::string &bytes : garbage) {
		int fd = connect_to(port);
		send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
		EXPECT_EQ(buy(fleet.hosts[0]).status, 200);
		close(fd);
	}
	EXPECT_TRUE(fleet.hosts[1].node->is_running());
}

TEST_F(Path, APlannedStopCutsNoCall)
{
	std::atomic<bool> stopped{false};
	std::atomic<int> answered{0};
	std::vector<std::thread> callers;

	slow_down(10);
	for (int i = 0; i < 8; i++)
		callers.emplace_back([this, &stopped, &answered] {
			while (!stopped) {
				HttpAnswer answer = buy(fleet.hosts[0]);
				EXPECT_EQ(answer.status, 200)
					<< answer.headers["x-fescue-outcome"] << " "
					<< answer.headers["x-fescue-reason"];
				answered++;
			}
		});
	ASSERT_TRUE(wait_running(8));
	fleet.hosts[1].node->signal(SIGTERM);
	EXPECT_EQ(fleet.hosts[1].node->wait(10000), 0) << fleet.hosts[1].node->log_tail();
	stopped = true;
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_GT(answered, 8);
}

TEST_F(Path, AnUploadThatOutlastsAPlannedStopIsAnswered)
{
	support::Process &node = *fleet.hosts[0].node;
	std::string text = "POST /ledger/buy HTTP/1.1\r\nhost: n\r\nx-fescue-class: purchase\r\n"
			   "content-length: 10\r\n\r\n01234";
	char head[64] = "";
	int fd = connect_to(node.port("caller_port"));

	ASSERT_EQ(send(fd, text.data(), text.size(), 0), (ssize_t)text.size());
	node.signal(SIGTERM);
	std::this_thread::sleep_for(std::chrono::milliseconds(EVENT_TIMEOUT_MS));
	EXPECT_TRUE(node.is_running());
	EXPECT_EQ(send(fd, "56789", 5, MSG_NOSIGNAL), 5);
	EXPECT_GT(recv(fd, head, sizeof(head) - 1, 0), 0);
	EXPECT_NE(std::string(head).find("503"), std::string::npos) << head;
	close(fd);
	EXPECT_EQ(node.wait(EVENT_TIMEOUT_MS), 0) << node.log_tail();
}

TEST_F(Path, ASignalAfterAnOperatorsDrainCutsNothing)
{
	support::Process &node = *fleet.hosts[0].node;

	EXPECT_EQ(support::http(node.port("admin_port"), "POST", "/v1/drain", "",
				{"x-fescue-key: replace-this-key-of-ledger-team"}, EVENT_TIMEOUT_MS)
			  .status,
		  202);
	node.signal(SIGTERM);
	EXPECT_EQ(node.wait(EVENT_TIMEOUT_MS), 0) << node.log_tail();
}

TEST_F(Path, SecondSignalCutsRunningCallsAndLogsTheirNumber)
{
	slow_down(2000);
	std::thread caller([this] {
		HttpAnswer answer = buy(fleet.hosts[0]);
		EXPECT_NE(answer.status, 200);
	});
	ASSERT_TRUE(wait_running(1));
	for (Host &host : fleet.hosts)
		host.node->signal(SIGTERM);
	std::this_thread::sleep_for(std::chrono::milliseconds(300));
	for (Host &host : fleet.hosts)
		host.node->signal(SIGTERM);
	EXPECT_EQ(fleet.hosts[0].node->wait(EVENT_TIMEOUT_MS), 18);
	EXPECT_NE(fleet.hosts[0].node->log_tail().find("cut off: 1 calls"), std::string::npos)
		<< fleet.hosts[0].node->log_tail();
	caller.join();
}
