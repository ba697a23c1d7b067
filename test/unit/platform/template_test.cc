// The settings that the platform renders from deploy/node.json are valid. Their byte budget admits
// a watch even while many large configurations arrive: a watch that the budget delayed received new
// versions seconds late.
#include <cstring>
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

std::string read_template()
{
	std::ifstream file(FESCUEMILL_SOURCE_DIR "/deploy/node.json");

	return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Renders the sections {{#bounds.NAME}}...{{/bounds.NAME}} that are named, and drops the others.
std::string render_sections(std::string text, const std::string &names)
{
	std::smatch found;
	const std::regex section(R"(\{\{#bounds\.([a-z_]+)\}\}([^]*?)\{\{/bounds\.\1\}\})");

	while (std::regex_search(text, found, section)) {
		std::string body = names == found.str(1) ? found.str(2) : "";

		text = found.prefix().str() + body + found.suffix().str();
	}
	return text;
}

std::string render_template(const std::string &sections = "")
{
	std::string text = render_sections(read_template(), sections);

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

// An installation whose bounds have no evac_ms asks the platform for nothing more than before.
TEST_F(Template, EvacuationsAreAskedForOnlyWhereTheBoundIsPresent)
{
	std::string with = render_template("evac_ms");
	std::string without = render_template();
	std::string line = ",\n\t\"evacuation_ms\": 62,\n\t\"spillover\": true";
	settings asked{};
	error err{};

	EXPECT_EQ(0u, set.evacuation_ms);
	ASSERT_EQ(0, settings_parse(with.data(), with.size(), "node.json", &asked, &err))
		<< err.detail;
	EXPECT_EQ(62u, asked.evacuation_ms);
	EXPECT_TRUE(asked.spillover);
	EXPECT_FALSE(set.spillover);
	size_t at = with.find(line);
	ASSERT_NE(std::string::npos, at);
	with.erase(at, line.size());
	EXPECT_EQ(without, with);
	EXPECT_EQ(std::string::npos, without.find("evac"));
}

// A deployment without the bound is rendered as before it existed, byte for byte.
TEST_F(Template, HasNoProofOfKeysUnlessTheBoundIsStrict)
{
	const std::string text = read_template();
	const size_t begin = text.find("{{#bounds.strict_revoke}}");

	EXPECT_EQ(0u, set.revoke_ms);
	ASSERT_NE(std::string::npos, begin);
	EXPECT_EQ("\t\"platform_watchers\": 2,\n\t\"platform_calls_per_minute\": 100000\n}\n",
		  render_sections(text, "").substr(begin - strlen("\t\"platform_watchers\": 2,")));
}

TEST_F(Template, RendersTheBoundOfWithdrawals)
{
	std::string text = render_template("strict_revoke");
	settings strict{};
	error err{};

	ASSERT_EQ(0, settings_parse(text.data(), text.size(), "node.json", &strict, &err))
		<< err.detail;
	EXPECT_EQ(62u, strict.revoke_ms);
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
