// Connections to the platform that go silent behind a proxy: their host still acknowledges TCP
// probes, so that only a time-out of the client's own shows it.
#include "functional/support/load_driver.h"

#include <gtest/gtest.h>

using namespace support;

namespace
{
constexpr int IN_FORCE_MS = 4000; // until a change is in force on all nodes
constexpr int WATCHING_MS = 2000; // until the nodes wait for changes

// Creates a forward of the link to the platform. Returns its address.
std::string forward_to_platform(const Fleet &fleet)
{
	Json created = http_json(
		fleet.link->port(), "POST", "/forwards",
		"{\"toward\":0,\"tcp_target\":" + std::to_string(fleet.platform->port()) + "}");
	json_t *port = json_object_get(created.get(), "tcp_port");

	return "127.0.0.1:" + std::to_string(json_integer_value(port));
}

// Writes the service object of the platform again, as an operator's tool does that calls no node.
void write_at_platform(const Fleet &fleet, int64_t version)
{
	const std::string path = "/v1/objects/service/ledger";
	HttpAnswer now = http(fleet.platform->port(), "GET", path);
	HttpAnswer written = http(fleet.platform->port(), "PUT", path, now.body,
				  {"if-version: " + std::to_string(version)});

	EXPECT_EQ(written.status, 200) << written.body;
}
} // namespace

// Guards against watches that rest on a silent connection until their own end, 25 s later, while
// the platform accepts changes.
TEST(Silence, ChangeIsInForceThoughTheWatchesConnectionsWentSilent)
{
	FleetOptions options = FleetOptions::small(4);
	Fleet *started = nullptr;
	std::string platform;

	options.has_link = true;
	options.link_delay_ms = 1;
	options.change_settings = [&](const std::string &, json_t *settings) {
		if (platform.empty())
			platform = forward_to_platform(*started);
		json_object_set_new(settings, "platform", json_pack("[s]", platform.c_str()));
	};
	Fleet fleet(options);
	started = &fleet;
	fleet.start();
	for (Host &host : fleet.hosts)
		ASSERT_TRUE(wait_version(host, 1, IN_FORCE_MS));
	sleep_ms(WATCHING_MS);
	int64_t version = version_in_force(fleet.hosts[0]);
	Fleet::control(*fleet.link, "{\"silence\":true}");
	write_at_platform(fleet, version);
	sleep_ms(IN_FORCE_MS);
	for (Host &host : fleet.hosts)
		EXPECT_GT(version_in_force(host), version) << host.name;
}
