// The fleet that untrusted clients are let loose on, the places where they send, and what must hold
// there. The bounds follow from the settings below and were fixed before any of these tests ran.
#pragma once

#include "functional/support/load_driver.h"
#include "functional/support/raw_clients.h"

#include <gtest/gtest.h>

namespace support
{
constexpr uint64_t MIB = 1024 * 1024;
constexpr uint64_t MEMORY_LIMIT_BYTES = 32 * MIB; // memory_limit_bytes, the least that is allowed
constexpr uint64_t BODY_LIMIT_BYTES = MIB;	  // body_limit_bytes
constexpr uint64_t DESCRIPTOR_LIMIT = 640;	  // RLIMIT_NOFILE of the nodes
// The process itself, and the memory limit for what clients send and again for what is on its way
// to and from the backend server. With the 64 MiB of deploy/node.json these are the 160 MiB of the
// smallest host.
constexpr uint64_t PROCESS_BYTES = 32 * MIB;
constexpr uint64_t MEMORY_BOUND_BYTES = 2 * MEMORY_LIMIT_BYTES + PROCESS_BYTES;
// Of the 200 descriptors that are reserved, at least half stay free.
constexpr int DESCRIPTOR_BOUND = (int)DESCRIPTOR_LIMIT - 100;
constexpr int MEMORY_CROWD = 120;     // clients of those kinds that send or ask for many bytes
constexpr int DESCRIPTOR_CROWD = 700; // clients of those kinds that only hold a connection
constexpr int CROWD_MS = 1500;
constexpr int SERVED_TIMEOUT_MS = 20000; // bounds a test that fails; nobody waits for it otherwise

// A port and path where requests are sent.
struct Place {
	std::string name;
	uint16_t port;
	std::string path;
};

class UntrustedClients : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		LoweredDescriptorLimit lowered(DESCRIPTOR_LIMIT);

		fleet.start();
	}

	// All places that speak HTTP.
	std::vector<Place> places()
	{
		Process &node = *fleet.hosts[0].node;

		return {{"route", node.port("caller_port"), "/ledger/x"},
			{"path without a route", node.port("caller_port"), "/nowhere/x"},
			{"ready path for callers", node.port("caller_port"), "/ready"},
			{"ready port", ready_port, "/ready"},
			{"announcements", node.port("backend_port"), "/announce"},
			{"administration", node.port("admin_port"), "/v1/services"}};
	}

	static std::string head(const std::string &method, const Place &place,
				const std::string &lines)
	{
		return method + " " + place.path +
		       " HTTP/1.1\r\nhost: test\r\nx-fescue-class: statement\r\n" + lines + "\r\n";
	}

	// Lets a crowd loose on a port and checks what must hold while it stays connected.
	void expect_withstands(const std::string &what, uint16_t port, int clients,
			       const RawRequest &request)
	{
		Crowd crowd(port, clients, request);
		int descriptors = 0;

		SCOPED_TRACE(what);
		for (int i = 0; i < CROWD_MS / STEP_MS; i++) {
			crowd.run(STEP_MS);
			descriptors =
				std::max(descriptors, open_descriptors(fleet.hosts[0].node->id()));
		}
		expect_sound(descriptors);
	}

	// Checks that the node lives, stayed within its bounds and serves an ordinary request.
	void expect_sound(int descriptors)
	{
		Host &host = fleet.hosts[0];
		HttpAnswer answer;

		EXPECT_TRUE(wait_until(
			[&] {
				answer = fleet.call(host, "GET", "/ledger/ordinary", "purchase", "",
						    {}, SERVED_TIMEOUT_MS / 4);
				return answer.status == 200;
			},
			SERVED_TIMEOUT_MS))
			<< "the ordinary request got " << answer.status << " " << answer.body;
		ASSERT_TRUE(host.node->is_running()) << host.node->log_tail();
		EXPECT_LE(peak_memory_bytes(host.node->id()) / 1024, MEMORY_BOUND_BYTES / 1024)
			<< "KiB";
		EXPECT_LE(descriptors, DESCRIPTOR_BOUND);
		std::cout << "peak memory " << peak_memory_bytes(host.node->id()) / 1024
			  << " KiB, descriptors " << descriptors << std::endl;
	}

	FleetOptions options()
	{
		FleetOptions options = FleetOptions::small(2);

		options.change_settings = [this](const std::string &, json_t *settings) {
			uint16_t port = free_port();

			// The first node is the one that the clients reach.
			if (ready_port == 0)
				ready_port = port;
			json_object_set_new(
				settings, "ready_address",
				json_string(("127.0.0.1:" + std::to_string(port)).c_str()));
			json_object_set_new(settings, "memory_limit_bytes",
					    json_integer((json_int_t)MEMORY_LIMIT_BYTES));
			json_object_set_new(settings, "body_limit_bytes",
					    json_integer((json_int_t)BODY_LIMIT_BYTES));
		};
		return options;
	}

	static constexpr int STEP_MS = 50;
	uint16_t ready_port = 0;
	Fleet fleet{options()};
};
} // namespace support
