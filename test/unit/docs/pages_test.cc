// Checks that the tables of settings and counters in docs/ match the code. If a test fails, its
// message is the table to put into the page.
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <string>

extern "C" {
#include "fescuemill/base/counter.h"
#include "fescuemill/settings/settings.h"
}

static std::string read_page(const std::string &name)
{
	std::ifstream file(std::string(FESCUEMILL_SOURCE_DIR "/docs/") + name);

	return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

static std::string allowed(const settings_key_info &info)
{
	if (!info.lowest && !info.highest)
		return info.unit;
	return std::to_string(info.lowest) + " to " + std::to_string(info.highest) + " " +
	       info.unit;
}

TEST(Pages, SettingsListsEveryKey)
{
	std::string table = "| key | type | allowed | when absent | meaning |\n"
			    "| --- | --- | --- | --- | --- |\n";

	for (size_t i = 0; i < settings_key_count(); i++) {
		settings_key_info info = settings_key_at(i);

		table += std::string("| `") + info.name + "` | " + info.type + " | " +
			 allowed(info) + " | " +
			 (info.default_value ? std::string("`") + info.default_value + "`"
					     : "required") +
			 " | " + info.help + " |\n";
	}
	EXPECT_NE(std::string::npos, read_page("SETTINGS.md").find(table)) << table;
}

TEST(Pages, CountersListsEveryCounter)
{
	std::string table = "| counter | unit | meaning |\n| --- | --- | --- |\n";

	for (int i = 0; i < COUNTER_COUNT; i++) {
		const counter_info *info = counter_get_info((enum counter)i);

		table += std::string("| `fescuemill_") + info->name + "` | " + info->unit + " | " +
			 info->help + " |\n";
	}
	EXPECT_NE(std::string::npos, read_page("COUNTERS.md").find(table)) << table;
}
