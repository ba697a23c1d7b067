// The settings that the platform renders from deploy/node.json are valid. Their byte budget admits
// a watch even while many large configurations arrive: a watch that the budget delayed received new
// versions seconds late.
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <regex>
#include <string>

extern "C" {
#include "fescuemill/decide/budget.h"
#include "fescuemill/settings/settings.h"
}

namespace
{

std::string render_template()
{
	std::ifstream file(FESCUEMILL_SOURCE_DIR "/deploy/node.json");
	std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};

	text = std::regex_replace(text, std::regex(R"(\{\{internal_ports\.[01]\}\})"), "7620");
	text = std::regex_replace(
		text, std::regex(R"(\{\{(listen\.[a-z_]+|app_addr|platform\.address)\}\})"),
		"10.0.0.1:8300");
	text = std::regex_replace(text, std::regex(R"(\{\{ip\}\})"), "10.0.0.1");
	text = std::regex_replace(text, std::regex(R"(\{\{bounds\.[a-z_]+_ratio\}\})"), "0.2");
	text = std::regex_replace(text, std::regex(R"(\{\{bounds\.[a-z_]+\}\})"), "62");
	text = std::regex_replace(text, std::regex(R"(\{\{limits\.max_fds\}\})"), "4100");
	text = std::regex_replace(text, std::regex(R"(\{\{bootstrap\|json\}\})"), "true");
	return std::regex_replace(text, std::regex(R"(\{\{[a-z_]+\}\})"), "name");
}

class Template : public ::testing::Test
{
      protected:
	settings set{};

	void SetUp() override
	{
		std::string text = render_template();
		error err{};

		ASSERT_EQ(0, settings_parse(text.data(), text.size(), "node.json", &set, &err))
			<< err.detail;
	}
};

TEST_F(Template, RendersToValidSettings)
{
	EXPECT_NE(0, set.ready_address.port);
	EXPECT_NE(0, set.backend_server.port);
	EXPECT_STREQ("name", set.backend_service);
	EXPECT_EQ(62u, set.retry_burst);
	EXPECT_DOUBLE_EQ(0.2, set.retry_limit_ratio);
	EXPECT_TRUE(set.fleet_is_new);
	EXPECT_EQ(4100u, set.descriptors_max);
}

TEST_F(Template, StopEndsBeforeThePlatformKillsTheNode)
{
	EXPECT_LT(set.stop_serve_ms, set.stop_limit_ms);
	EXPECT_LT(set.stop_limit_ms, 6000u);
}

TEST_F(Template, ManyLargeConfigurationsDoNotDelayAWatch)
{
	constexpr uint32_t kConfigurationBytes = 64 * 1024; // with 350 routes
	constexpr uint32_t kWatchBytes = 600;
	budget bud;
	uint64_t now_us = 1000000;

	budget_init(&bud, set.node_bytes_per_s, set.region_link_bytes_per_s, now_us);
	budget_share_link(&bud, 9, 9, true);
	for (int i = 0; i < 25; i++) {
		EXPECT_TRUE(budget_take(&bud, kWatchBytes, false, now_us)) << i;
		budget_charge_in_full(&bud, kConfigurationBytes, false, now_us);
		now_us += 60000;
	}
}

} // namespace
