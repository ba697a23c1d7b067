// A fleet of the ledger service in two regions. The second region reaches the platform, which is in
// the first one, through the link between the regions.
#pragma once

#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

namespace support
{
constexpr int IN_FORCE_MS = 4000; // specified time until a change is in force on all nodes
// Time until a failed node or backend server is no longer chosen; also allowed until a recovered
// one is chosen again.
constexpr int FAILURE_DETECTION_MS = 5000;
constexpr int DEADLINE_MS = 3000; // deadline of a call

class TwoRegions : public ::testing::Test
{
      protected:
	explicit TwoRegions(int servers = 4) : fleet(options(servers))
	{
	}

	FleetOptions options(int servers)
	{
		FleetOptions options;

		options.services = {{"ledger", servers}};
		options.keeps_ports = true;
		options.change_settings = [this](const std::string &name, json_t *settings) {
			if (name.rfind("south", 0) == 0)
				set_platform_through_link(settings);
		};
		return options;
	}

	// Replaces the platform's address in a node's settings by a forward of the link.
	void set_platform_through_link(json_t *settings)
	{
		std::string port = std::to_string(add_forward(fleet.platform->port(), 0));

		json_object_set_new(settings, "platform",
				    json_pack("[s]", ("127.0.0.1:" + port).c_str()));
	}

	// Adds a forward of the link to a TCP port in a region. Returns the port of the forward.
	uint16_t add_forward(uint16_t target, int toward)
	{
		Json created = http_json(fleet.link->port(), "POST", "/forwards",
					 "{\"tcp_target\":" + std::to_string(target) +
						 ",\"toward\":" + std::to_string(toward) + "}");

		return (uint16_t)json_integer_value(json_object_get(created.get(), "tcp_port"));
	}

	void SetUp() override
	{
		fleet.start();
		for (Host &host : fleet.hosts)
			ASSERT_TRUE(wait_version(host, 1, IN_FORCE_MS));
	}

	// Returns the options of a load through some entries, given by their host's index.
	LoadDriverOptions through(std::vector<size_t> entries, const std::string &prefix)
	{
		LoadDriverOptions options;

		options.entries = std::move(entries);
		options.deadline_ms = DEADLINE_MS;
		options.prefix = prefix;
		return options;
	}

	// Waits until a node of each region has the given state in the member list of a node of the
	// other region. Returns false after timeout_ms.
	bool both_regions_see(const std::string &state, int timeout_ms)
	{
		return wait_until(
			[&] {
				return state_in_view(fleet.hosts[0], fleet.hosts[2]) == state &&
				       state_in_view(fleet.hosts[2], fleet.hosts[0]) == state;
			},
			timeout_ms);
	}

	// Returns the number of requests that the backend server of a host has started.
	int64_t requests(size_t host)
	{
		return read_backend_stat(fleet.hosts[host], "requests");
	}

	// Expects that the given version, or a newer one, is in force on each node within
	// IN_FORCE_MS.
	void expect_version_everywhere(int64_t version)
	{
		for (Host &host : fleet.hosts)
			EXPECT_TRUE(wait_version(host, version, IN_FORCE_MS)) << host.name;
	}

	// Changes a class through a node, and expects the change to be in force on each node within
	// IN_FORCE_MS.
	void expect_change_in_force(size_t through)
	{
		HttpAnswer put = put_class(fleet.hosts[through], "purchase", 70,
					   version_in_force(fleet.hosts[through]));

		ASSERT_EQ(put.status, 200) << put.body;
		expect_version_everywhere(get_json_number(put, "version"));
	}

	Fleet fleet;
};
} // namespace support
