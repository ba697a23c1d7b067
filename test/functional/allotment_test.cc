// Allotments of customers, through separate processes: the calls of a customer over several
// entries, and another customer beside it.
#include "functional/support/fleet.h"
#include "support/connect.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using support::Fleet;
using support::FleetOptions;
using support::Host;
using support::http_json;
using support::HttpAnswer;
using support::Json;

namespace
{
using Clock = std::chrono::steady_clock;

constexpr int CONFIG_TIMEOUT_MS = 5000;
constexpr int RATE = 20;
constexpr int BURST = 10;
constexpr int MANY = 150; // customers
constexpr double WINDOW_S = 5;
// The allotment and its tolerance, in any window of 5 s.
constexpr double WINDOW_CALLS = (RATE * WINDOW_S + BURST) * 1.1 + 20;

class Allotment : public ::testing::Test
{
      protected:
	Fleet fleet{FleetOptions::small(4)};
	int64_t version = 0;

	void SetUp() override
	{
		fleet.start();
		Json answer = http_json(
			fleet.platform->port(), "PUT", "/v1/objects/service/customers",
			R"({"number":1,"routes":[],"services":[],"customers":[)"
			R"({"name":"large","keys":["key-large"],"calls_per_s":)" +
				std::to_string(RATE) + R"(,"burst":)" + std::to_string(BURST) +
				R"(},{"name":"free","keys":["key-free"]}]})",
			{"if-version: 0"});

		version = json_integer_value(json_object_get(answer.get(), "version"));
		for (const Host &host : fleet.hosts)
			ASSERT_EQ(200, wait_for_status(host, "key-free", 200)) << host.name;
	}

	// Puts many customers with small limits in force: their calls are held at most entries.
	void put_many(int number)
	{
		std::string customers = R"({"name":"free","keys":["key-free"]})";

		for (int i = 0; i < MANY; i++)
			customers += R"(,{"name":"c)" + std::to_string(i) + R"(","keys":["key-)" +
				     std::to_string(i) + R"("],"calls_per_s":1,"burst":1})";
		Json answer = http_json(
			fleet.platform->port(), "PUT", "/v1/objects/service/customers",
			R"({"number":)" + std::to_string(number) +
				R"(,"routes":[],"services":[],"customers":[)" + customers + "]}",
			{"if-version: " + std::to_string(version)});

		version = json_integer_value(json_object_get(answer.get(), "version"));
	}

	HttpAnswer call(const Host &entry, const std::string &key)
	{
		return fleet.call(entry, "GET", "/ledger/balance", "balance", "",
				  {"authorization: Bearer " + key});
	}

	// Without customers in force any key is served, so an unknown one is refused first.
	int wait_for_status(const Host &entry, const std::string &key, int status)
	{
		auto deadline = Clock::now() + std::chrono::milliseconds(CONFIG_TIMEOUT_MS);
		int last = 0;

		while (Clock::now() < deadline && call(entry, "unknown").status != 401)
			std::this_thread::sleep_for(std::chrono::milliseconds(20));
		while (Clock::now() < deadline && last != status) {
			last = call(entry, key).status;
			std::this_thread::sleep_for(std::chrono::milliseconds(20));
		}
		return last;
	}
};

// Guards against a customer that gets its allotment at each entry, against one that gets nothing
// beyond it, and against a limit that is felt by other customers.
TEST_F(Allotment, BindsOverAllEntriesAndNobodyElse)
{
	auto start = Clock::now();
	auto end = start + std::chrono::milliseconds((int)(1000 * WINDOW_S) - 500);
	int sent = 0, served = 0, refused = 0;
	std::string retry_reason;

	while (Clock::now() < end) {
		HttpAnswer answer = call(fleet.hosts[sent++ % fleet.hosts.size()], "key-large");

		served += answer.status == 200;
		refused += answer.status == 429;
		if (answer.status == 429)
			retry_reason = answer.headers["x-fescue-reason"];
	}
	EXPECT_LE(served, WINDOW_CALLS) << sent;
	EXPECT_GE(served, BURST) << sent;
	EXPECT_EQ(sent, served + refused);
	EXPECT_GT(refused, 0) << sent;
	EXPECT_EQ("allotment", retry_reason);
	for (const Host &host : fleet.hosts)
		EXPECT_EQ(200, call(host, "key-free").status) << host.name;
}

// Guards against a call that is held for the customer's home, and touched after its caller has
// left.
TEST_F(Allotment, CallersThatLeaveWhileTheirCallsAreHeld)
{
	const std::string request = "GET /ledger/balance HTTP/1.1\r\nhost: x\r\n"
				    "x-fescue-class: balance\r\n"
				    "authorization: Bearer key-large\r\n\r\n";

	for (int i = 0; i < 400; i++) {
		const Host &host = fleet.hosts[(size_t)i % fleet.hosts.size()];
		int fd = support::connect_to((uint16_t)host.node->port("caller_port"));

		ASSERT_GE(fd, 0);
		ASSERT_EQ((ssize_t)request.size(), write(fd, request.data(), request.size()));
		if (i % 3 == 0)
			std::this_thread::sleep_for(std::chrono::milliseconds(i % 20));
		close(fd);
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(500));
	for (const Host &host : fleet.hosts)
		EXPECT_EQ(200, call(host, "key-free").status) << host.name;
}

// Guards against a held call that still points into the configuration by which it was classified
// when another one comes into force.
TEST_F(Allotment, TheConfigurationChangesWhileCallsAreHeld)
{
	std::atomic<bool> is_done{false};
	std::thread operators([&] {
		for (int number = 2; !is_done; number++) {
			put_many(number);
			std::this_thread::sleep_for(std::chrono::milliseconds(5));
		}
	});
	std::vector<std::thread> callers;

	for (size_t i = 0; i < fleet.hosts.size(); i++)
		callers.emplace_back([&, i] {
			for (int round = 0; round < 3; round++)
				for (int customer = 0; customer < MANY; customer++)
					call(fleet.hosts[i], "key-" + std::to_string(customer));
		});
	for (std::thread &thread : callers)
		thread.join();
	is_done = true;
	operators.join();
	for (const Host &host : fleet.hosts)
		EXPECT_EQ(200, call(host, "key-free").status) << host.name;
}

// Guards against a customer that stays limited after its load has ended.
TEST_F(Allotment, HasRoomAgainAfterAPause)
{
	int served = 0;

	for (int i = 0; i < 200; i++)
		call(fleet.hosts[(size_t)i % fleet.hosts.size()], "key-large");
	std::this_thread::sleep_for(std::chrono::milliseconds((int)(1000 * WINDOW_S)));
	for (const Host &host : fleet.hosts)
		served += call(host, "key-large").status == 200;
	EXPECT_EQ((int)fleet.hosts.size(), served);
}
} // namespace
