// Customers, through separate processes: calls with and without keys, what a backend server gets,
// and what the logs of the nodes show.
#include "functional/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

using support::Fleet;
using support::FleetOptions;
using support::Host;
using support::http_json;
using support::HttpAnswer;
using support::Json;

namespace
{
constexpr int CONFIG_TIMEOUT_MS = 5000;

std::string customers_object(int number, const std::string &keys)
{
	return R"({"number":)" + std::to_string(number) +
	       R"(,"routes":[],"services":[],"customers":[{"name":"shop","keys":)" + keys + "}]}";
}

class Customer : public ::testing::Test
{
      protected:
	Fleet fleet{FleetOptions::small(2)};
	int64_t version = 0;

	void SetUp() override
	{
		fleet.start();
	}

	// Puts the customers in force.
	void put(int number, const std::string &keys)
	{
		Json answer = http_json(
			fleet.platform->port(), "PUT", "/v1/objects/service/customers",
			customers_object(number, keys), {"if-version: " + std::to_string(version)});

		version = json_integer_value(json_object_get(answer.get(), "version"));
	}

	HttpAnswer call(const Host &entry, std::vector<std::string> headers)
	{
		return fleet.call(entry, "GET", "/ledger/balance", "balance", "", headers);
	}

	// Calls with a key until the answer has a status. Returns the last status.
	int wait_for_status(const Host &entry, const std::string &key, int status)
	{
		auto deadline = std::chrono::steady_clock::now() +
				std::chrono::milliseconds(CONFIG_TIMEOUT_MS);
		int last = 0;

		while (std::chrono::steady_clock::now() < deadline && last != status) {
			last = call(entry, {"authorization: Bearer " + key}).status;
			std::this_thread::sleep_for(std::chrono::milliseconds(20));
		}
		return last;
	}

	// Returns the headers that the backend servers got with their last calls.
	std::string heads()
	{
		std::string all;

		for (Host &host : fleet.hosts) {
			Json head = http_json(host.backend->port(), "GET", "/last-head");
			size_t index;
			json_t *line;

			json_array_foreach(head.get(), index, line)
			{
				all += json_string_value(line) + std::string("\n");
			}
		}
		return all;
	}

	std::string logs()
	{
		std::stringstream all;

		for (Host &host : fleet.hosts)
			all << std::ifstream(fleet.folder() + "/" + host.name + ".log").rdbuf();
		return all.str();
	}
};

TEST_F(Customer, OnlyCallsWithAKeyRunAndNoKeyLeavesItsEntry)
{
	const Host &entry = fleet.hosts[0];

	put(1, R"(["secret-key-1","secret-key-2"])");
	ASSERT_EQ(200, wait_for_status(fleet.hosts[1], "secret-key-1", 200));
	ASSERT_EQ(401, wait_for_status(entry, "unknown", 401));
	EXPECT_EQ(401, call(entry, {"authorization: Bearer secret-key-0"}).status);
	ASSERT_EQ(200, wait_for_status(entry, "secret-key-1", 200));
	HttpAnswer refused = call(entry, {});
	EXPECT_EQ(401, refused.status);
	EXPECT_EQ("not-run", refused.headers["x-fescue-outcome"]);
	EXPECT_EQ("unknown-key", refused.headers["x-fescue-reason"]);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, call(entry, {"Authorization: Bearer secret-key-2",
					    "Fescuemill-Customer: bank", "FESCUEMILL-CUSTOMER: x"})
				       .status);
	EXPECT_NE(std::string::npos, heads().find("fescuemill-customer: shop\n")) << heads();
	EXPECT_EQ(std::string::npos, heads().find("bank")) << heads();
	EXPECT_EQ(std::string::npos, heads().find("secret")) << heads();
	EXPECT_NE(std::string::npos, logs().find("reason=unknown-key"));
	EXPECT_NE(std::string::npos, logs().find("key_fingerprint="));
	EXPECT_EQ(std::string::npos, logs().find("secret"));
}

TEST_F(Customer, AKeyThatWasRemovedIsRefusedAndAnotherIsServed)
{
	put(1, R"(["key-1","key-2"])");
	ASSERT_EQ(200, wait_for_status(fleet.hosts[0], "key-1", 200));
	put(2, R"(["key-2"])");
	for (const Host &host : fleet.hosts) {
		EXPECT_EQ(401, wait_for_status(host, "key-1", 401)) << host.name;
		EXPECT_EQ(200, wait_for_status(host, "key-2", 200)) << host.name;
	}
}
} // namespace
