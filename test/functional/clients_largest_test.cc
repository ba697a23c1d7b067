// A legal request sent alone and in calm is served whatever its size, by a node on the smallest
// host.
#include "functional/support/client_places.h"

using namespace support;

namespace
{
constexpr uint64_t LARGEST_BODY_BYTES = 64 * MIB;      // default of the configuration
constexpr uint64_t DEPLOYED_LIMIT_BYTES = 64 * MIB;    // memory_limit_bytes of deploy/node.json
constexpr uint64_t SMALLEST_HOST_BYTES = 160000000ULL; // memory of the smallest host
constexpr int ANSWER_TIMEOUT_MS = 60000;

class Largest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fleet.start();
		// The limits are part of the routing object, also where it has no routes.
		Json put = http_json(fleet.platform->port(), "PUT", "/v1/objects/service/limits",
				     "{\"number\":1,\"routes\":[],\"services\":[],\"limits\":"
				     "{\"body_bytes_max\":" +
					     std::to_string(LARGEST_BODY_BYTES) + "}}",
				     {"if-version: 0"});
		const std::string wanted =
			"fescuemill_config_version " +
			std::to_string(json_integer_value(json_object_get(put.get(), "version"))) +
			"\n";

		for (Host &host : fleet.hosts)
			ASSERT_TRUE(wait_until(
				[&] {
					return http(host.node->port("admin_port"), "GET",
						    "/metrics")
						       .body.find(wanted) != std::string::npos;
				},
				ANSWER_TIMEOUT_MS));
	}

	void expect_served(const std::string &coding, const std::string &body)
	{
		HttpAnswer answer =
			fleet.call(fleet.hosts[0], "POST", "/ledger/x", "statement", body,
				   {coding, "x-fescue-deadline-ms: 60000"}, ANSWER_TIMEOUT_MS);

		EXPECT_EQ(answer.status, 200) << answer.body;
		for (Host &host : fleet.hosts) {
			ASSERT_TRUE(host.node->is_running()) << host.node->log_tail();
			EXPECT_LE(peak_memory_bytes(host.node->id()), SMALLEST_HOST_BYTES);
			std::cout << host.name << ": peak memory "
				  << peak_memory_bytes(host.node->id()) << std::endl;
		}
	}

	// Sends the body in chunks, which http() of the test support does not.
	void expect_chunked_served(uint64_t bytes)
	{
		RawRequest request;
		std::string unit = "10000\r\n" + std::string(65536, 'x') + "\r\n";

		request.head = "POST /ledger/chunked HTTP/1.1\r\nhost: test\r\n"
			       "x-fescue-class: statement\r\nx-call: chunked\r\n"
			       "x-fescue-deadline-ms: 60000\r\n"
			       "transfer-encoding: chunked\r\n\r\n";
		request.unit = unit;
		request.unit_bytes = bytes / 65536 * unit.size();
		request.tail = "0\r\n\r\n";
		Crowd crowd(fleet.hosts[0].node->port("caller_port"), 1, request);
		bool ran = false;

		for (int i = 0; i < ANSWER_TIMEOUT_MS / 1000 && !ran; i++) {
			crowd.run(1000);
			ran = read_call_starts(fleet)["chunked"] == 1;
		}
		EXPECT_TRUE(ran);
		for (Host &host : fleet.hosts) {
			ASSERT_TRUE(host.node->is_running()) << host.node->log_tail();
			EXPECT_LE(peak_memory_bytes(host.node->id()), SMALLEST_HOST_BYTES);
			std::cout << host.name << ": peak memory "
				  << peak_memory_bytes(host.node->id()) << std::endl;
		}
	}

	static FleetOptions options()
	{
		FleetOptions options = FleetOptions::small(2);

		options.change_settings = [](const std::string &, json_t *settings) {
			json_object_set_new(settings, "memory_limit_bytes",
					    json_integer((json_int_t)DEPLOYED_LIMIT_BYTES));
		};
		return options;
	}

	Fleet fleet{options()};
};
} // namespace

TEST_F(Largest, BodyOfTheDefaultLimitSized)
{
	expect_served("x-call: sized", std::string(LARGEST_BODY_BYTES, 'x'));
}

TEST_F(Largest, BodyOfTheDefaultLimitInChunks)
{
	expect_chunked_served(LARGEST_BODY_BYTES);
}
